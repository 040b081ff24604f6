"""The hard cases of taking over: several processes of the program, and faults between them."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from magpiefront.record.books import SqliteBook
from magpiefront.record.rows import Id, Row, State
from standins import reports
from standins.drill import Fault, Plan
from standins.process import HANDED, Process
from standins.reports import Report, ask, held
from standins.takeover import GRADES, Round
from tests.takeover.test_drill import at_each_point, member, told

SHORT_S = 3.5  # a window that a test can wait for; a delivery still fits into it


def run(main: Coroutine[Any, Any, None], most_s: float = 120) -> None:
    asyncio.run(asyncio.wait_for(main, most_s))


def short(r: Round, window_s: float = SHORT_S) -> Round:
    grades = [{**g, **({"keyTtlUs": int(window_s * 1e6)} if "keyTtlUs" in g else {})} for g in GRADES]
    r.settings, r.archive.window_s = {**r.settings, "grades": grades}, window_s
    return r


async def stopped(p: Process) -> None:
    assert p.process is not None
    stat = Path(f"/proc/{p.process.pid}/stat")
    while stat.read_text().rpartition(")")[2].split()[0] != "T":
        await asyncio.sleep(0.02)


@pytest.mark.parametrize(("work", "past"), [("sqlite", True), ("postgres", False), ("group", True)])
def test_who_is_stopped_at_any_step_and_goes_on_later_does_nothing_twice(
    work: str, past: bool, tmp_path: Path
) -> None:
    async def stops(r: Round, point: str) -> str:
        if past:
            short(r)
        await member(r, "stop", point)
        first, others = r.processes[0], [p.port for p in r.processes[1:]]
        began, report = time.monotonic(), Report("k1", b"level=3.2")
        asked = asyncio.create_task(ask(report, first.port))
        await stopped(first)
        again = asyncio.create_task(told(Report("k1", report.body), others))
        # Where it holds a lock of the file, the others have to wait for it.
        await asyncio.wait({again}, timeout=2.5)
        if past and again.done():
            await asyncio.sleep(max(0.0, began + SHORT_S + 0.1 - time.monotonic()))
        first.go_on()
        status, after = (await asked)[0], await again
        await r._until_whole("after it goes on")
        await r.quiet()
        late = await told(Report("k1", report.body), [first.port])
        right = (after, late, r.archive.effects) == (200, 200, {"k1": 1})
        # "Nothing was done" is true of a try that had not begun.
        right = right and (status != 503 or point == "before Insert")
        return "fine" if right else str((status, after, late, r.archive.effects))

    at_each_point(stops, work, tmp_path, 6, 120)


# ---- safeguards, each taken out of the processes


async def guard(r: Round, *out: str) -> list[str]:
    """Stopped between its last look and the first byte, and past the window, but with time left."""
    await member(r, "stop", *out, "before Send")
    first, others = r.processes[0], [p.port for p in r.processes[1:]]
    asked = asyncio.create_task(ask(Report("k1", b"1"), first.port))
    await stopped(first)
    assert await told(Report("k1", b"1"), others) == 200
    await asyncio.sleep(SHORT_S + 0.1)
    first.go_on()
    await asked
    return [f"{key} had {n} effects" for key, n in r.archive.effects.items() if n > 1]


async def window(r: Round, *out: str) -> list[str]:
    """All die with a report that ran, and come back past its window."""
    await member(r, "at answered")
    assert await ask(Report("k1", b"1"), r.processes[0].port) == (0, 0.05)
    await asyncio.gather(*(p.kill() for p in r.processes))
    await asyncio.sleep(SHORT_S)
    for p in r.processes:
        p.program = ["-m", "tests.record.crashing", *out, "never"]
    await asyncio.gather(*(p.spawn() for p in r.processes))
    await r._until_whole("after all died")
    with suppress(TimeoutError):
        async with asyncio.timeout(3.0):
            await told(Report("k1", b"1"), [p.port for p in r.processes])
    assert r.archive.effects
    return [f"{key} had {n} effects" for key, n in r.archive.effects.items() if n > 1]


async def compare(r: Round, *out: str) -> list[str]:
    """Turned away by the nodes, and stopped before it frees the key; another one has taken it over since."""
    r.node.slots = 0
    await member(r, "stop", *out, "before Remove")
    first, others = r.processes[0], [p.port for p in r.processes[1:]]
    asked = asyncio.create_task(ask(Report("k1", b"1"), first.port))
    await stopped(first)
    r.node.slots = 64
    assert await told(Report("k1", b"1"), others) == 200
    first.go_on()
    await asked
    return [] if [state for _, state, _ in held(r.folder, None)] == ["confirmed"] else ["k1 is not held"]


@pytest.mark.parametrize("case", [guard, window, compare])
@pytest.mark.parametrize("out", [False, True])
def test_a_safeguard_that_is_taken_out_is_found(
    case: Any, out: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(reports, "DEADLINE_S", 6.0)
    monkeypatch.setattr(reports, "MOST_S", 8.0)

    async def main() -> None:
        r = short(Round(Plan(1, 3, work="sqlite"), tmp_path, relayed=False))
        try:
            found = await case(r, *(("without", case.__name__) if out else ()))
            assert bool(found) == out, found
        finally:
            r.processes[0].go_on()
            await r.end()

    run(main())


# ---- several at once, and at bad moments


@pytest.mark.parametrize(("work", "lost"), [("sqlite", 2), ("group", 2), ("postgres", 5)])
def test_several_of_five_are_lost_at_once(work: str, lost: int, tmp_path: Path) -> None:
    async def main() -> None:
        r = Round(Plan(1, 5, work=work), tmp_path, relayed=False)
        r.archive.time_s = 0.2
        try:
            await member(r)
            reports = [Report(f"k{n}", b"%d" % n) for n in range(10)]
            first = [p.port for p in r.processes]
            asked = [asyncio.create_task(ask(x, first[n % 5])) for n, x in enumerate(reports)]
            while len(r.node.ids) < 5:
                await asyncio.sleep(0.005)
            await asyncio.gather(*(p.kill() for p in r.processes[:lost]))
            await asyncio.gather(*asked)
            if lost == 5:
                await asyncio.gather(*(p.spawn() for p in r.processes))
                await r._until_whole("after all died")
            ports = [p.port for p in r.processes[lost % 5 :]]
            assert set(await asyncio.gather(*(told(x, ports) for x in reports))) == {200}
            assert r.archive.effects == {x.key: 1 for x in reports}
        finally:
            await r.end()

    run(main())


@pytest.mark.parametrize("fault", ["cut", "one way", "bridge"])
def test_owner_and_taker_each_believe_that_it_is_theirs(fault: str, tmp_path: Path) -> None:
    async def main() -> None:
        r = Round(Plan(1, 3, work="sqlite"), tmp_path)
        r.node.slow_s = 1.5
        try:
            await member(r)
            r.node.slow_share = 1.0
            asked = asyncio.create_task(ask(Report("k1", b"1"), r.processes[0].port))
            while not r.node.busy:
                await asyncio.sleep(0.005)
            r.node.slow_share = 0.0
            who = (0, 1) if fault == "bridge" else (0,)
            strike = asyncio.create_task(r._strike(Fault(0.0, fault, who, 3.0), time.monotonic()))
            assert await told(Report("k1", b"1"), [r.processes[2].port]) == 200
            status = (await asked)[0]
            # Whether a bridge as such costs a session, the proof judges: here a busy machine can.
            assert status in ((200, 409) if fault == "bridge" else (200, 409, 504)), status
            await strike
            await r._until_whole("after the fault")
            assert await told(Report("k1", b"1"), [r.processes[0].port]) == 200
            assert r.archive.effects == {"k1": 1}
        finally:
            await r.end()

    run(main())


def test_with_the_store_on_one_side_and_the_majority_on_the_other_nobody_acts(tmp_path: Path) -> None:
    async def main() -> None:
        r = Round(Plan(1, 3, work="postgres"), tmp_path)
        try:
            await member(r)
            ports = [p.port for p in r.processes]
            assert {(await ask(Report(f"a{n}", b"1"), ports[n]))[0] for n in range(3)} == {200}
            strike = asyncio.create_task(r._strike(Fault(0.0, "cut", (0,), 4.0), time.monotonic()))
            for name in r.names[1:]:
                r.ways[name].cut()
            await asyncio.sleep(1.0)  # past each session
            for n, port in enumerate(ports):
                status, after_s = await ask(Report(f"b{n}", b"1"), port)
                assert status == 503 and after_s > 0
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"GET /api/g HTTP/1.1\r\nHost: x\r\nReq-Id: r%d\r\nReq-Kind: level-read\r\n"
                             b"Req-Deadline: 2.0\r\nConnection: close\r\n\r\n" % n)  # fmt: skip
                assert (await reader.read()).startswith(b"HTTP/1.1 200")
                writer.close()
            assert set(r.archive.effects) == {"a0", "a1", "a2"}
            await strike
            for way in r.ways.values():
                way.heal()
            await r._until_whole("after the cut")
            for n in range(3):
                assert await told(Report(f"b{n}", b"1"), ports[n:]) == 200
            assert set(r.archive.effects.values()) == {1}
        finally:
            await r.end()

    run(main())


def _owed(folder: Path, count: int) -> None:
    book = SqliteBook(folder / "record.sqlite", False)
    book.begin(True)
    now = time.time()
    for n in range(count):
        book.add(Row(
            Id("members", "field-report", b"o%d" % n), b"d", b"PUT", b"/api/g-o%d" % n, b"", b"1",
            State.STORED, now - 60, None, "", 8.0, 0.0,
        ))  # fmt: skip
    book.commit()
    book.close()


@pytest.mark.parametrize("moment", ["10,000 rows are owed", "every node is cold", "the list changes"])
def test_a_loss_in_a_bad_moment(moment: str, tmp_path: Path) -> None:
    async def main() -> None:
        r = Round(Plan(1, 3, work="sqlite"), tmp_path, relayed=False)
        r.archive.time_s = 0.2
        try:
            await member(r)
            entries = [{**r.node.entry(), "instanceId": f"new-{n}"} for n in range(4)]
            if moment.startswith("10"):
                _owed(tmp_path, 10_000)
                await asyncio.sleep(1.2)  # they are found
            elif moment.startswith("every"):
                r.discovery.set([{**e, "startedAtMs": time.time() * 1e3} for e in entries])
                await asyncio.sleep(0.3)
            reports = [Report(f"k{n}", b"1") for n in range(4)]
            asked = [asyncio.create_task(ask(x, r.processes[0].port)) for x in reports]
            while r.node.busy < 2:
                await asyncio.sleep(0.005)
            if moment.startswith("the"):
                old = {**r.node.entry(), "instanceId": "west-0", "lifecycle": "Terminating"}
                r.discovery.set([*entries, old])
            await r.processes[0].kill()
            await asyncio.gather(*asked)
            ports = [p.port for p in r.processes[1:]]
            assert set(await asyncio.gather(*(told(x, ports) for x in reports))) == {200}
            assert all(r.archive.effects[x.key] == 1 for x in reports)
            assert set(r.archive.effects.values()) == {1}
        finally:
            await r.end()

    run(main())


@pytest.mark.parametrize(("lost", "work"), [
    ("nobody", "group"), ("another", "sqlite"), ("the next", "sqlite"), ("the old", "group"),
])  # fmt: skip
def test_a_loss_during_an_upgrade(lost: str, work: str, tmp_path: Path) -> None:
    """Reports are in hand at all three; the last one is handed over to a next process, and one dies."""

    async def main() -> None:
        r = Round(Plan(1, 3, work=work), tmp_path, relayed=False)
        r.node.slow_share, r.archive.time_s, r.archive.places = 0.0, 0.05, 64
        try:
            await member(r)
            first, other, p = r.processes
            old, n = p.process, 0
            assert old is not None
            asked: list[tuple[Report, asyncio.Task[tuple[int, float]]]] = []

            async def asks(until: float) -> None:
                nonlocal n
                while asyncio.get_running_loop().time() < until:
                    for at in r.processes:
                        n += 1
                        report = Report(f"k{n}", b"1")
                        asked.append((report, asyncio.create_task(ask(report, at.port))))
                    await asyncio.sleep(0.15)

            load = asyncio.create_task(asks(asyncio.get_running_loop().time() + 4.0))
            upgrade = asyncio.create_task(p.upgrade(1.0))
            while HANDED not in p.log.read_text():
                await asyncio.sleep(0.005)
            match lost:
                case "another":
                    await first.kill()
                case "the next":
                    await p.kill()
                    assert old.returncode is None  # it goes on in its place until it is told to end
                case "the old":
                    old.kill()
                case _:
                    pass
            await asyncio.gather(load, upgrade)
            if lost == "the next":
                assert "the next process has ended" in p.log.read_text()
            statuses = [(await task)[0] for _, task in asked]
            if lost == "nobody":
                # Nothing is refused for it, nor broken off: reports at the next process wait for its part.
                assert set(statuses) <= {200, 409}, Counter(statuses)
            for gone in (first, p):
                if not gone.up:
                    await gone.spawn()
            await r._until_whole("after the upgrade")
            ports = [x.port for x in (other, p)]
            for i in range(0, len(asked), 20):
                found = await asyncio.gather(*(told(x, ports) for x, _ in asked[i : i + 20]))
                assert set(found) == {200}
            assert all(r.archive.effects[x.key] == 1 for x, _ in asked)
        finally:
            await r.end()

    run(main())


def test_a_member_of_before_there_were_epochs_is_never_claimed_early(tmp_path: Path) -> None:
    """It runs without a group over the same store, as a version does that knows none."""

    async def main() -> None:
        r = Round(Plan(1, 3, work="sqlite"), tmp_path, relayed=False)
        try:
            r.node.slow_share = 0.0
            await r.prepare()
            older = Process("older", tmp_path)
            file = (tmp_path / r.processes[0].operator).read_text()
            cut = file[: file.index("[group]")] + file[file.index("[record]") :]
            (tmp_path / older.operator).write_text(cut)
            older.config.write_text(r.processes[0].config.read_text().replace(
                f"127.0.0.1:{r.processes[0].port}", f"127.0.0.1:{older.port}"
            ))  # fmt: skip
            await asyncio.gather(*(p.spawn() for p in r.processes))
            await r._until_whole("at the start")
            await older.start()
            r.archive.time_s = 0.3
            asked = asyncio.create_task(ask(Report("k1", b"1"), older.port))
            while not r.node.busy:
                await asyncio.sleep(0.005)
            began = time.monotonic()
            await older.kill()
            await asked
            assert await told(Report("k1", b"1"), [p.port for p in r.processes]) == 200
            assert time.monotonic() - began > 2.0  # its row's own time: the deadline and what it settles in
            assert r.archive.effects == {"k1": 1}
        finally:
            await r.end()

    run(main())
