"""Disables the safeguards of the group one at a time. The simulations must then detect a violated rule; one
that passes without a safeguard would prove nothing about it."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any

from magpiefront.group import attestation, durable, leader, state_machines, raft, requests, sessions
from magpiefront.group import members as membership
from magpiefront.group.registry import Registry, MemberState
from magpiefront.group.log import Log, encode_conf
from magpiefront.group.messages import Message
from magpiefront.group.peer import Peer
from magpiefront.group.settings import Times
from magpiefront.group.startup import FIRST_INDEX, Startup
from magpiefront.model import explore
from magpiefront.model import group as group_model

Patch = tuple[Any, str, Any]  # a class or module, the name of one of its attributes, the replacement


def _send_before_write() -> list[Patch]:
    def send(self: raft.Raft, to: str, m: Message, durable: bool = False) -> None:
        self.outbox.append((to, m))

    return [(raft.Raft, "_send", send)]


def _forget_vote() -> list[Patch]:
    original_apply = group_model.Disk.apply

    def apply(self: group_model.Disk, write: durable.Write) -> None:
        write.hard_state = durable.HardState(write.hard_state.term)
        original_apply(self, write)

    original_apply_output = explore.Explorer.apply_output

    def apply_output(self: explore.Explorer, state: explore.State, name: str) -> None:
        original_apply_output(self, state, name)
        hard_state, snapshot, entries = state.nodes[name].disk
        state.nodes[name].disk = (durable.HardState(hard_state.term), snapshot, entries)

    return [(group_model.Disk, "apply", apply), (explore.Explorer, "apply_output", apply_output)]


def _skip_pre_vote() -> list[Patch]:
    original_campaign = raft.Raft._campaign

    def campaign(self: raft.Raft, now_us: int, pre: bool, is_transfer: bool = False) -> None:
        original_campaign(self, now_us, False, is_transfer)

    return [(raft.Raft, "_campaign", campaign)]


def _keep_epoch_on_restart() -> list[Patch]:
    """A new process of a member continues under the epoch of the previous process."""
    original_execute = Registry._execute

    def execute(self: Registry, command: Any) -> Any:
        from magpiefront.group.registry import RegisterProcess, CommandResult

        if isinstance(command, RegisterProcess):
            member = self.member(command.id)
            if member is not None:
                member.process_number = max(member.process_number, command.process_number)
            return CommandResult(member is not None)
        return original_execute(self, command)

    def may_act(self: Peer, now_us: int) -> int:
        mine = self.machines.registry.member(self.me)
        return mine.epoch if mine is not None and self.session.is_valid(now_us) else 0

    return [(Registry, "_execute", execute), (Peer, "may_act", may_act)]


def _allow_any_change() -> list[Patch]:
    from magpiefront.group.messages import Conf, EntryKind

    def propose_conf(self: raft.Raft, conf: Conf) -> bool:
        if self.leader_state is None:
            return False
        self._append_entry(EntryKind.CONF, encode_conf(conf))
        self.leader_state.update_members()
        return True

    can_change_members = property(lambda self: self.leader_state is not None)
    return [(raft.Raft, "propose_conf", propose_conf), (raft.Raft, "can_change_members", can_change_members)]


def _skip_attestation() -> list[Patch]:
    def verdict(self: attestation.Attestation, now_us: int) -> attestation.Verdict:
        return attestation.Verdict.NEW_GROUP if self.is_empty else attestation.Verdict.CURRENT

    return [
        (attestation.Attestation, "verdict", verdict),
        (Startup, "on_attested", lambda self, name, m, now: self.attestation and self._conclude(now)),
        (Startup, "abandon_incarnation", lambda self: None),
    ]  # fmt: skip


def _skip_session_check() -> list[Patch]:
    def may_act(self: Peer, now_us: int) -> int:
        mine = self.machines.registry.member(self.me)
        return mine.epoch if mine is not None and mine.state is MemberState.ALIVE else 0

    return [(Peer, "may_act", may_act)]


def _remove_at_once() -> list[Patch]:
    return [(membership.Membership, "_is_inactive", lambda self, id: True)]


def _forget_known_progress(self: attestation.KnownProgress, known: object) -> None:
    self.known = {}


def _grant_without_round() -> list[Patch]:
    original_add_request = sessions.SessionGrants.add_request

    def add_request(self: sessions.SessionGrants, request: sessions.SessionRequest) -> None:
        original_add_request(self, request._replace(round=0))

    return [(sessions.SessionGrants, "add_request", add_request)]


def _ignore_transfer() -> list[Patch]:
    """After a transfer of leadership, the new leader assumes that earlier sessions were granted one lease
    ago, as after any other election."""
    return [(raft.Raft, "is_transfer", property(lambda self: False, lambda self, value: None))]


SAFEGUARDS: dict[str, Callable[[], list[Patch]]] = {
    "votes and confirmations are sent only once durable": _send_before_write,
    "the vote itself is durable": _forget_vote,
    "pre-vote": _skip_pre_vote,
    "only current-term entries commit by counting": lambda: [
        (leader.LeaderState, "is_own_term", lambda self, index: True)
    ],
    "one change of voters at a time": _allow_any_change,
    "a quorum is more than half of the voters": lambda: [
        (leader.LeaderState, "_majority_value", _value_of_half)
    ],
    "votes go only to candidates with an up-to-date log": lambda: [
        (Log, "is_up_to_date", lambda self, term, last: True)
    ],
    "voters refuse other candidates while they hear a leader": lambda: [
        (raft.Raft, "hears_leader", lambda self, now_us: False)
    ],
    "the loss timeout allows for clock drift": lambda: [
        (Times, "loss_timeout_us", property(lambda t: int(t.session_us * 0.93))),
    ],
    "a leader without a quorum has no lease and steps down": lambda: [
        (leader.LeaderState, "has_lease", lambda self, now_us: True),
        (leader.LeaderState, "has_lost_quorum", lambda self, now_us: False),
    ],
    "a new leader waits until earlier sessions have expired": lambda: [
        (membership.Membership, "_new_grants", _grants_without_wait)
    ],
    "a member with an outdated disk abandons its incarnation": _skip_attestation,
    "an empty disk counts as new only at the start of a group": lambda: [
        (
            Startup,
            "_missed_only_the_start",
            lambda self, sender, birth: self.peer.raft.log.base_index == FIRST_INDEX,
        ),
        # The known progress of the others would also reveal that the disk has been lost.
        (attestation.KnownProgress, "__init__", _forget_known_progress),
    ],
    "the known progress of other members survives a restart": lambda: [
        (attestation.KnownProgress, "__init__", _forget_known_progress)
    ],
    "a session is granted only after a confirmed round": _grant_without_round,
    "after a transfer of leadership earlier sessions count as just granted": _ignore_transfer,
    "a member acts only during a valid session": _skip_session_check,
    "a new process does not inherit the epoch of the previous one": _keep_epoch_on_restart,
    "a released lease no longer counts as held": lambda: [
        (Peer, "released_leases", property(lambda s: {}, lambda s, v: None)),
    ],
    "a member is removed only after it may no longer act": _remove_at_once,
    "duplicated commands are applied once": lambda: [
        (state_machines.AppliedCommands, "mark_applied", lambda self, seq: True),
        (requests, "MAX_ACCEPTED_COMMANDS", 0),
    ],
    "reads are confirmed by a majority": lambda: [(requests.Requests, "_read_as_leader", _read_at_once)],
}


def _value_of_half(self: leader.LeaderState, values: Iterable[int]) -> int:
    """Returns the highest value that half of the voters, rounded down, have reached: one less than a
    majority."""
    ordered = sorted(values, reverse=True)
    return ordered[max(0, len(ordered) // 2 - 1)]


def _grants_without_wait(self: membership.Membership, now_us: int) -> sessions.SessionGrants:
    times, previous_leader = self.peer.times, self.peer.raft.previous_leader
    return sessions.SessionGrants(times, now_us - times.loss_timeout_us, now_us, previous_leader)


def _read_at_once(self: requests.Requests, reader: tuple[str, int], now_us: int) -> bool:
    self._answer_read(reader, self.raft.commit)
    return True


@contextmanager
def without(name: str) -> Iterator[None]:
    """Disables the safeguard of this name. Raises KeyError if there is none."""
    patches = SAFEGUARDS[name]()
    originals = [(owner, attribute, owner.__dict__.get(attribute)) for owner, attribute, _ in patches]
    for owner, attribute, value in patches:
        setattr(owner, attribute, value)
    try:
        yield
    finally:
        for owner, attribute, value in originals:
            if value is None:
                delattr(owner, attribute)
            else:
                setattr(owner, attribute, value)
