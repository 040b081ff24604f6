"""What a request took, it gives back, however it ends: over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest

from magpiefront.interface import Outcome
from tests.sockets import Handler, World, gated, request, resets, run, says, silent, until, world

ERROR = says(b"HTTP/1.1 500 X\r\nContent-Length: 3\r\n\r\nbad")
DECLINED = says(b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")


async def nothing_is_held(w: World) -> None:
    await until(lambda: not w.proxy.requests, "the forgetting of every request")
    assert not w.proxy.router.pending and not w.proxy.router.in_flight
    assert not w.front.bodies.held and not w.proxy.streams


@pytest.mark.parametrize(
    ("handler", "status"), [(None, 200), (ERROR, 502), (DECLINED, 503), (resets, 502), (silent, 504)]
)
def test_an_ended_request_is_forgotten(handler: Handler | None, status: int) -> None:
    async def main() -> None:
        async with world(handler) as w:
            for n in range(5):
                assert (await w.ask("PUT", f"/api/{n}", "once", "0.15", b"value")).status == status
            await nothing_is_held(w)

    run(main())


def test_a_body_that_nobody_asked_for_is_not_held() -> None:
    async def main() -> None:
        async with world(None) as w:
            client = await w.client()
            for path in ("/ready", "/api/", "/api/k"):
                client.send(request(path=path, body=b"x" * 1000))
                assert (await client.answer()).status in (200, 404)
            await nothing_is_held(w)

    run(main())


@pytest.mark.parametrize(
    "answer",
    [
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\n\r\nwithout an end",
        b"HTTP/1.1 200 OK\r\nX: " + b"a" * 40_000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 500 X\r\nContent-Length: 10\r\n\r\nhalf",
    ],
    ids=["noise", "bad length", "half", "no end", "endless head", "bad chunk", "half an error"],
)
def test_a_connection_with_a_spoilt_answer_is_closed_by_the_proxy(answer: bytes) -> None:
    async def main() -> None:
        async with world(says(answer)) as w:
            for n in range(3):
                assert (await w.ask(path=f"/api/{n}", kind="once")).status == 502
            assert set(w.outcomes()) <= {Outcome.RESET, Outcome.ERROR}
            await until(lambda: not w.nodes[0].open, "the closing of the connections")
            assert w.proxy.pool.open == 0
            await nothing_is_held(w)

    run(main())


def test_a_request_whose_client_has_left_is_forgotten() -> None:
    async def main() -> None:
        async with world(silent) as w:
            client = await w.client()
            client.send(request("PUT", kind="once", body=b"value"))
            await until(w.seen)
            client.writer.close()
            await nothing_is_held(w)

    run(main())


def test_more_requests_than_may_be_open_at_once_are_served_one_after_the_other() -> None:
    async def main() -> None:
        async with world(None, permissions={"maxAttempts": 2, "mayCancel": True, "maxOpen": 3}) as w:
            client = await w.client()
            for _ in range(10):
                client.send(request())
                assert (await client.answer()).status == 200

    run(main())


def test_the_loser_of_two_copies_is_forgotten_with_its_request() -> None:
    async def main() -> None:
        gate = asyncio.Event()
        permissions = {"maxAttempts": 4, "secondCopies": True, "mayCancel": True}
        async with world(None, None, permissions=permissions) as w:
            assert (await w.ask()).status == 200  # kept from now on: a copy may be sent
            (first,) = w.seen()
            first.node.handler = gated(gate)
            assert (await w.ask()).status == 200
            assert len({s.node.name for s in w.seen()}) == 2
            await nothing_is_held(w)
            gate.set()

    run(main())
