"""Reports that are sent to another site: whether they may have run there is stored at the site that sent
them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from magpiefront.gateway import inbound, wire
from magpiefront.gateway.wire import Fields
from magpiefront.interface import Outcome
from magpiefront.net.request import Request
from magpiefront.record.journal import RAN_NOTE
from magpiefront.record.rows import State
from magpiefront.record.settings import RecordSettings, SqliteSettings
from magpiefront.record.sqlite import SqliteStore
from magpiefront.record.stage import RecordStage
from tests.gateway.test_broken_answers import BreakingSite
from tests.gateway.sites import Sites, run, sites, until
from tests.record.sockets import FakeAttempt
from tests.record.test_sqlite import read_rows


class StubSite:
    """A stub for the host of the other site. It records attempts with these outcomes and answers with
    `status`, or not at all if `status` is 0."""

    def __init__(self, status: int, *outcomes: Outcome | None) -> None:
        self.status, self.outcomes, self.requests = status, outcomes, list[Request]()

    def submit(self, r: Request) -> None:
        self.requests.append(r)
        r.execution.attempts += [FakeAttempt(o) for o in self.outcomes]
        if self.status:
            r.responder.answer(r, self.status)

    def client_left(self, r: Request) -> None: ...
    def pause_response(self, r: Request) -> None: ...
    def resume_response(self, r: Request) -> None: ...


@asynccontextmanager
async def recorded_sites(path: Path) -> AsyncIterator[tuple[Sites, RecordStage]]:
    """Starts two sites. The west site stores its reports in the file `path`."""
    async with sites() as s:
        store = SqliteStore(s.west.proxy, SqliteSettings(path))
        store.start()
        settings = RecordSettings(SqliteSettings(path), poll_interval_us=50_000, settle_us=300_000)
        stage = RecordStage(s.west.proxy, s.west.gateway.stage, settings, store)
        s.west.front.stage = stage
        stage.begin_polling()
        try:
            yield s, stage
        finally:
            stage.stop()
            await asyncio.to_thread(store.stop)


@pytest.mark.parametrize(
    ("status", "outcomes", "client_status", "rows"),
    [
        (503, (), 503, []),  # refused before any attempt
        (503, (Outcome.FULL, Outcome.CONNECT_FAILED), 503, []),
        (429, (Outcome.MOOT,), 429, []),
        (504, (), 504, []),
        (503, (Outcome.FULL, Outcome.ERROR), 409, [(State.SENT, True)]),
        (503, (None,), 409, [(State.SENT, True)]),  # an attempt is still in flight
        (502, (Outcome.RESET,), 502, [(State.SENT, False)]),
        (200, (Outcome.OK,), 200, [(State.CONFIRMED, False)]),
    ],
)
def test_the_outcome_at_the_other_site_decides_the_answer_and_the_row(
    status: int, outcomes: tuple[Outcome | None, ...], client_status: int, rows: list[tuple[State, bool]],
    tmp_path: Path,
) -> None:  # fmt: skip
    async def main() -> None:
        async with recorded_sites(tmp_path / "r") as (s, stage):
            s.east.gateway.keyed.following = stub = StubSite(status, *outcomes)
            a = await s.get("west", "field-report", deadline_s=1.0)
            assert a.status == client_status and len(stub.requests) == 1
            assert [(r.state, r.told) for r in read_rows(tmp_path / "r")] == rows
            if (client_status, status) == (409, 503):
                await asyncio.sleep(0.6)  # past its deadline: it is sent again only if its client retries
                assert len(stub.requests) == 1
                stub.status = 200
                again = await s.get(
                    "west", "field-report", a.key, idempotency_key=a.idempotency_key, deadline_s=1.0
                )
                assert again.status == 200 and len(stub.requests) == 2
                assert [r.state for r in read_rows(tmp_path / "r")] == [State.CONFIRMED]

    run(main())


def test_a_report_may_have_run_at_a_peer_that_does_not_state_otherwise(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A peer of an older version sends no `gw-never-ran`."""
    answer_fields = wire.answer_fields

    def without_never_ran(*args: Any, **options: Any) -> Fields:
        return [f for f in answer_fields(*args, **options) if f[0] != b"gw-never-ran"]

    monkeypatch.setattr(wire, "answer_fields", without_never_ran)

    async def main() -> None:
        async with recorded_sites(tmp_path / "r") as (s, _):
            s.east.gateway.keyed.following = StubSite(503)
            assert (await s.get("west", "field-report", deadline_s=1.0)).status == 409
            assert [r.told for r in read_rows(tmp_path / "r")] == [True]

    run(main())


def test_a_report_did_not_run_if_the_link_was_down_and_may_have_run_if_it_broke(tmp_path: Path) -> None:
    async def main() -> None:
        async with recorded_sites(tmp_path / "r") as (s, stage):
            s.east.gateway.keyed.following = stub = StubSite(0, None)
            answer = asyncio.ensure_future(s.get("west", "field-report", deadline_s=1.0))
            await until(lambda: stub.requests, "the report at the other site")
            s.relays["west"].cut()
            assert (await answer).status in (502, 504)
            assert [(r.state, r.told) for r in read_rows(tmp_path / "r")] == [(State.SENT, False)]
            await until(lambda: not stage.clients)
            assert (await s.get("west", "field-report", deadline_s=0.5)).status == 503
            assert len(read_rows(tmp_path / "r")) == 1

    run(main())


def test_two_requests_that_wait_for_one_run_both_get_its_outcome(monkeypatch: pytest.MonkeyPatch) -> None:
    """No attempt is made for the second request, but its answer must still say whether the report may have
    run."""
    never_ran: list[bool] = []
    fields = inbound.InboundRequest._fields

    def recording_fields(
        self: inbound.InboundRequest, status: int, length: int | None, more: bytes
    ) -> Fields:  # fmt: skip
        found = fields(self, status, length, more)
        never_ran.append((b"gw-never-ran", b"1") in found)
        return found

    monkeypatch.setattr(inbound.InboundRequest, "_fields", recording_fields)

    async def main() -> None:
        async with sites() as s:
            for outcome, is_certain in ((Outcome.FULL, True), (Outcome.ERROR, False)):
                s.east.gateway.keyed.following = stub = StubSite(0)
                never_ran.clear()
                both = [
                    asyncio.ensure_future(
                        s.get("west", "field-report", "e-1", idempotency_key=f"once-{is_certain}")
                    )
                    for _ in range(2)
                ]
                await until(lambda: [len(e.waiters) for e in s.east.gateway.keyed.answers.entries.values()]
                            == [2], "both")  # fmt: skip
                (request,) = stub.requests
                request.execution.attempts.append(FakeAttempt(outcome))
                request.responder.answer(request, 503)
                assert [(await a).status for a in both] == [503, 503]
                assert never_ran == [is_certain, is_certain]

    run(main())


@pytest.mark.parametrize("breaks_off", [True, False])
def test_a_report_whose_answer_was_lost_on_the_link_is_known_to_have_run(
    breaks_off: bool, tmp_path: Path
) -> None:
    """The head of the answer crosses, the rest does not."""

    async def main() -> None:
        async with recorded_sites(tmp_path / "r") as (s, stage):
            s.east.gateway.listener.keyed = s.east.gateway.listener.stage = BreakingSite(1_000, breaks_off)
            answer = await s.get("west", "field-report", deadline_s=0.8)
            if breaks_off:
                assert answer.status == 200 and answer.answers[0][2] == b"whole"  # by another attempt
                return
            assert answer.status == 504
            await until(lambda: not stage.clients and not stage.journal.entries)
            await until(lambda: [r.note for r in read_rows(tmp_path / "r")] == [RAN_NOTE])

    run(main())


@pytest.mark.parametrize("first_status", [502, 200])
def test_a_report_that_may_have_run_stays_at_its_site_after_a_reload(
    first_status: int, tmp_path: Path
) -> None:
    async def main() -> None:
        async with recorded_sites(tmp_path / "r") as (s, stage):
            stage.site_of, stage.own_site = s.west.gateway.stage.site_of, "west"
            s.east.gateway.keyed.following = stub = StubSite(first_status, Outcome.RESET)
            ask = {"idempotency_key": "k", "deadline_s": 1.0}
            assert (await s.get("west", "field-report", "e-1", **ask)).status == first_status
            (row,) = read_rows(tmp_path / "r")
            assert [a.node for a in row.attempts] == ["site east"]
            # The gauges of the east now belong to the west, by the table of the west's gateway.
            settings = s.west.gateway.settings
            west = replace(settings.sites["west"], prefixes=("w-", "e-"))
            east = replace(settings.sites["east"], prefixes=())
            s.west.gateway.configure(replace(settings, sites={"west": west, "east": east}))
            s.east.gateway.keyed.following = later = StubSite(200, Outcome.OK)
            assert (await s.get("west", "field-report", "e-1", **ask)).status == 200
            assert len(stub.requests) == 1 and len(later.requests) == (first_status == 502)
            assert not s.west.archive.effects
            # A new report follows the new table.
            assert (await s.get("west", "field-report", "e-1", idempotency_key="new")).status == 200
            assert s.west.archive.effects == {"new": 1}
            assert len(later.requests) == (first_status == 502)

    run(main())
