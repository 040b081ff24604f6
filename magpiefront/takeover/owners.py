"""A row's owner as a member of the group under an epoch, and what the agreed facts say of it. No I/O.

An owner reads `west-1.0@7/5f3a.12`: member, epoch, process and number. Each change of what a member may do
gives it a higher epoch, and none is given before its acts under the one before are over (`sessions.py`): so
a higher epoch than an owner's says for certain that it acts no more.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import NamedTuple

from magpiefront.group.facts import Member, State
from magpiefront.group.messages import name_of
from magpiefront.record.acting import Standing

OWNER = re.compile(r"([^@/]+)@(\d+)/")


class Owner(NamedTuple):
    member: str  # its id, with its incarnation
    epoch: int


def prefix_of(member: str, epoch: int) -> str:
    return f"{member}@{epoch}/"


def read(owner: str) -> Owner | None:
    """None: it names no member, as before there was a group."""
    found = OWNER.match(owner)
    return Owner(found[1], int(found[2])) if found is not None else None


def standing(owner: str, me: str, members: Mapping[str, Member]) -> Standing:
    """`members` by name, as applied here; they may be behind, and never ahead. One that they don't know, or
    not that far, is taken for well: who lags takes nothing."""
    o = read(owner)
    if o is None:
        return Standing.UNTOLD
    known = members.get(name_of(o.member))
    if known is None or known.epoch < o.epoch:
        return Standing.WELL
    if known.epoch > o.epoch or known.state is not State.WELL or known.id != o.member:
        return Standing.OVER
    return Standing.MINE if o.member == me else Standing.WELL


def changed(before: Mapping[str, Member], after: Mapping[str, Member]) -> list[str]:
    """What the owners of rows begin with that may be over since `before`."""
    found = []
    for name, m in sorted(before.items()):
        now = after.get(name)
        if now is not None and (now.epoch, now.id) != (m.epoch, m.id):
            found.append(f"{m.id}@")
    return found
