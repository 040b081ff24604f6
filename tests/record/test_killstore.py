"""Rounds of kills under load with real processes; and that the judge sees what it is there for."""

from __future__ import annotations

import asyncio

import pytest

from standins.killstore import Plan, rounds
from standins.reports import Report, judge

FINE = Report("a", b"1", [0, 200])
HELD = [("a", "confirmed", b"1")]


@pytest.mark.parametrize(
    ("store", "gateways", "count"),
    [("sqlite", 1, 24), ("postgres", 1, 24), ("postgres", 2, 12), ("sqlite", 2, 4)],
)
def test_rounds_of_kills_lose_and_double_nothing(store: str, gateways: int, count: int) -> None:
    plans = [Plan.draw(1 + n, store, gateways) for n in range(count)]
    found = asyncio.run(asyncio.wait_for(rounds(plans, 8 // gateways, True), 600))
    assert found["faults"] == [], found["replay"]
    assert found["confirmed"] > 8 * count and found["broke"] > count / 2 and found["open"] == 0


def test_a_plan_is_drawn_whole_and_comes_back_as_it_was_printed() -> None:
    plan = Plan.draw(7, "postgres", 2)
    assert plan == Plan.draw(7, "postgres", 2) == Plan.read(plan.text()) != Plan.draw(8, "postgres", 2)
    assert {k.what for n in range(40) for k in Plan.draw(n, "postgres", 2).kills} == {-1, 0, 1}


def test_a_round_that_keeps_the_rules_has_no_fault() -> None:
    found = judge([FINE, Report("b", b"2", [503])], HELD, {"a": 1})
    assert found["faults"] == [] and found["confirmed"] == 1 and found["refused"] == 1


@pytest.mark.parametrize(
    ("reports", "held", "effects", "says"),
    [
        ([FINE], [], {"a": 1}, "was confirmed and is held as []"),
        ([FINE], [("a", "sent", b"1")], {"a": 1}, "was confirmed and is held as"),
        ([FINE], [("a", "confirmed", b"9")], {"a": 1}, "was confirmed and is held as"),
        ([FINE], HELD * 2, {"a": 1}, "held 2 times"),
        ([FINE], HELD, {"a": 2}, "a had 2 effects"),
        ([FINE], HELD, {}, "had 0 effects"),
        ([Report("b", b"", [503, 503])], [("b", "sent", b"")], {}, "was refused, never ran, and is held"),
        ([Report("b", b"", [0])], [("b", "unknown", b"")], {"b": 3}, "b had 3 effects"),
        ([], HELD, {}, "nobody sent it"),
    ],
)
def test_the_judge_sees_each_fault(
    reports: list[Report], held: list[tuple[str, str, bytes]], effects: dict[str, int], says: str
) -> None:
    faults = judge(reports, held, effects)["faults"]
    assert any(says in f for f in faults), faults
