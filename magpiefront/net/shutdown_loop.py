"""Carries out a shutdown: applies the schedule of `net/shutdown.py` until the process may exit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sized
from typing import Protocol

from magpiefront.net.events import EventLog
from magpiefront.net.shutdown import Phase, Shutdown

POLL_INTERVAL_S = 0.02  # between two checks of the phase


class DrainableFront(Protocol):
    """What a shutdown needs from the front, which holds the listener and the connections of the clients."""

    @property
    def clients(self) -> Sized:
        """The open connections."""

    @property
    def handed_over(self) -> bool:
        """Whether another process accepts connections in place of this one."""

    @property
    def listening(self) -> bool:
        """Whether the listening socket is open here."""

    @property
    def refusing(self) -> bool:
        """Whether `refuse_new` has been called."""

    def refuse_new(self) -> None:
        """Drops attempts to connect from now on; those under way can still be accepted."""

    def stop_accepting(self, at_once: bool) -> None:
        """Accepts the connections that wait and closes the listening socket. Unless `at_once`, the socket may
        stay open until a later call if there is no room for all of them."""

    def close_idle(self, min_idle_s: float) -> None:
        """Closes each connection that has been idle for at least `min_idle_s` seconds."""


async def run_shutdown(
    front: DrainableFront,
    shutdown: Shutdown,
    began_at: float,
    work_left: Callable[[], bool],
    drain: Callable[[], None],
    events_log: EventLog,
) -> None:
    """Returns when the process may exit. `began_at` is the time of SIGTERM by the running loop's clock, in
    seconds. `work_left` returns whether the process has unfinished work apart from its clients' connections.
    `drain` tells the gateways of other sites to send no new requests here; it does nothing without an
    operator's file."""
    loop = asyncio.get_running_loop()
    previous: Phase | None = None
    while True:
        elapsed_s = loop.time() - began_at
        if not shutdown.accepts(elapsed_s, front.handed_over):
            _stop_accepting(front, at_once=front.handed_over or elapsed_s >= shutdown.times.last_call_s)
        busy = front.listening or len(front.clients) > 0 or work_left()
        phase = shutdown.phase(elapsed_s, front.handed_over, busy)
        if phase is not previous:
            events_log.emit("shutdown", phase=phase.value, clients=len(front.clients))
        previous = phase
        if phase is Phase.ENDED:
            return
        if phase is not Phase.ACCEPTING and not front.handed_over:
            front.close_idle(shutdown.min_idle_s(phase))
            drain()  # in each iteration, as the process that had taken over may have exited
        await asyncio.sleep(POLL_INTERVAL_S)


def _stop_accepting(front: DrainableFront, at_once: bool) -> None:
    """Refuses new connections first and closes the listener on a later call, so that connections whose
    handshake is under way complete it, are accepted and get a response."""
    if at_once or front.refusing:
        front.stop_accepting(at_once)
    else:
        front.refuse_new()
