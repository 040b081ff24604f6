"""The attempts of one request to another site, and the step after a failed attempt. No I/O, no clock.

A failed attempt "never ran" only if that is certain: its last byte was not written, or the peer reported it
(RFC 9113, 6.8 and 8.7). Every other failed attempt may have run. An attempt that is still in progress at the
deadline counts as one that may run, however little of it was written (`timed_out`). Times are in
microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from magpiefront.interface import Repeat


class NextStep(Enum):
    """What to do with a request after a failed attempt."""

    RETRY = "again"  # send it over the link, at once
    WAIT = "wait"  # wait for the link: the peer may hold the answer
    SERVE_HERE = "home"  # submit it to the Router of this site
    REFUSE = "refuse"  # final: the client may safely send it again
    FAIL = "fail"  # final: the request may have run, and must not be sent again


@dataclass(slots=True, frozen=True)
class RetryOptions:
    """What is available after a failed attempt. `epoch` and `store` describe the peer that the next attempt
    would use: its epoch, None if no peer is up, and the name of its store of record."""

    epoch: str | None
    has_budget: bool
    can_serve_here: bool
    min_time_left_us: int = 0
    store: str = ""


@dataclass(slots=True)
class RetryState:
    """The attempts of a request to another site. `epoch` and `store` are those of the peer at which the
    request may have run. `epoch` is empty if another process sent that attempt."""

    repeat: Repeat
    deadline_us: int
    window_us: int
    max_attempts: int = 3
    attempts: int = 0
    epoch: str = ""
    store: str = ""
    sent_at_us: int = 0  # when the first attempt that may have run was sent
    may_have_run: bool = False
    is_finished: bool = False

    def resume(self, first_us: int) -> None:
        """Continues a request that another process may already have sent to an unknown peer, first at
        `first_us`."""
        self.may_have_run, self.sent_at_us = True, first_us

    def record_sent(self, now_us: int, epoch: str, store: str = "") -> None:
        """Records an attempt sent to the peer with this epoch and store."""
        self.attempts += 1
        if not self.may_have_run:
            self.sent_at_us = now_us
        if not self.may_have_run or not self.epoch:
            self.epoch, self.store = epoch, store

    def age_us(self, now_us: int) -> int:
        """Time since the first attempt that may have run; 0 if there is none."""
        return now_us - self.sent_at_us if self.may_have_run else 0

    def attempt_failed(self, now_us: int, never_ran: bool, options: RetryOptions) -> NextStep:
        """Records that the attempt in progress failed, and returns the next step."""
        self.may_have_run = self.may_have_run or not never_ran
        return self.next_step(now_us, options)

    def next_step(self, now_us: int, options: RetryOptions) -> NextStep:
        """Returns the step that follows; changes nothing."""
        left_us = self.deadline_us - now_us
        may_retry = self.attempts < self.max_attempts and left_us > options.min_time_left_us
        if self.repeat is Repeat.SAFE:
            if may_retry and options.epoch is not None and options.has_budget:
                return NextStep.RETRY
            return NextStep.SERVE_HERE if options.can_serve_here and left_us > 0 else NextStep.REFUSE
        if not self.may_have_run:
            return (
                NextStep.RETRY
                if may_retry and options.epoch is not None and options.has_budget
                else NextStep.REFUSE
            )
        if self.repeat is not Repeat.KEYED or not may_retry or self.age_us(now_us) >= self.window_us:
            return NextStep.FAIL
        if options.epoch is None:
            return NextStep.WAIT
        if options.epoch != self.epoch:
            # A peer with another epoch does not know whether the request ran, unless it reads the same store.
            # Such an attempt takes no token of the retry budget: it only looks up the outcome and sends
            # nothing to the nodes again.
            return NextStep.RETRY if self.store and options.store == self.store else NextStep.FAIL
        return NextStep.RETRY if options.has_budget else NextStep.WAIT

    def timed_out(self) -> NextStep:
        """Returns the step after the deadline. An attempt in progress counts as one that may run, however
        little of it was written."""
        is_retry_safe = self.repeat is Repeat.SAFE or (self.attempts == 0 and not self.may_have_run)
        return NextStep.REFUSE if is_retry_safe else NextStep.FAIL
