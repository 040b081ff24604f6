"""The schedule of a shutdown, for short and long deadlines, and a front that shuts down over real sockets."""

from __future__ import annotations

import asyncio
import socket

import pytest

from magpiefront.net.events import EventLog
from magpiefront.net.front import Front
from magpiefront.net.listening import accept_connection
from magpiefront.net.shutdown import Phase, Shutdown, shutdown_times
from magpiefront.net.shutdown_loop import run_shutdown
from tests.sockets import gated, ok, request, run, running_proxy, until

STALL_S = 0.15  # how long a process may be stalled at a time


@pytest.mark.parametrize(
    ("longest_s", "kill_s"), [(0.2, 0.9), (0.3, 1.0), (0.5, 1.2), (1.0, 1.7), (3.0, 3.7), (10.0, 3.7)]
)
def test_everything_is_answered_and_closed_before_the_earliest_kill(longest_s: float, kill_s: float) -> None:
    times = shutdown_times(longest_s)
    assert times.accept_until_s >= 0.4  # new connections keep arriving for this long
    assert times.accept_until_s <= times.last_call_s < times.answer_by_s < times.end_s < kill_s
    assert kill_s - times.answer_by_s > STALL_S
    assert kill_s - times.last_call_s > STALL_S


def test_phases_come_in_order_and_the_last_one_is_final() -> None:
    shutdown = Shutdown(0.3)
    at = [0.0, 0.49, 0.5, 0.69, 0.7, 0.89, 0.91]
    phases = [shutdown.phase(s, handed_over=False, busy=True) for s in at]
    assert phases == [Phase.ACCEPTING] * 2 + [Phase.DRAINING] * 2 + [Phase.LAST_CALL] * 2 + [Phase.ENDED]
    assert shutdown.phase(0.1, handed_over=False, busy=False) is Phase.ACCEPTING
    assert shutdown.phase(0.1, handed_over=True, busy=True) is Phase.DRAINING
    assert shutdown.phase(0.1, handed_over=True, busy=False) is Phase.ENDED
    assert shutdown.min_idle_s(Phase.LAST_CALL) == 0 < shutdown.min_idle_s(Phase.DRAINING)


class QueuedConnectionFront:
    """A front with one connection in its accept queue when accepting stops, which it answers afterwards."""

    def __init__(self) -> None:
        self.clients: list[str] = []
        self.handed_over = self.refusing = self.answered = False
        self.listening = True

    def refuse_new(self) -> None:
        self.refusing = True

    def stop_accepting(self, at_once: bool) -> None:
        if self.listening:
            self.listening = False
            self.clients.append("the last")

    def close_idle(self, min_idle_s: float) -> None:
        self.answered = True
        self.clients.clear()


def test_a_connection_in_the_accept_queue_when_accepting_stops_is_answered() -> None:
    async def main() -> None:
        front, loop = QueuedConnectionFront(), asyncio.get_running_loop()
        log = EventLog(loop.time)
        await run_shutdown(front, Shutdown(3.0), loop.time() - 0.5, lambda: False, lambda: None, log)
        assert front.answered

    asyncio.run(main())


async def shut_down(front: Front, elapsed_s: float = 0.5) -> None:
    loop = asyncio.get_running_loop()
    front.stopping = True
    await run_shutdown(
        front, Shutdown(1.0), loop.time() - elapsed_s, lambda: False, lambda: None, EventLog(loop.time)
    )


def test_a_connection_made_between_the_last_accept_and_the_close_is_not_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connected: list[bool] = []

    def accept_then_connect(listener: socket.socket) -> socket.socket | None:
        found = accept_connection(listener)
        if found is None:
            client = socket.socket()
            client.settimeout(0.05)
            connected.append(client.connect_ex(listener.getsockname()) == 0)
            client.close()
        return found

    async def main() -> None:
        async with running_proxy(None) as w:
            monkeypatch.setattr("magpiefront.net.front.accept_connection", accept_then_connect)
            await shut_down(w.front)
            assert not w.front.listening
            assert connected and not any(connected)

    run(main())


def test_connections_above_the_limit_when_accepting_stops_are_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    stop_calls: list[bool] = []

    async def main() -> None:
        gate = asyncio.Event()
        async with running_proxy(gated(gate, ok())) as w:
            w.front.max_clients = 1
            stop_accepting = w.front.stop_accepting

            def recorded(at_once: bool = True) -> None:
                stop_calls.append(at_once)
                stop_accepting(at_once)

            monkeypatch.setattr(w.front, "stop_accepting", recorded)
            clients = [await w.client() for _ in range(3)]
            for client in clients:
                client.send(request())
            await until(w.seen)
            shutting_down = asyncio.create_task(shut_down(w.front))
            await until(lambda: stop_calls)
            gate.set()
            await shutting_down
            assert [(await client.answer()).status for client in clients] == [200] * 3

    run(main())


def test_a_listener_shared_with_another_process_stays_usable_there() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            assert w.front.socket is not None
            copy = w.front.socket.dup()
            w.front.shared = True
            await shut_down(w.front)
            with socket.create_connection(("127.0.0.1", w.port), timeout=5):
                copy.close()

    run(main())


def test_a_shorter_deadline_during_a_shutdown_brings_its_end_forward() -> None:
    shutdown = Shutdown(3.0)
    shutdown.shorten(0.3)
    assert shutdown.times == shutdown_times(0.3)
    shutdown.shorten(10.0)
    assert shutdown.times == shutdown_times(0.3)
