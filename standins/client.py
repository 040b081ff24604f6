"""HTTP clients with deadlines that record how each request was answered."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from standins import http


TRUNCATED = 599  # recorded as the status of an answer that ended within its body


@dataclass(slots=True)
class ClientRequest:
    """A request of a client and its answers. Times are in seconds of the event loop's clock."""

    name: str  # Req-Id
    kind: str  # class (Req-Kind)
    site: str  # the site that it is sent to
    key: str
    method: str
    deadline_s: float
    effect: str = ""  # key under which archives count its effect: its Idempotency-Key, else its Req-Id
    idempotency_key: str = ""  # Idempotency-Key, if any
    tenant: str = "members"  # Req-Owner
    retry_of: str = ""  # the name of the request that it repeats
    body: bytes = b"level=3.2"  # of a PUT
    sent_s: float = 0.0
    # Status, time of arrival, body and Retry-After of each answer.
    answers: list[tuple[int, float, bytes, str]] = field(default_factory=list)
    failure: str = ""  # why it has no answer

    @property
    def status(self) -> int:
        """The status of the first answer, 0 without one."""
        return self.answers[0][0] if self.answers else 0

    @property
    def latency_s(self) -> float:
        """The time until the first answer, infinite without one."""
        return self.answers[0][1] - self.sent_s if self.answers else float("inf")

    def encode(self) -> bytes:
        """Returns the bytes of the request, including the body of a PUT."""
        body = self.body if self.method == "PUT" else b""
        lines = [
            f"{self.method} /api/{self.key} HTTP/1.1", "Host: api.internal", f"Req-Id: {self.name}",
            f"Req-Kind: {self.kind}", f"Req-Owner: {self.tenant}", f"Req-Deadline: {self.deadline_s:.3f}",
        ]  # fmt: skip
        if self.idempotency_key:
            lines.append(f"Idempotency-Key: {self.idempotency_key}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body


class Client:
    """Persistent connections to one proxy, each with one request at a time. Bytes that arrive on a connection
    without an open request are a second answer to some request; they are recorded in `unsolicited`."""

    def __init__(self, port: int, grace_s: float = 1.0) -> None:
        self.port, self.grace_s = port, grace_s
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.writers: dict[asyncio.StreamWriter, None] = {}
        self.unsolicited: list[bytes] = []

    async def send(self, request: ClientRequest) -> ClientRequest:
        """Sends a request and records its answer or failure. Gives up `grace_s` after its deadline."""
        loop = asyncio.get_running_loop()
        request.sent_s = loop.time()
        retrying = False
        while True:
            is_new = retrying or not self.idle
            try:
                reader, writer = await self._open() if is_new else self.idle.pop()
            except OSError as error:
                request.failure = f"no connection: {error}"
                return request
            if not is_new and reader._buffer:  # type: ignore[attr-defined]
                self.unsolicited.append(bytes(reader._buffer))  # type: ignore[attr-defined]
            writer.write(request.encode())
            try:
                async with asyncio.timeout_at(request.sent_s + request.deadline_s + self.grace_s):
                    message = await http.read(reader)
            except TimeoutError:
                request.failure = "silence"
                writer.transport.abort()
                return request
            except http.TruncatedBody:
                # The client sees that the answer is incomplete, so the request has failed but is not lost.
                writer.transport.abort()
                request.answers.append((TRUNCATED, loop.time(), b"", ""))
                return request
            except (OSError, asyncio.IncompleteReadError) as error:
                writer.transport.abort()
                if not is_new and not retrying and not getattr(error, "partial", b""):
                    retrying = True  # the proxy closed the idle connection: send again on a new one
                    continue
                request.failure = f"broke: {type(error).__name__}"
                return request
            status = int(message.start.split(" ")[1])
            request.answers.append(
                (status, loop.time(), message.body, message.headers.get("retry-after", ""))
            )
            if message.headers.get("connection", "").lower() == "close":
                writer.close()
                self.writers.pop(writer, None)
            else:
                self.idle.append((reader, writer))
            return request

    async def _open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writers[writer] = None
        return reader, writer

    def close(self) -> None:
        """Records what arrived on idle connections, and resets all connections."""
        for reader, _ in self.idle:
            if reader._buffer:  # type: ignore[attr-defined]
                self.unsolicited.append(bytes(reader._buffer))  # type: ignore[attr-defined]
        for writer in self.writers:
            writer.transport.abort()
