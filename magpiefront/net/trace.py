"""A line on standard error for each thing that decisions hear and say, and for each connection to a node.

On only where `LB_TRACE` is set; otherwise nothing of it is loaded. The lines are read by
`benchmarks/fleet_counts.py`, over all proxies of a fleet. Each begins with `#` and a letter:

    a request class key rank left fetches     s request attempt server marks in_flight
    e request attempt server outcome elapsed note     x request refuse|fail gate|end
    l kind entries     w (a call)     p server     r server outcome elapsed     n text
    c server ok|failed elapsed open     d server open     g (the Router's state, once a second)
    b request attempt server connection new|idle rested answers

`b` is a message that is written to a connection: how long that has rested, and how many answers it has
carried. The attempt's end is its `e`. Times are microseconds. Marks of a send: `w` warm or `c` cold, `t` a
trial, `2` a second copy.
What is refused on arrival has `-` for its rank and for whether it fetches.
"""

from __future__ import annotations

import sys

from magpiefront.hashing import rank
from magpiefront.interface import (
    Action, Arrived, AttemptEnded, Event, Fail, Note, Probe, Probed, Refuse, Send, ServerList, Watch,
)  # fmt: skip
from magpiefront.net.exchange import Attempt, Exchange
from magpiefront.net.node_connection import NodeConnection
from magpiefront.net.pool import Node
from magpiefront.net.proxy import Proxy

STATE_S = 1.0


class TracedNode(Node):
    __slots__ = ()

    async def _connect(self, connection: NodeConnection, exchange: Exchange) -> None:
        began = self.pool.loop.time()
        await super()._connect(connection, exchange)
        word = "ok" if connection.transport is not None else "failed"
        elapsed = int((self.pool.loop.time() - began) * 1e6)
        line(f"c {self.name} {word} {elapsed} {self.open}")

    def lost(self, connection: NodeConnection) -> None:
        super().lost(connection)
        if connection.transport is not None:  # one that never came up is told of as a failed connect
            line(f"d {self.name} {self.open}")


class TracedConnection(NodeConnection):
    __slots__ = ()

    def start(self, exchange: Exchange, looked_at: float | None = None) -> None:
        life, rested_us = self.life, 0
        if life.used:
            rested_us = int((self.node.clock() - life.answered_at) * 1e6)
        was = "idle" if life.used else "new"
        line(f"b {name_of(exchange)} {self.node.name} {self.number} {was} {rested_us} {life.answers}")
        super().start(exchange, looked_at)


def name_of(exchange: Exchange) -> str:
    if isinstance(exchange, Attempt):
        return f"{exchange.request.name} {exchange.number}"
    return "probe -"


def line(text: str) -> None:
    print("#", text, file=sys.stderr)


def install(proxy: Proxy) -> None:
    """From here on, this proxy's decisions and connections are told."""
    proxy.pool.node_type = type("Node", (TracedNode, proxy.pool.node_type), {"__slots__": ()})
    base = proxy.pool.connection_type
    proxy.pool.connection_type = type("Connection", (TracedConnection, base), {"__slots__": ()})
    router = proxy.router
    handle = router.handle

    def traced(now_us: int, event: Event) -> list[Action]:
        before(event)
        actions = handle(now_us, event)
        for action in actions:
            after(event, action, now_us)
        return actions

    def before(event: Event) -> None:
        match event:
            case AttemptEnded():
                line(
                    f"e {event.request} {event.attempt} {event.server} {event.outcome.value} "
                    f"{event.elapsed_us} {event.note}"
                )
            case ServerList():
                line(f"l {event.kind.value} {len(event.entries)}")
            case Probed():
                line(f"r {event.server} {event.outcome.value} {event.elapsed_us}")

    def after(event: Event, action: Action, now_us: int) -> None:
        if isinstance(event, Arrived) and action is router.act[0]:
            p = router.pending.get(event.request)
            fetches = "f" if p is not None and p.fetches else "-"
            where = f"{rank(p.key):.4f}" if p is not None else "-"
            line(f"a {event.request} {event.class_name} {event.key} {where} {event.time_left_us} {fetches}")
        match action:
            case Send():
                p = router.pending[action.request]
                s = p.attempts[-1].server
                marks = (
                    ("c" if s.warm_at > now_us else "w")
                    + ("t" if s.trial else "")
                    + ("2" if p.out > 1 else "")
                )
                line(f"s {action.request} {len(p.attempts) - 1} {s.name} {marks} {s.in_flight}")
            case Refuse() | Fail():
                word = "refuse" if isinstance(action, Refuse) else "fail"
                why = "gate" if isinstance(event, Arrived) else "end"
                line(f"x {action.request} {word} {why}")
            case Probe():
                line(f"p {action.server}")
            case Watch():
                line("w")
            case Note():
                line(f"n {action.text}")

    def state() -> None:
        work, fetch = router.work, router.fetch
        line(
            f"g {work.share:.3f} {work.bad:.3f} {fetch.share:.3f} {fetch.bad:.3f} {router.trouble:.3f}"
            f" {router.budget:.2f} {router.suspects} {router.in_flight} "
            f"{proxy.pool.open} {len(proxy.pool.idle)} {len(router.servers)}"
        )
        sys.stderr.flush()
        proxy.loop.call_later(STATE_S, state)

    router.handle = traced  # type: ignore[method-assign]
    state()
