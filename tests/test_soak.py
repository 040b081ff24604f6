"""A short soak: real processes, faults from fixed seeds, clients that go on until the earliest kill."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from dataclasses import fields

import pytest

from standins import http
from standins.answers.plan import Faults, kinds_of, plan_of, read_plan
from standins.fleet import FleetList, Load
from standins.soak import load_of
from standins.world import ROOT


@pytest.mark.parametrize(("first", "seeds", "rig"), [(1, 12, "fleet"), (1, 10, "answers")])
def test_no_round_of_the_soak_breaks_a_rule(first: int, seeds: int, rig: str) -> None:
    command = ["-m", "standins.soak", "--seeds", str(seeds), "--first", str(first), "--rig", rig]
    command += ["--seconds", "4", "--jobs", "3"]
    done = subprocess.run([sys.executable, *command], cwd=ROOT, capture_output=True, text=True, timeout=300)
    told = json.loads(done.stdout.splitlines()[-1])
    assert told == {"seeds": seeds, "faults": 0, "replay": []}, done.stdout
    assert done.returncode == 0


def test_a_seed_draws_the_same_trouble_each_time() -> None:
    assert plan_of(7, 4.0) == plan_of(7, 4.0) != plan_of(8, 4.0)
    assert read_plan(plan_of(7, 4.0).text()) == plan_of(7, 4.0)
    drawn = {kind for seed in range(1, 60) for kind in kinds_of(plan_of(seed, 4.0).faults)}
    assert drawn == {f.name for f in fields(Faults)}


def test_a_seed_plays_the_same_round_each_time() -> None:
    assert load_of(7, None, 4.0) == load_of(7, None, 4.0) != load_of(8, None, 4.0)
    assert load_of(7, 3_200, 4.0).nodes == 3_200


def test_a_drain_that_is_listed_to_nobody_as_discovery_goes_down_is_told_at_its_return() -> None:
    """Seed 7702: listed 1.3 ms before an outage, between two calls of a proxy that was held up for 0.1 s."""

    async def main() -> None:
        lists = FleetList(Load(nodes=20, share=0.05), 1)
        lists.turn()  # with no call open
        (drained,) = lists.out_at
        lists.go_down()
        assert not lists.out_at and lists.untold == [drained]
        lists.come_up()
        assert drained in lists.out_at

        call = asyncio.create_task(
            lists.reply(http.Message("GET /v1/endpoints?after=2&wait_ms=200 X", {}, b""))
        )
        await asyncio.sleep(0)
        lists.turn()
        lists.go_down()
        told = json.loads((await asyncio.wait_for(call, 5)).partition(b"\r\n\r\n")[2])
        assert len(lists.out_at) == 2 and told["generation"] == 3  # a call was open: it was told

    asyncio.run(main())
