"""The owner of a row: a member of the group and its epoch. No I/O.

An owner has the form `west-1.0@7/5f3a.12`: member, epoch, process and a number. A member gets a higher epoch
each time its permission to act changes, and only after it can no longer act under the previous epoch (see
`group/sessions.py`). So if a member's epoch is higher than the epoch of an owner that names it, this owner
certainly does not act any more.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import NamedTuple

from magpiefront.group.messages import name_of
from magpiefront.group.registry import Member, MemberState
from magpiefront.record.ownership import OwnerStatus

OWNER_PATTERN = re.compile(r"([^@/]+)@(\d+)/")


class Owner(NamedTuple):
    """A member and the epoch under which it owns a row."""

    member: str  # the id, with the incarnation
    epoch: int


def prefix_of(member: str, epoch: int) -> str:
    """The prefix of all owners that this member writes under this epoch."""
    return f"{member}@{epoch}/"


def parse(owner: str) -> Owner | None:
    """Parses a row's owner; None if it names no member, as in rows written without a group."""
    match = OWNER_PATTERN.match(owner)
    return Owner(match[1], int(match[2])) if match is not None else None


def owner_status(owner: str, me: str, members: Mapping[str, Member]) -> OwnerStatus:
    """Whether the owner may still act, as far as the member `me` knows.

    `members` holds the members by name as applied on `me`: they may be behind the committed state, but never
    ahead of it. An owner whose member or epoch is not known there yet counts as `ACTIVE`, so that a member
    that lags behind claims nothing.
    """
    parsed = parse(owner)
    if parsed is None:
        return OwnerStatus.NO_MEMBER
    known = members.get(name_of(parsed.member))
    if known is None or known.epoch < parsed.epoch:
        return OwnerStatus.ACTIVE
    if known.epoch > parsed.epoch or known.state is not MemberState.ALIVE or known.id != parsed.member:
        return OwnerStatus.ENDED
    return OwnerStatus.OWN if parsed.member == me else OwnerStatus.ACTIVE


def changed_prefixes(before: Mapping[str, Member], after: Mapping[str, Member]) -> list[str]:
    """The prefixes of the owners that may have lost their permission to act between `before` and `after`
    (both hold the members by name)."""
    prefixes = []
    for name, old in sorted(before.items()):
        new = after.get(name)
        if new is not None and (new.epoch, new.id) != (old.epoch, old.id):
            prefixes.append(f"{old.id}@")
    return prefixes
