"""The state of a connected socket, read from the kernel directly.

The event loop learns of a close only when it reads, which may be too late: overdue timers run first, the
loop may have been delayed, and it does not read at all while reading is paused. The end of the stream is then
queued behind unread bytes, and only the kernel knows of it.
"""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import sys
import termios
from contextlib import suppress

# Poll events of a connection that the peer has closed, half-closed or reset.
CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


TCP_INFO_LAST_DATA_RECV = 52  # offset in Linux's struct tcp_info (tcp(7)), in bytes; the value is in ms
TIOCOUTQ = getattr(termios, "TIOCOUTQ", None)  # SIOCOUTQ of tcp(7); not defined on every system


def unacknowledged(transport: asyncio.BaseTransport) -> int:
    """Returns how many of the bytes written the peer's machine has not acknowledged; 0 if the system does
    not provide it."""
    sock = transport.get_extra_info("socket")
    if TIOCOUTQ is None or sock is None:
        return 0
    try:
        return int.from_bytes(fcntl.ioctl(sock.fileno(), TIOCOUTQ, bytes(4)), sys.byteorder)
    except OSError:
        return 0


def set_discarding(transport: asyncio.BaseTransport, on: bool) -> None:
    """Sets whether the kernel discards what it has not sent when the connection is closed, and resets the
    connection (SO_LINGER with a time of 0, socket(7)). Otherwise it goes on delivering that after the
    close. No effect if the system does not support it."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", on, 0))


def since_last_data_s(transport: asyncio.BaseTransport) -> float:
    """Returns how many seconds ago this machine last received data from the peer, whether it has been read or
    not; 0 if the system does not provide it."""
    sock = transport.get_extra_info("socket")
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_LAST_DATA_RECV + 4)
        elapsed_ms: int = struct.unpack_from("I", info, TCP_INFO_LAST_DATA_RECV)[0]
    except (OSError, AttributeError, struct.error):
        return 0.0
    return elapsed_ms / 1000


class SocketState:
    """Polls one connected socket without waiting. A transport whose socket is gone already, although it does
    not say that it is closing, counts as closed by the peer."""

    __slots__ = ("_gone", "_poll", "_socket")

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        self._socket = transport.get_extra_info("socket")
        self._poll = select.poll()
        self._gone = self._socket is None or self._socket.fileno() < 0
        if not self._gone:
            self._poll.register(self._socket.fileno(), select.POLLIN | select.POLLRDHUP)

    def readable(self) -> bool:
        """Whether there is anything that the event loop has not read: bytes or the end of the stream."""
        return self._gone or bool(self._poll.poll(0))

    def closed(self) -> bool:
        """Whether the peer has closed or reset the connection, or shut down its sending side."""
        if self._gone:
            return True
        events = self._poll.poll(0)
        if not events:
            return False
        return bool(events[0][1] & CLOSED) or self._at_end()

    def _at_end(self) -> bool:
        """Whether the peer has ended the stream. For systems whose poll does not tell a hang-up from data: at
        the end of the stream, a socket is readable and a read returns no bytes."""
        sock = self._socket
        duplicate = socket.socket(sock.family, sock.type, sock.proto, fileno=sock.fileno())
        try:
            return not duplicate.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        finally:
            duplicate.detach()
