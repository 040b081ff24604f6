"""HTTP/2 between gateways (RFC 9113) on `h2`: bytes in, events out, and bytes to write. No I/O, no clock.

Two things differ from plain `h2`. GOAWAY is read and written here, since `h2` takes it for the end of the
connection and would refuse the streams that it leaves to finish. And windows are opened here: that of the
connection as bytes come, a stream's only while its reader takes them, so that one slow reader holds up nobody
else.
"""

from __future__ import annotations

from collections import deque
from contextlib import suppress
from dataclasses import dataclass

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
from hyperframe.frame import GoAwayFrame

STREAM_WINDOW = 256 * 1024
CONNECTION_WINDOW = 8 * 1024 * 1024
HEAD_LIMIT = 32 * 1024
FRAME_LIMIT = 16 * 1024
HIGH, LOW = 128 * 1024, 32 * 1024  # of one stream's bytes that wait for its window
PREFACE = len(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
GOAWAY = 0x7
MOST_STREAM = 2**31 - 1
REFUSED, CANCEL, NO_ERROR, INTERNAL = (
    h2.errors.ErrorCodes.REFUSED_STREAM, h2.errors.ErrorCodes.CANCEL, h2.errors.ErrorCodes.NO_ERROR,
    h2.errors.ErrorCodes.INTERNAL_ERROR,
)  # fmt: skip


@dataclass(slots=True)
class Began:
    stream: int
    fields: list[tuple[bytes, bytes]]


@dataclass(slots=True)
class Came:
    stream: int
    data: bytes


@dataclass(slots=True)
class Ended:
    stream: int


@dataclass(slots=True)
class Reset:
    """`refused`: the peer says that it did nothing for this stream (RFC 9113, 8.7)."""

    stream: int
    refused: bool


@dataclass(slots=True)
class GoesAway:
    """Streams above `last` never ran (RFC 9113, 6.8)."""

    last: int
    error: int


@dataclass(slots=True)
class Ponged:
    pass


@dataclass(slots=True)
class Writable:
    """What waited on this stream's window has gone down to little."""

    stream: int


@dataclass(slots=True)
class Fault:
    """The connection can't go on."""

    cause: str


Event = Began | Came | Ended | Reset | GoesAway | Ponged | Writable | Fault


class Waiting:
    """What a stream has to send and its window does not let through yet."""

    __slots__ = ("ending", "full", "parts", "size")

    def __init__(self) -> None:
        self.parts: deque[bytes] = deque()
        self.size = 0
        self.ending = self.full = False


class Engine:
    """One end of one connection."""

    def __init__(self, client: bool, most_streams: int = 1000) -> None:
        codes = h2.settings.SettingCodes
        self.client = client
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(
                client_side=client,
                header_encoding=None,
                # What we write comes from `wire` and is sound; each look at it again costs CPU.
                validate_outbound_headers=False,
                normalize_outbound_headers=False,
            )
        )
        first = {
            codes.MAX_CONCURRENT_STREAMS: most_streams,
            codes.INITIAL_WINDOW_SIZE: STREAM_WINDOW,
            codes.MAX_HEADER_LIST_SIZE: HEAD_LIMIT,
        }
        if client:
            first[codes.ENABLE_PUSH] = 0
        self.h2.local_settings = h2.settings.Settings(client=client, initial_values=first)
        self.h2.max_inbound_frame_size = FRAME_LIMIT
        self.inbox = bytearray()
        self.out = bytearray()  # not yet handed over
        self.handed = 0  # bytes that the transport has been given
        self.waiting: dict[int, Waiting] = {}
        self.ends: dict[int, int] = {}  # by stream: where in all output its last byte stands
        self.unread: dict[int, int] = {}  # by open stream: bytes that its window is still to be opened for
        self.held: set[int] = set()
        self.unopened = 0  # of the connection's window
        self.last = 0  # the highest stream that the peer opened
        self.preface = not client
        self.events: list[Event] = []
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(CONNECTION_WINDOW - 65_535)
        self._collect()

    def _collect(self) -> None:
        self.out += self.h2.data_to_send()

    def hand_over(self, most: int) -> bytes:
        """The next bytes to write, `most` at most. What was handed over may arrive."""
        data = bytes(self.out[:most])
        del self.out[: len(data)]
        self.handed += len(data)
        return data

    def whole(self, stream: int) -> bool:
        """May the peer have all of what was sent on this stream? If not, it never ran."""
        end = self.ends.get(stream)
        return end is not None and end <= self.handed

    # ---- sending

    @property
    def room(self) -> bool:
        """Does the peer let another stream be opened?"""
        return len(self.unread) < self.h2.remote_settings.max_concurrent_streams

    def open(self, fields: list[tuple[bytes, bytes]], body: list[bytes], more: bool = False) -> int:
        """`more`: its body goes on with `data`."""
        stream = self.h2.get_next_available_stream_id()
        self.unread[stream] = 0
        self.head(stream, fields, not body and not more)
        if body:
            self.data(stream, b"".join(body), True)
        return stream

    def head(self, stream: int, fields: list[tuple[bytes, bytes]], end: bool) -> None:
        try:
            self.h2.send_headers(stream, fields, end_stream=end)
        except h2.exceptions.StreamClosedError:
            self.forget(stream)  # reset by the peer behind what is being answered
            return
        self._collect()
        if end:
            self._sent(stream)

    def data(self, stream: int, data: bytes, end: bool = False) -> bool:
        """Returns whether more may be given at once; `Writable` tells when it may again."""
        if stream not in self.unread:
            return True  # as in `head`
        w = self.waiting.setdefault(stream, Waiting())
        if data:
            w.parts.append(data)
            w.size += len(data)
        w.ending = w.ending or end
        self._pump(stream)
        w.full = w.full or w.size > HIGH
        return not w.full

    def _sent(self, stream: int) -> None:
        if self.client:
            self.ends[stream] = self.handed + len(self.out)
            self.waiting.pop(stream, None)
        else:
            self.forget(stream)  # answered

    def _pump(self, stream: int) -> None:
        w = self.waiting.get(stream)
        if w is None:
            return
        try:
            self._send(stream, w)
        except (h2.exceptions.StreamClosedError, h2.exceptions.NoSuchStreamError):
            # The peer has reset it; the word of that is behind this one in the same bytes.
            self.waiting.pop(stream, None)

    def _send(self, stream: int, w: Waiting) -> None:
        while w.parts:
            room = min(self.h2.local_flow_control_window(stream), self.h2.max_outbound_frame_size)
            if room <= 0:
                break
            part = w.parts.popleft()
            if len(part) > room:
                w.parts.appendleft(part[room:])
                part = part[:room]
            w.size -= len(part)
            last = w.ending and not w.parts
            self.h2.send_data(stream, part, end_stream=last)
            self._collect()
            if last:
                self._sent(stream)
                return
        if w.ending and not w.parts:
            self.h2.end_stream(stream)
            self._collect()
            self._sent(stream)
        elif w.full and w.size < LOW:
            w.full = False
            self.events.append(Writable(stream))

    def reset(self, stream: int, code: int = CANCEL) -> None:
        with suppress(h2.exceptions.StreamClosedError, h2.exceptions.NoSuchStreamError):
            self.h2.reset_stream(stream, code)
        self._collect()
        self.forget(stream)

    def forget(self, stream: int) -> None:
        """Nothing more is wanted of this stream."""
        self.unread.pop(stream, None)
        self.waiting.pop(stream, None)
        self.ends.pop(stream, None)
        self.held.discard(stream)

    def ping(self) -> None:
        self.h2.ping(b"gw-alive")
        self._collect()

    def go_away(self, last: int | None = None) -> None:
        """Streams up to `last` are finished; without it, nothing is refused yet, and the peer opens no more
        (RFC 9113, 6.8: the first of two)."""
        self.out += GoAwayFrame(0, last_stream_id=MOST_STREAM if last is None else last).serialize()

    # ---- receiving

    def receive(self, data: bytes) -> list[Event]:
        self.inbox += data
        self.events = []
        start = at = 0
        box = self.inbox
        try:
            if self.preface:
                if len(box) < PREFACE:
                    return []
                self.preface = False
                at = PREFACE
            while len(box) - at >= 9:
                length = int.from_bytes(box[at : at + 3], "big")
                if length > FRAME_LIMIT:
                    raise h2.exceptions.FrameTooLargeError(f"a frame of {length} bytes")
                if len(box) - at < 9 + length:
                    break
                if box[at + 3] == GOAWAY and length >= 8:
                    self._feed(bytes(box[start:at]))
                    last = int.from_bytes(box[at + 9 : at + 13], "big") & MOST_STREAM
                    error = int.from_bytes(box[at + 13 : at + 17], "big")
                    self.events.append(GoesAway(last, error))
                    start = at + 9 + length
                at += 9 + length
            self._feed(bytes(box[start:at]))
            del box[:at]
        except h2.exceptions.ProtocolError as e:
            self._collect()
            self.events.append(Fault(f"{type(e).__name__}: {e}"))
        return self.events

    def _feed(self, data: bytes) -> None:
        if not data:
            return
        for e in self.h2.receive_data(data):
            match e:
                case h2.events.RequestReceived() | h2.events.ResponseReceived():
                    if isinstance(e, h2.events.RequestReceived):
                        self.last = max(self.last, e.stream_id)
                        self.unread[e.stream_id] = 0
                    self.events.append(Began(e.stream_id, list(e.headers or [])))
                case h2.events.DataReceived():
                    self._came(e.stream_id, e.data or b"", e.flow_controlled_length or 0)
                case h2.events.StreamEnded():
                    self.events.append(Ended(e.stream_id))
                case h2.events.StreamReset():
                    self.events.append(Reset(e.stream_id, e.error_code == REFUSED))
                case h2.events.WindowUpdated():
                    for stream in [e.stream_id] if e.stream_id else list(self.waiting):
                        self._pump(stream)
                case h2.events.RemoteSettingsChanged():
                    for stream in list(self.waiting):
                        self._pump(stream)
                case h2.events.PingAckReceived():
                    self.events.append(Ponged())
                case _:
                    pass
        self._collect()

    def _came(self, stream: int, data: bytes, size: int) -> None:
        self.unopened += size
        if self.unopened > CONNECTION_WINDOW // 4:
            self.h2.increment_flow_control_window(self.unopened)
            self.unopened = 0
        if stream in self.unread:
            self.unread[stream] += size
            self._open_window(stream)
            if data:
                self.events.append(Came(stream, data))

    def _open_window(self, stream: int) -> None:
        unread = self.unread.get(stream, 0)
        if unread > STREAM_WINDOW // 4 and stream not in self.held:
            self.unread[stream] = 0
            with suppress(h2.exceptions.StreamClosedError):
                self.h2.increment_flow_control_window(unread, stream)

    def hold(self, stream: int) -> None:
        """The reader of this stream is slow: its window stays as it is."""
        if stream in self.unread:
            self.held.add(stream)

    def let_go(self, stream: int) -> None:
        self.held.discard(stream)
        self._open_window(stream)
        self._collect()
