"""The stage that answers from what is kept, and sends on, once for all who wait, what it can't answer."""

from __future__ import annotations

import itertools
import time
from collections import OrderedDict
from collections.abc import Callable, Sequence
from secrets import token_hex

from magpiefront.caching import dates, rules, status, targets, vary
from magpiefront.caching.disk import Disk
from magpiefront.caching.fences import Fences
from magpiefront.caching.flights import Flight, Spot, Waiter
from magpiefront.caching.giving import CONDITIONS, Giver
from magpiefront.net.house import Classed
from magpiefront.caching.loads import Loads
from magpiefront.caching.rules import Answered, Asked, Cause, Forward, Fwd, Serve, Stored
from magpiefront.caching.settings import CachingSettings
from magpiefront.caching.store import Store
from magpiefront.caching.writes import Writes
from magpiefront.interface import Repeat
from magpiefront.net.fields import Fields, end_to_end, lines, read_lines
from magpiefront.net.request import READS, Request, Stage

# Said of a request, its answer is not simply what is kept.
SPECIAL = frozenset({
    b"cache-control", b"pragma", b"if-none-match", b"if-modified-since", b"if-range", b"range", b"if-match",
    b"if-unmodified-since",
})  # fmt: skip
SAFE = READS | {b"OPTIONS"}
FOR_THE_ORIGIN = frozenset({b"if-match", b"if-unmodified-since"})
# Written anew for each hop, or the platform's own.
OWN = frozenset({
    b"host", b"content-length", b"content-type", b"expect", b"idempotency-key", b"req-id", b"req-kind",
    b"req-owner", b"req-deadline", b"req-retry", b"req-cost", b"req-extra",
})  # fmt: skip
# Guards against answers that somebody shapes for all by a field that no key holds: nobody in front of this
# program is trusted to write these.
DROPPED = frozenset({
    b"forwarded", b"x-forwarded-for", b"x-forwarded-host", b"x-forwarded-port", b"x-forwarded-proto",
    b"x-forwarded-scheme", b"x-forwarded-server", b"x-forwarded-prefix", b"x-host", b"x-original-host",
    b"x-original-url", b"x-rewrite-url", b"x-http-method-override", b"x-method-override", b"x-http-method",
})  # fmt: skip
FAILED = frozenset({500, 502, 503, 504})  # RFC 5861, 4
MOST_TRIES = 2  # how many shared ones a request waits for before it goes alone
MOST_REFRESHES = 64
MOST_PASSED = 10_000


class CachingStage:
    def __init__(
        self, house: Classed, following: Stage, settings: CachingSettings, disk: Disk | None = None,
        wall: Callable[[], float] = time.time,
    ) -> None:  # fmt: skip
        self.house, self.following, self.wall, self.disk = house, following, wall, disk
        self.store = Store(settings.most_bytes, settings.most_variants)
        self.giver = Giver()
        self.fences = Fences(settings.unsure_for_us)
        self.writes = Writes(house, following, self.fences, self._void, self._read,
                             lambda r: self._more(r, self.drop, []))  # fmt: skip
        self.by_twin: dict[Request, Flight] = {}
        self.waits: dict[Request, Flight] = {}
        self.spots: dict[Spot, Flight] = {}
        self.by_gauge: dict[bytes, dict[Flight, None]] = {}
        self.passed: OrderedDict[bytes, int] = OrderedDict()  # keys that go alone, until when
        self.loads: Loads | None = None
        if disk is not None:
            self.loads = Loads(disk, self._found, lambda r, key, tries: self._consider(r, key, tries, False))
        self.refreshes = 0
        self.start, self.ids = token_hex(6), itertools.count(1)
        self.configure(settings)

    def configure(self, settings: CachingSettings) -> None:
        self.settings, self.policy, self.chosen = settings, settings.policy, settings.classes
        self.name = self.writes.name = self.giver.name = settings.policy.name
        self.drop = OWN | DROPPED | settings.drop_fields
        self.via = b"1.1 " + self.name.encode()
        self.fences.unsure_us = settings.unsure_for_us
        self.store.most, self.store.most_variants = settings.most_bytes, settings.most_variants
        self.store.shrink()

    # ---- the stage

    def take(self, r: Request) -> None:
        h, method = r.headers, r.method
        cls = self.house.classes.get(h[b"req-kind"])
        if method == b"PURGE":
            self._purge(r)
            return
        if method not in SAFE or cls is None or cls.repeat is not Repeat.SAFE:
            self.writes.take(r)
            return
        key = targets.key(h.get(b"host", b""), r.target)
        found = self.store.get(key)
        usual = method == b"GET" and SPECIAL.isdisjoint(h) and not r.size
        if found is not None and usual and (self.chosen is None or cls.name in self.chosen):
            variants = found.variants
            v = variants[0]
            if len(variants) == 1 and not v.vary and not v.no_cache:
                now = self.house.now_us()
                if v.fresh(now):
                    self.giver.from_store(r, v, now, "")
                    return
        self._consider(r, key, 0)

    def _consider(self, r: Request, key: bytes, tries: int, disk: bool = True) -> None:
        now, asked = self.house.now_us(), Asked(b"GET", r.headers)
        gauge = targets.gauge_of(r.target)
        cls = self.house.classes.get(r.headers[b"req-kind"])
        if r.size or r.method not in READS or not FOR_THE_ORIGIN.isdisjoint(r.headers) or cls is None or (
            self.chosen is not None and cls.name not in self.chosen
        ):  # fmt: skip
            self._send(r, key, gauge, asked, Forward(Fwd.BYPASS), tries, False, False)
            return
        variants = self.store.peek(key)
        if not variants and disk and self.loads is not None and self.loads.disk.has(key):
            self.loads.take(r, key, gauge, tries)
            return
        choice = rules.choose(asked, variants, now, self.policy)
        if isinstance(choice, Serve):
            self.giver.from_store(r, choice.stored, now, "stale" if choice.stale else "")
            if choice.refresh:
                self._refresh(r, key, gauge, asked, choice.stored)
            return
        if choice.never:
            more = b"Date: %b\r\n" % dates.render(int(self.wall()))
            r.replies.answer(
                r, 504, (), more + status.forwarded(self.name, choice.fwd, detail="only-if-cached")
            )
            return
        open_ = not self.fences.closed(gauge, now)
        # A HEAD of something that is not here is not worth its body, where the servers know HEAD.
        bare = r.method == b"HEAD" and self.settings.plain_servers and choice.stored is None
        shared = (
            open_ and not asked.solitary and not bare and tries < MOST_TRIES and not self._passes(key, now)
        )
        if shared:
            spot = key, self._selected(variants, asked)
            flight = self.spots.get(spot)
            if flight is not None:
                self._join(flight, Waiter(r, asked, choice.fwd, tries, True), now)
                return
        self._send(r, key, gauge, asked, choice, tries, shared, open_)

    def _selected(self, variants: Sequence[Stored], asked: Asked) -> tuple[bytes | None, ...]:
        """What a request says in the fields that answers of its key vary by, as far as is known."""
        names = sorted({n for v in variants for n in v.vary})
        return vary.secondary(tuple(names), asked.headers)

    def _passes(self, key: bytes, now: int) -> bool:
        until = self.passed.get(key)
        if until is None:
            return False
        if until > now:
            return True
        del self.passed[key]
        return False

    def _pass(self, key: bytes, now: int) -> None:
        self.passed.pop(key, None)
        self.passed[key] = now + self.settings.pass_for_us
        while len(self.passed) > MOST_PASSED:
            self.passed.popitem(last=False)

    # ---- sending on

    def _more(self, r: Request, drop: frozenset[bytes], add: Fields) -> bytes:
        fields = end_to_end(r.fields, drop)
        fields += add
        fields.append((b"Via", self.via))
        return r.more + lines(fields)

    def _send(
        self, r: Request, key: bytes, gauge: bytes, asked: Asked, choice: Forward, tries: int, shared: bool,
        keep: bool,
    ) -> None:  # fmt: skip
        now = self.house.now_us()
        # A part can't be validated, and who asks for one gets it from behind.
        wanted = None if b"range" in r.headers else choice.stored
        twin = r.twin(self)
        if r.method == b"HEAD" and (shared or wanted is not None or not self.settings.plain_servers):
            twin.method = b"GET"
        stripped = shared or wanted is not None
        twin.more = self._more(
            r,
            self.drop | CONDITIONS if stripped else self.drop,
            wanted.validated_by if wanted is not None else [],
        )
        flight = Flight(
            twin, key, gauge, asked, now, keep and twin.method == b"GET", wanted=wanted, stripped=stripped
        )
        flight.leader = Waiter(r, asked, choice.fwd, tries)
        flight.waiters[r] = flight.leader
        self.waits[r] = flight
        if shared:
            flight.spot = key, self._selected(self.store.peek(key), asked)
            self.spots[flight.spot] = flight
            flight.shared = True
        self._go(flight)

    def _go(self, flight: Flight) -> None:
        self.refreshes += flight.refresh
        self.by_twin[flight.request] = flight
        self.by_gauge.setdefault(flight.gauge, {})[flight] = None
        self.following.take(flight.request)

    def _join(self, flight: Flight, waiter: Waiter, now: int) -> None:
        r = waiter.request
        left = max(0, r.taken_at + r.time_left - now)
        waiter.timer = self.house.loop.call_later(left / 1e6, self._overdue, flight, waiter)
        flight.waiters[r] = waiter
        self.waits[r] = flight

    def _refresh(self, r: Request, key: bytes, gauge: bytes, asked: Asked, stored: Stored) -> None:
        """Validates meanwhile what was served stale (RFC 5861, 3); for nobody in particular."""
        now = self.house.now_us()
        spot = key, self._selected(self.store.peek(key), asked)
        if spot in self.spots or self.refreshes >= MOST_REFRESHES or self.fences.closed(gauge, now):
            return
        twin = r.twin(self)
        twin.method, twin.wire_id, twin.taken_at = b"GET", f"{self.start}-{next(self.ids):x}".encode(), now
        twin.more = self._more(r, self.drop | CONDITIONS, stored.validated_by)
        flight = Flight(twin, key, gauge, asked, now, True, spot=spot, wanted=stored, stripped=True)
        flight.refresh = flight.shared = True
        self.spots[spot] = flight
        self._go(flight)

    def _close(self, flight: Flight) -> None:
        """Nobody joins it any more."""
        if flight.spot is not None:
            if self.spots.get(flight.spot) is flight:
                del self.spots[flight.spot]
            flight.spot = None

    def _landed(self, flight: Flight) -> None:
        """Nothing more comes of it."""
        self.by_twin.pop(flight.request, None)
        self._close(flight)
        others = self.by_gauge.get(flight.gauge)
        if others is not None:
            others.pop(flight, None)
            if not others:
                del self.by_gauge[flight.gauge]
        self._release(flight)
        self.refreshes -= flight.refresh

    def _leave(self, flight: Flight, waiter: Waiter) -> None:
        waiter.rest()
        flight.waiters.pop(waiter.request, None)
        self.waits.pop(waiter.request, None)
        if flight.leader is waiter:
            flight.leader = None

    def _overdue(self, flight: Flight, waiter: Waiter) -> None:
        """Guards against a fill that stalls: who waits for it is answered in its own time."""
        waiter.timer = None
        self._leave(flight, waiter)
        if not self._instead(waiter, flight, Cause.ERROR):
            r = waiter.request
            r.replies.answer(r, 504, (), self.giver.line(waiter, detail="overdue"))
        self._abandon(flight)

    def _abandon(self, flight: Flight) -> None:
        """Ends it where nobody waits any more, unless it refreshes what others were served."""
        if not flight.waiters and not flight.refresh and flight.request in self.by_twin:
            self._landed(flight)
            self.following.client_left(flight.request)

    def client_left(self, r: Request) -> None:
        if r in self.writes.twins:
            self.writes.client_left(r)
            return
        flight = self.waits.get(r)
        if flight is None:
            if self.loads is not None:
                self.loads.client_left(r)
            return
        waiter = flight.waiters[r]
        self._leave(flight, waiter)
        flight.streaming = flight.streaming and flight.leader is not None
        self._abandon(flight)

    def hold_back(self, r: Request) -> None:
        if r in self.writes.twins:
            self.writes.hold_back(r)
            return
        flight = self.waits.get(r)
        if (
            flight is not None
            and flight.streaming
            and flight.leader is not None
            and flight.leader.request is r
        ):
            flight.held_back = True
            if not flight.keeping:  # what is put aside is bounded, and others may wait for it
                self.following.hold_back(flight.request)

    def let_go(self, r: Request) -> None:
        if r in self.writes.twins:
            self.writes.let_go(r)
            return
        flight = self.waits.get(r)
        if flight is not None and flight.held_back:
            flight.held_back = False
            if not flight.keeping:
                self.following.let_go(flight.request)

    # ---- what came back: Replies of what was sent on

    def answer(self, request: Request, status_: int, body: Sequence[bytes] = (), more: bytes = b"") -> None:
        flight = self.by_twin[request]
        now = self.house.now_us()
        if status_ in FAILED:
            self._failed(flight, status_, body, more)
            return
        answered = self._read(status_, more)
        if status_ == 304 and flight.wanted is not None:
            self._validated(flight, flight.wanted, answered, now)
            return
        flight.answered, flight.received_us = answered, now
        self._landed(flight)
        self._whole(flight, b"".join(body))

    def _read(self, status_: int, more: bytes) -> Answered:
        fields = read_lines(more)
        fields.append((b"Via", self.via))
        return Answered(status_, fields, self.wall(), self.policy)

    def _validated(self, flight: Flight, wanted: Stored, answered: Answered, now: int) -> None:
        freshened = rules.freshen(wanted, answered, flight.asked, flight.sent_us, now, self.policy)
        if freshened is None:
            # It says of nothing here that it still holds (RFC 9111, 4.3.4): the whole answer is needed.
            self._unput(flight.key, wanted)
            self._landed(flight)
            twin = flight.request.twin(self)
            bare = [f for f in read_lines(twin.more) if f[0].lower() not in CONDITIONS]
            twin.more, flight.request, flight.wanted = lines(bare), twin, None
            flight.sent_us = now
            if flight.leader is None and not flight.waiters:
                return
            self._go(flight)
            return
        self._landed(flight)
        v = freshened.stored
        kept = flight.keep and freshened.keep
        if kept:
            if (v.vary, v.secondary) != (wanted.vary, wanted.secondary):
                self.store.remove(flight.key, (wanted.vary, wanted.secondary))
            self._put(flight, v)
        else:
            self._unput(flight.key, wanted)
        leader = flight.leader
        if leader is not None:
            self._leave(flight, leader)
            line = self.giver.line(leader, kept, status_=304)
            self.giver.give(leader.request, v, now - v.born_us, line)
        self._share(flight, v if kept else None, now, 304)

    def _put(self, flight: Flight, v: Stored) -> bool:
        kept = self.store.put(flight.key, flight.gauge, v)
        if self.disk is not None:
            self.disk.save(flight.key, flight.gauge, self.store.peek(flight.key))
        return kept

    def _unput(self, key: bytes, v: Stored) -> None:
        self.store.remove(key, (v.vary, v.secondary))
        if self.disk is not None:
            self.disk.drop(key)

    def _whole(self, flight: Flight, body: bytes) -> None:
        """A whole answer: kept if it may be, and given to all whom it answers."""
        answered, now = flight.answered, self.house.now_us()
        assert answered is not None
        v: Stored | None = None
        may = flight.keep and len(body) <= self.settings.most_object
        if may and answered.storable(flight.asked, self.policy) is None:
            v = rules.keep(answered, flight.asked, body, flight.sent_us, flight.received_us, self.policy)
        kept = v is not None and self._put(flight, v)
        if not kept and flight.wanted is not None and answered.status != 429:
            self._unput(flight.key, flight.wanted)  # what it was is not what there is now
        if flight.request.method == b"HEAD":
            for old in self.store.peek(flight.key):
                if rules.matches(old, flight.asked.headers) and not rules.head_agrees(old, answered.headers):
                    self._unput(flight.key, old)
        if not flight.streaming and flight.leader is not None:
            leader = flight.leader
            self._leave(flight, leader)
            self.giver.whole(leader.request, answered, body, flight.stripped, self.giver.line(leader, kept))
        self._share(flight, v if kept else None, now)

    def _share(self, flight: Flight, v: Stored | None, now: int, status_: int = 0) -> None:
        """Answers all others who wait, or lets them go on by themselves."""
        if flight.shared and flight.keep and (v is None or v.no_cache or not v.fresh(now)):
            self._pass(flight.key, now)
        for waiter in list(flight.waiters.values()):
            self._leave(flight, waiter)
            choice = rules.choose(waiter.asked, (v,), now, self.policy) if v is not None else None
            if isinstance(choice, Serve) and v is not None:
                line = self.giver.line(waiter, True, status_=status_)
                self.giver.give(waiter.request, v, now - v.born_us, line)
            else:
                self._again(waiter, flight.key)

    def _again(self, waiter: Waiter, key: bytes, alone: bool = False) -> None:
        tries = MOST_TRIES if alone else waiter.tries + 1
        self._consider(waiter.request, key, tries)

    def _failed(self, flight: Flight, status_: int, body: Sequence[bytes], more: bytes) -> None:
        """No answer: stale ones where that is allowed, else each is told, or tries by itself."""
        self._landed(flight)
        fields = read_lines(more)
        refused = status_ == 503 and all(f[0].lower() == b"retry-after" for f in fields)
        cause = Cause.REFUSED if refused else Cause.ERROR
        for waiter in list(flight.waiters.values()):
            self._leave(flight, waiter)
            if self._instead(waiter, flight, cause):
                continue
            if waiter.collapsed:
                # A refusal was for the one who asked: the Router decides on each of the others.
                self._again(waiter, flight.key, alone=refused)
                continue
            r = waiter.request
            answered = self._read(status_, more)
            r.replies.answer(
                r, status_, body, lines(answered.fields) + self.giver.line(waiter, detail=cause.value)
            )

    def _instead(self, waiter: Waiter, flight: Flight, cause: Cause) -> bool:
        """Gives a stored answer in place of the one that did not come, where it may."""
        now = self.house.now_us()
        kept = self.store.peek(flight.key)
        if not kept and flight.keep and flight.wanted is not None:
            kept = (flight.wanted,)  # it had to make room meanwhile
        fitting = [v for v in kept if rules.matches(v, waiter.asked.headers)]
        if not fitting or b"range" in waiter.asked.headers:
            return False
        v = max(fitting, key=lambda v: v.date_s)
        if not rules.instead(waiter.asked, v, now, cause, self.policy):
            return False
        self.giver.from_store(waiter.request, v, now, cause.value)
        return True

    # ---- long answers

    def begin(self, request: Request, length: int | None, more: bytes, status_: int = 200) -> None:
        flight = self.by_twin[request]
        answered = flight.answered = self._read(status_, more)
        flight.received_us = self.house.now_us()
        leader = flight.leader
        may = flight.keep and answered.storable(flight.asked, self.policy) is None
        may = may and (length is None or length <= self.settings.most_object)
        if may and length:
            may = self._hold(flight, length)
        flight.keeping = may
        if leader is not None:
            self._begin_leader(flight, leader, answered, length)
        if not may:
            self._not_kept(flight)

    def _begin_leader(self, flight: Flight, leader: Waiter, answered: Answered, length: int | None) -> None:
        r = leader.request
        head = lines(answered.fields) + self.giver.line(leader, flight.keeping)
        if r.method == b"HEAD":
            self._leave(flight, leader)
            if length is not None:
                head += b"Content-Length: %d\r\n" % length
            r.replies.answer(r, answered.status, (), head)
        elif self.giver.unchanged(r, answered, flight.stripped):
            self._leave(flight, leader)
            self.giver.not_modified(r, answered, self.giver.line(leader, flight.keeping))
        else:
            flight.streaming = True
            leader.rest()
            r.replies.begin(r, length, head, answered.status)

    def _hold(self, flight: Flight, size: int) -> bool:
        if not self.store.hold(size):
            return False
        flight.held += size
        return True

    def _release(self, flight: Flight) -> None:
        self.store.let_go(flight.held)
        flight.held = 0

    def _not_kept(self, flight: Flight) -> None:
        """It is too long or may not be kept: who waits for it goes on alone, and what was put aside goes."""
        flight.keeping = False
        flight.body = []
        self._close(flight)
        self._release(flight)
        if flight.held_back:
            self.following.hold_back(flight.request)
        now = self.house.now_us()
        if flight.keep:
            self._pass(flight.key, now)
            if flight.wanted is not None:
                self._unput(flight.key, flight.wanted)  # what it was is not what there is now
        for waiter in list(flight.waiters.values()):
            if waiter is not flight.leader:
                self._leave(flight, waiter)
                self._again(waiter, flight.key, alone=True)
        self._abandon(flight)

    def go(self, request: Request, body: bytes) -> None:
        flight = self.by_twin.get(request)
        if flight is None:
            return
        if flight.streaming and flight.leader is not None:
            r = flight.leader.request
            r.replies.go(r, body)
        if flight.keeping:
            flight.size += len(body)
            flight.body.append(body)
            if flight.size > self.settings.most_object or (
                flight.size > flight.held and not self._hold(flight, len(body))
            ):  # fmt: skip
                self._not_kept(flight)

    def end(self, request: Request) -> None:
        flight = self.by_twin.get(request)
        if flight is None:
            return
        self._landed(flight)
        leader = flight.leader if flight.streaming else None
        if flight.keeping:
            body, flight.body = b"".join(flight.body), []
            if leader is not None:
                self._leave(flight, leader)
            self._whole(flight, body)
        if leader is not None:
            self._leave(flight, leader)
            leader.request.replies.end(leader.request)

    def cut(self, request: Request) -> None:
        """It is not whole, and so nobody else's answer (RFC 9111, 3.3)."""
        flight = self.by_twin.get(request)
        if flight is None:
            return
        self._landed(flight)
        leader = flight.leader if flight.streaming else None
        if leader is not None:
            self._leave(flight, leader)
            leader.request.replies.cut(leader.request)
        for waiter in list(flight.waiters.values()):
            self._leave(flight, waiter)
            self._again(waiter, flight.key)

    # ---- voiding

    def _void(self, gauge: bytes) -> int:
        """How many keys went from memory."""
        count = len(self.store.drop_gauge(gauge))
        if self.disk is not None:
            self.disk.drop_gauge(gauge)
        for flight in list(self.by_gauge.get(gauge, ())):
            # It may have read what was before: for those who wait already, and for nobody else.
            flight.keep = False
            self._close(flight)
        return count

    def doubted(self, target: bytes) -> None:
        """An answer about this may have been made for another request: nothing of it is kept."""
        self._void(targets.gauge_of(target))

    def _purge(self, r: Request) -> None:
        if r.target == b"/*":
            count = len(self.store)
            self.store.clear()
            if self.disk is not None:
                self.disk.clear()
            for each in list(self.by_gauge):
                self._void(each)
        else:
            count = self._void(targets.gauge_of(r.target))
        r.replies.answer(r, 200, (b"purged %d\n" % count,), b"Date: %b\r\nContent-Type: text/plain\r\n" % (
            dates.render(int(self.wall()))))  # fmt: skip

    def _found(self, key: bytes, gauge: bytes, found: tuple[Stored, ...]) -> None:
        """In the second tier; nothing that a write has voided meanwhile comes from there."""
        if not self.fences.closed(gauge, self.house.now_us()) and not self.store.peek(key):
            for v in found:
                self.store.put(key, gauge, v)
