"""Tests that no attempt of a keyed request arrives at a node after the window in which nodes drop repeats."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from magpiefront.interface import DedupScope, Fail, Outcome, Refuse
from magpiefront.repeat_limits import (
    FIRST_SENDING, MAX_PROCESS_DELAY_US, RepeatLimits, ServerGroup, Unplaced,
)  # fmt: skip
from tests.helpers import CLASSES, SETTINGS, RouterDriver
from tests.sockets import (
    PROXY_SETTINGS, Client, ProxyHarness, StallingReader, request, run, running_proxy, until,
)  # fmt: skip

WINDOW_US = 1_500_000
KEYED: dict[str, Any] = {
    "name": "keyed", "repeat": "idempotency_key", "group": "all", "keyTtlUs": WINDOW_US, "sloUs": 500_000,
    "giveUpUs": 8_000_000, "lateValue": 0.2,
}  # fmt: skip
GRADES = [PROXY_SETTINGS["grades"][0], KEYED, PROXY_SETTINGS["grades"][2]]
# One body that fits into the kernel's send buffer, and one that does not.
BODIES = [200_000, 8_000_000]


async def put(w: ProxyHarness, size: int) -> Client:
    """Sends a keyed request with a body of `size` bytes."""
    client = await w.client()
    client.send(request("PUT", kind="keyed", deadline="8", body=bytes(size), more="Idempotency-Key: k\r\n"))
    return client


async def read_on_and_count(w: ProxyHarness, *readers: StallingReader) -> int:
    """Lets the nodes read all that was sent to them. Returns how many requests came as a whole."""
    for reader in readers:
        reader.gate.set()
    await until(lambda: not any(n.open for n in w.nodes if n.handler in readers), "the end of connections")
    return sum(reader.whole for reader in readers)


@pytest.mark.parametrize("size", BODIES)
@pytest.mark.parametrize("earlier", [1, 2])
def test_no_repeat_arrives_after_the_window_while_its_body_is_being_written(earlier: int, size: int) -> None:
    async def main() -> None:
        resets = [1] * earlier
        slow = [StallingReader(resets) for _ in range(3)]
        async with running_proxy(*slow, grades=GRADES) as w:
            began = w.proxy.now_us()
            client = await put(w, size)
            answer = await client.answer()
            assert w.proxy.now_us() - began < 4_000_000  # at the end of the window, not at the deadline
            assert answer.status == 502, "whether it ran is not known, and a repeat may have a second effect"
            assert not resets and sum(reader.begun for reader in slow) == 1
            assert await read_on_and_count(w, *slow) == 0

    run(main())


@pytest.mark.parametrize("size", BODIES)
def test_an_attempt_that_timed_out_does_not_arrive_after_the_window(size: int) -> None:
    async def main() -> None:
        slow = [StallingReader(), StallingReader()]
        async with running_proxy(*slow, grades=GRADES) as w:
            client = await put(w, size)
            await until(lambda: any(reader.begun for reader in slow))
            first = next(reader for reader in slow if reader.begun)
            second = next(reader for reader in slow if reader is not first)
            second.gate.set()
            answer = await client.answer()
            await asyncio.sleep(WINDOW_US / 1e6)
            assert await read_on_and_count(w, first) == 0
            assert (answer.status == 200) is (second.whole == 1)

    run(main())


def test_a_client_that_leaves_takes_back_what_has_not_arrived() -> None:
    async def main() -> None:
        slow = StallingReader()
        async with running_proxy(slow, grades=GRADES) as w:
            client = await put(w, BODIES[0])
            await until(lambda: slow.begun)
            client.writer.transport.abort()
            await until(lambda: not w.proxy.requests)
            assert await read_on_and_count(w, slow) == 0

    run(main())


def test_a_connection_that_carried_a_long_body_is_reused_and_closes_as_usual() -> None:
    async def main() -> None:
        reader = StallingReader()
        reader.gate.set()
        async with running_proxy(reader, grades=GRADES) as w:
            for _ in range(2):
                client = await put(w, BODIES[0])
                assert (await client.answer()).status == 200
                w.advance_past_rest()
            assert reader.whole == 2 and w.nodes[0].connections == 1
            connection = next(iter(w.proxy.pool.idle))
            assert not connection.discarding

    run(main())


# ---- the decisions


def test_every_attempt_beside_another_one_must_arrive_within_the_window_of_the_first() -> None:
    driver = RouterDriver()
    driver.arrive("r1", cls="write", key=3)
    driver.advance(1_000)
    began = driver.now
    for outcome in (Outcome.RESET, Outcome.ERROR, Outcome.MOOT):
        driver.end("r1", outcome)
        driver.advance(1_000)
    window = next(c.window_us for c in CLASSES if c.name == "write")
    first, *further = driver.sent["r1"]
    assert first.not_after_us == 0, "an attempt without another one can have no second effect"
    assert {s.not_after_us for s in further} == {began - 1_000 + window - MAX_PROCESS_DELAY_US}


@pytest.mark.parametrize(("after_us", "answer"), [(300_000, Refuse), (900_000, Fail)])
def test_a_request_that_may_have_run_is_refused_only_while_a_repeat_is_dropped(
    after_us: int, answer: type
) -> None:
    driver = RouterDriver(replace(SETTINGS, max_attempts=1))
    driver.arrive("r1", cls="write", key=3)
    driver.advance(after_us)
    assert [type(a) for a in driver.end("r1", Outcome.RESET)] == [answer]


GROUPS = st.builds(ServerGroup, st.sampled_from(["", "a", "b"]), st.integers(-1, 2))


@given(
    st.integers(1, 10**7), st.integers(0, 10**7), GROUPS, GROUPS, st.sampled_from(DedupScope),
    st.integers(0, 3 * 10**7),
)  # fmt: skip
def test_limits_bind_by_the_first_sending_alone(
    sent: int, window: int, first: ServerGroup, other: ServerGroup, scope: DedupScope, now: int
) -> None:
    limits = FIRST_SENDING.after_attempt(sent, window, first)
    assert limits.after_attempt(sent + 1, window, other) == limits, "a later attempt moves no limit"
    assert limits.may_have_run and limits.allow_group(first, scope)
    assert limits.allow_group(other, scope) is first.shares_keys_with(other, scope)
    if limits.allow_sending(now):
        assert sent <= now < sent + max(1, window)
    unknown = RepeatLimits(sent, window, Unplaced.UNKNOWN)
    assert unknown.allow_group(other, scope) is (scope is DedupScope.ALL)
    assert FIRST_SENDING.allow_sending(now) and FIRST_SENDING.allow_group(other, scope)
