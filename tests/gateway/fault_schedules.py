"""Runs seeded schedules of link faults between two sites under traffic, and reports which rules are violated.

    python -m tests.gateway.fault_schedules --from 1 --count 2000 [--at-once 8] [--slack 0.25]

prints the progress, the violations by seed, and finally one line of JSON. The exit status is 1 if any rule
was violated.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
from collections import Counter
from random import Random

import uvloop

from standins import invariants, schedule
from standins.client import ClientRequest
from tests.gateway.sites import FAST_PING_SETTINGS, OTHER_SITE, SETTINGS, Sites, sites

SCHEDULE_S = 1.2
# Clients wait at least this much longer than the slack, so that a late answer is seen as late, not missing.
MIN_GRACE_S = 0.5
DEADLINES_S = (0.15, 0.8, 0.8)
KINDS = ("level-read", "level-read", "field-report", "once")


async def client(
    s: Sites, random: Random, sent_requests: list[ClientRequest], home_sites: dict[str, str],
    deadline_factor: float,
) -> None:  # fmt: skip
    """Sends a request, and for a report up to two retries with its key, at either site.

    Appends what it sends to `sent_requests`. If the request has enough time to be served at the home site of
    its key, adds this site to `home_sites`, by key.
    """
    await asyncio.sleep(random.random() * SCHEDULE_S)
    at, kind = random.choice(("west", "east")), random.choice(KINDS)
    home = random.choice(("west", "east", OTHER_SITE[at]))
    key = f"{home[0]}-{s.number}" + ("~90000" if random.random() < 0.1 else "")
    # A report with too little time may run without being confirmed; only nodes could then drop its retry.
    deadline_s = max(DEADLINES_S) if kind == "field-report" else random.choice(DEADLINES_S)
    if deadline_s > 0.5:  # less may be too little for a slow node, even with a good link
        home_sites[key] = home
    a = s.new_request(at, kind, key, deadline_s=deadline_factor * deadline_s)
    for _ in range(3):
        sent_requests.append(a)
        await s.send(a)
        if a.status == 200 or kind != "field-report":
            return
        await asyncio.sleep(random.random() * 0.2)
        at = random.choice(("west", "east"))
        again = s.new_request(
            at, kind, key, deadline_s=deadline_factor * max(DEADLINES_S), idempotency_key=a.idempotency_key
        )
        again.retry_of = a.name
        a = again


async def run_schedule(
    seed: int, slack_s: float, deadline_factor: float = 1.0, requests: int = 30
) -> tuple[list[str], Counter[str], list[str]]:
    """Runs the schedule drawn from `seed`. Returns the violated rules, event counts and the faults.
    `deadline_factor` multiplies all deadlines, for a slow machine. Clients wait longer than the slack;
    otherwise an answer within the slack would be counted as missing."""
    random = Random(seed)
    kinds = random.choice((schedule.KINDS, schedule.KINDS, (random.choice(schedule.KINDS),)))
    faults = schedule.draw(seed, SCHEDULE_S, kinds, duration_scale_s=0.25)
    sent_requests: list[ClientRequest] = []
    home_sites: dict[str, str] = {}
    counts: Counter[str] = Counter()
    # The nodes do not deduplicate, so a report that the gateways let through twice has two effects. With a
    # `deadline_factor` for a slow machine they do: a report may run out of time after it ran, and only nodes
    # can then drop its retry. `maxAttempts` is 1 because the Router would retry with nodes that deduplicate.
    # The retry window outlasts all retries.
    grades = [{**g, "keyTtlUs": 60_000_000} if "keyTtlUs" in g else g for g in SETTINGS["grades"]]
    permissions = {**SETTINGS["permissions"], "maxAttempts": 1, "connectTimeoutUs": 5_000_000}
    info = {"grades": grades, "permissions": permissions}
    site_options = {
        "archive": {"deduplicates": deadline_factor > 1}, "node": {"slow_share": 0.15}, "info": info
    }  # fmt: skip
    async with sites(
        seed,
        random.choice((0.0, 0.004)),
        each={"west": site_options, "east": site_options},
        link=FAST_PING_SETTINGS,
    ) as s:
        for site in (s.west, s.east):
            site.client.grace_s = max(site.client.grace_s, slack_s + MIN_GRACE_S)
        await asyncio.gather(
            *(schedule.inject_faults(relay, faults) for relay in s.relays.values()),
            *(client(s, random, sent_requests, home_sites, deadline_factor) for _ in range(requests)),
        )
        for site in (s.west, s.east):
            site.client.close()
            counts.update(site.gateway.counters.values)
        effects = [s.west.archive.effects, s.east.archive.effects]
        unsolicited = s.west.client.unsolicited + s.east.client.unsolicited
        violations = invariants.violations(sent_requests, effects, unsolicited, slack_s, home_sites)
        for site in (s.west, s.east):
            violations += [
                f"{site.name}: {line}" for line in site.lines if "Traceback" in line or "overdue" in line
            ]
    counts.update(f"{a.kind} {a.status}" for a in sent_requests)
    return violations, counts, [str(f) for f in faults]


async def run_schedules(
    seeds: range, at_once: int, slack_s: float, deadline_factor: float = 1.0, progress: bool = False
) -> tuple[dict[int, list[str]], Counter[str]]:  # fmt: skip
    """Runs one schedule for each seed, `at_once` at a time. Returns violations by seed and counts."""
    failed_seeds: dict[int, list[str]] = {}
    counts: Counter[str] = Counter()
    left, done = iter(seeds), 0

    async def worker() -> None:
        nonlocal done
        for seed in left:
            violations, schedule_counts, faults = await run_schedule(seed, slack_s, deadline_factor)
            if violations:
                failed_seeds[seed] = [*violations, f"schedule: {', '.join(faults)}"]
            counts.update(schedule_counts)
            done += 1
            if progress:
                print(
                    f"{done} of {len(seeds)} schedules, {len(failed_seeds)} broken",
                    end="\r",
                    file=sys.stderr,
                    flush=True,
                )

    await asyncio.gather(*(worker() for _ in range(at_once)))
    return failed_seeds, counts


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--from", type=int, default=1, dest="first")
    parser.add_argument("--count", type=int, default=200)
    parser.add_argument("--at-once", type=int, default=8)
    parser.add_argument(
        "--slack", type=float, default=0.25, help="how late an answer may be after its deadline, in seconds"
    )
    args = parser.parse_args()
    started = time.monotonic()
    seeds = range(args.first, args.first + args.count)
    failed_seeds, counts = uvloop.run(run_schedules(seeds, args.at_once, args.slack, progress=True))
    print(file=sys.stderr)
    for seed, violations in sorted(failed_seeds.items()):
        print(f"seed {seed}:")
        for line in violations:
            print(f"  {line}")
    for name, count in sorted(counts.items()):
        print(f"{name:40} {count:8}")
    result = {
        "benchmark": "worlds", "schedules": args.count, "broken": len(failed_seeds), "slack_s": args.slack,
        "seconds": round(time.monotonic() - started, 1), "counts": dict(sorted(counts.items())),
    }  # fmt: skip
    print(json.dumps(result))
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
