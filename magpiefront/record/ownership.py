"""Which process may act on the row of a report.

The members of a group agree on this. Without a group any process may act on any row, and only the times in
the row determine when.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Protocol

from magpiefront.record.rows import Id


class OwnerStatus(enum.Enum):
    """Whether the owner of a row may still act on it."""

    OWN = "mine"  # this member, under its current epoch
    ACTIVE = "well"  # another member, under its current epoch; its rows are not claimed, however slow it is
    ENDED = "over"  # a member that certainly does not act under that epoch any more
    NO_MEMBER = "untold"  # not a member (no group, or an older version wrote it): only the row's times count


class Ownership(Protocol):
    """Decides which rows this process may act on.

    `follow` sends a message. Every other method that returns a value answers at once from what this process
    knows.
    """

    def owner_prefix(self) -> str | None:
        """Returns the prefix of the owners that this process writes now; None if it may not act."""

    def may_act(self, owner: str) -> bool:
        """Returns whether rows with this owner still belong to this process. Called before each action on a
        row."""

    def owner_status(self, owner: str) -> OwnerStatus: ...

    def claim_delay_us(self, id: Id) -> int:
        """Returns how long (microseconds) this process leaves a row whose owner has ended to the members that
        come before it in the order of claims."""

    def watch(self, changed: Callable[[list[str]], None], in_hand: Callable[[Id], bool]) -> None:
        """Sets the callbacks: `changed` is called when members may have lost their permission to act, with
        their owner prefixes; `in_hand` returns whether this process works on a report."""

    def follow(self, owner: str, id: Id, on_done: Callable[[Id], None]) -> bool:
        """Asks the owner of a row to notify this process when it is done with the row; `on_done` is then
        called. The request and the notice may get lost. Returns False if the owner can't be asked."""

    def notify_done(self, id: Id) -> None:
        """Notifies the members that follow this report that this process is done with it."""


class UngroupedOwnership:
    """`Ownership` without a group."""

    def owner_prefix(self) -> str | None:
        return ""

    def may_act(self, owner: str) -> bool:
        return True

    def owner_status(self, owner: str) -> OwnerStatus:
        return OwnerStatus.NO_MEMBER

    def claim_delay_us(self, id: Id) -> int:
        return 0

    def watch(self, changed: Callable[[list[str]], None], in_hand: Callable[[Id], bool]) -> None:
        pass

    def follow(self, owner: str, id: Id, on_done: Callable[[Id], None]) -> bool:
        return False

    def notify_done(self, id: Id) -> None:
        pass
