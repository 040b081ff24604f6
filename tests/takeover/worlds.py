"""Many plans of work in hand in simulated time, and the table of its safeguards.

    python -m tests.takeover.worlds [--count 1000] [--first 1] [--without NAME | --table] [--replay PLAN]
                                    [--jobs N] [--json]

Exit status 1 where a rule broke (with --table: where one safeguard's loss was not found).
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from functools import partial
from typing import Any
from unittest.mock import patch

from magpiefront.group.facts import State
from magpiefront.group.messages import name_of
from magpiefront.model import work
from magpiefront.model.work import Broken, Plan, Process, World
from magpiefront.record.acting import Standing
from magpiefront.takeover import owners
from tests.schedules import Broke, many

CHUNK = 20


def _by_name_alone(owner: str, me: str, members: Any) -> Standing:
    o = owners.read(owner)
    known = members.get(name_of(o.member)) if o is not None else None
    if o is None or known is None:
        return Standing.WELL
    if known.state is not State.WELL:
        return Standing.OVER
    return Standing.MINE if o.member == me else Standing.WELL


def _ahead(owner: str, me: str, members: Any) -> Standing:
    """Who lags takes what it does not know."""
    o = owners.read(owner)
    known = members.get(name_of(o.member)) if o is not None else None
    if o is None or known is None or known.epoch != o.epoch or known.state is not State.WELL:
        return Standing.OVER
    return Standing.MINE if o.member == me else Standing.WELL


def _no_epoch(member: str, epoch: int) -> str:
    return f"{member}@1/"


def _state_alone(self: work.Store, before: Any) -> bool:
    there = self.rows.get(before.id)
    return there is not None and there.state is before.state


def _acts_on(self: Process, owner: str) -> bool:
    return True


def _endless(self: World, key: bytes, owner: str, now: int) -> Any:
    return replace(ROW(self, key, owner, now), window_s=1e6)


ROW = World.row
SAFEGUARDS: dict[str, Callable[[], list[Any]]] = {
    "the owner looks before each act": lambda: [
        patch.object(Process, "may", _acts_on),
        patch.object(World, "guard", lambda self, p, row: True),
    ],
    "a claim is a compare-and-set on the owner": lambda: [patch.object(work.Store, "matches", _state_alone)],
    "an owner is a member under an epoch": lambda: [
        patch.object(owners, "standing", _by_name_alone),
        patch.object(owners, "prefix_of", _no_epoch),
    ],
    "who lags takes nothing": lambda: [patch.object(owners, "standing", _ahead)],
    "nothing is sent past the nodes' window": lambda: [patch.object(World, "row", _endless)],
    "a session is over before its loss is known": lambda: [patch.object(work, "LOST_US", 150_000)],
}


@contextmanager
def without(name: str) -> Iterator[None]:
    patches = SAFEGUARDS[name]() if name else []
    for p in patches:
        p.start()
    try:
        yield
    finally:
        for p in patches:
            p.stop()


def broken(plan: Plan) -> str:
    """What broke; empty where all holds."""
    try:
        World(plan).play()
    except Broken as e:
        return str(e)
    return ""


def some(numbers: list[int], out: str = "") -> Broke:
    """Those that broke."""
    found = []
    with without(out):
        for n in numbers:
            plan = Plan.draw(n, (3, 5, 9)[n % 3])
            why = broken(plan)
            if why:
                found.append((n, why, plan.text()))
                if out:
                    break
    return found


def first_found(name: str, first: int, count: int) -> tuple[int, str]:
    """After how many plans the loss of a safeguard was found, and how; 0: not."""
    for n in range(first, first + count, CHUNK):
        found = some(list(range(n, n + CHUNK)), name)
        if found:
            return found[0][0] - first + 1, found[0][1]
    return 0, ""


def main() -> int:
    parser = argparse.ArgumentParser(description="Work in hand in simulated time.")
    parser.add_argument("--count", type=int, default=1_000)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--without", default="", choices=["", *SAFEGUARDS])
    parser.add_argument("--table", action="store_true")
    parser.add_argument("--replay", metavar="PLAN")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    if args.replay:
        with without(args.without):
            why = broken(Plan.read(args.replay))
        print(why or "all holds")
        return 1 if why else 0
    if args.table:
        missed = 0
        for name in SAFEGUARDS:
            after, how = first_found(name, args.first, args.count)
            missed += not after
            line = f"{name}: {f'after {after}: {how}' if after else 'NOT FOUND'}"
            print(json.dumps({"safeguard": name, "after": after, "how": how}) if args.json else line)
        return 1 if missed else 0
    played = broke = 0
    for n, found in many(partial(some, out=args.without), args.first, args.count, args.jobs, CHUNK):
        played, broke = played + n, broke + len(found)
        for number, why, plan in found:
            print(f"{number}: {why}\n  {plan}")
        if sys.stderr.isatty():
            print(f"\r{played} of {args.count}, {broke} broke", end="", file=sys.stderr)
    told = {"plans": played, "broke": broke}
    print(json.dumps(told) if args.json else f"{played} plans, {broke} broke")
    return 1 if broke else 0


if __name__ == "__main__":
    sys.exit(main())
