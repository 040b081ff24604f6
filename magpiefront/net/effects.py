"""Whether a request may have had its effect: what those who send it know, for those who must tell.

An `Effect` goes along with a request through all stages, and with every twin that a stage makes of it: its
attempts note themselves in it, and a stage that sends it elsewhere says there what it knows. Requests carry
one only where a stage asks for it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from magpiefront.interface import Outcome

NEVER_RAN = frozenset({Outcome.CONNECT_FAILED, Outcome.FULL, Outcome.MOOT})


class Traced(Protocol):
    outcome: Outcome | None  # None: it is still out
    sent_at: int

    @property
    def place(self) -> str: ...


class Effect:
    __slots__ = ("attempts", "elsewhere", "first_us", "guard", "undecided")

    def __init__(self) -> None:
        self.attempts: list[Traced] = []
        self.guard: Callable[[], bool] | None = None  # asked in front of each first byte: may it go now?
        self.elsewhere = False  # may it have run where this process can't see it?
        self.first_us = 0  # when it may have gone first, by the host's clock, where it was another's before
        self.undecided = False  # its answer says that another is at work on it: it is to be asked again

    @property
    def may_have_run(self) -> bool:
        """Also by an attempt that is still out."""
        return self.elsewhere or any(a.outcome not in NEVER_RAN for a in self.attempts)


def effect_of(request: object) -> Effect | None:
    return getattr(request, "effect", None)


def ran_elsewhere(request: object) -> None:
    """What sent it on can't say that it did not run."""
    effect = effect_of(request)
    if effect is not None:
        effect.elsewhere = True
