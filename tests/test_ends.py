"""A request releases all its resources however it ends: tests over loopback sockets."""

from __future__ import annotations

import asyncio
import gc
from collections import Counter

import pytest

from magpiefront.router import AdmissionGate
from magpiefront.interface import Outcome
from tests.sockets import (
    Client, Handler, ProxyHarness, gated, ok, request, resets, run, reply, silent, until, running_proxy,
)  # fmt: skip

ERROR = reply(b"HTTP/1.1 500 X\r\nContent-Length: 3\r\n\r\nbad")
DECLINED = reply(b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
TRUNCATED = reply(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
FAILURES = (ERROR, DECLINED, resets, TRUNCATED, reply(b"nonsense\r\n\r\n"), silent)


async def assert_released(w: ProxyHarness) -> None:
    """Waits until the proxy holds no request, and checks that no resource of a request is left."""
    await until(lambda: not w.proxy.requests, "the removal of every request")
    assert not w.proxy.router.pending and not w.proxy.router.in_flight
    assert not w.front.memory.used and not w.proxy.streams


@pytest.mark.parametrize(
    ("handler", "status"), [(None, 200), (ERROR, 502), (DECLINED, 503), (resets, 502), (silent, 504)]
)
def test_a_request_that_has_ended_is_removed(handler: Handler | None, status: int) -> None:
    async def main() -> None:
        async with running_proxy(handler) as w:
            for n in range(5):
                assert (await w.ask("PUT", f"/api/{n}", "once", "0.15", b"value")).status == status
            await assert_released(w)

    run(main())


def test_an_unexpected_request_body_is_not_kept() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            client = await w.client()
            for path in ("/ready", "/api/", "/api/k"):
                client.send(request(path=path, body=b"x" * 1000))
                assert (await client.answer()).status in (200, 404)
            await assert_released(w)

    run(main())


@pytest.mark.parametrize(
    ("answer", "status"),
    [
        (b"nonsense\r\n\r\n", 502),
        (b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", 502),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", 504),  # until its time is over, it may go on
        (b"HTTP/1.1 200 OK\r\n\r\nwithout an end", 504),
        (b"HTTP/1.1 200 OK\r\nX: " + b"a" * 40_000, 502),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 502),
        (b"HTTP/1.1 500 X\r\nContent-Length: 10\r\n\r\nhalf", 502),
    ],
    ids=["not HTTP", "bad length", "truncated", "no length", "endless head", "bad chunk", "truncated error"],
)
def test_a_node_connection_with_a_malformed_answer_is_closed(answer: bytes, status: int) -> None:
    async def main() -> None:
        async with running_proxy(reply(answer)) as w:
            for n in range(3):
                assert (await w.ask(path=f"/api/{n}", kind="once", deadline="0.5")).status == status
            allowed = {Outcome.TIMEOUT} if status == 504 else {Outcome.RESET, Outcome.ERROR}
            assert set(w.outcomes()) <= allowed
            await until(lambda: not w.nodes[0].open, "the closing of the connections")
            assert w.proxy.pool.open == 0
            await assert_released(w)

    run(main())


def test_a_request_whose_client_has_disconnected_is_removed() -> None:
    async def main() -> None:
        async with running_proxy(silent) as w:
            client = await w.client()
            client.send(request("PUT", kind="once", body=b"value"))
            await until(w.seen)
            client.writer.close()
            await assert_released(w)

    run(main())


def test_sequential_requests_may_exceed_the_limit_of_open_requests() -> None:
    async def main() -> None:
        async with running_proxy(None, permissions={"maxAttempts": 2, "mayCancel": True, "maxOpen": 3}) as w:
            client = await w.client()
            for _ in range(10):
                client.send(request())
                assert (await client.answer()).status == 200

    run(main())


def test_the_losing_attempt_of_a_hedged_request_is_removed_with_its_request() -> None:
    async def main() -> None:
        gate = asyncio.Event()
        permissions = {"maxAttempts": 4, "secondCopies": True, "mayCancel": True}
        async with running_proxy(None, None, permissions=permissions) as w:
            assert (await w.ask()).status == 200  # the key is cached now: hedging is possible
            (first,) = w.seen()
            first.node.handler = gated(gate)
            assert (await w.ask()).status == 200
            assert len({s.node.name for s in w.seen()}) == 2
            await assert_released(w)
            gate.set()

    run(main())


def test_a_rested_connection_to_a_node_does_not_hold_its_last_answer() -> None:
    async def main() -> None:
        async with running_proxy(reply(ok(b"x" * 60_000))) as w:
            assert (await w.ask()).status == 200
            assert all(not c.answer.body for c in w.proxy.pool.idle) and w.proxy.pool.idle

    run(main())


def live_objects() -> Counter[str]:
    """Returns the number of live objects of this program and of its parsers, by type."""
    names = (f"{type(o).__module__}.{type(o).__qualname__}" for o in gc.get_objects())
    return Counter(n for n in names if n.startswith(("magpiefront.", "httptools.", "uvloop.loop.Timer")))


async def play_round(w: ProxyHarness, persistent: Client, n: int) -> None:
    """Runs each kind of client once, and drains the node and lists it again. `persistent` sends 200 requests
    on its connection, and one that fails."""
    node, w.nodes[0].handler = w.nodes[0], reply(ok())
    for _ in range(10):
        persistent.send(b"".join(request(path=f"/api/{n}-{k}") for k in range(20)))
        for _ in range(20):
            assert (await persistent.answer()).status == 200
    idle, closing, resetting = [await w.client() for _ in range(3)]
    idle.send(request())
    assert (await idle.answer()).status == 200
    node.handler = FAILURES[n % len(FAILURES)]
    persistent.send(request("PUT", kind="once", body=b"value", deadline="0.02"))
    assert (await persistent.answer()).status != 200
    node.handler = silent
    for client in (closing, resetting):
        client.send(request(deadline="5"))
    seen = len(node.seen)
    await until(lambda: len(node.seen) >= seen + 2, "the requests at the node")
    resetting.writer.transport.abort()
    for client in (closing, idle):
        client.writer.close()
    await until(lambda: len(w.front.clients) == 1 and not w.proxy.requests, "the end of the clients")
    router = w.proxy.router
    w.lists.change(2 * n + 2, node.entry("Terminating"))
    await until(lambda: not router.servers, "the node's drain")
    w.lists.change(2 * n + 3, node.entry())  # it returns, and its failures are forgotten
    await until(lambda: router.servers, "the node's return")
    router.server_gate, router.origin_gate, router.fleet_bad_share = AdmissionGate(), AdmissionGate(), 0.0
    w.events.clear()
    node.seen.clear()
    node.writers.clear()


def test_ended_requests_and_connections_are_freed_without_the_garbage_collector() -> None:
    """Guards against reference cycles between a request and its attempts, or a connection and its parser,
    which stay in memory until the garbage collector runs."""

    async def main() -> None:
        async with running_proxy(None) as w:
            persistent = await w.client()
            for n in range(2):
                await play_round(w, persistent, n)
            gc.collect()
            before = live_objects()
            for n in range(2, 502):  # 100,000 requests on the persistent connection
                await play_round(w, persistent, n)
            await until(lambda: w.proxy.pool.open <= 1, "the closing of the connections")
            grown = live_objects() - before
            assert sum(grown.values()) <= 60, grown

    gc.disable()
    try:
        run(main(), 600)
    finally:
        gc.enable()
