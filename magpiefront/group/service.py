"""Runs a member in the program: the `Peer` with this process's clock, disk and transport."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import replace
from random import Random
from typing import Any

from magpiefront.group import wire
from magpiefront.group.pending import Outcome, OutcomeCallback, Status
from magpiefront.group.disk import GroupDisk
from magpiefront.group.registry import Member, MemberState
from magpiefront.group.state_machines import StateMachine
from magpiefront.group.messages import Hint, name_of
from magpiefront.group.durable import StoredState
from magpiefront.group.peer import Peer
from magpiefront.group.interface import Transport
from magpiefront.group.settings import Address, GroupSettings
from magpiefront.net.metrics import metric_lines
from magpiefront.net.runtime import Runtime
from magpiefront.sqlfile import BadStore

DISK_RETRY_DELAY_S = 1.0  # before each attempt to open the disk after it has failed
# Before each attempt to start during a handover, until the previous process has released file and address.
HANDOVER_RETRY_DELAY_S = 0.01
LATE_US = 100_000  # a timer that fires later than this is counted as late


class GroupService:
    """Implements `Group`. `peer` is None while this member takes no part, and `cause` then says why."""

    def __init__(self, runtime: Runtime, settings: GroupSettings, seed: int | None = None) -> None:
        self.runtime, self.settings, self.random = runtime, settings, Random(seed)
        self.transport: Transport | None = None
        self.peer: Peer | None = None
        self.disk = GroupDisk(runtime, settings.path, self._on_disk_failure)
        self.machines: dict[str, StateMachine] = {}
        self.counts: Counter[str] = Counter()
        self.cause = "the member has not started"
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None  # waits for the disk, or for the previous process
        self.drive_scheduled = self.stopped = False
        self.watchers: list[Callable[[], None]] = []
        self.hint_handlers: dict[str, Callable[[str, bytes], None]] = {}

    # ---- start and end

    def register(self, name: str, machine: StateMachine) -> None:
        self.machines[name] = machine

    def start(self, transport: Transport) -> None:
        """Starts the member. Raises BadStore."""
        self.transport = transport
        self._begin(self.disk.start())

    def start_after_handover(self, transport: Transport, listen: Callable[[], Awaitable[None]]) -> None:
        """Like `start`, but waits until the previous process of the same member has released its file and
        address; the member takes no part before that. `listen` binds the address, and raises OSError while it
        is in use."""
        self.transport, self.cause = transport, "the previous process still has the file and the address"
        self.task = self.runtime.loop.create_task(self._start_later(HANDOVER_RETRY_DELAY_S, listen))

    def stop_for_handover(self) -> None:
        """Releases the file and the address for the next process. The member can be started again with
        `start_after_handover`."""
        self._take_out("the next process is the member now")
        if self.timer is not None:
            self.timer.cancel()
        self.disk.stop()
        if self.transport is not None:
            self.transport.stop()

    def _begin(self, stored: StoredState) -> None:
        """Starts the peer from the stored state. Resets the state machines first, because committed commands
        are applied again from the snapshot or the first entry: machines that kept their state after a failure
        of the disk would apply them twice."""
        for machine in self.machines.values():
            machine.reset()
        self.peer = Peer(self.settings, stored, self.random, self.runtime.now_us(), self.machines, self._log)
        self.peer.watch(self._changed)
        self.cause = ""
        self._drive()

    def _log(self, line: str) -> None:
        self.runtime.log(f"group {self.settings.name}: {line}")

    def _changed(self) -> None:
        for changed in list(self.watchers):
            changed()

    def _on_disk_failure(self, cause: str) -> None:
        """Stops taking part, since the member must not continue with state that its disk does not hold."""
        self.disk.stop()
        self._take_out(f"out of the vote: {cause}")
        self._log(self.cause)
        if not self.stopped:
            self.task = self.runtime.loop.create_task(self._start_later())

    async def _start_later(
        self, delay_s: float = DISK_RETRY_DELAY_S, listen: Callable[[], Awaitable[None]] | None = None
    ) -> None:  # fmt: skip
        """Retries until the disk can be opened and written, in a thread because the disk may hang. With
        `listen`, first retries until the address can be bound. Then starts the peer."""
        while True:
            await asyncio.sleep(delay_s)
            try:
                if listen is not None:
                    await listen()
                stored = await self.runtime.loop.run_in_executor(None, self.disk.start)
            except OSError:
                continue  # the previous process still has the address
            except BadStore as e:
                self.cause, listen = f"out of the vote: {e}", None
                continue
            if self.stopped:
                self.disk.stop()
                return
            self._log("took over the file and the address" if listen else "the disk can be written again")
            self._begin(stored)
            return

    def _take_out(self, cause: str) -> None:
        """Stops taking part, and ends all open operations: commands and reads that were sent as unknown, the
        others as refused."""
        peer, self.peer, self.cause = self.peer, None, cause
        if peer is not None:
            for seq in list(peer.pending.open):
                operation = peer.pending.open[seq]
                peer.pending.end(
                    seq, Outcome(Status.UNKNOWN if operation.sent else Status.REFUSED, cause=cause)
                )

    def stop(self) -> None:
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        self._take_out("the process is stopping")
        if self.transport is not None:
            self.transport.stop()
        self.disk.stop()

    def configure(self, members: dict[str, Address]) -> None:
        """Replaces the addresses of the members. Which members belong to the group is not decided here, but
        by the group's configuration."""
        self.settings = replace(self.settings, members=members)
        if self.peer is not None:
            self.peer.settings = self.settings

    # ---- messages

    def receive(self, data: bytes) -> bool:
        """Handles an encoded message. Returns False if it can't be decoded, or is not from a member of this
        group that the settings name."""
        envelope = wire.decode(data)
        if envelope is None:
            self.counts["unreadable"] += 1
            return False
        if envelope.group != self.settings.name or name_of(envelope.sender) not in self.settings.members:
            self.counts["strangers"] += 1
            return False
        peer = self.peer
        if isinstance(envelope.message, Hint):
            handler = self.hint_handlers.get(envelope.message.topic)
            self.counts["hints" if handler is not None else "hints_unknown"] += 1
            if handler is not None:
                handler(name_of(envelope.sender), envelope.message.data)
        elif peer is None:
            self.counts["while_out"] += 1
        elif envelope.to in (peer.me, f"{self.settings.member}."):
            peer.receive(envelope.sender, envelope.message, self.runtime.now_us())
            self.wake()
        else:
            self.counts["other_incarnation"] += 1
        return True

    def wake(self) -> None:
        """Schedules `_drive` after an input to the peer, once for all inputs of one turn of the loop."""
        if not self.drive_scheduled:
            self.drive_scheduled = True
            self.runtime.loop.call_soon(self._drive)

    def _drive(self) -> None:
        """Sends the peer's messages, starts its next write and schedules its next tick."""
        self.drive_scheduled = False
        peer = self.peer
        if peer is None or self.transport is None:
            return
        if peer.startup.needs_new_incarnation:
            self._take_out("the incarnation is abandoned")
            self.disk.replace_incarnation(self.random, self._begin)
            return
        write = peer.take_write()
        while write is not None and write.is_empty:
            peer.saved(self.runtime.now_us())
            write = peer.take_write()
        if write is not None:
            self.disk.write(write, lambda: self._saved(peer))
        for to, message in peer.messages():
            data = wire.encode_frame(self.settings.name, peer.me, to, message)
            if len(data) > self.settings.limits.most_message:
                self.counts["too_long"] += 1
                continue
            self.transport.send(name_of(to), data)
        if self.timer is not None:
            self.timer.cancel()
        # The timer is set 0.2 ms late so that it does not fire early, when a tick would have nothing to do.
        wait_s = max(0, peer.next_us() - self.runtime.now_us()) / 1e6
        self.timer = self.runtime.loop.call_later(wait_s + 0.0002, self._tick, peer)

    def _tick(self, peer: Peer) -> None:
        if peer is self.peer:
            now = self.runtime.now_us()
            if now > peer.next_us() + LATE_US:
                self.counts["late"] += 1
            peer.tick(now)
            self._drive()

    def _saved(self, peer: Peer) -> None:
        if peer is self.peer:
            peer.saved(self.runtime.now_us())
            self._drive()

    # ---- the interface `Group`

    @property
    def me(self) -> str:
        return self.peer.me if self.peer is not None else ""

    @property
    def is_leader(self) -> bool:
        return self.peer is not None and self.peer.is_leader

    def _submit(
        self, on_done: OutcomeCallback, submit: Callable[[Peer, OutcomeCallback, int], None]
    ) -> None:  # fmt: skip
        """Passes a request to the peer. The outcome is delivered in a later turn of the event loop: the
        callback may make another request, while the peer may still be handling the input that led to the
        outcome."""

        peer = self.peer

        def deliver(outcome: Outcome) -> None:
            if outcome.status is Status.COMMITTED and not outcome.value and self.peer is not peer:
                # This was a read. The peer was restarted after a failure of the disk meanwhile, and its state
                # may be older now than when the read ended.
                outcome = Outcome(Status.REFUSED, cause="the member was restarted")
            on_done(outcome)

        def deliver_later(outcome: Outcome) -> None:
            self.runtime.loop.call_soon(deliver, outcome)

        if peer is None:
            deliver_later(Outcome(Status.REFUSED, cause=self.cause))
        else:
            submit(peer, deliver_later, self.runtime.now_us())
            self.wake()

    def propose(self, machine: str, data: bytes, deadline_us: int, on_done: OutcomeCallback) -> None:
        self._submit(on_done, lambda peer, done, now: peer.propose(machine, data, deadline_us, done, now))

    def read(self, deadline_us: int, on_done: OutcomeCallback) -> None:
        self._submit(on_done, lambda peer, done, now: peer.read(deadline_us, done, now))

    def acquire_lease(self, lease: str, deadline_us: int, on_done: OutcomeCallback) -> None:
        self._submit(on_done, lambda peer, done, now: peer.acquire_lease(lease, deadline_us, done, now))

    def release_lease(self, lease: str, deadline_us: int, on_done: OutcomeCallback) -> None:
        self._submit(on_done, lambda peer, done, now: peer.release_lease(lease, deadline_us, done, now))

    def may_act(self) -> int:
        return self.peer.may_act(self.runtime.now_us()) if self.peer is not None else 0

    def lease_epoch(self, lease: str) -> int:
        return self.peer.lease_epoch(lease, self.runtime.now_us()) if self.peer is not None else 0

    def members(self) -> dict[str, Member]:
        return self.peer.machines.registry.tables.members if self.peer is not None else {}

    def watch(self, changed: Callable[[], None]) -> None:
        self.watchers.append(changed)

    def send_hint(self, name: str, topic: str, data: bytes) -> None:
        if self.transport is not None and self.peer is not None:
            hint = Hint(topic=topic, data=data)
            self.transport.send(name, wire.encode_frame(self.settings.name, self.peer.me, f"{name}.", hint))

    def on_hint(self, topic: str, handler: Callable[[str, bytes], None]) -> None:
        self.hint_handlers[topic] = handler

    async def leave(self, timeout_s: float) -> None:
        """Prepares a planned shutdown, for at most `timeout_s`: the member does not act any more, the other
        members learn that at once, and leadership is transferred."""
        peer, end = self.peer, self.runtime.loop.time() + timeout_s
        if peer is None:
            return
        done = asyncio.Event()
        peer.leave(self.runtime.now_us() + int(timeout_s * 1e6), lambda o: done.set(), self.runtime.now_us())
        self.wake()
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await done.wait()
        while peer is self.peer and peer.is_leader and self.runtime.loop.time() < end:
            if peer.transfer_leadership(self.runtime.now_us()):
                self.wake()
            await asyncio.sleep(0.01)

    # ---- metrics and status

    def metrics(self) -> str:
        """The metrics as lines of text. Times are reported only by `status`."""
        peer = self.peer
        values: dict[str, int] = {"out_of_the_vote": int(peer is None)}
        if peer is not None:
            states = Counter(m.state.value for m in self.members().values())
            values |= {f'members{{state="{s.value}"}}': states[s.value] for s in MemberState}
            values |= {"leads": int(peer.is_leader), "led": int(bool(peer.raft.leader)),
                      "term": peer.raft.term, "acts": int(bool(self.may_act())), "applied": peer.applied,
                      "open": len(peer.pending.open)}  # fmt: skip
        counts = self.counts + (self.transport.counts if self.transport is not None else Counter())
        values |= {f"{name}_count": n for name, n in sorted(counts.items())}
        return metric_lines("group", values)

    def status(self) -> dict[str, Any]:
        """The state of this member, and that of the group as far as this member knows it, as JSON types."""
        now, peer = self.runtime.now_us(), self.peer
        status: dict[str, Any] = {
            "group": self.settings.name, "member": self.settings.member, "cause": self.cause,
            "counts": dict(
                self.counts + (self.transport.counts if self.transport is not None else Counter())
            ),
            "at": time.time(),
        }  # fmt: skip
        if peer is None:
            return status
        raft, conf = peer.raft, peer.raft.log.conf
        leader_state, grants = raft.leader_state, peer.members.grants
        status |= {
            "id": peer.me, "leader": raft.leader, "role": raft.role.value, "term": raft.term,
            "commit": raft.commit, "applied": peer.applied, "last": raft.log.last_index,
            "stable": raft.log.durable_index, "first": raft.log.base_index,
            "log_bytes": raft.log.size_bytes, "snapshot": raft.log.snapshot.index,
            "may_vote": raft.may_vote, "votes": raft.is_voter, "epoch": peer.may_act(now),
            "session_ms": max(0, peer.session.until_us - now) // 1000, "elections": raft.elections,
            "open": len(peer.pending.open),
        }  # fmt: skip
        status["members"] = {
            name: {
                "id": m.id, "state": m.state.value, "epoch": m.epoch, "losses": m.losses,
                "part": "voter" if m.id in conf.voters else "observer" if m.id in conf.observers else "none",
                "match": raft.log.durable_index if m.id == peer.me else leader_state.progress[m.id].match
                if leader_state is not None and m.id in leader_state.progress else None,
                "suspected": grants is not None and m.id != peer.me and grants.is_suspected(m.id, now),
            }
            for name, m in sorted(self.members().items())
        }  # fmt: skip
        tables = peer.machines.registry.tables
        status["leases"] = {
            n: {"holder": h.holder, "epoch": h.epoch} for n, h in sorted(tables.leases.items())
        }
        status["barred"] = sorted(tables.barred)
        return status
