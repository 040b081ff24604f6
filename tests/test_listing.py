"""Lists of thousands of nodes: valid and invalid ones, applied in slices, and replaced while pending."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import pytest

from magpiefront.interface import ServerList, Status
from magpiefront.net.config import Address
from magpiefront.net.events import EventLog
from magpiefront.net.listing import ENTRIES_PER_TURN, InvalidList, Listing
from tests.sockets import run, until

LARGE = 3_200


def entry_of(number: int, lifecycle: str = "Ready", **more: Any) -> dict[str, Any]:
    host_port = f"127.0.{number >> 8}.{number & 255}:7000"
    return {"instanceId": f"s-{number}", "hostPort": host_port, "lifecycle": lifecycle, **more}


def list_of(generation: int, entries: list[Any], reset: bool = False) -> dict[str, Any]:
    return {"generation": generation, "reset": reset, "instances": entries}


@dataclass
class Receiver:
    """Receives the reports of a Listing in place of a proxy, and records them."""

    loop: asyncio.AbstractEventLoop
    ready: dict[str, Address] = field(default_factory=dict)
    events: list[ServerList] = field(default_factory=list)
    log_lines: list[str] = field(default_factory=list)

    def stop_sending(self, names: Sequence[str]) -> None:
        for name in names:
            self.ready.pop(name, None)

    def list_changed(self, server_list: ServerList, addresses: dict[str, Address]) -> None:
        self.events.append(server_list)
        for entry in server_list.entries:
            if entry.status is Status.READY:
                self.ready[entry.server] = addresses[entry.server]
            else:
                self.ready.pop(entry.server, None)

    @property
    def events_log(self) -> EventLog:
        return EventLog(self.loop.time)

    def schedule_slice(self, call: Callable[[], object]) -> None:
        self.loop.call_soon(call)

    def log(self, text: str) -> None:
        self.log_lines.append(text)


def with_large_list(scenario: Callable[[Listing, Receiver], Any]) -> None:
    """Runs a scenario with a Listing to which a list of LARGE nodes has been applied."""

    async def main() -> None:
        receiver = Receiver(asyncio.get_running_loop())
        listing = Listing(receiver)
        listing.apply(list_of(1, [entry_of(n) for n in range(LARGE)], reset=True))
        await until(lambda: not listing.pending)
        assert len(receiver.ready) == LARGE and not receiver.events[-1].more
        receiver.events.clear()
        await scenario(listing, receiver)

    run(main())


def test_what_a_list_forbids_counts_before_any_other_entry_is_read() -> None:
    async def scenario(listing: Listing, receiver: Receiver) -> None:
        entries = [entry_of(n) for n in range(LARGE, 2 * LARGE)] + [
            entry_of(n, "Terminating") for n in range(300)
        ]
        listing.apply(list_of(2, entries))
        assert not any(f"s-{n}" in receiver.ready for n in range(300))
        assert len(receiver.ready) == LARGE - 300
        await until(lambda: not listing.pending)
        assert len(receiver.ready) == 2 * LARGE - 300
        assert max(len(e.entries) for e in receiver.events[1:]) <= ENTRIES_PER_TURN
        assert [e.more for e in receiver.events] == [True] * (len(receiver.events) - 1) + [False]

    with_large_list(scenario)


def test_a_newer_list_replaces_pending_entries() -> None:
    async def scenario(listing: Listing, receiver: Receiver) -> None:
        listing.apply(list_of(2, [entry_of(n) for n in range(LARGE, 2 * LARGE)]))
        listing.apply(list_of(3, [entry_of(2 * LARGE - 1, "Terminating"), entry_of(2 * LARGE - 2, "Gone")]))
        listing.apply(list_of(4, [entry_of(n) for n in range(10)], reset=True))
        await until(lambda: not listing.pending)
        assert set(receiver.ready) == set(listing.held) == {f"s-{n}" for n in range(10)}

    with_large_list(scenario)


def test_a_node_that_drains_while_its_entry_is_pending_is_never_ready() -> None:
    async def scenario(listing: Listing, receiver: Receiver) -> None:
        listing.apply(list_of(2, [entry_of(n) for n in range(LARGE, 2 * LARGE)], reset=True))
        listing.apply(list_of(3, [entry_of(LARGE, "Terminating")]))
        assert listing.pending
        await until(lambda: not listing.pending)
        entries = [entry for event in receiver.events for entry in event.entries]
        assert [e.status for e in entries if e.server == f"s-{LARGE}"] == [Status.DRAINING]
        assert len(receiver.ready) == LARGE - 1

    with_large_list(scenario)


VALID = [entry_of(n) for n in range(LARGE)]


@pytest.mark.parametrize(
    ("answer", "logged"),
    [
        (list_of(2, [*VALID[:-1], {"instanceId": f"s-{LARGE - 1}"}], reset=True), "1 entries can't be read"),
        (list_of(2, VALID + VALID, reset=True), ""),
        (list_of(2, VALID[::-1], reset=True), ""),
        (json.loads(json.dumps(list_of(2, VALID, reset=True), indent=8)), ""),
        (list_of(2, [7, None, {"instanceId": []}]), "3 entries can't be read"),
        (list_of(2, [{"instanceId": "s-1", "lifecycle": ["Gone"]}]), "1 entries can't be read"),
    ],
    ids=["one entry invalid", "doubled", "out of order", "indented", "no entries", "a lifecycle of lists"],
)
def test_invalid_entries_leave_the_held_nodes_unchanged(answer: dict[str, Any], logged: str) -> None:
    async def scenario(listing: Listing, receiver: Receiver) -> None:
        listing.apply(answer)
        await until(lambda: not listing.pending)
        assert len(receiver.ready) == len(listing.held) == LARGE
        assert len(receiver.log_lines) <= 1 and logged in "".join(receiver.log_lines)

    with_large_list(scenario)


@pytest.mark.parametrize(
    "answer",
    [
        list_of(0, [entry_of(1, "Gone")]), list_of(2, [{}, {}], reset=True),
        {"generation": 2, "instances": "cut off"},
    ],
    ids=["a generation that goes back", "nothing in it is a node", "cut off"],
)  # fmt: skip
def test_an_invalid_list_changes_nothing(answer: dict[str, Any]) -> None:
    async def scenario(listing: Listing, receiver: Receiver) -> None:
        with pytest.raises(InvalidList):
            listing.apply(answer)
        assert len(receiver.ready) == len(listing.held) == LARGE and not listing.pending

    with_large_list(scenario)


def test_an_empty_whole_list_is_applied_and_logged() -> None:
    async def scenario(listing: Listing, receiver: Receiver) -> None:
        listing.apply(list_of(2, [], reset=True))
        assert not receiver.ready and receiver.log_lines == ["discovery: a whole list without any node"]

    with_large_list(scenario)


def test_two_nodes_at_one_address_are_logged_and_both_kept() -> None:
    async def scenario(listing: Listing, receiver: Receiver) -> None:
        listing.apply(list_of(1, [entry_of(n) for n in range(LARGE)], reset=True))
        await until(lambda: not listing.pending)
        shared_address = entry_of(7)["hostPort"]
        listing.apply(list_of(2, [{**entry_of(LARGE), "hostPort": shared_address}]))
        await until(lambda: not listing.pending)
        assert receiver.log_lines == ["discovery: 1 nodes are listed at the address of another"]
        assert receiver.ready["s-7"] == receiver.ready[f"s-{LARGE}"]

    with_large_list(scenario)


OLD, NEW = entry_of(1, startedAtMs=1_000), {**entry_of(2, startedAtMs=2_000), "hostPort": "127.0.0.1:7000"}


@pytest.mark.parametrize("first", [OLD, NEW], ids=["the old one is listed first", "the new one first"])
@pytest.mark.parametrize(
    ("change", "ready_then"),
    [
        ([], {"s-2"}),
        ([{**NEW, "lifecycle": "Gone"}], {"s-1"}),
        ([{**NEW, "lifecycle": "Terminating"}], {"s-1"}),
        ([{**NEW, "hostPort": "127.0.0.9:7000"}], {"s-1", "s-2"}),
        ([{**OLD, "lifecycle": "Gone"}], {"s-2"}),
        ([{**OLD, "hostPort": "127.0.0.9:7000"}], {"s-1", "s-2"}),
        ([{**OLD, "startedAtMs": 3_000}], {"s-1"}),
        ([{**NEW, "weight": 2.0}], {"s-2"}),
        ([{**NEW, "lifecycle": "Gone"}, {**OLD, "lifecycle": "Gone"}], set()),
    ],
)
def test_nothing_is_sent_to_the_earlier_of_two_processes_at_one_address(
    first: dict[str, Any], change: list[dict[str, Any]], ready_then: set[str]
) -> None:
    async def main() -> None:
        receiver = Receiver(asyncio.get_running_loop())
        listing = Listing(receiver)
        listing.apply(list_of(1, [first], reset=True))
        await until(lambda: not listing.pending)
        listing.apply(list_of(2, [OLD, NEW]))
        await until(lambda: not listing.pending)
        assert receiver.ready.keys() == {"s-2"} and not receiver.events[-1].more
        listing.apply(list_of(3, change))
        await until(lambda: not listing.pending)
        assert receiver.ready.keys() == ready_then and not receiver.events[-1].more
        assert len(receiver.log_lines) <= 3

    run(main())


@pytest.mark.parametrize("lifecycle", ["Terminating", "Gone"])
def test_a_node_at_the_address_of_a_removed_one_is_no_conflict(lifecycle: str) -> None:
    async def scenario(listing: Listing, receiver: Receiver) -> None:
        listing.apply(list_of(1, [entry_of(n) for n in range(9)], reset=True))
        await until(lambda: not listing.pending)
        swapped = (
            {**entry_of(1), "hostPort": entry_of(2)["hostPort"]},
            {**entry_of(2), "hostPort": entry_of(1)["hostPort"]},
        )
        new = {**entry_of(LARGE), "hostPort": entry_of(7)["hostPort"]}
        listing.apply(list_of(2, [new, entry_of(7, lifecycle), *swapped]))
        await until(lambda: not listing.pending)
        assert receiver.log_lines == [] and f"s-{LARGE}" in receiver.ready

    with_large_list(scenario)
