"""Handles the requests that the maintenance commands of operators send to a member.

Responses hold JSON types only.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from magpiefront.group.pending import Outcome, Status
from magpiefront.group.operator_commands import CommandError, answer_after_read
from magpiefront.maintenance import rules, state_machine
from magpiefront.maintenance.plan import Plan
from magpiefront.maintenance.service import COMMAND_TIMEOUT_US, MaintenanceService
from magpiefront.maintenance.state_machine import Command

Respond = Callable[[dict[str, Any]], None]


class MaintenanceCommands:
    """Handles the requests at one member."""

    def __init__(self, service: MaintenanceService) -> None:
        self.service = service

    def handle_request(self, request: dict[str, Any], respond: Respond) -> None:
        """Calls `respond` once, maybe later. Raises `CommandError` if the request is unknown or malformed."""
        handlers = {"status": self._status, "start": self._start, "steer": self._steer, "board": self._export}
        handle = handlers.get(str(request.get("what")))
        if handle is None:
            raise CommandError(f"unknown maintenance request: {request.get('what')!r}")
        try:
            handle(request, respond)
        except (KeyError, TypeError, msgspec.ValidationError) as e:
            raise CommandError(f"malformed maintenance request: {e}") from None

    def _read(self, respond: Respond, get_response: Callable[[], dict[str, Any]]) -> None:
        answer_after_read(
            self.service.group, self.service.proxy.now_us() + COMMAND_TIMEOUT_US, respond, get_response
        )

    def _status(self, request: dict[str, Any], respond: Respond) -> None:
        self._read(respond, self.status)

    def status(self) -> dict[str, Any]:
        """Returns the plans, the machines and the latest events, as JSON types."""
        service = self.service
        state, members = service.replica.state, service.group.members()
        return {
            "member": service.settings.member, "at": state.wall_s, "nodes_out": sorted(service.excluded),
            "by_hand": sorted(service.excluded_by_hand), "load": round(rules.total_load(state), 2),
            "next": list(state.next),
            "plans": {
                name: {"by": r.plan.by, "what": r.plan.what, "paused": r.paused, "stopped": r.stopped,
                       "machines": list(r.plan.machines)}
                for name, r in state.plans.items()
            },
            "machines": {
                name: {
                    "plan": job.plan, "state": job.state.value, "epoch": job.grant_number,
                    "for_s": round(state.at_s - job.since_s, 1), "cause": job.cause,
                    "runner": job.runner.partition("@")[0],
                    "waits_for": rules.waits_for(state, job, members),
                }
                for name, job in state.jobs.items()
            },
            "lines": state.lines[-20:],
        }  # fmt: skip

    def _export(self, request: dict[str, Any], respond: Respond) -> None:
        """Responds with the whole replicated state, for a forecast."""
        self._read(respond, lambda: {
            "kept": msgspec.to_builtins(self.service.replica.state, str_keys=True),
            "members": msgspec.to_builtins(self.service.group.members()),
        })  # fmt: skip

    def _propose(self, command: Command, respond: Respond) -> None:
        def on_done(outcome: Outcome) -> None:
            if outcome.status is not Status.COMMITTED:
                respond({"error": f"{outcome.status.value}: {outcome.cause}"})
                return
            result: state_machine.CommandResult = msgspec.msgpack.decode(
                outcome.value, type=state_machine.CommandResult
            )
            respond({"done": True} if result.done else {"error": result.cause})

        self.service.propose(command, on_done)

    def _start(self, request: dict[str, Any], respond: Respond) -> None:
        settings = self.service.settings
        plan = msgspec.convert(request["plan"], Plan)
        self._propose(state_machine.Start(plan, tuple(settings.machines.values()), settings.voters), respond)

    def _steer(self, request: dict[str, Any], respond: Respond) -> None:
        options = {key: str(request.get(key, "")) for key in ("plan", "by", "machine")}
        self._propose(state_machine.Steer(str(request["to"]), **options), respond)
