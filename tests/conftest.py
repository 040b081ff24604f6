"""The same examples each time, and where tests keep their files: in memory, where the machine has room there.

Guards against a check whose time hangs on the disk: where one sync takes 70 ms, thousands of small copies and
commits took over twenty minutes. What is durable is judged by kills of processes: memory does for these.
"""

from __future__ import annotations

import os
import shutil
import tempfile
from pathlib import Path

import pytest
from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=150, database=None)
settings.load_profile("fixed")

MEMORY = Path("/dev/shm")
ROOM = 2 << 30


def _room() -> bool:
    return os.access(MEMORY, os.W_OK) and shutil.disk_usage(MEMORY).free > ROOM


def pytest_configure(config: pytest.Config) -> None:
    if config.option.basetemp is None and not os.environ.get("TMPDIR") and _room():
        folder = tempfile.mkdtemp(prefix="lineshift-", dir=MEMORY)
        os.environ["TMPDIR"] = tempfile.tempdir = folder  # of processes that tests start, too
        config.option.basetemp = Path(folder) / "pytest"
        config.add_cleanup(lambda: shutil.rmtree(folder, ignore_errors=True))
