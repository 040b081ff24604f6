"""Counters of the gateway's events. The operator's manual lists their names."""

from __future__ import annotations


class Counters:
    """Counters by name, which only increase."""

    def __init__(self) -> None:
        self.values: dict[str, int] = {}
        self.reported: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Adds one to a counter."""
        self.values[name] = self.values.get(name, 0) + 1

    def take_changes(self) -> str:
        """The counters that changed since the last call, as "name=increase ..."; empty if none did."""
        delta = {
            n: v - self.reported.get(n, 0) for n, v in self.values.items() if v != self.reported.get(n, 0)
        }
        self.reported = dict(self.values)
        return " ".join(f"{n}={v}" for n, v in sorted(delta.items()))
