"""A client's request as all layers see it, and the protocols by which stages pass requests and answers on."""

from __future__ import annotations

import re
import socket
from asyncio import TimerHandle
from collections.abc import Callable, Container, Mapping, Sequence
from functools import lru_cache
from typing import TYPE_CHECKING, Protocol

from magpiefront.interface import Outcome, RequestClass
from magpiefront.net.metrics import UNREPORTED_COUNTS
from magpiefront.repeat_limits import RepeatLimits

if TYPE_CHECKING:
    from magpiefront.net.execution import ExecutionTracker

DECIMAL, INTEGER = re.compile(rb"-?(?:\d{1,6}(?:\.\d*)?|\.\d+)"), re.compile(rb"\d{1,18}")
TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")  # RFC 9110, 5.6.2
# A path that begins with "/", and an optional query (RFC 3986, 3.3 and 3.4). Nothing else is forwarded.
TARGET = re.compile(rb"/(?:[!$&-;=?-Z_a-z~]|%[0-9A-Fa-f]{2})*")
DOT_SEGMENTS = re.compile(rb"/(?:\.|%2[eE]){1,2}(?:/|$)")
HOST = re.compile(
    rb"(?:(?:[\w.~!$&'()*+,;=-]|%[0-9A-Fa-f]{2})*|\[(?P<address>[0-9A-Fa-f:.]+)\])(?::(?P<port>\d{0,18}))?",
    re.ASCII,
)
MAX_PORT = 65_535
# Fields that may occur only once: of two lines, the next recipient could use the other one (RFC 9110, 5.3).
SINGLE_VALUED = frozenset({
    b"host", b"content-length", b"transfer-encoding", b"content-type", b"expect", b"idempotency-key",
    b"req-id", b"req-kind", b"req-owner", b"req-deadline", b"req-retry", b"req-cost", b"req-extra",
})  # fmt: skip
KEPT_FIELDS = SINGLE_VALUED  # all others mean nothing to the proxy, and are not forwarded
METHODS = frozenset({b"GET", b"PUT"})
READ_METHODS = frozenset({b"GET", b"HEAD"})
# Cached, because the same few hosts and tenants recur: a look-up in a small table costs less than the match.
# Long values are not: clients could fill the tables with them.
MAX_CACHED_BYTES = 256
cached_token = lru_cache(256)(TOKEN.fullmatch)


def _names_origin(value: bytes) -> bool:
    found = HOST.fullmatch(value)
    if found is None or int(found["port"] or 0) > MAX_PORT:
        return False
    if found["address"] is None:
        return True
    try:
        socket.inet_pton(socket.AF_INET6, found["address"].decode("ascii"))
    except OSError:
        return False
    return True


cached_host = lru_cache(256)(_names_origin)


def is_host(value: bytes) -> bool:
    """Whether this is a valid value of `Host` (RFC 9110, 7.2) that names an origin: an address in brackets is
    one of IPv6 (RFC 3986, 3.2.2), and a port is at most 65535."""
    return (cached_host if len(value) <= MAX_CACHED_BYTES else _names_origin)(value)


def is_token(value: bytes) -> bool:
    """Whether this is a token (RFC 9110, 5.6.2)."""
    return (cached_token if len(value) <= MAX_CACHED_BYTES else TOKEN.fullmatch)(value) is not None


class AttemptHandle(Protocol):
    """An attempt at a request, as seen by code outside the connection pool.

    `streaming`: whether the answer is being passed on to the client while it is received.
    """

    streaming: bool

    @property
    def begun(self) -> bool:
        """Whether any byte of the attempt has been written to a server."""

    def end(self, outcome: Outcome) -> None:
        """Ends the attempt with this outcome."""

    def arrive_by(self, at_us: int) -> None:
        """Gives the attempt up at `at_us` (us of the host's clock) if its last byte has not arrived."""

    def pause_response(self) -> None:
        """Stops reading the answer from the server."""

    def resume_response(self) -> None:
        """Reads the answer from the server again."""


class Responder(Protocol):
    """Receives the one final answer to a request: one call of `answer`, or one of `begin`, any number of
    `write_body`, and then `end` or `abort`. `more` holds formatted field lines, each ended by CRLF."""

    def answer(self, request: Request, status: int, body: Sequence[bytes] = (), more: bytes = b"") -> None:
        """A whole answer; its length is that of `body`."""

    def begin(self, request: Request, length: int | None, more: bytes, status: int = 200) -> None:
        """The head of a long answer. `length` is in bytes; None: the answer ends with the call of `end`."""

    def write_body(self, request: Request, body: bytes) -> None:
        """The next part of a long answer's body."""

    def end(self, request: Request) -> None:
        """The long answer is complete."""

    def abort(self, request: Request) -> None:
        """The long answer can't be completed. The client must be able to see that."""


class Stage(Protocol):
    """Handles requests that the front or the previous stage submits. It answers each of them exactly once
    through its `responder`, except those reported to `client_left`."""

    def submit(self, request: Request) -> None:
        """Takes over a request, and with it the duty to answer it."""

    def client_left(self, request: Request) -> None:
        """The client has closed its connection and can no longer be answered."""

    def pause_response(self, request: Request) -> None:
        """The client reads a long answer too slowly: no more of it may be written for now."""

    def resume_response(self, request: Request) -> None:
        """More of a long answer may be written to the client again."""


class CrossSiteStage(Stage, Protocol):
    """A stage that also handles requests that another site has sent here."""

    def submit_from_site(self, request: Request) -> None:
        """Takes over a request from another site."""

    def can_tell_if_run(self, request: Request) -> bool:
        """Whether this stage can find out if the request has run at another gateway of this site."""

    def may_accept(self, request: Request) -> bool:
        """False if this process may not act on the request now, while another process may."""


class Request:
    """A client's request, from its first byte until it is answered and all its attempts have ended.

    Times are microseconds of the host's clock: `received_at` (when the request had arrived in full),
    `deadline`, and `time_left` (from `received_at` to the deadline). `size` is that of the body,
    and `held` what the request counts for in the account of the clients' memory, both in bytes.

    `error` is the status that an invalid head is answered with, or 0. `headers` has its names in lower case.
    `fields` holds the head's field lines in their order; it is set only if a front passes them on.
    `execution` is set only if a stage needs to know whether the request may have run. `extra_fields` are
    field lines that are added when the request is sent to a node. `wire_id` is the value of `Req-Id`; `name`
    is made from it and identifies the request among those that are open. `in_flight` counts the attempts that
    have not ended. `pipelined`: its client has sent more behind it on its connection. `may_have_run`: one of
    its attempts may have run; kept only for classes that must run once. `served`: the client gets a node's
    answer. `client_gone` asks the kernel whether the client has closed its connection; it is None if no
    client waits for this very request, as with a clone. `limits` binds each sending of it. `whole_answer`:
    nothing of its answer is passed on before the answer is complete, unless it is longer than
    `MAX_BUFFERED_BYTES`. So an attempt whose answer breaks off may be followed by another one.
    """

    fields: list[tuple[bytes, bytes]]
    execution: ExecutionTracker

    __slots__ = ("answered", "attempts", "body", "client_gone", "cls", "counts", "deadline", "error",
                 "execution", "extra_fields", "fields", "headers", "held", "in_flight", "keep_alive",
                 "last_outcome", "limits", "may_have_run", "method", "name", "pipelined", "received_at",
                 "responder", "served", "size", "streaming_attempt", "target", "time_left", "timeout_timer",
                 "whole_answer", "wire_id")  # fmt: skip

    def __init__(self, responder: Responder, limits: RepeatLimits) -> None:
        self.responder, self.limits = responder, limits
        self.method = self.target = self.wire_id = self.extra_fields = b""
        self.headers: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.size = self.error = self.received_at = self.time_left = self.deadline = self.in_flight = 0
        self.held = 0
        self.keep_alive = True
        self.answered = self.pipelined = self.may_have_run = self.served = self.whole_answer = False
        self.name = ""
        self.attempts: list[AttemptHandle] = []
        self.streaming_attempt: AttemptHandle | None = None
        self.last_outcome = Outcome.ERROR
        self.timeout_timer: TimerHandle | None = None
        self.cls: RequestClass | None = None  # as configured when the head was read
        self.counts = UNREPORTED_COUNTS
        self.client_gone: Callable[[], bool] | None = None

    @property
    def key(self) -> bytes:
        """The key that the request is about: the last segment of the path, not decoded."""
        target = self.target
        return (target.partition(b"?")[0] if b"?" in target else target).rpartition(b"/")[2]

    def clone(self, responder: Responder) -> Request:
        """A copy for a stage that sends the request on and answers the waiting clients itself."""
        clone = Request(responder, self.limits)
        clone.method, clone.target, clone.wire_id, clone.extra_fields = (
            self.method, self.target, self.wire_id, self.extra_fields
        )  # fmt: skip
        clone.headers, clone.body, clone.size = self.headers, self.body, self.size
        clone.received_at, clone.time_left = self.received_at, self.time_left
        clone.cls, clone.counts, clone.whole_answer = self.cls, self.counts, self.whole_answer
        if hasattr(self, "execution"):
            clone.execution = self.execution
        return clone

    def has_ambiguous_framing(self, version: str) -> bool:
        """Whether another recipient could find the end of this message elsewhere (RFC 9112, 6.1 and 6.3). The
        parser refuses what it can't read, but it accepts transfer codings that are not decoded here, and
        transfer codings in HTTP versions that have none."""
        if version != "1.1" and version != "1.0":
            return True
        coding = self.headers.get(b"transfer-encoding")
        return coding is not None and (version == "1.0" or coding.strip().lower() != b"chunked")

    def check(
        self, classes: Mapping[bytes, RequestClass], version: str = "1.1", methods: Container[bytes] = METHODS
    ) -> int:
        """The status that an invalid head is answered with, or 0. No invalid request is sent to a cache node:
        to the Router, a node that refuses it would look overloaded."""
        status = self._check(classes, version, methods)
        if status == 400 and any(v[-1:] in (b" ", b"\t") for v in self.headers.values()):
            # Trailing white space is not part of a value (RFC 9112, 5), but the parser keeps it.
            self.headers = {name: value.rstrip(b" \t") for name, value in self.headers.items()}
            status = self._check(classes, version, methods)
        return status

    def _check(self, classes: Mapping[bytes, RequestClass], version: str, methods: Container[bytes]) -> int:
        target, headers = self.target, self.headers
        if not TARGET.fullmatch(target):
            return 400
        host = headers.get(b"host")
        if host is None:
            if version == "1.1":  # RFC 9112, 3.2
                return 400
        elif not is_host(host):
            return 400
        path = target.partition(b"?")[0] if b"?" in target else target
        if path == b"/ready":
            return 0 if self.method == b"GET" else 405
        if self.method != b"GET" and self.method not in methods:
            return 405
        if path.endswith(b"/"):
            return 404
        if (b"." in path or b"%2" in path) and DOT_SEGMENTS.search(path):
            return 400  # a recipient that removes dot segments (RFC 3986, 5.2.4) would see another key
        name = headers.get(b"req-id")
        self.cls = classes.get(headers.get(b"req-kind", b""))
        if name is None or not TOKEN.fullmatch(name) or self.cls is None:
            return 400
        if not DECIMAL.fullmatch(headers.get(b"req-deadline", b"")):
            return 400
        if b"req-cost" in headers and not INTEGER.fullmatch(headers[b"req-cost"]):
            return 400
        if b"req-owner" in headers and not is_token(headers[b"req-owner"]):
            return 400
        if b"req-retry" in headers and not is_token(headers[b"req-retry"]):
            return 400
        if b"idempotency-key" in headers:
            if not TOKEN.fullmatch(headers[b"idempotency-key"]):
                return 400
            self.extra_fields = b"Idempotency-Key: %b\r\n" % headers[b"idempotency-key"]
        if b"content-type" in headers:
            self.extra_fields += b"Content-Type: %b\r\n" % headers[b"content-type"]
        self.time_left = max(0, int(float(headers[b"req-deadline"]) * 1e6))
        self.wire_id = name
        return 0
