"""Runs a proxy process of this checkout, with caching enabled, in front of the scripted archive."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path

from standins.conformance.archive import ScriptedArchive
from standins.discovery import Discovery
from standins.world import CLASSES, ROOT, free_port, until_ready

OPERATOR_TOML = '[site]\nname = "west"\n[caching]\nplain_servers = true\n'
SETTINGS = {
    "balancers": 1, "grades": list(CLASSES), "rules": {"coldFrom": 0.3, "coldUs": 8_000_000},
    "permissions": {
        "maxAttempts": 1, "secondCopies": False, "mayCancel": True, "probes": False, "retryAfter": True,
        "maxRetryAfterUs": 500_000, "connectTimeoutUs": 1_000_000, "connIdleUs": 60_000_000,
    },
}  # fmt: skip
# Discovery lists the archive's one address as this many instances: error responses in some cases then make
# the proxy avoid a few instances, and not the whole archive.
INSTANCE_COUNT = 16


class ProxyProcess:
    """An async context manager that starts the proxy and its discovery, and stops them at its end.

    While it is entered, the proxy accepts clients on `port`. Entering it raises RunFailed if the proxy ends
    or does not become ready.
    """

    def __init__(self, archive: ScriptedArchive, folder: Path, operator_toml: str = OPERATOR_TOML) -> None:
        self.archive, self.folder, self.operator_toml = archive, folder, operator_toml
        self.port = 0
        self.discovery = Discovery()
        self.process: asyncio.subprocess.Process | None = None

    async def __aenter__(self) -> ProxyProcess:
        await self.discovery.start()
        address = f"127.0.0.1:{self.archive.port}"
        self.discovery.set(
            [
                {"instanceId": f"archive-{n}", "hostPort": address, "lifecycle": "Ready"}
                for n in range(INSTANCE_COUNT)
            ]
        )
        self.port = free_port()
        config = {
            "name": "own", "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": "1", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": SETTINGS,
        }  # fmt: skip
        (self.folder / "config.json").write_text(json.dumps(config))
        (self.folder / "operator.toml").write_text(self.operator_toml)
        env = {**os.environ, "LB_CONFIG": str(self.folder / "config.json")}
        with open(self.folder / "log", "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "magpiefront", "--operator", str(self.folder / "operator.toml"),
                cwd=ROOT, env=env, stderr=log,
            )  # fmt: skip
        try:
            await until_ready("the proxy", self.port, self.process, self.folder / "log")
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.terminate()
            await self.process.wait()
        self.discovery.stop()
