"""Plans, limits, the order in which machines leave, and the exclusions of a proxy. Without I/O."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from magpiefront import Router
from magpiefront.group.registry import Member, MemberState
from magpiefront.interface import ListKind, ServerEntry, ServerList, Status
from magpiefront.maintenance import rules, state_machine
from magpiefront.maintenance.exclusions import ExclusionView, SavedExclusions
from magpiefront.maintenance.placement import Ring
from magpiefront.maintenance.plan import Limits, Machine, Plan, problems
from magpiefront.maintenance.state_machine import CommandResult, MaintenanceStateMachine, ProxyReport
from tests.helpers import SETTINGS
from tests.opcodes import OpcodeCounter

FLEET = tuple(Machine(f"m{n}", (f"n{n}",), (f"p{n}",) if n < 3 else (), f"z{n % 3}") for n in range(6))
VOTERS = ("p0", "p1", "p2")


def plan(*machines: str, id: str = "one", **limits: Any) -> Plan:
    return Plan(id, "somebody", machines or ("m3", "m4"), limits=Limits(**{"spread_s": 0.0, **limits}))


class Site:
    """A replica of the state machine, its members, their reports and the time. Runs a plan for m3 and m4."""

    def __init__(self, **limits: Any) -> None:
        self.members = {n: Member(f"{n}.0", 1) for n in VOTERS}
        self.replica = MaintenanceStateMachine(lambda: self.members, rules.advance)
        self.now = 100.0
        self.reports: dict[str, ProxyReport] = {}
        assert self.do(state_machine.Start(plan(**limits), FLEET, VOTERS)).done

    def do(self, command: state_machine.Command, member: str = "p0") -> CommandResult:
        result = self.replica.apply(0, f"{member}.0", state_machine.encode(command))
        return msgspec.msgpack.decode(result, type=CommandResult)

    def tick(self, seconds: float = 1.0, silent: tuple[str, ...] = ()) -> dict[str, str]:
        """Applies the reports and acknowledgements of all members but `silent`, then a tick."""
        for name, m in self.members.items():
            if m.state is MemberState.ALIVE and name not in silent:
                self.do(state_machine.SubmitReport(self.reports.get(name, ProxyReport())), name)
                self.do(state_machine.AcknowledgeNext(self.replica.state.version), name)
        self.now += seconds
        self.do(state_machine.Tick(self.replica.state.ticks, seconds, self.now))
        return self.states

    def confirm_drained(self, *silent: str) -> None:
        """Applies all due confirmations but those of `silent` members."""
        for job in self.replica.state.jobs.values():
            for name, m in self.members.items():
                if name not in silent and job.state in state_machine.LEAVING:
                    self.do(state_machine.ConfirmDrained(job.machine, job.grant_number, m.epoch), name)

    @property
    def states(self) -> dict[str, str]:
        return {n: j.state.value for n, j in self.replica.state.jobs.items()}

    def reason(self, machine: str) -> str:
        return rules.blocking_reason(self.replica.state, self.replica.state.jobs[machine], self.members)

    def take_out(self) -> None:
        """Runs until m3, the first machine of the plan, is out."""
        for _ in range(6):
            self.tick()
            self.confirm_drained()
        assert self.states["m3"] == "out"


NAMES = st.sampled_from(["m0", "m1", "m2"])


@given(
    st.dictionaries(NAMES, st.sampled_from(list(state_machine.State))), st.sets(NAMES), st.sets(NAMES),
    st.integers(0, 2), st.sampled_from([0, 10**7]),
)  # fmt: skip
def test_is_excluded_agrees_with_excluded_nodes(
    states: dict[str, state_machine.State], next_: set[str], held: set[str], epoch: int, now_us: int
) -> None:
    state = state_machine.MaintenanceState(
        fleet={m.name: m for m in FLEET[:2]}, next=tuple(next_ & {"m0", "m1"})
    )
    state.plans["one"] = state_machine.RunningPlan(plan("m0", spread_s=5.0))
    state.jobs = {m: state_machine.Job(m, "one", 0.0, s, 1) for m, s in states.items() if m in state.fleet}
    view = ExclusionView("p0", SavedExclusions(1, {m: (f"n{m[1:]}", "old") for m in held}))
    view.confirm_read(1)
    view.excluded_nodes(state, epoch, 0)  # records when the grants are first seen
    excluded = view.excluded_nodes(state, epoch, now_us)
    for node in ("n0", "n1", "n2", "old", "none"):
        assert view.is_excluded(state, node, epoch, now_us) == (node in excluded)


@pytest.mark.parametrize(("refused", "expected"), [
    (Plan("x", "me", ()), "names no machine"), (plan("m3", "m3"), "names m3 twice"),
    (plan("m9"), "m9 is no machine"), (plan("m5"), "m5 is in plan other already"),
    (plan(most_out=0), "most_out: must be at least 1"), (plan(most_zone=-1), "most_zone"),
    (plan(least_left=1.5), "least_left: is a share"), (plan(margin=-0.1), "margin: is a share"),
    (plan(most_work_s=0), "most_work_s: must be above 0"), (plan(spread_s=-1), "spread_s"),
    (plan(least_left=0.9), "without it 83% of the nodes are left"),
    (Plan("x", "me", ("m3",), opens_s=5, closes_s=4), "closes before it opens"),
])  # fmt: skip
def test_an_impossible_plan_is_refused(refused: Plan, expected: str) -> None:
    found = problems(refused, {m.name: m for m in FLEET}, VOTERS, {"m5": "other"})
    assert any(expected in line for line in found), found


def test_a_machine_with_a_majority_of_voters_is_refused() -> None:
    both = Machine("both", (), ("p0", "p1"))
    fleet = {m.name: m for m in (*FLEET, both)}
    assert "no majority" in problems(Plan("x", "me", ("both",)), fleet, VOTERS, {})[0]


def test_a_machine_passes_through_all_states() -> None:
    site = Site()
    assert site.tick() == {"m3": "asked", "m4": "asked"}  # all members have to acknowledge it first
    assert site.tick()["m3"] == "granted" and site.tick()["m3"] == "draining"
    site.confirm_drained("p2")
    assert site.tick()["m3"] == "draining"
    assert rules.pending_confirmations(
        site.replica.state, site.replica.state.jobs["m3"], site.members
    ) == ["p2"]  # fmt: skip
    site.confirm_drained()
    assert site.tick() == {"m3": "out", "m4": "asked"} and "most_out is 1" in site.reason("m4")
    job = site.replica.state.jobs["m3"]
    assert not site.do(state_machine.FinishWork("m3", job.grant_number + 1)).done  # from another grant
    assert (
        site.do(state_machine.BeginWork("m3", job.grant_number, 1)).done
        and not site.do(state_machine.BeginWork("m3", job.grant_number, 1)).done
    )
    assert site.do(state_machine.FinishWork("m3", job.grant_number)).done and site.states["m3"] == "back"
    site.reports = {"p1": ProxyReport(failing=("n3",))}
    assert site.tick()["m3"] == "back"
    site.reports = {"p1": ProxyReport(cold=("n3",))}
    assert site.tick()["m3"] == "warming" and site.tick()["m3"] == "warming" and "cold" in site.reason("m4")
    site.reports = {}
    site.tick()
    assert site.tick()["m3"] == "done" and site.tick()["m4"] in ("granted", "draining")


@pytest.mark.parametrize(("report", "expected"), [
    (ProxyReport(reason="the gate is shut"), "p1: the gate is shut"),
    (ProxyReport(cold=("n5",)), "n5 is cold"), (ProxyReport(list_hash=7), "different lists"),
    (ProxyReport(load=9.0), "a load of 9.0 and 20% more is too much"),
])  # fmt: skip
def test_a_reported_problem_delays_a_machine_until_it_is_over(report: ProxyReport, expected: str) -> None:
    site = Site(most_load=1.0)
    site.reports = {"p1": report}
    for _ in range(4):
        site.tick()
    assert site.states["m3"] == "asked" and expected in site.reason("m3")
    site.reports = {}
    for _ in range(70):
        site.tick()
    assert site.states["m3"] == "draining"


def test_a_lost_member_that_did_not_know_the_next_machines_blocks_until_it_leaves() -> None:
    site = Site()
    site.tick(silent=("p2",))
    site.members["p2"] = Member("p2.0", 2, MemberState.LOST)
    for _ in range(12):
        site.tick()
    assert site.states["m3"] == "asked" and "p2 does not know yet" in site.reason("m3")
    site.members["p2"] = Member("p2.0", 3, MemberState.LEFT)
    site.tick()
    assert site.tick()["m3"] in ("granted", "draining")


def test_a_lost_member_that_knew_the_next_machines_delays_only_until_its_requests_have_ended() -> None:
    site = Site()
    while site.tick()["m3"] != "draining":
        pass
    site.confirm_drained("p2")
    site.members["p2"] = Member("p2.0", 2, MemberState.LOST)
    began = site.now
    while site.tick()["m3"] != "out":
        assert site.now - began < rules.LOST_DRAIN_S + 3
    assert site.now - began >= rules.LOST_DRAIN_S


def test_a_confirmation_from_an_earlier_epoch_does_not_count() -> None:
    site = Site()
    while site.tick()["m3"] != "draining":
        pass
    site.confirm_drained()
    site.members["p2"] = Member("p2.0", 5)  # a new process, which has confirmed nothing yet
    assert site.tick()["m3"] == "draining"
    site.confirm_drained()
    assert site.tick()["m3"] == "out"


def test_a_command_whose_runner_is_lost_is_held_for_an_operator() -> None:
    site = Site()
    site.take_out()
    job = site.replica.state.jobs["m3"]
    site.do(state_machine.BeginWork("m3", job.grant_number, 1), "p1")
    site.members["p1"] = Member("p1.0", 2, MemberState.LOST)
    assert (
        site.tick()["m3"] == "held"
        and not site.do(state_machine.BeginWork("m3", job.grant_number, 1), "p0").done
    )
    assert site.do(state_machine.Steer("retry", "one", "me", "m3")).done and site.states["m3"] == "out"
    assert site.do(state_machine.BeginWork("m3", job.grant_number, 1), "p0").done


def test_a_machine_that_does_not_come_back_stops_its_plan_unless_go_on_is_set() -> None:
    for go_on in (False, True):
        site = Site(most_work_s=3.0, most_out=2, go_on=go_on)
        site.take_out()
        for _ in range(6):
            site.tick()
        assert site.states["m3"] == "failed" and ("has stopped" in site.reason("m4")) != go_on
        assert site.do(state_machine.Steer("done", "one", "me", "m3")).done and site.states["m3"] == "back"


def test_rising_load_revokes_grants_of_machines_that_are_not_out() -> None:
    site = Site(most_load=2.0)
    while site.tick()["m3"] != "draining":
        pass
    number = site.replica.state.jobs["m3"].grant_number
    site.confirm_drained("p2")
    site.reports = {"p0": ProxyReport(load=9.5)}
    assert site.tick()["m3"] == "asked" and any("called back" in line for line in site.replica.state.lines)
    assert not site.do(state_machine.ConfirmDrained("m3", number, 1), "p2").done
    site.reports = {}
    while site.tick()["m3"] not in ("granted", "draining"):
        assert site.now < 400
    assert (
        site.replica.state.jobs["m3"].grant_number > number
        and not site.replica.state.jobs["m3"].confirmations
    )


@pytest.mark.parametrize("state", ["asked", "draining", "out"])
def test_operator_commands_in_each_state(state: str) -> None:
    site = Site()
    while site.states["m3"] != state:
        site.tick()
        if state == "out":
            site.confirm_drained()
    assert (
        site.do(state_machine.Steer("pause", "one", "her")).done
        and site.reason("m4") == "one is paused by her"
    )
    assert not site.do(state_machine.Steer("done", "one", "me", "m4")).done
    assert not site.do(state_machine.Steer("dance", "one", "me")).done
    assert not site.do(state_machine.Steer("pause", "none", "me")).done
    assert site.do(state_machine.Steer("withdraw", "one", "me")).done
    assert site.states == {"m3": "out" if state == "out" else "withdrawn", "m4": "withdrawn"}
    again = site.do(state_machine.Start(plan(id="two"), FLEET, VOTERS))
    assert again.done == (state != "out") and ("in plan one already" in again.cause) == (state == "out")


def key_homed_on_m3_and_m4() -> int:
    """Returns a key whose homes are on m3 and m4."""
    ring = Ring([m.nodes[0] for m in FLEET])
    return next(key for key in range(10_000) if set(ring.homes(key)) == {"n3", "n4"})


def site_with_m3_out() -> Site:
    """Returns a site where m3 is out and m4 waits. Together they hold the homes of a popular key."""
    site = Site(most_out=2, least_left=0.0)
    site.reports = {"p0": ProxyReport(popular=(key_homed_on_m3_and_m4(),))}
    for _ in range(6):
        site.tick()
        site.confirm_drained()
    assert site.states == {"m3": "out", "m4": "asked"}
    return site


def test_the_homes_of_a_popular_key_are_never_both_out() -> None:
    site = site_with_m3_out()
    assert site.reason("m4") == "m3 is out, and the two hold the homes of a popular key"


@pytest.mark.parametrize(("reports", "is_popular"), [
    ((ProxyReport(popular=(7,), popular_counts=(5,), read_count=30),), True),  # 5 of 30 reads, at six nodes
    # Popular by the reads of one proxy, but not by those of both.
    ((ProxyReport(popular=(7,), popular_counts=(5,), read_count=30), ProxyReport(read_count=200)), False),
    ((ProxyReport(popular=(7,), popular_counts=(5,), read_count=30),
      ProxyReport(popular=(7,), popular_counts=(9,), read_count=200)), True),
    # Reported by an older version, without counts.
    ((ProxyReport(popular=(7,)), ProxyReport(read_count=10_000)), True),
])  # fmt: skip
def test_popularity_is_counted_over_all_proxies(reports: tuple[ProxyReport, ...], is_popular: bool) -> None:
    site = Site()
    site.reports = dict(zip(VOTERS, reports, strict=False))
    for _ in range(3):
        site.tick()
    assert rules.popular_keys(site.replica.state) == (frozenset({7}) if is_popular else frozenset())


@given(st.sets(st.integers(0, 10_000), max_size=12), st.integers(2, 4), st.integers(0, 90))
def test_a_plan_around_popular_keys_ends_and_never_takes_all_homes_of_one(
    keys: set[int], most: int, work: int
) -> None:
    """Each machine is out for a different time. The plan must not take longer than its machines would take
    one after the other."""
    ring = Ring([m.nodes[0] for m in FLEET])
    homes = [set(ring.homes(key)) for key in keys]
    site = Site(most_out=most, most_zone=most, least_left=0.0)
    site.do(state_machine.Steer("withdraw", "one", "me"))
    every = Plan("all", "me", tuple(m.name for m in FLEET[3:]), limits=Limits(most, most, 0.0, spread_s=0.0))
    assert site.do(state_machine.Start(every, FLEET, VOTERS)).done
    site.reports = {"p0": ProxyReport(popular=tuple(sorted(keys)))}
    began, due = site.now, dict[str, float]()
    while "asked" in site.states.values() or due:
        site.tick()
        site.confirm_drained()
        excluded = {j.machine for j in site.replica.state.jobs.values() if j.state in state_machine.EXCLUDED}
        assert len(excluded) <= most and not any(h <= {f"n{m[1:]}" for m in excluded} for h in homes)
        for name in [m for m, state in site.states.items() if state == "out"]:
            if site.now >= due.setdefault(name, site.now + work + 7 * int(name[1:])):
                site.do(state_machine.FinishWork(name, site.replica.state.jobs[name].grant_number))
                del due[name]
        assert site.now - began < sum(work + 7 * n + 12 for n in (3, 4, 5))


def test_the_first_waiting_machine_is_overtaken_only_for_a_limited_time() -> None:
    """m3 and m4 hold the homes of a popular key, so m4 waits for m3. Others may leave meanwhile, but only for
    a minute."""
    site = site_with_m3_out()
    limits = Limits(2, 2, 0.0, spread_s=0.0)
    assert site.do(state_machine.Start(Plan("two", "me", ("m5",), limits=limits), FLEET, VOTERS)).done
    for _ in range(4):
        site.tick()
        site.confirm_drained()
    assert site.states["m5"] == "out"
    site.do(state_machine.FinishWork("m5", site.replica.state.jobs["m5"].grant_number))
    for _ in range(int(rules.MAX_OVERTAKE_S)):
        site.tick()
    assert site.states["m5"] == "done"
    assert site.do(state_machine.Start(Plan("three", "me", ("m5",), limits=limits), FLEET, VOTERS)).done
    for _ in range(6):
        site.tick()
    assert site.states == {"m3": "out", "m4": "asked", "m5": "asked"}
    site.do(state_machine.FinishWork("m3", site.replica.state.jobs["m3"].grant_number))
    while site.tick()["m4"] == "asked":
        pass
    assert site.states["m5"] != "out" and site.replica.state.jobs["m4"].first_waiting_s == 0.0


def test_the_cost_of_removing_a_node_from_the_ring_does_not_depend_on_its_size() -> None:
    def cost(count: int) -> int:
        names = [f"n{i}" for i in range(count)]
        while Ring.for_nodes(names).placement.busy:
            pass  # apply the changes that the many joins have left to be applied
        with OpcodeCounter() as opcodes:
            ring = Ring.for_nodes(names[1:])
        assert ring.owner(7) == Ring(names[1:]).owner(7)
        return opcodes.count

    assert cost(3_200) <= 1.5 * cost(200)


@given(st.integers(0, (1 << 64) - 1), st.integers(2, 9))
def test_the_homes_are_the_routers_own(key: int, count: int) -> None:
    names = [f"n{i}" for i in range(count)]
    router = Router(SETTINGS, 1)
    entries = [ServerEntry(n, Status.READY, 1.0, "", "", -1, 0) for n in names]
    router.handle(0, ServerList(ListKind.WHOLE, entries))
    ring = Ring(names)
    for h in (key, key ^ 12345, key // 7):
        owner = router.placement.owner(h)
        assert owner is not None and ring.owner(h) == owner.name


def test_without_a_current_read_the_next_and_the_saved_machines_are_excluded() -> None:
    site = Site()
    site.tick()
    site.tick()
    state = site.replica.state
    view = ExclusionView("p0", SavedExclusions(1, {"m5": ("n5",)}))
    assert (
        view.excluded_machines(state, 0, 0) == {"m3", "m4", "m5"}
        and view.pending_commands(state, 1, 0, set()) == []
    )
    view.confirm_read(1)
    assert view.excluded_machines(state, 1, 10**9) == {"m3"} and view.excluded_nodes(state, 1, 10**9) == {
        "n3"
    }
    assert view.excluded_machines(state, 2, 10**9) >= {"m4", "m5"}  # a new epoch without a read
    view.saved = view.to_save(state)
    assert view.saved.machines == {"m3": ("n3",), "m4": ("n4",)}
    site.tick()
    commands = view.pending_commands(site.replica.state, 1, 2 * 10**9, {"n3"})
    assert not [c for c in commands if isinstance(c, state_machine.ConfirmDrained)]  # n3 is still in use
    commands = view.pending_commands(site.replica.state, 1, 4 * 10**9, set())
    assert [c.machine for c in commands if isinstance(c, state_machine.ConfirmDrained)] == ["m3"]
    assert not ExclusionView("p0", None).may_serve


def test_any_node_at_the_address_of_a_node_that_is_out_is_excluded() -> None:
    site = Site()
    site.tick()
    state, view = site.replica.state, ExclusionView("p0", SavedExclusions())
    view.confirm_read(1)
    addresses = {f"n{n}": b"address %d" % n for n in range(6)}
    view.saved = view.to_save(state, addresses)
    assert view.saved.nodes_by_address == {b"address 3": "n3", b"address 4": "n4"}  # of the next machines
    moved = {**addresses, "n3": b"elsewhere"}  # until it is out, the listed address counts
    view.saved = view.to_save(state, moved)
    assert view.saved.nodes_by_address == {b"elsewhere": "n3", b"address 4": "n4"}
    view.saved = view.to_save(state, addresses)
    assert (
        not view.is_excluded(state, "n5", 1, 0, b"address 3")
        and view.excluded_nodes(state, 1, 0, {"n5": b"address 3"}) == set()
    )
    while site.states["m3"] != "out":
        site.tick()
        site.confirm_drained()
    wrong = {**addresses, "n3": b"elsewhere", "n5": b"address 3"}
    view.saved = view.to_save(state, wrong)
    assert view.saved.nodes_by_address[b"address 3"] == "n3"
    assert view.is_excluded(state, "n5", 1, 0, b"address 3") and view.excluded_nodes(state, 1, 0, wrong) == {
        "n3",
        "n5",
    }
    assert not view.is_excluded(state, "n5", 1, 0, b"address 5")
    site.do(state_machine.FinishWork("m3", state.jobs["m3"].grant_number))
    view.saved = view.to_save(state, wrong)
    assert (
        b"address 3" not in view.saved.nodes_by_address and view.excluded_nodes(state, 1, 0, wrong) == set()
    )


def leaves(site: Site, machine: str, max_ticks: int = 90) -> bool:
    """Whether the machine is granted within `max_ticks` seconds."""
    for _ in range(max_ticks):
        site.tick()
        site.confirm_drained()
        if site.states[machine] in ("granted", "draining", "out"):
            return True
    return False


def test_a_plan_resumes_after_a_pause_of_a_day() -> None:
    site = Site()
    site.do(state_machine.Steer("pause", "one", "her"))
    for _ in range(24):
        site.tick(3_600.0)
    assert site.states["m3"] == "asked" and site.reason("m3") == "one is paused by her"
    site.do(state_machine.Steer("resume", "one", "her"))
    assert leaves(site, "m3")


@pytest.mark.parametrize(("opens", "closes", "expected"), [
    (2_000.0, 0.0, "the window of all opens in"), (0.0, 1_200.0, "closes before the work would have to end"),
])  # fmt: skip
def test_no_machine_leaves_outside_of_the_window(opens: float, closes: float, expected: str) -> None:
    """Work takes at most 600 s. A plan longer than its window stops in time, and the other machines stay in
    the state `asked`."""
    site = Site()
    site.do(state_machine.Steer("withdraw", "one", "me"))
    limits = Limits(1, 1, 0.0, spread_s=0.0, most_work_s=600.0)
    every = Plan("all", "me", ("m3", "m4"), "", (), opens, closes, limits)
    assert site.do(state_machine.Start(every, FLEET, VOTERS)).done
    if opens:
        assert not leaves(site, "m3", 30) and expected in site.reason("m3")
        site.now = opens
        assert leaves(site, "m3")
    else:
        assert leaves(site, "m3")
        while site.states["m3"] != "out":
            site.tick()
            site.confirm_drained()
        site.tick(500.0)
        site.do(state_machine.FinishWork("m3", site.replica.state.jobs["m3"].grant_number))
        while site.states["m3"] != "done":
            site.tick()
        assert not leaves(site, "m4", 30) and expected in site.reason("m4")


def test_two_simultaneous_plans_respect_the_limits_of_both() -> None:
    """Each plan has the machines of one zone. The second plan allows three machines to be out, the first one
    only one in all."""
    site = Site()
    site.do(state_machine.Steer("withdraw", "one", "me"))
    strict, loose = Limits(1, 1, 0.0, spread_s=0.0), Limits(3, 2, 0.0, spread_s=0.0)
    for id, machines, limits in (("a", ("m0", "m3"), strict), ("b", ("m1", "m4"), loose)):
        assert site.do(state_machine.Start(Plan(id, "me", machines, limits=limits), FLEET, ())).done
    seen = set[str]()
    for _ in range(200):
        site.tick()
        site.confirm_drained()
        excluded = [j for j in site.replica.state.jobs.values() if j.state in state_machine.EXCLUDED]
        assert len(excluded) <= (1 if any(j.plan == "a" for j in excluded) else 2)
        for job in excluded:
            if job.state is state_machine.State.OUT:
                seen.add(job.machine)
                site.do(state_machine.FinishWork(job.machine, job.grant_number))
            elif job.machine in ("m0", "m1"):  # its own proxy has to end, and returns later
                site.members[f"p{job.machine[1]}"] = Member(f"p{job.machine[1]}.0", 2, MemberState.LOST)
        for n in ("0", "1"):
            if site.states[f"m{n}"] == "back":
                site.members[f"p{n}"] = Member(f"p{n}.0", 3)
    assert seen == {"m0", "m3", "m1", "m4"}
    assert all(site.states[m] == "done" for m in seen)


def test_machines_of_one_zone_leave_in_turn_and_a_failing_zone_blocks_all() -> None:
    site = Site(most_out=2, least_left=0.0)  # m0 and m3 are in zone z0, m1 and m4 in z1
    site.do(state_machine.Steer("withdraw", "one", "me", "m4"))
    site.reports = {name: ProxyReport(failing=("n1", "n4")) for name in VOTERS}
    assert not leaves(site, "m3", 30) and "are out, and most_out" in site.reason("m3")
    site.reports = {name: ProxyReport(failing=("n0",)) for name in VOTERS}
    assert not leaves(site, "m3", 30) and "of zone z0 are out" in site.reason("m3")
    site.reports = {}
    assert leaves(site, "m3")
    site.take_out()
    assert site.do(state_machine.Start(Plan("two", "me", ("m0",), limits=Limits(2, 1, 0.0)), FLEET, ())).done
    assert not leaves(site, "m0", 30) and "of zone z0 are out" in site.reason("m0")


def test_a_machine_that_is_not_listed_leaves_and_fails_if_it_does_not_return() -> None:
    site = Site(most_warm_s=20.0)
    site.reports = {name: ProxyReport(failing=("n3",)) for name in VOTERS}
    site.take_out()
    site.do(state_machine.FinishWork("m3", site.replica.state.jobs["m3"].grant_number))
    for _ in range(25):
        site.tick()
    assert site.states["m3"] == "failed" and "not in use 20 s after it was back" in site.reason("m4")
