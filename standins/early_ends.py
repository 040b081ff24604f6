"""Answers of nodes that end early, in every framing and way in which one can end."""

from __future__ import annotations

import asyncio
import itertools
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b

PAUSE_S = 0.1  # before an answer ends early: longer than the proxy waits before it streams an answer
CUTS: dict[str, Callable[[int], int]] = {
    "after the head": lambda size: 0,
    "after one byte": lambda size: 1,
    "half way": lambda size: size // 2,
    "before the last byte": lambda size: size - 1,
    "before the end": lambda size: size,
}
ENDS = ("fin", "reset", "spoilt chunk", "standstill")
SIZES = (2_000, 60_000, 65_536)


@dataclass(frozen=True, slots=True)
class EarlyEnd:
    """One way in which an answer can end early. Without `chunked` it has a Content-Length."""

    chunked: bool
    cut: str
    end: str
    size: int

    def __str__(self) -> str:
        return f"{'chunks' if self.chunked else 'length'}-{self.cut}-{self.end}-{self.size}".replace(" ", "_")

    @property
    def is_possible(self) -> bool:
        return self.chunked or not (self.cut == "before the end" or self.end == "spoilt chunk")


EARLY_ENDS = [
    early_end
    for early_end in itertools.starmap(EarlyEnd, itertools.product((True, False), CUTS, ENDS, SIZES))
    if early_end.is_possible
]


def body_for(key: str, size: int) -> bytes:
    """Returns the body of the whole answer to the report with this key."""
    block = blake2b(key.encode()).hexdigest().encode()
    return (block * (size // len(block) + 1))[:size]


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes the connection with a reset, after what was written has been sent."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def write_early_end(
    writer: asyncio.StreamWriter, early_end: EarlyEnd, body: bytes, stand_s: float = 8.0
) -> None:  # fmt: skip
    """Writes an answer with this body and ends it early. One that stands still does so for `stand_s`; the
    connection then is left to its owner."""
    sent = body[: CUTS[early_end.cut](len(body))]
    framing = "Transfer-Encoding: chunked" if early_end.chunked else f"Content-Length: {len(body)}"
    writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n{framing}\r\n\r\n".encode())
    for part in (sent[: len(sent) // 2], sent[len(sent) // 2 :]):
        if part:
            writer.write(b"%x\r\n%b\r\n" % (len(part), part) if early_end.chunked else part)
    await writer.drain()
    await asyncio.sleep(PAUSE_S)
    match early_end.end:
        case "fin":
            writer.close()
        case "reset":
            reset(writer)
        case "spoilt chunk":
            writer.write(b"no size\r\n")
        case "standstill":
            await asyncio.sleep(stand_s)
