"""Discovery as the protocol has it: a list with generations, and watches that wait for what is newer."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from standins import http


class Discovery:
    def __init__(self) -> None:
        self.generation = 0
        self.instances: list[dict[str, Any]] = []
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.port = 0
        self.writers: dict[asyncio.StreamWriter, None] = {}

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for w in list(self.writers):
            w.transport.abort()

    def set(self, instances: list[dict[str, Any]]) -> None:
        self.generation, self.instances = self.generation + 1, instances
        self.changed.set()
        self.changed = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        return {"generation": self.generation, "reset": True, "instances": self.instances}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers[writer] = None
        try:
            while True:
                query = parse_qs(urlsplit((await http.read(reader)).start.split(" ")[1]).query)
                after, wait_s = int(query.get("after", ["-1"])[0]), int(query.get("wait_ms", ["0"])[0]) / 1000
                told = self.whole()
                if after >= self.generation:
                    try:
                        await asyncio.wait_for(self.changed.wait(), wait_s)
                        told = self.whole()
                    except TimeoutError:
                        told = {"generation": self.generation, "reset": False, "instances": []}
                writer.write(http.answer(200, json.dumps(told).encode()))
        except (OSError, asyncio.IncompleteReadError, http.Bad, http.Cut):
            pass
        finally:
            self.writers.pop(writer, None)
            writer.close()
