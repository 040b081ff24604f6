"""The stores of record as the commands see them: one call after the other, beside the gateways."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Iterator
from pathlib import Path
from typing import Any, Protocol, TypeVar

from magpiefront.record import sqlite
from magpiefront.record.rows import Id, Row, State
from magpiefront.record.settings import PostgresSettings, SqliteSettings

T = TypeVar("T")


class Refused(Exception):
    """A command that can't be carried out; its text is one line."""


class Book(Protocol):
    name: str

    def counts(self) -> list[tuple[str, int, float]]:
        """Of each state that there is: how many, and when the oldest was received (Unix seconds)."""

    def rows(self, state: State | None = None) -> Iterator[Row]:
        """The oldest first. Raises ValueError or TypeError on a row that can't be read."""

    def find(self, id: Id) -> Row | None: ...

    def add(self, row: Row) -> bool:
        """False where its id is held already."""

    def change(self, before: Row, after: Row) -> bool: ...
    def begin(self, writes: bool) -> None: ...
    def commit(self) -> None: ...

    def checked(self) -> Iterator[Row | str]:
        """All rows, and in words what is wrong with the store itself or can't be read."""

    def origins(self) -> list[tuple[float, float | None]]:
        """The back-ups that it was: when each was taken, and when a gateway first served from it."""

    def size(self) -> int: ...
    def compact(self) -> None: ...
    def close(self) -> None: ...


class SqliteBook:
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
        return bool(self.db.execute(sqlite.INSERT, sqlite.pack(row)).rowcount)

    def change(self, before: Row, after: Row) -> bool:
        values = sqlite.pack(after)[sqlite.FIRST_CHANGED :]
        return bool(
            self.db.execute(sqlite.UPDATE, (*values, *before.id, before.state.value, before.owner)).rowcount
        )

    def begin(self, writes: bool) -> None:
        self.db.execute("BEGIN IMMEDIATE" if writes else "BEGIN")

    def commit(self) -> None:
        self.db.execute("COMMIT")

    def checked(self) -> Iterator[Row | str]:
        for (line,) in self.db.execute("PRAGMA integrity_check"):
            if line != "ok":
                yield f"{self.path}: {line}"
        for (rowid,) in self.db.execute("SELECT rowid FROM reports").fetchall():
            try:
                row = sqlite.get_row(self.db, rowid)
            except (ValueError, TypeError) as e:
                yield f"row {rowid}: {e}"
                continue
            if row is not None:
                yield row

    def origins(self) -> list[tuple[float, float | None]]:
        return sqlite.origins(self.db)

    def size(self) -> int:
        return sum(p.stat().st_size for p in (self.path, Path(f"{self.path}-wal")) if p.exists())

    def compact(self) -> None:
        self.db.execute("VACUUM")
        self.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")

    def close(self) -> None:
        self.db.close()


class PostgresBook:
    """Over one connection, on a loop of its own."""

    def __init__(self, settings: PostgresSettings) -> None:
        """Raises BadStore."""
        from magpiefront.record.postgres import ERRORS, PostgresStore

        self.errors = ERRORS
        self.name = "postgres"
        self.loop = asyncio.new_event_loop()
        self.store = PostgresStore(_House(self.loop), settings, 1, "command")
        try:
            self.connection: Any = self.loop.run_until_complete(self.store.open())
        except BaseException:
            self.loop.close()
            raise

    def _do(self, what: Awaitable[T]) -> T:
        """Raises Refused."""
        try:
            return self.loop.run_until_complete(_awaited(what))
        except self.errors as e:
            raise Refused(f"postgres: {' '.join(str(e).split()) or type(e).__name__}") from None

    def counts(self) -> list[tuple[str, int, float]]:
        query = "SELECT state::text, count(*)::int8, min(received_s)::float8 FROM reports GROUP BY state"
        return [tuple(v) for v in self._do(self.connection.fetch(query))]

    def rows(self, state: State | None = None) -> Iterator[Row]:
        found = self._do(self.store.all_rows(self.connection, state))
        yield from found

    def find(self, id: Id) -> Row | None:
        return self._do(self.store.row_of(self.connection, id))

    def add(self, row: Row) -> bool:
        return self._do(self.store.add(self.connection, row))

    def change(self, before: Row, after: Row) -> bool:
        return self._do(self.store.put(self.connection, before, after))

    def begin(self, writes: bool) -> None:
        self._do(self.connection.execute("BEGIN ISOLATION LEVEL REPEATABLE READ"))

    def commit(self) -> None:
        self._do(self.connection.execute("COMMIT"))

    def checked(self) -> Iterator[Row | str]:
        yield from self.rows()  # its pages are the server's own matter

    def origins(self) -> list[tuple[float, float | None]]:
        return []  # the server's own back-ups are its operator's matter

    def size(self) -> int:
        found = self._do(self.connection.fetch("SELECT pg_total_relation_size('reports')::int8"))
        return int(found[0][0])

    def compact(self) -> None:
        self._do(self.connection.execute("VACUUM FULL reports"))

    def close(self) -> None:
        self.connection.terminate()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()


class _House:
    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def now_us(self) -> int:
        return int(self.loop.time() * 1e6)

    def log(self, text: str) -> None:
        raise Refused(text)


async def _awaited(what: Awaitable[T]) -> T:
    return await what


def open_book(settings: SqliteSettings | PostgresSettings, create: bool) -> Book:
    """Raises BadStore."""
    return (
        SqliteBook(settings.path, create) if isinstance(settings, SqliteSettings) else PostgresBook(settings)
    )


__all__ = ["Book", "PostgresBook", "Refused", "SqliteBook", "open_book"]
