"""One proxy's part in the maintenance of machines: carries out what the agreed facts and its view say.

It leaves nodes out and takes them up again, says so to the others, ends itself where its own machine goes,
runs the operator's command where it is the one to do so, and, at who leads, says what time it is.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Mapping
from random import Random

from magpiefront.group.asks import Fate, Outcome
from magpiefront.group.facts import Member
from magpiefront.group.seam import Group
from magpiefront.interface import Outcome as Ended_
from magpiefront.maintenance import facts, memory, rules, runner
from magpiefront.maintenance.facts import Board, Command, Slot, State
from magpiefront.maintenance.looking import Looking
from magpiefront.maintenance.seen import HitShares, report
from magpiefront.maintenance.settings import MaintenanceSettings
from magpiefront.maintenance.view import View
from magpiefront.net.answer import Answer
from magpiefront.net.figures import lines
from magpiefront.net.proxy import Proxy
from magpiefront.net.traced import TracedAttempt

MACHINE = "maintenance"  # of the group's log
LOOK_S, REST_S = 0.05, 1.0
TICK_US, REPORT_US, SELDOM_US = 500_000, 1_000_000, 60_000_000
ASK_US, AGAIN_US = 2_000_000, 1_000_000
# So long after the end of its session a proxy that is cut off ends what is still open at machines that may be
# out: the others wait `rules.GONE_S` from a later moment on.
CUT_US = 4_000_000
MOST_CAUSE = 300


class LiveBoard(Board):
    def __init__(self, members: Callable[[], Mapping[str, Member]], applied: Callable[[], None]) -> None:
        super().__init__(members, rules.advance)
        self.applied = applied

    def apply(self, index: int, origin: str, data: bytes) -> bytes:
        told = super().apply(index, origin, data)
        self.applied()
        return told

    def begin(self) -> None:
        super().begin()
        self.applied()

    def restore(self, data: bytes) -> None:
        super().restore(data)
        self.applied()


class CountingAttempt(TracedAttempt):
    __slots__ = ()
    shares: HitShares

    def report(self, outcome: Ended_, answer: Answer | None) -> None:
        if outcome is Ended_.OK and answer is not None and answer.note:
            self.shares.count(self.node.name, answer.note == 1)
        super().report(outcome, answer)


class MaintenanceService:
    """`end` is this process's planned end, as by SIGTERM."""

    def __init__(
        self, proxy: Proxy, group: Group, settings: MaintenanceSettings, seed: int, end: Callable[[], None]
    ) -> None:  # fmt: skip
        self.proxy, self.group, self.settings, self.end = proxy, group, settings, end
        self.random = Random(f"{seed} maintenance")
        self.board = LiveBoard(group.members, self._applied)
        group.register(MACHINE, self.board)
        self.view = View(settings.member, None)
        self.looking = Looking(proxy.pool, self.may_send)
        self.shares = HitShares()
        proxy.attempt_type = type("Attempt", (CountingAttempt,), {"__slots__": (), "shares": self.shares})
        self.counts: Counter[str] = Counter()
        self.away: set[str] = set()  # nodes left out by agreement
        self.misplaced: set[str] = set()  # ... because they are listed where one stood that is out
        self.hand: set[str] = set()  # ... and by a person, here
        self.load = self.samples = 0.0
        self.reading = 0  # the epoch in which a read is under way
        self.heard_us = 0  # when it was last known to be up to date
        self.seen = (-1, -1)
        self.ticked_us = proxy.now_us()  # when the last tick was applied here
        self.tick_us = self.report_us = 0  # when the last one was sent
        self.saving = self.ending = self.stopped = self.soon = False
        self.save_us = 0
        self.timer: asyncio.TimerHandle | None = None
        # Does a process go on that this one follows? It may have something out: nothing is said for it.
        self.before: Callable[[], bool] = lambda: False
        self.began_us: dict[tuple[str, int, float], int] = {}
        self.tasks: dict[tuple[str, int, float], asyncio.Task[None]] = {}

    # ---- life

    def start(self) -> None:
        """Before the first request."""
        found, cause = memory.load(self.settings.path)
        self.view.memory = found
        if cause:
            self.proxy.log(f"maintenance: {cause}; nothing is served before the group has been heard")
        self.report_us = self.proxy.now_us() - int(SELDOM_US * self.random.random())
        self.group.watch(self.wake)
        self._look()

    def stop(self) -> None:
        """A command that runs goes on: to end it in the middle could do more harm than nobody's waiting."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        for (machine, _, _), task in self.tasks.items():
            if not task.done():
                self.proxy.log(f"maintenance: ends while the command for {machine} runs; a person has to say "
                               "`maintenance done` for it")  # fmt: skip
                task.cancel()

    def configure(self, settings: MaintenanceSettings) -> None:
        if settings.path != self.settings.path:
            self.proxy.log("reload: another [maintenance] path needs a restart")
        self.settings = settings

    def wake(self) -> None:
        if not self.soon and not self.stopped:
            self.soon = True
            self.proxy.loop.call_soon(self._look)

    def _applied(self) -> None:
        k = self.board.kept
        if k.ticks != self.seen[0]:
            self.ticked_us = self.proxy.now_us()
        if k.noted != self.seen[1]:
            self.wake()
        self.seen = k.ticks, k.noted

    # ---- what is left out

    def may_send(self, node: str, place: bytes) -> bool:
        """Asked in front of each connection and each first byte, by what holds at that moment."""
        k, view = self.board.kept, self.view
        if not view.may_serve:
            return False
        if not self.away and not k.next and not k.slots and not (view.memory and view.memory.machines):
            return True
        return not view.leaves_out(k, node, self.group.may_act(), self.proxy.now_us(), place)

    def _places(self) -> dict[str, bytes]:
        """Where the list has each node."""
        return {name: node.host_header for name, node in self.proxy.pool.nodes.items()}

    def by_hand(self, server: str, out: bool) -> bool:
        """A person's call. What is out by agreement stays out; what a person took out stays so, too."""
        if not out and server in self.away:
            self.hand.discard(server)
            return True
        done = self.proxy.by_hand(server, out)
        if done:
            (self.hand.add if out else self.hand.discard)(server)
        return done

    def _leave_out(self, epoch: int, now: int) -> None:
        k, view = self.board.kept, self.view
        places = self._places()
        away = view.nodes(k, epoch, now, places) if view.may_serve else set(places)
        self.misplaced = {n for n in away if n in places and view.in_place_of(n, places[n])}
        for node in sorted(away - self.away):
            if node in self.misplaced:
                place = places[node].decode()
                self.proxy.log(f"maintenance: {node} is listed at {place}, where "
                               f"{view.in_place_of(node, places[node])} stood, which is out")  # fmt: skip
            self.proxy.by_hand(node, True, known=True)
            self.shares.forget(node)
        for node in sorted(self.away - away - self.hand):
            self.proxy.by_hand(node, False)
        self.away = away
        if away:
            self.looking.close_idle(away)
            if not view.fresh(epoch) and now > self.heard_us + CUT_US:
                self.counts["cut"] += self.looking.cut(away)

    # ---- each look

    def _look(self) -> None:
        self.soon = False
        if self.stopped:
            return
        if self.timer is not None:
            self.timer.cancel()
        k = self.board.kept
        moves = facts.live(k) or bool(k.next) or not self.view.may_serve or self.away or self.tasks
        self.timer = self.proxy.loop.call_later(LOOK_S if moves else REST_S, self._look)
        now, epoch = self.proxy.now_us(), self.group.may_act()
        self.load, self.samples = self.load + self.proxy.router.in_flight, self.samples + 1
        if self.view.fresh(epoch):
            self.heard_us = now
        elif epoch and self.reading != epoch:
            self._read(epoch, now)
        self._remember(epoch, now)
        self._leave_out(epoch, now)
        if epoch:
            self._say(epoch, now)
            self._own_turn(epoch)
            self._commands(epoch, now)

    def _read(self, epoch: int, now: int) -> None:
        self.reading = epoch

        def then(o: Outcome) -> None:
            self.reading = 0
            if o.fate is Fate.COMMITTED and self.group.may_act() == epoch:
                self.view.read_back(epoch)
                self.wake()

        self.group.read(now + ASK_US, then)

    def _remember(self, epoch: int, now: int) -> None:
        """In a thread, for a disk may hang; it counts as remembered only once it is there."""
        if self.saving or not self.view.fresh(epoch) or now < self.save_us:
            return
        wanted = self.view.to_remember(self.board.kept, self._places())
        if wanted == self.view.memory:
            return
        self.saving = True
        saved = self.proxy.loop.run_in_executor(None, memory.save, self.settings.path, wanted)

        def done(f: asyncio.Future[None]) -> None:
            self.saving = False
            e = f.exception() if not f.cancelled() else None
            if e is not None:
                self.save_us = self.proxy.now_us() + AGAIN_US
                self.counts["not_saved"] += 1
                self.proxy.log(f"maintenance: {self.settings.path}: {e}")
            elif not f.cancelled():
                self.view.memory = wanted
                self.wake()

        saved.add_done_callback(done)

    # ---- what is said

    def propose(self, command: Command, then: Callable[[Outcome], None] = lambda o: None) -> None:
        until_us = self.proxy.now_us() + ASK_US
        self.group.propose(MACHINE, facts.encode(command), until_us, then)

    def _say(self, epoch: int, now: int) -> None:
        k = self.board.kept
        live = facts.live(k)
        stood = self.view.memory.places if self.view.memory is not None else {}
        if not self.before():
            for command in self.view.says(k, epoch, now, self.looking.busy(stood) if live else set()):
                self.propose(command)
        if self.group.leads and now >= self.tick_us + (TICK_US if live else SELDOM_US):
            self.tick_us = now
            self.propose(facts.Tick(k.ticks, (now - self.ticked_us) / 1e6, time.time()))
        if self.view.fresh(epoch) and now >= self.report_us + (REPORT_US if live else SELDOM_US):
            self.report_us = now
            self.propose(facts.Told(self._report(now)))

    def _report(self, now: int) -> facts.Report:
        k = self.board.kept
        load, self.load, self.samples = self.load / max(1.0, self.samples), 0.0, 0.0
        fleet = {n for m in (k.fleet or self.settings.machines).values() for n in m.nodes}
        back = [s.machine for s in k.slots.values() if s.state in (State.BACK, State.WARMING)]
        nodes = {n for m in back for n in k.fleet[m].nodes}
        unknown = self.away - nodes - self.misplaced  # of which nothing is known; who is misplaced fails
        found = report(self.proxy.router, now, load, fleet, self.hand, unknown, self.shares, nodes,
                       self.proxy.config.settings.subscribe)  # fmt: skip
        self.shares.fade()
        return found

    # ---- what is done

    def _own_turn(self, epoch: int) -> None:
        k = self.board.kept
        for slot in k.slots.values():
            mine = self.settings.member in k.fleet[slot.machine].proxies
            if mine and slot.state is State.DRAINING and self.view.fresh(epoch) and not self.ending:
                self.ending = True
                self.proxy.log(f"maintenance: ends, for {slot.machine} goes out for {slot.plan}")
                self.end()

    def _commands(self, epoch: int, now: int) -> None:
        k, me = self.board.kept, self.settings.member
        if not self.view.fresh(epoch):
            return
        for slot in k.slots.values():
            if slot.state is not State.OUT:
                continue
            key = slot.machine, slot.epoch, slot.since_s
            if rules.runner_of(k, slot, self.group.members()) == me:
                if now >= self.began_us.get(key, 0) + ASK_US:
                    self.began_us[key] = now
                    self.propose(facts.Began(slot.machine, slot.epoch, epoch))
            elif slot.runner == f"{me}@{epoch}" and key not in self.tasks:
                self.tasks[key] = self.proxy.loop.create_task(self._run(key, slot))
        out = {(s.machine, s.epoch) for s in k.slots.values() if s.state in facts.WORKED_ON}
        self.began_us = {key: at for key, at in self.began_us.items() if key[:2] in out}
        self.tasks = {key: t for key, t in self.tasks.items() if key[:2] in out or not t.done()}

    async def _run(self, key: tuple[str, int, float], slot: Slot) -> None:
        plan = self.board.kept.plans[slot.plan].plan
        self.proxy.log(f"maintenance: runs {plan.command[0]} for {slot.machine}, grant {slot.epoch}")
        cause = await runner.run(plan, slot)
        self.proxy.log(f"maintenance: {slot.machine}: {cause or 'its command went well'}")
        while any((s.machine, s.epoch, s.since_s) == key or (s.state is State.HELD and s.epoch == key[1])
                  for s in self.board.kept.slots.values() if s.state in facts.WORKED_ON):  # fmt: skip
            if self.group.may_act():
                self.propose(facts.Ended(slot.machine, slot.epoch, cause[:MOST_CAUSE]))
            await asyncio.sleep(AGAIN_US / 1e6)

    # ---- for operators

    def figures(self) -> str:
        """More lines for the second address."""
        states = Counter(s.state.value for s in self.board.kept.slots.values())
        whole = {f'machines{{state="{s.value}"}}': states[s.value] for s in State}
        whole |= {
            "nodes_out": len(self.away), "nodes_by_hand": len(self.hand),
            "nodes_misplaced": len(self.misplaced), "up_to_date": int(self.view.fresh(self.group.may_act())),
        }  # fmt: skip
        whole |= {f"{name}_count": n for name, n in sorted(self.counts.items())}
        return lines(MACHINE, whole)
