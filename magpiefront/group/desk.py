"""What an operator's command asks of one member, and its answers. JSON's types alone; nothing here waits."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from magpiefront.group import facts
from magpiefront.group.asks import Fate, Outcome
from magpiefront.group.machines import FACTS
from magpiefront.group.peer import told
from magpiefront.group.seam import Group
from magpiefront.group.service import GroupService

Answer = Callable[[dict[str, Any]], None]
MOST_MS = 10_000


class Bad(Exception):
    """An ask that can't be met; its text says why."""


def read_then(group: Group, until_us: int, answer: Answer, then: Callable[[], dict[str, Any]]) -> None:
    """Answers with what `then` finds, which is as new as the moment of the call."""

    def agreed(o: Outcome) -> None:
        answer(then() if o.fate is Fate.COMMITTED else {"error": f"it can't be read now: {o.cause}"})

    group.read(until_us, agreed)


class Desk:
    def __init__(self, service: GroupService) -> None:
        self.service = service
        self.more: dict[str, Callable[[dict[str, Any], Answer], None]] = {}  # of what runs on the group

    def asked(self, what: dict[str, Any], answer: Answer) -> None:
        """`answer` is called once, at the latest at the ask's `deadline_ms`."""
        does: dict[str, Callable[[dict[str, Any], Answer], None]] = {
            "status": self._status, "bar": self._bar, "lead": self._lead, "snapshot": self._snapshot,
            "put": self._put, "get": self._get, "take": self._take, "drop": self._drop, "holds": self._holds,
            **self.more,
        }  # fmt: skip
        try:
            do = does.get(str(what.get("do")))
            if do is None:
                raise Bad(f"unknown: {what.get('do')!r}")
            if self.service.peer is None and do != self._status:
                raise Bad(self.service.cause)
            do(what, answer)
        except Bad as e:
            answer({"error": str(e)})

    def _text(self, what: dict[str, Any], key: str) -> str:
        value = what.get(key)
        if not isinstance(value, str) or not 0 < len(value) <= 4_096:
            raise Bad(f"{key} is missing")
        return value

    def _deadline_us(self, what: dict[str, Any]) -> int:
        ms = what.get("deadline_ms", 2_000)
        if not isinstance(ms, int) or not 0 < ms <= MOST_MS:
            raise Bad(f"deadline_ms: from 1 to {MOST_MS}")
        return self.service.house.now_us() + ms * 1_000

    def _outcome(self, answer: Answer) -> Callable[[Outcome], None]:
        def then(o: Outcome) -> None:
            found = told(o)
            more: dict[str, Any] = {}
            if found is not None:
                more = {"done": found.done, "epoch": found.epoch, "holder": found.holder,
                        "value": found.value.decode("utf-8", "replace")}  # fmt: skip
            answer({"fate": o.fate.value, "cause": o.cause, **more})

        return then

    def _status(self, what: dict[str, Any], answer: Answer) -> None:
        answer(self.service.status())

    def _bar(self, what: dict[str, Any], answer: Answer) -> None:
        name, out, peer = self._text(what, "name"), bool(what.get("out")), self.service.peer
        assert peer is not None
        why = peer.members.why_not(name, out)
        if why:
            raise Bad(why)
        self.service.propose(FACTS, facts.encode(facts.Bar(name, out)), self._deadline_us(what),
                             self._outcome(answer))  # fmt: skip

    def _lead(self, what: dict[str, Any], answer: Answer) -> None:
        peer = self.service.peer
        assert peer is not None
        id = peer.raft.log.conf.by_name(self._text(what, "to")) or ""
        if not peer.leads:
            raise Bad(f"{peer.raft.leader or 'nobody'} leads")
        if id == peer.me:
            answer({"fate": "committed", "cause": "it leads already"})
        elif not peer.raft.hand_over(id, self.service.house.now_us()):
            raise Bad("not a voter, or the lead is on its way already")
        else:
            self.service.wake()
            answer({"fate": "unknown", "cause": "on its way"})

    def _snapshot(self, what: dict[str, Any], answer: Answer) -> None:
        peer = self.service.peer
        assert peer is not None
        peer.snapshot()
        self.service.wake()
        answer({"snapshot": peer.raft.log.snapshot.index})

    def _put(self, what: dict[str, Any], answer: Answer) -> None:
        version = what.get("version", -1)
        if not isinstance(version, int):
            raise Bad("version: a whole number")
        put = facts.Put(self._text(what, "key"), str(what.get("value", "")).encode(), version)
        self.service.propose(FACTS, facts.encode(put), self._deadline_us(what), self._outcome(answer))

    def _get(self, what: dict[str, Any], answer: Answer) -> None:
        key = self._text(what, "key")

        def then(o: Outcome) -> None:
            peer = self.service.peer
            register = peer.machines.facts.kept.registers.get(key) if peer is not None else None
            found = {"value": register.value.decode("utf-8", "replace") if register is not None else "",
                     "version": register.version if register is not None else 0}  # fmt: skip
            answer({"fate": o.fate.value, "cause": o.cause, **(found if o.fate.value == "committed" else {})})

        self.service.read(self._deadline_us(what), then)

    def _take(self, what: dict[str, Any], answer: Answer) -> None:
        self.service.take(self._text(what, "lease"), self._deadline_us(what), self._outcome(answer))

    def _drop(self, what: dict[str, Any], answer: Answer) -> None:
        self.service.drop(self._text(what, "lease"), self._deadline_us(what), self._outcome(answer))

    def _holds(self, what: dict[str, Any], answer: Answer) -> None:
        answer({"epoch": self.service.holds(self._text(what, "lease")), "acts": self.service.may_act()})
