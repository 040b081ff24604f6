"""Header fields of messages: which are passed on, and in what form (RFC 9110, 5.3 and 7.6)."""

from __future__ import annotations

from collections.abc import Container, Iterable

Fields = list[tuple[bytes, bytes]]

# Fields for one connection (RFC 9110, 7.6.1) and for the next recipient only (RFC 9110, 11.7).
HOP_BY_HOP = frozenset({
    b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
    b"proxy-authenticate", b"proxy-authentication-info", b"proxy-authorization",
})  # fmt: skip
# Fields for every recipient, which are passed on even if `Connection` names them (RFC 9110, 7.6.1). Without
# them an answer for one client could be cached for all, or a request could lose the identity of its sender.
ALWAYS_END_TO_END = frozenset({
    b"age", b"authorization", b"cache-control", b"cdn-cache-control", b"content-encoding",
    b"content-language", b"content-location", b"content-range", b"content-type", b"cookie", b"date", b"etag",
    b"expires", b"host", b"if-match", b"if-modified-since", b"if-none-match", b"if-range",
    b"if-unmodified-since", b"last-modified", b"pragma", b"range", b"set-cookie", b"vary", b"via",
})  # fmt: skip


def combined(fields: Iterable[tuple[bytes, bytes]]) -> dict[bytes, bytes]:
    """Returns the values by field name in lower case. Several lines of one name are joined in their order
    (RFC 9110, 5.3)."""
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
    """Returns the fields that may be passed on: without those for this connection only, and without those
    named in `drop` (in lower case)."""
    named: set[bytes] = set()
    for name, value in fields:
        if name.lower() == b"connection":
            named.update(v.strip().lower() for v in value.split(b","))
    named -= ALWAYS_END_TO_END
    passed = []
    for name, value in fields:
        lower = name.lower()
        if lower not in HOP_BY_HOP and lower not in named and lower not in drop:
            passed.append((name, value))
    return passed


def format_fields(fields: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Returns the fields as lines of a head, each ended by CRLF."""
    return b"".join([b"%b: %b\r\n" % f for f in fields])


def parse_fields(text: bytes) -> Fields:
    """Returns the fields in lines that `format_fields` wrote. Lines without a colon are skipped."""
    found = []
    for line in text.split(b"\r\n"):
        name, colon, value = line.partition(b":")
        if colon:
            found.append((name, value.strip(b" \t")))
    return found
