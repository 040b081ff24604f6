"""The store in the group: the contract of a store, the results by the outcome of commands, and the bounds of
send times."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from magpiefront.group.pending import Outcome as GroupOutcome
from magpiefront.group.pending import Status
from magpiefront.group.registry import Member
from magpiefront.group.state_machines import StateMachine
from magpiefront.record.rows import UNKNOWN_BOOT, Id, Outcome, Result, Row, State
from magpiefront.record.settings import GroupStoreSettings
from magpiefront.takeover import state_machine
from magpiefront.takeover.state_machine import ReportStateMachine
from magpiefront.takeover.store import GroupStore
from tests.record.test_journal import ANSWER, row
from tests.record.test_postgres import check_store_contract
from tests.record.test_sqlite import numbered_row
from tests.sockets import run

SECOND_US = 1_000_000


class FakeRuntime:
    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()

    def now_us(self) -> int:
        return int(self.loop.time() * 1e6)

    def log(self, text: str) -> None: ...


class SingleMemberGroup:
    """A group of one member. `status` is the outcome of all its commands and reads."""

    def __init__(self) -> None:
        self.machines: dict[str, StateMachine] = {}
        self.status = Status.COMMITTED
        self.index = 0

    me, is_leader = "a.0", True

    def register(self, name: str, machine: StateMachine) -> None:
        self.machines[name] = machine

    def propose(
        self, machine: str, data: bytes, deadline_us: int, on_done: Callable[[GroupOutcome], None]
    ) -> None:
        value = b""
        if self.status is not Status.REFUSED:
            self.index += 1
            value = self.machines[machine].apply(self.index, self.me, data)
        outcome = GroupOutcome(self.status, value if self.status is Status.COMMITTED else b"", "as set")
        asyncio.get_running_loop().call_soon(on_done, outcome)

    def read(self, deadline_us: int, on_done: Callable[[GroupOutcome], None]) -> None:
        asyncio.get_running_loop().call_soon(on_done, GroupOutcome(self.status, cause="as set"))

    def may_act(self) -> int:
        return 1

    def members(self) -> dict[str, Member]:
        return {"a": Member("a.0", 1)}

    def lease_epoch(self, lease: str) -> int:
        return 0

    def acquire_lease(self, lease: str, deadline_us: int, on_done: Any) -> None: ...
    def release_lease(self, lease: str, deadline_us: int, on_done: Any) -> None: ...
    def watch(self, changed: Any) -> None: ...
    def send_hint(self, name: str, topic: str, data: bytes) -> None: ...
    def on_hint(self, topic: str, handler: Any) -> None: ...


def new_store(**more: Any) -> tuple[SingleMemberGroup, GroupStore]:
    group = SingleMemberGroup()
    return group, GroupStore(FakeRuntime(), group, GroupStoreSettings(**more), "boot")


async def call(store: GroupStore, method: Any, *args: Any, left_us: int = SECOND_US) -> Result:
    """Calls a method of the store with a deadline `left_us` from now and waits for its result."""
    done: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
    method(*args, store.runtime.now_us() + left_us, done.set_result)
    return await done


def test_the_contract_of_a_store() -> None:
    async def main() -> None:
        _, store = new_store()
        await check_store_contract(store, call)
        assert (await call(store, store.insert, numbered_row(5), left_us=0)).outcome is Outcome.NOT_DONE

    run(main())


def test_open_rows_retention_and_limits() -> None:
    async def main() -> None:
        _, store = new_store(most_rows=6, most_bytes=10_000)
        for n, state in enumerate(State):
            stored = numbered_row(n, state=state, answer=ANSWER, received_s=float(n), owner=f"m{n}.0@1/")
            await call(store, store.insert, stored)
        found: list[list[Row]] = []
        store.open_rows(10, found.append)
        store.open_rows(10, found.append, "m1.0@")
        removed: list[int] = []
        store.sweep(100.0, 10, removed.append)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert {r.state for r in found[0]} == {State.STORED, State.SENT} and len(found[1]) == 1
        assert removed == [1] and (await call(store, store.get, numbered_row(2).id)).row is None
        too_large = await call(store, store.insert, numbered_row(10, body=b"x" * 9_000))
        assert too_large.outcome is Outcome.NOT_DONE
        for n in (11, 12):
            assert (await call(store, store.insert, numbered_row(n))).outcome is Outcome.DONE
        full = await call(store, store.insert, numbered_row(13))
        assert full.outcome is Outcome.NOT_DONE and "full" in full.cause

    run(main())


@pytest.mark.parametrize(
    ("status", "write", "read"),
    [
        (Status.REFUSED, Outcome.NOT_DONE, Outcome.NOT_DONE),
        (Status.UNKNOWN, Outcome.UNCERTAIN, Outcome.NOT_DONE),
    ],
)
def test_results_by_the_status_of_a_command(status: Status, write: Outcome, read: Outcome) -> None:
    async def main() -> None:
        group, store = new_store()
        group.status = status
        assert (await call(store, store.insert, numbered_row(1))).outcome is write
        assert (await call(store, store.get, numbered_row(1).id)).outcome is read
        group.status = Status.COMMITTED
        assert ((await call(store, store.get, numbered_row(1).id)).row is None) is (status is Status.REFUSED)

    run(main())


def test_lower_bounds_of_send_times() -> None:
    machine = ReportStateMachine(100 * SECOND_US)
    insert = state_machine.encode(state_machine.Insert(row(window_s=8.0), 10, 1 << 20))
    machine.apply(1, "a", insert)  # before any read: there is no bound
    id = row().id

    def sent(now_s: float) -> tuple[str, float]:
        found = machine.get_row(id, int(now_s * SECOND_US), "boot")
        assert found is not None and found.sent is not None
        return found.sent.boot, found.sent.up_s

    assert (
        sent(101) == (UNKNOWN_BOOT, 0.0)
        and machine.open_rows("", 5, 101 * SECOND_US, "boot")[0].sent[1] == UNKNOWN_BOOT  # type: ignore[index]
    )
    assert sent(108) == ("boot", 100.0)  # its window has passed since it was found
    machine.bound_send_time(id, 102 * SECOND_US)  # on the member that proposed it
    assert sent(103) == ("boot", 102.0)
    other = replace(row(window_s=8.0), id=Id("t", "r", b"2"))
    machine.committed_after_us = 105 * SECOND_US  # a read that began then is complete
    machine.apply(2, "a", state_machine.encode(state_machine.Insert(other, 10, 1 << 20)))
    snapshot = machine.snapshot()
    machine.last_clock_us = 106 * SECOND_US
    machine.restore(snapshot)  # as sent by a leader: bounds are kept
    assert machine.sent_after_us == {id: 102 * SECOND_US, other.id: 105 * SECOND_US}
    restored = ReportStateMachine(110 * SECOND_US)
    restored.restore(snapshot)
    found = restored.get_row(other.id, 111 * SECOND_US, "boot")
    assert found is not None and found.sent is not None and found.sent.boot == UNKNOWN_BOOT
    restored.bound_send_time(Id("t", "r", b"9"), 111 * SECOND_US)  # another row: no effect
    # A claimed row keeps its bound. A row that was set back to `STORED` and is sent again gets a new one.
    before = machine.rows[other.id]
    machine.apply(
        3, "a", state_machine.encode(state_machine.change_between(before, replace(before, owner="n")))
    )
    assert machine.sent_after_us[other.id] == 105 * SECOND_US
    set_back = replace(machine.rows[other.id], state=State.STORED, sent=None)
    machine.apply(
        4, "a", state_machine.encode(state_machine.change_between(machine.rows[other.id], set_back))
    )
    machine.committed_after_us = 120 * SECOND_US
    again = replace(set_back, state=State.SENT, sent=before.sent)
    machine.apply(5, "a", state_machine.encode(state_machine.change_between(set_back, again)))
    assert machine.sent_after_us[other.id] == 120 * SECOND_US
    # The disk has failed and the log is applied again: a row committed long ago must not count as recent.
    machine.reset()
    machine.apply(2, "a", state_machine.encode(state_machine.Insert(other, 10, 1 << 20)))
    found = machine.get_row(other.id, 112 * SECOND_US, "boot")
    assert found is not None and found.sent is not None and found.sent.boot == UNKNOWN_BOOT


COMMANDS = st.lists(
    st.tuples(st.sampled_from(["insert", "change", "remove", "sweep", "noise"]), st.integers(0, 4),
              st.sampled_from(list(State)), st.sampled_from(["a", "b"])),
    max_size=40,
)  # fmt: skip


@given(COMMANDS, st.integers(0, 40))
def test_each_member_has_the_same_rows_also_from_a_snapshot(
    commands: list[tuple[str, int, State, str]], at: int
) -> None:
    one, two = ReportStateMachine(0), ReportStateMachine(5)
    for n, (kind, number, state, owner) in enumerate(commands):
        r = numbered_row(number, state=state, owner=owner, answer=ANSWER, received_s=float(n))
        command: state_machine.Command = state_machine.Insert(r, 4, 4_000)
        if kind == "change":
            command = state_machine.change_between(r, replace(r, owner="c"))
        elif kind == "remove":
            command = state_machine.Remove(r.id, state, owner)
        elif kind == "sweep":
            command = state_machine.Sweep(float(n), 2)
        data = state_machine.encode(command) if kind != "noise" else b"\xc1"
        assert one.apply(n, "a", data) == two.apply(n, "a", data)
        if n == at:
            two = ReportStateMachine(9)
            two.restore(one.snapshot())
        assert one.rows == two.rows and (
            one.total_bytes == two.total_bytes == sum(map(state_machine.row_bytes, one.rows.values()))
        )
        assert len(one.rows) <= 4 and one.total_bytes <= 4_000 + 2 * len(ANSWER.body + ANSWER.more)
