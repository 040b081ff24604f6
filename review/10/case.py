"""A gateway gets SIGTERM while the other site's cache nodes hang. Each request that it had taken by then, or
takes afterwards, is owed a final answer before the platform may kill it."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import rig as r

KILL_S = 3.7  # after SIGTERM: the longest deadline (3 s) and 0.7 s more


def operator(own: str, other: str, listen: int, peer: int) -> str:
    return f"""
[site]
name = "{own}"
[gateway]
listen = "127.0.0.1:{listen}"
[gateway.sites.{own}]
prefixes = ["{own[0]}-"]
[gateway.sites.{other}]
prefixes = ["{other[0]}-"]
peers = ["127.0.0.1:{peer}"]
[gateway.tls]
plain = true
"""


async def run(rig: r.Rig) -> None:
    hanging = asyncio.Event()

    async def reply(node: r.Node, message: r.Message) -> bytes | None:
        rig.note(f"{node.name} has {message.start} Req-Id={message.fields['req-id']}")
        if hanging.is_set():
            await asyncio.sleep(60)
        await asyncio.sleep(0.03)
        return r.answer(200, f"{node.name} {message.fields['req-id']}".encode(), "Srv-Cache: hit\r\n")

    nodes = {s: [r.Node(f"{s}-{n}", reply) for n in range(3)] for s in ("west", "east")}
    agents = {s: r.Agent(nodes[s]) for s in nodes}
    await rig.add(*nodes["west"], *nodes["east"], *agents.values())
    ports = {s: r.free_port() for s in nodes}
    west = r.Proxy(rig, "west", agents["west"], operator("west", "east", ports["west"], ports["east"]))
    east = r.Proxy(rig, "east", agents["east"], operator("east", "west", ports["east"], ports["west"]))
    await east.start()
    await west.start()
    for n in range(50):  # until the link is up
        got = await r.request(west.port, "PUT", "/api/e-0", r.report_fields(f"w{n}", f"kw{n}"), b"1")
        if got.status == 200:
            break
        await asyncio.sleep(0.1)
    else:
        raise r.CannotRun(f"no report crosses: {got}")
    rig.note("a report has crossed to east and back")

    async def ask(name: str, method: str, target: str, fields: dict[str, str], pause_s: float) -> None:
        """A client that has connected 0.2 s after SIGTERM and writes its head slowly."""
        await asyncio.sleep(0.2)
        rig.note(
            f"client {name}: connects, writes {method} {target} slowly, Req-Deadline {fields['Req-Deadline']}"
        )
        got = await r.request(west.port, method, target, fields, b"level 3" if method == "PUT" else b"",
                              wait_s=6.0, pause_s=pause_s)  # fmt: skip
        deadline_s = float(fields["Req-Deadline"])
        after_s = got.at - got.sent_at
        rig.note(f"client {name}: last byte sent {got.sent_at - began:.3f} s after the start, then after "
                 f"{after_s:.3f} s: {got}")  # fmt: skip
        if not got.connected or not got.sent_at:
            rig.note(f"client {name}: its request was not taken")
        elif not got.status:
            rig.breaks(f"{name}: taken, and never answered ({got.why} {after_s:.2f} s after its last byte)")
        elif after_s > deadline_s + 0.55:
            rig.breaks(f"{name}: answered {after_s:.2f} s after its last byte, with {deadline_s} s to answer")

    if r.TROUBLE:
        hanging.set()
        rig.note("from now on the cache nodes of both sites hang")
    began = time.monotonic()
    if r.TROUBLE:
        west.send(signal.SIGTERM)
    clients = asyncio.gather(
        ask("report for east", "PUT", "/api/e-1", r.report_fields("c1", "k1"), 1.0),
        ask("read for east", "GET", "/api/e-2", r.read_fields("c2"), 1.65),
        ask("report for west", "PUT", "/api/w-1", r.report_fields("c3", "k3"), 1.0),
    )
    while west.running and time.monotonic() < began + KILL_S + 1.0:
        await asyncio.sleep(0.01)
    if west.running:
        if r.TROUBLE:
            west.send(signal.SIGKILL)
    else:
        rig.note(f"west has ended {time.monotonic() - began:.3f} s after SIGTERM")
    await clients


r.main(__file__, run)
