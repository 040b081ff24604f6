"""Unsolicited bytes (strays) in each state of a connection to a node. A copy is a duplicate of an answer."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

import pytest

from magpiefront.interface import Outcome
from magpiefront.net import pool as pools
from magpiefront.net import trace
from magpiefront.net.admin_commands import AdminCommands
from magpiefront.net.exchange import Attempt, Exchange, Probe
from magpiefront.net.node_connection import NodeConnection, Stray
from magpiefront.reuse import MIN_REST_S, StrayReason
from tests.sockets import ReceivedRequest, ProxyHarness, gated, ok, request, run, reply, until, running_proxy

DECLINED = b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"


def record_strays(w: ProxyHarness) -> list[Stray]:
    """Returns a list to which all further strays of this proxy are appended."""
    strays: list[Stray] = []
    original = w.proxy.pool.on_stray

    def record(node: pools.Node, stray: Stray) -> None:
        strays.append(stray)
        original(node, stray)

    w.proxy.pool.on_stray = record
    return strays


def test_a_connection_is_not_reused_right_after_an_answer() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            for n in range(3):
                assert (await w.ask(path=f"/api/{n}")).status == 200
            assert w.nodes[0].connections == 3
            clock = w.proxy.pool.clock
            w.proxy.pool.clock = lambda: clock() + MIN_REST_S
            for n in range(3):
                assert (await w.ask(path=f"/api/{n}")).status == 200
            assert w.nodes[0].connections == 3

    run(main())


@pytest.mark.parametrize("kind", ["read", "keyed", "once"])
def test_a_connection_is_not_reused_before_its_rest_is_over(kind: str) -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            now = [100.0]
            w.proxy.pool.clock = lambda: now[0]
            assert (await w.ask(kind=kind)).status == 200
            now[0] += MIN_REST_S - 0.001
            assert (await w.ask(kind=kind)).status == 200
            assert w.nodes[0].connections == 2
            now[0] += MIN_REST_S + 0.001
            assert (await w.ask(kind=kind)).status == 200
            assert w.nodes[0].connections == 2

    run(main())


@pytest.mark.parametrize(
    "copy", [ok(b"hello"), DECLINED, ok()[:9], b"\r\n", b"HTTP/1.1 100 Continue\r\n\r\n"]
)
def test_any_bytes_on_a_resting_connection_close_it_and_are_counted(copy: bytes) -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            strays = record_strays(w)
            assert (await w.ask()).status == 200
            w.nodes[0].writers[-1].write(copy)
            await until(lambda: not w.proxy.pool.open, "the closing")
            assert [(s.reason, s.size) for s in strays] == [(StrayReason.RESTING, len(copy))]
            assert w.proxy.pool.counters.strays_of == {"s-0": 1}
            w.advance_past_rest()
            assert (await w.ask()).status == 200 and w.nodes[0].connections == 2

    run(main())


def test_a_connection_that_has_carried_a_refusal_is_not_reused() -> None:
    """Guards against a late copy of the refusal that is taken for proof that the next request did not run."""

    async def main() -> None:
        async with running_proxy(reply(DECLINED)) as w:
            assert (await w.ask(kind="once")).status == 503
            await until(lambda: not w.proxy.pool.open, "the closing")
            w.nodes[0].handler = reply(ok(b"own"))
            w.advance_past_rest()
            assert (await w.ask(kind="once")).body == b"own" and w.nodes[0].connections == 2

    run(main())


def test_a_refusal_before_the_node_has_the_request_is_no_proof_that_it_did_not_run() -> None:
    """Guards against a refusal that arrives early and is taken for proof that the request did not run. The
    request was then retried or refused, although it could still run."""

    async def main() -> None:
        gate = asyncio.Event()
        async with running_proxy(None) as w:
            strays = record_strays(w)
            node = w.nodes[0]
            assert (await w.ask(kind="once")).status == 200
            w.advance_past_rest()
            (connection,) = w.proxy.pool.nodes["s-0"].idle
            transport = node.writers[-1].transport
            transport.pause_reading()  # type: ignore[attr-defined]
            node_socket = transport.get_extra_info("socket")
            node_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            ask = asyncio.ensure_future(w.ask("PUT", kind="once", body=b"x" * 600_000))
            await until(lambda: connection.exchange is not None, "the sending")
            transport.write(DECLINED)
            answer = await ask
            assert answer.status == 502 and w.outcomes() == [Outcome.OK, Outcome.RESET]
            assert [s.reason for s in strays] == [StrayReason.EARLY]
            gate.set()

    run(main())


def test_a_copy_that_arrives_between_the_check_and_a_delayed_write_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        gate = asyncio.Event()
        async with running_proxy(None) as w:
            strays = record_strays(w)
            assert (await w.ask(kind="once")).status == 200
            w.advance_past_rest()
            w.nodes[0].handler = gated(gate)
            message: Callable[[Attempt], list[bytes]] = Attempt.message

            def delayed(attempt: Attempt) -> list[bytes]:
                node_socket = w.nodes[0].writers[0].get_extra_info("socket")
                socket.socket(fileno=socket.dup(node_socket.fileno())).send(DECLINED)
                w.advance_past_rest()
                return message(attempt)

            monkeypatch.setattr(Attempt, "message", delayed)
            answer = await w.ask(kind="once")
            assert answer.status == 502 and w.outcomes() == [Outcome.OK, Outcome.RESET]
            assert [s.reason for s in strays] == [StrayReason.CROSSED]
            gate.set()

    run(main())


def test_one_copy_replaces_at_most_one_answer() -> None:
    """Guards against reusing a connection at once after a copy was taken for the answer: the next request
    then got the answer that the copy had replaced."""

    async def main() -> None:
        gate = asyncio.Event()
        async with running_proxy(None) as w:
            strays = record_strays(w)
            assert (await w.ask()).status == 200
            w.advance_past_rest()

            async def copies(
                seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:  # fmt: skip
                writer.write(ok(b"copy"))
                await gate.wait()
                writer.write(ok(b"own"))

            w.nodes[0].handler = copies
            assert (await w.ask()).body == b"copy"  # it can't be told from the answer
            w.nodes[0].handler = reply(ok(b"next"))
            assert (await w.ask()).body == b"next"
            gate.set()
            await until(lambda: strays, "the answer that the copy replaced")
            assert strays[0].reason is StrayReason.RESTING

    run(main())


def test_connections_whose_rest_exceeds_the_idle_timeout_are_not_reused() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            w.proxy.pool.set_timeouts(200_000, 100_000)
            for _ in range(3):
                assert (await w.ask()).status == 200
                await asyncio.sleep(0.06)
                w.proxy.sweep()
            assert w.nodes[0].connections == 3 and not w.proxy.pool.idle

    run(main())


def test_at_the_connection_limit_a_resting_connection_is_closed_and_not_reused() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            w.proxy.pool.max_connections = 2
            for n in range(6):
                assert (await w.ask(path=f"/api/{n}", kind="once")).status == 200
            assert w.nodes[0].connections == 6 and w.proxy.pool.open <= 2

    run(main())


def test_strays_and_the_causes_of_new_connections_are_in_events_and_metrics(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            with caplog.at_level(logging.INFO, logger="magpiefront.events"):
                assert (await w.ask()).status == 200
                assert (await w.ask()).status == 200
                w.nodes[0].writers[-1].write(ok(b"hello"))
                await until(lambda: w.proxy.pool.counters.strays, "the copy")
                w.advance_past_rest()
                assert (await w.ask()).status == 200
            (event,) = [m for m in caplog.messages if m.startswith("event=stray")]
            assert event.startswith("event=stray reason=resting node=s-0 connection=2 after_ms=")
            assert event.endswith(f" bytes={len(ok(b'hello'))}")
            metrics = AdminCommands(w.proxy, w.front).show_stat().splitlines()
            for line in (
                "svc_connections_reused 1", "svc_connections_closed_for_strays 1", "svc_strays 1",
                'svc_strays{node="s-0"} 1', 'svc_connections_new{cause="none_open"} 1',
                'svc_connections_new{cause="resting"} 1', 'svc_connections_new{cause="ended"} 0',
            ):  # fmt: skip
                assert line in metrics

    run(main())


def test_a_trace_names_the_connection_of_each_attempt_and_its_state(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            w.proxy.pool.set_node_address("s-0", None)
            trace.install(w.proxy)
            w.proxy.pool.set_node_address("s-0", ("127.0.0.1", w.nodes[0].port))
            for _ in range(2):
                assert (await w.ask()).status == 200
                w.advance_past_rest()
            lines = [x.split() for x in capsys.readouterr().err.splitlines() if x.startswith("# b ")]
            first, second = (words[4:] for words in lines)
            assert first == ["s-0", "1", "new", "0", "0"]
            assert (
                second[:3] == ["s-0", "1", "idle"] and int(second[3]) >= MIN_REST_S * 1e6 and second[4] == "1"
            )

    run(main())


def test_a_copy_of_a_probes_answer_reaches_no_request() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            strays = record_strays(w)
            node = w.proxy.pool.nodes["s-0"]
            node.begin(Probe(w.proxy, node, w.proxy.now_us(), b"/health"))
            await until(lambda: w.nodes[0].probes and node.idle, "the probe")
            assert (await w.ask(kind="once")).body == b"hello" and w.nodes[0].connections == 2
            w.nodes[0].writers[0].write(ok())  # a copy of the probe's answer
            await until(lambda: strays, "the copy")
            assert strays[0].reason is StrayReason.RESTING and strays[0].connection.last_target == b""

    run(main())


def test_a_copy_after_a_long_answer_to_a_slow_client_reaches_no_request() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            strays = record_strays(w)
            body = b"y" * 12_000_000
            w.nodes[0].handler = reply(ok(body) + ok(b"copy"))
            client = await w.client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            client.send(request())
            await until(lambda: w.proxy.streams, "the stream")
            (stream,) = w.proxy.streams
            await until(lambda: stream.connection and stream.connection.paused, "the pause")
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            assert (await client.answer()).body == body
            w.nodes[0].handler = reply(ok(b"next"))
            client.send(request())
            assert (await client.answer()).body == b"next"
            await until(lambda: strays, "the copy")
            assert strays[0].reason in (StrayReason.SURPLUS, StrayReason.RESTING)
            assert w.nodes[0].connections == 2

    run(main())


def test_a_copy_that_is_split_around_the_next_request_reaches_no_request() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            copy = ok(b"hello")
            assert (await w.ask()).status == 200
            writer = w.nodes[0].writers[0]
            writer.write(copy[:20])
            w.nodes[0].handler = reply(ok(b"next"))
            assert (await w.ask()).body == b"next"
            if not writer.is_closing():
                writer.write(copy[20:])
            assert (await w.ask()).body == b"next"
            await until(lambda: w.proxy.pool.open == 2, "the closing of the first connection")

    run(main())


def test_a_request_moves_to_a_rested_connection_if_its_new_one_is_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an attempt that fails because its new connection is never established, although another
    connection has become reusable."""

    async def main() -> None:
        async with running_proxy(None) as w:
            assert (await w.ask()).status == 200
            gate = asyncio.Event()
            original_connect = pools.Node._connect

            async def delayed_connect(
                node: pools.Node, connection: NodeConnection, exchange: Exchange
            ) -> None:
                await gate.wait()
                await original_connect(node, connection, exchange)

            monkeypatch.setattr(pools.Node, "_connect", delayed_connect)
            clock = w.proxy.pool.clock
            w.proxy.pool.clock = lambda: clock() + MIN_REST_S - 0.05
            assert (await w.ask()).status == 200
            assert w.nodes[0].connections == 1 and w.proxy.pool.open == 2
            gate.set()  # the new connection is established after all, and may be used without a rest
            node = w.proxy.pool.nodes["s-0"]
            await until(lambda: node.unused, "the new connection")
            assert (await w.ask(kind="once")).status == 200
            assert w.nodes[0].connections == 2 and not node.unused

    run(main())
