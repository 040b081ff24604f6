"""Plays the standard's cases against a cache, and prints a table by section.

    python -m standins.conformance                                    a lineshift of its own
    python -m standins.conformance --target HOST:PORT --origin PORT   any proxy with the origin 127.0.0.1:PORT

The scripted archive listens on the origin's port. Exit status 1 where a required case failed, 2 where the
proxy can't be had. All traffic stays on this machine; the run ends by itself.
"""

from __future__ import annotations

import argparse
import asyncio
import importlib
import json
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from standins.conformance.archive import Archive
from standins.conformance.case import Case, Need
from standins.conformance.play import Player, Result
from standins.world import Failed

EXTRA = "Req-Id: {id}\r\nReq-Kind: {kind}\r\nReq-Deadline: 5.000\r\n"


def errs(case: Case) -> bool:
    return any(s.reply.status >= 500 or s.reply.cut >= 0 for s in case.steps)


async def run(
    cases: Sequence[Case], target: tuple[str, int], archive: Archive, extra: str, at_once: int, quiet: bool
) -> list[Result]:
    player = Player(*target, archive, extra)
    gate = asyncio.Semaphore(at_once)
    done = 0

    async def one(case: Case) -> Result:
        nonlocal done
        async with gate:
            result = await player.play(case)
        done += 1
        if not quiet:
            print(f"\r{done} of {len(cases)}", end="", file=sys.stderr, flush=True)
        return result

    # What errs comes last: a proxy may keep its distance from an archive that does.
    calm = [c for c in cases if not errs(c)]
    results = await asyncio.gather(*(one(c) for c in calm))
    results += await asyncio.gather(*(one(c) for c in cases if errs(c)))
    if not quiet:
        print(file=sys.stderr)
    return list(results)


def summary(results: Sequence[Result]) -> dict[str, Any]:
    sections: dict[str, dict[str, int]] = {}
    for r in results:
        row = sections.setdefault(
            r.case.section, {"required": 0, "optional": 0, "failed": 0, "optional_failed": 0}
        )
        row[r.case.need.value] += 1
        if r.fault:
            row["failed" if r.case.need is Need.REQUIRED else "optional_failed"] += 1
    total = {
        k: sum(row[k] for row in sections.values())
        for k in ("required", "optional", "failed", "optional_failed")
    }
    faults = [f"{r.case.title} ({r.case.need.value}): {r.fault}" for r in results if r.fault]
    return {"conformance": "RFC 9111", "cases": len(results), **total, "sections": sections, "faults": faults}


def order(section: str) -> tuple[int, ...]:
    first, _, rest = section.rpartition(" ")
    return (int(first or 9111), *(int(n) for n in rest.split(".")))


def table(found: dict[str, Any]) -> str:
    rows = [f"{'section':14} {'required':>9} {'optional':>9} {'failed':>7} {'optional not met':>17}"]
    for section in sorted(found["sections"], key=order):
        r = found["sections"][section]
        name = section if " " in section else f"9111 {section}"
        rows.append(
            f"{name:14} {r['required']:9} {r['optional']:9} {r['failed']:7} {r['optional_failed']:17}"
        )
    t = found
    rows.append(f"{'all':14} {t['required']:9} {t['optional']:9} {t['failed']:7} {t['optional_failed']:17}")
    return "\n".join(rows)


async def main_(args: argparse.Namespace) -> dict[str, Any]:
    cases: tuple[Case, ...] = importlib.import_module(args.cases).CASES
    if args.only:
        cases = tuple(c for c in cases if args.only in c.title)
    archive = Archive(args.origin)
    await archive.start()
    try:
        if args.target:
            host, _, port = args.target.rpartition(":")
            results = await run(cases, (host, int(port)), archive, EXTRA, args.at_once, args.json)
        else:
            from standins.conformance.own import Own

            with tempfile.TemporaryDirectory() as folder:
                async with Own(archive, Path(folder)) as own:
                    results = await run(
                        cases, ("127.0.0.1", own.port), archive, EXTRA, args.at_once, args.json
                    )
    finally:
        archive.stop()
    return summary(results)


def main() -> int:
    parser = argparse.ArgumentParser("standins.conformance", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--target", metavar="HOST:PORT", help="the proxy; default: one that this starts")
    parser.add_argument("--origin", type=int, default=0, metavar="PORT", help="where the archive listens")
    parser.add_argument("--cases", default="tests.caching.conformance", help="the module that holds CASES")
    parser.add_argument("--only", default="", help="only cases with this in their title")
    parser.add_argument("--at-once", type=int, default=16)
    parser.add_argument("--json", action="store_true", help="only the last line, for programs")
    args = parser.parse_args()
    try:
        found = asyncio.run(main_(args))
    except (OSError, ModuleNotFoundError, Failed) as e:
        print(f"standins.conformance: {e}", file=sys.stderr)
        return 2
    if not args.json:
        print(table(found))
        for fault in found["faults"]:
            print("  " + fault)
    print(json.dumps(found))
    return 1 if found["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
