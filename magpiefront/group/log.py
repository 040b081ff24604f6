"""The log in memory: what a snapshot leaves of it, its terms, and what of it is durable. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from magpiefront.group.messages import Conf, Entry, Kind, Snapshot


class Log:
    """Entries behind `first`, the last one that only the snapshot holds. `stable`: durable up to there."""

    def __init__(self, snapshot: Snapshot, entries: Iterable[Entry] = ()) -> None:
        self._fill(snapshot, entries)

    def _fill(self, snapshot: Snapshot, entries: Iterable[Entry]) -> None:
        self.snapshot = snapshot
        self.first, self.first_term = snapshot.index, snapshot.term
        self.entries: list[Entry] = []
        self.confs: list[tuple[int, Conf]] = [(snapshot.index, snapshot.conf)]
        self.bytes = 0
        for e in entries:
            if e.index > self.first:
                self.add(e)
        self.stable = self.last

    @property
    def last(self) -> int:
        return self.first + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.first_term

    @property
    def conf(self) -> Conf:
        """The newest one counts as soon as it stands in the log (thesis, 4.1)."""
        return self.confs[-1][1]

    @property
    def conf_index(self) -> int:
        return self.confs[-1][0]

    def conf_at(self, index: int) -> Conf:
        return next((c for at, c in reversed(self.confs) if at <= index), self.confs[0][1])

    def term(self, index: int) -> int | None:
        """None: not to be had here."""
        if index == self.first:
            return self.first_term
        if self.first < index <= self.last:
            return self.entries[index - self.first - 1].term
        return None

    def between(self, after: int, upto: int, most_bytes: int = 1 << 62) -> list[Entry]:
        """One at least, where there is one."""
        found: list[Entry] = []
        size = 0
        for e in self.entries[after - self.first : upto - self.first]:
            size += len(e.data) + 32
            if found and size > most_bytes:
                break
            found.append(e)
        return found

    def newer(self, last_term: int, last: int) -> bool:
        """Is that log at least as new as this one (thesis, 3.6.1)?"""
        return (last_term, last) >= (self.last_term, self.last)

    def add(self, e: Entry) -> None:
        assert e.index == self.last + 1, (e.index, self.last)
        self.entries.append(e)
        self.bytes += len(e.data)
        if e.kind is Kind.CONF:
            self.confs.append((e.index, read_conf(e.data)))

    def merge(self, entries: Iterable[Entry]) -> int | None:
        """Takes over a leader's entries; what contradicts them goes, with all behind it. Returns from where
        something went, if so (thesis, 3.5)."""
        cut: int | None = None
        for e in entries:
            if e.index <= self.first:
                continue
            have = self.term(e.index)
            if have == e.term:
                continue
            if have is not None:
                cut = e.index if cut is None else min(cut, e.index)
                self.cut(e.index)
            self.add(e)
        return cut

    def cut(self, index: int) -> None:
        gone = self.entries[index - self.first - 1 :]
        self.bytes -= sum(len(e.data) for e in gone)
        del self.entries[index - self.first - 1 :]
        while self.confs[-1][0] >= index:
            self.confs.pop()
        self.stable = min(self.stable, index - 1)

    def hint(self, index: int) -> tuple[int, int]:
        """Where a leader should go on that found nothing of its own at `index`: at the end, or before the
        whole of the term that stands before it (thesis, 3.5, at the end)."""
        if index > self.last:
            return self.last, self.last_term
        index -= 1
        term = self.term(index)
        if term is None:
            return self.first, self.first_term
        while index > self.first and self.term(index) == term:
            index -= 1
        found = self.term(index)
        return index, found if found is not None else 0

    def compact(self, snapshot: Snapshot, keep: int) -> None:
        """What the snapshot holds is kept in part, for those that lag a little."""
        self.snapshot = snapshot
        to = min(snapshot.index - keep, self.last)
        if to > self.first:
            self.first_term = self.term(to) or 0
            gone = self.entries[: to - self.first]
            self.bytes -= sum(len(e.data) for e in gone)
            conf = self.conf_at(to)
            del self.entries[: to - self.first]
            self.first = to
            self.confs = [(to, conf), *((at, c) for at, c in self.confs if at > to)]

    def restore(self, snapshot: Snapshot) -> None:
        """In place of all that is here."""
        self._fill(snapshot, ())


def encode(what: object) -> bytes:
    """The same bytes at each member: sets and maps in order."""
    return msgspec.msgpack.encode(what, order="deterministic")


def read_conf(data: bytes) -> Conf:
    return msgspec.msgpack.decode(data, type=Conf)


def conf_bytes(conf: Conf) -> bytes:
    return encode(conf)
