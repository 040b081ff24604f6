"""Reads the operator's file, validates it and converts it to the settings of each subsystem."""

from __future__ import annotations

from dataclasses import dataclass, replace
from pathlib import Path
from typing import Annotated, Any

import msgspec

from magpiefront.caching.settings import CachingSettings
from magpiefront.gateway.settings import (
    CreditSettings, GatewaySettings, KeyedSettings, LinkSettings, RetrySettings, Site,
)  # fmt: skip
from magpiefront.net.passing import allowed_methods
from magpiefront.operator.caching import parse_caching
from magpiefront.operator.group import GroupConfig, parse_group
from magpiefront.operator.maintenance import parse_maintenance
from magpiefront.operator.record import parse_record
from magpiefront.operator.tls import parse_tls
from magpiefront.maintenance.settings import MaintenanceSettings
from magpiefront.record.settings import RecordSettings
from magpiefront.operator.parsing import BadFile, Duration, Endpoint, Size, load_toml, convert_table

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1, le=100_000)]


# Omitted keys have the default values of the settings.
LINK, CREDITS, RETRY, KEYED = LinkSettings(), CreditSettings(), RetrySettings(), KeyedSettings()


class SiteTable(msgspec.Struct, forbid_unknown_fields=True):
    name: Name


class SiteEntry(msgspec.Struct, forbid_unknown_fields=True):
    weight: Annotated[float, msgspec.Meta(ge=0, le=1_000_000)] = 1.0
    prefixes: list[str] = []
    peers: list[Endpoint] = []


class LinkTable(msgspec.Struct, forbid_unknown_fields=True):
    connections: Annotated[int, msgspec.Meta(ge=1, le=64)] = LINK.connections
    connect_timeout: Duration = Duration(LINK.connect_timeout_us)
    ping_interval: Duration = Duration(LINK.ping_interval_us)
    ping_timeout: Duration = Duration(LINK.ping_timeout_us)
    backoff: Duration = Duration(LINK.backoff_us)
    most_backoff: Duration = Duration(LINK.max_backoff_us)
    stall: Duration = Duration(LINK.stall_us)


class CreditTable(msgspec.Struct, forbid_unknown_fields=True):
    crossing: Count = CREDITS.crossing
    tenant_share: Share = CREDITS.tenant_share
    spill_share: Share = CREDITS.spill_share
    reserved: dict[str, Share] = {}
    most: dict[str, Share] = {}


class RetryTable(msgspec.Struct, forbid_unknown_fields=True):
    share: Share = RETRY.share
    depth: Count = RETRY.depth
    most_tries: Annotated[int, msgspec.Meta(ge=1, le=10)] = RETRY.max_attempts


class KeyedTable(msgspec.Struct, forbid_unknown_fields=True):
    most_answers: Count = KEYED.max_answers
    most_bytes: Size = Size(KEYED.max_bytes)


class GatewayTable(msgspec.Struct, forbid_unknown_fields=True):
    listen: Endpoint
    sites: dict[str, Any]
    tls: dict[str, Any] = {}
    spill: list[str] = []
    home_when_down: bool = True
    retry_after: Duration = Duration(500_000)
    least_left: Duration = Duration(20_000)
    answer_margin: Duration = Duration(5_000)
    most_body: Size = Size(1 << 20)
    link: dict[str, Any] = {}
    credits: dict[str, Any] = {}
    retry: dict[str, Any] = {}
    keyed: dict[str, Any] = {}


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """The settings in an operator's file; None for each subsystem that is off."""

    path: Path
    site: str
    gateway: GatewaySettings | None
    caching: CachingSettings | None
    record: RecordSettings | None
    group: GroupConfig | None = None
    maintenance: MaintenanceSettings | None = None


def load_operator_config(path: Path) -> OperatorConfig:
    """Reads and validates an operator's file. Raises BadFile."""
    tables = load_toml(path)
    for name in tables:
        if name not in ("site", "gateway", "caching", "record", "group", "maintenance"):
            raise BadFile(f"{path}: [{name}]: unknown table")
    if "site" not in tables:
        raise BadFile(f"{path}: [site] name: is missing")
    site = convert_table(path, "site", tables["site"], SiteTable).name
    gateway = _parse_gateway(path, site, tables["gateway"]) if "gateway" in tables else None
    caching = parse_caching(path, tables["caching"]) if "caching" in tables else None
    if gateway is not None and caching is not None:
        gateway = replace(gateway, forwards_all=True, methods=allowed_methods(caching.clients))
    group = None
    if "group" in tables:
        gateway_tls = gateway.tls if gateway is not None else None
        group = parse_group(path, site, tables["group"], gateway_tls, gateway is not None)
    record = None
    if "record" in tables:
        record = parse_record(path, tables["record"], group.settings if group is not None else None)
    maintenance = None
    if "maintenance" in tables:
        maintenance = parse_maintenance(
            path, tables["maintenance"], group.settings if group is not None else None
        )
    return OperatorConfig(path, site, gateway, caching, record, group, maintenance)


def _parse_gateway(path: Path, site: str, values: Any) -> GatewaySettings:
    gateway = convert_table(path, "gateway", values, GatewayTable)

    def require(condition: bool, key: str, problem: str) -> None:
        if not condition:
            table, _, name = key.rpartition(".")
            raise BadFile(f"{path}: [gateway{'.' + table if table else ''}] {name}: {problem}")

    sites = _parse_sites(path, site, gateway.sites)
    certificates = parse_tls(path, "gateway.tls", gateway.tls)
    link = convert_table(path, "gateway.link", gateway.link, LinkTable)
    for name in ("connect_timeout", "ping_interval", "ping_timeout", "backoff", "most_backoff", "stall"):
        require(getattr(link, name).us >= 1_000, f"link.{name}", "must be at least 1ms")
    is_long_enough = link.ping_timeout.us >= 2 * link.ping_interval.us
    require(is_long_enough, "link.ping_timeout", "must be at least twice ping_interval")
    require(link.most_backoff.us >= link.backoff.us, "link.most_backoff", "must not be below backoff")
    credit = convert_table(path, "gateway.credits", gateway.credits, CreditTable)
    require(sum(credit.reserved.values()) < 1, "credits.reserved", "must leave a share for the other classes")
    retry = convert_table(path, "gateway.retry", gateway.retry, RetryTable)
    keyed = convert_table(path, "gateway.keyed", gateway.keyed, KeyedTable)
    return GatewaySettings(
        site=site, listen=gateway.listen.address, sites=sites, tls=certificates, spill=tuple(gateway.spill),
        home_when_down=gateway.home_when_down, retry_after_us=gateway.retry_after.us,
        min_time_left_us=gateway.least_left.us, answer_margin_us=gateway.answer_margin.us,
        max_body_bytes=gateway.most_body.bytes,
        link=LinkSettings(link.connections, link.connect_timeout.us, link.ping_interval.us,
                          link.ping_timeout.us, link.backoff.us, link.most_backoff.us, link.stall.us),
        credits=CreditSettings(credit.crossing, credit.tenant_share, credit.spill_share, credit.reserved,
                               credit.most),
        retry=RetrySettings(retry.share, retry.depth, retry.most_tries),
        keyed=KeyedSettings(keyed.most_answers, keyed.most_bytes.bytes),
    )  # fmt: skip


def _parse_sites(path: Path, own_site: str, values: dict[str, Any]) -> dict[str, Site]:
    sites: dict[str, Site] = {}
    sites_by_prefix: dict[str, str] = {}
    for name, site_values in values.items():
        location = f"gateway.sites.{name}"
        convert_table(path, location, {"name": name}, SiteTable)
        s = convert_table(path, location, site_values, SiteEntry)
        if name == own_site and s.peers:
            raise BadFile(f"{path}: [{location}] peers: not allowed for the local site")
        if name != own_site and not s.peers:
            raise BadFile(f"{path}: [{location}] peers: is missing")
        for prefix in s.prefixes:
            if not prefix:
                raise BadFile(f"{path}: [{location}] prefixes: an empty prefix matches every key; use weight")
            if prefix in sites_by_prefix:
                raise BadFile(
                    f"{path}: [{location}] prefixes: {prefix!r} belongs to {sites_by_prefix[prefix]} already"
                )
            sites_by_prefix[prefix] = name
        peers = tuple(p.address for p in s.peers)
        if len(set(peers)) < len(peers):
            raise BadFile(f"{path}: [{location}] peers: names an address twice")
        sites[name] = Site(name, s.weight, tuple(s.prefixes), peers)
    if own_site not in sites:
        raise BadFile(f"{path}: [gateway.sites.{own_site}]: the local site is missing from the table")
    if len(sites) < 2:
        raise BadFile(f"{path}: [gateway.sites]: has no other site")
    if not any(s.weight > 0 for s in sites.values()):
        raise BadFile(f"{path}: [gateway.sites]: at least one site needs a weight above 0")
    all_peers: dict[Any, str] = {}
    for each in sites.values():
        for host, port in each.peers:
            if (host, port) in all_peers:
                location, other = f"{path}: [gateway.sites.{each.name}] peers", all_peers[host, port]
                raise BadFile(f"{location}: {host}:{port} is a peer of {other} too")
            all_peers[host, port] = each.name
    return sites
