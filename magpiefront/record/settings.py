"""What an operator may set of the store of record. Durations are microseconds unless a name says seconds."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class SqliteSettings:
    path: Path
    most_batch: int = 256  # changes in one commit
    checkpoint_pages: int = 1_000  # of the write-ahead log, before it is put back into the file


@dataclass(frozen=True, slots=True)
class PostgresSettings:
    dsn: str
    connections: int = 4
    most_batch: int = 64
    connect_timeout_us: int = 1_000_000
    statement_timeout_us: int = 2_000_000


@dataclass(frozen=True, slots=True)
class GroupStoreSettings:
    """In memory and in the log of each member; what is over is refused."""

    most_rows: int = 20_000
    most_bytes: int = 16 << 20


@dataclass(frozen=True, slots=True)
class RecordSettings:
    store: SqliteSettings | PostgresSettings | GroupStoreSettings
    classes: frozenset[str] | None = None  # which keyed classes; None: all
    most_waiting: int = 1_000  # changes that wait for a commit; more are refused at once
    most_body: int = 64 << 10  # of a report; a longer one is refused
    most_answer: int = 64 << 10  # of an answer that repeats get; a longer one is cut to its status
    retention_s: int = 7 * 86_400  # of what is confirmed
    least_left_us: int = 60_000  # an answer in the last moment is late by its client's clock
    settle_us: int = 2_000_000
    look_us: int = 1_000_000  # between looks for what is owed
    delivery_us: int = 2_000_000  # of one that nobody waits for
    most_deliveries: int = 4  # at once
    most_takeovers: int = 16  # ... of what a lost member had in hand
