"""What the proxies have agreed on about machines: plans, grants with epochs, each proxy's word. No I/O.

One state machine of the group's log (`group/machines.py`): the same commands in the same order give the same
facts at each member, and so the same grants: they are worked out where a `Tick` is applied (`rules.py`), at
all members, and whoever leads only says what time it is.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from enum import Enum

import msgspec

from magpiefront.group.facts import Member
from magpiefront.group.messages import name_of
from magpiefront.maintenance.plan import Machine, Plan, problems

MOST_LINES = 200


class State(Enum):
    """Of a machine in a plan."""

    ASKED = "asked"
    GRANTED = "granted"  # the proxies move their keys away, one after the other
    DRAINING = "draining"  # nobody sends there any more; what is out ends
    OUT = "out"  # each proxy has said so: it may be worked on
    HELD = "held"  # who ran its command is lost: a person has to say whether it ran
    BACK = "back"
    WARMING = "warming"
    DONE = "done"
    FAILED = "failed"  # it counts as out
    WITHDRAWN = "withdrawn"


LEAVING = (State.GRANTED, State.DRAINING)
WORKED_ON = (State.OUT, State.HELD)
AWAY = (*LEAVING, *WORKED_ON, State.FAILED)  # nothing is sent there
COUNTED = (*AWAY, State.BACK, State.WARMING)  # against the limits
OVER = (State.DONE, State.WITHDRAWN)
STILL = (*OVER, State.FAILED)  # nothing more comes of it by itself


class Slot(msgspec.Struct):
    """One machine of a plan."""

    machine: str
    plan: str
    asked_s: float
    state: State = State.ASKED
    epoch: int = 0  # of its last grant
    since_s: float = 0.0
    words: dict[str, int] = {}  # proxies that have nothing there, and under which epoch of theirs
    runner: str = ""  # the member (with its epoch) that runs the command
    cause: str = ""
    entered: int = 0  # the version of `next` in which it came to stand there
    first_s: float = 0.0  # since when it has been the first that waits for others that are out; 0: not yet


class Report(msgspec.Struct):
    """What one proxy sees. `why`: in words, why nothing should go now; empty: nothing speaks against it."""

    at_s: float = 0.0  # set where it is applied
    why: str = ""
    load: float = 0.0  # its requests in work at all nodes, on the mean
    listed: int = 0  # a hash of the list that it holds
    failing: tuple[str, ...] = ()
    cold: tuple[str, ...] = ()
    by_hand: tuple[str, ...] = ()  # out at this proxy, whatever else holds
    popular: tuple[int, ...] = ()  # hashes of its most asked keys
    asked: tuple[int, ...] = ()  # how often each of these; none: an older version told it
    reads: int = 0  # of how many


class Running(msgspec.Struct):
    plan: Plan
    voters: tuple[str, ...] = ()
    paused: str = ""  # by whom
    stopped: str = ""  # why it goes no further by itself


class Kept(msgspec.Struct):
    fleet: dict[str, Machine] = {}
    plans: dict[str, Running] = {}
    slots: dict[str, Slot] = {}  # by machine; of plans that are over until the next one asks for it
    at_s: float = 0.0  # agreed time: never more than has gone by
    ticks: int = 0
    wall_s: float = 0.0
    epoch: int = 0
    version: int = 0  # of `next`
    next: tuple[str, ...] = ()  # those that may be granted next: who is cut off leaves them out
    knows: dict[str, int] = {}  # which version of `next` each proxy has
    reports: dict[str, Report] = {}
    lost_s: dict[str, float] = {}  # since when a proxy is lost
    peaks: dict[str, float] = {}  # the highest load in each hour of the day, as it was the last time
    hour: int = 0  # the one that runs, since 1970; `rising` is its highest load so far
    rising: float = 0.0
    high: float = 0.0  # the highest load of the last minute, about
    high_s: float = 0.0
    noted: int = 0  # how many lines there have been
    lines: list[str] = []  # what was asked by whom, and what came of it


class Start(msgspec.Struct, tag=True):
    plan: Plan
    machines: tuple[Machine, ...]  # as the file of who starts it has them
    voters: tuple[str, ...]


class Steer(msgspec.Struct, tag=True):
    """`what`: pause, resume, withdraw (a plan, or one machine of it), done, retry."""

    what: str
    plan: str
    by: str
    machine: str = ""


class Tick(msgspec.Struct, tag=True):
    """How much time has gone by, at the least: since the last one was applied at who leads, by its own
    monotonic clock. Leaders' clocks differ, and a wait that a jump between two of them ended would be none;
    so `number` is of the last one that was applied, and a second one after it counts for nothing."""

    number: int
    ran_s: float
    wall_s: float  # Unix time, of windows and hours alone


class Knows(msgspec.Struct, tag=True):
    version: int


class Word(msgspec.Struct, tag=True):
    """Of who proposes it: it sends nothing to that machine, has nothing out there, holds no connection."""

    machine: str
    epoch: int  # of the grant
    mine: int  # its own, under which it says so


class Told(msgspec.Struct, tag=True):
    report: Report


class Began(msgspec.Struct, tag=True):
    machine: str
    epoch: int
    mine: int


class Ended(msgspec.Struct, tag=True):
    machine: str
    epoch: int
    cause: str = ""  # empty: it went well


Command = Start | Steer | Tick | Knows | Word | Told | Began | Ended


class Answer(msgspec.Struct):
    done: bool
    cause: str = ""


def encode(command: Command) -> bytes:
    return msgspec.msgpack.encode(command)


class Board:
    """`members`: the group's own facts, at the same place of the log. `advance` works out what follows."""

    def __init__(
        self, members: Callable[[], Mapping[str, Member]],
        advance: Callable[[Kept, Mapping[str, Member]], None],
    ) -> None:  # fmt: skip
        self.kept = Kept()
        self.members, self.advance = members, advance

    def apply(self, index: int, origin: str, data: bytes) -> bytes:
        try:
            command: Command = msgspec.msgpack.decode(data, type=Command)
        except msgspec.MsgspecError:  # of another version: nothing at each member
            return msgspec.msgpack.encode(Answer(False, "not of this version"))
        return msgspec.msgpack.encode(self._do(name_of(origin), command))

    def begin(self) -> None:
        self.kept = Kept()

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(self.kept, order="deterministic")

    def restore(self, data: bytes) -> None:
        self.kept = msgspec.msgpack.decode(data, type=Kept)

    def _do(self, who: str, c: Command) -> Answer:
        k = self.kept
        match c:
            case Start():
                return self._start(c)
            case Steer():
                return self._steer(c)
            case Tick():
                if c.number != k.ticks:
                    return Answer(False, "another one came before it")
                k.ticks, k.at_s, k.wall_s = k.ticks + 1, k.at_s + max(0.0, c.ran_s), c.wall_s
                self.advance(k, self.members())
            case Knows():
                k.knows[who] = max(c.version, k.knows.get(who, 0))
            case Word():
                slot = k.slots.get(c.machine)
                if slot is None or slot.epoch != c.epoch or slot.state not in LEAVING:
                    return Answer(False, "that grant is over")
                slot.words[who] = c.mine
            case Told():
                c.report.at_s = k.at_s
                k.reports[who] = c.report
            case Began():
                slot = k.slots.get(c.machine)
                if slot is None or slot.epoch != c.epoch or slot.state is not State.OUT or slot.runner:
                    return Answer(False, "it is not to be begun, or has been")
                slot.runner = f"{who}@{c.mine}"
            case Ended():
                slot = k.slots.get(c.machine)
                if slot is None or slot.epoch != c.epoch or slot.state not in WORKED_ON:
                    return Answer(False, "that grant is over")
                self._ended(slot, c.cause)
        return Answer(True)

    def _ended(self, slot: Slot, cause: str) -> None:
        if cause:
            move(self.kept, slot, State.FAILED, cause)
        else:
            move(self.kept, slot, State.BACK)

    def _start(self, c: Start) -> Answer:
        k = self.kept
        taken = {s.machine: s.plan for s in k.slots.values() if s.state not in OVER}
        if c.plan.id in k.plans and any(s.plan == c.plan.id for s in k.slots.values() if s.state not in OVER):
            return Answer(False, f"plan {c.plan.id} runs already")
        fleet = {m.name: m for m in c.machines}
        wrong = problems(c.plan, fleet, c.voters, taken)
        if wrong:
            return Answer(False, "; ".join(wrong))
        k.fleet |= fleet
        k.plans[c.plan.id] = Running(c.plan, c.voters)
        for name in c.plan.machines:
            before = k.slots.get(name)
            k.slots[name] = Slot(name, c.plan.id, k.at_s, epoch=before.epoch if before is not None else 0)
        note(k, f"{c.plan.by} starts {c.plan.id}: {', '.join(c.plan.machines)}")
        return Answer(True)

    def _steer(self, c: Steer) -> Answer:
        k = self.kept
        running = k.plans.get(c.plan)
        if running is None:
            return Answer(False, f"there is no plan {c.plan}")
        of = [s for s in k.slots.values() if s.plan == c.plan and c.machine in ("", s.machine)]
        if c.machine and not of:
            return Answer(False, f"{c.machine} is not in plan {c.plan}")
        match c.what:
            case "pause":
                running.paused = c.by
            case "resume":
                running.paused = running.stopped = ""
            case "withdraw":
                for slot in of:
                    if slot.state in (State.ASKED, *LEAVING):
                        move(k, slot, State.WITHDRAWN, f"by {c.by}")
            case "done" | "retry":
                if not c.machine:
                    return Answer(False, f"{c.what}: which machine?")
                slot = of[0]
                if slot.state not in (*WORKED_ON, State.FAILED):
                    return Answer(False, f"{c.machine} is {slot.state.value}, and not out")
                if c.what == "done":
                    move(k, slot, State.BACK, f"by {c.by}")
                else:
                    move(k, slot, State.OUT, f"once more, by {c.by}")
            case _:
                return Answer(False, f"unknown: {c.what}")
        note(k, f"{c.by}: {c.what} {c.plan} {c.machine}".rstrip())
        return Answer(True)


def live(k: Kept) -> bool:
    """Is any machine under way, or waiting?"""
    return any(s.state not in STILL for s in k.slots.values())


def move(k: Kept, slot: Slot, state: State, cause: str = "") -> None:
    """Words and runner are of the state that it leaves."""
    if state in (State.ASKED, State.GRANTED):
        slot.words, slot.first_s = {}, 0.0
    slot.runner = ""
    slot.state, slot.since_s, slot.cause = state, k.at_s, cause
    note(k, f"{slot.machine} is {state.value}{f': {cause}' if cause else ''}")


def note(k: Kept, text: str) -> None:
    k.noted += 1
    k.lines.append(f"{k.wall_s:.0f} {text}")
    del k.lines[:-MOST_LINES]
