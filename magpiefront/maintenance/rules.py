"""Decides when the next machine may leave use, when the work on it may begin, and which grants are revoked.

No I/O and no clock: every decision depends on the replicated state alone and is made at the same position of
the log, so that all members come to the same result. Operators read the text of `blocking_reason` unchanged.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from functools import cached_property

from magpiefront.router import HOMES_PER_MEAN_LOAD
from magpiefront.group.registry import Member, MemberState
from magpiefront.hashing import bytes_hash, unit_interval
from magpiefront.maintenance.placement import Ring
from magpiefront.maintenance.plan import Limits, Machine
from magpiefront.maintenance.state_machine import (
    LEAVING, UNAVAILABLE, MaintenanceState, ProxyReport, Job, State, has_active_machines, set_state,
)  # fmt: skip

LOAD_WINDOW_S = 60.0  # a peak of the load counts for this long
MAX_REPORT_AGE_S = 5.0  # older reports are not used for decisions
# Older reports are not used while no plan runs. Reports are rare then, and serve only the hourly peaks.
MAX_IDLE_REPORT_AGE_S = 150.0
SETTLE_S = 2.0  # no machine leaves for this time after the requests of a lost proxy have ended
# From the end of a lost proxy's session until none of its requests can be open any more: the longest request
# deadline that is taken into account, plus the allowed difference of the clocks. The lost proxy itself stops
# sending to the next machines before that time starts.
LOST_DRAIN_S = 5.0
NEXT_FACTOR = 2  # up to this many times `most_out` machines are listed in `MaintenanceState.next`
MAX_OVERTAKE_S = 60.0  # a machine that has waited first in the queue for longer is not overtaken any more


def advance(state: MaintenanceState, members: Mapping[str, Member]) -> None:
    """Updates the state at a `Tick`."""
    _update_losses(state, members)
    _update_peaks(state)
    _revoke_grants(state)  # before `_step`, after which a machine that was leaving may be out
    for job in sorted(state.jobs.values(), key=lambda j: j.grant_number):
        _step(state, job, members)
    _choose_next(state)
    _grant(state, members)


# ---- members and their reports


def possible_senders(members: Mapping[str, Member]) -> dict[str, Member]:
    """Returns the members that may send to nodes, or may still have requests open there."""
    return {n: m for n, m in members.items() if m.state is not MemberState.LEFT}


def _update_losses(state: MaintenanceState, members: Mapping[str, Member]) -> None:
    lost = {n for n, m in members.items() if m.state is MemberState.LOST}
    state.lost_s = {n: state.lost_s.get(n, state.at_s) for n in sorted(lost)}
    for known in (state.acknowledged, state.reports):
        for name in [n for n in known if n not in members or members[n].state is MemberState.LEFT]:
            del known[name]


def recent_reports(state: MaintenanceState, max_age_s: float = MAX_REPORT_AGE_S) -> dict[str, ProxyReport]:
    """Returns the reports that are not older than `max_age_s`, without those of lost members."""
    return {
        n: r for n, r in state.reports.items() if state.at_s - r.at_s <= max_age_s and n not in state.lost_s
    }


def total_load(state: MaintenanceState) -> float:
    """Returns the number of requests in progress at all nodes, from all proxies. While no plan runs, older
    reports count too, because proxies report rarely."""
    return sum(
        r.load for r in recent_reports(
            state, MAX_REPORT_AGE_S if has_active_machines(state) else MAX_IDLE_REPORT_AGE_S
        ).values()
    )  # fmt: skip


def _update_peaks(state: MaintenanceState) -> None:
    """Updates the peak of the current hour, which limits maintenance from the next day on, and the peak of
    the last minute."""
    hour, load = int(state.wall_s // 3_600), total_load(state)
    if hour != state.hour:
        state.hourly_peaks[str(state.hour % 24)], state.hour, state.hour_peak = state.hour_peak, hour, 0.0
    state.hour_peak = max(state.hour_peak, load)
    if load >= state.recent_peak or state.at_s - state.recent_peak_s > LOAD_WINDOW_S:
        state.recent_peak, state.recent_peak_s = load, state.at_s


def failing_nodes(state: MaintenanceState) -> set[str]:
    """Returns the nodes that fail according to more than half of the reports, and those that an operator has
    excluded at any proxy."""
    reports = recent_reports(state).values()
    nodes = {n for r in reports for n in r.failing}
    found = {n for n in nodes if 2 * sum(n in r.failing for r in reports) > len(reports)}
    return found | {n for r in reports for n in r.by_hand}


# ---- state changes of one machine


def _step(state: MaintenanceState, job: Job, members: Mapping[str, Member]) -> None:
    """Moves a job to its next state if the conditions for that hold, or if it took too long."""
    plan = state.plans[job.plan].plan
    waited = state.at_s - job.since_s
    match job.state:
        case State.GRANTED if waited >= plan.limits.spread_s:
            set_state(state, job, State.DRAINING)
        case State.DRAINING if not pending_confirmations(state, job, members):
            set_state(state, job, State.OUT)
        case State.DRAINING if waited > plan.limits.most_drain_s:
            # The work on the machine has not begun, so it goes back to the end of the queue. The others go
            # first, because the next drain of this machine may take as long again.
            waits = ", ".join(pending_confirmations(state, job, members))
            set_state(state, job, State.ASKED, f"given up: it would not drain for {waits}")
            job.asked_s = state.at_s
        case State.OUT | State.HELD if waited > plan.limits.most_work_s:
            _fail(state, job, f"not back after {plan.limits.most_work_s:.0f} s")
        case State.OUT if job.runner and not _is_alive(job.runner, members):
            set_state(state, job, State.HELD, f"{job.runner.partition('@')[0]} ran its command and is lost")
        case State.BACK if not _not_in_use_by(state, job, members):
            set_state(state, job, State.WARMING)
        case State.WARMING if not _is_cold(state, job):
            set_state(state, job, State.DONE)
        case State.BACK | State.WARMING if waited > plan.limits.most_warm_s:
            if job.state is State.BACK:
                names = ", ".join(_not_in_use_by(state, job, members))
                _fail(state, job, f"not in use {plan.limits.most_warm_s:.0f} s after it was back: {names}")
            else:
                set_state(state, job, State.DONE, "not warm in its time")
        case _:
            pass


def _fail(state: MaintenanceState, job: Job, cause: str) -> None:
    set_state(state, job, State.FAILED, cause)
    running = state.plans[job.plan]
    if not running.plan.limits.go_on:
        running.stopped = f"{job.machine} failed: {cause}"


def _is_alive(runner: str, members: Mapping[str, Member]) -> bool:
    """Whether the member that began to run a command is alive and still in the same epoch."""
    name, _, epoch = runner.partition("@")
    m = members.get(name)
    return m is not None and m.state is MemberState.ALIVE and m.epoch == int(epoch)


def unaware_proxies(state: MaintenanceState, job: Job, members: Mapping[str, Member]) -> list[str]:
    """Returns the members that would keep sending to the machine if they were cut off, because they have not
    acknowledged a version of `MaintenanceState.next` that contains this machine."""
    own = state.fleet[job.machine].proxies
    return [
        n for n in sorted(possible_senders(members))
        if n not in own and state.acknowledged.get(n, 0) < job.next_version
    ]  # fmt: skip


def pending_confirmations(state: MaintenanceState, job: Job, members: Mapping[str, Member]) -> list[str]:
    """Returns what the machine still waits for before it is out, one text for each proxy. Each proxy has to
    confirm in its current epoch that it is drained. A lost proxy must have acknowledged that the machine was
    next, and its requests must have ended. The proxies on the machine itself must have ended."""
    own = state.fleet[job.machine].proxies
    waits = []
    for name, m in sorted(possible_senders(members).items()):
        if m.state is MemberState.LOST:
            if name in own:
                continue
            if name in unaware_proxies(state, job, members):
                waits.append(f"{name}, which is lost and may not know that it was next")
            elif state.at_s - state.lost_s.get(name, state.at_s) < LOST_DRAIN_S:
                waits.append(f"{name}, which has just been lost")
        elif name in own:
            waits.append(f"{name}, which has to end")
        elif job.confirmations.get(name) != m.epoch:
            waits.append(name)
    return waits


def _not_in_use_by(state: MaintenanceState, job: Job, members: Mapping[str, Member]) -> list[str]:
    """Returns the members that have not reported since the machine came back, or whose report names one of
    its nodes as failing or excluded by an operator, and the proxies on the machine that are not alive."""
    machine = state.fleet[job.machine]
    found = [n for n in machine.proxies if n in members and members[n].state is not MemberState.ALIVE]
    for name, m in possible_senders(members).items():
        if m.state is MemberState.ALIVE:
            r = state.reports.get(name)
            failing = set(r.failing) | set(r.by_hand) if r is not None else set()
            if r is None or r.at_s <= job.since_s or failing & set(machine.nodes):
                found.append(name)
    return found


def _is_cold(state: MaintenanceState, job: Job) -> bool:
    """Whether a recent report says that a node of the machine is cold or failing, or no member has reported
    since the state of the job changed."""
    nodes = set(state.fleet[job.machine].nodes)
    reports = [r for r in recent_reports(state).values() if r.at_s > job.since_s]
    return not reports or any(nodes & set(r.cold) or nodes & set(r.failing) for r in reports)


# ---- limits


def unavailable_jobs(state: MaintenanceState) -> list[Job]:
    """Returns the jobs whose machines count against the limits."""
    return [j for j in state.jobs.values() if j.state in UNAVAILABLE]


def failing_machines(state: MaintenanceState) -> list[Machine]:
    """Returns the machines that have a failing node and are not unavailable because of a plan."""
    failing, unavailable = failing_nodes(state), {j.machine for j in unavailable_jobs(state)}
    if not failing:
        return []
    return [m for m in state.fleet.values() if failing.intersection(m.nodes) and m.name not in unavailable]


class GrantContext:
    """Values that are the same for each waiting machine. The popular keys are computed once, when they are
    first used; the unavailable jobs and failing machines are computed at the start and again after each
    grant."""

    def __init__(self, state: MaintenanceState) -> None:
        self.state = state
        self.refresh()

    def refresh(self) -> None:
        self.unavailable, self.failing = unavailable_jobs(self.state), failing_machines(self.state)

    @cached_property
    def popular_keys(self) -> frozenset[int]:
        return popular_keys(self.state)


def exceeded_limit(state: MaintenanceState, limits: Limits, unavailable: Iterable[Machine]) -> str:
    """Returns which limit is exceeded if these machines are unavailable at the same time, or ""."""
    unavailable = list({m.name: m for m in unavailable}.values())
    if len(unavailable) > limits.most_out:
        return f"{len(unavailable) - 1} are out, and most_out is {limits.most_out}"
    zones = [m.zone for m in unavailable if m.zone]
    for zone in sorted(set(zones)):
        if zones.count(zone) > limits.most_zone:
            return f"{zones.count(zone) - 1} of zone {zone} are out, and most_zone is {limits.most_zone}"
    return capacity_shortfall(state, limits, unavailable)


def capacity_shortfall(state: MaintenanceState, limits: Limits, unavailable: Iterable[Machine]) -> str:
    """Returns why the nodes that are left could not carry the load, or ""."""
    nodes = {node for m in state.fleet.values() for node in m.nodes}
    unavailable_nodes = {node for m in unavailable for node in m.nodes}
    if not nodes:
        return ""
    left = len(nodes - unavailable_nodes)
    if left < limits.least_left * len(nodes):
        return f"{left} of {len(nodes)} nodes would be left, and least_left is {limits.least_left:.0%}"
    peak = max(
        state.recent_peak,
        state.hourly_peaks.get(str(state.hour % 24), 0.0),
        state.hourly_peaks.get(str((state.hour + 1) % 24), 0.0),
    )
    if limits.most_load and peak * (1 + limits.margin) > limits.most_load * left:
        return f"a load of {peak:.1f} and {limits.margin:.0%} more is too much for {left} nodes"
    return ""


def popular_keys(state: MaintenanceState) -> frozenset[int]:
    """Returns the keys whose share of all proxies' reads makes the Router use several homes. The counts of
    all proxies are added, because with hundreds of proxies a single one sees too few requests for a key. Keys
    that are reported without counts are all included."""
    counts, uncounted, reads = Counter[int](), set[int](), 0
    for r in recent_reports(state).values():
        reads += r.read_count
        if r.popular_counts:
            counts.update(dict(zip(r.popular, r.popular_counts, strict=False)))
        else:
            uncounted.update(r.popular)
    nodes = len({node for m in state.fleet.values() for node in m.nodes})
    return frozenset(
        uncounted | {key for key, n in counts.items() if HOMES_PER_MEAN_LOAD * nodes * n >= reads}
    )


def _shared_homes(
    state: MaintenanceState, machine: Machine, unavailable: Iterable[Machine], context: GrantContext
) -> str:  # fmt: skip
    """Names an unavailable machine that, together with `machine`, holds all homes of a popular key, or
    returns "". While both are out, all readers of the key would go to the archive."""
    own_nodes = set(machine.nodes)
    unavailable_nodes = {node: m.name for m in unavailable for node in m.nodes}
    if not unavailable_nodes or not own_nodes or not context.popular_keys:
        return ""
    ring = Ring.for_nodes({node for m in state.fleet.values() for node in m.nodes})
    for key in sorted(context.popular_keys):
        homes = set(ring.homes(key))
        if (
            homes & own_nodes
            and homes & set(unavailable_nodes)
            and homes <= own_nodes | set(unavailable_nodes)
        ):
            other = unavailable_nodes[min(homes & set(unavailable_nodes))]
            return f"{other} is out, and the two hold the homes of a popular key"
    return ""


def _missing_majority(
    state: MaintenanceState, machine: Machine, members: Mapping[str, Member], voters: frozenset[str]
) -> str:  # fmt: skip
    """Returns why the group would lose its majority of voters, or ""."""
    if not voters & set(machine.proxies):
        return ""
    alive = {n for n in voters if n in members and members[n].state is MemberState.ALIVE}
    left = alive - set(machine.proxies)
    if 2 * len(left) <= len(voters):
        return f"{len(left)} of {len(voters)} voters would be left"
    return ""


def unsettled_reason(state: MaintenanceState, members: Mapping[str, Member]) -> str:
    """Returns why no machine at all may leave now, or ""."""
    own = {p for j in unavailable_jobs(state) for p in state.fleet[j.machine].proxies}
    reports = recent_reports(state)
    for name, m in sorted(possible_senders(members).items()):
        if m.state is MemberState.LOST:
            if name not in own and state.at_s - state.lost_s.get(name, state.at_s) < LOST_DRAIN_S + SETTLE_S:
                return f"{name} has just been lost"
        elif name not in reports:
            return f"{name} has not reported for {MAX_REPORT_AGE_S:.0f} s"
        elif reports[name].reason:
            return f"{name}: {reports[name].reason}"
    if len({r.list_hash for r in reports.values()}) > 1:
        return "proxies hold different lists"
    cold = {n for r in reports.values() for n in r.cold}
    if cold:
        return f"{min(cold)} is cold"
    return ""


def blocking_reason(state: MaintenanceState, job: Job, members: Mapping[str, Member]) -> str:
    """Returns what a machine in the state `ASKED` waits for before it may leave, or ""."""
    return (
        _plan_blocking_reason(state, job)
        or unsettled_reason(state, members)
        or _machine_blocking_reason(state, job, members, GrantContext(state))
    )


def waits_for(state: MaintenanceState, job: Job, members: Mapping[str, Member]) -> str:
    """Returns what a machine in any state waits for, or ""."""
    match job.state:
        case State.ASKED:
            return blocking_reason(state, job, members)
        case State.GRANTED:
            return "the proxies move its keys away"
        case State.DRAINING:
            return ", ".join(pending_confirmations(state, job, members))
        case State.OUT if job.runner:
            return f"the command that {job.runner.partition('@')[0]} runs"
        case State.OUT:
            command = state.plans[job.plan].plan.command
            return "a member to run its command" if command else "an operator's `done`"
        case State.HELD:
            return f"an operator's `done` or `retry`: {job.cause}"
        case State.BACK:
            return "to be reported as usable by " + ", ".join(_not_in_use_by(state, job, members))
        case State.WARMING:
            return "its nodes to be warm"
        case State.FAILED:
            return f"an operator's `done` or `retry`: {job.cause}"
        case _:
            return ""


def assigned_runner(state: MaintenanceState, job: Job, members: Mapping[str, Member]) -> str:
    """Returns the member that has to run the machine's command, or "" if there is none or the command was
    started. The member is alive and not on an unavailable machine. Among these, the choice is by a hash of
    the member and the machine, so that different members run the commands of different machines."""
    if job.state is not State.OUT or job.runner or not state.plans[job.plan].plan.command:
        return ""
    unavailable = {p for j in unavailable_jobs(state) for p in state.fleet[j.machine].proxies}
    alive = [n for n, m in members.items() if m.state is MemberState.ALIVE and n not in unavailable]
    return min(alive, key=lambda n: unit_interval(bytes_hash(f"{n} {job.machine}".encode())), default="")


def _plan_blocking_reason(state: MaintenanceState, job: Job) -> str:
    running = state.plans[job.plan]
    plan = running.plan
    if running.paused:
        return f"{plan.id} is paused by {running.paused}"
    if running.stopped:
        return f"{plan.id} has stopped: {running.stopped}"
    if state.wall_s < plan.opens_s:
        return f"the window of {plan.id} opens in {plan.opens_s - state.wall_s:.0f} s"
    if plan.closes_s and state.wall_s + plan.limits.most_work_s > plan.closes_s:
        return f"the window of {plan.id} closes before the work would have to end"
    return ""


def _machine_blocking_reason(
    state: MaintenanceState, job: Job, members: Mapping[str, Member], context: GrantContext
) -> str:  # fmt: skip
    machine = state.fleet[job.machine]
    unavailable = [
        m for m in (*(state.fleet[j.machine] for j in context.unavailable), *context.failing)
        if m.name != machine.name
    ]  # fmt: skip
    for limits in _applicable_limits(state, job, context.unavailable):
        reason = exceeded_limit(state, limits, [*unavailable, machine])
        if reason:
            return reason
    reason = _missing_majority(state, machine, members, voters_of(state)) or _shared_homes(
        state, machine, unavailable, context
    )
    if reason:
        return reason
    if job.machine not in state.next:
        return "others are next"
    for name in unaware_proxies(state, job, members):
        return f"{name} does not know yet that it is next"
    return ""


def voters_of(state: MaintenanceState) -> frozenset[str]:
    return frozenset(v for running in state.plans.values() for v in running.voters)


def _applicable_limits(state: MaintenanceState, job: Job, unavailable: Iterable[Job]) -> list[Limits]:
    """Returns the limits of the machine's own plan and of each plan with an unavailable machine. Each limit
    applies to the unavailable machines of all plans together."""
    plans = {job.plan, *(j.plan for j in unavailable)}
    return [state.plans[p].plan.limits for p in sorted(plans)]


# ---- order of the machines


def waiting_jobs(state: MaintenanceState) -> list[Job]:
    """Returns the jobs that wait for a grant. The longest wait is first; jobs of one plan that have waited
    equally long are in the order of the plan."""
    order = {name: i for r in state.plans.values() for i, name in enumerate(r.plan.machines)}
    asked = [j for j in state.jobs.values() if j.state is State.ASKED]
    return sorted(asked, key=lambda j: (j.asked_s, j.plan, order.get(j.machine, 0), j.machine))


def _grant(state: MaintenanceState, members: Mapping[str, Member]) -> None:
    """Grants all machines that may leave now. While the first machine in the queue waits for an unavailable
    one, others may overtake it, but only for `MAX_OVERTAKE_S`. Otherwise machines that can't be out together
    with it could keep it waiting forever. Since a machine only waits while another one makes progress, a plan
    never takes longer than its machines would take one after the other."""
    if not state.next or unsettled_reason(state, members):
        return
    context, is_first = GrantContext(state), True
    for job in waiting_jobs(state):
        if job.machine not in state.next or _plan_blocking_reason(state, job):
            continue
        job.cause = _machine_blocking_reason(state, job, members, context)
        if not job.cause:
            state.last_grant_number += 1
            job.grant_number = state.last_grant_number
            set_state(state, job, State.GRANTED)
            context.refresh()
        elif is_first and context.unavailable:
            is_first, job.first_waiting_s = False, job.first_waiting_s or state.at_s
            if state.at_s - job.first_waiting_s > MAX_OVERTAKE_S:
                return


def _choose_next(state: MaintenanceState) -> None:
    """Chooses the machines that may be granted next. A proxy that is cut off afterwards stops sending to them
    by itself. Only a few are chosen, so that such a proxy can keep using all others."""
    most_out = max((r.plan.limits.most_out for r in state.plans.values()), default=1)
    found = [
        j for j in waiting_jobs(state)
        if not state.plans[j.plan].paused and not state.plans[j.plan].stopped
    ]  # fmt: skip
    earlier = [j for j in found if j.machine in state.next]
    new = [j for j in found if j.machine not in state.next]
    chosen = (earlier + new)[: NEXT_FACTOR * most_out]
    names = tuple(sorted(j.machine for j in chosen))
    if names != state.next:
        state.version += 1
        for job in chosen:
            if job.machine not in state.next:
                job.next_version = state.version
        state.next = names


def _revoke_grants(state: MaintenanceState) -> None:
    """Revokes grants of machines that are not yet out, the latest grant first, until the limits hold again.
    This is needed if the load rises or another machine fails while machines are leaving."""
    while True:
        leaving = sorted(
            (j for j in state.jobs.values() if j.state in LEAVING), key=lambda j: -j.grant_number
        )
        if not leaving:
            return
        unavailable, last = unavailable_jobs(state), leaving[0]
        machines = [state.fleet[j.machine] for j in unavailable] + failing_machines(state)
        reason = next(
            filter(None, (exceeded_limit(state, limits, machines)
                          for limits in _applicable_limits(state, last, unavailable))), "",
        )  # fmt: skip
        if not reason:
            return
        set_state(state, last, State.ASKED, f"called back: {reason}")
