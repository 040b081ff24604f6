"""Benchmark of the store of record: confirmed reports per second compared with the disk, and the start time.

    python benchmarks/record.py [--seconds 3] [--at-once 64] [--rounds 3] [--cpus 1] [--folder DIR]
                                [--profile FILE]

Each part runs in a process of its own, and all of these are pinned to the same processors. The load of the
store comes from another process on the other processors. Each round measures in turn:

fsync   4 KiB writes, each followed by fdatasync
insert  SQLite alone, one INSERT per commit
single  the store with one change per commit
group   the store as it is, with group commit
bare    SQLite alone, one thread that commits batches as large as those of `group`

A report takes two changes: it is inserted, and then its outcome is stored. `start` is the time to open a file
with 100,000 open rows, including the check of the file, until the store has returned the first of them. The
last line is JSON.
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
from magpiefront.record.sqlite import FIRST_MUTABLE_COLUMN, INSERT, UPDATE, SqliteStore, open_file, encode_row
from magpiefront.sqlfile import connect

NUMBER = struct.Struct("!Q")
FORK = multiprocessing.get_context("fork")


def make_row(n: int) -> Row:
    """Returns the row of report number `n`, as stored when it is sent."""
    return Row(
        Id("members", "field-report", b"%032x" % n), b"d" * 16, b"PUT", b"/api/v1/gauge-%d" % (n % 500),
        b"Idempotency-Key: %032x\r\nContent-Type: text/plain\r\n" % n, b"level=3.2;at=2026-12-01T08:00:00Z",
        State.SENT, 1.8e9, Moment(1.8e9, "boot", 1_000.0), f"owner.{n}", 30.0, 4.0,
    )  # fmt: skip


def with_outcome(row: Row) -> Row:
    """Returns the row after the report was confirmed."""
    return replace(row, state=State.CONFIRMED, answer=Answer(200, b"Content-Type: text/plain\r\n", b"held"))


class Runtime:
    """The part of a proxy that the store needs: the event loop, the clock and the log."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()

    def now_us(self) -> int:
        return time.monotonic_ns() // 1_000

    def log(self, text: str) -> None:
        print(text, file=sys.stderr)


def fsync(folder: Path, seconds: float) -> float:
    """Returns the writes of 4 KiB per second, each followed by fdatasync."""
    count, data = 0, os.urandom(4096)
    with open(folder / "fsync", "wb", buffering=0) as f:
        end = time.perf_counter() + seconds
        while time.perf_counter() < end:
            f.write(data)
            os.fdatasync(f.fileno())
            count += 1
    return count / seconds


def bare(folder: Path, seconds: float, batch: int) -> float:
    """Returns the changes per second of one thread that does nothing else: the limit that SQLite and the disk
    set for batches of `batch` changes. Each row is inserted and then updated, as the store does."""
    path = folder / f"bare-{batch}-{time.monotonic_ns()}"
    open_file(path).close()
    db = connect(path)
    count = n = 0
    open_row = make_row(0)
    end = time.perf_counter() + seconds
    while time.perf_counter() < end:
        db.execute("BEGIN IMMEDIATE")
        for _ in range(batch):
            n += 1
            if n % 2:
                open_row = make_row(n)
                db.execute(INSERT, encode_row(open_row))
            else:
                changed = encode_row(with_outcome(open_row))[FIRST_MUTABLE_COLUMN:]
                db.execute(UPDATE, (*changed, *open_row.id, open_row.state.value, open_row.owner))
        db.execute("COMMIT")
        count += batch
        if n % 5_000 < batch:
            db.execute("PRAGMA wal_checkpoint(PASSIVE)")
    db.close()
    return count / seconds


class StoreServer(asyncio.Protocol):
    """Runs in the store's process. Each number received is a report, which is inserted and then updated. The
    number is sent back after that."""

    def __init__(self, sqlite_store: SqliteStore) -> None:
        self.store, self.ended = sqlite_store, asyncio.get_running_loop().create_future()
        self.replies: list[bytes] = []
        self.incomplete = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport

    def data_received(self, data: bytes) -> None:
        data = self.incomplete + data
        size = len(data) - len(data) % NUMBER.size
        self.incomplete = data[size:]
        for (n,) in NUMBER.iter_unpack(data[:size]):
            row = make_row(n)
            self.store.insert(row, self._deadline_us(), partial(self._on_inserted, row, n))

    def _deadline_us(self) -> int:
        return self.store.runtime.now_us() + 60_000_000

    def _on_inserted(self, row: Row, n: int, result: Result) -> None:
        assert result.outcome is Outcome.DONE
        self.store.change(row, with_outcome(row), self._deadline_us(), partial(self._on_changed, n))

    def _on_changed(self, n: int, result: Result) -> None:
        assert result.outcome is Outcome.DONE
        if not self.replies:
            asyncio.get_running_loop().call_soon(self._flush)
        self.replies.append(NUMBER.pack(n))

    def _flush(self) -> None:
        replies, self.replies = self.replies, []
        self.transport.write(b"".join(replies))

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended.set_result(None)


def serve(
    server_end: socket.socket, load_end: socket.socket, path: Path, most_batch: int, cpus: set[int],
    profile: str,
) -> dict[str, float]:  # fmt: skip
    """Runs the store in this process, pinned to `cpus`, until the load closes its end of the socket pair.
    Returns counts and the times in seconds. `load_end`: this forked process's copy of that end, closed at
    once. `profile`: a file for the profile of the event loop, or ""."""
    load_end.close()
    os.sched_setaffinity(0, cpus)

    async def main() -> dict[str, float]:
        loop = asyncio.get_running_loop()
        sqlite_store = SqliteStore(Runtime(), SqliteSettings(path, most_batch), 100_000)
        sqlite_store.start()
        _, server = await loop.create_connection(lambda: StoreServer(sqlite_store), sock=server_end)
        began, cpu_before_s = time.perf_counter(), time.process_time()
        if profile:
            import cProfile

            profiler = cProfile.Profile()
            profiler.enable()
        await server.ended
        if profile:
            profiler.disable()
            profiler.dump_stats(profile)
        found = {"commits": sqlite_store.commits, "changes": sqlite_store.changes_committed,
                 "seconds": time.perf_counter() - began,
                 "cpu": time.process_time() - cpu_before_s}  # fmt: skip
        await asyncio.to_thread(sqlite_store.stop)
        return found

    return uvloop.run(main())


def run_load(load_end: socket.socket, seconds: float, at_once: int) -> tuple[list[float], float]:
    """Keeps `at_once` reports in flight. Returns the duration of each report, and that of the whole load, in
    seconds."""
    began: dict[int, float] = {}
    durations: list[float] = []
    sent, start, incomplete = 0, time.perf_counter(), b""
    end = start + seconds

    def send(count: int) -> None:
        nonlocal sent
        now = time.perf_counter()
        for n in range(sent, sent + count):
            began[n] = now
        load_end.sendall(b"".join(NUMBER.pack(n) for n in range(sent, sent + count)))
        sent += count

    send(at_once)
    while began:
        data = incomplete + load_end.recv(1 << 16)
        size = len(data) - len(data) % NUMBER.size
        incomplete, now = data[size:], time.perf_counter()
        done = [n for (n,) in NUMBER.iter_unpack(data[:size])]
        durations += [now - began.pop(n) for n in done]
        if now < end and done:
            send(len(done))
    return durations, time.perf_counter() - start


class ForkedCall:
    """A function call in a forked process, which inherits the open sockets."""

    def __init__(self, function: Callable[..., Any], *args: Any) -> None:
        self.receiver, sender = FORK.Pipe(False)
        self.process = FORK.Process(target=lambda: sender.send(function(*args)))
        self.process.start()
        sender.close()

    def result(self) -> Any:
        """Waits for the process and returns the function's result. Raises EOFError if the process failed."""
        try:
            return self.receiver.recv()
        finally:
            self.process.join()


def call_pinned(cpus: set[int], function: Callable[..., Any], *args: Any) -> Any:
    """Pins this process to these processors and calls the function."""
    os.sched_setaffinity(0, cpus)
    return function(*args)


def measure_store(
    folder: Path, args: argparse.Namespace, cpus: set[int], most_batch: int
) -> dict[str, float]:  # fmt: skip
    """Measures the store under load, with at most `most_batch` changes per commit."""
    path = folder / f"store-{most_batch}-{time.monotonic_ns()}"
    load_end, server_end = socket.socketpair()
    server = ForkedCall(
        serve, server_end, load_end, path, most_batch, cpus, args.profile if most_batch > 1 else ""
    )
    server_end.close()
    durations, seconds = run_load(load_end, args.seconds, args.at_once)
    load_end.close()
    found = server.result()
    durations.sort()
    return {"reports": len(durations) / seconds, "changes": found["changes"] / seconds,
            "batch": found["changes"] / found["commits"], "cpu_us": found["cpu"] / len(durations) * 1e6,
            "p50_ms": durations[len(durations) // 2] * 1e3,
            "p99_ms": durations[len(durations) * 99 // 100] * 1e3}  # fmt: skip


async def measure_start(folder: Path, count: int = 100_000) -> dict[str, float]:
    """Measures the start of the store with `count` open rows. Times are in seconds."""
    path = folder / "many"
    db = open_file(path)
    db.execute("BEGIN")
    for n in range(count):
        db.execute(INSERT, encode_row(make_row(n)))
    db.execute("COMMIT")
    db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    db.close()
    began = time.perf_counter()
    sqlite_store = SqliteStore(Runtime(), SqliteSettings(path))
    sqlite_store.start()
    opened_s = time.perf_counter() - began
    first_rows: asyncio.Future[list[Row]] = asyncio.get_running_loop().create_future()
    sqlite_store.open_rows(200, first_rows.set_result)
    rows = await first_rows
    read_s = time.perf_counter() - began
    await asyncio.to_thread(sqlite_store.stop)
    assert len(rows) == 200
    return {"rows": count, "opened_s": round(opened_s, 3), "looked_s": round(read_s, 3),
            "file_mb": round(path.stat().st_size / 2**20, 1)}  # fmt: skip


def measure(args: argparse.Namespace, folder: Path) -> dict[str, Any]:
    """Measures all rounds and the start. Returns medians over the rounds."""
    stores: dict[str, list[dict[str, float]]] = {"single": [], "group": []}
    baselines: dict[str, list[float]] = {"fsync": [], "insert": [], "bare": []}
    # The load must not run on the processors of the measured process.
    all_cpus = sorted(os.sched_getaffinity(0))
    cpus, others = set(all_cpus[: args.cpus]), set(all_cpus[args.cpus :]) or set(all_cpus)
    os.sched_setaffinity(0, others)
    for n in range(args.rounds):
        baselines["fsync"].append(ForkedCall(call_pinned, cpus, fsync, folder, args.seconds / 2).result())
        baselines["insert"].append(ForkedCall(call_pinned, cpus, bare, folder, args.seconds / 2, 1).result())
        stores["single"].append(measure_store(folder, args, cpus, 1))
        stores["group"].append(measure_store(folder, args, cpus, 256))
        batch = max(1, round(stores["group"][-1]["batch"]))
        baselines["bare"].append(ForkedCall(call_pinned, cpus, bare, folder, args.seconds, batch).result())
        print(f"round {n + 1} of {args.rounds}", end="\r", file=sys.stderr, flush=True)
    found: dict[str, Any] = {"benchmark": "record", "at_once": args.at_once, "cpus": args.cpus}
    for name, values in baselines.items():
        found[name] = {"a_second": round(statistics.median(values))}
    for kind, results in stores.items():
        found[kind] = {k: round(statistics.median(r[k] for r in results), 2) for k in results[0]}
    ratios = [b / g["changes"] for b, g in zip(baselines["bare"], stores["group"], strict=True)]
    found["bare_to_group"] = round(statistics.median(ratios), 2)
    gains = [g["reports"] / s["reports"] for g, s in zip(stores["group"], stores["single"], strict=True)]
    found["group_to_single"] = round(statistics.median(gains), 1)
    found["start"] = uvloop.run(measure_start(folder))
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--at-once", type=int, default=64)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--cpus", type=int, default=1, help="number of processors for the store's process")
    parser.add_argument(
        "--profile", default="", metavar="FILE", help="cProfile output of the store's event loop"
    )
    parser.add_argument(
        "--folder", help="a folder on the disk to measure (default: the system's temporary folder)"
    )
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=args.folder) as folder:
        found = measure(args, Path(folder))
    for name in ("fsync", "insert", "bare"):
        print(f"{name:8} {found[name]['a_second']:10} per second")
    for kind in ("single", "group"):
        figures = found[kind]
        print(f"{kind:8} {figures['reports']:10.0f} reports per second, "
              f"{figures['batch']:.1f} changes per commit, "
              f"p50 {figures['p50_ms']} ms, p99 {figures['p99_ms']} ms")  # fmt: skip
    print(f"bare batches of the same size commit {found['bare_to_group']} times the changes of the store")
    print(f"start with {found['start']['rows']} open rows: {found['start']['looked_s']} s")
    print(json.dumps(found))


if __name__ == "__main__":
    main()
