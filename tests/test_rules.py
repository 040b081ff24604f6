"""Tests of properties that hold for any order of events, with an observer that shares no code with the
Router.

Nothing is sent to a server that drains, is gone or was never listed. No request takes effect twice if its
class forbids that. Every request gets exactly one final answer, in time. A request is refused only if sending
it again is safe.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from magpiefront.interface import (
    Arrived,
    AttemptEnded,
    ClientLeft,
    Event,
    Fail,
    ListKind,
    Outcome,
    Probe,
    ProbeEnded,
    Refuse,
    Send,
    ServerList,
    Settings,
    Status,
    StreamBegan,
)
from tests.helpers import CLASSES, NAMES, SETTINGS, RouterDriver, entry, sends

NEVER_RAN = {Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT, Outcome.MISS}
CLASS_TERMS = {c.name: (c.repeat.value, c.group.value, c.window_us) for c in CLASSES}


class Observer:
    """Is shown all events and actions, and asserts that the Router follows the rules."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.ready: dict[str, tuple[str, int]] = {}  # zone and cell of each server that may be sent to
        self.requests: dict[str, dict[str, Any]] = {}

    def on_list(self, event: ServerList) -> None:
        if event.kind is ListKind.BROKEN:
            return
        if event.kind in (ListKind.WHOLE, ListKind.STALE):
            self.ready = {}
        for listed in event.entries:
            if listed.status is Status.READY:
                self.ready[listed.server] = (listed.zone, listed.cell)
            else:
                self.ready.pop(listed.server, None)

    def on_arrived(self, now: int, event: Arrived) -> None:
        terms = CLASS_TERMS.get(event.class_name, ("unsafe", "all", 0))
        self.requests[event.request] = {
            "terms": terms, "due": now + event.time_left_us, "attempts": [], "answers": [],
        }  # fmt: skip

    def on_send(self, now: int, send: Send) -> None:
        request = self.requests[send.request]
        assert not request["answers"], "sent after the final answer"
        assert send.server in self.ready, "sent to a server that drains, is gone or was never listed"
        repeat, scope, window = request["terms"]
        ran = [a for a in request["attempts"] if a["outcome"] not in NEVER_RAN]
        if repeat == "unsafe":
            assert not ran, "an unsafe request may take effect twice"
        for a in ran if repeat == "keyed" else []:
            assert now < a["at"] + window, "retried after the window"
            place = {"all": 0, "zone": self.ready[send.server][0], "cell": self.ready[send.server][1]}[scope]
            assert (
                place == {"all": 0, "zone": a["place"][0], "cell": a["place"][1]}[scope]
            ), "retried outside of the zone or cell"
        assert len(request["attempts"]) < self.settings.max_attempts
        outstanding = sum(a["outcome"] is None for a in request["attempts"])
        assert outstanding == 0 or (self.settings.hedging and outstanding < 2), "too many attempts at once"
        request["attempts"].append(
            {
                "at": now,
                "server": send.server,
                "place": self.ready[send.server],
                "outcome": None,
                "until": send.expire_at_us,
            }
        )

    def on_answer(self, now: int, name: str, refused: bool) -> None:
        request = self.requests[name]
        assert not request["answers"], "two final answers"
        assert now <= request["due"] + self.settings.answer_slack_us, "answered too late"
        request["answers"].append(now)
        repeat, scope, _ = request["terms"]
        if refused:
            ran = [a for a in request["attempts"] if a["outcome"] not in NEVER_RAN]
            assert (
                repeat == "safe" or not ran or (repeat == "keyed" and scope == "all")
            ), "refused although it may have run"


class ObservedDriver(RouterDriver):
    """Passes a script's events to a Router in an order that the interface allows, and shows all events and
    actions to an Observer. Attempts that the script does not end time out when they expire."""

    def __init__(self, settings: Settings, names: list[str]) -> None:
        self.observer = Observer(settings)
        self.probes: list[str] = []
        self.outstanding: list[tuple[int, str, int]] = []  # when it expires, request, attempt
        super().__init__(settings, names)

    def handle(self, event: Event) -> list[Any]:
        if isinstance(event, ServerList):
            self.observer.on_list(event)
        elif isinstance(event, Arrived):
            self.observer.on_arrived(self.now, event)
        actions = super().handle(event)
        for action in actions:
            if isinstance(action, Send):
                self.observer.on_send(self.now, action)
                attempts = self.observer.requests[action.request]["attempts"]
                due = self.observer.requests[action.request]["due"]
                until = min(action.expire_at_us or due, due)
                self.outstanding.append((max(until, self.now + 1), action.request, len(attempts) - 1))
            elif isinstance(action, Refuse | Fail):
                self.observer.on_answer(self.now, action.request, isinstance(action, Refuse))
            elif isinstance(action, Probe):
                self.probes.append(action.server)
        return actions

    def end_one(self, which: int, outcome: Outcome) -> None:
        """Ends the outstanding attempt with the number `which`, modulo the number of outstanding attempts."""
        if self.outstanding:
            item = self.outstanding.pop(which % len(self.outstanding))
            self.end_attempt(item, outcome)

    def end_attempt(self, item: tuple[int, str, int], outcome: Outcome) -> None:
        _, name, attempt = item
        request = self.observer.requests[name]
        request["attempts"][attempt]["outcome"] = outcome
        if outcome is Outcome.OK and not request["answers"]:
            request["answers"].append(self.now)
        server = request["attempts"][attempt]["server"]
        elapsed = self.now - request["attempts"][attempt]["at"]
        self.handle(AttemptEnded(name, attempt, server, outcome, elapsed, bool(request["answers"])))

    def advance(self, by_us: int) -> list[Any]:
        end = self.now + by_us
        while self.outstanding and min(self.outstanding)[0] <= end:
            item = min(self.outstanding)
            super().advance(max(0, item[0] - self.now))
            if item in self.outstanding:
                self.outstanding.remove(item)
                self.end_attempt(item, Outcome.TIMEOUT)
        return super().advance(max(0, end - self.now))


steps = st.lists(
    st.one_of(
        st.tuples(st.just("arrive"), st.integers(0, len(CLASSES)), st.integers(0, 12)),
        st.tuples(st.just("arrive"), st.integers(0, len(CLASSES)), st.integers(0, 12)),
        st.tuples(st.just("outcome"), st.integers(0, 30), st.sampled_from(list(Outcome))),
        st.tuples(st.just("outcome"), st.integers(0, 30), st.sampled_from(list(Outcome))),
        st.tuples(st.just("status"), st.integers(0, 9), st.sampled_from(list(Status))),
        st.tuples(st.just("list"), st.integers(0, 10), st.sampled_from(list(ListKind))),
        st.tuples(st.just("restart"), st.integers(0, 9), st.integers(0, 5_000_000)),
        st.tuples(st.just("wait"), st.integers(0, 3), st.integers(0, 400_000)),
        st.tuples(st.just("left"), st.integers(0, 30), st.just(0)),
        st.tuples(st.just("stream"), st.integers(0, 30), st.just(0)),
        st.tuples(st.just("probed"), st.integers(0, 30), st.sampled_from(list(Outcome))),
    ),
    min_size=5,
    max_size=80,
)


def run_script(settings: Settings, script: list[tuple[str, int, Any]], names: list[str]) -> ObservedDriver:
    """Plays a script of random steps, then lets all outstanding attempts expire."""
    driver = ObservedDriver(settings, names)
    for n, (step, index, value) in enumerate(script):
        observer = driver.observer
        if step == "arrive":
            cls = CLASSES[index].name if index < len(CLASSES) else "no such class"
            driver.arrive(f"r{n}", cls, time_left_us=[30_000, 700_000, 2_000_000][value % 3], key=value)
        elif step == "outcome":
            driver.end_one(index, value)
        elif step == "status":
            driver.handle(ServerList(ListKind.PATCH, [entry(NAMES[index], status=value)]))
        elif step == "list":
            broken = value is ListKind.BROKEN
            driver.handle(ServerList(value, [] if broken else [entry(name) for name in NAMES[:index]]))
        elif step == "restart":
            driver.handle(ServerList(ListKind.PATCH, [entry(NAMES[index], started_at_us=driver.now - value)]))
        elif step == "wait":
            driver.advance(value * index)
        elif step == "left" and observer.requests:
            name = list(observer.requests)[index % len(observer.requests)]
            if not observer.requests[name]["answers"]:
                observer.requests[name]["answers"].append(driver.now)
            driver.handle(ClientLeft(name))
        elif step == "stream" and driver.outstanding:
            _, name, attempt = driver.outstanding[index % len(driver.outstanding)]
            if not observer.requests[name]["answers"]:
                observer.requests[name]["answers"].append(driver.now)
                driver.handle(StreamBegan(name, attempt))
        elif step == "probed" and driver.probes:
            driver.handle(ProbeEnded(driver.probes.pop(), value, 1_000))
    driver.advance(5_000_000)
    return driver


def check_end_state(driver: ObservedDriver) -> None:
    """Asserts that every request has one final answer and that the Router has nothing in flight."""
    for name, request in driver.observer.requests.items():
        assert len(request["answers"]) == 1, f"{name} got no final answer"
    router = driver.router
    assert not router.pending and router.in_flight == 0
    assert all(s.in_flight == 0 for s in router.servers.values())
    assert router.suspect_count == sum(s.suspect for s in router.servers.values())


@given(steps)
def test_rules_hold_with_hedging(script: list[tuple[str, int, Any]]) -> None:
    check_end_state(run_script(SETTINGS, script, NAMES))


@given(steps, st.integers(0, 3))
def test_rules_hold_without_hedging_and_with_few_servers(
    script: list[tuple[str, int, Any]], servers: int
) -> None:
    settings = replace(
        SETTINGS, hedging=False, may_cancel=False, may_probe=True, max_attempts=3, subscribe=True
    )
    check_end_state(run_script(settings, script, NAMES[:servers]))


@given(
    st.integers(0, 1 << 30), st.integers(0, 10_000_000), st.lists(st.sampled_from(list(Outcome)), max_size=3)
)
def test_a_cold_server_gets_no_more_than_its_warm_share(first: int, age: int, ends: list[Outcome]) -> None:
    """However attempts end, a cold server gets at most its share of first attempts, and no retries."""
    driver = RouterDriver(replace(SETTINGS, classes=(CLASSES[0],)))
    homes = {}
    for n in range(300):
        homes[n] = sends(driver.arrive(f"w{n}", key=first + n))[0].server
        driver.end(f"w{n}", Outcome.OK)
    driver.handle(ServerList(ListKind.PATCH, [entry(NAMES[0], started_at_us=driver.now - age)]))
    share = 0.2 + 0.8 * age / 10_000_000
    received = normal = 0
    for n in range(300):
        actions = driver.arrive(f"c{n}", key=first + n)
        normal += homes[n] == NAMES[0]
        received += any(isinstance(a, Send) and a.server == NAMES[0] for a in actions)
        for outcome in ends:
            if f"c{n}" not in driver.router.pending:
                break
            retries = driver.end(f"c{n}", outcome)
            assert age >= 10_000_000 or not any(isinstance(a, Send) and a.server == NAMES[0] for a in retries)
        if f"c{n}" in driver.router.pending:
            driver.end(f"c{n}", Outcome.OK)
    assert received <= normal * share + 3 * (normal * share * (1 - share)) ** 0.5 + 2
