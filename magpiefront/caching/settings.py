"""Settings of the cache. Durations are in microseconds, sizes in bytes, unless the name says otherwise."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from magpiefront.net.passing import ClientSettings


@dataclass(frozen=True, slots=True)
class Policy:
    """Settings that the caching rules use. Durations are in whole seconds, as in HTTP fields."""

    name: str = "lineshift"  # in `Via` and `Cache-Status`
    heuristic_fraction: float = 0.1  # share of the time since Last-Modified (RFC 9111, 4.2.2); 0: off
    heuristic_most_s: int = 600  # upper bound of a heuristic lifetime
    # Targeted fields (RFC 9213); the first one present applies.
    targets: tuple[bytes, ...] = (b"cdn-cache-control",)
    stale_if_refused_s: int = 0  # the operator's limits for stale responses (RFC 9111, 4.2.4)
    stale_if_error_s: int = 0
    max_stale: bool = True  # whether clients may ask for stale responses


@dataclass(frozen=True, slots=True)
class DiskSettings:
    """Settings of the disk tier."""

    path: Path
    most_bytes: int = 1 << 30
    queue: int = 1_000  # objects waiting to be written; further ones are not saved
    load_timeout_us: int = 50_000  # a load that takes longer is a miss


@dataclass(frozen=True, slots=True)
class CachingSettings:
    """All settings of the cache."""

    policy: Policy = field(default_factory=Policy)
    classes: frozenset[str] | None = None  # names of the safe classes that are cached; None: all
    plain_servers: bool = False  # the servers speak plain HTTP and accept all methods, HEAD too
    most_bytes: int = 64 << 20  # memory of the stored responses and of the fetches under way
    most_object: int = 1 << 20  # a response with a longer body is not stored
    most_variants: int = 16  # stored responses for one key; a further one replaces the oldest
    # After a write of unknown outcome, no response for its gauge is stored for this long.
    unknown_outcome_us: int = 2_000_000
    # After a response that could not answer other requests, requests for its key do not share a fetch for
    # this long.
    pass_for_us: int = 2_000_000
    drop_fields: frozenset[bytes] = frozenset()  # request fields removed besides stage.UNTRUSTED_FIELDS
    clients: ClientSettings = field(default_factory=ClientSettings)
    disk: DiskSettings | None = None
