"""A TCP relay on loopback that stands in for the link between two sites and injects its faults."""

from __future__ import annotations

import asyncio
from collections import deque
from contextlib import suppress
from random import Random
from typing import cast

FORWARD, BACKWARD = 0, 1  # from the connecting to the listening side, and the opposite


class Endpoint(asyncio.Protocol):
    """One end of a relayed connection. `direction` is that of the bytes that it receives."""

    def __init__(self, connection: RelayedConnection, direction: int) -> None:
        self.connection, self.direction = connection, direction
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.connection.opened(self)

    def data_received(self, data: bytes) -> None:
        self.connection.received(self.direction, data)

    def eof_received(self) -> bool:
        self.connection.received(self.direction, b"")
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is not None:
            self.connection.abort()
        else:
            self.connection.received(self.direction, b"")


class RelayedConnection:
    """A connection through the relay. Each direction has a queue of bytes and the times when they are due;
    they are forwarded in order. Empty bytes mark the end of the stream."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.ends = (Endpoint(self, FORWARD), Endpoint(self, BACKWARD))
        self.queues: tuple[deque[tuple[float, bytes]], deque[tuple[float, bytes]]] = (deque(), deque())
        self.last_due = [0.0, 0.0]
        self.closed = False

    def opened(self, endpoint: Endpoint) -> None:
        if endpoint.direction == FORWARD:
            self.relay.connections[self] = None
            self.relay.connect_tasks.append(self.relay.loop.create_task(self._connect()))

    async def _connect(self) -> None:
        connect_delay = self.relay.draw_connect_delay()
        if connect_delay:
            await asyncio.sleep(connect_delay)
        if self.closed or self.relay.is_down:
            self.abort()
            return
        try:
            await self.relay.loop.create_connection(lambda: self.ends[BACKWARD], *self.relay.target)
        except OSError:
            self.abort()
            return
        self.flush(FORWARD)

    def received(self, direction: int, data: bytes) -> None:
        if self.closed:
            return
        # Bytes never overtake earlier ones, even with a shorter random delay.
        due = max(self.last_due[direction], self.relay.loop.time() + self.relay.draw_delay())
        self.last_due[direction] = due
        self.queues[direction].append((due, data))
        self.relay.loop.call_at(due, self.flush, direction)

    def flush(self, direction: int) -> None:
        """Forwards the queued bytes of a direction that are due, unless the direction is stalled."""
        out = self.ends[1 - direction].transport
        queue, now = self.queues[direction], self.relay.loop.time()
        if out is not None and out.is_closing():
            queue.clear()  # the receiver is gone; the sender gets its end of stream
        while queue and out is not None and not self.closed and direction not in self.relay.stalled:
            due, data = queue[0]
            if due > now + 0.0005:
                self.relay.loop.call_at(due, self.flush, direction)
                return
            queue.popleft()
            if not data:
                if not out.is_closing() and out.can_write_eof():
                    with suppress(OSError):  # the kernel has already closed the socket
                        out.write_eof()
                if all(e.transport is None or e.transport.is_closing() for e in self.ends):
                    self.abort()
                continue
            cut_limit = self.relay.cut_limit
            if cut_limit is not None and cut_limit[0] == direction:
                data = data[: cut_limit[1]]
                self.relay.cut_limit = (direction, cut_limit[1] - len(data))
            self.relay.forwarded_bytes[direction] += len(data)
            out.write(data)
            if self.relay.cut_limit is not None and self.relay.cut_limit[1] <= 0:
                # The cut follows the write, so that the connection ends within a frame and not before it.
                self.relay.cut_limit = None
                self.relay.loop.call_soon(self.relay.cut)
                return

    def abort(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.relay.connections.pop(self, None)
        for end in self.ends:
            if end.transport is not None:
                end.transport.abort()


class Relay:
    """Listens on a port of its own and forwards each connection to `target`. Faults apply to all connections.
    While `is_down`, new connections are reset. `stalled` holds the stalled directions, and `cut_limit` a
    direction and the number of bytes until the link is cut."""

    def __init__(
        self, target: tuple[str, int], seed: int, delay_s: float = 0.0, jitter_s: float = 0.0
    ) -> None:  # fmt: skip
        self.target, self.random = target, Random(seed)
        self.delay_s, self.jitter_s = delay_s, jitter_s
        self.loop = asyncio.get_running_loop()
        self.connections: dict[RelayedConnection, None] = {}
        self.connect_tasks: list[asyncio.Task[None]] = []
        self.stalled: set[int] = set()
        self.is_down = False
        self.reconnect_spread_s = 0.0  # upper bound of the random delay of a new connection
        self.cut_limit: tuple[int, int] | None = None
        self.forwarded_bytes = [0, 0]
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        self.server = await self.loop.create_server(
            lambda: RelayedConnection(self).ends[FORWARD], "127.0.0.1", self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def draw_delay(self) -> float:
        """Returns the one-way delay of the next bytes, in seconds."""
        return self.delay_s + self.jitter_s * self.random.random()

    def draw_connect_delay(self) -> float:
        """Returns the delay of the next connection, in seconds."""
        return self.reconnect_spread_s * self.random.random()

    # ---- faults

    def cut(self, direction: int | None = None) -> None:
        """Resets all connections, and each new one until `restore`. `direction` is ignored."""
        self.is_down = True
        self.break_all()

    def break_all(self) -> None:
        """Resets all connections; new ones may be opened at once, as on a flapping link."""
        for connection in list(self.connections):
            connection.abort()

    def cut_after(self, direction: int, count: int) -> None:
        """Cuts the link after `count` more bytes in `direction`. The cut may fall within a head or a body."""
        self.cut_limit = (direction, count)

    def stall(self, *directions: int) -> None:
        """Holds back the bytes of these directions (both by default) and closes no connection. With a single
        direction, this is a one-way cut."""
        self.stalled = set(directions or (FORWARD, BACKWARD))

    def set_delay(self, delay_s: float, jitter_s: float = 0.0) -> None:
        """Sets the one-way delay of each direction, and the upper bound of the random delay on top of it."""
        self.delay_s, self.jitter_s = delay_s, jitter_s

    def restore(self, reconnect_spread_s: float = 0.0) -> None:
        """Ends all faults except the delay, and forwards the bytes that were held back. From then on, each
        new connection is delayed by a random time of up to `reconnect_spread_s`."""
        self.is_down, self.stalled, self.cut_limit, self.reconnect_spread_s = (
            False, set(), None, reconnect_spread_s,
        )  # fmt: skip
        for connection in list(self.connections):
            connection.flush(FORWARD)
            connection.flush(BACKWARD)

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in self.connect_tasks:
            task.cancel()
        self.break_all()
