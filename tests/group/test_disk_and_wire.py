"""Tests of a member's file (truncated, on a full disk, locked) and of invalid and foreign messages."""

from __future__ import annotations

import json
import sqlite3
import time
from collections.abc import Callable
from pathlib import Path
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from magpiefront.group import wire
from magpiefront.group.pending import Outcome, Status
from magpiefront.group.disk import MIGRATIONS, GroupDisk, load_state, write
from magpiefront.group.messages import Append, Conf, Entry, EntryKind, Ping, Snapshot
from magpiefront.group.durable import HardState, Write
from magpiefront.group.service import GroupService
from magpiefront.group.settings import GroupSettings, Limits
from magpiefront.sqlfile import open_database
from tests.record.test_sqlite import FakeRuntime

TRUNCATIONS = 500  # number of lengths to which the write-ahead log is truncated


def entry(n: int, term: int = 1, size: int = 200) -> Entry:
    return Entry(term, n, EntryKind.COMMAND, b"%d" % n + b"x" * size, "a.0", n)


def test_a_truncated_write_ahead_log_keeps_all_synced_entries(tmp_path: Path) -> None:
    """Truncates the log at evenly spaced places of its last MiB, as a crash in the middle of a write does."""
    path, wal = tmp_path / "g", tmp_path / "g-wal"
    db, sizes = open_database(path, MIGRATIONS), list[int]()
    load_state(db)
    for n in range(2, 60):
        write(db, Write(HardState(1, "a.0"), [entry(n, size=4_000)]))
        sizes.append(wal.stat().st_size)
    main, data = path.read_bytes(), wal.read_bytes()
    db.close()
    step = min(len(data), 1 << 20) // TRUNCATIONS
    for at in range(len(data) - TRUNCATIONS * step, len(data), step):
        copy = tmp_path / f"c{at}"
        copy.write_bytes(main)
        Path(f"{copy}-wal").write_bytes(data[:at])
        db = open_database(copy, MIGRATIONS)
        found = [e.index for e in load_state(db).entries]
        db.close()
        copy.unlink()
        synced = sum(size <= at for size in sizes)
        assert found[:synced] == list(range(2, 2 + synced)) and found == list(range(2, 2 + len(found))), at


def test_writes_are_read_back_and_replace_earlier_state(tmp_path: Path) -> None:
    db = open_database(tmp_path / "g", MIGRATIONS)
    assert load_state(db).is_empty
    write(db, Write(HardState(2, "b.0"), [entry(n) for n in range(2, 9)]))
    write(db, Write(HardState(3, ""), [entry(5, 3), entry(6, 3)]))
    snapshot = Snapshot(4, 2, Conf(frozenset({"a.0"}), frozenset({"b.1"})), b"facts")
    write(db, Write(HardState(3, ""), [], snapshot, False, 3))
    s = load_state(db)
    assert (s.process_number, s.hard_state, s.snapshot, s.incarnation) == (2, HardState(3, ""), snapshot, "0")
    assert [(e.index, e.term) for e in s.entries] == [(4, 1), (5, 3), (6, 3)]
    write(db, Write(HardState(3, ""), [], Snapshot(9, 3, snapshot.conf, b"all"), True))
    assert not load_state(db).entries
    replaced = load_state(db, Random(1))
    assert replaced.is_empty and replaced.incarnation != "0" and replaced.process_number == 1


def test_the_file_is_locked_while_it_is_open(tmp_path: Path) -> None:
    disk = GroupDisk(FakeRuntime(), tmp_path / "g", lambda cause: None)
    disk.start()
    other = sqlite3.connect(tmp_path / "g", timeout=0)
    with pytest.raises(sqlite3.OperationalError, match="locked"):
        other.execute("SELECT * FROM own")
    other.close()
    disk.stop()
    assert disk.start().process_number == 2
    disk.stop()


class NullTransport:
    """Counts messages and sends none."""

    def __init__(self) -> None:
        from collections import Counter

        self.counts: Counter[str] = Counter()

    def send(self, name: str, data: bytes) -> None:
        self.counts["sent"] += 1

    def stop(self) -> None:
        pass


class ManualRuntime(FakeRuntime):
    """A runtime whose timers and callbacks run only in `run_until`."""

    def __init__(self) -> None:
        super().__init__()
        self.timers: list[tuple[Callable[..., object], tuple[object, ...]]] = []

    def call_later(self, delay: float, callback: Callable[..., object], *args: object) -> ManualRuntime:
        self.timers = [(callback, args)]
        return self

    def call_soon(self, callback: Callable[..., object], *args: object) -> None:
        self.callbacks.put((callback, args))

    def cancel(self) -> None:
        self.timers = []

    def create_task(self, coro: object) -> None:
        coro.close()  # type: ignore[attr-defined]


def start_single_member(tmp_path: Path) -> tuple[ManualRuntime, GroupService]:
    runtime = ManualRuntime()
    settings = GroupSettings("g", "a", ("127.0.0.1", 1), tmp_path / "g", {"a": ("127.0.0.1", 1)},
                             frozenset({"a"}), limits=Limits(most_message=4_096))  # fmt: skip
    service = GroupService(runtime, settings, 1)
    service.start(NullTransport())
    return runtime, service


def run_until(runtime: ManualRuntime, condition: Callable[[], object]) -> None:
    end = time.monotonic() + 20
    while not condition():
        assert time.monotonic() < end
        for callback, args in runtime.timers:
            callback(*args)
        while not runtime.callbacks.empty():
            callback, args = runtime.callbacks.get()
            callback(*args)
        time.sleep(0.005)


def test_a_disk_failure_takes_the_member_out_and_logs_one_line(tmp_path: Path) -> None:
    runtime, service = start_single_member(tmp_path)
    run_until(runtime, service.may_act)
    assert service.disk.db is not None
    service.disk.db.execute("PRAGMA max_page_count=1")  # simulates a full disk
    outcomes: list[Outcome] = []
    for _ in range(40):
        service.propose("facts", b"x" * 900, runtime.now_us() + 10**7, outcomes.append)
    run_until(runtime, lambda: service.peer is None and len(outcomes) == 40)
    assert not service.may_act() and service.me == ""
    assert {o.status for o in outcomes} <= {Status.UNKNOWN, Status.REFUSED, Status.COMMITTED}
    assert sum("out of the vote" in line for line in runtime.logged) == 1
    assert "full" in service.status()["cause"]
    service.propose("facts", b"x", runtime.now_us() + 10**6, outcomes.append)
    run_until(runtime, lambda: len(outcomes) == 41)
    assert outcomes[-1].status is Status.REFUSED
    service.stop()


class RecordingMachine:
    """A state machine whose state is the list of applied commands."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def reset(self) -> None:
        self.commands = []

    def apply(self, index: int, origin: str, data: bytes) -> bytes:
        self.commands.append(data)
        return b"done"

    def snapshot(self) -> bytes:
        return b" ".join(self.commands)

    def restore(self, data: bytes) -> None:
        self.commands = data.split()


@pytest.mark.parametrize("snapshot", [False, True])
def test_each_command_is_applied_once_after_a_disk_failure(snapshot: bool, tmp_path: Path) -> None:
    runtime, service = start_single_member(tmp_path)
    run_until(runtime, service.may_act)
    machine = RecordingMachine()  # registered after the start, so that no snapshot contains it
    service.register("lines", machine)
    service._on_disk_failure("before any command")
    service._begin(service.disk.start())
    run_until(runtime, service.may_act)
    outcomes: list[Outcome] = []
    for n in range(4):
        if n == 2 and snapshot and service.peer is not None:
            service.peer.snapshot()
        service.propose("lines", b"%d" % n, runtime.now_us() + 10**7, outcomes.append)
        run_until(runtime, lambda: len(outcomes) == n + 1)  # noqa: B023
    service._on_disk_failure("full")
    service._begin(service.disk.start())
    run_until(runtime, service.may_act)
    service.read(runtime.now_us() + 10**7, outcomes.append)
    run_until(runtime, lambda: len(outcomes) == 5)
    assert {o.status for o in outcomes} == {Status.COMMITTED}
    assert machine.commands == [b"0", b"1", b"2", b"3"]
    service.stop()


def test_invalid_and_foreign_messages_are_counted_and_change_nothing(tmp_path: Path) -> None:
    runtime, service = start_single_member(tmp_path)
    run_until(runtime, service.may_act)
    before = service.status()["term"]
    m = Append(term=99, prev=1, prev_term=0, entries=[], commit=1, round=1)
    frame = wire.encode_frame("g", "a.0", "a.0", m)[wire.LENGTH_BYTES :]
    for data, count in (
        (frame[:-3], "unreadable"),
        (b"", "unreadable"),
        (b"\xc1" * 50, "unreadable"),
        (b"\x91" * 5_000, "unreadable"),
        (msgspec.msgpack.encode(["g", "a.0", "a.0", {"type": "Later", "x": 1}]), "unreadable"),
        (wire.encode_frame("other", "a.0", "a.0", m)[wire.LENGTH_BYTES :], "strangers"),
        (wire.encode_frame("g", "zz.0", "a.0", m)[wire.LENGTH_BYTES :], "strangers"),
        (wire.encode_frame("g", "a.0", "a.77", m)[wire.LENGTH_BYTES :], "other_incarnation"),
    ):
        counted = service.counts[count]
        service.receive(data)
        assert service.counts[count] == counted + 1, data[:40]
    assert service.status()["term"] == before
    service.stop()


def test_fields_added_by_a_later_version_are_ignored() -> None:
    message = msgspec.to_builtins(Ping(seq=3, process_number=2)) | {"mood": "fair"}
    envelope = wire.decode(msgspec.msgpack.encode(["g", "a.0", "b.0", message, "more"]))
    assert envelope is not None and envelope.message == Ping(seq=3, process_number=2)


@given(st.lists(st.binary(max_size=60), max_size=6), st.integers(1, 9))
def test_frames_come_back_whole_however_they_are_cut(messages: list[bytes], step: int) -> None:
    stream = b"".join(len(m).to_bytes(wire.LENGTH_BYTES, "big") + m for m in messages)
    reader, found = wire.FrameReader(64), list[bytes]()
    for at in range(0, len(stream), step):
        found += reader.feed(stream[at : at + step])
    assert found == messages and not reader.buffer


def test_a_message_that_is_too_long_is_rejected_by_its_length_alone() -> None:
    with pytest.raises(wire.FrameTooLong):
        wire.FrameReader(1 << 20).feed((100 << 20).to_bytes(wire.LENGTH_BYTES, "big"))


def test_status_and_metrics_of_a_single_member(tmp_path: Path) -> None:
    runtime, service = start_single_member(tmp_path)
    run_until(runtime, service.may_act)
    status = json.loads(json.dumps(service.status()))
    metrics = dict(line.rsplit(" ", 1) for line in service.metrics().splitlines())
    assert metrics["svc_group_leads"] == "1" and metrics['svc_group_members{state="well"}'] == "1"
    assert status["members"]["a"]["state"] == "well" and status["leader"] == "a.0" and status["epoch"] == 1
    service.stop()
