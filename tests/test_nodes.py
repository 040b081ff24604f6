"""What comes back from cache nodes, over loopback sockets: each row of the protocol's table, and worse."""

from __future__ import annotations

import asyncio
import struct
from contextlib import suppress
from socket import SO_LINGER, SOL_SOCKET, socket

import pytest

from magpiefront.interface import Outcome
from magpiefront.net import answer_reader, exchange
from magpiefront.net.answer import read_report
from magpiefront.net.exchange import Probe
from tests.sockets import (
    Handler, Node, Seen, gated, ok, request, resets, run, says, until, world,
)  # fmt: skip

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ERROR = b"HTTP/1.1 500 X\r\nContent-Length: 3\r\n\r\nbad"


def first(handler: Handler) -> Handler:
    """The first request of all goes to the handler, those after it are served."""
    used: list[Seen] = []

    async def once(seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        used.append(seen)
        await (handler if len(used) == 1 else says(ok(b"second")))(seen, reader, writer)

    return once



def test_served_unchanged_and_the_request_goes_on_unchanged() -> None:
    async def main() -> None:
        body = bytes(range(256)) * 100
        async with world(says(ok(b"\0\r\n\xff" * 9, "Srv-Cache: hit\r\nContent-Type: a/b\r\n"))) as w:
            more = "Idempotency-Key: abc\r\n"
            answer = await w.ask("PUT", "/api/v/k%20?q=1&r", "keyed", body=body, more=more)
            assert (answer.status, answer.body) == (200, b"\0\r\n\xff" * 9)
            assert answer.headers["content-type"] == "a/b"
            (seen,) = w.seen()
            assert seen.line == "PUT /api/v/k%20?q=1&r HTTP/1.1" and seen.body == body
            assert seen.headers["idempotency-key"] == "abc" and seen.headers["req-id"].startswith("id")
            assert 0.3 < float(seen.headers["req-deadline"]) < 0.9
            assert w.outcomes() == [Outcome.OK]
            assert [e.note for e in w.events if hasattr(e, "note")] == [1]

    run(main())


def test_a_refused_connection_never_ran() -> None:
    async def main() -> None:
        async with world(None, None) as w:
            for n in range(6):
                assert (await w.ask(path=f"/api/{n}", kind="once")).status == 200
            w.nodes[0].stop()
            for n in range(6):
                assert (await w.ask(path=f"/api/{n}", kind="once")).status == 200
            assert Outcome.CONNECT_FAILED in w.outcomes() or Outcome.RESET in w.outcomes()

    run(main())


def test_a_connection_that_never_comes_up_never_ran() -> None:
    async def main() -> None:
        hole = socket()
        hole.bind(("127.0.0.1", 0))
        hole.listen(0)
        fill = []
        for _ in range(3):  # the queue is full: further connections get no answer
            s = socket()
            s.setblocking(False)
            s.connect_ex(hole.getsockname())
            fill.append(s)
        async with world(None) as w:
            w.nodes[0].port = hole.getsockname()[1]
            w.lists.change(2, w.nodes[0].entry())
            await until(lambda: w.proxy.pool.nodes["s-0"].address[1] == w.nodes[0].port)
            answer = await w.ask(kind="once")
            assert answer.status == 503 and w.outcomes() == [Outcome.CONNECT_FAILED]
            # an attempt that runs out of time before its connection is up was never sent
            w.events.clear()
            w.proxy.router.servers["s-0"].suspect = False
            answer = await w.ask(kind="once", deadline="0.08")
            assert answer.status == 503 and w.outcomes() == [Outcome.MOOT]
        hole.close()
        for s in fill:
            s.close()

    run(main())


def test_a_break_before_the_last_byte_never_ran() -> None:
    async def main() -> None:
        async with world(None, None) as w:
            before = [n.server for n in w.nodes]
            accepted = []

            async def hang_up(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                accepted.append(1)
                await reader.read(1000)
                s = writer.get_extra_info("socket")
                s.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()

            for server in before:
                assert server is not None
                server.close()
            for n in w.nodes:
                n.server = await asyncio.start_server(hang_up, "127.0.0.1", n.port, limit=1024)
            answer = await w.ask("PUT", kind="once", body=b"x" * 12_000_000)
            assert answer.status == 503  # refused: nothing ran
            assert accepted and set(w.outcomes()) == {Outcome.CONNECT_FAILED}

    run(main())


@pytest.mark.parametrize(
    ("more", "connections"), [("", 1), ("Connection: keep-alive\r\n", 1), ("Connection: close\r\n", 5)]
)
def test_a_rested_connection_is_used_again_unless_the_node_says_no(more: str, connections: int) -> None:
    async def main() -> None:
        async with world(says(ok(more=more))) as w:
            client = await w.client()
            for n in range(5):
                client.send(request(path=f"/api/{n}"))
                assert (await client.answer()).status == 200
                w.let_rest()
            assert w.nodes[0].connections == connections
            await until(lambda: w.proxy.pool.open == (connections == 1), "the closing of the others")

    run(main())


@pytest.mark.parametrize("rest", [ok(b"stray"), b"noise", None], ids=["second copy", "noise", "end"])
def test_a_connection_with_something_unread_is_not_taken_again(rest: bytes | None) -> None:
    """What had come, but not been read yet, was taken for the next answer or for its reset."""

    async def main() -> None:
        async with world(says(ok(b"own"))) as w:
            assert (await w.ask(kind="once")).body == b"own"
            node = w.proxy.pool.nodes["s-0"]
            await until(lambda: node.idle)
            (idle,) = node.idle
            w.let_rest()
            idle.transport.pause_reading()  # as a loop that has not come to it yet
            socket_of_node = w.nodes[0].writers[-1]
            if rest is None:
                socket_of_node.close()
                await until(lambda: not w.nodes[0].open)
            else:
                socket_of_node.write(rest)
                await socket_of_node.drain()
            await until(lambda: not idle.fresh(), "the arrival")
            assert (await w.ask(kind="once")).body == b"own"
            assert set(w.outcomes()) == {Outcome.OK} and w.nodes[0].connections == 2
            await until(lambda: w.proxy.pool.open == 1, "the closing of the other")

    run(main())


def test_resets_of_connections_do_not_close_the_gate_for_others() -> None:
    """Taken for an origin that is too busy, a few kept connections that broke had most requests refused."""

    async def main() -> None:
        came: list[Seen] = []

        async def sometimes(seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            came.append(seen)
            await (resets if len(came) % 6 == 0 else says(ok()))(seen, reader, writer)

        async with world(sometimes, sometimes, sometimes) as w:
            client = await w.client()
            for n in range(150):
                client.send(request(path=f"/api/{n}"))
                assert (await client.answer()).status == 200
            assert w.outcomes().count(Outcome.RESET) >= 25 and w.proxy.router.fetch.share == 1

    run(main())


def test_a_stale_connection_is_reported_and_not_sent_again_by_itself() -> None:
    async def main() -> None:
        async with world(says(ok())) as w:
            assert (await w.ask(kind="once")).status == 200
            w.let_rest()
            w.nodes[0].handler = resets
            answer = await w.ask(kind="once")
            assert answer.status == 502 and len(w.seen()) == 2
            assert w.outcomes() == [Outcome.OK, Outcome.RESET]

    run(main())


def test_an_answer_that_nobody_asked_for_ends_its_connection_alone() -> None:
    async def main() -> None:
        async with world(first(says(ok(b"mine") + ok(b"stray")))) as w:
            assert (await w.ask()).body == b"mine"
            w.let_rest()
            assert (await w.ask()).body == b"second"
            assert w.nodes[0].connections == 2
            w.nodes[0].writers[-1].write(ok(b"late stray"))  # while the connection is idle
            await until(lambda: not w.proxy.pool.nodes["s-0"].idle)
            assert (await w.ask()).body == b"second"

    run(main())


def test_long_answers_pass_on_from_their_first_bytes() -> None:
    """Guards rf9c93c: kept back until 64 KiB had come, long answers that trickle ran out of time."""

    async def main() -> None:
        gate = asyncio.Event()
        for framing in (b"Content-Length: 70000\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\n"):
            chunked = b"chunked" in framing
            gate.clear()

            async def trickle(
                seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, f: bytes = framing,
                c: bool = chunked,
            ) -> None:  # fmt: skip
                writer.write(b"HTTP/1.1 200 OK\r\n" + f + (b"a\r\n0123456789\r\n" if c else b"0123456789"))
                await gate.wait()
                rest = b"x" * 69_990
                writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(rest), rest) if c else rest)

            async with world(trickle) as w:
                client = await w.client()
                client.send(request(kind="once", deadline="0.2"))
                head = await client.reader.readuntil(b"0123456789")
                assert head.startswith(b"HTTP/1.1 200 OK")
                assert w.outcomes() == [Outcome.OK]
                await asyncio.sleep(0.25)  # past the deadline: what has begun goes on
                gate.set()
                rest = b""
                while rest.count(b"x") < 69_990 or not rest.endswith(b"0\r\n\r\n" if chunked else b"x"):
                    rest += await client.reader.read(100_000)
                assert (await w.ask(deadline="0.5")).status == 200  # the connections are in order
                assert not w.proxy.streams

    run(main())


@pytest.mark.parametrize("begin", [b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n", CHUNKED])
def test_a_long_answer_cut_short_breaks_off_for_the_client(begin: bytes) -> None:
    async def main() -> None:
        part = b"x" * 200_000
        body = b"%x\r\n%b\r\n" % (len(part), part) if begin is CHUNKED else part
        async with world(says(begin + body, close=True), None) as w:
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


def test_a_node_that_falls_silent_in_a_long_answer_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(exchange, "STALL_S", 0.05)

    async def main() -> None:
        async with world(says(b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 100_000)) as w:
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
def test_interim_answers_are_passed_over(pause: float) -> None:
    async def ahead(seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
        await asyncio.sleep(pause)  # longer than an answer that has begun may pause
        writer.write(ok(b"real"))

    async def main() -> None:
        async with world(ahead) as w:
            client = await w.client()
            for _ in range(3):
                client.send(request(kind="once"))
                answer = await client.answer()
                assert (answer.status, answer.body) == (200, b"real")
                w.let_rest()
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
def test_what_no_node_means_fails_the_attempt_and_another_node_serves(answer: bytes) -> None:
    async def main() -> None:
        handler = first(says(answer))
        async with world(handler, handler) as w:
            got = await w.ask()
            assert (got.status, got.body) == (200, b"second")
            assert w.outcomes() == [Outcome.RESET, Outcome.OK]
            await until(lambda: w.proxy.pool.open == 1, "the closing of the connection")

    run(main())


def test_an_answer_without_a_length_is_cut_off_at_the_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(answer_reader, "BODY_LIMIT", 300_000)
    part = b"%x\r\n%b\r\n" % (100_000, b"x" * 100_000)

    async def main() -> None:
        gate = asyncio.Event()

        async def goes_on(seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(CHUNKED + part)
            await gate.wait()
            writer.write(part * 3)

        async with world(goes_on) as w:
            client = await w.client()
            client.send(request())
            await until(lambda: w.proxy.streams, "the begin")
            gate.set()
            got = b""
            with suppress(ConnectionResetError):
                got = await client.ended()
            assert not got.endswith(b"0\r\n\r\n")  # the client can tell
            await until(lambda: not w.proxy.streams and not w.proxy.pool.open)

    run(main())


def test_a_slow_reader_holds_the_node_back_and_gets_it_all() -> None:
    async def main() -> None:
        size = 24_000_000
        wrote = []

        async def long(seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            for _ in range(size // 100_000):
                writer.write(b"y" * 100_000)
                await writer.drain()
                wrote.append(1)

        async with world(long) as w:
            client = await w.client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            client.send(request())
            await until(lambda: w.proxy.streams, "the begin")
            (stream,) = w.proxy.streams
            await until(lambda: stream.connection and stream.connection.paused, "the holding back")
            (c,) = w.front.clients
            assert c.transport.get_write_buffer_size() < 1_000_000 and len(wrote) < size // 100_000
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            answer = await client.answer()
            assert len(answer.body) == size and not answer.body.strip(b"y")

    run(main())


def test_pools_are_bounded_and_the_longest_idle_makes_room() -> None:
    async def main() -> None:
        gate = asyncio.Event()

        async with world(gated(gate)) as w:
            w.proxy.pool.most = 3
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


def test_a_request_that_ends_before_its_connection_was_begun_keeps_no_place() -> None:
    async def main() -> None:
        async with world(None) as w:
            node = w.proxy.pool.nodes["s-0"]
            node.close_idle()
            await until(lambda: not w.proxy.pool.open)
            probe = Probe(w.proxy, node, w.proxy.now_us(), b"/health")
            node.begin(probe)
            assert w.proxy.pool.open == 1
            probe.end(Outcome.TIMEOUT)  # within the same turn, as where the loop comes late to both
            await until(lambda: not w.proxy.pool.open and not node.open, "its place to be given back")

    run(main())


def test_a_node_that_was_unreachable_is_probed() -> None:
    async def main() -> None:
        async with world(None, None) as w:
            for server in w.proxy.router.servers.values():
                w.proxy.router.in_flight = 0
                w.proxy.router._suspect(w.proxy.now_us(), server, True)
            for server in w.proxy.router.servers.values():
                server.trial_at = 0
            for n in range(20):
                await w.ask(path=f"/api/{n}", deadline="0.3")
            await until(lambda: sum(n.probes for n in w.nodes) == 1, "a probe")
            await until(lambda: w.proxy.router.suspects == 0, "recovery")
            assert all("req-id" in s.headers for s in w.seen())

    run(main())


def test_load_reports_are_read() -> None:
    assert read_report(b"inflight=7, queue=2,util=0.61,odd,x=y") == {
        "inflight": 7.0, "queue": 2.0, "util": 0.61,
    }  # fmt: skip
    assert read_report(b"nothing") is None


# ---- answers that tell no length


PLAIN = b"HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n\r\n"


@pytest.mark.parametrize("size", [5, 300_000])
@pytest.mark.parametrize("kind", ["read", "once"])
def test_an_answer_without_a_length_that_ends_in_order_is_forwarded_whole(kind: str, size: int) -> None:
    async def main() -> None:
        body = b"v" * size
        async with world(says(PLAIN + body, close=True)) as w:
            client = await w.client()
            for _ in range(2):
                client.send(request(kind=kind))
                answer = await client.answer()
                assert (answer.status, answer.body) == (200, body)
                assert answer.headers["content-type"] == "a/b"
            assert w.outcomes() == [Outcome.OK, Outcome.OK]
            await until(lambda: not w.proxy.pool.open)

    run(main())


def cut_by(rest: bytes, reset: bool) -> Handler:
    async def handler(seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(rest)
        await writer.drain()
        await until(lambda: seen.node.seen)
        if reset:
            s = writer.get_extra_info("socket")
            s.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    return handler


@pytest.mark.parametrize(
    "cut",
    [
        cut_by(PLAIN + b"half", True), cut_by(PLAIN, False), cut_by(PLAIN[:30], False), cut_by(b"", False),
        cut_by(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", False),
        cut_by(CHUNKED + b"4\r\nhalf", False),
    ],
    ids=["reset", "no body", "half a head", "nothing", "half a length", "half a chunk"],
)  # fmt: skip
def test_an_answer_that_does_not_end_in_order_is_none(cut: Handler) -> None:
    async def main() -> None:
        handler = first(cut)
        async with world(handler, handler) as w:
            answer = await w.ask()
            assert (answer.status, answer.body) == (200, b"second")
            assert w.outcomes() == [Outcome.RESET, Outcome.OK]

    run(main())


def test_a_long_answer_without_a_length_that_is_reset_breaks_off_for_the_client() -> None:
    async def main() -> None:
        gate = asyncio.Event()

        async def resets_late(seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(PLAIN + b"x" * 200_000)
            await gate.wait()
            s = writer.get_extra_info("socket")
            s.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

        async with world(resets_late) as w:
            client = await w.client()
            client.send(request(kind="once"))
            await until(lambda: w.proxy.streams, "the begin")
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

        async def once(seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            writer.write(ok(seen.line.encode()))

        async with world(once) as w:
            client = await w.client()
            client.send(request(path="/api/first"))
            assert b"first" in (await client.answer()).body
            (idle,) = w.proxy.pool.nodes["s-0"].idle
            w.let_rest()
            writers[0].write(ok(b"GET /api/first once more"))  # before the next request, and not read yet
            client.send(request(path="/api/second"))
            assert b"second" in (await client.answer()).body
            assert idle.transport.is_closing() and len(writers) == 2

    run(main())
