"""Drill of machine maintenance: real processes, and stand-in machines that check the traffic they receive.

    python -m standins.machines [--members 3] [--observers 0] [--rounds 10] [--seed 1] [--at-once 4] [--json]
                                [--kinds kill,stop,...] [--replay PLAN]

A round is one of `standins.takeover` with twelve nodes on six machines in three zones. The last process runs
on the first machine. A maintenance plan covers all machines; its command connects to the drill, reports that
the work begins, and ends when the drill says so. A simulated operator decides `done` or `retry` for machines
in state `held` or `failed`. The planned faults include nodes that fail without a loss of their machine
(`node`), and cuts and suspensions that outlast every timeout (`long cut`, `long stop`).

The machines check the rules as traffic arrives and as work begins. While a machine is worked on, it may have
no open connections except those of a suspended process, and may receive neither connections nor requests. It
is worked on once for each grant. The machines that are out never exceed the limits. The plan must end within
`PLAN_TIMEOUT_S` seconds of the last fault. By the checks of `standins.takeover`, no report may be lost or
have two effects. The exit status is that of `standins.drill`. All traffic stays on the loopback interface.
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
from standins.member_client import NoAnswer, NotExecuted
from standins.node import Node
from standins.process import Process
from standins.world import RunFailed

LOAD_S, PLAN_TIMEOUT_S = 10.0, 60.0
MACHINE_COUNT, ZONE_COUNT = 6, 3
MAX_OUT = 2
FAULT_WEIGHTS = {  # relative frequency of each kind
    "kill": 5, "stop": 3, "cut": 4, "one way": 2, "bridge": 1, "slow": 1, "reset": 1, "all": 1, "lead": 2,
    "end": 1, "node": 2, "long stop": 1, "long cut": 2, "upgrade": 2,
}  # fmt: skip
LIMITS: dict[str, Any] = {
    "most_out": MAX_OUT, "most_zone": 1, "least_left": 0.5, "spread_s": 0.3, "most_work_s": 20.0,
    "most_warm_s": 20.0, "most_drain_s": 20.0, "go_on": True,
}  # fmt: skip
# The command of the plan: sends its machine and grant to the port $0, and exits with the status it receives.
WORK_SCRIPT = (
    'exec 3<>/dev/tcp/127.0.0.1/$0 && echo "$LB_MACHINE $LB_GRANT" >&3 '
    '&& read -r status <&3 && exit "$status"'
)
SUMMED_FIELDS = (*takeover.SUMMED_FIELDS, "works", "reads", "read_late", "held", "again")


class Machine:
    """A stand-in for a machine with two nodes, which checks the rules while it is worked on."""

    def __init__(self, round_: Round, number: int) -> None:
        self.round, self.name, self.zone = round_, f"m{number}", f"z{number % ZONE_COUNT}"
        self.nodes = [MonitoredNode(self, f"n{number}{x}") for x in "ab"]
        self.proxies = [round_.names[-1]] if number == 0 else []
        self.grants: Counter[int] = Counter()  # number of times that the command ran, by grant
        self.working = self.done = 0  # numbers of commands that are running, and that have ended

    def record_traffic(self, what: str) -> None:
        """Reports a violation if the machine is worked on. `what`: the traffic that it received."""
        if self.working:
            self.round.violations.append(f"{self.name} received {what} while it was worked on")

    def begin(self, grant: int) -> None:
        """Begins the work under `grant`, and checks the rules."""
        r = self.round
        self.working += 1
        self.grants[grant] += 1
        if self.grants[grant] > 1 and not r.retried:
            r.violations.append(f"{self.name} was worked on twice under grant {grant}")
        open_ = sum(not s.at_eof() and s.exception() is None for n in self.nodes for s in n.readers)
        if open_ and not r.may_be_suspended:
            r.violations.append(f"{self.name} has {open_} open connections while it is worked on")
        out = [m for m in r.machines if m.working]
        left = 1 - len(out) / MACHINE_COUNT
        if len(out) > r.limits["most_out"] or len({m.zone for m in out}) < len(out):
            r.violations.append(f"{', '.join(m.name for m in out)} are out at the same time")
        elif left < r.limits["least_left"]:
            r.violations.append(
                f"with {', '.join(m.name for m in out)} out, only {left:.0%} of the nodes are left"
            )

    def end(self) -> None:
        """Ends the work. The nodes return with empty caches."""
        for node in self.nodes:
            node.cache.clear()
        self.working -= 1
        self.done += 1


class MonitoredNode(Node):
    """A node that reports its traffic to its machine, and that can be made to fail or to answer late."""

    def __init__(self, machine: Machine, name: str) -> None:
        super().__init__(name, machine.round.archive, machine.round.plan.seed, slow_share=0.05, slow_s=0.4)
        self.machine, self.fails = machine, False
        self.readers: set[asyncio.StreamReader] = set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.machine.record_traffic("a connection")
        self.readers.add(reader)
        try:
            await super()._serve(reader, writer)
        finally:
            self.readers.discard(reader)

    async def reply(self, message: http.Message) -> bytes:
        self.machine.record_traffic(f"{message.start!r}")
        delay_s = self.machine.round.read_delay_s
        if delay_s and message.start.startswith("GET /api/") and self.random.random() < 0.5:
            await asyncio.sleep(delay_s)
        return http.response(500) if self.fails else await super().reply(message)


class Round(takeover.Round):
    """A round of `standins.takeover` with machines, a maintenance plan and clients that read."""

    load_s, plan_timeout_s = LOAD_S, PLAN_TIMEOUT_S
    limits: ClassVar[dict[str, Any]] = LIMITS
    readers, read_delay_s = 4, 0.0  # clients that read; extra time that half of the reads take
    deadline_s, slo_s = 2.0, 0.5  # deadline and objective of the reads
    work_duration_s: float | None = None  # of the work on each machine; None: drawn at random

    def __init__(self, plan: Plan, folder: Path, relayed: bool = True) -> None:
        super().__init__(plan, folder, relayed)
        read = {"sloUs": int(self.slo_s * 1e6), "giveUpUs": int(self.deadline_s * 1e6)}
        self.settings["grades"] = [{**c, **(read if c["name"] == "level-read" else {})}
                                   for c in self.settings["grades"]]  # fmt: skip
        rules = {"coldFrom": 0.3, "coldUs": 400_000}
        permissions = {**self.settings["permissions"], "probes": True}
        self.settings = {**self.settings, "rules": rules, "permissions": permissions}
        self.violations: list[str] = []
        self.read_targets: list[Process] = []  # processes that the clients read from; empty: all
        self.retried = False  # the operator has requested a retry
        self.suspended_until = 0.0
        self.machines = [Machine(self, n) for n in range(MACHINE_COUNT)]
        self.work_server: asyncio.Server | None = None
        self.command: list[str] = []
        self.plan_ended = False
        self.counts: Counter[str] = Counter()
        self.background: list[asyncio.Task[None]] = []
        self.status: dict[str, Any] = {}  # the latest status of the plan

    # ---- the machines and their work

    async def prepare(self) -> None:
        self.work_server = await asyncio.start_server(self._serve_work, "127.0.0.1", 0)
        self.command = ["bash", "-c", WORK_SCRIPT, str(self.work_server.sockets[0].getsockname()[1])]
        nodes = [n for m in self.machines for n in m.nodes]
        for node in nodes:
            await node.start()
        await super().prepare()
        self.discovery.set([{**n.entry(), "zone": n.machine.zone} for n in nodes])

    def extra_toml(self, name: str) -> str:
        machines = "".join(
            f"[maintenance.machines.{m.name}]\nnodes = {json.dumps([n.name for n in m.nodes])}\n"
            f'proxies = {json.dumps(m.proxies)}\nzone = "{m.zone}"\n' for m in self.machines
        )  # fmt: skip
        return f'{super().extra_toml(name)}[maintenance]\npath = "{name}/machines"\n{machines}'

    async def _serve_work(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            name, grant = (await reader.readline()).split()
            machine = next(m for m in self.machines if m.name == name.decode())
            machine.begin(int(grant))
            await self.work(machine)
            machine.end()
            writer.write(b"0\n")
            await writer.drain()
        except (OSError, ValueError):
            pass
        finally:
            writer.close()

    async def work(self, machine: Machine) -> None:
        """Does the work on that machine, which lasts for `work_duration_s` or a random time."""
        await asyncio.sleep(
            self.work_duration_s or Random(f"{self.plan.seed} {machine.name}").uniform(0.1, 1.2)
        )

    @property
    def has_stop_fault(self) -> bool:
        return any("stop" in f.kind for f in self.plan.faults)

    @property
    def may_be_suspended(self) -> bool:
        """Whether a process is suspended, or was until half a second ago at most."""
        return time.monotonic() < self.suspended_until

    async def inject_fault(self, fault: Fault, began: float) -> None:
        if fault.kind == "node":
            await asyncio.sleep(fault.at_s)
            node = self.machines[fault.who[0] % MACHINE_COUNT].nodes[0]
            node.fails = True
            await asyncio.sleep(fault.lasts_s)
            node.fails = False
            return
        kind, lasts_s = fault.kind.removeprefix("long "), fault.lasts_s
        if fault.kind.startswith("long "):
            lasts_s = 6.0 + fault.lasts_s
        if kind == "stop":
            self.suspended_until = max(self.suspended_until, began + fault.at_s + lasts_s + 0.5)
        await super().inject_fault(Fault(fault.at_s, kind, fault.who, lasts_s), began)

    # ---- operator and clients

    def start_load(self) -> list[asyncio.Task[None]]:
        background = [
            self._run_operator(), self._restart_proxies(), *(self.run_reader(n) for n in range(self.readers)),
        ]  # fmt: skip
        self.background = [asyncio.create_task(b) for b in background]
        return super().start_load()

    async def run_after_load(self) -> None:
        try:
            async with asyncio.timeout(self.plan_timeout_s):
                await self.background[0]
        except TimeoutError:
            machines = self.status.get("machines", {})
            waits = {n: (m["state"], m["waits_for"]) for n, m in machines.items() if m["state"] != "done"}
            raise RunFailed(
                f"the plan has not ended {self.plan_timeout_s} s after the last fault: {waits}"
            ) from None
        finally:
            self.plan_ended = True
        await asyncio.gather(*self.background)
        await self.wait_until_converged("after the plan")
        await super().run_after_load()

    async def _restart_proxies(self) -> None:
        """Restarts each proxy that ended to let its machine leave, when the machine is not worked on."""
        while not self.plan_ended:
            await asyncio.sleep(0.1)
            for machine in self.machines:
                for p in self.processes:
                    ended = p.process is not None and p.process.returncode == 0
                    if p.name in machine.proxies and ended and not machine.working:
                        await asyncio.sleep(1.0)
                        await p.spawn()

    async def send_command(self, random: Random, **command: Any) -> dict[str, Any] | None:
        """Sends a maintenance command to a random member. Returns the answer; only the field `error` if the
        command was not executed; or None if no answer came."""
        client = self.member_client(random.choice(self.names))
        try:
            return await client.request({"do": "maintenance", **command}, 3.0)
        except NotExecuted as e:
            return {"error": str(e)}
        except NoAnswer:
            return None
        finally:
            client.close()

    async def _run_operator(self) -> None:
        """Sends the plan until it is accepted, and then resolves held and failed machines until all machines
        are done."""
        random = Random(f"{self.plan.seed} operator")
        plan = {"id": "kernel", "by": "rig", "machines": [m.name for m in self.machines],
                "limits": self.limits, "command": self.command}  # fmt: skip
        while not self.plan_ended:
            reply = await self.send_command(random, what="start", plan=plan)
            if reply is not None and (reply.get("done") or "runs already" in reply["error"]):
                break
            await asyncio.sleep(0.2)
        while not self.plan_ended:
            await asyncio.sleep(0.2)
            reply = await self.send_command(random, what="status")
            if reply is None or "error" in reply:
                continue
            self.status = reply
            machines = reply["machines"]
            if machines and all(m["state"] == "done" for m in machines.values()):
                return
            for machine in self.machines:
                if machines[machine.name]["state"] in ("held", "failed") and not machine.working:
                    await self._resolve(random, machine, machines[machine.name]["epoch"])

    async def _resolve(self, random: Random, machine: Machine, grant: int) -> None:
        """Sends `done` for the machine if it was worked on under that grant, else `retry`."""
        await asyncio.sleep(0.5)  # a command that was about to begin has begun by then
        if machine.working:
            return
        to = "done" if machine.grants[grant] else "retry"
        self.counts["held"] += 1
        if to == "retry":
            self.retried = True
            self.counts["again"] += 1
        await self.send_command(random, what="steer", to=to, plan="kernel", machine=machine.name, by="rig")

    async def run_reader(self, number: int) -> None:
        """Runs a client that reads, one request after the other, until the plan has ended."""
        random = Random(f"{self.plan.seed} reader {number}")
        n = 0
        while not self.plan_ended:
            n += 1
            p = random.choice(self.read_targets or self.processes)
            key = "popular" if random.random() < 0.2 else f"g{random.randrange(200)}"
            began = time.monotonic()
            status = await self._send_read(p, key, f"r{number}-{n}")
            self.counts["reads"] += 1
            self.counts[f"read_{status}"] += 1
            if status and time.monotonic() - began > self.deadline_s + takeover.LATENESS_TOLERANCE_S:
                self.counts["read_late"] += 1
            await asyncio.sleep(random.uniform(0.005, 0.03))

    async def _send_read(self, p: Process, key: str, name: str) -> int:
        """Sends a read and returns its status, or 0 if no answer came."""
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
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            http.MalformedMessage,
            http.TruncatedBody,
        ):
            return 0

    # ---- end of the round

    async def close(self) -> None:
        self.plan_ended = True
        for task in self.background:
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)
        await super().close()
        if self.work_server is not None:
            self.work_server.close()
        for node in (n for m in self.machines for n in m.nodes):
            node.stop()

    def evaluate(self, violations: list[str]) -> dict[str, Any]:
        result = super().evaluate(violations)
        result["faults"] = self.violations[:5] + result["faults"]
        works = sum(m.done for m in self.machines)
        if not result["faults"] and any(not m.done for m in self.machines):
            result["faults"].append("a machine was never worked on")
        return {**result, **self.counts, "works": works}


def draw(args: Namespace, seed: int) -> Plan:
    """Draws the plan of a seed for these arguments. Raises KeyError for an unknown kind of fault."""
    weights = {k: FAULT_WEIGHTS[k] for k in args.kinds.split(",")} if args.kinds else FAULT_WEIGHTS
    return Plan.draw(seed, args.members, args.observers, args.work, weights, LOAD_S)


if __name__ == "__main__":
    sys.exit(drill.main(takeover.work_parser("standins.machines", __doc__ or ""), Round, SUMMED_FIELDS, draw))
