"""A keyed report of some megabytes is sent again after a reset, to a cache node that reads slowly. The nodes
drop repeats for 1 s; a repeat whose last byte comes later has its effect a second time."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import rig as r

WINDOW_S = 1.0  # `keyTtlUs` of the class, below its deadline of 3 s
BODY = b"x" * (16 << 20)
READ_BYTES, READ_PAUSE_S = 128 << 10, 0.015  # of a slow node: some 8 MB a second
EFFECTS: dict[str, list[float]] = {}
FIRST: list[
    str
] = []  # the nodes that have begun to read k1; the first one is fast and resets it, the others are slow


class ReportNode(r.Server):
    """A cache node of a group that drops a repeat of a key for WINDOW_S after it was first begun."""

    def __init__(self, rig: r.Rig, name: str) -> None:
        super().__init__()
        self.rig, self.name = rig, name

    def entry(self) -> dict[str, object]:
        return r.Node.entry(self)  # type: ignore[arg-type]

    lifecycle, port_told = "Ready", 0

    async def start(self) -> None:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10)
        listener.bind((r.HOST, 0))
        listener.listen(64)
        self.server = await asyncio.start_server(self._accepted, sock=listener, limit=64 << 10)
        self.port = listener.getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            start, *lines = head[:-4].split("\r\n")
            fields = {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in lines)}
            if start.startswith("GET /health"):
                writer.write(r.answer(200))
                continue
            left = int(fields.get("content-length", "0"))
            self.rig.note(
                f"{self.name}: the head of {start} {fields.get('req-id')} has come, {left} bytes follow"
            )
            key = fields.get("idempotency-key", "")
            is_first, told_left = not FIRST, False
            if key == "k1":
                FIRST.append(self.name)
            while left:
                data = await reader.read(min(left, READ_BYTES))
                if not data:
                    self.rig.note(f"{self.name}: the connection has ended before the last byte: it never ran")
                    return
                left -= len(data)
                first = EFFECTS.get(key)
                if first and not told_left and time.monotonic() > first[0] + WINDOW_S:
                    told_left = True
                    self.rig.note(f"{self.name}: the window of {key} is over, {left} bytes are still to come")
                if r.TROUBLE and key == "k1" and not is_first:
                    await asyncio.sleep(READ_PAUSE_S * len(data) / READ_BYTES)
            now = time.monotonic()
            if key:
                times = EFFECTS.setdefault(key, [])
                if times and now < times[-1] + WINDOW_S:
                    self.rig.note(f"{self.name}: the last byte has come; a repeat of {key}, dropped")
                else:
                    times.append(now)
                    self.rig.note(f"{self.name}: the last byte has come; {key} has its effect")
            if r.TROUBLE and key == "k1" and is_first:
                self.rig.note(f"{self.name}: resets the connection")
                writer.transport.abort()
                return
            writer.write(r.answer(200, f"{self.name} {fields.get('req-id')}".encode()))
            await writer.drain()


async def run(rig: r.Rig) -> None:
    nodes = [ReportNode(rig, f"box-{n}") for n in range(3)]
    agent = r.Agent(nodes)  # type: ignore[arg-type]
    await rig.add(*nodes, agent)
    grades = r.settings()["grades"]
    grades[1]["keyTtlUs"] = int(WINDOW_S * 1e6)
    proxy = r.Proxy(rig, "proxy", agent, grades=grades)
    await proxy.start()
    for n in range(5):
        got = await r.request(proxy.port, "PUT", "/api/station-1", r.report_fields(f"w{n}", f"kw{n}"), b"1")
        rig.note(f"a report before: {got}")
        if got.status != 200:
            raise r.CannotRun("a report before the disruption was not served")
    got = await r.request(proxy.port, "PUT", "/api/station-1", r.report_fields("c1", "k1"), BODY, wait_s=8.0)
    rig.note(f"client: {got.at - got.sent_at:.3f} s after its last byte: {got}")
    await asyncio.sleep(3.5)
    times = EFFECTS.get("k1", [])
    if len(times) > 1:
        rig.breaks(
            f"k1 had its effect {len(times)} times, {times[-1] - times[0]:.2f} s apart; "
            f"the nodes drop repeats for {WINDOW_S} s"
        )
    if not times:
        raise r.CannotRun("the report never reached a node")


r.main(__file__, run)
