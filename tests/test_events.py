"""The event log: the form of its lines, and its rate limit for each kind of event."""

from __future__ import annotations

import asyncio
import logging

import pytest

from magpiefront.net.events import MAX_LINES, PERIOD_S, EventLog, Reason
from tests.sockets import PROXY_SETTINGS, gated, resets, run, running_proxy, until


@pytest.fixture
def event_lines(caplog: pytest.LogCaptureFixture) -> pytest.LogCaptureFixture:
    caplog.set_level(logging.INFO, logger="magpiefront.events")
    return caplog


def test_a_flood_of_one_kind_is_limited_and_counted_and_hides_no_other_kind(
    event_lines: pytest.LogCaptureFixture,
) -> None:
    now = 0.0
    log = EventLog(lambda: now)
    for n in range(100):
        log.emit("refused", Reason.ADMISSION, request=n)
    log.emit("list", generation=4)
    assert event_lines.messages[0] == "event=refused reason=admission request=0"
    assert event_lines.messages[MAX_LINES:] == ["event=list generation=4"]
    now = PERIOD_S
    log.emit("refused", Reason.BEHIND, request="x")
    assert event_lines.messages[-1] == f"event=refused reason=behind request=x left_out={100 - MAX_LINES}"


def test_retries_and_failures_are_logged_with_their_request_and_successes_are_not(
    event_lines: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            assert (await w.ask()).status == 200
            assert not any("request=" in line for line in event_lines.messages)
        async with running_proxy(resets, resets) as w:
            assert (await w.ask(kind="once")).status == 502
            await until(lambda: any("event=failed reason=exhausted" in line for line in event_lines.messages))
            await w.ask()
            assert any("event=retry reason=failed" in line for line in event_lines.messages)

    run(main())


def test_a_second_copy_is_logged_as_a_hedge_and_not_as_a_failure(
    event_lines: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        gate = asyncio.Event()
        permissions = {**PROXY_SETTINGS["permissions"], "secondCopies": True}
        async with running_proxy(gated(gate), gated(gate), permissions=permissions) as w:
            gate.set()
            await w.ask()  # only what a node has in its cache is hedged
            gate.clear()
            answer = asyncio.create_task(w.ask())
            await until(lambda: len(w.seen()) == 3, "the second copy")
            gate.set()
            assert (await answer).status == 200
            assert any("event=hedge request=" in line for line in event_lines.messages)
            assert not any("event=retry" in line for line in event_lines.messages)

    run(main())
