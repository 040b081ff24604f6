"""Writes variants of a site: other names, shares, limits, deadlines, costs and repeat classes.

    python benchmarks/site_variants.py [--site ../given/kit/sites/NAME.toml] [--into deploy/sites]

A program that looks something up by a fixed name, or assumes a unit, a class or a repeat window, works on one
site and fails on another. The variants are written to a folder that Git ignores, with the files that a site
file needs in its folder. The last line of the output is JSON: the files written.
"""

from __future__ import annotations

import argparse
import copy
import json
import shutil
import sys
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import tomli_w

Site = dict[str, Any]
COMPANION_FILES = ("real.json", "wire.json", "unlock.txt")
ROOT = Path(__file__).resolve().parent.parent


class MissingInput(Exception):
    """A file that the variants are made from does not exist or cannot be read. The message is one line."""


def make_unrepeatable(site: Site) -> None:
    """Makes reports run at most once. Attempts cannot be cancelled, and no request may have two at a time."""
    read, report = site["class"]
    read.update(name="snow-depth", share=[0.6, 0.8], aim_ms=400, deadline_ms=900, worth=2, late_worth=0)
    report.update(
        name="avalanche-note", share=[0.1, 0.2], aim_ms=800, deadline_ms=1400, worth=9, effect="unsafe"
    )
    site["allow"].update(cancel=False, second_copies=False, max_attempts=3, retry_after=True)
    site["rules"].update(drain_grace_ms=800, fall_multiple=3, fall_ms=1000)
    site["prices"].update(waste=0.1, handshake=0.02, late_fail=0.04)
    site["tier"][0]["conn"].update(idle_s=20, connect_timeout_ms=180)
    for tenant, share in zip(site["tenant"], (0.4, 0.2, 0.15, 0.1, 0.1, 0.05), strict=True):
        tenant.update(name=f"district-{tenant['name'][::-1]}", share=share)


def make_polled(site: Site) -> None:
    """Makes discovery a polled service, lets reports repeat within a zone for a short time, and lets nodes
    report their load."""
    read, report = site["class"]
    read.update(name="q", share=[0.5, 0.7], aim_ms=500, deadline_ms=1200, worth=1, late_worth=0.5)
    report.update(
        name="entry.v2", share=[0.2, 0.3], aim_ms=900, deadline_ms=2400, worth=3, late_worth=0,
        effect="keyed", group="zone", window_ms=700,
    )  # fmt: skip
    site["discovery"].update(mode="ask", timeout_ms=1500)
    site["allow"].update(probes=False, max_attempts=4, max_open=5000)
    site["rules"].update(drain_grace_ms=1000, fall_multiple=2, fall_ms=2500)
    site["tier"][0]["weights"] = "nominal"
    site["tier"][0]["report"].update(how="answers", fields=["inflight", "util"])
    site["tier"][0]["conn"]["idle_s"] = 8
    site["clients"]["marks_retry"] = True
    site["tenant"] = [{"name": "everyone", "share": 1.0, "usage": [0.8, 1.2]}]


VARIANTS: dict[str, Callable[[Site], None]] = {"unrepeatable": make_unrepeatable, "asked": make_polled}


def read_site(path: Path) -> Site:
    """Parses a site file. Raises MissingInput if it or a companion file is missing or unreadable."""
    for required in (path, *(path.parent / name for name in COMPANION_FILES)):
        if not required.is_file():
            raise MissingInput(f"{required}: no such file; the variants of a site need it")
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as e:
        raise MissingInput(f"{path}: {e}") from None


def write_variants(path: Path, into: Path) -> list[Path]:
    """Writes each variant to its own folder and returns the site files. Raises MissingInput, and OSError if a
    file cannot be written."""
    site = read_site(path)
    written = []
    for name, change in VARIANTS.items():
        variant = copy.deepcopy(site)
        try:
            change(variant)
        except (KeyError, ValueError, IndexError, TypeError) as e:
            raise MissingInput(f"{path}: does not have the fields that the variants change: {e!r}") from None
        variant["name"] = f"{site['name']}-{name}"
        folder = into / name
        folder.mkdir(parents=True, exist_ok=True)
        for companion in COMPANION_FILES:
            shutil.copyfile(path.parent / companion, folder / companion)
        target = folder / f"{variant['name']}.toml"
        target.write_text(tomli_w.dumps(variant), encoding="utf-8")
        written.append(target)
    return written


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description="Writes variants of a site.")
    parser.add_argument("--site", type=Path, default=ROOT.parent / "given/kit/sites/tuul-flood-watch.toml")
    parser.add_argument("--into", type=Path, default=ROOT / "deploy/sites")
    args = parser.parse_args(arguments)
    try:
        written = write_variants(args.site, args.into)
    except MissingInput as e:
        print(f"site_variants: {e}", file=sys.stderr)
        return 2
    print(json.dumps({"written": [str(p) for p in written]}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
