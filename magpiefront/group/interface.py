"""The interface that a group offers to the rest of the program, and that of the transport which it uses to
send messages."""

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
        """Adds a state machine under a name that is the same on all members. Call it before `start`."""

    def propose(self, machine: str, data: bytes, deadline_us: int, on_done: OutcomeCallback) -> None:
        """Proposes a command to the state machine registered under the name `machine`."""

    def read(self, deadline_us: int, on_done: OutcomeCallback) -> None:
        """A linearizable read: if it ends as committed, all that was committed before the call is applied
        here."""

    def acquire_lease(self, lease: str, deadline_us: int, on_done: OutcomeCallback) -> None:
        """Acquires a lease if it is free. Only `lease_epoch` tells whether this member holds it afterwards,
        whatever the outcome of the request."""

    def release_lease(self, lease: str, deadline_us: int, on_done: OutcomeCallback) -> None:
        """Releases a lease. From this call on this member does not hold it, whatever the outcome."""

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
        """Sends a hint to the member of that name. It may be lost."""

    def on_hint(self, topic: str, handler: Callable[[str, bytes], None]) -> None:
        """Calls `handler` with the sender's name and the data of each hint on a topic. The handler must not
        raise if it can't decode the data."""


class Transport(Protocol):
    """Sends messages to the other members without blocking. Messages that can't be sent now are dropped, the
    oldest first."""

    counts: Counter[str]

    def send(self, name: str, data: bytes) -> None: ...
    def stop(self) -> None: ...
