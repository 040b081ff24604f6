"""Sends stored reports to the stage that follows the store of record, and collects their answers."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from magpiefront.net.deadlines import DeadlineTimer
from magpiefront.net.execution import ExecutionTracker
from magpiefront.net.fields import format_fields, parse_fields
from magpiefront.net.http1 import MAX_BUFFERED_BYTES
from magpiefront.net.request import Request, Stage
from magpiefront.net.runtime import StageRuntime
from magpiefront.record.journal import NO_ANSWER_IN_TIME, Send
from magpiefront.record.node_answer import AnswerCollector, NodeAnswer
from magpiefront.record.ownership import Ownership
from magpiefront.record.rows import Answer, Row, repeat_limits, site_of_attempts

EXTRA_FIELD_NAMES = frozenset({b"idempotency-key", b"content-type"})  # a front puts these into `extra_fields`


@dataclass(slots=True)
class SentReport:
    """A report that has been sent and not answered yet. `collector` and `deadline_timer` are set once its
    answer has begun to arrive in parts."""

    row: Row
    stage: Stage
    collector: AnswerCollector | None = None
    deadline_timer: DeadlineTimer | None = None


class ReportSender:
    """Sends each report as a request of its own, which continues if its client disconnects, so that the
    outcome of a stored report is always determined. It is the `Responder` of these requests.

    `on_answer` is called once for each report, with its row, what came back for it and what is known of its
    execution. `up_us` reads the time since boot in microseconds.
    """

    def __init__(
        self, runtime: StageRuntime, ownership: Ownership, process_token: str, up_us: Callable[[], int],
        most_answer: int, on_answer: Callable[[Row, NodeAnswer, ExecutionTracker], None],
    ) -> None:  # fmt: skip
        """`most_answer` is the size up to which the body of an answer is stored, in bytes."""
        self.runtime, self.ownership, self.process_token = runtime, ownership, process_token
        self.up_us, self.on_answer = up_us, on_answer
        # The client that waits gets the whole answer, also one that is too long to be stored.
        self.max_held_bytes = max(most_answer, MAX_BUFFERED_BYTES)
        self.sequence = itertools.count(1)
        self.clock_offset_us = runtime.now_us() - up_us()
        self.sent: dict[Request, SentReport] = {}

    def send(self, send: Send, stage: Stage) -> None:
        """Sends a report to `stage`."""
        request = self._new_request(send)
        self.sent[request] = SentReport(send.row, stage)
        stage.submit(request)

    def _new_request(self, send: Send) -> Request:
        row = send.row
        request = Request(self, repeat_limits(row, send.resumed, self.clock_offset_us))
        request.method, request.target = row.method, row.target
        request.wire_id = f"{self.process_token}-{next(self.sequence):x}".encode()
        # The id is needed, because the gateway of another site refuses a request without one.
        request.headers = {b"host": b"record", b"req-id": request.wire_id, b"req-kind": row.id.kind.encode(),
                           b"idempotency-key": row.id.key}  # fmt: skip
        if row.id.tenant:
            request.headers[b"req-owner"] = row.id.tenant.encode("latin-1")
        request.fields = parse_fields(row.more)
        # Only the fields that a front puts into `extra_fields`: the following stages add the other fields,
        # which must not be sent twice.
        request.extra_fields = format_fields(f for f in request.fields if f[0].lower() in EXTRA_FIELD_NAMES)
        request.execution = self._new_tracker(send)
        request.whole_answer = True  # no client sees a byte of it before its end
        request.body, request.size = ([row.body], len(row.body)) if row.body else ([], 0)
        request.received_at = self.runtime.now_us()
        request.time_left = max(0, send.deadline_us + self.clock_offset_us - request.received_at)
        return request

    def _new_tracker(self, send: Send) -> ExecutionTracker:
        row, execution = send.row, ExecutionTracker()
        # Checked again right before the first byte is sent to a node, because the request may have waited
        # until then: in a queue, while connecting, or while the process was paused.
        execution.guard = lambda: self.ownership.may_act(row.owner)
        execution.site = site_of_attempts(row.attempts)
        return execution

    def _finish(self, request: Request, answer: NodeAnswer) -> None:
        report = self.sent.pop(request)
        if report.deadline_timer is not None:
            report.deadline_timer.cancel()
        self.on_answer(report.row, answer, request.execution)

    # ---- Responder

    def answer(self, request: Request, status: int, body: Sequence[bytes] = (), more: bytes = b"") -> None:
        self._finish(request, Answer(status, more, b"".join(body)))

    def begin(self, request: Request, length: int | None, more: bytes, status: int = 200) -> None:
        report = self.sent[request]
        report.collector = AnswerCollector(status, more, length, self.max_held_bytes)
        # The following stages have no time limit for an answer that has begun.
        report.deadline_timer = self.runtime.deadlines.start(request, self._on_deadline, request)

    def _on_deadline(self, request: Request) -> None:
        """Gives up an answer that has begun and not ended in time, so that a repeat may be sent."""
        report = self.sent[request]
        report.stage.client_left(request)
        self._finish(request, NO_ANSWER_IN_TIME)

    def write_body(self, request: Request, body: bytes) -> None:
        self._collector(request).add(body)

    def end(self, request: Request) -> None:
        self._finish(request, self._collector(request).end())

    def abort(self, request: Request) -> None:
        self._finish(request, self._collector(request).break_off())

    def _collector(self, request: Request) -> AnswerCollector:
        collector = self.sent[request].collector
        assert collector is not None
        return collector
