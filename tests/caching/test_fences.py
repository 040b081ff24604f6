"""When nothing may be kept of a gauge."""

from __future__ import annotations

from magpiefront.caching.fences import Fences


def test_a_gauge_is_closed_while_any_write_of_it_runs() -> None:
    f = Fences(1_000)
    f.begin(b"a")
    f.begin(b"a")
    assert f.closed(b"a", 0) and not f.closed(b"b", 0)
    f.end(b"a", 10, True)
    assert f.closed(b"a", 10)
    f.end(b"a", 20, True)
    assert not f.closed(b"a", 20) and not f.open


def test_an_unknown_outcome_closes_it_for_longer() -> None:
    f = Fences(1_000)
    for name, at in ((b"a", 0), (b"b", 500)):
        f.begin(name)
        f.end(name, at, False)
    assert f.closed(b"a", 999) and f.closed(b"b", 999)
    assert not f.closed(b"a", 1_000) and f.closed(b"b", 1_499)
    f.begin(b"b")
    f.end(b"b", 1_400, False)
    assert f.closed(b"b", 2_399) and not f.closed(b"b", 2_400)
    assert not f.unsure


def test_more_unknown_outcomes_than_it_remembers_close_all() -> None:
    f = Fences(1_000, most=3)
    for n in range(5):
        f.begin(b"%d" % n)
        f.end(b"%d" % n, n, False)
    assert len(f.unsure) == 3 and f.closed(b"other", 1_000)
    assert not f.closed(b"other", 1_001) and f.closed(b"4", 1_003)
