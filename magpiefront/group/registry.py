"""The replicated registry: states of the members, leases with epochs, and small registers.

A state machine: the same commands in the same order give the same state on each member. It reads no clock:
the leader determines that a member's session has ended before it proposes to mark the member as lost.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from magpiefront.group.messages import Conf, name_of

MAX_REGISTERS = 100_000  # further keys are refused


class MemberState(Enum):
    """What the group has agreed on about a member."""

    ALIVE = "well"
    LOST = "lost"
    LEFT = "left"  # no longer a member; if it returns, its epoch continues from here


class Member(msgspec.Struct):
    """The state of a member. The epoch grows with each change of the member's permission to act."""

    id: str
    epoch: int
    state: MemberState = MemberState.ALIVE
    losses: int = 0  # consecutive losses, each soon after the previous return
    # The number of its latest process (`MemberContext.process_number`). The next one inherits no leases.
    process_number: int = msgspec.field(name="life", default=0)
    ended: int = 0  # number of the last process that ended as planned


class Lease(msgspec.Struct):
    """A lease and its holder."""

    holder: str  # a member's id; empty if free
    epoch: int  # grows with each grant


class Register(msgspec.Struct):
    """A value, and the number of writes to it as its version."""

    version: int
    value: bytes


class MarkLost(msgspec.Struct, tag="Lose"):
    """Marks a member as lost after its session has certainly ended. No effect unless `epoch` is the
    member's."""

    id: str
    epoch: int
    soon: bool  # the member is lost soon after its previous return
    ended: int = 0  # set by the member itself: the number of its process, which ends as planned


class MarkReturned(msgspec.Struct, tag="Welcome"):
    """Marks a lost member as alive. No effect unless `epoch` is the member's."""

    id: str
    epoch: int


class RegisterProcess(msgspec.Struct, tag="Begin"):
    """Records a member's new process. The previous one has ended, since only one process can use the disk."""

    id: str
    process_number: int = msgspec.field(name="life")


class SetBarred(msgspec.Struct, tag="Bar"):
    """An operator's decision to remove a name from the group (`out`) or to allow it again."""

    name: str
    out: bool


class AcquireLease(msgspec.Struct, tag="Take"):
    """Acquires a lease for a member. No effect if the lease is held or the member is not alive under
    `epoch`."""

    lease: str
    id: str
    epoch: int  # of the member


class ReleaseLease(msgspec.Struct, tag="Drop"):
    """Releases a lease. No effect unless the member holds it under `epoch`."""

    lease: str
    id: str
    epoch: int  # of the lease


class PutRegister(msgspec.Struct, tag="Put"):
    """Writes a register if its current version is `version`, or unconditionally if that is -1."""

    key: str
    value: bytes
    version: int = -1


Command = MarkLost | MarkReturned | RegisterProcess | SetBarred | AcquireLease | ReleaseLease | PutRegister


class CommandResult(msgspec.Struct):
    """The outcome of a command: whether it took effect, and the state after it."""

    done: bool
    epoch: int = 0  # of the member or the lease; for a register, its version
    holder: str = ""
    value: bytes = b""


class Tables(msgspec.Struct):
    """The registry's state. Members are stored by name."""

    members: dict[str, Member] = {}
    leases: dict[str, Lease] = {}
    registers: dict[str, Register] = {}
    barred: set[str] = set()  # names that an operator has removed
    changes: int = 0  # counts the changes of members


class Registry:
    """The state machine of the registry."""

    def __init__(self) -> None:
        self.tables = Tables()

    def reset(self) -> None:
        self.tables = Tables()

    def member(self, id: str) -> Member | None:
        """The member with that id; None if its name has another incarnation."""
        found = self.tables.members.get(name_of(id))
        return found if found is not None and found.id == id else None

    def is_alive(self, id: str) -> bool:
        found = self.member(id)
        return found is not None and found.state is MemberState.ALIVE

    def lease(self, name: str) -> Lease:
        """The lease of that name, free if it was never acquired."""
        return self.tables.leases.get(name) or Lease("", 0)

    def apply_conf(self, conf: Conf) -> None:
        """Applies a committed configuration: members that it adds are alive, members that it removes have
        left."""
        members = self.tables.members
        for id in sorted(conf.all):
            known = members.get(name_of(id))
            if known is None or known.id != id or known.state is MemberState.LEFT:
                members[name_of(id)] = Member(id, known.epoch + 1 if known is not None else 1)
                if known is not None:
                    self._release_leases(known.id)
        for name in [n for n, member in members.items() if member.id not in conf.all]:
            if members[name].state is not MemberState.LEFT:
                members[name].state = MemberState.LEFT
                members[name].epoch += 1
            self._release_leases(members[name].id)
        self.tables.changes += 1

    def _release_leases(self, id: str) -> None:
        for lease in self.tables.leases.values():
            if lease.holder == id:
                lease.holder = ""

    def apply(self, index: int, origin: str, data: bytes) -> bytes:
        try:
            command: Command = msgspec.msgpack.decode(data, type=Command)
        except msgspec.MsgspecError:  # written by another version: all members ignore it
            return msgspec.msgpack.encode(CommandResult(False))
        return msgspec.msgpack.encode(self._execute(command))

    def _execute(self, command: Command) -> CommandResult:
        match command:
            case MarkLost():
                member = self.member(command.id)
                if member is None or member.epoch != command.epoch or member.state is not MemberState.ALIVE:
                    return CommandResult(False)
                member.state, member.epoch = MemberState.LOST, member.epoch + 1
                member.losses = member.losses + 1 if command.soon else 1
                if command.ended:
                    member.losses, member.ended = 0, command.ended
                self._release_leases(command.id)
                self.tables.changes += 1
                return CommandResult(True, member.epoch)
            case MarkReturned():
                member = self.member(command.id)
                if member is None or member.epoch != command.epoch or member.state is not MemberState.LOST:
                    return CommandResult(False)
                member.state, member.epoch = MemberState.ALIVE, member.epoch + 1
                self.tables.changes += 1
                return CommandResult(True, member.epoch)
            case RegisterProcess():
                member = self.member(command.id)
                # A number that is not higher: a repeated command, or a delayed one of an earlier process.
                if member is None or command.process_number <= member.process_number:
                    return CommandResult(False)
                if member.process_number:
                    member.epoch += 1
                    self._release_leases(command.id)
                member.process_number = command.process_number
                self.tables.changes += 1
                return CommandResult(True, member.epoch)
            case SetBarred():
                before = command.name in self.tables.barred
                (self.tables.barred.add if command.out else self.tables.barred.discard)(command.name)
                return CommandResult(before != command.out)
            case AcquireLease():
                member, lease = (
                    self.member(command.id),
                    self.tables.leases.setdefault(command.lease, Lease("", 0)),
                )
                if (
                    lease.holder
                    or member is None
                    or member.state is not MemberState.ALIVE
                    or member.epoch != command.epoch
                ):
                    return CommandResult(lease.holder == command.id, lease.epoch, lease.holder)
                lease.holder, lease.epoch = command.id, lease.epoch + 1
                return CommandResult(True, lease.epoch, command.id)
            case ReleaseLease():
                lease = self.lease(command.lease)
                if lease.holder != command.id or lease.epoch != command.epoch:
                    return CommandResult(False, lease.epoch, lease.holder)
                lease.holder = ""
                return CommandResult(True, lease.epoch)
            case PutRegister():
                register = self.tables.registers.get(command.key) or Register(0, b"")
                is_full = (
                    command.key not in self.tables.registers and len(self.tables.registers) >= MAX_REGISTERS
                )
                if is_full or command.version not in (-1, register.version):
                    return CommandResult(False, register.version, value=register.value)
                self.tables.registers[command.key] = Register(register.version + 1, command.value)
                return CommandResult(True, register.version + 1, value=command.value)

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(self.tables, order="deterministic")

    def restore(self, data: bytes) -> None:
        self.tables = msgspec.msgpack.decode(data, type=Tables)


def encode(command: Command) -> bytes:
    return msgspec.msgpack.encode(command)


def decode_result(data: bytes) -> CommandResult:
    return msgspec.msgpack.decode(data, type=CommandResult)
