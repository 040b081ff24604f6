"""The SQLite store: an id is stored once, a change is durable before it ends as DONE, and a change that ends
as NOT_DONE has no effect."""

from __future__ import annotations

import asyncio
import queue
import shutil
import sqlite3
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any, cast

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from magpiefront.record.rows import Answer, Attempt, Id, Moment, Outcome, Result, Row, State
from magpiefront.record.settings import SqliteSettings
from magpiefront.record.sqlite import (
    INSERT, MIGRATIONS, BadStore, SqliteStore, open_file, encode_row, rows, run_jobs,
)  # fmt: skip
from tests.record.test_journal import ANSWER, row


class FakeRuntime:
    """A runtime whose event loop is the thread of the test."""

    def __init__(self) -> None:
        self.callbacks: queue.Queue[tuple[Callable[..., object], tuple[Any, ...]]] = queue.Queue()
        self.logged: list[str] = []
        self.loop = cast(asyncio.AbstractEventLoop, self)

    def call_soon_threadsafe(self, callback: Callable[..., object], *args: Any) -> object:
        self.callbacks.put((callback, args))
        return None

    def now_us(self) -> int:
        return time.monotonic_ns() // 1_000

    def log(self, text: str) -> None:
        self.logged.append(text)

    def run_until(self, condition: Callable[[], bool]) -> None:
        """Runs callbacks until the condition holds. Fails after 20 seconds."""
        deadline = time.monotonic() + 20
        while not condition():
            assert time.monotonic() < deadline, "the condition did not become true"
            callback, args = self.callbacks.get(timeout=20)
            callback(*args)


@contextmanager
def open_store(path: Path, **options: Any) -> Iterator[SqliteStore]:
    most_waiting = options.pop("most_waiting", 1_000)
    store = SqliteStore(FakeRuntime(), SqliteSettings(path, **options), most_waiting)
    store.start()
    try:
        yield store
    finally:
        store.stop()


def call(store: SqliteStore, method: Callable[..., None], *args: Any, left_us: int = 10_000_000) -> Result:
    """Calls a method of the store with a deadline in `left_us`, and waits for its result."""
    runtime = store.runtime
    assert isinstance(runtime, FakeRuntime)
    results: list[Result] = []
    method(*args, runtime.now_us() + left_us, results.append)
    runtime.run_until(lambda: bool(results))
    return results[0]


def numbered_row(n: int, **fields: object) -> Row:
    return replace(row(), id=Id("members", "field-report", b"k%d" % n), **fields)  # type: ignore[arg-type]


def read_rows(path: Path) -> list[Row]:
    db = open_file(path)
    try:
        return list(rows(db))
    finally:
        db.close()


def test_a_row_is_read_as_it_was_written(tmp_path: Path) -> None:
    full = row(
        state=State.CONFIRMED, answer=Answer(201, b"A: b\r\n", bytes(range(256))), note="as told",
        attempts=(Attempt("s-1", 1.5), Attempt("s-2", 2.5)), body=bytes(range(256)),
    )  # fmt: skip
    minimal = replace(full, id=Id("", "", b""), sent=None, answer=None)
    long_key = replace(full, id=Id("t", "k", b"\0\xff" * 5_000), sent=Moment(1.0, "b", 2.0))
    with open_store(tmp_path / "r.sqlite") as store:
        for r in (full, minimal, long_key):
            assert call(store, store.insert, r).outcome is Outcome.DONE
            assert call(store, store.get, r.id).row == r
    assert {r.id for r in read_rows(tmp_path / "r.sqlite")} == {full.id, minimal.id, long_key.id}


def test_an_id_is_stored_once(tmp_path: Path) -> None:
    with open_store(tmp_path / "r.sqlite") as store:
        assert call(store, store.insert, row()).outcome is Outcome.DONE
        again = call(store, store.insert, row(digest=b"other"))
        assert again.outcome is Outcome.CONFLICT and again.row == row()
        for other in (Id("others", "field-report", b"k1"), Id("members", "another", b"k1")):
            assert call(store, store.insert, replace(row(), id=other)).outcome is Outcome.DONE


def test_a_change_requires_the_expected_state_and_owner(tmp_path: Path) -> None:
    with open_store(tmp_path / "r.sqlite") as store:
        call(store, store.insert, row())
        done = replace(row(), state=State.CONFIRMED, answer=ANSWER)
        stale = replace(row(), owner="another")
        conflict = call(store, store.change, stale, done)
        assert conflict.outcome is Outcome.CONFLICT and conflict.row == row()
        assert call(store, store.change, row(), done).outcome is Outcome.DONE
        assert call(store, store.remove, row()).outcome is Outcome.CONFLICT
        assert call(store, store.remove, done).outcome is Outcome.DONE
        missing = call(store, store.change, done, done)
        assert missing.outcome is Outcome.CONFLICT and missing.row is None


def test_queued_changes_share_one_commit(tmp_path: Path) -> None:
    with open_store(tmp_path / "r.sqlite") as store:
        runtime = store.runtime
        assert isinstance(runtime, FakeRuntime)
        results: list[Result] = []
        with store.job_added:  # the writer can't begin before all are queued
            for n in range(100):
                store.insert(numbered_row(n), runtime.now_us() + 10**7, results.append)
        runtime.run_until(lambda: len(results) == 100)
        assert store.commits == 1 and store.changes_committed == 100
    assert len(read_rows(tmp_path / "r.sqlite")) == 100


def test_the_size_of_a_batch_is_limited(tmp_path: Path) -> None:
    with open_store(tmp_path / "r.sqlite", most_batch=10) as store:
        runtime = store.runtime
        assert isinstance(runtime, FakeRuntime)
        results: list[Result] = []
        with store.job_added:
            for n in range(95):
                store.insert(numbered_row(n), runtime.now_us() + 10**7, results.append)
        runtime.run_until(lambda: len(results) == 95)
        assert store.commits == 10


def test_changes_are_refused_at_once_if_the_queue_is_full_or_too_slow(tmp_path: Path) -> None:
    with open_store(tmp_path / "r.sqlite", most_waiting=3) as store:
        runtime = store.runtime
        assert isinstance(runtime, FakeRuntime)
        results: list[Result] = []
        with store.job_added:
            for n in range(5):
                store.insert(numbered_row(n), runtime.now_us() + 10**7, results.append)
        runtime.run_until(lambda: len(results) == 5)
        assert sorted(r.outcome.value for r in results) == ["done"] * 3 + ["never"] * 2
        store.commit_us = 500_000.0
        results.clear()
        with store.job_added:
            for n in (8, 9):  # the first is accepted, the second would have to wait for it
                store.insert(numbered_row(n), runtime.now_us() + 400_000, results.append)
        runtime.run_until(lambda: len(results) == 2)
        assert sorted(r.outcome.value for r in results) == ["done", "never"]
        assert call(store, store.get, numbered_row(9).id).row is None


def test_changes_are_accepted_again_after_one_slow_commit(tmp_path: Path) -> None:
    with open_store(tmp_path / "r.sqlite") as store:
        store.commit_us = 5_000_000.0  # as after a pause
        for n in range(20):
            result = call(store, store.insert, numbered_row(n), left_us=1_000_000)
            assert result.outcome is Outcome.DONE
        assert store.wait_us < 1_000_000


def test_a_change_past_its_deadline_is_not_begun(tmp_path: Path) -> None:
    """Another process locks the file. A change that could not be written before its deadline is never
    written."""
    with open_store(tmp_path / "r.sqlite") as store:
        runtime = store.runtime
        assert isinstance(runtime, FakeRuntime)
        other = sqlite3.connect(tmp_path / "r.sqlite", isolation_level=None)
        other.execute("BEGIN IMMEDIATE")
        results: list[Result] = []
        store.insert(numbered_row(1), runtime.now_us() + 10**7, results.append)
        while store.jobs:
            time.sleep(0.001)
        store.commit_us = 0.0
        store.insert(numbered_row(2), runtime.now_us() + 50_000, results.append)
        time.sleep(0.06)
        other.execute("COMMIT")
        runtime.run_until(lambda: len(results) == 2)
        assert [r.outcome for r in results] == [Outcome.DONE, Outcome.NOT_DONE]
        assert call(store, store.get, numbered_row(2).id).row is None
        other.close()


def test_a_commit_on_a_full_disk_changes_nothing_and_a_later_one_works(tmp_path: Path) -> None:
    with open_store(tmp_path / "r.sqlite") as store:
        assert store.db is not None
        pages = store.db.execute("PRAGMA page_count").fetchone()[0]
        store.db.execute(f"PRAGMA max_page_count={pages + 4}")
        results = [call(store, store.insert, numbered_row(n, body=b"x" * 3_000)) for n in range(12)]
        refused = [r for r in results if r.outcome is Outcome.NOT_DONE]
        assert refused and "full" in refused[0].cause
        store.db.execute("PRAGMA max_page_count=100000")
        assert call(store, store.insert, numbered_row(99)).outcome is Outcome.DONE
    stored = {r.id.key for r in read_rows(tmp_path / "r.sqlite")}
    assert stored == {b"k%d" % n for n, r in enumerate(results) if r.outcome is Outcome.DONE} | {b"k99"}


def test_two_stores_on_one_file_store_a_key_once(tmp_path: Path) -> None:
    with open_store(tmp_path / "r.sqlite") as one, open_store(tmp_path / "r.sqlite") as two:
        for n in range(30):
            results: dict[int, list[Result]] = {0: [], 1: []}
            for i, store in enumerate((one, two)):
                store.insert(
                    numbered_row(n, owner=f"p{i}"), store.runtime.now_us() + 10**7, results[i].append
                )
            for i, store in enumerate((one, two)):
                assert isinstance(store.runtime, FakeRuntime)
                store.runtime.run_until(lambda i=i, results=results: bool(results[i]))  # type: ignore[misc]
            assert sorted(r[0].outcome.value for r in results.values()) == ["done", "there"]


def test_a_log_truncated_at_any_byte_loses_no_change_that_was_done_before_it(tmp_path: Path) -> None:
    """The log is cut at each byte of its last 8 KiB. The file still opens, and holds every change that was
    done when the log had that length."""
    path, sizes = tmp_path / "r.sqlite", list[int]()
    wal = Path(f"{path}-wal")
    with open_store(path) as store:
        for n in range(12):
            assert call(store, store.insert, numbered_row(n)).outcome is Outcome.DONE
            sizes.append(wal.stat().st_size)
        shutil.copy(path, tmp_path / "main")
        shutil.copy(wal, tmp_path / "log")
    data = (tmp_path / "log").read_bytes()
    folder = tmp_path / "cut"
    folder.mkdir()
    main = (tmp_path / "main").read_bytes()
    for length in range(len(data) - 8_192, len(data), 1):
        # A new name each time: some file systems write to disk at once what replaces an existing file.
        copy = folder / f"{length}.sqlite"
        copy.write_bytes(main)
        Path(f"{copy}-wal").write_bytes(data[:length])
        db = sqlite3.connect(copy)
        db.execute("PRAGMA synchronous=OFF")  # this copy need not be durable
        found = {r.id.key for r in rows(db)}
        db.close()
        for file in folder.iterdir():
            file.unlink()
        durable = {b"k%d" % n for n, size in enumerate(sizes) if size <= length}
        assert durable <= found and found <= {b"k%d" % n for n in range(12)}, length


@pytest.mark.parametrize(
    ("damage", "message"),
    [
        ("newer", "newer than"),
        ("garbage", "not a database"),
        ("damaged", "damaged"),
        ("folder", "unable to open"),
    ],
)
def test_an_unusable_file_gives_an_error_of_one_line(damage: str, message: str, tmp_path: Path) -> None:
    path = tmp_path / "r.sqlite"
    with open_store(path) as store:
        for n in range(200):
            store.insert(numbered_row(n, body=b"x" * 500), store.runtime.now_us() + 10**7, lambda r: None)
        assert call(store, store.insert, numbered_row(999)).outcome is Outcome.DONE
    db = sqlite3.connect(path)
    db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    if damage == "newer":
        db.execute("PRAGMA user_version=99")
    db.close()
    if damage == "garbage":
        path.write_bytes(b"no database at all" * 500)
    elif damage == "damaged":
        data = bytearray(path.read_bytes())
        data[4096 * 6 : 4096 * 9] = b"\x55" * (4096 * 3)
        path.write_bytes(bytes(data))
    elif damage == "folder":
        path.unlink()
        path.mkdir()
    with pytest.raises(BadStore) as e:
        open_file(path)
    assert message in str(e.value) and str(e.value).startswith(f"{path}: ") and "\n" not in str(e.value)


def test_a_database_that_becomes_read_only_refuses_changes(tmp_path: Path) -> None:
    with open_store(tmp_path / "r.sqlite") as store:
        assert store.db is not None
        store.db.execute("PRAGMA query_only=ON")
        result = call(store, store.insert, numbered_row(1))
        assert result.outcome is Outcome.NOT_DONE and "readonly" in result.cause.replace(
            "read-only", "readonly"
        )
        store.db.execute("PRAGMA query_only=OFF")
        assert call(store, store.get, numbered_row(1).id).row is None


def test_queued_changes_are_refused_at_stop(tmp_path: Path) -> None:
    store = SqliteStore(FakeRuntime(), SqliteSettings(tmp_path / "r.sqlite"))
    store.start()
    runtime = store.runtime
    assert isinstance(runtime, FakeRuntime)
    results: list[Result] = []
    gate = threading.Event()
    with store.job_added:
        store.insert(numbered_row(1), runtime.now_us() + 10**7, results.append)
        store.stopping = True
        store.job_added.notify()
    gate.set()
    store.stop()
    runtime.run_until(lambda: bool(results))
    assert results[0].outcome is Outcome.NOT_DONE and read_rows(tmp_path / "r.sqlite") == []


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(["insert", "change", "wrong", "remove"]), st.integers(0, 90)),
        max_size=80,
        unique_by=lambda a: a[1] if a[1] > 3 else object(),
    )
)
@example([("remove", 1), *(("insert", n) for n in (1, 2, 4, 5))])  # must not affect the inserts that follow
def test_batched_statements_have_the_same_results_as_single_ones(requests: list[tuple[str, int]]) -> None:
    """Compares results and rows of batched statements with those of single ones, whatever is stored already
    and however ids repeat in a batch."""
    outcomes = []
    for is_batched in (True, False):
        db = sqlite3.connect(":memory:", isolation_level=None)
        for text in MIGRATIONS:
            db.executescript(text)
        for n in range(0, 90, 3):
            db.execute(INSERT, encode_row(numbered_row(n, owner="before")))
        runtime = FakeRuntime()
        store = SqliteStore(runtime, SqliteSettings(Path("none")))
        for kind, n in requests:
            stored = numbered_row(n, owner="before") if n % 3 == 0 else numbered_row(n)
            if kind == "insert":
                store.insert(numbered_row(n), 10**18, lambda r: None)
            elif kind == "remove":
                store.remove(stored, 10**18, lambda r: None)
            else:
                stored = replace(stored, owner="other") if kind == "wrong" else stored
                store.change(stored, replace(stored, note="changed", told=True), 10**18, lambda r: None)
        jobs = list(store.jobs)
        db.execute("BEGIN IMMEDIATE")
        if is_batched:
            results = {id(j): result for j, result in run_jobs(db, jobs)}
        else:
            results = {id(j): j.operation(db) for j in jobs}
        db.execute("COMMIT")
        ordered = [results[id(j)] for j in jobs]
        outcomes.append(([(r.outcome, r.row) for r in ordered], sorted(rows(db), key=lambda r: r.id)))
        db.close()
    # If ids repeat, both run the jobs in the same order; otherwise the order makes no difference.
    assert outcomes[0] == outcomes[1]
