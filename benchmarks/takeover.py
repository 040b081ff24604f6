"""How soon another proxy answers what a lost one had in hand, over real processes.

    python -m benchmarks.takeover [--how kill|end|stop] [--work sqlite|postgres|group] [--members 3]
                                  [--count 200] [--at-once 3] [--without-group] [--plot FILE]

A round: members over one store, eight reports in hand at one of them (at the leader and at others in turn),
which then is killed, ended as planned (SIGTERM) or stopped; their clients come at once to another one under
the same key, and come again until they are confirmed. From the fault to each confirmation, milliseconds.
`--without-group` plays the same with processes that know nothing of each other. One line of JSON last.
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

from benchmarks.group import leader, quantiles
from standins.drill import Plan
from standins.reports import Report, ask
from standins.rounds import own_folder
from standins.takeover import Round
from standins.world import Failed, until_ready

IN_HAND = 8
PATIENCE_S = 0.3  # longer than a planned end takes to answer what is in hand
MOST_S = 15.0


class Alone(Round):
    """The same processes, without a group."""

    async def prepare(self) -> None:
        await super().prepare()
        for p in self.processes:
            file = self.folder / p.operator
            text = file.read_text()
            file.write_text(text[: text.index("[group]")] + text[text.index("[record]") :])


async def first_answer(
    asked: Awaitable[tuple[int, float]], fault: asyncio.Future[float]
) -> tuple[int, float]:  # fmt: skip
    """Who waits for a process that is stopped would wait its time out: it comes to another one soon after the
    fault."""
    task = asyncio.ensure_future(asked)
    both: set[asyncio.Future[Any]] = {task, fault}
    await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
    await asyncio.wait({task}, timeout=PATIENCE_S)
    if not task.done():
        task.cancel()
        return 0, 0.0
    return task.result()


async def until_confirmed(
    report: Report, first: int, others: list[int], fault: asyncio.Future[float]
) -> float:  # fmt: skip
    """Seconds from the fault to its confirmation."""
    port, at = first, 0
    end = time.monotonic() + MOST_S
    while not report.confirmed and time.monotonic() < end:
        asked = ask(report, port)
        status, after_s = await (first_answer(asked, fault) if port == first else asked)
        report.statuses.append(status)
        if not fault.done():
            await fault
        port = others[at % len(others)]
        at += status == 0
        if status not in (0, 200):
            await asyncio.sleep(after_s)
    if not report.confirmed:
        raise Failed(f"{report.key} was not confirmed: {report.statuses}")
    return report.done_s - fault.result()


async def one(number: int, members: int, how: str, work: str, alone: bool) -> list[float]:
    async with own_folder() as folder:
        r = (Alone if alone else Round)(Plan(number, members, work=work), folder, relayed=False)
        r.node.slow_share = 0.0
        r.archive.time_s = 0.1  # so that they are in hand when it comes
        await r.prepare()
        try:
            await asyncio.gather(*(p.spawn() for p in r.processes))
            for p in r.processes:
                assert p.process is not None
                await until_ready(p.name, p.port, p.process, p.log)
            first = r.names[number % members]
            if not alone:
                await r._until_whole("at the start")
                if number % members == 0:
                    first = await leader(r)
            victim = next(p for p in r.processes if p.name == first)
            others = [p.port for p in r.processes if p is not victim]
            fault: asyncio.Future[float] = asyncio.get_running_loop().create_future()
            reports = [Report(f"k{n}", b"level=%d" % n) for n in range(IN_HAND)]
            asked = [asyncio.create_task(until_confirmed(x, victim.port, others, fault)) for x in reports]
            await asyncio.sleep(0.08)
            began = time.monotonic()
            if how == "kill":
                await victim.kill()
            elif how == "stop":
                victim.stop()
            else:
                assert victim.process is not None
                victim.process.terminate()
            fault.set_result(began)
            took = await asyncio.gather(*asked)
            doubled = [k for k, n in r.archive.effects.items() if n > 1]
            if doubled:
                raise Failed(f"{doubled} had two effects")
            return took
        finally:
            for p in r.processes:
                p.go_on()
            await r.end()


async def many(args: argparse.Namespace) -> list[float]:
    gate = asyncio.Semaphore(args.at_once)
    done = 0

    async def each(n: int) -> list[float]:
        nonlocal done
        async with gate:
            took = await one(n, args.members, args.how, args.work, args.without_group)
        done += 1
        if sys.stderr.isatty():
            print(f"\r{done} of {args.count}", end="", file=sys.stderr, flush=True)
        return took

    return [t for took in await asyncio.gather(*(each(n) for n in range(args.count))) for t in took]


def plot(took_ms: list[float], path: Path) -> None:
    import matplotlib  # type: ignore[import-not-found]

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(6, 3))
    ordered = sorted(took_ms)
    axes.plot(ordered, [(n + 1) / len(ordered) for n in range(len(ordered))])
    axes.set_xlabel("from the fault to the confirmation (ms)")
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
        took = asyncio.run(many(args))
    except Failed as e:
        print(f"benchmarks.takeover: {e}", file=sys.stderr)
        return 2
    found: dict[str, Any] = {
        "benchmark": "takeover", "how": args.how, "work": args.work, "members": args.members,
        "group": not args.without_group, "rounds": args.count, "reports": len(took), **quantiles(took),
        "over_1_s": sum(t > 1 for t in took),
    }  # fmt: skip
    if args.plot is not None:
        plot([t * 1e3 for t in took], args.plot)
    print(json.dumps(found))
    return 0


if __name__ == "__main__":
    sys.exit(main())
