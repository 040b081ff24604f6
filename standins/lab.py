"""Runs sites of real proxies on this machine, linked through relays with faults, and checks their answers.

    python -m standins.lab                       two sites, ten seconds, mixed faults
    python -m standins.lab --sites 2 --seconds 20 --faults cut --seed 7

Prints the progress, a table, and one line of JSON. The exit status is 1 if a rule was violated and 2 if the
sites could not be started. All traffic stays on loopback.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from pathlib import Path
from typing import Any

from standins import invariants, schedule
from standins.world import Deployment, Plan, RunFailed, summarize, temporary_folder

COLUMNS = ("asked", "served", "refused", "failed", "crossed", "p50_ms", "p99_ms")


async def run(plan: Plan, quiet: bool, logs: Path | None) -> dict[str, Any]:
    """Runs a plan and returns the result that is printed as JSON. Files and logs of the proxies are kept in
    the folder `logs`, if it is given. Raises RunFailed if the sites could not be started."""
    with temporary_folder() as temporary_path:
        log_folder = logs or Path(temporary_path)
        log_folder.mkdir(parents=True, exist_ok=True)
        deployment = Deployment(plan, log_folder)

        def show_progress(elapsed_s: float, fault: str) -> None:
            if not quiet:
                answered = sum(bool(request.answers) for request in deployment.requests)
                line = (
                    f"{elapsed_s:5.1f} of {plan.seconds:.0f} s  "
                    f"asked {len(deployment.requests)}  answered {answered}  {fault}"
                )
                print(f"\r{line:<78}", end="", file=sys.stderr, flush=True)

        try:
            if not quiet:
                print("starting ...", end="", file=sys.stderr, flush=True)
            await deployment.start()
            await deployment.run_traffic(show_progress)
            crashed = [
                p.name
                for s in deployment.sites.values()
                for p in s.proxies
                if p.process.returncode is not None
            ]
        finally:
            await deployment.stop()
            if not quiet:
                print(file=sys.stderr)
        violations = invariants.violations(
            deployment.requests, deployment.effects(), deployment.unsolicited(), 0.25
        )
        violations += [f"{name} crashed" for name in crashed]
        log_texts = [(p.name, p.log.read_text()) for s in deployment.sites.values() for p in s.proxies]
        violations += [f"{name}: an error in its log" for name, text in log_texts if "Traceback" in text]
        link_lines = [
            f"{name}: {line}"
            for name, text in log_texts
            for line in text.splitlines()
            if line.startswith("link")
        ]
        return {
            "lab": "sites",
            "sites": plan.sites,
            "proxies": plan.proxies,
            "seconds": plan.seconds,
            "rate": plan.rate,
            "faults": plan.faults,
            "seed": plan.seed,
            "struck": [str(f) for f in deployment.faults],
            "classes": summarize(deployment.requests),
            "broken": violations,
            "links": link_lines,
        }


def print_result(result: dict[str, Any]) -> None:
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
        print("each request got one final answer in time, and no effect occurred twice")


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser("standins.lab", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--sites", type=int, default=2, choices=(1, 2, 3, 4))
    parser.add_argument("--proxies", type=int, default=1, choices=range(1, 9), help="per site")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rate", type=float, default=120.0, help="requests per second, all sites together")
    parser.add_argument("--faults", default="mixed", choices=sorted(schedule.PRESETS), help="link faults")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--round-ms", type=float, default=20.0, help="round-trip time of the link")
    parser.add_argument("--logs", type=Path, help="folder to keep the proxies' files and logs in")
    parser.add_argument("--json", action="store_true", help="print only the line of JSON")
    args = parser.parse_args(argv)
    if not 1 <= args.seconds <= 600 or not 1 <= args.rate <= 5000:
        parser.error("--seconds must be from 1 to 600, --rate from 1 to 5000")
    plan = Plan(args.sites, args.proxies, seconds=args.seconds, rate=args.rate, faults=args.faults,
                seed=args.seed, round_trip_s=args.round_ms / 1000, link=args.sites > 1)  # fmt: skip
    try:
        result = asyncio.run(run(plan, args.json, args.logs))
    except RunFailed as e:
        print(f"lab: {e}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 130
    if not args.json:
        print_result(result)
    print(json.dumps(result))
    return 1 if result["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())
