"""The admin address, for operators alone: each connection sends one command line and gets one response.

    ready                 OK once this process can serve
    show-stat             OK, the metrics, and a line END
    disable-server ID     OK; that cache node gets no more requests
    enable-server ID      OK; that cache node may be used again

Anything else is answered with ERR and the reason. The number of connections, the bytes of a command and the
time for it are limited. A response must come within 1 s under any load.
"""

from __future__ import annotations

import asyncio
import re
import socket
from typing import Protocol

from magpiefront.net.config import Address
from magpiefront.net.listening import ResourceShortage, accept_connection, bind_socket

MAX_CALLERS = 24  # open connections; as many descriptors are reserved for them
MAX_LINE_BYTES = 1024  # of a command; what follows its first line is dropped
COMMAND_TIMEOUT_S = 8.0  # for a complete command to arrive, and then for the response to be written
MIN_CALLER_AGE_S = 0.1  # a newer connection is not closed in favour of another
LINGER_S = 1.0  # for a caller to close its side once it has its response
MAX_ACCEPTS_PER_TURN = 16  # connections accepted in one turn of the event loop
SERVER_ID = re.compile(r"[!-~]{1,256}")


class CommandHandler(Protocol):
    """Executes the commands."""

    def ready(self) -> str:
        """Why the process can't serve; empty if it can."""

    def show_stat(self) -> str:
        """The metrics, one a line."""

    def override_server(self, server: str, out: bool) -> bool:
        """Disables the cache node with this id if `out`, else enables it. False if there is no such node."""


def execute(handler: CommandHandler, line: bytes) -> str:
    """Executes a command line and returns the response, with its line end."""
    try:
        command, *args = line.decode("ascii").split()
    except (UnicodeDecodeError, ValueError):
        return "ERR no call in this line\n"
    match command, args:
        case "ready", []:
            reason = handler.ready()
            return f"ERR {reason}\n" if reason else "OK\n"
        case "show-stat", []:
            return f"OK\n{handler.show_stat()}END\n"
        case "disable-server" | "enable-server", [server] if SERVER_ID.fullmatch(server):
            done = handler.override_server(server, command == "disable-server")
            return "OK\n" if done else "ERR no cache node has that id\n"
        case (("ready" | "show-stat" | "disable-server" | "enable-server"), _):
            return f"ERR {command}: wrong number of words\n"
    return "ERR no such call: ready, show-stat, disable-server ID, enable-server ID\n"


class AdminConnection:
    """One connection: reads until a line is complete, responds, and closes once the caller has closed.
    `began` is the loop time at which it was accepted or, if it is answered, at which the response was
    ready."""

    __slots__ = ("admin", "answered", "began", "received", "socket", "unsent")

    def __init__(self, admin: Admin, accepted: socket.socket) -> None:
        self.admin, self.socket, self.began = admin, accepted, admin.loop.time()
        self.received, self.unsent, self.answered = bytearray(), memoryview(b""), False

    def read(self) -> None:
        """Reads what has arrived, and responds once the line is complete or can't be completed."""
        try:
            data = self.socket.recv(4096)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.close()
            return
        if self.answered:  # reading on avoids an RST at the close, which could destroy the response
            if not data:
                self.close()
            return
        self.received += data[: MAX_LINE_BYTES + 1]
        line, end, _ = self.received.partition(b"\n")
        if end and len(line) <= MAX_LINE_BYTES:
            self.respond(execute(self.admin.handler, bytes(line)))
        elif len(self.received) > MAX_LINE_BYTES:
            self.respond(f"ERR more than {MAX_LINE_BYTES} bytes with no line end\n")
        elif not data:
            self.respond("ERR the line has no end\n" if self.received else "ERR no call in this line\n")

    def respond(self, text: str) -> None:
        """Sends the response; what arrives after it is dropped."""
        self.answered, self.began = True, self.admin.loop.time()
        self.received.clear()
        self.unsent = memoryview(text.encode("latin-1", "replace"))
        self.write()

    def write(self) -> None:
        """Sends as much of the response as the socket accepts, and closes the sending side once all is
        sent."""
        try:
            self.unsent = self.unsent[self.socket.send(self.unsent) :]
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self.close()
            return
        if self.unsent:
            self.admin.loop.add_writer(self.socket.fileno(), self.write)
            return
        self.admin.loop.remove_writer(self.socket.fileno())
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    def close(self) -> None:
        """Closes the connection; may be called again."""
        if self.socket.fileno() >= 0:
            self.admin.loop.remove_reader(self.socket.fileno())
            self.admin.loop.remove_writer(self.socket.fileno())
            self.socket.close()
        self.admin.callers.pop(self, None)


class Admin:
    """The listening socket of the admin address, and its connections."""

    def __init__(self, loop: asyncio.AbstractEventLoop, handler: CommandHandler) -> None:
        self.loop, self.handler = loop, handler
        self.callers: dict[AdminConnection, None] = {}  # in the order of their arrival
        self.socket: socket.socket | None = None
        self.accepting = False

    def bind(self, address: Address) -> None:
        """Binds the address without listening yet. Raises OSError."""
        self.socket = bind_socket(*address)

    def start(self) -> None:
        """Starts to listen; until then the system refuses connections."""
        if self.socket is not None:
            self.socket.listen(1024)
            self._accept_more()

    def _accept_more(self) -> None:
        if self.socket is not None and not self.accepting:
            self.accepting = True
            self.loop.add_reader(self.socket.fileno(), self._accept)

    def _pause(self) -> None:
        if self.socket is not None and self.accepting:
            self.accepting = False
            self.loop.remove_reader(self.socket.fileno())
            self.loop.call_later(MIN_CALLER_AGE_S / 2, self._accept_more)

    def _accept(self) -> None:
        assert self.socket is not None
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if len(self.callers) >= MAX_CALLERS and not self._make_room():
                self._pause()
                return
            try:
                accepted = accept_connection(self.socket)
            except ResourceShortage:
                self._pause()
                return
            if accepted is None:
                return
            caller = AdminConnection(self, accepted)
            self.callers[caller] = None
            self.loop.add_reader(accepted.fileno(), caller.read)
            caller.read()  # what has already arrived need not wait for the next turn of the loop

    def _make_room(self) -> bool:
        """Closes a connection in favour of a new one, so that callers that send nothing, or stay connected
        after their response, don't lock others out. That is the oldest connection or, if even its command may
        still arrive, one whose response is written. Returns False if there is none to close."""
        candidate = next(iter(self.callers))
        if self.loop.time() - candidate.began < MIN_CALLER_AGE_S:
            candidate = next((c for c in self.callers if c.answered and not c.unsent), candidate)
            if not candidate.answered:
                return False
        candidate.close()
        return True

    def sweep(self) -> None:
        """Ends connections whose timeout has expired; to be called regularly."""
        now = self.loop.time()
        for caller in list(self.callers):
            elapsed_s = now - caller.began
            if caller.answered:
                if elapsed_s > (COMMAND_TIMEOUT_S if caller.unsent else LINGER_S):
                    caller.close()
            elif elapsed_s > COMMAND_TIMEOUT_S:
                caller.respond("ERR no whole call in time\n")

    def stop(self) -> None:
        """Closes the listening socket and all connections."""
        if self.socket is not None:
            if self.accepting:
                self.loop.remove_reader(self.socket.fileno())
            self.socket.close()
            self.socket = None
        for caller in list(self.callers):
            caller.close()
