"""What a round plays: its sizes, its classes, and the faults that its seed draws from a table."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import asdict, dataclass, field, fields, replace
from random import Random
from typing import Any

ZONES = 5
NEAR_S, FAR_S = (0.0001, 0.0003), (0.006, 0.010)  # one way: within a zone, and between two


@dataclass(frozen=True, slots=True)
class Faults:
    """Shares are of answers, requests or connections; times are seconds. Nothing is on by itself."""

    copies: float = 0.0  # answers that come a second time
    copy_late_s: tuple[float, float] = (0.0002, 0.3)
    refusals_alone: bool = False  # only refusals are copied
    split_copies: bool = False  # a copy comes in two halves
    tails: float = 0.0  # answers with noise behind them, at once or a millisecond later
    late_interims: float = 0.0  # 100 (Continue) behind the final answer
    halves: float = 0.0  # answers that break off and never end
    unsized: float = 0.0  # answers without a length; half of them are reset
    resets: float = 0.0  # requests whose connection is reset once they were taken
    refusals: float = 0.0  # requests that are turned away at random
    errors: float = 0.0  # requests answered with 500
    hangs: float = 0.0  # requests whose work lasts too long
    hang_at_end: bool = False  # all requests do from SIGTERM on
    farewells: float = 0.0  # idle connections on which a 408 comes before they are closed
    early_closes: float = 0.0  # connections that are closed soon after an answer
    forgotten: float = 0.0  # connections that are silent after an answer
    accept_pauses: int = 0  # how often a node accepts nothing for up to a second
    crashes: int = 0  # how often a node resets all it has and comes back cold
    leavers: float = 0.0  # clients that close before their answer
    patient: float = 0.0  # clients that wait twice as long as the settings' longest deadline
    bursts: int = 0  # how often a third of all waiting clients leave at once
    stoppers: float = 0.0  # clients that stop in the middle of a request
    slow_writers: float = 0.0  # clients that write a request in pieces
    pipelined: float = 0.0  # clients that send several requests at once
    clock_steps: int = 0  # how often the proxies' wall clocks step by an hour
    no_descriptors: int = 0  # how often a proxy gets no new descriptor for a moment
    hold_ups: int = 0  # how often a proxy is stopped for up to 0.15 s
    reloads: int = 0  # SIGHUP


@dataclass(frozen=True, slots=True)
class Plan:
    """A round. `repeat` is the class's word in the settings' form."""

    seed: int = 1
    seconds: float = 5.0
    proxies: int = 3
    nodes: int = 20
    rate: float = 240.0  # requests a second, of all clients
    repeat: str = "non_idempotent"
    group: str = "all"
    window_s: float = 0.4
    deadline_s: float = 1.9
    work_s: float = 0.03  # mean of an answer's work
    hedging: bool = False
    connect_timeout_s: float = 0.25
    terminate: bool = False  # SIGTERM at the end, SIGKILL as early as it may come
    faults: Faults = field(default_factory=Faults)

    def text(self) -> str:
        return json.dumps(asdict(self))


def read_plan(text: str) -> Plan:
    given = json.loads(text)
    faults: dict[str, Any] = given.pop("faults")
    if "copy_late_s" in faults:
        faults["copy_late_s"] = tuple(faults["copy_late_s"])
    return Plan(**given, faults=Faults(**faults))


Draw = Callable[[Random], dict[str, Any]]


@dataclass(frozen=True, slots=True)
class Kind:
    """A row of the table: a kind of trouble, and what a round that draws it plays."""

    name: str
    draw: Draw


def late(random: Random) -> tuple[float, float]:
    """How late copies come, from a fifth of a millisecond to 0.3 s."""
    longest = 0.0002 * 1500 ** random.random()
    return longest / 3, longest


KINDS: tuple[Kind, ...] = (
    Kind("copies", lambda r: {"copies": r.uniform(0.01, 0.3), "copy_late_s": late(r)}),
    Kind(
        "copies of refusals",
        lambda r: {"copies": 0.6, "copy_late_s": late(r), "refusals_alone": True, "refusals": 0.25},
    ),
    Kind("copies in halves", lambda r: {"copies": 0.1, "copy_late_s": late(r), "split_copies": True}),
    Kind("noise behind answers", lambda r: {"tails": r.uniform(0.01, 0.2)}),
    Kind("late interim answers", lambda r: {"late_interims": r.uniform(0.01, 0.2)}),
    Kind("half answers", lambda r: {"halves": r.uniform(0.01, 0.1)}),
    Kind("answers without a length", lambda r: {"unsized": r.uniform(0.02, 0.2)}),
    Kind("resets under requests", lambda r: {"resets": r.uniform(0.01, 0.15)}),
    Kind("refusals", lambda r: {"refusals": r.uniform(0.05, 0.3)}),
    Kind("errors", lambda r: {"errors": r.uniform(0.01, 0.2)}),
    Kind("nodes that hang", lambda r: {"hangs": r.uniform(0.01, 0.1)}),
    Kind("nodes that hang through a shutdown", lambda r: {"hang_at_end": True, "patient": 0.3}),
    Kind("last words on idle connections", lambda r: {"farewells": r.uniform(0.05, 0.4)}),
    Kind("idle connections closed early", lambda r: {"early_closes": r.uniform(0.05, 0.5)}),
    Kind("forgotten connections", lambda r: {"forgotten": r.uniform(0.02, 0.2)}),
    Kind("connections that come up late", lambda r: {"accept_pauses": r.randrange(5, 30)}),
    Kind("nodes that crash", lambda r: {"crashes": r.randrange(1, 6)}),
    Kind("clients that leave", lambda r: {"leavers": r.uniform(0.02, 0.3)}),
    Kind("patient clients", lambda r: {"patient": r.uniform(0.1, 0.5)}),
    Kind("clients that leave in a burst", lambda r: {"bursts": r.randrange(1, 4)}),
    Kind("clients that stop", lambda r: {"stoppers": r.uniform(0.01, 0.1)}),
    Kind("clients that write slowly", lambda r: {"slow_writers": r.uniform(0.05, 0.4)}),
    Kind("pipelined requests", lambda r: {"pipelined": r.uniform(0.05, 0.5)}),
    Kind("wall clocks that step", lambda r: {"clock_steps": r.randrange(1, 5)}),
    Kind("no descriptor", lambda r: {"no_descriptors": r.randrange(1, 4)}),
    Kind("proxies held up", lambda r: {"hold_ups": r.randrange(5, 40)}),
    Kind("reloads", lambda r: {"reloads": r.randrange(1, 6)}),
)
CLASSES = (("read_like", "all"), ("non_idempotent", "all"), ("idempotency_key", "all"),
           ("idempotency_key", "zone"), ("idempotency_key", "cell"))  # fmt: skip


def plan_of(seed: int, seconds: float) -> Plan:
    """What a seed plays: two to six kinds of trouble, copies in half of the rounds at the least."""
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
    kinds = random.sample(KINDS, random.randint(2, 6))
    if random.random() < 0.5:
        kinds.append(random.choice(KINDS[:3]))
    drawn: dict[str, Any] = {}
    for kind in kinds:
        drawn |= kind.draw(random)
    # Long enough for a connection whose first SYN was dropped (1 s), or not.
    connect_timeout_s = random.choice((0.25, 1.5))
    faults = Faults(**drawn)
    terminate = plan.terminate or faults.hang_at_end
    return replace(plan, connect_timeout_s=connect_timeout_s, terminate=terminate, faults=faults)


def kinds_of(faults: Faults) -> list[str]:
    """The faults that a round plays, by their fields."""
    off = Faults()
    return [f.name for f in fields(Faults) if getattr(faults, f.name) != getattr(off, f.name)]
