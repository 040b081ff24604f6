"""Runs many simulated plans of takeovers, with all safeguards or without one of them.

    python -m tests.takeover.simulation [--count 1000] [--first 1] [--without NAME | --table] [--replay PLAN]
                                    [--jobs N] [--json]

The exit status is 1 if a rule was violated, or with --table if a disabled safeguard was not detected.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest.mock import patch

from magpiefront.group.messages import name_of
from magpiefront.group.registry import MemberState
from magpiefront.model import takeover
from magpiefront.model.rounds import RuleViolation
from magpiefront.model.takeover import Plan, Process, TakeoverSimulation
from magpiefront.record.ownership import OwnerStatus
from magpiefront.takeover import owners
from tests.schedules import Failures, Schedules


def _status_without_epochs(owner: str, me: str, members: Any) -> OwnerStatus:
    parsed = owners.parse(owner)
    known = members.get(name_of(parsed.member)) if parsed is not None else None
    if parsed is None or known is None:
        return OwnerStatus.ACTIVE
    if known.state is not MemberState.ALIVE:
        return OwnerStatus.ENDED
    return OwnerStatus.OWN if parsed.member == me else OwnerStatus.ACTIVE


def _status_without_lag_check(owner: str, me: str, members: Any) -> OwnerStatus:
    """Counts an owner as ended if its member or epoch is not known here yet."""
    parsed = owners.parse(owner)
    known = members.get(name_of(parsed.member)) if parsed is not None else None
    if parsed is None or known is None or known.epoch != parsed.epoch or known.state is not MemberState.ALIVE:
        return OwnerStatus.ENDED
    return OwnerStatus.OWN if parsed.member == me else OwnerStatus.ACTIVE


def _prefix_without_epoch(member: str, epoch: int) -> str:
    return f"{member}@1/"


def _matches_state_only(self: takeover.Store, before: Any) -> bool:
    current = self.rows.get(before.id)
    return current is not None and current.state is before.state


def _may_always_act(self: Process, owner: str) -> bool:
    return True


def _row_with_endless_window(self: TakeoverSimulation, key: bytes, owner: str, now: int) -> Any:
    return replace(ORIGINAL_ROW(self, key, owner, now), window_s=1e6)


ORIGINAL_ROW = TakeoverSimulation.new_row
SAFEGUARDS: dict[str, Callable[[], list[Any]]] = {
    "the owner checks its permission before each act": lambda: [
        patch.object(Process, "may_act", _may_always_act),
        patch.object(TakeoverSimulation, "may_send", lambda self, process, row: True),
    ],
    "a claim is a compare-and-set on the owner": lambda: [
        patch.object(takeover.Store, "matches", _matches_state_only)
    ],
    "an owner is a member under an epoch": lambda: [
        patch.object(owners, "owner_status", _status_without_epochs),
        patch.object(owners, "prefix_of", _prefix_without_epoch),
    ],
    "a member that lags claims nothing": lambda: [
        patch.object(owners, "owner_status", _status_without_lag_check)
    ],
    "nothing is sent past the nodes' window": lambda: [
        patch.object(TakeoverSimulation, "new_row", _row_with_endless_window)
    ],
    "a session is over before its loss is known": lambda: [
        patch.object(takeover, "LOSS_TIMEOUT_US", 150_000)
    ],
}


def violated_rule(plan: Plan) -> str:
    """Plays a plan and returns the violated rule, or ""."""
    try:
        TakeoverSimulation(plan).run()
    except RuleViolation as e:
        return str(e)
    return ""


SCHEDULES = Schedules(SAFEGUARDS, lambda n: Plan.draw(n, (3, 5, 9)[n % 3]), Plan.read, violated_rule)


def run_numbers(numbers: list[int], disabled: str = "") -> Failures:
    """Plays these plans, without the safeguard `disabled` if it is given, and returns the failures. This is a
    module-level function so that the processes of a pool can import it."""
    return SCHEDULES.run_numbers(numbers, disabled)


if __name__ == "__main__":
    sys.exit(SCHEDULES.main("Takeover of reports", run_numbers, 20))
