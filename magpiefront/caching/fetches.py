"""Requests that the cache has sent upstream, and the client requests that wait for them."""

from __future__ import annotations

from dataclasses import dataclass, field

from magpiefront.caching.rules import OriginResponse, CacheRequest, ForwardReason, StoredResponse
from magpiefront.net.deadlines import DeadlineTimer
from magpiefront.net.request import Request

FetchKey = tuple[bytes, tuple[bytes | None, ...]]  # a cache key, and the secondary key of the request


@dataclass(slots=True, eq=False)
class Waiter:
    """A client request that waits for a fetch. `tries` counts the shared fetches it waited for before."""

    request: Request
    cache_request: CacheRequest
    reason: ForwardReason
    tries: int = 0
    collapsed: bool = False  # it joined a fetch that another request had started
    timer: DeadlineTimer | None = None

    def cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


@dataclass(slots=True, eq=False)
class Fetch:
    """One request that was sent upstream.

    `validating` is the stored response that it validates. `may_store` becomes False for good once a write to
    its gauge is accepted. A long response is streamed to `leader` while it arrives.
    """

    request: Request
    key: bytes
    gauge: bytes
    cache_request: CacheRequest
    sent_us: int
    may_store: bool
    fetch_key: FetchKey | None = None  # further requests with this key may join
    validating: StoredResponse | None = None
    is_shared: bool = False  # it was started so that other requests could join it
    is_refresh: bool = False  # a background validation, started for no waiter (RFC 5861, 3)
    conditions_removed: bool = False  # the client's conditional fields were left out
    leader: Waiter | None = None  # whose request started the fetch; None once it is answered or has left
    waiters: dict[Request, Waiter] = field(default_factory=dict)  # including the leader
    response: OriginResponse | None = None
    received_us: int = 0  # when the response was received; of a streamed one, its head
    body: list[bytes] = field(default_factory=list)
    received_bytes: int = 0
    reserved_bytes: int = 0  # reserved in the store for the body
    is_buffering: bool = False  # the body of a long response is collected for the store
    is_streaming: bool = False  # the body is passed on to the leader
    is_paused: bool = False  # the leader reads too slowly; upstream is paused only if nothing is buffered
