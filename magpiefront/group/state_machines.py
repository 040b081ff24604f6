"""Named state machines driven by one log, with duplicate commands filtered out. No I/O."""

from __future__ import annotations

from typing import Protocol

import msgspec

from magpiefront.group.registry import Registry
from magpiefront.group.messages import Conf, Entry, EntryKind
from magpiefront.group.log import encode_deterministic, decode_conf

REGISTRY = "facts"  # the registry's name, which can't change because log entries and snapshots contain it
DEDUP_WINDOW = 4_096  # a command whose number is this far below its member's highest counts as a duplicate


class StateMachine(Protocol):
    """A state machine: the same commands in the same order give the same state on each member.

    `apply` must answer a command that it can't decode with a result that refuses it. It must not raise, since
    that would stop every member.
    """

    def reset(self) -> None:
        """Returns to the state before the first command."""

    def apply(self, index: int, origin: str, data: bytes) -> bytes:
        """Applies the command `data`, which the member `origin` has proposed and which the log holds at
        `index`. Returns its encoded result."""

    def snapshot(self) -> bytes:
        """The encoded state."""

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot."""


class AppliedCommands(msgspec.Struct):
    """The applied commands of one member: the highest number, and the applied ones in the window below it."""

    top: int = 0
    below: set[int] = set()

    def mark_applied(self, seq: int) -> bool:
        """Records a command as applied. False if it is a duplicate, or too old to tell."""
        if seq > self.top:
            self.top = seq
            self.below = {s for s in self.below if s > seq - DEDUP_WINDOW}
        elif seq <= self.top - DEDUP_WINDOW or seq in self.below:
            return False
        self.below.add(seq)
        return True


class MachinesSnapshot(msgspec.Struct):
    """The encoded form of a snapshot of all state machines."""

    machines: dict[str, bytes]
    done: dict[str, AppliedCommands]


class StateMachines:
    """All state machines of a member, by name."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.by_name: dict[str, StateMachine] = {REGISTRY: self.registry}
        self.applied_commands: dict[str, AppliedCommands] = {}

    def apply(self, entry: Entry) -> bytes | None:
        """Applies a log entry. Returns the machine's answer to its command; None if the entry holds no
        command, or a duplicate, or one for an unknown machine."""
        if entry.kind is EntryKind.CONF:
            conf = decode_conf(entry.data)
            self.registry.apply_conf(conf)
            self._forget_departed(conf)
        elif entry.kind is EntryKind.COMMAND:
            name, _, data = entry.data.partition(b"\0")
            machine = self.by_name.get(name.decode("ascii", "replace"))
            if machine is not None and self.applied_commands.setdefault(
                entry.origin, AppliedCommands()
            ).mark_applied(entry.seq):
                return machine.apply(entry.index, entry.origin, data)
        return None

    def _forget_departed(self, conf: Conf) -> None:
        """Drops the applied commands of those that are not members any more."""
        for origin in self.applied_commands.keys() - conf.all:
            del self.applied_commands[origin]

    def snapshot(self) -> bytes:
        return encode_deterministic(
            MachinesSnapshot(
                {name: machine.snapshot() for name, machine in self.by_name.items()}, self.applied_commands
            )
        )

    def restore(self, data: bytes) -> None:
        content: MachinesSnapshot = msgspec.msgpack.decode(data, type=MachinesSnapshot)
        self.applied_commands = content.done
        for name, machine in self.by_name.items():
            if name in content.machines:
                machine.restore(content.machines[name])
