"""The stage that deduplicates keyed requests of the clients of this site and of other sites."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b

from magpiefront.gateway.repeat import effective_repeat
from magpiefront.net.deadlines import DeadlineTimer
from magpiefront.net.execution import ExecutionTracker, execution_of, mark_may_have_run
from magpiefront.net.runtime import StageRuntime
from magpiefront.gateway.idempotency import Answer, Key, AnswerTable, Verdict
from magpiefront.gateway.settings import KeyedSettings
from magpiefront.interface import Repeat
from magpiefront.net.request import Request, Stage
from magpiefront.repeat_limits import RepeatLimits

# A request that waits is answered this long after its deadline (us): after the proxy's own answer is due.
AFTER_PROXY_US = 16_000
MAX_KEPT_ANSWER_BYTES = 256 * 1024  # a longer answer is streamed and not kept


def fingerprint(r: Request) -> bytes:
    """Returns a digest of the method, target and body, to detect a key used for another request."""
    h = blake2b(digest_size=16)
    for part in (r.method, b" ", r.target, b" ", *r.body):
        h.update(part)
    return h.digest()


def dedup_key(r: Request) -> Key:
    """Returns the class, tenant and idempotency key of a request."""
    h = r.headers
    return tuple(h.get(n, b"").decode("latin-1") for n in (b"req-kind", b"req-owner", b"idempotency-key"))  # type: ignore[return-value]


class KeyedExecution:
    """The execution of a submitted clone, on behalf of all requests with its key."""

    __slots__ = (
        "body_parts",
        "body_size",
        "deadline_timer",
        "key",
        "more",
        "request",
        "status",
        "streamed_to",
    )

    def __init__(self, key: Key, request: Request) -> None:
        self.key, self.request = key, request
        self.body_parts: list[bytes] = []
        self.body_size = 0
        self.status = 200
        self.more = b""
        self.streamed_to: Request | None = None  # gets a long answer while it arrives
        self.deadline_timer: DeadlineTimer | None = None  # while a long answer is collected

    def cancel_timer(self) -> None:
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()


class KeyedStage:
    """Runs each keyed request once within its retry window, however often and by whichever client it is sent.
    An answer outside 2xx that is not streamed is not kept, and the next request with the key runs.

    It submits clones of the requests. They run to their end even if no client waits any more, because a later
    request with the same key gets their answer."""

    def __init__(self, runtime: StageRuntime, following: Stage, settings: KeyedSettings) -> None:
        self.runtime, self.following = runtime, following
        self.answers: AnswerTable[Request] = AnswerTable(settings.max_answers, settings.max_bytes)
        self.settings, self.memory_bytes = settings, settings.max_bytes
        self.executions: dict[Request, KeyedExecution] = {}
        self.waiting_requests: dict[Request, tuple[Key, DeadlineTimer]] = {}

    def configure(self, settings: KeyedSettings) -> None:
        self.settings = settings
        self.answers.configure(settings.max_answers, min(settings.max_bytes, self.memory_bytes))

    def limit_memory(self, most_bytes: int) -> int:
        """Keeps no more answers than this, in bytes, whatever the settings allow. Returns their limit."""
        self.memory_bytes = most_bytes
        self.configure(self.settings)
        return self.answers.max_bytes

    # ---- the stage

    def submit(self, request: Request) -> None:
        self.submit_from_site(request)

    def can_tell_if_run(self, r: Request) -> bool:
        return False  # the table of keys is in the memory of this process

    def may_accept(self, r: Request) -> bool:
        return True

    def submit_from_site(self, r: Request) -> None:
        cls = self.runtime.classes.get(r.headers[b"req-kind"])
        if cls is None or effective_repeat(cls, r.headers) is not Repeat.KEYED:
            self.following.submit(r)
            return
        key, now = dedup_key(r), self.runtime.now_us()
        age_us = max(1, now - r.limits.first_sent_us) if r.limits.first_sent_us else 0
        match self.answers.begin(now, key, fingerprint(r), cls.window_us, age_us, r):
            case Verdict.RUN:
                running = KeyedExecution(key, r.clone(self))
                running.request.limits = r.limits.joined_with(self.answers.limits_for(key))
                running.request.whole_answer = True  # no client sees a byte of it before its end
                if execution_of(running.request) is None:
                    running.request.execution = ExecutionTracker()
                self.executions[running.request] = running
                self._start_waiting(r, key)
                self.following.submit(running.request)
            case Verdict.WAIT:
                self._start_waiting(r, key)
            case Verdict.KNOWN:
                answer = self.answers.answer_for(key)
                assert answer is not None
                mark_may_have_run(r)
                r.responder.answer(r, answer.status, [answer.body], answer.extra_fields)
            case Verdict.MISMATCH:
                r.responder.answer(r, 409)
            case Verdict.FORGOTTEN:
                mark_may_have_run(r)
                r.responder.answer(r, 502)
            case Verdict.FULL:
                r.responder.answer(r, 503)

    def _start_waiting(self, r: Request, key: Key) -> None:
        # A repeated request may have less time than the one in progress; its own deadline applies.
        timer = self.runtime.deadlines.start(r, self._on_deadline, r, offset_us=AFTER_PROXY_US)
        self.waiting_requests[r] = (key, timer)

    def _on_deadline(self, r: Request) -> None:
        if self._stop_waiting(r):
            mark_may_have_run(r)  # the execution goes on, so the request may also run later
            r.responder.answer(r, 504)

    def _stop_waiting(self, r: Request) -> bool:
        """Removes a request from those that wait. Returns whether it waited."""
        waiting = self.waiting_requests.pop(r, None)
        if waiting is None:
            return False
        waiting[1].cancel()
        self.answers.remove_waiter(waiting[0], r)
        return True

    def client_left(self, request: Request) -> None:
        running = next((x for x in self.executions.values() if x.streamed_to is request), None)
        if running is not None:
            running.streamed_to = None
            self.following.resume_response(running.request)
        elif not self._stop_waiting(request):
            self.following.client_left(request)

    def pause_response(self, request: Request) -> None:
        self.following.pause_response(self._submitted_request(request))

    def resume_response(self, request: Request) -> None:
        self.following.resume_response(self._submitted_request(request))

    def _submitted_request(self, request: Request) -> Request:
        """Returns the clone whose long answer is streamed to `request`, or `request` itself if there is none.

        The next stage knows only the requests that were submitted to it.
        """
        return next((x.request for x in self.executions.values() if x.streamed_to is request), request)

    # ---- the answers to the submitted clones

    def answer(
        self, request: Request, status: int, body: Sequence[bytes] = (), more: bytes = b""
    ) -> None:  # fmt: skip
        running = self.executions.pop(request)
        self._answer_waiting(running, Answer(status, b"".join(body), more))

    def _answer_waiting(self, running: KeyedExecution, answer: Answer) -> None:
        """Answers all waiting requests, and keeps the answer if it is a success."""
        is_success = 200 <= answer.status < 300
        may_have_run = running.request.execution.may_have_run  # applies to all waiting requests
        if is_success:
            waiters = self.answers.finish(running.key, answer)
        else:
            waiters = self.answers.abandon(running.key, self._limits_after(running.request))
        for r in waiters:
            waiting = self.waiting_requests.pop(r, None)
            if waiting is not None:
                waiting[1].cancel()
                if may_have_run:
                    mark_may_have_run(r)
                r.responder.answer(r, answer.status, [answer.body], answer.extra_fields)

    def _limits_after(self, request: Request) -> RepeatLimits:
        """Returns what binds a repeat of a submitted clone."""
        cls = self.runtime.classes.get(request.headers[b"req-kind"])
        window_us = cls.window_us if cls is not None else 0
        return request.execution.limits_after(request.limits, request.received_at, window_us)

    def begin(self, request: Request, length: int | None, more: bytes, status: int = 200) -> None:
        running = self.executions[request]
        running.more, running.status = more, status
        if length is not None and length > MAX_KEPT_ANSWER_BYTES:
            self._start_streaming(running, length)
            return
        # The following stages have no time limit for an answer that has begun.
        running.deadline_timer = self.runtime.deadlines.start(request, self._give_up, request)

    def _give_up(self, request: Request) -> None:
        """Ends an execution whose answer has begun, is collected and has not ended in time, so that the next
        request with its key runs."""
        self.following.client_left(request)
        running = self.executions.pop(request)
        self._answer_waiting(running, Answer(504, b"", b""))

    def _start_streaming(self, running: KeyedExecution, length: int | None) -> None:
        """Streams an answer that is too long to keep to one waiting request. The others, and later requests
        with the same key, are answered with 502, because the answer cannot be given again."""
        running.cancel_timer()
        entry = self.answers.entries[running.key]
        receiver = next((r for r in entry.waiters if r in self.waiting_requests), None)
        if receiver is not None:
            self._stop_waiting(receiver)
        running.streamed_to = receiver
        for r in self.answers.finish(running.key, Answer(502, b"", b"")):
            if self._stop_waiting(r):
                mark_may_have_run(r)
                r.responder.answer(r, 502)
        if receiver is not None:
            receiver.responder.begin(receiver, length, running.more, running.status)
            for part in running.body_parts:
                receiver.responder.write_body(receiver, part)
        running.body_parts = []

    def write_body(self, request: Request, body: bytes) -> None:
        running = self.executions[request]
        running.body_size += len(body)
        if running.streamed_to is not None:
            running.streamed_to.responder.write_body(running.streamed_to, body)
        elif self.answers.answer_for(running.key) is None:
            running.body_parts.append(body)
            if running.body_size > MAX_KEPT_ANSWER_BYTES:
                self._start_streaming(running, None)

    def end(self, request: Request) -> None:
        running = self.executions.pop(request)
        running.cancel_timer()
        if running.streamed_to is not None:
            running.streamed_to.responder.end(running.streamed_to)
        elif self.answers.answer_for(running.key) is None:
            self._answer_waiting(running, Answer(running.status, b"".join(running.body_parts), running.more))

    def abort(self, request: Request) -> None:
        running = self.executions.pop(request)
        running.cancel_timer()
        if running.streamed_to is not None:
            running.streamed_to.responder.abort(running.streamed_to)
        elif self.answers.answer_for(running.key) is None:
            self._answer_waiting(running, Answer(502, b"", b""))
