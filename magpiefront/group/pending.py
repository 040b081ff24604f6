"""The proposals and reads of this member whose outcome is open. Each ends exactly once, by its deadline.

A committed operation ends with its result; a refused one certainly has no effect, now or later; in all other
cases the outcome is unknown. Operations are not retried here: only the caller knows whether that is harmless.
No I/O and no clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum


class Status(Enum):
    """How an operation ended."""

    COMMITTED = "committed"
    REFUSED = "refused"  # certainly without effect, now or later
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an operation ended: `value` is the state machine's result, `cause` the reason if it failed."""

    status: Status
    value: bytes = b""
    cause: str = ""


OutcomeCallback = Callable[[Outcome], None]


@dataclass(slots=True)
class PendingOperation:
    """A proposal, or a read, whose outcome is open."""

    seq: int
    data: bytes
    deadline_us: int
    on_done: OutcomeCallback
    sent: bool = False
    sent_term: int = 0  # the term of the leader that it was sent to
    entry: tuple[int, int] | None = None  # index and term of its log entry, if this member appended it
    read: bool = False
    index: int = -1  # of a read: the log index that must be applied first


class PendingOperations:
    """Numbers the operations of this member and ends each of them once."""

    def __init__(self, base: int, limit: int) -> None:
        """Numbers start above `base`, which must exceed all numbers used by earlier processes of this member.
        At most `limit` operations are open at once."""
        self.seq, self.limit = base, limit
        self.open: dict[int, PendingOperation] = {}  # by number
        # The operations that this member, as the leader, has appended to its log, by index.
        self.placed: dict[int, list[PendingOperation]] = {}
        self.unsent: deque[PendingOperation] = deque()  # waiting for a known leader

    def add(
        self, data: bytes, deadline_us: int, on_done: OutcomeCallback, read: bool = False
    ) -> PendingOperation | None:  # fmt: skip
        """Opens an operation and returns it. If too many are open, refuses it and returns None."""
        if len(self.open) >= self.limit:
            on_done(Outcome(Status.REFUSED, cause="too many operations are open"))
            return None
        self.seq += 1
        operation = PendingOperation(self.seq, data, deadline_us, on_done, read=read)
        self.open[operation.seq] = operation
        return operation

    def end(self, seq: int, outcome: Outcome) -> None:
        """Ends an operation; does nothing if it has already ended."""
        operation = self.open.pop(seq, None)
        if operation is not None:
            operation.on_done(outcome)

    def place(self, operation: PendingOperation, index: int, term: int) -> None:
        """Records the index and term at which this member, as the leader, has appended an operation."""
        operation.entry = index, term
        self.placed.setdefault(index, []).append(operation)

    def entry_committed(self, index: int, term: int) -> None:
        """Handles the commit of an entry. Refuses the operations that this member had appended at `index`
        under another term: their entries can't be committed any more."""
        for operation in self.placed.pop(index, ()):
            if operation.entry != (index, term):
                self.end(operation.seq, Outcome(Status.REFUSED, cause="another leader's entry replaced it"))

    def term_began(self, term: int) -> None:
        """Ends the commands sent to leaders of earlier terms as unknown; called when the first entry of a
        leader's term is applied. A command that precedes this entry in the log has normally ended before. Any
        other was not committed by the leader that it was sent to, and it can't be known whether it still will
        be."""
        for operation in [o for o in self.open.values() if o.sent and not o.read and o.sent_term < term]:
            self.end(operation.seq, Outcome(Status.UNKNOWN, cause="the term of its leader has ended"))

    def resend_reads(self, term: int) -> None:
        """Queues the unanswered reads sent to leaders of earlier terms again: repeating a read is
        harmless."""
        for operation in [
            o for o in self.open.values() if o.sent and o.read and o.index < 0 and o.sent_term < term
        ]:
            operation.sent = False
            self.unsent.append(operation)

    def applied(self, index: int) -> None:
        """Called when the log is applied up to `index`: ends the reads that wait for that or an earlier
        index."""
        for operation in [o for o in self.open.values() if o.read and 0 <= o.index <= index]:
            self.end(operation.seq, Outcome(Status.COMMITTED))

    def expire(self, now_us: int) -> None:
        """Ends the operations whose deadline has passed: commands that were sent as unknown, all others as
        refused."""
        for operation in [o for o in self.open.values() if o.deadline_us <= now_us]:
            status = Status.UNKNOWN if operation.sent and not operation.read else Status.REFUSED
            self.end(operation.seq, Outcome(status, cause="the deadline has passed"))

    def next_us(self) -> int:
        """When the next deadline passes, in microseconds; a time in the far future if no operation is
        open."""
        return min((o.deadline_us for o in self.open.values()), default=1 << 62)
