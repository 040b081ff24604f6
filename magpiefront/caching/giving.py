"""Answers from what is kept, or from what has just come, as a client's own request asks for them."""

from __future__ import annotations

from magpiefront.caching import conditions, status
from magpiefront.caching.flights import Waiter
from magpiefront.caching.rules import Answered, S, Stored
from magpiefront.net.fields import lines
from magpiefront.net.request import READS, Request

CONDITIONS = frozenset({b"if-none-match", b"if-modified-since", b"if-range", b"range"})


class Giver:
    """`name` is this cache's in `Cache-Status`."""

    name = ""

    def from_store(self, r: Request, v: Stored, now_us: int, detail: str) -> None:
        age = now_us - v.born_us
        self.give(r, v, age, status.hit(self.name, (v.lifetime_us - age) // S, detail))

    def give(self, r: Request, v: Stored, age_us: int, line: bytes) -> None:
        # Rounded up: to the next cache it must not look younger than it is.
        more = b"Age: %d\r\n%b" % (-(-max(0, age_us) // S), line)
        if CONDITIONS.isdisjoint(r.headers) or r.method not in READS:
            r.replies.answer(r, v.status, (v.body,), v.head + more)
        else:
            part = conditions.answer(v, r.headers)
            r.replies.answer(r, part.status, (part.body,), part.head + more)

    def whole(self, r: Request, answered: Answered, body: bytes, stripped: bool, line: bytes) -> None:
        """What came, to the one that it came for."""
        if self.unchanged(r, answered, stripped):
            self.not_modified(r, answered, line)
        else:
            r.replies.answer(r, answered.status, (body,), lines(answered.fields) + line)

    def unchanged(self, r: Request, answered: Answered, stripped: bool) -> bool:
        """Has the client, whose own condition was left out, what came (RFC 9111, 4.3.2)?"""
        if not stripped or answered.status != 200 or CONDITIONS.isdisjoint(r.headers):
            return False
        h = answered.headers
        seen = Stored(200, b"", b"", 0, 0, date_s=answered.date_s, wall_s=0.0, etag=h.get(b"etag", b""),
                      modified=h.get(b"last-modified", b""))  # fmt: skip
        return conditions.not_modified(seen, r.headers)

    def not_modified(self, r: Request, answered: Answered, line: bytes) -> None:
        fields = [f for f in answered.fields if f[0].lower() in conditions.IN_304]
        r.replies.answer(r, 304, (), lines(fields) + line)

    def line(self, waiter: Waiter, stored: bool = False, detail: str = "", status_: int = 0) -> bytes:
        return status.forwarded(self.name, waiter.fwd, status_, stored, waiter.collapsed, detail)
