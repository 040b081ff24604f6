"""Routing between sites: the home site of each key, whether a request may be forwarded to another site, and
how many may be forwarded at a time. No I/O, no clock. Times are in microseconds.

The Router, not this module, selects servers and retries attempts at them.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from math import log

from magpiefront.gateway.settings import CreditSettings, GatewaySettings, RetrySettings, Site
from magpiefront.hashing import MASK_64, splitmix64, text_hash, unit_interval
from magpiefront.interface import Repeat

MAX_HOPS = 1  # a request is forwarded once: the other site answers it whatever its own table says
FIRST_SPILL_PAUSE_US, MAX_SPILL_PAUSE_US = 50_000, 2_000_000  # bounds of a pause in spilling to a site


class LinkState(Enum):
    """State of the connections to a site, best first."""

    UP = "up"
    SUSPECT = "suspect"  # a PING is late: only keyed requests are sent there
    DRAINING = "draining"  # the peer has sent GOAWAY: open requests may finish
    DOWN = "down"


@dataclass(slots=True, frozen=True)
class LinkView:
    """The facts of a link that decisions need. `round_trip_us` is the smoothed round-trip time, `retry_in_us`
    the time until the next attempt to connect."""

    state: LinkState
    round_trip_us: int = 0
    retry_in_us: int = 0


DOWN = LinkView(LinkState.DOWN)


@dataclass(slots=True, frozen=True)
class RoutingRequest:
    """The facts of a request that decisions need. `via` holds the sites that it has come through.
    `only_site`, if given, is the only site that may serve it, whatever the table says."""

    key: str
    class_name: str
    repeat: Repeat
    tenant: str
    time_left_us: int
    via: tuple[str, ...] = ()
    only_site: str = ""


class Reason(Enum):
    """Why a request was not forwarded, or why one from another site was refused on arrival. Each reason has a
    counter in the operator's documentation."""

    LINK_DOWN = "link_down"
    NO_TIME = "no_time"
    CREDIT = "credit"
    CLASS_CREDIT = "class_credit"
    TENANT_CREDIT = "tenant_credit"
    SPILL_CREDIT = "spill_credit"
    SPILL_PAUSED = "spill_paused"
    NOT_SPILLED = "not_spilled"
    LOOP = "loop"
    HOPS = "hops"


@dataclass(slots=True, frozen=True)
class ServeHere:
    """Serve the request at this site. `reason` says why, if another site is its home."""

    reason: Reason | None = None


@dataclass(slots=True, frozen=True)
class ForwardToSite:
    """Send the request to `site`; `credit` must be released afterwards."""

    site: str
    credit: Credit


@dataclass(slots=True, frozen=True)
class RefuseRequest:
    """Refuse the request, which never ran. `retry_after_us` is the time until the client may retry."""

    reason: Reason
    retry_after_us: int


class KeyDistribution:
    """Divides the keys between the sites: by the longest matching prefix, else by weighted rendezvous
    hashing, so that changing the weight of a site moves keys only to or from that site. All sites must have
    the same table."""

    def __init__(self, sites: Iterable[Site]) -> None:
        self.sites = sorted(sites, key=lambda s: s.name)
        self.seeded_sites = [(text_hash(s.name), s) for s in self.sites if s.weight > 0]
        prefixes = {p: s.name for s in self.sites for p in s.prefixes}
        self.sites_by_prefix = sorted(prefixes.items(), key=lambda p: -len(p[0]))

    def home_site(self, key: str) -> str:
        """Returns the name of the site to which a key belongs."""
        for prefix, site in self.sites_by_prefix:
            if key.startswith(prefix):
                return site
        h = text_hash(key)

        def distance(seeded: tuple[int, Site]) -> tuple[float, str]:
            seed, site = seeded
            return -log(unit_interval(splitmix64(h ^ seed)) + 1 / MASK_64) / site.weight, site.name

        return min(self.seeded_sites, key=distance)[1].name


@dataclass(slots=True)
class Credit:
    """The right of one request to use the link. It can be released once."""

    pool: CreditPool
    class_name: str
    tenant: str
    spill: bool
    held: bool = True


class CreditPool:
    """A part of the credits of a link, and how many of them each tenant uses."""

    __slots__ = ("limit", "tenant_limit", "used", "used_by_tenant")

    def __init__(self, size: int, tenant_share: float) -> None:
        self.used = 0
        self.used_by_tenant: dict[str, int] = {}
        self.resize(size, tenant_share)

    def resize(self, size: int, tenant_share: float) -> None:
        self.limit, self.tenant_limit = size, max(1, int(size * tenant_share))

    def refusal_reason(self, tenant: str) -> Reason | None:
        """Why a tenant gets no credit now, or None."""
        if self.used >= self.limit:
            return Reason.CREDIT
        return Reason.TENANT_CREDIT if self.used_by_tenant.get(tenant, 0) >= self.tenant_limit else None


class Credits:
    """Limits how many requests are on the link at a time: in total, per class, per tenant, and of spilled
    requests. A class with a reserved part uses that part first, so that other classes cannot starve it."""

    def __init__(self, limits: CreditSettings) -> None:
        self.reserved: dict[str, CreditPool] = {}
        self.shared = CreditPool(0, 1.0)
        self.used_spills = 0
        self.used_by_class: dict[str, int] = {}
        self.configure(limits)

    def configure(self, limits: CreditSettings) -> None:
        reserved_sizes = {name: max(1, int(limits.crossing * part)) for name, part in limits.reserved.items()}
        self.shared.resize(max(1, limits.crossing - sum(reserved_sizes.values())), limits.tenant_share)
        self.class_limits = {name: max(1, int(limits.crossing * part)) for name, part in limits.most.items()}
        self.max_spills = max(1, int(self.shared.limit * limits.spill_share))
        for name, size in reserved_sizes.items():
            self.reserved.setdefault(name, CreditPool(size, limits.tenant_share)).resize(
                size, limits.tenant_share
            )
        for name in self.reserved.keys() - reserved_sizes.keys():
            del self.reserved[name]  # its open credits are released to the removed pool

    @property
    def used(self) -> int:
        return self.shared.used + sum(p.used for p in self.reserved.values())

    def take(self, class_name: str, tenant: str, spill: bool = False) -> Credit | Reason:
        """Takes a credit, or returns the reason why there is none."""
        own = self.reserved.get(class_name)
        if self.used_by_class.get(class_name, 0) >= self.class_limits.get(class_name, 1 << 30):
            return Reason.CLASS_CREDIT
        if spill and self.used_spills >= self.max_spills:
            return Reason.SPILL_CREDIT
        pool = own if own is not None and not spill and own.refusal_reason(tenant) is None else self.shared
        reason = pool.refusal_reason(tenant)
        if reason is not None:
            return reason
        pool.used += 1
        pool.used_by_tenant[tenant] = pool.used_by_tenant.get(tenant, 0) + 1
        self.used_spills += spill
        self.used_by_class[class_name] = self.used_by_class.get(class_name, 0) + 1
        return Credit(pool, class_name, tenant, spill)

    def release(self, credit: Credit) -> None:
        """Returns a credit. Has no effect if it was released before."""
        if not credit.held:
            return
        credit.held = False
        tenant, pool = credit.tenant, credit.pool
        pool.used -= 1
        self.used_by_class[credit.class_name] -= 1
        if not self.used_by_class[credit.class_name]:
            del self.used_by_class[credit.class_name]
        remaining = pool.used_by_tenant.get(tenant, 0) - 1
        if remaining > 0:
            pool.used_by_tenant[tenant] = remaining
        else:
            pool.used_by_tenant.pop(tenant, None)  # otherwise the names of tenants would accumulate
        self.used_spills -= credit.spill


class RetryBudget:
    """Bounds retries over the link to a share of first attempts, so that a failing link never multiplies
    load."""

    def __init__(self, limits: RetrySettings) -> None:
        self.tokens = float(limits.depth)
        self.configure(limits)

    def configure(self, limits: RetrySettings) -> None:
        self.share, self.depth = limits.share, limits.depth
        self.tokens = min(self.tokens, float(self.depth))

    def add_first_attempt(self) -> None:
        self.tokens = min(float(self.depth), self.tokens + self.share)

    def take(self) -> bool:
        """Takes a token for a retry. Returns False if there is none."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class SpillPause:
    """Pauses spilling to a site that refuses spilled requests. The pause doubles with each further refusal,
    and starts anew after a spilled request is served."""

    __slots__ = ("not_before_us", "pause_us")

    def __init__(self) -> None:
        self.not_before_us = self.pause_us = 0

    def record_refused(self, now_us: int) -> None:
        if now_us >= self.not_before_us:  # refusals of requests sent before the pause count once
            self.pause_us = min(MAX_SPILL_PAUSE_US, max(FIRST_SPILL_PAUSE_US, 2 * self.pause_us))
            self.not_before_us = now_us + self.pause_us

    def record_served(self) -> None:
        self.pause_us = 0


class Routes:
    """Decides for one gateway process where each request is served."""

    def __init__(self, settings: GatewaySettings) -> None:
        self.credits = Credits(settings.credits)
        self.retry_budget = RetryBudget(settings.retry)
        self.spill_pauses: dict[str, SpillPause] = {}
        self.configure(settings)

    def configure(self, settings: GatewaySettings) -> None:
        self.settings = settings
        self.table = KeyDistribution(settings.sites.values())
        self.credits.configure(settings.credits)
        self.retry_budget.configure(settings.retry)
        self.spill_pauses = {name: self.spill_pauses.get(name, SpillPause()) for name in settings.sites}

    def time_left_after_crossing(self, time_left_us: int, link: LinkView) -> int:
        """Returns the time left to a request after the round trip over the link and the answer margin."""
        return time_left_us - link.round_trip_us - self.settings.answer_margin_us

    def route(
        self, request: RoutingRequest, links: Mapping[str, LinkView]
    ) -> ServeHere | ForwardToSite | RefuseRequest:
        """Decides where to serve a request that came from a client, or over a link (with `via`)."""
        if request.via:
            return ServeHere()
        site = request.only_site or self.table.home_site(request.key)
        if site == self.settings.site:
            return ServeHere()
        link = links.get(site, DOWN)
        reason = self._reason_not_to_forward(request, link)
        if reason is None:
            credit = self.credits.take(request.class_name, request.tenant)
            if isinstance(credit, Credit):
                self.retry_budget.add_first_attempt()
                return ForwardToSite(site, credit)
            reason = credit
        if request.repeat is Repeat.SAFE and self.settings.home_when_down:
            return ServeHere(reason)
        return RefuseRequest(reason, max(self.settings.retry_after_us, link.retry_in_us))

    def _reason_not_to_forward(self, request: RoutingRequest, link: LinkView) -> Reason | None:
        # While a PING is late, a request may or may not get through. A read is better served at this site at
        # once. A keyed request, which only its home site can serve, is still forwarded.
        usable = link.state is LinkState.UP or (
            link.state is LinkState.SUSPECT and request.repeat is Repeat.KEYED
        )
        if not usable:
            return Reason.LINK_DOWN
        return (
            None
            if self.time_left_after_crossing(request.time_left_us, link) >= self.settings.min_time_left_us
            else Reason.NO_TIME
        )

    def route_refused(
        self, now_us: int, request: RoutingRequest, links: Mapping[str, LinkView]
    ) -> ForwardToSite | RefuseRequest:
        """Decides what to do with a request that the Router of this site refused. Another site may serve a
        safe request whose home is here. A request whose home is another site has already been refused there
        or could not be forwarded, so it is not sent back and forth."""
        reason: Reason = Reason.NOT_SPILLED
        if (
            request.class_name in self.settings.spill and request.repeat is Repeat.SAFE and not request.via
            and self.table.home_site(request.key) == self.settings.site
        ):  # fmt: skip
            for name in sorted(links, key=lambda n: links[n].round_trip_us):
                link, spill_pause = links[name], self.spill_pauses.setdefault(name, SpillPause())
                if link.state is not LinkState.UP:
                    reason = Reason.LINK_DOWN
                elif (
                    self.time_left_after_crossing(request.time_left_us, link) < self.settings.min_time_left_us
                ):
                    reason = Reason.NO_TIME
                elif now_us < spill_pause.not_before_us:
                    reason = Reason.SPILL_PAUSED
                else:
                    credit = self.credits.take(request.class_name, request.tenant, spill=True)
                    if isinstance(credit, Credit):
                        return ForwardToSite(name, credit)
                    reason = credit
        return RefuseRequest(reason, self.settings.retry_after_us)

    def admit(self, via: tuple[str, ...]) -> Reason | None:
        """Returns why a request that came over a link must be refused, or None. A request is refused if
        it has been here before, or was forwarded more than `MAX_HOPS` times, which does not happen between
        sites with equal tables."""
        if self.settings.site in via:
            return Reason.LOOP
        return Reason.HOPS if len(via) > MAX_HOPS else None
