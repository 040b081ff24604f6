"""What an operator may set of the cache. Durations are microseconds, sizes bytes, as their names say."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from magpiefront.net.passing import Clients


@dataclass(frozen=True, slots=True)
class Policy:
    """What the rules need of it. Durations are whole seconds, as in the fields that they stand beside."""

    name: str = "lineshift"  # in `Via` and `Cache-Status`
    heuristic_fraction: float = 0.1  # of the time since Last-Modified (RFC 9111, 4.2.2); 0: none
    heuristic_most_s: int = 600
    targets: tuple[bytes, ...] = (b"cdn-cache-control",)  # the first that is there counts (RFC 9213)
    stale_if_refused_s: int = 0  # the operator's own word on stale answers (RFC 9111, 4.2.4)
    stale_if_error_s: int = 0
    max_stale: bool = True  # may clients ask for stale answers?


@dataclass(frozen=True, slots=True)
class DiskSettings:
    path: Path
    most_bytes: int = 1 << 30
    queue: int = 1_000  # objects that wait to be written; more are not written
    wait_us: int = 50_000  # a look-up that takes longer is a miss


@dataclass(frozen=True, slots=True)
class CachingSettings:
    policy: Policy = field(default_factory=Policy)
    classes: frozenset[str] | None = None  # which safe classes; None: all
    plain_servers: bool = False
    most_bytes: int = 64 << 20
    most_object: int = 1 << 20
    most_variants: int = 16
    unsure_for_us: int = 2_000_000  # after a write of unknown outcome nothing is kept of its key
    pass_for_us: int = 2_000_000  # what proved not to be storable is not waited for so long
    drop_fields: frozenset[bytes] = frozenset()  # of clients' requests, on top of stage.DROPPED
    clients: Clients = field(default_factory=Clients)
    disk: DiskSettings | None = None
