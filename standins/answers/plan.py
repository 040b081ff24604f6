"""The plan of a round: its sizes, its request class, and the faults that its seed draws from a table."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import asdict, dataclass, field, fields, replace
from random import Random
from typing import Any

ZONES = 5
SAME_ZONE_DELAY_S, OTHER_ZONE_DELAY_S = (0.0001, 0.0003), (0.006, 0.010)  # one way, drawn per node


@dataclass(frozen=True, slots=True)
class Faults:
    """The faults of a round; all are off by default. A float is the share of the answers, requests,
    connections or clients that are affected, an int is a number of occurrences in the round. Times are
    seconds."""

    copies: float = 0.0  # answers that are sent a second time
    copy_late_s: tuple[float, float] = (0.0002, 0.3)  # bounds of the delay of a copy
    refusals_alone: bool = False  # only refusals are sent twice
    split_copies: bool = False  # a copy is written in two parts
    tails: float = 0.0  # answers followed by stray bytes, at once or after a millisecond
    late_interims: float = 0.0  # final answers followed by 100 (Continue)
    halves: float = 0.0  # answers of which only the first half is written, on a connection that stays open
    unsized: float = 0.0  # answers without a Content-Length; half of them are cut off by a reset
    resets: float = 0.0  # requests whose connection is reset after their work has begun
    refusals: float = 0.0  # requests that a node refuses
    errors: float = 0.0  # requests answered with 500
    hangs: float = 0.0  # requests whose work takes 3 s, longer than the settings' longest deadline
    hang_at_end: bool = False  # the work of all requests hangs once the proxies get SIGTERM
    farewells: float = 0.0  # idle connections on which the node writes a 408 before it closes them
    early_closes: float = 0.0  # connections that the node closes within a second of an answer
    forgotten: float = 0.0  # connections on which the node ignores all requests after an answer
    accept_pauses: int = 0  # pauses of up to a second in which a node accepts no connection
    crashes: int = 0  # crashes of a node: it resets all its connections and listens again after 0.5 s
    leavers: float = 0.0  # clients that close their connection before the answer
    patient: float = 0.0  # clients whose deadline is twice the longest deadline of the settings
    bursts: int = 0  # occasions on which a third of all waiting clients close at once
    stoppers: float = 0.0  # clients that write only a part of a request
    slow_writers: float = 0.0  # clients that write a request in pieces, with pauses
    pipelined: float = 0.0  # clients that send several requests at once on a connection
    clock_steps: int = 0  # steps of an hour in the wall clock of each proxy
    no_descriptors: int = 0  # periods of up to 0.2 s in which a proxy can open no descriptor
    hold_ups: int = 0  # stops of a proxy (SIGSTOP) for up to 0.15 s
    reloads: int = 0  # SIGHUPs


@dataclass(frozen=True, slots=True)
class Plan:
    """The parameters of a round. `repeat` is the repeat rule of the class as the settings spell it."""

    seed: int = 1
    seconds: float = 5.0
    proxies: int = 3
    nodes: int = 20
    rate: float = 240.0  # requests per second, of all clients
    repeat: str = "non_idempotent"
    group: str = "all"  # the nodes among which a keyed request may be repeated: all, zone or cell
    window_s: float = 0.4  # within this time a keyed request may be repeated
    deadline_s: float = 1.9  # longest deadline of the settings
    work_s: float = 0.03  # mean time that a node works on a request
    hedging: bool = False
    connect_timeout_s: float = 0.25
    terminate: bool = False  # SIGTERM at the end, then SIGKILL at the earliest time the protocol allows
    faults: Faults = field(default_factory=Faults)

    def to_json(self) -> str:
        """Encodes the plan for `read_plan`."""
        return json.dumps(asdict(self))


def read_plan(text: str) -> Plan:
    """Parses the output of `Plan.to_json`. Raises ValueError, TypeError or KeyError if it is malformed."""
    fields_of_plan = json.loads(text)
    faults: dict[str, Any] = fields_of_plan.pop("faults")
    if "copy_late_s" in faults:
        faults["copy_late_s"] = tuple(faults["copy_late_s"])
    return Plan(**fields_of_plan, faults=Faults(**faults))


Draw = Callable[[Random], dict[str, Any]]


@dataclass(frozen=True, slots=True)
class FaultKind:
    """A kind of fault, and the function that draws the fields of Faults for it."""

    name: str
    draw: Draw


def draw_copy_delay(random: Random) -> tuple[float, float]:
    """Draws the bounds of the delay of copies (s). The upper one is between 0.0002 and 0.3."""
    longest = 0.0002 * 1500 ** random.random()
    return longest / 3, longest


FAULT_KINDS: tuple[FaultKind, ...] = (
    FaultKind("copies", lambda r: {"copies": r.uniform(0.01, 0.3), "copy_late_s": draw_copy_delay(r)}),
    FaultKind(
        "copies of refusals",
        lambda r: {
            "copies": 0.6,
            "copy_late_s": draw_copy_delay(r),
            "refusals_alone": True,
            "refusals": 0.25,
        },
    ),
    FaultKind(
        "copies in two parts",
        lambda r: {"copies": 0.1, "copy_late_s": draw_copy_delay(r), "split_copies": True},
    ),
    FaultKind("stray bytes after answers", lambda r: {"tails": r.uniform(0.01, 0.2)}),
    FaultKind("late interim answers", lambda r: {"late_interims": r.uniform(0.01, 0.2)}),
    FaultKind("half answers", lambda r: {"halves": r.uniform(0.01, 0.1)}),
    FaultKind("answers without a length", lambda r: {"unsized": r.uniform(0.02, 0.2)}),
    FaultKind("resets during requests", lambda r: {"resets": r.uniform(0.01, 0.15)}),
    FaultKind("refusals", lambda r: {"refusals": r.uniform(0.05, 0.3)}),
    FaultKind("errors", lambda r: {"errors": r.uniform(0.01, 0.2)}),
    FaultKind("nodes that hang", lambda r: {"hangs": r.uniform(0.01, 0.1)}),
    FaultKind("nodes that hang during shutdown", lambda r: {"hang_at_end": True, "patient": 0.3}),
    FaultKind("408 on idle connections", lambda r: {"farewells": r.uniform(0.05, 0.4)}),
    FaultKind("connections closed soon after an answer", lambda r: {"early_closes": r.uniform(0.05, 0.5)}),
    FaultKind("connections without further answers", lambda r: {"forgotten": r.uniform(0.02, 0.2)}),
    FaultKind("connections accepted late", lambda r: {"accept_pauses": r.randrange(5, 30)}),
    FaultKind("nodes that crash", lambda r: {"crashes": r.randrange(1, 6)}),
    FaultKind("clients that close early", lambda r: {"leavers": r.uniform(0.02, 0.3)}),
    FaultKind("clients with long deadlines", lambda r: {"patient": r.uniform(0.1, 0.5)}),
    FaultKind("many clients that close at once", lambda r: {"bursts": r.randrange(1, 4)}),
    FaultKind("clients that write half a request", lambda r: {"stoppers": r.uniform(0.01, 0.1)}),
    FaultKind("clients that write slowly", lambda r: {"slow_writers": r.uniform(0.05, 0.4)}),
    FaultKind("pipelined requests", lambda r: {"pipelined": r.uniform(0.05, 0.5)}),
    FaultKind("wall clocks that step", lambda r: {"clock_steps": r.randrange(1, 5)}),
    FaultKind("proxies out of descriptors", lambda r: {"no_descriptors": r.randrange(1, 4)}),
    FaultKind("stopped proxies", lambda r: {"hold_ups": r.randrange(5, 40)}),
    FaultKind("reloads", lambda r: {"reloads": r.randrange(1, 6)}),
)
CLASSES = (("read_like", "all"), ("non_idempotent", "all"), ("idempotency_key", "all"),
           ("idempotency_key", "zone"), ("idempotency_key", "cell"))  # fmt: skip


def draw_plan(seed: int, seconds: float) -> Plan:
    """Draws the plan of a seed: two to six kinds of faults, and in half of the rounds a kind of copies."""
    random = Random(f"answers {seed}")
    repeat, group = random.choice(CLASSES)
    plan = Plan(
        seed=seed,
        seconds=seconds,
        proxies=random.randint(1, 3),
        nodes=random.choice((3, 8, 20)),
        rate=random.choice((60.0, 150.0, 240.0)),
        repeat=repeat,
        group=group,
        window_s=random.choice((0.3, 0.6, 1.5)),
        deadline_s=random.choice((0.3, 0.6, 1.0, 1.9)),
        work_s=random.choice((0.005, 0.03)),
        hedging=random.random() < 0.5,
        terminate=random.random() < 0.5,
    )
    kinds = random.sample(FAULT_KINDS, random.randint(2, 6))
    if random.random() < 0.5:
        kinds.append(random.choice(FAULT_KINDS[:3]))
    drawn: dict[str, Any] = {}
    for kind in kinds:
        drawn |= kind.draw(random)
    # A dropped first SYN is sent again after 1 s. Only the longer timeout leaves time for that.
    connect_timeout_s = random.choice((0.25, 1.5))
    faults = Faults(**drawn)
    terminate = plan.terminate or faults.hang_at_end
    return replace(plan, connect_timeout_s=connect_timeout_s, terminate=terminate, faults=faults)


def active_faults(faults: Faults) -> list[str]:
    """Returns the names of the fields that are set."""
    default = Faults()
    return [f.name for f in fields(Faults) if getattr(faults, f.name) != getattr(default, f.name)]
