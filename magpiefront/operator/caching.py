"""The table `caching` of the operator's file."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec

from magpiefront.caching.settings import CachingSettings, DiskSettings, Policy
from magpiefront.net.config import address
from magpiefront.net.passing import Clients
from magpiefront.operator.fields import BadFile, Duration, Size, read

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Token = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z*][!#$%&'*+.^_`|~0-9A-Za-z:/-]{0,62}$")]
FieldName = Annotated[str, msgspec.Meta(pattern=r"^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")]

OWN, POLICY, CLIENTS, DISK = CachingSettings(), Policy(), Clients(), DiskSettings(Path("."))


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
    wait: Duration = Duration(DISK.wait_us)


class CachingTable(msgspec.Struct, forbid_unknown_fields=True):
    name: Token = POLICY.name
    classes: list[str] | None = None
    plain_servers: bool = OWN.plain_servers
    most_bytes: Size = Size(OWN.most_bytes)
    most_object: Size = Size(OWN.most_object)
    most_variants: Annotated[int, msgspec.Meta(ge=1, le=1_000)] = OWN.most_variants
    heuristic_fraction: Share = POLICY.heuristic_fraction
    heuristic_most: Duration = Duration(POLICY.heuristic_most_s * 1_000_000)
    targets: tuple[FieldName, ...] = tuple(t.decode() for t in POLICY.targets)
    unsure_for: Duration = Duration(OWN.unsure_for_us)
    pass_for: Duration = Duration(OWN.pass_for_us)
    drop_fields: list[FieldName] = []
    purge_from: list[str] = []
    stale: dict[str, Any] = {}
    clients: dict[str, Any] = {}
    disk: dict[str, Any] | None = None


def caching(path: Path, given: Any) -> CachingSettings:
    """Raises BadFile."""
    c = read(path, "caching", given, CachingTable)
    s = read(path, "caching.stale", c.stale, StaleTable)
    k = read(path, "caching.clients", c.clients, ClientsTable)

    def require(holds: bool, table: str, key: str, what: str) -> None:
        if not holds:
            raise BadFile(f"{path}: [{table}] {key}: {what}")

    def whole(d: Duration, table: str, key: str) -> int:
        require(d.us % 1_000_000 == 0, table, key, "must be whole seconds, as in HTTP")
        return d.us // 1_000_000

    require(c.most_object.bytes <= c.most_bytes.bytes // 4, "caching", "most_object", "must be a quarter of "
            "most_bytes at most")  # fmt: skip
    require(c.most_bytes.bytes >= 64 << 10, "caching", "most_bytes", "must be at least 64KiB")
    require(k.deadline.us >= 1_000, "caching.clients", "deadline", "must be at least 1ms")
    for peer in c.purge_from:
        try:
            address(f"[{peer}]:1" if ":" in peer else f"{peer}:1")
        except ValueError:
            raise BadFile(f"{path}: [caching] purge_from: {peer!r} is no numeric address") from None
    disk = None
    if c.disk is not None:
        d = read(path, "caching.disk", c.disk, DiskTable)
        require(d.wait.us >= 1_000, "caching.disk", "wait", "must be at least 1ms")
        disk = DiskSettings(path.parent / d.path, d.most_bytes.bytes, d.queue, d.wait.us)
    return CachingSettings(
        policy=Policy(
            name=c.name, heuristic_fraction=c.heuristic_fraction,
            heuristic_most_s=whole(c.heuristic_most, "caching", "heuristic_most"),
            targets=tuple(t.lower().encode() for t in c.targets),
            stale_if_refused_s=whole(s.if_refused, "caching.stale", "if_refused"),
            stale_if_error_s=whole(s.if_error, "caching.stale", "if_error"), max_stale=s.for_clients,
        ),
        classes=None if c.classes is None else frozenset(c.classes), plain_servers=c.plain_servers,
        most_bytes=c.most_bytes.bytes, most_object=c.most_object.bytes, most_variants=c.most_variants,
        unsure_for_us=c.unsure_for.us, pass_for_us=c.pass_for.us,
        drop_fields=frozenset(f.lower().encode() for f in c.drop_fields),
        clients=Clients(c.plain_servers, k.read_class, k.write_class, k.deadline.us / 1e6,
                        frozenset(c.purge_from)),
        disk=disk,
    )  # fmt: skip
