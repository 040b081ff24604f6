"""The state of a connection between gateways, derived from HTTP/2 PINGs, and the pauses between connection
attempts. No I/O, no clock. Times are in microseconds.

Both ends send PINGs (RFC 9113, 6.7). The timeout does more than detect a failure: a request that a stalled
path delivers long after it was sent must not run, because its sender has given it up and may have sent it
again. An end whose PING was not answered within the timeout therefore discards whatever the connection
delivers.
"""

from __future__ import annotations

from random import Random

from magpiefront.gateway.routes import LinkState
from magpiefront.gateway.settings import LinkSettings

ROUND_TRIP_SMOOTHING = 0.125  # weight of a new round-trip time: RFC 6298, 2
PING_JITTER = 0.25  # largest relative deviation of the pause between two PINGs
# A PING is late if it is not answered within the round-trip time plus this many mean deviations plus half of
# the PING interval, or within half of the PING timeout if that is less.
LATE_DEVIATIONS = 4.0


class ConnectionHealth:
    """State of one connection. The caller calls `tick` at `due_us` and sends a PING if it returns True."""

    def __init__(self, settings: LinkSettings, now_us: int, random: Random) -> None:
        self.settings, self.random = settings, random
        self.state = LinkState.UP
        self.cause = "connected"
        self.round_trip_us, self.deviation_us = 0.0, 0.0
        self.ping_sent_at_us: int | None = None  # when the unanswered PING was sent
        self.due_us = now_us

    @property
    def suspect_after_us(self) -> int:
        """Time after which an unanswered PING makes the connection suspect."""
        return min(
            self.settings.ping_timeout_us // 2,
            int(
                self.round_trip_us + LATE_DEVIATIONS * self.deviation_us + self.settings.ping_interval_us / 2
            ),
        )

    def _set_state(self, state: LinkState, cause: str) -> None:
        """Changes the state. A draining connection can only go down."""
        if self.state is not LinkState.DRAINING or state is LinkState.DOWN:
            self.state, self.cause = state, cause

    def tick(self, now_us: int) -> bool:
        """Updates the state and `due_us`. Returns True if a PING must be sent now."""
        if self.state is LinkState.DOWN:
            return False
        if self.ping_sent_at_us is None:
            self.ping_sent_at_us = now_us
            self.due_us = now_us + self.suspect_after_us
            return True
        waited_us = now_us - self.ping_sent_at_us
        if waited_us >= self.settings.ping_timeout_us:
            self._set_state(LinkState.DOWN, f"no answer to a PING for {waited_us // 1000} ms")
        elif waited_us >= self.suspect_after_us:
            self._set_state(LinkState.SUSPECT, f"a PING is late: {waited_us // 1000} ms")
            self.due_us = self.ping_sent_at_us + self.settings.ping_timeout_us
        else:
            self.due_us = self.ping_sent_at_us + self.suspect_after_us
        return False

    def pong_received(self, now_us: int) -> None:
        """Records the answer to a PING: updates the round-trip time and schedules the next PING."""
        if self.ping_sent_at_us is None:
            return
        round_trip_us = now_us - self.ping_sent_at_us
        if self.round_trip_us:
            # 0.25: weight of a new deviation (RFC 6298, 2).
            self.deviation_us += 0.25 * (abs(round_trip_us - self.round_trip_us) - self.deviation_us)
            self.round_trip_us += ROUND_TRIP_SMOOTHING * (round_trip_us - self.round_trip_us)
        else:
            self.round_trip_us, self.deviation_us = float(round_trip_us), round_trip_us / 2
        self.ping_sent_at_us = None
        self._set_state(LinkState.UP, f"a PING was answered in {round_trip_us // 1000} ms")
        jitter = 1 + PING_JITTER * (2 * self.random.random() - 1)
        self.due_us = now_us + int(self.settings.ping_interval_us * jitter)

    def is_stale(self, now_us: int) -> bool:
        """Whether data received now may be older than the PING timeout. Must be checked before received data
        is used: after a pause of the process, sockets are read before timers run. A PING that was due but not
        sent counts like an unanswered one."""
        if self.ping_sent_at_us is not None:
            return now_us - self.ping_sent_at_us >= self.settings.ping_timeout_us
        return now_us - self.due_us >= self.settings.ping_timeout_us

    def start_draining(self, cause: str) -> None:
        self._set_state(LinkState.DRAINING, cause)

    def mark_down(self, cause: str) -> None:
        self._set_state(LinkState.DOWN, cause)


class Backoff:
    """Pauses between connection attempts: exponential, with jitter. Only a connection that lasted for several
    PING intervals resets the pause; otherwise a flapping link would be dialled without pause."""

    def __init__(self, settings: LinkSettings, random: Random) -> None:
        self.settings, self.random, self.failures = settings, random, 0

    def connection_lasted(self, lifetime_us: int) -> None:
        """Records how long a connection lasted before it broke. From 4 PING intervals on, the pause is
        reset."""
        if lifetime_us >= 4 * self.settings.ping_interval_us:
            self.failures = 0

    def next_pause_us(self) -> int:
        """Returns the pause before the next attempt and counts a failure."""
        limit_us = min(self.settings.max_backoff_us, self.settings.backoff_us * 2 ** min(self.failures, 12))
        self.failures += 1
        # Uniform between 0.25 and 1 of the limit: jitter, but with a minimum pause.
        return int(limit_us * (0.25 + 0.75 * self.random.random()))
