"""Tests of the connecting end against scripted peers: every way in which a request on a link can end."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import h2.config
import h2.connection
import h2.errors
import h2.events
import pytest
from hyperframe.frame import GoAwayFrame

from magpiefront.gateway.link import Link, OutboundConnection
from magpiefront.gateway.routes import LinkState
from magpiefront.gateway.settings import GatewaySettings, LinkSettings, Site
from tests.gateway.sites import run, until

HELLO = [(":status", "200"), ("gw-version", "1"), ("gw-site", "east"), ("gw-epoch", "e1")]
GET = [(b":method", b"GET"), (b":scheme", b"http"), (b":authority", b"east"), (b":path", b"/api/e-1")]


class FakeRuntime:
    """The runtime of a link; keeps the log lines."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.lines: list[str] = []

    def now_us(self) -> int:
        return int(self.loop.time() * 1e6)

    def log(self, text: str) -> None:
        self.lines.append(text)


class RecordingHandler:
    def __init__(self) -> None:
        self.got: list[Any] = []

    def on_head(self, fields: list[tuple[bytes, bytes]]) -> None:
        self.got.append(dict(fields)[b":status"])

    def on_body(self, data: bytes) -> None:
        self.got.append(data)

    def on_end(self) -> None:
        self.got.append("ended")

    def on_broken(self, never_ran: bool, cause: str) -> None:
        self.got.append("never ran" if never_ran else "may have run")


Script = Callable[["Peer", int], Awaitable[None]]


class Peer:
    """A gateway of the other site, built on plain `h2`: answers the hello, then runs a script per request."""

    def __init__(self, script: Script, hello: list[tuple[str, str]], pings: bool) -> None:
        self.script, self.hello, self.pings = script, hello, pings
        self.connections = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writer = writer
        h = self.h2 = h2.connection.H2Connection(h2.config.H2Configuration(client_side=False))
        h.initiate_connection()
        self.flush()
        try:
            while data := await reader.read(65_536):
                for event in h.receive_data(data):
                    if isinstance(event, h2.events.RequestReceived):
                        path = dict(event.headers or [])[b":path"]
                        if path.startswith(b"/.well-known"):
                            h.send_headers(event.stream_id, self.hello, end_stream=True)
                        else:
                            await self.script(self, event.stream_id)
                if self.pings:
                    self.flush()
        except OSError:
            pass
        finally:
            writer.close()

    def flush(self) -> None:
        self.writer.write(self.h2.data_to_send())

    async def answer(self, stream: int, body: bytes = b"hello") -> None:
        self.h2.send_headers(stream, [(":status", "200")])
        self.h2.send_data(stream, body, end_stream=True)
        self.flush()


SETTINGS = LinkSettings(connections=1, connect_timeout_us=300_000, ping_interval_us=50_000,
                        ping_timeout_us=300_000, backoff_us=5_000, max_backoff_us=20_000)  # fmt: skip


@asynccontextmanager
async def linked(
    script: Script, hello: list[tuple[str, str]] = HELLO, pings: bool = True, wait: bool = True
) -> AsyncIterator[tuple[Link, Peer, FakeRuntime]]:
    peer, runtime = Peer(script, hello, pings), FakeRuntime()
    server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
    site = Site("east", peers=(("127.0.0.1", server.sockets[0].getsockname()[1]),))
    settings = GatewaySettings("west", ("127.0.0.1", 0), {"west": Site("west"), "east": site}, link=SETTINGS)
    usable_calls: list[None] = []
    link = Link(runtime, settings, site, None, 1, lambda: usable_calls.append(None), lambda _: None)
    try:
        if wait:
            await until(lambda: link.usable_connections(), "the link")
        yield link, peer, runtime
    finally:
        link.stop()
        server.close()


def chosen_connection(link: Link) -> OutboundConnection:
    chosen = link.choose()
    assert chosen is not None
    return chosen


async def answers(peer: Peer, stream: int) -> None:
    await peer.answer(stream)


async def refuses(peer: Peer, stream: int) -> None:
    peer.h2.reset_stream(stream, h2.errors.ErrorCodes.REFUSED_STREAM)


async def resets(peer: Peer, stream: int) -> None:
    peer.h2.reset_stream(stream, h2.errors.ErrorCodes.INTERNAL_ERROR)


async def breaks(peer: Peer, stream: int) -> None:
    peer.writer.transport.abort()


async def breaks_in_the_answer(peer: Peer, stream: int) -> None:
    peer.h2.send_headers(stream, [(":status", "200"), ("content-length", "100")])
    peer.h2.send_data(stream, b"half")
    peer.flush()
    await asyncio.sleep(0)
    peer.writer.close()


async def goes_away_below(peer: Peer, stream: int) -> None:
    peer.writer.write(GoAwayFrame(0, last_stream_id=stream - 2).serialize())


async def goes_away_and_answers(peer: Peer, stream: int) -> None:
    peer.writer.write(GoAwayFrame(0, last_stream_id=stream).serialize())
    await peer.answer(stream)


async def sends_noise(peer: Peer, stream: int) -> None:
    peer.writer.write(b"HTTP/1.1 200 OK\r\n\r\n" * 5)


async def does_not_answer(peer: Peer, stream: int) -> None:
    pass


@pytest.mark.parametrize(("script", "got"), [
    (answers, [b"200", b"hello", "ended"]), (refuses, ["never ran"]), (resets, ["may have run"]),
    (breaks, ["may have run"]), (breaks_in_the_answer, [b"200", b"half", "may have run"]),
    (goes_away_below, ["never ran"]), (goes_away_and_answers, [b"200", b"hello", "ended"]),
    (sends_noise, ["may have run"]),
])  # fmt: skip
def test_each_request_ends_exactly_once(script: Script, got: list[Any]) -> None:
    async def main() -> None:
        async with linked(script) as (link, _, _):
            handler = RecordingHandler()
            chosen_connection(link).send(GET, [], handler)
            await until(lambda: handler.got and handler.got[-1] in ("ended", "never ran", "may have run"))
            assert handler.got == got
            await until(lambda: link.usable_connections(), "the link's return")
            assert handler.got == got

    run(main())


def test_a_request_that_was_not_fully_written_never_ran() -> None:
    """The link breaks while the peer's flow-control window holds back the end of a body."""

    async def main() -> None:
        async with linked(does_not_answer) as (link, peer, _):
            partial, complete = RecordingHandler(), RecordingHandler()
            connection = chosen_connection(link)
            connection.send([(b":method", b"PUT"), *GET[1:]], [b"x" * 500_000], partial)
            connection.send(GET, [], complete)
            await asyncio.sleep(0.02)
            peer.writer.transport.abort()
            await until(lambda: partial.got and complete.got)
            assert partial.got == ["never ran"] and complete.got == ["may have run"]

    run(main())


def test_a_peer_that_answers_no_ping_becomes_suspect_and_is_then_disconnected() -> None:
    async def main() -> None:
        async with linked(does_not_answer) as (link, peer, runtime):
            handler = RecordingHandler()
            chosen_connection(link).send(GET, [], handler)
            peer.pings = False  # it still reads but sends nothing, as in a one-way partition
            await until(lambda: link.view().state is LinkState.SUSPECT, "suspicion")
            assert not handler.got
            await until(lambda: handler.got, "the break")
            assert handler.got == ["may have run"]
            states = [line.split(": ")[1] for line in runtime.lines]
            assert states[:3] == ["down -> up", "up -> suspect", "suspect -> down"], runtime.lines
            assert "no answer to a PING" in runtime.lines[2]
            peer.pings = True
            await until(lambda: link.view().state is LinkState.UP, "its return")

    run(main())


def test_after_goaway_a_new_connection_takes_new_requests() -> None:
    async def main() -> None:
        async with linked(does_not_answer) as (link, peer, runtime):
            first, second = RecordingHandler(), RecordingHandler()
            old = chosen_connection(link)
            stream = old.send(GET, [], first)
            old_h2, old_writer = peer.h2, peer.writer
            old_writer.write(GoAwayFrame(0, last_stream_id=2**31 - 1).serialize())
            await until(
                lambda: link.usable_connections() and chosen_connection(link) is not old, "another connection"
            )
            chosen_connection(link).send(GET, [], second)
            old_h2.send_headers(stream, [(":status", "200")], end_stream=True)
            old_writer.write(old_h2.data_to_send())
            await until(lambda: first.got)
            assert first.got == [b"200", "ended"] and not second.got and old.closed
            assert any("goes away" in line for line in runtime.lines)

    run(main())


@pytest.mark.parametrize("hello", [
    [(":status", "200"), ("gw-version", "1"), ("gw-site", "north"), ("gw-epoch", "x")],
    [(":status", "200"), ("gw-version", "2"), ("gw-site", "east"), ("gw-epoch", "x")],
    [(":status", "403")],
])  # fmt: skip
def test_a_peer_with_a_wrong_hello_answer_is_not_used(hello: list[tuple[str, str]]) -> None:
    async def main() -> None:
        async with linked(answers, hello, wait=False) as (link, peer, runtime):
            await until(lambda: peer.connections > 2)
            assert not link.usable_connections() and link.choose() is None
            assert link.view().state is LinkState.DOWN

    run(main())


def test_an_unreachable_peer_is_retried_with_pauses() -> None:
    async def main() -> None:
        runtime = FakeRuntime()
        site = Site("east", peers=(("127.0.0.1", 9),))
        settings = GatewaySettings("west", ("127.0.0.1", 0), {"east": site}, link=SETTINGS)
        link = Link(runtime, settings, site, None, 1, lambda: None, lambda _: None)
        await until(lambda: link.slots[0].backoff.failures > 4)
        assert link.view().state is LinkState.DOWN and 0 <= link.view().retry_in_us <= 20_000
        link.stop()
        assert runtime.lines == []  # the link was down from the start, so no change is logged

    run(main())


def test_a_pin_keeps_to_one_peer_and_an_epoch_to_one_process() -> None:
    async def main() -> None:
        async with linked(answers) as (link, _, _):
            chosen = chosen_connection(link)
            assert link.choose("a") is chosen and link.choose("a", "e1") is chosen
            assert link.choose("a", "another") is None

    run(main())


def test_each_request_ends_once_when_answers_are_cut_at_any_offset() -> None:
    """The recorded answers to a hello and two requests are cut after each byte; each request ends once."""

    async def main() -> None:
        runtime = FakeRuntime()
        site = Site("east")
        settings = GatewaySettings("west", ("127.0.0.1", 0), {"east": site}, link=SETTINGS)

        class Transport(asyncio.Transport):
            def __init__(self) -> None:
                super().__init__()
                self.out = b""

            def write(self, data: Any) -> None:
                self.out += data

            def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
                pass

            def is_closing(self) -> bool:
                return False

            def abort(self) -> None:
                pass

        class FakeSlot:
            """The part of a slot that a connection uses."""

            def __init__(self) -> None:
                self.owner: Any = self
                self.runtime, self.site, self.peer = runtime, "east", ("x", 1)

            def connection_closed(self, *_: Any) -> None: ...
            def hello_answered(self, *_: Any) -> None: ...
            def state_changed(self, *_: Any) -> None: ...

        def opened() -> tuple[OutboundConnection, Transport, RecordingHandler, RecordingHandler]:
            w, t, a, b = (
                OutboundConnection(FakeSlot(), settings, 1), Transport(), RecordingHandler(),  # type: ignore[arg-type]
                RecordingHandler(),
            )  # fmt: skip
            w.connection_made(t)
            w.send(GET, [], a)
            w.send([(b":method", b"PUT"), *GET[1:]], [b"body"], b)
            return w, t, a, b

        w, t, _, _ = opened()
        h = h2.connection.H2Connection(h2.config.H2Configuration(client_side=False))
        h.initiate_connection()
        h.receive_data(t.out)
        h.send_headers(1, HELLO, end_stream=True)
        for stream in (3, 5):
            h.send_headers(stream, [(":status", "200"), ("content-length", "6")])
            h.send_data(stream, b"answer", end_stream=True)
        recorded = h.data_to_send()
        w.disconnect("done")
        ends = set()
        for at in range(len(recorded) + 1):
            w, _, a, b = opened()
            for start in range(0, at, 50):
                w.data_received(recorded[start : min(at, start + 50)])
            w.connection_lost(None)
            for handler in (a, b):
                assert handler.got[-1] in ("ended", "may have run") and handler.got[:-1].count("ended") == 0
                assert handler.got[-1] != "ended" or handler.got == [b"200", b"answer", "ended"]
            ends.add((a.got[-1], b.got[-1]))
        assert ends == {("may have run", "may have run"), ("ended", "may have run"), ("ended", "ended")}

    run(main())
