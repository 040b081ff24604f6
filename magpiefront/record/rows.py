"""The stored form of a report, and the protocol that the stores of record implement."""

from __future__ import annotations

import enum
import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from secrets import token_hex
from typing import NamedTuple, Protocol

from magpiefront.repeat_limits import RepeatLimits, ServerGroup, Unplaced


class State(enum.Enum):
    """The state of a stored report. A report that was refused before it ran is removed from the store."""

    STORED = "stored"  # known not to have been sent; still to be delivered
    SENT = "sent"  # may have run since `Row.sent`
    CONFIRMED = "confirmed"  # has run, and its answer is stored
    UNKNOWN = "unknown"  # may have run; this can no longer be determined
    NOT_RUN = "not-run"  # was unknown; an operator stated that it did not run


class Id(NamedTuple):
    """Identifies a report by its idempotency key, whose scope is a tenant and a class
    (draft-ietf-httpapi-idempotency-key-header, 2.2).

    `kind` is the name of the class.
    """

    tenant: str
    kind: str
    key: bytes


UNKNOWN_BOOT = "?"  # the boot id in a `Moment` whose age is not known yet
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
FALLBACK_BOOT_ID = token_hex(16)


def boot_id() -> str:
    """Returns the id of the machine's current boot. If it can't be read, returns a random id that no other
    process shares."""
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return FALLBACK_BOOT_ID


class Moment(NamedTuple):
    """A time that other processes can compare with theirs.

    `wall_s` is Unix time, for display only. `up_s` counts seconds since the boot `boot` of the machine and
    is not affected by steps of the wall clock; times of different boots can't be compared.
    """

    wall_s: float
    boot: str
    up_s: float


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request to a node with the report, and when it was sent; or the site that the report was to be
    sent to (`site_attempt`), or the group of nodes where it may have run (`group_attempt`)."""

    node: str
    at_s: float  # Unix seconds


SITE_PREFIX = "site "  # begins the `node` of an `Attempt` that names a site; no node's name has a space


def site_attempt(site: str, at_s: float) -> tuple[Attempt, ...]:
    """Returns the attempts of a row whose report is sent to this site and to no other; none if there is only
    one site."""
    return (Attempt(SITE_PREFIX + site, at_s),) if site else ()


def site_of_attempts(attempts: tuple[Attempt, ...]) -> str:
    """Returns the site where a report with these attempts may have run; empty if none is named."""
    named = [a.node for a in attempts if a.node.startswith(SITE_PREFIX)]
    return named[-1].removeprefix(SITE_PREFIX) if named else ""


GROUP_PREFIX = "group "  # the same for an `Attempt` that names a group of nodes: its cell and its zone


def group_attempt(group: ServerGroup, at_s: float) -> Attempt:
    """Returns the entry of a row whose report may have run at a node of this group."""
    return Attempt(f"{GROUP_PREFIX}{group.cell} {group.zone}", at_s)


def group_of_attempts(attempts: tuple[Attempt, ...]) -> ServerGroup | None:
    """Returns the group of nodes where a report with these attempts may have run first; None if none is
    named."""
    for attempt in attempts:
        cell, _, zone = attempt.node.removeprefix(GROUP_PREFIX).partition(" ")
        if attempt.node.startswith(GROUP_PREFIX) and cell.lstrip("-").isdecimal():
            return ServerGroup(zone, int(cell))
    return None


def without_places(attempts: tuple[Attempt, ...]) -> tuple[Attempt, ...]:
    """Returns the attempts that name nodes, without sites and groups."""
    return tuple(a for a in attempts if not a.node.startswith((SITE_PREFIX, GROUP_PREFIX)))


def attempts_text(attempts: tuple[Attempt, ...]) -> str:
    """Encodes attempts for a store, as JSON."""
    return json.dumps([[a.node, a.at_s] for a in attempts]) if attempts else "[]"


def read_attempts(text: str) -> tuple[Attempt, ...]:
    """Decodes the text of `attempts_text`. Raises ValueError or TypeError."""
    return tuple(Attempt(node, at) for node, at in json.loads(text))


@dataclass(frozen=True, slots=True)
class Answer:
    """The response that clients get for a report."""

    status: int
    more: bytes  # the field lines, encoded
    body: bytes


@dataclass(frozen=True, slots=True)
class Row:
    """A report as the store holds it. The names of the fields are also those of the encoded form."""

    id: Id
    digest: bytes  # of method, target, content type and body; a different one under the same key is an error
    method: bytes
    target: bytes
    more: bytes  # the field lines that are forwarded with it
    body: bytes
    state: State
    received_s: float
    sent: Moment | None  # when the report was first sent, or first marked as sent
    owner: str  # names the process and attempt that send it; a change that expects another one is rejected
    window_s: float  # how long after `sent` the nodes drop repeats of it
    until_s: float  # how long after `sent` its owner may work on it at most; 0: the owner has released it
    answer: Answer | None = None
    attempts: tuple[Attempt, ...] = ()
    note: str = ""
    # Whether the client was asked to retry, after an attempt that may have run. If so, only a retry by the
    # client sends the report again.
    told: bool = False


def repeat_limits(row: Row, resumed: bool, clock_offset_us: int) -> RepeatLimits:
    """Returns what binds the sending of a stored report. `resumed`: it may have been sent before.
    `clock_offset_us` is the difference between the host's clock and the time since boot."""
    if row.sent is None:
        return RepeatLimits(1, 0, Unplaced.UNKNOWN)  # there is no time that a window could be counted from
    place = (group_of_attempts(row.attempts) or Unplaced.UNKNOWN) if resumed else Unplaced.NOWHERE
    return RepeatLimits(int(row.sent.up_s * 1e6) + clock_offset_us, int(row.window_s * 1e6), place)


class Outcome(enum.Enum):
    """The outcome of a call of a store."""

    DONE = "done"
    CONFLICT = "there"  # an insert found a row with the same id, or a change another state or owner
    NOT_DONE = "never"  # failed, and the store is unchanged
    UNCERTAIN = "ask"  # failed, but may have been done: the row has to be read


@dataclass(frozen=True, slots=True)
class Result:
    """The result of a call of a store."""

    outcome: Outcome
    row: Row | None = None  # the row that the store holds, if known
    cause: str = ""  # of a failure, in one line


ResultCallback = Callable[[Result], None]


class Store(Protocol):
    """A store of reports.

    Each call returns at once; its callback is called once, in the event loop. A call that can't be begun
    before `deadline_us`, on the clock of the runtime, ends with NOT_DONE.
    """

    def insert(self, row: Row, deadline_us: int, on_done: ResultCallback) -> None:
        """Inserts a row: DONE once it is durable, or CONFLICT with the row that has the same id."""

    def change(self, before: Row, after: Row, deadline_us: int, on_done: ResultCallback) -> None:
        """Replaces `before` by `after` if the stored row still has the state and owner of `before`."""

    def remove(self, before: Row, deadline_us: int, on_done: ResultCallback) -> None:
        """Deletes the row under the same condition as `change`."""

    def get(self, id: Id, deadline_us: int, on_done: ResultCallback) -> None:
        """Reads a row: DONE with the row, or without one if there is none."""

    def open_rows(
        self, limit: int, on_done: Callable[[list[Row]], None], owner_prefix: str = ""
    ) -> None:  # fmt: skip
        """Reads the oldest rows that are stored or sent and whose owner begins with `owner_prefix`. The list
        is empty if the store can't be read."""

    def sweep(self, before_s: float, limit: int, on_done: Callable[[int], None]) -> None:
        """Removes at most `limit` confirmed rows that were received before `before_s` (Unix seconds) and
        calls back with their number."""

    @property
    def identity(self) -> str:
        """A text that is the same in all processes that use this store, and different for any other store.
        Empty while it is not known."""

    @property
    def wait_us(self) -> int:
        """The expected time in microseconds until a change that is queued now is committed, estimated from
        earlier commits."""
