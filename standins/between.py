"""Two sites whose reports cross: what a lost gateway of either one had in hand is answered by another, once.

    python -m standins.between [--work sqlite|postgres|group] [--kinds kill,stop,...] [--members 3]
                               [--rounds 10] [--seed 1] [--at-once 2] [--json] [--replay PLAN]

A round of `standins.takeover` at each of two sites that are linked. All reports belong to the east; most
clients ask the west, whose gateways send them over the link, and some try on at the east itself. Faults come
to the processes of both sites and to the links between them, by one plan. Judged as there, at both stores:
a report that was confirmed anywhere had one effect, is held once at the east, and is confirmed at each
process of both sites; nothing is left open at either one.
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
from standins.reports import Clients
from standins.takeover import COUNTED, Round
from standins.world import free_port

LINKS = {"link cut": 3, "link stall": 2, "link one way": 1, "link flap": 1, "link reset": 2}


def draw(args: Namespace, seed: int) -> Plan:
    """Raises KeyError for a kind that there is not."""
    here, there = takeover.draw(args, seed), takeover.draw(args, seed + 1_000_000)
    r = Random(f"{seed} links")
    kinds = r.choices(list(LINKS), list(LINKS.values()), k=0 if args.kinds else r.randint(0, 2))
    links = [Fault(round(r.uniform(0.2, drill.LENGTH_S), 3), kind, (r.randrange(args.members),),
                   round(10 ** r.uniform(-1.3, 0.3), 3)) for kind in kinds]  # fmt: skip
    return replace(here, there=tuple(sorted((*there.faults, *links), key=lambda f: f.at_s)))


class Site(Round):
    def __init__(self, plan: Plan, folder: Path, site: str, relayed: bool = True) -> None:
        folder.mkdir()
        super().__init__(plan, folder, relayed)
        self.site = site
        self.gates = {name: free_port() for name in self.names}
        self.links: dict[str, Relay] = {}  # to each gateway here, from the other site
        self.peers: list[int] = []  # ports on the way to the other site's

    async def listen(self) -> list[int]:
        """Where the other site's gateways connect."""
        for name, port in self.gates.items():
            self.links[name] = Relay(("127.0.0.1", port), self.plan.seed)
            await self.links[name].start()
        return [link.port for link in self.links.values()]

    def tables(self, name: str) -> str:
        peers = json.dumps([f"127.0.0.1:{port}" for port in self.peers])
        tables = [f'[gateway]\nlisten = "127.0.0.1:{self.gates[name]}"\ntls = {{ plain = true }}']
        for site, prefix in (("west", "w-"), ("east", "g-")):
            more = "" if site == self.site else f"\npeers = {peers}"
            tables.append(f'[gateway.sites.{site}]\nprefixes = ["{prefix}"]{more}')
        return "\n".join([*tables, super().tables(name)])

    async def _strike(self, f: Fault, begin: float) -> None:
        if not f.kind.startswith("link"):
            await super()._strike(f, begin)
            return
        await asyncio.sleep(max(0.0, begin + f.at_s - asyncio.get_running_loop().time()))
        link = self.links[self.names[f.who[0]]]
        match f.kind:
            case "link reset":
                link.break_all()
            case "link flap":
                for _ in range(int(f.lasts_s / 0.1)):
                    await self._meanwhile([link], 0.05, "cut")
                    await asyncio.sleep(0.05)
            case "link one way":
                link.stall(f.who[0] % 2)
                await asyncio.sleep(f.lasts_s)
                link.heal()
            case _:
                await self._meanwhile([link], f.lasts_s, f.kind.removeprefix("link "))

    async def end(self) -> None:
        await super().end()
        for link in self.links.values():
            link.stop()


class Between(Site):
    """The west; `there` is the east."""

    def __init__(self, plan: Plan, folder: Path, relayed: bool = True) -> None:
        super().__init__(plan, folder / "west", "west", relayed)
        self.there = Site(replace(plan, faults=plan.there, there=()), folder / "east", "east", relayed)
        self.struck: list[asyncio.Task[None]] = []
        self.reporting = Clients(plan.seed, [*self.processes * 3, *self.there.processes], 0.5)

    async def prepare(self) -> None:
        self.peers, self.there.peers = await self.there.listen(), await self.listen()
        await super().prepare()
        await self.there.prepare()
        await asyncio.gather(*(p.spawn() for p in self.there.processes))

    def begin(self) -> list[asyncio.Task[None]]:
        begin = asyncio.get_running_loop().time()
        self.struck = [asyncio.create_task(self.there._strike(f, begin)) for f in self.plan.there]
        return super().begin()

    async def _heal(self) -> None:
        await asyncio.gather(*self.struck)
        for link in (*self.links.values(), *self.there.links.values()):
            link.heal()
        await asyncio.gather(super()._heal(), self.there._heal())

    async def _until_whole(self, when: str) -> None:
        await super()._until_whole(when)
        await self.there._until_whole(when)

    async def last(self) -> None:
        await self.quiet()
        await self.there.quiet()
        await self.once_more(self.there.processes)
        # Who was told to come again, and had its answer at the east, left a row that the west can't tell.
        left = {key for key, state, _ in await self.held() if state == "unknown"}
        await self.once_more(self.processes, left)

    async def end(self) -> None:
        self.there.whole_s = self.whole_s
        await self.there.end()
        await super().end()

    def judge(self, faults: list[str]) -> dict[str, Any]:
        here = [] if faults else self.kept
        known = {r.key: r for r in self.reporting.reports}
        faults += [f"{key} had an effect at the west" for key in self.archive.effects]
        for key, state, body in here:
            r, ran = known.get(key), self.there.archive.effects.get(key) == 1
            if r is None or r.body != body or (state == "confirmed" and not ran):
                faults.append(f"{key} is {state} at the west, wrongly")
        if len({key for key, _, _ in here}) < len(here):
            faults.append("a report is held twice at the west")
        self.kept, self.archive = self.there.kept, self.there.archive
        return super().judge(faults)

    @property
    def stopped(self) -> bool:
        return super().stopped or self.there.stopped


if __name__ == "__main__":
    sys.exit(drill.run(takeover.options("standins.between", __doc__ or ""), Between, COUNTED, draw))
