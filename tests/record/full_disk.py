"""Runs a store of record in a process whose files can't grow over a limit, as on a full disk.

    python -m tests.record.full_disk LIMIT ACTION STORE [BACKUP]

LIMIT is in bytes. The action `open` opens the file; `write` inserts more reports than fit and
prints the outcome of each; `backup` makes a backup. A failure prints one line and exits with status 2.
"""

from __future__ import annotations

import resource
import sys
from pathlib import Path

from magpiefront.record.backup import backup
from magpiefront.record.report_stores import CommandError, SqliteReportStore
from magpiefront.record.settings import SqliteSettings
from magpiefront.record.sqlite import BadStore, SqliteStore, open_file
from tests.record.test_sqlite import FakeRuntime, call, numbered_row


def run_action(action: str, path: Path, *arguments: str) -> None:
    if action == "open":
        open_file(path).close()
    elif action == "backup":
        backup(SqliteReportStore(path, False), Path(arguments[0]), lambda *_: None)
    else:
        store = SqliteStore(FakeRuntime(), SqliteSettings(path, checkpoint_pages=1))
        store.start()
        for n in range(120):
            result = call(store, store.insert, numbered_row(n, body=b"x" * 2_000))
            print(n, result.outcome.value)
        store.stop()


if __name__ == "__main__":
    limit_bytes = int(sys.argv[1])
    resource.setrlimit(resource.RLIMIT_FSIZE, (limit_bytes, limit_bytes))
    try:
        run_action(sys.argv[2], Path(sys.argv[3]), *sys.argv[4:])
    except (BadStore, CommandError) as e:
        print(e, file=sys.stderr)
        sys.exit(2)
