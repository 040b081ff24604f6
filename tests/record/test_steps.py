"""A real process that dies between any two steps of a report: the report is stored once and has run once."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from standins.killstore import Plan, Round
from standins.reports import Report, wait_until_none_open
from tests.record.crashing import POINTS


@pytest.mark.parametrize("store", ["sqlite", "postgres"])
def test_a_gateway_that_dies_at_any_step_loses_and_repeats_no_report(store: str, tmp_path: Path) -> None:
    limit = asyncio.Semaphore(6)

    async def run_point(point: str) -> str:
        folder = tmp_path / point.replace(" ", "-")
        folder.mkdir()
        async with limit:
            return f"{point}: {await die_and_recover(point, Round(Plan(1, store), folder))}"

    async def main() -> None:
        found = await asyncio.gather(*(run_point(p) for p in POINTS))
        assert list(found) == [f"{p}: fine" for p in POINTS]

    asyncio.run(asyncio.wait_for(main(), 300))


async def die_and_recover(point: str, kill_round: Round) -> str:
    """Makes a gateway die at the point and starts its successor, which has to complete the report. Returns
    what was wrong, or "fine"."""
    kill_round.node.slow_share = 0.0
    (gateway,) = kill_round.gateways
    await kill_round.prepare()
    try:
        gateway.program = ["-m", "tests.record.crashing", point]
        await gateway.start()
        report = Report("k1", b"level=3.2")
        kill_round.clients.reports.append(report)
        assert gateway.process is not None
        end = asyncio.create_task(gateway.process.wait())
        for _ in range(200):
            # A gateway on a busy machine may refuse the report before that step (`net/lag.py`): the client
            # retries.
            status, after_s = await kill_round.send_report(report, gateway)
            report.statuses.append(status)
            if (await asyncio.wait({end}, timeout=5 if status in (0, 200) else after_s))[0]:
                break
        if not end.done():
            end.cancel()
            return f"it did not reach that step, its client got {report.statuses}"
        exit_status = await end
        if exit_status != 9:
            log_end = gateway.log.read_text()[-1_000:]
            return f"it ended with {exit_status}, its client got {report.statuses}; {log_end}"
        if status != 0 and (status, point) != (200, "after Reply"):
            return f"its client got {status}"
        # Its successor has the same store, and the client retries under the same key.
        gateway.program = ["-m", "magpiefront"]
        await gateway.start()
        for _ in range(200):
            status, after_s = await kill_round.send_report(report, gateway)
            report.statuses.append(status)
            if status == 200:
                break
            await asyncio.sleep(after_s)
        await wait_until_none_open(kill_round.read_rows)
        found = kill_round.evaluate()
        if found["faults"] or found["confirmed"] != 1 or found["open"] or found["unknown"]:
            return str(found)
        return "fine"
    finally:
        await kill_round.close()
