"""Takeover in rare conditions: suspended processes, several losses at once, partitions, and losses during an
upgrade."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from magpiefront.record.report_stores import SqliteReportStore
from magpiefront.record.rows import Id, Row, State
from standins import reports
from standins.drill import Fault, Plan
from standins.process import HANDOVER_MESSAGE, Process
from standins.reports import DEADLINE_S, Report, send_report, read_rows
from standins.takeover import CLASSES, Round
from tests.takeover.test_drill import retry_until_ok, run_at_each_point, start_members

SHORT_WINDOW_S = 3.5  # short enough for a test to wait for, long enough for a delivery


def run(main: Coroutine[Any, Any, None], timeout_s: float = 120) -> None:
    asyncio.run(asyncio.wait_for(main, timeout_s))


def with_short_window(r: Round, window_s: float = SHORT_WINDOW_S) -> Round:
    """Sets the dedup window of all classes and of the archive."""
    grades = [{**g, **({"keyTtlUs": int(window_s * 1e6)} if "keyTtlUs" in g else {})} for g in CLASSES]
    r.settings, r.archive.dedup_window_s = {**r.settings, "grades": grades}, window_s
    return r


async def wait_until_stopped(p: Process) -> None:
    """Waits until the process is suspended by SIGSTOP."""
    assert p.process is not None
    stat = Path(f"/proc/{p.process.pid}/stat")
    while stat.read_text().rpartition(")")[2].split()[0] != "T":
        await asyncio.sleep(0.02)


def record_insert_owners(r: Round) -> list[str]:
    """Returns a list to which the owner of each report is added that the PostgreSQL stand-in inserts from now
    on, even if the transaction is rolled back. The list stays empty for any other store."""
    owners: list[str] = []
    if r.pg is not None:
        r.pg.db.create_function("record_owner", 1, owners.append)
        r.pg.db.execute(
            "CREATE TEMP TRIGGER insert_owners AFTER INSERT ON reports "
            "BEGIN SELECT record_owner(new.owner); END"
        )
    return owners


@pytest.mark.parametrize(("work", "past_window"), [("sqlite", True), ("postgres", False), ("group", True)])
def test_a_process_suspended_at_any_step_does_nothing_twice(
    work: str, past_window: bool, tmp_path: Path
) -> None:
    async def suspend(r: Round, point: str) -> str:
        if past_window:
            with_short_window(r)
        await start_members(r, "stop", point)
        insert_owners = record_insert_owners(r)
        first, others = r.processes[0], [p.port for p in r.processes[1:]]
        began, report = time.monotonic(), Report("k1", b"level=3.2")
        reply_task = asyncio.create_task(send_report(report, first.port))
        await wait_until_stopped(first)
        retry_task = asyncio.create_task(retry_until_ok(Report("k1", report.body), others))
        # If the suspended process holds a lock on the file, the other processes have to wait for it.
        await asyncio.wait({retry_task}, timeout=2.5)
        if past_window and retry_task.done():
            await asyncio.sleep(max(0.0, began + SHORT_WINDOW_S + 0.1 - time.monotonic()))
        first.resume()
        status = (await reply_task)[0]
        has_inserted = any(owner.startswith(f"{first.name}.") for owner in insert_owners)
        retry_status = await retry_task
        await r.wait_until_converged("after it was resumed")
        await r.wait_until_none_open()
        late_status = await retry_until_ok(Report("k1", report.body), [first.port])
        as_expected = (retry_status, late_status, r.archive.effects) == (200, 200, {"k1": 1})
        # Status 503 says that nothing was done, which is true only of an attempt that has not begun. With a
        # database server, the insert waits in the process for a connection and is dropped if too little time
        # is left when it gets one: then the server has received no insert of this process.
        is_queued = work == "postgres" and point == "after Insert"
        not_begun = point == "before Insert" or (is_queued and not has_inserted)
        as_expected = as_expected and (status != 503 or not_begun)
        return "fine" if as_expected else str((status, retry_status, late_status, r.archive.effects))

    run_at_each_point(suspend, work, tmp_path, 6, 120)


def test_an_insert_queued_past_its_deadline_never_reaches_the_server(tmp_path: Path) -> None:
    """Status 503 says that nothing was done: the server must have received no insert and must hold no row."""

    async def main() -> None:
        r = Round(Plan(1, 3, work="postgres"), tmp_path, relayed=False)
        assert r.pg is not None
        statements: list[str] = []

        async def record_statement(statement: str) -> None:
            statements.append(statement)

        try:
            await start_members(r, "stop", "after Insert")
            r.pg.faults.before_statement = record_statement
            first, report = r.processes[0], Report("k1", b"level=3.2")
            reply_task = asyncio.create_task(send_report(report, first.port))
            await wait_until_stopped(first)
            await asyncio.sleep(DEADLINE_S)
            first.resume()
            assert (await reply_task)[0] == 503
            await r.wait_until_converged("after it was resumed")
            assert not [s for s in statements if s.startswith("INSERT INTO reports ")]
            assert (read_rows(r.folder, r.pg), r.archive.effects) == ([], {})
            assert await retry_until_ok(Report("k1", report.body), [first.port]) == 200
            assert [s for s in statements if s.startswith("INSERT INTO reports ")]
            assert r.archive.effects == {"k1": 1}
        finally:
            await r.close()

    run(main())


# ---- each safeguard disabled in turn; the functions are named as in `tests.record.crashing.SAFEGUARDS`.
# `options` are further arguments of `tests.record.crashing`: those that disable the safeguard, or none. Each
# function returns the violations that it found.


async def guard(r: Round, *options: str) -> list[str]:
    """The owner is suspended between its last check and the first byte that it sends, until the dedup window
    has passed but not the deadline."""
    await start_members(r, "stop", *options, "before Send")
    first, others = r.processes[0], [p.port for p in r.processes[1:]]
    reply_task = asyncio.create_task(send_report(Report("k1", b"1"), first.port))
    await wait_until_stopped(first)
    assert await retry_until_ok(Report("k1", b"1"), others) == 200
    await asyncio.sleep(SHORT_WINDOW_S + 0.1)
    first.resume()
    await reply_task
    return [f"{key} had {n} effects" for key, n in r.archive.effects.items() if n > 1]


async def window(r: Round, *options: str) -> list[str]:
    """All processes die while they have a report in hand that has run, and restart after its dedup window."""
    await start_members(r, "at answered")
    assert await send_report(Report("k1", b"1"), r.processes[0].port) == (0, 0.05)
    await asyncio.gather(*(p.kill() for p in r.processes))
    await asyncio.sleep(SHORT_WINDOW_S)
    for p in r.processes:
        p.program = ["-m", "tests.record.crashing", *options, "never"]
    await asyncio.gather(*(p.spawn() for p in r.processes))
    await r.wait_until_converged("after all died")
    with suppress(TimeoutError):
        async with asyncio.timeout(3.0):
            await retry_until_ok(Report("k1", b"1"), [p.port for p in r.processes])
    assert r.archive.effects
    return [f"{key} had {n} effects" for key, n in r.archive.effects.items() if n > 1]


async def compare(r: Round, *options: str) -> list[str]:
    """The nodes refuse the report, and the owner is suspended before it removes the row. Another member
    sends the report under the same key meanwhile."""
    r.node.slots = 0
    await start_members(r, "stop", *options, "before Remove")
    first, others = r.processes[0], [p.port for p in r.processes[1:]]
    reply_task = asyncio.create_task(send_report(Report("k1", b"1"), first.port))
    await wait_until_stopped(first)
    r.node.slots = 64
    assert await retry_until_ok(Report("k1", b"1"), others) == 200
    first.resume()
    await reply_task
    return [] if [state for _, state, _ in read_rows(r.folder, None)] == ["confirmed"] else ["k1 is not held"]


@pytest.mark.parametrize("case", [guard, window, compare])
@pytest.mark.parametrize("disabled", [False, True])
def test_a_disabled_safeguard_is_detected(
    case: Any, disabled: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(reports, "DEADLINE_S", 6.0)
    monkeypatch.setattr(reports, "ANSWER_TIMEOUT_S", 8.0)

    async def main() -> None:
        r = with_short_window(Round(Plan(1, 3, work="sqlite"), tmp_path, relayed=False))
        try:
            found = await case(r, *(("without", case.__name__) if disabled else ()))
            assert bool(found) == disabled, found
        finally:
            r.processes[0].resume()
            await r.close()

    run(main())


# ---- several losses at once, and losses during other events


@pytest.mark.parametrize(("work", "lost"), [("sqlite", 2), ("group", 2), ("postgres", 5)])
def test_loss_of_several_of_five_members_at_once(work: str, lost: int, tmp_path: Path) -> None:
    async def main() -> None:
        r = Round(Plan(1, 5, work=work), tmp_path, relayed=False)
        r.archive.service_time_s = 0.2
        try:
            await start_members(r)
            reports = [Report(f"k{n}", b"%d" % n) for n in range(10)]
            first = [p.port for p in r.processes]
            reply_tasks = [asyncio.create_task(send_report(x, first[n % 5])) for n, x in enumerate(reports)]
            while len(r.node.request_ids) < 5:
                await asyncio.sleep(0.005)
            await asyncio.gather(*(p.kill() for p in r.processes[:lost]))
            await asyncio.gather(*reply_tasks)
            if lost == 5:
                await asyncio.gather(*(p.spawn() for p in r.processes))
                await r.wait_until_converged("after all died")
            ports = [p.port for p in r.processes[lost % 5 :]]
            assert set(await asyncio.gather(*(retry_until_ok(x, ports) for x in reports))) == {200}
            assert r.archive.effects == {x.key: 1 for x in reports}
        finally:
            await r.close()

    run(main())


@pytest.mark.parametrize("fault", ["cut", "one way", "bridge"])
def test_a_partition_between_the_owner_and_the_claiming_member(fault: str, tmp_path: Path) -> None:
    async def main() -> None:
        r = Round(Plan(1, 3, work="sqlite"), tmp_path)
        r.node.slow_s = 1.5
        try:
            await start_members(r)
            r.node.slow_share = 1.0
            reply_task = asyncio.create_task(send_report(Report("k1", b"1"), r.processes[0].port))
            while not r.node.busy:
                await asyncio.sleep(0.005)
            r.node.slow_share = 0.0
            who = (0, 1) if fault == "bridge" else (0,)
            fault_task = asyncio.create_task(r.inject_fault(Fault(0.0, fault, who, 3.0), time.monotonic()))
            assert await retry_until_ok(Report("k1", b"1"), [r.processes[2].port]) == 200
            status = (await reply_task)[0]
            # The simulation of the group checks that a bridge alone makes no session expire. Here 409 is
            # accepted too, because a busy machine can make one expire.
            assert status in ((200, 409) if fault == "bridge" else (200, 409, 504)), status
            await fault_task
            await r.wait_until_converged("after the fault")
            assert await retry_until_ok(Report("k1", b"1"), [r.processes[0].port]) == 200
            assert r.archive.effects == {"k1": 1}
        finally:
            await r.close()

    run(main())


def test_no_member_acts_if_the_store_and_the_majority_are_partitioned(tmp_path: Path) -> None:
    async def main() -> None:
        r = Round(Plan(1, 3, work="postgres"), tmp_path)
        try:
            await start_members(r)
            ports = [p.port for p in r.processes]
            assert {(await send_report(Report(f"a{n}", b"1"), ports[n]))[0] for n in range(3)} == {200}
            fault_task = asyncio.create_task(r.inject_fault(Fault(0.0, "cut", (0,), 4.0), time.monotonic()))
            for name in r.names[1:]:
                r.store_relays[name].cut()
            await asyncio.sleep(1.0)  # longer than a session
            for n, port in enumerate(ports):
                status, after_s = await send_report(Report(f"b{n}", b"1"), port)
                assert status == 503 and after_s > 0
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"GET /api/g HTTP/1.1\r\nHost: x\r\nReq-Id: r%d\r\nReq-Kind: level-read\r\n"
                             b"Req-Deadline: 2.0\r\nConnection: close\r\n\r\n" % n)  # fmt: skip
                assert (await reader.read()).startswith(b"HTTP/1.1 200")
                writer.close()
            assert set(r.archive.effects) == {"a0", "a1", "a2"}
            await fault_task
            for relay in r.store_relays.values():
                relay.restore()
            await r.wait_until_converged("after the cut")
            for n in range(3):
                assert await retry_until_ok(Report(f"b{n}", b"1"), ports[n:]) == 200
            assert set(r.archive.effects.values()) == {1}
        finally:
            await r.close()

    run(main())


def add_unsent_rows(folder: Path, count: int) -> None:
    """Adds reports to the store's file that were accepted but never sent."""
    store = SqliteReportStore(folder / "record.sqlite", False)
    store.begin(True)
    now = time.time()
    for n in range(count):
        store.add(Row(
            Id("members", "field-report", b"o%d" % n), b"d", b"PUT", b"/api/g-o%d" % n, b"", b"1",
            State.STORED, now - 60, None, "", 8.0, 0.0,
        ))  # fmt: skip
    store.commit()
    store.close()


@pytest.mark.parametrize("moment", ["10,000 rows are unsent", "every node is cold", "the list changes"])
def test_a_loss_during_another_event(moment: str, tmp_path: Path) -> None:
    async def main() -> None:
        r = Round(Plan(1, 3, work="sqlite"), tmp_path, relayed=False)
        r.archive.service_time_s = 0.2
        try:
            await start_members(r)
            entries = [{**r.node.entry(), "instanceId": f"new-{n}"} for n in range(4)]
            if moment.startswith("10"):
                add_unsent_rows(tmp_path, 10_000)
                await asyncio.sleep(1.2)  # until the rows are found
            elif moment.startswith("every"):
                r.discovery.set([{**e, "startedAtMs": time.time() * 1e3} for e in entries])
                await asyncio.sleep(0.3)
            reports = [Report(f"k{n}", b"1") for n in range(4)]
            reply_tasks = [asyncio.create_task(send_report(x, r.processes[0].port)) for x in reports]
            while r.node.busy < 2:
                await asyncio.sleep(0.005)
            if moment.startswith("the"):
                old = {**r.node.entry(), "instanceId": "west-0", "lifecycle": "Terminating"}
                r.discovery.set([*entries, old])
            await r.processes[0].kill()
            await asyncio.gather(*reply_tasks)
            ports = [p.port for p in r.processes[1:]]
            assert set(await asyncio.gather(*(retry_until_ok(x, ports) for x in reports))) == {200}
            assert all(r.archive.effects[x.key] == 1 for x in reports)
            assert set(r.archive.effects.values()) == {1}
        finally:
            await r.close()

    run(main())


@pytest.mark.parametrize(("lost", "work"), [
    ("nobody", "group"), ("another", "sqlite"), ("the next", "sqlite"), ("the old", "group"),
])  # fmt: skip
def test_a_loss_during_an_upgrade(lost: str, work: str, tmp_path: Path) -> None:
    """All three proxies have reports in hand. The last one hands over to a new process, and the process
    `lost` dies meanwhile."""

    async def main() -> None:
        r = Round(Plan(1, 3, work=work), tmp_path, relayed=False)
        r.node.slow_share, r.archive.service_time_s, r.archive.concurrency = 0.0, 0.05, 64
        try:
            await start_members(r)
            first, other, p = r.processes
            old, n = p.process, 0
            assert old is not None
            sent: list[tuple[Report, asyncio.Task[tuple[int, float]]]] = []

            async def send_reports(until: float) -> None:
                nonlocal n
                while asyncio.get_running_loop().time() < until:
                    for process in r.processes:
                        n += 1
                        report = Report(f"k{n}", b"1")
                        sent.append((report, asyncio.create_task(send_report(report, process.port))))
                    await asyncio.sleep(0.15)

            load = asyncio.create_task(send_reports(asyncio.get_running_loop().time() + 4.0))
            upgrade = asyncio.create_task(p.upgrade(1.0))
            while HANDOVER_MESSAGE not in p.log.read_text():
                await asyncio.sleep(0.005)
            match lost:
                case "another":
                    await first.kill()
                case "the next":
                    await p.kill()
                    assert old.returncode is None  # the old process continues until it has to end
                case "the old":
                    old.kill()
                case _:
                    pass
            await asyncio.gather(load, upgrade)
            if lost == "the next":
                assert "the next process has ended" in p.log.read_text()
            statuses = [(await task)[0] for _, task in sent]
            if lost == "nobody":
                # Nothing is refused or broken off: reports at the next process wait until it is the member.
                assert set(statuses) <= {200, 409}, Counter(statuses)
            for process in (first, p):
                if not process.is_running:
                    await process.spawn()
            await r.wait_until_converged("after the upgrade")
            ports = [x.port for x in (other, p)]
            for i in range(0, len(sent), 20):
                found = await asyncio.gather(*(retry_until_ok(x, ports) for x, _ in sent[i : i + 20]))
                assert set(found) == {200}
            assert all(r.archive.effects[x.key] == 1 for x, _ in sent)
        finally:
            await r.close()

    run(main())


def test_a_row_of_an_owner_without_an_epoch_is_not_claimed_early(tmp_path: Path) -> None:
    """The owner is a proxy without a group that uses the same store, as a version without groups does."""

    async def main() -> None:
        r = Round(Plan(1, 3, work="sqlite"), tmp_path, relayed=False)
        try:
            r.node.slow_share = 0.0
            await r.prepare()
            older = Process("older", tmp_path)
            file = (tmp_path / r.processes[0].operator_file).read_text()
            without_group = file[: file.index("[group]")] + file[file.index("[record]") :]
            (tmp_path / older.operator_file).write_text(without_group)
            older.config.write_text(r.processes[0].config.read_text().replace(
                f"127.0.0.1:{r.processes[0].port}", f"127.0.0.1:{older.port}"
            ))  # fmt: skip
            await asyncio.gather(*(p.spawn() for p in r.processes))
            await r.wait_until_converged("at the start")
            await older.start()
            r.archive.service_time_s = 0.3
            reply_task = asyncio.create_task(send_report(Report("k1", b"1"), older.port))
            while not r.node.busy:
                await asyncio.sleep(0.005)
            began = time.monotonic()
            await older.kill()
            await reply_task
            assert await retry_until_ok(Report("k1", b"1"), [p.port for p in r.processes]) == 200
            assert time.monotonic() - began > 2.0  # the time in its row: deadline plus settle time
            assert r.archive.effects == {"k1": 1}
        finally:
            await r.close()

    run(main())
