"""What the rest of the program gets of the group, and what the group needs of the way to other members."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Protocol

from magpiefront.group.asks import Then
from magpiefront.group.facts import Member
from magpiefront.group.machines import Machine


class Group(Protocol):
    """Deadlines are moments of the house's clock, in microseconds. `then` is called exactly once."""

    @property
    def me(self) -> str:
        """This member's id; empty while it is none."""

    @property
    def leads(self) -> bool:
        """Does this member lead, as far as it knows?"""

    def register(self, name: str, machine: Machine) -> None:
        """A state machine of that name, the same at each member; before `start`."""

    def propose(self, machine: str, data: bytes, deadline_us: int, then: Then) -> None: ...

    def read(self, deadline_us: int, then: Then) -> None:
        """Committed: what is applied here now is at least as new as the moment of the call."""

    def take(self, lease: str, deadline_us: int, then: Then) -> None: ...

    def drop(self, lease: str, deadline_us: int, then: Then) -> None: ...

    def may_act(self) -> int:
        """The epoch under which this member may act at this moment; 0: it may not. Asked in front of each act
        that only one may do, and not before."""

    def holds(self, lease: str) -> int:
        """The epoch of that lease, if it is this member's at this moment; else 0."""

    def members(self) -> dict[str, Member]:
        """By name, as committed and applied here."""

    def watch(self, changed: Callable[[], None]) -> None: ...

    def tell(self, name: str, topic: str, data: bytes) -> None:
        """A hint to the member of that name, which may get lost."""

    def hear(self, topic: str, told: Callable[[str, bytes], None]) -> None:
        """`told` gets the names of those who tell, and what; data that can't be read is its own matter."""


class Way(Protocol):
    """To the other members. What can't be sent now is dropped: the newest counts, and nothing waits."""

    counts: Counter[str]

    def send(self, name: str, data: bytes) -> None: ...
    def stop(self) -> None: ...
