"""The state of a leader: progress of the other members, rounds of heartbeats, the lease and pending reads.

Read index and lease follow the Raft thesis, 6.4 and 6.4.1; a leader that no longer hears from a majority
steps down (6.2). No I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Iterable

from magpiefront.group.log import Log
from magpiefront.group.messages import Append, AppendReply, Entry, Message, SnapshotChunk
from magpiefront.group.progress import Mode, Progress
from magpiefront.group.settings import Limits, Times

Outbox = list[tuple[str, Message]]

# A new commit index is sent with the next entries, which saves a message and a reply per voter and command.
# Without new entries it is sent alone after this delay, which is short compared to the heartbeat interval; a
# member that waits for the commit gets it at once.
COMMIT_NOTICE_DELAY_US = 10_000
NEVER_US = 1 << 62  # later than any time of the clock


class LeaderState:
    """What a member tracks while it leads. Times are microseconds."""

    def __init__(self, me: str, term: int, log: Log, times: Times, limits: Limits, now_us: int) -> None:
        self.me, self.term, self.log, self.times, self.limits = me, term, log, times, limits
        self.started_us = now_us
        self.term_start_index = log.last_index + 1  # the first entry of this term
        self.progress: dict[str, Progress] = {}
        # The number of the latest round, and when each round that no majority has answered yet began, by
        # number.
        self.round, self.round_began_us = 0, dict[int, int]()
        self.quorum_round = 0  # the newest round that a majority has answered
        self.quorum_us = now_us  # start of the newest round that a majority has answered
        self.next_heartbeat_us = now_us
        self.reads: list[tuple[int, int, tuple[str, int]]] = []  # round, index, reader
        self.transfer_target, self.transfer_started_us = "", 0  # of the transfer of leadership; "" if none
        self.timeout_now_sent_us: int | None = None  # when TimeoutNow was sent; no lease from then on
        self.commit_notice_us = NEVER_US  # when to send a commit index without entries
        # By member, the index of the last command that it forwarded and whose commit it has not been told.
        self.commit_waiters: dict[str, int] = {}
        self.regressed: set[str] = set()  # members whose disks lost entries that they had confirmed
        self.update_members()

    def update_members(self) -> None:
        """Starts to track the members that the latest configuration has added, and forgets those that it has
        removed."""
        members = self.log.conf.all - {self.me}
        new = sorted(members - self.progress.keys())
        for position, member in enumerate(new):
            # Staggered, so that the messages to observers and their replies are spread over the interval.
            last_sent_us = self.started_us - self.times.observer_us * (len(new) - position) // len(new)
            self.progress[member] = Progress(self.log.last_index + 1, last_sent_us)
        for member in self.progress.keys() - members:
            del self.progress[member]
            self.commit_waiters.pop(member, None)

    # ---- quorum

    def _majority_value(self, values: Iterable[int]) -> int:
        """The largest number that a majority of the values reach; 0 if there are no values."""
        ordered = sorted(values, reverse=True)
        return ordered[len(ordered) // 2] if ordered else 0

    def record_round(self, member: str, round_: int) -> None:
        """Records that the member has answered that round."""
        progress = self.progress[member]
        progress.acked_round = max(progress.acked_round, min(round_, self.round))
        self._update_quorum()

    def _update_quorum(self) -> None:
        voters = self.log.conf.voters
        newest = self._majority_value(
            self.round if v == self.me else self.progress[v].acked_round for v in voters
        )  # fmt: skip
        if newest > self.quorum_round:
            self.quorum_round, self.quorum_us = newest, self.round_began_us[newest]
            for r in [r for r in self.round_began_us if r <= newest]:
                del self.round_began_us[r]

    def has_lease(self, now_us: int) -> bool:
        """True if certainly no other member leads at this moment."""
        return self.timeout_now_sent_us is None and now_us < self.quorum_us + self.times.lease_us

    def has_lost_quorum(self, now_us: int) -> bool:
        """True if no majority has answered for an election timeout, so that the leader should step down.
        Answers after TimeoutNow was sent don't count."""
        since = (
            self.quorum_us
            if self.timeout_now_sent_us is None
            else min(self.quorum_us, self.timeout_now_sent_us)
        )
        return now_us >= since + self.times.election_us

    def committable(self, durable_index: int) -> int:
        """The last index that a majority holds durably; 0 if its entry is not of the leader's own term
        (thesis, 3.6.2).

        `durable_index`: the last index on the leader's own disk.
        """
        index = self._majority_value(
            durable_index if v == self.me else self.progress[v].match for v in self.log.conf.voters
        )  # fmt: skip
        return index if self.is_own_term(index) else 0

    def is_own_term(self, index: int) -> bool:
        return self.log.term(index) == self.term

    # ---- sending

    def start_round(self, now_us: int) -> None:
        """Starts a round of heartbeats, which the caller sends. A majority that answers the round confirms
        that this member leads."""
        self.round += 1
        self.round_began_us[self.round] = now_us
        self.next_heartbeat_us = now_us + self.times.heartbeat_us
        self._update_quorum()

    def send_heartbeats(self, now_us: int, commit: int, outbox: Outbox) -> None:
        """Starts a round and sends its heartbeats to all voters. Observers get one only every `observer_us`,
        or four times as often if they lag."""
        self.start_round(now_us)
        for member, progress in self.progress.items():
            behind = (
                progress.match < self.log.last_index
                and now_us >= progress.sent_us + self.times.observer_us // 4
            )
            if (
                member in self.log.conf.voters
                or behind
                or now_us >= progress.sent_us + self.times.observer_us
            ):
                progress.probe_in_flight = False  # the unanswered message may be lost
                self._send_entries(member, progress, now_us, commit, outbox, True)

    def send_new_entries(self, now_us: int, commit: int, outbox: Outbox) -> None:
        """Sends new entries to the voters and to members that wait for a commit; other observers get them
        with their heartbeats. Sends a new commit index without entries if that is due
        (`COMMIT_NOTICE_DELAY_US`)."""
        due, behind = now_us >= self.commit_notice_us, False
        for member, progress in self.progress.items():
            awaited_index = self.commit_waiters.get(member, 0)
            if member in self.log.conf.voters or awaited_index:
                notify = (
                    commit > progress.sent_commit
                    and (due or 0 < awaited_index <= commit)
                    and progress.mode is Mode.STREAM
                )
                self._send_entries(member, progress, now_us, commit, outbox, notify)
                behind |= commit > progress.sent_commit and progress.mode is Mode.STREAM
                if awaited_index and progress.sent_commit >= awaited_index:
                    del self.commit_waiters[member]
        if not behind:
            self.commit_notice_us = NEVER_US
        elif due or self.commit_notice_us == NEVER_US:
            self.commit_notice_us = now_us + COMMIT_NOTICE_DELAY_US

    def send_to(self, member: str, now_us: int, commit: int, outbox: Outbox) -> None:
        """Sends one member the entries that it lacks, if any."""
        self._send_entries(member, self.progress[member], now_us, commit, outbox, False)

    def _send_entries(
        self, member: str, progress: Progress, now_us: int, commit: int, outbox: Outbox, send_empty: bool
    ) -> None:  # fmt: skip
        """Sends as many entries as flow control allows. `send_empty`: send a message even without entries."""
        log, limits = self.log, self.limits
        if progress.mode is not Mode.SNAPSHOT and log.term(progress.next - 1) is None:
            progress.switch_to_snapshot()
        if progress.mode is Mode.SNAPSHOT:
            if send_empty:
                self._send_append(member, progress, now_us, 0, 0, [], commit, outbox)
            if now_us >= progress.chunk_sent_us + self.times.observer_us:
                self.send_chunk(member, progress, now_us, outbox)
            return
        while True:
            may_send = (
                not progress.probe_in_flight
                if progress.mode is Mode.PROBE
                else len(progress.in_flight) < limits.most_flight
            )
            # Only entries that are durable here are sent, so that the receiver knows that the leader's disk
            # holds at least these (`attestation.py`).
            entries = (
                log.entries_between(progress.next - 1, log.durable_index, limits.most_append)
                if may_send
                else []
            )
            if not entries and not send_empty:
                return
            send_empty = False
            prev = progress.next - 1
            if entries:
                progress.probe_in_flight = True
                if progress.mode is Mode.STREAM:
                    progress.next = entries[-1].index + 1
                    progress.in_flight.append(entries[-1].index)
            self._send_append(member, progress, now_us, prev, log.term(prev) or 0, entries, commit, outbox)
            if not entries or progress.mode is Mode.PROBE:
                return

    def _send_append(
        self, member: str, progress: Progress, now_us: int, prev: int, prev_term: int, entries: list[Entry],
        commit: int, outbox: Outbox,
    ) -> None:  # fmt: skip
        progress.sent_us, progress.sent_commit = now_us, commit
        outbox.append((member, Append(term=self.term, prev=prev, prev_term=prev_term, entries=entries,
                                      commit=commit, round=self.round)))  # fmt: skip

    def send_chunk(self, member: str, progress: Progress, now_us: int, outbox: Outbox) -> None:
        """Sends the next chunk of the snapshot, from the offset that the member has confirmed."""
        snapshot = self.log.snapshot
        progress.chunk_sent_us = progress.sent_us = now_us
        progress.offset = min(progress.offset, len(snapshot.data))
        data = snapshot.data[progress.offset : progress.offset + self.limits.most_part]
        outbox.append((member, SnapshotChunk(
            term=self.term, index=snapshot.index, index_term=snapshot.term, conf=snapshot.conf,
            offset=progress.offset, size=len(snapshot.data), data=data, round=self.round,
        )))  # fmt: skip

    # ---- replies

    def handle_append_reply(self, member: str, reply: AppendReply) -> bool:
        """Updates the member's progress. True if more entries may be committed now."""
        progress = self.progress[member]
        if reply.ok:
            if progress.mode is Mode.SNAPSHOT and reply.match < self.log.base_index:
                return False
            return progress.record_success(reply.match, reply.round)
        if progress.mode is Mode.SNAPSHOT:
            return False
        if progress.record_rejection(
            reply.match, self._last_common_index(reply.hint, reply.hint_term), reply.round
        ):
            self.regressed.add(member)
        return False

    def _last_common_index(self, index: int, term: int) -> int:
        """The last index, not after `index`, at which this log can match a log whose entry at `index` is of
        `term` (thesis, end of 3.5)."""
        index = min(index, self.log.last_index)
        while index > self.log.base_index:
            own_term = self.log.term(index)
            if own_term is not None and own_term <= term:
                break
            index -= 1
        return index

    def is_caught_up(self, member: str, commit: int) -> bool:
        """True if the member may become a voter. A voter that lags would delay commits (thesis, 4.2.1)."""
        progress = self.progress.get(member)
        # It may be up to 64 entries behind the commit index, and must have answered a round within the last
        # two of the intervals at which observers are sent messages.
        recent = (
            progress is not None and progress.acked_round >= self.quorum_round - 2 * self._observer_rounds
        )
        return (
            progress is not None and recent and progress.mode is Mode.STREAM and progress.match + 64 >= commit
        )

    @property
    def _observer_rounds(self) -> int:
        """The number of rounds within which an observer is sent at least one message."""
        return 1 + self.times.observer_us // self.times.heartbeat_us

    def take_confirmed_reads(self) -> list[tuple[int, tuple[str, int]]]:
        """Removes the reads whose round a majority has answered and returns each one's index and reader."""
        confirmed = [(index, reader) for round_, index, reader in self.reads if round_ <= self.quorum_round]
        self.reads = [read for read in self.reads if read[0] > self.quorum_round]
        return confirmed
