"""Decides from what a process really takes how much it must hold back; no I/O and no clock.

The plan of the memory (`memory_plan`) bounds what the program knows that it holds. This is the check on it:
whatever the account says, the process acts before its resident memory reaches its limit.
"""

from __future__ import annotations

from enum import IntEnum

PEAK_SHARE = 0.95  # of the limit, which resident memory must not exceed
# Where each step begins, as a part of the room between memory at rest and the peak.
TRIM_AT, HOLD_AT, SHED_AT = 0.55, 0.75, 0.88
HYSTERESIS = 0.06  # a step ends this far below the point where it began, as a part of that room
# The least room (bytes) that is divided so: with less, a process at rest would be under pressure.
MIN_ROOM_BYTES = 2 * 1024 * 1024


class Step(IntEnum):
    """What a process must do to stay within its memory; each includes those before it.

    TRIM: give free memory back to the system. HOLD: accept no further connection, and read no more from
    clients that hold memory. SHED: refuse requests, and close connections by rank.
    """

    NONE = 0
    TRIM = 1
    HOLD = 2
    SHED = 3


class MemoryPressure:
    """The step for a process with this limit that takes `at_rest_bytes` without clients."""

    def __init__(self, limit_bytes: int, at_rest_bytes: int) -> None:
        self.set_limits(limit_bytes, at_rest_bytes)
        self.step = Step.NONE

    def set_limits(self, limit_bytes: int, at_rest_bytes: int) -> None:
        """Sets the process's limit, and what it takes at rest, both in bytes."""
        self.limit_bytes, self.at_rest_bytes = limit_bytes, at_rest_bytes
        room = max(MIN_ROOM_BYTES, int(limit_bytes * PEAK_SHARE) - at_rest_bytes)
        self._margin = int(room * HYSTERESIS)
        self._begins = [0, *(at_rest_bytes + int(room * part) for part in (TRIM_AT, HOLD_AT, SHED_AT))]

    def room(self, resident_bytes: int) -> int:
        """How much the process can grow until it has to hold back, in bytes."""
        return max(0, self._begins[Step.HOLD] - resident_bytes)

    def update(self, resident_bytes: int) -> Step:
        """Sets and returns the step for this much resident memory."""
        reached = max(step for step in Step if resident_bytes >= self._begins[step])
        if reached < self.step:
            reached = max(step for step in Step if resident_bytes >= self._begins[step] - self._margin)
            reached = min(reached, self.step)
        self.step = reached
        return reached
