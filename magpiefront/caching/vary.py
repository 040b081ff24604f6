"""Which of several stored answers a request selects (RFC 9111, 4.1). No I/O."""

from __future__ import annotations

import re
from collections.abc import Mapping
from functools import lru_cache

from magpiefront.caching.lists import members

# Their members are compared without case; for the order and a weight of 1 see `normal`.
CASELESS = frozenset({b"accept", b"accept-charset", b"accept-encoding", b"accept-language"})
FULL_WEIGHT = re.compile(rb";q=1(?:\.0{0,3})?(?=;|$)")
SPACE = re.compile(rb"[ \t]*([;=])[ \t]*")


@lru_cache(1024)
def names(value: bytes | None) -> tuple[bytes, ...] | None:
    """The fields that a `Vary` names, in lower case and in order; None for one with `*`, which nothing
    matches, and for one that can't be read."""
    if value is None:
        return ()
    found = sorted({n.strip(b" \t").lower() for n in value.split(b",")} - {b""})
    if any(n == b"*" or b" " in n or b"\t" in n for n in found):
        return None
    return tuple(found)


@lru_cache(4096)
def normal(name: bytes, value: bytes) -> bytes:
    """A value in the one form of all that mean the same (RFC 9111, 4.1): white space round commas does not
    count; in lists of preferences nor do case, white space in a member and a weight of 1, and in
    `Accept-Encoding` nor does the order, which has no meaning there (RFC 9110, 12.5.3)."""
    found = members(value)
    if name in CASELESS:
        found = [FULL_WEIGHT.sub(b"", SPACE.sub(rb"\1", m.lower())) for m in found]
        if name == b"accept-encoding":
            found.sort()
    return b", ".join(found)


def secondary(fields: tuple[bytes, ...], headers: Mapping[bytes, bytes]) -> tuple[bytes | None, ...]:
    """What a request says in these fields; None where it has none, which is another thing than empty."""
    if not fields:
        return ()
    return tuple([normal(n, headers[n]) if n in headers else None for n in fields])
