"""The program, made to die at one step of a report's life.

    python -m tests.record.crashing POINT [arguments of the program]

POINT is "before X" or "after X", where X is an action of the journal (Insert, Send, Change, Reply), or
"at Y", where Y is one of its events (inserted, answered, changed). It dies there the first time.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Sequence
from typing import Any

from magpiefront.__main__ import main
from magpiefront.record.journal import Journal
from magpiefront.record.stage import RecordStage

POINTS = (
    "before Insert", "after Insert", "at inserted", "before Send", "after Send", "at answered",
    "before Change", "after Change", "at changed", "before Reply", "after Reply",
)  # fmt: skip


def die() -> None:
    os._exit(9)


def patch(point: str) -> None:
    when, _, what = point.partition(" ")
    if when == "at":
        event: Callable[..., Any] = getattr(Journal, what)

        def dying(self: Journal, *args: Any) -> Any:
            die()
            return event(self, *args)

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
    patch(sys.argv[1])
    sys.exit(main(sys.argv[2:]))
