"""Who waits for a look into the second tier."""

from __future__ import annotations

from collections.abc import Callable

from magpiefront.caching.disk import Disk
from magpiefront.caching.rules import Stored
from magpiefront.net.request import Request


class Loads:
    """One look for all that ask for a key meanwhile. `Disk.load` ends it in time, so nobody's own time is
    watched here."""

    def __init__(
        self, disk: Disk, keep: Callable[[bytes, bytes, tuple[Stored, ...]], None],
        go_on: Callable[[Request, bytes, int], None],
    ) -> None:  # fmt: skip
        """`keep` is told of what was found, then `go_on` of each request that waited and its tries."""
        self.disk, self.keep, self.go_on = disk, keep, go_on
        self.waiting: dict[bytes, dict[Request, int]] = {}

    def take(self, r: Request, key: bytes, gauge: bytes, tries: int) -> None:
        others = self.waiting.get(key)
        if others is not None:
            others[r] = tries
            return
        self.waiting[key] = {r: tries}

        def loaded(found: tuple[Stored, ...]) -> None:
            requests = self.waiting.pop(key, {})
            self.keep(key, gauge, found)
            for request, its_tries in requests.items():
                self.go_on(request, key, its_tries)

        self.disk.load(key, loaded)

    def client_left(self, r: Request) -> None:
        for requests in self.waiting.values():
            requests.pop(r, None)
