"""A SQLite file that holds state: opened durable, checked, and brought to this program's version in steps."""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Sequence
from pathlib import Path

BUSY_S = 5.0  # how long another process's commit is waited for
OPEN_AGAIN_S = 0.01


class BadStore(Exception):
    """A file that can't serve; its text is one line."""


def connect(path: Path) -> sqlite3.Connection:
    """Durable: a commit is synced before it is said. Nothing is put back into the file by itself. Raises
    sqlite3.Error."""
    db = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=BUSY_S)
    try:
        db.execute("PRAGMA synchronous=FULL")
        db.execute("PRAGMA wal_autocheckpoint=0")
    except sqlite3.Error:
        db.close()  # one that is left open keeps its lock, and nobody opens the file again
        raise
    return db


def into_wal(db: sqlite3.Connection) -> None:
    """Guards against a start that fails because another process opens the same new file: where a file's mode
    changes, SQLite gives up at once in place of waiting for the other's lock. Raises sqlite3.Error."""
    until_s = time.monotonic() + BUSY_S
    while True:
        try:
            db.execute("PRAGMA journal_mode=WAL")
            return
        except sqlite3.OperationalError as e:
            if e.sqlite_errorcode & 0xFF != sqlite3.SQLITE_BUSY or time.monotonic() > until_s:
                raise
            time.sleep(OPEN_AGAIN_S)


def opened(
    path: Path, migrations: Sequence[str], create: bool = True, alone: bool = False
) -> sqlite3.Connection:  # fmt: skip
    """Checked and of the newest version. `alone`: no other process may have it meanwhile. Raises BadStore."""
    db: sqlite3.Connection | None = None
    newest = len(migrations)
    try:
        if not create and not path.exists():
            raise BadStore(f"{path}: there is no such file")
        path.parent.mkdir(parents=True, exist_ok=True)
        db = connect(path)
        if alone:
            db.execute("PRAGMA locking_mode=EXCLUSIVE")
        into_wal(db)
        version = db.execute("PRAGMA user_version").fetchone()[0]
        if version > newest:
            raise BadStore(f"{path}: its version is {version}, newer than {newest}: use the newer program")
        found = db.execute("PRAGMA quick_check(1)").fetchone()[0]
        if found != "ok":
            raise BadStore(f"{path}: damaged: {' '.join(str(found).split())}; restore it from a back-up")
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
    """From this version to the next, in one transaction: what breaks it off leaves the old one whole."""
    db.execute("BEGIN IMMEDIATE")
    # Another process may have done it since.
    if db.execute("PRAGMA user_version").fetchone()[0] == number:
        for statement in migrations[number].split(";"):
            if statement.strip():
                db.execute(statement)
        db.execute(f"PRAGMA user_version={number + 1}")
    db.execute("COMMIT")
