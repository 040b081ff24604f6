"""A store of record in the group itself: `record.rows.Store` on a state machine of the group's log.

A report is confirmed once a majority of the members holds its outcome durably. Reads are linearizable
(read-index). A read every quarter of a second bounds how long ago the rows can have been sent (see
`ReportStateMachine`).
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import msgspec

from magpiefront.group.interface import Group
from magpiefront.group.pending import Outcome as GroupOutcome
from magpiefront.group.pending import Status
from magpiefront.net.runtime import Runtime
from magpiefront.record.rows import Id, Outcome, Result, Row, State, ResultCallback
from magpiefront.record.settings import GroupStoreSettings
from magpiefront.takeover import state_machine
from magpiefront.takeover.state_machine import CommandResult, ReportStateMachine

MACHINE_NAME = "record"
# Interval and time limit of the reads that bound commit times. The limit also applies to the proposal of a
# `Sweep`.
BOUND_INTERVAL_S, READ_TIMEOUT_US = 0.25, 1_000_000
COMMIT_TIME_SMOOTHING = 0.2  # weight of the latest commit in `commit_us`


class GroupStore:
    """The store of reports that the members of a group replicate. The methods are described at
    `record.rows.Store`."""

    def __init__(
        self, runtime: Runtime, group: Group, settings: GroupStoreSettings, boot: str,
        up_us: Callable[[], int] = lambda: time.monotonic_ns() // 1_000, name: str = "",
    ) -> None:  # fmt: skip
        """`boot` identifies the current boot of this machine, `up_us` returns the time since that boot in
        microseconds, and `name` is a name of the group that differs from those of all other sites."""
        self.name = name
        self.runtime, self.group, self.settings, self.boot, self.up_us = runtime, group, settings, boot, up_us
        self.machine = ReportStateMachine(up_us())
        self.commit_us = 5_000.0  # moving average of the time that a commit takes; starts with a guess
        self.timer: asyncio.TimerHandle | None = None
        group.register(MACHINE_NAME, self.machine)

    def start(self) -> None:
        """Starts the periodic reads."""
        self._bound_commit_times()

    def stop(self) -> None:
        """Stops the periodic reads."""
        if self.timer is not None:
            self.timer.cancel()

    def _bound_commit_times(self) -> None:
        """Starts a read that bounds the commit time of later commands: commands applied after a read has
        ended were committed after it began. Until a first read has succeeded, reads are five times as
        frequent."""
        began_us = self.machine.last_clock_us = self.up_us()

        def on_read(outcome: GroupOutcome) -> None:
            if outcome.status is Status.COMMITTED:
                self.machine.committed_after_us = max(began_us, self.machine.committed_after_us or 0)

        self.group.read(self.runtime.now_us() + READ_TIMEOUT_US, on_read)
        delay_s = BOUND_INTERVAL_S if self.machine.committed_after_us is not None else BOUND_INTERVAL_S / 5
        self.timer = self.runtime.loop.call_later(delay_s, self._bound_commit_times)

    @property
    def identity(self) -> str:
        return f"group {self.name}"

    @property
    def wait_us(self) -> int:
        return int(2 * self.commit_us)

    # ---- the interface of a store

    def insert(self, row: Row, deadline_us: int, on_done: ResultCallback) -> None:
        s = self.settings
        sent_us = int(row.sent.up_s * 1e6) if row.sent is not None else self.up_us()
        age_us = max(0, self.up_us() - sent_us)
        self._propose(
            state_machine.Insert(row, s.most_rows, s.most_bytes, age_us), row.id, deadline_us, on_done
        )

    def change(self, before: Row, after: Row, deadline_us: int, on_done: ResultCallback) -> None:
        self._propose(state_machine.change_between(before, after), before.id, deadline_us, on_done)

    def remove(self, before: Row, deadline_us: int, on_done: ResultCallback) -> None:
        self._propose(
            state_machine.Remove(before.id, before.state, before.owner), before.id, deadline_us, on_done
        )

    def _propose(
        self, command: state_machine.Command, id: Id, deadline_us: int, on_done: ResultCallback
    ) -> None:  # fmt: skip
        began_us, up_us = self.runtime.now_us(), self.up_us()
        if isinstance(command, state_machine.Insert):
            up_us -= command.age_us
        is_first_send = isinstance(command, state_machine.Insert) or (
            isinstance(command, state_machine.Change) and command.state is State.SENT is not command.state_was
        )
        if began_us >= deadline_us:
            self.runtime.loop.call_soon(on_done, Result(Outcome.NOT_DONE, cause="the deadline has passed"))
            return

        def on_outcome(outcome: GroupOutcome) -> None:
            if outcome.status is not Status.COMMITTED:
                code = Outcome.NOT_DONE if outcome.status is Status.REFUSED else Outcome.UNCERTAIN
                on_done(Result(code, cause=f"group: {outcome.cause}"))
                return
            self.commit_us += COMMIT_TIME_SMOOTHING * (self.runtime.now_us() - began_us - self.commit_us)
            result: CommandResult = msgspec.msgpack.decode(outcome.value, type=CommandResult)
            if result.done:
                if is_first_send:
                    self.machine.bound_send_time(id, up_us)
                on_done(Result(Outcome.DONE))
            elif result.cause:
                on_done(Result(Outcome.NOT_DONE, cause=f"group: {result.cause}"))
            else:
                on_done(Result(Outcome.CONFLICT, self.machine.get_row(id, self.up_us(), self.boot)))

        self.group.propose(MACHINE_NAME, state_machine.encode(command), deadline_us, on_outcome)

    def get(self, id: Id, deadline_us: int, on_done: ResultCallback) -> None:
        def on_outcome(outcome: GroupOutcome) -> None:
            if outcome.status is Status.COMMITTED:
                on_done(Result(Outcome.DONE, self.machine.get_row(id, self.up_us(), self.boot)))
            else:
                on_done(Result(Outcome.NOT_DONE, cause=f"group: {outcome.cause}"))

        self.group.read(deadline_us, on_outcome)

    def open_rows(self, limit: int, on_done: Callable[[list[Row]], None], owner_prefix: str = "") -> None:
        found = self.machine.open_rows(owner_prefix, limit, self.up_us(), self.boot)
        self.runtime.loop.call_soon(on_done, found)

    def sweep(self, before_s: float, limit: int, on_done: Callable[[int], None]) -> None:
        if not any(r.received_s < before_s for r in self.machine.rows.values()):
            self.runtime.loop.call_soon(on_done, 0)
            return

        def on_outcome(outcome: GroupOutcome) -> None:
            if outcome.status is not Status.COMMITTED:
                on_done(0)
                return
            result: CommandResult = msgspec.msgpack.decode(outcome.value, type=CommandResult)
            on_done(result.count)

        until_us = self.runtime.now_us() + READ_TIMEOUT_US
        self.group.propose(
            MACHINE_NAME, state_machine.encode(state_machine.Sweep(before_s, limit)), until_us, on_outcome
        )
