"""Rounds of a rig, several at once, and what a program prints of them."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, Protocol, TypeVar


class Planned(Protocol):
    @property
    def seed(self) -> int: ...
    def text(self) -> str: ...


P = TypeVar("P", bound=Planned)


async def play_all(
    plans: Sequence[P], play: Callable[[P, Path], Awaitable[dict[str, Any]]], at_once: int, quiet: bool
) -> tuple[list[dict[str, Any]], list[str]]:  # fmt: skip
    """What came of each, `faults` with its round's seed, and the plans that ended with some."""
    gate = asyncio.Semaphore(at_once)
    done: list[dict[str, Any]] = []
    faulty: list[str] = []

    async def one(plan: P) -> None:
        async with gate:
            with tempfile.TemporaryDirectory() as folder:
                found = await play(plan, Path(folder))
        if found["faults"]:
            faulty.append(plan.text())
        found["faults"] = [f"round {plan.seed}: {f}" for f in found["faults"]]
        done.append(found)
        if not quiet:
            line = f"\r{len(done)} of {len(plans)} rounds, {len(faulty)} with faults"
            print(line, end="", file=sys.stderr, flush=True)

    await asyncio.gather(*(one(p) for p in plans))
    if not quiet:
        print(file=sys.stderr)
    return done, faulty


def tell(found: dict[str, Any], names: Sequence[str]) -> None:
    """For people: the sums, the first faults, and how to play them again."""
    for name in names:
        print(f"{name:10} {found[name]:8}")
    for fault in found["faults"][:20]:
        print("  " + fault)
    for plan in found["replay"]:
        print(f"  --replay '{plan}'")
