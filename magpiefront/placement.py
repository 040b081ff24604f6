"""Placement of keys on servers: random-jump consistent hashing on a ring that is updated in place.

Each server has points on a ring of 64-bit hashes; a hash belongs to the server of the nearest point clockwise
of it ("Revisiting Consistent Hashing with Bounded Loads", the design page). The ring is an array of buckets,
indexed by the highest bits of a point; each bucket is a sorted array of 64-bit words. The cost of adding or
removing a server therefore depends on its own number of points and not on the number of servers.

Points of servers that left stay in the ring until there are many of them; one sweep over all buckets then
removes them and rebuilds each bucket once. When many servers join at once, their points are appended
unsorted, and the same kind of sweep sorts the buckets. For the points of many servers, a sweep costs less
than inserting or deleting them one by one. A bucket that is read before the sweep reaches it is sorted at
that moment.

A removed server gets no keys from the moment of its removal: its points are skipped until `apply_pending` has
deleted them. Added servers get keys only when all servers that joined in the same list have their points.
Between two calls of `apply_pending` the placement is therefore that of a complete list, without the servers
that have left since. This module does no I/O and reads no clock.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left, insort
from collections import deque
from typing import Generic, TypeVar

from magpiefront.hashing import ring_points, text_hash

BUCKET_BITS = 10  # highest bits of a point that select its bucket
BUCKETS = 1 << BUCKET_BITS
BUCKET_SHIFT = 64 - BUCKET_BITS
INDEX_BITS = 16  # lowest bits of a point's word: the index of its server
INDEX_MASK = (1 << INDEX_BITS) - 1
# Joining servers are placed by a sweep when the waiting changes are at least BULK_MIN_SERVERS, and at least
# the number of servers on the ring divided by BULK_JOIN_DIVISOR (an eighth).
BULK_MIN_SERVERS = 64
BULK_JOIN_DIVISOR = 8
# Servers that left keep their points until there are at least BULK_MIN_SERVERS / LEFT_MIN_DIVISOR of them,
# and at least the number of servers on the ring divided by LEFT_RING_DIVISOR (a quarter of each).
LEFT_MIN_DIVISOR = 4
LEFT_RING_DIVISOR = 4
WORDS_PER_POINT = 8  # sweeping this many words of a bucket takes as long as inserting one point
MAX_SERVERS = 1 << INDEX_BITS  # servers beyond this number get no points, and so no requests

ServerT = TypeVar("ServerT")


class RingMember(Generic[ServerT]):
    """The state of one server on the ring. `wanted` is the number of points that it should have, `placed` the
    number of points that have been put into the buckets."""

    __slots__ = ("active", "index", "placed", "removal_scheduled", "seed", "server", "wanted")

    def __init__(self, name: str, server: ServerT, index: int) -> None:
        self.server: ServerT | None = server  # None once it has left
        self.index = index
        self.seed = text_hash(name)
        self.wanted = 0
        self.placed = 0
        self.removal_scheduled = False  # a sweep will remove its points
        self.active = False  # keys may be placed on it


class Placement(Generic[ServerT]):
    """The ring. `points` is the number of points of active servers. `bulk_threshold` is the smallest number
    of waiting changes for which joining servers are placed by a sweep."""

    def __init__(self, bulk_threshold: int = BULK_MIN_SERVERS) -> None:
        self.bulk_threshold = bulk_threshold
        self.buckets: list[array[int]] = [array("Q") for _ in range(BUCKETS)]
        self.points = 0
        self._members: dict[str, RingMember[ServerT]] = {}
        self._by_index: list[RingMember[ServerT] | None] = []
        self._free: list[int] = []
        self._queue: deque[RingMember[ServerT] | None] = deque()  # None: the joins before it become active
        self._joining: list[RingMember[ServerT]] = []
        self._unsorted = bytearray(BUCKETS)  # 1 for a bucket with appended points
        self._next_to_sweep = BUCKETS  # the next bucket to sweep; BUCKETS while no sweep is running
        self._removing: list[RingMember[ServerT]] = []  # the running sweep removes their points
        self._removing_indices: set[int] = set()
        self._left_unswept: list[RingMember[ServerT]] = []  # the next sweep removes their points

    def __bool__(self) -> bool:
        """True if there is a server to place a key on."""
        return self.points > 0

    @property
    def busy(self) -> bool:
        """True if `apply_pending` has changes left to apply."""
        return bool(self._queue) or self._sweeping

    def put(self, name: str, server: ServerT, points: int) -> None:
        """Adds a server, or changes its number of points. `apply_pending` carries that out. A new server is
        ignored if there are MAX_SERVERS already."""
        member = self._members.get(name)
        if member is None:
            index = self._new_index()
            if index is None:
                return
            member = self._members[name] = RingMember(name, server, index)
            self._by_index[index] = member
        if member.wanted != points:
            if member.active:
                self.points += points - member.wanted
            member.wanted = points
            self._queue.append(member)

    def remove(self, name: str) -> None:
        """Removes a server: no key is placed on it from now on."""
        member = self._members.pop(name, None)
        if member is None:
            return
        if member.active:
            self.points -= member.wanted
        member.active = False
        member.server = None
        member.wanted = 0
        self._queue.append(member)

    def commit_joins(self) -> None:
        """Marks the end of a list: the servers added before this call become active together."""
        self._queue.append(None)

    def apply_pending(self, budget: int) -> bool:
        """Applies waiting changes, a whole server at a time, until they have cost `budget` points. Returns
        True if changes are left."""
        while self._queue and budget > 0:
            member = self._queue.popleft()
            if member is None:
                self._activate_joined()
            else:
                budget -= self._apply(member)
        while self._sweeping and budget > 0:
            budget -= self._sweep_bucket()
        return self.busy

    def owner(self, hash_: int) -> ServerT | None:
        """Returns the server of the nearest point clockwise of a hash; None if there is no server."""
        if not self.points:
            return None
        number = hash_ >> BUCKET_SHIFT
        bucket = self._sorted_bucket(number) if self._unsorted[number] else self.buckets[number]
        offset = bisect_left(bucket, hash_)
        while True:
            while offset < len(bucket):
                member = self._by_index[bucket[offset] & INDEX_MASK]
                if member is not None and member.active:
                    return member.server
                offset += 1
            number = (number + 1) % BUCKETS
            bucket = self._sorted_bucket(number)
            offset = 0

    def _new_index(self) -> int | None:
        if self._free:
            return self._free.pop()
        if len(self._by_index) < MAX_SERVERS:
            self._by_index.append(None)
            return len(self._by_index) - 1
        return None

    def _apply(self, member: RingMember[ServerT]) -> int:
        """Gives a server the number of points that it should have. Returns the cost in points."""
        if member.removal_scheduled:
            return 0
        placed_before, wanted = member.placed, member.wanted
        member.placed = wanted
        if not wanted:
            self._schedule_removal(member, placed_before)
            return 1
        joining = ring_points(member.seed, placed_before, wanted)
        bulk = len(self._queue) >= max(self.bulk_threshold, len(self._members) // BULK_JOIN_DIVISOR)
        if self._sweeping or bulk:
            self._append(joining, member.index)
        else:
            self._insert(joining, member.index)
        self._delete(ring_points(member.seed, wanted, placed_before), member.index)
        if not member.active:
            self._joining.append(member)
        return abs(wanted - placed_before)

    def _removal_due(self) -> bool:
        limit = max(1, self.bulk_threshold // LEFT_MIN_DIVISOR, len(self._members) // LEFT_RING_DIVISOR)
        return len(self._left_unswept) >= limit

    def _schedule_removal(self, member: RingMember[ServerT], points: int) -> None:
        if not points:
            self._release_index(member)
            return
        member.removal_scheduled = True
        self._left_unswept.append(member)
        if self._removal_due():
            self._start_sweep()

    def _insert(self, points: list[int], index: int) -> None:
        buckets, unsorted = self.buckets, self._unsorted
        for point in points:
            number = point >> BUCKET_SHIFT
            bucket = self._sorted_bucket(number) if unsorted[number] else buckets[number]
            insort(bucket, point | index)

    def _append(self, points: list[int], index: int) -> None:
        buckets, unsorted = self.buckets, self._unsorted
        for point in points:
            number = point >> BUCKET_SHIFT
            buckets[number].append(point | index)
            unsorted[number] = 1
        self._start_sweep()

    def _delete(self, points: list[int], index: int) -> None:
        for point in points:
            bucket = self._sorted_bucket(point >> BUCKET_SHIFT)
            del bucket[bisect_left(bucket, point | index)]

    def _sorted_bucket(self, number: int) -> array[int]:
        if self._unsorted[number]:
            self._unsorted[number] = 0
            self.buckets[number] = array("Q", sorted(self.buckets[number]))
        return self.buckets[number]

    @property
    def _sweeping(self) -> bool:
        return self._next_to_sweep < BUCKETS

    def _start_sweep(self) -> None:
        if not self._sweeping:
            self._next_to_sweep = 0
            self._removing, self._left_unswept = self._left_unswept, []
            self._removing_indices = {member.index for member in self._removing}

    def _sweep_bucket(self) -> int:
        """Sorts the next bucket and removes the points of servers that left. Returns the cost in points."""
        number = self._next_to_sweep
        bucket = self.buckets[number]
        cost = 1 + len(bucket) // WORDS_PER_POINT if self._removing or self._unsorted[number] else 1
        if self._removing:
            gone = self._removing_indices
            bucket = array("Q", [word for word in bucket if word & INDEX_MASK not in gone])
            self.buckets[number] = bucket
        self._sorted_bucket(number)
        self._next_to_sweep += 1
        if not self._sweeping:
            self._end_sweep()
        return cost

    def _end_sweep(self) -> None:
        for member in self._removing:
            self._release_index(member)
        self._removing = []
        if any(self._unsorted) or self._removal_due():
            self._start_sweep()

    def _release_index(self, member: RingMember[ServerT]) -> None:
        if self._by_index[member.index] is member:
            self._by_index[member.index] = None
            self._free.append(member.index)

    def _activate_joined(self) -> None:
        activated, self._joining = self._joining, []
        for member in activated:
            if member.wanted and not member.active:
                member.active = True
                self.points += member.wanted
