"""When nothing may be kept of a gauge: a report on it runs, or may still be running. No I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict


class Fences:
    """A gauge is closed from the moment a write of it is taken until its answer is known, and for
    `unsure_us` longer where its outcome is not: an attempt that nobody waits for may yet have its effect."""

    def __init__(self, unsure_us: int, most: int = 10_000) -> None:
        self.unsure_us, self.most = unsure_us, most
        self.open: dict[bytes, int] = {}
        self.unsure: OrderedDict[bytes, int] = OrderedDict()
        # Guards against a flood of unknown outcomes: all is closed rather than one of them forgotten.
        self.all_until = 0

    def begin(self, gauge: bytes) -> None:
        self.open[gauge] = self.open.get(gauge, 0) + 1

    def end(self, gauge: bytes, now_us: int, known: bool) -> None:
        left = self.open[gauge] - 1
        if left:
            self.open[gauge] = left
        else:
            del self.open[gauge]
        if not known:
            self.unsure.pop(gauge, None)
            self.unsure[gauge] = now_us + self.unsure_us
            if len(self.unsure) > self.most:
                _, until = self.unsure.popitem(last=False)
                self.all_until = max(self.all_until, until)

    def closed(self, gauge: bytes, now_us: int) -> bool:
        if gauge in self.open:
            return True
        if not self.unsure and now_us >= self.all_until:
            return False
        while self.unsure:
            first, until = next(iter(self.unsure.items()))
            if until > now_us:
                break
            del self.unsure[first]
        return now_us < self.all_until or gauge in self.unsure
