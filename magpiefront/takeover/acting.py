"""`record.acting.Acting` on a group: its epochs in owners, its facts on them, and hints between members."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import msgspec

from magpiefront.group.facts import Member, State
from magpiefront.group.messages import name_of
from magpiefront.group.seam import Group
from magpiefront.record.acting import Standing
from magpiefront.record.rows import Id
from magpiefront.takeover import owners, shares

FOLLOW, SETTLED = "follow", "settled"  # topics of hints
MOST_FOLLOWED = 4_096  # rows whose settling others, or this process, wait to hear of


class GroupActing:
    def __init__(self, group: Group) -> None:
        self.group = group
        self.seen: dict[str, Member] = {}
        self.changed: Callable[[list[str]], None] | None = None
        self.in_hand: Callable[[Id], bool] = lambda id: False
        self.following: OrderedDict[Id, Callable[[Id], None]] = OrderedDict()
        self.followers: OrderedDict[Id, dict[str, None]] = OrderedDict()
        group.watch(self._changed)
        group.hear(FOLLOW, self._asked)
        group.hear(SETTLED, self._told)

    def prefix(self) -> str | None:
        epoch = self.group.may_act()
        return owners.prefix_of(self.group.me, epoch) if epoch else None

    def may(self, owner: str) -> bool:
        prefix = self.prefix()
        return prefix is not None and owner.startswith(prefix)

    def standing(self, owner: str) -> Standing:
        return owners.standing(owner, self.group.me, self.group.members())

    def turn_us(self, id: Id) -> int:
        well = [m.id for m in self.group.members().values() if m.state is State.WELL]
        return shares.turn_us(id, self.group.me, well)

    def watch(self, changed: Callable[[list[str]], None], in_hand: Callable[[Id], bool]) -> None:
        self.changed, self.in_hand = changed, in_hand

    def _changed(self) -> None:
        before, members = self.seen, self.group.members()
        self.seen = {n: msgspec.structs.replace(m) for n, m in members.items()}
        of = owners.changed(before, members)
        if of and self.changed is not None:
            self.changed(of)

    # ---- hints: each may get lost, and costs then no more than a later look

    def follow(self, owner: str, id: Id, settled: Callable[[Id], None]) -> bool:
        o = owners.read(owner)
        if o is None:
            return False
        self.following[id] = settled
        if len(self.following) > MOST_FOLLOWED:
            self.following.popitem(last=False)
        self.group.tell(name_of(o.member), FOLLOW, msgspec.msgpack.encode(id))
        return True

    def settled(self, id: Id) -> None:
        for name in self.followers.pop(id, {}):
            self.group.tell(name, SETTLED, msgspec.msgpack.encode(id))

    def _asked(self, sender: str, data: bytes) -> None:
        id = _read(data)
        if id is None:
            return
        if not self.in_hand(id):
            self.group.tell(sender, SETTLED, data)
            return
        self.followers.setdefault(id, {})[sender] = None
        if len(self.followers) > MOST_FOLLOWED:
            self.followers.popitem(last=False)

    def _told(self, sender: str, data: bytes) -> None:
        id = _read(data)
        settled = self.following.pop(id, None) if id is not None else None
        if id is not None and settled is not None:
            settled(id)


def _read(data: bytes) -> Id | None:
    try:
        return msgspec.msgpack.decode(data, type=Id)
    except msgspec.MsgspecError:
        return None
