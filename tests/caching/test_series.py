"""Two caches in a row (RFC 9111, 4.2.3): no client sees a value that the inner one would not serve."""

from __future__ import annotations

from random import Random

import pytest

from magpiefront.caching import dates, rules
from magpiefront.caching.rules import Answered, Asked, S, Serve, Stored
from magpiefront.caching.settings import Policy
from magpiefront.net.fields import read_lines

P = Policy()
ASKED = Asked(b"GET", {})


class Layer:
    """One cache by the rules alone, with a clock of its own that may be hours wrong and leap."""

    def __init__(self, random: Random) -> None:
        self.random, self.skew_s = random, random.choice((0.0, 0.0, -3600.0, 3600.0, 7.3))
        self.kept: Stored | None = None

    def wall(self, now_us: int) -> float:
        if self.random.random() < 0.05:
            self.skew_s += self.random.choice((-3600.0, 3600.0))
        return 1_800_000_000 + now_us / S + self.skew_s


def play(seed: int, rounds_down: bool = False) -> int:
    """How many answers the outer one gave from its own store. Raises AssertionError."""
    random = Random(seed)
    now, hits = 0, 0
    origin_skew = random.choice((0.0, -3600.0, 3600.0, -5.0))
    inner, outer = Layer(random), Layer(random)
    made: dict[bytes, int] = {}
    life = random.choice((1, 2, 5, 30))

    def from_origin() -> tuple[list[tuple[bytes, bytes]], bytes]:
        body = b"%d" % len(made)
        made[body] = now
        date = int(1_800_000_000 + now / S + origin_skew)
        fields = [(b"Cache-Control", b"max-age=%d" % life), (b"Date", dates.render(date))]
        if random.random() < 0.1:
            fields.pop()
        return fields, body

    def ask(layer: Layer) -> tuple[list[tuple[bytes, bytes]], bytes]:
        nonlocal now, hits
        choice = rules.choose(ASKED, (layer.kept,) if layer.kept else (), now, P)
        if isinstance(choice, Serve):
            hits += layer is outer
            v = choice.stored
            # From the moment it was made, whatever the clocks and the ways.
            assert now - made[v.body] < life * S, (seed, layer is outer, now - made[v.body])
            age = v.age_us(now) // S if rounds_down else -(-v.age_us(now) // S)
            return [*read_lines(v.head), (b"Age", b"%d" % age)], v.body
        sent = now
        now += random.randrange(0, 800_000)
        fields, body = ask(inner) if layer is outer else from_origin()
        now += random.randrange(0, 800_000)
        answered = Answered(200, list(fields), layer.wall(now), P)
        layer.kept = rules.keep(answered, ASKED, body, sent, now, P)
        return answered.fields, body

    for _ in range(60):
        now += random.randrange(0, 2_000_000)
        ask(outer)
    return hits


def test_no_post_sees_a_value_that_the_inner_one_would_not_serve() -> None:
    hits = sum(play(seed) for seed in range(600))
    assert hits > 3_000  # the outer one does answer by itself


def test_rounding_ages_down_would_be_noticed() -> None:
    with pytest.raises(AssertionError):
        for seed in range(600):
            play(seed, rounds_down=True)
