"""A proxy with thousands of nodes: the cost of a change of the list, and the service during the change."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from magpiefront.net import config
from magpiefront.net.discovery import Discovery
from magpiefront.net.listing import ENTRIES_PER_TURN
from magpiefront.net.proxy import Proxy
from standins.fleet import Load, Round, run_round
from tests.opcodes import OpcodeCounter
from tests.sockets import PROXY_SETTINGS, ReceivedRequest, ok, request, run, running_proxy, until

MAX_GROWTH = 1.5  # factor by which a change may execute more opcodes at sixteen times the nodes
SMALL, LARGE = 200, 3_200


def test_no_request_is_lost_while_one_percent_of_a_large_list_changes() -> None:
    verdict = asyncio.run(run_round(Load(nodes=LARGE, seconds=5, seed=3)))
    assert not verdict.violations
    assert verdict.answers[200] > 0.85 * verdict.taken  # the lowest share that a small fleet serves


def test_no_drain_is_late_while_ten_percent_of_a_large_list_change_on_half_a_core() -> None:
    verdict = asyncio.run(run_round(Load(nodes=LARGE, seconds=5, core=0.5, share=0.1, seed=1)))
    assert not verdict.drained_late
    assert not verdict.violations


def test_a_proxy_that_starts_with_a_large_fleet_serves_its_first_client(tmp_path: Path) -> None:
    first = asyncio.run(Round(Load(nodes=LARGE, deadline_s=3.0), tmp_path).request_at_start())
    assert first.status == 200, first


def entry_of(number: int, lifecycle: str = "Ready") -> dict[str, Any]:
    host_port = f"127.0.{number >> 8}.{number & 255}:7000"
    return {"instanceId": f"s-{number:08x}", "hostPort": host_port, "zone": "a", "lifecycle": lifecycle}


def list_of(generation: int, *entries: dict[str, Any], reset: bool = False) -> dict[str, Any]:
    return {"generation": generation, "reset": reset, "instances": list(entries)}


def discovery_of(nodes: int) -> Discovery:
    """Returns a client of discovery in the running loop, with a list of `nodes` nodes. Nothing listens at the
    address that it calls."""
    given = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": PROXY_SETTINGS}
    proxy = Proxy(config.read(given, {}), asyncio.get_running_loop())
    discovery = Discovery(proxy, proxy.config.discovery, 1)
    discovery.listing.apply(list_of(1, *map(entry_of, range(nodes)), reset=True))
    return discovery


def cost_of(nodes: int, change: dict[str, Any], applied: Callable[[Discovery], bool]) -> int:
    """Returns how many opcodes are executed until a change of a list of `nodes` nodes is in effect."""
    found = 0

    async def main() -> None:
        nonlocal found
        discovery = discovery_of(nodes)
        await until(lambda: len(discovery.proxy.pool.nodes) == nodes, "the whole list")
        await asyncio.sleep(0.1)
        with OpcodeCounter() as opcodes:
            discovery.listing.apply(change)
            await until(lambda: applied(discovery), "the change")
        found = opcodes.count

    run(main(), timeout_s=120)
    return found


@pytest.mark.parametrize(
    ("change", "applied"),
    [
        (list_of(2, entry_of(7, "Terminating")), lambda d: "s-00000007" not in d.proxy.router.servers),
        (list_of(2, entry_of(7, "Gone")), lambda d: "s-00000007" not in d.proxy.router.servers),
        (list_of(2, entry_of(40_000)), lambda d: "s-00009c40" in d.proxy.router.servers),
        (list_of(2), lambda d: d.listing.generation == 2),
    ],
    ids=["drains", "goes", "joins", "no news"],
)
def test_a_change_of_the_list_costs_the_same_at_any_size(
    change: dict[str, Any], applied: Callable[[Discovery], bool]
) -> None:
    assert cost_of(LARGE, change, applied) <= MAX_GROWTH * cost_of(SMALL, change, applied)


def test_a_loop_that_is_behind_pauses_between_slices_of_a_list_and_of_placement() -> None:
    async def turns_until(done: Callable[[], bool], max_turns: int = 20) -> bool:
        for _ in range(max_turns):
            await asyncio.sleep(0)
            if done():
                return True
        return False

    async def main() -> None:
        discovery = discovery_of(1)
        proxy, listing = discovery.proxy, discovery.listing
        proxy.lag.shed_fraction = 0.5
        listing.apply(list_of(2, *map(entry_of, range(4 * ENTRIES_PER_TURN)), reset=True))
        assert not await turns_until(lambda: not listing.pending)
        await until(lambda: not listing.pending)
        assert proxy.router.placement_scheduled
        assert not await turns_until(lambda: not proxy.router.placement_scheduled)
        proxy.lag.shed_fraction = 0.0
        await until(lambda: not proxy.router.placement_scheduled)
        listing.apply(list_of(3, *map(entry_of, range(8 * ENTRIES_PER_TURN)), reset=True))
        assert await turns_until(lambda: not listing.pending)

    run(main())


class Blocker(asyncio.Protocol):
    """Calls `action` and then blocks the event loop, in the phase in which it reads sockets. Data that
    arrives meanwhile is read only after the timers that have become due have run."""

    def __init__(self, action: Callable[[], None], seconds: float) -> None:
        self.action, self.seconds = action, seconds

    def data_received(self, data: bytes) -> None:
        self.action()
        time.sleep(self.seconds)


async def block_loop(action: Callable[[], None], seconds: float) -> None:
    """Calls `action` and then blocks the event loop for `seconds`."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Blocker(action, seconds), "127.0.0.1", 0)
    _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    writer.write(b"now")
    await asyncio.sleep(0.01)
    writer.close()
    server.close()


def test_a_drain_that_arrives_while_the_loop_is_blocked_precedes_earlier_requests() -> None:
    async def main() -> None:
        async with running_proxy(None, None) as w:
            w.proxy.tick()
            clients = [await w.client() for _ in range(8)]
            await until(lambda: len(w.lists.calls) == 1 and len(w.front.clients) == 8)

            def send_requests() -> None:
                for n, client in enumerate(clients):
                    client.send(request(path=f"/api/{n}"))

            send_requests()  # from now on there are connections to both nodes
            assert [(await client.answer()).status for client in clients] == [200] * 8
            before = len(w.nodes[0].seen)
            assert before and w.nodes[1].seen

            def send_requests_and_drain() -> None:
                send_requests()
                drained = list_of(2, w.nodes[0].entry("Terminating"))
                w.lists.writers[-1].write(ok(json.dumps(drained).encode()))

            await block_loop(send_requests_and_drain, 0.1)
            assert [(await client.answer()).status for client in clients] == [200] * 8
            assert len(w.nodes[0].seen) == before

    run(main())


def test_an_answer_that_arrives_while_the_loop_is_blocked_is_read_before_its_attempt_times_out() -> None:
    async def main() -> None:
        writers: list[asyncio.StreamWriter] = []

        async def unanswered(
            seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:  # fmt: skip
            writers.append(writer)
            await reader.read()

        async with running_proxy(unanswered) as w:
            w.proxy.tick()
            client = await w.client()
            client.send(request(deadline="0.3", kind="once"))
            await until(lambda: writers)
            await block_loop(lambda: writers[0].write(ok()), 0.5)
            assert (await client.answer()).status == 200

    run(main())
