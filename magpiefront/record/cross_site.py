"""Stores the reports that come from another site, before they are sent to the nodes of this site.

Every gateway of this site that uses the same store can then tell whether a report has run, so the sending
site can repeat it at another gateway if the first one is lost.
"""

from __future__ import annotations

from magpiefront.net.request import CrossSiteStage, Request
from magpiefront.record.stage import RecordStage


class CrossSiteRecordStage:
    """Passes reports from other sites to the `RecordStage`, and all other requests to `following`."""

    def __init__(self, record: RecordStage, following: CrossSiteStage) -> None:
        self.record, self.following = record, following
        record.node_stage = following

    def submit(self, request: Request) -> None:
        self.submit_from_site(request)

    def submit_from_site(self, r: Request) -> None:
        cls = self.record.recorded_class(r)
        if cls is None:
            self.following.submit_from_site(r)
        else:
            self.record.store_report(r, cls, from_other_site=True)

    def can_tell_if_run(self, r: Request) -> bool:
        return self.record.recorded_class(r) is not None

    def may_accept(self, r: Request) -> bool:
        return not self.can_tell_if_run(r) or self.record.ownership.owner_prefix() is not None

    def client_left(self, request: Request) -> None:
        if request in self.record.clients:
            self.record.client_left(request)
        else:
            self.following.client_left(request)

    def pause_response(self, request: Request) -> None:
        if request not in self.record.clients:
            self.following.pause_response(request)

    def resume_response(self, request: Request) -> None:
        if request not in self.record.clients:
            self.following.resume_response(request)
