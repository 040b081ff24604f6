"""One line for each thing that an operator may ask about later: who, what and why, as key=value.

    event=refused reason=admission request=9b1f03aa
    event=list kind=patch generation=41 entries=12 turns=1 longest_ms=3

Over the standard `logging` (logger `magpiefront.events`, to standard error). Each kind of event gets LINES
lines in PERIOD_S; the next line that is written says how many were left out. A request that goes well writes
nothing.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from enum import Enum

LINES = 5
PERIOD_S = 10.0

logger = logging.getLogger("magpiefront.events")


class Reason(Enum):
    """Why: one word each."""

    ADMISSION = "admission"  # refused while something is overloaded, or for want of a server
    EXHAUSTED = "exhausted"  # all attempts that the class and its time allow have failed
    BEHIND = "behind"  # the event loop runs late
    CROWDED = "crowded"  # as many requests are open as may be
    DUPLICATE = "duplicate"  # another open request has this id
    OLDER = "older"  # than what is held: the answer to an earlier call
    OVERDUE = "overdue"  # its time was over before an answer came
    ENDED = "ended"  # another attempt has served it, or its client has gone
    FAILED = "failed"  # an attempt ended without an answer
    ROOM = "room"  # a connection made room for another
    CUT = "cut"  # an answer could not be finished
    STALLED = "stalled"  # nothing went on for too long


def to_standard_error() -> None:
    """Where lines go in the program; a test or an embedder may add a handler of its own instead."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(message)s"))
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    logger.propagate = False


class EventLog:
    """Writes lines, so many of a kind in so long. `clock` gives seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._since: dict[str, float] = {}  # by kind: when its period began
        self._written: dict[str, int] = {}
        self._left_out: dict[str, int] = {}

    def tell(self, event: str, reason: Enum | None = None, **fields: object) -> None:
        if not self._may_write(event):
            return
        words = [f"event={event}"]
        if reason is not None:
            words.append(f"reason={reason.value}")
        words += [f"{name}={value}" for name, value in fields.items()]
        left_out = self._left_out.pop(event, 0)
        if left_out:
            words.append(f"left_out={left_out}")
        logger.info(" ".join(words))

    def _may_write(self, event: str) -> bool:
        now = self._clock()
        if now - self._since.get(event, -PERIOD_S) >= PERIOD_S:
            self._since[event] = now
            self._written[event] = 0
        self._written[event] += 1
        if self._written[event] > LINES:
            self._left_out[event] = self._left_out.get(event, 0) + 1
            return False
        return True
