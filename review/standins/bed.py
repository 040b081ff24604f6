"""What the cases share: a record, processes of the program, discovery, cache nodes and clients."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from standins.world import RunFailed, free_port

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
# The classes of the site file, with figures within its ranges.
GRADES: list[dict[str, Any]] = [
    {"name": "level-read", "repeat": "read_like", "sloUs": 750_000, "giveUpUs": 2_000_000,
     "lateValue": 0.2, "worth": 3.0, "stream": False},
    {"name": "field-report", "repeat": "idempotency_key", "group": "all", "keyTtlUs": 5_000_000,
     "sloUs": 1_500_000, "giveUpUs": 3_000_000, "lateValue": 0.25, "worth": 5.0, "stream": False},
]  # fmt: skip
SETTINGS: dict[str, Any] = {
    "balancers": 5, "me": 0, "myZone": "baganuur", "zones": ["baganuur"], "discovery": "automatic",
    "grades": GRADES, "callers": {"marksRetry": False},
    "permissions": {"connIdleUs": 60_000_000, "connectTimeoutUs": 250_000, "maxAttempts": 5,
                    "maxOpen": 20_000, "maxRetryAfterUs": 2_000_000, "mayCancel": True, "peers": False,
                    "probes": True, "retryAfter": False, "secondCopies": True, "streamsPerConn": 1},
    "report": {"fields": [], "how": "silent"}, "roundUs": 5_000,
    "rules": {"answerSlackUs": 20_000, "askEveryUs": 10_000_000, "coldFrom": 0.3, "coldUs": 8_400_000,
              "fallMultiple": 2.5, "fallUs": 1_500_000, "stopSendingWithinUs": 500_000},
    "tenants": [{"name": "tuul-herders", "quotaPerS": 560.0, "share": 1.0}],
    "extra": {"mode": "through"}, "workload": "cache", "weightSource": "silent", "worthBy": "request",
}  # fmt: skip


class CannotRun(Exception):
    """The case can't run here."""


class Message:
    """A message of HTTP/1.1 as read."""

    def __init__(self, start: str, headers: dict[str, str], body: bytes) -> None:
        self.start, self.headers, self.body = start, headers, body


class CutBody(Exception):
    """The connection ended within a body."""


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a message. Raises IncompleteReadError, OSError, or CutBody once the head has come."""
    head = await reader.readuntil(b"\r\n\r\n")
    start, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while size := int((await reader.readline()).split(b";")[0], 16):
                parts.append((await reader.readexactly(size + 2))[:-2])
            await reader.readline()
            return Message(start, headers, b"".join(parts))
        return Message(start, headers, await reader.readexactly(int(headers.get("content-length", "0"))))
    except (asyncio.IncompleteReadError, OSError, ValueError):
        raise CutBody(start) from None


def response(status: int, body: bytes = b"", more: str = "") -> bytes:
    return f"HTTP/1.1 {status} Answer\r\nContent-Length: {len(body)}\r\n{more}\r\n".encode() + body


class Answer:
    """What a client saw of one request. `status` is 0 without a whole answer, and `why` then says more."""

    def __init__(
        self, status: int, body: bytes, after_s: float, why: str = "", retry_after: str = ""
    ) -> None:
        self.status, self.body, self.after_s, self.why = status, body, after_s, why
        self.retry_after = retry_after


Handler = Callable[[Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Bed:
    """The temporary folder, the record and everything that a case starts."""

    def __init__(self, folder: Path) -> None:
        self.record_path = folder / "record.txt"
        self.record_file = self.record_path.open("w")
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.began = time.monotonic()
        self.processes: list[Process] = []
        self.servers: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.discovery_port = 0
        self.ids = 0
        self.broken: list[str] = []
        self.write("disruption", "on" if TROUBLE else "off")

    def write(self, what: str, text: str) -> None:
        self.record_file.write(f"{time.monotonic() - self.began:8.3f} {what}: {text}\n")
        self.record_file.flush()

    def violation(self, text: str) -> None:
        self.broken.append(text)
        self.write("RULE BROKEN", text)

    async def serve(self, handle: Handler, port: int = 0) -> int:
        """Listens, and calls `handle` for each request of each connection in turn."""

        async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.writers.add(writer)
            try:
                while True:
                    await handle(await read_message(reader), reader, writer)
                    await writer.drain()
            except (OSError, asyncio.IncompleteReadError, CutBody, ValueError):
                pass
            finally:
                self.writers.discard(writer)
                writer.close()

        server = await asyncio.start_server(connection, "127.0.0.1", port)
        self.servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    async def start_discovery(self, instances: list[dict[str, Any]]) -> None:
        """Starts a discovery with this list, for the configurations that are made from now on."""

        async def handle(m: Message, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            _, _, query = m.start.split(" ")[1].partition("?")
            asked = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
            is_new = int(asked.get("after", "-1")) < 1
            if not is_new:  # the list does not change: a watch waits for its time
                await asyncio.sleep(min(60_000, int(asked.get("wait_ms", "0"))) / 1000)
            body = {"generation": 1, "reset": is_new, "instances": instances if is_new else []}
            writer.write(response(200, json.dumps(body).encode()))

        self.discovery_port = await self.serve(handle)

    def config(self, name: str, **more: Any) -> dict[str, Any]:
        return {
            "name": name, "listen": f"127.0.0.1:{free_port()}", "seed": "8c1f30d27a5be964",
            "discovery": f"127.0.0.1:{self.discovery_port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": SETTINGS, **more,
        }  # fmt: skip

    async def close(self) -> None:
        for p in self.processes:
            await p.kill()
        for server in self.servers:
            server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for p in self.processes:
            if p.log.exists():
                text = p.log.read_text(errors="replace").splitlines()
                for line in text[-40:]:
                    self.write(f"log of {p.name}", line)
        shutil.rmtree(self.folder, ignore_errors=True)

    # ---- clients

    def new_id(self) -> str:
        self.ids += 1
        return f"{os.getpid():08x}{self.ids:08x}"

    async def request(
        self, port: int, method: str, key: str, kind: str, deadline_s: float, idempotency_key: str = "",
        body: bytes = b"", wait_s: float | None = None, host: str = "api.internal", tag: str = "",
    ) -> Answer:  # fmt: skip
        """Sends one request on a connection of its own, and waits for `wait_s` at most."""
        request_id, began = self.new_id(), time.monotonic()
        wait_s = wait_s if wait_s is not None else deadline_s + 2.0
        lines = [
            f"{method} /api/{key} HTTP/1.1", f"Host: {host}", f"Req-Id: {request_id}", f"Req-Kind: {kind}",
            "Req-Owner: tuul-herders", f"Req-Deadline: {deadline_s:.3f}",
        ]  # fmt: skip
        if idempotency_key:
            lines.append(f"Idempotency-Key: {idempotency_key}")
        if method == "PUT":
            lines.append(f"Content-Length: {len(body)}")
        label = f"{method} {key} {idempotency_key} id={request_id}{' ' + tag if tag else ''}"
        self.write("sent", label)
        answer = Answer(0, b"", 0.0, "no connection")
        writer: asyncio.StreamWriter | None = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            async with asyncio.timeout(wait_s):
                m = await read_message(reader)
            answer = Answer(int(m.start.split(" ")[1]), m.body, 0.0, "", m.headers.get("retry-after", ""))
        except TimeoutError:
            answer = Answer(0, b"", 0.0, "silence")
        except CutBody as e:
            answer = Answer(0, b"", 0.0, f"cut: {e}")
        except (OSError, asyncio.IncompleteReadError) as e:
            answer = Answer(0, b"", 0.0, f"broke: {type(e).__name__}")
        finally:
            if writer is not None:
                writer.close()
        answer.after_s = time.monotonic() - began
        shown = f"{answer.status} {answer.body[:60]!r}" if answer.status else answer.why
        self.write("answered", f"{label}: {shown} ({len(answer.body)} bytes) after {answer.after_s:.3f} s")
        return answer


class Process:
    """One process of the program, started as deploy/balancer.toml says."""

    def __init__(
        self, bed: Bed, name: str, config: dict[str, Any], operator: str = "",
        env: dict[str, str] | None = None,
    ) -> None:  # fmt: skip
        self.bed, self.name, self.config = bed, name, config
        self.port = int(config["listen"].rpartition(":")[2])
        self.folder = bed.folder / name
        self.folder.mkdir(exist_ok=True)
        self.tmp = self.folder / "tmp"
        self.tmp.mkdir(exist_ok=True)
        self.log = self.folder / "log.txt"
        (self.folder / "config.json").write_text(json.dumps(config))
        self.env = {**os.environ, "LB_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.tmp)}
        self.env |= env or {}
        if operator:
            (self.folder / "operator.toml").write_text(operator)
            self.env["LB_OPERATOR"] = str(self.folder / "operator.toml")
        self.process: asyncio.subprocess.Process | None = None
        self.spawned: list[asyncio.subprocess.Process] = []  # all that were started; the last is `process`
        bed.processes.append(self)

    async def spawn(self) -> asyncio.subprocess.Process:
        self.bed.write("process", f"start {self.name}")
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", "exec .venv/bin/python -m magpiefront", cwd=ROOT, env=self.env,
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            )  # fmt: skip
        self.spawned.append(self.process)
        return self.process

    async def start(self, timeout_s: float = 20.0) -> None:
        """Starts the process and waits until it is ready."""
        await self.spawn()
        await self.ready(timeout_s)

    async def ready(self, timeout_s: float = 20.0) -> None:
        assert self.process is not None
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended: {self.log.read_text(errors='replace')[-500:]}")
            with suppress(OSError, asyncio.IncompleteReadError, CutBody, TimeoutError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                async with asyncio.timeout(2):
                    m = await read_message(reader)
                writer.close()
                if " 200 " in m.start + " ":
                    self.bed.write("process", f"{self.name} is ready")
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready after {timeout_s} s")

    async def admin(self, address: str, line: str) -> str:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(line.encode() + b"\n")
        async with asyncio.timeout(3):
            text = (await reader.read()).decode()
        writer.close()
        return text

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.bed.write("process", f"{signal.Signals(number).name} to {self.name}")
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Ends all processes that were started, with SIGKILL."""
        for process in self.spawned:
            if process.returncode is None:
                with suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()


def run_case(folder: str, case: Callable[[Bed], Awaitable[None]], limit_s: float = 110.0) -> None:
    """Runs a case and exits as the review asks: 0 held, 1 broken, 2 could not run."""

    async def main() -> int:
        bed = Bed(Path(folder))
        try:
            async with asyncio.timeout(limit_s):
                await case(bed)
        except (CannotRun, RunFailed, OSError, TimeoutError, AssertionError) as e:
            bed.write("could not run", f"{type(e).__name__}: {e}")
            print(f"could not run: {type(e).__name__}: {e}")
            return CANNOT_RUN
        finally:
            await bed.close()
        bed.write("result", f"{len(bed.broken)} violations")
        print(f"{len(bed.broken)} violations{': ' + bed.broken[0] if bed.broken else ''}")
        return BROKEN if bed.broken else HELD

    if not (ROOT / ".venv/bin/python").exists():
        print("could not run: no .venv: run the build first")
        sys.exit(CANNOT_RUN)
    sys.exit(asyncio.run(main()))
