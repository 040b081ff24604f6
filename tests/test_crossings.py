"""Races between two events on one connection or request; each test forces one order over loopback sockets."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Callable
from pathlib import Path

import pytest

from magpiefront.hashing import bytes_hash, splitmix64
from magpiefront.interface import Arrived, AttemptEnded, ClientLeft, Outcome
from magpiefront.net.downstream import ClientConnection
from magpiefront.net.exchange import DEADLINE_MARGIN_US, Exchange
from magpiefront.net.node_connection import NodeConnection
from magpiefront.net.pool import Node as PoolNode
from magpiefront.net.socket_state import SocketState
from standins.world import free_port
from tests.sockets import (
    PROXY_SETTINGS, Client, DiscoveryServer, Handler, Node, ReceivedRequest, ProxyHarness, gated, ok, request,
    resets, run, silent, until, running_proxy,
)  # fmt: skip
from tests.test_life import start

NO_CANCEL = {**PROXY_SETTINGS["permissions"], "mayCancel": False}


def blocking_client(w: ProxyHarness) -> socket.socket:
    """Returns a blocking client socket. Each call on it acts at once, without a turn of the event loop."""
    client_socket = socket.create_connection(("127.0.0.1", w.port))
    client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return client_socket


async def client_connection(w: ProxyHarness) -> ClientConnection:
    """Returns the proxy's end of the first client's connection."""
    await until(
        lambda: [connection for connection in w.front.clients if connection.transport is not None],
        "the connection",
    )
    return next(iter(w.front.clients))


class GatedConnects:
    """Delays connecting to nodes until `gate` is set, from the connection with the number `first` (from 1)
    on. `waiting` is the number of connections that have been delayed."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, first: int = 1) -> None:
        self.gate, self.waiting, begun = asyncio.Event(), 0, 0
        connect = PoolNode._connect

        async def gated_connect(node: PoolNode, connection: NodeConnection, exchange: Exchange) -> None:
            nonlocal begun
            begun += 1
            if begun >= first:
                self.waiting += 1
                await self.gate.wait()
            await connect(node, connection, exchange)

        monkeypatch.setattr(PoolNode, "_connect", gated_connect)


def in_two_chunks(gate: asyncio.Event) -> Handler:
    """Answers `hello` in two chunks, the second once the gate is set."""

    async def handler(
        seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:  # fmt: skip
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n")
        await gate.wait()
        writer.write(b"3\r\nllo\r\n0\r\n\r\n")

    return handler


# ---- an attempt that waits for its connection


@pytest.mark.parametrize("may_cancel", [True, False])
def test_client_leaves_while_its_request_waits_for_a_connection(
    may_cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        connects = GatedConnects(monkeypatch)
        async with running_proxy(None, permissions={**NO_CANCEL, "mayCancel": may_cancel}) as w:
            client = await w.client()
            client.send(request(kind="once"))
            await until(lambda: connects.waiting)
            client.writer.close()
            await until(lambda: any(isinstance(e, ClientLeft) for e in w.events))
            connects.gate.set()
            await until(lambda: not w.proxy.requests and not w.proxy.pool.open, "the end of the attempt")
            assert not w.seen()

    run(main())


def drain_node(w: ProxyHarness) -> None:
    w.lists.change(2, w.nodes[0].entry("Terminating"))


def exclude_node(w: ProxyHarness) -> None:
    assert w.proxy.set_excluded("s-0", out=True)


@pytest.mark.parametrize("leaves", [drain_node, exclude_node])
def test_node_leaves_while_a_connection_to_it_is_opened(
    leaves: Callable[[ProxyHarness], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        connects = GatedConnects(monkeypatch)
        async with running_proxy(None) as w:
            client = await w.client()
            client.send(request(kind="once"))
            await until(lambda: connects.waiting)
            leaves(w)
            await until(lambda: not w.proxy.router.servers)
            connects.gate.set()
            assert (await client.answer()).status == 503  # no attempt ran
            assert w.outcomes() == [Outcome.MOOT] and not w.seen()

    run(main())


def test_retry_window_ends_while_a_connection_is_opened(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        connects = GatedConnects(monkeypatch, first=2)
        async with running_proxy(resets, resets) as w:
            client = await w.client()
            began = w.proxy.now_us()
            client.send(request("PUT", kind="keyed", body=b"v", more="Idempotency-Key: k\r\n"))
            await until(lambda: connects.waiting)
            await until(lambda: w.proxy.now_us() > began + 200_000)  # the window is 150 ms
            connects.gate.set()
            await client.answer()
            assert len(w.seen()) == 1 and w.outcomes() == [Outcome.RESET, Outcome.MOOT]

    run(main())


def test_hedge_waiting_for_a_connection_is_not_sent_once_the_first_attempt_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        connects, gate = GatedConnects(monkeypatch, first=2), asyncio.Event()
        async with running_proxy(
            gated(gate), gated(gate), permissions={**NO_CANCEL, "secondCopies": True}
        ) as w:
            key = "/api/k1"
            # Without this the Router sends no second copy, since the key would only be fetched once more.
            w.proxy.router.cached_keys.add(_router_key(key))
            client = await w.client()
            client.send(request(path=key))
            await until(lambda: connects.waiting, "the second copy")
            gate.set()
            assert (await client.answer()).status == 200
            connects.gate.set()
            await until(lambda: not w.proxy.requests)
            assert len(w.seen()) == 1

    run(main())


def _router_key(path: str) -> int:
    return splitmix64(bytes_hash(path.rpartition("/")[2].encode()))


# ---- a client's close that the event loop has not read


@pytest.mark.parametrize("ended", [Outcome.RESET, Outcome.CONNECT_FAILED])
def test_no_retry_for_a_client_whose_close_has_not_been_read(ended: Outcome) -> None:
    async def main() -> None:
        hangs: list[bool] = []

        async def serves_at_first(
            seen: ReceivedRequest, _: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:  # fmt: skip
            if not hangs:
                writer.write(ok())

        async with running_proxy(serves_at_first, serves_at_first) as w:
            for n in range(20):  # opens connections, so that a retry does not have to wait for one
                assert (await w.ask(path=f"/api/{n}")).status == 200
            assert all(node.idle for node in w.proxy.pool.nodes.values())
            before = len(w.seen())
            hangs.append(True)
            client = blocking_client(w)
            client.sendall(request())
            await until(lambda: len(w.seen()) == before + 1)
            (open_request,) = w.proxy.requests.values()
            client.close()
            open_request.attempts[0].end(ended)  # without a turn of the event loop in between
            await until(lambda: not w.proxy.requests and not w.front.clients)
            assert len(w.seen()) == before + 1
            assert any(isinstance(e, ClientLeft) for e in w.events)

    run(main())


def test_hang_up_behind_pipelined_requests_is_detected() -> None:
    async def main() -> None:
        async with running_proxy(silent) as w:
            client = blocking_client(w)
            client.sendall(request())
            await until(w.seen)
            for _ in range(3):
                client.sendall(request())
                await asyncio.sleep(0.02)
            client.close()
            await until(lambda: not w.proxy.requests, max_checks=150)
            assert len(w.seen()) == 1

    run(main())


# ---- pipelined requests


def test_time_of_a_pipelined_request_counts_from_its_arrival() -> None:
    async def main() -> None:
        gate = asyncio.Event()
        async with running_proxy(gated(gate)) as w:
            client = await w.client()
            client.send(request(path="/api/0", deadline="0.9"))
            await until(w.seen)
            connection = await client_connection(w)
            for n in range(1, 4):
                client.send(request(path=f"/api/{n}", deadline="0.9"))
                due = n
                await until(lambda: len(connection.queued) == due, "the queueing of it", max_checks=100)  # noqa: B023
            gate.set()
            assert [(await client.answer()).status for _ in range(4)] == [200] * 4

    run(main())


def test_request_leaves_time_for_those_queued_behind_it() -> None:
    async def main() -> None:
        async with running_proxy(silent) as w:
            client = await w.client()
            client.send(request(deadline="0.9", kind="once") + request(deadline="0.2", kind="once"))
            first, second = await client.answer(), await client.answer()
            assert (first.status, second.status) == (504, 503)
            assert float(w.seen()[0].headers["req-deadline"]) <= 0.2 and len(w.seen()) == 1

    run(main())


def test_request_during_a_long_answer_does_not_corrupt_it() -> None:
    async def main() -> None:
        gate = asyncio.Event()

        async with running_proxy(in_two_chunks(gate)) as w:
            client = await w.client()
            client.send(request())
            await until(lambda: w.proxy.streams)
            connection = await client_connection(w)
            client.send(request(path="/api/behind"))
            await until(lambda: connection.queued, "the request behind")
            gate.set()
            for _ in range(2):
                answer = await client.answer()
                assert (answer.status, answer.body) == (200, b"hello")

    run(main())


def test_node_gets_a_shorter_deadline_than_the_client() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            for deadline, longest in (("0.9", 0.9 - DEADLINE_MARGIN_US / 1e6), ("0.04", 0.021)):
                await w.ask(deadline=deadline)
                assert 0 < float(w.seen()[-1].headers["req-deadline"]) <= longest

    run(main())


def test_partial_request_behind_an_open_one_times_out_in_order() -> None:
    async def main() -> None:
        gate = asyncio.Event()
        async with running_proxy(gated(gate)) as w:
            client = await w.client()
            client.send(request(kind="once") + request()[:40])
            await until(w.seen)
            connection = await client_connection(w)
            connection.sweep(connection.last_progress_at + 1.9)
            assert not connection.closing
            connection.sweep(connection.last_progress_at + 2.5)
            connection.sweep(connection.last_progress_at + 3.0)
            assert connection.closing and len(connection.queued) == 1
            gate.set()
            assert [(await client.answer()).status for _ in range(2)] == [200, 408]
            assert await client.ended() == b""

    run(main())


# ---- closing idle connections


def test_unread_request_keeps_its_connection_from_being_closed_as_idle() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            client = blocking_client(w)
            connection = await client_connection(w)
            client.sendall(request())
            connection.sweep(connection.last_progress_at + 60)  # before the event loop has read the request
            connection.front.stopping = True
            connection.last_progress_at -= 60
            w.front.close_idle()
            await until(w.seen)
            client.setblocking(False)
            answer = await asyncio.get_running_loop().sock_recv(client, 1000)
            assert answer.startswith(b"HTTP/1.1 200 ")
            client.close()

    run(main())


def test_request_after_the_end_of_an_idle_connection_is_dropped_without_reset() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            client = blocking_client(w)
            connection = await client_connection(w)
            connection.sweep(connection.last_progress_at + 60)
            client.sendall(request())
            client.setblocking(False)
            assert await asyncio.get_running_loop().sock_recv(client, 1000) == b""
            client.sendall(request())
            await asyncio.sleep(0.02)
            client.close()
            await until(lambda: not w.front.clients)
            assert not w.seen() and not any(isinstance(e, Arrived) for e in w.events)

    run(main())


def test_closing_connection_is_not_closed_as_idle() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            client = blocking_client(w)
            connection = await client_connection(w)
            connection.transport.abort()
            connection.sweep(connection.last_progress_at + 60)
            w.front.close_idle()
            await until(lambda: not w.front.clients)
            connection.sweep(connection.last_progress_at + 60)
            client.close()

    run(main())


# ---- a shutdown


def test_late_request_during_shutdown_is_answered_before_the_kill(tmp_path: Path) -> None:
    """Guards against losing answers in a shutdown: the platform may kill the process before the client's
    deadline."""

    async def main() -> None:
        node, lists, port = Node("s-0", silent), DiscoveryServer(), free_port()
        await node.start()
        await lists.start()
        process = await start(tmp_path, [node], lists, port, deadline_us=300_000)
        process.send_signal(signal.SIGTERM)
        while True:
            client = Client(*await asyncio.open_connection("127.0.0.1", port))
            client.send(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            status = (await client.answer()).status
            client.writer.close()
            if status == 503:
                break
        client = Client(*await asyncio.open_connection("127.0.0.1", port))
        client.send(request(kind="once", deadline="2.9"))
        await until(lambda: node.seen)
        assert float(node.seen[0].headers["req-deadline"]) <= 0.3 + 0.7
        answer = await client.answer()
        assert (answer.status, answer.headers["connection"]) == (504, "close")
        assert await client.ended() == b""
        client.writer.close()
        assert await process.wait() == 0
        node.stop()

    run(main())


@pytest.mark.parametrize("state", ["waits", "retried", "hedged", "streams"])
def test_shutdown_does_not_lose_the_answer_of_an_open_request(
    state: str, monkeypatch: pytest.MonkeyPatch
) -> None:  # fmt: skip
    async def main() -> None:
        gate, used = asyncio.Event(), list[ReceivedRequest]()

        async def handler(
            seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:  # fmt: skip
            used.append(seen)
            if state == "retried" and len(used) == 1:
                await resets(seen, reader, writer)
            elif state == "streams":
                await in_two_chunks(gate)(seen, reader, writer)
            else:
                await gate.wait()
                writer.write(ok())

        connects = GatedConnects(monkeypatch) if state == "waits" else None
        permissions = {**PROXY_SETTINGS["permissions"], "secondCopies": state == "hedged"}
        async with running_proxy(handler, handler, permissions=permissions) as w:
            w.proxy.router.cached_keys.add(_router_key("/api/k1"))
            client = await w.client()
            client.send(request())
            reached = {
                "waits": lambda: connects is not None and connects.waiting,
                "retried": lambda: len(used) == 2,
                "hedged": lambda: len(used) == 2,
                "streams": lambda: w.proxy.streams,
            }
            await until(reached[state], state)
            w.front.stopping = True
            w.proxy.answer_all_by(w.proxy.now_us() + 900_000)
            w.front.close_idle()
            if connects is not None:
                connects.gate.set()
            gate.set()
            answer = await client.answer()
            assert (answer.status, answer.body) == (200, b"hello")
            if state == "streams":  # the head was sent before the shutdown, without `Connection: close`
                (connection,) = w.front.clients
                await until(lambda: connection.idle)
                connection.last_progress_at -= 1
                w.front.close_idle()
            else:
                assert answer.headers["connection"] == "close"
            assert await client.ended() == b""

    run(main())


def test_request_behind_the_head_of_a_last_answer_is_dropped() -> None:
    async def main() -> None:
        gate = asyncio.Event()

        async with running_proxy(in_two_chunks(gate)) as w:
            w.front.stopping = True
            client = await w.client()
            client.send(request())
            await until(lambda: w.proxy.streams)
            connection = await client_connection(w)
            before = connection.last_progress_at
            client.send(request(path="/api/behind"))
            await until(lambda: connection.last_progress_at > before)
            gate.set()
            answer = await client.answer()
            assert answer.body == b"hello" and answer.headers["connection"] == "close"
            assert await client.ended() == b"" and len(w.seen()) == 1
            assert (
                sum(isinstance(e, Arrived) for e in w.events) == 1
                and connection.incoming.counts.received == 0
            )

    run(main())


def test_open_request_is_answered_before_the_process_ends() -> None:
    """Guards against a request that gets no answer, since the platform may kill the process before the
    request's deadline."""

    async def main() -> None:
        async with running_proxy(silent) as w:
            client = await w.client()
            client.send(request(kind="once", deadline="60"))
            await until(w.seen)
            w.proxy.answer_all_by(w.proxy.now_us() + 50_000)
            assert (await client.answer()).status == 504 and not w.proxy.requests
            client.send(request(kind="once", deadline="60"))
            assert (await client.answer()).status == 503  # it was not sent to a node

    run(main())


def test_retry_and_hedge_failing_at_once_give_one_answer() -> None:
    """Both attempts fail in one turn of the event loop, with the retry budget used up."""

    async def main() -> None:
        async with running_proxy(
            silent, silent, permissions={**PROXY_SETTINGS["permissions"], "secondCopies": True}
        ) as w:
            w.proxy.router.cached_keys.add(_router_key("/api/k1"))
            client = await w.client()
            client.send(request())
            await until(lambda: len(w.seen()) == 2, "both copies")
            w.proxy.router.retry_budget = 0.0
            (open_request,) = w.proxy.requests.values()
            for attempt in list(open_request.attempts):
                attempt.end(Outcome.RESET)
            assert (await client.answer()).status == 503 and not w.proxy.requests
            assert sum(isinstance(e, AttemptEnded) for e in w.events) == 2
            client.send(request(path="/api/other"))
            await until(lambda: len(w.seen()) == 3, "the next request on the same connection")

    run(main())


@pytest.mark.parametrize("read", [True, False], ids=["half read", "not read yet"])
def test_shutdown_does_not_lose_the_answer_of_a_queued_request(read: bool) -> None:
    """Guards against closing the connection with the answer to the previous request, although part of the
    next request has arrived."""

    async def main() -> None:
        gate = asyncio.Event()
        async with running_proxy(gated(gate)) as w:
            client = await w.client()
            ahead, behind = request(), request()
            client.send(ahead + behind[:20] if read else ahead)
            await until(lambda: len(w.seen()) == 1)
            (connection,) = w.front.clients
            w.front.stopping = True
            if read:
                gate.set()
            else:
                connection.transport.pause_reading()  # as if the event loop had not read it yet
                client.send(behind[:20])
                await until(lambda: connection._socket_state().readable(), "the arrival")
                gate.set()
            answer = await client.answer()
            assert answer.status == 200 and "connection" not in answer.headers
            connection.transport.resume_reading()
            client.send(behind[20:])
            answer = await client.answer()
            assert (answer.status, answer.headers["connection"]) == (200, "close")

    run(main())


def test_a_transport_without_a_socket_counts_as_closed() -> None:
    state = SocketState(asyncio.BaseTransport())  # `get_extra_info` returns None
    assert state.readable() and state.closed()
