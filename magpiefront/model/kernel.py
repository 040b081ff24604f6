"""A discrete-event simulator: runs callbacks in the order of their simulated time. The same seed gives the
same run."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from random import Random


class Kernel:
    """The simulated time in microseconds, the callbacks that are due, and the source of randomness."""

    def __init__(self, seed: int) -> None:
        self.now_us = 0
        self.random = Random(seed)
        # By time; the sequence number keeps callbacks of the same time in the order in which they were added.
        self.due: list[tuple[int, int, Callable[[], None]]] = []
        self.sequence = count()

    def at(self, when_us: int, callback: Callable[[], None]) -> None:
        """Schedules a callback; a time in the past counts as now."""
        heapq.heappush(self.due, (max(when_us, self.now_us), next(self.sequence), callback))

    def after(self, delay_us: int, callback: Callable[[], None]) -> None:
        self.at(self.now_us + delay_us, callback)

    def run(self, until_us: int) -> None:
        """Runs all callbacks that are due by then and advances the time to it."""
        while self.due and self.due[0][0] <= until_us:
            self.now_us, _, callback = heapq.heappop(self.due)
            callback()
        self.now_us = max(self.now_us, until_us)


class Clock:
    """The monotonic clock of one machine, with an arbitrary start value and a rate that differs a little from
    that of simulated time."""

    def __init__(self, offset_us: int, rate: float) -> None:
        self.offset_us, self.rate = offset_us, rate

    def local(self, true_us: int) -> int:
        """Returns what this clock shows at a simulated time."""
        return self.offset_us + int(true_us * self.rate)

    def true(self, local_us: int) -> int:
        """Returns the first simulated time at which this clock shows `local_us`."""
        return int((local_us - self.offset_us) / self.rate) + 1
