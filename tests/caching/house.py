"""A cache stage in a test's hands: its clock, its clients, and what stands behind it."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, cast

from magpiefront.caching.settings import CachingSettings
from magpiefront.caching.stage import CachingStage
from magpiefront.interface import Repeat, RequestClass
from magpiefront.net.fields import Fields, combined, lines, read_lines
from magpiefront.net.request import Request

CLASSES = {
    b"level-read": RequestClass("level-read", Repeat.SAFE, 500_000, 1_000_000),
    b"field-report": RequestClass("field-report", Repeat.KEYED, 500_000, 1_000_000, window_us=1_000_000),
    b"gauge-reset": RequestClass("gauge-reset", Repeat.UNSAFE, 500_000, 1_000_000),
}
DATE_S = 1_800_000_000


class Handle:
    """A timer that fires when the house's clock says so."""

    def __init__(self, at: float, what: Any, args: tuple[Any, ...]) -> None:
        self.at, self.what, self.args, self.done = at, what, args, False

    def cancel(self) -> None:
        self.done = True


class Loop:
    def __init__(self, house: House) -> None:
        self.house = house
        self.timers: list[Handle] = []

    def time(self) -> float:
        return self.house.at_us / 1e6

    def call_later(self, delay: float, what: Any, *args: Any) -> Handle:
        handle = Handle(self.time() + delay, what, args)
        self.timers.append(handle)
        return handle

    def call_soon_threadsafe(self, what: Any, *args: Any) -> None:
        self.house.told.append((what, args))


class House:
    """`at_us` only goes forward; `wall_s` leaps as a test likes."""

    def __init__(self) -> None:
        self.at_us, self.wall_s = 5_000_000_000, float(DATE_S)
        self.classes = CLASSES
        self.timers = Loop(self)
        self.loop = cast(asyncio.AbstractEventLoop, self.timers)
        self.told: list[tuple[Any, tuple[Any, ...]]] = []
        self.logged: list[str] = []

    def now_us(self) -> int:
        return self.at_us

    def wall(self) -> float:
        return self.wall_s

    def log(self, text: str) -> None:
        self.logged.append(text)

    def pass_s(self, seconds: float) -> None:
        """Both clocks go on; timers fire in their order and time."""
        end = self.at_us + int(seconds * 1e6)
        while True:
            due = [t for t in self.timers.timers if not t.done and t.at * 1e6 <= end + 1]
            if not due:
                break
            first = min(due, key=lambda t: t.at)
            step = max(0, int(first.at * 1e6) - self.at_us)
            self.at_us += step
            self.wall_s += step / 1e6
            first.done = True
            first.what(*first.args)
        self.wall_s += (end - self.at_us) / 1e6
        self.at_us = end


@dataclass
class Got:
    """What a client was answered."""

    status: int = 0
    more: bytes = b""
    body: bytes = b""
    answers: int = 0
    ended: str = ""  # "end" or "cut" of a long answer

    @property
    def h(self) -> dict[bytes, bytes]:
        return combined(read_lines(self.more))

    @property
    def cache(self) -> str:
        return self.h.get(b"cache-status", b"").decode()


class Client:
    """Replies to one request, and counts them: more than one is an error."""

    def __init__(self) -> None:
        self.got = Got()

    def answer(self, request: Request, status: int, body: Sequence[bytes] = (), more: bytes = b"") -> None:
        self.got.answers += 1
        assert self.got.answers == 1, "two final answers"
        self.got.status, self.got.body, self.got.more = status, b"".join(body), more

    def begin(self, request: Request, length: int | None, more: bytes, status: int = 200) -> None:
        self.got.answers += 1
        assert self.got.answers == 1, "two final answers"
        self.got.status, self.got.more = status, more

    def go(self, request: Request, body: bytes) -> None:
        self.got.body += body

    def end(self, request: Request) -> None:
        assert not self.got.ended
        self.got.ended = "end"

    def cut(self, request: Request) -> None:
        assert not self.got.ended
        self.got.ended = "cut"


@dataclass
class Behind:
    """The stage behind: keeps what it is sent until the test answers it."""

    open: list[Request] = field(default_factory=list)
    all: list[Request] = field(default_factory=list)
    left: list[Request] = field(default_factory=list)
    held: list[Request] = field(default_factory=list)

    def take(self, request: Request) -> None:
        self.open.append(request)
        self.all.append(request)

    def client_left(self, request: Request) -> None:
        self.left.append(request)
        if request in self.open:
            self.open.remove(request)

    def hold_back(self, request: Request) -> None:
        self.held.append(request)

    def let_go(self, request: Request) -> None:
        self.held.remove(request)


class World:
    def __init__(self, settings: CachingSettings | None = None, **more: Any) -> None:
        self.house, self.behind = House(), Behind()
        self.stage = CachingStage(
            self.house, self.behind, settings or CachingSettings(**more), wall=self.house.wall
        )
        self.number = 0

    def send(
        self, target: str = "/api/k1", *fields: tuple[str, str], method: str = "GET",
        kind: str = "level-read", body: bytes = b"", left_s: float = 1.0, host: str = "api",
    ) -> tuple[Request, Got]:  # fmt: skip
        self.number += 1
        client = Client()
        r = Request(client)
        r.method, r.target, r.wire_id = method.encode(), target.encode(), b"id%d" % self.number
        r.fields = [(n.encode(), v.encode()) for n, v in fields]
        r.headers = {b"host": host.encode(), b"req-kind": kind.encode(), **combined(r.fields)}
        r.taken_at, r.time_left = self.house.at_us, int(left_s * 1e6)
        if body:
            r.body, r.size = [body], len(body)
        self.stage.take(r)
        return r, client.got

    def get(self, *args: Any, **more: Any) -> Got:
        return self.send(*args, **more)[1]

    def say(
        self, status: int = 200, body: bytes = b"level 3.2", *fields: tuple[str, str], date: bool = True,
        at: int = 0,
    ) -> Request:  # fmt: skip
        """The stage behind answers what it was sent first (or what stands at `at`)."""
        request = self.behind.open.pop(at)
        given: Fields = [(n.encode(), v.encode()) for n, v in fields]
        if date and not any(n.lower() == b"date" for n, _ in given):
            from magpiefront.caching.dates import render

            given.append((b"Date", render(int(self.house.wall_s))))
        request.replies.answer(request, status, [body] if body else [], lines(given))
        return request

    def fill(self, cc: str = "max-age=60", *fields: tuple[str, str], target: str = "/api/k1") -> Got:
        """One request that goes on and is answered."""
        got = self.get(target)
        self.say(200, b"level 3.2", ("Cache-Control", cc), *fields)
        return got
