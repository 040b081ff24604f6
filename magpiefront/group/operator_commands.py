"""The commands that an operator sends to one member, and the member's answers. Both consist of JSON types
only. Handling a command never blocks: the answer may come later."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from magpiefront.group import registry
from magpiefront.group.pending import Outcome, Status
from magpiefront.group.state_machines import REGISTRY
from magpiefront.group.peer import decode_result
from magpiefront.group.interface import Group
from magpiefront.group.service import GroupService

Answer = Callable[[dict[str, Any]], None]
MAX_DEADLINE_MS = 10_000  # upper bound of a command's `deadline_ms`


class CommandError(Exception):
    """The command can't be carried out. The message becomes the `error` of the answer."""


def answer_after_read(
    group: Group, until_us: int, answer: Answer, result: Callable[[], dict[str, Any]]
) -> None:  # fmt: skip
    """Answers with `result()` after a linearizable read, so that the answer is at least as new as this call,
    or with an error if the read does not succeed by `until_us` (runtime's clock)."""

    def on_done(outcome: Outcome) -> None:
        answer(
            result() if outcome.status is Status.COMMITTED else {"error": f"the read failed: {outcome.cause}"}
        )

    group.read(until_us, on_done)


class OperatorCommands:
    """Carries out commands at the member of `service`."""

    def __init__(self, service: GroupService) -> None:
        self.service = service
        # The handlers of the commands of subsystems that use the group, by the command's name.
        self.extra_handlers: dict[str, Callable[[dict[str, Any], Answer], None]] = {}

    def handle(self, command: dict[str, Any], answer: Answer) -> None:
        """Carries out the command that the key `do` names. Calls `answer` once, by its `deadline_ms`."""
        handlers: dict[str, Callable[[dict[str, Any], Answer], None]] = {
            "status": self._status, "bar": self._bar, "lead": self._lead, "snapshot": self._snapshot,
            "put": self._put, "get": self._get, "take": self._take, "drop": self._drop, "holds": self._holds,
            **self.extra_handlers,
        }  # fmt: skip
        try:
            handler = handlers.get(str(command.get("do")))
            if handler is None:
                raise CommandError(f"unknown command: {command.get('do')!r}")
            if self.service.peer is None and handler != self._status:
                raise CommandError(self.service.cause)
            handler(command, answer)
        except CommandError as e:
            answer({"error": str(e)})

    def _text(self, command: dict[str, Any], key: str) -> str:
        """The text under a key, of 1 to 4,096 characters. Raises CommandError for anything else."""
        value = command.get(key)
        if not isinstance(value, str) or not 0 < len(value) <= 4_096:
            raise CommandError(f"{key}: must be a string of 1 to 4,096 characters")
        return value

    def _deadline_us(self, command: dict[str, Any]) -> int:
        """The time of the runtime's clock by which to answer, in microseconds: `deadline_ms` from now, by
        default 2 s. Raises CommandError if `deadline_ms` is invalid."""
        ms = command.get("deadline_ms", 2_000)
        if not isinstance(ms, int) or not 0 < ms <= MAX_DEADLINE_MS:
            raise CommandError(f"deadline_ms: must be an integer from 1 to {MAX_DEADLINE_MS}")
        return self.service.runtime.now_us() + ms * 1_000

    def _answer_outcome(self, answer: Answer) -> Callable[[Outcome], None]:
        """A callback that answers with the outcome of a command and, if it is committed, the registry's
        result."""

        def on_done(outcome: Outcome) -> None:
            result = decode_result(outcome)
            fields: dict[str, Any] = {}
            if result is not None:
                fields = {"done": result.done, "epoch": result.epoch, "holder": result.holder,
                          "value": result.value.decode("utf-8", "replace")}  # fmt: skip
            answer({"fate": outcome.status.value, "cause": outcome.cause, **fields})

        return on_done

    def _status(self, command: dict[str, Any], answer: Answer) -> None:
        answer(self.service.status())

    def _bar(self, command: dict[str, Any], answer: Answer) -> None:
        """Removes a name from the group (`out`), or allows it again."""
        name, out, peer = self._text(command, "name"), bool(command.get("out")), self.service.peer
        assert peer is not None
        obstacle = peer.members.change_obstacle(name, out)
        if obstacle:
            raise CommandError(obstacle)
        self.service.propose(REGISTRY, registry.encode(registry.SetBarred(name, out)),
                             self._deadline_us(command), self._answer_outcome(answer))  # fmt: skip

    def _lead(self, command: dict[str, Any], answer: Answer) -> None:
        """Starts to transfer leadership to the named voter."""
        peer = self.service.peer
        assert peer is not None
        id = peer.raft.log.conf.by_name(self._text(command, "to")) or ""
        if not peer.is_leader:
            raise CommandError(f"{peer.raft.leader or 'nobody'} leads")
        if id == peer.me:
            answer({"fate": "committed", "cause": "this member leads already"})
        elif not peer.raft.transfer_leadership(id, self.service.runtime.now_us()):
            raise CommandError("not a voter, or a transfer is in progress already")
        else:
            self.service.wake()
            answer({"fate": "unknown", "cause": "the transfer has started"})

    def _snapshot(self, command: dict[str, Any], answer: Answer) -> None:
        """Takes a snapshot, if any entry was applied since the last one, and answers with the index of the
        latest."""
        peer = self.service.peer
        assert peer is not None
        peer.snapshot()
        self.service.wake()
        answer({"snapshot": peer.raft.log.snapshot.index})

    def _put(self, command: dict[str, Any], answer: Answer) -> None:
        """Writes the register `key`, by default unconditionally, else if its version is `version`."""
        version = command.get("version", -1)
        if not isinstance(version, int):
            raise CommandError("version: must be an integer")
        put = registry.PutRegister(
            self._text(command, "key"), str(command.get("value", "")).encode(), version
        )
        self.service.propose(REGISTRY, registry.encode(put), self._deadline_us(command),
                             self._answer_outcome(answer))  # fmt: skip

    def _get(self, command: dict[str, Any], answer: Answer) -> None:
        """Reads the register `key` with a linearizable read."""
        key = self._text(command, "key")

        def on_done(outcome: Outcome) -> None:
            peer = self.service.peer
            register = peer.machines.registry.tables.registers.get(key) if peer is not None else None
            fields = {"value": register.value.decode("utf-8", "replace") if register is not None else "",
                      "version": register.version if register is not None else 0}  # fmt: skip
            answer({"fate": outcome.status.value, "cause": outcome.cause,
                    **(fields if outcome.status.value == "committed" else {})})  # fmt: skip

        self.service.read(self._deadline_us(command), on_done)

    def _take(self, command: dict[str, Any], answer: Answer) -> None:
        """Acquires a lease for this member."""
        self.service.acquire_lease(self._text(command, "lease"), self._deadline_us(command),
                                   self._answer_outcome(answer))  # fmt: skip

    def _drop(self, command: dict[str, Any], answer: Answer) -> None:
        """Releases a lease of this member."""
        self.service.release_lease(self._text(command, "lease"), self._deadline_us(command),
                                   self._answer_outcome(answer))  # fmt: skip

    def _holds(self, command: dict[str, Any], answer: Answer) -> None:
        """Answers with the epoch of a lease if this member holds it (else 0), and with the epoch under which
        this member may act (0 if it may not)."""
        answer({"epoch": self.service.lease_epoch(self._text(command, "lease")),
                "acts": self.service.may_act()})  # fmt: skip
