"""Hashes that are the same in every process and at every proxy, unlike Python's own `hash`."""

from struct import Struct

# What `hashlib` gives; importing `hashlib` itself would load OpenSSL's libraries.
try:
    from _blake2 import blake2b as blake2b
except ImportError:
    from hashlib import blake2b as blake2b

MASK_64 = (1 << 64) - 1
GOLDEN = 0x9E3779B97F4A7C15  # 2**64 divided by the golden ratio: the increment of SplitMix64


def splitmix64(x: int) -> int:
    """Returns the output of the published SplitMix64 generator for the state `x`: a 64-bit hash."""
    x = (x + GOLDEN) & MASK_64
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & MASK_64
    return x ^ (x >> 31)


def nth_hash(seed: int, n: int) -> int:
    """Returns the n-th hash (from 0) of the item whose own hash is `seed`."""
    return splitmix64(seed + n * GOLDEN)


def bytes_hash(data: bytes) -> int:
    """Returns the 64-bit BLAKE2b hash of bytes."""
    return int.from_bytes(blake2b(data, digest_size=8).digest(), "big")


def text_hash(text: str) -> int:
    """Returns the 64-bit BLAKE2b hash of a text's UTF-8 form."""
    return bytes_hash(text.encode())


def unit_interval(hash_: int) -> float:
    """Maps a 64-bit hash to a number from 0 up to, but not including, 1."""
    return (hash_ >> 11) / (1 << 53)


LANES = 96  # hashes computed at once, each in its own lane of one large integer
LANE_BITS = 128  # holds the product of a 64-bit hash and a 64-bit factor
LANE_ONES = sum(1 << LANE_BITS * n for n in range(LANES))
LANE_LOW = MASK_64 * LANE_ONES  # masks the lowest 64 bits of each lane
LANE_HIGH_48 = (MASK_64 >> 16 << 16) * LANE_ONES  # masks bits 16 to 63 of each lane
# Lane n holds the increments of n + 1 steps of SplitMix64.
LANE_STEPS = sum(((n + 1) * GOLDEN & MASK_64) << LANE_BITS * n for n in range(LANES))
LANE_WORDS = Struct(f"<{2 * LANES}Q")


def _lane_points(seed: int) -> tuple[int, ...]:
    """Returns `nth_hash(seed, n)` for n below LANES, with the lowest 16 bits cleared.

    All are computed at once as lanes of one large integer: each operation of `splitmix64` acts on all lanes.
    """
    x = (seed * LANE_ONES + LANE_STEPS) & LANE_LOW
    x = ((x ^ (x >> 30) & LANE_LOW) * 0xBF58476D1CE4E5B9) & LANE_LOW
    x = ((x ^ (x >> 27) & LANE_LOW) * 0x94D049BB133111EB) & LANE_LOW
    x = (x ^ (x >> 31)) & LANE_HIGH_48
    return LANE_WORDS.unpack(x.to_bytes(LANE_WORDS.size, "little"))[::2]


def ring_points(seed: int, first: int, end: int) -> list[int]:
    """Returns the points `first` up to, but not including, `end` of a server on a ring. `seed` is the hash of
    the server's name. The lowest 16 bits of each point are zero: the ring stores the server's index there."""
    points: list[int] = []
    for start in range(first, end, LANES):
        points += _lane_points((seed + start * GOLDEN) & MASK_64)[: end - start]
    return points
