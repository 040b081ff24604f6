"""Whether a request may have run at a server. The code that sends it records this, and stages report it.

An `ExecutionTracker` accompanies a request, and every clone that a stage makes of it, through all stages. The
request's attempts are recorded in it, and a stage that sends the request elsewhere records what it knows.
A request has a tracker only if a stage needs it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from magpiefront.interface import Outcome
from magpiefront.repeat_limits import RepeatLimits, ServerGroup, Unplaced

# Outcomes of an attempt that prove that the request did not run at the server.
NEVER_RAN = frozenset({Outcome.CONNECT_FAILED, Outcome.FULL, Outcome.MOOT})


class TrackedAttempt(Protocol):
    """An attempt as an `ExecutionTracker` records it. `sent_at` is in microseconds of the host's clock."""

    outcome: Outcome | None  # None: it is still in flight
    sent_at: int
    group: ServerGroup  # that of the place

    @property
    def place(self) -> str:
        """The name of the place that it was sent to, such as a node."""


class ExecutionTracker:
    """What this process knows of whether a request has run."""

    __slots__ = ("attempts", "guard", "has_run", "may_have_run_elsewhere", "site", "undecided")

    def __init__(self) -> None:
        self.attempts: list[TrackedAttempt] = []
        # Called before the first byte of each attempt; False: it must not be sent now.
        self.guard: Callable[[], bool] | None = None
        # A server has begun to answer it with success: it has run, whatever became of the answer.
        self.has_run = False
        self.may_have_run_elsewhere = False  # it may have run where this process can't see it
        # The only site that it may be sent to, since it may have run there; empty: any site.
        self.site = ""
        # Its answer is not final, since another process is running it. It is to be sent again for the final
        # answer.
        self.undecided = False

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have run, also by an attempt that is still in flight."""
        return self.may_have_run_elsewhere or any(a.outcome not in NEVER_RAN for a in self.attempts)

    def limits_after(self, before: RepeatLimits, received_us: int, window_us: int) -> RepeatLimits:
        """Returns what binds a repeat of a request that was sent with the limits `before`. `received_us` is
        when this process received it, in microseconds of the host's clock: nothing was sent earlier."""
        for attempt in self.attempts:
            if attempt.outcome not in NEVER_RAN:
                return before.after_attempt(attempt.sent_at, window_us, attempt.group)
        if self.may_have_run_elsewhere:
            return before.after_attempt(received_us, window_us, Unplaced.UNKNOWN)
        return before


def execution_of(request: object) -> ExecutionTracker | None:
    """The request's execution tracker, if it has one."""
    return getattr(request, "execution", None)


def mark_answer_lost(request: object, status: int) -> None:
    """Records that an answer with this status had begun and was lost."""
    execution = execution_of(request)
    if execution is not None and 200 <= status < 300:
        execution.has_run = True


def mark_may_have_run(request: object) -> None:
    """Records that the request may have run at the site or process that it was passed on to."""
    execution = execution_of(request)
    if execution is not None:
        execution.may_have_run_elsewhere = True
