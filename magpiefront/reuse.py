"""Decides when a connection to a node may carry another request. Does no I/O and reads no clock.

Answers carry no request id, so an answer can be matched with its request only if no answer to an earlier
request can still arrive on the connection. After an answer a connection therefore rests for a while
(`RESTING`) and is watched before it carries another request; bytes that arrive while no request is in flight
(stray bytes) close it. A connection that has carried a refusal, which proves that the request never ran, is
not used again: a duplicate of that refusal would be taken as proof that the next request never ran. Times are
seconds of any monotonic clock.
"""

from __future__ import annotations

from enum import Enum

# Bounds of the rest. If a duplicate of an answer arrives after the rest, when the next request has been sent,
# it is taken for the answer to that request. What a longer rest costs is in docs/capacity.md.
MIN_REST_S = 0.35
MAX_REST_S = 4.0
# Bytes that arrive later than this after an answer are not a duplicate of it, but a node's final message on
# an idle connection.
MAX_DUPLICATE_DELAY_S = MAX_REST_S / 2
DELAY_HALF_LIFE_S = 60.0  # the expected delay of duplicates falls by half in this time
# A connection is checked for stray bytes before a request is written. If more time than this passes between
# the check and the write, it is checked again after the write.
WRITE_STALL_S = 0.005


class ConnectionState(Enum):
    """The state of a connection to a node."""

    CONNECTING = "connecting"
    BUSY = "busy"  # a request is in flight
    RESTING = "resting"  # more bytes or a duplicate of an answer that it has carried may still arrive
    IDLE = "idle"  # it may carry a request at once
    CLOSED = "closed"


class StrayReason(Enum):
    """When stray bytes arrived: bytes that cannot be the answer to any request."""

    SURPLUS = "surplus"  # after the end of an answer, in the same read
    RESTING = "resting"
    IDLE = "idle"
    UNREAD = "unread"  # in the kernel's receive buffer when the connection was about to be used
    EARLY = "early"  # before the last byte of the request had reached the node
    CROSSED = "crossed"  # right after the request was written, by a process that had stalled before the write


class ConnectionLifecycle:
    """The state of one connection and the transitions that are allowed.

    `answers` counts the final answers that the connection has carried; `answered_at` is when the last of them
    was complete, or when the connection was last released unused.
    """

    __slots__ = ("answered_at", "answers", "state")

    def __init__(self) -> None:
        self.state = ConnectionState.CONNECTING
        self.answers = 0
        self.answered_at = 0.0

    @property
    def used(self) -> bool:
        """True if it has carried an answer: more bytes or a duplicate of that may still arrive."""
        return self.answers > 0

    def end_rest(self, now: float, rest_s: float) -> bool:
        """Makes a resting connection idle once it has rested for `rest_s`. Returns whether it is idle. The
        comparison has the same form as in the pool, so that both round alike."""
        if self.state is ConnectionState.RESTING and self.answered_at <= now - rest_s:
            self.state = ConnectionState.IDLE
        return self.state is ConnectionState.IDLE

    def begin_request(self) -> None:
        """Makes the connection busy before a request is written. Raises ValueError if its state does not
        allow a request."""
        if self.state not in (ConnectionState.CONNECTING, ConnectionState.IDLE):
            raise ValueError(f"a connection that is {self.state.value} cannot carry a request")
        self.state = ConnectionState.BUSY

    def release_unused(self, now: float) -> None:
        """Releases a connection on which nothing was written, because its request had ended. It rests again
        if it was used before, and is idle otherwise."""
        if self.state in (ConnectionState.CONNECTING, ConnectionState.IDLE):
            self.state = ConnectionState.RESTING if self.used else ConnectionState.IDLE
            self.answered_at = now

    def end_request(self, now: float, reusable: bool) -> None:
        """Records that the answer to the request in flight is complete. The connection rests if it is
        `reusable`, and is closed otherwise."""
        self.answers += 1
        self.answered_at = now
        self.state = ConnectionState.RESTING if reusable else ConnectionState.CLOSED

    def close(self) -> None:
        """Marks the connection as closed."""
        self.state = ConnectionState.CLOSED

    def stray_reason(self) -> StrayReason | None:
        """Returns why bytes that arrive now are stray; None if they may be an answer."""
        if self.state is ConnectionState.RESTING:
            return StrayReason.RESTING
        return StrayReason.IDLE if self.state is ConnectionState.IDLE else None

    def precedes_request(self, sent: bool, unacknowledged: int) -> bool:
        """Returns whether the first bytes that arrive after a request were sent before the node can have had
        the whole request, so that they are not its answer. `sent`: all of the request has been written.
        `unacknowledged`: how many bytes of it the node's machine has not acknowledged. A segment that the
        node sends after it has the whole request also acknowledges the request; if the request is not
        acknowledged, the bytes were sent earlier. On a connection that has carried no answer yet, they cannot
        belong to another request."""
        return self.used and (not sent or unacknowledged > 0)


class RestPolicy:
    """How long connections rest. A late duplicate of an answer on any connection lengthens the rest of all
    connections, because whatever duplicates answers may be anywhere on the path."""

    __slots__ = ("_delay_s", "_recorded_at")

    def __init__(self) -> None:
        self._delay_s = self._recorded_at = 0.0

    def rest_s(self, now: float) -> float:
        """Returns the rest that connections need at this time, in seconds."""
        if not self._delay_s:
            return MIN_REST_S
        return max(MIN_REST_S, min(MAX_REST_S, 2 * self._expected_delay_s(now)))

    def record_stray(self, delay_s: float, now: float) -> None:
        """Takes into account that stray bytes arrived `delay_s` seconds after the last answer on their
        connection. Bytes that are too late to be a duplicate are ignored."""
        if delay_s <= MAX_DUPLICATE_DELAY_S:
            self._delay_s, self._recorded_at = max(delay_s, self._expected_delay_s(now)), now

    def _expected_delay_s(self, now: float) -> float:
        delay_s: float = self._delay_s * 0.5 ** ((now - self._recorded_at) / DELAY_HALF_LIFE_S)
        return delay_s
