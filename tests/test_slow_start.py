"""Slow start in a fleet: what a cold server gets from all proxies together, on a simulated clock.

The proxies are Routers that share nothing.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import replace
from itertools import count
from math import sqrt
from random import Random

import pytest

from magpiefront import Router
from magpiefront.interface import Arrived, AttemptEnded, Event, ListKind, Outcome, ServerEntry, ServerList
from magpiefront.interface import Send, SetTimer, TimerFired
from tests.helpers import SETTINGS

SERVERS = 24
WINDOW_US = 1_000_000  # requests to the cold server are counted over a sliding window of this length
WARM_CAPACITY = 60  # requests of mean cost that a warm server can serve in a window
LOAD = 0.7  # mean load, as a share of the warm capacity of all servers
COLD_FROM, COLD_US = 0.3, 8_000_000
STARTS_AT_US = 100_000_000
SERVICE_TIME_US = 20_000  # mean
COLD_SETTINGS = replace(SETTINGS, cold_from=COLD_FROM, cold_us=COLD_US)
COLD = "s-cold"


def allowed(at_us: int) -> float:
    """Returns how many requests a cold server may get in the window that ends at `at_us`: its warm share of
    the capacity, and two to three standard deviations more."""
    warmth = COLD_FROM + (1 - COLD_FROM) * min(1.0, (at_us - STARTS_AT_US) / COLD_US)
    mean = WARM_CAPACITY * warmth
    return mean + 3 * sqrt(mean) + 3 if mean < 30 else mean + 2 * sqrt(mean) + 2


class Fleet:
    """Proxies, each a Router, whose events are handled in the order of one simulated clock (us)."""

    def __init__(self, proxies: int, seed: int) -> None:
        self.random = Random(seed)
        settings = replace(COLD_SETTINGS, proxies=proxies)
        self.routers = [Router(settings, self.random.getrandbits(32)) for _ in range(proxies)]
        self.number = count()
        self.due: list[tuple[int, int, Router, Event]] = []
        self.sent: deque[int] = deque()  # times of requests to the cold server, in the last window
        self.max_excess = -1e9  # the most by which the requests in a window exceeded what is allowed

    def handle(self, now: int, router: Router, event: Event) -> None:
        """Passes an event to a Router. Each attempt that it sends is answered after a random service time."""
        for action in router.handle(now, event):
            if isinstance(action, SetTimer):
                self.schedule(now + action.delay_us, router, TimerFired(action.token))
            elif isinstance(action, Send):
                if action.server == COLD:
                    self.count_cold(now)
                elapsed = int(SERVICE_TIME_US * self.random.uniform(0.5, 1.5))
                ended = AttemptEnded(action.request, 0, action.server, Outcome.OK, elapsed, True, 1, None)
                self.schedule(now + elapsed, router, ended)

    def schedule(self, when: int, router: Router, event: Event) -> None:
        heapq.heappush(self.due, (when, next(self.number), router, event))

    def count_cold(self, now: int) -> None:
        self.sent.append(now)
        while self.sent[0] <= now - WINDOW_US:
            self.sent.popleft()
        self.max_excess = max(self.max_excess, len(self.sent) - allowed(now))

    def run_until(self, end: int) -> None:
        while self.due and self.due[0][0] <= end:
            now, _, router, event = heapq.heappop(self.due)
            self.handle(now, router, event)

    def schedule_requests(self, begin: int, end: int, popular: float) -> None:
        """Schedules requests at random times from `begin` to `end`. The share `popular` of them is for 20
        popular keys, the others are for random keys."""
        interval_us = WINDOW_US / (SERVERS * WARM_CAPACITY * LOAD)
        now = float(begin)
        while now < end:
            now += self.random.expovariate(1 / interval_us)
            key = self.random.randrange(20 if self.random.random() < popular else 100_000)
            name = f"r{next(self.number)}"
            arrived = Arrived(name, "read", 2_000_000, key * 7_919, None, 0, False, False, None)
            self.schedule(int(now), self.random.choice(self.routers), arrived)


@pytest.mark.parametrize("informed", [1.0, 0.5], ids=["all informed", "half informed late"])
@pytest.mark.parametrize("proxies", [1, 3, 30, 200])
def test_a_cold_server_gets_no_more_than_its_share_from_all_proxies(proxies: int, informed: float) -> None:
    fleet = Fleet(proxies, seed=proxies)
    warm = [ServerEntry(f"s-{n}") for n in range(SERVERS - 1)]
    for router in fleet.routers:
        fleet.handle(STARTS_AT_US - 3 * WINDOW_US, router, ServerList(ListKind.STALE, warm))
    fleet.schedule_requests(STARTS_AT_US - 3 * WINDOW_US, STARTS_AT_US + COLD_US, popular=0.1)
    fleet.run_until(STARTS_AT_US)
    joins = ServerList(ListKind.PATCH, [ServerEntry(COLD, started_at_us=STARTS_AT_US)])
    for router in fleet.routers:
        late = 0 if fleet.random.random() < informed else 4 * WINDOW_US
        fleet.schedule(STARTS_AT_US + int(fleet.random.random() * WINDOW_US) + late, router, joins)
    fleet.run_until(STARTS_AT_US + COLD_US)
    assert len(fleet.sent) > WARM_CAPACITY * LOAD / 4  # it does get requests
    assert fleet.max_excess <= 0
