"""Parses the table `group` of the operator's file."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import msgspec

from magpiefront.gateway.settings import Tls
from magpiefront.group.settings import GroupSettings, Limits, Times
from magpiefront.operator.parsing import BadFile, Duration, Endpoint, Size, convert_table
from magpiefront.operator.tls import parse_tls

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
TIMES, LIMITS = Times(), Limits()  # omitted keys have these default values
MAX_VOTERS, MAX_MEMBERS = 9, 1_000


class TimesTable(msgspec.Struct, forbid_unknown_fields=True):
    heartbeat: Duration = Duration(TIMES.heartbeat_us)
    observer: Duration = Duration(TIMES.observer_us)
    election: Duration = Duration(TIMES.election_us)
    session: Duration = Duration(TIMES.session_us)
    ping: Duration = Duration(TIMES.ping_us)
    drift: Annotated[float, msgspec.Meta(ge=0, le=0.2)] = TIMES.drift
    margin: Duration = Duration(TIMES.margin_us)
    hold: Duration = Duration(TIMES.hold_us)
    most_hold: Duration = Duration(TIMES.most_hold_us)


class LimitsTable(msgspec.Struct, forbid_unknown_fields=True):
    most_entry: Size = Size(LIMITS.most_entry)
    most_append: Size = Size(LIMITS.most_append)
    most_flight: Count = LIMITS.most_flight
    most_open: Count = LIMITS.most_open
    most_part: Size = Size(LIMITS.most_part)
    keep: Count = LIMITS.keep
    compact: Count = LIMITS.compact
    most_message: Size = Size(LIMITS.most_message)
    most_queued: Count = LIMITS.most_queued
    most_waiting: Count = LIMITS.most_waiting


class GroupTable(msgspec.Struct, forbid_unknown_fields=True):
    member: Name
    path: Annotated[str, msgspec.Meta(min_length=1)]
    members: dict[str, Any]
    voters: list[str]
    name: str = ""
    listen: Endpoint | None = None
    tls: dict[str, Any] | None = None
    times: dict[str, Any] = {}
    limits: dict[str, Any] = {}


class MemberTable(msgspec.Struct, forbid_unknown_fields=True):
    name: Name
    at: Endpoint


@dataclass(frozen=True, slots=True)
class GroupConfig:
    """The table `group`. `tls` is None if members connect to each other without encryption."""

    settings: GroupSettings
    tls: Tls | None

    @property
    def warning(self) -> str:
        """Advice if the number of voters is even, which is valid but not recommended; else ""."""
        count = len(self.settings.voters)
        if count % 2 == 0:
            return f"[group] voters: {count} tolerate no more losses than {count - 1}; use an odd number"
        return ""


def parse_group(
    path: Path, site: str, values: Any, gateway_tls: Tls | None, has_gateway: bool
) -> GroupConfig:  # fmt: skip
    """Parses the table `group`. Without a table `group.tls`, the group uses `gateway_tls`, or no TLS if that
    is None. Raises BadFile."""
    group = convert_table(path, "group", values, GroupTable)

    def require(condition: bool, key: str, problem: str) -> None:
        if not condition:
            table, _, name = key.rpartition(".")
            raise BadFile(f"{path}: [group{'.' + table if table else ''}] {name}: {problem}")

    addresses = {}
    for name, address in group.members.items():
        addresses[name] = convert_table(
            path, f"group.members.{name}", {"name": name, "at": address}, MemberTable
        ).at.address
    require(len(addresses) <= MAX_MEMBERS, "members", f"more than {MAX_MEMBERS}")
    require(group.member in addresses, "member", f"{group.member!r} is not in [group.members]")
    require(len(set(addresses.values())) == len(addresses), "members", "names an address twice")
    require(bool(group.voters), "voters", "is empty")
    require(len(set(group.voters)) == len(group.voters), "voters", "names a member twice")
    require(len(group.voters) <= MAX_VOTERS, "voters", f"more than {MAX_VOTERS}")
    for name in group.voters:
        require(name in addresses, "voters", f"{name!r} is not in [group.members]")
    if group.tls is not None:
        certificates = parse_tls(path, "group.tls", group.tls)
    else:
        require(has_gateway, "tls", "is missing, and there is no [gateway.tls] to use instead")
        certificates = gateway_tls
    listen = group.listen.address if group.listen is not None else addresses[group.member]
    return GroupConfig(
        GroupSettings(group.name or site, group.member, listen, path.parent / group.path, addresses,
                      frozenset(group.voters), _parse_times(path, group.times, require),
                      _parse_limits(path, group.limits, require)),
        certificates,
    )  # fmt: skip


def _parse_times(path: Path, values: Any, require: Any) -> Times:
    table = convert_table(path, "group.times", values, TimesTable)
    times = Times(table.heartbeat.us, table.observer.us, table.election.us, table.session.us, table.ping.us,
                  table.drift, table.margin.us, table.hold.us, table.most_hold.us)  # fmt: skip
    for name in ("heartbeat", "observer", "election", "session", "ping", "hold", "most_hold"):
        require(getattr(table, name).us >= 1_000, f"times.{name}", "must be at least 1ms")
    require(times.observer_us >= times.heartbeat_us, "times.observer", "must not be below heartbeat")
    is_long_enough = times.election_us >= 3 * times.heartbeat_us
    require(is_long_enough, "times.election", "must be at least three times heartbeat")
    require(times.session_us >= 3 * times.ping_us, "times.session", "must be at least three times ping")
    require(times.lease_us >= 2 * times.heartbeat_us, "times.election",
            "less drift and margin must have room for two heartbeats")  # fmt: skip
    require(times.most_hold_us >= times.hold_us, "times.most_hold", "must not be below hold")
    return times


def _parse_limits(path: Path, values: Any, require: Any) -> Limits:
    table = convert_table(path, "group.limits", values, LimitsTable)
    limits = Limits(
        table.most_entry.bytes, table.most_append.bytes, table.most_flight, table.most_open,
        table.most_part.bytes, table.keep, table.compact, table.most_message.bytes, table.most_queued,
        table.most_waiting,
    )  # fmt: skip
    max_bytes = limits.most_message - 4_096
    require(limits.most_entry >= 1_024, "limits.most_entry", "must be at least 1KiB")
    require(limits.most_part >= 1_024, "limits.most_part", "must be at least 1KiB")
    for name in ("most_entry", "most_append", "most_part"):
        require(getattr(limits, name) <= max_bytes, f"limits.{name}",
                "must be at least 4KiB below most_message")  # fmt: skip
    require(limits.most_append + limits.most_entry <= max_bytes, "limits.most_append",
            "and most_entry together must be at least 4KiB below most_message")  # fmt: skip
    return limits
