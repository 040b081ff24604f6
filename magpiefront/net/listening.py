"""Functions for listening sockets, shared by the addresses for clients, operators and other gateways."""

from __future__ import annotations

import ctypes
import errno
import socket
import struct

# This process or the machine has run out of descriptors or memory; the peer is not at fault.
RESOURCE_SHORTAGE_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

# The connection to be accepted has failed, or for a moment the network (accept(2)); the next call of accept
# may succeed.
TRANSIENT_ACCEPT_ERRNOS = frozenset({
    errno.ECONNABORTED, errno.EPROTO, errno.ENOPROTOOPT, errno.EOPNOTSUPP, errno.ETIMEDOUT, errno.EPERM,
    errno.ENETDOWN, errno.ENETUNREACH, errno.EHOSTDOWN, errno.EHOSTUNREACH, errno.ENONET,
})  # fmt: skip
# Maximum number of accept(2) calls in one call of `accept_connection`, which tries again after each of
# TRANSIENT_ACCEPT_ERRNOS. Without a limit, an error that persists (such as ENETDOWN) could block the loop.
MAX_ACCEPT_ATTEMPTS = 16
BACKLOG = 4096  # connections in the accept queue

SO_ATTACH_FILTER = 26  # socket(7); the module `socket` does not define it
# A socket filter (classic BPF, linux/filter.h) that runs on each TCP segment. It drops segments with SYN set
# and ACK clear, which is the first segment of a new connection, and lets all others pass. The fields of an
# instruction: code, jump if true, jump if false, operand.
FLAGS_OFFSET, SYN, ACK = 13, 0x02, 0x10
DROP_SYN_FILTER = (
    (0x30, 0, 0, FLAGS_OFFSET),  # load the byte with the flags
    (0x54, 0, 0, SYN | ACK),  # AND with the mask
    (0x15, 0, 1, SYN),  # skip the next instruction unless only SYN is set
    (0x06, 0, 0, 0),  # return 0 bytes: drop the segment
    (0x06, 0, 0, 0xFFFFFFFF),  # return all bytes: accept the segment
)


class ResourceShortage(Exception):
    """A connection waits, but descriptors or memory for it are lacking; the message is the system's."""


def bind_socket(host: str, port: int, shared: bool = False) -> socket.socket:
    """A non-blocking socket that is bound to this address and does not listen. `shared` sets SO_REUSEPORT,
    so that other processes of the same user can bind the address too. Raises OSError."""
    s = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    try:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.setblocking(False)
        if shared:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        s.bind((host, port))
    except OSError:
        s.close()
        raise
    return s


def open_listener(host: str, port: int, shared: bool = False) -> socket.socket:
    """A non-blocking socket that listens at this address; see `bind_socket`. Raises OSError."""
    s = bind_socket(host, port, shared)
    try:
        s.listen(BACKLOG)
    except OSError:
        s.close()
        raise
    return s


def refuse_new(listener: socket.socket) -> None:
    """Drops attempts to connect from now on; a connection whose handshake is complete or under way can still
    be accepted. Closing a listening socket resets the connections in its accept queue: with the filter, none
    arrive between the last accept and the close. Applies to every copy of the socket, in other processes too.
    Raises OSError."""
    code = ctypes.create_string_buffer(b"".join(struct.pack("HBBI", *step) for step in DROP_SYN_FILTER))
    program = struct.pack("HL", len(DROP_SYN_FILTER), ctypes.addressof(code))  # struct sock_fprog
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def accept_connection(listener: socket.socket) -> socket.socket | None:
    """Accepts the next connection as a non-blocking socket. None if none waits, or if accepting fails for
    another reason than a shortage. Raises ResourceShortage."""
    for _ in range(MAX_ACCEPT_ATTEMPTS):
        try:
            s, _ = listener.accept()
        except OSError as error:
            if error.errno in RESOURCE_SHORTAGE_ERRNOS:
                raise ResourceShortage(error.strerror) from None
            if error.errno in TRANSIENT_ACCEPT_ERRNOS:
                continue  # the next connection in the queue may be intact
            return None
        s.setblocking(False)
        return s
    return None
