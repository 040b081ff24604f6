"""What an operator may set of the group. Durations are microseconds, sizes bytes."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Times:
    """Each trades the time until a loss is seen against quiet under load: docs/operations/group.md."""

    heartbeat_us: int = 50_000  # of the leader to each voter
    observer_us: int = 200_000  # ... to each observer
    election_us: int = 400_000  # least silence of the leader before a voter asks; drawn up to twice that
    session_us: int = 450_000  # how long a member may act after it asked, once the leader has said yes
    ping_us: int = 110_000  # of a member for its session
    # How much faster one clock may run than another (0.01: 10 ms a second); beyond what crystals do.
    drift: float = 0.01
    margin_us: int = 20_000  # between a session's end by its member's clock and any act on that
    hold_us: int = 2_000_000  # a member that was lost has to be heard so long before it is well again
    most_hold_us: int = 60_000_000  # doubled with each loss soon after the last, up to this

    @property
    def free_us(self) -> int:
        """How long the leader waits after its last yes before it takes a member for lost."""
        return int(self.session_us * (1 + 2 * self.drift)) + self.margin_us

    @property
    def lease_us(self) -> int:
        """How long after a round was sent, and a majority answered it, no other leader can be elected (Raft
        thesis, 6.4.1)."""
        return int(self.election_us * (1 - 2 * self.drift)) - self.margin_us


@dataclass(frozen=True, slots=True)
class Limits:
    most_entry: int = 64 << 10  # bytes of one command
    most_append: int = 256 << 10  # bytes of entries in one message
    most_flight: int = 8  # messages with entries on their way to one member
    most_open: int = 4_096  # commands that the leader has not committed
    most_part: int = 128 << 10  # bytes of a snapshot in one message
    keep: int = 2_000  # entries kept behind a snapshot, for members that lag a little
    compact: int = 8_000  # entries since the last snapshot, after which the next one is taken
    most_message: int = 1 << 20
    most_queued: int = 256  # messages that wait for one member; the newest stay
    most_waiting: int = 1_024  # commands of this member whose outcome is open


@dataclass(frozen=True, slots=True)
class GroupSettings:
    name: str  # of the group: members of another are turned away
    member: str
    listen: Address
    path: Path
    members: dict[str, Address]  # all that this member may have to reach, itself too
    voters: frozenset[str]  # of the first start
    times: Times = field(default_factory=Times)
    limits: Limits = field(default_factory=Limits)
