"""Answers to reports that end early: no client gets another body than the node's whole one."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path
from typing import Any


import pytest

from magpiefront.net.http1 import MAX_BUFFERED_BYTES
from magpiefront.net.proxy import Proxy
from magpiefront.record.commands import find_faults
from magpiefront.record.journal import RAN_NOTE, Change, Reply, row_after_window
from magpiefront.record.node_answer import BrokenAnswer, OversizedAnswer
from magpiefront.record.rows import Result, State, boot_id
from magpiefront.record.settings import GroupStoreSettings
from magpiefront.takeover.store import GroupStore
from standins.early_ends import EARLY_ENDS, EarlyEnd, body_for, write_early_end
from tests.record.sockets import RecordingProxy, recording_proxy
from tests.record.test_journal import ID, NOW, S, journal_at, row
from tests.takeover.test_store import SingleMemberGroup
from tests.sockets import Answer, Handler, ReceivedRequest, ok, reply, run, until


def ends_early(early_ends: dict[str, EarlyEnd], runs: dict[str, int]) -> Handler:
    """Returns a handler that runs each report and ends its first answer early; a repeat gets the whole
    answer. `early_ends` and `runs`, the number of runs, are by key; a repeat is no run."""

    async def handler(
        seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:  # fmt: skip
        key = seen.headers["idempotency-key"]
        body = body_for(key, early_ends[key].size)
        if key in runs:
            writer.write(ok(body))
        else:
            runs[key] = 1
            await write_early_end(writer, early_ends[key], body)

    return handler


def test_an_answer_that_breaks_off_is_not_served_as_a_whole_one(tmp_path: Path) -> None:
    runs: dict[str, int] = {}
    early_end = EarlyEnd(chunked=True, cut="half way", end="reset", size=2_000)

    async def main() -> None:
        async with recording_proxy(tmp_path / "r.sqlite", ends_early({"k1": early_end}, runs)) as proxy:
            first, joined = await asyncio.gather(proxy.ask(deadline_s="3"), proxy.ask(deadline_s="3"))
            assert first.status == joined.status == 409  # the Router gave up after that attempt
            await until(lambda: proxy.rows()[0].until_s == 0)
            assert proxy.rows()[0].state is State.SENT and proxy.rows()[0].answer is None
            repeat = await proxy.ask(deadline_s="3")
            assert (repeat.status, repeat.body) == (200, body_for("k1", early_end.size))

    run(main())


@pytest.mark.parametrize("chunked", [True, False], ids=["chunks", "length"])
@pytest.mark.parametrize(("most_answer", "size"), [(1_024, 2_000), (1_024, 65_536), (64 << 10, 70_000)])
def test_an_answer_too_long_to_be_stored_is_no_success_for_repeats(
    chunked: bool, most_answer: int, size: int, tmp_path: Path
) -> None:
    body = body_for("k1", size)
    whole = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (size, body)

    async def main() -> None:
        handler = reply(whole if chunked else ok(body))
        async with recording_proxy(tmp_path / "r.sqlite", handler, most_answer=most_answer) as proxy:
            first = await proxy.ask()
            if size <= MAX_BUFFERED_BYTES:
                assert (first.status, first.body) == (200, body)
            else:
                assert first.status == 409 and b"had its effect" in first.body
            repeat = await proxy.ask()
            assert repeat.status == 409 and b"had its effect" in repeat.body
            assert "retry-after" not in repeat.headers and len(proxy.node.seen) == 1
            assert proxy.rows()[0].state is State.CONFIRMED

    run(main())


def test_a_refusal_too_long_to_be_stored_keeps_its_status() -> None:
    journal = journal_at("a")
    (change,) = journal.answered(NOW, ID, OversizedAnswer(404, 70_000), True, ())
    assert isinstance(change, Change) and change.after.answer is not None
    assert (change.after.state, change.after.answer.status) == (State.CONFIRMED, 404)


async def first_and_second(proxy: RecordingProxy, key: str) -> tuple[Answer, Answer]:
    """Sends a report, and repeats it 0.5 s after its first answer."""
    first = await proxy.ask(key, deadline_s="3")
    await asyncio.sleep(0.5)
    return first, await proxy.ask(key, deadline_s="3")


def group_store(proxy: Proxy) -> GroupStore:
    """A store that a group of one member replicates."""
    return GroupStore(proxy, SingleMemberGroup(), GroupStoreSettings(), boot_id())


async def play(path: Path, early_ends: dict[str, EarlyEnd], attempts: int, **options: Any) -> list[str]:
    """Plays two tries of each report against a new proxy. Returns the reports that were not answered as they
    have to be: the first try whole if there are attempts left for it, and never wrong; the second whole."""
    runs: dict[str, int] = {}
    wrong: list[str] = []
    async with recording_proxy(path, ends_early(early_ends, runs), attempts, nodes=4, **options) as proxy:
        tries = await asyncio.gather(*(first_and_second(proxy, key) for key in early_ends))
    for (key, early_end), (first, second) in zip(early_ends.items(), tries, strict=True):
        body = body_for(key, early_end.size)
        if (first.status == 200 and first.body != body) or (attempts > 1 and first.status != 200):
            wrong.append(f"{early_end}: first {first.status}, {len(first.body)} bytes")
        if (second.status, second.body) != (200, body):
            wrong.append(f"{early_end}: second {second.status}, {len(second.body)} bytes")
    return wrong + [f"{key} ran {count} times" for key, count in runs.items() if count != 1]


@pytest.mark.parametrize(
    ("attempts", "options"), [(1, {}), (3, {}), (3, {"group_store": group_store})], ids=["1", "3", "group"]
)
def test_a_report_whose_answer_ended_early_is_tried_again_and_served_whole(
    attempts: int, options: dict[str, Any], tmp_path: Path
) -> None:
    async def main() -> None:
        keyed = [(f"k{n}", early_end) for n, early_end in enumerate(EARLY_ENDS)]
        # A few reports for each proxy, so that its retry budget suffices for all of them.
        batches = [dict(keyed[n : n + 6]) for n in range(0, len(keyed), 6)]
        found = await asyncio.gather(
            *(play(tmp_path / f"r{n}.sqlite", batch, attempts, **options) for n, batch in enumerate(batches))
        )
        assert not [line for lines in found for line in lines]

    run(main())


def trickles(duration_s: float, body: bytes) -> Handler:
    """Returns a handler that sends a chunked answer evenly within `duration_s`."""

    async def handler(
        seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:  # fmt: skip
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for n in range(0, len(body), 100):
            writer.write(b"%x\r\n%b\r\n" % (len(body[n : n + 100]), body[n : n + 100]))
            await writer.drain()
            await asyncio.sleep(duration_s * 100 / len(body))
        writer.write(b"0\r\n\r\n")

    return handler


@pytest.mark.parametrize(("duration_s", "in_time"), [(1.2, True), (4.0, False)])
def test_a_slow_answer_is_whole_in_time_and_frees_its_key_at_the_deadline(
    duration_s: float, in_time: bool, tmp_path: Path
) -> None:
    body = body_for("k1", 2_000)

    async def main() -> None:
        async with recording_proxy(tmp_path / "r.sqlite", trickles(duration_s, body)) as proxy:
            first = await proxy.ask(deadline_s="2")
            assert (first.status, first.body == body) == ((200, True) if in_time else (504, False))
            await until(lambda: not proxy.stage.journal.entries)
            if not in_time:
                await until(lambda: proxy.node.open == 0)
                proxy.node.handler = reply(ok(body))
            repeat = await proxy.ask(deadline_s="2")
            assert (repeat.status, repeat.body) == (200, body)

    run(main())


def test_a_long_answer_that_stands_still_holds_its_key_until_the_deadline_only(tmp_path: Path) -> None:
    runs: dict[str, int] = {}
    early_end = EarlyEnd(chunked=True, cut="half way", end="standstill", size=200_000)

    async def main() -> None:
        handler = ends_early({"k1": early_end}, runs)
        async with recording_proxy(tmp_path / "r.sqlite", handler, most_answer=256 << 10) as proxy:
            assert (await proxy.ask(deadline_s="0.6")).status == 504
            repeat = await proxy.ask(deadline_s="0.6")
            assert (repeat.status, repeat.body) == (200, body_for("k1", early_end.size))

    run(main())


def test_an_answer_without_a_length_is_not_confirmed_as_whole(tmp_path: Path) -> None:
    async def main() -> None:
        handler = reply(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of", close=True)
        async with recording_proxy(tmp_path / "r.sqlite", handler) as proxy:
            assert (await proxy.ask()).status == 409
            proxy.node.handler = reply(ok(b"half of it"))
            assert (await proxy.ask()).body == b"half of it"

    run(main())


def test_interim_answers_and_errors_that_break_off_change_nothing(tmp_path: Path) -> None:
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
    broken_error = b"HTTP/1.1 500 Oops\r\nContent-Length: 400\r\n\r\nsick"

    async def main() -> None:
        handler = reply(interim + broken_error, close=True)
        async with recording_proxy(tmp_path / "r.sqlite", handler) as proxy:
            assert (await proxy.ask()).status == 409
            proxy.node.handler = reply(interim + ok(b"held"))
            assert (await proxy.ask()).body == b"held"

    run(main())


def test_a_report_that_ran_without_an_answer_needs_no_person_after_the_window(tmp_path: Path) -> None:
    runs: dict[str, int] = {}
    early_end = EarlyEnd(chunked=True, cut="half way", end="reset", size=2_000)

    async def main() -> None:
        handler = ends_early({"k1": early_end}, runs)
        async with recording_proxy(tmp_path / "r.sqlite", handler) as proxy:
            assert (await proxy.ask()).status == 409
            await until(lambda: proxy.rows()[0].until_s == 0)
            (released,) = proxy.rows()
            assert released.note == RAN_NOTE
            assert released.sent is not None
            long_ago = released.sent._replace(up_s=released.sent.up_s - released.window_s)
            results: list[Result] = []
            until_us = proxy.proxy.now_us() + 2_000_000
            proxy.store.change(released, replace(released, sent=long_ago), until_us, results.append)
            await until(lambda: bool(results))
            for _ in range(2):
                answer = await proxy.ask()
                assert answer.status == 409 and b"had its effect" in answer.body
            await until(lambda: proxy.rows()[0].state is State.CONFIRMED)
            assert len(proxy.node.seen) == 1

    run(main())


def test_an_operator_is_told_of_a_report_that_ran_without_an_answer() -> None:
    journal = journal_at("a")
    reply, release = journal.answered(NOW, ID, BrokenAnswer(200), True, ())
    assert isinstance(reply, Reply) and reply.answer.status == 502
    assert isinstance(release, Change) and release.after.note == RAN_NOTE
    (change,) = journal.mark_unknown(NOW + 60 * S, release.after, "other")
    assert isinstance(change, Change) and change.after.state is State.CONFIRMED
    assert change.after.answer is not None and change.after.answer.status == 409
    assert not list(find_faults(change.after)) and change.after.note == RAN_NOTE
    assert row_after_window(row(), "other").state is State.UNKNOWN
