"""Secondary cache keys from `Vary` (RFC 9111, 4.1). No I/O."""

from __future__ import annotations

import re
from collections.abc import Mapping
from functools import lru_cache

from magpiefront.caching.field_lists import split_members

# Members of these fields are compared case-insensitively; see also `normalize`.
CASE_INSENSITIVE_FIELDS = frozenset({b"accept", b"accept-charset", b"accept-encoding", b"accept-language"})
DEFAULT_WEIGHT = re.compile(rb";q=1(?:\.0{0,3})?(?=;|$)")
OPTIONAL_SPACE = re.compile(rb"[ \t]*([;=])[ \t]*")


@lru_cache(1024)
def parse_names(value: bytes | None) -> tuple[bytes, ...] | None:
    """Returns the field names of a `Vary` value, sorted and in lower case.

    Returns None if the value contains `*`, which no request matches, or is malformed.
    """
    if value is None:
        return ()
    found = sorted({n.strip(b" \t").lower() for n in value.split(b",")} - {b""})
    if any(n == b"*" or b" " in n or b"\t" in n for n in found):
        return None
    return tuple(found)


@lru_cache(4096)
def normalize(name: bytes, value: bytes) -> bytes:
    """Returns a canonical form that equivalent field values share (RFC 9111, 4.1).

    White space around commas is removed. In `CASE_INSENSITIVE_FIELDS` the value is also lower-cased, and
    white space inside members and weights of 1 are removed. The members of `Accept-Encoding` are sorted, as
    their order has no meaning (RFC 9110, 12.5.3).
    """
    found = split_members(value)
    if name in CASE_INSENSITIVE_FIELDS:
        found = [DEFAULT_WEIGHT.sub(b"", OPTIONAL_SPACE.sub(rb"\1", m.lower())) for m in found]
        if name == b"accept-encoding":
            found.sort()
    return b", ".join(found)


def secondary_key(fields: tuple[bytes, ...], headers: Mapping[bytes, bytes]) -> tuple[bytes | None, ...]:
    """Returns the request's normalized value of each field; None for an absent field, unlike an empty one."""
    if not fields:
        return ()
    return tuple([normalize(n, headers[n]) if n in headers else None for n in fields])
