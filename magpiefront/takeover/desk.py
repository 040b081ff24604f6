"""What operators' commands ask of a member about reports: what is in hand, and the rows of the group."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from magpiefront.group.asks import Fate, Outcome
from magpiefront.group.desk import Bad, read_then
from magpiefront.group.seam import Group
from magpiefront.net.house import House
from magpiefront.record.commands import from_json, to_json
from magpiefront.record.rows import Row
from magpiefront.record.stage import RecordStage
from magpiefront.takeover import book
from magpiefront.takeover.store import MACHINE, GroupStore

Answer = Callable[[dict[str, Any]], None]
READ_US = 2_000_000
PAGE_BYTES = 512 << 10  # of rows in one answer, about


def work(stage: RecordStage, group: Group) -> Callable[[dict[str, Any], Answer], None]:
    def asked(what: dict[str, Any], answer: Answer) -> None:
        answer({
            "member": group.me, "acts": group.may_act(), "in_hand": stage.in_hand,
            "taken": stage.journal.taken, "over": sorted(stage.over), "delivering": len(stage.deliveries),
        })  # fmt: skip

    return asked


class RecordDesk:
    """Of rows that the group holds."""

    def __init__(self, store: GroupStore, group: Group, house: House) -> None:
        self.store, self.group, self.house = store, group, house

    def asked(self, what: dict[str, Any], answer: Answer) -> None:
        does = {"counts": self._counts, "rows": self._rows, "add": self._add, "change": self._change}
        do = does.get(str(what.get("what")))
        if do is None:
            raise Bad(f"unknown: {what.get('what')!r}")
        try:
            do(what, answer)
        except (KeyError, ValueError, TypeError) as e:
            raise Bad(f"an ask that can't be read: {type(e).__name__}: {e}") from None

    def _read(self, answer: Answer, then: Callable[[], dict[str, Any]]) -> None:
        read_then(self.group, self.house.now_us() + READ_US, answer, then)

    def _counts(self, what: dict[str, Any], answer: Answer) -> None:
        def counts() -> dict[str, Any]:
            found: dict[str, list[float]] = {}
            for r in self.store.book.by_age():
                found.setdefault(r.state.value, [0, r.received_s])[0] += 1
            return {"counts": found, "bytes": self.store.book.bytes}

        self._read(answer, counts)

    def _rows(self, what: dict[str, Any], answer: Answer) -> None:
        """From number `first` on, by age; `next` is 0 where these were the last."""
        first, state = int(what["first"]), what.get("state")

        def rows() -> dict[str, Any]:
            found, size, at = list[dict[str, Any]](), 0, first
            every = [r for r in self.store.book.by_age() if state in (None, r.state.value)]
            while at < len(every) and size < PAGE_BYTES:
                found.append(to_json(every[at]))
                size += book.size_of(every[at])
                at += 1
            return {"rows": found, "next": at if at < len(every) else 0}

        self._read(answer, rows)

    def _propose(self, command: book.Command, answer: Answer) -> None:
        def agreed(o: Outcome) -> None:
            if o.fate is not Fate.COMMITTED:
                answer({"error": f"{o.fate.value}: {o.cause}"})
                return
            told: book.Told = msgspec.msgpack.decode(o.value, type=book.Told)
            answer({"error": told.cause} if told.cause else {"done": told.done})

        self.group.propose(MACHINE, book.encode(command), self.house.now_us() + READ_US, agreed)

    def _add(self, what: dict[str, Any], answer: Answer) -> None:
        s = self.store.settings
        self._propose(book.Insert(from_json(what["row"]), s.most_rows, s.most_bytes), answer)

    def _change(self, what: dict[str, Any], answer: Answer) -> None:
        before: Row = from_json(what["before"])
        self._propose(book.change_of(before, from_json(what["after"])), answer)
