"""Limits of what one HTTP message may have besides its body, counted message by message; no I/O."""

from __future__ import annotations

MAX_HEAD_BYTES = 32 * 1024  # target, names and values of one message: its head and its trailer together
MAX_FIELDS = 100  # field lines of one message: each costs more memory than its bytes
# The parser is fed in slices, since it does not tell where in its input a message ended. A slice is small in
# a head, so that few further messages can be behind the end of one.
SLICE_BYTES = 1024
BODY_SLICE_BYTES = 64 * 1024
# Limit of the bytes after which the parser has returned nothing: it then reads a single field, a chunk's
# extension or blank lines. It is above MAX_HEAD_BYTES by what slices may add, so that a field that
# MAX_HEAD_BYTES allows never exceeds it, however its bytes are cut into pieces.
MAX_UNFINISHED_BYTES = MAX_HEAD_BYTES + 2 * BODY_SLICE_BYTES
MAX_UNFINISHED_HEAD_BYTES = MAX_HEAD_BYTES + 2 * SLICE_BYTES
MESSAGE_COST_BYTES = 1536  # memory of a message without fields: its objects and those of its request
FIELD_COST_BYTES = (
    150  # memory of a field that is kept besides its bytes: two objects and an entry of a table
)


class MessageSize:
    """Counts the message that a parser is reading.

    `head_bytes` and `fields`: what its head and trailer have so far; `kept_bytes` and `kept_fields`: the
    part that is kept. `unfinished_bytes`: how much has been fed since the parser last returned a part of a
    message.
    """

    __slots__ = ("fields", "head_bytes", "kept_bytes", "kept_fields", "unfinished_bytes")

    def __init__(self) -> None:
        self.head_bytes = self.fields = self.kept_bytes = self.kept_fields = self.unfinished_bytes = 0

    def begin(self) -> None:
        """A message begins."""
        self.head_bytes = self.fields = self.kept_bytes = self.kept_fields = 0

    def add_target(self, size: int) -> bool:
        """Counts a part of a request's target. Returns whether the message is still within the limits."""
        self.unfinished_bytes = 0
        self.head_bytes += size
        self.kept_bytes += size
        return self.head_bytes <= MAX_HEAD_BYTES

    def add_field(self, name: bytes, value: bytes) -> bool:
        """Counts a field line. Returns whether the message is still within the limits."""
        self.unfinished_bytes = 0
        self.fields += 1
        self.head_bytes += len(name) + len(value)
        return self.head_bytes <= MAX_HEAD_BYTES and self.fields <= MAX_FIELDS

    def keep_field(self, name: bytes, value: bytes) -> None:
        """Counts a field line that is kept."""
        self.kept_fields += 1
        self.kept_bytes += len(name) + len(value)

    def unfinished_too_long(self, in_head: bool) -> bool:
        """Whether the parser has read too much without returning anything."""
        return self.unfinished_bytes > (MAX_UNFINISHED_HEAD_BYTES if in_head else MAX_UNFINISHED_BYTES)

    def cost(self) -> int:
        """The memory in bytes that the message takes without its body."""
        return MESSAGE_COST_BYTES + self.kept_bytes + FIELD_COST_BYTES * self.kept_fields
