"""`Cache-Status` (RFC 9211): what this cache did, in each answer. No I/O."""

from __future__ import annotations

from functools import lru_cache

import http_sf

from magpiefront.caching.rules import Fwd


@lru_cache(8192)
def hit(name: str, ttl_s: int, detail: str = "") -> bytes:
    """The line for an answer from the store; `ttl_s` is below 0 for a stale one (RFC 9211, 2.3)."""
    params: dict[str, http_sf.types.BareItemType] = {"hit": True, "ttl": ttl_s}
    if detail:
        params["detail"] = http_sf.Token(detail)
    return _line(name, params)


@lru_cache(1024)
def forwarded(
    name: str, fwd: Fwd, status: int = 0, stored: bool = False, collapsed: bool = False, detail: str = ""
) -> bytes:
    """The line for one that went on, or would have. `status`: what came back, if that was another one."""
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
