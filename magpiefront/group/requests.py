"""Commands and reads: those of this member, and those that other members send to it as the leader. No I/O and
no clock."""

from __future__ import annotations

from collections.abc import Callable

from magpiefront.group.pending import Outcome, OutcomeCallback, PendingOperations, Status
from magpiefront.group.messages import Forward, Message, ReadRequest, ReadReply, Refusal
from magpiefront.group.raft import Raft

MAX_ACCEPTED_COMMANDS = 8_192


class Requests:
    """Carries out the commands and reads of this member and, while it leads, those of other members.

    `send` sends a message to a member. `applied` returns the index up to which the log is applied at this
    member.
    """

    def __init__(
        self, me: str, raft: Raft, pending: PendingOperations, max_entry_bytes: int,
        send: Callable[[str, Message], None], applied: Callable[[], int],
    ) -> None:  # fmt: skip
        self.me, self.raft, self.pending, self.max_entry_bytes = me, raft, pending, max_entry_bytes
        self.send, self.applied = send, applied
        # The latest commands accepted from other members, by sender and number.
        self.accepted: dict[tuple[str, int], None] = {}

    # ---- requests of this member

    def propose(
        self, machine: str, data: bytes, deadline_us: int, on_done: OutcomeCallback, now_us: int
    ) -> None:  # fmt: skip
        """Proposes a command. `on_done` is called once, by the deadline: committed with the machine's result,
        refused (certainly without effect), or unknown."""
        entry = machine.encode() + b"\0" + data
        if len(entry) > self.max_entry_bytes:
            on_done(Outcome(Status.REFUSED, cause=f"{len(entry)} bytes are more than most_entry"))
            return
        operation = self.pending.add(entry, deadline_us, on_done)
        if operation is not None:
            self.pending.unsent.append(operation)
            self.send_all(now_us)

    def read(self, deadline_us: int, on_done: OutcomeCallback, now_us: int) -> None:
        """Calls `on_done` once: committed as soon as all that was committed before this call is applied here,
        or refused if that is not possible in time (thesis, 6.4)."""
        operation = self.pending.add(b"", deadline_us, on_done, read=True)
        if operation is not None:
            self.pending.unsent.append(operation)
            self.send_all(now_us)

    def send_all(self, now_us: int) -> None:
        """Sends the waiting operations to the leader, if one is known. Commands are sent once only."""
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
                            operation.seq, Outcome(Status.REFUSED, cause="the leader takes nothing now")
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
            return  # a duplicate; refusing it would be wrong, as the first copy may be committed
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
        """Begins another member's read; answers with index -1 if this member can't serve it."""
        if not self._read_as_leader((sender, seq), now_us):
            self.send(sender, ReadReply(seq=seq, index=-1))

    # ---- reads

    def _read_as_leader(self, reader: tuple[str, int], now_us: int) -> bool:
        """Answers a read at once while the leader's lease holds, otherwise once a majority has confirmed that
        this member leads. Returns False if it can't serve the read."""
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
        """The leader's answer to a read: the index to wait for, or -1 if it does not lead."""
        operation = self.pending.open.get(seq)
        if operation is not None and index < 0:
            self.pending.end(seq, Outcome(Status.REFUSED, cause="it does not lead"))
        elif operation is not None:
            operation.index = index
            self.pending.applied(self.applied())
