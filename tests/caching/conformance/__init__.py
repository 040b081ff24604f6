"""Conformance cases of HTTP caching: one module for each part of the standard, all of them in `CASES`."""

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

MODULES = (
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
CASES = tuple(case for module in MODULES for case in module.CASES)
