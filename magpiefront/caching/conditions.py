"""Conditional and range requests on stored responses (RFC 9110, 13, 14; RFC 9111, 4.3.2). No I/O."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

from magpiefront.caching import dates
from magpiefront.caching.field_lists import split_members
from magpiefront.caching.rules import StoredResponse, is_etag, weak_match
from magpiefront.net.fields import format_fields, parse_fields

# The fields that a 304 keeps: those of RFC 9110, 15.4.5, and those that describe caches on the path.
FIELDS_OF_304 = frozenset({
    b"cache-control", b"cdn-cache-control", b"content-location", b"date", b"etag", b"expires", b"vary",
    b"via", b"cache-status", b"last-modified",
})  # fmt: skip
BYTE_RANGE = re.compile(rb"bytes[ \t]*=[ \t]*(\d*)-(\d*)", re.IGNORECASE)


@dataclass(frozen=True, slots=True)
class SelectedResponse:
    """The part of a stored response that is sent. `head` has no framing fields; `body` may be one range."""

    status: int
    head: bytes
    body: bytes


def evaluate(stored: StoredResponse, headers: Mapping[bytes, bytes]) -> SelectedResponse:
    """Evaluates the preconditions and the range of a request in the order of RFC 9110, 13.2.2.

    Conditions for the origin (`If-Match`, `If-Unmodified-Since`) are ignored.
    """
    whole = SelectedResponse(stored.status, stored.head, stored.body)
    if stored.status != 200:
        return whole
    if is_not_modified(stored, headers):
        fields = [f for f in parse_fields(stored.head) if f[0].lower() in FIELDS_OF_304]
        return SelectedResponse(304, format_fields(fields), b"")
    requested = headers.get(b"range")
    if requested is None or not if_range_matches(stored, headers.get(b"if-range")):
        return whole
    return apply_range(whole, requested)


def is_not_modified(stored: StoredResponse, headers: Mapping[bytes, bytes]) -> bool:
    """Returns whether the client already has the stored response (RFC 9111, 4.3.2)."""
    tags = headers.get(b"if-none-match")
    if tags is not None:
        return tags.strip(b" \t") == b"*" or any(weak_match(stored.etag, t) for t in split_members(tags))
    since = headers.get(b"if-modified-since")
    if since is None:
        return False
    limit = dates.parse(since, stored.date_s)
    if limit is None:
        return False
    modified = dates.parse(stored.modified, stored.date_s) if stored.modified else stored.date_s
    return modified is not None and modified <= limit


def if_range_matches(stored: StoredResponse, condition: bytes | None) -> bool:
    """Evaluates `If-Range` by strong comparison (RFC 9110, 13.1.5).

    With a weak comparison the client could combine parts of different representations.
    """
    if condition is None:
        return True
    condition = condition.strip(b" \t")
    if is_etag(condition):
        return condition[:2] != b"W/" and condition == stored.etag
    limit = dates.parse(condition, stored.date_s)
    modified = dates.parse(stored.modified, stored.date_s) if stored.modified else None
    # A date is strong only if the response was generated at least one second later (RFC 9110, 8.8.2.2).
    return limit is not None and limit == modified and stored.date_s > modified


def apply_range(whole: SelectedResponse, requested: bytes) -> SelectedResponse:
    """Returns a 206 with one byte range, or a 416 if it cannot be satisfied.

    Several ranges or a malformed one give the whole response (RFC 9110, 14.2).
    """
    match = BYTE_RANGE.fullmatch(requested.strip(b" \t"))
    if match is None or not (match[1] or match[2]):
        return whole
    size = len(whole.body)
    if not match[1]:
        length = _parse_number(match[2])
        first, last = max(0, size - length), size - 1
        satisfiable = length > 0 and size > 0
    else:
        first = _parse_number(match[1])
        last = min(size - 1, _parse_number(match[2])) if match[2] else size - 1
        if match[2] and _parse_number(match[2]) < first:
            return whole
        satisfiable = first < size
    if not satisfiable:
        return SelectedResponse(416, b"Content-Range: bytes */%d\r\n" % size, b"")
    head = whole.head + b"Content-Range: bytes %d-%d/%d\r\n" % (first, last, size)
    return SelectedResponse(206, head, whole.body[first : last + 1])


def _parse_number(digits: bytes) -> int:
    """Returns a number of at most 18 digits; a longer one counts as 10**18, which exceeds any body."""
    return int(digits[:18]) if len(digits) <= 18 else 10**18
