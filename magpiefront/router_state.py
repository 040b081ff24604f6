"""Exports a Router's state and imports it into the Router that replaces it in the next process of an upgrade:
health, warm-up, gates, retry budget, answer times and the keys seen.

Times are stored relative to now, because the clocks of two processes need not agree. A state is validated as
a whole before any of it is applied; an invalid one is rejected, since guessing would be worse than a fresh
start.
"""

from __future__ import annotations

from math import isfinite
from typing import Any

from magpiefront.router import MAX_RETRY_BUDGET, MIN_ADMITTED_SHARE, MIN_TRAFFIC_SHARE, Router

VERSION = 1
State = dict[str, Any]
# One hour: the longest wait, latency or time from now that an imported state may hold.
MAX_TIME_US = 3_600_000_000
MAX_START_US = 1 << 62  # the latest start of a server, in microseconds of Unix time


class InvalidState(Exception):
    """The state does not have the expected form."""


def export_state(router: Router, now_us: int) -> State:
    """Returns the state for the next Router, as JSON-compatible values. The next Router gets half of the
    retry budget and this one keeps the other half, so that together they send no more retries than one would.
    Half is enough here, because this Router only has to finish the requests that it already has."""
    router.retry_budget /= 2
    return {
        "version": VERSION,
        "banned": sorted(router.excluded),
        "servers": {
            server.name: [
                server.warm_at - now_us, server.traffic_share, server.failures, server.suspect, server.down,
                server.trial_backoff_us, server.trial_at - now_us,
            ]
            for server in router.servers.values()
        },
        "starts": {server.name: server.started_at for server in router.servers.values()},
        "gates": [[gate.share, gate.bad_share, gate.baseline]
                  for gate in (router.server_gate, router.origin_gate)],
        "budget": router.retry_budget, "trouble": router.fleet_bad_share,
        "pace": {name: list(pace) for name, pace in router.hit_latency.items()},
        "heat": [[list(counts.items()), total] for counts, total in
                 ((router.key_counts, router.counted_requests),
                  (router.previous_key_counts, router.previous_counted_requests))],
        "kept": [list(router.cached_keys), list(router.previous_cached_keys)],
    }  # fmt: skip


def checked_number(value: Any, low: float, high: float) -> float:
    """Returns a finite number within bounds. Raises InvalidState."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
        raise InvalidState
    if not low <= value <= high:
        raise InvalidState
    return float(value)


def checked_int(value: Any, low: int, high: int) -> int:
    """Returns an integer within bounds. Raises InvalidState."""
    if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
        raise InvalidState
    return int(value)


def checked_bool(value: Any) -> bool:
    """Returns a boolean. Raises InvalidState."""
    if not isinstance(value, bool):
        raise InvalidState
    return value


def checked_key(value: Any) -> int:
    """Returns the 64-bit hash of a key. Raises InvalidState."""
    return checked_int(value, 0, (1 << 64) - 1)


def import_state(router: Router, state: Any, now_us: int) -> None:
    """Applies an exported state. The state of servers that this Router does not have, or of
    an earlier start of them, is ignored. Raises InvalidState; the Router is unchanged then."""
    try:
        if state["version"] != VERSION:
            raise InvalidState
        excluded = [name for name in state["banned"] if isinstance(name, str)]
        starts = {
            str(name): checked_int(started_at, 0, MAX_START_US)
            for name, started_at in state.get("starts", {}).items()
        }
        servers = {
            str(name): (
                checked_int(warm_in_us, -MAX_TIME_US * 10_000_000, MAX_TIME_US),
                checked_number(traffic_share, MIN_TRAFFIC_SHARE, 1.0), checked_int(failures, 0, 1 << 40),
                checked_bool(suspect), checked_bool(down), checked_int(trial_backoff_us, 0, MAX_TIME_US),
                checked_int(trial_in_us, -MAX_TIME_US * 10_000_000, MAX_TIME_US),
            )
            for name, (warm_in_us, traffic_share, failures, suspect, down, trial_backoff_us, trial_in_us)
            in state["servers"].items()
        }  # fmt: skip
        server_gate, origin_gate = (
            (
                checked_number(share, MIN_ADMITTED_SHARE, 1.0),
                checked_number(bad_share, 0.0, 1.0),
                checked_number(baseline, 0.0, 1.0),
            )
            for share, bad_share, baseline in state["gates"]
        )
        retry_budget, fleet_bad_share = (
            checked_number(state["budget"], -1.0, MAX_RETRY_BUDGET),
            checked_number(state["trouble"], 0.0, 1.0),
        )
        hit_latency = {
            str(name): [checked_number(mean, 0, MAX_TIME_US), checked_number(deviation, 0, MAX_TIME_US)]
            for name, (mean, deviation) in state["pace"].items()
        }
        key_counts = [
            (
                {checked_key(key): checked_int(count, 0, 1 << 40) for key, count in pairs},
                checked_int(requests, 0, 1 << 40),
            )
            for pairs, requests in state["heat"]
        ]
        (counts, total), (previous_counts, previous_total) = key_counts
        cached_keys, previous_cached_keys = ({checked_key(key) for key in keys} for keys in state["kept"])
    except (KeyError, TypeError, ValueError, AttributeError, IndexError):
        raise InvalidState from None
    if len(excluded) != len(state["banned"]):
        raise InvalidState
    router.exclude(excluded)
    for server in router.servers.values():
        # An older process does not say of which start of the server it knows.
        if server.name in servers and starts.get(server.name, server.started_at) == server.started_at:
            (
                warm_in_us, server.traffic_share, failures, suspect, down, trial_backoff_us, trial_in_us,
            ) = servers[server.name]  # fmt: skip
            router.set_failures(server, failures)
            server.warm_at = max(server.warm_at, now_us + warm_in_us)
            if suspect:
                server.suspect, server.down, server.trial_backoff_us = True, down, trial_backoff_us
                server.trial_at, server.suspect_since = now_us + trial_in_us, now_us
                router.suspect_count += 1
                router.suspect_slots += server.slots
    for gate, (share, bad_share, baseline) in (
        (router.server_gate, server_gate),
        (router.origin_gate, origin_gate),
    ):
        gate.share, gate.bad_share, gate.baseline = share, bad_share, baseline
    router.retry_budget, router.fleet_bad_share = retry_budget, fleet_bad_share
    router.hit_latency.update(
        {name: value for name, value in hit_latency.items() if name in router.hit_latency}
    )
    (
        router.key_counts,
        router.counted_requests,
        router.previous_key_counts,
        router.previous_counted_requests,
    ) = counts, total, previous_counts, previous_total
    router.cached_keys, router.previous_cached_keys = cached_keys, previous_cached_keys
