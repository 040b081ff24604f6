"""Many numbered schedules over a pool of processes, as they are done."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor

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
