"""A client's request as every layer sees it: its checked head, its body, and who is owed the answer."""

from __future__ import annotations

import re
from asyncio import TimerHandle
from collections.abc import Callable, Container, Mapping, Sequence
from functools import lru_cache
from typing import TYPE_CHECKING, Protocol

from magpiefront.interface import Outcome, RequestClass
from magpiefront.net.figures import UNCOUNTED

if TYPE_CHECKING:
    from magpiefront.net.effects import Effect

DECIMAL, WHOLE = re.compile(rb"-?(?:\d{1,6}(?:\.\d*)?|\.\d+)"), re.compile(rb"\d{1,18}")
TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")  # RFC 9110, 5.6.2
# RFC 3986, 3.3 and 3.4: a path that begins with "/", and perhaps a query. Nothing else is forwarded.
TARGET = re.compile(rb"/(?:[!$&-;=?-Z_a-z~]|%[0-9A-Fa-f]{2})*")
DOTS = re.compile(rb"/(?:\.|%2[eE]){1,2}(?:/|$)")
HOST = re.compile(rb"(?:(?:[\w.~!$&'()*+,;=-]|%[0-9A-Fa-f]{2})*|\[[0-9A-Fa-f:.]+\])(?::\d*)?", re.ASCII)
# Fields of which a second line would let another reader take the other one (RFC 9110, 5.3).
SINGLE = frozenset({
    b"host", b"content-length", b"transfer-encoding", b"content-type", b"expect", b"idempotency-key",
    b"req-id", b"req-kind", b"req-owner", b"req-deadline", b"req-retry", b"req-cost", b"req-extra",
})  # fmt: skip
METHODS = frozenset({b"GET", b"PUT"})
READS = frozenset({b"GET", b"HEAD"})
# The same few hosts and tenants come again and again; a look into a small table costs less than the match.
is_host = lru_cache(256)(HOST.fullmatch)
is_token = lru_cache(256)(TOKEN.fullmatch)


class Sent(Protocol):
    """An attempt at a request, as far as others than its pool need it."""

    streaming: bool

    @property
    def begun(self) -> bool:
        """Has any of it been written to a server?"""

    def end(self, outcome: Outcome) -> None: ...
    def hold_back(self) -> None: ...
    def let_go(self) -> None: ...


class Replies(Protocol):
    """Who is owed the one final answer: `answer`, or `begin`, any number of `go`, and `end` or `cut`."""

    def answer(
        self, request: Request, status: int, body: Sequence[bytes] = (), more: bytes = b""
    ) -> None: ...

    def begin(self, request: Request, length: int | None, more: bytes, status: int = 200) -> None:
        """The head of a long answer; without a length (bytes) it ends where `end` says so."""

    def go(self, request: Request, body: bytes) -> None: ...

    def end(self, request: Request) -> None: ...

    def cut(self, request: Request) -> None:
        """The answer can't be finished, and the client must be able to tell."""


class Stage(Protocol):
    """Takes requests from the front or the stage before it. Each one taken is answered once through its
    `replies`, but for one that `client_left` was told of."""

    def take(self, request: Request) -> None: ...

    def client_left(self, request: Request) -> None: ...

    def hold_back(self, request: Request) -> None:
        """The reader of a long answer is slow."""

    def let_go(self, request: Request) -> None: ...


class AgedStage(Stage, Protocol):
    """One that requests from other sites come to."""

    def take_aged(self, r: Request, age_us: int) -> None:
        """`age_us`: how long ago its sender sent it first, if it may have run since; else 0."""

    def knows(self, r: Request) -> bool:
        """Would a look here tell whether it ran at another gateway of this site?"""

    def may_take(self, r: Request) -> bool:
        """False where this process may not act on it now, and another one may."""


class Request:
    """A client's request, from its first byte to its answer and the end of its attempts.

    Times are microseconds of the host's clock. `error` is the status that a bad head is answered with.
    `fields` holds the head's lines in their order, and is there only where a front passes them on; `effect`
    only where a stage asks what may have run. `client_gone`, where a client waits for this very request, asks
    the kernel whether it has closed its connection; a stage's own twin of a request has none.
    """

    fields: list[tuple[bytes, bytes]]
    effect: Effect

    __slots__ = ("answered", "attempts", "backstop", "body", "client_gone", "cls", "deadline", "effect",
                 "error", "fields", "headers", "keep_alive", "last", "method", "more", "name", "out",
                 "replies", "size", "stream", "taken_at", "tally", "target", "time_left",
                 "wire_id")  # fmt: skip

    def __init__(self, replies: Replies) -> None:
        self.replies = replies
        self.method = self.target = self.wire_id = self.more = b""
        self.headers: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.size = self.error = self.taken_at = self.time_left = self.deadline = self.out = 0
        self.keep_alive = True
        self.answered = False
        self.name = ""
        self.attempts: list[Sent] = []
        self.stream: Sent | None = None
        self.last = Outcome.ERROR
        self.backstop: TimerHandle | None = None
        self.cls: RequestClass | None = None  # as it was when the head was read
        self.tally = UNCOUNTED
        self.client_gone: Callable[[], bool] | None = None

    @property
    def key(self) -> bytes:
        """What the request is about: the last part of the path, as it is spelt."""
        target = self.target
        return (target.partition(b"?")[0] if b"?" in target else target).rpartition(b"/")[2]

    def twin(self, replies: Replies) -> Request:
        """The same request once more, for a stage that runs it and owes the answer to others itself."""
        twin = Request(replies)
        twin.method, twin.target, twin.wire_id, twin.more = self.method, self.target, self.wire_id, self.more
        twin.headers, twin.body, twin.size = self.headers, self.body, self.size
        twin.taken_at, twin.time_left = self.taken_at, self.time_left
        twin.cls, twin.tally = self.cls, self.tally
        if hasattr(self, "effect"):
            twin.effect = self.effect
        return twin

    def misframed(self, version: str) -> bool:
        """Might another reader find this message's end elsewhere (RFC 9112, 6.1 and 6.3)? The parser has
        refused what it can't read; it takes codings that nobody here decodes, and versions that have none."""
        if version != "1.1" and version != "1.0":
            return True
        coding = self.headers.get(b"transfer-encoding")
        return coding is not None and (version == "1.0" or coding.strip().lower() != b"chunked")

    def check(
        self, classes: Mapping[bytes, RequestClass], version: str = "1.1", methods: Container[bytes] = METHODS
    ) -> int:
        """The status that a bad head is answered with, or 0. Nothing bad reaches a cache node: what nodes
        turn away for that reason looks to the module as if they were too busy."""
        status = self._check(classes, version, methods)
        if status == 400 and any(v[-1:] in (b" ", b"\t") for v in self.headers.values()):
            # White space behind a value is no part of it (RFC 9112, 5); the parser leaves it there.
            self.headers = {name: value.rstrip(b" \t") for name, value in self.headers.items()}
            status = self._check(classes, version, methods)
        return status

    def _check(self, classes: Mapping[bytes, RequestClass], version: str, methods: Container[bytes]) -> int:
        target, h = self.target, self.headers
        if not TARGET.fullmatch(target):
            return 400
        host = h.get(b"host")
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
        if (b"." in path or b"%2" in path) and DOTS.search(path):
            return 400  # one that removes them (RFC 3986, 5.2.4) reads another key
        name = h.get(b"req-id")
        self.cls = classes.get(h.get(b"req-kind", b""))
        if name is None or not TOKEN.fullmatch(name) or self.cls is None:
            return 400
        if not DECIMAL.fullmatch(h.get(b"req-deadline", b"")):
            return 400
        if b"req-cost" in h and not WHOLE.fullmatch(h[b"req-cost"]):
            return 400
        if b"req-owner" in h and not is_token(h[b"req-owner"]):
            return 400
        if b"req-retry" in h and not is_token(h[b"req-retry"]):
            return 400
        if b"idempotency-key" in h:
            if not TOKEN.fullmatch(h[b"idempotency-key"]):
                return 400
            self.more = b"Idempotency-Key: %b\r\n" % h[b"idempotency-key"]
        if b"content-type" in h:
            self.more += b"Content-Type: %b\r\n" % h[b"content-type"]
        self.time_left = max(0, int(float(h[b"req-deadline"]) * 1e6))
        self.wire_id = name
        return 0
