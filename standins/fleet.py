"""One real proxy before thousands of stand-in nodes, with lists that change, on a part of a core.

    python -m standins.fleet --nodes 3200 --share 0.01 --core 0.33 --seed 1

The judge reads the books of the clients, the nodes and discovery, and never asks the proxy. The last line is
JSON.
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
from collections import Counter
from contextlib import suppress
from dataclasses import asdict, dataclass, field, fields
from pathlib import Path
from random import Random
from typing import Any
from urllib.parse import parse_qs, urlsplit

from standins import http
from standins.client import Ask, Client
from standins.fleetnodes import address_of
from standins.world import ROOT, free_port

LATE_S = 0.5  # an answer this long past its time is lost
GRACE_S = 0.5  # stopSendingWithinUs of the settings below
SLACK_S = 0.05  # what the protocol allows each time limit on sockets
STOP_S = 0.15  # the longest that a proxy is held up at once
KILL_S = 0.7  # SIGKILL comes the longest deadline and so much after SIGTERM
REUSE_S = 4.0  # until another node comes up at the address of one that went
READY_S = 40.0
MANY_FILES = 20_000
CROWD = 700
EVENT_LINES = 30


@dataclass(frozen=True, slots=True)
class Load:
    """What a round plays. Times are seconds; `share` is the part of the list that joins, drains and goes each
    `every_s`; `core` is the part of a core that the proxy gets."""

    nodes: int = 200
    seconds: float = 10.0
    rate: float = 40.0
    share: float = 0.01
    every_s: float = 0.6
    core: float = 1.0
    deadline_s: float = 1.0
    seed: int = 1
    resets: bool = False  # each change is told as a whole list
    terminate: bool = False  # SIGTERM at the end, SIGKILL as early as it may come
    signals: tuple[str, ...] = ()  # HUP, silent (nodes, 0.8 s), down (discovery, 2 s), crowd (idle)
    keys: int = 100_000
    known: bool = True


@dataclass(slots=True)
class Verdict:
    """What the books say. `lost` and `drained_late` break a rule."""

    taken: int = 0
    answers: Counter[int] = field(default_factory=Counter)
    slow: int = 0  # served after 0.25 s
    slowest_s: float = 0.0
    lost: list[str] = field(default_factory=list)
    drained_late: list[str] = field(default_factory=list)
    twice: list[str] = field(default_factory=list)
    cpu_s: float = 0.0
    peak_mb: float = 0.0
    descriptors: int = 0
    connections: int = 0
    list_bytes: int = 0
    ready_s: float = 0.0
    shut_unread: int = 0
    events: list[str] = field(default_factory=list)  # the proxy's last lines, where a rule was broken

    @property
    def broken(self) -> list[str]:
        return [*self.lost, *self.drained_late, *self.twice]

    @property
    def share_served(self) -> float:
        return self.answers[200] / max(1, self.taken)

    def summary(self) -> dict[str, Any]:
        told = {f.name: getattr(self, f.name) for f in fields(self)}
        told["answers"] = dict(self.answers)
        del told["events"]
        for name in ("lost", "drained_late", "twice"):
            told[name] = len(told[name])
        told["share_served"] = round(self.share_served, 3)
        told["examples"] = self.broken[:6]
        return told


class FleetList(http.Server):
    """Discovery as an agent that lists are pushed to: it answers with the entries that changed."""

    def __init__(self, load: Load, port_of_nodes: int) -> None:
        super().__init__()
        self.load, self.port_of_nodes = load, port_of_nodes
        self.random = Random(load.seed)
        self.generation, self.named = 1, 0
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}
        self.places: dict[str, int] = {}
        self.free: list[tuple[float, int]] = [(0.0, n) for n in range(load.nodes + spare(load))]
        self.out_at: dict[str, float] = {}  # when a node was first listed as one that drains or has gone
        self.held: list[tuple[int, str, float]] = []  # which node stood at an address, and from when
        self.down = False
        self.untold: list[str] = []  # listed as draining while discovery is down, or with nobody to hear it
        self.open_calls = 0  # that wait for news
        self.had = self.written = 1  # the last generation before it went down, and the last that was written
        self.bytes = 0
        self.changed = asyncio.Event()
        for _ in range(load.nodes):
            self.join(0.0)
        self.changed_at = dict.fromkeys(self.entries, 1)

    def join(self, now: float) -> None:
        if not self.free or self.free[0][0] > now:
            return
        _, place = self.free.pop(0)
        name = f"s-{self.random.getrandbits(32):08x}"
        self.named += 1
        self.places[name] = place
        self.held.append((place, name, now))
        self.tell(name, "Ready", int(time.time() * 1000) if now else 0)

    def tell(self, name: str, lifecycle: str, started_ms: int) -> None:
        place = f"{address_of(self.places[name])}:{self.port_of_nodes}"
        self.entries[name] = {
            "instanceId": name, "hostPort": place, "zone": "abc"[self.places[name] % 3], "machineType": "m2",
            "cell": self.places[name] % 8, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": started_ms,
        }  # fmt: skip
        self.changed_at[name] = self.generation

    def turn(self) -> None:
        """One more generation: some join, some drain, and some of those that drain go."""
        now, count = time.monotonic(), max(1, int(self.load.nodes * self.load.share))
        self.generation += 1
        draining = [n for n, e in self.entries.items() if e["lifecycle"] == "Terminating"]
        for name in draining[:count]:
            self.tell(name, "Gone", 0)
            self.free.append((now + REUSE_S, self.places[name]))
        ready = [n for n, e in self.entries.items() if e["lifecycle"] == "Ready"]
        for name in self.random.sample(ready, min(count, len(ready) - 1)):
            self.tell(name, "Terminating", self.entries[name]["startedAtMs"])
            if self.down:
                self.untold.append(name)
            else:
                self.out_at[name] = now
        for _ in range(count):
            self.join(now)
        self.changed.set()
        self.changed = asyncio.Event()

    def go_down(self) -> None:
        """It is silent from now on. What was listed a moment ago, with no call open that it could have been
        written to, nobody has been told: it is told at the return."""
        self.down, self.had = True, self.generation
        if not self.open_calls:
            unheard = [n for n in self.out_at if self.changed_at.get(n, 0) > self.written]
            for name in unheard:
                if self.entries[name]["lifecycle"] == "Terminating":
                    del self.out_at[name]
                    self.untold.append(name)

    def come_up(self) -> None:
        """What the agent gets now counts as told at once."""
        self.down = False
        self.out_at.update(dict.fromkeys(self.untold, time.monotonic()))
        self.untold.clear()

    def told(self, after: int) -> dict[str, Any]:
        if after < 0 or (self.load.resets and after < self.generation):
            there = [e for e in self.entries.values() if e["lifecycle"] != "Gone"]
            return {"generation": self.generation, "reset": True, "instances": there}
        news = [e for n, e in self.entries.items() if self.changed_at[n] > after]
        return {"generation": self.generation, "reset": False, "instances": news}

    async def reply(self, m: http.Message) -> bytes:
        query = parse_qs(urlsplit(m.start.split(" ")[1]).query)
        after, wait_s = int(query.get("after", ["-1"])[0]), int(query.get("wait_ms", ["0"])[0]) / 1000
        while self.down:
            await asyncio.sleep(0.02)
        if after >= self.generation:
            self.open_calls += 1
            try:
                with suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), wait_s)
            finally:
                self.open_calls -= 1
        while self.down and after >= self.had:
            await asyncio.sleep(0.02)
        body = json.dumps(self.told(after)).encode()
        self.written = self.generation
        self.bytes += len(body)
        return http.answer(200, body)


def spare(load: Load) -> int:
    """Addresses for those that join while those that went are not reused yet."""
    count = max(1, int(load.nodes * load.share))
    return count * (2 + int(min(load.seconds, REUSE_S + 2 * load.every_s) / load.every_s))


def allow_many_files() -> None:
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(MANY_FILES, most),) * 2)


def settings_of(load: Load) -> dict[str, Any]:
    us = int(load.deadline_s * 1e6)
    read = {"name": "read", "repeat": "read_like", "sloUs": us // 4, "giveUpUs": us, "lateValue": 0.2}
    keyed = {
        "name": "report",
        "repeat": "idempotency_key",
        "group": "all",
        "keyTtlUs": us,
        "sloUs": us // 4,
        "giveUpUs": us,
    }
    return {
        "balancers": 20, "grades": [read, keyed], "discovery": "automatic",
        "permissions": {"maxAttempts": 4, "secondCopies": True, "mayCancel": True, "probes": True,
                        "connectTimeoutUs": 250_000, "connIdleUs": 60_000_000},
        "rules": {"coldFrom": 0.3, "coldUs": 8_000_000, "stopSendingWithinUs": int(GRACE_S * 1e6)},
    }  # fmt: skip


class Part:
    """Holds a process up so that it gets a part of a core: stops of at most STOP_S, by signals."""

    def __init__(self, process: asyncio.subprocess.Process, part: float) -> None:
        self.process, self.part = process, part

    async def run(self) -> None:
        if self.part >= 1:
            return
        stop_s = min(STOP_S, 0.1)
        go_s = stop_s * self.part / (1 - self.part)
        while self.process.returncode is None:
            self.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(stop_s)
            if self.process.returncode is None:
                self.process.send_signal(signal.SIGCONT)
            await asyncio.sleep(go_s)


class Round:
    """Starts all processes of one round, plays it, and judges it."""

    def __init__(self, load: Load, folder: Path, tree: Path = ROOT) -> None:
        self.load, self.folder, self.tree = load, folder, tree
        self.random = Random(load.seed + 1)
        self.port, self.node_port = free_port(), free_port()
        self.lists = FleetList(load, self.node_port)
        self.client = Client(self.port, grace_s=LATE_S)
        self.asks: list[Ask] = []
        self.verdict = Verdict()
        self.terminated_at = self.ended_at = float("inf")

    @property
    def book(self) -> Path:
        return self.folder / "book.json"

    async def _start_nodes(self) -> asyncio.subprocess.Process:
        count = self.load.nodes + spare(self.load)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "standins.fleetnodes", str(count), str(self.node_port), str(self.book),
            cwd=ROOT, stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        assert process.stdout is not None
        if (await process.stdout.readline()).strip() != b"ready":
            raise RuntimeError("the nodes did not start")
        return process

    async def _start_proxy(self) -> asyncio.subprocess.Process:
        config = {
            "name": "p0", "listen": f"127.0.0.1:{self.port}", "seed": 7,
            "discovery": f"127.0.0.1:{self.lists.port}",
            "limits": {"memory_mb": 192, "sockets": 1024}, "settings": settings_of(self.load),
        }  # fmt: skip
        if self.load.known:
            config["known"] = self.lists.told(-1)
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        with open(self.folder / "proxy.log", "ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable, "-m", "magpiefront", cwd=self.tree, stderr=log,
                env={**os.environ, "LB_CONFIG": str(path), "PYTHONPATH": str(self.tree)},
            )  # fmt: skip

    async def _ready(self, process: asyncio.subprocess.Process) -> None:
        began = time.monotonic()
        while time.monotonic() < began + READY_S and process.returncode is None:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                m = await asyncio.wait_for(http.read(reader), READY_S)
                writer.close()
                if " 200 " in m.start:
                    self.verdict.ready_s = time.monotonic() - began
                    return
            except OSError:
                pass
            await asyncio.sleep(0.02)
        raise RuntimeError(f"the proxy is not ready: {(self.folder / 'proxy.log').read_text()[-2000:]}")

    async def _ask(self, number: int) -> None:
        key = f"k{int(self.random.paretovariate(0.4)) % self.load.keys:06d}"
        a = Ask(f"r{number:07d}", "read", "", key, "GET", self.load.deadline_s)
        if self.random.random() < 0.1:
            a.kind, a.method, a.once = "report", "PUT", a.name
        self.asks.append(a)
        await self.client.ask(a)

    async def _changes(self) -> None:
        while True:
            await asyncio.sleep(self.load.every_s)
            self.lists.turn()

    async def _signals(self, proxy: asyncio.subprocess.Process, nodes: asyncio.subprocess.Process) -> None:
        for each in self.load.signals:
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
            if each == "HUP":
                proxy.send_signal(signal.SIGHUP)
            elif each == "silent":
                nodes.send_signal(signal.SIGUSR1)
                await asyncio.sleep(0.8)
                nodes.send_signal(signal.SIGUSR2)
            elif each == "down":
                self.lists.go_down()
                await asyncio.sleep(2.0)
                self.lists.come_up()
            elif each == "crowd":
                await self._crowd()

    async def _crowd(self) -> None:
        """Clients that connect and ask nothing, more than the proxy has descriptors for."""
        for _ in range(CROWD):
            with suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
                self.client.writers[writer] = None

    async def _traffic(self, until: float, number: int) -> int:
        tasks: list[asyncio.Task[None]] = []
        while time.monotonic() < until:
            await asyncio.sleep(self.random.expovariate(self.load.rate))
            tasks.append(asyncio.create_task(self._ask(number)))
            number += 1
        self.tasks = tasks
        return number

    async def _terminate(self, proxy: asyncio.subprocess.Process, number: int) -> None:
        """Clients go on with the connections that are open, until the kill."""
        proxy.terminate()
        self.terminated_at = time.monotonic()
        kill_at = self.terminated_at + min(3.0, self.load.deadline_s) + KILL_S
        while time.monotonic() < kill_at and proxy.returncode is None:
            await asyncio.sleep(0.01)
            if self.client.free and self.random.random() < self.load.rate * 0.01:
                self.tasks.append(asyncio.create_task(self._ask(number)))
                number += 1
        if proxy.returncode is None:
            proxy.kill()
        self.ended_at = time.monotonic()

    async def ask_at_once(self) -> Ask:
        """The first request that a starting proxy lets in, and what became of it."""
        allow_many_files()
        await self.lists.start()
        nodes = await self._start_nodes()
        proxy = await self._start_proxy()
        until = time.monotonic() + READY_S
        try:
            while time.monotonic() < until and proxy.returncode is None:
                a = Ask("first", "read", "", "k1", "GET", self.load.deadline_s)
                await self.client.ask(a)
                if not a.ended.startswith("no connection"):
                    break
                await asyncio.sleep(0.005)
            return a
        finally:
            for process in (proxy, nodes):
                process.terminate()
                await process.wait()
            self.client.close()
            self.lists.stop()

    async def play(self) -> Verdict:
        allow_many_files()
        await self.lists.start()
        nodes = await self._start_nodes()
        proxy = await self._start_proxy()
        part = asyncio.create_task(Part(proxy, self.load.core).run())
        beside = [part]
        try:
            await self._ready(proxy)
            beside += [asyncio.create_task(self._changes()), asyncio.create_task(self._signals(proxy, nodes))]
            number = await self._traffic(time.monotonic() + self.load.seconds, 0)
            self._measure(proxy.pid)
            if self.load.terminate:
                await self._terminate(proxy, number)
            await asyncio.gather(*self.tasks)
        finally:
            for task in beside:
                task.cancel()
            if proxy.returncode is None:
                proxy.kill()
            await proxy.wait()
            nodes.terminate()
            await nodes.wait()
            self.client.close()
            self.lists.stop()
        self._judge()
        return self.verdict

    def _measure(self, pid: int) -> None:
        stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        self.verdict.cpu_s = (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")
        status = Path(f"/proc/{pid}/status").read_text()
        self.verdict.peak_mb = int(status.partition("VmHWM:")[2].split()[0]) / 1024
        self.verdict.descriptors = len(os.listdir(f"/proc/{pid}/fd"))

    def _judge(self) -> None:
        v, book = self.verdict, json.loads(self.book.read_text())
        v.connections, v.list_bytes = book["connections"], self.lists.bytes
        forwarded = {request for _, _, request in book["requests"]}
        for a in self.asks:
            if a.ended.startswith("no connection"):
                continue
            v.taken += 1
            if not a.answers or a.took > a.deadline_s + LATE_S:
                if a.ended.startswith("broke") and "crowd" in self.load.signals and a.name not in forwarded:
                    v.shut_unread += 1  # allowed where idle clients fill the descriptors
                    continue
                why = a.ended or f"answered after {a.took:.3f}"
                v.lost.append(f"lost: {a.name} sent {a.sent:.3f}, {why}")
                continue
            v.answers[a.status] += 1
            v.slow += a.status == 200 and a.took > 0.25
            v.slowest_s = max(v.slowest_s, a.took)
        for place, began, request in book["requests"]:
            name = self._node_at(place, began)
            out_at = self.lists.out_at.get(name, float("inf"))
            if began > out_at + GRACE_S + SLACK_S:
                v.drained_late.append(
                    f"drained: {request} began {began - out_at:.3f} after {name} was listed"
                )
        self._judge_effects(book["requests"])
        if v.broken:
            v.events = (self.folder / "proxy.log").read_text(errors="replace").splitlines()[-EVENT_LINES:]
            v.events.append(f"SIGTERM at {self.terminated_at:.3f}, ended at {self.ended_at:.3f}")

    def _judge_effects(self, requests: list[tuple[int, float, str]]) -> None:
        """A keyed request runs again only within its window."""
        first: dict[str, float] = {}
        reports = {a.name for a in self.asks if a.method == "PUT"}
        for _, began, request in requests:
            if request in reports and began > first.setdefault(request, began) + self.load.deadline_s:
                self.verdict.twice.append(
                    f"twice: {request} began {began - first[request]:.3f} after the first"
                )

    def _node_at(self, place: int, at: float) -> str:
        names = [name for there, name, since in self.lists.held if there == place and since <= at]
        return names[-1] if names else ""


async def play(load: Load, tree: Path = ROOT) -> Verdict:
    with tempfile.TemporaryDirectory(prefix="fleet-") as folder:
        return await Round(load, Path(folder), tree).play()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    for name, given in asdict(Load()).items():
        if isinstance(given, bool):
            parser.add_argument(f"--{name}", action=argparse.BooleanOptionalAction, default=given)
        elif not isinstance(given, tuple):
            parser.add_argument(f"--{name.replace('_', '-')}", type=type(given), default=given)
    parser.add_argument("--tree", type=Path, default=ROOT, help="the checkout whose proxy is played")
    args = vars(parser.parse_args())
    tree = args.pop("tree").resolve()
    verdict = asyncio.run(play(Load(**args), tree))
    for line in verdict.broken[:20]:
        print(line)
    print(json.dumps(verdict.summary()))
    sys.exit(bool(verdict.broken))


if __name__ == "__main__":
    main()
