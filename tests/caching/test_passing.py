"""Tests of fields, status codes and framing over sockets (RFC 9110, 7.6; RFC 9112, 6)."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import pytest

from magpiefront.caching.settings import CachingSettings
from magpiefront.net.passing import ClientSettings
from tests.caching.sockets import CachingProxy, caching_proxy
from tests.sockets import Client, Handler, Node, ReceivedRequest, advance_past_rest, ok, run, reply

HEAD = "Host: x\r\nReq-Id: a{n}\r\nReq-Kind: {kind}\r\nReq-Deadline: {left}\r\n"
PLAIN_SERVERS = CachingSettings(plain_servers=True)
REQUEST_NUMBER = 0


def request(line: str, more: str = "", kind: str = "level-read", body: bytes = b"", left: str = "5") -> bytes:
    global REQUEST_NUMBER
    REQUEST_NUMBER += 1
    length_field = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{line} HTTP/1.1\r\n"
        + HEAD.format(n=REQUEST_NUMBER, kind=kind, left=left)
        + length_field
        + more
        + "\r\n"
    ).encode() + body


@asynccontextmanager
async def proxy_with_node(
    handler: Handler, settings: CachingSettings | None = PLAIN_SERVERS, **more: Any
) -> AsyncIterator[tuple[CachingProxy, Node, Client]]:
    node = Node("s", handler)
    await node.start()
    async with caching_proxy(node.port, settings, **more) as c:
        client = Client(*await asyncio.open_connection("127.0.0.1", c.port))
        yield c, node, client
        client.writer.close()
    node.stop()


async def raw(client: Client, data: bytes, end: bytes) -> bytes:
    client.send(data)
    return await client.reader.readuntil(end)


def test_several_answers_of_each_framing_on_one_connection() -> None:
    """A response without a body must leave the connection in sync for the next response."""
    answers = [
        (b"HTTP/1.1 204 No Content\r\n\r\n", "GET", 204, b""),
        (b"HTTP/1.1 304 Not Modified\r\nETag: \"1\"\r\nContent-Length: 999\r\n\r\n", "GET", 304, b""),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HEAD", 200, b""),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HEAD", 200, b""),
        (ok(b"hello"), "GET", 200, b"hello"),
        (b"HTTP/1.1 206 Part\r\nContent-Range: bytes 0-0/5\r\nContent-Length: 1\r\n\r\nh", "GET", 206, b"h"),
        (b"HTTP/1.1 404 None\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "GET", 404, b"abc"),
    ]  # fmt: skip
    at = 0

    async def handler(seen: Any, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal at
        writer.write(answers[at][0])
        at += 1

    async def main() -> None:
        async with proxy_with_node(handler, instance_count=1) as (c, node, client):
            for n, (_, method, status, body) in enumerate(answers):
                advance_past_rest(c.proxy)
                client.send(request(f"{method} /api/k{n}", 'If-None-Match: "1"\r\nAuthorization: x\r\n'))
                head = (await client.reader.readuntil(b"\r\n\r\n")).decode()
                assert f" {status} " in head.split("\r\n")[0]
                assert await client.reader.readexactly(len(body)) == body
                if method == "HEAD" and n == 2:
                    assert "Content-Length: 5" in head
                if status in (204, 304):
                    assert "content-length" not in head.lower()
            assert node.connections == 1  # all on a single connection to the server

    run(main())


def test_a_body_in_an_answer_to_head_closes_that_connection_only() -> None:
    first = True

    async def handler(seen: Any, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal first
        data = ok(b"stray") if first else ok(b"right")
        first = False
        writer.write(data)

    async def main() -> None:
        async with proxy_with_node(handler, instance_count=1) as (_, node, client):
            client.send(request("HEAD /api/k1", "Authorization: x\r\n"))
            assert b"200 OK" in await client.reader.readuntil(b"\r\n\r\n")
            client.send(request("GET /api/k1"))
            assert (await client.answer()).body == b"right"
            assert node.connections == 2

    run(main())


@pytest.mark.parametrize("method", ["POST", "PATCH", "DELETE", "OPTIONS"])
def test_methods_that_plain_servers_support(method: str) -> None:
    async def main() -> None:
        async with proxy_with_node(reply(ok(b"done"))) as (c, node, client):
            client.send(request(f"{method} /api/k1", kind="field-report", body=b"r"))
            answer = await client.answer()
            assert (
                answer.body == b"done" and node.seen[0].line.startswith(method) and node.seen[0].body == b"r"
            )
        async with proxy_with_node(reply(ok(b"done")), CachingSettings()) as (c, node, client):
            client.send(request(f"{method} /api/k1", kind="field-report", body=b"r"))
            answer = await client.answer()
            assert answer.status == 405 and answer.headers["allow"] == "GET, HEAD, PUT" and not node.seen
            assert "date" in answer.headers

    run(main())


def test_cache_nodes_are_sent_get_and_only_200_and_304_are_accepted() -> None:
    async def main() -> None:
        answer = b'HTTP/1.1 200 OK\r\nETag: "1"\r\nCache-Control: max-age=0\r\nContent-Length: 5\r\n\r\nhello'

        async def handler(seen: Any, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if seen.headers.get("if-none-match") == '"1"':
                writer.write(b'HTTP/1.1 304 Not Modified\r\nETag: "1"\r\nCache-Control: max-age=60\r\n\r\n')
            elif seen.line.startswith("GET /api/none"):
                writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            else:
                writer.write(answer)

        async with proxy_with_node(handler, CachingSettings()) as (c, node, client):
            client.send(request("HEAD /api/k1"))
            head = await client.reader.readuntil(b"\r\n\r\n")
            assert b"200 OK" in head and b"Content-Length: 5" in head and node.seen[0].line.startswith("GET")
            client.send(request("GET /api/k1"))
            got = await client.answer()
            assert got.body == b"hello" and "fwd-status=304" in got.headers["cache-status"]
            client.send(request("GET /api/none"))
            assert (await client.answer()).status in (502, 503)

    run(main())


def test_a_server_error_is_passed_on_after_the_last_attempt() -> None:
    page = b"HTTP/1.1 500 Oops\r\nContent-Type: text/html\r\nContent-Length: 4\r\n\r\nsick"

    async def main() -> None:
        async with proxy_with_node(reply(page), attempts=2) as (c, node, client):
            client.send(request("GET /api/k1"))
            got = await client.answer()
            assert (got.status, got.body, got.headers["content-type"]) == (500, b"sick", "text/html")
            assert not c.proxy.failed_answers and not c.proxy.requests

    run(main())


def test_a_last_attempt_without_response_does_not_show_an_earlier_error_page() -> None:
    calls = 0

    async def handler(seen: Any, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal calls
        calls += 1
        if calls == 1:
            writer.write(b"HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\nsick")
        else:
            writer.transport.abort()

    async def main() -> None:
        async with proxy_with_node(handler, attempts=2) as (c, _, client):
            client.send(request("GET /api/k1"))
            got = await client.answer()
            assert calls == 2 and got.body == b"" and got.status in (502, 503) and not c.proxy.failed_answers

    run(main())


@pytest.mark.parametrize(
    ("more", "status"),
    [
        ("Authorization: a\r\nAuthorization: b\r\n", 400),
        ("Range: bytes=0-1\r\nRange: bytes=2-3\r\n", 400),
        ("X-A: 1\r\nX-A: 2\r\nCache-Control: foo\r\nCache-Control: bar\r\n", 200),
    ],
)
def test_repeated_fields(more: str, status: int) -> None:
    async def main() -> None:
        async with proxy_with_node(reply(ok())) as (_, node, client):
            client.send(request("GET /api/k1", more))
            assert (await client.answer()).status == status
            assert len(node.seen) == (status == 200)

    run(main())


def test_trailers_are_not_forwarded() -> None:
    async def main() -> None:
        async with proxy_with_node(reply(ok())) as (_, node, client):
            client.send(
                request("PUT /api/k1", "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n", "field-report")
            )
            client.send(b"1\r\na\r\n0\r\nX-T: 1\r\nCache-Control: no-store\r\n\r\n")
            assert (await client.answer()).status == 200
            assert (
                node.seen[0].body == b"a"
                and not {"x-t", "trailer", "cache-control"} & node.seen[0].headers.keys()
            )

    run(main())


def test_clients_without_a_request_class() -> None:
    settings = replace(PLAIN_SERVERS, clients=ClientSettings(True, "level-read", "field-report", 5.0))

    async def main() -> None:
        async with proxy_with_node(
            reply(ok(b"hi", "Cache-Control: max-age=60\r\n")), settings
        ) as (c, node, client):  # fmt: skip
            for _ in range(2):
                client.send(b"GET /api/k1 HTTP/1.1\r\nHost: x\r\n\r\n")
                assert (await client.answer()).body == b"hi"
            assert len(node.seen) == 1
            for _ in range(2):
                client.send(b"PUT /api/k1 HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\na")
                assert (await client.answer()).status == 200
            ids = [s.headers["req-id"] for s in node.seen]
            assert len(set(ids)) == 3 and node.seen[1].headers["req-deadline"] > "1"
        async with proxy_with_node(reply(ok()), PLAIN_SERVERS) as (_, node, client):
            client.send(b"GET /api/k1 HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await client.answer()).status == 400 and not node.seen

    run(main())


def test_only_permitted_clients_may_purge() -> None:
    settings = replace(PLAIN_SERVERS, clients=ClientSettings(True, purge_from=frozenset({"127.0.0.1"})))

    async def main() -> None:
        async with proxy_with_node(
            reply(ok(b"hi", "Cache-Control: max-age=60\r\n")), settings
        ) as (c, node, client):  # fmt: skip
            client.send(request("GET /api/k1"))
            await client.answer()
            client.send(b"PURGE /api/k1 HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await client.answer()).body == b"purged 1\n"
            client.send(request("GET /api/k1"))
            await client.answer()
            assert len(node.seen) == 2
        other = replace(PLAIN_SERVERS, clients=ClientSettings(True, purge_from=frozenset({"10.9.9.9"})))
        for refused in (other, PLAIN_SERVERS):
            async with proxy_with_node(reply(ok()), refused) as (c, node, client):
                client.send(b"PURGE /api/k1 HTTP/1.1\r\nHost: x\r\n\r\n")
                answer = await client.answer()
                assert answer.status == 405 and "PURGE" not in answer.headers["allow"]

    run(main())


def test_responses_with_invalid_framing_are_not_stored() -> None:
    """Conflicting framing, or an unsupported transfer coding, makes the response unusable (RFC 9112, 6.1)."""
    malformed_responses = [
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        b"Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
        b"Transfer-Encoding: gzip\r\n\r\nabc",
        b"\r\nabc",  # delimited by the close of the connection, so possibly truncated
    ]

    async def main() -> None:
        for malformed in malformed_responses:
            whole = b"HTTP/1.1 200 OK\r\nCache-Control: max-age=60\r\n" + malformed
            async with proxy_with_node(reply(whole, close=True)) as (c, _, client):
                client.send(request("GET /api/k1"))
                answer = await client.answer()
                assert answer.status in (502, 503), malformed
                assert len(c.stage.store) == 0

    run(main())


def test_400_concurrent_misses_cause_one_fetch_over_sockets() -> None:
    gate = asyncio.Event()

    async def handler(seen: Any, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await gate.wait()
        writer.write(ok(b"level", "Cache-Control: max-age=60\r\n"))

    async def main() -> None:
        async with proxy_with_node(handler) as (c, node, client):
            clients = [Client(*await asyncio.open_connection("127.0.0.1", c.port)) for _ in range(400)]
            for x in clients:
                x.send(request("GET /api/k1", left="60"))
            from tests.sockets import until

            await until(lambda: len(c.stage.fetches_by_client) == 400)
            gate.set()
            for x in clients:
                assert (await x.answer()).body == b"level"
                x.writer.close()
            assert len(node.seen) == 1

    run(main(), 60)


def test_a_stalled_fetch_answers_each_client_by_its_deadline_over_sockets() -> None:
    async def handler(seen: Any, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    async def main() -> None:
        async with proxy_with_node(handler) as (c, node, client):
            client.send(request("GET /api/k1", left="8"))
            from tests.sockets import until

            await until(lambda: len(c.stage.fetches_by_client) == 1)
            other = Client(*await asyncio.open_connection("127.0.0.1", c.port))
            other.send(request("GET /api/k1", left="0.3"))
            assert (await other.answer()).status == 504
            assert len(node.seen) == 1 and len(c.stage.fetches_by_client) == 1  # the first still waits
            other.writer.close()

    run(main())


def test_the_store_at_its_limit_while_a_large_body_streams() -> None:
    settings = replace(PLAIN_SERVERS, most_bytes=300 << 10, most_object=75 << 10)
    large = b"y" * (1 << 20)

    async def handler(seen: Any, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if "large" in seen.line:
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nCache-Control: max-age=60\r\n\r\n"
            writer.write(head)
            for at in range(0, len(large), 1 << 16):
                part = large[at : at + (1 << 16)]
                writer.write(b"%x\r\n%b\r\n" % (len(part), part))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        else:
            writer.write(ok(b"x" * 20_000, "Cache-Control: max-age=60\r\n"))

    async def main() -> None:
        async with proxy_with_node(handler, settings) as (c, _, client):
            for n in range(30):
                client.send(request(f"GET /api/k{n}"))
                assert len((await client.answer()).body) == 20_000
            for n in range(5):
                client.send(request(f"GET /api/large{n}"))
                assert (await client.answer()).body == large
                assert c.stage.store.size + c.stage.store.reserved_bytes <= settings.most_bytes
            assert c.stage.store.reserved_bytes == 0 and not c.stage.fetches_by_request

    run(main(), 40)


def test_an_unsolicited_304_is_an_error() -> None:
    async def main() -> None:
        async with proxy_with_node(reply(b"HTTP/1.1 304 Not Modified\r\n\r\n")) as (c, _, client):
            client.send(request("GET /api/k1"))
            assert (await client.answer()).status in (502, 503)

    run(main())


@pytest.mark.parametrize("size", [100, 2_000_000], ids=["paused", "too long"])
def test_a_servers_error_that_is_not_whole_is_not_passed_on(size: int) -> None:
    async def handler(
        seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:  # fmt: skip
        head = f"HTTP/1.1 500 Oops\r\nX-Server: s\r\nContent-Length: {size}\r\n\r\n".encode()
        writer.write(head + bytes(size - 1))
        await asyncio.sleep(2)

    async def main() -> None:
        async with proxy_with_node(handler) as (_, _, client):
            client.send(request("GET /api/k1", left="1"))
            answer = await client.answer()
            assert (answer.status, answer.body) == (503, b"") and "x-server" not in answer.headers

    run(main())
