"""Runs one real proxy in front of thousands of stand-in nodes whose list changes, on a share of a core.

    python -m standins.fleet --nodes 3200 --share 0.01 --core 0.33 --seed 1

The verdict compares what the clients, the nodes and discovery recorded; the proxy is never queried. The last
line of the output is JSON.
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
from standins.client import Client, ClientRequest
from standins.fleetnodes import address_of
from standins.world import ROOT, free_port

ANSWER_GRACE_S = 0.5  # an answer that comes later than this after its deadline counts as lost
DRAIN_GRACE_S = 0.5  # stopSendingWithinUs of the settings: how long requests may still go to a draining node
TIMER_SLACK_S = 0.05  # tolerance that the protocol allows for each time limit on sockets
MAX_STALL_S = 0.15  # upper bound of each pause of the proxy by SIGSTOP
KILL_DELAY_S = 0.7  # SIGKILL follows SIGTERM after the longest deadline (at most 3 s) and this delay
ADDRESS_REUSE_S = 4.0  # after this time a new node may get the address of one that is gone
READY_TIMEOUT_S = 40.0
MAX_OPEN_FILES = 20_000
IDLE_CLIENTS = 700  # number of idle clients in the fault `crowd`
LOG_TAIL_LINES = 30


@dataclass(frozen=True, slots=True)
class Load:
    """The parameters of a round. Times are seconds. `share` is the share of the list that joins, drains and
    is removed every `every_s`; `core` is the share of a core that the proxy gets."""

    nodes: int = 200
    seconds: float = 10.0  # of traffic, before SIGTERM
    rate: float = 40.0  # requests per second
    share: float = 0.01
    every_s: float = 0.6
    core: float = 1.0
    deadline_s: float = 1.0  # of each request
    seed: int = 1
    resets: bool = False  # each change is sent as a complete list
    terminate: bool = False  # SIGTERM at the end, then SIGKILL at the earliest time the protocol allows
    # Faults, in order: HUP (SIGHUP), silent (no node answers for 0.8 s), down (discovery does not answer for
    # 2 s), crowd (idle clients take the proxy's descriptors).
    faults: tuple[str, ...] = ()
    keys: int = 100_000  # distinct keys of requests
    known: bool = True  # the proxy's configuration contains the list of nodes


@dataclass(slots=True)
class Verdict:
    """The result of a round. Each line in `lost`, `drained_late` and `twice` is a violation."""

    taken: int = 0  # requests that got a connection
    answers: Counter[int] = field(default_factory=Counter)  # by status
    slow: int = 0  # answered with 200 after more than 0.25 s
    slowest_s: float = 0.0  # time of the slowest answer that was not lost
    lost: list[str] = field(default_factory=list)  # no answer in time
    drained_late: list[str] = field(default_factory=list)  # sent to a node after its drain grace period
    twice: list[str] = field(default_factory=list)  # keyed requests that were sent again after their window
    cpu_s: float = 0.0  # CPU time of the proxy
    peak_mb: float = 0.0  # peak resident memory of the proxy
    descriptors: int = 0  # open descriptors of the proxy at the end of the traffic
    connections: int = 0  # accepted by the nodes
    list_bytes: int = 0  # sent by discovery
    ready_s: float = 0.0  # from the proxy's start until it is ready
    shut_unread: int = 0  # requests closed unread and unanswered while idle clients held all descriptors
    events: list[str] = field(default_factory=list)  # the end of the proxy's log, if there is a violation

    @property
    def violations(self) -> list[str]:
        return [*self.lost, *self.drained_late, *self.twice]

    @property
    def share_served(self) -> float:
        return self.answers[200] / max(1, self.taken)

    def summary(self) -> dict[str, Any]:
        result = {f.name: getattr(self, f.name) for f in fields(self)}
        result["answers"] = dict(self.answers)
        del result["events"]
        for name in ("lost", "drained_late", "twice"):
            result[name] = len(result[name])
        result["share_served"] = round(self.share_served, 3)
        result["examples"] = self.violations[:6]
        return result


class FleetDiscovery(http.Server):
    """A stand-in for discovery: answers a long poll with the entries that changed since its generation."""

    def __init__(self, load: Load, node_port: int) -> None:
        super().__init__()
        self.load, self.node_port = load, node_port
        self.random = Random(load.seed)
        self.generation, self.joined = 1, 0  # `joined` counts the nodes that have ever joined
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}  # generation of the last change of a node's entry
        self.address_numbers: dict[str, int] = {}  # by node; see fleetnodes.address_of
        # Unused address numbers, with the time from which each may be used.
        self.free_addresses: list[tuple[float, int]] = [
            (0.0, n) for n in range(load.nodes + spare_addresses(load))
        ]
        self.drained_at: dict[str, float] = {}  # when a node was first listed as draining
        self.address_history: list[tuple[int, str, float]] = []  # address number, node, when it joined
        self.in_outage = False
        # Nodes listed as draining during an outage, or just before it while no poll was open.
        self.undelivered_drains: list[str] = []
        self.open_polls = 0  # long polls that wait for a change
        # The generation at the start of the last outage, and that of the last answer.
        self.outage_generation = self.written_generation = 1
        self.bytes_sent = 0
        self.list_changed = asyncio.Event()
        for _ in range(load.nodes):
            self.add_node(0.0)
        self.changed_at = dict.fromkeys(self.entries, 1)

    def add_node(self, now: float) -> None:
        """Lists a new node at the next address that may be used, if any. `now` is 0 for the initial list."""
        if not self.free_addresses or self.free_addresses[0][0] > now:
            return
        _, number = self.free_addresses.pop(0)
        name = f"s-{self.random.getrandbits(32):08x}"
        self.joined += 1
        self.address_numbers[name] = number
        self.address_history.append((number, name, now))
        self.set_entry(name, "Ready", int(time.time() * 1000) if now else 0)

    def set_entry(self, name: str, lifecycle: str, started_ms: int) -> None:
        """Writes the entry of a node in the current generation."""
        host_port = f"{address_of(self.address_numbers[name])}:{self.node_port}"
        self.entries[name] = {
            "instanceId": name, "hostPort": host_port, "zone": "abc"[self.address_numbers[name] % 3],
            "machineType": "m2", "cell": self.address_numbers[name] % 8, "lifecycle": lifecycle,
            "weight": 1.0, "startedAtMs": started_ms,
        }  # fmt: skip
        self.changed_at[name] = self.generation

    def change_list(self) -> None:
        """Starts a new generation: some draining nodes are removed, some nodes start to drain, some join."""
        now, count = time.monotonic(), max(1, int(self.load.nodes * self.load.share))
        self.generation += 1
        draining = [n for n, e in self.entries.items() if e["lifecycle"] == "Terminating"]
        for name in draining[:count]:
            self.set_entry(name, "Gone", 0)
            self.free_addresses.append((now + ADDRESS_REUSE_S, self.address_numbers[name]))
        ready = [n for n, e in self.entries.items() if e["lifecycle"] == "Ready"]
        for name in self.random.sample(ready, min(count, len(ready) - 1)):
            self.set_entry(name, "Terminating", self.entries[name]["startedAtMs"])
            if self.in_outage:
                self.undelivered_drains.append(name)
            else:
                self.drained_at[name] = now
        for _ in range(count):
            self.add_node(now)
        self.list_changed.set()
        self.list_changed = asyncio.Event()

    def begin_outage(self) -> None:
        """Stops answering. A drain that was listed after the last answer was written, while no poll was open
        that could return it, has reached no proxy: it counts as listed when the outage ends."""
        self.in_outage, self.outage_generation = True, self.generation
        if not self.open_polls:
            undelivered = [n for n in self.drained_at if self.changed_at.get(n, 0) > self.written_generation]
            for name in undelivered:
                if self.entries[name]["lifecycle"] == "Terminating":
                    del self.drained_at[name]
                    self.undelivered_drains.append(name)

    def end_outage(self) -> None:
        """Answers again. Drains that have reached no proxy count as listed now."""
        self.in_outage = False
        self.drained_at.update(dict.fromkeys(self.undelivered_drains, time.monotonic()))
        self.undelivered_drains.clear()

    def list_after(self, after: int) -> dict[str, Any]:
        """Returns the list as the protocol sends it to a caller that knows generation `after` (-1: none)."""
        if after < 0 or (self.load.resets and after < self.generation):
            entries = [e for e in self.entries.values() if e["lifecycle"] != "Gone"]
            return {"generation": self.generation, "reset": True, "instances": entries}
        changes = [e for n, e in self.entries.items() if self.changed_at[n] > after]
        return {"generation": self.generation, "reset": False, "instances": changes}

    async def reply(self, message: http.Message) -> bytes:
        query = parse_qs(urlsplit(message.start.split(" ")[1]).query)
        after, wait_s = int(query.get("after", ["-1"])[0]), int(query.get("wait_ms", ["0"])[0]) / 1000
        while self.in_outage:
            await asyncio.sleep(0.02)
        if after >= self.generation:
            self.open_polls += 1
            try:
                with suppress(TimeoutError):
                    await asyncio.wait_for(self.list_changed.wait(), wait_s)
            finally:
                self.open_polls -= 1
        while self.in_outage and after >= self.outage_generation:
            await asyncio.sleep(0.02)
        body = json.dumps(self.list_after(after)).encode()
        self.written_generation = self.generation
        self.bytes_sent += len(body)
        return http.response(200, body)


def spare_addresses(load: Load) -> int:
    """Returns how many addresses are needed for nodes that join before old addresses may be reused."""
    count = max(1, int(load.nodes * load.share))
    return count * (2 + int(min(load.seconds, ADDRESS_REUSE_S + 2 * load.every_s) / load.every_s))


def raise_open_file_limit() -> None:
    """Sets this process's limit of open files to MAX_OPEN_FILES, or to the hard limit if that is lower."""
    hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(MAX_OPEN_FILES, hard_limit),) * 2)


def proxy_settings(load: Load) -> dict[str, Any]:
    deadline_us = int(load.deadline_s * 1e6)
    read_class = {
        "name": "read",
        "repeat": "read_like",
        "sloUs": deadline_us // 4,
        "giveUpUs": deadline_us,
        "lateValue": 0.2,
    }
    report_class = {
        "name": "report",
        "repeat": "idempotency_key",
        "group": "all",
        "keyTtlUs": deadline_us,
        "sloUs": deadline_us // 4,
        "giveUpUs": deadline_us,
    }
    return {
        "balancers": 20, "grades": [read_class, report_class], "discovery": "automatic",
        "permissions": {"maxAttempts": 4, "secondCopies": True, "mayCancel": True, "probes": True,
                        "connectTimeoutUs": 250_000, "connIdleUs": 60_000_000},
        "rules": {"coldFrom": 0.3, "coldUs": 8_000_000, "stopSendingWithinUs": int(DRAIN_GRACE_S * 1e6)},
    }  # fmt: skip


class CpuThrottle:
    """Limits a process to a share of a core by SIGSTOP and SIGCONT, in stops of at most MAX_STALL_S."""

    def __init__(self, process: asyncio.subprocess.Process, core_share: float) -> None:
        self.process, self.core_share = process, core_share

    async def run(self) -> None:
        if self.core_share >= 1:
            return
        stopped_s = min(MAX_STALL_S, 0.1)
        running_s = stopped_s * self.core_share / (1 - self.core_share)
        while self.process.returncode is None:
            self.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(stopped_s)
            if self.process.returncode is None:
                self.process.send_signal(signal.SIGCONT)
            await asyncio.sleep(running_s)


class Round:
    """Starts all processes of one round, runs its traffic and faults, and checks the result."""

    def __init__(self, load: Load, folder: Path, tree: Path = ROOT) -> None:
        self.load, self.folder, self.tree = load, folder, tree
        self.random = Random(load.seed + 1)
        self.port, self.node_port = free_port(), free_port()
        self.discovery = FleetDiscovery(load, self.node_port)
        self.client = Client(self.port, grace_s=ANSWER_GRACE_S)
        self.requests: list[ClientRequest] = []  # all that were sent
        self.verdict = Verdict()
        self.terminated_at = self.ended_at = float("inf")

    @property
    def node_log_path(self) -> Path:
        """The file to which the nodes write the requests they received."""
        return self.folder / "book.json"

    async def _start_nodes(self) -> asyncio.subprocess.Process:
        count = self.load.nodes + spare_addresses(self.load)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "standins.fleetnodes", str(count), str(self.node_port),
            str(self.node_log_path), cwd=ROOT, stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        assert process.stdout is not None
        if (await process.stdout.readline()).strip() != b"ready":
            raise RuntimeError("the stand-in nodes did not start")
        return process

    async def _start_proxy(self) -> asyncio.subprocess.Process:
        config = {
            "name": "p0", "listen": f"127.0.0.1:{self.port}", "seed": 7,
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "limits": {"memory_mb": 192, "sockets": 1024}, "settings": proxy_settings(self.load),
        }  # fmt: skip
        if self.load.known:
            config["known"] = self.discovery.list_after(-1)
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        with open(self.folder / "proxy.log", "ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable, "-m", "magpiefront", cwd=self.tree, stderr=log,
                env={**os.environ, "LB_CONFIG": str(path), "PYTHONPATH": str(self.tree)},
            )  # fmt: skip

    async def _wait_until_ready(self, process: asyncio.subprocess.Process) -> None:
        began = time.monotonic()
        while time.monotonic() < began + READY_TIMEOUT_S and process.returncode is None:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                message = await asyncio.wait_for(http.read(reader), READY_TIMEOUT_S)
                writer.close()
                if " 200 " in message.start:
                    self.verdict.ready_s = time.monotonic() - began
                    return
            except OSError:
                pass
            await asyncio.sleep(0.02)
        raise RuntimeError(
            f"the proxy did not become ready; its log: {(self.folder / 'proxy.log').read_text()[-2000:]}"
        )

    async def _send_request(self, number: int) -> None:
        key = f"k{int(self.random.paretovariate(0.4)) % self.load.keys:06d}"
        request = ClientRequest(f"r{number:07d}", "read", "", key, "GET", self.load.deadline_s)
        if self.random.random() < 0.1:
            request.kind, request.method, request.idempotency_key = "report", "PUT", request.name
        self.requests.append(request)
        await self.client.send(request)

    async def _change_list_periodically(self) -> None:
        while True:
            await asyncio.sleep(self.load.every_s)
            self.discovery.change_list()

    async def _inject_faults(
        self, proxy: asyncio.subprocess.Process, nodes: asyncio.subprocess.Process
    ) -> None:
        for fault in self.load.faults:
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
            if fault == "HUP":
                proxy.send_signal(signal.SIGHUP)
            elif fault == "silent":
                nodes.send_signal(signal.SIGUSR1)
                await asyncio.sleep(0.8)
                nodes.send_signal(signal.SIGUSR2)
            elif fault == "down":
                self.discovery.begin_outage()
                await asyncio.sleep(2.0)
                self.discovery.end_outage()
            elif fault == "crowd":
                await self._open_idle_connections()

    async def _open_idle_connections(self) -> None:
        """Opens more connections than the proxy has descriptors for, and sends nothing on them."""
        for _ in range(IDLE_CLIENTS):
            with suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
                self.client.writers[writer] = None

    async def _send_requests(self, until: float, number: int) -> int:
        """Sends requests until the time `until`, numbered from `number` on. Returns the next number."""
        tasks: list[asyncio.Task[None]] = []
        while time.monotonic() < until:
            await asyncio.sleep(self.random.expovariate(self.load.rate))
            tasks.append(asyncio.create_task(self._send_request(number)))
            number += 1
        self.tasks = tasks
        return number

    async def _terminate(self, proxy: asyncio.subprocess.Process, number: int) -> None:
        """Sends SIGTERM, and SIGKILL at the earliest time allowed. Until then clients send further requests
        on the connections that are open."""
        proxy.terminate()
        self.terminated_at = time.monotonic()
        kill_at = self.terminated_at + min(3.0, self.load.deadline_s) + KILL_DELAY_S
        while time.monotonic() < kill_at and proxy.returncode is None:
            await asyncio.sleep(0.01)
            if self.client.idle and self.random.random() < self.load.rate * 0.01:
                self.tasks.append(asyncio.create_task(self._send_request(number)))
                number += 1
        if proxy.returncode is None:
            proxy.kill()
        self.ended_at = time.monotonic()

    async def request_at_start(self) -> ClientRequest:
        """Starts a proxy and ends it again. Returns the first request that gets a connection, or the last one
        tried, with its outcome."""
        raise_open_file_limit()
        await self.discovery.start()
        nodes = await self._start_nodes()
        proxy = await self._start_proxy()
        deadline = time.monotonic() + READY_TIMEOUT_S
        try:
            while time.monotonic() < deadline and proxy.returncode is None:
                request = ClientRequest("first", "read", "", "k1", "GET", self.load.deadline_s)
                await self.client.send(request)
                if not request.failure.startswith("no connection"):
                    break
                await asyncio.sleep(0.005)
            return request
        finally:
            for process in (proxy, nodes):
                process.terminate()
                await process.wait()
            self.client.close()
            self.discovery.stop()

    async def run(self) -> Verdict:
        """Runs the round. Raises RuntimeError if the nodes or the proxy do not start."""
        raise_open_file_limit()
        await self.discovery.start()
        nodes = await self._start_nodes()
        proxy = await self._start_proxy()
        throttle = asyncio.create_task(CpuThrottle(proxy, self.load.core).run())
        background = [throttle]
        try:
            await self._wait_until_ready(proxy)
            background += [
                asyncio.create_task(self._change_list_periodically()),
                asyncio.create_task(self._inject_faults(proxy, nodes)),
            ]
            number = await self._send_requests(time.monotonic() + self.load.seconds, 0)
            self._measure(proxy.pid)
            if self.load.terminate:
                await self._terminate(proxy, number)
            await asyncio.gather(*self.tasks)
        finally:
            for task in background:
                task.cancel()
            if proxy.returncode is None:
                proxy.kill()
            await proxy.wait()
            nodes.terminate()
            await nodes.wait()
            self.client.close()
            self.discovery.stop()
        self._judge()
        return self.verdict

    def _measure(self, pid: int) -> None:
        """Reads the proxy's CPU time, peak memory and open descriptors from /proc."""
        stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        self.verdict.cpu_s = (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")
        status = Path(f"/proc/{pid}/status").read_text()
        self.verdict.peak_mb = int(status.partition("VmHWM:")[2].split()[0]) / 1024
        self.verdict.descriptors = len(os.listdir(f"/proc/{pid}/fd"))

    def _judge(self) -> None:
        """Compares what the clients, the nodes and discovery recorded, and fills the verdict."""
        verdict, node_log = self.verdict, json.loads(self.node_log_path.read_text())
        verdict.connections, verdict.list_bytes = node_log["connections"], self.discovery.bytes_sent
        forwarded = {request_id for _, _, request_id in node_log["requests"]}
        for request in self.requests:
            if request.failure.startswith("no connection"):
                continue
            verdict.taken += 1
            if not request.answers or request.latency_s > request.deadline_s + ANSWER_GRACE_S:
                if (
                    request.failure.startswith("broke")
                    and "crowd" in self.load.faults
                    and request.name not in forwarded
                ):
                    verdict.shut_unread += 1  # allowed while idle clients hold all descriptors
                    continue
                reason = request.failure or f"answered after {request.latency_s:.3f} s"
                verdict.lost.append(f"lost: {request.name} sent at {request.sent_s:.3f} s, {reason}")
                continue
            verdict.answers[request.status] += 1
            verdict.slow += request.status == 200 and request.latency_s > 0.25
            verdict.slowest_s = max(verdict.slowest_s, request.latency_s)
        for address_number, began, request_id in node_log["requests"]:
            name = self._node_at(address_number, began)
            drained_at = self.discovery.drained_at.get(name, float("inf"))
            if began > drained_at + DRAIN_GRACE_S + TIMER_SLACK_S:
                verdict.drained_late.append(
                    f"drained: {request_id} began {began - drained_at:.3f} s after the drain of {name}"
                )
        self._judge_repeats(node_log["requests"])
        if verdict.violations:
            verdict.events = (
                (self.folder / "proxy.log").read_text(errors="replace").splitlines()[-LOG_TAIL_LINES:]
            )
            verdict.events.append(
                f"SIGTERM at {self.terminated_at:.3f} s, process ended at {self.ended_at:.3f} s"
            )

    def _judge_repeats(self, requests: list[tuple[int, float, str]]) -> None:
        """Records each keyed request that a node received again after its window. The window of the class is
        the deadline (keyTtlUs)."""
        first: dict[str, float] = {}
        keyed = {r.name for r in self.requests if r.method == "PUT"}
        for _, began, request_id in requests:
            if request_id in keyed and began > first.setdefault(request_id, began) + self.load.deadline_s:
                self.verdict.twice.append(
                    f"twice: {request_id} began {began - first[request_id]:.3f} s after its first attempt"
                )

    def _node_at(self, address_number: int, at: float) -> str:
        """Returns the name of the node that had the address at that time, or "" if none had it yet."""
        names = [
            name
            for number, name, since in self.discovery.address_history
            if number == address_number and since <= at
        ]
        return names[-1] if names else ""


async def run_round(load: Load, tree: Path = ROOT) -> Verdict:
    """Runs a round with the proxy of a checkout. Raises RuntimeError if a process does not start."""
    with tempfile.TemporaryDirectory(prefix="fleet-") as folder:
        return await Round(load, Path(folder), tree).run()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    for name, default in asdict(Load()).items():
        if isinstance(default, bool):
            parser.add_argument(f"--{name}", action=argparse.BooleanOptionalAction, default=default)
        elif not isinstance(default, tuple):
            parser.add_argument(f"--{name.replace('_', '-')}", type=type(default), default=default)
    parser.add_argument("--tree", type=Path, default=ROOT, help="the checkout whose proxy is tested")
    args = vars(parser.parse_args())
    tree = args.pop("tree").resolve()
    verdict = asyncio.run(run_round(Load(**args), tree))
    for line in verdict.violations[:20]:
        print(line)
    print(json.dumps(verdict.summary()))
    sys.exit(bool(verdict.violations))


if __name__ == "__main__":
    main()
