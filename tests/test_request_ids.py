"""A request that must run once runs once, whoever sends its id again."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import pytest

from magpiefront.repeat_limits import FIRST_SENDING
from magpiefront.net.request import Request
from magpiefront.request_ids import RequestIds
from tests.caching.sockets import caching_proxy
from tests.sockets import (
    PROXY_SETTINGS, Client, Handler, Node, ProxyHarness, gated, ok, reply, request, resets, run,
    running_proxy, silent, until,
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


def test_an_id_that_comes_again_behind_the_cache_runs_once() -> None:
    async def main() -> None:
        gate = asyncio.Event()
        node = Node("s", gated(gate))
        await node.start()
        async with caching_proxy(node.port, extra_grades=PROXY_SETTINGS["grades"]) as c:
            message = request("PUT", kind="once", body=b"value")
            first = Client(*await asyncio.open_connection("127.0.0.1", c.port))
            first.send(message)
            await until(lambda: bool(node.seen))
            first.writer.transport.abort()
            await until(lambda: not c.front.clients)
            again = Client(*await asyncio.open_connection("127.0.0.1", c.port))
            again.send(message)
            assert (await again.answer()).status == 409 and len(node.seen) == 1
            again.writer.close()
        node.stop()

    run(main())


# What a clone does not take over from its request, and why.
OWN_FIELDS = {
    **dict.fromkeys(("responder", "answered", "served", "streaming_attempt"), "its own answer"),
    **dict.fromkeys(("attempts", "in_flight", "last_outcome", "may_have_run"), "its own attempts"),
    **dict.fromkeys(("name", "deadline", "timeout_timer"), "set by the proxy that it is submitted to"),
    **dict.fromkeys(("error", "keep_alive", "held", "pipelined"), "of the client's connection"),
    "client_gone": "several clients may wait for a clone; a stage that sends it for one client sets it",
    "fields": "the stage gives the fields to forward in extra_fields",
}


def test_every_field_of_a_request_is_carried_by_its_clone_or_says_why_not() -> None:
    original, other = Request(Clone(), FIRST_SENDING), Clone()
    for number, name in enumerate(Request.__slots__):
        setattr(original, name, f"value {number}")
    clone = original.clone(other)
    carried = {n for n in Request.__slots__ if getattr(clone, n, None) == getattr(original, n)}
    assert carried | OWN_FIELDS.keys() == set(Request.__slots__) and not carried & OWN_FIELDS.keys()
    assert clone.responder is other


class Clone:
    """The responder of a clone that is never answered."""

    def answer(
        self, request: Request, status: int, body: Sequence[bytes] = (), more: bytes = b""
    ) -> None: ...  # fmt: skip
    def begin(self, request: Request, length: int | None, more: bytes, status: int = 200) -> None: ...
    def write_body(self, request: Request, body: bytes) -> None: ...
    def end(self, request: Request) -> None: ...
    def abort(self, request: Request) -> None: ...
