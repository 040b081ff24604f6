"""The part of HTTP/1.1 that the stand-ins need: a strict reader of messages, and a server."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


class MalformedMessage(Exception):
    """The bytes are not an HTTP message; the text says why."""


class TruncatedBody(Exception):
    """The stream ended within a body, or the body's length is invalid. `start` is the start line."""

    def __init__(self, start: str) -> None:
        super().__init__("truncated body")
        self.start = start


@dataclass(slots=True)
class Message:
    """A request or a response. Field names are in lower case; of a repeated field, the last value is kept."""

    start: str
    headers: dict[str, str]
    body: bytes


async def read(reader: asyncio.StreamReader) -> Message:
    """Reads one message. Raises MalformedMessage; TruncatedBody if the stream ends in the body; and
    IncompleteReadError if it ends in the head, with an empty `partial` if it ends before the head."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.LimitOverrunError:
        raise MalformedMessage("the head is too long") from None
    start, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon or name != name.strip() or not name:
            raise MalformedMessage(f"invalid field line {line!r}")
        if name.lower() in headers and name.lower() in ("content-length", "req-id", "idempotency-key"):
            raise MalformedMessage(f"repeated field {name}")
        headers[name.lower()] = value.strip()
    try:
        return Message(start, headers, await _body(reader, headers))
    except (asyncio.IncompleteReadError, OSError, ValueError):
        raise TruncatedBody(start) from None


async def _body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if "content-length" in headers and "transfer-encoding" in headers:
        raise MalformedMessage("both Content-Length and Transfer-Encoding")
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if headers.get("transfer-encoding", "").lower() == "chunked":
        chunks = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            chunks.append((await reader.readexactly(size + 2))[:-2])
        await reader.readline()
        return b"".join(chunks)
    return b""


class Server:
    """Listens on loopback, and answers the messages of each connection in turn with `reply`."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.port = 0
        self.writers: dict[asyncio.StreamWriter, None] = {}

    async def reply(self, message: Message) -> bytes:
        """Returns the response to a request, as bytes."""
        raise NotImplementedError

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers[writer] = None
        try:
            while True:
                writer.write(await self.reply(await read(reader)))
                await writer.drain()
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            MalformedMessage,
            TruncatedBody,
        ):
            pass  # the client closed or sent an invalid message, or the program ends
        finally:
            self.writers.pop(writer, None)
            writer.close()


def response(status: int, body: bytes = b"", extra_headers: str = "") -> bytes:
    """Returns a response; each field line of `extra_headers` ends with CRLF."""
    return f"HTTP/1.1 {status} Stand-in\r\nContent-Length: {len(body)}\r\n{extra_headers}\r\n".encode() + body
