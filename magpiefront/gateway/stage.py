"""The stage that serves each request at this site or forwards it to another site. It gives each request
exactly one final answer, whatever happens to the link."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

from magpiefront.gateway import wire
from magpiefront.gateway.counters import Counters
from magpiefront.gateway.retry_state import RetryState, NextStep, RetryOptions
from magpiefront.gateway.repeat import effective_repeat
from magpiefront.net.execution import execution_of, mark_answer_lost, mark_may_have_run
from magpiefront.net.runtime import StageRuntime
from magpiefront.gateway.link import Link, OutboundConnection, TooManyStreams
from magpiefront.gateway.routes import (
    ForwardToSite, LinkView, RefuseRequest, Routes, RoutingRequest, ServeHere,
)  # fmt: skip
from magpiefront.gateway.settings import GatewaySettings
from magpiefront.interface import Repeat
from magpiefront.net.http1 import MAX_BUFFERED_BYTES
from magpiefront.net.request import Request, Responder, Stage

RETRY_DELAY_S = 0.01  # from a failed attempt to the next one
# Statuses of the other site that are passed on to the client. Any other status becomes 502, unless
# `forwards_all` is set.
RELAYED_STATUSES = frozenset({200, 409, 413, 429, 502, 503, 504})


class LinkViews(Mapping[str, LinkView]):
    """The links as `Routes` reads them. A view is built only on access, since most requests need none."""

    __slots__ = ("links",)

    def __init__(self, links: Mapping[str, Link]) -> None:
        self.links = links

    def __getitem__(self, site: str) -> LinkView:
        return self.links[site].view()

    def __iter__(self) -> Iterator[str]:
        return iter(self.links)

    def __len__(self) -> int:
        return len(self.links)


class ForwardedRequest:
    """One request forwarded to another site. Handles the events of its stream, and holds its `RetryState`."""

    __slots__ = (
        "answer_head", "body_parts", "body_size", "connection", "decision", "guard", "is_paused",
        "is_spilled", "is_streaming", "request", "retry_state", "routing", "stage", "stream", "timer",
    )  # fmt: skip

    def __init__(
        self, stage: GatewayStage, request: Request, routing: RoutingRequest, decision: ForwardToSite,
        is_spilled: bool,
    ) -> None:  # fmt: skip
        self.stage, self.request, self.routing, self.decision, self.is_spilled = (
            stage, request, routing, decision, is_spilled
        )  # fmt: skip
        cls = stage.runtime.classes.get(request.headers[b"req-kind"])
        margin_us = stage.settings.answer_margin_us
        self.timer = stage.runtime.deadlines.start(request, self.on_deadline, offset_us=-margin_us)
        self.retry_state = RetryState(
            routing.repeat,
            self._answer_by_us,
            cls.window_us if cls is not None else 0,
            stage.settings.retry.max_attempts,
        )
        execution = execution_of(request)
        if request.limits.may_have_run and routing.repeat is Repeat.KEYED:
            self.retry_state.resume(request.limits.first_sent_us)
        self.guard = execution.guard if execution is not None else None
        self.connection: OutboundConnection | None = None
        self.stream = 0
        self.answer_head: wire.AnswerHead | None = None
        self.body_parts: list[bytes] = []
        self.body_size = 0
        self.is_streaming = self.is_paused = False

    @property
    def _answer_by_us(self) -> int:
        """When the client is answered at the latest, in microseconds of the host's clock."""
        return self.timer.deadline_us + self.timer.offset_us

    # ---- attempts

    def send(self) -> None:
        """Sends one attempt, or takes the next step if no connection is available."""
        link, now = self.stage.links[self.decision.site], self.stage.runtime.now_us()
        state, r = self.retry_state, self.request
        state.deadline_us = self._answer_by_us  # a planned end may have brought it forward
        if (self.guard is not None and not self.guard()) or not r.limits.allow_sending(now):
            # Another process owns the request now, or the window for repeats has ended.
            if state.may_have_run:
                mark_may_have_run(r)
            self._refuse()
            return
        pin = r.headers[b"idempotency-key"].decode("latin-1") if self.routing.repeat is Repeat.KEYED else ""
        chosen = link.choose(pin, self._required_epoch, state.store)
        if chosen is None:
            self._take_step(state.next_step(now, self._retry_options()))
            return
        # The other site gets the time left less one round trip, half of which passes before the request
        # arrives there and half before the answer arrives here.
        round_trip_us = int(chosen.health.round_trip_us)
        left_us = state.deadline_us - now - round_trip_us
        age_us = state.age_us(now)
        fields = wire.request_fields(
            r,
            link.site,
            chosen.secure,
            left_us,
            self.routing.repeat,
            (self.stage.settings.site,),
            age_us + round_trip_us if age_us else 0,  # it is that old at the latest as it arrives
            self.stage.settings.forwards_all,
            self._required_epoch,
        )
        state.record_sent(now, chosen.epoch, chosen.store)
        self.connection = chosen
        try:
            self.stream = chosen.send(fields, r.body, self)
        except TooManyStreams:
            self.on_broken(True, "the peer accepts no more streams")

    @property
    def _required_epoch(self) -> str:
        """The epoch of the peer that the next attempt must be sent to, unless it is sent to a peer with the
        same store. Empty if any peer is suitable."""
        state = self.retry_state
        return state.epoch if state.may_have_run and state.repeat is Repeat.KEYED else ""

    def _retry_options(self) -> RetryOptions:
        stage, state = self.stage, self.retry_state
        link = stage.links.get(self.decision.site)
        connection = link.choose("", self._required_epoch, state.store) if link is not None else None
        if connection is None and link is not None:
            # No peer that can tell whether the request ran is usable. If any other peer is, `next_step`
            # decides by the epoch and store of that one.
            connection = next(iter(link.usable_connections()), None)
        can_serve_here = (
            not self.is_spilled and self.routing.repeat is Repeat.SAFE and stage.settings.home_when_down
        )
        epoch, store = (connection.epoch, connection.store) if connection is not None else (None, "")
        return RetryOptions(
            epoch,
            stage.routes.retry_budget.tokens >= 1,
            can_serve_here,
            stage.settings.min_time_left_us,
            store,
        )

    # ---- events of the stream (`ResponseHandler`)

    def on_head(self, fields: list[tuple[bytes, bytes]]) -> None:
        try:
            self.answer_head = wire.read_answer(fields, self.stage.settings.forwards_all)
        except wire.InvalidHead as e:
            self.stage.runtime.log(f"gateway: {self.decision.site}: {e}")
            self.answer_head = wire.AnswerHead(502, None, b"", "")
        length = self.answer_head.length
        long = length is not None and length > MAX_BUFFERED_BYTES and self.request.method != b"HEAD"
        if long and self._forwards_body(self.answer_head.status):
            self._start_streaming()

    def _forwards_body(self, status: int) -> bool:
        """Whether the body of an answer with this status is forwarded, and so must be complete."""
        return status == 200 or (self.stage.settings.forwards_all and 200 <= status < 500)

    def on_body(self, data: bytes) -> None:
        self.body_size += len(data)
        if self.is_streaming:
            self.request.responder.write_body(self.request, data)
            return
        self.body_parts.append(data)
        if self.body_size > MAX_BUFFERED_BYTES and self.answer_head is not None:
            self._start_streaming()

    def _start_streaming(self) -> None:
        """Starts to forward an answer while it is still arriving, because it is too long to buffer."""
        assert self.answer_head is not None
        if not self._forwards_body(self.answer_head.status):
            self.body_parts, self.body_size = [], 0  # the body of a refusal is not forwarded
            return
        self.is_streaming = True
        mark_may_have_run(self.request)
        self.timer.cancel()  # the deadline applies only to the start of a long answer, as with nodes
        self.stage.watch_stream(self)
        r = self.request
        r.responder.begin(r, self.answer_head.length, self.answer_head.extra_fields, self.answer_head.status)
        parts, self.body_parts = self.body_parts, []
        for part in parts:
            r.responder.write_body(r, part)

    def on_end(self) -> None:
        if self.is_streaming:
            self.finish("crossed")
            self.request.responder.end(self.request)
            return
        head = self.answer_head
        if head is None or not self._is_complete(head):
            self.on_broken(False, "an incomplete answer")
        elif head.refused and head.status != 413:
            # The gateway of the other site refused the request before its Router got it, so it never ran and
            # never will.
            self.stage.runtime.log(f"gateway: {self.decision.site} refused: {head.refused}")
            self._refuse()
        else:
            status = (
                head.status if head.status in RELAYED_STATUSES or self.stage.settings.forwards_all else 502
            )
            self.finish("crossed")
            # `never_ran` refers to this attempt; an earlier one that failed may have run.
            if self.retry_state.may_have_run or not head.never_ran:
                mark_may_have_run(self.request)
            execution = execution_of(self.request)
            if execution is not None:
                execution.undecided = head.undecided
            if self.is_spilled:
                spill_pause = self.stage.routes.spill_pauses[self.decision.site]
                if status == 200:
                    spill_pause.record_served()
                elif status == 503:
                    spill_pause.record_refused(self.stage.runtime.now_us())
            more = head.extra_fields
            if self.request.method == b"HEAD" and head.length is not None:
                more += b"Content-Length: %d\r\n" % head.length
            if status == 503:
                more = self.stage.with_retry_after(more, self.stage.settings.retry_after_us)
            self.request.responder.answer(self.request, status, self.body_parts, more)

    def _is_complete(self, head: wire.AnswerHead) -> bool:
        if head.length is None or head.status in (204, 304) or self.request.method == b"HEAD":
            return True
        return head.length == self.body_size or not self._forwards_body(head.status)

    def on_broken(self, never_ran: bool, cause: str) -> None:
        self.connection = None
        self._mark_answer_lost()
        if self.is_streaming:
            self.finish("cut")
            self.request.responder.abort(self.request)
            return
        self.answer_head, self.body_parts, self.body_size = None, [], 0
        self.stage.counters.add("broke_never_ran" if never_ran else "broke_may_have_run")
        step = self.retry_state.attempt_failed(self.stage.runtime.now_us(), never_ran, self._retry_options())
        if step is NextStep.RETRY:
            # After a delay: when one connection of a link breaks, the others usually do as well, and a
            # request sent to each of them in turn would have used up its attempts before the link is back.
            self.stage.runtime.loop.call_later(RETRY_DELAY_S, self._retry)
        else:
            self._take_step(step)

    def _take_step(self, step: NextStep) -> None:
        """Carries out the step that follows a failed attempt."""
        match step:
            case NextStep.RETRY:
                self.stage.routes.retry_budget.take()
                self.stage.counters.add("again")
                self.send()
            case NextStep.WAIT:
                self.stage.waiting_requests[self] = None
                self._wait_for_window_end()
            case NextStep.SERVE_HERE:
                self.finish("home_after_break")
                self.stage.serve_here(self.request, self.routing)
            case NextStep.REFUSE:
                self._refuse()
            case NextStep.FAIL:
                self.finish("failed")
                mark_may_have_run(self.request)
                self.request.responder.answer(self.request, 502)

    def _retry(self) -> None:
        if not self.retry_state.is_finished:
            self._take_step(self.retry_state.next_step(self.stage.runtime.now_us(), self._retry_options()))

    def _wait_for_window_end(self) -> None:
        """Waits until the retry window ends. After that the request cannot be sent again, and the client gets
        its final answer. If the event loop is delayed, the timer may run before `now_us` has reached the end
        of the window; it is then set again."""
        if self in self.stage.waiting_requests:
            rest_us = self.retry_state.window_us - self.retry_state.age_us(self.stage.runtime.now_us())
            if rest_us > 0:
                later = self.stage.runtime.loop.call_later
                later(rest_us / 1e6 + 0.001, self._wait_for_window_end)
            else:
                self.retry_if_possible()

    def retry_if_possible(self) -> None:
        """Takes the next step of a waiting request, unless that step is to keep waiting."""
        if self not in self.stage.waiting_requests:
            return
        now = self.stage.runtime.now_us()
        step = self.retry_state.next_step(now, self._retry_options())
        if step is not NextStep.WAIT:
            self.stage.waiting_requests.pop(self, None)
            self._take_step(step)

    def recall(self) -> None:
        """Serves the request at this site, if that is allowed, because its connection became suspect and the
        answer may never come."""
        options = self._retry_options()
        if (
            options.can_serve_here
            and self.answer_head is None
            and self.retry_state.deadline_us > self.stage.runtime.now_us()
        ):
            self.retry_state.may_have_run = True
            self._cancel()
            self.finish("recalled")
            self.stage.serve_here(self.request, self.routing)

    def _refuse(self) -> None:
        """Refuses the request; the client may safely send it again."""
        self.finish("refused")
        stage = self.stage
        more = stage.retry_after(max(stage.settings.retry_after_us, stage.retry_in_us(self.decision.site)))
        self.request.responder.answer(self.request, 503, (), more)

    def on_deadline(self) -> None:
        """Answers the request when the time to wait for the other site has ended: with 503 if the client may
        safely send it again, else with 504."""
        self._cancel()
        if self.retry_state.timed_out() is NextStep.REFUSE:
            self._refuse()
        else:
            self.finish("overdue")
            mark_may_have_run(self.request)
            self.request.responder.answer(self.request, 504)

    def _mark_answer_lost(self) -> None:
        """Records what the head of an answer has told, whose rest will not come."""
        if self.answer_head is not None:
            mark_answer_lost(self.request, self.answer_head.status)

    def _cancel(self) -> None:
        self._mark_answer_lost()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.cancel(self.stream)

    def on_client_left(self) -> None:
        self._cancel()
        self.finish("left")
        mark_may_have_run(self.request)

    def finish(self, outcome: str) -> None:
        """Ends the request and counts its outcome."""
        self.retry_state.is_finished = True
        self.timer.cancel()
        self.stage.on_finished(self)
        self.stage.counters.add(("spill_" if self.is_spilled else "") + outcome)


class GatewayStage:
    """Sends each request of the fronts to the site that serves it. It also intercepts the answers to requests
    served at this site: if the Router refuses a request with 503, another site may serve it, or the answer
    says when the client may retry."""

    def __init__(
        self, runtime: StageRuntime, following: Stage, settings: GatewaySettings, routes: Routes,
        counters: Counters
    ) -> None:  # fmt: skip
        self.runtime, self.following, self.settings = runtime, following, settings
        self.routes, self.counters = routes, counters
        self.links: dict[str, Link] = {}
        self.forwarded: dict[Request, ForwardedRequest] = {}
        self.waiting_requests: dict[ForwardedRequest, None] = {}  # those that wait for the link to retry
        # By request with a streamed answer: the bytes received, and when `sweep` last saw that number change
        # or the answer paused, in seconds of the event loop's clock.
        self.streams: dict[ForwardedRequest, tuple[int, float]] = {}
        self.local_requests: dict[Request, RoutingRequest] = {}  # those served at this site

    # ---- the stage

    def submit(self, request: Request) -> None:
        r = request
        h = r.headers
        repeat = effective_repeat(self.runtime.classes.get(h[b"req-kind"]), h)
        execution = execution_of(r)
        routing = RoutingRequest(
            r.key.decode("latin-1"), h[b"req-kind"].decode("latin-1"), repeat,
            h.get(b"req-owner", b"").decode("latin-1"), self._time_left_us(r),
            only_site=execution.site if execution is not None else "",
        )  # fmt: skip
        match self.routes.route(routing, LinkViews(self.links)):
            case ServeHere() as local:
                if local.reason is not None:
                    self.counters.add(f"home_{local.reason.value}")
                self.serve_here(r, routing)
            case ForwardToSite() as decision:
                self._forward(r, routing, decision, False)
            case RefuseRequest() as refusal:
                self.counters.add(f"refused_{refusal.reason.value}")
                r.responder.answer(r, 503, (), self.retry_after(refusal.retry_after_us))

    def _forward(
        self, r: Request, routing: RoutingRequest, decision: ForwardToSite, is_spilled: bool
    ) -> None:  # fmt: skip
        forwarded = self.forwarded[r] = ForwardedRequest(self, r, routing, decision, is_spilled)
        forwarded.send()

    def serve_here(self, r: Request, routing: RoutingRequest) -> None:
        self.local_requests[r] = routing
        downstream, r.responder = r.responder, LocalResponder(self, r.responder)
        assert not isinstance(downstream, LocalResponder)
        self.following.submit(r)

    def _time_left_us(self, r: Request) -> int:
        return self.runtime.deadlines.of(r) - self.runtime.now_us()

    def site_of(self, key: bytes) -> str:
        """Returns the site that a request for this key is sent to by the present table."""
        return self.routes.table.home_site(key.decode("latin-1"))

    def client_left(self, request: Request) -> None:
        forwarded = self.forwarded.get(request)
        if forwarded is not None:
            forwarded.on_client_left()
        elif self.local_requests.pop(request, None) is not None:
            self.following.client_left(request)

    def pause_response(self, request: Request) -> None:
        forwarded = self.forwarded.get(request)
        if forwarded is None:
            self.following.pause_response(request)
        elif forwarded.connection is not None:
            forwarded.is_paused = True
            forwarded.connection.pause_reading(forwarded.stream)

    def resume_response(self, request: Request) -> None:
        forwarded = self.forwarded.get(request)
        if forwarded is None:
            self.following.resume_response(request)
        elif forwarded.connection is not None:
            forwarded.is_paused = False
            forwarded.connection.resume_reading(forwarded.stream)

    # ---- forwarded requests

    def on_finished(self, forwarded: ForwardedRequest) -> None:
        self.forwarded.pop(forwarded.request, None)
        self.waiting_requests.pop(forwarded, None)
        self.streams.pop(forwarded, None)
        self.routes.credits.release(forwarded.decision.credit)

    def watch_stream(self, forwarded: ForwardedRequest) -> None:
        """Adds a streamed answer to those that `sweep` checks for a stall."""
        self.streams[forwarded] = (0, self.runtime.loop.time())

    def on_local_refusal(self, r: Request, routing: RoutingRequest, more: bytes) -> None:
        """Spills a request that the Router of this site refused to another site, or answers it with 503."""
        now = self.runtime.now_us()
        routing = RoutingRequest(
            routing.key, routing.class_name, routing.repeat, routing.tenant, self._time_left_us(r)
        )
        match self.routes.route_refused(now, routing, LinkViews(self.links)):
            case ForwardToSite() as decision:
                self.counters.add("spilled")
                self._forward(r, routing, decision, True)
            case RefuseRequest() as refusal:
                r.responder.answer(r, 503, (), self.with_retry_after(more, refusal.retry_after_us))

    def retry_after(self, us: int) -> bytes:
        """Returns a Retry-After line, limited to `max_retry_after_us`; empty if `us` is not positive."""
        us = min(us, self.runtime.max_retry_after_us)
        return b"Retry-After: %.3f\r\n" % (us / 1e6) if us > 0 else b""

    def with_retry_after(self, more: bytes, us: int) -> bytes:
        return more if b"Retry-After:" in more else more + self.retry_after(us)

    def retry_in_us(self, site: str) -> int:
        link = self.links.get(site)
        return link.view().retry_in_us if link is not None else 0

    def on_link_usable(self) -> None:
        """Retries waiting requests after a connection became usable."""
        for forwarded in list(self.waiting_requests):
            forwarded.retry_if_possible()

    def on_link_suspect(self, connection: OutboundConnection) -> None:
        """Recalls the requests of a connection that became suspect, except those being answered."""
        for forwarded in [
            f for f in self.forwarded.values() if f.connection is connection and not f.is_streaming
        ]:
            forwarded.recall()

    def sweep(self) -> None:
        """Aborts streamed answers that have stalled; they have no other timeout."""
        now = self.runtime.loop.time()
        for forwarded, (size, since) in list(self.streams.items()):
            if forwarded.is_paused or forwarded.body_size != size:
                self.streams[forwarded] = (forwarded.body_size, now)
            elif now - since > self.settings.link.stall_us / 1e6:
                forwarded._cancel()
                forwarded.on_broken(False, "a long answer stalled")


class LocalResponder:
    """The responder of a request served at this site. Passes the answer on, unless it is a refusal (503)."""

    __slots__ = ("downstream", "stage")

    def __init__(self, stage: GatewayStage, downstream: Responder) -> None:
        self.stage, self.downstream = stage, downstream

    def answer(
        self, request: Request, status: int, body: Sequence[bytes] = (), more: bytes = b""
    ) -> None:  # fmt: skip
        routing = self.stage.local_requests.pop(request)
        request.responder = self.downstream
        if status == 503:
            self.stage.on_local_refusal(request, routing, more)
        else:
            self.downstream.answer(request, status, body, more)

    def begin(self, request: Request, length: int | None, more: bytes, status: int = 200) -> None:
        self.downstream.begin(request, length, more, status)

    def write_body(self, request: Request, body: bytes) -> None:
        self.downstream.write_body(request, body)

    def end(self, request: Request) -> None:
        self._on_finished(request)
        self.downstream.end(request)

    def abort(self, request: Request) -> None:
        self._on_finished(request)
        self.downstream.abort(request)

    def _on_finished(self, request: Request) -> None:
        self.stage.local_requests.pop(request, None)
        request.responder = self.downstream
