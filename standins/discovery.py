"""A stand-in for discovery: a list of instances, and long polls that wait for a newer generation of it."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from standins import http


class Discovery(http.Server):
    """Serves the list as the discovery protocol requires: `after` in a query is the last generation that the
    client has, and `wait_ms` how long to wait for a newer one."""

    def __init__(self) -> None:
        super().__init__()
        self.generation = 0
        self.instances: list[dict[str, Any]] = []
        self.changed = asyncio.Event()

    def set(self, instances: list[dict[str, Any]]) -> None:
        """Replaces the list, which starts a new generation, and wakes the waiting polls."""
        self.generation, self.instances = self.generation + 1, instances
        self.changed.set()
        self.changed = asyncio.Event()

    def snapshot(self) -> dict[str, Any]:
        """Returns the full list, in the form of an answer."""
        return {"generation": self.generation, "reset": True, "instances": self.instances}

    async def reply(self, message: http.Message) -> bytes:
        query = parse_qs(urlsplit(message.start.split(" ")[1]).query)
        known_generation, wait_s = (
            int(query.get("after", ["-1"])[0]),
            int(query.get("wait_ms", ["0"])[0]) / 1000,
        )
        answer = self.snapshot()
        if known_generation >= self.generation:
            try:
                await asyncio.wait_for(self.changed.wait(), wait_s)
                answer = self.snapshot()
            except TimeoutError:
                answer = {"generation": self.generation, "reset": False, "instances": []}
        return http.response(200, json.dumps(answer).encode())
