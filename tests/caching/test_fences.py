"""Tests of the gauges that are closed to storing during and after writes."""

from __future__ import annotations

from magpiefront.caching.fences import StoreFences


def test_a_gauge_is_closed_while_any_write_to_it_is_open() -> None:
    f = StoreFences(1_000)
    f.begin(b"a")
    f.begin(b"a")
    assert f.is_closed(b"a", 0) and not f.is_closed(b"b", 0)
    f.end(b"a", 10, True)
    assert f.is_closed(b"a", 10)
    f.end(b"a", 20, True)
    assert not f.is_closed(b"a", 20) and not f.open_writes


def test_an_unknown_outcome_extends_the_closed_time() -> None:
    f = StoreFences(1_000)
    for gauge, now_us in ((b"a", 0), (b"b", 500)):
        f.begin(gauge)
        f.end(gauge, now_us, False)
    assert f.is_closed(b"a", 999) and f.is_closed(b"b", 999)
    assert not f.is_closed(b"a", 1_000) and f.is_closed(b"b", 1_499)
    f.begin(b"b")
    f.end(b"b", 1_400, False)
    assert f.is_closed(b"b", 2_399) and not f.is_closed(b"b", 2_400)
    assert not f.unknown_until_us


def test_too_many_unknown_outcomes_close_all_gauges() -> None:
    f = StoreFences(1_000, max_unknown=3)
    for n in range(5):
        f.begin(b"%d" % n)
        f.end(b"%d" % n, n, False)
    assert len(f.unknown_until_us) == 3 and f.is_closed(b"other", 1_000)
    assert not f.is_closed(b"other", 1_001) and f.is_closed(b"4", 1_003)
