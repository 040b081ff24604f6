"""Helpers to test a Router: settings, server lists, and a driver with a simulated clock."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from magpiefront import Router
from magpiefront.interface import (
    Action,
    Arrived,
    AttemptEnded,
    Cancel,
    Event,
    Fail,
    DedupScope,
    ListKind,
    Outcome,
    Refuse,
    Repeat,
    RequestClass,
    Send,
    ServerEntry,
    ServerList,
    SetTimer,
    Settings,
    Status,
    TimerFired,
)

READ = RequestClass("read", Repeat.SAFE, 500_000, 2_000_000)
WRITE = RequestClass("write", Repeat.KEYED, 500_000, 2_000_000, group=DedupScope.ALL, window_us=1_000_000)
ZONED = RequestClass("zoned", Repeat.KEYED, 500_000, 2_000_000, group=DedupScope.ZONE, window_us=1_000_000)
CELLED = RequestClass("celled", Repeat.KEYED, 500_000, 2_000_000, group=DedupScope.CELL, window_us=800_000)
ONCE = RequestClass("once", Repeat.UNSAFE, 500_000, 2_000_000)
CLASSES = (READ, WRITE, ZONED, CELLED, ONCE)
SETTINGS = Settings(
    classes=CLASSES,
    proxies=2,
    max_attempts=4,
    hedging=True,
    may_cancel=True,
    cold_from=0.2,
    cold_us=10_000_000,
    round_us=1_000,
)
NAMES = [f"10.0.0.{n}:7000" for n in range(10)]


def entry(name: str, **overrides: Any) -> ServerEntry:
    """Returns the list entry of a server. Three zones take turns by the last number of its address, and three
    consecutive numbers form a cell."""
    number = int(name.split(".")[3].split(":")[0])
    return replace(ServerEntry(name, zone=f"z{number % 3}", cell=number // 3), **overrides)


def full_list(names: list[str], kind: ListKind = ListKind.STALE) -> ServerList:
    """Returns a list of these servers, all of them ready."""
    return ServerList(kind, [entry(n) for n in names])


class RouterDriver:
    """Passes events to a Router, fires its timers when they are due on a simulated clock, and records its
    actions: `log` has all of them with their times, and `sent` the Send actions of each request."""

    def __init__(self, settings: Settings = SETTINGS, names: list[str] | None = None, seed: int = 1) -> None:
        self.router = Router(settings, seed)
        self.now = 100_000_000
        self.timers: list[tuple[int, int, str]] = []
        self.log: list[tuple[int, Action]] = []
        self.sent: dict[str, list[Send]] = {}
        self.timer_count = 0
        self.handle(full_list(NAMES if names is None else names))

    def handle(self, event: Event) -> list[Action]:
        """Passes an event to the Router at the current time and returns its actions."""
        actions = self.router.handle(self.now, event)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, Send):
                self.sent.setdefault(action.request, []).append(action)
            elif isinstance(action, SetTimer):
                self.timer_count += 1
                self.timers.append((self.now + action.delay_us, self.timer_count, action.token))
        if isinstance(event, ServerList):
            self._finish_placement()
        return actions

    def _finish_placement(self) -> None:
        """Fires the timers for changes of the ring until all of them are applied."""
        while due := [t for t in self.timers if t[2] == "place"]:
            self.timers.remove(due[0])
            self.handle(TimerFired("place"))

    def advance(self, by_us: int) -> list[Action]:
        """Advances the clock, fires the timers that are due and returns the actions that they caused."""
        end, actions = self.now + by_us, list[Action]()
        while self.timers and min(self.timers)[0] <= end:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now + 1, due[0])
            actions += self.handle(TimerFired(due[2]))
        self.now = max(self.now, end)
        return actions

    def arrive(
        self, request: str, cls: str = "read", time_left_us: int = 2_000_000, **fields: Any
    ) -> list[Action]:
        return self.handle(Arrived(request, cls, time_left_us, **fields))

    def end(
        self, request: str, outcome: Outcome, attempt: int = -1, elapsed_us: int = 20_000
    ) -> list[Action]:
        """Ends an attempt of a request, by default its last."""
        sends = self.sent[request]
        attempt = attempt if attempt >= 0 else len(sends) - 1
        done = outcome is Outcome.OK
        return self.handle(AttemptEnded(request, attempt, sends[attempt].server, outcome, elapsed_us, done))


def sends(actions: list[Action]) -> list[Send]:
    return [a for a in actions if isinstance(a, Send)]


def finals(actions: list[Action]) -> list[Refuse | Fail]:
    return [a for a in actions if isinstance(a, Refuse | Fail)]


def cancels(actions: list[Action]) -> list[Cancel]:
    return [a for a in actions if isinstance(a, Cancel)]


def gone(name: str, status: Status = Status.GONE) -> ServerList:
    """Returns a change of the list: the server has left, or has another status."""
    return ServerList(ListKind.PATCH, [entry(name, status=status)])
