"""Tests of the disk tier: it survives restarts, and any fault of its file is a miss."""

from __future__ import annotations

import shutil
import sqlite3
import threading
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import pytest

from magpiefront.caching import disk as disk_module
from magpiefront.caching.disk import Disk, pack, unpack
from magpiefront.caching.rules import US_PER_S, StoredResponse
from magpiefront.caching.settings import CachingSettings, DiskSettings
from magpiefront.caching.stage import CachingStage
from tests.caching.harness import DATE_S, FakeRuntime, StageHarness


def make_stored(
    body: bytes = b"level 3", etag: bytes = b'"1"', life_s: int = 60, generated_us: int = 0
) -> StoredResponse:
    return StoredResponse(
        200, b"X: y\r\n", body, generated_us, life_s * US_PER_S, date_s=DATE_S, wall_s=float(DATE_S),
        etag=etag,
    )  # fmt: skip


def open_disk(path: Path, **more: Any) -> tuple[FakeRuntime, Disk]:
    runtime = FakeRuntime()
    disk = Disk(runtime, DiskSettings(path, **more), wall=runtime.wall)
    disk.start()
    return runtime, disk


def run_pending(runtime: FakeRuntime, disk: Disk) -> None:
    """Runs all jobs of the disk's thread, and then their callbacks in the loop."""
    done = threading.Event()
    disk.jobs.put(done.set)
    assert done.wait(10)
    while runtime.threadsafe_calls:
        callback, args = runtime.threadsafe_calls.pop(0)
        callback(*args)


def make_blocking_job(gate: threading.Event) -> Callable[[], None]:
    def job() -> None:
        gate.wait(10)

    return job


def load(runtime: FakeRuntime, disk: Disk, key: bytes) -> tuple[StoredResponse, ...] | None:
    found: list[tuple[StoredResponse, ...]] = []
    disk.load(key, found.append)
    run_pending(runtime, disk)
    assert len(found) == 1
    return found[0]


def test_responses_survive_a_restart_and_age_meanwhile(tmp_path: Path) -> None:
    runtime, disk = open_disk(tmp_path / "c.sqlite")
    disk.save(b"k", b"g", (make_stored(), make_stored(b"other")))
    disk.stop()
    runtime = FakeRuntime()
    runtime.wall_s += 25
    disk = Disk(runtime, DiskSettings(tmp_path / "c.sqlite"), wall=runtime.wall)
    disk.start()
    assert disk.has(b"k") and not disk.must_validate_all
    found = load(runtime, disk, b"k")
    assert found is not None and [v.body for v in found] == [b"level 3", b"other"]
    assert found[0].age_us(runtime.now_us()) == 25 * US_PER_S and not found[0].no_cache
    disk.stop()


def test_after_a_crash_all_responses_must_be_validated(tmp_path: Path) -> None:
    runtime, disk = open_disk(tmp_path / "c.sqlite")
    disk.save(b"k", b"g", (make_stored(),))
    disk.save(b"bare", b"g", (make_stored(etag=b""),))
    run_pending(runtime, disk)
    # A copy taken now is what a crash would leave behind: it is not marked as closed cleanly.
    for suffix in ("", "-wal"):
        shutil.copy(tmp_path / f"c.sqlite{suffix}", tmp_path / f"dead.sqlite{suffix}")
    runtime, again = open_disk(tmp_path / "dead.sqlite")
    assert again.must_validate_all
    found = load(runtime, again, b"k")
    assert found is not None and found[0].no_cache
    assert load(runtime, again, b"bare") == ()  # it has no validator
    again.stop()
    disk.stop()


def test_a_clock_behind_the_time_of_saving_requires_validation() -> None:
    packed = pack((make_stored(),), float(DATE_S + 10))
    assert not unpack(packed, 0, float(DATE_S + 10), False)[0].no_cache
    assert unpack(packed, 0, float(DATE_S + 9), False)[0].no_cache


@pytest.mark.parametrize("step_s", [-3_600, -5, 5, 3_600])
def test_a_step_of_the_wall_clock_makes_no_response_younger(tmp_path: Path, step_s: int) -> None:
    runtime, disk = open_disk(tmp_path / "c.sqlite")
    disk.save(b"k", b"g", (make_stored(life_s=60),))
    run_pending(runtime, disk)
    runtime.advance(4_000)
    runtime.wall_s += step_s
    found = load(runtime, disk, b"k")
    assert found is not None and found[0].age_us(runtime.now_us()) >= 4_000 * US_PER_S
    disk.stop()


def test_invalidated_keys_are_gone_at_once_and_after_a_restart(tmp_path: Path) -> None:
    runtime, disk = open_disk(tmp_path / "c.sqlite")
    disk.save(b"a", b"g", (make_stored(),))
    disk.save(b"b", b"g", (make_stored(),))
    disk.save(b"c", b"h", (make_stored(),))
    disk.drop_gauge(b"g")
    assert not disk.has(b"a") and not disk.has(b"b") and disk.has(b"c")
    disk.stop()
    runtime, disk = open_disk(tmp_path / "c.sqlite")
    assert set(disk.index) == {b"c"}
    disk.stop()


def test_a_load_under_way_does_not_return_an_invalidated_key(tmp_path: Path) -> None:
    runtime, disk = open_disk(tmp_path / "c.sqlite")
    disk.save(b"k", b"g", (make_stored(),))
    run_pending(runtime, disk)
    found: list[tuple[StoredResponse, ...]] = []
    disk.load(b"k", found.append)
    disk.drop_gauge(b"g")
    run_pending(runtime, disk)
    assert found == [()]
    disk.stop()


def test_a_load_that_takes_too_long_is_a_miss(tmp_path: Path) -> None:
    runtime, disk = open_disk(tmp_path / "c.sqlite", load_timeout_us=50_000)
    disk.save(b"k", b"g", (make_stored(),))
    run_pending(runtime, disk)
    gate = threading.Event()
    disk.jobs.put(make_blocking_job(gate))
    found: list[tuple[StoredResponse, ...]] = []
    disk.load(b"k", found.append)
    runtime.advance(0.06)
    assert found == [()]
    gate.set()
    run_pending(runtime, disk)
    assert found == [()] and disk.has(b"k")  # the callback is not called again, and the key remains
    disk.stop()


def test_the_oldest_rows_are_evicted(tmp_path: Path) -> None:
    runtime, disk = open_disk(tmp_path / "c.sqlite", most_bytes=20_000)
    for n in range(50):
        disk.save(b"k%d" % n, b"g", (make_stored(b"x" * 1_000),))
    run_pending(runtime, disk)
    assert not disk.has(b"k0") and disk.has(b"k49") and disk.total_bytes <= 20_000
    assert disk.db is not None
    rows = disk.db.execute("SELECT key FROM objects").fetchall()
    assert {r[0] for r in rows} == set(disk.index)
    disk.stop()


def test_with_a_full_queue_a_save_is_skipped_and_its_key_dropped(tmp_path: Path) -> None:
    runtime, disk = open_disk(tmp_path / "c.sqlite", queue=1)
    gate = threading.Event()
    disk.jobs.put(make_blocking_job(gate))
    disk.save(b"k", b"g", (make_stored(b"old"),))
    disk.save(b"k", b"g", (make_stored(b"new"),))
    assert disk.skipped_saves == 1 and not disk.has(b"k")
    gate.set()
    run_pending(runtime, disk)
    disk.stop()
    runtime, disk = open_disk(tmp_path / "c.sqlite")
    assert not disk.has(b"k")
    disk.stop()


def test_a_full_disk_is_a_miss(tmp_path: Path) -> None:
    runtime, disk = open_disk(tmp_path / "c.sqlite")
    run_pending(runtime, disk)
    assert disk.db is not None
    disk.db.execute("PRAGMA max_page_count=20")
    for n in range(40):
        disk.save(b"k%d" % n, b"g", (make_stored(b"x" * 4_000),))
    run_pending(runtime, disk)
    run_pending(runtime, disk)  # the deletions that the failed saves queued
    assert disk.failures > 0 and len(disk) < 40
    assert any("full" in line for line in runtime.logged)
    for key in list(disk.index):
        found = load(runtime, disk, key)
        assert found and found[0].body == b"x" * 4_000
    disk.stop()
    runtime, disk = open_disk(tmp_path / "c.sqlite")
    assert disk.must_validate_all  # an invalidation may not have been written
    disk.stop()


def corrupt(path: Path, kind: str) -> None:
    db = sqlite3.connect(path)
    text = {
        "body": "UPDATE objects SET packed = packed || x'00'",
        "swapped": "UPDATE objects SET sum = (SELECT sum FROM objects o WHERE o.key <> objects.key)",
        "cut": "UPDATE objects SET packed = substr(packed, 1, length(packed) - 5)",
    }[kind]
    db.execute(text)
    db.commit()
    db.close()


@pytest.mark.parametrize("kind", ["body", "swapped", "cut"])
def test_a_corrupt_row_is_a_miss(kind: str, tmp_path: Path) -> None:
    runtime, disk = open_disk(tmp_path / "c.sqlite")
    disk.save(b"a", b"g", (make_stored(b"one"),))
    disk.save(b"b", b"g", (make_stored(b"two"),))
    disk.stop()
    corrupt(tmp_path / "c.sqlite", kind)
    runtime, disk = open_disk(tmp_path / "c.sqlite")
    assert load(runtime, disk, b"a") == () and not disk.has(b"a")
    disk.stop()


def test_a_row_with_valid_checksum_and_invalid_content_is_a_miss(tmp_path: Path) -> None:
    runtime, disk = open_disk(tmp_path / "c.sqlite")
    disk.save(b"a", b"g", (make_stored(b"one"),))
    run_pending(runtime, disk)
    assert disk.db is not None
    junk = b"\x91\x01"
    disk.db.execute("UPDATE objects SET packed=?, sum=?", (junk, disk_module.checksum(b"a", junk)))
    assert load(runtime, disk, b"a") == ()
    disk.stop()


def test_a_file_that_is_open_elsewhere_is_left_alone(tmp_path: Path) -> None:
    _, disk = open_disk(tmp_path / "c.sqlite")
    with pytest.raises(sqlite3.OperationalError, match="locked"):
        open_disk(tmp_path / "c.sqlite")
    disk.stop()
    assert not (tmp_path / "c.sqlite.bad").exists()
    open_disk(tmp_path / "c.sqlite")[1].stop()


def set_newer_version(path: Path) -> None:
    db = sqlite3.connect(path)
    db.execute("PRAGMA user_version=99")
    db.close()


def write_garbage(path: Path) -> None:
    path.write_bytes(b"no database at all" * 500)


def cut_in_half(path: Path) -> None:
    data = path.read_bytes()
    path.write_bytes(data[: len(data) // 2])


@pytest.mark.parametrize("damage", [set_newer_version, write_garbage])
def test_an_unusable_file_is_set_aside(damage: Callable[[Path], None], tmp_path: Path) -> None:
    path = tmp_path / "c.sqlite"
    runtime, disk = open_disk(path)
    disk.save(b"a", b"g", (make_stored(b"one"),))
    disk.stop()
    damage(path)
    runtime, disk = open_disk(path)
    assert len(disk) == 0 and (tmp_path / "c.sqlite.bad").exists()
    assert len(runtime.logged) == 1 and "set aside" in runtime.logged[0]
    disk.save(b"b", b"g", (make_stored(b"two"),))
    found = load(runtime, disk, b"b")
    assert found and found[0].body == b"two"
    disk.stop()


def test_a_truncated_or_corrupt_file_gives_a_miss_or_the_right_body(tmp_path: Path) -> None:
    """Truncations and flipped bits anywhere in the file cause neither a crash nor a wrong body."""
    path, random = tmp_path / "c.sqlite", Random(7)
    runtime, disk = open_disk(path)
    bodies = {b"k%d" % n: random.randbytes(random.randrange(10, 6_000)) for n in range(12)}
    for key, body in bodies.items():
        disk.save(key, b"g", (make_stored(body),))
    disk.stop()
    intact = path.read_bytes()
    hits = misses = 0
    for round_number in range(60):
        for suffix in ("", "-wal", "-shm", ".bad"):
            Path(f"{path}{suffix}").unlink(missing_ok=True)
        data = bytearray(intact)
        if round_number % 2:
            data = data[: random.randrange(len(data))]
        else:
            for _ in range(random.choice((1, 8, 60))):
                data[random.randrange(len(data))] ^= 1 << random.randrange(8)
        path.write_bytes(bytes(data))
        runtime, disk = open_disk(path)
        for key, body in bodies.items():
            found = load(runtime, disk, key)
            if found:
                assert found[0].body == body
                hits += 1
            else:
                misses += 1
        disk.stop()
    assert hits > 50 and misses > 50


def test_the_stage_serves_from_disk_and_stores_the_response_in_memory(tmp_path: Path) -> None:
    w = StageHarness()
    disk = Disk(w.runtime, DiskSettings(tmp_path / "c.sqlite"), wall=w.runtime.wall)
    w.stage = CachingStage(w.runtime, w.upstream, CachingSettings(), disk, w.runtime.wall)
    disk.start()
    w.fill("max-age=60", ("ETag", '"1"'))
    w.stage.store.clear()
    one, two = w.get(), w.get()
    assert one.answers == two.answers == 0 and not w.upstream.open
    run_pending(w.runtime, disk)
    assert one.body == two.body == b"level 3.2" and one.cache_status.startswith("lineshift;hit")
    assert w.get().answers == 1  # now in memory
    w.get(method="PUT", kind="field-report")
    assert not disk.has(b"api /api/k1")
    w.respond(200, b"held")
    w.get()
    assert len(w.upstream.open) == 1
    disk.stop()


def test_a_miss_on_disk_is_forwarded(tmp_path: Path) -> None:
    w = StageHarness()
    disk = Disk(w.runtime, DiskSettings(tmp_path / "c.sqlite"), wall=w.runtime.wall)
    w.stage = CachingStage(w.runtime, w.upstream, CachingSettings(), disk, w.runtime.wall)
    disk.start()
    w.fill("max-age=60")
    w.stage.store.clear()
    run_pending(w.runtime, disk)
    assert disk.db is not None
    disk.db.execute("DELETE FROM objects")
    r, got = w.send()
    left, _ = w.send()
    w.stage.client_left(left)
    run_pending(w.runtime, disk)
    assert got.answers == 0 and len(w.upstream.open) == 1
    disk.stop()
