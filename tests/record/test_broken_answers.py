"""Answers to reports that end early: no client gets another body than the node's whole one."""

from __future__ import annotations

import asyncio
from pathlib import Path


import pytest

from magpiefront.net.http1 import MAX_BUFFERED_BYTES
from magpiefront.record.journal import Change
from magpiefront.record.node_answer import OversizedAnswer
from magpiefront.record.rows import State
from tests.record.broken_answers import EarlyEnd, body_for, ends_early
from tests.record.sockets import recording_proxy
from tests.record.test_journal import ID, NOW, journal_at
from tests.sockets import ok, reply, run, until


def test_an_answer_that_breaks_off_is_not_served_as_a_whole_one(tmp_path: Path) -> None:
    runs: dict[str, int] = {}
    early_end = EarlyEnd(chunked=True, cut="half way", end="reset", size=2_000)

    async def main() -> None:
        async with recording_proxy(tmp_path / "r.sqlite", ends_early(early_end, runs)) as proxy:
            first, joined = await asyncio.gather(proxy.ask(deadline_s="3"), proxy.ask(deadline_s="3"))
            assert first.status == joined.status == 502
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
