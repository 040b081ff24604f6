"""Tests of a group of several processes: rounds with injected faults, and operators' commands."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from standins.drill import Claim, Plan, Round, claim_conflicts, run_rounds
from standins.member_client import NotExecuted
from standins.world import ROOT


@pytest.mark.parametrize(("members", "count", "at_once"), [(3, 30, 8), (5, 10, 4), (9, 2, 2)])
def test_rounds_with_faults_break_no_rule(members: int, count: int, at_once: int) -> None:
    found = asyncio.run(run_rounds([Plan.draw(n, members) for n in range(1, count + 1)], at_once, True))
    assert not found["faults"], found["replay"]
    assert found["committed"] > 20 * count and found["claims"] > 5 * count


def test_conflicting_claims_are_found() -> None:
    good = [Claim(0, 1, "a", 1), Claim(0.5, 2, "a", 1), Claim(1.5, 3, "b", 2)]
    assert not claim_conflicts(good)
    assert claim_conflicts([*good, Claim(3.5, 4, "a", 1)])  # a holds epoch 1 again after b held epoch 2
    assert claim_conflicts([*good, Claim(1, 2, "c", 2)])  # one epoch with two holders
    assert not claim_conflicts([Claim(0, 5, "a", 1), Claim(1, 2, "b", 2)])  # their order can't be known


def test_a_plan_depends_on_its_seed_alone_and_is_read_back_from_its_text() -> None:
    for seed in range(40):
        plan = Plan.draw(seed, 5)
        assert plan == Plan.draw(seed, 5) and Plan.read(plan.text()) == plan
        losses = [f for f in plan.faults if f.kind in ("wipe", "put back", "remove")]
        assert len(losses) <= 2


def run_command(operator: Path, *args: str) -> subprocess.CompletedProcess[str]:
    line = [sys.executable, "-m", "magpiefront", "group", "--operator", str(operator), *args]
    return subprocess.run(line, capture_output=True, text=True, timeout=60, cwd=ROOT)


def test_the_commands_of_an_operator(tmp_path: Path) -> None:
    async def main() -> None:
        r = Round(Plan(1, 3, 1), tmp_path)
        await r.prepare()
        try:
            await asyncio.gather(*(p.spawn() for p in r.processes))
            await r.wait_until_converged("at the start")
            file = tmp_path / "d0.toml"

            async def run(*args: str) -> subprocess.CompletedProcess[str]:
                return await asyncio.to_thread(run_command, file, *args)

            done = await run("--json", "members")
            status: dict[str, Any] = json.loads(done.stdout)
            parts = {n: m["part"] for n, m in status["members"].items()}
            assert done.returncode == 0
            assert parts == {"d0": "voter", "d1": "voter", "d2": "voter", "d3": "observer"}
            other = next(n for n in ("d1", "d2") if f"{n}.0" != status["leader"])
            done = await run("lead", "--to", other)
            assert (done.returncode, done.stdout) == (0, f"{other} leads\n"), done.stderr
            assert "led by" in (await run("status")).stdout
            assert (await run("--at", "d3", "snapshot")).stdout.startswith("snapshot at ")
            done = await run("remove", "d3")
            assert (done.returncode, done.stdout) == (0, "d3 is out\n"), done.stderr
            done = await run("add", "d3")
            assert (done.returncode, done.stdout) == (0, "d3 is in, as observer\n"), done.stderr
            for wrong, message in (
                (("remove", "nobody"), "nobody is no member"),
                (("add", "nobody"), "not in [group.members]"),
                (("lead", "--to", "d3"), "not a voter"),
                (("--at", "d9", "status"), "d9 is not in [group.members]"),
            ):
                done = await run(*wrong)
                assert done.returncode == 2 and message in done.stderr and done.stderr.count("\n") == 1
            stranger = r.member_client("d0")
            stranger.group = "another"
            with pytest.raises((NotExecuted, Exception)):
                await stranger.request({"do": "status"}, 2.0)
            for p in r.processes:
                await p.kill()
            done = await run("status")
            assert done.returncode == 2 and "no member answers" in done.stderr
        finally:
            await r.close()

    asyncio.run(main())


def test_no_module_of_the_group_is_loaded_without_an_operator_file() -> None:
    code = "import sys, magpiefront.__main__; print([m for m in sys.modules if m.startswith('magpiefront.')])"
    loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT).stdout
    for package in ("group", "commands", "model", "gateway", "record", "sqlfile", "operator"):
        assert f"magpiefront.{package}" not in loaded
