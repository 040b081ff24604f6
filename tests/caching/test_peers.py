"""The rules beside `hishel`'s on generated pairs: every difference has its section."""

from __future__ import annotations

from dataclasses import replace

import pytest

from magpiefront.caching import rules
from tests.caching import peers


def test_every_difference_is_explained_by_a_section() -> None:
    found, odd = peers.compare(seed=1, count=20_000)
    assert odd == []
    assert found["agree"] > 10_000 and found["differ"] > 2_000
    assert sum(n > 50 for n in found.values()) >= 12  # the pairs reach each of the explanations


@pytest.mark.parametrize(
    ("what", "blind"),
    [
        ("storable", lambda self, asked, policy: None),
        ("lifetime_s", lambda self, policy: 60),
        ("initial_age_us", lambda self, delay: 0),
    ],
)
def test_a_rule_that_is_broken_leaves_differences_that_nothing_explains(
    what: str, blind: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(rules.Answered, what, blind)
    _, odd = peers.compare(seed=2, count=2_000)
    assert odd


def test_an_explanation_takes_out_only_what_it_names() -> None:
    p = next(peers.generate(3, 1))
    p = replace(p, answered=(("Cache-Control", "max-age=60, must-understand"), ("Age", "x")))
    bare = {what: strip(p) for _, what, strip in peers.EXPLAINED}
    assert bare["must-understand"].answered == (("Cache-Control", "max-age=60"), ("Age", "x"))
    assert bare["Age"].answered == (("Cache-Control", "max-age=60, must-understand"),)
