"""Which requests may not be sent again: the ids of requests that have run or may still run.

A client that has left, or was told that its request failed, may send the same id again, while a cache node
still works on it. Requests of safe classes may run twice, so that their ids are not kept. An id may be used
again once its request was served and the client has seen that. No I/O and no clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TypeGuard

from magpiefront.hashing import blake2b
from magpiefront.interface import Repeat, RequestClass

MIN_MEMORY_US = 10_000_000  # how long an id is kept at least: clients come back some seconds after a failure
IDS_PER_MB = 100  # of the process's memory limit; an id takes some 200 bytes
MAX_KEY_BYTES = 64  # of an id as it is kept; a longer one is kept as its hash


def must_run_once(cls: RequestClass | None) -> TypeGuard[RequestClass]:
    """Whether there is a class, and its requests must not run twice."""
    return cls is not None and cls.repeat is not Repeat.SAFE


def memory_us(cls: RequestClass) -> int:
    """How long after its end the id of a request is kept, in microseconds: for as long as its client may wait
    in all, and as the nodes' record of keys lasts."""
    return max(MIN_MEMORY_US, cls.deadline_us, cls.window_us)


def key_of(name: bytes) -> bytes:
    """The id as it is kept: itself, or its hash if it is long. The key of a key is the key itself."""
    return name if len(name) <= MAX_KEY_BYTES else b"#" + blake2b(name, digest_size=24).digest()


@dataclass(frozen=True, slots=True)
class OnceRequest:
    """A request that must run once and has run, by its id and class."""

    name: bytes
    cls: RequestClass


class RequestIds:
    """The ids of ended requests that may have run, each until its time is over. Times are microseconds."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._until: dict[bytes, int] = {}
        self._order: deque[tuple[int, bytes]] = deque()  # in the order in which they were added

    def remember(self, name: bytes, until_us: int) -> None:
        """Keeps an id up to this time, or as long as it is kept already if that is longer."""
        name = key_of(name)
        known_until = self._until.get(name)
        if known_until is None or until_us > known_until:
            self._until[name] = until_us
            self._order.append((until_us, name))

    def knows(self, name: bytes, now_us: int) -> bool:
        """Whether a request with this id may have run."""
        until_us = self._until.get(key_of(name))
        return until_us is not None and until_us > now_us

    def is_full(self, now_us: int) -> bool:
        """Whether there is no room for another id. Then a request that must run once can't be accepted."""
        order = self._order
        while order and order[0][0] <= now_us:
            until_us, name = order.popleft()
            if self._until.get(name) == until_us:
                del self._until[name]
        return len(order) >= self.limit

    def __len__(self) -> int:
        return len(self._until)

    def snapshot(self, now_us: int) -> list[tuple[str, int]]:
        """The ids, each with the time for which it is still kept."""
        return [
            (name.decode("latin-1"), until_us - now_us)
            for name, until_us in self._until.items()
            if until_us > now_us
        ]
