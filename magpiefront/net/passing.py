"""Client connections, node connections and a proxy that pass fields and statuses on (RFC 9110, 7.6).

They are chosen once, at the start, if a stage needs them, so that the ordinary path has no branch for them.
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
from magpiefront.net.fields import Fields, end_to_end, format_fields
from magpiefront.net.front import Front
from magpiefront.net.http1 import MAX_BUFFERED_BYTES, REASONS
from magpiefront.net.node_connection import NodeConnection
from magpiefront.net.proxy import Proxy
from magpiefront.net.request import METHODS, READ_METHODS, SINGLE_VALUED, Request

# Fields that may occur only once if all fields are passed on: of two lines, the next recipient could use the
# other one, and their values can't be joined to a list.
SINGLE_VALUED_IF_FORWARDED = SINGLE_VALUED | {
    b"authorization", b"if-modified-since", b"if-unmodified-since", b"if-range", b"range",
}  # fmt: skip
PLAIN_METHODS = METHODS | {b"HEAD", b"POST", b"PATCH", b"DELETE", b"OPTIONS"}
# Fields by which cache nodes report to the proxy; not passed on.
NODE_REPORT_FIELDS = frozenset({b"srv-cache", b"srv-declined", b"srv-load"})
BODILESS = frozenset({204, 304})  # statuses without a body (RFC 9112, 6.3)
PURGE = b"PURGE"
CONTENT_LENGTH = b"content-length"


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """What a front accepts from clients.

    Requests that name no request class get `read_class` or `write_class` and the deadline `deadline_s`; if
    that name is empty, they are refused, as they are without these settings. PURGE is accepted from the
    addresses in `purge_from`.
    """

    plain: bool = False  # whether all methods are accepted, for servers that speak plain HTTP
    read_class: str = ""
    write_class: str = ""
    deadline_s: float = 1.0
    purge_from: frozenset[str] = frozenset()


def reason_phrase(status: int) -> bytes:
    """The reason phrase of a status, also of one that only servers send; empty if the status has none."""
    phrase = REASONS.get(status)
    if phrase is None:
        try:
            phrase = HTTPStatus(status).phrase.encode()
        except ValueError:
            phrase = b""
        REASONS[status] = phrase
    return phrase


class PassingClient(ClientConnection):
    """Keeps all fields of a request in `Request.fields`, and writes answers with the fields that the stage
    passes to it."""

    __slots__ = ()
    settings = ClientSettings()
    ids = itertools.count(1)
    id_prefix = token_hex(6)

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.incoming.fields = []

    def _keep_field(self, name: bytes, value: bytes) -> None:
        lower, request = name.lower(), self.incoming
        self.message_size.keep_field(name, value)
        value = value.rstrip(b" \t")
        before = request.headers.get(lower)
        if before is None:
            request.headers[lower] = value
        else:
            if lower in SINGLE_VALUED_IF_FORWARDED:
                request.error = 400
            request.headers[lower] = before + (b"; " if lower == b"cookie" else b", ") + value
        request.fields.append((name, value))

    def on_headers_complete(self) -> None:
        if self.closing:
            super().on_headers_complete()
            return
        request, settings = self.incoming, self.settings
        method, headers = self.parser.get_method(), request.headers
        if method == PURGE:
            peer = self.transport.get_extra_info("peername")
            if peer is None or peer[0] not in settings.purge_from:
                request.error = 405
            headers[b"req-kind"] = next(iter(cast(Iterable[bytes], self.front.runtime.classes)))
            self._assign_id(request)
        elif b"req-kind" not in headers:
            name = settings.read_class if method in READ_METHODS else settings.write_class
            if name:
                headers[b"req-kind"] = name.encode()
                self._assign_id(request)
        super().on_headers_complete()

    def _assign_id(self, request: Request) -> None:
        """Gives a request without an id a unique one, and one without a deadline the configured one."""
        headers = request.headers
        headers.setdefault(b"req-id", f"{self.id_prefix}-{next(self.ids):x}".encode())
        headers.setdefault(b"req-deadline", b"%.3f" % self.settings.deadline_s)

    def answer(self, request: Request, status: int, body: Sequence[bytes] = (), more: bytes = b"") -> None:
        if not more:
            # An answer of the front itself, or one without fields, gets a Date (RFC 9110, 6.6.1).
            more = b"Date: %b\r\n" % formatdate(time(), usegmt=True).encode("ascii")
            if status == 405:
                more += self.allow
        bodiless, phrase = status in BODILESS, reason_phrase(status)
        if not bodiless and request.method != b"HEAD":
            super().answer(request, status, body, more)
            return
        self._release(request)
        close = self._closes_after(request)
        if not bodiless and CONTENT_LENGTH not in more.lower():
            # The length that the answer to a GET would have. If the server gave one, `more` contains it.
            more += b"Content-Length: %d\r\n" % sum(len(b) for b in body)
        end = b"Connection: close\r\n\r\n" if close else b"\r\n"
        self.transport.write(b"HTTP/1.1 %d %b\r\n%b%b" % (status, phrase, more, end))
        request.counts.end(status)
        self._finish_answer(request, close)

    def begin(self, request: Request, length: int | None, more: bytes, status: int = 200) -> None:
        reason_phrase(status)  # adds it to REASONS, from which the head is formatted
        super().begin(request, length, more, status)


class PassedAnswer(Answer):
    """A node's answer with its fields. `fields` are the field lines of its head; `for_client`: it is an
    answer for the client, and not a failure of the node; `truncated`: a part of its body is missing."""

    __slots__ = ("fields", "for_client", "truncated")

    def __init__(self) -> None:
        super().__init__()
        self.fields: Fields = []
        self.for_client = self.truncated = False

    def outcome(self) -> Outcome:
        return Outcome.OK if self.for_client else super().outcome()


class PassingConnection(NodeConnection):
    """A connection to a cache node whose fields are passed on. A 304 is an answer for the client if the
    request was conditional."""

    __slots__ = ()
    answer_type = PassedAnswer
    answer: PassedAnswer
    # A body that ends where the connection ends may be incomplete: a cache would store it as complete, and
    # another site would pass it on as complete.
    close_delimits = False

    def is_for_client(self, answer: Answer) -> bool:
        return cast(PassedAnswer, answer).for_client

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
        a.for_client = self.is_status_for_client(a.status)
        if a.status in BODILESS:
            self.framed = True
        if isinstance(exchange, Attempt) and exchange.request.method == b"HEAD":
            # The fields give the length of a body that is not sent (RFC 9112, 6.3): the parser would wait for
            # it.
            self.framed = self.complete = True
            self.keep_alive = self.parser.should_keep_alive()
            self.parser = httptools.HttpResponseParser(self)
        else:
            # The front itself writes the Content-Length, from the body that was received.
            a.fields = [f for f in a.fields if f[0].lower() != CONTENT_LENGTH]

    def is_status_for_client(self, status: int) -> bool:
        """Whether an answer with this status is for the client."""
        if status != 304:
            return status == 200
        exchange = self.exchange
        more = exchange.request.extra_fields.lower() if isinstance(exchange, Attempt) else b""
        return b"if-none-match:" in more or b"if-modified-since:" in more

    def on_body(self, body: bytes) -> None:
        if self.complete:
            # Body bytes after an answer without a body may belong to another answer, so the connection is
            # closed.
            self.surplus = True
            return
        super().on_body(body)
        a = self.answer
        if a.for_client or not isinstance(self.exchange, Attempt):
            return
        if a.size <= MAX_BUFFERED_BYTES:
            a.body.append(body)
        else:
            a.truncated = True

    def _end_incomplete(self) -> None:
        self.answer.truncated = True
        super()._end_incomplete()


class PlainConnection(PassingConnection):
    """A connection to a server that speaks plain HTTP: every status but a failure of the server is an answer
    for the client."""

    __slots__ = ()

    def is_status_for_client(self, status: int) -> bool:
        if status == 304:  # for the client only if the request was conditional
            return super().is_status_for_client(status)
        return 200 <= status < 500 or status == 501


class PassingProxy(Proxy):
    """A proxy that answers with the nodes' own statuses and fields. `plain`: the nodes speak plain HTTP."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, plain: bool) -> None:
        super().__init__(config, loop)
        self.plain = plain
        self.head_of = forwarded_fields
        self.pool.connection_type = PlainConnection if plain else PassingConnection
        self.failed_answers: dict[Request, Answer] = {}  # the 5xx answer to a request's last attempt

    def attempt_ended(
        self, attempt: Attempt, outcome: Outcome, answer: Answer | None
    ) -> None:  # fmt: skip
        request = attempt.request
        if self.plain and not request.answered:
            failed = cast(PassedAnswer | None, answer) if outcome is Outcome.ERROR else None
            if failed is not None and failed.status >= 500 and not failed.truncated:
                self.failed_answers[request] = failed
            else:
                self.failed_answers.pop(request, None)
        super().attempt_ended(attempt, outcome, answer)

    def _mark_answered(self, request: Request) -> None:
        if self.failed_answers:
            self.failed_answers.pop(request, None)
        super()._mark_answered(request)

    def _answer_status(self, name: str, status: int, more: bytes = b"") -> None:
        request = self.requests.get(name)
        failed = self.failed_answers.get(request) if request is not None else None
        if request is None or request.answered or failed is None or status not in (502, 503):
            super()._answer_status(name, status, more)
            return
        # The Router has given up on the request after a server answered 5xx. That answer tells the client
        # more than a 502 or 503 of the proxy's own.
        cls = self.classes.get(request.headers[b"req-kind"])
        if status == 502 and failed.status == 503 and (cls is None or cls.repeat is not Repeat.SAFE):
            # To clients of this proxy, 503 means that a repeat is harmless; plain servers don't promise that.
            failed.status = 502
        self._mark_answered(request)
        fields = forwarded_fields(failed)
        if b"retry-after:" not in fields.lower():
            fields += more
        request.responder.answer(request, failed.status, failed.body, fields)


def forwarded_fields(answer: Answer) -> bytes:
    """The field lines of an answer that are passed on."""
    return format_fields(end_to_end(cast(PassedAnswer, answer).fields, NODE_REPORT_FIELDS))


def allowed_methods(clients: ClientSettings) -> frozenset[bytes]:
    """The methods that a front with these settings accepts, apart from PURGE."""
    return PLAIN_METHODS if clients.plain else METHODS | {b"HEAD"}


def forward_fields(front: Front, clients: ClientSettings) -> None:
    """Makes a front pass all fields on. To be called before the front listens."""
    methods = allowed_methods(clients)
    allow = b"Allow: %b\r\n" % b", ".join(sorted(methods))
    if clients.purge_from:
        methods |= {PURGE}
    attributes = {"__slots__": (), "settings": clients, "methods": methods, "allow": allow}
    front.client_type = type("PreparedClient", (PassingClient,), attributes)
