"""What a request's class means to the gateway."""

from __future__ import annotations

from collections.abc import Mapping

from magpiefront.interface import Repeat, RequestClass


def repeat_of(cls: RequestClass | None, headers: Mapping[bytes, bytes]) -> Repeat:
    """May it run again? A keyed one that comes without its key is unsafe: nobody could tell that it comes
    again. So is one whose class is gone."""
    if cls is None or (cls.repeat is Repeat.KEYED and b"idempotency-key" not in headers):
        return Repeat.UNSAFE
    return cls.repeat
