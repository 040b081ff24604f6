"""The heads of crossing requests and their answers as HTTP/2 fields (RFC 9113, 8.3). No I/O.

What crosses of time is what is left of it, in microseconds, and an age: never a time of day, for the clocks
of two sites may differ by minutes.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

from hpack import NeverIndexedHeaderTuple as Unindexed

from magpiefront.interface import Repeat
from magpiefront.net.fields import HOP_BY_HOP, lines, read_lines
from magpiefront.net.request import TOKEN, Request

VERSION = b"1"
HELLO = b"/.well-known/magpiefront-gateway"
HELLO_METHOD = b"OPTIONS"
CARRIED = (b"req-id", b"req-kind", b"req-owner", b"req-cost", b"req-retry", b"req-extra", b"idempotency-key",
           b"content-type")  # fmt: skip
# Ever new: in the table of RFC 7541 they would push out what repeats, and make each look into it longer.
VARIED = frozenset({b"req-id", b"idempotency-key", b"req-cost", b"req-extra"})
WHOLE = re.compile(rb"\d{1,15}")
# Written anew by each side, or the link's own.
OWN = frozenset({*CARRIED, b"content-length", b"host", b"req-deadline"}) | HOP_BY_HOP
UNSAFE = re.compile(rb"[\r\n\0]")
REPEATS = {r.value.encode(): r for r in Repeat}

Fields = list[tuple[bytes, bytes]]


class Unreadable(Exception):
    """A head that no gateway means; its text says why."""


@dataclass(slots=True)
class Crossed:
    """A request as it came over the link, its head read and not yet checked by `Request.check`."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    time_left_us: int
    repeat: Repeat
    via: tuple[str, ...]
    key_age_us: int
    more: bytes  # lines of the other fields, for a site that passes them on
    ran_at: str  # the epoch of the gateway where it may have run, if that is known


def hello(site: str, to: str, secure: bool, store: str = "") -> Fields:
    """`store` names the store of record that this gateway shares with others; it is told empty where there is
    none, for only older versions don't tell it."""
    scheme = b"https" if secure else b"http"
    return [
        (b":method", HELLO_METHOD), (b":scheme", scheme), (b":authority", to.encode()),
        (b":path", HELLO), (b"gw-version", VERSION), (b"gw-site", site.encode()),
        (b"gw-store", store.encode()),
    ]  # fmt: skip


def hello_answer(site: str, epoch: str, store: str = "") -> Fields:
    """`store` names the store of record in which this gateway holds what crosses."""
    return [(b":status", b"200"), (b"gw-version", VERSION), (b"gw-site", site.encode()),
            (b"gw-epoch", epoch.encode()), (b"gw-store", store.encode()),
            (b"content-length", b"0")]  # fmt: skip


def passed(fields: Iterable[tuple[bytes, bytes]]) -> Fields:
    """Of these, what crosses besides the link's own (RFC 9113, 8.2): names in lower case."""
    lower = [(name.lower(), value) for name, value in fields]
    return [f for f in lower if f[0] not in OWN and not f[0].startswith((b"gw-", b":"))]


def read_passed(fields: Iterable[tuple[bytes, bytes]]) -> bytes:
    """The lines of what has crossed. Raises Unreadable where they would be others than were sent."""
    found = passed(fields)
    if any(not TOKEN.fullmatch(name) or UNSAFE.search(value) for name, value in found):
        raise Unreadable("a field that no line can hold")
    return lines(found)


def request_fields(
    r: Request, to: str, secure: bool, left_us: int, repeat: Repeat, via: Iterable[str], key_age_us: int,
    passes: bool = False, ran_at: str = "",
) -> Fields:  # fmt: skip
    fields = [
        (b":method", r.method), (b":scheme", b"https" if secure else b"http"), (b":authority", to.encode()),
        Unindexed(b":path", r.target), Unindexed(b"gw-time-left", b"%d" % max(0, left_us)),
        (b"gw-repeat", repeat.value.encode()), (b"gw-via", ",".join(via).encode()),
    ]  # fmt: skip
    if key_age_us > 0:
        fields.append(Unindexed(b"gw-key-age", b"%d" % key_age_us))
    if ran_at:
        fields.append((b"gw-ran-at", ran_at.encode()))
    h = r.headers
    for name in CARRIED:
        if name in h:
            fields.append(Unindexed(name, h[name]) if name in VARIED else (name, h[name]))
    if r.size or r.method == b"PUT":
        fields.append(Unindexed(b"content-length", b"%d" % r.size))
    if passes:
        fields += passed(read_lines(r.more))
    return fields


def _number(h: dict[bytes, bytes], name: bytes, default: bytes | None = None) -> int:
    value = h.get(name, default)
    if value is None or not WHOLE.fullmatch(value):
        raise Unreadable(f"{name.decode()} is missing or no number")
    return int(value)


def read_request(fields: Iterable[tuple[bytes, bytes]]) -> Crossed:
    """Raises Unreadable. One of the link's own fields that comes twice is refused, as on every front (RFC
    9110, 5.3)."""
    h: dict[bytes, bytes] = {}
    fields = list(fields)
    for name, value in fields:
        if name in h and (name in OWN or name.startswith((b"gw-", b":"))):
            raise Unreadable(f"{name.decode('latin-1')} comes twice")
        h[name] = value
    via = h.get(b"gw-via", b"").split(b",")
    if not all(TOKEN.fullmatch(v) for v in via):
        raise Unreadable("gw-via is missing or no list of sites")
    repeat = REPEATS.get(h.get(b"gw-repeat", b""))
    if repeat is None:
        raise Unreadable("gw-repeat is missing or unknown")
    left = _number(h, b"gw-time-left")
    headers = {name: h[name] for name in CARRIED if name in h}
    headers[b"host"] = h.get(b":authority", b"")
    headers[b"req-deadline"] = b"%d.%06d" % divmod(left, 1_000_000)
    return Crossed(h.get(b":method", b""), h.get(b":path", b""), headers, left, repeat,
                   tuple(v.decode("ascii") for v in via), _number(h, b"gw-key-age", b"0"),
                   read_passed(fields), h.get(b"gw-ran-at", b"").decode("latin-1"))  # fmt: skip


def answer_fields(
    status: int, length: int | None, more: bytes, refused: str = "", passes: bool = False,
    never_ran: bool = False, undecided: bool = False,
) -> Fields:  # fmt: skip
    """`more` holds lines as fronts write them; of these, what the other site needs goes on. `never_ran`: that
    is certain of what it answers. `undecided`: it is no answer yet, and is to be asked for again."""
    fields = [(b":status", b"%d" % status)]
    if undecided:
        fields.append((b"gw-undecided", b"1"))
    if never_ran:
        fields.append((b"gw-never-ran", b"1"))
    if passes:
        given = read_lines(more)
        told = [value for name, value in given if name.lower() == b"content-length"]
        if told or length is not None:  # of an answer to HEAD, the server's own word
            fields.append(Unindexed(b"content-length", told[0] if told else b"%d" % (length or 0)))
        return [*fields, *passed(given), *_carried(given)]
    if length is not None:
        fields.append(Unindexed(b"content-length", b"%d" % length))
    for line in more.split(b"\r\n"):
        name, colon, value = line.partition(b":")
        if colon and name.lower() in (b"content-type", b"retry-after"):
            fields.append((name.lower(), value.strip()))
    if refused:
        fields.append((b"gw-refused", refused.encode()))
    return fields


def _carried(given: Iterable[tuple[bytes, bytes]]) -> Fields:
    return [(b"content-type", value) for name, value in given if name.lower() == b"content-type"]


@dataclass(slots=True)
class Head:
    status: int
    length: int | None
    more: bytes
    refused: str
    never_ran: bool = False
    undecided: bool = False


def read_answer(fields: Iterable[tuple[bytes, bytes]], passes: bool = False) -> Head:
    """Raises Unreadable."""
    fields = list(fields)
    h = dict(fields)
    status, length = h.get(b":status", b""), h.get(b"content-length")
    if not WHOLE.fullmatch(status) or (length is not None and not WHOLE.fullmatch(length)):
        raise Unreadable("an answer without a status, or with a length that is no number")
    if passes:
        more = read_passed(fields) + lines((b"Content-Type", v) for _, v in _carried(fields))
    else:
        more = lines((t, h[t.lower()]) for t in (b"Content-Type", b"Retry-After") if t.lower() in h)
    refused = h.get(b"gw-refused", b"").decode("latin-1")
    return Head(int(status), None if length is None else int(length), more, refused,
                h.get(b"gw-never-ran") == b"1", h.get(b"gw-undecided") == b"1")  # fmt: skip
