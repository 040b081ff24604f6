"""The durable state of a member in one SQLite file: term and vote, log, snapshot, incarnation.

One thread writes. A commit is synced to disk before it returns, as in the store of record (`sqlfile.py`). The
file is locked: a second process can't open it. The first failed write ends the thread and is reported to
`on_failure`. The member then stops taking part until the disk can be written again, but stays a member of the
group.
"""

from __future__ import annotations

import sqlite3
import threading
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from random import Random

import msgspec

from magpiefront.group.messages import Conf, Entry, EntryKind, Snapshot
from magpiefront.group.durable import HardState, StoredState, Write
from magpiefront.net.runtime import Runtime
from magpiefront.sqlfile import BadStore, open_database

MIGRATIONS = (
    # 1
    """
    CREATE TABLE own (
        one INTEGER PRIMARY KEY CHECK (one = 1), incarnation TEXT NOT NULL, boot INTEGER NOT NULL,
        term INTEGER NOT NULL, vote TEXT NOT NULL
    );
    CREATE TABLE snapshot (
        one INTEGER PRIMARY KEY CHECK (one = 1), at INTEGER NOT NULL, term INTEGER NOT NULL,
        conf BLOB NOT NULL, data BLOB NOT NULL
    );
    CREATE TABLE log (
        at INTEGER PRIMARY KEY, term INTEGER NOT NULL, kind INTEGER NOT NULL, data BLOB NOT NULL,
        origin TEXT NOT NULL, seq INTEGER NOT NULL
    );
    """,
    # 2: the known progress of other voters (`StoredState.known`)
    "ALTER TABLE own ADD COLUMN known BLOB NOT NULL DEFAULT x'80'",
)
CHECKPOINT_PAGES = 1_000  # length of the write-ahead log from which a commit moves it into the file
STOP_TIMEOUT_S = 3.0  # how long `stop` waits for the current write

Job = Callable[[sqlite3.Connection], None]


def load_state(db: sqlite3.Connection, random: Random | None = None) -> StoredState:
    """Counts this start (the column `boot`) and returns the stored state. With `random`, first replaces the
    incarnation and all its state by a new, empty one. Raises sqlite3.Error."""
    db.execute("BEGIN IMMEDIATE")
    if random is not None:
        db.execute("DELETE FROM log")
        db.execute("DELETE FROM own")
        db.execute("DELETE FROM snapshot")
    new_incarnation = f"{random.getrandbits(48):012x}" if random is not None else "0"
    insert = "INSERT OR IGNORE INTO own (one, incarnation, boot, term, vote) VALUES (1, ?, 0, 0, '')"
    db.execute(insert, (new_incarnation,))
    db.execute("UPDATE own SET boot = boot + 1")
    db.execute("COMMIT")
    own = db.execute("SELECT incarnation, boot, term, vote, known FROM own").fetchone()
    incarnation, process_number, term, vote = own[:4]
    others: dict[str, tuple[int, int]] = msgspec.msgpack.decode(own[4], type=dict[str, tuple[int, int]])
    row = db.execute("SELECT at, term, conf, data FROM snapshot").fetchone()
    snapshot = Snapshot(0, 0, Conf(), b"")
    if row is not None:
        at, at_term, conf, data = row
        snapshot = Snapshot(at, at_term, msgspec.msgpack.decode(conf, type=Conf), data)
    rows = db.execute("SELECT term, at, kind, data, origin, seq FROM log ORDER BY at")
    entries = [Entry(term, at, EntryKind(kind), *rest) for term, at, kind, *rest in rows]
    return StoredState(incarnation, process_number, HardState(term, vote), snapshot, entries, others)


def write(db: sqlite3.Connection, w: Write) -> None:
    """Writes all of `w` in one transaction. Raises sqlite3.Error."""
    db.execute("BEGIN IMMEDIATE")
    own = w.hard_state.term, w.hard_state.vote, msgspec.msgpack.encode(w.known)
    update = "UPDATE own SET (term, vote, known) = (?, ?, ?) WHERE (term, vote, known) <> (?, ?, ?)"
    db.execute(update, own * 2)
    snapshot = w.snapshot
    if snapshot is not None:
        row = snapshot.index, snapshot.term, msgspec.msgpack.encode(snapshot.conf), snapshot.data
        db.execute("INSERT OR REPLACE INTO snapshot VALUES (1, ?, ?, ?, ?)", row)
        if w.replaces_log:
            db.execute("DELETE FROM log")
        else:
            db.execute("DELETE FROM log WHERE at <= ?", (w.discard_upto,))
    if w.entries:
        db.execute("DELETE FROM log WHERE at >= ?", (w.entries[0].index,))
        rows = [(e.index, e.term, int(e.kind), e.data, e.origin, e.seq) for e in w.entries]
        db.executemany("INSERT INTO log VALUES (?, ?, ?, ?, ?, ?)", rows)
    db.execute("COMMIT")


class GroupDisk:
    """The file and the thread that writes to it. All callbacks run in the event loop. `on_failure` is called
    with the cause when a write has failed."""

    def __init__(self, runtime: Runtime, path: Path, on_failure: Callable[[str], None]) -> None:
        self.runtime, self.path, self.on_failure = runtime, path, on_failure
        self.db: sqlite3.Connection | None = None
        self.jobs: deque[tuple[Job, Callable[[], None]]] = deque()
        self.condition = threading.Condition()
        self.stopping = False
        self.thread: threading.Thread | None = None

    def start(self) -> StoredState:
        """Opens the file, starts the thread and returns the stored state. Raises BadStore."""
        self.db = open_database(self.path, MIGRATIONS, exclusive=True)
        try:
            self.db.execute(f"PRAGMA wal_autocheckpoint={CHECKPOINT_PAGES}")
            stored = load_state(self.db)
        except sqlite3.Error as e:
            self.db.close()
            raise BadStore(f"{self.path}: {e}") from None
        self.stopping = False
        self.thread = threading.Thread(target=self._run, args=(self.db,), name="group", daemon=True)
        self.thread.start()
        return stored

    def write(self, w: Write, on_done: Callable[[], None]) -> None:
        """Calls `on_done` once all of `w` is durable, and never if the write fails."""
        self._add(lambda db: write(db, w), on_done)

    def replace_incarnation(self, random: Random, on_done: Callable[[StoredState], None]) -> None:
        """Replaces the incarnation and all its state by a new, empty one, and passes that to `on_done`, which
        is never called if the write fails."""
        results: list[StoredState] = []
        self._add(lambda db: results.append(load_state(db, random)), lambda: on_done(results[0]))

    def _add(self, job: Job, on_done: Callable[[], None]) -> None:
        with self.condition:
            self.jobs.append((job, on_done))
            self.condition.notify()

    def _run(self, db: sqlite3.Connection) -> None:
        while True:
            with self.condition:
                while not self.jobs and not self.stopping:
                    self.condition.wait()
                if self.stopping:
                    break
                job, on_done = self.jobs.popleft()
            try:
                job(db)
            except sqlite3.Error as e:
                with suppress(sqlite3.Error):
                    db.execute("ROLLBACK")
                self._call_in_loop(lambda e=e: self.on_failure(f"{self.path}: {e}"))  # type: ignore[misc]
                break
            self._call_in_loop(on_done)
        db.close()

    def _call_in_loop(self, callback: Callable[[], None]) -> None:
        with suppress(RuntimeError):  # the loop is closed
            self.runtime.loop.call_soon_threadsafe(callback)

    def stop(self) -> None:
        """Drops the waiting writes and waits for the current one, for at most `STOP_TIMEOUT_S`."""
        with self.condition:
            self.stopping = True
            self.jobs.clear()
            self.condition.notify()
        if self.thread is not None and self.thread is not threading.current_thread():
            self.thread.join(STOP_TIMEOUT_S)
            self.thread = None
