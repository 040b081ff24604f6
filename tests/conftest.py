"""Common settings of the tests: fixed examples of hypothesis, and temporary files in memory if there is room.

On a disk, the duration of the tests depends on the disk's speed: with 70 ms for one sync, thousands of small
copies and commits took over twenty minutes. Durability is tested by killing processes, for which files in
memory are sufficient.
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

MEMORY_DIRECTORY = Path("/dev/shm")
MIN_FREE_BYTES = 2 << 30


def _memory_has_room() -> bool:
    return os.access(MEMORY_DIRECTORY, os.W_OK) and shutil.disk_usage(MEMORY_DIRECTORY).free > MIN_FREE_BYTES


def pytest_configure(config: pytest.Config) -> None:
    if config.option.basetemp is None and not os.environ.get("TMPDIR") and _memory_has_room():
        directory = tempfile.mkdtemp(prefix="lineshift-", dir=MEMORY_DIRECTORY)
        os.environ["TMPDIR"] = tempfile.tempdir = directory  # also for processes that tests start
        config.option.basetemp = Path(directory) / "pytest"
        config.add_cleanup(lambda: shutil.rmtree(directory, ignore_errors=True))
