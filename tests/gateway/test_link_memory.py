"""Bodies that cross a link are let in only as far as memory is reserved for them."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from hypothesis import given
from hypothesis import strategies as st

from magpiefront.gateway import inbound, wire
from magpiefront.gateway.body_reservation import STREAM_COST_BYTES, BodyReservation
from magpiefront.gateway.http2 import (
    GRANTED_AT_FIRST_BYTES, OUTPUT_HIGH_BYTES, BodyReceived, Http2Connection, StreamFinished,
)  # fmt: skip
from magpiefront.gateway.stage import ForwardedRequest
from magpiefront.gateway.wire import Fields
from magpiefront.net.client_memory import ClientMemory
from magpiefront.net.memory_plan import MIN_MESSAGE_BYTES, MIN_REQUEST_BYTES
from tests.gateway.sites import Sites, run, sites, until
from tests.gateway.test_engine import PUT
from tests.test_client_memory import FakeHolder

BODY_BYTES = 500_000
LIMIT_BYTES = 1_200_000


def limit_memory(s: Sites, limit_bytes: int = LIMIT_BYTES, message_bytes: int = BODY_BYTES) -> ClientMemory:
    """Gives the east little memory for requests, and returns its account."""
    memory = s.east.gateway.listener.memory
    memory.limit, memory.message_limit, memory.measured_room = limit_bytes, message_bytes, 0
    return memory


def arrived_bytes(s: Sites) -> int:
    """Returns how many bytes of bodies of open requests have arrived at the east."""
    return sum(i.size for c in s.east.gateway.listener.connections for i in c.incoming.values())


async def send_reports(s: Sites, count: int, size: int = BODY_BYTES) -> list[int]:
    requests = [s.new_request("west", "field-report", f"e-{n}", deadline_s=10.0) for n in range(count)]
    for request in requests:
        request.body = bytes(size)
    return [answer.status for answer in await asyncio.gather(*(s.send(r) for r in requests))]


@pytest.mark.parametrize("tells_length", [True, False])
def test_reports_that_cross_at_once_take_no_more_than_the_receiving_gateway_has(
    tells_length: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not tells_length:
        request_fields = wire.request_fields

        def without_length(*args, **options) -> Fields:  # type: ignore[no-untyped-def]
            return [f for f in request_fields(*args, **options) if f[0] != b"content-length"]

        monkeypatch.setattr(wire, "request_fields", without_length)
    monkeypatch.setattr(inbound, "MAX_MEMORY_WAIT_S", 60.0)

    async def main() -> None:
        async with sites(max_body_bytes=BODY_BYTES) as s:
            memory = limit_memory(s)
            most_used = most_arrived = 0
            sending = asyncio.ensure_future(send_reports(s, 24))
            while not sending.done():
                most_used, most_arrived = max(most_used, memory.used), max(most_arrived, arrived_bytes(s))
                await asyncio.sleep(0.001)
            assert await sending == [200] * 24
            assert s.effects("k1") == 1
            assert most_arrived <= most_used <= LIMIT_BYTES + BODY_BYTES + 24 * STREAM_COST_BYTES
            await until(lambda: not memory.used and not memory.paused and memory.exempt is None)

    run(main(), 60)


def test_a_report_that_waits_too_long_for_memory_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(inbound, "MAX_MEMORY_WAIT_S", 0.05)

    async def main() -> None:
        async with sites() as s:
            memory = limit_memory(s, 40_000, 600_000)
            memory.exempt = FakeHolder()  # it never ends
            memory.exempt.held = 1
            sending = asyncio.ensure_future(send_reports(s, 3))
            await until(lambda: len(memory.paused) == 3, "the wait for memory")
            while not sending.done():
                await asyncio.sleep(0.02)
                s.east.gateway.sweep()
            assert await sending == [503] * 3, "it has not run: the client may send it again"
            assert not s.east.archive.effects and memory.used == 0

    run(main())


def test_a_process_that_sheds_memory_refuses_reports_that_are_not_complete() -> None:
    async def main() -> None:
        async with sites() as s:
            memory = limit_memory(s, 40_000, 600_000)
            memory.exempt = FakeHolder()
            memory.exempt.held = 1
            sending = asyncio.ensure_future(send_reports(s, 3))
            await until(lambda: len(memory.paused) == 3, "the wait for memory")
            while not sending.done():
                s.east.gateway.listener.shed_memory()
                await asyncio.sleep(0.01)
            assert await sending == [503] * 3 and memory.used == 0

    run(main())


def test_a_report_for_which_there_can_never_be_room_is_refused_by_its_head() -> None:
    async def main() -> None:
        async with sites() as s:
            memory = limit_memory(s, LIMIT_BYTES, BODY_BYTES - 1)
            assert await send_reports(s, 1) == [413]
            await until(lambda: not memory.used and not s.east.gateway.listener.credits.used)

    run(main())


@contextmanager
def no_garbage_collector() -> Iterator[None]:
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def test_a_request_that_has_crossed_is_freed_without_the_garbage_collector() -> None:
    async def main() -> None:
        async with sites() as s:
            with no_garbage_collector():
                assert await send_reports(s, 8, 300_000) == [200] * 8
                await until(lambda: not s.west.proxy.deadlines.timers and not arrived_bytes(s))
                assert not [o for o in gc.get_objects() if isinstance(o, ForwardedRequest)]
                kept = [o for o in gc.get_objects() if isinstance(o, inbound.InboundRequest)]
                assert not any(o.request.body for o in kept)

    run(main())


# ---- the account


@given(
    st.integers(MIN_REQUEST_BYTES, 4 * MIN_REQUEST_BYTES),
    st.integers(MIN_MESSAGE_BYTES, 2 * MIN_MESSAGE_BYTES),
    st.lists(st.tuples(st.integers(0, 150_000), st.booleans()), min_size=1, max_size=12),
    st.lists(st.integers(0, 11), max_size=40),
)
def test_every_body_gets_its_turn_and_the_account_balances(
    limit: int, message_limit: int, bodies: list[tuple[int, bool]], order: list[int]
) -> None:
    memory = ClientMemory(limit)
    memory.message_limit, memory.measured_room = message_limit, 0
    granted = [0] * len(bodies)

    def grant_to(number: int):  # type: ignore[no-untyped-def]
        def grant(size: int) -> None:
            granted[number] += size

        return grant

    open_ones = [BodyReservation(memory, grant_to(n), lambda: 0.0) for n in range(len(bodies))]
    for reservation, (size, _) in zip(open_ones, bodies, strict=True):
        reservation.expect(size)
    done: set[int] = set()
    for number in [*order, *range(len(bodies)), *range(len(bodies))] * 2:
        if number >= len(bodies) or number in done:
            continue
        reservation, (size, is_given_up) = open_ones[number], bodies[number]
        assert memory.used == sum(r.held for r in open_ones)
        if reservation.unreserved_bytes and not is_given_up:
            memory.resume_some()
            continue
        assert is_given_up or granted[number] == max(0, size - GRANTED_AT_FIRST_BYTES)
        if not is_given_up:
            reservation.complete()
        reservation.release()
        reservation.release()
        done.add(number)
    assert memory.used == sum(r.held for r in open_ones)
    for _ in range(len(bodies)):
        for number, reservation in enumerate(open_ones):
            if number not in done and not reservation.unreserved_bytes:
                reservation.complete()
                reservation.release()
                done.add(number)
        memory.resume_some()
    assert len(done) == len(bodies) and memory.used == 0 and not memory.paused


def test_no_message_beyond_the_plan_is_read_once_the_process_has_no_room() -> None:
    memory, holders = ClientMemory(100), [FakeHolder() for _ in range(4)]
    memory.measured_room = 50
    for holder in holders:
        holder.unreserved_bytes = 90

    def serve(holder: FakeHolder) -> None:
        memory.grow(holder, holder.unreserved_bytes)
        holder.reserve()
        memory.exempt = None  # it is complete, and still held

    assert not memory.must_pause(holders[0]) and not memory.must_pause(holders[1])
    serve(holders[1])
    assert memory.must_pause(holders[2]), "over the limit and one message, with no room by the measure"
    memory.measured_room = 1000
    assert not memory.must_pause(holders[2])


# ---- HTTP/2


def test_a_sender_sends_no_more_of_a_body_than_it_was_granted() -> None:
    client, server = Http2Connection(True), Http2Connection(False, grants=True)
    for _ in range(3):
        server.receive(client.take_output(1 << 20))
        client.receive(server.take_output(1 << 20))
    streams = [client.open_stream(PUT, [bytes(30_000), bytes(70_000)]) for _ in range(3)]
    received = dict.fromkeys(streams, 0)

    def exchange() -> set[int]:
        finished = set()
        for _ in range(40):
            for event in server.receive(client.take_output(1 << 20)):
                if isinstance(event, BodyReceived):
                    received[event.stream] += len(event.data)
                elif isinstance(event, StreamFinished):
                    finished.add(event.stream)
            client.receive(server.take_output(1 << 20))
            client.fill_output()
        return finished

    exchange()
    assert set(received.values()) == {GRANTED_AT_FIRST_BYTES}
    server.grant(streams[1], 100_000 - GRANTED_AT_FIRST_BYTES)
    assert exchange() == {streams[1]}
    assert [received[s] for s in streams] == [GRANTED_AT_FIRST_BYTES, 100_000, GRANTED_AT_FIRST_BYTES]
    assert not client.is_fully_written(streams[0])


def test_bodies_are_framed_in_turn_and_only_as_the_transport_takes_them() -> None:
    client, server = Http2Connection(True), Http2Connection(False)
    for _ in range(3):
        server.receive(client.take_output(1 << 20))
        client.receive(server.take_output(1 << 20))
    for _ in range(2):
        client.open_stream(PUT, [bytes(250_000)])
        assert len(client.output) < OUTPUT_HIGH_BYTES + 32_000
    order = []
    while client.output:
        events = server.receive(client.take_output(64_000))
        order += [e.stream for e in events if isinstance(e, BodyReceived)]
        client.fill_output()
    halves = order[len(order) // 2 :]
    assert len(set(halves[:-2])) == 2, "both streams are sent in turn"
