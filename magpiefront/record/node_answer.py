"""What comes back for a report that was sent: a whole answer, or the fact that there is none.

Only an `Answer` has a body. It is made from an answer that came to its end, so nothing that broke off can be
stored, shared among waiting clients or given to a repeat.
"""

from __future__ import annotations

from dataclasses import dataclass

from magpiefront.record.rows import Answer


@dataclass(frozen=True, slots=True)
class BrokenAnswer:
    """An answer that began and did not come to its end. `status` is that of its head."""

    status: int


@dataclass(frozen=True, slots=True)
class OversizedAnswer:
    """An answer that came to its end, but whose body was too long to be held. `size` is in bytes."""

    status: int
    size: int


NodeAnswer = Answer | BrokenAnswer | OversizedAnswer


class AnswerCollector:
    """Collects an answer that arrives in parts. Holds at most `max_bytes` of its body."""

    __slots__ = ("field_lines", "length", "max_bytes", "parts", "size", "status")

    def __init__(self, status: int, field_lines: bytes, length: int | None, max_bytes: int) -> None:
        """`length` is that of the body in bytes, if it is known."""
        self.status, self.field_lines, self.length, self.max_bytes = status, field_lines, length, max_bytes
        self.parts: list[bytes] = []
        self.size = 0

    def add(self, part: bytes) -> None:
        """Adds the next part of the body."""
        self.size += len(part)
        if self.size <= self.max_bytes:
            self.parts.append(part)
        else:
            self.parts = []

    def end(self) -> NodeAnswer:
        """Returns what was received, once the sender says that it is all."""
        if self.length not in (None, self.size):
            return BrokenAnswer(self.status)
        if self.size > self.max_bytes:
            return OversizedAnswer(self.status, self.size)
        return Answer(self.status, self.field_lines, b"".join(self.parts))

    def break_off(self) -> BrokenAnswer:
        """Returns what is known of an answer whose end will not come."""
        return BrokenAnswer(self.status)
