"""The platform's configuration of a proxy, validated: the LB_* environment variables and a JSON file."""

from __future__ import annotations

import ipaddress
import json
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from magpiefront.hashing import text_hash
from magpiefront.interface import Settings
from magpiefront.settings import MissingField, read_settings, require_field

Address = tuple[str, int]


class BadConfig(Exception):
    """The configuration is invalid or can't be read; the message is one line."""


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of one proxy."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: Settings
    initial_list: Any  # the server list to start with, in discovery's format, or None
    watches_discovery: bool  # whether the proxy calls discovery itself; else an agent on this machine
    connect_timeout_us: int = 250_000
    conn_idle_us: int = 15_000_000
    max_open: int = 20_000  # limit of open requests
    load_path: bytes | None = None  # path from which probes get the load report, if not /health
    sockets: int = 1024  # limit of file descriptors
    memory_mb: int = 192
    admin: Address | None = None  # the address for operators' commands
    keys: frozenset[str] = frozenset()  # the keys of the file, which a reloaded file must have too


def parse_address(text: Any) -> Address:
    """Parses a numeric IP address and a port; host names are not resolved. Raises ValueError."""
    if not isinstance(text, str):
        raise ValueError("is not an address")
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        socket.inet_pton(socket.AF_INET, host)  # faster than `ipaddress`: lists have thousands of addresses
    except OSError:
        ipaddress.ip_address(host)
    if not (port.isascii() and port.isdigit() and 0 <= int(port) < 65536):
        raise ValueError(f"{text!r} has no port")
    return host, int(port)


def read_address(text: Any, name: str) -> Address:
    """The address that the variable or key `name` gives. Raises BadConfig."""
    if not text:
        raise BadConfig(f"{name} is missing")
    try:
        return parse_address(text)
    except ValueError as e:
        raise BadConfig(f"{name}: {e}") from None


def read_int(fields: dict[str, Any], name: str, default: int, minimum: int) -> int:
    """The number under key `name`, or `default`, truncated to an integer. Raises BadConfig if the value is
    not a number of at least `minimum`."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or value < minimum:
        raise BadConfig(f"{name} must be a number of at least {minimum}")
    return int(value)


def load(environ: Mapping[str, str]) -> Config:
    """Reads the file that LB_CONFIG names, and the environment. Raises BadConfig."""
    path = environ.get("LB_CONFIG")
    if not path:
        raise BadConfig("LB_CONFIG is missing")
    try:
        with open(path, encoding="utf-8") as f:
            given = json.load(f)
    except (OSError, ValueError) as e:
        raise BadConfig(f"LB_CONFIG: {e}") from None
    if not isinstance(given, dict):
        raise BadConfig("LB_CONFIG: not an object")
    try:
        return read(given, environ)
    except MissingField as e:
        raise BadConfig(str(e)) from None
    except (ValueError, TypeError, AttributeError, KeyError) as e:
        raise BadConfig(f"settings: {e}") from None


def keys_of(given: dict[str, Any]) -> frozenset[str]:
    """The paths of the keys that a file contains, such as `settings.rules.coldUs`. Left out are those that
    a valid later file may lack: the server list, the name and addresses of this process, its peers, and the
    classes."""
    found = {name for name in given if name not in ("known", "admin", "listen", "name", "peers")}
    settings = given.get("settings")
    if isinstance(settings, dict):
        found |= {f"settings.{name}" for name in settings}
        for part in ("permissions", "rules"):
            if isinstance(settings.get(part), dict):
                found |= {f"settings.{part}.{name}" for name in settings[part]}
    return frozenset(found)


def reload(environ: Mapping[str, str], previous: Config) -> Config:
    """Reads the file again while the proxy runs. Raises BadConfig, also if the file lacks a key of the
    previous one: even if it is valid JSON, it may be incomplete because an editor or a copy is still writing
    it."""
    new = load(environ)
    missing = sorted(previous.keys - new.keys)
    if missing:
        raise BadConfig(f"LB_CONFIG: {missing[0]} is missing, but the previous file had it")
    return new


def read(given: dict[str, Any], environ: Mapping[str, str]) -> Config:
    """Builds the configuration from the parsed file and the environment, which takes precedence except for
    discovery's address. Raises BadConfig and MissingField, and ValueError, TypeError, AttributeError or
    KeyError if a value has the wrong form."""
    settings_fields = require_field(given, "settings", "")
    permissions = settings_fields.get("permissions") or {}
    report = settings_fields.get("report") or {}
    limits = given.get("limits") or {}
    seed = given.get("seed", 0)
    settings = read_settings(settings_fields)
    admin = environ.get("LB_ADMIN") or given.get("admin")
    return Config(
        name=str(environ.get("LB_NAME") or given.get("name") or "proxy"),
        listen=read_address(environ.get("LB_LISTEN") or given.get("listen"), "LB_LISTEN"),
        # The file takes precedence: it can be replaced while the proxy runs, and the environment can't.
        discovery=read_address(given.get("discovery") or environ.get("LB_DISCOVERY"), "LB_DISCOVERY"),
        seed=seed if isinstance(seed, int) else text_hash(str(seed)),
        settings=settings,
        initial_list=given.get("known"),
        watches_discovery=settings.subscribe,
        connect_timeout_us=read_int(permissions, "connectTimeoutUs", 250_000, 1),
        conn_idle_us=read_int(permissions, "connIdleUs", 15_000_000, 1),
        max_open=read_int(permissions, "maxOpen", 20_000, 1),
        load_path=b"/status/load" if report.get("how") == "pull" else None,
        sockets=read_int(limits, "sockets", 1024, 64),
        memory_mb=read_int(limits, "memory_mb", 192, 1),
        admin=read_address(admin, "LB_ADMIN") if admin else None,
        keys=keys_of(given),
    )
