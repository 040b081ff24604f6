"""Attempts that are recorded in their request's `ExecutionTracker` and ask its guard before they are sent."""

from __future__ import annotations

import asyncio

from magpiefront.interface import Outcome
from magpiefront.net.answer import Answer
from magpiefront.net.execution import execution_of, mark_answer_lost
from magpiefront.net.exchange import Attempt, ExchangeHost
from magpiefront.net.pool import Node
from magpiefront.net.request import Request


class GuardedAttempt(Attempt):
    """An attempt of a request whose effects are tracked. `outcome` is None while it is in flight."""

    __slots__ = ("outcome",)

    def __init__(
        self, host: ExchangeHost, request: Request, number: int, node: Node, now: int, expire_at: int
    ) -> None:  # fmt: skip
        super().__init__(host, request, number, node, now, expire_at)
        self.outcome: Outcome | None = None
        execution = execution_of(request)
        if execution is not None:
            execution.attempts.append(self)

    @property
    def place(self) -> str:
        """The name of the node that the attempt is sent to."""
        return self.node.name

    def message(self) -> list[bytes]:
        """Returns no bytes, and ends the attempt as MOOT, if the guard no longer allows it. The guard is
        called here, right before the message is written, since connecting may have taken long and the
        process may have been suspended meanwhile."""
        execution = execution_of(self.request)
        if execution is not None and execution.guard is not None and not execution.guard():
            asyncio.get_running_loop().call_soon(self.end, Outcome.MOOT)
            return []
        return super().message()

    def answer_lost(self, status: int) -> None:
        mark_answer_lost(self.request, status)

    def report(self, outcome: Outcome, answer: Answer | None) -> None:
        self.outcome = outcome
        super().report(outcome, answer)
