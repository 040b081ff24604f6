"""Backups of a store of record that is in use: complete, verified, and put in place only after that.

SQLite's backup interface copies the pages of one snapshot in steps. Gateways continue to write, but until the
backup is done no checkpoint copies newer pages from their log into the file. The rows of a PostgreSQL store
are copied, from one snapshot, into a SQLite file of the same schema: either way a backup is a store that
`verify`, `list` and `export` can read. It is written next to its destination and renamed at the end, so that
an interrupted backup leaves the previous one intact.
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
from magpiefront.record.report_stores import CommandError, ReportStore, SqliteReportStore
from magpiefront.record.sqlite import BadStore, open_file

PAGES_PER_STEP = 256  # pages copied between two calls of `on_progress`
ROWS_PER_STEP = 1_000  # rows copied between two calls of `on_progress`
OnProgress = Callable[[int, int], None]  # the pages or rows done, and their total number


@dataclass(frozen=True, slots=True)
class Backup:
    """A backup that was made: its file, the number of its rows and its size."""

    path: Path
    rows: int
    bytes: int


def backup(store: ReportStore, to: Path, on_progress: OnProgress) -> Backup:
    """Makes a backup of the store in the file `to`. Raises CommandError. `to` is then unchanged, unless only
    the last step failed, the sync of its directory."""
    if isinstance(store, SqliteReportStore) and to.exists() and to.samefile(store.path):
        raise CommandError(f"{to}: is the store itself")
    partial = to.with_name(f"{to.name}.part")
    try:
        _remove_file(partial)
        if isinstance(store, SqliteReportStore):
            _copy_pages(store, partial, on_progress)
        else:
            _copy_rows(store, partial, on_progress)
        row_count = _verify(partial)
        with open(partial, "rb") as f:
            os.fsync(f.fileno())
        os.replace(partial, to)
        _sync_directory(to.parent)
    except (OSError, sqlite3.Error, BadStore) as e:
        _remove_file(partial)
        raise CommandError(f"{to}: the backup failed: {' '.join(str(e).split())}") from None
    except BaseException:
        _remove_file(partial)
        raise
    return Backup(to, row_count, to.stat().st_size)


def _copy_pages(store: SqliteReportStore, partial: Path, on_progress: OnProgress) -> None:
    target = sqlite3.connect(partial)
    try:
        # Without an open snapshot each commit of a gateway would restart the copy, which under load would
        # never finish.
        store.begin(False)
        taken_s = time.time()
        store.counts()  # the snapshot begins with the first read; the result is not used
        store.db.backup(
            target, pages=PAGES_PER_STEP, progress=lambda _, left, total: on_progress(total - left, total)
        )
        store.commit()
        # Without a write-ahead log the backup is one file, which can be copied as it is.
        target.execute("PRAGMA journal_mode=DELETE")
        with target:
            sqlite.mark_as_backup(target, taken_s)
    finally:
        target.close()


def _copy_rows(store: ReportStore, partial: Path, on_progress: OnProgress) -> None:
    db = open_file(partial)
    try:
        db.execute("PRAGMA synchronous=OFF")  # the file is synced once, when it is complete
        store.begin(False)  # a consistent view of all rows, whatever is written meanwhile
        total = sum(count for _, count, _ in store.counts())
        db.execute("BEGIN")
        sqlite.mark_as_backup(db, time.time())
        for n, row in enumerate(store.rows(), 1):
            db.execute(sqlite.INSERT, sqlite.encode_row(row))
            if n % ROWS_PER_STEP == 0:
                on_progress(n, total)
        db.execute("COMMIT")
        store.commit()
        on_progress(total, total)
        db.execute("PRAGMA journal_mode=DELETE")
    finally:
        db.close()


def _verify(partial: Path) -> int:
    """Checks the copy and decodes all its rows. Returns their number. Raises sqlite3.Error or BadStore."""
    db = sqlite3.connect(partial)
    try:
        check_result = db.execute("PRAGMA integrity_check(1)").fetchone()[0]
        if check_result != "ok":
            raise BadStore(f"the copy is damaged: {check_result}")
        if db.execute("PRAGMA user_version").fetchone()[0] != sqlite.VERSION:
            raise BadStore("the copy has another version")
        count = 0
        for _ in sqlite.rows(db, None):  # decodes each row
            count += 1
        return count
    except (ValueError, TypeError) as e:
        raise BadStore(f"a row of the copy can't be decoded: {e}") from None
    finally:
        db.close()


def _remove_file(partial: Path) -> None:
    """Removes a SQLite file and the files that SQLite keeps next to it, as far as they exist."""
    for suffix in ("", "-wal", "-shm", "-journal"):
        with suppress(FileNotFoundError):
            os.unlink(f"{partial}{suffix}")


def _sync_directory(directory: Path) -> None:
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
