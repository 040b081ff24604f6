"""What may be kept, how long it is fresh, and what becomes of a request: tables over the pure rules."""

from __future__ import annotations

import pytest

from magpiefront.caching import conditions, dates, rules
from magpiefront.caching.rules import Answered, Asked, Cause, Forward, Fwd, S, Serve, Stored, Why
from magpiefront.caching.settings import Policy
from magpiefront.net.fields import combined

NOW = 1_800_000_000
P = Policy()


def answered(
    cc: str = "", *fields: tuple[str, str], status: int = 200, at: float = NOW, p: Policy = P
) -> Answered:
    given = [(b"Cache-Control", cc.encode())] if cc else []
    given += [(n.encode(), v.encode()) for n, v in fields]
    return Answered(status, given, at, p)


def asked(*fields: tuple[str, str], method: bytes = b"GET") -> Asked:
    return Asked(method, combined((n.encode(), v.encode()) for n, v in fields))


def stored(cc: str = "max-age=60", *fields: tuple[str, str], p: Policy = P, delay: int = 0) -> Stored:
    found = rules.keep(answered(cc, *fields, p=p), asked(), b"body", 0, delay, p)
    assert found is not None
    return found


@pytest.mark.parametrize(
    ("why", "status", "cc", "fields", "request_"),
    [
        (None, 200, "max-age=60", (), ()),
        (None, 200, "", (), ()),
        (None, 404, "", (), ()),
        (Why.UNKNOWN, 302, "", (), ()),
        (Why.UNKNOWN, 500, "foo", (), ()),
        (None, 302, "public", (), ()),
        (None, 302, "", (("Expires", "0"),), ()),
        (Why.UNKNOWN, 302, "", (("Expires", "0"), ("CDN-Cache-Control", "foo")), ()),
        (Why.STATUS, 304, "max-age=60", (), ()),
        (Why.RANGE, 206, "max-age=60", (), ()),
        (Why.RANGE, 200, "max-age=60", (("Content-Range", "bytes 0-1/2"),), ()),
        (Why.NO_STORE, 200, "no-store", (), ()),
        (Why.NO_STORE, 200, "max-age=60", (("CDN-Cache-Control", "no-store"),), ()),
        (None, 200, "no-store", (("CDN-Cache-Control", "max-age=60"),), ()),
        (None, 200, "no-store, must-understand, max-age=1", (), ()),
        (Why.STATUS, 499, "must-understand, max-age=1", (), ()),
        (Why.REQUEST_NO_STORE, 200, "max-age=60", (), (("Cache-Control", "no-store"),)),
        (Why.PRIVATE, 200, "private, max-age=60", (), ()),
        (None, 200, 'private="x-a", max-age=60', (), ()),
        (Why.AUTHORIZATION, 200, "max-age=60", (), (("Authorization", "a"),)),
        (None, 200, "public", (), (("Authorization", "a"),)),
        (None, 200, "s-maxage=60", (), (("Authorization", "a"),)),
        (None, 200, "must-revalidate, max-age=60", (), (("Authorization", "a"),)),
        (Why.COOKIE, 200, "max-age=60", (), (("Cookie", "a=1"),)),
        (Why.COOKIE, 200, "max-age=60", (("Set-Cookie", "a=1"),), ()),
        (None, 200, 'max-age=60, no-cache="Set-Cookie"', (("Set-Cookie", "a=1"),), ()),
        (None, 200, "public, max-age=60", (("Set-Cookie", "a=1"),), ()),
        (Why.VARY, 200, "max-age=60", (("Vary", "a, *"),), ()),
    ],
)
def test_storing(
    why: Why | None, status: int, cc: str, fields: tuple[tuple[str, str], ...],
    request_: tuple[tuple[str, str], ...],
) -> None:  # fmt: skip
    assert answered(cc, *fields, status=status).storable(asked(*request_), P) is why


@pytest.mark.parametrize("method", [b"HEAD", b"POST", b"PUT"])
def test_only_answers_to_get_are_kept(method: bytes) -> None:
    assert answered("max-age=60").storable(asked(method=method), P) is Why.METHOD


def at(offset: int) -> str:
    return dates.render(NOW + offset).decode()


@pytest.mark.parametrize(
    ("seconds", "status", "cc", "fields"),
    [
        (60, 200, "max-age=60", ()),
        (5, 200, "max-age=60, s-maxage=5", ()),
        (0, 200, "max-age=x", (("Expires", at(60)),)),
        (60, 200, "", (("Expires", at(60)),)),
        (0, 200, "", (("Expires", at(-60)),)),
        (0, 200, "", (("Expires", "0"), ("Last-Modified", at(-86_400)))),
        (0, 200, "", (("Expires", at(60)), ("Expires", at(90)))),
        (3600, 200, "", (("Expires", at(0)), ("Date", at(-3600)))),
        (
            1 << 31,
            200,
            "",
            (("Expires", "Fri, 01 Jan 2100 00:00:00 GMT"), ("Date", "Thu, 01 Jan 1970 00:00:00 GMT")),
        ),
        (100, 200, "", (("Last-Modified", at(-1_000)),)),
        (600, 200, "", (("Last-Modified", at(-864_000)),)),  # capped
        (0, 200, "", (("Last-Modified", at(60)),)),
        (0, 200, "", (("Last-Modified", "lately"),)),
        (0, 302, "", (("Last-Modified", at(-1_000)),)),
        (100, 302, "public", (("Last-Modified", at(-1_000)),)),
        (0, 200, "", (("CDN-Cache-Control", "foo"), ("Expires", at(60)))),
    ],
)
def test_freshness_lifetime(seconds: int, status: int, cc: str, fields: tuple[tuple[str, str], ...]) -> None:
    assert answered(cc, *fields, status=status).lifetime_s(P) == seconds


def test_heuristics_can_be_off() -> None:
    p = Policy(heuristic_fraction=0)
    assert answered("", ("Last-Modified", at(-1_000))).lifetime_s(p) == 0


@pytest.mark.parametrize(
    ("age_s", "fields", "delay_s"),
    [
        (0, (), 0),
        (2, (), 2),
        (7, (("Age", "5"),), 2),
        (30, (("Date", at(-30)),), 2),
        (32, (("Date", at(-10)), ("Age", "30")), 2),
        (0, (("Date", at(3600)),), 0),
        (0, (("Age", "x"),), 0),
        (0, (("Age", "-1"),), 0),
        (5, (("Age", "5"), ("Age", "9")), 0),
        (1 << 31, (("Age", "99999999999999999999999"),), 0),
    ],
)
def test_initial_age(age_s: int, fields: tuple[tuple[str, str], ...], delay_s: int) -> None:
    assert answered("", *fields).initial_age_us(delay_s * S) == age_s * S


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
def test_what_becomes_of_a_request(after_s: int, cc: str, request_cc: str, choice: str) -> None:
    v = stored(cc, ("ETag", '"1"'))
    fields = (("Cache-Control", request_cc),) if request_cc else ()
    found = rules.choose(asked(*fields), (v,), after_s * S, P)
    if isinstance(found, Serve):
        said = "refresh" if found.refresh else "serve stale" if found.stale else "serve"
    else:
        said = ("never " if found.never else "") + found.fwd.value
        assert found.stored is v
    assert said == choice


def test_misses_and_other_variants() -> None:
    assert rules.choose(asked(), (), 0, P) == Forward(Fwd.URI_MISS)
    v = stored("max-age=60", ("Vary", "Foo"))
    assert rules.choose(asked(("Foo", "1")), (v,), 0, P) == Forward(Fwd.VARY_MISS)
    only = rules.choose(asked(("Cache-Control", "only-if-cached")), (), 0, P)
    assert isinstance(only, Forward) and only.never


def test_of_two_that_match_the_later_one_counts() -> None:
    old, new = stored("max-age=600", ("Date", at(-30))), stored("max-age=600")
    for pair in ((old, new), (new, old)):
        assert rules.choose(asked(), pair, 0, P) == Serve(new)


@pytest.mark.parametrize(
    ("may", "after_s", "cc", "request_cc", "cause", "p"),
    [
        (False, 70, "max-age=60", "", Cause.ERROR, P),
        (True, 70, "max-age=60, stale-if-error=20", "", Cause.ERROR, P),
        (False, 81, "max-age=60, stale-if-error=20", "", Cause.ERROR, P),
        (True, 70, "max-age=60", "stale-if-error=20", Cause.ERROR, P),
        (True, 70, "max-age=60", "max-stale", Cause.ERROR, P),
        (True, 10, "max-age=60", "max-age=0", Cause.ERROR, P),
        (False, 10, "max-age=60", "no-cache", Cause.ERROR, P),
        (False, 10, "max-age=60, no-cache", "", Cause.ERROR, P),
        (False, 70, "max-age=60, must-revalidate, stale-if-error=20", "", Cause.ERROR, P),
        (True, 70, "max-age=60", "", Cause.REFUSED, Policy(stale_if_refused_s=20)),
        (False, 70, "max-age=60", "", Cause.ERROR, Policy(stale_if_refused_s=20)),
        (True, 70, "max-age=60", "", Cause.ERROR, Policy(stale_if_error_s=20)),
        (False, 70, "s-maxage=60", "", Cause.REFUSED, Policy(stale_if_refused_s=20)),
        (False, 70, "max-age=60", "max-stale", Cause.ERROR, Policy(max_stale=False)),
    ],
)
def test_stale_answers_in_place_of_none(
    may: bool, after_s: int, cc: str, request_cc: str, cause: Cause, p: Policy
) -> None:
    fields = (("Cache-Control", request_cc),) if request_cc else ()
    assert rules.instead(asked(*fields), stored(cc, ("ETag", '"1"')), after_s * S, cause, p) is may


@pytest.mark.parametrize(
    ("means", "own", "said"),
    [
        (True, (("ETag", '"1"'),), (("ETag", '"1"'),)),
        (False, (("ETag", '"1"'),), (("ETag", '"2"'),)),
        (False, (("ETag", 'W/"1"'),), (("ETag", '"1"'),)),  # a strong one identifies strongly
        (True, (("ETag", '"1"'),), (("ETag", 'W/"1"'),)),
        (True, (("Last-Modified", at(-60)),), (("Last-Modified", at(-60)),)),
        (False, (("Last-Modified", at(-60)),), (("Last-Modified", at(-61)),)),
        (False, (("ETag", '"1"'),), ()),
        (True, (), ()),
    ],
)
def test_which_answer_a_304_means(
    means: bool, own: tuple[tuple[str, str], ...], said: tuple[tuple[str, str], ...]
) -> None:
    v = stored("max-age=60", *own)
    found = rules.freshen(v, answered("max-age=90", *said, status=304), asked(), 0, 0, P)
    assert (found is not None) is means
    if found is not None:
        assert found.stored.lifetime_us == 90 * S and found.stored.body == b"body" and found.keep


def test_a_304_that_forbids_keeping_still_answers() -> None:
    v = stored("max-age=60", ("ETag", '"1"'))
    for cc in ("no-store", "private, max-age=60"):
        found = rules.freshen(v, answered(cc, ("ETag", '"1"'), status=304), asked(), 0, 0, P)
        assert found is not None and not found.keep and found.stored.body == b"body"


def test_what_could_never_be_used_is_not_kept() -> None:
    def kept(cc: str, *fields: tuple[str, str]) -> bool:
        return rules.keep(answered(cc, *fields), asked(), b"", 0, 0, P) is not None

    assert (
        not kept("max-age=0") and not kept("no-cache, max-age=60") and not kept("max-age=60", ("Age", "60"))
    )
    assert kept("max-age=0", ("ETag", '"1"')) and kept("max-age=60", ("Age", "59"))
    assert kept("max-age=60, stale-if-error=5", ("Age", "60"))
    assert not kept("max-age=0", ("ETag", "unquoted")) and not kept("max-age=0", ("Last-Modified", "lately"))


def test_an_answer_to_head_that_differs() -> None:
    v = stored("max-age=60", ("ETag", '"1"'))
    for fields, agrees in (
        ({}, True), ({b"etag": b'"1"'}, True), ({b"etag": b'"2"'}, False), ({b"content-length": b"4"}, True),
        ({b"content-length": b"5"}, False), ({b"last-modified": b"x"}, False),
    ):  # fmt: skip
        assert rules.head_agrees(v, fields) is agrees


def test_a_part_of_what_was_made_in_the_same_second_is_not_strong() -> None:
    weak = stored("max-age=60", ("Last-Modified", at(0)), ("Date", at(0)))
    strong = stored("max-age=60", ("Last-Modified", at(-5)), ("Date", at(0)))
    assert not conditions.range_holds(weak, at(0).encode())
    assert conditions.range_holds(strong, at(-5).encode())
