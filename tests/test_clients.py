"""Clients over loopback sockets: what they may send, in any pieces, and what they are answered."""

from __future__ import annotations

import asyncio

import pytest

from magpiefront.interface import Arrived
from magpiefront.net import downstream, lag
from magpiefront.net.http1 import BODY_LIMIT
from tests.sockets import Handler, Seen, gated, ok, request, run, says, silent, until, world

GOOD = b"Req-Id: a\r\nReq-Kind: read\r\nReq-Deadline: 1\r\n"


def head(line: bytes, headers: bytes = GOOD) -> bytes:
    return line + b" HTTP/1.1\r\nHost: x\r\n" + headers + b"\r\n"


@pytest.mark.parametrize(
    ("sent", "status", "closes"),
    [
        (b"nonsense\r\n\r\n", 405, True),
        (b"GET /api/k\r\n\r\n", 400, True),
        (head(b"GET /api/k", GOOD + b"bad header\r\n"), 400, True),
        (head(b"GET /api/k", GOOD + b"Content-Length: 1\r\nContent-Length: 2\r\n"), 400, True),
        (head(b"PUT /api/k", GOOD + b"Content-Length: -1\r\n"), 400, True),
        (head(b"PUT /api/k", GOOD + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"), 400, True),
        (head(b"PUT /api/k", GOOD + b"Transfer-Encoding: chunked\r\n") + b"zz\r\n", 400, True),
        (head(b"PUT /api/k", GOOD + b"Content-Length: %d\r\n" % (BODY_LIMIT + 1)), 413, True),
        (head(b"GET /api/k", b"X: " + b"a" * 40_000 + b"\r\n"), 431, True),
        (b"GET /" + b"a" * 400_000, 431, True),
        (head(b"FROB /api/k"), 405, True),
        (head(b"DELETE /api/k"), 405, False),
        (head(b"POST /ready"), 405, False),
        (head(b"GET /"), 404, False),
        (head(b"GET /api/"), 404, False),
        (head(b"GET http://x/api/k"), 400, False),
        (head(b"GET /api/k", b""), 400, False),
        (head(b"GET /api/k", b"Req-Kind: read\r\nReq-Deadline: 1\r\n"), 400, False),
        (head(b"GET /api/k", b"Req-Id: a\r\nReq-Deadline: 1\r\n"), 400, False),
        (head(b"GET /api/k", b"Req-Id: a\r\nReq-Kind: read\r\n"), 400, False),
        (head(b"GET /api/k", b"Req-Id: a\r\nReq-Kind: read\r\nReq-Deadline: soon\r\n"), 400, False),
        (head(b"GET /api/k", b"Req-Id: a\r\nReq-Kind: read\r\nReq-Deadline: nan\r\n"), 400, False),
        (head(b"GET /api/k", b"Req-Id: a\r\nReq-Kind: read\r\nReq-Deadline: inf\r\n"), 400, False),
        (head(b"GET /api/k", b"Req-Id: a\r\nReq-Kind: read\r\nReq-Deadline: 1_0\r\n"), 400, False),
        (head(b"GET /api/k", b"Req-Id: a\r\nReq-Kind: read\r\nReq-Deadline: 9999999\r\n"), 400, False),
        (head(b"GET /api/k", b"Req-Id: a\r\nReq-Kind: never heard of\r\nReq-Deadline: 1\r\n"), 400, False),
        (head(b"GET /api/k", GOOD + b"Req-Cost: much\r\n"), 400, False),
        (head(b"GET /api/k", GOOD + b"Req-Cost: -1\r\n"), 400, False),
        # Versions and framing (RFC 9112, 2.3 and 6): what no two parties read alike ends the connection.
        (b"GET /api/k HTTP/0.9\r\nHost: x\r\n" + GOOD + b"\r\n", 400, True),
        (b"GET /api/k HTTP/2.0\r\nHost: x\r\n" + GOOD + b"\r\n", 400, True),
        (b"PUT /api/k HTTP/1.0\r\n" + GOOD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, True),
        (head(b"PUT /api/k", GOOD + b"Transfer-Encoding: gzip, chunked\r\n") + b"0\r\n\r\n", 400, True),
        (head(b"PUT /api/k", GOOD + b"Transfer-Encoding: gzip\r\n"), 400, True),
        (head(b"PUT /api/k", GOOD + b"Content-Length: 1, 1\r\n") + b"a", 400, True),
        (head(b"GET /api/k", GOOD + b"X: a\r\n b\r\n"), 400, True),
        (head(b"GET /api/k", GOOD + b"X : a\r\n"), 400, True),
        # Host (RFC 9112, 3.2)
        (b"GET /api/k HTTP/1.1\r\n" + GOOD + b"\r\n", 400, False),
        (head(b"GET /api/k", GOOD + b"Host: x\r\n"), 400, False),
        (b"GET /api/k HTTP/1.1\r\nHost: a/b\r\n" + GOOD + b"\r\n", 400, False),
        (b"GET /api/k HTTP/1.1\r\nHost: u@x\r\n" + GOOD + b"\r\n", 400, False),
        # Targets (RFC 9112, 3.2; RFC 3986, 3.3 and 5.2.4)
        (head(b"GET /api/k#f"), 400, False),
        (head(b"GET /api/%zz"), 400, False),
        (head(b"GET /api/a\"b"), 400, False),
        (head(b"GET /api/../k"), 400, False),
        (head(b"GET /api/%2E%2e/k"), 400, False),
        (head(b"GET *"), 400, False),
        # Fields of ours that come twice, or hold what no token may (RFC 9110, 5.3 and 5.6.2)
        *((head(b"GET /api/k", GOOD + line + b"\r\n"), 400, False) for line in (
            b"Req-Id: b", b"req-id: a", b"Req-Kind: read", b"Req-Deadline: 2",
            b"Req-Owner: o\r\nReq-Owner: o", b"Req-Cost: 1\r\nReq-Cost: 1",
            b"Req-Owner: a b", b"Req-Owner: ", b"Req-Owner: \xc3\xa9", b"Idempotency-Key: a,b",
            b"Idempotency-Key: a\r\nIdempotency-Key: a", b"Idempotency-Key: \"a\"", b"Req-Retry: (1)",
            b"Content-Type: a/b\r\nContent-Type: c/d",
        )),
        (head(b"GET /api/k", b"Req-Id: a b\r\nReq-Kind: read\r\nReq-Deadline: 1\r\n"), 400, False),
    ],
)
def test_bad_requests_reach_no_node(sent: bytes, status: int, closes: bool) -> None:
    async def main() -> None:
        async with world(None) as w:
            client = await w.client()
            client.send(sent)
            answer = await client.answer()
            assert answer.status == status
            if closes:
                assert answer.headers["connection"] == "close" and await client.ended() == b""
            else:  # framing is whole: the connection goes on
                client.send(request())
                assert (await client.answer()).body == b"hello"
            assert len(w.seen()) == (0 if closes else 1)

    run(main())


@pytest.mark.parametrize("sent", [
    head(b"GET /api/a.b..c/.k?x=/../y&z=%2e"),
    head(b"GET /api/k%2Fa;v=1,2:@!$&'()*+~-_"),
    head(b"GET /api/k", GOOD + b"Idempotency-Key: !#$%&'*+-.^_`|~aZ9\r\nX: 1\r\nX: 2\r\n"),
    head(b"PUT /api/k", GOOD + b"Transfer-Encoding: Chunked\r\n") + b"2;e=f\r\nab\r\n0\r\nReq-Id: t\r\n\r\n",
    b"GET /api/k HTTP/1.0\r\n" + GOOD + b"\r\n",
    b"\r\nGET /api/k HTTP/1.1\r\nHost: [::1]:80\r\n" + GOOD + b"\r\n",
    b"GET /api/k HTTP/1.1\r\nHost:\r\nReq-Id:  a \r\nReq-Kind: read\t\r\nReq-Deadline: 1\r\n\r\n",
])  # fmt: skip
def test_what_the_rules_allow_is_served(sent: bytes) -> None:
    async def main() -> None:
        async with world(None) as w:
            client = await w.client()
            client.send(sent)
            assert (await client.answer()).status == 200
            assert w.seen()[0].headers["req-id"] == "a"

    run(main())


def test_a_chunked_body_over_the_limit_is_cut_off(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(downstream, "BODY_LIMIT", 100_000)

    async def main() -> None:
        async with world(None) as w:
            client = await w.client()
            client.send(head(b"PUT /api/k", GOOD + b"Transfer-Encoding: chunked\r\n"))
            client.send(b"30000\r\n" + b"x" * 0x30000 + b"\r\n")
            assert (await client.answer()).status == 413
            assert w.front.bodies.held == 0 and not w.seen()

    run(main())


def test_what_a_request_tells_the_module() -> None:
    async def main() -> None:
        async with world(None) as w:
            client = await w.client()
            marks = "Req-Retry: 1\r\nReq-Cost: 1200\r\n"
            client.send(request("PUT", "/a/key?x", "keyed", "0.75", b"v", marks))
            await client.answer()
            client.send(request("GET", "/b/key", "read"))
            await client.answer()
            one, two = (e for e in w.events if isinstance(e, Arrived))
            assert (one.class_name, one.tenant, one.effort_us) == ("keyed", "o", 1200)
            assert one.write and one.is_retry and 700_000 < one.time_left_us <= 750_000
            assert one.key == two.key and not two.write and not two.is_retry

    run(main())


def test_bytes_in_any_pieces_and_a_slow_head() -> None:
    async def main() -> None:
        async with world(None) as w:
            client = await w.client()
            for n, byte in enumerate(request("PUT", "/api/k", "keyed", "0.5", b"body")):
                if n == 100:
                    await asyncio.sleep(0.6)  # longer than the deadline, which counts from the last byte
                client.send(bytes([byte]))
                await asyncio.sleep(0)
            assert (await client.answer()).status == 200
            assert w.seen()[0].body == b"body"

    run(main())


def test_chunked_bodies_and_large_ones_go_on_whole() -> None:
    async def main() -> None:
        async with world(None) as w:
            client = await w.client()
            chunked = "Transfer-Encoding: chunked\r\n"
            client.send(request(kind="keyed", more=chunked).replace(b"GET", b"PUT"))
            client.send(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
            assert (await client.answer()).status == 200
            large = bytes(1000) * (BODY_LIMIT // 1000)
            client.send(request("PUT", kind="keyed", deadline="5", body=large))
            assert (await client.answer()).status == 200
            assert [s.body for s in w.seen()] == [b"abcde", large]
            assert w.front.bodies.held == 0

    run(main())  # fmt: skip


def test_pipelined_requests_are_answered_in_their_order() -> None:
    async def main() -> None:
        async def echo(seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.02 if seen.line.startswith("GET /api/0 ") else 0)
            writer.write(ok(seen.line.split()[1].encode()))

        async with world(echo) as w:
            client = await w.client()
            client.send(b"".join(request(path=f"/api/{n}") for n in range(20)) + request()[:30])
            assert [(await client.answer()).body for _ in range(20)] == [b"/api/%d" % n for n in range(20)]
            many = downstream.PIPELINE + 10
            client.send(b"x")  # spoils what was begun
            client = await w.client()
            client.send(b"".join(request(path=f"/api/{n}") for n in range(many)))
            statuses = [(await client.answer()).status for _ in range(many)]
            assert statuses.count(200) >= downstream.PIPELINE and set(statuses) <= {200, 503}

    run(main())


def test_expect_continue() -> None:
    async def main() -> None:
        async with world(None) as w:
            client = await w.client()
            whole = request("PUT", kind="keyed", body=b"12345", more="Expect: 100-continue\r\n")
            client.send(whole[:-5])
            assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            client.send(whole[-5:])
            assert (await client.answer()).status == 200
            client.send(request("PUT", "/", body=b"12345", more="Expect: 100-continue\r\n")[:-5])
            assert (await client.answer()).status == 404
            assert await client.ended() == b""

    run(main())


def test_connections_are_kept_unless_the_client_says_otherwise() -> None:
    async def main() -> None:
        async with world(None) as w:
            client = await w.client()
            for _ in range(3):
                client.send(request())
                assert "connection" not in (await client.answer()).headers
            client.send(request(more="Connection: close\r\n"))
            assert (await client.answer()).headers["connection"] == "close"
            assert await client.ended() == b""
            client = await w.client()
            client.send(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
            assert (await client.answer()).headers["connection"] == "close"
            client = await w.client()
            client.send(request(more="Connection: Upgrade\r\nUpgrade: h2c\r\n"))
            assert (await client.answer()).status == 200

    run(main())


def test_an_answer_survives_the_bytes_that_came_after_its_request() -> None:
    """A bare close with unread bytes would send an RST and could destroy the answer."""

    async def main() -> None:
        async with world(None) as w:
            client = await w.client()
            client.send(head(b"PUT /api/k", GOOD + b"Content-Length: %d\r\n" % (BODY_LIMIT + 1)))
            client.send(b"x" * 3_000_000)
            await until(lambda: any(c.lingering for c in w.front.clients))
            await asyncio.sleep(0.05)
            client.send(b"x" * 3_000_000)
            assert (await client.answer()).status == 413 and await client.ended() == b""

    run(main())


@pytest.mark.parametrize("deadline", ["0", "-1", "0.000"])
def test_a_deadline_already_past_is_answered_at_once(deadline: str) -> None:
    async def main() -> None:
        async with world(None) as w:
            assert (await w.ask(deadline=deadline)).status == 503
            assert not w.seen()

    run(main())


def test_the_id_of_an_open_request_is_turned_away_and_free_again_after_it() -> None:
    """A cache node would see one id twice at once: for some classes a second effect."""

    async def main() -> None:
        gate = asyncio.Event()
        async with world(gated(gate)) as w:
            same = request("PUT", kind="once", body=b"value")
            owner, other = await w.client(), await w.client()
            owner.send(same)
            await until(w.seen)
            other.send(same)
            assert (await other.answer()).status == 409
            gate.set()
            assert (await owner.answer()).status == 200
            assert len({e.request for e in w.events if isinstance(e, Arrived)}) == len(w.seen()) == 1
            other.send(same)
            assert (await other.answer()).status == 200 and w.front.bodies.held == 0

    run(main())


def test_more_requests_than_may_be_open_are_refused_before_the_module() -> None:
    async def main() -> None:
        async with world(silent, permissions={"maxAttempts": 2, "mayCancel": True, "maxOpen": 2}) as w:
            clients = [await w.client() for _ in range(2)]
            for c in clients:
                c.send(request(kind="once"))
            await until(lambda: len(w.proxy.requests) == 2)
            assert (await w.ask(kind="once")).status == 503
            assert sum(isinstance(e, Arrived) for e in w.events) == 2

    run(main())


def test_heads_and_bodies_that_stop_are_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(downstream, "HEAD_S", 0.05)
    monkeypatch.setattr(downstream, "STALL_S", 0.05)

    async def main() -> None:
        async with world(None) as w:
            whole = request("PUT", kind="keyed", body=b"x" * 5000)
            for part in (whole[:20], whole[:-100]):
                client = await w.client()
                client.send(part)
                await until(lambda: any(not c.idle for c in w.front.clients))
                await asyncio.sleep(0.06)
                w.front.sweep()
                assert (await client.answer()).status == 408 and await client.ended() == b""
            monkeypatch.setattr(downstream, "UNUSED_S", -1.0)
            client = await w.client()
            await until(lambda: any(c.transport and not c.lingering for c in w.front.clients))
            w.front.sweep()
            assert await client.ended() == b""
            assert w.front.bodies.held == 0

    run(main())


def test_a_client_that_leaves_a_request_or_a_connection_open_is_answered_within_3_s() -> None:
    """By the times that hold in service, with the longest wait for a sweep."""

    async def main() -> None:
        async with world(None) as w:
            whole = request("PUT", kind="keyed", body=b"x" * 5000)
            parts = (b"", whole[:20], whole[:-100], b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", whole)
            clients = [await w.client() for _ in parts]
            for client, part in zip(clients, parts, strict=True):
                client.send(part)
            assert (await clients[3].answer()).status == (await clients[4].answer()).status == 200
            await until(lambda: all(c.transport for c in w.front.clients))
            await until(lambda: len(w.front.clients) == 5 and sum(not c.idle for c in w.front.clients) == 2)
            for c in list(w.front.clients):
                c.sweep(c.moved_at + 1.9)  # a pause that an honest client may make
            assert len(w.front.clients) == 5 and not any(c.closing for c in w.front.clients)
            for c in list(w.front.clients):
                c.sweep(c.moved_at + 2.5)
            ends = [await client.ended() for client in clients]
            assert [e[:12] for e in ends] == [b"", b"HTTP/1.1 408", b"HTTP/1.1 408", b"", b""]

    run(main())


def test_large_bodies_at_once_wait_for_memory() -> None:
    async def main() -> None:
        async with world(None) as w:
            w.front.bodies.most = 1_000_000
            size, held = 3_000_000, []
            clients = [await w.client() for _ in range(6)]
            for c in clients:
                c.send(request("PUT", kind="keyed", deadline="5", body=b"z" * size))

            async def watch() -> None:
                while True:
                    held.append(w.front.bodies.held)
                    await asyncio.sleep(0.001)

            watching = asyncio.ensure_future(watch())
            assert [(await c.answer()).status for c in clients] == [200] * 6
            watching.cancel()
            # one body goes on to its end, the others by a read at the most
            assert max(held) < 1_000_000 + size + 6 * 300_000
            assert w.front.bodies.held == 0 and not w.front.bodies.stalled

    run(main())


def test_out_of_descriptors_clients_wait_and_idle_ones_make_room(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(downstream, "EVICT_S", 0.0)
    gate = asyncio.Event()

    async def main() -> None:
        async with world(gated(gate)) as w:
            w.front.most = 3
            idle = await w.client()
            busy = [await w.client() for _ in range(3)]
            for c in busy:
                c.send(request(deadline="5", path="/api/1", kind="once"))
            assert await idle.ended() == b""  # between requests, in favour of one that wants to ask
            await until(lambda: len(w.seen()) == 3)
            waiting = await w.client()
            waiting.send(request(deadline="5", kind="once"))
            await asyncio.sleep(0.05)
            assert len(w.front.clients) == 3 and len(w.seen()) == 3
            gate.set()
            assert [(await c.answer()).status for c in busy] == [200] * 3
            busy[0].writer.close()
            assert (await waiting.answer()).status == 200

    run(main())


def test_connections_that_ask_nothing_or_never_end_a_head_make_room(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards rb7c84a: they filled the proxy's descriptors, and it took no further connection."""
    monkeypatch.setattr(downstream, "EVICT_S", 0.02)
    monkeypatch.setattr(downstream, "HEAD_S", 0.9)

    async def main() -> None:
        async with world(None) as w:
            w.front.most = 4
            heads = [await w.client() for _ in range(2)]
            for c in heads:
                c.send(request()[:30])
            await until(lambda: sum(bool(c.spare) for c in w.front.clients) == 2)
            silent_ones = [await w.client() for _ in range(10)]
            for _ in range(3):
                assert (await w.ask()).status == 200
            await asyncio.sleep(0.15)
            more = [await w.client() for _ in range(4)]
            assert (await w.ask()).status == 200
            for c in [*heads, *silent_ones, *more]:
                c.writer.close()

    run(main())


def test_slow_readers_by_the_hundred_do_not_hold_up_others() -> None:
    handler: Handler = says(ok(b"x" * 60_000))

    async def main() -> None:
        async with world(handler) as w:
            slow = []
            for _ in range(100):
                c = await w.client()
                c.writer.transport.pause_reading()  # type: ignore[attr-defined]
                c.send(request())
                slow.append(c)
            for _ in range(10):
                assert (await w.ask()).status == 200
            for c in slow:
                c.writer.transport.resume_reading()  # type: ignore[attr-defined]
                assert len((await c.answer()).body) == 60_000

    run(main())


def test_a_late_event_loop_refuses_a_growing_part() -> None:
    async def main() -> None:
        async with world(None) as w:
            look = w.proxy.lag.look  # at times of the test's own: the real ones follow the machine's load
            look(1.0)
            assert w.proxy.lag.limit_s == 0.1 and not w.proxy.lag.sheds()
            for n in range(40):  # every look comes 0.2 s too late
                look(1.0 + 0.21 * (n + 1))
            assert w.proxy.lag.share == lag.MOST_SHED
            statuses = [(await w.ask()).status for _ in range(60)]
            assert statuses.count(503) > 30 and len(w.seen()) == statuses.count(200)
            for n in range(100):
                look(10.0 + lag.TICK_S * n)
            assert w.proxy.lag.share == 0 and (await w.ask()).status == 200

    run(main())


def test_ready() -> None:
    async def main() -> None:
        async with world(None) as w:
            client = await w.client()
            client.send(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await client.answer()).status == 200

    run(main())
