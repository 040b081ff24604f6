"""Divides the memory that a process may take among what it holds; no I/O and no clock.

Room for everything is reserved beforehand: the number of connections follows from the memory as well as
from the file descriptors, and the shares together with what the process takes at rest are at most
`USABLE_SHARE` of its limit.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

# The most of its limit that a process plans to take. The rest is for what the allocator keeps between blocks.
USABLE_SHARE = 0.9
KIB, MIB = 1024, 1024 * 1024

# What a connection of a client may hold besides what is counted (`benchmarks/memory_costs.py`): its objects,
# parser and transport; the first small request, which is always read; and answers that it has not taken.
CONNECTION_OBJECTS_BYTES = 4 * KIB
REQUEST_ALLOWANCE_BYTES = 4 * KIB
MAX_UNCOUNTED_UNSENT_BYTES = 8 * KIB
CONNECTION_COST_BYTES = CONNECTION_OBJECTS_BYTES + REQUEST_ALLOWANCE_BYTES + MAX_UNCOUNTED_UNSENT_BYTES
# What a connection to a node may hold: its objects, those of its attempt, and an answer that is still being
# read (`MAX_BUFFERED_BYTES`) with the read that completes it.
NODE_CONNECTION_OBJECTS_BYTES = 10 * KIB
NODE_CONNECTION_COST_BYTES = NODE_CONNECTION_OBJECTS_BYTES + 70 * KIB
# What a listed node takes at rest, and while a list that replaces all of them is applied.
LISTED_NODE_COST_BYTES, LIST_CHANGE_COST_BYTES = 2816, 1536

# The most of the usable memory that connections of each kind get.
CLIENT_SHARE, NODE_SHARE = 0.3, 0.3
# Of what connections leave: the one message that may always be read to its end, and of the rest requests in
# parts and queues; what is left then is for answers that clients have not taken.
MESSAGE_SHARE, REQUEST_SHARE = 0.5, 0.6
MAX_MESSAGE_BYTES = 33 * MIB  # the largest body that is accepted (`MAX_BODY_BYTES`), with its head
# The least that a process can work with. If there is less, it starts all the same and says so.
MIN_CLIENTS, MIN_NODE_CONNECTIONS = 16, 8
MIN_REQUEST_BYTES, MIN_MESSAGE_BYTES, MIN_ANSWER_BYTES = 64 * KIB, 256 * KIB, 128 * KIB


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """The shares of a process's memory, in bytes, and the connections that fit. `enough`: all of them fit
    into the limit; if not, each is the least that a process can work with or a little more."""

    max_clients: int
    max_node_connections: int
    request_bytes: int
    message_bytes: int
    answer_bytes: int
    enough: bool

    @property
    def total_bytes(self) -> int:
        """The most that everything takes besides what the process takes at rest."""
        connections = (
            self.max_clients * CONNECTION_COST_BYTES + self.max_node_connections * NODE_CONNECTION_COST_BYTES
        )
        return connections + self.request_bytes + self.message_bytes + self.answer_bytes


def plan_memory(
    limit_bytes: int, at_rest_bytes: int, nodes: int, max_clients: int, max_node_connections: int
) -> MemoryPlan:
    """The plan for a process that may take `limit_bytes`, takes `at_rest_bytes` with its list of `nodes` and
    before its first client, and has descriptors for that many connections of each kind."""
    free = int(limit_bytes * USABLE_SHARE) - at_rest_bytes - nodes * LIST_CHANGE_COST_BYTES
    clients = min(max_clients, max(MIN_CLIENTS, int(free * CLIENT_SHARE) // CONNECTION_COST_BYTES))
    to_nodes = min(
        max_node_connections, max(MIN_NODE_CONNECTIONS, int(free * NODE_SHARE) // NODE_CONNECTION_COST_BYTES)
    )
    left = free - clients * CONNECTION_COST_BYTES - to_nodes * NODE_CONNECTION_COST_BYTES
    message_bytes = min(MAX_MESSAGE_BYTES, max(MIN_MESSAGE_BYTES, int(left * MESSAGE_SHARE)))
    left -= message_bytes
    plan = MemoryPlan(
        max_clients=clients,
        max_node_connections=to_nodes,
        request_bytes=max(MIN_REQUEST_BYTES, int(left * REQUEST_SHARE)),
        message_bytes=message_bytes,
        answer_bytes=max(MIN_ANSWER_BYTES, int(left * (1 - REQUEST_SHARE))),
        enough=True,
    )
    return replace(plan, enough=plan.total_bytes <= free)
