"""The old process's side of a handover: it waits for the next process, hands over to it, and accepts
connections again if that process ends."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Protocol

from magpiefront.net.admin_commands import AdminCommands
from magpiefront.net.discovery import Discovery
from magpiefront.net.front import Front
from magpiefront.net.proxy import Proxy
from magpiefront.upgrade import channel as wire
from magpiefront.upgrade import state
from magpiefront.upgrade.channel import Channel, Message
from magpiefront.upgrade.handover import (
    VERSION, Action, ChannelEnded, EndCause, Hello, OldSide, OldState, Reject, Stop, Take,
)  # fmt: skip

TAKE_TIMEOUT_S = 20.0  # from `hello` to `take`; then the new process counts as hung
# The interval in seconds at which idle connections are passed on and loads are sent: while connections or
# requests are open, and while none are.
BUSY_INTERVAL_S, IDLE_INTERVAL_S = 0.01, 0.25
HELLO_TIMEOUT_S = 2.0  # from the accept to `hello`
IDS_PER_MESSAGE = 200


class SharedFront(Protocol):
    """A front whose listening socket can be handed over to another process."""

    name: str  # the name under which its socket is offered
    socket: socket.socket | None

    def release(self) -> None:
        """Stops accepting, but keeps the socket, and lets open connections end by themselves."""

    def resume(self) -> None:
        """Accepts again."""


class HandoverServer:
    """Listens for the next process and hands over to it. `others` are the fronts besides the one for
    clients."""

    def __init__(
        self, proxy: Proxy, front: Front, discovery: Discovery, commands: AdminCommands, path: Path,
        others: Sequence[SharedFront] = (),
    ) -> None:  # fmt: skip
        self.proxy, self.front, self.discovery, self.commands, self.path = (
            proxy, front, discovery, commands, path
        )  # fmt: skip
        self.others = others
        self.loop = proxy.loop
        self.protocol = OldSide()
        self.socket: socket.socket | None = None
        self.inode = 0  # of the Unix socket's file
        self.channel: Channel | None = None
        self.waiting: set[Channel] = set()  # those that have not sent `hello` yet
        self.next_update: asyncio.TimerHandle | None = None
        self.sent_load: Message = {}  # the latest `load` message
        self.sending_state = False  # whether the state is being sent to the next process
        self.unsent_ids: list[list[object]] = []  # accepted while it is sent, for a message after that

    # ---- listening for the next process

    def listen(self) -> None:
        """Listens on the Unix socket. If that fails, the next process can't take over from this one, and has
        to be started after this one has ended."""
        try:
            self.socket = wire.listen(self.path)
            self.inode = self.path.stat().st_ino
        except OSError as error:
            self.proxy.log(
                f"upgrade: can't listen in $TMPDIR: {error.strerror}; the next process can't take over"
            )
            return
        self.loop.add_reader(self.socket.fileno(), self._accept)

    def unlisten(self) -> None:
        """Closes the Unix socket, and removes its file unless it already belongs to the next process."""
        if self.socket is None:
            return
        self.loop.remove_reader(self.socket.fileno())
        self.socket.close()
        self.socket = None
        with contextlib.suppress(OSError):
            if self.path.stat().st_ino == self.inode:  # otherwise the next process has replaced it
                self.path.unlink()

    def _accept(self) -> None:
        assert self.socket is not None
        try:
            s, _ = self.socket.accept()
        except OSError:
            return
        if not wire.is_same_user(s) or len(self.waiting) >= 8:
            s.close()
            return
        created: list[Channel] = []  # the channel, for its own callbacks
        channel = Channel(
            self.loop, s, lambda message, fds: self._on_message(created[0], message, fds),
            lambda malformed: self._on_end(created[0], EndCause.MALFORMED if malformed else EndCause.CLOSED),
        )  # fmt: skip
        created.append(channel)
        self.waiting.add(channel)
        self.loop.call_later(HELLO_TIMEOUT_S, self._hello_timed_out, channel)

    def _hello_timed_out(self, channel: Channel) -> None:
        if channel in self.waiting:
            self.waiting.discard(channel)
            channel.close()

    # ---- messages

    def _on_message(self, channel: Channel, message: Message, descriptors: list[int]) -> None:
        wire.close_descriptors(descriptors)  # the old process expects no descriptors
        match message:
            case {"t": "hello", "version": version} if channel in self.waiting:
                self.waiting.discard(channel)
                self._hello(channel, version)
            case {"t": "take"} if channel is self.channel:
                self._do(self.protocol.handle(Take()))
            case {"t": "ban", "id": str(server), "out": bool(out)} if channel is self.channel:
                self.commands.repeat_override(server, out)
            case {"t": "ids", "ids": list(ids)} if channel is self.channel:
                state.remember_ids(self.proxy, ids)
            case _:
                self._on_end(channel, EndCause.MALFORMED)

    def _hello(self, channel: Channel, version: object) -> None:
        self.protocol.listening = self.front.socket is not None
        for action in self.protocol.handle(Hello(version)):
            if isinstance(action, Reject):
                channel.send({"t": "no", "why": action.reason})
                channel.close()
                return
            assert self.front.socket is not None
            self.channel = channel
            self.front.shared = True
            self.loop.call_later(TAKE_TIMEOUT_S, self._take_timed_out, channel)
            offered = {wire.CLIENTS: self.front.socket}
            offered |= {other.name: other.socket for other in self.others if other.socket is not None}
            message = {"t": "offer", "version": VERSION, "listeners": list(offered), "ids": True}
            channel.send(message, [s.fileno() for s in offered.values()])

    def _take_timed_out(self, channel: Channel) -> None:
        if channel is self.channel and self.protocol.state is OldState.OFFERED:
            self._on_end(channel, EndCause.TIMED_OUT)

    def _on_end(self, channel: Channel, cause: EndCause) -> None:
        if channel in self.waiting:
            self.waiting.discard(channel)
            channel.close()
        elif channel is self.channel:
            self._do(self.protocol.handle(ChannelEnded(cause)))
            channel.close()
            self.channel = None

    def stop(self) -> None:
        """Called when this process begins to shut down."""
        self._do(self.protocol.handle(Stop()))

    def close(self) -> None:
        """Closes the Unix socket and the channel."""
        self.unlisten()
        if self.channel is not None:
            self.channel.close()

    # ---- actions

    def _do(self, actions: list[Action | Reject]) -> None:
        for action in actions:
            if action is Action.RELEASE:
                self._release()
            elif action is Action.RESUME:
                self._resume()
            elif action is Action.END_SHUTDOWN:
                self.front.handed_over = False
            elif action is Action.CLOSE and self.channel is not None:
                self.channel.close()

    def _release(self) -> None:
        assert self.channel is not None
        self.front.release()
        for other in self.others:
            other.release()
        self.unlisten()
        self.commands.on_override = self.channel.send_override  # also while the state is being sent
        self.sending_state = True
        self.proxy.on_new_id = self._tell_id
        self._send_state(self.channel, state.encode(self.proxy, self.discovery))

    def _send_state(self, channel: Channel, chunks: Iterator[str]) -> None:
        """Sends one part of the state in each turn of the event loop, so that requests are served
        meanwhile."""
        if channel is not self.channel or not channel.open:
            self.sending_state = False
            return
        part = ""
        while len(part) < wire.MAX_PART_CHARS and (chunk := next(chunks, None)) is not None:
            part += chunk
        for text in wire.split_text(part):
            channel.send({"t": "part", "text": text})
        if part:
            self.loop.call_soon(self._send_state, channel, chunks)
        else:
            self._state_sent(channel)

    def _tell_id(self, name: bytes, known_us: int) -> None:
        """Tells the next process that this one has accepted a request that must run once."""
        known: list[object] = [name.decode("latin-1"), known_us]
        if self.sending_state:
            self.unsent_ids.append(known)
        elif self.channel is not None and self.channel.open:
            self.channel.send({"t": "ids", "ids": [known]})

    def _state_sent(self, channel: Channel) -> None:
        self.sending_state = False
        channel.send({"t": "go"})
        ids, self.unsent_ids = self.unsent_ids, []
        for start in range(0, len(ids), IDS_PER_MESSAGE):
            channel.send({"t": "ids", "ids": ids[start : start + IDS_PER_MESSAGE]})
        self.proxy.pool.close_all_idle()  # the two processes share the limit of descriptors
        self.sent_load = {}
        self.proxy.log("upgrade: handed over to the next process")
        self._update()

    def _update(self) -> None:
        """Sends the loads and passes idle connections on, and schedules the next call while the channel is
        open."""
        if self.channel is None or not self.channel.open or not self.front.handed_over:
            return
        self._send_load(self.channel)
        self.front.hand_over_idle(self._send_clients, wire.MAX_DESCRIPTORS)
        busy = self.front.clients or self.proxy.requests
        self.next_update = self.loop.call_later(BUSY_INTERVAL_S if busy else IDLE_INTERVAL_S, self._update)

    def _send_load(self, channel: Channel) -> None:
        loads = self.proxy.router.in_flight_by_server()
        nodes, clients = self.proxy.pool.open, len(self.front.clients)
        message: Message = {"t": "load", "servers": loads, "nodes": nodes, "clients": clients}
        if message != self.sent_load:
            self.sent_load = message
            channel.send(message)

    def _send_clients(self, descriptors: list[int]) -> bool:
        return self.channel is not None and self.channel.try_send({"t": "clients"}, descriptors)

    def _resume(self) -> None:
        if self.next_update is not None:
            self.next_update.cancel()
        self.front.resume()
        for other in self.others:
            other.resume()
        self.listen()
        self.proxy.log("upgrade: the next process has ended; accepting connections again")
