"""When a connection to a node may carry another request. Decides; no I/O and no clock.

Answers carry no id: an answer belongs to a request only if nothing else on its connection can be answering.
A connection that has carried an answer therefore rests, watched, before it carries another request; whatever
comes while nothing is out on it closes it. One that has carried a refusal, the proof that a request never
ran, carries nothing more: a copy of that can then prove nothing of another. Times are seconds of any clock
that only goes forward.
"""

from __future__ import annotations

from enum import Enum

# A copy of an answer that comes later than a connection has rested, and behind the next request, is taken for
# that request's answer. What more of it costs: docs/capacity.md.
REST_S = 0.35
MOST_REST_S = 4.0
LATEST_COPY_S = MOST_REST_S / 2  # bytes later than this are a node's last words on an idle connection
CALM_S = 60.0  # in which the lateness that is reckoned with falls by half
HELD_UP_S = 0.005  # between the look at a connection and the writing


class State(Enum):
    """Of a connection to a node."""

    CONNECTING = "connecting"
    BUSY = "busy"  # a request is out
    RESTING = "resting"  # it has carried an answer, and something of that may yet come
    IDLE = "idle"  # it may carry a request
    CLOSED = "closed"


class StrayReason(Enum):
    """Where bytes came that no request can have asked for."""

    SURPLUS = "surplus"  # behind an answer, in the same read
    RESTING = "resting"
    IDLE = "idle"
    UNREAD = "unread"  # found in the kernel as the connection was to be used
    EARLY = "early"  # before the request's last byte had reached the node
    CROSSED = "crossed"  # found right after the request was written, by a process that was held up


class Lifecycle:
    """The state of one connection, and what may be done on it.

    `answers` counts the final answers that it has carried; `answered_at` is when the last of them was whole.
    """

    __slots__ = ("answered_at", "answers", "state")

    def __init__(self) -> None:
        self.state = State.CONNECTING
        self.answers = 0
        self.answered_at = 0.0

    @property
    def used(self) -> bool:
        """Has it carried an answer, of which something may yet come?"""
        return self.answers > 0

    def rested(self, now: float, rest_s: float) -> bool:
        """Is its rest over? Then it is idle."""
        if self.state is State.RESTING and self.answered_at <= now - rest_s:  # as the pool looks for it
            self.state = State.IDLE
        return self.state is State.IDLE

    def begin(self) -> None:
        """A request is about to be written. Raises ValueError where that may not be."""
        if self.state not in (State.CONNECTING, State.IDLE):
            raise ValueError(f"a connection that is {self.state.value} carries no request")
        self.state = State.BUSY

    def stand_by(self, now: float) -> None:
        """Nothing was written on it: its request had ended. It rests once more if it was used before."""
        if self.state in (State.CONNECTING, State.IDLE):
            self.state = State.RESTING if self.used else State.IDLE
            self.answered_at = now

    def answered(self, now: float, reusable: bool) -> None:
        """The answer of the request that is out is whole."""
        self.answers += 1
        self.answered_at = now
        self.state = State.RESTING if reusable else State.CLOSED

    def close(self) -> None:
        self.state = State.CLOSED

    def stray(self) -> StrayReason | None:
        """What bytes are that come now; None where they may be an answer."""
        if self.state is State.RESTING:
            return StrayReason.RESTING
        return StrayReason.IDLE if self.state is State.IDLE else None

    def is_early(self, sent: bool, unacknowledged: int) -> bool:
        """Do the first bytes that come for a request come before its last byte can have reached the node?
        `unacknowledged`: how many bytes the node's machine has not confirmed. What it sends after it has the
        request confirms the request, so these were sent before. On a connection that has carried nothing
        yet, there is nobody else whom they could be for."""
        return self.used and (not sent or unacknowledged > 0)


class RestPolicy:
    """How long connections rest: for longer once an answer's copy was seen late, on any connection, for what
    copies answers may be anything on the way."""

    __slots__ = ("_late_s", "_seen_at")

    def __init__(self) -> None:
        self._late_s = self._seen_at = 0.0

    def rest_s(self, now: float) -> float:
        if not self._late_s:
            return REST_S
        return max(REST_S, min(MOST_REST_S, 2 * self._reckoned_s(now)))

    def saw_stray(self, late_s: float, now: float) -> None:
        """Bytes that nobody asked for came so long after their connection's last answer."""
        if late_s <= LATEST_COPY_S:
            self._late_s, self._seen_at = max(late_s, self._reckoned_s(now)), now

    def _reckoned_s(self, now: float) -> float:
        late_s: float = self._late_s * 0.5 ** ((now - self._seen_at) / CALM_S)
        return late_s
