"""A cache node that reads through: keeps what it fetched from its site's archive, passes reports on to it."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from random import Random

from standins import http
from standins.archive import Archive


class Node(http.Server):
    """Answers as the protocol has it: `Srv-Cache` on reads, 503 with `Srv-Declined: 1` when it is full."""

    def __init__(
        self, name: str, archive: Archive, seed: int, most: int = 5_000, slots: int = 64, ttl_s: float = 20.0,
        time_s: float = 0.001, errors: float = 0.0, slow_share: float = 0.0, slow_s: float = 0.1,
    ) -> None:  # fmt: skip
        super().__init__()
        self.name, self.archive, self.random = name, archive, Random(seed)
        self.most, self.slots, self.ttl_s, self.time_s, self.errors = most, slots, ttl_s, time_s, errors
        self.slow_share, self.slow_s = slow_share, slow_s  # a part of the requests takes longer
        self.kept: OrderedDict[str, tuple[float, str]] = OrderedDict()
        self.fetching: dict[str, asyncio.Task[str]] = {}
        self.busy = self.served = 0
        self.ids: list[str] = []

    def entry(self) -> dict[str, object]:
        return {"instanceId": self.name, "hostPort": f"127.0.0.1:{self.port}", "lifecycle": "Ready"}

    async def reply(self, m: http.Message) -> bytes:
        method, target, _ = m.start.split(" ")
        if target.startswith("/health"):
            return http.answer(200)
        key, name = target.partition("?")[0].rpartition("/")[2], m.headers.get("req-id", "")
        if not name:
            return http.answer(404)
        if self.busy >= self.slots:
            return http.answer(503, more="Srv-Declined: 1\r\n")
        self.busy += 1
        try:
            await asyncio.sleep(self.time_s * self.random.uniform(0.5, 2))
            if self.slow_share and self.random.random() < self.slow_share:
                await asyncio.sleep(self.slow_s)
            if self.errors and self.random.random() < self.errors:
                return http.answer(500)
            self.served += 1
            self.ids.append(name)
            if method == "PUT":
                self.kept.pop(key, None)
                value = await self.archive.write(key, m.headers.get("idempotency-key"), name)
                return http.answer(200, f"{value}/{name}".encode())
            value, how = await self._read(key)
            size = int(key.rpartition("~")[2]) if "~" in key else 0  # a key "name~500000" has a long value
            return http.answer(200, f"{value}/{name}".encode().ljust(size, b"."), f"Srv-Cache: {how}\r\n")
        finally:
            self.busy -= 1

    async def _read(self, key: str) -> tuple[str, str]:
        now = asyncio.get_running_loop().time()
        found = self.kept.get(key)
        if found is not None and now - found[0] < self.ttl_s:
            self.kept.move_to_end(key)
            return found[1], "hit"
        fetch = self.fetching.get(key)
        if fetch is not None:
            return await asyncio.shield(fetch), "pending"
        fetch = self.fetching[key] = asyncio.create_task(self.archive.read(key))
        try:
            value = await fetch
        finally:
            del self.fetching[key]
        self.kept[key] = now, value
        while len(self.kept) > self.most:
            self.kept.popitem(last=False)
        return value, "miss"
