"""Connections to nodes that come up while the event loop is late."""

from __future__ import annotations

import asyncio
import time

import pytest

from magpiefront.interface import Outcome
from magpiefront.net.node_connection import NodeConnection
from tests.sockets import Client, request, run, running_proxy, until

CONNECT_TIMEOUT_S = 0.2  # of PROXY_SETTINGS


def delay_connection_made(monkeypatch: pytest.MonkeyPatch, before_s: float = 0, after_s: float = 0) -> None:
    """Blocks the event loop right before or after a connection to a node is made."""
    connection_made = NodeConnection.connection_made

    def delayed(self: NodeConnection, transport: asyncio.BaseTransport) -> None:
        time.sleep(before_s)
        connection_made(self, transport)
        time.sleep(after_s)

    monkeypatch.setattr(NodeConnection, "connection_made", delayed)


@pytest.mark.parametrize("kind", ["read", "once"])
def test_a_request_on_a_connection_that_was_made_in_time_is_not_cut_by_the_connect_timeout(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    delay_connection_made(monkeypatch, after_s=CONNECT_TIMEOUT_S + 0.05)

    async def main() -> None:
        async with running_proxy(None) as w:
            assert (await w.ask(kind=kind)).status == 200
            assert w.outcomes() == [Outcome.OK] and len(w.seen()) == 1

    run(main())


def test_connections_that_come_up_when_their_request_has_ended_free_their_place(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    delay_connection_made(monkeypatch, before_s=0.1)

    async def main() -> None:
        async with running_proxy(None) as w:
            clients: list[Client] = [await w.client() for _ in range(30)]
            for client in clients:
                client.send(request(deadline="0.3"))
            await until(lambda: len(w.outcomes()) >= 20)
            for client in clients:
                client.writer.close()
            await until(lambda: not w.front.clients and not w.proxy.requests)
            await until(lambda: w.proxy.pool.open == len(w.proxy.pool.idle), "the close of the others")

    run(main())
