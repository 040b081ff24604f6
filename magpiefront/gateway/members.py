"""How the group's messages ride on the gateways' HTTP/2: one endless stream to each member, and asks of
operators as ordinary requests. What can't be sent is dropped, the oldest first; nothing waits for it.
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

from magpiefront.gateway import engine
from magpiefront.gateway.link import Outbound, Slot, Wire
from magpiefront.gateway.service import contexts
from magpiefront.gateway.settings import Address, LinkSettings, Tls
from magpiefront.group.settings import GroupSettings
from magpiefront.group.wire import Frames, TooLong
from magpiefront.net.house import House
from magpiefront.net.listening import bound

PATH = b"/.well-known/magpiefront-group"
ASK = PATH + b"/ask"
VERSION = b"1"
LISTEN = 256
MOST_STREAMS = 64
MOST_ASK = 64 << 10
QUICK = LinkSettings(connections=1, connect_timeout_us=500_000, backoff_us=20_000, most_backoff_us=400_000)

Fields = list[tuple[bytes, bytes]]
ANSWER: Fields = [(b":status", b"200"), (b"content-type", b"application/json")]


@dataclass(frozen=True, slots=True)
class WaySettings:
    """What the connections need; `site` stands in certificates."""

    site: str
    tls: Tls | None = None
    link: LinkSettings = field(default_factory=lambda: QUICK)


class Member(Protocol):
    """Who is told what has come."""

    settings: GroupSettings

    def receive(self, data: bytes) -> bool: ...


def request_fields(settings: WaySettings, group: str, member: str, path: bytes) -> Fields:
    return [
        (b":method", b"POST"), (b":scheme", b"https" if settings.tls is not None else b"http"),
        (b":authority", settings.site.encode()), (b":path", path), (b"gw-version", VERSION),
        (b"gw-site", settings.site.encode()), (b"gw-group", group.encode()), (b"gw-member", member.encode()),
    ]  # fmt: skip


class ToMember(Outbound):
    """The sending end: greeted once the other one has said which group and member it is."""

    slot: Slot

    def __init__(self, way: OneWay, slot: Slot, seed: int) -> None:
        super().__init__(slot, way.settings, seed)
        self.way = way

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        Wire.connection_made(self, transport)
        group = self.way.member.settings
        fields = request_fields(self.way.settings, group.name, group.member, PATH)
        self.hello = self.engine.open(fields, [], more=True)
        self.flush()

    def _greeted(self, fields: Fields) -> None:
        told = dict(fields)
        name = told.get(b"gw-member", b"").decode("latin-1")
        if told.get(b":status") != b"200" or name != self.way.name:
            self.lose(f"it says that it is {name!r}" if name else "it takes no messages of this group")
            return
        self.epoch = "up"
        self.slot.greeted(self)

    def handle(self, event: engine.Event) -> None:
        if isinstance(event, engine.Writable) and event.stream == self.hello:
            self.way.pump()
        elif isinstance(event, engine.Ended) and event.stream == self.hello:
            self.lose("the peer ended the stream")
        else:
            super().handle(event)

    def put(self, data: bytes) -> bool:
        """Whether it takes more."""
        return self.engine.data(self.hello, data)


class OneWay:
    """To one member: its connection, and what waits for it."""

    def __init__(self, ways: MemberWay, name: str, address: Address) -> None:
        self.ways, self.name = ways, name
        self.member: Member = ways.member
        self.house: House = ways.house
        self.settings: WaySettings = ways.settings
        self.context: ssl.SSLContext | None = ways.client_context
        self.site = ways.settings.site
        self.queue: deque[bytes] = deque(maxlen=ways.member.settings.limits.most_queued)
        self.full = False
        self.up = False
        self.slot = Slot(self, address, ways.random.getrandbits(32))

    def outbound(self, slot: Slot, seed: int) -> Outbound:
        return ToMember(self, slot, seed)

    def changed(self, wire: Outbound) -> None:
        if wire.usable and not self.up:
            self.up, self.full = True, False
            self.pump()

    def failed(self, peer: Address, cause: str) -> None:
        self.up = False
        self.ways.counts["connects_failed"] += 1

    def send(self, data: bytes) -> None:
        if len(self.queue) == self.queue.maxlen:
            self.ways.counts["dropped"] += 1
        self.queue.append(data)
        if not self.full:
            self.pump()

    def pump(self) -> None:
        wire = self.slot.wire
        self.full = False
        if not isinstance(wire, ToMember) or not wire.epoch or wire.closed:
            return
        while self.queue and not self.full:
            self.full = not wire.put(self.queue.popleft())
            self.ways.counts["sent"] += 1
        wire.flush()


class FromMember(Wire):
    """The receiving end: of a member, or of an operator's command."""

    def __init__(self, ways: MemberWay, seed: int) -> None:
        super().__init__(ways.house, False, ways.settings.link, seed, MOST_STREAMS)
        self.ways = ways
        self.frames: dict[int, Frames] = {}
        self.asks: dict[int, bytearray] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.ways.peers[self] = None

    def closing(self, cause: str) -> None:
        self.ways.peers.pop(self, None)

    def handle(self, event: engine.Event) -> None:
        match event:
            case engine.Began():
                self._began(event.stream, dict(event.fields))
            case engine.Came():
                self._came(event.stream, event.data)
            case engine.Ended():
                self.frames.pop(event.stream, None)
                if event.stream in self.asks:
                    self._answer(event.stream, bytes(self.asks.pop(event.stream)))
            case engine.Reset():
                self.engine.forget(event.stream)
                self.frames.pop(event.stream, None)
                self.asks.pop(event.stream, None)
            case _:
                pass

    def _began(self, stream: int, told: dict[bytes, bytes]) -> None:
        group = self.ways.member.settings
        why = ""
        if told.get(b":path") not in (PATH, ASK) or told.get(b"gw-version") != VERSION:
            why = "path"
        elif told.get(b"gw-group") != group.name.encode():
            why = "group"
        elif not self._certified(told.get(b"gw-site", b"").decode("latin-1")):
            why = "certificate"
        elif told[b":path"] == PATH and told.get(b"gw-member", b"").decode("latin-1") not in group.members:
            why = "member"
        if why:
            self.ways.counts[f"turned_away_{why}"] += 1
            self.engine.head(stream, [(b":status", b"403"), (b"gw-refused", why.encode())], True)
        elif told[b":path"] == ASK:
            self.asks[stream] = bytearray()
        else:
            self.frames[stream] = Frames(group.limits.most_message)
            self.engine.head(stream, [(b":status", b"200"), (b"gw-member", group.member.encode())], False)

    def _certified(self, site: str) -> bool:
        if site != self.ways.settings.site:
            return False
        ssl_object: ssl.SSLObject | None = self.transport.get_extra_info("ssl_object")
        if ssl_object is None:
            return self.ways.settings.tls is None
        names = [v for k, v in (ssl_object.getpeercert() or {}).get("subjectAltName", ()) if k == "DNS"]  # type: ignore[misc]
        return site in names

    def _came(self, stream: int, data: bytes) -> None:
        if stream in self.asks:
            self.asks[stream] += data
            if len(self.asks[stream]) > MOST_ASK:
                del self.asks[stream]
                self.engine.reset(stream)
        elif stream in self.frames:
            try:
                for message in self.frames[stream].feed(data):
                    self.ways.counts["received"] += 1
                    self.ways.member.receive(message)
            except TooLong as e:
                self.ways.counts["too_long"] += 1
                self.lose(str(e))

    def _answer(self, stream: int, data: bytes) -> None:
        def answer(told: dict[str, Any]) -> None:
            if not self.closed:
                self.engine.head(stream, ANSWER, False)
                self.engine.data(stream, json.dumps(told).encode(), True)
                self.flush()

        try:
            asked = json.loads(data)
            if not isinstance(asked, dict):
                raise ValueError("is no object")
        except ValueError as e:
            answer({"error": f"an ask that can't be read: {e}"})
            return
        self.ways.asked(asked, answer)


Asked = Callable[[dict[str, Any], Callable[[dict[str, Any]], None]], None]


class MemberWay:
    """`seam.Way` over links; connects to a member once there is something to send to it."""

    def __init__(self, house: House, member: Member, settings: WaySettings, asked: Asked, seed: int) -> None:
        self.house, self.member, self.settings, self.asked = house, member, settings, asked
        self.random = Random(seed)
        self.server_context, self.client_context = contexts(settings.tls)
        self.counts: Counter[str] = Counter()
        self.ways: dict[str, OneWay] = {}
        self.peers: dict[FromMember, None] = {}
        self.server: asyncio.Server | None = None
        self.socket: socket.socket | None = None

    async def listen(self) -> None:
        """Raises OSError."""
        self.socket = bound(*self.member.settings.listen)
        self.socket.listen(LISTEN)
        self.server = await self.house.loop.create_server(
            lambda: FromMember(self, self.random.getrandbits(32)), sock=self.socket, ssl=self.server_context
        )

    def send(self, name: str, data: bytes) -> None:
        way = self.ways.get(name)
        if way is None:
            address = self.member.settings.members.get(name)
            if address is None:
                self.counts["unknown_member"] += 1
                return
            way = self.ways[name] = OneWay(self, name, address)
        way.send(data)

    def stop(self) -> None:
        """It may listen and send again afterwards."""
        for way in self.ways.values():
            way.slot.stop()
        self.ways.clear()
        if self.server is not None:
            self.server.close()
            self.server = None
        for peer in list(self.peers):
            peer.lose("this member ends")


async def ask(
    address: Address, settings: WaySettings, group: str, what: dict[str, Any], most_s: float
) -> dict[str, Any]:  # fmt: skip
    """What the member at this address answers. Raises OSError, TimeoutError, ValueError."""
    _, context = contexts(settings.tls)
    data = json.dumps(what).encode()
    end = engine.Engine(True)
    async with asyncio.timeout(most_s):
        reader, writer = await asyncio.open_connection(
            *address, ssl=context, server_hostname=settings.site if context is not None else None
        )
        try:
            stream = end.open(request_fields(settings, group, "", ASK), [data])
            found = bytearray()
            while True:
                writer.write(end.hand_over(1 << 20))
                came = await reader.read(1 << 16)
                if not came:
                    raise ValueError("it ended the connection")
                for e in end.receive(came):
                    match e:
                        case engine.Began() if dict(e.fields).get(b":status") != b"200":
                            why = dict(e.fields).get(b"gw-refused", b"").decode("latin-1")
                            raise ValueError(f"it turns this away: {why or 'no such thing here'}")
                        case engine.Came() if e.stream == stream:
                            found += e.data
                        case engine.Ended() if e.stream == stream:
                            told: dict[str, Any] = json.loads(found)
                            return told
                        case engine.Fault() | engine.GoesAway() | engine.Reset():
                            raise ValueError("the connection broke")
                        case _:
                            pass
        finally:
            writer.close()


