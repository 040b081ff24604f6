"""Migrations of older stores: each one is complete or has no effect, whatever interrupts it. Also covers full
disks, and processes that start at the same time."""

from __future__ import annotations

import asyncio
import os
import sqlite3
import subprocess
import sys
import threading
from pathlib import Path

import pytest

from magpiefront.record import postgres, sqlite
from magpiefront.record.rows import Id, Outcome, Row, State
from magpiefront.record.settings import PostgresSettings
from magpiefront.record.sqlite import BadStore, open_file, rows
from standins.pgserver import ConnectionDropped, PgServer
from tests.record.test_postgres import FakeRuntime, call
from tests.record.test_sqlite import numbered_row
from tests.sockets import run

# Version 1 of the schema, as released. Never change it.
V1 = """
CREATE TABLE reports (
    tenant TEXT NOT NULL, kind TEXT NOT NULL, key BLOB NOT NULL, digest BLOB NOT NULL,
    method BLOB NOT NULL, target BLOB NOT NULL, more BLOB NOT NULL, body BLOB NOT NULL,
    state TEXT NOT NULL, received_s REAL NOT NULL, sent_s REAL, sent_boot TEXT, sent_up_s REAL,
    owner TEXT NOT NULL,
    window_s REAL NOT NULL, until_s REAL NOT NULL, status INTEGER, answer_more BLOB, answer_body BLOB,
    attempts TEXT NOT NULL, note TEXT NOT NULL, UNIQUE (tenant, kind, key)
);
CREATE INDEX open ON reports (state, received_s) WHERE state <> 'confirmed';
CREATE INDEX age ON reports (received_s) WHERE state = 'confirmed';
"""
V1_COLUMNS = 21


def make_old_file(path: Path, count: int = 3) -> list[Row]:
    """Makes a file of version 1 with `count` reports in different states. Returns the reports."""
    db = sqlite3.connect(path, isolation_level=None)
    db.execute("PRAGMA journal_mode=WAL")
    db.executescript(V1)
    states = [State.SENT, State.UNKNOWN, State.STORED, State.NOT_RUN]
    reports = [numbered_row(n, state=states[n % 4]) for n in range(count)]
    for r in reports:
        values = sqlite.encode_row(r)[:V1_COLUMNS]
        db.execute(f"INSERT INTO reports VALUES ({', '.join('?' * V1_COLUMNS)})", values)
    db.execute("PRAGMA user_version=1")
    db.close()
    return reports


def read_version(path: Path) -> int:
    db = sqlite3.connect(path)
    try:
        return int(db.execute("PRAGMA user_version").fetchone()[0])
    finally:
        db.close()


def test_a_file_of_an_old_version_is_migrated_with_its_reports(tmp_path: Path) -> None:
    reports = make_old_file(tmp_path / "r")
    for _ in range(2):
        db = open_file(tmp_path / "r")
        assert sorted(rows(db), key=lambda r: r.id) == reports and not any(r.told for r in rows(db))
        db.close()
    assert read_version(tmp_path / "r") == sqlite.VERSION


CHILD = """
import os, sys
from pathlib import Path
from magpiefront import sqlfile
from magpiefront.record import sqlite
connect_without_die = sqlfile.connect
def connect(path):
    db = connect_without_die(path)
    db.create_function("die", 0, lambda: os._exit(9))
    return db
sqlfile.connect = connect
position = int(sys.argv[2])
statements = sqlite.MIGRATIONS[1].split(";")
sqlite.MIGRATIONS = (
    sqlite.MIGRATIONS[0], ";".join([*statements[:position], "SELECT die()", *statements[position:]])
)
sqlite.open_file(Path(sys.argv[1]))
"""


@pytest.mark.parametrize("position", range(len(sqlite.MIGRATIONS[1].split(";"))))
def test_a_kill_during_a_migration_leaves_the_old_version_intact(position: int, tmp_path: Path) -> None:
    path = tmp_path / "r"
    reports = make_old_file(path)
    child = subprocess.run([sys.executable, "-c", CHILD, str(path), str(position)], timeout=60)
    assert child.returncode == 9 and read_version(path) == 1
    db = sqlite3.connect(path)
    columns = [c[1] for c in db.execute("PRAGMA table_info(reports)")]
    assert len(columns) == V1_COLUMNS  # an old program can still use it
    db.close()
    db = open_file(path)
    assert sorted(rows(db), key=lambda r: r.id) == reports
    db.close()


def test_a_full_disk_during_a_migration_leaves_the_old_version_intact(tmp_path: Path) -> None:
    path = tmp_path / "r"
    reports = make_old_file(path)
    other = sqlite3.connect(path, isolation_level=None)  # prevents a checkpoint on close
    other.execute("PRAGMA wal_autocheckpoint=0")
    for note in ("on its way", "") * 6:
        other.execute("UPDATE reports SET note = ?", (note,))
    wal = Path(f"{path}-wal")
    assert wal.stat().st_size > 40_000  # so that the log reaches the limit before its index does
    command = [sys.executable, "-m", "tests.record.full_disk", str(wal.stat().st_size), "open", str(path)]
    child = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert child.returncode == 2 and child.stderr.count("\n") == 1 and child.stderr.startswith(f"{path}: ")
    assert read_version(path) == 1
    other.close()
    db = open_file(path)
    assert sorted(rows(db), key=lambda r: r.id) == reports
    db.close()


def test_a_migration_that_fails_is_rolled_back(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    make_old_file(tmp_path / "r")
    monkeypatch.setattr(sqlite, "MIGRATIONS", (V1, sqlite.MIGRATIONS[1] + "; SELECT no_such_function()"))
    with pytest.raises(BadStore, match="no such function"):
        open_file(tmp_path / "r")
    assert read_version(tmp_path / "r") == 1


async def start_old_server() -> PgServer:
    """Starts a server with a store of version 1 that holds one report."""
    server = PgServer()
    await server.start()
    server.db.execute("CREATE TABLE reports_version (version INTEGER NOT NULL)")
    server.db.execute("INSERT INTO reports_version VALUES (1)")
    for statement in postgres.MIGRATIONS[0].split(";"):
        server.db.execute(statement)
    columns = postgres.COLUMNS[: postgres.COLUMNS.index("told")]
    server.db.execute(
        f"INSERT INTO reports ({', '.join(columns)}) VALUES ({', '.join('?' * len(columns))})",
        postgres.encode_row(numbered_row(1, state=State.STORED, sent=None))[: len(columns)],
    )
    return server


def create_store(server: PgServer) -> postgres.PostgresStore:
    settings = PostgresSettings(server.dsn, connect_timeout_us=5_000_000)
    return postgres.PostgresStore(FakeRuntime(), settings, 10, "boot")


async def check_migrated(server: PgServer) -> None:
    """Checks that a store on the server works, has the newest version and still holds the old report. Stops
    the server."""
    store = create_store(server)
    await store.start()
    row = (await call(store, store.get, numbered_row(1).id)).row
    assert row is not None and row.state is State.STORED and not row.told
    assert (await call(store, store.insert, numbered_row(2))).outcome is Outcome.DONE
    versions = [v for (v,) in server.db.execute("SELECT version FROM reports_version")]
    assert versions == list(range(1, postgres.VERSION + 1))
    store.stop()
    await asyncio.gather(*store.workers, return_exceptions=True)
    server.stop()


@pytest.mark.parametrize(
    "statement", ["LOCK", "SELECT version", "ALTER", "INSERT INTO reports_version", "COMMIT"]
)
def test_a_connection_lost_during_a_migration_leaves_the_old_version(statement: str) -> None:
    async def main() -> None:
        server = await start_old_server()
        has_begun = False

        async def cut_connection(text: str) -> None:
            nonlocal has_begun
            has_begun = has_begun or text.startswith("LOCK")
            if has_begun and text.startswith(statement):
                raise ConnectionDropped

        server.faults.before_statement = cut_connection
        with pytest.raises(postgres.ServerUnavailable):
            await create_store(server).open()
        assert has_begun
        assert [v for (v,) in server.db.execute("SELECT version FROM reports_version")] == [1]
        assert "told" not in [c[1] for c in server.db.execute("PRAGMA table_info(reports)")]
        server.faults.before_statement = None
        await check_migrated(server)

    run(main())


def test_gateways_that_start_at_once_apply_each_migration_once() -> None:
    async def main() -> None:
        server = await start_old_server()
        connections = await asyncio.gather(*(create_store(server).open() for _ in range(4)))
        for connection in connections:
            connection.terminate()
        await check_migrated(server)

    run(main())


def test_a_full_disk_loses_no_report_whose_insert_was_done(tmp_path: Path) -> None:
    """The limit of the file size is reached in a commit or in a checkpoint."""
    for limit in (36_000, 60_000, 90_000, 150_000, 260_000):
        path = tmp_path / f"r{limit}"
        open_file(path).close()
        command = [sys.executable, "-m", "tests.record.full_disk", str(limit), "write", str(path)]
        child = subprocess.run(command, capture_output=True, text=True, timeout=60)
        assert child.returncode == 0, child.stderr
        ids: dict[str, set[Id]] = {"done": set(), "never": set(), "ask": set()}
        for line in child.stdout.splitlines():
            n, outcome = line.split()
            ids[outcome].add(numbered_row(int(n)).id)
        assert ids["done"] and (ids["never"] or ids["ask"]), limit
        db = open_file(path)
        stored = {r.id for r in rows(db)}
        assert ids["done"] <= stored and not stored & ids["never"]
        db.close()


def test_a_backup_on_a_full_disk_leaves_the_previous_one(tmp_path: Path) -> None:
    path, to = tmp_path / "r", tmp_path / "b"
    make_old_file(path, 400)
    open_file(path).close()
    for limit, fits in ((os.path.getsize(path) * 2, True), (70_000, False)):
        command = [sys.executable, "-m", "tests.record.full_disk", str(limit), "backup", str(path), str(to)]
        child = subprocess.run(command, capture_output=True, text=True, timeout=60)
        assert child.returncode == (0 if fits else 2), child.stderr
        assert fits or ("the backup failed" in child.stderr and child.stderr.count("\n") == 1)
        db = open_file(to)
        assert len(list(rows(db))) == 400
        db.close()
        assert not (tmp_path / "b.part").exists()


def test_opening_a_new_file_waits_for_the_lock_of_another_process(tmp_path: Path) -> None:
    """Guards against an error "database is locked" in one of two gateways that start at once on a new
    file."""
    path = tmp_path / "r.sqlite"
    other = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
    other.execute("CREATE TABLE t (x)")
    other.execute("BEGIN IMMEDIATE")
    timer = threading.Timer(0.2, other.execute, ("COMMIT",))
    timer.start()
    open_file(path).close()
    timer.join()
    other.close()
