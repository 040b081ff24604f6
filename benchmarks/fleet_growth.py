"""Measures what a proxy needs with 4 and 16 times as many nodes at the same traffic, limits and settings.

    python benchmarks/fleet_growth.py [--seconds 12] [--base 200] [--tree DIR] [--plot FILE]

Real processes with stand-in nodes (`standins/fleet.py`), one scenario after the other: `quiet` (no change),
`release` (1% of the list joins, drains and is removed every 0.6 s), `replaced` (60% within 7 s) and `whole`
(a release in which each change is sent as a complete list). Each row is compared with the growth limits that
the operators' page gives; a figure outside its limit is printed with that limit. `whole` has no limit for the
bytes of lists, since each of its changes sends a complete list. The last line of the output is JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from dataclasses import replace
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins.fleet import Load, Verdict, run_round
from standins.world import ROOT

SIZE_FACTORS = (1, 4, 16)
CHANGE_INTERVAL_S = 0.6
REPLACED_SHARE = 0.6 * CHANGE_INTERVAL_S / 7
SCENARIOS = {
    "quiet": Load(every_s=1e6),
    "release": Load(share=0.01),
    "replaced": Load(share=REPLACED_SHARE),
    "whole": Load(share=0.01, resets=True),
}
FIGURES = ("cpu_s", "peak_mb", "descriptors", "connections", "list_bytes", "share_served")


def limits(base: Verdict, thousands_of_nodes: float) -> dict[str, float]:
    """Returns the limit of each figure, given the verdict of the smallest fleet. All are upper limits, except
    that of the share served."""
    return {
        "cpu_s": 1.4 * base.cpu_s + 0.02 + 0.12 * thousands_of_nodes,
        "peak_mb": 1.5 * base.peak_mb + 8 + 4 * thousands_of_nodes,
        "descriptors": 2 * base.descriptors + 40,
        "connections": 2.5 * base.connections + 40,
        "list_bytes": 2 * base.list_bytes + 64e3 + 500e3 * thousands_of_nodes,
        "share_served": 0.85 * base.share_served,
    }


def within_limit(scenario: str, figure: str, value: float, limit: float) -> bool:
    if figure == "list_bytes" and scenario == "whole":
        return True
    return value >= limit if figure == "share_served" else value <= limit


async def measure(scenario: str, args: argparse.Namespace) -> list[dict[str, object]]:
    rows: list[dict[str, object]] = []
    base: Verdict | None = None
    for factor in SIZE_FACTORS:
        load = replace(SCENARIOS[scenario], nodes=args.base * factor, seconds=args.seconds, seed=factor)
        verdict = await run_round(load, args.tree.resolve())
        base = base or verdict
        row_limits = limits(base, load.nodes / 1000)
        row: dict[str, object] = {"day": scenario, "nodes": load.nodes, "broken": len(verdict.violations)}
        for figure in FIGURES:
            value = float(getattr(verdict, figure))
            row[figure] = round(value, 3)
            if not within_limit(scenario, figure, value, row_limits[figure]):
                row[f"{figure}_limit"] = round(row_limits[figure], 3)
        rows.append(row)
        print(json.dumps(row), flush=True)
    return rows


def plot(rows: list[dict[str, object]], path: Path) -> None:
    import matplotlib  # type: ignore[import-not-found]

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.5))
    for axis, name, unit in zip(axes, ("cpu_s", "peak_mb"), ("CPU (s)", "peak memory (MB)"), strict=True):
        for scenario in SCENARIOS:
            scenario_rows = [row for row in rows if row["day"] == scenario]
            axis.plot(
                [row["nodes"] for row in scenario_rows],
                [row[name] for row in scenario_rows],
                marker="o",
                label=scenario,
            )
        axis.set_xlabel("nodes")
        axis.set_ylabel(unit)
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--base", type=int, default=200)
    parser.add_argument("--tree", type=Path, default=ROOT)
    parser.add_argument("--plot", type=Path, default=None)
    args = parser.parse_args()
    rows = [row for scenario in SCENARIOS for row in asyncio.run(measure(scenario, args))]
    if args.plot is not None:
        plot(rows, args.plot)
    print(json.dumps({"rows": rows}))


if __name__ == "__main__":
    main()
