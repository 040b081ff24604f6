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
from magpiefront.net.lag import after_reading
from magpiefront.net.listening import RESOURCE_SHORTAGE_ERRNOS
from magpiefront.net.node_connection import NodeConnection, Stray
from magpiefront.net.pool_counters import NewCause, PoolCounters
from magpiefront.reuse import RestPolicy

TIMER_RESOLUTION_S = 0.001  # the event loop's timers can't tell times apart that differ by less
# Connect errors that are caused by this machine. They are no sign that the node is down; a node that was down
# would be treated as cold when it returns.
LOCAL_ERRNOS = RESOURCE_SHORTAGE_ERRNOS | {errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN}


def last_answer_at(connection: NodeConnection) -> float:
    """Returns when the connection completed its last answer, or was last released unused, in seconds of the
    pool's clock. Idle connections are sorted by it."""
    return connection.lifecycle.answered_at


READ_BUFFER_BYTES = 32 * 1024  # the most that one read of a connection to a node returns


class Node:
    """One start of a cache node at one address, and the connections to it. `started_at_us`: when the node
    last started, as the list says; 0 if that was long ago."""

    __slots__ = ("address", "excluded", "host_header", "idle", "name", "open", "pool", "retired",
                 "started_at_us", "unused")  # fmt: skip

    def __init__(self, pool: Pool, name: str, address: Address, started_at_us: int = 0) -> None:
        self.pool, self.name, self.address, self.started_at_us = pool, name, address, started_at_us
        self.host_header = f"{address[0]}:{address[1]}".encode()
        self.idle: list[NodeConnection] = []  # resting or idle; the longest idle one comes first
        self.unused: list[NodeConnection] = []  # never used: their exchange was sent on another one
        self.open = 0  # connections that are open or being made
        self.retired = False  # no longer listed, or listed at another address or with a later start
        self.excluded = False  # taken out of rotation by an operator

    @property
    def unavailable(self) -> bool:
        """Whether no new exchange may begin on this node."""
        return self.retired or self.excluded

    @property
    def read_buffer(self) -> memoryview:
        return self.pool.read_buffer

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        return self.pool.loop

    def clock(self) -> float:
        return self.pool.clock()

    def begin(self, exchange: Exchange) -> None:
        """Starts an exchange on a reusable connection, or opens a new one. If a connection's rest ends before
        the new one is established, the exchange starts on the rested one. If none is reusable and the
        limit of connections allows no new one, the exchange ends as MOOT."""
        cause = NewCause.RESTING if self.idle else NewCause.NONE_OPEN
        now = self.clock()
        while (connection := self._take_reusable(now)) is not None:
            if self._start_on(connection, exchange, now):
                return
            cause = NewCause.ENDED
        if not self.pool.make_room():
            exchange.end(Outcome.MOOT)
            return
        self._open_connection(exchange, cause)
        self._schedule_reuse(exchange, now)

    def _start_on(self, connection: NodeConnection, exchange: Exchange, now: float) -> bool:
        """Starts the exchange on a connection from the pool. Returns False, and closes the connection, if it
        has ended or has unread bytes."""
        if not connection.has_nothing_unread():
            connection.close()
            return False
        self.pool.counters.reused += 1
        connection.start(exchange, now)
        return True

    def _open_connection(self, exchange: Exchange, cause: NewCause) -> None:
        counters = self.pool.counters
        counters.made[cause] += 1
        self.open += 1
        self.pool.open += 1
        connection = self.pool.connection_type(self, exchange, counters.connections)
        exchange.opening = connection
        exchange.task = self.loop.create_task(self._connect(connection, exchange))
        exchange.task.add_done_callback(lambda _: self._connect_done(connection))

    def _take_reusable(self, now: float) -> NodeConnection | None:
        """Removes a connection that may carry an exchange now from the pool, and returns it. Takes the most
        recently used one whose rest is over, so that the others reach their idle timeout. If there is none,
        takes one that was never used, which costs the node as much as a new one."""
        rest_s = self.pool.rest.rest_s(now)
        rested = bisect_right(self.idle, now - rest_s, key=last_answer_at)
        if rested:
            connection = self.idle.pop(rested - 1)
            connection.lifecycle.end_rest(now, rest_s)
        elif self.unused:
            connection = self.unused.pop()
        else:
            return None
        del self.pool.idle[connection]
        return connection

    def _schedule_reuse(self, exchange: Exchange, now: float) -> None:
        """Schedules `_reuse_if_waiting` for the end of the first rest, if that comes before the connect
        timeout. Otherwise the exchange could wait for a new connection that is established late, or never,
        while another one has become reusable."""
        if self.idle:
            rest_s = self.pool.rest.rest_s(now)
            left_s = last_answer_at(self.idle[0]) + rest_s - now
            if left_s < self.pool.connect_timeout_s:
                self.loop.call_later(left_s + TIMER_RESOLUTION_S, self._reuse_if_waiting, exchange)

    def _reuse_if_waiting(self, exchange: Exchange) -> None:
        """Starts an exchange that still waits for its new connection on another one whose rest is over."""
        opening = exchange.opening
        if exchange.done or exchange.begun or opening is None:
            return
        now = self.clock()
        connection = self._take_reusable(now)
        if connection is None:
            self._schedule_reuse(exchange, now)
            return
        if connection.has_nothing_unread():
            opening.detach_exchange()
            exchange.task = exchange.opening = None
            self.pool.counters.reused += 1
            connection.start(exchange, now)
        else:
            connection.close()
            self._reuse_if_waiting(exchange)

    def _connect_done(self, connection: NodeConnection) -> None:
        """Releases the connection's slot in the pool if it was not established. An exchange may end before
        its connect task has run at all, so the task itself can't do it."""
        if connection.transport is None:
            self.connection_closed(connection)
        elif not connection.established:
            # The connection came up when the task had been cancelled. Then the event loop closes it without
            # a call of `connection_lost`.
            connection.connection_lost(None)

    def _connect_timed_out(
        self, connection: NodeConnection, exchange: Exchange, task: asyncio.Task[None] | None
    ) -> None:
        """Gives up a connection that is not established after the connect timeout, once what had arrived by
        now has been read: if the event loop is late, the connection may have come up in time."""
        after_reading(self.loop, self._give_up_connecting, connection, exchange, task)

    def _give_up_connecting(
        self, connection: NodeConnection, exchange: Exchange, task: asyncio.Task[None] | None
    ) -> None:
        if connection.transport is not None:
            return
        if connection.exchange is exchange:
            exchange.end(Outcome.CONNECT_FAILED)
        if task is not None:
            task.cancel()

    async def _connect(self, connection: NodeConnection, exchange: Exchange) -> None:
        outcome = Outcome.CONNECT_FAILED
        timer = self.loop.call_later(
            self.pool.connect_timeout_s, self._connect_timed_out, connection, exchange, asyncio.current_task()
        )
        try:
            await self.loop.create_connection(lambda: connection, *self.address)
            connection.established = True
        except OSError as e:
            if e.errno in LOCAL_ERRNOS:
                outcome = Outcome.MOOT
        except asyncio.CancelledError:
            outcome = Outcome.MOOT  # the exchange has ended
        finally:
            timer.cancel()
        if connection.transport is None and connection.exchange is exchange:
            exchange.task = None
            exchange.end(outcome)

    def put_back(self, connection: NodeConnection) -> None:
        """Returns a connection without an exchange to the pool, as the most recently used one, or closes it
        if the node gets no new exchanges."""
        if self.unavailable:
            connection.close()
            return
        connections = self.idle if connection.lifecycle.used else self.unused
        connections.append(connection)
        self.pool.idle[connection] = None

    def connection_closed(self, connection: NodeConnection) -> None:
        """Called when a connection has closed or could not be established."""
        self.open -= 1
        self.pool.open -= 1
        self.drop_idle(connection)

    def drop_idle(self, connection: NodeConnection) -> None:
        """Removes a connection from the pool's idle ones, if it is among them."""
        if connection in self.pool.idle:
            del self.pool.idle[connection]
            (self.idle if connection.lifecycle.used else self.unused).remove(connection)

    def report_stray(self, stray: Stray) -> None:
        """Reports unsolicited bytes on one of the node's connections."""
        self.pool.report_stray(self, stray)

    def close_idle(self) -> None:
        """Closes all connections that carry no exchange."""
        for connection in [*self.idle, *self.unused]:
            self.pool.close_idle(connection)

    def retire(self) -> None:
        """Stops new exchanges on this node and closes idle connections. Exchanges in flight may finish."""
        self.retired = True
        self.close_idle()


class Pool:
    """All connections to cache nodes, bounded by the proxy's file descriptors.

    `open` counts the connections that are open or being made. `on_stray` is called when unsolicited bytes
    arrive, with the node and a `Stray`.
    """

    connection_type: type[NodeConnection] = NodeConnection
    node_type: type[Node] = Node

    def __init__(
        self, loop: asyncio.AbstractEventLoop, max_connections: int, connect_us: int, idle_us: int
    ) -> None:
        self.loop, self.max_connections, self.open = loop, max_connections, 0
        self.max_by_memory = max_connections
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.clock: Callable[[], float] = time.monotonic
        self.rest = RestPolicy()
        self.counters = PoolCounters()
        self.on_stray: Callable[[Node, Stray], None] = lambda node, stray: None
        self.nodes: dict[str, Node] = {}
        self.idle: dict[NodeConnection, None] = {}  # of all nodes; the longest idle one comes first
        self.set_timeouts(connect_us, idle_us)

    def set_timeouts(self, connect_us: int, idle_us: int) -> None:
        """Sets the connect timeout and the idle timeout of the nodes, in microseconds."""
        self.connect_timeout_s = connect_us / 1e6
        # Well below the node's own idle timeout: a request that is sent while the node closes the connection
        # ends as a reset.
        self.idle_s = max(idle_us / 2e6, idle_us / 1e6 - 5)

    def set_node_address(self, name: str, address: Address | None, started_at_us: int = 0) -> None:
        """Sets the address of a node and the time of its latest start. With None, when the address changes or
        when it has started again, the old one is retired: no connection that was opened, or is being opened,
        to the process of an earlier start gets a new exchange."""
        node = self.nodes.get(name)
        if node is not None and node.address == address and started_at_us <= node.started_at_us:
            return
        if node is not None:
            node.retire()
            del self.nodes[name]
        if address is not None:
            self.nodes[name] = self.node_type(self, name, address, started_at_us)
            self.nodes[name].excluded = node is not None and node.excluded

    @property
    def is_full(self) -> bool:
        """Whether no further connection can be opened, as all are busy."""
        return self.open >= self.limit and not self.idle

    @property
    def limit(self) -> int:
        """For how many connections there are descriptors and memory."""
        return min(self.max_connections, self.max_by_memory)

    def make_room(self) -> bool:
        """Returns whether another connection may be opened. At the limit, closes the longest idle one to make
        room; returns False if none is idle."""
        if self.open < self.limit:
            return True
        if not self.idle:
            return False
        self.close_idle(next(iter(self.idle)))
        return True

    def report_stray(self, node: Node, stray: Stray) -> None:
        """Counts and reports unsolicited bytes, and adapts how long connections rest."""
        if stray.connection.lifecycle.used:
            self.rest.record_stray(stray.after_s, self.clock())
        self.counters.count_stray(node.name)
        self.on_stray(node, stray)

    def close_idle(self, connection: NodeConnection) -> None:
        connection.node.drop_idle(connection)
        connection.close()

    def close_all_idle(self) -> None:
        while self.idle:
            self.close_idle(next(iter(self.idle)))

    def sweep(self) -> None:
        """Closes connections that have been idle for the idle timeout. Called periodically."""
        cutoff = self.clock() - self.idle_s
        while self.idle and last_answer_at(longest_idle := next(iter(self.idle))) <= cutoff:
            self.close_idle(longest_idle)
