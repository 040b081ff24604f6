"""What rigs in simulated time have in common: a rule that breaks, a fault, a plan in one line of text."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Self

import msgspec


class Broken(AssertionError):
    """A rule does not hold; its text says which."""


@dataclass(frozen=True)
class Fault:
    at_us: int
    kind: str
    who: int
    lasts_us: int


class Printed:
    """A frozen dataclass of plain values, printed with a fault and read back to be played again."""

    def text(self) -> str:
        return msgspec.json.encode(self).decode()

    @classmethod
    def read(cls, text: str) -> Self:
        """Raises msgspec.MsgspecError."""
        return msgspec.json.decode(text, type=cls)
