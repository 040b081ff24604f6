"""What a member does from the start of its process until it takes part: it begins a new group, has its disk
attested by the other members, asks to join, or continues under a new incarnation. No I/O and no clock."""

from __future__ import annotations

from magpiefront.group.attestation import Attestation, KnownProgress, Verdict, is_ahead, voter_names
from magpiefront.group.durable import StoredState
from magpiefront.group.member_context import MemberContext
from magpiefront.group.messages import (
    Attest, AttestReply, Conf, Join, Message, Snapshot, member_id, name_of,
)  # fmt: skip

JOIN_INTERVAL_US = 500_000  # between requests to join
FIRST_INDEX = 1  # index of a group's first snapshot; above 0, so that members with an empty disk are sent it


class Startup:
    """Decides what the member does until it takes part."""

    def __init__(self, peer: MemberContext, stored: StoredState, now_us: int) -> None:
        self.peer, self.settings = peer, peer.settings
        self.known_progress = KnownProgress(stored.known)
        self.is_empty = stored.is_empty
        self.birth = peer.raft.random.getrandbits(48) + 1  # see `Attest.birth`
        # By member name, the `birth` of each process that answered this one's attestation. If this process
        # began the group, it did so with these.
        self.births: dict[str, int] = {}
        self.needs_new_incarnation = False
        self.attestation: Attestation | None = None
        self.attest_us = now_us  # when the next request is due: `Attest`, or `Join` without an attestation
        # After its previous incarnation was abandoned, a member has to join again and never begins a group.
        was_abandoned = stored.is_empty and stored.incarnation != "0"
        is_first_voter = stored.is_empty and self.settings.member in self.settings.voters
        conf = peer.raft.log.conf
        voters = voter_names(conf, self.settings.voters)
        self.joining = was_abandoned or (stored.is_empty and not is_first_voter)
        if not self.joining and (peer.me in conf.voters or is_first_voter):
            if voters == {self.settings.member}:
                if is_first_voter:
                    self._begin()
                return
            self.attestation = Attestation(peer.me, voters, stored.is_empty, stored.hard_state.term,
                                           peer.raft.log.last_index, now_us)  # fmt: skip
            peer.raft.may_vote = False

    @property
    def is_requesting(self) -> bool:
        """Whether this member asks the others to attest its disk, to let it join, or to make it a voter."""
        is_observer = self.peer.me in self.peer.raft.log.conf.observers
        wants_vote = is_observer and self.settings.member in self.settings.voters
        return self.attestation is not None or self.joining or wants_vote

    def tick(self, now_us: int) -> None:
        """Repeats this member's request, if any: `Attest` every `ping_us`, `Join` every
        `JOIN_INTERVAL_US`."""
        if self.is_requesting and now_us >= self.attest_us:
            self.attest_us = now_us + (
                self.peer.times.ping_us if self.attestation is not None else JOIN_INTERVAL_US
            )
            self._send_requests()
            if self.attestation is not None:
                self._conclude(now_us)

    def _send_requests(self) -> None:
        names = sorted(self.attestation.others if self.attestation is not None else self.settings.members)
        raft = self.peer.raft
        for name in names:
            if name == self.settings.member:
                continue
            message: Message = Join(voter=self.settings.member in self.settings.voters)
            if self.attestation is not None:
                message = Attest(
                    last=raft.log.last_index, is_empty=self.is_empty, term=raft.term, birth=self.birth
                )
            self.peer.outbox.append((member_id(name, ""), message))

    def on_attest(self, sender: str, request: Attest, now_us: int) -> None:
        """Tells a starting member what this member knows of its progress."""
        raft = self.peer.raft
        term, match = self.known_progress.known.get(sender, (0, 0))
        conf = raft.log.conf
        known = conf.by_name(name_of(sender))
        is_new = (
            known == sender
            and not term
            and sender in conf.voters
            and self._missed_only_the_start(sender, request.birth)
        )
        reply = AttestReply(
            known_term=term, known=match, is_empty=self.is_empty or (request.is_empty and is_new),
            other=known is not None and known != sender, birth=self.birth,
            leads=raft.leader_state is not None and raft.leader_state.has_lease(now_us),
        )  # fmt: skip
        self.peer.outbox.append((sender, reply))

    def _missed_only_the_start(self, sender: str, birth: int) -> bool:
        """Whether the sender, whose disk is empty, has missed only the beginning of the group and so may
        start as if it had been there. Either it is the same process that took part in the beginning, or
        nothing has happened in the group since. Any other process with an empty disk may have lost votes or
        entries, and the members that knew of them may have forgotten."""
        raft = self.peer.raft
        return self.births.get(name_of(sender)) == birth or (
            raft.term == 0 and raft.log.last_index == FIRST_INDEX
        )

    def on_attested(self, name: str, reply: AttestReply, now_us: int) -> None:
        """Handles another member's answer to `Attest`."""
        raft = self.peer.raft
        if self.attestation is not None:
            self.attestation.add_answer(name, reply)
            self._conclude(now_us)
        elif is_ahead(reply, raft.term, raft.log.last_index):
            self.abandon_incarnation()  # the leader found that this disk lacks entries that it had confirmed

    def check_process_number(self, process_number: int) -> None:
        """Abandons the incarnation if its `process_number` in the registry is higher than that of this
        process: a process with that number must have run with another disk."""
        if process_number > self.peer.process_number and not self.needs_new_incarnation:
            self.abandon_incarnation()

    def abandon_incarnation(self) -> None:
        """Requests that the member continue under a new incarnation, because this disk is not its latest.
        Until then it does not vote."""
        self.needs_new_incarnation, self.peer.raft.may_vote = True, False
        self.peer.log("this disk is lost or older than what the other members know of it: the member rejoins "
                      "as an observer under a new incarnation")  # fmt: skip

    def _conclude(self, now_us: int) -> None:
        """Acts on the attestation's verdict once there is one."""
        assert self.attestation is not None
        verdict = self.attestation.verdict(now_us)
        if verdict is Verdict.PENDING:
            return
        self.births = {name: a.birth for name, a in self.attestation.answers.items()}
        self.attestation = None
        if verdict is Verdict.OUTDATED:
            self.abandon_incarnation()
            return
        self.peer.raft.may_vote = True
        if verdict is Verdict.NEW_GROUP:
            self._begin()

    def _begin(self) -> None:
        """Begins the group with its first configuration, which is the same at each of the first voters."""
        peer = self.peer
        conf = Conf(frozenset(member_id(v, "0") for v in self.settings.voters))
        peer.machines.registry.apply_conf(conf)
        peer.raft.bootstrap(Snapshot(FIRST_INDEX, 0, conf, peer.machines.snapshot()))
        peer.applied = FIRST_INDEX
        self.is_empty = False
