"""Lists of members in a field value, with commas inside quoted strings (RFC 9110, 5.6.1 and 5.6.4)."""

from __future__ import annotations


def members(value: bytes) -> list[bytes]:
    """The members that are not empty, without white space round them. Where quotes do not close, they do not
    count, so that nothing hides behind one."""
    if b'"' not in value:
        parts = value.split(b",")
    else:
        parts, start, quoted, at = [], 0, False, 0
        while at < len(value):
            c = value[at]
            if c == 0x5C and quoted:
                at += 1
            elif c == 0x22:
                quoted = not quoted
            elif c == 0x2C and not quoted:
                parts.append(value[start:at])
                start = at + 1
            at += 1
        parts.append(value[start:])
        if quoted:
            parts = value.split(b",")
    return [p for p in (part.strip(b" \t") for part in parts) if p]
