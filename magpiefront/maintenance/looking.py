"""Pools that look before anything goes to a cache node: a connection, a request, a probe.

The Router has been told what is left out. But a process may be stopped between its choice and the first byte,
for longer than any proxy is waited for; and where it goes on, what is due runs before any timer of its own.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping

from magpiefront.interface import Outcome
from magpiefront.net.config import Address
from magpiefront.net.exchange import Exchange
from magpiefront.net.node_connection import NodeConnection
from magpiefront.net.pool import Node, Pool

NOWHERE: Mapping[bytes, str] = {}
May = Callable[[str, bytes], bool]  # of a node, by its name and its place


class LookingNode(Node):
    asked: May
    known: dict[str, list[LookingNode]]  # by name, also those of before that have connections still

    def __init__(self, pool: Pool, name: str, address: Address) -> None:
        super().__init__(pool, name, address)
        others = self.known.get(name, [])
        self.known[name] = [*(n for n in others if n.open), self]

    def may(self) -> bool:
        return self.asked(self.name, self.host_header)

    def begin(self, exchange: Exchange) -> None:
        if self.may():
            super().begin(exchange)
        else:
            exchange.end(Outcome.MOOT)

    async def _connect(self, connection: NodeConnection, exchange: Exchange) -> None:
        if self.may():
            await super()._connect(connection, exchange)
        else:
            exchange.task = None
            exchange.end(Outcome.MOOT)

    def put_back(self, connection: NodeConnection) -> None:
        if self.may():
            super().put_back(connection)
        else:
            connection.close()


class LookingConnection(NodeConnection):
    """Mixed in with the pool's own."""

    __slots__ = ()
    live: set[NodeConnection]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.live.add(self)
        super().connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.live.discard(self)
        super().connection_lost(exc)

    def start(self, exchange: Exchange, looked_at: float | None = None) -> None:
        node = self.node
        if isinstance(node, LookingNode) and not node.may():
            self.exchange = None
            self.close()
            exchange.end(Outcome.MOOT)
        else:
            super().start(exchange, looked_at)


class Looking:
    """What a pool has open, by node. Before the pool knows any node."""

    def __init__(self, pool: Pool, may: May) -> None:
        self.known: dict[str, list[LookingNode]] = {}
        self.live: set[NodeConnection] = set()
        given = {"asked": staticmethod(may), "known": self.known}
        pool.node_type = type("Node", (LookingNode,), given)
        base = pool.connection_type
        own = {"__slots__": (), "live": self.live}
        pool.connection_type = type("Connection", (LookingConnection, base), own)

    def busy(self, places: Mapping[bytes, str] = NOWHERE) -> set[str]:
        """Nodes to which a connection is open, or on its way; and those that stood where one goes."""
        for name, nodes in list(self.known.items()):
            left = [n for n in nodes if n.open or not n.retired]
            if left:
                self.known[name] = left
            else:
                del self.known[name]
        open_ = [n for nodes in self.known.values() for n in nodes if n.open]
        stood = {places[n.host_header] for n in open_ if n.host_header in places}
        return stood | {n.name for n in open_}

    def close_idle(self, names: Iterable[str]) -> None:
        for name in names:
            for node in self.known.get(name, []):
                node.close_idle()

    def cut(self, names: set[str]) -> int:
        """Ends all that is open there; how many these were."""
        found = [c for c in self.live if c.node.name in names]
        for c in found:
            c.broken()
        return len(found)
