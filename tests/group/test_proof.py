"""The group in simulated time: no schedule breaks a rule, each lost safeguard is found, and the same
plan gives the same run."""

from __future__ import annotations

import os
from collections.abc import Callable
from functools import partial

import pytest

from magpiefront.model.explore import Bounds, Explorer
from magpiefront.model.group import World
from magpiefront.model.plan import Fault, Plan
from magpiefront.model.safeguards import SAFEGUARDS, without
from tests.group import test_hard_cases as cases
from tests.group import worlds

JOBS = max(2, min(4, os.cpu_count() or 2))  # beside the other lanes of the check


def test_no_schedule_breaks_a_rule() -> None:
    broke = [b for _, found in worlds.many(1, 2_000, [3, 5, 7], JOBS) for b in found]
    assert not broke


# Of the long run: a lost disk that began anew; one put back, and all who knew better had restarted; one taken
# in by an entry that was never committed.
BROKE = (
    Plan(43_542, 3, 0, 4_000_000, (
    Fault(991_785, "bridge", (0, 2, 1), 1_610_378),
    Fault(1_658_421, "one way", (0,), 514_795),
    Fault(1_748_196, "crash", (0,), 142_479),
    Fault(1_899_913, "wipe", (2,), 118_505),
    Fault(2_763_213, "stop", (2,), 52_350),
    )),
    Plan(32_784, 3, 0, 4_000_000, (
    Fault(2_354_250, "put back", (1,), 1_499_489),
    Fault(2_940_594, "bridge", (0, 1, 2), 45_523),
    Fault(3_209_283, "crash", (2,), 942_401),
    Fault(3_323_455, "crash", (0,), 103_699),
    )),
    Plan(24_227, 7, 1, 4_000_000, (
    Fault(907_849, "disk slow", (2,), 1_703_104),
    Fault(917_443, "disk slow", (0,), 118_272),
    Fault(1_103_490, "disk full", (2,), 706_941),
    Fault(1_155_349, "all", (6,), 475_911),
    )),
)  # fmt: skip


@pytest.mark.parametrize("plan", BROKE, ids=lambda p: str(p.seed))
def test_a_plan_that_broke_once_holds(plan: Plan) -> None:
    assert not worlds.broken(plan)


def test_the_same_plan_gives_the_same_run() -> None:
    ends = []
    for _ in range(2):
        world = World(worlds.numbered(8, [3, 5, 7]))
        world.run()
        ends.append((world.kernel.now_us, world.net.sent, world.entries, world.history))
    assert ends[0] == ends[1]


def slow_disks(seed: int) -> Plan:
    """All die while what they have said is not on their disks yet."""
    slow = [Fault(600_000, "disk slow", (n,), 3_400_000) for n in range(3)]
    dead = [Fault(at + seed * 10_000, "all", (0,), 100_000) for at in (1_500_000, 2_800_000, 3_600_000)]
    return Plan(seed, 3, 0, 4_000_000, (*slow, *dead))


def lost_disk(seed: int) -> Plan:
    """One loses its disk just when the only other one that knows how far it was has crashed."""
    a, b, c = seed % 3, (seed + 1) % 3, (seed + 2) % 3
    at = 1_500_000 + seed * 10_000
    faults = (Fault(at - 700_000, "bridge", (a, b), 1_600_000), Fault(at, "crash", (a,), 140_000),
              Fault(at + 100_000, "wipe", (c,), 120_000))  # fmt: skip
    return Plan(seed, 3, 0, 4_000_000, faults)


def put_back(seed: int) -> Plan:
    """One is put back to an older disk while the others, one of which is behind, are killed and come back."""
    a, b, c = seed % 3, (seed + 1) % 3, (seed + 2) % 3
    at = 3_300_000 + seed * 10_000
    faults = (Fault(at - 900_000, "put back", (b,), 1_400_000), Fault(at - 200_000, "crash", (c,), 940_000),
              Fault(at, "crash", (a,), 100_000))  # fmt: skip
    return Plan(seed, 3, 0, 4_500_000, faults)


# What is the matter of one rule, or of times alone, by the case that is about it.
CASES: dict[str, Callable[[], object]] = {
    "the vote itself is durable": Explorer(["a", "b", "c"], Bounds(8, 1, 0, 1)).run,
    "pre-vote": partial(cases.test_a_cut_serves_where_the_majority_is_and_nowhere_else, (2, 2, 1)),
    "commit in the own term only": cases.test_an_entry_of_an_earlier_term_is_not_committed_by_its_count,
    "one change of voters at a time": cases.test_a_second_change_waits_for_the_first_and_moves_one_voter,
    "voters hold to a leader they hear": partial(
        cases.test_a_vote_for_another_is_refused_while_the_leader_is_heard, False
    ),
}


SEEDS = 12  # of each of these; the third one finds its loss at the latest
PLANS = {
    "votes and confirmations only once durable": slow_disks,
    "an empty disk begins with those it began with": lost_disk,
    "what is known of others lasts": put_back,
}


def found(name: str) -> bool:
    """Without it: by the case that is about it, or by one of the plans that hold with it (above)."""
    if name in CASES:
        with without(name):
            try:
                CASES[name]()
            except Exception:
                return True
        return False
    if name in PLANS:
        with without(name):
            return any(worlds.broken(PLANS[name](seed)) for seed in range(SEEDS))
    return worlds.first_found(name, 1, 400, [3, 5, 7], JOBS)[0] > 0


@pytest.mark.parametrize("name", SAFEGUARDS)
def test_a_safeguard_that_is_taken_out_is_found(name: str) -> None:
    assert found(name)


@pytest.mark.parametrize("plan", [slow_disks, lost_disk, put_back])
def test_the_same_plans_break_nothing_with_it(plan: Callable[[int], Plan]) -> None:
    assert not any(worlds.broken(plan(seed)) for seed in range(SEEDS))


@pytest.mark.parametrize(
    ("bounds", "states"),
    [(Bounds(depth=5, crashes=1), 1_000), (Bounds(depth=5, terms=3, crashes=0, changes=1), 300)],
    ids=["elections and crashes", "changes of members"],
)
def test_all_orders_up_to_a_depth_keep_the_rules(bounds: Bounds, states: int) -> None:
    """Further, outside: `python -m magpiefront.model.explore --depth 8`."""
    assert Explorer(["a", "b", "c"], bounds, ["d"] if bounds.changes else []).run()[0] > states
