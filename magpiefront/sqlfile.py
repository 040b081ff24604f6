"""Opens SQLite files that hold durable state: checks them and migrates them to the current version."""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Sequence
from pathlib import Path

BUSY_TIMEOUT_S = 5.0  # how long to wait for the lock of another process
WAL_RETRY_S = 0.01  # wait between two attempts to set the journal mode


class BadStore(Exception):
    """The file cannot be used. The message is one line."""


def connect(path: Path) -> sqlite3.Connection:
    """Returns a durable connection: a commit is synced to disk before it returns. Automatic checkpoints are
    off, so nothing moves from the write-ahead log into the file until the caller runs a checkpoint. Raises
    sqlite3.Error."""
    db = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=BUSY_TIMEOUT_S)
    try:
        db.execute("PRAGMA synchronous=FULL")
        db.execute("PRAGMA wal_autocheckpoint=0")
    except sqlite3.Error:
        db.close()  # an open connection would keep its lock, and the file could not be opened again
        raise
    return db


def enable_wal(db: sqlite3.Connection) -> None:
    """Sets the journal mode to write-ahead logging. Retries for BUSY_TIMEOUT_S while the file is locked: when
    the mode changes, SQLite fails at once instead of waiting for the lock, so a process could not start while
    another one opens the same new file. Raises sqlite3.Error."""
    give_up_at_s = time.monotonic() + BUSY_TIMEOUT_S
    while True:
        try:
            db.execute("PRAGMA journal_mode=WAL")
            return
        except sqlite3.OperationalError as e:
            if e.sqlite_errorcode & 0xFF != sqlite3.SQLITE_BUSY or time.monotonic() > give_up_at_s:
                raise
            time.sleep(WAL_RETRY_S)


def open_database(
    path: Path, migrations: Sequence[str], create: bool = True, exclusive: bool = False
) -> sqlite3.Connection:  # fmt: skip
    """Checks a file, migrates it to the newest version and returns a connection to it. `create`: make the
    file if it is missing. `exclusive`: no other process may open it until the connection is closed. Raises
    BadStore."""
    db: sqlite3.Connection | None = None
    newest = len(migrations)
    try:
        if not create and not path.exists():
            raise BadStore(f"{path}: no such file")
        path.parent.mkdir(parents=True, exist_ok=True)
        db = connect(path)
        if exclusive:
            db.execute("PRAGMA locking_mode=EXCLUSIVE")
        enable_wal(db)
        version = db.execute("PRAGMA user_version").fetchone()[0]
        if version > newest:
            raise BadStore(f"{path}: its version is {version}, newer than {newest}: use the newer program")
        check_result = db.execute("PRAGMA quick_check(1)").fetchone()[0]
        if check_result != "ok":
            raise BadStore(f"{path}: damaged: {' '.join(str(check_result).split())}; restore a backup")
        for number in range(version, newest):
            migrate(db, number, migrations)
        return db
    except (sqlite3.Error, OSError) as e:
        if db is not None:
            db.close()
        raise BadStore(f"{path}: {' '.join(str(e).split())}") from None
    except BadStore:
        if db is not None:
            db.close()
        raise


def migrate(db: sqlite3.Connection, number: int, migrations: Sequence[str]) -> None:
    """Applies the migration from version `number` to the next in one transaction: an interrupted migration
    leaves the old version intact. Raises sqlite3.Error."""
    db.execute("BEGIN IMMEDIATE")
    # Another process may have applied it before this one got the lock.
    if db.execute("PRAGMA user_version").fetchone()[0] == number:
        for statement in migrations[number].split(";"):
            if statement.strip():
                db.execute(statement)
        db.execute(f"PRAGMA user_version={number + 1}")
    db.execute("COMMIT")
