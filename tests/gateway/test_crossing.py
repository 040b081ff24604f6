"""Tests of `RetryState`: the step after a failed attempt over the link, for each repeat policy."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from magpiefront.gateway.retry_state import RetryState, NextStep, RetryOptions
from magpiefront.interface import Repeat

S, K, U = Repeat.SAFE, Repeat.KEYED, Repeat.UNSAFE
SAME, OTHER, NONE = "e1", "e2", None
DEADLINE, WINDOW = 1_000_000, 600_000


def after_one_attempt(repeat: Repeat) -> RetryState:
    """Returns the state of a request that was sent once, at 0, to the peer with the epoch `SAME`."""
    state = RetryState(repeat, DEADLINE, WINDOW)
    state.record_sent(0, SAME)
    return state


@pytest.mark.parametrize(("repeat", "never_ran", "now", "epoch", "budget", "can_serve_here", "step"), [
    # Safe, whether or not it may have run: retried, else served at this site, else refused.
    (S, True, 100, SAME, True, True, NextStep.RETRY), (S, False, 100, OTHER, True, True, NextStep.RETRY),
    (S, False, 100, NONE, True, True, NextStep.SERVE_HERE),
    (S, False, 100, SAME, False, True, NextStep.SERVE_HERE),
    (S, False, 100, NONE, True, False, NextStep.REFUSE),
    (S, False, DEADLINE, SAME, True, True, NextStep.REFUSE),
    # Unsafe: retried only if it never ran.
    (U, True, 100, OTHER, True, False, NextStep.RETRY), (U, True, 100, NONE, True, False, NextStep.REFUSE),
    (U, True, 100, SAME, False, False, NextStep.REFUSE),
    (U, True, DEADLINE, SAME, True, False, NextStep.REFUSE),
    (U, False, 100, SAME, True, True, NextStep.FAIL), (U, False, 100, NONE, True, True, NextStep.FAIL),
    # Keyed: like unsafe if it never ran; else retried only at a peer with the same epoch, within the window.
    (K, True, 100, OTHER, True, False, NextStep.RETRY), (K, True, 100, NONE, True, False, NextStep.REFUSE),
    (K, False, 100, SAME, True, False, NextStep.RETRY), (K, False, 100, OTHER, True, True, NextStep.FAIL),
    (K, False, 100, NONE, True, True, NextStep.WAIT), (K, False, 100, SAME, False, True, NextStep.WAIT),
    (K, False, WINDOW - 1, SAME, True, False, NextStep.RETRY),
    (K, False, WINDOW, SAME, True, False, NextStep.FAIL),
    (K, False, WINDOW, NONE, True, True, NextStep.FAIL),
    (K, False, DEADLINE, SAME, True, False, NextStep.FAIL),
])  # fmt: skip
def test_the_step_after_a_failed_attempt(
    repeat: Repeat,
    never_ran: bool,
    now: int,
    epoch: str | None,
    budget: bool,
    can_serve_here: bool,
    step: NextStep,
) -> None:
    assert (
        after_one_attempt(repeat).attempt_failed(now, never_ran, RetryOptions(epoch, budget, can_serve_here))
        is step
    )


def test_a_later_attempt_that_never_ran_does_not_clear_may_have_run() -> None:
    state = after_one_attempt(K)
    assert state.attempt_failed(100, False, RetryOptions(SAME, True, False)) is NextStep.RETRY
    state.record_sent(200, SAME)
    assert state.age_us(300) == 300  # from the first attempt that may have run
    assert state.attempt_failed(300, True, RetryOptions(OTHER, True, False)) is NextStep.FAIL
    u = after_one_attempt(U)
    assert u.attempt_failed(100, True, RetryOptions(OTHER, True, False)) is NextStep.RETRY
    u.record_sent(200, OTHER)
    assert u.epoch == OTHER and u.age_us(300) == 0
    assert u.attempt_failed(300, False, RetryOptions(OTHER, True, False)) is NextStep.FAIL


@pytest.mark.parametrize(("ran_at", "store", "now", "step"), [
    ("s1", "s1", 100, NextStep.RETRY), ("s1", "s2", 100, NextStep.FAIL), ("", "", 100, NextStep.FAIL),
    ("s1", "", 100, NextStep.FAIL), ("s1", "s1", WINDOW, NextStep.FAIL),
    ("s1", "s1", DEADLINE, NextStep.FAIL),
])  # fmt: skip
def test_another_process_is_asked_only_if_both_use_the_same_store(
    ran_at: str, store: str, now: int, step: NextStep
) -> None:
    state = RetryState(K, DEADLINE, WINDOW)
    state.record_sent(0, SAME, ran_at)
    assert state.attempt_failed(now, False, RetryOptions(OTHER, False, False, store=store)) is step


def test_the_age_of_a_resumed_request_counts_from_its_first_attempt() -> None:
    state = RetryState(K, DEADLINE, WINDOW)
    state.resume(-200_000)
    assert state.next_step(0, RetryOptions(NONE, True, False)) is NextStep.WAIT and state.age_us(0) == 200_000
    state.record_sent(0, SAME, "s1")
    assert state.age_us(100) == 200_100
    assert state.attempt_failed(100, True, RetryOptions(OTHER, True, False, store="s2")) is NextStep.FAIL
    assert state.next_step(100, RetryOptions(OTHER, True, False, store="s1")) is NextStep.RETRY
    assert state.next_step(399_999, RetryOptions(SAME, True, False)) is NextStep.RETRY
    assert state.next_step(400_000, RetryOptions(SAME, True, False)) is NextStep.FAIL


def test_the_number_of_attempts_is_bounded() -> None:
    for repeat, last in ((S, NextStep.SERVE_HERE), (K, NextStep.REFUSE), (U, NextStep.REFUSE)):
        state, options = after_one_attempt(repeat), RetryOptions(SAME, True, True)
        attempts = 1
        while state.attempt_failed(100, True, options) is NextStep.RETRY:
            state.record_sent(100, SAME)
            attempts += 1
        assert attempts == 3 and state.next_step(100, options) is last


@pytest.mark.parametrize(("repeat", "sent", "step"), [
    (S, True, NextStep.REFUSE), (K, True, NextStep.FAIL), (U, True, NextStep.FAIL),
    (S, False, NextStep.REFUSE), (K, False, NextStep.REFUSE), (U, False, NextStep.REFUSE),
])  # fmt: skip
def test_the_step_at_the_deadline(repeat: Repeat, sent: bool, step: NextStep) -> None:
    state = after_one_attempt(repeat) if sent else RetryState(repeat, DEADLINE, WINDOW)
    assert state.timed_out() is step


@given(
    st.sampled_from([S, K, U]),
    st.lists(st.tuples(st.integers(0, 400_000), st.booleans(), st.sampled_from([SAME, OTHER, NONE]),
                       st.booleans(), st.booleans()), max_size=8),
)  # fmt: skip
def test_a_request_that_may_have_run_is_not_sent_where_it_could_run_again(
    repeat: Repeat, breaks: list[tuple[int, bool, str | None, bool, bool]]
) -> None:
    """The peer runs whatever it is sent; the test computes the retry window itself."""
    state, now = RetryState(repeat, DEADLINE, WINDOW, max_attempts=5), 0
    state.record_sent(0, SAME)
    ran: dict[str, int] = {}  # by epoch: first time at which it may have run
    at: str = SAME
    sent = 0
    for wait, never_ran, epoch, budget, can_serve_here in breaks:
        now += wait
        if not never_ran:
            ran.setdefault(at, sent)
        step = state.attempt_failed(now, never_ran, RetryOptions(epoch, budget, can_serve_here))
        if step is NextStep.RETRY:
            assert epoch is not None and budget and now < DEADLINE
            if repeat is U:
                assert not ran
            if repeat is K and ran:
                assert set(ran) == {epoch} and now - min(ran.values()) < WINDOW
            state.record_sent(now, epoch)
            at, sent = epoch, now
            continue
        assert step is not NextStep.SERVE_HERE or (repeat is S and can_serve_here)
        assert step is not NextStep.REFUSE or repeat is S or not ran
        assert step is not NextStep.WAIT or (repeat is K and bool(ran))
        return
