"""The Raft consensus protocol: elections, replication, commit and changes of members.

No I/O and no clock; the caller passes in the time and the source of randomness.

The Raft thesis (D. Ongaro, "Consensus: Bridging Theory and Practice", 2014), by section: elections 3.4,
replication 3.5, commit 3.6, single-server membership changes 4.1 to 4.3, snapshots 5, reads 6.4, pre-vote
9.6, votes refused while a leader is heard 4.2.3, leadership transfer 3.10, disk writes in parallel 10.2.1.

The caller passes in messages and the time and sends what `messages` returns. It makes the writes that
`take_write` returns durable, one at a time, and reports each with `saved`; only then are the messages that
depend on the write released. A leader sends entries only once its own disk holds them, so that the others
know that this disk holds at least what they have received.
"""

from __future__ import annotations

from enum import Enum
from random import Random

from magpiefront.group.durable import DurableState, HardState
from magpiefront.group.leader import LeaderState
from magpiefront.group.log import Log, encode_conf
from magpiefront.group.messages import (
    Append, AppendReply, Conf, Entry, EntryKind, Message, SnapshotChunk, SnapshotChunkReply, Snapshot,
    TimeoutNow, VoteRequest, VoteReply,
)  # fmt: skip
from magpiefront.group.progress import Mode
from magpiefront.group.settings import Limits, Times


READ_BATCH_US = 1_000  # reads that arrive within this time are confirmed by one round


class Role(Enum):
    """The role of a member in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Raft(DurableState):
    """One member's part in the protocol. Times are microseconds."""

    def __init__(
        self, me: str, times: Times, limits: Limits, random: Random, hard_state: HardState, log: Log,
        now_us: int,
    ) -> None:  # fmt: skip
        super().__init__(hard_state, log, limits)
        self.me, self.times, self.random = me, times, random
        self.role, self.leader = Role.FOLLOWER, ""
        self.leader_state: LeaderState | None = None
        self.received_votes: dict[str, bool] = {}
        self.may_vote = True  # False until the disk is known to be current (`attestation.py`)
        # A start counts as hearing the leader: a restarted member does not know which leader it heard last
        # and must not vote another one in while that leader's lease holds.
        self.leader_heard_us = now_us
        self.election_due_us = 0
        self._reset_election_timer(now_us)
        self.received_snapshot = bytearray()
        self.received_snapshot_id: tuple[int, int, str] = (0, 0, "")  # index, term, sender
        self.installed_snapshot: Snapshot | None = None  # to be restored by the caller
        self.elections = 0
        self.previous_leader = ""  # the last leader that this member heard
        self.is_transfer = False  # the previous leader requested the latest candidacy of this member

    # ---- requests of the caller

    @property
    def is_voter(self) -> bool:
        return self.me in self.log.conf.voters

    def saved(self, now_us: int) -> None:
        """Reports that the last write is durable."""
        write = self._finish_write()
        if (
            self.role is Role.CANDIDATE
            and write.hard_state.vote == self.me
            and write.hard_state.term == self.term
        ):
            self._record_vote(self.me, True, now_us)
        if self.leader_state is not None:
            self._try_commit(now_us)

    def propose(self, data: bytes, origin: str, seq: int) -> bool:
        """Appends a command to the log. False if this member does not lead, is transferring its leadership,
        or has `most_open` uncommitted entries."""
        if (
            self.leader_state is None
            or self.leader_state.transfer_target
            or self.log.last_index - self.commit >= self.limits.most_open
        ):
            return False
        self._append_entry(EntryKind.COMMAND, data, origin, seq)
        return True

    def propose_conf(self, conf: Conf) -> bool:
        """Appends a new configuration to the log. False if this member does not lead or may not make that
        change now.

        It may add or remove at most one voter. It is refused until the previous change and an entry of the
        leader's own term are committed: otherwise two disjoint majorities could form (thesis, 4.1, and the
        author's correction of 2015).
        """
        if (
            self.leader_state is None
            or self.leader_state.transfer_target
            or not self.can_change_members
            or not conf.voters
        ):
            return False
        if len(conf.voters ^ self.log.conf.voters) > 1 or conf.voters & conf.observers:
            return False
        self._append_entry(EntryKind.CONF, encode_conf(conf))
        self.leader_state.update_members()
        return True

    @property
    def can_change_members(self) -> bool:
        """True on a leader that has committed the last change of members and an entry of its own term."""
        return self.leader_state is not None and self.commit >= max(
            self.leader_state.term_start_index, self.log.conf_index
        )

    def transfer_leadership(self, to: str, now_us: int) -> bool:
        """Starts to transfer leadership to that voter (thesis, 3.10). False if this member does not lead,
        `to` is not another voter, or a transfer is in progress already."""
        if (
            self.leader_state is None
            or to not in self.log.conf.voters
            or to == self.me
            or self.leader_state.transfer_target
        ):
            return False
        self.leader_state.transfer_target, self.leader_state.transfer_started_us = to, now_us
        self._send_timeout_now(now_us)
        return True

    def read(self, reader: tuple[str, int], now_us: int) -> bool:
        """Registers a read. `LeaderState.take_confirmed_reads` returns it with its index once a majority has
        confirmed that this member leads. False if this member does not lead or has not committed an entry of
        its own term yet."""
        if self.leader_state is None or self.commit < self.leader_state.term_start_index:
            return False
        self.leader_state.reads.append((self.leader_state.round + 1, self.commit, reader))
        self.leader_state.next_heartbeat_us = min(self.leader_state.next_heartbeat_us, now_us + READ_BATCH_US)
        return True

    # ---- time

    def _reset_election_timer(self, now_us: int) -> None:
        shortest_us = self.times.election_us
        self.election_due_us = now_us + shortest_us + self.random.randrange(shortest_us)

    def hears_leader(self, now_us: int) -> bool:
        """True if this member leads or heard a leader within the minimum election timeout, and so must not
        vote for another one (thesis, 4.2.3)."""
        return now_us < self.leader_heard_us + self.times.election_us or self.leader_state is not None

    def next_us(self) -> int:
        """The time by which `tick` should be called."""
        return (
            min(self.leader_state.next_heartbeat_us, self.leader_state.commit_notice_us)
            if self.leader_state is not None
            else self.election_due_us
        )

    def tick(self, now_us: int) -> None:
        """Does what is due at that time: sends heartbeats, steps down, or starts a pre-vote."""
        if self.leader_state is not None:
            if self.leader_state.has_lost_quorum(now_us):
                self._become_follower(self.term, "", now_us)
                return
            if (
                self.leader_state.timeout_now_sent_us is None
                and now_us >= self.leader_state.transfer_started_us + self.times.election_us
            ):
                self.leader_state.transfer_target = ""  # the target has not caught up: keep leading
            if now_us >= self.leader_state.next_heartbeat_us:
                self.leader_state.send_heartbeats(now_us, self.commit, self.outbox)
                self._try_commit(now_us)
            return
        if now_us >= self.election_due_us:
            self.leader = "" if self.is_voter else self.leader
            if self.is_voter and self.may_vote and self.pending_snapshot is None:
                self._campaign(now_us, True)
            self._reset_election_timer(now_us)

    # ---- elections

    def _become_follower(self, term: int, leader: str, now_us: int) -> None:
        if term > self.term:
            self.hard_state = HardState(term)
        if self.role is not Role.FOLLOWER:
            self.role = Role.FOLLOWER
            self._reset_election_timer(now_us)
        if self.leader_state is not None:
            # A leader counts as having answered its own rounds: it must not vote for another one sooner than
            # the voters that answered them.
            self.leader_heard_us = max(self.leader_heard_us, self.leader_state.quorum_us)
        self.leader_state, self.leader, self.received_votes = None, leader, {}

    def _campaign(self, now_us: int, pre: bool, is_transfer: bool = False) -> None:
        """Starts a pre-vote or an election. `is_transfer`: the leader requested it (`TimeoutNow`)."""
        self.role = Role.PRE_CANDIDATE if pre else Role.CANDIDATE
        self.leader, self.received_votes = "", {}
        self.is_transfer = is_transfer
        if not pre:
            self.elections += 1
            self.hard_state = HardState(self.term + 1, self.me)
        request = VoteRequest(term=self.term + int(pre), pre=pre, last=self.log.last_index,
                              last_term=self.log.last_term, is_transfer=is_transfer)  # fmt: skip
        for voter in sorted(self.log.conf.voters - {self.me}):
            self._send(voter, request, durable=not pre)
        if pre:
            self._record_vote(self.me, True, now_us)

    def _record_vote(self, member: str, granted: bool, now_us: int) -> None:
        """Counts a vote. Once a majority has granted their votes, starts the election after a pre-vote or
        becomes the leader; once a majority has refused, becomes a follower."""
        voters = self.log.conf.voters
        if member in voters:
            self.received_votes[member] = granted
        majority = len(voters) // 2 + 1
        if sum(self.received_votes.values()) >= majority:
            if self.role is Role.PRE_CANDIDATE:
                self._campaign(now_us, False)
                self._reset_election_timer(now_us)
            else:
                self._become_leader(now_us)
        elif len(self.received_votes) - sum(self.received_votes.values()) >= majority:
            self._become_follower(self.term, "", now_us)

    def _become_leader(self, now_us: int) -> None:
        self.role, self.leader = Role.LEADER, self.me
        self.leader_state = LeaderState(self.me, self.term, self.log, self.times, self.limits, now_us)
        self.leader_state.start_round(now_us)
        self._append_entry(EntryKind.NOOP, b"")
        self.leader_state.send_new_entries(now_us, self.commit, self.outbox)

    def _handle_vote_request(self, sender: str, message: VoteRequest, now_us: int) -> None:
        if message.pre:
            granted = (
                self.may_vote
                and message.term > self.term
                and self.log.is_up_to_date(message.last_term, message.last)
            )
            self._send(
                sender, VoteReply(term=message.term if granted else self.term, pre=True, granted=granted)
            )
            return
        granted = (
            self.may_vote
            and self.leader_state is None
            and self.hard_state.vote in ("", sender)
            and self.log.is_up_to_date(message.last_term, message.last)
        )
        if granted:
            self.hard_state = HardState(self.term, sender)
            self._reset_election_timer(now_us)
        self._send(sender, VoteReply(term=self.term, pre=False, granted=granted), durable=True)

    # ---- messages

    def step(self, sender: str, message: Message, now_us: int) -> None:
        """Handles a message from another member."""
        future = False  # the message's term is one that the sender has not entered
        if isinstance(message, VoteRequest):
            if message.term > self.term and not message.is_transfer and self.hears_leader(now_us):
                return  # a partitioned or removed member must not disrupt the leader (thesis, 4.2.3)
            future = message.pre
        elif isinstance(message, VoteReply):
            future = message.pre and message.granted
        if message.term > self.term and not future:
            self._become_follower(
                message.term, sender if isinstance(message, Append | SnapshotChunk) else "", now_us
            )
        if message.term < self.term:
            if isinstance(message, Append | SnapshotChunk):
                self._send(sender, AppendReply(term=self.term, round=0, ok=False, match=0))
            elif isinstance(message, VoteRequest) and message.pre:
                self._send(sender, VoteReply(term=self.term, pre=True, granted=False))
            return
        match message:
            case VoteRequest():
                self._handle_vote_request(sender, message, now_us)
            case VoteReply():
                expected_role = Role.PRE_CANDIDATE if message.pre else Role.CANDIDATE
                if self.role is expected_role and message.term == self.term + int(
                    message.pre and message.granted
                ):
                    self._record_vote(sender, message.granted, now_us)
            case Append():
                self._note_leader(sender, now_us)
                self._handle_append(sender, message)
            case SnapshotChunk():
                self._note_leader(sender, now_us)
                self._handle_chunk(sender, message)
            case AppendReply() | SnapshotChunkReply():
                self._handle_reply(sender, message, now_us)
            case TimeoutNow():
                if self.is_voter and self.may_vote and sender == self.leader:
                    self._campaign(now_us, False, is_transfer=True)
            case _:
                pass

    def _note_leader(self, sender: str, now_us: int) -> None:
        self._become_follower(self.term, sender, now_us)
        self.leader_heard_us = now_us
        self.previous_leader = sender
        self._reset_election_timer(now_us)

    # ---- follower

    def _handle_append(self, sender: str, message: Append) -> None:
        log = self.log
        if message.prev > self.commit and log.term(message.prev) != message.prev_term:
            hint, hint_term = log.conflict_hint(message.prev)
            self._send(sender, AppendReply(term=self.term, round=message.round, ok=False, match=message.prev,
                                           hint=hint, hint_term=hint_term))  # fmt: skip
            return
        match = message.prev + len(message.entries)
        truncated_at = log.merge(e for e in message.entries if e.index > self.commit)
        if truncated_at is not None:
            self.written_index = min(self.written_index, truncated_at - 1)
        self._raise_commit(min(message.commit, match))
        reply = AppendReply(term=self.term, round=message.round, ok=True, match=match)
        self._send(sender, reply, durable=match > log.durable_index)

    def _handle_chunk(self, sender: str, message: SnapshotChunk) -> None:
        if message.index <= self.commit:
            self._send(sender, AppendReply(term=self.term, round=message.round, ok=True, match=self.commit),
                       durable=self.commit > self.log.durable_index)  # fmt: skip
            return
        snapshot_id = (message.index, message.index_term, sender)
        if snapshot_id != self.received_snapshot_id:
            self.received_snapshot_id, self.received_snapshot = snapshot_id, bytearray()
        if message.offset == len(self.received_snapshot):
            self.received_snapshot += message.data
        if len(self.received_snapshot) < message.size or message.offset + len(message.data) < message.size:
            reply = SnapshotChunkReply(
                term=self.term, index=message.index, offset=len(self.received_snapshot), round=message.round
            )  # fmt: skip
            self._send(sender, reply)
            return
        snapshot = Snapshot(message.index, message.index_term, message.conf, bytes(self.received_snapshot))
        self.received_snapshot_id, self.received_snapshot = (0, 0, ""), bytearray()
        replaces_log = self.log.term(message.index) != message.index_term
        if replaces_log:
            self.log.restore(snapshot)
            self.written_index = self.log.last_index
        else:
            self.log.compact(snapshot, 0)
            self.written_index = max(self.written_index, self.log.base_index)
        self.pending_snapshot = (snapshot, replaces_log)
        self.commit = message.index
        self.installed_snapshot = snapshot
        self._send(
            sender,
            AppendReply(term=self.term, round=message.round, ok=True, match=message.index),
            durable=True,
        )

    # ---- leader

    def _append_entry(self, kind: EntryKind, data: bytes, origin: str = "", seq: int = 0) -> None:
        self.log.add(Entry(self.term, self.log.last_index + 1, kind, data, origin, seq))

    def flush(self, now_us: int) -> None:
        """Sends new entries. Called after a batch of input, so that its entries go out together."""
        if self.leader_state is not None:
            self.leader_state.send_new_entries(now_us, self.commit, self.outbox)

    def _handle_reply(self, sender: str, message: AppendReply | SnapshotChunkReply, now_us: int) -> None:
        leader_state = self.leader_state
        if leader_state is None or sender not in leader_state.progress:
            return
        leader_state.record_round(sender, message.round)
        progress = leader_state.progress[sender]
        if isinstance(message, SnapshotChunkReply):
            if message.index == self.log.snapshot.index and message.offset != progress.offset:
                progress.offset = message.offset
                leader_state.send_chunk(sender, progress, now_us, self.outbox)
            return
        if (
            message.ok
            and progress.mode is Mode.SNAPSHOT
            and self.log.base_index <= message.match <= self.log.last_index
        ):
            progress.finish_snapshot(message.match)
        if leader_state.handle_append_reply(sender, message):
            self._try_commit(now_us)
        if leader_state.transfer_target == sender:
            self._send_timeout_now(now_us)
        if progress.next <= self.log.durable_index:
            leader_state.send_to(sender, now_us, self.commit, self.outbox)

    def _send_timeout_now(self, now_us: int) -> None:
        """Tells the target of the transfer to start an election, once it has the whole log."""
        leader_state = self.leader_state
        assert leader_state is not None
        progress = leader_state.progress.get(leader_state.transfer_target)
        if (
            progress is not None
            and progress.match == self.log.last_index
            and leader_state.timeout_now_sent_us is None
        ):
            leader_state.timeout_now_sent_us = now_us
            self.outbox.append((leader_state.transfer_target, TimeoutNow(term=self.term)))

    def _try_commit(self, now_us: int) -> None:
        leader_state = self.leader_state
        assert leader_state is not None
        index = leader_state.committable(self.log.durable_index)
        if index > self.commit:
            self.commit = index
            if not self.is_voter and self.log.conf_index <= self.commit:  # removed itself (thesis, 4.2.2)
                leader_state.send_heartbeats(now_us, self.commit, self.outbox)
                self._become_follower(self.term, "", now_us)
