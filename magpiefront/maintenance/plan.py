"""Maintenance plans: machines, the work on them, a time window and limits. No I/O and no clock.

Times are in seconds. Those of a window are Unix time, because operators write them as dates.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

MAX_MACHINES = 1_000  # in a plan, and in the operator's file


class Machine(msgspec.Struct, frozen=True):
    """A physical machine: cache nodes by their ids in discovery, proxies by their names in the group."""

    name: str
    nodes: tuple[str, ...] = ()
    proxies: tuple[str, ...] = ()
    zone: str = ""


class Limits(msgspec.Struct, frozen=True):
    """Limits of one plan. If several plans run, each limit applies to the unavailable machines of all plans
    together."""

    most_out: int = 1  # machines that may be unavailable at the same time
    most_zone: int = 1  # machines of one zone that may be unavailable at the same time
    least_left: float = 0.7  # share of all nodes that has to stay in use
    # Share by which the load that the remaining nodes can carry must exceed the peak: the highest load of the
    # last minute, and of this hour of the day and the next.
    margin: float = 0.2
    most_load: float = 0.0  # requests in progress at one node; 0: no limit
    most_drain_s: float = 600.0  # from draining to out; after that, other machines go first
    most_work_s: float = 3_600.0  # from out to back
    most_warm_s: float = 300.0  # from back to warming, and again from warming to done
    spread_s: float = 5.0  # time over which the proxies stop sending to a machine, one after the other
    go_on: bool = False  # whether the plan continues after a machine has failed


class Plan(msgspec.Struct, frozen=True):
    """A maintenance plan as an operator starts it."""

    id: str
    by: str  # the operator
    machines: tuple[str, ...]
    what: str = ""  # description for operators
    command: tuple[str, ...] = ()  # if empty, an operator reports `done`
    opens_s: float = 0.0  # start of the window
    closes_s: float = 0.0  # end of the window; 0: it does not end
    limits: Limits = Limits()


def problems(
    plan: Plan, fleet: Mapping[str, Machine], voters: Iterable[str], taken: Mapping[str, str]
) -> list[str]:  # fmt: skip
    """Returns the reasons why a plan is refused, one text each. `taken` maps the machines whose maintenance
    has not ended yet to their plans."""
    found: list[str] = []
    limits, voting = plan.limits, set(voters)
    if not plan.machines:
        found.append("names no machine")
    if len(plan.machines) > MAX_MACHINES:
        found.append(f"names more than {MAX_MACHINES} machines")
    for name in sorted({m for m in plan.machines if plan.machines.count(m) > 1}):
        found.append(f"names {name} twice")
    for name in dict.fromkeys(plan.machines):
        if name not in fleet:
            found.append(f"{name} is no machine of [maintenance.machines]")
        elif name in taken:
            found.append(f"{name} is in plan {taken[name]} already")
    for key, least in (("most_out", 1), ("most_zone", 1)):
        if getattr(limits, key) < least:
            found.append(f"{key}: must be at least {least}")
    for key in ("least_left", "margin"):
        if not 0 <= getattr(limits, key) <= 1:
            found.append(f"{key}: is a share from 0 to 1")
    for key in ("most_drain_s", "most_work_s", "most_warm_s"):
        if getattr(limits, key) <= 0:
            found.append(f"{key}: must be above 0")
    for key in ("most_load", "spread_s"):
        if getattr(limits, key) < 0:
            found.append(f"{key}: must not be negative")
    if plan.closes_s and plan.closes_s <= plan.opens_s:
        found.append("its window closes before it opens")
    return found or _never_allowed(plan, fleet, voting)


def _never_allowed(plan: Plan, fleet: Mapping[str, Machine], voters: set[str]) -> list[str]:
    """Returns a text for each machine that could not leave even if all others were in use. A plan with such a
    machine would wait forever."""
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
