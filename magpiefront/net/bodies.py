"""Bounds the memory that request bodies take, by pausing the reading of connections."""

from __future__ import annotations

from typing import Protocol


class BodyReader(Protocol):
    """A connection that reads a request body; `size` is what it has read so far, in bytes."""

    size: int

    def resume_reading(self) -> None:
        """Called when the connection may read on."""


class BodyMemory:
    """Counts the memory that request bodies take, in bytes. Above `limit`, connections that read a body are
    paused, except for one (`exempt`) that reads to the end of its body, so that memory is always freed
    again."""

    def __init__(self, limit: int) -> None:
        self.limit, self.used = limit, 0
        self.exempt: BodyReader | None = None
        self.paused: dict[BodyReader, None] = {}

    def grow(self, reader: BodyReader, size: int) -> None:
        """Counts `size` more bytes of a body."""
        self.used += size
        if self.used > self.limit and self.exempt is None:
            self.exempt = reader

    def must_pause(self, reader: BodyReader) -> bool:
        """Whether the connection must stop reading now. If so, its `resume_reading` is called when it may
        read on."""
        if self.used <= self.limit or reader is self.exempt or not reader.size:
            return False
        self.paused[reader] = None
        return True

    def release(self, reader: BodyReader, size: int) -> None:
        """Frees `size` bytes of a body that is no longer needed, and lets paused connections read on."""
        self.used -= size
        if not size and reader is not self.exempt and reader not in self.paused:
            return
        self.paused.pop(reader, None)
        if reader is self.exempt:
            self.exempt = None
        if self.exempt is None and self.used > self.limit and self.paused:
            self.exempt = next(iter(self.paused))
            del self.paused[self.exempt]
            self.exempt.resume_reading()
        elif self.used <= self.limit and self.paused:
            paused, self.paused = self.paused, {}
            for waiting in paused:
                waiting.resume_reading()
