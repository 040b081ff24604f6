"""Back-ups of a store of record that is in use: whole, checked, and in place only once they are both.

SQLite's own back-up interface copies the pages of one snapshot in steps; gateways write on, and their log is
put back into the file no further than that snapshot until it is done. Over PostgreSQL the rows go, under one
snapshot, into a SQLite file of the same form: either way a back-up is a store that `verify`, `list` and
`export` read. It is made beside its place and renamed there: whatever ends it leaves the one before it as it
was.
"""

from __future__ import annotations

import os
import sqlite3
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from magpiefront.record import sqlite
from magpiefront.record.books import Book, Refused, SqliteBook
from magpiefront.record.sqlite import BadStore, open_file

PAGES = 256  # of a step; after each its progress is told
ROWS = 1_000  # told of at a time
Told = Callable[[int, int], None]  # done, of how many


@dataclass(frozen=True, slots=True)
class Backup:
    path: Path
    rows: int
    bytes: int


def backup(book: Book, to: Path, told: Told) -> Backup:
    """Raises Refused; `to` is then what it was before."""
    if isinstance(book, SqliteBook) and to.exists() and to.samefile(book.path):
        raise Refused(f"{to}: is the store itself")
    part = to.with_name(f"{to.name}.part")
    try:
        _clear(part)
        if isinstance(book, SqliteBook):
            _copy(book, part, told)
        else:
            _gather(book, part, told)
        found = _checked(part)
        with open(part, "rb") as f:
            os.fsync(f.fileno())
        os.replace(part, to)
        _sync_folder(to.parent)
    except (OSError, sqlite3.Error, BadStore) as e:
        _clear(part)
        raise Refused(f"{to}: no back-up was made: {' '.join(str(e).split())}") from None
    except BaseException:
        _clear(part)
        raise
    return Backup(to, found, to.stat().st_size)


def _copy(book: SqliteBook, part: Path, told: Told) -> None:
    target = sqlite3.connect(part)
    try:
        # Without a snapshot held, each commit of a gateway makes the copy begin anew, for ever under load.
        book.begin(False)
        taken_s = time.time()
        book.counts()
        book.db.backup(target, pages=PAGES, progress=lambda _, left, all_: told(all_ - left, all_))
        book.commit()
        # One file, with nothing in a log beside it: it can be copied as it is.
        target.execute("PRAGMA journal_mode=DELETE")
        with target:
            sqlite.mark_copy(target, taken_s)
    finally:
        target.close()


def _gather(book: Book, part: Path, told: Told) -> None:
    db = open_file(part)
    try:
        db.execute("PRAGMA synchronous=OFF")  # it is synced once, when it is whole
        book.begin(False)  # one view of all rows, whatever is written meanwhile
        all_ = sum(count for _, count, _ in book.counts())
        db.execute("BEGIN")
        sqlite.mark_copy(db, time.time())
        for n, row in enumerate(book.rows(), 1):
            db.execute(sqlite.INSERT, sqlite.pack(row))
            if n % ROWS == 0:
                told(n, all_)
        db.execute("COMMIT")
        book.commit()
        told(all_, all_)
        db.execute("PRAGMA journal_mode=DELETE")
    finally:
        db.close()


def _checked(part: Path) -> int:
    """How many rows it has. Raises sqlite3.Error, BadStore and Refused."""
    db = sqlite3.connect(part)
    try:
        found = db.execute("PRAGMA integrity_check(1)").fetchone()[0]
        if found != "ok":
            raise BadStore(f"the copy is damaged: {found}")
        if db.execute("PRAGMA user_version").fetchone()[0] != sqlite.VERSION:
            raise BadStore("the copy is of another version")
        count = 0
        for _ in sqlite.rows(db, None):  # each can be read
            count += 1
        return count
    except (ValueError, TypeError) as e:
        raise BadStore(f"a row of the copy can't be read: {e}") from None
    finally:
        db.close()


def _clear(part: Path) -> None:
    for end in ("", "-wal", "-shm", "-journal"):
        with suppress(FileNotFoundError):
            os.unlink(f"{part}{end}")


def _sync_folder(folder: Path) -> None:
    d = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(d)
    finally:
        os.close(d)
