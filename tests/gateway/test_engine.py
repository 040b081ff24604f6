"""The engine against itself and against noise, with the bytes cut at every offset."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from magpiefront.gateway import engine
from magpiefront.gateway.engine import Began, Came, Ended, Engine, Event, Fault, GoesAway, Reset, Writable

GET = [(b":method", b"GET"), (b":scheme", b"http"), (b":authority", b"east"), (b":path", b"/api/e-1")]
PUT = [(b":method", b"PUT"), *GET[1:]]
OK = [(b":status", b"200")]
BODY = b"x" * 300


def pass_on(a: Engine, b: Engine) -> list[Event]:
    return b.receive(a.hand_over(1 << 30))


def joined() -> tuple[Engine, Engine]:
    client, server = Engine(True), Engine(False)
    for _ in range(3):
        pass_on(client, server)
        pass_on(server, client)
    return client, server


def exchange(client: Engine) -> list[int]:
    """What the recorded exchange sends: heads alone, and heads with bodies."""
    return [
        client.open(GET, []),
        client.open(PUT, [BODY]),
        client.open(GET, []),
        client.open(PUT, [BODY] * 9),
    ]


def whole(events: list[Event]) -> set[int]:
    return {e.stream for e in events if isinstance(e, Ended)}


def test_a_request_ran_only_if_its_sender_counts_it_as_written() -> None:
    """The sender has handed over each number of bytes in turn, and the receiver has got just those."""
    client, _ = joined()
    streams = exchange(client)
    length = len(client.out)
    seen = set()
    for at in range(length + 1):
        client, server = joined()
        assert exchange(client) == streams
        got = whole(server.receive(client.hand_over(at)))
        written = {s for s in streams if client.whole(s)}
        assert got == written
        seen.add(len(written))
    assert seen == {0, 1, 2, 3, 4} and length > 3000


def test_answers_cut_at_every_offset_are_whole_or_not_there() -> None:
    def answered() -> tuple[Engine, Engine, list[int]]:
        client, server = joined()
        streams = exchange(client)
        pass_on(client, server)
        for s in streams:
            server.head(s, OK, False)
            server.data(s, b"answer %d" % s, True)
        return client, server, streams

    _, server, streams = answered()
    for at in range(len(server.out) + 1):
        client, server, _ = answered()
        events = client.receive(server.hand_over(at))
        bodies: dict[int, bytes] = {}
        for e in events:
            assert not isinstance(e, Fault | Reset)
            if isinstance(e, Came):
                bodies[e.stream] = bodies.get(e.stream, b"") + e.data
        assert all(bodies[s] == b"answer %d" % s for s in whole(events))
    assert whole(events) == set(streams)


@pytest.mark.parametrize("size", [1, 2, 7, 9, 10, 1000])
def test_bytes_may_come_in_any_pieces(size: int) -> None:
    client, server = Engine(True), Engine(False)
    streams = exchange(client)
    out, events = client.hand_over(1 << 30), list[Event]()
    for at in range(0, len(out), size):
        events += server.receive(out[at : at + size])
    assert whole(events) == set(streams) and len([e for e in events if isinstance(e, Began)]) == 4


def test_goaway_leaves_what_is_open_and_refuses_the_rest() -> None:
    client, server = joined()
    first = client.open(GET, [])
    pass_on(client, server)
    server.go_away()
    assert pass_on(server, client) == [GoesAway(engine.MOST_STREAM, 0)]
    second = client.open(GET, [])  # it was on its way already
    server.go_away(server.last)
    assert pass_on(server, client) == [GoesAway(first, 0)] and second > first
    assert [type(e) for e in pass_on(client, server)] == [Began, Ended]
    server.head(first, OK, False)
    server.data(first, b"still served", True)
    events = pass_on(server, client)
    assert whole(events) == {first} and Came(first, b"still served") in events


def test_refused_is_told_from_reset() -> None:
    client, server = joined()
    streams = exchange(client)
    pass_on(client, server)
    server.reset(streams[0], engine.REFUSED)
    server.reset(streams[1], engine.INTERNAL)
    assert pass_on(server, client) == [Reset(streams[0], True), Reset(streams[1], False)]


def test_a_slow_reader_holds_up_its_own_stream_only() -> None:
    client, server = joined()
    slow, quick = client.open(GET, []), client.open(GET, [])
    pass_on(client, server)
    client.hold(slow)
    for s in (slow, quick):
        server.head(s, OK, False)
    size = 40 * engine.STREAM_WINDOW  # more than the connection's window
    assert not server.data(slow, b"s" * size, True)
    got = {slow: 0, quick: 0}
    sent, events = 0, list[Event]()
    for _ in range(2000):
        while sent < size and server.data(quick, b"q" * 16_384):
            sent += 16_384
        for e in pass_on(server, client):
            if isinstance(e, Came):
                got[e.stream] += len(e.data)
        events += pass_on(client, server)
    assert got[slow] == engine.STREAM_WINDOW and got[quick] >= size
    assert Writable(quick) in events and Writable(slow) not in events
    client.let_go(slow)
    for _ in range(2000):
        events = pass_on(server, client)
        got[slow] += sum(len(e.data) for e in events if isinstance(e, Came) and e.stream == slow)
        pass_on(client, server)
    assert got[slow] == size


def test_an_answer_to_what_was_reset_right_behind_is_dropped() -> None:
    client, server = joined()
    s = client.open(PUT, [BODY])
    client.reset(s)
    events = pass_on(client, server)
    assert Ended(s) in events and Reset(s, False) in events
    server.head(s, OK, False)
    assert server.data(s, b"late", True)
    assert not server.waiting and not server.unread and not server.out


def test_what_is_reset_leaves_nothing_behind() -> None:
    client, server = joined()
    for _ in range(3):
        for s in exchange(client):
            client.reset(s)
        pass_on(client, server)
        pass_on(server, client)
    assert not client.unread and not client.ends and not client.waiting and client.room
    s = client.open(PUT, [b"x" * 2_000_000])
    assert client.waiting and not client.whole(s)
    client.reset(s)
    assert not client.waiting


def test_a_frame_that_is_too_long_is_a_fault() -> None:
    _, server = joined()
    assert [type(e) for e in server.receive(b"\x00\xff\xff\x00\x00\x00\x00\x00\x01")] == [Fault]


@given(st.binary(max_size=400), st.booleans(), st.integers(0, 3000), st.binary(min_size=1, max_size=4))
def test_noise_is_a_fault_at_worst(noise: bytes, client: bool, at: int, spoilt: bytes) -> None:
    """Neither plain noise nor a recorded exchange with some bytes changed raises, or makes a request whole
    that was not sent."""
    Engine(client).receive(noise)
    sender, receiver = Engine(True), Engine(False)
    streams = exchange(sender)
    data = bytearray(sender.hand_over(1 << 30))
    data[at : at + len(spoilt)] = spoilt
    assert whole(receiver.receive(bytes(data))) <= {*streams, *range(1, 1000, 2)}
    receiver.receive(noise)
