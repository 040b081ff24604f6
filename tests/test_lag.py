"""Whose requests are refused if the event loop is late, and what its lateness is not taken for."""

from __future__ import annotations

import asyncio
import time

import pytest

from magpiefront.interface import AttemptEnded, Outcome
from magpiefront.net.lag import MAX_SHED, SHED_INCREASE, TICK_S, LoopLag
from tests.helpers import RouterDriver
from tests.sockets import ReceivedRequest, ok, run, running_proxy

LIMIT_S = 0.1


def late_ticks(lag: LoopLag, count: int, pipelined: int, others: int) -> None:
    """Measures a lag above the limit `count` times, each after this many requests."""
    lag.measure(1.0)
    for n in range(1, count + 1):
        for of_pipeline in [True] * pipelined + [False] * others:
            lag.should_shed(of_pipeline)
        lag.measure(1.0 + n * (TICK_S + 2 * LIMIT_S))


def test_pipelined_requests_are_refused_before_those_of_others() -> None:
    lag = LoopLag(1, LIMIT_S)
    late_ticks(lag, 4, pipelined=20, others=2)
    assert lag.pipelined_shed_fraction > 0.5 and lag.shed_fraction == 0
    assert not any(lag.should_shed(False) for _ in range(100))
    assert sum(lag.should_shed(True) for _ in range(100)) > 30
    late_ticks(lag, 40, pipelined=20, others=2)
    assert lag.pipelined_shed_fraction == lag.shed_fraction == MAX_SHED


def test_without_most_requests_pipelined_all_are_refused_alike() -> None:
    lag = LoopLag(1, LIMIT_S)
    late_ticks(lag, 4, pipelined=2, others=2)
    assert lag.pipelined_shed_fraction == 0 and lag.shed_fraction == 4 * SHED_INCREASE


def test_answers_that_miss_their_aim_for_the_lag_raise_the_fraction_below_its_limit() -> None:
    lag = LoopLag(1, LIMIT_S)
    lag.measure(1.0)
    lag.answer_delayed = True
    lag.measure(1.0 + TICK_S)
    assert lag.shed_fraction == SHED_INCREASE
    lag.measure(1.0 + 2 * TICK_S)
    assert lag.shed_fraction < SHED_INCREASE


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.TIMEOUT])
@pytest.mark.parametrize(("own_delay_us", "counts"), [(0, True), (250_000, True), (350_000, False)])
def test_answers_late_through_this_process_close_no_gate_and_blame_no_server(
    outcome: Outcome, own_delay_us: int, counts: bool
) -> None:
    driver = RouterDriver()
    for n in range(60):
        driver.arrive(f"r{n}", key=n % 3)
        driver.advance(600_000)  # the aim is 500 ms
        if driver.sent.get(f"r{n}"):
            sent = driver.sent[f"r{n}"][0]
            driver.handle(AttemptEnded(
                f"r{n}", 0, sent.server, outcome, 600_000, True, own_delay_us=own_delay_us
            ))  # fmt: skip
    router = driver.router
    closed = min(router.server_gate.share, router.origin_gate.share) < 1
    blamed = any(server.traffic_share < 1 or server.failures for server in router.servers.values())
    assert (closed, blamed) == (counts, counts)


def test_the_outcome_of_an_attempt_says_for_how_long_the_loop_was_late() -> None:
    async def slow(
        seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:  # fmt: skip
        time.sleep(0.3)  # the node and the proxy share their event loop
        await asyncio.sleep(0.1)
        writer.write(ok())

    async def main() -> None:
        async with running_proxy(slow) as w:
            w.proxy.tick()
            await w.ask()
            (ended,) = (event for event in w.events if isinstance(event, AttemptEnded))
            assert 250_000 < ended.own_delay_us < ended.elapsed_us - 50_000

    run(main())
