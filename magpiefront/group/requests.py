"""What this member asks of the leader, and others of this one: commands and reads. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Callable

from magpiefront.group.asks import Asks, Fate, Outcome, Then
from magpiefront.group.messages import Forward, Message, ReadAsk, ReadReply, Refusal
from magpiefront.group.raft import Raft

MOST_ACCEPTED = 8_192


class Requests:
    """`applied` tells how far this member's machines are."""

    def __init__(
        self, me: str, raft: Raft, asks: Asks, most_entry: int, send: Callable[[str, Message], None],
        applied: Callable[[], int],
    ) -> None:  # fmt: skip
        self.me, self.raft, self.asks, self.most_entry = me, raft, asks, most_entry
        self.send, self.applied = send, applied
        self.accepted: dict[tuple[str, int], None] = {}  # of others' commands, the last ones taken up

    # ---- of this member

    def propose(self, machine: str, data: bytes, deadline_us: int, then: Then, now_us: int) -> None:
        """`then` hears once, at the latest at the deadline: committed with the machine's answer, refused
        (certainly not), or unknown."""
        whole = machine.encode() + b"\0" + data
        if len(whole) > self.most_entry:
            then(Outcome(Fate.REFUSED, cause=f"{len(whole)} bytes are more than most_entry"))
            return
        ask = self.asks.add(whole, deadline_us, then)
        if ask is not None:
            self.asks.unsent.append(ask)
            self.send_all(now_us)

    def read(self, deadline_us: int, then: Then, now_us: int) -> None:
        """`then` hears once what is applied here is at least as new as this moment, or that it can't be had
        in time (thesis, 6.4)."""
        ask = self.asks.add(b"", deadline_us, then, read=True)
        if ask is not None:
            self.asks.unsent.append(ask)
            self.send_all(now_us)

    def send_all(self, now_us: int) -> None:
        """What waits for a leader goes to it, once there is one. Nothing is asked for twice."""
        raft = self.raft
        while self.asks.unsent:
            ask = self.asks.unsent[0]
            if ask.seq in self.asks.open:
                if raft.lead is not None:
                    if ask.read:
                        if not self._read_here(("", ask.seq), now_us):
                            return
                    elif not raft.propose(ask.data, self.me, ask.seq):
                        self.asks.end(ask.seq, Outcome(Fate.REFUSED, cause="the leader takes nothing now"))
                    else:
                        self.asks.place(ask, raft.log.last, raft.term)
                elif raft.leader and raft.leader != self.me:
                    m = ReadAsk(seq=ask.seq) if ask.read else Forward(seq=ask.seq, data=ask.data)
                    self.send(raft.leader, m)
                else:
                    return
                ask.sent, ask.to_term = True, raft.term
            self.asks.unsent.popleft()

    # ---- of others

    def forwarded(self, sender: str, m: Forward) -> None:
        key = sender, m.seq
        if key in self.accepted:
            return  # doubled on its way: a refusal would not be certain
        cause = ""
        if self.raft.lead is None:
            cause = "it does not lead"
        elif sender not in self.raft.log.conf.all:
            cause = "not of this group"
        elif len(m.data) > self.most_entry or not self.raft.propose(m.data, sender, m.seq):
            cause = "the leader takes nothing now"
        else:
            self.raft.lead.eager[sender] = self.raft.log.last
            self.accepted[key] = None
            if len(self.accepted) > MOST_ACCEPTED:
                del self.accepted[next(iter(self.accepted))]
        if cause:
            self.send(sender, Refusal(seq=m.seq, cause=cause))

    def read_asked(self, sender: str, seq: int, now_us: int) -> None:
        if not self._read_here((sender, seq), now_us):
            self.send(sender, ReadReply(seq=seq, index=-1))

    # ---- reads

    def _read_here(self, whose: tuple[str, int], now_us: int) -> bool:
        """At once under the lease, else once a majority has confirmed that this member leads."""
        lead = self.raft.lead
        if lead is not None and self.raft.commit >= lead.begins and lead.lease(now_us):
            self._read_due(whose, self.raft.commit)
            return True
        return self.raft.read(whose, now_us)

    def reads_due(self) -> None:
        if self.raft.lead is not None:
            for index, whose in self.raft.lead.due_reads():
                self._read_due(whose, index)

    def _read_due(self, whose: tuple[str, int], index: int) -> None:
        sender, seq = whose
        if sender:
            self.send(sender, ReadReply(seq=seq, index=index))
        else:
            self.read_told(seq, index)

    def read_told(self, seq: int, index: int) -> None:
        ask = self.asks.open.get(seq)
        if ask is not None and index < 0:
            self.asks.end(seq, Outcome(Fate.REFUSED, cause="it does not lead"))
        elif ask is not None:
            ask.index = index
            self.asks.applied(self.applied())
