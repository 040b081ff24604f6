"""Whether the other side of a connection has closed it, asked of the kernel in place of the event loop.

The loop learns of a close when it comes to read, which may be too late: it runs timers first, it may have
been held up, and it does not read at all while reading is paused. Then the end stands behind bytes that
nobody has read yet, and only the kernel knows of it.
"""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import sys
import termios

CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


LAST_DATA_RECEIVED = 52  # bytes into Linux's struct tcp_info (tcp(7)); milliseconds
TIOCOUTQ = getattr(termios, "TIOCOUTQ", None)  # SIOCOUTQ of tcp(7); not on every system


def unacknowledged(transport: asyncio.BaseTransport) -> int:
    """How many bytes of those written the other side's machine has not confirmed; 0 where the system does
    not tell."""
    own = transport.get_extra_info("socket")
    if TIOCOUTQ is None or own is None:
        return 0
    try:
        return int.from_bytes(fcntl.ioctl(own.fileno(), TIOCOUTQ, bytes(4)), sys.byteorder)
    except OSError:
        return 0


def since_last_data_s(transport: asyncio.BaseTransport) -> float:
    """How long ago the last bytes came to this machine, read or not; 0 where the system does not tell."""
    own = transport.get_extra_info("socket")
    try:
        told = own.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED + 4)
        waited_ms: int = struct.unpack_from("I", told, LAST_DATA_RECEIVED)[0]
    except (OSError, AttributeError, struct.error):
        return 0.0
    return waited_ms / 1000


class HangUpWatch:
    """Looks at one connection without waiting."""

    __slots__ = ("_poll", "_socket")

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        self._socket = transport.get_extra_info("socket")
        self._poll = select.poll()
        self._poll.register(self._socket.fileno(), select.POLLIN | select.POLLRDHUP)

    def readable(self) -> bool:
        """Is there anything that the loop has not read: bytes, or the end?"""
        return bool(self._poll.poll(0))

    def closed(self) -> bool:
        """Has the other side closed or reset the connection, or ended its sending?"""
        events = self._poll.poll(0)
        if not events:
            return False
        return bool(events[0][1] & CLOSED) or self._at_end()

    def _at_end(self) -> bool:
        """For systems that do not tell a hang-up apart from bytes: the end is readable, and empty."""
        own = self._socket
        copy = socket.socket(own.family, own.type, own.proto, fileno=own.fileno())
        try:
            return not copy.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        finally:
            copy.detach()
