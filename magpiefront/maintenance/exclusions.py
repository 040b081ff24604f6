"""Decides which nodes one proxy excludes, and what it confirms to the others. No I/O and no clock.

A proxy that is cut off from the group keeps serving and does not learn of new grants. From the end of its
session by its own clock, it also excludes the machines of the last `MaintenanceState.next` that it knows; the
rules rely on this (`rules.py`). It uses such a machine again only after it has a new session and a read of
the group's state that began in that session has returned. By then it has applied everything that was
committed before the read.

A node is excluded by its name and by its address. Discovery may list a node of another machine at the address
of a node that is out, if a machine came back with the wrong disk or identity. That node is excluded too.

A process that has just started only knows the state in its latest snapshot, which may be old. A proxy
therefore saves what it has to exclude in a separate file (`SavedExclusions`) before it acknowledges a new
`next` or confirms that a machine is drained.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from magpiefront.hashing import bytes_hash, unit_interval
from magpiefront.maintenance.state_machine import (
    EXCLUDED, LEAVING, AcknowledgeNext, ConfirmDrained, MaintenanceState, Job, State,
)  # fmt: skip

NO_ADDRESSES: Mapping[str, bytes] = {}
RETRY_DELAY_US = 300_000  # until a command that has not been applied is proposed again


class SavedExclusions(msgspec.Struct, frozen=True):
    """What a new process excludes until it has read newer state."""

    version: int = 0  # of `MaintenanceState.next`
    machines: dict[str, tuple[str, ...]] = {}  # excluded machines, with their nodes
    # The address that each of these nodes had when its machine left.
    nodes_by_address: dict[bytes, str] = msgspec.field(name="places", default_factory=dict)


def exclusion_delay_s(member: str, job: Job, spread_s: float) -> float:
    """Returns how many seconds after a grant this proxy stops sending to the machine, from 0 to `spread_s`.
    Each proxy has its own delay, so that the archive does not get all misses at once: the reads of the first
    proxies warm the new homes for the others."""
    return spread_s * unit_interval(bytes_hash(f"{member} {job.machine} {job.grant_number}".encode()))


class ExclusionView:
    """The exclusions of one member. Times are microseconds of its own monotonic clock. `saved` is what its
    file holds: None at the very first start, or if the file was lost or damaged."""

    def __init__(self, member: str, saved: SavedExclusions | None) -> None:
        self.member, self.saved = member, saved
        self.current_epoch = 0  # the member's latest epoch in which a read has returned
        # When each grant was first seen here, by machine and number of the grant.
        self.granted_us: dict[tuple[str, int], int] = {}
        # When each confirmation was last proposed, by machine, number of the grant and epoch of the member.
        self.confirmed_us: dict[tuple[str, int, int], int] = {}
        self.acknowledged_us = -RETRY_DELAY_US  # when an acknowledgement was last proposed
        # What `machines_by_node` was built from: the state, its `line_count` then, and the saved exclusions.
        self.index_key: tuple[MaintenanceState | None, int, SavedExclusions | None] = None, 0, None
        self.machines_by_node: dict[str, list[str]] = {}

    @property
    def may_serve(self) -> bool:
        """Whether it is known which machines to exclude. A member that has lost its file could otherwise send
        to a machine that is out."""
        return self.saved is not None or self.current_epoch > 0

    def is_current(self, epoch: int) -> bool:
        """Whether a read has returned in this epoch of the member. `epoch` is 0 if it has no session."""
        return epoch > 0 and epoch == self.current_epoch

    def confirm_read(self, epoch: int) -> None:
        """Records that a read has returned that began in this epoch, and that the epoch is still valid."""
        self.current_epoch = epoch

    def to_save(
        self, state: MaintenanceState, addresses: Mapping[str, bytes] = NO_ADDRESSES
    ) -> SavedExclusions:  # fmt: skip
        """Returns what has to be saved. `addresses` holds the listed address of each node. For a node of an
        excluded machine, the address that was saved earlier takes precedence over the listed one."""
        excluded = {j.machine for j in state.jobs.values() if j.state in EXCLUDED}
        machines = {m: state.fleet[m].nodes for m in sorted(excluded | set(state.next))}
        excluded_nodes = {n for m in excluded for n in machines[m]}
        before = self.saved.nodes_by_address if self.saved is not None else {}
        saved_addresses = {node: address for address, node in before.items()}
        found: dict[bytes, str] = {}
        for node in sorted({n for names in machines.values() for n in names}):
            first, second = (
                (saved_addresses, addresses) if node in excluded_nodes else (addresses, saved_addresses)
            )
            address = first.get(node) or second.get(node)
            if address:
                found.setdefault(address, node)
        return SavedExclusions(state.version, machines, found)

    def excluded_machines(self, state: MaintenanceState, epoch: int, now_us: int) -> set[str]:
        """Returns the machines to which nothing is sent now. `epoch` is the member's own; 0: no session."""
        found = {j.machine for j in state.jobs.values() if self._is_machine_excluded(state, j, now_us)}
        if not self.is_current(epoch):
            found |= set(state.next)
            found |= set(self.saved.machines) if self.saved is not None else set()
        return found

    def _is_machine_excluded(self, state: MaintenanceState, job: Job, now_us: int) -> bool:
        if job.state is not State.GRANTED:
            return job.state in EXCLUDED
        first_us = self.granted_us.setdefault((job.machine, job.grant_number), now_us)
        spread_s = state.plans[job.plan].plan.limits.spread_s
        return now_us >= first_us + int(exclusion_delay_s(self.member, job, spread_s) * 1e6)

    def excluded_nodes(
        self, state: MaintenanceState, epoch: int, now_us: int, addresses: Mapping[str, bytes] = NO_ADDRESSES
    ) -> set[str]:  # fmt: skip
        """Returns the nodes of the excluded machines, and the nodes that `addresses` lists at the saved
        address of one of these."""
        found = set[str]()
        for m in self.excluded_machines(state, epoch, now_us):
            known = state.fleet[m].nodes if m in state.fleet else ()
            saved = self.saved.machines.get(m, ()) if self.saved is not None else ()
            found.update(known, saved)
        return found | {n for n, address in addresses.items() if self.previous_node_at(n, address) in found}

    def previous_node_at(self, node: str, address: bytes) -> str:
        """Returns the node that was saved with this address, or "" if there is none or it is `node`."""
        previous = self.saved.nodes_by_address.get(address, "") if self.saved is not None else ""
        return previous if previous != node else ""

    def is_excluded(
        self, state: MaintenanceState, node: str, epoch: int, now_us: int, address: bytes = b""
    ) -> bool:  # fmt: skip
        """Whether the node is one of `excluded_nodes`. Called before each request, so it does not build that
        set."""
        other = self.previous_node_at(node, address)
        if other and self.is_excluded(state, other, epoch, now_us):
            return True
        saved = self.saved.machines if self.saved is not None else {}
        is_outdated = not self.is_current(epoch)
        for name in self._machines_of(state, node):
            job = state.jobs.get(name)
            if is_outdated and (name in state.next or name in saved):
                return True
            if job is not None and self._is_machine_excluded(state, job, now_us):
                return True
        return False

    def _machines_of(self, state: MaintenanceState, node: str) -> Sequence[str]:
        """Returns the machines of a node, in the replicated fleet or in the saved exclusions. The index is
        rebuilt when the state has a new line, since each change of the fleet adds one."""
        indexed_state, line_count, indexed_saved = self.index_key
        if indexed_state is not state or line_count != state.line_count or indexed_saved is not self.saved:
            self.index_key, self.machines_by_node = (state, state.line_count, self.saved), {}
            saved = self.saved.machines if self.saved is not None else {}
            for name in {**state.fleet, **saved}:
                nodes = state.fleet[name].nodes if name in state.fleet else ()
                for n in {*nodes, *saved.get(name, ())}:
                    self.machines_by_node.setdefault(n, []).append(name)
        return self.machines_by_node.get(node, ())

    def pending_commands(
        self, state: MaintenanceState, epoch: int, now_us: int, nodes_in_use: set[str]
    ) -> list[ConfirmDrained | AcknowledgeNext]:  # fmt: skip
        """Returns the commands that the member has to propose now. Each is returned again after
        `RETRY_DELAY_US` if it has not been applied by then. `nodes_in_use` holds the nodes to which a request
        or connection is open."""
        if not self.is_current(epoch) or self.saved is None:
            return []
        found: list[ConfirmDrained | AcknowledgeNext] = []
        version = min(state.version, self.saved.version)
        if (
            version > state.acknowledged.get(self.member, 0)
            and now_us >= self.acknowledged_us + RETRY_DELAY_US
        ):
            self.acknowledged_us = now_us
            found.append(AcknowledgeNext(version))
        for job in state.jobs.values():
            if job.state not in LEAVING or job.confirmations.get(self.member) == epoch:
                continue
            if job.machine not in self.saved.machines or nodes_in_use & set(state.fleet[job.machine].nodes):
                continue
            if not self._is_machine_excluded(state, job, now_us):
                continue
            key = job.machine, job.grant_number, epoch
            if now_us >= self.confirmed_us.get(key, -RETRY_DELAY_US) + RETRY_DELAY_US:
                self.confirmed_us[key] = now_us
                found.append(ConfirmDrained(job.machine, job.grant_number, epoch))
        open_grants = {(j.machine, j.grant_number) for j in state.jobs.values() if j.state in LEAVING}
        self.confirmed_us = {key: at_us for key, at_us in self.confirmed_us.items() if key[:2] in open_grants}
        self.granted_us = {key: at_us for key, at_us in self.granted_us.items() if key in open_grants}
        return found
