"""Who takes what of a lost member's work: the same at each survivor, from the agreed members alone. No I/O.

Rendezvous hashing (Thaler and Ravishankar, 1998) over the members that are well: each row has an order of
them, and each one's place in it is how long it waits. The first goes at once; one that does not come to it
(it does not reach the store, or is about to be lost too) holds nobody up for longer than a step. That two try
at one time does no harm: a claim is a compare-and-set on the row's owner.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from magpiefront.record.rows import Id

STEP_US = 200_000
MOST_STEPS = 5  # beyond that all may


def score(id: Id, member: str) -> bytes:
    h = blake2b(digest_size=8)
    for part in (member.encode(), id.tenant.encode(), id.kind.encode(), id.key):
        h.update(len(part).to_bytes(4, "big") + part)
    return h.digest()


def place(id: Id, me: str, well: Iterable[str]) -> int:
    """How many members go before this one."""
    mine = score(id, me)
    return sum(score(id, m) > mine for m in well if m != me)


def turn_us(id: Id, me: str, well: Iterable[str]) -> int:
    return min(MOST_STEPS, place(id, me, well)) * STEP_US
