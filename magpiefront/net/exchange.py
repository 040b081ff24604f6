"""One message to a cache node, from its first byte until something comes of it: an attempt, or a probe."""

from __future__ import annotations

import asyncio
from typing import Protocol

from magpiefront.interface import Outcome
from magpiefront.net.answer import Answer
from magpiefront.net.request import Request

PROBE_TIMEOUT_S = 0.4  # probes have no time-out in the settings
TOLD_LESS_US = 25_000  # a node is told of so much less time than is left: requests take some on the way
STALL_S = 1.5


class Carrier(Protocol):
    """The connection that an exchange is on."""

    written: bool  # has all of the message gone?
    paused: bool
    heard_at: float

    def give_up(self, exchange: Exchange) -> None: ...
    def spare_for_others(self) -> None: ...
    def pause(self) -> None: ...
    def resume(self) -> None: ...


class Target(Protocol):
    """The node that an exchange is meant for."""

    name: str
    host_header: bytes

    @property
    def closed(self) -> bool:
        """May nothing new begin there?"""

    def begin(self, exchange: Exchange) -> None: ...


class Host(Protocol):
    """Who sends attempts and probes, and is told what became of them."""

    def now_us(self) -> int: ...

    def look_first(self, a: Attempt) -> bool:
        """May this attempt time out now? Not where its answer may have come and was not read yet."""

    def attempt_ended(self, a: Attempt, outcome: Outcome, answer: Answer | None) -> None: ...
    def stream_began(self, a: Attempt, answer: Answer) -> None: ...
    def stream_goes_on(self, a: Attempt, body: bytes) -> None: ...
    def probed(self, p: Probe, outcome: Outcome, answer: Answer | None) -> None: ...


class Exchange:
    """One message to a cache node, until something comes of it or the proxy stops waiting."""

    __slots__ = ("connection", "done", "node", "opening", "sent_at", "task", "timer")

    def __init__(self, node: Target, now_us: int) -> None:
        self.node, self.sent_at, self.done = node, now_us, False
        self.connection: Carrier | None = None
        self.opening: Carrier | None = None  # the connection that is made for it
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def message(self) -> list[bytes]:
        raise NotImplementedError

    def report(self, outcome: Outcome, answer: Answer | None) -> None:
        raise NotImplementedError

    def end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        if self.done:
            return
        self.done = True
        self.opening = None
        if self.timer is not None:
            self.timer.cancel()
        if self.connection is not None:
            self.connection.give_up(self)
        elif self.task is not None:
            self.task.cancel()
        self.report(outcome, answer)

    @property
    def begun(self) -> bool:
        return self.connection is not None

    def may_begin(self) -> bool:
        """Asked right before the first byte is written: what held when it was decided may be long ago."""
        return True

    def whole(self) -> None:
        """Its last byte has gone."""

    def expire(self) -> None:
        """Its time is over."""
        never = self.connection is None or not self.connection.written
        self.end(Outcome.MOOT if never else Outcome.TIMEOUT)


class Attempt(Exchange):
    __slots__ = ("begin_by", "expire_at", "host", "looked", "number", "request", "streaming")

    def __init__(self, host: Host, request: Request, number: int, node: Target, now: int, until: int) -> None:
        super().__init__(node, now)
        self.host, self.request, self.number, self.expire_at = host, request, number, until
        self.begin_by = until
        self.streaming = False
        self.looked = False  # whether its answer had come, when its time was over

    def may_begin(self) -> bool:
        """Not to a node that has begun to drain while the connection came up, not past the window for
        repeats, and not for a client that has gone."""
        request = self.request
        if request.answered or self.node.closed or self.host.now_us() > self.begin_by:
            return False
        return request.client_gone is None or not request.client_gone()

    def message(self) -> list[bytes]:
        r = self.request
        left = max(1, self.expire_at - self.host.now_us())
        told = max(1, left - min(TOLD_LESS_US, left // 2)) / 1e6
        head = b"%b %b HTTP/1.1\r\nHost: %b\r\nReq-Id: %b\r\nReq-Deadline: %.3f\r\n%b\r\n" % (
            r.method, r.target, self.node.host_header, r.wire_id, told, r.more,
        )  # fmt: skip
        return [head, *r.body]

    def expire(self) -> None:
        if not self.done and (not self.begun or self.host.look_first(self)):
            super().expire()

    def report(self, outcome: Outcome, answer: Answer | None) -> None:
        self.host.attempt_ended(self, outcome, answer)
        # Guards against a circle with its request, which no count of references would ever free.
        del self.request

    def whole(self) -> None:
        self.request.tally.tries += 1

    def hold_back(self) -> None:
        if self.connection is not None:
            self.connection.pause()

    def let_go(self) -> None:
        if self.connection is not None:
            self.connection.resume()

    def begin_stream(self, answer: Answer) -> None:
        if self.request.answered:
            self.end(Outcome.CANCELLED)
            return
        self.streaming = True
        if self.timer is not None:
            self.timer.cancel()
        self.host.stream_began(self, answer)


class Probe(Exchange):
    __slots__ = ("host", "path")

    def __init__(self, host: Host, node: Target, now_us: int, path: bytes) -> None:
        super().__init__(node, now_us)
        self.host, self.path = host, path

    def message(self) -> list[bytes]:
        return [b"GET %b HTTP/1.1\r\nHost: %b\r\n\r\n" % (self.path, self.node.host_header)]

    def report(self, outcome: Outcome, answer: Answer | None) -> None:
        self.host.probed(self, outcome, answer)


def stalled(attempt: Attempt, now: float) -> bool:
    """Guards against nodes that fall silent in the middle of a long answer, which has no other time-out."""
    c = attempt.connection
    return attempt.streaming and c is not None and not c.paused and now - c.heard_at > STALL_S
