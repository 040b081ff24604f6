"""The stages that an operator's file asks for, in their order, before the host."""

from __future__ import annotations

import asyncio
import os
import socket
import sqlite3
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from magpiefront.caching.disk import Disk
from magpiefront.caching.stage import CachingStage
from magpiefront.caching.watch import WriteWatch
from magpiefront.net.house import Host
from magpiefront.gateway.inbound import Gate
from magpiefront.gateway.members import MemberWay, WaySettings
from magpiefront.gateway.service import BadTls, Gateway, contexts
from magpiefront.group.desk import Desk
from magpiefront.group.service import GroupService
from magpiefront.net.config import BadConfig, Config
from magpiefront.net.downstream import Front
from magpiefront.net.passing import PassingProxy, prepare
from magpiefront.net.proxy import Proxy
from magpiefront.net.request import Stage
from magpiefront.net.traced import TracedAttempt
from magpiefront.operator.fields import BadFile
from magpiefront.record.sqlite import BadStore, SqliteStore
from magpiefront.record.settings import GroupStoreSettings, SqliteSettings
from magpiefront.record.stage import RecordStage, boot_id
from magpiefront.operator.file import Operator, load
from magpiefront.takeover.acting import GroupActing
from magpiefront.takeover.desk import RecordDesk, work
from magpiefront.takeover.store import GroupStore


if TYPE_CHECKING:
    from magpiefront.record.postgres import PostgresStore

LEAVE_S = 0.4  # of a planned end, for the group to hear of it

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
    """`first` is what fronts hand their requests to: the host itself, where nothing is asked for."""

    def __init__(self, house: Host, host: Stage, operator: Operator, seed: int) -> None:
        self.house, self.operator = house, operator
        self.first = host
        self.gateway: Gateway | None = None
        self.cache: CachingStage | None = None
        watch: WriteWatch | None = None
        if operator.gateway is not None:
            if operator.caching is not None:
                host = watch = WriteWatch(house, host)
            self.gateway = Gateway(house, host, operator.gateway, seed)
            self.first = self.gateway.stage
        if operator.caching is not None:
            disk = Disk(house, operator.caching.disk) if operator.caching.disk is not None else None
            self.first = self.cache = CachingStage(house, self.first, operator.caching, disk)
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
        self.record: RecordStage | None = None
        self.store: SqliteStore | PostgresStore | GroupStore | None = None
        if operator.record is not None:
            settings, boot = operator.record, boot_id()
            if isinstance(settings.store, SqliteSettings):
                self.store = SqliteStore(house, settings.store, settings.most_waiting)
            elif isinstance(settings.store, GroupStoreSettings):
                assert self.group is not None and self.desk is not None
                self.store = GroupStore(house, self.group, settings.store, boot)
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

    async def start(self, handed: Mapping[str, socket.socket] | None = None) -> None:
        """With the listening sockets that were handed over, by name; on these nothing is accepted before
        `accept`. Raises OSError where the gateway can't listen, BadConfig where a file can't be had."""
        if self.group is not None and self.way is not None:
            try:
                await self.way.listen()
            except OSError as e:
                raise BadConfig(f"{self.operator.path}: [group] listen: {e}") from None
            try:
                self.group.start(self.way)
            except BadStore as e:
                raise BadConfig(f"{self.operator.path}: [group] path: {e}") from None
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

    async def accept(self) -> None:
        if self.gateway is not None:
            await self.gateway.gate.accept()

    @property
    def listening(self) -> list[Gate]:
        """What else listens, and can be handed over."""
        return [self.gateway.gate] if self.gateway is not None else []

    def prepare(self, front: Front) -> None:
        """Before the front listens."""
        if self.operator.caching is not None:
            prepare(front, self.operator.caching.clients)

    def configure(self, operator: Operator) -> None:
        if self.operator.record != operator.record:
            self.house.log("reload: another [record] needs a restart")
        self._configure_group(operator)
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
