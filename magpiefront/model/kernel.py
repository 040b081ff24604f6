"""One kernel of simulated time: what is due happens in its order, and the same seed gives the same run."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from random import Random


class Kernel:
    def __init__(self, seed: int) -> None:
        self.now_us = 0
        self.random = Random(seed)
        self.due: list[tuple[int, int, Callable[[], None]]] = []
        self.number = count()

    def at(self, when_us: int, what: Callable[[], None]) -> None:
        heapq.heappush(self.due, (max(when_us, self.now_us), next(self.number), what))

    def after(self, delay_us: int, what: Callable[[], None]) -> None:
        self.at(self.now_us + delay_us, what)

    def run(self, until_us: int) -> None:
        while self.due and self.due[0][0] <= until_us:
            self.now_us, _, what = heapq.heappop(self.due)
            what()
        self.now_us = max(self.now_us, until_us)


class Clock:
    """One machine's monotonic clock: it begins anywhere and runs a little fast or slow."""

    def __init__(self, offset_us: int, rate: float) -> None:
        self.offset_us, self.rate = offset_us, rate

    def local(self, true_us: int) -> int:
        return self.offset_us + int(true_us * self.rate)

    def true(self, local_us: int) -> int:
        """The first true moment at which it shows that."""
        return int((local_us - self.offset_us) / self.rate) + 1
