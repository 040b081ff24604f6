"""Connections of clients: requests in, one answer each, `/ready`."""

from __future__ import annotations

import asyncio
import os
import socket
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import httptools

from magpiefront.interface import RequestClass
from magpiefront.net.bodies import Bodies
from magpiefront.net.figures import Figures
from magpiefront.net.hangup import HangUpWatch
from magpiefront.net.http1 import BODY_LIMIT, Connection, HeadTooLong, chunk, head
from magpiefront.net.listening import NoRoom, accepted, bound
from magpiefront.net.request import METHODS, SINGLE, Request, Stage

# What can't be served is answered or closed within 3 s of connecting, with half a second from sweep to sweep.
HEAD_S = 2.0  # for a head, and for a body that has come to a stop
UNUSED_S = 2.0  # for a connection on which no request is open
EVICT_S = 0.2
STALL_S = 20.0
LINGER_S = 1.5  # how long a closed connection is read from, so that no RST destroys its last answer
FRESH_S = 0.7  # a connection that has just come is not idle yet
PIPELINE = 32  # requests that may wait on one connection; more are refused in their turn
EVICTS = 32  # connections that make room at once
ACCEPTS = 64  # connections taken at once


class House(Protocol):
    """What a front needs of the program round it. `classes` are those that may be asked for."""

    loop: asyncio.AbstractEventLoop
    figures: Figures

    @property
    def classes(self) -> Mapping[bytes, RequestClass]: ...
    def now_us(self) -> int: ...
    def log(self, text: str) -> None: ...


class ClientConnection(Connection):
    methods = METHODS
    allow = b"Allow: GET, PUT\r\n"
    __slots__ = ("began", "chunked", "closing", "front", "hang_up", "lingering", "moved_at", "overflow",
                 "reading", "request", "size", "taking", "under_way", "used", "waiting",
                 "writable")  # fmt: skip

    def __init__(self, front: Front) -> None:
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
        self.in_head, self.under_way, self.chunked = True, True, False
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
        request.taken_at = self.front.house.now_us()
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
        return not request.keep_alive or (self.front.ending and not self._due)

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
        if not self._watch().readable():
            self.linger()

    def sweep(self, now: float) -> None:
        still = now - self.moved_at
        if self.lingering:
            if still > LINGER_S and (self.writable or still > STALL_S):
                self.transport.abort()
        elif not self.writable:
            if still > STALL_S:
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


class Front:
    """The listening socket and the clients' connections."""

    client_type: type[ClientConnection] = ClientConnection

    def __init__(self, house: House, stage: Stage, bodies: Bodies, most: int) -> None:
        self.house, self.stage, self.bodies, self.most = house, stage, bodies, most
        self.loop = house.loop
        self.clients: dict[ClientConnection, None] = {}
        self.handed = False  # to another process, which accepts in place of this one
        self.opening: set[asyncio.Task[object]] = set()
        self.stopping = self.accepting = False
        self.look_at = 0.0  # not before this is it looked for room again
        self.socket: socket.socket | None = None

    @property
    def ending(self) -> bool:
        """Are clients to leave? Not where another process takes their connections over."""
        return self.stopping and not self.handed

    def listen_on(self, s: socket.socket) -> None:
        """On a listening socket that is there already."""
        s.setblocking(False)
        self.socket = s
        self._accept_more()

    def listen(self, host: str, port: int, shared: bool = False) -> None:
        """`shared` lets another process of this user listen there too. Raises OSError."""
        s = bound(host, port, shared)
        try:
            s.listen(4096)
        except OSError:
            s.close()
            raise
        self.listen_on(s)

    def release(self) -> None:
        """Another process accepts in place of this one, which keeps the socket in case that one ends."""
        self.handed = True
        self._accept_no_more()

    def resume(self) -> None:
        self.handed = False
        self._accept_more()

    def give_away(self, give: Callable[[list[int]], bool], most: int) -> None:
        """Passes connections on which nothing is open to another process, up to `most` at a time; `give` says
        whether it took them. Bytes that nobody has read go with them."""
        free = [c for c in self.clients if c.may_go()]
        for at in range(0, len(free), most):
            going = free[at : at + most]
            copies = [os.dup(c.transport.get_extra_info("socket").fileno()) for c in going]
            given = give(copies)
            for copy in copies:
                os.close(copy)
            if not given:
                return
            for c in going:
                c.transport.abort()  # this process's end of it alone

    def adopt(self, s: socket.socket) -> None:
        """A client's connection, as accepted."""
        s.setblocking(False)
        client = self.client_type(self)
        self.clients[client] = None
        task = self.loop.create_task(self._open(client, s))
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)

    def _accept_more(self) -> None:
        if self.socket is not None and not self.accepting and not self.handed:
            self.accepting = True
            self.loop.add_reader(self.socket.fileno(), self._accept)

    def _accept_no_more(self) -> None:
        if self.socket is not None and self.accepting:
            self.accepting = False
            self.loop.remove_reader(self.socket.fileno())

    def _accept(self) -> bool:
        """Are there perhaps more?"""
        assert self.socket is not None
        for n in range(ACCEPTS):
            # Out of descriptors a connection could only be broken: it waits in the kernel's queue instead.
            # Only at the first is it sure that one has come.
            if len(self.clients) >= self.most and (n or not self._make_room()):
                if not n:
                    self._pause_accepting()
                return False
            try:
                s = accepted(self.socket)
            except NoRoom as e:
                self._pause_accepting()
                self.house.log(f"no connection taken: {e}")
                return False
            if s is None:
                return False
            s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.adopt(s)
        return True

    def _pause_accepting(self) -> None:
        """Those that wait stay in the kernel's queue; a loop that asked on at once would only be busy."""
        self._accept_no_more()
        self.loop.call_later(EVICT_S / 4, self._accept_more)

    async def _open(self, client: ClientConnection, s: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: client, s)
        except OSError:
            if client.transport is None:
                self.clients.pop(client, None)

    def _make_room(self) -> bool:
        """Guards against clients that open connections and ask nothing, or never end a head: those go first,
        then the one that has been idle longest, which sends again on a new one."""
        now = self.loop.time()
        if now < self.look_at:
            return False
        orders = ((c.spared_for(now), c) for c in self.clients)
        found = [(order, c) for order, c in orders if order is not None]
        found.sort(key=lambda f: f[0])
        if not found:
            self.look_at = now + EVICT_S / 4
        for _, c in found[: min(EVICTS, 1 + self.most // 20)]:
            self.clients.pop(c)
            c.transport.close()  # at once, for its descriptor; nothing of an answer is left in it
        return bool(found)

    def lost(self, client: ClientConnection) -> None:
        self.clients.pop(client, None)
        if self.socket is not None and len(self.clients) < self.most:
            self._accept_more()

    def sweep(self) -> None:
        now = self.loop.time()
        for client in list(self.clients):
            if client.transport is not None:
                client.sweep(now)
        self._accept_more()

    def stop_accepting(self) -> None:
        if self.socket is not None:
            while not self.handed and self._accept():
                pass  # closed with it, those that wait would be reset
            self._accept_no_more()
            self.socket.close()
            self.socket = None

    def close_idle(self) -> None:
        fresh = self.loop.time() - FRESH_S
        for client in list(self.clients):
            transport = client.transport
            if transport is None or client.lingering or transport.is_closing():
                continue
            if client.idle and client.moved_at < fresh:
                client.end_idle()
