"""Stand-ins of the second review: cache nodes, an agent of discovery, clients, a relay, and a runner that
starts the project's own program with the command of the deploy file. Standard library and loopback only."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"


class CannotRun(Exception):
    """The case could not be set up; nothing is said about the rule."""


def free_port() -> int:
    with socket.socket() as s:
        s.bind((HOST, 0))
        return int(s.getsockname()[1])


def settings(**more: Any) -> dict[str, Any]:
    """Settings of a small deployment, with the figures of the site file."""
    return {
        "balancers": 1, "callers": {"marksRetry": False}, "discovery": "automatic",
        "extra": {"mode": "through"},
        "grades": [
            {"name": "level-read", "repeat": "read_like", "group": "all", "keyTtlUs": 5_000_000,
             "sloUs": 750_000, "giveUpUs": 2_000_000, "lateValue": 0.2, "stream": False, "worth": 3.0},
            {"name": "field-report", "repeat": "idempotency_key", "group": "all", "keyTtlUs": 5_000_000,
             "sloUs": 1_500_000, "giveUpUs": 3_000_000, "lateValue": 0.25, "stream": False, "worth": 5.0},
        ],
        "me": 0, "models": ["box-4core"], "myZone": "ulaanbaatar", "overShareWorth": 0.1,
        "permissions": {"connIdleUs": 60_000_000, "connectTimeoutUs": 250_000, "cpuUsPerRequest": 10.0,
                        "cpuUsPerS": 34_816, "maxAttempts": 5, "maxOpen": 46_422,
                        "maxRetryAfterUs": 2_000_000,
                        "mayCancel": True, "peers": False, "probes": True, "retryAfter": False,
                        "secondCopies": True, "streamsPerConn": 1},
        "report": {"fields": [], "how": "silent"}, "roundUs": 5_000,
        "rules": {"answerSlackUs": 20_000, "askEveryUs": 10_000_000, "coldFrom": 0.3, "coldUs": 8_400_000,
                  "fallMultiple": 2.5, "fallUs": 1_500_000, "stopSendingWithinUs": 500_000},
        "tenants": [], "weightSource": "silent", "zones": ["ulaanbaatar"], **more,
    }  # fmt: skip


# ---- messages


class Message:
    """One HTTP/1.1 message. `at` is when its last byte had been read."""

    def __init__(self, start: str, fields: dict[str, str], body: bytes) -> None:
        self.start, self.fields, self.body, self.at = start, fields, body, time.monotonic()


async def read_message(reader: asyncio.StreamReader, no_body: bool = False) -> Message | None:
    """Reads a message with a length or in chunks; None if the connection ends before its last byte."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        start, *lines = head[:-4].split("\r\n")
        fields = {n.strip().lower(): v.strip() for n, _, v in (line.partition(":") for line in lines)}
        body = b""
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        elif not no_body and "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        return Message(start, fields, body)
    except (asyncio.IncompleteReadError, OSError, ValueError, asyncio.LimitOverrunError):
        return None


def answer(status: int, body: bytes = b"", more: str = "") -> bytes:
    return f"HTTP/1.1 {status} X\r\n{more}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Server:
    """A listening socket whose connections `serve` handles."""

    def __init__(self) -> None:
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._accepted, HOST, 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Agent(Server):
    """Discovery's agent on the proxy's machine: answers at once with what it has, or when that changes."""

    def __init__(self, nodes: list[Node]) -> None:
        super().__init__()
        self.generation, self.nodes = 1, nodes
        self.changed = asyncio.Event()

    def listing(self) -> dict[str, Any]:
        return {"generation": self.generation, "reset": True, "instances": [n.entry() for n in self.nodes]}

    def push(self) -> None:
        self.generation += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            query = dict(
                p.partition("=")[::2] for p in message.start.split(" ")[1].partition("?")[2].split("&")
            )
            told = self.listing()
            if int(query.get("after") or -1) >= self.generation:
                try:
                    await asyncio.wait_for(self.changed.wait(), int(query.get("wait_ms") or 0) / 1000)
                    told = self.listing()
                except TimeoutError:
                    told = {"generation": self.generation, "reset": False, "instances": []}
            writer.write(answer(200, json.dumps(told).encode()))
            await writer.drain()


Reply = Callable[["Node", Message], Awaitable[bytes | None]]


class Node(Server):
    """A cache node. `reply` returns what is written for a request whose last byte has come, or None to close
    the connection."""

    def __init__(self, name: str, reply: Reply) -> None:
        super().__init__()
        self.name, self.reply = name, reply
        self.lifecycle, self.port_told = "Ready", 0

    def entry(self) -> dict[str, Any]:
        return {"instanceId": self.name, "hostPort": f"{HOST}:{self.port_told or self.port}",
                "zone": "ulaanbaatar", "machineType": "box-4core", "cell": 0, "lifecycle": self.lifecycle,
                "weight": 1.0, "startedAtMs": 0}  # fmt: skip

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            target = message.start.split(" ")[1]
            if target == "/health":
                writer.write(answer(200))
                continue
            if "req-id" not in message.fields:
                writer.write(answer(404))
                continue
            reply = asyncio.create_task(self.reply(self, message))  # type: ignore[arg-type]
            gone = asyncio.create_task(reader.read(1))
            await asyncio.wait({reply, gone}, return_when=asyncio.FIRST_COMPLETED)
            if not reply.done():  # the proxy has given the attempt up
                reply.cancel()
                return
            gone.cancel()
            await asyncio.gather(gone, return_exceptions=True)
            data = reply.result()
            if data is None:
                return
            writer.write(data)
            await writer.drain()


class Relay(Server):
    """A path to another address. `held`: nothing passes, in either direction; `cut` breaks what is open;
    `refuse`: new connections are closed at once."""

    def __init__(self, to: int) -> None:
        super().__init__()
        self.to, self.refuse = to, False
        self.passing = asyncio.Event()
        self.passing.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.refuse:
            writer.transport.abort()
            return
        other, out = await asyncio.open_connection(HOST, self.to)
        self.writers.add(out)
        try:
            await asyncio.gather(self._pump(reader, out), self._pump(other, writer))
        finally:
            self.writers.discard(out)
            out.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(1 << 16):
            await self.passing.wait()
            writer.write(data)
            await writer.drain()
        writer.transport.abort()

    def cut(self) -> None:
        for writer in list(self.writers):
            writer.transport.abort()


# ---- the program


class Proxy:
    """One process of the program, started by the `run` line of the deploy file."""

    def __init__(self, rig: Rig, name: str, agent: Agent, operator: str = "", **more: Any) -> None:
        self.rig, self.name = rig, name
        self.port, self.admin = free_port(), 0
        self.folder = rig.folder / name
        self.folder.mkdir()
        self.tmp = self.folder / "tmp"
        self.tmp.mkdir()
        self.log = self.folder / "log"
        self.config = {
            "name": name, "listen": f"{HOST}:{self.port}", "discovery": f"{HOST}:{agent.port}",
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": agent.listing(), "settings": settings(**more),
        }  # fmt: skip
        self.operator = operator
        self.process: asyncio.subprocess.Process | None = None

    def write(self) -> None:
        path = self.folder / "config.json"
        path.with_suffix(".new").write_text(json.dumps(self.config))
        path.with_suffix(".new").replace(path)
        if self.operator:
            (self.folder / "operator.toml").write_text(self.operator)

    async def start(self) -> None:
        self.write()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        env = {n: v for n, v in os.environ.items() if not n.startswith("LB_")}
        env |= {"LB_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.tmp), "LB_NAME": self.name,
                "PYTHONDONTWRITEBYTECODE": "1"}  # fmt: skip
        if self.operator:
            env["LB_OPERATOR"] = str(self.folder / "operator.toml")
        if self.admin:
            env["LB_ADMIN"] = f"{HOST}:{self.admin}"
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=env, stdout=log, stderr=log, start_new_session=True
            )
        self.rig.processes.append(self.process)
        for _ in range(600):
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} has ended: {self.log.read_text()[-400:]}")
            got = await request(self.port, "GET", "/ready", {})
            if got.status == 200:
                self.rig.note(f"{self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    def send(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)
        self.rig.note(f"{number.name} to {self.name}")

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None


# ---- clients


class Got:
    """What a client got: `status` is 0 if the connection ended without a whole answer, or never came up
    (`connected` is False)."""

    def __init__(self, status: int, body: bytes, why: str, connected: bool = True) -> None:
        self.status, self.body, self.why, self.connected = status, body, why, connected
        self.fields: dict[str, str] = {}
        self.at = time.monotonic()
        self.sent_at = 0.0  # when the last byte was written

    def __str__(self) -> str:
        return f"{self.status} {self.body[:80]!r}" if self.status else f"no whole answer: {self.why}"


def head(method: str, target: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    lines = {"Host": "api.internal", **fields}
    if method != "GET":
        lines["Content-Length"] = str(len(body))
    text = "".join(f"{n}: {v}\r\n" for n, v in lines.items())
    return f"{method} {target} HTTP/1.1\r\n{text}\r\n".encode()


async def request(
    port: int, method: str, target: str, fields: dict[str, str], body: bytes = b"", wait_s: float = 10.0,
    pause_s: float = 0.0,
) -> Got:  # fmt: skip
    """Sends one request on a connection of its own. With `pause_s` the client writes slowly: part of the head
    at once, the rest after that time."""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError as e:
        return Got(0, b"", str(e), connected=False)
    sent_at = 0.0
    try:
        data = head(method, target, fields, body) + body
        if pause_s:
            writer.write(data[:20])
            await asyncio.sleep(pause_s)
            data = data[20:]
        writer.write(data)
        await writer.drain()
        sent_at = time.monotonic()
        try:
            got = await asyncio.wait_for(read_message(reader), wait_s)
        except TimeoutError:
            result = Got(0, b"", f"nothing within {wait_s:.1f} s")
        else:
            if got is None:
                result = Got(0, b"", "the connection was closed")
            else:
                result = Got(int(got.start.split(" ")[1]), got.body, "")
                result.fields = got.fields
    except OSError as e:
        result = Got(0, b"", str(e))
    finally:
        writer.transport.abort()
    result.sent_at = sent_at
    return result


def read_fields(name: str, deadline_s: float = 2.0) -> dict[str, str]:
    return {"Req-Id": name, "Req-Kind": "level-read", "Req-Deadline": f"{deadline_s:.3f}"}


def report_fields(name: str, key: str, deadline_s: float = 3.0) -> dict[str, str]:
    return {"Req-Id": name, "Req-Kind": "field-report", "Req-Deadline": f"{deadline_s:.3f}",
            "Idempotency-Key": key}  # fmt: skip


async def command(port: int, line: str) -> str:
    """A call at the second address."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(line.encode() + b"\n")
        return (await asyncio.wait_for(reader.read(), 5.0)).decode()
    finally:
        writer.transport.abort()


# ---- the run


class Rig:
    """What one run of a case has started, and its record."""

    def __init__(self, case: Path) -> None:
        self.record = open(case / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self.began = time.monotonic()
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self.temporary.name)
        self.processes: list[asyncio.subprocess.Process] = []
        self.servers: list[Server] = []
        self.broken: list[str] = []
        self.note(f"TROUBLE={int(TROUBLE)}")

    def note(self, text: str) -> None:
        print(f"{time.monotonic() - self.began:8.3f} {text}", file=self.record, flush=True)

    def breaks(self, text: str) -> None:
        self.broken.append(text)
        self.note(f"BROKEN: {text}")

    async def add(self, *servers: Server) -> None:
        for server in servers:
            await server.start()
            self.servers.append(server)

    async def close(self) -> None:
        for server in self.servers:
            server.close()
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.killpg(process.pid, signal.SIGKILL)
            await process.wait()
        for log in sorted(self.folder.glob("*/log")):
            for line in log.read_text(errors="replace").splitlines()[-40:]:
                self.note(f"log of {log.parent.name}: {line[:200]}")
        self.temporary.cleanup()


def main(case: str, run: Callable[[Rig], Awaitable[None]], limit_s: float = 110.0) -> None:
    """Runs a case and exits: 11 if the rule was broken, 0 if it held, 2 if the case couldn't run. `run.sh`
    makes 1 of 11, and 2 of whatever else, such as an exception."""

    async def play() -> int:
        rig = Rig(Path(case).resolve().parent)
        try:
            await asyncio.wait_for(run(rig), limit_s)
            status = 11 if rig.broken else 0
        except (CannotRun, TimeoutError, OSError) as e:
            rig.note(f"could not run: {type(e).__name__}: {e}")
            status = 2
        finally:
            await rig.close()
        rig.note(f"exit status {1 if status == 11 else status}")
        for line in rig.broken or ["the rule held" if status == 0 else "the case could not run"]:
            print(line)
        return status

    sys.exit(asyncio.run(play()))
