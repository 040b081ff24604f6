"""Two events that meet in one connection or request, each order forced over loopback sockets."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Callable
from pathlib import Path

import pytest

from magpiefront.hashing import bytes_hash, mix
from magpiefront.interface import Arrived, AttemptEnded, ClientLeft, Outcome
from magpiefront.net.downstream import ClientConnection
from magpiefront.net.exchange import TOLD_LESS_US, Exchange
from magpiefront.net.node_connection import NodeConnection
from magpiefront.net.pool import Node as PoolNode
from standins.world import free_port
from tests.sockets import (
    INFO, Client, Handler, Lists, Node, Seen, World, gated, ok, request, resets, run, silent, until,
    world,
)  # fmt: skip
from tests.test_life import start

NO_CANCEL = {**INFO["permissions"], "mayCancel": False}


def raw_client(w: World) -> socket.socket:
    """A client whose every call takes effect at once, with no turn of the loop between."""
    s = socket.create_connection(("127.0.0.1", w.port))
    s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return s


async def connection_of(w: World) -> ClientConnection:
    await until(lambda: [c for c in w.front.clients if c.transport is not None], "the connection")
    return next(iter(w.front.clients))


class HeldConnects:
    """Connections to nodes that come up when the gate is opened, from the one numbered `first` on."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, first: int = 1) -> None:
        self.gate, self.waiting, seen = asyncio.Event(), 0, 0
        connect = PoolNode._connect

        async def held(node: PoolNode, c: NodeConnection, exchange: Exchange) -> None:
            nonlocal seen
            seen += 1
            if seen >= first:
                self.waiting += 1
                await self.gate.wait()
            await connect(node, c, exchange)

        monkeypatch.setattr(PoolNode, "_connect", held)


def in_two_chunks(gate: asyncio.Event) -> Handler:
    """A long answer, `hello`, whose second part waits for the gate."""

    async def handler(seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n")
        await gate.wait()
        writer.write(b"3\r\nllo\r\n0\r\n\r\n")

    return handler


# ---- an attempt that waits for its connection


@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_client_that_leaves_while_its_request_waits_for_a_connection(
    may_cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        held = HeldConnects(monkeypatch)
        async with world(None, permissions={**NO_CANCEL, "mayCancel": may_cancel}) as w:
            client = await w.client()
            client.send(request(kind="once"))
            await until(lambda: held.waiting)
            client.writer.close()
            await until(lambda: any(isinstance(e, ClientLeft) for e in w.events))
            held.gate.set()
            await until(lambda: not w.proxy.requests and not w.proxy.pool.open, "the end of the attempt")
            assert not w.seen()

    run(main())


def drains(w: World) -> None:
    w.lists.change(2, w.nodes[0].entry("Terminating"))


def out_by_hand(w: World) -> None:
    assert w.proxy.by_hand("s-0", out=True)


@pytest.mark.parametrize("leaves", [drains, out_by_hand])
def test_a_node_that_leaves_while_a_connection_to_it_comes_up(
    leaves: Callable[[World], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        held = HeldConnects(monkeypatch)
        async with world(None) as w:
            client = await w.client()
            client.send(request(kind="once"))
            await until(lambda: held.waiting)
            leaves(w)
            await until(lambda: not w.proxy.router.servers)
            held.gate.set()
            assert (await client.answer()).status == 503  # nothing ran
            assert w.outcomes() == [Outcome.MOOT] and not w.seen()

    run(main())


def test_the_window_for_repeats_ends_while_a_connection_comes_up(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        held = HeldConnects(monkeypatch, first=2)
        async with world(resets, resets) as w:
            client = await w.client()
            began = w.proxy.now_us()
            client.send(request("PUT", kind="keyed", body=b"v", more="Idempotency-Key: k\r\n"))
            await until(lambda: held.waiting)
            await until(lambda: w.proxy.now_us() > began + 200_000)  # the window is 150 ms
            held.gate.set()
            await client.answer()
            assert len(w.seen()) == 1 and w.outcomes() == [Outcome.RESET, Outcome.MOOT]

    run(main())


def test_a_second_copy_that_waits_for_a_connection_does_not_go_once_the_first_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        held, gate = HeldConnects(monkeypatch, first=2), asyncio.Event()
        async with world(gated(gate), gated(gate), permissions={**NO_CANCEL, "secondCopies": True}) as w:
            key = "/api/k1"
            w.proxy.router.kept.add(_router_key(key))  # or a copy would only be fetched once more
            client = await w.client()
            client.send(request(path=key))
            await until(lambda: held.waiting, "the second copy")
            gate.set()
            assert (await client.answer()).status == 200
            held.gate.set()
            await until(lambda: not w.proxy.requests)
            assert len(w.seen()) == 1

    run(main())


def _router_key(path: str) -> int:
    return mix(bytes_hash(path.rpartition("/")[2].encode()))


# ---- a client's close that the loop has not read


@pytest.mark.parametrize("ended", [Outcome.RESET, Outcome.CONNECT_FAILED])
def test_no_further_attempt_begins_for_a_client_whose_close_has_not_been_read(ended: Outcome) -> None:
    async def main() -> None:
        hangs: list[bool] = []

        async def serves_at_first(seen: Seen, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if not hangs:
                writer.write(ok())

        async with world(serves_at_first, serves_at_first) as w:
            for n in range(20):  # so that a repeat need not wait for a connection
                assert (await w.ask(path=f"/api/{n}")).status == 200
            assert all(node.idle for node in w.proxy.pool.nodes.values())
            before = len(w.seen())
            hangs.append(True)
            client = raw_client(w)
            client.sendall(request())
            await until(lambda: len(w.seen()) == before + 1)
            (r,) = w.proxy.requests.values()
            client.close()
            r.attempts[0].end(ended)  # no turn of the loop between the two
            await until(lambda: not w.proxy.requests and not w.front.clients)
            assert len(w.seen()) == before + 1
            assert any(isinstance(e, ClientLeft) for e in w.events)

    run(main())


def test_a_client_that_leaves_behind_what_it_has_pipelined_is_seen() -> None:
    async def main() -> None:
        async with world(silent) as w:
            client = raw_client(w)
            client.sendall(request())
            await until(w.seen)
            for _ in range(3):
                client.sendall(request())
                await asyncio.sleep(0.02)
            client.close()
            await until(lambda: not w.proxy.requests, looks=150)
            assert len(w.seen()) == 1

    run(main())


# ---- requests behind one another on a connection


def test_the_time_of_a_pipelined_request_counts_from_when_it_came() -> None:
    async def main() -> None:
        gate = asyncio.Event()
        async with world(gated(gate)) as w:
            client = await w.client()
            client.send(request(path="/api/0", deadline="0.9"))
            await until(w.seen)
            c = await connection_of(w)
            for n in range(1, 4):
                client.send(request(path=f"/api/{n}", deadline="0.9"))
                due = n
                await until(lambda: len(c.waiting) == due, "the reading of it", looks=100)  # noqa: B023
            gate.set()
            assert [(await client.answer()).status for _ in range(4)] == [200] * 4

    run(main())


def test_a_request_ahead_leaves_time_for_those_behind_it() -> None:
    async def main() -> None:
        async with world(silent) as w:
            client = await w.client()
            client.send(request(deadline="0.9", kind="once") + request(deadline="0.2", kind="once"))
            first, second = await client.answer(), await client.answer()
            assert (first.status, second.status) == (504, 503)
            assert float(w.seen()[0].headers["req-deadline"]) <= 0.2 and len(w.seen()) == 1

    run(main())


def test_a_request_that_comes_during_a_long_answer_spoils_nothing_of_it() -> None:
    async def main() -> None:
        gate = asyncio.Event()

        async with world(in_two_chunks(gate)) as w:
            client = await w.client()
            client.send(request())
            await until(lambda: w.proxy.streams)
            c = await connection_of(w)
            client.send(request(path="/api/behind"))
            await until(lambda: c.waiting, "the request behind")
            gate.set()
            for _ in range(2):
                answer = await client.answer()
                assert (answer.status, answer.body) == (200, b"hello")

    run(main())


def test_a_node_is_told_less_time_than_the_client_has() -> None:
    async def main() -> None:
        async with world(None) as w:
            for deadline, most in (("0.9", 0.9 - TOLD_LESS_US / 1e6), ("0.04", 0.021)):
                await w.ask(deadline=deadline)
                assert 0 < float(w.seen()[-1].headers["req-deadline"]) <= most

    run(main())


def test_half_a_request_behind_one_at_work_is_ended_in_its_turn() -> None:
    async def main() -> None:
        gate = asyncio.Event()
        async with world(gated(gate)) as w:
            client = await w.client()
            client.send(request(kind="once") + request()[:40])
            await until(w.seen)
            c = await connection_of(w)
            c.sweep(c.moved_at + 1.9)
            assert not c.closing
            c.sweep(c.moved_at + 2.5)
            c.sweep(c.moved_at + 3.0)
            assert c.closing and len(c.waiting) == 1
            gate.set()
            assert [(await client.answer()).status for _ in range(2)] == [200, 408]
            assert await client.ended() == b""

    run(main())


# ---- the end of a connection on which nothing is open


def test_a_request_that_has_come_is_served_and_its_connection_not_ended_as_idle() -> None:
    async def main() -> None:
        async with world(None) as w:
            client = raw_client(w)
            c = await connection_of(w)
            client.sendall(request())
            c.sweep(c.moved_at + 60)  # before the loop has read it
            c.front.stopping = True
            c.moved_at -= 60
            w.front.close_idle()
            await until(w.seen)
            client.setblocking(False)
            answer = await asyncio.get_running_loop().sock_recv(client, 1000)
            assert answer.startswith(b"HTTP/1.1 200 ")
            client.close()

    run(main())


def test_what_comes_after_the_end_of_an_idle_connection_is_not_forwarded_and_resets_nothing() -> None:
    async def main() -> None:
        async with world(None) as w:
            client = raw_client(w)
            c = await connection_of(w)
            c.sweep(c.moved_at + 60)
            client.sendall(request())
            client.setblocking(False)
            assert await asyncio.get_running_loop().sock_recv(client, 1000) == b""
            client.sendall(request())
            await asyncio.sleep(0.02)
            client.close()
            await until(lambda: not w.front.clients)
            assert not w.seen() and not any(isinstance(e, Arrived) for e in w.events)

    run(main())


def test_a_connection_that_is_closing_by_itself_is_not_looked_at_as_idle() -> None:
    async def main() -> None:
        async with world(None) as w:
            client = raw_client(w)
            c = await connection_of(w)
            c.transport.abort()
            c.sweep(c.moved_at + 60)
            w.front.close_idle()
            await until(lambda: not w.front.clients)
            c.sweep(c.moved_at + 60)
            client.close()

    run(main())


# ---- a shutdown


def test_a_request_that_comes_late_in_a_shutdown_is_answered_before_the_kill(tmp_path: Path) -> None:
    """A client may say that it waits for longer than the platform does before it kills the process."""

    async def main() -> None:
        node, lists, port = Node("s-0", silent), Lists(), free_port()
        await node.start()
        await lists.start()
        process = await start(tmp_path, [node], lists, port, give_up_us=300_000)
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
def test_sigterm_takes_no_answer_from_a_request_that(state: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        gate, used = asyncio.Event(), list[Seen]()

        async def handler(seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            used.append(seen)
            if state == "retried" and len(used) == 1:
                await resets(seen, reader, writer)
            elif state == "streams":
                await in_two_chunks(gate)(seen, reader, writer)
            else:
                await gate.wait()
                writer.write(ok())

        held = HeldConnects(monkeypatch) if state == "waits" else None
        copies = {**INFO["permissions"], "secondCopies": state == "hedged"}
        async with world(handler, handler, permissions=copies) as w:
            w.proxy.router.kept.add(_router_key("/api/k1"))
            client = await w.client()
            client.send(request())
            reached = {
                "waits": lambda: held is not None and held.waiting,
                "retried": lambda: len(used) == 2,
                "hedged": lambda: len(used) == 2,
                "streams": lambda: w.proxy.streams,
            }
            await until(reached[state], state)
            w.front.stopping = True
            w.proxy.answer_all_by(w.proxy.now_us() + 900_000)
            w.front.close_idle()
            if held is not None:
                held.gate.set()
            gate.set()
            answer = await client.answer()
            assert (answer.status, answer.body) == (200, b"hello")
            if state == "streams":  # its head had gone before
                (c,) = w.front.clients
                await until(lambda: c.idle)
                c.moved_at -= 1
                w.front.close_idle()
            else:
                assert answer.headers["connection"] == "close"
            assert await client.ended() == b""

    run(main())


def test_what_comes_behind_the_head_of_a_last_answer_is_not_taken() -> None:
    async def main() -> None:
        gate = asyncio.Event()

        async with world(in_two_chunks(gate)) as w:
            w.front.stopping = True
            client = await w.client()
            client.send(request())
            await until(lambda: w.proxy.streams)
            c = await connection_of(w)
            before = c.moved_at
            client.send(request(path="/api/behind"))
            await until(lambda: c.moved_at > before)
            gate.set()
            answer = await client.answer()
            assert answer.body == b"hello" and answer.headers["connection"] == "close"
            assert await client.ended() == b"" and len(w.seen()) == 1
            assert sum(isinstance(e, Arrived) for e in w.events) == 1 and c.taking.tally.taken == 0

    run(main())


def test_an_open_request_has_its_answer_before_the_process_ends() -> None:
    """Its deadline may lie behind the moment at which the platform kills the process."""

    async def main() -> None:
        async with world(silent) as w:
            client = await w.client()
            client.send(request(kind="once", deadline="60"))
            await until(w.seen)
            w.proxy.answer_all_by(w.proxy.now_us() + 50_000)
            assert (await client.answer()).status == 504 and not w.proxy.requests
            client.send(request(kind="once", deadline="60"))
            assert (await client.answer()).status == 503  # nothing of it ran

    run(main())


def test_retry_and_hedge_that_fail_at_once_end_in_one_answer() -> None:
    """Both attempts break off in one turn of the loop, after the budget for repeats has gone."""

    async def main() -> None:
        async with world(silent, silent, permissions={**INFO["permissions"], "secondCopies": True}) as w:
            w.proxy.router.kept.add(_router_key("/api/k1"))
            client = await w.client()
            client.send(request())
            await until(lambda: len(w.seen()) == 2, "both copies")
            w.proxy.router.budget = 0.0
            (r,) = w.proxy.requests.values()
            for attempt in list(r.attempts):
                attempt.end(Outcome.RESET)
            assert (await client.answer()).status == 503 and not w.proxy.requests
            assert sum(isinstance(e, AttemptEnded) for e in w.events) == 2
            client.send(request(path="/api/other"))
            await until(lambda: len(w.seen()) == 3, "the next request on the same connection")

    run(main())



@pytest.mark.parametrize("read", [True, False], ids=["half read", "not read yet"])
def test_sigterm_takes_no_answer_from_a_request_behind_one_that_is_answered(read: bool) -> None:
    """Its connection was closed with the answer ahead, and half of it had been read."""

    async def main() -> None:
        gate = asyncio.Event()
        async with world(gated(gate)) as w:
            client = await w.client()
            ahead, behind = request(), request()
            client.send(ahead + behind[:20] if read else ahead)
            await until(lambda: len(w.seen()) == 1)
            (c,) = w.front.clients
            w.front.stopping = True
            if read:
                gate.set()
            else:
                c.transport.pause_reading()  # as a loop that has not come to it yet
                client.send(behind[:20])
                await until(lambda: c._watch().readable(), "the arrival")
                gate.set()
            answer = await client.answer()
            assert answer.status == 200 and "connection" not in answer.headers
            c.transport.resume_reading()
            client.send(behind[20:])
            answer = await client.answer()
            assert (answer.status, answer.headers["connection"]) == (200, "close")

    run(main())
