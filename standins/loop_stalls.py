"""Records when the event loop of a stand-in was blocked, so that its own delays aren't blamed on the program.

A client in a blocked loop reads an answer that came in time too late, and sends a request later than it says.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from weakref import WeakKeyDictionary

WAKE_INTERVAL_S = 0.01
MIN_STALL_S = 0.02  # a shorter delay of a timer is not recorded
MAX_STALLS = 1_000  # the latest ones are kept


class LoopStalls:
    """The latest times at which the running event loop was blocked, by the monotonic clock."""

    _of_loops: WeakKeyDictionary[asyncio.AbstractEventLoop, LoopStalls] = WeakKeyDictionary()

    def __init__(self) -> None:
        self._stalls: deque[tuple[float, float]] = deque(maxlen=MAX_STALLS)  # begin and end
        self._await_next_wake(time.monotonic())

    @classmethod
    def of_running_loop(cls) -> LoopStalls:
        """Returns the stalls of the running loop, recorded from the first call to the end of the loop."""
        loop = asyncio.get_running_loop()
        if loop not in cls._of_loops:
            cls._of_loops[loop] = cls()
        return cls._of_loops[loop]

    def _await_next_wake(self, now_s: float) -> None:
        self._due_s = now_s + WAKE_INTERVAL_S
        asyncio.get_running_loop().call_later(WAKE_INTERVAL_S, self._wake)

    def _wake(self) -> None:
        now_s = time.monotonic()
        if now_s - self._due_s > MIN_STALL_S:
            self._stalls.append((self._due_s, now_s))
        self._await_next_wake(now_s)

    def total_s(self, begin_s: float, end_s: float) -> float:
        """Returns how long the loop was blocked between two times, including a stall that has just ended."""
        current = (self._due_s, time.monotonic())
        stalls = [*self._stalls, current] if current[1] - current[0] > MIN_STALL_S else self._stalls
        return sum(max(0.0, min(end, end_s) - max(begin, begin_s)) for begin, end in stalls)
