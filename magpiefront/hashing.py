"""Hashes that are the same in every process and at every proxy."""

from functools import lru_cache
from hashlib import blake2b

MASK = (1 << 64) - 1
GOLDEN = 0x9E3779B97F4A7C15


def mix(x: int) -> int:
    x = (x + GOLDEN) & MASK
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & MASK
    return x ^ (x >> 31)


def nth(h: int, n: int) -> int:
    """The n-th hash of what has hash h."""
    return mix(h + n * GOLDEN)


def bytes_hash(data: bytes) -> int:
    return int.from_bytes(blake2b(data, digest_size=8).digest(), "big")


def text_hash(text: str) -> int:
    return bytes_hash(text.encode())


def rank(h: int) -> float:
    """A hash as a number from 0 up to 1."""
    return (h >> 11) / (1 << 53)


@lru_cache(1024)
def points(name: str, count: int) -> tuple[int, ...]:
    """Where a server stands on a ring, sorted; the low 16 bits are free. Kept, for a list changes in few of
    its servers, and a ring of hundreds takes tens of milliseconds to hash anew."""
    seed = text_hash(name)
    return tuple(sorted(nth(seed, n) >> 16 << 16 for n in range(count)))
