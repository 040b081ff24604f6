"""Runs many rounds of simulated machine maintenance with faults, with all safeguards or with one disabled.

    python -m tests.maintenance.simulations [--count 1000] [--first 1] [--without NAME | --table]
                                            [--replay ROUND] [--jobs N] [--json]

The exit status is 1 if a rule was violated or, with --table, if the loss of a safeguard was not detected.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any
from unittest.mock import patch

from magpiefront.maintenance import rules, state_machine
from magpiefront.maintenance.exclusions import ExclusionView, SavedExclusions
from magpiefront.maintenance.state_machine import (
    CommandResult, ConfirmDrained, MaintenanceState, MaintenanceStateMachine, Job, State,
)  # fmt: skip
from magpiefront.model.maintenance import MaintenanceSimulation, Proxy, Round
from magpiefront.model.rounds import RuleViolation
from tests.schedules import Failures, Schedules

PENDING, APPLY_COMMAND, EXCLUDED_MACHINES = (
    rules.pending_confirmations, MaintenanceStateMachine._apply_command, ExclusionView.excluded_machines,
)  # fmt: skip


def _ignore_confirmations(state: MaintenanceState, job: Job, members: Any) -> list[str]:
    return [text for text in PENDING(state, job, members) if "lost" in text]


def _ignore_lost_requests(state: MaintenanceState, job: Job, members: Any) -> list[str]:
    return [text for text in PENDING(state, job, members) if "just been lost" not in text]


def _accept_any_grant(self: MaintenanceStateMachine, member: str, command: Any) -> CommandResult:
    if isinstance(command, ConfirmDrained):
        job = self.state.jobs[command.machine]
        job.confirmations[member] = command.member_epoch
        return CommandResult(True)
    return APPLY_COMMAND(self, member, command)


def _keep_confirmations(state: MaintenanceState, job: Job, new_state: State, cause: str = "") -> None:
    job.runner, job.state, job.since_s, job.cause = "", new_state, state.at_s, cause


def _assume_session(self: ExclusionView, state: MaintenanceState, epoch: int, now_us: int) -> set[str]:
    return EXCLUDED_MACHINES(self, state, self.current_epoch or 1, now_us) if self.current_epoch else set()


def _start_without_saved(self: Proxy) -> None:
    self.saved_exclusions = SavedExclusions()
    START(self)


START = Proxy.start
SAFEGUARDS: dict[str, Callable[[], list[Any]]] = {
    "confirmation by each proxy": lambda: [
        patch.object(rules, "pending_confirmations", _ignore_confirmations)
    ],
    "confirmations are bound to their grant": lambda: [
        patch.object(MaintenanceStateMachine, "_apply_command", _accept_any_grant),
        patch.object(state_machine, "set_state", _keep_confirmations),
        patch.object(rules, "set_state", _keep_confirmations),
    ],
    "a proxy without a session excludes the next machines": lambda: [
        patch.object(ExclusionView, "excluded_machines", _assume_session)
    ],
    "a lost proxy must have known the next machines": lambda: [
        patch.object(rules, "unaware_proxies", lambda *_: [])
    ],
    "requests of a lost proxy must have ended": lambda: [
        patch.object(rules, "pending_confirmations", _ignore_lost_requests)
    ],
    "the remaining nodes must carry the load": lambda: [
        patch.object(rules, "capacity_shortfall", lambda *_: "")
    ],
    "exclusions survive a restart": lambda: [patch.object(Proxy, "start", _start_without_saved)],
}  # fmt: skip


def violated_rule(round_: Round) -> str:
    """Plays a round and returns the violated rule, or ""."""
    try:
        MaintenanceSimulation(round_).run()
    except RuleViolation as e:
        return str(e)
    return ""


SCHEDULES = Schedules(SAFEGUARDS, Round.draw, Round.read, violated_rule)


def run_rounds(numbers: list[int], disabled: str = "") -> Failures:
    """Plays these rounds, without the safeguard `disabled` if it is given, and returns the failures."""
    return SCHEDULES.run_numbers(numbers, disabled)


if __name__ == "__main__":
    sys.exit(SCHEDULES.main("Machine maintenance", run_rounds, 10))
