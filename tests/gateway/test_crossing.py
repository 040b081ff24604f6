"""What follows from each break of a request on the link, for each repeat class."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from magpiefront.gateway.crossing import Crossing, Next, Way
from magpiefront.interface import Repeat

S, K, U = Repeat.SAFE, Repeat.KEYED, Repeat.UNSAFE
SAME, OTHER, NONE = "e1", "e2", None
DEADLINE, WINDOW = 1_000_000, 600_000


def crossing(repeat: Repeat) -> Crossing:
    c = Crossing(repeat, DEADLINE, WINDOW)
    c.sent(0, SAME)
    return c


@pytest.mark.parametrize(("repeat", "never_ran", "now", "epoch", "budget", "home", "then"), [
    # Safe: again, else at home, else refused; whatever is known of it.
    (S, True, 100, SAME, True, True, Next.AGAIN), (S, False, 100, OTHER, True, True, Next.AGAIN),
    (S, False, 100, NONE, True, True, Next.HOME), (S, False, 100, SAME, False, True, Next.HOME),
    (S, False, 100, NONE, True, False, Next.REFUSE), (S, False, DEADLINE, SAME, True, True, Next.REFUSE),
    # Unsafe: only what never ran.
    (U, True, 100, OTHER, True, False, Next.AGAIN), (U, True, 100, NONE, True, False, Next.REFUSE),
    (U, True, 100, SAME, False, False, Next.REFUSE), (U, True, DEADLINE, SAME, True, False, Next.REFUSE),
    (U, False, 100, SAME, True, True, Next.FAIL), (U, False, 100, NONE, True, True, Next.FAIL),
    # Keyed: what never ran as unsafe; what may have run to the same start of the peer, within the window.
    (K, True, 100, OTHER, True, False, Next.AGAIN), (K, True, 100, NONE, True, False, Next.REFUSE),
    (K, False, 100, SAME, True, False, Next.AGAIN), (K, False, 100, OTHER, True, True, Next.FAIL),
    (K, False, 100, NONE, True, True, Next.WAIT), (K, False, 100, SAME, False, True, Next.WAIT),
    (K, False, WINDOW - 1, SAME, True, False, Next.AGAIN), (K, False, WINDOW, SAME, True, False, Next.FAIL),
    (K, False, WINDOW, NONE, True, True, Next.FAIL), (K, False, DEADLINE, SAME, True, False, Next.FAIL),
])  # fmt: skip
def test_after_a_break(
    repeat: Repeat, never_ran: bool, now: int, epoch: str | None, budget: bool, home: bool, then: Next
) -> None:
    assert crossing(repeat).broken(now, never_ran, Way(epoch, budget, home)) is then


def test_what_may_have_run_once_may_have_run_for_good() -> None:
    c = crossing(K)
    assert c.broken(100, False, Way(SAME, True, False)) is Next.AGAIN
    c.sent(200, SAME)
    assert c.age_us(300) == 300  # from the first send that may have run
    assert c.broken(300, True, Way(OTHER, True, False)) is Next.FAIL
    u = crossing(U)
    assert u.broken(100, True, Way(OTHER, True, False)) is Next.AGAIN
    u.sent(200, OTHER)
    assert u.epoch == OTHER and u.age_us(300) == 0
    assert u.broken(300, False, Way(OTHER, True, False)) is Next.FAIL


@pytest.mark.parametrize(("ran_at", "store", "now", "then"), [
    ("s1", "s1", 100, Next.AGAIN), ("s1", "s2", 100, Next.FAIL), ("", "", 100, Next.FAIL),
    ("s1", "", 100, Next.FAIL), ("s1", "s1", WINDOW, Next.FAIL), ("s1", "s1", DEADLINE, Next.FAIL),
])  # fmt: skip
def test_another_process_is_asked_only_where_both_look_into_one_store(
    ran_at: str, store: str, now: int, then: Next
) -> None:
    c = Crossing(K, DEADLINE, WINDOW)
    c.sent(0, SAME, ran_at)
    assert c.broken(now, False, Way(OTHER, False, False, store=store)) is then


def test_one_that_another_process_sent_counts_from_then() -> None:
    c = Crossing(K, DEADLINE, WINDOW)
    c.resumed(-200_000)
    assert c.next(0, Way(NONE, True, False)) is Next.WAIT and c.age_us(0) == 200_000
    c.sent(0, SAME, "s1")
    assert c.age_us(100) == 200_100
    assert c.broken(100, True, Way(OTHER, True, False, store="s2")) is Next.FAIL
    assert c.next(100, Way(OTHER, True, False, store="s1")) is Next.AGAIN
    assert c.next(399_999, Way(SAME, True, False)) is Next.AGAIN
    assert c.next(400_000, Way(SAME, True, False)) is Next.FAIL


def test_tries_are_bounded() -> None:
    for repeat, last in ((S, Next.HOME), (K, Next.REFUSE), (U, Next.REFUSE)):
        c, way = crossing(repeat), Way(SAME, True, True)
        tries = 1
        while c.broken(100, True, way) is Next.AGAIN:
            c.sent(100, SAME)
            tries += 1
        assert tries == 3 and c.next(100, way) is last


@pytest.mark.parametrize(("repeat", "sent", "then"), [
    (S, True, Next.REFUSE), (K, True, Next.FAIL), (U, True, Next.FAIL),
    (S, False, Next.REFUSE), (K, False, Next.REFUSE), (U, False, Next.REFUSE),
])  # fmt: skip
def test_when_its_time_is_up(repeat: Repeat, sent: bool, then: Next) -> None:
    c = crossing(repeat) if sent else Crossing(repeat, DEADLINE, WINDOW)
    assert c.timed_out() is then


@given(
    st.sampled_from([S, K, U]),
    st.lists(st.tuples(st.integers(0, 400_000), st.booleans(), st.sampled_from([SAME, OTHER, NONE]),
                       st.booleans(), st.booleans()), max_size=8),
)  # fmt: skip
def test_nothing_that_may_have_run_is_sent_where_it_could_run_again(
    repeat: Repeat, breaks: list[tuple[int, bool, str | None, bool, bool]]
) -> None:
    """Against a peer that runs whatever it is sent, and a window counted by the test itself."""
    c, now = Crossing(repeat, DEADLINE, WINDOW, most_tries=5), 0
    c.sent(0, SAME)
    ran: dict[str, int] = {}  # by epoch: when it may have run first
    at: str = SAME
    sent = 0
    for wait, never, epoch, budget, home in breaks:
        now += wait
        if not never:
            ran.setdefault(at, sent)
        then = c.broken(now, never, Way(epoch, budget, home))
        if then is Next.AGAIN:
            assert epoch is not None and budget and now < DEADLINE
            if repeat is U:
                assert not ran
            if repeat is K and ran:
                assert set(ran) == {epoch} and now - min(ran.values()) < WINDOW
            c.sent(now, epoch)
            at, sent = epoch, now
            continue
        assert then is not Next.HOME or (repeat is S and home)
        assert then is not Next.REFUSE or repeat is S or not ran
        assert then is not Next.WAIT or (repeat is K and bool(ran))
        return
