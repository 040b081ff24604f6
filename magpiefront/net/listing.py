"""The list of nodes as discovery reports it, applied in slices.

Removals come first: nodes that drain, have gone or are missing from a whole list get no new requests from the
moment the list has been decoded as JSON, before any other entry is read. The other entries are kept by name
and read in slices, one in each turn of the event loop. Entries of a newer list replace pending entries of the
same nodes, so that lists that arrive faster than they are read are applied as one.
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

ENTRIES_PER_TURN = 64  # read in one turn of the event loop, between reads of its sockets
STATUSES = {"Ready": Status.READY, "Terminating": Status.DRAINING, "Gone": Status.GONE}
LIFECYCLES = {status: lifecycle for lifecycle, status in STATUSES.items()}
REMOVED = (Status.DRAINING, Status.GONE)  # nodes with these statuses get no new requests


class InvalidList(Exception):
    """A list or an entry from discovery that is not valid, or a list that must not be applied."""


@dataclass(slots=True, frozen=True)
class ListFrame:
    """A list from discovery whose entries have not been checked yet. `whole`: it is the whole list, not only
    changes."""

    generation: int
    whole: bool
    raw_entries: list[Any]


@dataclass(slots=True, frozen=True)
class ListedNode:
    """A node as discovery lists it."""

    entry: ServerEntry
    address: Address


def read_frame(decoded: Any, stale: bool) -> ListFrame:
    """Checks a decoded list, except its entries. A stale list always counts as whole. Raises InvalidList."""
    if not isinstance(decoded, dict) or not isinstance(decoded.get("instances"), list):
        raise InvalidList
    generation = decoded.get("generation")
    if not isinstance(generation, int) or isinstance(generation, bool):
        raise InvalidList
    return ListFrame(generation, stale or bool(decoded.get("reset", False)), decoded["instances"])


def read_entry(raw_entry: Any) -> ListedNode:
    """Reads one entry of a decoded list. Raises InvalidList if it is not valid."""
    try:
        name, lifecycle, node_address = (
            raw_entry["instanceId"], raw_entry["lifecycle"], parse_address(raw_entry["hostPort"])
        )  # fmt: skip
        if not isinstance(name, str) or not name or lifecycle not in STATUSES:
            raise InvalidList
        entry = ServerEntry(
            name,
            STATUSES[lifecycle],
            float(raw_entry.get("weight", 1.0)),
            intern(str(raw_entry.get("zone", ""))),
            intern(str(raw_entry.get("machineType", ""))),
            int(raw_entry.get("cell", -1)),
            # From ms to µs. With a wrong unit, the start would lie far in the future.
            round(float(raw_entry.get("startedAtMs", 0)) * 1000),
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
    """A sequence of entries in discovery's format. Each is encoded only when it is accessed."""

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


def name_of(raw_entry: Any) -> str | None:
    """The name in an entry that has not been checked; None if it has none."""
    name = raw_entry.get("instanceId") if isinstance(raw_entry, dict) else None
    return name if isinstance(name, str) and name else None


def status_of(raw_entry: Any) -> Status | None:
    """The status in an entry that has not been checked; None if it has none."""
    lifecycle = raw_entry.get("lifecycle") if isinstance(raw_entry, dict) else None
    return STATUSES.get(lifecycle) if isinstance(lifecycle, str) else None


def mean_weight(raw_entries: list[Any]) -> float:
    """The mean of the valid weights in entries that have not been checked; 0 if there is none."""
    weights = [raw_entry.get("weight", 1.0) for raw_entry in raw_entries if isinstance(raw_entry, dict)]
    valid = [weight for weight in weights if isinstance(weight, int | float) and weight > 0]
    return sum(valid) / len(valid) if valid else 0.0


@dataclass(slots=True)
class Progress:
    """Counts for the event log, of all lists applied since nothing was pending last.

    `entries`: entries received; `turns`: turns of the event loop in which they were read; `longest_s`: how
    long the longest of these turns took.
    """

    entries: int = 0
    turns: int = 0
    longest_s: float = 0.0

    def count(self, duration_s: float) -> None:
        self.turns += 1
        self.longest_s = max(self.longest_s, duration_s)

    def fields(self) -> dict[str, object]:
        """Returns the key=value fields of the event."""
        longest_ms = round(self.longest_s * 1000, 1)
        return {"entries": self.entries, "turns": self.turns, "longest_ms": longest_ms}


class ListReceiver(Protocol):
    """Applies to the proxy what a list says."""

    loop: asyncio.AbstractEventLoop

    def stop_sending(self, names: Sequence[str]) -> None:
        """Stops new requests to these nodes at once. Their entries follow with `list_changed`."""

    def list_changed(self, server_list: ServerList, addresses: dict[str, Address]) -> None:
        """Applies some entries. `addresses` holds the addresses of those that are ready."""

    def schedule_slice(self, call: Callable[[], object]) -> None:
        """Calls `call` in a later turn of the event loop."""

    def log(self, text: str) -> None: ...

    @property
    def events_log(self) -> EventLog: ...


class Listing:
    """The list of nodes as this proxy holds it. A node is removed only if discovery says so: by an entry, or
    by a whole list without it.

    `held` holds the listed nodes whose entries have been read, by name. A name is in at most one of
    `_pending_whole` and `_pending_changes`.
    """

    def __init__(self, receiver: ListReceiver) -> None:
        self.receiver = receiver
        self.generation = -1
        self.held: dict[str, ListedNode] = {}
        # Removed nodes that have not been reported yet: the entry that was held, and the new status.
        self._removed: dict[str, tuple[ServerEntry, Status]] = {}
        self._pending_whole: dict[str, dict[str, Any]] = {}  # entries of a whole list that have not been read
        self._pending_changes: dict[str, dict[str, Any]] = {}  # entries of changes that have not been read
        self._mean_weight = 0.0  # of the first whole list with valid weights; 0: not known
        self._invalid_entries = 0
        self._by_address: dict[Address, str] = {}  # the node that was listed last as ready at each address
        # The nodes that have been listed as ready at an address together with others, by that address, and
        # the addresses among them where that has changed since it was last decided which process is there.
        self._sharing: dict[Address, dict[str, None]] = {}
        self._undecided: dict[Address, None] = {}
        # Nodes that are listed at the address of one that was started later. Another process is there now, so
        # they are reported as gone.
        self._superseded: set[str] = set()
        self._end_unreported = False  # the latest report had `more` set: another must follow
        self._slice_scheduled = False
        self._progress = Progress()

    @property
    def pending(self) -> bool:
        """Whether any entries have not been reported yet."""
        return bool(self._removed or self._pending_whole or self._pending_changes)

    def snapshot(self) -> dict[str, Any]:
        """Returns the list that is held now, in discovery's format, for the process that takes over. While
        entries are pending, its generation is -1, so that the successor requests the whole list."""
        generation = -1 if self.pending else self.generation
        return {
            "generation": generation, "reset": True, "instances": EncodedEntries(list(self.held.values())),
        }  # fmt: skip

    def apply(self, decoded: Any, stale: bool = False, reject_older: bool = False) -> None:
        """Applies a decoded list: its removals and its first entries at once, the others in later turns.

        `stale`: the list is from before this process started. `reject_older`: the list may be the answer to
        an earlier call, so it is rejected if it is older than the list that is held. Raises InvalidList if
        the list is invalid or rejected; the nodes that are held then stay as they are.
        """
        frame = read_frame(decoded, stale)
        if reject_older and frame.generation < self.generation:
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
        self._progress.entries += len(frame.raw_entries)
        self._remove(self._add_pending(frame))
        if not stale:
            self._report(ListKind.PATCH, [], {})
        if not self._slice_scheduled:
            self._read_slice()

    def _check_whole(self, frame: ListFrame) -> None:
        """Raises InvalidList if nodes are held and the list has entries of which none is valid."""
        if self.held and frame.raw_entries and not any(self._is_valid(raw) for raw in frame.raw_entries):
            raise InvalidList
        if self.held and not frame.raw_entries:
            self.receiver.log("discovery: a whole list without any node")

    def _is_valid(self, raw_entry: Any) -> bool:
        """Whether an entry can be read, or has the name of a node that is held."""
        if name_of(raw_entry) in self.held:
            return True
        try:
            read_entry(raw_entry)
        except InvalidList:
            return False
        return True

    def _add_pending(self, frame: ListFrame) -> dict[str, Status]:
        """Adds the list's entries to the pending ones by name; a later entry replaces an earlier one of the
        same name. Returns the names of the nodes that the list removes, with their new status."""
        removed: dict[str, Status] = {}
        if frame.whole:
            self._pending_whole, self._pending_changes = {}, {}
            self._mean_weight = self._mean_weight or mean_weight(frame.raw_entries)
        pending, other = self._pending_whole, self._pending_changes
        if not frame.whole:
            pending, other = other, pending
        for raw_entry in frame.raw_entries:
            name = name_of(raw_entry)
            if name is None:
                self._invalid_entries += 1
                continue
            status = status_of(raw_entry)
            pending[name] = raw_entry
            other.pop(name, None)
            if status in REMOVED:
                removed[name] = status
            elif removed:
                removed.pop(name, None)
        if frame.whole and self.held:
            removed |= dict.fromkeys(self.held.keys() - pending.keys(), Status.GONE)
        return removed

    def _remove(self, removed: dict[str, Status]) -> None:
        """Removes those of these nodes that are held, and stops new requests to them at once. Their entries
        are reported later."""
        names = [name for name in removed if name in self.held]
        for name in names:
            status = removed[name]
            node = self.held.pop(name)
            self._removed[name] = node.entry, status
            self._release_address(node)
            if status is Status.GONE:
                self._pending_whole.pop(name, None)
                self._pending_changes.pop(name, None)
        if names:
            self.receiver.stop_sending(names)

    def _read_slice(self) -> None:
        """Reads some of the pending entries and schedules the next slice for a later turn of the event loop,
        which reads its sockets between two turns. Logs a summary once nothing is pending."""
        self._slice_scheduled = False
        began = perf_counter()
        self._read_pending(ENTRIES_PER_TURN)
        self._progress.count(perf_counter() - began)
        if self.pending:
            self._schedule_slice()
            return
        if self._progress.entries:
            self.receiver.events_log.emit("list", None, generation=self.generation, **self._progress.fields())
        self._progress = Progress()
        if self._invalid_entries:
            self.receiver.log(f"discovery: {self._invalid_entries} entries can't be read")
            self._invalid_entries = 0
        shared = sum(self._decide_address(address) for address in self._undecided)
        if shared:
            self.receiver.log(f"discovery: {shared} nodes are listed at the address of another")
        self._undecided = {}
        if self.pending:
            self._schedule_slice()

    def _schedule_slice(self) -> None:
        self._slice_scheduled = True
        self.receiver.schedule_slice(self._read_slice)

    def _read_pending(self, max_entries: int) -> None:
        """Reads up to `max_entries` entries and reports those that have changed: removed nodes first, then
        entries of changes or of a whole list, never both in one report."""
        removed = [self._removed.pop(name) for name in list(islice(self._removed, max_entries))]
        changes = [replace(entry, status=status) for entry, status in removed]
        addresses: dict[str, Address] = {}
        kind = ListKind.PATCH
        raw_entries = self._pending_changes
        if not changes and self._pending_whole:
            raw_entries, kind = self._pending_whole, ListKind.PART
        while raw_entries and len(changes) < max_entries:
            name, raw_entry = raw_entries.popitem()
            max_entries -= 1
            node = self._update_held(raw_entry)
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

    def _update_held(self, raw_entry: dict[str, Any]) -> ListedNode | None:
        """Updates the node that is held, and returns it if its entry has changed. An entry that can't be read
        leaves the node as it is."""
        try:
            node = read_entry(raw_entry)
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
                self._sharing.setdefault(node.address, {})[other] = None
            if node.address in self._sharing:
                self._sharing[node.address][name] = self._undecided[node.address] = None
            self._by_address[node.address] = name
        return node

    def _release_address(self, node: ListedNode) -> None:
        """Called when a node is no longer listed as it was."""
        self._superseded.discard(node.entry.server)
        if self._by_address.get(node.address) == node.entry.server:
            del self._by_address[node.address]
        if node.address in self._sharing:
            self._undecided[node.address] = None

    def _decide_address(self, address: Address) -> int:
        """Decides which of the nodes at an address are there: those that were started last. Removes the
        others, and reads those again that had been removed so and now are there. Returns how many nodes share
        the address with another."""
        held = [self.held[name] for name in self._sharing[address] if name in self.held]
        ready = [node for node in held if node.entry.status is Status.READY and node.address == address]
        self._sharing[address] = dict.fromkeys(node.entry.server for node in ready)
        if len(ready) < 2:
            del self._sharing[address]
        last_start_us = max((node.entry.started_at_us for node in ready), default=0)
        for node in ready:
            name = node.entry.server
            if node.entry.started_at_us == last_start_us:
                self._by_address[address] = name
                if name in self._superseded:
                    self._superseded.discard(name)
                    self._pending_changes[name] = write_entry(self.held.pop(name))
            elif name not in self._superseded:
                self._superseded.add(name)
                self._removed[name] = node.entry, Status.GONE
                self.receiver.stop_sending([name])
        return max(0, len(ready) - 1)
