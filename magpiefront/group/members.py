"""Membership as the leader manages it: which members join, leave, are lost or return. No I/O and no clock.

Each decision takes effect only once its log entry is committed, so that proposals of a deposed leader have no
effect.
"""

from __future__ import annotations

from typing import NamedTuple

from magpiefront.group import registry
from magpiefront.group.registry import MemberState
from magpiefront.group.member_context import MemberContext
from magpiefront.group.state_machines import REGISTRY
from magpiefront.group.messages import AttestReply, Conf, Message, Pong, name_of
from magpiefront.group.sessions import SessionGrants, SessionRequest

REPROPOSE_DELAY_US = 500_000  # before the same change is proposed again
JOIN_REQUEST_TTL_US = 3_000_000  # a member that stops asking has a new incarnation or is gone


class JoinRequest(NamedTuple):
    """A request to join the group, as a voter or as an observer."""

    id: str
    voter: bool
    at_us: int


class Membership:
    """Answers requests for sessions and proposes changes of members while this member leads.

    Times are microseconds.
    """

    def __init__(self, peer: MemberContext) -> None:
        self.peer = peer
        self.grants: SessionGrants | None = None  # None while this member does not lead
        self.term = 0
        self.join_requests: dict[str, JoinRequest] = {}  # by name
        self.proposed: dict[tuple[str, str, int], int] = {}  # time by change, member, epoch
        self.leaving: set[str] = set()  # ids of members whose sessions must end before they are removed

    def update_leadership(self, now_us: int) -> None:
        """Follows changes of this member's role, and answers session requests whose round is confirmed.

        A new leader starts without state, as it knows nothing of what its predecessor granted.
        """
        raft = self.peer.raft
        if raft.leader_state is None:
            self.grants = None
        elif self.grants is None or self.term != raft.term:
            self.grants, self.term = self._new_grants(now_us), raft.term
            self.join_requests.clear()
            self.proposed.clear()
            self.leaving.clear()
        if raft.leader_state is not None and self.grants is not None:
            for request in self.grants.pop_confirmed(raft.leader_state.quorum_round):
                self._answer_session_request(request, now_us)

    def _new_grants(self, now_us: int) -> SessionGrants:
        """The grants of a new leader. Sessions that its predecessor granted count as granted one lease ago,
        as the voters had not heard it for that long. After a transfer of leadership they had not waited, and
        those sessions count as granted now."""
        raft = self.peer.raft
        credit_us = 0 if raft.is_transfer else self.peer.times.lease_us
        return SessionGrants(
            self.peer.times, now_us - credit_us, now_us, "" if raft.is_transfer else raft.previous_leader
        )  # fmt: skip

    # ---- sessions

    def handle_session_request(
        self, by: str, member: str, seq: int, process_number: int, now_us: int
    ) -> None:
        """Handles a request for a session that the voter `by` received."""
        raft, known = self.peer.raft, self.peer.machines.registry.tables.members.get(name_of(member))
        if self.grants is None or raft.leader_state is None:
            return
        if known is None:
            # Added by an entry that was never committed: it has to ask to join again.
            if self.peer.applied >= raft.leader_state.term_start_index:
                message: Message = Pong(seq=seq, may=False, epoch=-1, leader=self.peer.me)
                self.peer.outbox.append((member, message))
            return
        if known.id != member:
            # Replaced by another incarnation: if this is the running one, it has to ask to join again.
            self.peer.outbox.append(
                (member, Pong(seq=seq, may=False, epoch=-known.epoch, leader=self.peer.me))
            )
            return
        if process_number > known.process_number:
            self._propose(
                "begin", registry.RegisterProcess(member, process_number), member, known.epoch, now_us
            )
        self.grants.add_request(
            SessionRequest(raft.leader_state.round + 1, by, member, seq, process_number, now_us)
        )

    def _answer_session_request(self, request: SessionRequest, now_us: int) -> None:
        """Answers a request once a majority has answered a round that started after it arrived."""
        raft, grants = self.peer.raft, self.grants
        assert raft.leader_state is not None and grants is not None
        known = self.peer.machines.registry.member(request.member)
        # No answer before all entries of previous leaders are applied.
        if (
            known is None
            or not raft.leader_state.has_lease(now_us)
            or self.peer.applied < raft.leader_state.term_start_index
        ):
            return
        may = grants.decide(
            request, known.state is MemberState.ALIVE and known.process_number == request.process_number
        )
        epoch = known.epoch if known.state is not MemberState.LEFT else -known.epoch
        if request.by != self.peer.me:
            grants.acks.setdefault(request.by, []).append((request.member, request.seq, may, epoch))
        elif request.member == self.peer.me:
            self.peer.session.on_reply(request.seq, may, epoch)
        else:
            message: Message = Pong(seq=request.seq, may=may, epoch=epoch, leader=self.peer.me)
            self.peer.outbox.append((request.member, message))

    # ---- proposals

    def _propose(self, change: str, command: registry.Command, member: str, epoch: int, now_us: int) -> bool:
        """Proposes a command, unless the same change was proposed a short time ago. True if proposed."""
        key = (change, member, epoch)
        if now_us < self.proposed.get(key, -REPROPOSE_DELAY_US) + REPROPOSE_DELAY_US:
            return False
        self.proposed[key] = now_us
        # The outcome is ignored: the registry shows whether the change took effect.
        self.peer.propose(
            REGISTRY, registry.encode(command), now_us + REPROPOSE_DELAY_US, lambda outcome: None, now_us
        )  # fmt: skip
        return True

    def tick(self, now_us: int) -> None:
        """Proposes that silent members are lost, that lost ones return, and changes of the configuration."""
        raft, grants = self.peer.raft, self.grants
        if raft.leader_state is None or grants is None:
            return
        grants.detect_stall(now_us)
        if raft.leader_state.regressed:
            self._notify_regressed()
        if not raft.leader_state.has_lease(now_us) or self.peer.applied < raft.leader_state.term_start_index:
            return
        for known in list(self.peer.machines.registry.tables.members.values()):
            if known.state is MemberState.ALIVE:
                grants.alive_since_us.setdefault(known.id, now_us if grants.has_checked else grants.began_us)
                if known.id in self.leaving:
                    grants.closing.add(known.id)
                if grants.has_expired(known.id, now_us) and (
                    known.id != self.peer.me or known.id in grants.closing
                ):
                    grants.closing.add(known.id)
                    command = registry.MarkLost(
                        known.id, known.epoch, grants.was_alive_briefly(known.id, now_us)
                    )
                    if self._propose("lose", command, known.id, known.epoch, now_us):
                        self.peer.log(
                            f"{known.id} is silent: proposing to mark it lost at epoch {known.epoch + 1}"
                        )
            elif known.state is MemberState.LOST:
                grants.alive_since_us.pop(known.id, None)
                grants.closing.discard(known.id)
                if known.process_number != known.ended and grants.may_return(known.id, known.losses, now_us):
                    self._propose("welcome", registry.MarkReturned(known.id, known.epoch), known.id,
                                  known.epoch, now_us)  # fmt: skip
        grants.has_checked = True
        if raft.can_change_members:
            self._advance_membership(now_us)

    def _notify_regressed(self) -> None:
        """Tells members whose disks lost confirmed entries: they must not vote under their incarnation."""
        raft = self.peer.raft
        assert raft.leader_state is not None
        for member in sorted(raft.leader_state.regressed):
            match = raft.leader_state.progress[member].match if member in raft.leader_state.progress else 0
            message: Message = AttestReply(known_term=raft.term, known=match, is_empty=False, other=False)
            self.peer.outbox.append((member, message))
        raft.leader_state.regressed.clear()

    # ---- configuration

    def handle_join(self, sender: str, voter: bool, now_us: int) -> None:
        """Records a request to join, or to vote, from a member that the operator's file names."""
        name = name_of(sender)
        barred = name in self.peer.machines.registry.tables.barred
        if self.grants is not None and name in self.peer.settings.members and not barred:
            self.join_requests[name] = JoinRequest(sender, voter, now_us)

    def _advance_membership(self, now_us: int) -> None:
        """Proposes the next change. Removals come first; then a new incarnation replaces the old one as an
        observer, and becomes a voter once it has caught up."""
        raft, conf = self.peer.raft, self.peer.raft.log.conf
        barred = self.peer.machines.registry.tables.barred
        self.leaving = {id for id in conf.all if name_of(id) in barred and conf.voters != {id}}
        for id in sorted(self.leaving):
            if self._is_inactive(id) and raft.propose_conf(Conf(conf.voters - {id}, conf.observers - {id})):
                self.peer.log(f"{id} is removed")
                return
        if self._add_observers(conf):
            return
        for name, request in sorted(self.join_requests.items()):
            id = request.id
            stale = name in barred or now_us > request.at_us + JOIN_REQUEST_TTL_US
            if stale or id in conf.voters or (id in conf.observers and not request.voter):
                del self.join_requests[name]
            elif self._admit(id, conf):
                return

    def _add_observers(self, conf: Conf) -> bool:
        """Adds all new observers with one change, which does not affect majorities. After a restart there may
        be hundreds."""
        new = {request.id for name, request in self.join_requests.items() if conf.by_name(name) is None}
        new -= {id for id in new if name_of(id) in self.peer.machines.registry.tables.barred}
        done = bool(new) and self.peer.raft.propose_conf(Conf(conf.voters, conf.observers | new))
        if done:
            self.peer.log(f"added as observers: {', '.join(sorted(new))}")
        return done

    def _is_inactive(self, id: str) -> bool:
        """True if the member may no longer act, so that it can be removed. Otherwise stops renewing its
        session, so that the session ends and the member is marked as lost."""
        if self.peer.machines.registry.is_alive(id):
            self.leaving.add(id)
            return False
        return True

    def _admit(self, id: str, conf: Conf) -> bool:
        """Makes an observer a voter once it has caught up, or adds an observer in place of the member's
        previous incarnation. True if a change was proposed."""
        raft = self.peer.raft
        assert raft.leader_state is not None
        if id in conf.observers:
            ready = raft.leader_state.is_caught_up(id, raft.commit)
            done = ready and raft.propose_conf(Conf(conf.voters | {id}, conf.observers - {id}))
            if done:
                self.peer.log(f"{id} is now a voter")
            return done
        replaced = conf.by_name(name_of(id))
        if replaced is not None and not self._is_inactive(replaced):
            return False
        done = raft.propose_conf(
            Conf(conf.voters - {replaced or ""}, (conf.observers - {replaced or ""}) | {id})
        )  # fmt: skip
        if done:
            self.peer.log(f"{id} is added as an observer{f', replacing {replaced}' if replaced else ''}")
        return done

    def change_obstacle(self, name: str, out: bool) -> str:
        """Why that name can't be removed (`out`) or allowed; empty if it can."""
        raft, conf = self.peer.raft, self.peer.raft.log.conf
        id = conf.by_name(name)
        if raft.leader_state is None:
            return f"{raft.leader or 'nobody'} leads"
        if out and id is None:
            return f"{name} is no member"
        if out and conf.voters == {id}:
            return f"{name} is the last voter"
        if not out and name not in self.peer.settings.members:
            return f"{name} is not in [group.members] of the leader's file"
        return ""

    def propose_bar(self, name: str, out: bool, now_us: int) -> None:
        """Proposes to remove that name (`out`) or to allow it. Once committed, any leader carries it out."""
        self._propose(f"bar {out}", registry.SetBarred(name, out), name, 0, now_us)
