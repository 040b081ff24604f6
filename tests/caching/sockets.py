"""A caching proxy in the event loop of the test, over loopback sockets, in front of one server."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from typing import Any

from magpiefront.caching.settings import CachingSettings
from magpiefront.caching.stage import CachingStage
from magpiefront.net import config
from magpiefront.net.client_memory import ClientMemory
from magpiefront.net.discovery import Discovery
from magpiefront.net.front import Front
from magpiefront.net.passing import ClientSettings, PassingProxy, forward_fields
from tests.sockets import PROXY_SETTINGS

GRADES = [
    {"name": "level-read", "repeat": "read_like", "sloUs": 2_000_000, "giveUpUs": 9_000_000,
     "lateValue": 0.2},
    {"name": "field-report", "repeat": "idempotency_key", "group": "all", "keyTtlUs": 150_000,
     "sloUs": 2_000_000, "giveUpUs": 9_000_000, "lateValue": 0.2},
]  # fmt: skip


@dataclass
class CachingProxy:
    proxy: PassingProxy
    stage: CachingStage
    front: Front
    port: int


@asynccontextmanager
async def caching_proxy(
    origin_port: int,
    settings: CachingSettings | None = None,
    wall: Any = None,
    attempts: int = 1,
    instance_count: int = 16,
    extra_grades: Sequence[dict[str, Any]] = (),
    **permissions: Any,
) -> AsyncIterator[CachingProxy]:
    """Starts a proxy for the server at `origin_port`, which discovery lists `instance_count` times.
    `extra_grades` are further request classes."""
    loop = asyncio.get_running_loop()
    settings = settings or CachingSettings(plain_servers=True)
    settings = replace(settings, clients=replace(settings.clients, plain=settings.plain_servers))
    address = f"127.0.0.1:{origin_port}"
    instances = [
        {"instanceId": f"s-{i}", "hostPort": address, "lifecycle": "Ready"} for i in range(instance_count)
    ]
    all_permissions = {**PROXY_SETTINGS["permissions"], "maxAttempts": attempts, "probes": False,
               "connectTimeoutUs": 2_000_000,
               "retryAfter": True, "maxRetryAfterUs": 500_000, **permissions}  # fmt: skip
    document = {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "ab",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": 1, "reset": True, "instances": instances},
        "settings": {**PROXY_SETTINGS, "grades": [*GRADES, *extra_grades], "permissions": all_permissions},
    }  # fmt: skip
    conf = config.read(document, {})
    proxy = PassingProxy(conf, loop, settings.plain_servers)
    stage_options = {"wall": wall} if wall is not None else {}
    stage = CachingStage(proxy, proxy, settings, **stage_options)
    proxy.on_unsolicited_answer = stage.invalidate_target
    front = Front(proxy, stage, ClientMemory(50 << 20), 500)
    forward_fields(front, settings.clients)
    discovery = Discovery(proxy, conf.discovery, 1)
    discovery.start(conf.initial_list)
    front.listen("127.0.0.1", 0)
    assert front.socket is not None
    try:
        yield CachingProxy(proxy, stage, front, front.socket.getsockname()[1])
    finally:
        discovery.stop()
        front.stop_accepting()
        for client in list(front.clients):
            if client.transport is not None:
                client.transport.abort()


__all__ = ["CachingProxy", "ClientSettings", "caching_proxy"]
