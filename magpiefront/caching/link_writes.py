"""Reports writes that arrive over a gateway's link to the cache.

If both the cache and the gateway are enabled, these writes bypass the cache's stage, but must still
invalidate its stored responses.
"""

from __future__ import annotations

from collections.abc import Sequence

from magpiefront.caching import targets
from magpiefront.net.runtime import RuntimeWithClasses
from magpiefront.caching.writes import WriteForwarder
from magpiefront.interface import Repeat
from magpiefront.net.request import READ_METHODS, Request, Responder, Stage


class WriteWatch:
    """Reports each write to the cache, then forwards it.

    Writes of local clients also pass the cache's stage, and so are reported twice, which is harmless.
    """

    def __init__(self, runtime: RuntimeWithClasses, following: Stage) -> None:
        self.runtime, self.following = runtime, following
        self.cache: WriteForwarder | None = None
        self.writes: dict[Request, tuple[Responder, bytes]] = {}

    def submit(self, request: Request) -> None:
        cls = self.runtime.classes.get(request.headers[b"req-kind"])
        if self.cache is not None and (
            request.method not in READ_METHODS or cls is None or cls.repeat is not Repeat.SAFE
        ):  # fmt: skip
            gauge = targets.gauge_of(request.target)
            self.writes[request] = request.responder, gauge
            request.responder = self
            self.cache.begin_write(gauge)
        self.following.submit(request)

    def _finish(self, request: Request, outcome_known: bool) -> Responder:
        responder, gauge = self.writes.pop(request)
        request.responder = responder
        assert self.cache is not None
        self.cache.end_write(gauge, outcome_known)
        return responder

    def client_left(self, request: Request) -> None:
        if request in self.writes:
            self._finish(request, False)
        self.following.client_left(request)

    def pause_response(self, request: Request) -> None:
        self.following.pause_response(request)

    def resume_response(self, request: Request) -> None:
        self.following.resume_response(request)

    # ---- Responder of the watched writes

    def answer(self, request: Request, status: int, body: Sequence[bytes] = (), more: bytes = b"") -> None:
        self._finish(request, status < 500).answer(request, status, body, more)

    def begin(self, request: Request, length: int | None, more: bytes, status: int = 200) -> None:
        # Ends the write with a known outcome, whatever the status; in `answer` a status from 500 on counts as
        # an unknown outcome.
        self._finish(request, True).begin(request, length, more, status)

    def write_body(self, request: Request, body: bytes) -> None:
        raise AssertionError("response body before the head")

    def end(self, request: Request) -> None:
        raise AssertionError("response body before the head")

    def abort(self, request: Request) -> None:
        self._finish(request, False).abort(request)
