"""Stores responses in memory, bounded in bytes, with S3-FIFO eviction. No I/O and no clock.

S3-FIFO (Yang et al., SOSP 2023): a new resource enters a small queue. If it is requested at least twice more
before it reaches the head, it moves to the main queue, otherwise it is evicted, so a scan affects the small
queue only.
The hashes of evicted keys are remembered for a while; a key that returns goes to the main queue at once.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable
from sys import getsizeof

from magpiefront.caching.rules import StoredResponse

# Share of `max_bytes` above which the small queue is evicted before the main queue.
SMALL_QUEUE_SHARE = 0.1
MAX_FREQUENCY = 3  # further uses of a resource are not counted
# Memory of a resource and of an object that getsizeof of their parts does not cover: slots, table and queue
# entries, integers, and the overhead of the allocator. Both values come from benchmarks/caching.py.
RESOURCE_BYTES = 560
OBJECT_BYTES = 480


def cost(s: StoredResponse) -> int:
    """Returns the memory that one stored response takes, in bytes."""
    size = OBJECT_BYTES + getsizeof(s.head) + getsizeof(s.body) + len(s.etag) + len(s.modified)
    for value in s.secondary:
        size += 100 + len(value or b"")
    return size


class Resource:
    """All variants of one key. `main` tells whether it is in the main queue; `frequency` counts its uses, up
    to `MAX_FREQUENCY`, and is lowered each time the resource is spared from eviction."""

    __slots__ = ("frequency", "gauge", "key", "main", "size", "variants")

    def __init__(self, key: bytes, gauge: bytes) -> None:
        self.key, self.gauge = key, gauge
        self.variants: tuple[StoredResponse, ...] = ()
        self.size = self.frequency = 0
        self.main = False


class Store:
    """A store of responses by key, also indexed by gauge, the unit of invalidation (see `targets`).

    After each call `size` plus `reserved_bytes` is at most `max_bytes`, unless the store is empty.
    """

    def __init__(self, max_bytes: int, most_variants: int = 16) -> None:
        self.max_bytes, self.most_variants = max_bytes, most_variants
        self.size = self.reserved_bytes = self.small_size = 0
        self.resources: dict[bytes, Resource] = {}
        self.gauges: dict[bytes, set[bytes] | bytes] = {}  # a single key, as for most gauges, has no set
        self.small: deque[Resource] = deque()
        self.main: deque[Resource] = deque()
        self.dead_entries = 0  # removed resources that are still in a queue
        self.ghosts: OrderedDict[int, None] = OrderedDict()  # hashes of evicted keys

    def __len__(self) -> int:
        return len(self.resources)

    # ---- lookup

    def get(self, key: bytes) -> Resource | None:
        """Returns the resource of a key. Counts as a use for the eviction."""
        resource = self.resources.get(key)
        if resource is not None and resource.frequency < MAX_FREQUENCY:
            resource.frequency += 1
        return resource

    def peek(self, key: bytes) -> tuple[StoredResponse, ...]:
        """Returns the variants of a key. Does not count as a use."""
        resource = self.resources.get(key)
        return resource.variants if resource is not None else ()

    # ---- updates

    def put(self, key: bytes, gauge: bytes, stored: StoredResponse) -> bool:
        """Stores a response in place of the variant with the same secondary key. Returns whether it fits."""
        size = cost(stored)
        if size + RESOURCE_BYTES + self.reserved_bytes > self.max_bytes:
            self.remove(key, (stored.vary, stored.secondary))
            return False
        resource = self.resources.get(key)
        if resource is None:
            resource = self._add(key, gauge)
        kept = [v for v in resource.variants if (v.vary, v.secondary) != (stored.vary, stored.secondary)]
        kept = kept[-(self.most_variants - 1) :] if self.most_variants > 1 else []
        self._set_variants(resource, (*kept, stored))
        self._shrink(resource)
        return resource.key in self.resources

    def remove(self, key: bytes, variant: tuple[tuple[bytes, ...], tuple[bytes | None, ...]]) -> None:
        """Removes the variant with these `vary` and `secondary`, if it is stored."""
        resource = self.resources.get(key)
        if resource is not None:
            remaining = tuple(v for v in resource.variants if (v.vary, v.secondary) != variant)
            if remaining:
                self._set_variants(resource, remaining)
            else:
                self._remove(resource)

    def drop(self, key: bytes) -> bool:
        """Removes all variants of a key. Returns whether there were any."""
        resource = self.resources.get(key)
        if resource is not None:
            self._remove(resource)
        return resource is not None

    def drop_gauge(self, gauge: bytes) -> list[bytes]:
        """Removes all resources of a gauge and returns their keys."""
        keys = list(self._keys(gauge))
        for key in keys:
            self.drop(key)
        return keys

    def clear(self) -> None:
        for resource in self.resources.values():
            resource.variants = ()
        self.resources.clear()
        self.gauges.clear()
        self.small.clear()
        self.main.clear()
        self.size = self.small_size = self.dead_entries = 0

    def reserve(self, size: int) -> bool:
        """Reserves bytes for a fetch in progress, and evicts responses if necessary.

        Returns False, and reserves nothing, if more than half of `max_bytes` would then be reserved.
        """
        if self.reserved_bytes + size > self.max_bytes // 2:
            return False
        self.reserved_bytes += size
        self._shrink(None)
        return True

    def release(self, size: int) -> None:
        """Releases bytes that were reserved."""
        self.reserved_bytes -= size

    def shrink(self) -> None:
        """Evicts until the store is within a lowered `max_bytes`."""
        self._shrink(None)

    # ---- internals

    def _keys(self, gauge: bytes) -> Iterable[bytes]:
        keys = self.gauges.get(gauge, ())
        return (keys,) if isinstance(keys, bytes) else keys

    def _add(self, key: bytes, gauge: bytes) -> Resource:
        resource = Resource(key, gauge)
        self.resources[key] = resource
        present = self.gauges.get(gauge)
        if present is None:
            self.gauges[gauge] = key
        elif isinstance(present, bytes):
            self.gauges[gauge] = {present, key}
        else:
            present.add(key)
        key_hash = hash(key)
        resource.main = key_hash in self.ghosts
        if resource.main:
            del self.ghosts[key_hash]
            self.main.append(resource)
        else:
            self.small.append(resource)
        self._resize(resource, RESOURCE_BYTES + getsizeof(key) + getsizeof(gauge))
        return resource

    def _set_variants(self, resource: Resource, variants: tuple[StoredResponse, ...]) -> None:
        resource.variants = variants
        base_bytes = RESOURCE_BYTES + getsizeof(resource.key) + getsizeof(resource.gauge)
        self._resize(resource, base_bytes + sum(cost(v) for v in variants))

    def _resize(self, resource: Resource, size: int) -> None:
        change, resource.size = size - resource.size, size
        self.size += change
        if not resource.main:
            self.small_size += change

    def _remove(self, resource: Resource) -> None:
        self._resize(resource, 0)
        resource.variants = ()
        del self.resources[resource.key]
        keys = self.gauges[resource.gauge]
        if isinstance(keys, set):
            keys.discard(resource.key)
            if not keys:
                del self.gauges[resource.gauge]
        else:
            del self.gauges[resource.gauge]
        self.dead_entries += 1
        if self.dead_entries > 64 and self.dead_entries > len(self.resources):
            # Only evictions take entries out of the queues: without any, removed resources would fill them.
            self.small = deque(r for r in self.small if self.resources.get(r.key) is r)
            self.main = deque(r for r in self.main if self.resources.get(r.key) is r)
            self.dead_entries = 0

    def _shrink(self, keep: Resource | None) -> None:
        """Evicts until the store is within its bound. `keep` is evicted only if no other resource is left."""
        while self.size + self.reserved_bytes > self.max_bytes and self.resources:
            if self.small and (self.small_size > self.max_bytes * SMALL_QUEUE_SHARE or not self.main):
                self._take_from_small(keep)
            elif self.main:
                self._take_from_main(keep)
            else:
                self._take_from_small(keep)

    def _is_live(self, resource: Resource) -> bool:
        """Returns whether a resource taken from a queue is still stored; if not, lowers `dead_entries`."""
        if self.resources.get(resource.key) is resource:
            return True
        self.dead_entries -= 1
        return False

    def _take_from_small(self, keep: Resource | None) -> None:
        """Evicts the head of the small queue, or moves it to the main queue if it was used at least twice
        since it entered the queue, or is `keep`."""
        resource = self.small.popleft()
        if not self._is_live(resource):
            return
        if resource.frequency > 1 or (resource is keep and len(self.resources) > 1):
            resource.frequency = 0
            self.small_size -= resource.size
            resource.main = True
            self.main.append(resource)
            return
        self.ghosts[hash(resource.key)] = None
        while len(self.ghosts) > max(64, len(self.resources)):
            self.ghosts.popitem(last=False)
        self._evict(resource)

    def _take_from_main(self, keep: Resource | None) -> None:
        """Evicts the head of the main queue, or moves it to the tail if it was used or is `keep`."""
        resource = self.main.popleft()
        if not self._is_live(resource):
            return
        if resource.frequency > 0 or (resource is keep and len(self.resources) > 1):
            resource.frequency = max(0, resource.frequency - 1)
            self.main.append(resource)
            return
        self._evict(resource)

    def _evict(self, resource: Resource) -> None:
        self._remove(resource)
        self.dead_entries -= 1  # the resource is no longer in a queue
