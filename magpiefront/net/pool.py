"""The cache nodes that a proxy knows, and all its connections to them."""

from __future__ import annotations

import asyncio
import errno
import time
from bisect import bisect_right
from collections.abc import Callable

from magpiefront.interface import Outcome
from magpiefront.net.config import Address
from magpiefront.net.exchange import Exchange
from magpiefront.net.listening import NO_ROOM
from magpiefront.net.node_connection import NodeConnection, Stray
from magpiefront.net.pool_figures import NewCause, PoolFigures
from magpiefront.reuse import RestPolicy

TIMER_S = 0.001  # the least that the event loop's timers tell apart
# This machine's own trouble: no sign of a node that is down, which would return cold.
LOCAL_ERRORS = NO_ROOM | {errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN}


def answered_at(connection: NodeConnection) -> float:
    return connection.life.answered_at


class Node:
    """A cache node at one address, and the connections to it."""

    __slots__ = ("address", "barred", "host_header", "idle", "name", "open", "pool", "retired",
                 "unused")  # fmt: skip

    def __init__(self, pool: Pool, name: str, address: Address) -> None:
        self.pool, self.name, self.address = pool, name, address
        self.host_header = f"{address[0]}:{address[1]}".encode()
        self.idle: list[NodeConnection] = []  # resting or idle, the one that has been so longest first
        self.unused: list[NodeConnection] = []  # that came up for a request which went on another meanwhile
        self.open = 0
        self.retired = False  # off the list, or at another address by now
        self.barred = False  # taken out by an operator

    @property
    def closed(self) -> bool:
        """May nothing new begin there?"""
        return self.retired or self.barred

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        return self.pool.loop

    def clock(self) -> float:
        return self.pool.clock()

    def begin(self, exchange: Exchange) -> None:
        """On a connection that may be used, or on a new one; or on one whose rest ends before that is up."""
        cause = NewCause.RESTING if self.idle else NewCause.NONE_OPEN
        now = self.clock()
        while (connection := self._take_usable(now)) is not None:
            if self._start_on(connection, exchange, now):
                return
            cause = NewCause.ENDED
        if not self.pool.room():
            exchange.end(Outcome.MOOT)
            return
        self._open(exchange, cause)
        self._look_when_one_has_rested(exchange, now)

    def _start_on(self, connection: NodeConnection, exchange: Exchange, now: float) -> bool:
        """False where the connection has ended, or has brought bytes."""
        if not connection.fresh():
            connection.close()
            return False
        self.pool.figures.reused += 1
        connection.start(exchange, now)
        return True

    def _open(self, exchange: Exchange, cause: NewCause) -> None:
        figures = self.pool.figures
        figures.made[cause] += 1
        self.open += 1
        self.pool.open += 1
        made = self.pool.connection_type(self, exchange, figures.connections)
        exchange.opening = made
        exchange.task = self.loop.create_task(self._connect(made, exchange))
        exchange.task.add_done_callback(lambda _: self._connected(made))

    def _take_usable(self, now: float) -> NodeConnection | None:
        """Of those whose rest is over, the one that was used last; the others may then be closed in time.
        Else one that has not carried anything, which costs its node as much as a new one."""
        rest_s = self.pool.rest.rest_s(now)
        rested = bisect_right(self.idle, now - rest_s, key=answered_at)
        if rested:
            connection = self.idle.pop(rested - 1)
            connection.life.rested(now, rest_s)
        elif self.unused:
            connection = self.unused.pop()
        else:
            return None
        del self.pool.idle[connection]
        return connection

    def _look_when_one_has_rested(self, exchange: Exchange, now: float) -> None:
        """Guards against waiting for a connection that comes up late, or never, beside one that may be used
        by then."""
        if self.idle:
            rest_s = self.pool.rest.rest_s(now)
            left_s = answered_at(self.idle[0]) + rest_s - now
            if left_s < self.pool.connect_timeout_s:
                self.loop.call_later(left_s + TIMER_S, self._one_has_rested, exchange)

    def _one_has_rested(self, exchange: Exchange) -> None:
        opening = exchange.opening
        if exchange.done or exchange.begun or opening is None:
            return
        now = self.clock()
        connection = self._take_usable(now)
        if connection is None:
            self._look_when_one_has_rested(exchange, now)
            return
        if connection.fresh():
            opening.spare_for_others()
            exchange.task = exchange.opening = None
            self.pool.figures.reused += 1
            connection.start(exchange, now)
        else:
            connection.close()
            self._one_has_rested(exchange)

    def _connected(self, connection: NodeConnection) -> None:
        """Guards against places that nobody gives back: an exchange may end before its task has ever run."""
        if connection.transport is None:
            self.lost(connection)

    async def _connect(self, connection: NodeConnection, exchange: Exchange) -> None:
        outcome = Outcome.CONNECT_FAILED
        try:
            async with asyncio.timeout(self.pool.connect_timeout_s):
                await self.loop.create_connection(lambda: connection, *self.address)
        except OSError as e:
            if e.errno in LOCAL_ERRORS:
                outcome = Outcome.MOOT
        except asyncio.CancelledError:
            outcome = Outcome.MOOT  # the exchange has ended
        if connection.transport is None and connection.exchange is exchange:
            exchange.task = None
            exchange.end(outcome)

    def put_back(self, connection: NodeConnection) -> None:
        """Nothing is out on it any more; it came to that last of all."""
        if self.closed:
            connection.close()
            return
        kept = self.idle if connection.life.used else self.unused
        kept.append(connection)
        self.pool.idle[connection] = None

    def lost(self, connection: NodeConnection) -> None:
        self.open -= 1
        self.pool.open -= 1
        self.drop_idle(connection)

    def drop_idle(self, connection: NodeConnection) -> None:
        """It carries nothing from now on."""
        if connection in self.pool.idle:
            del self.pool.idle[connection]
            (self.idle if connection.life.used else self.unused).remove(connection)

    def saw_stray(self, stray: Stray) -> None:
        self.pool.saw_stray(self, stray)

    def close_idle(self) -> None:
        """All connections on which nothing is open."""
        for connection in [*self.idle, *self.unused]:
            self.pool.close_idle(connection)

    def retire(self) -> None:
        """Nothing new goes there: what is out may end, nothing is kept."""
        self.retired = True
        self.close_idle()


class Pool:
    """All connections to cache nodes, bounded by the proxy's descriptors."""

    connection_type: type[NodeConnection] = NodeConnection
    node_type: type[Node] = Node

    def __init__(self, loop: asyncio.AbstractEventLoop, most: int, connect_us: int, idle_us: int) -> None:
        self.loop, self.most, self.open = loop, most, 0
        self.clock: Callable[[], float] = time.monotonic
        self.rest = RestPolicy()
        self.figures = PoolFigures()
        self.on_stray: Callable[[Node, Stray], None] = lambda node, stray: None
        self.nodes: dict[str, Node] = {}
        self.idle: dict[NodeConnection, None] = {}  # of all nodes, the one that has been idle longest first
        self.set_times(connect_us, idle_us)

    def set_times(self, connect_us: int, idle_us: int) -> None:
        self.connect_timeout_s = connect_us / 1e6
        # Closed well before the node would do it: a request that crosses with its closing ends as a reset.
        self.idle_s = max(idle_us / 2e6, idle_us / 1e6 - 5)

    def place_node(self, name: str, place: Address | None) -> None:
        """A node stands there from now on; None: nothing new goes to it."""
        node = self.nodes.get(name)
        if node is not None and node.address == place:
            return
        if node is not None:
            node.retire()
            del self.nodes[name]
        if place is not None:
            self.nodes[name] = self.node_type(self, name, place)

    def room(self) -> bool:
        if self.open < self.most:
            return True
        if not self.idle:
            return False
        self.close_idle(next(iter(self.idle)))
        return True

    def saw_stray(self, node: Node, stray: Stray) -> None:
        if stray.connection.life.used:
            self.rest.saw_stray(stray.after_s, self.clock())
        self.figures.count_stray(node.name)
        self.on_stray(node, stray)

    def close_idle(self, connection: NodeConnection) -> None:
        connection.node.drop_idle(connection)
        connection.close()

    def close_all_idle(self) -> None:
        while self.idle:
            self.close_idle(next(iter(self.idle)))

    def sweep(self) -> None:
        before = self.clock() - self.idle_s
        while self.idle and answered_at(oldest := next(iter(self.idle))) <= before:
            self.close_idle(oldest)
