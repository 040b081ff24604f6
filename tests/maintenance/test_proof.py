"""Simulated machine maintenance: no round violates a rule, and the loss of each safeguard is detected."""

from __future__ import annotations

import pytest

from magpiefront.model.maintenance import MaintenanceSimulation, Round
from tests.maintenance import simulations

FIRST_ROUNDS = {  # by safeguard, a round from which its loss is soon detected
    "confirmations are bound to their grant": 136, "a proxy without a session excludes the next machines": 11,
    "requests of a lost proxy must have ended": 76, "a lost proxy must have known the next machines": 36,
    "the remaining nodes must carry the load": 21, "exclusions survive a restart": 126,
}  # fmt: skip


def test_no_round_violates_a_rule() -> None:
    assert not simulations.run_rounds(list(range(1, 61)))


def test_a_round_is_deterministic() -> None:
    results = []
    for round_ in (Round.draw(3), Round.read(Round.draw(3).text())):
        simulation = MaintenanceSimulation(round_)
        simulation.run()
        results.append((simulation.log, simulation.ended_us, simulation.committed.snapshot()))
    assert results[0] == results[1] and simulation.grants == round_.machines


@pytest.mark.parametrize("name", simulations.SAFEGUARDS)
def test_the_loss_of_a_safeguard_is_detected(name: str) -> None:
    assert simulations.SCHEDULES.schedules_until_detected(name, FIRST_ROUNDS.get(name, 1), 3)[0]
