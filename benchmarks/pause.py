"""What a pause of the store of record costs: reads beside it, reports in it, memory of the gateway.

    python benchmarks/pause.py [--store sqlite|postgres] [--rate 1700] [--reports 0.05] [--pause 30]
                               [--around 10] [--plot FILE.svg]

One real gateway with its store, pinned to a core, stand-in nodes on another, an open load on a third whose
arrivals do not wait for answers. Two runs of the same length alternate: in one the store stands still for
`--pause` seconds (SQLite: another process holds the file's lock; PostgreSQL: the stand-in server answers
nothing), in the other it does not. A report's deadline is 2 s, a read's 0.9 s. Told of each run: p50 and p99
of reads while the pause lasts and round it, what reports were answered and how long the last answer took, and
the gateway's resident memory. The last line is JSON; `--plot` draws both runs by second (matplotlib:
requirements-plots.txt).
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

READ_S, REPORT_S = 0.9, 2.0
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
Seen = tuple[float, bool, float, int]  # when it was asked, is it a report, how long it took, its status


class Line(asyncio.Protocol):
    """A client's connection with one request on it at a time."""

    def __init__(self, load: Load) -> None:
        self.load, self.buffer, self.at, self.report = load, b"", 0.0, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, at: float, number: int, report: bool) -> None:
        self.at, self.report = at, report
        self.load.open[self] = None
        method, kind, left = (b"PUT", b"field-report", REPORT_S) if report else (b"GET", b"read", READ_S)
        more = b"Idempotency-Key: k%d\r\nContent-Length: 9\r\n" % number if report else b""
        self.transport.write(
            b"%b /api/g-%d HTTP/1.1\r\nHost: x\r\nReq-Id: %x\r\nReq-Owner: o1\r\nReq-Kind: %b\r\n"
            b"Req-Deadline: %.3f\r\n%b\r\n%b"
            % (method, number % 499, number, kind, left, more, b"level=3.2" if report else b"")
        )

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, end, body = self.buffer.partition(b"\r\n\r\n")
        if not end or len(body) < int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]):
            return
        self.buffer = b""
        self.load.done(self, int(head[9:12]))

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self.load.free:
            self.load.free.remove(self)
        if self in self.load.open:
            self.load.done(self, 0)


class Load:
    def __init__(self, port: int, seed: int) -> None:
        self.port, self.random, self.number = port, Random(seed), seed << 32
        self.free: list[Line] = []
        self.open: dict[Line, None] = {}
        self.seen: list[Seen] = []

    def done(self, line: Line, status: int) -> None:
        del self.open[line]
        took = asyncio.get_running_loop().time() - line.at
        self.seen.append((line.at, line.report, took, status))
        if status:
            self.free.append(line)

    async def _new(self) -> Line:
        loop = asyncio.get_running_loop()
        return (await loop.create_connection(lambda: Line(self), "127.0.0.1", self.port))[1]

    async def play(self, rate: float, share: float, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        at = loop.time()
        end = at + seconds
        while at < end:
            now = loop.time()
            while at <= now and at < end:
                self.number += 1
                line = self.free.pop() if self.free else await self._new()
                line.ask(at, self.number, self.random.random() < share)
                at += self.random.expovariate(rate)
            await asyncio.sleep(max(0.0, min(at, end) - loop.time()))
        for _ in range(800):
            if not self.open:
                break
            await asyncio.sleep(0.005)


async def run(args: argparse.Namespace, folder: Path, pauses: bool, seed: int) -> dict[str, Any]:
    """One run; `origin` is when the pause begins, or would."""
    loop = asyncio.get_running_loop()
    node = floor.start([sys.executable, floor.__file__, "--node"], args.cpu + 1)
    assert node.stdout is not None
    behind, port = int(node.stdout.readline()), free_port()
    pg = PgServer()
    await pg.start()
    file, config = folder / "operator.toml", folder / "config.json"
    (folder / "r.sqlite").unlink(missing_ok=True)
    file.write_text('[site]\nname = "west"\n[record]\n' + STORES[args.store].format(dsn=pg.dsn))
    config.write_text(json.dumps({
        "name": "w", "listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:9", "seed": "ab",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 2048},
        "known": {"generation": 1, "reset": True, "instances": [
            {"instanceId": f"s-{n}", "hostPort": f"127.0.0.1:{behind}", "lifecycle": "Ready"}
            for n in range(8)]},
        "settings": SETTINGS,
    }))  # fmt: skip
    gateway = floor.start(
        [sys.executable, "-m", "magpiefront", "--operator", str(file)], args.cpu, cwd=floor.ROOT,
        env={**os.environ, "LB_CONFIG": str(config)}, stderr=(folder / "log").open("w"),
    )  # fmt: skip
    await floor.ready(port)
    load = Load(port, seed)
    memory: list[tuple[float, float]] = []
    origin = 0.0

    async def watch() -> None:
        while True:
            lines = Path(f"/proc/{gateway.pid}/status").read_text().split("VmRSS:")[1]
            memory.append((loop.time(), int(lines.split()[0]) / 1024))
            await asyncio.sleep(0.25)

    async def stands_still() -> None:
        nonlocal origin
        await asyncio.sleep(args.around)
        origin = loop.time()
        if not pauses:
            return
        if args.store == "sqlite":
            db = sqlite3.connect(folder / "r.sqlite", isolation_level=None, check_same_thread=False)
            await asyncio.to_thread(db.execute, "BEGIN IMMEDIATE")
            await asyncio.sleep(args.pause)
            db.execute("ROLLBACK")
            db.close()
        else:
            goes_on = asyncio.Event()

            async def waits(_: str) -> None:
                await goes_on.wait()

            pg.faults.before = waits
            await asyncio.sleep(args.pause)
            pg.faults.before = None
            goes_on.set()

    try:
        await load.play(args.rate, args.reports, 2)  # warm
        load.seen.clear()
        tasks = [asyncio.create_task(watch()), asyncio.create_task(stands_still())]
        await load.play(args.rate, args.reports, 2 * args.around + args.pause)
        await tasks[1]
        tasks[0].cancel()
    finally:
        gateway.terminate()
        node.terminate()
        gateway.wait()
        node.wait()
        pg.kill()
    for line in load.free:
        line.transport.abort()
    return {"seen": load.seen, "memory": memory, "origin": origin, "open": len(load.open)}


def reads(seen: list[Seen], since: float, until: float) -> dict[str, float]:
    took = sorted(t for at, report, t, _ in seen if not report and since <= at < until)
    fine = sum(s == 200 for at, report, _, s in seen if not report and since <= at < until)
    p50, p99 = took[len(took) // 2] * 1e3, took[len(took) * 99 // 100] * 1e3
    return {"p50_ms": round(p50, 2), "p99_ms": round(p99, 2), "served": round(fine / len(took), 4),
            "count": len(took)}  # fmt: skip


def reports(seen: list[Seen], since: float, until: float) -> dict[str, Any]:
    found = [(t, s) for at, report, t, s in seen if report and since <= at < until]
    refused = sorted(t for t, s in found if s == 503)
    return {
        "statuses": dict(sorted(Counter(s for _, s in found).items())),
        "latest_s": round(max(t for t, _ in found), 3),
        "past_deadline": sum(t > REPORT_S for t, _ in found),
        "refused_p50_ms": round(refused[len(refused) // 2] * 1e3, 2) if refused else 0,
    }


def summary(args: argparse.Namespace, given: dict[str, Any]) -> dict[str, Any]:
    seen, at = given["seen"], given["origin"]
    parts = {"before": (0.0, at), "pause": (at, at + args.pause), "after": (at + args.pause, 1e18)}
    memory = given["memory"]
    return {
        "reads": {name: reads(seen, *between) for name, between in parts.items()},
        "reports": {name: reports(seen, *between) for name, between in parts.items()},
        "memory_mb": {name: max(m for t, m in memory if a <= t < b) for name, (a, b) in parts.items()},
        "unanswered": given["open"],
    }


def draw(args: argparse.Namespace, runs: dict[str, dict[str, Any]], to: str) -> None:
    import matplotlib  # type: ignore[import-not-found,unused-ignore]

    matplotlib.use("svg")
    from matplotlib import pyplot as plt  # type: ignore[import-not-found,unused-ignore]

    figure, (top, mid, low) = plt.subplots(3, 1, sharex=True, figsize=(8, 7), layout="constrained")
    for name, given in runs.items():
        by: dict[int, list[float]] = {}
        for at, report, took, _ in given["seen"]:
            if not report:
                by.setdefault(int(at - given["origin"]), []).append(took * 1e3)
        seconds = sorted(by)
        top.plot(seconds, [sorted(by[s])[len(by[s]) * 99 // 100] for s in seconds], label=f"p99, {name}")
        top.plot(seconds, [statistics.median(by[s]) for s in seconds], "--", label=f"p50, {name}")
        memory = given["memory"]
        low.plot([t - given["origin"] for t, _ in memory], [m for _, m in memory], label=name)
    held = [(int(at - g["origin"]), s) for g in [runs["pause"]] for at, report, _, s in g["seen"] if report]
    seconds = sorted({at for at, _ in held})
    for status in sorted({s for _, s in held}):
        mid.plot(seconds, [held.count((at, status)) for at in seconds], label=f"{status}")
    top.set_ylabel("reads, ms")
    mid.set_ylabel("reports a second, by answer")
    low.set_ylabel("resident MB")
    low.set_xlabel(f"seconds since the store of record ({args.store}) stood still")
    for axis in (top, mid, low):
        axis.axvspan(0, args.pause, alpha=0.1)
        axis.legend(fontsize=8)
        axis.set_ylim(bottom=0)
    figure.savefig(to)


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
    gc.disable()  # what this process stops for would be counted as the gateway's
    runs: dict[str, dict[str, Any]] = {}
    with tempfile.TemporaryDirectory() as name:
        for seed, (kind, pauses) in enumerate((("none", False), ("pause", True)), 1):
            print(f"run {seed} of 2: {kind}", file=sys.stderr, flush=True)
            runs[kind] = uvloop.run(run(args, Path(name), pauses, seed))
    found = {kind: summary(args, given) for kind, given in runs.items()}
    for kind, f in found.items():
        for part in ("before", "pause", "after"):
            r, w = f["reads"][part], f["reports"][part]
            print(f"{kind:6} {part:6} reads p50 {r['p50_ms']} p99 {r['p99_ms']} ms, served {r['served']}; "
                  f"reports {w['statuses']}, latest {w['latest_s']} s, {w['past_deadline']} late; "
                  f"{f['memory_mb'][part]:.1f} MB")  # fmt: skip
    if args.plot:
        draw(args, runs, args.plot)
    print(json.dumps({"benchmark": "pause", "store": args.store, "rate": args.rate, **found}))


if __name__ == "__main__":
    main()
