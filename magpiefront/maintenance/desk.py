"""What operators' commands ask of a member about machines. Answers are JSON's types alone."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from magpiefront.group.asks import Fate, Outcome
from magpiefront.group.desk import Bad, read_then
from magpiefront.maintenance import facts, rules
from magpiefront.maintenance.facts import Command
from magpiefront.maintenance.plan import Plan
from magpiefront.maintenance.service import ASK_US, MaintenanceService

Answer = Callable[[dict[str, Any]], None]


class MaintenanceDesk:
    def __init__(self, service: MaintenanceService) -> None:
        self.service = service

    def asked(self, what: dict[str, Any], answer: Answer) -> None:
        does = {"status": self._status, "start": self._start, "steer": self._steer, "board": self._board}
        do = does.get(str(what.get("what")))
        if do is None:
            raise Bad(f"unknown: {what.get('what')!r}")
        try:
            do(what, answer)
        except (KeyError, TypeError, msgspec.ValidationError) as e:
            raise Bad(f"an ask that can't be read: {e}") from None

    def _read(self, answer: Answer, then: Callable[[], dict[str, Any]]) -> None:
        read_then(self.service.group, self.service.proxy.now_us() + ASK_US, answer, then)

    def _status(self, what: dict[str, Any], answer: Answer) -> None:
        self._read(answer, self.status)

    def status(self) -> dict[str, Any]:
        s = self.service
        k, members = s.board.kept, s.group.members()
        return {
            "member": s.settings.member, "at": k.wall_s, "nodes_out": sorted(s.away),
            "by_hand": sorted(s.hand), "load": round(rules.load(k), 2), "next": list(k.next),
            "plans": {
                name: {"by": r.plan.by, "what": r.plan.what, "paused": r.paused, "stopped": r.stopped,
                       "machines": list(r.plan.machines)}
                for name, r in k.plans.items()
            },
            "machines": {
                name: {
                    "plan": slot.plan, "state": slot.state.value, "epoch": slot.epoch,
                    "for_s": round(k.at_s - slot.since_s, 1), "cause": slot.cause,
                    "runner": slot.runner.partition("@")[0],
                    "waits_for": rules.waits_for(k, slot, members),
                }
                for name, slot in k.slots.items()
            },
            "lines": k.lines[-20:],
        }  # fmt: skip

    def _board(self, what: dict[str, Any], answer: Answer) -> None:
        """All that is agreed, for a forecast."""
        self._read(answer, lambda: {
            "kept": msgspec.to_builtins(self.service.board.kept, str_keys=True),
            "members": msgspec.to_builtins(self.service.group.members()),
        })  # fmt: skip

    def _propose(self, command: Command, answer: Answer) -> None:
        def agreed(o: Outcome) -> None:
            if o.fate is not Fate.COMMITTED:
                answer({"error": f"{o.fate.value}: {o.cause}"})
                return
            told: facts.Answer = msgspec.msgpack.decode(o.value, type=facts.Answer)
            answer({"done": True} if told.done else {"error": told.cause})

        self.service.propose(command, agreed)

    def _start(self, what: dict[str, Any], answer: Answer) -> None:
        s = self.service.settings
        plan = msgspec.convert(what["plan"], Plan)
        self._propose(facts.Start(plan, tuple(s.machines.values()), s.voters), answer)

    def _steer(self, what: dict[str, Any], answer: Answer) -> None:
        given = {key: str(what.get(key, "")) for key in ("plan", "by", "machine")}
        self._propose(facts.Steer(str(what["to"]), **given), answer)
