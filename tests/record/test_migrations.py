"""Stores of an older version: brought forward whole, or left as they were by whatever breaks it off."""

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
from standins.pgserver import Cut, PgServer
from tests.record.test_postgres import House, ask
from tests.record.test_sqlite import numbered
from tests.sockets import run

# Version 1, as it was written by the programs of its time. Never to be changed.
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


def old_file(path: Path, count: int = 3) -> list[Row]:
    """A file of version 1 with reports in each state that it knew."""
    db = sqlite3.connect(path, isolation_level=None)
    db.execute("PRAGMA journal_mode=WAL")
    db.executescript(V1)
    states = [State.SENT, State.UNKNOWN, State.STORED, State.NOT_RUN]
    made = [numbered(n, state=states[n % 4]) for n in range(count)]
    for r in made:
        values = sqlite.pack(r)[:V1_COLUMNS]
        db.execute(f"INSERT INTO reports VALUES ({', '.join('?' * V1_COLUMNS)})", values)
    db.execute("PRAGMA user_version=1")
    db.close()
    return made


def version_of(path: Path) -> int:
    db = sqlite3.connect(path)
    try:
        return int(db.execute("PRAGMA user_version").fetchone()[0])
    finally:
        db.close()


def test_a_file_of_an_old_version_keeps_its_reports(tmp_path: Path) -> None:
    made = old_file(tmp_path / "r")
    for _ in range(2):
        db = open_file(tmp_path / "r")
        assert sorted(rows(db), key=lambda r: r.id) == made and not any(r.told for r in rows(db))
        db.close()
    assert version_of(tmp_path / "r") == sqlite.VERSION


DIES = """
import os, sys
from pathlib import Path
from magpiefront import sqlfile
from magpiefront.record import sqlite
made = sqlfile.connect
def connect(path):
    db = made(path)
    db.create_function("die", 0, lambda: os._exit(9))
    return db
sqlfile.connect = connect
at = int(sys.argv[2])
old = sqlite.MIGRATIONS[1].split(";")
sqlite.MIGRATIONS = (sqlite.MIGRATIONS[0], ";".join([*old[:at], "SELECT die()", *old[at:]]))
sqlite.open_file(Path(sys.argv[1]))
"""


@pytest.mark.parametrize("at", range(len(sqlite.MIGRATIONS[1].split(";"))))
def test_a_kill_in_the_middle_leaves_the_old_version_whole(at: int, tmp_path: Path) -> None:
    path = tmp_path / "r"
    made = old_file(path)
    child = subprocess.run([sys.executable, "-c", DIES, str(path), str(at)], timeout=60)
    assert child.returncode == 9 and version_of(path) == 1
    db = sqlite3.connect(path)
    columns = [c[1] for c in db.execute("PRAGMA table_info(reports)")]
    assert len(columns) == V1_COLUMNS  # an old program still serves from it
    db.close()
    db = open_file(path)
    assert sorted(rows(db), key=lambda r: r.id) == made
    db.close()


def test_a_full_disk_leaves_the_old_version_whole(tmp_path: Path) -> None:
    path = tmp_path / "r"
    made = old_file(path)
    other = sqlite3.connect(path, isolation_level=None)  # keeps the log from being put back
    other.execute("PRAGMA wal_autocheckpoint=0")
    for note in ("on its way", "") * 6:
        other.execute("UPDATE reports SET note = ?", (note,))
    wal = Path(f"{path}-wal")
    assert wal.stat().st_size > 40_000  # so that the limit is met by the log and not by its index
    command = [sys.executable, "-m", "tests.record.full_disk", str(wal.stat().st_size), "open", str(path)]
    child = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert child.returncode == 2 and child.stderr.count("\n") == 1 and child.stderr.startswith(f"{path}: ")
    assert version_of(path) == 1
    other.close()
    db = open_file(path)
    assert sorted(rows(db), key=lambda r: r.id) == made
    db.close()


def test_a_step_that_fails_is_taken_back(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    old_file(tmp_path / "r")
    monkeypatch.setattr(sqlite, "MIGRATIONS", (V1, sqlite.MIGRATIONS[1] + "; SELECT no_such_function()"))
    with pytest.raises(BadStore, match="no such function"):
        open_file(tmp_path / "r")
    assert version_of(tmp_path / "r") == 1


async def old_server() -> PgServer:
    server = PgServer()
    await server.start()
    server.db.execute("CREATE TABLE reports_version (version INTEGER NOT NULL)")
    server.db.execute("INSERT INTO reports_version VALUES (1)")
    for statement in postgres.MIGRATIONS[0].split(";"):
        server.db.execute(statement)
    columns = postgres.COLUMNS[: postgres.COLUMNS.index("told")]
    server.db.execute(
        f"INSERT INTO reports ({', '.join(columns)}) VALUES ({', '.join('?' * len(columns))})",
        postgres.pack(numbered(1, state=State.STORED, sent=None))[: len(columns)],
    )
    return server


def store_at(server: PgServer) -> postgres.PostgresStore:
    settings = PostgresSettings(server.dsn, connect_timeout_us=5_000_000)
    return postgres.PostgresStore(House(), settings, 10, "boot")


async def served(server: PgServer) -> None:
    """It is of the newest version by now, and its old report is there."""
    store = store_at(server)
    await store.start()
    found = (await ask(store, store.get, numbered(1).id)).row
    assert found is not None and found.state is State.STORED and not found.told
    assert (await ask(store, store.insert, numbered(2))).outcome is Outcome.DONE
    versions = [v for (v,) in server.db.execute("SELECT version FROM reports_version")]
    assert versions == list(range(1, postgres.VERSION + 1))
    store.stop()
    await asyncio.gather(*store.workers, return_exceptions=True)
    server.stop()


@pytest.mark.parametrize("at", ["LOCK", "SELECT version", "ALTER", "INSERT INTO reports_version", "COMMIT"])
def test_a_server_lost_in_the_middle_keeps_the_old_version(at: str) -> None:
    async def main() -> None:
        server = await old_server()
        begun = False

        async def cuts(text: str) -> None:
            nonlocal begun
            begun = begun or text.startswith("LOCK")
            if begun and text.startswith(at):
                raise Cut

        server.faults.before = cuts
        with pytest.raises(postgres.Away):
            await store_at(server).open()
        assert begun
        assert [v for (v,) in server.db.execute("SELECT version FROM reports_version")] == [1]
        assert "told" not in [c[1] for c in server.db.execute("PRAGMA table_info(reports)")]
        server.faults.before = None
        await served(server)

    run(main())


def test_two_gateways_that_start_at_once_take_each_step_once() -> None:
    async def main() -> None:
        server = await old_server()
        both = await asyncio.gather(*(store_at(server).open() for _ in range(4)))
        for connection in both:
            connection.terminate()
        await served(server)

    run(main())


def test_a_disk_that_is_full_costs_no_report_that_was_confirmed(tmp_path: Path) -> None:
    """Wherever the limit is met: in a commit, or while the log is put back into the file."""
    for limit in (36_000, 60_000, 90_000, 150_000, 260_000):
        path = tmp_path / f"r{limit}"
        open_file(path).close()
        command = [sys.executable, "-m", "tests.record.full_disk", str(limit), "write", str(path)]
        child = subprocess.run(command, capture_output=True, text=True, timeout=60)
        assert child.returncode == 0, child.stderr
        said: dict[str, set[Id]] = {"done": set(), "never": set(), "ask": set()}
        for line in child.stdout.splitlines():
            n, outcome = line.split()
            said[outcome].add(numbered(int(n)).id)
        assert said["done"] and (said["never"] or said["ask"]), limit
        db = open_file(path)
        there = {r.id for r in rows(db)}
        assert said["done"] <= there and not there & said["never"]
        db.close()


def test_a_back_up_that_meets_a_full_disk_leaves_the_one_before_it(tmp_path: Path) -> None:
    path, to = tmp_path / "r", tmp_path / "b"
    old_file(path, 400)
    open_file(path).close()
    for limit, fits in ((os.path.getsize(path) * 2, True), (70_000, False)):
        command = [sys.executable, "-m", "tests.record.full_disk", str(limit), "backup", str(path), str(to)]
        child = subprocess.run(command, capture_output=True, text=True, timeout=60)
        assert child.returncode == (0 if fits else 2), child.stderr
        assert fits or ("no back-up was made" in child.stderr and child.stderr.count("\n") == 1)
        db = open_file(to)
        assert len(list(rows(db))) == 400
        db.close()
        assert not (tmp_path / "b.part").exists()


def test_a_new_file_that_another_process_is_about_to_write_is_waited_for(tmp_path: Path) -> None:
    """Two gateways started at once on a new file: one of them ended with "database is locked"."""
    path = tmp_path / "r.sqlite"
    other = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
    other.execute("CREATE TABLE t (x)")
    other.execute("BEGIN IMMEDIATE")
    timer = threading.Timer(0.2, other.execute, ("COMMIT",))
    timer.start()
    open_file(path).close()
    timer.join()
    other.close()
