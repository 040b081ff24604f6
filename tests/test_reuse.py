"""Tests of connection reuse: the states of a connection, and how long it rests between requests."""

from __future__ import annotations

from random import Random

import pytest

from magpiefront.reuse import (
    DELAY_HALF_LIFE_S,
    MAX_DUPLICATE_DELAY_S,
    MAX_REST_S,
    MIN_REST_S,
    ConnectionLifecycle,
    RestPolicy,
    ConnectionState,
    StrayReason,
)


def lifecycle(state: ConnectionState, answers: int = 1, answered_at: float = 10.0) -> ConnectionLifecycle:
    result = ConnectionLifecycle()
    result.state, result.answers, result.answered_at = state, answers, answered_at
    return result


@pytest.mark.parametrize(
    ("state", "after_s", "idle", "stray", "may_begin"),
    [
        (ConnectionState.CONNECTING, 9.0, False, None, True),
        (ConnectionState.BUSY, 9.0, False, None, False),
        (ConnectionState.RESTING, 0.0, False, StrayReason.RESTING, False),
        (ConnectionState.RESTING, MIN_REST_S - 0.001, False, StrayReason.RESTING, False),
        (ConnectionState.RESTING, MIN_REST_S + 0.001, True, StrayReason.IDLE, True),
        (ConnectionState.IDLE, 9.0, True, StrayReason.IDLE, True),
        (ConnectionState.CLOSED, 9.0, False, None, False),
    ],
)
def test_connection_that_may_still_bring_an_old_answer_carries_no_request(
    state: ConnectionState, after_s: float, idle: bool, stray: StrayReason | None, may_begin: bool
) -> None:
    connection = lifecycle(state)
    assert connection.end_rest(connection.answered_at + after_s, MIN_REST_S) is idle
    assert connection.stray_reason() is stray
    if may_begin:
        connection.begin_request()
        assert connection.state is ConnectionState.BUSY
    else:
        with pytest.raises(ValueError):
            connection.begin_request()


@pytest.mark.parametrize(
    ("reusable", "state"), [(True, ConnectionState.RESTING), (False, ConnectionState.CLOSED)]
)
def test_connection_rests_or_closes_after_an_answer(reusable: bool, state: ConnectionState) -> None:
    connection = lifecycle(ConnectionState.BUSY, answers=0)
    connection.end_request(12.0, reusable)
    assert (connection.state, connection.answers, connection.answered_at) == (state, 1, 12.0)


def test_connection_released_unused_rests_again() -> None:
    connection = lifecycle(ConnectionState.IDLE)
    connection.release_unused(20.0)
    assert (
        connection.state is ConnectionState.RESTING
        and not connection.end_rest(20.1, MIN_REST_S)
        and connection.end_rest(20.0 + MIN_REST_S, MIN_REST_S)
    )


def test_connection_without_an_answer_may_be_used_at_once() -> None:
    connection = lifecycle(ConnectionState.CONNECTING, answers=0)
    connection.release_unused(20.0)
    assert connection.end_rest(20.0, MIN_REST_S) and not connection.precedes_request(False, 1)


@pytest.mark.parametrize(
    ("answers", "sent", "unacknowledged", "early"),
    [
        (0, False, 9, False),  # no earlier request can still be answered on it
        (1, True, 0, False),
        (1, False, 0, True),
        (1, True, 1, True),
    ],
)
def test_bytes_sent_before_the_node_has_the_request_are_not_its_answer(
    answers: int, sent: bool, unacknowledged: int, early: bool
) -> None:
    assert lifecycle(ConnectionState.BUSY, answers).precedes_request(sent, unacknowledged) is early


@pytest.mark.parametrize(
    ("delay_s", "after_s", "rest_s"),
    [
        (0.1, 0.0, MIN_REST_S),  # the shortest rest is over twice as long
        (0.8, 0.0, 1.6),
        (0.8, DELAY_HALF_LIFE_S, 0.8),
        (0.8, 20 * DELAY_HALF_LIFE_S, MIN_REST_S),
        (MAX_DUPLICATE_DELAY_S, 0.0, MAX_REST_S),
        (MAX_DUPLICATE_DELAY_S + 1, 0.0, MIN_REST_S),  # a node's final message, not a duplicate
    ],
)
def test_rest_is_longer_than_the_expected_delay_of_a_duplicate(
    delay_s: float, after_s: float, rest_s: float
) -> None:
    policy = RestPolicy()
    assert policy.rest_s(100.0) == MIN_REST_S
    policy.record_stray(delay_s, 100.0)
    assert policy.rest_s(100.0 + after_s) == pytest.approx(rest_s)


def test_a_duplicate_with_less_delay_does_not_shorten_the_rest() -> None:
    policy = RestPolicy()
    policy.record_stray(1.5, 100.0)
    policy.record_stray(0.1, 101.0)
    assert policy.rest_s(101.0) > 2.9


def test_end_rest_agrees_with_the_pool_despite_rounding() -> None:
    random = Random(7)
    for _ in range(20_000):
        now = random.uniform(0, 1e6)
        answered_at = now - MIN_REST_S
        assert lifecycle(ConnectionState.RESTING, answered_at=answered_at).end_rest(now, MIN_REST_S)
