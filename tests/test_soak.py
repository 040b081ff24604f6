"""A short soak test: real processes, faults from fixed seeds, clients that send until SIGKILL."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from dataclasses import fields

import pytest

from standins import http
from standins.answers.plan import Faults, active_faults, draw_plan, read_plan
from standins.fleet import FleetDiscovery, Load
from standins.soak import draw_load
from standins.world import ROOT


@pytest.mark.parametrize(
    ("first", "seeds", "rig"), [(1, 12, "fleet"), (1, 10, "answers"), (12, 6, "reports")]
)
def test_no_round_of_the_soak_test_violates_a_rule(first: int, seeds: int, rig: str) -> None:
    command = ["-m", "standins.soak", "--seeds", str(seeds), "--first", str(first), "--rig", rig]
    command += ["--seconds", "4", "--jobs", "3"]
    result = subprocess.run([sys.executable, *command], cwd=ROOT, capture_output=True, text=True, timeout=300)
    summary = json.loads(result.stdout.splitlines()[-1])
    assert summary == {"seeds": seeds, "faults": 0, "replay": []}, result.stdout
    assert result.returncode == 0


def test_a_seed_gives_the_same_plan_of_faults_each_time() -> None:
    assert draw_plan(7, 4.0) == draw_plan(7, 4.0) != draw_plan(8, 4.0)
    assert read_plan(draw_plan(7, 4.0).to_json()) == draw_plan(7, 4.0)
    drawn = {fault for seed in range(1, 60) for fault in active_faults(draw_plan(seed, 4.0).faults)}
    assert drawn == {f.name for f in fields(Faults)}


def test_a_seed_gives_the_same_load_each_time() -> None:
    assert draw_load(7, None, 4.0) == draw_load(7, None, 4.0) != draw_load(8, None, 4.0)
    assert draw_load(7, 3_200, 4.0).nodes == 3_200


def test_a_drain_that_no_proxy_got_before_an_outage_is_sent_after_it() -> None:
    """Seed 7702: the drain was listed 1.3 ms before an outage of discovery, between two polls of a proxy that
    was stalled for 0.1 s, so that no proxy got it."""

    async def main() -> None:
        discovery = FleetDiscovery(Load(nodes=20, share=0.05), 1)
        discovery.change_list()  # while no poll is open
        (drained,) = discovery.drained_at
        discovery.begin_outage()
        assert not discovery.drained_at and discovery.undelivered_drains == [drained]
        discovery.end_outage()
        assert drained in discovery.drained_at

        call = asyncio.create_task(
            discovery.reply(http.Message("GET /v1/endpoints?after=2&wait_ms=200 X", {}, b""))
        )
        await asyncio.sleep(0)
        discovery.change_list()
        discovery.begin_outage()
        received = json.loads((await asyncio.wait_for(call, 5)).partition(b"\r\n\r\n")[2])
        assert len(discovery.drained_at) == 2 and received["generation"] == 3  # the open poll got the list

    asyncio.run(main())
