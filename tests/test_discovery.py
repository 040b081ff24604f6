"""The list of nodes as discovery tells it, over loopback sockets; good, bad and silent."""

from __future__ import annotations

import json
from typing import Any

import pytest

from magpiefront.interface import ListKind, ServerList
from magpiefront.net import discovery
from tests.sockets import Node, World, ok, run, until, world


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
    monkeypatch.setattr(discovery, "WAIT_MS", 50)
    monkeypatch.setattr(discovery, "GRACE_S", 0.05)

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
    monkeypatch.setattr(discovery, "WAIT_MS", 20)
    monkeypatch.setattr(discovery, "GRACE_S", 0.02)

    async def main() -> None:
        async with world(None) as w:
            await until(lambda: len(w.lists.calls) >= 3, "calls after silence")
            assert (await w.ask()).status == 200

    run(main())


def test_where_discovery_is_asked_the_module_says_when() -> None:
    async def main() -> None:
        rules = {"coldFrom": 0.3, "coldUs": 8_000_000, "askEveryUs": 200_000}
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
