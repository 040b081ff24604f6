"""Tests of the rules by which the Router deviates from plain placement, each with the failure that the rule
guards against."""

from dataclasses import replace

from magpiefront import router
from magpiefront.interface import (
    Arrived,
    AttemptEnded,
    ListKind,
    Outcome,
    Probe,
    ProbeEnded,
    Refuse,
    ServerList,
    Watch,
)
from tests.helpers import CLASSES, NAMES, READ, SETTINGS, RouterDriver, cancels, entry, finals, gone, sends
from tests.test_router import homes

ONLY_READS = replace(SETTINGS, classes=(READ,))


def home_keys(driver: RouterDriver, server: str, count: int) -> list[int]:
    return [k for k, s in homes(driver, range(count * 15)).items() if s == server][:count]


def test_failed_connection_makes_a_server_suspect_and_keeps_its_slots() -> None:
    driver = RouterDriver(ONLY_READS)
    keys = home_keys(driver, NAMES[0], 12)
    driver.arrive("first", key=keys[0])
    again = sends(driver.end("first", Outcome.CONNECT_FAILED))
    assert len(again) == 1 and again[0].server != NAMES[0]
    driver.end("first", Outcome.OK)
    points = [list(bucket) for bucket in driver.router.placement.buckets]
    assert all(s != NAMES[0] for s in homes(driver, range(100)).values())
    assert [list(bucket) for bucket in driver.router.placement.buckets] == points
    driver.advance(2 * router.MIN_TRIAL_BACKOFF_US)
    assert sends(driver.arrive("trial", key=keys[1]))[0].server == NAMES[0]
    assert sends(driver.arrive("beside", key=keys[2]))[0].server != NAMES[0]  # one trial at a time
    driver.end("trial", Outcome.OK)
    driver.advance(SETTINGS.cold_us)
    assert all(sends(driver.arrive(f"home{k}", key=k))[0].server == NAMES[0] for k in keys[3:7])


def test_suspect_server_that_answers_an_earlier_request_is_not_cold() -> None:
    """Guards against treating a server as cold after one failed connection although it has not restarted."""
    driver = RouterDriver(ONLY_READS)
    keys = home_keys(driver, NAMES[0], 3)
    driver.arrive("before", key=keys[0])
    driver.arrive("failed", key=keys[1])
    driver.advance(10_000)
    driver.end("failed", Outcome.CONNECT_FAILED)
    server = driver.router.servers[NAMES[0]]
    assert server.suspect and server.down
    driver.advance(10_000)
    driver.end("before", Outcome.OK)
    assert not server.suspect and server.warm_at <= driver.now
    assert sends(driver.arrive("home", key=keys[2]))[0].server == NAMES[0]


def test_with_probes_the_trial_of_a_suspect_uses_no_request() -> None:
    driver = RouterDriver(replace(ONLY_READS, may_probe=True))
    keys = home_keys(driver, NAMES[0], 6)
    driver.arrive("first", key=keys[0])
    driver.end("first", Outcome.CONNECT_FAILED)
    driver.advance(2 * router.MIN_TRIAL_BACKOFF_US)
    out = driver.arrive("later", key=keys[1])
    assert [a.server for a in out if isinstance(a, Probe)] == [NAMES[0]]
    assert sends(out)[0].server != NAMES[0]
    driver.handle(ProbeEnded(NAMES[0], Outcome.TIMEOUT, 250_000))
    assert driver.router.servers[NAMES[0]].suspect
    assert not [a for a in driver.arrive("soon", key=keys[2]) if isinstance(a, Probe)]
    driver.advance(4 * router.MIN_TRIAL_BACKOFF_US)
    assert [a for a in driver.arrive("then", key=keys[3]) if isinstance(a, Probe)]
    driver.handle(ProbeEnded(NAMES[0], Outcome.OK, 1_000))
    server = driver.router.servers[NAMES[0]]
    assert not server.suspect and server.warm_at == driver.now + SETTINGS.cold_us  # in use again, and cold


def test_errors_of_one_server_make_it_suspect_but_errors_of_all_do_not() -> None:
    driver = RouterDriver(ONLY_READS)
    keys = home_keys(driver, NAMES[0], 9)
    for n, key in enumerate(keys):
        for m, other_key in enumerate(k for k in range(1000, 1004)):
            driver.arrive(f"fine{n}-{m}", key=other_key)
            driver.end(f"fine{n}-{m}", Outcome.OK)
        if sends(driver.arrive(f"bad{n}", key=key))[0].server == NAMES[0]:
            driver.end(f"bad{n}", Outcome.ERROR)
    assert driver.router.servers[NAMES[0]].suspect
    driver = RouterDriver(ONLY_READS)
    for n in range(400):
        driver.arrive(f"r{n}", key=n)
        while f"r{n}" in driver.router.pending:
            driver.end(f"r{n}", Outcome.ERROR)
    assert driver.router.suspect_count <= router.MAX_SUSPECT_SHARE * len(NAMES)
    assert driver.router.suspect_count <= 2


def test_trial_that_was_never_sent_does_not_keep_a_server_suspect() -> None:
    """Guards against a trial that begins with a request for a key outside the server's reduced traffic share:
    the request went to another server, so the trial never ended."""
    driver = RouterDriver(ONLY_READS)
    server = driver.router.servers[NAMES[0]]
    driver.router._mark_suspect(driver.now, server, False)
    server.traffic_share = 0.5
    driver.advance(2 * router.MIN_TRIAL_BACKOFF_US)
    for n, key in enumerate(home_keys(RouterDriver(ONLY_READS), NAMES[0], 30)):
        driver.arrive(f"r{n}", key=key)
        driver.end(f"r{n}", Outcome.OK)
    assert not server.suspect and driver.router.suspect_count == 0
    assert NAMES[0] in {s.server for n in range(30) for s in driver.sent[f"r{n}"]}


def test_server_that_only_times_out_becomes_suspect() -> None:
    driver = RouterDriver(ONLY_READS)
    keys = home_keys(driver, NAMES[0], 40)
    for n, key in enumerate(keys):
        if sends(driver.arrive(f"r{n}", key=key))[0].server == NAMES[0]:
            driver.end(f"r{n}", Outcome.TIMEOUT, 0, 500_000)
        for m in range(8):
            driver.arrive(f"fine{n}-{m}", key=5000 + 8 * n + m)
            driver.end(f"fine{n}-{m}", Outcome.OK)
        driver.advance(20_000)
    assert driver.router.servers[NAMES[0]].suspect


def test_at_most_half_of_the_fleet_is_suspect() -> None:
    driver = RouterDriver(ONLY_READS)
    for n in range(300):
        driver.arrive(f"r{n}", key=n)
        while f"r{n}" in driver.router.pending:
            driver.end(f"r{n}", Outcome.CONNECT_FAILED)
    assert driver.router.suspect_count == len(NAMES) // 2
    assert sends(driver.arrive("still served", key=1))


def test_server_that_only_refuses_gets_part_of_its_keys() -> None:
    driver = RouterDriver(ONLY_READS)
    keys = home_keys(driver, NAMES[0], 60)
    for n, key in enumerate(keys[:20]):
        if sends(driver.arrive(f"r{n}", key=key))[0].server == NAMES[0]:
            driver.end(f"r{n}", Outcome.FULL)
        if f"r{n}" in driver.router.pending:
            driver.end(f"r{n}", Outcome.OK)
        for m in range(9):
            if sends(driver.arrive(f"fine{n}-{m}", key=9 * n + m))[0].server != NAMES[0]:
                driver.end(f"fine{n}-{m}", Outcome.OK)
    server = driver.router.servers[NAMES[0]]
    assert server.suspect or server.traffic_share < 0.5
    sent_home = sum(sends(driver.arrive(f"s{k}", key=k))[0].server == NAMES[0] for k in keys[20:])
    assert sent_home < 30


def test_overloaded_origin_sheds_likely_misses_and_keeps_hits() -> None:
    driver = RouterDriver(ONLY_READS)
    for n in range(20):
        driver.arrive(f"first{n}", key=n)
        driver.end(f"first{n}", Outcome.OK)
    for n in range(400):
        driver.arrive(f"hit{n}", key=n % 20)
        driver.end(f"hit{n}", Outcome.OK)
        driver.arrive(f"miss{n}", key=10_000 + n)
        while f"miss{n}" in driver.router.pending:
            driver.end(f"miss{n}", Outcome.ERROR)
    assert driver.router.origin_gate.share < 0.2 and driver.router.server_gate.share == 1
    assert all(sends(driver.arrive(f"known{k}", key=k)) for k in range(20))
    refused = sum(
        any(isinstance(a, Refuse) for a in driver.arrive(f"new{k}", key=k)) for k in range(20_000, 20_100)
    )
    assert refused > 60
    for k in range(20):
        driver.end(f"known{k}", Outcome.OK)
    for n in range(400):  # the gate opens again gradually
        driver.advance(60_000)
        driver.arrive(f"late{n}", key=n % 20)
        driver.end(f"late{n}", Outcome.OK)
    assert driver.router.origin_gate.share == 1


def test_writes_are_limited_by_the_origin_gate() -> None:
    driver = RouterDriver()
    for n in range(400):
        driver.handle(Arrived(f"w{n}", "write", 2_000_000, n, write=True))
        while f"w{n}" in driver.router.pending:
            driver.end(f"w{n}", Outcome.ERROR)
    assert driver.router.origin_gate.share < 0.2 and driver.router.server_gate.share == 1
    out = [driver.handle(Arrived(f"x{n}", "write", 2_000_000, 10_000 + n, write=True)) for n in range(100)]
    assert sum(bool(sends(a)) for a in out) < 40


def test_every_proxy_admits_the_same_keys_in_overload() -> None:
    admitted: list[set[int]] = []
    for seed in (1, 2):
        driver = RouterDriver(ONLY_READS, seed=seed)
        for n in range(300):
            driver.arrive(f"r{n}", key=n)
            while f"r{n}" in driver.router.pending:
                driver.end(f"r{n}", Outcome.FULL)
        assert driver.router.server_gate.share < 0.5
        driver.router.server_gate.share = 0.5
        admitted.append({k for k in range(500, 700) if sends(driver.arrive(f"k{k}", key=k))})
    assert 60 < len(admitted[0]) < 140
    assert len(admitted[0] ^ admitted[1]) < 10


def test_retries_stay_within_the_retry_budget() -> None:
    driver = RouterDriver(ONLY_READS)
    attempts = 0
    for n in range(1000):
        attempts += len(sends(driver.arrive(f"r{n}", key=n)))
        while f"r{n}" in driver.router.pending:
            attempts += len(sends(driver.end(f"r{n}", Outcome.ERROR)))
    assert attempts <= 1000 * (1 + router.RETRY_BUDGET_PER_REQUEST) + router.MAX_RETRY_BUDGET


def test_hedged_request_goes_to_another_server_and_the_slower_is_cancelled() -> None:
    driver = RouterDriver(ONLY_READS)
    driver.arrive("miss", key=3)
    assert not sends(driver.advance(1_000_000))  # a likely miss is not hedged: it would be fetched twice
    driver.end("miss", Outcome.OK)
    driver.arrive("slow", key=3)
    hedge = sends(driver.advance(1_000_000))
    assert len(hedge) == 1 and hedge[0].server != driver.sent["slow"][0].server
    assert [(c.request, c.attempt) for c in cancels(driver.end("slow", Outcome.OK))] == [("slow", 0)]
    driver.end("slow", Outcome.CANCELLED, 0)
    assert not driver.router.pending


def test_without_hedging_the_timeout_leaves_time_for_another_attempt() -> None:
    driver = RouterDriver(replace(SETTINGS, hedging=False))
    first = sends(driver.arrive("r", key=3))[0]
    assert first.expire_at_us <= driver.now + READ.deadline_us // 2
    driver.advance(first.expire_at_us - driver.now)
    assert len(sends(driver.end("r", Outcome.TIMEOUT))) == 1


def test_unsafe_request_is_retried_only_if_it_never_ran() -> None:
    for outcome in Outcome:
        driver = RouterDriver()
        driver.arrive("r", "once", key=3)
        out = driver.end("r", outcome)
        never_ran = outcome in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT, Outcome.MISS)
        assert bool(sends(out)) == never_ran
        assert bool(finals(out)) == (not never_ran and outcome is not Outcome.OK)
    driver = RouterDriver()
    driver.arrive("r", "once", key=3)
    assert not sends(driver.advance(1_900_000))


def test_keyed_request_is_not_retried_after_its_deduplication_window() -> None:
    driver = RouterDriver()
    driver.arrive("r", "celled", key=3)
    driver.advance(900_000)
    driver.router.pending["r"].expires_at = driver.now + 500_000
    assert len(driver.sent["r"]) <= 2
    last = len(driver.sent["r"])
    for attempt in range(last):
        out = driver.end("r", Outcome.ERROR, attempt)
    assert not sends(out) and finals(out)


def test_empty_list_refuses_requests_and_a_failed_subscription_backs_off() -> None:
    driver = RouterDriver(replace(SETTINGS, subscribe=True, ask_every_us=4_000_000), [])
    assert any(isinstance(a, Refuse) for a in driver.arrive("r"))
    watches = [a for a in driver.advance(400_000) if isinstance(a, Watch)]
    assert len(watches) == 1
    waits = []
    for _ in range(8):
        driver.handle(ServerList(ListKind.BROKEN))
        before = driver.now
        while not any(isinstance(a, Watch) for a in driver.advance(10_000)):
            assert driver.now - before <= 4_000_000
        waits.append(driver.now - before)
    assert waits[-1] > 3 * waits[0]
    driver.handle(ServerList(ListKind.WHOLE, [entry(NAMES[0])]))
    assert not any(isinstance(a, Watch) for a in driver.advance(20_000_000))
    assert sends(driver.arrive("s"))[0].server == NAMES[0]


def test_requests_get_final_answers_without_a_list() -> None:
    driver = RouterDriver(replace(SETTINGS, subscribe=True), [])
    for n in range(50):
        assert finals(driver.arrive(f"r{n}", CLASSES[n % 5].name))


def test_restart_in_the_list_makes_a_server_cold_and_no_longer_suspect() -> None:
    driver = RouterDriver(ONLY_READS)
    keys = home_keys(driver, NAMES[0], 40)
    driver.arrive("first", key=keys[0])
    driver.end("first", Outcome.CONNECT_FAILED)
    driver.end("first", Outcome.OK)
    driver.handle(ServerList(ListKind.PATCH, [entry(NAMES[0], started_at_us=driver.now)]))
    assert not driver.router.servers[NAMES[0]].suspect
    early = sum(s == NAMES[0] for k, s in homes(driver, range(600)).items() if k in keys)
    driver.advance(SETTINGS.cold_us)
    late = sum(s == NAMES[0] for k, s in homes(driver, range(600)).items() if k in keys)
    assert early <= 0.5 * len(keys) and late == len(keys)


def test_look_aside_misses_and_writes_go_to_the_origin() -> None:
    driver = RouterDriver(replace(SETTINGS, origin_kind="store"), NAMES[:3])
    driver.handle(ServerList(ListKind.PATCH, [entry("10.0.0.9:7000", kind="store")]))
    assert "10.0.0.9:7000" not in homes(driver, range(100)).values()
    driver.arrive("r", key=1)
    assert sends(driver.end("r", Outcome.MISS))[0].server == "10.0.0.9:7000"
    out = driver.handle(Arrived("w", "write", 2_000_000, 5, write=True))
    assert sends(out)[0].server == "10.0.0.9:7000"


def test_events_of_finished_or_unknown_requests_are_ignored() -> None:
    driver = RouterDriver()
    driver.arrive("r", key=1)
    driver.end("r", Outcome.OK)
    assert driver.end("r", Outcome.TIMEOUT) == []
    assert driver.handle(AttemptEnded("x", 0, NAMES[0], Outcome.OK, 1)) == []
    driver.arrive("s", key=1)
    assert driver.handle(AttemptEnded("s", 7, NAMES[0], Outcome.OK, 1)) == []
    assert driver.router.in_flight == 1


def test_outcome_from_before_a_server_left_does_not_count_after_its_return() -> None:
    driver = RouterDriver(ONLY_READS)
    server = sends(driver.arrive("r", key=1))[0].server
    driver.handle(gone(server))
    driver.handle(ServerList(ListKind.PATCH, [entry(server)]))
    driver.end("r", Outcome.CONNECT_FAILED)
    assert driver.router.suspect_count == 0 and not driver.router.servers[server].suspect


def test_start_time_in_the_future_is_harmless_if_servers_are_never_cold() -> None:
    driver = RouterDriver(replace(ONLY_READS, cold_us=0))
    driver.handle(ServerList(ListKind.PATCH, [entry(n, started_at_us=driver.now + 5_000) for n in NAMES]))
    for k in range(50):
        out = driver.arrive(f"r{k}", key=k)
        assert len(sends(out)) + len(finals(out)) == 1
