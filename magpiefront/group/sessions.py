"""Sessions: they allow a member to act, are renewed only by the leader, and expire by the member's own clock.
No I/O and no clock.

A member may send its request to any voter. Voters pass requests on to the leader with their answers to its
rounds, and the leader's grants return the same way. So the leader hears a member that reaches a single voter,
and considers a member lost only after it has been silent towards every voter that the leader hears.

Safety does not depend on the path of a request. A session is counted from the time at which the member sent
its request, and the leader grants it only after a majority has answered a round that began after the leader
received the request. That majority elects no other leader for `election_us` after it heard this one, so when
a new leader is elected at most `session_us - election_us` is left of any session. A new leader waits that
long before it declares a member lost, allowing for clocks that differ by up to `drift`. For a session that it
has granted itself, a leader waits the whole `loss_timeout_us` after the last granted request.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from magpiefront.group.settings import Times

Ack = tuple[str, int, bool, int]  # member, number of its request, whether it may act, its epoch
MAX_SENT_REQUESTS = 64  # grants of requests before the latest 64 are ignored


class Session:
    """A member's own session."""

    def __init__(self, times: Times, random: Random) -> None:
        self.times, self.random = times, random
        self.seq = 0
        self.sent: deque[tuple[int, int]] = deque(maxlen=MAX_SENT_REQUESTS)  # number and time of each request
        self.until_us = 0  # when the session ends
        self.epoch = 0  # the latest epoch that the leader has sent; 0 before the first
        self.due_us = 0  # when the next request is to be sent
        self.next_voter = 0  # counts requests, to choose the voters in turn
        self.is_removed = False  # the leader does not know this incarnation as a member any more
        self.is_member = False  # the leader knows this incarnation as a member

    def next_request(self, leader: str, voters: Iterable[str], now_us: int) -> tuple[int, list[str]]:
        """The number of the next request and its receivers: the leader and one voter in turn, or all voters
        if the latest granted request was sent three ping intervals ago or earlier."""
        self.seq += 1
        self.sent.append((self.seq, now_us))
        # A jitter of up to 25% either way. Without it, hundreds of members whose requests one event has
        # synchronized would stay synchronized.
        self.due_us = now_us + int(self.times.ping_us * (0.75 + 0.5 * self.random.random()))
        known = sorted(voters)
        if not known:
            return self.seq, []
        if now_us >= self.until_us - self.times.session_us + 3 * self.times.ping_us:
            return self.seq, known
        self.next_voter += 1
        return self.seq, sorted({leader, known[self.next_voter % len(known)]} & set(known))

    def expedite(self, votes: bool, now_us: int) -> None:
        """Sends the next request soon, because a new leader has not heard from any member yet. Requests are
        spread at random: those of voters over one ping interval, those of observers, of which there may be
        hundreds, over two. Both are less than the time that a new leader waits (`has_expired`)."""
        max_delay_us = self.times.ping_us * (1 if votes else 2)
        self.due_us = min(self.due_us, now_us + int(max_delay_us * self.random.random()))

    def on_reply(self, seq: int, may: bool, epoch: int) -> None:
        """Handles the leader's answer to request `seq`. A negative epoch means that this incarnation is not
        a member any more. Answers under an earlier epoch are ignored."""
        if abs(epoch) < self.epoch:
            return
        self.is_removed, self.is_member = epoch < 0, epoch > 0
        if self.is_removed:
            self.until_us = 0
            return
        if epoch > self.epoch:
            self.epoch, self.until_us = epoch, 0  # grants of the previous epoch are void
        sent = next((at for number, at in self.sent if number == seq), None)
        if may and sent is not None:
            self.until_us = max(self.until_us, sent + self.times.session_us)
        elif not may:
            self.until_us = 0

    def is_valid(self, now_us: int) -> bool:
        return now_us < self.until_us


class PingRelay:
    """The session requests that a voter passes on to the leader with its next answer."""

    def __init__(self) -> None:
        self.heard: dict[str, tuple[int, int]] = {}  # latest request and process number, by member

    def add(self, member: str, seq: int, process_number: int) -> None:
        before = self.heard.get(member)
        if before is None or before[1] != process_number or before[0] < seq:
            self.heard[member] = seq, process_number

    def take(self) -> list[tuple[str, int, int]]:
        """Removes and returns the requests: member, number of the request, process number."""
        heard, self.heard = self.heard, {}
        return [(member, seq, process_number) for member, (seq, process_number) in sorted(heard.items())]


class SessionRequest(NamedTuple):
    """A session request that the leader grants or denies once a majority has answered `round`."""

    round: int
    by: str  # the voter that received it
    member: str
    seq: int
    process_number: int
    heard_us: int  # when the leader received it


@dataclass
class SessionGrants:
    """The sessions that a leader has granted, and when it has heard from each member. Times are
    microseconds."""

    times: Times
    # Sessions granted by earlier leaders count as granted at this time. After a stall of this process it is
    # set to the present and applies to all sessions (`detect_stall`).
    began_us: int
    elected_us: int = 0
    # The leader whose silence led to the election of this one; empty after a transfer of leadership. That
    # member gets no extra time to send a first request (`has_expired`).
    previous_leader: str = ""
    unconfirmed: list[SessionRequest] = field(default_factory=list)
    granted_us: dict[str, int] = field(default_factory=dict)  # arrival of the latest granted request
    heard_us: dict[str, int] = field(default_factory=dict)  # arrival of the latest request
    heard_since_us: dict[str, int] = field(default_factory=dict)  # first request after the last gap
    alive_since_us: dict[str, int] = field(default_factory=dict)  # since when it is alive, if known here
    # Members that get no grants any more: it is proposed to mark them as lost, or their session has to end
    # because an operator removes them or another incarnation replaces them.
    closing: set[str] = field(default_factory=set)
    acks: dict[str, list[Ack]] = field(default_factory=dict)  # answers, by the voter that passes them on
    checked_us: int = 0  # when `detect_stall` was last called
    # Whether this leader has gone through all members once. Those alive at that first check count as alive
    # since `began_us`; others since the check that first finds them alive.
    has_checked: bool = False

    def add_request(self, request: SessionRequest) -> None:
        """Records a request, which waits until a majority has answered its round."""
        if request.heard_us > self.heard_us.get(request.member, 0) + self.times.session_us:
            self.heard_since_us[request.member] = request.heard_us
        self.heard_us[request.member] = request.heard_us
        self.unconfirmed.append(request)

    def pop_confirmed(self, quorum_round: int) -> list[SessionRequest]:
        """Removes and returns the requests whose round a majority has answered."""
        due = [r for r in self.unconfirmed if r.round <= quorum_round]
        if due:
            self.unconfirmed = [r for r in self.unconfirmed if r.round > quorum_round]
        return due

    def decide(self, request: SessionRequest, is_alive: bool) -> bool:
        """Whether a confirmed request is granted; if so, records that. `is_alive`: in the registry, the
        member is alive and the sender is its latest process."""
        may = is_alive and request.member not in self.closing
        if may:
            self.granted_us[request.member] = max(self.granted_us.get(request.member, 0), request.heard_us)
        return may

    def take_acks(self, by: str) -> list[Ack]:
        """Removes and returns the answers that the voter `by` is to pass on."""
        return self.acks.pop(by, [])

    def detect_stall(self, now_us: int) -> None:
        """Restarts all timeouts if this process has not run for more than two heartbeat intervals. Requests
        that arrived meanwhile are still unread, and without this all members would be considered lost."""
        if self.checked_us and now_us > self.checked_us + 2 * self.times.heartbeat_us:
            self.began_us = max(self.began_us, now_us)
        self.checked_us = now_us

    def has_expired(self, member: str, now_us: int) -> bool:
        """Whether the member's session has certainly expired. Members that have just become alive, and all
        members after a change of leader, first get time to send a request: after an election three ping
        intervals, since `expedite` spreads the first requests over up to two."""
        unheard = member != self.previous_leader and member not in self.heard_us
        if unheard and now_us < self.elected_us + 3 * self.times.ping_us:
            return False
        last = max(self.began_us, self.granted_us.get(member, 0), self.alive_since_us.get(member, 0))
        if member not in self.closing:  # even requests without an answer show that the member is alive
            last = max(last, self.heard_us.get(member, 0))
        return now_us >= last + self.times.loss_timeout_us

    def is_suspected(self, member: str, now_us: int) -> bool:
        """Whether the member has not been heard for two ping intervals."""
        return now_us >= max(self.began_us, self.heard_us.get(member, 0)) + 2 * self.times.ping_us

    def may_return(self, member: str, losses: int, now_us: int) -> bool:
        """Whether a lost member has been heard for long enough to be marked as alive again. The required time
        doubles with each loss soon after the previous return; after a planned shutdown it is zero."""
        # At most 16 doublings, to bound the shift; `most_hold_us` bounds the time.
        hold = min(self.times.most_hold_us, self.times.hold_us << min(max(0, losses - 1), 16))
        if not losses:  # a planned shutdown
            hold = 0
        heard = self.heard_us.get(member)
        recent = heard is not None and now_us < heard + 2 * self.times.ping_us + self.times.heartbeat_us
        return recent and now_us >= self.heard_since_us.get(member, now_us) + hold

    def was_alive_briefly(self, member: str, now_us: int) -> bool:
        """Whether a member that is now lost was alive only for a short time (less than ten times `hold_us`),
        as far as this leader has seen."""
        return now_us < self.alive_since_us.get(member, self.began_us) + 10 * self.times.hold_us
