"""The address that clients connect to: what is accepted, and which connection makes room for another."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable

from magpiefront.net.bodies import Bodies
from magpiefront.net.downstream import ClientConnection, House
from magpiefront.net.events import Reason
from magpiefront.net.listening import NoRoom, accepted, listening, refuse_new
from magpiefront.net.request import Stage
from magpiefront.net.shutdown import RESTED_S

LOOK_S = 0.05  # until there is a look again whether another connection can be taken
EVICTS = 32  # connections that make room at once
ACCEPTS = 64  # connections taken at once


class Front:
    """The listening socket and the clients' connections."""

    client_type: type[ClientConnection] = ClientConnection

    def __init__(self, house: House, stage: Stage, bodies: Bodies, most: int) -> None:
        self.house, self.stage, self.bodies, self.most = house, stage, bodies, most
        self.loop = house.loop
        self.clients: dict[ClientConnection, None] = {}
        self.handed = False  # to another process, which accepts in place of this one
        self.opening: set[asyncio.Task[object]] = set()
        self.stopping = self.accepting = self.refusing = False
        self.shared = False  # has another process a copy of the listening socket?
        self.queue_since_us: int | None = None  # since when connections wait that could not be accepted
        self.look_at = 0.0  # not before this is it looked for room again
        self.socket: socket.socket | None = None

    @property
    def listening(self) -> bool:
        return self.socket is not None

    @property
    def ending(self) -> bool:
        """Are clients to leave? Not where another process takes their connections over."""
        return self.stopping and not self.handed

    def listen_on(self, s: socket.socket, shared: bool = False) -> None:
        """On a listening socket that is there already; `shared` where another process has a copy."""
        s.setblocking(False)
        self.socket, self.shared = s, shared
        self._accept_more()

    def listen(self, host: str, port: int, shared: bool = False) -> None:
        """`shared` lets another process of this user listen there too. Raises OSError."""
        self.listen_on(listening(host, port, shared))

    def release(self) -> None:
        """Another process accepts in place of this one, which keeps the socket in case that one ends."""
        self.handed = True
        self._accept_no_more()

    def resume(self) -> None:
        self.handed = False
        self._accept_more()

    def give_away(self, give: Callable[[list[int]], bool], most: int) -> None:
        """Passes connections on which nothing is open to another process, up to `most` at a time; `give` says
        whether it took them. Bytes that nobody has read go with them."""
        free = [c for c in self.clients if c.may_go()]
        for at in range(0, len(free), most):
            going = free[at : at + most]
            copies = [os.dup(c.transport.get_extra_info("socket").fileno()) for c in going]
            given = give(copies)
            for copy in copies:
                os.close(copy)
            if not given:
                return
            for c in going:
                c.transport.abort()  # this process's end of it alone

    def adopt(self, s: socket.socket) -> ClientConnection:
        """A client's connection, as accepted."""
        s.setblocking(False)
        client = self.client_type(self)
        self.clients[client] = None
        task = self.loop.create_task(self._open(client, s))
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)
        return client

    def _accept_more(self) -> None:
        if self.socket is not None and not self.accepting and not self.handed:
            self.accepting = True
            self.loop.add_reader(self.socket.fileno(), self._accept)

    def _accept_no_more(self) -> None:
        if self.socket is not None and self.accepting:
            self.accepting = False
            self.loop.remove_reader(self.socket.fileno())

    def _accept(self) -> bool:
        """Are there perhaps more?"""
        assert self.socket is not None
        for n in range(ACCEPTS):
            # Out of descriptors a connection could only be broken: it waits in the kernel's queue instead.
            # Only at the first is it sure that one has come.
            if len(self.clients) >= self.most and (n or not self._make_room()):
                if not n:
                    self._pause_accepting()
                return False
            try:
                s = accepted(self.socket)
            except NoRoom as e:
                self._pause_accepting()
                self.house.log(f"no connection taken: {e}")
                return False
            if s is None:
                self.queue_since_us = None
                return False
            s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            client = self.adopt(s)
            if self.queue_since_us is not None:
                client.queued_us = self.house.now_us() - self.queue_since_us
        return True

    def _pause_accepting(self) -> None:
        """Those that wait stay in the kernel's queue; a loop that asked on at once would only be busy."""
        if self.queue_since_us is None:
            self.queue_since_us = self.house.now_us()
        self._accept_no_more()
        self.loop.call_later(LOOK_S, self._accept_more)

    async def _open(self, client: ClientConnection, s: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: client, s)
        except OSError:
            if client.transport is None:
                self.clients.pop(client, None)

    def _make_room(self) -> bool:
        """Guards against clients that open connections and ask nothing, or never end a head: those go first,
        then the one that has been idle longest, which sends again on a new one."""
        now = self.loop.time()
        if now < self.look_at:
            return False
        orders = ((c.spared_for(now), c) for c in self.clients)
        found = [(order, c) for order, c in orders if order is not None]
        found.sort(key=lambda f: f[0])
        if not found:
            self.look_at = now + LOOK_S
        self.house.events_log.tell("closed", Reason.ROOM, connections=len(self.clients))
        for _, c in found[: min(EVICTS, 1 + self.most // 20)]:
            self.clients.pop(c)
            c.transport.close()  # at once, for its descriptor; nothing of an answer is left in it
        return bool(found)

    def lost(self, client: ClientConnection) -> None:
        self.clients.pop(client, None)
        if self.socket is not None and len(self.clients) < self.most:
            self._accept_more()

    def sweep(self) -> None:
        now = self.loop.time()
        for client in list(self.clients):
            if client.transport is not None:
                client.sweep(now)
        self._accept_more()

    def refuse_new(self) -> None:
        """The first step of `stop_accepting`. Not where another process accepts from the same socket."""
        self.refusing = True
        if self.socket is not None and not self.shared:
            try:
                refuse_new(self.socket)
            except OSError as e:
                self.house.log(f"new connections can't be refused before the last is accepted: {e.strerror}")

    def stop_accepting(self, at_once: bool = True) -> None:
        """Accepts all that wait and closes the listening socket, which would reset them. While there is no
        room for all, it stays open unless it is to be closed `at_once`."""
        if self.socket is None:
            return
        while not self.handed and self._accept():
            pass
        if self.handed or at_once or len(self.clients) < self.most:
            self._accept_no_more()
            self.socket.close()
            self.socket = None

    def close_idle(self, rested_s: float = RESTED_S) -> None:
        """Ends connections on which nothing is open and that have rested for so long."""
        fresh = self.loop.time() - rested_s
        for client in list(self.clients):
            transport = client.transport
            if transport is None or client.lingering or transport.is_closing():
                continue
            if client.idle and client.moved_at <= fresh:
                client.end_idle()
