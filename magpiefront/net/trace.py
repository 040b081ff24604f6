"""Writes a line to standard error for each event and action of the Router and each connection to a node.

Only imported if `LB_TRACE` is set; otherwise tracing costs nothing. `benchmarks/fleet_counts.py` reads the
lines of all proxies of a fleet. Each begins with `#` and a letter for its kind:

    a request class key rank left fetches     s request attempt server marks in_flight
    e request attempt server outcome elapsed note     x request refuse|fail gate|end
    l kind entries     w (a call)     p server     r server outcome elapsed     n text
    c server ok|failed elapsed open     d server open     g (the Router's state, once a second)
    b request attempt server connection new|idle rested answers

`a` is a request that arrived. Its `rank` is the key's hash as a number from 0 to 1, and `fetches` is `f` if
the request probably needs a fetch from the origin, else `-`; a request that is refused on arrival has `-` for
both. `s` is an attempt that is sent. Its marks: `w` for a warm node or `c` for a cold one, `t` for a trial,
`2` for a second copy. `b` is a message written to a connection, with the time for which the connection has
rested and the number of answers it has carried. `e` is the end of an attempt; its `note` is the cache result
of the answer. `x` is a request that is refused or fails, on arrival (`gate`) or later (`end`). `l` is a list
of nodes and `w` a call to discovery. `p` is a probe and `r` its result. `c` is a connect that has ended and
`d` a connection that closed; their `open` is the number of connections to the node that are open or being
made. `n` is a log message of the Router. Times are microseconds.
"""

from __future__ import annotations

import sys

from magpiefront.hashing import unit_interval
from magpiefront.interface import (
    Action, Arrived, AttemptEnded, Event, Fail, LogMessage, Probe, ProbeEnded, Refuse, Send, ServerList,
    Watch,
)  # fmt: skip
from magpiefront.net.exchange import Attempt, Exchange
from magpiefront.net.node_connection import NodeConnection
from magpiefront.net.pool import Node
from magpiefront.net.proxy import Proxy

STATE_INTERVAL_S = 1.0  # between two `g` lines


class TracedNode(Node):
    """Writes a line for each connection that is made, fails or closes."""

    __slots__ = ()

    async def _connect(self, connection: NodeConnection, exchange: Exchange) -> None:
        began = self.pool.loop.time()
        await super()._connect(connection, exchange)
        result = "ok" if connection.transport is not None else "failed"
        elapsed_us = int((self.pool.loop.time() - began) * 1e6)
        write_line(f"c {self.name} {result} {elapsed_us} {self.open}")

    def connection_closed(self, connection: NodeConnection) -> None:
        super().connection_closed(connection)
        if connection.transport is not None:  # otherwise reported as a failed connect
            write_line(f"d {self.name} {self.open}")


class TracedConnection(NodeConnection):
    """Writes a line for each message that is written."""

    __slots__ = ()

    def start(self, exchange: Exchange, checked_at: float | None = None) -> None:
        lifecycle, rested_us = self.lifecycle, 0
        if lifecycle.used:
            rested_us = int((self.node.clock() - lifecycle.answered_at) * 1e6)
        kind = "idle" if lifecycle.used else "new"
        write_line(
            f"b {name_of(exchange)} {self.node.name} {self.number} {kind} {rested_us} {lifecycle.answers}"
        )
        super().start(exchange, checked_at)


def name_of(exchange: Exchange) -> str:
    """Returns the words `request attempt` of a line; `probe -` for a probe, which has neither."""
    if isinstance(exchange, Attempt):
        return f"{exchange.request.name} {exchange.number}"
    return "probe -"


def write_line(text: str) -> None:
    """Writes one line of the trace."""
    print("#", text, file=sys.stderr)


def install(proxy: Proxy) -> None:
    """Traces this proxy's events, actions and connections from now on."""
    proxy.pool.node_type = type("Node", (TracedNode, proxy.pool.node_type), {"__slots__": ()})
    base = proxy.pool.connection_type
    proxy.pool.connection_type = type("Connection", (TracedConnection, base), {"__slots__": ()})
    router = proxy.router
    handle = router.handle

    def traced(now_us: int, event: Event) -> list[Action]:
        trace_event(event)
        actions = handle(now_us, event)
        for action in actions:
            trace_action(event, action, now_us)
        return actions

    def trace_event(event: Event) -> None:
        match event:
            case AttemptEnded():
                write_line(
                    f"e {event.request} {event.attempt} {event.server} {event.outcome.value} "
                    f"{event.elapsed_us} {event.cache_result}"
                )
            case ServerList():
                write_line(f"l {event.kind.value} {len(event.entries)}")
            case ProbeEnded():
                write_line(f"r {event.server} {event.outcome.value} {event.elapsed_us}")

    def trace_action(event: Event, action: Action, now_us: int) -> None:
        if isinstance(event, Arrived) and action is router.actions[0]:
            pending = router.pending.get(event.request)
            fetches = "f" if pending is not None and pending.needs_fetch else "-"
            key_rank = f"{unit_interval(pending.key):.4f}" if pending is not None else "-"
            write_line(
                f"a {event.request} {event.class_name} {event.key} {key_rank} "
                f"{event.time_left_us} {fetches}"
            )
        match action:
            case Send():
                pending = router.pending[action.request]
                server = pending.attempts[-1].server
                marks = (
                    ("c" if server.warm_at > now_us else "w")
                    + ("t" if server.trial_in_flight else "")
                    + ("2" if pending.outstanding > 1 else "")
                )
                write_line(
                    f"s {action.request} {len(pending.attempts) - 1} {server.name} {marks} "
                    f"{server.in_flight}"
                )
            case Refuse() | Fail():
                kind = "refuse" if isinstance(action, Refuse) else "fail"
                phase = "gate" if isinstance(event, Arrived) else "end"
                write_line(f"x {action.request} {kind} {phase}")
            case Probe():
                write_line(f"p {action.server}")
            case Watch():
                write_line("w")
            case LogMessage():
                write_line(f"n {action.text}")

    def report_state() -> None:
        server_gate, origin_gate = router.server_gate, router.origin_gate
        write_line(
            f"g {server_gate.share:.3f} {server_gate.bad_share:.3f}"
            f" {origin_gate.share:.3f} {origin_gate.bad_share:.3f}"
            f" {router.fleet_bad_share:.3f}"
            f" {router.retry_budget:.2f} {router.suspect_count} {router.in_flight} "
            f"{proxy.pool.open} {len(proxy.pool.idle)} {len(router.servers)}"
        )
        sys.stderr.flush()
        proxy.loop.call_later(STATE_INTERVAL_S, report_state)

    router.handle = traced  # type: ignore[method-assign]
    report_state()
