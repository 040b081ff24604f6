"""Simulates a group in simulated time: the production `Peer` on disks that lose writes that were not synced,
clocks that drift, and a network that fails by a plan. The rules are checked from outside the members, at
simulated times that do not depend on any clock.

Checked during the simulation: a term has at most one leader; all members apply the same entry at an index,
and no committed entry is lost; no two members hold the same lease at the same time; no member acts under an
epoch that has ended. The operations on registers are recorded for a check of linearizability. After the last
fault the group must recover within `RECOVERY_US`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path
from random import Random

import msgspec

from magpiefront.group import registry
from magpiefront.group.pending import Outcome, Status
from magpiefront.group.messages import Entry, Message, name_of
from magpiefront.group.state_machines import REGISTRY
from magpiefront.group.peer import Peer
from magpiefront.group.durable import StoredState, Write
from magpiefront.group.settings import GroupSettings, Limits, Times
from magpiefront.model.kernel import Clock, Kernel
from magpiefront.model.net import Network, LinkConditions
from magpiefront.model.plan import Fault, Plan
from magpiefront.model.rounds import RuleViolation

RECOVERY_US = 15_000_000  # from the last fault until the group must have recovered
LEASE = "lease"
# Small, so that snapshots and messages in several parts occur within a short simulation.
SMALL_LIMITS = Limits(most_append=2_000, most_flight=4, most_part=200, keep=5, compact=25)


@dataclass
class Operation:
    """One operation on a register, in simulated time. `end_us` is None if the outcome is unknown."""

    client: int
    key: str
    is_write: bool
    value: bytes
    begin_us: int
    end_us: int | None = None
    version: int = -1  # of a conditional write: the version that the register must have; -1: any


class Disk:
    """The durable state of one member. A write that is in progress when the process crashes becomes durable
    or is lost (`Host.crash`)."""

    def __init__(self) -> None:
        self.stored = StoredState("0", 0)
        self.older_state: StoredState | None = None  # a copy to be restored by a "put back" fault
        self.is_full = False

    def start(self) -> StoredState:
        """Increments the stored process number and returns the stored state for the new process."""
        self.stored = msgspec.structs.replace(self.stored, process_number=self.stored.process_number + 1)
        return self.stored

    def apply(self, write: Write) -> None:
        """Makes a write durable."""
        stored = self.stored
        entries, snapshot = stored.entries, stored.snapshot
        if write.snapshot is not None:
            snapshot = write.snapshot
            entries = [] if write.replaces_log else [e for e in entries if e.index > write.discard_upto]
        if write.entries:
            entries = [e for e in entries if e.index < write.entries[0].index] + write.entries
        self.stored = StoredState(
            stored.incarnation, stored.process_number, write.hard_state, snapshot, entries, write.known
        )

    def reset(self, random: Random) -> None:
        """Discards the state and draws a new incarnation."""
        self.stored = StoredState(f"{random.getrandbits(32):x}", 0)


class Host:
    """A machine that runs one member. Local times are those of its clock, in microseconds."""

    def __init__(self, simulation: GroupSimulation, number: int, name: str) -> None:
        self.simulation, self.number, self.name = simulation, number, name
        random = simulation.kernel.random
        self.clock = Clock(random.randrange(1 << 40), 1 + random.uniform(-1, 1) * simulation.drift)
        self.disk = Disk()
        self.peer: Peer | None = None
        self.generation = 0  # of the process; callbacks of an earlier process are ignored
        self.deferred_calls: list[Callable[[], None]] | None = None  # calls while suspended; else None
        self.disk_us = 300  # minimum duration of a write
        self.timer_number = 0
        self.new_incarnations = 0

    @property
    def now_us(self) -> int:
        return self.clock.local(self.simulation.kernel.now_us)

    def start(self) -> None:
        """Starts a process, unless one is running or the disk is full."""
        if self.peer is not None or self.disk.is_full:
            return
        self.generation += 1
        settings = replace(self.simulation.settings, member=self.name)
        stored = self.disk.start()
        self.peer = Peer(settings, stored, self.simulation.kernel.random, self.now_us)
        self._process_output()

    def crash(self) -> None:
        """Ends the process. A write in progress becomes durable or is lost, with equal probability."""
        if self.peer is None:
            return
        write = self.peer.raft.current_write
        if write is not None and self.simulation.kernel.random.random() < 0.5:
            self.disk.apply(write)  # became durable, but the process did not learn of it
        self.peer, self.deferred_calls = None, None
        self.generation += 1

    def suspend(self) -> None:
        if self.peer is not None and self.deferred_calls is None:
            self.deferred_calls = []

    def resume(self) -> None:
        """Ends a suspension and runs the calls that were deferred."""
        deferred, self.deferred_calls = self.deferred_calls, None
        for call in deferred or []:
            call()

    def execute(self, call: Callable[[Peer, int], object]) -> None:
        """Calls `call` with the peer and its local time. If the process is suspended, calls it once the
        process resumes. Does nothing if the process is down or ends before that."""
        generation = self.generation
        if self.deferred_calls is not None:
            self.deferred_calls.append(lambda: self.execute(call) if generation == self.generation else None)
        elif self.peer is not None:
            call(self.peer, self.now_us)
            self._process_output()

    def _process_output(self) -> None:
        """Sends the peer's messages, starts its next write and sets its timer. Restarts the process if it
        needs a new incarnation."""
        peer, simulation = self.peer, self.simulation
        assert peer is not None
        if peer.startup.needs_new_incarnation:
            self.disk.reset(simulation.kernel.random)
            self.new_incarnations += 1
            self.peer = None
            self.generation += 1
            self.start()
            return
        write = peer.take_write()
        while write is not None and write.is_empty:
            peer.saved(self.now_us)
            write = peer.take_write()
        for to, message in peer.messages():
            simulation.send(self, to, peer.me, message)
        if write is not None:
            self._write(write)
        simulation.check_rules(self)
        self._schedule_tick(peer.next_us())

    def _write(self, write: Write) -> None:
        generation = self.generation

        def synced() -> None:
            if generation == self.generation and not self.disk.is_full:
                self.disk.apply(write)
                self.execute(lambda peer, now: peer.saved(now))

        self.simulation.kernel.after(self.disk_us + self.simulation.kernel.random.randrange(200), synced)

    def _schedule_tick(self, local_us: int) -> None:
        """Schedules the peer's next tick at a local time, in place of the one that was scheduled before."""
        self.timer_number += 1
        number, generation = self.timer_number, self.generation

        def wake() -> None:
            if generation == self.generation and (
                number == self.timer_number or self.deferred_calls is not None
            ):
                self.execute(lambda peer, now: peer.tick(now))

        self.simulation.kernel.at(self.clock.true(local_us), wake)


class GroupSimulation:
    """A group on simulated hosts, its clients, the faults of a plan, and the rules that are checked.

    `drift` is the largest deviation of a clock's rate from that of simulated time; by default half of the
    allowed difference between two clocks.
    """

    def __init__(
        self, plan: Plan, times: Times | None = None, drift: float | None = None,
        limits: Limits = SMALL_LIMITS,
    ) -> None:  # fmt: skip
        self.plan = plan
        self.kernel = Kernel(plan.seed)
        self.net = Network(self.kernel)
        names = [f"m{number}" for number in range(plan.voters + plan.observers)]
        times = times or Times()
        self.drift = times.drift / 2 if drift is None else drift
        voters, addresses = frozenset(names[: plan.voters]), {name: ("", 0) for name in names}
        self.settings = GroupSettings("model", "", ("", 0), Path("."), addresses, voters, times, limits)
        self.hosts = [Host(self, number, name) for number, name in enumerate(names)]
        self.by_name = {host.name: host for host in self.hosts}
        self.leaders: dict[int, str] = {}  # member id by term
        self.entries: dict[int, tuple[int, bytes]] = {}  # applied entries: term and data by index
        self.checked_index: dict[str, int] = {}  # last applied index that was checked, by process
        self.highest_applied = 0  # the highest index that any member has applied
        self.epochs: dict[str, int] = {}  # the latest committed epoch, by member name
        self.lease_holders: set[str] = set()  # members that held the lease when they were last checked
        self.history: list[Operation] = []
        self.outcomes: dict[Status, int] = dict.fromkeys(Status, 0)
        self.value_count = 0
        self.highest_term = 0

    # ---- network

    def send(self, host: Host, to: str, sender: str, message: Message) -> None:
        """Sends a message from a host to the member `to`, through the network between their hosts."""
        receiver = self.by_name.get(name_of(to))
        if receiver is not None and receiver is not host:
            generation = receiver.generation  # a connection ends with its process
            self.net.send(
                host.name, receiver.name, lambda: self._deliver(receiver, generation, to, sender, message)
            )

    def _deliver(self, host: Host, generation: int, to: str, sender: str, message: Message) -> None:
        if generation != host.generation:
            return

        def receive(peer: Peer, now: int) -> None:
            if to in (peer.me, f"{host.name}."):
                peer.receive(sender, message, now)

        host.execute(receive)

    # ---- rules

    def check_rules(self, host: Host) -> None:
        """Checks the rules after an event at this host. Raises RuleViolation if one does not hold."""
        peer = host.peer
        assert peer is not None
        raft = peer.raft
        self.highest_term = max(self.highest_term, raft.term)
        if raft.leader_state is not None and self.leaders.setdefault(raft.term, peer.me) != peer.me:
            raise RuleViolation(f"two leaders in term {raft.term}: {self.leaders[raft.term]} and {peer.me}")
        key = f"{peer.me} {host.generation}"
        if peer.applied > self.checked_index.get(key, 0):
            after = max(self.checked_index.get(key, 0), raft.log.base_index)
            for entry in raft.log.entries_between(after, peer.applied):
                self._check_entry(peer, entry)
            self.checked_index[key] = peer.applied
            self.highest_applied = max(self.highest_applied, peer.applied)
            for name, member in peer.machines.registry.tables.members.items():
                if member.epoch > self.epochs.get(name, 0):
                    self.epochs[name] = member.epoch
                    self._check_member(self.by_name[name])
        self._check_member(host)

    def _check_entry(self, peer: Peer, entry: Entry) -> None:
        if self.entries.setdefault(entry.index, (entry.term, entry.data)) != (entry.term, entry.data):
            raise RuleViolation(f"{peer.me} applied a different entry at {entry.index} than another member")

    def _check_member(self, host: Host) -> None:
        """Checks the epoch and the lease of one member.

        It is enough to call this after an event at that member. Without an event, a member can only lose the
        right to act or the lease, because time has passed.
        """
        self.lease_holders.discard(host.name)
        if host.peer is None:
            return
        epoch = host.peer.may_act(host.now_us)
        if epoch and epoch < self.epochs.get(host.name, 0):
            raise RuleViolation(
                f"{host.name} acts under epoch {epoch}, but {self.epochs[host.name]} is committed"
            )
        if host.peer.lease_epoch(LEASE, host.now_us):
            for name in sorted(self.lease_holders):
                other = self.by_name[name]
                if other.peer is not None and other.peer.lease_epoch(LEASE, other.now_us):
                    raise RuleViolation(f"{name} and {host.name} hold the same lease at the same time")
            self.lease_holders.add(host.name)

    # ---- clients

    def _start(self) -> None:
        """Starts the members, their requests for the lease, and three clients."""
        for host in self.hosts:
            self.kernel.after(self.kernel.random.randrange(50_000), host.start)
            self.kernel.after(500_000, partial(self._request_lease, host))
        for client in range(3):
            self.kernel.after(
                400_000 + self.kernel.random.randrange(100_000), partial(self._send_request, client)
            )

    def _send_request(self, client: int) -> None:
        """Sends a write, a conditional write or a read of a register to one member, and schedules the
        client's next request."""
        random = self.kernel.random
        if self.kernel.now_us < self.plan.length_us + 1_000_000:
            self.kernel.after(random.randrange(20_000, 250_000), lambda: self._send_request(client))
        host = random.choice(self.hosts)
        if host.peer is None or host.deferred_calls is not None:
            return
        key, draw = random.choice("xy"), random.random()
        self.value_count += 1
        value = b"%d" % self.value_count
        version = -1
        if draw < 0.3:
            register = host.peer.machines.registry.tables.registers.get(key)
            version = register.version if register is not None else 0
        operation = Operation(client, key, draw < 0.6, value, self.kernel.now_us, version=version)
        if operation.is_write:
            self.history.append(operation)  # now, because the write may take effect even if this member dies
            put = registry.encode(registry.PutRegister(key, value, version))
            host.execute(
                lambda peer, now: peer.propose(
                    REGISTRY, put, now + 600_000, lambda outcome: self._finish_write(operation, outcome), now
                )
            )
        else:
            host.execute(
                lambda peer, now: peer.read(
                    now + 600_000, lambda outcome: self._finish_read(operation, peer, outcome), now
                )
            )

    def _finish_write(self, operation: Operation, outcome: Outcome) -> None:
        self.outcomes[outcome.status] += 1
        result = registry.decode_result(outcome.value) if outcome.value else None
        if outcome.status is Status.REFUSED:
            self.history.remove(operation)
        if outcome.status is Status.COMMITTED:
            operation.end_us = self.kernel.now_us
            if result is None or not result.done:
                operation.is_write = False  # the version did not match: the result is that of a read
                operation.value = result.value if result is not None else b""

    def _finish_read(self, operation: Operation, peer: Peer, outcome: Outcome) -> None:
        if outcome.status is Status.COMMITTED:
            register = peer.machines.registry.tables.registers.get(operation.key)
            operation.value, operation.end_us = (
                register.value if register is not None else b"",
                self.kernel.now_us,
            )
            self.history.append(operation)

    def _request_lease(self, host: Host) -> None:
        """Requests the lease for this member if it is free, or sometimes releases it if the member holds it,
        and schedules the next call."""
        random = self.kernel.random
        if self.kernel.now_us < self.plan.length_us + 1_000_000:
            self.kernel.after(random.randrange(50_000, 200_000), lambda: self._request_lease(host))

        def acquire_or_release(peer: Peer, now: int) -> None:
            lease = peer.machines.registry.lease(LEASE)
            if lease.holder == peer.me:
                if random.random() < 0.1:
                    peer.release_lease(LEASE, now + 300_000, lambda outcome: None, now)
            elif not lease.holder:
                peer.acquire_lease(LEASE, now + 300_000, lambda outcome: None, now)

        host.execute(acquire_or_release)

    # ---- faults

    def _inject_fault(self, fault: Fault) -> None:
        """Starts a fault and schedules its end. Members that the group does not have are ignored."""
        hosts = [self.hosts[n] for n in fault.who if n < len(self.hosts)]
        first = hosts[0]
        after = self.kernel.after

        def degrade_links(
            links: list[tuple[str, str]], conditions: LinkConditions, duration_us: int = fault.lasts_us
        ) -> None:
            self.net.set_links(links, conditions)
            after(duration_us, lambda: self.net.set_links(links, None))

        names = [host.name for host in self.hosts]
        affected = {host.name for host in hosts}
        match fault.kind:
            case "crash":
                first.crash()
                after(fault.lasts_us, first.start)
            case "stop":
                first.suspend()
                after(fault.lasts_us, first.resume)
            case "cut":
                degrade_links([(a, b) for a in names for b in names if (a in affected) != (b in affected)],
                              LinkConditions(is_cut=True))  # fmt: skip
            case "one way":
                degrade_links([(first.name, name) for name in names], LinkConditions(is_cut=True))
            case "bridge":
                ends = sorted(affected)[:2]
                degrade_links([(ends[0], ends[-1]), (ends[-1], ends[0])], LinkConditions(is_cut=True))
            case "flap":
                for at in range(0, fault.lasts_us, 100_000):
                    after(
                        at,
                        lambda: degrade_links(
                            [(first.name, name) for name in names], LinkConditions(is_cut=True), 50_000
                        ),
                    )
            case "slow":
                degrade_links([(first.name, name) for name in names], LinkConditions(50_000, 2_000_000))
            case "lossy":
                degrade_links([(a, b) for a in names for b in names], LinkConditions(200, 60_000, 0.2, 0.2))
            case "disk slow":
                first.disk_us = 200_000
                after(fault.lasts_us, lambda: setattr(first, "disk_us", 300))
            case "disk full":
                first.disk.is_full = True
                first.crash()
                after(fault.lasts_us, lambda: self._free_disk(first))
            case "put back":
                first.disk.older_state = first.disk.stored
                after(fault.lasts_us, lambda: self._restore_disk(first))
            case "wipe":
                first.crash()
                first.disk.stored = StoredState("0", 0)
                after(min(fault.lasts_us, 200_000), first.start)
            case "all":
                for host in self.hosts:
                    host.crash()
                    after(self.kernel.random.randrange(200_000), host.start)
            case "remove":
                self._call_leader(lambda peer, now: peer.members.propose_bar(first.name, True, now))
                after(fault.lasts_us, lambda: self._call_leader(partial(_readmit, first.name)))
            case "hand over":
                self._call_leader(lambda peer, now: peer.raft.transfer_leadership(f"{first.name}.0", now))
            case _:
                raise ValueError(fault.kind)

    def _free_disk(self, host: Host) -> None:
        host.disk.is_full = False
        host.start()

    def _restore_disk(self, host: Host) -> None:
        host.crash()
        assert host.disk.older_state is not None
        host.disk.stored = host.disk.older_state
        self.kernel.after(20_000, host.start)

    def _call_leader(self, call: Callable[[Peer, int], object]) -> None:
        """Calls `call` at each member that considers itself the leader."""
        for host in self.hosts:
            if host.peer is not None and host.peer.is_leader:
                host.execute(call)

    # ---- simulation

    def run(self) -> None:
        """Plays the plan and waits until the group has recovered. Raises RuleViolation if a rule does not
        hold or the group does not recover in time."""
        self._start()
        for fault in self.plan.faults:
            self.kernel.at(fault.at_us, partial(self._inject_fault, fault))
        self.kernel.run(max([self.plan.length_us, *(f.at_us + f.lasts_us for f in self.plan.faults)]))
        self._end_faults()
        end = self.kernel.now_us + RECOVERY_US
        while not self.has_recovered():
            if self.kernel.now_us >= end:
                raise RuleViolation(
                    f"not recovered {RECOVERY_US / 1e6} s after the last fault: {self.state()}"
                )
            for host in self.hosts:  # readmit those that the plan has removed
                self._call_leader(partial(_readmit, host.name))
            self.kernel.run(self.kernel.now_us + 100_000)

    def _end_faults(self) -> None:
        self.net.links.clear()
        for host in self.hosts:
            host.disk.is_full, host.disk_us = False, 300
            if host.deferred_calls is not None:
                host.resume()
            host.start()

    def has_recovered(self) -> bool:
        """Whether there is one leader that all members know, all members run, may act and have applied every
        entry, and the voters are those of the settings."""
        peers = [host.peer for host in self.hosts if host.peer is not None]
        leaders = [p for p in peers if p.is_leader]
        if len(leaders) != 1 or len(peers) < len(self.hosts):
            return False
        highest = max(self.highest_applied, leaders[0].raft.commit)
        voters = {name_of(v) for v in leaders[0].raft.log.conf.voters}
        return (
            all(
                p.applied >= highest and p.may_act(host.now_us)
                for host, p in zip(self.hosts, peers, strict=True)
            )
            and voters == self.settings.voters
            and all(p.raft.leader == leaders[0].me for p in peers)
        )

    def state(self) -> str:
        """Describes the state of each member, for messages."""
        return "; ".join(
            f"{host.name}: " + (f"{p.me} {p.raft.role.value} t{p.raft.term} c{p.raft.commit} "
                                f"l{p.raft.log.last_index} a{p.applied} "
                                f"votes {p.raft.is_voter} may_vote {p.raft.may_vote} "
                                f"acts {p.may_act(host.now_us)} joins {p.startup.joining}" if p else "down")
            for host in self.hosts for p in [host.peer]
        )  # fmt: skip


def _readmit(name: str, peer: Peer, now_us: int) -> None:
    """Proposes that a barred member may join again."""
    if name in peer.machines.registry.tables.barred:
        peer.members.propose_bar(name, False, now_us)
