"""The group in simulated time: no schedule breaks a rule, each lost safeguard is found, and the same
plan gives the same run."""

from __future__ import annotations

import os

from magpiefront.model.group import World
from tests.group import worlds

JOBS = max(2, min(8, os.cpu_count() or 2))


def test_no_schedule_breaks_a_rule() -> None:
    broke = [b for _, found in worlds.many(1, 2_000, [3, 5, 7], JOBS) for b in found]
    assert not broke


def test_the_same_plan_gives_the_same_run() -> None:
    ends = []
    for _ in range(2):
        world = World(worlds.numbered(8, [3, 5, 7]))
        world.run()
        ends.append((world.kernel.now_us, world.net.sent, world.entries, world.history))
    assert ends[0] == ends[1]
