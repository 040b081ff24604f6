"""Stores what a proxy has to exclude in a file with a checksum, which is replaced atomically."""

from __future__ import annotations

import os
from hashlib import blake2b
from pathlib import Path

import msgspec

from magpiefront.maintenance.exclusions import SavedExclusions

CHECKSUM_BYTES = 16  # at the start of the file


def load(path: Path) -> tuple[SavedExclusions | None, str]:
    """Returns what the file holds, and a text that says what is wrong with it. The first is None if the file
    is missing, unreadable or damaged; the second is empty if the file is missing or sound."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None, ""
    except OSError as e:
        return None, str(e)
    if blake2b(data[CHECKSUM_BYTES:], digest_size=CHECKSUM_BYTES).digest() != data[:CHECKSUM_BYTES]:
        return None, f"{path}: is damaged: wrong checksum"
    try:
        return msgspec.msgpack.decode(data[CHECKSUM_BYTES:], type=SavedExclusions), ""
    except msgspec.MsgspecError as e:
        return None, f"{path}: {e}"


def save(path: Path, exclusions: SavedExclusions) -> None:
    """Replaces the file; it is durable on return. Raises OSError; the earlier file then remains."""
    data = msgspec.msgpack.encode(exclusions)
    new = path.with_name(f"{path.name}.new")
    with open(new, "wb") as f:
        f.write(blake2b(data, digest_size=CHECKSUM_BYTES).digest() + data)
        f.flush()
        os.fsync(f.fileno())
    new.replace(path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
