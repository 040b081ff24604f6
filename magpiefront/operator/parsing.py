"""Parses tables of the operator's file into typed values. Errors name the file, the table and the key."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from magpiefront.net.config import parse_address

T = TypeVar("T")
DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(us|ms|s|m)")
SIZE_PATTERN = re.compile(r"(\d+)(B|KiB|MiB|GiB)")
US_PER_UNIT = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000}
BYTES_PER_UNIT = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
# The end of an error text of msgspec, which says where in the value the error is.
ERROR_PATH_PATTERN = re.compile(r" - at `(?:key in )?`?\$([^`]*)`")


class BadFile(Exception):
    """Raised for an unusable operator's file or plan file. The message is one line that names the file, the
    table and the key."""


class Duration:
    """A duration, which the file gives as text with a unit. `us` is its length in microseconds."""

    def __init__(self, us: int) -> None:
        self.us = us

    @classmethod
    def parse(cls, text: Any) -> Duration:
        match = DURATION_PATTERN.fullmatch(text) if isinstance(text, str) else None
        if match is None:
            raise ValueError(f'{text!r} is not a duration; write a number and a unit, like "250ms" or "2s"')
        return cls(int(float(match[1]) * US_PER_UNIT[match[2]]))


class Size:
    """A size, which the file gives as text with a unit. `bytes` is the number of bytes."""

    def __init__(self, bytes_: int) -> None:
        self.bytes = bytes_

    @classmethod
    def parse(cls, text: Any) -> Size:
        match = SIZE_PATTERN.fullmatch(text) if isinstance(text, str) else None
        if match is None:
            raise ValueError(f'{text!r} is not a size; write a number and a unit, like "64KiB" or "16MiB"')
        return cls(int(match[1]) * BYTES_PER_UNIT[match[2]])


class Endpoint:
    """A numeric IP address and a port. `address` is the pair of both."""

    def __init__(self, host: str, port: int) -> None:
        self.address = host, port

    @classmethod
    def parse(cls, text: Any) -> Endpoint:
        try:
            return cls(*parse_address(text))
        except ValueError:
            raise ValueError(
                f'{text!r} is not an address; write a numeric address and a port, like "10.8.0.2:7443"'
            ) from None


def _decode_hook(kind: type, value: Any) -> Any:
    if kind is Duration:
        return Duration.parse(value)
    if kind is Size:
        return Size.parse(value)
    if kind is Endpoint:
        return Endpoint.parse(value)
    raise NotImplementedError


def load_toml(path: Path) -> dict[str, Any]:
    """Returns the tables of a TOML file. Raises BadFile."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as e:
        raise BadFile(f"{path}: {e.strerror}") from None
    except UnicodeDecodeError:
        raise BadFile(f"{path}: not UTF-8 text") from None
    except tomllib.TOMLDecodeError as e:
        raise BadFile(f"{path}: {' '.join(str(e).split())}") from None


def convert_table(path: Path, table: str, values: Any, kind: type[T]) -> T:
    """Converts the values of one table to `kind`. Raises BadFile."""
    if not isinstance(values, dict):
        raise BadFile(f"{path}: [{table}]: is not a table")
    try:
        return msgspec.convert(values, kind, dec_hook=_decode_hook)
    except msgspec.ValidationError as e:
        raise BadFile(f"{path}: {format_error(table, str(e))}") from None


def format_error(table: str, text: str) -> str:
    """Returns the text of a validation error of msgspec with the table and the key at the front."""
    match = ERROR_PATH_PATTERN.search(text)
    inner_path = match[1].strip(".").split(".") if match and match[1] else []
    problem = ERROR_PATH_PATTERN.sub("", text)
    field = re.match(r"Object (?:contains unknown|missing required) field `([^`]+)`", problem)
    if field is not None:
        table = ".".join([table, *inner_path])
        cause = "unknown key" if "unknown" in problem else "is missing"
        return f"[{table}] {field[1]}: {cause}"
    if not inner_path:
        return f"[{table}]: {problem}"
    return f"[{'.'.join([table, *inner_path[:-1]])}] {inner_path[-1]}: {problem[0].lower() + problem[1:]}"
