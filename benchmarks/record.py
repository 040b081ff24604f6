"""What the store of record costs: confirmed reports a second beside what the disk gives; the time to start.

    python benchmarks/record.py [--seconds 3] [--at-once 64] [--rounds 3] [--cpus 1] [--folder DIR]
                                [--profile FILE]

Each part runs in a process of its own that is pinned to the same processors; the load of the store comes from
another process on the others. Rounds alternate between: `fsync`, one 4 KiB write and fdatasync after the
other; `insert`, one bare INSERT and commit after the other; `bare`, one thread that commits batches as large
as the store's own were; `single`, the store with one change a commit; and `group`, the store as it is. A
report is held and then settled: two changes. `start`: opening a file with 100,000 open rows, checked, until
the first look at what is owed is there. The last line is JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import os
import socket
import statistics
import struct
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

import uvloop

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from magpiefront.record.rows import Answer, Id, Moment, Outcome, Result, Row, State
from magpiefront.record.settings import SqliteSettings
from magpiefront.record.sqlite import FIRST_CHANGED, INSERT, UPDATE, SqliteStore, open_file, pack
from magpiefront.sqlfile import connect

NUMBER = struct.Struct("!Q")
FORK = multiprocessing.get_context("fork")


def row(n: int) -> Row:
    return Row(
        Id("members", "field-report", b"%032x" % n), b"d" * 16, b"PUT", b"/api/v1/gauge-%d" % (n % 500),
        b"Idempotency-Key: %032x\r\nContent-Type: text/plain\r\n" % n, b"level=3.2;at=2026-12-01T08:00:00Z",
        State.SENT, 1.8e9, Moment(1.8e9, "boot", 1_000.0), f"owner.{n}", 30.0, 4.0,
    )  # fmt: skip


def settled(r: Row) -> Row:
    return replace(r, state=State.CONFIRMED, answer=Answer(200, b"Content-Type: text/plain\r\n", b"held"))


class House:
    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()

    def now_us(self) -> int:
        return time.monotonic_ns() // 1_000

    def log(self, text: str) -> None:
        print(text, file=sys.stderr)


def fsync(folder: Path, seconds: float) -> float:
    """A second."""
    count, data = 0, os.urandom(4096)
    with open(folder / "fsync", "wb", buffering=0) as f:
        end = time.perf_counter() + seconds
        while time.perf_counter() < end:
            f.write(data)
            os.fdatasync(f.fileno())
            count += 1
    return count / seconds


def bare(folder: Path, seconds: float, batch: int) -> float:
    """Changes a second of one thread that does nothing else: what the disk and SQLite give for such batches.
    Each row is held and then settled, as the store does it."""
    path = folder / f"bare-{batch}-{time.monotonic_ns()}"
    open_file(path).close()
    db = connect(path)
    count = n = 0
    held = row(0)
    end = time.perf_counter() + seconds
    while time.perf_counter() < end:
        db.execute("BEGIN IMMEDIATE")
        for _ in range(batch):
            n += 1
            if n % 2:
                held = row(n)
                db.execute(INSERT, pack(held))
            else:
                after = pack(settled(held))[FIRST_CHANGED:]
                db.execute(UPDATE, (*after, *held.id, held.state.value, held.owner))
        db.execute("COMMIT")
        count += batch
        if n % 5_000 < batch:
            db.execute("PRAGMA wal_checkpoint(PASSIVE)")
    db.close()
    return count / seconds


class Serve(asyncio.Protocol):
    """In the store's process: each number that comes is a report to be held and settled, and goes back."""

    def __init__(self, made: SqliteStore) -> None:
        self.made, self.ended = made, asyncio.get_running_loop().create_future()
        self.back: list[bytes] = []
        self.rest = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport

    def data_received(self, data: bytes) -> None:
        data = self.rest + data
        whole = len(data) - len(data) % NUMBER.size
        self.rest = data[whole:]
        for (n,) in NUMBER.iter_unpack(data[:whole]):
            r = row(n)
            self.made.insert(r, self._until(), partial(self._held, r, n))

    def _until(self) -> int:
        return self.made.house.now_us() + 60_000_000

    def _held(self, r: Row, n: int, result: Result) -> None:
        assert result.outcome is Outcome.DONE
        self.made.change(r, settled(r), self._until(), partial(self._settled, n))

    def _settled(self, n: int, result: Result) -> None:
        assert result.outcome is Outcome.DONE
        if not self.back:
            asyncio.get_running_loop().call_soon(self._flush)
        self.back.append(NUMBER.pack(n))

    def _flush(self) -> None:
        back, self.back = self.back, []
        self.transport.write(b"".join(back))

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended.set_result(None)


def serve(
    s: socket.socket, load: socket.socket, path: Path, most_batch: int, cpus: set[int], profile: str
) -> dict[str, float]:
    """The store's process, pinned; until the load has closed its end, of which this process has a copy."""
    load.close()
    os.sched_setaffinity(0, cpus)

    async def main() -> dict[str, float]:
        loop = asyncio.get_running_loop()
        made = SqliteStore(House(), SqliteSettings(path, most_batch), 100_000)
        made.start()
        _, served = await loop.create_connection(lambda: Serve(made), sock=s)
        began, cpu = time.perf_counter(), time.process_time()
        if profile:
            import cProfile

            noted = cProfile.Profile()
            noted.enable()
        await served.ended
        if profile:
            noted.disable()
            noted.dump_stats(profile)
        found = {"commits": made.commits, "changes": made.committed, "seconds": time.perf_counter() - began,
                 "cpu": time.process_time() - cpu}  # fmt: skip
        await asyncio.to_thread(made.stop)
        return found

    return uvloop.run(main())


def load(s: socket.socket, seconds: float, at_once: int) -> tuple[list[float], float]:
    """A closed loop of so many reports; how long each took, and how long all of it."""
    began: dict[int, float] = {}
    took: list[float] = []
    sent, start, rest = 0, time.perf_counter(), b""
    end = start + seconds

    def send(count: int) -> None:
        nonlocal sent
        now = time.perf_counter()
        for n in range(sent, sent + count):
            began[n] = now
        s.sendall(b"".join(NUMBER.pack(n) for n in range(sent, sent + count)))
        sent += count

    send(at_once)
    while began:
        data = rest + s.recv(1 << 16)
        whole = len(data) - len(data) % NUMBER.size
        rest, now = data[whole:], time.perf_counter()
        done = [n for (n,) in NUMBER.iter_unpack(data[:whole])]
        took += [now - began.pop(n) for n in done]
        if now < end and done:
            send(len(done))
    return took, time.perf_counter() - start


class Child:
    """A call in a process of its own, forked: it has the sockets that are open now."""

    def __init__(self, what: Callable[..., Any], *args: Any) -> None:
        self.found, back = FORK.Pipe(False)
        self.process = FORK.Process(target=lambda: back.send(what(*args)))
        self.process.start()
        back.close()

    def result(self) -> Any:
        """Raises EOFError where the process failed."""
        try:
            return self.found.recv()
        finally:
            self.process.join()


def pinned(cpus: set[int], what: Callable[..., Any], *args: Any) -> Any:
    os.sched_setaffinity(0, cpus)
    return what(*args)


def store(folder: Path, args: argparse.Namespace, cpus: set[int], most_batch: int) -> dict[str, float]:
    path = folder / f"store-{most_batch}-{time.monotonic_ns()}"
    here, there = socket.socketpair()
    served = Child(serve, there, here, path, most_batch, cpus, args.profile if most_batch > 1 else "")
    there.close()
    took, seconds = load(here, args.seconds, args.at_once)
    here.close()
    found = served.result()
    took.sort()
    return {"reports": len(took) / seconds, "changes": found["changes"] / seconds,
            "batch": found["changes"] / found["commits"], "cpu_us": found["cpu"] / len(took) * 1e6,
            "p50_ms": took[len(took) // 2] * 1e3, "p99_ms": took[len(took) * 99 // 100] * 1e3}  # fmt: skip


async def start(folder: Path, count: int = 100_000) -> dict[str, float]:
    path = folder / "many"
    db = open_file(path)
    db.execute("BEGIN")
    for n in range(count):
        db.execute(INSERT, pack(row(n)))
    db.execute("COMMIT")
    db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    db.close()
    began = time.perf_counter()
    made = SqliteStore(House(), SqliteSettings(path))
    made.start()
    opened = time.perf_counter() - began
    found: asyncio.Future[list[Row]] = asyncio.get_running_loop().create_future()
    made.open_rows(200, found.set_result)
    looked = await found
    whole = time.perf_counter() - began
    await asyncio.to_thread(made.stop)
    assert len(looked) == 200
    return {"rows": count, "opened_s": round(opened, 3), "looked_s": round(whole, 3),
            "file_mb": round(path.stat().st_size / 2**20, 1)}  # fmt: skip


def measure(args: argparse.Namespace, folder: Path) -> dict[str, Any]:
    rows: dict[str, list[dict[str, float]]] = {"single": [], "group": []}
    floors: dict[str, list[float]] = {"fsync": [], "insert": [], "bare": []}
    # The load keeps off the processors of what is measured.
    all_ = sorted(os.sched_getaffinity(0))
    cpus, others = set(all_[: args.cpus]), set(all_[args.cpus :]) or set(all_)
    os.sched_setaffinity(0, others)
    for at in range(args.rounds):
        floors["fsync"].append(Child(pinned, cpus, fsync, folder, args.seconds / 2).result())
        floors["insert"].append(Child(pinned, cpus, bare, folder, args.seconds / 2, 1).result())
        rows["single"].append(store(folder, args, cpus, 1))
        rows["group"].append(store(folder, args, cpus, 256))
        batch = max(1, round(rows["group"][-1]["batch"]))
        floors["bare"].append(Child(pinned, cpus, bare, folder, args.seconds, batch).result())
        print(f"round {at + 1} of {args.rounds}", end="\r", file=sys.stderr, flush=True)
    found: dict[str, Any] = {"benchmark": "record", "at_once": args.at_once, "cpus": args.cpus}
    for name, values in floors.items():
        found[name] = {"a_second": round(statistics.median(values))}
    for kind, given in rows.items():
        found[kind] = {k: round(statistics.median(g[k] for g in given), 2) for k in given[0]}
    ratio = [b / g["changes"] for b, g in zip(floors["bare"], rows["group"], strict=True)]
    found["bare_to_group"] = round(statistics.median(ratio), 2)
    gain = [g["reports"] / s["reports"] for g, s in zip(rows["group"], rows["single"], strict=True)]
    found["group_to_single"] = round(statistics.median(gain), 1)
    found["start"] = uvloop.run(start(folder))
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--at-once", type=int, default=64)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--cpus", type=int, default=1, help="how many the store's process may have")
    parser.add_argument("--profile", default="", metavar="FILE", help="of the store's loop, by cProfile")
    parser.add_argument(
        "--folder", help="on the disk to be measured; default: the system's for temporary files"
    )
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=args.folder) as name:
        found = measure(args, Path(name))
    for floor in ("fsync", "insert", "bare"):
        print(f"{floor:8} {found[floor]['a_second']:10} a second")
    for kind in ("single", "group"):
        r = found[kind]
        print(f"{kind:8} {r['reports']:10.0f} reports a second, {r['batch']:.1f} changes a commit, "
              f"p50 {r['p50_ms']} ms, p99 {r['p99_ms']} ms")  # fmt: skip
    print(f"bare batches of the same size give {found['bare_to_group']} times the changes of the group")
    print(f"start with {found['start']['rows']} open rows: {found['start']['looked_s']} s")
    print(json.dumps(found))


if __name__ == "__main__":
    main()
