"""Simulated takeovers: no plan violates a rule, and each disabled safeguard is detected."""

from __future__ import annotations

import pytest

from magpiefront.model.takeover import Plan, TakeoverSimulation
from tests.takeover import simulation


def test_no_plan_violates_a_rule() -> None:
    violations = [simulation.violated_rule(Plan.draw(n, (3, 5, 9)[n % 3])) for n in range(1, 201)]
    assert not any(violations)


def test_the_same_plan_gives_the_same_run() -> None:
    plan = Plan.read(Plan.draw(7, 5).text())
    results = []
    for p in (plan, Plan.draw(7, 5)):
        model = TakeoverSimulation(p)
        model.run()
        results.append((model.answers, model.executions, model.store.rows))
    assert results[0] == results[1] and sum(map(bool, results[0][0])) > 20


@pytest.mark.parametrize("name", simulation.SAFEGUARDS)
def test_a_disabled_safeguard_is_detected(name: str) -> None:
    assert simulation.SCHEDULES.schedules_until_detected(name, 1, 200)[0]
