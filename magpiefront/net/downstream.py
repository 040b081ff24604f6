"""A client's connection: requests in, one answer each, `/ready`."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Mapping, Sequence
from typing import Protocol

import httptools

from magpiefront.interface import RequestClass
from magpiefront.net.bodies import Bodies
from magpiefront.net.events import EventLog, Reason
from magpiefront.net.figures import Figures
from magpiefront.net.hangup import HangUpWatch, since_last_data_s
from magpiefront.net.http1 import BODY_LIMIT, Connection, HeadTooLong, chunk, head
from magpiefront.net.request import METHODS, SINGLE, Request, Stage

# What can't be served is answered or closed within 3 s of connecting, with half a second from sweep to sweep.
HEAD_S = 2.0  # for a head, and for a body that has come to a stop
UNUSED_S = 2.0  # for a connection on which no request is open
EVICT_S = 0.2  # since its last step, before a connection may go to make room for another
STALL_S = 20.0
LINGER_S = 1.5  # how long a closed connection is read from, so that no RST destroys its last answer
PIPELINE = 32  # requests that may wait on one connection; more are refused in their turn


class House(Protocol):
    """What a front needs of the program round it. `classes` are those that may be asked for."""

    loop: asyncio.AbstractEventLoop
    figures: Figures
    events_log: EventLog

    @property
    def classes(self) -> Mapping[bytes, RequestClass]: ...
    def now_us(self) -> int: ...
    def log(self, text: str) -> None: ...


class Owner(Protocol):
    """What a client's connection needs of the front that took it."""

    house: House
    stage: Stage
    bodies: Bodies
    loop: asyncio.AbstractEventLoop
    stopping: bool

    @property
    def ending(self) -> bool: ...
    def lost(self, client: ClientConnection) -> None: ...


class ClientConnection(Connection):
    methods = METHODS
    allow = b"Allow: GET, PUT\r\n"
    __slots__ = ("began", "chunked", "closing", "front", "hang_up", "lingering", "moved_at", "overflow",
                 "queued_us", "reading", "request", "size", "taking", "under_way", "used", "waiting",
                 "writable")  # fmt: skip

    def __init__(self, front: Owner) -> None:
        super().__init__()
        self.front = front
        self.parser = httptools.HttpRequestParser(self)
        self.taking = Request(self)
        self.request: Request | None = None  # what is being answered
        self.waiting: deque[Request] = deque()
        self.overflow = 0
        self.closing = self.lingering = self.chunked = False
        self.reading = self.writable = True
        self.used = self.under_way = False  # has it been served? is a message being read?
        self.began = self.moved_at = front.loop.time()  # for time-outs: when the last step was made
        self.queued_us = 0  # how long it may have waited to be accepted
        self.size: int = 0  # of the body that is being read
        self.hang_up: HangUpWatch | None = None  # made when it is first asked

    @property
    def between(self) -> bool:
        """Is nothing of a message half read?"""
        return not self.under_way and self.in_head and not self.spare

    @property
    def idle(self) -> bool:
        return self.request is None and not self._due and self.between

    def may_go(self) -> bool:
        """May another process go on with it? All that was written has gone, and nothing has been read."""
        if self.transport is None or self.lingering or self.closing or self.transport.is_closing():
            return False
        return self.idle and not self.transport.get_write_buffer_size()

    def client_gone(self) -> bool:
        """Has the client closed, though this has not been read yet? Then nothing more is sent on for it."""
        if not self.lingering and not self.transport.is_closing() and not self._watch().closed():
            return False
        self._left()
        return True

    def _watch(self) -> HangUpWatch:
        if self.hang_up is None:
            self.hang_up = HangUpWatch(self.transport)
        return self.hang_up

    # ---- the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.transport.set_write_buffer_limits(high=64 * 1024)

    def connection_lost(self, exc: Exception | None) -> None:
        self.front.lost(self)
        self._left()
        super().connection_lost(exc)
        del self.taking  # it holds this connection too

    def eof_received(self) -> bool:
        self._left()
        return False

    def _left(self) -> None:
        self._drop()
        self.closing = self.lingering = True
        request, self.request = self.request, None
        if request is not None:
            request.tally.errors += 1
            self._release(request)
            self.front.stage.client_left(request)

    def _drop(self) -> None:
        """Nothing of what is being read or waits will be answered."""
        self.front.bodies.release(self, self.size + sum(r.size for r in self.waiting))
        self.size = 0
        for r in self.waiting:
            r.tally.errors += 1
        self.waiting.clear()
        self.overflow = 0

    def data_received(self, data: bytes) -> None:
        if self.lingering:
            return
        self.moved_at = self.front.loop.time()
        try:
            self.feed(data)
        except HeadTooLong:
            self._bad(431)
        except httptools.HttpParserInvalidMethodError:
            self._bad(405)
        except httptools.HttpParserError:
            self._bad(400)
        except httptools.HttpParserUpgrade:
            self._last(self.waiting[-1] if self.waiting else None)
        if self.request is None and self._due:
            self._next()
        self._flow()

    def _bad(self, status: int) -> None:
        """Framing is lost: one answer, after those that are due, and the end."""
        if self.closing:
            return
        request, self.taking = self.taking, Request(self)
        self.front.bodies.release(self, self.size)
        self.size = 0
        request.body.clear()
        request.error = request.error or status
        self._last(request)
        self.waiting.append(request)

    def _last(self, request: Request | None) -> None:
        self.closing = True
        if request is not None:
            request.keep_alive = False

    def _flow(self) -> None:
        """Reading goes on while a request is answered, so that a client's leaving is seen and the time of
        what it sends behind counts from when it came, but no further than is bounded."""
        bodies = self.front.bodies
        if self.reading and not self.waiting and not self.overflow and bodies.held <= bodies.most:
            return  # as nearly always
        full = self.overflow > 0 or len(self.waiting) >= PIPELINE
        may = not (full and self.request is not None) and not bodies.waits(self)
        if may != self.reading and not self.transport.is_closing():
            self.reading = may
            if may:
                self.transport.resume_reading()
            else:
                self.transport.pause_reading()

    def go_on(self) -> None:
        if not self.lingering:
            self.moved_at = self.front.loop.time()
            self._flow()

    def pause_writing(self) -> None:
        self.writable = False
        self.moved_at = self.front.loop.time()
        if self.request is not None:
            self.front.stage.hold_back(self.request)

    def resume_writing(self) -> None:
        self.writable = True
        self.moved_at = self.front.loop.time()
        if self.request is not None:
            self.front.stage.let_go(self.request)
        elif self._due:
            self._next()
            self._flow()

    # ---- the parser

    def on_message_begin(self) -> None:
        self.in_head = self.under_way = True
        self.began = self.moved_at

    def on_url(self, url: bytes) -> None:
        self.taking.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.in_head:
            name, headers = name.lower(), self.taking.headers
            if name in headers and name in SINGLE:
                self.taking.error = 400
            headers[name] = value

    def on_headers_complete(self) -> None:
        self.in_head, self.spare = False, 0
        request = self.taking
        request.method = self.parser.get_method()
        version = self.parser.get_http_version()
        request.keep_alive = version == "1.1" and self.parser.should_keep_alive()
        request.error = request.error or request.check(self.front.house.classes, version, self.methods)
        headers = request.headers
        if request.misframed(version):
            request.error = 400
            self._bad(400)
        elif b"content-length" in headers and int(headers[b"content-length"]) > BODY_LIMIT:
            self._bad(413)
        elif b"expect" in headers and headers[b"expect"].strip().lower() == b"100-continue":
            if request.error:
                self._bad(request.error)
            elif self.request is None and not self.waiting:
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self.spare = 0
        if self.closing or self.taking.error:
            return
        self.size += len(body)
        self.front.bodies.grow(self, len(body))
        self.taking.body.append(body)
        if self.size > BODY_LIMIT:
            self._bad(413)

    def on_message_complete(self) -> None:
        self.in_head, self.under_way, self.spare = True, False, 0
        request, self.taking = self.taking, Request(self)
        if self.closing:
            return
        request.size, self.size = self.size, 0
        request.client_gone = self.client_gone
        request.taken_at = self.front.house.now_us() - self._waited_us()
        if request.cls is not None and not request.error:
            request.tally = self.front.house.figures.of(request.headers[b"req-kind"])
            request.tally.taken += 1
        if len(self.waiting) >= PIPELINE or self.overflow:
            self.front.bodies.release(self, request.size)
            request.body.clear()
            request.tally.shed += 1
            self.overflow += 1
            return
        if not request.keep_alive:
            self.closing = True
        self.waiting.append(request)

    def _waited_us(self) -> int:
        """How long the first request of a connection has lain unread, where the connection had to wait to be
        accepted: its time counts from when its last byte came."""
        most_us, self.queued_us = self.queued_us, 0
        return min(most_us, int(since_last_data_s(self.transport) * 1e6)) if most_us else 0

    # ---- answers

    @property
    def _due(self) -> bool:
        return bool(self.waiting or self.overflow)

    def _next(self) -> None:
        while self._due and self.request is None and self.writable:
            if self.waiting:
                request = self.waiting.popleft()
            else:
                self.overflow -= 1
                request = Request(self)
                request.error = 503
            self.request = request
            if request.error:
                self.front.house.log(f"{request.error} for {request.method!r} {request.target[:80]!r}")
                self.answer(request, request.error)
                continue
            self._leave_time_for_those_behind(request)
            if request.target.startswith(b"/ready") and request.target.partition(b"?")[0] == b"/ready":
                self.answer(request, 503 if self.front.stopping else 200)
            else:
                self.front.stage.take(request)

    def _leave_time_for_those_behind(self, request: Request) -> None:
        """Answers go in the order of their requests: one that took longer than a request behind it may wait
        would make that one's answer late."""
        for behind in self.waiting:
            if behind.time_left and not behind.error:
                left = behind.taken_at + behind.time_left - request.taken_at
                request.time_left = max(0, min(request.time_left, left))

    def answer(self, request: Request, status: int, body: Sequence[bytes] = (), more: bytes = b"") -> None:
        if request.size:
            self._release(request)
        close = self._is_last(request)
        if status == 405 and not more:
            more = self.allow
        whole = body[0] if len(body) == 1 else b"".join(body)
        self.transport.write(head(status, len(whole), more, close) + whole)
        request.tally.end(status)
        self._answered(request, close)

    def begin(self, request: Request, length: int | None, more: bytes, status: int = 200) -> None:
        """The head of a long answer."""
        if request.size:
            self._release(request)
        self.chunked = length is None
        request.keep_alive = not self._is_last(request)
        if not request.keep_alive:
            self.closing = True  # the head says so: what comes behind it is not taken
        self.transport.write(head(status, length, more, not request.keep_alive))

    def go(self, request: Request, body: bytes) -> None:
        self.transport.write(chunk(body) if self.chunked else body)

    def end(self, request: Request) -> None:
        if self.chunked:
            self.transport.write(b"0\r\n\r\n")
        request.tally.ok += 1
        self._answered(request, not request.keep_alive)

    def cut(self, request: Request) -> None:
        request.tally.errors += 1
        self.request = None
        self.transport.abort()

    def _release(self, request: Request) -> None:
        """Its body is of no further use: all attempts that there will be have it."""
        size, request.size = request.size, 0
        if size:
            request.body = []
            self.front.bodies.release(self, size)

    def _is_last(self, request: Request) -> bool:
        return not request.keep_alive or (self.front.ending and not self._more_comes())

    def _more_comes(self) -> bool:
        """Does a request wait, or has any of one come, read or not? Closed now, it would have no answer."""
        return self._due or not self.between or self._watch().readable()

    def _answered(self, request: Request, close: bool) -> None:
        self.request = None
        self.used = True
        self.moved_at = self.front.loop.time()
        if close:
            self.linger()
        elif self._due:
            # Never from inside: a long queue of cheap answers would recurse.
            self.front.loop.call_soon(self._resume)
        else:
            self._flow()

    def _resume(self) -> None:
        if self.request is None and self._due and not self.lingering:
            self._next()
            self._flow()

    def linger(self) -> None:
        """Closes with unread bytes send an RST, which can destroy the answer before the client has read it:
        the sending ends first, and what comes is read and dropped for a moment."""
        if self.lingering or self.transport.is_closing():
            return
        self._drop()
        self.closing = self.lingering = True
        self.moved_at = self.front.loop.time()
        self.transport.write_eof()
        if not self.reading:
            self.reading = True
            self.transport.resume_reading()

    def end_idle(self) -> None:
        """Ends a connection on which nothing is open, unless a request has come that the loop has not read
        yet. What comes from now on finds the sending ended: its client sends it again elsewhere."""
        if not self.transport.is_closing() and not self._watch().readable():
            self.linger()

    def sweep(self, now: float) -> None:
        still = now - self.moved_at
        if self.lingering:
            if still > LINGER_S and (self.writable or still > STALL_S):
                self.transport.abort()
        elif not self.writable:
            if still > STALL_S:
                self.front.house.events_log.tell("closed", Reason.STALLED, unsent=True)
                self.transport.abort()
        elif not self.reading or (self.between and not self.idle):
            return
        elif self.idle:
            # Also one that has been used: clients that ask once and stay would hold every descriptor in time.
            if still > UNUSED_S:
                self.end_idle()
        elif now - self.began > (HEAD_S if self.in_head else STALL_S) or still > HEAD_S:
            # A head or a body that does not come to its end holds a descriptor. Its answer goes behind those
            # that are due, and nothing is read any more.
            self._bad(408)
            self._next()

    def spared_for(self, now: float) -> tuple[int, float] | None:
        """How soon it goes to make room for another, lowest first; None if it may not."""
        if self.transport is None or self.transport.is_closing():
            return None
        if self.lingering:
            # Its answer has gone, and its sending has ended.
            return (0, self.moved_at) if self.writable and now - self.moved_at > EVICT_S else None
        if self.idle:
            return (int(self.used) * 2, self.moved_at) if now - self.moved_at > EVICT_S else None
        overdue = self.in_head and self.request is None and not self._due and now - self.began > HEAD_S - 0.8
        return (1, self.began) if overdue else None
