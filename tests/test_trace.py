"""The trace that a proxy writes with `LB_TRACE`, and the counts of its lines over a fleet."""

from __future__ import annotations

import asyncio
import json
import socket
from pathlib import Path

import pytest

from benchmarks import fleet_counts, fleet_queues
from magpiefront.interface import Arrived, AttemptEnded, Outcome
from magpiefront.net import trace
from magpiefront.net.answer import Answer
from magpiefront.net.config import Config
from magpiefront.net.exchange import Probe
from magpiefront.net.proxy import Proxy
from tests.helpers import NAMES, SETTINGS, full_list
from tests.sockets import run, until


def test_every_kind_of_trace_line_is_counted(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    lines = [
        "0.1 # l stale 60", "0.1 # w", "0.2 # a r1 read 7 0.5 2000000 f", "0.2 # s r1 0 n1 ct 1",
        "0.3 # c n1 ok 1000 1", "0.4 # s r1 1 n2 w2 1", "0.5 # e r1 0 n1 full 20 0", "0.6 # s r1 2 n3 w 1",
        "1.1 # a r2 read 8 0.9 2000000 -", "1.1 # x r2 refuse gate", "1.2 # x r1 refuse end", "1.2 # p n1",
        "1.3 # d n1 0", "1.4 # n suspect n1: errors or silence", "1.5 suspect n1: not a trace", "1.6 # s r",
    ]  # fmt: skip
    (tmp_path / "n0.log").write_text("\n".join(lines[:8]))
    (tmp_path / "n1.log").write_text("\n".join(lines[8:]))
    assert fleet_counts.main([str(tmp_path), "--json"]) == 0
    rows = json.loads(capsys.readouterr().out)["rows"]
    first = {k: v for k, v in rows["0.0"].items() if v}
    assert first == {
        "lists": 1, "entries": 60, "calls": 1, "taken": 1, "sends": 3, "cold": 1, "trials": 1, "connects": 1,
        "copies": 1, "repeats": 1, "full": 1,
    }  # fmt: skip
    second = {k: v for k, v in rows["1.0"].items() if v}
    assert second == {
        "taken": 1, "refused at gate": 1, "refused later": 1, "probes": 1, "closed": 1, "suspects": 1,
    }  # fmt: skip
    assert fleet_counts.main([str(tmp_path / "none")]) == 2
    assert "LB_TRACE=1" in capsys.readouterr().err


class RecordingProbe(Probe):
    """A probe that only records its outcome."""

    def report(self, outcome: Outcome, answer: Answer | None) -> None:
        PROBE_OUTCOMES.append(outcome)


PROBE_OUTCOMES: list[Outcome] = []


def test_a_traced_proxy_writes_its_events_and_actions(capsys: pytest.CaptureFixture[str]) -> None:
    config = Config("n0", ("127.0.0.1", 0), ("127.0.0.1", 0), 1, SETTINGS, None, False)

    async def main() -> None:
        proxy = Proxy(config, asyncio.get_running_loop())
        trace.install(proxy)
        router = proxy.router
        router.handle(1_000_000, full_list(NAMES))
        router.handle(1_100_000, Arrived("r1", "read", 2_000_000, 7))
        server = router.pending["r1"].attempts[0].server.name
        router.handle(1_200_000, AttemptEnded("r1", 0, server, Outcome.OK, 100_000, True, 1))
        out = capsys.readouterr().err
        for line in (
            f"# l stale {len(NAMES)}", "# a r1 read 7 ", f"# s r1 0 {server} w 1",
            f"# e r1 0 {server} ok 100000 1", "# g 1.000",
        ):  # fmt: skip
            assert line in out, line

        # A failed connect does not count as a closed connection.
        refusing_socket = socket.socket()
        refusing_socket.bind(("127.0.0.1", 0))  # bound and not listening: refused
        proxy.pool.set_node_address(server, refusing_socket.getsockname())
        probe = RecordingProbe(proxy, proxy.pool.nodes[server], 0, b"/health")
        probe.node.begin(probe)
        await until(lambda: PROBE_OUTCOMES)
        await until(lambda: proxy.pool.open == 0)
        refusing_socket.close()
        out = capsys.readouterr().err
        assert f"# c {server} failed " in out and "# d " not in out, out

    run(main())


def test_queues_at_nodes_are_counted_over_all_proxies(tmp_path: Path) -> None:
    """Each of three proxies has one request in flight at s-1. The third is sent while the node has the other
    two in flight."""
    for n in range(3):
        (tmp_path / f"n{n}.log").write_text(
            f"0.{n} # a r{n} read 7 0.5 900000 f\n0.{n} # s r{n} 0 s-1 w 1\n"
            f"1.{n} # e r{n} 0 s-1 {'timeout' if n == 2 else 'ok'} {n + 1}00000 {1 + n % 2}\n"
            f"1.{n} # e r{n} 0 s-1 ok\n"
        )
    sent = fleet_queues.read_attempts(tmp_path)
    assert [s.in_flight for s in sent] == [0, 1, 2] and {s.key for s in sent} == {"7"}
    row = fleet_queues.rows(sent, 150_000)[0]
    assert (row["sends"], row["hit_ms"], row["fetch_ms"]) == (3, 100.0, 200.0)
    assert (row["late"], row["gave_up"], row["popular"]) == (1, 1, 1.0)
    assert fleet_queues.main([str(tmp_path), "--json"]) == 0
    (tmp_path / "empty").mkdir()
    assert fleet_queues.main([str(tmp_path / "empty")]) == 2
