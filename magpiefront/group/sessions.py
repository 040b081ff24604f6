"""Who may act: sessions that only the leader renews, and a member's own clock ends. No I/O and no clock.

A member asks any voters; these tell the leader with their answers to its rounds, and its yes comes back the
same way. So a member that reaches one voter is heard, and it takes silence towards all that the leader hears
before one is taken for lost. Safety rests on something else: a session counts from when its member asked, and
a leader says yes only once a majority has answered a round that began after it heard of the ask. A majority
that answered has heard it for `election` before it elects another one, so what is left of sessions then is
`session - election` at the most: so long a new leader waits (by clocks that differ by `drift` at most), and
one in office the whole `free_us` from the last ask that it granted.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from magpiefront.group.settings import Times

Ack = tuple[str, int, bool, int]  # member, number of its ask, may it act, its epoch
MOST_ASKS = 64


class Session:
    """A member's own side."""

    def __init__(self, times: Times, random: Random) -> None:
        self.times, self.random = times, random
        self.seq = 0
        self.sent: deque[tuple[int, int]] = deque(maxlen=MOST_ASKS)
        self.until_us = 0
        self.epoch = 0  # as last told; 0: never
        self.due_us = 0
        self.asked_at = 0
        self.out = False  # the leader knows it as no member any more
        self.known = False  # ... or as one

    def ask(self, leader: str, voters: Iterable[str], now_us: int) -> tuple[int, list[str]]:
        """The number of the next ask, and whom to ask: the leader and one voter in turn; all, where no yes
        has come for a while."""
        self.seq += 1
        self.sent.append((self.seq, now_us))
        # Spread, so that hundreds whom one event has woken do not go on asking at one moment.
        self.due_us = now_us + int(self.times.ping_us * (0.75 + 0.5 * self.random.random()))
        known = sorted(voters)
        if not known:
            return self.seq, []
        if now_us >= self.until_us - self.times.session_us + 3 * self.times.ping_us:
            return self.seq, known
        self.asked_at += 1
        return self.seq, sorted({leader, known[self.asked_at % len(known)]} & set(known))

    def soon(self, votes: bool, now_us: int) -> None:
        """Another one leads, and has heard nobody yet. Spread, as all asks are; observers, of whom may be
        hundreds, over twice the time, which is less than a new leader's patience (`Grants.silent`)."""
        most_us = self.times.ping_us * (1 if votes else 2)
        self.due_us = min(self.due_us, now_us + int(most_us * self.random.random()))

    def told(self, seq: int, may: bool, epoch: int) -> None:
        if abs(epoch) < self.epoch:
            return
        self.out, self.known = epoch < 0, epoch > 0
        if self.out:
            self.until_us = 0
            return
        if epoch > self.epoch:
            self.epoch, self.until_us = epoch, 0  # what was allowed under the one before is over
        sent = next((at for number, at in self.sent if number == seq), None)
        if may and sent is not None:
            self.until_us = max(self.until_us, sent + self.times.session_us)
        elif not may:
            self.until_us = 0

    def holds(self, now_us: int) -> bool:
        return now_us < self.until_us


class Hearing:
    """A voter's side: asks go to the leader with its answers, and yeses come back."""

    def __init__(self) -> None:
        self.heard: dict[str, tuple[int, int]] = {}

    def asked(self, member: str, seq: int, life: int) -> None:
        before = self.heard.get(member)
        if before is None or before[1] != life or before[0] < seq:
            self.heard[member] = seq, life

    def take(self) -> list[tuple[str, int, int]]:
        heard, self.heard = self.heard, {}
        return [(member, seq, life) for member, (seq, life) in sorted(heard.items())]


class Waiting(NamedTuple):
    """An ask that a round has to confirm."""

    round: int
    by: str  # the voter to which it came
    member: str
    seq: int
    life: int
    heard_us: int


@dataclass
class Grants:
    """The leader's side."""

    times: Times
    began_us: int  # sessions that others granted count as granted then
    elected_us: int = 0
    before: str = ""  # who led before, and was silent for so long that this one was elected
    waiting: list[Waiting] = field(default_factory=list)
    yes_us: dict[str, int] = field(default_factory=dict)
    heard_us: dict[str, int] = field(default_factory=dict)
    since_us: dict[str, int] = field(default_factory=dict)  # since when a lost one is heard without a gap
    well_us: dict[str, int] = field(default_factory=dict)  # since when, as far as this leader knows
    closing: set[str] = field(default_factory=set)  # "lost" is proposed: no yes any more
    acks: dict[str, list[Ack]] = field(default_factory=dict)  # by the voter that passes them on
    looked_us: int = 0
    looked: bool = False  # has it seen who is well?

    def heard(self, ask: Waiting) -> None:
        if ask.heard_us > self.heard_us.get(ask.member, 0) + self.times.session_us:
            self.since_us[ask.member] = ask.heard_us
        self.heard_us[ask.member] = ask.heard_us
        self.waiting.append(ask)

    def due(self, quorum_round: int) -> list[Waiting]:
        """Asks that came before a round which a majority has answered."""
        due = [w for w in self.waiting if w.round <= quorum_round]
        if due:
            self.waiting = [w for w in self.waiting if w.round > quorum_round]
        return due

    def say(self, ask: Waiting, well: bool) -> bool:
        may = well and ask.member not in self.closing
        if may:
            self.yes_us[ask.member] = max(self.yes_us.get(ask.member, 0), ask.heard_us)
        return may

    def take(self, by: str) -> list[Ack]:
        return self.acks.pop(by, [])

    def look(self, now_us: int) -> None:
        """Guards against taking all for lost after a time in which nobody was listened to: asks that came
        meanwhile are still unread."""
        if self.looked_us and now_us > self.looked_us + 2 * self.times.heartbeat_us:
            self.began_us = max(self.began_us, now_us)
        self.looked_us = now_us

    def silent(self, member: str, now_us: int) -> bool:
        """Is its session certainly over? One that has just become well, or another leader, has had no time to
        ask."""
        unheard = member != self.before and member not in self.heard_us
        if unheard and now_us < self.elected_us + 3 * self.times.ping_us:
            return False
        last = max(self.began_us, self.yes_us.get(member, 0), self.well_us.get(member, 0))
        if member not in self.closing:  # one that asks is alive, though nothing could be said to it
            last = max(last, self.heard_us.get(member, 0))
        return now_us >= last + self.times.free_us

    def suspected(self, member: str, now_us: int) -> bool:
        return now_us >= max(self.began_us, self.heard_us.get(member, 0)) + 2 * self.times.ping_us

    def returned(self, member: str, losses: int, now_us: int) -> bool:
        """Has one that was lost been heard long enough? Twice as long each time it was lost soon again; not
        at all where it had ended as planned."""
        hold = min(self.times.most_hold_us, self.times.hold_us << min(max(0, losses - 1), 16))
        if not losses:  # it ended as planned
            hold = 0
        heard = self.heard_us.get(member)
        recent = heard is not None and now_us < heard + 2 * self.times.ping_us + self.times.heartbeat_us
        return recent and now_us >= self.since_us.get(member, now_us) + hold

    def soon(self, member: str, now_us: int) -> bool:
        """Was it well only shortly? This leader's own time counts, where it saw no more."""
        return now_us < self.well_us.get(member, self.began_us) + 10 * self.times.hold_us
