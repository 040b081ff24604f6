"""Settings of the store of record. Fields that the operator's file sets are named after its keys.

The suffix of a name gives the unit: `_us` is microseconds, `_s` seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class SqliteSettings:
    """Settings of a store in an SQLite file."""

    path: Path
    most_batch: int = 256  # changes in one commit
    checkpoint_pages: int = 1_000  # a longer write-ahead log is checkpointed; pages of 4096 bytes


@dataclass(frozen=True, slots=True)
class PostgresSettings:
    """Settings of a store in PostgreSQL."""

    dsn: str
    connections: int = 4
    most_batch: int = 64  # changes in one commit
    connect_timeout_us: int = 1_000_000
    statement_timeout_us: int = 2_000_000


@dataclass(frozen=True, slots=True)
class GroupStoreSettings:
    """Limits of a store that is replicated by the group, in the memory and the log of each member. Reports
    over these limits are refused."""

    most_rows: int = 20_000
    most_bytes: int = 16 << 20


@dataclass(frozen=True, slots=True)
class RecordSettings:
    """Settings of the stage that stores reports."""

    store: SqliteSettings | PostgresSettings | GroupStoreSettings
    classes: frozenset[str] | None = None  # the keyed classes whose reports are stored; None: all
    most_waiting: int = 1_000  # changes that may wait for a commit; further ones are refused at once
    most_body: int = 64 << 10  # bytes of a report; a longer one is refused
    most_answer: int = 64 << 10  # bytes of the body of an answer; a longer body is not stored
    retention_s: int = 7 * 86_400  # how long confirmed reports are kept
    # A report with less time left is not sent, because its answer would be late by the client's clock.
    least_left_us: int = 60_000
    settle_us: int = 2_000_000  # time limit for storing an outcome, also after the client's deadline
    poll_interval_us: int = 1_000_000  # pause between polls for open rows
    delivery_us: int = 2_000_000  # time limit of a delivery that no client waits for
    most_deliveries: int = 4  # deliveries at the same time
    most_takeovers: int = 16  # deliveries at the same time of the reports that a lost member had in hand
