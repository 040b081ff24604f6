"""A client's connection: parses requests, submits them to the first stage one at a time, and writes the
answers in the order of the requests. Answers `/ready` itself."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Mapping, Sequence
from typing import Protocol

import httptools

from magpiefront.interface import RequestClass
from magpiefront.net.bodies import BodyMemory
from magpiefront.net.events import EventLog, Reason
from magpiefront.net.http1 import MAX_BODY_BYTES, Connection, HeadTooLong, chunk, head
from magpiefront.net.metrics import Metrics
from magpiefront.net.request import METHODS, SINGLE_VALUED, Request, Stage
from magpiefront.net.socket_state import SocketState, since_last_data_s

# A connection that can't be served is answered or closed within 3 s of connecting: at the first sweep after
# one of these timeouts, with half a second between two sweeps.
HEAD_TIMEOUT_S = 2.0  # for a complete head, and for the next bytes of a body
IDLE_TIMEOUT_S = 2.0  # for a connection on which no request is open
MIN_EVICTION_IDLE_S = 0.2  # without progress; only then may a connection be closed to make room for another
STALL_TIMEOUT_S = 20.0  # for a complete body, and for a client that does not read its answer
LINGER_TIMEOUT_S = 1.5  # how long a closed connection is read from, so that no RST destroys its last answer
MAX_PIPELINED_REQUESTS = 32  # waiting on one connection; further requests get a 503 in their turn


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
    bodies: BodyMemory
    loop: asyncio.AbstractEventLoop
    stopping: bool

    @property
    def ending(self) -> bool:
        """Whether clients are to be disconnected because the process ends."""

    def client_lost(self, client: ClientConnection) -> None:
        """The connection is closed."""


class ClientConnection(Connection):
    """A client's HTTP/1.1 connection, and the `Responder` of its requests.

    One request is served at a time (`request`); further ones wait in `queued`. `incoming` is the request
    that is being parsed. `lingering`: the connection's sending side is closed, and what arrives is dropped.
    `closing`: no further request is accepted.
    """

    methods = METHODS
    allow = b"Allow: GET, PUT\r\n"
    __slots__ = ("accept_delay_us", "chunked", "closing", "excess_requests", "front", "in_message",
                 "incoming", "last_progress_at", "lingering", "message_began_at", "queued", "reading",
                 "request", "served", "size", "socket_state", "writable")  # fmt: skip

    def __init__(self, front: ConnectionOwner) -> None:
        super().__init__()
        self.front = front
        self.parser = httptools.HttpRequestParser(self)
        self.incoming = Request(self)
        self.request: Request | None = None  # the request that is being served
        self.queued: deque[Request] = deque()
        self.excess_requests = 0  # requests beyond MAX_PIPELINED_REQUESTS, which get a 503 each
        self.closing = self.lingering = self.chunked = False
        self.reading = self.writable = True
        self.served = self.in_message = False  # whether a request was served; whether a message is being read
        # Loop times, for the timeouts: when the current message began, and when the last progress was made.
        self.message_began_at = self.last_progress_at = front.loop.time()
        self.accept_delay_us = 0  # the longest time that it may have waited to be accepted
        self.size: int = 0  # of the body that is being read, in bytes
        self.socket_state: SocketState | None = None  # created at its first use

    @property
    def between_messages(self) -> bool:
        """Whether no message has been read in part."""
        return not self.in_message and self.in_head and not self.spare

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
        self.transport.set_write_buffer_limits(high=64 * 1024)

    def connection_lost(self, exc: Exception | None) -> None:
        self.front.client_lost(self)
        self._client_left()
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
            self._release_body(request)
            self.front.stage.client_left(request)

    def _drop_queued(self) -> None:
        """Drops what is being read and the queued requests; none of them gets an answer."""
        self.front.bodies.release(self, self.size + sum(queued.size for queued in self.queued))
        self.size = 0
        for queued in self.queued:
            queued.counts.errors += 1
        self.queued.clear()
        self.excess_requests = 0

    def data_received(self, data: bytes) -> None:
        if self.lingering:
            return
        self.last_progress_at = self.front.loop.time()
        try:
            self.feed(data)
        except HeadTooLong:
            self._reject(431)
        except httptools.HttpParserInvalidMethodError:
            self._reject(405)
        except httptools.HttpParserError:
            self._reject(400)
        except httptools.HttpParserUpgrade:
            self._close_after(self.queued[-1] if self.queued else None)
        if self.request is None and self._answers_due:
            self._serve_next()
        self._update_reading()

    def _reject(self, status: int) -> None:
        """Ends a connection whose current message can't be read to its end: queues an answer with this status
        behind those that are due, and accepts no further request."""
        if self.closing:
            return
        request, self.incoming = self.incoming, Request(self)
        self.front.bodies.release(self, self.size)
        self.size = 0
        request.body.clear()
        request.error = request.error or status
        self._close_after(request)
        self.queued.append(request)

    def _close_after(self, request: Request | None) -> None:
        self.closing = True
        if request is not None:
            request.keep_alive = False

    def _update_reading(self) -> None:
        """Pauses or resumes reading. Reading goes on while a request is served, so that a disconnect of the
        client is noticed and the time of its next requests counts from their arrival. It pauses if the queue
        is full or request bodies take too much memory."""
        bodies = self.front.bodies
        if self.reading and not self.queued and not self.excess_requests and bodies.used <= bodies.limit:
            return  # the common case, without further checks
        full = self.excess_requests > 0 or len(self.queued) >= MAX_PIPELINED_REQUESTS
        may_read = not (full and self.request is not None) and not bodies.must_pause(self)
        if may_read != self.reading and not self.transport.is_closing():
            self.reading = may_read
            if may_read:
                self.transport.resume_reading()
            else:
                self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Called when request bodies take less memory again (see `BodyReader`)."""
        if not self.lingering:
            self.last_progress_at = self.front.loop.time()
            self._update_reading()

    def pause_writing(self) -> None:
        self.writable = False
        self.last_progress_at = self.front.loop.time()
        if self.request is not None:
            self.front.stage.pause_response(self.request)

    def resume_writing(self) -> None:
        self.writable = True
        self.last_progress_at = self.front.loop.time()
        if self.request is not None:
            self.front.stage.resume_response(self.request)
        elif self._answers_due:
            self._serve_next()
            self._update_reading()

    # ---- the parser

    def on_message_begin(self) -> None:
        self.in_head = self.in_message = True
        self.message_began_at = self.last_progress_at

    def on_url(self, url: bytes) -> None:
        self.incoming.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.in_head:
            name, headers = name.lower(), self.incoming.headers
            if name in headers and name in SINGLE_VALUED:
                self.incoming.error = 400
            headers[name] = value

    def on_headers_complete(self) -> None:
        self.in_head, self.spare = False, 0
        request = self.incoming
        request.method = self.parser.get_method()
        version = self.parser.get_http_version()
        request.keep_alive = version == "1.1" and self.parser.should_keep_alive()
        request.error = request.error or request.check(self.front.runtime.classes, version, self.methods)
        headers = request.headers
        if request.has_ambiguous_framing(version):
            request.error = 400
            self._reject(400)
        elif b"content-length" in headers and int(headers[b"content-length"]) > MAX_BODY_BYTES:
            self._reject(413)
        elif b"expect" in headers and headers[b"expect"].strip().lower() == b"100-continue":
            if request.error:
                self._reject(request.error)
            elif self.request is None and not self.queued:
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self.spare = 0
        if self.closing or self.incoming.error:
            return
        self.size += len(body)
        self.front.bodies.grow(self, len(body))
        self.incoming.body.append(body)
        if self.size > MAX_BODY_BYTES:
            self._reject(413)

    def on_message_complete(self) -> None:
        self.in_head, self.in_message, self.spare = True, False, 0
        request, self.incoming = self.incoming, Request(self)
        if self.closing:
            return
        request.size, self.size = self.size, 0
        request.client_gone = self.client_gone
        request.received_at = self.front.runtime.now_us() - self._queue_delay_us()
        if request.cls is not None and not request.error:
            request.counts = self.front.runtime.metrics.counts_for(request.headers[b"req-kind"])
            request.counts.received += 1
        if len(self.queued) >= MAX_PIPELINED_REQUESTS or self.excess_requests:
            self.front.bodies.release(self, request.size)
            request.body.clear()
            request.counts.shed += 1
            self.excess_requests += 1
            return
        if not request.keep_alive:
            self.closing = True
        self.queued.append(request)

    def _queue_delay_us(self) -> int:
        """How long (microseconds) the first request of a connection could not be read because the connection
        waited to be accepted; 0 for later requests. A request's time counts from the arrival of its last
        byte."""
        max_delay_us, self.accept_delay_us = self.accept_delay_us, 0
        return min(max_delay_us, int(since_last_data_s(self.transport) * 1e6)) if max_delay_us else 0

    # ---- answers

    @property
    def _answers_due(self) -> bool:
        return bool(self.queued or self.excess_requests)

    def _serve_next(self) -> None:
        while self._answers_due and self.request is None and self.writable:
            if self.queued:
                request = self.queued.popleft()
            else:
                self.excess_requests -= 1
                request = Request(self)
                request.error = 503
            self.request = request
            if request.error:
                self.front.runtime.log(f"{request.error} for {request.method!r} {request.target[:80]!r}")
                self.answer(request, request.error)
                continue
            self._cap_time_by_queued(request)
            if request.target.startswith(b"/ready") and request.target.partition(b"?")[0] == b"/ready":
                self.answer(request, 503 if self.front.stopping else 200)
            else:
                self.front.stage.submit(request)

    def _cap_time_by_queued(self, request: Request) -> None:
        """Shortens the request's time to that of the requests queued behind it: answers go out in the order
        of the requests, so a request that took longer would make theirs late."""
        for behind in self.queued:
            if behind.time_left and not behind.error:
                left = behind.received_at + behind.time_left - request.received_at
                request.time_left = max(0, min(request.time_left, left))

    def answer(self, request: Request, status: int, body: Sequence[bytes] = (), more: bytes = b"") -> None:
        """Writes a whole answer."""
        if request.size:
            self._release_body(request)
        close = self._closes_after(request)
        if status == 405 and not more:
            more = self.allow
        content = body[0] if len(body) == 1 else b"".join(body)
        self.transport.write(head(status, len(content), more, close) + content)
        request.counts.end(status)
        self._finish_answer(request, close)

    def begin(self, request: Request, length: int | None, more: bytes, status: int = 200) -> None:
        """Writes the head of a long answer; without a length its body is chunked."""
        if request.size:
            self._release_body(request)
        self.chunked = length is None
        request.keep_alive = not self._closes_after(request)
        if not request.keep_alive:
            self.closing = True  # the head says `Connection: close`: no further request is accepted
        self.transport.write(head(status, length, more, not request.keep_alive))

    def write_body(self, request: Request, body: bytes) -> None:
        self.transport.write(chunk(body) if self.chunked else body)

    def end(self, request: Request) -> None:
        if self.chunked:
            self.transport.write(b"0\r\n\r\n")
        request.counts.ok += 1
        self._finish_answer(request, not request.keep_alive)

    def abort(self, request: Request) -> None:
        request.counts.errors += 1
        self.request = None
        self.transport.abort()

    def _release_body(self, request: Request) -> None:
        """Frees the request's body: no further attempt will need it."""
        size, request.size = request.size, 0
        if size:
            request.body = []
            self.front.bodies.release(self, size)

    def _closes_after(self, request: Request) -> bool:
        return not request.keep_alive or (self.front.ending and not self._more_pending())

    def _more_pending(self) -> bool:
        """Whether a request waits, or at least part of one has arrived, even if it is unread. It would get no
        answer if the connection were closed now."""
        return self._answers_due or not self.between_messages or self._socket_state().readable()

    def _finish_answer(self, request: Request, close: bool) -> None:
        self.request = None
        self.served = True
        self.last_progress_at = self.front.loop.time()
        if close:
            self.linger()
        elif self._answers_due:
            # In a later turn of the loop: a long queue of requests that are answered at once would otherwise
            # lead to a deep recursion.
            self.front.loop.call_soon(self._continue)
        else:
            self._update_reading()

    def _continue(self) -> None:
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
        if not self.reading:
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
        elif not self.reading or (self.between_messages and not self.idle):
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
        if self.idle:
            return (
                (int(self.served) * 2, self.last_progress_at)
                if now - self.last_progress_at > MIN_EVICTION_IDLE_S else None
            )  # fmt: skip
        overdue = (
            self.in_head and self.request is None and not self._answers_due
            and now - self.message_began_at > HEAD_TIMEOUT_S - 0.8
        )  # fmt: skip
        return (1, self.message_began_at) if overdue else None
