"""The account of the memory that clients hold, and which connections are closed for it."""

from __future__ import annotations

import asyncio

import pytest

from magpiefront.net import downstream
from magpiefront.net.client_memory import RESUME_ROOM_BYTES, RESUMED_AT_ONCE, ClientMemory
from tests.sockets import ok, reply, request, run, running_proxy, until


class FakeHolder:
    """A connection that holds `held` bytes."""

    unreserved_bytes = 0

    def __init__(self) -> None:
        self.held = self.resumed = 0

    def reserve(self) -> None:
        self.held, self.unreserved_bytes = self.held + self.unreserved_bytes, 0

    @property
    def holds_memory(self) -> bool:
        return self.held > 0

    @property
    def needs_exemption(self) -> bool:
        return self.held + self.unreserved_bytes > 0

    def resume_reading(self) -> None:
        self.resumed += 1


def test_above_the_limit_only_one_holder_reads_on_and_new_ones_may_begin() -> None:
    memory, holders, new = ClientMemory(100), [FakeHolder() for _ in range(3)], FakeHolder()
    for holder in holders:
        holder.held = 60
        memory.grow(holder, 60)
    assert [memory.must_pause(holder) for holder in holders] == [True, False, True]
    assert not memory.must_pause(new)
    holders[1].held = 0
    memory.release(holders[1], 60)
    assert memory.exempt is holders[0] and holders[0].resumed == 1
    holders[0].held = 0
    memory.release(holders[0], 60)
    assert holders[2].resumed == 1 and not memory.paused and memory.used == 60


def test_a_body_is_read_only_once_there_is_room_for_all_of_it() -> None:
    memory, holders = ClientMemory(100), [FakeHolder() for _ in range(4)]
    for holder in holders:
        holder.unreserved_bytes = 45
    assert [memory.must_pause(holder) for holder in holders] == [False, False, False, True]
    assert memory.used == 90 and memory.exempt is holders[2] and holders[2].unreserved_bytes
    memory.release(holders[0], 45)
    assert holders[3].resumed and not memory.must_pause(holders[3]) and memory.used == 90


def test_paused_holders_read_on_in_turn_once_there_is_room() -> None:
    memory = ClientMemory(RESUMED_AT_ONCE * RESUME_ROOM_BYTES * 2)
    holders = [FakeHolder() for _ in range(3 * RESUMED_AT_ONCE)]
    memory.held_back = True
    for holder in holders:
        holder.held = 1
        memory.grow(holder, 1)
        memory.must_pause(holder)
    memory.held_back = False
    memory.resume_some()
    assert sum(holder.resumed for holder in holders) == RESUMED_AT_ONCE
    for _ in range(3):
        memory.resume_some()
    assert all(holder.resumed for holder in holders[1:]) and not memory.paused


def test_a_body_that_can_never_be_held_is_refused_as_it_begins() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            w.front.memory.message_limit = 50_000
            client = await w.client()
            client.send(request("PUT", body=b"x" * 50_001)[:200])
            assert (await client.answer()).status == 413
            client = await w.client()
            client.send(
                request("PUT", more="Transfer-Encoding: chunked\r\n").replace(b"Content-Length: 0\r\n", b"")
            )
            client.send(b"1000\r\n" + b"x" * 4096 + b"\r\n")
            for _ in range(13):
                client.send(b"1000\r\n" + b"x" * 4096 + b"\r\n")
            assert (await client.answer()).status == 413
            await until(lambda: not w.front.memory.used)

    run(main())


def test_part_of_a_message_that_waits_for_memory_is_answered_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(downstream, "MAX_MEMORY_PAUSE_S", 0.05)

    async def main() -> None:
        async with running_proxy(None) as w:
            w.front.memory.limit = 10_000
            clients = [await w.client() for _ in range(3)]
            for client in clients:
                client.send(request("PUT", body=b"x" * 200_000)[:-1000])
            await until(lambda: len(w.front.memory.paused) == 2, "a shortage of memory")
            await asyncio.sleep(0.06)
            w.front.sweep()
            answers = [asyncio.ensure_future(client.answer()) for client in clients]
            await until(lambda: sum(answer.done() for answer in answers) == 2, "two refusals")
            assert [answer.result().status for answer in answers if answer.done()] == [503, 503]
            for answer in answers:
                answer.cancel()

    run(main())


def test_the_wait_of_one_message_for_memory_does_not_count_for_the_next_one() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            client = await w.client()
            message = request("PUT", body=b"x" * 5000)
            client.send(message[:-1])
            await until(lambda: any(c.held > 4000 for c in w.front.clients))
            (connection,) = w.front.clients
            connection.memory_paused_at = 1.0
            client.send(message[-1:])
            assert (await client.answer()).status == 200 and not connection.memory_paused_at
            w.front.memory.held_back, connection.held = True, 5000
            w.front.memory.exempt = FakeHolder()
            for _ in range(2):  # also while it waits already, for the requests in its queue
                connection.memory_paused_at = 0.0
                assert connection._must_pause_for_memory() and connection.memory_paused_at
            connection.held = 0

    run(main())


def test_clients_that_stop_within_a_body_make_room_for_others(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(downstream, "MIN_EVICTION_STALL_S", 0.02)

    async def main() -> None:
        async with running_proxy(None) as w:
            w.front.max_clients = 4
            half = [await w.client() for _ in range(4)]
            for client in half:
                client.send(request("PUT", body=b"x" * 5000)[:-2000])
            await until(lambda: sum(c.held > 3000 for c in w.front.clients) == 4)
            await asyncio.sleep(0.03)
            assert (await w.ask()).status == 200
            for client in half:
                client.writer.close()
            await until(lambda: not w.front.memory.used)

    run(main())


def test_clients_that_do_not_read_overdue_answers_make_room_for_others() -> None:
    async def main() -> None:
        async with running_proxy(reply(ok(b"x" * 60_000))) as w:
            w.front.max_clients = 4
            slow = [await w.client() for _ in range(4)]
            for client in slow:
                client.writer.transport.pause_reading()  # type: ignore[attr-defined]
                client.send(b"".join(request(deadline="30") for _ in range(200)))
            await until(lambda: all(c.unsent for c in w.front.clients), "the filling of all buffers")
            transports = [c.transport for c in w.front.clients]
            assert all(c.eviction_rank(w.proxy.loop.time()) is None for c in w.front.clients)
            for c in w.front.clients:
                c.answer_due_us = 0
            assert (await w.ask()).status == 200
            await until(lambda: any(t.get_extra_info("socket").fileno() < 0 for t in transports), "a close")
            for client in slow:
                client.writer.transport.abort()
            await until(lambda: not w.front.memory.unsent)

    run(main())


def test_a_closing_connection_is_read_until_its_client_has_gone() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            client = await w.client()
            await until(lambda: w.front.clients)
            (connection,) = w.front.clients
            await until(lambda: connection.transport is not None)
            connection.linger()
            connection.unparsed = b"GET"  # the rest of what was read in the turn in which it was closed
            connection._update_reading()
            client.writer.transport.abort()
            await until(lambda: not w.front.clients)

    run(main())


def test_clients_that_do_not_read_are_closed_when_their_answers_exceed_the_limit() -> None:
    async def main() -> None:
        async with running_proxy(reply(ok(b"x" * 60_000))) as w:
            w.front.memory.answer_limit = 100_000
            slow = [await w.client() for _ in range(10)]
            for client in slow:
                client.writer.transport.pause_reading()  # type: ignore[attr-defined]
                client.send(b"".join(request(deadline="30") for _ in range(200)))
            await until(lambda: len(w.front.clients) < 10, "the close of one of them")
            await until(lambda: not w.front.memory.answers_exceeded)
            assert (await w.ask()).status == 200
            for client in slow:
                client.writer.transport.abort()
            await until(lambda: not w.front.clients)
            assert not w.front.memory.unsent and not w.front.memory.used

    run(main())
