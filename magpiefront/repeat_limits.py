"""What binds each further sending of a keyed request that may have run; no I/O and no clock.

The servers of a group drop repeats of an idempotency key for a time, the window, which begins when one of
them first gets the request (protocol page, "Proxies to cache nodes"). So a request that may have run may be
sent only to the same group, and its last byte must arrive before the window is over. Times are microseconds
of one clock of the process.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# The longest delay that is expected between this process reading its clock and writing a request. Each window
# is shortened by it, but by no more than half of the window.
MAX_PROCESS_DELAY_US = 150_000


class DedupScope(Enum):
    """Which servers share their record of idempotency keys, so that each of them drops the repeat of a keyed
    request that another one has had."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class ServerGroup:
    """The zone and the cell of a server: with which others it shares its record of keys."""

    zone: str = ""
    cell: int = -1

    def shares_keys_with(self, other: ServerGroup, scope: DedupScope) -> bool:
        """Returns whether servers of the two groups share one record of keys."""
        match scope:
            case DedupScope.ALL:
                return True
            case DedupScope.ZONE:
                return self.zone == other.zone
            case DedupScope.CELL:
                return self.cell == other.cell


NO_GROUP = ServerGroup()  # of a server whose zone and cell are not known


class Unplaced(Enum):
    """Where a request may have run, if no group is known."""

    NOWHERE = "nowhere"  # it has certainly not run
    UNKNOWN = "unknown"  # it may have run at a server of any group


@dataclass(frozen=True, slots=True)
class RepeatLimits:
    """What a sending of a request may do, from what came before it.

    `first_sent_us` is when it may have been sent for the first time; 0: no time binds it. `window_us` is for
    how long from then on the servers drop repeats. `place` is where it may have run.
    """

    first_sent_us: int = 0
    window_us: int = 0
    place: ServerGroup | Unplaced = Unplaced.NOWHERE

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have run before."""
        return self.place is not Unplaced.NOWHERE

    @property
    def not_after_us(self) -> int:
        """When its last byte must have arrived at a server; 0: at any time."""
        if not self.first_sent_us:
            return 0
        return self.first_sent_us + self.window_us - min(MAX_PROCESS_DELAY_US, self.window_us // 2)

    def allow_sending(self, now_us: int) -> bool:
        """Returns whether the request may be sent now. A first sending in the future is no time that a window
        could be counted from."""
        return not self.first_sent_us or self.first_sent_us <= now_us < self.not_after_us

    def allow_group(self, group: ServerGroup, scope: DedupScope) -> bool:
        """Returns whether the request may be sent to a server of this group."""
        match self.place:
            case ServerGroup():
                return self.place.shares_keys_with(group, scope)
            case Unplaced.UNKNOWN:
                return scope is DedupScope.ALL
            case Unplaced.NOWHERE:
                return True

    def after_attempt(self, sent_us: int, window_us: int, place: ServerGroup | Unplaced) -> RepeatLimits:
        """Returns the limits after an attempt of this request that may have run at `place`. They are those of
        the first such attempt."""
        if self.may_have_run:
            return self
        return RepeatLimits(self.first_sent_us or sent_us, self.window_us or window_us, place)

    def joined_with(self, known_here: RepeatLimits) -> RepeatLimits:
        """Returns the limits of a request that came with these, where this process itself has sent a request
        with the same key before: the earlier time binds it."""
        if not known_here.may_have_run:
            return self
        if not self.first_sent_us:
            return known_here
        return RepeatLimits(
            min(self.first_sent_us, known_here.first_sent_us),
            min(self.window_us, known_here.window_us),
            self.place if self.may_have_run else known_here.place,
        )


FIRST_SENDING = RepeatLimits()  # of a request that has not been sent before
