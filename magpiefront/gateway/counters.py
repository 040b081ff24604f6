"""What the gateway counts. Names and meanings stand in the operator's page."""

from __future__ import annotations


class Counters:
    def __init__(self) -> None:
        self.values: dict[str, int] = {}
        self.told: dict[str, int] = {}

    def add(self, name: str) -> None:
        self.values[name] = self.values.get(name, 0) + 1

    def line(self) -> str:
        """What has changed since the last line, or nothing."""
        new = {n: v - self.told.get(n, 0) for n, v in self.values.items() if v != self.told.get(n, 0)}
        self.told = dict(self.values)
        return " ".join(f"{n}={v}" for n, v in sorted(new.items()))
