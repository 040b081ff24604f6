"""The stages that an operator's file asks for, in their order, before the host."""

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
from magpiefront.caching.watch import WriteWatch
from magpiefront.interface import RequestClass
from magpiefront.maintenance.desk import MaintenanceDesk
from magpiefront.maintenance.facts import Board
from magpiefront.maintenance.rules import advance
from magpiefront.maintenance.service import MACHINE, MaintenanceService
from magpiefront.net.house import Host
from magpiefront.gateway.inbound import Gate
from magpiefront.gateway.members import MemberWay, WaySettings
from magpiefront.gateway.service import BadTls, Gateway, contexts
from magpiefront.group.desk import Desk
from magpiefront.group.service import GroupService
from magpiefront.net.config import BadConfig, Config
from magpiefront.net.front import Front
from magpiefront.net.passing import PassingProxy, prepare
from magpiefront.net.proxy import Proxy
from magpiefront.net.request import Stage
from magpiefront.net.traced import TracedAttempt
from magpiefront.operator.fields import BadFile
from magpiefront.record.arrivals import Arrivals
from magpiefront.record.sqlite import BadStore, SqliteStore
from magpiefront.record.settings import GroupStoreSettings, SqliteSettings
from magpiefront.record.rows import boot_id
from magpiefront.record.stage import RecordStage
from magpiefront.operator.file import Operator, load
from magpiefront.takeover.acting import GroupActing
from magpiefront.takeover.desk import RecordDesk, work
from magpiefront.takeover.handing import Handing
from magpiefront.takeover.limits import too_short
from magpiefront.takeover.store import GroupStore


if TYPE_CHECKING:
    from magpiefront.record.postgres import PostgresStore

LEAVE_S = 0.4  # of a planned end, for the group to hear of it
EXPECT_S = 2.5  # so long reports wait in a process that follows another one, for its member's part

def check(path: Path) -> Operator:
    """The file, and what it names on this machine. Raises BadFile."""
    operator = load(path)
    if operator.gateway is not None:
        try:
            contexts(operator.gateway.tls)
        except BadTls as e:
            raise BadFile(f"{path}: [gateway.tls] {e}") from None
    if operator.group is not None:
        try:
            contexts(operator.group.tls)
        except BadTls as e:
            raise BadFile(f"{path}: [group.tls] {e}") from None
    return operator


def uncovered(operator: Operator, classes: Iterable[RequestClass]) -> list[str]:
    """What these classes lack for a lost proxy's reports to be taken over; none where nothing is."""
    if operator.group is None or operator.record is None:
        return []
    record = operator.record
    return too_short(classes, record.classes, operator.group.settings.times, record.delivery_us)


def host(config: Config, loop: asyncio.AbstractEventLoop, operator: Operator) -> Proxy:
    """One that passes on, and remembers, what the stages before it need."""
    if operator.caching is not None:
        proxy: Proxy = PassingProxy(config, loop, operator.caching.plain_servers)
    else:
        proxy = Proxy(config, loop)
    if operator.record is not None or operator.gateway is not None:
        proxy.attempt_type = TracedAttempt
    return proxy


class Composition:
    """`first` is what fronts hand their requests to: the host itself, where nothing is asked for. `end` is
    this process's planned end."""

    def __init__(
        self, house: Host, host: Stage, operator: Operator, seed: int, proxy: Proxy | None = None,
        end: Callable[[], None] = lambda: None,
    ) -> None:  # fmt: skip
        self.house, self.operator = house, operator
        self.first = host
        self.gateway: Gateway | None = None
        self.cache: CachingStage | None = None
        watch: WriteWatch | None = None
        if operator.gateway is not None:
            if operator.caching is not None:
                host = watch = WriteWatch(house, host)
            self.gateway = Gateway(house, host, operator.gateway, seed, self._shared)
            self.first = self.gateway.stage
        if operator.caching is not None:
            disk = Disk(house, operator.caching.disk) if operator.caching.disk is not None else None
            self.first = self.cache = CachingStage(house, self.first, operator.caching, disk)
            if proxy is not None:
                proxy.on_doubt = self.cache.doubted
            if watch is not None:
                watch.cache = self.cache.writes

        self.group: GroupService | None = None
        self.way: MemberWay | None = None
        self.desk: Desk | None = None
        if operator.group is not None:
            self.group = GroupService(house, operator.group.settings)
            ways = WaySettings(operator.site, operator.group.tls)
            self.desk = Desk(self.group)
            self.way = MemberWay(house, self.group, ways, self.desk.asked, seed)
        self.handing: Handing | None = None
        if self.group is not None:
            self.handing = Handing(house, self.group, lambda: self.busy, self.leave, self._succeed)
        self.maintenance: MaintenanceService | None = None
        if self.group is not None and self.desk is not None:
            if operator.maintenance is not None and proxy is not None:
                self.maintenance = MaintenanceService(proxy, self.group, operator.maintenance, seed, end)
                self.desk.more["maintenance"] = MaintenanceDesk(self.maintenance).asked
            else:  # what others agree on is agreed on here too, for the day on which it is switched on
                self.group.register(MACHINE, Board(self.group.members, advance))
        self.record: RecordStage | None = None
        self.store: SqliteStore | PostgresStore | GroupStore | None = None
        if operator.record is not None:
            settings, boot = operator.record, boot_id()
            if isinstance(settings.store, SqliteSettings):
                self.store = SqliteStore(house, settings.store, settings.most_waiting)
            elif isinstance(settings.store, GroupStoreSettings):
                assert self.group is not None and self.desk is not None
                name = operator.group.settings.name if operator.group is not None else ""
                self.store = GroupStore(house, self.group, settings.store, boot, name=name)
                self.desk.more["record"] = RecordDesk(self.store, self.group, house).asked
            else:
                from magpiefront.record.postgres import PostgresStore  # the library only where it is used

                self.store = PostgresStore(house, settings.store, settings.most_waiting, boot)
            acting = GroupActing(self.group) if self.group is not None else None
            self.first = self.record = RecordStage(
                house, self.first, settings, self.store, boot, acting=acting
            )
            if self.group is not None and self.desk is not None:
                self.desk.more["work"] = work(self.record, self.group)
            if self.gateway is not None:
                self.gateway.gate.stage = Arrivals(self.record, self.gateway.keyed)

    def _shared(self) -> str:
        """Names the store of record to other sites' gateways, and tells them no more than that."""
        identity = self.store.identity if self.store is not None else ""
        return blake2b(identity.encode(), digest_size=16).hexdigest() if identity else ""

    async def start(self, handed: Mapping[str, socket.socket] | None = None) -> None:
        """With the listening sockets that were handed over, by name; on these nothing is accepted before
        `accept`. Raises OSError where the gateway can't listen, BadConfig where a file can't be had."""
        self._tell_uncovered(self.operator)
        if handed and self.group is not None:
            self._succeed()
        elif self.group is not None and self.way is not None:
            try:
                await self.way.listen()
            except OSError as e:
                raise BadConfig(f"{self.operator.path}: [group] listen: {e}") from None
            try:
                self.group.start(self.way)
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
            await self.gateway.start((handed or {}).get(self.gateway.gate.name))

    def _succeed(self) -> None:
        """The member's part goes over from another process of it, or back."""
        assert self.group is not None and self.way is not None
        self.group.succeed(self.way, self.way.listen)
        if self.record is not None:
            self.record.expect(EXPECT_S)

    def follows(self, before: Callable[[], bool]) -> None:
        """`before`: does the process that handed over go on?"""
        if self.maintenance is not None:
            self.maintenance.before = before

    def _tell_uncovered(self, operator: Operator) -> None:
        for line in uncovered(operator, self.house.classes.values()):
            self.house.log(f"takeover: {line}")

    async def accept(self) -> None:
        if self.gateway is not None:
            await self.gateway.gate.accept()

    @property
    def listening(self) -> list[Gate | Handing]:
        """What else can be handed over."""
        found: list[Gate | Handing] = [self.gateway.gate] if self.gateway is not None else []
        return found + ([self.handing] if self.handing is not None else [])

    def prepare(self, front: Front) -> None:
        """Before the front listens."""
        if self.operator.caching is not None:
            prepare(front, self.operator.caching.clients)

    def configure(self, operator: Operator) -> None:
        self._tell_uncovered(operator)
        if self.operator.record != operator.record:
            self.house.log("reload: another [record] needs a restart")
        self._configure_group(operator)
        if (operator.maintenance is None) != (self.operator.maintenance is None):
            self.house.log("reload: to begin or end [maintenance] needs a restart")
        elif self.maintenance is not None and operator.maintenance is not None:
            self.maintenance.configure(operator.maintenance)
        before, after = self.operator.caching, operator.caching
        if (before is None) != (after is None):
            self.house.log("reload: to begin or end caching needs a restart")
        elif before is not None and after is not None and self.cache is not None:
            if (before.clients, before.disk) != (after.clients, after.disk):
                self.house.log("reload: another [caching.clients], [caching.disk], plain_servers or "
                               "purge_from needs a restart")  # fmt: skip
            self.cache.configure(replace(after, plain_servers=before.plain_servers))
        if (operator.gateway is None) != (self.gateway is None):
            self.house.log("reload: to begin or end the gateway needs a restart")
        elif self.gateway is not None and operator.gateway is not None:
            self.gateway.configure(operator.gateway)
        self.operator = operator

    def _configure_group(self, operator: Operator) -> None:
        before, after = self.operator.group, operator.group
        if before is None or after is None or self.group is None:
            if (before is None) != (after is None):
                self.house.log("reload: to begin or end [group] needs a restart")
        elif before != after:
            if replace(after.settings, members=before.settings.members) != before.settings or (
                after.tls != before.tls
            ):  # fmt: skip
                self.house.log("reload: of [group], all but its members needs a restart")
            self.group.configure(after.settings.members)

    @property
    def busy(self) -> bool:
        recording = self.record is not None and bool(self.record.journal.entries)
        return recording or (self.gateway is not None and self.gateway.busy)

    def begin(self) -> None:
        """Once the nodes are known: what a crash left is looked for."""
        if self.record is not None:
            self.record.begin_looking()

    def sweep(self) -> None:
        if self.gateway is not None:
            self.gateway.sweep()

    def figures(self) -> str:
        """More lines for the second address, where there is a group."""
        group = self.group.figures() if self.group is not None else ""
        group += self.maintenance.figures() if self.maintenance is not None else ""
        return group + (self.record.figures() if self.record is not None else "")

    async def leave(self) -> None:
        """A planned end: what would not end in time is given to others, and these know at once that they may
        take it."""
        if self.group is None:
            return
        if self.record is not None:
            self.record.part()
        await self.group.leave(LEAVE_S)

    def drain(self) -> None:
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


def path_of(text: str) -> Path:
    return Path(os.path.expanduser(text))
