"""The interface of a group to the rest of the program, and of the transport that it sends messages with."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Protocol

from magpiefront.group.registry import Member
from magpiefront.group.state_machines import StateMachine
from magpiefront.group.pending import OutcomeCallback


class Group(Protocol):
    """A member of a group. Deadlines are times of the runtime's clock in microseconds. Each `on_done` is
    called exactly once."""

    @property
    def me(self) -> str:
        """This member's id; empty while it takes no part."""

    @property
    def is_leader(self) -> bool:
        """Whether this member leads, as far as it knows."""

    def register(self, name: str, machine: StateMachine) -> None:
        """Adds a state machine under a name; all members must use the same name. Call it before `start`."""

    def propose(self, machine: str, data: bytes, deadline_us: int, on_done: OutcomeCallback) -> None:
        """Proposes a command for a state machine."""

    def read(self, deadline_us: int, on_done: OutcomeCallback) -> None:
        """A linearizable read: if it ends as committed, all that was committed before the call is applied
        here."""

    def acquire_lease(self, lease: str, deadline_us: int, on_done: OutcomeCallback) -> None: ...

    def release_lease(self, lease: str, deadline_us: int, on_done: OutcomeCallback) -> None: ...

    def may_act(self) -> int:
        """The epoch under which this member may act at this moment; 0 if it may not. Check it immediately
        before each action that only one member may perform, not in advance."""

    def lease_epoch(self, lease: str) -> int:
        """The epoch of the lease if this member holds it at this moment, else 0."""

    def members(self) -> dict[str, Member]:
        """The members by name, as committed and applied here."""

    def watch(self, changed: Callable[[], None]) -> None:
        """Calls `changed` after each change of the members."""

    def send_hint(self, name: str, topic: str, data: bytes) -> None:
        """Sends a hint to the member of that name. Hints may be lost."""

    def on_hint(self, topic: str, handler: Callable[[str, bytes], None]) -> None:
        """Calls `handler` with the sender's name and the data of each hint on a topic. The handler has to
        accept data that it can't decode."""


class Transport(Protocol):
    """Sends messages to the other members without blocking. What can't be sent now is dropped, the oldest
    message first."""

    counts: Counter[str]

    def send(self, name: str, data: bytes) -> None: ...
    def stop(self) -> None: ...
