"""Attempts that note themselves in their request's `Effect`, where it carries one."""

from __future__ import annotations

from magpiefront.interface import Outcome
from magpiefront.net import upstream
from magpiefront.net.effects import effect_of
from magpiefront.net.request import Request


class TracedAttempt(upstream.Attempt):
    __slots__ = ("outcome",)

    def __init__(
        self, host: upstream.Host, request: Request, number: int, node: upstream.Node, now: int, until: int
    ) -> None:  # fmt: skip
        super().__init__(host, request, number, node, now, until)
        self.outcome: Outcome | None = None
        effect = effect_of(request)
        if effect is not None:
            effect.attempts.append(self)

    @property
    def place(self) -> str:
        return self.node.name

    def report(self, outcome: Outcome, answer: upstream.Answer | None) -> None:
        self.outcome = outcome
        super().report(outcome, answer)
