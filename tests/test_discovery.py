"""The list of nodes as discovery tells it, over loopback sockets; good, bad and silent."""

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
from tests.sockets import Lists, Node, World, ok, run, until, world


CLASS = RequestClass("read", Repeat.SAFE, 500_000, 1_000_000)


def kinds(w: World) -> list[ListKind]:
    return [e.kind for e in w.events if isinstance(e, ServerList)]


@pytest.mark.parametrize("lifecycle", ["Terminating", "Gone"])
def test_nothing_new_goes_to_a_node_that_drains_or_is_gone(lifecycle: str) -> None:
    async def main() -> None:
        async with world(None, None) as w:
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


def test_a_node_is_cold_for_its_time_from_when_it_started() -> None:
    """A start that was read in a wrong unit lay ages ahead, and the node stayed cold for good."""

    async def main() -> None:
        async with world(None) as w:
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


def test_a_node_moves_to_another_address() -> None:
    async def main() -> None:
        async with world(None) as w:
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
def test_what_can_not_be_read_changes_nothing(answer: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "pushed", lambda _: discovery.Patience(50, 0.1, 0.1, 1.0, 1.0))

    async def main() -> None:
        async with world(None) as w:
            w.lists.tell.put_nowait(answer)
            await until(lambda: len(w.lists.calls) >= 2, "another call")
            assert "after=1&" in w.lists.calls[1] and list(w.proxy.pool.nodes) == ["s-0"]
            assert (await w.ask()).status == 200

    run(main())


def spoilt(entry: dict[str, Any], **more: Any) -> dict[str, Any]:
    return {**entry, **more}


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("bad", [{"lifecycle": "Pondering"}, {"hostPort": None}, {"weight": "much"}])
def test_an_entry_that_can_not_be_read_says_nothing_of_its_node(bad: dict[str, Any], reset: bool) -> None:
    async def main() -> None:
        async with world(None, None) as w:
            w.lists.change(2, spoilt(w.nodes[0].entry(), **bad), w.nodes[1].entry(), reset=reset)
            await until(lambda: len(w.lists.calls) == 2)
            assert set(w.proxy.pool.nodes) == set(w.proxy.router.servers) == {"s-0", "s-1"}

    run(main())


def test_a_silent_discovery_is_asked_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "pushed", lambda _: discovery.Patience(20, 0.04, 0.04, 1.0, 1.0))

    async def main() -> None:
        async with world(None) as w:
            await until(lambda: len(w.lists.calls) >= 3, "calls after silence")
            assert (await w.ask()).status == 200

    run(main())


def test_where_discovery_is_asked_the_module_says_when() -> None:
    async def main() -> None:
        rules = {"coldFrom": 0.3, "coldUs": 8_000_000, "askEveryUs": 2_000_000}
        async with world(None, discovery="subscribe", rules=rules) as w:
            assert not w.lists.calls
            await until(lambda: w.lists.calls, "the first call")
            w.lists.tell.put_nowait(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
            await until(lambda: ListKind.BROKEN in kinds(w))
            await until(lambda: len(w.lists.calls) == 2, "a call after the failure")
            w.lists.change(2, w.nodes[0].entry())
            await until(lambda: len(w.lists.calls) == 3, "the watch that goes on by itself")
            assert kinds(w)[-1] is ListKind.PATCH

    run(main())


def test_lists_come_in_the_order_they_were_told() -> None:
    listing = json.dumps({"generation": 1, "reset": True, "instances": []})

    async def main() -> None:
        async with world(None) as w:
            w.lists.tell.put_nowait(ok(listing.encode()))
            await until(lambda: len(w.lists.calls) == 2)
            assert (await w.ask()).status == 503  # told in so many words that there is no node
            w.lists.change(2, w.nodes[0].entry())
            await until(lambda: len(w.lists.calls) == 3)
            assert (await w.ask()).status == 200

    run(main())


# ---- silence, outages, moves and other clocks


def entries(w: World, lifecycle: str) -> bytes:
    given = {"generation": 2, "reset": False, "instances": [w.nodes[0].entry(lifecycle)]}
    return ok(json.dumps(given).encode())


@pytest.mark.parametrize("grace_us", [200_000, 500_000, 1_000_000, 3_000_000])
def test_silence_and_a_new_call_fit_into_the_grace_for_sends_to_a_draining_server(grace_us: int) -> None:
    patience = discovery.pushed(grace_us)
    assert (patience.watch_s + patience.connect_s + patience.most_pause_s) * 1e6 < grace_us
    assert patience.wait_ms / 1000 < patience.watch_s


def test_a_call_that_is_silent_is_made_anew_and_heard_if_it_was_only_slow(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery, "pushed", lambda _: discovery.Patience(50, 0.1, 0.1, 1.0, 1.0))

    async def main() -> None:
        async with world(None) as w:
            await until(lambda: len(w.lists.calls) == 2, "a second call")
            assert len(w.lists.writers) == 2 and not w.lists.writers[0].is_closing()
            w.lists.writers[0].write(entries(w, "Terminating"))
            await until(lambda: not w.proxy.pool.nodes, "the list that came late")
            await until(lambda: w.lists.calls[-1].startswith("GET /v1/endpoints?after=2&"), "the next call")

    run(main())


def test_a_discovery_that_takes_many_calls_time_is_heard(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "pushed", lambda _: discovery.Patience(10, 0.02, 0.02, 1.0, 1.0))

    async def main() -> None:
        async with world(None) as w:
            await until(lambda: len(w.lists.calls) > 3 * discovery.MOST_OLDER, "many calls")
            assert len(w.discovery.older) <= discovery.MOST_OLDER
            w.lists.writers[0].write(entries(w, "Terminating"))
            await until(lambda: not w.proxy.pool.nodes, "the answer to the first call")

    run(main())


def test_a_silent_watch_where_discovery_is_asked_begins_anew_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "ASKED", discovery.Patience(20, 0.05, 0.05, 1.0, 1.0))

    async def main() -> None:
        rules = {"coldFrom": 0.3, "coldUs": 8_000_000, "askEveryUs": 10_000_000}
        async with world(None, discovery="subscribe", rules=rules) as w:
            w.discovery.ask()
            await until(lambda: len(w.lists.calls) == 2)
            assert "after=1&" in w.lists.calls[0] and w.lists.calls[1].startswith("GET /v1/endpoints ")
            assert ListKind.BROKEN not in kinds(w)
            await until(lambda: ListKind.BROKEN in kinds(w), "the failure of the second")

    run(main())


def test_a_connection_that_ends_as_it_comes_up_is_a_failed_call(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its call was written to a transport that was gone, and nothing happened until its time was up."""
    monkeypatch.setattr(discovery, "pushed", lambda _: discovery.Patience(30_000, 30.0, 30.0, 1.0, 0.05))
    made = discovery.Call.connection_made
    ends = [True, True]

    def ends_at_once(call: discovery.Call, transport: asyncio.BaseTransport) -> None:
        made(call, transport)
        if ends:
            ends.pop()
            call.transport.abort()

    monkeypatch.setattr(discovery.Call, "connection_made", ends_at_once)

    async def main() -> None:
        async with world(None) as w:
            await until(lambda: w.lists.calls, "a call after two connections that ended")
            assert not ends

    run(main())


def test_an_answer_from_before_a_move_changes_nothing() -> None:
    async def main() -> None:
        async with world(None) as w:
            elsewhere = Lists()
            await elsewhere.start()
            await until(lambda: w.lists.calls)
            before = w.discovery.call
            assert before is not None
            for place in (elsewhere.port, w.lists.port, elsewhere.port):  # configurations in quick succession
                w.discovery.move(("127.0.0.1", place))
            w.discovery.answered(before, 200, entries(w, "Gone").partition(b"\r\n\r\n")[2])
            assert list(w.proxy.pool.nodes) == ["s-0"]
            await until(lambda: elsewhere.calls)
            assert elsewhere.calls[0].startswith("GET /v1/endpoints ") and not w.discovery.older

    run(main())


def test_a_proxy_that_must_ask_does_not_stay_away_for_long_after_many_failures() -> None:
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
        (ListKind.PATCH, -HOUR_US, 8_000_000),  # by a clock that is behind, it starts in an hour
        (ListKind.WHOLE, -HOUR_US, 8_000_000),
        (ListKind.PATCH, HOUR_US, 8_000_000),  # news of a start that is an hour old
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
        async with world(None) as w:
            before = w.proxy.now_us()
            told, told_ns = time.time, time.time_ns
            monkeypatch.setattr(time, "time", lambda: told() + step_s)
            monkeypatch.setattr(time, "time_ns", lambda: told_ns() + step_s * 10**9)
            monkeypatch.setattr(proxy, "time_ns", time.time_ns)
            assert (await w.ask(deadline="0.9")).status == 200
            assert 0.1 < float(w.seen()[0].headers["req-deadline"]) < 0.9
            assert 0 <= w.proxy.now_us() - before < 900_000

    run(main())


@pytest.mark.parametrize("reset", [True, False], ids=["whole list", "change"])
def test_an_older_answer_that_comes_again_brings_no_drained_node_back(
    reset: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Answers of discovery carry no id either: one that came again was taken for the next call's."""
    monkeypatch.setattr(discovery, "BACKOFF_S", 0.001)

    async def main() -> None:
        async with world(None, None) as w:
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
            w.lists.change(4, w.nodes[0].entry())  # the call of before was left with this one
            w.lists.change(4, w.nodes[0].entry())
            await until(lambda: w.discovery.listing.generation == 4)

    run(main())


def test_a_discovery_that_begins_anew_is_believed_on_a_connection_of_its_own() -> None:
    async def main() -> None:
        async with world(None, None) as w:
            w.lists.change(7, w.nodes[0].entry("Terminating"))
            await until(lambda: w.discovery.listing.generation == 7)
            w.lists.change(1, w.nodes[0].entry(), reset=True)  # to the call that hangs at the end of the old
            w.lists.change(1, w.nodes[0].entry(), reset=True)
            await until(lambda: w.discovery.listing.generation == 1)
            assert len(w.lists.writers) == 2 and (await w.ask()).status == 200

    run(main())
