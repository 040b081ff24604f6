"""What holds memory for clients in this process: its front and its pool of connections to nodes."""

from __future__ import annotations

from collections.abc import Callable

from magpiefront.net.client_memory import ClientMemory
from magpiefront.net.front import Front
from magpiefront.net.memory_plan import CONNECTION_OBJECTS_BYTES, NODE_CONNECTION_OBJECTS_BYTES, MemoryPlan
from magpiefront.net.memory_pressure import Step
from magpiefront.net.proxy import Proxy


class ClientHolders:
    """Applies the plan of the memory, and the steps against a shortage, to the front and the proxy."""

    def __init__(self, proxy: Proxy, front: Front, memory: ClientMemory) -> None:
        self.proxy, self.front, self.memory = proxy, front, memory
        self.step = Step.NONE
        self.shed_others: Callable[[], None] = lambda: None  # frees what stages hold for requests

    def apply_plan(self, plan: MemoryPlan) -> None:
        """Sets the limits of connections, requests and answers."""
        self.memory.apply(plan)
        self.front.max_clients_by_memory = plan.max_clients
        self.proxy.pool.max_by_memory = plan.max_node_connections

    def set_step(self, step: Step) -> None:
        """Holds back as this step says, until the next call."""
        if step is self.step:
            return
        self.step = step
        self.memory.held_back = self.front.holding = step >= Step.HOLD
        self.proxy.memory_short = step >= Step.SHED
        if step < Step.HOLD:
            self.memory.resume_some()

    def set_room(self, room_bytes: int) -> None:
        """Tells how much the process can grow by its last measure until it has to hold back."""
        self.memory.measured_room = room_bytes

    def shed_memory(self) -> None:
        """Closes some connections by rank; called again and again while the step is SHED."""
        self.front.shed_memory()
        self.shed_others()
        self.proxy.pool.close_all_idle()

    def held_bytes(self) -> int:
        """What the account says that is held besides memory at rest, in bytes."""
        connections = len(self.front.clients) * CONNECTION_OBJECTS_BYTES
        connections += self.proxy.pool.open * NODE_CONNECTION_OBJECTS_BYTES
        return connections + self.memory.used + self.memory.unsent
