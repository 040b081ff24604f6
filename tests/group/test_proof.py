"""The group in simulated time: no schedule violates a rule, each disabled safeguard is detected, and the same
plan gives the same run."""

from __future__ import annotations

import os
from collections.abc import Callable
from functools import partial

import pytest

from magpiefront.model.explore import Bounds, Explorer
from magpiefront.model.group import GroupSimulation
from magpiefront.model.plan import Fault, Plan
from magpiefront.model.safeguards import SAFEGUARDS, without
from tests.group import test_hard_cases as cases
from tests.group import schedules

JOBS = max(2, min(4, os.cpu_count() or 2))  # check.sh runs other tests at the same time


def test_no_schedule_violates_a_rule() -> None:
    failures = [f for _, batch in schedules.run_schedules(1, 2_000, [3, 5, 7], JOBS) for f in batch]
    assert not failures


# Plans that failed in a long run: a member that lost its disk started a new group; a disk was restored from
# an older copy after all members that knew of more progress had restarted; a member was added by an entry
# that was never committed.
FAILED_PLANS = (
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


@pytest.mark.parametrize("plan", FAILED_PLANS, ids=lambda p: str(p.seed))
def test_a_plan_that_once_failed_passes(plan: Plan) -> None:
    assert not schedules.failure_of(plan)


def test_the_same_plan_gives_the_same_run() -> None:
    results = []
    for _ in range(2):
        simulation = GroupSimulation(schedules.draw_plan(8, [3, 5, 7]))
        simulation.run()
        results.append(
            (simulation.kernel.now_us, simulation.net.sent, simulation.entries, simulation.history)
        )
    assert results[0] == results[1]


def slow_disks(seed: int) -> Plan:
    """All members crash before their slow disks have written the votes and confirmations they gave."""
    slow = [Fault(600_000, "disk slow", (n,), 3_400_000) for n in range(3)]
    dead = [Fault(at + seed * 10_000, "all", (0,), 100_000) for at in (1_500_000, 2_800_000, 3_600_000)]
    return Plan(seed, 3, 0, 4_000_000, (*slow, *dead))


def lost_disk(seed: int) -> Plan:
    """A member loses its disk while the only other member that knows its progress is down."""
    a, b, c = seed % 3, (seed + 1) % 3, (seed + 2) % 3
    at = 1_500_000 + seed * 10_000
    faults = (Fault(at - 700_000, "bridge", (a, b), 1_600_000), Fault(at, "crash", (a,), 140_000),
              Fault(at + 100_000, "wipe", (c,), 120_000))  # fmt: skip
    return Plan(seed, 3, 0, 4_000_000, faults)


def restored_disk(seed: int) -> Plan:
    """A member's disk is restored from an older copy while the others, one of which lags, are restarted."""
    a, b, c = seed % 3, (seed + 1) % 3, (seed + 2) % 3
    at = 3_300_000 + seed * 10_000
    faults = (Fault(at - 900_000, "put back", (b,), 1_400_000), Fault(at - 200_000, "crash", (c,), 940_000),
              Fault(at, "crash", (a,), 100_000))  # fmt: skip
    return Plan(seed, 3, 0, 4_500_000, faults)


# The safeguards that concern a single rule or only timing, each with the test that detects its absence.
CASES: dict[str, Callable[[], object]] = {
    "the vote itself is durable": Explorer(["a", "b", "c"], Bounds(8, 1, 0, 1)).run,
    "pre-vote": partial(cases.test_a_partition_serves_only_on_the_side_of_the_majority, (2, 2, 1)),
    "only current-term entries commit by counting": cases.test_an_older_entry_is_not_committed_by_counting,
    "one change of voters at a time": cases.test_a_second_change_waits_for_the_first_and_moves_one_voter,
    "voters refuse other candidates while they hear a leader": partial(
        cases.test_a_vote_for_another_is_refused_while_the_leader_is_heard, False
    ),
}


SEEDS = 12  # plans per safeguard; the first three always include one that detects its absence
PLANS = {
    "votes and confirmations are sent only once durable": slow_disks,
    "an empty disk counts as new only at the start of a group": lost_disk,
    "the known progress of other members survives a restart": restored_disk,
}


def is_detected(name: str) -> bool:
    """True if something fails without that safeguard: its test, one of its plans, or, if it has neither, one
    of 400 schedules."""
    if name in CASES:
        with without(name):
            try:
                CASES[name]()
            except Exception:
                return True
        return False
    if name in PLANS:
        with without(name):
            return any(schedules.failure_of(PLANS[name](seed)) for seed in range(SEEDS))
    return schedules.schedules_until_detected(name, 1, 400, [3, 5, 7], JOBS)[0] > 0


@pytest.mark.parametrize("name", SAFEGUARDS)
def test_a_disabled_safeguard_is_detected(name: str) -> None:
    assert is_detected(name)


@pytest.mark.parametrize("plan", [slow_disks, lost_disk, restored_disk])
def test_the_same_plans_pass_with_all_safeguards(plan: Callable[[int], Plan]) -> None:
    assert not any(schedules.failure_of(plan(seed)) for seed in range(SEEDS))


@pytest.mark.parametrize(
    ("bounds", "states"),
    [(Bounds(depth=5, crashes=1), 1_000), (Bounds(depth=5, terms=3, crashes=0, changes=1), 300)],
    ids=["elections and crashes", "changes of members"],
)
def test_all_orders_up_to_a_depth_keep_the_rules(bounds: Bounds, states: int) -> None:
    """For greater depths run `python -m magpiefront.model.explore --depth 8`."""
    assert Explorer(["a", "b", "c"], bounds, ["d"] if bounds.changes else []).run()[0] > states
