"""The store of record in a SQLite file, with one writer thread and group commit.

A change is durable once its commit is in the write-ahead log and the log is synced (`synchronous=FULL`).
Changes that arrive while a commit is being synced are collected for the next one. A second thread copies the
log back into the file without stopping the writer (a passive checkpoint); the writer itself does so if the
log gets long.
"""

from __future__ import annotations

import sqlite3
import threading
import time
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from magpiefront.net.runtime import Runtime
from magpiefront.record.rows import (
    Answer, Id, Moment, Outcome, Result, Row, State, ResultCallback, attempts_text, boot_id, read_attempts,
)  # fmt: skip
from magpiefront.record.settings import SqliteSettings
from magpiefront.sqlfile import BUSY_TIMEOUT_S, connect, open_database
from magpiefront.sqlfile import BadStore as BadStore

STOP_TIMEOUT_S = 3.0  # how long `stop` waits for each thread
COMMIT_TIME_SMOOTHING = 0.2  # weight of the latest commit in `commit_us`
# LONG_LOG_FACTOR: the write-ahead log is long above this multiple of `checkpoint_pages`.
# WRITER_CHECKPOINT_INTERVAL_S: the shortest time between two checkpoints by the writer.
LONG_LOG_FACTOR, WRITER_CHECKPOINT_INTERVAL_S = 4, 0.1
COLUMNS = (
    "tenant", "kind", "key", "digest", "method", "target", "more", "body", "state", "received_s", "sent_s",
    "sent_boot", "sent_up_s", "owner", "window_s", "until_s", "status", "answer_more", "answer_body",
    "attempts", "note", "told",
)  # fmt: skip
MIGRATIONS: tuple[str, ...] = (
    # 1
    """
    CREATE TABLE reports (
        tenant TEXT NOT NULL, kind TEXT NOT NULL, key BLOB NOT NULL, digest BLOB NOT NULL,
        method BLOB NOT NULL, target BLOB NOT NULL, more BLOB NOT NULL, body BLOB NOT NULL,
        state TEXT NOT NULL, received_s REAL NOT NULL, sent_s REAL, sent_boot TEXT, sent_up_s REAL,
        owner TEXT NOT NULL,
        window_s REAL NOT NULL, until_s REAL NOT NULL, status INTEGER, answer_more BLOB, answer_body BLOB,
        attempts TEXT NOT NULL, note TEXT NOT NULL, UNIQUE (tenant, kind, key)
    );
    CREATE INDEX open ON reports (state, received_s) WHERE state <> 'confirmed';
    CREATE INDEX age ON reports (received_s) WHERE state = 'confirmed';
    """,
    # 2: whether the client was told to retry; the backups that this file was restored from
    """
    ALTER TABLE reports ADD COLUMN told INTEGER NOT NULL DEFAULT 0;
    CREATE TABLE origins (taken_s REAL NOT NULL, opened_s REAL);
    """,
)
VERSION = len(MIGRATIONS)
COLUMN_LIST = ", ".join(COLUMNS)
BY_ID = "tenant = ? AND kind = ? AND key = ?"
PLACEHOLDERS = f"({', '.join('?' * len(COLUMNS))})"
INSERT = f"INSERT OR IGNORE INTO reports ({COLUMN_LIST}) VALUES {PLACEHOLDERS}"
# The columns before this one describe the request and never change, so its bytes are written only once.
FIRST_MUTABLE_COLUMN = COLUMNS.index("state")
UPDATE = (
    f"UPDATE reports SET {', '.join(f'{c} = ?' for c in COLUMNS[FIRST_MUTABLE_COLUMN:])} "
    f"WHERE {BY_ID} AND state = ? AND owner = ?"
)
# There are statements for these numbers of reports at once. Each step of a statement releases the interpreter
# lock, and the event loop's thread then takes it: with one statement for each report the writer had to wait
# for the lock once per report.
ROWS_PER_STATEMENT = (64, 16, 4)
_MUTABLE_COLUMNS = COLUMNS[FIRST_MUTABLE_COLUMN:]
_CHANGE_PLACEHOLDERS = f"({', '.join('?' * (len(_MUTABLE_COLUMNS) + 5))})"
BATCH_INSERTS = {n: INSERT + f", {PLACEHOLDERS}" * (n - 1) for n in ROWS_PER_STATEMENT}
BATCH_UPDATES = {
    n: f"UPDATE reports SET {', '.join(f'{c} = v.column{i}' for i, c in enumerate(_MUTABLE_COLUMNS, 6))} "
    f"FROM (VALUES {', '.join([_CHANGE_PLACEHOLDERS] * n)}) AS v WHERE reports.tenant = v.column1 "
    "AND reports.kind = v.column2 AND reports.key = v.column3 AND reports.state = v.column4 "
    "AND reports.owner = v.column5"
    for n in ROWS_PER_STATEMENT
}


def encode_row(r: Row) -> tuple[object, ...]:
    """Returns the values of a row in the order of `COLUMNS`."""
    sent = r.sent or (None, None, None)
    answer = r.answer
    return (
        *r.id, r.digest, r.method, r.target, r.more, r.body, r.state.value, r.received_s, *sent,
        r.owner, r.window_s, r.until_s, answer.status if answer else None, answer.more if answer else None,
        answer.body if answer else None, attempts_text(r.attempts), r.note, int(r.told),
    )  # fmt: skip


def decode_row(v: tuple[Any, ...]) -> Row:
    """Decodes the values that `encode_row` returns. Raises ValueError or TypeError."""
    sent = Moment(v[10], v[11], v[12]) if v[10] is not None else None
    answer = Answer(v[16], v[17], v[18]) if v[16] is not None else None
    state = State(v[8])
    return Row(Id(*v[:3]), v[3], v[4], v[5], v[6], v[7], state, v[9], sent, v[13], v[14], v[15], answer,
               read_attempts(v[19]), v[20], bool(v[21]))  # fmt: skip


def open_file(path: Path, create: bool = True) -> sqlite3.Connection:
    """Opens a file, checks it and migrates it to the current version. Raises BadStore."""
    return open_database(path, MIGRATIONS, create)


def mark_as_backup(db: sqlite3.Connection, taken_s: float) -> None:
    """Marks a file as a backup that was taken at `taken_s` (Unix seconds)."""
    db.execute("INSERT INTO origins (taken_s) VALUES (?)", (taken_s,))


def source_backups(db: sqlite3.Connection) -> list[tuple[float, float | None]]:
    """Returns the backups that this file was restored from: when each was taken, and when a gateway first
    used it, or None (Unix seconds)."""
    return db.execute("SELECT taken_s, opened_s FROM origins ORDER BY taken_s").fetchall()


Parameters = tuple[object, ...]


@dataclass(slots=True)
class Job:
    """A queued request to the store. `operation` carries it out in the open transaction. `batch_statements`
    maps a number of jobs to one statement for as many jobs of this kind, and `parameters` are the parameters
    of this job in it."""

    operation: Callable[[sqlite3.Connection], Result]
    deadline_us: int
    on_done: ResultCallback
    is_write: bool
    batch_statements: dict[int, str] | None = None
    parameters: Parameters = ()
    id: Id | None = None


def run_jobs(db: sqlite3.Connection, due: list[Job]) -> list[tuple[Job, Result]]:
    """Runs the jobs in the open transaction. Raises sqlite3.Error."""
    done: list[tuple[Job, Result]] = []
    ids = [j.id for j in due if j.id is not None]
    if len(set(ids)) == len(ids):  # otherwise the order of jobs with the same id matters
        for statements in (BATCH_INSERTS, BATCH_UPDATES):
            done += _run_batched(db, statements, [j for j in due if j.batch_statements is statements])
    finished = {id(j) for j, _ in done}
    done += [(j, j.operation(db)) for j in due if id(j) not in finished]
    return done


def _run_batched(
    db: sqlite3.Connection, statements: dict[int, str], jobs: list[Job]
) -> list[tuple[Job, Result]]:  # fmt: skip
    """Runs jobs several at a time. Returns those that succeeded; the rest must be run one by one."""
    done: list[tuple[Job, Result]] = []
    position = 0
    for n in ROWS_PER_STATEMENT:
        while len(jobs) - position >= n:
            chunk = jobs[position : position + n]
            position += n
            db.execute("SAVEPOINT chunk")
            if db.execute(statements[n], [v for j in chunk for v in j.parameters]).rowcount == n:
                done += [(j, Result(Outcome.DONE)) for j in chunk]
            else:
                db.execute("ROLLBACK TO chunk")  # the row count does not tell which of them failed
            db.execute("RELEASE chunk")
    return done


class SqliteStore:
    """Implements `record.rows.Store` on a SQLite file."""

    def __init__(self, runtime: Runtime, settings: SqliteSettings, most_waiting: int = 1_000) -> None:
        self.runtime, self.settings, self.most_waiting = runtime, settings, most_waiting
        self.boot = boot_id()
        self.jobs: deque[Job] = deque()
        self.job_added = threading.Condition()
        self.stopping = False
        self.commit_us = 2_000.0  # smoothed duration of a commit
        self.commit_began_us: int | None = None  # None: no commit is in progress
        self.commits = self.changes_committed = 0
        self.threads: list[threading.Thread] = []
        self.db: sqlite3.Connection | None = None
        self.checkpoint_due = threading.Event()
        # `is_log_long`: the log stays long despite the checkpoint thread. `next_writer_checkpoint_s`: when
        # the writer may checkpoint again, by `time.monotonic`.
        self.is_log_long, self.next_writer_checkpoint_s = False, 0.0

    # ---- called in the event loop

    def start(self) -> None:
        """Opens the file and starts the threads. Logs each backup that the file was restored from and that
        was not in use before. Raises BadStore."""
        self.db = open_file(self.settings.path)
        for taken_s, opened_s in source_backups(self.db):
            if opened_s is None:
                when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(taken_s))
                self.runtime.log(f"record: {self.settings.path} is a backup of {when} UTC: later reports are "
                               "missing, and repeats of them are treated as new reports")  # fmt: skip
        self.db.execute("UPDATE origins SET opened_s = ? WHERE opened_s IS NULL", (time.time(),))
        for target in (self._run_writer, self._run_checkpoints):
            thread = threading.Thread(target=target, name="record", daemon=True)
            self.threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Waits up to `STOP_TIMEOUT_S` for each thread to finish the commit in progress. Queued jobs end as
        NOT_DONE."""
        with self.job_added:
            self.stopping = True
            self.job_added.notify()
        self.checkpoint_due.set()
        for thread in self.threads:
            thread.join(STOP_TIMEOUT_S)
        if self.db is not None and not any(t.is_alive() for t in self.threads):
            self.db.close()

    @property
    def identity(self) -> str:
        """Identifies the file on this machine until the next boot: no other machine can have it open. Empty
        if the file cannot be read."""
        try:
            file_status = self.settings.path.stat()
        except OSError:
            return ""
        return f"sqlite {self.boot} {file_status.st_dev} {file_status.st_ino}"

    @property
    def wait_us(self) -> int:
        """The expected time until a change that is queued now is committed."""
        batches = 1 + len(self.jobs) // self.settings.most_batch
        # A commit in progress is expected to take as long again as it has taken so far.
        began_us = self.commit_began_us
        elapsed_us = self.runtime.now_us() - began_us if began_us is not None else 0
        return max(elapsed_us, int(self.commit_us * (batches + 1)))

    @property
    def _is_idle(self) -> bool:
        """Returns whether no commit is in progress and no job is queued. The next change is then accepted,
        however long earlier commits took. Otherwise one slow commit, for example after a pause, would have
        all changes refused for good, because only another commit can lower the expected time."""
        return self.commit_began_us is None and not self.jobs

    def insert(self, row: Row, deadline_us: int, on_done: ResultCallback) -> None:
        parameters = encode_row(row)

        def operation(db: sqlite3.Connection) -> Result:
            done = db.execute(INSERT, parameters)
            return Result(Outcome.DONE) if done.rowcount else Result(Outcome.CONFLICT, get_by_id(db, row.id))

        self._enqueue(operation, deadline_us, on_done, True, BATCH_INSERTS, parameters, row.id)

    def change(self, before: Row, after: Row, deadline_us: int, on_done: ResultCallback) -> None:
        expected, changed = (
            (*before.id, before.state.value, before.owner), encode_row(after)[FIRST_MUTABLE_COLUMN:]
        )  # fmt: skip

        def operation(db: sqlite3.Connection) -> Result:
            done = db.execute(UPDATE, (*changed, *expected))
            return (
                Result(Outcome.DONE) if done.rowcount
                else Result(Outcome.CONFLICT, get_by_id(db, before.id))
            )  # fmt: skip

        self._enqueue(operation, deadline_us, on_done, True, BATCH_UPDATES, (*expected, *changed), before.id)

    def remove(self, before: Row, deadline_us: int, on_done: ResultCallback) -> None:
        def operation(db: sqlite3.Connection) -> Result:
            done = db.execute(
                f"DELETE FROM reports WHERE {BY_ID} AND state = ? AND owner = ?",
                (*before.id, before.state.value, before.owner),
            )
            return (
                Result(Outcome.DONE) if done.rowcount
                else Result(Outcome.CONFLICT, get_by_id(db, before.id))
            )  # fmt: skip

        self._enqueue(operation, deadline_us, on_done, True, id=before.id)

    def get(self, id: Id, deadline_us: int, on_done: ResultCallback) -> None:
        self._enqueue(lambda db: Result(Outcome.DONE, get_by_id(db, id)), deadline_us, on_done, False, id=id)

    def open_rows(self, limit: int, on_done: Callable[[list[Row]], None], owner_prefix: str = "") -> None:
        found: list[Row] = []

        def operation(db: sqlite3.Connection) -> Result:
            query = (
                f"SELECT {COLUMN_LIST} FROM reports WHERE state IN ('stored', 'sent') "
                "AND substr(owner, 1, ?) = ? ORDER BY received_s LIMIT ?"
            )
            found.extend(decode_row(v) for v in db.execute(query, (len(owner_prefix), owner_prefix, limit)))
            return Result(Outcome.DONE)

        until_us = self.runtime.now_us() + int(BUSY_TIMEOUT_S * 1e6)
        self._enqueue(
            operation, until_us, lambda r: on_done(found if r.outcome is Outcome.DONE else []), False
        )

    def sweep(self, before_s: float, limit: int, on_done: Callable[[int], None]) -> None:
        removed = 0

        def operation(db: sqlite3.Connection) -> Result:
            nonlocal removed
            removed = db.execute(
                "DELETE FROM reports WHERE rowid IN (SELECT rowid FROM reports WHERE state = 'confirmed' "
                "AND received_s < ? ORDER BY received_s LIMIT ?)", (before_s, limit),
            ).rowcount  # fmt: skip
            return Result(Outcome.DONE)

        until_us = self.runtime.now_us() + int(BUSY_TIMEOUT_S * 1e6)
        self._enqueue(
            operation, until_us, lambda r: on_done(removed if r.outcome is Outcome.DONE else 0), True
        )

    def _enqueue(
        self, operation: Callable[[sqlite3.Connection], Result], deadline_us: int, on_done: ResultCallback,
        is_write: bool, batch_statements: dict[int, str] | None = None, parameters: Parameters = (),
        id: Id | None = None,
    ) -> None:  # fmt: skip
        """Queues a job. It ends as NOT_DONE at once if the queue is full or if it is a change whose commit is
        not expected to finish before the deadline."""
        if len(self.jobs) >= self.most_waiting:
            self._call_soon(on_done, Result(Outcome.NOT_DONE, cause="the queue of the store is full"))
        elif is_write and not self._is_idle and self.runtime.now_us() + self.wait_us > deadline_us:
            self._call_soon(
                on_done, Result(Outcome.NOT_DONE, cause="no commit can finish before the deadline")
            )
        else:
            with self.job_added:
                self.jobs.append(
                    Job(operation, deadline_us, on_done, is_write, batch_statements, parameters, id)
                )
                self.job_added.notify()

    def _call_soon(self, on_done: ResultCallback, result: Result) -> None:
        self.runtime.loop.call_soon_threadsafe(on_done, result)

    # ---- called in the writer thread

    def _run_writer(self) -> None:
        while True:
            with self.job_added:
                while not self.jobs and not self.stopping:
                    self.job_added.wait()
                batch = [self.jobs.popleft() for _ in range(min(len(self.jobs), self.settings.most_batch))]
                if self.stopping:
                    batch += self.jobs
                    self.jobs.clear()
            if self.stopping:
                self._deliver([(j, Result(Outcome.NOT_DONE, cause="the store is stopping")) for j in batch])
                return
            if self.is_log_long and time.monotonic() >= self.next_writer_checkpoint_s:
                self._checkpoint_in_writer()
            self.commit_began_us = self.runtime.now_us()
            results = self._commit(batch)
            self.commit_began_us = None
            self._deliver(results)

    def _deliver(self, results: list[tuple[Job, Result]]) -> None:
        """Schedules each callback as a call of its own in the event loop: if one raises, the others still
        run."""
        with suppress(RuntimeError):  # the event loop is closed
            for job, result in results:
                self.runtime.loop.call_soon_threadsafe(job.on_done, result)

    def _commit(self, batch: list[Job]) -> list[tuple[Job, Result]]:
        """Runs the jobs whose deadline has not passed in one transaction. Returns the results of all jobs."""
        now_us = began_us = self.runtime.now_us()
        late = [
            (j, Result(Outcome.NOT_DONE, cause="the deadline has passed"))
            for j in batch
            if j.deadline_us <= now_us
        ]
        due = [j for j in batch if j.deadline_us > now_us]
        if not due:
            return late
        db, done = self.db, list[tuple[Job, Result]]()
        assert db is not None
        has_writes = any(j.is_write for j in due)
        committing = False
        try:
            db.execute("BEGIN IMMEDIATE" if has_writes else "BEGIN")
            done = run_jobs(db, due)
            committing = True
            db.execute("COMMIT")
        except sqlite3.Error as e:
            if db.in_transaction:
                with suppress(sqlite3.Error):
                    db.execute("ROLLBACK")
            # After a crash, a commit whose sync failed may turn out to be complete; one that failed because
            # the disk was full or the file was locked can't.
            code = e.sqlite_errorcode & 0xFF
            had_no_effect = not committing or code in (sqlite3.SQLITE_FULL, sqlite3.SQLITE_BUSY)
            cause = f"{self.settings.path}: {e}"
            return late + [
                (j, Result(Outcome.NOT_DONE if had_no_effect else Outcome.UNCERTAIN, cause=cause))
                for j in due
            ]
        if has_writes:
            self.commits += 1
            self.changes_committed += sum(j.is_write for j in due)
            self.commit_us += COMMIT_TIME_SMOOTHING * (self.runtime.now_us() - began_us - self.commit_us)
            self.checkpoint_due.set()
        return late + done

    def _checkpoint_in_writer(self) -> None:
        """Checkpoints the log in the writer thread, so that the log does not grow without bound.

        SQLite restarts the log only if all of it has been copied back into the file when a commit begins, and
        under steady load the checkpoint thread never reaches that state. The writer can, because nothing is
        written meanwhile, unless a reader still uses an older snapshot: that reader has to finish first.
        """
        self.is_log_long, self.next_writer_checkpoint_s = (
            False, time.monotonic() + WRITER_CHECKPOINT_INTERVAL_S
        )  # fmt: skip
        assert self.db is not None
        with suppress(sqlite3.Error):
            self.db.execute("PRAGMA wal_checkpoint(PASSIVE)").fetchone()

    def _run_checkpoints(self) -> None:
        """Runs in a thread of its own: after a commit, checkpoints a log that is over `checkpoint_pages`."""
        path = Path(f"{self.settings.path}-wal")
        db = connect(self.settings.path)
        try:
            while not self.stopping:
                self.checkpoint_due.wait()
                self.checkpoint_due.clear()
                with suppress(OSError, sqlite3.Error):
                    if path.stat().st_size > self.settings.checkpoint_pages * 4096:
                        _, frames, _ = db.execute("PRAGMA wal_checkpoint(PASSIVE)").fetchone()
                        self.is_log_long = frames > LONG_LOG_FACTOR * self.settings.checkpoint_pages
        finally:
            db.close()


def get_by_id(db: sqlite3.Connection, id: Id) -> Row | None:
    found = db.execute(f"SELECT {COLUMN_LIST} FROM reports WHERE {BY_ID}", id).fetchone()
    return decode_row(found) if found is not None else None


def get_by_rowid(db: sqlite3.Connection, rowid: int) -> Row | None:
    found = db.execute(f"SELECT {COLUMN_LIST} FROM reports WHERE rowid = ?", (rowid,)).fetchone()
    return decode_row(found) if found is not None else None


def rows(db: sqlite3.Connection, state: State | None = None) -> Iterator[Row]:
    """Yields all rows, or those in one state, the oldest first. Raises ValueError or TypeError if a row can't
    be decoded."""
    where, given = ("WHERE state = ?", (state.value,)) if state is not None else ("", ())
    for found in db.execute(f"SELECT {COLUMN_LIST} FROM reports {where} ORDER BY received_s", given):
        yield decode_row(found)
