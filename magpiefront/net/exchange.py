"""One message to a cache node, an attempt or a probe, from its first byte until its outcome is known."""

from __future__ import annotations

import asyncio
from typing import Protocol

from magpiefront.interface import Outcome
from magpiefront.net.answer import Answer
from magpiefront.net.request import Request
from magpiefront.repeat_limits import NO_GROUP, ServerGroup

PROBE_TIMEOUT_S = 0.4  # the settings have no timeout for probes
# The deadline sent to a node is shorter than the time left by this much, in microseconds (or by half of the
# time left, if that is less): the request takes some of the time on its way to the node.
DEADLINE_MARGIN_US = 25_000
# A streamed answer has no deadline: it fails if no more of it arrives for STREAM_STALL_S, as a client is
# closed that reads nothing for as long, and for STREAM_STALL_WHEN_FULL_S if its connection is needed.
STREAM_STALL_S = 20.0
STREAM_STALL_WHEN_FULL_S = 1.5


class ExchangeConnection(Protocol):
    """The connection that an exchange is on."""

    written: bool  # whether the whole message has been handed to the kernel
    paused: bool  # whether reading is paused, since the client reads slowly
    last_data_at: float  # event loop time at which more of the answer was last read

    def give_up(self, exchange: Exchange) -> None: ...
    def has_arrived(self) -> bool: ...
    def detach_exchange(self) -> None: ...
    def pause(self) -> None: ...
    def resume(self) -> None: ...

    @property
    def is_arriving(self) -> bool:
        """Whether the body of an answer for the client is arriving."""

    def stream_if_arriving(self) -> bool:
        """Begins to stream the answer if its body is arriving. Returns whether it did."""


class ExchangeNode(Protocol):
    """The node that an exchange is sent to."""

    name: str
    host_header: bytes

    @property
    def unavailable(self) -> bool:
        """Whether no new exchange may begin on this node."""

    def begin(self, exchange: Exchange) -> None: ...


class ExchangeHost(Protocol):
    """Sends attempts and probes, and receives their outcomes."""

    def now_us(self) -> int: ...

    def may_time_out(self, attempt: Attempt) -> bool:
        """Whether an attempt may time out now. False if its answer may have arrived but is not read yet."""

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, answer: Answer | None) -> None: ...
    def answer_paused(self, attempt: Attempt) -> None: ...
    def stream_began(self, attempt: Attempt, answer: Answer) -> None: ...
    def stream_data(self, attempt: Attempt, body: bytes) -> None: ...
    def probed(self, probe: Probe, outcome: Outcome, answer: Answer | None) -> None: ...


class Exchange:
    """One message to a cache node, until its outcome is known or the proxy stops waiting for it. `sent_at`
    is when it was created, in microseconds."""

    __slots__ = ("connection", "done", "node", "opening", "sent_at", "task", "timer")

    def __init__(self, node: ExchangeNode, now_us: int) -> None:
        self.node, self.sent_at, self.done = node, now_us, False
        self.connection: ExchangeConnection | None = None
        self.opening: ExchangeConnection | None = None  # the new connection that is being made for it
        self.task: asyncio.Task[None] | None = None  # connects `opening`
        self.timer: asyncio.TimerHandle | None = None  # ends it when its time is over

    def message(self) -> list[bytes]:
        """The bytes to write, in parts."""
        raise NotImplementedError

    def report(self, outcome: Outcome, answer: Answer | None) -> None:
        """Reports the outcome to the host. Called exactly once."""
        raise NotImplementedError

    def end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        """Ends the exchange and closes its connection, or stops connecting. Later calls do nothing."""
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
        """Whether the exchange has started on a connection."""
        return self.connection is not None

    @property
    def fully_written(self) -> bool:
        """Whether the whole message has been handed to the kernel, on a connection that is still its own."""
        return self.connection is not None and self.connection.written

    def may_begin(self) -> bool:
        """Whether the message may still be sent. Called right before its first byte is written, since much
        time may have passed since the decision to send it."""
        return True

    def fully_sent(self) -> None:
        """Called when the last byte of the message has been handed to the kernel."""

    def answer_lost(self, status: int) -> None:
        """Called when the connection is closed after the head of the answer and before its end. `status` is
        that of the head."""

    def expire(self) -> None:
        """Called when the time for the exchange is over. Ends it as TIMEOUT, or as MOOT if its message has
        not been written completely."""
        self.end(Outcome.TIMEOUT if self.fully_written else Outcome.MOOT)


class Attempt(Exchange):
    """An attempt to get a request answered by a node. It expires at `expire_at`, and its last byte must
    arrive at the node by `not_after`, both in microseconds of the host's clock. `number` is its index among
    the request's attempts, and `group` that of the node.
    """

    __slots__ = ("arrival_timer", "expire_at", "group", "host", "lag_s_before", "late_check_done",
                 "not_after", "number", "request", "streaming")  # fmt: skip

    def __init__(
        self, host: ExchangeHost, request: Request, number: int, node: ExchangeNode, now: int, expire_at: int
    ) -> None:
        super().__init__(node, now)
        self.host, self.request, self.number, self.expire_at = host, request, number, expire_at
        self.not_after = expire_at
        self.group: ServerGroup = NO_GROUP
        self.arrival_timer: asyncio.TimerHandle | None = None  # checks at `not_after` what has arrived
        self.streaming = False
        self.lag_s_before = 0.0  # how long the event loop had been late in total when it was created
        self.late_check_done = False  # whether its expiry was postponed once to read what had arrived

    def may_begin(self) -> bool:
        """False if the node began to drain while the connection was being made, if the window for repeats is
        over, or if the request is answered or its client has gone."""
        request = self.request
        if request.answered or self.node.unavailable or self.host.now_us() > self.not_after:
            return False
        return request.client_gone is None or not request.client_gone()

    def message(self) -> list[bytes]:
        request = self.request
        left_us = max(1, self.expire_at - self.host.now_us())
        deadline_s = max(1, left_us - min(DEADLINE_MARGIN_US, left_us // 2)) / 1e6
        head = b"%b %b HTTP/1.1\r\nHost: %b\r\nReq-Id: %b\r\nReq-Deadline: %.3f\r\n%b\r\n" % (
            request.method, request.target, self.node.host_header, request.wire_id, deadline_s,
            request.extra_fields,
        )  # fmt: skip
        return [head, *request.body]

    def arrive_by(self, at_us: int) -> None:
        """Gives the attempt up at `at_us` if its last byte has not arrived at the node's machine: the nodes
        drop repeats of the request only until then."""
        if self.done or (self.arrival_timer is not None and at_us >= self.not_after):
            return
        self.not_after = min(self.not_after, at_us)
        if self.arrival_timer is not None:
            self.arrival_timer.cancel()
        left_us = max(0, at_us - self.host.now_us())
        self.arrival_timer = asyncio.get_running_loop().call_later(left_us / 1e6, self._check_arrival)

    def _check_arrival(self) -> None:
        if self.connection is None:
            self.end(Outcome.MOOT)
        elif not self.connection.has_arrived():
            # The kernel may have sent bytes that this process does not know to have arrived.
            self.end(Outcome.RESET if self.fully_written else Outcome.MOOT)

    def expire(self) -> None:
        """As above, but an answer that is arriving is streamed from here on, or awaited until the request's
        deadline if it is needed whole: nothing better can come in what time is left."""
        if self.done or (self.begun and not self.host.may_time_out(self)):
            return
        connection = self.connection
        if connection is None or self.streaming:
            super().expire()
        elif self.request.whole_answer:
            self._await_rest(connection)
        elif not connection.stream_if_arriving():
            super().expire()

    def _await_rest(self, connection: ExchangeConnection) -> None:
        """Lets an answer arrive until the request's deadline; ends the attempt if none is arriving."""
        left_us = self.request.deadline - self.host.now_us()
        if left_us > 0 and connection.is_arriving:
            self.timer = asyncio.get_running_loop().call_later(left_us / 1e6, self.expire)
        else:
            super().expire()

    def report(self, outcome: Outcome, answer: Answer | None) -> None:
        if self.arrival_timer is not None:
            self.arrival_timer.cancel()
        self.host.attempt_ended(self, outcome, answer)
        # Breaks the reference cycle with the request, which reference counting would never free.
        del self.request

    def fully_sent(self) -> None:
        self.request.counts.tries += 1

    def pause_response(self) -> None:
        """Pauses reading the answer, since the client reads slowly."""
        if self.connection is not None:
            self.connection.pause()

    def resume_response(self) -> None:
        """Resumes reading the answer."""
        if self.connection is not None:
            self.connection.resume()

    def begin_stream(self, answer: Answer) -> None:
        """Streams the answer to the client from here on. Cancels the attempt's timeout, so that the answer as
        a whole has none."""
        if self.request.answered:
            self.end(Outcome.CANCELLED)
            return
        self.streaming = True
        if self.timer is not None:
            self.timer.cancel()
        self.host.stream_began(self, answer)


class Probe(Exchange):
    """A health check: a GET without a request behind it."""

    __slots__ = ("host", "path")

    def __init__(self, host: ExchangeHost, node: ExchangeNode, now_us: int, path: bytes) -> None:
        super().__init__(node, now_us)
        self.host, self.path = host, path

    def message(self) -> list[bytes]:
        return [b"GET %b HTTP/1.1\r\nHost: %b\r\n\r\n" % (self.path, self.node.host_header)]

    def report(self, outcome: Outcome, answer: Answer | None) -> None:
        self.host.probed(self, outcome, answer)


def stalled(attempt: Attempt, now: float, limit_s: float) -> bool:
    """Whether a node has sent nothing for longer than `limit_s` in the middle of a streamed answer, which has
    no other timeout. `now` is the event loop's time."""
    connection = attempt.connection
    return (
        attempt.streaming
        and connection is not None
        and not connection.paused
        and now - connection.last_data_at > limit_s
    )
