"""System calls that fail for a moment, as Linux documents: the proxy carries on, and does not count a local
failure against a node."""

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
from magpiefront.net.listening import ResourceShortage, accept_connection
from tests.sockets import request, run, running_proxy, until


def os_error(number: int) -> OSError:
    return OSError(number, os.strerror(number))


class FailingListener:
    """A listening socket whose first calls of `accept` fail with the given errors."""

    def __init__(self, failures: Iterator[OSError], real: socket.socket | None = None) -> None:
        self.failures, self.real = failures, real

    def accept(self) -> tuple[socket.socket, Any]:
        for error in self.failures:
            raise error
        if self.real is None:
            return socket.socketpair()[0], None
        return self.real.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)


@pytest.mark.parametrize("number", [errno.ECONNABORTED, errno.EPROTO, errno.ENETUNREACH, errno.EPERM])
def test_a_failed_connection_does_not_hide_the_next_one_in_the_queue(number: int) -> None:
    listener = FailingListener(iter([os_error(number)] * 3))
    accepted = accept_connection(cast(socket.socket, listener))
    assert accepted is not None and accepted.getblocking() is False
    accepted.close()


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
def test_a_shortage_of_descriptors_or_memory_is_reported(number: int) -> None:
    with pytest.raises(ResourceShortage):
        accept_connection(cast(socket.socket, FailingListener(iter([os_error(number)]))))


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ECONNABORTED])
def test_accepting_resumes_by_itself_after_a_failure(number: int) -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            assert w.front.socket is not None
            failing = FailingListener(iter([os_error(number)] * 3), w.front.socket)
            w.front.socket = cast(socket.socket, failing)
            assert (await w.ask()).status == 200  # the periodic sweep does not run in these tests

    run(main())


def test_the_accept_queue_is_emptied_before_the_listener_closes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(front, "MAX_ACCEPTS", 2)

    async def main() -> None:
        async with running_proxy(None) as w:
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
    """An event loop whose first calls of `create_connection` fail with the given errors."""

    def __init__(self, loop: asyncio.AbstractEventLoop, failures: Iterator[OSError]) -> None:
        self.loop, self.failures = loop, failures

    async def create_connection(self, *args: Any, **more: Any) -> Any:
        for error in self.failures:
            raise error
        return await self.loop.create_connection(*args, **more)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)


LOCAL_ERRNOS = [
    errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN, errno.ENFILE, errno.EMFILE, errno.ENOBUFS,
]  # fmt: skip


@pytest.mark.parametrize("number", LOCAL_ERRNOS)
def test_a_local_failure_to_connect_does_not_make_a_node_suspect(number: int) -> None:
    async def main() -> None:
        async with running_proxy(None, None) as w:
            failing = FailingLoop(w.proxy.loop, iter([os_error(number)]))
            w.proxy.pool.loop = cast(asyncio.AbstractEventLoop, failing)
            assert (await w.ask(kind="once")).status == 200
            assert w.outcomes() == [Outcome.MOOT, Outcome.OK] and not w.proxy.router.suspect_count

    run(main())


@pytest.mark.parametrize("number", [errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ETIMEDOUT])
def test_a_request_is_repeated_after_a_node_could_not_be_reached(number: int) -> None:
    async def main() -> None:
        async with running_proxy(None, None) as w:
            failing = FailingLoop(w.proxy.loop, iter([os_error(number)]))
            w.proxy.pool.loop = cast(asyncio.AbstractEventLoop, failing)
            assert (await w.ask(kind="once")).status == 200
            assert w.outcomes() == [Outcome.CONNECT_FAILED, Outcome.OK] and w.proxy.router.suspect_count == 1

    run(main())


def test_a_request_that_arrives_a_byte_at_a_time_is_served() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            client = await w.client()
            for byte in request("PUT", kind="once", body=b"value"):
                client.send(bytes([byte]))
                await asyncio.sleep(0)
            assert (await client.answer()).status == 200 and w.seen()[0].body == b"value"
            await until(lambda: not w.proxy.requests)

    run(main())


def test_the_deadline_for_a_node_counts_the_time_before_the_accept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a deadline that counts from the accept: when the proxy had run out of descriptors, that
    was up to 0.2 s after the client's last byte."""

    async def main() -> None:
        async with running_proxy(None) as w:
            room = asyncio.Event()

            def accept_without_room(listener: socket.socket) -> socket.socket | None:
                if not room.is_set():
                    raise ResourceShortage("too many open files")
                return accept_connection(listener)

            monkeypatch.setattr(front, "accept_connection", accept_without_room)
            client = await w.client()
            client.send(request(kind="once", deadline="0.9"))
            sent = time.monotonic()
            await until(lambda: w.front.queue_since_us, "the shortage")
            await asyncio.sleep(0.2)
            waited_s = time.monotonic() - sent
            room.set()
            assert (await client.answer()).status == 200
            deadline_s = float(w.nodes[0].seen[0].headers["req-deadline"])
            assert deadline_s <= 0.9 - waited_s + 0.01
            client.send(request(kind="once", deadline="0.9"))
            assert (await client.answer()).status == 200
            assert float(w.nodes[0].seen[1].headers["req-deadline"]) > 0.8

    run(main())
