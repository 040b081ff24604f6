"""What is known about a server belongs to one start of it: tests of the Router."""

from __future__ import annotations

from magpiefront.interface import ListKind, Outcome, ServerList
from tests.helpers import NAMES, RouterDriver, entry


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
