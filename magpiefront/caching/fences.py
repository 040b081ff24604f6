"""Keeps responses out of the store while a write to their gauge is in progress. No I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict


class StoreFences:
    """The closed gauges: those whose responses must not be stored.

    A gauge is closed from the moment a write to it is accepted until the outcome of the write is known. If
    the outcome stays unknown, it is closed for another `unknown_outcome_us`: an abandoned attempt may still
    take effect.
    """

    def __init__(self, unknown_outcome_us: int, max_unknown: int = 10_000) -> None:
        self.unknown_outcome_us, self.max_unknown = unknown_outcome_us, max_unknown
        self.open_writes: dict[bytes, int] = {}  # by gauge: the number of writes in progress
        self.unknown_until_us: OrderedDict[bytes, int] = OrderedDict()  # by gauge
        # With more than `max_unknown` unknown outcomes the oldest is dropped, and all gauges are closed until
        # its time has passed, so that its gauge is not opened too early.
        self.all_closed_until_us = 0

    def begin(self, gauge: bytes) -> None:
        """Closes the gauge for a write."""
        self.open_writes[gauge] = self.open_writes.get(gauge, 0) + 1

    def end(self, gauge: bytes, now_us: int, outcome_known: bool) -> None:
        """Ends one write to the gauge. Raises KeyError if none is in progress."""
        remaining = self.open_writes[gauge] - 1
        if remaining:
            self.open_writes[gauge] = remaining
        else:
            del self.open_writes[gauge]
        if not outcome_known:
            self.unknown_until_us.pop(gauge, None)
            self.unknown_until_us[gauge] = now_us + self.unknown_outcome_us
            if len(self.unknown_until_us) > self.max_unknown:
                _, until_us = self.unknown_until_us.popitem(last=False)
                self.all_closed_until_us = max(self.all_closed_until_us, until_us)

    def is_closed(self, gauge: bytes, now_us: int) -> bool:
        """Whether responses for this gauge must not be stored now."""
        if gauge in self.open_writes:
            return True
        if not self.unknown_until_us and now_us >= self.all_closed_until_us:
            return False
        while self.unknown_until_us:
            first, until_us = next(iter(self.unknown_until_us.items()))
            if until_us > now_us:
                break
            del self.unknown_until_us[first]
        return now_us < self.all_closed_until_us or gauge in self.unknown_until_us
