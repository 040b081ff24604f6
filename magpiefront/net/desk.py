"""Answers the operators' calls from the host of the decisions."""

from __future__ import annotations

from collections.abc import Callable

from magpiefront.net.front import Front
from magpiefront.net.proxy import Proxy


class Desk:
    def __init__(self, proxy: Proxy, front: Front) -> None:
        self.proxy, self.front = proxy, front
        self.more: Callable[[], str] = str  # lines of figures that a stage adds
        self.call: Callable[[str, bool], bool] = proxy.by_hand  # carries an operator's call out
        self.on_by_hand: Callable[[str, bool], None] = lambda server, out: None  # hears what was accepted

    def ready(self) -> str:
        if self.front.stopping:
            return "it is ending"
        return "" if self.front.socket is not None else "it does not listen yet"

    def show_stat(self) -> str:
        router = self.proxy.router
        proxy = self.proxy
        age_ms = (proxy.now_us() - proxy.list_taken_at) // 1000 if proxy.list_taken_at else -1
        loop = proxy.figures.loop_text(int(proxy.lag.longest_s * 1000), age_ms)
        connections = proxy.pool.figures.text()
        return proxy.figures.text(len(router.listed), router.avoided) + loop + connections + self.more()

    def by_hand(self, server: str, out: bool) -> bool:
        done = self.call(server, out)
        if done:
            self.on_by_hand(server, out)
        return done
