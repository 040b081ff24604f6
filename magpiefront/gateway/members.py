"""Transport of the group's messages over HTTP/2 connections like those between gateways. The messages to a
member use one stream that does not end; operator commands are ordinary requests. The messages to each member
wait in a bounded queue: if it is full the oldest is dropped, so that no sender waits.
"""

from __future__ import annotations

import asyncio
import json
import socket
import ssl
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

from magpiefront.gateway import http2
from magpiefront.gateway.link import OutboundConnection, ConnectionSlot, GatewayConnection
from magpiefront.gateway.service import tls_contexts
from magpiefront.gateway.settings import Address, LinkSettings, Tls
from magpiefront.group.settings import GroupSettings
from magpiefront.group.wire import FrameReader, FrameTooLong
from magpiefront.net.runtime import Runtime
from magpiefront.net.listening import bind_socket

MESSAGES_PATH = b"/.well-known/magpiefront-group"
COMMAND_PATH = MESSAGES_PATH + b"/ask"
VERSION = b"1"
LISTEN_BACKLOG = 256  # connections that wait to be accepted
MAX_STREAMS = 64  # the most open streams of one connection
MAX_COMMAND_BYTES = 64 << 10  # body of an operator command; the stream of a longer one is reset
DEFAULT_LINK_SETTINGS = LinkSettings(
    connections=1, connect_timeout_us=500_000, backoff_us=20_000, max_backoff_us=400_000
)

Fields = list[tuple[bytes, bytes]]
JSON_ANSWER_FIELDS: Fields = [(b":status", b"200"), (b"content-type", b"application/json")]


@dataclass(frozen=True, slots=True)
class MemberLinkSettings:
    """Settings of the connections between members. The certificates of members name `site`."""

    site: str
    tls: Tls | None = None
    link: LinkSettings = field(default_factory=lambda: DEFAULT_LINK_SETTINGS)


class MessageReceiver(Protocol):
    """The member of this process. `receive` handles a message of another member, and returns False if it is
    invalid."""

    settings: GroupSettings

    def receive(self, data: bytes) -> bool: ...


def request_fields(settings: MemberLinkSettings, group: str, member: str, path: bytes) -> Fields:
    """Returns the header fields of a stream of messages or of a command."""
    return [
        (b":method", b"POST"), (b":scheme", b"https" if settings.tls is not None else b"http"),
        (b":authority", settings.site.encode()), (b":path", path), (b"gw-version", VERSION),
        (b"gw-site", settings.site.encode()), (b"gw-group", group.encode()), (b"gw-member", member.encode()),
    ]  # fmt: skip


class OutgoingConnection(OutboundConnection):
    """The sending end of a connection. It is ready once the other end has answered with its member name."""

    slot: ConnectionSlot

    def __init__(self, sender: MemberSender, slot: ConnectionSlot, seed: int) -> None:
        super().__init__(slot, sender.settings, seed)
        self.sender = sender

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        GatewayConnection.connection_made(self, transport)
        group = self.sender.member.settings
        fields = request_fields(self.sender.settings, group.name, group.member, MESSAGES_PATH)
        self.hello_stream = self.http2.open_stream(fields, [], more=True)
        self.flush()

    def _handle_hello_answer(self, fields: Fields) -> None:
        answer = dict(fields)
        name = answer.get(b"gw-member", b"").decode("latin-1")
        if answer.get(b":status") != b"200" or name != self.sender.name:
            self.disconnect(
                f"the member identifies as {name!r}" if name else "it accepts no messages of this group"
            )
            return
        # Members send no epoch when they answer. Any text that is not empty makes `usable` and `send_queued`
        # use the connection.
        self.epoch = "up"
        self.slot.hello_answered(self)

    def handle_event(self, event: http2.Event) -> None:
        if isinstance(event, http2.StreamWritable) and event.stream == self.hello_stream:
            self.sender.send_queued()
        elif isinstance(event, http2.StreamFinished) and event.stream == self.hello_stream:
            self.disconnect("the peer ended the stream")
        else:
            super().handle_event(event)

    def send_message(self, data: bytes) -> bool:
        """Sends a message. Returns whether more can be sent at once."""
        return self.http2.send_body(self.hello_stream, data)


class MemberSender:
    """The connection to one member and the queue of messages for it."""

    def __init__(self, member_transport: MemberTransport, name: str, address: Address) -> None:
        self.member_transport, self.name = member_transport, name
        self.member: MessageReceiver = member_transport.member
        self.runtime: Runtime = member_transport.runtime
        self.settings: MemberLinkSettings = member_transport.settings
        self.context: ssl.SSLContext | None = member_transport.client_context
        self.site = member_transport.settings.site
        self.queue: deque[bytes] = deque(maxlen=member_transport.member.settings.limits.most_queued)
        self.is_full = False  # the stream takes no more messages until it is writable again
        self.is_up = False
        self.slot = ConnectionSlot(self, address, member_transport.random.getrandbits(32))

    def outbound(self, slot: ConnectionSlot, seed: int) -> OutboundConnection:
        return OutgoingConnection(self, slot, seed)

    def state_changed(self, connection: OutboundConnection) -> None:
        if connection.usable and not self.is_up:
            self.is_up, self.is_full = True, False
            self.send_queued()

    def connection_failed(self, peer: Address, cause: str) -> None:
        self.is_up = False
        self.member_transport.counts["connects_failed"] += 1

    def send(self, data: bytes) -> None:
        if len(self.queue) == self.queue.maxlen:
            self.member_transport.counts["dropped"] += 1
        self.queue.append(data)
        if not self.is_full:
            self.send_queued()

    def send_queued(self) -> None:
        """Sends queued messages while the stream accepts more."""
        connection = self.slot.connection
        self.is_full = False
        if not isinstance(connection, OutgoingConnection) or not connection.epoch or connection.closed:
            return
        while self.queue and not self.is_full:
            self.is_full = not connection.send_message(self.queue.popleft())
            self.member_transport.counts["sent"] += 1
        connection.flush()


class IncomingConnection(GatewayConnection):
    """The receiving end of a connection from a member or from an operator's command."""

    def __init__(self, member_transport: MemberTransport, seed: int) -> None:
        super().__init__(member_transport.runtime, False, member_transport.settings.link, seed, MAX_STREAMS)
        self.member_transport = member_transport
        self.frame_readers: dict[int, FrameReader] = {}
        self.command_bodies: dict[int, bytearray] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.member_transport.incoming[self] = None

    def on_closed(self, cause: str) -> None:
        self.member_transport.incoming.pop(self, None)

    def handle_event(self, event: http2.Event) -> None:
        match event:
            case http2.HeadReceived():
                self._on_request(event.stream, dict(event.fields))
            case http2.BodyReceived():
                self._on_data(event.stream, event.data)
            case http2.StreamFinished():
                self.frame_readers.pop(event.stream, None)
                if event.stream in self.command_bodies:
                    self._run_command(event.stream, bytes(self.command_bodies.pop(event.stream)))
            case http2.StreamAborted():
                self.http2.forget(event.stream)
                self.frame_readers.pop(event.stream, None)
                self.command_bodies.pop(event.stream, None)
            case _:
                pass

    def _on_request(self, stream: int, fields: dict[bytes, bytes]) -> None:
        """Accepts a stream of messages or a command, or refuses it with 403 and the reason."""
        group = self.member_transport.member.settings
        refusal = ""
        if fields.get(b":path") not in (MESSAGES_PATH, COMMAND_PATH) or fields.get(b"gw-version") != VERSION:
            refusal = "path"
        elif fields.get(b"gw-group") != group.name.encode():
            refusal = "group"
        elif not self._has_valid_certificate(fields.get(b"gw-site", b"").decode("latin-1")):
            refusal = "certificate"
        elif (
            fields[b":path"] == MESSAGES_PATH
            and fields.get(b"gw-member", b"").decode("latin-1") not in group.members
        ):
            refusal = "member"
        if refusal:
            self.member_transport.counts[f"turned_away_{refusal}"] += 1
            self.http2.send_head(stream, [(b":status", b"403"), (b"gw-refused", refusal.encode())], True)
        elif fields[b":path"] == COMMAND_PATH:
            self.command_bodies[stream] = bytearray()
        else:
            self.frame_readers[stream] = FrameReader(group.limits.most_message)
            self.http2.send_head(stream, [(b":status", b"200"), (b"gw-member", group.member.encode())], False)

    def _has_valid_certificate(self, site: str) -> bool:
        """Whether the peer claims to be of this site and, with TLS, its certificate names the site."""
        if site != self.member_transport.settings.site:
            return False
        ssl_object: ssl.SSLObject | None = self.transport.get_extra_info("ssl_object")
        if ssl_object is None:
            return self.member_transport.settings.tls is None
        names = [v for k, v in (ssl_object.getpeercert() or {}).get("subjectAltName", ()) if k == "DNS"]  # type: ignore[misc]
        return site in names

    def _on_data(self, stream: int, data: bytes) -> None:
        if stream in self.command_bodies:
            self.command_bodies[stream] += data
            if len(self.command_bodies[stream]) > MAX_COMMAND_BYTES:
                del self.command_bodies[stream]
                self.http2.reset(stream)
        elif stream in self.frame_readers:
            try:
                for message in self.frame_readers[stream].feed(data):
                    self.member_transport.counts["received"] += 1
                    self.member_transport.member.receive(message)
            except FrameTooLong as e:
                self.member_transport.counts["too_long"] += 1
                self.disconnect(str(e))

    def _run_command(self, stream: int, data: bytes) -> None:
        """Runs a complete command and sends its answer."""

        def send_answer(answer: dict[str, Any]) -> None:
            if not self.closed:
                self.http2.send_head(stream, JSON_ANSWER_FIELDS, False)
                self.http2.send_body(stream, json.dumps(answer).encode(), True)
                self.flush()

        try:
            command = json.loads(data)
            if not isinstance(command, dict):
                raise ValueError("is no object")
        except ValueError as e:
            send_answer({"error": f"an ask that can't be read: {e}"})
            return
        self.member_transport.command_handler(command, send_answer)


CommandHandler = Callable[[dict[str, Any], Callable[[dict[str, Any]], None]], None]


class MemberTransport:
    """Implements `magpiefront.group.interface.Transport`.

    Connects to a member when the first message to it is sent.
    """

    def __init__(
        self, runtime: Runtime, member: MessageReceiver, settings: MemberLinkSettings,
        command_handler: CommandHandler, seed: int,
    ) -> None:  # fmt: skip
        self.runtime, self.member, self.settings, self.command_handler = (
            runtime, member, settings, command_handler
        )  # fmt: skip
        self.random = Random(seed)
        self.server_context, self.client_context = tls_contexts(settings.tls)
        self.counts: Counter[str] = Counter()
        self.senders: dict[str, MemberSender] = {}
        self.incoming: dict[IncomingConnection, None] = {}
        self.server: asyncio.Server | None = None
        self.socket: socket.socket | None = None

    async def listen(self) -> None:
        """Binds the address of this member and accepts connections. Raises OSError if it cannot be bound."""
        self.socket = bind_socket(*self.member.settings.listen)
        self.socket.listen(LISTEN_BACKLOG)
        self.server = await self.runtime.loop.create_server(
            lambda: IncomingConnection(self, self.random.getrandbits(32)),
            sock=self.socket,
            ssl=self.server_context,
        )

    def send(self, name: str, data: bytes) -> None:
        sender = self.senders.get(name)
        if sender is None:
            address = self.member.settings.members.get(name)
            if address is None:
                self.counts["unknown_member"] += 1
                return
            sender = self.senders[name] = MemberSender(self, name, address)
        sender.send(data)

    def stop(self) -> None:
        """Closes all connections. `listen` and `send` may be called again afterwards."""
        for sender in self.senders.values():
            sender.slot.stop()
        self.senders.clear()
        if self.server is not None:
            self.server.close()
            self.server = None
        for peer in list(self.incoming):
            peer.disconnect("this member is stopping")


async def send_command(
    address: Address, settings: MemberLinkSettings, group: str, command: dict[str, Any], timeout_s: float
) -> dict[str, Any]:  # fmt: skip
    """Sends a command to the member at `address` and returns its answer. Raises OSError, TimeoutError, or
    ValueError if the connection breaks or the member refuses the command."""
    _, context = tls_contexts(settings.tls)
    data = json.dumps(command).encode()
    client = http2.Http2Connection(True)
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(
            *address, ssl=context, server_hostname=settings.site if context is not None else None
        )
        try:
            stream = client.open_stream(request_fields(settings, group, "", COMMAND_PATH), [data])
            body = bytearray()
            while True:
                writer.write(client.take_output(1 << 20))
                received = await reader.read(1 << 16)
                if not received:
                    raise ValueError("the member closed the connection")
                for e in client.receive(received):
                    match e:
                        case http2.HeadReceived() if dict(e.fields).get(b":status") != b"200":
                            refusal = dict(e.fields).get(b"gw-refused", b"").decode("latin-1")
                            raise ValueError(f"it refuses the command: {refusal or 'no reason given'}")
                        case http2.BodyReceived() if e.stream == stream:
                            body += e.data
                        case http2.StreamFinished() if e.stream == stream:
                            answer: dict[str, Any] = json.loads(body)
                            return answer
                        case http2.ConnectionFailed() | http2.GoAwayReceived() | http2.StreamAborted():
                            raise ValueError("the connection broke")
                        case _:
                            pass
        finally:
            writer.close()
