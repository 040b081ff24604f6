"""Commands and reads: those of this member, and those that other members send to this member while it leads.
No I/O and no clock."""

from __future__ import annotations

from collections.abc import Callable

from magpiefront.group.pending import Outcome, OutcomeCallback, PendingOperations, Status
from magpiefront.group.messages import Forward, Message, ReadRequest, ReadReply, Refusal
from magpiefront.group.raft import Raft

MAX_ACCEPTED_COMMANDS = 8_192  # how many commands of other members are remembered to detect duplicates


class Requests:
    """Passes the commands and reads of this member to the leader and, while this member leads, handles those
    of all members.

    `send` sends a message to a member. `applied` returns the index up to which this member has applied the
    log.
    """

    def __init__(
        self, me: str, raft: Raft, pending: PendingOperations, max_entry_bytes: int,
        send: Callable[[str, Message], None], applied: Callable[[], int],
    ) -> None:  # fmt: skip
        self.me, self.raft, self.pending, self.max_entry_bytes = me, raft, pending, max_entry_bytes
        self.send, self.applied = send, applied
        # The latest commands accepted from other members (at most `MAX_ACCEPTED_COMMANDS`), by sender and
        # number. Used as an ordered set.
        self.accepted: dict[tuple[str, int], None] = {}

    # ---- requests of this member

    def propose(
        self, machine: str, data: bytes, deadline_us: int, on_done: OutcomeCallback, now_us: int
    ) -> None:  # fmt: skip
        """Proposes a command to a state machine. `on_done` is called once, by the deadline, with the status
        committed and the machine's result, refused (certainly without effect), or unknown."""
        entry = machine.encode() + b"\0" + data
        if len(entry) > self.max_entry_bytes:
            on_done(Outcome(Status.REFUSED, cause=f"{len(entry)} bytes exceed most_entry"))
            return
        operation = self.pending.add(entry, deadline_us, on_done)
        if operation is not None:
            self.pending.unsent.append(operation)
            self.send_all(now_us)

    def read(self, deadline_us: int, on_done: OutcomeCallback, now_us: int) -> None:
        """Makes a linearizable read (thesis, 6.4). `on_done` is called once: with the status committed as
        soon as everything committed before this call is applied here, or refused if that fails or takes
        longer than the deadline allows."""
        operation = self.pending.add(b"", deadline_us, on_done, read=True)
        if operation is not None:
            self.pending.unsent.append(operation)
            self.send_all(now_us)

    def send_all(self, now_us: int) -> None:
        """Sends the unsent operations to the leader, if one is known. A command is sent only once."""
        raft = self.raft
        while self.pending.unsent:
            operation = self.pending.unsent[0]
            if operation.seq in self.pending.open:
                if raft.leader_state is not None:
                    if operation.read:
                        if not self._read_as_leader(("", operation.seq), now_us):
                            return
                    elif not raft.propose(operation.data, self.me, operation.seq):
                        self.pending.end(
                            operation.seq,
                            Outcome(Status.REFUSED, cause="the leader can't accept a command now"),
                        )
                    else:
                        self.pending.place(operation, raft.log.last_index, raft.term)
                elif raft.leader and raft.leader != self.me:
                    message = (
                        ReadRequest(seq=operation.seq)
                        if operation.read
                        else Forward(seq=operation.seq, data=operation.data)
                    )
                    self.send(raft.leader, message)
                else:
                    return
                operation.sent, operation.sent_term = True, raft.term
            self.pending.unsent.popleft()

    # ---- requests of other members

    def on_forward(self, sender: str, message: Forward) -> None:
        """Proposes another member's command, or refuses it."""
        key = sender, message.seq
        if key in self.accepted:
            return  # a duplicate; refusing it would be wrong, since the first copy may be committed
        cause = ""
        if self.raft.leader_state is None:
            cause = "it does not lead"
        elif sender not in self.raft.log.conf.all:
            cause = "not of this group"
        elif len(message.data) > self.max_entry_bytes or not self.raft.propose(
            message.data, sender, message.seq
        ):
            cause = "the leader takes nothing now"
        else:
            self.raft.leader_state.commit_waiters[sender] = self.raft.log.last_index
            self.accepted[key] = None
            if len(self.accepted) > MAX_ACCEPTED_COMMANDS:
                del self.accepted[next(iter(self.accepted))]
        if cause:
            self.send(sender, Refusal(seq=message.seq, cause=cause))

    def on_read(self, sender: str, seq: int, now_us: int) -> None:
        """Begins another member's read, or answers with index -1 if this member can't serve it."""
        if not self._read_as_leader((sender, seq), now_us):
            self.send(sender, ReadReply(seq=seq, index=-1))

    # ---- reads

    def _read_as_leader(self, reader: tuple[str, int], now_us: int) -> bool:
        """Serves a read: at once while this leader's lease holds, otherwise once a majority has confirmed
        that this member leads. Returns False if this member can't serve it."""
        leader_state = self.raft.leader_state
        if (
            leader_state is not None
            and self.raft.commit >= leader_state.term_start_index
            and leader_state.has_lease(now_us)
        ):
            self._answer_read(reader, self.raft.commit)
            return True
        return self.raft.read(reader, now_us)

    def answer_confirmed_reads(self) -> None:
        """Answers the reads for which a majority has confirmed that this member leads."""
        if self.raft.leader_state is not None:
            for index, reader in self.raft.leader_state.take_confirmed_reads():
                self._answer_read(reader, index)

    def _answer_read(self, reader: tuple[str, int], index: int) -> None:
        sender, seq = reader
        if sender:
            self.send(sender, ReadReply(seq=seq, index=index))
        else:
            self.on_read_reply(seq, index)

    def on_read_reply(self, seq: int, index: int) -> None:
        """Handles the answer to a read: the index to wait for, or -1 if the member that was asked can't serve
        the read."""
        operation = self.pending.open.get(seq)
        if operation is not None and index < 0:
            self.pending.end(seq, Outcome(Status.REFUSED, cause="the receiver can't serve the read"))
        elif operation is not None:
            operation.index = index
            self.pending.applied(self.applied())
