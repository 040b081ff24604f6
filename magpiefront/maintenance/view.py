"""What one proxy does with the agreed facts: where it sends nothing, and what it says of that.

No I/O and no clock.

A proxy that is cut off goes on serving, and can't hear of a grant. It leaves out what was named as next while
it could hear, from the moment at which its session is over by its own clock; the others count on that
(`rules.py`). It takes such a machine up again only once it has a session and a read that began in it has come
back: then what it has applied is as new as anything that was agreed before.

A node is left out by its name and by its place: the list may come to show another machine's node at an
address where one stood that is out, because a box came back with the wrong disk or identity. Nothing goes
there either.

A process that has just started knows of the log only what its last snapshot holds. So what it has to leave
out stands in a file of its own (`Memory`), and is there before it says that it knows.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from magpiefront.hashing import bytes_hash, rank
from magpiefront.maintenance.facts import AWAY, LEAVING, Kept, Knows, Slot, State, Word

NOWHERE: Mapping[str, bytes] = {}
AGAIN_US = 300_000  # until a word that has not been applied is said again


class Memory(msgspec.Struct, frozen=True):
    """What must last of a view: nothing is sent to these while nothing newer is known."""

    version: int = 0  # of `next`
    machines: dict[str, tuple[str, ...]] = {}  # and their nodes
    places: dict[bytes, str] = {}  # where each of these nodes stood when it went


def turn_s(me: str, slot: Slot, spread_s: float) -> float:
    """When, after its grant, this proxy moves its keys away: each at a moment of its own, so that the first
    ones warm the new homes for all others, and the archive is never asked for all at once."""
    return spread_s * rank(bytes_hash(f"{me} {slot.machine} {slot.epoch}".encode()))


class View:
    """Of the member `me`. Times are microseconds of its own monotonic clock. `memory` is what its disk holds:
    None where there was none, as at the first start of all, or after the loss of a disk."""

    def __init__(self, me: str, memory: Memory | None) -> None:
        self.me, self.memory = me, memory
        self.fresh_epoch = 0  # the own epoch in which a read has come back
        self.granted_us: dict[tuple[str, int], int] = {}  # when a grant was first seen here
        self.said_us: dict[tuple[str, int, int], int] = {}
        self.knew_us = -AGAIN_US
        self.looked: tuple[Kept | None, int, Memory | None] = None, 0, None
        self.machines: dict[str, list[str]] = {}  # by node, as of `looked`

    @property
    def may_serve(self) -> bool:
        """Nothing is known at all: one that has lost its disk could send to a machine that is out."""
        return self.memory is not None or self.fresh_epoch > 0

    def fresh(self, epoch: int) -> bool:
        return epoch > 0 and epoch == self.fresh_epoch

    def read_back(self, epoch: int) -> None:
        """A read that was begun under that epoch has come back, and the epoch still holds."""
        self.fresh_epoch = epoch

    def to_remember(self, k: Kept, at: Mapping[str, bytes] = NOWHERE) -> Memory:
        """`at`: where the list has each node now; of one that has gone, where it was then is what counts."""
        away = {s.machine for s in k.slots.values() if s.state in AWAY}
        machines = {m: k.fleet[m].nodes for m in sorted(away | set(k.next))}
        gone = {n for m in away for n in machines[m]}
        before = self.memory.places if self.memory is not None else {}
        stood = {node: place for place, node in before.items()}
        found: dict[bytes, str] = {}
        for node in sorted({n for names in machines.values() for n in names}):
            first, second = (stood, at) if node in gone else (at, stood)
            place = first.get(node) or second.get(node)
            if place:
                found.setdefault(place, node)
        return Memory(k.version, machines, found)

    def away(self, k: Kept, epoch: int, now_us: int) -> set[str]:
        """The machines to which nothing is sent now. `epoch`: the own one; 0 without a session."""
        found = {s.machine for s in k.slots.values() if self._left_out(k, s, now_us)}
        if not self.fresh(epoch):
            found |= set(k.next)
            found |= set(self.memory.machines) if self.memory is not None else set()
        return found

    def _left_out(self, k: Kept, slot: Slot, now_us: int) -> bool:
        if slot.state is not State.GRANTED:
            return slot.state in AWAY
        first = self.granted_us.setdefault((slot.machine, slot.epoch), now_us)
        spread_s = k.plans[slot.plan].plan.limits.spread_s
        return now_us >= first + int(turn_s(self.me, slot, spread_s) * 1e6)

    def nodes(
        self, k: Kept, epoch: int, now_us: int, at: Mapping[str, bytes] = NOWHERE
    ) -> set[str]:  # fmt: skip
        """All that is left out, of those at `at` also who stands at such a node's place."""
        found = set[str]()
        for m in self.away(k, epoch, now_us):
            known = k.fleet[m].nodes if m in k.fleet else ()
            held = self.memory.machines.get(m, ()) if self.memory is not None else ()
            found.update(known, held)
        return found | {n for n, place in at.items() if self.in_place_of(n, place) in found}

    def in_place_of(self, node: str, place: bytes) -> str:
        """Which other node stood there before; empty: none that is remembered."""
        stood = self.memory.places.get(place, "") if self.memory is not None else ""
        return stood if stood != node else ""

    def leaves_out(self, k: Kept, node: str, epoch: int, now_us: int, place: bytes = b"") -> bool:
        """Is it one of `nodes`? Asked in front of each request: without making that set."""
        other = self.in_place_of(node, place)
        if other and self.leaves_out(k, other, epoch, now_us):
            return True
        held = self.memory.machines if self.memory is not None else {}
        unsure = not self.fresh(epoch)
        for name in self._machines_of(k, node):
            slot = k.slots.get(name)
            if unsure and (name in k.next or name in held):
                return True
            if slot is not None and self._left_out(k, slot, now_us):
                return True
        return False

    def _machines_of(self, k: Kept, node: str) -> Sequence[str]:
        """By the fleet, and by what was remembered. The table is made anew with each line that the facts get:
        nothing is put into the fleet without one."""
        known, noted, memory = self.looked
        if known is not k or noted != k.noted or memory is not self.memory:
            self.looked, self.machines = (k, k.noted, self.memory), {}
            held = self.memory.machines if self.memory is not None else {}
            for name in {**k.fleet, **held}:
                nodes = k.fleet[name].nodes if name in k.fleet else ()
                for n in {*nodes, *held.get(name, ())}:
                    self.machines.setdefault(n, []).append(name)
        return self.machines.get(node, ())

    def says(self, k: Kept, epoch: int, now_us: int, busy: set[str]) -> list[Word | Knows]:
        """What is to be proposed now. `busy`: nodes at which something is out, or a connection open."""
        if not self.fresh(epoch) or self.memory is None:
            return []
        found: list[Word | Knows] = []
        version = min(k.version, self.memory.version)
        if version > k.knows.get(self.me, 0) and now_us >= self.knew_us + AGAIN_US:
            self.knew_us = now_us
            found.append(Knows(version))
        for slot in k.slots.values():
            if slot.state not in LEAVING or slot.words.get(self.me) == epoch:
                continue
            if slot.machine not in self.memory.machines or busy & set(k.fleet[slot.machine].nodes):
                continue
            if not self._left_out(k, slot, now_us):
                continue
            key = slot.machine, slot.epoch, epoch
            if now_us >= self.said_us.get(key, -AGAIN_US) + AGAIN_US:
                self.said_us[key] = now_us
                found.append(Word(slot.machine, slot.epoch, epoch))
        open_ = {(s.machine, s.epoch) for s in k.slots.values() if s.state in LEAVING}
        self.said_us = {key: at for key, at in self.said_us.items() if key[:2] in open_}
        self.granted_us = {key: at for key, at in self.granted_us.items() if key in open_}
        return found
