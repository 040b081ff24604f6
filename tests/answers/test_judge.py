"""What the judge of the soak of answers takes for a broken rule, from books made by hand."""

from __future__ import annotations

from dataclasses import replace

import pytest

from standins.answers.clients import Asked
from standins.answers.judge import judge
from standins.answers.nodes import Attempt
from standins.answers.plan import Plan

OWN = "q1 by 3 as aa"


def asked(status: int = 200, at: float = 10.1, body: str = OWN) -> Asked:
    return Asked("q1", 0, 1.0, sent=10.0, answers=[(status, at, body)] if status else [])


def attempt(first: float = 10.01, ran: bool = True, node: int = 3, told: float = 0.9) -> Attempt:
    body = OWN if ran else ""
    return Attempt("q1", node, 1, first, first, told, body, first + 0.01, first + 0.05, ran, "ok")


UNSAFE = Plan(repeat="non_idempotent")
KEYED = Plan(repeat="idempotency_key", group="zone", window_s=0.4)
SAFE = Plan(repeat="read_like")


@pytest.mark.parametrize(
    ("plan", "answer", "attempts", "broken"),
    [
        (UNSAFE, asked(), [attempt()], []),
        (UNSAFE, asked(body="q0 by 1 as bb"), [attempt()], ["wrong"]),
        (UNSAFE, asked(), [attempt(ran=False)], ["wrong"]),
        (UNSAFE, asked(), [attempt(), attempt(10.02)], ["twice"]),
        (UNSAFE, asked(), [attempt(), attempt(10.02, ran=False)], ["twice"]),
        (UNSAFE, asked(), [attempt(ran=False), attempt(10.02)], []),
        (SAFE, asked(), [attempt(), attempt(10.02)], []),
        (KEYED, asked(), [attempt(), attempt(10.3, node=8, told=0.6)], []),
        (KEYED, asked(), [attempt(), attempt(10.3, node=4, told=0.6)], ["twice"]),
        (KEYED, asked(), [attempt(), attempt(10.6, node=8, told=0.4)], ["twice"]),
        (UNSAFE, asked(503), [attempt()], ["refused"]),
        (UNSAFE, asked(503), [attempt(ran=False)], []),
        (UNSAFE, asked(502), [attempt()], []),
        (SAFE, asked(503), [attempt()], []),
        (UNSAFE, asked(0), [attempt()], ["lost"]),
        (UNSAFE, asked(504, 11.7), [attempt()], ["lost"]),
        (UNSAFE, asked(504, 11.5), [attempt()], []),
        (UNSAFE, asked(), [attempt(told=1.2)], ["told"]),
        (UNSAFE, replace(asked(0), left_at=10.05), [attempt(10.2, told=0.7)], ["late"]),
        (UNSAFE, replace(asked(0), left_at=10.05), [attempt(10.1)], []),
        (UNSAFE, replace(asked(0), ended="no connection: refused"), [], []),
        (UNSAFE, replace(asked(0), stopped=True, ended="silence"), [], ["lost"]),
        (UNSAFE, replace(asked(0), stopped=True, ended="closed", left_at=12.5), [], []),
    ],
)
def test_the_judge_finds_what_breaks_a_rule_and_nothing_else(
    plan: Plan, answer: Asked, attempts: list[Attempt], broken: list[str]
) -> None:
    verdict = judge(plan, [answer], attempts, float("inf"))
    assert [line.partition(":")[0] for line in verdict.broken] == broken
