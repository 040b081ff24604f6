"""Simulates machine maintenance in simulated time: the production state machine, rules and exclusions over a
replicated log.

Of the group only the guarantees are modelled (the group itself is checked by `model/group.py`): one order of
the log, sessions that end by their member's clock before the loss is known, and reads. The faults of a round
are drawn before it starts: proxies that are cut off and keep serving, that crash and restart, are suspended
and resume, or lag; nodes that fail independently, a load that rises, machines that never come back. The rules
are checked from outside, at simulated times that do not depend on any clock: no request is sent to a machine
that is being worked on, no machine leaves without a grant, never more machines are out than the limits allow,
and the plan ends.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import msgspec

from magpiefront.group.registry import Member, MemberState
from magpiefront.maintenance import state_machine, rules
from magpiefront.maintenance.state_machine import (
    FINISHED, UNAVAILABLE, Command, MaintenanceStateMachine, State,
)  # fmt: skip
from magpiefront.maintenance.plan import Limits, Machine, Plan
from magpiefront.maintenance.exclusions import SavedExclusions, ExclusionView
from magpiefront.model.kernel import Clock, Kernel
from magpiefront.model.rounds import RuleViolation, Fault, ReplayablePlan

US_PER_S, US_PER_MS = 1_000_000, 1_000
# How long a session lasts by its member's clock, the silence after which a member is marked as lost, and the
# largest deviation of a clock's rate.
SESSION_US, LOSS_TIMEOUT_US, DRIFT = 450 * US_PER_MS, 480 * US_PER_MS, 0.01
# The intervals of ticks, of the steps of all proxies, and of their reports.
TICK_US, STEP_US, REPORT_US = 500 * US_PER_MS, 50 * US_PER_MS, 1 * US_PER_S
SNAPSHOT_INTERVAL = 50  # log entries between two snapshots of a proxy
DEADLINE_US = 2 * US_PER_S  # of the requests that a proxy sends
WORK_S, WARM_US = 3.0, 1 * US_PER_S  # duration of the work on a machine, and of the warming of its nodes
# Relative frequency of each kind of fault (`MaintenanceSimulation.inject_fault`): "cut" cuts a proxy off from
# the group, "long" does so for ten times as long; "stop" suspends a process; "slow" delays committed entries
# to a proxy; "node" makes a node fail; "load" raises the load; after "never", a machine does not come back
# from its work; "pause" pauses the plan.
FAULT_WEIGHTS = {
    "cut": 4, "kill": 3, "stop": 3, "slow": 2, "node": 2, "load": 2, "never": 1, "pause": 1, "long": 2,
}  # fmt: skip
UNFINISHED_DURATION_US = 200 * US_PER_S  # simulated time if a machine never comes back: the plan does not end
# The time in which a plan has to end: for each machine its spread, drain, work and warming, and 5 s for ticks
# and reports; for each fault its duration and the time until it has no effect any more. A load counts for a
# minute (`rules.LOAD_WINDOW_S`).
MACHINE_BOUND_US, LOSS_BOUND_US, LOAD_BOUND_US = 12 * US_PER_S, 12 * US_PER_S, 75 * US_PER_S


@dataclass(frozen=True)
class Round(ReplayablePlan):
    """The size of a simulation, two limits of its plan, and its faults."""

    seed: int
    proxies: int = 5
    machines: int = 6
    zones: int = 3
    most_out: int = 1
    go_on: bool = True
    faults: tuple[Fault, ...] = ()

    @classmethod
    def draw(cls, seed: int) -> Round:
        """Draws the sizes and one to eight faults; the same seed gives the same round."""
        random = Random(f"{seed} maintenance")
        machines = random.randint(3, 9)
        length_us = machines * 12 * US_PER_S
        faults = tuple(
            Fault(random.randrange(length_us),
                  random.choices(list(FAULT_WEIGHTS), list(FAULT_WEIGHTS.values()))[0],
                  random.randrange(1_000), int(10 ** random.uniform(5, 7.3)))
            for _ in range(random.randint(1, 8))
        )  # fmt: skip
        return cls(seed, random.randint(2, 7), machines, random.randint(1, 3), random.randint(1, 3),
                   faults=tuple(sorted(faults, key=lambda f: f.at_us)))  # fmt: skip

    @property
    def bound_us(self) -> int:
        """The time in which the plan has to end if all machines come back."""
        after = [LOAD_BOUND_US if f.kind == "load" else LOSS_BOUND_US for f in self.faults]
        lasts = [f.lasts_us * (10 if f.kind == "long" else 1) for f in self.faults]
        return self.machines * MACHINE_BOUND_US + sum(after) + sum(lasts)


class Proxy:
    """One proxy: its process, and what its machine stores. Times are microseconds of simulated time, except
    that of the session, which is by the proxy's clock."""

    def __init__(self, simulation: MaintenanceSimulation, name: str) -> None:
        self.simulation, self.name, self.id = simulation, name, f"{name}.0"
        self.clock = Clock(
            simulation.kernel.random.randrange(US_PER_S), 1 + simulation.kernel.random.uniform(-DRIFT, DRIFT)
        )
        self.saved_exclusions: SavedExclusions | None = None
        self.snapshot = 0, b""  # the last applied index, and the data; empty before the first snapshot
        self.is_running = self.is_suspended = self.is_cut_off = False
        self.lag_us, self.life = 5 * US_PER_MS, 0  # delay of committed entries; number of the process
        self.open_requests: dict[str, list[int]] = {}  # by node: when each open request ends
        self.session_until_us, self.epoch = 0, 0
        self.start()

    def start(self) -> None:
        """Starts a process with the last snapshot, however old it is, or with empty state if there is
        none."""
        self.is_running, self.is_suspended, self.life = True, False, self.life + 1
        self.applied, data = self.snapshot
        self.replica = MaintenanceStateMachine(
            lambda: self.simulation.members_at[self.applied], rules.advance
        )
        if data:
            self.replica.restore(data)
        self.view = ExclusionView(self.name, self.saved_exclusions)
        self.open_requests = {}
        self.session_until_us = self.epoch = 0
        self.is_reading = False

    @property
    def session(self) -> int:
        """The epoch of the session; 0 if it has ended."""
        return self.epoch if self.clock.local(self.simulation.kernel.now_us) < self.session_until_us else 0

    # ---- the group

    def apply_log(self) -> None:
        """Applies the committed entries that have arrived by now."""
        simulation = self.simulation
        while (
            self.applied < len(simulation.log)
            and simulation.log[self.applied][0] + self.lag_us <= simulation.kernel.now_us
        ):
            _, origin, data = simulation.log[self.applied]
            self.applied += 1
            self.replica.apply(self.applied, origin, data)
            if self.applied % SNAPSHOT_INTERVAL == 0:
                self.snapshot = self.applied, self.replica.snapshot()

    def renew_session(self) -> None:
        """Renews the session, and starts a read if none has returned in this epoch."""
        simulation = self.simulation
        member = simulation.members[self.name]
        if member.state is not MemberState.ALIVE:
            return
        self.session_until_us, self.epoch = (
            self.clock.local(simulation.kernel.now_us) + SESSION_US,
            member.epoch,
        )
        simulation.renewed_us[self.name] = simulation.kernel.now_us
        if not self.view.is_current(self.epoch) and not self.is_reading:
            self.is_reading = True
            simulation.kernel.after(
                self.lag_us, lambda: self.finish_read(len(simulation.log), member.epoch, self.life)
            )

    def finish_read(self, index: int, epoch: int, life: int) -> None:
        """Ends a read once the process has applied the entries up to `index`. The read counts only if the
        session in which it was started is still valid."""
        if life != self.life:
            return
        if self.is_suspended or self.applied < index:
            self.simulation.kernel.after(20 * US_PER_MS, lambda: self.finish_read(index, epoch, life))
            return
        self.is_reading = False
        if self.session == epoch:
            self.view.confirm_read(epoch)

    # ---- requests and commands

    def step(self) -> None:
        """Saves and applies the exclusions, sends a request to each node that is not excluded, and proposes
        the pending commands."""
        simulation, now = self.simulation, self.simulation.kernel.now_us
        if not self.is_running or self.is_suspended:
            return
        if not self.is_cut_off:
            self.apply_log()
            self.renew_session()
        local_us, state = self.clock.local(now), self.replica.state
        to_save = self.view.to_save(state)
        if self.view.is_current(self.session) and to_save != self.saved_exclusions:
            self.saved_exclusions = to_save
            self.view.saved = to_save
        excluded = self.view.excluded_nodes(state, self.session, local_us)
        for node in simulation.nodes:
            self.open_requests[node] = [until for until in self.open_requests.get(node, []) if until > now]
            if self.view.may_serve and node not in excluded:
                simulation.check_send(self, node)
                self.open_requests[node].append(
                    now + simulation.kernel.random.randrange(20 * US_PER_MS, DEADLINE_US)
                )
        if not self.is_cut_off:
            in_use = {node for node, requests in self.open_requests.items() if requests}
            for command in self.view.pending_commands(state, self.session, local_us, in_use):
                simulation.propose(self.id, command)

    def propose_report(self) -> None:
        """Proposes a report on the load and on failing and cold nodes, if the proxy has a session."""
        simulation = self.simulation
        if self.is_running and not self.is_suspended and not self.is_cut_off and self.session:
            failing = tuple(sorted(simulation.failing_nodes()))
            cold = tuple(
                n
                for n, until in sorted(simulation.cold.items())
                if until > simulation.kernel.now_us and n not in failing
            )
            simulation.propose(self.id, state_machine.SubmitReport(
                state_machine.ProxyReport(load=simulation.load / len(simulation.proxies), failing=failing,
                                     cold=cold)))  # fmt: skip


class MaintenanceSimulation:
    """The proxies, the log, the machines, the faults of a round, and the rules that are checked."""

    def __init__(self, drawn_round: Round) -> None:
        self.round, self.kernel = drawn_round, Kernel(drawn_round.seed)
        self.log: list[tuple[int, str, bytes]] = []  # time of the commit, origin, command
        self.machines = [Machine(f"m{i}", (f"m{i}-a", f"m{i}-b"), (), f"z{i % drawn_round.zones}")
                         for i in range(drawn_round.machines)]  # fmt: skip
        self.nodes = [n for m in self.machines for n in m.nodes]
        self.machine_of = {n: m.name for m in self.machines for n in m.nodes}
        self.members = {f"p{i}": Member(f"p{i}.0", 1) for i in range(drawn_round.proxies)}
        self.members_at: list[dict[str, Member]] = [self._copy_members()]  # by index of the log
        self.renewed_us: dict[str, int] = {n: 0 for n in self.members}
        # The committed state, without the delay with which the proxies learn of it.
        self.committed = MaintenanceStateMachine(lambda: self.members_at[-1], rules.advance)
        self.proxies = {n: Proxy(self, n) for n in self.members}
        # The load in requests in progress, and until when each node fails or is cold.
        self.load, self.failing, self.cold = 1.0, dict[str, int](), dict[str, int]()
        self.never_back: set[str] = set()
        self.working_since_us: dict[str, int] = {}  # machines that are being worked on
        self.grants = 0
        self.ended_us = 0
        self.ticked_us = 0  # when the last tick was applied
        self.limits = Limits(drawn_round.most_out, 1, 0.5, 0.2, 4.0, 60.0, 30.0, 20.0, 1.0, drawn_round.go_on)

    def _copy_members(self) -> dict[str, Member]:
        return {n: msgspec.structs.replace(m) for n, m in self.members.items()}

    def failing_nodes(self) -> set[str]:
        """Returns the nodes of machines that are being worked on, and those that fail independently."""
        now = self.kernel.now_us
        out = {n for n, m in self.machine_of.items() if m in self.working_since_us}
        return out | {n for n, until in self.failing.items() if until > now}

    # ---- the log

    def propose(self, origin: str, command: Command) -> None:
        """Commits a command after 2 to 30 ms."""
        data = state_machine.encode(command)
        self.kernel.after(
            self.kernel.random.randrange(2 * US_PER_MS, 30 * US_PER_MS), lambda: self._commit(origin, data)
        )

    def _commit(self, origin: str, data: bytes) -> None:
        """Appends a command to the log and checks the rules on the state after it."""
        before, ticks = (
            {s.machine: s.state for s in self.committed.state.jobs.values()},
            self.committed.state.ticks,
        )
        self.log.append((self.kernel.now_us, origin, data))
        self.members_at.append(self._copy_members())
        self.committed.apply(len(self.log), origin, data)
        if self.committed.state.ticks != ticks:
            self.ticked_us = self.kernel.now_us
        for job in self.committed.state.jobs.values():
            if before.get(job.machine) is not job.state:
                self._on_state_change(job)
        self.check_limits()

    def _on_state_change(self, job: state_machine.Job) -> None:
        """Checks the rules for a machine whose state has changed, and simulates the work on it."""
        now = self.kernel.now_us
        if job.state is State.GRANTED:
            self.grants += 1
        elif job.state is State.OUT:
            if not job.grant_number:
                raise RuleViolation(f"{job.machine} is out without a grant")
            for proxy in self.proxies.values():
                if any(
                    until > now
                    for n in self._nodes_of(job.machine)
                    for until in proxy.open_requests.get(n, [])
                ):
                    raise RuleViolation(
                        f"{job.machine} is out at {now} us, but {proxy.name} has a request open there"
                    )
            self.working_since_us[job.machine] = now
            self._check_capacity(job.machine)
            if job.machine not in self.never_back:
                self.kernel.after(
                    int(WORK_S * US_PER_S), lambda: self._finish_work(job.machine, job.grant_number)
                )
        elif job.state is State.BACK:
            self.working_since_us.pop(job.machine, None)
            for node in self._nodes_of(job.machine):
                self.cold[node] = now + WARM_US

    def _finish_work(self, machine: str, epoch: int) -> None:
        self.propose("operator", state_machine.FinishWork(machine, epoch))

    def _nodes_of(self, machine: str) -> tuple[str, ...]:
        return next(m.nodes for m in self.machines if m.name == machine)

    # ---- rules

    def check_send(self, proxy: Proxy, node: str) -> None:
        """Checks that a node to which a request is sent is not being worked on."""
        if self.machine_of[node] in self.working_since_us:
            raise RuleViolation(
                f"{proxy.name} sends to {node} at {self.kernel.now_us} us, whose machine is being worked on"
            )

    def check_limits(self) -> None:
        """Checks the numbers of machines that are out, of all machines and of one zone."""
        state = self.committed.state
        out = [state.fleet[s.machine] for s in state.jobs.values() if s.state in UNAVAILABLE]
        if len(out) > self.round.most_out:
            raise RuleViolation(f"{len(out)} machines are out, but at most {self.round.most_out} may be")
        zones = [m.zone for m in out]
        if zones and max(map(zones.count, zones)) > self.limits.most_zone:
            raise RuleViolation("too many machines of one zone are out")

    def _check_capacity(self, machine: str) -> None:
        """Checks that the nodes that remain in use can carry the load."""
        state = self.committed.state
        remaining = len(self.nodes) - sum(
            len(state.fleet[s.machine].nodes) for s in rules.unavailable_jobs(state)
        )
        if rules.total_load(state) > self.limits.most_load * remaining:
            raise RuleViolation(
                f"{machine} is out, and {remaining} nodes remain for a load of {rules.total_load(state):.1f}"
            )

    # ---- faults

    def inject_fault(self, fault: Fault) -> None:
        """Starts a fault and schedules its end."""
        proxy = list(self.proxies.values())[fault.who % len(self.proxies)]
        match fault.kind:
            case "cut" | "slow" | "long":
                lasts_us = fault.lasts_us * (10 if fault.kind == "long" else 1)
                if fault.kind == "slow":
                    proxy.lag_us = 400 * US_PER_MS
                    self.kernel.after(lasts_us, lambda: setattr(proxy, "lag_us", 5 * US_PER_MS))
                else:
                    proxy.is_cut_off = True
                    self.kernel.after(lasts_us, lambda: self._reconnect(proxy))
            case "kill":
                proxy.is_running, proxy.open_requests = False, {}
                self.kernel.after(fault.lasts_us, proxy.start)
            case "stop":
                proxy.is_suspended = True
                self.kernel.after(fault.lasts_us, lambda: setattr(proxy, "is_suspended", False))
            case "node":
                node = self.nodes[fault.who % len(self.nodes)]
                self.failing[node] = self.kernel.now_us + fault.lasts_us
            case "load":
                self.load = 4.0 * len(self.nodes) * (0.6 + fault.who % 4 / 10)
                self.kernel.after(fault.lasts_us, lambda: setattr(self, "load", 1.0))
            case "never":
                self.never_back.add(self.machines[fault.who % len(self.machines)].name)
            case "pause":
                self.propose("operator", state_machine.Steer("pause", "plan", "somebody"))
                resume = state_machine.Steer("resume", "plan", "somebody")
                self.kernel.after(fault.lasts_us, lambda: self.propose("operator", resume))
            case _:
                raise AssertionError(fault.kind)

    def _reconnect(self, proxy: Proxy) -> None:
        """Reconnects a proxy. It lags at first, so that it has a session again before it has applied all
        entries."""
        proxy.is_cut_off, proxy.lag_us = False, 400 * US_PER_MS
        self.kernel.after(2 * US_PER_S, lambda: setattr(proxy, "lag_us", 5 * US_PER_MS))

    # ---- guarantees of the group

    def _update_sessions(self) -> None:
        """Marks members as lost that have not renewed their session for longer than any session lasts. A lost
        member that is reachable again, and a new process of a member, get a new epoch."""
        now = self.kernel.now_us
        for name, member in self.members.items():
            proxy = self.proxies[name]
            is_reachable = proxy.is_running and not proxy.is_suspended and not proxy.is_cut_off
            if member.state is MemberState.ALIVE and now > self.renewed_us[name] + LOSS_TIMEOUT_US:
                member.state, member.epoch = MemberState.LOST, member.epoch + 1
            elif member.state is MemberState.LOST and is_reachable:
                member.state, member.epoch, self.renewed_us[name] = MemberState.ALIVE, member.epoch + 1, now
            elif (
                member.state is MemberState.ALIVE
                and proxy.epoch
                and proxy.life > 1
                and member.process_number != proxy.life
            ):
                member.epoch += 1
            member.process_number = proxy.life

    def _step_all(self) -> None:
        self._update_sessions()
        for proxy in self.proxies.values():
            proxy.step()
        self.kernel.after(STEP_US, self._step_all)

    def _tick(self) -> None:
        now = self.kernel.now_us
        self.propose(
            "leader",
            state_machine.Tick(self.committed.state.ticks, (now - self.ticked_us) / US_PER_S, now / US_PER_S),
        )
        self.kernel.after(TICK_US, self._tick)

    def _report_all(self) -> None:
        for proxy in self.proxies.values():
            proxy.propose_report()
        self.kernel.after(REPORT_US, self._report_all)

    @property
    def is_over(self) -> bool:
        jobs = self.committed.state.jobs.values()
        return bool(jobs) and all(s.state in FINISHED or s.state is State.FAILED for s in jobs)

    def run(self) -> None:
        """Plays the round until its plan has ended. Raises RuleViolation if a rule does not hold."""
        plan = Plan("plan", "somebody", tuple(m.name for m in self.machines), limits=self.limits)
        start = state_machine.Start(plan, tuple(self.machines), ("p0",))
        self.kernel.after(1 * US_PER_S, lambda: self.propose("operator", start))
        for fault in self.round.faults:
            self.kernel.at(fault.at_us, lambda fault=fault: self.inject_fault(fault))  # type: ignore[misc]
        for start_task in (self._step_all, self._tick, self._report_all):
            start_task()
        while not self.is_over and self.kernel.now_us < (
            UNFINISHED_DURATION_US if self.never_back else self.round.bound_us
        ):
            self.kernel.run(self.kernel.now_us + US_PER_S)
        self.ended_us = self.kernel.now_us
        if not self.is_over and not self.never_back:
            state = self.committed.state
            unfinished = {s.machine: rules.blocking_reason(state, s, self.members) or s.state.value
                          for s in state.jobs.values() if s.state not in FINISHED}  # fmt: skip
            raise RuleViolation(
                f"the plan has not ended after {self.round.bound_us // US_PER_S} s: {unfinished}"
            )
