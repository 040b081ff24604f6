"""A connection to a cache node. It carries one exchange at a time, with a rest between two (see `reuse`)."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

import httptools

from magpiefront.interface import NEVER_RAN, Outcome
from magpiefront.net.answer_reader import AnswerReader
from magpiefront.net.exchange import Attempt, Exchange
from magpiefront.net.http1 import MAX_BUFFERED_BYTES, PARSER_ERRORS, HeadTooLong
from magpiefront.net.socket_state import SocketState, set_discarding, unacknowledged
from magpiefront.reuse import WRITE_STALL_S, ConnectionLifecycle, ConnectionState, StrayReason

# An answer of unknown length that is not complete this long after its first body bytes is streamed to the
# client.
STREAM_AFTER_S = 0.05
MAX_PAUSE_S = 0.25  # a longer pause within an answer is reported; most nodes that work do not pause so long
# After such a pause and before it is reported: a process that reads late may then find that more bytes of the
# answer had already arrived.
RECHECK_S = 0.02
# A longer message may lie in the kernel's send buffer for seconds behind a node that reads slowly.
LONG_MESSAGE_BYTES = 64 * 1024


@dataclass(slots=True, frozen=True)
class Stray:
    """Unsolicited bytes, which are no answer to any request. `after_s` is the time since the connection's
    last answer, in seconds; `size` is the number of bytes, 0 if they were not read."""

    connection: NodeConnection
    reason: StrayReason
    after_s: float
    size: int


class ConnectionOwner(Protocol):
    """What a connection needs from its node. `clock` returns seconds and always advances, unlike the event
    loop's time, which stands still during a turn of the loop."""

    name: str

    @property
    def read_buffer(self) -> memoryview: ...
    @property
    def loop(self) -> asyncio.AbstractEventLoop: ...
    def clock(self) -> float: ...
    def put_back(self, connection: NodeConnection) -> None: ...
    def connection_closed(self, connection: NodeConnection) -> None: ...
    def drop_idle(self, connection: NodeConnection) -> None: ...
    def report_stray(self, stray: Stray) -> None: ...


class NodeConnection(AnswerReader):
    """Writes the messages of exchanges and reads their answers.

    `number` is the connection's number among those that the pool has opened, from 1. `written`: the whole
    message has been handed to the kernel. `paused`: reading is paused, since the client reads slowly.
    `established`: the task that connects it has ended well. `streams`: the answer is streamed to the client.
    `pause_watched`: a timer watches for pauses in the answer. `detached`: `detach_exchange` was called while
    the connection was being made, so that it is kept for another exchange. `discarding`: whenever the
    connection is closed, even by the end of this process, the kernel discards what it has not sent.
    """

    __slots__ = ("body_reads", "detached", "discarding", "established", "exchange", "last_data_at",
                 "last_target", "lifecycle", "node", "number", "pause_watched", "paused", "socket_state",
                 "streams", "written")  # fmt: skip

    def __init__(self, node: ConnectionOwner, exchange: Exchange, number: int = 0) -> None:
        super().__init__()
        self.node, self.number = node, number
        self.exchange: Exchange | None = exchange
        self.lifecycle = ConnectionLifecycle()
        self.written = self.paused = self.pause_watched = self.streams = self.detached = False
        self.established = self.discarding = False
        self.body_reads = 0  # how often a part of the answer's body was read while more was to come
        self.last_data_at = 0.0  # loop time at which more of the answer was last read
        self.last_target = b""  # target of the request that was answered last
        self.socket_state: SocketState | None = None

    # ---- the exchange

    def start(self, exchange: Exchange, checked_at: float | None = None) -> None:
        """Writes the exchange's message, or ends the exchange as MOOT if it must not begin any more. For a
        connection from the pool, `checked_at` is when it was last checked for unread bytes."""
        if not exchange.may_begin():
            self.exchange = None
            self.lifecycle.release_unused(self.node.clock())
            self.node.put_back(self)
            exchange.end(Outcome.MOOT)
            return
        self.exchange, exchange.connection = exchange, self
        self.lifecycle.begin_request()
        self.expect_answer()
        self.written = self.pause_watched = self.streams = False
        self.body_reads = 0
        if isinstance(exchange, Attempt) and exchange.request.size > LONG_MESSAGE_BYTES:
            self._set_discarding(True)
        self.transport.writelines(exchange.message())
        if not self.transport.get_write_buffer_size() and not self.transport.is_closing():
            self.written = True
            exchange.fully_sent()
        if checked_at is not None and self.node.clock() - checked_at > WRITE_STALL_S and self._has_unread():
            self._end_by_stray(StrayReason.CROSSED, 0)

    def has_nothing_unread(self) -> bool:
        """Checks an idle connection before it is reused. Returns False if it is closing, or if the kernel
        holds anything that the event loop has not read yet: the end of the connection, since the next request
        would end as a reset, or bytes, such as a second copy of the last answer, which would be taken for the
        next answer. Reports unread bytes as a stray."""
        if self.transport.is_closing():
            return False
        if not self._has_unread():
            return True
        if self.socket_state is not None and not self.socket_state.closed():
            self._report_stray(StrayReason.UNREAD, 0)
        return False

    def _has_unread(self) -> bool:
        if self.socket_state is None:
            self.socket_state = SocketState(self.transport)
        return self.socket_state.readable()

    def detach_exchange(self) -> None:
        """Called when the exchange starts on another connection while this one is being made. Connecting
        continues, and then this connection waits in the pool for another exchange."""
        self.exchange, self.detached = None, True

    def give_up(self, exchange: Exchange) -> None:
        """Closes the connection if it still carries this exchange."""
        if self.exchange is exchange:
            self.close()
            self.exchange = None

    def has_arrived(self) -> bool:
        """Whether the whole message has arrived at the node's machine."""
        return self.written and not unacknowledged(self.transport)

    def _set_discarding(self, on: bool) -> None:
        if self.discarding is not on:
            self.discarding = on
            set_discarding(self.transport, on)

    def close(self) -> None:
        """Closes the connection. Of a message that has not arrived as a whole, no more is delivered: the
        kernel would otherwise go on sending what it holds, and the node would run it at any later time."""
        if self.exchange is not None:
            if self.answer.status:
                self.exchange.answer_lost(self.answer.status)
            if not self.transport.is_closing() and not self.has_arrived():
                self._set_discarding(True)
        self.lifecycle.close()
        self.transport.abort()
        self.answer = self.answer_type()

    def fail(self) -> None:
        """Closes the connection and ends its exchange: as RESET if the whole message was written, otherwise
        as CONNECT_FAILED."""
        # A node that has sent half an answer or garbage may leave the connection open. If it were never
        # closed, it would hold a slot of the pool and a descriptor on either side for good.
        self.close()
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.end(Outcome.RESET if self.written else Outcome.CONNECT_FAILED)

    def _end_by_stray(self, reason: StrayReason, size: int) -> None:
        """Ends the exchange as RESET: the bytes that arrived are not its answer, and the request may still
        run."""
        self._report_stray(reason, size)
        self.close()
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.end(Outcome.RESET)

    def _report_stray(self, reason: StrayReason, size: int) -> None:
        after_s = max(0.0, self.node.clock() - self.lifecycle.answered_at)
        self.node.report_stray(Stray(self, reason, after_s, size))

    # ---- the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.parser = httptools.HttpResponseParser(self)
        self.transport.set_write_buffer_limits(high=0)
        exchange = self.exchange
        if exchange is not None and not exchange.done:
            exchange.task = exchange.opening = None
            self.start(exchange)
        elif self.detached:
            self.lifecycle.release_unused(self.node.clock())
            self.node.put_back(self)
        else:
            self.exchange = None
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.parser is None:
            return  # it has been called before
        self.node.connection_closed(self)
        self.fail()
        super().connection_lost(exc)

    def eof_received(self) -> bool:
        if self.exchange is not None and self.ends_by_close():
            self.complete = self.framed = True
            self._completed()
        else:
            self.fail()
        return False

    def pause_writing(self) -> None:
        pass

    def resume_writing(self) -> None:
        """Called once the write buffer is empty, since its high-water mark is 0."""
        if not self.written and self.exchange is not None:
            self.written = True
            self.exchange.fully_sent()

    def get_buffer(self, size_hint: int) -> memoryview:
        """The buffer that the event loop reads into (`asyncio.BufferedProtocol`): one for all connections,
        which bounds what one read returns."""
        return self.node.read_buffer

    def buffer_updated(self, size: int) -> None:
        """`size` bytes have been read into the buffer."""
        self.data_received(self.node.read_buffer[:size])

    def data_received(self, data: bytes | memoryview) -> None:
        if self.exchange is None:
            reason = self.lifecycle.stray_reason()
            if reason is not None:
                self._report_stray(reason, len(data))
            self.close()
            return
        if not self.begun and self.lifecycle.used and self._is_early():
            self._end_by_stray(StrayReason.EARLY, len(data))
            return
        try:
            self.feed(data)
        except (*PARSER_ERRORS, HeadTooLong):
            if not self.complete:
                self.fail()
                return
            self.surplus = True
        if self.exchange is not None:
            self._check_progress()

    def _is_early(self) -> bool:
        """Whether an answer that begins now comes before the node can have received the whole request."""
        unacknowledged_bytes = unacknowledged(self.transport) if self.written else 0
        return self.lifecycle.precedes_request(self.written, unacknowledged_bytes)

    def _check_progress(self) -> None:
        """Called after bytes have been read. Ends the exchange if its answer is complete or unusable;
        otherwise watches for a pause in the answer."""
        answer = self.answer
        if self.complete:
            self._completed()
        elif self.is_unusable():
            self._end_incomplete()
        elif (answer.status or self.has_partial_message) and self.exchange is not None:
            self.last_data_at = self.node.loop.time()
            self.body_reads += answer.size > 0
            if not self.pause_watched:
                self.pause_watched = True
                self.node.loop.call_later(MAX_PAUSE_S, self._check_pause, self.exchange, 0.0)

    def _check_pause(self, exchange: Exchange, rechecked: float) -> None:
        """Reports a node that stops sending in the middle of an answer: another node could answer long before
        the client's deadline. The attempt goes on, as the node may only be slow.

        The pause is reported at a second check, `RECHECK_S` after the first, if no data has been read between
        them. `rechecked` is the `last_data_at` of the first check, or 0.0 if this is the first one."""
        if self.exchange is not exchange or self.complete or self.streams:
            return
        left_s = self.last_data_at + MAX_PAUSE_S - self.node.loop.time()
        if left_s > 0:
            self.node.loop.call_later(left_s + 0.001, self._check_pause, exchange, 0.0)
        elif rechecked != self.last_data_at:
            self.node.loop.call_later(RECHECK_S, self._check_pause, exchange, self.last_data_at)
        elif not isinstance(exchange, Attempt):
            self.fail()
        elif self.answer.status >= 200 and not self.is_for_client(self.answer):
            self._end_incomplete()
        else:
            exchange.host.answer_paused(exchange)

    def may_end_by_close(self) -> bool:
        """As above; not if the answer is needed whole, for that could not be known."""
        exchange = self.exchange
        needed_whole = isinstance(exchange, Attempt) and exchange.request.whole_answer
        return self.close_delimits and not needed_whole

    @property
    def is_arriving(self) -> bool:
        """Whether the body of an answer for the client is arriving. One that came at once and stopped may
        never go on."""
        quiet_s = self.node.loop.time() - self.last_data_at
        if self.body_reads < 2 or quiet_s > MAX_PAUSE_S:
            return False
        return self.is_for_client(self.answer) and (self.framed or self.may_end_by_close())

    def stream_if_arriving(self) -> bool:
        """Begins to stream the answer if its body is arriving. Returns whether it did."""
        exchange = self.exchange
        if not isinstance(exchange, Attempt) or not self.is_arriving:
            return False
        self._stream(exchange)
        return exchange.streaming

    def _end_incomplete(self) -> None:
        """Ends an exchange whose answer can't be told from a truncated one, or is an error with too large a
        body. An error counts by its status and fields even without its body; any other answer fails."""
        exchange, answer = self.exchange, self.answer
        if exchange is None or answer.status < 200 or self.is_for_client(answer):
            self.fail()
        else:
            exchange.end(answer.outcome(), answer)

    def _completed(self) -> None:
        exchange, answer = self.exchange, self.answer
        assert exchange is not None
        if not self.framed:
            self._end_incomplete()
            return
        now = self.node.clock()
        self.last_target = exchange.request.target if isinstance(exchange, Attempt) else b""
        if self.surplus:
            self.lifecycle.answered_at = now
            self._report_stray(StrayReason.SURPLUS, 0)
        outcome = answer.outcome()
        reusable = self.written and self.keep_alive and not self.surplus
        self.lifecycle.end_request(now, reusable and outcome not in NEVER_RAN)
        self.exchange, exchange.connection = None, None
        self.answer = self.answer_type()  # a connection that rests must not hold the body of its last answer
        self.resume()
        if self.lifecycle.state is ConnectionState.RESTING:
            self._set_discarding(False)
            self.node.put_back(self)
        else:
            self.close()
        exchange.end(outcome, answer)

    def pause(self) -> None:
        """Pauses reading, since the client reads slowly."""
        if not self.paused:
            self.paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        if self.paused:
            self.paused = False
            self.last_data_at = self.node.loop.time()
            self.transport.resume_reading()

    def on_body(self, body: bytes) -> None:
        exchange, answer = self.exchange, self.answer
        self.message_size.unfinished_bytes = 0
        if exchange is None or self.complete:
            return
        answer.size += len(body)
        self.check_size(answer.size)
        if isinstance(exchange, Attempt):
            if exchange.streaming:
                exchange.host.stream_data(exchange, body)
            elif answer.status == 200 or self.is_for_client(answer):
                answer.body.append(body)
                if answer.size > MAX_BUFFERED_BYTES or (answer.length or 0) > MAX_BUFFERED_BYTES:
                    self._stream(exchange)
                elif self.framed and answer.length is None and len(answer.body) == 1 and (
                    not exchange.request.whole_answer
                ):  # fmt: skip
                    self.node.loop.call_later(STREAM_AFTER_S, self._stream, exchange)
        elif answer.size <= MAX_BUFFERED_BYTES:
            answer.body.append(body)

    def _stream(self, attempt: Attempt) -> None:
        # A long answer may arrive slowly. If it were held back until 64 KiB of it had arrived, its first
        # bytes would reach the client late, and its attempt would time out while the answer is arriving.
        if self.exchange is attempt and not self.complete and not attempt.streaming:
            self.streams = True
            attempt.begin_stream(self.answer)
