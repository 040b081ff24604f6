"""When a connection may carry another request: the states, and how long the rest is."""

from __future__ import annotations

from random import Random

import pytest

from magpiefront.reuse import (
    CALM_S,
    LATEST_COPY_S,
    MOST_REST_S,
    REST_S,
    Lifecycle,
    RestPolicy,
    State,
    StrayReason,
)


def life(state: State, answers: int = 1, answered_at: float = 10.0) -> Lifecycle:
    made = Lifecycle()
    made.state, made.answers, made.answered_at = state, answers, answered_at
    return made


@pytest.mark.parametrize(
    ("state", "after_s", "idle", "stray", "may_begin"),
    [
        (State.CONNECTING, 9.0, False, None, True),
        (State.BUSY, 9.0, False, None, False),
        (State.RESTING, 0.0, False, StrayReason.RESTING, False),
        (State.RESTING, REST_S - 0.001, False, StrayReason.RESTING, False),
        (State.RESTING, REST_S + 0.001, True, StrayReason.IDLE, True),
        (State.IDLE, 9.0, True, StrayReason.IDLE, True),
        (State.CLOSED, 9.0, False, None, False),
    ],
)
def test_a_connection_that_may_yet_bring_an_older_answer_carries_no_request(
    state: State, after_s: float, idle: bool, stray: StrayReason | None, may_begin: bool
) -> None:
    c = life(state)
    assert c.rested(c.answered_at + after_s, REST_S) is idle
    assert c.stray() is stray
    if may_begin:
        c.begin()
        assert c.state is State.BUSY
    else:
        with pytest.raises(ValueError):
            c.begin()


@pytest.mark.parametrize(("reusable", "state"), [(True, State.RESTING), (False, State.CLOSED)])
def test_after_its_answer_a_connection_rests_or_is_closed(reusable: bool, state: State) -> None:
    c = life(State.BUSY, answers=0)
    c.answered(12.0, reusable)
    assert (c.state, c.answers, c.answered_at) == (state, 1, 12.0)


def test_a_connection_that_was_taken_for_nothing_rests_once_more() -> None:
    c = life(State.IDLE)
    c.stand_by(20.0)
    assert c.state is State.RESTING and not c.rested(20.1, REST_S) and c.rested(20.0 + REST_S, REST_S)


def test_a_connection_that_has_carried_nothing_may_be_used_at_once() -> None:
    c = life(State.CONNECTING, answers=0)
    c.stand_by(20.0)
    assert c.rested(20.0, REST_S) and not c.is_early(False, 1)


@pytest.mark.parametrize(
    ("answers", "sent", "unacknowledged", "early"),
    [
        (0, False, 9, False),  # nothing else can be answering on a connection that carried nothing yet
        (1, True, 0, False),
        (1, False, 0, True),
        (1, True, 1, True),
    ],
)
def test_what_comes_before_the_node_has_the_request_is_not_its_answer(
    answers: int, sent: bool, unacknowledged: int, early: bool
) -> None:
    assert life(State.BUSY, answers).is_early(sent, unacknowledged) is early


@pytest.mark.parametrize(
    ("late_s", "after_s", "rest_s"),
    [
        (0.1, 0.0, REST_S),  # the rest is twice as long already
        (0.8, 0.0, 1.6),
        (0.8, CALM_S, 0.8),
        (0.8, 20 * CALM_S, REST_S),
        (LATEST_COPY_S, 0.0, MOST_REST_S),
        (LATEST_COPY_S + 1, 0.0, REST_S),  # a node's last words, and no copy
    ],
)
def test_no_connection_that_rested_less_than_a_copy_was_late_is_used_again(
    late_s: float, after_s: float, rest_s: float
) -> None:
    policy = RestPolicy()
    assert policy.rest_s(100.0) == REST_S
    policy.saw_stray(late_s, 100.0)
    assert policy.rest_s(100.0 + after_s) == pytest.approx(rest_s)


def test_a_second_copy_that_is_less_late_shortens_no_rest() -> None:
    policy = RestPolicy()
    policy.saw_stray(1.5, 100.0)
    policy.saw_stray(0.1, 101.0)
    assert policy.rest_s(101.0) > 2.9


def test_what_a_pool_finds_rested_may_be_used_to_the_last_bit_of_its_clock() -> None:
    random = Random(7)
    for _ in range(20_000):
        now = random.uniform(0, 1e6)
        at = now - REST_S
        assert life(State.RESTING, answered_at=at).rested(now, REST_S)
