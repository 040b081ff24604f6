"""What stages and stores need of the program round them."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Protocol

from magpiefront.interface import RequestClass


class House(Protocol):
    loop: asyncio.AbstractEventLoop

    def now_us(self) -> int:
        """Of a clock that only goes forward."""

    def log(self, text: str) -> None: ...


class Classed(House, Protocol):
    """One that knows the classes of requests, too."""

    @property
    def classes(self) -> Mapping[bytes, RequestClass]: ...


class Host(Classed, Protocol):
    """... and what answers may say of when to come again."""

    @property
    def most_retry_after_us(self) -> int:
        """0 where answers may not say when to come again."""
