"""Common types of the simulations: the violation of a rule, a fault, and plans that are printed as one line
of JSON."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Self

import msgspec


class RuleViolation(AssertionError):
    """A rule does not hold; the message says which."""


@dataclass(frozen=True)
class Fault:
    """A fault of one process. Times are microseconds of simulated time."""

    at_us: int
    kind: str
    who: int  # number of the process; for some kinds, it selects a node, a machine or a load instead
    lasts_us: int


class ReplayablePlan:
    """Base class of frozen dataclasses of plain values, which are printed with a failure and parsed to replay
    it."""

    def text(self) -> str:
        """Returns the plan as one line of JSON."""
        return msgspec.json.encode(self).decode()

    @classmethod
    def read(cls, text: str) -> Self:
        """Parses a plan that `text` returned. Raises msgspec.MsgspecError if it is malformed."""
        return msgspec.json.decode(text, type=cls)
