"""The table `record` of the operator's file."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec

from magpiefront.operator.fields import BadFile, Duration, Size, read
from magpiefront.record.settings import RecordSettings, SqliteSettings

OWN, SQLITE = RecordSettings(SqliteSettings(Path("."))), SqliteSettings(Path("."))
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class SqliteTable(msgspec.Struct, forbid_unknown_fields=True):
    path: Annotated[str, msgspec.Meta(min_length=1)]
    most_batch: Count = SQLITE.most_batch
    checkpoint_pages: Count = SQLITE.checkpoint_pages


class RecordTable(msgspec.Struct, forbid_unknown_fields=True):
    sqlite: dict[str, Any]
    classes: list[str] | None = None
    most_waiting: Count = OWN.most_waiting
    most_body: Size = Size(OWN.most_body)
    most_answer: Size = Size(OWN.most_answer)
    retention_hours: Count = OWN.retention_s // 3_600
    least_left: Duration = Duration(OWN.least_left_us)
    settle: Duration = Duration(OWN.settle_us)


def record(path: Path, given: Any) -> RecordSettings:
    """Raises BadFile."""
    r = read(path, "record", given, RecordTable)
    s = read(path, "record.sqlite", r.sqlite, SqliteTable)
    for key, value in (("least_left", r.least_left), ("settle", r.settle)):
        if value.us < 1_000:
            raise BadFile(f"{path}: [record] {key}: must be at least 1ms")
    return RecordSettings(
        sqlite=SqliteSettings(path.parent / s.path, s.most_batch, s.checkpoint_pages),
        classes=None if r.classes is None else frozenset(r.classes), most_waiting=r.most_waiting,
        most_body=r.most_body.bytes, most_answer=r.most_answer.bytes, retention_s=r.retention_hours * 3_600,
        least_left_us=r.least_left.us, settle_us=r.settle.us,
    )  # fmt: skip
