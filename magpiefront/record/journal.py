"""The state machine of a report: when it is sent, when its clients are answered, what a repeat gets, and what
follows from each result of the store. It does no I/O and reads no clock.

Events are method calls; each returns the list of actions to execute. Times are microseconds since the boot of
the machine, which all its processes share and which steps of the wall clock do not affect. Rows hold them as
`Moment`.
"""

from __future__ import annotations

import enum
from collections.abc import Hashable
from dataclasses import dataclass, field, replace

from magpiefront.record.ownership import Ownership, UngroupedOwnership, OwnerStatus
from magpiefront.record.node_answer import BrokenAnswer, NodeAnswer, OversizedAnswer
from magpiefront.record.rows import (
    UNKNOWN_BOOT, Answer, Attempt, Id, Moment, Outcome, Result, Row, State, site_attempt, site_of_attempts,
    without_places,
)  # fmt: skip

US_PER_S = 1_000_000
POLL_INTERVAL_US = 50_000  # pause between two reads of a row that another process is sending
FOLLOWED_POLL_INTERVAL_US = 500_000  # the same, if its owner was asked to notify this process
RETRY_AFTER_US = 500_000  # `Retry-After` of answers that ask the client to retry
# The deadline of an insert is this much before the last moment at which the report could be sent. If the
# store has not begun the insert by then, its NOT_DONE arrives before `on_deadline` answers the client.
STORE_REPLY_MARGIN_US = 10_000


# ---- actions


@dataclass(frozen=True, slots=True)
class Insert:
    """Insert the row into the store."""

    row: Row
    deadline_us: int


@dataclass(frozen=True, slots=True)
class Change:
    """Replace the row `before` by `after`, if its state and owner are unchanged."""

    before: Row
    after: Row
    deadline_us: int


@dataclass(frozen=True, slots=True)
class Remove:
    """Remove the row from the store, if its state and owner are unchanged."""

    before: Row
    deadline_us: int


@dataclass(frozen=True, slots=True)
class Get:
    """Read the row from the store."""

    id: Id
    deadline_us: int
    delay_us: int = 0  # wait this long before the read
    read_number: int = 0  # the result of an earlier read of the same entry is ignored


@dataclass(frozen=True, slots=True)
class Follow:
    """Ask the member that owns the row to notify this process when it is done with it."""

    id: Id
    owner: str


@dataclass(frozen=True, slots=True)
class Send:
    """Send the report to the nodes, through the Router. The answer is needed by `deadline_us`."""

    row: Row
    deadline_us: int
    from_other_site: bool = False  # it must not be sent on to a third site
    resumed: bool = False  # another process may have sent it before


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer one client."""

    waiter: Hashable
    answer: Answer
    retry_after_us: int = 0
    never_ran: bool = False  # the report has certainly not run, and no process will send it


@dataclass(frozen=True, slots=True)
class LogLine:
    """Log a line."""

    text: str


Action = Insert | Change | Remove | Get | Follow | Send | Reply | LogLine


class Phase(enum.Enum):
    """What this process does with a report. The values are labels of a metric."""

    INSERTING = "inserting"
    POLLING = "asking"  # reads the row repeatedly until this process can act on it
    CLAIMING = "taking"  # takes the row over from another owner
    SENDING = "sending"
    STORING_OUTCOME = "settling"
    UNDOING = "freeing"  # this attempt did not run: removes the row that it inserted, or undoes its claim


@dataclass(slots=True)
class Entry:
    """A report that this process has in hand."""

    row: Row
    phase: Phase
    waiters: dict[Hashable, int] = field(default_factory=dict)  # the deadline of each client
    is_owned: bool = False  # whether this process inserted or claimed the row
    pending_row: Row | None = None  # the new row of the change in progress
    claimed_from: Row | None = None  # the row as it was before the claim
    delivery_deadline_us: int = 0  # the deadline of a delivery that no client waits for
    final_answer: Answer | None = None  # the clients get it once the outcome is stored or the row is undone
    retry_after_us: int = 0
    read_count: int = 0  # reads of the row so far
    followed_owner: str = ""  # the owner that was asked to notify this process
    from_other_site: bool = False

    @property
    def deadline_us(self) -> int:
        return max(self.waiters.values(), default=self.delivery_deadline_us)


def plain_answer(status: int, text: str) -> Answer:
    """Returns an answer with a body of plain text."""
    return Answer(status, b"Content-Type: text/plain\r\n", text.encode() + b"\n")


KEY_REUSED = plain_answer(422, "this Idempotency-Key came with another report before")
IN_PROGRESS = plain_answer(409, "a report with this Idempotency-Key is under way")
OUTCOME_UNKNOWN = plain_answer(409, "whether this report had its effect is not known; ask the operator")
RETRY_SAME_KEY = plain_answer(
    409, "the report may have had its effect; ask again under the same Idempotency-Key"
)  # fmt: skip
NO_ANSWER_IN_TIME = plain_answer(504, "no answer in time; the report may have had its effect")
ANSWER_BROKE_OFF = plain_answer(
    502, "the answer broke off; the report may have had its effect; ask again under the same Idempotency-Key"
)  # fmt: skip
ANSWER_NOT_KEPT = plain_answer(409, "the report had its effect; its answer was too long to be kept")
ANSWER_LOST = plain_answer(409, "the report had its effect; its answer was lost")
# The note of a row whose report has run, although no whole answer to it has come.
RAN_NOTE = "it ran: a node answered with success, but the answer broke off"
STORE_UNAVAILABLE = plain_answer(503, "the store of record can't take this report now; nothing was done")
# These do not tell the result of a report: the gateway of another site must not store them as its answer.
UNDECIDED = (IN_PROGRESS, RETRY_SAME_KEY, OUTCOME_UNKNOWN)


def without_body(status: int) -> Answer:
    """Returns what clients get in place of an answer with this status whose body is too long. It is no
    success, since a success without its body would be taken for a whole answer."""
    if 200 <= status < 300:
        return ANSWER_NOT_KEPT
    return plain_answer(status, "the body of this answer was too long to be kept")


def row_after_window(row: Row, owner: str) -> Row:
    """Returns the final form of a row whose report may have run and can't be sent again. If it is known to
    have run, only its answer is lost; else a person has to find out whether it ran."""
    if row.note == RAN_NOTE:
        return replace(row, state=State.CONFIRMED, owner=owner, answer=ANSWER_LOST, told=False)
    return replace(row, state=State.UNKNOWN, owner=owner)


def answer_after_window(row: Row) -> Answer:
    """Returns what clients get from a row in its final form."""
    return row.answer if row.answer is not None else OUTCOME_UNKNOWN


def without_ran_note(note: str) -> str:
    """Returns the note of a row once a whole answer has come."""
    return "" if note == RAN_NOTE else note


class Journal:
    """The reports that this process has in hand, and what to do about each event."""

    def __init__(
        self, boot: str, least_left_us: int = 20_000, outcome_timeout_us: int = 2_000_000,
        ownership: Ownership | None = None, most_answer: int = 64 << 10,
    ) -> None:  # fmt: skip
        """`boot` is the boot id of the machine. A report with less time left than `least_left_us` is not
        sent. An outcome may be stored until the last client's deadline or until `outcome_timeout_us` after it
        is known, whichever is later. `ownership` decides which rows this process may act on if proxies form a
        group. The body of an answer is stored up to `most_answer` bytes."""
        self.boot = boot
        self.ownership = ownership or UngroupedOwnership()
        self.claimed_count = 0  # rows claimed from owners that had ended
        self.least_left_us, self.outcome_timeout_us = least_left_us, outcome_timeout_us
        self.most_answer = most_answer
        self.entries: dict[Id, Entry] = {}

    # ---- clients

    def on_request(
        self, now_us: int, waiter: Hashable, row: Row, deadline_us: int, from_other_site: bool = False
    ) -> list[Action]:  # fmt: skip
        """A client sends a report or repeats one. `row` is the row to insert, with an owner that no other
        request has. Its state is `SENT` from the start, because after the commit another process could not
        tell whether the report has been sent."""
        entry = self.entries.get(row.id)
        if entry is not None:
            if entry.row.digest != row.digest:
                return [Reply(waiter, KEY_REUSED, never_ran=True)]
            entry.waiters[waiter] = deadline_us
            return []
        self.entries[row.id] = Entry(
            row, Phase.INSERTING, {waiter: deadline_us}, from_other_site=from_other_site
        )
        return [Insert(row, deadline_us - self.least_left_us - STORE_REPLY_MARGIN_US)]

    def on_client_left(self, waiter: Hashable, id: Id) -> None:
        """A client has disconnected. The report continues, because a repeat under its key needs the
        answer."""
        entry = self.entries.get(id)
        if entry is not None:
            entry.waiters.pop(waiter, None)

    def on_deadline(self, now_us: int, waiter: Hashable, id: Id) -> list[Action]:
        """A client's deadline is near or past. If its report can no longer be sent, the client is answered at
        once. While the report is being sent, its outcome is being stored or its row is being undone, the
        client is answered only at the deadline."""
        entry = self.entries.get(id)
        if entry is None or waiter not in entry.waiters:
            return []
        # Also true while the row of a report that was not sent is undone.
        is_sent = entry.phase in (Phase.SENDING, Phase.STORING_OUTCOME, Phase.UNDOING)
        if is_sent and now_us < entry.waiters[waiter]:
            return []
        del entry.waiters[waiter]
        if entry.phase in (Phase.POLLING, Phase.CLAIMING):
            return [Reply(waiter, IN_PROGRESS, RETRY_AFTER_US)]
        if entry.phase is Phase.INSERTING and not entry.waiters:
            # This process will not send the report, and will remove the row once it is inserted. But the
            # insert may be on its way to the store: if this process is lost before the removal, another one
            # finds the row and sends the report.
            return [Reply(waiter, RETRY_SAME_KEY, RETRY_AFTER_US)]
        return [Reply(waiter, NO_ANSWER_IN_TIME)]

    def bring_forward(self, deadline_us: int) -> None:
        """Makes `deadline_us` the latest deadline of all clients, because this process ends."""
        for entry in self.entries.values():
            entry.waiters = {waiter: min(due_us, deadline_us) for waiter, due_us in entry.waiters.items()}

    # ---- the store

    def _change_row(self, entry: Entry, before: Row, after: Row, deadline_us: int) -> Change:
        """Starts a change whose result goes to this entry. The result of any other change, such as the
        release of a row, may arrive after a retry by the client has made a new entry, which must ignore
        it."""
        entry.pending_row = after
        return Change(before, after, deadline_us)

    def inserted(self, now_us: int, id: Id, result: Result) -> list[Action]:
        """Handles the result of an `Insert`."""
        entry = self.entries.get(id)
        if entry is None or entry.phase is not Phase.INSERTING:
            return []  # the entry was released meanwhile; a later read finds the row
        if result.outcome is Outcome.DONE:
            entry.is_owned = True
            return self._send(now_us, entry)
        if result.outcome is Outcome.CONFLICT and result.row is not None:
            return self._handle_existing(now_us, entry, result.row)
        if result.outcome is Outcome.NOT_DONE:
            return self._end(entry, STORE_UNAVAILABLE, RETRY_AFTER_US, never_ran=True)
        # The commit may have succeeded. A read shows whether it has: only the row of this insert has the
        # owner of this entry.
        entry.phase = Phase.POLLING
        return self._poll(now_us, entry)

    def row_read(self, now_us: int, id: Id, result: Result, read_number: int | None = None) -> list[Action]:
        """Handles the result of a `Get`. `read_number`, if given, is that of the `Get`."""
        entry = self.entries.get(id)
        if entry is None or entry.phase is not Phase.POLLING or read_number not in (None, entry.read_count):
            return []
        if result.outcome is not Outcome.DONE:
            return self._poll(now_us, entry)
        if result.row is None:
            # There is no row: the insert failed, or another process has removed it.
            if not self._has_time_left(now_us, entry) or not self.ownership.may_act(entry.row.owner):
                return self._end(entry, RETRY_SAME_KEY, RETRY_AFTER_US)
            entry.phase = Phase.INSERTING
            return [Insert(entry.row, entry.deadline_us - self.least_left_us - STORE_REPLY_MARGIN_US)]
        return self._handle_existing(now_us, entry, result.row)

    def poll_now(self, now_us: int, id: Id | None = None) -> list[Action]:
        """Reads without further delay all rows that are being polled, because members have changed, or only
        the row `id`, because its owner is done with it."""
        actions: list[Action] = []
        for entry in [e for i, e in self.entries.items() if id in (None, i)]:
            if entry.phase is Phase.POLLING:
                actions += self._poll(now_us, entry, at_once=True)
        return actions

    def _handle_existing(self, now_us: int, entry: Entry, row: Row) -> list[Action]:
        """Decides what to do from the row that the store holds for the report."""
        if row.digest != entry.row.digest:
            return self._end(entry, KEY_REUSED, never_ran=True)
        if row.owner == entry.row.owner and row.state is State.SENT and not entry.is_owned:
            # This entry inserted the row, but the result of the insert was lost. The report has not been sent
            # yet, because it is sent only after that result.
            entry.row, entry.is_owned = row, True
            return self._send(now_us, entry)
        match row.state:
            case State.CONFIRMED:
                assert row.answer is not None
                return self._end(entry, row.answer)
            case State.UNKNOWN:
                return self._end(entry, OUTCOME_UNKNOWN)
            case State.STORED | State.NOT_RUN:
                return self._claim(now_us, entry, row)
            case State.SENT:
                return self._handle_unfinished(now_us, entry, row)

    def _handle_unfinished(self, now_us: int, entry: Entry, row: Row) -> list[Action]:
        """Handles a row that another process has marked as sent; that process may have died since."""
        since_s, is_age_unknown = (
            self.seconds_since_sent(now_us, row), row.sent is not None and row.sent.boot == UNKNOWN_BOOT
        )  # fmt: skip
        owner_status = self.ownership.owner_status(row.owner)
        if is_age_unknown or owner_may_be_working(row, since_s, owner_status):
            entry.phase = Phase.POLLING
            return self._poll(now_us, entry, row.owner if owner_status is OwnerStatus.ACTIVE else "")
        if since_s is not None and since_s < row.window_s:
            # The owner can't be working on it, and the nodes still drop a repeat: it may be sent again.
            return self._claim(now_us, entry, row)
        if not self.ownership.may_act(entry.row.owner):
            return self._end(entry, IN_PROGRESS, RETRY_AFTER_US)
        entry.phase = Phase.CLAIMING
        after = row_after_window(row, entry.row.owner)
        change = self._change_row(entry, row, after, now_us + self.outcome_timeout_us)
        return [change, *self._reply_all(entry, answer_after_window(after))]

    def seconds_since_sent(self, now_us: int, row: Row) -> float | None:
        """Returns how long ago the report was sent; None if that is not known, as after a reboot."""
        if row.sent is None or row.sent.boot != self.boot:
            return None
        return max(0.0, now_us / US_PER_S - row.sent.up_s)

    def _claim(self, now_us: int, entry: Entry, row: Row) -> list[Action]:
        """Takes the row over from its owner, to send the report."""
        if not self._has_time_left(now_us, entry) or not self.ownership.may_act(entry.row.owner):
            return self._end(entry, IN_PROGRESS, RETRY_AFTER_US)
        entry.phase, entry.claimed_from = Phase.CLAIMING, row
        self.claimed_count += self.ownership.owner_status(row.owner) is OwnerStatus.ENDED
        # The retry window begins when the report may have been sent for the first time, not at a later
        # attempt.
        first_sent, attempts = row.sent, row.attempts
        if row.state is not State.SENT:
            # It has not run anywhere, so it may be sent to the site that the client's request names.
            first_sent = entry.row.sent
            attempts = without_places(row.attempts)
            if entry.waiters:
                attempts += site_attempt(site_of_attempts(entry.row.attempts), entry.row.received_s)
        after = replace(
            row,
            attempts=attempts,
            state=State.SENT,
            owner=entry.row.owner,
            sent=first_sent,
            until_s=entry.row.until_s,
            told=False,
        )
        if row.state is State.SENT and row.sent is not None:
            after = replace(after, until_s=now_us / US_PER_S - row.sent.up_s + entry.row.until_s)
        return [self._change_row(entry, row, after, entry.deadline_us - self.least_left_us)]

    def changed(self, now_us: int, id: Id, after: Row, result: Result) -> list[Action]:
        """Handles the result of a `Change` to `after`."""
        entry = self.entries.get(id)
        if entry is None or entry.pending_row is not after:
            return []
        if entry.phase is Phase.STORING_OUTCOME:
            return self._finish(now_us, entry, after, result)
        if entry.phase is Phase.UNDOING:
            return self.removed(now_us, id, result)
        if after.state is not State.SENT:
            return self._after_window(entry, after, result)
        if result.outcome is Outcome.DONE:
            entry.row, entry.is_owned = after, True
            return self._send(now_us, entry)
        if result.outcome is Outcome.CONFLICT and result.row is not None:
            return self._handle_existing(now_us, entry, result.row)
        entry.phase = Phase.POLLING
        return self._poll(now_us, entry)

    def _after_window(self, entry: Entry, after: Row, result: Result) -> list[Action]:
        """Ends the entry of a row that was to get its final form; clients may have come meanwhile."""
        if result.outcome is Outcome.DONE:
            what = (
                "is unknown: it may have run, and is not sent again"
                if after.state is State.UNKNOWN
                else "ran, and its answer is lost"
            )
            replies = self._end(entry, answer_after_window(after))
            return [*replies, LogLine(f"record: {after.id.key!r} {what}")]
        if result.row is not None and result.row.state in (State.CONFIRMED, State.UNKNOWN):
            return self._end(entry, answer_after_window(result.row))
        return self._end(entry, IN_PROGRESS, RETRY_AFTER_US)

    def _poll(self, now_us: int, entry: Entry, owner: str = "", at_once: bool = False) -> list[Action]:
        """Reads the row after a delay. `owner`, if given, is asked to notify this process when it is done."""
        if not self._has_time_left(now_us, entry):
            return self._end(entry, IN_PROGRESS, RETRY_AFTER_US)
        entry.read_count += 1
        delay_us = (
            0 if at_once
            else FOLLOWED_POLL_INTERVAL_US if owner and owner == entry.followed_owner
            else POLL_INTERVAL_US
        )  # fmt: skip
        get = Get(entry.row.id, entry.deadline_us, delay_us, entry.read_count)
        if not owner or owner == entry.followed_owner:
            return [get]
        entry.followed_owner = owner
        return [Follow(entry.row.id, owner), get]

    def _has_time_left(self, now_us: int, entry: Entry) -> bool:
        return entry.deadline_us - now_us >= self.least_left_us

    # ---- the nodes

    def _abandon(self, entry: Entry) -> list[Action]:
        """Drops an entry whose row another process may act on by now. Nothing is sent or written here, and
        the clients are asked to retry, because only the other process learns the outcome."""
        return self._end(entry, RETRY_SAME_KEY, RETRY_AFTER_US)

    def _send(self, now_us: int, entry: Entry) -> list[Action]:
        if not self.ownership.may_act(entry.row.owner):
            return self._abandon(entry)
        if not self._has_time_left(now_us, entry):
            # The report is stored, but too little time is left to send it: the row is removed again.
            return self._undo(now_us, entry, STORE_UNAVAILABLE, RETRY_AFTER_US)
        entry.phase = Phase.SENDING
        resumed = entry.claimed_from is not None and entry.claimed_from.state is State.SENT
        return [Send(entry.row, entry.deadline_us, entry.from_other_site, resumed)]

    def _undo(self, now_us: int, entry: Entry, answer: Answer, retry_after_us: int) -> list[Action]:
        """Removes the row of a report that did not run, or sets it back to what it was before the claim."""
        entry.phase, entry.final_answer, entry.retry_after_us = Phase.UNDOING, answer, retry_after_us
        until_us = max(entry.deadline_us, now_us + self.outcome_timeout_us)
        if entry.claimed_from is None:
            return [Remove(entry.row, until_us)]
        # The report did not run in this attempt. Its row is set back to what was known before the claim, and
        # the report is still to be delivered.
        after = replace(entry.claimed_from, owner=entry.row.owner, until_s=0.0)
        if entry.claimed_from.state is State.SENT and entry.waiters:
            # An answer that says that nothing was done would be true of this attempt only.
            after, entry.final_answer = replace(after, told=True), RETRY_SAME_KEY
            entry.retry_after_us = retry_after_us or RETRY_AFTER_US
        return [self._change_row(entry, entry.row, after, until_us)]

    def is_sending(self, row: Row) -> bool:
        """Returns whether the report is being sent for this row, and not for a later attempt at the same
        key."""
        entry = self.entries.get(row.id)
        return entry is not None and entry.phase is Phase.SENDING and entry.row.owner == row.owner

    def answered(
        self, now_us: int, id: Id, answer: NodeAnswer, may_have_run: bool, attempts: tuple[Attempt, ...],
        retry_after_us: int = 0, undecided: bool = False, has_run: bool = False,
    ) -> list[Action]:  # fmt: skip
        """Handles the answer of the nodes, or that of the Router in place of one. `undecided`: the other site
        answered that the report is in progress there, or that its outcome is unknown. `has_run`: a node
        has begun an answer that tells that the report ran."""
        entry = self.entries[id]
        if not self.ownership.may_act(entry.row.owner):
            return self._abandon(entry)
        row = replace(entry.row, attempts=(*entry.row.attempts, *attempts))
        is_success = 200 <= answer.status < 300
        if is_success and not isinstance(answer, BrokenAnswer):
            return self._confirm(now_us, entry, replace(row, note=without_ran_note(row.note)), answer)
        if has_run or is_success:
            row = replace(row, note=RAN_NOTE)
        if isinstance(answer, BrokenAnswer):
            return self._release(now_us, entry, row, ANSWER_BROKE_OFF, retry_after_us)
        reply = without_body(answer.status) if isinstance(answer, OversizedAnswer) else answer
        if not may_have_run:
            return self._undo(now_us, entry, reply, retry_after_us)
        if 400 <= answer.status < 500 and answer.status != 429 and not undecided:
            # The archive itself refused the report, and would refuse a repeat in the same way.
            return self._confirm(now_us, entry, row, answer)
        if (undecided or answer.status in (429, 503)) and entry.waiters:
            # The client would take a refusal to mean that nothing was done, and might send the report under
            # another key. So it is asked to retry under the same key, but only after the row is marked with
            # `told`: from then on no other process sends the report.
            after = replace(row, until_s=0.0, told=True)
            return self._store_outcome(now_us, entry, after, RETRY_SAME_KEY, retry_after_us or RETRY_AFTER_US)
        return self._release(now_us, entry, row, reply, retry_after_us)

    def _confirm(
        self, now_us: int, entry: Entry, row: Row, answer: Answer | OversizedAnswer
    ) -> list[Action]:  # fmt: skip
        """Stores the final answer. The clients that wait get it whole if it could be held; repeats get it
        only if it is short enough to be stored."""
        reply = without_body(answer.status) if isinstance(answer, OversizedAnswer) else answer
        is_kept = len(reply.body) <= self.most_answer
        stored = reply if is_kept else without_body(reply.status)
        after = replace(row, state=State.CONFIRMED, answer=stored)
        return self._store_outcome(now_us, entry, after, reply, entry.retry_after_us)

    def _store_outcome(
        self, now_us: int, entry: Entry, after: Row, reply: Answer, retry_after_us: int
    ) -> list[Action]:  # fmt: skip
        """Stores what is known of the report; the clients get `reply` once that is done."""
        entry.phase, entry.final_answer, entry.retry_after_us = Phase.STORING_OUTCOME, reply, retry_after_us
        until_us = max(entry.deadline_us, now_us + self.outcome_timeout_us)
        return [self._change_row(entry, entry.row, after, until_us)]

    def _release(
        self, now_us: int, entry: Entry, row: Row, reply: Answer, retry_after_us: int
    ) -> list[Action]:  # fmt: skip
        """Answers the clients of a report that may have run, and releases its row: within the retry window a
        repeat may be sent at once, and after it the row is marked as unknown."""
        release = Change(entry.row, replace(row, until_s=0.0), now_us + self.outcome_timeout_us)
        return [*self._end(entry, reply, retry_after_us), release]

    def _finish(self, now_us: int, entry: Entry, after: Row, result: Result) -> list[Action]:
        """Answers the clients according to whether the store has accepted the outcome."""
        assert entry.final_answer is not None
        if result.outcome is Outcome.DONE:
            return self._end(entry, entry.final_answer, entry.retry_after_us)
        if result.outcome is Outcome.CONFLICT and result.row is not None and result.row.answer is not None:
            # Another process claimed the row within the retry window and stored an answer, which counts.
            return self._end(entry, result.row.answer)
        # The report ran, but the store has not confirmed that: so the clients get no confirmation either.
        failed = plain_answer(
            504, "the report may have had its effect, and the store of record did not answer"
        )  # fmt: skip
        return [
            *self._end(entry, failed),
            LogLine(f"record: an outcome was not stored: {result.cause}"),
        ]

    def removed(self, now_us: int, id: Id, result: Result) -> list[Action]:
        """Handles the result of a `Remove`, or of the change that sets a row back to what it was before the
        claim."""
        entry = self.entries.get(id)
        if entry is None or entry.phase is not Phase.UNDOING:
            return []
        assert entry.final_answer is not None
        if result.outcome is Outcome.DONE:
            return self._end(entry, entry.final_answer, entry.retry_after_us, entry.claimed_from is None)
        # The row is still marked as sent, although the report was not sent, or it belongs to another process
        # by now. So the clients can't be told that nothing was done.
        replies = self._end(entry, RETRY_SAME_KEY, entry.retry_after_us or RETRY_AFTER_US)
        if result.outcome is Outcome.CONFLICT:
            return replies
        # The same line is logged if the row could not be set back.
        return [*replies, LogLine(f"record: a refused report could not be removed: {result.cause}")]

    # ---- planned shutdown

    def release_all(self, now_us: int) -> list[Action]:
        """Releases the reports that would not end before this process shuts down, so that any process may
        claim them within the retry window. Their clients are asked to retry under the same key."""
        actions: list[Action] = []
        for entry in list(self.entries.values()):
            if entry.phase is Phase.SENDING and self.ownership.may_act(entry.row.owner):
                actions.append(
                    Change(entry.row, replace(entry.row, until_s=0.0), now_us + self.outcome_timeout_us)
                )
            is_polled = entry.phase in (Phase.POLLING, Phase.CLAIMING)
            actions += self._end(entry, IN_PROGRESS if is_polled else RETRY_SAME_KEY, RETRY_AFTER_US)
        return actions

    # ---- recovery of open rows

    def deliver(self, now_us: int, row: Row, claimed: Row, deadline_us: int) -> list[Action]:
        """Claims and sends an open row that no client waits for; see `recovery_action`. `claimed` is the row
        after the claim, with an owner of its own. Does nothing if this process has the report in hand."""
        if row.id in self.entries:
            return []
        entry = self.entries[row.id] = Entry(claimed, Phase.CLAIMING, delivery_deadline_us=deadline_us)
        return self._claim(now_us, entry, row)

    def mark_unknown(self, now_us: int, row: Row, owner: str) -> list[Action]:
        """Marks a row as unknown, or as confirmed if the report is known to have run; see
        `recovery_action`."""
        if row.id in self.entries:
            return []
        after = row_after_window(row, owner)
        entry = self.entries[row.id] = Entry(after, Phase.CLAIMING)
        return [self._change_row(entry, row, after, now_us + self.outcome_timeout_us)]

    # ---- answers

    def _reply_all(
        self, entry: Entry, answer: Answer, retry_after_us: int = 0, never_ran: bool = False
    ) -> list[Action]:  # fmt: skip
        waiters, entry.waiters = entry.waiters, {}
        return [Reply(w, answer, retry_after_us, never_ran) for w in waiters]

    def _end(
        self, entry: Entry, answer: Answer, retry_after_us: int = 0, never_ran: bool = False
    ) -> list[Action]:  # fmt: skip
        """Removes the entry and answers its clients. Nothing else removes an entry, so no client can be left
        in one."""
        del self.entries[entry.row.id]
        return self._reply_all(entry, answer, retry_after_us, never_ran)


# ---- recovery


@dataclass(slots=True)
class DeliveryPace:
    """Limits how fast open reports are delivered: at most `max_in_flight` at the same time, and a pause that
    doubles with each delivery that gets no 2xx answer. The Router refuses requests when it has no capacity,
    and deliveries can wait."""

    max_in_flight: int = 4
    min_pause_us: int = 100_000
    max_pause_us: int = 10_000_000
    in_flight: int = 0
    pause_us: int = 0
    not_before_us: int = 0

    def can_begin(self, now_us: int) -> bool:
        return self.in_flight < self.max_in_flight and now_us >= self.not_before_us

    def begin(self) -> None:
        self.in_flight += 1

    def end(self, now_us: int, delivered: bool) -> None:
        self.in_flight -= 1
        self.pause_us = 0 if delivered else min(self.max_pause_us, max(self.min_pause_us, self.pause_us * 2))
        self.not_before_us = now_us + self.pause_us


class RecoveryAction(enum.Enum):
    """What to do with an open row that this process does not have in hand."""

    DELIVER = "deliver"  # known not to have run: to be sent
    RESEND = "again"  # may have run, within the retry window: to be sent again under its key
    UNKNOWN = "unknown"  # may have run, and the retry window is over: to be marked as unknown
    LEAVE = "leave"  # another process may work on it, or only its client may send it again by now


def owner_may_be_working(row: Row, seconds_since_sent: float | None, owner_status: OwnerStatus) -> bool:
    """Returns whether the owner of the row works on it or may do so.

    An active member may work on it, unless it has released the row; an owner that is no member may, until
    `until_s` has passed. No process works on the row of a member that has ended. None works on a row of this
    member either, because the callers exclude the rows that this process is working on.
    """
    match owner_status:
        case OwnerStatus.ACTIVE:
            return row.until_s > 0
        case OwnerStatus.NO_MEMBER:
            return seconds_since_sent is not None and seconds_since_sent < row.until_s
        case _:
            return False


def recovery_action(
    row: Row, up_s: float, boot: str, delivery_s: float = 1.0,
    owner_status: OwnerStatus = OwnerStatus.NO_MEMBER,
) -> RecoveryAction:  # fmt: skip
    """Decides what to do with an open row. `up_s` is the current time in seconds since boot. `delivery_s` is
    the longest time that a delivery takes: none is begun that could reach the nodes after the retry
    window."""
    if row.state is State.STORED:
        return RecoveryAction.DELIVER
    if row.state is not State.SENT or row.sent is None or row.sent.boot == UNKNOWN_BOOT:
        return RecoveryAction.LEAVE
    if row.sent.boot != boot:
        return RecoveryAction.UNKNOWN
    since_s = up_s - row.sent.up_s
    if since_s < 0:
        return RecoveryAction.UNKNOWN
    if owner_may_be_working(row, since_s, owner_status) or (row.told and since_s < row.window_s):
        return RecoveryAction.LEAVE
    if since_s >= row.window_s:
        return RecoveryAction.UNKNOWN
    # A delivery would take too long by now, but a client that comes again within the window still sends it.
    return RecoveryAction.RESEND if since_s + delivery_s < row.window_s else RecoveryAction.LEAVE


def moment_now(now_us: int, wall_s: float, boot: str) -> Moment:
    """Returns the current time as a `Moment`."""
    return Moment(wall_s, boot, now_us / US_PER_S)
