"""The way from one process to the next: a Unix socket in $TMPDIR, messages of JSON, and descriptors."""

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
CLIENTS = "clients"  # the listening socket of the clients' front, among those that are offered
MOST = 128 * 1024  # bytes of a message
PART = 24 * 1024  # characters of a part of a long text; up to six bytes each as JSON writes them
DESCRIPTORS = 32  # in a message
SUN_PATH = 100  # what a socket's name may hold, less a little


class Garbled(Exception):
    """A message that can't be read."""


def place_of(listen: Address, environ: Mapping[str, str]) -> Path | None:
    """Where processes that listen there find each other; None where there is no place for it."""
    folder = environ.get("TMPDIR")
    if not folder or not os.path.isdir(folder):
        return None
    host = listen[0].replace(":", "_")
    return Path(folder) / f"magpiefront-{host}-{listen[1]}.sock"


@contextlib.contextmanager
def short(path: Path) -> Any:
    """The path as a socket's name can hold it, however deep its folder lies."""
    if len(os.fsencode(path)) <= SUN_PATH:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def own(s: socket.socket) -> bool:
    """Is the other side a process of the same user? Anybody else gets neither descriptors nor a hearing."""
    cred = s.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    uid: int = struct.unpack("3i", cred)[1]
    return uid == os.getuid()


def connect(path: Path, timeout_s: float) -> socket.socket | None:
    """The channel to whoever listens there; None where nobody does, or it is another user's."""
    s = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    s.settimeout(timeout_s)
    try:
        with short(path) as name:
            s.connect(name)
        if own(s):
            return s
    except OSError:
        pass
    s.close()
    return None


def listen(path: Path) -> socket.socket:
    """Takes the place over from whoever had it, in one step. Raises OSError."""
    fresh = path.with_name(f"{path.name}.{os.getpid()}")
    s = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        s.setblocking(False)
        with contextlib.suppress(FileNotFoundError):
            fresh.unlink()
        with short(fresh) as name:
            s.bind(name)
        os.chmod(fresh, 0o600)
        s.listen(8)
        os.rename(fresh, path)
    except OSError:
        s.close()
        with contextlib.suppress(OSError):
            fresh.unlink()
        raise
    return s


def pack(message: Message) -> bytes:
    return json.dumps(message, separators=(",", ":")).encode()


def send(s: socket.socket, message: Message, descriptors: Sequence[int] = ()) -> None:
    """Raises OSError; BlockingIOError where there is no room for now."""
    if descriptors:
        socket.send_fds(s, [pack(message)], descriptors)
    else:
        s.send(pack(message))


def receive(s: socket.socket) -> tuple[Message, list[int]] | None:
    """The next message and its descriptors; None at the end. Raises OSError and Garbled."""
    data, descriptors, flags, _ = socket.recv_fds(s, MOST, DESCRIPTORS, socket.MSG_CMSG_CLOEXEC)
    if not data:
        return None
    try:
        if flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
            raise Garbled
        message = json.loads(data)
        if not isinstance(message, dict) or not isinstance(message.get("t"), str):
            raise Garbled
    except (ValueError, RecursionError, Garbled):
        close(descriptors)
        raise Garbled from None
    return message, descriptors


def close(descriptors: Sequence[int]) -> None:
    for d in descriptors:
        os.close(d)


def parts(text: str) -> list[str]:
    return [text[i : i + PART] for i in range(0, len(text), PART)]


class Channel:
    """One end of it on the loop. `said` hears each message; `ended` hears once that it is over."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        s: socket.socket,
        said: Callable[[Message, list[int]], None],
        ended: Callable[[bool], None],
    ) -> None:
        self.loop, self.socket, self.said, self.ended = loop, s, said, ended
        self.queue: deque[tuple[Message, Sequence[int]]] = deque()
        s.setblocking(False)
        loop.add_reader(s.fileno(), self._read)

    @property
    def open(self) -> bool:
        return self.socket.fileno() >= 0

    def send(self, message: Message, descriptors: Sequence[int] = ()) -> None:
        """In its turn; what can't be sent ends the channel. The descriptors stay open until then."""
        if self.open:
            self.queue.append((message, descriptors))
            self._write()

    def ban(self, server: str, out: bool) -> None:
        """An operator's call on this side's second address, for the other side; nothing once it is over."""
        self.send({"t": "ban", "id": server, "out": out})

    def try_send(self, message: Message, descriptors: Sequence[int]) -> bool:
        """Now or not at all."""
        if not self.open or self.queue:
            return False
        try:
            send(self.socket, message, descriptors)
        except OSError:  # no room, or too many descriptors on their way; the reader learns of an end
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
                self.ended(False)
                return
            self.queue.popleft()
        self.loop.remove_writer(self.socket.fileno())

    def _read(self) -> None:
        while self.open:
            try:
                received = receive(self.socket)
            except (BlockingIOError, InterruptedError):
                return
            except (OSError, Garbled) as e:
                self.close()
                self.ended(isinstance(e, Garbled))
                return
            if received is None:
                self.close()
                self.ended(False)
                return
            self.said(*received)

    def close(self) -> None:
        if self.open:
            self.loop.remove_reader(self.socket.fileno())
            self.loop.remove_writer(self.socket.fileno())
            self.socket.close()
