"""Measures what the things that clients make a proxy hold cost in resident memory, and prints a table.

    python -m benchmarks.memory_costs [--count 400]

Each row holds `--count` of one thing in a fresh proxy process and divides the growth of its resident memory
by the count. The constants of `magpiefront/net/memory_plan.py` are these figures with a margin.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import uvloop

from standins.crowd import Rig
from standins.world import ROOT

MEMORY_MB = 192
SETTLE_S = 0.7  # until the process has read what was written
QUEUED = 8  # requests that wait behind the first one on a connection

Hold = Callable[[Rig, int], Awaitable[list[asyncio.StreamWriter]]]


def resident_bytes(pid: int) -> int:
    """The resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


async def write_each(rig: Rig, count: int, message: Callable[[], bytes]) -> list[asyncio.StreamWriter]:
    """Opens `count` connections and writes a message on each."""
    writers = []
    for _ in range(count):
        _, writer = await rig.connect()
        writer.write(message())
        writers.append(writer)
    return writers


async def idle_connections(rig: Rig, count: int) -> list[asyncio.StreamWriter]:
    """Connections on which nothing was sent."""
    return await write_each(rig, count, lambda: b"")


async def partial_heads(rig: Rig, count: int) -> list[asyncio.StreamWriter]:
    """Connections with the first line of a request."""
    return await write_each(rig, count, lambda: rig.head()[:60])


async def partial_bodies(rig: Rig, count: int) -> list[asyncio.StreamWriter]:
    """Connections with a head and 30 KB of 60 KB of its body."""
    return await write_each(
        rig, count, lambda: rig.head(method="PUT", more="Content-Length: 60000\r\n") + b"x" * 30_000
    )


async def long_heads(rig: Rig, count: int) -> list[asyncio.StreamWriter]:
    """Connections with a head of 90 short fields that is not complete."""
    more = "".join(f"x{n}:\r\n" for n in range(90))
    return await write_each(rig, count, lambda: rig.head(more=more)[:-2])


async def open_requests(rig: Rig, count: int) -> list[asyncio.StreamWriter]:
    """Connections with a request that nodes work on."""
    return await write_each(rig, count, lambda: rig.head("work=9", deadline=20))


async def queued_requests(rig: Rig, count: int) -> list[asyncio.StreamWriter]:
    """The same with QUEUED further requests behind each."""
    return await write_each(
        rig, count, lambda: b"".join(rig.head("work=9", deadline=20) for _ in range(QUEUED + 1))
    )


HOLDS: tuple[Hold, ...] = (
    idle_connections, partial_heads, long_heads, partial_bodies, open_requests, queued_requests,
)  # fmt: skip


async def measure(hold: Hold, count: int) -> dict[str, object]:
    """Holds `count` of a thing in a fresh process, and returns what one costs."""
    with tempfile.TemporaryDirectory(prefix="costs-") as folder:
        rig = Rig(ROOT, Path(folder), MEMORY_MB, 4096)
        await rig.start()
        assert rig.process is not None
        try:
            warm = await write_each(rig, 8, rig.head)
            await asyncio.sleep(SETTLE_S)
            at_rest = resident_bytes(rig.process.pid)
            writers = await hold(rig, count)
            await asyncio.sleep(SETTLE_S)
            grown = resident_bytes(rig.process.pid) - at_rest
            for writer in warm + writers:
                writer.transport.abort()
            return {"held": hold.__name__, "count": count, "bytes each": grown // count}
        finally:
            await rig.stop()


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--count", type=int, default=400)
    args = parser.parse_args()
    for hold in HOLDS:
        print(json.dumps(uvloop.run(measure(hold, args.count))), flush=True)


if __name__ == "__main__":
    main()
