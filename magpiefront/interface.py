"""The interface of a Router: settings, events and actions.

A Router is built from `Settings`. Its host passes events to it and carries out the returned actions in order.
Times are whole microseconds. The only logic in this module is the validation of settings.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from magpiefront.repeat_limits import FIRST_SENDING, NO_GROUP, RepeatLimits, ServerGroup
from magpiefront.repeat_limits import DedupScope as DedupScope


def require(valid: bool, field_name: str, problem: str) -> None:
    """Raises ValueError with the field's name and the problem if a setting is not valid."""
    if not valid:
        raise ValueError(f"settings: {field_name} {problem}")


class Repeat(Enum):
    """Whether a request of a class may be sent to servers more than once (its idempotency)."""

    SAFE = "safe"
    KEYED = "keyed"  # servers drop repeats by the idempotency key, within their DedupScope and a time window
    UNSAFE = "unsafe"


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # the server refused it for lack of capacity
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"  # dropped before anything was sent, for example because the request was answered meanwhile
    MISS = "miss"  # a look-aside cache has no entry for the key

    __hash__ = object.__hash__  # Enum's own hash is slower: it hashes the name, in Python, at every lookup


# Outcomes that prove that the attempt had no effect.
NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT, Outcome.MISS})


class Status(Enum):
    """What discovery says about a server. Only READY servers get new requests."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    UNKNOWN = "unknown"


class ListKind(Enum):
    """What a ServerList event holds."""

    PATCH = "patch"  # changed entries
    WHOLE = "whole"  # the whole list; servers that are not in it are gone
    PART = "part"  # some entries of a whole list; servers that are not in it stay
    STALE = "stale"  # the whole list as last known before this process started
    BROKEN = "broken"  # nothing: the watch on discovery failed


class WeightSource(Enum):
    """What the weights in the list are based on. Only NOMINAL and ROUGH decide how many keys a server
    gets."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests with the same latency objective, deadline and rules for repeats."""

    name: str
    repeat: Repeat
    aim_us: int  # latency objective: an answer within this time earns the full worth
    deadline_us: int
    worth: float = 1.0
    late_worth: float = 0.0  # part of the worth that a later answer still earns, 0 to 1
    group: DedupScope = DedupScope.ALL
    window_us: int = 0  # how long servers remember an idempotency key
    stream: bool = False


@dataclass(slots=True, frozen=True)
class Tenant:
    """A group of clients with a share of the capacity."""

    name: str
    share: float
    quota_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of a Router. Raises ValueError if one is out of range.

    The Router itself does not use `zone`, `tenants`, `over_share_worth`, `marks_retry`, `fall_multiple`,
    `fall_us`, `drain_grace_us` and `answer_slack_us`.
    """

    classes: tuple[RequestClass, ...]
    proxies: int = 1
    zone: str = ""
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    max_attempts: int = 3  # of one request, the first included
    hedging: bool = False  # a second attempt may be sent while the first is in flight
    may_cancel: bool = False  # attempts may be cancelled
    may_probe: bool = False  # health probes may be sent
    retry_after: bool = False  # refusals may say after which time to send the request again
    max_retry_after_us: int = 0
    marks_retry: bool = False  # clients mark their retries
    subscribe: bool = False  # the Router has to subscribe to the list with Watch actions
    ask_every_us: int = 10_000_000  # the longest wait between two Watch actions without an answer
    cold_from: float = 1.0  # share of its normal load that a server can serve right after its start
    cold_us: int = 0  # how long the slow start of a server takes
    fall_multiple: float = 2.0
    fall_us: int = 1_000_000
    drain_grace_us: int = 500_000  # how long requests may be sent to a server after it is reported draining
    answer_slack_us: int = 0  # how long after the request's deadline the final answer may come
    round_us: int = 1_000  # round trip to a server, subtracted from the time left
    weight_source: WeightSource = WeightSource.NONE
    origin_kind: str | None = None  # with look-aside caches: servers of this kind are the origin

    def __post_init__(self) -> None:
        require(len(self.classes) > 0, "classes", "is empty")
        for c in self.classes:
            require(c.aim_us > 0, f"classes[{c.name}].aim_us", "must be above 0")
            require(c.deadline_us > 0, f"classes[{c.name}].deadline_us", "must be above 0")
            require(c.window_us >= 0, f"classes[{c.name}].window_us", "must not be negative")
            require(c.worth >= 0, f"classes[{c.name}].worth", "must not be negative")
            require(0 <= c.late_worth <= 1, f"classes[{c.name}].late_worth", "must be from 0 to 1")
        require(self.proxies >= 1, "proxies", "must be at least 1")
        require(self.max_attempts >= 1, "max_attempts", "must be at least 1")
        require(self.ask_every_us > 0, "ask_every_us", "must be above 0")
        require(0 < self.cold_from <= 1, "cold_from", "must be above 0 and at most 1")
        require(self.cold_us >= 0, "cold_us", "must not be negative")
        require(self.round_us >= 0, "round_us", "must not be negative")
        require(self.drain_grace_us >= 0, "drain_grace_us", "must not be negative")
        require(self.answer_slack_us >= 0, "answer_slack_us", "must not be negative")
        require(self.max_retry_after_us >= 0, "max_retry_after_us", "must not be negative")


# ---- events


@dataclass(slots=True)
class ServerEntry:
    """A server's entry in the list. `started_at_us` is a time of a wall clock; 0: not known."""

    server: str
    status: Status = Status.READY
    weight: float = 1.0
    zone: str = ""
    kind: str = ""
    cell: int = -1
    started_at_us: int = 0


@dataclass(slots=True)
class ServerList:
    """A server list, or a part of one.

    `more`: further parts follow, and joining servers get keys only after the last part. `mean_weight` is the
    mean weight in the whole list if these entries are only a part of it, and 0 otherwise.
    """

    kind: ListKind
    entries: list[ServerEntry] = field(default_factory=list)
    more: bool = False
    mean_weight: float = 0.0


@dataclass(slots=True)
class StopSending:
    """These servers get no new requests from now on. A ServerList that gives the reason follows."""

    servers: Sequence[str]


@dataclass(slots=True)
class Arrived:
    """A request has arrived. If `key` is None, the id of the request is hashed instead of a key. `pipelined`:
    its client has sent further requests behind it on the same connection. `limits`: what binds it if it has
    been sent before."""

    request: str
    class_name: str
    time_left_us: int
    key: int | None = None
    tenant: str | None = None
    effort_us: int = 0
    write: bool = False
    is_retry: bool = False
    cls: RequestClass | None = None  # the class as it was when the request was read; None: look it up by name
    pipelined: bool = False
    limits: RepeatLimits = FIRST_SENDING


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended. Attempts of a request are numbered from 0."""

    request: str
    attempt: int
    server: str
    outcome: Outcome
    elapsed_us: int
    finished: bool = False  # the request has its final answer
    cache_result: int = 0  # 1: hit, 2: miss, 3: miss while the key was already being fetched; 0: not known
    report: dict[str, float] | None = None  # the server's load report, if it sent one
    pipelined: bool = False  # as in `Arrived`, but known by now
    own_delay_us: int = 0  # for how much of `elapsed_us` this process was late itself

    @property
    def delayed_here(self) -> bool:
        """Whether it took long because this process was late, so that it says nothing about the server."""
        return 2 * self.own_delay_us > self.elapsed_us


@dataclass(slots=True)
class StreamBegan:
    """The client is receiving the answer of this attempt; no other attempt is needed."""

    request: str
    attempt: int


@dataclass(slots=True)
class AnswerPaused:
    """The server of an attempt has begun its answer and has then sent nothing for longer than servers usually
    take. It may go on: it has not failed."""

    request: str
    attempt: int


@dataclass(slots=True)
class ClientLeft:
    """The client no longer waits for an answer from the Router: it has left, or its deadline has passed."""

    request: str


@dataclass(slots=True)
class ProbeEnded:
    """A health probe has ended."""

    server: str
    outcome: Outcome
    elapsed_us: int
    report: dict[str, float] | None = None


@dataclass(slots=True)
class TimerFired:
    """A timer set by SetTimer is due."""

    token: str


@dataclass(slots=True)
class Exclude:
    """An operator takes a server out of service; the Router answers with an OperatorResult. `known`: another
    process of this proxy knows the server, even if this one does not."""

    server: str
    known: bool = False


@dataclass(slots=True)
class Include:
    """An operator puts an excluded server back into service; the Router answers with an OperatorResult."""

    server: str


@dataclass(slots=True)
class PredecessorLoad:
    """How many requests the process that this one replaces still has in flight at each server."""

    loads: dict[str, int]


Event = (
    ServerList | StopSending | Arrived | AttemptEnded | StreamBegan | AnswerPaused | ClientLeft | ProbeEnded
    | TimerFired | Exclude | Include | PredecessorLoad
)  # fmt: skip


# ---- actions


@dataclass(slots=True)
class Send:
    """Send an attempt of a request. The attempt expires at `expire_at_us`. If `not_after_us` is not 0, the
    last byte of this attempt, and of the request's other attempts that are still in flight, must arrive
    before then: the window in which servers drop repeats ends. `group` is that of the server."""

    request: str
    server: str
    expire_at_us: int
    not_after_us: int = 0
    group: ServerGroup = NO_GROUP


@dataclass(slots=True)
class Abandon:
    """End an attempt whose answer has paused, as a reset: another one is to take its place."""

    request: str
    attempt: int


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt that is still in flight."""

    request: str
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final answer: the request was not served, and the client may safely send it again."""

    request: str
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: the request was not served, and it may or may not have taken effect."""

    request: str


@dataclass(slots=True)
class Probe:
    """Send a health probe to a server."""

    server: str


@dataclass(slots=True)
class SetTimer:
    """Pass a TimerFired event with this token to the Router after a delay."""

    delay_us: int
    token: str


@dataclass(slots=True)
class Watch:
    """Subscribe to changes of the server list; the host answers with one ServerList event."""


@dataclass(slots=True)
class LogMessage:
    """Write a line to the log, for operators."""

    text: str


@dataclass(slots=True)
class OperatorResult:
    """The answer to Exclude and Include. `accepted`: it is in effect from now on; otherwise no server has
    that id."""

    server: str
    accepted: bool


Action = Send | Abandon | Cancel | Refuse | Fail | Probe | SetTimer | Watch | LogMessage | OperatorResult
