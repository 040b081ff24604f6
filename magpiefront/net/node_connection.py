"""A connection to a cache node: one exchange at a time, and none before it has rested (`reuse`)."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

import httptools

from magpiefront.interface import NEVER_RAN, Outcome
from magpiefront.net.answer_reader import AnswerReader
from magpiefront.net.exchange import Attempt, Exchange
from magpiefront.net.hangup import HangUpWatch, unacknowledged
from magpiefront.net.http1 import PARSER_ERRORS, WHOLE_LIMIT, HeadTooLong
from magpiefront.reuse import HELD_UP_S, Lifecycle, State, StrayReason

STREAM_AFTER_S = 0.05  # an answer of unknown length is passed on as it comes after this long
QUIET_S = 0.25  # an answer that has begun and then pauses for longer than nodes do has broken off
LOOK_AGAIN_S = 0.02  # ... unless its bytes were there and this process was late to read them


@dataclass(slots=True, frozen=True)
class Stray:
    """Bytes that no request can have asked for. `after_s`: since the connection's last answer; `size`: how
    many bytes, 0 where they were not read."""

    connection: NodeConnection
    reason: StrayReason
    after_s: float
    size: int


class Owner(Protocol):
    """The node as its connections need it. `clock` gives seconds and never stands still, other than the event
    loop's, which does while a turn lasts."""

    name: str

    @property
    def loop(self) -> asyncio.AbstractEventLoop: ...
    def clock(self) -> float: ...
    def put_back(self, connection: NodeConnection) -> None: ...
    def lost(self, connection: NodeConnection) -> None: ...
    def drop_idle(self, connection: NodeConnection) -> None: ...
    def saw_stray(self, stray: Stray) -> None: ...


class NodeConnection(AnswerReader):
    __slots__ = ("exchange", "heard_at", "last_target", "life", "look", "node", "number", "paused", "spare",
                 "streams", "watched", "written")  # fmt: skip

    def __init__(self, node: Owner, exchange: Exchange, number: int = 0) -> None:
        super().__init__()
        self.node, self.number = node, number
        self.exchange: Exchange | None = exchange
        self.life = Lifecycle()
        self.written = self.paused = self.watched = self.streams = self.spare = False
        self.heard_at = 0.0
        self.last_target = b""  # of the request that was answered last
        self.look: HangUpWatch | None = None

    # ---- the exchange

    def start(self, exchange: Exchange, looked_at: float | None = None) -> None:
        """Writes the message. `looked_at`: when a connection that was used before was looked at last."""
        if not exchange.may_begin():
            self.exchange = None
            self.life.stand_by(self.node.clock())
            self.node.put_back(self)
            exchange.end(Outcome.MOOT)
            return
        self.exchange, exchange.connection = exchange, self
        self.life.begin()
        self.expect_answer()
        self.written = self.watched = self.streams = False
        self.transport.writelines(exchange.message())
        if not self.transport.get_write_buffer_size() and not self.transport.is_closing():
            self.written = True
            exchange.whole()
        if looked_at is not None and self.node.clock() - looked_at > HELD_UP_S and self._readable():
            self._ended_by_stray(StrayReason.CROSSED, 0)

    def fresh(self) -> bool:
        """Guards against what the loop has not read yet when an idle connection is taken again: its end, on
        which the request would be reset, or a second copy of the last answer, taken for the next one."""
        if self.transport.is_closing():
            return False
        if not self._readable():
            return True
        if self.look is not None and not self.look.closed():
            self._tell_stray(StrayReason.UNREAD, 0)
        return False

    def _readable(self) -> bool:
        if self.look is None:
            self.look = HangUpWatch(self.transport)
        return self.look.readable()

    def spare_for_others(self) -> None:
        """Its request goes on another connection. It comes up all the same, and waits for another request."""
        self.exchange, self.spare = None, True

    def give_up(self, exchange: Exchange) -> None:
        if self.exchange is exchange:
            self.exchange = None
            self.close()

    def close(self) -> None:
        self.life.close()
        self.transport.abort()

    def broken(self) -> None:
        # Also ends the connection: a node that has sent half an answer or noise leaves it open, and what is
        # never closed holds one of the pool's places and a descriptor at either side for good.
        self.close()
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.end(Outcome.RESET if self.written else Outcome.CONNECT_FAILED)

    def _ended_by_stray(self, reason: StrayReason, size: int) -> None:
        """What has come is not this request's answer, which may yet run."""
        self._tell_stray(reason, size)
        self.close()
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.end(Outcome.RESET)

    def _tell_stray(self, reason: StrayReason, size: int) -> None:
        after_s = max(0.0, self.node.clock() - self.life.answered_at)
        self.node.saw_stray(Stray(self, reason, after_s, size))

    # ---- the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.parser = httptools.HttpResponseParser(self)
        self.transport.set_write_buffer_limits(high=0)
        exchange = self.exchange
        if exchange is not None and not exchange.done:
            exchange.task = exchange.opening = None
            self.start(exchange)
        elif self.spare:
            self.life.stand_by(self.node.clock())
            self.node.put_back(self)
        else:
            self.exchange = None
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.node.lost(self)
        self.broken()
        super().connection_lost(exc)

    def eof_received(self) -> bool:
        if self.exchange is not None and self.ends_by_close():
            self.complete = self.framed = True
            self._completed()
        else:
            self.broken()
        return False

    def pause_writing(self) -> None:
        pass

    def resume_writing(self) -> None:
        if not self.written and self.exchange is not None:
            self.written = True
            self.exchange.whole()

    def data_received(self, data: bytes) -> None:
        if self.exchange is None:
            reason = self.life.stray()
            if reason is not None:
                self._tell_stray(reason, len(data))
            self.close()
            return
        if not self.begun and self.life.used and self._is_early():
            self._ended_by_stray(StrayReason.EARLY, len(data))
            return
        try:
            self.feed(data)
        except (*PARSER_ERRORS, HeadTooLong):
            if not self.complete:
                self.broken()
                return
            self.surplus = True
        if self.exchange is not None:
            self._go_on()

    def _is_early(self) -> bool:
        left = unacknowledged(self.transport) if self.written else 0
        return self.life.is_early(self.written, left)

    def _go_on(self) -> None:
        """Some more of the answer has been read."""
        a = self.answer
        if self.complete:
            self._completed()
        elif self.is_endless():
            self._cut()
        elif (a.status or self.spare) and self.exchange is not None:
            self.heard_at = self.node.loop.time()
            if not self.watched:
                self.watched = True
                self.node.loop.call_later(QUIET_S, self._quiet, self.exchange, 0.0)

    def _quiet(self, exchange: Exchange, seen: float) -> None:
        """Guards against nodes that fall silent in the middle of an answer: the attempt would wait for the
        rest until the client's time is up, when another node could have answered long before."""
        if self.exchange is not exchange or self.complete or self.streams:
            return
        rest = self.heard_at + QUIET_S - self.node.loop.time()
        if rest > 0:
            self.node.loop.call_later(rest + 0.001, self._quiet, exchange, 0.0)
        elif seen != self.heard_at:
            self.node.loop.call_later(LOOK_AGAIN_S, self._quiet, exchange, self.heard_at)
        else:
            self.broken()

    def _cut(self) -> None:
        """An answer whose end could not be told from a break, or that fills memory for nothing. What a head
        says of a failure holds without its body."""
        exchange, a = self.exchange, self.answer
        if exchange is None or a.status < 200 or self.counts(a):
            self.broken()
        else:
            exchange.end(a.outcome(), a)

    def _completed(self) -> None:
        exchange, answer = self.exchange, self.answer
        assert exchange is not None
        if not self.framed:
            self._cut()
            return
        now = self.node.clock()
        self.last_target = exchange.request.target if isinstance(exchange, Attempt) else b""
        if self.surplus:
            self.life.answered_at = now
            self._tell_stray(StrayReason.SURPLUS, 0)
        outcome = answer.outcome()
        keeps = self.written and self.lasting and not self.surplus
        self.life.answered(now, keeps and outcome not in NEVER_RAN)
        self.exchange, exchange.connection = None, None
        self.resume()
        if self.life.state is State.RESTING:
            self.node.put_back(self)
        else:
            self.close()
        exchange.end(outcome, answer)

    def pause(self) -> None:
        if not self.paused:
            self.paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        if self.paused:
            self.paused = False
            self.heard_at = self.node.loop.time()
            self.transport.resume_reading()

    def on_body(self, body: bytes) -> None:
        exchange, a = self.exchange, self.answer
        self.spare = 0
        if exchange is None or self.complete:
            return
        a.size += len(body)
        self.check_size(a.size)
        if isinstance(exchange, Attempt):
            if exchange.streaming:
                exchange.host.stream_goes_on(exchange, body)
            elif a.status == 200 or self.counts(a):
                a.body.append(body)
                if a.size > WHOLE_LIMIT or (a.length or 0) > WHOLE_LIMIT:
                    self._stream(exchange)
                elif self.framed and a.length is None and len(a.body) == 1:
                    self.node.loop.call_later(STREAM_AFTER_S, self._stream, exchange)
        elif a.size <= WHOLE_LIMIT:
            a.body.append(body)

    def _stream(self, attempt: Attempt) -> None:
        # Guards against a long answer that trickles in: kept back until 64 KiB were there, its first bytes
        # came to the client late, and its attempt ran out of time with the answer under way.
        if self.exchange is attempt and not self.complete and not attempt.streaming:
            self.streams = True
            attempt.begin_stream(self.answer)
