"""Many rounds of machines out for work in simulated time, and the table of their safeguards.

    python -m tests.maintenance.worlds [--count 1000] [--first 1] [--without NAME | --table] [--replay ROUND]
                                       [--jobs N] [--json]

Exit status 1 where a rule broke (with --table: where one safeguard's loss was not found).
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any
from unittest.mock import patch

from magpiefront.maintenance import facts, rules
from magpiefront.maintenance.facts import Answer, Board, Kept, Slot, State, Word
from magpiefront.maintenance.view import Memory, View
from magpiefront.model.maintenance import Proxy, Round, World
from magpiefront.model.rounds import Broken
from tests.schedules import Broke, Schedules

WAITS, DO, AWAY = rules.open_words, Board._do, View.away


def _no_words(k: Kept, slot: Slot, members: Any) -> list[str]:
    return [w for w in WAITS(k, slot, members) if "lost" in w]


def _at_once(k: Kept, slot: Slot, members: Any) -> list[str]:
    return [w for w in WAITS(k, slot, members) if "just been lost" not in w]


def _any_grant(self: Board, who: str, c: Any) -> Answer:
    if isinstance(c, Word):
        slot = self.kept.slots[c.machine]
        slot.words[who] = c.mine
        return Answer(True)
    return DO(self, who, c)


def _keeps_words(k: Kept, slot: Slot, state: State, cause: str = "") -> None:
    slot.runner, slot.state, slot.since_s, slot.cause = "", state, k.at_s, cause


def _hears_all(self: View, k: Kept, epoch: int, now_us: int) -> set[str]:
    return AWAY(self, k, self.fresh_epoch or 1, now_us) if self.fresh_epoch else set()


def _forgets(self: Proxy) -> None:
    self.memory = Memory()
    START(self)


START = Proxy.start
SAFEGUARDS: dict[str, Callable[[], list[Any]]] = {
    "each proxy's word": lambda: [patch.object(rules, "open_words", _no_words)],
    "a word is of the grant that it is about": lambda: [
        patch.object(Board, "_do", _any_grant), patch.object(facts, "move", _keeps_words),
        patch.object(rules, "move", _keeps_words),
    ],
    "who is cut off leaves out what is next": lambda: [patch.object(View, "away", _hears_all)],
    "who is lost has to have known what was next": lambda: [patch.object(rules, "unaware", lambda *_: [])],
    "what a lost proxy sent has to end": lambda: [patch.object(rules, "open_words", _at_once)],
    "what is left has to carry the load": lambda: [patch.object(rules, "short_of_room", lambda *_: "")],
    "what is to be left out outlasts the process": lambda: [patch.object(Proxy, "start", _forgets)],
}  # fmt: skip


def broken(plan: Round) -> str:
    """What broke; empty where all holds."""
    try:
        World(plan).run()
    except Broken as e:
        return str(e)
    return ""


SCHEDULES = Schedules(SAFEGUARDS, Round.draw, Round.read, broken)


def some(numbers: list[int], out: str = "") -> Broke:
    return SCHEDULES.some(numbers, out)


if __name__ == "__main__":
    sys.exit(SCHEDULES.main("Machines out for work", some, 10))
