"""A request that must run once runs once, whoever sends its id again."""

from __future__ import annotations

import asyncio

import pytest

from magpiefront.request_ids import RequestIds
from tests.sockets import (
    Handler, ProxyHarness, gated, ok, reply, request, resets, run, running_proxy, silent, until,
)  # fmt: skip


def test_ids_are_kept_for_their_time_and_up_to_the_limit() -> None:
    ids = RequestIds(2)
    ids.remember(b"a", 100)
    ids.remember(b"a", 50)
    ids.remember(b"b", 200)
    assert ids.knows(b"a", 99) and not ids.knows(b"a", 100) and ids.is_full(99)
    assert not ids.is_full(100) and len(ids) == 1 and ids.snapshot(150) == [("b", 50)]
    ids.remember(b"b", 300)
    assert ids.is_full(150) and ids.knows(b"b", 250)
    assert not ids.is_full(200) and ids.knows(b"b", 250)


def test_long_ids_take_no_more_memory_than_short_ones() -> None:
    ids = RequestIds(2)
    ids.remember(b"x" * 30_000, 100)
    assert ids.knows(b"x" * 30_000, 50) and not ids.knows(b"x" * 29_999, 50)
    [(kept, _)] = ids.snapshot(0)
    assert len(kept) <= 64 and ids.knows(kept.encode("latin-1"), 50)


async def leave(w: ProxyHarness, message: bytes) -> None:
    """Sends a request and closes the connection once a node has it."""
    client = await w.client()
    seen = len(w.seen())
    client.send(message)
    await until(lambda: len(w.seen()) > seen)
    client.writer.transport.abort()
    await until(lambda: not w.front.clients)


@pytest.mark.parametrize("kind", ["once", "keyed", "read"])
def test_an_id_that_comes_again_after_its_client_has_left_runs_once(kind: str) -> None:
    async def main() -> None:
        gate = asyncio.Event()
        async with running_proxy(gated(gate), gated(gate)) as w:
            message = request("PUT", kind=kind, body=b"value")
            await leave(w, message)
            client = await w.client()
            client.send(message)
            if kind == "read":
                gate.set()
                assert (await client.answer()).status == 200
            else:
                assert (await client.answer()).status == 409 and len(w.seen()) == 1

    run(main())


@pytest.mark.parametrize("handler", [silent, resets, reply(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")])
def test_an_id_of_a_request_that_failed_and_may_have_run_is_not_sent_again(handler: Handler) -> None:
    async def main() -> None:
        async with running_proxy(handler) as w:
            message = request("PUT", kind="once", deadline="0.1", body=b"value")
            for status in ([502, 504], [409]):
                client = await w.client()
                client.send(message)
                assert (await client.answer()).status in status
            assert len(w.seen()) == 1

    run(main())


def test_an_id_whose_answer_its_client_may_not_have_got_is_not_sent_again() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            message = request("PUT", kind="once", body=b"value")
            client = await w.client()
            client.send(message)
            assert (await client.answer()).status == 200
            client.writer.transport.abort()
            await until(lambda: not w.front.clients)
            client = await w.client()
            client.send(message)
            assert (await client.answer()).status == 409 and len(w.seen()) == 1

    run(main())


def test_an_id_that_certainly_never_ran_may_be_sent_again() -> None:
    declined = b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"

    async def main() -> None:
        async with running_proxy(reply(declined)) as w:
            message = request("PUT", kind="once", body=b"value")
            for handler, status in ((None, 503), (reply(ok()), 200)):
                w.nodes[0].handler = handler or w.nodes[0].handler
                client = await w.client()
                client.send(message)
                assert (await client.answer()).status == status

    run(main())


def test_without_room_for_another_id_a_request_is_refused_and_not_sent() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            w.proxy.ids.limit = 1
            await leave(w, request("PUT", kind="once", body=b"value"))
            await until(lambda: len(w.proxy.ids) == 1)
            assert (await w.ask("PUT", kind="once", body=b"value")).status == 503
            assert (await w.ask()).status == 200 and len(w.seen()) == 2

    run(main())
