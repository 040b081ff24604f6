"""The drill with work in hand: what a proxy that is lost had in hand is taken over by another, once.

    python -m standins.takeover [--work sqlite|postgres|group] [--kinds kill,stop,...] [--members 3]
                                [--rounds 10] [--seed 1] [--at-once 4] [--json] [--replay PLAN]

A round is one of `standins.drill`: processes that agree, a relay for each directed pair, faults by a plan
that is drawn before. Beside them clients send reports, and send them again under the same key at any process
until they have an answer. `--kinds` names the faults to draw from: all by default; `end` is a planned one
(SIGTERM and a new start), `upgrade` a next process beside the one that runs, `server` the store's own loss,
`store` that of all ways to it but one. `standins/between.py` plays it over two sites.

Judged by what the processes can't write themselves: every confirmed report had one effect at the archive,
is held once with the body that was sent, and gets an answer again at each process; none had two effects; no
answer came after its time; nothing is left open `QUIET_S` after the last fault. Exit status as the drill's.
"""

from __future__ import annotations

import asyncio
import sqlite3
import sys
from argparse import ArgumentParser, Namespace
from base64 import b64decode
from collections.abc import Container, Sequence
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

from standins import drill
from standins.archive import Archive
from standins.drill import Fault, Plan, arguments
from standins.groupask import Asker, Lost, Turned
from standins.killstore import SETTINGS, STORES
from standins.node import Node
from standins.pgserver import PgServer
from standins.process import Process
from standins.relay import Relay
from standins.reports import Clients, Held, Report, ask, held, judge
from standins.world import Failed, free_port, until_ready

WINDOW_S = 8.0
QUIET_S = 15.0
SLACK_S = 0.25  # an answer's way, and the load on the machine
AGAIN = 12  # confirmed reports that are asked for once more at each process
KINDS = {
    "kill": 6, "stop": 4, "cut": 3, "one way": 2, "bridge": 1, "flap": 1, "slow": 1, "reset": 1, "all": 1,
    "lead": 1, "end": 3, "server": 1, "store": 1, "upgrade": 3,
}  # fmt: skip
COUNTED = ("reports", "confirmed", "refused", "broke", "open", "unknown", "late")
GRADES = [{**g, **({"keyTtlUs": int(WINDOW_S * 1e6)} if "keyTtlUs" in g else {})} for g in SETTINGS["grades"]]


class Round(drill.Round):
    def __init__(self, plan: Plan, folder: Path, relayed: bool = True) -> None:
        super().__init__(plan, folder, relayed)
        self.settings = {**SETTINGS, "grades": GRADES, "balancers": len(self.names)}
        self.pg = PgServer() if plan.work == "postgres" else None
        self.ways: dict[str, Relay] = {}  # of each process to the server
        self.archive = Archive("west", time_s=0.01, window_s=WINDOW_S)
        self.node = Node("west-0", self.archive, plan.seed, slow_share=0.2, slow_s=0.4)
        for p in self.processes:
            p.env = {"LB_ADMIN": f"127.0.0.1:{free_port()}"}  # without it nobody can take over from it
        self.reporting = Clients(plan.seed, self.processes, 0.5)
        self.again: list[str] = []

    async def prepare(self) -> None:
        await self.node.start()
        if self.pg is not None:
            await self.pg.start()
            for name in self.names:
                self.ways[name] = Relay(("127.0.0.1", self.pg.port), self.plan.seed)
                await self.ways[name].start()
        await super().prepare()
        self.discovery.set([{**self.node.entry(), "instanceId": f"west-{n}"} for n in range(4)])

    def tables(self, name: str) -> str:
        if self.plan.work == "group":
            return '[record]\nsettle = "1s"\nmost_body = "16KiB"\nmost_answer = "16KiB"\n[record.group]\n'
        dsn = ""
        if self.pg is not None:
            dsn = self.pg.dsn.replace(f":{self.pg.port}/", f":{self.ways[name].port}/")
        return '[record]\nsettle = "1s"\n' + STORES[self.plan.work].format(dsn=dsn)

    def begin(self) -> list[asyncio.Task[None]]:
        return [asyncio.create_task(self.reporting.client(n)) for n in range(6)]

    async def _heal(self) -> None:
        if self.pg is not None and self.pg.server is None:
            await self.pg.start()
        self.reporting.over = True
        await super()._heal()

    async def _strike(self, f: Fault, begin: float) -> None:
        if f.kind == "store":
            await asyncio.sleep(f.at_s)
            others = [w for n, w in self.ways.items() if n != self.names[f.who[0]]]
            await self._meanwhile(others, f.lasts_s, "cut")
        elif f.kind != "server":
            await super()._strike(f, begin)
        elif self.pg is not None:
            await asyncio.sleep(f.at_s)
            self.pg.kill()
            await asyncio.sleep(f.lasts_s)
            if self.pg.server is None:
                await self.pg.start()

    async def last(self) -> None:
        await self.quiet()
        await self.once_more(self.processes)

    async def quiet(self) -> None:
        """Until nothing is left open. Raises Failed."""
        end = asyncio.get_running_loop().time() + QUIET_S
        while True:
            open_ = [k for k, state, _ in await self.held() if state in ("stored", "sent")]
            if not open_:
                break
            if asyncio.get_running_loop().time() > end:
                raise Failed(f"open {QUIET_S} s after the last fault: {open_[:5]}; {await self._whose()}")
            await asyncio.sleep(0.1)

    async def _whose(self) -> dict[str, Any]:
        """Of what is open, and what each process has in hand."""
        found: dict[str, Any] = {}
        if self.plan.work == "sqlite":
            db = sqlite3.connect(f"file:{self.folder / 'record.sqlite'}?mode=ro", uri=True)
            found["rows"] = db.execute(
                "SELECT key, state, owner, until_s, sent_s FROM reports WHERE state IN ('stored', 'sent')"
            ).fetchall()
            db.close()
        for p in self.processes:
            asker = self._asker(p.name)
            with suppress(Lost, Turned):
                found[p.name] = await asker.ask({"do": "work"}, 2.0)
            asker.close()
        return found

    async def once_more(self, processes: Sequence[Process], but: Container[str] = ()) -> None:
        for p in processes:
            assert p.process is not None  # its part in the group begins before it listens for clients
            await until_ready(p.name, p.port, p.process, p.log)
        confirmed = [r for r in self.reporting.reports if r.confirmed and r.key not in but]
        for r in Random(self.plan.seed).sample(confirmed, min(AGAIN, len(confirmed))):
            for p in processes:
                status = await self._answer(r, p)
                if status != 200:
                    self.again.append(f"{r.key} was confirmed, and {p.name} says {status}")

    async def _answer(self, r: Report, p: Process) -> int:
        """The first one but for refusals."""
        for _ in range(20):
            status, after_s = await ask(Report(r.key, r.body, [0]), p.port)
            if status != 503:
                break
            await asyncio.sleep(after_s)
        return status

    async def held(self) -> Held:
        if self.plan.work != "group":
            return held(self.folder, self.pg)
        for p in self.processes:
            asker = self._asker(p.name)
            try:
                return await self._rows(asker)
            except (Lost, Turned):
                continue
            finally:
                asker.close()
        raise Failed("nobody tells what is held")

    async def _rows(self, asker: Asker) -> Held:
        found: Held = []
        first = 0
        while True:
            told = await asker.ask({"do": "record", "what": "rows", "first": first}, 3.0)
            for r in told["rows"]:
                found.append((b64decode(r["key"]).decode(), r["state"], b64decode(r["body"])))
            first = told["next"]
            if not first:
                return found

    async def end(self) -> None:
        self.reporting.over = True
        try:
            self.kept = await self.held() if self.whole_s else []
        except Failed:
            self.kept = []
        await super().end()
        self.node.stop()
        for way in self.ways.values():
            way.stop()
        if self.pg is not None:
            self.pg.kill()

    @property
    def stopped(self) -> bool:
        return any(f.kind == "stop" for f in self.plan.faults)

    def judge(self, faults: list[str]) -> dict[str, Any]:
        if faults:
            found: dict[str, Any] = {"faults": []}
        else:
            found = judge(self.reporting.reports, self.kept, self.archive.effects)
        late = [r for r in self.reporting.reports if r.late_s > SLACK_S]
        if late and not self.stopped:
            faults.append(f"{late[0].key} was answered {late[0].late_s:.3f} s after its time")
        found["faults"] = faults + found["faults"] + self.again
        return {**found, "late": len(late), "whole_s": round(self.whole_s, 2)}


def draw(args: Namespace, seed: int) -> Plan:
    """Raises KeyError for a kind that there is not."""
    kinds = {k: KINDS[k] for k in args.kinds.split(",")} if args.kinds else KINDS
    return Plan.draw(seed, args.members, args.observers, args.work, kinds)


def options(name: str, doc: str) -> ArgumentParser:
    parser = arguments(name, doc)
    parser.add_argument("--work", choices=["sqlite", "postgres", "group"], default="sqlite")
    parser.add_argument("--kinds", default="", help=f"of {', '.join(KINDS)}; all by default")
    return parser


if __name__ == "__main__":
    sys.exit(drill.run(options("standins.takeover", __doc__ or ""), Round, COUNTED, draw))
