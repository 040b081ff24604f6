"""Drill of the store of record: gateways and the database server are killed at random moments under load.

    python -m standins.killstore [--store sqlite|postgres] [--gateways 1] [--rounds 10] [--seed 1]
                                 [--at-once 4] [--json] [--replay PLAN]

A round runs real processes over one store, in front of a stand-in node and archive. Clients send reports, and
retry each under the same key at one gateway or another until it is answered. The faults are kills (SIGKILL),
each followed by a restart over the same store. With postgres, the store is a stand-in server in this
process, which is killed and restarted too, and cuts some connections after a commit and before its reply.
The plan of a round is drawn before it starts. The plan of a round with violations is printed, and `--replay`
runs it again.

At the end, every confirmed report must be in the store exactly once with the body that was sent. A report
that was only refused and never ran must not be in the store. No report may have had two effects at the
archive. Reports that are open or of unknown outcome are counted. The exit status is 1 if a check fails and 2
if no round could be run. All traffic stays on the loopback interface, and all processes end with the
round.
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
from standins.pgserver import ConnectionDropped, PgServer
from standins.process import Process
from standins.reports import (
    ReportClients,
    Rows,
    Report,
    send_report,
    read_rows,
    evaluate_reports,
    wait_until_none_open,
)
from standins.rounds import print_summary, run_all
from standins.world import RunFailed

DEDUP_WINDOW_S = 8.0  # within which the archive ignores a repeated report; `keyTtlUs` of its class
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "grades": [
        {"name": "level-read", "repeat": "read_like", "sloUs": 500_000, "giveUpUs": 2_000_000,
         "lateValue": 0.2},
        {"name": "field-report", "repeat": "idempotency_key", "group": "all",
         "keyTtlUs": int(DEDUP_WINDOW_S * 1e6), "sloUs": 500_000, "giveUpUs": 2_000_000, "lateValue": 0.2},
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
    """A kill and the restart after it."""

    after_s: float  # time since the restart after the previous kill
    what: int  # index of the gateway; -1: the database server
    down_s: float  # until the server is started again; a gateway is started at once


@dataclass(frozen=True)
class Plan:
    """Everything about a round that is drawn from its seed. A replay has the same times, but the order of
    events that happen at nearly the same time may differ."""

    seed: int
    store: str = "sqlite"
    gateways: int = 1
    clients: int = 6
    kills: tuple[Kill, ...] = ()
    cuts: tuple[int, ...] = ()  # numbers of the server's commits after which the connection breaks
    rest_s: float = 0.1  # load after the last kill
    moves: float = 0.3  # share of tries before which a client chooses a gateway at random again

    @classmethod
    def draw(cls, seed: int, store: str, gateways: int) -> Plan:
        """Draws the plan of a seed for that store and number of gateways."""
        random = Random(seed)
        server = -1 if store == "postgres" else 0
        kills = tuple(
            Kill(round(random.uniform(0.05, 0.5), 4),
                 server if server < 0 and random.random() < 0.5 else random.randrange(gateways),
                 round(random.uniform(0, 0.3), 4))
            for _ in range(2)
        )  # fmt: skip
        cuts = tuple(n for n in range(2_000) if random.random() < 0.02) if server < 0 else ()
        return cls(seed, store, gateways, kills=kills, cuts=cuts, rest_s=round(random.uniform(0.05, 0.2), 4))

    @classmethod
    def read(cls, text: str) -> Plan:
        """Parses the output of `text`. Raises ValueError, TypeError or KeyError if it is malformed."""
        fields = json.loads(text)
        kills = tuple(Kill(**k) for k in fields.pop("kills"))
        return cls(**{**fields, "kills": kills, "cuts": tuple(fields["cuts"])})

    def text(self) -> str:
        """Returns the plan as JSON on one line."""
        return json.dumps(asdict(self), separators=(",", ":"))


class Round:
    """One round: the gateways, the stand-ins behind them, and the clients."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.pg = PgServer() if plan.store == "postgres" else None
        self.commits, self.cuts = 0, frozenset(plan.cuts)
        self.archive = Archive("west", service_time_s=0.01, dedup_window_s=DEDUP_WINDOW_S)
        self.node = Node("west-0", self.archive, plan.seed, slow_share=0.1, slow_s=0.15)
        self.discovery = Discovery()
        self.gateways = [Process(f"k{n}", folder, "operator.toml") for n in range(plan.gateways)]
        self.clients = ReportClients(plan.seed, self.gateways, plan.moves)

    async def prepare(self) -> None:
        """Starts everything except the gateways, and writes their files."""
        await self.node.start()
        await self.discovery.start()
        entries = [{**self.node.entry(), "instanceId": f"west-{n}"} for n in range(4)]
        self.discovery.set(entries)
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
            self.pg.faults.after_statement = self._cut_after_commit
            store = store.format(dsn=self.pg.dsn)
        (self.folder / "operator.toml").write_text(OPERATOR + store)

    async def run(self) -> dict[str, Any]:
        """Runs the round. Returns its counts and, as `faults`, the violations that were found."""
        await self.prepare()
        try:
            await asyncio.gather(*(g.start() for g in self.gateways))
            clients = [asyncio.create_task(self.clients.run_client(n)) for n in range(self.plan.clients)]
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
            self.clients.stopping = True
            await asyncio.gather(*clients)
            await wait_until_none_open(self.read_rows)
        finally:
            await self.close()
        return self.evaluate()

    async def close(self) -> None:
        """Ends the gateways and the stand-ins."""
        for g in self.gateways:
            await g.terminate()
        self.node.stop()
        self.discovery.stop()
        if self.pg is not None:
            self.pg.kill()

    async def _cut_after_commit(self, statement: str) -> None:
        """Cuts the connection after the commits that the plan names, so that their clients get no reply."""
        if statement == "COMMIT":
            self.commits += 1
            if self.commits in self.cuts:
                raise ConnectionDropped

    def read_rows(self) -> Rows:
        """Returns all rows of the store."""
        return read_rows(self.folder, self.pg)

    async def send_report(self, report: Report, gateway: Process) -> tuple[int, float]:
        """Sends the report once to that gateway; returns what `reports.send_report` does."""
        return await send_report(report, gateway.port)

    def evaluate(self) -> dict[str, Any]:
        """Checks the reports against the store and the archive. Returns the round's result."""
        return evaluate_reports(self.clients.reports, self.read_rows(), self.archive.effects)


async def run_rounds(plans: list[Plan], at_once: int, quiet: bool) -> dict[str, Any]:
    """Runs rounds, `at_once` at the same time. Returns the sums of their results, with the violations as
    `faults` and the plans of the rounds that had some as `replay`. `quiet`: prints no progress."""
    results, failed_plans = await run_all(
        plans, lambda plan, folder: Round(plan, folder).run(), at_once, quiet
    )
    first = plans[0]
    total: dict[str, Any] = {
        "killstore": first.store, "gateways": first.gateways, "rounds": len(plans), "seed": first.seed,
        "replay": failed_plans,
    }  # fmt: skip
    for name in ("reports", "confirmed", "refused", "open", "unknown", "broke"):
        total[name] = sum(r[name] for r in results)
    total["faults"] = [f for r in results for f in r["faults"]]
    return total


def main() -> int:
    parser = argparse.ArgumentParser("standins.killstore", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--store", choices=list(STORES), default="sqlite")
    parser.add_argument("--gateways", type=int, default=1, help="processes that share the store")
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--at-once", type=int, default=4)
    parser.add_argument("--json", action="store_true", help="print only the last line, the result as JSON")
    parser.add_argument("--replay", metavar="PLAN", help="run this plan, as printed after a failed round")
    args = parser.parse_args()
    if args.rounds < 1 or args.gateways < 1 or args.at_once < 1:
        parser.error("--rounds, --gateways and --at-once must be at least 1")
    try:
        plans = [Plan.draw(args.seed + n, args.store, args.gateways) for n in range(args.rounds)]
        if args.replay is not None:
            plans = [Plan.read(args.replay)]
    except (ValueError, TypeError, KeyError) as e:
        parser.error(f"--replay: {e}")
    try:
        result = asyncio.run(run_rounds(plans, args.at_once, args.json))
    except RunFailed as e:
        print(f"standins.killstore: {e}", file=sys.stderr)
        return 2
    if not args.json:
        print_summary(result, ("rounds", "reports", "confirmed", "refused", "broke", "open", "unknown"))
    print(json.dumps(result))
    return 1 if result["faults"] else 0


if __name__ == "__main__":
    sys.exit(main())
