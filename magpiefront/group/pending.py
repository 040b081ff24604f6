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
    """The end of an operation: `value` is the state machine's result, `cause` the reason of a failure."""

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
    entry: tuple[int, int] | None = None  # index and term of its log entry, if this member leads
    read: bool = False
    index: int = -1  # of a read: the log index that must be applied first


class PendingOperations:
    """Numbers the operations of this member and ends each of them once."""

    def __init__(self, base: int, limit: int) -> None:
        """Numbers start above `base`, which must exceed all numbers used by earlier processes of this member.
        At most `limit` operations are open at once."""
        self.seq, self.limit = base, limit
        self.open: dict[int, PendingOperation] = {}  # by number
        self.placed: dict[int, list[PendingOperation]] = {}  # in this leader's log, by index
        self.unsent: deque[PendingOperation] = deque()  # waiting for a known leader

    def add(
        self, data: bytes, deadline_us: int, on_done: OutcomeCallback, read: bool = False
    ) -> PendingOperation | None:  # fmt: skip
        """Returns None, after refusing the operation, if too many are open."""
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
        """Records where this leader has put an operation into its log."""
        operation.entry = index, term
        self.placed.setdefault(index, []).append(operation)

    def entry_committed(self, index: int, term: int) -> None:
        """Refuses the operations that this leader had put at `index` if an entry of another term is committed
        there: theirs can't be committed any more."""
        for operation in self.placed.pop(index, ()):
            if operation.entry != (index, term):
                self.end(operation.seq, Outcome(Status.REFUSED, cause="another leader's entry replaced it"))

    def term_began(self, term: int) -> None:
        """Ends the commands sent to leaders of earlier terms as unknown; called when the first entry of a
        leader's term is applied. Such a command precedes that entry or has not been committed by the leader
        that it was sent to, and whether it still will be can't be known."""
        for operation in [o for o in self.open.values() if o.sent and not o.read and o.sent_term < term]:
            self.end(operation.seq, Outcome(Status.UNKNOWN, cause="the term of its leader has ended"))

    def resend_reads(self, term: int) -> None:
        """After a change of leader, queues unanswered reads again: repeating a read is harmless."""
        for operation in [
            o for o in self.open.values() if o.sent and o.read and o.index < 0 and o.sent_term < term
        ]:
            operation.sent = False
            self.unsent.append(operation)

    def applied(self, index: int) -> None:
        """Ends the reads that waited for the log to be applied up to `index`."""
        for operation in [o for o in self.open.values() if o.read and 0 <= o.index <= index]:
            self.end(operation.seq, Outcome(Status.COMMITTED))

    def expire(self, now_us: int) -> None:
        """Ends the operations whose deadline has passed."""
        for operation in [o for o in self.open.values() if o.deadline_us <= now_us]:
            status = Status.UNKNOWN if operation.sent and not operation.read else Status.REFUSED
            self.end(operation.seq, Outcome(status, cause="the deadline has passed"))

    def next_us(self) -> int:
        """When the next deadline passes; a time in the far future if no operation is open."""
        return min((o.deadline_us for o in self.open.values()), default=1 << 62)
