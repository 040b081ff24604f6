"""Measures the latency and CPU time that the link between two sites adds, and what its loss does to a site.

    python benchmarks/link.py [--seconds 4] [--rounds 5] [--rates 320,1700]

Two real gateways, each pinned to a core of its own, are linked by one connection on loopback; stand-in nodes
and the load run on two more cores. For each rate, rounds of local requests alternate with rounds of crossing
ones: `adds_p50_ms` and `adds_p99_ms` are the differences of their p50 and p99, and `cpu_ratio` is the CPU
time of both gateways for a crossing request over that for a local one. Then rounds with an intact link
("whole") alternate with rounds in which a relay cuts the link ("cut"), while half of the requests are for the
other site: `home` compares the p99 and the served share of the home site's own requests. The last line is
JSON.
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


class ClientConnection(asyncio.Protocol):
    """A client connection with at most one open request. `due_s` is when the request was due, and `home`
    whether it is for the site that it is sent to."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.buffer = b""
        self.due_s = 0.0
        self.home = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, due_s: float, key: bytes, number: int, home: bool) -> None:
        self.due_s, self.home = due_s, home
        self.transport.write(
            b"GET /api/%b HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %016x\r\nReq-Kind: read\r\n"
            b"Req-Owner: o%d\r\nReq-Deadline: 0.900\r\n\r\n" % (key, number, number % 4)
        )

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self.load.idle:  # the gateway closed it because it was idle
            self.load.idle.remove(self)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, end, body = self.buffer.partition(b"\r\n\r\n")
        if not end:
            return
        body_length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
        if len(body) < body_length:
            return
        self.buffer = b""
        self.load.done(self, head[9:12] == b"200")


class Load:
    """Open-loop load on one gateway: new requests do not wait for answers, and latencies count from the time
    when a request was due. All figures are kept for home requests (True) and for crossing ones (False)."""

    def __init__(self, port: int, seed: int) -> None:
        self.port, self.random = port, Random(seed)
        self.idle: list[
            ClientConnection
        ] = []  # used last in, first out, so that the gateway can close idle ones
        self.number = seed << 32
        self.reset()

    def reset(self) -> None:
        self.latencies_s: dict[bool, list[float]] = {True: [], False: []}
        self.served = {True: 0, False: 0}
        self.sent = {True: 0, False: 0}

    def done(self, connection: ClientConnection, ok: bool) -> None:
        self.latencies_s[connection.home].append(asyncio.get_running_loop().time() - connection.due_s)
        self.served[connection.home] += ok
        self.idle.append(connection)

    async def _connect(self) -> ClientConnection:
        loop = asyncio.get_running_loop()
        return (await loop.create_connection(lambda: ClientConnection(self), "127.0.0.1", self.port))[1]

    async def run(self, rate: float, seconds: float, crossing_share: float) -> None:
        """Sends `rate` requests per second on average, a share `crossing_share` of them for the other site;
        then waits up to 1.5 s for open ones."""
        loop = asyncio.get_running_loop()
        while len(self.idle) < max(16, rate / 15):
            self.idle.append(await self._connect())
        self.reset()
        due_s = loop.time()
        end = due_s + seconds
        while due_s < end:
            now = loop.time()
            while due_s <= now and due_s < end:
                self.number += 1
                home = self.random.random() >= crossing_share
                key = b"%b-%d" % (b"w" if home else b"e", self.number % 499)
                connection = self.idle.pop() if self.idle else await self._connect()
                self.sent[home] += 1
                connection.send(due_s, key, self.number, home)
                due_s += self.random.expovariate(rate)
            await asyncio.sleep(max(0.0, min(due_s, end) - loop.time()))
        for _ in range(300):
            if all(len(self.latencies_s[h]) == self.sent[h] for h in (True, False)):
                break
            await asyncio.sleep(0.005)

    def summarize(self, home: bool) -> tuple[float, float, float]:
        """Returns p50 and p99 of the latency in ms, and the served share."""
        latencies_s = sorted(self.latencies_s[home])
        return (latencies_s[len(latencies_s) // 2] * 1e3, latencies_s[int(len(latencies_s) * 0.99)] * 1e3,
                self.served[home] / max(1, self.sent[home]))  # fmt: skip


def operator_file(name: str, listen: int, peer: int, connections: int) -> str:
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


class GatewayPair:
    """Two linked gateways, and a process with the nodes of both. CPUs from `cpu` on are used."""

    def __init__(self, folder: Path, cpu: int, connections: int) -> None:
        self.folder, self.cpu, self.connections = folder, cpu, connections
        self.started: list[subprocess.Popen[str]] = []

    async def start(self, with_relay: bool) -> None:
        node = floor.start_pinned([sys.executable, floor.__file__, "--node"], self.cpu + 2)
        self.started.append(node)
        assert node.stdout is not None
        node_port = int(node.stdout.readline())
        listen = {name: free_port() for name in ("west", "east")}
        peer = {"west": listen["east"], "east": listen["west"]}
        if with_relay:
            self.relay = Relay(("127.0.0.1", listen["east"]), 1)
            await self.relay.start()
            peer["west"] = self.relay.port
        self.ports, self.processes = {}, {}
        for i, name in enumerate(("west", "east")):
            operator_path = self.folder / f"{name}.toml"
            operator_path.write_text(operator_file(name, listen[name], peer[name], self.connections))
            self.ports[name] = free_port()
            config_path = self.folder / f"{name}.json"
            config_path.write_text(json.dumps({
                "name": name, "listen": f"127.0.0.1:{self.ports[name]}", "discovery": "127.0.0.1:9",
                "seed": "ab", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": {"generation": 1, "reset": True, "instances": [
                    {"instanceId": f"{name}-{n}", "hostPort": f"127.0.0.1:{node_port}", "lifecycle": "Ready"}
                    for n in range(8)]},
                "settings": SETTINGS,
            }))  # fmt: skip
            log_file = (self.folder / f"{name}.log").open("w")
            process = floor.start_pinned(
                [sys.executable, "-m", "magpiefront", "--operator", str(operator_path)], self.cpu + i,
                cwd=floor.ROOT, env={**os.environ, "LB_CONFIG": str(config_path)}, stderr=log_file,
            )  # fmt: skip
            self.started.append(process)
            self.processes[name] = process
        for name in ("west", "east"):
            await floor.until_ready(self.ports[name])
        await self.wait_for_log("down -> up", 1)

    async def wait_for_log(self, text: str, times: int) -> None:
        """Waits until `text` occurs `times` times in the log of the west. Exits the program after 1,000
        checks, each followed by a pause of 10 ms."""
        for _ in range(1000):
            if (self.folder / "west.log").read_text().count(text) >= times:
                return
            await asyncio.sleep(0.01)
        raise SystemExit(f"no {text!r} on the link: {(self.folder / 'west.log').read_text()}")

    def cpu_s(self) -> dict[str, float]:
        """Returns the CPU time in seconds that each gateway has used."""
        return {n: floor.cpu_s(p.pid) for n, p in self.processes.items()}

    def stop(self) -> None:
        for p in self.started:
            p.terminate()
        for p in self.started:
            p.wait()


def show_progress(text: str) -> None:
    print(f"\r{text:<70}", end="", file=sys.stderr, flush=True)


async def measure_costs(args: argparse.Namespace) -> dict[str, Any]:
    """Measures for each rate how much more latency and CPU time a crossing request costs than a local one."""
    result: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as folder:
        gateways = GatewayPair(Path(folder), args.cpu, 1)
        try:
            await gateways.start(False)
            load = Load(gateways.ports["west"], 1)
            for rate in args.rates:
                round_metrics: dict[bool, list[tuple[float, ...]]] = {True: [], False: []}
                for round_number in range(args.rounds + 1):
                    for home in (True, False) if round_number % 2 else (False, True):
                        before = gateways.cpu_s()
                        await load.run(rate, args.seconds if round_number else 1.0, 0.0 if home else 1.0)
                        after = gateways.cpu_s()
                        used_us = sum(after[n] - before[n] for n in after) / load.sent[home] * 1e6
                        west_us = (after["west"] - before["west"]) / load.sent[home] * 1e6
                        if round_number:
                            round_metrics[home].append((*load.summarize(home), used_us, west_us))
                        show_progress(f"{rate} a second: round {round_number} of {args.rounds}")
                medians = {
                    h: [statistics.median(c) for c in zip(*r, strict=True)] for h, r in round_metrics.items()
                }
                ratios = [c[3] / h[3] for c, h in zip(round_metrics[False], round_metrics[True], strict=True)]
                result[str(rate)] = {
                    "local": {"p50_ms": round(medians[True][0], 2), "p99_ms": round(medians[True][1], 2),
                              "served": round(medians[True][2], 4), "cpu_us": round(medians[True][3], 1)},
                    "crossed": {"p50_ms": round(medians[False][0], 2), "p99_ms": round(medians[False][1], 2),
                                "served": round(medians[False][2], 4), "cpu_us": round(medians[False][3], 1),
                                "cpu_us_sender": round(medians[False][4], 1)},
                    "adds_p50_ms": round(medians[False][0] - medians[True][0], 2),
                    "adds_p99_ms": round(medians[False][1] - medians[True][1], 2),
                    "cpu_ratio": round(statistics.median(ratios), 2),
                }  # fmt: skip
        finally:
            gateways.stop()
    return result


async def measure_cuts(args: argparse.Namespace) -> dict[str, Any]:
    """Measures the home site's own requests in rounds with the link up, and in rounds in which it is cut
    after 0.2 s."""
    with tempfile.TemporaryDirectory() as folder:
        gateways = GatewayPair(Path(folder), args.cpu, 2)
        round_metrics: dict[bool, list[tuple[float, float, float]]] = {True: [], False: []}
        try:
            await gateways.start(True)
            load, link_ups = Load(gateways.ports["west"], 2), 1
            await load.run(320, 1.0, 0.5)
            for round_number in range(args.rounds):
                for link_up in (True, False):
                    if not link_up:
                        asyncio.get_running_loop().call_later(0.2, gateways.relay.cut)
                    await load.run(320, args.seconds, 0.5)
                    round_metrics[link_up].append(load.summarize(True))
                    show_progress(f"link up and cut: round {round_number + 1} of {args.rounds}")
                gateways.relay.restore()
                link_ups += 1
                await gateways.wait_for_log("down -> up", link_ups)
        finally:
            gateways.stop()
            gateways.relay.stop()
    medians = {w: [statistics.median(c) for c in zip(*r, strict=True)] for w, r in round_metrics.items()}

    def row(link_up: bool) -> dict[str, float]:
        p50, p99, served = medians[link_up]
        return {"p50_ms": round(p50, 2), "p99_ms": round(p99, 2), "served": round(served, 4)}

    ratios = [c[1] / w[1] for c, w in zip(round_metrics[False], round_metrics[True], strict=True)]
    return {
        "whole": row(True),
        "cut": row(False),
        "p99_ratio": round(statistics.median(ratios), 3),
        "served_ratio": round(medians[False][2] / medians[True][2], 4),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--rates", type=lambda t: [int(r) for r in t.split(",")], default=[320, 1700])
    parser.add_argument("--cpu", type=int, default=0, help="first of the four cores to use")
    args = parser.parse_args()
    os.sched_setaffinity(0, {args.cpu + 3})

    async def measure() -> dict[str, Any]:
        return {"benchmark": "link", "seconds": args.seconds, "rounds": args.rounds,
                "rates": await measure_costs(args), "home": await measure_cuts(args)}  # fmt: skip

    result = uvloop.run(measure())
    print(file=sys.stderr)
    print(f"{'rate':>6} {'':8} {'p50 ms':>8} {'p99 ms':>8} {'served':>8} {'CPU us':>8}")
    for rate, figures in result["rates"].items():
        for kind in ("local", "crossed"):
            row = figures[kind]
            print(
                f"{rate:>6} {kind:8} {row['p50_ms']:8} {row['p99_ms']:8} {row['served']:8} {row['cpu_us']:8}"
            )
        print(f"{rate:>6} adds     {figures['adds_p50_ms']:8} {figures['adds_p99_ms']:8}    "
              f"CPU {figures['cpu_ratio']} times")  # fmt: skip
    for kind in ("whole", "cut"):
        row = result["home"][kind]
        print(f"  home {kind:8} {row['p50_ms']:8} {row['p99_ms']:8} {row['served']:8}")
    print(json.dumps(result))


if __name__ == "__main__":
    main()
