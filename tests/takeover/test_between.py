"""Reports that cross between two sites, and the loss of gateways that have them in hand."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from types import SimpleNamespace

import pytest

from magpiefront.gateway import wire
from magpiefront.interface import Outcome
from magpiefront.gateway.store_identity import StoreIdentity
from magpiefront.record.cross_site import CrossSiteRecordStage
from magpiefront.record.rows import State
from magpiefront.record.settings import RecordSettings, SqliteSettings
from magpiefront.record.sqlite import SqliteStore
from magpiefront.record.stage import RecordStage
from standins import drill
from standins.between import TwoSiteRound, draw
from standins.drill import Plan
from standins.process import Process
from standins.reports import Report, send_report
from standins.takeover import SUMMED_FIELDS
from tests.gateway.sites import Sites, run, sites, until
from tests.record.sockets import FakeAttempt
from tests.record.test_crossing import StubSite
from tests.record.test_sqlite import read_rows
from tests.takeover.test_drill import retry_until_ok


@pytest.mark.parametrize("work", ["sqlite", "group"])
def test_no_round_of_two_sites_breaks_a_rule(work: str) -> None:
    args = SimpleNamespace(kinds="", members=3, observers=0, work=work)
    plans = [draw(args, n) for n in range(1, 5)]  # type: ignore[arg-type]
    assert Plan.read(plans[0].text()) == plans[0] and any(f.kind[:4] == "link" for f in plans[0].there)
    found = asyncio.run(drill.run_rounds(plans, 2, True, TwoSiteRound, SUMMED_FIELDS))
    assert not found["faults"], found["replay"]
    assert found["confirmed"] > 100 and not found["open"]


Case = Callable[[TwoSiteRound], Awaitable[None]]


async def send_slow_report(two_sites: TwoSiteRound, report: Report) -> asyncio.Task[tuple[int, float]]:
    """Sends the report to the west and returns once it has reached a node of the east."""
    count = len(two_sites.east.node.request_ids)
    reply_task = asyncio.create_task(send_report(report, two_sites.processes[0].port))
    while len(two_sites.east.node.request_ids) == count:
        await asyncio.sleep(0.005)
    return reply_task


async def receiver_is_lost(two_sites: TwoSiteRound) -> None:
    """The client's first attempt is answered, because its gateway sends the report again, to another gateway
    of the east."""
    for lose in (Process.terminate, Process.kill):
        report = Report(lose.__name__, b"1")
        reply_task = await send_slow_report(two_sites, report)
        sending = []
        for p in two_sites.east.processes:
            work = (await two_sites.east.member_client(p.name).request({"do": "work"}, 2.0))["in_hand"]
            sending += [p] if work["sending"] else []
        (p,) = sending
        await lose(p)
        assert (await reply_task)[0] == 200
        if lose is Process.terminate:
            await p.spawn()
            await two_sites.wait_until_converged("after its restart")


async def sender_is_lost(two_sites: TwoSiteRound) -> None:
    """The client retries at another gateway of the west, which sends the report under the same key."""
    report = Report("sender", b"1")
    reply_task = await send_slow_report(two_sites, report)
    await two_sites.processes[0].kill()
    assert (await reply_task)[0] == 0
    assert await retry_until_ok(report, [p.port for p in two_sites.processes[1:]]) == 200


async def sender_is_stopped(two_sites: TwoSiteRound) -> None:
    """The gateway is suspended until another one has completed its report. Then it must not send the report
    again, nor answer 503, which would say that nothing was done."""
    report = Report("stopped", b"1")
    reply_task = await send_slow_report(two_sites, report)
    two_sites.processes[0].suspend()
    assert await retry_until_ok(Report("stopped", b"1"), [p.port for p in two_sites.processes[1:]]) == 200
    two_sites.processes[0].resume()
    assert (await reply_task)[0] != 503


async def both_are_lost(two_sites: TwoSiteRound) -> None:
    report = Report("both", b"1")
    reply_task = await send_slow_report(two_sites, report)
    await asyncio.gather(two_sites.processes[0].kill(), two_sites.east.processes[0].kill())
    await reply_task
    assert (
        await retry_until_ok(report, [two_sites.processes[1].port, two_sites.east.processes[1].port]) == 200
    )


@pytest.mark.parametrize("work", ["sqlite", "postgres", "group"])
@pytest.mark.parametrize("case", [receiver_is_lost, sender_is_lost, sender_is_stopped, both_are_lost])
def test_a_report_survives_the_loss_of_a_gateway(case: Case, work: str, tmp_path: Path) -> None:
    async def main() -> None:
        two_sites = TwoSiteRound(Plan(1, 3, work=work), tmp_path, relayed=False)
        two_sites.node.slow_share = two_sites.east.node.slow_share = 0.0
        two_sites.east.archive.service_time_s = 0.25  # so that the report is in hand when the fault occurs
        try:
            await two_sites.prepare()
            await asyncio.gather(*(p.spawn() for p in two_sites.processes))
            await two_sites.wait_until_converged("at the start")
            while await retry_until_ok(Report("first", b"0"), [two_sites.processes[0].port]) != 200:
                pass
            await case(two_sites)
            assert set(two_sites.east.archive.effects.values()) == {1} and not two_sites.archive.effects
        finally:
            await two_sites.close()

    asyncio.run(asyncio.wait_for(main(), 90))


# ---- both sites in the process of the test


async def add_stores(s: Sites, stack: AsyncExitStack, west: Path, east: Path) -> dict[str, RecordStage]:
    """Gives both sites a store of reports. Reconnects the links, because each end names its store in its
    hello."""
    stages = {}
    for name, path in (("west", west), ("east", east)):
        site = s.site(name)
        store = SqliteStore(site.proxy, SqliteSettings(path))
        store.start()
        settings = RecordSettings(SqliteSettings(path), poll_interval_us=50_000, settle_us=300_000)
        stage = stages[name] = RecordStage(site.proxy, site.gateway.stage, settings, store)
        site.front.stage = stage
        site.gateway.listener.stage = CrossSiteRecordStage(stage, site.gateway.keyed)
        identity = StoreIdentity(True, store.identity.replace(" ", "-"))
        site.gateway.listener.store = lambda identity=identity: identity  # type: ignore[misc]
        for link in site.gateway.stage.links.values():
            link.own_store = site.gateway.listener.store
        stage.begin_polling()
        stack.push_async_callback(asyncio.to_thread, store.stop)
        stack.callback(stage.stop)
    for relay in s.relays.values():
        relay.break_all()
    await until(lambda: not (s.west.up and s.east.up), "the links' break")
    await until(lambda: s.west.up and s.east.up, "the links")
    return stages


@pytest.mark.parametrize("status", [200, 409, 503, 502])
def test_both_sites_hold_a_report_that_crossed(status: int, tmp_path: Path) -> None:
    async def main() -> None:
        async with sites() as s, AsyncExitStack() as stack:
            await add_stores(s, stack, tmp_path / "w", tmp_path / "e")
            ended = Outcome.OK if status < 500 else Outcome.ERROR
            s.east.gateway.keyed.following = remote = StubSite(status, ended)
            answer = await s.get("west", "field-report", deadline_s=1.0)
            west, east = read_rows(tmp_path / "w"), read_rows(tmp_path / "e")
            assert len(west) == len(east) == 1 and len(remote.requests) == 1
            assert west[0].id == east[0].id and west[0].owner != east[0].owner
            if status in (200, 409):
                assert answer.status == status and {west[0].state, east[0].state} == {State.CONFIRMED}
            else:
                # A report that may have run is not refused, and the answer to retry later is not stored.
                assert answer.status == (409 if status == 503 else 502)
                assert {west[0].state, east[0].state} == {State.SENT}

    run(main())


def test_a_report_that_never_ran_is_not_stored(tmp_path: Path) -> None:
    async def main() -> None:
        async with sites() as s, AsyncExitStack() as stack:
            await add_stores(s, stack, tmp_path / "w", tmp_path / "e")
            s.east.gateway.keyed.following = StubSite(503, Outcome.FULL)
            assert (await s.get("west", "field-report", deadline_s=1.0)).status == 503
            assert not read_rows(tmp_path / "w") and not read_rows(tmp_path / "e")

    run(main())


def test_a_report_in_progress_at_the_other_site_is_retried_and_its_answer_not_stored(tmp_path: Path) -> None:
    async def main() -> None:
        async with sites() as s, AsyncExitStack() as stack:
            await add_stores(s, stack, tmp_path / "w", tmp_path / "e")
            s.east.gateway.keyed.following = remote = StubSite(0)
            own = s.new_request("east", "field-report", key="e-1", idempotency_key="k", deadline_s=2.0)
            first = asyncio.ensure_future(s.send(own))
            await until(lambda: remote.requests, "the report at the east")
            answer = await s.get("west", "field-report", "e-1", idempotency_key="k", deadline_s=0.4)
            assert answer.status in (409, 504)
            assert [r.state for r in read_rows(tmp_path / "w")] == [State.SENT]
            remote.requests[0].execution.attempts.append(FakeAttempt(Outcome.OK))
            remote.requests[0].responder.answer(remote.requests[0], 200)
            assert (await first).status == 200
            assert (
                await s.get("west", "field-report", "e-1", idempotency_key="k", deadline_s=2.0)
            ).status == 200
            assert len(remote.requests) == 1
            assert [r.state for r in read_rows(tmp_path / "w")] == [State.CONFIRMED]
            other = await s.get("west", "field-report", "e-2", idempotency_key="k", deadline_s=1.0)
            assert other.status == 422  # a different report under the same key

    run(main())


def test_two_sites_over_one_store_hold_a_report_once(tmp_path: Path) -> None:
    """Only the west stores the report. Otherwise the east would find the row of the report that it gets from
    the west, and would wait for the west to complete it."""

    async def main() -> None:
        async with sites() as s, AsyncExitStack() as stack:
            await add_stores(s, stack, tmp_path / "r", tmp_path / "r")
            answer = await s.get("west", "field-report", deadline_s=2.0)
            assert answer.status == 200 and [r.state for r in read_rows(tmp_path / "r")] == [State.CONFIRMED]

    run(main())


def test_a_gateway_of_an_older_version_gets_no_undecided_answers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An older gateway would store an undecided answer as the final answer of the report. So the other site
    does not store reports that come from one."""
    hello = wire.hello_fields

    def older(*args: str) -> wire.Fields:
        return [f for f in hello(*args) if f[0] != b"gw-store"]  # type: ignore[arg-type]

    monkeypatch.setattr(wire, "hello_fields", older)

    async def main() -> None:
        async with sites() as s, AsyncExitStack() as stack:
            await add_stores(s, stack, tmp_path / "w", tmp_path / "e")
            assert (await s.get("west", "field-report", deadline_s=2.0)).status == 200
            assert len(read_rows(tmp_path / "w")) == 1 and not read_rows(tmp_path / "e")

    run(main())


def test_a_report_that_may_have_run_is_refused_by_a_gateway_without_a_store(tmp_path: Path) -> None:
    async def main() -> None:
        async with sites() as s:
            stage = s.west.gateway.stage
            for link in stage.links.values():
                for w in link.usable_connections():
                    w.store = "one"  # as a gateway with a store announces; this one has none
            s.east.gateway.keyed.following = remote = StubSite(0)
            reply_task = asyncio.ensure_future(s.get("west", "field-report", deadline_s=2.0))
            await until(lambda: remote.requests, "the report there")
            (forwarded,) = stage.forwarded.values()
            forwarded.retry_state.epoch = "another"
            assert forwarded.connection is not None
            forwarded.connection.handlers.pop(forwarded.stream)
            forwarded.on_broken(False, "its gateway is lost")
            assert (await reply_task).status == 502 and s.east.count("in_ran_elsewhere") == 1
            assert len(remote.requests) == 1

    run(main())


def test_a_gateway_that_may_not_act_leaves_reports_to_another_one(tmp_path: Path) -> None:
    async def main() -> None:
        two_sites = TwoSiteRound(Plan(1, 3, work="group"), tmp_path)
        try:
            await two_sites.prepare()
            await asyncio.gather(*(p.spawn() for p in two_sites.processes))
            await two_sites.wait_until_converged("at the start")
            isolated = two_sites.east.names[0]
            for ends, relay in two_sites.east.relays.items():
                if isolated in ends:
                    relay.cut()
            while (await two_sites.east.member_client(isolated).request({"do": "work"}, 2.0))["acts"]:
                await asyncio.sleep(0.02)
            # All reports of at least one batch must succeed at the first attempt. On a busy machine a batch
            # can fail because another gateway loses its session.
            for batch in range(5):
                keys = [f"k{batch}-{n}" for n in range(12)]
                ports = [two_sites.processes[n % 3].port for n in range(12)]
                statuses = [
                    (await send_report(Report(k, b"1"), p))[0] for k, p in zip(keys, ports, strict=True)
                ]
                if statuses == [200] * 12:
                    break
            assert statuses == [200] * 12
        finally:
            await two_sites.close()

    asyncio.run(asyncio.wait_for(main(), 90))


def test_a_read_whose_gateway_is_lost_is_retried_at_another_for_one_token() -> None:
    """A read may run at any gateway. When its retry was bound to the epoch of the lost gateway, it spent the
    whole retry budget of the link and was then served at home."""

    async def main() -> None:
        async with sites() as s:
            s.east.gateway.keyed.following = remote = StubSite(0)
            reply_task = asyncio.ensure_future(s.get("west", "level-read", deadline_s=4.0))
            await until(lambda: remote.requests, "the read there")
            stage = s.west.gateway.stage
            (forwarded,) = stage.forwarded.values()
            forwarded.retry_state.epoch, before = "lost", stage.routes.retry_budget.tokens
            assert forwarded.connection is not None
            forwarded.connection.handlers.pop(forwarded.stream)
            forwarded.on_broken(False, "its gateway is lost")
            await until(lambda: len(remote.requests) == 2, "its second attempt")
            remote.requests[1].responder.answer(remote.requests[1], 200)
            assert (await reply_task).status == 200 and stage.routes.retry_budget.tokens >= before - 1

    run(main())
