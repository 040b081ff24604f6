"""Settings of machine maintenance from the operator's configuration file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from magpiefront.maintenance.plan import Limits, Machine


@dataclass(frozen=True, slots=True)
class MaintenanceSettings:
    path: Path  # of the file with the saved exclusions of this proxy
    machines: Mapping[str, Machine]
    limits: Limits = field(default_factory=Limits)  # defaults for plans
    voters: tuple[str, ...] = ()  # of the group
    member: str = ""  # this proxy's name in the group
