"""Builds the `Cache-Status` field (RFC 9211) that reports how the cache handled a request. No I/O."""

from __future__ import annotations

from functools import lru_cache

import http_sf

from magpiefront.caching.rules import ForwardReason


@lru_cache(8192)
def hit(name: str, ttl_s: int, detail: str = "") -> bytes:
    """Builds the line of a response from the store; `ttl_s` is negative if it is stale (RFC 9211, 2.3)."""
    params: dict[str, http_sf.types.BareItemType] = {"hit": True, "ttl": ttl_s}
    if detail:
        params["detail"] = http_sf.Token(detail)
    return _line(name, params)


@lru_cache(1024)
def forwarded(
    name: str, fwd: ForwardReason, status: int = 0, stored: bool = False, collapsed: bool = False,
    detail: str = "",
) -> bytes:  # fmt: skip
    """Builds the line of a request that was forwarded, or would have been (only-if-cached).

    `status` is the origin's status if it differs from the one that the client gets; 0 if not.
    """
    params: dict[str, http_sf.types.BareItemType] = {"fwd": http_sf.Token(fwd.value)}
    if status:
        params["fwd-status"] = status
    if stored:
        params["stored"] = True
    if collapsed:
        params["collapsed"] = True
    if detail:
        params["detail"] = http_sf.Token(detail)
    return _line(name, params)


def _line(name: str, params: dict[str, http_sf.types.BareItemType]) -> bytes:
    return b"Cache-Status: %b\r\n" % http_sf.ser([(http_sf.Token(name), params)]).encode("ascii")
