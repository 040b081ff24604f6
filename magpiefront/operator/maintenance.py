"""The table `maintenance` of the operator's file, and the files that plans are written in."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec

from magpiefront.group.settings import GroupSettings
from magpiefront.maintenance.plan import MOST_MACHINES, Limits, Machine, Plan
from magpiefront.maintenance.settings import MaintenanceSettings
from magpiefront.operator.fields import BadFile, Duration, parse, read

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]
Count = Annotated[int, msgspec.Meta(ge=1, le=MOST_MACHINES)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Load = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]
LIMITS = Limits()


def seconds(s: float) -> Duration:
    return Duration(int(s * 1e6))


class LimitsTable(msgspec.Struct, forbid_unknown_fields=True):
    most_out: Count = LIMITS.most_out
    most_zone: Count = LIMITS.most_zone
    least_left: Share = LIMITS.least_left
    margin: Share = LIMITS.margin
    most_load: Load = LIMITS.most_load
    most_drain: Duration = seconds(LIMITS.most_drain_s)
    most_work: Duration = seconds(LIMITS.most_work_s)
    most_warm: Duration = seconds(LIMITS.most_warm_s)
    spread: Duration = seconds(LIMITS.spread_s)
    go_on: bool = LIMITS.go_on


class MachineTable(msgspec.Struct, forbid_unknown_fields=True):
    nodes: list[str] = []
    proxies: list[str] = []
    zone: str = ""


class MaintenanceTable(msgspec.Struct, forbid_unknown_fields=True):
    path: Annotated[str, msgspec.Meta(min_length=1)]
    machines: dict[str, Any]
    limits: dict[str, Any] = {}


class PlanFile(msgspec.Struct, forbid_unknown_fields=True):
    id: Name
    machines: list[str]
    what: Annotated[str, msgspec.Meta(max_length=1_000)] = ""
    command: list[str] = []
    opens: Any = None
    closes: Any = None
    limits: dict[str, Any] = {}


class Named(msgspec.Struct):
    name: Name


def limits(path: Path, where: str, given: Any, base: Limits) -> Limits:
    """`base`: what holds for what is left out. Raises BadFile."""
    t = read(path, where, given, LimitsTable)
    found = {}
    for key in given:
        value = getattr(t, key)
        found[f"{key}_s" if isinstance(value, Duration) else key] = (
            value.us / 1e6 if isinstance(value, Duration) else value
        )
    return msgspec.structs.replace(base, **found)


def maintenance(path: Path, given: Any, group: GroupSettings | None) -> MaintenanceSettings:
    """Raises BadFile."""
    t = read(path, "maintenance", given, MaintenanceTable)
    if group is None:
        raise BadFile(f"{path}: [maintenance]: needs [group]: the proxies settle the order among themselves")
    machines: dict[str, Machine] = {}
    owners: dict[str, str] = {}
    for name, table in t.machines.items():
        where = f"maintenance.machines.{name}"
        read(path, where, {"name": name}, Named)
        m = read(path, where, table, MachineTable)
        if not m.nodes and not m.proxies:
            raise BadFile(f"{path}: [{where}]: holds neither nodes nor proxies")
        for what, of in ((m.nodes, "node"), (m.proxies, "proxy")):
            for each in what:
                if not each:
                    raise BadFile(f"{path}: [{where}] {of}: an empty name")
                if f"{of} {each}" in owners:
                    raise BadFile(f"{path}: [{where}]: {of} {each} is of {owners[f'{of} {each}']} too")
                owners[f"{of} {each}"] = name
        for each in m.proxies:
            if each not in group.members:
                raise BadFile(f"{path}: [{where}] proxies: {each!r} is not in [group.members]")
        machines[name] = Machine(name, tuple(m.nodes), tuple(m.proxies), m.zone)
    if not machines:
        raise BadFile(f"{path}: [maintenance] machines: names none")
    if len(machines) > MOST_MACHINES:
        raise BadFile(f"{path}: [maintenance] machines: more than {MOST_MACHINES}")
    base = limits(path, "maintenance.limits", t.limits, LIMITS)
    voters = tuple(sorted(group.voters))
    return MaintenanceSettings(path.parent / t.path, machines, base, voters, group.member)


def plan(path: Path, by: str, settings: MaintenanceSettings) -> Plan:
    """Of a plan's own file. Raises BadFile."""
    found = parse(path)
    for name in found:
        if name != "plan":
            raise BadFile(f"{path}: [{name}]: unknown table")
    t = read(path, "plan", found.get("plan", {}), PlanFile)
    stamps = []
    for key, value in (("opens", t.opens), ("closes", t.closes)):
        if value is None:
            stamps.append(0.0)
        elif hasattr(value, "tzinfo") and value.tzinfo is not None:
            stamps.append(value.timestamp())
        else:
            raise BadFile(f"{path}: [plan] {key}: a date, a time and their offset, as 2026-12-02T22:00:00Z")
    if any(not part for part in t.command):
        raise BadFile(f"{path}: [plan] command: an empty argument")
    return Plan(t.id, by, tuple(t.machines), t.what, tuple(t.command), stamps[0], stamps[1],
                limits(path, "plan.limits", t.limits, settings.limits))  # fmt: skip
