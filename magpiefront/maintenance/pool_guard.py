"""Makes a pool check, before each connection, request and probe, that the proxy may send to the cache node.

The Router does not choose nodes that it knows as excluded. But the process may be suspended between the
Router's choice and the first byte, for longer than the other proxies wait for this one. When it resumes,
callbacks that are due run before any timer that would tell the Router about newly excluded nodes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping

from magpiefront.interface import Outcome
from magpiefront.net.config import Address
from magpiefront.net.exchange import Exchange
from magpiefront.net.node_connection import NodeConnection
from magpiefront.net.pool import Node, Pool

NO_NODES: Mapping[bytes, str] = {}
MaySend = Callable[[str, bytes], bool]  # takes a node's name and address


class GuardedNode(Node):
    """A node that ends an exchange as moot if nothing may be sent to it. `PoolGuard` sets the attributes in a
    subclass."""

    may_send: MaySend
    # By name: the latest node, and before it the earlier nodes of this name that still have open connections.
    nodes_by_name: dict[str, list[GuardedNode]]

    def __init__(self, pool: Pool, name: str, address: Address, started_at_us: int = 0) -> None:
        super().__init__(pool, name, address, started_at_us)
        others = self.nodes_by_name.get(name, [])
        self.nodes_by_name[name] = [*(n for n in others if n.open), self]

    def is_allowed(self) -> bool:
        return self.may_send(self.name, self.host_header)

    def begin(self, exchange: Exchange) -> None:
        if self.is_allowed():
            super().begin(exchange)
        else:
            exchange.end(Outcome.MOOT)

    async def _connect(self, connection: NodeConnection, exchange: Exchange) -> None:
        if self.is_allowed():
            await super()._connect(connection, exchange)
        else:
            exchange.task = None
            exchange.end(Outcome.MOOT)

    def put_back(self, connection: NodeConnection) -> None:
        if self.is_allowed():
            super().put_back(connection)
        else:
            connection.close()


class GuardedConnection(NodeConnection):
    """Mixed into the pool's connection type by `PoolGuard`. Keeps a set of the open connections, and before
    each exchange checks that sending to the node is allowed."""

    __slots__ = ()
    open_connections: set[NodeConnection]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.open_connections.add(self)
        super().connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.open_connections.discard(self)
        super().connection_lost(exc)

    def start(self, exchange: Exchange, checked_at: float | None = None) -> None:
        node = self.node
        if isinstance(node, GuardedNode) and not node.is_allowed():
            self.exchange = None
            self.close()
            exchange.end(Outcome.MOOT)
        else:
            super().start(exchange, checked_at)


class PoolGuard:
    """Installs the checks in a pool, and keeps track of what is open. Create it before the pool has nodes."""

    def __init__(self, pool: Pool, may_send: MaySend) -> None:
        self.nodes_by_name: dict[str, list[GuardedNode]] = {}
        self.open_connections: set[NodeConnection] = set()
        attributes = {"may_send": staticmethod(may_send), "nodes_by_name": self.nodes_by_name}
        pool.node_type = type("Node", (GuardedNode,), attributes)
        base = pool.connection_type
        connection_attributes = {"__slots__": (), "open_connections": self.open_connections}
        pool.connection_type = type("Connection", (GuardedConnection, base), connection_attributes)

    def nodes_in_use(self, nodes_by_address: Mapping[bytes, str] = NO_NODES) -> set[str]:
        """Returns the nodes to which a connection is open or being opened. `nodes_by_address` maps addresses
        to the nodes that were listed there earlier; if there is a connection to such an address, the earlier
        node is included too."""
        for name, nodes in list(self.nodes_by_name.items()):
            remaining = [n for n in nodes if n.open or not n.retired]
            if remaining:
                self.nodes_by_name[name] = remaining
            else:
                del self.nodes_by_name[name]
        open_ = [n for nodes in self.nodes_by_name.values() for n in nodes if n.open]
        earlier = {nodes_by_address[n.host_header] for n in open_ if n.host_header in nodes_by_address}
        return earlier | {n.name for n in open_}

    def close_idle(self, names: Iterable[str]) -> None:
        for name in names:
            for node in self.nodes_by_name.get(name, []):
                node.close_idle()

    def abort_connections(self, names: set[str]) -> int:
        """Aborts all connections to these nodes and returns their number."""
        found = [c for c in self.open_connections if c.node.name in names]
        for c in found:
            c.fail()
        return len(found)
