"""Heads of requests and answers between gateways as HTTP/2 fields (RFC 9113, 8.3). No I/O.

Times are sent as the time left and as ages, in microseconds. No time of day is sent, because the clocks of
two sites may differ by minutes.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

from hpack import NeverIndexedHeaderTuple as NeverIndexed

from magpiefront.interface import Repeat
from magpiefront.net.fields import HOP_BY_HOP, format_fields, parse_fields
from magpiefront.net.request import TOKEN, Request

VERSION = b"1"
HELLO = b"/.well-known/magpiefront-gateway"
HELLO_METHOD = b"OPTIONS"
# The request fields that are sent to the other site even without `forwards_all`.
CARRIED_FIELDS = (b"req-id", b"req-kind", b"req-owner", b"req-cost", b"req-retry", b"req-extra",
                  b"idempotency-key", b"content-type")  # fmt: skip
# Fields whose values never repeat. In the dynamic table of RFC 7541 they would evict fields that do repeat,
# and make each search of the table longer.
UNINDEXED_FIELDS = frozenset({b"req-id", b"idempotency-key", b"req-cost", b"req-extra"})
NUMBER_PATTERN = re.compile(rb"\d{1,15}")
# Fields that are not copied with all others: a gateway writes them itself, or they apply to one hop only.
LINK_FIELDS = frozenset({*CARRIED_FIELDS, b"content-length", b"host", b"req-deadline"}) | HOP_BY_HOP
UNSAFE_VALUE_PATTERN = re.compile(rb"[\r\n\0]")
REPEAT_BY_NAME = {r.value.encode(): r for r in Repeat}

Fields = list[tuple[bytes, bytes]]


class InvalidHead(Exception):
    """A head that breaks the protocol between gateways; the message says how."""


@dataclass(slots=True)
class RequestHead:
    """The parsed head of a request, not yet checked by `Request.check`."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    time_left_us: int
    repeat: Repeat
    via: tuple[str, ...]
    key_age_us: int  # time since the first attempt that may have run; 0 if none
    extra_fields: bytes  # lines of the other fields, for a site that forwards all
    ran_at: str  # epoch of the gateway where it may have run; empty if not known
    length: int | None = None  # of the body in bytes, if the sender tells it


def hello_fields(site: str, to: str, secure: bool, store: bytes = b"") -> Fields:
    """The fields of the hello from `site` to the site `to`.

    `store` is the name of the store of record that this gateway shares with others. The field is sent even if
    it is empty, because its absence marks an older version.
    """
    scheme = b"https" if secure else b"http"
    return [
        (b":method", HELLO_METHOD), (b":scheme", scheme), (b":authority", to.encode()),
        (b":path", HELLO), (b"gw-version", VERSION), (b"gw-site", site.encode()),
        (b"gw-store", store),
    ]  # fmt: skip


def hello_answer_fields(site: str, epoch: str, store: bytes = b"") -> Fields:
    """The fields of the answer to a hello. `store`: name of the store of record for requests that cross."""
    return [(b":status", b"200"), (b"gw-version", VERSION), (b"gw-site", site.encode()),
            (b"gw-epoch", epoch.encode()), (b"gw-store", store),
            (b"content-length", b"0")]  # fmt: skip


def forwarded(fields: Iterable[tuple[bytes, bytes]]) -> Fields:
    """The fields that are copied to the other site, with names in lower case (RFC 9113, 8.2)."""
    lower = [(name.lower(), value) for name, value in fields]
    return [f for f in lower if f[0] not in LINK_FIELDS and not f[0].startswith((b"gw-", b":"))]


def format_forwarded(fields: Iterable[tuple[bytes, bytes]]) -> bytes:
    """The received fields that are copied, as field lines. Raises InvalidHead if a name or value is invalid
    in HTTP/1.1, because such a value could be parsed as further lines."""
    found = forwarded(fields)
    if any(not TOKEN.fullmatch(name) or UNSAFE_VALUE_PATTERN.search(value) for name, value in found):
        raise InvalidHead("a field that is invalid in HTTP/1.1")
    return format_fields(found)


def request_fields(
    r: Request, to: str, secure: bool, time_left_us: int, repeat: Repeat, via: Iterable[str], key_age_us: int,
    forwards_all: bool = False, ran_at: str = "",
) -> Fields:  # fmt: skip
    """The fields of a request to the site `to`.

    `via`: the sites that it has crossed. `key_age_us`: time since its first attempt that may have run; 0 if
    none. `forwards_all`: all fields cross. `ran_at`: epoch of the gateway where it may have run.
    """
    fields = [
        (b":method", r.method), (b":scheme", b"https" if secure else b"http"), (b":authority", to.encode()),
        NeverIndexed(b":path", r.target), NeverIndexed(b"gw-time-left", b"%d" % max(0, time_left_us)),
        (b"gw-repeat", repeat.value.encode()), (b"gw-via", ",".join(via).encode()),
    ]  # fmt: skip
    if key_age_us > 0:
        fields.append(NeverIndexed(b"gw-key-age", b"%d" % key_age_us))
    if ran_at:
        fields.append((b"gw-ran-at", ran_at.encode()))
    h = r.headers
    for name in CARRIED_FIELDS:
        if name in h:
            fields.append(NeverIndexed(name, h[name]) if name in UNINDEXED_FIELDS else (name, h[name]))
    if r.size or r.method == b"PUT":
        fields.append(NeverIndexed(b"content-length", b"%d" % r.size))
    if forwards_all:
        fields += forwarded(parse_fields(r.extra_fields))
    return fields


def _number(h: dict[bytes, bytes], name: bytes, default: bytes | None = None) -> int:
    value = h.get(name, default)
    if value is None or not NUMBER_PATTERN.fullmatch(value):
        raise InvalidHead(f"{name.decode()} is missing or not a number")
    return int(value)


def read_request(fields: Iterable[tuple[bytes, bytes]]) -> RequestHead:
    """Parses the head of a request. Raises InvalidHead.

    A field that the gateways themselves use is rejected if it is repeated, as the fronts do (RFC 9110, 5.3).
    """
    h: dict[bytes, bytes] = {}
    fields = list(fields)
    for name, value in fields:
        if name in h and (name in LINK_FIELDS or name.startswith((b"gw-", b":"))):
            raise InvalidHead(f"{name.decode('latin-1')} is repeated")
        h[name] = value
    via = h.get(b"gw-via", b"").split(b",")
    if not all(TOKEN.fullmatch(v) for v in via):
        raise InvalidHead("gw-via is missing or not a list of sites")
    repeat = REPEAT_BY_NAME.get(h.get(b"gw-repeat", b""))
    if repeat is None:
        raise InvalidHead("gw-repeat is missing or unknown")
    time_left_us = _number(h, b"gw-time-left")
    headers = {name: h[name] for name in CARRIED_FIELDS if name in h}
    headers[b"host"] = h.get(b":authority", b"")
    headers[b"req-deadline"] = b"%d.%06d" % divmod(time_left_us, 1_000_000)
    return RequestHead(h.get(b":method", b""), h.get(b":path", b""), headers, time_left_us, repeat,
                       tuple(v.decode("ascii") for v in via), _number(h, b"gw-key-age", b"0"),
                       format_forwarded(fields), h.get(b"gw-ran-at", b"").decode("latin-1"),
                       _number(h, b"content-length") if b"content-length" in h else None)  # fmt: skip


def answer_fields(
    status: int, length: int | None, extra_fields: bytes, refused: str = "",
    forwards_all: bool = False, never_ran: bool = False, undecided: bool = False,
) -> Fields:  # fmt: skip
    """The fields of an answer.

    `extra_fields`: field lines as for a client; those that the other site needs are kept. `refused`: why this
    gateway rejected the request. `never_ran`: the request has certainly not run. `undecided`: there is no
    final answer yet, and the sender has to send the request again to get it.
    """
    fields = [(b":status", b"%d" % status)]
    if undecided:
        fields.append((b"gw-undecided", b"1"))
    if never_ran:
        fields.append((b"gw-never-ran", b"1"))
    if forwards_all:
        given = parse_fields(extra_fields)
        lengths = [value for name, value in given if name.lower() == b"content-length"]
        if lengths or length is not None:  # for HEAD, the server's own value
            fields.append(NeverIndexed(b"content-length", lengths[0] if lengths else b"%d" % (length or 0)))
        return [*fields, *forwarded(given), *_content_type(given)]
    if length is not None:
        fields.append(NeverIndexed(b"content-length", b"%d" % length))
    for line in extra_fields.split(b"\r\n"):
        name, colon, value = line.partition(b":")
        if colon and name.lower() in (b"content-type", b"retry-after"):
            fields.append((name.lower(), value.strip()))
    if refused:
        fields.append((b"gw-refused", refused.encode()))
    return fields


def _content_type(given: Iterable[tuple[bytes, bytes]]) -> Fields:
    return [(b"content-type", value) for name, value in given if name.lower() == b"content-type"]


@dataclass(slots=True)
class AnswerHead:
    """The parsed head of an answer. `length` is that of the body, or None if it is not known."""

    status: int
    length: int | None
    extra_fields: bytes
    refused: str
    never_ran: bool = False
    undecided: bool = False


def read_answer(fields: Iterable[tuple[bytes, bytes]], forwards_all: bool = False) -> AnswerHead:
    """Parses the head of an answer. Raises InvalidHead."""
    fields = list(fields)
    h = dict(fields)
    status, length = h.get(b":status", b""), h.get(b"content-length")
    if not NUMBER_PATTERN.fullmatch(status) or (length is not None and not NUMBER_PATTERN.fullmatch(length)):
        raise InvalidHead("an answer without a valid status, or with an invalid length")
    if forwards_all:
        extra_fields = format_forwarded(fields) + format_fields(
            (b"Content-Type", v) for _, v in _content_type(fields)
        )
    else:
        extra_fields = format_fields(
            (name, h[name.lower()]) for name in (b"Content-Type", b"Retry-After") if name.lower() in h
        )
    refused = h.get(b"gw-refused", b"").decode("latin-1")
    return AnswerHead(int(status), None if length is None else int(length), extra_fields, refused,
                      h.get(b"gw-never-ran") == b"1", h.get(b"gw-undecided") == b"1")  # fmt: skip
