"""Runs the program and makes it exit, or suspend itself (SIGSTOP), at one step of a report's processing; can
also disable a safeguard.

    python -m tests.record.crashing [stop] [without NAME] POINT [arguments of the program]

POINT is "before X" or "after X", where X is an action of the journal (Insert, Send, Change, Reply), or "at
Y", where Y is one of its events (inserted, answered, changed). The program exits, or suspends itself, when it
first reaches this point. With "never" it does neither. NAME is a key of `SAFEGUARDS`.
"""

from __future__ import annotations

import os
import signal
import sqlite3
import sys
from collections.abc import Callable, Sequence
from typing import Any

from magpiefront.repeat_limits import RepeatLimits
from magpiefront.__main__ import main
from magpiefront.net.execution import ExecutionTracker
from magpiefront.record import journal, sqlite
from magpiefront.record.journal import Journal
from magpiefront.record.rows import Outcome, Result, Row, ResultCallback
from magpiefront.record.stage import RecordStage

POINTS = (
    "before Insert", "after Insert", "at inserted", "before Send", "after Send", "at answered",
    "before Change", "after Change", "at changed", "before Reply", "after Reply",
)  # fmt: skip


def die() -> None:
    """Exits at once, as after SIGKILL."""
    os._exit(9)


class StopOnce:
    """Suspends the process at the first call."""

    called = False

    def __call__(self) -> None:
        if not self.called:
            self.called = True
            os.kill(os.getpid(), signal.SIGSTOP)


def disable_guard() -> None:
    """Skips the checks before the first byte to a node, and the limits of repeats behind them."""
    ExecutionTracker.guard = property(lambda self: None, lambda self, value: None)  # type: ignore[assignment, misc]
    RepeatLimits.allow_sending = lambda self, now_us: True  # type: ignore[method-assign]
    RepeatLimits.not_after_us = property(lambda self: 0)  # type: ignore[method-assign, assignment]


def disable_window() -> None:
    """Resends reports that may have run, even after the retry window."""
    seconds_since_sent, recovery_action = Journal.seconds_since_sent, journal.recovery_action

    def at_most_1_s(self: Journal, now_us: int, row: Row) -> float | None:
        return min(1.0, seconds_since_sent(self, now_us, row) or 0.0)

    def resend_always(row: Row, *args: Any, **options: Any) -> journal.RecoveryAction:
        found = recovery_action(row, *args, **options)
        return journal.RecoveryAction.RESEND if found is journal.RecoveryAction.UNKNOWN else found

    Journal.seconds_since_sent = at_most_1_s  # type: ignore[method-assign]
    journal.recovery_action = resend_always
    disable_guard()


def disable_compare() -> None:
    """Changes and removes a row whatever its state and owner are by now."""
    any_owner = "(? IS NOT NULL) AND (? IS NOT NULL)"
    sqlite.UPDATE = sqlite.UPDATE.replace("state = ? AND owner = ?", any_owner)
    sqlite.ROWS_PER_STATEMENT = ()  # type: ignore[assignment]

    def remove(self: sqlite.SqliteStore, before: Row, deadline_us: int, on_done: ResultCallback) -> None:
        def operation(db: sqlite3.Connection) -> Result:
            db.execute(f"DELETE FROM reports WHERE {sqlite.BY_ID}", before.id)
            return Result(Outcome.DONE)

        self._enqueue(operation, deadline_us, on_done, True)

    sqlite.SqliteStore.remove = remove  # type: ignore[method-assign]


SAFEGUARDS = {"guard": disable_guard, "window": disable_window, "compare": disable_compare}


def patch(point: str, die: Callable[[], None] = die) -> None:
    """Makes the journal or its stage call `die` at this point."""
    when, _, name = point.partition(" ")
    if point == "never":
        return
    if when == "at":
        event: Callable[..., Any] = getattr(Journal, name)

        def die_at_event(self: Journal, *args: Any, **options: Any) -> Any:
            die()
            return event(self, *args, **options)

        setattr(Journal, name, die_at_event)
        return
    execute = RecordStage._do

    def execute_each(self: RecordStage, actions: Sequence[Any]) -> None:
        for a in actions:
            if type(a).__name__ == name and when == "before":
                die()
            execute(self, [a])
            if type(a).__name__ == name:
                die()

    RecordStage._do = execute_each  # type: ignore[method-assign]


if __name__ == "__main__":
    args = sys.argv[1:]
    stop = args[0] == "stop"
    args = args[stop:]
    if args[0] == "without":
        SAFEGUARDS[args[1]]()
        args = args[2:]
    patch(args[0], StopOnce() if stop else die)
    sys.exit(main(args[1:]))
