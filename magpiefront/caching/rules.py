"""What RFC 9111 asks of a shared cache: may an answer be kept, how long is it fresh, may it answer this
request, and what follows from a validation. No I/O and no clock.

Times are microseconds of a clock that only goes forward, unless a name ends in `_s`: those are whole seconds
of Unix time, as dates in fields are.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from magpiefront.caching import dates, vary
from magpiefront.caching.directives import MOST_S, NOTHING, WHOLE, Directives, parse, parse_targeted
from magpiefront.caching.settings import Policy
from magpiefront.net.fields import HOP_BY_HOP, Fields, combined, lines, read_lines

S = 1_000_000
# Final statuses whose meaning for a cache is known here (RFC 9110, 15). 206 and 304 are not kept as answers.
UNDERSTOOD = frozenset({
    200, 203, 204, 300, 301, 302, 303, 307, 308, 400, 401, 403, 404, 405, 406, 409, 410, 411, 412, 413, 414,
    415, 421, 422, 425, 426, 428, 429, 431, 451, 500, 501, 502, 503, 504, 505,
})  # fmt: skip
HEURISTIC = frozenset({200, 203, 204, 300, 301, 308, 404, 405, 410, 414, 501})  # RFC 9110, 15.1
# Not replaced by what a 304 or an answer to HEAD says of them (RFC 9111, 3.2).
OF_THE_CONTENT = frozenset({b"content-encoding", b"content-type", b"content-range", b"content-length"})
MADE_ANEW = frozenset({b"age", b"content-length"})  # for each answer from the store


class Why(enum.Enum):
    """Why an answer is not kept, with the section that says so."""

    METHOD = "3: another method than GET"
    STATUS = "3: a status that is not kept or not understood"
    NO_STORE = "5.2.2.5: no-store"
    REQUEST_NO_STORE = "5.2.1.5: the request's no-store"
    PRIVATE = "5.2.2.7: private"
    AUTHORIZATION = "3.5: the request has Authorization"
    COOKIE = "7.3: cookies, and nothing that says they do not matter"
    VARY = "4.1: Vary names what nobody can match"
    UNKNOWN = "3: nothing says that it may be kept"
    USELESS = "4.2: neither fresh nor to be validated"
    RANGE = "3.3: an answer in part"


class Fwd(enum.Enum):
    """Why a request goes on (RFC 9211, 2.2)."""

    BYPASS = "bypass"
    METHOD = "method"
    URI_MISS = "uri-miss"
    VARY_MISS = "vary-miss"
    REQUEST = "request"
    STALE = "stale"
    PARTIAL = "partial"


class Cause(enum.Enum):
    """Why there is no answer from behind."""

    ERROR = "error"
    REFUSED = "refused"


class Asked:
    """A request as the rules see it. `headers` by name in lower case, lines of one name joined."""

    __slots__ = ("control", "headers", "method", "no_cache")

    def __init__(self, method: bytes, headers: Mapping[bytes, bytes]) -> None:
        self.method, self.headers = method, headers
        given = headers.get(b"cache-control")
        self.control = parse(given) if given is not None else NOTHING
        self.no_cache = b"no-cache" in self.control
        if given is None and b"pragma" in headers:
            # RFC 9111, 5.4: deprecated, and still what old posts send.
            self.no_cache = b"no-cache" in parse(headers[b"pragma"])

    @property
    def solitary(self) -> bool:
        """Must its answer come for itself alone? Nobody waits with it, and it waits for nobody."""
        h = self.headers
        return (
            self.no_cache or b"no-store" in self.control or b"authorization" in h or b"cookie" in h
            or b"range" in h
        )  # fmt: skip


class Answered:
    """An answer as it came from behind, before anything is kept of it."""

    __slots__ = ("control", "date_s", "fields", "headers", "received_s", "status")

    def __init__(self, status: int, fields: Fields, received_s: float, policy: Policy) -> None:
        """`received_s`: the wall clock when its head had come. It gets a `Date` if it lacks one that can be
        read (RFC 9110, 6.6.1)."""
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
        given = self.headers.get(b"cache-control")
        return parse(given) if given is not None else NOTHING

    def lifetime_s(self, policy: Policy) -> int:
        """`freshness_lifetime` (RFC 9111, 4.2.1 and 4.2.2) of a shared cache."""
        control, h = self.control, self.headers
        for name in (b"s-maxage", b"max-age"):
            given = control.seconds(name)
            if given is not None:
                return given
        if b"expires" in h and not control.targeted:
            expires = dates.parse(h[b"expires"], int(self.received_s))  # two that differ are no date
            if expires is None:
                return 0
            return min(MOST_S, max(0, expires - self.date_s))
        if self.status not in HEURISTIC and b"public" not in control:
            return 0
        if not policy.heuristic_fraction or b"last-modified" not in h:
            return 0
        modified = dates.parse(h[b"last-modified"], int(self.received_s))
        if modified is None:
            return 0
        return max(0, min(policy.heuristic_most_s, int((self.date_s - modified) * policy.heuristic_fraction)))

    def initial_age_us(self, delay_us: int) -> int:
        """`corrected_initial_age` (RFC 9111, 4.2.3); `delay_us` is the time from the request's going to the
        head's coming."""
        apparent = max(0, int(self.received_s) - self.date_s) * S
        given = self.headers.get(b"age", b"").split(b",")[0].strip(b" \t")
        # 5.1: several lines count as their first; what is no number does not count.
        age = min(MOST_S, int(given[:20])) if WHOLE.fullmatch(given) else 0
        return max(apparent, age * S + max(0, delay_us))

    def storable(self, asked: Asked, policy: Policy) -> Why | None:
        """May a shared cache keep this answer to that request (RFC 9111, 3)? None if it may."""
        control, h = self.control, self.headers
        if asked.method != b"GET":
            return Why.METHOD
        if self.status == 206 or b"content-range" in h:
            return Why.RANGE
        if self.status < 200 or self.status == 304:
            return Why.STATUS
        if b"must-understand" in control:
            # 5.2.2.3: a cache that knows the status need not look at no-store.
            if self.status not in UNDERSTOOD:
                return Why.STATUS
        elif b"no-store" in control:
            return Why.NO_STORE
        if b"no-store" in asked.control:
            return Why.REQUEST_NO_STORE
        if control.bare(b"private"):
            return Why.PRIVATE
        shared = b"public" in control or b"s-maxage" in control
        if b"authorization" in asked.headers and not (shared or b"must-revalidate" in control):
            return Why.AUTHORIZATION
        if not shared:
            if b"cookie" in asked.headers:
                return Why.COOKIE
            hidden = control.fields(b"private") | control.fields(b"no-cache")
            if b"set-cookie" in h and b"set-cookie" not in hidden:
                return Why.COOKIE
        if vary.names(h.get(b"vary")) is None:
            return Why.VARY
        explicit = b"max-age" in control or b"s-maxage" in control or b"public" in control
        explicit = explicit or (b"expires" in h and not control.targeted)
        if not explicit and self.status not in HEURISTIC:
            return Why.UNKNOWN
        return None


class Stored:
    """An answer that is kept: whole, without fields of one connection, and never changed."""

    __slots__ = (
        "body",
        "born_us",
        "date_s",
        "etag",
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
        self, status: int, head: bytes, body: bytes, born_us: int, lifetime_us: int, *, date_s: int,
        wall_s: float, vary: tuple[bytes, ...] = (), secondary: tuple[bytes | None, ...] = (),
        etag: bytes = b"",
        modified: bytes = b"", no_cache: bool = False, must_validate: bool = False, immutable: bool = False,
        swr_us: int = 0, sie_us: int = 0,
    ) -> None:  # fmt: skip
        """`head` holds the field lines; `born_us` is when its age was 0, `wall_s` the wall clock then."""
        self.status, self.head, self.body = status, head, body
        self.born_us, self.lifetime_us, self.date_s, self.wall_s = born_us, lifetime_us, date_s, wall_s
        self.vary, self.secondary, self.etag, self.modified = vary, secondary, etag, modified
        self.no_cache, self.must_validate, self.immutable = no_cache, must_validate, immutable
        self.swr_us, self.sie_us = swr_us, sie_us

    def age_us(self, now_us: int) -> int:
        return max(0, now_us - self.born_us)

    def staleness_us(self, now_us: int) -> int:
        """How long it has not been fresh; 0 or less while it is."""
        return self.age_us(now_us) - self.lifetime_us

    def fresh(self, now_us: int) -> bool:
        return now_us - self.born_us < self.lifetime_us

    @property
    def validated_by(self) -> Fields:
        """The fields that ask whether it still holds (RFC 9111, 4.3.1)."""
        fields: Fields = []
        if self.etag:
            fields.append((b"If-None-Match", self.etag))
        if self.modified:
            fields.append((b"If-Modified-Since", self.modified))
        return fields


def keep(
    answered: Answered, asked: Asked, body: bytes, sent_us: int, received_us: int, policy: Policy
) -> Stored | None:
    """The answer as it is kept, once `storable` has allowed it; None where it could never be used."""
    control, h = answered.control, answered.headers
    hidden = control.fields(b"private") | control.fields(b"no-cache")
    drop = HOP_BY_HOP | MADE_ANEW | hidden
    fields = [f for f in answered.fields if f[0].lower() not in drop]
    initial = answered.initial_age_us(received_us - sent_us)
    names = vary.names(h.get(b"vary"))
    etag = h.get(b"etag", b"")
    if etag and not is_etag(etag):
        etag = b""
    modified = h.get(b"last-modified", b"")
    if modified and dates.parse(modified, answered.date_s) is None:
        modified = b""
    no_cache = control.bare(b"no-cache")
    # 5.2.2.2, 5.2.2.8 and 5.2.2.10: of these, none may be served stale.
    must = b"must-revalidate" in control or b"proxy-revalidate" in control or b"s-maxage" in control
    swr = 0 if must else control.seconds(b"stale-while-revalidate") or 0
    sie = 0 if must else control.seconds(b"stale-if-error") or 0
    lifetime = answered.lifetime_s(policy)
    windows = max(swr, sie, policy.stale_if_refused_s, policy.stale_if_error_s)
    ends = 0 if no_cache else lifetime + (0 if must else windows)
    if names is None or (not etag and not modified and initial >= ends * S):
        return None
    return Stored(
        answered.status, lines(fields), body, received_us - initial, lifetime * S,
        date_s=answered.date_s, wall_s=answered.received_s - initial / S, vary=names,
        secondary=vary.secondary(names, asked.headers), etag=etag, modified=modified, no_cache=no_cache,
        must_validate=must, immutable=b"immutable" in control, swr_us=swr * S, sie_us=sie * S,
    )  # fmt: skip


def is_etag(value: bytes) -> bool:
    opaque = value[2:] if value[:2] == b"W/" else value
    return len(opaque) >= 2 and opaque[:1] == opaque[-1:] == b'"' and b'"' not in opaque[1:-1]


# ---- may a stored answer be used?


@dataclass(frozen=True, slots=True)
class Serve:
    stored: Stored
    stale: bool = False
    refresh: bool = False  # validate it meanwhile (RFC 5861, 3)


@dataclass(frozen=True, slots=True)
class Forward:
    fwd: Fwd
    stored: Stored | None = None  # what is to be validated
    never: bool = False  # `only-if-cached`: it must not go on, and is answered 504 (5.2.1.7)


def matches(stored: Stored, headers: Mapping[bytes, bytes]) -> bool:
    return not stored.vary or stored.secondary == vary.secondary(stored.vary, headers)


def choose(asked: Asked, variants: Sequence[Stored], now_us: int, policy: Policy) -> Serve | Forward:
    """What becomes of a request for which these answers are kept (RFC 9111, 4)."""
    never = b"only-if-cached" in asked.control
    found: Stored | None = None
    for v in variants:
        # 4.1: of several that match, the one with the latest Date; of two with the same, the later one.
        if matches(v, asked.headers) and (found is None or v.date_s >= found.date_s):
            found = v
    if found is None:
        return Forward(Fwd.VARY_MISS if variants else Fwd.URI_MISS, None, never)
    if asked.no_cache:
        return Forward(Fwd.REQUEST, found, never)
    if found.no_cache:
        return Forward(Fwd.STALE, found, never)
    age, fresh = found.age_us(now_us), found.fresh(now_us)
    control = asked.control
    if control:
        most = control.seconds(b"max-age")
        # RFC 8246: a reload of what is immutable and fresh is no reason to ask.
        if most is not None and age > most * S and not (found.immutable and fresh):
            return Forward(Fwd.REQUEST, found, never)
        least = control.seconds(b"min-fresh")
        if least is not None and found.lifetime_us - age < least * S:
            return Forward(Fwd.REQUEST, found, never)
    if fresh:
        return Serve(found)
    if not found.must_validate:
        if within_max_stale(asked, found.staleness_us(now_us), policy):
            return Serve(found, True)
        if found.staleness_us(now_us) < found.swr_us and b"no-store" not in control:
            return Serve(found, True, not never)
    return Forward(Fwd.STALE, found, never)


def within_max_stale(asked: Asked, staleness_us: int, policy: Policy) -> bool:
    """5.2.1.2. Without an argument any age will do; one that is no number allows nothing."""
    if not policy.max_stale or b"max-stale" not in asked.control:
        return False
    if asked.control.given[b"max-stale"] == [None]:
        return True
    return staleness_us <= (asked.control.seconds(b"max-stale") or 0) * S


def instead(asked: Asked, stored: Stored, now_us: int, cause: Cause, policy: Policy) -> bool:
    """May a stored answer be given where its validation failed (RFC 9111, 4.2.4 and 4.3.3; RFC 5861, 4)?"""
    if asked.no_cache or stored.no_cache:
        return False
    staleness = stored.staleness_us(now_us)
    if staleness < 0:
        return True  # only the client wanted better, and there is none
    if stored.must_validate:
        return False
    own = policy.stale_if_refused_s if cause is Cause.REFUSED else policy.stale_if_error_s
    asked_for = asked.control.seconds(b"stale-if-error") or 0
    if staleness < max(stored.sie_us, own * S, asked_for * S):
        return True
    return within_max_stale(asked, staleness, policy)


# ---- validation


@dataclass(frozen=True, slots=True)
class Freshened:
    stored: Stored
    keep: bool  # False: its new fields forbid that, and it answers this request only


def freshen(
    stored: Stored, answered: Answered, asked: Asked, sent_us: int, received_us: int, policy: Policy
) -> Freshened | None:
    """The stored answer after a 304 to its validation (RFC 9111, 4.3.4 and 3.2); None where that does not
    say that it means this one: it must not be used, and the whole answer is to be asked for."""
    if not identified(stored, answered.headers):
        return None
    replaced = {n for f in answered.fields if (n := f[0].lower()) not in OF_THE_CONTENT}
    fields = [f for f in read_lines(stored.head) if f[0].lower() not in replaced]
    fields += [f for f in answered.fields if f[0].lower() in replaced]
    update = Answered(stored.status, fields, answered.received_s, policy)
    fresh = keep(update, asked, stored.body, sent_us, received_us, policy)
    if fresh is not None:
        return Freshened(fresh, update.storable(asked, policy) is None)
    # Of no further use, and still the answer to this request.
    once = Stored(stored.status, lines(f for f in fields if f[0].lower() not in MADE_ANEW), stored.body,
                  received_us - update.initial_age_us(received_us - sent_us), 0, date_s=update.date_s,
                  wall_s=answered.received_s, etag=stored.etag, modified=stored.modified)  # fmt: skip
    return Freshened(once, False)


def identified(stored: Stored, headers: Mapping[bytes, bytes]) -> bool:
    """Does a 304 with these fields mean this stored answer (RFC 9111, 4.3.4)?"""
    etag, modified = headers.get(b"etag"), headers.get(b"last-modified")
    if etag is not None and etag[:2] != b"W/":
        return stored.etag == etag
    if etag is not None:
        return weak_match(stored.etag, etag)
    if modified is not None:
        return stored.modified == modified
    return not stored.etag and not stored.modified


def weak_match(one: bytes, other: bytes) -> bool:
    """RFC 9110, 8.8.3.2."""
    return bool(one) and one.removeprefix(b"W/") == other.removeprefix(b"W/")


def head_agrees(stored: Stored, headers: Mapping[bytes, bytes]) -> bool:
    """Does an answer to HEAD describe the stored one still (RFC 9111, 4.3.5)? Else that is stale."""
    for name, own in ((b"etag", stored.etag), (b"last-modified", stored.modified)):
        if name in headers and headers[name] != own:
            return False
    length = headers.get(b"content-length")
    return length is None or length.strip() == b"%d" % len(stored.body)
