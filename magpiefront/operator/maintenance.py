"""Parses the table `maintenance` of the operator's file, and the files of maintenance plans."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec

from magpiefront.group.settings import GroupSettings
from magpiefront.maintenance.plan import MAX_MACHINES, Limits, Machine, Plan
from magpiefront.maintenance.settings import MaintenanceSettings
from magpiefront.operator.parsing import BadFile, Duration, load_toml, convert_table

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]
Count = Annotated[int, msgspec.Meta(ge=1, le=MAX_MACHINES)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Load = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]
LIMITS = Limits()  # omitted keys have these default values


def duration_of(seconds: float) -> Duration:
    return Duration(int(seconds * 1e6))


class LimitsTable(msgspec.Struct, forbid_unknown_fields=True):
    most_out: Count = LIMITS.most_out
    most_zone: Count = LIMITS.most_zone
    least_left: Share = LIMITS.least_left
    margin: Share = LIMITS.margin
    most_load: Load = LIMITS.most_load
    most_drain: Duration = duration_of(LIMITS.most_drain_s)
    most_work: Duration = duration_of(LIMITS.most_work_s)
    most_warm: Duration = duration_of(LIMITS.most_warm_s)
    spread: Duration = duration_of(LIMITS.spread_s)
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


class MachineName(msgspec.Struct):
    name: Name


def parse_limits(path: Path, table: str, values: Any, defaults: Limits) -> Limits:
    """Parses a table of limits. Omitted keys have the values of `defaults`. Raises BadFile."""
    limits = convert_table(path, table, values, LimitsTable)
    changes = {}
    for key in values:
        value = getattr(limits, key)
        changes[f"{key}_s" if isinstance(value, Duration) else key] = (
            value.us / 1e6 if isinstance(value, Duration) else value
        )
    return msgspec.structs.replace(defaults, **changes)


def parse_maintenance(path: Path, values: Any, group: GroupSettings | None) -> MaintenanceSettings:
    """Parses the table `maintenance`. `group` holds the settings in the table `group`, or is None if the file
    has none. Raises BadFile."""
    maintenance = convert_table(path, "maintenance", values, MaintenanceTable)
    if group is None:
        raise BadFile(f"{path}: [maintenance]: needs [group], through which the proxies agree on the order")
    machines: dict[str, Machine] = {}
    owners: dict[str, str] = {}
    for name, machine_values in maintenance.machines.items():
        table = f"maintenance.machines.{name}"
        convert_table(path, table, {"name": name}, MachineName)
        m = convert_table(path, table, machine_values, MachineTable)
        if not m.nodes and not m.proxies:
            raise BadFile(f"{path}: [{table}]: holds neither nodes nor proxies")
        for names, kind in ((m.nodes, "node"), (m.proxies, "proxy")):
            for each in names:
                if not each:
                    raise BadFile(f"{path}: [{table}] {kind}: an empty name")
                if f"{kind} {each}" in owners:
                    raise BadFile(
                        f"{path}: [{table}]: {kind} {each} belongs to {owners[f'{kind} {each}']} already"
                    )
                owners[f"{kind} {each}"] = name
        for each in m.proxies:
            if each not in group.members:
                raise BadFile(f"{path}: [{table}] proxies: {each!r} is not in [group.members]")
        machines[name] = Machine(name, tuple(m.nodes), tuple(m.proxies), m.zone)
    if not machines:
        raise BadFile(f"{path}: [maintenance] machines: is empty")
    if len(machines) > MAX_MACHINES:
        raise BadFile(f"{path}: [maintenance] machines: more than {MAX_MACHINES}")
    default_limits = parse_limits(path, "maintenance.limits", maintenance.limits, LIMITS)
    voters = tuple(sorted(group.voters))
    return MaintenanceSettings(path.parent / maintenance.path, machines, default_limits, voters, group.member)


def load_plan(path: Path, by: str, settings: MaintenanceSettings) -> Plan:
    """Reads the file of a maintenance plan. `by` is the operator who starts it; `settings` holds the default
    limits. Raises BadFile."""
    tables = load_toml(path)
    for name in tables:
        if name != "plan":
            raise BadFile(f"{path}: [{name}]: unknown table")
    plan = convert_table(path, "plan", tables.get("plan", {}), PlanFile)
    timestamps = []
    for key, value in (("opens", plan.opens), ("closes", plan.closes)):
        if value is None:
            timestamps.append(0.0)
        elif hasattr(value, "tzinfo") and value.tzinfo is not None:
            timestamps.append(value.timestamp())
        else:
            raise BadFile(
                f"{path}: [plan] {key}: must be a date and time with an offset, like 2026-12-02T22:00:00Z"
            )
    if any(not part for part in plan.command):
        raise BadFile(f"{path}: [plan] command: has an empty argument")
    return Plan(plan.id, by, tuple(plan.machines), plan.what, tuple(plan.command), timestamps[0],
                timestamps[1], parse_limits(path, "plan.limits", plan.limits, settings.limits))  # fmt: skip
