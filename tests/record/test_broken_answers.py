"""Answers to reports that end early: no client gets another body than the node's whole one."""

from __future__ import annotations

import asyncio
from pathlib import Path


from magpiefront.record.rows import State
from tests.record.broken_answers import EarlyEnd, body_for, ends_early
from tests.record.sockets import recording_proxy
from tests.sockets import run, until


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
