"""Clients that send reports until they have an answer, and the judge of what became of each."""

from __future__ import annotations

import asyncio
import sqlite3
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from standins import http
from standins.pgserver import PgServer
from standins.process import Process

DEADLINE_S = 2.0
MOST_S = 4.0  # that a client waits for an answer
Held = list[tuple[str, str, bytes]]  # key, state, body


@dataclass
class Report:
    key: str
    body: bytes
    statuses: list[int] = field(default_factory=list)  # 0: no answer
    late_s: float = 0.0  # the longest that an answer came after its time
    done_s: float = 0.0  # when it was confirmed, by the clock of the rig

    @property
    def confirmed(self) -> bool:
        return 200 in self.statuses

    @property
    def refused(self) -> bool:
        return bool(self.statuses) and set(self.statuses) == {503}


class Clients:
    """`moves`: of the tries after a failure, how many go to another gateway."""

    def __init__(self, seed: int, gateways: Sequence[Process], moves: float, most_tries: int = 40) -> None:
        self.seed, self.gateways, self.moves, self.most_tries = seed, gateways, moves, most_tries
        self.reports: list[Report] = []
        self.over = False

    async def client(self, number: int) -> None:
        n = 0
        random = Random(f"{self.seed} {number}")
        at = self.gateways[number % len(self.gateways)]
        while not self.over:
            n += 1
            report = Report(f"c{number}-{n}", f"level={number}.{n}".encode())
            self.reports.append(report)
            tries = 0
            while not report.confirmed and tries < self.most_tries:
                tries += 1
                if random.random() < self.moves:
                    at = random.choice(self.gateways)
                status, after_s = await ask(report, at.port)
                report.statuses.append(status)
                if status == 503 and (self.over or n % 7 == 0):
                    break  # some clients take a refusal for an answer
                if status != 200:
                    await asyncio.sleep(after_s)


async def ask(report: Report, port: int) -> tuple[int, float]:
    """Its status, 0 where no answer came, and when to come again (seconds)."""
    began = time.monotonic()
    try:
        async with asyncio.timeout(MOST_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                name = f"{report.key}-{len(report.statuses)}"
                writer.write((
                    f"PUT /api/g-{report.key} HTTP/1.1\r\nHost: x\r\nReq-Id: {name}\r\n"
                    f"Req-Kind: field-report\r\nReq-Owner: members\r\n"
                    f"Req-Deadline: {DEADLINE_S}\r\nIdempotency-Key: {report.key}\r\n"
                    f"Content-Length: {len(report.body)}\r\nConnection: close\r\n\r\n"
                ).encode() + report.body)  # fmt: skip
                m = await http.read(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, http.Bad, http.Cut):
        return 0, 0.05
    now = time.monotonic()
    report.late_s = max(report.late_s, now - began - DEADLINE_S)
    status = int(m.start.split(" ")[1])
    if status == 200:
        report.done_s = now
    return status, min(0.2, float(m.headers.get("retry-after", "0.05")))


def held(folder: Path, pg: PgServer | None) -> Held:
    """Of a store that the rig can look into by itself."""
    if pg is not None:
        found = pg.db.execute("SELECT key, state, body FROM reports").fetchall()
        return [(bytes(key).decode(), state, bytes(body)) for key, state, body in found]
    db = sqlite3.connect(f"file:{folder / 'record.sqlite'}?mode=ro", uri=True, timeout=5)
    try:
        found = db.execute("SELECT key, state, body FROM reports").fetchall()
    finally:
        db.close()
    return [(key.decode(), state, body) for key, state, body in found]


async def quiet(look: Callable[[], Held], looks: int = 1_000) -> None:
    """Until what is owed has been delivered, or is unknown."""
    for _ in range(looks):
        if not any(state in ("stored", "sent") for _, state, _ in look()):
            return
        await asyncio.sleep(0.05)


def judge(reports: list[Report], held: Held, effects: dict[str, int]) -> dict[str, Any]:
    """`faults` is empty where the rules hold."""
    faults: list[str] = []
    rows: dict[str, list[tuple[str, bytes]]] = {}
    for key, state, body in held:
        rows.setdefault(key, []).append((state, body))
    for r in reports:
        there = rows.get(r.key, [])
        if len(there) > 1:
            faults.append(f"{r.key} is held {len(there)} times")
        if r.confirmed and there != [("confirmed", r.body)]:
            faults.append(f"{r.key} was confirmed and is held as {there}")
        if r.confirmed and effects.get(r.key, 0) != 1:
            faults.append(f"{r.key} was confirmed and had {effects.get(r.key, 0)} effects")
        if r.refused and there and not effects.get(r.key):
            faults.append(f"{r.key} was refused, never ran, and is held as {there[0][0]}")
    faults += [f"{key} had {n} effects" for key, n in effects.items() if n > 1]
    known = {r.key for r in reports}
    faults += [f"{key} is held and nobody sent it" for key in rows if key not in known]
    states = [state for there in rows.values() for state, _ in there]
    return {
        "reports": len(reports), "confirmed": sum(r.confirmed for r in reports),
        "refused": sum(r.refused for r in reports), "open": states.count("sent") + states.count("stored"),
        "unknown": states.count("unknown"), "broke": sum(0 in r.statuses for r in reports), "faults": faults,
    }  # fmt: skip
