"""What the members agree on beside the log itself: who is well, leases with epochs, small registers.

A state machine: the same commands in the same order give the same facts at each member. Nothing here looks at
a clock; that a member's time is over is the leader's to know before it proposes it.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from magpiefront.group.messages import Conf, name_of

MOST_REGISTERS = 100_000


class State(Enum):
    WELL = "well"
    LOST = "lost"
    LEFT = "left"  # no member any more; its epoch goes on if it comes back


class Member(msgspec.Struct):
    """By name. The epoch grows with each change of what it may do."""

    id: str
    epoch: int
    state: State = State.WELL
    losses: int = 0  # soon after each other
    life: int = 0  # of its process: the next one holds nothing of what this one held
    ended: int = 0  # the life that has ended as planned


class Held(msgspec.Struct):
    holder: str  # a member's id; empty: free
    epoch: int  # grows with each grant


class Register(msgspec.Struct):
    version: int
    value: bytes


class Lose(msgspec.Struct, tag=True):
    """Its session is over for certain. `epoch` is the one that it has had."""

    id: str
    epoch: int
    soon: bool
    ended: int = 0  # its own word, that this life of it ends


class Welcome(msgspec.Struct, tag=True):
    id: str
    epoch: int


class Begin(msgspec.Struct, tag=True):
    """Its process is a new one; the one before has ended (the disk has one user)."""

    id: str
    life: int


class Bar(msgspec.Struct, tag=True):
    """An operator takes a name out, or lets it in again."""

    name: str
    out: bool


class Take(msgspec.Struct, tag=True):
    lease: str
    id: str
    epoch: int  # of the member


class Drop(msgspec.Struct, tag=True):
    lease: str
    id: str
    epoch: int  # of the lease


class Put(msgspec.Struct, tag=True):
    """`version`: what it must be now; -1: whatever it is."""

    key: str
    value: bytes
    version: int = -1


Command = Lose | Welcome | Begin | Bar | Take | Drop | Put


class Told(msgspec.Struct):
    """The outcome of a command: whether it did anything, and what holds now."""

    done: bool
    epoch: int = 0
    holder: str = ""
    value: bytes = b""


class Kept(msgspec.Struct):
    members: dict[str, Member] = {}
    leases: dict[str, Held] = {}
    registers: dict[str, Register] = {}
    barred: set[str] = set()  # names that are to leave, or have
    changes: int = 0


class Facts:
    def __init__(self) -> None:
        self.kept = Kept()

    def begin(self) -> None:
        self.kept = Kept()

    def member(self, id: str) -> Member | None:
        """Of that very incarnation."""
        found = self.kept.members.get(name_of(id))
        return found if found is not None and found.id == id else None

    def well(self, id: str) -> bool:
        found = self.member(id)
        return found is not None and found.state is State.WELL

    def lease(self, name: str) -> Held:
        return self.kept.leases.get(name) or Held("", 0)

    def conf(self, conf: Conf) -> None:
        """Another configuration is committed."""
        members = self.kept.members
        for id in sorted(conf.all):
            known = members.get(name_of(id))
            if known is None or known.id != id or known.state is State.LEFT:
                members[name_of(id)] = Member(id, known.epoch + 1 if known is not None else 1)
                if known is not None:
                    self._free(known.id)
        for name in [n for n, m in members.items() if m.id not in conf.all]:
            if members[name].state is not State.LEFT:
                members[name].state = State.LEFT
                members[name].epoch += 1
            self._free(members[name].id)
        self.kept.changes += 1

    def _free(self, id: str) -> None:
        for held in self.kept.leases.values():
            if held.holder == id:
                held.holder = ""

    def apply(self, index: int, origin: str, data: bytes) -> bytes:
        try:
            command: Command = msgspec.msgpack.decode(data, type=Command)
        except msgspec.MsgspecError:  # of another version: nothing at each member
            return msgspec.msgpack.encode(Told(False))
        return msgspec.msgpack.encode(self._do(command))

    def _do(self, c: Command) -> Told:
        match c:
            case Lose():
                m = self.member(c.id)
                if m is None or m.epoch != c.epoch or m.state is not State.WELL:
                    return Told(False)
                m.state, m.epoch = State.LOST, m.epoch + 1
                m.losses = m.losses + 1 if c.soon else 1
                if c.ended:
                    m.losses, m.ended = 0, c.ended
                self._free(c.id)
                self.kept.changes += 1
                return Told(True, m.epoch)
            case Welcome():
                m = self.member(c.id)
                if m is None or m.epoch != c.epoch or m.state is not State.LOST:
                    return Told(False)
                m.state, m.epoch = State.WELL, m.epoch + 1
                self.kept.changes += 1
                return Told(True, m.epoch)
            case Begin():
                m = self.member(c.id)
                if m is None or c.life <= m.life:  # of a process before: it was long on its way
                    return Told(False)
                if m.life:
                    m.epoch += 1
                    self._free(c.id)
                m.life = c.life
                self.kept.changes += 1
                return Told(True, m.epoch)
            case Bar():
                before = c.name in self.kept.barred
                (self.kept.barred.add if c.out else self.kept.barred.discard)(c.name)
                return Told(before != c.out)
            case Take():
                m, held = self.member(c.id), self.kept.leases.setdefault(c.lease, Held("", 0))
                if held.holder or m is None or m.state is not State.WELL or m.epoch != c.epoch:
                    return Told(held.holder == c.id, held.epoch, held.holder)
                held.holder, held.epoch = c.id, held.epoch + 1
                return Told(True, held.epoch, c.id)
            case Drop():
                held = self.lease(c.lease)
                if held.holder != c.id or held.epoch != c.epoch:
                    return Told(False, held.epoch, held.holder)
                held.holder = ""
                return Told(True, held.epoch)
            case Put():
                r = self.kept.registers.get(c.key) or Register(0, b"")
                full = c.key not in self.kept.registers and len(self.kept.registers) >= MOST_REGISTERS
                if full or c.version not in (-1, r.version):
                    return Told(False, r.version, value=r.value)
                self.kept.registers[c.key] = Register(r.version + 1, c.value)
                return Told(True, r.version + 1, value=c.value)

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(self.kept, order="deterministic")

    def restore(self, data: bytes) -> None:
        self.kept = msgspec.msgpack.decode(data, type=Kept)


def encode(command: Command) -> bytes:
    return msgspec.msgpack.encode(command)


def read_told(data: bytes) -> Told:
    return msgspec.msgpack.decode(data, type=Told)
