"""Is one history of a register linearizable? By the search of Wing and Gong (1993), with the states that were
seen kept (Lowe, 2017): which operations have taken effect, and what the register then holds.

It knows nothing of what it judges: only what clients asked, when, and what they were told.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

MOST_STATES = 2_000_000


@dataclass(frozen=True, slots=True)
class Op:
    """`end` None: nobody knows whether it took effect. A write with `version` takes effect only there."""

    write: bool
    value: bytes
    begin: float
    end: float | None
    version: int = -1


class Undecided(Exception):
    """There were too many orders to try them all."""


def linearizable(ops: Sequence[Op]) -> bool:
    """Over one register that begins empty, at version 0. Raises Undecided."""
    # A read whose outcome nobody knows says nothing.
    todo = sorted((o for o in ops if o.write or o.end is not None), key=lambda o: o.begin)
    must = 0
    for n, o in enumerate(todo):
        must |= (o.end is not None) << n
    seen: set[tuple[int, int, bytes]] = set()
    stack: list[tuple[int, int, bytes]] = [(0, 0, b"")]
    while stack:
        state = stack.pop()
        if state in seen:
            continue
        if len(seen) > MOST_STATES:
            raise Undecided
        seen.add(state)
        done, version, value = state
        if done & must == must:
            return True
        # Nothing may come before what had ended when it began.
        bound = min(o.end for n, o in enumerate(todo) if o.end is not None and not done >> n & 1)
        for n, o in enumerate(todo):
            if o.begin > bound:
                break
            if done >> n & 1:
                continue
            if not o.write:
                if o.value == value:
                    stack.append((done | 1 << n, version, value))
            elif o.version in (-1, version):
                stack.append((done | 1 << n, version + 1, o.value))
    return False
