"""A loopback relay that stands in for the link between two sites, and fails like one."""

from __future__ import annotations

import asyncio
from collections import deque
from contextlib import suppress
from random import Random
from typing import cast

THERE, BACK = 0, 1  # from who connects to who listens, and the other way


class Half(asyncio.Protocol):
    """One end of a relayed connection."""

    def __init__(self, pair: Pair, way: int) -> None:
        self.pair, self.way = pair, way
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.pair.made(self)

    def data_received(self, data: bytes) -> None:
        self.pair.came(self.way, data)

    def eof_received(self) -> bool:
        self.pair.came(self.way, b"")
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is not None:
            self.pair.abort()
        else:
            self.pair.came(self.way, b"")


class Pair:
    """A relayed connection. What comes is passed on in order, each way for itself; no bytes are an end."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.ends = (Half(self, THERE), Half(self, BACK))
        self.queues: tuple[deque[tuple[float, bytes]], deque[tuple[float, bytes]]] = (deque(), deque())
        self.last = [0.0, 0.0]
        self.over = False

    def made(self, half: Half) -> None:
        if half.way == THERE:
            self.relay.pairs[self] = None
            self.relay.opening.append(self.relay.loop.create_task(self._connect()))

    async def _connect(self) -> None:
        pause = self.relay.pause()
        if pause:
            await asyncio.sleep(pause)
        if self.over or self.relay.is_down:
            self.abort()
            return
        try:
            await self.relay.loop.create_connection(lambda: self.ends[BACK], *self.relay.target)
        except OSError:
            self.abort()
            return
        self.flush(THERE)

    def came(self, way: int, data: bytes) -> None:
        if self.over:
            return
        # In order: what comes later is never sooner there.
        due = max(self.last[way], self.relay.loop.time() + self.relay.delay())
        self.last[way] = due
        self.queues[way].append((due, data))
        self.relay.loop.call_at(due, self.flush, way)

    def flush(self, way: int) -> None:
        out = self.ends[1 - way].transport
        queue, now = self.queues[way], self.relay.loop.time()
        if out is not None and out.is_closing():
            queue.clear()  # its reader has gone, and the other end hears of it by itself
        while queue and out is not None and not self.over and way not in self.relay.held:
            due, data = queue[0]
            if due > now + 0.0005:
                self.relay.loop.call_at(due, self.flush, way)
                return
            queue.popleft()
            if not data:
                if not out.is_closing() and out.can_write_eof():
                    with suppress(OSError):  # the kernel knows of its end already
                        out.write_eof()
                if all(e.transport is None or e.transport.is_closing() for e in self.ends):
                    self.abort()
                continue
            room = self.relay.room
            if room is not None and room[0] == way:
                data = data[: room[1]]
                self.relay.room = (way, room[1] - len(data))
            self.relay.passed[way] += len(data)
            out.write(data)
            if self.relay.room is not None and self.relay.room[1] <= 0:
                # Written before the cut, so that the end comes in the middle of a frame and not before it.
                self.relay.room = None
                self.relay.loop.call_soon(self.relay.cut)
                return

    def abort(self) -> None:
        if self.over:
            return
        self.over = True
        self.relay.pairs.pop(self, None)
        for end in self.ends:
            if end.transport is not None:
                end.transport.abort()


class Relay:
    """Listens on a port of its own and passes on to `target`. All faults hold for all its connections."""

    def __init__(
        self, target: tuple[str, int], seed: int, delay_s: float = 0.0, jitter_s: float = 0.0
    ) -> None:  # fmt: skip
        self.target, self.random = target, Random(seed)
        self.delay_s, self.jitter_s = delay_s, jitter_s
        self.loop = asyncio.get_running_loop()
        self.pairs: dict[Pair, None] = {}
        self.opening: list[asyncio.Task[None]] = []
        self.held: set[int] = set()
        self.is_down = False
        self.returning_s = 0.0  # connections come back one after the other, in any order, within so long
        self.room: tuple[int, int] | None = None
        self.passed = [0, 0]
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        self.server = await self.loop.create_server(lambda: Pair(self).ends[THERE], "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def delay(self) -> float:
        return self.delay_s + self.jitter_s * self.random.random()

    def pause(self) -> float:
        return self.returning_s * self.random.random()

    # ---- faults

    def cut(self, way: int | None = None) -> None:
        """All connections break, new ones are refused until `heal`."""
        self.is_down = True
        self.break_all()

    def break_all(self) -> None:
        """All connections break; new ones may be made at once (a link that flaps)."""
        for pair in list(self.pairs):
            pair.abort()

    def cut_after(self, way: int, count: int) -> None:
        """The link is cut once so many more bytes have gone that way: in the middle of a head or a body."""
        self.room = (way, count)

    def stall(self, *ways: int) -> None:
        """Bytes of these ways stay in the link; nothing is closed. With one way it is a one-way cut."""
        self.held = set(ways or (THERE, BACK))

    def slow(self, delay_s: float, jitter_s: float = 0.0) -> None:
        self.delay_s, self.jitter_s = delay_s, jitter_s

    def heal(self, returning_s: float = 0.0) -> None:
        self.is_down, self.held, self.room, self.returning_s = False, set(), None, returning_s
        for pair in list(self.pairs):
            pair.flush(THERE)
            pair.flush(BACK)

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in self.opening:
            task.cancel()
        self.break_all()
