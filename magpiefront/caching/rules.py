"""The rules of RFC 9111 for a shared cache: storing, freshness, reuse and validation. No I/O and no clock.

Times are microseconds of a monotonic clock, except that names ending in `_s` are seconds: durations, or Unix
time as in date fields.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from magpiefront.caching import dates, vary
from magpiefront.caching.directives import (
    DIGITS, MAX_DELTA_S, NO_DIRECTIVES, Directives, parse, parse_targeted,
)  # fmt: skip
from magpiefront.caching.settings import Policy
from magpiefront.net.fields import HOP_BY_HOP, Fields, combined, format_fields, parse_fields

US_PER_S = 1_000_000
# Final status codes whose caching rules are implemented (RFC 9110, 15). 206 and 304 are never stored as such.
UNDERSTOOD_STATUSES = frozenset({
    200, 203, 204, 300, 301, 302, 303, 307, 308, 400, 401, 403, 404, 405, 406, 409, 410, 411, 412, 413, 414,
    415, 421, 422, 425, 426, 428, 429, 431, 451, 500, 501, 502, 503, 504, 505,
})  # fmt: skip
HEURISTIC_STATUSES = frozenset({200, 203, 204, 300, 301, 308, 404, 405, 410, 414, 501})  # RFC 9110, 15.1
# Not updated by a 304 or a response to HEAD (RFC 9111, 3.2).
CONTENT_FIELDS = frozenset({b"content-encoding", b"content-type", b"content-range", b"content-length"})
# Generated anew for each response from the store.
REGENERATED_FIELDS = frozenset({b"age", b"content-length"})


class NotStorableReason(enum.Enum):
    """Why a response may not be stored; the values begin with the section of RFC 9111."""

    METHOD = "3: the method is not GET"
    STATUS = "3: the status code is never stored or not understood"
    NO_STORE = "5.2.2.5: no-store"
    REQUEST_NO_STORE = "5.2.1.5: the request's no-store"
    PRIVATE = "5.2.2.7: private"
    AUTHORIZATION = "3.5: the request has Authorization"
    COOKIE = "7.3: cookies without public or s-maxage"
    VARY = "4.1: Vary is * or malformed"
    UNKNOWN = "3: no explicit freshness or public, and no heuristic for the status code"
    USELESS = "4.2: neither fresh nor possible to validate"
    RANGE = "3.3: partial response"


class ForwardReason(enum.Enum):
    """Why a request is forwarded (RFC 9211, 2.2)."""

    BYPASS = "bypass"
    METHOD = "method"
    URI_MISS = "uri-miss"
    VARY_MISS = "vary-miss"
    REQUEST = "request"
    STALE = "stale"
    PARTIAL = "partial"


class FailureCause(enum.Enum):
    """Why upstream gave no usable response."""

    ERROR = "error"
    REFUSED = "refused"


class CacheRequest:
    """A request as the rules see it. `headers` has lower-case names; lines of one name are joined."""

    __slots__ = ("control", "headers", "method", "no_cache")

    def __init__(self, method: bytes, headers: Mapping[bytes, bytes]) -> None:
        self.method, self.headers = method, headers
        value = headers.get(b"cache-control")
        self.control = parse(value) if value is not None else NO_DIRECTIVES
        self.no_cache = b"no-cache" in self.control
        if value is None and b"pragma" in headers:
            # RFC 9111, 5.4: deprecated, but old clients still send it.
            self.no_cache = b"no-cache" in parse(headers[b"pragma"])

    @property
    def needs_own_response(self) -> bool:
        """Whether the response may serve this request only, so that the request does not share a fetch."""
        h = self.headers
        return (
            self.no_cache or b"no-store" in self.control or b"authorization" in h or b"cookie" in h
            or b"range" in h
        )  # fmt: skip


class OriginResponse:
    """A response as received from upstream, before it is stored."""

    __slots__ = ("control", "date_s", "fields", "headers", "received_s", "status")

    def __init__(self, status: int, fields: Fields, received_s: float, policy: Policy) -> None:
        """`received_s` is the wall clock when the head arrived. It replaces a missing or malformed `Date`
        (RFC 9110, 6.6.1)."""
        self.status, self.headers, self.received_s = status, combined(fields), received_s
        date = dates.parse(self.headers[b"date"], int(received_s)) if b"date" in self.headers else None
        if date is None:
            date = int(received_s)
            fields = [f for f in fields if f[0].lower() != b"date"]
            fields.append((b"Date", dates.render(date)))
            self.headers[b"date"] = fields[-1][1]
        self.date_s, self.fields = date, fields
        self.control = self._control(policy)

    def _control(self, policy: Policy) -> Directives:
        for name in policy.targets:
            if name in self.headers:
                targeted = parse_targeted(self.headers[name])
                if targeted is not None:
                    return targeted
        value = self.headers.get(b"cache-control")
        return parse(value) if value is not None else NO_DIRECTIVES

    def lifetime_s(self, policy: Policy) -> int:
        """Returns `freshness_lifetime` (RFC 9111, 4.2.1 and 4.2.2) for a shared cache, in seconds."""
        control, h = self.control, self.headers
        for name in (b"s-maxage", b"max-age"):
            value = control.seconds(name)
            if value is not None:
                return value
        if b"expires" in h and not control.targeted:
            # If the field is repeated, its values are joined by commas, which is not a valid date.
            expires = dates.parse(h[b"expires"], int(self.received_s))
            if expires is None:
                return 0
            return min(MAX_DELTA_S, max(0, expires - self.date_s))
        if self.status not in HEURISTIC_STATUSES and b"public" not in control:
            return 0
        if not policy.heuristic_fraction or b"last-modified" not in h:
            return 0
        modified = dates.parse(h[b"last-modified"], int(self.received_s))
        if modified is None:
            return 0
        return max(0, min(policy.heuristic_most_s, int((self.date_s - modified) * policy.heuristic_fraction)))

    def initial_age_us(self, delay_us: int) -> int:
        """Returns `corrected_initial_age` (RFC 9111, 4.2.3); `delay_us` is the time from sending the request
        to receiving the head."""
        apparent = max(0, int(self.received_s) - self.date_s) * US_PER_S
        value = self.headers.get(b"age", b"").split(b",")[0].strip(b" \t")
        # 5.1: of several lines the first one counts; an invalid number is ignored.
        age = min(MAX_DELTA_S, int(value[:20])) if DIGITS.fullmatch(value) else 0
        return max(apparent, age * US_PER_S + max(0, delay_us))

    def reason_not_storable(self, request: CacheRequest, policy: Policy) -> NotStorableReason | None:
        """Returns why a shared cache may not store this response to `request` (RFC 9111, 3), or None if it
        may."""
        control, h = self.control, self.headers
        if request.method != b"GET":
            return NotStorableReason.METHOD
        if self.status == 206 or b"content-range" in h:
            return NotStorableReason.RANGE
        if self.status < 200 or self.status == 304:
            return NotStorableReason.STATUS
        if b"must-understand" in control:
            # 5.2.2.3: a cache that understands the status code may ignore no-store.
            if self.status not in UNDERSTOOD_STATUSES:
                return NotStorableReason.STATUS
        elif b"no-store" in control:
            return NotStorableReason.NO_STORE
        if b"no-store" in request.control:
            return NotStorableReason.REQUEST_NO_STORE
        if control.applies_to_whole(b"private"):
            return NotStorableReason.PRIVATE
        allows_sharing = b"public" in control or b"s-maxage" in control
        if b"authorization" in request.headers and not (allows_sharing or b"must-revalidate" in control):
            return NotStorableReason.AUTHORIZATION
        if not allows_sharing:
            if b"cookie" in request.headers:
                return NotStorableReason.COOKIE
            excluded = control.fields(b"private") | control.fields(b"no-cache")
            if b"set-cookie" in h and b"set-cookie" not in excluded:
                return NotStorableReason.COOKIE
        if vary.parse_names(h.get(b"vary")) is None:
            return NotStorableReason.VARY
        has_explicit_rule = b"max-age" in control or b"s-maxage" in control or b"public" in control
        has_explicit_rule = has_explicit_rule or (b"expires" in h and not control.targeted)
        if not has_explicit_rule and self.status not in HEURISTIC_STATUSES:
            return NotStorableReason.UNKNOWN
        return None


class StoredResponse:
    """A stored response: complete, without hop-by-hop fields, and immutable."""

    __slots__ = (
        "body",
        "date_s",
        "etag",
        "generated_us",
        "head",
        "immutable",
        "lifetime_us",
        "modified",
        "must_validate",
        "no_cache",
        "secondary",
        "sie_us",
        "status",
        "swr_us",
        "vary",
        "wall_s",
    )  # fmt: skip

    def __init__(
        self, status: int, head: bytes, body: bytes, generated_us: int, lifetime_us: int, *, date_s: int,
        wall_s: float, vary: tuple[bytes, ...] = (), secondary: tuple[bytes | None, ...] = (),
        etag: bytes = b"",
        modified: bytes = b"", no_cache: bool = False, must_validate: bool = False, immutable: bool = False,
        swr_us: int = 0, sie_us: int = 0,
    ) -> None:  # fmt: skip
        """`head` holds the field lines; at `generated_us` the age was 0, and the wall clock was `wall_s`.

        `no_cache`: must be validated before each use. `must_validate`: must be validated once it is stale, so
        it is never served stale. `swr_us` and `sie_us` are how long after it became stale it may still be
        served, during a background validation and in place of an error respectively (RFC 5861). `secondary`
        holds the values that the request had for the fields in `vary`; `modified` is the value of
        Last-Modified.
        """
        self.status, self.head, self.body = status, head, body
        self.generated_us, self.lifetime_us, self.date_s, self.wall_s = (
            generated_us, lifetime_us, date_s, wall_s
        )  # fmt: skip
        self.vary, self.secondary, self.etag, self.modified = vary, secondary, etag, modified
        self.no_cache, self.must_validate, self.immutable = no_cache, must_validate, immutable
        self.swr_us, self.sie_us = swr_us, sie_us

    def age_us(self, now_us: int) -> int:
        return max(0, now_us - self.generated_us)

    def staleness_us(self, now_us: int) -> int:
        """Returns the time since the response became stale; 0 or less while it is fresh."""
        return self.age_us(now_us) - self.lifetime_us

    def is_fresh(self, now_us: int) -> bool:
        return now_us - self.generated_us < self.lifetime_us

    @property
    def validation_fields(self) -> Fields:
        """The conditional fields of a validation request (RFC 9111, 4.3.1)."""
        fields: Fields = []
        if self.etag:
            fields.append((b"If-None-Match", self.etag))
        if self.modified:
            fields.append((b"If-Modified-Since", self.modified))
        return fields


def build_stored(
    response: OriginResponse, request: CacheRequest, body: bytes, sent_us: int, received_us: int,
    policy: Policy,
) -> StoredResponse | None:  # fmt: skip
    """Returns the response in the form that is stored, or None if it could never be reused.

    Does not check `reason_not_storable`.
    """
    control, h = response.control, response.headers
    excluded = control.fields(b"private") | control.fields(b"no-cache")
    dropped = HOP_BY_HOP | REGENERATED_FIELDS | excluded
    fields = [f for f in response.fields if f[0].lower() not in dropped]
    initial_age_us = response.initial_age_us(received_us - sent_us)
    names = vary.parse_names(h.get(b"vary"))
    etag = h.get(b"etag", b"")
    if etag and not is_etag(etag):
        etag = b""
    modified = h.get(b"last-modified", b"")
    if modified and dates.parse(modified, response.date_s) is None:
        modified = b""
    no_cache = control.applies_to_whole(b"no-cache")
    # 5.2.2.2, 5.2.2.8 and 5.2.2.10: each of these directives forbids serving the response stale.
    forbids_stale = b"must-revalidate" in control or b"proxy-revalidate" in control or b"s-maxage" in control
    revalidate_s = 0 if forbids_stale else control.seconds(b"stale-while-revalidate") or 0
    on_error_s = 0 if forbids_stale else control.seconds(b"stale-if-error") or 0
    lifetime_s = response.lifetime_s(policy)
    longest_window_s = max(revalidate_s, on_error_s, policy.stale_if_refused_s, policy.stale_if_error_s)
    usable_s = 0 if no_cache else lifetime_s + (0 if forbids_stale else longest_window_s)
    if names is None or (not etag and not modified and initial_age_us >= usable_s * US_PER_S):
        return None
    return StoredResponse(
        response.status, format_fields(fields), body, received_us - initial_age_us, lifetime_s * US_PER_S,
        date_s=response.date_s, wall_s=response.received_s - initial_age_us / US_PER_S, vary=names,
        secondary=vary.secondary_key(names, request.headers), etag=etag, modified=modified, no_cache=no_cache,
        must_validate=forbids_stale, immutable=b"immutable" in control, swr_us=revalidate_s * US_PER_S,
        sie_us=on_error_s * US_PER_S,
    )  # fmt: skip


def is_etag(value: bytes) -> bool:
    opaque = value[2:] if value[:2] == b"W/" else value
    return len(opaque) >= 2 and opaque[:1] == opaque[-1:] == b'"' and b'"' not in opaque[1:-1]


# ---- reuse of stored responses


@dataclass(frozen=True, slots=True)
class Serve:
    stored: StoredResponse
    stale: bool = False
    refresh: bool = False  # validate it in the background (RFC 5861, 3)


@dataclass(frozen=True, slots=True)
class Forward:
    reason: ForwardReason
    stored: StoredResponse | None = None  # the response to validate
    only_if_cached: bool = False  # do not forward, answer 504 (5.2.1.7)


def matches(stored: StoredResponse, headers: Mapping[bytes, bytes]) -> bool:
    return not stored.vary or stored.secondary == vary.secondary_key(stored.vary, headers)


def choose(
    request: CacheRequest, variants: Sequence[StoredResponse], now_us: int, policy: Policy
) -> Serve | Forward:
    """Decides how to answer a request, given the stored responses of its key (RFC 9111, 4)."""
    only_if_cached = b"only-if-cached" in request.control
    found: StoredResponse | None = None
    for v in variants:
        # 4.1: of several matches the one with the latest Date; with equal dates, the one stored last.
        if matches(v, request.headers) and (found is None or v.date_s >= found.date_s):
            found = v
    if found is None:
        return Forward(ForwardReason.VARY_MISS if variants else ForwardReason.URI_MISS, None, only_if_cached)
    if request.no_cache:
        return Forward(ForwardReason.REQUEST, found, only_if_cached)
    if found.no_cache:
        return Forward(ForwardReason.STALE, found, only_if_cached)
    age, fresh = found.age_us(now_us), found.is_fresh(now_us)
    control = request.control
    if control:
        max_age_s = control.seconds(b"max-age")
        # RFC 8246: a reload of a fresh immutable response needs no validation.
        if max_age_s is not None and age > max_age_s * US_PER_S and not (found.immutable and fresh):
            return Forward(ForwardReason.REQUEST, found, only_if_cached)
        min_fresh_s = control.seconds(b"min-fresh")
        if min_fresh_s is not None and found.lifetime_us - age < min_fresh_s * US_PER_S:
            return Forward(ForwardReason.REQUEST, found, only_if_cached)
    if fresh:
        return Serve(found)
    if not found.must_validate:
        if is_within_max_stale(request, found.staleness_us(now_us), policy):
            return Serve(found, True)
        if found.staleness_us(now_us) < found.swr_us and b"no-store" not in control:
            return Serve(found, True, not only_if_cached)
    return Forward(ForwardReason.STALE, found, only_if_cached)


def is_within_max_stale(request: CacheRequest, staleness_us: int, policy: Policy) -> bool:
    """Evaluates `max-stale` (5.2.1.2): without an argument any staleness is allowed, with an invalid
    argument none."""
    if not policy.max_stale or b"max-stale" not in request.control:
        return False
    if request.control.arguments[b"max-stale"] == [None]:
        return True
    return staleness_us <= (request.control.seconds(b"max-stale") or 0) * US_PER_S


def may_serve_stale(
    request: CacheRequest, stored: StoredResponse, now_us: int, cause: FailureCause, policy: Policy
) -> bool:
    """Returns whether a stored response may be served although its validation failed (RFC 9111, 4.2.4 and
    4.3.3; RFC 5861, 4)."""
    if request.no_cache or stored.no_cache:
        return False
    staleness = stored.staleness_us(now_us)
    if staleness < 0:
        return True  # still fresh: it was validated only because the request asked for a newer one
    if stored.must_validate:
        return False
    policy_s = policy.stale_if_refused_s if cause is FailureCause.REFUSED else policy.stale_if_error_s
    request_s = request.control.seconds(b"stale-if-error") or 0
    if staleness < max(stored.sie_us, policy_s * US_PER_S, request_s * US_PER_S):
        return True
    return is_within_max_stale(request, staleness, policy)


# ---- validation


@dataclass(frozen=True, slots=True)
class Freshened:
    stored: StoredResponse
    may_store: bool  # False: the new fields forbid storing; the response serves this request only


def freshen(
    stored: StoredResponse, response: OriginResponse, request: CacheRequest, sent_us: int, received_us: int,
    policy: Policy,
) -> Freshened | None:  # fmt: skip
    """Updates a stored response from the 304 to its validation (RFC 9111, 4.3.4 and 3.2).

    Returns None if the 304 does not select the stored response, which must then not be used: a complete
    response has to be requested.
    """
    if not is_selected_by_304(stored, response.headers):
        return None
    replaced = {n for f in response.fields if (n := f[0].lower()) not in CONTENT_FIELDS}
    fields = [f for f in parse_fields(stored.head) if f[0].lower() not in replaced]
    fields += [f for f in response.fields if f[0].lower() in replaced]
    updated = OriginResponse(stored.status, fields, response.received_s, policy)
    fresh = build_stored(updated, request, stored.body, sent_us, received_us, policy)
    if fresh is not None:
        return Freshened(fresh, updated.reason_not_storable(request, policy) is None)
    # The updated response cannot be reused, but still answers this request.
    single_use = StoredResponse(
        stored.status, format_fields(f for f in fields if f[0].lower() not in REGENERATED_FIELDS),
        stored.body, received_us - updated.initial_age_us(received_us - sent_us), 0, date_s=updated.date_s,
        wall_s=response.received_s, etag=stored.etag, modified=stored.modified,
    )  # fmt: skip
    return Freshened(single_use, False)


def is_selected_by_304(stored: StoredResponse, headers: Mapping[bytes, bytes]) -> bool:
    """Returns whether a 304 with these fields selects this stored response (RFC 9111, 4.3.4)."""
    etag, modified = headers.get(b"etag"), headers.get(b"last-modified")
    if etag is not None and etag[:2] != b"W/":
        return stored.etag == etag
    if etag is not None:
        return weak_match(stored.etag, etag)
    if modified is not None:
        return stored.modified == modified
    return not stored.etag and not stored.modified


def weak_match(one: bytes, other: bytes) -> bool:
    """Compares entity tags weakly (RFC 9110, 8.8.3.2)."""
    return bool(one) and one.removeprefix(b"W/") == other.removeprefix(b"W/")


def matches_head_response(stored: StoredResponse, headers: Mapping[bytes, bytes]) -> bool:
    """Returns whether a response to HEAD still describes the stored response (RFC 9111, 4.3.5).

    If not, the stored response is outdated.
    """
    for name, stored_value in ((b"etag", stored.etag), (b"last-modified", stored.modified)):
        if name in headers and headers[name] != stored_value:
            return False
    length = headers.get(b"content-length")
    return length is None or length.strip() == b"%d" % len(stored.body)
