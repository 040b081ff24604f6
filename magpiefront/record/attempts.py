"""Attempts that remember what became of them, for the stage that must know whether a report may have run."""

from __future__ import annotations

from collections.abc import Iterable

from magpiefront.interface import Outcome
from magpiefront.net import upstream
from magpiefront.net.request import Sent

NEVER_RAN = frozenset({Outcome.CONNECT_FAILED, Outcome.FULL, Outcome.MOOT})


class RecordedAttempt(upstream.Attempt):
    __slots__ = ("outcome",)
    outcome: Outcome

    def report(self, outcome: Outcome, answer: upstream.Answer | None) -> None:
        self.outcome = outcome
        super().report(outcome, answer)


def may_have_run(attempts: Iterable[Sent]) -> bool:
    """Also of one that is still out."""
    return any(getattr(a, "outcome", None) not in NEVER_RAN for a in attempts)


def nodes_of(attempts: Iterable[Sent]) -> list[tuple[str, int]]:
    """Of each attempt the node and the host's time (microseconds) when it was sent."""
    return [(a.node.name, a.sent_at) for a in attempts if isinstance(a, upstream.Attempt)]
