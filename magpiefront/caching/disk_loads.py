"""Combines concurrent loads of a key from the disk tier into one."""

from __future__ import annotations

from collections.abc import Callable

from magpiefront.caching.disk import Disk
from magpiefront.caching.rules import StoredResponse
from magpiefront.net.request import Request


class DiskLoads:
    """Loads each key once for all requests that ask for it while the load is in progress.

    `Disk.load` has a timeout, so the deadlines of the waiting requests need no timers here.
    """

    def __init__(
        self, disk: Disk, on_loaded: Callable[[bytes, bytes, tuple[StoredResponse, ...]], None],
        resume: Callable[[Request, bytes, int], None],
    ) -> None:  # fmt: skip
        """Calls `on_loaded` with what was found, then `resume` with each waiting request and its `tries`."""
        self.disk, self.on_loaded, self.resume = disk, on_loaded, resume
        self.waiting: dict[bytes, dict[Request, int]] = {}

    def load(self, r: Request, key: bytes, gauge: bytes, tries: int) -> None:
        """Loads the key, or joins the load in progress. `tries` is passed on to `resume`."""
        waiting = self.waiting.get(key)
        if waiting is not None:
            waiting[r] = tries
            return
        self.waiting[key] = {r: tries}

        def loaded(found: tuple[StoredResponse, ...]) -> None:
            requests = self.waiting.pop(key, {})
            self.on_loaded(key, gauge, found)
            for request, request_tries in requests.items():
                self.resume(request, key, request_tries)

        self.disk.load(key, loaded)

    def client_left(self, r: Request) -> None:
        """Removes a request from the load that it waits for, if there is one."""
        for requests in self.waiting.values():
            requests.pop(r, None)
