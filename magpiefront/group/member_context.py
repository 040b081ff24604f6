"""The interface through which `Membership` and `Startup` use the `Peer` that they are parts of."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from magpiefront.group.state_machines import StateMachines
from magpiefront.group.messages import Message
from magpiefront.group.pending import OutcomeCallback
from magpiefront.group.raft import Raft
from magpiefront.group.sessions import Session
from magpiefront.group.settings import GroupSettings, Times


class MemberContext(Protocol):
    """A member as its parts see it. Times are in microseconds."""

    applied: int  # index of the last applied entry

    @property
    def me(self) -> str:
        """The id of this member, which includes its incarnation."""

    @property
    def process_number(self) -> int:
        """The number of this process among all processes of this incarnation, counted on its disk from 1."""

    @property
    def settings(self) -> GroupSettings: ...
    @property
    def times(self) -> Times: ...
    @property
    def raft(self) -> Raft: ...
    @property
    def machines(self) -> StateMachines: ...
    @property
    def session(self) -> Session: ...
    @property
    def outbox(self) -> list[tuple[str, Message]]:
        """Messages to be sent, each with the id of its receiver."""

    @property
    def log(self) -> Callable[[str], None]: ...

    def propose(
        self, machine: str, data: bytes, deadline_us: int, on_done: OutcomeCallback, now_us: int
    ) -> None: ...
