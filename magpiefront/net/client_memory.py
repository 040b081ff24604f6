"""The account of the memory that clients' connections hold: it decides who must pause and what is too much.

Free of I/O and clock. Two limits are kept apart, so that clients that read their answers slowly can't keep
others from sending requests: one for requests (partial messages, queued and open requests with their bodies)
and one for answers that clients have not read yet. The limits come from the plan (`memory_plan`).
"""

from __future__ import annotations

from typing import Protocol

from magpiefront.net.memory_plan import KIB, MemoryPlan

RESUMED_AT_ONCE = 16  # connections that read on in one turn of the event loop after a shortage, at the most
# They read on only where there is room for each to get on, and once this part of the limit is free: otherwise
# all would go on by a few bytes at a time, and none would complete its message.
RESUME_ROOM_BYTES, RESUME_FREE_PART = 32 * KIB, 16
UNMEASURED_BYTES = 1 << 62  # the measured room before the process has been measured
# What one read of a connection may return, and what the parser is fed at once within heads: less while room
# is short, since each byte may begin a request that costs many times as much.
MIN_READ_BYTES, SMALL_SLICE_BYTES = 1024, 128
READ_PART = 8  # the room is divided by this for one read
SMALL_SLICE_ROOM_BYTES = 128 * KIB  # room below which slices are small
AMPLE_ROOM_BYTES = 256 * KIB  # room above which neither reads nor slices are less than usual


class Holder(Protocol):
    """A connection in the account."""

    @property
    def holds_memory(self) -> bool:
        """Whether it holds more than each connection may: part of a message, or requests that wait."""

    @property
    def needs_exemption(self) -> bool:
        """Whether it holds nothing but part of a message, which only reading can complete and free."""

    @property
    def unreserved_bytes(self) -> int:
        """What is still to come of a body with a known length for which no room is reserved."""

    def reserve(self) -> None:
        """Called when room for `unreserved_bytes` has been reserved."""

    def resume_reading(self) -> None:
        """Called when the connection may read on."""


class ClientMemory:
    """Counts the bytes that connections hold.

    `used`: for requests, with what is reserved for bodies that are still to come: a body is read only once
    there is room for all of it, so that those that are read can be completed. Above `limit`, connections that
    hold more than their allowance are paused, except for one (`exempt`) that reads to the end of its message,
    so that memory is always freed again; no message is larger than `message_limit`. Beyond the limit and one
    such message, one after the other may be read only as far as there is `measured_room`: how much the
    process can grow before it has to hold back, from its last measure and less by what has been read so
    since. `unsent`: written answers that clients have not taken, with `answer_limit`. `held_back`: the
    process itself is short of memory; then the limit counts as reached.
    """

    def __init__(self, limit: int, answer_limit: int | None = None) -> None:
        self.limit, self.answer_limit = limit, limit if answer_limit is None else answer_limit
        self.message_limit = limit
        self.used = self.unsent = 0
        self.held_back = False
        self.measured_room = UNMEASURED_BYTES
        self.exempt: Holder | None = None
        self.paused: dict[Holder, None] = {}

    def apply(self, plan: MemoryPlan) -> None:
        """Sets the limits to those of a plan."""
        self.limit, self.answer_limit = plan.request_bytes, plan.answer_bytes
        self.message_limit = plan.message_bytes

    @property
    def is_short(self) -> bool:
        """Whether connections that hold more than their allowance must pause."""
        return self.held_back or self.used > self.limit

    @property
    def room(self) -> int:
        """How much more requests may take, in bytes."""
        return 0 if self.held_back else max(0, self.limit - self.used)

    @property
    def is_ample(self) -> bool:
        """Whether there is room for full reads and full slices: the common case."""
        return self.limit - self.used >= AMPLE_ROOM_BYTES and not self.held_back

    def read_bytes(self, holder: Holder, most: int) -> int:
        """How much one read of this connection may return: at most `most` bytes."""
        if holder is self.exempt:
            return most
        return max(MIN_READ_BYTES, min(most, self.room // READ_PART))

    def slice_bytes(self, most: int) -> int:
        """How much the parser may be fed at once within heads: at most `most` bytes."""
        return most if self.room >= SMALL_SLICE_ROOM_BYTES else min(most, SMALL_SLICE_BYTES)

    def grow(self, holder: Holder, size: int) -> None:
        """Counts `size` more bytes for a request."""
        self.used += size
        if holder is self.exempt:
            self.measured_room -= size
        elif self.is_short and holder.holds_memory and self._may_exempt(holder):
            self.exempt = holder

    def _may_exempt(self, holder: Holder) -> bool:
        """Whether this connection may read its message to the end although there is no room for it."""
        if not holder.needs_exemption or self.exempt is not None:
            return False
        wanted = holder.unreserved_bytes
        return self.used + wanted <= self.limit + self.message_limit or wanted < self.measured_room

    def must_pause(self, holder: Holder) -> bool:
        """Whether the connection must stop reading now. If so, its `resume_reading` is called when it may
        read on."""
        wanted = holder.unreserved_bytes
        if wanted and wanted <= self.room:
            self.used += wanted
            holder.reserve()
            return False
        if not wanted and (not self.is_short or not holder.holds_memory):
            return False
        if holder is self.exempt and holder.needs_exemption:
            return False
        if self._may_exempt(holder):
            self.exempt = holder
            return False
        self.paused[holder] = None
        if holder is self.exempt:
            self.exempt = None
            self._choose_exempt()
        return True

    def release(self, holder: Holder, size: int) -> None:
        """Frees `size` bytes of a request, and lets paused connections read on."""
        self.used -= size
        if not self.paused and self.exempt is None:
            return  # the common case
        if not holder.holds_memory:
            if holder is self.exempt:
                self.exempt = None
            if holder in self.paused:
                del self.paused[holder]
                holder.resume_reading()
        self.resume_some()

    def forget(self, holder: Holder) -> None:
        """Called when a connection has closed; its bytes have been released."""
        self.paused.pop(holder, None)
        if holder is self.exempt:
            self.exempt = None
            self.resume_some()

    def resume_some(self) -> None:
        """Lets some paused connections read on, in turn, if there is room; otherwise one, if none is exempt.
        Called with each release, and from time to time."""
        if self.exempt is not None and not self.exempt.needs_exemption:
            self.exempt = None
        if self.exempt is None:
            self._choose_exempt()
        if self.is_short or self.room < self.limit // RESUME_FREE_PART:
            return
        count = max(1, min(RESUMED_AT_ONCE, self.room // RESUME_ROOM_BYTES))
        for holder in list(self.paused)[:count]:
            if holder in self.paused:
                del self.paused[holder]
                holder.resume_reading()

    def _choose_exempt(self) -> None:
        for holder in self.paused:
            if self._may_exempt(holder):
                self.exempt = holder
                del self.paused[holder]
                holder.resume_reading()
                return

    @property
    def answers_exceeded(self) -> bool:
        """Whether the answers that clients have not taken exceed their limit."""
        return self.unsent > self.answer_limit
