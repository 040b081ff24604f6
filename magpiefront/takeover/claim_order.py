"""The order in which the surviving members claim the rows of a lost one. No I/O.

Each survivor computes the same order from the agreed members alone, by rendezvous hashing (Thaler and
Ravishankar, 1998) over the members that are alive. A member waits one step for each member ahead of it in
the order of the row, so the first member claims the row at once. If it does not (because it can't reach the
store, or is about to be lost too), the second member claims it one step later. Two members that claim a row
at the same time do no harm: a claim is a compare-and-set on the row's owner.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from hashlib import blake2b
from itertools import islice

from magpiefront.record.rows import Id

CLAIM_STEP_US = 200_000  # how long a member waits for each member ahead of it
MAX_CLAIM_STEPS = 5  # no member waits for longer than this many steps


def score(id: Id, member: str) -> bytes:
    """The rendezvous hash of the row and the member; the member with the highest one claims the row first."""
    hasher = blake2b(digest_size=8)
    for part in (member.encode(), id.tenant.encode(), id.kind.encode(), id.key):
        hasher.update(len(part).to_bytes(4, "big") + part)
    return hasher.digest()


def members_ahead(id: Id, me: str, alive: Iterable[str]) -> Iterator[str]:
    """The members that come before `me` in the order of the row, in no particular order."""
    own_score = score(id, me)
    return (m for m in alive if m != me and score(id, m) > own_score)


def claim_delay_us(id: Id, me: str, alive: Iterable[str]) -> int:
    """How long the member `me` waits before it claims the row, in microseconds.

    Stops counting the members ahead at `MAX_CLAIM_STEPS`, because there may be hundreds of members, and as
    many rows in one scan.
    """
    return sum(CLAIM_STEP_US for _ in islice(members_ahead(id, me, alive), MAX_CLAIM_STEPS))
