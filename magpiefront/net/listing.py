"""The list of nodes as discovery tells it, taken up in slices.

What a list forbids comes first: nodes that drain, have gone or are missing from a whole list get nothing
more from the moment the list has been read as JSON, before any other entry is looked at. The rest waits, by
name, and is read some entries a turn of the event loop; a newer list takes the place of what still waits
for the same nodes, so that lists that queued up are taken as one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from itertools import islice
from sys import intern
from time import perf_counter
from typing import Any, Protocol, overload

from magpiefront.interface import ListKind, ServerEntry, ServerList, Status
from magpiefront.net.config import Address, address
from magpiefront.net.events import EventLog, Reason

ENTRIES_A_TURN = 64
STATES = {"Ready": Status.READY, "Terminating": Status.DRAINING, "Gone": Status.GONE}
WORDS = {status: word for word, status in STATES.items()}
FORBIDDEN = (Status.DRAINING, Status.GONE)


class Garbled(Exception):
    """An answer that is not a list."""


@dataclass(slots=True, frozen=True)
class Told:
    """An answer of discovery, of which only the frame has been checked."""

    generation: int
    whole: bool
    lines: list[Any]


@dataclass(slots=True, frozen=True)
class Held:
    """A node as it is listed."""

    entry: ServerEntry
    place: Address


def read_frame(given: Any, stale: bool) -> Told:
    """Raises Garbled."""
    if not isinstance(given, dict) or not isinstance(given.get("instances"), list):
        raise Garbled
    generation = given.get("generation")
    if not isinstance(generation, int) or isinstance(generation, bool):
        raise Garbled
    return Told(generation, stale or bool(given.get("reset", False)), given["instances"])


def read_entry(given: Any) -> Held:
    """One line of a list. Raises Garbled."""
    try:
        name, state, place = given["instanceId"], given["lifecycle"], address(given["hostPort"])
        if not isinstance(name, str) or not name or state not in STATES:
            raise Garbled
        entry = ServerEntry(
            name,
            STATES[state],
            float(given.get("weight", 1.0)),
            intern(str(given.get("zone", ""))),
            intern(str(given.get("machineType", ""))),
            int(given.get("cell", -1)),
            int(float(given.get("startedAtMs", 0)) * 1000),  # milliseconds, or a start lies ages ahead
        )
    except (KeyError, TypeError, ValueError, OverflowError, AttributeError):
        raise Garbled from None
    return Held(entry, place)


def write_entry(held: Held) -> dict[str, Any]:
    """In discovery's form."""
    entry, place = held.entry, held.place
    host = f"[{place[0]}]" if ":" in place[0] else place[0]
    return {
        "instanceId": entry.server,
        "hostPort": f"{host}:{place[1]}",
        "lifecycle": WORDS[entry.status],
        "weight": entry.weight,
        "zone": entry.zone,
        "machineType": entry.kind,
        "cell": entry.cell,
        "startedAtMs": entry.started_at_us / 1000,
    }


class Lines(Sequence[dict[str, Any]]):
    """Entries in discovery's form, each made when it is asked for."""

    def __init__(self, held: Sequence[Held]) -> None:
        self.held = held

    def __len__(self) -> int:
        return len(self.held)

    @overload
    def __getitem__(self, at: int) -> dict[str, Any]: ...
    @overload
    def __getitem__(self, at: slice) -> list[dict[str, Any]]: ...
    def __getitem__(self, at: int | slice) -> dict[str, Any] | list[dict[str, Any]]:
        if isinstance(at, slice):
            return [write_entry(held) for held in self.held[at]]
        return write_entry(self.held[at])


def name_of(line: Any) -> str | None:
    name = line.get("instanceId") if isinstance(line, dict) else None
    return name if isinstance(name, str) and name else None


def status_of(line: Any) -> Status | None:
    state = line.get("lifecycle") if isinstance(line, dict) else None
    return STATES.get(state) if isinstance(state, str) else None


def mean_weight(lines: list[Any]) -> float:
    """Of the lines that tell one; 0 where none does."""
    weights = [line.get("weight", 1.0) for line in lines if isinstance(line, dict)]
    good = [weight for weight in weights if isinstance(weight, int | float) and weight > 0]
    return sum(good) / len(good) if good else 0.0


@dataclass(slots=True)
class Progress:
    """Of the list that is being taken up. Times are seconds."""

    entries: int = 0
    turns: int = 0
    longest_s: float = 0.0

    def count(self, took_s: float) -> None:
        self.turns += 1
        self.longest_s = max(self.longest_s, took_s)

    def told(self) -> dict[str, object]:
        longest_ms = round(self.longest_s * 1000, 1)
        return {"entries": self.entries, "turns": self.turns, "longest_ms": longest_ms}


class ListUser(Protocol):
    """Who is told what the list says."""

    loop: asyncio.AbstractEventLoop

    def forbid(self, names: Sequence[str]) -> None:
        """Nothing new goes to these from now on; what else their lines say follows."""

    def list_changed(self, told: ServerList, places: dict[str, Address]) -> None:
        """`places`: where those of the entries that are ready stand."""

    def go_on(self, call: Callable[[], object]) -> None:
        """Calls it in a later turn of the loop."""

    def log(self, text: str) -> None: ...

    @property
    def events_log(self) -> EventLog: ...


class Listing:
    """The list as this proxy has it. Only what discovery says in so many words takes a node off it."""

    def __init__(self, user: ListUser) -> None:
        self.user = user
        self.generation = -1
        self.held: dict[str, Held] = {}
        # What is still to be told, each name in one of the two last at most.
        self._left: dict[str, tuple[ServerEntry, Status]] = {}  # forbidden: as held, and as told
        self._of_whole: dict[str, dict[str, Any]] = {}  # lines of a whole list
        self._changed: dict[str, dict[str, Any]] = {}  # lines of changes
        self._mean_weight = 0.0
        self._spoilt = 0
        self._at: dict[Address, str] = {}  # which node was last listed as ready there
        self._maybe_shared: list[tuple[str, str]] = []  # two nodes that were at one address for a moment
        self._owes_end = False  # parts were told, and the last of them was not
        self._turn_is_due = False
        self._progress = Progress()

    @property
    def waiting(self) -> bool:
        """Is anything left that has not been told?"""
        return bool(self._left or self._of_whole or self._changed)

    def snapshot(self) -> dict[str, Any]:
        """The list as it is held now, in discovery's form, for whoever goes on with it. While some of a list
        waits to be told it has no number: whoever goes on with it asks for the whole list."""
        generation = -1 if self.waiting else self.generation
        return {"generation": generation, "reset": True, "instances": Lines(list(self.held.values()))}

    def take(self, given: Any, stale: bool = False, in_doubt: bool = False) -> None:
        """Takes a list up: what it forbids at once, the first entries too. `stale`: the list as it was last
        held, from before this process began. `in_doubt`: an answer to an older call may come in its place, so
        that one older than what is held is none. Raises Garbled; then nothing has changed."""
        told = read_frame(given, stale)
        if in_doubt and told.generation < self.generation:
            self.user.events_log.tell("list", Reason.OLDER, generation=told.generation, held=self.generation)
            raise Garbled
        if told.whole:
            self._check_whole(told)
        elif told.generation < self.generation:
            self.generation = -1  # the next call asks for the whole list
            self.user.log("discovery: a change is older than the list that is held")
            raise Garbled
        self.generation = told.generation
        self._progress.entries += len(told.lines)
        self._forbid(self._sort_lines(told))
        if not stale:
            self._tell(ListKind.PATCH, [], {})
        if not self._turn_is_due:
            self._turn()

    def _check_whole(self, told: Told) -> None:
        """Raises Garbled where nothing in it can be read and something is held."""
        if self.held and told.lines and not any(self._is_good(line) for line in told.lines):
            raise Garbled
        if self.held and not told.lines:
            self.user.log("discovery: a whole list without any node")

    def _is_good(self, line: Any) -> bool:
        if name_of(line) in self.held:
            return True
        try:
            read_entry(line)
        except Garbled:
            return False
        return True

    def _sort_lines(self, told: Told) -> dict[str, Status]:
        """Lines wait by name, a later one in place of an earlier. Returns what the list forbids."""
        forbidden: dict[str, Status] = {}
        if told.whole:
            self._of_whole, self._changed = {}, {}
            self._mean_weight = self._mean_weight or mean_weight(told.lines)
        waiting, other = self._of_whole, self._changed
        if not told.whole:
            waiting, other = other, waiting
        for line in told.lines:
            name = name_of(line)
            if name is None:
                self._spoilt += 1
                continue
            status = status_of(line)
            waiting[name] = line
            other.pop(name, None)
            if status in FORBIDDEN:
                forbidden[name] = status
            elif forbidden:
                forbidden.pop(name, None)
        if told.whole and self.held:
            forbidden |= dict.fromkeys(self.held.keys() - waiting.keys(), Status.GONE)
        return forbidden

    def _forbid(self, forbidden: dict[str, Status]) -> None:
        """Names that are held get nothing more; the rest of what is to be done for them waits."""
        names = [name for name in forbidden if name in self.held]
        for name in names:
            status = forbidden[name]
            held = self.held.pop(name)
            self._left[name] = held.entry, status
            self._leave_address(held)
            if status is Status.GONE:
                self._of_whole.pop(name, None)
                self._changed.pop(name, None)
        if names:
            self.user.forbid(names)

    def _turn(self) -> None:
        """Tells some of what waits, and the rest in later turns, each after a look at what has come."""
        self._turn_is_due = False
        began = perf_counter()
        self._read(ENTRIES_A_TURN)
        self._progress.count(perf_counter() - began)
        if self.waiting:
            self._turn_is_due = True
            self.user.go_on(self._turn)
            return
        if self._progress.entries:
            self.user.events_log.tell("list", None, generation=self.generation, **self._progress.told())
        self._progress = Progress()
        if self._spoilt:
            self.user.log(f"discovery: {self._spoilt} entries can't be read")
            self._spoilt = 0
        shared = sum(self._share_address(a, b) for a, b in self._maybe_shared)
        if shared:
            self.user.log(f"discovery: {shared} nodes are listed at the address of another")
        self._maybe_shared = []

    def _read(self, most: int) -> None:
        """Tells up to so many entries: those that are forbidden, then of one of the two kinds of lists."""
        left = [self._left.pop(name) for name in list(islice(self._left, most))]
        changes = [replace(entry, status=status) for entry, status in left]
        places: dict[str, Address] = {}
        kind = ListKind.PATCH
        lines = self._changed
        if not changes and self._of_whole:
            lines, kind = self._of_whole, ListKind.PART
        while lines and len(changes) < most:
            name, line = lines.popitem()
            most -= 1
            held = self._read_line(line)
            if held is not None:
                changes.append(held.entry)
                most += 1
                if held.entry.status is Status.READY:
                    places[name] = held.place
        if changes or (self._owes_end and not self.waiting):
            self._tell(kind, changes, places)

    def _tell(self, kind: ListKind, entries: list[ServerEntry], places: dict[str, Address]) -> None:
        self._owes_end = self.waiting
        self.user.list_changed(ServerList(kind, entries, self._owes_end, self._mean_weight), places)

    def _read_line(self, line: dict[str, Any]) -> Held | None:
        """What is news of it. One that can't be read leaves what is held."""
        try:
            held = read_entry(line)
        except Garbled:
            self._spoilt += 1
            return None
        name = held.entry.server
        if held == self.held.get(name):
            return None
        before = self.held.pop(name, None)
        if before is not None:
            self._leave_address(before)
        if held.entry.status is not Status.GONE:
            self.held[name] = held
        if held.entry.status is Status.READY:
            other = self._at.get(held.place, name)
            if other != name:
                self._maybe_shared.append((other, name))
            self._at[held.place] = name
        return held

    def _share_address(self, first: str, second: str) -> bool:
        """Are both ready, and stand where the other does?"""
        two = self.held.get(first), self.held.get(second)
        ready = [held for held in two if held is not None and held.entry.status is Status.READY]
        return len(ready) == len(two) and ready[0].place == ready[1].place

    def _leave_address(self, held: Held) -> None:
        if self._at.get(held.place) == held.entry.server:
            del self._at[held.place]
