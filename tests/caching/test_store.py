"""Tests of the memory store: its bound, its eviction and its variants."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from magpiefront.caching.rules import StoredResponse
from magpiefront.caching.store import RESOURCE_BYTES, Store, cost


def make_stored(size: int = 100, variant: bytes | None = None, date: int = 0) -> StoredResponse:
    names = () if variant is None else (b"foo",)
    return StoredResponse(200, b"X: y\r\n", b"x" * size, 0, 10**9, date_s=date, wall_s=0.0, vary=names,
                  secondary=() if variant is None else (variant,))  # fmt: skip


def check_invariants(store: Store) -> None:
    """Asserts that the counters match the contents and that the bound holds."""
    assert store.size + store.reserved_bytes <= store.max_bytes or not store.resources
    assert store.size == sum(r.size for r in store.resources.values())
    assert store.small_size == sum(r.size for r in store.resources.values() if not r.main)
    for r in store.resources.values():
        assert r.variants and r.size >= RESOURCE_BYTES + sum(cost(v) for v in r.variants)
    queued = [r for r in (*store.small, *store.main) if store.resources.get(r.key) is r]
    assert len(queued) == len(store.resources) == len(set(map(id, queued)))
    keys = [k for g in store.gauges for k in store._keys(g)]
    assert sorted(keys) == sorted(store.resources)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ("put", "put", "put", "get", "drop", "gauge", "variant", "reserve", "release", "clear")
        ),
        st.integers(0, 30),
        st.integers(0, 6_000),
    ),
    max_size=120,
)


@given(STEPS)
@settings(max_examples=150, deadline=None)
def test_the_store_stays_within_its_bound_after_any_steps(steps: list[tuple[str, int, int]]) -> None:
    store = Store(40_000, 3)
    reservations: list[int] = []
    for operation, n, size in steps:
        key, gauge = b"k%d" % n, b"g%d" % (n % 7)
        if operation == "put":
            store.put(key, gauge, make_stored(size))
        elif operation == "variant":
            store.put(key, gauge, make_stored(size, b"%d" % (size % 5)))
        elif operation == "get":
            store.get(key)
        elif operation == "drop":
            store.drop(key)
            assert not store.peek(key)
        elif operation == "gauge":
            store.drop_gauge(gauge)
            assert not any(r.gauge == gauge for r in store.resources.values())
        elif operation == "clear":
            store.clear()
            assert not store.resources
        elif operation == "reserve" and store.reserve(size):
            reservations.append(size)
        elif operation == "release" and reservations:
            store.release(reservations.pop())
        check_invariants(store)


def test_a_response_replaces_the_variant_with_the_same_secondary_key() -> None:
    store = Store(1 << 20, 3)
    for n, variant in enumerate((b"a", b"b", b"a")):
        store.put(b"k", b"g", make_stored(10 + n, variant))
    assert [len(v.body) for v in store.peek(b"k")] == [11, 12]
    for variant in (b"c", b"d"):
        store.put(b"k", b"g", make_stored(10, variant))
    assert [v.secondary for v in store.peek(b"k")] == [(b"a",), (b"c",), (b"d",)]
    store.remove(b"k", ((b"foo",), (b"c",)))
    assert len(store.peek(b"k")) == 2


def test_a_response_larger_than_the_store_is_not_stored_and_removes_its_predecessor() -> None:
    store = Store(100_000)
    store.put(b"k", b"g", make_stored(100))
    assert not store.put(b"k", b"g", make_stored(200_000))
    assert not store.peek(b"k") and store.size == 0


def test_reservations_count_and_take_at_most_half() -> None:
    store = Store(100_000)
    for n in range(40):
        store.put(b"k%d" % n, b"g%d" % n, make_stored(1_000))
    assert store.reserve(49_000) and not store.reserve(2_000)
    assert store.size + store.reserved_bytes <= store.max_bytes
    store.release(49_000)
    assert store.reserve(2_000)


def test_a_scan_does_not_evict_frequent_keys() -> None:
    store, random = Store(200_000), Random(1)
    frequent = [b"hot%d" % n for n in range(40)]

    def use(key: bytes) -> bool:
        if store.get(key) is not None:
            return True
        store.put(key, key, make_stored(500))
        return False

    for _ in range(2_000):
        use(random.choice(frequent))
    for n in range(5_000):
        use(b"scan%d" % n)
    assert sum(store.get(k) is not None for k in frequent) >= 36


def test_queues_do_not_grow_with_invalidations() -> None:
    store = Store(1 << 20)
    for n in range(20_000):
        store.put(b"k%d" % (n % 5), b"g", make_stored(10))
        store.drop_gauge(b"g")
    assert len(store.small) + len(store.main) < 500 and store.size == 0


@pytest.mark.parametrize("most_variants", [1, 2])
def test_the_number_of_variants_is_bounded(most_variants: int) -> None:
    store = Store(1 << 20, most_variants)
    for n in range(5):
        store.put(b"k", b"g", make_stored(10, b"%d" % n))
        assert store.peek(b"k")[-1].secondary == (b"%d" % n,)
    assert len(store.peek(b"k")) == most_variants
