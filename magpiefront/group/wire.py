"""Messages between members as bytes: msgpack behind a length. What can't be read is dropped and counted."""

from __future__ import annotations

import msgspec

from magpiefront.group.messages import AnyMessage, Message

LENGTH = 4


class Envelope(msgspec.Struct, array_like=True):
    """`to` may be a name with a point behind it: whoever has that name now."""

    group: str
    sender: str
    to: str
    message: AnyMessage


class TooLong(Exception):
    """A length that no message may have; its text says which."""


DECODER: msgspec.msgpack.Decoder[Envelope] = msgspec.msgpack.Decoder(Envelope)


def frame(group: str, sender: str, to: str, message: Message) -> bytes:
    data = msgspec.msgpack.encode([group, sender, to, message])
    return len(data).to_bytes(LENGTH, "big") + data


def read(data: bytes) -> Envelope | None:
    """None: not a message of any version that is known here."""
    try:
        return DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        return None


class Frames:
    """Cuts a stream of bytes into messages, without keeping more than one that is begun."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.box = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Raises TooLong."""
        self.box += data
        found, at = [], 0
        while len(self.box) - at >= LENGTH:
            size = int.from_bytes(self.box[at : at + LENGTH], "big")
            if size > self.most:
                raise TooLong(f"a message of {size} bytes, {self.most} at most")
            if len(self.box) - at < LENGTH + size:
                break
            found.append(bytes(self.box[at + LENGTH : at + LENGTH + size]))
            at += LENGTH + size
        del self.box[:at]
        return found
