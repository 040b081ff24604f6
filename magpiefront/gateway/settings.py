"""What an operator sets for the gateway, checked. Times are microseconds, sizes bytes, shares 0 to 1."""

from __future__ import annotations

from dataclasses import dataclass, field

from magpiefront.net.request import METHODS

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Site:
    """One site of the table that all sites share. `peers` are the gateways there, none for the own site."""

    name: str
    weight: float = 1.0
    prefixes: tuple[str, ...] = ()
    peers: tuple[Address, ...] = ()


@dataclass(frozen=True, slots=True)
class Tls:
    certificate: str
    key: str
    ca: str


@dataclass(frozen=True, slots=True)
class LinkSettings:
    connections: int = 2
    connect_timeout_us: int = 1_000_000
    ping_interval_us: int = 250_000
    ping_timeout_us: int = 1_000_000
    backoff_us: int = 50_000
    most_backoff_us: int = 2_000_000
    stall_us: int = 1_500_000


@dataclass(frozen=True, slots=True)
class CreditSettings:
    crossing: int = 400
    tenant_share: float = 0.5
    spill_share: float = 0.25
    reserved: dict[str, float] = field(default_factory=dict)  # by class: a part kept for it
    most: dict[str, float] = field(default_factory=dict)  # by class: no more than this part for it


@dataclass(frozen=True, slots=True)
class RetrySettings:
    share: float = 0.05
    depth: int = 10
    most_tries: int = 3


@dataclass(frozen=True, slots=True)
class KeyedSettings:
    most_answers: int = 20_000
    most_bytes: int = 16 << 20


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    site: str
    listen: Address
    sites: dict[str, Site]
    tls: Tls | None = None  # None: plain, where the file says so
    spill: tuple[str, ...] = ()  # classes that may try the other site once the home site refused
    home_when_down: bool = True  # may the other site's safe requests be served here while the link is down?
    retry_after_us: int = 500_000
    least_left_us: int = 20_000
    answer_margin_us: int = 5_000
    most_body: int = 1 << 20
    link: LinkSettings = field(default_factory=LinkSettings)
    credits: CreditSettings = field(default_factory=CreditSettings)
    retry: RetrySettings = field(default_factory=RetrySettings)
    keyed: KeyedSettings = field(default_factory=KeyedSettings)
    # Where a cache stands before the gateway: all fields and statuses cross, and what methods may.
    passes: bool = False
    methods: frozenset[bytes] = METHODS
