"""Client connections over loopback sockets: which requests are accepted, how they are framed, and how they
are answered; timeouts, evictions and load shedding."""

from __future__ import annotations

import asyncio

import pytest

from magpiefront.interface import Arrived
from magpiefront.net import downstream, lag
from magpiefront.net.pipeline import MAX_PIPELINED_REQUESTS
from magpiefront.net.http1 import MAX_BODY_BYTES
from tests.sockets import (
    Handler, ReceivedRequest, gated, ok, reply, request, run, running_proxy, silent, until,
)  # fmt: skip

VALID = b"Req-Id: a\r\nReq-Kind: read\r\nReq-Deadline: 1\r\n"


def head(line: bytes, headers: bytes = VALID) -> bytes:
    return line + b" HTTP/1.1\r\nHost: x\r\n" + headers + b"\r\n"


@pytest.mark.parametrize(
    ("sent", "status", "closes"),
    [
        (b"nonsense\r\n\r\n", 405, True),
        (b"GET /api/k\r\n\r\n", 400, True),
        (head(b"GET /api/k", VALID + b"bad header\r\n"), 400, True),
        (head(b"GET /api/k", VALID + b"Content-Length: 1\r\nContent-Length: 2\r\n"), 400, True),
        (head(b"PUT /api/k", VALID + b"Content-Length: -1\r\n"), 400, True),
        (head(b"PUT /api/k", VALID + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"), 400, True),
        (head(b"PUT /api/k", VALID + b"Transfer-Encoding: chunked\r\n") + b"zz\r\n", 400, True),
        (head(b"PUT /api/k", VALID + b"Content-Length: %d\r\n" % (MAX_BODY_BYTES + 1)), 413, True),
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
        (head(b"GET /api/k", VALID + b"Req-Cost: much\r\n"), 400, False),
        (head(b"GET /api/k", VALID + b"Req-Cost: -1\r\n"), 400, False),
        # Versions and framing (RFC 9112, 2.3 and 6): the connection is closed if recipients could disagree on
        # where the message ends.
        (b"GET /api/k HTTP/0.9\r\nHost: x\r\n" + VALID + b"\r\n", 400, True),
        (b"GET /api/k HTTP/2.0\r\nHost: x\r\n" + VALID + b"\r\n", 400, True),
        (b"PUT /api/k HTTP/1.0\r\n" + VALID + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, True),
        (head(b"PUT /api/k", VALID + b"Transfer-Encoding: gzip, chunked\r\n") + b"0\r\n\r\n", 400, True),
        (head(b"PUT /api/k", VALID + b"Transfer-Encoding: gzip\r\n"), 400, True),
        (head(b"PUT /api/k", VALID + b"Content-Length: 1, 1\r\n") + b"a", 400, True),
        (head(b"GET /api/k", VALID + b"X: a\r\n b\r\n"), 400, True),
        (head(b"GET /api/k", VALID + b"X : a\r\n"), 400, True),
        # Host (RFC 9112, 3.2)
        (b"GET /api/k HTTP/1.1\r\n" + VALID + b"\r\n", 400, False),
        (head(b"GET /api/k", VALID + b"Host: x\r\n"), 400, False),
        (b"GET /api/k HTTP/1.1\r\nHost: a/b\r\n" + VALID + b"\r\n", 400, False),
        (b"GET /api/k HTTP/1.1\r\nHost: u@x\r\n" + VALID + b"\r\n", 400, False),
        # Targets (RFC 9112, 3.2; RFC 3986, 3.3 and 5.2.4)
        (head(b"GET /api/k#f"), 400, False),
        (head(b"GET /api/%zz"), 400, False),
        (head(b'GET /api/a"b'), 400, False),
        (head(b"GET /api/../k"), 400, False),
        (head(b"GET /api/%2E%2e/k"), 400, False),
        (head(b"GET *"), 400, False),
        # The proxy's own fields, repeated or with characters not allowed in a token (RFC 9110, 5.3 and 5.6.2)
        *(
            (head(b"GET /api/k", VALID + line + b"\r\n"), 400, False)
            for line in (
                b"Req-Id: b",
                b"req-id: a",
                b"Req-Kind: read",
                b"Req-Deadline: 2",
                b"Req-Owner: o\r\nReq-Owner: o",
                b"Req-Cost: 1\r\nReq-Cost: 1",
                b"Req-Owner: a b",
                b"Req-Owner: ",
                b"Req-Owner: \xc3\xa9",
                b"Idempotency-Key: a,b",
                b"Idempotency-Key: a\r\nIdempotency-Key: a",
                b'Idempotency-Key: "a"',
                b"Req-Retry: (1)",
                b"Content-Type: a/b\r\nContent-Type: c/d",
            )
        ),
        (head(b"GET /api/k", b"Req-Id: a b\r\nReq-Kind: read\r\nReq-Deadline: 1\r\n"), 400, False),
    ],
)
def test_invalid_requests_are_not_forwarded(sent: bytes, status: int, closes: bool) -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            client = await w.client()
            client.send(sent)
            answer = await client.answer()
            assert answer.status == status
            if closes:
                assert answer.headers["connection"] == "close" and await client.ended() == b""
            else:  # the framing is intact: the connection stays usable
                client.send(request())
                assert (await client.answer()).body == b"hello"
            assert len(w.seen()) == (0 if closes else 1)

    run(main())


@pytest.mark.parametrize("sent", [
    head(b"GET /api/a.b..c/.k?x=/../y&z=%2e"),
    head(b"GET /api/k%2Fa;v=1,2:@!$&'()*+~-_"),
    head(b"GET /api/k", VALID + b"Idempotency-Key: !#$%&'*+-.^_`|~aZ9\r\nX: 1\r\nX: 2\r\n"),
    head(b"PUT /api/k", VALID + b"Transfer-Encoding: Chunked\r\n") + b"2;e=f\r\nab\r\n0\r\nReq-Id: t\r\n\r\n",
    b"GET /api/k HTTP/1.0\r\n" + VALID + b"\r\n",
    b"\r\nGET /api/k HTTP/1.1\r\nHost: [::1]:80\r\n" + VALID + b"\r\n",
    b"GET /api/k HTTP/1.1\r\nHost:\r\nReq-Id:  a \r\nReq-Kind: read\t\r\nReq-Deadline: 1\r\n\r\n",
])  # fmt: skip
def test_unusual_but_valid_requests_are_served(sent: bytes) -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            client = await w.client()
            client.send(sent)
            assert (await client.answer()).status == 200
            assert w.seen()[0].headers["req-id"] == "a"

    run(main())


def test_chunked_body_over_the_limit_gets_413(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(downstream, "MAX_BODY_BYTES", 100_000)

    async def main() -> None:
        async with running_proxy(None) as w:
            client = await w.client()
            client.send(head(b"PUT /api/k", VALID + b"Transfer-Encoding: chunked\r\n"))
            client.send(b"30000\r\n" + b"x" * 0x30000 + b"\r\n")
            assert (await client.answer()).status == 413
            assert w.front.memory.used == 0 and not w.seen()

    run(main())


def test_request_fields_reach_the_router() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            client = await w.client()
            fields = "Req-Retry: 1\r\nReq-Cost: 1200\r\n"
            client.send(request("PUT", "/a/key?x", "keyed", "0.75", b"v", fields))
            await client.answer()
            client.send(request("GET", "/b/key", "read"))
            await client.answer()
            one, two = (e for e in w.events if isinstance(e, Arrived))
            assert (one.class_name, one.tenant, one.effort_us) == ("keyed", "o", 1200)
            assert one.write and one.is_retry and 700_000 < one.time_left_us <= 750_000
            assert one.key == two.key and not two.write and not two.is_retry

    run(main())


def test_request_sent_byte_by_byte_with_a_slow_head_is_served() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            client = await w.client()
            for n, byte in enumerate(request("PUT", "/api/k", "keyed", "0.5", b"body")):
                if n == 100:
                    await asyncio.sleep(0.6)  # longer than the deadline, which counts from the last byte
                client.send(bytes([byte]))
                await asyncio.sleep(0)
            assert (await client.answer()).status == 200
            assert w.seen()[0].body == b"body"

    run(main())


def test_chunked_and_large_bodies_are_forwarded_whole() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            client = await w.client()
            chunked = "Transfer-Encoding: chunked\r\n"
            client.send(request(kind="keyed", more=chunked).replace(b"GET", b"PUT"))
            client.send(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
            assert (await client.answer()).status == 200
            large = bytes(1000) * (MAX_BODY_BYTES // 1000)
            client.send(request("PUT", kind="keyed", deadline="5", body=large))
            assert (await client.answer()).status == 200
            assert [s.body for s in w.seen()] == [b"abcde", large]
            assert w.front.memory.used == 0

    run(main())  # fmt: skip


def test_pipelined_requests_are_answered_in_order() -> None:
    async def main() -> None:
        async def echo(
            seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:  # fmt: skip
            await asyncio.sleep(0.02 if seen.line.startswith("GET /api/0 ") else 0)
            writer.write(ok(seen.line.split()[1].encode()))

        async with running_proxy(echo) as w:
            client = await w.client()
            client.send(b"".join(request(path=f"/api/{n}") for n in range(20)) + request()[:30])
            assert [(await client.answer()).body for _ in range(20)] == [b"/api/%d" % n for n in range(20)]
            many = MAX_PIPELINED_REQUESTS + 10
            client.send(b"x")  # makes the request that was begun invalid
            client = await w.client()
            client.send(b"".join(request(path=f"/api/{n}") for n in range(many)))
            statuses = [(await client.answer()).status for _ in range(many)]
            assert statuses.count(200) >= MAX_PIPELINED_REQUESTS and set(statuses) <= {200, 503}

    run(main())


def test_expect_continue() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            client = await w.client()
            message = request("PUT", kind="keyed", body=b"12345", more="Expect: 100-continue\r\n")
            client.send(message[:-5])
            assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            client.send(message[-5:])
            assert (await client.answer()).status == 200
            client.send(request("PUT", "/", body=b"12345", more="Expect: 100-continue\r\n")[:-5])
            assert (await client.answer()).status == 404
            assert await client.ended() == b""

    run(main())


def test_connections_persist_unless_the_client_asks_to_close() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
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


def test_answer_arrives_although_unread_bytes_follow_the_request() -> None:
    """Guards against lost answers: closing a socket with unread bytes sends an RST, which can destroy the
    answer before the client has read it."""

    async def main() -> None:
        async with running_proxy(None) as w:
            client = await w.client()
            client.send(head(b"PUT /api/k", VALID + b"Content-Length: %d\r\n" % (MAX_BODY_BYTES + 1)))
            client.send(b"x" * 3_000_000)
            await until(lambda: any(c.lingering for c in w.front.clients))
            await asyncio.sleep(0.05)
            client.send(b"x" * 3_000_000)
            assert (await client.answer()).status == 413 and await client.ended() == b""

    run(main())


@pytest.mark.parametrize("deadline", ["0", "-1", "0.000"])
def test_request_past_its_deadline_is_refused_at_once(deadline: str) -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            assert (await w.ask(deadline=deadline)).status == 503
            assert not w.seen()

    run(main())


def test_id_of_an_open_request_is_refused_and_usable_afterwards() -> None:
    """Guards against sending a cache node the same id twice at the same time: for some classes, the request
    could take effect twice."""

    async def main() -> None:
        gate = asyncio.Event()
        async with running_proxy(gated(gate)) as w:
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
            assert (await other.answer()).status == 200 and w.front.memory.used == 0

    run(main())


def test_requests_over_the_open_limit_do_not_reach_the_router() -> None:
    async def main() -> None:
        async with running_proxy(
            silent, permissions={"maxAttempts": 2, "mayCancel": True, "maxOpen": 2}
        ) as w:
            clients = [await w.client() for _ in range(2)]
            for c in clients:
                c.send(request(kind="once"))
            await until(lambda: len(w.proxy.requests) == 2)
            assert (await w.ask(kind="once")).status == 503
            assert sum(isinstance(e, Arrived) for e in w.events) == 2

    run(main())


def test_stalled_heads_and_bodies_time_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(downstream, "HEAD_TIMEOUT_S", 0.05)
    monkeypatch.setattr(downstream, "STALL_TIMEOUT_S", 0.05)

    async def main() -> None:
        async with running_proxy(None) as w:
            message = request("PUT", kind="keyed", body=b"x" * 5000)
            for part in (message[:20], message[:-100]):
                client = await w.client()
                client.send(part)
                await until(lambda: any(not c.idle for c in w.front.clients))
                await asyncio.sleep(0.06)
                w.front.sweep()
                assert (await client.answer()).status == 408 and await client.ended() == b""
            monkeypatch.setattr(downstream, "IDLE_TIMEOUT_S", -1.0)
            client = await w.client()
            await until(lambda: any(c.transport and not c.lingering for c in w.front.clients))
            w.front.sweep()
            assert await client.ended() == b""
            assert w.front.memory.used == 0

    run(main())


def test_unfinished_requests_and_unused_connections_end_within_3_s() -> None:
    """Uses the timeouts of a proxy in service, and the longest time between two sweeps."""

    async def main() -> None:
        async with running_proxy(None) as w:
            message = request("PUT", kind="keyed", body=b"x" * 5000)
            parts = (b"", message[:20], message[:-100], b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", message)
            clients = [await w.client() for _ in parts]
            for client, part in zip(clients, parts, strict=True):
                client.send(part)
            assert (await clients[3].answer()).status == (await clients[4].answer()).status == 200
            await until(lambda: all(c.transport for c in w.front.clients))
            await until(lambda: len(w.front.clients) == 5 and sum(not c.idle for c in w.front.clients) == 2)
            for c in list(w.front.clients):
                c.sweep(c.last_progress_at + 1.9)  # a pause that a well-behaved client may make
            assert len(w.front.clients) == 5 and not any(c.closing for c in w.front.clients)
            for c in list(w.front.clients):
                c.sweep(c.last_progress_at + 2.5)
            ends = [await client.ended() for client in clients]
            assert [e[:12] for e in ends] == [b"", b"HTTP/1.1 408", b"HTTP/1.1 408", b"", b""]

    run(main())


def test_concurrent_large_bodies_wait_for_memory() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            w.front.memory.limit = 1_000_000
            size, used = 3_000_000, []
            clients = [await w.client() for _ in range(6)]
            for c in clients:
                c.send(request("PUT", kind="keyed", deadline="5", body=b"z" * size))

            async def record() -> None:
                while True:
                    used.append(w.front.memory.used)
                    await asyncio.sleep(0.001)

            recording = asyncio.ensure_future(record())
            assert [(await c.answer()).status for c in clients] == [200] * 6
            recording.cancel()
            # One body is read to its end, and each of the others by at most one more read.
            assert max(used) < 1_000_000 + size + 6 * 300_000
            assert w.front.memory.used == 0 and not w.front.memory.paused

    run(main())


def test_at_the_connection_limit_clients_wait_and_idle_connections_are_closed(
    monkeypatch: pytest.MonkeyPatch
) -> None:  # fmt: skip
    monkeypatch.setattr(downstream, "MIN_EVICTION_IDLE_S", 0.0)
    gate = asyncio.Event()

    async def main() -> None:
        async with running_proxy(gated(gate)) as w:
            w.front.max_clients = 3
            idle = await w.client()
            busy = [await w.client() for _ in range(3)]
            for c in busy:
                c.send(request(deadline="5", path="/api/1", kind="once"))
            assert await idle.ended() == b""  # closed while idle, to make room for a client with a request
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


def test_silent_connections_and_unfinished_heads_are_evicted(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against connections without a complete request that use up the proxy's descriptors: the proxy
    then accepts no further connection (incident rb7c84a)."""
    monkeypatch.setattr(downstream, "MIN_EVICTION_IDLE_S", 0.02)
    monkeypatch.setattr(downstream, "HEAD_TIMEOUT_S", 0.9)

    async def main() -> None:
        async with running_proxy(None) as w:
            w.front.max_clients = 4
            heads = [await w.client() for _ in range(2)]
            for c in heads:
                c.send(request()[:30])
            await until(lambda: sum(not c.between_messages for c in w.front.clients) == 2)
            silent_ones = [await w.client() for _ in range(10)]
            for _ in range(3):
                assert (await w.ask()).status == 200
            await asyncio.sleep(0.15)
            more = [await w.client() for _ in range(4)]
            assert (await w.ask()).status == 200
            for c in [*heads, *silent_ones, *more]:
                c.writer.close()

    run(main())


def test_a_hundred_slow_readers_do_not_delay_others() -> None:
    handler: Handler = reply(ok(b"x" * 60_000))

    async def main() -> None:
        async with running_proxy(handler) as w:
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


def test_loop_lag_sheds_a_growing_fraction_of_requests() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            # Called with times that the test chooses: real ones depend on the load of the machine.
            measure = w.proxy.lag.measure
            measure(1.0)
            assert w.proxy.lag.limit_s == 0.1 and not w.proxy.lag.should_shed(False)
            for n in range(40):  # each measurement comes 0.2 s late
                measure(1.0 + 0.21 * (n + 1))
            assert w.proxy.lag.shed_fraction == lag.MAX_SHED
            statuses = [(await w.ask()).status for _ in range(60)]
            assert statuses.count(503) > 30 and len(w.seen()) == statuses.count(200)
            for n in range(100):
                measure(10.0 + lag.TICK_S * n)
            assert w.proxy.lag.shed_fraction == 0 and (await w.ask()).status == 200

    run(main())


def test_ready_is_answered() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            client = await w.client()
            client.send(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await client.answer()).status == 200

    run(main())
