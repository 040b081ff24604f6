"""Two sites of real proxies joined by a lossy link, on this machine, with traffic and a judge.

    python -m standins.lab                       two sites, ten seconds, mixed faults
    python -m standins.lab --sites 2 --seconds 20 --faults cut --seed 7

Prints a progress line, then a table and one line of JSON. Exit status 1 where a rule was broken, 2 where the
world could not be started. The traffic stays on loopback and ends by itself.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from pathlib import Path
from typing import Any

from standins import ledger, schedule
from standins.world import Failed, Plan, World, folder, summary

COLUMNS = ("asked", "served", "refused", "failed", "crossed", "p50_ms", "p99_ms")


async def run(plan: Plan, quiet: bool, logs: Path | None) -> dict[str, Any]:
    """Raises Failed."""
    with folder() as temporary:
        place = logs or Path(temporary)
        place.mkdir(parents=True, exist_ok=True)
        world = World(plan, place)

        def told(at: float, fault: str) -> None:
            if not quiet:
                done = sum(bool(a.answers) for a in world.asks)
                line = f"{at:5.1f} of {plan.seconds:.0f} s  asked {len(world.asks)}  answered {done}  {fault}"
                print(f"\r{line:<78}", end="", file=sys.stderr, flush=True)

        try:
            if not quiet:
                print("starting ...", end="", file=sys.stderr, flush=True)
            await world.start()
            await world.play(told)
            crashed = [
                p.name for s in world.sites.values() for p in s.proxies if p.process.returncode is not None
            ]
        finally:
            await world.stop()
            if not quiet:
                print(file=sys.stderr)
        found = ledger.faults(world.asks, world.effects(), world.strays(), 0.25)
        found += [f"{name} crashed" for name in crashed]
        logs_ = [(p.name, p.log.read_text()) for s in world.sites.values() for p in s.proxies]
        found += [f"{name}: an error in its log" for name, text in logs_ if "Traceback" in text]
        links = [
            f"{name}: {line}" for name, text in logs_ for line in text.splitlines() if line.startswith("link")
        ]
        return {
            "lab": "sites",
            "sites": plan.sites,
            "proxies": plan.proxies,
            "seconds": plan.seconds,
            "rate": plan.rate,
            "faults": plan.faults,
            "seed": plan.seed,
            "struck": [str(f) for f in world.faults],
            "classes": summary(world.asks),
            "broken": found,
            "links": links,
        }


def show(result: dict[str, Any]) -> None:
    for fault in result["struck"]:
        print(f"the link: {fault}")
    for line in result["links"]:
        print(line)
    print(f"\n{'class':14}" + "".join(f"{c:>10}" for c in COLUMNS))
    for kind, row in result["classes"].items():
        print(f"{kind:14}" + "".join(f"{row[c] if row[c] is not None else '-':>10}" for c in COLUMNS))
    print()
    for line in result["broken"]:
        print(f"BROKEN: {line}")
    if not result["broken"]:
        print("each request has one final answer in its time, and no effect came twice")


def main(given: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser("standins.lab", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--sites", type=int, default=2, choices=(1, 2, 3, 4))
    parser.add_argument("--proxies", type=int, default=1, choices=range(1, 9), help="for each site")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rate", type=float, default=120.0, help="requests a second in all")
    parser.add_argument("--faults", default="mixed", choices=sorted(schedule.PRESETS), help="of the link")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--round-ms", type=float, default=20.0, help="the link's round trip")
    parser.add_argument("--logs", type=Path, help="a folder that keeps the proxies' files and logs")
    parser.add_argument("--json", action="store_true", help="nothing but the line of JSON")
    args = parser.parse_args(given)
    if not 1 <= args.seconds <= 600 or not 1 <= args.rate <= 5000:
        parser.error("--seconds is from 1 to 600, --rate from 1 to 5000")
    plan = Plan(args.sites, args.proxies, seconds=args.seconds, rate=args.rate, faults=args.faults,
                seed=args.seed, round_s=args.round_ms / 1000, link=args.sites > 1)  # fmt: skip
    try:
        result = asyncio.run(run(plan, args.json, args.logs))
    except Failed as e:
        print(f"lab: {e}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 130
    if not args.json:
        show(result)
    print(json.dumps(result))
    return 1 if result["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())
