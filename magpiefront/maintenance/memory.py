"""The file of what a proxy has to leave out: whole or not at all, and there before anybody counts on it."""

from __future__ import annotations

import os
from hashlib import blake2b
from pathlib import Path

import msgspec

from magpiefront.maintenance.view import Memory

SUM = 16  # bytes in front


def load(path: Path) -> tuple[Memory | None, str]:
    """What it holds, and what is wrong with it; None where nothing is known for certain."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None, ""
    except OSError as e:
        return None, str(e)
    if blake2b(data[SUM:], digest_size=SUM).digest() != data[:SUM]:
        return None, f"{path}: is not whole"
    try:
        return msgspec.msgpack.decode(data[SUM:], type=Memory), ""
    except msgspec.MsgspecError as e:
        return None, f"{path}: {e}"


def save(path: Path, memory: Memory) -> None:
    """On the disk when it returns. Raises OSError: then the one before is still there."""
    data = msgspec.msgpack.encode(memory)
    new = path.with_name(f"{path.name}.new")
    with open(new, "wb") as f:
        f.write(blake2b(data, digest_size=SUM).digest() + data)
        f.flush()
        os.fsync(f.fileno())
    new.replace(path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
