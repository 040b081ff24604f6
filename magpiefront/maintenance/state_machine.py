"""Replicated state of machine maintenance: plans, numbered grants, confirmations of the proxies. No I/O.

This is one of the state machines on the group's log (`group/state_machines.py`): applying the same commands
in the same order gives the same state at each member. Grants are not proposed by the leader. Each member
derives them when it applies a `Tick` (`rules.py`); the leader only supplies the time.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from enum import Enum

import msgspec

from magpiefront.group.registry import Member
from magpiefront.group.messages import name_of
from magpiefront.maintenance.plan import Machine, Plan, problems

MAX_LINES = 200  # the latest events that are kept for operators, one line each


class State(Enum):
    """State of a machine in a plan."""

    ASKED = "asked"  # waits for a grant
    GRANTED = "granted"  # the proxies stop sending to it, one after the other
    DRAINING = "draining"  # no proxy sends to it; open requests finish
    OUT = "out"  # each proxy has confirmed that it is drained: the work may begin
    HELD = "held"  # the member that ran its command is lost: an operator has to say whether the work was done
    BACK = "back"  # the work is done; not all proxies have found its nodes usable yet
    WARMING = "warming"  # in use again, but its caches are cold
    DONE = "done"
    FAILED = "failed"  # counts against the limits like a machine that is out
    WITHDRAWN = "withdrawn"  # cancelled by an operator before it was out


LEAVING = (State.GRANTED, State.DRAINING)
WORKED_ON = (State.OUT, State.HELD)
EXCLUDED = (*LEAVING, *WORKED_ON, State.FAILED)  # proxies send nothing to these
UNAVAILABLE = (*EXCLUDED, State.BACK, State.WARMING)  # count against the limits
FINISHED = (State.DONE, State.WITHDRAWN)
SETTLED = (*FINISHED, State.FAILED)  # no further change without an operator


class Job(msgspec.Struct):
    """The maintenance of one machine in a plan. Times are seconds of replicated time."""

    machine: str
    plan: str
    asked_s: float  # when its plan started or its latest drain was given up; sets its place in the queue
    state: State = State.ASKED
    grant_number: int = msgspec.field(name="epoch", default=0)  # of its latest grant; 0: none yet
    since_s: float = 0.0  # since when it is in `state`
    # Proxies that have confirmed that they are drained, with the member epoch in which each did.
    confirmations: dict[str, int] = msgspec.field(name="words", default_factory=dict)
    runner: str = ""  # the member that runs the command, as "name@epoch"; the epoch is that of the member
    cause: str = ""  # why it is in `state`, or what it waits for
    # The version of `MaintenanceState.next` in which the machine was added to it.
    next_version: int = msgspec.field(name="entered", default=0)
    # Since when it has waited, as the first in the queue, for unavailable machines; 0: it has not.
    first_waiting_s: float = msgspec.field(name="first_s", default=0.0)


class ProxyReport(msgspec.Struct):
    """What one proxy observes of the nodes. `reason` says why no machine should leave now, or is empty."""

    at_s: float = 0.0  # set when the report is applied
    reason: str = msgspec.field(name="why", default="")
    load: float = 0.0  # its mean number of requests in progress at all nodes
    list_hash: int = msgspec.field(name="listed", default=0)  # of its discovery list
    failing: tuple[str, ...] = ()  # nodes that are suspected, not listed, or not listed as ready
    cold: tuple[str, ...] = ()  # nodes in their slow start, or with a low hit ratio after maintenance
    by_hand: tuple[str, ...] = ()  # nodes that an operator has excluded at this proxy
    popular: tuple[int, ...] = ()  # hashes of its most requested keys
    # Requests for each of these; empty in reports of older versions.
    popular_counts: tuple[int, ...] = msgspec.field(name="asked", default=())
    read_count: int = msgspec.field(name="reads", default=0)  # all requests that were counted


class RunningPlan(msgspec.Struct):
    """A plan that was started, with the voters of the group at that time."""

    plan: Plan
    voters: tuple[str, ...] = ()
    paused: str = ""  # name of the operator that paused it
    stopped: str = ""  # why it stopped by itself


class MaintenanceState(msgspec.Struct):
    """Everything that is replicated about maintenance; a snapshot is this structure, encoded."""

    fleet: dict[str, Machine] = {}
    plans: dict[str, RunningPlan] = {}
    # By machine; a job of a finished plan stays until another plan has a job for the same machine.
    jobs: dict[str, Job] = msgspec.field(name="slots", default_factory=dict)
    at_s: float = 0.0  # replicated time; never ahead of the time that has really elapsed
    ticks: int = 0  # number of applied ticks
    wall_s: float = 0.0  # Unix time of the latest tick
    last_grant_number: int = msgspec.field(name="epoch", default=0)  # of the latest grant to any machine
    version: int = 0  # of `next`
    next: tuple[str, ...] = ()  # machines that may be granted next; a proxy without a session excludes them
    # By proxy, the latest version of `next` that it has saved.
    acknowledged: dict[str, int] = msgspec.field(name="knows", default_factory=dict)
    reports: dict[str, ProxyReport] = {}
    lost_s: dict[str, float] = {}  # since when each lost proxy has been lost
    # The highest load in each hour of the day, from the latest day on which that hour was measured.
    hourly_peaks: dict[str, float] = msgspec.field(name="peaks", default_factory=dict)
    hour: int = 0  # the current one, in hours since 1970; `hour_peak` is its highest load so far
    hour_peak: float = msgspec.field(name="rising", default=0.0)
    recent_peak: float = msgspec.field(name="high", default=0.0)  # of about the last minute
    recent_peak_s: float = msgspec.field(name="high_s", default=0.0)  # when `recent_peak` was measured
    line_count: int = msgspec.field(name="noted", default=0)  # all lines so far, including dropped ones
    lines: list[str] = []  # the latest operator commands and state changes


class Start(msgspec.Struct, tag=True):
    """Starts a plan."""

    plan: Plan
    machines: tuple[Machine, ...]  # from the configuration file of the proxy that starts it
    voters: tuple[str, ...]


class Steer(msgspec.Struct, tag=True):
    """An operator's control of a running plan. `action` is pause, resume, withdraw (the plan or one of its
    machines), done or retry (one machine)."""

    action: str = msgspec.field(name="what")
    plan: str
    by: str
    machine: str = ""


class Tick(msgspec.Struct, tag=True):
    """Advances the replicated time by what has elapsed since the leader applied the latest tick, by its own
    monotonic clock. An interval is sent, not a time, because the clocks of two leaders differ and a jump
    between them would end waits too early. `number` counts the ticks that were applied: of two ticks for the
    same interval, the second one is ignored."""

    number: int
    elapsed_s: float = msgspec.field(name="ran_s")
    wall_s: float  # Unix time, used only for windows and hours of the day


class AcknowledgeNext(msgspec.Struct, tag="Knows"):
    """The proposing proxy has saved this version of `MaintenanceState.next`."""

    version: int


class ConfirmDrained(msgspec.Struct, tag="Word"):
    """The proposing proxy sends nothing to the machine and has no request or connection open there."""

    machine: str
    grant_number: int = msgspec.field(name="epoch")
    member_epoch: int = msgspec.field(name="mine")  # of the proposing proxy


class SubmitReport(msgspec.Struct, tag="Told"):
    """Replaces the report of the proposing proxy."""

    report: ProxyReport


class BeginWork(msgspec.Struct, tag="Began"):
    """The proposing proxy is about to run the command for the machine."""

    machine: str
    grant_number: int = msgspec.field(name="epoch")
    member_epoch: int = msgspec.field(name="mine")


class FinishWork(msgspec.Struct, tag="Ended"):
    """The work on the machine has ended."""

    machine: str
    grant_number: int = msgspec.field(name="epoch")
    cause: str = ""  # of a failure; empty: success


Command = Start | Steer | Tick | AcknowledgeNext | ConfirmDrained | SubmitReport | BeginWork | FinishWork


class CommandResult(msgspec.Struct):
    """`cause` says why a command was not carried out."""

    done: bool
    cause: str = ""


def encode(command: Command) -> bytes:
    return msgspec.msgpack.encode(command)


class MaintenanceStateMachine:
    """Applies commands in log order. `members` returns the group's members at the same position in the log;
    `advance` is called at each `Tick`, to derive what follows from the state."""

    def __init__(
        self, members: Callable[[], Mapping[str, Member]],
        advance: Callable[[MaintenanceState, Mapping[str, Member]], None],
    ) -> None:  # fmt: skip
        self.state = MaintenanceState()
        self.members, self.advance = members, advance

    def apply(self, index: int, origin: str, data: bytes) -> bytes:
        try:
            command: Command = msgspec.msgpack.decode(data, type=Command)
        except msgspec.MsgspecError:  # from another version of the program; ignored by all members alike
            return msgspec.msgpack.encode(CommandResult(False, "unknown command, maybe of another version"))
        return msgspec.msgpack.encode(self._apply_command(name_of(origin), command))

    def reset(self) -> None:
        self.state = MaintenanceState()

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(self.state, order="deterministic")

    def restore(self, data: bytes) -> None:
        self.state = msgspec.msgpack.decode(data, type=MaintenanceState)

    def _apply_command(self, member: str, command: Command) -> CommandResult:
        state = self.state
        match command:
            case Start():
                return self._start(command)
            case Steer():
                return self._steer(command)
            case Tick():
                if command.number != state.ticks:
                    return CommandResult(False, "another tick was applied before it")
                state.ticks, state.at_s, state.wall_s = (
                    state.ticks + 1, state.at_s + max(0.0, command.elapsed_s), command.wall_s,
                )  # fmt: skip
                self.advance(state, self.members())
            case AcknowledgeNext():
                state.acknowledged[member] = max(command.version, state.acknowledged.get(member, 0))
            case ConfirmDrained():
                job = state.jobs.get(command.machine)
                if job is None or job.grant_number != command.grant_number or job.state not in LEAVING:
                    return CommandResult(False, "that grant is over")
                job.confirmations[member] = command.member_epoch
            case SubmitReport():
                command.report.at_s = state.at_s
                state.reports[member] = command.report
            case BeginWork():
                job = state.jobs.get(command.machine)
                if (
                    job is None
                    or job.grant_number != command.grant_number
                    or job.state is not State.OUT
                    or job.runner
                ):
                    return CommandResult(False, "its work may not begin now, or has begun already")
                job.runner = f"{member}@{command.member_epoch}"
            case FinishWork():
                job = state.jobs.get(command.machine)
                if job is None or job.grant_number != command.grant_number or job.state not in WORKED_ON:
                    return CommandResult(False, "that grant is over")
                self._finish_work(job, command.cause)
        return CommandResult(True)

    def _finish_work(self, job: Job, cause: str) -> None:
        if cause:
            set_state(self.state, job, State.FAILED, cause)
        else:
            set_state(self.state, job, State.BACK)

    def _start(self, command: Start) -> CommandResult:
        state = self.state
        taken = {j.machine: j.plan for j in state.jobs.values() if j.state not in FINISHED}
        if command.plan.id in state.plans and any(
            j.plan == command.plan.id for j in state.jobs.values() if j.state not in FINISHED
        ):
            return CommandResult(False, f"plan {command.plan.id} runs already")
        fleet = {m.name: m for m in command.machines}
        found = problems(command.plan, fleet, command.voters, taken)
        if found:
            return CommandResult(False, "; ".join(found))
        state.fleet |= fleet
        state.plans[command.plan.id] = RunningPlan(command.plan, command.voters)
        for name in command.plan.machines:
            before = state.jobs.get(name)
            state.jobs[name] = Job(
                name,
                command.plan.id,
                state.at_s,
                grant_number=before.grant_number if before is not None else 0,
            )
        add_line(state, f"{command.plan.by} starts {command.plan.id}: {', '.join(command.plan.machines)}")
        return CommandResult(True)

    def _steer(self, command: Steer) -> CommandResult:
        state = self.state
        running = state.plans.get(command.plan)
        if running is None:
            return CommandResult(False, f"there is no plan {command.plan}")
        jobs = [
            j for j in state.jobs.values() if j.plan == command.plan and command.machine in ("", j.machine)
        ]
        if command.machine and not jobs:
            return CommandResult(False, f"{command.machine} is not in plan {command.plan}")
        match command.action:
            case "pause":
                running.paused = command.by
            case "resume":
                running.paused = running.stopped = ""
            case "withdraw":
                for job in jobs:
                    if job.state in (State.ASKED, *LEAVING):
                        set_state(state, job, State.WITHDRAWN, f"by {command.by}")
            case "done" | "retry":
                if not command.machine:
                    return CommandResult(False, f"{command.action}: needs a machine")
                job = jobs[0]
                if job.state not in (*WORKED_ON, State.FAILED):
                    return CommandResult(False, f"{command.machine} is {job.state.value}, and not out")
                if command.action == "done":
                    set_state(state, job, State.BACK, f"by {command.by}")
                else:
                    set_state(state, job, State.OUT, f"once more, by {command.by}")
            case _:
                return CommandResult(False, f"unknown: {command.action}")
        add_line(state, f"{command.by}: {command.action} {command.plan} {command.machine}".rstrip())
        return CommandResult(True)


def has_active_machines(state: MaintenanceState) -> bool:
    """Whether any machine is waiting or under maintenance."""
    return any(j.state not in SETTLED for j in state.jobs.values())


def set_state(state: MaintenanceState, job: Job, new_state: State, cause: str = "") -> None:
    """Moves a job to another state. Before a new grant, confirmations of the earlier one are discarded."""
    if new_state in (State.ASKED, State.GRANTED):
        job.confirmations, job.first_waiting_s = {}, 0.0
    job.runner = ""
    job.state, job.since_s, job.cause = new_state, state.at_s, cause
    add_line(state, f"{job.machine} is {new_state.value}{f': {cause}' if cause else ''}")


def add_line(state: MaintenanceState, text: str) -> None:
    """Adds a line to the record of events that operators read."""
    state.line_count += 1
    state.lines.append(f"{state.wall_s:.0f} {text}")
    del state.lines[:-MAX_LINES]
