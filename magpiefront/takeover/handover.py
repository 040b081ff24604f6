"""Hands a group member over to the next process of its proxy during an upgrade.

Two processes of one member can't share its file, its address and its epoch. So the old process takes no new
reports, completes those in hand for as long as their clients may wait, releases what takes longer, announces
its planned end to the group, transfers leadership, and gives up the file and the address. Only then does the
next process start as the member. Until then the next process serves reads and makes reports wait
(`RecordStage.await_ownership`). If the next process ends, the old one becomes the member again, with a new
process number.

`MemberHandover` implements `SharedFront` of `upgrade/old_process.py`, like the fronts whose listening sockets
are handed over.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

from magpiefront.group.service import GroupService
from magpiefront.net.runtime import Runtime
from magpiefront.net.shutdown import MAX_DEADLINE_S

# How long reports and requests in hand may take to complete before they are released. No client waits longer
# for one (protocol page, "Figures").
MAX_DRAIN_S = MAX_DEADLINE_S
POLL_INTERVAL_S = 0.005  # between checks whether anything is in hand


class MemberHandover:
    """Hands the member over to the next process and takes it back if that process ends.

    `is_busy` returns whether this process has any report or request in hand, `accept_reports` sets whether it
    takes new reports, `leave` ends the member's work as planned, and `rejoin` starts the member again in this
    process.
    """

    name = "group"
    socket: socket.socket | None = None  # no socket is handed over: the next process binds its own

    def __init__(
        self, runtime: Runtime, group: GroupService, is_busy: Callable[[], bool],
        accept_reports: Callable[[bool], None], leave: Callable[[], Awaitable[None]],
        rejoin: Callable[[], None],
    ) -> None:  # fmt: skip
        self.runtime, self.group, self.is_busy, self.leave, self.rejoin = (
            runtime, group, is_busy, leave, rejoin
        )  # fmt: skip
        self.accept_reports = accept_reports
        self.released = self.handed_over = False
        self.task: asyncio.Task[None] | None = None

    def release(self) -> None:
        """Starts to hand the member over."""
        self.released = True
        self.accept_reports(False)
        if self.task is None:
            self.task = self.runtime.loop.create_task(self._hand_over())

    def resume(self) -> None:
        """Takes the member back. A handover that still waits for reports in hand is abandoned. One that has
        begun to leave the group finishes that first, and then starts the member again."""
        self.released = False
        self.accept_reports(True)
        if self.handed_over:
            self.handed_over = False
            self.rejoin()

    async def _hand_over(self) -> None:
        end = self.runtime.loop.time() + MAX_DRAIN_S
        while self.released and self.is_busy() and self.runtime.loop.time() < end:
            await asyncio.sleep(POLL_INTERVAL_S)
        if self.released:
            await self.leave()
            self.group.stop_for_handover()
            if self.released:
                self.handed_over = True
            elif not self.group.stopped:
                self.rejoin()
        self.task = None
