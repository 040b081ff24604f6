"""The accepting end of links: requests from other sites enter this site's stages like those of clients."""

from __future__ import annotations

import asyncio
import socket
import ssl
from collections import Counter
from collections.abc import Callable, Sequence

from magpiefront.gateway import http2, wire
from magpiefront.gateway.body_reservation import MAX_MEMORY_WAIT_S, STREAM_COST_BYTES, BodyReservation
from magpiefront.gateway.counters import Counters
from magpiefront.gateway.repeat import effective_repeat
from magpiefront.net.client_memory import ClientMemory
from magpiefront.net.execution import ExecutionTracker, mark_may_have_run
from magpiefront.net.runtime import StageRuntime
from magpiefront.net.listening import bind_socket
from magpiefront.gateway.link import GatewayConnection
from magpiefront.gateway.routes import Credit, Credits, Reason, Routes
from magpiefront.gateway.settings import GatewaySettings
from magpiefront.gateway.store_identity import NO_STORE, StoreIdentity
from magpiefront.interface import Repeat
from magpiefront.net.request import CrossSiteStage, Request
from magpiefront.repeat_limits import FIRST_SENDING, RepeatLimits, Unplaced

LISTEN_BACKLOG = 100  # connections that wait to be accepted
MAX_SHED = 16  # requests that one call of `shed_memory` refuses
# Pause between the GOAWAYs to two connections of one site, when another process takes over.
GOAWAY_SPACING_S = 0.2
# From the first GOAWAY to the final one; a stream that arrives in between is still served.
FINAL_GOAWAY_DELAY_S = 0.25


class InboundRequest:
    """One request from another gateway, until its answer is sent. Also the `Responder` of this request."""

    __slots__ = ("connection", "credit", "done", "head", "request", "reservation", "size", "stage", "started",
                 "stream", "streaming")  # fmt: skip

    def __init__(
        self, connection: InboundConnection, stream: int, head: wire.RequestHead, credit: Credit
    ) -> None:  # fmt: skip
        self.connection, self.stream, self.head, self.credit = connection, stream, head, credit
        self.request = Request(self, self._limits())
        self.request.execution = ExecutionTracker()
        self.stage = connection.listener.stage  # that it is passed to, once it is complete
        self.size = 0
        self.started = self.done = self.streaming = False
        listener = connection.listener
        self.reservation = BodyReservation(listener.memory, self._grant, listener.runtime.loop.time)

    def _grant(self, size: int) -> None:
        """Lets the sender send so many bytes more."""
        if not self.connection.closed:
            self.connection.http2.grant(self.stream, size)
            self.connection.flush()

    def _limits(self) -> RepeatLimits:
        """What binds the request if its sender may have sent it before, counted from when its head came.
        Where it may have run is known here if only this process may have had it."""
        listener, age_us = self.connection.listener, self.head.key_age_us
        cls = listener.runtime.classes.get(self.head.headers.get(b"req-kind", b""))
        if not age_us or cls is None or self.head.repeat is not Repeat.KEYED:
            return FIRST_SENDING
        place = Unplaced.NOWHERE if self.head.ran_at == listener.epoch else Unplaced.UNKNOWN
        return RepeatLimits(listener.runtime.now_us() - age_us, cls.window_us, place)

    # ---- Responder

    def answer(
        self, request: Request, status: int, body: Sequence[bytes] = (), more: bytes = b""
    ) -> None:  # fmt: skip
        data = b"".join(body)
        self._head(status, len(data), more, not data)
        if data:
            self._data(data, True)
        self.finish()

    def begin(self, request: Request, length: int | None, more: bytes, status: int = 200) -> None:
        self.streaming = True
        self._head(status, length, more, False)

    def write_body(self, request: Request, body: bytes) -> None:
        self._data(body, False)

    def end(self, request: Request) -> None:
        self._data(b"", True)
        self.finish()

    def abort(self, request: Request) -> None:
        if self.stream in self.connection.incoming:
            self.connection.http2.reset(self.stream, http2.INTERNAL_ERROR_CODE)
            self.connection.flush()
        self.finish()

    def _head(self, status: int, length: int | None, more: bytes, end: bool) -> None:
        if self.stream in self.connection.incoming and not self.connection.closed:
            self.connection.http2.send_head(self.stream, self._fields(status, length, more), end)
            self.connection.flush()

    def _fields(self, status: int, length: int | None, more: bytes) -> wire.Fields:
        # The execution tracker says whether the request may have run. Before a stage has accepted the
        # request, the tracker says that it never ran.
        execution = self.request.execution
        never_ran = status >= 300 and not execution.may_have_run
        forwards_all = self.connection.listener.settings.forwards_all
        return wire.answer_fields(status, length, more, "", forwards_all, never_ran, execution.undecided)

    def _data(self, data: bytes, end: bool) -> None:
        if self.stream in self.connection.incoming and not self.connection.closed:
            if not self.connection.http2.send_body(self.stream, data, end) and not end:
                self.stage.pause_response(self.request)
            self.connection.flush()

    def finish(self) -> None:
        if not self.done:
            self.done = True
            self.reservation.release()
            self.request.body = []  # a clone that still runs has the list; the cycle with this one has not
            self.connection.finished(self)


class InboundConnection(GatewayConnection):
    """The end that receives requests."""

    listener: GatewayListener

    def __init__(self, listener: GatewayListener, seed: int) -> None:
        # 64 streams more than credits, for the hello and for streams whose end the peer has not received yet.
        super().__init__(
            listener.runtime, False, listener.settings.link, seed, listener.settings.credits.crossing + 64,
            grants=True,
        )  # fmt: skip
        self.listener = listener
        self.incoming: dict[int, InboundRequest] = {}
        self.last_stream: int | None = None  # named in the final GOAWAY; None until that is sent
        self.site = ""  # the peer's site, once its hello has been received
        # The store that the peer has told; empty if it has none or does not know it yet. None: its version
        # tells none, and takes an undecided answer for the final answer of a report.
        self.peer_store: bytes | None = b""
        self.told_store = b""  # the store that this process has told the peer
        self.is_renewed = False  # whether the peer was asked to connect again

    @property
    def bypasses_store(self) -> bool:
        """Whether requests of this peer bypass the stage that stores reports. If the peer has the same store,
        that stage would find the report there, in the row from which the peer sends it, and the report would
        wait for itself."""
        return self.peer_store is None or (
            bool(self.peer_store) and self.listener.store().is_certainly(self.peer_store)
        )

    @property
    def stage(self) -> CrossSiteStage:
        """The stage for requests of this peer. It can change, since a store may be known later."""
        return self.listener.keyed if self.bypasses_store else self.listener.stage

    @property
    def store_to_tell(self) -> bytes:
        return b"" if self.bypasses_store else self.listener.store().encoded

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.listener.connections[self] = None
        if self.listener.draining:
            self.disconnect("this gateway shuts down")

    def on_closed(self, cause: str) -> None:
        self.listener.connections.pop(self, None)
        for incoming in list(self.incoming.values()):
            self._abandon(incoming)

    def _abandon(self, incoming: InboundRequest) -> None:
        """Ends a request that its sender has given up. A keyed request continues to run, because its sender
        may repeat it to get the answer."""
        self.incoming.pop(incoming.stream, None)
        if incoming.started and not incoming.done:
            incoming.stage.client_left(incoming.request)
        incoming.finish()

    def finished(self, incoming: InboundRequest) -> None:
        self.incoming.pop(incoming.stream, None)
        self.listener.finished(incoming)

    def send_goaway(self, is_final: bool = False) -> None:
        """Sends GOAWAY. `is_final`: streams that arrive from now on are refused (RFC 9113, 6.8)."""
        if is_final:
            self.last_stream = self.http2.last_peer_stream
        self.http2.go_away(self.last_stream)
        self.flush()

    def handle_event(self, event: http2.Event) -> None:
        match event:
            case http2.HeadReceived():
                self._receive_head(event.stream, event.fields)
            case http2.BodyReceived():
                self._receive_body(event.stream, event.data)
            case http2.StreamFinished():
                incoming = self.incoming.get(event.stream)
                if incoming is not None and not incoming.started:
                    self._complete(incoming)
            case http2.StreamAborted():
                self.http2.forget(event.stream)
                if event.stream in self.incoming:
                    self._abandon(self.incoming[event.stream])
            case http2.StreamWritable():
                incoming = self.incoming.get(event.stream)
                if incoming is not None and incoming.streaming:
                    incoming.stage.resume_response(incoming.request)
            case _:
                pass

    def refuse(self, stream: int, reason: str) -> None:
        """Resets a stream with REFUSED_STREAM: the request was certainly not processed (RFC 9113, 8.7)."""
        self.listener.counters.add(f"in_refused_{reason}")
        self.http2.reset(stream, http2.REFUSED_STREAM_CODE)

    def _receive_head(self, stream: int, fields: list[tuple[bytes, bytes]]) -> None:
        if (b":path", wire.HELLO) in fields:
            self._handle_hello(stream, dict(fields))
            return
        if self.last_stream is not None and stream > self.last_stream:
            self.refuse(stream, "draining")
            return
        try:
            head = wire.read_request(fields)
        except wire.InvalidHead as e:
            self.listener.runtime.log(f"gateway: invalid request head: {e}")
            self._reject(stream, 400, "unreadable")
            return
        reason = self.listener.routes.admit(head.via)
        if reason is not None:
            self.listener.runtime.log(
                f"gateway: {reason.value}: rejected a request that came via {','.join(head.via)}"
            )
            self._reject(stream, 508, reason.value)
            return
        name = head.headers.get(b"req-kind", b"").decode("latin-1")
        if self.listener.credits.used * STREAM_COST_BYTES > self.listener.memory.limit:
            self.refuse(stream, "memory")  # open requests alone would take all that bodies need
            return
        credit = self.listener.credits.take(name, head.headers.get(b"req-owner", b"").decode("latin-1"))
        if isinstance(credit, Reason):
            self.refuse(stream, credit.value)
            return
        incoming = self.incoming[stream] = InboundRequest(self, stream, head, credit)
        if head.length is not None:
            self._expect_body(incoming, head.length)

    def _expect_body(self, incoming: InboundRequest, length: int) -> None:
        """Reserves memory for a body, or refuses one for which there can never be room."""
        if length > min(self.listener.settings.max_body_bytes, self.listener.memory.message_limit):
            self._reject_body(incoming)
        else:
            incoming.reservation.expect(length)

    def _reject_body(self, incoming: InboundRequest) -> None:
        self._reject(incoming.stream, 413, "body")
        incoming.finish()
        self.http2.reset(incoming.stream, http2.NO_ERROR_CODE)

    def refuse_for_memory(self, incoming: InboundRequest) -> None:
        """Refuses a request whose body has not come as a whole, for lack of memory."""
        self.refuse(incoming.stream, "memory")
        incoming.finish()
        self.flush()

    def _reject(self, stream: int, status: int, reason: str) -> None:
        self.listener.counters.add(f"in_refused_{reason}")
        self.http2.send_head(stream, wire.answer_fields(status, 0, b"", reason), True)

    def _handle_hello(self, stream: int, fields: dict[bytes, bytes]) -> None:
        site = fields.get(b"gw-site", b"").decode("latin-1")
        ssl_object: ssl.SSLObject | None = self.transport.get_extra_info("ssl_object")
        if ssl_object is not None:
            names = [v for k, v in (ssl_object.getpeercert() or {}).get("subjectAltName", ()) if k == "DNS"]  # type: ignore[misc]
            if site not in names:
                self.disconnect(f"the peer's certificate does not name its site {site!r}")
                return
        if site not in self.listener.settings.sites or site == self.listener.settings.site:
            self.listener.runtime.log(
                f"gateway: rejected a hello from {site!r}, which is not another site of the table"
            )
            self._reject(stream, 403, "site")
            return
        self.site, self.peer_store = site, fields.get(b"gw-store")
        self.told_store = self.store_to_tell
        answer = wire.hello_answer_fields(self.listener.settings.site, self.listener.epoch, self.told_store)
        self.http2.send_head(stream, answer, True)

    def _receive_body(self, stream: int, data: bytes) -> None:
        incoming = self.incoming.get(stream)
        if incoming is None:
            return
        if not incoming.size and incoming.head.length is None:
            self._expect_body(incoming, self.listener.settings.max_body_bytes)  # its sender told no length
        incoming.size += len(data)
        if incoming.size > self.listener.settings.max_body_bytes:
            self._reject_body(incoming)
        else:
            incoming.request.body.append(data)

    def _complete(self, incoming: InboundRequest) -> None:
        """Passes a completely received request to the listener, or answers it at once if it is invalid."""
        r, head = incoming.request, incoming.head
        r.method, r.target, r.headers, r.size = head.method, head.target, head.headers, incoming.size
        incoming.started = True
        incoming.reservation.complete()
        status = r.check(self.listener.runtime.classes, methods=self.listener.settings.methods)
        if self.listener.settings.forwards_all:
            r.extra_fields += head.extra_fields
        if not status:
            cls = self.listener.runtime.classes[head.headers[b"req-kind"]]
            if effective_repeat(cls, head.headers) is not head.repeat:
                here, there = cls.repeat.value, head.repeat.value
                self.listener.runtime.log(
                    f"gateway: class {cls.name} is {here} at this site, {there} at the sender"
                )
                status = 400
        if status:
            incoming.answer(r, status)
            return
        r.received_at = self.listener.runtime.now_us()
        r.time_left = head.time_left_us
        self.listener.accept_request(incoming)


class GatewayListener:
    """Accepts connections of other sites' gateways and forwards their requests to `stage`.

    `stage` is the keyed stage, or the stage in front of it that stores reports. No request is sent on to a
    third site. `epoch` identifies this run of the process, `memory` is the account that bodies are reserved
    in, and `store` returns the store of record of this process.
    """

    name = "gateway"  # of the socket in a handover

    def __init__(
        self, runtime: StageRuntime, settings: GatewaySettings, routes: Routes, keyed: CrossSiteStage,
        counters: Counters,
        context: ssl.SSLContext | None, seed: int, epoch: str, memory: ClientMemory,
        store: Callable[[], StoreIdentity] = lambda: NO_STORE,
    ) -> None:  # fmt: skip
        self.runtime, self.settings, self.routes, self.keyed, self.store = (
            runtime, settings, routes, keyed, store
        )  # fmt: skip
        self.memory = memory
        self.stage: CrossSiteStage = keyed
        self.counters, self.context, self.seed, self.epoch = counters, context, seed, epoch
        self.credits = Credits(settings.credits)
        self.connections: dict[InboundConnection, None] = {}
        self.open_requests: dict[bytes, InboundRequest] = {}
        self.server: asyncio.Server | None = None
        self.socket: socket.socket | None = None
        self.task: asyncio.Task[None] | None = None
        self.draining = False
        self.pending_goaways = 0  # connections to which `release` has yet to send the final GOAWAY

    async def listen(self, inherited: socket.socket | None = None) -> None:
        """Binds the socket and accepts connections. An inherited socket accepts them only after `accept`.

        Raises OSError if the address can't be bound.
        """
        self.socket = inherited or bind_socket(*self.settings.listen)
        if inherited is None:
            self.socket.listen(LISTEN_BACKLOG)
            await self.accept()

    async def accept(self) -> None:
        """Starts accepting connections. No effect if it accepts already."""
        if self.server is None and self.socket is not None:
            self.draining = False
            copy = self.socket.dup()  # the server closes its socket
            copy.setblocking(False)
            self.server = await self.runtime.loop.create_server(self._accept, sock=copy, ssl=self.context)

    def release(self) -> None:
        """Stops accepting and has the peers connect to another process, which accepts now. Open requests are
        finished here.

        GOAWAY is sent to the connections of a site one after the other, so that a link always has a
        connection.
        """
        self._stop_accepting()
        sent_by_site: Counter[str] = Counter()
        for connection in self.connections:
            self.runtime.loop.call_later(
                sent_by_site[connection.site] * GOAWAY_SPACING_S, self._send_goaway, connection
            )
            sent_by_site[connection.site] += 1
            self.pending_goaways += 1

    def _send_goaway(self, connection: InboundConnection, is_final: bool = False) -> None:
        if connection in self.connections and not self.draining and self.server is None:
            connection.send_goaway(is_final)
            if not is_final:
                self.runtime.loop.call_later(FINAL_GOAWAY_DELAY_S, self._send_goaway, connection, True)
                return
        self.pending_goaways -= 1

    def resume(self) -> None:
        """Starts accepting again after a handover that failed."""
        self.task = self.runtime.loop.create_task(self.accept())

    def _accept(self) -> InboundConnection:
        self.seed += 1
        return InboundConnection(self, self.seed)

    @property
    def port(self) -> int:
        assert self.socket is not None
        return int(self.socket.getsockname()[1])

    def configure(self, settings: GatewaySettings) -> None:
        self.settings = settings
        self.credits.configure(settings.credits)

    def accept_request(self, incoming: InboundRequest) -> None:
        """Passes a complete request to the stage of its connection, or answers or refuses it."""
        r = incoming.request
        earlier = self.open_requests.get(r.wire_id)
        if earlier is not None and incoming.head.repeat is Repeat.SAFE:
            # The sender has given up the connection on which it sent this request before, but this end has
            # not detected that yet.
            earlier.connection._abandon(earlier)
        self.open_requests[r.wire_id] = incoming
        self.counters.add("in_taken")
        stage = incoming.stage = incoming.connection.stage
        if incoming.head.ran_at not in ("", self.epoch) and not stage.can_tell_if_run(r):
            self.counters.add("in_ran_elsewhere")
            mark_may_have_run(r)
            r.responder.answer(r, 502)
            return
        if not stage.may_accept(r):
            incoming.connection.refuse(incoming.stream, "not_acting")
            incoming.finish()
            return
        stage.submit_from_site(r)

    def finished(self, incoming: InboundRequest) -> None:
        """Returns the credit of a request whose answer is sent or whose sender has given up."""
        self.credits.release(incoming.credit)
        if self.open_requests.get(incoming.request.wire_id) is incoming:
            del self.open_requests[incoming.request.wire_id]

    def refuse_waiting(self) -> None:
        """Refuses requests that have waited too long for memory; called periodically."""
        for incoming in self._incomplete():
            if incoming.reservation.has_waited(MAX_MEMORY_WAIT_S):
                incoming.connection.refuse_for_memory(incoming)

    def shed_memory(self) -> None:
        """Frees memory at once: refuses requests whose bodies are not complete, those that hold most first.
        At most MAX_SHED in a call."""
        incomplete = sorted(self._incomplete(), key=lambda i: i.reservation.held, reverse=True)
        for incoming in incomplete[:MAX_SHED]:
            incoming.connection.refuse_for_memory(incoming)

    def _incomplete(self) -> list[InboundRequest]:
        return [i for c in self.connections for i in c.incoming.values() if not i.started]

    def renew_stale(self) -> None:
        """Asks peers that were told another store than the present one to connect again: a store may be known
        later, or be another one after a fail-over. One connection of a site at a time, so that a link keeps
        the others."""
        sites = set[str]()
        for connection in list(self.connections):
            is_stale = connection.site and connection.told_store != connection.store_to_tell
            if is_stale and not connection.is_renewed and connection.site not in sites:
                sites.add(connection.site)
                connection.is_renewed = True
                connection.send_goaway()
                self.runtime.loop.call_later(FINAL_GOAWAY_DELAY_S, self._end_renewed, connection)

    def _end_renewed(self, connection: InboundConnection) -> None:
        if connection in self.connections:
            connection.send_goaway(True)

    def drain(self) -> None:
        """Stops accepting, and sends each peer a first GOAWAY and a final one later (RFC 9113, 6.8).

        Open requests are finished.
        """
        if self.draining:
            return
        self.draining = True
        self._stop_accepting()
        for connection in list(self.connections):
            connection.send_goaway()
        self.runtime.loop.call_later(FINAL_GOAWAY_DELAY_S, self._send_final_goaways)

    def _stop_accepting(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None

    def _send_final_goaways(self) -> None:
        for connection in list(self.connections):
            connection.send_goaway(True)

    @property
    def busy(self) -> bool:
        """Whether there are open requests, unsent bodies, or GOAWAY frames that are still to be sent."""
        return self.pending_goaways > 0 or any(
            connection.incoming or connection.http2.send_buffers for connection in self.connections
        )

    def stop(self) -> None:
        """Closes the socket and all connections."""
        self._stop_accepting()
        if self.socket is not None:
            self.socket.close()
            self.socket = None
        for connection in list(self.connections):
            connection.disconnect("this gateway shuts down")
