"""Measures the CPU time per request of the proxy's read path against a bare uvloop and httptools forwarder.

    python benchmarks/floor.py [--rounds 24] [--requests 1500] [--rate 200] [--tree DIR] [--cpu 0]

The proxy and the forwarder are pinned to one core and run in short alternating rounds with the same stand-in
node and load, which are pinned to another core. The figure of a round is the CPU time (user and system) of
the process in that round, divided by the number of requests. Without `--rate` each client sends as fast as it
can. Almost all connections to the node are then still resting after an answer when the next request comes
(`magpiefront/reuse.py`), and each request costs a handshake. `--rate` gives the load that a proxy sees in
operation. `--tree` measures the `magpiefront` of another checkout as a third variant in the same rounds. The
last line of the output is JSON; ratios are medians over the rounds.
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
    """The node's side of a connection: writes an answer for each end of a request head."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        for _ in range(data.count(b"\r\n\r\n")):
            self.transport.write(ANSWER)


class BareForwarder(asyncio.Protocol):
    """The floor: parses a request, forwards it on an open connection, and parses and returns the answer."""

    free: list[NodeConnection]
    node_port: int

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
        _, connection = await loop.create_connection(NodeConnection, "127.0.0.1", self.node_port)
        connection.send(self, message)


class NodeConnection(asyncio.Protocol):
    """A connection of the bare forwarder to the node."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.parser = httptools.HttpResponseParser(self)

    def send(self, client: BareForwarder, message: bytes) -> None:
        self.client, self.body = client, b""
        self.transport.write(message)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        BareForwarder.free.append(self)
        self.client.transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(self.body), self.body)
        )


async def serve_bare_forwarder(port: int, node_port: int) -> None:
    BareForwarder.free, BareForwarder.node_port = [], node_port
    await serve(BareForwarder, port)


async def serve(protocol: type[asyncio.Protocol], port: int) -> None:
    """Serves a protocol until SIGTERM, and prints the port."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    server = await loop.create_server(protocol, "127.0.0.1", port)
    print(server.sockets[0].getsockname()[1], flush=True)
    await stop.wait()


class LoadClient(asyncio.Protocol):
    """A client that sends its next request after the answer to the last one."""

    number = 0
    pause_s = 0.0  # between an answer and the next request

    def __init__(self, count: int) -> None:
        self.remaining = count
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.received = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.buffer = b""
        self.send_request()

    def send_request(self) -> None:
        LoadClient.number += 1
        n = LoadClient.number
        self.transport.write(
            b"GET /api/%016x HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %016x\r\nReq-Kind: read\r\n"
            b"Req-Owner: o\r\nReq-Deadline: 0.900\r\n\r\n" % (n % 997, n)
        )

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        if not self.buffer.endswith(BODY):
            return
        if not self.buffer.startswith(b"HTTP/1.1 200"):
            raise SystemExit(f"a request was not served: {self.buffer[:200]!r}")
        self.buffer = b""
        self.remaining -= 1
        if self.remaining and self.pause_s:
            asyncio.get_running_loop().call_later(self.pause_s, self.send_request)
        elif self.remaining:
            self.send_request()
        elif not self.done.done():
            self.done.set_result(None)
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.done.done():
            self.done.set_exception(ConnectionError("the proxy closed a connection in use"))


async def run_load(port: int, requests: int) -> None:
    """Sends a number of requests from CLIENTS clients. Raises TimeoutError after 60 s."""
    loop = asyncio.get_running_loop()
    clients = [(await loop.create_connection(lambda: LoadClient(requests // CLIENTS), "127.0.0.1", port))[1]
             for _ in range(CLIENTS)]  # fmt: skip
    await asyncio.wait_for(asyncio.gather(*(x.done for x in clients)), 60)


def cpu_s(pid: int) -> float:
    """Returns the CPU time of a process's main thread so far (s)."""
    fields = Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(fields[0]) / 1e9


def start_pinned(command: list[str], cpu: int, **options: Any) -> subprocess.Popen[str]:
    """Starts a process on one core, with its standard output as a pipe."""
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True,
                            preexec_fn=lambda: os.sched_setaffinity(0, {cpu}), **options)  # fmt: skip


async def until_ready(port: int) -> None:
    """Waits until a proxy answers that it is ready. Raises SystemExit after 500 attempts."""
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
    raise SystemExit("the proxy did not become ready")


def start_proxy(
    tree: Path, node_port: int, cpu: int, folder: Path, name: str, arguments: tuple[str, ...] = ()
) -> tuple[subprocess.Popen[str], int]:  # fmt: skip
    """Starts the proxy of a checkout with eight entries for one node. Returns the process and its port."""
    port = free_port()
    config = folder / f"{name}.json"
    host_port = f"127.0.0.1:{node_port}"
    nodes = [{"instanceId": f"s-{i}", "hostPort": host_port, "lifecycle": "Ready"} for i in range(8)]
    config.write_text(json.dumps({
        "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:9", "seed": "ab",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": 1, "reset": True, "instances": nodes}, "settings": SETTINGS,
    }))  # fmt: skip
    env = {**os.environ, "LB_CONFIG": str(config)}
    with open(os.devnull, "w") as devnull:
        return start_pinned(
            [sys.executable, "-m", "magpiefront", *arguments], cpu, cwd=tree, env=env, stderr=devnull
        ), port


async def measure(args: argparse.Namespace) -> dict[str, Any]:
    os.sched_setaffinity(0, {args.cpu + 1})
    cpu_us: dict[str, list[float]] = {}
    with tempfile.TemporaryDirectory() as folder:
        node = start_pinned([sys.executable, str(HERE), "--node"], args.cpu + 1)
        started = [node]
        try:
            assert node.stdout is not None
            node_port = int(node.stdout.readline())
            floor = start_pinned([sys.executable, str(HERE), "--bare", str(node_port)], args.cpu)
            started.append(floor)
            assert floor.stdout is not None
            variants = {"floor": (floor, int(floor.stdout.readline()))}
            trees = {"proxy": ROOT} | ({"other": Path(args.tree)} if args.tree else {})
            for name, tree in trees.items():
                variants[name] = start_proxy(tree, node_port, args.cpu, Path(folder), name)
                started.append(variants[name][0])
                await until_ready(variants[name][1])
            for round_number in range(args.rounds + 2):
                order = list(variants) if round_number % 2 else list(reversed(variants))
                for name in order:
                    process, port = variants[name]
                    before = cpu_s(process.pid)
                    await run_load(port, args.requests)
                    request_cpu_us = (cpu_s(process.pid) - before) / args.requests * 1e6
                    if round_number >= 2:  # the first rounds open connections and warm caches
                        cpu_us.setdefault(name, []).append(request_cpu_us)
                print(f"round {round_number + 1} of {args.rounds + 2}", end="\r", file=sys.stderr, flush=True)
        finally:
            for p in started:
                p.terminate()
            for p in started:
                p.wait()
    result: dict[str, Any] = {"benchmark": "floor", "rounds": args.rounds, "requests": args.requests}
    for name, values in cpu_us.items():
        result[name] = {"us": round(statistics.median(values), 1), "least": round(min(values), 1),
                        "most": round(max(values), 1)}  # fmt: skip
        if name != "floor":
            ratios = [v / f for v, f in zip(values, cpu_us["floor"], strict=True)]
            result[name]["ratio"] = round(statistics.median(ratios), 2)
    if "other" in cpu_us:
        ratios_to_other = [a / b for a, b in zip(cpu_us["proxy"], cpu_us["other"], strict=True)]
        result["proxy_to_other"] = round(statistics.median(ratios_to_other), 3)
    return result


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--rounds", type=int, default=24)
    parser.add_argument("--requests", type=int, default=1600)
    parser.add_argument("--rate", type=float, default=0.0, help="requests per second; 0: as fast as possible")
    parser.add_argument("--tree", help="another checkout, measured in the same rounds")
    parser.add_argument(
        "--cpu", type=int, default=0, help="core of the measured processes; the load runs on the next one"
    )
    parser.add_argument("--node", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument("--bare", type=int, help=argparse.SUPPRESS)
    args = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (1024, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
    if args.node:
        uvloop.run(serve(Node, 0))
    elif args.bare is not None:
        uvloop.run(serve_bare_forwarder(0, args.bare))
    else:
        LoadClient.pause_s = CLIENTS / args.rate if args.rate else 0.0
        result = uvloop.run(measure(args))
        print(f"{'party':8} {'CPU us a request':>18} {'least':>8} {'most':>8} {'of the floor':>14}")
        for name in ("floor", "proxy", "other"):
            if name in result:
                figures = result[name]
                print(f"{name:8} {figures['us']:18} {figures['least']:8} "
                      f"{figures['most']:8} {figures.get('ratio', 1.0):14}")  # fmt: skip
        print(json.dumps(result))


if __name__ == "__main__":
    main()
