"""Fronts, pools and hosts that pass fields and statuses on (RFC 9110, 7.6), for stages that ask for it.

They are chosen once, at the start: the ordinary path has no branch for them.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from email.utils import formatdate
from http import HTTPStatus
from secrets import token_hex
from time import time
from typing import cast

import httptools

from magpiefront.interface import Outcome, Repeat
from magpiefront.net.answer import Answer
from magpiefront.net.config import Config
from magpiefront.net.downstream import ClientConnection
from magpiefront.net.exchange import Attempt
from magpiefront.net.fields import Fields, end_to_end, lines
from magpiefront.net.front import Front
from magpiefront.net.http1 import REASONS, WHOLE_LIMIT
from magpiefront.net.node_connection import NodeConnection
from magpiefront.net.proxy import Proxy
from magpiefront.net.request import METHODS, READS, SINGLE, Request

# Of which a second line would let another reader take the other one, and which no list can hold.
SINGLE_HERE = SINGLE | {b"authorization", b"if-modified-since", b"if-unmodified-since", b"if-range", b"range"}
PLAIN_METHODS = METHODS | {b"HEAD", b"POST", b"PATCH", b"DELETE", b"OPTIONS"}
SERVERS_OWN = frozenset({b"srv-cache", b"srv-declined", b"srv-load"})
BODILESS = frozenset({204, 304})  # RFC 9112, 6.3
PURGE = b"PURGE"
LENGTH = b"content-length"


@dataclass(frozen=True, slots=True)
class Clients:
    """What a front takes of clients. `read_class` and `write_class` are for those that name no class, and
    then get `deadline_s`; an empty one refuses them, as on the platform."""

    plain: bool = False  # all methods, as the servers behind know them
    read_class: str = ""
    write_class: str = ""
    deadline_s: float = 1.0
    purge_from: frozenset[str] = frozenset()


def reason(status: int) -> bytes:
    """Also of what only servers send."""
    found = REASONS.get(status)
    if found is None:
        try:
            found = HTTPStatus(status).phrase.encode()
        except ValueError:
            found = b""
        REASONS[status] = found
    return found


class PassingClient(ClientConnection):
    """Hands all fields of a request on in `Request.fields`, and writes answers as they are told."""

    __slots__ = ()
    settings = Clients()
    ids = itertools.count(1)
    start = token_hex(6)

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.taking.fields = []

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.in_head:
            return  # a trailer: dropped (RFC 9110, 6.5.1)
        lower, taking = name.lower(), self.taking
        value = value.rstrip(b" \t")
        before = taking.headers.get(lower)
        if before is None:
            taking.headers[lower] = value
        else:
            if lower in SINGLE_HERE:
                taking.error = 400
            taking.headers[lower] = before + (b"; " if lower == b"cookie" else b", ") + value
        taking.fields.append((name, value))

    def on_headers_complete(self) -> None:
        request, settings = self.taking, self.settings
        method, h = self.parser.get_method(), request.headers
        if method == PURGE:
            peer = self.transport.get_extra_info("peername")
            if peer is None or peer[0] not in settings.purge_from:
                request.error = 405
            h[b"req-kind"] = next(iter(cast(Iterable[bytes], self.front.house.classes)))
            self._name(request)
        elif b"req-kind" not in h:
            name = settings.read_class if method in READS else settings.write_class
            if name:
                h[b"req-kind"] = name.encode()
                self._name(request)
        super().on_headers_complete()

    def _name(self, request: Request) -> None:
        """A client that knows nothing of ids gets one that nobody else has."""
        h = request.headers
        h.setdefault(b"req-id", f"{self.start}-{next(self.ids):x}".encode())
        h.setdefault(b"req-deadline", b"%.3f" % self.settings.deadline_s)

    def answer(self, request: Request, status: int, body: Sequence[bytes] = (), more: bytes = b"") -> None:
        if not more:
            # The front's own, or of one that has nothing to say but a status (RFC 9110, 6.6.1).
            more = b"Date: %b\r\n" % formatdate(time(), usegmt=True).encode("ascii")
            if status == 405:
                more += self.allow
        bodiless, phrase = status in BODILESS, reason(status)
        if not bodiless and request.method != b"HEAD":
            super().answer(request, status, body, more)
            return
        if request.size:
            self._release(request)
        close = self._is_last(request)
        if not bodiless and LENGTH not in more.lower():
            # What GET would be answered; a server's own word on it has come with its other fields.
            more += b"Content-Length: %d\r\n" % sum(len(b) for b in body)
        end = b"Connection: close\r\n\r\n" if close else b"\r\n"
        self.transport.write(b"HTTP/1.1 %d %b\r\n%b%b" % (status, phrase, more, end))
        request.tally.end(status)
        self._answered(request, close)

    def begin(self, request: Request, length: int | None, more: bytes, status: int = 200) -> None:
        reason(status)
        super().begin(request, length, more, status)


class PassedAnswer(Answer):
    """`fields` are its head's lines; `wanted` says that it is an answer for the client."""

    __slots__ = ("fields", "wanted")

    def __init__(self) -> None:
        super().__init__()
        self.fields: Fields = []
        self.wanted = False

    def outcome(self) -> Outcome:
        return Outcome.OK if self.wanted else super().outcome()


class PassingConnection(NodeConnection):
    """To cache nodes that say more than their body: 304 counts as an answer where the request asked."""

    __slots__ = ()
    answer_type = PassedAnswer
    answer: PassedAnswer
    close_delimits = False  # a cache would keep, and a site pass on as whole, what may have been cut off

    def counts(self, a: Answer) -> bool:
        return cast(PassedAnswer, a).wanted

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.in_head and not self.complete:
            super().on_header(name, value)
            self.answer.fields.append((name, value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        if self.complete:
            return
        super().on_headers_complete()
        a, exchange = self.answer, self.exchange
        if a.status < 200:
            return
        a.wanted = self.wants(a.status)
        if a.status in BODILESS:
            self.framed = True
        if isinstance(exchange, Attempt) and exchange.request.method == b"HEAD":
            # Its length tells of a body that does not come (RFC 9112, 6.3), and the parser would wait for it.
            self.framed = self.complete = True
            self.lasting = self.parser.should_keep_alive()
            self.parser = httptools.HttpResponseParser(self)
        else:
            # The length that counts is that of what came; each front writes its own.
            a.fields = [f for f in a.fields if f[0].lower() != LENGTH]

    def wants(self, status: int) -> bool:
        if status != 304:
            return status == 200
        exchange = self.exchange
        more = exchange.request.more.lower() if isinstance(exchange, Attempt) else b""
        return b"if-none-match:" in more or b"if-modified-since:" in more

    def on_body(self, body: bytes) -> None:
        if self.complete:
            self.surplus = True  # where there may be none: whose is it? The connection goes
            return
        super().on_body(body)
        a = self.answer
        if not a.wanted and isinstance(self.exchange, Attempt) and a.size <= WHOLE_LIMIT:
            a.body.append(body)


class PlainConnection(PassingConnection):
    """To servers that speak plain HTTP: every status that is no failure of the server is an answer."""

    __slots__ = ()

    def wants(self, status: int) -> bool:
        if status == 304:  # to a request without a condition it is no answer at all
            return super().wants(status)
        return 200 <= status < 500 or status == 501


class PassingProxy(Proxy):
    """Answers with the servers' own statuses and fields."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, plain: bool) -> None:
        super().__init__(config, loop)
        self.plain = plain
        self.head_of = passed
        self.pool.connection_type = PlainConnection if plain else PassingConnection
        self.failed: dict[Request, Answer] = {}  # of the last attempt that a server failed

    def attempt_ended(
        self, a: Attempt, outcome: Outcome, answer: Answer | None
    ) -> None:  # fmt: skip
        r = a.request
        if self.plain and not r.answered:
            if outcome is Outcome.ERROR and answer is not None and answer.status >= 500:
                self.failed[r] = answer
            else:
                self.failed.pop(r, None)
        super().attempt_ended(a, outcome, answer)

    def _settled(self, r: Request) -> None:
        if self.failed:
            self.failed.pop(r, None)
        super()._settled(r)

    def _final(self, name: str, status: int, more: bytes = b"") -> None:
        r = self.requests.get(name)
        failed = self.failed.get(r) if r is not None else None
        if r is None or r.answered or failed is None or status not in (502, 503):
            super()._final(name, status, more)
            return
        # The module has given it up after a server's own word, which tells the client more.
        cls = self.classes.get(r.headers[b"req-kind"])
        if status == 502 and failed.status == 503 and (cls is None or cls.repeat is not Repeat.SAFE):
            # 503 means to clients here that trying again is harmless, and no plain server promises that.
            failed.status = 502
        self._settled(r)
        lines_ = passed(failed)
        if b"retry-after:" not in lines_.lower():
            lines_ += more
        r.replies.answer(r, failed.status, failed.body, lines_)


def passed(answer: Answer) -> bytes:
    """The lines of an answer that go on."""
    return lines(end_to_end(cast(PassedAnswer, answer).fields, SERVERS_OWN))


def methods_of(clients: Clients) -> frozenset[bytes]:
    return PLAIN_METHODS if clients.plain else METHODS | {b"HEAD"}


def prepare(front: Front, clients: Clients) -> None:
    """Lets a front pass fields on; before it listens."""
    methods = methods_of(clients)
    allow = b"Allow: %b\r\n" % b", ".join(sorted(methods))
    if clients.purge_from:
        methods |= {PURGE}
    given = {"__slots__": (), "settings": clients, "methods": methods, "allow": allow}
    front.client_type = type("PreparedClient", (PassingClient,), given)
