"""Sends stored and fetched responses to clients, after evaluating their conditions and ranges."""

from __future__ import annotations

from magpiefront.caching import conditions, status
from magpiefront.caching.fetches import Waiter
from magpiefront.caching.rules import OriginResponse, US_PER_S, StoredResponse
from magpiefront.net.fields import format_fields
from magpiefront.net.request import READ_METHODS, Request

CONDITIONAL_FIELDS = frozenset({b"if-none-match", b"if-modified-since", b"if-range", b"range"})


class ResponseSender:
    """Sends responses to clients. `name` identifies this cache in `Cache-Status`."""

    name = ""

    def send_hit(self, r: Request, v: StoredResponse, now_us: int, detail: str) -> None:
        age = now_us - v.generated_us
        self.send_stored(r, v, age, status.hit(self.name, (v.lifetime_us - age) // US_PER_S, detail))

    def send_stored(self, r: Request, v: StoredResponse, age_us: int, cache_status: bytes) -> None:
        # Rounded up, so that the response does not appear younger than it is to the next cache.
        more = b"Age: %d\r\n%b" % (-(-max(0, age_us) // US_PER_S), cache_status)
        if CONDITIONAL_FIELDS.isdisjoint(r.headers) or r.method not in READ_METHODS:
            r.responder.answer(r, v.status, (v.body,), v.head + more)
        else:
            selected = conditions.evaluate(v, r.headers)
            r.responder.answer(r, selected.status, (selected.body,), selected.head + more)

    def send_fetched(
        self, r: Request, response: OriginResponse, body: bytes, conditions_removed: bool, cache_status: bytes
    ) -> None:
        """Sends a response that was just fetched to the request that caused the fetch."""
        if self.is_unmodified(r, response, conditions_removed):
            self.send_not_modified(r, response, cache_status)
        else:
            r.responder.answer(r, response.status, (body,), format_fields(response.fields) + cache_status)

    def is_unmodified(self, r: Request, response: OriginResponse, conditions_removed: bool) -> bool:
        """Returns whether the client already has the fetched response (RFC 9111, 4.3.2).

        Returns False unless the client's conditional fields were left out of the forwarded request: otherwise
        upstream has evaluated them.
        """
        if not conditions_removed or response.status != 200 or CONDITIONAL_FIELDS.isdisjoint(r.headers):
            return False
        h = response.headers
        received = StoredResponse(
            200, b"", b"", 0, 0, date_s=response.date_s, wall_s=0.0, etag=h.get(b"etag", b""),
            modified=h.get(b"last-modified", b""),
        )  # fmt: skip
        return conditions.is_not_modified(received, r.headers)

    def send_not_modified(self, r: Request, response: OriginResponse, cache_status: bytes) -> None:
        fields = [f for f in response.fields if f[0].lower() in conditions.FIELDS_OF_304]
        r.responder.answer(r, 304, (), format_fields(fields) + cache_status)

    def cache_status(self, waiter: Waiter, stored: bool = False, detail: str = "", status_: int = 0) -> bytes:
        return status.forwarded(self.name, waiter.reason, status_, stored, waiter.collapsed, detail)
