"""A real process that dies between any two steps of a report's life: the report ends held once, run once."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from standins.killstore import Report, Round
from tests.record.crashing import POINTS


@pytest.mark.parametrize("store", ["sqlite", "postgres"])
def test_a_gateway_that_dies_at_any_step_loses_and_doubles_nothing(store: str, tmp_path: Path) -> None:
    gate = asyncio.Semaphore(6)

    async def each(point: str) -> str:
        folder = tmp_path / point.replace(" ", "-")
        folder.mkdir()
        async with gate:
            return f"{point}: {await dies(point, Round(1, folder, store))}"

    async def main() -> None:
        found = await asyncio.gather(*(each(p) for p in POINTS))
        assert list(found) == [f"{p}: fine" for p in POINTS]

    asyncio.run(asyncio.wait_for(main(), 300))


async def dies(point: str, r: Round) -> str:
    """What was wrong, or "fine"."""
    r.node.slow_share = 0.0
    await r.prepare()
    try:
        r.program = ["-m", "tests.record.crashing", point]
        await r.start()
        report = Report("k1", b"level=3.2")
        r.reports.append(report)
        status, _ = await r._ask(report)
        report.statuses.append(status)
        assert r.process is not None
        if await r.process.wait() != 9:
            return "it did not come to that step"
        if status != 0 and (status, point) != (200, "after Reply"):
            return f"its client was told {status}"
        # The next one has the same store, and the client tries again under its key.
        r.program = ["-m", "magpiefront"]
        await r.start()
        for _ in range(200):
            status, after_s = await r._ask(report)
            report.statuses.append(status)
            if status == 200:
                break
            await asyncio.sleep(after_s)
        await r._quiet()
        found = r.judge()
        if found["faults"] or found["confirmed"] != 1 or found["open"] or found["unknown"]:
            return str(found)
        return "fine"
    finally:
        if r.process is not None and r.process.returncode is None:
            r.process.terminate()
            await r.process.wait()
        r.node.stop()
        r.discovery.stop()
        if r.pg is not None:
            r.pg.kill()
