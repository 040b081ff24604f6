"""The stage that answers requests from the cache and forwards the others, collapsing concurrent fetches."""

from __future__ import annotations

import itertools
import time
from collections import OrderedDict
from collections.abc import Callable, Sequence
from secrets import token_hex

from magpiefront.caching import dates, rules, status, targets, vary
from magpiefront.caching.disk import Disk
from magpiefront.caching.fences import StoreFences
from magpiefront.caching.fetches import Fetch, FetchKey, Waiter
from magpiefront.caching.responses import CONDITIONAL_FIELDS, ResponseSender
from magpiefront.net.runtime import RuntimeWithClasses
from magpiefront.caching.disk_loads import DiskLoads
from magpiefront.caching.rules import (
    CacheRequest, FailureCause, Forward, ForwardReason, OriginResponse, Serve, StoredResponse,
)  # fmt: skip
from magpiefront.caching.settings import CachingSettings
from magpiefront.caching.store import Store
from magpiefront.caching.writes import WriteForwarder
from magpiefront.interface import Repeat
from magpiefront.net.fields import Fields, end_to_end, format_fields, parse_fields
from magpiefront.net.request import READ_METHODS, Request, Stage

# A request with any of these fields does not take the fast path of `submit`.
CACHE_RELATED_FIELDS = frozenset({
    b"cache-control", b"pragma", b"if-none-match", b"if-modified-since", b"if-range", b"range", b"if-match",
    b"if-unmodified-since",
})  # fmt: skip
SAFE_METHODS = READ_METHODS | {b"OPTIONS"}
# Only the origin evaluates these conditions: a request with one of them bypasses the cache.
ORIGIN_CONDITION_FIELDS = frozenset({b"if-match", b"if-unmodified-since"})
# Not copied from the client's request when it is forwarded: generated anew for each hop, or reserved for the
# platform.
REPLACED_FIELDS = frozenset({
    b"host", b"content-length", b"content-type", b"expect", b"idempotency-key", b"req-id", b"req-kind",
    b"req-owner", b"req-deadline", b"req-retry", b"req-cost", b"req-extra",
})  # fmt: skip
# Guards against cache poisoning by fields that are not part of the cache key: neither clients nor proxies in
# front of this program are trusted to set these.
UNTRUSTED_FIELDS = frozenset({
    b"forwarded", b"x-forwarded-for", b"x-forwarded-host", b"x-forwarded-port", b"x-forwarded-proto",
    b"x-forwarded-scheme", b"x-forwarded-server", b"x-forwarded-prefix", b"x-host", b"x-original-host",
    b"x-original-url", b"x-rewrite-url", b"x-http-method-override", b"x-method-override", b"x-http-method",
})  # fmt: skip
SERVER_ERRORS = frozenset({500, 502, 503, 504})  # those that stale-if-error covers (RFC 5861, 4)
MAX_SHARED_TRIES = 2  # shared fetches that a request waits for before it is forwarded alone
MAX_REFRESHES = 64  # background validations at a time; beyond that, stale responses are served without one
MAX_HIT_FOR_PASS_KEYS = 10_000  # bounds `hit_for_pass_until_us`; the oldest key is dropped first


class CachingStage:
    """Answers safe requests from the cache, and acts as the responder of the requests that it forwards.

    `wall` returns the Unix time in seconds.
    """

    def __init__(
        self, runtime: RuntimeWithClasses, following: Stage, settings: CachingSettings,
        disk: Disk | None = None, wall: Callable[[], float] = time.time,
    ) -> None:  # fmt: skip
        self.runtime, self.following, self.wall, self.disk = runtime, following, wall, disk
        self.store = Store(settings.most_bytes, settings.most_variants)
        self.sender = ResponseSender()
        self.fences = StoreFences(settings.unknown_outcome_us)
        self.writes = WriteForwarder(
            runtime, following, self.fences, self._invalidate_gauge, self._parse_response,
            lambda r: self._format_forwarded(r, self.dropped_fields, []),
        )  # fmt: skip
        self.fetches_by_request: dict[Request, Fetch] = {}
        self.fetches_by_client: dict[Request, Fetch] = {}
        self.joinable_fetches: dict[FetchKey, Fetch] = {}
        self.fetches_by_gauge: dict[bytes, dict[Fetch, None]] = {}
        # By key: the time until which its requests do not share a fetch.
        self.hit_for_pass_until_us: OrderedDict[bytes, int] = OrderedDict()
        self.loads: DiskLoads | None = None
        if disk is not None:
            self.loads = DiskLoads(
                disk, self._on_disk_load, lambda r, key, tries: self._handle(r, key, tries, False)
            )
        self.refreshes = 0
        self.id_prefix, self.ids = token_hex(6), itertools.count(1)
        self.configure(settings)

    def configure(self, settings: CachingSettings) -> None:
        """Applies new settings, and evicts responses if the store has become smaller."""
        self.settings, self.policy, self.cached_classes = settings, settings.policy, settings.classes
        self.name = self.writes.name = self.sender.name = settings.policy.name
        self.dropped_fields = REPLACED_FIELDS | UNTRUSTED_FIELDS | settings.drop_fields
        self.via = b"1.1 " + self.name.encode()
        self.fences.unknown_outcome_us = settings.unknown_outcome_us
        self.store.max_bytes, self.store.most_variants = settings.most_bytes, settings.most_variants
        self.store.shrink()

    # ---- Stage

    def submit(self, r: Request) -> None:
        h, method = r.headers, r.method
        cls = self.runtime.classes.get(h[b"req-kind"])
        if method == b"PURGE":
            self._purge(r)
            return
        if method not in SAFE_METHODS or cls is None or cls.repeat is not Repeat.SAFE:
            self.writes.submit(r)
            return
        key = targets.key(h.get(b"host", b""), r.target)
        found = self.store.get(key)
        is_plain_get = method == b"GET" and CACHE_RELATED_FIELDS.isdisjoint(h) and not r.size
        if found is not None and is_plain_get and (
            self.cached_classes is None or cls.name in self.cached_classes
        ):  # fmt: skip
            variants = found.variants
            v = variants[0]
            if len(variants) == 1 and not v.vary and not v.no_cache:
                now = self.runtime.now_us()
                if v.is_fresh(now):
                    self.sender.send_hit(r, v, now, "")
                    return
        self._handle(r, key, 0)

    def _handle(self, r: Request, key: bytes, tries: int, use_disk: bool = True) -> None:
        """Answers a request from the store, joins a fetch or starts one, or loads the key from disk first.

        `tries` is the number of shared fetches that the request has waited for. `use_disk` is False after a
        load from disk, so that the load is not repeated.
        """
        now, cache_request = self.runtime.now_us(), CacheRequest(b"GET", r.headers)
        gauge = targets.gauge_of(r.target)
        cls = self.runtime.classes.get(r.headers[b"req-kind"])
        if (
            r.size or r.method not in READ_METHODS or not ORIGIN_CONDITION_FIELDS.isdisjoint(r.headers)
            or cls is None or (self.cached_classes is not None and cls.name not in self.cached_classes)
        ):  # fmt: skip
            self._start_fetch(
                r, key, gauge, cache_request, Forward(ForwardReason.BYPASS), tries, False, False
            )
            return
        variants = self.store.peek(key)
        if not variants and use_disk and self.loads is not None and self.loads.disk.has(key):
            self.loads.load(r, key, gauge, tries)
            return
        choice = rules.choose(cache_request, variants, now, self.policy)
        if isinstance(choice, Serve):
            self.sender.send_hit(r, choice.stored, now, "stale" if choice.stale else "")
            if choice.refresh:
                self._start_refresh(r, key, gauge, cache_request, choice.stored)
            return
        if choice.only_if_cached:
            more = b"Date: %b\r\n" % dates.render(int(self.wall()))
            r.responder.answer(
                r, 504, (), more + status.forwarded(self.name, choice.reason, detail="only-if-cached")
            )
            return
        # Whether responses for the gauge may be stored now; see `StoreFences`.
        may_store = not self.fences.is_closed(gauge, now)
        # If the servers support HEAD and no stored response is to be validated, HEAD is forwarded as it is. A
        # GET in its place could be stored, but would transfer the whole body.
        is_plain_head = r.method == b"HEAD" and self.settings.plain_servers and choice.stored is None
        is_shared = (
            may_store and not cache_request.needs_own_response and not is_plain_head
            and tries < MAX_SHARED_TRIES and not self._is_hit_for_pass(key, now)
        )  # fmt: skip
        if is_shared:
            fetch_key = key, self._secondary_key(variants, cache_request)
            fetch = self.joinable_fetches.get(fetch_key)
            if fetch is not None:
                self._join(fetch, Waiter(r, cache_request, choice.reason, tries, True))
                return
        self._start_fetch(r, key, gauge, cache_request, choice, tries, is_shared, may_store)

    def _secondary_key(
        self, variants: Sequence[StoredResponse], cache_request: CacheRequest
    ) -> tuple[bytes | None, ...]:
        """Returns the request's values of all fields that the stored variants vary by."""
        names = sorted({n for v in variants for n in v.vary})
        return vary.secondary_key(tuple(names), cache_request.headers)

    def _is_hit_for_pass(self, key: bytes, now: int) -> bool:
        until = self.hit_for_pass_until_us.get(key)
        if until is None:
            return False
        if until > now:
            return True
        del self.hit_for_pass_until_us[key]
        return False

    def _mark_hit_for_pass(self, key: bytes, now: int) -> None:
        self.hit_for_pass_until_us.pop(key, None)
        self.hit_for_pass_until_us[key] = now + self.settings.pass_for_us
        while len(self.hit_for_pass_until_us) > MAX_HIT_FOR_PASS_KEYS:
            self.hit_for_pass_until_us.popitem(last=False)

    # ---- forwarding

    def _format_forwarded(self, r: Request, dropped_fields: frozenset[bytes], add: Fields) -> bytes:
        fields = end_to_end(r.fields, dropped_fields)
        fields += add
        fields.append((b"Via", self.via))
        return r.extra_fields + format_fields(fields)

    def _start_fetch(
        self, r: Request, key: bytes, gauge: bytes, cache_request: CacheRequest, choice: Forward,
        tries: int, is_shared: bool, may_store: bool,
    ) -> None:  # fmt: skip
        now = self.runtime.now_us()
        # A range request is forwarded without validation, as a partial response cannot be validated.
        validating = None if b"range" in r.headers else choice.stored
        forwarded = r.clone(self)
        if r.method == b"HEAD" and (is_shared or validating is not None or not self.settings.plain_servers):
            forwarded.method = b"GET"
        conditions_removed = is_shared or validating is not None
        forwarded.extra_fields = self._format_forwarded(
            r,
            self.dropped_fields | CONDITIONAL_FIELDS if conditions_removed else self.dropped_fields,
            validating.validation_fields if validating is not None else [],
        )
        fetch = Fetch(
            forwarded, key, gauge, cache_request, now, may_store and forwarded.method == b"GET",
            validating=validating, conditions_removed=conditions_removed,
        )  # fmt: skip
        fetch.leader = Waiter(r, cache_request, choice.reason, tries)
        fetch.waiters[r] = fetch.leader
        self.fetches_by_client[r] = fetch
        if is_shared:
            fetch.fetch_key = key, self._secondary_key(self.store.peek(key), cache_request)
            self.joinable_fetches[fetch.fetch_key] = fetch
            fetch.is_shared = True
        self._submit_fetch(fetch)

    def _submit_fetch(self, fetch: Fetch) -> None:
        self.refreshes += fetch.is_refresh
        self.fetches_by_request[fetch.request] = fetch
        self.fetches_by_gauge.setdefault(fetch.gauge, {})[fetch] = None
        self.following.submit(fetch.request)

    def _join(self, fetch: Fetch, waiter: Waiter) -> None:
        r = waiter.request
        waiter.timer = self.runtime.deadlines.start(r, self._on_waiter_deadline, fetch, waiter)
        fetch.waiters[r] = waiter
        self.fetches_by_client[r] = fetch

    def _start_refresh(
        self, r: Request, key: bytes, gauge: bytes, cache_request: CacheRequest, stored: StoredResponse
    ) -> None:
        """Starts a background validation of a response that was served stale (RFC 5861, 3)."""
        now = self.runtime.now_us()
        fetch_key = key, self._secondary_key(self.store.peek(key), cache_request)
        if (
            fetch_key in self.joinable_fetches or self.refreshes >= MAX_REFRESHES
            or self.fences.is_closed(gauge, now)
        ):  # fmt: skip
            return
        forwarded = r.clone(self)
        forwarded.method, forwarded.wire_id, forwarded.received_at = (
            b"GET", f"{self.id_prefix}-{next(self.ids):x}".encode(), now
        )  # fmt: skip
        forwarded.extra_fields = self._format_forwarded(
            r, self.dropped_fields | CONDITIONAL_FIELDS, stored.validation_fields
        )
        fetch = Fetch(
            forwarded, key, gauge, cache_request, now, True, fetch_key=fetch_key, validating=stored,
            conditions_removed=True,
        )  # fmt: skip
        fetch.is_refresh = fetch.is_shared = True
        self.joinable_fetches[fetch_key] = fetch
        self._submit_fetch(fetch)

    def _close_to_joins(self, fetch: Fetch) -> None:
        """Prevents further requests from joining the fetch. This does not close its gauge."""
        if fetch.fetch_key is not None:
            if self.joinable_fetches.get(fetch.fetch_key) is fetch:
                del self.joinable_fetches[fetch.fetch_key]
            fetch.fetch_key = None

    def _finish_fetch(self, fetch: Fetch) -> None:
        """Removes a fetch that is complete, failed or cancelled, and releases the bytes reserved for it."""
        self.fetches_by_request.pop(fetch.request, None)
        self._close_to_joins(fetch)
        others = self.fetches_by_gauge.get(fetch.gauge)
        if others is not None:
            others.pop(fetch, None)
            if not others:
                del self.fetches_by_gauge[fetch.gauge]
        self._release(fetch)
        self.refreshes -= fetch.is_refresh

    def _remove_waiter(self, fetch: Fetch, waiter: Waiter) -> None:
        waiter.cancel_timer()
        fetch.waiters.pop(waiter.request, None)
        self.fetches_by_client.pop(waiter.request, None)
        if fetch.leader is waiter:
            fetch.leader = None

    def _on_waiter_deadline(self, fetch: Fetch, waiter: Waiter) -> None:
        """Answers a waiter at its own deadline, so that a stalled fetch does not delay it further."""
        waiter.timer = None
        self._remove_waiter(fetch, waiter)
        if not self._serve_stale(waiter, fetch, FailureCause.ERROR):
            r = waiter.request
            r.responder.answer(r, 504, (), self.sender.cache_status(waiter, detail="overdue"))
        self._cancel_if_unused(fetch)

    def _cancel_if_unused(self, fetch: Fetch) -> None:
        """Cancels a fetch without waiters, unless it is a background refresh."""
        if not fetch.waiters and not fetch.is_refresh and fetch.request in self.fetches_by_request:
            self._finish_fetch(fetch)
            self.following.client_left(fetch.request)

    def client_left(self, r: Request) -> None:
        if r in self.writes.forwarded_requests:
            self.writes.client_left(r)
            return
        fetch = self.fetches_by_client.get(r)
        if fetch is None:
            if self.loads is not None:
                self.loads.client_left(r)
            return
        waiter = fetch.waiters[r]
        self._remove_waiter(fetch, waiter)
        fetch.is_streaming = fetch.is_streaming and fetch.leader is not None
        self._cancel_if_unused(fetch)

    def pause_response(self, r: Request) -> None:
        if r in self.writes.forwarded_requests:
            self.writes.pause_response(r)
            return
        fetch = self.fetches_by_client.get(r)
        if (
            fetch is not None
            and fetch.is_streaming
            and fetch.leader is not None
            and fetch.leader.request is r
        ):
            fetch.is_paused = True
            if not fetch.is_buffering:  # the buffer is bounded, and others may wait for the response
                self.following.pause_response(fetch.request)

    def resume_response(self, r: Request) -> None:
        if r in self.writes.forwarded_requests:
            self.writes.resume_response(r)
            return
        fetch = self.fetches_by_client.get(r)
        if fetch is not None and fetch.is_paused:
            fetch.is_paused = False
            if not fetch.is_buffering:
                self.following.resume_response(fetch.request)

    # ---- Responder for forwarded requests

    def answer(self, request: Request, status_: int, body: Sequence[bytes] = (), more: bytes = b"") -> None:
        fetch = self.fetches_by_request[request]
        now = self.runtime.now_us()
        if status_ in SERVER_ERRORS:
            self._on_failure(fetch, status_, body, more)
            return
        response = self._parse_response(status_, more)
        if status_ == 304 and fetch.validating is not None:
            self._on_not_modified(fetch, fetch.validating, response, now)
            return
        fetch.response, fetch.received_us = response, now
        self._finish_fetch(fetch)
        self._on_complete_response(fetch, b"".join(body))

    def _parse_response(self, status_: int, more: bytes) -> OriginResponse:
        fields = parse_fields(more)
        fields.append((b"Via", self.via))
        return OriginResponse(status_, fields, self.wall(), self.policy)

    def _on_not_modified(
        self, fetch: Fetch, validating: StoredResponse, response: OriginResponse, now: int
    ) -> None:
        freshened = rules.freshen(validating, response, fetch.cache_request, fetch.sent_us, now, self.policy)
        if freshened is None:
            # The 304 does not select the stored response (RFC 9111, 4.3.4): fetch a complete one.
            self._remove_stored(fetch.key, validating)
            self._finish_fetch(fetch)
            forwarded = fetch.request.clone(self)
            fields = [
                f for f in parse_fields(forwarded.extra_fields) if f[0].lower() not in CONDITIONAL_FIELDS
            ]
            forwarded.extra_fields, fetch.request, fetch.validating = format_fields(fields), forwarded, None
            fetch.sent_us = now
            if fetch.leader is None and not fetch.waiters:
                return
            self._submit_fetch(fetch)
            return
        self._finish_fetch(fetch)
        v = freshened.stored
        was_stored = fetch.may_store and freshened.may_store
        if was_stored:
            if (v.vary, v.secondary) != (validating.vary, validating.secondary):
                self.store.remove(fetch.key, (validating.vary, validating.secondary))
            self._store_response(fetch, v)
        else:
            self._remove_stored(fetch.key, validating)
        leader = fetch.leader
        if leader is not None:
            self._remove_waiter(fetch, leader)
            cache_status = self.sender.cache_status(leader, was_stored, status_=304)
            self.sender.send_stored(leader.request, v, now - v.generated_us, cache_status)
        self._answer_waiters(fetch, v if was_stored else None, now, 304)

    def _store_response(self, fetch: Fetch, v: StoredResponse) -> bool:
        was_stored = self.store.put(fetch.key, fetch.gauge, v)
        if self.disk is not None:
            self.disk.save(fetch.key, fetch.gauge, self.store.peek(fetch.key))
        return was_stored

    def _remove_stored(self, key: bytes, v: StoredResponse) -> None:
        self.store.remove(key, (v.vary, v.secondary))
        if self.disk is not None:
            self.disk.drop(key)

    def _on_complete_response(self, fetch: Fetch, body: bytes) -> None:
        """Stores a complete response if allowed, and sends it to all waiters that it may answer."""
        response, now = fetch.response, self.runtime.now_us()
        assert response is not None
        v: StoredResponse | None = None
        may_store_body = fetch.may_store and len(body) <= self.settings.most_object
        if may_store_body and response.reason_not_storable(fetch.cache_request, self.policy) is None:
            v = rules.build_stored(
                response, fetch.cache_request, body, fetch.sent_us, fetch.received_us, self.policy
            )
        was_stored = v is not None and self._store_response(fetch, v)
        if not was_stored and fetch.validating is not None and response.status != 429:
            self._remove_stored(fetch.key, fetch.validating)  # the resource has changed
        if fetch.request.method == b"HEAD":
            for old in self.store.peek(fetch.key):
                if rules.matches(
                    old, fetch.cache_request.headers
                ) and not rules.matches_head_response(old, response.headers):  # fmt: skip
                    self._remove_stored(fetch.key, old)
        if not fetch.is_streaming and fetch.leader is not None:
            leader = fetch.leader
            self._remove_waiter(fetch, leader)
            self.sender.send_fetched(
                leader.request, response, body, fetch.conditions_removed,
                self.sender.cache_status(leader, was_stored),
            )  # fmt: skip
        self._answer_waiters(fetch, v if was_stored else None, now)

    def _answer_waiters(self, fetch: Fetch, v: StoredResponse | None, now: int, status_: int = 0) -> None:
        """Answers the remaining waiters from the stored response, or handles them again without it."""
        if fetch.is_shared and fetch.may_store and (v is None or v.no_cache or not v.is_fresh(now)):
            self._mark_hit_for_pass(fetch.key, now)
        for waiter in list(fetch.waiters.values()):
            self._remove_waiter(fetch, waiter)
            choice = rules.choose(waiter.cache_request, (v,), now, self.policy) if v is not None else None
            if isinstance(choice, Serve) and v is not None:
                cache_status = self.sender.cache_status(waiter, True, status_=status_)
                self.sender.send_stored(waiter.request, v, now - v.generated_us, cache_status)
            else:
                self._retry_waiter(waiter, fetch.key)

    def _retry_waiter(self, waiter: Waiter, key: bytes, alone: bool = False) -> None:
        tries = MAX_SHARED_TRIES if alone else waiter.tries + 1
        self._handle(waiter.request, key, tries)

    def _on_failure(self, fetch: Fetch, status_: int, body: Sequence[bytes], more: bytes) -> None:
        """Answers the waiters of a failed fetch with a stale response or the error, or retries them."""
        self._finish_fetch(fetch)
        fields = parse_fields(more)
        refused = status_ == 503 and all(f[0].lower() == b"retry-after" for f in fields)
        cause = FailureCause.REFUSED if refused else FailureCause.ERROR
        for waiter in list(fetch.waiters.values()):
            self._remove_waiter(fetch, waiter)
            if self._serve_stale(waiter, fetch, cause):
                continue
            if waiter.collapsed:
                # A refusal applies to the forwarded request only, so each of the other waiters is forwarded
                # alone, and the Router decides on it.
                self._retry_waiter(waiter, fetch.key, alone=refused)
                continue
            r = waiter.request
            response = self._parse_response(status_, more)
            r.responder.answer(
                r, status_, body,
                format_fields(response.fields) + self.sender.cache_status(waiter, detail=cause.value),
            )  # fmt: skip

    def _serve_stale(self, waiter: Waiter, fetch: Fetch, cause: FailureCause) -> bool:
        """Answers with a stored response in place of a failed one, if allowed; returns whether it did."""
        now = self.runtime.now_us()
        variants = self.store.peek(fetch.key)
        if not variants and fetch.may_store and fetch.validating is not None:
            variants = (fetch.validating,)  # the stored response was evicted meanwhile
        matching = [v for v in variants if rules.matches(v, waiter.cache_request.headers)]
        if not matching or b"range" in waiter.cache_request.headers:
            return False
        v = max(matching, key=lambda v: v.date_s)
        if not rules.may_serve_stale(waiter.cache_request, v, now, cause, self.policy):
            return False
        self.sender.send_hit(waiter.request, v, now, cause.value)
        return True

    # ---- streamed responses

    def begin(self, request: Request, length: int | None, more: bytes, status_: int = 200) -> None:
        fetch = self.fetches_by_request[request]
        response = fetch.response = self._parse_response(status_, more)
        fetch.received_us = self.runtime.now_us()
        leader = fetch.leader
        may_store_body = (
            fetch.may_store and response.reason_not_storable(fetch.cache_request, self.policy) is None
        )
        may_store_body = may_store_body and (length is None or length <= self.settings.most_object)
        if may_store_body and length:
            may_store_body = self._reserve(fetch, length)
        fetch.is_buffering = may_store_body
        if leader is not None:
            self._begin_leader(fetch, leader, response, length)
        if not may_store_body:
            self._stop_storing(fetch)

    def _begin_leader(
        self, fetch: Fetch, leader: Waiter, response: OriginResponse, length: int | None
    ) -> None:
        r = leader.request
        head = format_fields(response.fields) + self.sender.cache_status(leader, fetch.is_buffering)
        if r.method == b"HEAD":
            self._remove_waiter(fetch, leader)
            if length is not None:
                head += b"Content-Length: %d\r\n" % length
            r.responder.answer(r, response.status, (), head)
        elif self.sender.is_unmodified(r, response, fetch.conditions_removed):
            self._remove_waiter(fetch, leader)
            self.sender.send_not_modified(r, response, self.sender.cache_status(leader, fetch.is_buffering))
        else:
            fetch.is_streaming = True
            leader.cancel_timer()
            r.responder.begin(r, length, head, response.status)

    def _reserve(self, fetch: Fetch, size: int) -> bool:
        if not self.store.reserve(size):
            return False
        fetch.reserved_bytes += size
        return True

    def _release(self, fetch: Fetch) -> None:
        self.store.release(fetch.reserved_bytes)
        fetch.reserved_bytes = 0

    def _stop_storing(self, fetch: Fetch) -> None:
        """Discards the buffered body of a response that is too long or not storable.

        The leader still gets the response; the other waiters are forwarded alone.
        """
        fetch.is_buffering = False
        fetch.body = []
        self._close_to_joins(fetch)
        self._release(fetch)
        if fetch.is_paused:
            self.following.pause_response(fetch.request)
        now = self.runtime.now_us()
        if fetch.may_store:
            self._mark_hit_for_pass(fetch.key, now)
            if fetch.validating is not None:
                self._remove_stored(fetch.key, fetch.validating)  # the resource has changed
        for waiter in list(fetch.waiters.values()):
            if waiter is not fetch.leader:
                self._remove_waiter(fetch, waiter)
                self._retry_waiter(waiter, fetch.key, alone=True)
        self._cancel_if_unused(fetch)

    def write_body(self, request: Request, body: bytes) -> None:
        fetch = self.fetches_by_request.get(request)
        if fetch is None:
            return
        if fetch.is_streaming and fetch.leader is not None:
            r = fetch.leader.request
            r.responder.write_body(r, body)
        if fetch.is_buffering:
            fetch.received_bytes += len(body)
            fetch.body.append(body)
            if fetch.received_bytes > self.settings.most_object or (
                fetch.received_bytes > fetch.reserved_bytes and not self._reserve(fetch, len(body))
            ):  # fmt: skip
                self._stop_storing(fetch)

    def end(self, request: Request) -> None:
        fetch = self.fetches_by_request.get(request)
        if fetch is None:
            return
        self._finish_fetch(fetch)
        leader = fetch.leader if fetch.is_streaming else None
        if fetch.is_buffering:
            body, fetch.body = b"".join(fetch.body), []
            if leader is not None:
                self._remove_waiter(fetch, leader)
            self._on_complete_response(fetch, body)
        if leader is not None:
            self._remove_waiter(fetch, leader)
            leader.request.responder.end(leader.request)

    def abort(self, request: Request) -> None:
        """Ends a fetch with an incomplete response, which must not answer other requests (RFC 9111, 3.3)."""
        fetch = self.fetches_by_request.get(request)
        if fetch is None:
            return
        self._finish_fetch(fetch)
        leader = fetch.leader if fetch.is_streaming else None
        if leader is not None:
            self._remove_waiter(fetch, leader)
            leader.request.responder.abort(leader.request)
        for waiter in list(fetch.waiters.values()):
            self._remove_waiter(fetch, waiter)
            self._retry_waiter(waiter, fetch.key)

    # ---- invalidation

    def _invalidate_gauge(self, gauge: bytes) -> int:
        """Drops everything stored for a gauge; returns the number of keys dropped from memory."""
        count = len(self.store.drop_gauge(gauge))
        if self.disk is not None:
            self.disk.drop_gauge(gauge)
        for fetch in list(self.fetches_by_gauge.get(gauge, ())):
            # The response may be older than the write, so it only answers the requests that already wait.
            fetch.may_store = False
            self._close_to_joins(fetch)
        return count

    def invalidate_target(self, target: bytes) -> None:
        """Drops all that is stored for the gauge of a target. Called when the latest response for the
        target may have been meant for another request."""
        self._invalidate_gauge(targets.gauge_of(target))

    def _purge(self, r: Request) -> None:
        if r.target == b"/*":
            count = len(self.store)
            self.store.clear()
            if self.disk is not None:
                self.disk.clear()
            for gauge in list(self.fetches_by_gauge):
                self._invalidate_gauge(gauge)
        else:
            count = self._invalidate_gauge(targets.gauge_of(r.target))
        r.responder.answer(r, 200, (b"purged %d\n" % count,), b"Date: %b\r\nContent-Type: text/plain\r\n" % (
            dates.render(int(self.wall()))))  # fmt: skip

    def _on_disk_load(self, key: bytes, gauge: bytes, found: tuple[StoredResponse, ...]) -> None:
        """Puts responses loaded from disk into the store, unless a write has closed their gauge meanwhile or
        the store already has responses for the key."""
        if not self.fences.is_closed(gauge, self.runtime.now_us()) and not self.store.peek(key):
            for v in found:
                self.store.put(key, gauge, v)
