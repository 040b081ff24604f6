"""System calls that fail for a moment, as Linux documents: the proxy goes on, and holds it against nobody."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
import time
from collections.abc import Iterator
from typing import Any, cast

import pytest

from magpiefront.interface import Outcome
from magpiefront.net import front
from magpiefront.net.listening import NoRoom, accepted
from tests.sockets import request, run, until, world


def failure(number: int) -> OSError:
    return OSError(number, os.strerror(number))


class FailingListener:
    """A listening socket whose first calls of accept fail."""

    def __init__(self, failures: Iterator[OSError], real: socket.socket | None = None) -> None:
        self.failures, self.real = failures, real

    def accept(self) -> tuple[socket.socket, Any]:
        for failed in self.failures:
            raise failed
        if self.real is None:
            return socket.socketpair()[0], None
        return self.real.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)


@pytest.mark.parametrize("number", [errno.ECONNABORTED, errno.EPROTO, errno.ENETUNREACH, errno.EPERM])
def test_a_connection_that_has_gone_hides_none_behind_it(number: int) -> None:
    listener = FailingListener(iter([failure(number)] * 3))
    s = accepted(cast(socket.socket, listener))
    assert s is not None and s.getblocking() is False
    s.close()


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
def test_no_room_for_a_connection_is_said(number: int) -> None:
    with pytest.raises(NoRoom):
        accepted(cast(socket.socket, FailingListener(iter([failure(number)]))))


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ECONNABORTED])
def test_accepting_goes_on_by_itself_after_a_failure(number: int) -> None:
    async def main() -> None:
        async with world(None) as w:
            assert w.front.socket is not None
            failing = FailingListener(iter([failure(number)] * 3), w.front.socket)
            w.front.socket = cast(socket.socket, failing)
            assert (await w.ask()).status == 200  # no sweep runs in these worlds

    run(main())


def test_all_that_wait_are_accepted_before_the_listener_closes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(front, "ACCEPTS", 2)

    async def main() -> None:
        async with world(None) as w:
            clients = [socket.create_connection(("127.0.0.1", w.port)) for _ in range(7)]
            for c in clients:
                c.sendall(request())
            w.front.stop_accepting()
            for c in clients:
                c.setblocking(False)
                answer = await asyncio.get_running_loop().sock_recv(c, 1000)
                assert answer.startswith(b"HTTP/1.1 200 ")
                c.close()

    run(main())


class FailingLoop:
    """The event loop, but for connections that can't be made for a moment."""

    def __init__(self, loop: asyncio.AbstractEventLoop, failures: Iterator[OSError]) -> None:
        self.loop, self.failures = loop, failures

    async def create_connection(self, *args: Any, **more: Any) -> Any:
        for failed in self.failures:
            raise failed
        return await self.loop.create_connection(*args, **more)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)


OWN = [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN, errno.ENFILE, errno.EMFILE, errno.ENOBUFS]


@pytest.mark.parametrize("number", OWN)
def test_a_shortage_of_this_machine_is_not_held_against_a_node(number: int) -> None:
    async def main() -> None:
        async with world(None, None) as w:
            failing = FailingLoop(w.proxy.loop, iter([failure(number)]))
            w.proxy.pool.loop = cast(asyncio.AbstractEventLoop, failing)
            assert (await w.ask(kind="once")).status == 200
            assert w.outcomes() == [Outcome.MOOT, Outcome.OK] and not w.proxy.router.suspects

    run(main())


@pytest.mark.parametrize("number", [errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ETIMEDOUT])
def test_a_node_that_can_not_be_reached_never_ran_it(number: int) -> None:
    async def main() -> None:
        async with world(None, None) as w:
            failing = FailingLoop(w.proxy.loop, iter([failure(number)]))
            w.proxy.pool.loop = cast(asyncio.AbstractEventLoop, failing)
            assert (await w.ask(kind="once")).status == 200
            assert w.outcomes() == [Outcome.CONNECT_FAILED, Outcome.OK] and w.proxy.router.suspects == 1

    run(main())


def test_a_head_that_comes_a_byte_at_a_time_and_an_answer_that_goes_in_parts() -> None:
    async def main() -> None:
        async with world(None) as w:
            client = await w.client()
            for byte in request("PUT", kind="once", body=b"value"):
                client.send(bytes([byte]))
                await asyncio.sleep(0)
            assert (await client.answer()).status == 200 and w.seen()[0].body == b"value"
            await until(lambda: not w.proxy.requests)

    run(main())


def test_a_node_is_told_what_is_left_to_a_client_that_had_to_wait_to_be_accepted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its time counted from when the proxy had a descriptor for it, up to 0.2 s after its last byte."""

    async def main() -> None:
        async with world(None) as w:
            room = asyncio.Event()

            def short(listener: socket.socket) -> socket.socket | None:
                if not room.is_set():
                    raise NoRoom("too many open files")
                return accepted(listener)

            monkeypatch.setattr(front, "accepted", short)
            client = await w.client()
            client.send(request(kind="once", deadline="0.9"))
            sent = time.monotonic()
            await until(lambda: w.front.queue_since_us, "the shortage")
            await asyncio.sleep(0.2)
            waited_s = time.monotonic() - sent
            room.set()
            assert (await client.answer()).status == 200
            told = float(w.nodes[0].seen[0].headers["req-deadline"])
            assert told <= 0.9 - waited_s + 0.01
            client.send(request(kind="once", deadline="0.9"))
            assert (await client.answer()).status == 200
            assert float(w.nodes[0].seen[1].headers["req-deadline"]) > 0.8

    run(main())
