"""Benchmark of machine maintenance: the duration of a plan, and its cost for readers and the archive.

    python -m benchmarks.machines [--part fleet|start|rest] [--proxies 200] [--nodes 200] [--out 20]
                                  [--work 60] [--reads 1000] [--lost 0] [--without-plan] [--plot FILE]
                                  [--count 10]

fleet   simulated: a plan over all machines, with one node each: its duration compared with the least time
        that its limits allow; the share of reads in time and the reads of the archive per second, before and
        during the plan (`model/fleet.py`)
start   real processes: from `start` until the first machine is worked on, idle and with 80 reading clients
rest    messages and CPU time of each of three proxies without a plan and with a paused one

Prints one line of JSON. Times are in seconds unless the name says otherwise.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
from pathlib import Path
from random import Random
from typing import Any

from benchmarks.group import cpu_s
from magpiefront.maintenance.state_machine import FINISHED
from magpiefront.maintenance.plan import Limits
from magpiefront.model.fleet import US_PER_S, Fleet, Size
from standins.drill import Plan
from standins.machines import LIMITS, Round
from standins.rounds import temporary_folder

# The simulated plan starts at `PLAN_START_S`. The first `WARM_UP_S` fill the caches and are not measured.
PLAN_START_S, WARM_UP_S = 120, 90


def simulated(args: argparse.Namespace) -> dict[str, Any]:
    """Simulates a fleet during a plan, or without one for comparison."""
    limits = Limits(most_out=args.out, most_zone=args.out, least_left=0.5, most_work_s=10 * args.work)
    size = Size(proxies=args.proxies, nodes=args.nodes, reads=args.reads, keys=100 * args.nodes)
    fleet = Fleet(size, limits, args.work, args.seed)
    began = time.perf_counter()

    def print_progress(fleet: Fleet) -> None:
        if sys.stderr.isatty():
            done = sum(s.state in FINISHED for s in fleet.state.jobs.values())
            print(
                f"\r{fleet.kernel.now_us // US_PER_S} s, {done} of {args.nodes} done", end="", file=sys.stderr
            )

    fleet.run(PLAN_START_S, args.most, not args.without_plan, args.lost, print_progress)
    end_s = fleet.kernel.now_us // US_PER_S
    took_s = end_s - PLAN_START_S
    waves = -(-args.nodes // args.out)
    least_s = waves * (limits.spread_s + args.work + size.cold_us / US_PER_S)

    def summarize_reads(first_s: int, end_s: int) -> dict[str, Any]:
        total, in_time = fleet.reads.all, fleet.reads.in_time
        archive = [fleet.archive.reads_by_second[s] for s in range(first_s, end_s)]
        return {
            "in_time": round(sum(in_time[s] for s in range(first_s, end_s))
                             / max(1, sum(total[s] for s in range(first_s, end_s))), 5),
            "archive_mean": round(sum(archive) / len(archive), 1), "archive_peak": max(archive),
        }  # fmt: skip

    if args.plot:
        plot(fleet, end_s, args.plot)
    return {
        "proxies": args.proxies, "nodes": args.nodes, "most_out": args.out, "work_s": args.work,
        "lost": args.lost, "reads_a_second": args.reads, "plan": not args.without_plan,
        "quiet": summarize_reads(WARM_UP_S, PLAN_START_S), "meanwhile": summarize_reads(PLAN_START_S, end_s),
        "took_s": took_s, "least_s": least_s, "ratio": round(took_s / least_s, 3),
        "were_out": len(fleet.out_since_s),
        "most_were_out": fleet.most_out, "broken": fleet.violations[:3],
        "cpu_s": round(time.perf_counter() - began),
    }  # fmt: skip


def plot(fleet: Fleet, end_s: int, path: Path) -> None:
    """Plots the reads of the archive and the share of reads in time, for each simulated second."""
    import matplotlib  # type: ignore[import-not-found]

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, (top, bottom) = pyplot.subplots(2, 1, figsize=(8, 5), sharex=True)
    seconds = range(WARM_UP_S, end_s)
    top.plot(seconds, [fleet.archive.reads_by_second[s] for s in seconds], linewidth=0.7)
    top.set_ylabel("reads of the archive per second")
    top.axvline(PLAN_START_S, color="grey", linewidth=0.5)
    bottom.plot(
        seconds, [fleet.reads.in_time[s] / max(1, fleet.reads.all[s]) for s in seconds], linewidth=0.7
    )
    bottom.set_ylabel("share of reads in time")
    bottom.set_ylim(0.9, 1.005)
    bottom.set_xlabel("time (s); the plan starts at the line")
    figure.tight_layout()
    figure.savefig(path)


class MeasuredRound(Round):
    """Three processes without faults. No machine has a proxy, so no process ends during the plan."""

    limits = {**LIMITS, "spread_s": 5.0}  # noqa: RUF012 spread_s is the default of an operator's plan

    def __init__(self, folder: Path, readers: int, seed: int) -> None:
        super().__init__(Plan(seed, 3, work="sqlite"), folder)
        self.readers = readers
        for machine in self.machines:
            machine.proxies = []

    async def start_processes(self) -> None:
        """Starts everything and waits until the members have converged."""
        await self.prepare()
        await asyncio.gather(*(p.start() for p in self.processes))
        await self.wait_until_converged("at the start")

    async def start_plan(self) -> None:
        """Sends the plan until it is accepted."""
        plan = {"id": "kernel", "by": "rig", "machines": [m.name for m in self.machines],
                "limits": self.limits, "command": self.command}  # fmt: skip
        reply = None
        while reply is None or "error" in reply:
            reply = await self.send_command(Random(1), what="start", plan=plan)


async def start(readers: int, seed: int) -> float:
    """Returns the seconds from the start of a plan until the first machine is worked on."""
    async with temporary_folder() as folder:
        measured_round = MeasuredRound(folder, readers, seed)
        try:
            await measured_round.start_processes()
            clients = [asyncio.create_task(measured_round.run_reader(n)) for n in range(readers)]
            await asyncio.sleep(3.0)
            began = time.monotonic()
            await measured_round.start_plan()
            while not any(m.working or m.done for m in measured_round.machines):
                await asyncio.sleep(0.005)
            took_s = time.monotonic() - began
            measured_round.plan_ended = True
            await asyncio.gather(*clients)
            return took_s
        finally:
            await measured_round.close()


async def rest(seconds: float) -> dict[str, Any]:
    """Measures the messages and the CPU time of each process, without a plan and with a paused one."""
    async with temporary_folder() as folder:
        measured_round = MeasuredRound(folder, 0, 1)

        async def sent_counts() -> dict[str, int]:
            statuses = {
                n: await measured_round.member_client(n).request({"do": "status"}, 2.0)
                for n in measured_round.names
            }
            return {n: s["counts"].get("sent", 0) for n, s in statuses.items()}

        async def measure() -> dict[str, Any]:
            pids = [p.process.pid for p in measured_round.processes if p.process is not None]
            before, cpu_before_s, began = await sent_counts(), [cpu_s(p) for p in pids], time.monotonic()
            await asyncio.sleep(seconds)
            after, took_s = await sent_counts(), time.monotonic() - began
            return {
                "messages_a_second": [round((after[n] - before[n]) / took_s, 1)
                                      for n in measured_round.names],
                "cpu_share": [round((cpu_s(p) - cpu) / took_s, 4)
                              for p, cpu in zip(pids, cpu_before_s, strict=True)],
            }  # fmt: skip

        try:
            await measured_round.start_processes()
            await asyncio.sleep(3.0)
            without_plan = await measure()
            await measured_round.start_plan()
            await measured_round.send_command(Random(1), what="steer", to="pause", plan="kernel", by="rig")
            while any(m.working for m in measured_round.machines):
                await asyncio.sleep(0.1)
            await asyncio.sleep(10.0)  # a machine that was out at the pause may still have to return
            return {"without": without_plan, "paused": await measure()}
        finally:
            await measured_round.close()


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--part", choices=["fleet", "start", "rest"], default="fleet")
    parser.add_argument("--proxies", type=int, default=200)
    parser.add_argument("--nodes", type=int, default=200)
    parser.add_argument("--out", type=int, default=20, help="maximum number of machines out at the same time")
    parser.add_argument(
        "--work", type=float, default=60.0, metavar="S", help="duration of the work on each machine"
    )
    parser.add_argument("--reads", type=float, default=1_000.0, help="reads per second of the whole fleet")
    parser.add_argument("--lost", type=int, default=0, help="proxies lost during the plan, for 10 s each")
    parser.add_argument("--without-plan", action="store_true")
    parser.add_argument("--most", type=int, default=3_000, metavar="S", help="maximum simulated time")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--plot", type=Path)
    parser.add_argument("--count", type=int, default=10, help="rounds of start, or seconds of rest")
    args = parser.parse_args()
    found: dict[str, Any] = {}
    if args.part == "fleet":
        found = simulated(args)
    elif args.part == "rest":
        found = asyncio.run(rest(args.count))
    else:
        for name, readers in (("idle", 0), ("loaded", 80)):
            took = sorted(asyncio.run(start(readers, n)) for n in range(args.count))
            found[name] = {"p50": round(took[len(took) // 2], 2), "max": round(took[-1], 2)}
    print(json.dumps({"benchmark": f"machines {args.part}", **found}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
