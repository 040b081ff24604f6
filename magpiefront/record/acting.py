"""Who may act on a report, as the proxies of a site agree; without a group each one may, by rows' times."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Protocol

from magpiefront.record.rows import Id


class Standing(enum.Enum):
    """Of a row's owner."""

    MINE = "mine"  # this member, under the epoch that it has
    WELL = "well"  # another member, under the epoch that it has: left alone, however slow
    OVER = "over"  # a member that acts no more under that epoch, for certain
    UNTOLD = "untold"  # names no member: its times alone tell (no group, or an older version wrote it)


class Acting(Protocol):
    """All but `watch` and `follow` are answered from what is known at that moment, without waiting."""

    def prefix(self) -> str | None:
        """What the owner of a row begins with that is written now; None: this proxy may not act."""

    def may(self, owner: str) -> bool:
        """In front of each act on a row with that owner: is it still this proxy's?"""

    def standing(self, owner: str) -> Standing: ...

    def turn_us(self, id: Id) -> int:
        """How long (microseconds) this proxy leaves a row whose owner is over to those whose share it is."""

    def watch(self, changed: Callable[[list[str]], None], in_hand: Callable[[Id], bool]) -> None:
        """`changed` hears of members that have changed, as what their rows' owners begin with. `in_hand`: is
        this process at work on it?"""

    def follow(self, owner: str, id: Id, settled: Callable[[Id], None]) -> bool:
        """Asks the row's owner to say when it is done with it, which may get lost. False: nobody can."""

    def settled(self, id: Id) -> None:
        """Tells those who follow it."""


class Alone:
    """Without a group."""

    def prefix(self) -> str | None:
        return ""

    def may(self, owner: str) -> bool:
        return True

    def standing(self, owner: str) -> Standing:
        return Standing.UNTOLD

    def turn_us(self, id: Id) -> int:
        return 0

    def watch(self, changed: Callable[[list[str]], None], in_hand: Callable[[Id], bool]) -> None:
        pass

    def follow(self, owner: str, id: Id, settled: Callable[[Id], None]) -> bool:
        return False

    def settled(self, id: Id) -> None:
        pass
