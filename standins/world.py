"""Sites of real proxy processes with all they need on free ports, and traffic against them."""

from __future__ import annotations

import asyncio
import json
import math
import os
import signal
import socket
import sys
import tempfile
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from standins import schedule
from standins.archive import Archive
from standins.client import Ask, Client
from standins.discovery import Discovery
from standins.node import Node
from standins.relay import Relay

ROOT = Path(__file__).resolve().parents[1]
NAMES = ("west", "east", "north", "south")
CLASSES = (
    {"name": "level-read", "repeat": "read_like", "sloUs": 250_000, "giveUpUs": 1_000_000, "lateValue": 0.2},
    {"name": "field-report", "repeat": "idempotency_key", "group": "all", "keyTtlUs": 30_000_000,
     "sloUs": 500_000, "giveUpUs": 2_000_000, "lateValue": 0.2},
    {"name": "gauge-reset", "repeat": "non_idempotent", "sloUs": 500_000, "giveUpUs": 2_000_000,
     "lateValue": 0.2},
)  # fmt: skip
DEADLINES = {"level-read": 1.0, "field-report": 2.0, "gauge-reset": 2.0}


class Ports:
    """Ports below those that the system deals out by itself (one of these could go to somebody's outgoing
    connection before it is listened on). None is dealt out a second time within `HOLD_S`: whoever has it may
    not listen there yet, and a process that is killed gives it up for a moment, and wants it back. That it
    can be bound says nothing of that; that it can't, as for a minute after a busy listener has ended, only
    passes it over. Other programs keep off a block by its first port, which is bound here to the end."""

    FIRST, LAST, BLOCK, HOLD_S = 16_000, 32_000, 100, 300.0

    def __init__(self) -> None:
        self.random = Random(os.urandom(8))  # not the plan's: several worlds run at once
        self.guards: list[socket.socket] = []
        self.ports: deque[int] = deque()
        self.dealt: dict[int, float] = {}  # when each was last looked at

    def deal(self) -> int:
        while True:
            now = time.monotonic()
            if not self.ports or now < self.dealt.get(self.ports[0], -math.inf) + self.HOLD_S:
                self._claim()
            port = self.ports.popleft()
            self.ports.append(port)
            self.dealt[port] = now
            with socket.socket() as s, suppress(OSError):
                s.bind(("127.0.0.1", port))
                return port

    def _claim(self) -> None:
        blocks = range(self.FIRST, self.LAST, self.BLOCK)
        for first in self.random.sample(blocks, len(blocks)):
            guard = socket.socket()
            try:
                guard.bind(("127.0.0.1", first))
            except OSError:
                guard.close()
                continue
            self.guards.append(guard)
            self.ports.extendleft(range(first + 1, first + self.BLOCK))
            return
        raise Failed("no block of ports is free")


PORTS = Ports()


def free_port() -> int:
    """A port that nobody listens on, for this process to hand to those that it starts. Raises Failed."""
    return PORTS.deal()


@dataclass
class Plan:
    """What a world is made of, and what is played in it."""

    sites: int = 2
    proxies: int = 1
    nodes: int = 4
    seconds: float = 10.0
    rate: float = 120.0  # requests a second in all
    faults: str = "mixed"
    seed: int = 1
    round_s: float = 0.02  # the link's round trip
    crossing: float = 0.3  # the share of requests asked at another site than their key's
    keys: int = 400
    link: bool = True  # False: no operator's file, each site for itself
    gateway: str = ""  # more lines of the operator's file

    @property
    def names(self) -> tuple[str, ...]:
        return NAMES[: self.sites]


@dataclass
class Process:
    name: str
    port: int
    gateway_port: int
    process: asyncio.subprocess.Process
    log: Path

    def cpu_s(self) -> float:
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e9


@dataclass
class Site:
    name: str
    archive: Archive
    nodes: list[Node]
    discovery: Discovery
    proxies: list[Process] = field(default_factory=list)
    clients: list[Client] = field(default_factory=list)


class Failed(Exception):
    """The world could not be started; the text says why."""


async def until_ready(name: str, port: int, process: asyncio.subprocess.Process, log: Path) -> None:
    """Until a proxy takes requests. Raises Failed where it ends, or does not come to that."""
    for _ in range(1500):
        if process.returncode is not None:
            raise Failed(f"{name} ended with {process.returncode}: {log.read_text().strip()[-500:]}")
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
            if b"200" in line:
                return
        except OSError:
            pass
        await asyncio.sleep(0.02)
    raise Failed(f"{name} does not become ready")


class World:
    def __init__(self, plan: Plan, folder: Path, cpus: dict[str, set[int]] | None = None) -> None:
        self.plan, self.folder = plan, folder
        self.cpus = cpus or {}
        self.random = Random(plan.seed)
        self.sites: dict[str, Site] = {}
        self.relays: list[Relay] = []
        self.faults = schedule.draw(plan.seed, plan.seconds, schedule.PRESETS[plan.faults])
        self.asks: list[Ask] = []
        self.number = 0

    # ---- start and stop

    async def start(self) -> None:
        """Raises Failed."""
        for i, name in enumerate(self.plan.names):
            archive = Archive(name)
            nodes = [
                Node(f"{name}-{n}", archive, self.plan.seed + 10 * i + n) for n in range(self.plan.nodes)
            ]
            for node in nodes:
                await node.start()
            site = self.sites[name] = Site(name, archive, nodes, Discovery())
            await site.discovery.start()
            site.discovery.set([n.entry() for n in nodes])
        ports = {n: [free_port() for _ in range(self.plan.proxies)] for n in self.plan.names}
        for name, site in self.sites.items():
            peers: dict[str, list[int]] = {}
            for other in self.plan.names:
                if other != name and self.plan.link:
                    for port in ports[other]:
                        relay = Relay(("127.0.0.1", port), self.plan.seed, self.plan.round_s / 2)
                        await relay.start()
                        self.relays.append(relay)
                        peers.setdefault(other, []).append(relay.port)
            for i, port in enumerate(ports[name]):
                site.proxies.append(await self._start(site, i, port, peers))
        for site in self.sites.values():
            for p in site.proxies:
                await self._ready(p)
                site.clients.append(Client(p.port))
        if self.plan.link:
            await self._linked()

    def operator_file(self, name: str, port: int, peers: dict[str, list[int]]) -> str:
        lines = ["[site]", f'name = "{name}"', "[gateway]", f'listen = "127.0.0.1:{port}"',
                 'spill = ["level-read"]', "[gateway.tls]", "plain = true"]  # fmt: skip
        for site in self.plan.names:
            lines += [f"[gateway.sites.{site}]", f'prefixes = ["{site[0]}-"]']
            if site != name:
                lines.append(f"peers = {json.dumps([f'127.0.0.1:{p}' for p in peers[site]])}")
        return "\n".join([*lines, "[gateway.credits.reserved]", "field-report = 0.2", self.plan.gateway, ""])

    async def _start(self, site: Site, i: int, gateway_port: int, peers: dict[str, list[int]]) -> Process:
        name, port = f"{site.name}-{i}", free_port()
        config = self.folder / f"{name}.json"
        config.write_text(json.dumps({
            "name": name, "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{site.discovery.port}",
            "seed": f"{self.plan.seed + i}", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": site.discovery.whole(),
            "settings": {
                "balancers": self.plan.proxies, "grades": CLASSES,
                "permissions": {"maxAttempts": 4, "secondCopies": True, "mayCancel": True, "probes": True,
                                "retryAfter": True, "maxRetryAfterUs": 2_000_000, "connectTimeoutUs": 250_000,
                                "connIdleUs": 60_000_000},
                "rules": {"coldFrom": 1.0, "coldUs": 0},
            },
        }))  # fmt: skip
        env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")} | {"LB_CONFIG": str(config)}
        more: list[str] = []
        if self.plan.link:
            operator = self.folder / f"{name}.toml"
            operator.write_text(self.operator_file(site.name, gateway_port, peers))
            more = ["--operator", str(operator)]
        log = self.folder / f"{name}.log"
        cpus = self.cpus.get(site.name)
        with log.open("wb") as out:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "magpiefront", *more, cwd=ROOT, env=env, stdout=out, stderr=out,
                preexec_fn=(lambda: os.sched_setaffinity(0, cpus)) if cpus else None,
            )  # fmt: skip
        return Process(name, port, gateway_port, process, log)

    async def _ready(self, p: Process) -> None:
        await until_ready(p.name, p.port, p.process, p.log)

    async def _linked(self) -> None:
        """Each link must be up once before the traffic, or the first seconds tell of the start."""
        for site in self.sites.values():
            for p in site.proxies:
                for _ in range(1000):
                    told = p.log.read_text()
                    if all(
                        f"link {other}: down -> up" in told for other in self.plan.names if other != site.name
                    ):
                        break
                    await asyncio.sleep(0.01)
                else:
                    raise Failed(f"the links of {p.name} do not come up: {told.strip()}")

    async def stop(self) -> None:
        for site in self.sites.values():
            for c in site.clients:
                c.close()
            for p in site.proxies:
                if p.process.returncode is None:
                    p.process.send_signal(signal.SIGTERM)
        for site in self.sites.values():
            for p in site.proxies:
                try:
                    await asyncio.wait_for(p.process.wait(), 6)
                except TimeoutError:
                    p.process.kill()
                    await p.process.wait()
        for relay in self.relays:
            relay.stop()
        for site in self.sites.values():
            site.discovery.stop()
            for node in site.nodes:
                node.stop()

    # ---- traffic

    def draw(self) -> Ask:
        """The next request, with its key, class and place drawn from the seed."""
        random, names = self.random, self.plan.names
        self.number += 1
        home = random.choice(names)
        others = [n for n in names if n != home]
        at = random.choice(others) if others and random.random() < self.plan.crossing else home
        kind = random.choices(("level-read", "field-report", "gauge-reset"), (75, 20, 5))[0]
        key = f"{home[0]}-{int(self.plan.keys * random.random() ** 3):04d}"  # a few gauges draw most
        name = f"r{self.number:x}"
        once = f"k{self.number:x}" if kind == "field-report" else ""
        method = "GET" if kind == "level-read" else "PUT"
        effect = "" if method == "GET" else once or name
        return Ask(name, kind, at, key, method, DEADLINES[kind], effect=effect, once=once,
                   tenant=random.choice(("members", "growers", "herders")))  # fmt: skip

    async def ask(self, a: Ask, retries: int = 2) -> None:
        """Asks; a report that was not confirmed is sent again with its key, at any site."""
        random = Random(a.name)
        for left in range(retries, -1, -1):
            self.asks.append(a)
            await random.choice(self.sites[a.site].clients).ask(a)
            if a.status == 200 or not a.once or not left:
                return
            await asyncio.sleep(float(a.answers[0][3] or 0.1) if a.answers else 0.1)
            at = random.choice(self.plan.names)
            a = Ask(
                f"{a.name}.{left}",
                a.kind,
                at,
                a.key,
                a.method,
                a.deadline_s,
                a.effect,
                a.once,
                a.tenant,
                a.name,
            )

    async def play(self, told: Callable[[float, str], None] = lambda at, fault: None) -> None:
        """Traffic at the plan's rate, with the faults at their times; ends when all is answered."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        struck = [asyncio.create_task(schedule.play(r, self.faults)) for r in self.relays]
        open_: set[asyncio.Task[None]] = set()
        next_at, tick = begin, begin
        try:
            while (now := loop.time()) < begin + self.plan.seconds:
                while next_at <= now:
                    task = asyncio.create_task(self.ask(self.draw()))
                    open_.add(task)
                    task.add_done_callback(open_.discard)
                    next_at += self.random.expovariate(self.plan.rate)
                if now >= tick:
                    at = now - begin
                    fault = next((str(f) for f in self.faults if f.at <= at < f.at + f.lasts), "")
                    told(at, fault)
                    tick += 0.5
                await asyncio.sleep(max(0.0, min(next_at, tick) - loop.time()))
            if open_:
                await asyncio.wait(open_)
            await asyncio.gather(*struck)
        finally:
            for t in (*struck, *open_):
                t.cancel()

    def effects(self) -> list[dict[str, int]]:
        return [s.archive.effects for s in self.sites.values()]

    def strays(self) -> list[bytes]:
        return [x for s in self.sites.values() for c in s.clients for x in c.strays]


def folder() -> tempfile.TemporaryDirectory[str]:
    return tempfile.TemporaryDirectory(prefix="lab-")


def summary(asks: list[Ask]) -> dict[str, dict[str, Any]]:
    """By class: how many were asked, served, refused and failed, how many of those served crossed, and the
    latency of those served (ms)."""
    rows: dict[str, dict[str, Any]] = {}
    for kind in sorted({a.kind for a in asks}):
        of = [a for a in asks if a.kind == kind]
        served = [a for a in of if a.status == 200]
        took = sorted(a.took * 1000 for a in served)
        rows[kind] = {
            "asked": len(of), "served": len(served), "refused": sum(a.status in (429, 503) for a in of),
            "failed": sum(a.status not in (200, 429, 503) for a in of),
            "crossed": sum(not a.answers[0][2].startswith(a.site.encode()) for a in served),
            "p50_ms": round(took[len(took) // 2], 1) if took else None,
            "p99_ms": round(took[int(len(took) * 0.99)], 1) if took else None,
        }  # fmt: skip
    return rows
