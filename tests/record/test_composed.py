"""The record stage in front of the cache and the gateway, composed from an operator's file."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

from magpiefront.interface import Outcome
from magpiefront.net import config
from magpiefront.net.client_memory import ClientMemory
from magpiefront.net.discovery import Discovery
from magpiefront.net.front import Front
from magpiefront.net.request import Request
from magpiefront.operator.compose import Composition, create_proxy, load_and_check
from magpiefront.record.rows import State
from magpiefront.record.sqlite import open_file, rows
from standins.world import free_port
from tests.record.sockets import GRADES, FakeAttempt, report
from tests.sockets import PROXY_SETTINGS, Client, Node, ok, run, until

FILE = """
[site]
name = "west"
[gateway]
listen = "127.0.0.1:{port}"
[gateway.sites.west]
[gateway.sites.east]
weight = 0.0
peers = ["127.0.0.1:9"]
[gateway.tls]
plain = true
[caching]
[record]
[record.sqlite]
path = "r.sqlite"
"""


def refuse_after(outcome: Outcome) -> Callable[[Request], None]:
    """Returns a `submit` that refuses a request after one attempt, as the host does if the Router gives
    up."""

    def submit(r: Request) -> None:
        r.execution.attempts.append(FakeAttempt(outcome))
        r.responder.answer(r, 503)

    return submit


def test_a_report_passes_all_stages_with_its_fields(tmp_path: Path) -> None:
    stored = {"count": 0}

    async def handler(seen: Any, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if seen.line.startswith("PUT"):
            stored["count"] += 1
            writer.write(ok(b"held", "X-Where: here\r\n"))
        else:
            writer.write(ok(b"%d" % stored["count"], "Cache-Control: max-age=600\r\n"))

    async def main() -> None:
        loop = asyncio.get_running_loop()
        node = Node("s", handler)
        await node.start()
        file = tmp_path / "operator.toml"
        file.write_text(FILE.format(port=free_port()))
        operator = load_and_check(file)
        address = f"127.0.0.1:{node.port}"
        instances = [{"instanceId": f"s-{i}", "hostPort": address, "lifecycle": "Ready"} for i in range(4)]
        permissions = {**PROXY_SETTINGS["permissions"], "probes": False}
        read = config.read({
            "name": "w", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "ab",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"generation": 1, "reset": True, "instances": instances},
            "settings": {**PROXY_SETTINGS, "grades": GRADES, "permissions": permissions},
        }, {})  # fmt: skip
        proxy = create_proxy(read, loop, operator)
        sent_fields: list[bytes] = []
        submit = proxy.submit

        def recording_submit(request: Request) -> None:
            sent_fields.append(request.extra_fields.lower())
            submit(request)

        proxy.submit = recording_submit  # type: ignore[method-assign]
        composition = Composition(proxy, proxy, operator, 1, ClientMemory(50 << 20))
        front = Front(proxy, composition.first_stage, ClientMemory(50 << 20), 500)
        composition.prepare_front(front)
        Discovery(proxy, read.discovery, 1).listing.apply(read.initial_list, stale=True)
        await composition.start()
        composition.begin_recovery()
        front.listen("127.0.0.1", 0)
        assert front.socket is not None
        client = Client(*await asyncio.open_connection("127.0.0.1", front.socket.getsockname()[1]))

        async def ask(data: bytes) -> Any:
            client.send(data)
            return await client.answer()

        level = report(kind="level-read", method="GET", body=b"", key=None)
        for _ in range(2):
            assert (await ask(level.replace(b"Req-Id: ", b"Req-Id: x"))).body == b"0"
        assert len(node.seen) == 1
        with_field = report().replace(b"\r\nContent-Length", b"\r\nX-Gauge: 7\r\nContent-Length")
        answer = await ask(with_field)
        assert answer.body == b"held" and answer.headers["x-where"] == "here"
        assert node.seen[1].headers["x-gauge"] == "7" and node.seen[1].headers["idempotency-key"] == "k1"
        assert sent_fields[-1].count(b"x-gauge:") == sent_fields[-1].count(b"idempotency-key:") == 1
        assert b"req-" not in sent_fields[-1] and sent_fields[-1].count(b"via:") == 1
        repeat = await ask(report())
        assert repeat.body == b"held" and repeat.headers["x-where"] == "here" and len(node.seen) == 2
        # The report has invalidated the cached answer.
        assert (await ask(level.replace(b"Req-Id: ", b"Req-Id: y"))).body == b"1"
        db = open_file(tmp_path / "r.sqlite")
        (row,) = rows(db)
        db.close()
        assert row.state is State.CONFIRMED and b"X-Gauge: 7" in row.more
        # The outcome of each attempt reaches the store, although the cache sends a request of its own.
        for key, outcome, status, row_count in (("k2", Outcome.ERROR, 409, 1), ("k3", Outcome.FULL, 503, 0)):
            proxy.submit = refuse_after(outcome)  # type: ignore[method-assign,assignment]
            assert (await ask(report(key))).status == status
            db = open_file(tmp_path / "r.sqlite")
            assert [r.told for r in rows(db) if r.id.key == key.encode()] == [True] * row_count
            db.close()
        await until(lambda: not composition.busy)
        composition.stop()
        front.stop_accepting()
        client.writer.close()
        node.stop()

    run(main())
