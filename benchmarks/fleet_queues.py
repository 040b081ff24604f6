"""Shows whether requests queue at the nodes or behind them.

    python -m benchmarks.fleet_queues FOLDER [--aim 0.75] [--json]

Reads the same logs as `fleet_counts`. No single proxy sees how many attempts all of them have in flight at a
node. This program counts them, and puts each attempt that ended in the row for the number of attempts that
were in flight at its node when it was sent. A fetch that is slow at a node with few attempts in flight has
waited behind the node; a fetch that is slow at a full node has waited in the queue of the node.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from benchmarks.fleet_counts import NoTraceError, trace_lines

QUEUE_STEPS = (0, 3, 6, 12, 20, 40)  # lower bounds of the rows: attempts in flight at the node
HIT = 1  # note of an answer from the node's cache; the notes of fetches are higher


@dataclass(frozen=True)
class EndedAttempt:
    """An attempt that ended, as the traces show it."""

    in_flight: int  # at its node when it was sent: those of all proxies, without this one
    key: str
    outcome: str
    took_us: int
    note: int


def read_attempts(folder: Path) -> list[EndedAttempt]:
    """Returns each attempt that ended, in order. Raises NoTraceError and OSError."""
    keys, in_flight = dict[tuple[str, str], str](), Counter[str]()
    sent, ended = dict[tuple[str, str, str], int](), list[EndedAttempt]()
    for _, proxy, words in sorted(trace_lines(folder), key=lambda line: line[0]):
        match words:
            case ["a", request, _, key, *_]:
                keys[proxy, request] = key
            case ["s", request, attempt, node, *_]:
                sent[proxy, request, attempt] = in_flight[node]
                in_flight[node] += 1
            case ["e", request, attempt, node, outcome, took, note]:
                in_flight_before = sent.pop((proxy, request, attempt), None)
                if in_flight_before is not None:  # otherwise the log of its proxy begins after it was sent
                    in_flight[node] -= 1
                    ended.append(
                        EndedAttempt(
                            in_flight_before, keys.get((proxy, request), ""), outcome, int(took), int(note)
                        )
                    )
    return ended


def median_ms(times: list[int]) -> float:
    """Returns the median in milliseconds of times in microseconds, or 0 if there are none."""
    return sorted(times)[len(times) // 2] / 1000 if times else 0.0


def rows(attempts: list[EndedAttempt], aim_us: float, popular: int = 20) -> list[dict[str, float]]:
    """Returns a row for each step of QUEUE_STEPS: the number of attempts, the median time of hits and fetches
    (ms), the number of late and of failed attempts, and the share of attempts for the most popular keys."""
    top = {key for key, _ in Counter(a.key for a in attempts).most_common(popular)}
    table = []
    for lower, upper in zip(QUEUE_STEPS, (*QUEUE_STEPS[1:], 1 << 30), strict=True):
        in_step = [a for a in attempts if lower <= a.in_flight < upper]
        ok = [a for a in in_step if a.outcome == "ok"]
        table.append({
            "out": lower,
            "sends": len(in_step),
            "hit_ms": median_ms([a.took_us for a in ok if a.note == HIT]),
            "fetch_ms": median_ms([a.took_us for a in ok if a.note > HIT]),
            "late": sum(a.took_us > aim_us for a in ok),
            "gave_up": len(in_step) - len(ok),
            "popular": round(sum(a.key in top for a in in_step) / max(1, len(in_step)), 3),
        })  # fmt: skip
    return table


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser("fleet_queues", description=__doc__.partition("\n")[0])
    parser.add_argument("folder", type=Path)
    parser.add_argument(
        "--aim", type=float, default=0.75, metavar="S", help="an answer that takes longer is late"
    )
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args(arguments)
    if not args.aim > 0:
        parser.error("--aim must be above 0")
    try:
        table = rows(read_attempts(args.folder), args.aim * 1e6)
    except (NoTraceError, OSError) as e:
        print(f"fleet_queues: {e}", file=sys.stderr)
        return 2
    if args.json:
        print(json.dumps(table))
        return 0
    print(" ".join(f"{name:>9}" for name in table[0]))
    for row in table:
        print(" ".join(f"{value:9g}" for value in row.values()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
