"""Fields of messages that are passed on: which go on, and in what form (RFC 9110, 5.3 and 7.6)."""

from __future__ import annotations

from collections.abc import Container, Iterable

Fields = list[tuple[bytes, bytes]]

# RFC 9110, 7.6.1, and what is meant for the next one only (11.7).
HOP_BY_HOP = frozenset({
    b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
    b"proxy-authenticate", b"proxy-authentication-info", b"proxy-authorization",
})  # fmt: skip
# Guards against a `Connection` that names a field which every recipient must see (RFC 9110, 7.6.1): without
# them an answer would be kept for everybody, or a request lose who asks.
KEPT = frozenset({
    b"age", b"authorization", b"cache-control", b"cdn-cache-control", b"content-encoding",
    b"content-language", b"content-location", b"content-range", b"content-type", b"cookie", b"date", b"etag",
    b"expires", b"host", b"if-match", b"if-modified-since", b"if-none-match", b"if-range",
    b"if-unmodified-since", b"last-modified", b"pragma", b"range", b"set-cookie", b"vary", b"via",
})  # fmt: skip


def combined(fields: Iterable[tuple[bytes, bytes]]) -> dict[bytes, bytes]:
    """By name in lower case; several lines of one name joined in their order (RFC 9110, 5.3)."""
    found: dict[bytes, bytes] = {}
    for name, value in fields:
        name = name.lower()
        before = found.get(name)
        if before is None:
            found[name] = value
        else:
            found[name] = before + (b"; " if name == b"cookie" else b", ") + value
    return found


def end_to_end(fields: Fields, drop: Container[bytes] = ()) -> Fields:
    """Without what is meant for this connection only, and without the names (in lower case) in `drop`."""
    named: set[bytes] = set()
    for name, value in fields:
        if name.lower() == b"connection":
            named.update(v.strip().lower() for v in value.split(b","))
    named -= KEPT
    kept = []
    for name, value in fields:
        lower = name.lower()
        if lower not in HOP_BY_HOP and lower not in named and lower not in drop:
            kept.append((name, value))
    return kept


def lines(fields: Iterable[tuple[bytes, bytes]]) -> bytes:
    return b"".join([b"%b: %b\r\n" % f for f in fields])


def read_lines(more: bytes) -> Fields:
    """What `lines` wrote."""
    found = []
    for line in more.split(b"\r\n"):
        name, colon, value = line.partition(b":")
        if colon:
            found.append((name, value.strip(b" \t")))
    return found
