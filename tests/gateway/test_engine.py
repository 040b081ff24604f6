"""Tests of `Http2Connection` against itself and random bytes, with its output cut at every offset."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from magpiefront.gateway import http2
from magpiefront.gateway.http2 import (
    BodyReceived, ConnectionFailed, Event, GoAwayReceived, HeadReceived, Http2Connection, StreamAborted,
    StreamFinished, StreamWritable,
)  # fmt: skip

GET = [(b":method", b"GET"), (b":scheme", b"http"), (b":authority", b"east"), (b":path", b"/api/e-1")]
PUT = [(b":method", b"PUT"), *GET[1:]]
OK = [(b":status", b"200")]
BODY = b"x" * 300


def transfer(a: Http2Connection, b: Http2Connection) -> list[Event]:
    return b.receive(a.take_output(1 << 30))


def connected_pair() -> tuple[Http2Connection, Http2Connection]:
    client, server = Http2Connection(True), Http2Connection(False)
    for _ in range(3):
        transfer(client, server)
        transfer(server, client)
    return client, server


def open_streams(client: Http2Connection) -> list[int]:
    """Opens four streams, with and without bodies."""
    return [
        client.open_stream(GET, []),
        client.open_stream(PUT, [BODY]),
        client.open_stream(GET, []),
        client.open_stream(PUT, [BODY] * 9),
    ]


def finished_streams(events: list[Event]) -> set[int]:
    return {e.stream for e in events if isinstance(e, StreamFinished)}


def test_exactly_the_streams_counted_as_written_are_received_whole() -> None:
    """For every prefix of the output, the streams that the sender counts as written are those received whole.

    A request that the sender takes for unwritten is sent again, so it must not have arrived.
    """
    client, _ = connected_pair()
    streams = open_streams(client)
    length = len(client.output)
    seen = set()
    for at in range(length + 1):
        client, server = connected_pair()
        assert open_streams(client) == streams
        got = finished_streams(server.receive(client.take_output(at)))
        written = {s for s in streams if client.is_fully_written(s)}
        assert got == written
        seen.add(len(written))
    assert seen == {0, 1, 2, 3, 4} and length > 3000


def test_answers_cut_at_every_offset_are_complete_or_not_finished() -> None:
    def answered() -> tuple[Http2Connection, Http2Connection, list[int]]:
        client, server = connected_pair()
        streams = open_streams(client)
        transfer(client, server)
        for s in streams:
            server.send_head(s, OK, False)
            server.send_body(s, b"answer %d" % s, True)
        return client, server, streams

    _, server, streams = answered()
    for at in range(len(server.output) + 1):
        client, server, _ = answered()
        events = client.receive(server.take_output(at))
        bodies: dict[int, bytes] = {}
        for e in events:
            assert not isinstance(e, ConnectionFailed | StreamAborted)
            if isinstance(e, BodyReceived):
                bodies[e.stream] = bodies.get(e.stream, b"") + e.data
        assert all(bodies[s] == b"answer %d" % s for s in finished_streams(events))
    assert finished_streams(events) == set(streams)


@pytest.mark.parametrize("size", [1, 2, 7, 9, 10, 1000])
def test_bytes_may_arrive_in_pieces_of_any_size(size: int) -> None:
    client, server = Http2Connection(True), Http2Connection(False)
    streams = open_streams(client)
    out, events = client.take_output(1 << 30), list[Event]()
    for at in range(0, len(out), size):
        events += server.receive(out[at : at + size])
    assert (
        finished_streams(events) == set(streams)
        and len([e for e in events if isinstance(e, HeadReceived)]) == 4
    )


def test_goaway_names_the_last_stream_and_open_streams_finish() -> None:
    client, server = connected_pair()
    first = client.open_stream(GET, [])
    transfer(client, server)
    server.go_away()
    assert transfer(server, client) == [GoAwayReceived(http2.MAX_STREAM_ID, 0)]
    second = client.open_stream(GET, [])  # opened before the final GOAWAY arrives
    server.go_away(server.last_peer_stream)
    assert transfer(server, client) == [GoAwayReceived(first, 0)] and second > first
    assert [type(e) for e in transfer(client, server)] == [HeadReceived, StreamFinished]
    server.send_head(first, OK, False)
    server.send_body(first, b"still served", True)
    events = transfer(server, client)
    assert finished_streams(events) == {first} and BodyReceived(first, b"still served") in events


def test_refused_is_distinguished_from_reset() -> None:
    client, server = connected_pair()
    streams = open_streams(client)
    transfer(client, server)
    server.reset(streams[0], http2.REFUSED_STREAM_CODE)
    server.reset(streams[1], http2.INTERNAL_ERROR_CODE)
    assert transfer(server, client) == [StreamAborted(streams[0], True), StreamAborted(streams[1], False)]


def test_a_slow_reader_delays_only_its_own_stream() -> None:
    client, server = connected_pair()
    slow, quick = client.open_stream(GET, []), client.open_stream(GET, [])
    transfer(client, server)
    client.pause_reading(slow)
    for s in (slow, quick):
        server.send_head(s, OK, False)
    size = 40 * http2.STREAM_WINDOW_BYTES  # more than the connection's window
    assert not server.send_body(slow, b"s" * size, True)
    got = {slow: 0, quick: 0}
    sent, events = 0, list[Event]()
    for _ in range(2000):
        while sent < size and server.send_body(quick, b"q" * 16_384):
            sent += 16_384
        for e in transfer(server, client):
            if isinstance(e, BodyReceived):
                got[e.stream] += len(e.data)
        events += transfer(client, server)
    assert got[slow] == http2.STREAM_WINDOW_BYTES and got[quick] >= size
    assert StreamWritable(quick) in events and StreamWritable(slow) not in events
    client.resume_reading(slow)
    for _ in range(2000):
        events = transfer(server, client)
        got[slow] += sum(len(e.data) for e in events if isinstance(e, BodyReceived) and e.stream == slow)
        transfer(client, server)
    assert got[slow] == size


def test_an_answer_to_a_stream_that_was_just_reset_is_dropped() -> None:
    client, server = connected_pair()
    s = client.open_stream(PUT, [BODY])
    client.reset(s)
    events = transfer(client, server)
    assert StreamFinished(s) in events and StreamAborted(s, False) in events
    server.send_head(s, OK, False)
    assert server.send_body(s, b"late", True)
    assert not server.send_buffers and not server.unacknowledged_bytes and not server.output


def test_reset_streams_leave_no_state() -> None:
    client, server = connected_pair()
    for _ in range(3):
        for s in open_streams(client):
            client.reset(s)
        transfer(client, server)
        transfer(server, client)
    assert (
        not client.unacknowledged_bytes and not client.end_offsets and not client.send_buffers
        and client.can_open_stream
    )  # fmt: skip
    s = client.open_stream(PUT, [b"x" * 2_000_000])
    assert client.send_buffers and not client.is_fully_written(s)
    client.reset(s)
    assert not client.send_buffers


def test_a_frame_that_is_too_long_fails_the_connection() -> None:
    _, server = connected_pair()
    assert [type(e) for e in server.receive(b"\x00\xff\xff\x00\x00\x00\x00\x00\x01")] == [ConnectionFailed]


@given(st.binary(max_size=400), st.booleans(), st.integers(0, 3000), st.binary(min_size=1, max_size=4))
def test_random_or_corrupted_bytes_raise_nothing(
    noise: bytes, client: bool, at: int, corrupted: bytes
) -> None:
    """Neither random bytes nor a corrupted exchange raises or completes a request that was not sent."""
    Http2Connection(client).receive(noise)
    sender, receiver = Http2Connection(True), Http2Connection(False)
    streams = open_streams(sender)
    data = bytearray(sender.take_output(1 << 30))
    data[at : at + len(corrupted)] = corrupted
    assert finished_streams(receiver.receive(bytes(data))) <= {*streams, *range(1, 1000, 2)}
    receiver.receive(noise)
