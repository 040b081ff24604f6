"""Drill of takeover with two sites: gateways are lost while reports cross the link between the sites.

    python -m standins.between [--work sqlite|postgres|group] [--kinds kill,stop,...] [--members 3]
                               [--rounds 10] [--seed 1] [--at-once 2] [--json] [--replay PLAN]

Each of two linked sites runs a round of `standins.takeover`. All reports belong to the east. Most clients
send them to the west, whose gateways forward them over the link, and some send or retry them at the east
itself. One plan holds the faults of the processes of both sites and of the links between them.

The checks are those of `standins.takeover`, at both stores: a report that was confirmed at either site must
have had one effect, must be stored once at the east, and must be confirmed by each process of both sites. No
report may be open at either site.
"""

from __future__ import annotations

import asyncio
import json
import sys
from argparse import Namespace
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

from standins import drill, takeover
from standins.drill import Fault, Plan
from standins.relay import Relay
from standins.reports import ReportClients
from standins.takeover import SUMMED_FIELDS, Round
from standins.world import free_port

# Relative frequency of each kind of link fault.
LINK_FAULT_WEIGHTS = {"link cut": 3, "link stall": 2, "link one way": 1, "link flap": 1, "link reset": 2}


def draw(args: Namespace, seed: int) -> Plan:
    """Draws the plan of a seed: the faults of both sites, and of the links unless `--kinds` is given. Raises
    KeyError for an unknown kind of fault."""
    west, east = takeover.draw(args, seed), takeover.draw(args, seed + 1_000_000)
    random = Random(f"{seed} links")
    kinds = random.choices(
        list(LINK_FAULT_WEIGHTS),
        list(LINK_FAULT_WEIGHTS.values()),
        k=0 if args.kinds else random.randint(0, 2),
    )
    links = [Fault(round(random.uniform(0.2, drill.LOAD_S), 3), kind, (random.randrange(args.members),),
                   round(10 ** random.uniform(-1.3, 0.3), 3)) for kind in kinds]  # fmt: skip
    return replace(west, there=tuple(sorted((*east.faults, *links), key=lambda f: f.at_s)))


class SiteRound(Round):
    """A round of `standins.takeover` at one of two linked sites."""

    def __init__(self, plan: Plan, folder: Path, site: str, relayed: bool = True) -> None:
        folder.mkdir()
        super().__init__(plan, folder, relayed)
        self.site = site
        self.gateway_ports = {name: free_port() for name in self.names}
        self.links: dict[str, Relay] = {}  # from the other site to each gateway of this one
        self.peer_ports: list[int] = []  # of the relays to the gateways of the other site

    async def start_links(self) -> list[int]:
        """Starts the relays to this site's gateways. Returns the ports to which the other site connects."""
        for name, port in self.gateway_ports.items():
            self.links[name] = Relay(("127.0.0.1", port), self.plan.seed)
            await self.links[name].start()
        return [link.port for link in self.links.values()]

    def extra_toml(self, name: str) -> str:
        peers = json.dumps([f"127.0.0.1:{port}" for port in self.peer_ports])
        tables = [f'[gateway]\nlisten = "127.0.0.1:{self.gateway_ports[name]}"\ntls = {{ plain = true }}']
        for site, prefix in (("west", "w-"), ("east", "g-")):
            peers_line = "" if site == self.site else f"\npeers = {peers}"
            tables.append(f'[gateway.sites.{site}]\nprefixes = ["{prefix}"]{peers_line}')
        return "\n".join([*tables, super().extra_toml(name)])

    async def inject_fault(self, fault: Fault, began: float) -> None:
        if not fault.kind.startswith("link"):
            await super().inject_fault(fault, began)
            return
        await asyncio.sleep(max(0.0, began + fault.at_s - asyncio.get_running_loop().time()))
        link = self.links[self.names[fault.who[0]]]
        match fault.kind:
            case "link reset":
                link.break_all()
            case "link flap":
                for _ in range(int(fault.lasts_s / 0.1)):
                    await self._impair_links([link], 0.05, "cut")
                    await asyncio.sleep(0.05)
            case "link one way":
                link.stall(fault.who[0] % 2)
                await asyncio.sleep(fault.lasts_s)
                link.restore()
            case _:
                await self._impair_links([link], fault.lasts_s, fault.kind.removeprefix("link "))

    async def close(self) -> None:
        await super().close()
        for link in self.links.values():
            link.stop()


class TwoSiteRound(SiteRound):
    """The round at the west. It also runs the round at the east (`east`) and the clients of both sites."""

    def __init__(self, plan: Plan, folder: Path, relayed: bool = True) -> None:
        super().__init__(plan, folder / "west", "west", relayed)
        self.east = SiteRound(replace(plan, faults=plan.there, there=()), folder / "east", "east", relayed)
        self.fault_tasks: list[asyncio.Task[None]] = []
        self.report_clients = ReportClients(plan.seed, [*self.processes * 3, *self.east.processes], 0.5)

    async def prepare(self) -> None:
        self.peer_ports, self.east.peer_ports = await self.east.start_links(), await self.start_links()
        await super().prepare()
        await self.east.prepare()
        await asyncio.gather(*(p.spawn() for p in self.east.processes))

    def start_load(self) -> list[asyncio.Task[None]]:
        began = asyncio.get_running_loop().time()
        self.fault_tasks = [asyncio.create_task(self.east.inject_fault(f, began)) for f in self.plan.there]
        return super().start_load()

    async def _clear_faults(self) -> None:
        await asyncio.gather(*self.fault_tasks)
        for link in (*self.links.values(), *self.east.links.values()):
            link.restore()
        await asyncio.gather(super()._clear_faults(), self.east._clear_faults())

    async def wait_until_converged(self, when: str) -> None:
        await super().wait_until_converged(when)
        await self.east.wait_until_converged(when)

    async def run_after_load(self) -> None:
        await self.wait_until_none_open()
        await self.east.wait_until_none_open()
        await self.resend_confirmed(self.east.processes)
        # If a client retried a report at the east and was answered there, its outcome is unknown to the west.
        unknown = {key for key, state, _ in await self.read_rows() if state == "unknown"}
        await self.resend_confirmed(self.processes, unknown)

    async def close(self) -> None:
        self.east.convergence_s = self.convergence_s
        await self.east.close()
        await super().close()

    def evaluate(self, violations: list[str]) -> dict[str, Any]:
        west_rows = [] if violations else self.final_rows
        reports = {r.key: r for r in self.report_clients.reports}
        violations += [f"{key} had an effect at the west" for key in self.archive.effects]
        for key, state, body in west_rows:
            report, ran = reports.get(key), self.east.archive.effects.get(key) == 1
            if report is None or report.body != body or (state == "confirmed" and not ran):
                violations.append(f"{key} is wrongly {state} at the west")
        if len({key for key, _, _ in west_rows}) < len(west_rows):
            violations.append("a report is stored twice at the west")
        # All reports belong to the east, so the common checks use its rows and its archive.
        self.final_rows, self.archive = self.east.final_rows, self.east.archive
        return super().evaluate(violations)

    @property
    def has_stop_fault(self) -> bool:
        return super().has_stop_fault or self.east.has_stop_fault


if __name__ == "__main__":
    sys.exit(
        drill.main(takeover.work_parser("standins.between", __doc__ or ""), TwoSiteRound, SUMMED_FIELDS, draw)
    )
