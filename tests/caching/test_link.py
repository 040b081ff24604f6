"""Tests the cache and the gateway together, set up from an operator file: fields, statuses, invalidation."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from magpiefront.repeat_limits import FIRST_SENDING
from magpiefront.gateway import wire
from magpiefront.interface import Repeat
from magpiefront.net import config
from magpiefront.net.client_memory import ClientMemory
from magpiefront.net.discovery import Discovery
from magpiefront.net.front import Front
from magpiefront.net.proxy import Proxy
from magpiefront.net.request import Request
from magpiefront.operator.compose import Composition, create_proxy, load_and_check
from standins.world import free_port
from tests.caching.sockets import GRADES
from tests.sockets import PROXY_SETTINGS, Client, Handler, Node, ok, run, until

REQUEST_NUMBER = 0


@dataclass
class RunningSite:
    composition: Composition
    proxy: Proxy
    front: Front
    node: Node
    port: int

    async def request(self, line: str, more: str = "", kind: str = "level-read", body: bytes = b"") -> Any:
        global REQUEST_NUMBER
        REQUEST_NUMBER += 1
        client = Client(*await asyncio.open_connection("127.0.0.1", self.port))
        length_field = f"Content-Length: {len(body)}\r\n" if body else ""
        client.send(
            f"{line} HTTP/1.1\r\nHost: x\r\nReq-Id: l{REQUEST_NUMBER}\r\nReq-Kind: {kind}\r\n"
            f"Req-Deadline: 8\r\nIdempotency-Key: k{REQUEST_NUMBER}\r\n{length_field}{more}\r\n".encode()
            + body
        )
        if line.startswith("HEAD"):
            head = (await client.reader.readuntil(b"\r\n\r\n")).decode()
            client.writer.close()
            return head
        answer = await client.answer()
        client.writer.close()
        return answer


@asynccontextmanager
async def two_sites(
    folder: Path, handler: Handler, caching: str = "plain_servers = true"
) -> AsyncIterator[dict[str, RunningSite]]:
    ports = {n: free_port() for n in ("west", "east")}
    sites: dict[str, RunningSite] = {}
    loop = asyncio.get_running_loop()
    for own, other in (("west", "east"), ("east", "west")):
        node = Node(f"{own}-s", handler)
        await node.start()
        file = folder / f"{own}.toml"
        file.write_text(f"""
[site]
name = "{own}"
[gateway]
listen = "127.0.0.1:{ports[own]}"
[gateway.sites.{own}]
prefixes = ["{own[0]}-"]
[gateway.sites.{other}]
prefixes = ["{other[0]}-"]
peers = ["127.0.0.1:{ports[other]}"]
[gateway.tls]
plain = true
[gateway.link]
ping_interval = "2s"
ping_timeout = "20s"
[caching]
{caching}
""")
        operator = load_and_check(file)
        instances = [
            {"instanceId": f"s-{i}", "hostPort": f"127.0.0.1:{node.port}", "lifecycle": "Ready"}
            for i in range(4)
        ]
        proxy_config = config.read({
            "name": own, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "ab",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"generation": 1, "reset": True, "instances": instances},
            "settings": {**PROXY_SETTINGS, "grades": GRADES, "permissions": {**PROXY_SETTINGS["permissions"],
            "probes": False,
                                                                  "connectTimeoutUs": 2_000_000}},
        }, {})  # fmt: skip
        proxy = create_proxy(proxy_config, loop, operator)
        composition = Composition(proxy, proxy, operator, 1, ClientMemory(50 << 20))
        front = Front(proxy, composition.first_stage, ClientMemory(50 << 20), 500)
        composition.prepare_front(front)
        Discovery(proxy, proxy_config.discovery, 1).listing.apply(proxy_config.initial_list, stale=True)
        await composition.start()
        front.listen("127.0.0.1", 0)
        assert front.socket is not None
        sites[own] = RunningSite(composition, proxy, front, node, front.socket.getsockname()[1])
    try:
        for site in sites.values():
            gateway = site.composition.gateway
            assert gateway is not None
            links = gateway.stage.links
            await until(lambda links=links: all(x.usable_connections() for x in links.values()), "the links")  # type: ignore[misc]
        yield sites
    finally:
        for site in sites.values():
            site.composition.stop()
            site.front.stop_accepting()
            for c in list(site.front.clients):
                if c.transport is not None:
                    c.transport.abort()
            site.node.stop()


def test_fields_and_statuses_cross_sites_and_responses_are_stored(tmp_path: Path) -> None:
    async def handler(seen: Any, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if "none" in seen.line:
            writer.write(b"HTTP/1.1 404 Not Found\r\nX-Why: gone\r\nContent-Length: 4\r\n\r\ngone")
        elif seen.headers.get("if-none-match") == '"1"':
            writer.write(b'HTTP/1.1 304 Not Modified\r\nETag: "1"\r\nCache-Control: max-age=60\r\n\r\n')
        elif seen.line.startswith("HEAD"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 777\r\n\r\n")
        elif "long" in seen.line:
            writer.write(ok(b"z" * 200_000, "Cache-Control: max-age=60\r\n"))
        else:
            life = 0 if "stale" in seen.line else 60
            writer.write(
                ok(
                    b"level",
                    f'Cache-Control: max-age={life}\r\nETag: "1"\r\nX-A: 1\r\nX-A: 2\r\nVary: Accept\r\n',
                )
            )

    async def main() -> None:
        async with two_sites(tmp_path, handler) as sites:
            west, east = sites["west"], sites["east"]
            for _ in range(2):
                got = await west.request("GET /api/e-1", "Accept: a\r\nX-Ask: 1\r\n")
                assert got.status == 200 and got.body == b"level"
            assert len(east.node.seen) == 1 and not west.node.seen
            seen = east.node.seen[0].headers
            assert seen["accept"] == "a" and seen["x-ask"] == "1" and seen["via"] == "1.1 lineshift"
            assert "hit" in got.headers["cache-status"] and got.headers["etag"] == '"1"'
            got = await west.request("GET /api/e-stale")
            got = await west.request("GET /api/e-stale")
            assert got.body == b"level" and "fwd-status=304" in got.headers["cache-status"]
            got = await west.request("GET /api/e-none")
            assert (got.status, got.body, got.headers["x-why"]) == (404, b"gone", "gone")
            head = await west.request("HEAD /api/e-head")
            assert " 200 " in head and "Content-Length: 777" in head
            for _ in range(2):
                got = await west.request("GET /api/e-long")
                assert len(got.body) == 200_000
            assert "hit" in got.headers["cache-status"]
            got = await west.request("POST /api/e-9", kind="field-report", body=b"r")
            assert got.status == 200 and east.node.seen[-1].line.startswith("POST")

    run(main(), 40)


def test_a_report_invalidates_its_gauge_at_both_sites(tmp_path: Path) -> None:
    values = {"n": 0}

    async def handler(seen: Any, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if seen.line.startswith("PUT"):
            values["n"] += 1
            writer.write(ok(b"held"))
        else:
            writer.write(ok(b"%d" % values["n"], "Cache-Control: max-age=600\r\n"))

    async def main() -> None:
        async with two_sites(tmp_path, handler, "") as sites:
            west, east = sites["west"], sites["east"]
            for site in (west, east):
                assert (await site.request("GET /api/e-1")).body == b"0"
            # The report is sent to the west site and runs in the east one, where a response is stored too.
            assert (await west.request("PUT /api/e-1", kind="field-report", body=b"r")).body == b"held"
            for site in (west, east):
                assert (await site.request("GET /api/e-1")).body == b"1"
            assert values["n"] == 1

    run(main(), 40)


def test_fields_of_a_crossing_request_in_http2_form() -> None:
    class NoResponder:
        pass

    r = Request(NoResponder(), FIRST_SENDING)  # type: ignore[arg-type]
    r.method, r.target = b"GET", b"/k"
    r.headers = {b"req-id": b"1", b"req-kind": b"read"}
    r.extra_fields = (
        b"Idempotency-Key: k\r\nX-A: 1\r\nx-a: 2\r\nContent-Length: 3\r\nGW-Site: evil\r\nConnection: x\r\n"
    )
    fields = wire.request_fields(r, "east", False, 5, Repeat.SAFE, ("west",), 0, True)
    assert [f for f in fields if f[0] == b"x-a"] == [(b"x-a", b"1"), (b"x-a", b"2")]
    assert not any(n in (b"connection", b"gw-site", b"content-length") for n, _ in fields)
    assert wire.read_request([(n, v) for n, v in fields]).extra_fields == b"x-a: 1\r\nx-a: 2\r\n"
    for bad in ((b"x-a", b"1\r\nEvil: 1"), (b"x a", b"1"), (b"x-a", b"\0")):
        try:
            wire.read_request([*fields, bad])
        except wire.InvalidHead:
            continue
        raise AssertionError(bad)
    bare = wire.request_fields(r, "east", False, 5, Repeat.SAFE, ("west",), 0)
    assert not any(n == b"x-a" for n, _ in bare)
