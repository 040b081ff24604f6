"""Runs rounds under faults drawn from seeds and checks what clients, nodes and discovery recorded.

    python -m standins.soak --seeds 50 [--first 1] [--rig answers] [--nodes 3200] [--seconds 6] [--jobs 4]

`--rig` selects what a round runs. With `answers` it is one to three proxies in front of nodes whose answers
name their requests: a round draws its class and some kinds of faults from the table in
`standins.answers.plan`. With `reports` it is one or two linked sites, mostly with a store of record, in front
of nodes whose answers end early (`standins.broken`). With `fleet`, the default, it is one proxy in front of a
large fleet that changes: a round draws the size of its fleet (or takes `--nodes`), the share of a core, how
much of the list changes, the deadline, and a series of faults: SIGHUP, nodes that hang, an outage of
discovery, idle clients that take all descriptors. It ends with SIGTERM, and SIGKILL at the earliest time
allowed; clients send requests until then.

The last line of the output is JSON: `seeds`, the number of violations as `faults`, and as `replay` the
command for each seed with a violation.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from dataclasses import dataclass
from pathlib import Path
from random import Random

from standins.answers import judge, plan
from standins.answers import round as answers
from standins.broken import ReportsPlan, ReportsVerdict, draw_reports, run_reports
from standins.fleet import Load, Verdict, run_round
from standins.world import ROOT, RunFailed

FLEET_SIZES = (50, 200, 1_000, 3_200)
CORE_SHARES = (1.0, 0.5, 1 / 3, 1 / 6)
CHANGE_SHARES = (0.01, 0.03, 0.1)
DEADLINES_S = (0.3, 0.5, 1.0, 3.0)
FLEET_FAULTS = ("HUP", "silent", "down", "crowd")


AnyPlan = Load | plan.Plan | ReportsPlan


@dataclass(frozen=True, slots=True)
class Result:
    """The result of the round of one seed."""

    seed: int
    load: AnyPlan
    verdict: Verdict | judge.Verdict | ReportsVerdict | None
    failure: str = ""  # why the round could not be run

    @property
    def violations(self) -> list[str]:
        return self.verdict.violations if self.verdict is not None else [self.failure]

    @property
    def events(self) -> list[str]:
        """The end of the proxy's log, if the round of a fleet has a violation."""
        return self.verdict.events if isinstance(self.verdict, Verdict) else []

    @property
    def summary(self) -> str:
        """The share of requests that were served, and the parameters of the round."""
        if isinstance(self.verdict, judge.Verdict) and isinstance(self.load, plan.Plan):
            kinds = ", ".join(plan.active_faults(self.load.faults))
            return f"{self.verdict.served:.2f} served, {self.load.repeat} {self.load.group}: {kinds}"
        if isinstance(self.verdict, ReportsVerdict) and isinstance(self.load, ReportsPlan):
            statuses = dict(sorted(self.verdict.statuses.items()))
            return f"{self.verdict.served:.2f} served, {self.load.set_up}: {statuses}"
        served = f"{self.verdict.share_served:.2f} served" if isinstance(self.verdict, Verdict) else ""
        return f"{served}, {self.load}"


def draw_load(seed: int, nodes: int | None, seconds: float) -> Load:
    """Draws the round of a seed."""
    random = Random(f"soak {seed}")
    drawn_nodes = random.choice(FLEET_SIZES)
    return Load(
        nodes=nodes or drawn_nodes,
        seconds=seconds,
        rate=random.choice((20.0, 40.0)),
        share=random.choice(CHANGE_SHARES),
        core=random.choice(CORE_SHARES),
        deadline_s=random.choice(DEADLINES_S),
        seed=seed,
        resets=random.random() < 0.2,
        terminate=True,
        faults=tuple(random.choices(FLEET_FAULTS, k=random.randrange(4))),
        known=random.random() < 0.8,
    )


async def run_seed(seed: int, load: AnyPlan, tree: Path) -> Result:
    """Runs a round. A round that fails to run is a result with a violation."""
    try:
        if isinstance(load, plan.Plan):
            return Result(seed, load, await answers.run_round(load, tree))
        if isinstance(load, ReportsPlan):
            return Result(seed, load, await run_reports(load, tree))
        return Result(seed, load, await run_round(load, tree))
    except (RuntimeError, OSError, RunFailed) as e:
        return Result(seed, load, None, f"the round could not be run: {e}")


async def soak(args: argparse.Namespace) -> list[Result]:
    """Runs all rounds, `args.jobs` at a time, and prints a line for each."""
    slots = asyncio.Semaphore(args.jobs)
    results: list[Result] = []

    async def run_one(seed: int) -> None:
        async with slots:
            load: AnyPlan = draw_load(seed, args.nodes, args.seconds)
            if args.rig == "answers":
                load = plan.draw_plan(seed, args.seconds)
            elif args.rig == "reports":
                load = draw_reports(seed, args.seconds)
            result = await run_seed(seed, load, args.tree.resolve())
        results.append(result)
        print(f"seed {seed}: {len(result.violations)} violations, {result.summary}", flush=True)
        for line in result.violations[:5] + result.events:
            print(f"  {line}", flush=True)

    await asyncio.gather(*(run_one(seed) for seed in range(args.first, args.first + args.seeds)))
    return results


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--rig", choices=("fleet", "answers", "reports"), default="fleet")
    parser.add_argument(
        "--nodes", type=int, default=None, help="nodes in each round, with --rig fleet; drawn by default"
    )
    parser.add_argument("--seconds", type=float, default=6.0, help="traffic before SIGTERM")
    parser.add_argument("--jobs", type=int, default=4, help="rounds that run at the same time")
    parser.add_argument("--tree", type=Path, default=ROOT, help="the checkout whose proxies are tested")
    args = parser.parse_args()
    results = asyncio.run(soak(args))
    failed_seeds = sorted(result.seed for result in results if result.violations)
    options = f" --nodes {args.nodes}" if args.nodes else ""
    if args.rig != "fleet":
        options += f" --rig {args.rig}"
    replay = [
        f"python -m standins.soak --seeds 1 --first {s} --seconds {args.seconds:g}{options}"
        for s in failed_seeds
    ]
    violations = sum(len(result.violations) for result in results)
    print(json.dumps({"seeds": len(results), "faults": violations, "replay": replay}))
    sys.exit(bool(failed_seeds))


if __name__ == "__main__":
    main()
