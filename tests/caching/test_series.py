"""Tests two caches in series (RFC 9111, 4.2.3): no client gets a response past its lifetime."""

from __future__ import annotations

from random import Random

import pytest

from magpiefront.caching import dates, rules
from magpiefront.caching.rules import OriginResponse, CacheRequest, US_PER_S, Serve, StoredResponse
from magpiefront.caching.settings import Policy
from magpiefront.net.fields import parse_fields

P = Policy()
REQUEST = CacheRequest(b"GET", {})


class Cache:
    """A cache that consists of the rules alone, with a wall clock that may be wrong by hours and jump."""

    def __init__(self, random: Random) -> None:
        self.random, self.skew_s = random, random.choice((0.0, 0.0, -3600.0, 3600.0, 7.3))
        self.stored: StoredResponse | None = None

    def wall_s(self, now_us: int) -> float:
        if self.random.random() < 0.05:
            self.skew_s += self.random.choice((-3600.0, 3600.0))
        return 1_800_000_000 + now_us / US_PER_S + self.skew_s


def simulate(seed: int, rounds_down: bool = False) -> int:
    """Sends 60 requests through the outer cache, and returns how many it answered from its store.

    Raises AssertionError if a cache serves a response past its lifetime.
    """
    random = Random(seed)
    now, hits = 0, 0
    origin_skew = random.choice((0.0, -3600.0, 3600.0, -5.0))
    inner, outer = Cache(random), Cache(random)
    generated_us: dict[bytes, int] = {}
    lifetime_s = random.choice((1, 2, 5, 30))

    def from_origin() -> tuple[list[tuple[bytes, bytes]], bytes]:
        body = b"%d" % len(generated_us)
        generated_us[body] = now
        date = int(1_800_000_000 + now / US_PER_S + origin_skew)
        fields = [(b"Cache-Control", b"max-age=%d" % lifetime_s), (b"Date", dates.render(date))]
        if random.random() < 0.1:
            fields.pop()
        return fields, body

    def fetch(cache: Cache) -> tuple[list[tuple[bytes, bytes]], bytes]:
        nonlocal now, hits
        choice = rules.choose(REQUEST, (cache.stored,) if cache.stored else (), now, P)
        if isinstance(choice, Serve):
            hits += cache is outer
            v = choice.stored
            # The age since generation, independent of all wall clocks and delays.
            assert now - generated_us[v.body] < lifetime_s * US_PER_S, (
                seed,
                cache is outer,
                now - generated_us[v.body],
            )
            age = v.age_us(now) // US_PER_S if rounds_down else -(-v.age_us(now) // US_PER_S)
            return [*parse_fields(v.head), (b"Age", b"%d" % age)], v.body
        sent = now
        now += random.randrange(0, 800_000)
        fields, body = fetch(inner) if cache is outer else from_origin()
        now += random.randrange(0, 800_000)
        response = OriginResponse(200, list(fields), cache.wall_s(now), P)
        cache.stored = rules.build_stored(response, REQUEST, body, sent, now, P)
        return response.fields, body

    for _ in range(60):
        now += random.randrange(0, 2_000_000)
        fetch(outer)
    return hits


def test_no_response_is_served_past_its_lifetime() -> None:
    hits = sum(simulate(seed) for seed in range(600))
    assert hits > 3_000  # the outer cache does serve responses itself


def test_rounding_ages_down_is_detected() -> None:
    with pytest.raises(AssertionError):
        for seed in range(600):
            simulate(seed, rounds_down=True)
