"""Benchmark of takeover: the time until another proxy answers the open reports of a lost one.

    python -m benchmarks.takeover [--how kill|end|stop] [--work sqlite|postgres|group] [--members 3]
                                  [--count 200] [--at-once 3] [--without-group] [--plot FILE]

A round runs several members over one store. Eight reports are open at one of them (the leader and the
others in turn) when it is killed, terminated (SIGTERM) or suspended. Each client then retries at another
member under the same key until its report is confirmed. The time is measured from the fault to each
confirmation, in milliseconds. With `--without-group`, the processes share the store but form no group. Prints
one line of JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
from collections.abc import Awaitable
from pathlib import Path
from typing import Any

from benchmarks.group import find_leader, quantiles
from standins.drill import Plan
from standins.reports import Report, send_report
from standins.rounds import temporary_folder
from standins.takeover import Round
from standins.world import RunFailed, until_ready

OPEN_REPORTS = 8
ABANDON_DELAY_S = 0.3  # longer than a process takes after SIGTERM to answer its open reports
CONFIRMATION_TIMEOUT_S = 15.0


class UngroupedRound(Round):
    """A round whose processes share the store but form no group."""

    async def prepare(self) -> None:
        await super().prepare()
        for p in self.processes:
            file = self.folder / p.operator_file
            text = file.read_text()
            file.write_text(text[: text.index("[group]")] + text[text.index("[record]") :])


async def await_first_answer(
    answer: Awaitable[tuple[int, float]], fault: asyncio.Future[float]
) -> tuple[int, float]:  # fmt: skip
    """Waits for the answer of the first process, but gives up `ABANDON_DELAY_S` after the fault: a client of
    a suspended process would otherwise wait for its whole timeout before it tries another one. Returns the
    status and the seconds to wait before a retry, or zeros if it gave up."""
    task = asyncio.ensure_future(answer)
    answer_and_fault: set[asyncio.Future[Any]] = {task, fault}
    await asyncio.wait(answer_and_fault, return_when=asyncio.FIRST_COMPLETED)
    await asyncio.wait({task}, timeout=ABANDON_DELAY_S)
    if not task.done():
        task.cancel()
        return 0, 0.0
    return task.result()


async def retry_until_confirmed(
    report: Report, first: int, others: list[int], fault: asyncio.Future[float]
) -> float:  # fmt: skip
    """Sends the report to the port `first`, and after the fault to one of the others, changing to the next
    one after each try without an answer. Returns the seconds from the fault to the confirmation. Raises
    RunFailed after `CONFIRMATION_TIMEOUT_S`."""
    port, unanswered = first, 0
    end = time.monotonic() + CONFIRMATION_TIMEOUT_S
    while not report.confirmed and time.monotonic() < end:
        answer = send_report(report, port)
        status, after_s = await (await_first_answer(answer, fault) if port == first else answer)
        report.statuses.append(status)
        if not fault.done():
            await fault
        port = others[unanswered % len(others)]
        unanswered += status == 0
        if status not in (0, 200):
            await asyncio.sleep(after_s)
    if not report.confirmed:
        raise RunFailed(f"{report.key} was not confirmed, its statuses were {report.statuses}")
    return report.confirmed_s - fault.result()


async def run_round(number: int, members: int, how: str, work: str, ungrouped: bool) -> list[float]:
    """Runs a round and returns the seconds from the fault to each confirmation. `how`: the value of `--how`.
    Raises RunFailed if a report was not confirmed or had two effects."""
    async with temporary_folder() as folder:
        group_round = (UngroupedRound if ungrouped else Round)(
            Plan(number, members, work=work), folder, relayed=False
        )
        group_round.node.slow_share = 0.0
        group_round.archive.service_time_s = 0.1  # so that the reports are open when the fault occurs
        await group_round.prepare()
        try:
            await asyncio.gather(*(p.spawn() for p in group_round.processes))
            for p in group_round.processes:
                assert p.process is not None
                await until_ready(p.name, p.port, p.process, p.log)
            first = group_round.names[number % members]
            if not ungrouped:
                await group_round.wait_until_converged("at the start")
                if number % members == 0:
                    first = await find_leader(group_round)
            victim = next(p for p in group_round.processes if p.name == first)
            others = [p.port for p in group_round.processes if p is not victim]
            fault: asyncio.Future[float] = asyncio.get_running_loop().create_future()
            reports = [Report(f"k{n}", b"level=%d" % n) for n in range(OPEN_REPORTS)]
            clients = [
                asyncio.create_task(retry_until_confirmed(report, victim.port, others, fault))
                for report in reports
            ]
            await asyncio.sleep(0.08)
            began = time.monotonic()
            if how == "kill":
                await victim.kill()
            elif how == "stop":
                victim.suspend()
            else:
                assert victim.process is not None
                victim.process.terminate()
            fault.set_result(began)
            durations_s = await asyncio.gather(*clients)
            doubled = [k for k, n in group_round.archive.effects.items() if n > 1]
            if doubled:
                raise RunFailed(f"{doubled} had two effects")
            return durations_s
        finally:
            for p in group_round.processes:
                p.resume()
            await group_round.close()


async def run_rounds(args: argparse.Namespace) -> list[float]:
    """Runs all rounds, `--at-once` at the same time. Returns the durations of all reports in seconds."""
    semaphore = asyncio.Semaphore(args.at_once)
    done = 0

    async def limited(n: int) -> list[float]:
        nonlocal done
        async with semaphore:
            durations_s = await run_round(n, args.members, args.how, args.work, args.without_group)
        done += 1
        if sys.stderr.isatty():
            print(f"\r{done} of {args.count}", end="", file=sys.stderr, flush=True)
        return durations_s

    return [t for found in await asyncio.gather(*(limited(n) for n in range(args.count))) for t in found]


def plot(durations_ms: list[float], path: Path) -> None:
    """Plots the cumulative distribution of the durations."""
    import matplotlib  # type: ignore[import-not-found]

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(6, 3))
    ordered = sorted(durations_ms)
    axes.plot(ordered, [(n + 1) / len(ordered) for n in range(len(ordered))])
    axes.set_xlabel("time from the fault to the confirmation (ms)")
    axes.set_ylabel("share of reports")
    axes.set_xlim(left=0)
    figure.tight_layout()
    figure.savefig(path)


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--how", choices=["kill", "end", "stop"], default="kill")
    parser.add_argument("--work", choices=["sqlite", "postgres", "group"], default="sqlite")
    parser.add_argument("--members", type=int, default=3)
    parser.add_argument("--count", type=int, default=200, help="rounds")
    parser.add_argument("--at-once", type=int, default=3)
    parser.add_argument("--without-group", action="store_true")
    parser.add_argument("--plot", type=Path)
    args = parser.parse_args()
    try:
        durations_s = asyncio.run(run_rounds(args))
    except RunFailed as e:
        print(f"benchmarks.takeover: {e}", file=sys.stderr)
        return 2
    found: dict[str, Any] = {
        "benchmark": "takeover", "how": args.how, "work": args.work, "members": args.members,
        "group": not args.without_group, "rounds": args.count, "reports": len(durations_s),
        **quantiles(durations_s), "over_1_s": sum(t > 1 for t in durations_s),
    }  # fmt: skip
    if args.plot is not None:
        plot([t * 1e3 for t in durations_s], args.plot)
    print(json.dumps(found))
    return 0


if __name__ == "__main__":
    sys.exit(main())
