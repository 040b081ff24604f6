"""The client of the discovery service over loopback sockets: valid, invalid, late and missing answers."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

import pytest

from magpiefront import Router
from magpiefront.interface import (
    ListKind, Repeat, RequestClass, ServerEntry, ServerList, SetTimer, Settings, Status,
)  # fmt: skip
from magpiefront.net import discovery, proxy
from tests.sockets import DiscoveryServer, Node, ProxyHarness, ok, run, running_proxy, until


CLASS = RequestClass("read", Repeat.SAFE, 500_000, 1_000_000)


def kinds(w: ProxyHarness) -> list[ListKind]:
    return [e.kind for e in w.events if isinstance(e, ServerList)]


@pytest.mark.parametrize("lifecycle", ["Terminating", "Gone"])
def test_a_draining_or_gone_node_gets_no_new_requests(lifecycle: str) -> None:
    async def main() -> None:
        async with running_proxy(None, None) as w:
            for n in range(10):
                await w.ask(path=f"/api/{n}")
            before = len(w.nodes[0].seen)
            assert before
            w.lists.change(2, w.nodes[0].entry(lifecycle))
            await until(lambda: len(w.lists.calls) == 2)
            for n in range(10):
                assert (await w.ask(path=f"/api/{n}")).status == 200
            assert len(w.nodes[0].seen) == before
            await until(lambda: not w.nodes[0].open, "the closing of its connections")
            w.lists.change(3, w.nodes[0].entry())
            await until(lambda: len(w.lists.calls) == 3)
            for n in range(10):
                assert (await w.ask(path=f"/api/{n}")).status == 200
            assert len(w.nodes[0].seen) > before

    run(main())


def test_a_node_is_cold_for_the_configured_time_after_its_start() -> None:
    """Guards against reading the start of a node in a wrong unit: it lay far in the future, and the node
    stayed cold forever."""

    async def main() -> None:
        async with running_proxy(None) as w:
            now_ms = w.proxy.now_us() // 1000
            w.lists.change(2, w.nodes[0].entry(startedAtMs=now_ms - 9_000))
            await until(lambda: len(w.lists.calls) == 2)
            server = w.proxy.router.servers["s-0"]
            assert server.started_at == (now_ms - 9_000) * 1000 and server.warm_at <= w.proxy.now_us()
            for n in range(20):
                assert (await w.ask(path=f"/api/{n}")).status == 200
            w.lists.change(3, w.nodes[0].entry(startedAtMs=now_ms))
            await until(lambda: len(w.lists.calls) == 3)
            assert 0 < server.warm_at - w.proxy.now_us() <= 8_000_000

    run(main())


def test_a_node_that_changes_its_address_gets_requests_there() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            await w.ask()
            moved = Node("s-0", None)
            await moved.start()
            w.lists.change(2, moved.entry())
            await until(lambda: len(w.lists.calls) == 2)
            assert (await w.ask()).status == 200
            assert len(moved.seen) == 1 and len(w.nodes[0].seen) == 1
            await until(lambda: not w.nodes[0].open)
            moved.stop()

    run(main())


@pytest.mark.parametrize(
    "answer",
    [
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
        ok(b"{"),
        ok(b"\xff\xfe"),
        ok(b"[" * 100_000),
        ok(b"[]"),
        ok(b'{"generation":2,"reset":true}'),
        ok(b'{"generation":"x","reset":true,"instances":[]}'),
        ok(b'{"generation":2,"reset":true,"instances":{}}'),
        ok(b'{"generation":2,"reset":true,"instances":[1,null,"x",{}]}'),
        ok(b'{"generation":2,"reset":true,"instances":[{"instanceId":"s-9","hostPort":"here","lifecycle":"Ready"}]}'),
        b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nX: " + b"a" * 400_000,
    ],
)  # fmt: skip
def test_an_invalid_answer_changes_nothing(answer: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "agent_timeouts", lambda _: discovery.CallTimeouts(50, 0.1, 0.1, 1.0, 1.0))

    async def main() -> None:
        async with running_proxy(None) as w:
            w.lists.answers.put_nowait(answer)
            await until(lambda: len(w.lists.calls) >= 2, "another call")
            assert "after=1&" in w.lists.calls[1] and list(w.proxy.pool.nodes) == ["s-0"]
            assert (await w.ask()).status == 200

    run(main())


def with_fields(entry: dict[str, Any], **more: Any) -> dict[str, Any]:
    return {**entry, **more}


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("bad", [{"lifecycle": "Pondering"}, {"hostPort": None}, {"weight": "much"}])
def test_an_invalid_entry_leaves_its_node_unchanged(bad: dict[str, Any], reset: bool) -> None:
    async def main() -> None:
        async with running_proxy(None, None) as w:
            w.lists.change(2, with_fields(w.nodes[0].entry(), **bad), w.nodes[1].entry(), reset=reset)
            await until(lambda: len(w.lists.calls) == 2)
            assert set(w.proxy.pool.nodes) == set(w.proxy.router.servers) == {"s-0", "s-1"}

    run(main())


def test_a_call_without_an_answer_is_repeated(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        discovery, "agent_timeouts", lambda _: discovery.CallTimeouts(20, 0.04, 0.04, 1.0, 1.0)
    )

    async def main() -> None:
        async with running_proxy(None) as w:
            await until(lambda: len(w.lists.calls) >= 3, "calls after a timeout")
            assert (await w.ask()).status == 200

    run(main())


def test_the_router_schedules_direct_calls_of_discovery() -> None:
    async def main() -> None:
        rules = {"coldFrom": 0.3, "coldUs": 8_000_000, "askEveryUs": 2_000_000}
        async with running_proxy(None, discovery="subscribe", rules=rules) as w:
            assert not w.lists.calls
            await until(lambda: w.lists.calls, "the first call")
            w.lists.answers.put_nowait(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
            await until(lambda: ListKind.BROKEN in kinds(w))
            await until(lambda: len(w.lists.calls) == 2, "a call after the failure")
            w.lists.change(2, w.nodes[0].entry())
            await until(lambda: len(w.lists.calls) == 3, "the next call of the watch")
            assert kinds(w)[-1] is ListKind.PATCH

    run(main())


def test_lists_are_applied_in_the_order_they_were_sent() -> None:
    listing = json.dumps({"generation": 1, "reset": True, "instances": []})

    async def main() -> None:
        async with running_proxy(None) as w:
            w.lists.answers.put_nowait(ok(listing.encode()))
            await until(lambda: len(w.lists.calls) == 2)
            assert (await w.ask()).status == 503  # discovery says explicitly that there is no node
            w.lists.change(2, w.nodes[0].entry())
            await until(lambda: len(w.lists.calls) == 3)
            assert (await w.ask()).status == 200

    run(main())


# ---- calls without an answer, outages, address changes and stepped clocks


def entries(w: ProxyHarness, lifecycle: str) -> bytes:
    given = {"generation": 2, "reset": False, "instances": [w.nodes[0].entry(lifecycle)]}
    return ok(json.dumps(given).encode())


@pytest.mark.parametrize("grace_us", [200_000, 500_000, 1_000_000, 3_000_000])
def test_a_timed_out_call_and_its_repetition_fit_into_the_drain_grace_period(grace_us: int) -> None:
    timeouts = discovery.agent_timeouts(grace_us)
    assert (timeouts.watch_timeout_s + timeouts.connect_timeout_s + timeouts.max_backoff_s) * 1e6 < grace_us
    assert timeouts.wait_ms / 1000 < timeouts.watch_timeout_s


def test_a_timed_out_call_is_repeated_and_its_late_answer_is_applied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery, "agent_timeouts", lambda _: discovery.CallTimeouts(50, 0.1, 0.1, 1.0, 1.0))

    async def main() -> None:
        async with running_proxy(None) as w:
            await until(lambda: len(w.lists.calls) == 2, "a second call")
            assert len(w.lists.writers) == 2 and not w.lists.writers[0].is_closing()
            w.lists.writers[0].write(entries(w, "Terminating"))
            await until(lambda: not w.proxy.pool.nodes, "the list that came late")
            await until(lambda: w.lists.calls[-1].startswith("GET /v1/endpoints?after=2&"), "the next call")

    run(main())


def test_an_answer_that_comes_after_many_timed_out_calls_is_applied(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        discovery, "agent_timeouts", lambda _: discovery.CallTimeouts(10, 0.02, 0.02, 1.0, 1.0)
    )

    async def main() -> None:
        async with running_proxy(None) as w:
            await until(lambda: len(w.lists.calls) > 3 * discovery.MAX_TIMED_OUT_CALLS, "many calls")
            assert len(w.discovery.timed_out) <= discovery.MAX_TIMED_OUT_CALLS
            w.lists.writers[0].write(entries(w, "Terminating"))
            await until(lambda: not w.proxy.pool.nodes, "the answer to the first call")

    run(main())


def test_a_timed_out_direct_watch_is_restarted_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery, "DIRECT_TIMEOUTS", discovery.CallTimeouts(20, 0.05, 0.05, 1.0, 1.0))

    async def main() -> None:
        rules = {"coldFrom": 0.3, "coldUs": 8_000_000, "askEveryUs": 10_000_000}
        async with running_proxy(None, discovery="subscribe", rules=rules) as w:
            w.discovery.start_call()
            await until(lambda: len(w.lists.calls) == 2)
            assert "after=1&" in w.lists.calls[0] and w.lists.calls[1].startswith("GET /v1/endpoints ")
            assert ListKind.BROKEN not in kinds(w)
            await until(lambda: ListKind.BROKEN in kinds(w), "the failure of the second call")

    run(main())


def test_a_connection_that_closes_once_it_is_established_is_a_failed_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against writing a call to a closed transport: nothing happened until the call's timeout."""
    monkeypatch.setattr(
        discovery, "agent_timeouts", lambda _: discovery.CallTimeouts(30_000, 30.0, 30.0, 1.0, 0.05)
    )
    original = discovery.DiscoveryConnection.connection_made
    ends = [True, True]

    def closes_at_once(connection: discovery.DiscoveryConnection, transport: asyncio.BaseTransport) -> None:
        original(connection, transport)
        if ends:
            ends.pop()
            connection.transport.abort()

    monkeypatch.setattr(discovery.DiscoveryConnection, "connection_made", closes_at_once)

    async def main() -> None:
        async with running_proxy(None) as w:
            await until(lambda: w.lists.calls, "a call after two connections that ended")
            assert not ends

    run(main())


def test_an_answer_from_before_an_address_change_changes_nothing() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            elsewhere = DiscoveryServer()
            await elsewhere.start()
            await until(lambda: w.lists.calls)
            earlier = w.discovery.connection
            assert earlier is not None
            for port in (elsewhere.port, w.lists.port, elsewhere.port):  # configurations in quick succession
                w.discovery.set_address(("127.0.0.1", port))
            w.discovery.answered(earlier, 200, entries(w, "Gone").partition(b"\r\n\r\n")[2])
            assert list(w.proxy.pool.nodes) == ["s-0"]
            await until(lambda: elsewhere.calls)
            assert elsewhere.calls[0].startswith("GET /v1/endpoints ") and not w.discovery.timed_out

    run(main())


def test_the_backoff_of_direct_calls_is_bounded_after_many_failures() -> None:
    router = Router(Settings(classes=(CLASS,), subscribe=True, ask_every_us=10_000_000), 1)
    pauses = [
        action.delay_us
        for _ in range(30)
        for action in router.handle(0, ServerList(ListKind.BROKEN))
        if isinstance(action, SetTimer)
    ]
    assert len(pauses) >= 30 and max(pauses) <= 3_000_000 < 10_000_000 * 0.5


HOUR_US = 3_600_000_000


@pytest.mark.parametrize(
    ("kind", "started_ago_us", "cold_for_us"),
    [
        (ListKind.PATCH, 2_000_000, 6_000_000),
        (ListKind.PATCH, -HOUR_US, 8_000_000),  # a start in an hour, by a clock that is behind
        (ListKind.WHOLE, -HOUR_US, 8_000_000),
        (ListKind.PATCH, HOUR_US, 8_000_000),  # a change that reports a start an hour ago
        (ListKind.WHOLE, HOUR_US, 0),
    ],
)
def test_a_start_by_a_wall_clock_that_was_stepped(
    kind: ListKind, started_ago_us: int, cold_for_us: int
) -> None:
    now = 1_700_000_000_000_000
    router = Router(Settings(classes=(CLASS,), cold_from=0.3, cold_us=8_000_000), 1)
    entry = ServerEntry("s-0", Status.READY, started_at_us=now - started_ago_us)
    router.handle(now, ServerList(kind, [entry]))
    assert max(0, router.servers["s-0"].warm_at - now) == cold_for_us


@pytest.mark.parametrize("step_s", [-3600, -5, 5, 3600])
def test_a_step_of_the_wall_clock_moves_no_deadline(step_s: int, monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            before = w.proxy.now_us()
            wall_time, wall_time_ns = time.time, time.time_ns
            monkeypatch.setattr(time, "time", lambda: wall_time() + step_s)
            monkeypatch.setattr(time, "time_ns", lambda: wall_time_ns() + step_s * 10**9)
            monkeypatch.setattr(proxy, "time_ns", time.time_ns)
            assert (await w.ask(deadline="0.9")).status == 200
            assert 0.1 < float(w.seen()[0].headers["req-deadline"]) < 0.9
            assert 0 <= w.proxy.now_us() - before < 900_000

    run(main())


@pytest.mark.parametrize("reset", [True, False], ids=["whole list", "change"])
def test_a_repeated_older_answer_does_not_restore_a_drained_node(
    reset: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an answer that arrives twice: answers of discovery carry no id, so the second copy was
    taken for the answer to the next call."""
    monkeypatch.setattr(discovery, "FIRST_BACKOFF_S", 0.001)

    async def main() -> None:
        async with running_proxy(None, None) as w:
            w.lists.change(2, *(n.entry() for n in w.nodes), reset=reset)
            await until(lambda: len(w.lists.calls) == 2)
            w.lists.change(3, w.nodes[0].entry("Terminating"))
            await until(lambda: len(w.lists.calls) == 3)
            before = len(w.nodes[0].seen)
            older = {"generation": 2, "reset": reset, "instances": [n.entry() for n in w.nodes]}
            w.lists.writers[0].write(ok(json.dumps(older).encode()))
            await until(lambda: len(w.lists.writers) == 2, "a call on another connection")
            await until(lambda: len(w.lists.calls) == 4)
            assert "after=3" in w.lists.calls[-1]
            for n in range(10):
                assert (await w.ask(path=f"/api/{n}")).status == 200
            assert len(w.nodes[0].seen) == before
            w.lists.change(4, w.nodes[0].entry())  # answers the earlier call, whose connection was closed
            w.lists.change(4, w.nodes[0].entry())
            await until(lambda: w.discovery.listing.generation == 4)

    run(main())


def test_a_restarted_discoverys_lower_generation_is_accepted_on_a_new_connection() -> None:
    async def main() -> None:
        async with running_proxy(None, None) as w:
            w.lists.change(7, w.nodes[0].entry("Terminating"))
            await until(lambda: w.discovery.listing.generation == 7)
            w.lists.change(1, w.nodes[0].entry(), reset=True)  # answers the open call on the old connection
            w.lists.change(1, w.nodes[0].entry(), reset=True)
            await until(lambda: w.discovery.listing.generation == 1)
            assert len(w.lists.writers) == 2 and (await w.ask()).status == 200

    run(main())
