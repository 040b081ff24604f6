"""The client of the discovery service: turns the lists that it returns into ServerList events."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from random import Random
from typing import Any

import httptools

from magpiefront.interface import ListKind, ServerList
from magpiefront.net.config import Address, Config
from magpiefront.net.http1 import PARSER_ERRORS, Connection, HeadTooLong
from magpiefront.net.listing import InvalidList, Listing
from magpiefront.net.proxy import Proxy

FIRST_BACKOFF_S = 0.02  # after the first failed call; doubled after each further one
# Timed-out calls whose connections stay open, since their answers may only be slow. Above the limit, the
# second oldest is closed: the oldest has waited longest, and the others would be answered after it.
MAX_TIMED_OUT_CALLS = 4
MAX_OLDEST_CALL_AGE_S = 8.0  # since the oldest of these calls was sent; its connection is closed after that
MAX_ANSWER_BYTES = 8 * 1024 * 1024  # of the body of an answer; a longer one closes its connection


@dataclass(slots=True, frozen=True)
class CallTimeouts:
    """How long calls may take, and how long the pause after a failed one may be."""

    wait_ms: int  # how long a watch lets discovery wait for a change
    watch_timeout_s: float  # for the answer to a watch
    full_list_timeout_s: float  # for the whole list, for which discovery does not wait
    connect_timeout_s: float
    max_backoff_s: float  # limit of the pause after a failed call


# For calls to discovery itself, each of which costs it work. If a watch gets no answer, discovery assumes
# that this proxy has the current list from 2 s after the end of the watch's wait.
DIRECT_TIMEOUTS = CallTimeouts(
    wait_ms=20_000, watch_timeout_s=20.5, full_list_timeout_s=2.5, connect_timeout_s=1.0, max_backoff_s=1.0
)


def agent_timeouts(drain_grace_us: int) -> CallTimeouts:
    """Returns the timeouts for calls to an agent on this machine that discovery pushes its lists to.

    The agent answers at once, and calls to it cost nothing. Discovery assumes that this proxy has whatever
    the agent has, also a list that the agent gets when an outage ends, although calls made during the outage
    may never be answered. So the timeouts of a watch and of connecting and the backoff must together fit into
    the grace period, in which requests to a draining server may still be sent. Part of the grace period is
    left for the process itself.
    """
    grace_s = drain_grace_us / 1e6
    wait_s = max(0.05, min(2.0, grace_s * 0.4))
    watch_timeout_s = wait_s + max(0.04, min(1.0, grace_s * 0.2))
    return CallTimeouts(
        int(wait_s * 1000),
        watch_timeout_s,
        watch_timeout_s,
        max(0.04, grace_s * 0.2),
        max(0.02, grace_s * 0.15),
    )


def timeouts_of(config: Config) -> CallTimeouts:
    return DIRECT_TIMEOUTS if config.watches_discovery else agent_timeouts(config.settings.drain_grace_us)


class DiscoveryConnection(Connection):
    """A connection to discovery, reused for consecutive calls."""

    def __init__(self, discovery: Discovery) -> None:
        super().__init__()
        self.discovery = discovery
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.awaits_answer = self.complete = self.keep_alive = False
        self.answers = 0  # answers received on it
        self.called_at = 0.0  # loop time

    @property
    def open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def call(self, path: str, host: str) -> None:
        self.awaits_answer, self.complete, self.called_at = True, False, self.discovery.loop.time()
        self.body.clear()
        self.transport.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())

    def connection_lost(self, exc: Exception | None) -> None:
        self.discovery.connection_closed(self)
        super().connection_lost(exc)

    def eof_received(self) -> bool:
        return False

    def data_received(self, data: bytes) -> None:
        try:
            self.feed(data)
        except (*PARSER_ERRORS, HeadTooLong):
            self.transport.abort()
            return
        if not self.awaits_answer or len(self.body) > MAX_ANSWER_BYTES:
            self.transport.abort()
        elif self.complete:
            self.awaits_answer = False
            self.answers += 1
            self.discovery.answered(self, self.parser.get_status_code(), bytes(self.body))

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.message_size.add_field(name, value):
            raise HeadTooLong

    def on_headers_complete(self) -> None:
        self.in_head = False
        self.message_size.unfinished_bytes = 0

    def on_body(self, body: bytes) -> None:
        self.message_size.unfinished_bytes = 0
        self.body += body

    def on_message_complete(self) -> None:
        self.in_head, self.in_message, self.complete = True, False, True
        self.message_size.unfinished_bytes = 0
        self.keep_alive = self.parser.should_keep_alive()


class Discovery:
    """Calls discovery, one call after the other, and applies the lists that it returns.

    Calls go either to discovery itself (`direct`) or to an agent on this machine that lists are pushed to. A
    failed call to an agent is repeated after a backoff. After a failed call to discovery itself, the Router
    decides when to call again.

    A call that gets no answer in time is followed by a new one at once, on another connection. The earlier
    connection is kept for a while: if the answer arrives there after all, discovery is slow rather than
    silent, and that connection is used again.
    """

    def __init__(self, proxy: Proxy, address: Address, seed: int) -> None:
        self.proxy, self.address, self.random = proxy, address, Random(seed)
        self.loop, self.direct = proxy.loop, proxy.config.watches_discovery
        self.listing = Listing(proxy)
        self.connection: DiscoveryConnection | None = None
        self.timed_out: list[DiscoveryConnection] = []  # of timed-out calls, the oldest call first
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None
        self.failures = 0  # failed calls since the last answer
        self.restart_watch = False  # whether the next call requests the whole list, to begin a new watch
        self.stopped = False

    @property
    def timeouts(self) -> CallTimeouts:
        return timeouts_of(self.proxy.config)

    def start(self, known: Any) -> None:
        """Applies `known`, a list from before this process started, if there is one. Then calls discovery, or
        with `direct` lets the Router do so."""
        if known is not None:
            try:
                self.listing.apply(known, stale=True)
            except InvalidList:
                self.proxy.log("discovery: the list from before this start can't be read")
        if self.direct:
            self.proxy.on_watch = self.start_call
        else:
            self.start_call()

    @property
    def list_applied(self) -> bool:
        """Whether the whole list has been applied, including the placement of keys."""
        return not self.listing.pending and not self.proxy.router.placement.busy

    def stop(self) -> None:
        self.stopped = True
        self._close_all()

    def set_address(self, address: Address) -> None:
        """Calls discovery at another address from now on, first for the whole list, since generations there
        need not match those seen so far. The current list stays in effect until that list arrives."""
        if address == self.address:
            return
        self.address = address
        self.listing.generation = -1
        self.failures = 0
        self._close_all()
        self.start_call()

    def start_call(self) -> None:
        self._cancel_timer_and_task()
        self.task = self.loop.create_task(self._call())

    def _cancel_timer_and_task(self) -> None:
        for pending in (self.timer, self.task):
            if pending is not None:
                pending.cancel()
        self.timer = self.task = None

    def _close_all(self) -> None:
        self._cancel_timer_and_task()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()
        self._close_timed_out()

    def _close_timed_out(self) -> None:
        timed_out, self.timed_out = self.timed_out, []
        for connection in timed_out:
            connection.close()

    async def _connect(self) -> DiscoveryConnection:
        """Returns an established connection. Raises OSError if connecting fails or takes too long."""
        connection = DiscoveryConnection(self)
        try:
            async with asyncio.timeout(self.timeouts.connect_timeout_s):
                await self.loop.create_connection(lambda: connection, *self.address)
        except asyncio.CancelledError:
            connection.close()  # it may have been established just before the task was cancelled
            raise
        if not connection.open:
            raise ConnectionResetError  # it was established, and has been closed since
        return connection

    async def _call(self) -> None:
        if self.connection is not None and (self.connection.awaits_answer or not self.connection.open):
            connection, self.connection = self.connection, None
            connection.close()
        if self.connection is None:
            try:
                self.connection = await self._connect()
            except OSError:
                self.task = None
                self._call_failed()
                return
        timeouts, after = self.timeouts, self.listing.generation
        whole = after < 0 or self.restart_watch
        path = "/v1/endpoints" if whole else f"/v1/endpoints?after={after}&wait_ms={timeouts.wait_ms}"
        host, port = self.address
        self.timer = self.loop.call_later(
            timeouts.full_list_timeout_s if whole else timeouts.watch_timeout_s, self._call_timed_out
        )
        self.connection.call(path, f"{host}:{port}")
        self.task = None

    def _call_timed_out(self) -> None:
        connection, self.connection = self.connection, None
        if connection is None:
            return
        self.timed_out.append(connection)
        if len(self.timed_out) > MAX_TIMED_OUT_CALLS:
            self.timed_out.pop(1).close()
        if self.loop.time() - self.timed_out[0].called_at > MAX_OLDEST_CALL_AGE_S:
            self.timed_out.pop(0).close()
        if self.direct and self.restart_watch:
            self._call_failed()
            return
        self._count_failure()
        self.restart_watch = self.direct
        self.start_call()

    def connection_closed(self, connection: DiscoveryConnection) -> None:
        """Called when a connection has closed."""
        if connection in self.timed_out:
            self.timed_out.remove(connection)
        elif connection is self.connection:
            self.connection = None
            self._call_failed()

    def answered(self, connection: DiscoveryConnection, status: int, body: bytes) -> None:
        """Called with a complete answer."""
        if connection in self.timed_out:
            self.timed_out.remove(connection)
            newer, self.connection = self.connection, connection
            if newer is not None:
                newer.close()
        elif connection is not self.connection:
            return
        self._cancel_timer_and_task()
        self._close_timed_out()
        if not connection.keep_alive:
            self.connection = None
            connection.transport.close()
        if status != 200:
            self._call_failed()
            return
        try:
            self.listing.apply(json.loads(body), reject_older=connection.answers > 1)
        except (InvalidList, ValueError, RecursionError):
            self._drop(connection)
            self._call_failed()
            return
        self.failures, self.restart_watch = 0, False
        self.start_call()  # at once: a watch continues only if the next call comes within 200 ms

    def _drop(self, connection: DiscoveryConnection) -> None:
        """Closes the connection, so that the next call uses another one: an answer to an earlier call may
        still arrive on this one."""
        if self.connection is connection:
            self.connection = None
        connection.close()

    def _count_failure(self) -> None:
        self.failures += 1
        if self.failures == 1:
            self.proxy.log("discovery: a call failed")

    def _call_failed(self) -> None:
        self._cancel_timer_and_task()
        if self.stopped:
            return
        self._count_failure()
        if self.direct:
            self.proxy.dispatch(ServerList(ListKind.BROKEN))
        else:
            pause = min(self.timeouts.max_backoff_s, FIRST_BACKOFF_S * 2 ** min(self.failures - 1, 8))
            self.timer = self.loop.call_later(pause * (0.5 + self.random.random() / 2), self.start_call)
