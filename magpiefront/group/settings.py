"""The settings of a group. Durations are in microseconds, sizes in bytes. Times and limits are named as in
the operator's file, with `_us` added to durations."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Times:
    """Timeouts and intervals. Shorter ones detect a loss sooner, longer ones tolerate more load
    (docs/operations/group.md)."""

    heartbeat_us: int = 50_000  # interval of the leader's messages to each voter
    observer_us: int = 200_000  # interval of the leader's messages to each observer
    # Minimum time without hearing the leader before a voter starts an election. The actual time is drawn at
    # random, up to twice that.
    election_us: int = 400_000
    session_us: int = 450_000  # how long a member may act after a request that the leader grants
    ping_us: int = 110_000  # interval of a member's requests to renew its session
    # The largest difference in speed between two clocks (0.01: 10 ms per second). The quartz oscillators of
    # computers differ by less.
    drift: float = 0.01
    margin_us: int = 20_000  # between the end of a session by its member's clock and any action based on it
    hold_us: int = 2_000_000  # how long a lost member must be heard before it is marked as alive again
    most_hold_us: int = 60_000_000  # limit of that time, which doubles with each loss soon after a return

    @property
    def loss_timeout_us(self) -> int:
        """How long after the latest granted request of a member the leader considers the member lost."""
        return int(self.session_us * (1 + 2 * self.drift)) + self.margin_us

    @property
    def lease_us(self) -> int:
        """After the start of a round that a majority has answered, no other leader can be elected for this
        time (Raft thesis, 6.4.1)."""
        return int(self.election_us * (1 - 2 * self.drift)) - self.margin_us


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on sizes and numbers."""

    most_entry: int = 64 << 10  # bytes of one command
    most_append: int = 256 << 10  # bytes of entries in one message
    most_flight: int = 8  # unanswered messages with entries to one member
    most_open: int = 4_096  # uncommitted commands at the leader
    most_part: int = 128 << 10  # bytes of a snapshot in one message
    keep: int = 2_000  # log entries kept although a snapshot covers them, for members that lag slightly
    compact: int = 8_000  # number of entries applied since the last snapshot from which a new one is taken
    most_message: int = 1 << 20  # bytes of one message
    most_queued: int = 256  # messages waiting to be sent to one member; beyond it, the oldest are dropped
    most_waiting: int = 1_024  # open commands and reads of this member


@dataclass(frozen=True, slots=True)
class GroupSettings:
    """The settings of a group, for one of its members."""

    name: str  # of the group; messages of other groups are rejected
    member: str
    listen: Address
    path: Path
    members: dict[str, Address]  # all members that this one may have to reach, itself included
    voters: frozenset[str]  # the names of the voters at the first start of the group
    times: Times = field(default_factory=Times)
    limits: Limits = field(default_factory=Limits)
