"""Conditional and range requests answered from what is kept (RFC 9110, 13, 14; RFC 9111, 4.3.2). No I/O."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

from magpiefront.caching import dates
from magpiefront.caching.lists import members
from magpiefront.caching.rules import Stored, is_etag, weak_match
from magpiefront.net.fields import lines, read_lines

# RFC 9110, 15.4.5, and what tells of caches on the way.
IN_304 = frozenset({b"cache-control", b"cdn-cache-control", b"content-location", b"date", b"etag", b"expires",
                    b"vary", b"via", b"cache-status", b"last-modified"})  # fmt: skip
BYTES = re.compile(rb"bytes[ \t]*=[ \t]*(\d*)-(\d*)", re.IGNORECASE)


@dataclass(frozen=True, slots=True)
class Part:
    """What of a stored answer goes out: `head` without framing, `body` without what was not asked for."""

    status: int
    head: bytes
    body: bytes


def answer(stored: Stored, headers: Mapping[bytes, bytes]) -> Part:
    """The answer to a request with these fields, in the order of RFC 9110, 13.2.2. Conditions that are for
    the origin (`If-Match`, `If-Unmodified-Since`) do not count here."""
    whole = Part(stored.status, stored.head, stored.body)
    if stored.status != 200:
        return whole
    if not_modified(stored, headers):
        fields = [f for f in read_lines(stored.head) if f[0].lower() in IN_304]
        return Part(304, lines(fields), b"")
    asked = headers.get(b"range")
    if asked is None or not range_holds(stored, headers.get(b"if-range")):
        return whole
    return ranged(whole, asked)


def not_modified(stored: Stored, headers: Mapping[bytes, bytes]) -> bool:
    """Has the client what is stored (RFC 9111, 4.3.2)?"""
    tags = headers.get(b"if-none-match")
    if tags is not None:
        return tags.strip(b" \t") == b"*" or any(weak_match(stored.etag, t) for t in members(tags))
    since = headers.get(b"if-modified-since")
    if since is None:
        return False
    limit = dates.parse(since, stored.date_s)
    if limit is None:
        return False
    modified = dates.parse(stored.modified, stored.date_s) if stored.modified else stored.date_s
    return modified is not None and modified <= limit


def range_holds(stored: Stored, condition: bytes | None) -> bool:
    """`If-Range` compares strongly (RFC 9110, 13.1.5): a part of another representation would be glued to
    what the client has."""
    if condition is None:
        return True
    condition = condition.strip(b" \t")
    if is_etag(condition):
        return condition[:2] != b"W/" and condition == stored.etag
    limit = dates.parse(condition, stored.date_s)
    modified = dates.parse(stored.modified, stored.date_s) if stored.modified else None
    # A date is strong only if the answer was made a second later at least (RFC 9110, 8.8.2.2).
    return limit is not None and limit == modified and stored.date_s > modified


def ranged(whole: Part, asked: bytes) -> Part:
    """One range of bytes as 206, or 416; the whole where several are asked for or none can be read (RFC
    9110, 14.2)."""
    match = BYTES.fullmatch(asked.strip(b" \t"))
    if match is None or not (match[1] or match[2]):
        return whole
    size = len(whole.body)
    if not match[1]:
        length = _whole(match[2])
        first, last = max(0, size - length), size - 1
        satisfiable = length > 0 and size > 0
    else:
        first = _whole(match[1])
        last = min(size - 1, _whole(match[2])) if match[2] else size - 1
        if match[2] and _whole(match[2]) < first:
            return whole
        satisfiable = first < size
    if not satisfiable:
        return Part(416, b"Content-Range: bytes */%d\r\n" % size, b"")
    head = whole.head + b"Content-Range: bytes %d-%d/%d\r\n" % (first, last, size)
    return Part(206, head, whole.body[first : last + 1])


def _whole(digits: bytes) -> int:
    return int(digits[:18]) if len(digits) <= 18 else 10**18
