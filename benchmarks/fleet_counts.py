"""Counts the events in the traces of all proxies of a fleet: `python -m benchmarks.fleet_counts FOLDER`.

FOLDER contains one log for each proxy. Each line of a log begins with the time in seconds; the lines of
`magpiefront.net.trace`, which the proxies write with LB_TRACE=1, have a `#` after it. Prints a row for each
second (or each `--every` seconds), or one JSON object with `--json`. The last row has the totals per request.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

COLUMNS = (
    "taken", "sends", "copies", "repeats", "trials", "cold", "probes", "connects", "connects failed",
    "closed", "lists", "entries", "calls", "refused at gate", "refused later", "suspects", "full",
    "error", "timeout", "reset", "connect_failed",
)  # fmt: skip
COUNTED_BY_LETTER = {"p": "probes", "d": "closed", "w": "calls"}


class NoTraceError(Exception):
    """The folder has no log with a trace."""


def count_line(words: list[str], row: Counter[str]) -> None:
    """Adds one trace line to the counts of its interval. `words`: its words from the event's letter on."""
    match words:
        case ["a", *_]:
            row["taken"] += 1
        case ["s", _, attempt, _, marks, *_]:
            row["sends"] += 1
            row["copies"] += "2" in marks
            row["repeats"] += attempt != "0" and "2" not in marks
            row["trials"] += "t" in marks
            row["cold"] += "c" in marks
        case ["e", _, _, _, outcome, *_]:
            row[outcome] += 1
        case ["x", _, _, phase]:
            row["refused at gate" if phase == "gate" else "refused later"] += 1
        case ["c", _, word, *_]:
            row["connects"] += 1
            row["connects failed"] += word != "ok"
        case ["l", _, entries]:
            row["lists"] += 1
            row["entries"] += int(entries)
        case ["n", "suspect", *_]:
            row["suspects"] += 1
        case [letter, *_] if letter in COUNTED_BY_LETTER:
            row[COUNTED_BY_LETTER[letter]] += 1


def trace_lines(folder: Path) -> Iterator[tuple[float, str, list[str]]]:
    """Yields each line of the traces: time (s), proxy, and its words from the event's letter on. Raises
    NoTraceError and OSError."""
    found = False
    for path in sorted(folder.glob("*.log")):
        with path.open(errors="replace") as lines:
            for line in lines:
                words = line.split()
                if len(words) > 2 and words[1] == "#":
                    try:
                        time_s = float(words[0])
                    except ValueError:
                        continue
                    found = True
                    yield time_s, path.stem, words[2:]
    if not found:
        raise NoTraceError(f"{folder}: no log contains a trace; start the proxies with LB_TRACE=1")


def count(folder: Path, interval_s: float) -> dict[float, Counter[str]]:
    """Returns the counts by the start of their interval (s). Raises NoTraceError and OSError."""
    rows: dict[float, Counter[str]] = defaultdict(Counter)
    for time_s, _, words in trace_lines(folder):
        with suppress(ValueError):  # the last line of a proxy that was killed may be cut off
            count_line(words, rows[time_s // interval_s * interval_s])
    return dict(sorted(rows.items()))


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser("fleet_counts", description=__doc__.partition("\n")[0])
    parser.add_argument("folder", type=Path)
    parser.add_argument("--every", type=float, default=1.0, metavar="S", help="seconds per row")
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args(arguments)
    if not args.every > 0:
        parser.error("--every must be above 0")
    try:
        rows = count(args.folder, args.every)
    except (NoTraceError, OSError) as e:
        print(f"fleet_counts: {e}", file=sys.stderr)
        return 2
    total: Counter[str] = sum(rows.values(), Counter())
    per_request = {c: total[c] / max(1, total["taken"]) for c in COLUMNS}
    if args.json:
        print(
            json.dumps(
                {
                    "rows": {str(start_s): dict(row) for start_s, row in rows.items()},
                    "for_each_request": per_request,
                }
            )
        )
        return 0
    print("     s " + " ".join(f"{c[-9:]:>9}" for c in COLUMNS))
    for start_s, row in rows.items():
        print(f"{start_s:6.1f} " + " ".join(f"{row[c]:9d}" for c in COLUMNS))
    print("  each " + " ".join(f"{per_request[c]:9.3f}" for c in COLUMNS))
    return 0


if __name__ == "__main__":
    sys.exit(main())
