"""Forwards requests that may have effects, and invalidates the stored responses of their gauges."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from magpiefront.caching import status, targets
from magpiefront.caching.fences import StoreFences
from magpiefront.net.runtime import RuntimeWithClasses
from magpiefront.caching.rules import OriginResponse, ForwardReason
from magpiefront.net.fields import format_fields
from magpiefront.net.request import READ_METHODS, Request, Stage


class WriteForwarder:
    """Forwards writes, and keeps responses of their gauges out of the cache meanwhile.

    From the acceptance of a write until its outcome is known, nothing of its gauge is stored. `invalidate` is
    called with the gauge when a write begins, for everything stored or in flight; later requests find the
    gauge closed.
    """

    def __init__(
        self, runtime: RuntimeWithClasses, following: Stage, fences: StoreFences,
        invalidate: Callable[[bytes], object], parse_response: Callable[[int, bytes], OriginResponse],
        format_forwarded: Callable[[Request], bytes],
    ) -> None:  # fmt: skip
        """`parse_response` builds a response from status and field lines; `format_forwarded` returns the
        field lines to forward with a request."""
        self.runtime, self.following, self.fences, self.invalidate = runtime, following, fences, invalidate
        self.parse_response, self.format_forwarded = parse_response, format_forwarded
        self.name = ""
        self.client_requests: dict[Request, Request] = {}  # by forwarded request
        self.forwarded_requests: dict[Request, Request] = {}  # by client request
        # Forwarded requests whose response head has arrived and whose response body has not ended.
        self.with_known_outcome: set[Request] = set()

    def begin_write(self, gauge: bytes) -> None:
        self.fences.begin(gauge)
        self.invalidate(gauge)

    def end_write(self, gauge: bytes, outcome_known: bool) -> None:
        self.fences.end(gauge, self.runtime.now_us(), outcome_known)

    # ---- Stage

    def submit(self, r: Request) -> None:
        self.begin_write(targets.gauge_of(r.target))
        forwarded = r.clone(self)
        forwarded.client_gone = r.client_gone  # one client waits for it, whose departure is passed on
        forwarded.extra_fields = self.format_forwarded(r)
        self.client_requests[forwarded], self.forwarded_requests[r] = r, forwarded
        self.following.submit(forwarded)

    def client_left(self, r: Request) -> None:
        forwarded = self.forwarded_requests.pop(r)
        del self.client_requests[forwarded]
        if forwarded in self.with_known_outcome:
            self.with_known_outcome.remove(forwarded)
        else:
            self._finish_write(forwarded, None, {})
        self.following.client_left(forwarded)

    def pause_response(self, r: Request) -> None:
        self.following.pause_response(self.forwarded_requests[r])

    def resume_response(self, r: Request) -> None:
        self.following.resume_response(self.forwarded_requests[r])

    def _finish_write(self, forwarded: Request, status_: int | None, headers: dict[bytes, bytes]) -> None:
        # The outcome of a write that failed, was refused after an attempt or was abandoned by its client is
        # unknown: the write may have run or may still run.
        self.end_write(targets.gauge_of(forwarded.target), status_ is not None and status_ < 500)
        if status_ is not None and status_ < 400:
            values = [headers[n] for n in (b"location", b"content-location") if n in headers]
            for target in targets.same_origin_targets(
                forwarded.headers.get(b"host", b""), forwarded.target, values
            ):
                self.invalidate(targets.gauge_of(target))

    def _record_head(self, forwarded: Request, status_: int, more: bytes) -> bytes:
        """Records the outcome of a write once its response head is here; returns the field lines to send."""
        response = self.parse_response(status_, more)
        self._finish_write(forwarded, status_, response.headers)
        reason = ForwardReason.METHOD if forwarded.method not in READ_METHODS else ForwardReason.BYPASS
        return format_fields(response.fields) + status.forwarded(self.name, reason)

    # ---- Responder for forwarded requests

    def answer(self, request: Request, status_: int, body: Sequence[bytes] = (), more: bytes = b"") -> None:
        r = self.client_requests.pop(request)
        del self.forwarded_requests[r]
        r.responder.answer(r, status_, body, self._record_head(request, status_, more))

    def begin(self, request: Request, length: int | None, more: bytes, status_: int = 200) -> None:
        r = self.client_requests[request]
        self.with_known_outcome.add(request)
        r.responder.begin(r, length, self._record_head(request, status_, more), status_)

    def write_body(self, request: Request, body: bytes) -> None:
        r = self.client_requests.get(request)
        if r is not None:
            r.responder.write_body(r, body)

    def _remove(self, request: Request) -> Request | None:
        r = self.client_requests.pop(request, None)
        if r is not None:
            del self.forwarded_requests[r]
            self.with_known_outcome.discard(request)
        return r

    def end(self, request: Request) -> None:
        r = self._remove(request)
        if r is not None:
            r.responder.end(r)

    def abort(self, request: Request) -> None:
        r = self._remove(request)
        if r is not None:
            r.responder.abort(r)
