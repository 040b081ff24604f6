"""The drill of machines out for work: real processes, and stand-in machines that judge what comes to them.

    python -m standins.machines [--members 3] [--observers 0] [--rounds 10] [--seed 1] [--at-once 4] [--json]
                                [--kinds kill,stop,...] [--replay PLAN]

A round is one of `standins.takeover` with twelve nodes on six machines of three zones, the last process on
the first machine, a plan over all machines whose command tells the rig that the work begins and waits until
it is over, and somebody who says `done` or `retry` for what is held or failed. Faults by a plan drawn before,
among them nodes that fail by themselves (`node`), and cuts and stops longer than anybody is waited for.

Judged by the machines, at true moments: one in work has no connection open but of a stopped process, and gets
none, and no request; it is in work once for each grant; never more are out than the limits let; the plan ends
within `END_S` of the last fault; and by `standins.takeover`: no report lost, no effect twice. Exit status as
the drill's. All traffic stays on loopback.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from argparse import Namespace
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any, ClassVar

from standins import drill, http, takeover
from standins.drill import Fault, Plan
from standins.groupask import Lost, Turned
from standins.node import Node
from standins.process import Process
from standins.world import Failed

LENGTH_S, END_S = 10.0, 60.0
MACHINES, ZONES = 6, 3
MOST_OUT = 2
KINDS = {
    "kill": 5, "stop": 3, "cut": 4, "one way": 2, "bridge": 1, "slow": 1, "reset": 1, "all": 1, "lead": 2,
    "end": 1, "node": 2, "long stop": 1, "long cut": 2, "upgrade": 2,
}  # fmt: skip
LIMITS: dict[str, Any] = {
    "most_out": MOST_OUT, "most_zone": 1, "least_left": 0.5, "spread_s": 0.3, "most_work_s": 20.0,
    "most_warm_s": 20.0, "most_drain_s": 20.0, "go_on": True,
}  # fmt: skip
TELL = 'exec 3<>/dev/tcp/127.0.0.1/$0 && echo "$LB_MACHINE $LB_GRANT" >&3 && read -r said <&3 && exit "$said"'
COUNTED = (*takeover.COUNTED, "works", "reads", "read_late", "held", "again")


class Box:
    """A machine: knows whether it is worked on, and what comes to it meanwhile."""

    def __init__(self, round_: Round, number: int) -> None:
        self.round, self.name, self.zone = round_, f"m{number}", f"z{number % ZONES}"
        self.nodes = [Watched(self, f"n{number}{x}") for x in "ab"]
        self.proxies = [round_.names[-1]] if number == 0 else []
        self.grants: Counter[int] = Counter()
        self.working = self.done = 0

    def came(self, what: str) -> None:
        if self.working:
            self.round.found.append(f"{self.name} is worked on, and gets {what}")

    def begin(self, grant: int) -> None:
        r = self.round
        self.working += 1
        self.grants[grant] += 1
        if self.grants[grant] > 1 and not r.retried:
            r.found.append(f"{self.name} was worked on twice under grant {grant}")
        open_ = sum(not r.at_eof() and r.exception() is None for n in self.nodes for r in n.readers)
        if open_ and not r.stopped_now:
            r.found.append(f"{self.name} is worked on, and has {open_} connections open")
        out = [b for b in r.boxes if b.working]
        left = 1 - len(out) / MACHINES
        if len(out) > r.limits["most_out"] or len({b.zone for b in out}) < len(out):
            r.found.append(f"{', '.join(b.name for b in out)} are out together")
        elif left < r.limits["least_left"]:
            r.found.append(f"{', '.join(b.name for b in out)} are out, and {left:.0%} of the nodes are left")

    def end(self) -> None:
        for node in self.nodes:  # it comes back cold
            node.kept.clear()
        self.working -= 1
        self.done += 1


class Watched(Node):
    def __init__(self, box: Box, name: str) -> None:
        super().__init__(name, box.round.archive, box.round.plan.seed, slow_share=0.05, slow_s=0.4)
        self.box, self.fails = box, False
        self.readers: set[asyncio.StreamReader] = set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.box.came("a connection")
        self.readers.add(reader)
        try:
            await super()._serve(reader, writer)
        finally:
            self.readers.discard(reader)

    async def reply(self, m: http.Message) -> bytes:
        self.box.came(f"{m.start!r}")
        more_s = self.box.round.reads_s
        if more_s and m.start.startswith("GET /api/") and self.random.random() < 0.5:
            await asyncio.sleep(more_s)
        return http.answer(500) if self.fails else await super().reply(m)


class Round(takeover.Round):
    work_s, end_s = LENGTH_S, END_S
    limits: ClassVar[dict[str, Any]] = LIMITS
    readers, reads_s = 4, 0.0  # clients, and how much longer half of the reads take
    deadline_s, aim_s = 2.0, 0.5  # of reads
    works_s: float | None = None  # how long each machine's work takes; else drawn

    def __init__(self, plan: Plan, folder: Path, relayed: bool = True) -> None:
        super().__init__(plan, folder, relayed)
        read = {"sloUs": int(self.aim_s * 1e6), "giveUpUs": int(self.deadline_s * 1e6)}
        self.settings["grades"] = [{**g, **(read if g["name"] == "level-read" else {})}
                                   for g in self.settings["grades"]]  # fmt: skip
        rules = {"coldFrom": 0.3, "coldUs": 400_000}
        permissions = {**self.settings["permissions"], "probes": True}
        self.settings = {**self.settings, "rules": rules, "permissions": permissions}
        self.found: list[str] = []
        self.read_at: list[Process] = []  # all, where it is empty
        self.retried = False  # somebody has said `retry`
        self.stopped_until = 0.0
        self.boxes = [Box(self, n) for n in range(MACHINES)]
        self.workshop: asyncio.Server | None = None
        self.command: list[str] = []
        self.ended = False
        self.counts: Counter[str] = Counter()
        self.beside: list[asyncio.Task[None]] = []
        self.status: dict[str, Any] = {}

    # ---- what there is

    async def prepare(self) -> None:
        self.workshop = await asyncio.start_server(self._work, "127.0.0.1", 0)
        self.command = ["bash", "-c", TELL, str(self.workshop.sockets[0].getsockname()[1])]
        nodes = [n for b in self.boxes for n in b.nodes]
        for node in nodes:
            await node.start()
        await super().prepare()
        self.discovery.set([{**n.entry(), "zone": n.box.zone} for n in nodes])

    def tables(self, name: str) -> str:
        machines = "".join(
            f"[maintenance.machines.{b.name}]\nnodes = {json.dumps([n.name for n in b.nodes])}\n"
            f'proxies = {json.dumps(b.proxies)}\nzone = "{b.zone}"\n' for b in self.boxes
        )  # fmt: skip
        return f'{super().tables(name)}[maintenance]\npath = "{name}/machines"\n{machines}'

    async def _work(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            name, grant = (await reader.readline()).split()
            box = next(b for b in self.boxes if b.name == name.decode())
            box.begin(int(grant))
            await asyncio.sleep(self.works_s or Random(f"{self.plan.seed} {box.name}").uniform(0.1, 1.2))
            box.end()
            writer.write(b"0\n")
            await writer.drain()
        except (OSError, ValueError):
            pass
        finally:
            writer.close()

    @property
    def stopped(self) -> bool:
        return any("stop" in f.kind for f in self.plan.faults)

    @property
    def stopped_now(self) -> bool:
        return time.monotonic() < self.stopped_until

    async def _strike(self, f: Fault, begin: float) -> None:
        if f.kind == "node":
            await asyncio.sleep(f.at_s)
            node = self.boxes[f.who[0] % MACHINES].nodes[0]
            node.fails = True
            await asyncio.sleep(f.lasts_s)
            node.fails = False
            return
        kind, lasts_s = f.kind.removeprefix("long "), f.lasts_s
        if f.kind.startswith("long "):
            lasts_s = 6.0 + f.lasts_s
        if kind == "stop":
            self.stopped_until = max(self.stopped_until, begin + f.at_s + lasts_s + 0.5)
        await super()._strike(Fault(f.at_s, kind, f.who, lasts_s), begin)

    # ---- what goes on

    def begin(self) -> list[asyncio.Task[None]]:
        work = [self._operate(), self._keep(), *(self._reader(n) for n in range(self.readers))]
        self.beside = [asyncio.create_task(w) for w in work]
        return super().begin()

    async def last(self) -> None:
        try:
            async with asyncio.timeout(self.end_s):
                await self.beside[0]
        except TimeoutError:
            machines = self.status.get("machines", {})
            waits = {n: (m["state"], m["waits_for"]) for n, m in machines.items() if m["state"] != "done"}
            raise Failed(f"the plan is not over {self.end_s} s after the last fault: {waits}") from None
        finally:
            self.ended = True
        await asyncio.gather(*self.beside)
        await self._until_whole("after the plan")
        await super().last()

    async def _keep(self) -> None:
        """Starts what has ended itself again, once its machine is back or stays."""
        while not self.ended:
            await asyncio.sleep(0.1)
            for box in self.boxes:
                for p in self.processes:
                    ended = p.process is not None and p.process.returncode == 0
                    if p.name in box.proxies and ended and not box.working:
                        await asyncio.sleep(1.0)
                        await p.spawn()

    async def _ask(self, r: Random, **what: Any) -> dict[str, Any] | None:
        asker = self._asker(r.choice(self.names))
        try:
            return await asker.ask({"do": "maintenance", **what}, 3.0)
        except Turned as e:
            return {"error": str(e)}
        except Lost:
            return None
        finally:
            asker.close()

    async def _operate(self) -> None:
        """Starts the plan until somebody has taken it, and answers for what nobody else can tell."""
        r = Random(f"{self.plan.seed} operator")
        plan = {"id": "kernel", "by": "rig", "machines": [b.name for b in self.boxes], "limits": self.limits,
                "command": self.command}  # fmt: skip
        while not self.ended:
            told = await self._ask(r, what="start", plan=plan)
            if told is not None and (told.get("done") or "runs already" in told["error"]):
                break
            await asyncio.sleep(0.2)
        while not self.ended:
            await asyncio.sleep(0.2)
            told = await self._ask(r, what="status")
            if told is None or "error" in told:
                continue
            self.status = told
            machines = told["machines"]
            if machines and all(m["state"] == "done" for m in machines.values()):
                return
            for box in self.boxes:
                if machines[box.name]["state"] in ("held", "failed") and not box.working:
                    await self._answer_for(r, box, machines[box.name]["epoch"])

    async def _answer_for(self, r: Random, box: Box, grant: int) -> None:
        await asyncio.sleep(0.5)  # what was about to begin has begun
        if box.working:
            return
        to = "done" if box.grants[grant] else "retry"
        self.counts["held"] += 1
        if to == "retry":
            self.retried = True
            self.counts["again"] += 1
        await self._ask(r, what="steer", to=to, plan="kernel", machine=box.name, by="rig")

    async def _reader(self, number: int) -> None:
        r = Random(f"{self.plan.seed} reader {number}")
        n = 0
        while not self.ended:
            n += 1
            p = r.choice(self.read_at or self.processes)
            key = "popular" if r.random() < 0.2 else f"g{r.randrange(200)}"
            began = time.monotonic()
            status = await self._read(p, key, f"r{number}-{n}")
            self.counts["reads"] += 1
            self.counts[f"read_{status}"] += 1
            if status and time.monotonic() - began > self.deadline_s + takeover.SLACK_S:
                self.counts["read_late"] += 1
            await asyncio.sleep(r.uniform(0.005, 0.03))

    async def _read(self, p: Process, key: str, name: str) -> int:
        """Its status; 0: none came."""
        head = (f"GET /api/{key} HTTP/1.1\r\nHost: x\r\nReq-Id: {name}\r\nReq-Kind: level-read\r\n"
                f"Req-Deadline: {self.deadline_s}\r\nConnection: close\r\n\r\n")  # fmt: skip
        try:
            async with asyncio.timeout(self.deadline_s + 2.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", p.port)
                try:
                    writer.write(head.encode())
                    return int((await http.read(reader)).start.split(" ")[1])
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, http.Bad, http.Cut):
            return 0

    # ---- judged

    async def end(self) -> None:
        self.ended = True
        for task in self.beside:
            task.cancel()
        await asyncio.gather(*self.beside, return_exceptions=True)
        await super().end()
        if self.workshop is not None:
            self.workshop.close()
        for node in (n for b in self.boxes for n in b.nodes):
            node.stop()

    def judge(self, faults: list[str]) -> dict[str, Any]:
        found = super().judge(faults)
        found["faults"] = self.found[:5] + found["faults"]
        works = sum(b.done for b in self.boxes)
        if not found["faults"] and any(not b.done for b in self.boxes):
            found["faults"].append("a machine was never worked on")
        return {**found, **self.counts, "works": works}


def draw(args: Namespace, seed: int) -> Plan:
    """Raises KeyError for a kind that there is not."""
    kinds = {k: KINDS[k] for k in args.kinds.split(",")} if args.kinds else KINDS
    return Plan.draw(seed, args.members, args.observers, args.work, kinds, LENGTH_S)


if __name__ == "__main__":
    sys.exit(drill.run(takeover.options("standins.machines", __doc__ or ""), Round, COUNTED, draw))
