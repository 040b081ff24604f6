"""Validated settings of the gateway. Names ending in `_us` are microseconds, shares are from 0 to 1."""

from __future__ import annotations

from dataclasses import dataclass, field

from magpiefront.net.request import METHODS

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Site:
    """One site of the table that all sites share.

    `weight` and `prefixes` assign keys to the site. `peers` are the addresses of its gateways; empty for the
    own site.
    """

    name: str
    weight: float = 1.0
    prefixes: tuple[str, ...] = ()
    peers: tuple[Address, ...] = ()


@dataclass(frozen=True, slots=True)
class Tls:
    """Paths of PEM files: this site's certificate, its key, and the certificate authority of all sites."""

    certificate: str
    key: str
    ca: str


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Settings of the connections to one site; `connections` is their number for each peer.

    The upper limit of the pause between attempts to connect starts at `backoff_us` and doubles up to
    `max_backoff_us`.
    """

    connections: int = 2
    connect_timeout_us: int = 1_000_000
    ping_interval_us: int = 250_000
    ping_timeout_us: int = 1_000_000
    backoff_us: int = 50_000
    max_backoff_us: int = 2_000_000
    stall_us: int = 1_500_000  # a streamed answer that makes no progress for this long is aborted


@dataclass(frozen=True, slots=True)
class CreditSettings:
    """How many requests may be on the link at a time (`crossing`), and how classes and tenants share them."""

    crossing: int = 400
    # The most that one tenant may use, as a share of the shared credits or of those reserved for a class.
    tenant_share: float = 0.5
    spill_share: float = 0.25  # the most that spilled requests may use, as a share of the shared credits
    # By class: the share of `crossing` that is reserved for it, and the largest share that it may use.
    reserved: dict[str, float] = field(default_factory=dict)
    most: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """The retry budget of the link: each first attempt adds `share` of a retry, and at most `depth` retries
    are saved up. `max_attempts` limits the attempts of one request, including the first."""

    share: float = 0.05
    depth: int = 10
    max_attempts: int = 3


@dataclass(frozen=True, slots=True)
class KeyedSettings:
    """Bounds of the table of answers to keyed requests: entries, including requests that still run, and bytes
    of the answers."""

    max_answers: int = 20_000
    max_bytes: int = 16 << 20


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """All settings of one gateway process."""

    site: str
    listen: Address
    sites: dict[str, Site]
    tls: Tls | None = None  # None: plain TCP, which the operator file has to allow
    spill: tuple[str, ...] = ()  # classes whose requests may go to another site if the home site refuses them
    home_when_down: bool = True  # serve safe requests of other sites here while the link is down
    retry_after_us: int = 500_000  # Retry-After of a refusal; longer if the next connection attempt is later
    # A request with less time left than this, after the round trip and `answer_margin_us`, is not forwarded.
    min_time_left_us: int = 20_000
    answer_margin_us: int = 5_000  # the answer of another site is awaited until this long before the deadline
    max_body_bytes: int = 1 << 20  # a request of another site with a longer body is refused with 413
    link: LinkSettings = field(default_factory=LinkSettings)
    credits: CreditSettings = field(default_factory=CreditSettings)
    retry: RetrySettings = field(default_factory=RetrySettings)
    keyed: KeyedSettings = field(default_factory=KeyedSettings)
    # With a cache in front of the gateway, all header fields and statuses cross the link, and `methods` may
    # contain more methods.
    forwards_all: bool = False
    methods: frozenset[bytes] = METHODS
