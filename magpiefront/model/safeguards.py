"""The safeguards of the group, each to be taken out alone: a proof that does not notice proves nothing."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any

from magpiefront.group import attest, durable, lead, machines, raft, requests, sessions
from magpiefront.group import members as members_
from magpiefront.group.facts import Facts, State
from magpiefront.group.log import Log, conf_bytes
from magpiefront.group.messages import Message
from magpiefront.group.peer import Peer
from magpiefront.group.settings import Times
from magpiefront.group.starting import FIRST, Starting
from magpiefront.model import explore
from magpiefront.model import group as world

Patch = tuple[Any, str, Any]


def _votes_at_once() -> list[Patch]:
    def send(self: raft.Raft, to: str, m: Message, durable: bool = False) -> None:
        self.out.append((to, m))

    return [(raft.Raft, "_send", send)]


def _forgets_its_vote() -> list[Patch]:
    apply = world.Disk.apply

    def forgetful(self: world.Disk, w: durable.Write) -> None:
        w.hard = durable.Hard(w.hard.term)
        apply(self, w)

    settle = explore.Explorer.settle

    def forgets(self: explore.Explorer, s: explore.State, name: str) -> None:
        settle(self, s, name)
        hard, snapshot, entries = s.nodes[name].disk
        s.nodes[name].disk = (durable.Hard(hard.term), snapshot, entries)

    return [(world.Disk, "apply", forgetful), (explore.Explorer, "settle", forgets)]


def _no_pre_vote() -> list[Patch]:
    stand = raft.Raft._stand

    def at_once(self: raft.Raft, now_us: int, pre: bool, handed: bool = False) -> None:
        stand(self, now_us, False, handed)

    return [(raft.Raft, "_stand", at_once)]


def _one_life() -> list[Patch]:
    begin = Facts._do

    def kept(self: Facts, c: Any) -> Any:
        from magpiefront.group.facts import Begin, Told

        if isinstance(c, Begin):
            m = self.member(c.id)
            if m is not None:
                m.life = max(m.life, c.life)
            return Told(m is not None)
        return begin(self, c)

    def act(self: Peer, now_us: int) -> int:
        mine = self.machines.facts.member(self.me)
        return mine.epoch if mine is not None and self.session.holds(now_us) else 0

    return [(Facts, "_do", kept), (Peer, "may_act", act)]


def _any_change() -> list[Patch]:
    from magpiefront.group.messages import Conf, Kind

    def change(self: raft.Raft, conf: Conf) -> bool:
        if self.lead is None:
            return False
        self._add(Kind.CONF, conf_bytes(conf))
        self.lead.meet()
        return True

    settled = property(lambda self: self.lead is not None)
    return [(raft.Raft, "change", change), (raft.Raft, "settled", settled)]


def _no_attestation() -> list[Patch]:
    def verdict(self: attest.Attestation, now_us: int) -> attest.Verdict:
        return attest.Verdict.FIRST if self.virgin else attest.Verdict.GOOD

    return [
        (attest.Attestation, "verdict", verdict),
        (Starting, "told", lambda self, name, m, now: self.attestation and self._judge(now)),
        (Starting, "give_up", lambda self: None),
    ]  # fmt: skip


def _epoch_unchecked() -> list[Patch]:
    def act(self: Peer, now_us: int) -> int:
        mine = self.machines.facts.member(self.me)
        return mine.epoch if mine is not None and mine.state is State.WELL else 0

    return [(Peer, "may_act", act)]


def _leaves_at_once() -> list[Patch]:
    return [(members_.Members, "_gone", lambda self, id: True)]


def _forgets_others(self: attest.Memory, known: object) -> None:
    self.known = {}


def _says_at_once() -> list[Patch]:
    heard = sessions.Grants.heard

    def at_once(self: sessions.Grants, ask: sessions.Waiting) -> None:
        heard(self, ask._replace(round=0))

    return [(sessions.Grants, "heard", at_once)]


def _never_handed() -> list[Patch]:
    return [(raft.Raft, "handed", property(lambda self: False, lambda self, value: None))]


SAFEGUARDS: dict[str, Callable[[], list[Patch]]] = {
    "votes and confirmations only once durable": _votes_at_once,
    "the vote itself is durable": _forgets_its_vote,
    "pre-vote": _no_pre_vote,
    "commit in the own term only": lambda: [(lead.Lead, "own", lambda self, index: True)],
    "one change of voters at a time": _any_change,
    "a majority, not half": lambda: [(lead.Lead, "_majority", _half)],
    "the log of a candidate is as new": lambda: [(Log, "newer", lambda self, term, last: True)],
    "voters hold to a leader they hear": lambda: [(raft.Raft, "sworn", lambda self, now_us: False)],
    "the margin for drift": lambda: [(Times, "free_us", property(lambda t: int(t.session_us * 0.93)))],
    "no lease without a majority, nor a lead": lambda: [
        (lead.Lead, "lease", lambda self, now_us: True),
        (lead.Lead, "alone", lambda self, now_us: False),
    ],
    "a new leader waits": lambda: [(members_.Members, "_begin", _does_not_wait)],
    "an older disk gives its incarnation up": _no_attestation,
    "an empty disk begins with those it began with": lambda: [
        (Starting, "_missed_it", lambda self, sender, birth: self.peer.raft.log.first == FIRST),
        (attest.Memory, "__init__", _forgets_others),  # which would find it, too
    ],
    "what is known of others lasts": lambda: [(attest.Memory, "__init__", _forgets_others)],
    "a yes waits for a round": _says_at_once,
    "a lead that was handed over takes no credit": _never_handed,
    "a session is looked at before the act": _epoch_unchecked,
    "a new process holds nothing of the old one": _one_life,
    "what is given back is not held": lambda: [(Peer, "given_up", property(lambda s: {}, lambda s, v: None))],
    "nobody leaves while it may act": _leaves_at_once,
    "doubled commands are applied once": lambda: [
        (machines.Done, "first", lambda self, seq: True),
        (requests, "MOST_ACCEPTED", 0),
    ],
    "reads ask a majority": lambda: [(requests.Requests, "_read_here", _reads_at_once)],
}


def _half(self: lead.Lead, values: Iterable[int]) -> int:
    ordered = sorted(values, reverse=True)
    return ordered[max(0, len(ordered) // 2 - 1)]


def _does_not_wait(self: members_.Members, now_us: int) -> sessions.Grants:
    times, before = self.peer.times, self.peer.raft.before
    return sessions.Grants(times, now_us - times.free_us, now_us, before)


def _reads_at_once(self: requests.Requests, whose: tuple[str, int], now_us: int) -> bool:
    self._read_due(whose, self.raft.commit)
    return True


@contextmanager
def without(name: str) -> Iterator[None]:
    """Raises KeyError for one that is not listed."""
    patches = SAFEGUARDS[name]()
    before = [(owner, key, owner.__dict__.get(key)) for owner, key, _ in patches]
    for owner, key, value in patches:
        setattr(owner, key, value)
    try:
        yield
    finally:
        for owner, key, value in before:
            if value is None:
                delattr(owner, key)
            else:
                setattr(owner, key, value)
