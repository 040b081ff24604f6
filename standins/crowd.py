"""Plays difficult clients and nodes against one proxy process, with good requests beside them.

    python -m standins.crowd [KIND ...] [--tree DIR] [--clients 500] [--memory-mb 192] [--seconds 6]

Each kind (see `KINDS`) runs against a fresh process of the checkout `--tree`. The output is one JSON line for
each kind: what became of the good requests, the process's peak memory, and what the kind itself counts.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import resource
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

import uvloop

from standins import http
from standins.world import ROOT, free_port, until_ready

GOOD_RATE = 30  # good requests per second
GOOD_DEADLINE_S = 1.5
SLACK_S = 0.5  # after its deadline, an answer is late; after this and two more seconds it is missing
NODES = 6
MAX_CLIENT_S = 40.0  # of one client of a crowd; then it leaves
LETTERS = b"abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~ABCDEFGHIJKLMNOPQRSTUVWXYZ"
SHORT_NAMES = [bytes((first, second)) for first in LETTERS for second in LETTERS][:5800]  # of fields
CLASSES = [
    {"name": "read", "repeat": "read_like", "sloUs": 500_000, "giveUpUs": 1_500_000, "lateValue": 0.2},
    {"name": "once", "repeat": "non_idempotent", "sloUs": 500_000, "giveUpUs": 1_500_000, "lateValue": 0.2},
]


@dataclass
class NodeLog:
    """What the nodes saw: how often each request id began, and when it last began."""

    begun: Counter[str] = field(default_factory=Counter)
    begun_at: dict[str, float] = field(default_factory=dict)
    malformed: int = 0  # messages without a request line


async def serve_node(log: NodeLog, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serves a connection as a cache node. The query of a request tells how: `work` and `quiet` (seconds
    before the head and before the body), `size` (bytes), `parts` and `gap` (seconds between parts),
    `take` (bytes of the request that are read each 0.1 s)."""
    with suppress(OSError, asyncio.IncompleteReadError):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *lines = head[:-4].split("\r\n")
            if len(first.split(" ")) != 3:
                log.malformed += 1
                break
            headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
            query = {k: float(v[0]) for k, v in parse_qs(urlsplit(first.split(" ")[1]).query).items()}
            left = int(headers.get("content-length", 0))
            while left:
                take = int(query.get("take", left))
                left -= len(await reader.readexactly(min(take, left)))
                await asyncio.sleep(0.1 if "take" in query else 0)
            name = headers.get("req-id", "")
            log.begun[name] += 1
            log.begun_at[name] = time.monotonic()
            await asyncio.sleep(query.get("work", 0.001))
            body = name.encode().ljust(int(query.get("size", 64)), b".")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
            if "quiet" in query:
                await asyncio.sleep(query["quiet"])
            parts = int(query.get("parts", 1))
            step = -(-len(body) // parts)
            for start in range(0, len(body), step):
                if start:
                    await asyncio.sleep(query.get("gap", 0))
                writer.write(body[start : start + step])
            await writer.drain()
    writer.close()


class Rig:
    """One proxy process, its nodes and its clients."""

    def __init__(self, tree: Path, folder: Path, memory_mb: int, sockets: int, nodes: int = NODES) -> None:
        self.tree, self.folder, self.memory_mb, self.sockets = tree, folder, memory_mb, sockets
        self.nodes, self.port, self.log = nodes, free_port(), NodeLog()
        self.servers: list[asyncio.Server] = []
        self.process: asyncio.subprocess.Process | None = None
        self.count = 0
        self.good: Counter[str] = Counter()
        self.good_times: list[float] = []

    async def start(self) -> None:
        for _ in range(self.nodes):
            self.servers.append(
                await asyncio.start_server(
                    lambda r, w: serve_node(self.log, r, w), "127.0.0.1", 0, limit=4096, backlog=1024
                )
            )
        ports = [server.sockets[0].getsockname()[1] for server in self.servers]
        entries = [
            {"instanceId": f"s-{n}", "hostPort": f"127.0.0.1:{port}", "zone": "a", "machineType": "m",
             "cell": 0, "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0}
            for n, port in enumerate(ports)
        ]  # fmt: skip
        known = {"generation": 1, "reset": True, "instances": entries}
        discovery = await asyncio.start_server(self._list, "127.0.0.1", 0)
        self.servers.append(discovery)
        settings = {
            "balancers": 1, "grades": CLASSES, "discovery": "automatic", "myZone": "a",
            "permissions": {"maxAttempts": 5, "secondCopies": True, "mayCancel": True, "probes": False,
                            "connectTimeoutUs": 250_000, "connIdleUs": 60_000_000},
            "rules": {"coldFrom": 0.3, "coldUs": 1_000_000, "stopSendingWithinUs": 500_000},
        }  # fmt: skip
        config = {
            "name": "p", "listen": f"127.0.0.1:{self.port}", "seed": 1, "known": known, "settings": settings,
            "discovery": f"127.0.0.1:{discovery.sockets[0].getsockname()[1]}",
            "limits": {"memory_mb": self.memory_mb, "sockets": self.sockets},
        }  # fmt: skip
        self.known = known
        path = self.folder / "proxy.json"
        path.write_text(json.dumps(config))
        with open(self.folder / "proxy.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "magpiefront", cwd=self.tree, stderr=log,
                env={**os.environ, "LB_CONFIG": str(path), "PYTHONPATH": str(self.tree)},
            )  # fmt: skip
        await until_ready("the proxy", self.port, self.process, self.folder / "proxy.log")

    async def _list(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(0.2)
                writer.write(http.response(200, json.dumps(self.known).encode()))

    async def stop(self) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        for server in self.servers:
            server.close()

    def status(self, name: str) -> int:
        """A value of the process's status in MB, such as VmHWM (its peak memory)."""
        assert self.process is not None
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(name + ":"):
                return int(line.split()[1]) // 1024
        return 0

    def head(
        self, query: str = "", kind: str = "read", method: str = "GET", deadline: float = GOOD_DEADLINE_S,
        more: str = "", name: str = "",
    ) -> bytes:  # fmt: skip
        """The head of a request with an id of its own, or with the id `name`."""
        self.count += 1
        return (
            f"{method} /api/k{self.count % 500}?{query} HTTP/1.1\r\nHost: x\r\nReq-Kind: {kind}\r\n"
            f"Req-Id: {name or f'id{self.count}'}\r\nReq-Deadline: {deadline:.3f}\r\n{more}\r\n"
        ).encode()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def status_of(self, reader: asyncio.StreamReader) -> int:
        """Reads an answer; returns its status. Raises IncompleteReadError if the connection ends before."""
        return (await self.read_answer(reader))[0]

    async def read_answer(self, reader: asyncio.StreamReader) -> tuple[int, int]:
        """Reads an answer; returns its status and the size of its body. Raises IncompleteReadError."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        size = 0
        if "content-length:" in head:
            size = int(head.split("content-length:")[1].split("\r\n")[0])
            await reader.readexactly(size)
        else:
            while part := int(await reader.readuntil(b"\n"), 16):
                size += part
                await reader.readexactly(part + 2)
            await reader.readuntil(b"\n")
        return int(head.split(" ")[1]), size

    async def send_good(self) -> None:
        began = time.monotonic()
        outcome = "unanswered"
        writer = None
        with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(GOOD_DEADLINE_S + SLACK_S + 2):
                reader, writer = await self.connect()
                writer.write(self.head(more="Connection: close\r\n"))
                status = await self.status_of(reader)
                outcome = "ok" if status == 200 else f"status {status}"
                if time.monotonic() - began > GOOD_DEADLINE_S + SLACK_S:
                    outcome = "late"
        self.good[outcome] += 1
        self.good_times.append(time.monotonic() - began)
        if writer is not None:
            writer.close()

    async def good_requests(self, seconds: float) -> None:
        """Sends good requests at GOOD_RATE and waits for their answers."""
        tasks = []
        for _ in range(int(seconds * GOOD_RATE)):
            tasks.append(asyncio.create_task(self.send_good()))
            await asyncio.sleep(1 / GOOD_RATE)
        await asyncio.gather(*tasks)


Kind = Callable[[Rig, int, float], Awaitable[dict[str, Any]]]
KINDS: dict[str, Kind] = {}


def kind(play: Kind) -> Kind:
    """Registers a kind of trouble under its function's name."""
    KINDS[play.__name__] = play
    return play


async def crowd(one: Callable[[], Awaitable[None]], clients: int) -> None:
    """Runs one client's part `clients` times at once; errors of their connections end only that client."""

    async def guarded() -> None:
        # RuntimeError: uvloop raises it for a write to a connection that the proxy has closed.
        with suppress(OSError, asyncio.IncompleteReadError, RuntimeError, TimeoutError):
            async with asyncio.timeout(MAX_CLIENT_S):
                await one()

    await asyncio.gather(*(guarded() for _ in range(clients)))


@kind
async def calm(rig: Rig, clients: int, seconds: float) -> dict[str, Any]:
    """No trouble at all."""
    await asyncio.sleep(seconds)
    return {}


@kind
async def pipeline(rig: Rig, clients: int, seconds: float) -> dict[str, Any]:
    """1,000 sound requests, written at once on one connection."""
    reader, writer = await rig.connect()
    writer.write(b"".join(rig.head(deadline=60, kind="read", query="work=0") for _ in range(1000)))
    statuses: Counter[str] = Counter()
    with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
        async with asyncio.timeout(30):
            for _ in range(1000):
                statuses[str(await rig.status_of(reader))] += 1
    return {"answers": statuses, "missing": 1000 - sum(statuses.values())}


@kind
async def many_fields(rig: Rig, clients: int, seconds: float) -> dict[str, Any]:
    """Clients that write one head of 5,800 empty fields slowly."""

    async def one() -> None:
        reader, writer = await rig.connect()
        writer.write(rig.head()[:-2])
        for part in range(58):
            writer.write(b"".join(name + b":\r\n" for name in SHORT_NAMES[100 * part : 100 * part + 100]))
            await asyncio.sleep(1.6 / 58)
        await asyncio.sleep(2)
        writer.close()

    await crowd(one, clients)
    return {}


@kind
async def half_bodies(rig: Rig, clients: int, seconds: float) -> dict[str, Any]:
    """Clients that stop half way through a body of 60 KB and stay. Counts the connections that were neither
    answered nor closed within 3.5 s."""
    stayed = 0

    async def one() -> None:
        nonlocal stayed
        reader, writer = await rig.connect()
        writer.write(rig.head(method="PUT", more="Content-Length: 60000\r\n") + b"x" * 30_000)
        try:
            await asyncio.wait_for(reader.read(1), 3.5)
        except TimeoutError:
            stayed += 1
        writer.close()

    await crowd(one, clients)
    return {"stayed": stayed}


async def read_slowly(rig: Rig, clients: int, seconds: float, message: Callable[[], bytes]) -> dict[str, Any]:
    """Clients that write a message and read 2 KB of the answers every 0.5 s."""

    async def one() -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port, limit=2048)
        writer.write(message())
        for _ in range(int(2 * seconds)):
            await reader.read(2048)
            await asyncio.sleep(0.5)
        writer.transport.abort()

    await crowd(one, clients)
    return {}


@kind
async def slow_readers(rig: Rig, clients: int, seconds: float) -> dict[str, Any]:
    """Clients that send 12 requests for 60 KB each and read 2 KB every 0.5 s."""
    return await read_slowly(
        rig, clients, seconds, lambda: b"".join(rig.head(query="size=60000") for _ in range(12))
    )


@kind
async def slow_streams(rig: Rig, clients: int, seconds: float) -> dict[str, Any]:
    """Clients that ask for 300 KB each, which are passed on while they arrive, and read 2 KB every 0.5 s."""
    return await read_slowly(rig, clients, seconds, lambda: rig.head(query="size=300000"))


@kind
async def large_half_bodies(rig: Rig, clients: int, seconds: float) -> dict[str, Any]:
    """Clients that stop half way through a body of 520 KB and stay."""

    async def one() -> None:
        _, writer = await rig.connect()
        writer.write(rig.head(method="PUT", more="Content-Length: 520000\r\n") + b"x" * 260_000)
        await asyncio.sleep(seconds)
        writer.transport.abort()

    await crowd(one, clients)
    return {}


@kind
async def slow_bodies(rig: Rig, clients: int, seconds: float) -> dict[str, Any]:
    """Clients that write a body of 200 KB at 64 KB a second."""
    results: Counter[str] = Counter()

    async def one() -> None:
        reader, writer = await rig.connect()
        writer.write(rig.head(method="PUT", deadline=10, more="Content-Length: 200000\r\n"))
        for _ in range(25):
            writer.write(b"x" * 8000)
            await asyncio.sleep(0.125)
        results[str(await rig.status_of(reader))] += 1
        writer.close()

    await crowd(one, clients)
    return {"answers": results}


@kind
async def long_field_pipelines(rig: Rig, clients: int, seconds: float) -> dict[str, Any]:
    """Clients that write six requests of 22 KB of fields each."""
    more = "".join(f"x-{n}: {'y' * 360}\r\n" for n in range(60))

    async def one() -> None:
        reader, writer = await rig.connect()
        for _ in range(6):
            writer.write(rig.head(more=more))
        for _ in range(6):
            await rig.status_of(reader)
        writer.close()

    await crowd(one, clients)
    return {}


@kind
async def long_streams(rig: Rig, clients: int, seconds: float) -> dict[str, Any]:
    """Clients that ask for 2 MB each and read 2 KB every 0.5 s."""
    return await read_slowly(rig, clients, seconds, lambda: rig.head(query="size=2000000"))


MIXED = (
    many_fields,
    half_bodies,
    large_half_bodies,
    slow_bodies,
    long_field_pipelines,
    slow_readers,
    long_streams,
)


@kind
async def mixed(rig: Rig, clients: int, seconds: float) -> dict[str, Any]:
    """All of the kinds of `MIXED` at once, with the clients divided among them."""
    share = max(1, clients // len(MIXED))
    await asyncio.gather(*(play(rig, share, seconds) for play in MIXED))
    return {}


async def flood(rig: Rig, seconds: float, message: Callable[[int], bytes]) -> dict[str, Any]:
    """Sends messages on one connection as fast as they are taken, and reads the answers."""
    reader, writer = await rig.connect()
    ends_at = time.monotonic() + min(5.0, seconds)
    count = received = 0

    async def read() -> None:
        nonlocal received
        with suppress(OSError):
            while data := await reader.read(1 << 16):
                received += data.count(b"HTTP/1.1 ")

    task = asyncio.create_task(read())
    with suppress(OSError):
        while time.monotonic() < ends_at and not writer.is_closing():
            writer.write(b"".join(message(count + n) for n in range(500)))
            count += 500
            await asyncio.wait_for(writer.drain(), ends_at + 1 - time.monotonic())
            await asyncio.sleep(0)
    writer.transport.abort()
    await task
    return {"sent": count, "answers": received}


@kind
async def flood_ready(rig: Rig, clients: int, seconds: float) -> dict[str, Any]:
    """`GET /ready` at full speed."""
    return await flood(rig, seconds, lambda n: b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")


def named_request(number: int, class_name: bytes) -> bytes:
    """A request whose key, host, id and tenant no other one has."""
    return (
        b"GET /api/%d HTTP/1.1\r\nHost: h%d\r\nReq-Kind: %b\r\nReq-Id: f%d\r\nReq-Owner: o%d\r\n"
        b"Req-Deadline: 1\r\n\r\n" % (number, number, class_name, number, number)
    )


@kind
async def flood_names(rig: Rig, clients: int, seconds: float) -> dict[str, Any]:
    """Requests under ever new classes, hosts and tenants at full speed."""
    return await flood(rig, seconds, lambda n: named_request(n, b"c%d" % n))


@kind
async def flood_tenants(rig: Rig, clients: int, seconds: float) -> dict[str, Any]:
    """Sound requests under ever new hosts, tenants and keys at full speed."""
    return await flood(rig, seconds, lambda n: named_request(n, b"read"))


@kind
async def big_pipelines(rig: Rig, clients: int, seconds: float) -> dict[str, Any]:
    """40 connections with 40 requests each, every one with 29 KB of fields and 0.9 s of work."""
    more = "".join(f"x-{n}: {'y' * 480}\r\n" for n in range(59))

    async def one() -> None:
        reader, writer = await rig.connect()
        for _ in range(40):
            writer.write(rig.head(query="work=0.9", more=more))
        await asyncio.sleep(seconds)
        writer.transport.abort()

    await crowd(one, 40)
    return {}


async def long_answers(rig: Rig, query: str, count: int) -> dict[str, Any]:
    """Reads `count` long answers at once. Counts them by status and whether they were whole."""
    results: Counter[str] = Counter()

    async def one() -> None:
        reader, writer = await rig.connect()
        writer.write(rig.head(query=query, deadline=2.0))
        try:
            status, _ = await rig.read_answer(reader)
            results[str(status)] += 1
        except (OSError, asyncio.IncompleteReadError):
            results["cut"] += 1
        writer.close()

    await crowd(one, count)
    return {"answers": results}


@kind
async def trickled_answers(rig: Rig, clients: int, seconds: float) -> dict[str, Any]:
    """Answers of 400 KB in four parts, 1.8 s apart."""
    return await long_answers(rig, "size=400000&parts=4&gap=1.8", 10)


@kind
async def late_bodies(rig: Rig, clients: int, seconds: float) -> dict[str, Any]:
    """Answers whose body follows 0.95 s after their head, on every node."""
    return await long_answers(rig, "size=130000&quiet=0.95", 10)


@kind
async def slow_uploads(rig: Rig, clients: int, seconds: float) -> dict[str, Any]:
    """Requests of 60 KB that the node reads in 1.2 s, within their 1.5 s."""
    results: Counter[str] = Counter()

    async def one() -> None:
        reader, writer = await rig.connect()
        head = rig.head(query="take=5000", method="PUT", more="Content-Length: 60000\r\n")
        writer.write(head + b"x" * 60_000)
        results[str(await rig.status_of(reader))] += 1
        writer.close()

    await crowd(one, 10)
    return {"answers": results}


@kind
async def returning_ids(rig: Rig, clients: int, seconds: float) -> dict[str, Any]:
    """Unsafe requests whose clients leave after 0.1 s and send the same id again 0.05 s later."""
    names = [f"back{n}" for n in range(clients)]
    results: Counter[str] = Counter()

    async def one(name: str) -> None:
        message = rig.head("work=0.3", "once", "PUT", name=name, more="Content-Length: 0\r\n")
        _, writer = await rig.connect()
        writer.write(message)
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.sleep(0.05)
        reader, writer = await rig.connect()
        writer.write(message)
        results[str(await rig.status_of(reader))] += 1
        writer.close()

    for start in range(0, len(names), 20):
        await asyncio.gather(*(one(name) for name in names[start : start + 20]))
    await asyncio.sleep(0.5)
    return {"answers": results, "twice": sum(rig.log.begun[name] > 1 for name in names)}


WAYS_TO_LEAVE = ("close", "reset", "half close")


async def leave_after(rig: Rig, number: int) -> int:
    """Writes 60 requests, leaves after up to 0.06 s in one of WAYS_TO_LEAVE, and returns how many of the
    requests began more than 0.1 s after that. Every other client reads nothing of long answers, and every
    third ends with half a request."""
    way, size = WAYS_TO_LEAVE[number % 3], (3_000, 60_000)[number // 3 % 2]
    names = [f"leaves{number}-{n}" for n in range(60)]
    reader, writer = await asyncio.open_connection("127.0.0.1", rig.port, limit=2048)
    writer.write(b"".join(rig.head(query=f"work=0.02&size={size}", name=name) for name in names))
    if number % 9 < 3:
        writer.write(rig.head(name=f"half{number}")[:40])
    await asyncio.sleep(0.01 * (number % 7))
    if way == "half close":
        writer.write_eof()
    elif way == "reset":
        writer.transport.abort()
    else:
        writer.close()
    left_at = time.monotonic()
    await asyncio.sleep(0.2)
    writer.transport.abort()
    return sum(rig.log.begun_at.get(name, 0) > left_at + 0.1 for name in names)


@kind
async def leaving_clients(rig: Rig, clients: int, seconds: float) -> dict[str, Any]:
    """Clients that write many requests and leave, ten at a time. Counts requests that begin more than 0.1 s
    after their client has left."""
    late = 0
    for start in range(0, clients, 10):
        late += sum(await asyncio.gather(*(leave_after(rig, start + n) for n in range(10))))
    return {"left": clients, "begun late": late}


@contextmanager
def busy_core(process_id: int, count: int) -> Iterator[None]:
    """Pins a process to one core of this machine, together with `count` processes that keep it busy."""
    core = max(os.sched_getaffinity(0))
    busy = [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(count)]
    try:
        for pid in (process_id, *(other.pid for other in busy)) if count else ():
            os.sched_setaffinity(pid, {core})
        yield
    finally:
        for other in busy:
            other.kill()
            other.wait()


async def play(name: str, args: argparse.Namespace) -> dict[str, Any]:
    """Plays one kind against a fresh process and returns what was counted."""
    with tempfile.TemporaryDirectory(prefix="crowd-") as folder:
        rig = Rig(args.tree.resolve(), args.keep or Path(folder), args.memory_mb, args.sockets, args.nodes)
        await rig.start()
        assert rig.process is not None
        try:
            at_rest = rig.status("VmRSS")
            with busy_core(rig.process.pid, args.busy):
                after: list[int] = []
                for _ in range(args.rounds):
                    good = asyncio.create_task(rig.good_requests(args.seconds))
                    counted = await KINDS[name](rig, args.clients, args.seconds)
                    await good
                    await asyncio.sleep(args.settle)
                    after.append(rig.status("VmRSS"))
            crashed = rig.process.returncode is not None
            times = sorted(rig.good_times)
            return {
                "kind": name, "good": rig.good, "p50_s": round(times[len(times) // 2], 3),
                "p99_s": round(times[-1 - len(times) // 100], 3), "at_rest_mb": at_rest,
                "after_mb": after, "peak_mb": rig.status("VmHWM") if not crashed else None,
                "crashed": crashed, "malformed": rig.log.malformed, **counted,
            }  # fmt: skip
        finally:
            await rig.stop()


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("kinds", nargs="*", help=", ".join(KINDS))
    parser.add_argument("--tree", type=Path, default=ROOT, help="the checkout whose proxy is tested")
    parser.add_argument("--clients", type=int, default=500)
    parser.add_argument("--memory-mb", type=int, default=192)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--nodes", type=int, default=NODES)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--rounds", type=int, default=1, help="crowds in turn against the same process")
    parser.add_argument("--settle", type=float, default=0.0, help="seconds from a crowd's end to `after_mb`")
    parser.add_argument("--busy", type=int, default=0, help="processes that share the proxy's core")
    parser.add_argument("--keep", type=Path, default=None, help="folder in which the proxy's log is kept")
    args = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    for name in args.kinds or KINDS:
        print(json.dumps(uvloop.run(play(name, args))), flush=True)


if __name__ == "__main__":
    main()
