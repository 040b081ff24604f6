"""Benchmark of the group: the cost of consensus and the time to detect a loss, measured and simulated.

    python -m benchmarks.group [--part latency|rest|kills|memory|simulated|watch] [--members 3] [--count N]
                               [--at-once 4]

latency    a committed command, compared with a bare SQLite commit of the same size plus a request without
           consensus; commands per second, with 64 in flight and with one
rest       messages and CPU time of each member without load
kills      from SIGKILL of the leader until another member leads, and until the loss is committed
memory     of one member after many commands
watch      COUNT seconds with all processors busy: which members were considered lost, elections, late timers
simulated  messages of all members with 200 observers, at rest and in each second after the leader's death

Prints one line of JSON. Times are in milliseconds.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import resource
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

from magpiefront.group import registry
from magpiefront.group.state_machines import REGISTRY
from magpiefront.group.durable import StoredState
from magpiefront.group.peer import Peer
from magpiefront.group.settings import GroupSettings, Limits
from magpiefront.model.group import GroupSimulation
from magpiefront.model.plan import Plan as Schedule
from magpiefront.sqlfile import open_database
from standins.drill import Plan, Round
from standins.member_client import MemberClient, NoAnswer, NotExecuted
from standins.rounds import temporary_folder

VALUE_BYTES = 100
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def quantiles(durations_s: list[float]) -> dict[str, float]:
    """Returns the median, the 99th percentile and the maximum, in milliseconds."""
    ordered = sorted(durations_s)
    return {name: round(ordered[min(len(ordered) - 1, int(q * len(ordered)))] * 1e3, 3)
            for name, q in (("p50", 0.5), ("p99", 0.99), ("max", 1.0))}  # fmt: skip


async def with_members(count: int, measure: Callable[[Round], Awaitable[dict[str, Any]]]) -> dict[str, Any]:
    """Starts a group of `count` real processes, calls `measure` once it has converged, and ends the
    processes. Returns the result of `measure`."""
    async with temporary_folder() as folder:
        group_round = Round(Plan(1, count), folder, relayed=False)
        await group_round.prepare()
        try:
            await asyncio.gather(*(p.spawn() for p in group_round.processes))
            await group_round.wait_until_converged("at the start")
            return await measure(group_round)
        finally:
            await group_round.close()


async def find_leader(group_round: Round, excluded: str = "", timeout_s: float = 10.0) -> str:
    """Polls the members, except the excluded one, until one answers as leader. Raises NoAnswer if none does
    in time."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        for name in group_round.names:
            if name == excluded:
                continue
            try:
                status = await group_round.member_client(name).request({"do": "status"}, 0.5)
            except (NoAnswer, NotExecuted):
                continue
            if status.get("role") == "leader":
                return name
        await asyncio.sleep(0.005)
    raise NoAnswer(f"no member became the leader within {timeout_s} s")


async def time_requests(client: MemberClient, command: dict[str, Any], count: int) -> list[float]:
    """Sends the command `count` times, one after the other. Returns the duration of each in seconds."""
    durations = []
    for _ in range(count):
        began = time.perf_counter()
        await client.request(command, 5.0)
        durations.append(time.perf_counter() - began)
    return durations


def time_bare_commits(folder: Path, count: int) -> list[float]:
    """Commits `count` rows, one by one, to a SQLite file in `folder`. Returns the duration of each in
    seconds."""
    db = open_database(folder / "bare.sqlite", ("CREATE TABLE t (at INTEGER PRIMARY KEY, data BLOB)",))
    durations = []
    for n in range(count):
        began = time.perf_counter()
        db.execute("BEGIN IMMEDIATE")
        db.execute("INSERT INTO t VALUES (?, ?)", (n, b"x" * VALUE_BYTES))
        db.execute("COMMIT")
        durations.append(time.perf_counter() - began)
    db.close()
    return durations


async def latency(members: int, count: int) -> dict[str, Any]:
    """Measures commands at the leader and at a follower, and the bare commits to which they are compared."""

    async def measure(group_round: Round) -> dict[str, Any]:
        leader = await find_leader(group_round)
        follower = next(n for n in group_round.names if n != leader)
        put = {"do": "put", "key": "k", "value": "x" * VALUE_BYTES, "deadline_ms": 5_000}
        found: dict[str, Any] = {}
        for role, member in (("leader", leader), ("follower", follower)):
            client = group_round.member_client(member)
            await time_requests(client, put, 50)
            found[f"put_{role}"] = quantiles(await time_requests(client, put, count))
            found[f"ask_{role}"] = quantiles(
                await time_requests(client, {"do": "holds", "lease": "none"}, count)
            )
            found[f"read_{role}"] = quantiles(await time_requests(client, {"do": "get", "key": "k"}, count))
            client.close()
        found["commit"] = quantiles(await asyncio.to_thread(time_bare_commits, group_round.folder, count))
        without_consensus = found["commit"]["p50"] + found["ask_leader"]["p50"]
        found["ratio"] = round(found["put_leader"]["p50"] / without_consensus, 2)
        alone = count / sum(await time_requests(group_round.member_client(leader), put, count))
        clients = [group_round.member_client(leader) for _ in range(64)]
        began = time.perf_counter()
        await asyncio.gather(*(time_requests(c, put, count // 8) for c in clients))
        together = 64 * (count // 8) / (time.perf_counter() - began)
        return {**found, "alone_per_s": round(alone), "together_per_s": round(together)}

    return {"members": members, **await with_members(members, measure)}


def cpu_s(pid: int) -> float:
    """Returns the CPU time of a process, user and system, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def rest(members: int, seconds: float) -> dict[str, Any]:
    """Measures the messages and the CPU time of each member without load."""

    async def measure(group_round: Round) -> dict[str, Any]:
        async def sent_counts() -> dict[str, int]:
            statuses = {
                n: await group_round.member_client(n).request({"do": "status"}, 2.0)
                for n in group_round.names
            }
            return {n: s["counts"].get("sent", 0) for n, s in statuses.items()}

        pids = {p.name: p.process.pid for p in group_round.processes if p.process is not None}
        before, cpu_before_s = await sent_counts(), {n: cpu_s(pid) for n, pid in pids.items()}
        await asyncio.sleep(seconds)
        after = await sent_counts()
        return {
            "messages_per_s": {n: round((after[n] - before[n]) / seconds, 1) for n in group_round.names},
            "cpu_share": {n: round((cpu_s(pid) - cpu_before_s[n]) / seconds, 4) for n, pid in pids.items()},
        }

    return {"members": members, **await with_members(members, measure)}


def idle_s() -> float:
    """Returns the idle time of all processors since the boot of the machine, in seconds."""
    return int(Path("/proc/stat").read_text().split(None, 5)[4]) / TICKS_PER_S


async def watch(members: int, seconds: float, load: int) -> dict[str, Any]:
    """Looks for members that are wrongly considered lost under load. No member is killed, so each member
    with an epoch above 1 was wrongly considered lost. `load`: the number of busy processes, which run at the
    same priority."""
    busy_loop = (sys.executable, "-c", "while True: pass")
    busy_processes = [await asyncio.create_subprocess_exec(*busy_loop) for _ in range(load)]

    async def measure(group_round: Round) -> dict[str, Any]:
        clients = {n: group_round.member_client(n) for n in group_round.names}
        began, idle_before_s, longest_s, count = time.monotonic(), idle_s(), 0.0, 0
        while time.monotonic() - began < seconds:
            for client in clients.values():
                sent_at = time.monotonic()
                with suppress(NoAnswer, NotExecuted):
                    await client.request(
                        {"do": "put", "key": "watch", "value": "x", "deadline_ms": 5_000}, 6.0
                    )
                longest_s, count = max(longest_s, time.monotonic() - sent_at), count + 1
            if sys.stderr.isatty():
                print(f"\r{time.monotonic() - began:.0f} of {seconds:.0f} s", end="", file=sys.stderr)
            await asyncio.sleep(0.2)
        took_s = time.monotonic() - began
        statuses = [await c.request({"do": "status"}, 5.0) for c in clients.values()]
        return {
            "seconds": round(took_s), "commands": count, "longest_ms": round(longest_s * 1e3),
            "busy_share": round(1 - (idle_s() - idle_before_s) / took_s / (os.cpu_count() or 1), 4),
            "epochs": {n: m["epoch"] for n, m in statuses[0]["members"].items()},
            "term": statuses[0]["term"],
            "elections": sum(s["elections"] for s in statuses),
            "late_timers": sum(s["counts"].get("late", 0) for s in statuses),
        }  # fmt: skip

    try:
        return {"members": members, **await with_members(members, measure)}
    finally:
        for p in busy_processes:
            p.kill()


async def measure_kill(members: int) -> tuple[float, float]:
    """Kills the leader of a new group. Returns the seconds until another member leads, and until the
    state of that member says that the killed one is lost."""

    async def measure(group_round: Round) -> dict[str, Any]:
        await asyncio.sleep(Random().uniform(0, 0.3))
        old_leader = await find_leader(group_round)
        process = next(p for p in group_round.processes if p.name == old_leader)
        began = time.perf_counter()
        await process.kill()
        new_leader = await find_leader(group_round, old_leader)
        led = time.perf_counter() - began
        client = group_round.member_client(new_leader)
        while (await client.request({"do": "status"}, 2.0))["members"][old_leader]["state"] == "well":
            await asyncio.sleep(0.005)
        return {"led": led, "lost": time.perf_counter() - began}

    found = await with_members(members, measure)
    return found["led"], found["lost"]


async def kills(members: int, count: int, at_once: int) -> dict[str, Any]:
    """Measures `count` kills of a leader, each in a new group, `at_once` at the same time."""
    semaphore = asyncio.Semaphore(at_once)

    async def limited(n: int) -> tuple[float, float]:
        async with semaphore:
            return await measure_kill(members)

    found = await asyncio.gather(*(limited(n) for n in range(count)))
    return {"members": members, "kills": count, "new_leader": quantiles([f[0] for f in found]),
            "lost": quantiles([f[1] for f in found]),
            "slowest_ms": [round(f[0] * 1e3) for f in sorted(found)[-5:]]}  # fmt: skip


def memory(count: int) -> dict[str, Any]:
    """Measures the memory of this process, which runs a single voter whose writes are discarded."""
    settings = GroupSettings("g", "a", ("", 0), Path("."), {"a": ("", 0)}, frozenset({"a"}), limits=Limits())
    peer = Peer(settings, StoredState("0", 1), Random(1), 0)
    now, committed, resident_kib = 0, 0, list[int]()

    def on_outcome(outcome: object) -> None:
        nonlocal committed
        committed += 1

    while committed < count:
        now += 50_000
        peer.tick(now)
        for n in range(100 if peer.is_leader else 0):
            put = registry.encode(registry.PutRegister(f"k{n}", b"x" * VALUE_BYTES))
            peer.propose(REGISTRY, put, now + 1_000_000, on_outcome, now)
        while peer.take_write() is not None:
            peer.saved(now)
        peer.messages()
        if committed >= len(resident_kib) * count // 10:
            resident_kib.append(
                int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize() >> 10
            )
    return {"commands": committed, "resident_kib": resident_kib}


def simulated(observers: int) -> dict[str, Any]:
    """Counts the messages of three voters and `observers` observers in simulated time."""
    simulation = GroupSimulation(Schedule(7, 3, observers), limits=Limits())
    for host in simulation.hosts:
        simulation.kernel.after(simulation.kernel.random.randrange(50_000), host.start)

    def messages_in_next_second() -> int:
        before = simulation.net.sent
        simulation.kernel.run(simulation.kernel.now_us + 1_000_000)
        return simulation.net.sent - before

    while not simulation.has_recovered():
        simulation.kernel.run(simulation.kernel.now_us + 500_000)
    began = time.perf_counter()
    at_rest = [messages_in_next_second() for _ in range(3)]
    next(host for host in simulation.hosts if host.peer is not None and host.peer.is_leader).crash()
    after = [messages_in_next_second() for _ in range(4)]
    return {
        "voters": 3, "observers": observers, "at_rest_per_s": at_rest,
        "after_a_leaders_death_per_s": after, "seconds": round(time.perf_counter() - began, 1),
    }  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parts = ["latency", "rest", "kills", "memory", "simulated", "watch"]
    parser.add_argument("--part", choices=parts, default="latency")
    parser.add_argument("--members", type=int, default=3)
    parser.add_argument("--count", type=int, default=0)
    parser.add_argument("--at-once", type=int, default=4)
    parser.add_argument("--load", type=int, default=os.cpu_count(), help="busy processes during watch")
    args = parser.parse_args()
    part, count = args.part, args.count
    found: dict[str, Any]
    if part == "latency":
        found = asyncio.run(latency(args.members, count or 800))
    elif part == "rest":
        found = asyncio.run(rest(args.members, count or 10))
    elif part == "kills":
        found = asyncio.run(kills(args.members, count or 200, args.at_once))
    elif part == "watch":
        found = asyncio.run(watch(args.members, count or 3_600, args.load))
    elif part == "memory":
        found = memory(count or 1_000_000)
    else:
        found = simulated(count or 200)
    print(json.dumps({"benchmark": f"group {part}", **found}))


if __name__ == "__main__":
    main()
