"""Tests that every difference from the rules of `hishel` on generated pairs is explained."""

from __future__ import annotations

from dataclasses import replace

import pytest

from magpiefront.caching import rules
from tests.caching import hishel_comparison


def test_every_difference_is_explained() -> None:
    found, unexplained = hishel_comparison.compare(seed=1, count=20_000)
    assert unexplained == []
    assert found["agree"] > 10_000 and found["differ"] > 2_000
    assert sum(n > 50 for n in found.values()) >= 12  # the pairs cover the explanations


@pytest.mark.parametrize(
    ("method", "replacement"),
    [
        ("reason_not_storable", lambda self, request, policy: None),
        ("lifetime_s", lambda self, policy: 60),
        ("initial_age_us", lambda self, delay: 0),
    ],
)
def test_a_broken_rule_causes_unexplained_differences(
    method: str, replacement: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(rules.OriginResponse, method, replacement)
    _, unexplained = hishel_comparison.compare(seed=2, count=2_000)
    assert unexplained


def test_an_explanation_removes_only_its_own_fields() -> None:
    p = next(hishel_comparison.generate(3, 1))
    p = replace(p, response_fields=(("Cache-Control", "max-age=60, must-understand"), ("Age", "x")))
    stripped = {label: strip(p) for _, label, strip in hishel_comparison.EXPLAINED}
    assert stripped["must-understand"].response_fields == (("Cache-Control", "max-age=60"), ("Age", "x"))
    assert stripped["Age"].response_fields == (("Cache-Control", "max-age=60, must-understand"),)
