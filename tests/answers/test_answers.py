"""Three real proxies in front of nodes that send some answers twice.

A second copy must never be taken for the answer to another request (incident 3d07fc).
"""

from __future__ import annotations

import asyncio

import pytest

from standins.answers.plan import Faults, Plan
from standins.answers.round import run_round

COPIES = Faults(copies=0.3, copy_late_s=(0.001, 0.1), refusals=0.25, errors=0.05)


@pytest.mark.parametrize(
    "plan",
    [
        Plan(seed=1, repeat="non_idempotent", rate=400, faults=COPIES),
        Plan(seed=2, repeat="read_like", rate=400, hedging=True, faults=COPIES),
    ],
    ids=["unsafe", "safe with hedging"],
)
def test_no_copy_of_an_answer_is_taken_for_the_answer_to_another_request(plan: Plan) -> None:
    verdict = asyncio.run(run_round(plan))
    assert verdict.extra > 100 and verdict.statuses[200] > 300, verdict.summary()
    assert verdict.violations == []
