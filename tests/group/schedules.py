"""Plays schedules of faults against a group in simulated time, with all its safeguards or without one.

    python -m tests.group.schedules [--count 2000] [--voters 3,5,7] [--first 1] [--without NAME | --table]
                                 [--replay PLAN] [--jobs N] [--json]

`--table` disables each safeguard in turn and prints after how many schedules a failure was found. The plan of
a failed schedule is printed; `--replay` plays it again with the same result. The exit status is 1 if a
schedule failed, or with `--table` if a disabled safeguard was not detected.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections.abc import Iterator
from contextlib import nullcontext
from functools import partial

from magpiefront.model.group import GroupSimulation
from magpiefront.model.rounds import RuleViolation
from magpiefront.model.plan import Plan
from magpiefront.model.safeguards import SAFEGUARDS, without
from standins.linearizability import Op, Undecided, linearizable
from tests import schedules
from tests.schedules import Failures

# Schedules per job of the pool: in a full run, and in a search for the first failure.
BATCH_SIZE, SEARCH_BATCH_SIZE = 25, 3


def run_plan(plan: Plan) -> str:
    """Plays a plan. Returns the violated rule, or ""."""
    simulation = GroupSimulation(plan)
    try:
        simulation.run()
        for key in {d.key for d in simulation.history}:
            requests = [d for d in simulation.history if d.key == key]
            if not linearizable([Op(d.is_write, d.value, d.begin_us, d.end_us, d.version) for d in requests]):
                return f"the history of {key} is not linearizable"
    except Undecided:
        return "a history could not be decided"
    except RuleViolation as e:
        return str(e)
    return ""


def failure_of(plan: Plan) -> str:
    """Like `run_plan`, but returns any exception of the code under test as a failure."""
    try:
        return run_plan(plan)
    except Exception as e:
        return f"{type(e).__name__}: {e}"


def draw_plan(number: int, voters: list[int]) -> Plan:
    """The plan of the schedule with this number. `voters`: the numbers of voters to choose from."""
    return Plan.draw(number, voters[number % len(voters)], int(number % 4 == 3))


def run_batch(numbers: list[int], voters: list[int], safeguard: str = "") -> Failures:
    """Plays these schedules and returns the failures. With `safeguard`, that one is disabled, and the first
    failure ends the run."""
    with without(safeguard) if safeguard else nullcontext():
        failures = []
        for n in numbers:
            plan = draw_plan(n, voters)
            failure = failure_of(plan)
            if failure:
                failures.append((n, failure, plan.text()))
                if safeguard:
                    break
        return failures


def run_schedules(
    first: int, count: int, voters: list[int], jobs: int, safeguard: str = "", chunk: int = BATCH_SIZE
) -> Iterator[tuple[int, Failures]]:
    """Plays schedules in a pool of processes. Yields the size and the failures of each batch as it ends."""
    yield from schedules.run_in_pool(
        partial(run_batch, voters=voters, safeguard=safeguard), first, count, jobs, chunk
    )  # fmt: skip


def schedules_until_detected(
    name: str, first: int, count: int, voters: list[int], jobs: int
) -> tuple[int, str]:
    """How many schedules were played until one failed without that safeguard, and how it failed; 0 and "" if
    none of `count` did."""
    for start in range(first, first + count, jobs * SEARCH_BATCH_SIZE):
        for _, failures in run_schedules(
            start, min(jobs * SEARCH_BATCH_SIZE, first + count - start), voters, jobs, name, SEARCH_BATCH_SIZE
        ):
            if failures:
                return failures[0][0] - first + 1, failures[0][1]
    return 0, ""


def main() -> int:
    parser = argparse.ArgumentParser(description="Plays schedules of faults in simulated time.")
    parser.add_argument("--count", type=int, default=2_000)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--voters", default="3,5,7")
    parser.add_argument("--without", default="", choices=["", *SAFEGUARDS])
    parser.add_argument("--table", action="store_true")
    parser.add_argument("--replay", metavar="PLAN")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    voters = [int(v) for v in args.voters.split(",")]
    if args.replay:
        with without(args.without) if args.without else nullcontext():
            failure = run_plan(Plan.read(args.replay))
        print(failure or "no rule was violated")
        return 1 if failure else 0
    started_s = time.monotonic()
    if args.table:
        missed = 0
        for name in [args.without] if args.without else SAFEGUARDS:
            after, how = schedules_until_detected(name, args.first, args.count, voters, args.jobs)
            missed += not after
            line = f"{name}: {f'after {after}: {how[:150]}' if after else 'NOT FOUND'}"
            row = {"safeguard": name, "after": after, "how": how}
            print(json.dumps(row) if args.json else line, flush=True)
        return 1 if missed else 0
    played = broke = 0
    for size, failures in run_schedules(args.first, args.count, voters, args.jobs, args.without):
        played += size
        broke += len(failures)
        for number, failure, plan in failures:
            print(f"{number}: {failure}\n  {plan}")
        if sys.stderr.isatty():
            print(f"\r{played} of {args.count}, {broke} failed", end="", file=sys.stderr)
    seconds = round(time.monotonic() - started_s, 1)
    summary = {"schedules": played, "broke": broke, "seconds": seconds, "voters": args.voters}
    print(json.dumps(summary) if args.json else f"{played} schedules in {seconds} s, {broke} failed")
    return 1 if broke else 0


if __name__ == "__main__":
    sys.exit(main())
