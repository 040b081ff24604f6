"""Many numbered schedules over a pool of processes, and the safeguards of what they are played against."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from functools import partial
from typing import Any, Generic, Protocol, TypeVar

Broke = list[tuple[int, str, str]]  # number, why, plan


def many(
    play: Callable[[list[int]], Broke], first: int, count: int, jobs: int, chunk: int
) -> Iterator[tuple[int, Broke]]:  # fmt: skip
    """`play` gets some numbers and gives those that broke; it must come over to another process. How many
    were played each time, and those."""
    parts = [list(range(n, min(n + chunk, first + count))) for n in range(first, first + count, chunk)]
    with ProcessPoolExecutor(jobs) as pool:
        for part, found in zip(parts, pool.map(play, parts), strict=True):
            yield len(part), found


class Planned(Protocol):
    def text(self) -> str: ...


P = TypeVar("P", bound=Planned)


class Schedules(Generic[P]):
    """Plans of one kind: drawn by their number, read back, and played; `broken` says what broke, empty where
    all holds. `safeguards`: patches that take each one out."""

    def __init__(
        self, safeguards: Mapping[str, Callable[[], list[Any]]], draw: Callable[[int], P],
        read: Callable[[str], P], broken: Callable[[P], str],
    ) -> None:  # fmt: skip
        self.safeguards, self.draw, self.read, self.broken = safeguards, draw, read, broken

    @contextmanager
    def without(self, name: str) -> Iterator[None]:
        patches = self.safeguards[name]() if name else []
        for p in patches:
            p.start()
        try:
            yield
        finally:
            for p in patches:
                p.stop()

    def some(self, numbers: list[int], out: str = "") -> Broke:
        """Those that broke; without a safeguard the first alone."""
        found = []
        with self.without(out):
            for n in numbers:
                plan = self.draw(n)
                why = self.broken(plan)
                if why:
                    found.append((n, why, plan.text()))
                    if out:
                        break
        return found

    def first_found(self, name: str, first: int, count: int) -> tuple[int, str]:
        """After how many the loss of a safeguard was found, and how; 0: not."""
        found = self.some(list(range(first, first + count)), name)
        return (found[0][0] - first + 1, found[0][1]) if found else (0, "")

    def main(self, what: str, some: Callable[..., Broke], chunk: int) -> int:
        """The command of a module whose `some` this one's is. The exit status: 1 where a rule broke (with
        --table: where one safeguard's loss was not found)."""
        parser = argparse.ArgumentParser(description=f"{what} in simulated time.")
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
                why = self.broken(self.read(args.replay))
            print(why or "all holds")
            return 1 if why else 0
        if args.table:
            missed = 0
            for name in self.safeguards:
                after, how = self.first_found(name, args.first, args.count)
                missed += not after
                line = f"{name}: {f'after {after}: {how}' if after else 'NOT FOUND'}"
                row = {"safeguard": name, "after": after, "how": how}
                print(json.dumps(row) if args.json else line, flush=True)
            return 1 if missed else 0
        played = broke = 0
        for n, found in many(partial(some, out=args.without), args.first, args.count, args.jobs, chunk):
            played, broke = played + n, broke + len(found)
            for number, why, plan in found:
                print(f"{number}: {why}\n  {plan}", flush=True)
            if sys.stderr.isatty():
                print(f"\r{played} of {args.count}, {broke} broke", end="", file=sys.stderr)
        told = {"plans": played, "broke": broke}
        print(json.dumps(told) if args.json else f"{played} plans, {broke} broke")
        return 1 if broke else 0
