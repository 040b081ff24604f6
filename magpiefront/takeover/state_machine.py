"""The replicated state machine that holds the group's reports, and its commands.

The same commands in the same order yield the same rows on each member. Limits are part of the commands,
because members may have different settings while an operator changes them.

What a member knows about the time at which a report was sent is not part of the replicated state.
`committed_after_us` is a time on the clock of this member's host: all commands applied from now on were
committed after it. A report is sent only once its row is committed, so the reports of these commands were
sent after that time too. Only a report that came from another site may have been sent up to `Insert.age_us`
earlier.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

import msgspec

from magpiefront.record.rows import UNKNOWN_BOOT, Answer, Attempt, Id, Moment, Row, State

ROW_OVERHEAD_BYTES = 400  # counted for a row in addition to its request and its answer


class Insert(msgspec.Struct, tag=True, array_like=True):
    """Adds a row, unless one with its id exists or a limit is reached."""

    row: Row
    most_rows: int
    most_bytes: int
    age_us: int = 0  # how long ago the report may have been sent first, if it came from another site


class Change(msgspec.Struct, tag=True, array_like=True):
    """Replaces the mutable fields of a row, if its state and owner are still `state_was` and `owner_was`.
    `sent` only tells whether the report was sent; each member tracks the time of that itself."""

    id: Id
    state_was: State
    owner_was: str
    state: State
    sent: Moment | None
    owner: str
    until_s: float
    answer: Answer | None
    attempts: tuple[Attempt, ...]
    note: str
    told: bool


class Remove(msgspec.Struct, tag=True, array_like=True):
    """Deletes a row, if its state and owner are still `state_was` and `owner_was`."""

    id: Id
    state_was: State
    owner_was: str


class Sweep(msgspec.Struct, tag=True, array_like=True):
    """Deletes the oldest confirmed rows received before `before_s` (Unix seconds), at most `limit` of
    them."""

    before_s: float
    limit: int


Command = Insert | Change | Remove | Sweep


class CommandResult(msgspec.Struct, array_like=True):
    """Whether a command was executed, and if not, its `cause`. An empty `cause` means that the row with the
    id was not as expected: `Insert` found a row; `Change` or `Remove` found none, or one with another state
    or owner.

    `count` is the number of rows deleted by a `Sweep`.
    """

    done: bool
    cause: str = ""
    count: int = 0


def encode(command: Command) -> bytes:
    return msgspec.msgpack.encode(command)


def change_between(before: Row, after: Row) -> Change:
    """The command that turns one version of a row into another."""
    return Change(before.id, before.state, before.owner, after.state, after.sent, after.owner, after.until_s,
                  after.answer, after.attempts, after.note, after.told)  # fmt: skip


def row_bytes(row: Row) -> int:
    """The size of a row as counted against `Insert.most_bytes`."""
    answer = len(row.answer.more) + len(row.answer.body) if row.answer is not None else 0
    return ROW_OVERHEAD_BYTES + len(row.body) + len(row.more) + len(row.target) + len(row.id.key) + answer


class ReportStateMachine:
    """The rows of the group's reports, as applied on this member.

    `committed_after_us` is a lower bound of the commit time of all commands applied from now on; None if
    no bound is known. `sent_after_us` holds, by row, a lower bound of the time at which it was first sent.
    For the rows that were sent and have no such bound, `first_seen_us` holds when this member found them.
    `last_clock_us` is the latest reading of the clock, used for `first_seen_us`. All are microseconds on
    the clock of this member's host.
    """

    def __init__(self, now_us: int) -> None:
        self.rows: dict[Id, Row] = {}
        self.total_bytes = 0
        self.committed_after_us: int | None = None
        self.sent_after_us: dict[Id, int] = {}
        self.first_seen_us: dict[Id, int] = {}
        self.last_clock_us = now_us

    # ---- the interface of a state machine

    def reset(self) -> None:
        """Resets the state before the log is applied again. The commands applied next may have been
        committed long ago, so no bound of their commit time is known."""
        self.rows, self.total_bytes, self.committed_after_us = {}, 0, None
        self.sent_after_us, self.first_seen_us = {}, {}

    def apply(self, index: int, origin: str, data: bytes) -> bytes:
        """Executes an encoded command and returns its encoded `CommandResult`."""
        try:
            command: Command = msgspec.msgpack.decode(data, type=Command)
        except msgspec.MsgspecError:  # written by another version: all members ignore it
            return msgspec.msgpack.encode(CommandResult(False, cause="the command is from another version"))
        return msgspec.msgpack.encode(self._execute(command))

    def _execute(self, command: Command) -> CommandResult:
        match command:
            case Insert():
                if command.row.id in self.rows:
                    return CommandResult(False)
                if (
                    len(self.rows) >= command.most_rows
                    or self.total_bytes + row_bytes(command.row) > command.most_bytes
                ):
                    return CommandResult(False, cause=f"the group holds {len(self.rows)} reports: it is full")
                self._store_row(command.row)
                if command.row.sent is not None:
                    self._record_send(command.row.id, command.age_us)
                return CommandResult(True)
            case Change():
                current = self.rows.get(command.id)
                if current is None or (current.state, current.owner) != (
                    command.state_was, command.owner_was
                ):  # fmt: skip
                    return CommandResult(False)
                after = replace(
                    current, state=command.state, sent=command.sent, owner=command.owner,
                    until_s=command.until_s, answer=command.answer, attempts=command.attempts,
                    note=command.note, told=command.told,
                )  # fmt: skip
                self._store_row(after)
                if command.state is State.SENT and current.state is not State.SENT:
                    self._record_send(command.id)
                return CommandResult(True)
            case Remove():
                current = self.rows.get(command.id)
                if current is None or (current.state, current.owner) != (
                    command.state_was, command.owner_was
                ):  # fmt: skip
                    return CommandResult(False)
                self._delete_row(current)
                return CommandResult(True)
            case Sweep():
                expired = sorted((r for r in self.rows.values()
                                  if r.state is State.CONFIRMED and r.received_s < command.before_s),
                                 key=lambda r: (r.received_s, r.id))[: command.limit]  # fmt: skip
                for r in expired:
                    self._delete_row(r)
                return CommandResult(True, count=len(expired))

    def _store_row(self, row: Row) -> None:
        before = self.rows.get(row.id)
        self.total_bytes += row_bytes(row) - (row_bytes(before) if before is not None else 0)
        self.rows[row.id] = row

    def _delete_row(self, row: Row) -> None:
        del self.rows[row.id]
        self.total_bytes -= row_bytes(row)
        self.sent_after_us.pop(row.id, None)
        self.first_seen_us.pop(row.id, None)

    def _record_send(self, id: Id, age_us: int = 0) -> None:
        """Records that the report of a row is sent, when a command that says so is applied. The report may
        have been sent first up to `age_us` before that command was proposed."""
        self.first_seen_us.pop(id, None)
        if self.committed_after_us is not None:
            self.sent_after_us[id] = self.committed_after_us - age_us
        else:
            self.first_seen_us[id] = self.last_clock_us - age_us

    def bound_send_time(self, id: Id, now_us: int) -> None:
        """Sets the lower bound of the send time of a row that this process proposed at `now_us`: a process
        sends a report only once its row is committed. Has no effect if a bound is known already."""
        if id in self.first_seen_us:
            del self.first_seen_us[id]
            self.sent_after_us[id] = now_us

    def snapshot(self) -> bytes:
        """The encoded rows."""
        return msgspec.msgpack.encode(list(self.rows.values()))

    def restore(self, data: bytes) -> None:
        """Replaces the rows by those of a snapshot."""
        found: list[Row] = msgspec.msgpack.decode(data, type=list[Row])
        self.rows = {r.id: r for r in found}
        self.total_bytes = sum(map(row_bytes, found))
        # A bound that is kept was set at the first send of this row or of an older row with the same id, and
        # so is still a lower bound.
        self.sent_after_us = {i: at for i, at in self.sent_after_us.items() if i in self.rows}
        unbounded = [r.id for r in found if r.state is State.SENT and r.id not in self.sent_after_us]
        self.first_seen_us = {i: self.first_seen_us.get(i, self.last_clock_us) for i in unbounded}

    # ---- rows with the send time known on this member

    def get_row(self, id: Id, now_us: int, boot: str) -> Row | None:
        """The row with this id. `boot` identifies the current boot of this machine."""
        found = self.rows.get(id)
        return self._with_send_time(found, now_us, boot) if found is not None else None

    def _with_send_time(self, row: Row, now_us: int, boot: str) -> Row:
        if row.sent is None:
            return row
        bound_us = self.sent_after_us.get(row.id)
        if bound_us is None:
            # This member does not know how long ago the row was sent, though others may. Once the nodes'
            # dedup window has passed since the row was found here, it has also passed since the row was sent.
            since = self.first_seen_us.get(row.id, now_us)
            window_over = row.state is not State.SENT or now_us >= since + int(row.window_s * 1e6)
            bound_us = since if window_over else None
        if bound_us is None:
            return replace(row, sent=Moment(row.sent.wall_s, UNKNOWN_BOOT, 0.0))
        return replace(row, sent=Moment(row.sent.wall_s, boot, bound_us / 1e6))

    def open_rows(self, owner_prefix: str, limit: int, now_us: int, boot: str) -> list[Row]:
        """The oldest rows in the state `STORED` or `SENT` whose owner starts with the prefix, at most
        `limit`."""
        found = [r for r in self.rows.values()
                 if r.state in (State.STORED, State.SENT) and r.owner.startswith(owner_prefix)]  # fmt: skip
        found.sort(key=lambda r: r.received_s)
        return [self._with_send_time(r, now_us, boot) for r in found[:limit]]

    def rows_by_age(self, state: State | None = None) -> Iterator[Row]:
        """The rows in this state (None: all), the oldest first."""
        yield from sorted((r for r in self.rows.values() if state in (None, r.state)),
                          key=lambda r: (r.received_s, r.id))  # fmt: skip
