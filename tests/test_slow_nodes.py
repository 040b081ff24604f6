"""Nodes that work slowly: an answer that is still being written is not given up while nothing better can
come."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from magpiefront.interface import Abandon, AnswerPaused, AttemptEnded, Outcome
from magpiefront.net import exchange
from tests.helpers import SETTINGS, RouterDriver, sends
from tests.sockets import (
    PROXY_SETTINGS, Handler, ReceivedRequest, reply, request, run, running_proxy, until,
)  # fmt: skip

HEDGING = {**PROXY_SETTINGS["permissions"], "secondCopies": True}
BODY = b"v" * 9_000


def writing(*parts: bytes, gap_s: float, framed: bool = True) -> Handler:
    """A handler that writes the head of an answer and then these parts, each after `gap_s` seconds."""

    async def handler(
        seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:  # fmt: skip
        length = f"Content-Length: {sum(len(part) for part in parts)}\r\n" if framed else ""
        writer.write(f"HTTP/1.1 200 OK\r\n{length}\r\n".encode())
        for part in parts:
            await asyncio.sleep(gap_s)
            writer.write(part)
        if not framed:
            writer.close()

    return handler


@pytest.mark.parametrize("kind", ["read", "keyed", "once"])
@pytest.mark.parametrize("hedging", [False, True])
def test_an_answer_whose_body_comes_late_at_every_node_is_served(kind: str, hedging: bool) -> None:
    async def main() -> None:
        slow = writing(BODY, gap_s=0.4)
        permissions = HEDGING if hedging else PROXY_SETTINGS["permissions"]
        async with running_proxy(slow, slow, permissions=permissions) as w:
            answer = await w.ask("PUT", kind=kind, deadline="5", body=b"x")
            assert (answer.status, answer.body) == (200, BODY)
            assert len(w.seen()) <= (1 if kind == "once" else 2)

    run(main())


@pytest.mark.parametrize("hedging", [False, True])
def test_a_node_that_pauses_in_its_answer_is_replaced_by_one_that_does_not(hedging: bool) -> None:
    async def main() -> None:
        permissions = HEDGING if hedging else PROXY_SETTINGS["permissions"]
        async with running_proxy(writing(BODY, gap_s=60), None, permissions=permissions) as w:
            statuses = [(await w.ask(path=f"/api/{n}", deadline="5")).status for n in range(6)]
            assert statuses == [200] * 6

    run(main())


@pytest.mark.parametrize("framed", [True, False])
def test_an_answer_that_is_still_arriving_at_its_deadline_is_passed_on_whole(framed: bool) -> None:
    async def main() -> None:
        parts = [BODY[n : n + 600] for n in range(0, len(BODY), 600)]
        async with running_proxy(writing(*parts, gap_s=0.05, framed=framed)) as w:
            answer = await w.ask(deadline="0.3")
            assert (answer.status, answer.body) == (200, BODY)
            assert len(w.seen()) == 1

    run(main())


def test_an_answer_that_stopped_is_not_begun_at_its_deadline() -> None:
    async def main() -> None:
        start = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"
        async with running_proxy(reply(start)) as w:
            assert (await w.ask(deadline="0.1")).status in (503, 504)

    run(main())


def test_a_quiet_stream_goes_on_unless_its_connection_is_needed() -> None:
    async def main() -> None:
        start = b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 100_000
        async with running_proxy(reply(start)) as w:
            client = await w.client()
            client.send(request())
            await client.reader.readexactly(100_000)
            await until(lambda: w.proxy.streams)
            [attempt] = w.proxy.streams
            assert attempt.connection is not None
            attempt.connection.last_data_at -= exchange.STREAM_STALL_S - 5
            w.proxy.sweep()
            assert w.proxy.streams
            w.proxy.pool.max_connections = w.proxy.pool.open
            w.proxy.sweep()
            assert not w.proxy.streams

    run(main())


def test_a_paused_answer_is_hedged_once_and_its_server_counts_as_failed_if_another_answers() -> None:
    driver = RouterDriver()
    [first] = sends(driver.arrive("x", key=1))
    [second] = sends(driver.handle(AnswerPaused("x", 0)))
    assert second.server != first.server and not sends(driver.handle(AnswerPaused("x", 1)))
    driver.handle(AttemptEnded("x", 1, second.server, Outcome.OK, 20_000, True))
    driver.handle(AttemptEnded("x", 0, first.server, Outcome.CANCELLED, 300_000, True))
    assert driver.router.servers[first.server].failures == 1


def test_without_second_copies_only_the_first_paused_answer_of_a_request_is_given_up() -> None:
    driver = RouterDriver(replace(SETTINGS, hedging=False))
    driver.arrive("x", key=1)
    assert driver.handle(AnswerPaused("x", 0)) == [Abandon("x", 0)]
    driver.end("x", Outcome.RESET)
    assert driver.handle(AnswerPaused("x", 1)) == []
    driver.arrive("u", "once", key=2)
    assert driver.handle(AnswerPaused("u", 0)) == []
    assert driver.handle(AnswerPaused("u", 7)) == driver.handle(AnswerPaused("none", 0)) == []
