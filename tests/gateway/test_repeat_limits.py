"""What binds a repeat of a keyed request crosses the link, is kept with a row and reaches the Router."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path
from typing import Any

import pytest

from magpiefront.gateway.idempotency import AnswerTable, Verdict
from magpiefront.gateway.wire import InvalidHead, read_request
from magpiefront.interface import Fail, ListKind, Outcome, Refuse, ServerList
from magpiefront.record.rows import (
    Attempt, Moment, State, group_attempt, group_of_attempts, repeat_limits, site_attempt, without_places,
)  # fmt: skip
from magpiefront.repeat_limits import FIRST_SENDING, RepeatLimits, ServerGroup, Unplaced
from tests.gateway.sites import run, sites, until
from tests.helpers import NAMES, RouterDriver, entry, full_list, sends
from tests.record.sockets import GRADES, FakeAttempt, recording_proxy
from tests.record.test_crossing import StubSite, recorded_sites
from tests.record.test_journal import row as journal_row
from tests.record.test_sqlite import read_rows
from tests.sockets import ReceivedRequest, ok

WINDOW_US = 1_000_000
ZONE_1 = ServerGroup("z1", 0)
CROSSING_SLACK_US = 300_000


class GroupedSite(StubSite):
    """A stub for the host of the other site, whose attempts name a group and when they were sent."""

    def __init__(self, now_us: int) -> None:
        super().__init__(502)
        self.now_us = now_us

    def submit(self, r) -> None:  # type: ignore[no-untyped-def]
        r.execution.attempts.append(FakeAttempt(Outcome.RESET, self.now_us, group=ZONE_1))
        super().submit(r)


# ---- over the link


@pytest.mark.parametrize("knows", [True, False])
def test_a_repeat_over_the_link_is_bound_by_its_first_sending(knows: bool, tmp_path: Path) -> None:
    async def main() -> None:
        async with recorded_sites(tmp_path / "r") as (s, stage):
            began = s.east.proxy.now_us()
            s.east.gateway.keyed.following = stub = GroupedSite(began)
            ask = {"idempotency_key": "k", "deadline_s": 1.0}
            assert (await s.get("west", "field-report", "e-1", **ask)).status == 502
            await until(lambda: not stage.journal.entries)
            await asyncio.sleep(0.2)
            if not knows:  # as if the gateway at the other site had been restarted
                s.east.gateway.keyed.answers = AnswerTable(100, 10_000)
            assert (await s.get("west", "field-report", "e-1", **ask)).status in (409, 502)
            first, *repeats = stub.requests
            assert first.limits == FIRST_SENDING and repeats
            for repeat in repeats:
                limits = repeat.limits
                assert began - CROSSING_SLACK_US <= limits.first_sent_us <= began + CROSSING_SLACK_US
                assert limits.window_us == 5_000_000
                assert not limits.may_have_run or limits.place in (Unplaced.UNKNOWN, ZONE_1)
                assert limits.may_have_run or knows

    run(main())


def test_a_repeat_of_a_request_that_failed_is_bound_without_a_store_and_without_an_age() -> None:
    async def main() -> None:
        async with sites() as s:
            began = s.east.proxy.now_us()
            s.east.gateway.keyed.following = stub = GroupedSite(began)
            for _ in range(2):
                answer = await s.get("west", "field-report", "e-1", idempotency_key="k", deadline_s=1.0)
                assert answer.status == 502
            first, repeat = stub.requests
            assert first.limits == FIRST_SENDING
            assert repeat.limits == RepeatLimits(began, 5_000_000, ZONE_1)

    run(main())


@pytest.mark.parametrize("age", [b"-1", b"", b"1e6", b"abc", b"9" * 16])
def test_an_age_that_is_no_number_is_refused(age: bytes) -> None:
    fields = [
        (b":method", b"PUT"), (b":path", b"/k"), (b":authority", b"a"), (b"gw-via", b"west"),
        (b"gw-repeat", b"keyed"), (b"gw-time-left", b"1000"), (b"gw-key-age", age),
    ]  # fmt: skip
    with pytest.raises(InvalidHead):
        read_request(fields)


def test_a_failed_request_binds_its_repeats_until_its_window_is_over() -> None:
    table: AnswerTable[str] = AnswerTable(10, 1_000)
    key = ("c", "t", "k")
    limits = RepeatLimits(100, WINDOW_US, ZONE_1)
    assert table.begin(100, key, b"p", WINDOW_US, 0, "first") is Verdict.RUN
    assert table.abandon(key, limits) == ["first"]
    assert table.begin(200, key, b"other", WINDOW_US, 0, "other") is Verdict.MISMATCH
    assert table.begin(300, key, b"p", WINDOW_US, 0, "repeat") is Verdict.RUN
    assert table.limits_for(key) == limits
    assert table.begin(400, key, b"p", WINDOW_US, 0, "second repeat") is Verdict.WAIT
    assert table.abandon(key, limits) == ["repeat", "second repeat"]
    assert table.begin(300 + WINDOW_US, key, b"p", WINDOW_US, 0, "a new request") is Verdict.RUN
    assert table.limits_for(key) == FIRST_SENDING


# ---- the Router


@pytest.mark.parametrize(
    ("age_us", "place", "zones", "answer"),
    [
        (200_000, ServerGroup("z1"), {"z1"}, None),
        (200_000, ServerGroup("elsewhere"), set(), Fail),  # no server of its group is left
        (200_000, Unplaced.UNKNOWN, set(), Fail),
        (200_000, Unplaced.NOWHERE, {"z0", "z1", "z2"}, None),
        (WINDOW_US, ServerGroup("z1"), set(), Fail),
        (WINDOW_US, Unplaced.NOWHERE, set(), Refuse),  # it never ran, and may no longer be sent
        (-50_000, ServerGroup("z1"), set(), Fail),  # a first sending in the future
    ],
)
def test_a_request_that_was_sent_before_goes_only_where_and_while_repeats_are_dropped(
    age_us: int, place: ServerGroup | Unplaced, zones: set[str], answer: type | None
) -> None:
    seen, answers = set(), set()
    for number in range(40):
        driver = RouterDriver(seed=number)
        limits = RepeatLimits(driver.now - age_us, WINDOW_US, place)
        actions = driver.arrive("r", cls="zoned", key=number, limits=limits)
        for sent in sends(actions):
            seen.add(sent.group.zone)
            assert sent.not_after_us == limits.not_after_us
        answers |= {type(a) for a in actions if isinstance(a, Fail | Refuse)}
        further = sends(driver.end("r", Outcome.RESET)) if sends(actions) else []
        assert all(place is Unplaced.NOWHERE or s.group.zone in zones for s in further)
    assert seen == zones and answers == ({answer} if answer is not None else set())


@pytest.mark.parametrize("known", [True, False])
def test_a_request_that_was_sent_before_goes_to_no_server_that_has_started_since(known: bool) -> None:
    driver = RouterDriver(names=NAMES if known else [])
    sent_us = driver.now - 100_000
    started = {n: driver.now - (50_000 if i % 2 else 10_000_000) for i, n in enumerate(NAMES)}
    # A process that has just started learns of the starts from before its own by its first list.
    kind = ListKind.PATCH if known else ListKind.WHOLE
    driver.handle(ServerList(kind, [entry(n, started_at_us=t) for n, t in started.items()]))
    chosen = set()
    for number in range(60):
        limits = RepeatLimits(sent_us, WINDOW_US, Unplaced.UNKNOWN)
        for sent in sends(driver.arrive(f"r{number}", cls="write", key=number, limits=limits)):
            chosen.add(sent.server)
    assert chosen == (set() if known else {n for n, t in started.items() if t < sent_us})


def test_an_earlier_sending_binds_all_attempts_beside_each_other() -> None:
    driver = RouterDriver()
    driver.handle(full_list(NAMES))
    limits = RepeatLimits(driver.now - 500_000, WINDOW_US, Unplaced.UNKNOWN)
    driver.arrive("r", cls="write", limits=limits)
    driver.end("r", Outcome.RESET)
    assert {s.not_after_us for s in driver.sent["r"]} == {limits.not_after_us} and len(driver.sent["r"]) == 2


# ---- rows


def test_the_group_of_a_row_is_that_of_its_first_entry() -> None:
    entries = (
        Attempt("s-1", 1.0), *site_attempt("east", 1.0), group_attempt(ServerGroup("a zone", -1), 2.0),
        group_attempt(ZONE_1, 3.0),
    )  # fmt: skip
    assert group_of_attempts(entries) == ServerGroup("a zone", -1)
    assert without_places(entries) == (Attempt("s-1", 1.0),)
    assert group_of_attempts((Attempt("group of nodes", 1.0),)) is None


@pytest.mark.parametrize("restarted", [False, True])
def test_a_stored_report_is_sent_again_only_to_the_group_where_it_may_have_run(
    restarted: bool, tmp_path: Path
) -> None:
    zoned = [GRADES[0], {**GRADES[1], "group": "zone", "keyTtlUs": 1_500_000}]
    lost: list[str] = []

    async def first_zone_is_lost(
        seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not lost:
            lost.append(seen.node.name)
        if (seen.node.name in ("s", "s2")) is (lost[0] in ("s", "s2")):
            seen.node.stop()
        else:
            writer.write(ok())

    def zone_of(name: str) -> str:
        return "a" if name in ("s", "s2") else "b"

    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            options: dict[str, Any] = {
                "zones": ("a", "b"),
                "grades": zoned,
                "poll_interval_us": 50_000,
                "nodes": 4,
                "attempts": 4,
                "delivery_us": 300_000,
            }
            w = await stack.enter_async_context(
                recording_proxy(tmp_path / "r", first_zone_is_lost, **options)
            )
            w.stage.begin_polling()
            assert (await w.ask("k")).status == 502
            if restarted:
                await until(lambda: not w.stage.journal.entries)
                w.stage.stop()
                w = await stack.enter_async_context(
                    recording_proxy(tmp_path / "r", first_zone_is_lost, **options)
                )
                w.stage.begin_polling()

            def states() -> list[State]:
                return [r.state for r in read_rows(tmp_path / "r")]

            await until(lambda: states() == [State.UNKNOWN], "the end of the window")
            names = {seen.node.name for seen in w.node.seen}
            assert {zone_of(n) for n in names} <= {zone_of(lost[0])}
            (row,) = read_rows(tmp_path / "r")
            group = group_of_attempts(row.attempts)
            assert group is not None and group.zone == zone_of(lost[0])
            w.stage.stop()

    run(main())


@pytest.mark.parametrize("named", [True, False])
def test_a_row_without_a_group_may_have_run_anywhere(named: bool) -> None:
    attempts = (group_attempt(ZONE_1, 1.0),) if named else ()
    row = journal_row(sent=Moment(1.0, "boot", 2.0), window_s=WINDOW_US / 1e6, attempts=attempts)
    assert repeat_limits(row, True, 7) == RepeatLimits(
        2_000_007, WINDOW_US, ZONE_1 if named else Unplaced.UNKNOWN
    )
    assert repeat_limits(row, False, 7).place is Unplaced.NOWHERE
