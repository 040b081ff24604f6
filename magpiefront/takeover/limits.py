"""Whether the nodes' window covers a take-over. No I/O.

Between an owner's look at its session and the byte that it writes it may be stopped for any length; what it
writes then is dropped by the nodes for as long as their window lasts, and that must cover the time in which
another one learns of the loss and sends the report again. A shorter window would leave all of them unknown.
"""

from __future__ import annotations

from collections.abc import Iterable

from magpiefront.group.settings import Times
from magpiefront.interface import Repeat, RequestClass


def needed_us(times: Times, delivery_us: int) -> int:
    """From a first send to the end of another's: the owner's session, the longest draw of an election where
    it led, and what a delivery takes at most."""
    return times.free_us + 2 * times.election_us + delivery_us


def too_short(
    classes: Iterable[RequestClass], held: frozenset[str] | None, times: Times, delivery_us: int
) -> list[str]:
    """A line for each class of reports that are held (None: all keyed ones) whose window is."""
    needed = needed_us(times, delivery_us)
    return [
        f"class {c.name}: nodes drop its repeats for {c.window_us / 1e6:.1f} s, and a report of a lost proxy "
        f"needs {needed / 1e6:.1f} s: raise its keyTtlUs, or lower [group.times]"
        for c in classes
        if c.repeat is Repeat.KEYED and (held is None or c.name in held) and c.window_us < needed
    ]
