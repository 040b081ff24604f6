"""Faults of the link over time, drawn from a seed. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from standins.relay import Relay

KINDS = ("cut", "cut_in_frame", "stall", "one_way_there", "one_way_back", "slow", "flap")
PRESETS: dict[str, tuple[str, ...]] = {
    "none": (), "mixed": KINDS, "cut": ("cut",), "flap": ("flap",), "stall": ("stall",),
    "one-way": ("one_way_there", "one_way_back"), "frames": ("cut_in_frame",), "slow": ("slow",),
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Fault:
    """At `at` (seconds from the start) the link `kind`s; it is whole again after `lasts` seconds."""

    at: float
    kind: str
    lasts: float
    way: int = 0
    count: int = 0
    returning: float = 0.0

    def __str__(self) -> str:
        return f"{self.at:.2f}s {self.kind} for {self.lasts:.2f}s"


def draw(seed: int, seconds: float, kinds: tuple[str, ...], each: float = 1.0) -> list[Fault]:
    """Faults one after the other, each about `each` seconds with a pause of about as long; the last one ends
    before three quarters of the time, so that what comes after the link's return is seen."""
    random = Random(seed)
    faults: list[Fault] = []
    at = each * random.uniform(0.2, 0.8)
    while kinds:
        lasts = each * random.uniform(0.2, 1.2)
        if at + lasts > 0.75 * seconds:
            break
        faults.append(
            Fault(at, random.choice(kinds), lasts, random.randrange(2), random.randrange(1, 2000),
                  random.choice((0.0, 0.1 * each)))
        )  # fmt: skip
        at += lasts + each * random.uniform(0.2, 1.0)
    return faults


def strike(relay: Relay, fault: Fault) -> None:
    match fault.kind:
        case "cut":
            relay.cut()
        case "cut_in_frame":
            relay.cut_after(fault.way, fault.count)
        case "stall":
            relay.stall()
        case "one_way_there":
            relay.stall(0)
        case "one_way_back":
            relay.stall(1)
        case "slow":
            relay.slow(0.05 + fault.count / 10_000, 0.02)
        case "flap":
            relay.break_all()
        case _:
            raise ValueError(f"no fault {fault.kind!r}")


async def play(relay: Relay, faults: list[Fault], step: float = 0.03) -> None:
    """Plays the faults at their times, and leaves the link whole."""
    import asyncio

    loop = asyncio.get_running_loop()
    start, delay, jitter = loop.time(), relay.delay_s, relay.jitter_s
    for fault in faults:
        await asyncio.sleep(max(0.0, start + fault.at - loop.time()))
        strike(relay, fault)
        end = start + fault.at + fault.lasts
        while fault.kind == "flap" and loop.time() < end:
            await asyncio.sleep(step)
            relay.break_all()
        await asyncio.sleep(max(0.0, end - loop.time()))
        relay.slow(delay, jitter)
        relay.heal(fault.returning)
