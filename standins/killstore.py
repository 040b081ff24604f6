"""Kills a gateway and the store of record in it at random moments under load, and counts every report.

    python -m standins.killstore [--store sqlite|postgres] [--gateways 1] [--rounds 10] [--seed 1]
                                 [--at-once 4] [--json] [--replay PLAN]

A round: real processes over one store in front of a stand-in node and archive, clients that send reports and
send them again under the same key, to one gateway or another, until they have an answer, and kills (SIGKILL),
each followed by a new start over the same store. With postgres that is a stand-in server in this process,
which is killed and started again too, and now and then cuts a connection after a commit and before its reply.
All of it is drawn before the round begins, as a plan; one that ends with a fault is printed, and `--replay`
plays it again. Judged at the end: every confirmed report is in the store exactly once with the body that was
sent; one that only ever was refused and never ran is not; no effect happened twice at the archive; what is
left open or unknown is counted. Exit status 1 where that does not hold, 2 where no round could be played. All
traffic stays on loopback and ends by itself.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random
from typing import Any

from standins.archive import Archive
from standins.discovery import Discovery
from standins.node import Node
from standins.pgserver import Cut, PgServer
from standins.process import Process
from standins.reports import Clients, Held, Report, ask, held, judge, quiet
from standins.rounds import play_all, tell
from standins.world import Failed

WINDOW_S = 8.0
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "grades": [
        {"name": "level-read", "repeat": "read_like", "sloUs": 500_000, "giveUpUs": 2_000_000,
         "lateValue": 0.2},
        {"name": "field-report", "repeat": "idempotency_key", "group": "all", "keyTtlUs": int(WINDOW_S * 1e6),
         "sloUs": 500_000, "giveUpUs": 2_000_000, "lateValue": 0.2},
    ],
    "permissions": {"maxAttempts": 2, "secondCopies": False, "mayCancel": True, "probes": False,
                    "retryAfter": True, "maxRetryAfterUs": 200_000, "connectTimeoutUs": 500_000,
                    "connIdleUs": 60_000_000},
    "rules": {"coldFrom": 0.3, "coldUs": 8_000_000},
}  # fmt: skip
OPERATOR = '[site]\nname = "west"\n[record]\nsettle = "1s"\n'
STORES = {
    "sqlite": '[record.sqlite]\npath = "record.sqlite"\n',
    "postgres": '[record.postgres]\ndsn = "{dsn}"\n',
}


@dataclass(frozen=True)
class Kill:
    after_s: float  # since the last one was up again
    what: int  # the number of a gateway; -1: the server
    down_s: float


@dataclass(frozen=True)
class Plan:
    """All that is drawn of a round. Its moments are kept when it is played again; who comes first within one
    is the system's."""

    seed: int
    store: str = "sqlite"
    gateways: int = 1
    clients: int = 6
    kills: tuple[Kill, ...] = ()
    cuts: tuple[int, ...] = ()  # after which of the server's commits the connection breaks
    rest_s: float = 0.1
    moves: float = 0.3  # of the tries, how many go to another gateway than the one before

    @classmethod
    def draw(cls, seed: int, store: str, gateways: int) -> Plan:
        r = Random(seed)
        server = -1 if store == "postgres" else 0
        kills = tuple(
            Kill(round(r.uniform(0.05, 0.5), 4),
                 server if server < 0 and r.random() < 0.5 else r.randrange(gateways),
                 round(r.uniform(0, 0.3), 4))
            for _ in range(2)
        )  # fmt: skip
        cuts = tuple(n for n in range(2_000) if r.random() < 0.02) if server < 0 else ()
        return cls(seed, store, gateways, kills=kills, cuts=cuts, rest_s=round(r.uniform(0.05, 0.2), 4))

    @classmethod
    def read(cls, text: str) -> Plan:
        """Raises ValueError, TypeError."""
        given = json.loads(text)
        kills = tuple(Kill(**k) for k in given.pop("kills"))
        return cls(**{**given, "kills": kills, "cuts": tuple(given["cuts"])})

    def text(self) -> str:
        return json.dumps(asdict(self), separators=(",", ":"))


class Round:
    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.pg = PgServer() if plan.store == "postgres" else None
        self.commits, self.cuts = 0, frozenset(plan.cuts)
        self.archive = Archive("west", time_s=0.01, window_s=WINDOW_S)
        self.node = Node("west-0", self.archive, plan.seed, slow_share=0.1, slow_s=0.15)
        self.discovery = Discovery()
        self.gateways = [Process(f"k{n}", folder, "operator.toml") for n in range(plan.gateways)]
        self.clients = Clients(plan.seed, self.gateways, plan.moves)

    async def prepare(self) -> None:
        """All but the gateway."""
        await self.node.start()
        await self.discovery.start()
        places = [{**self.node.entry(), "instanceId": f"west-{n}"} for n in range(4)]
        self.discovery.set(places)
        for g in self.gateways:
            g.config.write_text(json.dumps({
                "name": g.name, "listen": f"127.0.0.1:{g.port}", "seed": g.name.encode().hex(),
                "discovery": f"127.0.0.1:{self.discovery.port}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
                "settings": {**SETTINGS, "balancers": len(self.gateways)},
            }))  # fmt: skip
        store = STORES[self.plan.store]
        if self.pg is not None:
            await self.pg.start()
            self.pg.faults.after = self._cut
            store = store.format(dsn=self.pg.dsn)
        (self.folder / "operator.toml").write_text(OPERATOR + store)

    async def play(self) -> dict[str, Any]:
        await self.prepare()
        try:
            await asyncio.gather(*(g.start() for g in self.gateways))
            clients = [asyncio.create_task(self.clients.client(n)) for n in range(self.plan.clients)]
            for kill in self.plan.kills:
                await asyncio.sleep(kill.after_s)
                if kill.what < 0:
                    assert self.pg is not None
                    self.pg.kill()
                    await asyncio.sleep(kill.down_s)
                    await self.pg.start()
                else:
                    await self.gateways[kill.what].kill()
                    await self.gateways[kill.what].start()
            await asyncio.sleep(self.plan.rest_s)
            self.clients.over = True
            await asyncio.gather(*clients)
            await quiet(self.held)
        finally:
            await self.end()
        return self.judge()

    async def end(self) -> None:
        for g in self.gateways:
            await g.end()
        self.node.stop()
        self.discovery.stop()
        if self.pg is not None:
            self.pg.kill()

    async def _cut(self, text: str) -> None:
        """The commit is done, and its client never hears so."""
        if text == "COMMIT":
            self.commits += 1
            if self.commits in self.cuts:
                raise Cut

    def held(self) -> Held:
        return held(self.folder, self.pg)

    async def ask(self, report: Report, at: Process) -> tuple[int, float]:
        return await ask(report, at.port)

    def judge(self) -> dict[str, Any]:
        return judge(self.clients.reports, self.held(), self.archive.effects)


async def rounds(plans: list[Plan], at_once: int, quiet: bool) -> dict[str, Any]:
    done, faulty = await play_all(plans, lambda plan, folder: Round(plan, folder).play(), at_once, quiet)
    first = plans[0]
    total: dict[str, Any] = {
        "killstore": first.store, "gateways": first.gateways, "rounds": len(plans), "seed": first.seed,
        "replay": faulty,
    }  # fmt: skip
    for name in ("reports", "confirmed", "refused", "open", "unknown", "broke"):
        total[name] = sum(d[name] for d in done)
    total["faults"] = [f for d in done for f in d["faults"]]
    return total


def main() -> int:
    parser = argparse.ArgumentParser("standins.killstore", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--store", choices=list(STORES), default="sqlite")
    parser.add_argument("--gateways", type=int, default=1, help="processes over one store")
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--at-once", type=int, default=4)
    parser.add_argument("--json", action="store_true", help="only the last line, for programs")
    parser.add_argument("--replay", metavar="PLAN", help="a plan as a faulty round prints it")
    args = parser.parse_args()
    if args.rounds < 1 or args.gateways < 1 or args.at_once < 1:
        parser.error("--rounds, --gateways and --at-once are 1 at least")
    try:
        plans = [Plan.draw(args.seed + n, args.store, args.gateways) for n in range(args.rounds)]
        if args.replay is not None:
            plans = [Plan.read(args.replay)]
    except (ValueError, TypeError, KeyError) as e:
        parser.error(f"--replay: {e}")
    try:
        found = asyncio.run(rounds(plans, args.at_once, args.json))
    except Failed as e:
        print(f"standins.killstore: {e}", file=sys.stderr)
        return 2
    if not args.json:
        tell(found, ("rounds", "reports", "confirmed", "refused", "broke", "open", "unknown"))
    print(json.dumps(found))
    return 1 if found["faults"] else 0


if __name__ == "__main__":
    sys.exit(main())
