"""Drill of a group of real processes, with planned faults of the processes and of the links between them.

    python -m standins.drill [--members 3] [--observers 0] [--rounds 10] [--seed 1] [--at-once 4] [--json]
                             [--replay PLAN]

A round runs the processes, with a relay for each direction between two of them. Clients write and read
registers, and take and drop a lease, through any member. The kinds of faults are:

    kill, stop, all   SIGKILL and a later start; SIGSTOP and SIGCONT; SIGKILL and start of all processes
    cut, one way      links between some members and the rest stall; connections that a member opened stall
    bridge, flap      the link between two members is cut; links of a member are cut and restored repeatedly
    slow, reset       links of a member are slow; their connections are reset
    full, wipe        a member's disk is full; a member loses its files
    put back          a member's files are replaced by an older copy
    remove, lead      a member is removed and added again; leadership is transferred to a member

The plan of a round is drawn from its seed before the round starts. The plan of a round with violations is
printed, and `--replay` runs it again; the order of events that happen at nearly the same time may differ.

Only what the clients observed is checked. The history of each register must be linearizable
(`linearizability.py`), so no committed write is lost. No member may hold the lease after another member held
it with a higher epoch, and no epoch may have two holders. All members must agree again and be allowed to act
within `CONVERGENCE_TIMEOUT_S` seconds after the last fault. The exit status is 1 if a check fails and 2 if no
round could be run. All traffic stays on the loopback interface, and all processes end with the round.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import shutil
import sys
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random
from types import MappingProxyType
from typing import Any

from standins.discovery import Discovery
from standins.member_client import MemberClient, NoAnswer, NotExecuted
from standins.linearizability import Op, Undecided, linearizable
from standins.process import Process
from standins.relay import Relay
from standins.rounds import print_summary, run_all
from standins.world import RunFailed, free_port

CONVERGENCE_TIMEOUT_S = 20.0
LOAD_S = 4.0  # the minimum duration of the load; all faults begin within it
FAULT_WEIGHTS = {  # relative frequency of each kind
    "kill": 4, "stop": 4, "cut": 3, "one way": 2, "bridge": 2, "flap": 1, "slow": 2, "reset": 2, "full": 1,
    "put back": 1, "wipe": 1, "all": 1, "remove": 1, "lead": 2,
}  # fmt: skip
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "grades": [{"name": "level-read", "repeat": "read_like", "sloUs": 500_000, "giveUpUs": 2_000_000,
                "lateValue": 0.2}],
    "permissions": {"maxAttempts": 2, "secondCopies": False, "mayCancel": True, "probes": False},
    "rules": {"coldFrom": 0.3, "coldUs": 8_000_000},
}  # fmt: skip


@dataclass(frozen=True)
class Fault:
    """A fault that begins `at_s` seconds after the start of the load."""

    at_s: float
    kind: str
    who: tuple[int, ...]  # indexes of the affected processes
    lasts_s: float


@dataclass(frozen=True)
class Plan:
    """Everything about a round that is drawn from its seed. Its JSON text is the argument of `--replay`."""

    seed: int
    members: int = 3
    observers: int = 0
    faults: tuple[Fault, ...] = ()
    work: str = ""  # the store of record, in rounds that send reports: sqlite, postgres or group
    there: tuple[Fault, ...] = ()  # faults at the other site, and of the links between the sites

    @classmethod
    def draw(
        cls, seed: int, members: int, observers: int = 0, work: str = "",
        weights: Mapping[str, int] = MappingProxyType(FAULT_WEIGHTS), load_s: float = LOAD_S,
    ) -> Plan:  # fmt: skip
        """Draws the plan of a seed. `weights`: the kinds of faults and their relative frequencies."""
        random = Random(f"{seed} {members}")
        faults: list[Fault] = []
        # Voters that may lose their state or be removed. A majority must remain.
        losses_left = (members - 1) // 2
        for _ in range(random.randint(1, 4)):
            kind = random.choices(list(weights), list(weights.values()))[0]
            if kind in ("put back", "wipe", "remove"):
                if not losses_left:
                    continue
                losses_left -= 1
            count = {"cut": random.randint(1, max(1, members // 2)), "bridge": min(2, members)}.get(kind, 1)
            who, at_s = tuple(random.sample(range(members), count)), round(random.uniform(0.2, load_s), 3)
            faults.append(Fault(at_s, kind, who, round(10 ** random.uniform(-1.3, 0.4), 3)))
        return cls(seed, members, observers, tuple(sorted(faults, key=lambda f: f.at_s)), work)

    @classmethod
    def read(cls, text: str) -> Plan:
        """Parses the output of `text`. Raises ValueError, TypeError or KeyError if it is malformed."""
        fields = json.loads(text)
        for name in ("faults", "there"):
            fields[name] = tuple(Fault(**{**f, "who": tuple(f["who"])}) for f in fields.get(name, ()))
        return cls(**fields)

    def text(self) -> str:
        """Returns the plan as JSON on one line."""
        return json.dumps(asdict(self), separators=(",", ":"))


@dataclass(frozen=True)
class Claim:
    """A member's statement that it holds the lease, made at some time from `begin` to `end` (seconds)."""

    begin: float
    end: float
    member: str
    epoch: int


def claim_conflicts(claims: list[Claim]) -> list[str]:
    """Returns the violations of the lease: epochs with two holders, and claims with a lower epoch than one
    that had ended before they began."""
    violations = []
    holders: dict[int, str] = {}
    for claim in claims:
        if holders.setdefault(claim.epoch, claim.member) != claim.member:
            violations.append(
                f"{holders[claim.epoch]} and {claim.member} both held the lease at epoch {claim.epoch}"
            )
    highest: Claim | None = None
    by_end = sorted(claims, key=lambda c: c.end)
    next_ended = 0
    for claim in sorted(claims, key=lambda c: c.begin):
        while next_ended < len(by_end) and by_end[next_ended].end < claim.begin:
            if highest is None or by_end[next_ended].epoch > highest.epoch:
                highest = by_end[next_ended]
            next_ended += 1
        if highest is not None and claim.epoch < highest.epoch:
            earlier = f"{highest.member} held it at epoch {highest.epoch}"
            violations.append(f"{claim.member} held the lease at epoch {claim.epoch} after {earlier}")
    return violations


class Round:
    """One round: the processes, the relays between them, the clients and what the clients observed."""

    settings = SETTINGS
    load_s = LOAD_S
    site = "west"

    def __init__(self, plan: Plan, folder: Path, relayed: bool = True) -> None:
        """`relayed`: whether members connect through relays. Without relays there are no link faults and no
        added latency."""
        self.plan, self.folder, self.relayed = plan, folder, relayed
        self.names = [f"d{n}" for n in range(plan.members + plan.observers)]
        self.discovery = Discovery()
        self.processes = [Process(name, folder) for name in self.names]
        self.ports = {name: free_port() for name in self.names}
        self.relays: dict[tuple[str, str], Relay] = {}
        self.ops: dict[str, list[Op]] = {"x": [], "y": []}
        self.claims: list[Claim] = []
        self.outcomes: Counter[str] = Counter()  # of the clients' requests
        self.stopping = False  # tells the clients to end
        self.convergence_s = 0.0

    # ---- the round

    async def prepare(self) -> None:
        """Starts discovery and the relays, and writes the files of the processes."""
        await self.discovery.start()
        for a in self.names:
            for b in self.names:
                if a != b and self.relayed:
                    relay = self.relays[a, b] = Relay(("127.0.0.1", self.ports[b]), self.plan.seed)
                    await relay.start()
        voters = json.dumps(self.names[: self.plan.members])
        for p in self.processes:
            ports = {b: r.port for (a, b), r in self.relays.items() if a == p.name}
            ports = {b: ports.get(b, self.ports[b]) for b in self.names}
            members = "\n".join(f'{b} = "127.0.0.1:{port}"' for b, port in ports.items())
            (self.folder / p.operator_file).write_text(
                f'[site]\nname = "{self.site}"\n[group]\nmember = "{p.name}"\n'
                f'path = "{p.name}/group.sqlite"\n'
                f'voters = {voters}\nlisten = "127.0.0.1:{self.ports[p.name]}"\ntls = {{ plain = true }}\n'
                f"[group.limits]\ncompact = 60\nkeep = 20\n[group.members]\n{members}\n"
                f"{self.extra_toml(p.name)}"
            )
            p.config.write_text(json.dumps({
                "name": p.name, "listen": f"127.0.0.1:{p.port}", "seed": p.name.encode().hex(),
                "discovery": f"127.0.0.1:{self.discovery.port}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512}, "settings": self.settings,
            }))  # fmt: skip

    def extra_toml(self, name: str) -> str:
        """Returns further tables for the operator's file of that process."""
        return ""

    def start_load(self) -> list[asyncio.Task[None]]:
        """Starts the clients, which run until `stopping` is set."""
        tasks = [asyncio.create_task(self._run_register_client(n)) for n in range(3)]
        return tasks + [asyncio.create_task(self._run_lease_client(n)) for n in range(len(self.names))]

    async def run_after_load(self) -> None:
        """Runs once the members have converged after the last fault and the clients have ended."""
        await self._read_all_registers()

    async def run(self) -> dict[str, Any]:
        """Runs the round. Returns its counts and, as `faults`, the violations that were found."""
        violations: list[str] = []
        try:
            await self.prepare()
            await asyncio.gather(*(p.spawn() for p in self.processes))
            await self.wait_until_converged("at the start")
            load = self.start_load()
            began = time.monotonic()
            fault_tasks = [asyncio.create_task(self.inject_fault(f, began)) for f in self.plan.faults]
            await asyncio.gather(*fault_tasks)
            await asyncio.sleep(max(0.0, began + self.load_s - time.monotonic()))
            await self._clear_faults()
            cleared = time.monotonic()
            await self.wait_until_converged("after the last fault")
            self.convergence_s = time.monotonic() - cleared
            self.stopping = True
            await asyncio.gather(*load)
            await self.run_after_load()
        except RunFailed as e:
            violations.append(str(e))
        finally:
            self.stopping = True
            await self.close()
        return self.evaluate(violations)

    async def close(self) -> None:
        """Kills all processes and stops discovery and the relays."""
        await asyncio.gather(*(p.kill() for p in self.processes if p.process is not None))
        for old in (o for p in self.processes for o in p.predecessors if o.returncode is None):
            old.kill()
            await old.wait()
        self.discovery.stop()
        for relay in self.relays.values():
            relay.stop()

    def evaluate(self, violations: list[str]) -> dict[str, Any]:
        """Checks what the clients observed. Returns the round's result, whose `faults` also contain
        `violations`, those that were found before."""
        for key, ops in self.ops.items():
            try:
                if not linearizable(ops):
                    violations.append(f"the history of register {key} is not linearizable")
            except Undecided:
                violations.append(f"the history of register {key} has too many states to be checked")
        violations += claim_conflicts(self.claims)
        return {"ops": sum(map(len, self.ops.values())), "claims": len(self.claims), **self.outcomes,
                "whole_s": round(self.convergence_s, 2), "faults": violations}  # fmt: skip

    # ---- faults

    async def inject_fault(self, fault: Fault, began: float) -> None:
        """Waits until the fault is due, causes it, and ends it after its duration. `began`: the start of the
        load, in seconds of the monotonic clock."""
        await asyncio.sleep(max(0.0, began + fault.at_s - time.monotonic()))
        first = self.processes[fault.who[0]]
        affected = {self.names[n] for n in fault.who}
        crossing = [r for (a, b), r in self.relays.items() if (a in affected) != (b in affected)]
        match fault.kind:
            case "kill" | "wipe":
                await first.kill()
                if fault.kind == "wipe":
                    shutil.rmtree(self.folder / first.name)
                await asyncio.sleep(fault.lasts_s)
                await first.spawn()
            case "stop":
                first.suspend()
                await asyncio.sleep(fault.lasts_s)
                first.resume()
            case "cut":
                await self._impair_links(crossing, fault.lasts_s, "stall")
            case "one way":
                outgoing = [r for (a, _), r in self.relays.items() if a in affected]
                await self._impair_links(outgoing, fault.lasts_s, "stall")
            case "bridge":
                inner = [r for (a, b), r in self.relays.items() if a in affected and b in affected]
                await self._impair_links(inner, fault.lasts_s, "cut")
            case "flap":
                for _ in range(int(fault.lasts_s / 0.1)):
                    await self._impair_links(crossing, 0.05, "cut")
                    await asyncio.sleep(0.05)
            case "slow":
                await self._impair_links(crossing, fault.lasts_s, "slow")
            case "reset":
                for relay in crossing:
                    relay.break_all()
            case "full":
                first.limit_file_size(4_096)
                await asyncio.sleep(fault.lasts_s)
                first.limit_file_size(None)
            case "put back":
                older = self.folder / f"{first.name}-older"
                first.suspend()
                shutil.copytree(self.folder / first.name, older)
                first.resume()
                await asyncio.sleep(fault.lasts_s)
                await first.kill()
                shutil.rmtree(self.folder / first.name)
                older.rename(self.folder / first.name)
                await first.spawn()
            case "all":
                await asyncio.gather(*(p.kill() for p in self.processes))
                for p in Random(fault.at_s).sample(self.processes, len(self.processes)):
                    await p.spawn()
            case "remove":
                await self._request_leader({"do": "bar", "name": first.name, "out": True})
                await asyncio.sleep(fault.lasts_s)
                await self._request_leader({"do": "bar", "name": first.name, "out": False})
            case "lead":
                await self._request_leader({"do": "lead", "to": first.name})
            case "end":
                await first.terminate()
                await asyncio.sleep(fault.lasts_s)
                await first.spawn()
            case "upgrade":
                await first.upgrade(fault.lasts_s)
            case _:
                raise RunFailed(f"unknown kind of fault: {fault.kind!r}")

    async def _impair_links(self, relays: list[Relay], lasts_s: float, how: str) -> None:
        """Impairs the links for `lasts_s` seconds. `how`: "slow" (0.05 to 2 s of delay per chunk), "stall" or
        "cut"."""
        for relay in relays:
            if how == "slow":
                relay.set_delay(0.05, 1.95)
            else:
                (relay.stall if how == "stall" else relay.cut)()
        await asyncio.sleep(lasts_s)
        for relay in relays:
            relay.set_delay(0.0)
            relay.restore()

    async def _clear_faults(self) -> None:
        """Ends all faults of links and disks, resumes suspended processes, and restarts those that ended."""
        for relay in self.relays.values():
            relay.set_delay(0.0)
            relay.restore()
        for p in self.processes:
            p.limit_file_size(None)
            p.resume()
            if not p.is_running:
                await p.spawn()

    async def _request_leader(self, command: dict[str, Any]) -> None:
        """Sends the command once to the member that answers as leader. If no member does at that moment, the
        command is skipped."""
        for p in self.processes:
            client = self.member_client(p.name)
            try:
                if (await client.request({"do": "status"}, 0.5)).get("role") == "leader":
                    await client.request(command, 2.0)
                    return
            except (NoAnswer, NotExecuted):
                continue
            finally:
                client.close()

    # ---- clients

    def member_client(self, name: str) -> MemberClient:
        """Returns a new client of that member. The caller closes it."""
        return MemberClient(self.ports[name], self.site, self.site)

    async def _run_register_client(self, number: int) -> None:
        """Sends compare-and-set writes (30 %), plain writes (30 %) and reads (40 %) to random members."""
        random = Random(f"{self.plan.seed} {number}")
        clients = {name: self.member_client(name) for name in self.names}
        n, versions = 0, {"x": 0, "y": 0}
        while not self.stopping:
            await asyncio.sleep(random.uniform(0.01, 0.12))
            key, name, roll = random.choice("xy"), random.choice(self.names), random.random()
            n += 1
            expected = versions[key] if roll < 0.3 else -1
            value = f"{number}.{n}"
            command = {"do": "put", "key": key, "value": value, "version": expected, "deadline_ms": 800}
            write = roll < 0.6
            if not write:
                command = {"do": "get", "key": key, "deadline_ms": 800}
            await self._run_operation(clients[name], key, command, write, value, expected, versions)
        for client in clients.values():
            client.close()

    async def _run_operation(
        self, client: MemberClient, key: str, command: dict[str, Any], write: bool, value: str, expected: int,
        versions: dict[str, int],
    ) -> None:  # fmt: skip
        """Sends one command and adds it to the register's history. `expected`: the version that the write
        requires, -1 if any. A write that found another version is added as a read of the value it found. A
        command that was not executed is not added, nor is a read without an answer."""
        begin = time.monotonic()
        try:
            reply = await client.request(command, 2.0)
        except NotExecuted:
            self.outcomes["refused"] += 1
            return
        except NoAnswer:
            reply = {"fate": "unknown"}
        fate, end = reply["fate"], time.monotonic()
        self.outcomes[fate] += 1
        if fate == "committed":
            if write and reply["done"]:
                self.ops[key].append(Op(True, value.encode(), begin, end, expected))
                versions[key] = reply["epoch"]
            else:
                self.ops[key].append(Op(False, reply["value"].encode(), begin, end))
                versions[key] = reply.get("version", reply.get("epoch", 0))
        elif fate == "unknown" and write:
            self.ops[key].append(Op(True, value.encode(), begin, None, expected))

    async def _run_lease_client(self, number: int) -> None:
        """Takes and drops the lease through one member, and records when that member claims to hold it."""
        name, random = self.names[number], Random(f"{self.plan.seed} lease {number}")
        client = self.member_client(name)
        while not self.stopping:
            await asyncio.sleep(random.uniform(0.01, 0.05))
            try:
                begin = time.monotonic()
                epoch = (await client.request({"do": "holds", "lease": "drill"}, 5.0))["epoch"]
                if epoch:
                    self.claims.append(Claim(begin, time.monotonic(), name, epoch))
                if epoch and random.random() < 0.08:
                    await client.request({"do": "drop", "lease": "drill", "deadline_ms": 300}, 1.0)
                elif not epoch and random.random() < 0.3:
                    await client.request({"do": "take", "lease": "drill", "deadline_ms": 300}, 1.0)
            except (NoAnswer, NotExecuted):
                await asyncio.sleep(0.05)
        client.close()

    async def _read_all_registers(self) -> None:
        """Reads each register at each member, as the last operations of its history."""
        for name in self.names:
            client = self.member_client(name)
            for key in self.ops:
                command = {"do": "get", "key": key, "deadline_ms": 5_000}
                await self._run_operation(client, key, command, False, "", -1, {})
            client.close()

    # ---- convergence

    async def wait_until_converged(self, when: str) -> None:
        """Waits until all members agree on a leader, all voters vote, and each member may act and has applied
        nearly all committed entries. Lets removed members back in. Raises RunFailed after
        `CONVERGENCE_TIMEOUT_S`. `when` describes the moment in the message of that error."""
        end, clients = (
            time.monotonic() + CONVERGENCE_TIMEOUT_S,
            {n: self.member_client(n) for n in self.names},
        )
        statuses: dict[str, Any] = {}
        try:
            while True:
                for name, client in clients.items():
                    try:
                        statuses[name] = await client.request({"do": "status"}, 1.0)
                    except (NoAnswer, NotExecuted) as e:
                        statuses[name] = {"cause": str(e) or "no answer"}
                    for barred in statuses[name].get("barred", []):
                        await self._request_leader({"do": "bar", "name": barred, "out": False})
                if self._is_converged(statuses):
                    return
                if time.monotonic() > end:
                    logs = {p.name: p.log.read_text()[-400:] for p in self.processes if p.log.exists()}
                    raise RunFailed(
                        f"not converged within {CONVERGENCE_TIMEOUT_S} s {when}: "
                        f"{json.dumps(statuses)}; {logs}"
                    )
                await asyncio.sleep(0.05)
        finally:
            for client in clients.values():
                client.close()

    def _is_converged(self, statuses: dict[str, Any]) -> bool:
        leaders = {s.get("leader") for s in statuses.values()}
        if len(leaders) != 1 or not all(s.get("leader") for s in statuses.values()):
            return False
        highest_commit = max(s["commit"] for s in statuses.values())
        voters = sum(s["votes"] for s in statuses.values())
        return voters == self.plan.members and all(
            s["epoch"] and s["applied"] >= highest_commit - 20 and s["id"].startswith(f"{name}.")
            for name, s in statuses.items()
        )


SUMMED_FIELDS = ("ops", "claims", "committed", "refused", "unknown")


async def run_rounds(
    plans: list[Plan], at_once: int, quiet: bool, round_class: type[Round] = Round,
    summed_fields: Sequence[str] = SUMMED_FIELDS,
) -> dict[str, Any]:  # fmt: skip
    """Runs rounds of `round_class`, `at_once` at the same time. Returns the sums of their results, with the
    violations as `faults` and the plans of the rounds that had some as `replay`. `quiet`: prints no
    progress."""
    results, failed_plans = await run_all(
        plans, lambda plan, folder: round_class(plan, folder).run(), at_once, quiet
    )
    convergence_s = sorted(r["whole_s"] for r in results)
    total: dict[str, Any] = {
        "drill": plans[0].work or "group", "members": plans[0].members, "observers": plans[0].observers,
        "rounds": len(plans), "seed": plans[0].seed,
        "whole_s": {"p50": convergence_s[len(convergence_s) // 2], "max": convergence_s[-1]},
        "replay": failed_plans,
    }  # fmt: skip
    for name in summed_fields:
        total[name] = sum(r.get(name, 0) for r in results)
    total["faults"] = [f for r in results for f in r["faults"]]
    return total


def make_parser(name: str, doc: str) -> argparse.ArgumentParser:
    """Returns a parser of the options that all drills have. `doc`: a docstring whose first line describes the
    program."""
    parser = argparse.ArgumentParser(name, description=doc.split("\n")[0])
    parser.add_argument("--members", type=int, default=3, help="voting members")
    parser.add_argument("--observers", type=int, default=0)
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--at-once", type=int, default=4)
    parser.add_argument("--json", action="store_true", help="print only the last line, the result as JSON")
    parser.add_argument("--replay", metavar="PLAN", help="run this plan, as printed after a failed round")
    return parser


def main(
    parser: argparse.ArgumentParser, round_class: type[Round] = Round,
    summed_fields: Sequence[str] = SUMMED_FIELDS,
    draw: Callable[[argparse.Namespace, int], Plan] | None = None,
) -> int:  # fmt: skip
    """Runs a drill from the command line and returns its exit status. `draw`: draws the plan of a seed from
    the arguments, `Plan.draw` by default."""
    args = parser.parse_args()
    if args.rounds < 1 or not 1 <= args.members <= 9 or args.observers < 0 or args.at_once < 1:
        parser.error(
            "--rounds and --at-once must be at least 1, --members from 1 to 9, --observers at least 0"
        )
    try:
        seeds = range(args.seed, args.seed + args.rounds)
        if draw is not None:
            plans = [draw(args, n) for n in seeds]
        else:
            plans = [Plan.draw(n, args.members, args.observers) for n in seeds]
        if args.replay is not None:
            plans = [Plan.read(args.replay)]
    except (ValueError, TypeError, KeyError) as e:
        parser.error(f"--replay: {e}")
    try:
        result = asyncio.run(run_rounds(plans, args.at_once, args.json, round_class, summed_fields))
    except RunFailed as e:
        print(f"{parser.prog}: {e}", file=sys.stderr)
        return 2
    if not args.json:
        print_summary(result, ("rounds", *summed_fields))
    print(json.dumps(result))
    return 1 if result["faults"] else 0


if __name__ == "__main__":
    sys.exit(main(make_parser("standins.drill", __doc__ or "")))
