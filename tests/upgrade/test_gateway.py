"""A gateway handed over under load from the other site: its listener, its links, its store of record."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from pathlib import Path

from standins.client import Ask
from standins.world import free_port
from tests.gateway.sites import SETTINGS, TestSite, make_site, run, stop_site, table, until
from tests.sockets import Node, ok
from tests.upgrade.test_process import Fleet, fleet

FILE = """[site]
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


async def slowly(seen: object, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(0.03)
    writer.write(ok(b"held"))


async def east_of(port: int) -> TestSite:
    """The other site, in this process, linked to the gateway at that port."""
    east = await make_site("east", table("east", {"west": ("127.0.0.1", port)}), 7)
    east.gateway._links()
    await until(lambda: east.up, "the link")
    return east


async def load(east: TestSite, number: int, asked: list[Ask], going: list[bool]) -> None:
    n = 0
    while going:
        n += 1
        kind = ("level-read", "field-report")[n % 2]
        name = f"c{number}-{n}"
        method, once = ("PUT", name) if kind == "field-report" else ("GET", "")
        a = Ask(name, kind, "east", f"w-{n % 40}", method, 4.0, effect=once, once=once)
        asked.append(a)
        await east.client.ask(a)


async def upgraded(f: Fleet, old: int) -> int:
    new = await f.start()
    told = await f.end(old)
    assert "handed over" in told
    return new


def test_upgrades_of_a_gateway_lose_and_double_nothing_of_the_other_site(tmp_path: Path) -> None:
    async def main() -> None:
        node, port = Node("s-0", slowly), free_port()
        async with fleet(tmp_path, node, Node("s-1", slowly)) as f:
            f.settings, f.operator = SETTINGS, FILE.format(port=port)
            number = await f.start()
            east = await east_of(port)
            asked: list[Ask] = []
            going = [True]
            tasks = [asyncio.create_task(load(east, n, asked, going)) for n in range(6)]
            for _ in range(4):
                await asyncio.sleep(0.3)
                number = await upgraded(f, number)
            await asyncio.sleep(0.2)
            going.clear()
            await asyncio.gather(*tasks)
            assert Counter(a.status for a in asked) == {200: len(asked)} and len(asked) > 60
            ran = Counter(s.headers["idempotency-key"] for n in f.nodes for s in n.seen if s.line[0] == "P")
            assert set(ran.values()) == {1} and len(ran) == sum(bool(a.once) for a in asked)
            assert east.count("crossed") == len(asked)
            await stop_site(east)

    run(main(), 60)


def test_a_next_gateway_that_dies_leaves_the_listener_to_the_one_before(tmp_path: Path) -> None:
    async def main() -> None:
        port = free_port()
        async with fleet(tmp_path, Node("s-0", slowly), Node("s-1", slowly)) as f:
            f.settings, f.operator = SETTINGS, FILE.format(port=port)
            first = await f.start()
            east = await east_of(port)
            second = await f.start()
            await f.end(second, signal.SIGKILL)
            asked: list[Ask] = []
            going = [True]
            task = asyncio.create_task(load(east, 0, asked, going))
            await until(lambda: sum(a.status == 200 for a in asked) > 10, "the old one")
            third = await f.start()  # and the next one takes over after all
            await f.end(first)
            count = sum(a.status == 200 for a in asked)
            await until(lambda: sum(a.status == 200 for a in asked) > count + 10, "the third one")
            going.clear()
            await task
            assert f.processes[third].returncode is None
            await stop_site(east)

    run(main(), 60)


def test_a_next_one_whose_file_is_bad_leaves_all_as_it_was(tmp_path: Path) -> None:
    async def main() -> None:
        port = free_port()
        async with fleet(tmp_path, Node("s-0", slowly)) as f:
            f.settings, f.operator = SETTINGS, FILE.format(port=port)
            await f.start()
            east = await east_of(port)
            f.operator = FILE.format(port=port) + "[nothing]\n"
            bad = await f.spawn()
            assert await f.processes[bad].wait() == 2
            a = Ask("r1", "field-report", "east", "w-1", "PUT", 4.0, effect="k", once="k")
            await east.client.ask(a)
            assert a.status == 200 and east.up
            await stop_site(east)

    run(main(), 60)
