"""Measures the cache: CPU time of hits, hit ratios, memory, and the time of its rules compared with hishel's.

    python benchmarks/caching.py [--rounds 20] [--requests 1600] [--cpu 0] [--parts hits,memory]

`hits`: the CPU time per request, and the requests per second with 8 clients, of a bare forwarder (the floor
of benchmarks/floor.py), the proxy without the cache, a proxy that forwards all requests (nodes answer with
no-store), and a proxy that answers from its store. Their rounds against stand-in nodes alternate.
`eviction`: the hit ratios of LRU, W-TinyLFU and the store's S3-FIFO on Zipf traces with and without scans.
`memory`: the growth of a process, compared with the size that the store reports. `rules`: the time of one
decision on a stored response. Ratios are medians over the rounds of one run. The last line is JSON.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter, OrderedDict
from collections.abc import Callable
from itertools import accumulate
from pathlib import Path
from random import Random
from typing import Any

import uvloop

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks import floor
from magpiefront.caching.rules import US_PER_S, StoredResponse
from magpiefront.caching.store import Store

HERE = Path(__file__).resolve()
FIELDS = 'Date: {date}\r\nContent-Type: text/plain\r\nETag: "v1"\r\nCache-Control: {control}\r\n'
OPERATOR = '[site]\nname = "west"\n[caching]\n'
VARIANTS = ("floor", "proxy", "forwarded", "hit")


# ---- hits


def node_of(control: str) -> type[floor.Node]:
    """Returns a class of nodes whose answers have this Cache-Control field."""
    from email.utils import formatdate

    fields = FIELDS.format(date=formatdate(usegmt=True), control=control).encode()
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nSrv-Cache: hit\r\n" % len(floor.BODY)
    answer = head + fields + b"\r\n" + floor.BODY

    class Node(floor.Node):
        def data_received(self, data: bytes) -> None:
            for _ in range(data.count(b"\r\n\r\n")):
                self.transport.write(answer)

    return Node


async def measure_hits(rounds: int, requests: int, cpu: int) -> dict[str, Any]:
    os.sched_setaffinity(0, {cpu + 1})
    cpu_us: dict[str, list[float]] = {p: [] for p in VARIANTS}
    rates: dict[str, list[float]] = {p: [] for p in VARIANTS}
    started: list[subprocess.Popen[str]] = []
    with tempfile.TemporaryDirectory() as temporary_path:
        folder = Path(temporary_path)
        (folder / "operator.toml").write_text(OPERATOR)
        operator = ("--operator", str(folder / "operator.toml"))
        try:
            ports = {}
            for control in ("no-store", "max-age=86400"):
                node = floor.start_pinned([sys.executable, str(HERE), "--node", control], cpu + 1)
                started.append(node)
                assert node.stdout is not None
                ports[control] = int(node.stdout.readline())
            bare = floor.start_pinned(
                [sys.executable, str(floor.HERE), "--bare", str(ports["no-store"])], cpu
            )
            started.append(bare)
            assert bare.stdout is not None
            variants = {
                "floor": (bare, int(bare.stdout.readline())),
                "proxy": floor.start_proxy(floor.ROOT, ports["no-store"], cpu, folder, "proxy"),
                "forwarded": floor.start_proxy(
                    floor.ROOT, ports["no-store"], cpu, folder, "forwarded", operator
                ),
                "hit": floor.start_proxy(floor.ROOT, ports["max-age=86400"], cpu, folder, "hit", operator),
            }
            for variant in VARIANTS[1:]:
                started.append(variants[variant][0])
                await floor.until_ready(variants[variant][1])
            for round_number in range(rounds + 2):
                for variant in VARIANTS if round_number % 2 else reversed(VARIANTS):
                    process, port = variants[variant]
                    before, begin = floor.cpu_s(process.pid), time.perf_counter()
                    await floor.run_load(port, requests)
                    used_us = (floor.cpu_s(process.pid) - before) / requests * 1e6
                    if round_number >= 2:  # the first rounds open connections and fill the store
                        cpu_us[variant].append(used_us)
                        rates[variant].append(requests / (time.perf_counter() - begin))
                print(
                    f"hits: round {round_number + 1} of {rounds + 2}", end="\r", file=sys.stderr, flush=True
                )
        finally:
            for p in started:
                p.terminate()
            for p in started:
                p.wait()
    result: dict[str, Any] = {}
    for variant in VARIANTS:
        ratio = [a / b for a, b in zip(cpu_us[variant], cpu_us["floor"], strict=True)]
        result[variant] = {"cpu_us": round(statistics.median(cpu_us[variant]), 1),
                           "of_the_floor": round(statistics.median(ratio), 2),
                           "a_second": round(statistics.median(rates[variant]))}  # fmt: skip
    cpu_ratios = [a / b for a, b in zip(cpu_us["hit"], cpu_us["forwarded"], strict=True)]
    result["hit"]["of_a_forwarded_read"] = round(statistics.median(cpu_ratios), 3)
    return result


# ---- eviction


class Lru:
    """Least recently used."""

    def __init__(self, capacity: int) -> None:
        self.capacity, self.entries = capacity, OrderedDict[int, None]()

    def use(self, key: int) -> bool:
        if key in self.entries:
            self.entries.move_to_end(key)
            return True
        self.entries[key] = None
        if len(self.entries) > self.capacity:
            self.entries.popitem(last=False)
        return False


class TinyLfu:
    """W-TinyLFU (Einziger et al., 2017) with a window of 1% and a segmented main part. It counts uses exactly
    and not with a sketch, which favours it. Counts are halved when the uses reach ten times its capacity."""

    def __init__(self, capacity: int) -> None:
        self.window_capacity = max(1, capacity // 100)
        self.main_capacity = capacity - self.window_capacity
        self.window, self.probation, self.protected = (OrderedDict[int, None]() for _ in range(3))
        self.counts: Counter[int] = Counter()
        self.use_count, self.halving_period = 0, capacity * 10

    def use(self, key: int) -> bool:
        self.use_count += 1
        self.counts[key] = min(15, self.counts[key] + 1)
        if self.use_count >= self.halving_period:
            self.use_count //= 2
            self.counts = Counter({k: c // 2 for k, c in self.counts.items() if c > 1})
        if key in self.window:
            self.window.move_to_end(key)
            return True
        if key in self.protected:
            self.protected.move_to_end(key)
            return True
        if key in self.probation:
            del self.probation[key]
            self.protected[key] = None
            if len(self.protected) > self.main_capacity * 0.8:
                self.probation[self.protected.popitem(last=False)[0]] = None
            return True
        self.window[key] = None
        if len(self.window) > self.window_capacity:
            candidate = self.window.popitem(last=False)[0]
            if len(self.probation) + len(self.protected) < self.main_capacity:
                self.probation[candidate] = None
            else:
                victim = next(iter(self.probation)) if self.probation else next(iter(self.protected))
                if self.counts[candidate] > self.counts[victim]:
                    (self.probation if victim in self.probation else self.protected).pop(victim)
                    self.probation[candidate] = None
        return False


class S3Fifo:
    """The cache's own store, with objects of equal size."""

    def __init__(self, capacity: int) -> None:
        self.store = Store(1 << 62)
        for n in range(8):
            self.store.put(b"%16d" % n, b"%16d" % n, stored_response(100))
        entry_bytes = self.store.size // 8
        self.store.clear()
        self.store.max_bytes = entry_bytes * capacity

    def use(self, key: int) -> bool:
        store_key = b"%16d" % key
        if self.store.get(store_key) is not None:
            return True
        self.store.put(store_key, store_key, stored_response(100))
        return False


def stored_response(size: int, fill: bytes = b"x") -> StoredResponse:
    return StoredResponse(
        200, b"Date: Fri, 15 Jan 2027 08:00:00 GMT\r\n", fill * size, 0, 60 * US_PER_S, date_s=0, wall_s=0.0
    )


def make_trace(seed: int, keys: int, length: int, scans: bool, skew: float) -> list[int]:
    """Returns `length` uses of `keys` keys, Zipf-distributed with exponent `skew`. With scans, each run of
    5,000 uses is followed by 5,000 keys that are used only once, with a probability of one half."""
    random = Random(seed)
    weights = list(accumulate(1 / (n + 1) ** skew for n in range(keys)))
    shuffled_keys = list(range(keys))
    random.shuffle(shuffled_keys)
    trace: list[int] = []
    next_scan_key = keys
    while len(trace) < length:
        trace += [shuffled_keys[n] for n in random.choices(range(keys), cum_weights=weights, k=5_000)]
        if scans and random.random() < 0.5:
            trace += range(next_scan_key, next_scan_key + 5_000)
            next_scan_key += 5_000
    return trace[:length]


def measure_eviction(keys: int = 50_000, length: int = 300_000) -> list[dict[str, Any]]:
    rows = []
    for skew in (0.7, 0.9, 1.1):
        for scans in (False, True):
            trace = make_trace(7, keys, length, scans, skew)
            for size_share in (0.02, 0.1):
                row: dict[str, Any] = {"zipf": skew, "scans": scans, "size_of_keys": size_share}
                for policy_name, policy_class in (("lru", Lru), ("w_tinylfu", TinyLfu), ("s3_fifo", S3Fifo)):
                    policy: Any = policy_class(int(keys * size_share))
                    warm_up = length // 5
                    for key in trace[:warm_up]:
                        policy.use(key)
                    row[policy_name] = round(
                        sum(policy.use(k) for k in trace[warm_up:]) / (length - warm_up), 4
                    )
                rows.append(row)
                print(f"eviction: {len(rows)} of 12", end="\r", file=sys.stderr, flush=True)
    return rows


# ---- memory


def resident_bytes() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def measure_memory(bound: int, shape: str) -> dict[str, Any]:
    """Puts three times as many bytes into a store as it may hold (`bound`), so that evicted and replaced
    entries have fragmented the memory. All bodies differ. Returns the growth of this process in bytes, among
    others. Each measurement needs a process of its own."""
    random = Random(3)
    draw_size: Callable[[], int] = {
        "small": lambda: random.randrange(50, 400),
        "mixed": lambda: min(200_000, int(random.paretovariate(0.9) * 200)),
        "large": lambda: random.randrange(20_000, 200_000),
    }[shape]
    store = Store(bound)
    before = resident_bytes()
    stored_bytes, number = 0, 0
    while stored_bytes < bound * 3:
        number += 1
        size = draw_size()
        # Header fields and body are separate objects, as when they come from a connection.
        head = b'Date: Fri, 15 Jan 2027 08:00:00 GMT\r\nETag: "%d"\r\nCache-Control: max-age=60\r\n' % number
        response = StoredResponse(
            200, head, random.randbytes(size), number, 60 * US_PER_S + number,
            date_s=1_800_000_000 + number, wall_s=number + 0.5,
            etag=b'"%d"' % number, modified=b"Fri, 15 Jan 2027 07:%02d:00 GMT" % (number % 60),
        )  # fmt: skip
        key = b"api.internal /api/gauge-%d" % number
        store.put(key, b"gauge-%d" % number, response)
        if number % 3 == 0:
            store.get(b"api.internal /api/gauge-%d" % random.randrange(1, number + 1))
        stored_bytes += size + 500
    grown_bytes = resident_bytes() - before
    return {"shape": shape, "objects": len(store), "bound": bound, "held": store.size,
            "grown": grown_bytes, "grown_of_bound": round(grown_bytes / bound, 3)}  # fmt: skip


# ---- rules


def measure_decisions(count: int = 20_000, rounds: int = 7) -> dict[str, Any]:
    import hishel._core._spec as spec
    from hishel import Entry, Headers, Request, Response

    from magpiefront.caching import dates, rules
    from magpiefront.caching.settings import Policy

    policy = Policy()
    field_lines = [(b"Date", dates.render(int(time.time()))), (b"Cache-Control", b"max-age=3600"),
                   (b"ETag", b'"v1"'), (b"Vary", b"Accept"), (b"Content-Type", b"text/plain")]  # fmt: skip
    headers = {b"accept": b"text/plain", b"cache-control": b"max-age=600"}
    response_from_origin = rules.OriginResponse(200, field_lines, time.time(), policy)
    stored = rules.build_stored(
        response_from_origin, rules.CacheRequest(b"GET", headers), b"body", 0, 0, policy
    )
    assert stored is not None

    def decide_own() -> None:
        assert isinstance(
            rules.choose(rules.CacheRequest(b"GET", headers), (stored,), US_PER_S, policy), rules.Serve
        )

    import uuid

    request = Request("GET", "http://a/k", Headers({"accept": "text/plain", "cache-control": "max-age=600"}))
    response = Response(200, Headers({n.decode(): x.decode() for n, x in field_lines}))
    entry = Entry(uuid.UUID(int=1), request, response)

    def decide_hishel() -> None:
        assert isinstance(spec.IdleClient(options={"shared": True}).next(request, [entry]), spec.FromCache)

    times: dict[str, list[float]] = {"own": [], "hishel": []}
    for _ in range(rounds):
        for name, decide in (("own", decide_own), ("hishel", decide_hishel)):
            begin = time.perf_counter()
            for _ in range(count):
                decide()
            times[name].append((time.perf_counter() - begin) / count * 1e6)
    ratio = statistics.median(b / a for a, b in zip(times["own"], times["hishel"], strict=True))
    return {
        **{f"{n}_us": round(statistics.median(t), 2) for n, t in times.items()},
        "hishel_to_own": round(ratio, 1),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--rounds", type=int, default=20)
    parser.add_argument("--requests", type=int, default=1600)
    parser.add_argument(
        "--cpu", type=int, default=0, help="core of the measured process; the load uses the next one"
    )
    parser.add_argument("--parts", default="hits,eviction,memory,rules")
    parser.add_argument("--node", help=argparse.SUPPRESS)
    parser.add_argument("--memory", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.node:
        uvloop.run(floor.serve(node_of(args.node), 0))
        return
    if args.memory:
        print(json.dumps(measure_memory(64 << 20, args.memory)))
        return
    parts = args.parts.split(",")
    result: dict[str, Any] = {"benchmark": "caching"}
    if "hits" in parts:
        hits = result["hits"] = uvloop.run(measure_hits(args.rounds, args.requests, args.cpu))
        print(f"{'variant':12} {'CPU us a request':>18} {'of the floor':>14} {'a second':>10}")
        for variant in VARIANTS:
            figures = hits[variant]
            print(
                f"{variant:12} {figures['cpu_us']:18} {figures['of_the_floor']:14} {figures['a_second']:10}"
            )
    if "eviction" in parts:
        result["eviction"] = measure_eviction()
        print(f"{'zipf':>5} {'scans':>6} {'size':>5} {'lru':>8} {'w_tinylfu':>10} {'s3_fifo':>8}")
        for row in result["eviction"]:
            print(
                f"{row['zipf']:5} {row['scans']!s:>6} {row['size_of_keys']:5} {row['lru']:8} "
                f"{row['w_tinylfu']:10} {row['s3_fifo']:8}"
            )
    if "memory" in parts:
        result["memory"] = []
        for shape in ("small", "mixed", "large"):
            command = [sys.executable, str(HERE), "--memory", shape]
            done = subprocess.run(command, capture_output=True, text=True, check=True)
            result["memory"].append(json.loads(done.stdout))
        print(f"{'bodies':8} {'objects':>8} {'held MiB':>9} {'grown MiB':>10} {'grown of bound':>15}")
        for row in result["memory"]:
            print(f"{row['shape']:8} {row['objects']:8} {row['held'] / 2**20:9.1f} "
                  f"{row['grown'] / 2**20:10.1f} {row['grown_of_bound']:15}")  # fmt: skip
    if "rules" in parts:
        result["rules"] = measure_decisions()
        print(f"one decision: own {result['rules']['own_us']} us, hishel {result['rules']['hishel_us']} us")
    print(json.dumps(result))


if __name__ == "__main__":
    main()
