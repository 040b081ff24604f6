"""The memory that clients' bodies take, and who may go on reading."""

from __future__ import annotations

from typing import Protocol


class Reader(Protocol):
    """A connection that reads a body of `size` bytes so far."""

    size: int

    def go_on(self) -> None: ...


class Bodies:
    """Guards the memory that clients' bodies take: past a limit their reading pauses, but for one that goes
    on to its end, so that there always is an end."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, 0
        self.first: Reader | None = None
        self.stalled: dict[Reader, None] = {}

    def grow(self, reader: Reader, size: int) -> None:
        self.held += size
        if self.held > self.most and self.first is None:
            self.first = reader

    def waits(self, reader: Reader) -> bool:
        if self.held <= self.most or reader is self.first or not reader.size:
            return False
        self.stalled[reader] = None
        return True

    def release(self, reader: Reader, size: int) -> None:
        self.held -= size
        if not size and reader is not self.first and reader not in self.stalled:
            return
        self.stalled.pop(reader, None)
        if reader is self.first:
            self.first = None
        if self.first is None and self.held > self.most and self.stalled:
            self.first = next(iter(self.stalled))
            del self.stalled[self.first]
            self.first.go_on()
        elif self.held <= self.most and self.stalled:
            stalled, self.stalled = self.stalled, {}
            for r in stalled:
                r.go_on()
