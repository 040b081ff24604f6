"""Checks which modules read a wall clock. A wall clock may jump by an hour at any time, so each module that
reads it must tolerate that and is listed here."""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent / "magpiefront"
CLOCK_READS = {"time", "time_ns", "now", "utcnow", "today", "localtime", "ctime"}
CLOCK_MODULES = {"time", "datetime", "date"}
# One entry for each row of docs/design/020-clocks.md, which says how the module tolerates a jump.
ALLOWED = {
    "caching/disk.py",
    "caching/stage.py",
    "group/service.py",
    "maintenance/service.py",
    "net/passing.py",
    "net/proxy.py",
    "record/backup.py",
    "record/sqlite.py",
    "record/stage.py",
}


def reads_wall_clock(path: Path) -> bool:
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.ImportFrom(module="time", names=names) if {n.name for n in names} & CLOCK_READS:
                return True
            case ast.Attribute(value=ast.Name(id=module), attr=name) if (
                module in CLOCK_MODULES and name in CLOCK_READS
            ):
                return True
            # gmtime() reads the clock only without a time as its argument.
            case ast.Call(func=ast.Attribute(attr="gmtime") | ast.Name(id="gmtime"), args=[]):
                return True
    return False


def test_only_listed_modules_read_a_wall_clock() -> None:
    found = {str(p.relative_to(ROOT)) for p in ROOT.rglob("*.py") if reads_wall_clock(p)}
    assert found == ALLOWED
