"""Finds the servers at which the Router reads a popular key, with the Router's own hashing. No I/O.

Two machines that together hold all homes of a popular key must not be out at the same time. The positions of
the servers on the hash ring are enough to tell; loads and caps do not matter.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import ClassVar

from magpiefront.router import SLOTS_PER_SERVER
from magpiefront.hashing import nth_hash
from magpiefront.placement import Placement

HOMES = 2  # number of homes of a popular key that must not all be out at the same time


class Ring:
    """The Router's hash ring, for servers of equal weight."""

    _shared: ClassVar[Ring | None] = None

    def __init__(self, nodes: Iterable[str]) -> None:
        self.nodes: set[str] = set()
        self.placement = Placement[str]()
        self.set_nodes(set(nodes))

    @classmethod
    def for_nodes(cls, nodes: Collection[str]) -> Ring:
        """Returns a ring of these nodes. All calls change and return the same ring, so the cost is
        proportional to the number of nodes that differ from those of the previous call, and the ring must not
        be used after the next call."""
        if cls._shared is None:
            cls._shared = cls(())
        cls._shared.set_nodes(set(nodes))
        return cls._shared

    def set_nodes(self, nodes: set[str]) -> None:
        changed = self.nodes ^ nodes
        for name in self.nodes - nodes:
            self.placement.remove(name)
        for name in sorted(nodes - self.nodes):
            self.placement.put(name, name, SLOTS_PER_SERVER)
        self.placement.commit_joins()
        self.placement.apply_pending(SLOTS_PER_SERVER * len(changed) + 1)
        self.nodes = nodes

    def owner(self, point: int) -> str:
        """Returns the node that owns a point of the ring. Raises LookupError if there are no nodes."""
        owner = self.placement.owner(point)
        if owner is None:
            raise LookupError("the ring has no nodes")
        return owner

    def homes(self, key: int, count: int = HOMES) -> list[str]:
        """Returns the first `count` different servers in the order of a key's hashes. Other servers are read
        only when these have reached their caps."""
        found: list[str] = []
        n = 0
        while len(found) < min(count, len(self.nodes)):
            owner = self.owner(nth_hash(key, n))
            if owner not in found:
                found.append(owner)
            n += 1
        return found
