"""What one proxy does for maintenance: its looks, its file, what it sees, the command, forecasts."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

import pytest

from magpiefront import Router
from magpiefront.group.facts import Member
from magpiefront.interface import Arrived, Exclude, ListKind, ServerEntry, ServerList, Status
from magpiefront.maintenance import memory
from magpiefront.maintenance.facts import Board, Kept, Report, Slot, State
from magpiefront.maintenance.forecast import forecast
from magpiefront.maintenance.looking import Looking
from magpiefront.maintenance.plan import Limits, Machine, Plan
from magpiefront.maintenance.rules import advance
from magpiefront.maintenance.runner import TAIL
from magpiefront.maintenance.runner import run as run_command
from magpiefront.maintenance.seen import LEAST_READS, HitShares, popular, report
from magpiefront.maintenance.view import Memory
from magpiefront.net.exchange import Probe
from tests.helpers import SETTINGS
from tests.sockets import gated, run, until, world

S = 1_000_000


# ---- in front of each byte


def test_nothing_goes_to_a_node_that_may_not_be_sent_to() -> None:
    async def main() -> None:
        async with world(None) as w:
            out: set[str | bytes] = set()
            w.proxy.pool.place_node("s-0", None)
            looking = Looking(w.proxy.pool, lambda name, place: name not in out and place not in out)
            w.proxy.pool.place_node("s-0", ("127.0.0.1", w.nodes[0].port))
            assert (await w.ask()).status == 200 and looking.busy() == {"s-0"}
            node = w.proxy.pool.nodes["s-0"]

            def probe() -> Probe:
                return Probe(w.proxy, node, w.proxy.now_us(), b"/health")

            # An idle connection that was chosen before, and would be used now.
            (idle,) = node.idle
            node.idle.clear()
            w.proxy.pool.idle.clear()
            seen, out_ = len(w.seen()), probe()
            out.add("s-0")
            idle.start(out_)
            await until(lambda: not w.proxy.pool.open)
            assert out_.done and not looking.busy()
            # A connection that was begun before, and one that is not begun at all.
            out.clear()
            begun = probe()
            node.begin(begun)
            out.add("s-0")
            node.begin(never := probe())
            await until(lambda: begun.done and never.done and not w.proxy.pool.open)
            assert len(w.seen()) == seen and w.nodes[0].connections == 1
            # What is kept after its answer is not, where the node went out meanwhile.
            out.clear()
            assert (await w.ask()).status == 200
            (kept,) = node.idle
            node.idle.clear()
            w.proxy.pool.idle.clear()
            out.add("s-0")
            node.put_back(kept)
            await until(lambda: not w.proxy.pool.open and not node.idle)

    run(main())


def test_what_is_open_is_known_after_the_list_has_dropped_it_and_can_be_cut() -> None:
    async def main() -> None:
        gate = asyncio.Event()
        async with world(gated(gate)) as w:
            w.proxy.pool.place_node("s-0", None)
            looking = Looking(w.proxy.pool, lambda name, place: True)
            w.proxy.pool.place_node("s-0", ("127.0.0.1", w.nodes[0].port))
            asked = asyncio.ensure_future(w.ask(kind="once"))
            await until(lambda: len(w.seen()) == 1)
            w.proxy.pool.place_node("s-0", None)
            assert looking.busy() == {"s-0"} and looking.cut({"s-1"}) == 0
            assert looking.cut({"s-0"}) == 1
            await until(lambda: not looking.busy())
            assert (await asked).status >= 500
            gate.set()

    run(main())


# ---- its file


def test_the_file_is_whole_or_nothing_is_known(tmp_path: Path) -> None:
    path = tmp_path / "machines"
    assert memory.load(path) == (None, "")
    kept = Memory(7, {"m1": ("n1", "n2")}, {b"127.0.0.1:80": "n1"})
    memory.save(path, kept)
    assert memory.load(path) == (kept, "")
    whole = path.read_bytes()
    for n in range(len(whole)):
        path.write_bytes(whole[:n])
        assert memory.load(path)[0] is None
        path.write_bytes(whole[:n] + bytes([whole[n] ^ 1]) + whole[n + 1 :])
        found, cause = memory.load(path)
        assert found is None and str(path) in cause
    path.write_bytes(whole)
    path.with_name("machines.new").mkdir()
    with pytest.raises(OSError):
        memory.save(path, Memory(8))
    assert memory.load(path) == (kept, "")


# ---- what it sees


def router(*names: str) -> Router:
    r = Router(SETTINGS, 1)
    entries = [ServerEntry(n) for n in names]
    r.handle(S, ServerList(ListKind.WHOLE, entries))
    return r


def test_a_report_tells_what_speaks_against_it() -> None:
    r = router("n1", "n2", "n3")
    fleet, shares = ["n1", "n2", "n3", "n4"], HitShares()

    def told(hand: set[str] = set(), left_out: set[str] = set(), watches: bool = False) -> Report:  # noqa: B006
        return report(r, 2 * S, 1.234, fleet, hand, left_out, shares, (), watches)

    assert told().failing == ("n4",) and told().load == 1.23 and not told().why
    r.servers["n1"].suspect = True
    r.servers["n2"].warm_at = 3 * S
    assert told().failing == ("n1", "n4") and told().cold == ("n2",)
    assert told(hand={"n1", "n9"}).failing == ("n4",) and told(hand={"n1", "n9"}).by_hand == ("n1",)
    r.handle(2 * S, Exclude("n3"))  # by agreement: nothing is known of it
    assert told().failing == ("n1", "n3", "n4") and told(left_out={"n3", "n4"}).failing == ("n1",)
    before = told().listed
    r.handle(2 * S, ServerList(ListKind.PATCH, [ServerEntry("n2", Status.DRAINING)]))
    assert told().listed != before and "n2" in told().failing
    r.fetch.share = 0.5
    assert "archive" in told().why
    r.watching = False
    assert "discovery" in told(watches=True).why


def test_a_node_that_is_back_is_cold_until_it_holds_what_its_neighbours_hold() -> None:
    shares = HitShares()
    for n in range(2 * LEAST_READS):
        for node, hits in (("a", 0.9), ("b", 0.8), ("new", 0.4)):
            shares.count(node, n < hits * 2 * LEAST_READS)
    shares.count("few", False)
    assert shares.behind(["new", "few", "none"]) == {"new"}
    shares.fade()
    for _ in range(8 * LEAST_READS):
        shares.count("new", True)
    assert not shares.behind(["new"])
    shares.forget("a")
    shares.forget("b")
    assert not shares.behind(["new", "few"])  # nobody to be like


def test_popular_keys_are_those_with_several_homes() -> None:
    r = router(*(f"n{i}" for i in range(8)))
    for n in range(200):
        r.handle(2 * S, Arrived(f"r{n}", SETTINGS.classes[0].name, S, 7 if n % 4 == 0 else 1_000 + n))
    assert len(popular(r)) == 1


# ---- the command


def slot(machine: str = "m1") -> Slot:
    return Slot(machine, "kernel", 0.0, State.OUT, 5)


def command(*args: str, most_work_s: float = 20.0) -> Plan:
    return Plan("kernel", "me", ("m1",), command=args, limits=Limits(most_work_s=most_work_s))


@pytest.mark.parametrize(("args", "says"), [
    (("bash", "-c", "test $LB_MACHINE/$LB_GRANT/$LB_PLAN = m1/5/kernel"), ""),
    (("bash", "-c", "echo no room >&2; exit 3"), "bash ended with 3: no room"),
    (("/no/such/thing",), "/no/such/thing can't be started: "),
    (("bash", "-c", "head -c 100000000 /dev/zero; echo; echo end; exit 1"), "bash ended with 1: end"),
])  # fmt: skip
def test_a_command_is_run_as_it_stands_and_told_of(args: tuple[str, ...], says: str) -> None:
    cause = asyncio.run(run_command(command(*args), slot()))
    assert cause.startswith(says) if says else cause == ""
    assert len(cause) <= TAIL


def test_a_command_that_does_not_end_is_ended_with_all_that_it_started(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("magpiefront.maintenance.runner.TERM_S", 0.3)
    alive = tmp_path / "alive"
    text = f"trap '' TERM; (while true; do date > {alive}; sleep 0.05; done) & sleep 60"
    began = time.monotonic()
    cause = asyncio.run(run_command(command("bash", "-c", text, most_work_s=0.5), slot()))
    assert "had not ended" in cause and time.monotonic() - began < 20
    alive.unlink()
    time.sleep(0.4)
    assert not alive.exists()


# ---- forecasts


def forecasted(*names: str, **more: Any) -> Any:
    fleet = [Machine(f"m{n}", (f"n{n}a", f"n{n}b"), (), f"z{n % 3}") for n in range(6)]
    members = {f"p{n}": Member(f"p{n}.0", 1) for n in range(3)}
    board = Board(lambda: members, advance)
    limits = Limits(**{"spread_s": 1.0, "least_left": 0.5, **more})
    plan = Plan("kernel", "me", names, limits=limits)
    return forecast(board.kept, members, plan, fleet, tuple(members), 100.0, 10.0)


def test_a_forecast_tells_waves_and_time_and_what_is_left() -> None:
    one = forecasted("m0", "m1", "m2")
    assert [w.machines for w in one.waves] == [["m0"], ["m1"], ["m2"]] and not one.stuck
    assert 3 * 110 < one.takes_s < 3 * 130 and one.first_s < 10
    assert one.least_left == one.waves[0].left == pytest.approx(5 / 6) and one.moved == pytest.approx(1 / 6)
    two = forecasted("m0", "m1", "m2", "m3", most_out=2)
    assert [len(w.machines) for w in two.waves] == [2, 2] and two.takes_s < 2 * 135
    zone = forecasted("m0", "m3", most_out=2)  # of one zone
    assert [w.machines for w in zone.waves] == [["m0"], ["m3"]]
    assert "names no machine" in forecasted().refused
    assert "m9 is no machine" in forecasted("m9").refused


def test_a_forecast_says_what_it_would_wait_for_for_ever() -> None:
    kept = Kept()
    members = {"p0": Member("p0.0", 1), "p1": Member("p1.0", 1)}
    kept.reports = {"p0": Report(why="its gate in front of the nodes lets 20% in"), "p1": Report()}
    plan = Plan("kernel", "me", ("m0",), limits=Limits(least_left=0.0))
    found = forecast(kept, members, plan, [Machine("m0", ("n0",))], ("p0",), 10.0, 1.0)
    assert found.stuck == "m0: p0: its gate in front of the nodes lets 20% in" and not found.waves
