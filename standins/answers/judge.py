"""Compares the clients' requests with the attempts at the nodes. Each violation is a line of text."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from standins.answers.clients import ANSWER_GRACE_S, INCOMPLETE_TIMEOUT_S, Request
from standins.answers.nodes import Attempt, zone_of
from standins.answers.plan import Plan

TIMER_SLACK_S = 0.05  # tolerance that the protocol allows for each time limit on sockets
MAX_STALL_S = 0.15  # a proxy may be stopped for this long between reading its clock and writing
CLOSE_GRACE_S = 0.1  # an attempt that begins later than this after its client closed is a violation
REFUSAL_STATUSES = (429, 503)


@dataclass(slots=True)
class Verdict:
    """The result of a round. Each line of the lists is a violation."""

    asked: int = 0  # requests that were written completely
    statuses: Counter[int] = field(default_factory=Counter)  # of the answers
    wrong: list[str] = field(default_factory=list)  # answered with a body that no node made for the request
    twice: list[str] = field(default_factory=list)  # an attempt that the rule of the class forbids
    refused: list[str] = field(default_factory=list)  # refused although an attempt had run
    lost: list[str] = field(default_factory=list)  # no final answer in time
    late: list[str] = field(default_factory=list)  # an attempt that began after its client had closed
    told: list[str] = field(default_factory=list)  # a Req-Deadline that gives a node more time than was left
    connections: int = 0  # accepted by the nodes
    extra: int = 0  # writes of nodes that belong to no answer

    @property
    def violations(self) -> list[str]:
        return [*self.wrong, *self.twice, *self.refused, *self.lost, *self.late, *self.told]

    @property
    def served(self) -> float:
        return self.statuses[200] / max(1, self.asked)

    def summary(self) -> dict[str, object]:
        counts = {n: len(getattr(self, n)) for n in ("wrong", "twice", "refused", "lost", "late", "told")}
        return {
            "asked": self.asked, "served": round(self.served, 3), "statuses": dict(self.statuses), **counts,
            "connections": self.connections, "extra": self.extra,
        }  # fmt: skip


def judge(plan: Plan, requests: Sequence[Request], attempts: Sequence[Attempt], ended_at: float) -> Verdict:
    """Checks all requests of a round. A request that was sent after `ended_at`, when the proxies had ended,
    and that reached no node need not be answered."""
    verdict = Verdict()
    by_request: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in attempts:
        by_request[attempt.request].append(attempt)
    for request in requests:
        if request.ended.startswith("no connection"):
            continue
        _judge_request(
            plan, request, sorted(by_request[request.name], key=lambda a: a.last_byte), ended_at, verdict
        )
    return verdict


def _judge_request(
    plan: Plan, request: Request, attempts: list[Attempt], ended_at: float, verdict: Verdict
) -> None:
    if request.incomplete:
        if (
            request.ended == "silence"
            or request.closed_at - request.sent > INCOMPLETE_TIMEOUT_S + ANSWER_GRACE_S
        ):
            verdict.lost.append(
                f"lost: {request.name} was sent in part, no error or close within {INCOMPLETE_TIMEOUT_S} s"
            )
        return
    verdict.asked += 1
    if request.answers:
        verdict.statuses[request.status] += 1
    _judge_answer(request, attempts, ended_at, verdict)
    ran = [attempt for attempt in attempts if attempt.ran]
    if _ran_twice(plan, attempts, ran):
        verdict.twice.append(f"twice: {request.name} was sent again: {_describe(request, attempts)}")
    may_repeat = plan.repeat == "read_like" or (plan.repeat == "idempotency_key" and plan.group == "all")
    if request.status in REFUSAL_STATUSES and ran and not may_repeat:
        verdict.refused.append(f"refused: {request.name} had already run: {_describe(request, attempts)}")
    sent = request.resent or request.sent
    for attempt in attempts:
        if request.closed_at and attempt.first_byte > request.closed_at + CLOSE_GRACE_S:
            verdict.late.append(
                f"late: {request.name} began {attempt.first_byte - request.closed_at:.3f} s "
                "after its client closed"
            )
        if attempt.req_deadline_s > sent + request.deadline_s - attempt.first_byte + MAX_STALL_S:
            verdict.told.append(
                f"told: {request.name} has a Req-Deadline of {attempt.req_deadline_s:.3f} s at a node: "
                f"{_describe(request, attempts)}"
            )


def _judge_answer(request: Request, attempts: list[Attempt], ended_at: float, verdict: Verdict) -> None:
    if request.status == 200 and request.answers[0][2] not in {a.body for a in attempts if a.body}:
        verdict.wrong.append(
            f"wrong: {request.name} was answered {request.answers[0][2][:60]!r}: "
            f"{_describe(request, attempts)}"
        )
    sent = request.resent or request.sent
    latest = sent + request.deadline_s + ANSWER_GRACE_S + TIMER_SLACK_S
    if request.closed_at and request.closed_at < latest:
        return
    if not request.answers and (sent < ended_at or attempts):
        verdict.lost.append(
            f"lost: {request.name} has no answer, {request.ended}: {_describe(request, attempts)}"
        )
    elif request.answers and request.answers[0][1] > latest:
        verdict.lost.append(f"lost: {request.name} was answered late: {_describe(request, attempts)}")


def _ran_twice(plan: Plan, attempts: list[Attempt], ran: list[Attempt]) -> bool:
    """Returns whether the rule of the class forbids any of the attempts, of which those in `ran` have run."""
    if plan.repeat == "read_like" or not ran:
        return False
    first = ran[0]
    others = [a for a in attempts if a is not first and a.first_byte > first.last_byte]
    if plan.repeat == "non_idempotent":
        return bool(others) or len(ran) > 1
    same_group = _same_group(plan)
    return any(
        not same_group(first, a) or a.first_byte > first.last_byte + plan.window_s + TIMER_SLACK_S
        for a in ran[1:]
    )


def _same_group(plan: Plan) -> Callable[[Attempt, Attempt], bool]:
    if plan.group == "all":
        return lambda first, other: True
    if plan.group == "zone":
        return lambda first, other: zone_of(first.node) == zone_of(other.node)
    return lambda first, other: cell_of(first.node) == cell_of(other.node)


def cell_of(node: int) -> int:
    return node % 4


def _describe(request: Request, attempts: list[Attempt]) -> str:
    """Describes the attempts and the answer, with times from when the request was sent (s)."""
    sent = request.resent or request.sent
    parts = [
        f"node {a.node} connection {a.connection} bytes {a.first_byte - sent:.3f} "
        f"begun {a.taken - sent if a.ran else -1:.3f} "
        f"ended {a.ended_at - sent if a.ended else -1:.3f} {a.ended}"
        for a in attempts
    ]
    answer = f"{request.status} at {request.answers[0][1] - sent:.3f}" if request.answers else "no answer"
    return f"{answer}; {'; '.join(parts) or 'never forwarded'}"
