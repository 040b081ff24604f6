"""One request's way over the link: what is known of it, and what follows from each break. No I/O, no clock.

"Never ran" is said only of what certainly did not: its last byte was not written, or the peer said so
(RFC 9113, 6.8 and 8.7). All else that breaks may have run. Times are microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from magpiefront.interface import Repeat


class Next(Enum):
    """What becomes of a request whose try broke."""

    AGAIN = "again"  # over the link, at once
    WAIT = "wait"  # until the link is back: the peer may hold its answer
    HOME = "home"  # through this site's Router
    REFUSE = "refuse"  # final: trying again is harmless
    FAIL = "fail"  # final: nothing is promised


@dataclass(slots=True, frozen=True)
class Way:
    """What is there for another try. `epoch` is that of the peer that it would go to, if one is up, and
    `store` the name of the store of record in which that one holds what crosses."""

    epoch: str | None
    budget: bool
    home: bool
    least_left_us: int = 0
    store: str = ""


@dataclass(slots=True)
class Crossing:
    """What is known of a request that crosses. `age_us` counts from its first send that may have run."""

    repeat: Repeat
    deadline_us: int
    window_us: int
    most_tries: int = 3
    tries: int = 0
    epoch: str = ""  # of the peer where it may have run; none: of one that another process sent it to
    store: str = ""  # ... and of its store
    sent_at_us: int = 0
    may_have_run: bool = False
    over: bool = False

    def resumed(self, first_us: int) -> None:
        """Another process may have sent it since then, to a peer that is not known here."""
        self.may_have_run, self.sent_at_us = True, first_us

    def sent(self, now_us: int, epoch: str, store: str = "") -> None:
        """Another try goes out, to the peer with that epoch."""
        self.tries += 1
        if not self.may_have_run:
            self.sent_at_us = now_us
        if not self.may_have_run or not self.epoch:
            self.epoch, self.store = epoch, store

    def age_us(self, now_us: int) -> int:
        return now_us - self.sent_at_us if self.may_have_run else 0

    def broken(self, now_us: int, never_ran: bool, way: Way) -> Next:
        """The try that is out has broken."""
        self.may_have_run = self.may_have_run or not never_ran
        return self.next(now_us, way)

    def next(self, now_us: int, way: Way) -> Next:
        left = self.deadline_us - now_us
        more = self.tries < self.most_tries and left > way.least_left_us
        if self.repeat is Repeat.SAFE:
            if more and way.epoch is not None and way.budget:
                return Next.AGAIN
            return Next.HOME if way.home and left > 0 else Next.REFUSE
        if not self.may_have_run:
            return Next.AGAIN if more and way.epoch is not None and way.budget else Next.REFUSE
        if self.repeat is not Repeat.KEYED or not more or self.age_us(now_us) >= self.window_us:
            return Next.FAIL
        if way.epoch is None:
            return Next.WAIT
        if way.epoch != self.epoch:
            # That peer has forgotten, or never knew, whether it ran: but for one that looks into the same
            # store. Its look costs no token: it is no second try at the nodes.
            return Next.AGAIN if self.store and way.store == self.store else Next.FAIL
        return Next.AGAIN if way.budget else Next.WAIT

    def timed_out(self) -> Next:
        """Its time is up with no answer. A try that is out may run, whatever was written of it."""
        free = self.repeat is Repeat.SAFE or (self.tries == 0 and not self.may_have_run)
        return Next.REFUSE if free else Next.FAIL
