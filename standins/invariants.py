"""Checks the rules that must hold for the requests of a run and their effects. Nothing here does I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from standins.client import TRUNCATED, ClientRequest

SERVED = 200
REFUSED = (429, 503)


def violations(
    requests: Iterable[ClientRequest], effects: Iterable[Mapping[str, int]], unsolicited: Iterable[bytes],
    slack_s: float, home_sites: Mapping[str, str] | None = None,
) -> list[str]:  # fmt: skip
    """Returns a line for each violated rule. `effects` holds the counts of each archive, and `unsolicited`
    what clients received without an open request. Answers may come up to `slack_s` after their deadline.
    `home_sites` gives the home site of some keys: a request for one of them that is sent to its home site
    must be served whatever the state of the link."""
    violated: list[str] = []
    effect_counts: Counter[str] = Counter()
    for archive_effects in effects:
        effect_counts.update(archive_effects)
    all_requests = list(requests)
    by_effect: dict[str, list[ClientRequest]] = {}
    for request in all_requests:
        described = f"{request.name} ({request.kind} at {request.site})"
        if len(request.answers) != 1:
            violated.append(f"{described}: {len(request.answers)} answers; {request.failure or 'still open'}")
            continue
        status, _, body, _ = request.answers[0]
        # Long answers, whose keys contain "~", may end within the body.
        if status == TRUNCATED and "~" not in request.key:
            violated.append(f"{described}: a short answer broke off in its body")
        if request.latency_s > request.deadline_s + slack_s:
            violated.append(
                f"{described}: answered {request.latency_s - request.deadline_s:.3f} s after its deadline"
            )
        if status == SERVED and request.key not in body.decode("latin-1"):
            violated.append(f"{described}: answered with {body[:40]!r}")
        if status == SERVED and not request.effect and not body.rstrip(b".").endswith(request.name.encode()):
            violated.append(f"{described}: got the answer for another request: {body[:60]!r}")
        if home_sites is not None and home_sites.get(request.key) == request.site and status != SERVED:
            violated.append(f"{described}: sent to its own site, and answered {status}")
        if request.effect:
            by_effect.setdefault(request.effect, []).append(request)
    for effect, attempts in by_effect.items():
        count = effect_counts.pop(effect, 0)
        if count > 1:
            violated.append(f"{effect}: {count} effects")
        if count == 0 and any(attempt.status == SERVED for attempt in attempts):
            violated.append(f"{effect}: confirmed, and has no effect")
        if count and not attempts[0].idempotency_key and attempts[0].status in REFUSED:
            violated.append(f"{effect}: refused as never run, and has an effect")
    violated += [f"{effect}: an effect without a request" for effect in effect_counts]
    violated += [f"a second answer: {data[:60]!r}" for data in unsolicited]
    return violated
