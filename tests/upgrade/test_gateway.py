"""Handover of a gateway that is under load from the other site: its listener, links and store of record."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from pathlib import Path

from standins.client import ClientRequest
from standins.world import free_port
from tests.gateway.sites import SETTINGS, TestSite, gateway_settings, make_site, run, stop_site, until
from tests.sockets import Node, ok
from tests.upgrade.test_process import Fleet, fleet

OPERATOR_FILE = """[site]
name = "west"
[gateway]
listen = "127.0.0.1:{port}"
[gateway.sites.west]
prefixes = ["w-"]
[gateway.sites.east]
prefixes = ["e-"]
peers = ["127.0.0.1:9"]
[gateway.tls]
plain = true
[record]
[record.sqlite]
path = "r.sqlite"
"""


async def slow_answer(seen: object, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(0.03)
    writer.write(ok(b"held"))


async def east_of(port: int) -> TestSite:
    """Returns the other site, in this process, linked to the gateway at that port."""
    east = await make_site("east", gateway_settings("east", {"west": ("127.0.0.1", port)}), 7)
    east.gateway._open_missing_links()
    await until(lambda: east.up, "the link")
    return east


async def send_requests(east: TestSite, number: int, asked: list[ClientRequest], running: list[bool]) -> None:
    """Sends reads and reports in turn while `running` is not empty, and records them in `asked`."""
    n = 0
    while running:
        n += 1
        kind = ("level-read", "field-report")[n % 2]
        name = f"c{number}-{n}"
        method, once = ("PUT", name) if kind == "field-report" else ("GET", "")
        a = ClientRequest(name, kind, "east", f"w-{n % 40}", method, 4.0, effect=once, idempotency_key=once)
        asked.append(a)
        await east.client.send(a)


async def upgrade(f: Fleet, old: int) -> int:
    """Starts the next process and ends the old one; returns the number of the new one."""
    new = await f.start()
    log = await f.end(old)
    assert "handed over" in log
    return new


def test_upgrades_of_a_gateway_neither_lose_nor_repeat_requests(tmp_path: Path) -> None:
    async def main() -> None:
        node, port = Node("s-0", slow_answer), free_port()
        async with fleet(tmp_path, node, Node("s-1", slow_answer)) as f:
            f.settings, f.operator = SETTINGS, OPERATOR_FILE.format(port=port)
            number = await f.start()
            east = await east_of(port)
            asked: list[ClientRequest] = []
            running = [True]
            tasks = [asyncio.create_task(send_requests(east, n, asked, running)) for n in range(6)]
            for _ in range(4):
                await asyncio.sleep(0.3)
                number = await upgrade(f, number)
            await asyncio.sleep(0.2)
            running.clear()
            await asyncio.gather(*tasks)
            assert Counter(a.status for a in asked) == {200: len(asked)} and len(asked) > 60
            ran = Counter(s.headers["idempotency-key"] for n in f.nodes for s in n.seen if s.line[0] == "P")
            assert set(ran.values()) == {1} and len(ran) == sum(bool(a.idempotency_key) for a in asked)
            assert east.count("crossed") == len(asked)
            await stop_site(east)

    run(main(), 60)


def test_the_old_gateway_accepts_again_when_the_new_one_is_killed(tmp_path: Path) -> None:
    async def main() -> None:
        port = free_port()
        async with fleet(tmp_path, Node("s-0", slow_answer), Node("s-1", slow_answer)) as f:
            f.settings, f.operator = SETTINGS, OPERATOR_FILE.format(port=port)
            first = await f.start()
            east = await east_of(port)
            second = await f.start()
            await f.end(second, signal.SIGKILL)
            asked: list[ClientRequest] = []
            running = [True]
            task = asyncio.create_task(send_requests(east, 0, asked, running))
            await until(lambda: sum(a.status == 200 for a in asked) > 10, "answers by the first")
            third = await f.start()  # takes over from the first
            await f.end(first)
            count = sum(a.status == 200 for a in asked)
            await until(lambda: sum(a.status == 200 for a in asked) > count + 10, "answers by the third")
            running.clear()
            await task
            assert f.processes[third].returncode is None
            await stop_site(east)

    run(main(), 60)


def test_a_new_gateway_with_an_invalid_file_leaves_the_old_one_unaffected(tmp_path: Path) -> None:
    async def main() -> None:
        port = free_port()
        async with fleet(tmp_path, Node("s-0", slow_answer)) as f:
            f.settings, f.operator = SETTINGS, OPERATOR_FILE.format(port=port)
            await f.start()
            east = await east_of(port)
            f.operator = OPERATOR_FILE.format(port=port) + "[nothing]\n"
            bad = await f.spawn()
            assert await f.processes[bad].wait() == 2
            a = ClientRequest(
                "r1", "field-report", "east", "w-1", "PUT", 4.0, effect="k", idempotency_key="k"
            )
            await east.client.send(a)
            assert a.status == 200 and east.up
            await stop_site(east)

    run(main(), 60)
