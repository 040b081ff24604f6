"""Work in hand in simulated time: real journals, owners and shares over one store, with processes that die,
are stopped, or hear nothing of the group, and nodes that drop repeats for a window.

What the group gives is modelled by its promises alone (its own proof is `model/group.py`): a session ends by
the member's clock before it is lost by the others', a change is known to each member some time later, or much
later where it is cut off. Judged by what the nodes and the clients saw: no effect twice, one answer to a try,
each confirmed report with its effect, nothing open after `QUIET_US`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

import msgspec

from magpiefront.group.facts import Member, State
from magpiefront.model.kernel import Kernel
from magpiefront.model.rounds import Broken, Fault, Printed
from magpiefront.record import journal as j
from magpiefront.record.acting import Alone, Standing
from magpiefront.record.rows import Answer, Id, Moment, Outcome, Result, Row
from magpiefront.record.rows import State as Held
from magpiefront.takeover import owners, shares

SESSION_US, LOST_US, PING_US, HOLD_US = 450_000, 500_000, 110_000, 1_000_000
WINDOW_US, DEADLINE_US, SETTLE_US, LOOK_US = 8_000_000, 2_000_000, 1_000_000, 500_000
LENGTH_US, QUIET_US = 6_000_000, 25_000_000
KINDS = {"kill": 4, "stop": 4, "cut": 3, "store": 2, "slow": 2}
DONE = Answer(200, b"", b"held")


@dataclass(frozen=True)
class Plan(Printed):
    seed: int
    members: int = 3
    faults: tuple[Fault, ...] = ()

    @classmethod
    def draw(cls, seed: int, members: int = 3) -> Plan:
        r = Random(f"{seed} {members}")
        found = [
            Fault(r.randrange(200_000, LENGTH_US - 1_000_000), kind, r.randrange(members),
                  int(10 ** r.uniform(4.7, 7.2)))
            for kind in r.choices(list(KINDS), list(KINDS.values()), k=r.randint(1, 4))
        ]  # fmt: skip
        return cls(seed, members, tuple(sorted(found, key=lambda f: f.at_us)))


class Store:
    """One for all; a change is done at one moment, and its word may come later than the deadline or never."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.rows: dict[Id, Row] = {}

    def matches(self, before: Row) -> bool:
        there = self.rows.get(before.id)
        return there is not None and (there.state, there.owner) == (before.state, before.owner)

    def do(self, a: j.Action) -> Result:
        match a:
            case j.Insert():
                there = self.rows.setdefault(a.row.id, a.row)
                return Result(Outcome.DONE) if there is a.row else Result(Outcome.THERE, there)
            case j.Change():
                if not self.matches(a.before):
                    return Result(Outcome.THERE, self.rows.get(a.before.id))
                self.world.judge_claim(self.rows[a.after.id], a.after)
                self.rows[a.after.id] = a.after
                return Result(Outcome.DONE)
            case j.Remove():
                if not self.matches(a.before):
                    return Result(Outcome.THERE, self.rows.get(a.before.id))
                del self.rows[a.before.id]
                return Result(Outcome.DONE)
            case j.Get():
                return Result(Outcome.DONE, self.rows.get(a.id))
            case _:
                raise AssertionError(a)


class Process(Alone):
    """`Acting` for its own journal, too, but for hints."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name, self.me = world, name, f"{name}.0"
        self.generation = self.life = 0
        self.waiting: list[Callable[[], None]] | None = None  # while it is stopped
        self.alive = self.cut = self.storeless = False
        self.slow_us = 0
        self.members: dict[str, Member] = {}
        self.until_us = self.epoch = 0
        self.journal = self._journal()
        self.over: dict[str, int] = {}

    def _journal(self) -> j.Journal:
        return j.Journal("boot", 20_000, SETTLE_US, self)

    # ---- record.acting.Acting

    def prefix(self) -> str | None:
        mine = self.members.get(self.name)
        well = mine is not None and mine.state is State.WELL and mine.epoch == self.epoch
        return owners.prefix_of(self.me, self.epoch) if well and self.world.now < self.until_us else None

    def may(self, owner: str) -> bool:
        prefix = self.prefix()
        return prefix is not None and owner.startswith(prefix)

    def standing(self, owner: str) -> Standing:
        return owners.standing(owner, self.me, self.members)

    def turn_us(self, id: Id) -> int:
        return shares.turn_us(id, self.me, [m.id for m in self.members.values() if m.state is State.WELL])

    # ---- its life

    def start(self) -> None:
        self.generation += 1
        self.life += 1
        self.alive, self.journal, self.over, self.until_us = True, self._journal(), {}, 0
        self.ping()
        self.look()

    def start_again(self) -> None:
        if not self.alive:
            self.start()

    def kill(self) -> None:
        self.alive, self.waiting = False, None
        self.generation += 1

    def go_on(self) -> None:
        waiting, self.waiting = self.waiting, None
        for what in waiting or []:
            what()

    def later(self, delay_us: int, what: Callable[[], None]) -> None:
        """In this process, if it still lives then; when it goes on, where it is stopped."""
        generation = self.generation

        def now() -> None:
            if generation == self.generation:
                if self.waiting is not None:
                    self.waiting.append(now)
                else:
                    what()

        self.world.kernel.after(delay_us + (self.slow_us and self.world.random.randrange(self.slow_us)), now)

    def ping(self) -> None:
        if not self.cut:
            self.world.heard(self)
        self.later(PING_US, self.ping)

    # ---- its journal

    def do(self, actions: list[j.Action]) -> None:
        for a in actions:
            match a:
                case j.Reply():
                    self.world.told(a.waiter, a.answer.status)
                case j.Send():
                    self.later(self.world.some(100, 60_000), lambda a=a: self._first_byte(a))  # type: ignore[misc]
                case j.Insert() | j.Change() | j.Remove() | j.Get():
                    self._ask(a)
                case _:
                    pass

    def _ask(self, a: j.Insert | j.Change | j.Remove | j.Get) -> None:
        after_us = a.after_us if isinstance(a, j.Get) else 0

        def there() -> None:
            if self.storeless:
                self.later(self.world.some(1, 50_000), lambda: self._word(a, Result(Outcome.NEVER)))
                return
            found = self.world.store.do(a)
            if self.world.random.random() < 0.02 and not isinstance(a, j.Get):
                found = Result(Outcome.ASK)
            self.later(self.world.some(50, 3_000), lambda: self._word(a, found))

        # On its way the process has no hand in it any more: it arrives also if that one dies.
        # Now and then it waits in a store that stands still.
        way_us = self.world.some(50, 3_000_000 if self.world.random.random() < 0.01 else 3_000)
        self.later(after_us, lambda: self.world.kernel.after(way_us, there))

    def _word(self, a: j.Action, found: Result) -> None:
        now, g = self.world.now, self.journal
        match a:
            case j.Insert():
                if a.row.id in g.entries:
                    self.do(g.inserted(now, a.row.id, found))
            case j.Change():
                self.do(g.changed(now, a.after.id, a.after, found))
            case j.Remove():
                if a.before.id in g.entries:
                    self.do(g.removed(now, a.before.id, found))
            case j.Get():
                self.do(g.got(now, a.id, found, a.number))
            case _:
                pass

    def _first_byte(self, a: j.Send) -> None:
        entry = self.journal.entries.get(a.row.id)
        if entry is None or entry.phase is not j.Phase.SENDING:
            return
        row = a.row
        assert row.sent is not None
        if not self.world.guard(self, row) or self.world.random.random() < 0.05:  # the Router refuses some
            self._answered(row, Answer(503, b"", b""), False)
            return
        run_us = self.world.some(200, 3_000)
        self.world.kernel.after(run_us, lambda: self.world.run(row))
        took_us = run_us + (self.world.some(1_000, 1_500_000) if self.world.random.random() < 0.2 else 2_000)
        answer, after_us = (DONE, took_us) if took_us < DEADLINE_US else (Answer(504, b"", b""), DEADLINE_US)
        self.later(after_us, lambda: self._answered(row, answer, True))

    def _answered(self, row: Row, answer: Answer, may_have_run: bool) -> None:
        entry = self.journal.entries.get(row.id)
        if entry is not None and entry.phase is j.Phase.SENDING and entry.row.owner == row.owner:
            self.do(self.journal.answered(self.world.now, row.id, answer, may_have_run, ()))

    def arrive(self, waiter: tuple[bytes, int], deadline_us: int) -> None:
        if self.prefix() is None:
            self.world.told(waiter, 503)
            return
        now = self.world.now
        row = self.world.row(waiter[0], f"{self.prefix()}{self.life}.{now}", now)
        self.do(self.journal.arrive(now, waiter, row, deadline_us))

        def overdue() -> None:
            self.do(self.journal.overdue(self.world.now, waiter, row.id))

        for at_us in (deadline_us - 20_000, deadline_us):
            self.later(max(0, at_us - now), overdue)

    def look(self) -> None:
        """As `RecordStage._see_to`: what is owed, and what those who are over had in hand."""
        self.later(LOOK_US, self.look)
        now = self.world.now
        if self.prefix() is None or self.storeless:
            return
        for row in list(self.world.store.rows.values()):
            if row.state is not Held.SENT or row.id in self.journal.entries:
                continue
            standing = self.standing(row.owner)
            if standing is Standing.OVER:
                since = self.over.setdefault(row.owner, now)
                if now < since + self.turn_us(row.id):
                    continue
            fate = j.fate(row, now / j.S, "boot", DEADLINE_US / j.S, standing)
            owner = f"{self.prefix()}{self.life}.{now}"
            if fate is j.Fate.UNKNOWN:
                self.do(self.journal.forget(now, row, owner))
            elif fate is j.Fate.AGAIN:
                as_ = replace(row, owner=owner, sent=Moment(0.0, "boot", now / j.S), until_s=3.0)
                self.do(self.journal.deliver(now, row, as_, now + DEADLINE_US))


class World:
    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.kernel = Kernel(plan.seed)
        self.random = self.kernel.random
        self.store = Store(self)
        self.processes = [Process(self, f"m{n}") for n in range(plan.members)]
        self.facts = {p.name: Member(p.me, 1) for p in self.processes}
        self.heard_us = {p.name: 0 for p in self.processes}
        self.well_since = {p.name: 0 for p in self.processes}
        self.ran: dict[bytes, tuple[int, int]] = {}  # when it first ran in its window, and how often in all
        self.answers: dict[tuple[bytes, int], int] = {}
        self.confirmed: Counter[bytes] = Counter()
        self.keys = 0

    @property
    def now(self) -> int:
        return self.kernel.now_us

    def some(self, least_us: int, most_us: int) -> int:
        return self.random.randint(least_us, most_us)

    # ---- what the group promises

    def heard(self, p: Process) -> None:
        """Its session counts from its ask; what it hears of the facts it hears then."""
        m = self.facts[p.name]
        if m.life != p.life:
            m.epoch, m.life = m.epoch + 1, p.life
        if m.state is State.LOST and self.now > self.heard_us[p.name] + 2 * PING_US:
            self.well_since[p.name] = self.now
        self.heard_us[p.name] = self.now
        if m.state is State.LOST and self.now >= self.well_since[p.name] + HOLD_US:
            m.epoch, m.state = m.epoch + 1, State.WELL
        told = {n: msgspec.structs.replace(f) for n, f in self.facts.items()}
        if m.state is State.WELL:
            p.until_us, p.epoch = self.now + SESSION_US, m.epoch
        p.later(self.some(100, 40_000), lambda: self._learn(p, told))

    def _learn(self, p: Process, told: dict[str, Member]) -> None:
        newer = [n for n, m in told.items() if n not in p.members or m.epoch > p.members[n].epoch]
        p.members |= {n: told[n] for n in newer}
        if newer:
            p.do(p.journal.look(self.now))

    def _judge_sessions(self) -> None:
        for name, m in self.facts.items():
            if m.state is State.WELL and self.now >= self.heard_us[name] + LOST_US:
                m.epoch, m.state = m.epoch + 1, State.LOST
        self.kernel.after(20_000, self._judge_sessions)

    # ---- nodes and clients

    def guard(self, p: Process, row: Row) -> bool:
        """As in front of each first byte (`RecordStage._send`)."""
        assert row.sent is not None
        return p.may(row.owner) and self.now < (row.sent.up_s + row.window_s) * j.S

    def run(self, row: Row) -> None:
        first, count = self.ran.get(row.id.key, (self.now, 0))
        if not count or self.now >= first + WINDOW_US:
            self.ran[row.id.key] = self.now, count + 1

    def judge_claim(self, before: Row, after: Row) -> None:
        """Nobody takes what another one has in hand and may act on, at that true moment."""
        for p in self.processes:
            entry = p.journal.entries.get(before.id)
            at_work = entry is not None and entry.row.owner == before.owner != after.owner
            if at_work and p.alive and p.waiting is None and before.until_s > 0 and p.may(before.owner):
                raise Broken(f"{after.owner} takes {before.id.key!r} from {before.owner}, which works on it")

    def row(self, key: bytes, owner: str, now: int) -> Row:
        return Row(Id("t", "report", key), b"d", b"PUT", b"/k", b"", b"x", Held.SENT, 0.0,
                   Moment(0.0, "boot", now / j.S), owner, WINDOW_US / j.S,
                   (DEADLINE_US + SETTLE_US) / j.S)  # fmt: skip

    def _client(self) -> None:
        self.keys += 1
        key = b"k%d" % self.keys
        if self.now < LENGTH_US:
            self.kernel.after(self.some(20_000, 200_000), self._client)
        self._try(key, 0)

    def _try(self, key: bytes, number: int) -> None:
        if self.confirmed[key] or number >= 12:
            return
        p = self.random.choice(self.processes)
        waiter = key, number
        if p.alive:
            deadline_us = self.now + DEADLINE_US
            p.later(self.some(50, 500), lambda: p.arrive(waiter, deadline_us))

        def again() -> None:
            self._try(key, number + 1)

        # It waits its time out, or comes sooner where its connection breaks.
        self.kernel.after(self.some(100_000, DEADLINE_US + 500_000), again)

    def told(self, waiter: object, status: int) -> None:
        assert isinstance(waiter, tuple)
        if waiter in self.answers:
            raise Broken(f"{waiter} was answered twice: {self.answers[waiter]} and {status}")
        self.answers[waiter] = status
        if status == 200:
            self.confirmed[waiter[0]] += 1

    # ---- the run

    def _strike(self, f: Fault) -> None:
        p = self.processes[f.who]
        after = self.kernel.after
        match f.kind:
            case "kill":
                p.kill()
                after(f.lasts_us, p.start_again)
            case "stop":
                if p.alive and p.waiting is None:
                    p.waiting = []
                    after(f.lasts_us, p.go_on)
            case "cut" | "store":
                what = "cut" if f.kind == "cut" else "storeless"
                setattr(p, what, True)
                after(f.lasts_us, lambda: setattr(p, what, False))
            case "slow":
                p.slow_us = 400_000
                after(f.lasts_us, lambda: setattr(p, "slow_us", 0))
            case _:
                raise ValueError(f.kind)

    def play(self) -> None:
        """Raises Broken."""
        for p in self.processes:
            self.kernel.after(self.some(0, 50_000), p.start)
        self.kernel.after(20_000, self._judge_sessions)
        for _ in range(3):
            self.kernel.after(400_000, self._client)
        for f in self.plan.faults:
            self.kernel.at(f.at_us, lambda f=f: self._strike(f))  # type: ignore[misc]
        self.kernel.run(max([LENGTH_US, *(f.at_us + f.lasts_us for f in self.plan.faults)]) + QUIET_US)
        for key, (_, count) in self.ran.items():
            if count > 1:
                raise Broken(f"{key!r} had {count} effects")
        for key in self.confirmed:
            row = self.store.rows.get(Id("t", "report", key))
            held = row is not None and row.state is Held.CONFIRMED
            if self.confirmed[key] and not (held and key in self.ran):
                raise Broken(f"{key!r} was confirmed: {self.ran.get(key)}, held as {row and row.state}")
        open_ = [r.id.key for r in self.store.rows.values() if r.state is Held.SENT]
        if open_:
            raise Broken(f"open {QUIET_US // 1_000_000} s after the last fault: {open_[:3]}")
