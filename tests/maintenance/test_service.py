"""Maintenance at one proxy: the pool guard, the saved exclusions, reports, commands and forecasts."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

import pytest

from magpiefront import Router
from magpiefront.group.registry import Member
from magpiefront.interface import Arrived, Exclude, ListKind, ServerEntry, ServerList, Status
from magpiefront.maintenance import exclusion_file
from magpiefront.maintenance.exclusions import SavedExclusions
from magpiefront.maintenance.forecast import forecast
from magpiefront.maintenance.pool_guard import PoolGuard
from magpiefront.maintenance.plan import Limits, Machine, Plan
from magpiefront.maintenance.rules import advance
from magpiefront.maintenance.runner import MAX_OUTPUT_BYTES
from magpiefront.maintenance.runner import run as run_command
from magpiefront.maintenance.state_machine import (
    MaintenanceState, MaintenanceStateMachine, ProxyReport, Job, State,
)  # fmt: skip
from magpiefront.maintenance.reports import MIN_READS, HitRatios, popular_keys, build_report
from magpiefront.net.exchange import Probe
from tests.helpers import SETTINGS
from tests.sockets import gated, run, running_proxy, until

US_PER_S = 1_000_000


# ---- pool guard


def test_nothing_is_sent_to_an_excluded_node() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            excluded: set[str | bytes] = set()
            w.proxy.pool.set_node_address("s-0", None)
            guard = PoolGuard(
                w.proxy.pool, lambda name, address: name not in excluded and address not in excluded
            )
            w.proxy.pool.set_node_address("s-0", ("127.0.0.1", w.nodes[0].port))
            assert (await w.ask()).status == 200 and guard.nodes_in_use() == {"s-0"}
            node = w.proxy.pool.nodes["s-0"]

            def probe() -> Probe:
                return Probe(w.proxy, node, w.proxy.now_us(), b"/health")

            # An idle connection was chosen before the node was excluded.
            (idle,) = node.idle
            node.idle.clear()
            w.proxy.pool.idle.clear()
            seen, probe_of_idle = len(w.seen()), probe()
            excluded.add("s-0")
            idle.start(probe_of_idle)
            await until(lambda: not w.proxy.pool.open)
            assert probe_of_idle.done and not guard.nodes_in_use()
            # One connection was started before the node was excluded, the other one is not started at all.
            excluded.clear()
            started = probe()
            node.begin(started)
            excluded.add("s-0")
            node.begin(unstarted := probe())
            await until(lambda: started.done and unstarted.done and not w.proxy.pool.open)
            assert len(w.seen()) == seen and w.nodes[0].connections == 1
            # A connection is not kept after its answer if the node was excluded meanwhile.
            excluded.clear()
            assert (await w.ask()).status == 200
            (kept,) = node.idle
            node.idle.clear()
            w.proxy.pool.idle.clear()
            excluded.add("s-0")
            node.put_back(kept)
            await until(lambda: not w.proxy.pool.open and not node.idle)

    run(main())


def test_connections_of_a_node_that_is_not_listed_any_more_are_known_and_can_be_aborted() -> None:
    async def main() -> None:
        gate = asyncio.Event()
        async with running_proxy(gated(gate)) as w:
            w.proxy.pool.set_node_address("s-0", None)
            guard = PoolGuard(w.proxy.pool, lambda name, address: True)
            w.proxy.pool.set_node_address("s-0", ("127.0.0.1", w.nodes[0].port))
            asked = asyncio.ensure_future(w.ask(kind="once"))
            await until(lambda: len(w.seen()) == 1)
            w.proxy.pool.set_node_address("s-0", None)
            assert guard.nodes_in_use() == {"s-0"} and guard.abort_connections({"s-1"}) == 0
            assert guard.abort_connections({"s-0"}) == 1
            await until(lambda: not guard.nodes_in_use())
            assert (await asked).status >= 500
            gate.set()

    run(main())


# ---- saved exclusions


def test_a_damaged_file_is_detected_and_a_failed_save_keeps_the_old_one(tmp_path: Path) -> None:
    path = tmp_path / "machines"
    assert exclusion_file.load(path) == (None, "")
    saved = SavedExclusions(7, {"m1": ("n1", "n2")}, {b"127.0.0.1:80": "n1"})
    exclusion_file.save(path, saved)
    assert exclusion_file.load(path) == (saved, "")
    whole = path.read_bytes()
    for n in range(len(whole)):
        path.write_bytes(whole[:n])
        assert exclusion_file.load(path)[0] is None
        path.write_bytes(whole[:n] + bytes([whole[n] ^ 1]) + whole[n + 1 :])
        found, cause = exclusion_file.load(path)
        assert found is None and str(path) in cause
    path.write_bytes(whole)
    path.with_name("machines.new").mkdir()
    with pytest.raises(OSError):
        exclusion_file.save(path, SavedExclusions(8))
    assert exclusion_file.load(path) == (saved, "")


# ---- reports


def router(*names: str) -> Router:
    r = Router(SETTINGS, 1)
    entries = [ServerEntry(n) for n in names]
    r.handle(US_PER_S, ServerList(ListKind.WHOLE, entries))
    return r


def test_a_report_holds_what_delays_maintenance() -> None:
    r = router("n1", "n2", "n3")
    fleet, hit_ratios = ["n1", "n2", "n3", "n4"], HitRatios()

    def make(by_hand: set[str] = set(), excluded: set[str] = set(), watches: bool = False) -> ProxyReport:  # noqa: B006
        return build_report(r, 2 * US_PER_S, 1.234, fleet, by_hand, excluded, hit_ratios, (), watches)

    assert make().failing == ("n4",) and make().load == 1.23 and not make().reason
    r.servers["n1"].suspect = True
    r.servers["n2"].warm_at = 3 * US_PER_S
    assert make().failing == ("n1", "n4") and make().cold == ("n2",)
    assert make(by_hand={"n1", "n9"}).failing == ("n4",) and make(by_hand={"n1", "n9"}).by_hand == ("n1",)
    r.handle(2 * US_PER_S, Exclude("n3"))  # for maintenance: its state is not observed
    assert make().failing == ("n1", "n3", "n4") and make(excluded={"n3", "n4"}).failing == ("n1",)
    before = make().list_hash
    r.handle(2 * US_PER_S, ServerList(ListKind.PATCH, [ServerEntry("n2", Status.DRAINING)]))
    assert make().list_hash != before and "n2" in make().failing
    r.origin_gate.share = 0.5
    assert "archive" in make().reason
    r.watching = False
    assert "discovery" in make(watches=True).reason


def test_a_returning_node_is_cold_until_its_hit_ratio_is_near_that_of_the_others() -> None:
    hit_ratios = HitRatios()
    for n in range(2 * MIN_READS):
        for node, hits in (("a", 0.9), ("b", 0.8), ("new", 0.4)):
            hit_ratios.count(node, n < hits * 2 * MIN_READS)
    hit_ratios.count("few", False)
    assert hit_ratios.below_median(["new", "few", "none"]) == {"new"}
    hit_ratios.decay()
    for _ in range(8 * MIN_READS):
        hit_ratios.count("new", True)
    assert not hit_ratios.below_median(["new"])
    hit_ratios.forget("a")
    hit_ratios.forget("b")
    assert not hit_ratios.below_median(["new", "few"])  # no other node to compare with


def test_popular_keys_are_those_with_several_homes() -> None:
    r = router(*(f"n{i}" for i in range(8)))
    for n in range(200):
        r.handle(
            2 * US_PER_S, Arrived(f"r{n}", SETTINGS.classes[0].name, US_PER_S, 7 if n % 4 == 0 else 1_000 + n)
        )
    assert len(popular_keys(r)) == 1


# ---- commands


def job(machine: str = "m1") -> Job:
    return Job(machine, "kernel", 0.0, State.OUT, 5)


def command(*args: str, most_work_s: float = 20.0) -> Plan:
    return Plan("kernel", "me", ("m1",), command=args, limits=Limits(most_work_s=most_work_s))


@pytest.mark.parametrize(("args", "expected"), [
    (("bash", "-c", "test $LB_MACHINE/$LB_GRANT/$LB_PLAN = m1/5/kernel"), ""),
    (("bash", "-c", "echo no room >&2; exit 3"), "bash ended with 3: no room"),
    (("/no/such/thing",), "/no/such/thing can't be started: "),
    (("bash", "-c", "head -c 100000000 /dev/zero; echo; echo end; exit 1"), "bash ended with 1: end"),
])  # fmt: skip
def test_a_failure_of_a_command_is_described(args: tuple[str, ...], expected: str) -> None:
    cause = asyncio.run(run_command(command(*args), job()))
    assert cause.startswith(expected) if expected else cause == ""
    assert len(cause) <= MAX_OUTPUT_BYTES


def test_a_command_that_times_out_is_ended_with_its_child_processes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("magpiefront.maintenance.runner.TERMINATE_GRACE_S", 0.3)
    alive = tmp_path / "alive"
    text = f"trap '' TERM; (while true; do date > {alive}; sleep 0.05; done) & sleep 60"
    began = time.monotonic()
    cause = asyncio.run(run_command(command("bash", "-c", text, most_work_s=0.5), job()))
    assert "had not ended" in cause and time.monotonic() - began < 20
    alive.unlink()
    time.sleep(0.4)
    assert not alive.exists()


# ---- forecasts


def forecasted(*names: str, **more: Any) -> Any:
    fleet = [Machine(f"m{n}", (f"n{n}a", f"n{n}b"), (), f"z{n % 3}") for n in range(6)]
    members = {f"p{n}": Member(f"p{n}.0", 1) for n in range(3)}
    replica = MaintenanceStateMachine(lambda: members, advance)
    limits = Limits(**{"spread_s": 1.0, "least_left": 0.5, **more})
    plan = Plan("kernel", "me", names, limits=limits)
    return forecast(replica.state, members, plan, fleet, tuple(members), 100.0, 10.0)


def test_a_forecast_gives_waves_times_and_remaining_nodes() -> None:
    one = forecasted("m0", "m1", "m2")
    assert [w.machines for w in one.waves] == [["m0"], ["m1"], ["m2"]] and not one.stuck
    assert 3 * 110 < one.takes_s < 3 * 130 and one.first_s < 10
    assert one.least_left == one.waves[0].left == pytest.approx(5 / 6) and one.moved == pytest.approx(1 / 6)
    two = forecasted("m0", "m1", "m2", "m3", most_out=2)
    assert [len(w.machines) for w in two.waves] == [2, 2] and two.takes_s < 2 * 135
    zone = forecasted("m0", "m3", most_out=2)  # both in the same zone
    assert [w.machines for w in zone.waves] == [["m0"], ["m3"]]
    assert "names no machine" in forecasted().refused
    assert "m9 is no machine" in forecasted("m9").refused


def test_a_forecast_says_what_a_plan_would_wait_for_without_end() -> None:
    state = MaintenanceState()
    members = {"p0": Member("p0.0", 1), "p1": Member("p1.0", 1)}
    state.reports = {
        "p0": ProxyReport(reason="its gate in front of the nodes lets 20% in"),
        "p1": ProxyReport(),
    }
    plan = Plan("kernel", "me", ("m0",), limits=Limits(least_left=0.0))
    found = forecast(state, members, plan, [Machine("m0", ("n0",))], ("p0",), 10.0, 1.0)
    assert found.stuck == "m0: p0: its gate in front of the nodes lets 20% in" and not found.waves
