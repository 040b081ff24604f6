"""The cases, a table for each part of the standard. `CASES` holds all of them."""

from tests.caching.conformance import (
    conditions,
    directives,
    extensions,
    freshness,
    invalidation,
    keys,
    messages,
    stale,
    storing,
    validation,
)

TABLES = (
    storing,
    keys,
    freshness,
    stale,
    validation,
    conditions,
    invalidation,
    directives,
    extensions,
    messages,
)
CASES = tuple(case for table in TABLES for case in table.CASES)
