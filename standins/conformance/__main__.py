"""Runs the conformance cases of HTTP caching against a proxy, and prints a table by section.

    python -m standins.conformance                                    starts a proxy of this checkout
    python -m standins.conformance --target HOST:PORT --origin PORT   any proxy with the origin 127.0.0.1:PORT

The scripted archive listens on the origin's port. The last line printed is the report as JSON. The exit
status is 1 if a required case failed, and 2 if the proxy cannot be started, the archive cannot listen or the
module of the cases does not exist. All traffic stays on this machine, and the command ends by itself.
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

from standins.conformance.archive import ScriptedArchive
from standins.conformance.case import Case, RequirementLevel
from standins.conformance.runner import CaseRunner, Result
from standins.world import RunFailed

# Fields that the platform requires of every request; CaseRunner replaces `{id}` and `{kind}`.
PLATFORM_FIELDS = "Req-Id: {id}\r\nReq-Kind: {kind}\r\nReq-Deadline: 5.000\r\n"


def provokes_errors(case: Case) -> bool:
    """Whether the archive answers a request of this case with a server error or a truncated body."""
    return any(step.response.status >= 500 or step.response.truncate_at >= 0 for step in case.steps)


async def run(
    cases: Sequence[Case],
    target: tuple[str, int],
    archive: ScriptedArchive,
    extra_fields: str,
    concurrency: int,
    quiet: bool,
) -> list[Result]:
    """Runs the cases, at most `concurrency` at a time, with progress on stderr unless `quiet`.

    The results of cases that provoke errors come last.
    """
    runner = CaseRunner(*target, archive, extra_fields)
    semaphore = asyncio.Semaphore(concurrency)
    finished = 0

    async def run_case(case: Case) -> Result:
        nonlocal finished
        async with semaphore:
            result = await runner.run(case)
        finished += 1
        if not quiet:
            print(f"\r{finished} of {len(cases)}", end="", file=sys.stderr, flush=True)
        return result

    # Cases that provoke errors run last: a proxy may avoid an archive that returned errors, and would then
    # refuse requests of other cases.
    other_cases = [case for case in cases if not provokes_errors(case)]
    results = await asyncio.gather(*(run_case(case) for case in other_cases))
    results += await asyncio.gather(*(run_case(case) for case in cases if provokes_errors(case)))
    if not quiet:
        print(file=sys.stderr)
    return list(results)


def summary(results: Sequence[Result]) -> dict[str, Any]:
    """Returns the report that is printed as JSON: counts in all and by section, and the failed cases."""
    sections: dict[str, dict[str, int]] = {}
    for result in results:
        row = sections.setdefault(
            result.case.section, {"required": 0, "optional": 0, "failed": 0, "optional_failed": 0}
        )
        row[result.case.level.value] += 1
        if result.failure:
            row["failed" if result.case.level is RequirementLevel.REQUIRED else "optional_failed"] += 1
    total = {
        key: sum(row[key] for row in sections.values())
        for key in ("required", "optional", "failed", "optional_failed")
    }
    faults = [
        f"{result.case.title} ({result.case.level.value}): {result.failure}"
        for result in results
        if result.failure
    ]
    return {"conformance": "RFC 9111", "cases": len(results), **total, "sections": sections, "faults": faults}


def section_sort_key(section: str) -> tuple[int, ...]:
    """Sorts by RFC (9111 if none is given), then by the numbers of the section."""
    rfc, _, numbers = section.rpartition(" ")
    return (int(rfc or 9111), *(int(number) for number in numbers.split(".")))


def table(report: dict[str, Any]) -> str:
    """Formats the counts of a report, one row for each section and one for all of them."""
    rows = [f"{'section':14} {'required':>9} {'optional':>9} {'failed':>7} {'optional not met':>17}"]
    for section in sorted(report["sections"], key=section_sort_key):
        row = report["sections"][section]
        name = section if " " in section else f"9111 {section}"
        rows.append(
            f"{name:14} {row['required']:9} {row['optional']:9} {row['failed']:7} {row['optional_failed']:17}"
        )
    totals = report
    rows.append(
        f"{'all':14} {totals['required']:9} {totals['optional']:9} {totals['failed']:7} "
        f"{totals['optional_failed']:17}"
    )
    return "\n".join(rows)


async def run_command(args: argparse.Namespace) -> dict[str, Any]:
    cases: tuple[Case, ...] = importlib.import_module(args.cases).CASES
    if args.only:
        cases = tuple(case for case in cases if args.only in case.title)
    archive = ScriptedArchive(args.origin)
    await archive.start()
    try:
        if args.target:
            host, _, port = args.target.rpartition(":")
            results = await run(cases, (host, int(port)), archive, PLATFORM_FIELDS, args.at_once, args.json)
        else:
            from standins.conformance.proxy_process import ProxyProcess

            with tempfile.TemporaryDirectory() as folder:
                async with ProxyProcess(archive, Path(folder)) as proxy:
                    results = await run(
                        cases, ("127.0.0.1", proxy.port), archive, PLATFORM_FIELDS, args.at_once, args.json
                    )
    finally:
        archive.stop()
    return summary(results)


def main() -> int:
    parser = argparse.ArgumentParser("standins.conformance", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--target", metavar="HOST:PORT", help="the proxy to test; default: start one")
    parser.add_argument(
        "--origin", type=int, default=0, metavar="PORT", help="port of the archive; 0: a free one"
    )
    parser.add_argument("--cases", default="tests.caching.conformance", help="module that defines CASES")
    parser.add_argument("--only", default="", help="run only cases whose title contains this")
    parser.add_argument("--at-once", type=int, default=16)
    parser.add_argument("--json", action="store_true", help="print only the JSON report")
    args = parser.parse_args()
    try:
        report = asyncio.run(run_command(args))
    except (OSError, ModuleNotFoundError, RunFailed) as error:
        print(f"standins.conformance: {error}", file=sys.stderr)
        return 2
    if not args.json:
        print(table(report))
        for fault in report["faults"]:
            print("  " + fault)
    print(json.dumps(report))
    return 1 if report["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
