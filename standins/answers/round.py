"""One round of a plan with real processes.

    python -m standins.answers.round [--seed N] [--tree DIR] [--plan JSON] [--seconds 5]

Starts the nodes, discovery and the proxies, plays clients and faults, and judges by the books alone. The
last line is JSON.
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
from standins.answers.plan import Plan, plan_of, read_plan
from standins.fleetnodes import address_of
from standins.world import ROOT, free_port, until_ready

KILL_S = 0.7  # SIGKILL comes the longest deadline and so much after SIGTERM
HOLD_S = 0.15
SHIM = Path(__file__).parent / "shim"
STEP_S = 3600


class Lists(http.Server):
    """Discovery as an agent that lists are pushed to; nothing changes."""

    def __init__(self, plan: Plan, node_port: int) -> None:
        super().__init__()
        there = [
            {"instanceId": f"s-{n:04d}", "hostPort": f"{address_of(n)}:{node_port}", "zone": f"z{zone_of(n)}",
             "machineType": "m2", "cell": cell_of(n), "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0}
            for n in range(plan.nodes)
        ]  # fmt: skip
        self.whole: dict[str, Any] = {"generation": 1, "reset": True, "instances": there}

    async def reply(self, m: http.Message) -> bytes:
        if "after=1" in m.start:
            await asyncio.sleep(0.2)
            return http.answer(200, b'{"generation": 1, "reset": false, "instances": []}')
        return http.answer(200, json.dumps(self.whole).encode())


def settings_of(plan: Plan) -> dict[str, Any]:
    us = int(plan.deadline_s * 1e6)
    grade = {"name": "level-read", "repeat": plan.repeat, "sloUs": us // 3, "giveUpUs": us, "lateValue": 0.2}
    if plan.repeat == "idempotency_key":
        grade |= {"group": plan.group, "keyTtlUs": int(plan.window_s * 1e6)}
    return {
        "balancers": plan.proxies, "grades": [grade], "discovery": "automatic", "myZone": "z0",
        "permissions": {"maxAttempts": 4, "secondCopies": plan.hedging, "mayCancel": True, "probes": True,
                        "connectTimeoutUs": int(plan.connect_timeout_s * 1e6), "connIdleUs": 15_000_000},
        "rules": {"coldFrom": 0.3, "coldUs": 1_000_000, "stopSendingWithinUs": 500_000},
    }  # fmt: skip


class Round:
    def __init__(self, plan: Plan, folder: Path, tree: Path) -> None:
        self.plan, self.folder, self.tree = plan, folder, tree
        self.random = Random(f"round {plan.seed}")
        self.ports = [free_port() for _ in range(plan.proxies)]
        self.admins = [free_port() for _ in range(plan.proxies)]
        self.node_port = free_port()
        self.lists = Lists(plan, self.node_port)
        self.clients = Clients(plan, self.ports)
        self.proxies: list[asyncio.subprocess.Process] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def log(self, number: int) -> Path:
        return self.folder / f"proxy{number}.log"

    async def _start_nodes(self) -> asyncio.subprocess.Process:
        path = self.folder / "plan.json"
        path.write_text(self.plan.text())
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "standins.answers.nodes", str(path), str(self.node_port),
            str(self.folder / "book.json"), cwd=ROOT, stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        assert process.stdout is not None
        if (await process.stdout.readline()).strip() != b"ready":
            raise RuntimeError("the nodes did not start")
        return process

    async def _start_proxy(self, number: int) -> asyncio.subprocess.Process:
        config = {
            "name": f"p{number}", "listen": f"127.0.0.1:{self.ports[number]}",
            "seed": self.plan.seed + number,
            "discovery": f"127.0.0.1:{self.lists.port}", "admin": f"127.0.0.1:{self.admins[number]}",
            "limits": {"memory_mb": 192, "sockets": 1024}, "known": self.lists.whole,
            "settings": settings_of(self.plan),
        }  # fmt: skip
        path = self.folder / f"proxy{number}.json"
        path.write_text(json.dumps(config))
        steps = [self.random.uniform(1, self.plan.seconds) for _ in range(self.plan.faults.clock_steps)]
        env = {**os.environ, "LB_CONFIG": str(path), "PYTHONPATH": f"{self.tree}:{SHIM}"}
        env["WALL_CLOCK_STEPS"] = ",".join(
            f"{at:.3f}:{self.random.choice((-STEP_S, STEP_S))}" for at in steps
        )
        with open(self.log(number), "ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable, "-m", "magpiefront", cwd=self.tree, stderr=log, env=env
            )

    def _later(self, at_s: float, call: Any, *args: Any) -> None:
        asyncio.get_running_loop().call_later(at_s, call, *args)

    def _plan_faults(self) -> None:
        faults, seconds, random = self.plan.faults, self.plan.seconds, self.random
        for _ in range(faults.bursts):
            self._later(random.uniform(0.2, seconds), self.clients.leave_in_a_burst)
        for _ in range(faults.reloads):
            self._later(random.uniform(0, seconds), self._signal, random.choice(self.proxies), signal.SIGHUP)
        for _ in range(faults.hold_ups):
            process = random.choice(self.proxies)
            at = random.uniform(0, seconds)
            self._later(at, self._signal, process, signal.SIGSTOP)
            self._later(at + random.uniform(0.02, HOLD_S - 0.02), self._signal, process, signal.SIGCONT)
        for _ in range(faults.no_descriptors):
            self._later(random.uniform(0, seconds), self._take_descriptors, random.choice(self.proxies))

    def _signal(self, process: asyncio.subprocess.Process, number: signal.Signals) -> None:
        if process.returncode is None:
            process.send_signal(number)

    def _take_descriptors(self, process: asyncio.subprocess.Process) -> None:
        """For a moment it gets no new one: accept, socket and open fail with EMFILE."""
        if process.returncode is not None:
            return
        before = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (8, before[1]))
        self._later(self.random.uniform(0.02, 0.2), self._give_descriptors, process, before)

    def _give_descriptors(self, process: asyncio.subprocess.Process, limits: tuple[int, int]) -> None:
        if process.returncode is None:
            with suppress(ProcessLookupError):
                resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)

    def _ask(self, proxy: int, open_alone: bool = False) -> None:
        task = asyncio.create_task(self.clients.ask(proxy, open_alone))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _traffic(self) -> None:
        until = time.monotonic() + self.plan.seconds
        while time.monotonic() < until:
            await asyncio.sleep(self.random.expovariate(self.plan.rate))
            self._ask(self.random.randrange(self.plan.proxies))

    async def _terminate(self, nodes: asyncio.subprocess.Process) -> None:
        """Clients go on with the connections that are open, until the kill."""
        if self.plan.faults.hang_at_end:
            nodes.send_signal(signal.SIGUSR1)
        for process in self.proxies:
            self._signal(process, signal.SIGCONT)
            self._signal(process, signal.SIGTERM)
        until = time.monotonic() + min(3.0, self.plan.deadline_s) + KILL_S
        while time.monotonic() < until and any(p.returncode is None for p in self.proxies):
            await asyncio.sleep(0.005)
            if self.random.random() < self.plan.rate * 0.005:
                self._ask(self.random.randrange(self.plan.proxies), True)
        for process in self.proxies:
            self._signal(process, signal.SIGKILL)

    async def play(self) -> Verdict:
        resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
        await self.lists.start()
        nodes = await self._start_nodes()
        at_end = float("inf")
        try:
            self.proxies = [await self._start_proxy(n) for n in range(self.plan.proxies)]
            for number, process in enumerate(self.proxies):
                await until_ready("a proxy", self.ports[number], process, self.log(number))
            self._plan_faults()
            await self._traffic()
            if self.plan.terminate:
                await self._terminate(nodes)
                at_end = time.monotonic()
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
            self.lists.stop()
        return self._judge(at_end, crashed)

    def _judge(self, at_end: float, crashed: list[int]) -> Verdict:
        book = json.loads((self.folder / "book.json").read_text())
        attempts = [Attempt(**a) for a in book["attempts"]]
        verdict = judge(self.plan, self.clients.asked, attempts, at_end)
        verdict.connections, verdict.extra = book["connections"], book["extra"]
        verdict.wrong += [f"wrong: nobody asked for {text[:60]!r}" for text in self.clients.extra]
        verdict.lost += [f"lost: proxy {n} crashed: {self.log(n).read_text()[-300:]}" for n in crashed]
        return verdict


async def play(plan: Plan, tree: Path = ROOT, keep: Path | None = None) -> Verdict:
    """`keep`: a folder in which the logs and books stay."""
    if keep is not None:
        return await Round(plan, keep, tree).play()
    with tempfile.TemporaryDirectory(prefix="answers-") as folder:
        return await Round(plan, Path(folder), tree).play()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--plan", type=read_plan, default=None, help="in place of what the seed draws")
    parser.add_argument("--tree", type=Path, default=ROOT, help="the checkout whose proxies are played")
    parser.add_argument("--keep", type=Path, default=None, help="where logs and books stay")
    args = parser.parse_args()
    plan = args.plan or plan_of(args.seed, args.seconds)
    verdict = asyncio.run(play(replace(plan), args.tree.resolve(), args.keep))
    for line in verdict.broken[:20]:
        print(line)
    print(json.dumps(verdict.summary()))
    sys.exit(bool(verdict.broken))


if __name__ == "__main__":
    main()
