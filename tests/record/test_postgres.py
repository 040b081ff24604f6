"""The PostgreSQL store against a stand-in server: the same promises, and each way in which a server fails."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import asyncpg  # type: ignore[import-untyped]
import pytest

from magpiefront.record.postgres import PostgresStore, outcome_of
from magpiefront.record.rows import Answer, Attempt, Id, Outcome, Result, Row, State
from magpiefront.record.settings import PostgresSettings
from magpiefront.record.sqlite import BadStore
from standins.pgserver import Cut, Failure, PgServer
from tests.record.test_journal import HELD, row
from tests.record.test_sqlite import numbered
from tests.sockets import run, until


class House:
    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.logged: list[str] = []

    def now_us(self) -> int:
        return int(self.loop.time() * 1e6)

    def log(self, text: str) -> None:
        self.logged.append(text)


@asynccontextmanager
async def opened(
    server: PgServer | None = None, most_waiting: int = 1_000, **more: Any
) -> AsyncIterator[Any]:
    own = server is None
    server = server or PgServer()
    if own:
        await server.start()
    given = {"connections": 2, "connect_timeout_us": 5_000_000, "statement_timeout_us": 10_000_000, **more}
    house = House()
    store = PostgresStore(house, PostgresSettings(server.dsn, **given), most_waiting, "boot", house.now_us)
    await store.start()
    try:
        yield server, store
    finally:
        store.stop()
        await asyncio.gather(*store.workers, return_exceptions=True)
        if own:
            server.stop()


async def ask(store: PostgresStore, what: Any, *args: Any, left_us: int = 15_000_000) -> Result:
    done: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
    what(*args, store.house.now_us() + left_us, done.set_result)
    return await done


def same(one: Row | None, other: Row) -> bool:
    return one is not None and replace(one, sent=None) == replace(other, sent=None)


async def keeps_its_promises(store: Any, ask: Callable[..., Awaitable[Result]]) -> None:
    """What every store that runs in the loop must do; rows come back with the time of their sending as it
    tells it."""
    whole = row(
        state=State.CONFIRMED, answer=Answer(201, b"A: b\r\n", bytes(range(256))), note="as told",
        attempts=(Attempt("s-1", 1.5),), body=bytes(range(256)),
    )  # fmt: skip
    odd = replace(whole, id=Id("", "", b""), answer=None)
    long = replace(whole, id=Id("t", "k", b"\0\xff" * 5_000))
    for r in (whole, odd, long):
        assert (await ask(store, store.insert, r)).outcome is Outcome.DONE
        assert same((await ask(store, store.get, r.id)).row, r)
    again = await ask(store, store.insert, replace(whole, digest=b"other"))
    assert again.outcome is Outcome.THERE and same(again.row, whole)
    sent = numbered(5)
    await ask(store, store.insert, sent)
    done = replace(sent, state=State.CONFIRMED, answer=HELD)
    lost = await ask(store, store.change, replace(sent, owner="x"), done)
    assert lost.outcome is Outcome.THERE and same(lost.row, sent)
    assert (await ask(store, store.change, sent, done)).outcome is Outcome.DONE
    assert (await ask(store, store.remove, sent)).outcome is Outcome.THERE
    assert (await ask(store, store.remove, done)).outcome is Outcome.DONE
    assert (await ask(store, store.get, sent.id)).row is None


def test_it_keeps_the_promises_of_a_store() -> None:
    async def main() -> None:
        async with opened() as (_, store):
            await keeps_its_promises(store, ask)

    run(main())


def test_the_time_of_sending_is_the_servers_and_never_moves() -> None:
    async def main() -> None:
        async with opened() as (server, store):
            await ask(store, store.insert, numbered(1))
            server.clock_off_s = 7.0
            found = (await ask(store, store.get, numbered(1).id)).row
            assert found is not None and found.sent is not None
            since = store.up_us() / 1e6 - found.sent.up_s
            assert 6.5 < since < 9.0 and found.sent.boot == "boot"
            taken = replace(found, owner="other")
            assert (await ask(store, store.change, found, taken)).outcome is Outcome.DONE
            again = (await ask(store, store.get, numbered(1).id)).row
            assert again is not None and again.sent is not None and again.sent.wall_s == found.sent.wall_s
            stored = replace(again, state=State.STORED, sent=None)
            assert (await ask(store, store.change, again, stored)).outcome is Outcome.DONE
            none = (await ask(store, store.get, numbered(1).id)).row
            assert none is not None and none.sent is None

    run(main())


def test_open_rows_and_retention() -> None:
    async def main() -> None:
        async with opened() as (_, store):
            for n, state in enumerate(State):
                await ask(store, store.insert, numbered(n, state=state, answer=HELD, received_s=float(n)))
            found: asyncio.Future[list[Row]] = asyncio.get_running_loop().create_future()
            store.open_rows(10, found.set_result)
            assert {r.state for r in await found} == {State.STORED, State.SENT}
            gone: asyncio.Future[int] = asyncio.get_running_loop().create_future()
            store.sweep(100.0, 10, gone.set_result)
            assert await gone == 1
            assert (await ask(store, store.get, numbered(2).id)).row is None

    run(main())


def test_what_waits_goes_in_few_commits() -> None:
    async def main() -> None:
        async with opened(connections=1) as (_, store):
            results = await asyncio.gather(*(ask(store, store.insert, numbered(n)) for n in range(60)))
            assert all(r.outcome is Outcome.DONE for r in results) and store.commits <= 3

    run(main())


def test_two_gateways_hold_a_key_once() -> None:
    async def main() -> None:
        async with opened() as (server, one), opened(server) as (_, two):
            for n in range(20):
                pair = await asyncio.gather(
                    ask(one, one.insert, numbered(n, owner="1")), ask(two, two.insert, numbered(n, owner="2"))
                )
                assert sorted(r.outcome.value for r in pair) == ["done", "there"]

    run(main())


@pytest.mark.parametrize(
    ("code", "at", "outcome"),
    [
        ("40001", "INSERT", Outcome.NEVER),
        ("40001", "COMMIT", Outcome.NEVER),
        ("25006", "INSERT", Outcome.NEVER),
        ("53100", "COMMIT", Outcome.NEVER),
        ("57P01", "INSERT", Outcome.DONE),  # tried once more, on another connection
        ("57P01", "COMMIT", Outcome.ASK),
    ],
)
def test_what_an_error_of_the_server_means(code: str, at: str, outcome: Outcome) -> None:
    async def main() -> None:
        async with opened() as (server, store):

            async def fails(text: str) -> None:
                if text.startswith(at):
                    server.faults.before = None
                    raise Failure(code, "as the test says", "FATAL" if code == "57P01" else "ERROR")

            server.faults.before = fails
            assert (await ask(store, store.insert, numbered(1))).outcome is outcome
            if outcome is not Outcome.DONE:
                found = (await ask(store, store.get, numbered(1).id)).row
                assert found is None  # here it had not been carried out
                assert (await ask(store, store.insert, numbered(1))).outcome is Outcome.DONE
            assert same((await ask(store, store.get, numbered(1).id)).row, numbered(1))

    run(main())


def test_a_commit_whose_reply_is_lost_must_be_asked_and_is_there() -> None:
    async def main() -> None:
        async with opened() as (server, store):

            async def cuts(text: str) -> None:
                if text == "COMMIT":
                    server.faults.after = None
                    raise Cut

            server.faults.after = cuts
            assert (await ask(store, store.insert, numbered(1))).outcome is Outcome.ASK
            assert same((await ask(store, store.get, numbered(1).id)).row, numbered(1))

    run(main())


def test_a_connection_lost_before_the_commit_never_was() -> None:
    async def main() -> None:
        async with opened() as (server, store):

            async def cuts(text: str) -> None:
                if text.startswith("INSERT"):
                    raise Cut

            server.faults.after = cuts
            assert (await ask(store, store.insert, numbered(1))).outcome is Outcome.NEVER
            server.faults.after = None
            assert (await ask(store, store.get, numbered(1).id)).row is None

    run(main())


def test_a_statement_that_takes_too_long_is_given_up() -> None:
    async def main() -> None:
        async with opened(statement_timeout_us=300_000) as (server, store):

            async def stalls(text: str) -> None:
                if text.startswith("INSERT"):
                    await asyncio.sleep(60)

            server.faults.before = stalls
            assert (await ask(store, store.insert, numbered(1))).outcome is Outcome.NEVER
            server.faults.before = None
            assert (await ask(store, store.get, numbered(1).id)).row is None

    run(main())


def test_a_server_that_pauses_keeps_nobody_past_its_time() -> None:
    async def main() -> None:
        async with opened(connections=1) as (server, store):
            gate, begun = asyncio.Event(), asyncio.Event()

            async def paused(text: str) -> None:
                begun.set()
                await gate.wait()

            server.faults.before = paused
            first = asyncio.ensure_future(ask(store, store.insert, numbered(1)))
            await begun.wait()
            late = await ask(store, store.insert, numbered(2), left_us=100_000)
            assert late.outcome is Outcome.NEVER
            gate.set()
            assert (await first).outcome is Outcome.DONE
            assert (await ask(store, store.get, numbered(2).id)).row is None

    run(main())


@pytest.mark.parametrize("how", ["stop", "kill"])
def test_a_server_that_restarts_while_writes_wait(how: str) -> None:
    async def main() -> None:
        async with opened() as (server, store):
            assert (await ask(store, store.insert, numbered(0))).outcome is Outcome.DONE
            getattr(server, how)()
            waiting = [asyncio.ensure_future(ask(store, store.insert, numbered(n))) for n in range(1, 20)]
            await asyncio.sleep(0.05)
            await server.start()
            results = await asyncio.gather(*waiting)
            for n, r in enumerate(results, 1):
                found = (await ask(store, store.get, numbered(n).id)).row
                if r.outcome is Outcome.DONE:
                    assert same(found, numbered(n))
                elif r.outcome is Outcome.NEVER:
                    assert found is None
            assert sum(r.outcome is Outcome.DONE for r in results) >= 15
            assert same((await ask(store, store.get, numbered(0).id)).row, numbered(0))

    run(main())


def test_more_than_may_wait_are_refused_at_once() -> None:
    async def main() -> None:
        async with opened(most_waiting=5, connections=1) as (server, store):
            gate, begun = asyncio.Event(), asyncio.Event()

            async def paused(text: str) -> None:
                begun.set()
                await gate.wait()

            server.faults.before = paused
            first = asyncio.ensure_future(ask(store, store.insert, numbered(0)))
            await begun.wait()
            rest = [asyncio.ensure_future(ask(store, store.insert, numbered(n))) for n in range(1, 9)]
            await until(lambda: sum(r.done() for r in rest) == 3)
            gate.set()
            results = await asyncio.gather(first, *rest)
            assert sorted(r.outcome.value for r in results) == ["done"] * 6 + ["never"] * 3

    run(main())


@pytest.mark.parametrize(
    ("harm", "says"),
    [
        ("password", "password"),
        ("newer", "newer than"),
    ],
)
def test_a_server_that_can_not_serve_is_one_line(harm: str, says: str) -> None:
    async def main() -> None:
        server = PgServer()
        await server.start()
        dsn = server.dsn
        if harm == "password":
            dsn = dsn.replace("secret", "wrong")
        else:
            server.db.execute("CREATE TABLE reports_version (version INTEGER NOT NULL)")
            server.db.execute("INSERT INTO reports_version VALUES (99)")
        house = House()
        store = PostgresStore(house, PostgresSettings(dsn, connect_timeout_us=5_000_000), 10, "boot")
        with pytest.raises(BadStore) as e:
            await store.start()
        assert says in str(e.value) and "\n" not in str(e.value)
        server.stop()

    run(main())


def test_where_a_failure_leaves_its_transaction() -> None:
    shutdown = asyncpg.AdminShutdownError("x")
    for e, committing, outcome in (
        (OSError(), False, Outcome.NEVER), (OSError(), True, Outcome.ASK),
        (TimeoutError(), True, Outcome.ASK),
        (shutdown, False, Outcome.NEVER), (shutdown, True, Outcome.ASK),
        (asyncpg.SerializationError("x"), True, Outcome.NEVER),
        (asyncpg.ReadOnlySQLTransactionError("x"), True, Outcome.NEVER),
    ):  # fmt: skip
        assert outcome_of(e, committing) is outcome


@pytest.mark.parametrize("harm", ["53300", "57P03", "gone", "cut"])
def test_a_server_that_is_away_at_the_start_serves_once_it_is_back(harm: str) -> None:
    async def main() -> None:
        server = PgServer()
        await server.start()
        if harm == "gone":
            server.kill()
        elif harm == "cut":

            async def cuts(text: str) -> None:
                raise Cut

            server.faults.before = cuts
        else:
            server.faults.refuse = harm
        house = House()
        store = PostgresStore(house, PostgresSettings(server.dsn, connect_timeout_us=5_000_000), 10, "boot")
        await store.start()
        assert "refused until" in house.logged[0]
        assert (await ask(store, store.insert, numbered(1), left_us=300_000)).outcome is Outcome.NEVER
        server.faults.refuse, server.faults.before = "", None
        if harm == "gone":
            await server.start()
        assert (await ask(store, store.insert, numbered(1))).outcome is Outcome.DONE
        store.stop()
        await asyncio.gather(*store.workers, return_exceptions=True)
        server.stop()

    run(main())
