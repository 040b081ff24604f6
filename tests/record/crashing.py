"""The program, made to die at one step of a report's life, or to be stopped there (SIGSTOP); a safeguard out.

    python -m tests.record.crashing [stop] [without NAME] POINT [arguments of the program]

POINT is "before X" or "after X", where X is an action of the journal (Insert, Send, Change, Reply), or
"at Y", where Y is one of its events (inserted, answered, changed). It dies there the first time. "never" is
none of them.
"""

from __future__ import annotations

import os
import signal
import sqlite3
import sys
from collections.abc import Callable, Sequence
from typing import Any

from magpiefront.__main__ import main
from magpiefront.net.effects import Effect
from magpiefront.record import journal, sqlite
from magpiefront.record.journal import Journal
from magpiefront.record.rows import Outcome, Result, Row, Then
from magpiefront.record.stage import RecordStage

POINTS = (
    "before Insert", "after Insert", "at inserted", "before Send", "after Send", "at answered",
    "before Change", "after Change", "at changed", "before Reply", "after Reply",
)  # fmt: skip


def die() -> None:
    os._exit(9)


class Stopped:
    done = False

    def __call__(self) -> None:
        """The first time."""
        if not self.done:
            self.done = True
            os.kill(os.getpid(), signal.SIGSTOP)


def no_guard() -> None:
    """Nothing is asked in front of the first byte."""
    Effect.guard = property(lambda self: None, lambda self, given: None)  # type: ignore[assignment, misc]


def no_window() -> None:
    """What may have run is sent again however long ago that was."""
    since, fate = Journal.since_s, journal.fate

    def just_now(self: Journal, now_us: int, row: Row) -> float | None:
        return min(1.0, since(self, now_us, row) or 0.0)

    def always(row: Row, *args: Any, **more: Any) -> journal.Fate:
        found = fate(row, *args, **more)
        return journal.Fate.AGAIN if found is journal.Fate.UNKNOWN else found

    Journal.since_s = just_now  # type: ignore[method-assign]
    journal.fate = always
    no_guard()


def no_compare() -> None:
    """A change is made whoever's the row is by now."""
    any_owner = "(? IS NOT NULL) AND (? IS NOT NULL)"
    sqlite.UPDATE = sqlite.UPDATE.replace("state = ? AND owner = ?", any_owner)
    sqlite.AT_ONCE = ()  # type: ignore[assignment]

    def removed(self: sqlite.SqliteStore, before: Row, deadline_us: int, then: Then) -> None:
        def what(db: sqlite3.Connection) -> Result:
            db.execute(f"DELETE FROM reports WHERE {sqlite.BY_ID}", before.id)
            return Result(Outcome.DONE)

        self._add(what, deadline_us, then, True)

    sqlite.SqliteStore.remove = removed  # type: ignore[method-assign]


SAFEGUARDS = {"guard": no_guard, "window": no_window, "compare": no_compare}


def patch(point: str, die: Callable[[], None] = die) -> None:
    when, _, what = point.partition(" ")
    if point == "never":
        return
    if when == "at":
        event: Callable[..., Any] = getattr(Journal, what)

        def dying(self: Journal, *args: Any, **more: Any) -> Any:
            die()
            return event(self, *args, **more)

        setattr(Journal, what, dying)
        return
    do = RecordStage._do

    def each(self: RecordStage, actions: Sequence[Any]) -> None:
        for a in actions:
            if type(a).__name__ == what and when == "before":
                die()
            do(self, [a])
            if type(a).__name__ == what:
                die()

    RecordStage._do = each  # type: ignore[method-assign]


if __name__ == "__main__":
    given = sys.argv[1:]
    stop = given[0] == "stop"
    given = given[stop:]
    if given[0] == "without":
        SAFEGUARDS[given[1]]()
        given = given[2:]
    patch(given[0], Stopped() if stop else die)
    sys.exit(main(given[1:]))
