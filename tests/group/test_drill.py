"""Several processes of the program with faults between them, and what an operator asks of them."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from standins.drill import Claim, Plan, Round, judge_claims, rounds
from standins.groupask import Turned
from standins.world import ROOT


@pytest.mark.parametrize(("members", "count", "at_once"), [(3, 30, 8), (5, 10, 4), (9, 2, 2)])
def test_no_round_breaks_a_rule(members: int, count: int, at_once: int) -> None:
    found = asyncio.run(rounds([Plan.draw(n, members) for n in range(1, count + 1)], at_once, True))
    assert not found["faults"], found["replay"]
    assert found["committed"] > 20 * count and found["claims"] > 5 * count


def test_the_judge_tells_claims_that_exclude_each_other() -> None:
    good = [Claim(0, 1, "a", 1), Claim(0.5, 2, "a", 1), Claim(1.5, 3, "b", 2)]
    assert not judge_claims(good)
    assert judge_claims([*good, Claim(3.5, 4, "a", 1)])  # held by a again after b
    assert judge_claims([*good, Claim(1, 2, "c", 2)])  # one epoch, two holders
    assert not judge_claims([Claim(0, 5, "a", 1), Claim(1, 2, "b", 2)])  # nobody can tell which was first


def test_a_plan_is_the_seeds_and_comes_back_from_its_text() -> None:
    for seed in range(40):
        plan = Plan.draw(seed, 5)
        assert plan == Plan.draw(seed, 5) and Plan.read(plan.text()) == plan
        lost = [f for f in plan.faults if f.kind in ("wipe", "put back", "remove")]
        assert len(lost) <= 2


def command(operator: Path, *given: str) -> subprocess.CompletedProcess[str]:
    line = [sys.executable, "-m", "magpiefront", "group", "--operator", str(operator), *given]
    return subprocess.run(line, capture_output=True, text=True, timeout=60, cwd=ROOT)


def test_what_an_operator_asks_of_the_group(tmp_path: Path) -> None:
    async def main() -> None:
        r = Round(Plan(1, 3, 1), tmp_path)
        await r.prepare()
        try:
            await asyncio.gather(*(p.spawn() for p in r.processes))
            await r._until_whole("at the start")
            file = tmp_path / "d0.toml"

            async def ask(*given: str) -> subprocess.CompletedProcess[str]:
                return await asyncio.to_thread(command, file, *given)

            done = await ask("--json", "members")
            told: dict[str, Any] = json.loads(done.stdout)
            parts = {n: m["part"] for n, m in told["members"].items()}
            assert done.returncode == 0
            assert parts == {"d0": "voter", "d1": "voter", "d2": "voter", "d3": "observer"}
            other = next(n for n in ("d1", "d2") if f"{n}.0" != told["leader"])
            done = await ask("lead", "--to", other)
            assert (done.returncode, done.stdout) == (0, f"{other} leads\n"), done.stderr
            assert "led by" in (await ask("status")).stdout
            assert (await ask("--at", "d3", "snapshot")).stdout.startswith("snapshot at ")
            done = await ask("remove", "d3")
            assert (done.returncode, done.stdout) == (0, "d3 is out\n"), done.stderr
            done = await ask("add", "d3")
            assert (done.returncode, done.stdout) == (0, "d3 is in, as observer\n"), done.stderr
            for wrong, says in (
                (("remove", "nobody"), "nobody is no member"),
                (("add", "nobody"), "not in [group.members]"),
                (("lead", "--to", "d3"), "not a voter"),
                (("--at", "d9", "status"), "d9 is not in [group.members]"),
            ):
                done = await ask(*wrong)
                assert done.returncode == 2 and says in done.stderr and done.stderr.count("\n") == 1
            stranger = r._asker("d0")
            stranger.group = "another"
            with pytest.raises((Turned, Exception)):
                await stranger.ask({"do": "status"}, 2.0)
            for p in r.processes:
                await p.kill()
            done = await ask("status")
            assert done.returncode == 2 and "no member answers" in done.stderr
        finally:
            await r.end()

    asyncio.run(main())


def test_nothing_of_the_group_is_loaded_without_an_operators_file() -> None:
    code = "import sys, magpiefront.__main__; print([m for m in sys.modules if m.startswith('magpiefront.')])"
    loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT).stdout
    for package in ("group", "commands", "model", "gateway", "record", "sqlfile", "operator"):
        assert f"magpiefront.{package}" not in loaded
