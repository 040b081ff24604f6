"""CPU per request of the proxy on the read path, beside a bare uvloop and httptools forwarder.

    python benchmarks/floor.py [--rounds 24] [--requests 1500] [--rate 200] [--tree DIR] [--cpu 0]

Both run pinned to one core, in short alternating rounds against the same stand-in node and load, which run
on another core. A round's figure is the CPU time (user and system) of that process for the round, divided by
its requests. As fast as they go, hardly any connection to the node has rested when the next request comes
(`magpiefront/reuse.py`), and each costs a handshake; `--rate` plays what a proxy sees. `--tree` measures the
`magpiefront` of another checkout as a third party, in the same rounds. The last line is JSON; ratios are
medians over the rounds.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import resource
import signal
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any, cast

import httptools
import uvloop

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins.world import free_port

HERE = Path(__file__).resolve()
ROOT = HERE.parent.parent
BODY = b"v" * 200
CLIENTS = 8
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "grades": [{"name": "read", "repeat": "read_like", "sloUs": 500_000, "giveUpUs": 1_000_000}],
    "permissions": {"maxAttempts": 4, "secondCopies": True, "mayCancel": True, "probes": True,
                    "connectTimeoutUs": 200_000, "connIdleUs": 60_000_000},
    "rules": {"coldFrom": 0.3, "coldUs": 8_000_000},
}  # fmt: skip
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 200\r\nSrv-Cache: hit\r\n\r\n" + BODY


class Node(asyncio.Protocol):
    """Answers each request at once; only counts the ends of heads."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        for _ in range(data.count(b"\r\n\r\n")):
            self.transport.write(ANSWER)


class Bare(asyncio.Protocol):
    """The floor: parses a request, writes it to a kept connection, parses the answer, writes that back."""

    free: list[Behind]
    node: int

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self.url = url
        self.headers: list[tuple[bytes, bytes]] = []

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name, value))

    def on_message_complete(self) -> None:
        fields = b"".join(b"%b: %b\r\n" % h for h in self.headers)
        message = b"%b %b HTTP/1.1\r\n%b\r\n" % (self.parser.get_method(), self.url, fields)
        if self.free:
            self.free.pop().send(self, message)
        else:
            self.task = asyncio.ensure_future(self.connect(message))

    async def connect(self, message: bytes) -> None:
        loop = asyncio.get_running_loop()
        _, behind = await loop.create_connection(Behind, "127.0.0.1", self.node)
        behind.send(self, message)


class Behind(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.parser = httptools.HttpResponseParser(self)

    def send(self, client: Bare, message: bytes) -> None:
        self.client, self.body = client, b""
        self.transport.write(message)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        Bare.free.append(self)
        self.client.transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(self.body), self.body)
        )


async def bare(port: int, node: int) -> None:
    Bare.free, Bare.node = [], node
    await serve(Bare, port)


async def serve(protocol: type[asyncio.Protocol], port: int) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    server = await loop.create_server(protocol, "127.0.0.1", port)
    print(server.sockets[0].getsockname()[1], flush=True)
    await stop.wait()


class Load(asyncio.Protocol):
    """One client: the next request when the answer to the last has come."""

    number = 0
    pause_s = 0.0  # between an answer and the next request

    def __init__(self, count: int) -> None:
        self.left = count
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.got = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.buffer = b""
        self.ask()

    def ask(self) -> None:
        Load.number += 1
        n = Load.number
        self.transport.write(
            b"GET /api/%016x HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %016x\r\nReq-Kind: read\r\n"
            b"Req-Owner: o\r\nReq-Deadline: 0.900\r\n\r\n" % (n % 997, n)
        )

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        if not self.buffer.endswith(BODY):
            return
        if not self.buffer.startswith(b"HTTP/1.1 200"):
            raise SystemExit(f"not served: {self.buffer[:200]!r}")
        self.buffer = b""
        self.left -= 1
        if self.left and self.pause_s:
            asyncio.get_running_loop().call_later(self.pause_s, self.ask)
        elif self.left:
            self.ask()
        elif not self.done.done():
            self.done.set_result(None)
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.done.done():
            self.done.set_exception(ConnectionError("the proxy closed a connection in use"))


async def play(port: int, requests: int) -> None:
    loop = asyncio.get_running_loop()
    loads = [(await loop.create_connection(lambda: Load(requests // CLIENTS), "127.0.0.1", port))[1]
             for _ in range(CLIENTS)]  # fmt: skip
    await asyncio.wait_for(asyncio.gather(*(x.done for x in loads)), 60)


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(fields[0]) / 1e9


def start(command: list[str], cpu: int, **more: Any) -> subprocess.Popen[str]:
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True,
                            preexec_fn=lambda: os.sched_setaffinity(0, {cpu}), **more)  # fmt: skip


async def ready(port: int) -> None:
    for _ in range(500):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(0.02)
            continue
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        if b"200" in await reader.readline():
            writer.close()
            return
    raise SystemExit("the proxy does not become ready")


def proxy(
    tree: Path, node: int, cpu: int, folder: Path, name: str, arguments: tuple[str, ...] = ()
) -> tuple[subprocess.Popen[str], int]:  # fmt: skip
    port = free_port()
    config = folder / f"{name}.json"
    place = f"127.0.0.1:{node}"
    nodes = [{"instanceId": f"s-{i}", "hostPort": place, "lifecycle": "Ready"} for i in range(8)]
    config.write_text(json.dumps({
        "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:9", "seed": "ab",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": 1, "reset": True, "instances": nodes}, "settings": SETTINGS,
    }))  # fmt: skip
    env = {**os.environ, "LB_CONFIG": str(config)}
    with open(os.devnull, "w") as quiet:
        return start(
            [sys.executable, "-m", "magpiefront", *arguments], cpu, cwd=tree, env=env, stderr=quiet
        ), port


async def measure(args: argparse.Namespace) -> dict[str, Any]:
    os.sched_setaffinity(0, {args.cpu + 1})
    rows: dict[str, list[float]] = {}
    with tempfile.TemporaryDirectory() as folder:
        node = start([sys.executable, str(HERE), "--node"], args.cpu + 1)
        started = [node]
        try:
            assert node.stdout is not None
            behind = int(node.stdout.readline())
            floor = start([sys.executable, str(HERE), "--bare", str(behind)], args.cpu)
            started.append(floor)
            assert floor.stdout is not None
            parties = {"floor": (floor, int(floor.stdout.readline()))}
            trees = {"proxy": ROOT} | ({"other": Path(args.tree)} if args.tree else {})
            for name, tree in trees.items():
                parties[name] = proxy(tree, behind, args.cpu, Path(folder), name)
                started.append(parties[name][0])
                await ready(parties[name][1])
            for at in range(args.rounds + 2):
                order = list(parties) if at % 2 else list(reversed(parties))
                for name in order:
                    process, port = parties[name]
                    before = cpu_s(process.pid)
                    await play(port, args.requests)
                    used = (cpu_s(process.pid) - before) / args.requests * 1e6
                    if at >= 2:  # the first rounds open connections and warm caches
                        rows.setdefault(name, []).append(used)
                print(f"round {at + 1} of {args.rounds + 2}", end="\r", file=sys.stderr, flush=True)
        finally:
            for p in started:
                p.terminate()
            for p in started:
                p.wait()
    result: dict[str, Any] = {"benchmark": "floor", "rounds": args.rounds, "requests": args.requests}
    for name, values in rows.items():
        result[name] = {"us": round(statistics.median(values), 1), "least": round(min(values), 1),
                        "most": round(max(values), 1)}  # fmt: skip
        if name != "floor":
            ratios = [v / f for v, f in zip(values, rows["floor"], strict=True)]
            result[name]["ratio"] = round(statistics.median(ratios), 2)
    if "other" in rows:
        both = [a / b for a, b in zip(rows["proxy"], rows["other"], strict=True)]
        result["proxy_to_other"] = round(statistics.median(both), 3)
    return result


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--rounds", type=int, default=24)
    parser.add_argument("--requests", type=int, default=1600)
    parser.add_argument("--rate", type=float, default=0.0, help="requests a second; 0: as fast as they go")
    parser.add_argument("--tree", help="another checkout, measured in the same rounds")
    parser.add_argument("--cpu", type=int, default=0, help="the parties' core; the load takes the next")
    parser.add_argument("--node", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument("--bare", type=int, help=argparse.SUPPRESS)
    args = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (1024, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
    if args.node:
        uvloop.run(serve(Node, 0))
    elif args.bare is not None:
        uvloop.run(bare(0, args.bare))
    else:
        Load.pause_s = CLIENTS / args.rate if args.rate else 0.0
        result = uvloop.run(measure(args))
        print(f"{'party':8} {'CPU us a request':>18} {'least':>8} {'most':>8} {'of the floor':>14}")
        for name in ("floor", "proxy", "other"):
            if name in result:
                r = result[name]
                print(f"{name:8} {r['us']:18} {r['least']:8} {r['most']:8} {r.get('ratio', 1.0):14}")
        print(json.dumps(result))


if __name__ == "__main__":
    main()
