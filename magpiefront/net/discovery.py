"""The watch on discovery: what it answers becomes ServerList events."""

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
from magpiefront.net.listing import Garbled, Listing
from magpiefront.net.proxy import Proxy

BACKOFF_S = 0.02  # after the first call that failed; twice as long after each further one
MOST_OLDER = 4  # calls that were given up for silence, and may yet turn out to be slow
OLDEST_S = 8.0  # ... the oldest of them for so long: it has waited longest, and others would come after it
ANSWER_LIMIT = 8 * 1024 * 1024


@dataclass(slots=True, frozen=True)
class Patience:
    """How long calls may take, and what lies between them."""

    wait_ms: int  # how long a watch asks discovery to wait for news
    watch_s: float  # until a watch counts as silent
    whole_s: float  # until a call for the whole list, which waits for nothing, does
    connect_s: float
    most_pause_s: float  # after a failed call


# Each call costs discovery work. A watch that fell silent counts as told 2 s after its wait is over.
ASKED = Patience(wait_ms=20_000, watch_s=20.5, whole_s=2.5, connect_s=1.0, most_pause_s=1.0)


def pushed(drain_grace_us: int) -> Patience:
    """Where an agent on this machine has the lists. It answers at once and its calls cost nothing, and what
    it has counts as told: also what it gets when an outage ends, and calls that came during the outage may
    stay without an answer. So silence, connecting and a pause must fit into the grace in which sends to a
    draining server may still begin; a part of it stays for the process itself."""
    grace_s = drain_grace_us / 1e6
    wait_s = max(0.05, min(2.0, grace_s * 0.4))
    watch_s = wait_s + max(0.04, min(1.0, grace_s * 0.2))
    return Patience(int(wait_s * 1000), watch_s, watch_s, max(0.04, grace_s * 0.2), max(0.02, grace_s * 0.15))


def patience_of(config: Config) -> Patience:
    return ASKED if config.asked else pushed(config.settings.drain_grace_us)


class Call(Connection):
    """A connection to discovery, kept from one call to the next."""

    def __init__(self, watch: Discovery) -> None:
        super().__init__()
        self.watch = watch
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.asked = self.complete = self.lasting = False
        self.answers = 0  # that have come on it
        self.asked_at = 0.0

    @property
    def open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def ask(self, path: str, host: str) -> None:
        self.asked, self.complete, self.asked_at = True, False, self.watch.loop.time()
        self.body.clear()
        self.transport.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())

    def connection_lost(self, exc: Exception | None) -> None:
        self.watch.lost(self)
        super().connection_lost(exc)

    def eof_received(self) -> bool:
        return False

    def data_received(self, data: bytes) -> None:
        try:
            self.feed(data)
        except (*PARSER_ERRORS, HeadTooLong):
            self.transport.abort()
            return
        if not self.asked or len(self.body) > ANSWER_LIMIT:
            self.transport.abort()
        elif self.complete:
            self.asked = False
            self.answers += 1
            self.watch.answered(self, self.parser.get_status_code(), bytes(self.body))

    def on_message_begin(self) -> None:
        self.in_head = True

    def on_headers_complete(self) -> None:
        self.in_head, self.spare = False, 0

    def on_body(self, body: bytes) -> None:
        self.spare = 0
        self.body += body

    def on_message_complete(self) -> None:
        self.in_head, self.spare, self.complete = True, 0, True
        self.lasting = self.parser.should_keep_alive()


class Discovery:
    """Calls one after the other. Where lists are pushed it goes on by itself; where discovery is asked, the
    module says when to call again after a failure.

    A call that is silent for too long is given up for a new one at once, on a connection of its own; if it
    answers after all, discovery is slow and not silent, and that one goes on.
    """

    def __init__(self, proxy: Proxy, place: Address, seed: int) -> None:
        self.proxy, self.place, self.random = proxy, place, Random(seed)
        self.loop, self.asked = proxy.loop, proxy.config.asked
        self.listing = Listing(proxy)
        self.call: Call | None = None
        self.older: list[Call] = []  # given up for silence
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None
        self.failed = 0
        self.anew = False  # the next call begins a new watch, with the whole list
        self.stopped = False

    @property
    def patience(self) -> Patience:
        return patience_of(self.proxy.config)

    def start(self, known: Any) -> None:
        if known is not None:
            try:
                self.listing.take(known, stale=True)
            except Garbled:
                self.proxy.log("the known list can't be read")
        if self.asked:
            self.proxy.on_watch = self.ask
        else:
            self.ask()

    @property
    def settled(self) -> bool:
        """Has all that is listed been taken up, down to where keys are placed?"""
        return not self.listing.waiting and not self.proxy.router.placement.busy

    def stop(self) -> None:
        self.stopped = True
        self._hang_up()

    def move(self, place: Address) -> None:
        """Goes on with the discovery at another address, from its whole list: generations need not be those
        of the one before. What is held stays until then."""
        if place == self.place:
            return
        self.place = place
        self.listing.generation = -1
        self.failed = 0
        self._hang_up()
        self.ask()

    def ask(self) -> None:
        self._still()
        self.task = self.loop.create_task(self._ask())

    def _still(self) -> None:
        for waiting in (self.timer, self.task):
            if waiting is not None:
                waiting.cancel()
        self.timer = self.task = None

    def _hang_up(self) -> None:
        self._still()
        call, self.call = self.call, None
        if call is not None:
            call.close()
        self._close_older()

    def _close_older(self) -> None:
        older, self.older = self.older, []
        for call in older:
            call.close()

    async def _connected(self) -> Call:
        """Raises OSError."""
        call = Call(self)
        try:
            async with asyncio.timeout(self.patience.connect_s):
                await self.loop.create_connection(lambda: call, *self.place)
        except asyncio.CancelledError:
            call.close()  # it may have come up in the very moment in which nobody wanted it any more
            raise
        if not call.open:
            raise ConnectionResetError  # it came up, and has ended since
        return call

    async def _ask(self) -> None:
        if self.call is not None and (self.call.asked or not self.call.open):
            call, self.call = self.call, None
            call.close()
        if self.call is None:
            try:
                self.call = await self._connected()
            except OSError:
                self.task = None
                self._broken()
                return
        patience, after = self.patience, self.listing.generation
        whole = after < 0 or self.anew
        path = "/v1/endpoints" if whole else f"/v1/endpoints?after={after}&wait_ms={patience.wait_ms}"
        host, port = self.place
        self.timer = self.loop.call_later(patience.whole_s if whole else patience.watch_s, self._silent)
        self.call.ask(path, f"{host}:{port}")
        self.task = None

    def _silent(self) -> None:
        call, self.call = self.call, None
        if call is None:
            return
        self.older.append(call)
        if len(self.older) > MOST_OLDER:
            self.older.pop(1).close()
        if self.loop.time() - self.older[0].asked_at > OLDEST_S:
            self.older.pop(0).close()
        if self.asked and self.anew:
            self._broken()
            return
        self._count_failure()
        self.anew = self.asked
        self.ask()

    def lost(self, call: Call) -> None:
        if call in self.older:
            self.older.remove(call)
        elif call is self.call:
            self.call = None
            self._broken()

    def answered(self, call: Call, status: int, body: bytes) -> None:
        if call in self.older:
            self.older.remove(call)
            newer, self.call = self.call, call
            if newer is not None:
                newer.close()
        elif call is not self.call:
            return
        self._still()
        self._close_older()
        if not call.lasting:
            self.call = None
            call.transport.close()
        if status != 200:
            self._broken()
            return
        try:
            self.listing.take(json.loads(body), in_doubt=call.answers > 1)
        except (Garbled, ValueError, RecursionError):
            self._leave(call)
            self._broken()
            return
        self.failed, self.anew = 0, False
        self.ask()  # at once: a watch goes on only if the next call comes within 200 ms

    def _leave(self, call: Call) -> None:
        """The next call goes out on another connection: on this one answers to older calls may come."""
        if self.call is call:
            self.call = None
        call.close()

    def _count_failure(self) -> None:
        self.failed += 1
        if self.failed == 1:
            self.proxy.log("discovery: a call failed")

    def _broken(self) -> None:
        self._still()
        if self.stopped:
            return
        self._count_failure()
        if self.asked:
            self.proxy.give(ServerList(ListKind.BROKEN))
        else:
            pause = min(self.patience.most_pause_s, BACKOFF_S * 2 ** min(self.failed - 1, 8))
            self.timer = self.loop.call_later(pause * (0.5 + self.random.random() / 2), self.ask)
