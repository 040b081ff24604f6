"""Reports that come from another site are held here too, before they go on to this site's nodes.

Then any gateway of the site that looks into the same store knows whether one ran, and its sender may ask
another when the one that had it is lost.
"""

from __future__ import annotations

from magpiefront.net.request import AgedStage, Request
from magpiefront.record.stage import RecordStage


class Arrivals:
    def __init__(self, record: RecordStage, following: AgedStage) -> None:
        self.record, self.following = record, following
        record.nodes = following

    def take(self, request: Request) -> None:
        self.take_aged(request, 0)

    def take_aged(self, r: Request, age_us: int) -> None:
        cls = self.record.class_of(r)
        if cls is None:
            self.following.take_aged(r, age_us)
        else:
            self.record.hold(r, cls, age_us)

    def knows(self, r: Request) -> bool:
        return self.record.class_of(r) is not None

    def may_take(self, r: Request) -> bool:
        return not self.knows(r) or self.record.acting.prefix() is not None

    def client_left(self, request: Request) -> None:
        if request in self.record.clients:
            self.record.client_left(request)
        else:
            self.following.client_left(request)

    def hold_back(self, request: Request) -> None:
        if request not in self.record.clients:
            self.following.hold_back(request)

    def let_go(self, request: Request) -> None:
        if request not in self.record.clients:
            self.following.let_go(request)
