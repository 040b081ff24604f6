"""Builds the stages that an operator's file configures. Requests pass through them before the proxy."""

from __future__ import annotations

import asyncio
import os
import socket
import sqlite3
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from hashlib import blake2b
from pathlib import Path
from typing import TYPE_CHECKING

from magpiefront.caching.disk import Disk
from magpiefront.caching.stage import CachingStage
from magpiefront.caching.link_writes import WriteWatch
from magpiefront.interface import RequestClass
from magpiefront.maintenance.operator_commands import MaintenanceCommands
from magpiefront.maintenance.state_machine import MaintenanceStateMachine
from magpiefront.maintenance.rules import advance
from magpiefront.maintenance.service import STATE_MACHINE, MaintenanceService
from magpiefront.net.client_memory import ClientMemory
from magpiefront.net.runtime import StageRuntime
from magpiefront.gateway.inbound import GatewayListener
from magpiefront.gateway.members import MemberTransport, MemberLinkSettings
from magpiefront.gateway.store_identity import NO_STORE, StoreIdentity
from magpiefront.gateway.service import InvalidTls, Gateway, tls_contexts
from magpiefront.group.operator_commands import OperatorCommands
from magpiefront.group.service import GroupService
from magpiefront.net.config import BadConfig, Config
from magpiefront.net.front import Front
from magpiefront.net.passing import PassingProxy, forward_fields
from magpiefront.net.proxy import Proxy
from magpiefront.net.request import Stage
from magpiefront.net.guarded_attempt import GuardedAttempt
from magpiefront.operator.parsing import BadFile
from magpiefront.record.cross_site import CrossSiteRecordStage
from magpiefront.record.sqlite import BadStore, SqliteStore
from magpiefront.record.settings import GroupStoreSettings, SqliteSettings
from magpiefront.record.rows import boot_id
from magpiefront.record.stage import RecordStage
from magpiefront.operator.file import OperatorConfig, load_operator_config
from magpiefront.takeover.ownership import GroupOwnership
from magpiefront.takeover.report_commands import ReportCommands, work_handler
from magpiefront.takeover.handover import MAX_DRAIN_S, MemberHandover
from magpiefront.takeover.limits import short_window_warnings
from magpiefront.takeover.store import GroupStore


if TYPE_CHECKING:
    from magpiefront.record.postgres import PostgresStore

GROUP_LEAVE_TIMEOUT_S = 0.4  # how long a planned shutdown waits for the group to learn of it
# How long reports wait in a new process for the old one to give up its group membership.
MEMBER_HANDOVER_TIMEOUT_S = MAX_DRAIN_S + GROUP_LEAVE_TIMEOUT_S + 0.3


def load_and_check(path: Path) -> OperatorConfig:
    """Loads an operator's file and checks that its certificates can be loaded. Raises BadFile."""
    operator = load_operator_config(path)
    if operator.gateway is not None:
        try:
            tls_contexts(operator.gateway.tls)
        except InvalidTls as e:
            raise BadFile(f"{path}: [gateway.tls] {e}") from None
    if operator.group is not None:
        try:
            tls_contexts(operator.group.tls)
        except InvalidTls as e:
            raise BadFile(f"{path}: [group.tls] {e}") from None
    return operator


def check_takeover_windows(operator: OperatorConfig, classes: Iterable[RequestClass]) -> list[str]:
    """Returns a message for each class whose repeat window is too short for the reports of a lost proxy to be
    taken over. The list is empty if the file has no group or no store of record."""
    if operator.group is None or operator.record is None:
        return []
    record = operator.record
    return short_window_warnings(classes, record.classes, operator.group.settings.times, record.delivery_us)


def create_proxy(config: Config, loop: asyncio.AbstractEventLoop, operator: OperatorConfig) -> Proxy:
    """Creates the proxy with the features that the configured stages need. For caching it forwards all fields
    of a request. For the record and the gateway it tracks the execution of each attempt."""
    if operator.caching is not None:
        proxy: Proxy = PassingProxy(config, loop, operator.caching.plain_servers)
    else:
        proxy = Proxy(config, loop)
    if operator.record is not None or operator.gateway is not None:
        proxy.attempt_type = GuardedAttempt
    return proxy


# What a cache takes, as a multiple of its bound, which leaves out fragmentation (docs/operations/caching.md).
CACHE_OVERHEAD = 1.07
KEYED_MEMORY_SHARE = 0.25  # the most of the free memory that the kept answers to keyed requests may take


def unique_group_name(operator: OperatorConfig) -> str:
    """Returns a name of the group that no group of another site has. Site names differ in all gateways'
    tables, while two sites may give their groups one name."""
    return f"{operator.site}/{operator.group.settings.name}" if operator.group is not None else ""


class Composition:
    """The configured stages of one process. `first_stage` receives the requests from the front; it is
    `next_stage`, the proxy, if no stage is configured. `memory` is the account of this process's memory.
    `shut_down` begins the planned shutdown of this
    process."""

    def __init__(
        self, runtime: StageRuntime, next_stage: Stage, operator: OperatorConfig, seed: int,
        memory: ClientMemory, proxy: Proxy | None = None, shut_down: Callable[[], None] = lambda: None,
    ) -> None:  # fmt: skip
        self.runtime, self.operator = runtime, operator
        self.first_stage = next_stage
        self.gateway: Gateway | None = None
        self.cache: CachingStage | None = None
        watch: WriteWatch | None = None
        if operator.gateway is not None:
            if operator.caching is not None:
                next_stage = watch = WriteWatch(runtime, next_stage)
            self.gateway = Gateway(runtime, next_stage, operator.gateway, seed, memory, self._store_identity)
            self.first_stage = self.gateway.stage
        if operator.caching is not None:
            disk = Disk(runtime, operator.caching.disk) if operator.caching.disk is not None else None
            self.first_stage = self.cache = CachingStage(runtime, self.first_stage, operator.caching, disk)
            if proxy is not None:
                proxy.on_unsolicited_answer = self.cache.invalidate_target
            if watch is not None:
                watch.cache = self.cache.writes

        self.group: GroupService | None = None
        self.transport: MemberTransport | None = None
        self.operator_commands: OperatorCommands | None = None
        if operator.group is not None:
            self.group = GroupService(runtime, operator.group.settings)
            transport_settings = MemberLinkSettings(operator.site, operator.group.tls)
            self.operator_commands = OperatorCommands(self.group)
            self.transport = MemberTransport(
                runtime, self.group, transport_settings, self.operator_commands.handle, seed
            )
        self.member_handover: MemberHandover | None = None
        if self.group is not None:
            self.member_handover = MemberHandover(
                runtime,
                self.group,
                lambda: self.busy,
                self._accept_reports,
                self.leave,
                self._take_over_member,
            )
        self.maintenance: MaintenanceService | None = None
        if self.group is not None and self.operator_commands is not None:
            if operator.maintenance is not None and proxy is not None:
                self.maintenance = MaintenanceService(
                    proxy, self.group, operator.maintenance, seed, shut_down
                )
                self.operator_commands.extra_handlers["maintenance"] = MaintenanceCommands(
                    self.maintenance
                ).handle_request
            else:  # commands are applied all the same, so that the state is current if it is switched on
                self.group.register(STATE_MACHINE, MaintenanceStateMachine(self.group.members, advance))
        self.record: RecordStage | None = None
        self.store: SqliteStore | PostgresStore | GroupStore | None = None
        if operator.record is not None:
            settings, boot = operator.record, boot_id()
            if isinstance(settings.store, SqliteSettings):
                self.store = SqliteStore(runtime, settings.store, settings.most_waiting)
            elif isinstance(settings.store, GroupStoreSettings):
                assert self.group is not None and self.operator_commands is not None
                self.store = GroupStore(
                    runtime, self.group, settings.store, boot, name=unique_group_name(operator)
                )
                self.operator_commands.extra_handlers["record"] = ReportCommands(
                    self.store, self.group, runtime
                ).handle
            else:
                from magpiefront.record.postgres import PostgresStore  # imports asyncpg, which is optional

                self.store = PostgresStore(runtime, settings.store, settings.most_waiting, boot)
            ownership = GroupOwnership(self.group) if self.group is not None else None
            self.first_stage = self.record = RecordStage(
                runtime, self.first_stage, settings, self.store, boot, ownership=ownership
            )
            if self.group is not None and self.operator_commands is not None:
                self.operator_commands.extra_handlers["work"] = work_handler(self.record, self.group)
            if self.gateway is not None:
                self.gateway.listener.stage = CrossSiteRecordStage(self.record, self.gateway.keyed)
                self.record.site_of, self.record.own_site = self.gateway.stage.site_of, operator.site

    def _store_identity(self) -> StoreIdentity:
        """Returns the store of record as the gateways of other sites know it. Its name is a hash that tells
        them nothing else about it."""
        if self.store is None:
            return NO_STORE
        name = self.store.identity
        hashed = blake2b(name.encode(), digest_size=16).hexdigest() if name else ""
        return StoreIdentity(True, hashed)

    async def start(self, inherited_sockets: Mapping[str, socket.socket] | None = None) -> None:
        """Starts the stages. `inherited_sockets` are the listening sockets that an old process handed over,
        by name; connections are accepted on them only once `accept` is called. Raises OSError if the gateway
        can't listen, and BadConfig if the group can't listen or a file can't be used."""
        self._log_short_windows(self.operator)
        if inherited_sockets and self.group is not None:
            self._take_over_member()
        elif self.group is not None and self.transport is not None:
            try:
                await self.transport.listen()
            except OSError as e:
                raise BadConfig(f"{self.operator.path}: [group] listen: {e}") from None
            try:
                self.group.start(self.transport)
            except BadStore as e:
                raise BadConfig(f"{self.operator.path}: [group] path: {e}") from None
        if self.maintenance is not None:
            self.maintenance.start()
        if self.store is not None:
            try:
                if isinstance(self.store, SqliteStore | GroupStore):
                    self.store.start()
                else:
                    await self.store.start()
            except BadStore as e:
                raise BadConfig(f"{self.operator.path}: [record] {e}") from None
        if self.cache is not None and self.cache.disk is not None:
            try:
                self.cache.disk.start()
            except (OSError, sqlite3.Error) as e:
                raise BadConfig(f"{self.operator.path}: [caching.disk] path: {e}") from None
        if self.gateway is not None:
            await self.gateway.start((inherited_sockets or {}).get(self.gateway.listener.name))

    def _take_over_member(self) -> None:
        """Takes the group membership over from the other process of this proxy during an upgrade: a new
        process does so at its start, and the old one if the new one ends before the upgrade is complete."""
        assert self.group is not None and self.transport is not None
        self.group.start_after_handover(self.transport, self.transport.listen)
        if self.record is not None:
            self.record.await_ownership(MEMBER_HANDOVER_TIMEOUT_S)

    def _accept_reports(self, accepts: bool) -> None:
        """Sets whether this process takes new reports."""
        if self.record is not None:
            self.record.accepts_reports = accepts

    def set_old_process_check(self, old_process_runs: Callable[[], bool]) -> None:
        """Sets the function that returns whether the process that handed over to this one still runs."""
        if self.maintenance is not None:
            self.maintenance.predecessor_is_running = old_process_runs

    def _log_short_windows(self, operator: OperatorConfig) -> None:
        for line in check_takeover_windows(operator, self.runtime.classes.values()):
            self.runtime.log(f"takeover: {line}")

    async def accept(self) -> None:
        """Starts accepting connections on an inherited gateway socket. No effect if it accepts already."""
        if self.gateway is not None:
            await self.gateway.listener.accept()

    @property
    def handover_listeners(self) -> list[GatewayListener | MemberHandover]:
        """The listeners, besides the front's, that an upgrade hands over."""
        listeners: list[GatewayListener | MemberHandover] = (
            [self.gateway.listener] if self.gateway is not None else []
        )
        return listeners + ([self.member_handover] if self.member_handover is not None else [])

    def prepare_front(self, front: Front) -> None:
        """Adjusts the front to the configured stages. Has to be called before the front listens."""
        if self.operator.caching is not None:
            forward_fields(front, self.operator.caching.clients)

    def configure(self, operator: OperatorConfig) -> None:
        """Applies a reloaded operator's file. Logs the changes that need a restart."""
        self._log_short_windows(operator)
        if self.operator.record != operator.record:
            self.runtime.log("reload: changes of [record] need a restart")
        self._configure_group(operator)
        if (operator.maintenance is None) != (self.operator.maintenance is None):
            self.runtime.log("reload: switching [maintenance] on or off needs a restart")
        elif self.maintenance is not None and operator.maintenance is not None:
            self.maintenance.configure(operator.maintenance)
        before, after = self.operator.caching, operator.caching
        if (before is None) != (after is None):
            self.runtime.log("reload: switching [caching] on or off needs a restart")
        elif before is not None and after is not None and self.cache is not None:
            if (before.clients, before.disk) != (after.clients, after.disk):
                self.runtime.log("reload: changes of [caching.clients], [caching.disk], plain_servers or "
                               "purge_from need a restart")  # fmt: skip
            self.cache.configure(replace(after, plain_servers=before.plain_servers))
        if (operator.gateway is None) != (self.gateway is None):
            self.runtime.log("reload: switching [gateway] on or off needs a restart")
        elif self.gateway is not None and operator.gateway is not None:
            self.gateway.configure(operator.gateway)
        self.operator = operator

    def _configure_group(self, operator: OperatorConfig) -> None:
        before, after = self.operator.group, operator.group
        if before is None or after is None or self.group is None:
            if (before is None) != (after is None):
                self.runtime.log("reload: switching [group] on or off needs a restart")
        elif before != after:
            if replace(after.settings, members=before.settings.members) != before.settings or (
                after.tls != before.tls
            ):  # fmt: skip
                self.runtime.log("reload: changes of [group], except for its members, need a restart")
            self.group.configure(after.settings.members)

    @property
    def busy(self) -> bool:
        """Whether reports or requests between sites are in progress."""
        recording = self.record is not None and bool(self.record.journal.entries)
        return recording or (self.gateway is not None and self.gateway.busy)

    def begin_recovery(self) -> None:
        """Starts the search for reports that a crash left open. Has to be called once the nodes are known."""
        if self.record is not None:
            self.record.begin_polling()

    def sweep(self) -> None:
        """Fails long answers of the gateway that have stalled. Has to be called periodically."""
        if self.gateway is not None:
            self.gateway.sweep()

    def reserve_memory(self, free_bytes: int) -> int:
        """Returns how much memory is for what this process stores, of `free_bytes` that it has left. The
        answers to keyed requests get no more than KEYED_MEMORY_SHARE of that, as far as the file allows."""
        reserved = 0
        if self.operator.caching is not None:
            reserved += int(self.operator.caching.most_bytes * CACHE_OVERHEAD)
        if self.gateway is not None:
            reserved += self.gateway.keyed.limit_memory(max(0, int(free_bytes * KEYED_MEMORY_SHARE)))
        return reserved

    def shed_memory(self) -> None:
        """Refuses requests from other sites that are not complete, to free memory at once."""
        if self.gateway is not None:
            self.gateway.listener.shed_memory()

    def metrics_text(self) -> str:
        """Returns the metric lines of the stages for the admin address. Used if there is a group."""
        metrics = self.group.metrics() if self.group is not None else ""
        metrics += self.maintenance.metrics_text() if self.maintenance is not None else ""
        return metrics + (self.record.metrics() if self.record is not None else "")

    async def leave(self) -> None:
        """Ends the work of this process for a planned shutdown: answers whoever still waits for a report, and
        leaves the group, whose other members learn at once that they may take over what did not end."""
        if self.record is not None:
            self.record.release_all()
        if self.group is not None:
            await self.group.leave(GROUP_LEAVE_TIMEOUT_S)

    def drain(self) -> None:
        """Tells the gateways of other sites to send no new requests here."""
        if self.gateway is not None:
            self.gateway.drain()

    def stop(self) -> None:
        if self.maintenance is not None:
            self.maintenance.stop()
        if self.group is not None:
            self.group.stop()
        if self.gateway is not None:
            self.gateway.stop()
        if self.cache is not None and self.cache.disk is not None:
            self.cache.disk.stop()
        if self.record is not None:
            self.record.stop()
        if self.store is not None:
            self.store.stop()


def expand_path(text: str) -> Path:
    """Returns a path of the command line with `~` expanded."""
    return Path(os.path.expanduser(text))
