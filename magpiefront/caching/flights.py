"""Requests that the cache has sent on, and who waits for each of them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from magpiefront.caching.rules import Answered, Asked, Fwd, Stored
from magpiefront.net.request import Request

Spot = tuple[bytes, tuple[bytes | None, ...]]  # a key and what its known Vary selects


@dataclass(slots=True, eq=False)
class Waiter:
    """A client's request for which one has gone on. `tries`: how many it has waited for before."""

    request: Request
    asked: Asked
    fwd: Fwd
    tries: int = 0
    collapsed: bool = False
    timer: asyncio.TimerHandle | None = None

    def rest(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


@dataclass(slots=True, eq=False)
class Flight:
    """One request behind. `wanted` is the stored answer that it validates; `keep` turns False for good once
    a write of its gauge is taken; `leader` is who is sent a long answer as it comes."""

    request: Request
    key: bytes
    gauge: bytes
    asked: Asked
    sent_us: int
    keep: bool
    spot: Spot | None = None  # where others may join
    wanted: Stored | None = None
    shared: bool = False  # may others have waited for it?
    refresh: bool = False  # for nobody who waits (RFC 5861, 3)
    stripped: bool = False  # were its client's own conditions left out?
    leader: Waiter | None = None
    waiters: dict[Request, Waiter] = field(default_factory=dict)  # all of them, with the leader
    answered: Answered | None = None
    received_us: int = 0
    body: list[bytes] = field(default_factory=list)
    size: int = 0
    held: int = 0  # bytes of the store's room
    keeping: bool = False  # a long answer is being put aside while it comes
    streaming: bool = False  # ... and sent to the leader
    held_back: bool = False
