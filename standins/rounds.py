"""Runs rounds of a drill, several at the same time, and prints a summary of their results."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, Protocol, TypeVar


class RoundPlan(Protocol):
    """The plan of a round: its seed, and the text that `--replay` accepts."""

    @property
    def seed(self) -> int: ...
    def text(self) -> str: ...


PlanT = TypeVar("PlanT", bound=RoundPlan)


@asynccontextmanager
async def temporary_folder() -> AsyncIterator[Path]:
    """Yields a temporary folder, which is removed in a thread at the end. On a slow disk the removal takes
    seconds. In the event loop it would stop the relays, discovery and clients of other rounds for that time,
    and the delay would be attributed to the program under test."""
    folder = tempfile.TemporaryDirectory()
    try:
        yield Path(folder.name)
    finally:
        await asyncio.to_thread(folder.cleanup)


async def run_all(
    plans: Sequence[PlanT], run_round: Callable[[PlanT, Path], Awaitable[dict[str, Any]]], at_once: int,
    quiet: bool,
) -> tuple[list[dict[str, Any]], list[str]]:  # fmt: skip
    """Runs the round of each plan in a folder of its own, at most `at_once` at the same time. Returns the
    results, each with the seed in its `faults` (the violations), and the plans of the rounds with violations.
    `quiet`: prints no progress."""
    semaphore = asyncio.Semaphore(at_once)
    results: list[dict[str, Any]] = []
    failed_plans: list[str] = []

    async def run_one(plan: PlanT) -> None:
        async with semaphore, temporary_folder() as folder:
            result = await run_round(plan, folder)
        if result["faults"]:
            failed_plans.append(plan.text())
        result["faults"] = [f"round {plan.seed}: {f}" for f in result["faults"]]
        results.append(result)
        if not quiet:
            line = f"\r{len(results)} of {len(plans)} rounds, {len(failed_plans)} with violations"
            print(line, end="", file=sys.stderr, flush=True)

    await asyncio.gather(*(run_one(p) for p in plans))
    if not quiet:
        print(file=sys.stderr)
    return results, failed_plans


def print_summary(result: dict[str, Any], names: Sequence[str]) -> None:
    """Prints the fields `names` of the result, the first 20 violations, and the options that replay their
    rounds."""
    for name in names:
        print(f"{name:10} {result[name]:8}")
    for violation in result["faults"][:20]:
        print("  " + violation)
    for plan in result["replay"]:
        print(f"  --replay '{plan}'")
