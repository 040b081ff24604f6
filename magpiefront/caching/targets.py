"""Which stored answers a request is about: keys, gauges, and where an unsafe method reaches. No I/O."""

from __future__ import annotations

import re
from functools import lru_cache
from urllib.parse import urljoin, urlsplit

ESCAPED = re.compile(rb"%([0-9A-Fa-f]{2})")


def key(host: bytes, target: bytes) -> bytes:
    """The primary key (RFC 9111, 2). The target stands as it is spelt, doubled slashes, escapes and all: two
    spellings may be two resources behind, and one key for both would let one poison the other."""
    return host.lower() + b" " + target


@lru_cache(4096)
def gauge(name: bytes) -> bytes:
    """What the last part of a path is about, its escapes undone: a report voids all that it may touch."""
    if b"%" not in name:
        return name
    return ESCAPED.sub(lambda m: bytes([int(m[1], 16)]), name)


def gauge_of(target: bytes) -> bytes:
    return gauge(target.partition(b"?")[0].rpartition(b"/")[2])


def reached(host: bytes, target: bytes, values: list[bytes]) -> list[bytes]:
    """The targets that `Location` and `Content-Location` of an answer to an unsafe method name, if they are
    of the same origin (RFC 9111, 4.4): another's must not be voided by it."""
    base = f"http://{host.decode('latin-1')}{target.decode('latin-1')}"
    origin = _origin(base)
    found = []
    for value in values:
        try:
            there = urljoin(base, value.strip().decode("latin-1"))
            if origin is None or _origin(there) != origin:
                continue
            parts = urlsplit(there)
        except ValueError:
            continue
        path = parts.path or "/"
        found.append((path + (f"?{parts.query}" if parts.query else "")).encode("latin-1", "replace"))
    return found


def _origin(url: str) -> tuple[str, str, int | None] | None:
    parts = urlsplit(url)
    if not parts.hostname:
        return None
    return parts.scheme.lower(), parts.hostname.lower(), parts.port or (80 if parts.scheme == "http" else 443)
