"""Tables of the operator's file as typed values, with errors that name file, table and key."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from magpiefront.net.config import address

T = TypeVar("T")
DURATION = re.compile(r"(\d+(?:\.\d+)?)(us|ms|s|m)")
SIZE = re.compile(r"(\d+)(B|KiB|MiB|GiB)")
US = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000}
BYTES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
AT = re.compile(r" - at `(?:key in )?`?\$([^`]*)`")


class BadFile(Exception):
    """An operator's file that can't be used; its text is one line that names file, table and key."""


class Duration:
    """Text with a unit, as microseconds."""

    def __init__(self, us: int) -> None:
        self.us = us

    @classmethod
    def read(cls, given: Any) -> Duration:
        match = DURATION.fullmatch(given) if isinstance(given, str) else None
        if match is None:
            raise ValueError(f'{given!r} is no duration; write it with its unit, like "250ms" or "2s"')
        return cls(int(float(match[1]) * US[match[2]]))


class Size:
    """Text with a unit, as bytes."""

    def __init__(self, bytes_: int) -> None:
        self.bytes = bytes_

    @classmethod
    def read(cls, given: Any) -> Size:
        match = SIZE.fullmatch(given) if isinstance(given, str) else None
        if match is None:
            raise ValueError(f'{given!r} is no size; write it with its unit, like "64KiB" or "16MiB"')
        return cls(int(match[1]) * BYTES[match[2]])


class Place:
    """A numeric address and a port."""

    def __init__(self, host: str, port: int) -> None:
        self.address = host, port

    @classmethod
    def read(cls, given: Any) -> Place:
        try:
            return cls(*address(given))
        except ValueError:
            raise ValueError(
                f'{given!r} is no address; write numbers and a port, like "10.8.0.2:7443"'
            ) from None


def _hook(kind: type, given: Any) -> Any:
    if kind is Duration:
        return Duration.read(given)
    if kind is Size:
        return Size.read(given)
    if kind is Place:
        return Place.read(given)
    raise NotImplementedError


def parse(path: Path) -> dict[str, Any]:
    """The file's tables. Raises BadFile."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as e:
        raise BadFile(f"{path}: {e.strerror}") from None
    except UnicodeDecodeError:
        raise BadFile(f"{path}: not UTF-8 text") from None
    except tomllib.TOMLDecodeError as e:
        raise BadFile(f"{path}: {' '.join(str(e).split())}") from None


def read(path: Path, table: str, given: Any, kind: type[T]) -> T:
    """One table as a `kind`. Raises BadFile."""
    if not isinstance(given, dict):
        raise BadFile(f"{path}: [{table}]: is no table")
    try:
        return msgspec.convert(given, kind, dec_hook=_hook)
    except msgspec.ValidationError as e:
        raise BadFile(f"{path}: {worded(table, str(e))}") from None


def worded(table: str, text: str) -> str:
    """What the library found, with table and key put first."""
    match = AT.search(text)
    inner = match[1].strip(".").split(".") if match and match[1] else []
    what = AT.sub("", text)
    field = re.match(r"Object (?:contains unknown|missing required) field `([^`]+)`", what)
    if field is not None:
        table = ".".join([table, *inner])
        word = "unknown key" if "unknown" in what else "is missing"
        return f"[{table}] {field[1]}: {word}"
    if not inner:
        return f"[{table}]: {what}"
    return f"[{'.'.join([table, *inner[:-1]])}] {inner[-1]}: {what[0].lower() + what[1:]}"
