"""The repeat policy of a request, from its class and its headers."""

from __future__ import annotations

from collections.abc import Mapping

from magpiefront.interface import Repeat, RequestClass


def effective_repeat(cls: RequestClass | None, headers: Mapping[bytes, bytes]) -> Repeat:
    """Returns the repeat policy of a request, which says whether it may run more than once.

    A request of a keyed class without an idempotency key is unsafe, because its repeats could not be
    recognized. So is a request whose class no longer exists (`cls` is None).
    """
    if cls is None or (cls.repeat is Repeat.KEYED and b"idempotency-key" not in headers):
        return Repeat.UNSAFE
    return cls.repeat
