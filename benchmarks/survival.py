"""Measures the cost of takeover in normal operation, and the effect of the loss of one of five proxies.

    python -m benchmarks.survival [--part cost|load] [--count 600] [--rounds 3] [--share 0.8] [--seconds 5]

cost   compares three members over one SQLite file, the same three without a group, and three over the group's
       own store, measured in turn: the time of a report and of a read (p50 and p99), reports per second with
       64 in flight, and CPU time per read of the proxy that gets the requests; with ratios to the
       processes without a group
load   five members at `--share` of the nodes' capacity (nine reads to one report), one of which is killed:
       the share of reads answered in time (0.5 s) in the seconds before and after, and the share of slots
       in use at the busiest node

The last line of the output is JSON, with times in milliseconds.
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
from benchmarks.takeover import UngroupedRound
from standins.client import ClientRequest, Client
from standins.drill import Plan
from standins.node import Node
from standins.rounds import temporary_folder
from standins.takeover import Round
from standins.world import RunFailed

IN_TIME_S, DEADLINE_S = 0.5, 2.0
REQUESTS_PER_TURN, CONCURRENT_REPORTS = 50, 64
NODES, SLOTS, NODE_TIME_S = 4, 16, 0.1  # of `load`; a node's time is drawn from 0.5 to 2 times NODE_TIME_S
KEYS = 400  # of reads, in `load`
MEAN_TIME_FACTOR = 1.25  # the mean of the factors from 0.5 to 2
NEVER = float("inf")  # the time of a request without an answer of status 200


class RequestFactory:
    """Makes requests with consecutive numbers."""

    def __init__(self) -> None:
        self.count = 0

    def new(self, kind: str, key: str = "") -> ClientRequest:
        self.count += 1
        name = f"n{self.count}"
        is_write = kind == "field-report"
        return ClientRequest(
            name, kind, "west", key or f"k{self.count}", "PUT" if is_write else "GET", DEADLINE_S,
            idempotency_key=name if is_write else "",
        )  # fmt: skip


async def start(group_round: Round, grouped: bool) -> None:
    """Starts the processes of a round, with nodes and an archive that answer at once. Waits until the group
    has converged."""
    group_round.node.slow_share, group_round.archive.service_time_s, group_round.node.service_time_s = (
        0.0,
        0.0,
        0.0,
    )
    await group_round.prepare()
    # The drill takes snapshots after few entries, for the sake of its faults.
    for p in group_round.processes:
        file = group_round.folder / p.operator_file
        file.write_text(file.read_text().replace("compact = 60\nkeep = 20\n", ""))
    await asyncio.gather(*(p.start() for p in group_round.processes))
    if grouped:
        await group_round.wait_until_converged("at the start")


def cpu_s(group_round: Round) -> float:
    """Returns the CPU time of the main thread of the first process so far (s)."""
    p = group_round.processes[0].process
    assert p is not None
    return int(Path(f"/proc/{p.pid}/schedstat").read_text().split()[0]) / 1e9


class MeasuredVariant:
    """The processes of one variant of `cost`, and their measurements."""

    def __init__(self, group_round: Round, factory: RequestFactory) -> None:
        self.group_round, self.factory = group_round, factory
        self.client = Client(group_round.processes[0].port)
        self.times_s: dict[str, list[float]] = {"field-report": [], "level-read": []}
        self.rates: list[float] = []
        self.cpu_ms: list[float] = []

    async def request(self, kind: str, key: str = "") -> float:
        """Sends a request and returns its time (s). Raises RunFailed if its status is not 200."""
        request = await self.client.send(self.factory.new(kind, key))
        if request.status != 200:
            raise RunFailed(f"a request of class {kind} ended with status {request.status} {request.failure}")
        return request.latency_s

    def clear(self) -> None:
        """Discards the measurements of the warm-up."""
        self.times_s["field-report"].clear()
        self.times_s["level-read"].clear()
        self.cpu_ms.clear()

    async def measure_latency(self) -> None:
        """Sends REQUESTS_PER_TURN reports and reads, one after the other."""
        for kind, key in (("field-report", ""), ("level-read", "hot")):
            before = cpu_s(self.group_round)
            self.times_s[kind] += [await self.request(kind, key) for _ in range(REQUESTS_PER_TURN)]
            if kind == "level-read":
                self.cpu_ms.append((cpu_s(self.group_round) - before) / REQUESTS_PER_TURN * 1e3)

    async def measure_rate(self, count: int) -> None:
        """Sends `count` reports, CONCURRENT_REPORTS at a time."""
        loop = asyncio.get_running_loop()
        began, remaining = loop.time(), iter(range(count))

        async def worker() -> None:
            for _ in remaining:
                await self.request("field-report")

        await asyncio.gather(*(worker() for _ in range(CONCURRENT_REPORTS)))
        self.rates.append(count / (loop.time() - began))

    def summary(self) -> dict[str, Any]:
        return {
            "report": quantiles(self.times_s["field-report"]), "read": quantiles(self.times_s["level-read"]),
            "reports_a_second": round(median(self.rates)), "read_cpu_ms": round(median(self.cpu_ms), 4),
        }  # fmt: skip


async def cost(args: argparse.Namespace) -> dict[str, Any]:
    variants: dict[str, tuple[Callable[..., Round], str, bool]] = {
        "alone": (UngroupedRound, "sqlite", False), "group": (Round, "sqlite", True),
        "store": (Round, "group", True),
    }  # fmt: skip
    async with AsyncExitStack() as stack:
        measured_variants: dict[str, MeasuredVariant] = {}
        for name, (round_class, work, grouped) in variants.items():
            group_round = round_class(
                Plan(1, 3, work=work), await stack.enter_async_context(temporary_folder()), relayed=False
            )
            stack.push_async_callback(group_round.close)
            await start(group_round, grouped)
            measured_variants[name] = MeasuredVariant(group_round, RequestFactory())
        for variant in measured_variants.values():
            await variant.measure_latency()
            variant.clear()
        for _ in range(max(1, args.count // REQUESTS_PER_TURN)):
            for variant in measured_variants.values():
                await variant.measure_latency()
        for _ in range(args.rounds):
            for variant in measured_variants.values():
                await variant.measure_rate(args.count)
        results = {name: variant.summary() for name, variant in measured_variants.items()}
    base = results["alone"]
    for name in ("group", "store"):
        results[name]["to_alone"] = {
            "report_p50": round(results[name]["report"]["p50"] / base["report"]["p50"], 2),
            "read_p50": round(results[name]["read"]["p50"] / base["read"]["p50"], 2),
            "read_cpu": round(results[name]["read_cpu_ms"] / base["read_cpu_ms"], 2),
            "reports_a_second": round(results[name]["reports_a_second"] / base["reports_a_second"], 2),
        }
    return results


class LoadedRound(Round):
    """A round over nodes with a limited number of slots."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        super().__init__(plan, folder, relayed=False)
        self.archive.service_time_s, self.archive.concurrency = 0.005, 64
        self.nodes = [Node(f"west-{n}", self.archive, plan.seed + n, slots=SLOTS, service_time_s=NODE_TIME_S)
                      for n in range(NODES)]  # fmt: skip

    async def prepare(self) -> None:
        await super().prepare()
        for node in self.nodes:
            await node.start()
        self.discovery.set([node.entry() for node in self.nodes])

    async def close(self) -> None:
        await super().close()
        for node in self.nodes:
            node.stop()


async def load(args: argparse.Namespace) -> dict[str, Any]:
    async with temporary_folder() as folder:
        group_round = LoadedRound(Plan(1, 5, work="sqlite"), folder)
        await group_round.prepare()
        try:
            await asyncio.gather(*(p.start() for p in group_round.processes))
            await group_round.wait_until_converged("at the start")
            return await Traffic(group_round, args.share, args.seconds).run()
        finally:
            await group_round.close()


class Traffic:
    """An open load: requests are sent at random times and do not wait for earlier ones. A client whose proxy
    does not answer sends its request to another one at once; a report is repeated until its status is 200."""

    def __init__(self, group_round: LoadedRound, share: float, seconds: float) -> None:
        self.group_round, self.seconds = group_round, seconds
        self.rate = share * NODES * SLOTS / (NODE_TIME_S * MEAN_TIME_FACTOR)
        self.random = Random(1)
        self.clients = [Client(p.port) for p in group_round.processes]
        self.factory = RequestFactory()
        self.reads: list[tuple[float, float]] = []  # due time (of the event loop), elapsed time (s)
        self.reports: list[float] = []  # elapsed times (s)
        # Time, and the share of the slots that are in use at the busiest node.
        self.busy_shares: list[tuple[float, float]] = []
        self.ended = False

    async def run(self) -> dict[str, Any]:
        """Sends requests for `seconds` three times: to warm up, before and after the kill. Raises RunFailed
        if a report had more than one effect."""
        loop = asyncio.get_running_loop()
        tasks: list[asyncio.Task[None]] = []
        sampler = asyncio.create_task(self._sample_nodes())
        warm_s = self.seconds
        begin, killed_at = loop.time(), 0.0
        at = begin
        end = begin + warm_s + 2 * self.seconds
        killed = False
        while at < end:
            at += self.random.expovariate(self.rate)
            await asyncio.sleep(max(0.0, at - loop.time()))
            if not killed and at > begin + warm_s + self.seconds:
                killed, killed_at = True, loop.time()
                tasks.append(asyncio.create_task(self.group_round.processes[0].kill()))
            tasks.append(asyncio.create_task(self._request(at)))
        await asyncio.gather(*tasks)
        self.ended = True
        await sampler
        for c in self.clients:
            c.close()
        before, after = (killed_at - self.seconds, killed_at), (killed_at, killed_at + self.seconds)
        doubled = sum(n > 1 for n in self.group_round.archive.effects.values())
        if doubled:
            raise RunFailed(f"{doubled} reports had more than one effect")
        return {
            "asked_a_second": round(self.rate), "reads": len(self.reads), "reports": len(self.reports),
            "in_time_before": self._in_time(*before), "in_time_after": self._in_time(*after),
            "nodes_before": self._busy(*before), "nodes_after": self._busy(*after),
            "reports_failed": sum(t == NEVER for t in self.reports),
            "report": quantiles([t for t in self.reports if t != NEVER]),
        }  # fmt: skip

    def _in_time(self, first: float, last: float) -> float:
        selected = [elapsed_s for at, elapsed_s in self.reads if first <= at < last]
        return round(sum(elapsed_s <= IN_TIME_S for elapsed_s in selected) / len(selected), 4)

    def _busy(self, first: float, last: float) -> dict[str, float]:
        selected = sorted(share for at, share in self.busy_shares if first <= at < last)
        return {"mean": round(sum(selected) / len(selected), 3),
                "p99": round(selected[int(0.99 * len(selected))], 3),
                "max": round(selected[-1], 3)}  # fmt: skip

    async def _sample_nodes(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.ended:
            self.busy_shares.append((loop.time(), max(n.busy for n in self.group_round.nodes) / SLOTS))
            await asyncio.sleep(0.01)

    async def _request(self, due: float) -> None:
        """Sends a request and records its time since `due`. Gives up after 40 attempts."""
        loop = asyncio.get_running_loop()
        is_read = self.random.random() < 0.9
        request = self.factory.new(*(("level-read", f"k{int(self.random.paretovariate(1.0)) % KEYS}")
                               if is_read else ("field-report",)))  # fmt: skip
        first = self.random.randrange(len(self.clients))
        for n in range(40):
            client = self.clients[(first + n) % len(self.clients)]
            attempt = ClientRequest(
                f"{request.name}-{n}", request.kind, request.site, request.key, request.method,
                request.deadline_s, idempotency_key=request.idempotency_key,
            )  # fmt: skip
            await client.send(attempt)
            if attempt.status == 200 or (is_read and attempt.status):
                break
            if attempt.status:
                await asyncio.sleep(0.05)
        elapsed_s = loop.time() - due if attempt.status == 200 else NEVER
        if is_read:
            self.reads.append((due, elapsed_s))
        else:
            self.reports.append(elapsed_s)


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--part", choices=["cost", "load"], default="cost")
    parser.add_argument("--count", type=int, default=600)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--share", type=float, default=0.8)
    parser.add_argument("--seconds", type=float, default=5.0)
    args = parser.parse_args()
    try:
        result = asyncio.run(cost(args) if args.part == "cost" else load(args))
    except RunFailed as e:
        print(f"benchmarks.survival: {e}", file=sys.stderr)
        return 2
    print(json.dumps({"benchmark": "survival", "part": args.part, "cpus": os.cpu_count(), **result}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
