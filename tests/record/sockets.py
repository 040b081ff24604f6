"""A proxy with a store of record in the event loop of the test, over loopback sockets."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from magpiefront.repeat_limits import NO_GROUP, ServerGroup
from magpiefront.interface import Outcome
from magpiefront.net import config
from magpiefront.net.client_memory import ClientMemory
from magpiefront.net.discovery import Discovery
from magpiefront.net.front import Front
from magpiefront.net.proxy import Proxy
from magpiefront.net.guarded_attempt import GuardedAttempt
from magpiefront.record.rows import Row
from magpiefront.record.postgres import PostgresStore
from magpiefront.record.settings import PostgresSettings, RecordSettings, SqliteSettings
from magpiefront.record.sqlite import SqliteStore, open_file, rows
from magpiefront.record.rows import boot_id
from magpiefront.record.stage import RecordStage
from magpiefront.takeover.store import GroupStore
from standins.pgserver import PgServer
from tests.sockets import PROXY_SETTINGS, Answer, Client, Handler, Node

GRADES = [
    {"name": "level-read", "repeat": "read_like", "sloUs": 2_000_000, "giveUpUs": 9_000_000,
     "lateValue": 0.2},
    {"name": "field-report", "repeat": "idempotency_key", "group": "all", "keyTtlUs": 30_000_000,
     "sloUs": 2_000_000, "giveUpUs": 9_000_000, "lateValue": 0.2},
]  # fmt: skip
request_count = 0


def report(
    key: str | None = "k1", body: bytes = b"level=3.2", deadline_s: str = "8", tenant: str = "members",
    target: str = "/api/g1", kind: str = "field-report", method: str = "PUT",
) -> bytes:  # fmt: skip
    """Returns a request with a new id, whose deadline is in `deadline_s` seconds. Without `key` it has no
    idempotency key."""
    global request_count
    request_count += 1
    key_line = f"Idempotency-Key: {key}\r\n" if key is not None else ""
    return (
        f"{method} {target} HTTP/1.1\r\nHost: x\r\nReq-Id: r{request_count}\r\nReq-Kind: {kind}\r\n"
        f"Req-Owner: {tenant}\r\nReq-Deadline: {deadline_s}\r\n{key_line}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


@dataclass
class FakeAttempt:
    """An attempt as an `ExecutionTracker` records it."""

    outcome: Outcome | None
    sent_at: int = 0
    place: str = "s"
    group: ServerGroup = NO_GROUP


@dataclass
class RecordingProxy:
    """The proxy, its stage and store, and the node behind it. `path` is the file of the SQLite store."""

    proxy: Proxy
    stage: RecordStage
    store: Any
    node: Node
    port: int
    path: Path

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    async def ask(self, *args: Any, **options: Any) -> Answer:
        client = await self.client()
        client.send(report(*args, **options))
        answer = await client.answer()
        client.writer.close()
        return answer

    def rows(self) -> list[Row]:
        db = open_file(self.path)
        try:
            return list(rows(db))
        finally:
            db.close()


@asynccontextmanager
async def recording_proxy(
    path: Path,
    handler: Handler | None = None,
    attempts: int = 1,
    node: Node | None = None,
    pg: PgServer | None = None,
    nodes: int = 1,
    group_store: Callable[[Proxy], GroupStore] | None = None,
    zones: Sequence[str] = ("",),
    grades: Sequence[dict[str, Any]] = GRADES,
    **record_settings: Any,
) -> AsyncIterator[RecordingProxy]:
    """Starts a proxy with an SQLite store at `path`, a PostgreSQL store on `pg` or the store of a group, and
    with a new node unless one is given. With `nodes` there are as many, with one handler and one list of
    requests, in the `zones` in turn. `record_settings` are further fields of `RecordSettings`."""
    loop = asyncio.get_running_loop()
    owns_node = node is None
    node = node or Node("s", handler)
    if owns_node:
        await node.start()
    more_nodes = [Node(f"s{i}", handler) for i in range(1, nodes)]
    for other in more_nodes:
        other.seen = node.seen
        await other.start()
    listed = [node, *more_nodes] if more_nodes else [node] * 8
    instances = [
        {
            "instanceId": f"s-{i}",
            "hostPort": f"127.0.0.1:{n.port}",
            "lifecycle": "Ready",
            "zone": zones[i % len(zones)],
        }
        for i, n in enumerate(listed)
    ]
    permissions = {**PROXY_SETTINGS["permissions"], "maxAttempts": attempts, "probes": False,
               "connectTimeoutUs": 2_000_000,
               "retryAfter": True, "maxRetryAfterUs": 500_000}  # fmt: skip
    read = config.read({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "ab",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": 1, "reset": True, "instances": instances},
        "settings": {**PROXY_SETTINGS, "grades": list(grades), "permissions": permissions},
    }, {})  # fmt: skip
    proxy = Proxy(read, loop)
    proxy.attempt_type = GuardedAttempt
    settings = replace(RecordSettings(SqliteSettings(path)), **record_settings)
    store: SqliteStore | PostgresStore | GroupStore
    if group_store is not None:
        store = group_store(proxy)
        store.start()
    elif pg is None:
        store = SqliteStore(proxy, SqliteSettings(path), settings.most_waiting)
        store.start()
    else:
        postgres_settings = PostgresSettings(pg.dsn, connections=2, connect_timeout_us=5_000_000)
        store = PostgresStore(proxy, postgres_settings, settings.most_waiting, boot_id())
        await store.start()
    stage = RecordStage(proxy, proxy, settings, store)
    front = Front(proxy, stage, ClientMemory(50 << 20), 500)
    discovery = Discovery(proxy, read.discovery, 1)
    discovery.listing.apply(read.initial_list, stale=True)
    front.listen("127.0.0.1", 0)
    assert front.socket is not None
    try:
        yield RecordingProxy(proxy, stage, store, node, front.socket.getsockname()[1], path)
    finally:
        front.stop_accepting()
        for client in list(front.clients):
            if client.transport is not None:
                client.transport.abort()
        if isinstance(store, PostgresStore):
            store.stop()
            await asyncio.gather(*store.workers, return_exceptions=True)
        elif isinstance(store, GroupStore):
            store.stop()
        else:
            await asyncio.to_thread(store.stop)
        for other in more_nodes:
            other.stop()
        if owns_node:
            node.stop()
