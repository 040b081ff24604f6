"""Which site a request belongs to, whether it may cross, and how many may at a time. No I/O and no clock.

Nothing here picks a server or repeats an attempt at one: that is the Router's. Times are microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from math import log

from magpiefront.gateway.settings import CreditSettings, GatewaySettings, RetrySettings, Site
from magpiefront.hashing import MASK, mix, rank, text_hash
from magpiefront.interface import Repeat

MOST_HOPS = 1  # a request crosses once: the other site answers it, whatever its own table says
SPILL_PAUSE_US, MOST_SPILL_PAUSE_US = 50_000, 2_000_000


class LinkState(Enum):
    """What is known of the way to a site, best first."""

    UP = "up"
    SUSPECT = "suspect"  # a PING is late: nothing that must not break is sent there
    DRAINING = "draining"  # the peer ends: what is out may end
    DOWN = "down"


@dataclass(slots=True, frozen=True)
class LinkView:
    """A link as decisions see it. `round_us` is the smoothed round trip; `again_us` when it is next tried."""

    state: LinkState
    round_us: int = 0
    again_us: int = 0


DOWN = LinkView(LinkState.DOWN)


@dataclass(slots=True, frozen=True)
class Asked:
    """What decisions need of a request. `via` holds the sites that it has come through."""

    key: str
    class_name: str
    repeat: Repeat
    tenant: str
    left_us: int
    via: tuple[str, ...] = ()


class Reason(Enum):
    """Why a request did not cross; each has a counter and stands in the operator's page."""

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
class Home:
    """Served by this site. `reason` tells why, where it belongs to another."""

    reason: Reason | None = None


@dataclass(slots=True, frozen=True)
class Cross:
    site: str
    credit: Credit


@dataclass(slots=True, frozen=True)
class Away:
    """Turned away; it never ran. `retry_after_us` is when to come again."""

    reason: Reason
    retry_after_us: int


class Table:
    """The sites and how keys are divided between them: the longest prefix, else weighted rendezvous hashing,
    where a changed weight moves only keys to or from that site. Every site must hold the same table."""

    def __init__(self, sites: Iterable[Site]) -> None:
        self.sites = sorted(sites, key=lambda s: s.name)
        self.seeds = [(text_hash(s.name), s) for s in self.sites if s.weight > 0]
        prefixes = {p: s.name for s in self.sites for p in s.prefixes}
        self.prefixes = sorted(prefixes.items(), key=lambda p: -len(p[0]))

    def home(self, key: str) -> str:
        for prefix, site in self.prefixes:
            if key.startswith(prefix):
                return site
        h = text_hash(key)

        def distance(seeded: tuple[int, Site]) -> tuple[float, str]:
            seed, site = seeded
            return -log(rank(mix(h ^ seed)) + 1 / MASK) / site.weight, site.name

        return min(self.seeds, key=distance)[1].name


@dataclass(slots=True)
class Credit:
    """The right of one request to be on the link; given back once."""

    pool: Pool
    class_name: str
    tenant: str
    spill: bool
    held: bool = True


class Pool:
    """A part of the link's credit, with what each tenant holds of it."""

    __slots__ = ("most", "most_tenant", "tenants", "used")

    def __init__(self, most: int, tenant_share: float) -> None:
        self.used = 0
        self.tenants: dict[str, int] = {}
        self.size(most, tenant_share)

    def size(self, most: int, tenant_share: float) -> None:
        self.most, self.most_tenant = most, max(1, int(most * tenant_share))

    def free(self, tenant: str) -> Reason | None:
        if self.used >= self.most:
            return Reason.CREDIT
        return Reason.TENANT_CREDIT if self.tenants.get(tenant, 0) >= self.most_tenant else None


class Credits:
    """How many requests may be on the link at a time: in all, by class, by tenant, and as spills. A class
    with a reserved part takes from that first, so that others can't shut it out."""

    def __init__(self, limits: CreditSettings) -> None:
        self.reserved: dict[str, Pool] = {}
        self.shared = Pool(0, 1.0)
        self.spills = 0
        self.classes: dict[str, int] = {}  # how many of each are out
        self.configure(limits)

    def configure(self, limits: CreditSettings) -> None:
        kept = {name: max(1, int(limits.crossing * part)) for name, part in limits.reserved.items()}
        self.shared.size(max(1, limits.crossing - sum(kept.values())), limits.tenant_share)
        self.most = {name: max(1, int(limits.crossing * part)) for name, part in limits.most.items()}
        self.most_spills = max(1, int(self.shared.most * limits.spill_share))
        for name, most in kept.items():
            self.reserved.setdefault(name, Pool(most, limits.tenant_share)).size(most, limits.tenant_share)
        for name in self.reserved.keys() - kept.keys():
            del self.reserved[name]  # what is out of it is given back to the object, and forgotten

    @property
    def used(self) -> int:
        return self.shared.used + sum(p.used for p in self.reserved.values())

    def take(self, class_name: str, tenant: str, spill: bool = False) -> Credit | Reason:
        own = self.reserved.get(class_name)
        if self.classes.get(class_name, 0) >= self.most.get(class_name, 1 << 30):
            return Reason.CLASS_CREDIT
        if spill and self.spills >= self.most_spills:
            return Reason.SPILL_CREDIT
        pool = own if own is not None and not spill and own.free(tenant) is None else self.shared
        reason = pool.free(tenant)
        if reason is not None:
            return reason
        pool.used += 1
        pool.tenants[tenant] = pool.tenants.get(tenant, 0) + 1
        self.spills += spill
        self.classes[class_name] = self.classes.get(class_name, 0) + 1
        return Credit(pool, class_name, tenant, spill)

    def give_back(self, credit: Credit) -> None:
        if not credit.held:
            return
        credit.held = False
        tenant, pool = credit.tenant, credit.pool
        pool.used -= 1
        self.classes[credit.class_name] -= 1
        if not self.classes[credit.class_name]:
            del self.classes[credit.class_name]
        left = pool.tenants.get(tenant, 0) - 1
        if left > 0:
            pool.tenants[tenant] = left
        else:
            pool.tenants.pop(tenant, None)  # or names of tenants would stay for good
        self.spills -= credit.spill


class Budget:
    """Repeats over the link as a part of first crossings, so that a broken link never multiplies load."""

    def __init__(self, limits: RetrySettings) -> None:
        self.left = float(limits.depth)
        self.configure(limits)

    def configure(self, limits: RetrySettings) -> None:
        self.share, self.depth = limits.share, limits.depth
        self.left = min(self.left, float(self.depth))

    def first(self) -> None:
        self.left = min(float(self.depth), self.left + self.share)

    def take(self) -> bool:
        if self.left < 1:
            return False
        self.left -= 1
        return True


class Spills:
    """Pauses spilling to a site that refuses what spills: twice as long each time, until one is served."""

    __slots__ = ("not_before_us", "pause_us")

    def __init__(self) -> None:
        self.not_before_us = self.pause_us = 0

    def refused(self, now_us: int) -> None:
        if now_us >= self.not_before_us:  # those that were out together count once
            self.pause_us = min(MOST_SPILL_PAUSE_US, max(SPILL_PAUSE_US, 2 * self.pause_us))
            self.not_before_us = now_us + self.pause_us

    def served(self) -> None:
        self.pause_us = 0


class Routes:
    """Every decision on where a request is served, for one gateway process."""

    def __init__(self, settings: GatewaySettings) -> None:
        self.credits = Credits(settings.credits)
        self.budget = Budget(settings.retry)
        self.spills: dict[str, Spills] = {}
        self.configure(settings)

    def configure(self, settings: GatewaySettings) -> None:
        self.set = settings
        self.table = Table(settings.sites.values())
        self.credits.configure(settings.credits)
        self.budget.configure(settings.retry)
        self.spills = {name: self.spills.get(name, Spills()) for name in settings.sites}

    def time_across(self, left_us: int, link: LinkView) -> int:
        """What is left of a request's time once it has arrived over the link and its answer has come back."""
        return left_us - link.round_us - self.set.answer_margin_us

    def arrive(self, asked: Asked, links: Mapping[str, LinkView]) -> Home | Cross | Away:
        """Where a request that has come from a client, or over a link (with `via`), is to be served."""
        if asked.via:
            return Home()
        site = self.table.home(asked.key)
        if site == self.set.site:
            return Home()
        link = links.get(site, DOWN)
        reason = self._may_cross(asked, link)
        if reason is None:
            credit = self.credits.take(asked.class_name, asked.tenant)
            if isinstance(credit, Credit):
                self.budget.first()
                return Cross(site, credit)
            reason = credit
        if asked.repeat is Repeat.SAFE and self.set.home_when_down:
            return Home(reason)
        return Away(reason, max(self.set.retry_after_us, link.again_us))

    def _may_cross(self, asked: Asked, link: LinkView) -> Reason | None:
        # While a PING is late a request may or may not get through. A read is better served at home at once;
        # what can't be served there goes on, for nothing else could serve it at all.
        usable = link.state is LinkState.UP or (
            link.state is LinkState.SUSPECT and asked.repeat is Repeat.KEYED
        )
        if not usable:
            return Reason.LINK_DOWN
        return None if self.time_across(asked.left_us, link) >= self.set.least_left_us else Reason.NO_TIME

    def refused(self, now_us: int, asked: Asked, links: Mapping[str, LinkView]) -> Cross | Away:
        """What follows when this site's Router refused a request: another site may serve what is safe and
        belongs here. What belongs elsewhere has been refused there or could not cross, and is not tried to
        and fro."""
        reason: Reason = Reason.NOT_SPILLED
        if (
            asked.class_name in self.set.spill and asked.repeat is Repeat.SAFE and not asked.via
            and self.table.home(asked.key) == self.set.site
        ):  # fmt: skip
            for name in sorted(links, key=lambda n: links[n].round_us):
                link, spills = links[name], self.spills.setdefault(name, Spills())
                if link.state is not LinkState.UP:
                    reason = Reason.LINK_DOWN
                elif self.time_across(asked.left_us, link) < self.set.least_left_us:
                    reason = Reason.NO_TIME
                elif now_us < spills.not_before_us:
                    reason = Reason.SPILL_PAUSED
                else:
                    credit = self.credits.take(asked.class_name, asked.tenant, spill=True)
                    if isinstance(credit, Credit):
                        return Cross(name, credit)
                    reason = credit
        return Away(reason, self.set.retry_after_us)

    def admit(self, via: tuple[str, ...]) -> Reason | None:
        """May a request that has come over a link be taken? One that has been here, or has crossed more often
        than sites whose tables agree ever let it, is refused."""
        if self.set.site in via:
            return Reason.LOOP
        return Reason.HOPS if len(via) > MOST_HOPS else None
