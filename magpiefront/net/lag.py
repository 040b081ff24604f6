"""Load shedding by event loop lag: measures the lag and decides which requests to refuse for it."""

from __future__ import annotations

from random import Random

# The interval of lag measurements in seconds, and the lag above which requests are shed, as a fraction of the
# shortest latency objective of a request class.
TICK_S, LAG_LIMIT_FRACTION = 0.01, 0.2
BEHIND_THRESHOLD_S = 0.02  # lag above which timers may be overdue and received data unread
# Changes of the shed fraction with each measurement, and its maximum.
SHED_INCREASE, SHED_DECREASE, MAX_SHED = 0.04, 0.01, 0.9


class LoopLag:
    """Measures the lag of the event loop, and decides which requests to shed.

    If the proxy had too little CPU time, all answers would be late. While the event loop lags by more than
    `limit_s`, a growing fraction of the requests is therefore refused as soon as they are read, which
    costs a fraction of serving them. The fraction grows in small steps, so that a single pause of the
    process refuses hardly any request.
    """

    def __init__(self, seed: int, limit_s: float) -> None:
        self.limit_s = limit_s
        self.shed_fraction = 0.0
        self.catching_up = False  # the loop ran late, and has not yet read all that had arrived by then
        self.max_lag_s = 0.0  # the longest lag since the start
        self.random = Random(seed)
        self.next_tick_at = 0.0

    def measure(self, now: float) -> float:
        """Measures the lag and adapts the shed fraction; to be called every TICK_S seconds. `now` (seconds)
        must not be the event loop's time, which stands still while callbacks run. Returns by how many seconds
        this call is late."""
        late_s = now - self.next_tick_at if self.next_tick_at else 0.0
        self.max_lag_s = max(self.max_lag_s, late_s)
        if self.next_tick_at and now - self.next_tick_at > self.limit_s:
            self.shed_fraction = min(MAX_SHED, self.shed_fraction + SHED_INCREASE)
        else:
            self.shed_fraction = max(0.0, self.shed_fraction - SHED_DECREASE)
        self.next_tick_at = now + TICK_S
        return late_s

    def caught_up(self) -> None:
        """Called when all that had arrived by the time the loop ran late has been read."""
        self.catching_up = False

    def is_behind(self, now: float) -> bool:
        """Whether this turn of the event loop has run, or the process has been stalled, for more than
        BEHIND_THRESHOLD_S, or the loop is still catching up. Then timers may be overdue and received data
        unread. `now` is as in `measure`."""
        return self.catching_up or (self.next_tick_at > 0 and now - self.next_tick_at > BEHIND_THRESHOLD_S)

    def should_shed(self) -> bool:
        """Whether to refuse the current request: true at random for the shed fraction of requests."""
        return self.shed_fraction > 0 and self.random.random() < self.shed_fraction
