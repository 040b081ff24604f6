"""Tests of the caching rules: storing, freshness, reuse and validation."""

from __future__ import annotations

import pytest

from magpiefront.caching import conditions, dates, rules
from magpiefront.caching.rules import (
    US_PER_S, CacheRequest, FailureCause, Forward, ForwardReason, NotStorableReason, OriginResponse, Serve,
    StoredResponse,
)  # fmt: skip
from magpiefront.caching.settings import Policy
from magpiefront.net.fields import combined

NOW = 1_800_000_000
POLICY = Policy()


def response(
    cc: str = "", *fields: tuple[str, str], status: int = 200, received_s: float = NOW, p: Policy = POLICY
) -> OriginResponse:
    given = [(b"Cache-Control", cc.encode())] if cc else []
    given += [(n.encode(), v.encode()) for n, v in fields]
    return OriginResponse(status, given, received_s, p)


def request(*fields: tuple[str, str], method: bytes = b"GET") -> CacheRequest:
    return CacheRequest(method, combined((n.encode(), v.encode()) for n, v in fields))


def stored(
    cc: str = "max-age=60", *fields: tuple[str, str], p: Policy = POLICY, delay: int = 0
) -> StoredResponse:
    found = rules.build_stored(response(cc, *fields, p=p), request(), b"body", 0, delay, p)
    assert found is not None
    return found


@pytest.mark.parametrize(
    ("reason", "status", "cc", "fields", "request_"),
    [
        (None, 200, "max-age=60", (), ()),
        (None, 200, "", (), ()),
        (None, 404, "", (), ()),
        (NotStorableReason.UNKNOWN, 302, "", (), ()),
        (NotStorableReason.UNKNOWN, 500, "foo", (), ()),
        (None, 302, "public", (), ()),
        (None, 302, "", (("Expires", "0"),), ()),
        (NotStorableReason.UNKNOWN, 302, "", (("Expires", "0"), ("CDN-Cache-Control", "foo")), ()),
        (NotStorableReason.STATUS, 304, "max-age=60", (), ()),
        (NotStorableReason.RANGE, 206, "max-age=60", (), ()),
        (NotStorableReason.RANGE, 200, "max-age=60", (("Content-Range", "bytes 0-1/2"),), ()),
        (NotStorableReason.NO_STORE, 200, "no-store", (), ()),
        (NotStorableReason.NO_STORE, 200, "max-age=60", (("CDN-Cache-Control", "no-store"),), ()),
        (None, 200, "no-store", (("CDN-Cache-Control", "max-age=60"),), ()),
        (None, 200, "no-store, must-understand, max-age=1", (), ()),
        (NotStorableReason.STATUS, 499, "must-understand, max-age=1", (), ()),
        (NotStorableReason.REQUEST_NO_STORE, 200, "max-age=60", (), (("Cache-Control", "no-store"),)),
        (NotStorableReason.PRIVATE, 200, "private, max-age=60", (), ()),
        (None, 200, 'private="x-a", max-age=60', (), ()),
        (NotStorableReason.AUTHORIZATION, 200, "max-age=60", (), (("Authorization", "a"),)),
        (None, 200, "public", (), (("Authorization", "a"),)),
        (None, 200, "s-maxage=60", (), (("Authorization", "a"),)),
        (None, 200, "must-revalidate, max-age=60", (), (("Authorization", "a"),)),
        (NotStorableReason.COOKIE, 200, "max-age=60", (), (("Cookie", "a=1"),)),
        (NotStorableReason.COOKIE, 200, "max-age=60", (("Set-Cookie", "a=1"),), ()),
        (None, 200, 'max-age=60, no-cache="Set-Cookie"', (("Set-Cookie", "a=1"),), ()),
        (None, 200, "public, max-age=60", (("Set-Cookie", "a=1"),), ()),
        (NotStorableReason.VARY, 200, "max-age=60", (("Vary", "a, *"),), ()),
    ],
)
def test_storing(
    reason: NotStorableReason | None, status: int, cc: str, fields: tuple[tuple[str, str], ...],
    request_: tuple[tuple[str, str], ...],
) -> None:  # fmt: skip
    assert response(cc, *fields, status=status).reason_not_storable(request(*request_), POLICY) is reason


@pytest.mark.parametrize("method", [b"HEAD", b"POST", b"PUT"])
def test_only_responses_to_get_are_stored(method: bytes) -> None:
    assert (
        response("max-age=60").reason_not_storable(request(method=method), POLICY) is NotStorableReason.METHOD
    )


def date_at(offset: int) -> str:
    return dates.render(NOW + offset).decode()


@pytest.mark.parametrize(
    ("seconds", "status", "cc", "fields"),
    [
        (60, 200, "max-age=60", ()),
        (5, 200, "max-age=60, s-maxage=5", ()),
        (0, 200, "max-age=x", (("Expires", date_at(60)),)),
        (60, 200, "", (("Expires", date_at(60)),)),
        (0, 200, "", (("Expires", date_at(-60)),)),
        (0, 200, "", (("Expires", "0"), ("Last-Modified", date_at(-86_400)))),
        (0, 200, "", (("Expires", date_at(60)), ("Expires", date_at(90)))),
        (3600, 200, "", (("Expires", date_at(0)), ("Date", date_at(-3600)))),
        (
            1 << 31,
            200,
            "",
            (("Expires", "Fri, 01 Jan 2100 00:00:00 GMT"), ("Date", "Thu, 01 Jan 1970 00:00:00 GMT")),
        ),
        (100, 200, "", (("Last-Modified", date_at(-1_000)),)),
        (600, 200, "", (("Last-Modified", date_at(-864_000)),)),  # capped
        (0, 200, "", (("Last-Modified", date_at(60)),)),
        (0, 200, "", (("Last-Modified", "lately"),)),
        (0, 302, "", (("Last-Modified", date_at(-1_000)),)),
        (100, 302, "public", (("Last-Modified", date_at(-1_000)),)),
        (0, 200, "", (("CDN-Cache-Control", "foo"), ("Expires", date_at(60)))),
    ],
)
def test_freshness_lifetime(seconds: int, status: int, cc: str, fields: tuple[tuple[str, str], ...]) -> None:
    assert response(cc, *fields, status=status).lifetime_s(POLICY) == seconds


def test_heuristic_freshness_can_be_disabled() -> None:
    p = Policy(heuristic_fraction=0)
    assert response("", ("Last-Modified", date_at(-1_000))).lifetime_s(p) == 0


@pytest.mark.parametrize(
    ("age_s", "fields", "delay_s"),
    [
        (0, (), 0),
        (2, (), 2),
        (7, (("Age", "5"),), 2),
        (30, (("Date", date_at(-30)),), 2),
        (32, (("Date", date_at(-10)), ("Age", "30")), 2),
        (0, (("Date", date_at(3600)),), 0),
        (0, (("Age", "x"),), 0),
        (0, (("Age", "-1"),), 0),
        (5, (("Age", "5"), ("Age", "9")), 0),
        (1 << 31, (("Age", "99999999999999999999999"),), 0),
    ],
)
def test_initial_age(age_s: int, fields: tuple[tuple[str, str], ...], delay_s: int) -> None:
    assert response("", *fields).initial_age_us(delay_s * US_PER_S) == age_s * US_PER_S


@pytest.mark.parametrize(
    ("after_s", "cc", "request_cc", "choice"),
    [
        (59, "max-age=60", "", "serve"),
        (60, "max-age=60", "", "stale"),
        (10, "max-age=60", "max-age=10", "serve"),
        (11, "max-age=60", "max-age=10", "request"),
        (11, "max-age=60, immutable", "max-age=10", "serve"),
        (61, "max-age=60, immutable", "max-age=10", "request"),
        (10, "max-age=60", "min-fresh=50", "serve"),
        (11, "max-age=60", "min-fresh=50", "request"),
        (10, "max-age=60", "no-cache", "request"),
        (0, "max-age=60, no-cache", "", "stale"),
        (70, "max-age=60", "max-stale", "serve stale"),
        (70, "max-age=60", "max-stale=10", "serve stale"),
        (71, "max-age=60", "max-stale=10", "stale"),
        (70, "max-age=60", "max-stale=x", "stale"),
        (70, "max-age=60, must-revalidate", "max-stale", "stale"),
        (70, "max-age=60, proxy-revalidate", "max-stale", "stale"),
        (70, "s-maxage=60", "max-stale", "stale"),
        (70, "max-age=60, stale-while-revalidate=20", "", "refresh"),
        (80, "max-age=60, stale-while-revalidate=20", "", "stale"),
        (70, "max-age=60, must-revalidate, stale-while-revalidate=20", "", "stale"),
        (70, "max-age=60, stale-while-revalidate=20", "no-store", "stale"),
        (70, "max-age=60, stale-while-revalidate=20", "only-if-cached", "serve stale"),
        (70, "max-age=60", "only-if-cached", "never stale"),
    ],
)
def test_decision_for_a_request(after_s: int, cc: str, request_cc: str, choice: str) -> None:
    v = stored(cc, ("ETag", '"1"'))
    fields = (("Cache-Control", request_cc),) if request_cc else ()
    found = rules.choose(request(*fields), (v,), after_s * US_PER_S, POLICY)
    if isinstance(found, Serve):
        decision = "refresh" if found.refresh else "serve stale" if found.stale else "serve"
    else:
        decision = ("never " if found.only_if_cached else "") + found.reason.value
        assert found.stored is v
    assert decision == choice


def test_misses_and_other_variants() -> None:
    assert rules.choose(request(), (), 0, POLICY) == Forward(ForwardReason.URI_MISS)
    v = stored("max-age=60", ("Vary", "Foo"))
    assert rules.choose(request(("Foo", "1")), (v,), 0, POLICY) == Forward(ForwardReason.VARY_MISS)
    only = rules.choose(request(("Cache-Control", "only-if-cached")), (), 0, POLICY)
    assert isinstance(only, Forward) and only.only_if_cached


def test_of_two_matching_variants_the_later_one_is_chosen() -> None:
    old, new = stored("max-age=600", ("Date", date_at(-30))), stored("max-age=600")
    for pair in ((old, new), (new, old)):
        assert rules.choose(request(), pair, 0, POLICY) == Serve(new)


@pytest.mark.parametrize(
    ("is_allowed", "after_s", "cc", "request_cc", "cause", "p"),
    [
        (False, 70, "max-age=60", "", FailureCause.ERROR, POLICY),
        (True, 70, "max-age=60, stale-if-error=20", "", FailureCause.ERROR, POLICY),
        (False, 81, "max-age=60, stale-if-error=20", "", FailureCause.ERROR, POLICY),
        (True, 70, "max-age=60", "stale-if-error=20", FailureCause.ERROR, POLICY),
        (True, 70, "max-age=60", "max-stale", FailureCause.ERROR, POLICY),
        (True, 10, "max-age=60", "max-age=0", FailureCause.ERROR, POLICY),
        (False, 10, "max-age=60", "no-cache", FailureCause.ERROR, POLICY),
        (False, 10, "max-age=60, no-cache", "", FailureCause.ERROR, POLICY),
        (False, 70, "max-age=60, must-revalidate, stale-if-error=20", "", FailureCause.ERROR, POLICY),
        (True, 70, "max-age=60", "", FailureCause.REFUSED, Policy(stale_if_refused_s=20)),
        (False, 70, "max-age=60", "", FailureCause.ERROR, Policy(stale_if_refused_s=20)),
        (True, 70, "max-age=60", "", FailureCause.ERROR, Policy(stale_if_error_s=20)),
        (False, 70, "s-maxage=60", "", FailureCause.REFUSED, Policy(stale_if_refused_s=20)),
        (False, 70, "max-age=60", "max-stale", FailureCause.ERROR, Policy(max_stale=False)),
    ],
)
def test_stale_responses_in_place_of_failed_ones(
    is_allowed: bool, after_s: int, cc: str, request_cc: str, cause: FailureCause, p: Policy
) -> None:
    fields = (("Cache-Control", request_cc),) if request_cc else ()
    assert (
        rules.may_serve_stale(request(*fields), stored(cc, ("ETag", '"1"')), after_s * US_PER_S, cause, p)
        is is_allowed
    )


@pytest.mark.parametrize(
    ("is_selected", "own", "received"),
    [
        (True, (("ETag", '"1"'),), (("ETag", '"1"'),)),
        (False, (("ETag", '"1"'),), (("ETag", '"2"'),)),
        (False, (("ETag", 'W/"1"'),), (("ETag", '"1"'),)),  # a strong tag needs a strong comparison
        (True, (("ETag", '"1"'),), (("ETag", 'W/"1"'),)),
        (True, (("Last-Modified", date_at(-60)),), (("Last-Modified", date_at(-60)),)),
        (False, (("Last-Modified", date_at(-60)),), (("Last-Modified", date_at(-61)),)),
        (False, (("ETag", '"1"'),), ()),
        (True, (), ()),
    ],
)
def test_which_response_a_304_selects(
    is_selected: bool, own: tuple[tuple[str, str], ...], received: tuple[tuple[str, str], ...]
) -> None:
    v = stored("max-age=60", *own)
    found = rules.freshen(v, response("max-age=90", *received, status=304), request(), 0, 0, POLICY)
    assert (found is not None) is is_selected
    if found is not None:
        assert found.stored.lifetime_us == 90 * US_PER_S and found.stored.body == b"body" and found.may_store


def test_a_304_that_forbids_storing_still_answers() -> None:
    v = stored("max-age=60", ("ETag", '"1"'))
    for cc in ("no-store", "private, max-age=60"):
        found = rules.freshen(v, response(cc, ("ETag", '"1"'), status=304), request(), 0, 0, POLICY)
        assert found is not None and not found.may_store and found.stored.body == b"body"


def test_a_response_that_could_never_be_reused_is_not_stored() -> None:
    def kept(cc: str, *fields: tuple[str, str]) -> bool:
        return rules.build_stored(response(cc, *fields), request(), b"", 0, 0, POLICY) is not None

    assert (
        not kept("max-age=0") and not kept("no-cache, max-age=60") and not kept("max-age=60", ("Age", "60"))
    )
    assert kept("max-age=0", ("ETag", '"1"')) and kept("max-age=60", ("Age", "59"))
    assert kept("max-age=60, stale-if-error=5", ("Age", "60"))
    assert not kept("max-age=0", ("ETag", "unquoted")) and not kept("max-age=0", ("Last-Modified", "lately"))


def test_differing_responses_to_head() -> None:
    v = stored("max-age=60", ("ETag", '"1"'))
    for fields, agrees in (
        ({}, True), ({b"etag": b'"1"'}, True), ({b"etag": b'"2"'}, False), ({b"content-length": b"4"}, True),
        ({b"content-length": b"5"}, False), ({b"last-modified": b"x"}, False),
    ):  # fmt: skip
        assert rules.matches_head_response(v, fields) is agrees


def test_a_last_modified_in_the_same_second_is_not_a_strong_validator() -> None:
    weak = stored("max-age=60", ("Last-Modified", date_at(0)), ("Date", date_at(0)))
    strong = stored("max-age=60", ("Last-Modified", date_at(-5)), ("Date", date_at(0)))
    assert not conditions.if_range_matches(weak, date_at(0).encode())
    assert conditions.if_range_matches(strong, date_at(-5).encode())
