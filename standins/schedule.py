"""Schedules of link faults, drawn from a seed. Nothing here does I/O."""

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
    """A fault of the link from `at_s` after the start, for `duration_s`."""

    at_s: float
    kind: str  # one of KINDS
    duration_s: float
    direction: int = 0  # for cut_in_frame: direction of the bytes that are counted
    count: int = 0  # for cut_in_frame: bytes until the cut; for slow: delay above 50 ms, in 0.1 ms
    reconnect_spread_s: float = 0.0  # reconnects after the fault are spread over this time

    def __str__(self) -> str:
        return f"{self.at_s:.2f}s {self.kind} for {self.duration_s:.2f}s"


def draw(seed: int, seconds: float, kinds: tuple[str, ...], duration_scale_s: float = 1.0) -> list[Fault]:
    """Returns faults that do not overlap, from `kinds`. Durations and the pauses between them are about
    `duration_scale_s`. The last fault ends within three quarters of `seconds`, so that the time after the
    link's recovery is tested as well."""
    random = Random(seed)
    faults: list[Fault] = []
    start_s = duration_scale_s * random.uniform(0.2, 0.8)
    while kinds:
        duration_s = duration_scale_s * random.uniform(0.2, 1.2)
        if start_s + duration_s > 0.75 * seconds:
            break
        faults.append(
            Fault(start_s, random.choice(kinds), duration_s, random.randrange(2), random.randrange(1, 2000),
                  random.choice((0.0, 0.1 * duration_scale_s)))
        )  # fmt: skip
        start_s += duration_s + duration_scale_s * random.uniform(0.2, 1.0)
    return faults


def apply_fault(relay: Relay, fault: Fault) -> None:
    """Starts a fault on a relay. Raises ValueError for an unknown kind."""
    match fault.kind:
        case "cut":
            relay.cut()
        case "cut_in_frame":
            relay.cut_after(fault.direction, fault.count)
        case "stall":
            relay.stall()
        case "one_way_there":
            relay.stall(0)
        case "one_way_back":
            relay.stall(1)
        case "slow":
            relay.set_delay(0.05 + fault.count / 10_000, 0.02)
        case "flap":
            relay.break_all()
        case _:
            raise ValueError(f"unknown kind of fault: {fault.kind!r}")


async def inject_faults(relay: Relay, faults: list[Fault], flap_interval_s: float = 0.03) -> None:
    """Applies the faults to a relay at their times, and ends each of them. A flapping link breaks all its
    connections every `flap_interval_s`."""
    import asyncio

    loop = asyncio.get_running_loop()
    begin, delay, jitter = loop.time(), relay.delay_s, relay.jitter_s
    for fault in faults:
        await asyncio.sleep(max(0.0, begin + fault.at_s - loop.time()))
        apply_fault(relay, fault)
        end = begin + fault.at_s + fault.duration_s
        while fault.kind == "flap" and loop.time() < end:
            await asyncio.sleep(flap_interval_s)
            relay.break_all()
        await asyncio.sleep(max(0.0, end - loop.time()))
        relay.set_delay(delay, jitter)
        relay.restore(fault.reconnect_spread_s)
