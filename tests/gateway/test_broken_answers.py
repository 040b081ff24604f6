"""Answers of the other site's nodes that end early: the client sees that, and a repeat runs."""

from __future__ import annotations

import asyncio

import pytest

from magpiefront.interface import Outcome
from magpiefront.net.request import Request
from tests.gateway.sites import run, sites, until
from tests.record.sockets import FakeAttempt

KEPT_SIZE, STREAMED_SIZE = 100_000, 300_000  # on either side of `MAX_KEPT_ANSWER_BYTES`


class BreakingSite:
    """A stub for the host of the other site. Its first answer begins and then breaks off or stands still;
    each later one is whole."""

    def __init__(self, size: int, breaks_off: bool) -> None:
        self.size, self.breaks_off = size, breaks_off
        self.requests, self.left = list[Request](), list[Request]()

    def submit(self, r: Request) -> None:
        self.requests.append(r)
        r.execution.attempts.append(FakeAttempt(Outcome.RESET))
        if len(self.requests) > 1:
            r.responder.answer(r, 200, [b"whole"])
            return
        r.responder.begin(r, None, b"")
        for _ in range(self.size // 1_000):
            r.responder.write_body(r, bytes(1_000))
        if self.breaks_off:
            r.responder.abort(r)

    def submit_from_site(self, r: Request) -> None:
        self.submit(r)

    def can_tell_if_run(self, r: Request) -> bool:
        return True

    def may_accept(self, r: Request) -> bool:
        return True

    def client_left(self, r: Request) -> None:
        self.left.append(r)

    def pause_response(self, r: Request) -> None: ...
    def resume_response(self, r: Request) -> None: ...


@pytest.mark.parametrize("breaks_off", [True, False])
def test_a_long_keyed_answer_that_ends_early_is_an_error_and_the_repeat_runs(breaks_off: bool) -> None:
    async def main() -> None:
        async with sites() as s:
            stub = s.east.gateway.keyed.following = BreakingSite(KEPT_SIZE, breaks_off)
            first = await s.get("west", "field-report", "e-1", idempotency_key="k", deadline_s=0.8)
            assert first.status in (502, 504)
            await until(lambda: not s.east.gateway.keyed.executions, "the end of the execution")
            assert stub.left == ([] if breaks_off else stub.requests)
            repeat = await s.get("west", "field-report", "e-1", idempotency_key="k", deadline_s=0.8)
            assert (repeat.status, repeat.answers[0][2]) == (200, b"whole") and len(stub.requests) == 2

    run(main())


def test_an_answer_that_is_cut_while_it_is_streamed_over_a_link_is_cut_for_the_client() -> None:
    async def main() -> None:
        async with sites() as s:
            stub = s.east.gateway.keyed.following = BreakingSite(STREAMED_SIZE, True)
            answer = await asyncio.wait_for(
                s.get("west", "field-report", "e-1", idempotency_key="k", deadline_s=0.8), 5
            )
            assert answer.status != 200 and len(stub.requests) == 1

    run(main())
