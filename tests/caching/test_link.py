"""Caching and the gateway together, as an operator's file composes them: fields, statuses, voiding."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from magpiefront.gateway import wire
from magpiefront.interface import Repeat
from magpiefront.net import config
from magpiefront.net.bodies import Bodies
from magpiefront.net.discovery import Discovery
from magpiefront.net.front import Front
from magpiefront.net.proxy import Proxy
from magpiefront.net.request import Request
from magpiefront.operator.compose import Composition, check, host
from standins.world import free_port
from tests.caching.sockets import GRADES
from tests.sockets import INFO, Client, Handler, Node, ok, run, until

NUMBER = 0


@dataclass
class Site:
    composition: Composition
    proxy: Proxy
    front: Front
    node: Node
    port: int

    async def ask(self, line: str, more: str = "", kind: str = "level-read", body: bytes = b"") -> Any:
        global NUMBER
        NUMBER += 1
        client = Client(*await asyncio.open_connection("127.0.0.1", self.port))
        sized = f"Content-Length: {len(body)}\r\n" if body else ""
        client.send(
            f"{line} HTTP/1.1\r\nHost: x\r\nReq-Id: l{NUMBER}\r\nReq-Kind: {kind}\r\nReq-Deadline: 8\r\n"
            f"Idempotency-Key: k{NUMBER}\r\n{sized}{more}\r\n".encode()
            + body
        )
        if line.startswith("HEAD"):
            head = (await client.reader.readuntil(b"\r\n\r\n")).decode()
            client.writer.close()
            return head
        answer = await client.answer()
        client.writer.close()
        return answer


@asynccontextmanager
async def two(
    folder: Path, handler: Handler, caching: str = "plain_servers = true"
) -> AsyncIterator[dict[str, Site]]:
    ports = {n: free_port() for n in ("west", "east")}
    made: dict[str, Site] = {}
    loop = asyncio.get_running_loop()
    for own, other in (("west", "east"), ("east", "west")):
        node = Node(f"{own}-s", handler)
        await node.start()
        file = folder / f"{own}.toml"
        file.write_text(f"""
[site]
name = "{own}"
[gateway]
listen = "127.0.0.1:{ports[own]}"
[gateway.sites.{own}]
prefixes = ["{own[0]}-"]
[gateway.sites.{other}]
prefixes = ["{other[0]}-"]
peers = ["127.0.0.1:{ports[other]}"]
[gateway.tls]
plain = true
[gateway.link]
ping_interval = "2s"
ping_timeout = "20s"
[caching]
{caching}
""")
        operator = check(file)
        places = [
            {"instanceId": f"s-{i}", "hostPort": f"127.0.0.1:{node.port}", "lifecycle": "Ready"}
            for i in range(4)
        ]
        read = config.read({
            "name": own, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "ab",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"generation": 1, "reset": True, "instances": places},
            "settings": {**INFO, "grades": GRADES, "permissions": {**INFO["permissions"], "probes": False,
                                                                  "connectTimeoutUs": 2_000_000}},
        }, {})  # fmt: skip
        proxy = host(read, loop, operator)
        composition = Composition(proxy, proxy, operator, 1)
        front = Front(proxy, composition.first, Bodies(50 << 20), 500)
        composition.prepare(front)
        Discovery(proxy, read.discovery, 1).listing.take(read.known, stale=True)
        await composition.start()
        front.listen("127.0.0.1", 0)
        assert front.socket is not None
        made[own] = Site(composition, proxy, front, node, front.socket.getsockname()[1])
    try:
        for site in made.values():
            gateway = site.composition.gateway
            assert gateway is not None
            links = gateway.stage.links
            await until(lambda links=links: all(x.wires() for x in links.values()), "the links")  # type: ignore[misc]
        yield made
    finally:
        for site in made.values():
            site.composition.stop()
            site.front.stop_accepting()
            for c in list(site.front.clients):
                if c.transport is not None:
                    c.transport.abort()
            site.node.stop()


def test_fields_and_statuses_cross_and_what_crossed_is_kept(tmp_path: Path) -> None:
    async def handler(seen: Any, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if "none" in seen.line:
            writer.write(b"HTTP/1.1 404 Not Found\r\nX-Why: gone\r\nContent-Length: 4\r\n\r\ngone")
        elif seen.headers.get("if-none-match") == '"1"':
            writer.write(b'HTTP/1.1 304 Not Modified\r\nETag: "1"\r\nCache-Control: max-age=60\r\n\r\n')
        elif seen.line.startswith("HEAD"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 777\r\n\r\n")
        elif "long" in seen.line:
            writer.write(ok(b"z" * 200_000, "Cache-Control: max-age=60\r\n"))
        else:
            life = 0 if "stale" in seen.line else 60
            writer.write(
                ok(
                    b"level",
                    f'Cache-Control: max-age={life}\r\nETag: "1"\r\nX-A: 1\r\nX-A: 2\r\nVary: Accept\r\n',
                )
            )

    async def main() -> None:
        async with two(tmp_path, handler) as sites:
            west, east = sites["west"], sites["east"]
            for _ in range(2):
                got = await west.ask("GET /api/e-1", "Accept: a\r\nX-Ask: 1\r\n")
                assert got.status == 200 and got.body == b"level"
            assert len(east.node.seen) == 1 and not west.node.seen
            seen = east.node.seen[0].headers
            assert seen["accept"] == "a" and seen["x-ask"] == "1" and seen["via"] == "1.1 lineshift"
            assert "hit" in got.headers["cache-status"] and got.headers["etag"] == '"1"'
            got = await west.ask("GET /api/e-stale")
            got = await west.ask("GET /api/e-stale")
            assert got.body == b"level" and "fwd-status=304" in got.headers["cache-status"]
            got = await west.ask("GET /api/e-none")
            assert (got.status, got.body, got.headers["x-why"]) == (404, b"gone", "gone")
            head = await west.ask("HEAD /api/e-head")
            assert " 200 " in head and "Content-Length: 777" in head
            for _ in range(2):
                got = await west.ask("GET /api/e-long")
                assert len(got.body) == 200_000
            assert "hit" in got.headers["cache-status"]
            got = await west.ask("POST /api/e-9", kind="field-report", body=b"r")
            assert got.status == 200 and east.node.seen[-1].line.startswith("POST")

    run(main(), 40)


def test_a_report_voids_what_either_site_keeps_of_its_gauge(tmp_path: Path) -> None:
    values = {"n": 0}

    async def handler(seen: Any, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if seen.line.startswith("PUT"):
            values["n"] += 1
            writer.write(ok(b"held"))
        else:
            writer.write(ok(b"%d" % values["n"], "Cache-Control: max-age=600\r\n"))

    async def main() -> None:
        async with two(tmp_path, handler, "") as sites:
            west, east = sites["west"], sites["east"]
            for site in (west, east):
                assert (await site.ask("GET /api/e-1")).body == b"0"
            # It is asked in the west and runs in the east, whose own clients have a copy.
            assert (await west.ask("PUT /api/e-1", kind="field-report", body=b"r")).body == b"held"
            for site in (west, east):
                assert (await site.ask("GET /api/e-1")).body == b"1"
            assert values["n"] == 1

    run(main(), 40)


def test_fields_of_a_crossing_request_as_http2_has_them() -> None:
    class Nobody:
        pass

    r = Request(Nobody())  # type: ignore[arg-type]
    r.method, r.target = b"GET", b"/k"
    r.headers = {b"req-id": b"1", b"req-kind": b"read"}
    r.more = (
        b"Idempotency-Key: k\r\nX-A: 1\r\nx-a: 2\r\nContent-Length: 3\r\nGW-Site: evil\r\nConnection: x\r\n"
    )
    told = wire.request_fields(r, "east", False, 5, Repeat.SAFE, ("west",), 0, True)
    assert [f for f in told if f[0] == b"x-a"] == [(b"x-a", b"1"), (b"x-a", b"2")]
    assert not any(n in (b"connection", b"gw-site", b"content-length") for n, _ in told)
    assert wire.read_request([(n, v) for n, v in told]).more == b"x-a: 1\r\nx-a: 2\r\n"
    for bad in ((b"x-a", b"1\r\nEvil: 1"), (b"x a", b"1"), (b"x-a", b"\0")):
        try:
            wire.read_request([*told, bad])
        except wire.Unreadable:
            continue
        raise AssertionError(bad)
    bare = wire.request_fields(r, "east", False, 5, Repeat.SAFE, ("west",), 0)
    assert not any(n == b"x-a" for n, _ in bare)
