"""What the link between two sites costs and adds, and what its loss does to the home site.

    python benchmarks/link.py [--seconds 4] [--rounds 5] [--rates 320,1700]

Two real gateways, each pinned to a core of its own, joined by one connection on loopback; stand-in nodes and
the load on two more cores. For each rate, rounds of local requests and of crossing ones alternate: `adds` is
the difference of their p50 and p99, `cpu` the CPU time of both gateways for a crossing request over that for
a local one. Then, through a relay, rounds with the link whole and with the link cut alternate while half of
the requests are for the other site: `home` compares p99 and served share of the home site's own requests. The
last line is JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path
from random import Random
from typing import Any, cast

import uvloop

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks import floor
from standins.relay import Relay
from standins.world import free_port

SETTINGS: dict[str, Any] = {
    **floor.SETTINGS,
    "permissions": {**floor.SETTINGS["permissions"], "retryAfter": True, "maxRetryAfterUs": 1_000_000},
}


class Line(asyncio.Protocol):
    """A client's connection with one request on it at a time."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.buffer = b""
        self.at = 0.0
        self.home = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, at: float, key: bytes, number: int, home: bool) -> None:
        self.at, self.home = at, home
        self.transport.write(
            b"GET /api/%b HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %016x\r\nReq-Kind: read\r\n"
            b"Req-Owner: o%d\r\nReq-Deadline: 0.900\r\n\r\n" % (key, number, number % 4)
        )

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self.load.free:  # closed by the gateway: nothing was open on it for long
            self.load.free.remove(self)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, end, body = self.buffer.partition(b"\r\n\r\n")
        if not end:
            return
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
        if len(body) < length:
            return
        self.buffer = b""
        self.load.done(self, head[9:12] == b"200")


class Load:
    """Requests at a rate whose arrivals do not wait for answers; a share of `cross` is for the other site."""

    def __init__(self, port: int, seed: int) -> None:
        self.port, self.random = port, Random(seed)
        self.free: list[Line] = []  # the last used first, so that the rest may be closed
        self.number = seed << 32
        self.reset()

    def reset(self) -> None:
        self.took: dict[bool, list[float]] = {True: [], False: []}
        self.served = {True: 0, False: 0}
        self.asked = {True: 0, False: 0}

    def done(self, line: Line, ok: bool) -> None:
        self.took[line.home].append(asyncio.get_running_loop().time() - line.at)
        self.served[line.home] += ok
        self.free.append(line)

    async def _new(self) -> Line:
        loop = asyncio.get_running_loop()
        return (await loop.create_connection(lambda: Line(self), "127.0.0.1", self.port))[1]

    async def play(self, rate: float, seconds: float, cross: float) -> None:
        loop = asyncio.get_running_loop()
        while len(self.free) < max(16, rate / 15):
            self.free.append(await self._new())
        self.reset()
        at = loop.time()
        end = at + seconds
        while at < end:
            now = loop.time()
            while at <= now and at < end:
                self.number += 1
                home = self.random.random() >= cross
                key = b"%b-%d" % (b"w" if home else b"e", self.number % 499)
                line = self.free.pop() if self.free else await self._new()
                self.asked[home] += 1
                line.ask(at, key, self.number, home)
                at += self.random.expovariate(rate)
            await asyncio.sleep(max(0.0, min(at, end) - loop.time()))
        for _ in range(300):
            if all(len(self.took[h]) == self.asked[h] for h in (True, False)):
                break
            await asyncio.sleep(0.005)

    def figures(self, home: bool) -> tuple[float, float, float]:
        """p50 and p99 in ms, and the served share."""
        took = sorted(self.took[home])
        return (took[len(took) // 2] * 1e3, took[int(len(took) * 0.99)] * 1e3,
                self.served[home] / max(1, self.asked[home]))  # fmt: skip


def operator(name: str, listen: int, peer: int, connections: int) -> str:
    other = {"west": "east", "east": "west"}[name]
    return f"""[site]
name = "{name}"
[gateway]
listen = "127.0.0.1:{listen}"
[gateway.sites.{name}]
prefixes = ["{name[0]}-"]
[gateway.sites.{other}]
prefixes = ["{other[0]}-"]
peers = ["127.0.0.1:{peer}"]
[gateway.tls]
plain = true
[gateway.link]
connections = {connections}
"""


class Pair:
    """Two gateways with a node process."""

    def __init__(self, folder: Path, cpu: int, connections: int) -> None:
        self.folder, self.cpu, self.connections = folder, cpu, connections
        self.started: list[subprocess.Popen[str]] = []

    async def start(self, through: bool) -> None:
        node = floor.start([sys.executable, floor.__file__, "--node"], self.cpu + 2)
        self.started.append(node)
        assert node.stdout is not None
        behind = int(node.stdout.readline())
        listen = {name: free_port() for name in ("west", "east")}
        peer = {"west": listen["east"], "east": listen["west"]}
        if through:
            self.relay = Relay(("127.0.0.1", listen["east"]), 1)
            await self.relay.start()
            peer["west"] = self.relay.port
        self.ports, self.processes = {}, {}
        for i, name in enumerate(("west", "east")):
            file = self.folder / f"{name}.toml"
            file.write_text(operator(name, listen[name], peer[name], self.connections))
            self.ports[name] = free_port()
            config = self.folder / f"{name}.json"
            config.write_text(json.dumps({
                "name": name, "listen": f"127.0.0.1:{self.ports[name]}", "discovery": "127.0.0.1:9",
                "seed": "ab", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": {"generation": 1, "reset": True, "instances": [
                    {"instanceId": f"{name}-{n}", "hostPort": f"127.0.0.1:{behind}", "lifecycle": "Ready"}
                    for n in range(8)]},
                "settings": SETTINGS,
            }))  # fmt: skip
            log = (self.folder / f"{name}.log").open("w")
            process = floor.start(
                [sys.executable, "-m", "magpiefront", "--operator", str(file)], self.cpu + i, cwd=floor.ROOT,
                env={**os.environ, "LB_CONFIG": str(config)}, stderr=log,
            )  # fmt: skip
            self.started.append(process)
            self.processes[name] = process
        for name in ("west", "east"):
            await floor.ready(self.ports[name])
        await self.state("down -> up", 1)

    async def state(self, text: str, times: int) -> None:
        for _ in range(1000):
            if (self.folder / "west.log").read_text().count(text) >= times:
                return
            await asyncio.sleep(0.01)
        raise SystemExit(f"no {text!r} on the link: {(self.folder / 'west.log').read_text()}")

    def cpu_s(self) -> dict[str, float]:
        return {n: floor.cpu_s(p.pid) for n, p in self.processes.items()}

    def stop(self) -> None:
        for p in self.started:
            p.terminate()
        for p in self.started:
            p.wait()


def told(text: str) -> None:
    print(f"\r{text:<70}", end="", file=sys.stderr, flush=True)


async def costs(args: argparse.Namespace) -> dict[str, Any]:
    result: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as folder:
        pair = Pair(Path(folder), args.cpu, 1)
        try:
            await pair.start(False)
            load = Load(pair.ports["west"], 1)
            for rate in args.rates:
                rows: dict[bool, list[tuple[float, ...]]] = {True: [], False: []}
                for at in range(args.rounds + 1):
                    for home in (True, False) if at % 2 else (False, True):
                        before = pair.cpu_s()
                        await load.play(rate, args.seconds if at else 1.0, 0.0 if home else 1.0)
                        after = pair.cpu_s()
                        used = sum(after[n] - before[n] for n in after) / load.asked[home] * 1e6
                        west = (after["west"] - before["west"]) / load.asked[home] * 1e6
                        if at:
                            rows[home].append((*load.figures(home), used, west))
                        told(f"{rate} a second: round {at} of {args.rounds}")
                mid = {h: [statistics.median(c) for c in zip(*r, strict=True)] for h, r in rows.items()}
                ratios = [c[3] / h[3] for c, h in zip(rows[False], rows[True], strict=True)]
                result[str(rate)] = {
                    "local": {"p50_ms": round(mid[True][0], 2), "p99_ms": round(mid[True][1], 2),
                              "served": round(mid[True][2], 4), "cpu_us": round(mid[True][3], 1)},
                    "crossed": {"p50_ms": round(mid[False][0], 2), "p99_ms": round(mid[False][1], 2),
                                "served": round(mid[False][2], 4), "cpu_us": round(mid[False][3], 1),
                                "cpu_us_sender": round(mid[False][4], 1)},
                    "adds_p50_ms": round(mid[False][0] - mid[True][0], 2),
                    "adds_p99_ms": round(mid[False][1] - mid[True][1], 2),
                    "cpu_ratio": round(statistics.median(ratios), 2),
                }  # fmt: skip
        finally:
            pair.stop()
    return result


async def cuts(args: argparse.Namespace) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as folder:
        pair = Pair(Path(folder), args.cpu, 2)
        rows: dict[bool, list[tuple[float, float, float]]] = {True: [], False: []}
        try:
            await pair.start(True)
            load, changes = Load(pair.ports["west"], 2), 1
            await load.play(320, 1.0, 0.5)
            for at in range(args.rounds):
                for whole in (True, False):
                    if not whole:
                        asyncio.get_running_loop().call_later(0.2, pair.relay.cut)
                    await load.play(320, args.seconds, 0.5)
                    rows[whole].append(load.figures(True))
                    told(f"whole and cut: round {at + 1} of {args.rounds}")
                pair.relay.heal()
                changes += 1
                await pair.state("down -> up", changes)
        finally:
            pair.stop()
            pair.relay.stop()
    mid = {w: [statistics.median(c) for c in zip(*r, strict=True)] for w, r in rows.items()}

    def row(whole: bool) -> dict[str, float]:
        p50, p99, served = mid[whole]
        return {"p50_ms": round(p50, 2), "p99_ms": round(p99, 2), "served": round(served, 4)}

    ratios = [c[1] / w[1] for c, w in zip(rows[False], rows[True], strict=True)]
    return {
        "whole": row(True),
        "cut": row(False),
        "p99_ratio": round(statistics.median(ratios), 3),
        "served_ratio": round(mid[False][2] / mid[True][2], 4),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--rates", type=lambda t: [int(r) for r in t.split(",")], default=[320, 1700])
    parser.add_argument("--cpu", type=int, default=0, help="the first of four cores")
    args = parser.parse_args()
    os.sched_setaffinity(0, {args.cpu + 3})

    async def both() -> dict[str, Any]:
        return {"benchmark": "link", "seconds": args.seconds, "rounds": args.rounds,
                "rates": await costs(args), "home": await cuts(args)}  # fmt: skip

    result = uvloop.run(both())
    print(file=sys.stderr)
    print(f"{'rate':>6} {'':8} {'p50 ms':>8} {'p99 ms':>8} {'served':>8} {'CPU us':>8}")
    for rate, r in result["rates"].items():
        for kind in ("local", "crossed"):
            row = r[kind]
            print(
                f"{rate:>6} {kind:8} {row['p50_ms']:8} {row['p99_ms']:8} {row['served']:8} {row['cpu_us']:8}"
            )
        print(f"{rate:>6} adds     {r['adds_p50_ms']:8} {r['adds_p99_ms']:8}    CPU {r['cpu_ratio']} times")
    for kind in ("whole", "cut"):
        row = result["home"][kind]
        print(f"  home {kind:8} {row['p50_ms']:8} {row['p99_ms']:8} {row['served']:8}")
    print(json.dumps(result))


if __name__ == "__main__":
    main()
