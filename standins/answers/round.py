"""Runs one round of a plan with real processes.

    python -m standins.answers.round [--seed N] [--tree DIR] [--plan JSON] [--seconds 5]

Starts the nodes, discovery and the proxies, sends requests, injects the faults, and compares what the clients
and the nodes recorded; the proxies are not queried. The last line of the output is JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import resource
import signal
import sys
import tempfile
import time
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

from standins import http
from standins.answers.clients import Clients
from standins.answers.judge import Verdict, cell_of, judge
from standins.answers.nodes import Attempt, zone_of
from standins.answers.plan import Plan, draw_plan, read_plan
from standins.fleetnodes import address_of
from standins.world import ROOT, free_port, until_ready

KILL_DELAY_S = 0.7  # SIGKILL follows SIGTERM after the longest deadline (at most 3 s) and this delay
MAX_STALL_S = 0.15  # upper bound of each pause of a proxy by SIGSTOP
SHIM_FOLDER = Path(__file__).parent / "shim"  # its sitecustomize.py steps the wall clock
CLOCK_STEP_S = 3600  # of a proxy's wall clock


class StaticDiscovery(http.Server):
    """A stand-in for discovery with a list that never changes."""

    def __init__(self, plan: Plan, node_port: int) -> None:
        super().__init__()
        entries = [
            {"instanceId": f"s-{n:04d}", "hostPort": f"{address_of(n)}:{node_port}", "zone": f"z{zone_of(n)}",
             "machineType": "m2", "cell": cell_of(n), "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0}
            for n in range(plan.nodes)
        ]  # fmt: skip
        self.full_list: dict[str, Any] = {"generation": 1, "reset": True, "instances": entries}

    async def reply(self, message: http.Message) -> bytes:
        if "after=1" in message.start:
            await asyncio.sleep(0.2)
            return http.response(200, b'{"generation": 1, "reset": false, "instances": []}')
        return http.response(200, json.dumps(self.full_list).encode())


def proxy_settings(plan: Plan) -> dict[str, Any]:
    deadline_us = int(plan.deadline_s * 1e6)
    request_class = {
        "name": "level-read",
        "repeat": plan.repeat,
        "sloUs": deadline_us // 3,
        "giveUpUs": deadline_us,
        "lateValue": 0.2,
    }
    if plan.repeat == "idempotency_key":
        request_class |= {"group": plan.group, "keyTtlUs": int(plan.window_s * 1e6)}
    return {
        "balancers": plan.proxies, "grades": [request_class], "discovery": "automatic", "myZone": "z0",
        "permissions": {"maxAttempts": 4, "secondCopies": plan.hedging, "mayCancel": True, "probes": True,
                        "connectTimeoutUs": int(plan.connect_timeout_s * 1e6), "connIdleUs": 15_000_000},
        "rules": {"coldFrom": 0.3, "coldUs": 1_000_000, "stopSendingWithinUs": 500_000},
    }  # fmt: skip


class Round:
    """Starts all processes of one round, runs its traffic and faults, and checks the result."""

    def __init__(self, plan: Plan, folder: Path, tree: Path) -> None:
        self.plan, self.folder, self.tree = plan, folder, tree
        self.random = Random(f"round {plan.seed}")
        self.ports = [free_port() for _ in range(plan.proxies)]
        self.admin_ports = [free_port() for _ in range(plan.proxies)]
        self.node_port = free_port()
        self.discovery = StaticDiscovery(plan, self.node_port)
        self.clients = Clients(plan, self.ports)
        self.proxies: list[asyncio.subprocess.Process] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def log_path(self, number: int) -> Path:
        return self.folder / f"proxy{number}.log"

    async def _start_nodes(self) -> asyncio.subprocess.Process:
        path = self.folder / "plan.json"
        path.write_text(self.plan.to_json())
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "standins.answers.nodes", str(path), str(self.node_port),
            str(self.folder / "book.json"), cwd=ROOT, stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        assert process.stdout is not None
        if (await process.stdout.readline()).strip() != b"ready":
            raise RuntimeError("the stand-in nodes did not start")
        return process

    async def _start_proxy(self, number: int) -> asyncio.subprocess.Process:
        config = {
            "name": f"p{number}", "listen": f"127.0.0.1:{self.ports[number]}",
            "seed": self.plan.seed + number,
            "discovery": f"127.0.0.1:{self.discovery.port}", "admin": f"127.0.0.1:{self.admin_ports[number]}",
            "limits": {"memory_mb": 192, "sockets": 1024}, "known": self.discovery.full_list,
            "settings": proxy_settings(self.plan),
        }  # fmt: skip
        path = self.folder / f"proxy{number}.json"
        path.write_text(json.dumps(config))
        steps = [self.random.uniform(1, self.plan.seconds) for _ in range(self.plan.faults.clock_steps)]
        env = {**os.environ, "LB_CONFIG": str(path), "PYTHONPATH": f"{self.tree}:{SHIM_FOLDER}"}
        env["WALL_CLOCK_STEPS"] = ",".join(
            f"{at:.3f}:{self.random.choice((-CLOCK_STEP_S, CLOCK_STEP_S))}" for at in steps
        )
        with open(self.log_path(number), "ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable, "-m", "magpiefront", cwd=self.tree, stderr=log, env=env
            )

    def _call_later(self, delay_s: float, action: Any, *args: Any) -> None:
        asyncio.get_running_loop().call_later(delay_s, action, *args)

    def _schedule_faults(self) -> None:
        """Schedules the faults of the clients and the proxies; the nodes schedule their own."""
        faults, seconds, random = self.plan.faults, self.plan.seconds, self.random
        for _ in range(faults.bursts):
            self._call_later(random.uniform(0.2, seconds), self.clients.close_many)
        for _ in range(faults.reloads):
            self._call_later(
                random.uniform(0, seconds), self._signal, random.choice(self.proxies), signal.SIGHUP
            )
        for _ in range(faults.hold_ups):
            process = random.choice(self.proxies)
            stop_at = random.uniform(0, seconds)
            self._call_later(stop_at, self._signal, process, signal.SIGSTOP)
            self._call_later(
                stop_at + random.uniform(0.02, MAX_STALL_S - 0.02), self._signal, process, signal.SIGCONT
            )
        for _ in range(faults.no_descriptors):
            self._call_later(random.uniform(0, seconds), self._block_descriptors, random.choice(self.proxies))

    def _signal(self, process: asyncio.subprocess.Process, number: signal.Signals) -> None:
        if process.returncode is None:
            process.send_signal(number)

    def _block_descriptors(self, process: asyncio.subprocess.Process) -> None:
        """Lowers the limit of open files for up to 0.2 s: accept, socket and open then fail with EMFILE."""
        if process.returncode is not None:
            return
        limits = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (8, limits[1]))
        self._call_later(self.random.uniform(0.02, 0.2), self._restore_descriptors, process, limits)

    def _restore_descriptors(self, process: asyncio.subprocess.Process, limits: tuple[int, int]) -> None:
        if process.returncode is None:
            with suppress(ProcessLookupError):
                resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)

    def _send_request(self, proxy: int, only_open: bool = False) -> None:
        """Starts a task that sends a request, on an open connection only if `only_open` is set."""
        task = asyncio.create_task(self.clients.send(proxy, only_open))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send_requests(self) -> None:
        deadline = time.monotonic() + self.plan.seconds
        while time.monotonic() < deadline:
            await asyncio.sleep(self.random.expovariate(self.plan.rate))
            self._send_request(self.random.randrange(self.plan.proxies))

    async def _terminate(self, nodes: asyncio.subprocess.Process) -> None:
        """Sends SIGTERM, and SIGKILL at the earliest time allowed. Until then clients send further requests
        on the connections that are open."""
        if self.plan.faults.hang_at_end:
            nodes.send_signal(signal.SIGUSR1)
        for process in self.proxies:
            self._signal(process, signal.SIGCONT)
            self._signal(process, signal.SIGTERM)
        kill_at = time.monotonic() + min(3.0, self.plan.deadline_s) + KILL_DELAY_S
        while time.monotonic() < kill_at and any(p.returncode is None for p in self.proxies):
            await asyncio.sleep(0.005)
            if self.random.random() < self.plan.rate * 0.005:
                self._send_request(self.random.randrange(self.plan.proxies), True)
        for process in self.proxies:
            self._signal(process, signal.SIGKILL)

    async def run(self) -> Verdict:
        """Runs the round. Raises RuntimeError if the nodes do not start; `until_ready` raises for a proxy."""
        resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
        await self.discovery.start()
        nodes = await self._start_nodes()
        ended_at = float("inf")
        try:
            self.proxies = [await self._start_proxy(n) for n in range(self.plan.proxies)]
            for number, process in enumerate(self.proxies):
                await until_ready("a proxy", self.ports[number], process, self.log_path(number))
            self._schedule_faults()
            await self._send_requests()
            if self.plan.terminate:
                await self._terminate(nodes)
                ended_at = time.monotonic()
            while self.tasks:
                await asyncio.wait(set(self.tasks), timeout=1.0)
            crashed = [
                n for n, p in enumerate(self.proxies) if p.returncode not in (None, 0, -signal.SIGKILL)
            ]
        finally:
            for process in self.proxies:
                if process.returncode is None:
                    process.kill()
                await process.wait()
            self.clients.close()
            nodes.terminate()
            await nodes.wait()
            self.discovery.stop()
        return self._judge(ended_at, crashed)

    def _judge(self, ended_at: float, crashed: list[int]) -> Verdict:
        """Judges what the clients and the nodes recorded. `crashed`: the numbers of proxies that crashed."""
        node_log = json.loads((self.folder / "book.json").read_text())
        attempts = [Attempt(**a) for a in node_log["attempts"]]
        verdict = judge(self.plan, self.clients.requests, attempts, ended_at)
        verdict.connections, verdict.extra = node_log["connections"], node_log["extra"]
        verdict.wrong += [
            f"wrong: unexpected bytes on an idle connection: {text[:60]!r}"
            for text in self.clients.unexpected
        ]
        verdict.lost += [f"lost: proxy {n} crashed: {self.log_path(n).read_text()[-300:]}" for n in crashed]
        return verdict


async def run_round(plan: Plan, tree: Path = ROOT, keep: Path | None = None) -> Verdict:
    """Runs a round with the proxies of a checkout. `keep` is a folder for its logs and records, which are
    otherwise deleted. Raises as `Round.run` does."""
    if keep is not None:
        return await Round(plan, keep, tree).run()
    with tempfile.TemporaryDirectory(prefix="answers-") as folder:
        return await Round(plan, Path(folder), tree).run()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--plan", type=read_plan, default=None, help="run this plan instead of the seed's")
    parser.add_argument("--tree", type=Path, default=ROOT, help="the checkout whose proxies are tested")
    parser.add_argument("--keep", type=Path, default=None, help="folder in which logs and records are kept")
    args = parser.parse_args()
    plan = args.plan or draw_plan(args.seed, args.seconds)
    verdict = asyncio.run(run_round(replace(plan), args.tree.resolve(), args.keep))
    for line in verdict.violations[:20]:
        print(line)
    print(json.dumps(verdict.summary()))
    sys.exit(bool(verdict.violations))


if __name__ == "__main__":
    main()
