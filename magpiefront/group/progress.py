"""How far one member is, as its leader knows it, and what may be sent to it next (flow control). No I/O."""

from __future__ import annotations

from collections import deque
from enum import Enum


class Mode(Enum):
    PROBE = "probe"  # where its log and the leader's part is looked for, one message at a time
    STREAM = "stream"  # entries follow each other without waiting, up to a bound
    SNAPSHOT = "snapshot"  # it needs what the log no longer has


class Progress:
    __slots__ = (
        "acked", "flight", "match", "match_round", "mode", "next", "offset", "parted_us", "probed", "sent_us",
        "told",
    )  # fmt: skip

    def __init__(self, following: int, now_us: int) -> None:
        self.mode = Mode.PROBE
        self.match, self.next = 0, following
        self.match_round = 0  # in which round it confirmed `match`
        self.acked = 0  # the newest round that it answered
        self.flight: deque[int] = deque()  # the last index of each message on its way
        self.probed = False  # one is on its way
        self.offset = 0  # of the snapshot, confirmed
        self.parted_us = 0  # when a part was sent last
        self.sent_us = now_us
        self.told = 0  # the commit that it was told of

    def confirmed(self, match: int, round_: int) -> bool:
        """Returns whether that is news."""
        self.probed = False
        while self.flight and self.flight[0] <= match:
            self.flight.popleft()
        if self.mode is Mode.PROBE:
            self.mode = Mode.STREAM
            self.flight.clear()
            self.next = match + 1
        self.next = max(self.next, match + 1)
        if match < self.match:
            return False
        news = match > self.match
        self.match, self.match_round = match, max(round_, self.match_round)
        return news

    def refused(self, at: int, hint: int, round_: int) -> bool:
        """Returns whether it is behind what it has confirmed: then its disk lost what it said was there."""
        if at <= self.match:
            return round_ > self.match_round and hint < self.match
        self.mode, self.probed = Mode.PROBE, False
        self.flight.clear()
        self.next = max(self.match, min(at - 1, hint)) + 1
        return False

    def needs_snapshot(self) -> None:
        if self.mode is not Mode.SNAPSHOT:
            self.mode, self.offset, self.parted_us = Mode.SNAPSHOT, 0, 0
            self.flight.clear()

    def has_snapshot(self, index: int) -> None:
        self.mode, self.probed = Mode.PROBE, False
        self.match, self.next = max(self.match, index), max(self.match, index) + 1
