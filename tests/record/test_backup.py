"""Backups of a store in use: whatever interrupts one, it is complete or the previous backup stays in
place."""

from __future__ import annotations

import json
import os
import signal
import sqlite3
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from magpiefront.__main__ import main
from magpiefront.record import backup as backup_module
from magpiefront.record import sqlite as sqlite_module
from magpiefront.record.backup import backup
from magpiefront.record.report_stores import CommandError, SqliteReportStore
from magpiefront.record.rows import Answer, Id, Moment, Outcome, Result, Row, State
from magpiefront.record.sqlite import INSERT, open_file, encode_row, rows
from tests.record.sockets import recording_proxy
from tests.record.test_journal import row
from tests.record.test_sqlite import FakeRuntime, call, open_store
from tests.sockets import ok, run, reply, until

CONFIRMED = row(state=State.CONFIRMED, answer=Answer(201, b"A: b\r\n", b"held"), sent=Moment(1.0, "b", 2.0))


def confirmed_rows(count: int, first: int = 0) -> list[Row]:
    numbers = range(first, first + count)
    return [replace(CONFIRMED, id=Id("t", "k", b"%06d" % n), body=b"x" * 400) for n in numbers]


def insert_rows(path: Path, new_rows: list[Row]) -> None:
    db = open_file(path)
    db.execute("BEGIN")
    for r in new_rows:
        db.execute(INSERT, encode_row(r))
    db.execute("COMMIT")
    db.close()


def read_rows(path: Path) -> list[Row]:
    db = open_file(path, create=False)
    try:
        return list(rows(db, None))
    finally:
        db.close()


def ignore_progress(done: int, total: int) -> None:
    pass


def test_a_backup_during_writes_is_one_snapshot_of_the_store(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(backup_module, "PAGES_PER_STEP", 5)
    path, to = tmp_path / "r.sqlite", tmp_path / "backup.sqlite"
    insert_rows(path, confirmed_rows(3_000))
    stop, written = threading.Event(), [3_000]

    def write() -> None:
        db = open_file(path)
        while not stop.is_set():
            db.execute("BEGIN IMMEDIATE")  # a snapshot holds all ten rows or none
            for r in confirmed_rows(10, written[0]):
                db.execute(INSERT, encode_row(r))
            db.execute("COMMIT")
            written[0] += 10
            time.sleep(0.002)
        db.close()

    def on_progress(done: int, total: int) -> None:
        steps.append((done, total))
        assert len(steps) < 3_000, "the copy is restarted again and again"
        time.sleep(0.001)

    writer, store, steps = (
        threading.Thread(target=write), SqliteReportStore(path, False), list[tuple[int, int]]()
    )  # fmt: skip
    writer.start()
    try:
        while written[0] < 3_050:
            time.sleep(0.001)
        result = backup(store, to, on_progress)
    finally:
        stop.set()
        writer.join()
        store.close()
    assert steps and steps[-1][0] == steps[-1][1]
    copied = read_rows(to)
    assert len(copied) == result.rows >= 3_000 and result.rows % 10 == 0
    assert [r.id.key for r in copied] == [b"%06d" % n for n in range(result.rows)]  # none is missing
    assert not list(tmp_path.glob("*.part*"))
    done_counts = [done for done, _ in steps]
    assert done_counts == sorted(done_counts) and len(steps) > 50  # it was never restarted
    db = open_file(path)  # the log can be truncated once no reader uses the snapshot
    db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    assert (tmp_path / "r.sqlite-wal").stat().st_size == 0 and written[0] > result.rows
    db.close()


@pytest.fixture
def checkpoint_without_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    """Removes the pause between checkpoints by the writer, because how much is written during the pause
    depends on the speed of the disk."""
    monkeypatch.setattr(sqlite_module, "WRITER_CHECKPOINT_INTERVAL_S", 0.0)


@pytest.mark.usefixtures("checkpoint_without_pause")
def test_the_log_grows_during_a_backup_and_is_reused_after_it(tmp_path: Path) -> None:
    path, wal = tmp_path / "r.sqlite", tmp_path / "r.sqlite-wal"
    insert_rows(path, confirmed_rows(50))
    with open_store(path, checkpoint_pages=10) as store:
        reader = SqliteReportStore(path, False)

        def insert(first: int, count: int) -> int:
            """Returns the size of the log afterwards."""
            for r in confirmed_rows(count, first):
                assert call(store, store.insert, r).outcome is Outcome.DONE  # even while the log can't shrink
            return wal.stat().st_size

        reader.begin(False)
        assert reader.counts()
        small, large = insert(1_000, 40), insert(2_000, 400)
        assert large > 2 * small > 0
        assert reader.counts()[0][1] == 50  # still the same snapshot
        reader.commit()
        # The log is overwritten from its beginning, even though commits follow without a pause.
        sizes = [insert(first, 100) for first in range(3_000, 19_000, 1_000)]
        assert len(set(sizes[-8:])) == 1, sizes
        reader.close()
    assert len(read_rows(path)) == 50 + store.changes_committed


@pytest.mark.usefixtures("checkpoint_without_pause")
def test_the_log_is_bounded_while_commits_follow_without_a_pause(tmp_path: Path) -> None:
    path, wal = tmp_path / "r.sqlite", tmp_path / "r.sqlite-wal"
    with open_store(path, checkpoint_pages=20, most_batch=8) as store:
        store.most_waiting = 10_000
        results: list[Result] = []
        for r in confirmed_rows(6_000):
            store.insert(r, 10**18, results.append)
        assert isinstance(store.runtime, FakeRuntime)
        store.runtime.run_until(lambda: len(results) == 6_000)
        assert {r.outcome for r in results} == {Outcome.DONE}
        assert wal.stat().st_size < 2 * path.stat().st_size  # 3 to 6 times without the writer's checkpoints


def test_a_backup_of_yesterday_is_restored_after_deliveries_of_today(tmp_path: Path, capsys: Any) -> None:
    """Reports that were sent when the backup was taken are unknown after the restore, later ones are missing,
    and the operator sees both."""
    path, to = tmp_path / "r.sqlite", tmp_path / "yesterday.sqlite"
    file = tmp_path / "operator.toml"
    file.write_text('[site]\nname = "west"\n[record]\n[record.sqlite]\npath = "r.sqlite"\n')
    stale = replace(row(), id=Id("members", "field-report", b"k1"), sent=Moment(5.0, "yesterday", 1.0))
    insert_rows(path, [stale])

    def run_command(*args: str) -> tuple[int, str]:
        status = main(["record", "--operator", str(file), *args])
        return status, capsys.readouterr().out

    assert run_command("backup", str(to))[0] == 0

    async def serve_today(is_restored: bool) -> None:
        async with recording_proxy(path, reply(ok(b"held")), poll_interval_us=10_000) as proxy:
            proxy.stage.begin_polling()
            if not is_restored:
                assert (await proxy.ask("k2")).status == 200
            await until(lambda: any(r.state is State.UNKNOWN for r in proxy.rows()))
            assert (await proxy.ask("k1", body=b"3.2")).status in (409, 422)
            proxy.stage.stop()
            assert len(proxy.node.seen) == (0 if is_restored else 1)

    run(serve_today(False))
    assert "is a backup" not in capsys.readouterr().err
    for suffix in ("-wal", "-shm"):
        (tmp_path / f"r.sqlite{suffix}").unlink(missing_ok=True)
    os.replace(to, path)
    status, out = run_command("status")
    assert status == 0 and "not in use yet" in out
    run(serve_today(True))
    logged = capsys.readouterr().err
    assert logged.count("is a backup of") == 1 and "are missing" in logged
    status, out = run_command("status")
    assert status == 1 and "unknown  1" in out and "in use since" in out and "confirmed" not in out
    run(serve_today(True))
    assert "is a backup" not in capsys.readouterr().err  # it is logged only once


def raising(error: Exception) -> Callable[..., Any]:
    def fail(*_: Any) -> None:
        raise error

    return fail


@pytest.mark.parametrize("step", ["_copy_pages", "_verify", "_sync_directory"])
def test_a_backup_that_fails_leaves_the_previous_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: str
) -> None:
    path, to = tmp_path / "r.sqlite", tmp_path / "backup.sqlite"
    insert_rows(path, confirmed_rows(5))
    store = SqliteReportStore(path, False)
    backup(store, to, ignore_progress)
    insert_rows(path, confirmed_rows(5, 5))
    with monkeypatch.context() as m:
        m.setattr(backup_module, step, raising(sqlite3.OperationalError("database or disk is full")))
        with pytest.raises(CommandError, match="the backup failed: database or disk is full"):
            backup(store, to, ignore_progress)
    assert len(read_rows(to)) == (10 if step == "_sync_directory" else 5)
    assert not (tmp_path / "backup.sqlite.part").exists()
    with pytest.raises(CommandError, match="is the store itself"):
        backup(store, path, ignore_progress)
    backup(store, to, ignore_progress)
    assert len(read_rows(to)) == 10
    store.close()


def test_a_damaged_copy_is_not_put_in_place(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path, to = tmp_path / "r.sqlite", tmp_path / "backup.sqlite"
    insert_rows(path, confirmed_rows(200))
    store, copy_pages = SqliteReportStore(path, False), backup_module._copy_pages

    def copy_and_damage(
        store: SqliteReportStore, partial: Path, on_progress: backup_module.OnProgress
    ) -> None:  # fmt: skip
        copy_pages(store, partial, on_progress)
        with open(partial, "r+b") as f:
            f.seek(4096 * 3)
            f.write(os.urandom(4096))

    monkeypatch.setattr(backup_module, "_copy_pages", copy_and_damage)
    with pytest.raises(CommandError):
        backup(store, to, ignore_progress)
    assert not to.exists()
    store.close()


CHILD = """
import sys, time
from pathlib import Path
from magpiefront.record import backup as backup_module
from magpiefront.record.report_stores import SqliteReportStore
backup_module.PAGES_PER_STEP = 4
def on_progress(done, total):
    print(done, flush=True)
    time.sleep(0.01)
backup_module.backup(SqliteReportStore(Path(sys.argv[1]), False), Path(sys.argv[2]), on_progress)
"""


def test_a_kill_during_a_backup_leaves_the_previous_one_and_the_store_intact(tmp_path: Path) -> None:
    path, to = tmp_path / "r.sqlite", tmp_path / "backup.sqlite"
    insert_rows(path, confirmed_rows(2_000))
    store = SqliteReportStore(path, False)
    backup(store, to, ignore_progress)
    insert_rows(path, confirmed_rows(100, 2_000))
    for steps in (1, 5, 20):
        child = subprocess.Popen([sys.executable, "-c", CHILD, str(path), str(to)], stdout=subprocess.PIPE)
        assert child.stdout is not None
        for _ in range(steps):
            assert child.stdout.readline()
        child.send_signal(signal.SIGKILL)
        child.wait()
        child.stdout.close()
        assert len(read_rows(to)) == 2_000 and len(read_rows(path)) == 2_100
    result = backup(store, to, ignore_progress)  # the files that the killed process left do not matter
    assert result.rows == 2_100 == len(read_rows(to))
    store.close()


def test_the_backup_command(tmp_path: Path, capsys: Any) -> None:
    file, to = tmp_path / "operator.toml", tmp_path / "b.sqlite"
    file.write_text('[site]\nname = "west"\n[record]\n[record.sqlite]\npath = "r.sqlite"\n')
    insert_rows(tmp_path / "r.sqlite", confirmed_rows(7))

    def run_command(*args: str) -> tuple[int, str, str]:
        status = main(["record", "--operator", str(file), *args])
        output = capsys.readouterr()
        return status, output.out, output.err

    status, out, _ = run_command("backup", str(to))
    assert status == 0 and out.startswith(f"{to}: 7 rows, ") and len(read_rows(to)) == 7
    status, out, _ = run_command("--json", "backup", str(to))
    assert status == 0 and json.loads(out)["rows"] == 7
    status, _, err = run_command("backup", str(tmp_path / "no" / "b.sqlite"))
    assert status == 2 and err.count("\n") == 1 and "the backup failed" in err
    # A restored backup shows the reports that were sent when it was taken as sent.
    sent = Moment(5.0, "another start", 1.0)
    sent_row = replace(row(), id=Id("t", "k", b"sent"), state=State.SENT, sent=sent)
    insert_rows(tmp_path / "r.sqlite", [sent_row])
    assert run_command("backup", str(to))[0] == 0
    (tmp_path / "r.sqlite").unlink()
    for suffix in ("-wal", "-shm"):
        (tmp_path / f"r.sqlite{suffix}").unlink(missing_ok=True)
    to.rename(tmp_path / "r.sqlite")
    status, out, _ = run_command("--json", "status")
    assert json.loads(out)["states"] == {"stored": 0, "sent": 1, "confirmed": 7, "unknown": 0, "not-run": 0}
    assert run_command("verify")[0] == 0
