"""Whose requests are refused if the event loop is late."""

from __future__ import annotations

from magpiefront.net.lag import MAX_SHED, SHED_INCREASE, TICK_S, LoopLag

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
