"""The table `group` of the operator's file."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import msgspec

from magpiefront.gateway.settings import Tls
from magpiefront.group.settings import GroupSettings, Limits, Times
from magpiefront.operator.fields import BadFile, Duration, Place, Size, read
from magpiefront.operator.tls import tls

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
TIMES, LIMITS = Times(), Limits()
MOST_VOTERS, MOST_MEMBERS = 9, 1_000


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
    listen: Place | None = None
    tls: dict[str, Any] | None = None
    times: dict[str, Any] = {}
    limits: dict[str, Any] = {}


class MemberTable(msgspec.Struct, forbid_unknown_fields=True):
    name: Name
    at: Place


@dataclass(frozen=True, slots=True)
class GroupTables:
    settings: GroupSettings
    tls: Tls | None

    @property
    def told(self) -> str:
        """What an operator should know of it, though nothing is wrong; empty where there is nothing."""
        count = len(self.settings.voters)
        if count % 2 == 0:
            return f"[group] voters: {count} stand no more losses than {count - 1}: an odd number is better"
        return ""


def group(path: Path, site: str, given: Any, gateway: Tls | None, gateways: bool) -> GroupTables:
    """`gateway`: what the links between sites use, where there are such. Raises BadFile."""
    g = read(path, "group", given, GroupTable)

    def require(holds: bool, key: str, what: str) -> None:
        if not holds:
            table, _, name = key.rpartition(".")
            raise BadFile(f"{path}: [group{'.' + table if table else ''}] {name}: {what}")

    places = {}
    for name, at in g.members.items():
        places[name] = read(path, f"group.members.{name}", {"name": name, "at": at}, MemberTable).at.address
    require(len(places) <= MOST_MEMBERS, "members", f"more than {MOST_MEMBERS}")
    require(g.member in places, "member", f"{g.member!r} is not in [group.members]")
    require(len(set(places.values())) == len(places), "members", "names an address twice")
    require(bool(g.voters), "voters", "is empty")
    require(len(set(g.voters)) == len(g.voters), "voters", "names a member twice")
    require(len(g.voters) <= MOST_VOTERS, "voters", f"more than {MOST_VOTERS}")
    for name in g.voters:
        require(name in places, "voters", f"{name!r} is not in [group.members]")
    if g.tls is not None:
        certificates = tls(path, "group.tls", g.tls)
    else:
        require(gateways, "tls", "is missing, and there is no [gateway.tls] to take")
        certificates = gateway
    listen = g.listen.address if g.listen is not None else places[g.member]
    return GroupTables(
        GroupSettings(g.name or site, g.member, listen, path.parent / g.path, places, frozenset(g.voters),
                      _times(path, g.times, require), _limits(path, g.limits, require)),
        certificates,
    )  # fmt: skip


def _times(path: Path, given: Any, require: Any) -> Times:
    t = read(path, "group.times", given, TimesTable)
    times = Times(t.heartbeat.us, t.observer.us, t.election.us, t.session.us, t.ping.us, t.drift, t.margin.us,
                  t.hold.us, t.most_hold.us)  # fmt: skip
    for name in ("heartbeat", "observer", "election", "session", "ping", "hold", "most_hold"):
        require(getattr(t, name).us >= 1_000, f"times.{name}", "must be at least 1ms")
    require(times.observer_us >= times.heartbeat_us, "times.observer", "must not be below heartbeat")
    enough = times.election_us >= 3 * times.heartbeat_us
    require(enough, "times.election", "must be three heartbeats at least")
    require(times.session_us >= 3 * times.ping_us, "times.session", "must be three pings at least")
    require(times.lease_us >= 2 * times.heartbeat_us, "times.election",
            "less drift and margin leaves no room for two heartbeats")  # fmt: skip
    require(times.most_hold_us >= times.hold_us, "times.most_hold", "must not be below hold")
    return times


def _limits(path: Path, given: Any, require: Any) -> Limits:
    n = read(path, "group.limits", given, LimitsTable)
    limits = Limits(n.most_entry.bytes, n.most_append.bytes, n.most_flight, n.most_open, n.most_part.bytes,
                    n.keep, n.compact, n.most_message.bytes, n.most_queued, n.most_waiting)  # fmt: skip
    room = limits.most_message - 4_096
    require(limits.most_entry >= 1_024, "limits.most_entry", "must be at least 1KiB")
    require(limits.most_part >= 1_024, "limits.most_part", "must be at least 1KiB")
    for name in ("most_entry", "most_append", "most_part"):
        require(getattr(limits, name) <= room, f"limits.{name}", "must be 4KiB below most_message")
    require(limits.most_append + limits.most_entry <= room, "limits.most_append",
            "and most_entry must be 4KiB below most_message together")  # fmt: skip
    return limits
