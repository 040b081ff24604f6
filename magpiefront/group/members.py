"""The leader's management of the members: which of them join, leave, are lost or return. No I/O and no clock.

A decision takes effect only once its log entry is committed, so that decisions of a deposed leader have no
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

REPROPOSE_DELAY_US = 500_000  # time limit of a proposal, after which the same change may be proposed again
# A join request that is not repeated for this long is dropped: its sender has a new incarnation or is gone.
JOIN_REQUEST_TTL_US = 3_000_000


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
        # When each change was last proposed, by kind of change, member and epoch.
        self.proposed: dict[tuple[str, str, int], int] = {}
        self.leaving: set[str] = set()  # ids of members whose sessions must end before they are removed

    def update_leadership(self, now_us: int) -> None:
        """Handles a change of this member's role, and answers the session requests whose round is confirmed.

        A new leader starts with empty state, since it does not know what the previous leader granted.
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
        """The grants of a new leader. Sessions granted by earlier leaders count as granted one lease ago,
        since the voters had not heard any of these leaders for that long when they elected this one. For a
        transfer of leadership they don't wait, so after one those sessions count as granted now."""
        raft = self.peer.raft
        credit_us = 0 if raft.is_transfer else self.peer.times.lease_us
        return SessionGrants(
            self.peer.times, now_us - credit_us, now_us, "" if raft.is_transfer else raft.previous_leader
        )  # fmt: skip

    # ---- sessions

    def handle_session_request(
        self, by: str, member: str, seq: int, process_number: int, now_us: int
    ) -> None:
        """Handles a request for a session, which `member` sent to the voter `by`."""
        raft, known = self.peer.raft, self.peer.machines.registry.tables.members.get(name_of(member))
        if self.grants is None or raft.leader_state is None:
            return
        if known is None:
            # The member was added by an entry that was never committed: it has to ask to join again.
            if self.peer.applied >= raft.leader_state.term_start_index:
                message: Message = Pong(seq=seq, may=False, epoch=-1, leader=self.peer.me)
                self.peer.outbox.append((member, message))
            return
        if known.id != member:
            # The name belongs to another incarnation by now. If the sender's is the one that runs, it has to
            # ask to join again.
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
        """Proposes a command, unless the same change was proposed less than `REPROPOSE_DELAY_US` ago. True if
        it was proposed now."""
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
        """Proposes to mark silent members as lost and lost members as alive again, and proposes changes of
        the configuration."""
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
        """Notifies the members whose disks have lost entries that they had confirmed. These members must not
        vote any more under their current incarnation."""
        raft = self.peer.raft
        assert raft.leader_state is not None
        for member in sorted(raft.leader_state.regressed):
            match = raft.leader_state.progress[member].match if member in raft.leader_state.progress else 0
            message: Message = AttestReply(known_term=raft.term, known=match, is_empty=False, other=False)
            self.peer.outbox.append((member, message))
        raft.leader_state.regressed.clear()

    # ---- configuration

    def handle_join(self, sender: str, voter: bool, now_us: int) -> None:
        """Records a request to join, or to become a voter. Ignores it if the operator's file does not name
        the member or an operator has barred it."""
        name = name_of(sender)
        barred = name in self.peer.machines.registry.tables.barred
        if self.grants is not None and name in self.peer.settings.members and not barred:
            self.join_requests[name] = JoinRequest(sender, voter, now_us)

    def _advance_membership(self, now_us: int) -> None:
        """Proposes the next change of the configuration. Removals come first. A new incarnation of a member
        first replaces the old one as an observer, and becomes a voter once it has caught up."""
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
        """Adds all new observers with one change, since observers don't affect majorities and after a restart
        there may be hundreds of them. True if a change was proposed."""
        new = {request.id for name, request in self.join_requests.items() if conf.by_name(name) is None}
        new -= {id for id in new if name_of(id) in self.peer.machines.registry.tables.barred}
        done = bool(new) and self.peer.raft.propose_conf(Conf(conf.voters, conf.observers | new))
        if done:
            self.peer.log(f"added as observers: {', '.join(sorted(new))}")
        return done

    def _is_inactive(self, id: str) -> bool:
        """True if the member may no longer act and so can be removed. Otherwise stops renewing its session,
        so that the session ends and the member is marked as lost."""
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
        """Why that name can't be removed (`out`) or allowed again; empty if it can."""
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
        """Proposes to remove that name (`out`) or to allow it again. Once that is committed, whichever member
        leads carries it out."""
        self._propose(f"bar {out}", registry.SetBarred(name, out), name, 0, now_us)
