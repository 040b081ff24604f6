"""A small simulated fleet: its machines leave and come back, and nearly all reads are answered in time."""

from __future__ import annotations

from magpiefront.maintenance.state_machine import State
from magpiefront.maintenance.plan import Limits
from magpiefront.model.fleet import US_PER_S, Fleet, Size


def test_all_machines_of_a_small_fleet_go_out_and_nothing_is_sent_to_them() -> None:
    limits = Limits(most_out=2, most_zone=2, least_left=0.5, spread_s=2.0, most_work_s=100.0)
    fleet = Fleet(Size(proxies=8, nodes=8, reads=60.0, keys=400, cold_us=3 * US_PER_S), limits, 5.0)
    fleet.run(20, 400, lost=2)
    assert not fleet.violations and fleet.most_out == 2
    assert len(fleet.out_since_s) == 8 and {j.state for j in fleet.state.jobs.values()} == {State.DONE}
    assert sum(fleet.reads.in_time.values()) > 0.99 * sum(fleet.reads.all.values())


def test_a_fleet_without_a_plan_is_deterministic() -> None:
    seen = []
    for _ in range(2):
        fleet = Fleet(Size(proxies=4, nodes=4, reads=40.0, keys=100), Limits(), 5.0)
        fleet.run(10, 20, with_plan=False)
        seen.append((dict(fleet.reads.all), dict(fleet.archive.reads_by_second), fleet.request_count))
    assert seen[0] == seen[1] and not fleet.out_since_s
