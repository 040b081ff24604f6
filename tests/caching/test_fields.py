"""Tests of dates, directives, list-based fields, variants, cache keys and forwarded fields."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from magpiefront.caching import dates, directives, targets, vary
from magpiefront.caching.field_lists import split_members
from magpiefront.net.fields import combined, end_to_end, format_fields, parse_fields

BYTES = st.binary(max_size=60)


@pytest.mark.parametrize(
    ("given_", "seconds"),
    [
        (b"Sun, 06 Nov 1994 08:49:37 GMT", 784111777),
        (b"Sunday, 06-Nov-94 08:49:37 GMT", 784111777),
        (b"Sun Nov  6 08:49:37 1994", 784111777),
        (b"sun, 06 nov 1994 08:49:37 gmt", 784111777),
        (b"Fri, 31 Dec 2100 23:59:60 GMT", 4133980800),
        (b"Sun, 06 Nov 1994 08:49:37 EST", None),
        (b"Sun, 06 Nov 1994 08:49:37", None),
        (b"Sun, 6 Nov 1994 08:49:37 GMT", None),
        (b"Sun, 31 Feb 1994 08:49:37 GMT", None),
        (b"Sun, 06 Xxx 1994 08:49:37 GMT", None),
        (b"Sun, 06 Nov 1994 24:00:00 GMT", None),
        (b"Sun, 06 Nov 0000 08:49:37 GMT", None),
        (b"0", None),
        (b"", None),
    ],
)
def test_dates(given_: bytes, seconds: int | None) -> None:
    assert dates.parse(given_) == seconds


def test_a_two_digit_year_is_never_far_in_the_future() -> None:
    now = 1_800_000_000  # 2027
    assert dates.parse(b"Sunday, 06-Nov-94 08:49:37 GMT", now) == 784111777
    late = dates.parse(b"Tuesday, 01-Jan-30 00:00:00 GMT", now)
    assert late is not None and late > now


@given(st.integers(0, 4_000_000_000))
def test_a_rendered_date_parses_to_the_same_time(seconds: int) -> None:
    assert dates.parse(dates.render(seconds)) == seconds


@given(BYTES)
def test_no_parser_raises_on_any_bytes(value: bytes) -> None:
    dates.parse(value, 1_800_000_000)
    found = directives.parse(value)
    for name in found.arguments:
        assert found.seconds(name) is None or 0 <= (found.seconds(name) or 0) <= directives.MAX_DELTA_S
        found.applies_to_whole(name)
        found.fields(name)
    directives.parse_targeted(value)
    split_members(value)
    vary.parse_names(value)
    vary.normalize(b"accept-encoding", value)
    targets.gauge_of(value)
    targets.same_origin_targets(b"api", b"/a/k1", [value])


@pytest.mark.parametrize(
    ("value", "name", "seconds"),
    [
        (b"max-age=5", b"max-age", 5),
        (b'max-age="5"', b"max-age", 5),
        (b"MAX-AGE=5", b"max-age", 5),
        (b"max-age", b"max-age", 0),
        (b"max-age=", b"max-age", 0),
        (b"max-age=5, max-age=5", b"max-age", 5),
        (b"max-age=5, max-age=6", b"max-age", 0),
        (b"max-age=5 6", b"max-age", 0),
        (b"max-age=99999999999999999999999", b"max-age", directives.MAX_DELTA_S),
        (b"max-age=2147483649", b"max-age", directives.MAX_DELTA_S),
        (b"foo=5", b"max-age", None),
        (b'foo="max-age=5"', b"max-age", None),
    ],
)
def test_seconds_of_directives(value: bytes, name: bytes, seconds: int | None) -> None:
    assert directives.parse(value).seconds(name) == seconds


@pytest.mark.parametrize(
    ("value", "bare", "fields"),
    [
        (b"private", True, set()),
        (b'private="X-A, x-b"', False, {b"x-a", b"x-b"}),
        (b"private=x-a", False, {b"x-a"}),
        (b'private=""', True, set()),
        (b'private="a b"', True, set()),
        (b'private="x-a', True, set()),
        (b'private="x-a", private', True, {b"x-a"}),
    ],
)
def test_directives_with_lists(value: bytes, bare: bool, fields: set[bytes]) -> None:
    found = directives.parse(value)
    assert found.applies_to_whole(b"private") is bare and found.fields(b"private") == fields


def test_an_unterminated_quote_hides_no_members() -> None:
    assert b"no-store" in directives.parse(b'foo="x, no-store')
    assert b"no-store" not in directives.parse(b'foo="x, no-store"')
    assert split_members(b'a, "b, c", "d\\", e"') == [b"a", b'"b, c"', b'"d\\", e"']


@pytest.mark.parametrize(
    ("value", "given_"),
    [
        (b"max-age=60", {b"max-age": [b"60"]}),
        (b"no-store", {b"no-store": [None]}),
        (b"no-store=?0, max-age=1", {b"max-age": [b"1"]}),
        (b'max-age="60"', {b"max-age": [b"60"]}),
        (b"max-age=60;x=1, foo=(a b)", {b"max-age": [b"60"], b"foo": [b""]}),
        (b"", None),
        (b"Max-Age=60", None),
        (b"max-age=60,", None),
    ],
)
def test_targeted_fields(value: bytes, given_: dict[bytes, list[bytes | None]] | None) -> None:
    found = directives.parse_targeted(value)
    assert (found.arguments if found is not None else None) == given_


@pytest.mark.parametrize(
    ("name", "one", "other", "same"),
    [
        (b"foo", b"a,  b", b"a, b", True),
        (b"foo", b"A", b"a", False),
        (b"foo", b'"a, b"', b'"a,b"', False),
        (b"foo", b"", b", ,", True),
        (b"accept-encoding", b"gzip , br", b"BR,GZIP", True),
        (b"accept-encoding", b"gzip;q=1.000, br", b"br, gzip", True),
        (b"accept-encoding", b"gzip;q=0.1", b"gzip;q=0.10", False),
        (b"accept-language", b"mn, en", b"en, mn", False),
        (b"accept-language", b"mn; Q = 0.5", b"mn;q=0.5", True),
    ],
)
def test_normal_forms(name: bytes, one: bytes, other: bytes, same: bool) -> None:
    assert (vary.normalize(name, one) == vary.normalize(name, other)) is same


def test_vary() -> None:
    assert vary.parse_names(b"Foo, accept,FOO") == (b"accept", b"foo")
    assert (
        vary.parse_names(None) == ()
        and vary.parse_names(b"a, *") is None
        and vary.parse_names(b"a b") is None
    )
    assert vary.secondary_key((b"a", b"b"), {b"a": b""}) == (b"", None)


def test_forwarded_fields() -> None:
    given_ = [(b"Connection", b"close, X-A"), (b"X-A", b"1"), (b"x-b", b"2"), (b"X-B", b"3"),
              (b"TE", b"trailers"), (b"Connection", b"cache-control"), (b"Cache-Control", b"no-store"),
              (b"Req-Id", b"1")]  # fmt: skip
    kept = end_to_end(given_, {b"req-id"})
    assert kept == [(b"x-b", b"2"), (b"X-B", b"3"), (b"Cache-Control", b"no-store")]
    assert parse_fields(format_fields(kept)) == kept
    assert combined([*kept, (b"Cookie", b"a=1"), (b"cookie", b"b=2")])[b"cookie"] == b"a=1; b=2"


def test_targets_that_an_unsafe_method_invalidates() -> None:
    def reached(value: bytes) -> list[bytes]:
        return targets.same_origin_targets(b"api:80", b"/a/k1?q", [value])

    assert reached(b"k2") == [b"/a/k2"] and reached(b"/b/k3?x=1") == [b"/b/k3?x=1"]
    assert reached(b"http://API/k4") == [b"/k4"] and reached(b"//api/k5") == [b"/k5"]
    others = (b"https://api/k", b"http://api:81/k", b"http://evil/k", b"//evil/k", b"http://[bad")
    for other in others:
        assert reached(other) == []


def test_gauges() -> None:
    assert targets.gauge_of(b"/api/v1/k%31?x=/y") == b"k1"
    assert targets.key(b"API", b"//k%31") == b"api //k%31"
