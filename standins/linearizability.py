"""Checks whether the history of a register is linearizable.

The search is that of Wing and Gong (1993), with a cache of the states that it has visited (Lowe, 2017). A
state is the set of operations that have taken effect, and the version and value of the register after them.
The check uses only what the clients observed: what they requested, when, and the answers.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

MAX_STATES = 2_000_000  # the search is given up when it has visited more states


@dataclass(frozen=True, slots=True)
class Op:
    """An operation of a client: a write of `value`, or a read that returned it. Times are in seconds."""

    write: bool
    value: bytes
    begin: float
    end: float | None  # None: no answer came, so the operation may have taken effect at any time or never
    version: int = -1  # a write takes effect only at this version of the register; -1: at any


class Undecided(Exception):
    """The search was given up after more than `MAX_STATES` states."""


def linearizable(ops: Sequence[Op]) -> bool:
    """Whether the operations on one register, which is empty and at version 0 at first, are linearizable.
    Raises Undecided."""
    # A read without an answer does not constrain the order.
    relevant = sorted((o for o in ops if o.write or o.end is not None), key=lambda o: o.begin)
    required = 0  # bit set of the operations with an answer, which must all take effect
    for n, op in enumerate(relevant):
        required |= (op.end is not None) << n
    visited: set[tuple[int, int, bytes]] = set()
    stack: list[tuple[int, int, bytes]] = [(0, 0, b"")]
    while stack:
        state = stack.pop()
        if state in visited:
            continue
        if len(visited) > MAX_STATES:
            raise Undecided
        visited.add(state)
        done, version, value = state
        if done & required == required:
            return True
        # If an operation began after a remaining one had ended, that one would have to take effect first.
        earliest_end = min(o.end for n, o in enumerate(relevant) if o.end is not None and not done >> n & 1)
        for n, op in enumerate(relevant):
            if op.begin > earliest_end:
                break
            if done >> n & 1:
                continue
            if not op.write:
                if op.value == value:
                    stack.append((done | 1 << n, version, value))
            elif op.version in (-1, version):
                stack.append((done | 1 << n, version + 1, op.value))
    return False
