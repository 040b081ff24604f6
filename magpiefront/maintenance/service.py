"""Runs machine maintenance at one proxy, as the replicated state and the proxy's exclusions require.

The service excludes and includes nodes, proposes confirmations and reports, ends the process if its own
machine leaves, runs the operator's command for a machine if it is assigned to this member, and proposes ticks
while this member is the leader.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Mapping
from random import Random

from magpiefront.group.pending import Outcome, Status
from magpiefront.group.registry import Member
from magpiefront.group.interface import Group
from magpiefront.interface import Outcome as AttemptOutcome
from magpiefront.maintenance import exclusion_file, rules, runner, state_machine
from magpiefront.maintenance.exclusions import ExclusionView
from magpiefront.maintenance.pool_guard import PoolGuard
from magpiefront.maintenance.reports import HitRatios, build_report
from magpiefront.maintenance.settings import MaintenanceSettings
from magpiefront.maintenance.state_machine import Command, MaintenanceStateMachine, Job, State
from magpiefront.net.answer import Answer
from magpiefront.net.metrics import metric_lines
from magpiefront.net.proxy import Proxy
from magpiefront.net.guarded_attempt import GuardedAttempt

STATE_MACHINE = "maintenance"  # name of the state machine in the group's log, and prefix of the metrics
ACTIVE_INTERVAL_S, IDLE_INTERVAL_S = 0.05, 1.0  # between two updates: during maintenance, and otherwise
# The intervals of ticks and of reports while a plan runs, and the interval of both while none does.
TICK_US, REPORT_US, IDLE_US = 500_000, 1_000_000, 60_000_000
# The timeout of a command or a read of the group, and the delay before a failed save or a proposal of
# `FinishWork` is repeated.
COMMAND_TIMEOUT_US, RETRY_DELAY_US = 2_000_000, 1_000_000
# After the end of its session, a proxy that is cut off waits this long and then aborts its connections to the
# machines that may be out. The other members wait for `rules.LOST_DRAIN_S`, which starts later.
ABORT_DELAY_US = 4_000_000
MAX_CAUSE_CHARS = 300  # of the cause of a failed command, which is replicated


class NotifyingStateMachine(MaintenanceStateMachine):
    """Calls `on_change` after each change of the state."""

    def __init__(self, members: Callable[[], Mapping[str, Member]], on_change: Callable[[], None]) -> None:
        super().__init__(members, rules.advance)
        self.on_change = on_change

    def apply(self, index: int, origin: str, data: bytes) -> bytes:
        result = super().apply(index, origin, data)
        self.on_change()
        return result

    def reset(self) -> None:
        super().reset()
        self.on_change()

    def restore(self, data: bytes) -> None:
        super().restore(data)
        self.on_change()


class CountingAttempt(GuardedAttempt):
    """Counts cache hits and misses by node."""

    __slots__ = ()
    hit_ratios: HitRatios

    def report(self, outcome: AttemptOutcome, answer: Answer | None) -> None:
        if outcome is AttemptOutcome.OK and answer is not None and answer.cache_result:
            self.hit_ratios.count(self.node.name, answer.cache_result == 1)
        super().report(outcome, answer)


class MaintenanceService:
    """Maintenance at one proxy. `shut_down` starts the orderly shutdown of the process, as SIGTERM does."""

    def __init__(
        self, proxy: Proxy, group: Group, settings: MaintenanceSettings, seed: int,
        shut_down: Callable[[], None],
    ) -> None:  # fmt: skip
        self.proxy, self.group, self.settings, self.shut_down = proxy, group, settings, shut_down
        self.random = Random(f"{seed} maintenance")
        self.replica = NotifyingStateMachine(group.members, self._on_change)
        group.register(STATE_MACHINE, self.replica)
        self.view = ExclusionView(settings.member, None)
        self.guard = PoolGuard(proxy.pool, self.may_send)
        self.hit_ratios = HitRatios()
        proxy.attempt_type = type(
            "Attempt", (CountingAttempt,), {"__slots__": (), "hit_ratios": self.hit_ratios}
        )
        self.counts: Counter[str] = Counter()
        self.excluded: set[str] = set()  # nodes that are excluded for maintenance
        # Those of them that discovery lists at an address that was saved for another node.
        self.misplaced: set[str] = set()
        # Sum and number of the samples of the requests in progress, since the last report.
        self.load_sum = self.samples = 0.0
        self.read_epoch = 0  # the member epoch in which a read is in progress; 0: none is
        self.last_current_us = 0  # when the exclusions were last known to be up to date
        self.seen_versions = (-1, -1)  # the `ticks` and `line_count` of the state at its last change
        self.last_tick_us = proxy.now_us()  # when the latest tick was applied here
        self.tick_sent_us = self.report_sent_us = 0
        self.is_saving = self.is_ending = self.is_stopped = self.update_is_scheduled = False
        self.next_save_us = 0
        self.timer: asyncio.TimerHandle | None = None
        # Whether the old process that handed over to this one still runs. While it does, it may have requests
        # open, and this process must not confirm anything.
        self.predecessor_is_running: Callable[[], bool] = lambda: False
        # When `BeginWork` was last proposed for a machine, and the task that runs its command. A key holds
        # the machine, the number of the grant, and since when the machine is out, which changes with a retry.
        self.begin_sent_us: dict[tuple[str, int, float], int] = {}
        self.tasks: dict[tuple[str, int, float], asyncio.Task[None]] = {}

    # ---- lifecycle

    def start(self) -> None:
        """Loads the saved exclusions. Has to be called before the first request."""
        found, cause = exclusion_file.load(self.settings.path)
        self.view.saved = found
        if cause:
            self.proxy.log(
                f"maintenance: {cause}; no requests are served until the group's state has been read"
            )
        self.report_sent_us = self.proxy.now_us() - int(IDLE_US * self.random.random())
        self.group.watch(self.wake)
        self._update()

    def stop(self) -> None:
        """Stops the service. Commands keep running, although nothing waits for their end any more: to end one
        halfway could do more harm."""
        self.is_stopped = True
        if self.timer is not None:
            self.timer.cancel()
        for (machine, _, _), task in self.tasks.items():
            if not task.done():
                self.proxy.log(f"maintenance: stopping while the command for {machine} runs; an operator has "
                               "to report its end with `maintenance done`")  # fmt: skip
                task.cancel()

    def configure(self, settings: MaintenanceSettings) -> None:
        if settings.path != self.settings.path:
            self.proxy.log("reload: another [maintenance] path needs a restart")
        self.settings = settings

    def wake(self) -> None:
        """Schedules an update."""
        if not self.update_is_scheduled and not self.is_stopped:
            self.update_is_scheduled = True
            self.proxy.loop.call_soon(self._update)

    def _on_change(self) -> None:
        state = self.replica.state
        if state.ticks != self.seen_versions[0]:
            self.last_tick_us = self.proxy.now_us()
        if state.line_count != self.seen_versions[1]:
            self.wake()
        self.seen_versions = state.ticks, state.line_count

    # ---- exclusions

    def may_send(self, node: str, address: bytes) -> bool:
        """Whether anything may be sent to a node now. Called before each connection and each first byte."""
        state, view = self.replica.state, self.view
        if not view.may_serve:
            return False
        if (
            not self.excluded
            and not state.next
            and not state.jobs
            and not (view.saved and view.saved.machines)
        ):
            return True
        return not view.is_excluded(state, node, self.group.may_act(), self.proxy.now_us(), address)

    def _addresses(self) -> dict[str, bytes]:
        """Returns the listed address of each node."""
        return {name: node.host_header for name, node in self.proxy.pool.nodes.items()}

    @property
    def excluded_by_hand(self) -> set[str]:
        """The nodes that an operator has excluded at this proxy, in this process or in one before it."""
        return self.proxy.excluded_by_operator

    def set_excluded(self, server: str, out: bool, known: bool = False) -> bool:
        """Excludes or includes a node for an operator, and returns whether this was accepted. A node under
        maintenance stays excluded even if the operator includes it. A node that an operator has excluded
        stays excluded after the maintenance."""
        if not out and server in self.excluded:
            self.excluded_by_hand.discard(server)
            return True
        return self.proxy.override(server, out, known)

    def _update_exclusions(self, epoch: int, now_us: int) -> None:
        state, view = self.replica.state, self.view
        addresses = self._addresses()
        excluded = view.excluded_nodes(state, epoch, now_us, addresses) if view.may_serve else set(addresses)
        self.misplaced = {n for n in excluded if n in addresses and view.previous_node_at(n, addresses[n])}
        for node in sorted(excluded - self.excluded):
            if node in self.misplaced:
                address = addresses[node].decode()
                self.proxy.log(f"maintenance: {node} is excluded: it is listed at {address}, the address of "
                               f"{view.previous_node_at(node, addresses[node])}, which is out")  # fmt: skip
            self.proxy.set_excluded(node, True, known=True)
            self.hit_ratios.forget(node)
        for node in sorted(self.excluded - excluded - self.excluded_by_hand):
            self.proxy.set_excluded(node, False)
        self.excluded = excluded
        if excluded:
            self.guard.close_idle(excluded)
            if not view.is_current(epoch) and now_us > self.last_current_us + ABORT_DELAY_US:
                self.counts["cut"] += self.guard.abort_connections(excluded)

    # ---- update

    def _update(self) -> None:
        self.update_is_scheduled = False
        if self.is_stopped:
            return
        if self.timer is not None:
            self.timer.cancel()
        state = self.replica.state
        is_active = (
            state_machine.has_active_machines(state)
            or bool(state.next)
            or not self.view.may_serve
            or self.excluded
            or self.tasks
        )
        self.timer = self.proxy.loop.call_later(
            ACTIVE_INTERVAL_S if is_active else IDLE_INTERVAL_S, self._update
        )
        now_us, epoch = self.proxy.now_us(), self.group.may_act()
        self.load_sum, self.samples = self.load_sum + self.proxy.router.in_flight, self.samples + 1
        if self.view.is_current(epoch):
            self.last_current_us = now_us
        elif epoch and self.read_epoch != epoch:
            self._read(epoch, now_us)
        self._save(epoch, now_us)
        self._update_exclusions(epoch, now_us)
        if epoch:
            self._send_proposals(epoch, now_us)
            self._shut_down_if_leaving(epoch)
            self._run_commands(epoch, now_us)

    def _read(self, epoch: int, now_us: int) -> None:
        self.read_epoch = epoch

        def on_done(outcome: Outcome) -> None:
            self.read_epoch = 0
            if outcome.status is Status.COMMITTED and self.group.may_act() == epoch:
                self.view.confirm_read(epoch)
                self.wake()

        self.group.read(now_us + COMMAND_TIMEOUT_US, on_done)

    def _save(self, epoch: int, now_us: int) -> None:
        """Saves changed exclusions, in a thread, because a disk may hang. They count as saved only once they
        are durable."""
        if self.is_saving or not self.view.is_current(epoch) or now_us < self.next_save_us:
            return
        wanted = self.view.to_save(self.replica.state, self._addresses())
        if wanted == self.view.saved:
            return
        self.is_saving = True
        future = self.proxy.loop.run_in_executor(None, exclusion_file.save, self.settings.path, wanted)

        def on_saved(f: asyncio.Future[None]) -> None:
            self.is_saving = False
            e = f.exception() if not f.cancelled() else None
            if e is not None:
                self.next_save_us = self.proxy.now_us() + RETRY_DELAY_US
                self.counts["not_saved"] += 1
                self.proxy.log(f"maintenance: can't save {self.settings.path}: {e}")
            elif not f.cancelled():
                self.view.saved = wanted
                self.wake()

        future.add_done_callback(on_saved)

    # ---- proposals

    def propose(self, command: Command, on_done: Callable[[Outcome], None] = lambda outcome: None) -> None:
        deadline_us = self.proxy.now_us() + COMMAND_TIMEOUT_US
        self.group.propose(STATE_MACHINE, state_machine.encode(command), deadline_us, on_done)

    def _send_proposals(self, epoch: int, now_us: int) -> None:
        state = self.replica.state
        is_active = state_machine.has_active_machines(state)
        saved_nodes = self.view.saved.nodes_by_address if self.view.saved is not None else {}
        if not self.predecessor_is_running():
            for command in self.view.pending_commands(
                state, epoch, now_us, self.guard.nodes_in_use(saved_nodes) if is_active else set()
            ):
                self.propose(command)
        if self.group.is_leader and now_us >= self.tick_sent_us + (TICK_US if is_active else IDLE_US):
            self.tick_sent_us = now_us
            self.propose(state_machine.Tick(state.ticks, (now_us - self.last_tick_us) / 1e6, time.time()))
        if self.view.is_current(epoch) and now_us >= self.report_sent_us + (
            REPORT_US if is_active else IDLE_US
        ):
            self.report_sent_us = now_us
            self.propose(state_machine.SubmitReport(self._build_report(now_us)))

    def _build_report(self, now_us: int) -> state_machine.ProxyReport:
        state = self.replica.state
        load, self.load_sum, self.samples = self.load_sum / max(1.0, self.samples), 0.0, 0.0
        fleet = {n for m in (state.fleet or self.settings.machines).values() for n in m.nodes}
        returning = [j.machine for j in state.jobs.values() if j.state in (State.BACK, State.WARMING)]
        nodes = {n for m in returning for n in state.fleet[m].nodes}
        unobserved = self.excluded - nodes - self.misplaced  # misplaced nodes are reported as failing
        found = build_report(self.proxy.router, now_us, load, fleet, self.excluded_by_hand, unobserved,
                             self.hit_ratios, nodes, self.proxy.config.settings.subscribe)  # fmt: skip
        self.hit_ratios.decay()
        return found

    # ---- work on machines

    def _shut_down_if_leaving(self, epoch: int) -> None:
        state = self.replica.state
        for job in state.jobs.values():
            is_own = self.settings.member in state.fleet[job.machine].proxies
            if is_own and job.state is State.DRAINING and self.view.is_current(epoch) and not self.is_ending:
                self.is_ending = True
                self.proxy.log(f"maintenance: shutting down: {job.machine} leaves for plan {job.plan}")
                self.shut_down()

    def _run_commands(self, epoch: int, now_us: int) -> None:
        state, member = self.replica.state, self.settings.member
        if not self.view.is_current(epoch):
            return
        for job in state.jobs.values():
            if job.state is not State.OUT:
                continue
            key = job.machine, job.grant_number, job.since_s
            if rules.assigned_runner(state, job, self.group.members()) == member:
                if now_us >= self.begin_sent_us.get(key, 0) + COMMAND_TIMEOUT_US:
                    self.begin_sent_us[key] = now_us
                    self.propose(state_machine.BeginWork(job.machine, job.grant_number, epoch))
            elif job.runner == f"{member}@{epoch}" and key not in self.tasks:
                self.tasks[key] = self.proxy.loop.create_task(self._run_command(key, job))
        current = {
            (j.machine, j.grant_number) for j in state.jobs.values() if j.state in state_machine.WORKED_ON
        }
        self.begin_sent_us = {key: at_us for key, at_us in self.begin_sent_us.items() if key[:2] in current}
        self.tasks = {key: t for key, t in self.tasks.items() if key[:2] in current or not t.done()}

    async def _run_command(self, key: tuple[str, int, float], job: Job) -> None:
        """Runs the command for a machine, and proposes `FinishWork` until it is applied or obsolete."""
        plan = self.replica.state.plans[job.plan].plan
        self.proxy.log(f"maintenance: running {plan.command[0]} for {job.machine}, grant {job.grant_number}")
        cause = await runner.run(plan, job)
        self.proxy.log(f"maintenance: {job.machine}: {cause or 'the command succeeded'}")
        while any((j.machine, j.grant_number, j.since_s) == key
                  or (j.state is State.HELD and j.grant_number == key[1])
                  for j in self.replica.state.jobs.values()
                  if j.state in state_machine.WORKED_ON):  # fmt: skip
            if self.group.may_act():
                self.propose(state_machine.FinishWork(job.machine, job.grant_number, cause[:MAX_CAUSE_CHARS]))
            await asyncio.sleep(RETRY_DELAY_US / 1e6)

    # ---- metrics

    def metrics_text(self) -> str:
        """Returns the maintenance metrics, as lines for the admin address."""
        states = Counter(j.state.value for j in self.replica.state.jobs.values())
        values = {f'machines{{state="{s.value}"}}': states[s.value] for s in State}
        values |= {
            "nodes_out": len(self.excluded), "nodes_by_hand": len(self.excluded_by_hand),
            "nodes_misplaced": len(self.misplaced),
            "up_to_date": int(self.view.is_current(self.group.may_act())),
        }  # fmt: skip
        values |= {f"{name}_count": n for name, n in sorted(self.counts.items())}
        return metric_lines(STATE_MACHINE, values)
