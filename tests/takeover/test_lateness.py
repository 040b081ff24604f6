"""How the drill's clients judge whether an answer came after its deadline."""

from __future__ import annotations

import asyncio
import time

import pytest

from standins import reports
from standins.reports import Report, send_report
from standins.takeover import LATENESS_TOLERANCE_S

ANSWER = b"HTTP/1.1 503 \r\nContent-Length: 0\r\n\r\n"


async def lateness(answer_after_s: float, block_at_s: float, block_s: float) -> float:
    """Returns by how much an answer is late if the server sends it after a time, and the client's loop is
    blocked at another time."""

    async def serve(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(answer_after_s)
        writer.write(ANSWER)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    report = Report("k1", b"1")
    asyncio.get_running_loop().call_later(block_at_s, time.sleep, block_s)
    await send_report(report, server.sockets[0].getsockname()[1])
    server.close()
    return report.late_s


@pytest.mark.parametrize(
    ("answer_after_s", "block_at_s", "block_s", "late"),
    [
        (0.45, 0.4, 0.8, False),  # sent and read late by the blocked loop alone
        (0.45, 0.0, 0.1, False),
        (1.2, 0.0, 0.1, True),
        (1.2, 0.6, 0.1, True),
        (1.2, 0.1, 0.3, True),  # the client could read again before the deadline
    ],
)
def test_only_the_program_makes_an_answer_late(
    answer_after_s: float, block_at_s: float, block_s: float, late: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(reports, "DEADLINE_S", 0.5)
    late_s = asyncio.run(lateness(answer_after_s, block_at_s, block_s))
    assert (late_s > LATENESS_TOLERANCE_S) is late
