"""Counts of connections to cache nodes, as the second address tells them."""

from __future__ import annotations

from enum import Enum

from magpiefront.net.figures import PREFIX, lines

MOST_NODES = 64  # of which strays are told one by one: those that sent one last


class NewCause(Enum):
    """Why a new connection was made."""

    NONE_OPEN = "none_open"  # none to that node had nothing to do
    RESTING = "resting"  # all that had were still resting
    ENDED = "ended"  # the one that was taken had ended, or had brought bytes


class PoolFigures:
    """Since the process began. `strays`: bytes that no request can have asked for, each of which closed its
    connection; by node, for the last `MOST_NODES` of them."""

    def __init__(self) -> None:
        self.made = dict.fromkeys(NewCause, 0)
        self.reused = 0
        self.strays = 0
        self.strays_of: dict[str, int] = {}

    @property
    def connections(self) -> int:
        """How many were made."""
        return sum(self.made.values())

    def count_stray(self, node: str) -> None:
        self.strays += 1
        self.strays_of[node] = self.strays_of.pop(node, 0) + 1
        if len(self.strays_of) > MOST_NODES:
            del self.strays_of[next(iter(self.strays_of))]

    def text(self) -> str:
        told = lines("connections", {"reused": self.reused, "closed_for_strays": self.strays})
        told += "".join(f'{PREFIX}connections_new{{cause="{c.value}"}} {n}\n' for c, n in self.made.items())
        told += f"{PREFIX}strays {self.strays}\n"
        return told + "".join(f'{PREFIX}strays{{node="{name}"}} {n}\n' for name, n in self.strays_of.items())
