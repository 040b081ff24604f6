"""A cache stage with a fake runtime, fake clients and a fake upstream."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, cast

from magpiefront.repeat_limits import FIRST_SENDING
from magpiefront.caching.settings import CachingSettings
from magpiefront.caching.stage import CachingStage
from magpiefront.interface import Repeat, RequestClass
from magpiefront.net.deadlines import Deadlines
from magpiefront.net.fields import Fields, combined, format_fields, parse_fields
from magpiefront.net.request import Request

CLASSES = {
    b"level-read": RequestClass("level-read", Repeat.SAFE, 500_000, 1_000_000),
    b"field-report": RequestClass("field-report", Repeat.KEYED, 500_000, 1_000_000, window_us=1_000_000),
    b"gauge-reset": RequestClass("gauge-reset", Repeat.UNSAFE, 500_000, 1_000_000),
}
DATE_S = 1_800_000_000


class FakeTimer:
    """A timer that fires when the fake clock reaches its time."""

    def __init__(self, due_s: float, callback: Any, args: tuple[Any, ...]) -> None:
        self.due_s, self.callback, self.args, self.is_done = due_s, callback, args, False

    def cancel(self) -> None:
        self.is_done = True


class FakeLoop:
    def __init__(self, runtime: FakeRuntime) -> None:
        self.runtime = runtime
        self.timers: list[FakeTimer] = []

    def time(self) -> float:
        return self.runtime.clock_us / 1e6

    def call_later(self, delay: float, callback: Any, *args: Any) -> FakeTimer:
        handle = FakeTimer(self.time() + delay, callback, args)
        self.timers.append(handle)
        return handle

    def call_soon_threadsafe(self, callback: Any, *args: Any) -> None:
        self.runtime.threadsafe_calls.append((callback, args))


class FakeRuntime:
    """`clock_us` is monotonic; tests may set `wall_s` to any time."""

    def __init__(self) -> None:
        self.clock_us, self.wall_s = 5_000_000_000, float(DATE_S)
        self.classes = CLASSES
        self.timers = FakeLoop(self)
        self.loop = cast(asyncio.AbstractEventLoop, self.timers)
        self.deadlines = Deadlines(self.loop, self.now_us)
        self.threadsafe_calls: list[tuple[Any, tuple[Any, ...]]] = []
        self.logged: list[str] = []

    def now_us(self) -> int:
        return self.clock_us

    def wall(self) -> float:
        return self.wall_s

    def log(self, text: str) -> None:
        self.logged.append(text)

    def advance(self, seconds: float) -> None:
        """Advances both clocks; timers fire in order, each at its own time."""
        end = self.clock_us + int(seconds * 1e6)
        while True:
            due_timers = [t for t in self.timers.timers if not t.is_done and t.due_s * 1e6 <= end + 1]
            if not due_timers:
                break
            first = min(due_timers, key=lambda t: t.due_s)
            step = max(0, int(first.due_s * 1e6) - self.clock_us)
            self.clock_us += step
            self.wall_s += step / 1e6
            first.is_done = True
            first.callback(*first.args)
        self.wall_s += (end - self.clock_us) / 1e6
        self.clock_us = end


@dataclass
class ReceivedAnswer:
    """The answer that a client received."""

    status: int = 0
    more: bytes = b""
    body: bytes = b""
    answers: int = 0
    ended: str = ""  # "end" or "abort" of a streamed response

    @property
    def headers(self) -> dict[bytes, bytes]:
        return combined(parse_fields(self.more))

    @property
    def cache_status(self) -> str:
        return self.headers.get(b"cache-status", b"").decode()


class FakeClient:
    """Records the answer to one request; a second answer is an error."""

    def __init__(self) -> None:
        self.received = ReceivedAnswer()

    def answer(self, request: Request, status: int, body: Sequence[bytes] = (), more: bytes = b"") -> None:
        self.received.answers += 1
        assert self.received.answers == 1, "two final answers"
        self.received.status, self.received.body, self.received.more = status, b"".join(body), more

    def begin(self, request: Request, length: int | None, more: bytes, status: int = 200) -> None:
        self.received.answers += 1
        assert self.received.answers == 1, "two final answers"
        self.received.status, self.received.more = status, more

    def write_body(self, request: Request, body: bytes) -> None:
        self.received.body += body

    def end(self, request: Request) -> None:
        assert not self.received.ended
        self.received.ended = "end"

    def abort(self, request: Request) -> None:
        assert not self.received.ended
        self.received.ended = "abort"


@dataclass
class FakeUpstream:
    """The next stage; holds requests until the test answers them."""

    open: list[Request] = field(default_factory=list)
    all: list[Request] = field(default_factory=list)
    abandoned: list[Request] = field(default_factory=list)
    paused: list[Request] = field(default_factory=list)

    def submit(self, request: Request) -> None:
        self.open.append(request)
        self.all.append(request)

    def client_left(self, request: Request) -> None:
        self.abandoned.append(request)
        if request in self.open:
            self.open.remove(request)

    def pause_response(self, request: Request) -> None:
        self.paused.append(request)

    def resume_response(self, request: Request) -> None:
        self.paused.remove(request)


class StageHarness:
    """A cache stage between fake clients and a fake upstream."""

    def __init__(self, settings: CachingSettings | None = None, **more: Any) -> None:
        self.runtime, self.upstream = FakeRuntime(), FakeUpstream()
        self.stage = CachingStage(
            self.runtime, self.upstream, settings or CachingSettings(**more), wall=self.runtime.wall
        )
        self.request_count = 0

    def send(
        self, target: str = "/api/k1", *fields: tuple[str, str], method: str = "GET",
        kind: str = "level-read", body: bytes = b"", time_left_s: float = 1.0, host: str = "api",
    ) -> tuple[Request, ReceivedAnswer]:  # fmt: skip
        self.request_count += 1
        client = FakeClient()
        r = Request(client, FIRST_SENDING)
        r.method, r.target, r.wire_id = method.encode(), target.encode(), b"id%d" % self.request_count
        r.fields = [(n.encode(), v.encode()) for n, v in fields]
        r.headers = {b"host": host.encode(), b"req-kind": kind.encode(), **combined(r.fields)}
        r.received_at, r.time_left = self.runtime.clock_us, int(time_left_s * 1e6)
        if body:
            r.body, r.size = [body], len(body)
        self.stage.submit(r)
        return r, client.received

    def get(self, *args: Any, **more: Any) -> ReceivedAnswer:
        return self.send(*args, **more)[1]

    def respond(
        self, status: int = 200, body: bytes = b"level 3.2", *fields: tuple[str, str], date: bool = True,
        index: int = 0,
    ) -> Request:  # fmt: skip
        """Upstream answers its oldest open request, or the one at `index`; returns that request."""
        request = self.upstream.open.pop(index)
        given: Fields = [(n.encode(), v.encode()) for n, v in fields]
        if date and not any(n.lower() == b"date" for n, _ in given):
            from magpiefront.caching.dates import render

            given.append((b"Date", render(int(self.runtime.wall_s))))
        request.responder.answer(request, status, [body] if body else [], format_fields(given))
        return request

    def fill(
        self, cc: str = "max-age=60", *fields: tuple[str, str], target: str = "/api/k1"
    ) -> ReceivedAnswer:
        """Sends one request, which upstream answers; returns the answer."""
        received = self.get(target)
        self.respond(200, b"level 3.2", ("Cache-Control", cc), *fields)
        return received
