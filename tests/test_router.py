"""Tests of how the Router places keys, spills at caps, starts servers slowly and sheds load."""

from collections import Counter
from dataclasses import replace
from hashlib import blake2b
from math import ceil
from random import Random

from magpiefront import router
from magpiefront.hashing import nth_hash
from magpiefront.interface import (
    ListKind,
    Outcome,
    ServerList,
    Status,
    WeightSource,
)
from tests.helpers import NAMES, READ, SETTINGS, RouterDriver, entry, full_list, gone, sends

MASK = (1 << 64) - 1


def reference_splitmix64(x: int) -> int:
    x = (x + 0x9E3779B97F4A7C15) & MASK
    x = ((x ^ x >> 30) * 0xBF58476D1CE4E5B9) & MASK
    x = ((x ^ x >> 27) * 0x94D049BB133111EB) & MASK
    return x ^ x >> 31


def reference_owner(names: list[str], h: int, slots: int = router.SLOTS_PER_SERVER) -> str:
    """Returns the server whose point is the nearest one clockwise of `h`, by comparing all points of the
    ring."""
    best = (MASK + 1, "")
    for name in names:
        seed = int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")
        for j in range(slots):
            point = reference_splitmix64((seed + j * 0x9E3779B97F4A7C15) & MASK) >> 16 << 16
            best = min(best, ((point - h) & MASK, name))
    return best[1]


def homes(driver: RouterDriver, keys: range) -> dict[int, str]:
    """Returns the server to which each key is sent while no other request is in flight."""
    found = {}
    for key in keys:
        request = f"h{driver.timer_count}-{key}-{len(driver.log)}"
        found[key] = sends(driver.arrive(request, key=key))[0].server
        driver.end(request, Outcome.OK)
    return found


def test_home_is_the_nearest_server_clockwise() -> None:
    driver = RouterDriver()
    for key, server in homes(driver, range(200)).items():
        assert server == reference_owner(NAMES, nth_hash(reference_splitmix64(key), 0))


def test_without_a_key_the_request_id_is_hashed() -> None:
    a, b = RouterDriver(), RouterDriver(seed=9)
    for i in range(30):
        assert sends(a.arrive(f"r{i}"))[0].server == sends(b.arrive(f"r{i}"))[0].server


def test_shares_are_even_and_follow_nominal_weights() -> None:
    count = Counter(homes(RouterDriver(), range(3000)).values())
    assert min(count.values()) > 200 and max(count.values()) < 420
    driver = RouterDriver(replace(SETTINGS, weight_source=WeightSource.NOMINAL), [])
    driver.handle(ServerList(ListKind.WHOLE, [entry(n, weight=3.0 if n == NAMES[0] else 1.0) for n in NAMES]))
    count = Counter(homes(driver, range(3000)).values())
    assert 600 < count[NAMES[0]] < 950  # 3 of 12


def test_a_change_of_the_list_moves_only_the_keys_it_must() -> None:
    driver = RouterDriver()
    before = homes(driver, range(600))
    driver.handle(gone(NAMES[3]))
    after = homes(driver, range(600))
    assert all(after[k] == s for k, s in before.items() if s != NAMES[3])
    assert NAMES[3] not in after.values()
    driver.handle(ServerList(ListKind.PATCH, [entry(NAMES[3])]))
    assert homes(driver, range(600)) == before


def test_at_the_cap_the_key_is_hashed_again_with_the_number_of_the_jump() -> None:
    driver = RouterDriver(replace(SETTINGS, proxies=5))
    home = reference_owner(NAMES, nth_hash(reference_splitmix64(7), 0))
    count: Counter[str] = Counter()
    for i in range(60):
        n = sum(count.values()) + 1
        cap = max(driver.router.min_cap, ceil((1 + router.CAP_HEADROOM) * n / len(NAMES)))
        driver.router.key_counts.clear()  # tests the cap alone, without further homes for a popular key
        chosen = sends(driver.arrive(f"r{i}", key=7))[0].server
        jump = next(
            j for j in range(99) if count[reference_owner(NAMES, nth_hash(reference_splitmix64(7), j))] < cap
        )
        assert chosen == reference_owner(NAMES, nth_hash(reference_splitmix64(7), jump))
        count[chosen] += 1
    assert count[home] >= driver.router.min_cap == 4 and len(count) > 5
    for i in range(60):
        driver.end(f"r{i}", Outcome.OK)
    assert driver.router.in_flight == 0 and not driver.router.pending
    driver.router.key_counts.clear()
    assert sends(driver.arrive("again", key=7))[0].server == home


def test_a_popular_key_gets_more_homes_and_a_rare_key_does_not() -> None:
    driver = RouterDriver()
    popular, rare = Counter[str](), Counter[str]()
    for i in range(2000):
        key = 1 if i % 3 == 0 else 1000 + i % 500
        server = sends(driver.arrive(f"r{i}", key=key))[0].server
        driver.end(f"r{i}", Outcome.OK)
        if i > 1000:
            (popular if key == 1 else rare)[f"{server}" if key == 1 else f"{key}@{server}"] += 1
    assert len(popular) >= 6 and max(popular.values()) < sum(popular.values()) / 2
    assert len(rare) <= 500 * 1.1  # one home per key, with few exceptions by chance


def test_a_server_of_unknown_status_gets_no_requests() -> None:
    driver = RouterDriver(names=NAMES[:3])
    driver.handle(ServerList(ListKind.PATCH, [entry(NAMES[3], status=Status.UNKNOWN)]))
    assert NAMES[3] not in homes(driver, range(200)).values()


def test_a_whole_list_replaces_and_a_patch_adds() -> None:
    driver = RouterDriver()
    driver.handle(full_list(NAMES[:2], ListKind.WHOLE))
    assert set(homes(driver, range(100)).values()) == set(NAMES[:2])
    driver.handle(ServerList(ListKind.PATCH, [entry(NAMES[5])]))
    assert set(homes(driver, range(200)).values()) == {NAMES[0], NAMES[1], NAMES[5]}


def test_live_weights_do_not_move_keys() -> None:
    driver = RouterDriver(replace(SETTINGS, weight_source=WeightSource.LIVE))
    before = homes(driver, range(100))
    driver.handle(ServerList(ListKind.WHOLE, [entry(n, weight=0.1 + i) for i, n in enumerate(NAMES)]))
    assert homes(driver, range(100)) == before


def test_memory_of_keys_is_bounded() -> None:
    driver = RouterDriver(replace(SETTINGS, classes=(READ,)))
    for i in range(5000):
        driver.arrive(f"r{i}", key=i)
        driver.end(f"r{i}", Outcome.OK)
        driver.advance(1000)
    driver.advance(5_000_000)
    r = driver.router
    assert not r.pending and r.in_flight == 0
    window = max(router.MIN_COUNT_WINDOW, router.COUNT_WINDOW_PER_SERVER * len(NAMES))
    assert (
        len(r.key_counts) + len(r.previous_key_counts) + len(r.cached_keys) + len(r.previous_cached_keys)
        <= 4 * window
    )


def test_the_minimum_cap_is_shared_among_the_proxies() -> None:
    """Guards against a minimum cap of two per proxy: forty proxies queued eighty requests at a key's home,
    and no cap ever applied. Homes of popular keys took ten times as long to answer as other servers, which
    were nearly idle."""
    names = [f"10.0.0.{n}:7000" for n in range(60)]
    for proxies, most in ((1, 20), (5, 20), (10, 20), (20, 20), (40, 40), (47, 47)):
        fleet = [RouterDriver(replace(SETTINGS, proxies=proxies), names, seed=n) for n in range(proxies)]
        at_home = Counter(
            sends(driver.arrive(f"r{i}", key=77))[0].server
            for driver in fleet
            for i in range(driver.router.min_cap + 1)
        ).most_common(1)[0][1]
        assert proxies <= at_home <= most, (proxies, at_home)


def test_when_most_servers_are_cold_they_take_what_the_few_warm_ones_cannot() -> None:
    """Guards against overload of the few warm servers after a restart of most: two warm servers of eight had
    25 requests each in flight, and the six cold ones almost none."""
    names, cold_us, now = NAMES[:8], 10_000_000, 100_000_000
    driver = RouterDriver(names=names)
    started = [entry(n, started_at_us=now - cold_us // 2) for n in names[2:]]
    driver.handle(ServerList(ListKind.PATCH, started))
    servers = driver.router.servers
    for i in range(120):
        driver.arrive(f"r{i}", key=i * 7919)
    loads = {n: servers[n].in_flight for n in names}
    cold = sum(loads[n] for n in names[2:])
    assert sum(loads.values()) > 110 and cold >= 6 * 4, loads
    # A cold server takes no more than the share of the minimum cap that it can serve by now.
    warmth = 0.2 + 0.8 / 2
    assert all(servers[n].in_flight <= driver.router.min_cap * warmth + 1 for n in names[2:]), loads
    one_of_many = RouterDriver(replace(SETTINGS, proxies=40), names)
    one_of_many.handle(ServerList(ListKind.PATCH, started))
    for i in range(120):
        one_of_many.arrive(f"r{i}", key=i * 7919)
    # If many proxies share the fleet, none sends a cold server more than requests for that server's own keys.
    assert all(
        one_of_many.router.servers[n].in_flight <= max(1, one_of_many.router.min_cap * warmth) + 1
        for n in names[2:]
    )


def test_a_gate_reopens_fast_after_a_burst_and_slowly_under_lasting_overload() -> None:
    def burst(gate: router.AdmissionGate) -> None:
        for _ in range(30):
            gate.record_outcome(True)

    def quiet(gate: router.AdmissionGate, seconds: float) -> None:
        for _ in range(int(seconds * 100)):
            gate.record_outcome(False)
            gate.record_arrival(10_000)

    after_burst = router.AdmissionGate()
    burst(after_burst)
    closed_share = after_burst.share
    assert closed_share < 0.4
    quiet(after_burst, 1.0)
    assert after_burst.share > 0.6  # most of the way back to the share before closing, within a second
    share_after_1_s = after_burst.share
    quiet(after_burst, 1.0)
    # From there on it reopens by an eighth per second.
    assert after_burst.share - share_after_1_s < 1.3 * router.REOPEN_RAMP / 8 / 8 + 0.05
    lasting = router.AdmissionGate()
    marks = []
    for _ in range(4):
        burst(lasting)
        marks.append(lasting.share_before_closing)
        quiet(lasting, 1.0)
    # Each closing begins at a lower share, one that the servers can serve.
    assert marks == sorted(marks, reverse=True) and marks[-1] < 0.75 * marks[0]
    quiet(lasting, 20)
    assert lasting.share == 1.0


def test_permanently_failing_servers_are_suspected_and_do_not_close_the_gates() -> None:
    """Guards against counting permanent failures as the fleet's normal state: when two fifths of sixty
    servers rejected everything, none became a suspect within half a minute, because the fleet's bad share had
    risen. Half of the requests were refused although the other servers were healthy."""
    names = [f"10.0.0.{n}:7000" for n in range(60)]
    driver, failing, refused = RouterDriver(replace(SETTINGS, proxies=40), names), set(names[::2][:24]), 0
    for i in range(2000):
        driver.advance(50_000)
        driver.arrive(f"r{i}", key=(i * 7919) % 400 if i % 3 else i % 20)
        while (sent := driver.sent.get(f"r{i}")) and f"r{i}" in driver.router.pending:
            fails = i >= 1600 or (i >= 200 and sent[-1].server in failing)
            driver.end(f"r{i}", Outcome.FULL if fails else Outcome.OK)
        refused += i < 1600 and not driver.sent.get(f"r{i}")
        if i == 600:
            assert sum(driver.router.servers[n].suspect for n in failing) >= 20
    assert refused < 40, refused
    # Nearly all servers fail now: the fleet is overloaded, and the gate closes.
    assert driver.router.server_gate.share < 0.5, driver.router.server_gate.share


def test_a_popular_key_gets_further_homes_after_few_requests_and_a_rare_one_does_not() -> None:
    """Guards against computing a key's share from a fixed 256 requests, however few have arrived: a proxy
    with ten requests a second then detected a popular key only after half a minute, and until then all
    proxies sent it to one home, which took seconds to answer."""
    names, used, rare = [f"10.0.0.{n}:7000" for n in range(130)], 0, set[str]()
    for seed in range(40):
        driver, random, homes = (
            RouterDriver(replace(SETTINGS, proxies=200), names, seed=seed), Random(seed), set[str](),
        )  # fmt: skip
        for i in range(460):
            popular = i < 60 and random.random() < 0.05
            key = 7 if popular else 9 if i in (60, 459) else 1000 + seed * 500 + i  # key 9 comes twice
            sent = sends(driver.arrive(f"r{i}", key=key))[0]
            driver.end(f"r{i}", Outcome.OK)
            (homes if popular else rare if key == 9 else set[str]()).add(sent.server)
        used += len(homes)
    assert used > 80, used  # 70 if the share is computed from a fixed 256 requests
    assert len(rare) == 1, rare


def share_sent_home(latency_us: int, later_us: int, key: int = 11) -> float:
    """Returns the share of 100 proxies that still send a key to its home `later_us` after reads of other
    keys, which took `latency_us` at the home and 100 ms at all other servers."""
    stayed = 0
    for seed in range(100):
        driver = RouterDriver(replace(SETTINGS, proxies=200), seed=seed)
        home = sends(driver.arrive("first", key=key))[0].server
        driver.end("first", Outcome.OK, elapsed_us=100_000)
        for i in range(60):
            server = sends(driver.arrive(f"r{i}", key=1000 + i))[0].server
            driver.end(f"r{i}", Outcome.OK, elapsed_us=latency_us if server == home else 100_000)
        driver.advance(later_us)
        stayed += sends(driver.arrive("last", key=key))[0].server == home
    return stayed / 100


def test_a_slow_home_is_avoided_by_a_part_of_the_proxies() -> None:
    """Guards against queues that no single proxy sees: with at most one request of its own at a server, a
    proxy's cap limits nothing, and two hundred proxies kept sending to homes that took ten times as long as
    the other servers."""
    assert share_sent_home(100_000, 0) == 1.0
    assert share_sent_home(150_000, 0) > 0.6
    assert 0.1 < share_sent_home(1_000_000, 0) < 0.5  # never 0, so that the home's cache stays in use
    assert share_sent_home(1_000_000, router.LATENCY_MEMORY_US) == 1.0  # such an old latency has no effect


def test_a_popular_key_goes_to_the_faster_of_two_homes() -> None:
    def sent_to_first_home(latency_us: int) -> int:
        driver, home, sent = RouterDriver(replace(SETTINGS, proxies=200)), "", Counter[str]()
        for i in range(800):
            server = sends(driver.arrive(f"r{i}", key=7))[0].server
            home = home or server
            sent[server] += 1
            driver.end(f"r{i}", Outcome.OK, elapsed_us=latency_us if server == home else 100_000)
            driver.advance(20_000)
        return sent[home]

    quick, slow = sent_to_first_home(90_000), sent_to_first_home(102_000)
    assert quick > 3 * slow, (quick, slow)  # 50 and 35 if only one random home is considered


def test_a_suddenly_popular_key_does_not_overload_its_cold_home() -> None:
    """Guards against slow start by keys instead of requests: a cold server got all requests for a part of its
    keys, and the first requests of two hundred proxies for a key that had just become popular were three and
    a half times what it could serve."""
    names, now = [f"10.0.0.{n}:7000" for n in range(60)], 100_000_000
    fleet = [RouterDriver(replace(SETTINGS, proxies=200), names, seed=n) for n in range(200)]
    for driver in fleet:
        started = [entry(n, started_at_us=now - 2_500_000) for n in names]
        driver.handle(ServerList(ListKind.PATCH, started[:30]))
    warmth, cold_homes = 0.2 + 0.8 * 0.25, 0
    for key in range(20):
        home = names.index(reference_owner(names, nth_hash(reference_splitmix64(key), 0)))
        sent = Counter(names.index(sends(driver.arrive(f"r{key}", key=key))[0].server) for driver in fleet)
        cold_homes += home < 30
        assert all(n <= 200 * (warmth + 0.15) for s, n in sent.items() if s < 30), (key, sent)
    assert cold_homes >= 5


def test_the_bad_share_of_a_gate_decays_with_time_at_a_proxy_with_few_requests() -> None:
    """Guards against a bad share that decays with arrivals only: at ten requests a second, the gate kept
    requests from a recovered origin for longer than its overload had lasted."""

    def seconds_to_reopening(arrivals_per_s: int) -> float:
        gate = router.AdmissionGate()
        for _ in range(60):
            gate.record_outcome(True)
        assert gate.share < 0.2 and gate.bad_share > 0.8
        for n in range(60 * arrivals_per_s):
            gate.record_arrival(1_000_000 // arrivals_per_s)
            if gate.bad_share < gate.baseline + router.OPEN_BELOW:
                return n / arrivals_per_s
        return 60.0

    assert seconds_to_reopening(300) < 1.0
    assert seconds_to_reopening(10) < 5.0 and seconds_to_reopening(2) < 5.0
