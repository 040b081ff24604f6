"""Parses the table `caching` of the operator's file."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec

from magpiefront.caching.settings import CachingSettings, DiskSettings, Policy
from magpiefront.net.config import parse_address
from magpiefront.net.passing import ClientSettings
from magpiefront.operator.parsing import BadFile, Duration, Size, convert_table

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Token = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z*][!#$%&'*+.^_`|~0-9A-Za-z:/-]{0,62}$")]
FieldName = Annotated[str, msgspec.Meta(pattern=r"^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")]

# Omitted keys have the default values of the settings.
CACHING, POLICY, CLIENTS, DISK = CachingSettings(), Policy(), ClientSettings(), DiskSettings(Path("."))


class ClientsTable(msgspec.Struct, forbid_unknown_fields=True):
    read_class: str = ""
    write_class: str = ""
    deadline: Duration = Duration(int(CLIENTS.deadline_s * 1e6))


class StaleTable(msgspec.Struct, forbid_unknown_fields=True):
    if_refused: Duration = Duration(0)
    if_error: Duration = Duration(0)
    for_clients: bool = POLICY.max_stale


class DiskTable(msgspec.Struct, forbid_unknown_fields=True):
    path: Annotated[str, msgspec.Meta(min_length=1)]
    most_bytes: Size = Size(DISK.most_bytes)
    queue: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = DISK.queue
    wait: Duration = Duration(DISK.load_timeout_us)


class CachingTable(msgspec.Struct, forbid_unknown_fields=True):
    name: Token = POLICY.name
    classes: list[str] | None = None
    plain_servers: bool = CACHING.plain_servers
    most_bytes: Size = Size(CACHING.most_bytes)
    most_object: Size = Size(CACHING.most_object)
    most_variants: Annotated[int, msgspec.Meta(ge=1, le=1_000)] = CACHING.most_variants
    heuristic_fraction: Share = POLICY.heuristic_fraction
    heuristic_most: Duration = Duration(POLICY.heuristic_most_s * 1_000_000)
    targets: tuple[FieldName, ...] = tuple(t.decode() for t in POLICY.targets)
    unsure_for: Duration = Duration(CACHING.unknown_outcome_us)
    pass_for: Duration = Duration(CACHING.pass_for_us)
    drop_fields: list[FieldName] = []
    purge_from: list[str] = []
    stale: dict[str, Any] = {}
    clients: dict[str, Any] = {}
    disk: dict[str, Any] | None = None


def parse_caching(path: Path, values: Any) -> CachingSettings:
    """Parses the table `caching`. Raises BadFile."""
    caching = convert_table(path, "caching", values, CachingTable)
    stale = convert_table(path, "caching.stale", caching.stale, StaleTable)
    clients = convert_table(path, "caching.clients", caching.clients, ClientsTable)

    def require(condition: bool, table: str, key: str, problem: str) -> None:
        if not condition:
            raise BadFile(f"{path}: [{table}] {key}: {problem}")

    def whole_seconds(duration: Duration, table: str, key: str) -> int:
        require(duration.us % 1_000_000 == 0, table, key, "must be whole seconds, as in HTTP")
        return duration.us // 1_000_000

    require(caching.most_object.bytes <= caching.most_bytes.bytes // 4, "caching", "most_object",
            "must be at most a quarter of most_bytes")  # fmt: skip
    require(caching.most_bytes.bytes >= 64 << 10, "caching", "most_bytes", "must be at least 64KiB")
    require(clients.deadline.us >= 1_000, "caching.clients", "deadline", "must be at least 1ms")
    for peer in caching.purge_from:
        try:  # with any port, because parse_address requires one
            parse_address(f"[{peer}]:1" if ":" in peer else f"{peer}:1")
        except ValueError:
            raise BadFile(f"{path}: [caching] purge_from: {peer!r} is not a numeric address") from None
    disk = None
    if caching.disk is not None:
        disk_table = convert_table(path, "caching.disk", caching.disk, DiskTable)
        require(disk_table.wait.us >= 1_000, "caching.disk", "wait", "must be at least 1ms")
        disk = DiskSettings(
            path.parent / disk_table.path, disk_table.most_bytes.bytes, disk_table.queue, disk_table.wait.us
        )
    return CachingSettings(
        policy=Policy(
            name=caching.name, heuristic_fraction=caching.heuristic_fraction,
            heuristic_most_s=whole_seconds(caching.heuristic_most, "caching", "heuristic_most"),
            targets=tuple(t.lower().encode() for t in caching.targets),
            stale_if_refused_s=whole_seconds(stale.if_refused, "caching.stale", "if_refused"),
            stale_if_error_s=whole_seconds(stale.if_error, "caching.stale", "if_error"),
            max_stale=stale.for_clients,
        ),
        classes=None if caching.classes is None else frozenset(caching.classes),
        plain_servers=caching.plain_servers, most_bytes=caching.most_bytes.bytes,
        most_object=caching.most_object.bytes, most_variants=caching.most_variants,
        unknown_outcome_us=caching.unsure_for.us, pass_for_us=caching.pass_for.us,
        drop_fields=frozenset(f.lower().encode() for f in caching.drop_fields),
        clients=ClientSettings(caching.plain_servers, clients.read_class, clients.write_class,
                               clients.deadline.us / 1e6, frozenset(caching.purge_from)),
        disk=disk,
    )  # fmt: skip
