"""The encoding of messages between members: a length, followed by msgpack. The caller drops and counts
messages that can't be decoded."""

from __future__ import annotations

import msgspec

from magpiefront.group.messages import AnyMessage, Message

LENGTH_BYTES = 4  # a big-endian number, the size of the message without it


class Envelope(msgspec.Struct, array_like=True):
    """A message with its group, sender and receiver. `to` is a member's id, or a member's name and a dot,
    which addresses whichever incarnation has that name."""

    group: str
    sender: str
    to: str
    message: AnyMessage


class FrameTooLong(Exception):
    """The length of a message exceeds the limit. The exception's message names both."""


DECODER: msgspec.msgpack.Decoder[Envelope] = msgspec.msgpack.Decoder(Envelope)


def encode_frame(group: str, sender: str, to: str, message: Message) -> bytes:
    data = msgspec.msgpack.encode([group, sender, to, message])
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def decode(data: bytes) -> Envelope | None:
    """Returns None for data that is no message of a known version."""
    try:
        return DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        return None


class FrameReader:
    """Splits a stream of bytes into messages. It buffers at most one incomplete message."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the messages that `data` completes, without their lengths. Raises FrameTooLong."""
        self.buffer += data
        found, at = [], 0
        while len(self.buffer) - at >= LENGTH_BYTES:
            size = int.from_bytes(self.buffer[at : at + LENGTH_BYTES], "big")
            if size > self.max_bytes:
                raise FrameTooLong(f"a message of {size} bytes exceeds the limit of {self.max_bytes} bytes")
            if len(self.buffer) - at < LENGTH_BYTES + size:
                break
            found.append(bytes(self.buffer[at + LENGTH_BYTES : at + LENGTH_BYTES + size]))
            at += LENGTH_BYTES + size
        del self.buffer[:at]
        return found
