"""The channel between the old and the new process: a Unix socket in $TMPDIR that carries JSON messages and
file descriptors."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import struct
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from magpiefront.net.config import Address

Message = dict[str, Any]
CLIENTS = "clients"  # the name under which the listening socket for clients is offered
MAX_MESSAGE_BYTES = 128 * 1024  # of a message as JSON
MAX_PART_CHARS = 24 * 1024  # of a long text in one message; JSON encodes a character in up to six bytes
MAX_DESCRIPTORS = 32  # in a message
MAX_SOCKET_NAME_BYTES = 100  # a little less than `sun_path` of unix(7) holds


class MalformedMessage(Exception):
    """A message is truncated, is not a JSON object or has no type."""


def socket_path(listen: Address, environ: Mapping[str, str]) -> Path | None:
    """The path of the socket on which the process that serves at `listen` waits for the next one. None if
    $TMPDIR does not name a directory."""
    directory = environ.get("TMPDIR")
    if not directory or not os.path.isdir(directory):
        return None
    host = listen[0].replace(":", "_")
    return Path(directory) / f"magpiefront-{host}-{listen[1]}.sock"


@contextlib.contextmanager
def short_path(path: Path) -> Any:
    """Context manager: the path in a form that is short enough for the name of a socket. A long path is
    replaced by one through an open descriptor of its directory. Raises OSError."""
    if len(os.fsencode(path)) <= MAX_SOCKET_NAME_BYTES:
        yield str(path)
        return
    directory = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{directory}/{path.name}"
    finally:
        os.close(directory)


def _peer_credentials(s: socket.socket) -> tuple[int, int, int]:
    """The process, user and group ids of the peer (`struct ucred`, unix(7))."""
    pid, uid, gid = struct.unpack(
        "3i", s.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    )
    return pid, uid, gid


def is_same_user(s: socket.socket) -> bool:
    """Whether the peer is a process of the same user. A process of another user gets no descriptors, and its
    messages are not read."""
    return _peer_credentials(s)[1] == os.getuid()


def peer_pid(s: socket.socket) -> int:
    """The id of the process at the other end."""
    return _peer_credentials(s)[0]


def connect(path: Path, timeout_s: float) -> socket.socket | None:
    """Connects to the process that listens at the path. None if that fails, or if the process belongs to
    another user."""
    s = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    s.settimeout(timeout_s)
    try:
        with short_path(path) as name:
            s.connect(name)
        if is_same_user(s):
            return s
    except OSError:
        pass
    s.close()
    return None


def listen(path: Path) -> socket.socket:
    """Listens at the path, and atomically replaces the socket of another process there. Raises OSError."""
    temporary = path.with_name(f"{path.name}.{os.getpid()}")
    s = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        s.setblocking(False)
        with contextlib.suppress(FileNotFoundError):
            temporary.unlink()
        with short_path(temporary) as name:
            s.bind(name)
        os.chmod(temporary, 0o600)
        s.listen(8)
        os.rename(temporary, path)
    except OSError:
        s.close()
        with contextlib.suppress(OSError):
            temporary.unlink()
        raise
    return s


def encode(message: Message) -> bytes:
    """The message as JSON."""
    return json.dumps(message, separators=(",", ":")).encode()


def send(s: socket.socket, message: Message, descriptors: Sequence[int] = ()) -> None:
    """Sends one message. Raises OSError; BlockingIOError if the socket's buffer is full."""
    if descriptors:
        socket.send_fds(s, [encode(message)], descriptors)
    else:
        s.send(encode(message))


def receive(s: socket.socket) -> tuple[Message, list[int]] | None:
    """The next message and its descriptors; None once the peer has closed. Raises OSError and
    MalformedMessage."""
    data, descriptors, flags, _ = socket.recv_fds(
        s, MAX_MESSAGE_BYTES, MAX_DESCRIPTORS, socket.MSG_CMSG_CLOEXEC
    )
    if not data:
        return None
    try:
        if flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
            raise MalformedMessage
        message = json.loads(data)
        if not isinstance(message, dict) or not isinstance(message.get("t"), str):
            raise MalformedMessage
    except (ValueError, RecursionError, MalformedMessage):
        close_descriptors(descriptors)
        raise MalformedMessage from None
    return message, descriptors


def close_descriptors(descriptors: Sequence[int]) -> None:
    """Closes each of the descriptors."""
    for descriptor in descriptors:
        os.close(descriptor)


def split_text(text: str) -> list[str]:
    """The text in parts that fit into a message each."""
    return [text[i : i + MAX_PART_CHARS] for i in range(0, len(text), MAX_PART_CHARS)]


class Channel:
    """One end of a connection, on the event loop. It calls `on_message` with each message and its
    descriptors, and `on_end` when the connection ends; its argument is whether a malformed message is the
    cause."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        s: socket.socket,
        on_message: Callable[[Message, list[int]], None],
        on_end: Callable[[bool], None],
    ) -> None:
        self.loop, self.socket, self.on_message, self.on_end = loop, s, on_message, on_end
        self.queue: deque[tuple[Message, Sequence[int]]] = deque()
        s.setblocking(False)
        loop.add_reader(s.fileno(), self._read)

    @property
    def open(self) -> bool:
        """Whether messages can still be sent."""
        return self.socket.fileno() >= 0

    @property
    def peer_pid(self) -> int:
        """The id of the process at the other end; 0 once the channel is closed."""
        return peer_pid(self.socket) if self.open else 0

    def send(self, message: Message, descriptors: Sequence[int] = ()) -> None:
        """Queues a message. A failure to send it ends the channel. The descriptors must stay open until it is
        sent."""
        if self.open:
            self.queue.append((message, descriptors))
            self._write()

    def send_override(self, server: str, out: bool) -> None:
        """Passes an operator's command to the other process: the server is disabled if `out`, else enabled.
        Does nothing once the channel is closed."""
        self.send({"t": "ban", "id": server, "out": out})

    def try_send(self, message: Message, descriptors: Sequence[int]) -> bool:
        """Sends the message at once, if no other is queued and the socket accepts it. Returns whether it
        did."""
        if not self.open or self.queue:
            return False
        try:
            send(self.socket, message, descriptors)
        except OSError:  # a full buffer, or too many descriptors in flight; `_read` notices a closed peer
            return False
        return True

    def _write(self) -> None:
        while self.queue:
            try:
                send(self.socket, *self.queue[0])
            except (BlockingIOError, InterruptedError):
                self.loop.add_writer(self.socket.fileno(), self._write)
                return
            except OSError:
                self.close()
                self.on_end(False)
                return
            self.queue.popleft()
        self.loop.remove_writer(self.socket.fileno())

    def _read(self) -> None:
        while self.open:
            try:
                received = receive(self.socket)
            except (BlockingIOError, InterruptedError):
                return
            except (OSError, MalformedMessage) as error:
                self.close()
                self.on_end(isinstance(error, MalformedMessage))
                return
            if received is None:
                self.close()
                self.on_end(False)
                return
            self.on_message(*received)

    def close(self) -> None:
        """Closes the channel without a call of `on_end`; may be called again."""
        if self.open:
            self.loop.remove_reader(self.socket.fileno())
            self.loop.remove_writer(self.socket.fileno())
            self.socket.close()
