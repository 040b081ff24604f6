"""Upgrades with real processes: a second process is started beside the first, under load, and one is
killed."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any

import pytest

from magpiefront.upgrade import channel as wire
from magpiefront.upgrade.channel import socket_path
from magpiefront.upgrade.handover import VERSION
from standins.world import free_port
from tests.sockets import (
    PROXY_SETTINGS, Client, DiscoveryServer, Node, ReceivedRequest, gated, ok, read_message, request, run,
    until,
)  # fmt: skip

Process = asyncio.subprocess.Process
# Latency objectives and deadlines that are met on a busy machine, too: a proxy sheds load if its event loop
# lags by a fraction of its shortest objective.
RELAXED_CLASSES = [
    {**grade, "sloUs": 5_000_000, "giveUpUs": 10_000_000} for grade in PROXY_SETTINGS["grades"]
]


class Fleet:
    """One proxy as a series of processes, with its cache nodes and clients on persistent connections."""

    settings: dict[str, Any] = {**PROXY_SETTINGS, "grades": RELAXED_CLASSES}  # noqa: RUF012
    operator = ""  # the text of the operator's file; none if empty
    # The test's own process, which plays the old or the new one in some tests, counts for this limit, too.
    memory_mb = 4096

    def __init__(self, folder: Path, nodes: list[Node], **env: str) -> None:
        self.folder, self.nodes, self.lists, self.port = folder, nodes, DiscoveryServer(), free_port()
        self.env = {"TMPDIR": str(folder / "tmp"), **env}
        (folder / "tmp").mkdir()
        self.processes: list[Process] = []
        self.admins: list[int] = []
        self.statuses: Counter[int] = Counter()
        self.dropped = self.opened = 0
        self.running = True

    async def open(self) -> None:
        """Starts the nodes and discovery."""
        for node in self.nodes:
            await node.start()
        await self.lists.start()

    def path(self) -> Path:
        """The Unix socket of the handover."""
        found = socket_path(("127.0.0.1", self.port), self.env)
        assert found is not None
        return found

    async def spawn(self) -> int:
        """Starts a process and returns its number."""
        given = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{self.lists.port}",
            "seed": "1f", "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": 1024},
            "settings": self.settings,
            "known": {"generation": 1, "reset": True, "instances": [n.entry() for n in self.nodes]},
        }  # fmt: skip
        config, port = self.folder / "config.json", free_port()
        config.write_text(json.dumps(given))
        more: list[str] = []
        if self.operator:
            (self.folder / "operator.toml").write_text(self.operator)
            more = ["--operator", str(self.folder / "operator.toml")]
        env = {k: v for k, v in os.environ.items() if k != "TMPDIR" and not k.startswith("LB_")}
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "magpiefront", *more, stderr=asyncio.subprocess.PIPE,
            env={**env, **self.env, "LB_CONFIG": str(config), "LB_ADMIN": f"127.0.0.1:{port}"},
        )  # fmt: skip
        self.processes.append(process)
        self.admins.append(port)
        return len(self.processes) - 1

    async def command(self, number: int, line: str) -> str:
        """Sends a command to the admin address of a process and returns the response."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admins[number])
        writer.write(line.encode() + b"\n")
        answer = await reader.read()
        writer.close()
        return answer.decode()

    async def ready(self, number: int) -> None:
        """Waits until a process serves."""
        for _ in range(1500):
            try:
                if await self.command(number, "ready") == "OK\n":
                    return
            except OSError:
                pass
            assert self.processes[number].returncode is None, "the process has ended"
            await asyncio.sleep(0.01)
        raise AssertionError("the process did not become ready")

    async def start(self) -> int:
        """Starts a process, waits until it serves and returns its number."""
        number = await self.spawn()
        await self.ready(number)
        return number

    async def end(self, number: int, signal_number: int = signal.SIGTERM) -> str:
        """Sends a signal to a process, waits until it has exited and returns its standard error."""
        process = self.processes[number]
        process.send_signal(signal_number)
        assert process.stderr is not None
        log = await process.stderr.read()
        assert await process.wait() == (0 if signal_number == signal.SIGTERM else -signal_number)
        return log.decode()

    async def client(self) -> Client:
        self.opened += 1
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    async def load(self, seed: int) -> None:
        """Sends one request after the other on one connection. If the connection ends without a response, the
        request counts as dropped and is not sent again."""
        draw, client = Random(seed), await self.client()
        while self.running:
            kind = draw.choice(("read", "read", "once", "keyed"))
            method = "GET" if kind == "read" else "PUT"
            client.send(request(method, f"/api/k{draw.randrange(30)}", kind, deadline="3", body=b"7"))
            try:
                self.statuses[(await client.answer()).status] += 1
            except (OSError, asyncio.IncompleteReadError):
                self.dropped += 1
                client = await self.client()
            await asyncio.sleep(draw.choice((0, 0.002, 0.02)))
        client.writer.close()

    def repeated(self) -> list[str]:
        """The ids of requests that reached the nodes more than once."""
        counts = Counter(s.headers["req-id"] for n in self.nodes for s in n.seen)
        return [name for name, n in counts.items() if n > 1]


@asynccontextmanager
async def fleet(folder: Path, *nodes: Node, **env: str) -> AsyncIterator[Fleet]:
    """A fleet whose processes are killed and whose nodes are stopped at the end."""
    f = Fleet(folder, list(nodes) or [Node("s-0", None), Node("s-1", None)], **env)
    await f.open()
    try:
        yield f
    finally:
        f.running = False
        for p in f.processes:
            if p.returncode is None:
                p.kill()
                await p.wait()
        for node in f.nodes:
            node.stop()


def test_twenty_upgrades_under_load_drop_and_repeat_no_request(tmp_path: Path) -> None:
    async def slow(seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.02)
        writer.write(ok())

    async def main() -> None:
        async with fleet(tmp_path, *(Node(f"s-{i}", slow) for i in range(4))) as f:
            current = await f.start()
            loads = [asyncio.ensure_future(f.load(i)) for i in range(12)]
            await until(lambda: f.statuses[200] > 50)
            for _ in range(20):
                following = await f.start()
                before = f.statuses[200]
                await until(lambda: f.statuses[200] > before + 10)  # noqa: B023
                assert "Traceback" not in await f.end(current)
                current = following
            f.running = False
            await asyncio.gather(*loads)
            assert set(f.statuses) == {200} and f.dropped == 0 and not f.repeated()
            assert f.opened == 12  # each client kept its one connection through all upgrades

    run(main(), 120)


def test_requests_open_at_an_upgrade_are_finished_by_the_old_process(tmp_path: Path) -> None:
    """Covers a request at a node, an incomplete head, pipelined requests, and a long response in transfer."""

    async def main() -> None:
        gate, finish_long, size = asyncio.Event(), asyncio.Event(), 32 * 1024 * 1024

        async def long(
            seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:  # fmt: skip
            if "/long" not in seen.line:
                await gated(gate)(seen, reader, writer)
                return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            for i in range(size // 65536):
                if i == 64:
                    await finish_long.wait()
                writer.write(b"x" * 65536)
                await writer.drain()

        node = Node("s-0", long)
        async with fleet(tmp_path, node) as f:
            first = await f.start()
            report, split, pipelined, read, idle = [await f.client() for _ in range(5)]
            report.send(request("PUT", kind="once", deadline="8", body=b"level"))
            key = "Idempotency-Key: k1\r\n"
            body = request("PUT", kind="keyed", deadline="8", body=b"y" * 1000, more=key)
            split.send(body[:60])
            for _ in range(3):
                pipelined.send(request(deadline="8"))
            read.send(request(path="/api/long", deadline="8"))
            await until(lambda: len(node.seen) == 3)
            await f.start()
            split.send(body[60:600])
            late = await f.client()
            late.send(request(deadline="8"))
            await until(lambda: len(node.seen) == 4)
            ended = asyncio.ensure_future(f.end(first))
            await asyncio.sleep(0.1)
            split.send(body[600:])
            finish_long.set()
            gate.set()
            for c, n in ((report, 1), (split, 1), (pipelined, 3), (late, 1), (read, 1)):
                for _ in range(n):
                    assert (await c.answer()).status == 200
            assert "Traceback" not in await ended
            idle.send(request(deadline="8"))  # a connection that was idle during the upgrade
            report.send(request(deadline="8"))  # and one that has become idle since
            assert (await idle.answer()).status == (await report.answer()).status == 200
            assert not f.repeated()

    run(main(), 40)


def test_an_id_that_comes_again_at_the_other_process_of_an_upgrade_runs_once(tmp_path: Path) -> None:
    """Covers ids from before the upgrade, and from both processes while the old one still serves."""

    async def main() -> None:
        holds, gate = [asyncio.Event(), asyncio.Event()], asyncio.Event()

        async def held(
            seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:  # fmt: skip
            hold = holds[int(seen.line.split("/hold")[1][0])] if "/hold" in seen.line else gate
            await gated(hold)(seen, reader, writer)

        node = Node("s-0", held)

        def begun() -> int:
            return sum("/hold" not in seen.line for seen in node.seen)

        async def leave(client: Client, message: bytes) -> None:
            before = begun()
            client.send(message)
            await until(lambda: begun() > before)
            client.writer.transport.abort()

        async with fleet(tmp_path, node) as f:
            messages = [request("PUT", kind="once", deadline="8", body=b"level") for _ in range(4)]
            await f.start()
            kept = [await f.client() for _ in holds]  # stay with the old process
            for n, client in enumerate(kept):
                client.send(request(path=f"/api/hold{n}", deadline="8"))
            await until(lambda: len(node.seen) == 2)
            for n in (1, 2):
                await leave(await f.client(), messages[n])
            await f.start()
            kept[0].send(messages[0])
            await asyncio.sleep(0.05)
            holds[0].set()
            assert (await kept[0].answer()).status == 200
            await until(lambda: begun() == 3)
            kept[0].writer.transport.abort()
            await leave(await f.client(), messages[3])
            await asyncio.sleep(0.1)
            for n in range(3):
                client = await f.client()
                client.send(messages[n])
                assert (await client.answer()).status == 409
            kept[1].send(messages[0] + messages[3])
            await asyncio.sleep(0.05)
            holds[1].set()
            assert [(await kept[1].answer()).status for _ in range(3)] == [200, 409, 409]
            assert begun() == 4
            gate.set()

    run(main(), 40)


def test_disabled_nodes_stay_disabled_across_upgrades_and_on_both_admin_addresses(tmp_path: Path) -> None:
    async def main() -> None:
        async with fleet(tmp_path) as f:
            a, _ = f.nodes

            async def reached(times: int = 30) -> bool:
                """Returns whether one of `times` requests reaches node `a`."""
                before, client = len(a.seen), await f.client()
                for i in range(times):
                    client.send(request(path=f"/api/k{i}"))
                    assert (await client.answer()).status == 200
                client.writer.close()
                return len(a.seen) > before

            first = await f.start()
            assert await reached()
            assert await f.command(first, "disable-server s-0") == "OK\n"
            assert not await reached()
            second = await f.start()
            assert not await reached()
            assert await f.command(first, "enable-server s-0") == "OK\n"  # at the old process, while it runs
            for _ in range(100):
                if "svc_pool_ejected 0" in await f.command(second, "show-stat"):
                    break
            assert await reached(100)
            assert await f.command(second, "disable-server s-0") == "OK\n"
            for _ in range(100):
                if "svc_pool_ejected 1" in await f.command(first, "show-stat"):
                    break
            else:
                raise AssertionError("the old process did not get the command")
            await f.end(first)
            third = await f.start()
            await f.end(second)
            assert not await reached()
            assert await f.command(third, "disable-server nobody") == "ERR no cache node has that id\n"
            assert await f.command(third, "enable-server s-0") == "OK\n" and await reached(100)

    run(main(), 40)


@pytest.mark.parametrize("dies", ["new", "old", "old, before the new one is ready"])
def test_when_one_process_dies_the_other_serves(tmp_path: Path, dies: str) -> None:
    async def main() -> None:
        async with fleet(tmp_path) as f:
            first = await f.start()
            if dies.startswith("old,"):
                following = await f.spawn()
                await until(lambda: f.processes[following].returncode is None)
                log = await f.end(first)  # whether or not it has handed over by then
                assert "Traceback" not in log
                await f.ready(following)
                survivor = following
            else:
                following = await f.start()
                await f.end(first if dies == "old" else following, signal.SIGKILL)
                survivor = following if dies == "old" else first
            client = await f.client()
            for _ in range(20):
                client.send(request())
                assert (await client.answer()).status == 200
            assert await f.command(survivor, "ready") == "OK\n"
            await f.start()  # the survivor can hand over in its turn
            await f.end(survivor)
            client.send(request())
            assert (await client.answer()).status == 200

    run(main(), 40)


async def connect_as_new(f: Fleet) -> socket.socket:
    """Returns a connection to the old process, on which the test plays the new one."""
    s = wire.connect(f.path(), 2)
    assert s is not None
    return s


@pytest.mark.parametrize("step", ["connected", "hello", "garbled", "other version", "offer", "take", "go"])
def test_the_old_process_goes_on_when_the_new_one_ends_at_any_step(tmp_path: Path, step: str) -> None:
    async def main() -> None:
        async with fleet(tmp_path) as f:
            await f.start()
            idle = await f.client()
            idle.send(request())
            assert (await idle.answer()).status == 200
            s = await connect_as_new(f)
            if step == "garbled":
                s.send(b"{")
            elif step != "connected":
                wire.send(s, {"t": "hello", "version": VERSION + (step == "other version")})
            if step in ("offer", "take", "go"):
                received = await asyncio.to_thread(wire.receive, s)
                assert received is not None and received[0]["t"] == "offer" and len(received[1]) == 1
                wire.close_descriptors(received[1])
            if step in ("take", "go"):
                wire.send(s, {"t": "take"})
            if step == "go":
                while (received := await asyncio.to_thread(wire.receive, s)) and received[0]["t"] != "go":
                    pass
            if step == "other version":
                received = await asyncio.to_thread(wire.receive, s)
                assert received is not None and received[0] == {"t": "no", "why": "another version"}
            s.close()
            for _ in range(100):  # it accepts again once it has noticed the end
                client = await f.client()
                client.send(request())
                assert (await client.answer()).status == 200
                client.writer.close()
            await f.start()

    run(main(), 40)


def test_a_second_new_process_exits_while_a_handover_is_under_way(tmp_path: Path) -> None:
    async def main() -> None:
        async with fleet(tmp_path) as f:
            await f.start()
            s = await connect_as_new(f)
            wire.send(s, {"t": "hello", "version": VERSION})
            await asyncio.to_thread(wire.receive, s)
            second = f.processes[await f.spawn()]
            assert second.stderr is not None
            log = await second.stderr.read()
            assert await second.wait() == 2 and b"another new process" in log and log.count(b"\n") == 1
            s.close()

    run(main(), 40)


def test_a_second_process_that_does_not_fit_into_memory_leaves_the_first_one_serving(tmp_path: Path) -> None:
    async def main() -> None:
        async with fleet(tmp_path) as f:
            f.memory_mb = 32
            await f.start()
            second = f.processes[await f.spawn()]
            assert second.stderr is not None
            log = await second.stderr.read()
            assert await second.wait() == 2 and b"has no room" in log and log.count(b"\n") == 1
            client = await f.client()
            client.send(request())
            assert (await client.answer()).status == 200

    run(main(), 40)


def test_two_processes_of_an_upgrade_share_their_memory(tmp_path: Path) -> None:
    async def main() -> None:
        async with fleet(tmp_path) as f:
            f.memory_mb = 64
            await f.start()
            held = await f.client()
            held.send(request()[:-2])  # the old process waits for the rest of it
            second = await f.start()
            name, others = "svc_memory_other_processes_bytes ", 0
            for _ in range(200):
                text = await f.command(second, "show-stat")
                others = int(text.partition(name)[2].partition("\n")[0])
                if others > 10 << 20:
                    break
                await asyncio.sleep(0.01)
            assert others > 10 << 20

    run(main(), 40)


@pytest.mark.parametrize(
    "situation", ["no TMPDIR", "no such folder", "stale", "a file", "a deep folder", "mute"]
)
def test_a_process_starts_alone_without_a_channel(tmp_path: Path, situation: str) -> None:
    async def main() -> None:
        async with fleet(tmp_path) as f:
            if situation == "no TMPDIR":
                f.env["TMPDIR"] = ""
            elif situation == "no such folder":
                f.env["TMPDIR"] += "/none"
            elif situation == "a deep folder":
                deep = Path(f.env["TMPDIR"], *["d" * 40] * 5)
                deep.mkdir(parents=True)
                f.env["TMPDIR"] = str(deep)
            path = Path(f.env["TMPDIR"]) / f"magpiefront-127.0.0.1-{f.port}.sock"
            if situation == "a file":
                path.write_text("not a socket")
            elif situation in ("stale", "mute"):
                s = wire.listen(path)
                if situation == "stale":
                    s.close()  # its file remains
            first = await f.start()
            await f.start()  # with SO_REUSEPORT, if the socket can't be handed over
            assert f.processes[first].returncode is None
            client = await f.client()
            client.send(request())
            assert (await client.answer()).status == 200
            client.writer.close()
            log = await f.end(first)
            if situation in ("no TMPDIR", "no such folder"):
                assert "handed over" not in log
            else:
                assert "handed over" in log and path.stat().st_mode & 0o777 == 0o600
            client = await f.client()
            client.send(request())
            first_line, _, _ = await read_message(client.reader)
            assert first_line == "HTTP/1.1 200 OK"

    run(main(), 40)


@pytest.mark.parametrize(
    "script",
    ["closes", "garbled", "no", "other version", "no socket", "silent", "offer", "offer, silent",
     "offer, no go", "offer, a state of noise", "offer, half a view", "offer, descriptors without end"],
)  # fmt: skip
def test_the_new_process_serves_when_the_old_one_fails_at_any_step(tmp_path: Path, script: str) -> None:
    async def main() -> None:
        async with fleet(tmp_path) as f:
            server = wire.listen(f.path())
            server.setblocking(True)
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            listener.bind(("127.0.0.1", f.port))
            listener.listen(64)
            waiting = await f.client()  # in the accept queue of the old process's socket
            waiting.send(request(deadline="20"))

            def play_old() -> None:
                """Plays the old process, up to the step at which it fails."""
                s, _ = server.accept()
                hello = wire.receive(s)
                assert hello is not None and hello[0]["t"] == "hello"
                if script == "garbled":
                    s.send(b"[1]")
                elif script in ("no", "other version", "no socket"):
                    offer = {"t": "offer", "version": VERSION + (script == "other version")}
                    wire.send(s, {"t": "no", "why": "ending"} if script == "no" else offer)
                elif script == "silent":
                    s.settimeout(5)
                    s.recv(1)
                elif script.startswith("offer"):
                    wire.send(s, {"t": "offer", "version": VERSION}, [listener.fileno()])
                    if script != "offer":
                        assert wire.receive(s) == ({"t": "take"}, [])
                    if script == "offer, silent":
                        s.settimeout(5)
                        s.recv(1)
                    elif script == "offer, no go":
                        wire.send(s, {"t": "part", "text": "{"})
                    elif script == "offer, descriptors without end":
                        wire.send(s, {"t": "clients"}, [listener.fileno()] * 4)
                    elif script != "offer":
                        view = {"version": 1, "servers": {}}
                        text = "{" if "noise" in script else json.dumps({"list": [], "view": view})
                        wire.send(s, {"t": "part", "text": text})
                        wire.send(s, {"t": "go"})
                s.close()

            playing = asyncio.create_task(asyncio.to_thread(play_old))
            number = await f.start()
            await playing
            server.close()
            listener.close()
            client = await f.client()
            client.send(request())
            assert (await client.answer()).status == 200
            if script.startswith("offer"):
                assert (await waiting.answer()).status == 200  # the accept queue was not lost
            waiting.writer.close()
            client.writer.close()
            log = await f.end(number)
            assert "Traceback" not in log
            assert ("can't be read" in log) == (script == "offer, half a view")

    run(main(), 40)


def test_processes_of_other_users_are_refused(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "there.sock"
    s = wire.listen(path)
    assert path.stat().st_mode & 0o777 == 0o600
    c = wire.connect(path, 1)
    assert c is not None and wire.is_same_user(c)
    c.close()
    monkeypatch.setattr(os, "getuid", lambda: os.stat(path).st_uid + 1)
    assert wire.connect(path, 1) is None
    s.close()


def test_reloads_during_an_upgrade_and_metrics_across_it(tmp_path: Path) -> None:
    async def main() -> None:
        async with fleet(tmp_path) as f:
            first = await f.start()
            loads = [asyncio.ensure_future(f.load(i)) for i in range(6)]
            await until(lambda: f.statuses[200] > 30)
            second = await f.spawn()
            for _ in range(5):
                f.processes[first].send_signal(signal.SIGHUP)
                await asyncio.sleep(0.02)
            await f.ready(second)
            for number in (first, second):
                f.processes[number].send_signal(signal.SIGHUP)

            async def metrics(number: int) -> dict[str, int]:
                lines = (await f.command(number, "show-stat")).splitlines()
                assert lines[0] == "OK" and lines[-1] == "END"
                return {name: int(value) for name, value in (line.rsplit(" ", 1) for line in lines[1:-1])}

            before = f.statuses[200]
            while f.statuses[200] < before + 100:
                shown = [await metrics(n) for n in (first, second)]
                assert sum(t["svc_active"] for t in shown) <= 6
            f.running = False
            await asyncio.gather(*loads)
            shown = [await metrics(n) for n in (first, second)]
            served = sum(v for t in shown for name, v in t.items() if name.startswith("svc_ok"))
            assert served == f.statuses[200] and f.dropped == 0  # by one process each
            assert shown[0]["svc_config_applied"] >= 1 and shown[1]["svc_config_applied"] == 1
            assert "Traceback" not in await f.end(first)

    run(main(), 40)
