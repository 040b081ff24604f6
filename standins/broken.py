"""Rounds of reports whose answers end early, against real processes with a store, a cache and a link.

    python -m standins.soak --rig reports --seeds 50

A round draws a set-up from `SET_UPS` and, for each report, how its node's answer ends early or that it is
whole. A node runs a report once within its window, drops repeats of it, and gives a repeat the whole answer.
Clients send each report up to three times under one key; some leave within the first answer. The judge
compares each 200 with the whole body by the nodes' own book. Where no store keeps the keys, no report is sent
again after the nodes' window: it would run again, as its class allows.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from standins import http
from standins.discovery import Discovery
from standins.early_ends import EARLY_ENDS, EarlyEnd, body_for, write_early_end
from standins.pgserver import PgServer
from standins.process import Process
from standins.world import ROOT, free_port

WINDOW_S = 5.0  # within this time nodes drop repeats of a report
DEADLINE_S = 3.0
ANSWER_GRACE_S = 0.5  # an answer that comes later than this after its deadline counts as lost
REPEAT_DELAYS_S = (0.0, 0.5, 1.5)
LEAVE_AFTER_S = 0.2  # a client that leaves does so within the first answer
WHOLE_SHARE = 0.3  # of the reports, whose answers do not end early
REPORT = "field-report"
SQLITE = '[record]\n{more}\n[record.sqlite]\npath = "{name}.sqlite"\n'
SET_UPS = ("sqlite", "cache", "postgres", "short answers", "link", "link without a store")


@dataclass(frozen=True, slots=True)
class ReportsPlan:
    """The parameters of a round. `early_ends` has one entry for each report; None: its answer is whole."""

    seed: int
    seconds: float
    set_up: str
    early_ends: tuple[EarlyEnd | None, ...]

    @property
    def has_store(self) -> bool:
        """Whether a repeat after the nodes' window is still known."""
        return self.set_up != "link without a store"

    @property
    def sites(self) -> tuple[str, ...]:
        return ("west", "east") if self.set_up.startswith("link") else ("west",)


def draw_reports(seed: int, seconds: float) -> ReportsPlan:
    """Draws the plan of a seed."""
    random = Random(f"reports {seed}")
    count = int(8 * seconds)
    early_ends = tuple(
        None if random.random() < WHOLE_SHARE else random.choice(EARLY_ENDS) for _ in range(count)
    )
    return ReportsPlan(seed, seconds, random.choice(SET_UPS), early_ends)


@dataclass(slots=True)
class ReportsVerdict:
    """The result of a round. `statuses` counts the answers, 0 for none."""

    statuses: Counter[int] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)

    @property
    def served(self) -> float:
        return self.statuses[200] / max(1, self.statuses.total())


@dataclass(slots=True)
class Book:
    """What the nodes of a round did: when each report last ran, and how often it ran within its window."""

    plan: ReportsPlan
    ran_at: dict[str, float] = field(default_factory=dict)
    effects: Counter[str] = field(default_factory=Counter)

    def early_end(self, key: str) -> EarlyEnd | None:
        return self.plan.early_ends[int(key.partition("-")[2])]

    def body(self, key: str) -> bytes:
        """Returns the whole answer to a report."""
        early_end = self.early_end(key)
        return body_for(key, early_end.size if early_end is not None else 3_000)

    def run(self, key: str, now: float) -> bool:
        """Runs a report; returns False if it is a repeat that is dropped."""
        if now < self.ran_at.get(key, -WINDOW_S) + WINDOW_S:
            return False
        self.ran_at[key] = now
        self.effects[key] += 1
        return True


class BreakingNode(http.Server):
    """A cache node whose answer to the first attempt at a report ends early."""

    def __init__(self, book: Book) -> None:
        super().__init__()
        self.book = book

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers[writer] = None
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while not writer.is_closing():
                await self._answer(await http.read(reader), writer)
                await writer.drain()
        self.writers.pop(writer, None)
        writer.close()

    async def _answer(self, message: http.Message, writer: asyncio.StreamWriter) -> None:
        key = message.headers.get("idempotency-key")
        if key is None:
            writer.write(http.response(200))
            return
        early_end = self.book.early_end(key)
        is_first = self.book.run(key, asyncio.get_running_loop().time())
        if early_end is None or not is_first:
            writer.write(http.response(200, self.book.body(key)))
        else:
            await write_early_end(writer, early_end, self.book.body(key))


class ReportsRound:
    """Starts the stand-ins and processes of a round, sends its reports, and checks their answers."""

    def __init__(self, plan: ReportsPlan, folder: Path, tree: Path) -> None:
        self.plan, self.folder, self.random = plan, folder, Random(f"round {plan.seed}")
        self.book, self.verdict = Book(plan), ReportsVerdict()
        self.nodes = [BreakingNode(self.book) for _ in range(4)]
        self.discovery = Discovery()
        self.pg = PgServer() if plan.set_up == "postgres" else None
        self.processes = {site: Process(site, folder, tree=tree) for site in plan.sites}
        self.gateway_ports = {site: free_port() for site in plan.sites}

    async def run(self) -> ReportsVerdict:
        """Runs the round. Raises RunFailed if a process does not become ready."""
        try:
            await self._start()
            await asyncio.gather(*(self._run_client(n) for n in range(len(self.plan.early_ends))))
        finally:
            for process in self.processes.values():
                if process.process is not None:
                    await process.kill()
            for node in self.nodes:
                node.stop()
            self.discovery.stop()
            if self.pg is not None:
                self.pg.kill()
        self.verdict.violations += [
            f"{key} had {count} effects" for key, count in self.book.effects.items() if count > 1
        ]
        return self.verdict

    async def _start(self) -> None:
        if self.pg is not None:
            await self.pg.start()
        for server in (*self.nodes, self.discovery):
            await server.start()
        self.discovery.set([
            {"instanceId": f"s-{n}", "hostPort": f"127.0.0.1:{node.port}", "lifecycle": "Ready"}
            for n, node in enumerate(self.nodes)
        ])  # fmt: skip
        for site, process in self.processes.items():
            process.config.write_text(json.dumps(self._config(process.port)))
            (self.folder / f"{site}.toml").write_text(self._operator_file(site))
            await process.start()

    def _config(self, port: int) -> dict[str, object]:
        grades = [
            {"name": REPORT, "repeat": "idempotency_key", "group": "all", "keyTtlUs": int(WINDOW_S * 1e6),
             "sloUs": 1_000_000, "giveUpUs": int(DEADLINE_S * 1e6), "lateValue": 0.2}
        ]  # fmt: skip
        permissions = {"maxAttempts": 3, "secondCopies": False, "mayCancel": True, "probes": False,
                       "connectTimeoutUs": 500_000, "connIdleUs": 60_000_000}  # fmt: skip
        return {
            "name": "n", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": str(self.plan.seed), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.discovery.snapshot(),
            "settings": {"balancers": 1, "grades": grades, "permissions": permissions,
                         "rules": {"coldFrom": 1.0, "coldUs": 0}},
        }  # fmt: skip

    def _operator_file(self, site: str) -> str:
        tables = [f'[site]\nname = "{site}"\n']
        match self.plan.set_up:
            case "postgres":
                assert self.pg is not None
                tables.append(f'[record]\n[record.postgres]\ndsn = "{self.pg.dsn}"\n')
            case _ if not self.plan.has_store:
                pass
            case "short answers":
                tables.append(SQLITE.format(more='most_answer = "1KiB"', name=site))
            case "link" if self.random.random() < 0.5 and site == "west":
                pass  # the store is at the other end only
            case _:
                tables.append(SQLITE.format(more="", name=site))
        if self.plan.set_up == "cache" or self.random.random() < 0.5:
            tables.append("[caching]\n")
        if len(self.plan.sites) > 1:
            tables.append(self._gateway_tables(site))
        return "".join(tables)

    def _gateway_tables(self, own: str) -> str:
        lines = [f'[gateway]\nlisten = "127.0.0.1:{self.gateway_ports[own]}"\ntls = {{ plain = true }}']
        for site in self.plan.sites:
            lines.append(f'[gateway.sites.{site}]\nprefixes = ["{site[0]}-"]')
            if site != own:
                lines.append(f'peers = ["127.0.0.1:{self.gateway_ports[site]}"]')
        return "\n".join([*lines, ""])

    async def _run_client(self, number: int) -> None:
        """Sends a report, and repeats it within the window and after it until it is served."""
        key = f"r-{number}"
        await asyncio.sleep(self.random.uniform(0.2, self.plan.seconds))
        leaves, delay_s = self.random.random() < 0.2, self.random.choice(REPEAT_DELAYS_S)
        for again in range(3):
            if again == 1:
                await asyncio.sleep(max(delay_s, 1.5 if leaves else 0.0))
            elif again == 2 and self.plan.has_store and self.random.random() < 0.5:
                await asyncio.sleep(WINDOW_S)
            status, body = await self._send(number, f"{key}.{again}", key, leaves and again == 0)
            if leaves and again == 0:
                continue
            self.verdict.statuses[status] += 1
            if status == 200 and body != self.book.body(key):
                self.verdict.violations.append(
                    f"{key}, try {again}: 200 with {len(body)} bytes, not those of the node's answer "
                    f"({self.book.early_end(key)}, {self.plan.set_up})"
                )
            elif status == 0:
                self.verdict.violations.append(f"{key}, try {again}: no answer ({self.plan.set_up})")

    async def _send(self, number: int, name: str, key: str, leaves: bool) -> tuple[int, bytes]:
        """Sends one request. Returns its status and body; status 0: no answer in time, 599: a cut one."""
        site = self.plan.sites[-1]  # whose prefix the key has: requests at the first site cross the link
        reader, writer = await asyncio.open_connection("127.0.0.1", self.processes["west"].port)
        body = b"level=3.2"
        writer.write((
            f"PUT /api/{site[0]}-{number} HTTP/1.1\r\nHost: x\r\nReq-Id: {name}\r\nReq-Kind: {REPORT}\r\n"
            f"Req-Deadline: {DEADLINE_S:.3f}\r\nIdempotency-Key: {key}\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body)  # fmt: skip
        try:
            async with asyncio.timeout(LEAVE_AFTER_S if leaves else DEADLINE_S + ANSWER_GRACE_S):
                message = await http.read(reader)
            return int(message.start.split(" ")[1]), message.body
        except http.TruncatedBody:
            return 599, b""
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return 0, b""
        finally:
            writer.transport.abort()


async def run_reports(plan: ReportsPlan, tree: Path = ROOT) -> ReportsVerdict:
    """Runs a round with the processes of a checkout. Raises as `ReportsRound.run` does."""
    with tempfile.TemporaryDirectory(prefix="reports-") as folder:
        return await ReportsRound(plan, Path(folder), tree).run()
