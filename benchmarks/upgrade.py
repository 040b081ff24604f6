"""Measures what an upgrade under load costs the clients, compared with no change and with a plain restart.

    python benchmarks/upgrade.py [--rounds 10] [--clients 24] [--pause-ms 20]

Each client sends one request after another on a persistent connection. A round consists of a quiet phase, an
upgrade (the next process is started while the current one serves; the current one is stopped once the next is
ready), another quiet phase, and a plain restart (stopped first, then started). `turned_back` counts requests
whose connection was refused or ended without an answer. Latencies are pooled over all rounds. `ready_s` is
the time from the start of a process until it is ready, including the start of the interpreter. The last line
is JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path
from time import perf_counter
from typing import Any

import uvloop

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.floor import SETTINGS, Node
from standins.world import free_port

ROOT = Path(__file__).resolve().parent.parent
QUIET_S, AFTER_S = 1.5, 0.6  # length of a quiet phase, and time after an upgrade or a restart


class Clients:
    """Clients of one proxy. Latencies (s) and failed requests are recorded by the `phase` in which a request
    was sent."""

    def __init__(self, port: int, pause_s: float) -> None:
        self.port, self.pause_s, self.phase, self.running, self.number = port, pause_s, "quiet", True, 0
        self.latencies_s: dict[str, list[float]] = {}
        self.failed_requests: dict[str, int] = {}

    async def run(self) -> None:
        """Runs one client until `running` is False."""
        reader: asyncio.StreamReader | None = None
        while self.running:
            phase, begin = self.phase, perf_counter()
            self.number += 1
            head = f"GET /api/k{self.number % 997} HTTP/1.1\r\nHost: x\r\nReq-Id: {self.number:016x}\r\n"
            try:
                if reader is None:
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(head.encode() + b"Req-Kind: read\r\nReq-Deadline: 0.900\r\n\r\n")
                answer = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(int(answer.lower().split(b"content-length:")[1].split(b"\r\n")[0]))
                if b"connection: close" in answer.lower():
                    writer.close()
                    reader = None
                self.latencies_s.setdefault(phase, []).append(perf_counter() - begin)
            except (OSError, asyncio.IncompleteReadError):
                self.failed_requests[phase] = self.failed_requests.get(phase, 0) + 1
                reader = None
            await asyncio.sleep(self.pause_s)


class Proxies:
    """The proxy processes, which share a port and a configuration. `ready_s` holds the seconds that each one
    took to become ready."""

    def __init__(self, folder: Path, node_port: int) -> None:
        self.folder, self.port, self.ready_s = folder, free_port(), list[float]()
        instance = {"instanceId": "s-0", "hostPort": f"127.0.0.1:{node_port}", "lifecycle": "Ready"}
        config = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": "127.0.0.1:1", "seed": "1f",
            "limits": {"memory_mb": 192, "sockets": 1024}, "settings": SETTINGS,
            "known": {"generation": 1, "reset": True, "instances": [instance]},
        }  # fmt: skip
        (folder / "config.json").write_text(json.dumps(config))

    async def start(self) -> subprocess.Popen[bytes]:
        """Starts a process and waits until it is ready."""
        begin, admin_port = perf_counter(), free_port()
        env = {**os.environ, "TMPDIR": str(self.folder), "LB_CONFIG": str(self.folder / "config.json"),
               "LB_ADMIN": f"127.0.0.1:{admin_port}"}  # fmt: skip
        process = subprocess.Popen([sys.executable, "-m", "magpiefront"], cwd=ROOT, env=env,
                                   stderr=subprocess.DEVNULL)  # fmt: skip
        for _ in range(1000):
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", admin_port)
                writer.write(b"ready\n")
                answer = await reader.read()
                writer.close()
                if answer == b"OK\n":
                    self.ready_s.append(perf_counter() - begin)
                    return process
            except OSError:
                pass
            await asyncio.sleep(0.005)
        raise SystemExit("the proxy does not become ready")


async def stop_process(process: subprocess.Popen[bytes]) -> None:
    process.send_signal(signal.SIGTERM)
    while process.poll() is None:
        await asyncio.sleep(0.005)


def memory_mb(process: subprocess.Popen[bytes]) -> float:
    """Returns the private memory of a process, without the pages that it shares with others."""
    text = Path(f"/proc/{process.pid}/smaps_rollup").read_text()
    return sum(int(line.split()[1]) for line in text.splitlines() if line.startswith("Private_")) / 1024


def percentiles_ms(latencies_s: list[float]) -> dict[str, float]:
    quantiles = statistics.quantiles(latencies_s, n=1000)
    p50, p99, max_ms = quantiles[499] * 1e3, quantiles[989] * 1e3, max(latencies_s) * 1e3
    return {"p50": round(p50, 2), "p99": round(p99, 2), "max": round(max_ms, 1)}


async def measure(args: argparse.Namespace) -> dict[str, Any]:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Node, "127.0.0.1", 0)
    memory: list[float] = []
    with tempfile.TemporaryDirectory() as folder:
        proxies = Proxies(Path(folder), server.sockets[0].getsockname()[1])
        current_process = await proxies.start()
        clients = Clients(proxies.port, args.pause_ms / 1e3)
        tasks = [asyncio.ensure_future(clients.run()) for _ in range(args.clients)]
        await asyncio.sleep(QUIET_S)
        clients.latencies_s.clear()
        for round_number in range(args.rounds):
            print(f"round {round_number + 1} of {args.rounds}", file=sys.stderr)
            for phase in ("quiet", "upgrade", "quiet", "restart"):
                clients.phase = phase
                if phase == "quiet":
                    await asyncio.sleep(QUIET_S)
                    continue
                if phase == "upgrade":
                    next_process = await proxies.start()
                    memory.append(memory_mb(current_process) + memory_mb(next_process))
                    await stop_process(current_process)
                else:
                    await stop_process(current_process)
                    next_process = await proxies.start()
                current_process = next_process
                await asyncio.sleep(AFTER_S)
        clients.running = False
        await asyncio.gather(*tasks)
        await stop_process(current_process)
    ms = {phase: percentiles_ms(latencies_s) for phase, latencies_s in clients.latencies_s.items()}
    return {
        "rounds": args.rounds, "ms": ms,
        "p99_upgrade_over_quiet": round(ms["upgrade"]["p99"] / ms["quiet"]["p99"], 2),
        "turned_back": {phase: clients.failed_requests.get(phase, 0) for phase in ms},
        "answers": {phase: len(latencies_s) for phase, latencies_s in clients.latencies_s.items()},
        "ready_s": round(statistics.median(proxies.ready_s), 3), "memory_of_both_mb": round(max(memory), 1),
    }  # fmt: skip


def main() -> None:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--clients", type=int, default=24)
    parser.add_argument("--pause-ms", type=float, default=20)
    print(json.dumps(uvloop.run(measure(parser.parse_args()))))


if __name__ == "__main__":
    main()
