"""The deadlines of requests that clients wait for, in one place: a planned end brings all of them forward.

Whoever holds a request that a client waits for starts its timer here, whatever it waits for itself: the other
site, a store, a fetch that others have begun. The proxy's own requests are brought forward by the proxy.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, TypeVarTuple, Unpack

Args = TypeVarTuple("Args")


def _nothing() -> None:
    """Takes the place of a callback that is no longer needed, and of what that refers to."""


class TimedRequest(Protocol):
    """A request with a deadline; both times are in microseconds of the host's clock."""

    received_at: int
    time_left: int


class DeadlineTimer:
    """A timer on a client's deadline. `deadline_us` is that deadline by now, and the timer fires `offset_us`
    after it (microseconds, also negative)."""

    __slots__ = ("_deadlines", "_fire", "_handle", "deadline_us", "offset_us")

    def __init__(
        self, deadlines: Deadlines, deadline_us: int, offset_us: int, fire: Callable[[], object]
    ) -> None:
        self._deadlines, self._fire = deadlines, fire
        self.deadline_us, self.offset_us = deadline_us, offset_us
        self._handle = deadlines.call_at(deadline_us + offset_us, self._on_due)

    def _on_due(self) -> None:
        self._deadlines.timers.pop(self, None)
        fire, self._fire = self._fire, _nothing
        fire()

    def cancel(self) -> None:
        """Stops the timer: the request is answered, or its client has gone. Further calls do nothing."""
        self._handle.cancel()
        self._fire = _nothing  # breaks the reference cycle with the request's owner
        self._deadlines.timers.pop(self, None)

    def bring_forward(self, at_us: int) -> None:
        """Makes `at_us` the deadline if it is later."""
        if self.deadline_us > at_us:
            self.deadline_us = at_us
            self._handle.cancel()
            self._handle = self._deadlines.call_at(at_us + self.offset_us, self._on_due)


class Deadlines:
    """All timers on clients' deadlines that the stages of a process hold. `now_us` reads the host's clock."""

    def __init__(self, loop: asyncio.AbstractEventLoop, now_us: Callable[[], int]) -> None:
        self.loop, self.now_us = loop, now_us
        self.answer_by_us: int | None = None  # the latest deadline, once the process ends
        self.timers: dict[DeadlineTimer, None] = {}
        # Called with the new latest deadline before the timers are moved.
        self.on_brought_forward: list[Callable[[int], None]] = []

    def of(self, request: TimedRequest) -> int:
        """Returns the request's deadline, in microseconds of the host's clock."""
        deadline_us = request.received_at + request.time_left
        return deadline_us if self.answer_by_us is None else min(deadline_us, self.answer_by_us)

    def start(
        self, request: TimedRequest, fire: Callable[[Unpack[Args]], object], *args: Unpack[Args],
        offset_us: int = 0,
    ) -> DeadlineTimer:  # fmt: skip
        """Calls `fire(*args)` once, `offset_us` microseconds after the request's deadline."""
        timer = DeadlineTimer(self, self.of(request), offset_us, lambda: fire(*args))
        self.timers[timer] = None
        return timer

    def call_at(self, at_us: int, callback: Callable[[], object]) -> asyncio.TimerHandle:
        """Calls back at a time of the host's clock, or soon if it has passed."""
        return self.loop.call_later(max(0, at_us - self.now_us()) / 1e6, callback)

    def bring_forward(self, at_us: int) -> None:
        """Makes `at_us` the latest deadline of every request, open or still to come: the process ends."""
        self.answer_by_us = at_us if self.answer_by_us is None else min(at_us, self.answer_by_us)
        for callback in self.on_brought_forward:
            callback(self.answer_by_us)
        for timer in list(self.timers):
            timer.bring_forward(self.answer_by_us)
