"""What the store of record costs: confirmed reports a second beside what the disk gives; the time to start.

    python benchmarks/record.py [--seconds 3] [--at-once 64] [--rounds 3] [--folder DIR]

Rounds alternate between: `fsync`, one 4 KiB write and fdatasync after the other; `insert`, one bare INSERT
and commit after the other; `bare`, one thread that commits batches as large as the store's own were;
`single`, the store with one change a commit; and `group`, the store as it is. A report is held and then
settled: two changes. `start`: opening a file with 100,000 open rows, checked, until the first look at what is
owed is there. The last line is JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import sys
import tempfile
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import uvloop

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from magpiefront.record.rows import Answer, Id, Moment, Outcome, Result, Row, State
from magpiefront.record.settings import SqliteSettings
from magpiefront.record.sqlite import FIRST_CHANGED, INSERT, UPDATE, SqliteStore, connect, open_file, pack


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


async def store(folder: Path, seconds: float, at_once: int, most_batch: int) -> dict[str, float]:
    path = folder / f"store-{most_batch}-{time.monotonic_ns()}"
    made = SqliteStore(House(), SqliteSettings(path, most_batch), 100_000)
    made.start()
    took: list[float] = []
    end = time.perf_counter() + seconds
    number = 0

    async def call(what: Any, *args: Any) -> Result:
        done: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        what(*args, made.house.now_us() + 60_000_000, done.set_result)
        return await done

    async def client() -> None:
        nonlocal number
        while time.perf_counter() < end:
            number += 1
            r = row(number)
            began = time.perf_counter()
            assert (await call(made.insert, r)).outcome is Outcome.DONE
            assert (await call(made.change, r, settled(r))).outcome is Outcome.DONE
            took.append(time.perf_counter() - began)

    await asyncio.gather(*(client() for _ in range(at_once)))
    batch = made.committed / max(1, made.commits)
    await asyncio.to_thread(made.stop)
    took.sort()
    return {"reports": len(took) / seconds, "changes": made.committed / seconds, "batch": batch,
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


async def measure(args: argparse.Namespace, folder: Path) -> dict[str, Any]:
    rows: dict[str, list[dict[str, float]]] = {"single": [], "group": []}
    floors: dict[str, list[float]] = {"fsync": [], "insert": [], "bare": []}
    batch = args.at_once // 2
    for at in range(args.rounds):
        floors["fsync"].append(fsync(folder, args.seconds / 2))
        floors["insert"].append(bare(folder, args.seconds / 2, 1))
        rows["single"].append(await store(folder, args.seconds, args.at_once, 1))
        rows["group"].append(await store(folder, args.seconds, args.at_once, 256))
        batch = max(1, round(rows["group"][-1]["batch"]))
        floors["bare"].append(bare(folder, args.seconds, batch))
        print(f"round {at + 1} of {args.rounds}", end="\r", file=sys.stderr, flush=True)
    found: dict[str, Any] = {"benchmark": "record", "at_once": args.at_once}
    for name, values in floors.items():
        found[name] = {"a_second": round(statistics.median(values))}
    for kind, given in rows.items():
        found[kind] = {k: round(statistics.median(g[k] for g in given), 2) for k in given[0]}
    ratio = [b / g["changes"] for b, g in zip(floors["bare"], rows["group"], strict=True)]
    found["bare_to_group"] = round(statistics.median(ratio), 2)
    gain = [g["reports"] / s["reports"] for g, s in zip(rows["group"], rows["single"], strict=True)]
    found["group_to_single"] = round(statistics.median(gain), 1)
    found["start"] = await start(folder)
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--at-once", type=int, default=64)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument(
        "--folder", help="on the disk to be measured; default: the system's for temporary files"
    )
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=args.folder) as name:
        found = uvloop.run(measure(args, Path(name)))
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
