"""The TLS tables of the operator's file. A table names all certificate files, or says `plain = true`."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from magpiefront.gateway.settings import Tls
from magpiefront.operator.parsing import BadFile, convert_table

FILE_KEYS = ("certificate", "key", "ca")


class TlsTable(msgspec.Struct, forbid_unknown_fields=True):
    plain: bool = False
    certificate: str = ""
    key: str = ""
    ca: str = ""


def parse_tls(path: Path, table: str, values: Any) -> Tls | None:
    """Parses a TLS table. Returns None if it says `plain = true`. Raises BadFile."""
    tls = convert_table(path, table, values, TlsTable)
    present = [n for n in FILE_KEYS if getattr(tls, n)]
    if tls.plain and present:
        raise BadFile(f"{path}: [{table}] plain: excludes {', '.join(present)}")
    if tls.plain:
        return None
    for n in FILE_KEYS:
        if n not in present:
            raise BadFile(f"{path}: [{table}] {n}: is missing; only plain = true turns TLS off")
    return Tls(*(str(path.parent / getattr(tls, n)) for n in FILE_KEYS))
