"""The host of the Router: its clock, its timers, the requests and attempts that are live.

What happens on sockets becomes events, and actions are carried out in their order. Nothing is decided here
but to refuse what the proxy itself has no room for.
"""

from __future__ import annotations

import asyncio
import re
import sys
import time
from collections import deque
from collections.abc import Callable, Container
from random import Random
from typing import TYPE_CHECKING

from magpiefront import Router
from magpiefront.hashing import text_hash
from magpiefront.interface import (
    Action, Arrived, AttemptEnded, Cancel, ClientLeft, Event, Fail, ListKind, Note, Outcome, Probe, Probed,
    Refuse, Send, ServerList, SetTimer, TimerFired, Watch,
)  # fmt: skip
from magpiefront.net import upstream
from magpiefront.net.config import Address, Config

if TYPE_CHECKING:
    from magpiefront.net.downstream import ClientConnection

BACKSTOP_US = 15_000
TICK_S, LAG_PART = 0.01, 0.2  # how often lag is looked at; the part of the shortest aim that is too much
SHED_MORE, SHED_LESS, MOST_SHED = 0.04, 0.01, 0.9
LOG_LINES, LOG_S = 20, 10.0
DECIMAL, WHOLE = re.compile(rb"-?(?:\d{1,6}(?:\.\d*)?|\.\d+)"), re.compile(rb"\d{1,18}")


class Request:
    """A client's request, from its first byte to its answer and the end of its attempts."""

    __slots__ = ("answered", "attempts", "backstop", "body", "client", "deadline", "error", "headers",
                 "keep_alive", "last", "method", "more", "name", "out", "size", "stream", "taken_at",
                 "target", "time_left", "wire_id")  # fmt: skip

    def __init__(self, client: ClientConnection) -> None:
        self.client = client
        self.method = self.target = self.wire_id = self.more = b""
        self.headers: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.size = self.error = self.taken_at = self.time_left = self.deadline = self.out = 0
        self.keep_alive = True
        self.answered = False
        self.name = ""
        self.attempts: list[upstream.Attempt] = []
        self.stream: upstream.Attempt | None = None
        self.last = Outcome.ERROR
        self.backstop: asyncio.TimerHandle | None = None

    def check(self, classes: Container[bytes]) -> int:
        """The status that a bad head is answered with, or 0. Nothing bad reaches a cache node: what nodes
        turn away for that reason looks to the module as if they were too busy."""
        path = self.target.partition(b"?")[0]
        if not path.startswith(b"/"):
            return 400
        if path == b"/ready":
            return 0 if self.method == b"GET" else 405
        if self.method not in (b"GET", b"PUT"):
            return 405
        if path.endswith(b"/"):
            return 404
        h = self.headers
        if not h.get(b"req-id") or h.get(b"req-kind") not in classes:
            return 400
        deadline, cost = h.get(b"req-deadline", b""), h.get(b"req-cost", b"0")
        if not DECIMAL.fullmatch(deadline) or not WHOLE.fullmatch(cost):
            return 400
        left = float(deadline)
        self.time_left = max(0, int(left * 1e6))
        self.wire_id = h[b"req-id"]
        for name, title in ((b"idempotency-key", b"Idempotency-Key"), (b"content-type", b"Content-Type")):
            if name in h:
                self.more += b"%b: %b\r\n" % (title, h[name])
        return 0


class Bodies:
    """Guards the memory that clients' bodies take: past a limit their reading pauses, but for one that goes
    on to its end, so that there always is an end."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, 0
        self.first: ClientConnection | None = None
        self.stalled: dict[ClientConnection, None] = {}

    def grow(self, client: ClientConnection, size: int) -> None:
        self.held += size
        if self.held > self.most and self.first is None:
            self.first = client

    def waits(self, client: ClientConnection) -> bool:
        if self.held <= self.most or client is self.first or not client.size:
            return False
        self.stalled[client] = None
        return True

    def release(self, client: ClientConnection, size: int) -> None:
        self.held -= size
        if not size and client is not self.first and client not in self.stalled:
            return
        self.stalled.pop(client, None)
        if client is self.first:
            self.first = None
        if self.first is None and self.held > self.most and self.stalled:
            self.first = next(iter(self.stalled))
            del self.stalled[self.first]
            self.first.go_on()
        elif self.held <= self.most and self.stalled:
            stalled, self.stalled = self.stalled, {}
            for c in stalled:
                c.go_on()


class Lag:
    """Guards against being late for everybody when the proxy's own CPU is not enough: while the event loop
    runs behind, a growing part of the requests is refused as soon as it is read, which costs a fraction of
    serving it. Small steps, so that one pause of the process refuses hardly anybody."""

    def __init__(self, proxy: Proxy, limit_s: float) -> None:
        self.proxy, self.limit_s = proxy, limit_s
        self.share = 0.0
        self.random = Random(proxy.config.seed)
        self.due = 0.0

    def tick(self) -> None:
        now = self.proxy.now_us() / 1e6  # not the loop's time, which stands still while callbacks run
        if self.due and now - self.due > self.limit_s:
            self.share = min(MOST_SHED, self.share + SHED_MORE)
        else:
            self.share = max(0.0, self.share - SHED_LESS)
        self.due = now + TICK_S
        self.proxy.loop.call_later(TICK_S, self.tick)

    def sheds(self) -> bool:
        return self.share > 0 and self.random.random() < self.share


def class_names(config: Config) -> dict[bytes, str]:
    return {c.name.encode(): c.name for c in config.settings.classes}


def lag_limit_s(config: Config) -> float:
    return LAG_PART * min(c.aim_us for c in config.settings.classes) / 1e6


class Proxy:
    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config, self.loop = config, loop
        self.router = Router(config.settings, config.seed)
        self.zero_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000
        self.events: deque[Event] = deque()
        self.busy = False
        self.requests: dict[str, Request] = {}
        self.classes = class_names(config)
        self.streams: dict[upstream.Attempt, None] = {}  # long answers under way
        self.connections = max(16, int((config.sockets - 32) * 0.4))
        self.pool = upstream.Pool(loop, self.connections, config.connect_timeout_us, config.conn_idle_us)
        self.lag = Lag(self, lag_limit_s(config))
        self.bodies = Bodies(int(config.memory_mb * 0.3) << 20)
        self.on_watch: Callable[[], None] = lambda: None
        self.log_left, self.log_from, self.log_lost = LOG_LINES, 0.0, 0

    def configure(self, config: Config) -> None:
        """Takes up a new configuration. The process limits and the address to listen on hold from a start."""
        if config.listen != self.config.listen:
            self.log("reload: another address to listen on needs a restart")
        self.config = config
        self.classes = class_names(config)
        self.router.configure(config.settings)
        self.pool.set_times(config.connect_timeout_us, config.conn_idle_us)
        self.lag.limit_s = lag_limit_s(config)

    def now_us(self) -> int:
        return time.monotonic_ns() // 1000 + self.zero_us

    def log(self, text: str) -> None:
        now = self.loop.time()
        if now - self.log_from > LOG_S:
            if self.log_lost:
                print(f"{self.log_lost} lines left out", file=sys.stderr, flush=True)
            self.log_left, self.log_from, self.log_lost = LOG_LINES, now, 0
        if self.log_left:
            self.log_left -= 1
            print(text, file=sys.stderr, flush=True)
        else:
            self.log_lost += 1

    # ---- the module

    def give(self, event: Event) -> None:
        self.events.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.events:
                for action in self.router.handle(self.now_us(), self.events.popleft()):
                    self._do(action)
        finally:
            self.busy = False

    def _do(self, action: Action) -> None:
        match action:
            case Send():
                self._send(action)
            case SetTimer():
                delay_ms = action.delay_us // 1000 + 2
                self.loop.call_later(delay_ms / 1000, self.give, TimerFired(action.token))
            case Cancel():
                r = self.requests.get(action.request)
                if r is not None and action.attempt < len(r.attempts):
                    attempt = r.attempts[action.attempt]
                    if not attempt.streaming:
                        attempt.end(Outcome.CANCELLED)
            case Refuse():
                advice = action.retry_after_us / 1e6
                self._final(action.request, 503, b"Retry-After: %.3f\r\n" % advice if advice else b"")
            case Fail():
                r = self.requests.get(action.request)
                self._final(action.request, 504 if r is not None and r.last is Outcome.TIMEOUT else 502)
            case Probe():
                self._probe(action.server)
            case Watch():
                self.on_watch()
            case Note():
                self.log(action.text)

    def _send(self, action: Send) -> None:
        r = self.requests[action.request]
        now = self.now_us()
        until = min(action.expire_at_us or r.deadline, r.deadline)
        node = self.pool.nodes.get(action.server)
        attempt = upstream.Attempt(
            self, r, len(r.attempts), node or upstream.Node(self.pool, action.server, ("", 0)), now, until
        )
        r.attempts.append(attempt)
        r.out += 1
        if node is None or r.answered or until <= now:
            attempt.end(Outcome.MOOT)
            return
        attempt.timer = self.loop.call_later((until - now) / 1e6, attempt.expire)
        node.begin(attempt)

    def _final(self, name: str, status: int, more: bytes = b"") -> None:
        r = self.requests.get(name)
        if r is not None and not r.answered:
            self._settled(r)
            r.client.answer(r, status, (), more)

    def _settled(self, r: Request) -> None:
        r.answered = True
        if r.backstop is not None:
            r.backstop.cancel()
        size, r.size = r.size, 0
        if size:
            r.body = []
            self.bodies.release(r.client, size)
        self._forget(r)

    def _forget(self, r: Request) -> None:
        """Guards against memory that grows with every request, and against refusing all once as many as may
        be open have ever come: what has its answer and no attempt out is of no further use."""
        if r.answered and not r.out:
            self.requests.pop(r.name, None)

    # ---- requests

    def take(self, r: Request) -> None:
        if self._full():
            self.bodies.release(r.client, r.size)
            r.client.answer(r, 503)
            return
        r.name = r.wire_id.decode("latin-1")
        while r.name in self.requests:
            if not self.requests[r.name].answered:
                # The id of an open request, which is another's: a cache node would see it come twice.
                self.bodies.release(r.client, r.size)
                r.client.answer(r, 409)
                return
            r.name += "'"  # that one has its answer, but an attempt still out
        if r.size:
            r.more += b"Content-Length: %d\r\n" % r.size
        elif r.method == b"PUT":
            r.more += b"Content-Length: 0\r\n"
        self.requests[r.name] = r
        now = self.now_us()
        r.deadline = r.taken_at + r.time_left
        left = max(0, r.deadline - now)
        r.backstop = self.loop.call_later((left + BACKSTOP_US) / 1e6, self._overdue, r)
        h = r.headers
        self.give(
            Arrived(
                r.name,
                self.classes.get(h[b"req-kind"], ""),
                left,
                text_hash(r.target.partition(b"?")[0].rpartition(b"/")[2].decode("latin-1")),
                h[b"req-owner"].decode("latin-1") if b"req-owner" in h else None,
                int(h[b"req-cost"]) if b"req-cost" in h else 0,
                r.method == b"PUT",
                h.get(b"req-retry") == b"1",
            )
        )

    def _full(self) -> bool:
        return len(self.requests) >= self.config.max_open or self.lag.sheds()

    def _overdue(self, r: Request) -> None:
        if not r.answered:
            self.log(f"overdue: {r.name}")
            self._settled(r)
            r.client.answer(r, 504)
            if r.out:
                self.give(ClientLeft(r.name))

    def client_left(self, r: Request) -> None:
        stream, r.stream = r.stream, None
        if stream is not None:
            stream.end(Outcome.CANCELLED)
        if not r.answered:
            self._settled(r)
            self.give(ClientLeft(r.name))

    def hold_back(self, r: Request) -> None:
        if r.stream is not None and r.stream.connection is not None:
            r.stream.connection.pause()

    def let_go(self, r: Request) -> None:
        if r.stream is not None and r.stream.connection is not None:
            r.stream.connection.resume()

    # ---- attempts

    def attempt_ended(self, a: upstream.Attempt, outcome: Outcome, answer: upstream.Answer | None) -> None:
        if a.streaming:
            self._stream_ended(a, outcome)
            return
        r = a.request
        r.last = outcome
        if outcome is Outcome.OK and answer is not None and not r.answered:
            self._settled(r)
            r.client.answer(r, 200, answer.body, content_type(answer))
        self._tell(a, outcome, answer)

    def _tell(self, a: upstream.Attempt, outcome: Outcome, answer: upstream.Answer | None) -> None:
        r = a.request
        r.out -= 1
        note = answer.note if answer is not None else 0
        report = answer.report if answer is not None else None
        elapsed = self.now_us() - a.sent_at
        self.give(AttemptEnded(r.name, a.number, a.node.name, outcome, elapsed, r.answered, note, report))
        self._forget(r)

    def stream_began(self, a: upstream.Attempt, answer: upstream.Answer) -> None:
        """A long answer counts from its first bytes, for the client and so for the module: it is told of the
        outcome now. What comes after is between the two connections."""
        r = a.request
        self._settled(r)
        r.stream = a
        self.streams[a] = None
        r.client.begin(r, answer.length, content_type(answer))
        body, answer.body = answer.body, []
        for part in body:
            r.client.go(part)
        self._tell(a, Outcome.OK, answer)

    def _stream_ended(self, a: upstream.Attempt, outcome: Outcome) -> None:
        del self.streams[a]
        r = a.request
        if r.stream is a:
            r.stream = None
            if outcome is Outcome.OK:
                r.client.end(r)
            else:
                r.client.cut()

    def stream_goes_on(self, a: upstream.Attempt, body: bytes) -> None:
        if a.request.stream is a:
            a.request.client.go(body)

    # ---- probes and the list

    def _probe(self, server: str) -> None:
        node = self.pool.nodes.get(server)
        if node is None:
            self.give(Probed(server, Outcome.MOOT, 0))
            return
        probe = upstream.Probe(self, node, self.now_us(), self.config.load_path or b"/health")
        probe.timer = self.loop.call_later(upstream.PROBE_TIMEOUT_S, probe.end, Outcome.TIMEOUT)
        node.begin(probe)

    def probed(self, p: upstream.Probe, outcome: Outcome, answer: upstream.Answer | None) -> None:
        report = answer.report if answer is not None else None
        if self.config.load_path and answer is not None and outcome is Outcome.OK:
            report = upstream.read_report(b"".join(answer.body))
        self.give(Probed(p.node.name, outcome, self.now_us() - p.sent_at, report))

    def listed(self, told: ServerList, addresses: dict[str, Address]) -> None:
        if told.kind is not ListKind.BROKEN:
            self.pool.set_nodes(addresses)
        self.give(told)

    def sweep(self) -> None:
        self.pool.sweep()
        now = self.loop.time()
        for a in list(self.streams):
            if upstream.stalled(a, now):
                a.end(Outcome.RESET)


def content_type(answer: upstream.Answer) -> bytes:
    return b"Content-Type: %b\r\n" % answer.content_type if answer.content_type else b""
