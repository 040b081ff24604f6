"""What it costs to be able to take over, and what the loss of one of five does to the others' traffic.

    python -m benchmarks.survival [--part cost|load] [--count 600] [--rounds 3] [--share 0.8] [--seconds 5]

cost   three members over one SQLite file, the same three without a group, and three over the group's own
       store, asked in turn: a report (p50 and p99), a read, reports a second with 64 at once, and processor
       time of the proxy that is asked, a read; as ratios to the one without a group
load   five members at `--share` of what the nodes can do (nine reads to one report); one of them is killed.
       Share of reads answered in time (0.5 s) in the seconds before and after, and how full the nodes were

One line of JSON last. Times in milliseconds.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random
from statistics import median
from typing import Any

from benchmarks.group import quantiles
from benchmarks.takeover import Alone
from standins.client import Ask, Client
from standins.drill import Plan
from standins.node import Node
from standins.rounds import own_folder
from standins.takeover import Round
from standins.world import Failed

IN_TIME_S, DEADLINE_S = 0.5, 2.0
PART, AT_ONCE = 50, 64
NODES, SLOTS, NODE_S = 4, 16, 0.1  # of `load`; a node's time is drawn from 0.5 to 2 times that
KEYS = 400
MEAN = 1.25
NEVER = float("inf")


class Numbers:
    def __init__(self) -> None:
        self.at = 0

    def ask(self, kind: str, key: str = "") -> Ask:
        self.at += 1
        name = f"n{self.at}"
        write = kind == "field-report"
        return Ask(name, kind, "west", key or f"k{self.at}", "PUT" if write else "GET", DEADLINE_S,
                   once=name if write else "")  # fmt: skip


async def up(r: Round, grouped: bool) -> None:
    r.node.slow_share, r.archive.time_s, r.node.time_s = 0.0, 0.0, 0.0
    await r.prepare()
    for p in r.processes:  # the rig's few entries between snapshots are for its faults
        file = r.folder / p.operator
        file.write_text(file.read_text().replace("compact = 60\nkeep = 20\n", ""))
    await asyncio.gather(*(p.start() for p in r.processes))
    if grouped:
        await r._until_whole("at the start")


def cpu_s(r: Round) -> float:
    """Of the first one."""
    p = r.processes[0].process
    assert p is not None
    return int(Path(f"/proc/{p.pid}/schedstat").read_text().split()[0]) / 1e9


class Party:
    """One set of processes, and what was measured of it."""

    def __init__(self, r: Round, numbers: Numbers) -> None:
        self.r, self.numbers = r, numbers
        self.client = Client(r.processes[0].port)
        self.took: dict[str, list[float]] = {"field-report": [], "level-read": []}
        self.rates: list[float] = []
        self.cpu_ms: list[float] = []

    async def one(self, kind: str, key: str = "") -> float:
        """Raises Failed."""
        a = await self.client.ask(self.numbers.ask(kind, key))
        if a.status != 200:
            raise Failed(f"{kind} was answered {a.status} {a.ended}")
        return a.took

    def forget(self) -> None:
        """What came before all was warm."""
        self.took["field-report"].clear()
        self.took["level-read"].clear()
        self.cpu_ms.clear()

    async def turn(self) -> None:
        for kind, key in (("field-report", ""), ("level-read", "hot")):
            before = cpu_s(self.r)
            self.took[kind] += [await self.one(kind, key) for _ in range(PART)]
            if kind == "level-read":
                self.cpu_ms.append((cpu_s(self.r) - before) / PART * 1e3)

    async def rush(self, count: int) -> None:
        loop = asyncio.get_running_loop()
        began, left = loop.time(), iter(range(count))

        async def each() -> None:
            for _ in left:
                await self.one("field-report")

        await asyncio.gather(*(each() for _ in range(AT_ONCE)))
        self.rates.append(count / (loop.time() - began))

    def told(self) -> dict[str, Any]:
        return {
            "report": quantiles(self.took["field-report"]), "read": quantiles(self.took["level-read"]),
            "reports_a_second": round(median(self.rates)), "read_cpu_ms": round(median(self.cpu_ms), 4),
        }  # fmt: skip


async def cost(args: argparse.Namespace) -> dict[str, Any]:
    kinds: dict[str, tuple[Callable[..., Round], str, bool]] = {
        "alone": (Alone, "sqlite", False), "group": (Round, "sqlite", True), "store": (Round, "group", True),
    }  # fmt: skip
    async with AsyncExitStack() as stack:
        parties: dict[str, Party] = {}
        for name, (make, work, grouped) in kinds.items():
            r = make(Plan(1, 3, work=work), await stack.enter_async_context(own_folder()), relayed=False)
            stack.push_async_callback(r.end)
            await up(r, grouped)
            parties[name] = Party(r, Numbers())
        for p in parties.values():
            await p.turn()
            p.forget()
        for _ in range(max(1, args.count // PART)):
            for p in parties.values():
                await p.turn()
        for _ in range(args.rounds):
            for p in parties.values():
                await p.rush(args.count)
        told = {name: p.told() for name, p in parties.items()}
    base = told["alone"]
    for name in ("group", "store"):
        told[name]["to_alone"] = {
            "report_p50": round(told[name]["report"]["p50"] / base["report"]["p50"], 2),
            "read_p50": round(told[name]["read"]["p50"] / base["read"]["p50"], 2),
            "read_cpu": round(told[name]["read_cpu_ms"] / base["read_cpu_ms"], 2),
            "reports_a_second": round(told[name]["reports_a_second"] / base["reports_a_second"], 2),
        }
    return told


class Fleet(Round):
    """Over nodes that have so many places and no more."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        super().__init__(plan, folder, relayed=False)
        self.archive.time_s, self.archive.places = 0.005, 64
        self.nodes = [Node(f"west-{n}", self.archive, plan.seed + n, slots=SLOTS, time_s=NODE_S)
                      for n in range(NODES)]  # fmt: skip

    async def prepare(self) -> None:
        await super().prepare()
        for node in self.nodes:
            await node.start()
        self.discovery.set([node.entry() for node in self.nodes])

    async def end(self) -> None:
        await super().end()
        for node in self.nodes:
            node.stop()


async def load(args: argparse.Namespace) -> dict[str, Any]:
    async with own_folder() as folder:
        r = Fleet(Plan(1, 5, work="sqlite"), folder)
        await r.prepare()
        try:
            await asyncio.gather(*(p.start() for p in r.processes))
            await r._until_whole("at the start")
            return await Traffic(r, args.share, args.seconds).play()
        finally:
            await r.end()


class Traffic:
    """Open: each request comes at its moment, whatever became of those before. Who finds its proxy gone
    comes to another at once, and a report's client until it has its answer."""

    def __init__(self, r: Fleet, share: float, seconds: float) -> None:
        self.r, self.seconds = r, seconds
        self.rate = share * NODES * SLOTS / (NODE_S * MEAN)
        self.random = Random(1)
        self.clients = [Client(p.port) for p in r.processes]
        self.numbers = Numbers()
        self.reads: list[tuple[float, float]] = []  # when it was due, what it took
        self.reports: list[float] = []
        self.full: list[tuple[float, float]] = []  # when, the part of the nodes' places that is taken
        self.over = False

    async def play(self) -> dict[str, Any]:
        loop = asyncio.get_running_loop()
        tasks: list[asyncio.Task[None]] = []
        looking = asyncio.create_task(self._look())
        warm_s = self.seconds
        begin, lost_s = loop.time(), 0.0
        at = begin
        end = begin + warm_s + 2 * self.seconds
        killed = False
        while at < end:
            at += self.random.expovariate(self.rate)
            await asyncio.sleep(max(0.0, at - loop.time()))
            if not killed and at > begin + warm_s + self.seconds:
                killed, lost_s = True, loop.time()
                tasks.append(asyncio.create_task(self.r.processes[0].kill()))
            tasks.append(asyncio.create_task(self._one(at)))
        await asyncio.gather(*tasks)
        self.over = True
        await looking
        for c in self.clients:
            c.close()
        before, after = (lost_s - self.seconds, lost_s), (lost_s, lost_s + self.seconds)
        doubled = sum(n > 1 for n in self.r.archive.effects.values())
        if doubled:
            raise Failed(f"{doubled} reports had two effects")
        return {
            "asked_a_second": round(self.rate), "reads": len(self.reads), "reports": len(self.reports),
            "in_time_before": self._in_time(*before), "in_time_after": self._in_time(*after),
            "nodes_before": self._taken(*before), "nodes_after": self._taken(*after),
            "reports_failed": sum(t == NEVER for t in self.reports),
            "report": quantiles([t for t in self.reports if t != NEVER]),
        }  # fmt: skip

    def _in_time(self, first: float, last: float) -> float:
        some = [took for at, took in self.reads if first <= at < last]
        return round(sum(took <= IN_TIME_S for took in some) / len(some), 4)

    def _taken(self, first: float, last: float) -> dict[str, float]:
        some = sorted(part for at, part in self.full if first <= at < last)
        return {"mean": round(sum(some) / len(some), 3), "p99": round(some[int(0.99 * len(some))], 3),
                "max": round(some[-1], 3)}  # fmt: skip

    async def _look(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.over:
            self.full.append((loop.time(), max(n.busy for n in self.r.nodes) / SLOTS))
            await asyncio.sleep(0.01)

    async def _one(self, due: float) -> None:
        loop = asyncio.get_running_loop()
        read = self.random.random() < 0.9
        a = self.numbers.ask(*(("level-read", f"k{int(self.random.paretovariate(1.0)) % KEYS}")
                               if read else ("field-report",)))  # fmt: skip
        first = self.random.randrange(len(self.clients))
        for n in range(40):
            client = self.clients[(first + n) % len(self.clients)]
            again = Ask(f"{a.name}-{n}", a.kind, a.site, a.key, a.method, a.deadline_s, once=a.once)
            await client.ask(again)
            if again.status == 200 or (read and again.status):
                break
            if again.status:
                await asyncio.sleep(0.05)
        took = loop.time() - due if again.status == 200 else NEVER
        if read:
            self.reads.append((due, took))
        else:
            self.reports.append(took)


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--part", choices=["cost", "load"], default="cost")
    parser.add_argument("--count", type=int, default=600)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--share", type=float, default=0.8)
    parser.add_argument("--seconds", type=float, default=5.0)
    args = parser.parse_args()
    try:
        found = asyncio.run(cost(args) if args.part == "cost" else load(args))
    except Failed as e:
        print(f"benchmarks.survival: {e}", file=sys.stderr)
        return 2
    print(json.dumps({"benchmark": "survival", "part": args.part, "cpus": os.cpu_count(), **found}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
