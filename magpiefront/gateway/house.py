"""What the gateway needs of the program round it, and what a request's class means to it."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Protocol

from magpiefront.interface import Repeat, RequestClass


class House(Protocol):
    loop: asyncio.AbstractEventLoop

    def now_us(self) -> int: ...
    def log(self, text: str) -> None: ...


class Host(House, Protocol):
    """One that knows the settings of requests, too."""

    @property
    def classes(self) -> Mapping[bytes, RequestClass]: ...

    @property
    def most_retry_after_us(self) -> int:
        """0 where answers may not say when to come again."""


def repeat_of(cls: RequestClass | None, headers: Mapping[bytes, bytes]) -> Repeat:
    """May it run again? A keyed one that comes without its key is unsafe: nobody could tell that it comes
    again. So is one whose class is gone."""
    if cls is None or (cls.repeat is Repeat.KEYED and b"idempotency-key" not in headers):
        return Repeat.UNSAFE
    return cls.repeat
