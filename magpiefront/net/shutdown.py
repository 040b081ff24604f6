"""The schedule of a graceful shutdown. Pure: it does no I/O, and times are passed in as values.

After SIGTERM the platform waits for the longest deadline of the deployment (3 s at most) and another 0.7 s,
then kills the process (protocol page, "Figures"). Clients go on using their connections until they are
closed, so all connections have to be closed before the kill: a busy one after its response, an idle one
after it has been idle for a while, and all that are left in the last phase.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

ACCEPT_GRACE_S = 0.5  # new connections keep arriving for this long after SIGTERM
MAX_DEADLINE_S = 3.0  # the platform waits for no longer deadline than this
KILL_DELAY_S = 0.7  # between that deadline and the kill
EXIT_MARGIN_S = 0.1  # before the kill; the process needs this long to exit
# Requests are answered this long before the kill, as the process may be stalled and the response takes time
# to be transferred.
ANSWER_MARGIN_S = 0.25
# All idle connections are closed this long before the kill, so that a client whose request crosses the close
# still has time to send it elsewhere.
LAST_CALL_MARGIN_S = 0.3
MIN_IDLE_S = 0.7  # a connection that was opened or used more recently is not closed as idle


class Phase(Enum):
    """The phases of a shutdown, in their order."""

    ACCEPTING = "accepting"
    DRAINING = "draining"
    LAST_CALL = "last_call"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """The times of a shutdown, in seconds after SIGTERM."""

    accept_until_s: float
    answer_by_s: float
    last_call_s: float
    end_s: float


def shutdown_times(longest_deadline_s: float) -> ShutdownTimes:
    """The times for a deployment whose longest request deadline is `longest_deadline_s`."""
    kill_s = min(MAX_DEADLINE_S, longest_deadline_s) + KILL_DELAY_S
    return ShutdownTimes(
        accept_until_s=min(ACCEPT_GRACE_S, kill_s - LAST_CALL_MARGIN_S),
        answer_by_s=kill_s - ANSWER_MARGIN_S,
        last_call_s=kill_s - LAST_CALL_MARGIN_S,
        end_s=kill_s - EXIT_MARGIN_S,
    )


class Shutdown:
    """One shutdown, from SIGTERM to the exit of the process."""

    def __init__(self, longest_deadline_s: float) -> None:
        self.times = shutdown_times(longest_deadline_s)

    def shorten(self, longest_deadline_s: float) -> None:
        """Applies the longest deadline of a configuration that was loaded during the shutdown. The times can
        become earlier, as the kill may then come earlier, but never later."""
        new = shutdown_times(longest_deadline_s)
        if new.end_s < self.times.end_s:
            self.times = new

    def accepts(self, elapsed_s: float, handed_over: bool) -> bool:
        """Whether new connections are still accepted; the parameters are those of `phase`."""
        return elapsed_s < self.times.accept_until_s and not handed_over

    def phase(self, elapsed_s: float, handed_over: bool, busy: bool) -> Phase:
        """The phase `elapsed_s` seconds after SIGTERM. `handed_over`: another process accepts connections in
        place of this one. `busy`: connections are open, or work is unfinished."""
        if elapsed_s >= self.times.end_s:
            return Phase.ENDED
        if self.accepts(elapsed_s, handed_over):
            return Phase.ACCEPTING
        if not busy:
            return Phase.ENDED
        return Phase.DRAINING if elapsed_s < self.times.last_call_s else Phase.LAST_CALL

    def min_idle_s(self, phase: Phase) -> float:
        """How many seconds a connection must have been idle before it is closed in this phase."""
        return 0.0 if phase is Phase.LAST_CALL else MIN_IDLE_S
