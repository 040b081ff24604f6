"""Shares the event loop's time among clients' connections that have sent more than one turn's work."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from time import monotonic
from typing import Protocol

MAX_TURN_S = 0.002  # time per turn of the event loop for bytes that had to wait; at least one connection's


class WaitingReader(Protocol):
    """A connection with bytes that are not parsed yet. `number` names it in the log."""

    number: int

    def parse_turn(self) -> bool:
        """Parses a bounded part of them. Returns whether it has to be called again in a later turn."""


class ReadTurns:
    """Round robin among connections whose bytes wait to be parsed. Everything else that the event loop has
    to do, such as timers, answers of nodes and new connections, comes between two turns."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float] = monotonic) -> None:
        self._loop, self._clock = loop, clock
        self._waiting: deque[WaitingReader] = deque()
        self._queued: set[WaitingReader] = set()
        self._longest_s, self._slowest = 0.0, 0

    def add(self, reader: WaitingReader) -> None:
        """Gives the connection a turn after those that wait already. Does nothing if it waits."""
        if reader in self._queued:
            return
        self._queued.add(reader)
        self._waiting.append(reader)
        if len(self._waiting) == 1:
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        began = now = self._clock()
        for _ in range(len(self._waiting)):
            reader = self._waiting.popleft()
            if reader.parse_turn():
                self._waiting.append(reader)
            else:
                self._queued.discard(reader)
            before, now = now, self._clock()
            if now - before > self._longest_s:
                self._longest_s, self._slowest = now - before, reader.number
            if now - began >= MAX_TURN_S:
                break
        if self._waiting:
            self._loop.call_soon(self._run)

    def take_slowest(self) -> int:
        """Returns the number of the connection whose turn took longest since the last call; 0 if none had
        one."""
        slowest, self._slowest, self._longest_s = self._slowest, 0, 0.0
        return slowest
