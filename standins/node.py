"""A stand-in for a read-through cache node: caches reads from the archive, and forwards reports to it."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from random import Random

from standins import http
from standins.archive import Archive


class Node(http.Server):
    """Answers as the nodes' protocol requires: with `Srv-Cache` on reads, and with 503 and `Srv-Declined: 1`
    while `slots` requests are open. A share `error_share` of the requests fails with 500, and a share
    `slow_share` takes `slow_s` longer. Entries expire after `ttl_s`; the least recently used are evicted."""

    def __init__(
        self, name: str, archive: Archive, seed: int, max_entries: int = 5_000, slots: int = 64,
        ttl_s: float = 20.0, service_time_s: float = 0.001, error_share: float = 0.0, slow_share: float = 0.0,
        slow_s: float = 0.1,
    ) -> None:  # fmt: skip
        super().__init__()
        self.name, self.archive, self.random = name, archive, Random(seed)
        self.max_entries, self.slots, self.ttl_s, self.service_time_s, self.error_share = (
            max_entries, slots, ttl_s, service_time_s, error_share,
        )  # fmt: skip
        self.slow_share, self.slow_s = slow_share, slow_s
        self.cache: OrderedDict[str, tuple[float, str]] = OrderedDict()
        self.open_fetches: dict[str, asyncio.Task[str]] = {}
        self.busy = self.served = 0
        self.request_ids: list[str] = []

    def entry(self) -> dict[str, object]:
        """Returns the node's entry in the list of discovery."""
        return {"instanceId": self.name, "hostPort": f"127.0.0.1:{self.port}", "lifecycle": "Ready"}

    async def reply(self, message: http.Message) -> bytes:
        method, target, _ = message.start.split(" ")
        if target.startswith("/health"):
            return http.response(200)
        key, request_id = target.partition("?")[0].rpartition("/")[2], message.headers.get("req-id", "")
        if not request_id:
            return http.response(404)
        if self.busy >= self.slots:
            return http.response(503, extra_headers="Srv-Declined: 1\r\n")
        self.busy += 1
        try:
            await asyncio.sleep(self.service_time_s * self.random.uniform(0.5, 2))
            if self.slow_share and self.random.random() < self.slow_share:
                await asyncio.sleep(self.slow_s)
            if self.error_share and self.random.random() < self.error_share:
                return http.response(500)
            self.served += 1
            self.request_ids.append(request_id)
            if method == "PUT":
                self.cache.pop(key, None)
                value = await self.archive.write(key, message.headers.get("idempotency-key"), request_id)
                return http.response(200, f"{value}/{request_id}".encode())
            value, cache_status = await self._read(key)
            # The answer for a key "name~500000" is padded to 500,000 bytes.
            size = int(key.rpartition("~")[2]) if "~" in key else 0
            return http.response(
                200, f"{value}/{request_id}".encode().ljust(size, b"."), f"Srv-Cache: {cache_status}\r\n"
            )
        finally:
            self.busy -= 1

    async def _read(self, key: str) -> tuple[str, str]:
        """Returns the value of a key and its cache status. Concurrent misses share one fetch."""
        now = asyncio.get_running_loop().time()
        cached = self.cache.get(key)
        if cached is not None and now - cached[0] < self.ttl_s:
            self.cache.move_to_end(key)
            return cached[1], "hit"
        fetch = self.open_fetches.get(key)
        if fetch is not None:
            return await asyncio.shield(fetch), "pending"
        fetch = self.open_fetches[key] = asyncio.create_task(self.archive.read(key))
        try:
            value = await fetch
        finally:
            del self.open_fetches[key]
        self.cache[key] = now, value
        while len(self.cache) > self.max_entries:
            self.cache.popitem(last=False)
        return value, "miss"
