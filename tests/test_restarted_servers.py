"""What is known about a server, and each connection to it, belongs to one start of it."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import replace

import pytest

from magpiefront import router_state
from magpiefront.interface import ListKind, Outcome, ServerList
from tests.helpers import NAMES, SETTINGS, RouterDriver, entry
from tests.sockets import gated, run, running_proxy, until


def restart(driver: RouterDriver, name: str) -> None:
    driver.handle(ServerList(ListKind.PATCH, [entry(name, started_at_us=driver.now)]))


def test_failures_of_the_previous_start_do_not_count_for_the_new_one() -> None:
    driver = RouterDriver()
    names = [f"r{n}" for n in range(60)]
    for n, name in enumerate(names):
        driver.arrive(name, key=n)
    server = driver.sent[names[0]][0].server
    driver.advance(1_000)
    restart(driver, server)
    for name in names:
        if driver.sent[name][0].server == server:
            driver.end(name, Outcome.RESET, attempt=0)
    state = driver.router.servers[server]
    assert state.failures == 0 and state.traffic_share == 1.0 and not state.suspect
    assert state.in_flight == sum(
        attempt.outstanding and attempt.server is state
        for pending in driver.router.pending.values()
        for attempt in pending.attempts
    )


def test_latency_and_share_of_the_previous_start_are_forgotten() -> None:
    driver = RouterDriver(names=NAMES[:2])
    for n in range(40):
        driver.arrive(f"r{n}", key=n)
        driver.advance(900_000)
        if driver.sent.get(f"r{n}"):
            driver.end(f"r{n}", Outcome.OK, elapsed_us=900_000)
    server = driver.router.servers[NAMES[0]]
    assert server.latency_us > 0 and server.traffic_share < 1
    restart(driver, NAMES[0])
    assert server.latency_us == 0 and server.traffic_share == 1.0 and server.warm_at > driver.now


def send_first(driver: RouterDriver, cls: str) -> str:
    """Sends the request r1 of a class. Returns the server that got it."""
    driver.arrive("r1", cls=cls, key=3)
    driver.advance(1_000)
    return driver.sent["r1"][0].server


@pytest.mark.parametrize(("cls", "attribute"), [("zoned", "zone"), ("celled", "cell")])
def test_a_retry_stays_in_the_group_of_the_process_that_may_have_run_it(cls: str, attribute: str) -> None:
    for kept in NAMES:
        driver = RouterDriver()
        server = send_first(driver, cls)
        before = getattr(driver.router.listed[server], attribute)
        moved = entry(server, started_at_us=driver.now, **{attribute: "elsewhere" if cls == "zoned" else 9})
        others = [
            entry(n, **{attribute: getattr(moved, attribute)}) for n in NAMES if n not in (server, kept)
        ]
        driver.handle(ServerList(ListKind.PATCH, [moved, *others]))
        driver.end("r1", Outcome.RESET, attempt=0)
        repeats = {getattr(driver.router.listed[sent.server], attribute) for sent in driver.sent["r1"][1:]}
        assert repeats <= {before}


@pytest.mark.parametrize("cls", ["write", "zoned", "celled"])
def test_a_keyed_request_is_not_repeated_at_a_process_that_started_after_it_was_sent(cls: str) -> None:
    driver = RouterDriver(replace(SETTINGS, cold_us=0))
    server = send_first(driver, cls)
    for name in NAMES:
        if name != server:
            restart(driver, name)
    driver.advance(1_000)
    driver.end("r1", Outcome.RESET, attempt=0)
    assert len(driver.sent["r1"]) == 1


def test_an_upgrade_does_not_give_the_next_start_the_health_of_the_previous_one() -> None:
    old = RouterDriver()
    for server in (old.router.servers[name] for name in NAMES[:2]):
        server.traffic_share, server.suspect, server.failures = 0.5, True, 4
    state = router_state.export_state(old.router, old.now)
    new = RouterDriver()
    restart(new, NAMES[0])
    router_state.import_state(new.router, json.loads(json.dumps(state)), new.now)
    restarted, same = (new.router.servers[name] for name in NAMES[:2])
    assert (restarted.traffic_share, restarted.suspect, restarted.failures) == (1.0, False, 0)
    assert (same.traffic_share, same.suspect, same.failures) == (0.5, True, 4)


def test_a_connection_to_the_previous_start_gets_no_request() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            (node,) = w.nodes
            await w.ask()
            w.advance_past_rest()  # its connection could be used again, for its host has gone without a word
            w.lists.change(2, node.entry(startedAtMs=time.time() * 1000))
            await until(lambda: w.proxy.router.servers["s-0"].started_at)
            assert (await w.ask(kind="once")).status == 200
            assert [seen.connection for seen in node.seen] == [1, 2]

    run(main())


def test_a_request_in_flight_at_the_previous_start_gets_its_answer() -> None:
    async def main() -> None:
        gate = asyncio.Event()
        async with running_proxy(gated(gate)) as w:
            (node,) = w.nodes
            answer = asyncio.create_task(w.ask(kind="once"))
            await until(lambda: node.seen)
            w.lists.change(2, node.entry(startedAtMs=time.time() * 1000))
            await until(lambda: w.proxy.router.servers["s-0"].started_at)
            gate.set()
            assert (await answer).status == 200 and len(node.seen) == 1

    run(main())
