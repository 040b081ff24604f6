"""What is known of one connection between gateways from its PINGs, and when to try again. No I/O, no clock.

Both ends send PINGs (RFC 9113, 6.7). The limits bound more than reaction: what a stalled path delivers long
after it was sent must not run (its sender has given it up, and may have sent it again), so an end that has
not had an answer within the time-out takes nothing more from that connection. Times are microseconds.
"""

from __future__ import annotations

from random import Random

from magpiefront.gateway.routes import LinkState
from magpiefront.gateway.settings import LinkSettings

SMOOTH = 0.125  # RFC 6298, 2: the smoothing of round trips
JITTER = 0.25
LATE = 4.0  # mean deviations past the round trip, and a half of the interval, until a PING is late


class Health:
    """One connection. `tick` is due at `due_us`; the caller sends a PING when it returns True."""

    def __init__(self, settings: LinkSettings, now_us: int, random: Random) -> None:
        self.set, self.random = settings, random
        self.state = LinkState.UP
        self.cause = "connected"
        self.round_us, self.deviation_us = 0.0, 0.0
        self.asked_us: int | None = None  # when the PING that is out was sent
        self.due_us = now_us

    @property
    def late_us(self) -> int:
        """How long a PING may take before the connection is suspect."""
        return min(self.set.ping_timeout_us // 2,
                   int(self.round_us + LATE * self.deviation_us + self.set.ping_interval_us / 2))  # fmt: skip

    def _to(self, state: LinkState, cause: str) -> None:
        if self.state is not LinkState.DRAINING or state is LinkState.DOWN:
            self.state, self.cause = state, cause

    def tick(self, now_us: int) -> bool:
        """Returns whether a PING is to be sent now."""
        if self.state is LinkState.DOWN:
            return False
        if self.asked_us is None:
            self.asked_us = now_us
            self.due_us = now_us + self.late_us
            return True
        waited = now_us - self.asked_us
        if waited >= self.set.ping_timeout_us:
            self._to(LinkState.DOWN, f"no answer to a PING for {waited // 1000} ms")
        elif waited >= self.late_us:
            self._to(LinkState.SUSPECT, f"a PING is late: {waited // 1000} ms")
            self.due_us = self.asked_us + self.set.ping_timeout_us
        else:
            self.due_us = self.asked_us + self.late_us
        return False

    def pong(self, now_us: int) -> None:
        if self.asked_us is None:
            return
        took = now_us - self.asked_us
        if self.round_us:
            self.deviation_us += 0.25 * (abs(took - self.round_us) - self.deviation_us)
            self.round_us += SMOOTH * (took - self.round_us)
        else:
            self.round_us, self.deviation_us = float(took), took / 2
        self.asked_us = None
        self._to(LinkState.UP, f"a PING was answered in {took // 1000} ms")
        spread = 1 + JITTER * (2 * self.random.random() - 1)
        self.due_us = now_us + int(self.set.ping_interval_us * spread)

    def stale(self, now_us: int) -> bool:
        """Is what comes now possibly older than the limit? Asked before anything read is used: after a pause
        of the process the bytes are read before the timers run. A PING due but never sent tells as much."""
        if self.asked_us is not None:
            return now_us - self.asked_us >= self.set.ping_timeout_us
        return now_us - self.due_us >= self.set.ping_timeout_us

    def drain(self, cause: str) -> None:
        self._to(LinkState.DRAINING, cause)

    def down(self, cause: str) -> None:
        self._to(LinkState.DOWN, cause)


class Backoff:
    """Pauses between tries to connect: twice as long each time, with full jitter. A connection has to live
    for a while before the next break counts as the first, or a link that flaps is tried without end."""

    def __init__(self, settings: LinkSettings, random: Random) -> None:
        self.set, self.random, self.failed = settings, random, 0

    def lived(self, for_us: int) -> None:
        if for_us >= 4 * self.set.ping_interval_us:
            self.failed = 0

    def pause_us(self) -> int:
        most = min(self.set.most_backoff_us, self.set.backoff_us * 2 ** min(self.failed, 12))
        self.failed += 1
        return int(most * (0.25 + 0.75 * self.random.random()))
