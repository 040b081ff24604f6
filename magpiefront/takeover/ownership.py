"""`record.ownership.Ownership` for a member of a group.

The owners of rows carry the epochs of the group, its committed state decides which owners may act, and
members send each other hints about the rows that they wait for.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import msgspec

from magpiefront.group.interface import Group
from magpiefront.group.messages import name_of
from magpiefront.group.registry import Member, MemberState
from magpiefront.record.ownership import OwnerStatus
from magpiefront.record.rows import Id
from magpiefront.takeover import claim_order, owners

# Topics of the hints between members: a request to the owner of a row for a notice once it is done with the
# row (which is then settled), and that notice.
FOLLOW_TOPIC, SETTLED_TOPIC = "follow", "settled"
# Limit on the number of rows that this process follows, and on the number of rows in hand here that other
# members follow. Beyond it, the oldest are dropped.
MAX_FOLLOWED_ROWS = 4_096


class GroupOwnership:
    """Decides from the group's state which rows this member may act on.

    To follow a row means to have asked its owner for a hint once the owner is done with it. `following` holds
    the callbacks of the rows that this process follows. `followers` holds, for each row in hand here that
    other members follow, the names of those members.
    """

    def __init__(self, group: Group) -> None:
        self.group = group
        self.known_members: dict[str, Member] = {}
        self.changed: Callable[[list[str]], None] | None = None
        self.in_hand: Callable[[Id], bool] = lambda id: False  # whether this process works on the report
        self.following: OrderedDict[Id, Callable[[Id], None]] = OrderedDict()
        self.followers: OrderedDict[Id, dict[str, None]] = OrderedDict()
        group.watch(self._on_members_changed)
        group.on_hint(FOLLOW_TOPIC, self._on_follow)
        group.on_hint(SETTLED_TOPIC, self._on_settled)

    def owner_prefix(self) -> str | None:
        epoch = self.group.may_act()
        return owners.prefix_of(self.group.me, epoch) if epoch else None

    def may_act(self, owner: str) -> bool:
        prefix = self.owner_prefix()
        return prefix is not None and owner.startswith(prefix)

    def owner_status(self, owner: str) -> OwnerStatus:
        return owners.owner_status(owner, self.group.me, self.group.members())

    def claim_delay_us(self, id: Id) -> int:
        alive = [m.id for m in self.group.members().values() if m.state is MemberState.ALIVE]
        return claim_order.claim_delay_us(id, self.group.me, alive)

    def watch(self, changed: Callable[[list[str]], None], in_hand: Callable[[Id], bool]) -> None:
        self.changed, self.in_hand = changed, in_hand

    def _on_members_changed(self) -> None:
        before, members = self.known_members, self.group.members()
        self.known_members = {n: msgspec.structs.replace(m) for n, m in members.items()}
        prefixes = owners.changed_prefixes(before, members)
        if prefixes and self.changed is not None:
            self.changed(prefixes)

    # ---- hints: any hint may get lost; the row is then read at the next regular poll

    def follow(self, owner: str, id: Id, on_done: Callable[[Id], None]) -> bool:
        parsed = owners.parse(owner)
        if parsed is None:
            return False
        self.following[id] = on_done
        if len(self.following) > MAX_FOLLOWED_ROWS:
            self.following.popitem(last=False)
        self.group.send_hint(name_of(parsed.member), FOLLOW_TOPIC, msgspec.msgpack.encode(id))
        return True

    def notify_done(self, id: Id) -> None:
        for name in self.followers.pop(id, {}):
            self.group.send_hint(name, SETTLED_TOPIC, msgspec.msgpack.encode(id))

    def _on_follow(self, sender: str, data: bytes) -> None:
        """Sends the notice at once if the row is not in hand here, otherwise once this process is done with
        it."""
        id = _decode_id(data)
        if id is None:
            return
        if not self.in_hand(id):
            self.group.send_hint(sender, SETTLED_TOPIC, data)
            return
        self.followers.setdefault(id, {})[sender] = None
        if len(self.followers) > MAX_FOLLOWED_ROWS:
            self.followers.popitem(last=False)

    def _on_settled(self, sender: str, data: bytes) -> None:
        id = _decode_id(data)
        settled = self.following.pop(id, None) if id is not None else None
        if id is not None and settled is not None:
            settled(id)


def _decode_id(data: bytes) -> Id | None:
    """The row id that the data of a hint holds; None if the data is malformed."""
    try:
        return msgspec.msgpack.decode(data, type=Id)
    except msgspec.MsgspecError:
        return None
