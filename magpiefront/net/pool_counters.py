"""Counters of connections to cache nodes, in the text format of the admin address."""

from __future__ import annotations

from enum import Enum

from magpiefront.net.metrics import PREFIX, metric_lines

MAX_STRAY_NODES = 64  # nodes that have a stray counter of their own: those that sent strays most recently


class NewCause(Enum):
    """Why a new connection was opened."""

    NONE_OPEN = "none_open"  # every connection to the node, if there were any, carried an exchange
    RESTING = "resting"  # all connections without an exchange were still resting
    ENDED = "ended"  # the connection that was taken had ended or had unread bytes


class PoolCounters:
    """Counts since the process started.

    `made` counts new connections by cause, and `reused` the exchanges that started on a connection of the
    pool. `strays` counts arrivals of unsolicited bytes, each of which closed its connection; `strays_of`
    counts them by node, for the last `MAX_STRAY_NODES` nodes that sent any.
    """

    def __init__(self) -> None:
        self.made = dict.fromkeys(NewCause, 0)
        self.reused = 0
        self.strays = 0
        self.strays_of: dict[str, int] = {}

    @property
    def connections(self) -> int:
        """How many connections were opened."""
        return sum(self.made.values())

    def count_stray(self, node: str) -> None:
        self.strays += 1
        self.strays_of[node] = self.strays_of.pop(node, 0) + 1
        if len(self.strays_of) > MAX_STRAY_NODES:
            del self.strays_of[next(iter(self.strays_of))]

    def text(self) -> str:
        text = metric_lines("connections", {"reused": self.reused, "closed_for_strays": self.strays})
        text += "".join(f'{PREFIX}connections_new{{cause="{c.value}"}} {n}\n' for c, n in self.made.items())
        text += f"{PREFIX}strays {self.strays}\n"
        return text + "".join(f'{PREFIX}strays{{node="{name}"}} {n}\n' for name, n in self.strays_of.items())
