"""The answers to keyed requests, kept for their window, so that none has a second effect. No I/O, no clock.

Times are microseconds. An entry is made when a keyed request is taken to run; one that comes again within the
window waits for its answer, or is given it. The table is bounded: when entries have to go early it remembers
since when it can no longer tell, and then refuses what may have run before that.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import Generic, TypeVar

T = TypeVar("T")
Key = tuple[str, str, str]  # class, tenant, Idempotency-Key


class Verdict(Enum):
    RUN = "run"  # new: it is to run now
    WAIT = "wait"  # it runs: the answer comes with `finish`
    KNOWN = "known"  # it ran: `Entry.answer` is what it was given
    UNLIKE = "unlike"  # the key was used for another request
    FORGOTTEN = "forgotten"  # it may have run; what became of it is no longer known
    FULL = "full"  # too many run: refused, and never ran


@dataclass(slots=True)
class Answer:
    status: int
    body: bytes
    more: bytes  # further field lines


@dataclass(slots=True)
class Entry(Generic[T]):
    key: Key
    print: bytes  # of method, target and body
    began_us: int
    window_us: int
    waiters: list[T] = field(default_factory=list)
    answer: Answer | None = None

    @property
    def size(self) -> int:
        return len(self.answer.body) + len(self.answer.more) if self.answer is not None else 0


class Once(Generic[T]):
    """`T` is who waits for an answer."""

    def __init__(self, most: int, most_bytes: int) -> None:
        self.entries: dict[Key, Entry[T]] = {}
        self.finished: OrderedDict[Key, Entry[T]] = OrderedDict()  # by when they were finished
        self.bytes = 0
        self.forgotten_us: int | None = None  # an entry of this start, or later ones, went before its time
        self.configure(most, most_bytes)

    def configure(self, most: int, most_bytes: int) -> None:
        self.most, self.most_bytes = most, most_bytes

    def begin(self, now_us: int, key: Key, print_: bytes, window_us: int, age_us: int, waiter: T) -> Verdict:
        """A keyed request has come, first sent `age_us` ago by whoever repeats it (0: not a repeat)."""
        self._expire(now_us)
        entry = self.entries.get(key)
        if entry is not None:
            if entry.print != print_:
                return Verdict.UNLIKE
            if entry.answer is not None:
                return Verdict.KNOWN
            entry.waiters.append(waiter)
            return Verdict.WAIT
        if age_us > 0 and (age_us >= window_us or self._forgot(now_us - age_us)):
            return Verdict.FORGOTTEN
        if len(self.entries) >= self.most and not self._evict():
            return Verdict.FULL
        self.entries[key] = Entry(key, print_, now_us, window_us, [waiter])
        return Verdict.RUN

    def known(self, key: Key) -> Answer | None:
        entry = self.entries.get(key)
        return entry.answer if entry is not None else None

    def leave(self, key: Key, waiter: T) -> None:
        """It is no longer waited for; what runs goes on, for the next one that asks."""
        entry = self.entries.get(key)
        if entry is not None and waiter in entry.waiters:
            entry.waiters.remove(waiter)

    def finish(self, key: Key, answer: Answer) -> list[T]:
        """It was served; all who wait are owed this answer."""
        entry = self.entries.get(key)
        if entry is None:
            return []
        waiters, entry.waiters = entry.waiters, []
        entry.answer = answer
        self.finished[key] = entry
        self.bytes += entry.size
        while self.bytes > self.most_bytes and self._evict():
            pass
        return waiters

    def abandon(self, key: Key) -> list[T]:
        """It was refused, or failed: the next one is an ordinary arrival, as a client's own retry is."""
        entry = self.entries.pop(key, None)
        return entry.waiters if entry is not None else []

    def _forgot(self, first_us: int) -> bool:
        return self.forgotten_us is not None and first_us <= self.forgotten_us

    def _evict(self) -> bool:
        if not self.finished:
            return False
        key, entry = self.finished.popitem(last=False)
        self._drop(key, entry)
        self.forgotten_us = max(self.forgotten_us or 0, entry.began_us)
        return True

    def _drop(self, key: Key, entry: Entry[T]) -> None:
        del self.entries[key]
        self.bytes -= entry.size

    def _expire(self, now_us: int) -> None:
        # They finish in about the order in which they end; one that stays a little longer does no harm.
        while self.finished:
            key, entry = next(iter(self.finished.items()))
            if now_us < entry.began_us + entry.window_us:
                return
            del self.finished[key]
            self._drop(key, entry)
