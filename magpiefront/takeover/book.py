"""Reports held by the group itself, as one of its state machines: each member's log holds every change.

The same commands in the same order give the same rows at each member; the limits stand in the commands, for
members may be set differently while an operator changes them. What differs from member to member is how old a
row's sending is known to be (`ages`), and that is no part of the state: `base` is a moment of this machine's
clock before which nothing that is applied from now on was committed, and so nothing was sent.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

import msgspec

from magpiefront.record.rows import UNSURE, Answer, Attempt, Id, Moment, Row, State

OVERHEAD = 400  # bytes of a row beside what its client sent and was told


class Insert(msgspec.Struct, tag=True, array_like=True):
    row: Row
    most_rows: int
    most_bytes: int
    age_us: int = 0  # how long ago it may have gone first, from another site


class Change(msgspec.Struct, tag=True, array_like=True):
    """All that may change of a row; `sent` says whether it has been, and not when."""

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
    id: Id
    state_was: State
    owner_was: str


class Sweep(msgspec.Struct, tag=True, array_like=True):
    before_s: float
    most: int


Command = Insert | Change | Remove | Sweep


class Told(msgspec.Struct, array_like=True):
    """Of a command: whether it was done, and why not where it is not for what stands there."""

    done: bool
    cause: str = ""
    count: int = 0


def encode(command: Command) -> bytes:
    return msgspec.msgpack.encode(command)


def change_of(before: Row, after: Row) -> Change:
    return Change(before.id, before.state, before.owner, after.state, after.sent, after.owner, after.until_s,
                  after.answer, after.attempts, after.note, after.told)  # fmt: skip


def size_of(r: Row) -> int:
    answer = len(r.answer.more) + len(r.answer.body) if r.answer is not None else 0
    return OVERHEAD + len(r.body) + len(r.more) + len(r.target) + len(r.id.key) + answer


class Book:
    def __init__(self, now_us: int) -> None:
        self.rows: dict[Id, Row] = {}
        self.bytes = 0
        self.base_us: int | None = None  # None: nothing is known of when what is applied was committed
        self.ages: dict[Id, int] = {}  # a moment before which the row was not sent, on this machine's clock
        self.restored_us: dict[Id, int] = {}  # of those whose age is not known: when they were found here
        self.now_us = now_us  # as last told, for `restored_us`

    # ---- the machine

    def begin(self) -> None:
        """Nothing is known any more of when what is applied next was committed: it may be long ago."""
        self.rows, self.bytes, self.base_us = {}, 0, None
        self.ages, self.restored_us = {}, {}

    def apply(self, index: int, origin: str, data: bytes) -> bytes:
        try:
            command: Command = msgspec.msgpack.decode(data, type=Command)
        except msgspec.MsgspecError:  # of another version: nothing at each member
            return msgspec.msgpack.encode(Told(False, cause="not of this version"))
        return msgspec.msgpack.encode(self._do(command))

    def _do(self, c: Command) -> Told:
        match c:
            case Insert():
                if c.row.id in self.rows:
                    return Told(False)
                if len(self.rows) >= c.most_rows or self.bytes + size_of(c.row) > c.most_bytes:
                    return Told(False, cause=f"the group holds {len(self.rows)} reports: it is full")
                self._put(c.row)
                if c.row.sent is not None:
                    self._sent(c.row.id, c.age_us)
                return Told(True)
            case Change():
                there = self.rows.get(c.id)
                if there is None or (there.state, there.owner) != (c.state_was, c.owner_was):
                    return Told(False)
                after = replace(there, state=c.state, sent=c.sent, owner=c.owner, until_s=c.until_s,
                                answer=c.answer, attempts=c.attempts, note=c.note, told=c.told)  # fmt: skip
                self._put(after)
                if c.state is State.SENT and there.state is not State.SENT:
                    self._sent(c.id)
                return Told(True)
            case Remove():
                there = self.rows.get(c.id)
                if there is None or (there.state, there.owner) != (c.state_was, c.owner_was):
                    return Told(False)
                self._take(there)
                return Told(True)
            case Sweep():
                old = sorted((r for r in self.rows.values()
                              if r.state is State.CONFIRMED and r.received_s < c.before_s),
                             key=lambda r: (r.received_s, r.id))[: c.most]  # fmt: skip
                for r in old:
                    self._take(r)
                return Told(True, count=len(old))

    def _put(self, row: Row) -> None:
        before = self.rows.get(row.id)
        self.bytes += size_of(row) - (size_of(before) if before is not None else 0)
        self.rows[row.id] = row

    def _take(self, row: Row) -> None:
        del self.rows[row.id]
        self.bytes -= size_of(row)
        self.ages.pop(row.id, None)
        self.restored_us.pop(row.id, None)

    def _sent(self, id: Id, age_us: int = 0) -> None:
        self.restored_us.pop(id, None)
        if self.base_us is not None:
            self.ages[id] = self.base_us - age_us
        else:
            self.restored_us[id] = self.now_us - age_us

    def sent_after(self, id: Id, now_us: int) -> None:
        """This process has asked for that row at that moment, and sends only once it is held."""
        if id in self.restored_us:
            del self.restored_us[id]
            self.ages[id] = now_us

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(list(self.rows.values()))

    def restore(self, data: bytes) -> None:
        found: list[Row] = msgspec.msgpack.decode(data, type=list[Row])
        self.rows = {r.id: r for r in found}
        self.bytes = sum(map(size_of, found))
        # What is known of a row that stayed is from its first sending, or from an older one's under its key.
        self.ages = {i: at for i, at in self.ages.items() if i in self.rows}
        unsure = [r.id for r in found if r.state is State.SENT and r.id not in self.ages]
        self.restored_us = {i: self.restored_us.get(i, self.now_us) for i in unsure}

    # ---- as this machine sees it

    def row(self, id: Id, now_us: int, boot: str) -> Row | None:
        found = self.rows.get(id)
        return self._aged(found, now_us, boot) if found is not None else None

    def _aged(self, r: Row, now_us: int, boot: str) -> Row:
        if r.sent is None:
            return r
        at_us = self.ages.get(r.id)
        if at_us is None:
            # Nobody here knows how long ago it was sent. Others may; once its window is over, all do.
            since = self.restored_us.get(r.id, now_us)
            over = r.state is not State.SENT or now_us >= since + int(r.window_s * 1e6)
            at_us = since if over else None
        if at_us is None:
            return replace(r, sent=Moment(r.sent.wall_s, UNSURE, 0.0))
        return replace(r, sent=Moment(r.sent.wall_s, boot, at_us / 1e6))

    def open(self, of: str, most: int, now_us: int, boot: str) -> list[Row]:
        found = [r for r in self.rows.values()
                 if r.state in (State.STORED, State.SENT) and r.owner.startswith(of)]  # fmt: skip
        found.sort(key=lambda r: r.received_s)
        return [self._aged(r, now_us, boot) for r in found[:most]]

    def by_age(self, state: State | None = None) -> Iterator[Row]:
        yield from sorted((r for r in self.rows.values() if state in (None, r.state)),
                          key=lambda r: (r.received_s, r.id))  # fmt: skip
