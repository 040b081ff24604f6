"""As much of HTTP/1.1 as stand-ins need: one message after the other from a stream, read strictly."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


class Bad(Exception):
    """What came is no message; the text says why."""


class Cut(Exception):
    """The stream ended after a head and before the end of the body that it tells of."""

    def __init__(self, start: str) -> None:
        super().__init__("cut in the body")
        self.start = start


@dataclass(slots=True)
class Message:
    start: str
    headers: dict[str, str]
    body: bytes


async def read(reader: asyncio.StreamReader) -> Message:
    """Raises Bad, Cut, or IncompleteReadError where the stream ends in a head (no `partial`: before it)."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.LimitOverrunError:
        raise Bad("a head without end") from None
    start, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon or name != name.strip() or not name:
            raise Bad(f"a field line {line!r}")
        if name.lower() in headers and name.lower() in ("content-length", "req-id", "idempotency-key"):
            raise Bad(f"{name} twice")
        headers[name.lower()] = value.strip()
    try:
        return Message(start, headers, await _body(reader, headers))
    except (asyncio.IncompleteReadError, OSError, ValueError):
        raise Cut(start) from None


async def _body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if "content-length" in headers and "transfer-encoding" in headers:
        raise Bad("two framings")
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append((await reader.readexactly(size + 2))[:-2])
        await reader.readline()
        return b"".join(parts)
    return b""


class Server:
    """Listens, and answers one message after the other on each connection with what `reply` makes of it."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.port = 0
        self.writers: dict[asyncio.StreamWriter, None] = {}

    async def reply(self, m: Message) -> bytes:
        raise NotImplementedError

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for w in list(self.writers):
            w.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers[writer] = None
        try:
            while True:
                writer.write(await self.reply(await read(reader)))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, Bad, Cut):
            pass  # cancelled: the program ends
        finally:
            self.writers.pop(writer, None)
            writer.close()


def answer(status: int, body: bytes = b"", more: str = "") -> bytes:
    return f"HTTP/1.1 {status} Stand-in\r\nContent-Length: {len(body)}\r\n{more}\r\n".encode() + body
