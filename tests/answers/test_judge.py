"""Tests which violations the judge of the soak test reports for given requests and attempts."""

from __future__ import annotations

from dataclasses import replace

import pytest

from standins.answers.clients import Request
from standins.answers.judge import judge
from standins.answers.nodes import Attempt
from standins.answers.plan import Plan

OWN = "q1 by 3 as aa"  # the body that a node made for request q1


def request(status: int = 200, at: float = 10.1, body: str = OWN) -> Request:
    return Request("q1", 0, 1.0, sent=10.0, answers=[(status, at, body)] if status else [])


def attempt(first: float = 10.01, ran: bool = True, node: int = 3, deadline_s: float = 0.9) -> Attempt:
    body = OWN if ran else ""
    return Attempt("q1", node, 1, first, first, deadline_s, body, first + 0.01, first + 0.05, ran, "ok")


UNSAFE = Plan(repeat="non_idempotent")
KEYED = Plan(repeat="idempotency_key", group="zone", window_s=0.4)
SAFE = Plan(repeat="read_like")


@pytest.mark.parametrize(
    ("plan", "answer", "attempts", "broken"),
    [
        (UNSAFE, request(), [attempt()], []),
        (UNSAFE, request(body="q0 by 1 as bb"), [attempt()], ["wrong"]),
        (UNSAFE, request(), [attempt(ran=False)], ["wrong"]),
        (UNSAFE, request(), [attempt(), attempt(10.02)], ["twice"]),
        (UNSAFE, request(), [attempt(), attempt(10.02, ran=False)], ["twice"]),
        (UNSAFE, request(), [attempt(ran=False), attempt(10.02)], []),
        (SAFE, request(), [attempt(), attempt(10.02)], []),
        (KEYED, request(), [attempt(), attempt(10.3, node=8, deadline_s=0.6)], []),
        (KEYED, request(), [attempt(), attempt(10.3, node=4, deadline_s=0.6)], ["twice"]),
        (KEYED, request(), [attempt(), attempt(10.6, node=8, deadline_s=0.4)], ["twice"]),
        (UNSAFE, request(503), [attempt()], ["refused"]),
        (UNSAFE, request(503), [attempt(ran=False)], []),
        (UNSAFE, request(502), [attempt()], []),
        (SAFE, request(503), [attempt()], []),
        (UNSAFE, request(0), [attempt()], ["lost"]),
        (UNSAFE, request(504, 11.7), [attempt()], ["lost"]),
        (UNSAFE, request(504, 11.5), [attempt()], []),
        (UNSAFE, request(), [attempt(deadline_s=1.2)], ["told"]),
        (UNSAFE, replace(request(0), closed_at=10.05), [attempt(10.2, deadline_s=0.7)], ["late"]),
        (UNSAFE, replace(request(0), closed_at=10.05), [attempt(10.1)], []),
        (UNSAFE, replace(request(0), ended="no connection: refused"), [], []),
        (UNSAFE, replace(request(0), incomplete=True, ended="silence"), [], ["lost"]),
        (UNSAFE, replace(request(0), incomplete=True, ended="closed", closed_at=12.5), [], []),
    ],
)
def test_the_judge_finds_what_breaks_a_rule_and_nothing_else(
    plan: Plan, answer: Request, attempts: list[Attempt], broken: list[str]
) -> None:
    verdict = judge(plan, [answer], attempts, float("inf"))
    assert [line.partition(":")[0] for line in verdict.violations] == broken
