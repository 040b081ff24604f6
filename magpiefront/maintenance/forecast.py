"""Predicts how a plan would go, by simulating the rules on a copy of the current state. No I/O and no clock.

The simulation assumes that nothing fails, that the load stays as it is, and that the work on each machine and
its warming take as long as the operator expects.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from magpiefront.group.registry import Member, MemberState
from magpiefront.maintenance import state_machine, rules
from magpiefront.maintenance.state_machine import (
    MaintenanceStateMachine, MaintenanceState, ProxyReport, State,
)  # fmt: skip
from magpiefront.maintenance.plan import Machine, Plan

STEP_S = 1.0  # replicated time between two ticks
# Maximum number of simulated steps, each with one tick. It bounds the simulation of a plan that never ends,
# which is then reported as stuck.
MAX_STEPS = 200_000


class Wave(msgspec.Struct):
    """Machines that are out at about the same time: one machine, and all that go out before it is done."""

    at_s: float  # from the start of the plan until the first of them is out
    machines: list[str]
    left: float  # smallest share of all nodes that stays in use in this wave


class Forecast(msgspec.Struct):
    """Result of a simulation. If the plan can't be carried out, `refused` or `stuck` is not empty."""

    refused: str = ""  # why the plan would be refused
    stuck: str = ""  # what the plan would wait for without end
    takes_s: float = 0.0  # from the start of the plan until all its machines are done, or it is stuck
    first_s: float = 0.0  # from the start of the plan until the first machine is out
    least_left: float = 1.0  # smallest share of all nodes that stays in use at any time
    moved: float = 0.0  # the largest share of all keys that move to another node within one wave
    waves: list[Wave] = []


class Simulation:
    """Runs the rules with one plan. Times are seconds of the simulated replicated time."""

    def __init__(
        self, state: MaintenanceState, members: Mapping[str, Member], plan: Plan, fleet: Iterable[Machine],
        voters: tuple[str, ...], work_s: float, warm_s: float,
    ) -> None:  # fmt: skip
        self.members, self.plan = members, plan
        self.work_s, self.warm_s = work_s, warm_s
        self.replica = MaintenanceStateMachine(lambda: self.members, rules.advance)
        self.replica.state = msgspec.msgpack.decode(msgspec.msgpack.encode(state), type=MaintenanceState)
        self.live_members = [n for n, m in members.items() if m.state is MemberState.ALIVE]
        self.reports = {n: state.reports.get(n, ProxyReport()) for n in self.live_members}
        self.start = state_machine.Start(plan, tuple(fleet), voters)

    def _apply(self, member: str, command: state_machine.Command) -> state_machine.CommandResult:
        data = self.replica.apply(0, f"{member}.0", state_machine.encode(command))
        return msgspec.msgpack.decode(data, type=state_machine.CommandResult)

    def _simulate_second(self) -> None:
        """Applies what the proxies and the operator would propose, and then a tick."""
        state = self.replica.state
        for name in self.live_members:
            report = self.reports[name]
            cold = {
                n for j in state.jobs.values() if self._is_warming(j) for n in state.fleet[j.machine].nodes
            }
            self._apply(name, state_machine.SubmitReport(
                msgspec.structs.replace(report, cold=tuple(sorted(cold)))))  # fmt: skip
            self._apply(name, state_machine.AcknowledgeNext(state.version))
            for job in state.jobs.values():
                if job.state is State.DRAINING:
                    self._apply(name, state_machine.ConfirmDrained(
                        job.machine, job.grant_number, self.members[name].epoch))  # fmt: skip
        for job in state.jobs.values():
            if job.state in state_machine.WORKED_ON and state.at_s - job.since_s >= self.work_s:
                self._apply("", state_machine.FinishWork(job.machine, job.grant_number))
        self._apply("", state_machine.Tick(state.ticks, STEP_S, state.wall_s + STEP_S))

    def _is_warming(self, job: state_machine.Job) -> bool:
        return job.state is State.WARMING and self.replica.state.at_s - job.since_s < self.warm_s

    def _step(self) -> None:
        """Simulates one second. Before that, skips time in which nothing can change: until the plan's window
        opens, if no machine is under maintenance, or until the work on a machine ends, if all machines under
        maintenance are being worked on."""
        state = self.replica.state
        busy = [j for j in state.jobs.values() if j.state not in (*state_machine.SETTLED, State.ASKED)]
        opens_s = self.plan.opens_s - state.wall_s
        if not busy and opens_s > STEP_S:
            state.wall_s, state.at_s = state.wall_s + opens_s, state.at_s + opens_s
        elif busy and all(j.state in state_machine.WORKED_ON for j in busy):
            rest = min(self.work_s - (state.at_s - j.since_s) for j in busy) - STEP_S
            # If none has been granted within five steps after the first of them went out, none will be
            # granted before the work on one of them ends.
            if rest > 0 and state.at_s - min(j.since_s for j in busy) > 5 * STEP_S:
                state.wall_s, state.at_s = state.wall_s + rest, state.at_s + rest
        self._simulate_second()

    def run(self) -> Forecast:
        """Simulates until the plan has ended, is stuck, or has taken `MAX_STEPS`."""
        found = Forecast()
        result = self._apply("", self.start)
        if not result.done:
            found.refused = result.cause
            return found
        state = self.replica.state
        started_s = state.at_s
        nodes = {n for m in state.fleet.values() for n in m.nodes}
        out_s: dict[str, float] = {}
        quiet_steps = 0
        for _ in range(MAX_STEPS):
            before = state.line_count
            self._step()
            quiet_steps = 0 if state.line_count != before else quiet_steps + 1
            unavailable = rules.unavailable_jobs(state)
            unavailable_nodes = {n for j in unavailable for n in state.fleet[j.machine].nodes}
            left = 1 - len(unavailable_nodes) / len(nodes) if nodes else 1.0
            found.least_left = min(found.least_left, left)
            for job in state.jobs.values():
                if job.plan == self.plan.id and job.state is State.OUT and job.machine not in out_s:
                    out_s[job.machine] = state.at_s - started_s
                    first = found.waves[-1].machines[0] if found.waves else ""
                    if first and state.jobs[first].state is not State.DONE:
                        found.waves[-1].machines.append(job.machine)
                        found.waves[-1].left = min(found.waves[-1].left, left)
                    else:
                        found.waves.append(Wave(state.at_s - started_s, [job.machine], left))
            plan_jobs = [j for j in state.jobs.values() if j.plan == self.plan.id]
            if all(j.state in state_machine.SETTLED for j in plan_jobs):
                break
            # The plan would wait without end if no machine is unavailable, and no event has been recorded for
            # longer than the warming of a machine plus twice the time for which a peak of the load counts.
            if quiet_steps > rules.LOAD_WINDOW_S * 2 + self.warm_s and not unavailable:
                waiting = [j for j in plan_jobs if j.state is State.ASKED]
                found.stuck = (
                    f"{waiting[0].machine}: {rules.blocking_reason(state, waiting[0], self.members)}"
                )
                break
        else:
            found.stuck = f"not finished after {MAX_STEPS} steps"
        found.takes_s, found.first_s = state.at_s - started_s, min(out_s.values(), default=0.0)
        sizes = [len({n for m in w.machines for n in state.fleet[m].nodes}) for w in found.waves]
        found.moved = max(sizes, default=0) / len(nodes) if nodes else 0.0
        return found


def forecast(
    state: MaintenanceState, members: Mapping[str, Member], plan: Plan, fleet: Iterable[Machine],
    voters: tuple[str, ...], work_s: float, warm_s: float,
) -> Forecast:  # fmt: skip
    """Simulates `plan` on a copy of `state`. `work_s` is the time that the work on one machine takes, and
    `warm_s` the time that its nodes then take to become warm, in seconds."""
    return Simulation(state, members, plan, fleet, voters, work_s, warm_s).run()
