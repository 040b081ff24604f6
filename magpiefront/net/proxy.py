"""The host of the Router: its clock, its timers, the requests and attempts that are live.

What happens on sockets becomes events, and actions are carried out in their order. Nothing is decided here
but to refuse what the proxy itself has no room for.
"""

from __future__ import annotations

import asyncio
import sys
from asyncio import TimerHandle
from collections import deque
from collections.abc import Callable, Sequence
from time import monotonic_ns, time_ns
from typing import TypeVarTuple, Unpack

from magpiefront import Router
from magpiefront.hashing import bytes_hash
from magpiefront.interface import (
    Action, Arrived, AttemptEnded, Cancel, ClientLeft, Event, Exclude, Fail, Forbid, Include, Note,
    Outcome, Probe, Probed, Refuse, RequestClass, Ruling, Send, ServerList, SetTimer, TimerFired, Watch,
)  # fmt: skip
from magpiefront.net.answer import Answer, read_report
from magpiefront.net.config import Address, Config
from magpiefront.net.events import EventLog, Reason
from magpiefront.net.exchange import PROBE_TIMEOUT_S, Attempt, stalled
from magpiefront.net.exchange import Probe as ProbeExchange
from magpiefront.net.figures import Figures
from magpiefront.net.lag import BEHIND_S, LAG_PART, TICK_S, Lag
from magpiefront.net.node_connection import Stray
from magpiefront.net.pool import Node, Pool
from magpiefront.net.request import Request
from magpiefront.reuse import LATEST_COPY_S

Args = TypeVarTuple("Args")

BACKSTOP_US = 15_000
LOG_LINES, LOG_S = 20, 10.0
LONG_TURN_S = 0.05
PAUSE_S = 0.002  # between two slices while requests are open
PAUSE_BEHIND_S = 0.01  # ... and while the loop runs behind


def classes_by_name(config: Config) -> dict[bytes, RequestClass]:
    return {c.name.encode(): c for c in config.settings.classes}


def lag_limit_s(config: Config) -> float:
    return LAG_PART * min(c.aim_us for c in config.settings.classes) / 1e6


class Proxy:
    attempt_type: type[Attempt] = Attempt
    head_of: Callable[[Answer], bytes]

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config, self.loop = config, loop
        self.router = Router(config.settings, config.seed)
        self.zero_us = time_ns() // 1000 - monotonic_ns() // 1000
        self.events: deque[Event] = deque()
        self.busy = False
        self.requests: dict[str, Request] = {}
        self.classes = classes_by_name(config)
        self.figures = Figures(self.classes)
        self.ruling = False  # the Router's last word on an operator's call
        self.streams: dict[Attempt, None] = {}  # long answers under way
        self.connections = max(16, int((config.sockets - 32) * 0.4))
        self.pool = Pool(loop, self.connections, config.connect_timeout_us, config.conn_idle_us)
        self.pool.on_stray = self._tell_stray
        # Hears of which target an answer has come that may not have been made for its request.
        self.on_doubt: Callable[[bytes], None] = lambda target: None
        self.lag = Lag(config.seed, lag_limit_s(config))
        self.events_log = EventLog(loop.time)
        self.list_taken_at = 0  # when the last answer of discovery was taken up
        self.on_watch: Callable[[], None] = lambda: None
        self.log_left, self.log_from, self.log_lost = LOG_LINES, 0.0, 0
        self.answer_by: int | None = None  # where the process is to end: until when all must have an answer
        self.head_of = content_type  # the lines of an answer that go on

    def configure(self, config: Config) -> None:
        """Takes up a new configuration. The process limits and the address to listen on hold from a start."""
        if config.listen != self.config.listen:
            self.log("reload: another address to listen on needs a restart")
        self.config = config
        self.classes = classes_by_name(config)
        self.figures.know(self.classes)
        self.router.configure(config.settings)
        self.pool.set_times(config.connect_timeout_us, config.conn_idle_us)
        self.lag.limit_s = lag_limit_s(config)

    @property
    def most_retry_after_us(self) -> int:
        """How long answers may tell a client to wait; 0 where they may not."""
        settings = self.config.settings
        return settings.max_retry_after_us if settings.retry_after else 0

    @property
    def longest_deadline_us(self) -> int:
        """The longest that a client may be expected to wait, by the settings."""
        return max(c.deadline_us for c in self.config.settings.classes)

    def tick(self) -> None:
        late_s = self.lag.look(self.now_us() / 1e6)
        if late_s > BEHIND_S and not self.lag.catching_up:
            self.lag.catching_up = True
            self._after_reading(self.lag.caught_up)
        if late_s > LONG_TURN_S:
            work = {"requests": len(self.router.pending), "attempts": self.router.in_flight}
            self.events_log.tell("turn", None, late_ms=int(late_s * 1000), **work)
        self.loop.call_later(TICK_S, self.tick)

    def now_us(self) -> int:
        return monotonic_ns() // 1000 + self.zero_us

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
        if self.busy:
            self.events.append(event)
            return
        self.busy = True
        try:
            for action in self.router.handle(self.now_us(), event):
                self._do(action)
            while self.events:
                for action in self.router.handle(self.now_us(), self.events.popleft()):
                    self._do(action)
        finally:
            self.busy = False

    def _do(self, action: Action) -> None:
        match action:
            case Send():
                self._send(action)
            case SetTimer() if not action.delay_us:
                self.go_on(self.give, TimerFired(action.token))
            case SetTimer():
                delay_ms = action.delay_us // 1000 + 2
                self.loop.call_later(delay_ms / 1000, self.give, TimerFired(action.token))
            case Cancel():
                r = self.requests.get(action.request)
                if r is not None and action.attempt < len(r.attempts):
                    attempt = r.attempts[action.attempt]
                    if not attempt.streaming:
                        self.events_log.tell("cancel", Reason.ENDED, request=r.name, attempt=action.attempt)
                        attempt.end(Outcome.CANCELLED)
            case Refuse():
                self._tell_refusal(action.request)
                advice = action.retry_after_us / 1e6
                self._final(action.request, 503, b"Retry-After: %.3f\r\n" % advice if advice else b"")
            case Fail():
                r = self.requests.get(action.request)
                self.events_log.tell("failed", Reason.EXHAUSTED, request=action.request)
                self._final(action.request, 504 if r is not None and r.last is Outcome.TIMEOUT else 502)
            case Probe():
                self._probe(action.server)
            case Watch():
                self.on_watch()
            case Note():
                self.log(action.text)
            case Ruling():
                self.ruling = action.accepted

    def go_on(self, call: Callable[[Unpack[Args]], object], *args: Unpack[Args]) -> None:
        """With work that comes in slices, of lists and of placement: at once, or after a pause in which
        requests and connections are seen to."""
        if self.lag.share:
            self.loop.call_later(PAUSE_BEHIND_S, call, *args)
        elif self.requests:
            self.loop.call_later(PAUSE_S, call, *args)
        else:
            self.loop.call_soon(call, *args)

    def _tell_stray(self, node: Node, stray: Stray) -> None:
        self.events_log.tell(
            "stray", stray.reason, node=node.name, connection=stray.connection.number,
            after_ms=int(stray.after_s * 1000), bytes=stray.size,
        )  # fmt: skip
        if stray.connection.last_target and stray.after_s < LATEST_COPY_S:
            self.on_doubt(stray.connection.last_target)

    def _tell_refusal(self, name: str) -> None:
        r = self.requests.get(name)
        reason = Reason.EXHAUSTED if r is not None and r.attempts else Reason.ADMISSION
        self.events_log.tell("refused", reason, request=name)

    def _send(self, action: Send) -> None:
        r = self.requests[action.request]
        if r.attempts:
            self.events_log.tell("retry", Reason.FAILED, request=r.name, last=r.last.value, to=action.server)
        now = self.now_us()
        until = min(action.expire_at_us or r.deadline, r.deadline)
        node = self.pool.nodes.get(action.server)
        attempt = self.attempt_type(
            self, r, len(r.attempts), node or Node(self.pool, action.server, ("", 0)), now, until
        )
        if action.begin_by_us:
            attempt.begin_by = min(until, action.begin_by_us)
        r.attempts.append(attempt)
        r.out += 1
        if node is None or r.answered or until <= now:
            attempt.end(Outcome.MOOT)
            return
        attempt.timer = self.loop.call_later((until - now) / 1e6, attempt.expire)
        if self.lag.is_behind(now / 1e6):
            self._after_reading(self._begin, attempt)
        else:
            node.begin(attempt)

    def _begin(self, attempt: Attempt) -> None:
        if attempt.done:
            return
        if attempt.may_begin():
            attempt.node.begin(attempt)
        else:
            attempt.end(Outcome.MOOT)

    def _after_reading(self, call: Callable[[Unpack[Args]], None], *args: Unpack[Args]) -> None:
        """Once the loop has run what is overdue and has read what has come: answers, drains, clients that
        left. The loop polls between two turns, and so once between the two hops."""
        self.loop.call_soon(self.loop.call_soon, call, *args)

    def _final(self, name: str, status: int, more: bytes = b"") -> None:
        r = self.requests.get(name)
        if r is not None and not r.answered:
            self._settled(r)
            r.replies.answer(r, status, (), more)

    def _settled(self, r: Request) -> None:
        r.answered = True
        if r.backstop is not None:
            r.backstop.cancel()
        for attempt in r.attempts:
            if not attempt.begun:
                attempt.end(Outcome.MOOT)  # it waits for a connection, and must not go once it has one
        self._forget(r)

    def _forget(self, r: Request) -> None:
        """Guards against memory that grows with every request, and against refusing all once as many as may
        be open have ever come: what has its answer and no attempt out is of no further use."""
        if r.answered and not r.out:
            self.requests.pop(r.name, None)

    # ---- requests

    def answer_all_by(self, at_us: int) -> None:
        """No request, open or to come, has its answer later than this: the process is to end."""
        self.answer_by = at_us
        now = self.now_us()
        for r in self.requests.values():
            if not r.answered and r.deadline > at_us:
                r.deadline = at_us
                if r.backstop is not None:
                    r.backstop.cancel()
                r.backstop = self._backstop(r, max(0, at_us - now))

    def _backstop(self, r: Request, left: int) -> TimerHandle:
        return self.loop.call_later((left + BACKSTOP_US) / 1e6, self._overdue, r)

    def take(self, r: Request) -> None:
        reason = self._full()
        if reason is not None:
            self.events_log.tell("refused", reason, request=r.wire_id.decode("latin-1"))
            r.replies.answer(r, 503)
            return
        r.name = r.wire_id.decode("latin-1")
        while r.name in self.requests:
            if not self.requests[r.name].answered:
                # The id of an open request, which is another's: a cache node would see it come twice.
                self.events_log.tell("refused", Reason.DUPLICATE, request=r.name)
                r.replies.answer(r, 409)
                return
            r.name += "'"  # that one has its answer, but an attempt still out
        if r.size:
            r.more += b"Content-Length: %d\r\n" % r.size
        elif r.method != b"GET" and r.method != b"HEAD":
            r.more += b"Content-Length: 0\r\n"
        self.requests[r.name] = r
        now = self.now_us()
        r.deadline = r.taken_at + r.time_left
        if self.answer_by is not None:
            r.deadline = min(r.deadline, self.answer_by)
        left = max(0, r.deadline - now)
        r.backstop = self._backstop(r, left)
        h = r.headers
        cls = r.cls or self.classes.get(h[b"req-kind"])
        self.give(
            Arrived(
                r.name,
                cls.name if cls is not None else "",
                left,
                bytes_hash(r.key),
                h[b"req-owner"].decode("latin-1") if b"req-owner" in h else None,
                int(h[b"req-cost"]) if b"req-cost" in h else 0,
                r.method != b"GET" and r.method != b"HEAD",
                h.get(b"req-retry") == b"1",
                cls,
            )
        )

    def _full(self) -> Reason | None:
        """Why nothing more can be taken now."""
        if len(self.requests) >= self.config.max_open:
            return Reason.CROWDED
        return Reason.BEHIND if self.lag.sheds() else None

    def _overdue(self, r: Request, late: bool = False) -> None:
        if not r.answered and r.out and not late and self.lag.is_behind(self.now_us() / 1e6):
            self._after_reading(self._overdue, r, True)  # its answer may have come
        elif not r.answered:
            late_ms = (self.now_us() - r.deadline) // 1000
            self.events_log.tell("late", Reason.OVERDUE, request=r.name, late_ms=late_ms)
            self._settled(r)
            r.replies.answer(r, 504)
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
        if r.stream is not None:
            r.stream.hold_back()

    def let_go(self, r: Request) -> None:
        if r.stream is not None:
            r.stream.let_go()

    # ---- attempts

    def look_first(self, a: Attempt) -> bool:
        if a.looked or not self.lag.is_behind(self.now_us() / 1e6):
            return True
        a.looked = True
        self._after_reading(Attempt.expire, a)
        return False

    def attempt_ended(self, a: Attempt, outcome: Outcome, answer: Answer | None) -> None:
        if a.streaming:
            self._stream_ended(a, outcome)
            return
        r = a.request
        r.last = outcome
        if outcome is Outcome.OK and answer is not None and not r.answered:
            self._settled(r)
            r.replies.answer(r, answer.status, answer.body, self.head_of(answer))
        self._tell(a, outcome, answer)

    def _tell(self, a: Attempt, outcome: Outcome, answer: Answer | None) -> None:
        r = a.request
        r.out -= 1
        note = answer.note if answer is not None else 0
        report = answer.report if answer is not None else None
        elapsed = self.now_us() - a.sent_at
        self.give(AttemptEnded(r.name, a.number, a.node.name, outcome, elapsed, r.answered, note, report))
        self._forget(r)

    def stream_began(self, a: Attempt, answer: Answer) -> None:
        """A long answer counts from its first bytes, for the client and so for the module: it is told of the
        outcome now. What comes after is between the two connections."""
        r = a.request
        self._settled(r)
        r.stream = a
        self.streams[a] = None
        r.replies.begin(r, answer.length, self.head_of(answer), answer.status)
        body, answer.body = answer.body, []
        for part in body:
            r.replies.go(r, part)
        self._tell(a, Outcome.OK, answer)

    def _stream_ended(self, a: Attempt, outcome: Outcome) -> None:
        del self.streams[a]
        r = a.request
        if r.stream is a:
            r.stream = None
            if outcome is Outcome.OK:
                r.replies.end(r)
            else:
                self.events_log.tell("closed", Reason.CUT, request=r.name, outcome=outcome.value)
                r.replies.cut(r)

    def stream_goes_on(self, a: Attempt, body: bytes) -> None:
        if a.request.stream is a:
            a.request.replies.go(a.request, body)

    # ---- probes and the list

    def _probe(self, server: str) -> None:
        node = self.pool.nodes.get(server)
        if node is None:
            self.give(Probed(server, Outcome.MOOT, 0))
            return
        probe = ProbeExchange(self, node, self.now_us(), self.config.load_path or b"/health")
        probe.timer = self.loop.call_later(PROBE_TIMEOUT_S, probe.end, Outcome.TIMEOUT)
        node.begin(probe)

    def probed(self, p: ProbeExchange, outcome: Outcome, answer: Answer | None) -> None:
        report = answer.report if answer is not None else None
        if self.config.load_path and answer is not None and outcome is Outcome.OK:
            report = read_report(b"".join(answer.body))
        self.give(Probed(p.node.name, outcome, self.now_us() - p.sent_at, report))

    def by_hand(self, server: str, out: bool, known: bool = False) -> bool:
        """An operator's call. Never from inside of an action: the Router's word is there on return."""
        self.give(Exclude(server, known) if out else Include(server))
        node = self.pool.nodes.get(server)
        if self.ruling and node is not None:
            node.barred = out
            if out:
                node.close_idle()  # it is about to be restarted
        return self.ruling

    def forbid(self, names: Sequence[str]) -> None:
        """Nothing new goes to these nodes from now on."""
        for name in names:
            self.pool.place_node(name, None)
        self.give(Forbid(names))

    def list_changed(self, told: ServerList, places: dict[str, Address]) -> None:
        """Nodes of the entries stand at `places` from now on; those without one get nothing more."""
        self.list_taken_at = self.now_us()
        for entry in told.entries:
            self.pool.place_node(entry.server, places.get(entry.server))
        self.give(told)

    def sweep(self) -> None:
        self.pool.sweep()
        now = self.loop.time()
        for a in list(self.streams):
            if stalled(a, now):
                self.events_log.tell("closed", Reason.STALLED, request=a.request.name, node=a.node.name)
                a.end(Outcome.RESET)


def content_type(answer: Answer) -> bytes:
    return b"Content-Type: %b\r\n" % answer.content_type if answer.content_type else b""
