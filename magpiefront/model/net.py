"""A net in simulated time that drops, delays, doubles, reorders, and cuts either way."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from magpiefront.model.kernel import Kernel


@dataclass
class Weather:
    """Of one way between two: shares from 0 to 1, delays in microseconds."""

    least_us: int = 200
    most_us: int = 2_000
    lost: float = 0.0
    doubled: float = 0.0
    cut: bool = False


class Net:
    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.usual = Weather()
        self.ways: dict[tuple[str, str], Weather] = {}
        self.sent = self.dropped = 0

    def weather(self, a: str, b: str) -> Weather:
        return self.ways.get((a, b), self.usual)

    def set(self, a: str, b: str, weather: Weather | None) -> None:
        """None: as usual again."""
        if weather is None:
            self.ways.pop((a, b), None)
        else:
            self.ways[a, b] = weather

    def set_all(self, ways: list[tuple[str, str]], weather: Weather | None) -> None:
        for a, b in ways:
            self.set(a, b, weather)

    def send(self, a: str, b: str, arrive: Callable[[], None]) -> None:
        w, random = self.weather(a, b), self.kernel.random
        self.sent += 1
        if w.cut or (w.lost and random.random() < w.lost):
            self.dropped += 1
            return
        copies = 2 if w.doubled and random.random() < w.doubled else 1
        for _ in range(copies):
            self.kernel.after(random.randint(w.least_us, w.most_us), lambda: self._arrive(a, b, arrive))

    def _arrive(self, a: str, b: str, arrive: Callable[[], None]) -> None:
        if self.weather(a, b).cut:
            self.dropped += 1
        else:
            arrive()
