"""Tests of the whole process: its start, SIGHUP, SIGTERM and invalid configurations."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path
from typing import Any

import pytest

from standins.world import free_port
from tests.sockets import PROXY_SETTINGS, Client, DiscoveryServer, Node, gated, request, run, until


async def start(
    tmp_path: Path, nodes: list[Node], discovery: DiscoveryServer, port: int, deadline_us: int = 1_000_000
) -> asyncio.subprocess.Process:
    grades = [{**g, "giveUpUs": deadline_us} for g in PROXY_SETTINGS["grades"]]
    config = {
        "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery.port}", "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {**PROXY_SETTINGS, "grades": grades},
        "known": {"generation": 1, "reset": True, "instances": [n.entry() for n in nodes]},
    }  # fmt: skip
    (tmp_path / "config.json").write_text(json.dumps(config))
    env = {**os.environ, "LB_CONFIG": str(tmp_path / "config.json"), "LB_NAME": "n0",
           "LB_LISTEN": f"127.0.0.1:{port}", "LB_DISCOVERY": f"127.0.0.1:{discovery.port}"}  # fmt: skip
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "magpiefront", env=env, stderr=asyncio.subprocess.PIPE
    )
    for _ in range(500):
        try:
            client = Client(*await asyncio.open_connection("127.0.0.1", port))
            client.send(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await client.answer()).status == 200
            client.writer.close()
            return process
        except OSError:
            await asyncio.sleep(0.01)
    raise AssertionError("not ready")


def test_sigterm_under_load_loses_no_request_and_the_port_is_free_at_once(tmp_path: Path) -> None:
    async def main() -> None:
        gate = asyncio.Event()

        node, discovery, port = Node("s-0", gated(gate)), DiscoveryServer(), free_port()
        await node.start()
        await discovery.start()
        process = await start(tmp_path, [node], discovery, port)

        async def connect() -> Client:
            return Client(*await asyncio.open_connection("127.0.0.1", port))

        idle, busy, slow_head = await connect(), [await connect() for _ in range(20)], await connect()
        for c in busy:
            c.send(request(deadline="2.5", kind="once"))
        split = request(deadline="2.5", kind="once")
        slow_head.send(split[:40])
        await until(lambda: len(node.seen) == 20)
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        late = await connect()  # clients keep opening connections for a while
        late.send(request(deadline="2", kind="once"))
        await until(lambda: len(node.seen) == 21)
        process.send_signal(signal.SIGTERM)  # a second SIGTERM changes nothing
        assert await idle.ended() == b""
        slow_head.send(split[40:])
        await until(lambda: len(node.seen) == 22)
        gate.set()
        for c in [*busy, late, slow_head]:
            answer = await c.answer()
            assert answer.status == 200 and answer.headers["connection"] == "close"
            assert await c.ended() == b""
            c.writer.close()
        assert await process.wait() == 0
        assert process.stderr is not None
        log = (await process.stderr.read()).splitlines()
        assert not [line for line in log if not line.startswith((b"event=list ", b"event=shutdown "))]
        again = await start(tmp_path, [node], discovery, port)
        again.send_signal(signal.SIGTERM)
        assert await again.wait() == 0
        node.stop()

    run(main())


def test_sighup_changes_the_discovery_address_and_survives_a_bad_file(tmp_path: Path) -> None:
    """Guards against a process that ends on SIGHUP, or that keeps using a discovery server about to close."""

    async def main() -> None:
        old, new, port = DiscoveryServer(), DiscoveryServer(), free_port()
        nodes = [Node(name, None) for name in ("s-0", "s-1")]
        servers: list[Node | DiscoveryServer] = [old, new, *nodes]
        for server in servers:
            await server.start()
        process = await start(tmp_path, nodes[:1], old, port)
        client = Client(*await asyncio.open_connection("127.0.0.1", port))
        path = tmp_path / "config.json"
        config = json.loads(path.read_text())

        async def served_by(node: Node) -> None:
            before = len(node.seen)
            client.send(request())
            assert (await client.answer()).status == 200 and len(node.seen) == before + 1

        await served_by(nodes[0])
        await until(lambda: len(old.calls) == 1)
        path.write_text(json.dumps({**config, "discovery": f"127.0.0.1:{new.port}"}))
        process.send_signal(signal.SIGHUP)
        await until(lambda: new.calls, "a call at the new address")
        assert new.calls[0].startswith("GET /v1/endpoints ")  # the whole list
        await served_by(nodes[0])  # the nodes of the old list stay in use meanwhile
        new.change(3, nodes[1].entry(), reset=True)
        await until(lambda: len(new.calls) == 2)
        assert "after=3&" in new.calls[1]
        await served_by(nodes[1])
        for bad in (
            "{",
            json.dumps({**config, "settings": None}),
            json.dumps({**config, "discovery": "here"}),
        ):
            path.write_text(bad)
            process.send_signal(signal.SIGHUP)
            assert process.stderr is not None
            while (line := await process.stderr.readline()).startswith(b"event="):
                pass
            assert b"reload: " in line
            await served_by(nodes[1])
        grades = [{**PROXY_SETTINGS["grades"][0], "name": "fresh"}]
        path.write_text(json.dumps({**config, "discovery": f"127.0.0.1:{old.port}",
                                    "settings": {**PROXY_SETTINGS, "grades": grades}}))  # fmt: skip
        process.send_signal(signal.SIGHUP)
        await until(lambda: len(old.calls) == 2)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        for node in nodes:
            node.stop()

    run(main())


def test_an_idle_proxy_ends_soon_after_sigterm(tmp_path: Path) -> None:
    async def main() -> None:
        discovery, port = DiscoveryServer(), free_port()
        await discovery.start()
        process = await start(tmp_path, [], discovery, port)
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), 1.5) == 0

    run(main())


BASE_CONFIG: dict[str, Any] = {
    "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": PROXY_SETTINGS,
}  # fmt: skip


@pytest.mark.parametrize(
    ("given", "expected"),
    [
        (None, "LB_CONFIG"),
        ("{", "LB_CONFIG"),
        ("[]", "LB_CONFIG"),
        ({**BASE_CONFIG, "listen": None}, "LB_LISTEN is missing"),
        ({**BASE_CONFIG, "listen": "localhost:80"}, "LB_LISTEN"),
        ({**BASE_CONFIG, "listen": "127.0.0.1:x"}, "LB_LISTEN"),
        ({**BASE_CONFIG, "discovery": "127.0.0.1"}, "LB_DISCOVERY"),
        ({**BASE_CONFIG, "settings": None}, "settings"),
        ({**BASE_CONFIG, "settings": []}, "settings"),
        ({**BASE_CONFIG, "settings": {**PROXY_SETTINGS, "grades": []}}, "classes"),
        ({**BASE_CONFIG, "settings": {**PROXY_SETTINGS, "permissions": {"maxAttempts": 3, "maxOpen": "all"}}},
         "maxOpen"),
        ({**BASE_CONFIG, "limits": {"sockets": 1}}, "sockets"),
        ({**BASE_CONFIG, "listen": "taken"}, "can't listen"),
    ],
)  # fmt: skip
def test_invalid_configuration_is_one_line_and_exit_2(given: Any, expected: str, tmp_path: Path) -> None:
    async def main() -> None:
        taken = socket.socket()
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        nonlocal given
        if isinstance(given, dict) and given["listen"] == "taken":
            given = {**given, "listen": f"127.0.0.1:{taken.getsockname()[1]}"}
        path = tmp_path / "config.json"
        if given is not None:
            path.write_text(given if isinstance(given, str) else json.dumps(given))
        env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "magpiefront", env={**env, "LB_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        _, err = await process.communicate()
        taken.close()
        assert process.returncode == 2 and expected in err.decode()
        assert err.count(b"\n") == 1 and b"Traceback" not in err

    run(main())
