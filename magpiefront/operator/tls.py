"""A table of certificates: whole, or plain by its own word."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from magpiefront.gateway.settings import Tls
from magpiefront.operator.fields import BadFile, read

FILES = ("certificate", "key", "ca")


class TlsTable(msgspec.Struct, forbid_unknown_fields=True):
    plain: bool = False
    certificate: str = ""
    key: str = ""
    ca: str = ""


def tls(path: Path, table: str, given: Any) -> Tls | None:
    """None where the file says plain. Raises BadFile."""
    t = read(path, table, given, TlsTable)
    named = [n for n in FILES if getattr(t, n)]
    if t.plain and named:
        raise BadFile(f"{path}: [{table}] plain: excludes {', '.join(named)}")
    if t.plain:
        return None
    for n in FILES:
        if n not in named:
            raise BadFile(f"{path}: [{table}] {n}: is missing; the link is plain only with plain = true")
    return Tls(*(str(path.parent / getattr(t, n)) for n in FILES))
