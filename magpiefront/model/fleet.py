"""Simulates a fleet during machine maintenance, to measure the cost for readers and for the archive.

Uses the production Router, and the production state machine, rules and exclusions of maintenance. The nodes
have a limited capacity, a cache and a cold start; the archive answers more slowly when it gets many reads at
once. The replication of the maintenance state is checked elsewhere (`model/maintenance.py`), so here all
proxies share one state machine; each has its own exclusions and epoch, and applies them at its own times. A
node of a machine that is being worked on does not answer, and returns with an empty cache.
"""

from __future__ import annotations

from bisect import bisect
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import accumulate

from magpiefront.router import Router
from magpiefront.group.registry import Member, MemberState
from magpiefront.interface import (
    Arrived, AttemptEnded, Cancel, Event, Exclude, Fail, Include, ListKind, Outcome, Probe, ProbeEnded,
    Refuse, Repeat, RequestClass, Send, ServerEntry, ServerList, SetTimer, Settings, TimerFired,
)  # fmt: skip
from magpiefront.maintenance import state_machine, rules
from magpiefront.maintenance.state_machine import MaintenanceStateMachine, MaintenanceState, State
from magpiefront.maintenance.plan import Limits, Machine, Plan
from magpiefront.maintenance.reports import HitRatios, build_report
from magpiefront.maintenance.exclusions import SavedExclusions, ExclusionView
from magpiefront.model.kernel import Kernel

US_PER_S, US_PER_MS = 1_000_000, 1_000
# The intervals at which proxies update their exclusions, the leader ticks, and proxies report.
UPDATE_US, TICK_US, REPORT_US = 250 * US_PER_MS, 500 * US_PER_MS, 1 * US_PER_S
READ = RequestClass("level-read", Repeat.SAFE, 250 * US_PER_MS, 1 * US_PER_S, late_worth=0.2)


@dataclass(frozen=True)
class Size:
    """The size of a simulated fleet. Times are microseconds; `reads` is the number of reads per second."""

    proxies: int = 200
    nodes: int = 200
    zones: int = 3
    reads: float = 2_000.0
    keys: int = 20_000
    ttl_us: int = 60 * US_PER_S  # how long a node keeps a cached key
    node_capacity: int = 4  # lookups in progress at one node
    hit_us: int = 4 * US_PER_MS  # mean time that a node takes for the lookup
    archive_capacity: int = 64  # reads in progress at the archive
    archive_us: int = 20 * US_PER_MS  # how long the archive takes for a read
    cold_us: int = 8 * US_PER_S  # how long the slow start of a node takes


class Archive:
    """An archive that serves up to `Size.archive_capacity` reads at the same time and queues the others."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.in_progress, self.queue = fleet, 0, deque[Callable[[], None]]()
        self.reads_by_second: Counter[int] = Counter()

    def read(self, on_done: Callable[[], None]) -> None:
        """Starts or queues a read, and calls `on_done` when it has ended."""
        self.reads_by_second[self.fleet.kernel.now_us // US_PER_S] += 1
        if self.in_progress < self.fleet.size.archive_capacity:
            self._start(on_done)
        else:
            self.queue.append(on_done)

    def _start(self, on_done: Callable[[], None]) -> None:
        self.in_progress += 1

        def finish() -> None:
            self.in_progress -= 1
            if self.queue:
                self._start(self.queue.popleft())
            on_done()

        self.fleet.kernel.after(self.fleet.size.archive_us, finish)


@dataclass
class Attempt:
    """An attempt at a node. `on_end` is called once, with the outcome and the `cache_result` of
    `AttemptEnded`."""

    key: int
    on_end: Callable[[Outcome, int], None]
    has_ended: bool = False

    def end(self, outcome: Outcome, cache_result: int) -> None:
        if not self.has_ended:
            self.has_ended = True
            self.on_end(outcome, cache_result)


class Node:
    """A cache node with a limited capacity and a queue."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.name, self.is_up = fleet, name, True
        self.cached_at_us: OrderedDict[int, int] = OrderedDict()  # by key
        self.in_progress, self.queue = 0, deque[Attempt]()
        self.fetching: dict[int, list[Attempt]] = {}  # attempts that wait for the archive, by key
        self.request_count = 0

    def receive(self, attempt: Attempt) -> None:
        """Starts or queues an attempt. If the node is not up, refuses the attempt and records a violation."""
        self.request_count += 1
        if not self.is_up:
            self.fleet.violations.append(f"{self.name} gets a request while its machine is being worked on")
            attempt.end(Outcome.CONNECT_FAILED, 0)
        elif self.in_progress < self.fleet.size.node_capacity:
            self._start(attempt)
        else:
            self.queue.append(attempt)

    def _start(self, attempt: Attempt) -> None:
        self.in_progress += 1
        lookup_us = int(self.fleet.size.hit_us * self.fleet.kernel.random.uniform(0.5, 1.5))
        self.fleet.kernel.after(lookup_us, lambda: self._look_up(attempt))

    def _look_up(self, attempt: Attempt) -> None:
        self.in_progress -= 1
        if self.queue:
            self._start(self.queue.popleft())
        now = self.fleet.kernel.now_us
        if now - self.cached_at_us.get(attempt.key, -self.fleet.size.ttl_us) < self.fleet.size.ttl_us:
            attempt.end(Outcome.OK, 1)
        elif attempt.key in self.fetching:
            self.fetching[attempt.key].append(attempt)
        else:
            self.fetching[attempt.key] = [attempt]
            self.fleet.archive.read(lambda: self._fetched(attempt.key))

    def _fetched(self, key: int) -> None:
        self.cached_at_us[key] = self.fleet.kernel.now_us
        for position, attempt in enumerate(self.fetching.pop(key, [])):
            attempt.end(Outcome.OK, 2 if position == 0 else 3)  # 3: waited for the fetch of another attempt

    def restart(self) -> None:
        """Starts the node with an empty cache after the work on its machine."""
        self.is_up = True
        self.cached_at_us.clear()


class Proxy:
    """A proxy: its Router, its exclusions and its open requests."""

    def __init__(self, fleet: Fleet, number: int, settings: Settings) -> None:
        self.fleet, self.name = fleet, f"p{number}"
        self.router = Router(settings, number)
        self.view = ExclusionView(self.name, SavedExclusions())
        self.view.confirm_read(1)
        self.hit_ratios, self.excluded = HitRatios(), set[str]()
        self.open_attempts: Counter[str] = Counter()
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.attempt_counts: Counter[str] = Counter()
        self.arrived_us: dict[str, int] = {}  # by open request
        self.epoch, self.is_lost = 1, False
        entries = [ServerEntry(n, zone=fleet.zone_of[n]) for n in fleet.nodes]
        self.handle(ServerList(ListKind.WHOLE, entries))

    def handle(self, event: Event) -> None:
        """Passes an event to the Router and performs the actions that it returns. Probes end at once."""
        events: deque[Event] = deque([event])
        while events:
            for action in self.router.handle(self.fleet.kernel.now_us, events.popleft()):
                match action:
                    case Send():
                        self._send(action)
                    case SetTimer():
                        self._later(action.delay_us, TimerFired(action.token))
                    case Cancel():
                        attempt = self.attempts.get((action.request, action.attempt))
                        if attempt is not None:
                            self._cancel(attempt)
                    case Refuse() | Fail():
                        self.on_answer(action.request, False)
                    case Probe():
                        is_up = self.fleet.nodes[action.server].is_up
                        events.append(
                            ProbeEnded(
                                action.server, Outcome.OK if is_up else Outcome.CONNECT_FAILED, US_PER_MS
                            )
                        )
                    case _:
                        pass

    def _later(self, delay_us: int, event: Event) -> None:
        self.fleet.kernel.after(delay_us, lambda: self.handle(event))

    def _cancel(self, attempt: Attempt) -> None:
        self.fleet.kernel.after(0, lambda: attempt.end(Outcome.CANCELLED, 0))

    def read(self, request: str, key: int) -> None:
        """Starts a read of a client."""
        if self.is_lost:  # clients connect to another proxy
            self.fleet.any_proxy().read(request, key)
            return
        self.arrived_us[request] = self.fleet.kernel.now_us
        self.handle(Arrived(request, READ.name, READ.deadline_us, key, cls=READ))

    def _send(self, action: Send) -> None:
        kernel, number = self.fleet.kernel, self.attempt_counts[action.request]
        self.attempt_counts[action.request] += 1
        self.open_attempts[action.server] += 1
        sent_us = kernel.now_us

        def on_end(outcome: Outcome, cache_result: int) -> None:
            self.open_attempts[action.server] -= 1
            self.attempts.pop((action.request, number), None)
            finished = action.request not in self.arrived_us
            if outcome is Outcome.OK:
                self.hit_ratios.count(action.server, cache_result == 1)
                self.on_answer(action.request, True)
            elapsed_us = kernel.now_us - sent_us
            self.handle(
                AttemptEnded(
                    action.request, number, action.server, outcome, elapsed_us, finished, cache_result
                )
            )

        attempt = self.attempts[action.request, number] = Attempt(self.fleet.key_of(action.request), on_end)
        kernel.after(US_PER_MS // 2, lambda: self.fleet.nodes[action.server].receive(attempt))
        kernel.at(action.expire_at_us, lambda: attempt.end(Outcome.TIMEOUT, 0))

    def on_answer(self, request: str, ok: bool) -> None:
        """Counts the first answer to a request; later ones are ignored."""
        started_us = self.arrived_us.pop(request, None)
        if started_us is not None:
            self.attempt_counts.pop(request, None)
            self.fleet.count(started_us, ok and self.fleet.kernel.now_us - started_us <= READ.aim_us)

    # ---- maintenance

    def update_exclusions(self) -> None:
        """Excludes and includes nodes as the plan requires, and proposes the pending commands."""
        fleet, state, now = self.fleet, self.fleet.state_machine.state, self.fleet.kernel.now_us
        if not self.is_lost:
            self.view.saved = self.view.to_save(state)
            excluded = self.view.excluded_nodes(state, self.epoch, now)
            for node in sorted(excluded - self.excluded):
                self.handle(Exclude(node, known=True))
                self.hit_ratios.forget(node)
            for node in sorted(self.excluded - excluded):
                self.handle(Include(node))
            self.excluded = excluded
            in_use = {n for n, count in self.open_attempts.items() if count}
            for command in self.view.pending_commands(state, self.epoch, now, in_use):
                fleet.propose(self.name, command)
        fleet.kernel.after(UPDATE_US, self.update_exclusions)

    def submit_report(self) -> None:
        """Proposes a report on the nodes."""
        fleet, state = self.fleet, self.fleet.state_machine.state
        if not self.is_lost:
            returning = {n for s in state.jobs.values() if s.state in (State.BACK, State.WARMING)
                         for n in state.fleet[s.machine].nodes}  # fmt: skip
            new_report = build_report(
                self.router, fleet.kernel.now_us, self.router.in_flight, fleet.nodes, (),
                self.excluded - returning, self.hit_ratios, returning, False,
            )  # fmt: skip
            self.hit_ratios.decay()
            fleet.propose(self.name, state_machine.SubmitReport(new_report))
        fleet.kernel.after(REPORT_US, self.submit_report)


@dataclass
class ReadCounts:
    """The numbers of all reads, and of those answered in time, by the second in which they started."""

    all: Counter[int] = field(default_factory=Counter)
    in_time: Counter[int] = field(default_factory=Counter)


class Fleet:
    """A simulated fleet with one node per machine. `work_s` is the time that the work on a machine takes."""

    def __init__(self, size: Size, limits: Limits, work_s: float, seed: int = 1) -> None:
        self.size, self.limits, self.work_s = size, limits, work_s
        self.kernel = Kernel(seed)
        self.archive, self.reads = Archive(self), ReadCounts()
        self.violations: list[str] = []  # requests to nodes whose machine was being worked on
        names = [f"n{i:03}" for i in range(size.nodes)]
        self.zone_of = {n: f"z{i % size.zones}" for i, n in enumerate(names)}
        self.nodes = {n: Node(self, n) for n in names}
        self.machines = [Machine(f"m-{n}", (n,), (), self.zone_of[n]) for n in names]
        self.members = {f"p{i}": Member(f"p{i}.0", 1) for i in range(size.proxies)}
        self.state_machine = MaintenanceStateMachine(lambda: self.members, rules.advance)
        settings = Settings((READ,), proxies=size.proxies, max_attempts=3, may_cancel=True, may_probe=True,
                            cold_from=0.3, cold_us=size.cold_us)  # fmt: skip
        self.proxies = [Proxy(self, i, settings) for i in range(size.proxies)]
        self.cumulative_weights = list(accumulate(1 / (i + 1) ** 0.8 for i in range(size.keys)))
        self.request_count, self.ticked_us = 0, 0
        self.out_since_s: dict[str, float] = {}  # by machine
        self.most_out = 0  # the largest number of machines that were out at the same time
        self.plan_started_us = 0

    # ---- traffic

    def any_proxy(self) -> Proxy:
        """Draws a proxy that is not lost."""
        while True:
            proxy = self.proxies[self.kernel.random.randrange(len(self.proxies))]
            if not proxy.is_lost:
                return proxy

    def key_of(self, request: str) -> int:
        return int(request.partition(" ")[2])

    def _arrive(self) -> None:
        random, self.request_count = self.kernel.random, self.request_count + 1
        key = bisect(self.cumulative_weights, random.random() * self.cumulative_weights[-1])
        self.any_proxy().read(f"{self.request_count} {key}", key)
        self.kernel.after(int(random.expovariate(self.size.reads) * US_PER_S), self._arrive)

    def count(self, started_us: int, in_time: bool) -> None:
        """Counts a read that has ended, by the second in which it started."""
        self.reads.all[started_us // US_PER_S] += 1
        self.reads.in_time[started_us // US_PER_S] += in_time

    # ---- the plan

    @property
    def state(self) -> MaintenanceState:
        return self.state_machine.state

    def propose(self, member: str, command: state_machine.Command) -> None:
        """Applies a command at once, and starts the simulated work on machines that go out because of it."""
        before = {s.machine: s.state for s in self.state.jobs.values()}
        self.state_machine.apply(0, f"{member}.0", state_machine.encode(command))
        if isinstance(command, state_machine.SubmitReport | state_machine.AcknowledgeNext):
            return
        for job in self.state.jobs.values():
            if job.state is not before.get(job.machine):
                self._on_state_change(job)

    def _on_state_change(self, job: state_machine.Job) -> None:
        nodes = [self.nodes[n] for n in self.state.fleet[job.machine].nodes]
        if job.state is State.OUT:
            self.out_since_s[job.machine] = self.kernel.now_us / US_PER_S
            for node in nodes:
                node.is_up = False
            finish = state_machine.FinishWork(job.machine, job.grant_number)
            self.kernel.after(int(self.work_s * US_PER_S), lambda: self._finish_work(nodes, finish))
        self.most_out = max(self.most_out, len(rules.unavailable_jobs(self.state)))

    def _finish_work(self, nodes: list[Node], finish: state_machine.FinishWork) -> None:
        for node in nodes:
            node.restart()
        self.propose("operator", finish)

    def _tick(self) -> None:
        now = self.kernel.now_us
        self.propose(
            "leader", state_machine.Tick(self.state.ticks, (now - self.ticked_us) / US_PER_S, now / US_PER_S)
        )
        self.ticked_us = now
        self.kernel.after(TICK_US, self._tick)

    def lose(self, number: int, lasts_us: int) -> None:
        """Ends a proxy with its open requests. The proxy returns after `lasts_us` under another epoch."""
        proxy, member = self.proxies[number], self.members[f"p{number}"]
        if proxy.is_lost:
            return
        proxy.is_lost, member.state, member.epoch = True, MemberState.LOST, member.epoch + 1
        for attempt in list(proxy.attempts.values()):
            attempt.has_ended = True
        proxy.attempts, proxy.arrived_us = {}, {}
        proxy.open_attempts.clear()

        def restart() -> None:
            member.state, member.epoch = MemberState.ALIVE, member.epoch + 1
            proxy.is_lost, proxy.epoch = False, member.epoch
            proxy.view.confirm_read(member.epoch)

        self.kernel.after(lasts_us, restart)

    def run(
        self, quiet_s: int, max_s: int, with_plan: bool = True, lost: int = 0,
        on_second: Callable[[Fleet], None] = lambda fleet: None,
    ) -> None:  # fmt: skip
        """Simulates `quiet_s` seconds without maintenance, then a plan for all machines until it ends or
        `max_s` is reached. `lost` proxies are lost for 10 s each, at random times in the first third of the
        time after `quiet_s`. `on_second` is called after each simulated second that follows `quiet_s`."""
        kernel = self.kernel
        self._arrive()
        for i, proxy in enumerate(self.proxies):
            kernel.after(UPDATE_US * i // len(self.proxies), proxy.update_exclusions)
            kernel.after(REPORT_US * i // len(self.proxies), proxy.submit_report)
        self._tick()
        kernel.run(quiet_s * US_PER_S)
        self.plan_started_us = kernel.now_us
        if with_plan:
            plan = Plan("all", "rig", tuple(m.name for m in self.machines), limits=self.limits)
            self.propose("operator", state_machine.Start(plan, tuple(self.machines), ("p0",)))
        for i in kernel.random.sample(range(1, len(self.proxies)), lost):
            at_us = kernel.now_us + kernel.random.randrange(max(1, (max_s - quiet_s) * US_PER_S // 3))
            kernel.at(at_us, lambda i=i: self.lose(i, 10 * US_PER_S))  # type: ignore[misc]
        while kernel.now_us < max_s * US_PER_S and (
            not with_plan or state_machine.has_active_machines(self.state)
        ):
            kernel.run(kernel.now_us + US_PER_S)
            on_second(self)
