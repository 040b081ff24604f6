"""Memory for the bodies of requests from other sites: no more of a body is let in than there is room for.

Each request is a holder in the process's account of memory (`net/client_memory.py`), like a client's
connection. Room for the whole body is reserved before the sender gets window for it; until then the request
waits its turn among clients and other requests.
"""

from __future__ import annotations

from collections.abc import Callable

from magpiefront.gateway.http2 import GRANTED_AT_FIRST_BYTES
from magpiefront.net.client_memory import ClientMemory

# What each open request counts for: what its sender may send at once, and its objects.
STREAM_COST_BYTES = GRANTED_AT_FIRST_BYTES + 2 * 1024
MAX_MEMORY_WAIT_S = 1.0  # a request that waits longer for memory is refused: it has not run


def _nothing(size: int) -> None:
    """Grants nothing to the sender of a request that has ended."""


class BodyReservation:
    """The memory of one request from another site. `grant` lets its sender send that many bytes more, and
    `clock` reads seconds.

    `held` is what it counts for in the account, in bytes; `waiting_since` is since when it waits for memory.
    """

    __slots__ = ("clock", "grant", "held", "is_complete", "memory", "unreserved_bytes", "waiting_since")

    def __init__(
        self, memory: ClientMemory, grant: Callable[[int], None], clock: Callable[[], float]
    ) -> None:
        self.memory, self.grant, self.clock = memory, grant, clock
        self.held, self.unreserved_bytes = STREAM_COST_BYTES, 0
        self.is_complete = False
        self.waiting_since: float | None = None
        memory.grow(self, STREAM_COST_BYTES)

    def expect(self, length: int) -> None:
        """The body has `length` bytes: reserves room for it, now or as soon as there is some."""
        self.unreserved_bytes = max(0, length - GRANTED_AT_FIRST_BYTES)
        self.resume_reading()

    def complete(self) -> None:
        """The whole body is here."""
        self.is_complete = True
        self.waiting_since = None

    def release(self) -> None:
        """The request is answered or given up. Further calls do nothing."""
        freed, self.held, self.unreserved_bytes = self.held, 0, 0
        self.grant = _nothing  # breaks the reference cycle with the request's owner
        self.complete()
        if freed:
            self.memory.release(self, freed)
            self.memory.forget(self)

    def has_waited(self, limit_s: float) -> bool:
        """Whether it has waited for memory for longer than this."""
        return self.waiting_since is not None and self.clock() - self.waiting_since > limit_s

    # ---- Holder

    @property
    def holds_memory(self) -> bool:
        return self.held > STREAM_COST_BYTES

    @property
    def needs_exemption(self) -> bool:
        return not self.is_complete and (self.unreserved_bytes > 0 or self.holds_memory)

    def reserve(self) -> None:
        """Room for the rest of the body is reserved: the sender may send it."""
        size, self.unreserved_bytes = self.unreserved_bytes, 0
        self.held += size
        self.waiting_since = None
        self.grant(size)

    def resume_reading(self) -> None:
        if not self.unreserved_bytes:
            return
        if self.memory.must_pause(self):
            if self.waiting_since is None:
                self.waiting_since = self.clock()
        elif self.unreserved_bytes:
            # The one message that may be read without room, so that memory is always freed again.
            self.memory.grow(self, self.unreserved_bytes)
            self.reserve()
