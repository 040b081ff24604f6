"""What an operator may set of machines and their maintenance."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from magpiefront.maintenance.plan import Limits, Machine


@dataclass(frozen=True, slots=True)
class MaintenanceSettings:
    path: Path  # of what this proxy has to leave out, whatever it hears
    machines: Mapping[str, Machine]
    limits: Limits = field(default_factory=Limits)  # of plans that say nothing else
    voters: tuple[str, ...] = ()  # of the group
    member: str = ""
