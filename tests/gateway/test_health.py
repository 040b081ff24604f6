"""Connection states from PINGs, and pauses between connection attempts."""

from __future__ import annotations

from random import Random

from magpiefront.gateway.health import Backoff, ConnectionHealth
from magpiefront.gateway.routes import LinkState
from magpiefront.gateway.settings import LinkSettings

SETTINGS = LinkSettings(ping_interval_us=250_000, ping_timeout_us=1_000_000)


def health(now: int = 0) -> ConnectionHealth:
    return ConnectionHealth(SETTINGS, now, Random(1))


def settled_health(rounds: int = 20, round_trip_us: int = 40_000) -> tuple[ConnectionHealth, int]:
    h, now = health(), 0
    for _ in range(rounds):
        now = max(now, h.due_us)
        assert h.tick(now)
        now += round_trip_us
        h.pong_received(now)
    return h, now


def test_round_trips_are_smoothed_and_pings_spread() -> None:
    h, now = settled_health()
    assert 39_000 < h.round_trip_us <= 40_000 and h.state is LinkState.UP
    gaps = set()
    for _ in range(20):
        gaps.add(h.due_us - now)
        now = h.due_us
        assert h.tick(now) and not h.tick(now + 1)
        h.pong_received(now + 40_000)
        now += 40_000
    assert len(gaps) > 10 and all(187_500 <= g <= 312_500 for g in gaps)


def test_a_late_pong_makes_a_connection_suspect_and_a_missing_one_takes_it_down() -> None:
    h, now = settled_health()
    now = h.due_us
    h.tick(now)
    h.tick(h.due_us)
    assert h.state.value == "suspect" and now < h.due_us == now + 1_000_000
    h.pong_received(now + 500_000)
    assert h.state.value == "up"
    now = h.due_us
    h.tick(now)
    h.tick(now + 400_000)
    h.tick(now + 1_000_000)
    assert h.state is LinkState.DOWN and "1000 ms" in h.cause
    assert not h.tick(now + 2_000_000)
    h.pong_received(now + 2_000_000)


def test_a_slow_link_is_not_suspect_for_being_slow() -> None:
    h, _ = settled_health(round_trip_us=300_000)
    now = h.due_us
    h.tick(now)
    h.tick(now + 330_000)
    assert h.state is LinkState.UP


def test_data_received_after_a_pause_is_stale() -> None:
    h, now = settled_health()
    assert not h.is_stale(h.due_us + 900_000) and h.is_stale(h.due_us + 1_000_000)  # no PING was sent
    now = h.due_us
    h.tick(now)
    assert not h.is_stale(now + 999_999) and h.is_stale(now + 1_000_000)


def test_a_draining_connection_stays_so_until_it_is_down() -> None:
    h, now = settled_health()
    h.start_draining("the peer goes away")
    h.tick(h.due_us)
    h.pong_received(now + 600_000)
    assert h.state.value == "draining"
    h.mark_down("it ended")
    assert h.state is LinkState.DOWN


def test_pauses_grow_with_jitter_and_a_flapping_link_does_not_reset_them() -> None:
    b = Backoff(LinkSettings(), Random(3))
    pauses = []
    for _ in range(10):
        b.connection_lasted(100_000)  # too short to count
        pauses.append(b.next_pause_us())
    for n, pause in enumerate(pauses):
        limit_us = min(2_000_000, 50_000 * 2**n)
        assert limit_us // 4 <= pause <= limit_us
    assert pauses[9] > 400_000
    b.connection_lasted(1_000_000)
    assert b.next_pause_us() <= 50_000
