"""Machines out for work in simulated time: no round breaks a rule, and each lost safeguard is found."""

from __future__ import annotations

import pytest

from magpiefront.model.maintenance import Round, World
from tests.maintenance import worlds

FROM = {  # the first round of a few that find its loss
    "a word is of the grant that it is about": 136, "who is cut off leaves out what is next": 11,
    "what a lost proxy sent has to end": 76, "who is lost has to have known what was next": 36,
    "what is left has to carry the load": 21, "what is to be left out outlasts the process": 126,
}  # fmt: skip


def test_no_round_breaks_a_rule() -> None:
    assert not worlds.some(list(range(1, 61)))


def test_the_same_round_gives_the_same_run() -> None:
    ends = []
    for plan in (Round.draw(3), Round.read(Round.draw(3).text())):
        world = World(plan)
        world.run()
        ends.append((world.log, world.ended_us, world.head.snapshot()))
    assert ends[0] == ends[1] and world.grants == plan.machines


@pytest.mark.parametrize("name", worlds.SAFEGUARDS)
def test_a_safeguard_that_is_taken_out_is_found(name: str) -> None:
    assert worlds.SCHEDULES.first_found(name, FROM.get(name, 1), 3)[0]
