"""Synchronous access to the stores of record for the `record` commands, also while gateways use them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Iterator
from pathlib import Path
from typing import Any, Protocol, TypeVar

from magpiefront.record import sqlite
from magpiefront.record.rows import Id, Row, State
from magpiefront.record.settings import PostgresSettings, SqliteSettings

T = TypeVar("T")


class CommandError(Exception):
    """A command can't be carried out. The message is one line."""


class ReportStore(Protocol):
    """A store of record as the `record` commands use it. A call that fails raises CommandError, or
    sqlite3.Error if the store is a SQLite file."""

    name: str

    def counts(self) -> list[tuple[str, int, float]]:
        """Returns, for each state that occurs, the number of rows and the time when the oldest was received
        (Unix seconds)."""

    def rows(self, state: State | None = None) -> Iterator[Row]:
        """Yields all rows, or those in one state, the oldest first. Raises ValueError or TypeError if a row
        can't be decoded."""

    def find(self, id: Id) -> Row | None: ...

    def add(self, row: Row) -> bool:
        """Returns False if the id exists already."""

    def change(self, before: Row, after: Row) -> bool:
        """Returns False if the stored row no longer has the state and owner of `before`."""

    def begin(self, writes: bool) -> None:
        """Begins a transaction with one consistent view of the store. `writes`: it may change rows."""

    def commit(self) -> None: ...

    def verify_rows(self) -> Iterator[Row | str]:
        """Yields all rows that can be decoded and, as text, each fault of the store or of another row."""

    def source_backups(self) -> list[tuple[float, float | None]]:
        """Returns the backups that the store was restored from: when each was taken, and when a gateway first
        used it, or None (Unix seconds)."""

    def size(self) -> int:
        """Returns the size in bytes."""

    def compact(self) -> None:
        """Returns the space of removed rows to the file system."""

    def close(self) -> None: ...


class SqliteReportStore:
    """Implements `ReportStore` on a SQLite file."""

    def __init__(self, path: Path, create: bool) -> None:
        """Raises BadStore."""
        self.path, self.name = path, str(path)
        self.db = sqlite.open_file(path, create)

    def counts(self) -> list[tuple[str, int, float]]:
        return self.db.execute(
            "SELECT state, count(*), min(received_s) FROM reports GROUP BY state"
        ).fetchall()

    def rows(self, state: State | None = None) -> Iterator[Row]:
        return sqlite.rows(self.db, state)

    def find(self, id: Id) -> Row | None:
        return sqlite.get_by_id(self.db, id)

    def add(self, row: Row) -> bool:
        return bool(self.db.execute(sqlite.INSERT, sqlite.encode_row(row)).rowcount)

    def change(self, before: Row, after: Row) -> bool:
        values = sqlite.encode_row(after)[sqlite.FIRST_MUTABLE_COLUMN :]
        return bool(
            self.db.execute(sqlite.UPDATE, (*values, *before.id, before.state.value, before.owner)).rowcount
        )

    def begin(self, writes: bool) -> None:
        self.db.execute("BEGIN IMMEDIATE" if writes else "BEGIN")

    def commit(self) -> None:
        self.db.execute("COMMIT")

    def verify_rows(self) -> Iterator[Row | str]:
        for (line,) in self.db.execute("PRAGMA integrity_check"):
            if line != "ok":
                yield f"{self.path}: {line}"
        for (rowid,) in self.db.execute("SELECT rowid FROM reports").fetchall():
            try:
                row = sqlite.get_by_rowid(self.db, rowid)
            except (ValueError, TypeError) as e:
                yield f"row {rowid}: {e}"
                continue
            if row is not None:
                yield row

    def source_backups(self) -> list[tuple[float, float | None]]:
        return sqlite.source_backups(self.db)

    def size(self) -> int:
        return sum(p.stat().st_size for p in (self.path, Path(f"{self.path}-wal")) if p.exists())

    def compact(self) -> None:
        self.db.execute("VACUUM")
        self.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")

    def close(self) -> None:
        self.db.close()


class PostgresReportStore:
    """Implements `ReportStore` on a PostgreSQL server, with one connection and an event loop of its own."""

    def __init__(self, settings: PostgresSettings) -> None:
        """Raises BadStore."""
        from magpiefront.record.postgres import ERRORS, PostgresStore

        self.errors = ERRORS
        self.name = "postgres"
        self.loop = asyncio.new_event_loop()
        self.store = PostgresStore(_CommandRuntime(self.loop), settings, 1, "command")
        try:
            self.connection: Any = self.loop.run_until_complete(self.store.open())
        except BaseException:
            self.loop.close()
            raise

    def _run(self, operation: Awaitable[T]) -> T:
        """Waits for the result. Raises CommandError."""
        try:
            return self.loop.run_until_complete(_await(operation))
        except self.errors as e:
            raise CommandError(f"postgres: {' '.join(str(e).split()) or type(e).__name__}") from None

    def counts(self) -> list[tuple[str, int, float]]:
        query = "SELECT state::text, count(*)::int8, min(received_s)::float8 FROM reports GROUP BY state"
        return [tuple(v) for v in self._run(self.connection.fetch(query))]

    def rows(self, state: State | None = None) -> Iterator[Row]:
        found = self._run(self.store.fetch_rows(self.connection, state))
        yield from found

    def find(self, id: Id) -> Row | None:
        return self._run(self.store.fetch_row(self.connection, id))

    def add(self, row: Row) -> bool:
        return self._run(self.store.insert_row(self.connection, row))

    def change(self, before: Row, after: Row) -> bool:
        return self._run(self.store.update_row(self.connection, before, after))

    def begin(self, writes: bool) -> None:
        self._run(self.connection.execute("BEGIN ISOLATION LEVEL REPEATABLE READ"))

    def commit(self) -> None:
        self._run(self.connection.execute("COMMIT"))

    def verify_rows(self) -> Iterator[Row | str]:
        yield from self.rows()  # the pages of the database are not checked: that is left to the server

    def source_backups(self) -> list[tuple[float, float | None]]:
        # Not recorded on a server: its backups are not made by this program.
        return []

    def size(self) -> int:
        found = self._run(self.connection.fetch("SELECT pg_total_relation_size('reports')::int8"))
        return int(found[0][0])

    def compact(self) -> None:
        self._run(self.connection.execute("VACUUM FULL reports"))

    def close(self) -> None:
        self.connection.terminate()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()


class _CommandRuntime:
    """The runtime of a store in a command. If the store logs a line, the command fails with that line."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def now_us(self) -> int:
        return int(self.loop.time() * 1e6)

    def log(self, text: str) -> None:
        raise CommandError(text)


async def _await(operation: Awaitable[T]) -> T:
    return await operation


def open_report_store(settings: SqliteSettings | PostgresSettings, create: bool) -> ReportStore:
    """Opens the store that the settings describe. `create`: make a SQLite file if it is missing. Raises
    BadStore."""
    return (
        SqliteReportStore(settings.path, create)
        if isinstance(settings, SqliteSettings)
        else PostgresReportStore(settings)
    )


__all__ = ["CommandError", "PostgresReportStore", "ReportStore", "SqliteReportStore", "open_report_store"]
