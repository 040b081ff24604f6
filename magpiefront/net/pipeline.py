"""Decides how long further requests of a connection wait while its queue is full; no I/O and no clock."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

MAX_PIPELINED_REQUESTS = 32  # waiting on one connection; see `hold_time_us` for further ones
# A client that sends many requests at once expects their answers in about the same time. Further requests are
# held back for this part of the time that those in the queue have, and refused after that, so that refusals
# are in time as well.
HOLD_SHARE = 0.5


class QueuedRequest(Protocol):
    """A request in the queue: `received_at` and `time_left` (from then to its deadline) in microseconds. An
    invalid one has an `error`."""

    received_at: int
    time_left: int
    error: int


def hold_time_us(queued: Iterable[QueuedRequest], now_us: int) -> int:
    """How long to hold further requests back, in microseconds from now; not above 0: no longer."""
    ends = [r.received_at + int(r.time_left * HOLD_SHARE) for r in queued if not r.error]
    return min(ends, default=now_us) - now_us
