"""What must hold of a world's requests and effects, and what does not. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from standins.client import CUT, Ask

SERVED = 200
REFUSED = (429, 503)


def faults(
    asks: Iterable[Ask], effects: Iterable[Mapping[str, int]], strays: Iterable[bytes], slack_s: float,
    homes: Mapping[str, str] | None = None,
) -> list[str]:  # fmt: skip
    """One line for each broken rule. `effects` are the archives' counts, `homes` the site of each key where a
    request asked at its own site must be served whatever the link does."""
    found: list[str] = []
    total: Counter[str] = Counter()
    for counted in effects:
        total.update(counted)
    asked = list(asks)
    of_effect: dict[str, list[Ask]] = {}
    for a in asked:
        what = f"{a.name} ({a.kind} at {a.site})"
        if len(a.answers) != 1:
            found.append(f"{what}: {len(a.answers)} answers; {a.ended or 'still open'}")
            continue
        status, _, body, _ = a.answers[0]
        if status == CUT and "~" not in a.key:
            found.append(f"{what}: a short answer broke off in its body")
        if a.took > a.deadline_s + slack_s:
            found.append(f"{what}: answered {a.took - a.deadline_s:.3f} s after its time")
        if status == SERVED and a.key not in body.decode("latin-1"):
            found.append(f"{what}: answered with {body[:40]!r}")
        if status == SERVED and not a.effect and not body.rstrip(b".").endswith(a.name.encode()):
            found.append(f"{what}: answered with what was made for another: {body[:60]!r}")
        if homes is not None and homes.get(a.key) == a.site and status != SERVED:
            found.append(f"{what}: asked at its own site, and answered {status}")
        if a.effect:
            of_effect.setdefault(a.effect, []).append(a)
    for effect, tries in of_effect.items():
        count = total.pop(effect, 0)
        if count > 1:
            found.append(f"{effect}: {count} effects")
        if count == 0 and any(t.status == SERVED for t in tries):
            found.append(f"{effect}: confirmed, and has no effect")
        if count and not tries[0].once and tries[0].status in REFUSED:
            found.append(f"{effect}: refused as never run, and has an effect")
    found += [f"{effect}: an effect that nobody asked for" for effect in total]
    found += [f"a second answer: {s[:60]!r}" for s in strays]
    return found
