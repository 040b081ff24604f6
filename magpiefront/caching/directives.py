"""`Cache-Control` and its kin as directives (RFC 9111, 5.2; RFC 9213). No I/O and no clock."""

from __future__ import annotations

import re
from functools import lru_cache
from typing import Any

import http_sf

from magpiefront.caching.lists import members

MOST_S = 1 << 31  # what is greater counts as this (RFC 9111, 1.2.2)
# token [ "=" ( token / quoted-string ) ]
ONE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+)" rb'(?:(=)(?:"((?:[^"\\]|\\.)*)"|([^",;\s]*)))?', re.DOTALL)
GARBLED = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9a-z-]+")
WHOLE = re.compile(rb"[0-9]+")


class Directives:
    """What one message says. Names are in lower case; what is not known is kept and does nothing."""

    __slots__ = ("given", "targeted")

    def __init__(self, given: dict[bytes, list[bytes | None]], targeted: bool = False) -> None:
        """`given`: for each directive its arguments in their order, None for one without. `targeted`: they
        came in a field for caches like this one (RFC 9213)."""
        self.given, self.targeted = given, targeted

    def __contains__(self, name: bytes) -> bool:
        return name in self.given

    def __bool__(self) -> bool:
        return bool(self.given)

    def seconds(self, name: bytes) -> int | None:
        """delta-seconds, `MOST_S` at most. None where it is not there; 0 where it is no number, or comes
        with several: what can't be trusted is stale at once (RFC 9111, 4.2.1)."""
        arguments = self.given.get(name)
        if arguments is None:
            return None
        first = arguments[0]
        if first is None or not WHOLE.fullmatch(first) or any(a != first for a in arguments):
            return 0
        return min(MOST_S, int(first[:20])) if len(first) < 20 else MOST_S

    def bare(self, name: bytes) -> bool:
        """Is it there without a list of fields, and so about the whole answer? A list that can't be read
        counts as none."""
        return any(not a or not fields_in(a) for a in self.given.get(name, ()))

    def fields(self, name: bytes) -> frozenset[bytes]:
        """The fields (in lower case) that its arguments name, as in `no-cache="set-cookie"`."""
        named: set[bytes] = set()
        for a in self.given.get(name, ()):
            if a:
                named |= fields_in(a)
        return frozenset(named)


def fields_in(argument: bytes) -> frozenset[bytes]:
    names = [n.strip(b" \t").lower() for n in argument.split(b",")]
    names = [n for n in names if n]
    return frozenset(names) if all(NAME.fullmatch(n) for n in names) else frozenset()


NOTHING = Directives({})


@lru_cache(4096)
def parse(value: bytes) -> Directives:
    """A `Cache-Control` value, several lines already joined. A directive whose argument can't be read counts
    as one with an empty argument, which binds the whole answer, or is stale at once."""
    given: dict[bytes, list[bytes | None]] = {}
    for member in members(value):
        argument: bytes | None = b""
        match = ONE.fullmatch(member)
        if match is None:
            match = GARBLED.match(member)
            if match is None:
                continue
        elif not match[2]:
            argument = None
        elif match[3] is not None:
            argument = re.sub(rb"\\(.)", rb"\1", match[3], flags=re.DOTALL)
        else:
            argument = match[4]
        given.setdefault(match[0 if match.re is GARBLED else 1].lower(), []).append(argument)
    return Directives(given)


@lru_cache(1024)
def parse_targeted(value: bytes) -> Directives | None:
    """A targeted field such as `CDN-Cache-Control` (RFC 9213, 2.1): a dictionary of RFC 9651. None where it
    is empty or can't be read, and is to be ignored as a whole."""
    try:
        found: Any = http_sf.parse(value, tltype="dictionary")
    except (http_sf.StructuredFieldError, ValueError):
        return None
    given: dict[bytes, list[bytes | None]] = {}
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
        given[name.encode()] = [argument]
    return Directives(given, True) if found else None
