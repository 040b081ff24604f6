"""The own rules beside `hishel`'s: the same generated pairs of messages, and what explains each difference.

A difference counts as explained only if the two agree once what explains it is taken out of the messages.

    python -m tests.caching.peers [--count 20000] [--seed 1]
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
    """One request and its answer, and a second request `later_s` after it."""

    status: int
    asked: Lines
    answered: Lines
    then: Lines
    later_s: int


@dataclass(frozen=True)
class Verdict:
    storable: bool
    lifetime: int
    reuse: str  # "serve" or "ask"; "" where it is not stored


def when(offset: int) -> str:
    return dates.render(NOW + offset).decode()


STATUSES = (200, 200, 200, 200, 203, 206, 301, 302, 304, 404, 410, 500, 501, 503, 499)
NUMBERS = ("0", "5", "60", "600", "86400", "0060", "99999999999", "-1", "1.5", "x", "")
RESPONSE = (
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
REQUEST = (
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


def directives(r: Random, of: tuple[str, ...], most: int) -> str:
    return ", ".join(r.choice(of).replace("{n}", r.choice(NUMBERS)) for _ in range(r.randint(1, most)))


def generate(seed: int, count: int) -> Iterator[Pair]:
    r = Random(seed)
    for _ in range(count):
        answered: list[tuple[str, str]] = []
        if r.random() < 0.8:
            answered.append(("Cache-Control", directives(r, RESPONSE, 3)))
        if r.random() < 0.05:
            answered.append(("Cache-Control", directives(r, RESPONSE, 1)))
        if r.random() < 0.25:
            stamp = when(r.choice((-60, 0, 5, 60, 6000)))
            answered.append(
                ("Expires", r.choice((stamp, stamp, stamp, "0", "soon", stamp.replace("GMT", "EST"))))
            )
        if r.random() < 0.9:
            answered.append(("Date", when(r.choice((0, 0, 0, -1, -30, -120, 3600)))))
        if r.random() < 0.2:
            answered.append(("Age", r.choice(("0", "10", "100", "x", "9999999999"))))
        if r.random() < 0.3:
            answered.append(("Last-Modified", when(r.choice((-864_000, -100, 0, 3600)))))
        if r.random() < 0.2:
            answered.append(("Vary", r.choice(("Accept", "Foo", "Accept, Foo", "*", "accept"))))
        if r.random() < 0.3:
            answered.append(("ETag", '"v1"'))
        if r.random() < 0.08:
            answered.append(("Set-Cookie", "a=1"))
        if r.random() < 0.06:
            answered.append(("CDN-Cache-Control", r.choice(("max-age=60", "no-store", "max-age=0"))))
        asked = [
            f
            for f, p in (
                (("Accept", "a"), 0.4),
                (("Foo", "1"), 0.4),
                (("Authorization", "b"), 0.1),
                (("Cookie", "c=1"), 0.08),
                (("Cache-Control", "no-store"), 0.05),
            )
            if r.random() < p
        ]
        then = [
            f
            for f, p in (
                (("Accept", r.choice("aab")), 0.4),
                (("Foo", "1"), 0.4),
                (("Pragma", "no-cache"), 0.04),
                (("Cache-Control", directives(r, REQUEST, 2)), 0.3),
            )
            if r.random() < p
        ]
        yield Pair(
            r.choice(STATUSES), tuple(asked), tuple(answered), tuple(then), r.choice((0, 0, 3, 30, 300))
        )


def ours(p: Pair) -> Verdict:
    answered = rules.Answered(p.status, [(n.encode(), v.encode()) for n, v in p.answered], float(NOW), POLICY)
    asked = rules.Asked(b"GET", combined((n.encode(), v.encode()) for n, v in p.asked))
    storable = answered.storable(asked, POLICY) is None
    life = answered.lifetime_s(POLICY)
    if not storable:
        return Verdict(False, life, "")
    stored = rules.keep(answered, asked, b"x", 0, 0, POLICY)
    if stored is None:
        return Verdict(True, life, "ask")
    then = rules.Asked(b"GET", combined((n.encode(), v.encode()) for n, v in p.then))
    choice = rules.choose(then, (stored,), p.later_s * rules.S, POLICY)
    return Verdict(True, life, "serve" if isinstance(choice, rules.Serve) else "ask")


def lists(lines: Lines) -> Any:
    found: dict[str, list[str]] = {}
    for name, value in lines:
        found.setdefault(name, []).append(value)
    return Headers(found)


def theirs(p: Pair) -> Verdict:
    clock = SimpleNamespace(time=lambda: float(NOW))
    with mock.patch.object(spec, "time", clock):
        request = Request("GET", "http://a/k", lists(p.asked))
        response = Response(p.status, lists(p.answered))
        life = max(0, spec.get_freshness_lifetime(response, True) or 0)
        state = spec.CacheMiss(request=request, options={"shared": True}).next(response)
        if not isinstance(state, spec.StoreAndUse):
            return Verdict(False, life, "")
    clock = SimpleNamespace(time=lambda: float(NOW + p.later_s))
    with mock.patch.object(spec, "time", clock):
        entry = Entry(uuid.UUID(int=1), request, state.response)
        then = spec.IdleClient(options={"shared": True}).next(
            Request("GET", "http://a/k", lists(p.then)), [entry]
        )
    return Verdict(True, life, "serve" if isinstance(then, spec.FromCache) else "ask")


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
    """Every number a number, nothing said twice."""
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


def sane_dates(lines: Lines) -> Lines:
    return tuple((n, v.replace("EST", "GMT")) for n, v in lines)


def dated(lines: Lines) -> Lines:
    date = dict((n.lower(), v) for n, v in lines).get("date")
    seconds = dates.parse(date.encode()) if date is not None else None
    if seconds is not None and seconds <= NOW:
        return lines
    return (*without(lines, "date"), ("Date", when(0)))


Strip = Callable[[Pair], Pair]
# What the two hold differently, the section that the own rules follow, and how to take it out.
EXPLAINED: tuple[tuple[str, str, Strip], ...] = (
    ("5.2.1.5", "no-store of the request", lambda p: replace(p, asked=without(p.asked, "cache-control"))),
    (
        "5.2.1",
        "directives of the request",
        lambda p: replace(
            p,
            then=without_directive(
                p.then,
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
    ("5.4", "Pragma", lambda p: replace(p, then=without(p.then, "pragma"))),
    (
        "5.2.2.3",
        "must-understand",
        lambda p: replace(p, answered=without_directive(p.answered, "must-understand")),
    ),
    (
        "7.3",
        "cookies",
        lambda p: replace(p, asked=without(p.asked, "cookie"), answered=without(p.answered, "set-cookie")),
    ),
    (
        "4.1",
        "a Vary that nothing matches",
        lambda p: replace(p, answered=tuple(f for f in p.answered if f != ("Vary", "*"))),
    ),
    (
        "RFC 9213",
        "CDN-Cache-Control",
        lambda p: replace(p, answered=without(p.answered, "cdn-cache-control")),
    ),
    ("4.2.1", "numbers that are none, or said twice", lambda p: replace(p, answered=well_formed(p.answered))),
    ("4.2", "a zone other than GMT", lambda p: replace(p, answered=sane_dates(p.answered))),
    ("4.2.3", "Age", lambda p: replace(p, answered=without(p.answered, "age"))),
    ("4.2.3", "a Date that is missing or to come", lambda p: replace(p, answered=dated(p.answered))),
    (
        "4.2.2",
        "heuristics where the status allows none",
        lambda p: p
        if p.status in rules.HEURISTIC
        else replace(p, answered=without(p.answered, "last-modified")),
    ),
    (
        "4.2.2",
        "heuristics counted to another time than Date",
        lambda p: replace(p, answered=without(p.answered, "last-modified"))
        if ("Date", when(0)) not in p.answered
        else p,
    ),
    (
        "RFC 5861, 3",
        "stale-while-revalidate",
        lambda p: replace(p, answered=without_directive(p.answered, "stale-while-revalidate")),
    ),
)


def explain(p: Pair) -> list[str] | None:
    """The sections that explain why the two differ on this pair: the fewest that were tried in turn; None if
    they differ for another reason. Empty: they agree."""
    if ours(p) == theirs(p):
        return []
    for section, what, strip in EXPLAINED:
        bare = strip(p)
        if bare != p and ours(bare) == theirs(bare):
            return [f"{section}: {what}"]
    names, bare = [], p
    for section, what, strip in EXPLAINED:
        less = strip(bare)
        if less != bare:
            names.append(f"{section}: {what}")
            bare = less
            if ours(bare) == theirs(bare):
                return names
    return None


def compare(seed: int, count: int) -> tuple[Counter[str], list[Pair]]:
    """How many pairs each section explains (of those with several, each counts), and those that none does."""
    found: Counter[str] = Counter()
    odd: list[Pair] = []
    for p in generate(seed, count):
        why = explain(p)
        if why is None:
            odd.append(p)
        elif not why:
            found["agree"] += 1
        else:
            found["differ"] += 1
            found.update(why)
    return found, odd


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--count", type=int, default=20_000)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    found, odd = compare(args.seed, args.count)
    for name, number in found.most_common():
        print(f"{number:7} {name}")
    for p in odd[:20]:
        print("unexplained:", p, ours(p), theirs(p))
    print(json.dumps({"comparison": "hishel", "pairs": args.count, "unexplained": len(odd), **found}))
    return 1 if odd else 0


if __name__ == "__main__":
    sys.exit(main())
