"""The Router: decides which server gets each request, and when to retry, hedge, refuse or probe.

A Router does no I/O and reads no clock: `handle` takes the time and an event and returns the actions to carry
out. Settings, events and actions are defined in magpiefront/interface.py. Times are microseconds.

Consistent hashing gives every key a home server, and the load of each server is bounded: when the home is at
its cap, the key is hashed again together with the number of the jump, which leads to another server
("random-jump" consistent hashing). The other rules keep placement correct and stable when servers, the origin
or discovery fail. The sections are: constants, state, requests, server selection, outcomes, health, the
server list, timers.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import ceil, log
from random import Random

from magpiefront.hashing import nth_hash, splitmix64, text_hash, unit_interval
from magpiefront.interface import (
    NEVER_RAN, Abandon, Action, AnswerPaused, Arrived, AttemptEnded, Cancel, ClientLeft, DedupScope, Event,
    Exclude, Fail, Include, ListKind, LogMessage, OperatorResult, Outcome, PredecessorLoad, Probe, ProbeEnded,
    Refuse, Repeat, RequestClass, Send, ServerEntry, ServerList, SetTimer, Settings, Status, StopSending,
    StreamBegan, TimerFired, Watch, WeightSource,
)  # fmt: skip
from magpiefront.placement import Placement
from magpiefront.repeat_limits import NO_GROUP, RepeatLimits, ServerGroup

# Placement and caps
SLOTS_PER_SERVER = 96  # points on the ring of a server of average weight
# A server's cap is (1 + CAP_HEADROOM) times the mean number of requests in flight per server, in proportion
# to its slots (CAP_HEADROOM is the epsilon of bounded loads).
CAP_HEADROOM = 0.5
# Lowest cap of a server (requests in flight) for all proxies together; each proxy's part is at least 1.
MIN_FLEET_CAP = 20
# A cold server may take overflow while its requests in flight, with the new one, are at most COLD_SPILL_SHARE
# times the minimum cap times the share of its normal load that it can serve by now.
COLD_SPILL_SHARE = 0.5
MAX_JUMPS = 16  # ring positions tried for one attempt; if all are at their cap, the least loaded gets it
# A key gets one more home for each 1/HOMES_PER_MEAN_LOAD of a server's mean load that its requests cause.
HOMES_PER_MEAN_LOAD = 4.0
# Requests are counted in windows to find popular keys. A window ends after COUNT_WINDOW_PER_SERVER requests
# per server, but not before MIN_COUNT_WINDOW requests.
COUNT_WINDOW_PER_SERVER, MIN_COUNT_WINDOW = 4, 256

# Retry budget and hedging
# Each arriving request adds this to the retry budget, and less while the admission gates are not fully open.
RETRY_BUDGET_PER_REQUEST = 0.05
# MAX_RETRY_BUDGET is the most that the budget can hold, and so bounds a burst of retries. A retry costs
# CHEAP_RETRY_COST after one of the CHEAP_OUTCOMES; after any other outcome it costs 1 if the attempt may have
# run, and nothing if it cannot have run.
MAX_RETRY_BUDGET, CHEAP_RETRY_COST = 10.0, 0.25
# Clients that send many requests at once on a connection leave this much of the budget to others.
PIPELINED_RESERVE = MAX_RETRY_BUDGET / 2
CHEAP_OUTCOMES = (Outcome.FULL, Outcome.RESET)
# A request is hedged when its attempt has taken longer than the mean latency of its class's cache hits plus
# HEDGE_DEVIATIONS times their mean deviation, but not before a quarter of the class's latency objective.
HEDGE_DEVIATIONS = 3.0

# Moving averages
SMOOTHING = 0.05  # weight of the newest value in a moving average
# A server's average latency is ignored when it has not been updated for LATENCY_MEMORY_US. A new value gets a
# weight in it that grows with the time since the last update, and is at least MIN_LATENCY_WEIGHT.
LATENCY_MEMORY_US, MIN_LATENCY_WEIGHT = 16_000_000, 0.1

# Admission gates
# A gate closes while its bad share exceeds the baseline by more than CLOSE_ABOVE, and reopens while the bad
# share is less than OPEN_BELOW above the baseline.
CLOSE_ABOVE, OPEN_BELOW = 0.25, 0.12
# While a gate closes, each bad outcome takes the fraction CLOSE_STEP off the admitted share, but never leaves
# less than MIN_ADMITTED_SHARE. Until the gate can reopen, each arrival takes at least the fraction
# DECAY_PER_ARRIVAL off the bad share.
CLOSE_STEP, DECAY_PER_ARRIVAL, MIN_ADMITTED_SHARE = 0.05, 0.01, 0.002
# If the time since the previous arrival, divided by DECAY_US, is more than DECAY_PER_ARRIVAL, an arrival
# takes that fraction off the bad share instead, but at most half. Otherwise a proxy with few requests would
# keep its gate closed for too long.
DECAY_US = 2_000_000
# Above 1/REOPEN_RAMP (an eighth), the admitted share grows at a constant rate of 1 in REOPEN_US; below that,
# the rate is proportional to the share. A gate that reopens faster than the servers' queues respond
# oscillates.
REOPEN_US, REOPEN_RAMP = 8_000_000, 8.0
# The admitted share grows FAST_REOPEN_FACTOR times as fast while it is below FAST_REOPEN_LIMIT times the
# share at which the gate last began to close.
FAST_REOPEN_FACTOR, FAST_REOPEN_LIMIT = 4.0, 0.7

# Traffic to servers with bad outcomes
# A bad outcome takes the fraction TRAFFIC_SHARE_STEP off the server's traffic share, but never leaves less
# than MIN_TRAFFIC_SHARE.
TRAFFIC_SHARE_STEP, MIN_TRAFFIC_SHARE = 0.2, 0.05
# A server's traffic share stays reduced while the share of its outcomes that are bad exceeds both
# MIN_TOLERATED_BAD_SHARE and TOLERATED_BAD_RATIO times the fleet's bad share.
MIN_TOLERATED_BAD_SHARE, TOLERATED_BAD_RATIO = 0.1, 1.5

# Suspected servers (outlier ejection)
# A server becomes a suspect when its failures in a row have a probability below this for a server that has
# the fleet's bad share.
SUSPECT_PROBABILITY = 1e-3
MAX_SUSPECT_SHARE = 0.5  # no more servers become suspects once this share of the servers are suspects

# A suspect waits for its first trial MIN_TRIAL_BACKOFF_US on average; the wait doubles after each failed
# trial, up to MAX_TRIAL_BACKOFF_US. If refusals may have a Retry-After, that is at most MIN_TRIAL_BACKOFF_US.
MIN_TRIAL_BACKOFF_US = 500_000
MAX_TRIAL_BACKOFF_US = 8_000_000

# Discovery. The first watch starts at a random time within the fraction FIRST_WATCH_SPREAD of `ask_every_us`.
# The backoff after the first failed watch is at most the fraction FIRST_WATCH_BACKOFF of `ask_every_us`, and
# doubles with each further failure.
FIRST_WATCH_SPREAD, FIRST_WATCH_BACKOFF = 0.1, 0.05
# A proxy must have the current list 6 s after discovery can be reached again, so the backoff must be shorter.
MAX_WATCH_BACKOFF_US = 3_000_000
PLACE_POINTS_PER_TURN = 32 * SLOTS_PER_SERVER  # ring points that are changed in one turn of the event loop
PLACE_POINTS_PER_BUSY_TURN = 16 * SLOTS_PER_SERVER  # the same while requests are pending
# A change of the list reports a restart within this time after it. An older start time was read from a clock
# that differs from this proxy's.
MAX_START_NEWS_AGE_US = 600_000_000


class Server:
    """A server of the list and its health, as this proxy sees it.

    `warm_at` is when its slow start ends. `trial_at` is when a suspect may be tried next, and
    `trial_backoff_us` the mean wait before that. `down`: it is a suspect because a connection to it failed.
    `failures` counts failures in a row. `in_flight` includes `predecessor_load`, the requests that the
    process replaced by this one still has there. `slots` is its number of points on the ring.
    `started_after`: when it may have started at the latest, as far as this proxy knows; -1: not known.
    """

    __slots__ = (
        "down", "failures", "group", "in_flight", "latency_at", "latency_us", "name", "origin",
        "predecessor_load", "responded_at", "slots", "start_learned_at", "started_after", "started_at",
        "suspect", "suspect_since", "traffic_share", "trial_at", "trial_backoff_us", "trial_in_flight",
        "warm_at",
    )  # fmt: skip

    def __init__(self, name: str) -> None:
        self.name, self.group = name, NO_GROUP
        self.slots = self.in_flight = self.started_at = self.warm_at = self.responded_at = 0
        self.start_learned_at = -1  # when the list told of `started_at`; -1: it has told of no start
        self.started_after = -1
        self.failures = self.trial_backoff_us = self.suspect_since = self.trial_at = self.predecessor_load = 0
        self.latency_us, self.latency_at = 0.0, 0  # moving average over reads, and when it was last updated
        self.traffic_share = 1.0  # share of its keys for which it gets the requests
        self.suspect = self.down = self.trial_in_flight = self.origin = False


class Attempt:
    """One sending of a request to a server. `outstanding`: it has not ended yet. `paused`: its server has
    begun an answer and then paused for long. `started_at` and `group`: those of the server when the attempt
    was sent; the list may change them."""

    __slots__ = ("group", "may_have_run", "outstanding", "paused", "sent_at", "server", "started_at")

    def __init__(self, server: Server, now: int) -> None:
        self.server, self.sent_at, self.outstanding, self.may_have_run = server, now, True, True
        self.paused, self.started_at = False, server.started_at
        self.group = server.group


class PendingRequest:
    """A request, kept until it has its final answer and all its attempts have ended.

    `done`: it has its final answer. `needs_fetch`: the server probably has to fetch the response from the
    origin. `to_origin`: it is sent to the origin itself. `next_jump`: number of the ring position to try
    next. No attempt begins or lasts past `expires_at`. `outstanding`: how many attempts have not ended yet.
    `sent_before`: what binds it since it may have been sent before it arrived here.
    """

    __slots__ = (
        "arrived", "attempts", "cls", "deadline", "done", "expires_at", "key", "max_attempts", "name",
        "needs_fetch", "next_jump", "outstanding", "pipelined", "sent_before", "to_origin", "write",
    )  # fmt: skip

    def __init__(self, event: Arrived, cls: RequestClass, now: int, settings: Settings) -> None:
        self.name, self.cls, self.arrived, self.attempts = event.request, cls, now, list[Attempt]()
        self.sent_before = event.limits
        self.max_attempts, round_us = settings.max_attempts, settings.round_us
        self.key = splitmix64(event.key if event.key is not None else text_hash(event.request))
        self.deadline = now + max(0, event.time_left_us - round_us)
        self.expires_at = self.deadline if cls.late_worth > 0 else min(self.deadline, now + cls.aim_us)
        self.outstanding, self.next_jump, self.write, self.pipelined = 0, 0, event.write, event.pipelined
        self.done = self.to_origin = self.needs_fetch = False

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have run, by an attempt or before it arrived here."""
        return self.sent_before.may_have_run or any(a.may_have_run for a in self.attempts)

    def limits(self) -> RepeatLimits:
        """Returns what binds the next attempt of a keyed request."""
        for attempt in self.attempts:
            if attempt.may_have_run:
                return self.sent_before.after_attempt(attempt.sent_at, self.cls.window_us, attempt.group)
        return self.sent_before


class AdmissionGate:
    """Sheds load while the servers or the origin are overloaded: admits a share of the keys.

    Bad outcomes lower `share`; it rises again with time. `bad_share` is the moving average of the share of
    bad outcomes, and `baseline` the part of it that has another cause and does not close this gate.
    """

    __slots__ = ("bad_share", "baseline", "closing", "share", "share_before_closing")

    def __init__(self) -> None:
        self.share, self.bad_share, self.baseline = 1.0, 0.0, 0.0
        self.share_before_closing, self.closing = 1.0, False

    def record_outcome(self, bad: bool) -> None:
        """Counts an outcome. A bad one closes the gate by a step if too many are bad."""
        self.bad_share += SMOOTHING * (bad - self.bad_share)
        if bad and self.bad_share > self.baseline + CLOSE_ABOVE:
            if not self.closing:
                self.share_before_closing, self.closing = self.share, True
            self.share = max(MIN_ADMITTED_SHARE, self.share * (1 - CLOSE_STEP))

    def record_arrival(self, since_us: int) -> None:
        """Handles an arrival `since_us` after the previous one: reopens the gate according to that time, or
        lets the bad share decay."""
        if self.bad_share < self.baseline + OPEN_BELOW:
            self.closing = False
            # Fast until close to the share at which the gate last began to close, then slowly. Under lasting
            # overload each closing begins at a lower share; after a short burst few requests are refused.
            factor = FAST_REOPEN_FACTOR if self.share < FAST_REOPEN_LIMIT * self.share_before_closing else 1.0
            self.share = min(
                1.0, self.share + factor * min(1.0, REOPEN_RAMP * self.share) * since_us / REOPEN_US
            )
        elif self.share < 1:  # with few admitted requests, new outcomes alone would not replace the old ones
            self.bad_share *= 1 - min(0.5, max(DECAY_PER_ARRIVAL, since_us / DECAY_US))


class ReadLatency:
    """Moving averages of the latency of reads at all servers (us): of cache hits (`hit`), of reads that were
    fetched from the origin (`fetched`, 0 before the first), and of all reads (`all`)."""

    __slots__ = ("all", "fetched", "hit")

    def __init__(self, initial: float) -> None:
        self.all = self.hit = initial
        self.fetched = 0.0

    def record(self, elapsed_us: int, fetched: bool) -> float:
        """Counts a read. Returns the server's own part of its latency (us): queueing and work, but not the
        fetch."""
        self.all += SMOOTHING * (elapsed_us - self.all)
        if not fetched:
            self.hit += SMOOTHING * (elapsed_us - self.hit)
            return elapsed_us
        self.fetched += SMOOTHING * (elapsed_us - self.fetched) if self.fetched else elapsed_us
        return max(0.0, elapsed_us - max(0.0, self.fetched - self.hit))


class Router:
    """Routes the requests of one proxy. Two Routers with the same settings, seed and events act the same."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random = Random(seed)
        self.hit_latency = dict[str, list[float]]()  # by class: mean and mean deviation for cache hits (us)
        self.configure(settings)
        self.servers: dict[str, Server] = {}  # listed as ready, and not excluded by an operator
        self.listed: dict[str, ServerEntry] = {}  # the whole list
        self.excluded: set[str] = set()  # excluded by an operator, whatever the list says
        self.origin: dict[str, Server] = {}
        self.placement = Placement[Server]()
        self.placement_scheduled = False  # a timer is set to continue the changes of the ring
        self.suspect_slots = self.suspect_count = self.in_flight = 0
        self.failing_count = 0  # servers whose last answer was a failure
        self.predecessor_loaded: set[str] = set()  # servers where the replaced process has requests in flight
        self.pending: dict[str, PendingRequest] = {}
        # For the current and the previous window: the number of requests for each key, and the keys that some
        # server probably has in its cache.
        self.key_counts, self.previous_key_counts = dict[int, int](), dict[int, int]()
        self.cached_keys, self.previous_cached_keys = set[int](), set[int]()
        self.counted_requests = self.previous_counted_requests = 0
        self.retry_budget = MAX_RETRY_BUDGET
        # `server_gate` sheds load while the servers are overloaded, `origin_gate` while the origin is.
        self.server_gate, self.origin_gate = AdmissionGate(), AdmissionGate()
        # Clients that send many requests at once on a connection have a further gate. Their outcomes close
        # only that one: otherwise a few such clients would have the requests of all others refused.
        self.pipelined_gate = AdmissionGate()
        # A server of weight `weight_unit` gets SLOTS_PER_SERVER slots; 0 until a list has weights.
        self.fleet_bad_share, self.weight_unit = 0.0, 0.0
        self.read_latency = ReadLatency(min((c.aim_us for c in settings.classes), default=0) / 4)
        self.watch_at = self.failed_watches = self.last_arrival_at = 0
        self.started = self.watching = False
        self.actions: list[Action] = []

    def configure(self, settings: Settings) -> None:
        """Applies new settings. Pending requests keep their class and their limit of attempts."""
        self.settings = settings
        self.retry_after_us = (
            min(MIN_TRIAL_BACKOFF_US, settings.max_retry_after_us) if settings.retry_after else 0
        )
        self.min_cap = ceil(MIN_FLEET_CAP / settings.proxies)
        self.classes = {c.name: c for c in settings.classes}
        self.hit_latency = {
            c.name: self.hit_latency.get(c.name, [c.aim_us / 4, c.aim_us / 8]) for c in settings.classes
        }

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handles an event that occurs at `now_us` and returns the actions to carry out, in order."""
        self.actions = []
        if not self.started:
            self.started = True
            # At a random time, because many proxies start at once in a rollout or after a power cut.
            if self.settings.subscribe:
                self._schedule_watch(
                    now_us, self.random.random() * FIRST_WATCH_SPREAD * self.settings.ask_every_us
                )
        match event:
            case Arrived():
                self._on_arrived(now_us, event)
            case AttemptEnded():
                self._on_attempt_ended(now_us, event)
            case TimerFired():
                self._on_timer(now_us, event.token)
            case ServerList():
                self._on_list(now_us, event)
            case StopSending():
                for name in event.servers:
                    self.placement.remove(name)
                    self.origin.pop(name, None)
            case AnswerPaused():
                self._on_answer_paused(now_us, event)
            case ProbeEnded():
                self._on_probe_ended(now_us, event)
            case Exclude() | Include():
                self._on_operator_call(now_us, event)
            case PredecessorLoad():
                for name in self.predecessor_loaded | event.loads.keys():
                    if name in self.servers:
                        self._set_predecessor_load(self.servers[name], event.loads.get(name, 0))
            case StreamBegan() | ClientLeft():
                pending = self.pending.get(event.request)
                if pending is not None and not pending.done:
                    pending.done = True
                    self._finish(pending, event.attempt if isinstance(event, StreamBegan) else -1)
        return self.actions

    # ---- requests

    def _on_arrived(self, now: int, event: Arrived) -> None:
        if event.request in self.pending:
            return
        cls = event.cls or self.classes.get(event.class_name)
        if cls is None:
            cls = RequestClass(
                event.class_name, Repeat.UNSAFE, max(1, event.time_left_us), max(1, event.time_left_us)
            )
        pending = self.pending[event.request] = PendingRequest(event, cls, now, self.settings)
        pending.to_origin = event.write and bool(self.origin)
        seen = self._count_key(pending.key)
        # The key's share of the load is estimated from all requests but the current one, which is for this
        # key in any case. One request for other keys is added per server, which shrinks the estimate towards
        # zero: a key that is requested twice by chance gets at most HOMES_PER_MEAN_LOAD further homes.
        others, servers = (
            self.counted_requests + self.previous_counted_requests - 1, max(1, len(self.servers)),
        )  # fmt: skip
        homes = 1 + int(HOMES_PER_MEAN_LOAD * servers * (seen - 1) / (others + servers))
        self.retry_budget = min(
            MAX_RETRY_BUDGET,
            self.retry_budget + RETRY_BUDGET_PER_REQUEST * self.server_gate.share * self.origin_gate.share,
        )
        since, self.last_arrival_at = now - (self.last_arrival_at or now), now
        # Bad outcomes that come from the servers must not close the origin's gate.
        self.origin_gate.baseline = self.server_gate.bad_share
        self.server_gate.record_arrival(since)
        self.origin_gate.record_arrival(since)
        self.pipelined_gate.record_arrival(since)
        pending.needs_fetch = event.write or not self._is_cached(pending.key)
        # The key's hash decides, so that all proxies admit the same keys. The more often a key is requested,
        # the more likely the origin's gate admits it.
        if unit_interval(pending.key) >= min(
            self.server_gate.share, self.origin_gate.share * seen if pending.needs_fetch else 1.0,
            self.pipelined_gate.share if pending.pipelined else 1.0,
        ):  # fmt: skip
            self._answer_unserved(now, pending)
            return
        if pending.needs_fetch and not event.write:
            pending.expires_at = pending.deadline
        if homes > 1 and self.placement:
            # Start at the one of two random homes that has the lower latency. In this way all proxies
            # together even out load that no single proxy sees.
            limit = 1 + (homes - 1) * self.origin_gate.share
            candidates = [int(self.random.random() * limit) for _ in range(2)]
            pending.next_jump = min(
                candidates,
                key=lambda j: self._expected_latency(now, self.placement.owner(nth_hash(pending.key, j))),
            )
        self._start_attempt(now, pending)

    def _is_cached(self, key: int) -> bool:
        return key in self.cached_keys or key in self.previous_cached_keys

    def _count_key(self, key: int) -> int:
        """Counts a request for a key. Returns the number in the current and the previous window together."""
        if self.counted_requests >= max(MIN_COUNT_WINDOW, COUNT_WINDOW_PER_SERVER * len(self.servers)):
            (
                self.previous_key_counts, self.previous_counted_requests,
                self.key_counts, self.counted_requests,
            ) = self.key_counts, self.counted_requests, {}, 0  # fmt: skip
            self.previous_cached_keys, self.cached_keys = self.cached_keys, set()
        self.key_counts[key] = self.key_counts.get(key, 0) + 1
        self.counted_requests += 1
        return self.key_counts[key] + self.previous_key_counts.get(key, 0)

    def _start_attempt(self, now: int, pending: PendingRequest) -> bool:
        """Sends the request to a server and returns True. If no server can take it, or it may no longer be
        sent, returns False, after giving the final answer unless an attempt is still outstanding."""
        server = self._pick_server(now, pending) if pending.sent_before.allow_sending(now) else None
        if server is None:
            if not pending.outstanding:
                self._answer_unserved(now, pending)
            return False
        expire = pending.expires_at
        if (
            pending.cls.repeat is not Repeat.UNSAFE
            and len(pending.attempts) + 1 < pending.max_attempts
            and not pending.outstanding
        ):
            mean, deviation = self.hit_latency.get(pending.cls.name, (0, 0))
            due = now + max(int(mean + HEDGE_DEVIATIONS * deviation), pending.cls.aim_us // 4)
            if self.settings.hedging:
                if not pending.needs_fetch:  # a hedged miss would only be fetched from the origin twice
                    self.actions.append(SetTimer(due - now, "copy " + pending.name))
            elif due < expire:  # without hedging, the timeout has to leave time for another attempt
                expire = max(due, now + (expire - now) // 2)
        not_after = pending.limits().not_after_us if pending.cls.repeat is Repeat.KEYED else 0
        pending.attempts.append(Attempt(server, now))
        pending.outstanding += 1
        server.in_flight += 1
        self.in_flight += 1
        self.actions.append(Send(pending.name, server.name, expire, not_after, server.group))
        return True

    # ---- server selection

    def _pick_server(self, now: int, pending: PendingRequest) -> Server | None:
        """Returns the server for the next attempt; None if no server may get it."""
        if not (self.origin if pending.to_origin else self.placement):
            return None
        if pending.to_origin:
            return min(self.origin.values(), key=lambda o: o.in_flight)
        cap_per_slot = (
            (1 + CAP_HEADROOM) * (self.in_flight + 1) / max(1, self.placement.points - self.suspect_slots)
        )
        limits, best, cold, spilled = pending.limits(), None, None, bool(pending.attempts)
        for _ in range(MAX_JUMPS):
            h = nth_hash(pending.key, pending.next_jump)
            pending.next_jump += 1
            server = self.placement.owner(h)
            if server is None or not self._may_follow(pending, limits, server):
                continue
            if (
                not self._may_try(now, server)
                if server.suspect
                else unit_interval(splitmix64(h)) >= server.traffic_share
            ):
                spilled = True
            elif not pending.attempts and self._avoids_as_slow(now, server):
                spilled, best = True, best or server
            elif server.warm_at > now:
                if not spilled and self._admits_while_cold(now, server):
                    return self._choose(server)
                # Only first attempts spill to cold servers: retries come on top of the load.
                if (
                    not pending.attempts
                    and server.in_flight + 1 <= COLD_SPILL_SHARE * self.min_cap * self._warmth(now, server)
                ):
                    cold = cold or server
            elif server.in_flight < self.min_cap or server.in_flight < ceil(cap_per_slot * server.slots):
                return self._choose(server)
            else:
                spilled = True
                if not best or server.in_flight * best.slots < best.in_flight * server.slots:
                    best = server
        # No position led to a server below its cap: take a cold server that is nearly idle, or else the least
        # loaded server. When most of a fleet has just started, the few warm servers would otherwise get all
        # requests that the cold ones do not take.
        return self._choose(cold or best) if best else None

    def _expected_latency(self, now: int, server: Server | None) -> float:
        """Returns the server's own latency (us). The longer ago it was updated, the closer the result is to
        the mean latency of cache hits at all servers."""
        if server is None or not server.latency_us:
            return self.read_latency.hit
        fresh = 1 - (now - server.latency_at) / LATENCY_MEMORY_US
        return self.read_latency.hit + max(0.0, fresh) * (server.latency_us - self.read_latency.hit)

    def _avoids_as_slow(self, now: int, server: Server) -> bool:
        """Returns whether to avoid a server whose latency is above the mean of all reads. This guards against
        queues that no single proxy sees: to a proxy with at most one request of its own at a server, the cap
        says nothing about the requests of other proxies there, but the server's latency does. The decision is
        random, so that not all requests leave the server at once, and it still gets some of the requests for
        keys that other proxies request too."""
        latency = self._expected_latency(now, server)
        return latency > self.read_latency.all and self.random.random() > self.read_latency.all / latency

    def _choose(self, server: Server) -> Server:
        """Returns the server; marks its trial as begun if it is a suspect. That is done only here, for the
        server that is chosen: when a trial also began at a suspect that was only considered, it never ended,
        and the server stayed ejected for good."""
        server.trial_in_flight = server.trial_in_flight or server.suspect
        return server

    def _may_follow(self, pending: PendingRequest, limits: RepeatLimits, server: Server) -> bool:
        """Returns whether the server may get the next attempt. It must be one without an attempt so far. If
        the request is keyed and may have run, the server must also be one that `limits` allow, and must not
        have started since."""
        if pending.attempts and any(a.server.name == server.name for a in pending.attempts):
            return False
        if not limits.may_have_run or pending.cls.repeat is not Repeat.KEYED:
            return True
        started = server.started_after if pending.sent_before.may_have_run else server.start_learned_at
        return started < limits.first_sent_us and limits.allow_group(server.group, pending.cls.group)

    def _admits_while_cold(self, now: int, server: Server) -> bool:
        """Slow start: admits to a cold server the share of its requests that it can serve by now. It is asked
        only about first attempts that have not spilled from another server. The random draw is made for each
        request and not for each key, because the requests for one popular key can be as much load as those
        for all other keys."""
        share = self._warmth(now, server)
        return self.random.random() < share and server.in_flight < max(1, self.min_cap * share)

    def _warmth(self, now: int, server: Server) -> float:
        """Returns a lower estimate of the share of its normal load that a starting server can serve by now.
        It grows linearly from `cold_from` to 1."""
        done = 1 - (server.warm_at - now) / max(1, self.settings.cold_us)
        return self.settings.cold_from + (1 - self.settings.cold_from) * max(0.0, done)

    # ---- outcomes

    def _on_attempt_ended(self, now: int, event: AttemptEnded) -> None:
        pending = self.pending.get(event.request)
        if (
            pending is None
            or not 0 <= event.attempt < len(pending.attempts)
            or not pending.attempts[event.attempt].outstanding
        ):
            return
        attempt = pending.attempts[event.attempt]
        attempt.outstanding, attempt.may_have_run = False, event.outcome not in NEVER_RAN
        pending.outstanding -= 1
        attempt.server.in_flight -= 1
        self.in_flight -= 1
        pending.pipelined = pending.pipelined or event.pipelined
        self._record_outcome(now, pending, attempt, event)
        pending.done = pending.done or event.finished or event.outcome is Outcome.OK
        if pending.done:
            self._finish(pending, -1)
        elif not pending.outstanding:
            pending.to_origin = pending.to_origin or (event.outcome is Outcome.MISS and bool(self.origin))
            cost = (
                CHEAP_RETRY_COST if event.outcome in CHEAP_OUTCOMES else float(event.outcome not in NEVER_RAN)
            )
            if now < pending.expires_at and self._budget(pending) >= cost and self._may_retry(now, pending):
                self.retry_budget -= cost
                self._start_attempt(now, pending)
            else:
                self._answer_unserved(now, pending)

    def _on_answer_paused(self, now: int, event: AnswerPaused) -> None:
        """Tries another server beside one that has paused within its answer. Where a request may not have two
        attempts at once, the paused one is given up, but only the first time: a second server that pauses as
        well shows that this answer is slow everywhere."""
        pending = self.pending.get(event.request)
        if pending is None or pending.done or not 0 <= event.attempt < len(pending.attempts):
            return
        attempt = pending.attempts[event.attempt]
        paused_before = any(other.paused for other in pending.attempts)
        attempt.paused = True
        if not attempt.outstanding or pending.outstanding > 1 or now >= pending.expires_at:
            return
        if self._budget(pending) < CHEAP_RETRY_COST or not self._may_retry(now, pending):
            return
        if self.settings.hedging:
            if self._start_attempt(now, pending):
                self.retry_budget -= CHEAP_RETRY_COST
        elif not paused_before and len(self.servers) > len(pending.attempts):
            self.actions.append(Abandon(pending.name, event.attempt))

    def _may_retry(self, now: int, pending: PendingRequest) -> bool:
        left = len(pending.attempts) < pending.max_attempts
        return left and self._is_repeatable(now, pending)

    def _is_repeatable(self, now: int, pending: PendingRequest) -> bool:
        """Returns whether the request may be sent again, to the right servers, without a second effect."""
        if pending.cls.repeat is Repeat.SAFE or not pending.may_have_run:
            return True
        return pending.cls.repeat is Repeat.KEYED and pending.limits().allow_sending(now)

    def _budget(self, pending: PendingRequest) -> float:
        """Returns how much of the retry budget the request may use."""
        return self.retry_budget - (PIPELINED_RESERVE if pending.pipelined else 0.0)

    def _answer_unserved(self, now: int, pending: PendingRequest) -> None:
        """Gives the final answer to a request that is not served: Refuse if the client may safely send it
        again, through any proxy, Fail if it may have run and must not be repeated."""
        anywhere = pending.cls.repeat is not Repeat.KEYED or pending.cls.group is DedupScope.ALL
        repeatable = not pending.may_have_run or (anywhere and self._is_repeatable(now, pending))
        self.actions.append(Refuse(pending.name, self.retry_after_us) if repeatable else Fail(pending.name))
        pending.done = True
        self._finish(pending, -1)

    def _finish(self, pending: PendingRequest, streaming: int) -> None:
        """Forgets an answered request that has no outstanding attempts. Otherwise cancels those, if that is
        permitted, except attempt number `streaming` (-1: none), whose answer the client is receiving."""
        if not pending.outstanding:
            del self.pending[pending.name]
        elif self.settings.may_cancel:
            self.actions += [
                Cancel(pending.name, i)
                for i, a in enumerate(pending.attempts)
                if a.outstanding and i != streaming
            ]

    # ---- health

    def _record_outcome(
        self, now: int, pending: PendingRequest, attempt: Attempt, event: AttemptEnded
    ) -> None:
        """Updates health, latency, cached keys and the admission gates by an attempt's outcome. One that was
        sent before the server's latest start says nothing about the process that runs there now. One that
        took long because this process was late says nothing about how fast the server is."""
        outcome, server = event.outcome, attempt.server
        if attempt.started_at != server.started_at:
            return
        if attempt.paused and outcome is Outcome.CANCELLED:
            outcome = Outcome.RESET  # another server has answered while this one paused
        delayed_here = event.delayed_here
        timed_out = outcome is Outcome.TIMEOUT and not delayed_here
        silent = timed_out and server.responded_at < attempt.sent_at
        failed = outcome in (Outcome.ERROR, Outcome.RESET, Outcome.FULL) or silent
        late = now - attempt.sent_at > pending.cls.aim_us and not delayed_here
        bad = failed or timed_out or late
        representative = self._represents_fleet(server) and (failed or not delayed_here)
        if representative:
            self.fleet_bad_share += SMOOTHING * (bad - self.fleet_bad_share)
        if bad:
            server.traffic_share = max(MIN_TRAFFIC_SHARE, server.traffic_share * (1 - TRAFFIC_SHARE_STEP))
        else:
            server.traffic_share = min(
                1.0,
                server.traffic_share
                + TRAFFIC_SHARE_STEP
                * max(MIN_TOLERATED_BAD_SHARE, TOLERATED_BAD_RATIO * self.fleet_bad_share),
            )
        if outcome in (Outcome.OK, Outcome.MISS):
            server.responded_at = now
            if server.failures:
                self.set_failures(server, 0)
            if representative:
                gate = self.origin_gate if event.cache_result > 1 or pending.write else self.server_gate
                self._gate(pending, gate).record_outcome(now - pending.arrived > pending.cls.aim_us)
            if not pending.write:
                self.cached_keys.add(pending.key)
                self._record_latency(
                    now, server, self.read_latency.record(event.elapsed_us, event.cache_result > 1)
                )
            if event.cache_result < 2 and not pending.write and pending.cls.name in self.hit_latency:
                latency = self.hit_latency[pending.cls.name]
                difference = event.elapsed_us - latency[0]
                latency[0] += SMOOTHING * difference
                latency[1] += SMOOTHING * (abs(difference) - latency[1])
            if server.suspect:
                self._recover(now, server, attempt.sent_at)
            return
        if outcome is Outcome.FULL:
            server.responded_at = now
            if representative and not server.suspect:
                self._gate(pending, self.server_gate).record_outcome(True)
        elif failed or outcome is Outcome.TIMEOUT:
            if outcome is Outcome.TIMEOUT:
                # The answer would have taken at least this long.
                self._record_latency(now, server, max(event.elapsed_us, self._expected_latency(now, server)))
            cached = self._is_cached(pending.key)
            # A suspect's failures say something only about that server, and a reset says something about its
            # connection, not about the origin.
            if representative and not server.suspect and outcome is not Outcome.RESET:
                by_server = cached and not pending.write and outcome is Outcome.TIMEOUT
                gate = self.server_gate if by_server else self.origin_gate
                self._gate(pending, gate).record_outcome(True)
            if outcome is Outcome.ERROR or not cached or pending.write:
                self.cached_keys.discard(pending.key)
                self.previous_cached_keys.discard(pending.key)
        self.set_failures(server, server.failures + failed)
        improbable = (
            failed and server.failures > 1 and self.fleet_bad_share**server.failures < SUSPECT_PROBABILITY
        )
        if improbable or outcome is Outcome.CONNECT_FAILED:
            self._mark_suspect(now, server, outcome is Outcome.CONNECT_FAILED)
        server.trial_in_flight = False

    def _gate(self, pending: PendingRequest, gate: AdmissionGate) -> AdmissionGate:
        """Returns the gate that an outcome of the request counts for, given the one for other requests."""
        return self.pipelined_gate if pending.pipelined else gate

    def _record_latency(self, now: int, server: Server, latency: float) -> None:
        """Updates the server's average latency (us). The longer ago it was updated, the more the new value
        weighs."""
        weight = (
            min(1.0, max(MIN_LATENCY_WEIGHT, (now - server.latency_at) / LATENCY_MEMORY_US))
            if server.latency_us
            else 1.0
        )
        server.latency_us, server.latency_at = (
            server.latency_us + weight * (latency - server.latency_us), now,
        )  # fmt: skip

    def _represents_fleet(self, server: Server) -> bool:
        """Returns whether outcomes of this server count for the whole fleet. They don't if its last answer
        was a failure, unless most servers fail. When they always counted, a third of the servers, failing
        permanently, raised the fleet's bad share so far that none of them was suspected, and closed the
        admission gates for all keys."""
        if not server.failures:
            return True
        return self.failing_count > MAX_SUSPECT_SHARE * len(self.servers)

    def set_failures(self, server: Server, count: int) -> None:
        """Sets how many times in a row the server has failed, and updates `failing_count`."""
        if self.servers.get(server.name) is server:
            self.failing_count += (count > 0) - (server.failures > 0)
        server.failures = count

    def _mark_suspect(self, now: int, server: Server, down: bool) -> None:
        """Ejects a server until a trial succeeds, unless too many servers are suspects. After a failed trial,
        doubles the wait for the next one. `down`: a connection to the server failed."""
        if not server.suspect:
            if self.servers.get(server.name) is not server or self.suspect_count >= MAX_SUSPECT_SHARE * len(
                self.servers
            ):
                return
            server.suspect, server.down, server.suspect_since, server.trial_backoff_us = (
                True, down, now, MIN_TRIAL_BACKOFF_US,
            )  # fmt: skip
            self.suspect_count += 1
            self.suspect_slots += server.slots
            self.actions.append(
                LogMessage(f"suspect {server.name}: {'no connection' if down else 'errors or no response'}")
            )
        elif server.trial_in_flight:
            server.trial_backoff_us = min(MAX_TRIAL_BACKOFF_US, 2 * server.trial_backoff_us)
        else:
            return
        server.trial_in_flight, server.trial_at = (
            False, now + int(server.trial_backoff_us * (0.75 + self.random.random() / 2)),
        )  # fmt: skip

    def _may_try(self, now: int, server: Server) -> bool:
        """Returns whether a request may be the trial of this suspect. A suspect that was unreachable is
        probed instead, if probes are permitted."""
        if now < server.trial_at or server.trial_in_flight:
            return False
        if server.down and self.settings.may_probe:
            server.trial_in_flight = True
            self.actions.append(Probe(server.name))
        return not server.trial_in_flight

    def _on_probe_ended(self, now: int, event: ProbeEnded) -> None:
        server = self.servers.get(event.server)
        if server is not None and server.suspect:
            if event.outcome is Outcome.OK:
                self._recover(now, server, now)
            else:
                self._mark_suspect(now, server, True)

    def _recover(self, now: int, server: Server, sent_at: int) -> None:
        """Ends the suspicion after an answer to an attempt that was sent at `sent_at`."""
        # A server that was unreachable has probably restarted and is cold, which the list reports only later.
        # If it answers an attempt sent before it became a suspect, it has not restarted but only refused a
        # connection; slow start would then take most of its keys away for nothing.
        if server.down and sent_at >= server.suspect_since:
            server.warm_at = max(server.warm_at, now + self.settings.cold_us)
        self._clear_suspicion(server)
        self.actions.append(LogMessage(f"recovered {server.name}"))

    def _clear_suspicion(self, server: Server) -> None:
        if server.suspect:
            self.suspect_count -= 1
            self.suspect_slots -= server.slots
        server.suspect = server.down = server.trial_in_flight = False
        self.set_failures(server, 0)

    # ---- the server list

    def _on_list(self, now: int, event: ServerList) -> None:
        if event.kind is ListKind.BROKEN:
            self.watching, self.failed_watches = False, self.failed_watches + 1
            pause = self.settings.ask_every_us * min(
                1.0, FIRST_WATCH_BACKOFF * 2 ** min(self.failed_watches - 1, 10)
            )
            self._schedule_watch(now, min(pause, MAX_WATCH_BACKOFF_US) * (0.5 + self.random.random() / 2))
            return
        if event.kind in (ListKind.PATCH, ListKind.WHOLE):
            self.watching, self.failed_watches = True, 0
        if event.kind in (ListKind.WHOLE, ListKind.STALE):
            self.listed = {}
            for name in self.servers.keys() - {entry.server for entry in event.entries}:
                self._remove(name)
        for entry in event.entries:
            self.listed[entry.server] = entry
            if entry.status is Status.GONE:
                del self.listed[entry.server]
            if entry.status is Status.READY and entry.server not in self.excluded:
                self._add_or_update(now, entry, event)
            else:
                self._remove(entry.server)
        # Only after the last part, because the number of joining servers decides how they are placed.
        if not event.more:
            self.placement.commit_joins()
            self._continue_placement()

    def _continue_placement(self) -> None:
        """Applies waiting changes of the ring, as many as fit into one turn of the event loop. Sets a timer
        to continue if some are left."""
        if not self.placement_scheduled and self.placement.apply_pending(
            PLACE_POINTS_PER_BUSY_TURN if self.pending else PLACE_POINTS_PER_TURN
        ):
            self.placement_scheduled = True
            self.actions.append(SetTimer(0, "place"))

    def _on_operator_call(self, now: int, event: Exclude | Include) -> None:
        """Excludes a server, or includes it again. An excluded server is removed like one that has drained,
        so that no other rule has to know about exclusion. It is usually restarted while it is excluded, and
        the list may report that late or never; so it is cold when it returns."""
        name, excluded = event.server, event.server in self.excluded
        known = excluded or name in self.listed or (isinstance(event, Exclude) and event.known)
        if known and isinstance(event, Exclude) and not excluded:
            self.exclude([name])
        elif excluded and isinstance(event, Include):
            self.excluded.discard(name)
            entry = self.listed.get(name)
            if entry is not None and entry.status is Status.READY:
                self._add_or_update(now, entry, ServerList(ListKind.PATCH, [entry]))
                self.servers[name].warm_at = now + self.settings.cold_us
                self.placement.commit_joins()
                self._continue_placement()
        self.actions.append(OperatorResult(name, known))

    def exclude(self, names: Iterable[str]) -> None:
        """Takes servers out of service, whatever the list says, until they are included again."""
        self.excluded.update(names)
        for name in names:
            self._remove(name)
        self._continue_placement()

    def _set_predecessor_load(self, server: Server, load: int) -> None:
        """Counts the requests that the replaced process has at this server as in flight here: during the
        handover the two processes are one proxy and share one cap at each server."""
        difference, server.predecessor_load = load - server.predecessor_load, load
        if load:
            self.predecessor_loaded.add(server.name)
        else:
            self.predecessor_loaded.discard(server.name)
        server.in_flight += difference
        self.in_flight += difference

    def _add_or_update(self, now: int, entry: ServerEntry, event: ServerList) -> None:
        """Adds or updates a ready server from its entry in the list `event`. A restart makes the server cold
        and clears its failures."""
        server = self.servers.get(entry.server)
        is_known = server is not None
        if server is None:
            server = self.servers[entry.server] = Server(entry.server)
        weighted = (
            self.settings.weight_source in (WeightSource.NOMINAL, WeightSource.ROUGH) and entry.weight > 0
        )
        # The unit is coarse, a power of 16, so that proxies with slightly different lists use the same unit.
        if weighted and not self.weight_unit:
            weights = [e.weight for e in event.entries if e.weight > 0]
            mean = event.mean_weight or sum(weights) / len(weights)
            self.weight_unit = 16.0 ** round(log(mean, 16))
        slots_before = server.slots
        server.slots = (
            max(1, min(16 * SLOTS_PER_SERVER, round(SLOTS_PER_SERVER * entry.weight / self.weight_unit)))
            if weighted
            else SLOTS_PER_SERVER
        )
        self.suspect_slots += (server.slots - slots_before) * server.suspect
        if (server.group.zone, server.group.cell) != (entry.zone, entry.cell):
            server.group = ServerGroup(entry.zone, entry.cell)
        server.origin = self.settings.origin_kind is not None and entry.kind == self.settings.origin_kind
        if server.origin:
            self.origin[server.name] = server
            self.placement.remove(server.name)
        else:
            self.origin.pop(server.name, None)
            self.placement.put(server.name, server, server.slots)
        if entry.started_at_us > server.started_at:
            server.started_at, server.start_learned_at = entry.started_at_us, now
            start = self._start_time(now, entry.started_at_us, event.kind)
            server.warm_at = start + self.settings.cold_us
            # A list that is read at the start of this process tells of starts from long before.
            server.started_after = now if is_known or event.kind is ListKind.PATCH else start
            server.latency_us, server.traffic_share, server.responded_at = 0.0, 1.0, 0
            self._clear_suspicion(server)

    def _start_time(self, now: int, started_at: int, kind: ListKind) -> int:
        """Returns when a server started, by this proxy's clock. The list gives a time of another wall clock,
        and either clock may be wrong. A start in the future would keep the server cold for that much longer,
        and a start long before the change that reports it would make the server seem warm; both are replaced
        by the current time."""
        late = kind is ListKind.PATCH and now - started_at > MAX_START_NEWS_AGE_US
        return now if late else min(started_at, now)

    def _remove(self, name: str) -> None:
        """Removes a server from rotation: it gets no requests from now on."""
        server = self.servers.get(name)
        if server is not None:
            self._set_predecessor_load(server, 0)
            self._clear_suspicion(server)
            del self.servers[name]
            self.origin.pop(name, None)
            self.placement.remove(name)

    def in_flight_by_server(self) -> dict[str, int]:
        """Returns the number of requests in flight at each server that has any."""
        busy = {a.server.name for p in self.pending.values() for a in p.attempts if a.outstanding}
        names = (busy | self.predecessor_loaded) & self.servers.keys()
        return {name: self.servers[name].in_flight for name in names}

    @property
    def out_of_service(self) -> int:
        """How many listed servers get no requests now: excluded by an operator, or suspected."""
        return sum(name in self.listed for name in self.excluded) + self.suspect_count

    # ---- timers

    def _on_timer(self, now: int, token: str) -> None:
        if token == "call" and now >= self.watch_at and not self.watching:
            self.actions.append(Watch())
            self._schedule_watch(now, self.settings.ask_every_us)
        elif token == "place":
            self.placement_scheduled = False
            self._continue_placement()
        elif token.startswith("copy "):
            pending = self.pending.get(token[5:])
            if (
                pending
                and not pending.done
                and pending.outstanding == 1
                and self._budget(pending) >= 1
                and self._may_retry(now, pending)
            ):
                self.retry_budget -= self._start_attempt(now, pending)

    def _schedule_watch(self, now: int, pause_us: float) -> None:
        pause = int(pause_us)
        self.watch_at = now + pause
        self.actions.append(SetTimer(pause, "call"))
