"""Handles operators' commands about reports: what this member has in hand, and the rows that the group holds.

Requests and answers are JSON objects. An unknown or malformed request raises `CommandError`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from magpiefront.group.interface import Group
from magpiefront.group.operator_commands import CommandError, answer_after_read
from magpiefront.group.pending import Outcome, Status
from magpiefront.net.runtime import Runtime
from magpiefront.record.commands import from_json, to_json
from magpiefront.record.rows import Row
from magpiefront.record.stage import RecordStage
from magpiefront.takeover import state_machine
from magpiefront.takeover.store import MACHINE_NAME, GroupStore

Answer = Callable[[dict[str, Any]], None]
READ_TIMEOUT_US = 2_000_000  # time limit of the read or the proposal that a command makes
PAGE_BYTES = 512 << 10  # approximate size of the rows in one answer


def work_handler(stage: RecordStage, group: Group) -> Callable[[dict[str, Any], Answer], None]:
    """The handler of the command `work`, which shows what this member has in hand."""

    def handle(request: dict[str, Any], answer: Answer) -> None:
        answer({
            "member": group.me, "acts": group.may_act(), "in_hand": stage.in_hand,
            "taken": stage.journal.claimed_count, "over": sorted(stage.ended_owners),
            "delivering": len(stage.deliveries),
        })  # fmt: skip

    return handle


class ReportCommands:
    """Handles the command `record` about the rows that the group holds."""

    def __init__(self, store: GroupStore, group: Group, runtime: Runtime) -> None:
        self.store, self.group, self.runtime = store, group, runtime

    def handle(self, request: dict[str, Any], answer: Answer) -> None:
        """Carries out the action that `request["what"]` names. Raises `CommandError` if the action is unknown
        or the request is malformed."""
        handlers = {"counts": self._counts, "rows": self._rows, "add": self._add, "change": self._change}
        handler = handlers.get(str(request.get("what")))
        if handler is None:
            raise CommandError(f"unknown action: {request.get('what')!r}")
        try:
            handler(request, answer)
        except (KeyError, ValueError, TypeError) as e:
            raise CommandError(f"malformed request: {type(e).__name__}: {e}") from None

    def _read(self, answer: Answer, produce: Callable[[], dict[str, Any]]) -> None:
        answer_after_read(self.group, self.runtime.now_us() + READ_TIMEOUT_US, answer, produce)

    def _counts(self, request: dict[str, Any], answer: Answer) -> None:
        """Answers with the number of rows in each state, when the oldest of these was received (Unix
        seconds), and the size of all rows in bytes."""

        def counts() -> dict[str, Any]:
            by_state: dict[str, list[float]] = {}
            for r in self.store.machine.rows_by_age():
                by_state.setdefault(r.state.value, [0, r.received_s])[0] += 1
            return {"counts": by_state, "bytes": self.store.machine.total_bytes}

        self._read(answer, counts)

    def _rows(self, request: dict[str, Any], answer: Answer) -> None:
        """Answers with a page of the rows (in the state `state` if given), the oldest first, from position
        `first` on. `next` is the position where the next page starts, or 0 if this is the last one."""
        first, state = int(request["first"]), request.get("state")

        def page() -> dict[str, Any]:
            rows, size, position = list[dict[str, Any]](), 0, first
            matching = [r for r in self.store.machine.rows_by_age() if state in (None, r.state.value)]
            while position < len(matching) and size < PAGE_BYTES:
                rows.append(to_json(matching[position]))
                size += state_machine.row_bytes(matching[position])
                position += 1
            return {"rows": rows, "next": position if position < len(matching) else 0}

        self._read(answer, page)

    def _propose(self, command: state_machine.Command, answer: Answer) -> None:
        def on_done(outcome: Outcome) -> None:
            if outcome.status is not Status.COMMITTED:
                answer({"error": f"{outcome.status.value}: {outcome.cause}"})
                return
            result: state_machine.CommandResult = msgspec.msgpack.decode(
                outcome.value, type=state_machine.CommandResult
            )
            answer({"error": result.cause} if result.cause else {"done": result.done})

        self.group.propose(
            MACHINE_NAME, state_machine.encode(command), self.runtime.now_us() + READ_TIMEOUT_US, on_done
        )

    def _add(self, request: dict[str, Any], answer: Answer) -> None:
        settings = self.store.settings
        self._propose(
            state_machine.Insert(from_json(request["row"]), settings.most_rows, settings.most_bytes), answer
        )

    def _change(self, request: dict[str, Any], answer: Answer) -> None:
        before: Row = from_json(request["before"])
        self._propose(state_machine.change_between(before, from_json(request["after"])), answer)
