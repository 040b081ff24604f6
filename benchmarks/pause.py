"""Measures the effect of a pause of the store of record on reads, reports and the gateway's memory.

    python benchmarks/pause.py [--store sqlite|postgres] [--rate 1700] [--reports 0.05] [--pause 30]
                               [--around 10] [--plot FILE.svg]

Runs a real gateway with its store, pinned to one core, a stand-in node on another, and an open load, whose
requests do not wait for earlier answers. There are two runs of the same length, one without and one with a
pause of the store of `--pause` seconds (SQLite: this process holds the lock of the file; PostgreSQL: the
stand-in server answers nothing). The deadline of a report is 2 s, that of a read 0.9 s. The result of a run
is, for the time before, in and after the pause: p50 and p99 of reads, the statuses of reports and the time of
the slowest one, and the gateway's resident memory. The last line of the output is JSON; `--plot` draws both
runs by second (matplotlib: requirements-plots.txt).
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import os
import sqlite3
import statistics
import sys
import tempfile
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any, cast

import uvloop

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks import floor
from standins.pgserver import PgServer
from standins.world import free_port

READ_DEADLINE_S, REPORT_DEADLINE_S = 0.9, 2.0
SETTINGS: dict[str, Any] = {
    **floor.SETTINGS,
    "grades": [
        *floor.SETTINGS["grades"],
        {"name": "field-report", "repeat": "idempotency_key", "group": "all", "keyTtlUs": 30_000_000,
         "sloUs": 1_000_000, "giveUpUs": 2_000_000},
    ],
    "permissions": {**floor.SETTINGS["permissions"], "retryAfter": True, "maxRetryAfterUs": 2_000_000},
}  # fmt: skip
STORES = {"sqlite": '[record.sqlite]\npath = "r.sqlite"\n', "postgres": '[record.postgres]\ndsn = "{dsn}"\n'}
Sample = tuple[float, bool, float, int]  # due time, whether it is a report, elapsed time, status (0: closed)


class ClientConnection(asyncio.Protocol):
    """A connection of a client, with one request at a time."""

    def __init__(self, load: OpenLoad) -> None:
        self.load, self.buffer, self.due_at, self.is_report = load, b"", 0.0, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, at: float, number: int, is_report: bool) -> None:
        self.due_at, self.is_report = at, is_report
        self.load.open[self] = None
        method, kind, deadline_s = (
            (b"PUT", b"field-report", REPORT_DEADLINE_S) if is_report else (b"GET", b"read", READ_DEADLINE_S)
        )
        headers = b"Idempotency-Key: k%d\r\nContent-Length: 9\r\n" % number if is_report else b""
        self.transport.write(
            b"%b /api/g-%d HTTP/1.1\r\nHost: x\r\nReq-Id: %x\r\nReq-Owner: o1\r\nReq-Kind: %b\r\n"
            b"Req-Deadline: %.3f\r\n%b\r\n%b"
            % (method, number % 499, number, kind, deadline_s, headers, b"level=3.2" if is_report else b"")
        )

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, end, body = self.buffer.partition(b"\r\n\r\n")
        if not end or len(body) < int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]):
            return
        self.buffer = b""
        self.load.record(self, int(head[9:12]))

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self.load.free:
            self.load.free.remove(self)
        if self in self.load.open:
            self.load.record(self, 0)


class OpenLoad:
    """Sends requests at random times, on an idle connection or a new one."""

    def __init__(self, port: int, seed: int) -> None:
        self.port, self.random, self.number = port, Random(seed), seed << 32
        self.free: list[ClientConnection] = []
        self.open: dict[ClientConnection, None] = {}
        self.samples: list[Sample] = []

    def record(self, connection: ClientConnection, status: int) -> None:
        del self.open[connection]
        elapsed_s = asyncio.get_running_loop().time() - connection.due_at
        self.samples.append((connection.due_at, connection.is_report, elapsed_s, status))
        if status:
            self.free.append(connection)

    async def _connect(self) -> ClientConnection:
        loop = asyncio.get_running_loop()
        return (await loop.create_connection(lambda: ClientConnection(self), "127.0.0.1", self.port))[1]

    async def run(self, rate: float, share: float, seconds: float) -> None:
        """Sends `rate` requests per second, `share` of them reports, and then waits up to 4 s for answers."""
        loop = asyncio.get_running_loop()
        at = loop.time()
        end = at + seconds
        while at < end:
            now = loop.time()
            while at <= now and at < end:
                self.number += 1
                connection = self.free.pop() if self.free else await self._connect()
                connection.send(at, self.number, self.random.random() < share)
                at += self.random.expovariate(rate)
            await asyncio.sleep(max(0.0, min(at, end) - loop.time()))
        for _ in range(800):
            if not self.open:
                break
            await asyncio.sleep(0.005)


async def run(args: argparse.Namespace, folder: Path, with_pause: bool, seed: int) -> dict[str, Any]:
    """Returns the samples of one run. Their `origin` is the time at which the pause begins, or would begin in
    the run without one."""
    loop = asyncio.get_running_loop()
    node = floor.start_pinned([sys.executable, floor.__file__, "--node"], args.cpu + 1)
    assert node.stdout is not None
    node_port, port = int(node.stdout.readline()), free_port()
    pg = PgServer()
    await pg.start()
    operator_file, config = folder / "operator.toml", folder / "config.json"
    (folder / "r.sqlite").unlink(missing_ok=True)
    operator_file.write_text('[site]\nname = "west"\n[record]\n' + STORES[args.store].format(dsn=pg.dsn))
    config.write_text(json.dumps({
        "name": "w", "listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:9", "seed": "ab",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 2048},
        "known": {"generation": 1, "reset": True, "instances": [
            {"instanceId": f"s-{n}", "hostPort": f"127.0.0.1:{node_port}", "lifecycle": "Ready"}
            for n in range(8)]},
        "settings": SETTINGS,
    }))  # fmt: skip
    gateway = floor.start_pinned(
        [sys.executable, "-m", "magpiefront", "--operator", str(operator_file)], args.cpu, cwd=floor.ROOT,
        env={**os.environ, "LB_CONFIG": str(config)}, stderr=(folder / "log").open("w"),
    )  # fmt: skip
    await floor.until_ready(port)
    load = OpenLoad(port, seed)
    memory: list[tuple[float, float]] = []
    origin = 0.0

    async def watch_memory() -> None:
        while True:
            rss_line = Path(f"/proc/{gateway.pid}/status").read_text().split("VmRSS:")[1]
            memory.append((loop.time(), int(rss_line.split()[0]) / 1024))
            await asyncio.sleep(0.25)

    async def pause_store() -> None:
        nonlocal origin
        await asyncio.sleep(args.around)
        origin = loop.time()
        if not with_pause:
            return
        if args.store == "sqlite":
            db = sqlite3.connect(folder / "r.sqlite", isolation_level=None, check_same_thread=False)
            await asyncio.to_thread(db.execute, "BEGIN IMMEDIATE")
            await asyncio.sleep(args.pause)
            db.execute("ROLLBACK")
            db.close()
        else:
            resumed = asyncio.Event()

            async def hold_query(_: str) -> None:
                await resumed.wait()

            pg.faults.before_statement = hold_query
            await asyncio.sleep(args.pause)
            pg.faults.before_statement = None
            resumed.set()

    try:
        await load.run(args.rate, args.reports, 2)  # warm-up
        load.samples.clear()
        tasks = [asyncio.create_task(watch_memory()), asyncio.create_task(pause_store())]
        await load.run(args.rate, args.reports, 2 * args.around + args.pause)
        await tasks[1]
        tasks[0].cancel()
    finally:
        gateway.terminate()
        node.terminate()
        gateway.wait()
        node.wait()
        pg.kill()
    for connection in load.free:
        connection.transport.abort()
    return {"seen": load.samples, "memory": memory, "origin": origin, "open": len(load.open)}


def reads(samples: list[Sample], since: float, until: float) -> dict[str, float]:
    times = sorted(t for at, is_report, t, _ in samples if not is_report and since <= at < until)
    served = sum(s == 200 for at, is_report, _, s in samples if not is_report and since <= at < until)
    p50, p99 = times[len(times) // 2] * 1e3, times[len(times) * 99 // 100] * 1e3
    return {"p50_ms": round(p50, 2), "p99_ms": round(p99, 2), "served": round(served / len(times), 4),
            "count": len(times)}  # fmt: skip


def reports(samples: list[Sample], since: float, until: float) -> dict[str, Any]:
    found = [(t, s) for at, is_report, t, s in samples if is_report and since <= at < until]
    refused = sorted(t for t, s in found if s == 503)
    return {
        "statuses": dict(sorted(Counter(s for _, s in found).items())),
        "latest_s": round(max(t for t, _ in found), 3),
        "past_deadline": sum(t > REPORT_DEADLINE_S for t, _ in found),
        "refused_p50_ms": round(refused[len(refused) // 2] * 1e3, 2) if refused else 0,
    }


def summarize(args: argparse.Namespace, run_data: dict[str, Any]) -> dict[str, Any]:
    samples, start = run_data["seen"], run_data["origin"]
    parts = {
        "before": (0.0, start),
        "pause": (start, start + args.pause),
        "after": (start + args.pause, 1e18),
    }
    memory = run_data["memory"]
    return {
        "reads": {name: reads(samples, *interval) for name, interval in parts.items()},
        "reports": {name: reports(samples, *interval) for name, interval in parts.items()},
        "memory_mb": {name: max(m for t, m in memory if a <= t < b) for name, (a, b) in parts.items()},
        "unanswered": run_data["open"],
    }


def draw(args: argparse.Namespace, runs: dict[str, dict[str, Any]], path: str) -> None:
    import matplotlib  # type: ignore[import-not-found,unused-ignore]

    matplotlib.use("svg")
    from matplotlib import pyplot as plt  # type: ignore[import-not-found,unused-ignore]

    figure, (top, mid, low) = plt.subplots(3, 1, sharex=True, figsize=(8, 7), layout="constrained")
    for name, run_data in runs.items():
        by_second: dict[int, list[float]] = {}
        for at, is_report, elapsed_s, _ in run_data["seen"]:
            if not is_report:
                by_second.setdefault(int(at - run_data["origin"]), []).append(elapsed_s * 1e3)
        seconds = sorted(by_second)
        top.plot(
            seconds,
            [sorted(by_second[s])[len(by_second[s]) * 99 // 100] for s in seconds],
            label=f"p99, {name}",
        )
        top.plot(seconds, [statistics.median(by_second[s]) for s in seconds], "--", label=f"p50, {name}")
        memory = run_data["memory"]
        low.plot([t - run_data["origin"] for t, _ in memory], [m for _, m in memory], label=name)
    answered = [
        (int(at - paused_run["origin"]), s)
        for paused_run in [runs["pause"]]
        for at, is_report, _, s in paused_run["seen"]
        if is_report
    ]
    seconds = sorted({at for at, _ in answered})
    for status in sorted({s for _, s in answered}):
        mid.plot(seconds, [answered.count((at, status)) for at in seconds], label=f"{status}")
    top.set_ylabel("reads, ms")
    mid.set_ylabel("reports per second, by status")
    low.set_ylabel("resident MB")
    low.set_xlabel(f"seconds since the pause of the store of record ({args.store}) began")
    for axis in (top, mid, low):
        axis.axvspan(0, args.pause, alpha=0.1)
        axis.legend(fontsize=8)
        axis.set_ylim(bottom=0)
    figure.savefig(path)


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--store", choices=list(STORES), default="sqlite")
    parser.add_argument("--rate", type=float, default=1700)
    parser.add_argument("--reports", type=float, default=0.05)
    parser.add_argument("--pause", type=float, default=30)
    parser.add_argument("--around", type=float, default=10)
    parser.add_argument("--cpu", type=int, default=0)
    parser.add_argument("--plot", default="")
    args = parser.parse_args()
    gc.disable()  # a pause of this process for garbage collection would count as the gateway's
    runs: dict[str, dict[str, Any]] = {}
    with tempfile.TemporaryDirectory() as folder:
        for seed, (kind, with_pause) in enumerate((("none", False), ("pause", True)), 1):
            print(f"run {seed} of 2: {kind}", file=sys.stderr, flush=True)
            runs[kind] = uvloop.run(run(args, Path(folder), with_pause, seed))
    results = {kind: summarize(args, run_data) for kind, run_data in runs.items()}
    for kind, result in results.items():
        for part in ("before", "pause", "after"):
            read, report = result["reads"][part], result["reports"][part]
            print(f"{kind:6} {part:6} reads p50 {read['p50_ms']} p99 {read['p99_ms']} ms, "
                  f"served {read['served']}; reports {report['statuses']}, latest {report['latest_s']} s, "
                  f"{report['past_deadline']} late; {result['memory_mb'][part]:.1f} MB")  # fmt: skip
    if args.plot:
        draw(args, runs, args.plot)
    print(json.dumps({"benchmark": "pause", "store": args.store, "rate": args.rate, **results}))


if __name__ == "__main__":
    main()
