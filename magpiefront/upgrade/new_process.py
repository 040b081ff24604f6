"""The new process's side of a handover: it looks for a process that serves, and takes over from it."""

from __future__ import annotations

import socket
from pathlib import Path

from magpiefront.interface import PredecessorLoad
from magpiefront.net.admin_commands import AdminCommands
from magpiefront.net.config import BadConfig
from magpiefront.net.front import Front
from magpiefront.net.proxy import Proxy
from magpiefront.upgrade import channel as wire
from magpiefront.upgrade import state
from magpiefront.upgrade.channel import CLIENTS, Channel, Message
from magpiefront.upgrade.handover import VERSION, Action, ChannelEnded, EndCause, Go, NewSide, No, Offer
from magpiefront.upgrade.state import HandoverState

Received = tuple[Message, list[int]] | ChannelEnded

ANSWER_TIMEOUT_S = 1.0  # for each message; then the old process counts as hung


class HandoverClient:
    """Takes over from the old process during the start. Its calls block: until the process serves, it has
    nothing else to do."""

    def __init__(self, path: Path) -> None:
        """Asks the old process for its listening sockets. Raises BadConfig if another new process is taking
        over from it."""
        self.protocol = NewSide()
        self.listeners: dict[str, socket.socket] = {}  # by name; `CLIENTS` is the one for clients
        self.takes_ids = False  # whether the old process understands messages with ids of requests
        self.early_messages: list[Message] = []  # received before `go`; handled once this process serves
        self.socket = wire.connect(path, ANSWER_TIMEOUT_S)
        if self.socket is None:
            return
        received = self._ask(self.socket, {"t": "hello", "version": VERSION})
        match received:
            case ({"t": "offer", "version": version, **others}, [_, *_] as descriptors):
                self.takes_ids = others.get("ids") is True
                self._offered(version, others.get("listeners", [CLIENTS]), descriptors)
            case ({"t": "no", "why": str(reason)}, []):
                self._do(self.protocol.handle(No(reason)))
            case _:
                self._fail(received)

    def _offered(self, version: object, names: object, descriptors: list[int]) -> None:
        """Takes the sockets of an offer. Older versions offer only the socket for clients, without names."""
        sockets = [socket.socket(fileno=d) for d in descriptors]
        valid = isinstance(names, list) and len(names) == len(sockets) and names[0] == CLIENTS
        valid = valid and all(s.type == socket.SOCK_STREAM for s in sockets)
        if isinstance(names, list) and valid:
            self.listeners = {str(n): s for n, s in zip(names, sockets, strict=True)}
        else:
            for s in sockets:
                s.close()
        self._do(self.protocol.handle(Offer(version, valid)))

    @property
    def peer_pid(self) -> int:
        """The id of the old process; 0 if there is none."""
        return wire.peer_pid(self.socket) if self.socket is not None else 0

    @property
    def listener(self) -> socket.socket | None:
        """The listening socket for clients, if one was handed over."""
        return self.listeners.get(CLIENTS)

    def _ask(self, s: socket.socket, message: Message) -> Received:
        try:
            wire.send(s, message)
        except OSError:
            return ChannelEnded(EndCause.TIMED_OUT)
        return self._receive(s)

    def _receive(self, s: socket.socket) -> Received:
        try:
            return wire.receive(s) or ChannelEnded(EndCause.CLOSED)
        except OSError:
            return ChannelEnded(EndCause.TIMED_OUT)
        except wire.MalformedMessage:
            return ChannelEnded(EndCause.MALFORMED)

    def _fail(self, received: Received) -> None:
        """Ends the handover, because the channel has ended or the message is not expected at this step."""
        if not isinstance(received, ChannelEnded):
            wire.close_descriptors(received[1])
            received = ChannelEnded(EndCause.MALFORMED)
        self._do(self.protocol.handle(received))

    def _do(self, actions: list[Action]) -> None:
        """Carries out the actions. Raises BadConfig."""
        if Action.EXIT in actions:
            raise BadConfig("another new process is taking over from the one that serves")
        if Action.START_ALONE in actions:
            for s in self.listeners.values():
                s.close()
            self.listeners = {}
        if (Action.START_ALONE in actions or Action.CLOSE in actions) and self.socket is not None:
            self.socket.close()
            self.socket = None

    def take_over(self) -> HandoverState | None:
        """Takes over, which can't be undone: call it when every step of the start that can fail is done.
        Returns the state of the old process, or None if it handed none over."""
        if self.socket is None:
            return None
        parts: list[str] = []
        received = self._ask(self.socket, {"t": "take"})
        while True:
            match received:
                case ({"t": "part", "text": str(text)}, []):
                    parts.append(text)
                case (dict(override), []) if override["t"] == "ban":
                    self.early_messages.append(override)
                case ({"t": "go"}, []):
                    self._do(self.protocol.handle(Go()))
                    return state.decode("".join(parts))
                case _:
                    self._fail(received)
                    return None
            received = self._receive(self.socket)


class OldProcessLink:
    """The channel to the old process once this one serves: receives its idle connections, its loads and the
    operators' commands given to it."""

    def __init__(self, client: HandoverClient, proxy: Proxy, front: Front, commands: AdminCommands) -> None:
        self.proxy, self.front, self.commands = proxy, front, commands
        self.max_node_connections, self.max_clients = proxy.pool.max_connections, front.max_clients
        assert client.socket is not None
        self.channel = Channel(proxy.loop, client.socket, self._on_message, self._on_end)
        commands.on_override = self.channel.send_override
        if client.takes_ids:
            proxy.on_new_id = self._tell_id
        for message in client.early_messages:
            self._on_message(message, [])

    def _on_message(self, message: Message, descriptors: list[int]) -> None:
        match message:
            case {"t": "clients"}:
                for descriptor in descriptors:
                    self.front.adopt(socket.socket(fileno=descriptor))
                return
            case {"t": "load", "servers": dict(servers), "nodes": int(nodes), "clients": int(clients)}:
                self.proxy.dispatch(
                    PredecessorLoad({str(k): v for k, v in servers.items() if isinstance(v, int)})
                )
                # The two processes also share the limit of descriptors.
                self.proxy.pool.max_connections = max(8, self.max_node_connections - nodes)
                self.front.max_clients = max(8, self.max_clients - clients)
            case {"t": "ban", "id": str(server), "out": bool(out)}:
                self.commands.repeat_override(server, out)
            case {"t": "ids", "ids": list(ids)}:
                state.remember_ids(self.proxy, ids)
        wire.close_descriptors(descriptors)

    def _tell_id(self, name: bytes, known_us: int) -> None:
        """Tells the old process that this one has accepted a request that must run once."""
        if self.channel.open:
            self.channel.send({"t": "ids", "ids": [[name.decode("latin-1"), known_us]]})

    def _on_end(self, malformed: bool) -> None:
        self.proxy.dispatch(PredecessorLoad({}))
        self.proxy.pool.max_connections, self.front.max_clients = self.max_node_connections, self.max_clients
