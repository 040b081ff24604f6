"""The address that clients connect to: accepts their connections, and closes some to make room for others."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable

from magpiefront.net.client_memory import ClientMemory
from magpiefront.net.downstream import MIN_EVICTION_STALL_S, ClientConnection, FrontRuntime
from magpiefront.net.events import Reason
from magpiefront.net.listening import ResourceShortage, accept_connection, open_listener, refuse_new
from magpiefront.net.memory_plan import MIN_CLIENTS, REQUEST_ALLOWANCE_BYTES
from magpiefront.net.metrics import metric_lines
from magpiefront.net.request import Stage
from magpiefront.net.shutdown import MIN_IDLE_S
from magpiefront.net.turns import ReadTurns
from magpiefront.request_ids import OnceRequest

ACCEPT_RETRY_S = 0.05  # after a shortage of room or descriptors, until accepting is tried again
# Maximum number of connections that one call of `_make_room` closes. A twentieth of `max_clients` (plus one)
# is a second limit, so that a small front does not lose a large share of its connections at once.
MAX_EVICTIONS = 32
READ_BUFFER_BYTES = 16 * 1024  # the most that one read of a client's connection returns
MAX_ACCEPTS = 64  # connections accepted in one turn of the event loop
MAX_SHED = 16  # connections that one call of `shed_memory` closes


class Front:
    """The listening socket and the connections of clients, of which there are at most `max_clients`.

    `stopping`: the process is shutting down. `refusing`: new connections are refused by the kernel.
    """

    client_type: type[ClientConnection] = ClientConnection

    def __init__(self, runtime: FrontRuntime, stage: Stage, memory: ClientMemory, max_clients: int) -> None:
        self.runtime, self.stage, self.memory, self.max_clients = runtime, stage, memory, max_clients
        self.loop = runtime.loop
        self.turns = ReadTurns(self.loop)
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.accepted = 0  # connections so far
        # Called with a request whose client may not have got its answer.
        self.answer_unconfirmed: Callable[[OnceRequest], None] = lambda request: None
        self.clients: dict[ClientConnection, None] = {}
        self.handed_over = False  # whether another process accepts connections in place of this one
        self.opening: set[asyncio.Task[object]] = set()  # the running tasks of `_open`
        self.stopping = self.accepting = self.refusing = False
        self.max_clients_by_memory = max_clients
        self.holding = False  # memory is short: a new connection has to take the place of another one
        self.shared = False  # whether another process has a copy of the listening socket
        self.queue_since_us: int | None = None  # since when connections wait to be accepted; None: none
        self.eviction_retry_at = 0.0  # earliest loop time of the next search for connections to close
        self.socket: socket.socket | None = None

    @property
    def listening(self) -> bool:
        """Whether the listening socket is open."""
        return self.socket is not None

    @property
    def ending(self) -> bool:
        """Whether clients are to be disconnected because the process ends. False if another process takes
        over their connections."""
        return self.stopping and not self.handed_over

    @property
    def client_limit(self) -> int:
        """For how many connections there are descriptors and memory."""
        return min(self.max_clients, self.max_clients_by_memory)

    def listen_on(self, sock: socket.socket, shared: bool = False) -> None:
        """Accepts from an open listening socket. `shared`: another process has a copy of it."""
        sock.setblocking(False)
        self.socket, self.shared = sock, shared
        self._accept_more()

    def listen(self, host: str, port: int, shared: bool = False) -> None:
        """Opens the listening socket. `shared` lets another process of this user listen there, too. Raises
        OSError."""
        self.listen_on(open_listener(host, port, shared))

    def release(self) -> None:
        """Stops accepting, because another process accepts instead. The socket stays open, so that this
        process can accept again if the other one ends."""
        self.handed_over = True
        self._accept_no_more()

    def resume(self) -> None:
        """Accepts again after `release`."""
        self.handed_over = False
        self._accept_more()

    def hand_over_idle(self, send: Callable[[list[int]], bool], batch_size: int) -> None:
        """Passes idle connections to another process, at most `batch_size` descriptors at a time. `send`
        sends descriptors to that process and returns whether they were sent; if not, the remaining
        connections stay here. Bytes that are still unread go with their connection."""
        idle = [c for c in self.clients if c.can_hand_over()]
        for start in range(0, len(idle), batch_size):
            batch = idle[start : start + batch_size]
            copies = [os.dup(c.transport.get_extra_info("socket").fileno()) for c in batch]
            sent = send(copies)
            for copy in copies:
                os.close(copy)
            if not sent:
                return
            for c in batch:
                c.transport.abort()  # closes this process's descriptor; the copy keeps the connection open

    def adopt(self, sock: socket.socket) -> ClientConnection:
        """Serves a connection that was accepted, here or by another process."""
        sock.setblocking(False)
        self.accepted += 1
        client = self.client_type(self, self.accepted)
        self.clients[client] = None
        task = self.loop.create_task(self._open(client, sock))
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)
        return client

    def _accept_more(self) -> None:
        if self.socket is not None and not self.accepting and not self.handed_over:
            self.accepting = True
            self.loop.add_reader(self.socket.fileno(), self._accept)

    def _accept_no_more(self) -> None:
        if self.socket is not None and self.accepting:
            self.accepting = False
            self.loop.remove_reader(self.socket.fileno())

    def _accept(self) -> bool:
        """Accepts waiting connections; returns whether there may be more of them."""
        assert self.socket is not None
        for n in range(MAX_ACCEPTS):
            # If there is no room, connections are left in the kernel's queue, since an accepted one could
            # only be closed. Room is made for the first one only, as only that one is certain to wait.
            if self._is_full() and (n or not self._make_room()):
                if not n:
                    self._pause_accepting()
                return False
            try:
                sock = accept_connection(self.socket)
            except ResourceShortage as error:
                self._pause_accepting()
                self.runtime.log(f"cannot accept connections: {error}")
                return False
            if sock is None:
                self.queue_since_us = None
                return False
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            client = self.adopt(sock)
            if self.queue_since_us is not None:
                client.max_unread_us = self.runtime.now_us() - self.queue_since_us
        return True

    def _is_full(self) -> bool:
        """Whether a new connection has to take the place of another one."""
        count = len(self.clients)
        return count >= self.client_limit or (self.holding and count >= MIN_CLIENTS)

    def _pause_accepting(self) -> None:
        """Stops accepting for ACCEPT_RETRY_S. Waiting connections stay in the kernel's queue; without the
        pause, the event loop would be kept busy by trying again."""
        if self.queue_since_us is None:
            self.queue_since_us = self.runtime.now_us()
        self._accept_no_more()
        self.loop.call_later(ACCEPT_RETRY_S, self._accept_more)

    async def _open(self, client: ClientConnection, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError:
            if client.transport is None:
                self.clients.pop(client, None)

    def _make_room(self) -> bool:
        """Closes connections to make room for new ones. Those of clients that have sent no request or never
        finish a head are closed first, then those that have been idle longest; their clients can send again
        on a new connection. Returns whether there is room."""
        now = self.loop.time()
        if now < self.eviction_retry_at:
            return False
        ranks = ((c.eviction_rank(now), c) for c in self.clients)
        found = [(rank, c) for rank, c in ranks if rank is not None]
        found.sort(key=lambda ranked: ranked[0])
        if not found:
            self.eviction_retry_at = now + ACCEPT_RETRY_S
        chosen = found[: min(MAX_EVICTIONS, 1 + self.client_limit // 20)]
        self.runtime.events_log.emit(
            "closed", Reason.ROOM, connections=len(self.clients), evicted=len(chosen), candidates=len(found),
        )  # fmt: skip
        for _, c in chosen:
            self.clients.pop(c)
            c.close_for_room()
        return bool(found)

    def relieve_answers(self) -> None:
        """Closes the connections whose clients have read nothing for longest, until unread answers fit into
        their memory again."""
        if not self.memory.answers_exceeded:
            return
        now = self.loop.time()
        slow = [c for c in self.clients if c.unsent and not c.transport.is_closing()]
        slow.sort(key=lambda c: c.last_progress_at)
        for client in slow:
            if not self.memory.answers_exceeded:
                return
            self.runtime.events_log.emit(
                "closed", Reason.MEMORY, connection=client.number, unsent=client.unsent,
                quiet_ms=int((now - client.last_progress_at) * 1000),
            )  # fmt: skip
            client.abort_unread()

    def shed_memory(self) -> None:
        """Frees memory at once: closes connections whose clients do not read their answers, then refuses
        messages that are not complete, those that hold most first. At most MAX_SHED in a call."""
        now = self.loop.time()
        unread = [c for c in self.clients if c.unsent and not c.transport.is_closing()]
        unread.sort(key=lambda c: c.last_progress_at)
        for client in unread[:MAX_SHED]:
            if now - client.last_progress_at > MIN_EVICTION_STALL_S:
                client.abort_unread()
        partial = [c for c in self.clients if c.held > REQUEST_ALLOWANCE_BYTES and not c.closing]
        partial.sort(key=lambda c: c.held, reverse=True)
        for client in partial[:MAX_SHED]:
            client.refuse_partial()

    def client_lost(self, client: ClientConnection) -> None:
        """Forgets a connection that has closed, and accepts again if there is room for another."""
        self.clients.pop(client, None)
        if self.socket is not None and not self._is_full():
            self._accept_more()

    def metrics_text(self) -> str:
        """The metrics of the clients' connections and of the memory that they hold, in bytes."""
        memory = self.memory
        return metric_lines("clients", {
            "open": len(self.clients), "max_open": self.client_limit, "accepted": self.accepted,
            "request_bytes": memory.used, "max_request_bytes": memory.limit,
            "unsent_bytes": memory.unsent, "max_unsent_bytes": memory.answer_limit,
            "unparsed_bytes": sum(len(c.unparsed) for c in self.clients),
            "paused_for_memory": len(memory.paused),
        })  # fmt: skip

    def sweep(self) -> None:
        """Checks the timeouts of all connections, and accepts again if that was paused."""
        now = self.loop.time()
        for client in list(self.clients):
            if client.transport is not None:
                client.sweep(now)
        self.memory.resume_some()
        self._accept_more()

    def refuse_new(self) -> None:
        """Lets the kernel refuse new connections: the step before `stop_accepting`. Changes nothing
        if another process has a copy of the socket, since it accepts from there."""
        self.refusing = True
        if self.socket is not None and not self.shared:
            try:
                refuse_new(self.socket)
            except OSError as error:
                self.runtime.log(
                    f"cannot refuse new connections while waiting ones are accepted: {error.strerror}"
                )

    def stop_accepting(self, at_once: bool = True) -> None:
        """Accepts all waiting connections, then closes the listening socket; the close resets those that
        still wait. If there is no room for all of them, the socket stays open, unless `at_once`."""
        if self.socket is None:
            return
        while not self.handed_over and self._accept():
            pass
        if self.handed_over or at_once or not self._is_full():
            self._accept_no_more()
            self.socket.close()
            self.socket = None

    def close_idle(self, min_idle_s: float = MIN_IDLE_S) -> None:
        """Ends connections that have been idle for at least `min_idle_s` seconds."""
        idle_since = self.loop.time() - min_idle_s
        for client in list(self.clients):
            transport = client.transport
            if transport is None or client.lingering or transport.is_closing():
                continue
            if client.idle and client.last_progress_at <= idle_since:
                client.end_idle()
