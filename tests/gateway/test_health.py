"""PINGs, states of a connection, and pauses between tries to connect."""

from __future__ import annotations

from random import Random

from magpiefront.gateway.health import Backoff, Health
from magpiefront.gateway.routes import LinkState
from magpiefront.gateway.settings import LinkSettings

SET = LinkSettings(ping_interval_us=250_000, ping_timeout_us=1_000_000)


def health(now: int = 0) -> Health:
    return Health(SET, now, Random(1))


def settled(rounds: int = 20, took: int = 40_000) -> tuple[Health, int]:
    h, now = health(), 0
    for _ in range(rounds):
        now = max(now, h.due_us)
        assert h.tick(now)
        now += took
        h.pong(now)
    return h, now


def test_round_trips_are_smoothed_and_pings_spread() -> None:
    h, now = settled()
    assert 39_000 < h.round_us <= 40_000 and h.state is LinkState.UP
    gaps = set()
    for _ in range(20):
        gaps.add(h.due_us - now)
        now = h.due_us
        assert h.tick(now) and not h.tick(now + 1)
        h.pong(now + 40_000)
        now += 40_000
    assert len(gaps) > 10 and all(187_500 <= g <= 312_500 for g in gaps)


def test_a_late_answer_makes_it_suspect_and_none_at_all_down() -> None:
    h, now = settled()
    now = h.due_us
    h.tick(now)
    h.tick(h.due_us)
    assert h.state.value == "suspect" and now < h.due_us == now + 1_000_000
    h.pong(now + 500_000)
    assert h.state.value == "up"
    now = h.due_us
    h.tick(now)
    h.tick(now + 400_000)
    h.tick(now + 1_000_000)
    assert h.state is LinkState.DOWN and "1000 ms" in h.cause
    assert not h.tick(now + 2_000_000)
    h.pong(now + 2_000_000)


def test_a_slow_link_is_not_suspect_for_being_slow() -> None:
    h, _ = settled(took=300_000)
    now = h.due_us
    h.tick(now)
    h.tick(now + 330_000)
    assert h.state is LinkState.UP


def test_what_comes_after_a_pause_is_stale() -> None:
    h, now = settled()
    assert not h.stale(h.due_us + 900_000) and h.stale(h.due_us + 1_000_000)  # no PING was even sent
    now = h.due_us
    h.tick(now)
    assert not h.stale(now + 999_999) and h.stale(now + 1_000_000)


def test_draining_stays_until_it_is_down() -> None:
    h, now = settled()
    h.drain("the peer goes away")
    h.tick(h.due_us)
    h.pong(now + 600_000)
    assert h.state.value == "draining"
    h.down("it ended")
    assert h.state is LinkState.DOWN


def test_pauses_grow_with_jitter_and_a_flapping_link_does_not_reset_them() -> None:
    b = Backoff(LinkSettings(), Random(3))
    pauses = []
    for _ in range(10):
        b.lived(100_000)  # too short to count
        pauses.append(b.pause_us())
    for n, pause in enumerate(pauses):
        most = min(2_000_000, 50_000 * 2**n)
        assert most // 4 <= pause <= most
    assert pauses[9] > 400_000
    b.lived(1_000_000)
    assert b.pause_us() <= 50_000
