"""The drill with work in hand: what a proxy that is lost had in hand is taken over by another, once.

    python -m standins.takeover [--work sqlite|postgres|group] [--kinds kill,stop,...] [--members 3]
                                [--rounds 10] [--seed 1] [--at-once 4] [--json] [--replay PLAN]

A round is one of `standins.drill`: processes that agree, a relay for each directed pair, faults by a plan
that is drawn before. Beside them clients send reports, and send them again under the same key at any process
until they have an answer. `--kinds` names the faults to draw from: all by default; `end` is a planned one
(SIGTERM and a new start), `server` the store's own loss.

Judged by what the processes can't write themselves: every confirmed report had one effect at the archive,
is held once with the body that was sent, and gets an answer again at each process; none had two effects; no
answer came after its time; nothing is left open `QUIET_S` after the last fault. Exit status as the drill's.
"""

from __future__ import annotations

import asyncio
import sys
from argparse import Namespace
from base64 import b64decode
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
from standins.reports import Clients, Held, Report, ask, held, judge
from standins.world import Failed

WINDOW_S = 8.0
QUIET_S = 15.0
SLACK_S = 0.25  # an answer's way, and the load on the machine
AGAIN = 12  # confirmed reports that are asked for once more at each process
KINDS = {
    "kill": 6, "stop": 4, "cut": 3, "one way": 2, "bridge": 1, "flap": 1, "slow": 1, "reset": 1, "all": 1,
    "lead": 1, "end": 3, "server": 1,
}  # fmt: skip
COUNTED = ("reports", "confirmed", "refused", "broke", "open", "unknown", "late")
GRADES = [{**g, **({"keyTtlUs": int(WINDOW_S * 1e6)} if "keyTtlUs" in g else {})} for g in SETTINGS["grades"]]


class Round(drill.Round):
    def __init__(self, plan: Plan, folder: Path, relayed: bool = True) -> None:
        super().__init__(plan, folder, relayed)
        self.settings = {**SETTINGS, "grades": GRADES, "balancers": len(self.names)}
        self.pg = PgServer() if plan.work == "postgres" else None
        self.archive = Archive("west", time_s=0.01, window_s=WINDOW_S)
        self.node = Node("west-0", self.archive, plan.seed, slow_share=0.2, slow_s=0.4)
        self.reporting = Clients(plan.seed, self.processes, 0.5)
        self.again: list[str] = []

    async def prepare(self) -> None:
        await self.node.start()
        if self.pg is not None:
            await self.pg.start()
        await super().prepare()
        self.discovery.set([{**self.node.entry(), "instanceId": f"west-{n}"} for n in range(4)])

    def tables(self) -> str:
        if self.plan.work == "group":
            return '[record]\nsettle = "1s"\nmost_body = "16KiB"\nmost_answer = "16KiB"\n[record.group]\n'
        dsn = self.pg.dsn if self.pg is not None else ""
        return '[record]\nsettle = "1s"\n' + STORES[self.plan.work].format(dsn=dsn)

    def begin(self) -> list[asyncio.Task[None]]:
        return [asyncio.create_task(self.reporting.client(n)) for n in range(6)]

    async def _heal(self) -> None:
        if self.pg is not None and self.pg.server is None:
            await self.pg.start()
        self.reporting.over = True
        await super()._heal()

    async def _strike(self, f: Fault, begin: float) -> None:
        if f.kind != "server":
            await super()._strike(f, begin)
        elif self.pg is not None:
            await asyncio.sleep(f.at_s)
            self.pg.kill()
            await asyncio.sleep(f.lasts_s)
            if self.pg.server is None:
                await self.pg.start()

    async def last(self) -> None:
        end = asyncio.get_running_loop().time() + QUIET_S
        while True:
            open_ = [k for k, state, _ in await self.held() if state in ("stored", "sent")]
            if not open_:
                break
            if asyncio.get_running_loop().time() > end:
                raise Failed(f"open {QUIET_S} s after the last fault: {open_[:5]}")
            await asyncio.sleep(0.1)
        confirmed = [r for r in self.reporting.reports if r.confirmed]
        for r in Random(self.plan.seed).sample(confirmed, min(AGAIN, len(confirmed))):
            for p in self.processes:
                status, _ = await ask(Report(r.key, r.body, [0]), p.port)
                if status != 200:
                    self.again.append(f"{r.key} was confirmed, and {p.name} says {status}")

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
        if self.pg is not None:
            self.pg.kill()

    def judge(self, faults: list[str]) -> dict[str, Any]:
        if faults:
            found: dict[str, Any] = {"faults": []}
        else:
            found = judge(self.reporting.reports, self.kept, self.archive.effects)
        stopped = any(f.kind == "stop" for f in self.plan.faults)
        late = [r for r in self.reporting.reports if r.late_s > SLACK_S]
        if late and not stopped:
            faults.append(f"{late[0].key} was answered {late[0].late_s:.3f} s after its time")
        found["faults"] = faults + found["faults"] + self.again
        return {**found, "late": len(late), "whole_s": round(self.whole_s, 2)}


def draw(args: Namespace, seed: int) -> Plan:
    """Raises KeyError for a kind that there is not."""
    kinds = {k: KINDS[k] for k in args.kinds.split(",")} if args.kinds else KINDS
    return Plan.draw(seed, args.members, args.observers, args.work, kinds)


def main() -> int:
    parser = arguments("standins.takeover", __doc__ or "")
    parser.add_argument("--work", choices=["sqlite", "postgres", "group"], default="sqlite")
    parser.add_argument("--kinds", default="", help=f"of {', '.join(KINDS)}; all by default")
    return drill.run(parser, Round, COUNTED, draw)


if __name__ == "__main__":
    sys.exit(main())
