"""Keeps the process within its memory: measures it, and carries out what `memory_pressure` decides."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from magpiefront.net.memory_plan import LISTED_NODE_COST_BYTES, MemoryPlan, plan_memory
from magpiefront.net.memory_pressure import MemoryPressure, Step
from magpiefront.net.metrics import metric_lines

# Between two calls that give memory back, unless the process has grown by TRIM_GROWTH_BYTES meanwhile.
TRIM_INTERVAL_S, TRIM_GROWTH_BYTES = 0.25, 1024 * 1024
CHECK_TICKS, CHECK_GROWTH_BYTES = 5, 256 * 1024  # see `MemoryGuard.tick`
CALM_TRIM_INTERVAL_S = 1.0  # the same without pressure
# How much the process must have grown, or clients must have freed, since the last one without pressure: the
# pages that are given back cost time when they are needed again.
CALM_TRIM_CHANGE_BYTES = 2 * 1024 * 1024


class Memory(Protocol):
    """The process's resident memory."""

    high_water_bytes: int

    def read(self) -> int:
        """Resident memory in bytes; 0 if the system does not tell."""


class Holders(Protocol):
    """What holds memory for clients."""

    def apply_plan(self, plan: MemoryPlan) -> None:
        """Sets the limits of connections, requests and answers."""

    def set_step(self, step: Step) -> None:
        """Holds back as this step says, until the next call."""

    def set_room(self, room_bytes: int) -> None:
        """Tells how much the process can grow by its last measure until it has to hold back."""

    def shed_memory(self) -> None:
        """Closes some connections by rank; called again and again while the step is SHED."""

    def held_bytes(self) -> int:
        """What the account says that is held besides memory at rest, in bytes."""


class MemoryEvents(Protocol):
    """The event log."""

    def emit(self, event: str, reason: Enum | None = None, **fields: object) -> None:
        """Writes one line."""


class MemoryGuard:
    """Measures the process, and makes `holders` hold back when its memory gets short.

    `max_clients` and `max_node_connections`: for how many connections there are descriptors. `others`: what
    other processes take that share the limit, in bytes.
    """

    def __init__(
        self, limit_bytes: int, memory: Memory, trim: Callable[[], None], holders: Holders,
        events: MemoryEvents, clock: Callable[[], float], max_clients: int, max_node_connections: int,
    ) -> None:  # fmt: skip
        self.limit_bytes, self.memory, self.trim, self.holders = limit_bytes, memory, trim, holders
        self.events, self.clock = events, clock
        self.max_clients, self.max_node_connections = max_clients, max_node_connections
        self.others: Callable[[], int] = lambda: 0
        self.at_rest_bytes = self.nodes = self.reserved_bytes = 0
        self.pressure = MemoryPressure(limit_bytes, 0)
        self.resident_bytes = 0  # of the last reading
        self._trimmed_at, self._after_trim_bytes = 0.0, 0
        self._others_bytes = self._ticks = self._held_before = self._held_at_trim = 0

    def start(self, nodes: int, reserved_bytes: int = 0) -> MemoryPlan:
        """Takes the memory of now as that at rest, with a list of this many nodes. `reserved_bytes`: what
        stages may store in time, which is not for clients."""
        self.trim()
        self.reserved_bytes = reserved_bytes
        self.nodes, self.at_rest_bytes = nodes, self.memory.read()
        self.resident_bytes = self._after_trim_bytes = self.at_rest_bytes
        self._others_bytes = self.others()
        return self._apply()

    def _apply(self) -> MemoryPlan:
        plan = plan_memory(
            self.limit_bytes - self._others_bytes, self.at_rest_bytes + self.reserved_bytes, self.nodes,
            self.max_clients, self.max_node_connections,
        )  # fmt: skip
        self.holders.apply_plan(plan)
        self.pressure.set_limits(
            self.limit_bytes - self._others_bytes, self.at_rest_bytes + self.reserved_bytes
        )
        return plan

    def set_nodes(self, nodes: int) -> None:
        """Called when the list has another number of nodes."""
        if nodes != self.nodes:
            self.at_rest_bytes += (nodes - self.nodes) * LISTED_NODE_COST_BYTES
            self.nodes = nodes
            self._apply()

    def update_others(self) -> None:
        """Measures the other processes that share the limit; to be called a few times a second."""
        others = self.others()
        if others != self._others_bytes:
            self._others_bytes = others
            self._apply()

    def tick(self) -> None:
        """Calls `check` if it is due: at once after growth, all the time under pressure, and otherwise each
        CHECK_TICKS calls. To be called many times a second."""
        self._ticks += 1
        held = self.holders.held_bytes()
        grown = held - self._held_before
        if self._ticks >= CHECK_TICKS or grown >= CHECK_GROWTH_BYTES or self.pressure.step is not Step.NONE:
            self._ticks, self._held_before = 0, held
            self.check()

    def check(self) -> None:
        """Measures the process and acts on it."""
        before, resident = self.pressure.step, self.memory.read()
        step = self.pressure.update(resident)
        if self._may_trim(resident, step):
            self.trim()
            resident = self._after_trim_bytes = self.memory.read()
            step = self.pressure.update(resident)
        self.resident_bytes = resident
        self.holders.set_room(self.pressure.room(resident))
        self.holders.set_step(step)
        if step is Step.SHED:
            self.holders.shed_memory()
        if step is not before or step is Step.SHED:
            self._log(step)

    def _may_trim(self, resident: int, step: Step) -> bool:
        now, grown = self.clock(), resident - self._after_trim_bytes
        held = self.holders.held_bytes()
        if step is Step.NONE:
            changed = max(grown, self._held_at_trim - held)
            due = now - self._trimmed_at >= CALM_TRIM_INTERVAL_S and changed >= CALM_TRIM_CHANGE_BYTES
        else:
            due = now - self._trimmed_at >= TRIM_INTERVAL_S or grown >= TRIM_GROWTH_BYTES
        if due:
            self._trimmed_at, self._held_at_trim = now, held
        return due

    def _log(self, step: Step) -> None:
        self.events.emit(
            "memory", None, step=step.name.lower(), resident_kb=self.resident_bytes >> 10,
            limit_kb=self.pressure.limit_bytes >> 10, at_rest_kb=self.at_rest_bytes >> 10,
            held_kb=self.holders.held_bytes() >> 10,
        )  # fmt: skip

    def metrics_text(self) -> str:
        """The process's memory and the difference to the account, in bytes."""
        expected = self.at_rest_bytes + self.holders.held_bytes()
        return metric_lines("memory", {
            "resident_bytes": self.resident_bytes, "high_water_bytes": self.memory.high_water_bytes,
            "limit_bytes": self.limit_bytes, "at_rest_bytes": self.at_rest_bytes,
            "other_processes_bytes": self._others_bytes,
            "account_bytes": expected, "unaccounted_bytes": self.resident_bytes - expected,
            "step": int(self.pressure.step),
        })  # fmt: skip
