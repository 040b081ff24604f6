"""The log in memory: the entries that compaction has kept, and the configurations among them. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from magpiefront.group.messages import Conf, Entry, EntryKind, Snapshot


class Log:
    """The entries after `base_index`. The effect of those up to it is held only by the snapshot.

    Entries up to `durable_index` are on the disk. `conf_history` holds the configurations of the log, oldest
    first, each with the index of its entry. `size_bytes` is the size of the data of all entries.
    """

    def __init__(self, snapshot: Snapshot, entries: Iterable[Entry] = ()) -> None:
        self._load(snapshot, entries)

    def _load(self, snapshot: Snapshot, entries: Iterable[Entry]) -> None:
        self.snapshot = snapshot
        self.base_index, self.base_term = snapshot.index, snapshot.term
        self.entries: list[Entry] = []
        self.conf_history: list[tuple[int, Conf]] = [(snapshot.index, snapshot.conf)]
        self.size_bytes = 0
        for entry in entries:
            if entry.index > self.base_index:
                self.add(entry)
        self.durable_index = self.last_index

    @property
    def last_index(self) -> int:
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def conf(self) -> Conf:
        """The newest configuration, which applies as soon as it is in the log (thesis, 4.1)."""
        return self.conf_history[-1][1]

    @property
    def conf_index(self) -> int:
        return self.conf_history[-1][0]

    def conf_at(self, index: int) -> Conf:
        """The configuration in effect at that index."""
        return next((c for at, c in reversed(self.conf_history) if at <= index), self.conf_history[0][1])

    def term(self, index: int) -> int | None:
        """The term of an entry; None if the log does not hold it."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entries_between(self, after: int, upto: int, max_bytes: int = 1 << 62) -> list[Entry]:
        """The entries after index `after` up to `upto`: at most about `max_bytes` of them, but at least one
        if there is any."""
        found: list[Entry] = []
        size = 0
        for e in self.entries[after - self.base_index : upto - self.base_index]:
            size += len(e.data) + 32  # approximate size of the other fields
            if found and size > max_bytes:
                break
            found.append(e)
        return found

    def is_up_to_date(self, last_term: int, last: int) -> bool:
        """True if a log whose last entry has that term and index is at least as up-to-date as this one
        (thesis, 3.6.1)."""
        return (last_term, last) >= (self.last_term, self.last_index)

    def add(self, e: Entry) -> None:
        assert e.index == self.last_index + 1, (e.index, self.last_index)
        self.entries.append(e)
        self.size_bytes += len(e.data)
        if e.kind is EntryKind.CONF:
            self.conf_history.append((e.index, decode_conf(e.data)))

    def merge(self, entries: Iterable[Entry]) -> int | None:
        """Adds a leader's entries. Removes a conflicting entry and all that follow it, and returns the lowest
        index removed, or None (thesis, 3.5)."""
        truncated_at: int | None = None
        for e in entries:
            if e.index <= self.base_index:
                continue
            local_term = self.term(e.index)
            if local_term == e.term:
                continue
            if local_term is not None:
                truncated_at = e.index if truncated_at is None else min(truncated_at, e.index)
                self.truncate(e.index)
            self.add(e)
        return truncated_at

    def truncate(self, index: int) -> None:
        """Removes the entries from that index on."""
        removed = self.entries[index - self.base_index - 1 :]
        self.size_bytes -= sum(len(e.data) for e in removed)
        del self.entries[index - self.base_index - 1 :]
        while self.conf_history[-1][0] >= index:
            self.conf_history.pop()
        self.durable_index = min(self.durable_index, index - 1)

    def conflict_hint(self, index: int) -> tuple[int, int]:
        """The index and term of the entry from which a leader should continue if its entry at `index` does
        not match this log: the end of this log if that is before `index`, otherwise the last entry before
        those of the term at `index - 1` (thesis, end of 3.5)."""
        if index > self.last_index:
            return self.last_index, self.last_term
        index -= 1
        term = self.term(index)
        if term is None:
            return self.base_index, self.base_term
        while index > self.base_index and self.term(index) == term:
            index -= 1
        hint_term = self.term(index)
        return index, hint_term if hint_term is not None else 0

    def compact(self, snapshot: Snapshot, keep: int) -> None:
        """Discards the entries that the snapshot covers, except the last `keep` of them, which members that
        lag slightly may still need."""
        self.snapshot = snapshot
        new_base = min(snapshot.index - keep, self.last_index)
        if new_base > self.base_index:
            self.base_term = self.term(new_base) or 0
            removed = self.entries[: new_base - self.base_index]
            self.size_bytes -= sum(len(e.data) for e in removed)
            conf = self.conf_at(new_base)
            del self.entries[: new_base - self.base_index]
            self.base_index = new_base
            self.conf_history = [(new_base, conf), *((at, c) for at, c in self.conf_history if at > new_base)]

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces the snapshot and discards all entries."""
        self._load(snapshot, ())


def encode_deterministic(value: object) -> bytes:
    """Encodes sets and maps in sorted order, so that each member produces the same bytes."""
    return msgspec.msgpack.encode(value, order="deterministic")


def decode_conf(data: bytes) -> Conf:
    return msgspec.msgpack.decode(data, type=Conf)


def encode_conf(conf: Conf) -> bytes:
    return encode_deterministic(conf)
