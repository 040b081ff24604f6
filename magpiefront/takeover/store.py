"""The store of record in the group itself: `record.rows.Store` on a state machine of its log.

A report is confirmed once a majority of the members holds its outcome durably. Reads are as new as the moment
of the call (read-index). Each quarter of a second a read tells how old a row can be at the most (`Book`).
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import msgspec

from magpiefront.group.asks import Fate
from magpiefront.group.asks import Outcome as Agreed
from magpiefront.group.seam import Group
from magpiefront.net.house import House
from magpiefront.record.rows import Id, Outcome, Result, Row, State, Then
from magpiefront.record.settings import GroupStoreSettings
from magpiefront.takeover import book
from magpiefront.takeover.book import Book, Told

MACHINE = "record"
READ_S, READ_US = 0.25, 1_000_000  # between reads that bound ages; how long one may take
SMOOTH = 0.2


class GroupStore:
    def __init__(
        self, house: House, group: Group, settings: GroupStoreSettings, boot: str,
        up_us: Callable[[], int] = lambda: time.monotonic_ns() // 1_000, name: str = "",
    ) -> None:  # fmt: skip
        """`name`: the group's."""
        self.name = name
        self.house, self.group, self.settings, self.boot, self.up_us = house, group, settings, boot, up_us
        self.book = Book(up_us())
        self.commit_us = 5_000.0
        self.timer: asyncio.TimerHandle | None = None
        group.register(MACHINE, self.book)

    def start(self) -> None:
        self._bound()

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()

    def _bound(self) -> None:
        """What is applied after a read was committed after that read began."""
        began_us = self.book.now_us = self.up_us()

        def then(o: Agreed) -> None:
            if o.fate is Fate.COMMITTED:
                self.book.base_us = max(began_us, self.book.base_us or 0)

        self.group.read(self.house.now_us() + READ_US, then)
        again_s = READ_S if self.book.base_us is not None else READ_S / 5
        self.timer = self.house.loop.call_later(again_s, self._bound)

    @property
    def identity(self) -> str:
        return f"group {self.name}"

    @property
    def wait_us(self) -> int:
        return int(2 * self.commit_us)

    # ---- the store

    def insert(self, row: Row, deadline_us: int, then: Then) -> None:
        s = self.settings
        sent_us = int(row.sent.up_s * 1e6) if row.sent is not None else self.up_us()
        age_us = max(0, self.up_us() - sent_us)
        self._propose(book.Insert(row, s.most_rows, s.most_bytes, age_us), row.id, deadline_us, then)

    def change(self, before: Row, after: Row, deadline_us: int, then: Then) -> None:
        self._propose(book.change_of(before, after), before.id, deadline_us, then)

    def remove(self, before: Row, deadline_us: int, then: Then) -> None:
        self._propose(book.Remove(before.id, before.state, before.owner), before.id, deadline_us, then)

    def _propose(self, command: book.Command, id: Id, deadline_us: int, then: Then) -> None:
        began, up_us = self.house.now_us(), self.up_us()
        if isinstance(command, book.Insert):
            up_us -= command.age_us
        first = isinstance(command, book.Insert) or (
            isinstance(command, book.Change) and command.state is State.SENT is not command.state_was
        )
        if began >= deadline_us:
            self.house.loop.call_soon(then, Result(Outcome.NEVER, cause="its time was up"))
            return

        def agreed(o: Agreed) -> None:
            if o.fate is not Fate.COMMITTED:
                outcome = Outcome.NEVER if o.fate is Fate.REFUSED else Outcome.ASK
                then(Result(outcome, cause=f"group: {o.cause}"))
                return
            self.commit_us += SMOOTH * (self.house.now_us() - began - self.commit_us)
            told: Told = msgspec.msgpack.decode(o.value, type=Told)
            if told.done:
                if first:
                    self.book.sent_after(id, up_us)
                then(Result(Outcome.DONE))
            elif told.cause:
                then(Result(Outcome.NEVER, cause=f"group: {told.cause}"))
            else:
                then(Result(Outcome.THERE, self.book.row(id, self.up_us(), self.boot)))

        self.group.propose(MACHINE, book.encode(command), deadline_us, agreed)

    def get(self, id: Id, deadline_us: int, then: Then) -> None:
        def agreed(o: Agreed) -> None:
            if o.fate is Fate.COMMITTED:
                then(Result(Outcome.DONE, self.book.row(id, self.up_us(), self.boot)))
            else:
                then(Result(Outcome.NEVER, cause=f"group: {o.cause}"))

        self.group.read(deadline_us, agreed)

    def open_rows(self, most: int, then: Callable[[list[Row]], None], of: str = "") -> None:
        found = self.book.open(of, most, self.up_us(), self.boot)
        self.house.loop.call_soon(then, found)

    def sweep(self, before_s: float, most: int, then: Callable[[int], None]) -> None:
        if not any(r.received_s < before_s for r in self.book.rows.values()):
            self.house.loop.call_soon(then, 0)
            return

        def agreed(o: Agreed) -> None:
            if o.fate is not Fate.COMMITTED:
                then(0)
                return
            told: Told = msgspec.msgpack.decode(o.value, type=Told)
            then(told.count)

        until_us = self.house.now_us() + READ_US
        self.group.propose(MACHINE, book.encode(book.Sweep(before_s, most)), until_us, agreed)
