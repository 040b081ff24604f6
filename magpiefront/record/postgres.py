"""The store of record in PostgreSQL, by asyncpg. Each of a few connections commits queued changes in batches.

Each batch runs in an explicit transaction, so that its outcome is known from the point at which it failed. If
COMMIT had not been sent, the server has rolled back or will. If the server answered COMMIT with an error, it
has rolled back, unless it is shutting down. If COMMIT was sent and no reply came, the outcome must be read
from the store.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import asyncpg  # type: ignore[import-untyped]

from magpiefront.net.runtime import Runtime
from magpiefront.record.rows import (
    Answer, Id, Moment, Outcome, Result, Row, State, ResultCallback, attempts_text, read_attempts,
)  # fmt: skip
from magpiefront.record.settings import PostgresSettings
from magpiefront.record.sqlite import BadStore

VERSION = 2
COMMIT_TIME_SMOOTHING = 0.2  # weight of the latest commit in `commit_us`
MAX_TRIES = 3  # the most attempts at a job whose connection is lost
BACKOFF_S, MAX_BACKOFF_S = 0.05, 2.0  # first and longest pause between attempts to connect
# The codes for a shutdown of the server or a lost connection: a COMMIT that fails with one of them may have
# taken effect.
CONNECTION_LOST_SQLSTATES = frozenset(
    {"57P01", "57P02", "57P03", "08006", "08003", "08000"}
)  # fmt: skip
SERVER_TIME = "extract(epoch from clock_timestamp())"
MIGRATIONS: tuple[str, ...] = (
    """CREATE TABLE reports (
        tenant TEXT NOT NULL, kind TEXT NOT NULL, key BYTEA NOT NULL, digest BYTEA NOT NULL,
        method BYTEA NOT NULL, target BYTEA NOT NULL, more BYTEA NOT NULL, body BYTEA NOT NULL,
        state TEXT NOT NULL, received_s DOUBLE PRECISION NOT NULL, sent_s DOUBLE PRECISION,
        owner TEXT NOT NULL, window_s DOUBLE PRECISION NOT NULL, until_s DOUBLE PRECISION NOT NULL,
        status INTEGER, answer_more BYTEA, answer_body BYTEA, attempts TEXT NOT NULL, note TEXT NOT NULL,
        PRIMARY KEY (tenant, kind, key));
    CREATE INDEX reports_open ON reports (state, received_s) WHERE state <> 'confirmed';
    CREATE INDEX reports_age ON reports (received_s) WHERE state = 'confirmed'""",
    # 2: whether the client was told to retry
    "ALTER TABLE reports ADD COLUMN told INTEGER NOT NULL DEFAULT 0",
)
COLUMN_TYPES = {
    "tenant": "text", "kind": "text", "key": "bytea", "digest": "bytea", "method": "bytea",
    "target": "bytea", "more": "bytea", "body": "bytea", "state": "text", "received_s": "float8",
    "sent_s": "float8", "owner": "text", "window_s": "float8", "until_s": "float8", "status": "int4",
    "answer_more": "bytea", "answer_body": "bytea", "attempts": "text", "note": "text", "told": "int4",
}  # fmt: skip
COLUMNS = tuple(COLUMN_TYPES)
SELECT = (
    f"SELECT {', '.join(f'{c}::{t}' for c, t in COLUMN_TYPES.items())}, {SERVER_TIME}::float8 FROM reports"
)
BY_ID = "tenant = $1::text AND kind = $2::text AND key = $3::bytea"
# The time of the first send is taken from the server's clock, the only one that all gateways share. The
# parameters only tell whether the report was sent ($11 is not NULL) and, if another site may have sent it
# before it was received here, how long before ($10 - $11).
FIRST_SEND_TIME = (
    f"CASE WHEN $11::float8 IS NULL THEN NULL WHEN $11::float8 < $10::float8 "
    f"THEN {SERVER_TIME} - ($10::float8 - $11::float8) ELSE {SERVER_TIME} END"
)
# The identifier of the database cluster, set when it is created, and the database and schema of the tables.
SELECT_IDENTITY = (
    "SELECT system_identifier::text, current_database()::text, current_schema()::text "
    "FROM pg_control_system()"
)
INSERT = "INSERT INTO reports ({}) VALUES ({}) ON CONFLICT DO NOTHING".format(
    ", ".join(COLUMNS),
    ", ".join(
        FIRST_SEND_TIME if c == "sent_s" else f"${n}::{COLUMN_TYPES[c]}" for n, c in enumerate(COLUMNS, 1)
    ),
)
# A report that a person has stated not to have run begins a retry window of its own when it is sent again.
NEWLY_SENT = f"state = '{State.NOT_RUN.value}' AND $6::text = '{State.SENT.value}'"
FIRST_MUTABLE_COLUMN = COLUMNS.index("state")
UPDATE = "UPDATE reports SET {} WHERE {} AND state = $4::text AND owner = $5::text".format(
    ", ".join(
        f"sent_s = CASE WHEN ${n}::float8 IS NULL THEN NULL WHEN {NEWLY_SENT} THEN {SERVER_TIME} "
        f"ELSE coalesce(sent_s, {SERVER_TIME}) END"
        if c == "sent_s"
        else f"{c} = ${n}::{COLUMN_TYPES[c]}"
        for n, c in enumerate(COLUMNS[FIRST_MUTABLE_COLUMN:], 6)
    ),
    BY_ID,
)
DELETE = f"DELETE FROM reports WHERE {BY_ID} AND state = $4::text AND owner = $5::text"


# What a call may raise if the server or the connection to it fails.
ERRORS = (OSError, TimeoutError, asyncpg.PostgresError, asyncpg.InterfaceError, asyncpg.InternalClientError)


class ServerUnavailable(BadStore):
    """The server can't be reached now, but may be later."""


def is_temporary(e: BaseException) -> bool:
    """Returns whether the server may work later: not if it rejected a login, a statement or a permission."""
    if isinstance(e, asyncpg.PostgresError):
        return e.sqlstate in CONNECTION_LOST_SQLSTATES or (e.sqlstate or "")[:2] in ("53", "57", "08", "40")
    return True


def classify_failure(e: BaseException, committing: bool) -> Outcome:
    """Returns the outcome of a transaction that failed with `e`. `committing`: COMMIT had been sent."""
    if not committing:
        return Outcome.NOT_DONE
    if isinstance(e, asyncpg.PostgresError) and e.sqlstate not in CONNECTION_LOST_SQLSTATES:
        return Outcome.NOT_DONE  # the server states that it did not commit (40001, 25006, 53100 ...)
    return Outcome.UNCERTAIN


def is_connection_lost(e: BaseException) -> bool:
    """Returns whether the connection broke or the server shut down, as opposed to an error of the statement.
    asyncpg raises several kinds of exceptions for a connection that is closing."""
    if isinstance(e, asyncpg.PostgresError):
        return e.sqlstate in CONNECTION_LOST_SQLSTATES
    return isinstance(e, Exception) and not isinstance(e, TimeoutError)


def encode_row(r: Row) -> tuple[Any, ...]:
    """Returns the values of a row in the order of `COLUMNS`."""
    answer = r.answer
    return (
        *r.id, r.digest, r.method, r.target, r.more, r.body, r.state.value, r.received_s,
        r.sent.wall_s if r.sent else None, r.owner, r.window_s, r.until_s, answer.status if answer else None,
        answer.more if answer else None, answer.body if answer else None, attempts_text(r.attempts), r.note,
        int(r.told),
    )  # fmt: skip


@dataclass(slots=True)
class Job:
    """A queued request to the store. `operation` carries it out on a connection in an open transaction."""

    operation: Callable[[Any], Awaitable[Result]]
    deadline_us: int
    on_done: ResultCallback
    is_write: bool
    tries: int = 0


class PostgresStore:
    """Implements `record.rows.Store` on a PostgreSQL server.

    `boot` identifies the current boot of this machine and `up_us` reads the time since then in microseconds:
    rows are returned with the time of their first send on that clock.
    """

    def __init__(
        self, runtime: Runtime, settings: PostgresSettings, most_waiting: int, boot: str,
        up_us: Callable[[], int] = lambda: time.monotonic_ns() // 1_000,
    ) -> None:  # fmt: skip
        self.runtime, self.settings, self.most_waiting, self.boot, self.up_us = (
            runtime,
            settings,
            most_waiting,
            boot,
            up_us,
        )
        self.jobs: deque[Job] = deque()
        self.job_added = asyncio.Event()
        self.workers: list[asyncio.Task[None]] = []
        self.commit_us = 5_000.0  # smoothed duration of a commit
        self.commits_began_us: list[int] = []  # when each commit that is in progress began
        self.commits = self.changes_committed = 0
        self.stopping = self.migrated = False
        self.identity = ""
        self.migration_lock = asyncio.Lock()

    # ---- called in the event loop

    async def open(self) -> Any:
        """Connects, migrates the store to the current version and returns the connection. If that fails,
        raises ServerUnavailable if it may succeed later, else BadStore."""
        try:
            connection = await self._connect()
            try:
                async with self.migration_lock:
                    await self._migrate(connection)
            except BaseException:
                connection.terminate()
                raise
            self.migrated = True
            with suppress(asyncpg.PostgresError):  # if access is denied, the store counts as not shared
                self.identity = f"postgres {' '.join((await connection.fetch(SELECT_IDENTITY))[0])}"
            return connection
        except ERRORS as e:
            text = f"postgres: {' '.join(str(e).split()) or type(e).__name__}"
            raise (ServerUnavailable(text) if is_temporary(e) else BadStore(text)) from None

    async def start(self) -> None:
        """Starts the workers. Raises BadStore if the store can never work, for example because of its version
        or a wrong password. An unreachable server is only logged, so that other requests are still served:
        reports are refused until it can be reached."""
        try:
            (await self.open()).terminate()
        except ServerUnavailable as e:
            self.runtime.log(f"record: {e}; reports are refused until there is a connection")
        self.workers = [
            self.runtime.loop.create_task(self._run_worker()) for _ in range(self.settings.connections)
        ]

    async def _connect(self) -> Any:
        seconds = self.settings.connect_timeout_us / 1e6
        return await asyncpg.connect(
            self.settings.dsn, timeout=seconds, command_timeout=self.settings.statement_timeout_us / 1e6,
            server_settings={"application_name": "lineshift"},
        )  # fmt: skip

    async def _read_version(self, connection: Any) -> int:
        found = await connection.fetch("SELECT version::int4 FROM reports_version")
        return max((int(r[0]) for r in found), default=0)

    async def _migrate(self, connection: Any) -> None:
        # If two gateways create the table at once, one of them gets an error that it exists.
        with suppress(asyncpg.UniqueViolationError, asyncpg.DuplicateTableError):
            await connection.execute("CREATE TABLE IF NOT EXISTS reports_version (version INTEGER NOT NULL)")
        version = await self._read_version(connection)
        if version > VERSION:
            raise BadStore(f"postgres: its version is {version}, newer than {VERSION}: use the newer program")
        for number in range(version, VERSION):
            await connection.execute("BEGIN")
            # If two gateways start at once, the second waits here and then finds the migration done.
            await connection.execute("LOCK TABLE reports_version IN ACCESS EXCLUSIVE MODE")
            if await self._read_version(connection) == number:
                for statement in MIGRATIONS[number].split(";"):
                    await connection.execute(statement)
                await connection.execute(f"INSERT INTO reports_version (version) VALUES ({number + 1})")
            await connection.execute("COMMIT")

    def stop(self) -> None:
        """Cancels the workers and closes their connections. Queued jobs end as NOT_DONE; jobs in progress
        fail with their connection."""
        self.stopping = True
        for w in self.workers:
            w.cancel()
        while self.jobs:
            self.jobs.popleft().on_done(Result(Outcome.NOT_DONE, cause="the store is stopping"))

    @property
    def wait_us(self) -> int:
        """The expected time until a change that is queued now is committed."""
        batches_ahead = len(self.jobs) // (self.settings.most_batch * self.settings.connections)
        elapsed_us = 0
        if len(self.commits_began_us) >= self.settings.connections:
            # All connections are busy: the next one to become free is expected to take as long again as the
            # latest commit has taken so far.
            elapsed_us = self.runtime.now_us() - max(self.commits_began_us)
        return max(elapsed_us, int(self.commit_us * (batches_ahead + 2)))

    @property
    def _is_idle(self) -> bool:
        """Returns whether no commit is in progress and no job is queued. The next change is then accepted,
        however long earlier commits took; `SqliteStore._is_idle` gives the reason."""
        return not self.commits_began_us and not self.jobs

    def insert(self, row: Row, deadline_us: int, on_done: ResultCallback) -> None:
        async def operation(connection: Any) -> Result:
            if await self.insert_row(connection, row):
                return Result(Outcome.DONE)
            return Result(Outcome.CONFLICT, await self.fetch_row(connection, row.id))

        self._enqueue(operation, deadline_us, on_done, True)

    def change(self, before: Row, after: Row, deadline_us: int, on_done: ResultCallback) -> None:
        async def operation(connection: Any) -> Result:
            if await self.update_row(connection, before, after):
                return Result(Outcome.DONE)
            return Result(Outcome.CONFLICT, await self.fetch_row(connection, before.id))

        self._enqueue(operation, deadline_us, on_done, True)

    def remove(self, before: Row, deadline_us: int, on_done: ResultCallback) -> None:
        async def operation(connection: Any) -> Result:
            if await connection.execute(DELETE, *before.id, before.state.value, before.owner) == "DELETE 1":
                return Result(Outcome.DONE)
            return Result(Outcome.CONFLICT, await self.fetch_row(connection, before.id))

        self._enqueue(operation, deadline_us, on_done, True)

    def get(self, id: Id, deadline_us: int, on_done: ResultCallback) -> None:
        async def operation(connection: Any) -> Result:
            return Result(Outcome.DONE, await self.fetch_row(connection, id))

        self._enqueue(operation, deadline_us, on_done, False)

    def open_rows(self, limit: int, on_done: Callable[[list[Row]], None], owner_prefix: str = "") -> None:
        found: list[Row] = []

        async def operation(connection: Any) -> Result:
            query = (
                f"{SELECT} WHERE state IN ('stored', 'sent') AND substr(owner, 1, $1::int4) = $2::text "
                "ORDER BY received_s LIMIT $3::int8"
            )
            found.extend(
                self._decode_row(v)
                for v in await connection.fetch(query, len(owner_prefix), owner_prefix, limit)
            )
            return Result(Outcome.DONE)

        until_us = self.runtime.now_us() + self.settings.statement_timeout_us
        self._enqueue(
            operation, until_us, lambda r: on_done(found if r.outcome is Outcome.DONE else []), False
        )

    def sweep(self, before_s: float, limit: int, on_done: Callable[[int], None]) -> None:
        removed = 0

        async def operation(connection: Any) -> Result:
            nonlocal removed
            query = (
                "DELETE FROM reports WHERE (tenant, kind, key) IN (SELECT tenant, kind, key FROM reports "
                "WHERE state = 'confirmed' AND received_s < $1::float8 ORDER BY received_s LIMIT $2::int8)"
            )
            removed = int((await connection.execute(query, before_s, limit)).split()[1])
            return Result(Outcome.DONE)

        until_us = self.runtime.now_us() + self.settings.statement_timeout_us
        self._enqueue(
            operation, until_us, lambda r: on_done(removed if r.outcome is Outcome.DONE else 0), True
        )

    def _enqueue(
        self, operation: Callable[[Any], Awaitable[Result]], deadline_us: int, on_done: ResultCallback,
        is_write: bool,
    ) -> None:  # fmt: skip
        """Queues a job. It ends as NOT_DONE at once if the queue is full or if it is a change whose commit is
        not expected to finish before the deadline."""
        if len(self.jobs) >= self.most_waiting:
            self.runtime.loop.call_soon(
                on_done, Result(Outcome.NOT_DONE, cause="the queue of the store is full")
            )  # fmt: skip
        elif is_write and not self._is_idle and self.runtime.now_us() + self.wait_us > deadline_us:
            self.runtime.loop.call_soon(
                on_done, Result(Outcome.NOT_DONE, cause="no commit can finish before the deadline")
            )
        else:
            job = Job(operation, deadline_us, on_done, is_write)
            self.jobs.append(job)
            self.job_added.set()
            left_us = max(0, deadline_us - self.runtime.now_us())
            self.runtime.loop.call_later(left_us / 1e6, self._expire, job)

    def _expire(self, job: Job) -> None:
        """Ends a job that is still queued at its deadline, for example because the server is paused. Its
        operation is never called."""
        with suppress(ValueError):
            self.jobs.remove(job)
            job.on_done(Result(Outcome.NOT_DONE, cause="the deadline has passed"))

    # ---- for each connection

    async def _run_worker(self) -> None:
        connection: Any = None
        pause_s = BACKOFF_S
        while not self.stopping:
            if not self.jobs:
                self.job_added.clear()
                await self.job_added.wait()
                continue
            batch: list[Job] = []
            try:
                if connection is None or connection.is_closed():
                    connection = await (self._connect() if self.migrated else self.open())
                pause_s = BACKOFF_S
                batch = [self.jobs.popleft() for _ in range(min(len(self.jobs), self.settings.most_batch))]
                began_us = self.runtime.now_us()
                self.commits_began_us.append(began_us)
                try:
                    is_usable = not batch or await self._commit(connection, batch)
                finally:
                    self.commits_began_us.remove(began_us)
                if not is_usable:
                    connection.terminate()
                    connection = None
            except (*ERRORS, BadStore) as e:
                # There is no connection. The jobs stay queued for the next attempt to connect, or end at
                # their deadline.
                connection = None
                self.runtime.log(f"record: no connection to postgres: {' '.join(str(e).split())}")
                await asyncio.sleep(pause_s)
                pause_s = min(MAX_BACKOFF_S, pause_s * 2)
            except asyncio.CancelledError:
                if connection is not None:
                    connection.terminate()
                raise

    async def _commit(self, connection: Any, batch: list[Job]) -> bool:
        """Runs the jobs in one transaction. Returns whether the connection is still usable."""
        began_us, committing = self.runtime.now_us(), False
        done: list[tuple[Job, Result]] = []
        has_writes = any(j.is_write for j in batch)
        try:
            if has_writes:
                await connection.execute("BEGIN")
            for job in batch:
                done.append((job, await job.operation(connection)))
            committing = True
            if has_writes:
                await connection.execute("COMMIT")
        except BaseException as e:
            result = Result(
                classify_failure(e, committing and has_writes), cause=f"postgres: {type(e).__name__}: {e}"
            )
            can_retry = result.outcome is Outcome.NOT_DONE and is_connection_lost(e)
            for job in reversed(batch):
                job.tries += 1
                if can_retry and job.tries < MAX_TRIES and job.deadline_us > self.runtime.now_us():
                    self.jobs.appendleft(job)  # nothing was done: try it on another connection
                else:
                    self._deliver(job, result)
            if isinstance(e, Exception):
                return False
            raise
        if has_writes:
            self.commits += 1
            self.changes_committed += sum(j.is_write for j in batch)
            self.commit_us += COMMIT_TIME_SMOOTHING * (self.runtime.now_us() - began_us - self.commit_us)
        for job, result in done:
            self._deliver(job, result)
        return True

    def _deliver(self, job: Job, result: Result) -> None:
        """Schedules the callback as a call of its own: if it raises, that affects neither other jobs nor the
        connection."""
        self.runtime.loop.call_soon(job.on_done, result)

    async def insert_row(self, connection: Any, row: Row) -> bool:
        """Returns False if the id exists already."""
        return bool(await connection.execute(INSERT, *encode_row(row)) == "INSERT 0 1")

    async def update_row(self, connection: Any, before: Row, after: Row) -> bool:
        """Returns False if the stored row no longer has the state and owner of `before`."""
        values = encode_row(after)[FIRST_MUTABLE_COLUMN:]
        done = await connection.execute(UPDATE, *before.id, before.state.value, before.owner, *values)
        return bool(done == "UPDATE 1")

    async def fetch_rows(self, connection: Any, state: State | None) -> list[Row]:
        """Returns all rows, or those in one state, the oldest first."""
        where = "WHERE $1::text = '' OR state = $1::text"
        found = await connection.fetch(
            f"{SELECT} {where} ORDER BY received_s", state.value if state is not None else ""
        )
        return [self._decode_row(v) for v in found]

    async def fetch_row(self, connection: Any, id: Id) -> Row | None:
        found = await connection.fetch(f"{SELECT} WHERE {BY_ID}", *id)
        return self._decode_row(found[0]) if found else None

    def _decode_row(self, v: Any) -> Row:
        """Decodes the values that `SELECT` returns. Raises ValueError or TypeError."""
        sent = None
        if v[10] is not None:
            age_s = v[20] - v[10]
            sent = Moment(v[10], self.boot, self.up_us() / 1e6 - age_s)
        answer = Answer(v[14], v[15], v[16]) if v[14] is not None else None
        state = State(v[8])
        return Row(Id(v[0], v[1], v[2]), v[3], v[4], v[5], v[6], v[7], state, v[9], sent, v[11], v[12], v[13],
                   answer, read_attempts(v[17]), v[18], bool(v[19]))  # fmt: skip
