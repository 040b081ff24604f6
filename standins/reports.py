"""Clients that send reports until they are answered, and the check that each was handled exactly once."""

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
from standins.loop_stalls import LoopStalls
from standins.pgserver import PgServer
from standins.process import Process

DEADLINE_S = 2.0  # of each try
ANSWER_TIMEOUT_S = 4.0  # how long a client waits for an answer
Rows = list[tuple[str, str, bytes]]  # key, state, body


@dataclass(frozen=True)
class LateAnswer:
    """An answer that came after the deadline of its request."""

    status: int
    port: int  # of the process that answered
    took_s: float  # from before the connection was opened
    late_s: float  # by which it missed the deadline, less the time for which the client itself was blocked

    def __str__(self) -> str:
        return f"status {self.status} of port {self.port} after {self.took_s:.3f} s"


@dataclass
class Report:
    """A report of a client, and the outcome of each try to send it."""

    key: str
    body: bytes
    statuses: list[int] = field(default_factory=list)  # of all tries; 0: no answer
    latest: LateAnswer | None = None  # the one that missed its deadline by the longest time
    confirmed_s: float = 0.0  # when it was confirmed, by the monotonic clock of this process

    @property
    def confirmed(self) -> bool:
        return 200 in self.statuses

    @property
    def refused(self) -> bool:
        """Whether all tries were refused with 503."""
        return bool(self.statuses) and set(self.statuses) == {503}

    @property
    def late_s(self) -> float:
        """The longest time by which an answer missed its deadline, 0 if none did."""
        return self.latest.late_s if self.latest else 0.0

    def add_late_answer(self, answer: LateAnswer) -> None:
        """Keeps the answer if none before missed its deadline by more."""
        if answer.late_s > self.late_s:
            self.latest = answer


class ReportClients:
    """Clients that send one report after the other, and retry each under the same key until it is confirmed.

    `move_share`: the share of tries before which a client chooses a gateway at random again.
    """

    def __init__(
        self, seed: int, gateways: Sequence[Process], move_share: float, max_tries: int = 40
    ) -> None:  # fmt: skip
        self.seed, self.gateways, self.move_share, self.max_tries = seed, gateways, move_share, max_tries
        self.reports: list[Report] = []
        self.stopping = False

    async def run_client(self, number: int) -> None:
        """Runs one client until `stopping` is set and its last report has ended."""
        n = 0
        random = Random(f"{self.seed} {number}")
        gateway = self.gateways[number % len(self.gateways)]
        while not self.stopping:
            n += 1
            report = Report(f"c{number}-{n}", f"level={number}.{n}".encode())
            self.reports.append(report)
            tries = 0
            while not report.confirmed and tries < self.max_tries:
                tries += 1
                if random.random() < self.move_share:
                    gateway = random.choice(self.gateways)
                status, after_s = await send_report(report, gateway.port)
                report.statuses.append(status)
                if status == 503 and (self.stopping or n % 7 == 0):
                    break  # some reports are given up once they are refused
                if status != 200:
                    await asyncio.sleep(after_s)


async def send_report(report: Report, port: int) -> tuple[int, float]:
    """Sends the report once. Returns the status (0: no answer) and the seconds to wait before a retry."""
    stalls = LoopStalls.of_running_loop()
    began = sent = time.monotonic()
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                sent = time.monotonic()
                name = f"{report.key}-{len(report.statuses)}"
                writer.write((
                    f"PUT /api/g-{report.key} HTTP/1.1\r\nHost: x\r\nReq-Id: {name}\r\n"
                    f"Req-Kind: field-report\r\nReq-Owner: members\r\n"
                    f"Req-Deadline: {DEADLINE_S}\r\nIdempotency-Key: {report.key}\r\n"
                    f"Content-Length: {len(report.body)}\r\nConnection: close\r\n\r\n"
                ).encode() + report.body)  # fmt: skip
                message = await http.read(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, http.MalformedMessage, http.TruncatedBody):
        return 0, 0.05
    now = time.monotonic()
    status = int(message.start.split(" ")[1])
    late_s = now - began - DEADLINE_S
    if late_s > 0:
        late_s -= stalls.total_s(began, sent) + stalls.total_s(began + DEADLINE_S, now)
    report.add_late_answer(LateAnswer(status, port, now - began, late_s))
    if status == 200:
        report.confirmed_s = now
    return status, min(0.2, float(message.headers.get("retry-after", "0.05")))


def read_rows(folder: Path, pg: PgServer | None) -> Rows:
    """Reads all rows of the store of record, from the server if `pg` is given, else from the SQLite file."""
    if pg is not None:
        found = pg.db.execute("SELECT key, state, body FROM reports").fetchall()
        return [(bytes(key).decode(), state, bytes(body)) for key, state, body in found]
    db = sqlite3.connect(f"file:{folder / 'record.sqlite'}?mode=ro", uri=True, timeout=5)
    try:
        found = db.execute("SELECT key, state, body FROM reports").fetchall()
    finally:
        db.close()
    return [(key.decode(), state, body) for key, state, body in found]


async def wait_until_none_open(read: Callable[[], Rows], max_reads: int = 1_000) -> None:
    """Waits until each report is confirmed or its outcome is unknown. Reads the rows every 50 ms, and returns
    after `max_reads` reads even if reports are still open."""
    for _ in range(max_reads):
        if not any(state in ("stored", "sent") for _, state, _ in read()):
            return
        await asyncio.sleep(0.05)


def evaluate_reports(reports: list[Report], rows: Rows, effects: dict[str, int]) -> dict[str, Any]:
    """Compares the clients' reports with the rows of the store and the effects at the archive (a count for
    each key). Returns counts and, as `faults`, the violations."""
    violations: list[str] = []
    rows_of: dict[str, list[tuple[str, bytes]]] = {}
    for key, state, body in rows:
        rows_of.setdefault(key, []).append((state, body))
    for r in reports:
        found = rows_of.get(r.key, [])
        if len(found) > 1:
            violations.append(f"{r.key} is stored {len(found)} times")
        if r.confirmed and found != [("confirmed", r.body)]:
            violations.append(f"{r.key} was confirmed and is stored as {found}")
        if r.confirmed and effects.get(r.key, 0) != 1:
            violations.append(f"{r.key} was confirmed and had {effects.get(r.key, 0)} effects")
        if r.refused and found and not effects.get(r.key):
            violations.append(f"{r.key} was refused, never ran, and is stored as {found[0][0]}")
    violations += [f"{key} had {n} effects" for key, n in effects.items() if n > 1]
    known = {r.key for r in reports}
    violations += [f"{key} is stored and was never sent" for key in rows_of if key not in known]
    states = [state for found in rows_of.values() for state, _ in found]
    return {
        "reports": len(reports), "confirmed": sum(r.confirmed for r in reports),
        "refused": sum(r.refused for r in reports), "open": states.count("sent") + states.count("stored"),
        "unknown": states.count("unknown"), "broke": sum(0 in r.statuses for r in reports),
        "faults": violations,
    }  # fmt: skip
