"""Tests `benchmarks/site_variants.py`, which writes variants of a site, with a site file of its own."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

from benchmarks.site_variants import COMPANION_FILES, VARIANTS, main

SITE = """
name = "valley"
clients = { marks_retry = false }
discovery = { mode = "push" }
allow = { cancel = true }
rules = { drain_grace_ms = 500 }
prices = { waste = 0.05 }
tier = [{ name = "nodes", conn = { idle_s = 60 }, report = { how = "none" } }]
class = [{ name = "read", effect = "safe" }, { name = "report", effect = "keyed" }]
tenant = [{ name = "a" }, { name = "b" }, { name = "c" }, { name = "d" }, { name = "e" }, { name = "f" }]
"""


def test_variants_differ_in_names_classes_and_limits_and_include_companion_files(tmp_path: Path) -> None:
    (tmp_path / "valley.toml").write_text(SITE)
    for name in COMPANION_FILES:
        (tmp_path / name).write_text(f"text of {name}")
    assert main(["--site", str(tmp_path / "valley.toml"), "--into", str(tmp_path / "into")]) == 0
    effects = set()
    for name in VARIANTS:
        folder = tmp_path / "into" / name
        assert all(
            (folder / companion).read_text() == f"text of {companion}" for companion in COMPANION_FILES
        )
        (path,) = folder.glob("*.toml")
        variant = tomllib.loads(path.read_text())
        assert {c["name"] for c in variant["class"]}.isdisjoint({"read", "report"})
        effects.add(variant["class"][1]["effect"] + variant["class"][1].get("group", ""))
    assert effects == {"unsafe", "keyedzone"}


@pytest.mark.parametrize("missing", ["valley.toml", *COMPANION_FILES])
def test_a_missing_input_is_reported_in_one_line(
    missing: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "valley.toml").write_text(SITE)
    for name in COMPANION_FILES:
        (tmp_path / name).write_text("")
    (tmp_path / missing).unlink()
    assert main(["--site", str(tmp_path / "valley.toml"), "--into", str(tmp_path / "into")]) == 2
    message = capsys.readouterr().err
    assert missing in message and message.count("\n") == 1
