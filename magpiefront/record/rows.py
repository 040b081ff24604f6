"""A report as the store of record holds it, and the small interface of the stores."""

from __future__ import annotations

import enum
import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from secrets import token_hex
from typing import NamedTuple, Protocol


class State(enum.Enum):
    """Of a report that is held. One that was refused before it ran is not held any more."""

    STORED = "stored"  # known not to have been sent; owed
    SENT = "sent"  # may have run since `Row.sent_s`
    CONFIRMED = "confirmed"  # ran, and its answer is held
    UNKNOWN = "unknown"  # may have run, and nobody can say any more
    NOT_RUN = "not-run"  # an operator's word on an unknown one


class Id(NamedTuple):
    """A key belongs to a tenant and a class (draft-ietf-httpapi-idempotency-key-header, 2.2)."""

    tenant: str
    kind: str
    key: bytes


UNSURE = "?"  # in place of a start: how long ago it was can't be told yet


BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
OWN_BOOT = token_hex(16)


def boot_id() -> str:
    """Of this start of the machine; one of its own where none can be read, which no other process shares."""
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return OWN_BOOT


class Moment(NamedTuple):
    """A time that another process can judge: Unix seconds for people, and seconds since the machine's start,
    which no leap of the clock touches; those of two starts are not compared."""

    wall_s: float
    boot: str
    up_s: float


@dataclass(frozen=True, slots=True)
class Attempt:
    node: str
    at_s: float  # Unix seconds


def attempts_text(attempts: tuple[Attempt, ...]) -> str:
    """As stores hold them."""
    return json.dumps([[a.node, a.at_s] for a in attempts]) if attempts else "[]"


def read_attempts(text: str) -> tuple[Attempt, ...]:
    """Raises ValueError or TypeError."""
    return tuple(Attempt(node, at) for node, at in json.loads(text))


@dataclass(frozen=True, slots=True)
class Answer:
    status: int
    more: bytes  # field lines
    body: bytes


@dataclass(frozen=True, slots=True)
class Row:
    id: Id
    digest: bytes  # of method, target and body: another payload under the same key is another report
    method: bytes
    target: bytes
    more: bytes  # the field lines that go on with it
    body: bytes
    state: State
    received_s: float
    sent: Moment | None  # when it was first sent, or marked so
    owner: str  # the process that sends it; a word on it by another is too late
    window_s: float  # how long the nodes drop repeats of it after `sent`
    until_s: float  # how long after `sent` its owner is at work on it at most
    answer: Answer | None = None
    attempts: tuple[Attempt, ...] = ()
    note: str = ""
    told: bool = False  # its client was told to come again after a try that may have run: it is the client's


class Outcome(enum.Enum):
    """What became of a request to a store."""

    DONE = "done"
    THERE = "there"  # an insert found a row with its id; a change found another state or owner there
    NEVER = "never"  # failed, and the store holds nothing of it
    ASK = "ask"  # failed, and may have been done: it must be asked


@dataclass(frozen=True, slots=True)
class Result:
    outcome: Outcome
    row: Row | None = None  # what stands there, where that is known
    cause: str = ""  # of a failure, one line


Then = Callable[[Result], None]


class Store(Protocol):
    """Each call returns at once; `then` is called in the loop, once. What can't be begun before `deadline_us`
    of the house's clock ends as NEVER."""

    def insert(self, row: Row, deadline_us: int, then: Then) -> None:
        """DONE once it is durable; THERE with the row that has its id."""

    def change(self, before: Row, after: Row, deadline_us: int, then: Then) -> None:
        """In place of `before`, if that one's state and owner still stand there."""

    def remove(self, before: Row, deadline_us: int, then: Then) -> None:
        """As `change`, to nothing."""

    def get(self, id: Id, deadline_us: int, then: Then) -> None:
        """DONE with the row, or without one."""

    def open_rows(self, most: int, then: Callable[[list[Row]], None], of: str = "") -> None:
        """The oldest that are stored or sent, with an owner that begins with `of`; none where the store can't
        say."""

    def sweep(self, before_s: float, most: int, then: Callable[[int], None]) -> None:
        """Removes confirmed rows received before (Unix seconds), `most` at a time; how many went."""

    @property
    def identity(self) -> str:
        """The same at all processes that this store serves, and at no others; empty while it is not known."""

    @property
    def wait_us(self) -> int:
        """How long a commit that is asked for now will take by what was measured."""
