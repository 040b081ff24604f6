"""Connections between gateways: transports, PING timers, reconnection, and the choice of a connection for a
request."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable
from random import Random
from typing import Protocol, cast

import h2.exceptions

from magpiefront.gateway import http2, wire
from magpiefront.gateway.http2 import Http2Connection
from magpiefront.gateway.health import Backoff, ConnectionHealth
from magpiefront.net.runtime import Runtime
from magpiefront.gateway.routes import LinkState, LinkView
from magpiefront.gateway.settings import Address, GatewaySettings, LinkSettings, Site, Tls
from magpiefront.gateway.store_identity import NO_STORE, StoreIdentity
from magpiefront.hashing import text_hash

WRITE_CHUNK_BYTES = 64 * 1024  # the most that is passed to the transport in one write
# Why a connection drains that is replaced by one with a new hello. `Link._update_state` matches "goes away".
RENEWED = "the connection goes away for one with another store of record"
AVOID_AFTER_REFUSAL_US = 200_000  # how long keyed requests avoid a connection whose peer refused a request


class ResponseHandler(Protocol):
    """Receives the response to one request. `on_end` or `on_broken` is the last call.

    `never_ran`: the peer has certainly not processed the request.
    """

    def on_head(self, fields: list[tuple[bytes, bytes]]) -> None: ...
    def on_body(self, data: bytes) -> None: ...
    def on_end(self) -> None: ...
    def on_broken(self, never_ran: bool, cause: str) -> None: ...


class GatewayConnection(asyncio.Protocol):
    """One end of a connection: passes bytes between the transport and `http2`, and sends PINGs.

    `ConnectionHealth` says when a PING is due. Bytes that the transport has not taken stay in `http2`, so
    that they are known to be unsent.
    """

    def __init__(
        self, runtime: Runtime, client: bool, settings: LinkSettings, seed: int, max_streams: int,
        grants: bool = False,
    ) -> None:  # fmt: skip
        self.runtime, self.http2 = runtime, Http2Connection(client, max_streams, grants)
        self.health = ConnectionHealth(settings, runtime.now_us(), Random(seed))
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.writing_paused = self.closed = self.flushing = False
        self.timer: asyncio.TimerHandle | None = None
        self.connected_at_us = runtime.now_us()

    def handle_event(self, event: http2.Event) -> None:
        """Handles one event of the HTTP/2 connection."""
        raise NotImplementedError

    def on_closed(self, cause: str) -> None:
        """Called once, when the connection has been closed."""
        raise NotImplementedError

    def state_changed(self) -> None:
        """Called when the state of `health` may have changed."""

    # ---- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # TLS transports pause as soon as the buffer size reaches `high`; with 0 they would pause while empty.
        self.transport.set_write_buffer_limits(high=1, low=0)
        self.connected_at_us = self.runtime.now_us()
        self._tick()

    def pause_writing(self) -> None:
        self.writing_paused = True

    def resume_writing(self) -> None:
        self.writing_paused = False
        self.flush()

    def flush(self) -> None:
        """Writes pending output until the transport pauses."""
        if self.closed or self.transport is None or self.flushing:
            return
        self.flushing = True  # a write that fails at once may call this method again
        try:
            while not self.writing_paused and not self.transport.is_closing():
                self.http2.fill_output()
                for event in self.http2.take_writable():
                    self.handle_event(event)
                if self.closed or not self.http2.output:
                    break
                self.transport.write(self.http2.take_output(WRITE_CHUNK_BYTES))
        finally:
            self.flushing = False

    def data_received(self, data: bytes) -> None:
        if self.closed:
            return
        if self.health.is_stale(self.runtime.now_us()):
            self.disconnect("received data may be older than the PING timeout")
            return
        for event in self.http2.receive(data):
            if self.closed:
                return
            if isinstance(event, http2.PingAnswered):
                before = self.health.state
                self.health.pong_received(self.runtime.now_us())
                self._schedule_tick()
                if before is not self.health.state:
                    self.state_changed()
            elif isinstance(event, http2.ConnectionFailed):
                self.flush()
                self.disconnect(event.cause)
            else:
                self.handle_event(event)
        self.flush()

    def eof_received(self) -> bool:
        self.disconnect("the peer closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.disconnect(f"the connection broke{f': {exc}' if exc else ''}")

    def disconnect(self, cause: str, graceful: bool = False) -> None:
        """Closes the connection; open requests on it break. `graceful`: the transport first writes the bytes
        that it has taken."""
        if self.closed:
            return
        self.closed = True
        self.health.mark_down(cause)
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            if graceful:
                self.transport.close()
            else:
                self.transport.abort()
        self.on_closed(cause)

    # ---- PINGs

    def _schedule_tick(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        delay = max(0, self.health.due_us - self.runtime.now_us()) / 1e6 + 0.001
        self.timer = self.runtime.loop.call_later(delay, self._tick)

    def _tick(self) -> None:
        if self.closed:
            return
        before = self.health.state
        if self.health.tick(self.runtime.now_us()):
            self.http2.ping()
        if self.health.state is LinkState.DOWN:
            self.disconnect(self.health.cause)
            return
        if self.health.state is not before:
            self.state_changed()
        if not self.closed:
            self.flush()
            self._schedule_tick()


class ConnectionSettings(Protocol):
    """The settings that a connection reads."""

    @property
    def site(self) -> str: ...
    @property
    def link(self) -> LinkSettings: ...
    @property
    def tls(self) -> Tls | None: ...


class SlotOwner(Protocol):
    """The owner of connection slots: a link to another site, or the connection to a member of the group."""

    runtime: Runtime
    site: str
    context: ssl.SSLContext | None

    @property
    def settings(self) -> ConnectionSettings: ...
    def outbound(self, slot: ConnectionSlot, seed: int) -> OutboundConnection: ...
    def state_changed(self, connection: OutboundConnection) -> None: ...
    # Called when a connection or an attempt to connect has failed, and when the peer has sent GOAWAY.
    def connection_failed(self, peer: Address, cause: str) -> None: ...


class OutboundConnection(GatewayConnection):
    """The end that sends requests.

    It is usable once the peer has answered the hello with its site and its epoch, which identifies one run of
    the peer's process.
    """

    def __init__(
        self, slot: ConnectionSlot, settings: ConnectionSettings, seed: int,
        own_store: Callable[[], StoreIdentity] = lambda: NO_STORE,
    ) -> None:  # fmt: skip
        """`own_store` returns this process's store of record, whose name is sent in the hello."""
        super().__init__(slot.owner.runtime, True, settings.link, seed, 1)
        self.slot, self.settings, self.own_store = slot, settings, own_store
        self.epoch = self.store = ""
        self.told_store = b""  # the store that the hello has told the peer
        # After the peer refused a request, keyed requests go to other connections until this time. Only if
        # the peer has a store of record: other peers may then be able to answer them as well.
        self.avoid_until_us = 0
        self.secure = settings.tls is not None
        self.handlers: dict[int, ResponseHandler] = {}
        self.hello_stream = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.told_store = self.own_store().encoded
        fields = wire.hello_fields(self.settings.site, self.slot.owner.site, self.secure, self.told_store)
        self.hello_stream = self.http2.open_stream(fields, [])
        self.flush()

    @property
    def usable(self) -> bool:
        state = self.health.state
        return (
            bool(self.epoch)
            and not self.closed
            and self.http2.can_open_stream
            and (state is LinkState.UP or state is LinkState.SUSPECT)
        )

    def send(self, fields: list[tuple[bytes, bytes]], body: list[bytes], handler: ResponseHandler) -> int:
        """Sends a request and returns its stream. Raises TooManyStreams if the peer's limit is reached."""
        stream = self.http2.open_stream(fields, body)
        self.handlers[stream] = handler
        self.flush()
        return stream

    def cancel(self, stream: int) -> None:
        """Resets a stream. Its handler is not called again."""
        if self.handlers.pop(stream, None) is not None and not self.closed:
            self.http2.reset(stream)
            self._close_if_drained()
            self.flush()

    def pause_reading(self, stream: int) -> None:
        if not self.closed:
            self.http2.pause_reading(stream)

    def resume_reading(self, stream: int) -> None:
        if not self.closed:
            self.http2.resume_reading(stream)
            self.flush()

    def state_changed(self) -> None:
        self.slot.owner.state_changed(self)

    def on_closed(self, cause: str) -> None:
        handlers, self.handlers = self.handlers, {}
        self.slot.connection_closed(self, cause)
        for stream, handler in handlers.items():
            handler.on_broken(not self.http2.is_fully_written(stream), cause)

    def handle_event(self, event: http2.Event) -> None:
        match event:
            case http2.HeadReceived():
                if event.stream == self.hello_stream:
                    self._handle_hello_answer(event.fields)
                elif event.stream in self.handlers:
                    self.handlers[event.stream].on_head(event.fields)
            case http2.BodyReceived():
                if event.stream in self.handlers:
                    self.handlers[event.stream].on_body(event.data)
            case http2.StreamFinished():
                handler = self.handlers.pop(event.stream, None)
                if not self.http2.is_fully_written(event.stream):
                    self.http2.reset(event.stream)  # answered before the whole request was sent
                self.http2.forget(event.stream)
                if handler is not None:
                    handler.on_end()
                    self._close_if_drained()
            case http2.StreamAborted():
                # A request whose last byte was never written cannot have run, whatever the error code.
                never_ran = event.refused or not self.http2.is_fully_written(event.stream)
                if event.refused:
                    self.avoid_until_us = self.runtime.now_us() + AVOID_AFTER_REFUSAL_US
                handler = self.handlers.pop(event.stream, None)
                self.http2.forget(event.stream)
                if handler is not None:
                    handler.on_broken(
                        never_ran,
                        "the peer refused the request" if event.refused else "the peer reset the stream",
                    )
                    self._close_if_drained()
                elif event.stream == self.hello_stream:
                    self.disconnect("the peer refused the hello")
            case http2.GoAwayReceived():
                self._handle_goaway(event)
            case _:
                pass

    def _handle_hello_answer(self, fields: list[tuple[bytes, bytes]]) -> None:
        answer = dict(fields)
        site = answer.get(b"gw-site", b"").decode("latin-1")
        if answer.get(b":status") != b"200" or answer.get(b"gw-version") != wire.VERSION:
            self.disconnect("the peer is not a gateway of this version")
        elif site != self.slot.owner.site:
            self.disconnect(f"the peer identifies itself as site {site!r}")
        else:
            self.epoch = answer.get(b"gw-epoch", b"").decode("latin-1")
            self.store = answer.get(b"gw-store", b"").decode("latin-1")
            self.slot.hello_answered(self)

    def renew(self) -> None:
        """Has a new connection opened, whose hello tells the present store; open requests end on this one."""
        self.health.start_draining(RENEWED)
        self.slot.connection_draining(self, RENEWED)
        self.state_changed()
        self._close_if_drained()
        self.flush()

    def _handle_goaway(self, event: http2.GoAwayReceived) -> None:
        self.health.start_draining("the peer goes away")  # `Link._update_state` matches this text
        self.slot.connection_draining(self)
        self.state_changed()
        for stream in [s for s in self.handlers if s > event.last_stream]:
            handler = self.handlers.pop(stream)
            self.http2.forget(stream)
            handler.on_broken(True, "the stream is above the last one of GOAWAY")
        self._close_if_drained()

    def _close_if_drained(self) -> None:
        if self.health.state is LinkState.DRAINING and not self.handlers and not self.closed:
            self.disconnect("drained", graceful=True)


class ConnectionSlot:
    """Keeps one connection to a peer open, and reconnects with backoff."""

    def __init__(self, owner: SlotOwner, peer: Address, seed: int) -> None:
        self.owner, self.peer, self.seed = owner, peer, seed
        self.backoff = Backoff(owner.settings.link, Random(seed))
        self.connection: OutboundConnection | None = None
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.next_attempt_us = 0
        self.stopped = False
        self.connect()

    def connect(self) -> None:
        if not self.stopped and self.task is None and self.connection is None:
            self.timer = None
            self.task = self.owner.runtime.loop.create_task(self._connect())

    async def _connect(self) -> None:
        owner = self.owner
        self.seed += 1
        new = owner.outbound(self, self.seed)
        cause, name = "", owner.site if owner.context is not None else None
        try:
            async with asyncio.timeout(owner.settings.link.connect_timeout_us / 1e6):
                await owner.runtime.loop.create_connection(
                    lambda: new, *self.peer, ssl=owner.context, server_hostname=name
                )
        except ssl.SSLCertVerificationError as e:
            cause = f"certificate verification failed: {e.verify_message}"
        except TimeoutError:
            cause = "connect timeout"
        except OSError as e:
            cause = e.strerror or str(e)
        except asyncio.CancelledError:
            self.task = None
            raise
        self.task = None
        if cause:
            self._schedule_connect(cause)
        elif new.closed:
            self._schedule_connect(new.health.cause)
        elif self.stopped:
            new.disconnect("the link is closed")
        else:
            self.connection = new
            owner.runtime.loop.call_later(
                owner.settings.link.connect_timeout_us / 1e6, self._check_hello, new
            )

    def _check_hello(self, connection: OutboundConnection) -> None:
        if connection is self.connection and not connection.epoch:
            connection.disconnect("no answer to the hello")

    def _schedule_connect(self, cause: str) -> None:
        if self.stopped:
            return
        pause = self.backoff.next_pause_us()
        self.next_attempt_us = self.owner.runtime.now_us() + pause
        self.owner.connection_failed(self.peer, cause)
        self.timer = self.owner.runtime.loop.call_later(pause / 1e6, self.connect)

    def hello_answered(self, connection: OutboundConnection) -> None:
        self.connection = connection  # the answer may come before `create_connection` returns
        self.owner.state_changed(connection)

    def connection_draining(
        self, connection: OutboundConnection, cause: str = "the peer goes away"
    ) -> None:  # fmt: skip
        """Opens a new connection for new requests; the draining one finishes its open requests."""
        if connection is self.connection:
            self.connection = None
            # Reported even if the GOAWAY is part of a planned shutdown, because the slot has no connection
            # now. `Link._update_state` matches the text.
            self.owner.connection_failed(self.peer, cause)
            self.connect()  # without backoff: a peer that sends GOAWAY has usually been replaced already

    def connection_closed(self, connection: OutboundConnection, cause: str) -> None:
        self.backoff.connection_lasted(self.owner.runtime.now_us() - connection.connected_at_us)
        if connection is self.connection:
            self.connection = None
            self._schedule_connect(cause)

    def stop(self) -> None:
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        if self.task is not None:
            self.task.cancel()
        if self.connection is not None:
            self.connection.disconnect("the link is closed")


class Link:
    """All connections to one site, and the choice of one for each request.

    `on_usable` is called when a connection becomes usable, `on_suspect` when one becomes suspect.
    """

    def __init__(
        self, runtime: Runtime, settings: GatewaySettings, site: Site, context: ssl.SSLContext | None,
        seed: int, on_usable: Callable[[], None], on_suspect: Callable[[OutboundConnection], None],
        own_store: Callable[[], StoreIdentity] = lambda: NO_STORE,
    ) -> None:  # fmt: skip
        self.runtime, self.settings, self.site, self.context = runtime, settings, site.name, context
        self.on_usable, self.on_suspect = on_usable, on_suspect
        self.own_store = own_store
        self.state = LinkState.DOWN
        self.rotation = 0
        peers = [p for p in site.peers for _ in range(settings.link.connections)]
        self.slots: list[ConnectionSlot] = []
        for n, peer in enumerate(peers):
            self.slots.append(ConnectionSlot(self, peer, seed + 1000 * n))

    def outbound(self, slot: ConnectionSlot, seed: int) -> OutboundConnection:
        return OutboundConnection(slot, self.settings, seed, self.own_store)

    def renew_stale(self) -> None:
        """Renews one of the connections whose hello told another store than the present one: a store may be
        known later, or be another one after a fail-over."""
        told = self.own_store().encoded
        stale = next((c for c in self.usable_connections() if c.told_store != told), None)
        if stale is not None:
            stale.renew()

    def usable_connections(self) -> list[OutboundConnection]:
        """The connections that can take a request now."""
        return [s.connection for s in self.slots if s.connection is not None and s.connection.usable]

    def view(self) -> LinkView:
        """Returns the view of the link for routing: the state and round-trip time of its best connection."""
        candidates = self.usable_connections()
        if not candidates:
            now = self.runtime.now_us()
            again = min((max(0, s.next_attempt_us - now) for s in self.slots), default=0)
            state = LinkState.DRAINING if self.state is LinkState.DRAINING else LinkState.DOWN
            return LinkView(state, 0, again)
        up = [c for c in candidates if c.health.state is LinkState.UP]
        best = min(up or candidates, key=lambda c: c.health.round_trip_us)
        return LinkView(best.health.state, int(best.health.round_trip_us))

    def choose(self, pin: str = "", epoch: str = "", store: str = "") -> OutboundConnection | None:
        """Returns the connection for a request, or None if there is no suitable one.

        If `epoch` is given, it is a connection to the process with that epoch or, if there is none, to a
        process with the given `store`. Otherwise, if `pin` is given, it is a connection to the peer that the
        pin hashes to. Suspect connections are considered only if none is up. If several connections are
        suitable, the one with the fewest open requests is chosen.
        """
        candidates = self.usable_connections()
        candidates = [c for c in candidates if c.health.state is LinkState.UP] or candidates
        if epoch or pin:
            now = self.runtime.now_us()
            candidates = [c for c in candidates if not c.store or now >= c.avoid_until_us] or candidates
        if epoch:
            same = [c for c in candidates if c.epoch == epoch]
            candidates = same or [c for c in candidates if store and c.store == store]
        elif pin and candidates:
            h = text_hash(pin)
            peer = max({c.slot.peer for c in candidates}, key=lambda p: text_hash(f"{p[0]}:{p[1]} {h}"))
            candidates = [c for c in candidates if c.slot.peer == peer]
        if not candidates:
            return None
        self.rotation += 1  # varies the choice among equals
        return min(candidates, key=lambda c: (len(c.handlers), (id(c) + self.rotation) % len(candidates)))

    def state_changed(self, connection: OutboundConnection) -> None:
        self._update_state(connection.health.cause)
        if connection.health.state is LinkState.SUSPECT:
            self.on_suspect(connection)
        elif connection.usable:
            self.on_usable()

    def connection_failed(self, peer: Address, cause: str) -> None:
        self._update_state(f"{peer[0]}:{peer[1]}: {cause}")

    def _update_state(self, cause: str) -> None:
        """Updates the state of the link, and logs a change with its cause.

        A link without a usable connection is draining if the cause contains "goes away", the text used for a
        GOAWAY; otherwise it is down. A draining link remains draining until a connection is usable.
        """
        candidates = self.usable_connections()
        states = [c.health.state for c in candidates]
        if LinkState.UP in states:
            state = LinkState.UP
        elif states:
            state = LinkState.SUSPECT
        else:
            state = LinkState.DRAINING if "goes away" in cause else LinkState.DOWN
        if state is LinkState.DOWN and self.state is LinkState.DRAINING:
            return
        if state is not self.state:
            self.runtime.log(f"link {self.site}: {self.state.value} -> {state.value}: {cause}")
            self.state = state

    def stop(self) -> None:
        """Closes all connections for good."""
        for slot in self.slots:
            slot.stop()


TooManyStreams = h2.exceptions.TooManyStreamsError  # the peer lowered its limit while a stream was opened
