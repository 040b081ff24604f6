"""Splits list-based field values; quoted strings may hold commas (RFC 9110, 5.6.1 and 5.6.4)."""

from __future__ import annotations


def split_members(value: bytes) -> list[bytes]:
    """Returns the non-empty members without surrounding white space.

    If a quoted string is not terminated, all quotes are ignored and the value is split at every comma, so
    that an unbalanced quote cannot hide the members after it.
    """
    if b'"' not in value:
        parts = value.split(b",")
    else:
        parts, start, in_quotes, position = [], 0, False, 0
        while position < len(value):
            byte = value[position]
            if byte == 0x5C and in_quotes:
                position += 1
            elif byte == 0x22:
                in_quotes = not in_quotes
            elif byte == 0x2C and not in_quotes:
                parts.append(value[start:position])
                start = position + 1
            position += 1
        parts.append(value[start:])
        if in_quotes:
            parts = value.split(b",")
    return [p for p in (part.strip(b" \t") for part in parts) if p]
