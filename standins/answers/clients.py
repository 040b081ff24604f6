"""Clients that keep a book of what they asked and heard; some of them leave, stop, dawdle or pipeline."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from random import Random

from standins import http
from standins.answers.plan import Plan

LATE_S = 0.5  # an answer this long past its time is lost
STOPPED_S = 3.0  # within which a client that stops in the middle is owed an error or a close
CUT = 599  # stands for an answer that broke off in its body


@dataclass(slots=True)
class Asked:
    """One request. Times are seconds of CLOCK_MONOTONIC; `left_at` is when its client closed."""

    name: str
    proxy: int
    deadline_s: float
    sent: float = 0.0
    sent_again: float = 0.0
    answers: list[tuple[int, float, str]] = field(default_factory=list)  # status, when, body
    left_at: float = 0.0
    ended: str = ""  # how its connection ended, where that was before an answer
    stopped: bool = False  # only half of it was ever written

    @property
    def status(self) -> int:
        return self.answers[0][0] if self.answers else 0


class Connection:
    """To one proxy; `used` once an answer has come on it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.used = reader, writer, False

    def abort(self) -> None:
        self.writer.transport.abort()


class Clients:
    """All clients of a round."""

    def __init__(self, plan: Plan, ports: list[int]) -> None:
        self.plan, self.ports = plan, ports
        self.random = Random(f"clients {plan.seed}")
        self.asked: list[Asked] = []
        self.free: list[list[Connection]] = [[] for _ in ports]
        self.busy: dict[Connection, list[Asked]] = {}
        self.extra: list[str] = []  # answers that nobody had asked for

    def message(self, a: Asked) -> bytes:
        write = self.plan.repeat != "read_like"
        body = b"level=3.2" if write else b""
        lines = [
            f"{'PUT' if write else 'GET'} /api/k{self.random.randrange(5000):04d} HTTP/1.1", "Host: x",
            f"Req-Id: {a.name}", "Req-Kind: level-read", f"Req-Deadline: {a.deadline_s:.3f}",
        ]  # fmt: skip
        if self.plan.repeat == "idempotency_key":
            lines.append(f"Idempotency-Key: {a.name}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body

    def new(self, proxy: int) -> Asked:
        deadline_s = self.plan.deadline_s
        if self.random.random() < self.plan.faults.patient:
            deadline_s *= 2
        a = Asked(f"q{self.plan.seed}-{len(self.asked):06d}", proxy, deadline_s)
        self.asked.append(a)
        return a

    async def ask(self, proxy: int, open_alone: bool = False) -> None:
        """One client's turn: a request, or several at once. `open_alone`: only where a connection is free."""
        faults, random = self.plan.faults, self.random
        if open_alone and not self.free[proxy]:
            return
        if random.random() < faults.stoppers and not open_alone:
            await self._stop_half_way(proxy)
            return
        count = random.randint(2, 4) if random.random() < faults.pipelined else 1
        asked = [self.new(proxy) for _ in range(count)]
        leaves_in = (
            random.uniform(0.0, 0.8 * self.plan.deadline_s) if random.random() < faults.leavers else 0.0
        )
        slowly = random.random() < faults.slow_writers
        try:
            await self._exchange(asked, slowly, leaves_in)
        except OSError as e:
            for a in asked:
                a.ended = a.ended or f"broke: {type(e).__name__}"

    async def _connection(self, proxy: int) -> Connection:
        while self.free[proxy]:
            c = self.free[proxy].pop()
            if c.reader._buffer:  # type: ignore[attr-defined]
                self.extra.append(bytes(c.reader._buffer).decode("latin-1"))  # type: ignore[attr-defined]
                c.abort()
            elif not c.reader.at_eof():
                return c
        return Connection(*await asyncio.open_connection("127.0.0.1", self.ports[proxy]))

    async def _exchange(self, asked: list[Asked], slowly: bool, leaves_in: float) -> None:
        try:
            c = await self._connection(asked[0].proxy)
        except OSError as e:
            for a in asked:
                a.ended = f"no connection: {e}"
            return
        data = b"".join(self.message(a) for a in asked)
        self.busy[c] = asked
        try:
            await self._write(c, data, slowly)
            for a in asked:
                a.sent = time.monotonic()
            if leaves_in:
                asyncio.get_running_loop().call_later(leaves_in, self._leave, c)
            for at, a in enumerate(asked):
                if not await self._answer(c, a, asked[at:], data if at == 0 else b""):
                    return
        finally:
            self.busy.pop(c, None)
        if leaves_in:
            c.abort()
        else:
            self.free[asked[0].proxy].append(c)

    async def _write(self, c: Connection, data: bytes, slowly: bool) -> None:
        if not slowly:
            c.writer.write(data)
            return
        step = max(1, len(data) // 4)
        for at in range(0, len(data), step):
            c.writer.write(data[at : at + step])
            await asyncio.sleep(self.random.uniform(0.0, 0.05))

    def _leave(self, c: Connection) -> None:
        for a in self.busy.get(c, ()):
            if not a.answers:
                a.left_at = a.left_at or time.monotonic()
        c.abort()

    def leave_in_a_burst(self) -> None:
        waiting = list(self.busy)
        for c in self.random.sample(waiting, len(waiting) // 3):
            self._leave(c)

    async def _answer(self, c: Connection, a: Asked, rest: list[Asked], data: bytes) -> bool:
        """Reads the answer to `a`. False where the connection is of no further use; then `rest` has ended."""
        try:
            async with asyncio.timeout(a.deadline_s + 2 * LATE_S):
                m = await http.read(c.reader)
        except http.Cut:
            a.answers.append((CUT, time.monotonic(), ""))
            self._end(c, rest[1:], "cut before it")
            return False
        except (TimeoutError, http.Bad) as e:
            self._end(c, rest, f"silence: {e}")
            return False
        except (OSError, asyncio.IncompleteReadError) as e:
            partial = getattr(e, "partial", b"")
            if data and c.used and not partial and not a.left_at:
                await self._send_again(c, rest, data)
            else:
                self._end(c, rest, f"broke: {type(e).__name__} {partial[:20]!r}")
            return False
        c.used = True
        a.answers.append((int(m.start.split(" ")[1]), time.monotonic(), m.body.decode("latin-1")))
        if m.headers.get("connection", "").lower() == "close":
            if rest[1:] and not a.left_at:
                # What the proxy has not read goes on a new connection (RFC 9112, 9.3.2).
                await self._send_again(c, rest[1:], b"".join(self.message(r) for r in rest[1:]))
            c.writer.close()
            return False
        return True

    async def _send_again(self, c: Connection, asked: list[Asked], data: bytes) -> None:
        """The proxy closed a kept connection as the request came: once more, on a new one."""
        c.abort()
        try:
            new = Connection(*await asyncio.open_connection("127.0.0.1", self.ports[asked[0].proxy]))
        except OSError as e:
            for a in asked:
                a.ended = f"no connection: {e}"
            return
        new.writer.write(data)
        for a in asked:
            a.sent_again = time.monotonic()
        for at, a in enumerate(asked):
            if not await self._answer(new, a, asked[at:], b""):
                return
        new.abort()

    def _end(self, c: Connection, asked: list[Asked], why: str) -> None:
        c.abort()
        for a in asked:
            if not a.answers and not a.left_at:
                a.ended = why

    async def _stop_half_way(self, proxy: int) -> None:
        a = self.new(proxy)
        a.stopped = True
        try:
            c = await self._connection(proxy)
            data = self.message(a)
            c.writer.write(data[: self.random.randrange(1, len(data) - 1)])
            a.sent = time.monotonic()
            async with asyncio.timeout(2 * STOPPED_S):
                await c.reader.read()
            a.ended = "closed"
        except TimeoutError:
            a.ended = "silence"
        except OSError:
            a.ended = "closed"
        finally:
            if a.ended == "closed":
                a.left_at = time.monotonic()

    def close(self) -> None:
        for free in self.free:
            for c in free:
                if c.reader._buffer:  # type: ignore[attr-defined]
                    self.extra.append(bytes(c.reader._buffer).decode("latin-1"))  # type: ignore[attr-defined]
                c.abort()
        for c in list(self.busy):
            c.abort()
