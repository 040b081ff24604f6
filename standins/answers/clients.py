"""Clients that record their requests and answers. Some close early, write slowly or in part, or pipeline."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from random import Random

from standins import http
from standins.answers.plan import Plan

ANSWER_GRACE_S = 0.5  # an answer that comes later than this after its deadline counts as lost
INCOMPLETE_TIMEOUT_S = 3.0  # by then a client that sent half a request must get an error or a close
CUT_STATUS = 599  # recorded as the status of an answer that was cut off in its body


@dataclass(slots=True)
class Request:
    """One request and its outcome. Times are seconds of CLOCK_MONOTONIC."""

    name: str
    proxy: int
    deadline_s: float
    sent: float = 0.0
    resent: float = 0.0  # when it was sent on a second connection, or 0
    answers: list[tuple[int, float, str]] = field(default_factory=list)  # status, time, body
    closed_at: float = 0.0  # when its client closed the connection before an answer, or 0
    ended: str = ""  # how its connection ended, if that was before an answer
    incomplete: bool = False  # only a part of it was written; `closed_at` is then when the proxy closed

    @property
    def status(self) -> int:
        return self.answers[0][0] if self.answers else 0


class Connection:
    """A connection to one proxy. `used` is set once an answer has been read from it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.used = reader, writer, False

    def abort(self) -> None:
        self.writer.transport.abort()


class Clients:
    """All clients of a round, and their requests."""

    def __init__(self, plan: Plan, ports: list[int]) -> None:
        self.plan, self.ports = plan, ports
        self.random = Random(f"clients {plan.seed}")
        self.requests: list[Request] = []
        self.free: list[list[Connection]] = [[] for _ in ports]  # idle connections to each proxy
        self.busy: dict[Connection, list[Request]] = {}  # the requests in flight on each connection
        self.unexpected: list[str] = []  # bytes received on idle connections

    def encode(self, request: Request) -> bytes:
        """Returns the bytes of a request, for a random key."""
        is_write = self.plan.repeat != "read_like"
        body = b"level=3.2" if is_write else b""
        lines = [
            f"{'PUT' if is_write else 'GET'} /api/k{self.random.randrange(5000):04d} HTTP/1.1", "Host: x",
            f"Req-Id: {request.name}", "Req-Kind: level-read", f"Req-Deadline: {request.deadline_s:.3f}",
        ]  # fmt: skip
        if self.plan.repeat == "idempotency_key":
            lines.append(f"Idempotency-Key: {request.name}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body

    def _new_request(self, proxy: int) -> Request:
        deadline_s = self.plan.deadline_s
        if self.random.random() < self.plan.faults.patient:
            deadline_s *= 2
        request = Request(f"q{self.plan.seed}-{len(self.requests):06d}", proxy, deadline_s)
        self.requests.append(request)
        return request

    async def send(self, proxy: int, only_open: bool = False) -> None:
        """Sends a request, or several pipelined ones, as one client. With `only_open`, it uses an idle
        connection, and sends nothing if there is none."""
        faults, random = self.plan.faults, self.random
        if only_open and not self.free[proxy]:
            return
        if random.random() < faults.stoppers and not only_open:
            await self._send_incomplete(proxy)
            return
        count = random.randint(2, 4) if random.random() < faults.pipelined else 1
        requests = [self._new_request(proxy) for _ in range(count)]
        close_after_s = (
            random.uniform(0.0, 0.8 * self.plan.deadline_s) if random.random() < faults.leavers else 0.0
        )
        slowly = random.random() < faults.slow_writers
        try:
            await self._exchange(requests, slowly, close_after_s)
        except OSError as e:
            for request in requests:
                request.ended = request.ended or f"broke: {type(e).__name__}"

    async def _connection(self, proxy: int) -> Connection:
        """Returns an idle connection to a proxy, or a new one. Raises OSError."""
        while self.free[proxy]:
            connection = self.free[proxy].pop()
            if connection.reader._buffer:  # type: ignore[attr-defined]
                self.unexpected.append(bytes(connection.reader._buffer).decode("latin-1"))  # type: ignore[attr-defined]
                connection.abort()
            elif not connection.reader.at_eof():
                return connection
        return Connection(*await asyncio.open_connection("127.0.0.1", self.ports[proxy]))

    async def _exchange(self, requests: list[Request], slowly: bool, close_after_s: float) -> None:
        try:
            connection = await self._connection(requests[0].proxy)
        except OSError as e:
            for request in requests:
                request.ended = f"no connection: {e}"
            return
        data = b"".join(self.encode(request) for request in requests)
        self.busy[connection] = requests
        try:
            await self._write(connection, data, slowly)
            for request in requests:
                request.sent = time.monotonic()
            if close_after_s:
                asyncio.get_running_loop().call_later(close_after_s, self._close_early, connection)
            for index, request in enumerate(requests):
                if not await self._read_answer(
                    connection, request, requests[index:], data if index == 0 else b""
                ):
                    return
        finally:
            self.busy.pop(connection, None)
        if close_after_s:
            connection.abort()
        else:
            self.free[requests[0].proxy].append(connection)

    async def _write(self, connection: Connection, data: bytes, slowly: bool) -> None:
        if not slowly:
            connection.writer.write(data)
            return
        step = max(1, len(data) // 4)
        for offset in range(0, len(data), step):
            connection.writer.write(data[offset : offset + step])
            await asyncio.sleep(self.random.uniform(0.0, 0.05))

    def _close_early(self, connection: Connection) -> None:
        """Closes a connection as a client does that no longer waits for its answers."""
        for request in self.busy.get(connection, ()):
            if not request.answers:
                request.closed_at = request.closed_at or time.monotonic()
        connection.abort()

    def close_many(self) -> None:
        """Closes a third of the connections that wait for an answer."""
        waiting = list(self.busy)
        for connection in self.random.sample(waiting, len(waiting) // 3):
            self._close_early(connection)

    async def _read_answer(
        self, connection: Connection, request: Request, unanswered: list[Request], data: bytes
    ) -> bool:
        """Reads the answer to `request`, the first of `unanswered`. Returns False if the connection cannot be
        used any further; then all of `unanswered` have ended. If `data` holds the bytes of
        `unanswered`, they are sent again on a new connection when a reused one ends without an answer."""
        try:
            async with asyncio.timeout(request.deadline_s + 2 * ANSWER_GRACE_S):
                message = await http.read(connection.reader)
        except http.TruncatedBody:
            request.answers.append((CUT_STATUS, time.monotonic(), ""))
            self._fail(connection, unanswered[1:], "an earlier answer was cut")
            return False
        except (TimeoutError, http.MalformedMessage) as e:
            self._fail(connection, unanswered, f"silence: {e}")
            return False
        except (OSError, asyncio.IncompleteReadError) as e:
            partial = getattr(e, "partial", b"")
            if data and connection.used and not partial and not request.closed_at:
                await self._resend(connection, unanswered, data)
            else:
                self._fail(connection, unanswered, f"broke: {type(e).__name__} {partial[:20]!r}")
            return False
        connection.used = True
        request.answers.append(
            (int(message.start.split(" ")[1]), time.monotonic(), message.body.decode("latin-1"))
        )
        if message.headers.get("connection", "").lower() == "close":
            if unanswered[1:] and not request.closed_at:
                # Requests that the proxy has not read are sent on a new connection (RFC 9112, 9.3.2).
                await self._resend(
                    connection, unanswered[1:], b"".join(self.encode(r) for r in unanswered[1:])
                )
            connection.writer.close()
            return False
        return True

    async def _resend(self, connection: Connection, requests: list[Request], data: bytes) -> None:
        """Sends requests again on a new connection, because the proxy closed the first one without an answer
        to them."""
        connection.abort()
        try:
            fresh = Connection(*await asyncio.open_connection("127.0.0.1", self.ports[requests[0].proxy]))
        except OSError as e:
            for request in requests:
                request.ended = f"no connection: {e}"
            return
        fresh.writer.write(data)
        for request in requests:
            request.resent = time.monotonic()
        for index, request in enumerate(requests):
            if not await self._read_answer(fresh, request, requests[index:], b""):
                return
        fresh.abort()

    def _fail(self, connection: Connection, requests: list[Request], reason: str) -> None:
        """Closes the connection and records the reason for requests that have no answer."""
        connection.abort()
        for request in requests:
            if not request.answers and not request.closed_at:
                request.ended = reason

    async def _send_incomplete(self, proxy: int) -> None:
        """Writes a part of a request and waits for an error or a close."""
        request = self._new_request(proxy)
        request.incomplete = True
        try:
            connection = await self._connection(proxy)
            data = self.encode(request)
            connection.writer.write(data[: self.random.randrange(1, len(data) - 1)])
            request.sent = time.monotonic()
            async with asyncio.timeout(2 * INCOMPLETE_TIMEOUT_S):
                await connection.reader.read()
            request.ended = "closed"
        except TimeoutError:
            request.ended = "silence"
        except OSError:
            request.ended = "closed"
        finally:
            if request.ended == "closed":
                request.closed_at = time.monotonic()

    def close(self) -> None:
        """Closes all connections, and records the bytes that had arrived on idle ones."""
        for free in self.free:
            for connection in free:
                if connection.reader._buffer:  # type: ignore[attr-defined]
                    self.unexpected.append(bytes(connection.reader._buffer).decode("latin-1"))  # type: ignore[attr-defined]
                connection.abort()
        for connection in list(self.busy):
            connection.abort()
