"""The disk tier: stored responses in a SQLite file that outlives the process. One thread does all I/O.

No request waits for a write. A load that takes too long is a miss, and so is any fault of the file. An
invalidation removes the key from the index at once. The file records whether it was closed cleanly: if not,
an invalidation may not have reached it, and all its responses must be validated before use.
"""

from __future__ import annotations

import contextlib
import queue
import sqlite3
import threading
import time
from collections.abc import Callable, Sequence
from hashlib import blake2b
from pathlib import Path

import msgspec

from magpiefront.net.runtime import Runtime
from magpiefront.caching.rules import US_PER_S, StoredResponse
from magpiefront.caching.settings import DiskSettings

SCHEMA_VERSION = 1
EVICTION_BATCH_ROWS = 64  # the oldest rows that one query reads during an eviction
STOP_TIMEOUT_S = 2.0  # how long `stop` waits for the queued saves and the closing of the file
# SQLite errors that do not mean that the content is bad: the file is left as it is, and `start` fails.
UNAVAILABLE_CODES = frozenset({
    sqlite3.SQLITE_PERM, sqlite3.SQLITE_BUSY, sqlite3.SQLITE_LOCKED, sqlite3.SQLITE_READONLY,
    sqlite3.SQLITE_IOERR, sqlite3.SQLITE_FULL, sqlite3.SQLITE_CANTOPEN,
})  # fmt: skip
SCHEMA = """
CREATE TABLE objects (place INTEGER PRIMARY KEY, key BLOB UNIQUE NOT NULL, gauge BLOB NOT NULL,
                      size INTEGER NOT NULL, sum BLOB NOT NULL, packed BLOB NOT NULL);
CREATE TABLE state (name TEXT PRIMARY KEY, value) WITHOUT ROWID;
"""


class Packed(msgspec.Struct, array_like=True):
    """A stored response as it is encoded in the file.

    `wall_s` is the wall-clock time at which its age was 0, and `saved_s` that of saving it.
    """

    status: int
    head: bytes
    body: bytes
    wall_s: float
    saved_s: float
    lifetime_us: int
    date_s: int
    vary: list[bytes]
    secondary: list[bytes | None]
    etag: bytes
    modified: bytes
    no_cache: bool
    must_validate: bool  # as in `StoredResponse`: never served stale
    immutable: bool
    swr_us: int
    sie_us: int


class UnusableFile(Exception):
    """The file cannot be used. The message says why."""


Variants = tuple[StoredResponse, ...]
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[list[Packed]] = msgspec.msgpack.Decoder(list[Packed])


def pack(variants: Sequence[StoredResponse], saved_s: float) -> bytes:
    """Encodes the variants of one key, saved at `saved_s` of the wall clock."""
    return _encoder.encode([
        Packed(v.status, v.head, v.body, v.wall_s, saved_s, v.lifetime_us, v.date_s, list(v.vary),
               list(v.secondary), v.etag, v.modified, v.no_cache, v.must_validate, v.immutable, v.swr_us,
               v.sie_us)
        for v in variants
    ])  # fmt: skip


def unpack(packed: bytes, now_us: int, now_s: float, must_validate_all: bool) -> Variants:
    """Decodes the variants of one key. Raises msgspec.MsgspecError.

    With `must_validate_all`, or if the wall clock is earlier than the time of saving, each variant must be
    validated before each use, even while it is fresh (`no_cache`), and those without a validator are left
    out. The `must_validate` of a variant is kept as it was saved.
    """
    found = []
    for p in _decoder.decode(packed):
        is_doubtful = must_validate_all or now_s < p.saved_s
        if is_doubtful and not p.etag and not p.modified:
            continue
        found.append(StoredResponse(
            p.status, p.head, p.body, now_us - max(0, int((now_s - p.wall_s) * US_PER_S)), p.lifetime_us,
            date_s=p.date_s, wall_s=p.wall_s, vary=tuple(p.vary), secondary=tuple(p.secondary), etag=p.etag,
            modified=p.modified, no_cache=p.no_cache or is_doubtful, must_validate=p.must_validate,
            immutable=p.immutable, swr_us=p.swr_us, sie_us=p.sie_us,
        ))  # fmt: skip
    return tuple(found)


def checksum(key: bytes, packed: bytes) -> bytes:
    """Returns the checksum of a row. It covers the key, so that it does not match in another row."""
    h = blake2b(key, digest_size=16)
    h.update(b"\0")
    h.update(packed)
    return h.digest()


class Disk:
    """The disk tier. The event loop owns the index, a thread of the tier owns the database.

    `wall` returns the Unix time in seconds.
    """

    def __init__(
        self, runtime: Runtime, settings: DiskSettings, wall: Callable[[], float] = time.time
    ) -> None:  # fmt: skip
        self.runtime, self.settings, self.wall = runtime, settings, wall
        self.started_us, self.started_s = runtime.now_us(), wall()
        self.index: dict[bytes, bytes] = {}  # gauge of each key
        self.gauges: dict[bytes, set[bytes]] = {}  # keys of each gauge
        self.load_tokens: dict[bytes, object] = {}  # by key: the load whose result is still valid
        self.queued_saves = 0
        self.skipped_saves = self.failures = 0
        # `must_validate_all`: the file was not closed cleanly, so each loaded variant is validated before
        # use. `has_failed`: a job has failed, so the file will not be marked as closed cleanly.
        self.must_validate_all = self.has_failed = False
        self.jobs: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self.thread: threading.Thread | None = None
        self.db: sqlite3.Connection | None = None
        self.total_bytes = 0

    # ---- start and stop

    def start(self) -> None:
        """Reads the index. An unreadable file is renamed to `.bad`, and the tier starts empty.

        Raises OSError or sqlite3.Error if no file can be used, for example if permissions are missing or
        another process has it open.
        """
        if self.settings.path.exists() and not self.settings.path.is_file():
            raise IsADirectoryError(f"{self.settings.path} is not a file")
        self.settings.path.parent.mkdir(parents=True, exist_ok=True)
        try:
            self._open()
        except (UnusableFile, sqlite3.DatabaseError) as e:
            if self.db is not None:
                self.db.close()
            if isinstance(e, sqlite3.OperationalError) and e.sqlite_errorcode & 0xFF in UNAVAILABLE_CODES:
                raise
            aside = self.settings.path.with_suffix(self.settings.path.suffix + ".bad")
            self.runtime.log(f"cache: {self.settings.path}: {e}; set aside as {aside.name}, starting empty")
            for suffix in ("-wal", "-shm"):
                Path(f"{self.settings.path}{suffix}").unlink(missing_ok=True)
            self.settings.path.replace(aside)
            self._open()
        self.thread = threading.Thread(target=self._run_jobs, name="cache-disk", daemon=True)
        self.thread.start()

    def _open(self) -> None:
        new = not self.settings.path.exists()
        db = self.db = sqlite3.connect(
            self.settings.path, isolation_level=None, check_same_thread=False, timeout=1.0
        )
        db.execute("PRAGMA locking_mode=EXCLUSIVE")  # a process would miss another one's invalidations
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=FULL")
        if new:
            db.executescript(f"BEGIN; {SCHEMA} PRAGMA user_version={SCHEMA_VERSION}; COMMIT;")
        version = db.execute("PRAGMA user_version").fetchone()[0]
        if version != SCHEMA_VERSION:
            raise UnusableFile(f"schema version {version} instead of {SCHEMA_VERSION}")
        clean = db.execute("SELECT value FROM state WHERE name='clean'").fetchone()
        self.must_validate_all = not new and (clean is None or clean[0] != 1)
        # Made durable before anything is served: after a crash the file counts as not closed cleanly.
        db.execute("INSERT OR REPLACE INTO state VALUES ('clean', 0)")
        db.execute("PRAGMA synchronous=NORMAL")
        self.index, self.gauges, self.total_bytes = {}, {}, 0
        for key, gauge, size in db.execute("SELECT key, gauge, size FROM objects"):
            if not isinstance(key, bytes) or not isinstance(gauge, bytes) or not isinstance(size, int):
                raise UnusableFile("the table objects has corrupt rows")
            self._add_key(key, gauge)
            self.total_bytes += size

    def stop(self) -> None:
        """Writes the queued saves and closes the file cleanly. Waits for at most `STOP_TIMEOUT_S`."""
        if self.thread is not None:
            self.jobs.put(self._close)
            self.jobs.put(None)
            self.thread.join(STOP_TIMEOUT_S)
            self.thread = None

    def _close(self) -> None:
        assert self.db is not None
        self.db.execute("PRAGMA synchronous=FULL")
        if not self.has_failed:  # if a job has failed, an invalidated row may still be there
            self.db.execute("INSERT OR REPLACE INTO state VALUES ('clean', 1)")
        self.db.close()

    def _run_jobs(self) -> None:
        while True:
            job = self.jobs.get()
            if job is None:
                return
            try:
                job()
            except Exception as e:  # of any kind, also from corrupt rows: the thread must keep running
                self.has_failed = True
                self._call_in_loop(self._report_failure, f"{type(e).__name__}: {e}")

    def _call_in_loop(self, callback: Callable[..., None], *args: object) -> None:
        with contextlib.suppress(RuntimeError):  # the loop is closed
            self.runtime.loop.call_soon_threadsafe(callback, *args)

    def _report_failure(self, text: str) -> None:
        self.failures += 1
        self.runtime.log(f"cache: {self.settings.path}: {text}")

    # ---- called in the loop

    def __len__(self) -> int:
        return len(self.index)

    def has(self, key: bytes) -> bool:
        return key in self.index

    def _add_key(self, key: bytes, gauge: bytes) -> None:
        self.index[key] = gauge
        self.gauges.setdefault(gauge, set()).add(key)

    def _remove_key(self, key: bytes) -> bool:
        gauge = self.index.pop(key, None)
        if gauge is None:
            return False
        keys = self.gauges[gauge]
        keys.discard(key)
        if not keys:
            del self.gauges[gauge]
        return True

    def save(self, key: bytes, gauge: bytes, variants: Variants) -> None:
        """Queues the variants of a key to be written. If there are none, or the queue is full, the key is
        dropped instead."""
        if not variants or self.queued_saves >= self.settings.queue:
            self.skipped_saves += 1
            self.drop(key)  # the file holds an older version
            return
        self.queued_saves += 1
        self._add_key(key, gauge)
        saved_s = self.wall()
        self.jobs.put(lambda: self._save(key, gauge, variants, saved_s))

    def drop(self, key: bytes) -> None:
        """Removes a key. A load of it that is in progress finds nothing."""
        self.load_tokens.pop(key, None)
        if self._remove_key(key):
            self.jobs.put(lambda: self._execute("DELETE FROM objects WHERE key=?", key))

    def drop_gauge(self, gauge: bytes) -> None:
        """Removes all keys of a gauge."""
        for key in list(self.gauges.get(gauge, ())):
            self.drop(key)

    def clear(self) -> None:
        for key in list(self.index):
            self.drop(key)

    def load(self, key: bytes, on_loaded: Callable[[Variants], None]) -> None:
        """Calls `on_loaded` once, in the loop, with the variants of the key.

        They are empty if the load fails or times out, or if the key is invalidated meanwhile.
        """
        token = object()
        self.load_tokens[key] = token
        is_finished = False

        def finish(found: Variants, is_intact: bool) -> None:
            nonlocal is_finished
            if is_finished:
                return
            is_finished = True
            timer.cancel()
            is_current = self.load_tokens.get(key) is token
            if is_current:
                del self.load_tokens[key]
            if not is_intact:
                self.drop(key)
            on_loaded(found if is_current else ())

        timer = self.runtime.loop.call_later(self.settings.load_timeout_us / 1e6, finish, (), True)
        now_us = self.runtime.now_us()
        now_s = self._latest_wall_s(now_us)

        def read() -> None:
            found: Variants = ()
            is_intact = False
            try:
                found, is_intact = self._load(key, now_us, now_s)
            finally:
                self._call_in_loop(finish, found, is_intact)

        self.jobs.put(read)

    def _latest_wall_s(self, now_us: int) -> float:
        """Returns the later of the wall-clock time and the time of the start plus the elapsed time.

        Guards against a clock that was set back: a response may appear older than it is, but never younger.
        """
        return max(self.wall(), self.started_s + (now_us - self.started_us) / 1e6)

    # ---- called in the thread

    def _execute(self, text: str, *args: object) -> None:
        assert self.db is not None
        self.db.execute(text, args)

    def _load(self, key: bytes, now_us: int, now_s: float) -> tuple[Variants, bool]:
        """Returns the variants of a key, and whether its row exists and is intact."""
        assert self.db is not None
        row = self.db.execute("SELECT sum, packed FROM objects WHERE key=?", (key,)).fetchone()
        if row is None or not isinstance(row[1], bytes) or checksum(key, row[1]) != row[0]:
            return (), False
        try:
            return unpack(row[1], now_us, now_s, self.must_validate_all), True
        except msgspec.MsgspecError:
            return (), False

    def _save(self, key: bytes, gauge: bytes, variants: Variants, saved_s: float) -> None:
        db = self.db
        assert db is not None
        removed: list[bytes] = []
        try:
            packed = pack(variants, saved_s)
            size = len(packed) + len(key) + len(gauge) + 100
            db.execute("BEGIN IMMEDIATE")
            try:
                previous = db.execute("SELECT size FROM objects WHERE key=?", (key,)).fetchone()
                db.execute(
                    "INSERT OR REPLACE INTO objects (key, gauge, size, sum, packed) VALUES (?, ?, ?, ?, ?)",
                    (key, gauge, size, checksum(key, packed), packed),
                )
                total = self.total_bytes + size - (previous[0] if previous else 0)
                while total > self.settings.most_bytes:
                    oldest = db.execute(
                        "SELECT place, key, size FROM objects ORDER BY place LIMIT ?", (EVICTION_BATCH_ROWS,)
                    ).fetchall()
                    if not oldest:
                        break
                    for place, old_key, old_size in oldest:
                        db.execute("DELETE FROM objects WHERE place=?", (place,))
                        removed.append(old_key)
                        total -= old_size
                        if total <= self.settings.most_bytes:
                            break
                db.execute("COMMIT")
                self.total_bytes = total
            except sqlite3.Error:
                if db.in_transaction:
                    db.execute("ROLLBACK")
                removed = [key]
                raise
        finally:
            self._call_in_loop(self._on_saved, removed)

    def _on_saved(self, removed: list[bytes]) -> None:
        self.queued_saves -= 1
        for key in removed:
            # Even if a later save of the key is queued: its row would not be in the index and so could not be
            # invalidated, and is therefore deleted too.
            self.drop(key)
