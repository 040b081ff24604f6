"""What members tell each other, and what stands in the log. Unknown fields of a later version are skipped.

Names are those of the Raft thesis (Ongaro, 2014): AppendEntries 3.5, RequestVote 3.4, InstallSnapshot 5.2,
TimeoutNow 3.10, PreVote 9.6. A member's id is its name and its incarnation: "west-1.0".
"""

from __future__ import annotations

from enum import IntEnum

import msgspec


class Kind(IntEnum):
    NOTHING = 0  # of a new leader (6.4, 8 of the paper): what came before is committed with it
    COMMAND = 1
    CONF = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    term: int
    index: int
    kind: Kind
    data: bytes
    origin: str = ""  # the member that asked, and its number for it: a doubled message is applied once
    seq: int = 0


class Conf(msgspec.Struct, frozen=True):
    """Who votes, and who only learns."""

    voters: frozenset[str] = frozenset()
    observers: frozenset[str] = frozenset()

    @property
    def all(self) -> frozenset[str]:
        return self.voters | self.observers

    def by_name(self, name: str) -> str | None:
        return next((m for m in sorted(self.all) if name_of(m) == name), None)


class Snapshot(msgspec.Struct, frozen=True):
    """All that was applied up to `index`."""

    index: int
    term: int
    conf: Conf
    data: bytes


class Message(msgspec.Struct, tag=True, kw_only=True, frozen=True):
    term: int = 0


class VoteAsk(Message, frozen=True, kw_only=True):
    pre: bool
    last: int
    last_term: int
    handed: bool = False  # by the leader itself (TimeoutNow): asked in spite of one that is well


class VoteReply(Message, frozen=True, kw_only=True):
    pre: bool
    granted: bool


class Append(Message, frozen=True, kw_only=True):
    """With no entries, a heartbeat. `round` numbers the leader's rounds: an answer confirms that it led."""

    prev: int
    prev_term: int
    entries: list[Entry]
    commit: int
    round: int
    acks: list[tuple[str, int, bool, int]] = []  # sessions: who, its number, whether it may act, its epoch


class AppendReply(Message, frozen=True, kw_only=True):
    """`match`: the last entry known to be the leader's, durable. When refused, `hint` is where to go on."""

    round: int
    ok: bool
    match: int
    hint: int = 0
    hint_term: int = 0
    heard: list[tuple[str, int, int]] = []  # sessions: whose asks came here, the newest number, its life


class Part(Message, frozen=True, kw_only=True):
    """A part of a snapshot, from `offset` of `size` bytes."""

    index: int
    index_term: int
    conf: Conf
    offset: int
    size: int
    data: bytes
    round: int


class PartReply(Message, frozen=True, kw_only=True):
    index: int
    offset: int  # how far it has come, whole without a gap
    round: int


class TimeoutNow(Message, frozen=True, kw_only=True):
    pass


class Forward(Message, frozen=True, kw_only=True):
    """A command for the leader."""

    seq: int
    data: bytes


class Refusal(Message, frozen=True, kw_only=True):
    """That command was not taken up, and never will be."""

    seq: int
    cause: str


class ReadAsk(Message, frozen=True, kw_only=True):
    seq: int


class ReadReply(Message, frozen=True, kw_only=True):
    """What was applied up to `index` is at least as new as the ask (6.4). -1: not to be had there."""

    seq: int
    index: int


class Ping(Message, frozen=True, kw_only=True):
    """A member asks for its session, of any voter; `leader` is who it takes for the leader."""

    seq: int
    life: int


class Pong(Message, frozen=True, kw_only=True):
    """The leader has said so of the ask with this number. An epoch below 0: no member any more."""

    seq: int
    may: bool
    epoch: int
    leader: str


class Attest(Message, frozen=True, kw_only=True):
    """A member that starts asks how far the others knew it to be: its disk may be an older one. `birth` is
    its process's, drawn at its start."""

    last: int
    virgin: bool
    birth: int = 0


class Attested(Message, frozen=True, kw_only=True):
    """`known_term`, `known`: it had confirmed entries up to there under that term. `virgin`: nor has this
    member anything. `leads`: it certainly does at this moment."""

    known_term: int
    known: int
    virgin: bool
    other: bool  # its name is here, under another incarnation
    leads: bool = False
    birth: int = 0  # of who answers


class Join(Message, frozen=True, kw_only=True):
    """Someone of that name asks to learn (anew, under a new incarnation); the leader answers by the log."""

    voter: bool


class Hint(Message, frozen=True, kw_only=True):
    """Between what others run on the members: may get lost, and nothing is agreed on."""

    topic: str
    data: bytes


AnyMessage = (
    VoteAsk | VoteReply | Append | AppendReply | Part | PartReply | TimeoutNow | Forward | Refusal | ReadAsk
    | ReadReply | Ping | Pong | Attest | Attested | Join | Hint
)  # fmt: skip


def name_of(member: str) -> str:
    return member.rpartition(".")[0]


def member_id(name: str, incarnation: str) -> str:
    return f"{name}.{incarnation}"
