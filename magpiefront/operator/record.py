"""Parses the table `record` of the operator's file."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec

from magpiefront.group.settings import GroupSettings
from magpiefront.operator.parsing import BadFile, Duration, Size, convert_table
from magpiefront.record.settings import (
    GroupStoreSettings, PostgresSettings, RecordSettings, SqliteSettings,
)  # fmt: skip

# Omitted keys have the default values of the settings.
RECORD, SQLITE = RecordSettings(SqliteSettings(Path("."))), SqliteSettings(Path("."))
POSTGRES, GROUP = PostgresSettings(""), GroupStoreSettings()
# Room in a log entry for the keys, target and fields of a report, besides its body or its answer.
COMMAND_OVERHEAD_BYTES = 8 << 10
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class SqliteTable(msgspec.Struct, forbid_unknown_fields=True):
    path: Annotated[str, msgspec.Meta(min_length=1)]
    most_batch: Count = SQLITE.most_batch
    checkpoint_pages: Count = SQLITE.checkpoint_pages


class PostgresTable(msgspec.Struct, forbid_unknown_fields=True):
    dsn: Annotated[str, msgspec.Meta(pattern=r"^postgres(ql)?://")]
    connections: Annotated[int, msgspec.Meta(ge=1, le=64)] = POSTGRES.connections
    most_batch: Count = POSTGRES.most_batch
    connect_timeout: Duration = Duration(POSTGRES.connect_timeout_us)
    statement_timeout: Duration = Duration(POSTGRES.statement_timeout_us)


class GroupStoreTable(msgspec.Struct, forbid_unknown_fields=True):
    most_rows: Count = GROUP.most_rows
    most_bytes: Size = Size(GROUP.most_bytes)


class RecordTable(msgspec.Struct, forbid_unknown_fields=True):
    sqlite: dict[str, Any] | None = None
    postgres: dict[str, Any] | None = None
    group: dict[str, Any] | None = None
    classes: list[str] | None = None
    most_waiting: Count = RECORD.most_waiting
    most_body: Size = Size(RECORD.most_body)
    most_answer: Size = Size(RECORD.most_answer)
    retention_hours: Count = RECORD.retention_s // 3_600
    least_left: Duration = Duration(RECORD.least_left_us)
    settle: Duration = Duration(RECORD.settle_us)


def parse_record(path: Path, values: Any, group: GroupSettings | None = None) -> RecordSettings:
    """Parses the table `record`. `group` holds the settings in the table `group`, or is None if the file has
    none. Raises BadFile."""
    record = convert_table(path, "record", values, RecordTable)
    present = [n for n in ("sqlite", "postgres", "group") if getattr(record, n) is not None]
    if len(present) > 1:
        raise BadFile(f"{path}: [record] {present[0]}: excludes {present[1]}")
    if not present:
        raise BadFile(f"{path}: [record] sqlite: is missing, as are postgres and group")
    for key, value in (("least_left", record.least_left), ("settle", record.settle)):
        if value.us < 1_000:
            raise BadFile(f"{path}: [record] {key}: must be at least 1ms")
    return RecordSettings(
        store=_parse_store(path, record, group),
        classes=None if record.classes is None else frozenset(record.classes),
        most_waiting=record.most_waiting, most_body=record.most_body.bytes,
        most_answer=record.most_answer.bytes, retention_s=record.retention_hours * 3_600,
        least_left_us=record.least_left.us, settle_us=record.settle.us,
    )  # fmt: skip


def _parse_store(
    path: Path, record: RecordTable, group: GroupSettings | None
) -> SqliteSettings | PostgresSettings | GroupStoreSettings:  # fmt: skip
    if record.group is None:
        return (
            _parse_sqlite(path, record.sqlite)
            if record.sqlite is not None
            else _parse_postgres(path, record.postgres)
        )
    group_store = convert_table(path, "record.group", record.group, GroupStoreTable)
    if group is None:
        raise BadFile(f"{path}: [record.group]: needs [group]")
    max_payload_bytes = group.limits.most_entry - COMMAND_OVERHEAD_BYTES
    for key, value in (("most_body", record.most_body), ("most_answer", record.most_answer)):
        if value.bytes > max_payload_bytes:
            cause = f"{value.bytes} bytes are over [group.limits] most_entry less {COMMAND_OVERHEAD_BYTES}"
            raise BadFile(f"{path}: [record] {key}: {cause}")
    if group_store.most_bytes.bytes < 2 * (record.most_body.bytes + record.most_answer.bytes):
        raise BadFile(f"{path}: [record.group] most_bytes: must have room for two reports and their answers")
    return GroupStoreSettings(group_store.most_rows, group_store.most_bytes.bytes)


def _parse_sqlite(path: Path, values: Any) -> SqliteSettings:
    s = convert_table(path, "record.sqlite", values, SqliteTable)
    return SqliteSettings(path.parent / s.path, s.most_batch, s.checkpoint_pages)


def _parse_postgres(path: Path, values: Any) -> PostgresSettings:
    p = convert_table(path, "record.postgres", values, PostgresTable)
    for key, value in (("connect_timeout", p.connect_timeout), ("statement_timeout", p.statement_timeout)):
        if value.us < 1_000:
            raise BadFile(f"{path}: [record.postgres] {key}: must be at least 1ms")
    return PostgresSettings(p.dsn, p.connections, p.most_batch, p.connect_timeout.us, p.statement_timeout.us)
