"""A proxy with caching in the test's own loop, over loopback sockets, in front of one server."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from typing import Any

from magpiefront.caching.settings import CachingSettings
from magpiefront.caching.stage import CachingStage
from magpiefront.net import config
from magpiefront.net.bodies import Bodies
from magpiefront.net.discovery import Discovery
from magpiefront.net.front import Front
from magpiefront.net.passing import Clients, PassingProxy, prepare
from tests.sockets import INFO

GRADES = [
    {"name": "level-read", "repeat": "read_like", "sloUs": 2_000_000, "giveUpUs": 9_000_000,
     "lateValue": 0.2},
    {"name": "field-report", "repeat": "idempotency_key", "group": "all", "keyTtlUs": 150_000,
     "sloUs": 2_000_000, "giveUpUs": 9_000_000, "lateValue": 0.2},
]  # fmt: skip


@dataclass
class Cached:
    proxy: PassingProxy
    stage: CachingStage
    front: Front
    port: int


@asynccontextmanager
async def cached(
    origin: int,
    settings: CachingSettings | None = None,
    wall: Any = None,
    attempts: int = 1,
    count: int = 16,
    **permissions: Any,
) -> AsyncIterator[Cached]:
    """`origin`: the port of the server behind, which discovery knows in several places."""
    loop = asyncio.get_running_loop()
    settings = settings or CachingSettings(plain_servers=True)
    settings = replace(settings, clients=replace(settings.clients, plain=settings.plain_servers))
    place = f"127.0.0.1:{origin}"
    places = [{"instanceId": f"s-{i}", "hostPort": place, "lifecycle": "Ready"} for i in range(count)]
    allowed = {**INFO["permissions"], "maxAttempts": attempts, "probes": False, "connectTimeoutUs": 2_000_000,
               "retryAfter": True, "maxRetryAfterUs": 500_000, **permissions}  # fmt: skip
    given = {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "ab",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": 1, "reset": True, "instances": places},
        "settings": {**INFO, "grades": GRADES, "permissions": allowed},
    }  # fmt: skip
    read = config.read(given, {})
    proxy = PassingProxy(read, loop, settings.plain_servers)
    more = {"wall": wall} if wall is not None else {}
    stage = CachingStage(proxy, proxy, settings, **more)
    proxy.on_doubt = stage.doubted
    front = Front(proxy, stage, Bodies(50 << 20), 500)
    prepare(front, settings.clients)
    discovery = Discovery(proxy, read.discovery, 1)
    discovery.start(read.known)
    front.listen("127.0.0.1", 0)
    assert front.socket is not None
    try:
        yield Cached(proxy, stage, front, front.socket.getsockname()[1])
    finally:
        discovery.stop()
        front.stop_accepting()
        for client in list(front.clients):
            if client.transport is not None:
                client.transport.abort()


__all__ = ["Cached", "Clients", "cached"]
