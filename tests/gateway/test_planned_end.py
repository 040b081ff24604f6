"""A planned end brings the deadline of every request forward that a client waits for, whoever holds it."""

from __future__ import annotations

import asyncio
import sqlite3
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from magpiefront.net.deadlines import Deadlines
from magpiefront.record.stage import RecordStage
from tests.caching.harness import FakeRuntime, StageHarness
from tests.gateway.sites import Sites, run, sites, until
from tests.record.sockets import recording_proxy, report
from tests.sockets import silent

END_US = 300_000  # after the start of the planned end: all requests are answered by then
DEADLINE_S = 6.0
ANSWERED_WITHIN_S = 3.0  # half of the deadline: an answer at the client's own deadline is none at the end
HANGS = {"east": {"archive": {"service_time_s": 60.0}}, "west": {"archive": {"service_time_s": 60.0}}}


async def all_answered(requests: list[asyncio.Task[Any]], began_s: float) -> list[int]:
    answers = [(await r).status for r in requests]
    assert asyncio.get_running_loop().time() - began_s < ANSWERED_WITHIN_S
    assert all(status in (409, 502, 503, 504) for status in answers), answers
    return answers


def nothing(s: Sites) -> None: ...


def cut(s: Sites) -> None:
    s.relays["west"].cut()


def stall(s: Sites) -> None:
    s.relays["west"].stall(0, 1)


# If only the east ends, the west answers its clients by their own deadlines when the link is disturbed.
@pytest.mark.parametrize(
    ("ends", "disturb"),
    [("east", nothing), *((e, d) for e in ("west", "both") for d in (nothing, cut, stall))],
)
def test_no_request_between_sites_is_left_unanswered_at_a_planned_end(
    ends: str, disturb: Callable[[Sites], None]
) -> None:
    async def main() -> None:
        async with sites(each=HANGS, home_when_down=False) as s:
            loop = asyncio.get_running_loop()
            ending = [s.west, s.east] if ends == "both" else [s.site(ends)]

            def ask() -> list[asyncio.Task[Any]]:
                kinds = [
                    ("level-read", "e-1"),
                    ("field-report", "e-2"),
                    ("once", "e-3"),
                    ("level-read", "w-1"),
                ]
                more = [("field-report", "e-2", "same"), ("field-report", "e-2", "same")]
                asked = [s.get("west", kind, key, deadline_s=DEADLINE_S) for kind, key in kinds]
                asked += [
                    s.get("west", k, key, idempotency_key=i, deadline_s=DEADLINE_S) for k, key, i in more
                ]
                return [asyncio.ensure_future(a) for a in asked]

            open_ones = ask()
            await until(lambda: len(s.east.proxy.requests) == 4, "the requests at the other site")
            disturb(s)
            began_s = loop.time()
            for site in ending:
                site.proxy.answer_all_by(site.proxy.now_us() + END_US)
            later_ones = ask()
            if ends == "east":  # only what has crossed is held there
                later_ones, open_ones = open_ones[:3] + open_ones[4:], later_ones[:0]
            await all_answered(open_ones + later_ones, began_s)
            if ends != "east":
                await until(lambda: not s.west.proxy.deadlines.timers, "the end of all timers")

    run(main())


@pytest.mark.parametrize("locked", [True, False])
def test_no_report_is_left_unanswered_at_a_planned_end(locked: bool, tmp_path: Path) -> None:
    async def main() -> None:
        async with recording_proxy(tmp_path / "r", silent) as w:
            other = sqlite3.connect(tmp_path / "r", isolation_level=None)
            if locked:
                other.execute("BEGIN IMMEDIATE")
            loop = asyncio.get_running_loop()
            open_one = asyncio.ensure_future(w.ask("k1", deadline_s=str(DEADLINE_S)))
            await until(lambda: w.node.seen or (locked and w.stage.clients))
            began_s = loop.time()
            w.proxy.answer_all_by(w.proxy.now_us() + END_US)
            later_one = asyncio.ensure_future(w.ask("k2", deadline_s=str(DEADLINE_S)))
            await all_answered([open_one, later_one], began_s)
            await until(lambda: not w.stage.deadline_timers and not w.proxy.deadlines.timers)
            if locked:
                other.execute("ROLLBACK")
            other.close()

    run(main())


def test_a_report_that_waits_for_the_right_to_act_is_answered_at_a_planned_end(tmp_path: Path) -> None:
    class NoMember:
        """An ownership that never may act."""

        def __init__(self, given: RecordStage) -> None:
            self.given = given.ownership

        def owner_prefix(self) -> str | None:
            return None

        def __getattr__(self, name: str) -> Any:
            return getattr(self.given, name)

    async def main() -> None:
        async with recording_proxy(tmp_path / "r", silent) as w:
            w.stage.ownership = NoMember(w.stage)
            w.stage.await_ownership(60.0)
            began_s = asyncio.get_running_loop().time()
            client = await w.client()
            client.send(report(deadline_s=str(DEADLINE_S)))
            await until(lambda: w.stage.early_requests)
            w.proxy.answer_all_by(w.proxy.now_us() + END_US)
            assert (await client.answer()).status == 503
            assert asyncio.get_running_loop().time() - began_s < ANSWERED_WITHIN_S

    run(main())


def test_a_read_that_waits_for_the_fetch_of_another_is_answered_at_a_planned_end() -> None:
    w = StageHarness()
    w.get(time_left_s=DEADLINE_S)
    joined = w.get(time_left_s=DEADLINE_S)
    w.runtime.deadlines.bring_forward(w.runtime.now_us() + END_US)
    w.runtime.advance(ANSWERED_WITHIN_S)
    assert joined.status == 504 and joined.answers == 1


def test_a_deadline_is_only_ever_brought_forward() -> None:
    class Timed:
        def __init__(self, received_at: int, time_left: int) -> None:
            self.received_at, self.time_left = received_at, time_left

    runtime, fired = FakeRuntime(), list[str]()
    deadlines, now = runtime.deadlines, runtime.now_us()
    assert isinstance(deadlines, Deadlines)
    deadlines.start(Timed(now, 100_000), fired.append, "before the end")
    deadlines.start(Timed(now, 9_000_000), fired.append, "moved", offset_us=-10_000)
    cancelled = deadlines.start(Timed(now, 9_000_000), fired.append, "cancelled")
    cancelled.cancel()
    cancelled.cancel()
    deadlines.bring_forward(now + 500_000)
    deadlines.bring_forward(now + 900_000)
    assert deadlines.answer_by_us == now + 500_000
    later = Timed(now, 9_000_000)
    assert deadlines.of(later) == now + 500_000 and deadlines.of(Timed(now, 1)) == now + 1
    deadlines.start(later, fired.append, "later")
    runtime.advance(0.495)
    assert fired == ["before the end", "moved"]
    runtime.advance(0.1)
    assert fired == ["before the end", "moved", "later"] and not deadlines.timers
