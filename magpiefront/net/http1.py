"""HTTP/1.1 code that client and node connections share: limits, feeding the parser, and heads of answers."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import httptools

from magpiefront.net.message_size import BODY_SLICE_BYTES, SLICE_BYTES, MessageSize

MAX_BODY_BYTES = 32 * 1024 * 1024  # of a request or an answer
MAX_BUFFERED_BYTES = 64 * 1024  # longer answers are passed on while they are received

REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    409: b"Conflict", 413: b"Content Too Large",
    422: b"Unprocessable Content", 429: b"Too Many Requests", 431: b"Request Header Fields Too Large",
    502: b"Bad Gateway", 503: b"Service Unavailable", 504: b"Gateway Timeout",
}  # fmt: skip
# An upgrade that was not requested is handled like a head that can't be parsed.
PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)


class HeadTooLong(Exception):
    """A message's head or trailer, or the text between two chunks of its body, is longer than the limit."""


class Connection(asyncio.BaseProtocol):
    """A transport and the parser that its bytes are fed to.

    `in_head`: a head is being read, or is expected next. `in_message`: a message has been read in part.
    """

    __slots__ = ("in_head", "in_message", "message_size", "parser", "transport")

    def __init__(self) -> None:
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)  # until connection_made
        self.parser: Any = None
        self.in_head, self.in_message = True, False
        self.message_size = MessageSize()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the connection is established."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Breaks the reference cycle of parser and connection. Otherwise memory would grow until the garbage
        collector runs: the connection holds its transport and the bytes that were read last."""
        self.parser = None

    @property
    def has_partial_message(self) -> bool:
        """Whether anything has been read that no complete message accounts for."""
        return self.in_message or not self.in_head or self.message_size.unfinished_bytes > 0

    def feed(self, data: bytes | memoryview) -> None:
        """Feeds bytes to the parser. Raises HeadTooLong, or one of PARSER_ERRORS."""
        while data:  # never feed an empty slice, which the parser takes for the end of the stream
            size = SLICE_BYTES if self.in_head else BODY_SLICE_BYTES
            self.feed_slice(data[:size])
            data = data[size:]

    def feed_slice(self, data: bytes | memoryview) -> None:
        """Feeds one slice to the parser: at most SLICE_BYTES in a head, and BODY_SLICE_BYTES in a body.
        Raises HeadTooLong, or one of PARSER_ERRORS."""
        self.message_size.unfinished_bytes += len(data)
        self.parser.feed_data(data)
        if self.message_size.unfinished_too_long(self.in_head):
            raise HeadTooLong

    def on_message_begin(self) -> None:
        """The first byte of a message has been read."""
        self.in_head = self.in_message = True
        self.message_size.begin()


def head(status: int, length: int | None, more: bytes = b"", close: bool = False) -> bytes:
    """Returns the head of an answer. `length` is that of the body in bytes; with None the body is chunked.
    `more` holds further field lines, each ended by CRLF. A status without a phrase here is sent without one
    (RFC 9112, 4): nothing that a node or a store answers makes this raise."""
    reason = REASONS.get(status, b"")
    if length is not None and not close:  # the common case
        return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n\r\n" % (status, reason, more, length)
    framing = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length
    end = b"\r\nConnection: close\r\n\r\n" if close else b"\r\n\r\n"
    return b"HTTP/1.1 %d %b\r\n%b%b%b" % (status, reason, more, framing, end)


def chunk(data: bytes) -> bytes:
    """A chunk of a body (RFC 9112, 7.1)."""
    return b"%x\r\n%b\r\n" % (len(data), data)
