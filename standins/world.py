"""Sites of real proxy processes and the stand-ins that they need, on free ports, and traffic against them."""

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
from standins.client import Client, ClientRequest
from standins.discovery import Discovery
from standins.node import Node
from standins.relay import Relay

ROOT = Path(__file__).resolve().parents[1]
NAMES = ("west", "east", "north", "south")  # site names; the keys of a site begin with its first letter
CLASSES = (
    {"name": "level-read", "repeat": "read_like", "sloUs": 250_000, "giveUpUs": 1_000_000, "lateValue": 0.2},
    {"name": "field-report", "repeat": "idempotency_key", "group": "all", "keyTtlUs": 30_000_000,
     "sloUs": 500_000, "giveUpUs": 2_000_000, "lateValue": 0.2},
    {"name": "gauge-reset", "repeat": "non_idempotent", "sloUs": 500_000, "giveUpUs": 2_000_000,
     "lateValue": 0.2},
)  # fmt: skip
DEADLINES = {"level-read": 1.0, "field-report": 2.0, "gauge-reset": 2.0}  # seconds, by class


class PortAllocator:
    """Allocates free TCP ports on loopback, below the ephemeral range of the system: a port of that range
    could be taken by an outgoing connection of any process before its owner listens on it.

    No port is allocated again within `REUSE_DELAY_S`, even if it can be bound: its owner may not listen on
    it yet, or may be a killed process that will be restarted on it. A port that cannot be bound, which may
    last for a minute after a busy listener has ended, is skipped. Ports are reserved in blocks. The first
    port of a block stays bound until this process ends, so other processes skip the block."""

    FIRST, LAST, BLOCK, REUSE_DELAY_S = 16_000, 32_000, 100, 300.0

    def __init__(self) -> None:
        self.random = Random(os.urandom(8))  # not from the plan's seed: several runs may be active at once
        self.guard_sockets: list[socket.socket] = []
        self.ports: deque[int] = deque()
        self.allocated_at: dict[int, float] = {}  # by port: when it was last tried (s)

    def allocate(self) -> int:
        while True:
            now = time.monotonic()
            if not self.ports or now < self.allocated_at.get(self.ports[0], -math.inf) + self.REUSE_DELAY_S:
                self._reserve_block()
            port = self.ports.popleft()
            self.ports.append(port)
            self.allocated_at[port] = now
            with socket.socket() as probe_socket, suppress(OSError):
                probe_socket.bind(("127.0.0.1", port))
                return port

    def _reserve_block(self) -> None:
        blocks = range(self.FIRST, self.LAST, self.BLOCK)
        for first in self.random.sample(blocks, len(blocks)):
            guard_socket = socket.socket()
            try:
                guard_socket.bind(("127.0.0.1", first))
            except OSError:
                guard_socket.close()
                continue
            self.guard_sockets.append(guard_socket)
            self.ports.extendleft(range(first + 1, first + self.BLOCK))
            return
        raise RunFailed("no block of ports is free")


PORT_ALLOCATOR = PortAllocator()


def free_port() -> int:
    """Returns a port on which no process listens, for a process that this one starts. Raises RunFailed if no
    block of ports is free."""
    return PORT_ALLOCATOR.allocate()


@dataclass
class Plan:
    """The sites of a run, their traffic and their faults."""

    sites: int = 2
    proxies: int = 1
    nodes: int = 4
    seconds: float = 10.0
    rate: float = 120.0  # requests per second, all sites together
    faults: str = "mixed"  # a name of `schedule.PRESETS`
    seed: int = 1
    round_trip_s: float = 0.02  # round-trip time of the link
    crossing_share: float = 0.3  # share of requests sent to a site other than the home of their key
    keys: int = 400
    link: bool = True  # False: no operator file, so the sites are independent
    extra_toml: str = ""  # additional lines at the end of the operator file

    @property
    def names(self) -> tuple[str, ...]:
        return NAMES[: self.sites]


@dataclass
class SiteProxy:
    """A proxy process of a site. `gateway_port` accepts the links of other sites."""

    name: str
    port: int
    gateway_port: int
    process: asyncio.subprocess.Process
    log: Path

    def cpu_s(self) -> float:
        """Returns the CPU time that the process has used, in seconds."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e9


@dataclass
class Site:
    """A site: its stand-ins and, once started, its proxies, with one client for each proxy."""

    name: str
    archive: Archive
    nodes: list[Node]
    discovery: Discovery
    proxies: list[SiteProxy] = field(default_factory=list)
    clients: list[Client] = field(default_factory=list)


class RunFailed(Exception):
    """A run could not be started, or did not reach a state that it must reach; the message says why."""


async def until_ready(name: str, port: int, process: asyncio.subprocess.Process, log: Path) -> None:
    """Waits until a proxy is ready for requests. Raises RunFailed if its process ends, or if it is not ready
    after 1,500 checks, each followed by a pause of 20 ms."""
    for _ in range(1500):
        if process.returncode is not None:
            raise RunFailed(f"{name} ended with {process.returncode}: {log.read_text().strip()[-500:]}")
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
    raise RunFailed(f"{name} does not become ready")


class Deployment:
    """The running sites of a plan, the relays that stand in for their links, and the requests that were sent.
    `cpus` holds the CPUs that the proxies of a site may use, by the site's name."""

    def __init__(self, plan: Plan, folder: Path, cpus: dict[str, set[int]] | None = None) -> None:
        self.plan, self.folder = plan, folder
        self.cpus = cpus or {}
        self.random = Random(plan.seed)
        self.sites: dict[str, Site] = {}
        self.relays: list[Relay] = []
        self.faults = schedule.draw(plan.seed, plan.seconds, schedule.PRESETS[plan.faults])
        self.requests: list[ClientRequest] = []
        self.request_count = 0

    # ---- start and stop

    async def start(self) -> None:
        """Starts the stand-ins and the proxies, and waits until the proxies are ready and their links are up.
        Raises RunFailed if a proxy does not become ready or a link does not come up."""
        for index, name in enumerate(self.plan.names):
            archive = Archive(name)
            nodes = [
                Node(f"{name}-{n}", archive, self.plan.seed + 10 * index + n) for n in range(self.plan.nodes)
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
                        relay = Relay(("127.0.0.1", port), self.plan.seed, self.plan.round_trip_s / 2)
                        await relay.start()
                        self.relays.append(relay)
                        peers.setdefault(other, []).append(relay.port)
            for index, port in enumerate(ports[name]):
                site.proxies.append(await self._start(site, index, port, peers))
        for site in self.sites.values():
            for proxy in site.proxies:
                await self._wait_until_ready(proxy)
                site.clients.append(Client(proxy.port))
        if self.plan.link:
            await self._wait_for_links()

    def operator_file(self, name: str, port: int, peers: dict[str, list[int]]) -> str:
        lines = ["[site]", f'name = "{name}"', "[gateway]", f'listen = "127.0.0.1:{port}"',
                 'spill = ["level-read"]', "[gateway.tls]", "plain = true"]  # fmt: skip
        for site in self.plan.names:
            lines += [f"[gateway.sites.{site}]", f'prefixes = ["{site[0]}-"]']
            if site != name:
                lines.append(f"peers = {json.dumps([f'127.0.0.1:{peer}' for peer in peers[site]])}")
        return "\n".join(
            [*lines, "[gateway.credits.reserved]", "field-report = 0.2", self.plan.extra_toml, ""]
        )

    async def _start(
        self, site: Site, index: int, gateway_port: int, peers: dict[str, list[int]]
    ) -> SiteProxy:
        name, port = f"{site.name}-{index}", free_port()
        config_path = self.folder / f"{name}.json"
        config_path.write_text(json.dumps({
            "name": name, "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{site.discovery.port}",
            "seed": f"{self.plan.seed + index}", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": site.discovery.snapshot(),
            "settings": {
                "balancers": self.plan.proxies, "grades": CLASSES,
                "permissions": {"maxAttempts": 4, "secondCopies": True, "mayCancel": True, "probes": True,
                                "retryAfter": True, "maxRetryAfterUs": 2_000_000, "connectTimeoutUs": 250_000,
                                "connIdleUs": 60_000_000},
                "rules": {"coldFrom": 1.0, "coldUs": 0},
            },
        }))  # fmt: skip
        env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")} | {
            "LB_CONFIG": str(config_path)
        }
        arguments: list[str] = []
        if self.plan.link:
            operator_path = self.folder / f"{name}.toml"
            operator_path.write_text(self.operator_file(site.name, gateway_port, peers))
            arguments = ["--operator", str(operator_path)]
        log = self.folder / f"{name}.log"
        cpus = self.cpus.get(site.name)
        with log.open("wb") as log_file:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "magpiefront", *arguments, cwd=ROOT, env=env,
                stdout=log_file, stderr=log_file,
                preexec_fn=(lambda: os.sched_setaffinity(0, cpus)) if cpus else None,
            )  # fmt: skip
        return SiteProxy(name, port, gateway_port, process, log)

    async def _wait_until_ready(self, proxy: SiteProxy) -> None:
        await until_ready(proxy.name, proxy.port, proxy.process, proxy.log)

    async def _wait_for_links(self) -> None:
        """Waits until each link has been up once; otherwise the start of the links would distort the results
        of the first seconds. Raises RunFailed if a link does not come up."""
        for site in self.sites.values():
            for proxy in site.proxies:
                for _ in range(1000):
                    log = proxy.log.read_text()
                    if all(
                        f"link {other}: down -> up" in log for other in self.plan.names if other != site.name
                    ):
                        break
                    await asyncio.sleep(0.01)
                else:
                    raise RunFailed(f"the links of {proxy.name} do not come up: {log.strip()}")

    async def stop(self) -> None:
        """Stops all processes and stand-ins. A proxy that still runs 6 s after SIGTERM is killed."""
        for site in self.sites.values():
            for client in site.clients:
                client.close()
            for proxy in site.proxies:
                if proxy.process.returncode is None:
                    proxy.process.send_signal(signal.SIGTERM)
        for site in self.sites.values():
            for proxy in site.proxies:
                try:
                    await asyncio.wait_for(proxy.process.wait(), 6)
                except TimeoutError:
                    proxy.process.kill()
                    await proxy.process.wait()
        for relay in self.relays:
            relay.stop()
        for site in self.sites.values():
            site.discovery.stop()
            for node in site.nodes:
                node.stop()

    # ---- traffic

    def next_request(self) -> ClientRequest:
        """Returns the next request. Its key, its class and the site it is sent to are drawn from the seed."""
        random, names = self.random, self.plan.names
        self.request_count += 1
        home = random.choice(names)
        others = [n for n in names if n != home]
        site = random.choice(others) if others and random.random() < self.plan.crossing_share else home
        kind = random.choices(("level-read", "field-report", "gauge-reset"), (75, 20, 5))[0]
        # The cube makes a few keys get most of the requests.
        key = f"{home[0]}-{int(self.plan.keys * random.random() ** 3):04d}"
        name = f"r{self.request_count:x}"
        idempotency_key = f"k{self.request_count:x}" if kind == "field-report" else ""
        method = "GET" if kind == "level-read" else "PUT"
        effect = "" if method == "GET" else idempotency_key or name
        return ClientRequest(
            name, kind, site, key, method, DEADLINES[kind], effect=effect, idempotency_key=idempotency_key,
            tenant=random.choice(("members", "growers", "herders")),
        )  # fmt: skip

    async def send(self, request: ClientRequest, retries: int = 2) -> None:
        """Sends a request. A report that was not confirmed is retried under its Idempotency-Key, at any site,
        up to `retries` times."""
        random = Random(request.name)
        for retries_left in range(retries, -1, -1):
            self.requests.append(request)
            await random.choice(self.sites[request.site].clients).send(request)
            if request.status == 200 or not request.idempotency_key or not retries_left:
                return
            await asyncio.sleep(float(request.answers[0][3] or 0.1) if request.answers else 0.1)
            site = random.choice(self.plan.names)
            request = ClientRequest(
                f"{request.name}.{retries_left}",
                request.kind,
                site,
                request.key,
                request.method,
                request.deadline_s,
                request.effect,
                request.idempotency_key,
                request.tenant,
                request.name,
            )

    async def run_traffic(
        self, on_progress: Callable[[float, str], None] = lambda elapsed_s, fault: None
    ) -> None:
        """Sends requests at the plan's rate and injects the faults at their times. Returns once no request is
        open. Every 0.5 s, `on_progress` gets the time since the start in seconds and the current fault."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        fault_tasks = [
            asyncio.create_task(schedule.inject_faults(relay, self.faults)) for relay in self.relays
        ]
        open_tasks: set[asyncio.Task[None]] = set()
        next_at, tick = begin, begin
        try:
            while (now := loop.time()) < begin + self.plan.seconds:
                while next_at <= now:
                    task = asyncio.create_task(self.send(self.next_request()))
                    open_tasks.add(task)
                    task.add_done_callback(open_tasks.discard)
                    next_at += self.random.expovariate(self.plan.rate)
                if now >= tick:
                    elapsed_s = now - begin
                    fault = next(
                        (str(f) for f in self.faults if f.at_s <= elapsed_s < f.at_s + f.duration_s), ""
                    )
                    on_progress(elapsed_s, fault)
                    tick += 0.5
                await asyncio.sleep(max(0.0, min(next_at, tick) - loop.time()))
            if open_tasks:
                await asyncio.wait(open_tasks)
            await asyncio.gather(*fault_tasks)
        finally:
            for pending in (*fault_tasks, *open_tasks):
                pending.cancel()

    def effects(self) -> list[dict[str, int]]:
        """Returns the effects that the archive of each site counted."""
        return [s.archive.effects for s in self.sites.values()]

    def unsolicited(self) -> list[bytes]:
        """Returns the bytes that clients received without an open request."""
        return [data for s in self.sites.values() for client in s.clients for data in client.unsolicited]


def temporary_folder() -> tempfile.TemporaryDirectory[str]:
    return tempfile.TemporaryDirectory(prefix="lab-")


def summarize(requests: list[ClientRequest]) -> dict[str, dict[str, Any]]:
    """Returns for each class how many requests were sent, served, refused and failed, how many of the served
    ones crossed to another site, and the latency of the served ones in ms."""
    rows: dict[str, dict[str, Any]] = {}
    for kind in sorted({request.kind for request in requests}):
        of_class = [request for request in requests if request.kind == kind]
        served = [request for request in of_class if request.status == 200]
        latencies_ms = sorted(request.latency_s * 1000 for request in served)
        rows[kind] = {
            "asked": len(of_class), "served": len(served),
            "refused": sum(request.status in (429, 503) for request in of_class),
            "failed": sum(request.status not in (200, 429, 503) for request in of_class),
            "crossed": sum(not request.answers[0][2].startswith(request.site.encode()) for request in served),
            "p50_ms": round(latencies_ms[len(latencies_ms) // 2], 1) if latencies_ms else None,
            "p99_ms": round(latencies_ms[int(len(latencies_ms) * 0.99)], 1) if latencies_ms else None,
        }  # fmt: skip
    return rows
