"""Checks that the dedup window of the nodes is long enough for a takeover. No I/O.

The process that owns a report may be suspended for any length of time between checking its session and
sending its request. If another member has sent the report meanwhile, the nodes drop the late request as a
repeat, but only within their dedup window. So the window must cover the time in which another member learns
of the loss and sends the report again. With a shorter window the outcome of all such reports would be
unknown.
"""

from __future__ import annotations

from collections.abc import Iterable

from magpiefront.group.settings import Times
from magpiefront.interface import Repeat, RequestClass


def min_window_us(times: Times, delivery_us: int) -> int:
    """The shortest window that covers a takeover, in microseconds, from the first send by the owner to the
    end of the delivery by another member. It is the sum of the time until the owner is considered lost, the
    longest election timeout in case the owner was the leader, and the time limit of a delivery."""
    return times.loss_timeout_us + 2 * times.election_us + delivery_us


def short_window_warnings(
    classes: Iterable[RequestClass], stored: frozenset[str] | None, times: Times, delivery_us: int
) -> list[str]:
    """A warning for each class whose window is too short for a takeover. `stored` names the classes
    whose reports are stored; None means all classes with an idempotency key. `delivery_us` is the time limit
    of a delivery."""
    needed = min_window_us(times, delivery_us)
    return [
        f"class {c.name}: nodes drop repeats for {c.window_us / 1e6:.1f} s, but the takeover of a report "
        f"needs {needed / 1e6:.1f} s: raise keyTtlUs of the class, or lower [group.times]"
        for c in classes
        if c.repeat is Repeat.KEYED and (stored is None or c.name in stored) and c.window_us < needed
    ]
