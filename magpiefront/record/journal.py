"""The life of a report: when it is sent, when its client may be answered, what a repeat gets, and what
follows from each word of the store. No I/O and no clock.

Events come in as method calls, actions go out in a list. Times are microseconds since the machine's start,
which all processes on it share and no leap of a clock touches; a `Moment` is what rows carry of them.
"""

from __future__ import annotations

import enum
from collections.abc import Hashable
from dataclasses import dataclass, field, replace

from magpiefront.record.acting import Acting, Alone, Standing
from magpiefront.record.rows import UNSURE, Answer, Attempt, Id, Moment, Outcome, Result, Row, State

S = 1_000_000
ASK_AGAIN_US = 50_000  # a report that another process sends is looked at so often
FOLLOWED_US = 500_000  # ... where its owner is asked to say when it is done
RETRY_AFTER_US = 500_000
WORD_US = 10_000  # a store that has not begun by then can say so for certain before the client is told


# ---- actions


@dataclass(frozen=True, slots=True)
class Insert:
    row: Row
    deadline_us: int


@dataclass(frozen=True, slots=True)
class Change:
    before: Row
    after: Row
    deadline_us: int


@dataclass(frozen=True, slots=True)
class Remove:
    before: Row
    deadline_us: int


@dataclass(frozen=True, slots=True)
class Get:
    id: Id
    deadline_us: int
    after_us: int = 0  # not before so much time has passed
    number: int = 0  # of its entry's look-ups; only the newest counts


@dataclass(frozen=True, slots=True)
class Follow:
    """The member that owns the row is asked to say when it is done with it."""

    id: Id
    owner: str


@dataclass(frozen=True, slots=True)
class Send:
    """To the nodes, through the Router. `deadline_us`: when its answer must be there."""

    row: Row
    deadline_us: int
    crossed: bool = False  # it came from another site, and goes no further
    resumed: bool = False  # another process may have sent it before


@dataclass(frozen=True, slots=True)
class Reply:
    waiter: Hashable
    answer: Answer
    retry_after_us: int = 0
    never_ran: bool = False  # that is certain, and that nobody will send it


@dataclass(frozen=True, slots=True)
class Note:
    """A line for the operator."""

    text: str


Action = Insert | Change | Remove | Get | Follow | Send | Reply | Note


class Phase(enum.Enum):
    INSERTING = "inserting"
    ASKING = "asking"  # the store, what stands there
    TAKING = "taking"  # over, from another process or from "stored"
    SENDING = "sending"
    SETTLING = "settling"  # its outcome is being stored
    FREEING = "freeing"  # it never ran, and is being removed


@dataclass(slots=True)
class Entry:
    """A report that this process has to do with now."""

    row: Row
    phase: Phase
    waiters: dict[Hashable, int] = field(default_factory=dict)  # until when each one's time lasts
    held: bool = False  # did this process insert or take it?
    awaits: Row | None = None  # what its row is to become by the change that is under way
    origin: Row | None = None  # what stood there when it was taken over
    until_us: int = 0  # of a delivery that nobody waits for
    outcome: Answer | None = None  # what the clients are told once it is settled
    retry_after_us: int = 0
    looks: int = 0  # how often it was asked for
    followed: str = ""  # the owner that was asked to tell
    crossed: bool = False

    @property
    def deadline_us(self) -> int:
        return max(self.waiters.values(), default=self.until_us)


def plain(status: int, text: str) -> Answer:
    return Answer(status, b"Content-Type: text/plain\r\n", text.encode() + b"\n")


UNLIKE = plain(422, "this Idempotency-Key came with another report before")
OPEN = plain(409, "a report with this Idempotency-Key is under way")
NOBODY_KNOWS = plain(409, "whether this report had its effect is not known; ask the operator")
COME_AGAIN = plain(409, "the report may have had its effect; ask again under the same Idempotency-Key")
NOT_HELD = plain(503, "the store of record can't take this report now; nothing was done")
UNDECIDED = (OPEN, COME_AGAIN, NOBODY_KNOWS)  # no answers yet: another site's gateway is not to keep them


class Journal:
    """`boot` names the machine's start."""

    def __init__(
        self, boot: str, least_left_us: int = 20_000, settle_us: int = 2_000_000,
        acting: Acting | None = None,
    ) -> None:  # fmt: skip
        """`least_left_us`: one with less time left is not sent. `settle_us`: how long a store is tried with
        an outcome after its clients have gone. `acting`: who may act, where proxies agree on that."""
        self.boot = boot
        self.acting = acting or Alone()
        self.taken = 0  # from owners that were over
        self.least_left_us, self.settle_us = least_left_us, settle_us
        self.entries: dict[Id, Entry] = {}

    # ---- clients

    def arrive(
        self, now_us: int, waiter: Hashable, row: Row, deadline_us: int, crossed: bool = False
    ) -> list[Action]:  # fmt: skip
        """A report, as the row that it would be: sent from the moment that it is held, for after its commit
        nobody could tell whether it went; its `owner` is nobody else's. Also a repeat of one."""
        entry = self.entries.get(row.id)
        if entry is not None:
            if entry.row.digest != row.digest:
                return [Reply(waiter, UNLIKE, never_ran=True)]
            entry.waiters[waiter] = deadline_us
            return []
        self.entries[row.id] = Entry(row, Phase.INSERTING, {waiter: deadline_us}, crossed=crossed)
        return [Insert(row, deadline_us - self.least_left_us - WORD_US)]

    def leave(self, waiter: Hashable, id: Id) -> None:
        """Its client has gone. What was begun goes on: the next with that key is owed the answer."""
        entry = self.entries.get(id)
        if entry is not None:
            entry.waiters.pop(waiter, None)

    def overdue(self, now_us: int, waiter: Hashable, id: Id) -> list[Action]:
        """A client's time is nearly up while its report is open, or is up: what can't be sent any more is
        answered at once, and what is out may still come."""
        entry = self.entries.get(id)
        if entry is None or waiter not in entry.waiters:
            return []
        out = entry.phase in (Phase.SENDING, Phase.SETTLING, Phase.FREEING)
        if out and now_us < entry.waiters[waiter]:
            return []
        del entry.waiters[waiter]
        if entry.phase in (Phase.ASKING, Phase.TAKING):
            return [Reply(waiter, OPEN, RETRY_AFTER_US)]
        if entry.phase is Phase.INSERTING and not entry.waiters:
            # It is not sent from here, and freed once it is held. But that may be on its way to the store:
            # where this process is lost before it frees it, another one finds it there, and sends it.
            return [Reply(waiter, COME_AGAIN, RETRY_AFTER_US)]
        return [Reply(waiter, plain(504, "no answer in time; the report may have had its effect"))]

    # ---- the store

    def _change(self, entry: Entry, before: Row, after: Row, deadline_us: int) -> Change:
        """Of its outcome this entry hears. What is let go nobody waits for, and its word may come when the
        client's next try has an entry of its own: that one must not take it for its own change."""
        entry.awaits = after
        return Change(before, after, deadline_us)

    def inserted(self, now_us: int, id: Id, result: Result) -> list[Action]:
        entry = self.entries.get(id)
        if entry is None or entry.phase is not Phase.INSERTING:
            return []  # it has been parted with; what stands there is found when it is looked for
        if result.outcome is Outcome.DONE:
            entry.held = True
            return self._send(now_us, entry)
        if result.outcome is Outcome.THERE and result.row is not None:
            return self._found(now_us, entry, result.row)
        if result.outcome is Outcome.NEVER:
            return self._give_up(entry, NOT_HELD, RETRY_AFTER_US, never_ran=True)
        # Its commit may have come about. What stands there will tell; ours would have our name.
        entry.phase = Phase.ASKING
        return self._ask(now_us, entry)

    def got(self, now_us: int, id: Id, result: Result, number: int | None = None) -> list[Action]:
        entry = self.entries.get(id)
        if entry is None or entry.phase is not Phase.ASKING or number not in (None, entry.looks):
            return []
        if result.outcome is not Outcome.DONE:
            return self._ask(now_us, entry)
        if result.row is None:
            # Nothing is held of it: the insert never was, or another process has freed the key.
            if not self._time_left(now_us, entry) or not self.acting.may(entry.row.owner):
                return self._give_up(entry, COME_AGAIN, RETRY_AFTER_US)
            entry.phase = Phase.INSERTING
            return [Insert(entry.row, entry.deadline_us - self.least_left_us - WORD_US)]
        return self._found(now_us, entry, result.row)

    def look(self, now_us: int, id: Id | None = None) -> list[Action]:
        """Members have changed, or that one's owner says that it is done with it: what is waited for is asked
        for at once."""
        found: list[Action] = []
        for entry in [e for i, e in self.entries.items() if id in (None, i)]:
            if entry.phase is Phase.ASKING:
                found += self._ask(now_us, entry, at_once=True)
        return found

    def _found(self, now_us: int, entry: Entry, row: Row) -> list[Action]:
        if row.digest != entry.row.digest:
            return self._give_up(entry, UNLIKE, never_ran=True)
        if row.owner == entry.row.owner and row.state is State.SENT and not entry.held:
            # Our own insert, whose word was lost: it was not sent yet, for nobody sends before that word.
            entry.row, entry.held = row, True
            return self._send(now_us, entry)
        match row.state:
            case State.CONFIRMED:
                assert row.answer is not None
                return self._give_up(entry, row.answer)
            case State.UNKNOWN:
                return self._give_up(entry, NOBODY_KNOWS)
            case State.STORED | State.NOT_RUN:
                return self._take(now_us, entry, row)
            case State.SENT:
                return self._elsewhere(now_us, entry, row)

    def _elsewhere(self, now_us: int, entry: Entry, row: Row) -> list[Action]:
        """Another process sends it, or did when it died."""
        since, unsure = self.since_s(now_us, row), row.sent is not None and row.sent.boot == UNSURE
        standing = self.acting.standing(row.owner)
        if unsure or at_work(row, since, standing):
            entry.phase = Phase.ASKING
            return self._ask(now_us, entry, row.owner if standing is Standing.WELL else "")
        if since is not None and since < row.window_s:
            # Its owner is past its time, and the nodes still drop a repeat: it may be sent again.
            return self._take(now_us, entry, row)
        if not self.acting.may(entry.row.owner):
            return self._give_up(entry, OPEN, RETRY_AFTER_US)
        entry.phase = Phase.TAKING
        after = replace(row, state=State.UNKNOWN, owner=entry.row.owner)
        change = self._change(entry, row, after, now_us + self.settle_us)
        return [change, *self._all(entry, NOBODY_KNOWS)]

    def since_s(self, now_us: int, row: Row) -> float | None:
        """How long ago it was sent; None where nobody can say, as after a restart of the machine."""
        if row.sent is None or row.sent.boot != self.boot:
            return None
        return max(0.0, now_us / S - row.sent.up_s)

    def _take(self, now_us: int, entry: Entry, row: Row) -> list[Action]:
        if not self._time_left(now_us, entry) or not self.acting.may(entry.row.owner):
            return self._give_up(entry, OPEN, RETRY_AFTER_US)
        entry.phase, entry.origin = Phase.TAKING, row
        self.taken += self.acting.standing(row.owner) is Standing.OVER
        # The window counts from the first time that it may have gone: never from a later one.
        first = row.sent if row.state is State.SENT else entry.row.sent
        after = replace(
            row, state=State.SENT, owner=entry.row.owner, sent=first, until_s=entry.row.until_s, told=False
        )
        if row.state is State.SENT and row.sent is not None:
            after = replace(after, until_s=now_us / S - row.sent.up_s + entry.row.until_s)
        return [self._change(entry, row, after, entry.deadline_us - self.least_left_us)]

    def changed(self, now_us: int, id: Id, after: Row, result: Result) -> list[Action]:
        entry = self.entries.get(id)
        if entry is None or entry.awaits is not after:
            return []
        if entry.phase is Phase.SETTLING:
            return self._settled(now_us, entry, after, result)
        if entry.phase is Phase.FREEING:
            return self.removed(now_us, id, result)
        if after.state is State.UNKNOWN:
            del self.entries[id]
            return [Note(f"record: {after.id.key!r} is unknown: it may have run, and is not sent again")]
        if result.outcome is Outcome.DONE:
            entry.row, entry.held = after, True
            return self._send(now_us, entry)
        if result.outcome is Outcome.THERE and result.row is not None:
            return self._found(now_us, entry, result.row)
        entry.phase = Phase.ASKING
        return self._ask(now_us, entry)

    def _ask(self, now_us: int, entry: Entry, owner: str = "", at_once: bool = False) -> list[Action]:
        """`owner`: who could say when it is done."""
        if not self._time_left(now_us, entry):
            return self._give_up(entry, OPEN, RETRY_AFTER_US)
        entry.looks += 1
        after_us = 0 if at_once else FOLLOWED_US if owner and owner == entry.followed else ASK_AGAIN_US
        get = Get(entry.row.id, entry.deadline_us, after_us, entry.looks)
        if not owner or owner == entry.followed:
            return [get]
        entry.followed = owner
        return [Follow(entry.row.id, owner), get]

    def _time_left(self, now_us: int, entry: Entry) -> bool:
        return entry.deadline_us - now_us >= self.least_left_us

    # ---- the nodes

    def _lost(self, entry: Entry) -> list[Action]:
        """Somebody else may act on it by now: what becomes of it is theirs to say, and nothing of it is sent,
        written or told here. Its clients come again."""
        return self._give_up(entry, COME_AGAIN, RETRY_AFTER_US)

    def _send(self, now_us: int, entry: Entry) -> list[Action]:
        if not self.acting.may(entry.row.owner):
            return self._lost(entry)
        if not self._time_left(now_us, entry):
            # Held, and nobody waits long enough: it was not sent, and its key becomes free.
            return self._free(now_us, entry, NOT_HELD, RETRY_AFTER_US)
        entry.phase = Phase.SENDING
        resumed = entry.origin is not None and entry.origin.state is State.SENT
        return [Send(entry.row, entry.deadline_us, entry.crossed, resumed)]

    def _free(self, now_us: int, entry: Entry, answer: Answer, retry_after_us: int) -> list[Action]:
        entry.phase, entry.outcome, entry.retry_after_us = Phase.FREEING, answer, retry_after_us
        until_us = max(entry.deadline_us, now_us + self.settle_us)
        if entry.origin is None:
            return [Remove(entry.row, until_us)]
        # It did not run this time. What is known of the times before holds on, and it is still owed.
        after = replace(entry.origin, owner=entry.row.owner, until_s=0.0)
        if entry.origin.state is State.SENT and entry.waiters:
            # "Nothing was done" would be true of this time only.
            after, entry.outcome = replace(after, told=True), COME_AGAIN
            entry.retry_after_us = retry_after_us or RETRY_AFTER_US
        return [self._change(entry, entry.row, after, until_us)]

    def sends(self, row: Row) -> bool:
        """Is it this one that is out, and not one that was let go before it?"""
        entry = self.entries.get(row.id)
        return entry is not None and entry.phase is Phase.SENDING and entry.row.owner == row.owner

    def answered(
        self, now_us: int, id: Id, answer: Answer, may_have_run: bool, attempts: tuple[Attempt, ...],
        retry_after_us: int = 0, undecided: bool = False,
    ) -> list[Action]:  # fmt: skip
        """The nodes' answer, or what the Router said in place of one. `undecided`: the other site's word that
        it is under way there, or that nobody knows."""
        entry = self.entries[id]
        if not self.acting.may(entry.row.owner):
            return self._lost(entry)
        row = replace(entry.row, attempts=(*entry.row.attempts, *attempts))
        if 200 <= answer.status < 300:
            after = replace(row, state=State.CONFIRMED, answer=answer)
        elif not may_have_run:
            return self._free(now_us, entry, answer, retry_after_us)
        elif 400 <= answer.status < 500 and answer.status != 429 and not undecided:
            # The archive's own word on it, which a repeat would get again.
            after = replace(row, state=State.CONFIRMED, answer=answer)
        elif (undecided or answer.status in (429, 503)) and entry.waiters:
            # Its client would take a refusal for "nothing was done", and perhaps send it under another key.
            # It is told to come again under this one, once the row says so: then nobody else sends it.
            after, answer = replace(row, until_s=0.0, told=True), COME_AGAIN
            entry.retry_after_us = retry_after_us or RETRY_AFTER_US
        else:
            # It may have run. The row stays, and is let go: within the window a repeat may be sent at once,
            # and past it the row is unknown.
            del self.entries[id]
            free = Change(entry.row, replace(row, until_s=0.0), now_us + self.settle_us)
            return [*self._all(entry, answer, retry_after_us), free]
        entry.phase, entry.outcome = Phase.SETTLING, answer
        return [self._change(entry, entry.row, after, max(entry.deadline_us, now_us + self.settle_us))]

    def _settled(self, now_us: int, entry: Entry, after: Row, result: Result) -> list[Action]:
        assert entry.outcome is not None
        del self.entries[entry.row.id]
        if result.outcome is Outcome.DONE:
            return self._all(entry, entry.outcome, entry.retry_after_us)
        if result.outcome is Outcome.THERE and result.row is not None and result.row.answer is not None:
            # Another process took it over in the window, and has settled it: that is what all are told.
            return self._all(entry, result.row.answer)
        # It ran, and the store does not say that it holds that: nobody is told that it does.
        failed = plain(504, "the report may have had its effect, and the store of record did not answer")
        return [*self._all(entry, failed), Note(f"record: an outcome was not stored: {result.cause}")]

    def removed(self, now_us: int, id: Id, result: Result) -> list[Action]:
        entry = self.entries.get(id)
        if entry is None or entry.phase is not Phase.FREEING:
            return []
        del self.entries[id]
        assert entry.outcome is not None
        if result.outcome is Outcome.DONE:
            return self._all(entry, entry.outcome, entry.retry_after_us, entry.origin is None)
        # Its row stands as sent, though it never was, or is another's by now: "nothing was done" is no word
        # on it any more.
        told = self._all(entry, COME_AGAIN, entry.retry_after_us or RETRY_AFTER_US)
        if result.outcome is Outcome.THERE:
            return told
        return [*told, Note(f"record: a refused report could not be removed: {result.cause}")]

    # ---- a planned end

    def part(self, now_us: int) -> list[Action]:
        """This process ends: what would not end in time is let go, and is anybody's within the window. Nobody
        is told anything of it: the next try under its key is."""
        found: list[Action] = []
        for entry in list(self.entries.values()):
            if entry.phase is Phase.SENDING and self.acting.may(entry.row.owner):
                found.append(Change(entry.row, replace(entry.row, until_s=0.0), now_us + self.settle_us))
            del self.entries[entry.row.id]
        return found

    # ---- what is owed

    def deliver(self, now_us: int, row: Row, as_: Row, until_us: int) -> list[Action]:
        """A row that `fate` lets be sent: `as_` says how it would stand there, with an owner of its own. Not
        where this process has to do with it already."""
        if row.id in self.entries:
            return []
        entry = self.entries[row.id] = Entry(as_, Phase.TAKING, until_us=until_us)
        return self._take(now_us, entry, row)

    def forget(self, now_us: int, row: Row, owner: str) -> list[Action]:
        """A row that `fate` calls unknown."""
        if row.id in self.entries:
            return []
        after = replace(row, state=State.UNKNOWN, owner=owner)
        entry = self.entries[row.id] = Entry(after, Phase.TAKING)
        return [self._change(entry, row, after, now_us + self.settle_us)]

    # ---- answers

    def _all(
        self, entry: Entry, answer: Answer, retry_after_us: int = 0, never_ran: bool = False
    ) -> list[Action]:  # fmt: skip
        waiters, entry.waiters = entry.waiters, {}
        return [Reply(w, answer, retry_after_us, never_ran) for w in waiters]

    def _give_up(
        self, entry: Entry, answer: Answer, retry_after_us: int = 0, never_ran: bool = False
    ) -> list[Action]:  # fmt: skip
        del self.entries[entry.row.id]
        return self._all(entry, answer, retry_after_us, never_ran)


# ---- recovery


@dataclass(slots=True)
class Pace:
    """How fast what is owed is delivered: so many at once, and after a refusal a pause that doubles, for the
    Router refuses when it has no room, and what is owed can wait."""

    most: int = 4
    least_us: int = 100_000
    most_us: int = 10_000_000
    out: int = 0
    pause_us: int = 0
    not_before_us: int = 0

    def may(self, now_us: int) -> bool:
        return self.out < self.most and now_us >= self.not_before_us

    def begin(self) -> None:
        self.out += 1

    def end(self, now_us: int, delivered: bool) -> None:
        self.out -= 1
        self.pause_us = 0 if delivered else min(self.most_us, max(self.least_us, self.pause_us * 2))
        self.not_before_us = now_us + self.pause_us


class Fate(enum.Enum):
    """What a start does with a row that it finds open."""

    DELIVER = "deliver"  # known not to have run: owed
    AGAIN = "again"  # may have run, within the window: sent again under its key
    UNKNOWN = "unknown"  # may have run, past it
    LEAVE = "leave"  # another process may be at work on it, or its client has been told to come again


def at_work(row: Row, since_s: float | None, standing: Standing) -> bool:
    """Is its owner at work on it, or might it be? Another member that is well is, unless it has let the row
    go; of one that nobody can tell of its time tells. A row of this process's own has nobody: what is in hand
    here is not looked for."""
    match standing:
        case Standing.WELL:
            return row.until_s > 0
        case Standing.UNTOLD:
            return since_s is not None and since_s < row.until_s
        case _:
            return False


def fate(
    row: Row, up_s: float, boot: str, round_s: float = 1.0, standing: Standing = Standing.UNTOLD
) -> Fate:  # fmt: skip
    """`up_s`: seconds since the machine's start, now. `round_s`: what a delivery takes at most: one that
    could reach the nodes past the window is not begun."""
    if row.state is State.STORED:
        return Fate.DELIVER
    if row.state is not State.SENT or row.sent is None or row.sent.boot == UNSURE:
        return Fate.LEAVE
    if row.sent.boot != boot:
        return Fate.UNKNOWN
    since = up_s - row.sent.up_s
    if since < 0:
        return Fate.UNKNOWN
    if at_work(row, since, standing) or (row.told and since < row.window_s):
        return Fate.LEAVE
    return Fate.AGAIN if since + round_s < row.window_s else Fate.UNKNOWN


def sent_now(now_us: int, wall_s: float, boot: str) -> Moment:
    return Moment(wall_s, boot, now_us / S)
