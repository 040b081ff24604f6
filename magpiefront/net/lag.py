"""Event loop lag: measures it, decides which requests to refuse for it, and defers what must not be decided
before a late loop has read what had arrived."""

from __future__ import annotations

from asyncio import AbstractEventLoop
from collections.abc import Callable
from random import Random
from typing import TypeVarTuple, Unpack

Args = TypeVarTuple("Args")

# The interval of lag measurements in seconds, and the lag above which requests are shed, as a fraction of the
# shortest latency objective of a request class.
TICK_S, LAG_LIMIT_FRACTION = 0.01, 0.2
BEHIND_THRESHOLD_S = 0.02  # lag above which timers may be overdue and received data unread
# Changes of the shed fraction with each measurement, and its maximum.
SHED_INCREASE, SHED_DECREASE, MAX_SHED = 0.04, 0.01, 0.9
PIPELINED_SHED_INCREASE = 0.2  # larger, since each of these clients asks for several answers at once


def after_reading(
    loop: AbstractEventLoop, call: Callable[[Unpack[Args]], object], *args: Unpack[Args]
) -> None:
    """Calls `call` once the event loop has run the overdue callbacks and has read what has arrived: answers,
    lists with draining nodes, disconnects of clients. The loop polls its sockets once between two turns, so
    one poll lies between two nested `call_soon`."""
    loop.call_soon(loop.call_soon, call, *args)


class LoopLag:
    """Measures the lag of the event loop, and decides which requests to shed.

    If the proxy had too little CPU time, all answers would be late. While the event loop lags by more than
    `limit_s`, or answers miss their aim because it has lagged, a growing fraction of the requests is
    therefore refused as soon as they are read, which costs a fraction of serving them. The fraction grows in
    small steps, so that a single pause of the process refuses hardly any request.

    Clients that send many requests at once on a connection have a fraction of their own. While most requests
    come from them, it grows first: otherwise a few of them would have the requests of all others refused.
    """

    def __init__(self, seed: int, limit_s: float) -> None:
        self.limit_s = limit_s
        self.shed_fraction = self.pipelined_shed_fraction = 0.0
        # Requests since the last measurement, and how many of them were pipelined.
        self.requests = self.pipelined_requests = 0
        self.answer_delayed = False  # whether an answer since then missed its aim for the loop's lag
        self.catching_up = False  # the loop ran late, and has not yet read all that had arrived by then
        self.max_lag_s = 0.0  # the longest lag since the start
        self.total_lag_s = 0.0  # of all measurements with a lag of more than BEHIND_THRESHOLD_S
        self.random = Random(seed)
        self.next_tick_at = 0.0

    def measure(self, now: float) -> float:
        """Measures the lag and adapts the shed fraction; to be called every TICK_S seconds. `now` (seconds)
        must not be the event loop's time, which stands still while callbacks run. Returns by how many seconds
        this call is late."""
        late_s = self._current_s(now)
        self.max_lag_s = max(self.max_lag_s, late_s)
        if late_s > BEHIND_THRESHOLD_S:
            self.total_lag_s += late_s
        if late_s > self.limit_s or self.answer_delayed:
            self._shed_more()
        else:
            self.shed_fraction = max(0.0, self.shed_fraction - SHED_DECREASE)
            self.pipelined_shed_fraction = max(0.0, self.pipelined_shed_fraction - SHED_DECREASE)
        self.requests = self.pipelined_requests = 0
        self.answer_delayed = False
        self.next_tick_at = now + TICK_S
        return late_s

    def _current_s(self, now: float) -> float:
        """Returns by how many seconds the next measurement is late; 0 before the first. Negative: it is not
        due yet."""
        return now - self.next_tick_at if self.next_tick_at else 0.0

    def total_s(self, now: float) -> float:
        """Returns for how many seconds the loop has been late since the start, including the current turn.
        `now` is as in `measure`."""
        current_s = self._current_s(now)
        return self.total_lag_s + (current_s if current_s > BEHIND_THRESHOLD_S else 0.0)

    def _shed_more(self) -> None:
        """Raises the fraction of pipelined requests, if most of the latest ones were and it is below its
        maximum; otherwise that of all requests."""
        if self.pipelined_shed_fraction < MAX_SHED and 2 * self.pipelined_requests > self.requests:
            self.pipelined_shed_fraction = min(
                MAX_SHED, self.pipelined_shed_fraction + PIPELINED_SHED_INCREASE
            )
        else:
            self.shed_fraction = min(MAX_SHED, self.shed_fraction + SHED_INCREASE)

    def caught_up(self) -> None:
        """Called when all that had arrived by the time the loop ran late has been read."""
        self.catching_up = False

    def is_behind(self, now: float) -> bool:
        """Whether this turn of the event loop has run, or the process has been stalled, for more than
        BEHIND_THRESHOLD_S, or the loop is still catching up. Then timers may be overdue and received data
        unread. `now` is as in `measure`."""
        return self.catching_up or self._current_s(now) > BEHIND_THRESHOLD_S

    def should_shed(self, pipelined: bool) -> bool:
        """Whether to refuse the current request: true at random for the shed fraction of requests.
        `pipelined`: its client has sent more on its connection before it had an answer."""
        self.requests += 1
        self.pipelined_requests += pipelined
        fraction = max(self.shed_fraction, self.pipelined_shed_fraction) if pipelined else self.shed_fraction
        return fraction > 0 and self.random.random() < fraction
