"""What an operator asks for: machines, what is done to them, a window, and limits. No I/O, no clock.

Times are seconds; those of a window are Unix time, for people write them.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

MOST_MACHINES = 1_000


class Machine(msgspec.Struct, frozen=True):
    """A box: cache nodes by their ids in discovery, proxies by their names in the group."""

    name: str
    nodes: tuple[str, ...] = ()
    proxies: tuple[str, ...] = ()
    zone: str = ""


class Limits(msgspec.Struct, frozen=True):
    """Of one plan; where several run, each holds for all machines that are out."""

    most_out: int = 1
    most_zone: int = 1
    least_left: float = 0.7  # of all nodes, that are in use
    margin: float = 0.2  # over the highest load of this hour and the next, that the rest has to carry
    most_load: float = 0.0  # requests in work at one node; 0: not looked at
    most_drain_s: float = 600.0  # from granted to out; then others go first
    most_work_s: float = 3_600.0  # from out to back
    most_warm_s: float = 300.0  # from back to done
    spread_s: float = 5.0  # in which the proxies move their keys away, one after the other
    go_on: bool = False  # after a machine that failed


class Plan(msgspec.Struct, frozen=True):
    id: str
    by: str
    machines: tuple[str, ...]
    what: str = ""
    command: tuple[str, ...] = ()  # none: a person says `done`
    opens_s: float = 0.0
    closes_s: float = 0.0  # 0: never
    limits: Limits = Limits()


def problems(
    plan: Plan, fleet: Mapping[str, Machine], voters: Iterable[str], taken: Mapping[str, str]
) -> list[str]:  # fmt: skip
    """Why it can't be taken, a line each. `taken`: machines of plans that run, and whose plan that is."""
    found: list[str] = []
    n, voting = plan.limits, set(voters)
    if not plan.machines:
        found.append("names no machine")
    if len(plan.machines) > MOST_MACHINES:
        found.append(f"names more than {MOST_MACHINES} machines")
    for name in sorted({m for m in plan.machines if plan.machines.count(m) > 1}):
        found.append(f"names {name} twice")
    for name in dict.fromkeys(plan.machines):
        if name not in fleet:
            found.append(f"{name} is no machine of [maintenance.machines]")
        elif name in taken:
            found.append(f"{name} is in plan {taken[name]} already")
    for key, least in (("most_out", 1), ("most_zone", 1)):
        if getattr(n, key) < least:
            found.append(f"{key}: must be at least {least}")
    for key in ("least_left", "margin"):
        if not 0 <= getattr(n, key) <= 1:
            found.append(f"{key}: is a share from 0 to 1")
    for key in ("most_drain_s", "most_work_s", "most_warm_s"):
        if getattr(n, key) <= 0:
            found.append(f"{key}: must be above 0")
    for key in ("most_load", "spread_s"):
        if getattr(n, key) < 0:
            found.append(f"{key}: must not be negative")
    if plan.closes_s and plan.closes_s <= plan.opens_s:
        found.append("its window closes before it opens")
    return found or _never(plan, fleet, voting)


def _never(plan: Plan, fleet: Mapping[str, Machine], voters: set[str]) -> list[str]:
    """Machines that the limits would not let go even alone: such a plan would wait for ever."""
    nodes = {node for m in fleet.values() for node in m.nodes}
    found = []
    for name in plan.machines:
        m = fleet[name]
        left = 1 - len(set(m.nodes)) / len(nodes) if nodes else 1.0
        if left < plan.limits.least_left:
            found.append(f"{name}: without it {left:.0%} of the nodes are left, and least_left is "
                         f"{plan.limits.least_left:.0%}")  # fmt: skip
        if 2 * len(voters - set(m.proxies)) <= len(voters) and voters:
            found.append(f"{name}: without its proxies the group has no majority")
    return found
