"""Simulates the takeover of reports in simulated time: production journals, owners and claim orders over one
store, with processes that crash, are suspended or are cut off from the group, and nodes that suppress repeats
of a report within the retry window.

Of the group only the guarantees are modelled (the group itself is checked by `model/group.py`): a session
ends by the member's clock before the other members consider the member lost, and each member learns of a
change some time later, or much later if it is cut off. The rules concern what nodes and clients observe: no
report takes effect twice, each attempt gets at most one answer, each confirmed report has taken effect, and
no report is open `RECOVERY_US` after the last fault.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

import msgspec

from magpiefront.group.registry import Member, MemberState
from magpiefront.model.kernel import Kernel
from magpiefront.model.rounds import RuleViolation, Fault, ReplayablePlan
from magpiefront.record import journal as j
from magpiefront.record.ownership import UngroupedOwnership, OwnerStatus
from magpiefront.record.rows import Answer, Id, Moment, Outcome, Result, Row
from magpiefront.record.rows import State as RowState
from magpiefront.takeover import claim_order, owners

# How long a session lasts, the silence after which a member is marked as lost, the interval of a member's
# pings, and for how long a lost member must be heard before it is alive again.
SESSION_US, LOSS_TIMEOUT_US, PING_INTERVAL_US, HOLD_US = 450_000, 500_000, 110_000, 1_000_000
# For how long nodes suppress repeats of a report, the time limit of an attempt, the time limit for storing an
# outcome, and the interval at which a process looks for open rows.
RETRY_WINDOW_US, DEADLINE_US, SETTLE_US, SCAN_INTERVAL_US = 8_000_000, 2_000_000, 1_000_000, 500_000
# For how long clients start new reports, and the time after the last fault in which all reports must end.
TRAFFIC_US, RECOVERY_US = 6_000_000, 25_000_000
# Relative frequency of each kind of fault: "stop" suspends a process, "cut" cuts it off from the group,
# "store" cuts it off from the store, and "slow" makes its callbacks run late.
FAULT_WEIGHTS = {"kill": 4, "stop": 4, "cut": 3, "store": 2, "slow": 2}
NODE_ANSWER = Answer(200, b"", b"held")


@dataclass(frozen=True)
class Plan(ReplayablePlan):
    """The number of members, and the faults that they undergo."""

    seed: int
    members: int = 3
    faults: tuple[Fault, ...] = ()

    @classmethod
    def draw(cls, seed: int, members: int = 3) -> Plan:
        """Draws one to four faults; the same arguments give the same plan."""
        random = Random(f"{seed} {members}")
        faults = [
            Fault(random.randrange(200_000, TRAFFIC_US - 1_000_000), kind, random.randrange(members),
                  int(10 ** random.uniform(4.7, 7.2)))
            for kind in random.choices(list(FAULT_WEIGHTS), list(FAULT_WEIGHTS.values()),
                                       k=random.randint(1, 4))
        ]  # fmt: skip
        return cls(seed, members, tuple(sorted(faults, key=lambda f: f.at_us)))


class Store:
    """The store of record that all processes share. A change takes effect at one moment; its result may
    arrive after the deadline or never."""

    def __init__(self, simulation: TakeoverSimulation) -> None:
        self.simulation = simulation
        self.rows: dict[Id, Row] = {}

    def matches(self, before: Row) -> bool:
        """Returns whether the stored row still has the state and the owner of `before`."""
        stored = self.rows.get(before.id)
        return stored is not None and (stored.state, stored.owner) == (before.state, before.owner)

    def execute(self, action: j.Action) -> Result:
        """Executes one action of a journal. Raises RuleViolation if a claim is not allowed."""
        match action:
            case j.Insert():
                stored = self.rows.setdefault(action.row.id, action.row)
                return Result(Outcome.DONE) if stored is action.row else Result(Outcome.CONFLICT, stored)
            case j.Change():
                if not self.matches(action.before):
                    return Result(Outcome.CONFLICT, self.rows.get(action.before.id))
                self.simulation.check_claim(self.rows[action.after.id], action.after)
                self.rows[action.after.id] = action.after
                return Result(Outcome.DONE)
            case j.Remove():
                if not self.matches(action.before):
                    return Result(Outcome.CONFLICT, self.rows.get(action.before.id))
                del self.rows[action.before.id]
                return Result(Outcome.DONE)
            case j.Get():
                return Result(Outcome.DONE, self.rows.get(action.id))
            case _:
                raise AssertionError(action)


class Process(UngroupedOwnership):
    """One member's process with its journal. It is also the `Ownership` of that journal, without `watch`,
    `follow` and `notify_done`."""

    def __init__(self, simulation: TakeoverSimulation, name: str) -> None:
        self.simulation, self.name, self.me = simulation, name, f"{name}.0"
        self.generation = self.life = 0
        self.deferred_calls: list[Callable[[], None]] | None = None  # calls while suspended; else None
        self.is_running = self.is_cut_off = self.is_store_down = False
        self.max_slowdown_us = 0  # callbacks run late by up to this time
        self.members: dict[str, Member] = {}  # as far as this process knows
        self.session_until_us = self.epoch = 0
        self.journal = self._new_journal()
        self.ended_since_us: dict[str, int] = {}  # by owner: when its end was first noticed

    def _new_journal(self) -> j.Journal:
        return j.Journal("boot", 20_000, SETTLE_US, self)

    # ---- record.ownership.Ownership

    def owner_prefix(self) -> str | None:
        mine = self.members.get(self.name)
        is_alive = mine is not None and mine.state is MemberState.ALIVE and mine.epoch == self.epoch
        return (
            owners.prefix_of(self.me, self.epoch)
            if is_alive and self.simulation.now_us < self.session_until_us
            else None
        )

    def may_act(self, owner: str) -> bool:
        prefix = self.owner_prefix()
        return prefix is not None and owner.startswith(prefix)

    def owner_status(self, owner: str) -> OwnerStatus:
        return owners.owner_status(owner, self.me, self.members)

    def claim_delay_us(self, id: Id) -> int:
        return claim_order.claim_delay_us(
            id, self.me, [m.id for m in self.members.values() if m.state is MemberState.ALIVE]
        )  # fmt: skip

    # ---- life cycle

    def start(self) -> None:
        self.generation += 1
        self.life += 1
        self.is_running, self.journal, self.ended_since_us, self.session_until_us = (
            True,
            self._new_journal(),
            {},
            0,
        )
        self.ping()
        self.scan_open_rows()

    def restart(self) -> None:
        """Starts a process if none is running."""
        if not self.is_running:
            self.start()

    def kill(self) -> None:
        """Ends the process. Its scheduled callbacks do not run any more."""
        self.is_running, self.deferred_calls = False, None
        self.generation += 1

    def resume(self) -> None:
        deferred, self.deferred_calls = self.deferred_calls, None
        for call in deferred or []:
            call()

    def schedule(self, delay_us: int, callback: Callable[[], None]) -> None:
        """Runs a callback in this process after a delay. If the process is suspended at that time, the
        callback runs once it resumes. Callbacks of a process that has ended do not run."""
        generation = self.generation

        def run_or_defer() -> None:
            if generation == self.generation:
                if self.deferred_calls is not None:
                    self.deferred_calls.append(run_or_defer)
                else:
                    callback()

        self.simulation.kernel.after(
            delay_us + (self.max_slowdown_us and self.simulation.random.randrange(self.max_slowdown_us)),
            run_or_defer,
        )

    def ping(self) -> None:
        if not self.is_cut_off:
            self.simulation.on_ping(self)
        self.schedule(PING_INTERVAL_US, self.ping)

    # ---- actions of the journal

    def perform(self, actions: list[j.Action]) -> None:
        """Performs the actions that the journal has returned. Log lines and notifications are ignored."""
        for action in actions:
            match action:
                case j.Reply():
                    self.simulation.on_answer(action.waiter, action.answer.status)
                case j.Send():
                    self.schedule(
                        self.simulation.draw_us(100, 60_000),
                        lambda action=action: self._send_first_byte(action),  # type: ignore[misc]
                    )
                case j.Insert() | j.Change() | j.Remove() | j.Get():
                    self._send_to_store(action)
                case _:
                    pass

    def _send_to_store(self, action: j.Insert | j.Change | j.Remove | j.Get) -> None:
        after_us = action.delay_us if isinstance(action, j.Get) else 0

        def execute() -> None:
            if self.is_store_down:
                self.schedule(
                    self.simulation.draw_us(1, 50_000),
                    lambda: self._on_store_result(action, Result(Outcome.NOT_DONE)),
                )
                return
            result = self.simulation.store.execute(action)
            if self.simulation.random.random() < 0.02 and not isinstance(action, j.Get):
                result = Result(Outcome.UNCERTAIN)
            self.schedule(self.simulation.draw_us(50, 3_000), lambda: self._on_store_result(action, result))

        # Once sent, the action reaches the store even if this process ends. One action in a hundred is
        # delayed for up to 3 s, as by a store that has stalled.
        transit_us = self.simulation.draw_us(
            50, 3_000_000 if self.simulation.random.random() < 0.01 else 3_000
        )
        self.schedule(after_us, lambda: self.simulation.kernel.after(transit_us, execute))

    def _on_store_result(self, action: j.Action, result: Result) -> None:
        now, journal = self.simulation.now_us, self.journal
        match action:
            case j.Insert():
                if action.row.id in journal.entries:
                    self.perform(journal.inserted(now, action.row.id, result))
            case j.Change():
                self.perform(journal.changed(now, action.after.id, action.after, result))
            case j.Remove():
                if action.before.id in journal.entries:
                    self.perform(journal.removed(now, action.before.id, result))
            case j.Get():
                self.perform(journal.row_read(now, action.id, result, action.read_number))
            case _:
                pass

    def _send_first_byte(self, action: j.Send) -> None:
        """Sends a report to a node, if this process may still do so, and schedules its answer. An answer that
        would arrive after the deadline is replaced by status 504 at the deadline."""
        entry = self.journal.entries.get(action.row.id)
        if entry is None or entry.phase is not j.Phase.SENDING:
            return
        row = action.row
        assert row.sent is not None
        # The Router refuses one report in twenty.
        if not self.simulation.may_send(self, row) or self.simulation.random.random() < 0.05:
            self._on_node_answer(row, Answer(503, b"", b""), False)
            return
        run_us = self.simulation.draw_us(200, 3_000)
        self.simulation.kernel.after(run_us, lambda: self.simulation.execute_at_node(row))
        took_us = run_us + (
            self.simulation.draw_us(1_000, 1_500_000) if self.simulation.random.random() < 0.2 else 2_000
        )
        answer, after_us = (
            (NODE_ANSWER, took_us) if took_us < DEADLINE_US else (Answer(504, b"", b""), DEADLINE_US)
        )
        self.schedule(after_us, lambda: self._on_node_answer(row, answer, True))

    def _on_node_answer(self, row: Row, answer: Answer, may_have_run: bool) -> None:
        entry = self.journal.entries.get(row.id)
        if entry is not None and entry.phase is j.Phase.SENDING and entry.row.owner == row.owner:
            self.perform(self.journal.answered(self.simulation.now_us, row.id, answer, may_have_run, ()))

    def on_request(self, waiter: tuple[bytes, int], deadline_us: int) -> None:
        """Handles a client's attempt: `waiter` is the key of the report and the number of the attempt."""
        if self.owner_prefix() is None:
            self.simulation.on_answer(waiter, 503)
            return
        now = self.simulation.now_us
        row = self.simulation.new_row(waiter[0], f"{self.owner_prefix()}{self.life}.{now}", now)
        self.perform(self.journal.on_request(now, waiter, row, deadline_us))

        def on_deadline() -> None:
            self.perform(self.journal.on_deadline(self.simulation.now_us, waiter, row.id))

        for at_us in (deadline_us - 20_000, deadline_us):
            self.schedule(max(0, at_us - now), on_deadline)

    def scan_open_rows(self) -> None:
        """Claims open rows that this process does not have in hand, or marks them as unknown, like
        `RecordStage._handle_open_rows`."""
        self.schedule(SCAN_INTERVAL_US, self.scan_open_rows)
        now = self.simulation.now_us
        if self.owner_prefix() is None or self.is_store_down:
            return
        for row in list(self.simulation.store.rows.values()):
            if row.state is not RowState.SENT or row.id in self.journal.entries:
                continue
            status = self.owner_status(row.owner)
            if status is OwnerStatus.ENDED:
                since = self.ended_since_us.setdefault(row.owner, now)
                if now < since + self.claim_delay_us(row.id):
                    continue
            recovery_action = j.recovery_action(
                row, now / j.US_PER_S, "boot", DEADLINE_US / j.US_PER_S, status
            )
            owner = f"{self.owner_prefix()}{self.life}.{now}"
            if recovery_action is j.RecoveryAction.UNKNOWN:
                self.perform(self.journal.mark_unknown(now, row, owner))
            elif recovery_action is j.RecoveryAction.RESEND:
                claimed = replace(row, owner=owner, sent=Moment(0.0, "boot", now / j.US_PER_S), until_s=3.0)
                self.perform(self.journal.deliver(now, row, claimed, now + DEADLINE_US))


class TakeoverSimulation:
    """Processes with one store, the guarantees of their group, nodes, clients, the faults of a plan, and the
    rules that are checked."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.kernel = Kernel(plan.seed)
        self.random = self.kernel.random
        self.store = Store(self)
        self.processes = [Process(self, f"m{n}") for n in range(plan.members)]
        self.members = {p.name: Member(p.me, 1) for p in self.processes}  # the committed state
        self.heard_us = {p.name: 0 for p in self.processes}  # time of each member's last ping
        self.heard_since_us = {p.name: 0 for p in self.processes}  # since when a lost member is heard again
        # By key: the time of the last execution and the number of executions, without suppressed repeats.
        self.executions: dict[bytes, tuple[int, int]] = {}
        self.answers: dict[tuple[bytes, int], int] = {}  # status by key and number of the attempt
        self.confirmed: Counter[bytes] = Counter()  # answers with status 200, by key
        self.report_count = 0

    @property
    def now_us(self) -> int:
        return self.kernel.now_us

    def draw_us(self, min_us: int, max_us: int) -> int:
        return self.random.randint(min_us, max_us)

    # ---- guarantees of the group

    def on_ping(self, process: Process) -> None:
        """Renews the session of a member, counted from this ping, and sends it the committed state of the
        members as of now. A new process gets a new epoch; a lost member becomes alive again once it has been
        heard for `HOLD_US`."""
        member = self.members[process.name]
        if member.process_number != process.life:
            member.epoch, member.process_number = member.epoch + 1, process.life
        if (
            member.state is MemberState.LOST
            and self.now_us > self.heard_us[process.name] + 2 * PING_INTERVAL_US
        ):
            self.heard_since_us[process.name] = self.now_us
        self.heard_us[process.name] = self.now_us
        if member.state is MemberState.LOST and self.now_us >= self.heard_since_us[process.name] + HOLD_US:
            member.epoch, member.state = member.epoch + 1, MemberState.ALIVE
        members = {n: msgspec.structs.replace(m) for n, m in self.members.items()}
        if member.state is MemberState.ALIVE:
            process.session_until_us, process.epoch = self.now_us + SESSION_US, member.epoch
        process.schedule(self.draw_us(100, 40_000), lambda: self._update_members(process, members))

    def _update_members(self, process: Process, members: dict[str, Member]) -> None:
        newer = [
            n for n, m in members.items() if n not in process.members or m.epoch > process.members[n].epoch
        ]
        process.members |= {n: members[n] for n in newer}
        if newer:
            process.perform(process.journal.poll_now(self.now_us))

    def _expire_sessions(self) -> None:
        """Marks members as lost that have been silent for `LOSS_TIMEOUT_US`, and schedules the next check."""
        for name, member in self.members.items():
            if member.state is MemberState.ALIVE and self.now_us >= self.heard_us[name] + LOSS_TIMEOUT_US:
                member.epoch, member.state = member.epoch + 1, MemberState.LOST
        self.kernel.after(20_000, self._expire_sessions)

    # ---- nodes and clients

    def may_send(self, process: Process, row: Row) -> bool:
        """Whether the first byte of a report may be sent now, as checked in `RecordStage._send`."""
        assert row.sent is not None
        return process.may_act(row.owner) and self.now_us < (row.sent.up_s + row.window_s) * j.US_PER_S

    def execute_at_node(self, row: Row) -> None:
        """Executes a report, unless it is a repeat within the retry window."""
        last_us, count = self.executions.get(row.id.key, (self.now_us, 0))
        if not count or self.now_us >= last_us + RETRY_WINDOW_US:
            self.executions[row.id.key] = self.now_us, count + 1

    def check_claim(self, before: Row, after: Row) -> None:
        """Checks that no row is claimed that another process has in hand and may act on at this time."""
        for process in self.processes:
            entry = process.journal.entries.get(before.id)
            is_in_hand = entry is not None and entry.row.owner == before.owner != after.owner
            if (
                is_in_hand
                and process.is_running
                and process.deferred_calls is None
                and before.until_s > 0
                and process.may_act(before.owner)
            ):
                raise RuleViolation(
                    f"{after.owner} claims {before.id.key!r} of {before.owner}, which may act on it"
                )

    def new_row(self, key: bytes, owner: str, now_us: int) -> Row:
        return Row(Id("t", "report", key), b"d", b"PUT", b"/k", b"", b"x", RowState.SENT, 0.0,
                   Moment(0.0, "boot", now_us / j.US_PER_S), owner, RETRY_WINDOW_US / j.US_PER_S,
                   (DEADLINE_US + SETTLE_US) / j.US_PER_S)  # fmt: skip

    def _start_report(self) -> None:
        """Starts a client with a new report, and schedules the next one."""
        self.report_count += 1
        key = b"k%d" % self.report_count
        if self.now_us < TRAFFIC_US:
            self.kernel.after(self.draw_us(20_000, 200_000), self._start_report)
        self._send_attempt(key, 0)

    def _send_attempt(self, key: bytes, number: int) -> None:
        """Sends a report to one of the processes, and repeats that after a while until the report is
        confirmed or has been sent 12 times."""
        if self.confirmed[key] or number >= 12:
            return
        process = self.random.choice(self.processes)
        waiter = key, number
        if process.is_running:
            deadline_us = self.now_us + DEADLINE_US
            process.schedule(self.draw_us(50, 500), lambda: process.on_request(waiter, deadline_us))

        def retry() -> None:
            self._send_attempt(key, number + 1)

        # The client waits until after its deadline, or retries sooner because its connection has broken.
        self.kernel.after(self.draw_us(100_000, DEADLINE_US + 500_000), retry)

    def on_answer(self, waiter: object, status: int) -> None:
        """Records the answer to an attempt."""
        assert isinstance(waiter, tuple)
        if waiter in self.answers:
            raise RuleViolation(f"{waiter} was answered twice: {self.answers[waiter]} and {status}")
        self.answers[waiter] = status
        if status == 200:
            self.confirmed[waiter[0]] += 1

    # ---- simulation

    def _inject_fault(self, fault: Fault) -> None:
        """Starts a fault and schedules its end."""
        process = self.processes[fault.who]
        after = self.kernel.after
        match fault.kind:
            case "kill":
                process.kill()
                after(fault.lasts_us, process.restart)
            case "stop":
                if process.is_running and process.deferred_calls is None:
                    process.deferred_calls = []
                    after(fault.lasts_us, process.resume)
            case "cut" | "store":
                attribute = "is_cut_off" if fault.kind == "cut" else "is_store_down"
                setattr(process, attribute, True)
                after(fault.lasts_us, lambda: setattr(process, attribute, False))
            case "slow":
                process.max_slowdown_us = 400_000
                after(fault.lasts_us, lambda: setattr(process, "max_slowdown_us", 0))
            case _:
                raise ValueError(fault.kind)

    def run(self) -> None:
        """Plays the plan. Raises RuleViolation if a rule does not hold."""
        for process in self.processes:
            self.kernel.after(self.draw_us(0, 50_000), process.start)
        self.kernel.after(20_000, self._expire_sessions)
        for _ in range(3):
            self.kernel.after(400_000, self._start_report)
        for fault in self.plan.faults:
            self.kernel.at(fault.at_us, lambda fault=fault: self._inject_fault(fault))  # type: ignore[misc]
        self.kernel.run(max([TRAFFIC_US, *(f.at_us + f.lasts_us for f in self.plan.faults)]) + RECOVERY_US)
        for key, (_, count) in self.executions.items():
            if count > 1:
                raise RuleViolation(f"{key!r} took effect {count} times")
        for key in self.confirmed:
            row = self.store.rows.get(Id("t", "report", key))
            is_stored = row is not None and row.state is RowState.CONFIRMED
            if self.confirmed[key] and not (is_stored and key in self.executions):
                raise RuleViolation(
                    f"{key!r} was confirmed: ran {self.executions.get(key)}, stored as {row and row.state}"
                )
        open_keys = [r.id.key for r in self.store.rows.values() if r.state is RowState.SENT]
        if open_keys:
            raise RuleViolation(f"open {RECOVERY_US // 1_000_000} s after the last fault: {open_keys[:3]}")
