"""Cache keys, gauges, and the further targets that an unsafe request invalidates. No I/O.

A gauge is a measuring station of the platform; requests read its level and report values to it. The last
segment of a request's path names it, whatever the host, the query and the segments before. A gauge is the
unit of invalidation: a write to any of its targets invalidates all that is stored for the gauge.
"""

from __future__ import annotations

import re
from functools import lru_cache
from urllib.parse import urljoin, urlsplit

ESCAPED = re.compile(rb"%([0-9A-Fa-f]{2})")


def key(host: bytes, target: bytes) -> bytes:
    """Returns the primary cache key (RFC 9111, 2).

    The target is not normalized, not even doubled slashes or escapes: the origin may see two spellings as two
    resources, and with a shared key one could poison the other.
    """
    return host.lower() + b" " + target


@lru_cache(4096)
def gauge(name: bytes) -> bytes:
    """Returns the gauge that the last segment of a path names.

    The name is unescaped, so that a write invalidates the responses stored under every spelling of it.
    """
    if b"%" not in name:
        return name
    return ESCAPED.sub(lambda m: bytes([int(m[1], 16)]), name)


def gauge_of(target: bytes) -> bytes:
    """Returns the gauge of a request target."""
    return gauge(target.partition(b"?")[0].rpartition(b"/")[2])


def same_origin_targets(host: bytes, target: bytes, values: list[bytes]) -> list[bytes]:
    """Returns the targets in `values` that have the same origin as the request.

    `values` are the `Location` and `Content-Location` of a response to an unsafe method. It must not
    invalidate responses of another origin (RFC 9111, 4.4).
    """
    base = f"http://{host.decode('latin-1')}{target.decode('latin-1')}"
    try:
        origin = _origin(base)
    except ValueError:
        return []  # no origin, so none that a value could share
    found = []
    for value in values:
        try:
            url = urljoin(base, value.strip().decode("latin-1"))
            if origin is None or _origin(url) != origin:
                continue
            parts = urlsplit(url)
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
