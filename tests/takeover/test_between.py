"""Reports that cross between two sites, and gateways of either one that are lost with them in hand."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from types import SimpleNamespace

import pytest

from magpiefront.gateway import wire
from magpiefront.interface import Outcome
from magpiefront.record.arrivals import Arrivals
from magpiefront.record.rows import State
from magpiefront.record.settings import RecordSettings, SqliteSettings
from magpiefront.record.sqlite import SqliteStore
from magpiefront.record.stage import RecordStage
from standins import drill
from standins.between import Between, draw
from standins.drill import Plan
from standins.process import Process
from standins.reports import Report, ask
from standins.takeover import COUNTED
from tests.gateway.sites import Sites, run, sites, until
from tests.record.sockets import Try
from tests.record.test_crossing import Answers
from tests.record.test_sqlite import held
from tests.takeover.test_drill import told


@pytest.mark.parametrize("work", ["sqlite", "group"])
def test_no_round_of_two_sites_breaks_a_rule(work: str) -> None:
    args = SimpleNamespace(kinds="", members=3, observers=0, work=work)
    plans = [draw(args, n) for n in range(1, 5)]  # type: ignore[arg-type]
    assert Plan.read(plans[0].text()) == plans[0] and any(f.kind[:4] == "link" for f in plans[0].there)
    found = asyncio.run(drill.rounds(plans, 2, True, Between, COUNTED))
    assert not found["faults"], found["replay"]
    assert found["confirmed"] > 100 and not found["open"]


Case = Callable[[Between], Awaitable[None]]


async def _in_hand(b: Between, report: Report) -> asyncio.Task[tuple[int, float]]:
    """At a node of the east."""
    count = len(b.there.node.ids)
    asked = asyncio.create_task(ask(report, b.processes[0].port))
    while len(b.there.node.ids) == count:
        await asyncio.sleep(0.005)
    return asked


async def receiver_is_lost(b: Between) -> None:
    """The very try of the client is answered: its gateway asks another one over there."""
    for lose in (Process.end, Process.kill):
        report = Report(lose.__name__, b"1")
        asked = await _in_hand(b, report)
        found = []
        for p in b.there.processes:
            work = (await b.there._asker(p.name).ask({"do": "work"}, 2.0))["in_hand"]
            found += [p] if work["sending"] else []
        (p,) = found
        await lose(p)
        assert (await asked)[0] == 200
        if lose is Process.end:
            await p.spawn()
            await b._until_whole("after its new start")


async def sender_is_lost(b: Between) -> None:
    """Its client comes to another one there, whose try crosses under the same key."""
    report = Report("sender", b"1")
    asked = await _in_hand(b, report)
    await b.processes[0].kill()
    assert (await asked)[0] == 0
    assert await told(report, [p.port for p in b.processes[1:]]) == 200


async def sender_is_stopped(b: Between) -> None:
    """It goes on once another one has taken its report over, and tells and sends nothing more of it."""
    report = Report("stopped", b"1")
    asked = await _in_hand(b, report)
    b.processes[0].stop()
    assert await told(Report("stopped", b"1"), [p.port for p in b.processes[1:]]) == 200
    b.processes[0].go_on()
    assert (await asked)[0] != 503


async def both_are_lost(b: Between) -> None:
    report = Report("both", b"1")
    asked = await _in_hand(b, report)
    await asyncio.gather(b.processes[0].kill(), b.there.processes[0].kill())
    await asked
    assert await told(report, [b.processes[1].port, b.there.processes[1].port]) == 200


@pytest.mark.parametrize("work", ["sqlite", "postgres", "group"])
@pytest.mark.parametrize("case", [receiver_is_lost, sender_is_lost, sender_is_stopped, both_are_lost])
def test_a_lost_gateway(case: Case, work: str, tmp_path: Path) -> None:
    async def main() -> None:
        b = Between(Plan(1, 3, work=work), tmp_path, relayed=False)
        b.node.slow_share = b.there.node.slow_share = 0.0
        b.there.archive.time_s = 0.25  # so that it is in hand when the fault comes
        try:
            await b.prepare()
            await asyncio.gather(*(p.spawn() for p in b.processes))
            await b._until_whole("at the start")
            while await told(Report("first", b"0"), [b.processes[0].port]) != 200:
                pass
            await case(b)
            assert set(b.there.archive.effects.values()) == {1} and not b.archive.effects
        finally:
            await b.end()

    asyncio.run(asyncio.wait_for(main(), 90))


# ---- in one process


async def recorded(s: Sites, stack: AsyncExitStack, west: Path, east: Path) -> dict[str, RecordStage]:
    """Both sites hold reports. The links are made anew, for an end tells its store in its hello."""
    stages = {}
    for name, path in (("west", west), ("east", east)):
        site = s.site(name)
        store = SqliteStore(site.proxy, SqliteSettings(path))
        store.start()
        settings = RecordSettings(SqliteSettings(path), look_us=50_000, settle_us=300_000)
        stage = stages[name] = RecordStage(site.proxy, site.gateway.stage, settings, store)
        site.front.stage = stage
        site.gateway.gate.stage = Arrivals(stage, site.gateway.keyed)
        site.gateway.gate.store = (lambda store=store: store.identity.replace(" ", "-"))  # type: ignore[misc]
        for link in site.gateway.stage.links.values():
            link.own_store = site.gateway.gate.store
        stage.begin_looking()
        stack.push_async_callback(asyncio.to_thread, store.stop)
        stack.callback(stage.stop)
    for relay in s.relays.values():
        relay.break_all()
    await until(lambda: not (s.west.up and s.east.up), "the links' break")
    await until(lambda: s.west.up and s.east.up, "the links")
    return stages


@pytest.mark.parametrize("status", [200, 409, 503, 502])
def test_each_site_holds_what_it_has_to_do_with(status: int, tmp_path: Path) -> None:
    async def main() -> None:
        async with sites() as s, AsyncExitStack() as stack:
            await recorded(s, stack, tmp_path / "w", tmp_path / "e")
            ended = Outcome.OK if status < 500 else Outcome.ERROR
            s.east.gateway.keyed.following = there = Answers(status, ended)
            a = await s.get("west", "field-report", deadline_s=1.0)
            west, east = held(tmp_path / "w"), held(tmp_path / "e")
            assert len(west) == len(east) == 1 and len(there.taken) == 1
            assert west[0].id == east[0].id and west[0].owner != east[0].owner
            if status in (200, 409):
                assert a.status == status and {west[0].state, east[0].state} == {State.CONFIRMED}
            else:
                # What may have run is no refusal, and "come again" is no answer to keep.
                assert a.status == (409 if status == 503 else 502)
                assert {west[0].state, east[0].state} == {State.SENT}

    run(main())


def test_what_never_ran_is_held_nowhere(tmp_path: Path) -> None:
    async def main() -> None:
        async with sites() as s, AsyncExitStack() as stack:
            await recorded(s, stack, tmp_path / "w", tmp_path / "e")
            s.east.gateway.keyed.following = Answers(503, Outcome.FULL)
            assert (await s.get("west", "field-report", deadline_s=1.0)).status == 503
            assert not held(tmp_path / "w") and not held(tmp_path / "e")

    run(main())


def test_one_that_is_under_way_over_there_is_asked_for_again_and_its_word_is_not_kept(tmp_path: Path) -> None:
    async def main() -> None:
        async with sites() as s, AsyncExitStack() as stack:
            await recorded(s, stack, tmp_path / "w", tmp_path / "e")
            s.east.gateway.keyed.following = there = Answers(0)
            own = s.ask("east", "field-report", key="e-1", once="k", deadline_s=2.0)
            first = asyncio.ensure_future(s.send(own))
            await until(lambda: there.taken, "the report at the east")
            a = await s.get("west", "field-report", "e-1", once="k", deadline_s=0.4)
            assert a.status in (409, 504)
            assert [r.state for r in held(tmp_path / "w")] == [State.SENT]
            there.taken[0].effect.attempts.append(Try(Outcome.OK))
            there.taken[0].replies.answer(there.taken[0], 200)
            assert (await first).status == 200
            assert (await s.get("west", "field-report", "e-1", once="k", deadline_s=2.0)).status == 200
            assert len(there.taken) == 1
            assert [r.state for r in held(tmp_path / "w")] == [State.CONFIRMED]
            other = await s.get("west", "field-report", "e-2", once="k", deadline_s=1.0)
            assert other.status == 422  # another report under that key

    run(main())


def test_two_sites_over_one_store_hold_a_report_once(tmp_path: Path) -> None:
    """The east's look would find the very row that the west sends, and wait for it."""

    async def main() -> None:
        async with sites() as s, AsyncExitStack() as stack:
            await recorded(s, stack, tmp_path / "r", tmp_path / "r")
            a = await s.get("west", "field-report", deadline_s=2.0)
            assert a.status == 200 and [r.state for r in held(tmp_path / "r")] == [State.CONFIRMED]

    run(main())


def test_a_gateway_of_an_older_version_is_not_told_that_a_report_is_under_way(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It would keep that for the report's answer: for it nothing is held over there, as before."""
    hello = wire.hello

    def older(*args: str) -> wire.Fields:
        return [f for f in hello(*args) if f[0] != b"gw-store"]  # type: ignore[arg-type]

    monkeypatch.setattr(wire, "hello", older)

    async def main() -> None:
        async with sites() as s, AsyncExitStack() as stack:
            await recorded(s, stack, tmp_path / "w", tmp_path / "e")
            assert (await s.get("west", "field-report", deadline_s=2.0)).status == 200
            assert len(held(tmp_path / "w")) == 1 and not held(tmp_path / "e")

    run(main())


def test_one_that_may_have_run_at_another_gateway_is_not_run_by_one_that_can_not_know(tmp_path: Path) -> None:
    async def main() -> None:
        async with sites() as s:
            trip = s.west.gateway.stage
            for link in trip.links.values():
                for w in link.wires():
                    w.store = "one"  # as a gateway says that holds reports, and this one does not
            s.east.gateway.keyed.following = there = Answers(0)
            asked = asyncio.ensure_future(s.get("west", "field-report", deadline_s=2.0))
            await until(lambda: there.taken, "the report there")
            (t,) = trip.trips.values()
            t.crossing.epoch = "another"
            assert t.wire is not None
            t.wire.sinks.pop(t.stream)
            t.broken(False, "its gateway is lost")
            assert (await asked).status == 502 and s.east.count("in_ran_elsewhere") == 1
            assert len(there.taken) == 1

    run(main())


def test_a_gateway_that_may_not_act_leaves_reports_to_another_one(tmp_path: Path) -> None:
    async def main() -> None:
        b = Between(Plan(1, 3, work="group"), tmp_path)
        try:
            await b.prepare()
            await asyncio.gather(*(p.spawn() for p in b.processes))
            await b._until_whole("at the start")
            alone = b.there.names[0]
            for ends, relay in b.there.relays.items():
                if alone in ends:
                    relay.cut()
            while (await b.there._asker(alone).ask({"do": "work"}, 2.0))["acts"]:
                await asyncio.sleep(0.02)
            # All at the first try, in one of some batches: a busy machine may cost another one its session.
            for batch in range(5):
                keys = [f"k{batch}-{n}" for n in range(12)]
                at = [b.processes[n % 3].port for n in range(12)]
                told_ = [(await ask(Report(k, b"1"), p))[0] for k, p in zip(keys, at, strict=True)]
                if told_ == [200] * 12:
                    break
            assert told_ == [200] * 12
        finally:
            await b.end()

    asyncio.run(asyncio.wait_for(main(), 90))


def test_a_read_whose_gateway_is_lost_goes_to_another_for_one_token() -> None:
    """It is safe anywhere: kept to the lost one's epoch, it spent the link's whole budget and went home."""

    async def main() -> None:
        async with sites() as s:
            s.east.gateway.keyed.following = there = Answers(0)
            asked = asyncio.ensure_future(s.get("west", "level-read", deadline_s=4.0))
            await until(lambda: there.taken, "the read there")
            stage = s.west.gateway.stage
            (t,) = stage.trips.values()
            t.crossing.epoch, before = "lost", stage.routes.budget.left
            assert t.wire is not None
            t.wire.sinks.pop(t.stream)
            t.broken(False, "its gateway is lost")
            await until(lambda: len(there.taken) == 2, "its second try")
            there.taken[1].replies.answer(there.taken[1], 200)
            assert (await asked).status == 200 and stage.routes.budget.left >= before - 1

    run(main())
