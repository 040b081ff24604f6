"""A member's part goes over to the next process of its proxy, in an upgrade.

Two processes of one member can't both have its file, its address and its epoch. The old one ends what it has
in hand, lets go what would take longer, says that this life of the member ends, hands the lead on, and gives
up file and address; only then the next one begins. Meanwhile that one serves reads, and reports wait in it
(`RecordStage.expect`). Where the next one ends, the old one takes its part up again, as a new life.

`release` and `resume` are those of a front that another process can accept for (`upgrade/old.py`).
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

from magpiefront.group.service import GroupService
from magpiefront.net.house import House

HAND_S = 0.8  # what is in hand may end within so long, before it is let go
LOOK_S = 0.005


class Handing:
    """`busy`: is anything in hand? `leave`: the planned end of the member's part. `again`: begins it anew."""

    name = "group"
    socket: socket.socket | None = None  # none that is handed over: the next process binds its own

    def __init__(
        self, house: House, group: GroupService, busy: Callable[[], bool],
        leave: Callable[[], Awaitable[None]], again: Callable[[], None],
    ) -> None:  # fmt: skip
        self.house, self.group, self.busy, self.leave, self.again = house, group, busy, leave, again
        self.released = self.given = False
        self.task: asyncio.Task[None] | None = None

    def release(self) -> None:
        self.released = True
        if self.task is None:
            self.task = self.house.loop.create_task(self._hand())

    def resume(self) -> None:
        """What is not given up yet stays as it is."""
        self.released = False
        if self.given:
            self.given = False
            self.again()

    async def _hand(self) -> None:
        end = self.house.loop.time() + HAND_S
        while self.released and self.busy() and self.house.loop.time() < end:
            await asyncio.sleep(LOOK_S)
        if self.released:
            await self.leave()
            self.group.give_up()
            if self.released:
                self.given = True
            elif not self.group.stopped:
                self.again()
        self.task = None
