"""Who takes what of a lost member's work: the same at each survivor, from the agreed members alone. No I/O.

Rendezvous hashing (Thaler and Ravishankar, 1998) over the members that are well: each row has an order of
them, and each one's place in it is how long it waits. The first goes at once; one that does not come to it
(it does not reach the store, or is about to be lost too) holds nobody up for longer than a step. That two try
at one time does no harm: a claim is a compare-and-set on the row's owner.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from hashlib import blake2b
from itertools import islice

from magpiefront.record.rows import Id

STEP_US = 200_000
MOST_STEPS = 5  # beyond that all may


def score(id: Id, member: str) -> bytes:
    h = blake2b(digest_size=8)
    for part in (member.encode(), id.tenant.encode(), id.kind.encode(), id.key):
        h.update(len(part).to_bytes(4, "big") + part)
    return h.digest()


def before(id: Id, me: str, well: Iterable[str]) -> Iterator[str]:
    """The members that go before this one, in no order."""
    mine = score(id, me)
    return (m for m in well if m != me and score(id, m) > mine)


def turn_us(id: Id, me: str, well: Iterable[str]) -> int:
    """Counts no further than it matters: there may be hundreds of members, and as many rows at one look."""
    return sum(STEP_US for _ in islice(before(id, me, well), MOST_STEPS))
