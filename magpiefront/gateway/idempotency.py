"""A table of the answers to keyed requests, so that a repeat has no second effect. No I/O and no clock.

Times are microseconds. An entry is created when a keyed request starts to run. A repeat within the retry
window waits for the answer, or gets it at once. The table is bounded: if it evicts an entry early, it
remembers the latest start of an evicted entry. A repeat that has no entry and was first sent at that time or
before may have run, and is refused.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import Generic, TypeVar

from magpiefront.repeat_limits import FIRST_SENDING, RepeatLimits

T = TypeVar("T")
Key = tuple[str, str, str]  # class, tenant, Idempotency-Key


class Verdict(Enum):
    """What to do with a keyed request."""

    RUN = "run"  # new: run it now
    WAIT = "wait"  # it is running: `finish` returns the requests that wait for the answer
    KNOWN = "known"  # it has run: `answer_for` returns the answer
    MISMATCH = "unlike"  # the key was used for another request
    FORGOTTEN = "forgotten"  # it may have run, but its answer is no longer known
    FULL = "full"  # all entries belong to running requests: refused, it never ran


@dataclass(slots=True)
class Answer:
    """The answer to a keyed request."""

    status: int
    body: bytes
    extra_fields: bytes  # header lines


@dataclass(slots=True)
class Entry(Generic[T]):
    """A keyed request that is running (`answer` is None), has run, or has failed and may have run. `limits`
    binds its sending, or that of a repeat once it has failed."""

    key: Key
    fingerprint: bytes  # hash of method, target and body
    started_us: int
    window_us: int
    waiters: list[T] = field(default_factory=list)
    answer: Answer | None = None
    has_failed: bool = False
    limits: RepeatLimits = FIRST_SENDING

    @property
    def size(self) -> int:
        """Bytes of the answer."""
        return len(self.answer.body) + len(self.answer.extra_fields) if self.answer is not None else 0


class AnswerTable(Generic[T]):
    """The table; `T` is the type of a request that waits for an answer."""

    def __init__(self, max_entries: int, max_bytes: int) -> None:
        self.entries: dict[Key, Entry[T]] = {}
        self.finished: OrderedDict[Key, Entry[T]] = OrderedDict()  # in the order in which they finished
        self.answer_bytes = 0
        self.evicted_start_us: int | None = None  # latest start of an entry evicted within its window
        self.configure(max_entries, max_bytes)

    def configure(self, max_entries: int, max_bytes: int) -> None:
        self.max_entries, self.max_bytes = max_entries, max_bytes

    def begin(
        self, now_us: int, key: Key, fingerprint: bytes, window_us: int, age_us: int, waiter: T
    ) -> Verdict:  # fmt: skip
        """Decides about a keyed request. `age_us`: time since its first attempt; 0 if it is not a repeat."""
        self._expire(now_us)
        entry, limits = self.entries.get(key), FIRST_SENDING
        if entry is not None and entry.has_failed and now_us >= entry.started_us + entry.window_us:
            self._remove_failed(entry)
            entry = None
        if entry is not None:
            if entry.fingerprint != fingerprint:
                return Verdict.MISMATCH
            if entry.answer is not None:
                return Verdict.KNOWN
            if not entry.has_failed:
                entry.waiters.append(waiter)
                return Verdict.WAIT
            limits = entry.limits
            self._remove_failed(entry)
        if age_us > 0 and (age_us >= window_us or self._may_be_evicted(now_us - age_us)):
            return Verdict.FORGOTTEN
        if len(self.entries) >= self.max_entries and not self._evict():
            return Verdict.FULL
        self.entries[key] = Entry(key, fingerprint, now_us, window_us, [waiter], limits=limits)
        return Verdict.RUN

    def answer_for(self, key: Key) -> Answer | None:
        """The answer of a request that has run, or None."""
        entry = self.entries.get(key)
        return entry.answer if entry is not None else None

    def limits_for(self, key: Key) -> RepeatLimits:
        """What binds the sending of a request that is running, since it has failed before."""
        return self.entries[key].limits

    def remove_waiter(self, key: Key, waiter: T) -> None:
        """Removes a waiter. The execution continues, and the next request with its key gets the answer."""
        entry = self.entries.get(key)
        if entry is not None and waiter in entry.waiters:
            entry.waiters.remove(waiter)

    def finish(self, key: Key, answer: Answer) -> list[T]:
        """Stores the answer of a request that was served. Returns the requests that wait for it."""
        entry = self.entries.get(key)
        if entry is None:
            return []
        waiters, entry.waiters = entry.waiters, []
        entry.answer = answer
        self.finished[key] = entry
        self.answer_bytes += entry.size
        while self.answer_bytes > self.max_bytes and self._evict():
            pass
        return waiters

    def abandon(self, key: Key, limits: RepeatLimits = FIRST_SENDING) -> list[T]:
        """Ends a request that was refused or failed, and returns the requests that wait for its answer.

        The next request with the key runs. Within the window it is a repeat that `limits` binds, if this one
        may have run; else it is a new one, as a client's own retry is.
        """
        entry = self.entries.pop(key, None)
        if entry is None:
            return []
        waiters, entry.waiters = entry.waiters, []
        if limits.may_have_run:
            entry.has_failed, entry.limits = True, limits
            self.entries[key] = self.finished[key] = entry
        return waiters

    def _remove_failed(self, entry: Entry[T]) -> None:
        del self.entries[entry.key], self.finished[entry.key]

    def _may_be_evicted(self, first_attempt_us: int) -> bool:
        return self.evicted_start_us is not None and first_attempt_us <= self.evicted_start_us

    def _evict(self) -> bool:
        if not self.finished:
            return False
        key, entry = self.finished.popitem(last=False)
        self._remove(key, entry)
        self.evicted_start_us = max(self.evicted_start_us or 0, entry.started_us)
        return True

    def _remove(self, key: Key, entry: Entry[T]) -> None:
        del self.entries[key]
        self.answer_bytes -= entry.size

    def _expire(self, now_us: int) -> None:
        # Requests finish in about the order in which their windows end, so the search stops at the first
        # entry that has not expired. An entry that stays a little too long does no harm.
        while self.finished:
            key, entry = next(iter(self.finished.items()))
            if now_us < entry.started_us + entry.window_us:
                return
            del self.finished[key]
            self._remove(key, entry)
