"""What this member asked for and has not heard of: each ends exactly once, and never later than its time.

Committed is told with its outcome; refused means certainly not, now or later; all else is unknown. Nothing is
asked twice: whoever asks knows whether that would be harmless. No I/O and no clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum


class Fate(Enum):
    COMMITTED = "committed"
    REFUSED = "refused"  # certainly not, now or later
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Outcome:
    fate: Fate
    value: bytes = b""
    cause: str = ""


Then = Callable[[Outcome], None]


@dataclass(slots=True)
class Ask:
    seq: int
    data: bytes
    deadline_us: int
    then: Then
    sent: bool = False
    to_term: int = 0  # of the leader that it was sent to
    at: tuple[int, int] | None = None  # index and term, where this member leads
    read: bool = False
    index: int = -1  # a read: what has to be applied first


class Asks:
    def __init__(self, base: int, most: int) -> None:
        """Numbers follow `base`, which no process of this member has used."""
        self.seq, self.most = base, most
        self.open: dict[int, Ask] = {}
        self.placed: dict[int, list[Ask]] = {}  # by index, those that this leader put into its log
        self.unsent: deque[Ask] = deque()  # no leader is known

    def add(self, data: bytes, deadline_us: int, then: Then, read: bool = False) -> Ask | None:
        if len(self.open) >= self.most:
            then(Outcome(Fate.REFUSED, cause="too many wait"))
            return None
        self.seq += 1
        ask = Ask(self.seq, data, deadline_us, then, read=read)
        self.open[ask.seq] = ask
        return ask

    def end(self, seq: int, outcome: Outcome) -> None:
        ask = self.open.pop(seq, None)
        if ask is not None:
            ask.then(outcome)

    def place(self, ask: Ask, index: int, term: int) -> None:
        ask.at = index, term
        self.placed.setdefault(index, []).append(ask)

    def overtaken(self, index: int, term: int) -> None:
        """Another entry is committed where this leader had put one: that one never will be."""
        for ask in self.placed.pop(index, ()):
            if ask.at != (index, term):
                self.end(ask.seq, Outcome(Fate.REFUSED, cause="another leader's entry stands there"))

    def led_anew(self, term: int) -> None:
        """The first entry of another leader's term is applied: a command that came to one before it stands
        before that entry, or never came to be committed by it. Whether it still will, nobody knows."""
        for ask in [a for a in self.open.values() if a.sent and not a.read and a.to_term < term]:
            self.end(ask.seq, Outcome(Fate.UNKNOWN, cause="its leader is gone"))

    def read_again(self, term: int) -> None:
        """Another one leads: reads do no harm twice."""
        for ask in [a for a in self.open.values() if a.sent and a.read and a.index < 0 and a.to_term < term]:
            ask.sent = False
            self.unsent.append(ask)

    def applied(self, index: int) -> None:
        for ask in [a for a in self.open.values() if a.read and 0 <= a.index <= index]:
            self.end(ask.seq, Outcome(Fate.COMMITTED))

    def expire(self, now_us: int) -> None:
        for ask in [a for a in self.open.values() if a.deadline_us <= now_us]:
            fate = Fate.UNKNOWN if ask.sent and not ask.read else Fate.REFUSED
            self.end(ask.seq, Outcome(fate, cause="its time is up"))

    def next_us(self) -> int:
        return min((a.deadline_us for a in self.open.values()), default=1 << 62)
