"""One complete member: Raft, the state machines, sessions, and the requests of this member.

No I/O and no clock. The caller passes in messages and the time, fetches the messages to send and the data to
write, and reports completed writes. The same class runs in the program (`service.py`) and in simulated time
(`model/group.py`).
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import msgspec

from magpiefront.group import registry
from magpiefront.group.pending import Outcome, OutcomeCallback, PendingOperations, Status
from magpiefront.group.registry import MemberState
from magpiefront.group.log import Log
from magpiefront.group.state_machines import REGISTRY, StateMachine, StateMachines
from magpiefront.group.members import Membership
from magpiefront.group.messages import (
    Append, AppendReply, Attest, AttestReply, Forward, Join, EntryKind, Message, Ping, Pong, ReadRequest,
    ReadReply, Refusal, Snapshot, VoteReply, member_id, name_of,
)  # fmt: skip
from magpiefront.group.durable import StoredState, Write
from magpiefront.group.raft import Raft
from magpiefront.group.requests import Requests
from magpiefront.group.sessions import PingRelay, Session
from magpiefront.group.settings import GroupSettings
from magpiefront.group.startup import Startup


class Peer:
    """One member of a group."""

    def __init__(
        self, settings: GroupSettings, stored: StoredState, random: Random, now_us: int,
        machines: dict[str, StateMachine] | None = None, log: Callable[[str], None] = lambda line: None,
    ) -> None:  # fmt: skip
        self.settings, self.times, self.log = settings, settings.times, log
        self.me = member_id(settings.member, stored.incarnation)
        self.process_number = stored.process_number
        self.machines = StateMachines()
        self.machines.by_name.update(machines or {})
        raft_log = Log(stored.snapshot, stored.entries)
        self.raft = Raft(self.me, self.times, settings.limits, random, stored.hard_state, raft_log, now_us)
        self.applied = stored.snapshot.index
        if stored.snapshot.data:
            self.machines.restore(stored.snapshot.data)
        # Operation numbers start above those of all earlier processes of this member. If an older copy of the
        # disk was restored, the process number repeats; the random part then keeps operation numbers from
        # being used twice.
        self.pending = PendingOperations(
            (stored.process_number << 40) + (random.getrandbits(28) << 12), settings.limits.most_waiting
        )
        self.session, self.ping_relay = Session(self.times, random), PingRelay()
        self.members = Membership(self)
        self.released_leases: dict[str, int] = {}  # by lease, its epoch when this member released it
        self.last_leader = ""
        self.leaving = False
        self.watchers: list[Callable[[], None]] = []
        self.changes = -1  # `Tables.changes` when the watchers were last called
        self.logged_states: dict[str, MemberState] = {}  # by id
        self.outbox: list[tuple[str, Message]] = []
        self.requests = Requests(self.me, self.raft, self.pending, settings.limits.most_entry, self._send,
                                 lambda: self.applied)  # fmt: skip
        self.startup = Startup(self, stored, now_us)

    def _send(self, to: str, message: Message) -> None:
        self.outbox.append((to, message))

    # ---- requests

    def propose(
        self, machine: str, data: bytes, deadline_us: int, on_done: OutcomeCallback, now_us: int
    ) -> None:  # fmt: skip
        """See `Requests.propose`."""
        self.requests.propose(machine, data, deadline_us, on_done, now_us)

    def read(self, deadline_us: int, on_done: OutcomeCallback, now_us: int) -> None:
        """See `Requests.read`."""
        self.requests.read(deadline_us, on_done, now_us)

    def may_act(self, now_us: int) -> int:
        """See `Group.may_act`."""
        mine = self.machines.registry.member(self.me)
        if (
            self.leaving
            or mine is None
            or mine.state is not MemberState.ALIVE
            or mine.epoch != self.session.epoch
        ):
            return 0
        return (
            mine.epoch if mine.process_number == self.process_number and self.session.is_valid(now_us) else 0
        )

    def lease_epoch(self, lease: str, now_us: int) -> int:
        """The epoch of the lease if this member holds it at this moment, else 0."""
        current = self.machines.registry.lease(lease)
        is_holder = current.holder == self.me and self.released_leases.get(lease) != current.epoch
        return current.epoch if is_holder and self.may_act(now_us) else 0

    def acquire_lease(self, lease: str, deadline_us: int, on_done: OutcomeCallback, now_us: int) -> None:
        """Acquires a lease if it is free. Only `lease_epoch` tells whether this member holds it afterwards,
        whatever the outcome of the request."""
        epoch = self.may_act(now_us)
        if not epoch:
            on_done(Outcome(Status.REFUSED, cause="this member may not act"))
            return
        self.propose(REGISTRY, registry.encode(registry.AcquireLease(lease, self.me, epoch)), deadline_us,
                     on_done, now_us)  # fmt: skip

    def release_lease(self, lease: str, deadline_us: int, on_done: OutcomeCallback, now_us: int) -> None:
        """Releases a lease. From this call on this member does not hold it, whatever the outcome: other
        members may learn of the release before this one does."""
        epoch = self.machines.registry.lease(lease).epoch
        self.released_leases[lease] = epoch
        self.propose(REGISTRY, registry.encode(registry.ReleaseLease(lease, self.me, epoch)), deadline_us,
                     on_done, now_us)  # fmt: skip

    def leave(self, deadline_us: int, on_done: OutcomeCallback, now_us: int) -> None:
        """Prepares a planned shutdown: this process does not act any more and requests no session. Proposes
        to mark the member as lost at once; it counts as alive again as soon as its next process requests a
        session."""
        self.leaving = True
        mine = self.machines.registry.member(self.me)
        if mine is None or mine.state is not MemberState.ALIVE:
            on_done(Outcome(Status.REFUSED, cause="this member is not marked as alive"))
            return
        command = registry.MarkLost(self.me, mine.epoch, False, self.process_number)
        self.propose(REGISTRY, registry.encode(command), deadline_us, on_done, now_us)

    def transfer_leadership(self, now_us: int) -> bool:
        """Starts to transfer leadership to the voter with the longest matching log among those that are
        alive. Returns False if there is none, if this member does not lead or if a transfer is already in
        progress."""
        leader_state = self.raft.leader_state
        if leader_state is None:
            return False
        alive = [v for v in self.raft.log.conf.voters if v != self.me and self.machines.registry.is_alive(v)]
        to = max(alive, key=lambda v: (leader_state.progress[v].match, v), default="")
        return bool(to) and self.raft.transfer_leadership(to, now_us)

    def watch(self, changed: Callable[[], None]) -> None:
        """Calls `changed` whenever committed changes of the members have been applied here."""
        self.watchers.append(changed)

    @property
    def is_leader(self) -> bool:
        return self.raft.leader_state is not None

    # ---- output

    def messages(self) -> list[tuple[str, Message]]:
        """Removes and returns the messages to be sent, each with the id of its receiver."""
        out, self.outbox = self.outbox + self.raft.messages(), []
        return [(to, self._with_sessions(to, message)) for to, message in out]

    def _with_sessions(self, to: str, message: Message) -> Message:
        """Adds the session requests that this voter has received to its reply to the leader, and this
        leader's answers to session requests to its messages."""
        if isinstance(message, AppendReply) and self.ping_relay.heard and message.round:
            return msgspec.structs.replace(message, heard=self.ping_relay.take())
        if isinstance(message, Append) and self.members.grants is not None:
            acks = self.members.grants.take_acks(to)
            return msgspec.structs.replace(message, acks=acks) if acks else message
        return message

    def take_write(self) -> Write | None:
        """The next data to be made durable; call `saved` once it is. None if there is nothing to write or the
        previous write has not been reported as saved."""
        write = self.raft.take_write()
        if write is not None and not write.is_empty:
            # What is known of the others is only written along with other data, without a sync of its own. So
            # the stored copy lacks what became known since the last write (`attestation.py`).
            known, voters = self.startup.known_progress.known, self.raft.log.conf.voters
            write.known = {v: known[v] for v in sorted(voters & known.keys())}
        return write

    def saved(self, now_us: int) -> None:
        """Reports that the write returned by `take_write` is durable."""
        self.raft.saved(now_us)
        self._after_input(now_us)

    def next_us(self) -> int:
        """When `tick` has to be called at the latest, in microseconds."""
        due = min(self.raft.next_us(), self.session.due_us, self.pending.next_us())
        return min(due, self.startup.attest_us) if self.startup.is_requesting else due

    # ---- input

    def tick(self, now_us: int) -> None:
        self.raft.tick(now_us)
        self.pending.expire(now_us)
        self.startup.tick(now_us)
        if now_us >= self.session.due_us:
            self._request_session(now_us)
        self.members.tick(now_us)
        self._after_input(now_us)

    def receive(self, sender: str, message: Message, now_us: int) -> None:
        match message:
            case Ping():
                self._on_ping(sender, message, now_us)
            case Pong():
                self.session.on_reply(message.seq, message.may, message.epoch)
                if not self.raft.is_voter and message.leader:
                    self.raft.leader = self.raft.leader or message.leader
            case Forward():
                self.requests.on_forward(sender, message)
            case Refusal():
                self.pending.end(message.seq, Outcome(Status.REFUSED, cause=message.cause))
            case ReadRequest():
                self.requests.on_read(sender, message.seq, now_us)
            case ReadReply():
                self.requests.on_read_reply(message.seq, message.index)
            case Attest():
                self.startup.on_attest(sender, message, now_us)
            case AttestReply():
                self.startup.on_attested(name_of(sender), message, now_us)
            case Join():
                self.members.handle_join(sender, message.voter, now_us)
            case _:
                self._step(sender, message, now_us)
        self._after_input(now_us)

    def _step(self, sender: str, message: Message, now_us: int) -> None:
        if self.startup.attestation is not None:
            # This member may still have to abandon its incarnation. Until its disk is attested it takes no
            # part in Raft, and adds nothing to what it knows of the others: that must date from before its
            # start.
            return
        if isinstance(message, AppendReply):
            if message.ok and message.round:
                self.startup.known_progress.record(sender, message.term, message.match)
            for member, seq, process_number in message.heard:
                self.members.handle_session_request(sender, member, seq, process_number, now_us)
        elif isinstance(message, Append) and message.entries:
            # Leaders send only entries that their own disk holds.
            self.startup.known_progress.record(sender, message.term, message.prev + len(message.entries))
        elif isinstance(message, VoteReply) and message.granted and not message.pre:
            self.startup.known_progress.record(sender, message.term)
        self.raft.step(sender, message, now_us)
        if isinstance(message, Append) and sender == self.raft.leader:
            for member, seq, may, epoch in message.acks:
                if member == self.me:
                    self.session.on_reply(seq, may, epoch)
                else:
                    self.outbox.append((member, Pong(seq=seq, may=may, epoch=epoch, leader=sender)))

    # ---- sessions

    def _request_session(self, now_us: int) -> None:
        voters = self.raft.log.conf.voters
        seq, receivers = self.session.next_request(self.raft.leader, voters, now_us)
        for member in receivers if not self.leaving else ():
            if member == self.me:
                self._on_ping(self.me, Ping(seq=seq, process_number=self.process_number), now_us)
            else:
                self.outbox.append((member, Ping(seq=seq, process_number=self.process_number)))

    def _on_ping(self, sender: str, message: Ping, now_us: int) -> None:
        if self.is_leader:
            self.members.handle_session_request(self.me, sender, message.seq, message.process_number, now_us)
        elif self.raft.is_voter:
            self.ping_relay.add(sender, message.seq, message.process_number)

    # ---- consequences of an input

    def _after_input(self, now_us: int) -> None:
        """Does everything that may follow from an input: restores a snapshot, applies committed entries,
        answers reads, handles a change of leader, sends waiting requests, and calls the watchers if members
        have changed."""
        raft = self.raft
        if raft.installed_snapshot is not None:
            self.machines.restore(raft.installed_snapshot.data)
            self.applied, raft.installed_snapshot = raft.installed_snapshot.index, None
            self.pending.placed.clear()  # the snapshot covers their entries, so their outcomes stay open
        self.requests.answer_confirmed_reads()
        self._apply()
        startup, mine = self.startup, self.machines.registry.member(self.me)
        startup.joining = self.session.is_removed or (startup.joining and not self.session.is_member)
        if mine is not None:
            startup.check_process_number(mine.process_number)
        if self.last_leader != raft.leader:
            self.last_leader = raft.leader
            self.log(f"{raft.leader or 'nobody'} leads in term {raft.term}")
            # Drops old requests, from which a new leader would conclude that their senders are alive.
            self.ping_relay.take()
            if raft.leader:
                self.pending.resend_reads(raft.term)
                self.session.expedite(raft.is_voter, now_us)
        self.members.update_leadership(now_us)
        self.requests.send_all(now_us)
        raft.flush(now_us)
        if self.changes != self.machines.registry.tables.changes:
            self.changes = self.machines.registry.tables.changes
            self._log_states()
            for changed in list(self.watchers):
                changed()

    def _log_states(self) -> None:
        """Logs each member whose state has changed."""
        for member in self.machines.registry.tables.members.values():
            before, self.logged_states[member.id] = self.logged_states.get(member.id), member.state
            if before is not None and before is not member.state:
                self.log(f"{member.id} is {member.state.value}, epoch {member.epoch}")

    def _apply(self) -> None:
        raft, limits = self.raft, self.settings.limits
        if raft.commit > self.applied:
            for entry in raft.log.entries_between(self.applied, raft.commit):
                value = self.machines.apply(entry)
                self.applied = entry.index
                if entry.origin == self.me and entry.seq in self.pending.open and value is not None:
                    self.pending.end(entry.seq, Outcome(Status.COMMITTED, value))
                self.pending.entry_committed(entry.index, entry.term)
                if entry.kind is EntryKind.NOOP:
                    self.pending.term_began(entry.term)
            self.pending.applied(self.applied)
            self.startup.known_progress.retain(raft.log.conf.all)
        since_snapshot = self.applied - raft.log.snapshot.index
        if since_snapshot >= limits.compact and (
            since_snapshot >= 4 * limits.compact or not self._sending_snapshot
        ):
            self.snapshot()

    def snapshot(self) -> None:
        """Takes a snapshot of the state after the last applied entry and compacts the log up to it."""
        raft, at = self.raft, self.applied
        if at > raft.log.snapshot.index and raft.pending_snapshot is None:
            term = raft.log.term(at) or 0
            raft.compact(Snapshot(at, term, raft.log.conf_at(at), self.machines.snapshot()))

    @property
    def _sending_snapshot(self) -> bool:
        """Whether this leader is sending its snapshot to a member. The next snapshot is then delayed until
        four times `compact` entries are applied, because a member that has received parts of the current one
        would have to start again."""
        leader_state = self.raft.leader_state
        return leader_state is not None and any(p.offset for p in leader_state.progress.values())


def decode_result(outcome: Outcome) -> registry.CommandResult | None:
    """The result of a command to the registry; None if the command is not committed."""
    return (
        registry.decode_result(outcome.value)
        if outcome.status is Status.COMMITTED and outcome.value
        else None
    )
