"""Executes the commands of the admin address on the proxy of this process."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from magpiefront.net.front import Front
from magpiefront.net.proxy import Proxy


class Override(Protocol):
    """Disables (`out`) or enables a cache node at an operator's command; False if there is no node with that
    id. `known`: another process of this proxy knows the node, even if this one does not."""

    def __call__(self, server: str, out: bool, known: bool = False) -> bool: ...


class AdminCommands:
    """The command handler of a proxy, see `CommandHandler` in `net/admin.py`."""

    def __init__(self, proxy: Proxy, front: Front) -> None:
        self.proxy, self.front = proxy, front
        self.extra_metrics: Callable[[], str] = str  # the metric lines of optional stages
        self.memory_metrics: Callable[[], str] = str  # the metric lines of the process's memory
        self.apply_override: Override = proxy.override
        # Called with a node's id and whether it is disabled, after each command that was carried out.
        self.on_override: Callable[[str, bool], None] = lambda server, out: None

    def ready(self) -> str:
        """Why the process can't serve; empty if it can."""
        if self.front.stopping:
            return "it is ending"
        return "" if self.front.socket is not None else "it does not listen yet"

    def show_stat(self) -> str:
        """All metrics, one a line. The age of the server list is -1 if discovery has sent none yet."""
        router = self.proxy.router
        proxy = self.proxy
        age_ms = (proxy.now_us() - proxy.list_received_at) // 1000 if proxy.list_received_at else -1
        loop = proxy.metrics.loop_text(int(proxy.lag.max_lag_s * 1000), age_ms)
        connections = proxy.pool.counters.text()
        return (
            proxy.metrics.text(len(router.listed), router.out_of_service)
            + loop
            + connections
            + self.front.metrics_text()
            + self.memory_metrics()
            + self.extra_metrics()
        )

    def override_server(self, server: str, out: bool) -> bool:
        """Disables the cache node with this id if `out`, else enables it. False if there is no such node."""
        done = self.apply_override(server, out)
        if done:
            self.on_override(server, out)
        return done

    def repeat_override(self, server: str, out: bool) -> None:
        """Carries out a command that the other process of this proxy has carried out."""
        self.apply_override(server, out, True)
