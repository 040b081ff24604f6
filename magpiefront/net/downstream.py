"""A client's connection: parses requests, submits them to the first stage one at a time, and writes the
answers in the order of the requests. Answers `/ready` itself."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Mapping, Sequence
from typing import Protocol

import httptools

from magpiefront.repeat_limits import FIRST_SENDING
from magpiefront.interface import RequestClass
from magpiefront.net.client_memory import ClientMemory
from magpiefront.net.events import EventLog, Reason
from magpiefront.net.http1 import MAX_BODY_BYTES, Connection, HeadTooLong, chunk, head
from magpiefront.net.memory_plan import MAX_UNCOUNTED_UNSENT_BYTES, REQUEST_ALLOWANCE_BYTES
from magpiefront.net.message_size import BODY_SLICE_BYTES, SLICE_BYTES
from magpiefront.net.metrics import Metrics
from magpiefront.net.pipeline import MAX_PIPELINED_REQUESTS, hold_time_us
from magpiefront.net.request import KEPT_FIELDS, METHODS, Request, Stage
from magpiefront.net.socket_state import SocketState, since_last_data_s
from magpiefront.net.turns import ReadTurns
from magpiefront.request_ids import OnceRequest, must_run_once

# A connection that can't be served is answered or closed within 3 s of connecting: at the first sweep after
# one of these timeouts, with half a second between two sweeps.
HEAD_TIMEOUT_S = 2.0  # for a complete head, and for the next bytes of a body
IDLE_TIMEOUT_S = 2.0  # for a connection on which no request is open
MIN_EVICTION_IDLE_S = 0.2  # without progress; only then may a connection be closed to make room for another
MIN_EVICTION_STALL_S = 0.5  # the same for a client that has sent part of a body
STALL_TIMEOUT_S = 20.0  # for a complete body, and for a client that does not read its answer
LINGER_TIMEOUT_S = 1.5  # how long a closed connection is read from, so that no RST destroys its last answer
MAX_MEMORY_PAUSE_S = 1.0  # for which part of a message waits for memory; then it is refused
JOINED_BYTES = 4096  # of an answer's body, up to which it is copied into one block with its head
MAX_LATENESS_US = 500_000  # after its deadline, an answer is of no use to its client
MAX_SLICES_PER_TURN = 4  # fed to the parser in one turn of the event loop, for one connection
MAX_ANSWERS_PER_TURN = 16  # given without a stage (`/ready`, errors) in one turn, on one connection


class FrontRuntime(Protocol):
    """What a front needs of the process. `classes` are the request classes that clients may name."""

    loop: asyncio.AbstractEventLoop
    metrics: Metrics
    events_log: EventLog

    @property
    def classes(self) -> Mapping[bytes, RequestClass]: ...

    def now_us(self) -> int:
        """Microseconds of a monotonic clock."""

    def log(self, text: str) -> None:
        """Writes a line to the log."""


class ConnectionOwner(Protocol):
    """What a client's connection needs of the front that accepted it."""

    runtime: FrontRuntime
    stage: Stage
    memory: ClientMemory
    turns: ReadTurns
    read_buffer: memoryview
    loop: asyncio.AbstractEventLoop
    stopping: bool

    @property
    def ending(self) -> bool:
        """Whether clients are to be disconnected because the process ends."""

    def client_lost(self, client: ClientConnection) -> None:
        """The connection is closed."""

    def relieve_answers(self) -> None:
        """Closes connections whose clients do not read, if unread answers take too much memory."""

    def answer_unconfirmed(self, request: OnceRequest) -> None:
        """A client has gone right after it was sent the answer to this request, which it may not have got."""


class ClientConnection(Connection):
    """A client's HTTP/1.1 connection, and the `Responder` of its requests.

    One request is served at a time (`request`); further ones wait in `queued`. `incoming` is the request
    that is being parsed. `unparsed`: bytes that were read and wait for a turn, or for room in the queue;
    nothing more is read meanwhile. `lingering`: the connection's sending side is closed, and what arrives is
    dropped. `closing`: no further request is accepted. `held` and `unsent`: the bytes in the account of
    memory for the message that is being read, and for answers that the client has not taken.
    """

    methods = METHODS
    allow = b"Allow: GET, PUT\r\n"
    __slots__ = ("answer_due_us", "backlog_since_us", "body_left", "chunked", "closing", "continuing",
                 "excess_requests", "front", "held", "hold_timer", "incoming", "last_progress_at",
                 "lingering", "max_unread_us", "memory_paused_at", "message_began_at", "number",
                 "paused_at_us", "pipelines", "queued", "read_at_us", "reading", "refusing_excess",
                 "request", "reserved", "served", "size", "socket_state", "unconfirmed", "unparsed",
                 "unsent", "wants_reservation", "writable")  # fmt: skip

    def __init__(self, front: ConnectionOwner, number: int = 0) -> None:
        super().__init__()
        self.front, self.number = front, number
        self.parser = httptools.HttpRequestParser(self)
        self.incoming = Request(self, FIRST_SENDING)
        self.request: Request | None = None  # the request that is being served
        self.queued: deque[Request] = deque()
        self.excess_requests = 0  # requests beyond MAX_PIPELINED_REQUESTS, which get a 503 each
        self.closing = self.lingering = self.chunked = self.continuing = False
        self.refusing_excess = False  # requests that are parsed now were held back too long: they get a 503
        self.reading = self.writable = True
        self.served = False  # whether a request was served
        self.unconfirmed: OnceRequest | None = None  # answered last, and the client has sent nothing since
        self.pipelines = False  # whether the client has sent a request before it had its last answer
        # Loop times, for the timeouts: when the current message began, and when the last progress was made.
        self.message_began_at = self.last_progress_at = front.loop.time()
        # The longest time (microseconds) for which the next bytes may have waited unread, because the
        # connection waited to be accepted or its reading was paused; and when it was paused.
        self.max_unread_us = self.paused_at_us = 0
        self.memory_paused_at = 0.0  # loop time when the current message first waited for memory; 0: never
        # Since when (microseconds) the queue has been full and more has waited to be read; 0: nothing waits.
        self.backlog_since_us = 0
        self.read_at_us = 0  # when the bytes that are parsed now arrived
        self.answer_due_us = 0  # the deadline of the request that was answered last
        self.size: int = 0  # of the body that is being read, in bytes
        self.body_left: int = 0  # bytes that are still to come of a body with a known length
        # Bytes of these for which memory is reserved, and whether it is still to be reserved.
        self.reserved, self.wants_reservation = 0, False
        self.held = self.unsent = 0
        self.unparsed: bytes = b""
        self.hold_timer: asyncio.TimerHandle | None = None
        self.socket_state: SocketState | None = None  # created at its first use

    @property
    def between_messages(self) -> bool:
        """Whether no message has been read in part."""
        return not self.has_partial_message and not self.unparsed

    @property
    def holds_memory(self) -> bool:
        """Whether it holds more than each connection may: part of a message, or requests that wait."""
        return self.held > REQUEST_ALLOWANCE_BYTES or bool(self.queued)

    @property
    def needs_exemption(self) -> bool:
        """Whether it holds nothing but part of a message, which only reading can complete and free."""
        return self.request is None and not self.queued and not self.between_messages

    @property
    def unreserved_bytes(self) -> int:
        """What is still to come of a body with a known length for which no room is reserved."""
        return self.body_left if self.wants_reservation else 0

    def reserve(self) -> None:
        """Called when room for `unreserved_bytes` has been reserved."""
        self.wants_reservation, self.reserved = False, self.body_left
        self.held += self.reserved

    @property
    def idle(self) -> bool:
        """Whether no request is open and no message has been read in part."""
        return self.request is None and not self._answers_due and self.between_messages

    def can_hand_over(self) -> bool:
        """Whether another process may take the connection over: it is idle, and all that was written has been
        sent."""
        if self.transport is None or self.lingering or self.closing or self.transport.is_closing():
            return False
        return self.idle and not self.transport.get_write_buffer_size()

    def client_gone(self) -> bool:
        """Whether the client has closed the connection, even if the event loop has not read this yet. If it
        has, its requests are cancelled."""
        if not self.lingering and not self.transport.is_closing() and not self._socket_state().closed():
            return False
        self._client_left()
        return True

    def _socket_state(self) -> SocketState:
        if self.socket_state is None:
            self.socket_state = SocketState(self.transport)
        return self.socket_state

    # ---- the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.transport.set_write_buffer_limits(high=MAX_UNCOUNTED_UNSENT_BYTES)

    def connection_lost(self, exc: Exception | None) -> None:
        self.front.client_lost(self)
        self._client_left()
        self._set_unsent(0)
        self.front.memory.forget(self)
        super().connection_lost(exc)
        del self.incoming  # its reference back would keep this object until the garbage collector runs

    def eof_received(self) -> bool:
        self._client_left()
        return False

    def _client_left(self) -> None:
        self._drop_queued()
        self.closing = self.lingering = True
        request, self.request = self.request, None
        if request is not None:
            request.counts.errors += 1
            self._release(request)
            self.front.stage.client_left(request)
        unconfirmed, self.unconfirmed = self.unconfirmed, None
        if unconfirmed is not None:
            self.front.answer_unconfirmed(unconfirmed)
        self._read_to_end()

    def _drop_queued(self) -> None:
        """Drops what is being read and the queued requests; none of them gets an answer."""
        self._drop_unparsed()
        freed = self.held + sum(queued.held for queued in self.queued)
        self.size = self.held = self.reserved = self.excess_requests = 0
        self.wants_reservation = False
        self.incoming.body.clear()
        for queued in self.queued:
            queued.counts.errors += 1
        self.queued.clear()
        self.front.memory.release(self, freed)

    def _set_unparsed(self, data: bytes) -> None:
        """Sets the bytes that wait to be parsed, and counts their memory."""
        grown = len(data) - len(self.unparsed)
        self.unparsed = data
        self.held += grown
        if grown > 0:
            self.front.memory.grow(self, grown)
        elif grown < 0:
            self.front.memory.release(self, -grown)

    def _drop_unparsed(self) -> None:
        self._set_unparsed(b"")
        if self.hold_timer is not None:
            self.hold_timer.cancel()
            self.hold_timer = None

    def get_buffer(self, size_hint: int) -> memoryview:
        """The buffer that the event loop reads into (`asyncio.BufferedProtocol`): one for all connections,
        which bounds what one read returns. Less is read while memory is short."""
        buffer, memory = self.front.read_buffer, self.front.memory
        if memory.is_ample:
            return buffer
        return buffer[: memory.read_bytes(self, len(buffer))]

    def buffer_updated(self, size: int) -> None:
        """`size` bytes have been read into the buffer."""
        self.data_received(self.front.read_buffer[:size])

    def data_received(self, data: bytes | memoryview) -> None:
        """Takes bytes that have been read. A single slice is parsed at once; more wait in `unparsed`."""
        if self.lingering:
            return
        self.last_progress_at = self.front.loop.time()
        if self.closing:
            return
        self.read_at_us = self.front.runtime.now_us()
        if self.backlog_since_us:
            self._count_from_backlog()
        elif self.max_unread_us:
            self.read_at_us -= min(self.max_unread_us, int(since_last_data_s(self.transport) * 1e6))
        self.max_unread_us = 0
        memory = self.front.memory
        limit = SLICE_BYTES if memory.is_ample else memory.slice_bytes(SLICE_BYTES)
        if self.unparsed or len(data) > limit or len(self.queued) >= MAX_PIPELINED_REQUESTS:
            self._set_unparsed(self.unparsed + bytes(data))
            if self.parse_turn():
                self.front.turns.add(self)
            return
        self.refusing_excess = False
        self._parse(data)
        self._after_parsing()

    def _count_from_backlog(self) -> None:
        """Lets the time of what was read count from when the queue was first full: the client may have
        written it by then, and its own machine may have held it back. Ends that once nothing more waits."""
        self.read_at_us = self.backlog_since_us
        if not self._queue_full() and not self._socket_state().readable():
            self.backlog_since_us = 0

    def _queue_full(self) -> bool:
        return self.excess_requests > 0 or len(self.queued) >= MAX_PIPELINED_REQUESTS

    def _queue_must_shrink(self) -> bool:
        """Whether nothing more is read until requests of the queue are answered. Once requests have been held
        back for long enough, further ones are read to be refused in time."""
        if not self._queue_full():
            return False
        return not self.writable or (self.request is not None and self._holds_back())

    def parse_turn(self) -> bool:
        """Parses a bounded part of `unparsed`. Returns whether to call it again in a later turn."""
        for _ in range(MAX_SLICES_PER_TURN):
            if not self.unparsed or self.lingering or self._waits():
                break
            self.refusing_excess = len(self.queued) >= MAX_PIPELINED_REQUESTS
            in_head = self.front.memory.slice_bytes(SLICE_BYTES)
            size = max(in_head, min(self.body_left, BODY_SLICE_BYTES))
            data = self.unparsed[:size]
            self._set_unparsed(self.unparsed[size:])
            self._parse(data)
        more = bool(self.unparsed) and not self._waits()
        self._after_parsing()
        return more

    def _parse(self, data: bytes | memoryview) -> None:
        try:
            self.feed_slice(data)
        except HeadTooLong:
            self._reject(431)
        except httptools.HttpParserInvalidMethodError:
            self._reject(405)
        except httptools.HttpParserError:
            self._reject(400)
        except httptools.HttpParserUpgrade:
            self._close_after(self.queued[-1] if self.queued else None)
        if self.closing:
            self._drop_unparsed()
        elif self.in_message:
            self._charge()

    def _after_parsing(self) -> None:
        if self.request is None and self._answers_due and not self.continuing:
            self._serve_next()
        self._update_reading()

    def _waits(self) -> bool:
        """Whether unparsed bytes wait for memory or for room in the queue."""
        return self._holds_back() or self._must_pause_for_memory()

    def _holds_back(self) -> bool:
        """Whether unparsed requests wait because the queue is full. They do as long as those in the queue
        have time: requests that are parsed beyond the queue's limit are refused."""
        if len(self.queued) < MAX_PIPELINED_REQUESTS:
            return False
        if self.request is None or not self.writable:
            return True  # the queue is about to be served, or the client does not read
        hold_us = hold_time_us(self.queued, self.front.runtime.now_us())
        if hold_us <= 0:
            return False
        if self.hold_timer is None:
            self.hold_timer = self.front.loop.call_later(hold_us / 1e6, self._end_hold)
        return True

    def _end_hold(self) -> None:
        self.hold_timer = None
        self._parse_on()
        self._update_reading()

    def _parse_on(self) -> None:
        """Goes on parsing if that was held back."""
        if self.unparsed and not self.lingering:
            self.front.turns.add(self)

    def _charge(self) -> None:
        """Counts the memory of the message that is being read."""
        cost = self.message_size.cost() + self.size + self.reserved + len(self.unparsed)
        grown, self.held = cost - self.held, cost
        self.front.memory.grow(self, grown)

    def _reject(self, status: int) -> None:
        """Ends a connection whose current message can't be read to its end: queues an answer with this status
        behind those that are due, and accepts no further request."""
        if self.closing:
            return
        request, self.incoming = self.incoming, Request(self, FIRST_SENDING)
        self._drop_unparsed()
        freed, self.held, self.size, self.reserved = self.held, 0, 0, 0
        self.wants_reservation = False
        request.body.clear()
        request.error = request.error or status
        self._close_after(request)
        self.queued.append(request)
        self.front.memory.release(self, freed)

    def _close_after(self, request: Request | None) -> None:
        self.closing = True
        if request is not None:
            request.keep_alive = False

    def _update_reading(self) -> None:
        """Pauses or resumes reading. Reading goes on while a request is served, so that a disconnect of the
        client is noticed and the time of its next requests counts from their arrival. It pauses while bytes
        are unparsed, the queue is full, or requests take too much memory."""
        memory = self.front.memory
        has_all = self.reading and not self.unparsed and not self.queued
        if has_all and not memory.is_short and not self.wants_reservation:
            return  # the common case, without further checks
        if self.lingering:
            return  # what arrives is read and dropped
        full = self._queue_must_shrink()
        short = self._must_pause_for_memory()
        may_read = not self.unparsed and not full and not short
        if may_read != self.reading and not self.transport.is_closing():
            self.reading = may_read
            if may_read:
                self.max_unread_us = self.front.runtime.now_us() - self.paused_at_us
                if self.backlog_since_us and not self._socket_state().readable():
                    self.backlog_since_us = 0
                self.transport.resume_reading()
            else:
                self.paused_at_us = self.front.runtime.now_us()
                if full and not self.backlog_since_us:
                    self.backlog_since_us = self.paused_at_us
                if full or short:  # not for the turns of others, which come and go
                    self._log_pause(Reason.QUEUE if full else Reason.MEMORY)
                self.transport.pause_reading()

    def _must_pause_for_memory(self) -> bool:
        must_pause = self.front.memory.must_pause(self)
        if must_pause and not self.memory_paused_at:
            self.memory_paused_at = self.front.loop.time()
        return must_pause

    def _log_pause(self, reason: Reason) -> None:
        self.front.runtime.events_log.emit(
            "paused", reason, connection=self.number, held=self.held, queued=len(self.queued),
            unparsed=len(self.unparsed),
        )  # fmt: skip

    def resume_reading(self) -> None:
        """Called when requests take less memory again (see `ClientMemory`)."""
        if not self.lingering and self.transport is not None:
            self.last_progress_at = self.front.loop.time()
            self._parse_on()
            self._update_reading()

    def close_for_room(self) -> None:
        """Closes the connection at once, to free its descriptor."""
        if self.unsent:
            self.abort_unread()  # a close would wait until the client has read its answers
        else:
            self.transport.close()

    def abort_unread(self) -> None:
        """Closes a connection whose client does not read its answers, and frees their memory."""
        self._set_unsent(0)
        self.transport.abort()

    def _set_unsent(self, size: int) -> None:
        """Counts the memory of answers that the client has not taken."""
        self.front.memory.unsent += size - self.unsent
        self.unsent = size

    def pause_writing(self) -> None:
        self.writable = False
        self.last_progress_at = self.front.loop.time()
        self._set_unsent(self.transport.get_write_buffer_size())
        if self.request is not None:
            self.front.stage.pause_response(self.request)
        if self.front.memory.answers_exceeded:
            self.front.loop.call_soon(self.front.relieve_answers)

    def resume_writing(self) -> None:
        self.writable = True
        self.last_progress_at = self.front.loop.time()
        self._set_unsent(0)
        if self.request is not None:
            self.front.stage.resume_response(self.request)
        else:
            self._continue()

    # ---- the parser

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.message_began_at, self.memory_paused_at = self.last_progress_at, 0.0
        if self.request is not None:
            self.request.pipelined = self.pipelines = True
        else:
            self.unconfirmed = None

    def on_url(self, url: bytes) -> None:
        if self.closing:
            return
        self.incoming.target += url
        if not self.message_size.add_target(len(url)):
            self._reject(431)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.closing:
            return
        if not self.message_size.add_field(name, value):
            self._reject(431)
        elif self.in_head:  # not a trailer field, which is dropped (RFC 9110, 6.5.1)
            self._keep_field(name, value)

    def _keep_field(self, name: bytes, value: bytes) -> None:
        """Stores a field line of the head."""
        name = name.lower()
        if name in KEPT_FIELDS:
            self.message_size.keep_field(name, value)
            headers = self.incoming.headers
            if name in headers:
                self.incoming.error = 400  # each of them may occur only once
            headers[name] = value

    def on_headers_complete(self) -> None:
        self.in_head = False
        self.message_size.unfinished_bytes = 0
        if self.closing:
            return
        request = self.incoming
        request.method = self.parser.get_method()
        version = self.parser.get_http_version()
        request.keep_alive = version == "1.1" and self.parser.should_keep_alive()
        request.error = request.error or request.check(self.front.runtime.classes, version, self.methods)
        headers = request.headers
        self.body_left = int(headers[b"content-length"]) if b"content-length" in headers else 0
        self.wants_reservation = self.body_left > REQUEST_ALLOWANCE_BYTES and not request.error
        if request.has_ambiguous_framing(version):
            request.error = 400
            self._reject(400)
        elif self.body_left > self._max_body_bytes:
            self._reject(413)
        elif b"expect" in headers and headers[b"expect"].strip().lower() == b"100-continue":
            if request.error:
                self._reject(request.error)
            elif self.request is None and not self.queued:
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    @property
    def _max_body_bytes(self) -> int:
        """The largest body that is accepted: one that could never be held is refused as it begins."""
        return min(MAX_BODY_BYTES, self.front.memory.message_limit)

    def on_body(self, body: bytes) -> None:
        self.message_size.unfinished_bytes = 0
        self.body_left = max(0, self.body_left - len(body))
        self.reserved = max(0, self.reserved - len(body))
        if self.closing or self.incoming.error:
            return
        self.size += len(body)
        self.incoming.body.append(body)
        if self.size > self._max_body_bytes:
            self._reject(413)

    def on_message_complete(self) -> None:
        self.in_head, self.in_message = True, False
        self.message_size.unfinished_bytes = 0
        if self.closing:
            return
        request, self.incoming = self.incoming, Request(self, FIRST_SENDING)
        request.size, self.size = self.size, 0
        request.client_gone = self.client_gone
        request.received_at = self.read_at_us
        if request.cls is not None and not request.error:
            request.counts = self.front.runtime.metrics.counts_for(request.headers[b"req-kind"])
            request.counts.received += 1
        unparsed = len(self.unparsed)
        self.reserved, self.wants_reservation, self.memory_paused_at = 0, False, 0.0
        if self.refusing_excess or self.excess_requests:
            freed, self.held = self.held - unparsed, unparsed
            self.front.memory.release(self, freed)
            request.body.clear()
            request.counts.shed += 1
            self.excess_requests += 1
            return
        if not request.keep_alive:
            self.closing = True
        self.queued.append(request)
        request.held = self.message_size.cost() + request.size
        grown, self.held = request.held + unparsed - self.held, unparsed
        self.front.memory.grow(self, grown)

    # ---- answers

    @property
    def _answers_due(self) -> bool:
        return bool(self.queued or self.excess_requests)

    def _serve_next(self) -> None:
        for _ in range(MAX_ANSWERS_PER_TURN):
            if not self._answers_due or self.request is not None or not self.writable:
                break
            if self.queued:
                request = self.queued.popleft()
            else:
                self.excess_requests -= 1
                request = Request(self, FIRST_SENDING)
                request.error = 503
            self.request = request
            if request.error:
                self.front.runtime.log(
                    f"{request.error} for {request.method!r} {request.target[:80]!r} connection={self.number}"
                )
                self.answer(request, request.error)
                continue
            self._cap_time_by_queued(request)
            request.pipelined = self.pipelines or not self.between_messages or self._answers_due
            if request.target.startswith(b"/ready") and request.target.partition(b"?")[0] == b"/ready":
                self.answer(request, 503 if self.front.stopping else 200)
            else:
                self.front.stage.submit(request)
        self._parse_on()

    def _cap_time_by_queued(self, request: Request) -> None:
        """Shortens the request's time to that of the requests queued behind it: answers go out in the order
        of the requests, so a request that took longer would make theirs late."""
        for behind in self.queued:
            if behind.time_left and not behind.error:
                left = behind.received_at + behind.time_left - request.received_at
                request.time_left = max(0, min(request.time_left, left))

    def answer(self, request: Request, status: int, body: Sequence[bytes] = (), more: bytes = b"") -> None:
        """Writes a whole answer."""
        self._release(request)
        close = self._closes_after(request)
        if status == 405 and not more:
            more = self.allow
        content = body[0] if len(body) == 1 else b""
        length = len(content) if content else sum(map(len, body))
        answer_head = head(status, length, more, close)
        if length <= JOINED_BYTES:
            self.transport.write(answer_head + (content or b"".join(body)))
        else:  # without a copy, which would be in memory as well until the client takes it
            self.transport.writelines([answer_head, *body])
        if not self.writable:
            self._set_unsent(self.transport.get_write_buffer_size())
        request.counts.end(status)
        self._finish_answer(request, close)

    def begin(self, request: Request, length: int | None, more: bytes, status: int = 200) -> None:
        """Writes the head of a long answer; without a length its body is chunked."""
        self._release(request)
        self.chunked = length is None
        request.keep_alive = not self._closes_after(request)
        if not request.keep_alive:
            self.closing = True  # the head says `Connection: close`: no further request is accepted
        self.transport.write(head(status, length, more, not request.keep_alive))

    def write_body(self, request: Request, body: bytes) -> None:
        self.transport.write(chunk(body) if self.chunked else body)
        if not self.writable:
            self._set_unsent(self.transport.get_write_buffer_size())

    def end(self, request: Request) -> None:
        if self.chunked:
            self.transport.write(b"0\r\n\r\n")
        request.counts.ok += 1
        self._finish_answer(request, not request.keep_alive)

    def abort(self, request: Request) -> None:
        request.counts.errors += 1
        self.request = None
        self.transport.abort()

    def _release(self, request: Request) -> None:
        """Frees the request's memory: no further attempt will need its body."""
        self.answer_due_us = request.received_at + request.time_left
        held, request.held = request.held, 0
        if request.size:
            request.size, request.body = 0, []
        self.front.memory.release(self, held)

    def _closes_after(self, request: Request) -> bool:
        return not request.keep_alive or (self.front.ending and not self._more_pending())

    def _more_pending(self) -> bool:
        """Whether a request waits, or at least part of one has arrived, even if it is unread. It would get no
        answer if the connection were closed now."""
        return self._answers_due or not self.between_messages or self._socket_state().readable()

    def _finish_answer(self, request: Request, close: bool) -> None:
        self.request = None
        if request.served and must_run_once(request.cls):
            self.unconfirmed = OnceRequest(request.wire_id, request.cls)
        self.served = True
        self.last_progress_at = self.front.loop.time()
        if close:
            self.linger()
        elif self._answers_due:
            # In a later turn of the loop: a long queue of requests that are answered at once would otherwise
            # lead to a deep recursion.
            if not self.continuing:
                self.continuing = True
                self.front.loop.call_soon(self._continue)
        else:
            self._parse_on()
            self._update_reading()

    def _continue(self) -> None:
        self.continuing = False
        if self.request is None and self._answers_due and not self.lingering:
            self._serve_next()
            self._update_reading()

    def linger(self) -> None:
        """Closes the sending side, and reads and drops what still arrives for LINGER_TIMEOUT_S. Closing a
        socket with unread bytes sends an RST, which can destroy the answer before the client has read it."""
        if self.lingering or self.transport.is_closing():
            return
        self._drop_queued()
        self.closing = self.lingering = True
        self.last_progress_at = self.front.loop.time()
        self.transport.write_eof()
        self._read_to_end()

    def _read_to_end(self) -> None:
        """Reads on, whatever the limits say: what arrives is dropped until the client has gone."""
        if not self.reading and not self.transport.is_closing():
            self.reading = True
            self.transport.resume_reading()

    def end_idle(self) -> None:
        """Ends an idle connection, unless a request has arrived that the event loop has not read yet. If a
        client sends one later, it finds the connection closed, and sends it again on another one."""
        if not self.transport.is_closing() and not self._socket_state().readable():
            self.linger()

    def sweep(self, now: float) -> None:
        """Closes the connection or answers 408 if a timeout has expired. `now` is the event loop's time."""
        idle_s = now - self.last_progress_at
        if self.lingering:
            if idle_s > LINGER_TIMEOUT_S and (self.writable or idle_s > STALL_TIMEOUT_S):
                self.transport.abort()
        elif not self.writable:
            if idle_s > STALL_TIMEOUT_S:
                self.front.runtime.events_log.emit("closed", Reason.STALLED, unsent=True)
                self.transport.abort()
        elif not self.reading and self._socket_state().closed():
            self._client_left()
        elif self._waits_too_long_for_memory(now):
            self.front.runtime.events_log.emit(
                "closed", Reason.MEMORY, connection=self.number, held=self.held, paused=not self.reading
            )
            self._reject(503 if not self.reading else 408)
            self._serve_next()
        elif (self.between_messages and not self.idle) or not (self.reading or self._client_is_quiet()):
            return
        elif self.idle:
            # This includes connections that have served requests. Otherwise, clients that send one request
            # and stay connected would in time hold every descriptor.
            if idle_s > IDLE_TIMEOUT_S:
                self.end_idle()
        elif (
            now - self.message_began_at > (HEAD_TIMEOUT_S if self.in_head else STALL_TIMEOUT_S)
            or idle_s > HEAD_TIMEOUT_S
        ):  # fmt: skip
            # A head or body that never ends would hold a descriptor. Its 408 goes out behind the answers that
            # are due, and nothing more is read.
            self._reject(408)
            self._serve_next()

    def refuse_partial(self) -> None:
        """Refuses the message that is being read, to free its memory."""
        self._reject(503)
        if not self.continuing:
            self._serve_next()

    def _waits_too_long_for_memory(self, now: float) -> bool:
        """Whether part of a message takes memory that others need: its client has stopped sending, or it has
        itself waited for memory for MAX_MEMORY_PAUSE_S. It must be answered while its client still waits."""
        memory = self.front.memory
        if not (memory.is_short or memory.paused) or self.between_messages or self.closing:
            return False
        if self in memory.paused:
            return now - self.memory_paused_at > MAX_MEMORY_PAUSE_S
        return self.held > REQUEST_ALLOWANCE_BYTES and self._has_stalled(now)

    def _has_stalled(self, now: float) -> bool:
        """Whether the client has sent nothing more of a message for a while, and nothing is unread."""
        return now - self.last_progress_at > MIN_EVICTION_STALL_S and self._client_is_quiet()

    def _client_is_quiet(self) -> bool:
        """Whether a client whose reading is paused would send nothing if it were read."""
        return not self.unparsed and not self._socket_state().readable()

    def eviction_rank(self, now: float) -> tuple[int, float] | None:
        """The order in which connections are closed to make room for others, lowest first; None if this one
        must not be closed."""
        if self.transport is None or self.transport.is_closing():
            return None
        if self.lingering:
            # Its answer has been sent, and its sending side is closed.
            return (
                (0, self.last_progress_at)
                if self.writable and now - self.last_progress_at > MIN_EVICTION_IDLE_S else None
            )  # fmt: skip
        if not self.writable:
            # Its client would get the rest of the answer too late to use it.
            overdue_us = self.front.runtime.now_us() - self.answer_due_us
            kind = 1 if self.request is None else 3  # a streamed answer only if nothing else can be closed
            return (kind, self.last_progress_at) if overdue_us > MAX_LATENESS_US else None
        if self.idle:
            return (
                (int(self.served) * 2, self.last_progress_at)
                if now - self.last_progress_at > MIN_EVICTION_IDLE_S else None
            )  # fmt: skip
        if self.request is not None or self._answers_due:
            return None
        if self in self.front.memory.paused:
            waited = now - self.memory_paused_at > MIN_EVICTION_STALL_S
            return (1, self.memory_paused_at) if waited else None
        if self.unparsed:
            return None
        if self.in_head:
            overdue = now - self.message_began_at > HEAD_TIMEOUT_S - 0.8
            return (1, self.message_began_at) if overdue else None
        return (1, self.last_progress_at) if self._has_stalled(now) else None
