"""The account of the memory that clients' connections hold: it decides who must pause and what is too much.

Free of I/O and clock. Two limits are kept apart, so that clients that read their answers slowly can't keep
others from sending requests: one for requests (partial messages, queued and open requests with their bodies)
and one for answers that clients have not read yet.
"""

from __future__ import annotations

from typing import Protocol

REQUEST_SHARE, ANSWER_SHARE = 0.25, 0.2  # of the process's memory limit
# Memory of a client's connection besides what is counted: objects, parser, transport, up to 8 KiB of answers.
CONNECTION_COST_BYTES = 20 * 1024
NODE_CONNECTION_COST_BYTES = 64 * 1024  # an answer that is still being read (`MAX_BUFFERED_BYTES`)
# Below this much for requests or for answers, a process would refuse work that every deployment has.
MIN_SHARE_BYTES = 4 * 1024 * 1024


class Holder(Protocol):
    """A connection in the account."""

    @property
    def holds_memory(self) -> bool:
        """Whether it holds part of a message, or requests that wait for their turn."""

    def resume_reading(self) -> None:
        """Called when the connection may read on."""


class ClientMemory:
    """Counts the bytes that connections hold.

    `used`: for requests, at most `limit` but for the requests of connections that hold nothing else: above
    it, connections that hold part of a message or wait with further requests are paused, except for one
    (`exempt`) that reads to the end of its message, so that memory is always freed again. `unsent`: written
    answers that clients have not taken, with `answer_limit`.
    """

    def __init__(self, limit: int, answer_limit: int | None = None) -> None:
        self.limit, self.answer_limit = limit, limit if answer_limit is None else answer_limit
        self.used = self.unsent = 0
        self.exempt: Holder | None = None
        self.paused: dict[Holder, None] = {}

    def fit(self, memory_bytes: int, at_rest_bytes: int, connections: int, node_connections: int) -> bool:
        """Sets the limits for a process that may take `memory_bytes` and takes `at_rest_bytes` before its
        first client, with at most that many connections of clients and to nodes. Returns whether there is
        room enough: if not, the limits are the least that a process can work with."""
        shares = (REQUEST_SHARE, ANSWER_SHARE)
        free = memory_bytes - at_rest_bytes - connections * CONNECTION_COST_BYTES
        free -= node_connections * NODE_CONNECTION_COST_BYTES
        parts = [min(int(memory_bytes * share), int(free * share / sum(shares))) for share in shares]
        self.limit, self.answer_limit = (max(MIN_SHARE_BYTES, part) for part in parts)
        return min(parts) >= MIN_SHARE_BYTES

    def grow(self, holder: Holder, size: int) -> None:
        """Counts `size` more bytes for a request."""
        self.used += size
        if self.used > self.limit and self.exempt is None and holder.holds_memory:
            self.exempt = holder

    def must_pause(self, holder: Holder) -> bool:
        """Whether the connection must stop reading now. If so, its `resume_reading` is called when it may
        read on."""
        if self.used <= self.limit or holder is self.exempt or not holder.holds_memory:
            return False
        if self.exempt is None:
            self.exempt = holder
            return False
        self.paused[holder] = None
        return True

    def release(self, holder: Holder, size: int) -> None:
        """Frees `size` bytes of a request, and lets paused connections read on."""
        self.used -= size
        if not self.paused and self.exempt is None:
            return  # the common case
        if not holder.holds_memory:
            self.paused.pop(holder, None)
        if holder is self.exempt:
            self.exempt = None
        if self.exempt is None and self.used > self.limit and self.paused:
            self.exempt = next(iter(self.paused))
            del self.paused[self.exempt]
            self.exempt.resume_reading()
        elif self.used <= self.limit and self.paused:
            paused, self.paused = self.paused, {}
            for waiting in paused:
                waiting.resume_reading()

    @property
    def answers_exceeded(self) -> bool:
        """Whether the answers that clients have not taken exceed their limit."""
        return self.unsent > self.answer_limit
