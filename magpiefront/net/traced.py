"""Attempts that note themselves in their request's `Effect`, and ask it before they go."""

from __future__ import annotations

import asyncio

from magpiefront.interface import Outcome
from magpiefront.net.answer import Answer
from magpiefront.net.effects import effect_of
from magpiefront.net.exchange import Attempt, Host
from magpiefront.net.pool import Node
from magpiefront.net.request import Request


class TracedAttempt(Attempt):
    __slots__ = ("outcome",)

    def __init__(
        self, host: Host, request: Request, number: int, node: Node, now: int, until: int
    ) -> None:  # fmt: skip
        super().__init__(host, request, number, node, now, until)
        self.outcome: Outcome | None = None
        effect = effect_of(request)
        if effect is not None:
            effect.attempts.append(self)

    @property
    def place(self) -> str:
        return self.node.name

    def message(self) -> list[bytes]:
        """Nothing, where it may not go any more: asked at this moment, for its connection may have taken
        long, and the process may have been stopped meanwhile."""
        effect = effect_of(self.request)
        if effect is not None and effect.guard is not None and not effect.guard():
            asyncio.get_running_loop().call_soon(self.end, Outcome.MOOT)
            return []
        return super().message()

    def report(self, outcome: Outcome, answer: Answer | None) -> None:
        self.outcome = outcome
        super().report(outcome, answer)
