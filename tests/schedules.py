"""Plays numbered schedules of simulated events in a pool of processes. The code under test runs with all of
its safeguards, or with one of them disabled."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from functools import partial
from typing import Any, Generic, Protocol, TypeVar

Failures = list[tuple[int, str, str]]  # the number of the schedule, the violated rule, the plan as text


def run_in_pool(
    play: Callable[[list[int]], Failures], first: int, count: int, jobs: int, chunk: int
) -> Iterator[tuple[int, Failures]]:  # fmt: skip
    """Plays `count` schedules, numbered from `first` on, in `jobs` processes and in chunks of `chunk`
    schedules. `play` is called with the numbers of a chunk and returns its failures; it must be picklable.
    Yields, for each chunk, how many schedules were played and the failures."""
    chunks = [list(range(n, min(n + chunk, first + count))) for n in range(first, first + count, chunk)]
    with ProcessPoolExecutor(jobs) as pool:
        for numbers, failures in zip(chunks, pool.map(play, chunks), strict=True):
            yield len(numbers), failures


class SchedulePlan(Protocol):
    """The plan of a schedule: what happens in it."""

    def text(self) -> str:
        """Returns the plan in the form that `--replay` takes."""


PlanT = TypeVar("PlanT", bound=SchedulePlan)


class Schedules(Generic[PlanT]):
    """Schedules of one kind. `draw` makes the plan of the schedule with a number, `read` parses a plan from
    its text, and `violated_rule` plays a plan and returns the rule that was violated, or "". `safeguards`
    has, by the name of each safeguard, a function that returns the patches that disable it."""

    def __init__(
        self, safeguards: Mapping[str, Callable[[], list[Any]]], draw: Callable[[int], PlanT],
        read: Callable[[str], PlanT], violated_rule: Callable[[PlanT], str],
    ) -> None:  # fmt: skip
        self.safeguards, self.draw, self.read, self.violated_rule = safeguards, draw, read, violated_rule

    @contextmanager
    def without(self, name: str) -> Iterator[None]:
        """Disables the safeguard of this name; "" disables none."""
        patches = self.safeguards[name]() if name else []
        for patch in patches:
            patch.start()
        try:
            yield
        finally:
            for patch in patches:
                patch.stop()

    def run_numbers(self, numbers: list[int], disabled: str = "") -> Failures:
        """Plays these schedules and returns the failures. If the safeguard `disabled` is given, it is
        disabled, and only the first failure is returned."""
        failures = []
        with self.without(disabled):
            for n in numbers:
                plan = self.draw(n)
                violation = self.violated_rule(plan)
                if violation:
                    failures.append((n, violation, plan.text()))
                    if disabled:
                        break
        return failures

    def schedules_until_detected(self, name: str, first: int, count: int) -> tuple[int, str]:
        """Plays schedules with this safeguard disabled. Returns how many it took until a rule was violated,
        and that rule; 0 and "" if none was."""
        failures = self.run_numbers(list(range(first, first + count)), name)
        return (failures[0][0] - first + 1, failures[0][1]) if failures else (0, "")

    def main(self, subject: str, run: Callable[..., Failures], chunk: int) -> int:
        """Runs the command line of the module that has these schedules. `subject` begins the description in
        its help. `run` is the module's function that calls `run_numbers`; it must be picklable. Returns the
        exit status: 1 if a rule was violated (with --table: if the loss of a safeguard was not detected)."""
        parser = argparse.ArgumentParser(description=f"{subject} in simulated time.")
        parser.add_argument("--count", type=int, default=1_000)
        parser.add_argument("--first", type=int, default=1)
        parser.add_argument("--without", default="", choices=["", *self.safeguards])
        parser.add_argument("--table", action="store_true")
        parser.add_argument("--replay", metavar="PLAN")
        parser.add_argument("--jobs", type=int, default=4)
        parser.add_argument("--json", action="store_true")
        args = parser.parse_args()
        if args.replay:
            with self.without(args.without):
                violation = self.violated_rule(self.read(args.replay))
            print(violation or "no rule was violated")
            return 1 if violation else 0
        if args.table:
            missed = 0
            for name in self.safeguards:
                after, how = self.schedules_until_detected(name, args.first, args.count)
                missed += not after
                line = f"{name}: {f'after {after}: {how}' if after else 'NOT FOUND'}"
                row = {"safeguard": name, "after": after, "how": how}
                print(json.dumps(row) if args.json else line, flush=True)
            return 1 if missed else 0
        played = broke = 0
        for size, failures in run_in_pool(
            partial(run, disabled=args.without), args.first, args.count, args.jobs, chunk
        ):  # fmt: skip
            played, broke = played + size, broke + len(failures)
            for number, violation, plan in failures:
                print(f"{number}: {violation}\n  {plan}", flush=True)
            if sys.stderr.isatty():
                print(f"\r{played} of {args.count}, {broke} broke", end="", file=sys.stderr)
        summary = {"plans": played, "broke": broke}
        print(json.dumps(summary) if args.json else f"{played} plans, {broke} broke")
        return 1 if broke else 0
