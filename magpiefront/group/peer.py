"""One member, whole: the agreement, what is applied, sessions, and what this member asked for.

No I/O and no clock: it is handed messages, the time and what has become durable, and gives what to send and
to write. The same class runs in the program (`service.py`) and in simulated time (`model/group.py`).
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import msgspec

from magpiefront.group import facts
from magpiefront.group.asks import Asks, Fate, Outcome, Then
from magpiefront.group.attest import Attestation, Memory, Verdict, further, voters_of
from magpiefront.group.facts import State
from magpiefront.group.log import Log
from magpiefront.group.machines import FACTS, Machine, Machines
from magpiefront.group.members import Members
from magpiefront.group.messages import (
    Append, AppendReply, Attest, Attested, Conf, Entry, Forward, Join, Message, Ping, Pong, ReadAsk,
    ReadReply, Refusal, Snapshot, VoteReply, member_id, name_of,
)  # fmt: skip
from magpiefront.group.raft import Hard, Raft, Write
from magpiefront.group.sessions import Hearing, Session
from magpiefront.group.settings import GroupSettings

JOIN_US = 500_000
MOST_ACCEPTED = 8_192
FIRST = 1  # the snapshot with which a group begins: who has nothing needs it


class Stored(msgspec.Struct):
    """What a disk holds."""

    incarnation: str
    boot: int  # how often it has been started from, this time too
    hard: Hard = Hard()
    snapshot: Snapshot = Snapshot(0, 0, Conf(), b"")
    entries: list[Entry] = []

    @property
    def virgin(self) -> bool:
        return self.hard.term == 0 and not self.snapshot.conf.voters and not self.entries


class Peer:
    def __init__(
        self, settings: GroupSettings, stored: Stored, random: Random, now_us: int,
        machines: dict[str, Machine] | None = None, log: Callable[[str], None] = lambda line: None,
    ) -> None:  # fmt: skip
        self.settings, self.times, self.log = settings, settings.times, log
        self.me = member_id(settings.member, stored.incarnation)
        self.life = stored.boot
        self.machines = Machines()
        self.machines.by_name.update(machines or {})
        book = Log(stored.snapshot, stored.entries)
        self.raft = Raft(self.me, self.times, settings.limits, random, stored.hard, book, now_us)
        self.applied = stored.snapshot.index
        if stored.snapshot.data:
            self.machines.restore(stored.snapshot.data)
        # Above those of each process before it. Where an older disk was put back the boots are the same: then
        # numbers that were used must not be met again.
        self.asks = Asks((stored.boot << 40) + (random.getrandbits(28) << 12), settings.limits.most_waiting)
        self.accepted: dict[tuple[str, int], None] = {}  # of others' commands, the last ones taken up
        self.session, self.hearing = Session(self.times, random), Hearing()
        self.members = Members(self)
        self.given_up: dict[str, int] = {}  # leases, by the epoch under which they were given back
        self.memory = Memory()
        self.virgin = stored.virgin
        # An incarnation of its own was given up before: it has to be taken in, and never begins a group.
        self.joining = stored.virgin and stored.incarnation != "0"
        self.reborn = False  # it has to give this incarnation up
        self.attestation: Attestation | None = None
        self.attest_us = now_us
        self.led = ""
        self.watchers: list[Callable[[], None]] = []
        self.changes = -1
        self.seen: dict[str, State] = {}  # as last told, by id
        self.out: list[tuple[str, Message]] = []
        others = voters_of(book.conf, settings.voters)
        voter = self.me in book.conf.voters or (stored.virgin and settings.member in settings.voters)
        if not self.joining and voter and others != {settings.member}:
            self.attestation = Attestation(self.me, others, stored.virgin, stored.hard.term, book.last,
                                           now_us)  # fmt: skip
            self.raft.may_vote = False
        elif stored.virgin and settings.member in settings.voters and not self.joining:
            self._begin(now_us)
        elif stored.virgin:
            self.joining = True

    # ---- what is asked of it

    def propose(self, machine: str, data: bytes, deadline_us: int, then: Then, now_us: int) -> None:
        """`then` hears once, at the latest at the deadline: committed with the machine's answer, refused
        (certainly not), or unknown."""
        whole = machine.encode() + b"\0" + data
        if len(whole) > self.settings.limits.most_entry:
            then(Outcome(Fate.REFUSED, cause=f"{len(whole)} bytes are more than most_entry"))
            return
        ask = self.asks.add(whole, deadline_us, then)
        if ask is not None:
            self.asks.unsent.append(ask)
            self._send_asks(now_us)

    def read(self, deadline_us: int, then: Then, now_us: int) -> None:
        """`then` hears once what is applied here is at least as new as this moment, or that it can't be had
        in time (thesis, 6.4)."""
        ask = self.asks.add(b"", deadline_us, then, read=True)
        if ask is not None:
            self.asks.unsent.append(ask)
            self._send_asks(now_us)

    def may_act(self, now_us: int) -> int:
        """The epoch under which this member may act at this moment; 0: it may not. To be asked in front of
        each act that only one may do."""
        mine = self.machines.facts.member(self.me)
        if mine is None or mine.state is not State.WELL or mine.epoch != self.session.epoch:
            return 0
        return mine.epoch if mine.life == self.life and self.session.holds(now_us) else 0

    def holds(self, lease: str, now_us: int) -> int:
        """The epoch of that lease, if it is this member's at this moment; else 0."""
        held = self.machines.facts.lease(lease)
        mine = held.holder == self.me and self.given_up.get(lease) != held.epoch
        return held.epoch if mine and self.may_act(now_us) else 0

    def take(self, lease: str, deadline_us: int, then: Then, now_us: int) -> None:
        """Asks for a lease that is free. `holds` tells whether it is this member's, not the outcome."""
        epoch = self.may_act(now_us)
        if not epoch:
            then(Outcome(Fate.REFUSED, cause="it may not act"))
            return
        self.propose(FACTS, facts.encode(facts.Take(lease, self.me, epoch)), deadline_us, then, now_us)

    def drop(self, lease: str, deadline_us: int, then: Then, now_us: int) -> None:
        """Gives a lease back. It is not held from this moment on, whatever the outcome: others may hear of it
        before this member does."""
        epoch = self.machines.facts.lease(lease).epoch
        self.given_up[lease] = epoch
        self.propose(FACTS, facts.encode(facts.Drop(lease, self.me, epoch)), deadline_us, then, now_us)

    def watch(self, changed: Callable[[], None]) -> None:
        """Hears of each change among the members, once it is committed and applied here."""
        self.watchers.append(changed)

    @property
    def leads(self) -> bool:
        return self.raft.lead is not None

    # ---- what it gives

    def messages(self) -> list[tuple[str, Message]]:
        out, self.out = self.out + self.raft.messages(), []
        return [(to, self._with_sessions(to, m)) for to, m in out]

    def _with_sessions(self, to: str, m: Message) -> Message:
        if isinstance(m, AppendReply) and self.hearing.heard and m.round:
            return msgspec.structs.replace(m, heard=self.hearing.take())
        if isinstance(m, Append) and self.members.grants is not None:
            acks = self.members.grants.take(to)
            return msgspec.structs.replace(m, acks=acks) if acks else m
        return m

    def take_write(self) -> Write | None:
        return self.raft.take_write()

    def saved(self, now_us: int) -> None:
        self.raft.saved(now_us)
        self._settle(now_us)

    def next_us(self) -> int:
        due = min(self.raft.next_us(), self.session.due_us, self.asks.next_us())
        return min(due, self.attest_us) if self._calls else due

    @property
    def _calls(self) -> bool:
        """Does it ask others whether it belongs here, or to vote?"""
        waits = self.settings.member in self.settings.voters and self.me in self.raft.log.conf.observers
        return self.attestation is not None or self.joining or waits

    # ---- what it is handed

    def tick(self, now_us: int) -> None:
        self.raft.tick(now_us)
        self.asks.expire(now_us)
        if self._calls and now_us >= self.attest_us:
            self.attest_us = now_us + (self.times.ping_us if self.attestation is not None else JOIN_US)
            self._call(now_us)
            if self.attestation is not None:
                self._judge(now_us)
        if now_us >= self.session.due_us:
            self._ask_session(now_us)
        self.members.tick(now_us)
        self._settle(now_us)

    def receive(self, sender: str, m: Message, now_us: int) -> None:
        match m:
            case Ping():
                self._pinged(sender, m, now_us)
            case Pong():
                self.session.told(m.seq, m.may, m.epoch)
                if not self.raft.votes and m.leader:
                    self.raft.leader = self.raft.leader or m.leader
            case Forward():
                self._forwarded(sender, m)
            case Refusal():
                self.asks.end(m.seq, Outcome(Fate.REFUSED, cause=m.cause))
            case ReadAsk():
                if not self._read_here((sender, m.seq), now_us):
                    self.out.append((sender, ReadReply(seq=m.seq, index=-1)))
            case ReadReply():
                self._read_told(m.seq, m.index)
            case Attest():
                self.out.append((sender, self._attested(sender, m.virgin, now_us)))
            case Attested():
                self._told(name_of(sender), m, now_us)
            case Join():
                self.members.asked(sender, m.voter, now_us)
            case _:
                self._agree(sender, m, now_us)
        self._settle(now_us)

    def _agree(self, sender: str, m: Message, now_us: int) -> None:
        if self.attestation is not None:
            return  # it may be somebody else by the next moment; and what is known of it must be from before
        if isinstance(m, AppendReply):
            if m.ok and m.round:
                self.memory.saw(sender, m.term, m.match)
            for member, seq, life in m.heard:
                self.members.heard(sender, member, seq, life, now_us)
        elif isinstance(m, Append) and m.entries:  # which its own disk holds
            self.memory.saw(sender, m.term, m.prev + len(m.entries))
        elif isinstance(m, VoteReply) and m.granted and not m.pre:
            self.memory.saw(sender, m.term)
        self.raft.step(sender, m, now_us)
        if isinstance(m, Append) and sender == self.raft.leader:
            for member, seq, may, epoch in m.acks:
                if member == self.me:
                    self.session.told(seq, may, epoch)
                else:
                    self.out.append((member, Pong(seq=seq, may=may, epoch=epoch, leader=sender)))

    # ---- a start

    def _call(self, now_us: int) -> None:
        names = sorted(self.attestation.others if self.attestation is not None else self.settings.members)
        for name in names:
            if name == self.settings.member:
                continue
            if self.attestation is not None:
                m: Message = Attest(last=self.raft.log.last, virgin=self.virgin, term=self.raft.term)
            else:
                m = Join(voter=self.settings.member in self.settings.voters)
            self.out.append((member_id(name, ""), m))

    def _attested(self, sender: str, virgin: bool, now_us: int) -> Attested:
        term, match = self.memory.known.get(sender, (0, 0))
        conf = self.raft.log.conf
        there = conf.by_name(name_of(sender))
        # One that was there at the group's beginning has missed it: as good as if it had come first.
        young = there == sender and self.raft.log.first == FIRST and not term and sender in conf.voters
        return Attested(known_term=term, known=match, virgin=self.virgin or (virgin and young),
                        other=there is not None and there != sender,
                        leads=self.raft.lead is not None and self.raft.lead.lease(now_us))  # fmt: skip

    def _told(self, name: str, m: Attested, now_us: int) -> None:
        if self.attestation is not None:
            self.attestation.told(name, m)
            self._judge(now_us)
        elif further(m, self.raft.term, self.raft.log.last):
            self._give_up()  # the leader found it by what it refused

    def _give_up(self) -> None:
        self.reborn, self.raft.may_vote = True, False
        self.log("this disk is older than what the other members knew of it, or lost: it comes back as a "
                 "learner under a new incarnation")  # fmt: skip

    def _judge(self, now_us: int) -> None:
        assert self.attestation is not None
        verdict = self.attestation.verdict(now_us)
        if verdict is Verdict.WAITS:
            return
        self.attestation = None
        if verdict is Verdict.REBORN:
            self._give_up()
            return
        self.raft.may_vote = True
        if verdict is Verdict.FIRST:
            self._begin(now_us)

    def _begin(self, now_us: int) -> None:
        """The group's first configuration, the same at each of its first voters."""
        conf = Conf(frozenset(member_id(v, "0") for v in self.settings.voters))
        self.machines.facts.conf(conf)
        first = Snapshot(FIRST, 0, conf, self.machines.snapshot())
        self.raft.log.restore(first)
        self.raft.snapshot, self.raft.commit, self.raft.written = (first, True), FIRST, FIRST
        self.applied = FIRST
        self.virgin = False

    # ---- asks

    def _send_asks(self, now_us: int) -> None:
        while self.asks.unsent:
            ask = self.asks.unsent[0]
            if ask.seq in self.asks.open:
                if self.leads:
                    if ask.read:
                        if not self._read_here(("", ask.seq), now_us):
                            return
                    elif not self.raft.propose(ask.data, self.me, ask.seq):
                        self.asks.end(ask.seq, Outcome(Fate.REFUSED, cause="the leader takes nothing now"))
                    else:
                        ask.at = self.raft.log.last, self.raft.term
                elif self.raft.leader and self.raft.leader != self.me:
                    m = ReadAsk(seq=ask.seq) if ask.read else Forward(seq=ask.seq, data=ask.data)
                    self.out.append((self.raft.leader, m))
                else:
                    return
                ask.sent = True
            self.asks.unsent.popleft()

    def _forwarded(self, sender: str, m: Forward) -> None:
        key = sender, m.seq
        if key in self.accepted:
            return  # doubled on its way: a refusal would not be certain
        cause = ""
        if self.raft.lead is None:
            cause = "it does not lead"
        elif sender not in self.raft.log.conf.all:
            cause = "not of this group"
        elif len(m.data) > self.settings.limits.most_entry or not self.raft.propose(m.data, sender, m.seq):
            cause = "the leader takes nothing now"
        else:
            self.raft.lead.eager.add(sender)
            self.accepted[key] = None
            if len(self.accepted) > MOST_ACCEPTED:
                del self.accepted[next(iter(self.accepted))]
        if cause:
            self.out.append((sender, Refusal(seq=m.seq, cause=cause)))

    def _read_here(self, whose: tuple[str, int], now_us: int) -> bool:
        lead = self.raft.lead
        if lead is not None and self.raft.commit >= lead.begins and lead.lease(now_us):
            self._read_due(whose, self.raft.commit)
            return True
        return self.raft.read(whose, now_us)

    def _read_due(self, whose: tuple[str, int], index: int) -> None:
        sender, seq = whose
        if sender:
            self.out.append((sender, ReadReply(seq=seq, index=index)))
        else:
            self._read_told(seq, index)

    def _read_told(self, seq: int, index: int) -> None:
        ask = self.asks.open.get(seq)
        if ask is not None and index < 0:
            self.asks.end(seq, Outcome(Fate.REFUSED, cause="it does not lead"))
        elif ask is not None:
            ask.index = index
            self.asks.applied(self.applied)

    # ---- sessions

    def _ask_session(self, now_us: int) -> None:
        voters = self.raft.log.conf.voters
        seq, whom = self.session.ask(self.raft.leader, voters, now_us)
        for member in whom:
            if member == self.me:
                self._pinged(self.me, Ping(seq=seq, life=self.life), now_us)
            else:
                self.out.append((member, Ping(seq=seq, life=self.life)))

    def _pinged(self, sender: str, m: Ping, now_us: int) -> None:
        if self.leads:
            self.members.heard(self.me, sender, m.seq, m.life, now_us)
        elif self.raft.votes:
            self.hearing.asked(sender, m.seq, m.life)

    # ---- what follows

    def _settle(self, now_us: int) -> None:
        """All that follows from what was handed in."""
        raft = self.raft
        if raft.restored is not None:
            self.machines.restore(raft.restored.data)
            self.applied, raft.restored = raft.restored.index, None
        if raft.lead is not None:
            for index, whose in raft.lead.due_reads():
                self._read_due(whose, index)  # type: ignore[arg-type]
        self._apply()
        self.joining = self.session.out or (self.joining and not self.session.known)
        mine = self.machines.facts.member(self.me)
        if mine is not None and mine.life > self.life and not self.reborn:
            self._give_up()  # a later process of this member was there already
        if self.led != raft.leader:
            self.led = raft.leader
            self.log(f"{raft.leader or 'nobody'} leads in term {raft.term}")
        self.members.settle(now_us)
        self._send_asks(now_us)
        raft.flush(now_us)
        if self.changes != self.machines.facts.kept.changes:
            self.changes = self.machines.facts.kept.changes
            self._tell_members()
            for changed in list(self.watchers):
                changed()

    def _tell_members(self) -> None:
        """One line for each member whose state is another than it was."""
        for m in self.machines.facts.kept.members.values():
            before, self.seen[m.id] = self.seen.get(m.id), m.state
            if before is not None and before is not m.state:
                self.log(f"{m.id} is {m.state.value}, epoch {m.epoch}")

    def _apply(self) -> None:
        raft, limits = self.raft, self.settings.limits
        if raft.commit > self.applied:
            for e in raft.log.between(self.applied, raft.commit):
                value = self.machines.apply(e)
                self.applied = e.index
                if e.origin == self.me and e.seq in self.asks.open and value is not None:
                    self.asks.end(e.seq, Outcome(Fate.COMMITTED, value))
                self.asks.overtaken(e.index, e.term)
            self.asks.applied(self.applied)
            self.memory.forget(raft.log.conf.all)
        grown = self.applied - raft.log.snapshot.index
        if grown >= limits.compact and (grown >= 4 * limits.compact or not self._sending_snapshot):
            self.snapshot()

    def snapshot(self) -> None:
        """In place of the log up to what is applied."""
        raft, at = self.raft, self.applied
        if at > raft.log.snapshot.index and raft.snapshot is None:
            term = raft.log.term(at) or 0
            raft.compact(Snapshot(at, term, raft.log.conf_at(at), self.machines.snapshot()))

    @property
    def _sending_snapshot(self) -> bool:
        """Then the next one waits a while: a member that takes parts would have to begin anew."""
        lead = self.raft.lead
        return lead is not None and any(p.offset for p in lead.others.values())


def told(outcome: Outcome) -> facts.Told | None:
    """What the facts answered, where it was committed."""
    return facts.read_told(outcome.value) if outcome.fate is Fate.COMMITTED and outcome.value else None


def command(c: facts.Command) -> tuple[str, bytes]:
    return FACTS, facts.encode(c)
