"""Limits of one message, and turns of connections: the client's connection without sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast
from urllib.parse import urlsplit

import httptools
import pytest
from hypothesis import given, settings, strategies
from hypothesis import strategies as st

from magpiefront.caching.targets import same_origin_targets
from magpiefront.interface import Repeat, RequestClass
from magpiefront.net import message_size
from magpiefront.net.answer_reader import AnswerReader
from magpiefront.net.client_memory import ClientMemory
from magpiefront.net.downstream import ClientConnection
from magpiefront.net.events import EventLog
from magpiefront.net.front import READ_BUFFER_BYTES
from magpiefront.net.http1 import PARSER_ERRORS, HeadTooLong, head
from magpiefront.net.metrics import Metrics
from magpiefront.net.pipeline import MAX_PIPELINED_REQUESTS
from magpiefront.net.request import HOST, Request, cached_host, cached_token, is_host
from magpiefront.net.socket_state import SocketState
from magpiefront.net.turns import ReadTurns
from magpiefront.request_ids import OnceRequest
from tests.sockets import ok, reply, request, run, running_proxy


class FakeLoop:
    """Runs callbacks turn by turn; timers run only if `advance` is called."""

    def __init__(self) -> None:
        self.now_s = 1000.0
        self.ready: list[tuple[Callable[..., Any], tuple[Any, ...]]] = []
        self.timers: list[tuple[Callable[..., Any], tuple[Any, ...]]] = []

    def time(self) -> float:
        return self.now_s

    def call_soon(self, call: Callable[..., Any], *args: Any) -> None:
        self.ready.append((call, args))

    def call_later(self, delay: float, call: Callable[..., Any], *args: Any) -> asyncio.TimerHandle:
        self.timers.append((call, args))
        return asyncio.TimerHandle(0, call, args, cast(asyncio.AbstractEventLoop, self))

    def get_debug(self) -> bool:
        return False

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None: ...

    def run_turn(self) -> None:
        ready, self.ready = self.ready, []
        for call, args in ready:
            call(*args)

    def advance(self, seconds: float) -> None:
        """Lets time pass, and runs all timers."""
        self.now_s += seconds
        timers, self.timers = self.timers, []
        for call, args in timers:
            call(*args)

    def run_all(self) -> None:
        while self.ready:
            self.run_turn()


class FakeTransport:
    """Collects what is written."""

    def __init__(self) -> None:
        self.written = b""
        self.reading = True

    def write(self, data: bytes) -> None:
        self.written += data

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def write_eof(self) -> None: ...
    def set_write_buffer_limits(self, high: int) -> None: ...
    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0

    def get_extra_info(self, name: str) -> None:
        return None


class FakeSocketState:
    """A socket from which there is more to read, or not."""

    def __init__(self, waiting: bool) -> None:
        self.waiting = waiting

    def readable(self) -> bool:
        return self.waiting


class FakeFront:
    """A front and its stage, which answers each request at once unless `slow` is set."""

    ending = stopping = slow = False

    def __init__(self) -> None:
        self.loop: Any = FakeLoop()
        self.runtime: Any = self
        self.stage: Any = self
        self.memory = ClientMemory(50 << 20)
        self.turns = ReadTurns(self.loop)
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        read = RequestClass("read", Repeat.SAFE, 500_000, 1_000_000)
        self.classes = {b"read": read}
        self.metrics, self.events_log = Metrics(self.classes), EventLog(self.loop.time)
        self.taken: list[Request] = []

    def now_us(self) -> int:
        return int(self.loop.time() * 1e6)

    def log(self, text: str) -> None: ...
    def client_lost(self, client: ClientConnection) -> None: ...
    def relieve_answers(self) -> None: ...
    def answer_unconfirmed(self, request: OnceRequest) -> None: ...
    def client_left(self, request: Request) -> None: ...
    def submit(self, request: Request) -> None:
        self.taken.append(request)
        if not self.slow:
            request.responder.answer(request, 200)


def connect(front: FakeFront) -> ClientConnection:
    """A connection of this front over a FakeTransport."""
    client = ClientConnection(front, 1)
    client.connection_made(cast(asyncio.BaseTransport, FakeTransport()))
    client.socket_state = cast(SocketState, FakeSocketState(False))
    return client


def written(client: ClientConnection) -> bytes:
    return cast(FakeTransport, client.transport).written


def statuses(pieces: list[bytes]) -> list[int]:
    """The statuses of the answers to these pieces, each read at once and parsed to its end."""
    front = FakeFront()
    client = connect(front)
    for piece in pieces:
        for start in range(0, len(piece), READ_BUFFER_BYTES):
            client.data_received(piece[start : start + READ_BUFFER_BYTES])
            front.loop.run_all()
    return [int(part[:3]) for part in written(client).split(b"HTTP/1.1 ")[1:]]


def fields(count: int, size: int = 1) -> str:
    """This many field lines with values of this size."""
    return "".join(f"x{n}: {'v' * size}\r\n" for n in range(count))


OWN_FIELDS = 5  # of a message that `request` returns
CHUNKED = request("PUT", more="Transfer-Encoding: chunked\r\n").replace(b"Content-Length: 0\r\n", b"")
MESSAGES = {
    "plain": (request(), 200),
    "with a body": (request("PUT", body=b"b" * 3000), 200),
    "chunked": (CHUNKED + b"5\r\nhello\r\n0\r\n\r\n", 200),
    "head just short enough": (request(more=fields(1, message_size.MAX_HEAD_BYTES - 100)), 200),
    "head too long": (request(more=fields(1, message_size.MAX_HEAD_BYTES)), 431),
    "as many fields as allowed": (request(more=fields(message_size.MAX_FIELDS - OWN_FIELDS)), 200),
    "too many fields": (request(more=fields(message_size.MAX_FIELDS - OWN_FIELDS + 1)), 431),
    "target too long": (request(path="/" + "t" * message_size.MAX_HEAD_BYTES), 431),
    "trailer too long": (
        CHUNKED + b"0\r\n" + fields(message_size.MAX_FIELDS).encode() + b"\r\n", 431,
    ),
    "chunk extension too long": (
        CHUNKED + b"5;" + b"e" * message_size.MAX_UNFINISHED_BYTES * 2 + b"\r\nhello\r\n0\r\n\r\n", 431,
    ),
    "invalid": (b"G ET / HTTP/1.1\r\n\r\n", 405),
}  # fmt: skip


@pytest.mark.parametrize("name", MESSAGES)
def test_a_limit_counts_its_own_message_and_loses_no_answer_before_it(name: str) -> None:
    message, status = MESSAGES[name]
    before = [request(path=f"/api/{n}") for n in range(400)]
    assert statuses([b"".join(before) + message]) == [200] * 400 + [status]
    assert statuses([*before, message]) == [200] * 400 + [status]


@pytest.mark.parametrize("name", MESSAGES)
def test_the_verdict_on_a_message_does_not_depend_on_where_it_is_cut(name: str) -> None:
    message, status = MESSAGES[name]
    step = max(1, len(message) // 300)
    for cut in range(1, len(message), step):
        assert statuses([request() + message[:cut], message[cut:]]) == [200, status], cut


@settings(deadline=None, max_examples=40)
@given(
    names=strategies.lists(strategies.sampled_from(sorted(MESSAGES)), min_size=1, max_size=8),
    cuts=strategies.lists(strategies.integers(1, 40_000), max_size=30),
)
def test_messages_are_read_alike_one_by_one_in_pieces_and_all_at_once(
    names: list[str], cuts: list[int]
) -> None:
    messages = [MESSAGES[name][0] for name in names]
    whole = b"".join(messages)
    pieces, start = [], 0
    for cut in cuts:
        pieces.append(whole[start : start + cut])
        start += cut
    pieces.append(whole[start:])
    pieces = [piece for piece in pieces if piece]
    expected = statuses(messages)
    assert statuses([whole]) == statuses(pieces) == expected
    verdicts = [MESSAGES[name][1] for name in names]
    rejected = [n for n, status in enumerate(verdicts) if status != 200]
    assert expected == verdicts[: rejected[0] + 1 if rejected else None]


def read_answer(data: bytes, piece: int) -> AnswerReader:
    """Reads an answer in pieces of this size."""
    reader = AnswerReader()
    reader.parser = httptools.HttpResponseParser(reader)
    reader.expect_answer()
    for start in range(0, len(data), piece):
        reader.feed(data[start : start + piece])
    return reader


@pytest.mark.parametrize("piece", [1, 700, 1 << 20])
def test_interim_answers_and_the_final_one_have_limits_of_their_own(piece: int) -> None:
    more = fields(message_size.MAX_FIELDS - 1)
    interim = b"HTTP/1.1 103 Early Hints\r\n" + more.encode() + b"\r\n"
    reader = read_answer(interim * 4 + ok(more=more), piece)
    assert reader.complete and reader.answer.status == 200
    with pytest.raises((HeadTooLong, *PARSER_ERRORS)):
        read_answer(ok(more=fields(message_size.MAX_FIELDS)), piece)


def test_a_node_whose_answer_has_too_many_fields_fails_the_attempt() -> None:
    async def main() -> None:
        async with running_proxy(reply(ok(more=fields(message_size.MAX_FIELDS)))) as w:
            assert (await w.ask(kind="once")).status == 502

    run(main())


def test_one_connection_gets_a_bounded_part_of_each_turn() -> None:
    front = FakeFront()
    clients = [connect(front) for _ in range(2)]
    flood = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n" * 500
    for client in clients:
        client.data_received(flood)
    answers = [0, 0]
    turns = 0
    while answers != [500, 500]:
        front.loop.run_turn()
        turns += 1
        before, answers = answers, [written(client).count(b"HTTP/1.1 200") for client in clients]
        assert max(now - then for now, then in zip(answers, before, strict=True)) <= 64
        assert not any(cast(FakeTransport, c.transport).reading for c in clients if c.unparsed)
    assert turns > 10
    assert all(cast(FakeTransport, client.transport).reading for client in clients)


def test_requests_behind_a_full_queue_are_held_back_and_served_in_time() -> None:
    front = FakeFront()
    front.slow = True
    client = connect(front)
    client.data_received(b"".join(request(path=f"/api/{n}", deadline="30") for n in range(100)))
    for _ in range(100):
        front.loop.run_turn()
        assert len(client.queued) <= MAX_PIPELINED_REQUESTS + 12 and not client.excess_requests
        front.taken[-1].responder.answer(front.taken[-1], 200)
    assert written(client).count(b"HTTP/1.1 200") == 100


def test_requests_that_were_held_back_too_long_are_refused() -> None:
    front = FakeFront()
    front.slow = True
    client = connect(front)
    client.data_received(b"".join(request(path=f"/api/{n}", deadline="0.05") for n in range(100)))
    arrived_at = front.now_us()
    front.loop.run_turn()
    assert client.unparsed and len(front.taken) == 1
    front.loop.advance(0.03)  # over half of the time that those in the queue have
    front.loop.run_all()
    assert not client.unparsed and client.excess_requests
    assert all(queued.received_at <= arrived_at for queued in client.queued)
    front.slow = False
    front.taken[0].responder.answer(front.taken[0], 200)
    front.loop.run_all()
    got = written(client)
    assert got.count(b"HTTP/1.1 200") + got.count(b"HTTP/1.1 503") == 100
    assert front.memory.used == 0


def test_fields_that_the_proxy_does_not_use_are_not_kept() -> None:
    front = FakeFront()
    front.slow = True
    connect(front).data_received(request(more=fields(50, 10)))
    assert len(front.taken[0].headers) == OWN_FIELDS - 1 + 1
    assert front.memory.used > 50 * 10


def test_long_names_from_clients_are_not_kept_in_tables() -> None:
    statuses([request()])
    before = (cached_host.cache_info().currsize, cached_token.cache_info().currsize)
    long = "n" * 2000
    for n in range(50):
        message = request(more=f"Req-Retry: {long}{n}\r\n").replace(b"Host: x", f"Host: {long}{n}".encode())
        assert statuses([message]) == [200]
    assert (cached_host.cache_info().currsize, cached_token.cache_info().currsize) == before
    for n in range(400):
        statuses([request().replace(b"Host: x", b"Host: h%d" % n)])
    assert cached_host.cache_info().currsize <= 256


@pytest.mark.parametrize("waiting", [True, False])
def test_time_counts_from_when_the_queue_was_full_if_more_waited_unread(waiting: bool) -> None:
    front = FakeFront()
    front.slow = True
    client = connect(front)
    client.socket_state = cast(SocketState, FakeSocketState(waiting))
    client.data_received(b"".join(request(deadline="30") for _ in range(60)))
    front.loop.run_all()
    assert not cast(FakeTransport, client.transport).reading
    full_at = front.now_us()
    front.loop.now_s += 5
    front.slow = False
    front.taken[0].responder.answer(front.taken[0], 200)
    front.loop.run_all()
    assert cast(FakeTransport, client.transport).reading and written(client).count(b" 200 ") == 60
    for received_at in (full_at if waiting else front.now_us(), front.now_us()):
        cast(FakeSocketState, client.socket_state).waiting = False
        client.data_received(request())
        assert front.taken[-1].received_at == received_at


HOSTS = [
    ("x", 200), ("x:", 200), ("x:0", 200), ("x:65535", 200), ("[::1]:8080", 200), ("[::ffff:127.0.0.1]", 200),
    ("x:65536", 400), ("x:99999", 400), ("x:" + "9" * 19, 400), ("[::::]", 400), ("[1.2.3.4]", 400),
    ("[::1", 400), ("[]", 400), ("x:8o", 400), ("[12345::]", 400),
]  # fmt: skip


@pytest.mark.parametrize(("host", "status"), HOSTS)
def test_a_host_that_names_no_origin_is_refused_before_anything_runs(host: str, status: int) -> None:
    async def main() -> None:
        async with running_proxy() as w:
            client = await w.client()
            message = request("PUT", kind="keyed", body=b"v")
            client.send(message.replace(b"Host: x\r\n", f"Host: {host}\r\n".encode()))
            assert (await client.answer()).status == status
            assert len(w.seen()) == (status == 200)

    run(main())


@given(st.binary(max_size=24) | st.from_regex(HOST, fullmatch=True))
def test_every_host_that_is_accepted_is_the_origin_of_a_url(value: bytes) -> None:
    if is_host(value):
        parts = urlsplit(f"http://{value.decode('ascii')}/k")
        assert parts.port is None or 0 <= parts.port <= 65_535
    assert isinstance(same_origin_targets(value, b"/k", [b"/other", b"http://x:99999/"]), list)


@pytest.mark.parametrize("length", [0, None])
def test_the_head_of_an_answer_can_be_made_for_every_status(length: int | None) -> None:
    for status in range(100, 1000):
        assert head(status, length).startswith(b"HTTP/1.1 %d " % status)
