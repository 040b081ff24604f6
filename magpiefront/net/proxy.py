"""The host of the Router: supplies its clock and timers, and holds the open requests and attempts.

Turns what happens on sockets into events for the Router and carries its actions out in their order. All
decisions are the Router's, with one exception: the proxy refuses what exceeds its own limits (open requests,
CPU time).
"""

from __future__ import annotations

import asyncio
import sys
from asyncio import TimerHandle
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress
from time import monotonic_ns, time_ns
from typing import TypeVarTuple, Unpack

from magpiefront import Router
from magpiefront.hashing import bytes_hash
from magpiefront.interface import (
    NEVER_RAN, Abandon, Action, AnswerPaused, Arrived, AttemptEnded, Cancel, ClientLeft, Event, Exclude, Fail,
    Include, LogMessage, OperatorResult, Outcome, Probe, ProbeEnded, Refuse, RequestClass, Send, ServerList,
    SetTimer, StopSending, TimerFired, Watch,
)  # fmt: skip
from magpiefront.net import exchange
from magpiefront.net.answer import Answer, parse_load_report
from magpiefront.net.config import Address, Config
from magpiefront.net.deadlines import Deadlines
from magpiefront.net.events import EventLog, Reason
from magpiefront.net.exchange import PROBE_TIMEOUT_S, Attempt, stalled
from magpiefront.net.exchange import Probe as ProbeExchange
from magpiefront.net.lag import BEHIND_THRESHOLD_S, LAG_LIMIT_FRACTION, TICK_S, LoopLag, after_reading
from magpiefront.net.metrics import Metrics
from magpiefront.net.node_connection import Stray
from magpiefront.net.pool import Node, Pool
from magpiefront.net.request import Request
from magpiefront.request_ids import IDS_PER_MB, OnceRequest, RequestIds, key_of, memory_us, must_run_once
from magpiefront.reuse import MAX_DUPLICATE_DELAY_S

Args = TypeVarTuple("Args")

TIMEOUT_SLACK_US = 15_000  # from a request's deadline until it gets a 504 if no answer has come
# Rate limit of the log: maximum number of lines per period, and the length of a period in seconds. It keeps a
# repeated message from flooding standard error.
MAX_LOG_LINES, LOG_PERIOD_S = 20, 10.0
LONG_TURN_S = 0.05  # event loop lag above which a `turn` event is logged
SLICE_PAUSE_S = 0.002  # between two slices of long work while requests are open
SLICE_PAUSE_BEHIND_S = 0.01  # between two slices of long work while requests are shed for loop lag


def classes_by_name(config: Config) -> dict[bytes, RequestClass]:
    """The configured request classes by the name that requests give in `Req-Kind`."""
    return {c.name.encode(): c for c in config.settings.classes}


def lag_limit_s(config: Config) -> float:
    """The loop lag (seconds) above which requests are shed: a part of the shortest latency objective."""
    return LAG_LIMIT_FRACTION * min(c.aim_us for c in config.settings.classes) / 1e6


def write_line(text: str) -> None:
    """Writes a line to standard error; it is lost if that is closed or full."""
    with suppress(OSError, ValueError):
        print(text, file=sys.stderr, flush=True)


class Proxy:
    """Runs the Router over the pool of node connections. It is the last stage that a request passes through.

    `head_of` formats the field lines of a node's answer that are passed on to the client.
    """

    attempt_type: type[Attempt] = Attempt
    head_of: Callable[[Answer], bytes]

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config, self.loop = config, loop
        self.router = Router(config.settings, config.seed)
        self.wall_clock_offset_us = time_ns() // 1000 - monotonic_ns() // 1000
        self.events: deque[Event] = deque()
        self.dispatching = False
        self.requests: dict[str, Request] = {}
        self.ids = RequestIds(IDS_PER_MB * config.memory_mb)
        # Called with the id of each request that must run once, and for how long (us) it may be known to run.
        self.on_new_id: Callable[[bytes, int], None] = lambda name, known_us: None
        self.classes = classes_by_name(config)
        self.metrics = Metrics(self.classes)
        self.excluded_by_operator: set[str] = set()  # nodes that an operator has excluded and not included
        self.operator_command_accepted = False  # whether the Router accepted the operator's latest command
        self.streams: dict[Attempt, None] = {}  # attempts whose long answers are being passed on
        self.node_descriptors = max(16, int((config.sockets - 32) * 0.4))  # that clients may not use
        self.pool = Pool(loop, self.node_descriptors, config.connect_timeout_us, config.conn_idle_us)
        self.pool.on_stray = self._log_stray
        # Called with a request target if the latest answer to it may have belonged to another request.
        self.on_unsolicited_answer: Callable[[bytes], None] = lambda target: None
        self.memory_short = False  # whether new requests are refused for lack of memory
        self.lag = LoopLag(config.seed, lag_limit_s(config))
        self.events_log = EventLog(loop.time)
        self.list_received_at = 0  # `now_us` when discovery's latest list was applied; 0: never
        # The number of the client's connection whose bytes took longest to parse lately; 0: none.
        self.slowest_connection: Callable[[], int] = lambda: 0
        self.check_memory: Callable[[], None] = lambda: None  # called with each measurement of the lag
        self.on_watch: Callable[[], None] = lambda: None  # called when the Router asks for the server list
        self.log_lines_left, self.log_period_start, self.log_lines_dropped = MAX_LOG_LINES, 0.0, 0
        self.deadlines = Deadlines(loop, self.now_us)
        self.head_of = content_type

    def configure(self, config: Config) -> None:
        """Applies a new configuration. The process limits and the listen address only change at a restart."""
        if config.listen != self.config.listen:
            self.log("reload: a changed listen address needs a restart")
        self.config = config
        self.classes = classes_by_name(config)
        self.metrics.add_classes(self.classes)
        self.router.configure(config.settings)
        self.pool.set_timeouts(config.connect_timeout_us, config.conn_idle_us)
        self.lag.limit_s = lag_limit_s(config)

    @property
    def max_retry_after_us(self) -> int:
        """The longest `Retry-After` that an answer may give, in microseconds; 0: answers give none."""
        settings = self.config.settings
        return settings.max_retry_after_us if settings.retry_after else 0

    @property
    def longest_deadline_us(self) -> int:
        """The longest deadline of all request classes, in microseconds."""
        return max(c.deadline_us for c in self.config.settings.classes)

    def tick(self) -> None:
        """Measures the event loop's lag, and schedules the next measurement."""
        self.check_memory()
        late_s = self.lag.measure(self.now_us() / 1e6)
        if late_s > BEHIND_THRESHOLD_S and not self.lag.catching_up:
            self.lag.catching_up = True
            after_reading(self.loop, self.lag.caught_up)
        if late_s > LONG_TURN_S:
            work = {"requests": len(self.router.pending), "attempts": self.router.in_flight}
            slowest = self.slowest_connection()
            if slowest:
                work["connection"] = slowest
            self.events_log.emit("turn", None, late_ms=int(late_s * 1000), **work)
        self.loop.call_later(TICK_S, self.tick)

    def now_us(self) -> int:
        """The host's clock: microseconds since the Unix epoch by the system clock at the start, and monotonic
        from then on, whatever the system clock does."""
        return monotonic_ns() // 1000 + self.wall_clock_offset_us

    def log(self, text: str) -> None:
        """Writes a line to standard error. Lines above the limit of a period are dropped, and their number is
        logged in a later period."""
        now = self.loop.time()
        if now - self.log_period_start > LOG_PERIOD_S:
            if self.log_lines_dropped:
                write_line(f"{self.log_lines_dropped} log lines suppressed")
            self.log_lines_left, self.log_period_start, self.log_lines_dropped = MAX_LOG_LINES, now, 0
        if self.log_lines_left:
            self.log_lines_left -= 1
            write_line(text)
        else:
            self.log_lines_dropped += 1

    # ---- the Router

    def dispatch(self, event: Event) -> None:
        """Hands an event to the Router and carries out its actions. If this is called while an action is
        carried out, it queues the event, which is handled after the remaining actions."""
        if self.dispatching:
            self.events.append(event)
            return
        self.dispatching = True
        try:
            for action in self.router.handle(self.now_us(), event):
                self._carry_out(action)
            while self.events:
                for action in self.router.handle(self.now_us(), self.events.popleft()):
                    self._carry_out(action)
        finally:
            self.dispatching = False

    def _carry_out(self, action: Action) -> None:
        match action:
            case Send():
                self._send(action)
            case SetTimer() if not action.delay_us:
                self.schedule_slice(self.dispatch, TimerFired(action.token))
            case SetTimer():
                delay_ms = action.delay_us // 1000 + 2
                self.loop.call_later(delay_ms / 1000, self.dispatch, TimerFired(action.token))
            case Abandon():
                request = self.requests.get(action.request)
                if request is not None and action.attempt < len(request.attempts):
                    request.attempts[action.attempt].end(Outcome.RESET)
            case Cancel():
                request = self.requests.get(action.request)
                if request is not None and action.attempt < len(request.attempts):
                    attempt = request.attempts[action.attempt]
                    if not attempt.streaming:
                        self.events_log.emit(
                            "cancel", Reason.ENDED, request=request.name, attempt=action.attempt
                        )  # fmt: skip
                        attempt.end(Outcome.CANCELLED)
            case Refuse():
                self._log_refusal(action.request)
                after_s = action.retry_after_us / 1e6
                self._answer_status(
                    action.request, 503, b"Retry-After: %.3f\r\n" % after_s if after_s else b""
                )
            case Fail():
                request = self.requests.get(action.request)
                self.events_log.emit("failed", Reason.EXHAUSTED, request=action.request)
                self._answer_status(
                    action.request,
                    504 if request is not None and request.last_outcome is Outcome.TIMEOUT else 502,
                )
            case Probe():
                self._probe(action.server)
            case Watch():
                self.on_watch()
            case LogMessage():
                self.log(action.text)
            case OperatorResult():
                self.operator_command_accepted = action.accepted

    def schedule_slice(self, call: Callable[[Unpack[Args]], object], *args: Unpack[Args]) -> None:
        """Schedules the next slice of long work (server lists, placement): in the next turn of the event loop
        if no request is open or shed, else after a pause in which requests and connections are served."""
        if self.lag.shed_fraction:
            self.loop.call_later(SLICE_PAUSE_BEHIND_S, call, *args)
        elif self.requests:
            self.loop.call_later(SLICE_PAUSE_S, call, *args)
        else:
            self.loop.call_soon(call, *args)

    def _log_stray(self, node: Node, stray: Stray) -> None:
        self.events_log.emit(
            "stray", stray.reason, node=node.name, connection=stray.connection.number,
            after_ms=int(stray.after_s * 1000), bytes=stray.size,
        )  # fmt: skip
        if stray.connection.last_target and stray.after_s < MAX_DUPLICATE_DELAY_S:
            self.on_unsolicited_answer(stray.connection.last_target)

    def _log_refusal(self, name: str) -> None:
        request = self.requests.get(name)
        reason = Reason.EXHAUSTED if request is not None and request.attempts else Reason.ADMISSION
        self.events_log.emit("refused", reason, request=name)

    def _send(self, action: Send) -> None:
        request = self.requests[action.request]
        if request.in_flight:
            self.events_log.emit("hedge", None, request=request.name, to=action.server)
        elif request.attempts:
            self.events_log.emit(
                "retry", Reason.FAILED, request=request.name, last=request.last_outcome.value,
                to=action.server,
            )  # fmt: skip
        now = self.now_us()
        until = min(action.expire_at_us or request.deadline, request.deadline)
        node = self.pool.nodes.get(action.server)
        attempt = self.attempt_type(
            self, request, len(request.attempts), node or Node(self.pool, action.server, ("", 0)), now, until
        )
        attempt.group = action.group
        request.attempts.append(attempt)
        if action.not_after_us:
            for sent in request.attempts:
                sent.arrive_by(action.not_after_us)
        request.in_flight += 1
        if node is None or request.answered or until <= now:
            attempt.end(Outcome.MOOT)
            return
        attempt.lag_s_before = self.lag.total_s(now / 1e6)
        attempt.timer = self.loop.call_later((until - now) / 1e6, attempt.expire)
        if self.lag.is_behind(now / 1e6):
            after_reading(self.loop, self._begin_if_due, attempt)
        else:
            node.begin(attempt)

    def _begin_if_due(self, attempt: Attempt) -> None:
        if attempt.done:
            return
        if attempt.may_begin():
            attempt.node.begin(attempt)
        else:
            attempt.end(Outcome.MOOT)

    def _answer_status(self, name: str, status: int, more: bytes = b"") -> None:
        request = self.requests.get(name)
        if request is not None and not request.answered:
            self._mark_answered(request)
            request.responder.answer(request, status, (), more)

    def _mark_answered(self, request: Request) -> None:
        request.answered = True
        if request.timeout_timer is not None:
            request.timeout_timer.cancel()
        for attempt in request.attempts:
            if not attempt.begun:
                attempt.end(Outcome.MOOT)  # it waits for a connection, and must not be sent once it has one
        self._drop_if_finished(request)

    def _drop_if_finished(self, request: Request) -> None:
        """Removes a request that is answered and has no attempt in flight. If it were kept, memory would grow
        with every request, and after `max_open` requests in all, every further one would be refused."""
        if request.answered and not request.in_flight:
            if request.may_have_run and not request.served and request.cls is not None:
                self.remember_id(OnceRequest(request.wire_id, request.cls))
            self.requests.pop(request.name, None)

    # ---- requests

    def answer_all_by(self, at_us: int) -> None:
        """Makes `at_us` the latest deadline of every request, open or still to come, because the process is
        shutting down."""
        self.deadlines.bring_forward(at_us)
        now = self.now_us()
        for request in self.requests.values():
            if not request.answered and request.deadline > at_us:
                request.deadline = at_us
                if request.timeout_timer is not None:
                    request.timeout_timer.cancel()
                request.timeout_timer = self._start_timeout_timer(request, max(0, at_us - now))

    def _start_timeout_timer(self, request: Request, left_us: int) -> TimerHandle:
        return self.loop.call_later((left_us + TIMEOUT_SLACK_US) / 1e6, self._answer_overdue, request)

    def submit(self, request: Request) -> None:
        """Hands a request to the Router. Answers 503 if a limit of the proxy is reached, and 409 if an open
        request has the same id."""
        reason = self._refusal_reason(request.pipelined)
        if reason is not None:
            self.events_log.emit("refused", reason, request=request.wire_id.decode("latin-1"))
            request.responder.answer(request, 503)
            return
        request.name = request.wire_id.decode("latin-1")
        once = must_run_once(request.cls) and request.client_gone is not None
        while request.name in self.requests:
            if once or not self.requests[request.name].answered:
                # Another open request has this id. A cache node would see the same id twice.
                self.events_log.emit("refused", Reason.DUPLICATE, request=request.name)
                request.responder.answer(request, 409)
                return
            request.name += "'"  # the other request is answered, but still has an attempt in flight
        if once and not self._accept_id(request):
            return
        if request.size:
            request.extra_fields += b"Content-Length: %d\r\n" % request.size
        elif request.method != b"GET" and request.method != b"HEAD":
            request.extra_fields += b"Content-Length: 0\r\n"
        self.requests[request.name] = request
        now = self.now_us()
        request.deadline = self.deadlines.of(request)
        left_us = max(0, request.deadline - now)
        request.timeout_timer = self._start_timeout_timer(request, left_us)
        headers = request.headers
        cls = request.cls or self.classes.get(headers[b"req-kind"])
        self.dispatch(
            Arrived(
                request.name,
                cls.name if cls is not None else "",
                left_us,
                bytes_hash(request.key),
                headers[b"req-owner"].decode("latin-1") if b"req-owner" in headers else None,
                int(headers[b"req-cost"]) if b"req-cost" in headers else 0,
                request.method != b"GET" and request.method != b"HEAD",
                headers.get(b"req-retry") == b"1",
                cls,
                request.pipelined,
                request.limits,
            )
        )

    def _accept_id(self, request: Request) -> bool:
        """Whether a request that must run once may be sent. If not, answers it: 409 if a request with its id
        may have run, 503 if there is no room to keep another id."""
        now, cls = self.now_us(), request.cls
        assert cls is not None
        if self.ids.knows(request.wire_id, now):
            self.events_log.emit("refused", Reason.DUPLICATE, request=request.name, ended=True)
            request.responder.answer(request, 409)
            return False
        if self.ids.is_full(now):
            self.events_log.emit("refused", Reason.IDS, request=request.name, ids=len(self.ids))
            request.responder.answer(request, 503)
            return False
        self.on_new_id(key_of(request.wire_id), request.time_left + memory_us(cls))
        return True

    def remember_id(self, request: OnceRequest) -> None:
        """Keeps the id of a request that has run or may run, so that it is not sent a second time."""
        self.ids.remember(request.name, self.now_us() + memory_us(request.cls))

    def known_ids(self) -> list[tuple[str, int]]:
        """The ids of requests that must run once and have run or may run, each with the microseconds for
        which that is known."""
        now = self.now_us()
        still_open = [
            (
                key_of(request.wire_id).decode("latin-1"),
                max(0, request.deadline - now) + memory_us(request.cls),
            )
            for request in self.requests.values()
            if must_run_once(request.cls) and request.client_gone is not None
        ]
        return self.ids.snapshot(now) + still_open

    def _keep_id_of_cut(self, request: Request) -> None:
        """Keeps the id of a request whose answer did not reach its client to the end."""
        if must_run_once(request.cls):
            self.remember_id(OnceRequest(request.wire_id, request.cls))

    def _refusal_reason(self, pipelined: bool) -> Reason | None:
        """Why a further request is refused now; None if it is not. `pipelined`: as in `LoopLag`."""
        if len(self.requests) >= self.config.max_open:
            return Reason.CROWDED
        if self.memory_short:
            return Reason.MEMORY
        return Reason.BEHIND if self.lag.should_shed(pipelined) else None

    def _answer_overdue(self, request: Request, has_read: bool = False) -> None:
        if (
            not request.answered and request.in_flight and not has_read
            and self.lag.is_behind(self.now_us() / 1e6)
        ):  # fmt: skip
            after_reading(self.loop, self._answer_overdue, request, True)  # its answer may be unread
        elif not request.answered:
            late_ms = (self.now_us() - request.deadline) // 1000
            self.events_log.emit("late", Reason.OVERDUE, request=request.name, late_ms=late_ms)
            self._mark_answered(request)
            request.responder.answer(request, 504)
            if request.in_flight:
                self.dispatch(ClientLeft(request.name))

    def client_left(self, request: Request) -> None:
        stream, request.streaming_attempt = request.streaming_attempt, None
        if stream is not None:
            self._keep_id_of_cut(request)
            stream.end(Outcome.CANCELLED)
        if not request.answered:
            self._mark_answered(request)
            self.dispatch(ClientLeft(request.name))

    def pause_response(self, request: Request) -> None:
        if request.streaming_attempt is not None:
            request.streaming_attempt.pause_response()

    def resume_response(self, request: Request) -> None:
        if request.streaming_attempt is not None:
            request.streaming_attempt.resume_response()

    # ---- attempts

    def may_time_out(self, attempt: Attempt) -> bool:
        """Whether an attempt may time out now. If the event loop runs late, the answer may have arrived but
        not been read: then this returns False once, and schedules the expiry again for after the reading."""
        if attempt.late_check_done or not self.lag.is_behind(self.now_us() / 1e6):
            return True
        attempt.late_check_done = True
        after_reading(self.loop, Attempt.expire, attempt)
        return False

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, answer: Answer | None) -> None:
        """Called when an attempt has ended: passes its answer to the client if it succeeded, and reports the
        outcome to the Router."""
        if attempt.streaming:
            self._stream_ended(attempt, outcome)
            return
        request = attempt.request
        request.last_outcome = outcome
        if outcome is Outcome.OK and answer is not None and not request.answered:
            request.served = True
            self._mark_answered(request)
            request.responder.answer(request, answer.status, answer.body, self.head_of(answer))
        self._report_outcome(attempt, outcome, answer)

    def _report_outcome(self, attempt: Attempt, outcome: Outcome, answer: Answer | None) -> None:
        request = attempt.request
        request.in_flight -= 1
        if must_run_once(request.cls) and outcome not in NEVER_RAN:
            request.may_have_run = request.may_have_run or answer is not None or attempt.fully_written
        cache_result = answer.cache_result if answer is not None else 0
        report = answer.report if answer is not None else None
        now = self.now_us()
        own_delay_us = int((self.lag.total_s(now / 1e6) - attempt.lag_s_before) * 1e6)
        event = AttemptEnded(
            request.name, attempt.number, attempt.node.name, outcome, now - attempt.sent_at, request.answered,
            cache_result, report, request.pipelined, own_delay_us,
        )  # fmt: skip
        if request.cls is not None and event.elapsed_us > request.cls.aim_us and event.delayed_here:
            self.lag.answer_delayed = True
        self.dispatch(event)
        self._drop_if_finished(request)

    def answer_paused(self, attempt: Attempt) -> None:
        """Tells the Router that a node has paused in the middle of an answer."""
        self.events_log.emit(
            "paused",
            Reason.SLOW,
            request=attempt.request.name,
            node=attempt.node.name,
            attempt=attempt.number,
        )
        self.dispatch(AnswerPaused(attempt.request.name, attempt.number))

    def stream_began(self, attempt: Attempt, answer: Answer) -> None:
        """Begins to pass on a long answer, whose head has been read. A request's latency counts up to the
        first bytes of its answer, so the outcome is reported to the Router now; it takes no part in the rest
        of the transfer."""
        request = attempt.request
        request.served = True
        self._mark_answered(request)
        request.streaming_attempt = attempt
        self.streams[attempt] = None
        request.responder.begin(request, answer.length, self.head_of(answer), answer.status)
        body, answer.body = answer.body, []
        for part in body:
            request.responder.write_body(request, part)
        self._report_outcome(attempt, Outcome.OK, answer)

    def _stream_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        del self.streams[attempt]
        request = attempt.request
        if request.streaming_attempt is attempt:
            request.streaming_attempt = None
            if outcome is Outcome.OK:
                request.responder.end(request)
            else:
                self._keep_id_of_cut(request)
                self.events_log.emit("closed", Reason.CUT, request=request.name, outcome=outcome.value)
                request.responder.abort(request)

    def stream_data(self, attempt: Attempt, body: bytes) -> None:
        """Passes the next part of a long answer on."""
        if attempt.request.streaming_attempt is attempt:
            attempt.request.responder.write_body(attempt.request, body)

    # ---- probes and the list

    def _probe(self, server: str) -> None:
        node = self.pool.nodes.get(server)
        if node is None:
            self.dispatch(ProbeEnded(server, Outcome.MOOT, 0))
            return
        probe = ProbeExchange(self, node, self.now_us(), self.config.load_path or b"/health")
        probe.timer = self.loop.call_later(PROBE_TIMEOUT_S, probe.end, Outcome.TIMEOUT)
        node.begin(probe)

    def probed(self, probe: ProbeExchange, outcome: Outcome, answer: Answer | None) -> None:
        """Reports the outcome of a probe to the Router, with the load report if the node gave one."""
        report = answer.report if answer is not None else None
        if self.config.load_path and answer is not None and outcome is Outcome.OK:
            report = parse_load_report(b"".join(answer.body))
        self.dispatch(ProbeEnded(probe.node.name, outcome, self.now_us() - probe.sent_at, report))

    def set_excluded(self, server: str, out: bool, known: bool = False) -> bool:
        """Excludes a node (`out`) or includes it again. Returns whether the Router accepted. `known`: another
        process of this proxy knows the node, even if this one does not. Must not be called while an action is
        carried out: `dispatch` would queue the event and return without the Router's result."""
        self.dispatch(Exclude(server, known) if out else Include(server))
        node = self.pool.nodes.get(server)
        if self.operator_command_accepted and node is not None:
            node.excluded = out
            if out:
                node.close_idle()  # the node is about to be restarted
        return self.operator_command_accepted

    def override(self, server: str, out: bool, known: bool = False) -> bool:
        """Excludes or includes a node at an operator's command, and keeps that it was an operator's. The rest
        is as with `set_excluded`."""
        done = self.set_excluded(server, out, known)
        if done:
            (self.excluded_by_operator.add if out else self.excluded_by_operator.discard)(server)
        return done

    def stop_sending(self, names: Sequence[str]) -> None:
        """Sends nothing new to these nodes from now on."""
        for name in names:
            self.pool.set_node_address(name, None)
        self.dispatch(StopSending(names))

    def list_changed(self, server_list: ServerList, addresses: dict[str, Address]) -> None:
        """Applies a server list. `addresses` has the addresses of its nodes by name; nothing more is sent to
        a node that has none."""
        self.list_received_at = self.now_us()
        for entry in server_list.entries:
            address = addresses.get(entry.server)
            self.pool.set_node_address(entry.server, address, entry.started_at_us)
        self.dispatch(server_list)

    def sweep(self) -> None:
        """Closes connections to nodes that have been idle for too long, and ends attempts whose streamed
        answer has stalled."""
        self.pool.sweep()
        now = self.loop.time()
        limit_s = exchange.STREAM_STALL_WHEN_FULL_S if self.pool.is_full else exchange.STREAM_STALL_S
        for attempt in list(self.streams):
            if stalled(attempt, now, limit_s):
                self.events_log.emit(
                    "closed", Reason.STALLED, request=attempt.request.name, node=attempt.node.name
                )
                attempt.end(Outcome.RESET)


def content_type(answer: Answer) -> bytes:
    """The `Content-Type` line of a node's answer, or nothing."""
    return b"Content-Type: %b\r\n" % answer.content_type if answer.content_type else b""
