"""The durable state of a member and the order of its writes: term, vote, entries and snapshots become durable
before the messages that depend on them are sent. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from magpiefront.group.log import Log
from magpiefront.group.messages import Conf, Entry, Message, Snapshot
from magpiefront.group.settings import Limits


@dataclass(frozen=True, slots=True)
class HardState:
    """The current term and the member voted for in it (empty if none): the durable state besides the log. It
    prevents a second vote in the same term."""

    term: int = 0
    vote: str = ""


class StoredState(msgspec.Struct):
    """The content of a member's disk when it starts."""

    incarnation: str  # "0" at first; a random name once an incarnation has been abandoned
    # The number of starts of this incarnation, including this one; see `MemberContext.process_number`.
    process_number: int
    hard_state: HardState = HardState()
    snapshot: Snapshot = Snapshot(0, 0, Conf(), b"")
    entries: list[Entry] = []
    known: dict[str, tuple[int, int]] = {}  # `KnownProgress` of other voters: term and index, by id

    @property
    def is_empty(self) -> bool:
        return self.hard_state.term == 0 and not self.snapshot.conf.voters and not self.entries


@dataclass(slots=True)
class Write:
    """A write that must become durable atomically.

    `entries` replace all stored entries from the first one's index on. A snapshot replaces the stored one and
    the entries up to `discard_upto`, or the whole log if `replaces_log`. The `messages` are sent once the
    write is durable.
    """

    hard_state: HardState
    entries: list[Entry] = field(default_factory=list)
    snapshot: Snapshot | None = None
    replaces_log: bool = False
    discard_upto: int = 0
    messages: list[tuple[str, Message]] = field(default_factory=list)
    is_empty: bool = False  # nothing to store: the messages can be sent without a write
    known: dict[str, tuple[int, int]] = field(default_factory=dict)  # as in `StoredState`


class DurableState:
    """Collects the changes to be written, and holds back messages until the changes they depend on are
    durable."""

    def __init__(self, hard_state: HardState, log: Log, limits: Limits) -> None:
        self.hard_state = self.durable_hard_state = hard_state
        self.log, self.limits = log, limits
        self.commit = log.snapshot.index
        self.outbox: list[tuple[str, Message]] = []
        self.deferred: list[tuple[str, Message]] = []
        self.written_index = log.last_index  # `take_write` has returned the entries up to here
        self.current_write: Write | None = None
        # The snapshot to be written, and whether it replaces the whole log.
        self.pending_snapshot: tuple[Snapshot, bool] | None = None

    @property
    def term(self) -> int:
        return self.hard_state.term

    def _send(self, to: str, m: Message, durable: bool = False) -> None:
        """Sends a message, with `durable` only once the current state is durable. While the term or the vote
        is not durable, every message waits."""
        must_wait = durable or self.hard_state != self.durable_hard_state
        (self.deferred if must_wait else self.outbox).append((to, m))

    def messages(self) -> list[tuple[str, Message]]:
        """Removes and returns the messages to be sent, each with the id of its receiver."""
        outbox, self.outbox = self.outbox, []
        return outbox

    def take_write(self) -> Write | None:
        """Returns the next write, which the caller has to make durable. None while the previous write is not
        finished, or if there is neither anything to write nor a message to release."""
        if self.current_write is not None:
            return None
        entries = (
            self.log.entries_between(self.written_index, self.log.last_index)
            if self.log.last_index > self.written_index
            else []
        )
        if not (
            entries or self.deferred or self.pending_snapshot or self.hard_state != self.durable_hard_state
        ):
            return None
        write = Write(self.hard_state, entries)
        if self.pending_snapshot is not None:
            (write.snapshot, write.replaces_log), self.pending_snapshot = self.pending_snapshot, None
            write.discard_upto = self.log.base_index
        write.messages, self.deferred = self.deferred, []
        write.is_empty = not entries and write.snapshot is None and self.hard_state == self.durable_hard_state
        self.written_index = self.log.last_index
        self.current_write = write
        return write

    def _raise_commit(self, index: int) -> None:
        self.commit = max(self.commit, min(index, self.log.last_index))

    def _finish_write(self) -> Write:
        """Marks the current write as durable and releases its messages."""
        write, self.current_write = self.current_write, None
        assert write is not None
        self.durable_hard_state = write.hard_state
        self.outbox += write.messages
        if write.entries and self.log.term(write.entries[-1].index) == write.entries[-1].term:
            self.log.durable_index = max(self.log.durable_index, write.entries[-1].index)
        return write

    def bootstrap(self, first: Snapshot) -> None:
        """Replaces the empty log by the group's first snapshot."""
        self.log.restore(first)
        self.pending_snapshot, self.commit, self.written_index = (first, True), first.index, first.index

    def compact(self, snapshot: Snapshot) -> None:
        """Compacts the log up to the snapshot. Does nothing unless all entries that the snapshot covers are
        durable: an entry removed from memory must not be missing on the disk."""
        if self.log.snapshot.index < snapshot.index <= self.log.durable_index:
            self.log.compact(snapshot, self.limits.keep)
            self.pending_snapshot = (snapshot, False)
