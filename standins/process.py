"""A process of the program that a drill starts, suspends, kills and starts again."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import sys
from pathlib import Path

from standins.world import ROOT, free_port, until_ready

# Logged by the old process of an upgrade once the next process has taken over.
HANDOVER_MESSAGE = "upgrade: handed over to the next process"


class Process:
    """A process of the program. Its configuration, operator's file and log are in `folder` and named after
    the process.

    `operator_file`: the name of the operator's file, if several processes share one. `tree`: the checkout
    whose program is started.
    """

    def __init__(self, name: str, folder: Path, operator_file: str | None = None, tree: Path = ROOT) -> None:
        self.name, self.folder, self.port, self.tree = name, folder, free_port(), tree
        self.operator_file = operator_file or f"{name}.toml"
        self.process: asyncio.subprocess.Process | None = None
        self.program = ["-m", "magpiefront"]
        self.starting = False  # `spawn` has not returned yet
        self.env: dict[str, str] = {}
        self.predecessors: list[asyncio.subprocess.Process] = []  # the old processes of upgrades

    @property
    def config(self) -> Path:
        return self.folder / f"{self.name}.json"

    @property
    def log(self) -> Path:
        return self.folder / f"{self.name}.log"

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def spawn(self) -> None:
        """Starts the process and does not wait until it is ready. Does nothing if it is running or being
        started, because two faults of a plan may both start it."""
        if self.is_running or self.starting:
            return
        self.starting = True
        try:
            await self._spawn()
        finally:
            self.starting = False

    async def _spawn(self) -> None:
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, *self.program, "--operator", str(self.folder / self.operator_file),
                cwd=self.tree, env={**os.environ, "LB_CONFIG": str(self.config), **self.env}, stderr=log,
            )  # fmt: skip

    async def start(self) -> None:
        """Starts the process and waits until it accepts clients. Raises RunFailed if it does not."""
        await self.spawn()
        assert self.process is not None
        await until_ready("the gateway", self.port, self.process, self.log)

    async def upgrade(self, overlap_s: float) -> None:
        """Starts a process that takes over from the running one (`LB_ADMIN`). Sends SIGTERM to the old
        process `overlap_s` seconds after it has logged the handover. If one of the two ends before the
        handover, the other one remains. Does nothing if no process is running or one is being started."""
        old = self.process
        if old is None or not self.is_running or self.starting:
            return
        earlier_handovers = self.log.read_text().count(HANDOVER_MESSAGE)
        self.env["LB_ADMIN"] = f"127.0.0.1:{free_port()}"  # each process has an address of its own
        await self._spawn()
        new = self.process
        assert new is not None
        self.predecessors.append(old)
        while self.log.read_text().count(HANDOVER_MESSAGE) == earlier_handovers and old.returncode is None:
            if new.returncode is not None:
                if self.process is new:
                    self.process = self.predecessors.pop()
                return
            await asyncio.sleep(0.02)
        await asyncio.sleep(overlap_s)
        if old.returncode is None:
            old.terminate()
        await old.wait()

    async def kill(self) -> None:
        """Sends SIGKILL and waits until the process has ended."""
        assert self.process is not None
        if self.is_running:
            self.process.send_signal(signal.SIGKILL)
        await self.process.wait()

    def suspend(self) -> None:
        """Sends SIGSTOP."""
        if self.is_running:
            assert self.process is not None
            self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Sends SIGCONT."""
        if self.is_running:
            assert self.process is not None
            self.process.send_signal(signal.SIGCONT)

    def limit_file_size(self, limit: int | None) -> None:
        """Makes writes beyond the first `limit` bytes of any file fail, as on a full disk. None removes the
        limit."""
        if self.is_running:
            assert self.process is not None
            _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
            soft = hard if limit is None else limit
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (soft, hard))

    async def terminate(self) -> None:
        """Sends SIGTERM, as for a planned shutdown, and waits until the process has ended. A suspended
        process is resumed first."""
        if self.is_running:
            assert self.process is not None
            self.resume()
            self.process.terminate()
            await self.process.wait()
