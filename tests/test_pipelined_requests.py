"""What clients that send many requests at once on a connection may take from others: tests of the Router."""

from __future__ import annotations

from magpiefront.interface import AttemptEnded, Outcome, Refuse
from tests.helpers import READ, RouterDriver, finals


def refused(driver: RouterDriver, count: int, pipelined: bool) -> int:
    """How many of this many requests for different keys are refused at once; the others are served."""
    total = 0
    for n in range(count):
        name = f"probe-{pipelined}-{n}"
        actions = driver.arrive(name, key=1_000_000 + n, pipelined=pipelined)
        if any(isinstance(action, Refuse) for action in finals(actions)):
            total += 1
        else:
            driver.end(name, Outcome.OK)
    return total


def test_slow_requests_of_pipelining_clients_do_not_close_the_gate_for_others() -> None:
    driver = RouterDriver()
    for round_number in range(10):
        names = [f"slow-{round_number}-{n}" for n in range(40)]
        for n, name in enumerate(names):
            driver.arrive(name, key=n, pipelined=True)
        driver.advance(READ.aim_us * 2)
        for name in names:
            if name in driver.sent and name in driver.router.pending:
                driver.end(name, Outcome.OK, elapsed_us=READ.aim_us * 2)
    assert refused(driver, 50, pipelined=True) > 25
    assert refused(driver, 200, pipelined=False) == 0


def test_a_request_counts_as_pipelined_if_others_followed_it() -> None:
    driver = RouterDriver()
    for n in range(200):
        name = f"slow-{n}"
        driver.arrive(name, key=n)
        driver.advance(READ.aim_us * 2)
        sends = driver.sent.get(name)
        if sends:
            driver.handle(
                AttemptEnded(name, 0, sends[0].server, Outcome.OK, READ.aim_us * 2, True, pipelined=True)
            )
    assert refused(driver, 200, pipelined=False) == 0


def test_pipelining_clients_leave_half_of_the_retry_budget_to_others() -> None:
    driver = RouterDriver()
    for n in range(100):
        driver.arrive(f"fails-{n}", key=n, pipelined=True)
    for n in range(100):
        if f"fails-{n}" in driver.sent:
            driver.end(f"fails-{n}", Outcome.ERROR)
    assert driver.router.retry_budget >= 5.0
