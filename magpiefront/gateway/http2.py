"""HTTP/2 between gateways (RFC 9113), built on `h2`. No I/O and no clock.

A connection turns received bytes into events, and collects the bytes to write. It differs from plain `h2` in
two ways:

- GOAWAY frames are read and written here, because `h2` treats GOAWAY as the end of the connection and would
  refuse the streams that may still finish.
- Window updates are sent here: for the connection as bytes arrive, for a stream only while its reader accepts
  data, so that a slow reader delays no other stream. With `grants`, a stream gets window only as its owner
  grants it, so that no more arrives than there is memory for.
- Bodies are turned into frames only as the transport takes them, a frame of each stream in turn.
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

STREAM_WINDOW_BYTES = 256 * 1024  # receive window of each stream
GRANTED_AT_FIRST_BYTES = 4 * 1024  # the same of a new stream with `grants`: room for a small request
CONNECTION_WINDOW_BYTES = 8 * 1024 * 1024  # receive window of the connection, for all streams together
MAX_HEADER_LIST_BYTES = 32 * 1024  # longest header list that is accepted
MAX_FRAME_BYTES = 16 * 1024  # longest frame payload that is accepted
SEND_BUFFER_HIGH_BYTES, SEND_BUFFER_LOW_BYTES = 128 * 1024, 32 * 1024  # watermarks of a stream's send buffer
OUTPUT_HIGH_BYTES = 128 * 1024  # no further body frames are made while more than this waits to be written
PREFACE_BYTES = len(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
GOAWAY_FRAME_TYPE = 0x7
MAX_STREAM_ID = 2**31 - 1
REFUSED_STREAM_CODE, CANCEL_CODE, NO_ERROR_CODE, INTERNAL_ERROR_CODE = (
    h2.errors.ErrorCodes.REFUSED_STREAM, h2.errors.ErrorCodes.CANCEL, h2.errors.ErrorCodes.NO_ERROR,
    h2.errors.ErrorCodes.INTERNAL_ERROR,
)  # fmt: skip


@dataclass(slots=True)
class HeadReceived:
    """The header block of a request or response."""

    stream: int
    fields: list[tuple[bytes, bytes]]


@dataclass(slots=True)
class BodyReceived:
    """A part of a stream's body."""

    stream: int
    data: bytes


@dataclass(slots=True)
class StreamFinished:
    """The peer has sent the last byte of the stream."""

    stream: int


@dataclass(slots=True)
class StreamAborted:
    """The peer has sent RST_STREAM. `refused`: with REFUSED_STREAM, so it has not processed the request (RFC
    9113, 8.7)."""

    stream: int
    refused: bool


@dataclass(slots=True)
class GoAwayReceived:
    """The peer has sent GOAWAY. It has not processed streams above `last_stream` (RFC 9113, 6.8)."""

    last_stream: int
    error: int


@dataclass(slots=True)
class PingAnswered:
    """The peer has acknowledged a PING."""

    pass


@dataclass(slots=True)
class StreamWritable:
    """The send buffer of the stream has drained to the low watermark."""

    stream: int


@dataclass(slots=True)
class ConnectionFailed:
    """A protocol error; the connection has to be closed."""

    cause: str


Event = (
    HeadReceived | BodyReceived | StreamFinished | StreamAborted | GoAwayReceived | PingAnswered
    | StreamWritable | ConnectionFailed
)  # fmt: skip


class SendBuffer:
    """Body bytes of one stream that wait for its flow-control window. Parts are not copied: they belong to
    the request or answer as well."""

    __slots__ = ("ends_stream", "full", "parts", "size")

    def __init__(self) -> None:
        self.parts: deque[memoryview] = deque()
        self.size = 0
        self.ends_stream = self.full = False


class Http2Connection:
    """One end of a connection.

    `client`: this end opens the streams. `max_streams` is how many streams the peer may have open at a time.
    `grants`: the window of a stream grows only by calls of `grant`.
    """

    def __init__(self, client: bool, max_streams: int = 1000, grants: bool = False) -> None:
        codes = h2.settings.SettingCodes
        self.client, self.grants = client, grants
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(
                client_side=client,
                header_encoding=None,
                # The fields come from `wire` and are valid; checking them again costs CPU time.
                validate_outbound_headers=False,
                normalize_outbound_headers=False,
            )
        )
        initial_settings = {
            codes.MAX_CONCURRENT_STREAMS: max_streams,
            codes.INITIAL_WINDOW_SIZE: GRANTED_AT_FIRST_BYTES if grants else STREAM_WINDOW_BYTES,
            codes.MAX_HEADER_LIST_SIZE: MAX_HEADER_LIST_BYTES,
        }
        if client:
            initial_settings[codes.ENABLE_PUSH] = 0
        self.h2.local_settings = h2.settings.Settings(client=client, initial_values=initial_settings)
        self.h2.max_inbound_frame_size = MAX_FRAME_BYTES
        self.received = bytearray()
        self.output = bytearray()  # not yet taken by the transport
        self.written_bytes = 0  # bytes that the transport has taken
        self.send_buffers: dict[int, SendBuffer] = {}
        self.sendable: dict[int, None] = {}  # streams whose buffer may have a frame to send now, in turn
        self.writable: list[int] = []  # streams whose buffer has drained, not yet told
        self.end_offsets: dict[int, int] = {}  # by stream: bytes of output up to the end of the stream
        # By open stream: bytes received on it, with no window update sent yet. The keys are the open streams.
        self.unacknowledged_bytes: dict[int, int] = {}
        self.paused_streams: set[int] = set()
        self.unacknowledged_connection_bytes = 0  # received on the connection, with no window update sent yet
        self.last_peer_stream = 0  # the highest stream that the peer opened
        self.expects_preface = not client
        self.events: list[Event] = []
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(CONNECTION_WINDOW_BYTES - 65_535)
        self._collect_output()

    def _collect_output(self) -> None:
        self.output += self.h2.data_to_send()

    def take_output(self, max_bytes: int) -> bytes:
        """Takes up to `max_bytes` bytes to write. From then on the peer may receive them."""
        data = bytes(self.output[:max_bytes])
        del self.output[: len(data)]
        self.written_bytes += len(data)
        return data

    def is_fully_written(self, stream: int) -> bool:
        """Whether the transport has taken all bytes of the stream.

        If not, the peer has not received the end of the request, so the request never ran.
        """
        end = self.end_offsets.get(stream)
        return end is not None and end <= self.written_bytes

    # ---- sending

    @property
    def can_open_stream(self) -> bool:
        """Whether the peer's limit allows another stream."""
        return len(self.unacknowledged_bytes) < self.h2.remote_settings.max_concurrent_streams

    def open_stream(self, fields: list[tuple[bytes, bytes]], body: list[bytes], more: bool = False) -> int:
        """Opens a stream and returns its ID. `more`: the body is sent later with `send_body`; `body` must
        then be empty, because a body given here ends the request."""
        stream = self.h2.get_next_available_stream_id()
        self.unacknowledged_bytes[stream] = 0
        self.send_head(stream, fields, not body and not more)
        for number, part in enumerate(body, 1):
            self.send_body(stream, part, number == len(body))
        return stream

    def send_head(self, stream: int, fields: list[tuple[bytes, bytes]], end: bool) -> None:
        """Sends a header block; `end`: no body follows."""
        try:
            self.h2.send_headers(stream, fields, end_stream=end)
        except h2.exceptions.StreamClosedError:
            self.forget(stream)  # the peer reset it; `StreamAborted` follows from the bytes being processed
            return
        self._collect_output()
        if end:
            self._finish_sending(stream)

    def send_body(self, stream: int, data: bytes, end: bool = False) -> bool:
        """Sends body bytes; `end`: they are the last ones. Returns False if the caller has to wait for
        `StreamWritable` before it sends more."""
        if stream not in self.unacknowledged_bytes:
            return True  # reset by the peer, as in `send_head`
        buffer = self.send_buffers.setdefault(stream, SendBuffer())
        if data:
            buffer.parts.append(memoryview(data))
            buffer.size += len(data)
        buffer.ends_stream = buffer.ends_stream or end
        self.sendable[stream] = None
        self.fill_output()
        buffer.full = buffer.full or buffer.size > SEND_BUFFER_HIGH_BYTES
        return not buffer.full

    def _finish_sending(self, stream: int) -> None:
        if self.client:
            self.end_offsets[stream] = self.written_bytes + len(self.output)
            self.send_buffers.pop(stream, None)
        else:
            self.forget(stream)  # its response is complete

    def fill_output(self) -> None:
        """Makes frames of the bodies that wait, one of each stream in turn, as far as there is room in the
        output and in the peer's windows."""
        while self.sendable and len(self.output) < OUTPUT_HIGH_BYTES:
            stream = next(iter(self.sendable))
            del self.sendable[stream]
            buffer = self.send_buffers.get(stream)
            if buffer is None:
                continue
            try:
                if self._send_frame(stream, buffer):
                    self.sendable[stream] = None
            except (h2.exceptions.StreamClosedError, h2.exceptions.NoSuchStreamError):
                # The peer reset the stream; the RST_STREAM comes later in the bytes being processed.
                self.send_buffers.pop(stream, None)

    def _send_frame(self, stream: int, buffer: SendBuffer) -> bool:
        """Sends the next frame of a body, within the window. Returns whether there may be another one."""
        if buffer.parts:
            sendable_bytes = min(self.h2.local_flow_control_window(stream), self.h2.max_outbound_frame_size)
            if sendable_bytes <= 0:
                return False
            part = buffer.parts.popleft()
            if len(part) > sendable_bytes:
                buffer.parts.appendleft(part[sendable_bytes:])
                part = part[:sendable_bytes]
            buffer.size -= len(part)
            is_last = buffer.ends_stream and not buffer.parts
            self.h2.send_data(stream, bytes(part), end_stream=is_last)
        elif buffer.ends_stream:
            is_last = True
            self.h2.end_stream(stream)
        else:
            return False
        self._collect_output()
        if is_last:
            self._finish_sending(stream)
        elif buffer.full and buffer.size < SEND_BUFFER_LOW_BYTES:
            buffer.full = False
            self.writable.append(stream)
        return not is_last and bool(buffer.parts or buffer.ends_stream)

    def take_writable(self) -> list[Event]:
        """Returns the streams whose send buffer has drained to the low watermark since the last call."""
        writable, self.writable = self.writable, []
        return [StreamWritable(stream) for stream in writable]

    def reset(self, stream: int, code: int = CANCEL_CODE) -> None:
        """Sends RST_STREAM with an error code."""
        with suppress(h2.exceptions.StreamClosedError, h2.exceptions.NoSuchStreamError):
            self.h2.reset_stream(stream, code)
        self._collect_output()
        self.forget(stream)

    def forget(self, stream: int) -> None:
        """Discards the state of a stream; its further events are ignored."""
        self.unacknowledged_bytes.pop(stream, None)
        self.send_buffers.pop(stream, None)
        self.end_offsets.pop(stream, None)
        self.paused_streams.discard(stream)

    def ping(self) -> None:
        self.h2.ping(b"gw-alive")
        self._collect_output()

    def go_away(self, last: int | None = None) -> None:
        """Sends GOAWAY. Streams up to `last` are still served.

        Without `last` it is the first of two GOAWAY frames (RFC 9113, 6.8): the peer opens no more streams,
        and none is refused yet.
        """
        self.output += GoAwayFrame(0, last_stream_id=MAX_STREAM_ID if last is None else last).serialize()

    # ---- receiving

    def receive(self, data: bytes) -> list[Event]:
        """Processes received bytes, which may end within a frame, and returns their events."""
        self.received += data
        self.events = []
        start = offset = 0
        received = self.received
        try:
            if self.expects_preface:
                if len(received) < PREFACE_BYTES:
                    return []
                self.expects_preface = False
                offset = PREFACE_BYTES
            while len(received) - offset >= 9:
                length = int.from_bytes(received[offset : offset + 3], "big")
                if length > MAX_FRAME_BYTES:
                    raise h2.exceptions.FrameTooLargeError(f"frame of {length} bytes is too large")
                if len(received) - offset < 9 + length:
                    break
                if received[offset + 3] == GOAWAY_FRAME_TYPE and length >= 8:
                    self._feed_h2(bytes(received[start:offset]))
                    last = int.from_bytes(received[offset + 9 : offset + 13], "big") & MAX_STREAM_ID
                    error = int.from_bytes(received[offset + 13 : offset + 17], "big")
                    self.events.append(GoAwayReceived(last, error))
                    start = offset + 9 + length
                offset += 9 + length
            self._feed_h2(bytes(received[start:offset]))
            del received[:offset]
        except h2.exceptions.ProtocolError as e:
            self._collect_output()
            self.events.append(ConnectionFailed(f"{type(e).__name__}: {e}"))
        self.events += self.take_writable()
        return self.events

    def _feed_h2(self, data: bytes) -> None:
        if not data:
            return
        for e in self.h2.receive_data(data):
            match e:
                case h2.events.RequestReceived() | h2.events.ResponseReceived():
                    if isinstance(e, h2.events.RequestReceived):
                        self.last_peer_stream = max(self.last_peer_stream, e.stream_id)
                        self.unacknowledged_bytes[e.stream_id] = 0
                    self.events.append(HeadReceived(e.stream_id, list(e.headers or [])))
                case h2.events.DataReceived():
                    self._receive_body(e.stream_id, e.data or b"", e.flow_controlled_length or 0)
                case h2.events.StreamEnded():
                    self.events.append(StreamFinished(e.stream_id))
                case h2.events.StreamReset():
                    self.events.append(StreamAborted(e.stream_id, e.error_code == REFUSED_STREAM_CODE))
                case h2.events.WindowUpdated():
                    self.sendable |= dict.fromkeys([e.stream_id] if e.stream_id else self.send_buffers)
                case h2.events.RemoteSettingsChanged():
                    self.sendable |= dict.fromkeys(self.send_buffers)
                case h2.events.PingAckReceived():
                    self.events.append(PingAnswered())
                case _:
                    pass
        self._collect_output()
        self.fill_output()

    def _receive_body(self, stream: int, data: bytes, size: int) -> None:
        self.unacknowledged_connection_bytes += size
        if self.unacknowledged_connection_bytes > CONNECTION_WINDOW_BYTES // 4:
            self.h2.increment_flow_control_window(self.unacknowledged_connection_bytes)
            self.unacknowledged_connection_bytes = 0
        if stream in self.unacknowledged_bytes:
            self.unacknowledged_bytes[stream] += size
            self._update_window(stream)
            if data:
                self.events.append(BodyReceived(stream, data))

    def _update_window(self, stream: int) -> None:
        unacknowledged = self.unacknowledged_bytes.get(stream, 0)
        if self.grants:
            return
        if unacknowledged > STREAM_WINDOW_BYTES // 4 and stream not in self.paused_streams:
            self.unacknowledged_bytes[stream] = 0
            with suppress(h2.exceptions.StreamClosedError):
                self.h2.increment_flow_control_window(unacknowledged, stream)

    def grant(self, stream: int, size: int) -> None:
        """Lets the peer send `size` bytes more on a stream."""
        if stream in self.unacknowledged_bytes and size > 0:
            with suppress(h2.exceptions.StreamClosedError, h2.exceptions.NoSuchStreamError):
                self.h2.increment_flow_control_window(size, stream)
            self._collect_output()

    def pause_reading(self, stream: int) -> None:
        """Sends no window updates for the stream, because its reader is slow."""
        if stream in self.unacknowledged_bytes:
            self.paused_streams.add(stream)

    def resume_reading(self, stream: int) -> None:
        """Sends window updates for the stream again."""
        self.paused_streams.discard(stream)
        self._update_window(stream)
        self._collect_output()
