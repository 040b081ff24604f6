"""Discovery as the protocol has it: a list with generations, and watches that wait for what is newer."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from standins import http


class Discovery(http.Server):
    def __init__(self) -> None:
        super().__init__()
        self.generation = 0
        self.instances: list[dict[str, Any]] = []
        self.changed = asyncio.Event()

    def set(self, instances: list[dict[str, Any]]) -> None:
        self.generation, self.instances = self.generation + 1, instances
        self.changed.set()
        self.changed = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        return {"generation": self.generation, "reset": True, "instances": self.instances}

    async def reply(self, m: http.Message) -> bytes:
        query = parse_qs(urlsplit(m.start.split(" ")[1]).query)
        after, wait_s = int(query.get("after", ["-1"])[0]), int(query.get("wait_ms", ["0"])[0]) / 1000
        told = self.whole()
        if after >= self.generation:
            try:
                await asyncio.wait_for(self.changed.wait(), wait_s)
                told = self.whole()
            except TimeoutError:
                told = {"generation": self.generation, "reset": False, "instances": []}
        return http.answer(200, json.dumps(told).encode())
