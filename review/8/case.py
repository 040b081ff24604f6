"""Clients of one site send long reports for the other site, many at once. The platform kills a proxy whose
resident memory is over `limits.memory_mb`; here the test is the platform."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import rig as r

MEMORY_MB = 64
CLIENTS = 200
BODY_BYTES = 900_000 if r.TROUBLE else 1_000  # `gateway.most_body` is 1 MiB by default
SAMPLE_S = 0.02  # between two samples for the record
CHECK_S = 0.5  # between two checks of the platform, which kills what is over its limit


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


def resident_mb(proxy: r.Proxy) -> float:
    """The process's resident memory, as the kernel tells it; 0 if it has ended."""
    assert proxy.process is not None
    try:
        for line in Path(f"/proc/{proxy.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


async def run(rig: r.Rig) -> None:
    async def reply(node: r.Node, message: r.Message) -> bytes | None:
        await asyncio.sleep(0.03)
        return r.answer(200, f"noted {len(message.body)}".encode())

    nodes = {s: [r.Node(f"{s}-{n}", reply) for n in range(3)] for s in ("west", "east")}
    agents = {s: r.Agent(nodes[s]) for s in nodes}
    await rig.add(*nodes["west"], *nodes["east"], *agents.values())
    ports = {s: r.free_port() for s in nodes}
    west = r.Proxy(rig, "west", agents["west"], operator("west", "east", ports["west"], ports["east"]))
    east = r.Proxy(rig, "east", agents["east"], operator("east", "west", ports["east"], ports["west"]))
    for proxy in (west, east):
        proxy.config["limits"]["memory_mb"] = MEMORY_MB
    await east.start()
    await west.start()
    for n in range(50):  # until the link is up
        got = await r.request(west.port, "PUT", "/api/e-0", r.report_fields(f"w{n}", f"kw{n}"), b"1")
        if got.status == 200:
            break
        await asyncio.sleep(0.1)
    else:
        raise r.CannotRun(f"no report crosses: {got}")
    rig.note(f"at rest: west {resident_mb(west):.1f} MB, east {resident_mb(east):.1f} MB of {MEMORY_MB}")

    peaks = {west: 0.0, east: 0.0}
    killed: dict[r.Proxy, float] = {}

    async def sample() -> None:
        while True:
            for proxy in peaks:
                peaks[proxy] = max(peaks[proxy], resident_mb(proxy))
            await asyncio.sleep(SAMPLE_S)

    async def check() -> None:
        """The platform: kills a proxy that is over its limit."""
        while True:
            for proxy in (west, east):
                now_mb = resident_mb(proxy)
                if now_mb > MEMORY_MB and proxy not in killed:
                    killed[proxy] = now_mb
                    rig.note(f"{proxy.name} has {now_mb:.1f} MB resident, its limit is {MEMORY_MB} MB")
                    proxy.send(signal.SIGKILL)
            await asyncio.sleep(CHECK_S)

    async def ask(n: int) -> r.Got:
        fields = r.report_fields(f"c{n}", f"k{n}")
        return await r.request(west.port, "PUT", f"/api/e-{n}", fields, b"x" * BODY_BYTES, wait_s=5.0)

    watching = [asyncio.create_task(sample()), asyncio.create_task(check())]
    rig.note(f"{CLIENTS} clients send one report of {BODY_BYTES} bytes each")
    got = await asyncio.gather(*(ask(n) for n in range(CLIENTS)))
    await asyncio.sleep(0.5)
    for task in watching:
        task.cancel()
    rig.note(f"answers by status (0: none): {dict(Counter(g.status for g in got))}")
    for proxy, peak in peaks.items():
        rig.note(f"{proxy.name}: at most {peak:.1f} MB in a sample")
    for proxy, mb in killed.items():
        rig.breaks(f"{proxy.name} was killed at {mb:.1f} MB resident; memory_mb is {MEMORY_MB}")
    if not killed and not any(g.status == 200 for g in got):
        raise r.CannotRun("no report was served")


r.main(__file__, run)
