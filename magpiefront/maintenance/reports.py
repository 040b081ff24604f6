"""Builds the report of one proxy on its cache nodes. Reads the Router and changes nothing."""

from __future__ import annotations

from collections.abc import Collection
from heapq import nlargest

from magpiefront.router import HOMES_PER_MEAN_LOAD, Router
from magpiefront.hashing import bytes_hash
from magpiefront.interface import Status
from magpiefront.maintenance.state_machine import ProxyReport

MIN_GATE_SHARE = 0.9  # an admission gate that admits a smaller share of the requests is reported
MAX_POPULAR_KEYS = 16  # in one report
MIN_READS = 20  # a node with fewer reads has no hit ratio yet
WARM_FRACTION = 0.8  # a node is warm if its hit ratio is at least this fraction of the others' median
DECAY_FACTOR = 0.5  # by which the weight of all earlier reads is multiplied at the end of each period


class HitRatios:
    """Reads and cache hits of each node. Reads of earlier periods have less weight."""

    def __init__(self) -> None:
        self.reads: dict[str, list[float]] = {}

    def count(self, node: str, hit: bool) -> None:
        found = self.reads.setdefault(node, [0.0, 0.0])
        found[0] += 1
        found[1] += hit

    def forget(self, node: str) -> None:
        self.reads.pop(node, None)

    def decay(self) -> None:
        """Ends a period: reduces the weight of all reads so far, and drops nodes that are hardly read."""
        self.reads = {
            n: [all_ * DECAY_FACTOR, hits * DECAY_FACTOR]
            for n, (all_, hits) in self.reads.items() if all_ > 0.5
        }  # fmt: skip

    def below_median(self, nodes: Collection[str]) -> set[str]:
        """Returns those of `nodes` whose hit ratio is below `WARM_FRACTION` of the median of all other nodes.
        Nodes with fewer than `MIN_READS` reads are ignored."""
        ratios = {n: hits / all_ for n, (all_, hits) in self.reads.items() if all_ >= MIN_READS}
        others = sorted(ratio for n, ratio in ratios.items() if n not in nodes)
        if not others:
            return set()
        threshold = WARM_FRACTION * others[len(others) // 2]
        return {n for n in nodes if n in ratios and ratios[n] < threshold}


def popular_keys(router: Router) -> tuple[tuple[int, int], ...]:
    """Returns the keys that the Router reads at several homes, with the number of requests for each. If there
    are more than `MAX_POPULAR_KEYS`, returns the most requested ones."""
    counts = {**router.previous_key_counts}
    for key, n in router.key_counts.items():
        counts[key] = counts.get(key, 0) + n
    threshold = max(
        2.0,
        (router.counted_requests + router.previous_counted_requests)
        / (HOMES_PER_MEAN_LOAD * max(1, len(router.servers))),
    )
    found = nlargest(MAX_POPULAR_KEYS, ((n, key) for key, n in counts.items() if n >= threshold))
    return tuple(sorted((key, n) for n, key in found))


def listed_hash(router: Router) -> int:
    """Returns a hash of the discovery list. Proxies with different hashes hold different lists."""
    text = " ".join(f"{n}={e.status.value}@{e.zone}" for n, e in sorted(router.listed.items()))
    return bytes_hash(text.encode()) >> 1


def proxy_blocking_reason(router: Router, watches_discovery: bool) -> str:
    """Returns why this proxy wants no machine at all to leave now, or "". Operators read this text."""
    if watches_discovery and not router.watching:
        return "it receives no updates from discovery"
    for gate, target in ((router.server_gate, "the nodes"), (router.origin_gate, "the archive")):
        if gate.share < MIN_GATE_SHARE:
            return f"its gate in front of {target} lets {gate.share:.0%} in"
    return ""


def build_report(
    router: Router, now_us: int, load: float, fleet: Collection[str], by_hand: Collection[str],
    excluded: Collection[str], hit_ratios: HitRatios, returning: Collection[str],
    watches_discovery: bool = True,
) -> ProxyReport:  # fmt: skip
    """Builds a report on the nodes in `fleet`. `load` is the mean number of requests in progress; `by_hand`
    holds nodes that an operator has excluded at this proxy; `excluded` holds nodes of machines under
    maintenance, which this proxy does not observe; `returning` holds nodes that have just come back, which
    are reported as cold while their hit ratio is low."""
    failing, cold, keys = [], hit_ratios.below_median(returning), popular_keys(router)
    for name in fleet:
        if name in excluded or name in by_hand:
            continue
        server, entry = router.servers.get(name), router.listed.get(name)
        if server is None or server.suspect or entry is None or entry.status is not Status.READY:
            failing.append(name)
        elif server.warm_at > now_us:
            cold.add(name)
    return ProxyReport(
        reason=proxy_blocking_reason(router, watches_discovery), load=round(load, 2),
        list_hash=listed_hash(router), failing=tuple(sorted(failing)), cold=tuple(sorted(cold)),
        by_hand=tuple(sorted(n for n in by_hand if n in fleet)), popular=tuple(key for key, _ in keys),
        popular_counts=tuple(n for _, n in keys),
        read_count=router.counted_requests + router.previous_counted_requests,
    )  # fmt: skip
