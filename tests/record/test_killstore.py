"""Rounds in which real processes are killed under load, and the faults that `evaluate_reports` finds in given
rows."""

from __future__ import annotations

import asyncio

import pytest

from standins.killstore import Plan, run_rounds
from standins.reports import Report, evaluate_reports

GOOD = Report("a", b"1", [0, 200])
STORED = [("a", "confirmed", b"1")]


@pytest.mark.parametrize(
    ("store", "gateways", "count"),
    [("sqlite", 1, 24), ("postgres", 1, 24), ("postgres", 2, 12), ("sqlite", 2, 4)],
)
def test_rounds_of_kills_lose_no_report_and_repeat_no_effect(store: str, gateways: int, count: int) -> None:
    plans = [Plan.draw(1 + n, store, gateways) for n in range(count)]
    found = asyncio.run(asyncio.wait_for(run_rounds(plans, 8 // gateways, True), 600))
    assert found["faults"] == [], found["replay"]
    assert found["confirmed"] > 8 * count and found["broke"] > count / 2 and found["open"] == 0


def test_a_plan_depends_only_on_its_seed_and_survives_printing_and_reading() -> None:
    plan = Plan.draw(7, "postgres", 2)
    assert plan == Plan.draw(7, "postgres", 2) == Plan.read(plan.text()) != Plan.draw(8, "postgres", 2)
    assert {k.what for n in range(40) for k in Plan.draw(n, "postgres", 2).kills} == {-1, 0, 1}


def test_a_correct_round_has_no_fault() -> None:
    found = evaluate_reports([GOOD, Report("b", b"2", [503])], STORED, {"a": 1})
    assert found["faults"] == [] and found["confirmed"] == 1 and found["refused"] == 1


@pytest.mark.parametrize(
    ("reports", "stored", "effects", "message"),
    [
        ([GOOD], [], {"a": 1}, "was confirmed and is stored as []"),
        ([GOOD], [("a", "sent", b"1")], {"a": 1}, "was confirmed and is stored as"),
        ([GOOD], [("a", "confirmed", b"9")], {"a": 1}, "was confirmed and is stored as"),
        ([GOOD], STORED * 2, {"a": 1}, "stored 2 times"),
        ([GOOD], STORED, {"a": 2}, "a had 2 effects"),
        ([GOOD], STORED, {}, "had 0 effects"),
        ([Report("b", b"", [503, 503])], [("b", "sent", b"")], {}, "was refused, never ran, and is stored"),
        ([Report("b", b"", [0])], [("b", "unknown", b"")], {"b": 3}, "b had 3 effects"),
        ([], STORED, {}, "was never sent"),
    ],
)
def test_each_fault_is_found(
    reports: list[Report], stored: list[tuple[str, str, bytes]], effects: dict[str, int], message: str
) -> None:
    faults = evaluate_reports(reports, stored, effects)["faults"]
    assert any(message in f for f in faults), faults
