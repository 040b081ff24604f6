"""A leader's view of the replication to one member, with flow control. No I/O."""

from __future__ import annotations

from collections import deque
from enum import Enum


class Mode(Enum):
    """How entries are sent to the member."""

    PROBE = "probe"  # searches for the last common entry, one message at a time
    STREAM = "stream"  # sends entries without waiting for replies, up to `most_flight` messages
    SNAPSHOT = "snapshot"  # the member needs entries that the log no longer holds


class Progress:
    """The replication state of one member, as the leader knows it. Times are microseconds."""

    __slots__ = (
        "acked_round", "chunk_sent_us", "in_flight", "match", "match_round", "mode", "next", "offset",
        "probe_in_flight", "sent_commit", "sent_us",
    )  # fmt: skip

    def __init__(self, next_index: int, now_us: int) -> None:
        self.mode = Mode.PROBE
        self.match, self.next = 0, next_index  # last index that it has confirmed; next index to send
        self.match_round = 0  # the newest round in which it confirmed `match`
        self.acked_round = 0  # the newest round that it has answered
        self.in_flight: deque[int] = deque()  # the last index of each unanswered message
        self.probe_in_flight = False  # a message with entries is unanswered
        self.offset = 0  # bytes of the snapshot that it has confirmed
        self.chunk_sent_us = 0  # when the last chunk was sent
        self.sent_us = now_us  # when the last message was sent
        self.sent_commit = 0  # the commit index that was last sent

    def record_success(self, match: int, round_: int) -> bool:
        """Records that the member holds all entries up to `match`. True if that is more than before."""
        self.probe_in_flight = False
        while self.in_flight and self.in_flight[0] <= match:
            self.in_flight.popleft()
        if self.mode is Mode.PROBE:
            self.mode = Mode.STREAM
            self.in_flight.clear()
            self.next = match + 1
        self.next = max(self.next, match + 1)
        if match < self.match:
            return False
        is_advance = match > self.match
        self.match, self.match_round = match, max(round_, self.match_round)
        return is_advance

    def record_rejection(self, index: int, hint_index: int, round_: int) -> bool:
        """Records that the member does not hold the entry at `index`, and probes from `hint_index`.

        True if the member lacks an entry that it had confirmed: its disk has lost data.
        """
        if index <= self.match:
            return round_ > self.match_round and hint_index < self.match
        self.mode, self.probe_in_flight = Mode.PROBE, False
        self.in_flight.clear()
        self.next = max(self.match, min(index - 1, hint_index)) + 1
        return False

    def switch_to_snapshot(self) -> None:
        """Starts to send the snapshot, unless it is being sent already."""
        if self.mode is not Mode.SNAPSHOT:
            self.mode, self.offset, self.chunk_sent_us = Mode.SNAPSHOT, 0, 0
            self.in_flight.clear()

    def finish_snapshot(self, index: int) -> None:
        """Continues with the entries after `index`, which the member's snapshot covers."""
        self.mode, self.probe_in_flight = Mode.PROBE, False
        self.match, self.next = max(self.match, index), max(self.match, index) + 1
