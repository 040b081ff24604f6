"""The PostgreSQL store on a stand-in server: the contract of a store, and its results if the server fails."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import asyncpg  # type: ignore[import-untyped]
import pytest

from magpiefront.record.postgres import PostgresStore, classify_failure
from magpiefront.record.rows import Answer, Attempt, Id, Outcome, Result, Row, State
from magpiefront.record.settings import PostgresSettings
from magpiefront.record.sqlite import BadStore
from standins.pgserver import ConnectionDropped, ErrorResponse, PgServer
from tests.record.test_journal import ANSWER, row
from tests.record.test_sqlite import numbered_row
from tests.sockets import run, until


class FakeRuntime:
    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.logged: list[str] = []

    def now_us(self) -> int:
        return int(self.loop.time() * 1e6)

    def log(self, text: str) -> None:
        self.logged.append(text)


@asynccontextmanager
async def open_store(
    server: PgServer | None = None, most_waiting: int = 1_000, **options: Any
) -> AsyncIterator[Any]:
    """Yields the server and a store on it. Starts and stops a server if none is given."""
    owns_server = server is None
    server = server or PgServer()
    if owns_server:
        await server.start()
    settings = {
        "connections": 2, "connect_timeout_us": 5_000_000, "statement_timeout_us": 10_000_000, **options
    }  # fmt: skip
    runtime = FakeRuntime()
    store = PostgresStore(
        runtime, PostgresSettings(server.dsn, **settings), most_waiting, "boot", runtime.now_us
    )
    await store.start()
    try:
        yield server, store
    finally:
        store.stop()
        await asyncio.gather(*store.workers, return_exceptions=True)
        if owns_server:
            server.stop()


async def call(store: PostgresStore, method: Any, *args: Any, left_us: int = 15_000_000) -> Result:
    """Calls a method of the store with a deadline in `left_us`, and waits for its result."""
    done: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
    method(*args, store.runtime.now_us() + left_us, done.set_result)
    return await done


def equal_except_sent(one: Row | None, other: Row) -> bool:
    return one is not None and replace(one, sent=None) == replace(other, sent=None)


async def check_store_contract(store: Any, call: Callable[..., Awaitable[Result]]) -> None:
    """Checks what each store that runs in the event loop must do. The time of the first send is not compared:
    the store may replace it."""
    full = row(
        state=State.CONFIRMED, answer=Answer(201, b"A: b\r\n", bytes(range(256))), note="as told",
        attempts=(Attempt("s-1", 1.5),), body=bytes(range(256)),
    )  # fmt: skip
    minimal = replace(full, id=Id("", "", b""), answer=None)
    long_key = replace(full, id=Id("t", "k", b"\0\xff" * 5_000))
    for r in (full, minimal, long_key):
        assert (await call(store, store.insert, r)).outcome is Outcome.DONE
        assert equal_except_sent((await call(store, store.get, r.id)).row, r)
    again = await call(store, store.insert, replace(full, digest=b"other"))
    assert again.outcome is Outcome.CONFLICT and equal_except_sent(again.row, full)
    sent = numbered_row(5)
    await call(store, store.insert, sent)
    done = replace(sent, state=State.CONFIRMED, answer=ANSWER)
    conflict = await call(store, store.change, replace(sent, owner="x"), done)
    assert conflict.outcome is Outcome.CONFLICT and equal_except_sent(conflict.row, sent)
    assert (await call(store, store.change, sent, done)).outcome is Outcome.DONE
    assert (await call(store, store.remove, sent)).outcome is Outcome.CONFLICT
    assert (await call(store, store.remove, done)).outcome is Outcome.DONE
    assert (await call(store, store.get, sent.id)).row is None


def test_the_postgres_store_fulfils_the_contract_of_a_store() -> None:
    async def main() -> None:
        async with open_store() as (_, store):
            await check_store_contract(store, call)

    run(main())


def test_the_time_of_the_first_send_is_the_servers_and_never_changes() -> None:
    async def main() -> None:
        async with open_store() as (server, store):
            await call(store, store.insert, numbered_row(1))
            server.clock_offset_s = 7.0
            found = (await call(store, store.get, numbered_row(1).id)).row
            assert found is not None and found.sent is not None
            age_s = store.up_us() / 1e6 - found.sent.up_s
            assert 6.5 < age_s < 9.0 and found.sent.boot == "boot"
            taken_over = replace(found, owner="other")
            assert (await call(store, store.change, found, taken_over)).outcome is Outcome.DONE
            again = (await call(store, store.get, numbered_row(1).id)).row
            assert again is not None and again.sent is not None and again.sent.wall_s == found.sent.wall_s
            stored = replace(again, state=State.STORED, sent=None)
            assert (await call(store, store.change, again, stored)).outcome is Outcome.DONE
            unsent = (await call(store, store.get, numbered_row(1).id)).row
            assert unsent is not None and unsent.sent is None

    run(main())


def test_open_rows_and_sweep() -> None:
    async def main() -> None:
        async with open_store() as (_, store):
            for n, state in enumerate(State):
                await call(
                    store, store.insert, numbered_row(n, state=state, answer=ANSWER, received_s=float(n))
                )
            found: asyncio.Future[list[Row]] = asyncio.get_running_loop().create_future()
            store.open_rows(10, found.set_result)
            assert {r.state for r in await found} == {State.STORED, State.SENT}
            removed: asyncio.Future[int] = asyncio.get_running_loop().create_future()
            store.sweep(100.0, 10, removed.set_result)
            assert await removed == 1
            assert (await call(store, store.get, numbered_row(2).id)).row is None

    run(main())


def test_queued_changes_share_few_commits() -> None:
    async def main() -> None:
        async with open_store(connections=1) as (_, store):
            results = await asyncio.gather(*(call(store, store.insert, numbered_row(n)) for n in range(60)))
            assert all(r.outcome is Outcome.DONE for r in results) and store.commits <= 3

    run(main())


def test_two_gateways_store_a_key_once() -> None:
    async def main() -> None:
        async with open_store() as (server, one), open_store(server) as (_, two):
            for n in range(20):
                pair = await asyncio.gather(
                    call(one, one.insert, numbered_row(n, owner="1")),
                    call(two, two.insert, numbered_row(n, owner="2")),
                )
                assert sorted(r.outcome.value for r in pair) == ["done", "there"]

    run(main())


@pytest.mark.parametrize(
    ("sqlstate", "statement", "outcome"),
    [
        ("40001", "INSERT", Outcome.NOT_DONE),
        ("40001", "COMMIT", Outcome.NOT_DONE),
        ("25006", "INSERT", Outcome.NOT_DONE),
        ("53100", "COMMIT", Outcome.NOT_DONE),
        ("57P01", "INSERT", Outcome.DONE),  # retried on another connection
        ("57P01", "COMMIT", Outcome.UNCERTAIN),
    ],
)
def test_the_outcome_of_a_change_after_an_error_of_the_server(
    sqlstate: str, statement: str, outcome: Outcome
) -> None:
    async def main() -> None:
        async with open_store() as (server, store):

            async def fail(text: str) -> None:
                if text.startswith(statement):
                    server.faults.before_statement = None
                    raise ErrorResponse(
                        sqlstate, "raised by the test", "FATAL" if sqlstate == "57P01" else "ERROR"
                    )

            server.faults.before_statement = fail
            assert (await call(store, store.insert, numbered_row(1))).outcome is outcome
            if outcome is not Outcome.DONE:
                found = (await call(store, store.get, numbered_row(1).id)).row
                assert found is None  # the stand-in fails before it runs the statement
                assert (await call(store, store.insert, numbered_row(1))).outcome is Outcome.DONE
            assert equal_except_sent((await call(store, store.get, numbered_row(1).id)).row, numbered_row(1))

    run(main())


def test_a_commit_whose_reply_is_lost_is_stored_and_ends_as_uncertain() -> None:
    async def main() -> None:
        async with open_store() as (server, store):

            async def cut_connection(text: str) -> None:
                if text == "COMMIT":
                    server.faults.after_statement = None
                    raise ConnectionDropped

            server.faults.after_statement = cut_connection
            assert (await call(store, store.insert, numbered_row(1))).outcome is Outcome.UNCERTAIN
            assert equal_except_sent((await call(store, store.get, numbered_row(1).id)).row, numbered_row(1))

    run(main())


def test_a_change_is_not_stored_if_the_connection_is_lost_before_the_commit() -> None:
    async def main() -> None:
        async with open_store() as (server, store):

            async def cut_connection(text: str) -> None:
                if text.startswith("INSERT"):
                    raise ConnectionDropped

            server.faults.after_statement = cut_connection
            assert (await call(store, store.insert, numbered_row(1))).outcome is Outcome.NOT_DONE
            server.faults.after_statement = None
            assert (await call(store, store.get, numbered_row(1).id)).row is None

    run(main())


def test_a_statement_is_cancelled_at_its_timeout() -> None:
    async def main() -> None:
        async with open_store(statement_timeout_us=300_000) as (server, store):

            async def stall(text: str) -> None:
                if text.startswith("INSERT"):
                    await asyncio.sleep(60)

            server.faults.before_statement = stall
            assert (await call(store, store.insert, numbered_row(1))).outcome is Outcome.NOT_DONE
            server.faults.before_statement = None
            assert (await call(store, store.get, numbered_row(1).id)).row is None

    run(main())


def test_a_queued_change_ends_at_its_deadline_while_the_server_is_paused() -> None:
    async def main() -> None:
        async with open_store(connections=1) as (server, store):
            gate, has_begun = asyncio.Event(), asyncio.Event()

            async def pause(text: str) -> None:
                has_begun.set()
                await gate.wait()

            server.faults.before_statement = pause
            first = asyncio.ensure_future(call(store, store.insert, numbered_row(1)))
            await has_begun.wait()
            late = await call(store, store.insert, numbered_row(2), left_us=100_000)
            assert late.outcome is Outcome.NOT_DONE
            gate.set()
            assert (await first).outcome is Outcome.DONE
            assert (await call(store, store.get, numbered_row(2).id)).row is None

    run(main())


@pytest.mark.parametrize("method", ["stop", "kill"])
def test_results_are_correct_if_the_server_restarts_while_changes_wait(method: str) -> None:
    async def main() -> None:
        async with open_store() as (server, store):
            assert (await call(store, store.insert, numbered_row(0))).outcome is Outcome.DONE
            getattr(server, method)()
            waiting = [
                asyncio.ensure_future(call(store, store.insert, numbered_row(n))) for n in range(1, 20)
            ]
            await asyncio.sleep(0.05)
            await server.start()
            results = await asyncio.gather(*waiting)
            for n, r in enumerate(results, 1):
                found = (await call(store, store.get, numbered_row(n).id)).row
                if r.outcome is Outcome.DONE:
                    assert equal_except_sent(found, numbered_row(n))
                elif r.outcome is Outcome.NOT_DONE:
                    assert found is None
            assert sum(r.outcome is Outcome.DONE for r in results) >= 15
            assert equal_except_sent((await call(store, store.get, numbered_row(0).id)).row, numbered_row(0))

    run(main())


def test_changes_over_the_queue_limit_are_refused_at_once() -> None:
    async def main() -> None:
        async with open_store(most_waiting=5, connections=1) as (server, store):
            gate, has_begun = asyncio.Event(), asyncio.Event()

            async def pause(text: str) -> None:
                has_begun.set()
                await gate.wait()

            server.faults.before_statement = pause
            first = asyncio.ensure_future(call(store, store.insert, numbered_row(0)))
            await has_begun.wait()
            rest = [asyncio.ensure_future(call(store, store.insert, numbered_row(n))) for n in range(1, 9)]
            await until(lambda: sum(r.done() for r in rest) == 3)
            gate.set()
            results = await asyncio.gather(first, *rest)
            assert sorted(r.outcome.value for r in results) == ["done"] * 6 + ["never"] * 3

    run(main())


@pytest.mark.parametrize(
    ("damage", "message"),
    [
        ("password", "password"),
        ("newer", "newer than"),
    ],
)
def test_an_unusable_server_gives_an_error_of_one_line(damage: str, message: str) -> None:
    async def main() -> None:
        server = PgServer()
        await server.start()
        dsn = server.dsn
        if damage == "password":
            dsn = dsn.replace("secret", "wrong")
        else:
            server.db.execute("CREATE TABLE reports_version (version INTEGER NOT NULL)")
            server.db.execute("INSERT INTO reports_version VALUES (99)")
        runtime = FakeRuntime()
        store = PostgresStore(runtime, PostgresSettings(dsn, connect_timeout_us=5_000_000), 10, "boot")
        with pytest.raises(BadStore) as e:
            await store.start()
        assert message in str(e.value) and "\n" not in str(e.value)
        server.stop()

    run(main())


def test_the_outcome_of_a_transaction_that_failed() -> None:
    shutdown = asyncpg.AdminShutdownError("x")
    for e, committing, outcome in (
        (OSError(), False, Outcome.NOT_DONE), (OSError(), True, Outcome.UNCERTAIN),
        (TimeoutError(), True, Outcome.UNCERTAIN),
        (shutdown, False, Outcome.NOT_DONE), (shutdown, True, Outcome.UNCERTAIN),
        (asyncpg.SerializationError("x"), True, Outcome.NOT_DONE),
        (asyncpg.ReadOnlySQLTransactionError("x"), True, Outcome.NOT_DONE),
    ):  # fmt: skip
        assert classify_failure(e, committing) is outcome


@pytest.mark.parametrize("fault", ["53300", "57P03", "gone", "cut"])
def test_a_store_works_once_an_unavailable_server_is_back(fault: str) -> None:
    async def main() -> None:
        server = PgServer()
        await server.start()
        if fault == "gone":
            server.kill()
        elif fault == "cut":

            async def cut_connection(text: str) -> None:
                raise ConnectionDropped

            server.faults.before_statement = cut_connection
        else:
            server.faults.refusal_sqlstate = fault
        runtime = FakeRuntime()
        store = PostgresStore(runtime, PostgresSettings(server.dsn, connect_timeout_us=5_000_000), 10, "boot")
        await store.start()
        assert "refused until" in runtime.logged[0]
        assert (await call(store, store.insert, numbered_row(1), left_us=300_000)).outcome is Outcome.NOT_DONE
        server.faults.refusal_sqlstate, server.faults.before_statement = "", None
        if fault == "gone":
            await server.start()
        assert (await call(store, store.insert, numbered_row(1))).outcome is Outcome.DONE
        store.stop()
        await asyncio.gather(*store.workers, return_exceptions=True)
        server.stop()

    run(main())


def test_a_report_that_is_resolved_as_not_run_begins_a_new_window_when_it_is_sent() -> None:
    async def main() -> None:
        async with open_store() as (server, store):
            sent = numbered_row(1)
            unknown = replace(sent, state=State.UNKNOWN)
            not_run = replace(sent, state=State.NOT_RUN)
            await call(store, store.insert, sent)
            await call(store, store.change, sent, unknown)
            await call(store, store.change, unknown, not_run)
            server.clock_offset_s = 100.0
            assert (await call(store, store.change, not_run, sent)).outcome is Outcome.DONE
            found = (await call(store, store.get, sent.id)).row
            assert found is not None and found.sent is not None and found.state is State.SENT
            assert store.up_us() / 1e6 - found.sent.up_s < 10

    run(main())
