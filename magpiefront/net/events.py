"""The event log: one line for each event that an operator may have to look up later, as key=value pairs.

    event=refused reason=admission request=9b1f03aa
    event=list kind=patch generation=41 entries=12 turns=1 longest_ms=3

Lines go to the standard `logging` module (logger `magpiefront.events`, to standard error). Each kind of event
has a rate limit of MAX_LINES lines in PERIOD_S seconds; the next line that is written gives the number of
lines that were dropped as `left_out`. A request that succeeds without incident writes nothing.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from enum import Enum

MAX_LINES = 5  # lines of one kind of event in each period
MAX_VALUE_CHARS = 100  # of a value in a line: ids may have thousands
PERIOD_S = 10.0  # begins anew with the first event after the end of the previous period

logger = logging.getLogger("magpiefront.events")


class Reason(Enum):
    """Why an event happened; the value is written as `reason=`."""

    ADMISSION = "admission"  # refused by admission control during an overload, or because no server is usable
    EXHAUSTED = "exhausted"  # all attempts that the class and the deadline allow have failed
    BEHIND = "behind"  # the event loop runs late
    CROWDED = "crowded"  # the limit of open requests is reached
    DUPLICATE = "duplicate"  # another request with the same id is open, or may have run
    IDS = "ids"  # there is no room for another id of a request that must run once
    OLDER = "older"  # older than the data already held: the response to an earlier call
    OVERDUE = "overdue"  # the deadline passed before a response came
    ENDED = "ended"  # another attempt has served the request, or its client has gone
    FAILED = "failed"  # an attempt ended without a response
    ROOM = "room"  # a connection was closed so that another could be opened
    CUT = "cut"  # a response could not be completed
    MEMORY = "memory"  # clients, or the whole process, take as much memory as they may
    QUEUE = "queue"  # as many requests of a connection wait as may
    SLOW = "slow"  # a node has paused in the middle of an answer
    STALLED = "stalled"  # no progress for too long


def log_to_stderr() -> None:
    """Sends the event lines to standard error. Called by the program; tests and programs that embed the proxy
    may add a handler of their own instead."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(message)s"))
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    logger.propagate = False


class EventLog:
    """Writes event lines, with a rate limit for each kind of event. `clock` returns seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        # By kind of event: when its period began, the lines written in that period, and the lines dropped
        # since the last one that was written.
        self._period_start: dict[str, float] = {}
        self._written: dict[str, int] = {}
        self._left_out: dict[str, int] = {}

    def emit(self, event: str, reason: Enum | None = None, **fields: object) -> None:
        """Writes one line, unless the limit for this kind of event is reached. `fields` become its key=value
        pairs."""
        if not self._may_write(event):
            return
        words = [f"event={event}"]
        if reason is not None:
            words.append(f"reason={reason.value}")
        words += [f"{name}={str(value)[:MAX_VALUE_CHARS]}" for name, value in fields.items()]
        left_out = self._left_out.pop(event, 0)
        if left_out:
            words.append(f"left_out={left_out}")
        logger.info(" ".join(words))

    def _may_write(self, event: str) -> bool:
        now = self._clock()
        if now - self._period_start.get(event, -PERIOD_S) >= PERIOD_S:
            self._period_start[event] = now
            self._written[event] = 0
        self._written[event] += 1
        if self._written[event] > MAX_LINES:
            self._left_out[event] = self._left_out.get(event, 0) + 1
            return False
        return True
