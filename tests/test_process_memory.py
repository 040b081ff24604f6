"""The plan of a process's memory, the steps as it gets short, and what a process does within them."""

from __future__ import annotations

from enum import Enum

import pytest
from hypothesis import given
from hypothesis import strategies as st

from magpiefront.net.memory_guard import MemoryGuard
from magpiefront.net.memory_plan import (
    MIN_CLIENTS, MIN_NODE_CONNECTIONS, USABLE_SHARE, MemoryPlan, plan_memory,
)  # fmt: skip
from magpiefront.net.memory_pressure import PEAK_SHARE, MemoryPressure, Step

MB = 1 << 20


@given(
    st.integers(32, 192),
    st.integers(16, 40),
    st.integers(0, 3200),
    st.integers(16, 572),
    st.integers(16, 400),
)
def test_the_shares_of_a_plan_are_never_more_than_the_limit(
    limit_mb: int, at_rest_mb: int, nodes: int, clients: int, to_nodes: int
) -> None:
    plan = plan_memory(limit_mb * MB, at_rest_mb * MB, nodes, clients, to_nodes)
    assert MIN_CLIENTS <= plan.max_clients <= clients
    assert MIN_NODE_CONNECTIONS <= plan.max_node_connections <= to_nodes
    if plan.enough:
        assert at_rest_mb * MB + plan.total_bytes <= limit_mb * MB * USABLE_SHARE


@given(st.lists(st.integers(20 * MB, 70 * MB), min_size=1))
def test_each_step_is_taken_before_the_limit_and_ends_only_well_below(readings: list[int]) -> None:
    pressure, before = MemoryPressure(64 * MB, 26 * MB), Step.NONE
    for resident in readings:
        step = pressure.update(resident)
        if resident >= 64 * MB * PEAK_SHARE:
            assert step is Step.SHED
        if step < before:
            assert MemoryPressure(64 * MB, 26 * MB).update(resident + MB) <= before
        if resident <= 26 * MB:
            assert step is Step.NONE
        before = step


@pytest.mark.parametrize(
    ("resident_mb", "step"),
    [
        (26, Step.NONE),
        (44, Step.NONE),
        (45.5, Step.TRIM),
        (52.5, Step.HOLD),
        (57, Step.SHED),
        (70, Step.SHED),
    ],
)
def test_steps_by_resident_memory(resident_mb: float, step: Step) -> None:
    assert MemoryPressure(64 * MB, 26 * MB).update(int(resident_mb * MB)) is step


class FakeMemory:
    """Resident memory, as a test sets it."""

    def __init__(self) -> None:
        self.bytes = self.high_water_bytes = 26 * MB

    def read(self) -> int:
        return self.bytes


class FakeHolders:
    """Records what a guard has its holders do."""

    def __init__(self) -> None:
        self.plans: list[MemoryPlan] = []
        self.steps: list[Step] = []
        self.shed = self.held = 0

    def apply_plan(self, plan: MemoryPlan) -> None:
        self.plans.append(plan)

    def set_room(self, room_bytes: int) -> None: ...

    def set_step(self, step: Step) -> None:
        self.steps.append(step)

    def shed_memory(self) -> None:
        self.shed += 1

    def held_bytes(self) -> int:
        return self.held


class FakeLog:
    """Records events."""

    def __init__(self) -> None:
        self.steps: list[object] = []

    def emit(self, event: str, reason: Enum | None = None, **fields: object) -> None:
        self.steps.append(fields["step"])


def make_guard() -> tuple[MemoryGuard, FakeMemory, FakeHolders, FakeLog, list[int]]:
    memory, holders, log, trims = FakeMemory(), FakeHolders(), FakeLog(), [0]

    def trim() -> None:
        trims.append(memory.bytes)

    guard = MemoryGuard(64 * MB, memory, trim, holders, log, lambda: 0.0, 572, 396)
    guard.start(17)
    return guard, memory, holders, log, trims


def test_a_process_whose_account_says_nothing_acts_on_what_it_has() -> None:
    guard, memory, holders, log, trims = make_guard()
    memory.bytes = 58 * MB
    guard.check()
    assert holders.steps == [Step.SHED] and holders.shed == 1 and log.steps == ["shed"]
    assert trims[-1] == 58 * MB
    memory.bytes = 30 * MB
    guard.check()
    assert holders.steps[-1] is Step.NONE and log.steps == ["shed", "none"]


def test_growth_of_the_account_has_the_process_measured_at_once() -> None:
    guard, memory, holders, _, _ = make_guard()
    guard.tick()
    assert not holders.steps
    memory.bytes, holders.held = 58 * MB, 1 * MB
    guard.tick()
    assert holders.steps == [Step.SHED]
    holders.held = 0
    guard.tick()
    assert len(holders.steps) == 2  # under pressure, with each call


def test_memory_that_clients_have_freed_is_given_back_without_pressure() -> None:
    guard, memory, holders, _, trims = make_guard()
    times = iter(range(2, 100, 2))
    guard.clock = lambda: float(next(times))
    memory.bytes, holders.held = 40 * MB, 10 * MB
    guard.check()
    holders.held = 0
    guard.check()
    assert trims[-2:] == [40 * MB] * 2
    guard.check()
    assert len(trims) == 4  # nothing has changed


def test_a_longer_list_of_nodes_takes_its_memory_from_the_shares_of_clients() -> None:
    guard, _, holders, _, _ = make_guard()
    guard.set_nodes(3200)
    assert len(holders.plans) == 2 and holders.plans[1].total_bytes < holders.plans[0].total_bytes


def test_what_stages_may_store_is_not_for_clients() -> None:
    guard, memory, holders, _, _ = make_guard()
    guard.start(17, 20 * MB)
    assert holders.plans[1].total_bytes < holders.plans[0].total_bytes - 15 * MB
    memory.bytes = 45 * MB
    guard.check()
    assert holders.steps[-1] is Step.NONE


def test_memory_of_the_other_process_of_an_upgrade_counts() -> None:
    guard, _, holders, _, _ = make_guard()
    guard.others = lambda: 20 * MB
    guard.update_others()
    assert holders.plans[1].total_bytes < holders.plans[0].total_bytes - 10 * MB
    assert guard.pressure.limit_bytes == 44 * MB
