"""The list of nodes as discovery reports it, applied in slices.

Removals come first: nodes that drain, have gone or are missing from a whole list get nothing more from the
moment the list has been decoded as JSON, before any other entry is read. The other entries are kept by name
and read in batches, one for each turn of the event loop. A newer list replaces the entries of the same nodes
that are still pending, so that lists that have queued up are applied as one.
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
from magpiefront.net.config import Address, parse_address
from magpiefront.net.events import EventLog, Reason

ENTRIES_PER_TURN = 64
STATUSES = {"Ready": Status.READY, "Terminating": Status.DRAINING, "Gone": Status.GONE}
LIFECYCLES = {status: lifecycle for lifecycle, status in STATUSES.items()}
REMOVED = (Status.DRAINING, Status.GONE)


class InvalidList(Exception):
    """An answer of discovery that is not a valid list."""


@dataclass(slots=True, frozen=True)
class ListFrame:
    """An answer of discovery whose entries have not been checked yet. `whole`: it is a whole list, not a
    change of one."""

    generation: int
    whole: bool
    lines: list[Any]


@dataclass(slots=True, frozen=True)
class ListedNode:
    """A node as it is listed."""

    entry: ServerEntry
    address: Address


def read_frame(given: Any, stale: bool) -> ListFrame:
    """Checks the frame of a decoded list. A stale one always counts as whole. Raises InvalidList."""
    if not isinstance(given, dict) or not isinstance(given.get("instances"), list):
        raise InvalidList
    generation = given.get("generation")
    if not isinstance(generation, int) or isinstance(generation, bool):
        raise InvalidList
    return ListFrame(generation, stale or bool(given.get("reset", False)), given["instances"])


def read_entry(given: Any) -> ListedNode:
    """Reads one entry of a list. Raises InvalidList."""
    try:
        name, lifecycle, node_address = (
            given["instanceId"], given["lifecycle"], parse_address(given["hostPort"])
        )  # fmt: skip
        if not isinstance(name, str) or not name or lifecycle not in STATUSES:
            raise InvalidList
        entry = ServerEntry(
            name,
            STATUSES[lifecycle],
            float(given.get("weight", 1.0)),
            intern(str(given.get("zone", ""))),
            intern(str(given.get("machineType", ""))),
            int(given.get("cell", -1)),
            int(float(given.get("startedAtMs", 0)) * 1000),  # from ms; in a wrong unit a start lies far ahead
        )
    except (KeyError, TypeError, ValueError, OverflowError, AttributeError):
        raise InvalidList from None
    return ListedNode(entry, node_address)


def write_entry(node: ListedNode) -> dict[str, Any]:
    """Returns an entry in discovery's format."""
    entry, node_address = node.entry, node.address
    host = f"[{node_address[0]}]" if ":" in node_address[0] else node_address[0]
    return {
        "instanceId": entry.server,
        "hostPort": f"{host}:{node_address[1]}",
        "lifecycle": LIFECYCLES[entry.status],
        "weight": entry.weight,
        "zone": entry.zone,
        "machineType": entry.kind,
        "cell": entry.cell,
        "startedAtMs": entry.started_at_us / 1000,
    }


class EncodedEntries(Sequence[dict[str, Any]]):
    """Entries in discovery's format. Each is encoded when it is accessed."""

    def __init__(self, nodes: Sequence[ListedNode]) -> None:
        self.nodes = nodes

    def __len__(self) -> int:
        return len(self.nodes)

    @overload
    def __getitem__(self, at: int) -> dict[str, Any]: ...
    @overload
    def __getitem__(self, at: slice) -> list[dict[str, Any]]: ...
    def __getitem__(self, at: int | slice) -> dict[str, Any] | list[dict[str, Any]]:
        if isinstance(at, slice):
            return [write_entry(node) for node in self.nodes[at]]
        return write_entry(self.nodes[at])


def name_of(line: Any) -> str | None:
    """The name in an entry that has not been checked; None if it has none."""
    name = line.get("instanceId") if isinstance(line, dict) else None
    return name if isinstance(name, str) and name else None


def status_of(line: Any) -> Status | None:
    """The status in an entry that has not been checked; None if it has none."""
    lifecycle = line.get("lifecycle") if isinstance(line, dict) else None
    return STATUSES.get(lifecycle) if isinstance(lifecycle, str) else None


def mean_weight(lines: list[Any]) -> float:
    """The mean of the valid weights in entries that have not been checked; 0 if there is none."""
    weights = [line.get("weight", 1.0) for line in lines if isinstance(line, dict)]
    valid = [weight for weight in weights if isinstance(weight, int | float) and weight > 0]
    return sum(valid) / len(valid) if valid else 0.0


@dataclass(slots=True)
class Progress:
    """Counts for the event log, of the lists applied since nothing was pending last. `turns`: turns of the
    event loop; `longest_s`: the longest of them."""

    entries: int = 0
    turns: int = 0
    longest_s: float = 0.0

    def count(self, duration_s: float) -> None:
        self.turns += 1
        self.longest_s = max(self.longest_s, duration_s)

    def fields(self) -> dict[str, object]:
        """The fields of the event."""
        longest_ms = round(self.longest_s * 1000, 1)
        return {"entries": self.entries, "turns": self.turns, "longest_ms": longest_ms}


class ListReceiver(Protocol):
    """Receives what a list says."""

    loop: asyncio.AbstractEventLoop

    def forbid(self, names: Sequence[str]) -> None:
        """Sends nothing new to these nodes from now on. The rest of their entries follows."""

    def list_changed(self, server_list: ServerList, addresses: dict[str, Address]) -> None:
        """Applies some entries. `addresses` has the addresses of those that are ready."""

    def schedule_slice(self, call: Callable[[], object]) -> None:
        """Calls it in a later turn of the loop."""

    def log(self, text: str) -> None: ...

    @property
    def events_log(self) -> EventLog: ...


class Listing:
    """The list as this proxy has it. A node is removed only when discovery says so explicitly.

    `held` has the listed nodes whose entries have been read. A name is pending in at most one of
    `_whole_lines` and `_changed_lines`.
    """

    def __init__(self, receiver: ListReceiver) -> None:
        self.receiver = receiver
        self.generation = -1
        self.held: dict[str, ListedNode] = {}
        # Removed nodes that have not been reported yet: the entry that was held, and the new status.
        self._removed: dict[str, tuple[ServerEntry, Status]] = {}
        self._whole_lines: dict[str, dict[str, Any]] = {}  # pending entries of a whole list
        self._changed_lines: dict[str, dict[str, Any]] = {}  # pending entries of changes
        self._mean_weight = 0.0
        self._invalid_entries = 0
        self._by_address: dict[Address, str] = {}  # the node that was last listed as ready at an address
        self._address_conflicts: list[tuple[str, str]] = []  # two nodes that shared an address at some point
        self._end_unreported = False  # parts were reported with `more` set, and the last one was not yet
        self._turn_scheduled = False
        self._progress = Progress()

    @property
    def pending(self) -> bool:
        """Whether any entries have not been reported yet."""
        return bool(self._removed or self._whole_lines or self._changed_lines)

    def snapshot(self) -> dict[str, Any]:
        """The list as it is held now, in discovery's format, for a process that takes over. While entries are
        pending its generation is -1, so that the successor requests the whole list."""
        generation = -1 if self.pending else self.generation
        return {
            "generation": generation, "reset": True, "instances": EncodedEntries(list(self.held.values())),
        }  # fmt: skip

    def apply(self, given: Any, stale: bool = False, in_doubt: bool = False) -> None:
        """Applies a decoded list: its removals and its first entries at once, the others in later turns.

        `stale`: this is the list as it was last held, from before this process started. `in_doubt`: this may
        be the answer to an earlier call, so that a list older than the one held is rejected. Raises
        InvalidList, and changes nothing then.
        """
        frame = read_frame(given, stale)
        if in_doubt and frame.generation < self.generation:
            self.receiver.events_log.emit(
                "list", Reason.OLDER, generation=frame.generation, held=self.generation
            )
            raise InvalidList
        if frame.whole:
            self._check_whole(frame)
        elif frame.generation < self.generation:
            self.generation = -1  # the next call requests the whole list
            self.receiver.log("discovery: a change is older than the list that is held")
            raise InvalidList
        self.generation = frame.generation
        self._progress.entries += len(frame.lines)
        self._remove(self._add_pending(frame))
        if not stale:
            self._report(ListKind.PATCH, [], {})
        if not self._turn_scheduled:
            self._turn()

    def _check_whole(self, frame: ListFrame) -> None:
        """Raises InvalidList if none of the entries can be read while nodes are held."""
        if self.held and frame.lines and not any(self._is_valid(line) for line in frame.lines):
            raise InvalidList
        if self.held and not frame.lines:
            self.receiver.log("discovery: a whole list without any node")

    def _is_valid(self, line: Any) -> bool:
        if name_of(line) in self.held:
            return True
        try:
            read_entry(line)
        except InvalidList:
            return False
        return True

    def _add_pending(self, frame: ListFrame) -> dict[str, Status]:
        """Stores the entries by name; a later one replaces an earlier one. Returns the nodes that the list
        removes, with their new status."""
        removed: dict[str, Status] = {}
        if frame.whole:
            self._whole_lines, self._changed_lines = {}, {}
            self._mean_weight = self._mean_weight or mean_weight(frame.lines)
        pending, other = self._whole_lines, self._changed_lines
        if not frame.whole:
            pending, other = other, pending
        for line in frame.lines:
            name = name_of(line)
            if name is None:
                self._invalid_entries += 1
                continue
            status = status_of(line)
            pending[name] = line
            other.pop(name, None)
            if status in REMOVED:
                removed[name] = status
            elif removed:
                removed.pop(name, None)
        if frame.whole and self.held:
            removed |= dict.fromkeys(self.held.keys() - pending.keys(), Status.GONE)
        return removed

    def _remove(self, removed: dict[str, Status]) -> None:
        """Forbids the held ones of these nodes at once. Their entries are reported later."""
        names = [name for name in removed if name in self.held]
        for name in names:
            status = removed[name]
            node = self.held.pop(name)
            self._removed[name] = node.entry, status
            self._release_address(node)
            if status is Status.GONE:
                self._whole_lines.pop(name, None)
                self._changed_lines.pop(name, None)
        if names:
            self.receiver.forbid(names)

    def _turn(self) -> None:
        """Reports some of the pending entries and schedules a later turn for the others. Between two turns
        the event loop reads its sockets."""
        self._turn_scheduled = False
        began = perf_counter()
        self._read(ENTRIES_PER_TURN)
        self._progress.count(perf_counter() - began)
        if self.pending:
            self._turn_scheduled = True
            self.receiver.schedule_slice(self._turn)
            return
        if self._progress.entries:
            self.receiver.events_log.emit("list", None, generation=self.generation, **self._progress.fields())
        self._progress = Progress()
        if self._invalid_entries:
            self.receiver.log(f"discovery: {self._invalid_entries} entries can't be read")
            self._invalid_entries = 0
        shared = sum(self._share_address(a, b) for a, b in self._address_conflicts)
        if shared:
            self.receiver.log(f"discovery: {shared} nodes are listed at the address of another")
        self._address_conflicts = []

    def _read(self, max_entries: int) -> None:
        """Reports up to `max_entries` entries: removed nodes first, then entries of changes or of a whole
        list, never both in one report."""
        removed = [self._removed.pop(name) for name in list(islice(self._removed, max_entries))]
        changes = [replace(entry, status=status) for entry, status in removed]
        addresses: dict[str, Address] = {}
        kind = ListKind.PATCH
        lines = self._changed_lines
        if not changes and self._whole_lines:
            lines, kind = self._whole_lines, ListKind.PART
        while lines and len(changes) < max_entries:
            name, line = lines.popitem()
            max_entries -= 1
            node = self._read_line(line)
            if node is not None:
                changes.append(node.entry)
                max_entries += 1
                if node.entry.status is Status.READY:
                    addresses[name] = node.address
        if changes or (self._end_unreported and not self.pending):
            self._report(kind, changes, addresses)

    def _report(self, kind: ListKind, entries: list[ServerEntry], addresses: dict[str, Address]) -> None:
        self._end_unreported = self.pending
        self.receiver.list_changed(
            ServerList(kind, entries, self._end_unreported, self._mean_weight), addresses
        )

    def _read_line(self, line: dict[str, Any]) -> ListedNode | None:
        """Returns the node if its entry has changed. An entry that can't be read leaves the node as it is."""
        try:
            node = read_entry(line)
        except InvalidList:
            self._invalid_entries += 1
            return None
        name = node.entry.server
        if node == self.held.get(name):
            return None
        before = self.held.pop(name, None)
        if before is not None:
            self._release_address(before)
        if node.entry.status is not Status.GONE:
            self.held[name] = node
        if node.entry.status is Status.READY:
            other = self._by_address.get(node.address, name)
            if other != name:
                self._address_conflicts.append((other, name))
            self._by_address[node.address] = name
        return node

    def _share_address(self, first: str, second: str) -> bool:
        """Whether both nodes are ready and listed at the same address."""
        nodes = self.held.get(first), self.held.get(second)
        ready = [node for node in nodes if node is not None and node.entry.status is Status.READY]
        return len(ready) == len(nodes) and ready[0].address == ready[1].address

    def _release_address(self, node: ListedNode) -> None:
        if self._by_address.get(node.address) == node.entry.server:
            del self._by_address[node.address]
