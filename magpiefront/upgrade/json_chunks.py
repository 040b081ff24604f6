"""Encodes a large value as JSON in chunks, so that no single step blocks the event loop for long."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping, Sequence
from itertools import islice
from typing import Any

ITEMS_PER_CHUNK = 256  # of a mapping or a sequence


def json_chunks(value: Any, max_items: int = ITEMS_PER_CHUNK) -> Iterator[str]:
    """Yields chunks that make up the JSON text of `value`. Keys of mappings must be strings. The items of a
    mapping or sequence of more than `max_items` items are assumed to be small: each is encoded in one step.
    The value must not change until the last chunk has been yielded."""
    if isinstance(value, str) or not isinstance(value, Mapping | Sequence):
        yield json.dumps(value)
    elif len(value) > max_items:
        yield from _large(value, max_items)
    elif isinstance(value, Mapping):
        yield "{"
        for index, (key, item) in enumerate(value.items()):
            yield f"{', ' if index else ''}{json.dumps(key)}: "
            yield from json_chunks(item, max_items)
        yield "}"
    else:
        yield "["
        for index, item in enumerate(value):
            yield ", " if index else ""
            yield from json_chunks(item, max_items)
        yield "]"


def _large(value: Mapping[str, Any] | Sequence[Any], max_items: int) -> Iterator[str]:
    """Encodes each slice of the items as a mapping or sequence of its own, without its brackets."""
    yield "{" if isinstance(value, Mapping) else "["
    items = iter(value.items()) if isinstance(value, Mapping) else iter(())
    for start in range(0, len(value), max_items):
        chunk = (
            dict(islice(items, max_items))
            if isinstance(value, Mapping)
            else list(value[start : start + max_items])
        )
        yield (", " if start else "") + json.dumps(chunk)[1:-1]
    yield "}" if isinstance(value, Mapping) else "]"
