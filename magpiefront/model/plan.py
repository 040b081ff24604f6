"""The plan of a group simulation: its size and its faults, drawn from a seed before the simulation starts."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from magpiefront.model.rounds import ReplayablePlan

# Relative frequency of each kind of fault (`GroupSimulation._inject_fault`): "stop" suspends a process; "one
# way" cuts what a member sends; "bridge" cuts the link between two members; "flap" cuts what a member sends
# for 50 ms out of each 100 ms; "slow" delays what a member sends, "lossy" affects all links; "put back"
# restores an older state of a disk, "wipe" empties a disk; "all" crashes all members; "remove" removes a
# member from the group for a while; "hand over" transfers leadership.
FAULT_WEIGHTS = {
    "crash": 3, "stop": 3, "cut": 3, "one way": 2, "bridge": 2, "flap": 1, "slow": 2, "lossy": 3,
    "disk slow": 1, "disk full": 1, "put back": 1, "wipe": 1, "all": 1, "remove": 1, "hand over": 2,
}  # fmt: skip


@dataclass(frozen=True)
class Fault:
    """A fault of one or several members. Times are microseconds of simulated time."""

    at_us: int
    kind: str
    who: tuple[int, ...]  # numbers of the members; their role depends on the kind
    lasts_us: int


@dataclass(frozen=True)
class Plan(ReplayablePlan):
    """A group and the faults that it undergoes. All faults begin before `length_us`."""

    seed: int
    voters: int = 3
    observers: int = 0
    length_us: int = 4_000_000
    faults: tuple[Fault, ...] = ()

    @classmethod
    def draw(cls, seed: int, voters: int, observers: int = 0, length_us: int = 4_000_000) -> Plan:
        """Draws up to five faults; the same arguments give the same plan."""
        random = Random(f"{seed} {voters}")
        faults = []
        # How many voters may still lose data or be removed: a majority of the initial voters has to remain.
        expendable = (voters - 1) // 2
        for _ in range(random.randint(1, 5)):
            kind = random.choices(list(FAULT_WEIGHTS), list(FAULT_WEIGHTS.values()))[0]
            if kind in ("put back", "wipe", "remove"):
                if not expendable:
                    continue
                expendable -= 1
            count = 1 if kind not in ("cut",) else random.randint(1, max(1, voters // 2))
            if kind == "bridge":
                count = min(3, voters)
            who = tuple(random.sample(range(voters + observers if count == 1 else voters), count))
            lasts_us = int(10 ** random.uniform(4.5, 6.3))
            faults.append(Fault(random.randrange(300_000, length_us), kind, who, lasts_us))
        return cls(seed, voters, observers, length_us, tuple(sorted(faults, key=lambda f: f.at_us)))
