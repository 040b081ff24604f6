"""What the cache costs and holds: hits, eviction, memory, and its rules beside hishel's.

    python benchmarks/caching.py [--rounds 20] [--requests 1600] [--cpu 0] [--parts hits,memory]

`hits`: CPU of a process for each request, in alternating rounds against stand-in nodes, of a bare forwarder
(the floor of benchmarks/floor.py), of the proxy without the cache, of one that forwards all (answers with
no-store) and of one that answers from its store; and the requests a second that each serves to 8 clients.
`eviction`: the hit ratio on Zipf traces with and without scans of LRU, W-TinyLFU and the store's S3-FIFO.
`memory`: what a process grew by, beside what the store says that it holds. `rules`: the time of one
decision on a stored answer. Ratios are medians over rounds of one run. The last line is JSON.
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
from magpiefront.caching.rules import S, Stored
from magpiefront.caching.store import Store

HERE = Path(__file__).resolve()
FIELDS = 'Date: {date}\r\nContent-Type: text/plain\r\nETag: "v1"\r\nCache-Control: {control}\r\n'
OPERATOR = '[site]\nname = "west"\n[caching]\n'
PARTIES = ("floor", "proxy", "forwarded", "hit")


# ---- hits


def node_of(control: str) -> type[floor.Node]:
    from email.utils import formatdate

    fields = FIELDS.format(date=formatdate(usegmt=True), control=control).encode()
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nSrv-Cache: hit\r\n" % len(floor.BODY)
    answer = head + fields + b"\r\n" + floor.BODY

    class Node(floor.Node):
        def data_received(self, data: bytes) -> None:
            for _ in range(data.count(b"\r\n\r\n")):
                self.transport.write(answer)

    return Node


async def hits(rounds: int, requests: int, cpu: int) -> dict[str, Any]:
    os.sched_setaffinity(0, {cpu + 1})
    rows: dict[str, list[float]] = {p: [] for p in PARTIES}
    rates: dict[str, list[float]] = {p: [] for p in PARTIES}
    started: list[subprocess.Popen[str]] = []
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "operator.toml").write_text(OPERATOR)
        operator = ("--operator", str(folder / "operator.toml"))
        try:
            ports = {}
            for control in ("no-store", "max-age=86400"):
                node = floor.start([sys.executable, str(HERE), "--node", control], cpu + 1)
                started.append(node)
                assert node.stdout is not None
                ports[control] = int(node.stdout.readline())
            bare = floor.start([sys.executable, str(floor.HERE), "--bare", str(ports["no-store"])], cpu)
            started.append(bare)
            assert bare.stdout is not None
            parties = {
                "floor": (bare, int(bare.stdout.readline())),
                "proxy": floor.proxy(floor.ROOT, ports["no-store"], cpu, folder, "proxy"),
                "forwarded": floor.proxy(floor.ROOT, ports["no-store"], cpu, folder, "forwarded", operator),
                "hit": floor.proxy(floor.ROOT, ports["max-age=86400"], cpu, folder, "hit", operator),
            }
            for party in PARTIES[1:]:
                started.append(parties[party][0])
                await floor.ready(parties[party][1])
            for at in range(rounds + 2):
                for party in PARTIES if at % 2 else reversed(PARTIES):
                    process, port = parties[party]
                    before, began = floor.cpu_s(process.pid), time.perf_counter()
                    await floor.play(port, requests)
                    used = (floor.cpu_s(process.pid) - before) / requests * 1e6
                    if at >= 2:  # the first rounds open connections and fill the store
                        rows[party].append(used)
                        rates[party].append(requests / (time.perf_counter() - began))
                print(f"hits: round {at + 1} of {rounds + 2}", end="\r", file=sys.stderr, flush=True)
        finally:
            for p in started:
                p.terminate()
            for p in started:
                p.wait()
    found: dict[str, Any] = {}
    for party in PARTIES:
        ratio = [a / b for a, b in zip(rows[party], rows["floor"], strict=True)]
        found[party] = {"cpu_us": round(statistics.median(rows[party]), 1),
                        "of_the_floor": round(statistics.median(ratio), 2),
                        "a_second": round(statistics.median(rates[party]))}  # fmt: skip
    both = [a / b for a, b in zip(rows["hit"], rows["forwarded"], strict=True)]
    found["hit"]["of_a_forwarded_read"] = round(statistics.median(both), 3)
    return found


# ---- eviction


class Lru:
    def __init__(self, most: int) -> None:
        self.most, self.kept = most, OrderedDict[int, None]()

    def use(self, key: int) -> bool:
        if key in self.kept:
            self.kept.move_to_end(key)
            return True
        self.kept[key] = None
        if len(self.kept) > self.most:
            self.kept.popitem(last=False)
        return False


class TinyLfu:
    """W-TinyLFU (Einziger et al., 2017) with exact counts in place of a sketch, which flatters it: a window
    of 1%, a segmented main part, counts halved every ten times its size."""

    def __init__(self, most: int) -> None:
        self.window_most = max(1, most // 100)
        self.main_most = most - self.window_most
        self.window, self.probation, self.protected = (OrderedDict[int, None]() for _ in range(3))
        self.counts: Counter[int] = Counter()
        self.seen, self.sample = 0, most * 10

    def use(self, key: int) -> bool:
        self.seen += 1
        self.counts[key] = min(15, self.counts[key] + 1)
        if self.seen >= self.sample:
            self.seen //= 2
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
            if len(self.protected) > self.main_most * 0.8:
                self.probation[self.protected.popitem(last=False)[0]] = None
            return True
        self.window[key] = None
        if len(self.window) > self.window_most:
            new = self.window.popitem(last=False)[0]
            if len(self.probation) + len(self.protected) < self.main_most:
                self.probation[new] = None
            else:
                old = next(iter(self.probation)) if self.probation else next(iter(self.protected))
                if self.counts[new] > self.counts[old]:
                    (self.probation if old in self.probation else self.protected).pop(old)
                    self.probation[new] = None
        return False


class S3Fifo:
    """The store itself, with objects of one size."""

    def __init__(self, most: int) -> None:
        self.store = Store(1 << 62)
        for n in range(8):
            self.store.put(b"%16d" % n, b"%16d" % n, kept(100))
        each = self.store.size // 8
        self.store.clear()
        self.store.most = each * most

    def use(self, key: int) -> bool:
        name = b"%16d" % key
        if self.store.get(name) is not None:
            return True
        self.store.put(name, name, kept(100))
        return False


def kept(size: int, fill: bytes = b"x") -> Stored:
    return Stored(
        200, b"Date: Fri, 15 Jan 2027 08:00:00 GMT\r\n", fill * size, 0, 60 * S, date_s=0, wall_s=0.0
    )


def traces(seed: int, keys: int, length: int, scans: bool, skew: float) -> list[int]:
    """Zipf over `keys`; with scans, now and then a run over as many keys that are asked for once."""
    random = Random(seed)
    weights = list(accumulate(1 / (n + 1) ** skew for n in range(keys)))
    names = list(range(keys))
    random.shuffle(names)
    found: list[int] = []
    once = keys
    while len(found) < length:
        found += [names[n] for n in random.choices(range(keys), cum_weights=weights, k=5_000)]
        if scans and random.random() < 0.5:
            found += range(once, once + 5_000)
            once += 5_000
    return found[:length]


def eviction(keys: int = 50_000, length: int = 300_000) -> list[dict[str, Any]]:
    rows = []
    for skew in (0.7, 0.9, 1.1):
        for scans in (False, True):
            trace = traces(7, keys, length, scans, skew)
            for part in (0.02, 0.1):
                row: dict[str, Any] = {"zipf": skew, "scans": scans, "size_of_keys": part}
                for name, kind in (("lru", Lru), ("w_tinylfu", TinyLfu), ("s3_fifo", S3Fifo)):
                    made: Any = kind(int(keys * part))
                    warm = length // 5
                    for key in trace[:warm]:
                        made.use(key)
                    row[name] = round(sum(made.use(k) for k in trace[warm:]) / (length - warm), 4)
                rows.append(row)
                print(f"eviction: {len(rows)} of 12", end="\r", file=sys.stderr, flush=True)
    return rows


# ---- memory


def resident() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def memory(bound: int, shape: str) -> dict[str, Any]:
    """Fills a store past its bound twice over, in a process of its own, so that what was evicted and replaced
    has left its holes; bodies are all different."""
    random = Random(3)
    sizes: Callable[[], int] = {
        "small": lambda: random.randrange(50, 400),
        "mixed": lambda: min(200_000, int(random.paretovariate(0.9) * 200)),
        "large": lambda: random.randrange(20_000, 200_000),
    }[shape]
    store = Store(bound)
    before = resident()
    put, n = 0, 0
    while put < bound * 3:
        n += 1
        size = sizes()
        # As it comes from a connection: fields and body are objects of their own.
        head = b'Date: Fri, 15 Jan 2027 08:00:00 GMT\r\nETag: "%d"\r\nCache-Control: max-age=60\r\n' % n
        s = Stored(200, head, random.randbytes(size), n, 60 * S + n, date_s=1_800_000_000 + n, wall_s=n + 0.5,
                   etag=b'"%d"' % n, modified=b"Fri, 15 Jan 2027 07:%02d:00 GMT" % (n % 60))  # fmt: skip
        key = b"api.internal /api/gauge-%d" % n
        store.put(key, b"gauge-%d" % n, s)
        if n % 3 == 0:
            store.get(b"api.internal /api/gauge-%d" % random.randrange(1, n + 1))
        put += size + 500
    grown = resident() - before
    return {"shape": shape, "objects": len(store), "bound": bound, "held": store.size, "grown": grown,
            "grown_of_bound": round(grown / bound, 3)}  # fmt: skip


# ---- rules


def decisions(count: int = 20_000, rounds: int = 7) -> dict[str, Any]:
    import hishel._core._spec as spec
    from hishel import Entry, Headers, Request, Response

    from magpiefront.caching import dates, rules
    from magpiefront.caching.settings import Policy

    policy = Policy()
    lines = [(b"Date", dates.render(int(time.time()))), (b"Cache-Control", b"max-age=3600"),
             (b"ETag", b'"v1"'), (b"Vary", b"Accept"), (b"Content-Type", b"text/plain")]  # fmt: skip
    headers = {b"accept": b"text/plain", b"cache-control": b"max-age=600"}
    answered = rules.Answered(200, lines, time.time(), policy)
    v = rules.keep(answered, rules.Asked(b"GET", headers), b"body", 0, 0, policy)
    assert v is not None

    def own() -> None:
        assert isinstance(rules.choose(rules.Asked(b"GET", headers), (v,), S, policy), rules.Serve)

    import uuid

    request = Request("GET", "http://a/k", Headers({"accept": "text/plain", "cache-control": "max-age=600"}))
    response = Response(200, Headers({n.decode(): x.decode() for n, x in lines}))
    entry = Entry(uuid.UUID(int=1), request, response)

    def peer() -> None:
        assert isinstance(spec.IdleClient(options={"shared": True}).next(request, [entry]), spec.FromCache)

    times: dict[str, list[float]] = {"own": [], "hishel": []}
    for _ in range(rounds):
        for name, what in (("own", own), ("hishel", peer)):
            began = time.perf_counter()
            for _ in range(count):
                what()
            times[name].append((time.perf_counter() - began) / count * 1e6)
    ratio = statistics.median(b / a for a, b in zip(times["own"], times["hishel"], strict=True))
    return {
        **{f"{n}_us": round(statistics.median(t), 2) for n, t in times.items()},
        "hishel_to_own": round(ratio, 1),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--rounds", type=int, default=20)
    parser.add_argument("--requests", type=int, default=1600)
    parser.add_argument("--cpu", type=int, default=0, help="the parties' core; the load takes the next")
    parser.add_argument("--parts", default="hits,eviction,memory,rules")
    parser.add_argument("--node", help=argparse.SUPPRESS)
    parser.add_argument("--memory", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.node:
        uvloop.run(floor.serve(node_of(args.node), 0))
        return
    if args.memory:
        print(json.dumps(memory(64 << 20, args.memory)))
        return
    parts = args.parts.split(",")
    result: dict[str, Any] = {"benchmark": "caching"}
    if "hits" in parts:
        h = result["hits"] = uvloop.run(hits(args.rounds, args.requests, args.cpu))
        print(f"{'party':12} {'CPU us a request':>18} {'of the floor':>14} {'a second':>10}")
        for party in PARTIES:
            r = h[party]
            print(f"{party:12} {r['cpu_us']:18} {r['of_the_floor']:14} {r['a_second']:10}")
    if "eviction" in parts:
        result["eviction"] = eviction()
        print(f"{'zipf':>5} {'scans':>6} {'size':>5} {'lru':>8} {'w_tinylfu':>10} {'s3_fifo':>8}")
        for r in result["eviction"]:
            print(
                f"{r['zipf']:5} {r['scans']!s:>6} {r['size_of_keys']:5} {r['lru']:8} "
                f"{r['w_tinylfu']:10} {r['s3_fifo']:8}"
            )
    if "memory" in parts:
        result["memory"] = []
        for shape in ("small", "mixed", "large"):
            command = [sys.executable, str(HERE), "--memory", shape]
            done = subprocess.run(command, capture_output=True, text=True, check=True)
            result["memory"].append(json.loads(done.stdout))
        print(f"{'bodies':8} {'objects':>8} {'held MiB':>9} {'grown MiB':>10} {'grown of bound':>15}")
        for r in result["memory"]:
            print(f"{r['shape']:8} {r['objects']:8} {r['held'] / 2**20:9.1f} {r['grown'] / 2**20:10.1f} "
                  f"{r['grown_of_bound']:15}")  # fmt: skip
    if "rules" in parts:
        result["rules"] = decisions()
        print(f"one decision: own {result['rules']['own_us']} us, hishel {result['rules']['hishel_us']} us")
    print(json.dumps(result))


if __name__ == "__main__":
    main()
