"""What stages and stores need from the process that they run in: event loop, clock, log and settings."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Protocol

from magpiefront.interface import RequestClass
from magpiefront.net.deadlines import Deadlines


class Runtime(Protocol):
    """Event loop, clock and log."""

    loop: asyncio.AbstractEventLoop

    def now_us(self) -> int:
        """Microseconds of a monotonic clock."""

    def log(self, text: str) -> None:
        """Writes a line to the log."""


class RuntimeWithClasses(Runtime, Protocol):
    """A runtime that also knows the request classes, and the deadlines of the requests that clients wait
    for."""

    deadlines: Deadlines

    @property
    def classes(self) -> Mapping[bytes, RequestClass]:
        """The request classes by name."""


class StageRuntime(RuntimeWithClasses, Protocol):
    """A runtime that also knows the limit of `Retry-After`."""

    @property
    def max_retry_after_us(self) -> int:
        """The longest `Retry-After` that an answer may give, in microseconds; 0: answers give none."""
