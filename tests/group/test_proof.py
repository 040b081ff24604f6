"""The group in simulated time: no schedule breaks a rule, each lost safeguard is found, and the same
plan gives the same run."""

from __future__ import annotations

import os
from collections.abc import Callable
from functools import partial

import pytest

from magpiefront.group.raft import Hard
from magpiefront.model.explore import Bounds, Explorer, State, Wrong
from magpiefront.model.group import World
from magpiefront.model.plan import Fault, Plan
from magpiefront.model.safeguards import SAFEGUARDS, without
from tests.group import test_hard_cases as cases
from tests.group import worlds

JOBS = max(2, min(8, os.cpu_count() or 2))


def test_no_schedule_breaks_a_rule() -> None:
    broke = [b for _, found in worlds.many(1, 2_000, [3, 5, 7], JOBS) for b in found]
    assert not broke


def test_the_same_plan_gives_the_same_run() -> None:
    ends = []
    for _ in range(2):
        world = World(worlds.numbered(8, [3, 5, 7]))
        world.run()
        ends.append((world.kernel.now_us, world.net.sent, world.entries, world.history))
    assert ends[0] == ends[1]


def plan(seed: int, voters: int, observers: int, *faults: tuple[int, str, tuple[int, ...], int]) -> Plan:
    return Plan(seed, voters, observers, 4_000_000, tuple(Fault(*f) for f in faults))


# The first plan of those that were played that notices it is gone.
FOUND: dict[str, Plan] = {
    "votes and confirmations only once durable": plan(
        4, 3, 0,
        (600000, "disk slow", (0,), 3400000),
        (610000, "disk slow", (1,), 3400000),
        (620000, "disk slow", (2,), 3400000),
        (1540000, "all", (0,), 100000),
        (2800000, "all", (0,), 100000),
        (3600000, "all", (0,), 100000),
    ),  # fmt: skip
    "the vote itself is durable": worlds.numbered(33, [3, 5, 7]),
    "a majority, not half": worlds.numbered(3, [3, 5, 7]),
    "the log of a candidate is as new": worlds.numbered(105, [3, 5, 7]),
    "the margin for drift": worlds.numbered(11, [3, 5, 7]),
    "no lease without a majority, nor a lead": worlds.numbered(9, [3, 5, 7]),
    "a new leader waits": worlds.numbered(3, [3, 5, 7]),
    "an older disk gives its incarnation up": worlds.numbered(35, [3, 5, 7]),
    "a session is looked at before the act": worlds.numbered(3, [3, 5, 7]),
    "a new process holds nothing of the old one": worlds.numbered(111, [3, 5, 7]),
    "what is given back is not held": worlds.numbered(207, [3, 5, 7]),
    "nobody leaves while it may act": worlds.numbered(10, [3, 5, 7]),
    "doubled commands are applied once": worlds.numbered(24, [3, 5, 7]),
    "reads ask a majority": worlds.numbered(34, [3, 5, 7]),
}
# What is the matter of one rule, or of times alone, by the case that is about it.
CASES: dict[str, Callable[[], None]] = {
    "pre-vote": partial(cases.test_a_cut_serves_where_the_majority_is_and_nowhere_else, (2, 2, 1)),
    "commit in the own term only": cases.test_an_entry_of_an_earlier_term_is_not_committed_by_its_count,
    "one change of voters at a time": cases.test_a_second_change_waits_for_the_first_and_moves_one_voter,
    "voters hold to a leader they hear": partial(
        cases.test_a_vote_for_another_is_refused_while_the_leader_is_heard, False
    ),
}


def finds(name: str) -> str:
    try:
        if name in CASES:
            CASES[name]()
            return ""
        return worlds.judge(FOUND[name])
    except Exception as e:
        return repr(e)


@pytest.mark.parametrize("name", SAFEGUARDS)
def test_a_safeguard_that_is_taken_out_is_found(name: str) -> None:
    assert not finds(name), "with it all holds"
    with without(name):
        assert finds(name)


@pytest.mark.parametrize(
    ("bounds", "states"),
    [(Bounds(depth=6, crashes=1), 4_000), (Bounds(depth=6, terms=3, crashes=0, changes=1), 1_000)],
    ids=["elections and crashes", "changes of members"],
)
def test_all_orders_up_to_a_depth_keep_the_rules(bounds: Bounds, states: int) -> None:
    """Further, outside: `python -m magpiefront.model.explore --depth 8`."""
    assert Explorer(["a", "b", "c"], bounds, ["d"] if bounds.changes else []).run()[0] > states


def test_exploring_finds_a_vote_that_does_not_last() -> None:
    explorer = Explorer(["a", "b", "c"], Bounds(depth=8, terms=1, crashes=1, proposals=0))
    settle = explorer.settle

    def forgets(s: State, name: str) -> None:
        settle(s, name)
        hard, *rest = s.nodes[name].disk
        s.nodes[name].disk = (Hard(hard.term), *rest)  # type: ignore[assignment]

    explorer.settle = forgets  # type: ignore[method-assign]
    with pytest.raises(Wrong, match="lead in term 1"):
        explorer.run()
