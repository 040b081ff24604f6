"""What the cache needs of the program round it."""

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

    @property
    def classes(self) -> Mapping[bytes, RequestClass]: ...
