"""Compares the caching rules with those of `hishel` on generated messages, and explains each difference.

A difference is explained only if both agree once the fields that explain it are removed from the messages.

    python -m tests.caching.hishel_comparison [--count 20000] [--seed 1]
"""

from __future__ import annotations

import argparse
import json
import sys
import uuid
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from random import Random
from types import SimpleNamespace
from typing import Any
from unittest import mock

import hishel._core._spec as spec
from hishel import Entry, Headers, Request, Response

from magpiefront.caching import dates, rules
from magpiefront.caching.settings import Policy
from magpiefront.net.fields import combined

NOW = 1_800_000_000
POLICY = Policy(heuristic_fraction=0.1, heuristic_most_s=604_800)
Lines = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class Pair:
    """The fields of a request, its response, and a second request `later_s` seconds later."""

    status: int
    request_fields: Lines
    response_fields: Lines
    second_fields: Lines
    later_s: int


@dataclass(frozen=True)
class Decision:
    storable: bool
    lifetime: int
    reuse: str  # "serve" or "forward"; "" if it is not stored


def http_date(offset: int) -> str:
    return dates.render(NOW + offset).decode()


STATUSES = (200, 200, 200, 200, 203, 206, 301, 302, 304, 404, 410, 500, 501, 503, 499)
NUMBERS = ("0", "5", "60", "600", "86400", "0060", "99999999999", "-1", "1.5", "x", "")
RESPONSE_DIRECTIVES = (
    "max-age={n}",
    "max-age={n}",
    "max-age={n}",
    "s-maxage={n}",
    "no-store",
    "no-cache",
    "private",
    "public",
    "must-revalidate",
    "proxy-revalidate",
    "must-understand",
    "immutable",
    "no-transform",
    "foo=bar",
    'private="x-a"',
    'no-cache="x-a"',
    "stale-while-revalidate={n}",
    "stale-if-error={n}",
    'max-age="60"',
    "MAX-AGE=60",
)
REQUEST_DIRECTIVES = (
    "no-cache",
    "no-store",
    "max-age={n}",
    "max-stale",
    "max-stale={n}",
    "min-fresh={n}",
    "only-if-cached",
    "no-transform",
    "foo",
)


def directives(r: Random, names: tuple[str, ...], max_count: int) -> str:
    return ", ".join(
        r.choice(names).replace("{n}", r.choice(NUMBERS)) for _ in range(r.randint(1, max_count))
    )


def generate(seed: int, count: int) -> Iterator[Pair]:
    """Yields random pairs; the same seed gives the same pairs."""
    r = Random(seed)
    for _ in range(count):
        response_fields: list[tuple[str, str]] = []
        if r.random() < 0.8:
            response_fields.append(("Cache-Control", directives(r, RESPONSE_DIRECTIVES, 3)))
        if r.random() < 0.05:
            response_fields.append(("Cache-Control", directives(r, RESPONSE_DIRECTIVES, 1)))
        if r.random() < 0.25:
            date = http_date(r.choice((-60, 0, 5, 60, 6000)))
            response_fields.append(
                ("Expires", r.choice((date, date, date, "0", "soon", date.replace("GMT", "EST"))))
            )
        if r.random() < 0.9:
            response_fields.append(("Date", http_date(r.choice((0, 0, 0, -1, -30, -120, 3600)))))
        if r.random() < 0.2:
            response_fields.append(("Age", r.choice(("0", "10", "100", "x", "9999999999"))))
        if r.random() < 0.3:
            response_fields.append(("Last-Modified", http_date(r.choice((-864_000, -100, 0, 3600)))))
        if r.random() < 0.2:
            response_fields.append(("Vary", r.choice(("Accept", "Foo", "Accept, Foo", "*", "accept"))))
        if r.random() < 0.3:
            response_fields.append(("ETag", '"v1"'))
        if r.random() < 0.08:
            response_fields.append(("Set-Cookie", "a=1"))
        if r.random() < 0.06:
            response_fields.append(("CDN-Cache-Control", r.choice(("max-age=60", "no-store", "max-age=0"))))
        request_fields = [
            f
            for f, probability in (
                (("Accept", "a"), 0.4),
                (("Foo", "1"), 0.4),
                (("Authorization", "b"), 0.1),
                (("Cookie", "c=1"), 0.08),
                (("Cache-Control", "no-store"), 0.05),
            )
            if r.random() < probability
        ]
        second_fields = [
            f
            for f, probability in (
                (("Accept", r.choice("aab")), 0.4),
                (("Foo", "1"), 0.4),
                (("Pragma", "no-cache"), 0.04),
                (("Cache-Control", directives(r, REQUEST_DIRECTIVES, 2)), 0.3),
            )
            if r.random() < probability
        ]
        yield Pair(
            r.choice(STATUSES),
            tuple(request_fields),
            tuple(response_fields),
            tuple(second_fields),
            r.choice((0, 0, 3, 30, 300)),
        )


def ours(p: Pair) -> Decision:
    """Returns the decision of this project's rules."""
    response = rules.OriginResponse(
        p.status, [(n.encode(), v.encode()) for n, v in p.response_fields], float(NOW), POLICY
    )
    request = rules.CacheRequest(b"GET", combined((n.encode(), v.encode()) for n, v in p.request_fields))
    storable = response.reason_not_storable(request, POLICY) is None
    lifetime_s = response.lifetime_s(POLICY)
    if not storable:
        return Decision(False, lifetime_s, "")
    stored = rules.build_stored(response, request, b"x", 0, 0, POLICY)
    if stored is None:
        return Decision(True, lifetime_s, "forward")
    second_request = rules.CacheRequest(
        b"GET", combined((n.encode(), v.encode()) for n, v in p.second_fields)
    )
    choice = rules.choose(second_request, (stored,), p.later_s * rules.US_PER_S, POLICY)
    return Decision(True, lifetime_s, "serve" if isinstance(choice, rules.Serve) else "forward")


def to_headers(lines: Lines) -> Any:
    found: dict[str, list[str]] = {}
    for name, value in lines:
        found.setdefault(name, []).append(value)
    return Headers(found)


def theirs(p: Pair) -> Decision:
    """Returns the decision of hishel."""
    clock = SimpleNamespace(time=lambda: float(NOW))
    with mock.patch.object(spec, "time", clock):
        request = Request("GET", "http://a/k", to_headers(p.request_fields))
        response = Response(p.status, to_headers(p.response_fields))
        lifetime_s = max(0, spec.get_freshness_lifetime(response, True) or 0)
        state = spec.CacheMiss(request=request, options={"shared": True}).next(response)
        if not isinstance(state, spec.StoreAndUse):
            return Decision(False, lifetime_s, "")
    clock = SimpleNamespace(time=lambda: float(NOW + p.later_s))
    with mock.patch.object(spec, "time", clock):
        entry = Entry(uuid.UUID(int=1), request, state.response)
        second_state = spec.IdleClient(options={"shared": True}).next(
            Request("GET", "http://a/k", to_headers(p.second_fields)), [entry]
        )
    return Decision(True, lifetime_s, "serve" if isinstance(second_state, spec.FromCache) else "forward")


def without(lines: Lines, name: str) -> Lines:
    return tuple(f for f in lines if f[0].lower() != name)


def without_directive(lines: Lines, *names: str) -> Lines:
    kept = []
    for n, v in lines:
        if n.lower() == "cache-control":
            v = ", ".join(m for m in v.split(", ") if m.partition("=")[0].lower() not in names)
            if not v:
                continue
        kept.append((n, v))
    return tuple(kept)


def well_formed(lines: Lines) -> Lines:
    """Replaces invalid numbers and removes repeated directives."""
    kept, seen = [], set()
    for n, v in lines:
        if n.lower() == "cache-control":
            parts = []
            for m in v.split(", "):
                name, eq, value = m.partition("=")
                name = name.lower()
                if name in seen:
                    continue
                seen.add(name)
                if eq and name not in ("foo", "private", "no-cache"):
                    value = value.strip('"')
                    value = value if value.isdigit() and len(value) < 9 else "60"
                    m = f"{name}={int(value)}"
                parts.append(m)
            v = ", ".join(parts)
            if not v:
                continue
        kept.append((n, v))
    return tuple(kept)


def gmt_dates(lines: Lines) -> Lines:
    return tuple((n, v.replace("EST", "GMT")) for n, v in lines)


def dated(lines: Lines) -> Lines:
    """Replaces a Date that is missing, invalid or in the future."""
    date = dict((n.lower(), v) for n, v in lines).get("date")
    seconds = dates.parse(date.encode()) if date is not None else None
    if seconds is not None and seconds <= NOW:
        return lines
    return (*without(lines, "date"), ("Date", http_date(0)))


Strip = Callable[[Pair], Pair]
# Known differences: the section of the RFC that this project follows, a label, and how to remove the cause.
EXPLAINED: tuple[tuple[str, str, Strip], ...] = (
    (
        "5.2.1.5",
        "no-store of the request",
        lambda p: replace(p, request_fields=without(p.request_fields, "cache-control")),
    ),
    (
        "5.2.1",
        "directives of the request",
        lambda p: replace(
            p,
            second_fields=without_directive(
                p.second_fields,
                "max-age",
                "max-stale",
                "min-fresh",
                "only-if-cached",
                "no-store",
                "foo",
                "no-transform",
            ),
        ),
    ),
    ("5.4", "Pragma", lambda p: replace(p, second_fields=without(p.second_fields, "pragma"))),
    (
        "5.2.2.3",
        "must-understand",
        lambda p: replace(p, response_fields=without_directive(p.response_fields, "must-understand")),
    ),
    (
        "7.3",
        "cookies",
        lambda p: replace(
            p,
            request_fields=without(p.request_fields, "cookie"),
            response_fields=without(p.response_fields, "set-cookie"),
        ),
    ),
    (
        "4.1",
        "Vary: *",
        lambda p: replace(p, response_fields=tuple(f for f in p.response_fields if f != ("Vary", "*"))),
    ),
    (
        "RFC 9213",
        "CDN-Cache-Control",
        lambda p: replace(p, response_fields=without(p.response_fields, "cdn-cache-control")),
    ),
    (
        "4.2.1",
        "malformed numbers or repeated directives",
        lambda p: replace(p, response_fields=well_formed(p.response_fields)),
    ),
    ("4.2", "a zone other than GMT", lambda p: replace(p, response_fields=gmt_dates(p.response_fields))),
    ("4.2.3", "Age", lambda p: replace(p, response_fields=without(p.response_fields, "age"))),
    (
        "4.2.3",
        "a Date that is missing or in the future",
        lambda p: replace(p, response_fields=dated(p.response_fields)),
    ),
    (
        "4.2.2",
        "heuristics for a status that does not allow them",
        lambda p: p
        if p.status in rules.HEURISTIC_STATUSES
        else replace(p, response_fields=without(p.response_fields, "last-modified")),
    ),
    (
        "4.2.2",
        "heuristics relative to another time than Date",
        lambda p: replace(p, response_fields=without(p.response_fields, "last-modified"))
        if ("Date", http_date(0)) not in p.response_fields
        else p,
    ),
    (
        "RFC 5861, 3",
        "stale-while-revalidate",
        lambda p: replace(p, response_fields=without_directive(p.response_fields, "stale-while-revalidate")),
    ),
)


def explain(p: Pair) -> list[str] | None:
    """Returns the labels that explain why the decisions of the two projects differ on this pair.

    Each label is tried alone first, then all of them cumulatively. The list is empty if the decisions
    agree; the result is None if they differ for another reason.
    """
    if ours(p) == theirs(p):
        return []
    for section, label, strip in EXPLAINED:
        stripped = strip(p)
        if stripped != p and ours(stripped) == theirs(stripped):
            return [f"{section}: {label}"]
    names, stripped = [], p
    for section, label, strip in EXPLAINED:
        reduced = strip(stripped)
        if reduced != stripped:
            names.append(f"{section}: {label}")
            stripped = reduced
            if ours(stripped) == theirs(stripped):
                return names
    return None


def compare(seed: int, count: int) -> tuple[Counter[str], list[Pair]]:
    """Counts the pairs that each label explains, and returns the unexplained pairs.

    A pair counts once for each of its labels.
    """
    found: Counter[str] = Counter()
    unexplained: list[Pair] = []
    for p in generate(seed, count):
        labels = explain(p)
        if labels is None:
            unexplained.append(p)
        elif not labels:
            found["agree"] += 1
        else:
            found["differ"] += 1
            found.update(labels)
    return found, unexplained


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--count", type=int, default=20_000)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    found, unexplained = compare(args.seed, args.count)
    for name, number in found.most_common():
        print(f"{number:7} {name}")
    for p in unexplained[:20]:
        print("unexplained:", p, ours(p), theirs(p))
    print(json.dumps({"comparison": "hishel", "pairs": args.count, "unexplained": len(unexplained), **found}))
    return 1 if unexplained else 0


if __name__ == "__main__":
    sys.exit(main())
