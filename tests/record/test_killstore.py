"""Fifty rounds of kills under load with a real process; and that the judge sees what it is there for."""

from __future__ import annotations

import asyncio

import pytest

from standins.killstore import Report, judge, rounds

FINE = Report("a", b"1", [0, 200])
HELD = [("a", "confirmed", b"1")]


@pytest.mark.parametrize("store", ["sqlite", "postgres"])
def test_fifty_rounds_of_kills_lose_and_double_nothing(store: str) -> None:
    found = asyncio.run(asyncio.wait_for(rounds(50, 1, 8, True, store), 900))
    assert found["faults"] == []
    assert found["confirmed"] > 500 and found["broke"] > 50 and found["open"] == 0


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
