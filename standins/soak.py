"""Rounds under faults drawn from seeds, judged by the books of clients, nodes and discovery.

    python -m standins.soak --seeds 50 [--first 1] [--rig answers] [--nodes 3200] [--seconds 6] [--jobs 4]

With `--rig answers` one to three proxies stand before nodes whose answers name their requests, and a round
draws its class and some kinds of trouble from the table in `standins.answers.plan`. The other rig plays one
proxy before a large fleet that changes: a round draws the size of its fleet (or takes `--nodes`), the part
of a core, how much of the list changes, the deadline, and a series of signals and faults: SIGHUP, nodes that
hang, discovery that is down, idle clients that fill the descriptors. It ends with SIGTERM, and SIGKILL as
early as it may come; clients go on until then. The last line is JSON: `seeds`, `faults`, and the command
that plays each seed with a fault again.
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
from standins.fleet import Load, Verdict, play
from standins.world import ROOT, Failed

SIZES = (50, 200, 1_000, 3_200)
CORES = (1.0, 0.5, 1 / 3, 1 / 6)
SHARES = (0.01, 0.03, 0.1)
DEADLINES_S = (0.3, 0.5, 1.0, 3.0)
SIGNALS = ("HUP", "silent", "down", "crowd")


@dataclass(frozen=True, slots=True)
class Played:
    """One seed's round."""

    seed: int
    load: Load | plan.Plan
    verdict: Verdict | judge.Verdict | None
    failure: str = ""  # the round itself could not be played

    @property
    def faults(self) -> list[str]:
        return self.verdict.broken if self.verdict is not None else [self.failure]

    @property
    def events(self) -> list[str]:
        return self.verdict.events if isinstance(self.verdict, Verdict) else []

    @property
    def told(self) -> str:
        """What was played, and how much of it was served."""
        if isinstance(self.verdict, judge.Verdict) and isinstance(self.load, plan.Plan):
            kinds = ", ".join(plan.kinds_of(self.load.faults))
            return f"{self.verdict.served:.2f} served, {self.load.repeat} {self.load.group}: {kinds}"
        served = f"{self.verdict.share_served:.2f} served" if isinstance(self.verdict, Verdict) else ""
        return f"{served}, {self.load}"


def load_of(seed: int, nodes: int | None, seconds: float) -> Load:
    """What a seed plays."""
    random = Random(f"soak {seed}")
    drawn = random.choice(SIZES)
    return Load(
        nodes=nodes or drawn,
        seconds=seconds,
        rate=random.choice((20.0, 40.0)),
        share=random.choice(SHARES),
        core=random.choice(CORES),
        deadline_s=random.choice(DEADLINES_S),
        seed=seed,
        resets=random.random() < 0.2,
        terminate=True,
        signals=tuple(random.choices(SIGNALS, k=random.randrange(4))),
        known=random.random() < 0.8,
    )


async def play_seed(seed: int, load: Load | plan.Plan, tree: Path) -> Played:
    try:
        if isinstance(load, plan.Plan):
            return Played(seed, load, await answers.play(load, tree))
        return Played(seed, load, await play(load, tree))
    except (RuntimeError, OSError, Failed) as e:
        return Played(seed, load, None, f"not played: {e}")


async def soak(args: argparse.Namespace) -> list[Played]:
    room = asyncio.Semaphore(args.jobs)
    found: list[Played] = []

    async def one(seed: int) -> None:
        async with room:
            load: Load | plan.Plan = load_of(seed, args.nodes, args.seconds)
            if args.rig == "answers":
                load = plan.plan_of(seed, args.seconds)
            played = await play_seed(seed, load, args.tree.resolve())
        found.append(played)
        print(f"seed {seed}: {len(played.faults)} faults, {played.told}", flush=True)
        for line in played.faults[:5] + played.events:
            print(f"  {line}", flush=True)

    await asyncio.gather(*(one(seed) for seed in range(args.first, args.first + args.seeds)))
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--rig", choices=("fleet", "answers"), default="fleet")
    parser.add_argument("--nodes", type=int, default=None, help="of every round; else drawn")
    parser.add_argument("--seconds", type=float, default=6.0, help="of traffic before SIGTERM")
    parser.add_argument("--jobs", type=int, default=4, help="rounds beside each other")
    parser.add_argument("--tree", type=Path, default=ROOT, help="the checkout whose proxy is played")
    args = parser.parse_args()
    found = asyncio.run(soak(args))
    bad = sorted(played.seed for played in found if played.faults)
    more = f" --nodes {args.nodes}" if args.nodes else ""
    if args.rig != "fleet":
        more += f" --rig {args.rig}"
    replay = [f"python -m standins.soak --seeds 1 --first {s} --seconds {args.seconds:g}{more}" for s in bad]
    faults = sum(len(played.faults) for played in found)
    print(json.dumps({"seeds": len(found), "faults": faults, "replay": replay}))
    sys.exit(bool(bad))


if __name__ == "__main__":
    main()
