"""The store of record before the cache and the gateway, as an operator's file composes them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

from magpiefront.interface import Outcome
from magpiefront.net import config
from magpiefront.net.bodies import Bodies
from magpiefront.net.discovery import Discovery
from magpiefront.net.front import Front
from magpiefront.net.request import Request
from magpiefront.operator.compose import Composition, check, host
from magpiefront.record.rows import State
from magpiefront.record.sqlite import open_file, rows
from standins.world import free_port
from tests.record.sockets import GRADES, Try, report
from tests.sockets import INFO, Client, Node, ok, run, until

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


def refuses(outcome: Outcome) -> Callable[[Request], None]:
    """After one try, as the host does where the Router gives it up."""

    def take(r: Request) -> None:
        r.effect.attempts.append(Try(outcome))
        r.replies.answer(r, 503)

    return take


def test_a_report_goes_through_all_stages_and_its_fields_with_it(tmp_path: Path) -> None:
    values = {"n": 0}

    async def handler(seen: Any, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if seen.line.startswith("PUT"):
            values["n"] += 1
            writer.write(ok(b"held", "X-Where: here\r\n"))
        else:
            writer.write(ok(b"%d" % values["n"], "Cache-Control: max-age=600\r\n"))

    async def main() -> None:
        loop = asyncio.get_running_loop()
        node = Node("s", handler)
        await node.start()
        file = tmp_path / "operator.toml"
        file.write_text(FILE.format(port=free_port()))
        operator = check(file)
        place = f"127.0.0.1:{node.port}"
        places = [{"instanceId": f"s-{i}", "hostPort": place, "lifecycle": "Ready"} for i in range(4)]
        permissions = {**INFO["permissions"], "probes": False}
        read = config.read({
            "name": "w", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "ab",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"generation": 1, "reset": True, "instances": places},
            "settings": {**INFO, "grades": GRADES, "permissions": permissions},
        }, {})  # fmt: skip
        proxy = host(read, loop, operator)
        taken: list[bytes] = []
        take = proxy.take

        def spy(r: Request) -> None:
            taken.append(r.more.lower())
            take(r)

        proxy.take = spy  # type: ignore[method-assign]
        composition = Composition(proxy, proxy, operator, 1)
        front = Front(proxy, composition.first, Bodies(50 << 20), 500)
        composition.prepare(front)
        Discovery(proxy, read.discovery, 1).listing.take(read.known, stale=True)
        await composition.start()
        composition.begin()
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
        whole = report().replace(b"\r\nContent-Length", b"\r\nX-Gauge: 7\r\nContent-Length")
        answer = await ask(whole)
        assert answer.body == b"held" and answer.headers["x-where"] == "here"
        assert node.seen[1].headers["x-gauge"] == "7" and node.seen[1].headers["idempotency-key"] == "k1"
        assert taken[-1].count(b"x-gauge:") == taken[-1].count(b"idempotency-key:") == 1
        assert b"req-" not in taken[-1] and taken[-1].count(b"via:") == 1
        again = await ask(report())
        assert again.body == b"held" and again.headers["x-where"] == "here" and len(node.seen) == 2
        assert (await ask(level.replace(b"Req-Id: ", b"Req-Id: y"))).body == b"1"  # its copy was voided
        db = open_file(tmp_path / "r.sqlite")
        (held,) = rows(db)
        db.close()
        assert held.state is State.CONFIRMED and b"X-Gauge: 7" in held.more
        # What the host says of each try reaches the store through the cache's own request, too.
        for key, outcome, status, left in (("k2", Outcome.ERROR, 409, 1), ("k3", Outcome.FULL, 503, 0)):
            proxy.take = refuses(outcome)  # type: ignore[method-assign,assignment]
            assert (await ask(report(key))).status == status
            db = open_file(tmp_path / "r.sqlite")
            assert [r.told for r in rows(db) if r.id.key == key.encode()] == [True] * left
            db.close()
        await until(lambda: not composition.busy)
        composition.stop()
        front.stop_accepting()
        client.writer.close()
        node.stop()

    run(main())
