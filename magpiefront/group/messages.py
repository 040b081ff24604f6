"""The messages between members, and log entries. Unknown fields of a later version are skipped.

They follow the RPCs of the Raft thesis (Ongaro, 2014): AppendEntries 3.5, RequestVote 3.4, InstallSnapshot
5.2, TimeoutNow 3.10, PreVote 9.6. A member's id is its name and its incarnation: "west-1.0".
"""

from __future__ import annotations

from enum import IntEnum

import msgspec


class EntryKind(IntEnum):
    """What a log entry holds."""

    # Appended by a new leader; committing it commits all entries before it (thesis 6.4; Raft paper, section
    # 8).
    NOOP = 0
    COMMAND = 1
    CONF = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A log entry. `origin` is the member that sent the command and `seq` its number there: a command that is
    delivered twice is applied once."""

    term: int
    index: int
    kind: EntryKind
    data: bytes
    origin: str = ""
    seq: int = 0


class Conf(msgspec.Struct, frozen=True):
    """A configuration: the ids of the voters and of the observers, which receive the log but don't vote."""

    voters: frozenset[str] = frozenset()
    observers: frozenset[str] = frozenset()

    @property
    def all(self) -> frozenset[str]:
        return self.voters | self.observers

    def by_name(self, name: str) -> str | None:
        """The id of the member with that name, if there is one."""
        return next((m for m in sorted(self.all) if name_of(m) == name), None)


class Snapshot(msgspec.Struct, frozen=True):
    """The state of the state machines after the entry at `index`."""

    index: int
    term: int
    conf: Conf
    data: bytes


class Message(msgspec.Struct, tag=True, kw_only=True, frozen=True):
    """A message, encoded with its `tag` (by default the class name). `term` is the sender's term, except in a
    pre-vote (see `VoteRequest` and `VoteReply`)."""

    term: int = 0


class VoteRequest(Message, tag="VoteAsk", frozen=True, kw_only=True):
    """A candidate asks for a vote, or with `pre` whether it would get one. `last` is its last index.

    The term of a pre-vote is the one that the election would have. `is_transfer`: the leader requested the
    election (`TimeoutNow`), so that voters answer even if they hear the leader.
    """

    pre: bool
    last: int
    last_term: int
    is_transfer: bool = msgspec.field(name="handed", default=False)


class VoteReply(Message, frozen=True, kw_only=True):
    """A voter's answer. The term of a granted pre-vote is the requested one, not the voter's."""

    pre: bool
    granted: bool


class Append(Message, frozen=True, kw_only=True):
    """Entries that follow the one at index `prev`; a heartbeat if there are none.

    `round` is the leader's current round: a reply to it confirms that the sender led when the round began.
    """

    prev: int
    prev_term: int
    entries: list[Entry]
    commit: int
    round: int
    acks: list[tuple[str, int, bool, int]] = []  # session answers: member, request, whether it may act, epoch


class AppendReply(Message, frozen=True, kw_only=True):
    """The answer to `Append`. `match` is the last durable index known to match the leader's log.

    If not `ok`, `match` is the index that does not match, and `hint` and `hint_term` are the index and term
    of the entry from which the leader should continue.
    """

    round: int
    ok: bool
    match: int
    hint: int = 0
    hint_term: int = 0
    heard: list[tuple[str, int, int]] = []  # session requests: member, newest one, process number


class SnapshotChunk(Message, tag="Part", frozen=True, kw_only=True):
    """The bytes of a snapshot from `offset` on; the whole has `size` bytes."""

    index: int
    index_term: int
    conf: Conf
    offset: int
    size: int
    data: bytes
    round: int


class SnapshotChunkReply(Message, tag="PartReply", frozen=True, kw_only=True):
    """The answer to a chunk that does not complete the snapshot."""

    index: int
    offset: int  # bytes received without gaps
    round: int


class TimeoutNow(Message, frozen=True, kw_only=True):
    """The leader transfers its leadership: the receiver starts an election at once."""


class Forward(Message, frozen=True, kw_only=True):
    """A command that a member sends to the leader."""

    seq: int
    data: bytes


class Refusal(Message, frozen=True, kw_only=True):
    """The command was not appended to the log and never will be."""

    seq: int
    cause: str


class ReadRequest(Message, tag="ReadAsk", frozen=True, kw_only=True):
    """Asks the leader for the index up to which a member must have applied the log before it reads."""

    seq: int


class ReadReply(Message, frozen=True, kw_only=True):
    """The answer to `ReadRequest`: state applied up to `index` is at least as new as the request (thesis,
    6.4). -1: the sender can't serve the read."""

    seq: int
    index: int


class Ping(Message, frozen=True, kw_only=True):
    """A member's request to renew its session, which it may send to any voter. `process_number`: see
    `MemberContext`."""

    seq: int
    process_number: int = msgspec.field(name="life")


class Pong(Message, frozen=True, kw_only=True):
    """The leader's answer to the session request `seq`: whether the member may act, and its epoch. A negative
    epoch means that this incarnation is not a member any more."""

    seq: int
    may: bool
    epoch: int
    leader: str


class Attest(Message, frozen=True, kw_only=True):
    """A starting member asks what the others know of its progress, since its disk may be outdated.

    `last` is the last index on its disk, `is_empty` says that the disk holds no state, and `birth` is a
    random number drawn at the start of its process.
    """

    last: int
    is_empty: bool = msgspec.field(name="virgin")
    birth: int = 0


class AttestReply(Message, tag="Attested", frozen=True, kw_only=True):
    """The answer to `Attest`: the sender knows that the receiver confirmed entries up to `known` in
    `known_term`.

    `is_empty`: the sender has no state, or the receiver, whose disk is empty, has certainly lost nothing (see
    `Startup.on_attest`). `leads`: the sender certainly leads at this moment.
    """

    known_term: int
    known: int
    is_empty: bool = msgspec.field(name="virgin")
    other: bool  # the receiver's name belongs to another incarnation
    leads: bool = False
    birth: int = 0  # of the sender's process


class Join(Message, frozen=True, kw_only=True):
    """A member asks to join, perhaps under a new incarnation, or to become a voter. The leader does not
    reply, but proposes a configuration."""

    voter: bool  # the member is to become a voter; otherwise an observer


class Hint(Message, frozen=True, kw_only=True):
    """An unreliable message between components that run on the members, outside of the log."""

    topic: str
    data: bytes


AnyMessage = (
    VoteRequest | VoteReply | Append | AppendReply | SnapshotChunk | SnapshotChunkReply | TimeoutNow | Forward
    | Refusal | ReadRequest | ReadReply | Ping | Pong | Attest | AttestReply | Join | Hint
)  # fmt: skip


def name_of(member: str) -> str:
    """The name in a member's id."""
    return member.rpartition(".")[0]


def member_id(name: str, incarnation: str) -> str:
    """The id of a member under this incarnation. An empty incarnation stands for whichever has the name."""
    return f"{name}.{incarnation}"
