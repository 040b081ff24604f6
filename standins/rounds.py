"""Rounds of a rig, several at once, and what a program prints of them."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, Protocol, TypeVar


class Planned(Protocol):
    @property
    def seed(self) -> int: ...
    def text(self) -> str: ...


P = TypeVar("P", bound=Planned)


@asynccontextmanager
async def own_folder() -> AsyncIterator[Path]:
    """Removed in a thread: on a slow disk it takes seconds, in which a rig's relays, lists and clients
    would stand still, and be taken for what they judge."""
    folder = tempfile.TemporaryDirectory()
    try:
        yield Path(folder.name)
    finally:
        await asyncio.to_thread(folder.cleanup)


async def play_all(
    plans: Sequence[P], play: Callable[[P, Path], Awaitable[dict[str, Any]]], at_once: int, quiet: bool
) -> tuple[list[dict[str, Any]], list[str]]:  # fmt: skip
    """What came of each, `faults` with its round's seed, and the plans that ended with some."""
    gate = asyncio.Semaphore(at_once)
    done: list[dict[str, Any]] = []
    faulty: list[str] = []

    async def one(plan: P) -> None:
        async with gate, own_folder() as folder:
            found = await play(plan, folder)
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
