"""Parses `Cache-Control` and targeted cache control fields (RFC 9111, 5.2; RFC 9213). No I/O and no clock."""

from __future__ import annotations

import re
from functools import lru_cache
from typing import Any

import http_sf

from magpiefront.caching.field_lists import split_members

MAX_DELTA_S = 1 << 31  # greater values count as this (RFC 9111, 1.2.2)
# token [ "=" ( token / quoted-string ) ]
DIRECTIVE = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+)" rb'(?:(=)(?:"((?:[^"\\]|\\.)*)"|([^",;\s]*)))?', re.DOTALL
)
DIRECTIVE_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
FIELD_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9a-z-]+")
DIGITS = re.compile(rb"[0-9]+")


class Directives:
    """The cache directives of one message. Names are in lower case; unknown directives have no effect."""

    __slots__ = ("arguments", "targeted")

    def __init__(self, arguments: dict[bytes, list[bytes | None]], targeted: bool = False) -> None:
        """`arguments` lists each directive's arguments in order, None for an occurrence without one.
        `targeted` says that they come from a targeted field (RFC 9213)."""
        self.arguments, self.targeted = arguments, targeted

    def __contains__(self, name: bytes) -> bool:
        return name in self.arguments

    def __bool__(self) -> bool:
        return bool(self.arguments)

    def seconds(self, name: bytes) -> int | None:
        """Returns a delta-seconds argument, at most `MAX_DELTA_S`, or None if the directive is absent.

        An invalid number or conflicting values give 0, so that the response is stale at once (RFC 9111,
        4.2.1).
        """
        values = self.arguments.get(name)
        if values is None:
            return None
        first_value = values[0]
        if first_value is None or not DIGITS.fullmatch(first_value) or any(a != first_value for a in values):
            return 0
        return min(MAX_DELTA_S, int(first_value[:20])) if len(first_value) < 20 else MAX_DELTA_S

    def applies_to_whole(self, name: bytes) -> bool:
        """Returns whether the directive concerns the whole response: whether it occurs without a list of
        field names, or with a malformed one."""
        return any(not a or not parse_field_names(a) for a in self.arguments.get(name, ()))

    def fields(self, name: bytes) -> frozenset[bytes]:
        """Returns the field names (in lower case) of the arguments, as in `no-cache="set-cookie"`."""
        named: set[bytes] = set()
        for a in self.arguments.get(name, ()):
            if a:
                named |= parse_field_names(a)
        return frozenset(named)


def parse_field_names(argument: bytes) -> frozenset[bytes]:
    """Returns the field names of a list in lower case, or an empty set if any of them is malformed."""
    names = [n.strip(b" \t").lower() for n in argument.split(b",")]
    names = [n for n in names if n]
    return frozenset(names) if all(FIELD_NAME.fullmatch(n) for n in names) else frozenset()


NO_DIRECTIVES = Directives({})


@lru_cache(4096)
def parse(value: bytes) -> Directives:
    """Parses a `Cache-Control` value whose lines are already joined.

    A malformed argument counts as an empty one: the directive then concerns the whole response, or its
    number of seconds is 0.
    """
    arguments: dict[bytes, list[bytes | None]] = {}
    for member in split_members(value):
        argument: bytes | None = b""
        match = DIRECTIVE.fullmatch(member)
        if match is None:
            match = DIRECTIVE_NAME.match(member)
            if match is None:
                continue
        elif not match[2]:
            argument = None
        elif match[3] is not None:
            argument = re.sub(rb"\\(.)", rb"\1", match[3], flags=re.DOTALL)
        else:
            argument = match[4]
        arguments.setdefault(match[0 if match.re is DIRECTIVE_NAME else 1].lower(), []).append(argument)
    return Directives(arguments)


@lru_cache(1024)
def parse_targeted(value: bytes) -> Directives | None:
    """Parses a targeted field such as `CDN-Cache-Control` (RFC 9213, 2.1), a dictionary of RFC 9651.

    Returns None if it is empty or malformed; the field must then be ignored as a whole.
    """
    try:
        found: Any = http_sf.parse(value, tltype="dictionary")
    except (http_sf.StructuredFieldError, ValueError):
        return None
    arguments: dict[bytes, list[bytes | None]] = {}
    for name, member in found.items():
        item = member[0] if isinstance(member, tuple) else member
        if item is False:
            continue
        argument: bytes | None
        if item is True:
            argument = None
        elif isinstance(item, int):
            argument = b"%d" % item
        elif isinstance(item, list):
            argument = b""
        else:
            argument = str(item).encode("latin-1", "replace")
        arguments[name.encode()] = [argument]
    return Directives(arguments, True) if found else None
