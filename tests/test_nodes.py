"""Answers and failures of cache nodes over loopback sockets: the outcome of each attempt, and answers that
violate the protocol."""

from __future__ import annotations

import asyncio
import struct
from contextlib import suppress
from socket import SO_LINGER, SOL_SOCKET, socket

import pytest

from magpiefront.interface import Outcome
from magpiefront.net import answer_reader, exchange
from magpiefront.net.answer import parse_load_report
from magpiefront.net.exchange import Probe
from tests.sockets import (
    Handler, Node, ReceivedRequest, gated, ok, request, resets, run, reply, until, running_proxy,
)  # fmt: skip

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ERROR = b"HTTP/1.1 500 X\r\nContent-Length: 3\r\n\r\nbad"


def first_then_ok(handler: Handler) -> Handler:
    """Passes the first request to `handler` and answers all later ones with 200 and the body `second`."""
    received: list[ReceivedRequest] = []

    async def once(seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received.append(seen)
        await (handler if len(received) == 1 else reply(ok(b"second")))(seen, reader, writer)

    return once


def test_request_and_answer_are_forwarded_unchanged() -> None:
    async def main() -> None:
        body = bytes(range(256)) * 100
        async with running_proxy(
            reply(ok(b"\0\r\n\xff" * 9, "Srv-Cache: hit\r\nContent-Type: a/b\r\n"))
        ) as w:
            more = "Idempotency-Key: abc\r\n"
            answer = await w.ask("PUT", "/api/v/k%20?q=1&r", "keyed", body=body, more=more)
            assert (answer.status, answer.body) == (200, b"\0\r\n\xff" * 9)
            assert answer.headers["content-type"] == "a/b"
            (seen,) = w.seen()
            assert seen.line == "PUT /api/v/k%20?q=1&r HTTP/1.1" and seen.body == body
            assert seen.headers["idempotency-key"] == "abc" and seen.headers["req-id"].startswith("id")
            assert 0.3 < float(seen.headers["req-deadline"]) < 0.9
            assert w.outcomes() == [Outcome.OK]
            assert [e.cache_result for e in w.events if hasattr(e, "cache_result")] == [1]

    run(main())


def test_a_refused_connect_means_the_request_did_not_run() -> None:
    async def main() -> None:
        async with running_proxy(None, None) as w:
            for n in range(6):
                assert (await w.ask(path=f"/api/{n}", kind="once")).status == 200
            w.nodes[0].stop()
            for n in range(6):
                assert (await w.ask(path=f"/api/{n}", kind="once")).status == 200
            assert Outcome.CONNECT_FAILED in w.outcomes() or Outcome.RESET in w.outcomes()

    run(main())


def test_a_connect_timeout_means_the_request_did_not_run() -> None:
    async def main() -> None:
        unresponsive = socket()
        unresponsive.bind(("127.0.0.1", 0))
        unresponsive.listen(0)
        fillers = []
        for _ in range(3):  # fills the accept queue, so that further connects get no answer
            sock = socket()
            sock.setblocking(False)
            sock.connect_ex(unresponsive.getsockname())
            fillers.append(sock)
        async with running_proxy(None) as w:
            w.nodes[0].port = unresponsive.getsockname()[1]
            w.lists.change(2, w.nodes[0].entry())
            await until(lambda: w.proxy.pool.nodes["s-0"].address[1] == w.nodes[0].port)
            answer = await w.ask(kind="once")
            assert answer.status == 503 and w.outcomes() == [Outcome.CONNECT_FAILED]
            # An attempt that times out before its connection is established was never sent.
            w.events.clear()
            w.proxy.router.servers["s-0"].suspect = False
            answer = await w.ask(kind="once", deadline="0.08")
            assert answer.status == 503 and w.outcomes() == [Outcome.MOOT]
        unresponsive.close()
        for sock in fillers:
            sock.close()

    run(main())


def test_a_reset_before_the_last_byte_is_sent_means_the_request_did_not_run() -> None:
    async def main() -> None:
        async with running_proxy(None, None) as w:
            servers = [n.server for n in w.nodes]
            accepted = []

            async def reset_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                accepted.append(1)
                await reader.read(1000)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()

            for server in servers:
                assert server is not None
                server.close()
            for n in w.nodes:
                n.server = await asyncio.start_server(reset_early, "127.0.0.1", n.port, limit=1024)
            answer = await w.ask("PUT", kind="once", body=b"x" * 12_000_000)
            assert answer.status == 503  # refused: the request has not run
            assert accepted and set(w.outcomes()) == {Outcome.CONNECT_FAILED}

    run(main())


@pytest.mark.parametrize(
    ("more", "connections"), [("", 1), ("Connection: keep-alive\r\n", 1), ("Connection: close\r\n", 5)]
)
def test_a_rested_connection_is_reused_unless_the_node_closes_it(more: str, connections: int) -> None:
    async def main() -> None:
        async with running_proxy(reply(ok(more=more))) as w:
            client = await w.client()
            for n in range(5):
                client.send(request(path=f"/api/{n}"))
                assert (await client.answer()).status == 200
                w.advance_past_rest()
            assert w.nodes[0].connections == connections
            await until(lambda: w.proxy.pool.open == (connections == 1), "the closing of the others")

    run(main())


@pytest.mark.parametrize("unread", [ok(b"stray"), b"noise", None], ids=["second copy", "noise", "end"])
def test_an_idle_connection_with_unread_data_is_not_reused(unread: bytes | None) -> None:
    """Guards against reusing an idle connection while the kernel holds unread data or its end: the data was
    taken for the answer to the next request, or the next request ended as a reset."""

    async def main() -> None:
        async with running_proxy(reply(ok(b"own"))) as w:
            assert (await w.ask(kind="once")).body == b"own"
            node = w.proxy.pool.nodes["s-0"]
            await until(lambda: node.idle)
            (idle,) = node.idle
            w.advance_past_rest()
            idle.transport.pause_reading()  # as if the event loop had not read yet what arrives
            node_writer = w.nodes[0].writers[-1]
            if unread is None:
                node_writer.close()
                await until(lambda: not w.nodes[0].open)
            else:
                node_writer.write(unread)
                await node_writer.drain()
            await until(lambda: not idle.has_nothing_unread(), "the arrival of the data or the end")
            assert (await w.ask(kind="once")).body == b"own"
            assert set(w.outcomes()) == {Outcome.OK} and w.nodes[0].connections == 2
            await until(lambda: w.proxy.pool.open == 1, "the closing of the old connection")

    run(main())


def test_resets_do_not_reduce_admission_for_other_requests() -> None:
    """Guards against counting resets as a sign of an overloaded origin: most requests were refused after the
    resets of a few reused connections."""

    async def main() -> None:
        received: list[ReceivedRequest] = []

        async def resets_every_sixth(
            seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:  # fmt: skip
            received.append(seen)
            await (resets if len(received) % 6 == 0 else reply(ok()))(seen, reader, writer)

        async with running_proxy(resets_every_sixth, resets_every_sixth, resets_every_sixth) as w:
            client = await w.client()
            for n in range(150):
                client.send(request(path=f"/api/{n}"))
                assert (await client.answer()).status == 200
            assert w.outcomes().count(Outcome.RESET) >= 25 and w.proxy.router.origin_gate.share == 1

    run(main())


def test_a_reset_of_a_reused_connection_is_reported_and_not_retried_by_the_pool() -> None:
    async def main() -> None:
        async with running_proxy(reply(ok())) as w:
            assert (await w.ask(kind="once")).status == 200
            w.advance_past_rest()
            w.nodes[0].handler = resets
            answer = await w.ask(kind="once")
            assert answer.status == 502 and len(w.seen()) == 2
            assert w.outcomes() == [Outcome.OK, Outcome.RESET]

    run(main())


def test_an_unsolicited_answer_only_closes_its_connection() -> None:
    async def main() -> None:
        async with running_proxy(first_then_ok(reply(ok(b"mine") + ok(b"stray")))) as w:
            assert (await w.ask()).body == b"mine"
            w.advance_past_rest()
            assert (await w.ask()).body == b"second"
            assert w.nodes[0].connections == 2
            w.nodes[0].writers[-1].write(ok(b"late stray"))  # while the connection is idle
            await until(lambda: not w.proxy.pool.nodes["s-0"].idle)
            assert (await w.ask()).body == b"second"

    run(main())


def test_long_answers_are_streamed_from_their_first_bytes() -> None:
    """Guards against holding an answer back until 64 KiB of it have arrived: long answers that arrive slowly
    timed out (rf9c93c)."""

    async def main() -> None:
        gate = asyncio.Event()
        for framing in (b"Content-Length: 70000\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\n"):
            chunked = b"chunked" in framing
            gate.clear()

            async def trickle(
                seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter,
                own_framing: bytes = framing, is_chunked: bool = chunked,
            ) -> None:  # fmt: skip
                writer.write(
                    b"HTTP/1.1 200 OK\r\n"
                    + own_framing
                    + (b"a\r\n0123456789\r\n" if is_chunked else b"0123456789")
                )
                await gate.wait()
                rest = b"x" * 69_990
                writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(rest), rest) if is_chunked else rest)

            async with running_proxy(trickle) as w:
                client = await w.client()
                client.send(request(kind="once", deadline="0.2"))
                head = await client.reader.readuntil(b"0123456789")
                assert head.startswith(b"HTTP/1.1 200 OK")
                assert w.outcomes() == [Outcome.OK]
                await asyncio.sleep(0.25)  # past the deadline: a stream that has begun continues
                gate.set()
                rest = b""
                while rest.count(b"x") < 69_990 or not rest.endswith(b"0\r\n\r\n" if chunked else b"x"):
                    rest += await client.reader.read(100_000)
                assert (await w.ask(deadline="0.5")).status == 200  # the connections are still usable
                assert not w.proxy.streams

    run(main())


@pytest.mark.parametrize("begin", [b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n", CHUNKED])
def test_a_truncated_long_answer_is_truncated_for_the_client(begin: bytes) -> None:
    async def main() -> None:
        part = b"x" * 200_000
        body = b"%x\r\n%b\r\n" % (len(part), part) if begin is CHUNKED else part
        async with running_proxy(reply(begin + body, close=True), None) as w:
            w.nodes[1].handler = w.nodes[0].handler
            client = await w.client()
            client.send(request())
            got = b""
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                got = await client.ended()
                await client.reader.readexactly(1)
            assert not got.endswith(b"0\r\n\r\n") and len(w.seen()) == 1
            await until(lambda: not w.proxy.streams)

    run(main())


def test_a_node_that_stalls_in_a_long_answer_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(exchange, "STREAM_STALL_S", 0.05)

    async def main() -> None:
        async with running_proxy(
            reply(b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 100_000)
        ) as w:
            client = await w.client()
            client.send(request())
            await client.reader.readexactly(100_000)
            await asyncio.sleep(0.06)
            w.proxy.sweep()
            assert not w.proxy.streams
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await client.reader.readexactly(800_000)

    run(main())


@pytest.mark.parametrize("pause", [0.0, 0.4], ids=["at once", "with a pause"])
def test_interim_answers_are_skipped(pause: float) -> None:
    async def interim_first(
        seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:  # fmt: skip
        writer.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
        await asyncio.sleep(pause)  # 0.4 s is longer than a pause within the final answer may be
        writer.write(ok(b"real"))

    async def main() -> None:
        async with running_proxy(interim_first) as w:
            client = await w.client()
            for _ in range(3):
                client.send(request(kind="once"))
                answer = await client.answer()
                assert (answer.status, answer.body) == (200, b"real")
                w.advance_past_rest()
            assert w.nodes[0].connections == 1

    run(main())


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 100_000,
        b"HTTP/1.1 100 Continue\r\n\r\n" * 1000,
    ],
    ids=["gigabytes", "interim answers without end"],
)
def test_an_answer_above_a_limit_fails_the_attempt_and_another_node_serves(answer: bytes) -> None:
    async def main() -> None:
        handler = first_then_ok(reply(answer))
        async with running_proxy(handler, handler) as w:
            got = await w.ask()
            assert (got.status, got.body) == (200, b"second")
            assert w.outcomes() == [Outcome.RESET, Outcome.OK]
            await until(lambda: w.proxy.pool.open == 1, "the closing of the connection")

    run(main())


def test_an_answer_without_a_length_is_truncated_at_the_size_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(answer_reader, "MAX_BODY_BYTES", 300_000)
    part = b"%x\r\n%b\r\n" % (100_000, b"x" * 100_000)

    async def main() -> None:
        gate = asyncio.Event()

        async def exceeds_limit(
            seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:  # fmt: skip
            writer.write(CHUNKED + part)
            await gate.wait()
            writer.write(part * 3)

        async with running_proxy(exceeds_limit) as w:
            client = await w.client()
            client.send(request())
            await until(lambda: w.proxy.streams, "the stream")
            gate.set()
            got = b""
            with suppress(ConnectionResetError):
                got = await client.ended()
            assert not got.endswith(b"0\r\n\r\n")  # the client can tell that it is truncated
            await until(lambda: not w.proxy.streams and not w.proxy.pool.open)

    run(main())


def test_a_slow_client_pauses_the_node_and_gets_the_whole_answer() -> None:
    async def main() -> None:
        size = 24_000_000
        wrote = []

        async def long(
            seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:  # fmt: skip
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            for _ in range(size // 100_000):
                writer.write(b"y" * 100_000)
                await writer.drain()
                wrote.append(1)

        async with running_proxy(long) as w:
            client = await w.client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            client.send(request())
            await until(lambda: w.proxy.streams, "the stream")
            (stream,) = w.proxy.streams
            await until(lambda: stream.connection and stream.connection.paused, "the pause")
            (c,) = w.front.clients
            assert c.transport.get_write_buffer_size() < 1_000_000 and len(wrote) < size // 100_000
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            answer = await client.answer()
            assert len(answer.body) == size and not answer.body.strip(b"y")

    run(main())


def test_pools_are_bounded_and_close_the_longest_idle_connection() -> None:
    async def main() -> None:
        gate = asyncio.Event()

        async with running_proxy(gated(gate)) as w:
            w.proxy.pool.max_connections = 3
            asks = [asyncio.ensure_future(w.ask(path=f"/api/{n}", kind="once")) for n in range(5)]
            await until(lambda: len(w.seen()) == 3)
            gate.set()
            statuses = sorted(a.status for a in await asyncio.gather(*asks))
            assert statuses == [200, 200, 200, 503, 503] and w.proxy.pool.open <= 3
            node = Node("s-9", None)
            await node.start()
            w.lists.change(2, node.entry(), w.nodes[0].entry("Gone"))
            await until(lambda: "s-9" in w.proxy.pool.nodes and not w.proxy.pool.open, "the pool's closing")
            assert (await w.ask()).status == 200
            node.stop()

    run(main())


def test_an_exchange_that_ends_before_its_connect_began_releases_its_slot() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            node = w.proxy.pool.nodes["s-0"]
            node.close_idle()
            await until(lambda: not w.proxy.pool.open)
            probe = Probe(w.proxy, node, w.proxy.now_us(), b"/health")
            node.begin(probe)
            assert w.proxy.pool.open == 1
            probe.end(Outcome.TIMEOUT)  # in the same turn of the loop, before the connect task has run
            await until(lambda: not w.proxy.pool.open and not node.open, "the release of its slot")

    run(main())


def test_a_node_that_was_unreachable_is_probed() -> None:
    async def main() -> None:
        async with running_proxy(None, None) as w:
            for server in w.proxy.router.servers.values():
                w.proxy.router.in_flight = 0
                w.proxy.router._mark_suspect(w.proxy.now_us(), server, True)
            for server in w.proxy.router.servers.values():
                server.trial_at = 0
            for n in range(20):
                await w.ask(path=f"/api/{n}", deadline="0.3")
            await until(lambda: sum(n.probes for n in w.nodes) == 1, "a probe")
            await until(lambda: w.proxy.router.suspect_count == 0, "recovery")
            assert all("req-id" in s.headers for s in w.seen())

    run(main())


def test_load_reports_are_parsed() -> None:
    assert parse_load_report(b"inflight=7, queue=2,util=0.61,odd,x=y") == {
        "inflight": 7.0, "queue": 2.0, "util": 0.61,
    }  # fmt: skip
    assert parse_load_report(b"nothing") is None


# ---- answers without a length


PLAIN = b"HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n\r\n"


@pytest.mark.parametrize("size", [5, 300_000])
@pytest.mark.parametrize("kind", ["read", "once"])
def test_an_answer_without_a_length_that_ends_by_a_close_is_forwarded_whole(kind: str, size: int) -> None:
    async def main() -> None:
        body = b"v" * size
        async with running_proxy(reply(PLAIN + body, close=True)) as w:
            client = await w.client()
            for _ in range(2):
                client.send(request(kind=kind))
                answer = await client.answer()
                assert (answer.status, answer.body) == (200, body)
                assert answer.headers["content-type"] == "a/b"
            assert w.outcomes() == [Outcome.OK, Outcome.OK]
            await until(lambda: not w.proxy.pool.open)

    run(main())


def truncated(rest: bytes, reset: bool) -> Handler:
    async def handler(
        seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:  # fmt: skip
        writer.write(rest)
        await writer.drain()
        await until(lambda: seen.node.seen)
        if reset:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    return handler


@pytest.mark.parametrize(
    "cut",
    [
        truncated(PLAIN + b"half", True), truncated(PLAIN, False), truncated(PLAIN[:30], False),
        truncated(b"", False),
        truncated(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", False),
        truncated(CHUNKED + b"4\r\nhalf", False),
    ],
    ids=["reset", "no body", "half a head", "nothing", "half a length", "half a chunk"],
)  # fmt: skip
def test_a_truncated_answer_fails_the_attempt(cut: Handler) -> None:
    async def main() -> None:
        handler = first_then_ok(cut)
        async with running_proxy(handler, handler) as w:
            answer = await w.ask()
            assert (answer.status, answer.body) == (200, b"second")
            assert w.outcomes() == [Outcome.RESET, Outcome.OK]

    run(main())


def test_a_reset_of_a_long_answer_without_a_length_reaches_the_client() -> None:
    async def main() -> None:
        gate = asyncio.Event()

        async def resets_late(
            seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:  # fmt: skip
            writer.write(PLAIN + b"x" * 200_000)
            await gate.wait()
            sock = writer.get_extra_info("socket")
            sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

        async with running_proxy(resets_late) as w:
            client = await w.client()
            client.send(request(kind="once"))
            await until(lambda: w.proxy.streams, "the stream")
            gate.set()
            got = b""
            with suppress(ConnectionResetError):
                got = await client.ended()
            assert not got.endswith(b"0\r\n\r\n") and len(w.seen()) == 1
            await until(lambda: not w.proxy.streams and not w.proxy.pool.open)

    run(main())


def test_a_late_second_answer_never_reaches_the_next_request() -> None:
    async def main() -> None:
        writers: list[asyncio.StreamWriter] = []

        async def once(
            seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:  # fmt: skip
            writers.append(writer)
            writer.write(ok(seen.line.encode()))

        async with running_proxy(once) as w:
            client = await w.client()
            client.send(request(path="/api/first"))
            assert b"first" in (await client.answer()).body
            (idle,) = w.proxy.pool.nodes["s-0"].idle
            w.advance_past_rest()
            # The second answer arrives before the next request is sent, and has not been read by then.
            writers[0].write(ok(b"GET /api/first once more"))
            client.send(request(path="/api/second"))
            assert b"second" in (await client.answer()).body
            assert idle.transport.is_closing() and len(writers) == 2

    run(main())
