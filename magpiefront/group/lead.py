"""What a leader keeps: how far the others are, who answered which round, its lease, reads that wait.

Read-index and lease as in the Raft thesis, 6.4 and 6.4.1; a leader that no longer hears from a majority steps
down (6.2). No I/O and no clock."""

from __future__ import annotations

from collections.abc import Iterable

from magpiefront.group.log import Log
from magpiefront.group.messages import Append, AppendReply, Entry, Message, Part
from magpiefront.group.progress import Mode, Progress
from magpiefront.group.settings import Limits, Times

Out = list[tuple[str, Message]]

# A commit goes along with the next entries. Where none come so soon it goes alone, and to who waits for it at
# once: one message and one answer less for each voter and command. It is short beside a heartbeat.
NEWS_US = 10_000
NEVER_US = 1 << 62


class Lead:
    def __init__(self, me: str, term: int, log: Log, times: Times, limits: Limits, now_us: int) -> None:
        self.me, self.term, self.log, self.times, self.limits = me, term, log, times, limits
        self.began_us = now_us
        self.begins = log.last + 1  # the entry with which its term begins
        self.others: dict[str, Progress] = {}
        self.round, self.rounds = 0, dict[int, int]()  # when each began, while a majority may still answer it
        self.quorum_round = 0
        self.quorum_us = now_us  # when the newest round began that a majority has answered
        self.beat_us = now_us
        self.reads: list[tuple[int, int, tuple[str, int]]] = []  # round, index, whose
        self.handing, self.handing_us = "", 0  # to whom the lead goes, and since when
        self.handed_us: int | None = None  # since when they may stand for it: no lease from then on
        self.news_us = NEVER_US  # when voters are told of a commit that no entries took along
        self.eager: dict[str, int] = {}  # who waits to hear that the entry it asked for is committed
        self.regressed: set[str] = set()  # whose disks lost what they had confirmed
        self.meet()

    def meet(self) -> None:
        """The members are others now."""
        there = self.log.conf.all - {self.me}
        new = sorted(there - self.others.keys())
        for n, m in enumerate(new):
            # Observers hear of it one after the other, and so answer one after the other.
            heard_us = self.began_us - self.times.observer_us * (len(new) - n) // len(new)
            self.others[m] = Progress(self.log.last + 1, heard_us)
        for m in self.others.keys() - there:
            del self.others[m]
            self.eager.pop(m, None)

    # ---- who has answered

    def _majority(self, values: Iterable[int]) -> int:
        """What a majority has at least."""
        ordered = sorted(values, reverse=True)
        return ordered[len(ordered) // 2] if ordered else 0

    def answered(self, member: str, round_: int) -> None:
        p = self.others[member]
        p.acked = max(p.acked, min(round_, self.round))
        self._settle()

    def _settle(self) -> None:
        voters = self.log.conf.voters
        newest = self._majority(self.round if v == self.me else self.others[v].acked for v in voters)
        if newest > self.quorum_round:
            self.quorum_round, self.quorum_us = newest, self.rounds[newest]
            for r in [r for r in self.rounds if r <= newest]:
                del self.rounds[r]

    def lease(self, now_us: int) -> bool:
        """Is it certain that nobody else leads at this moment?"""
        return self.handed_us is None and now_us < self.quorum_us + self.times.lease_us

    def alone(self, now_us: int) -> bool:
        """Has no majority answered for so long that it should step down?"""
        since = self.quorum_us if self.handed_us is None else min(self.quorum_us, self.handed_us)
        return now_us >= since + self.times.election_us

    def committable(self, stable: int) -> int:
        """The last entry that a majority holds durably, if it is of its own term (thesis, 3.6.2)."""
        index = self._majority(
            stable if v == self.me else self.others[v].match for v in self.log.conf.voters
        )  # fmt: skip
        return index if self.own(index) else 0

    def own(self, index: int) -> bool:
        return self.log.term(index) == self.term

    # ---- what goes out

    def next_round(self, now_us: int) -> None:
        self.round += 1
        self.rounds[self.round] = now_us
        self.beat_us = now_us + self.times.heartbeat_us
        self._settle()

    def beat(self, now_us: int, commit: int, out: Out) -> None:
        """A new round: everybody hears something; observers less often."""
        self.next_round(now_us)
        for m, p in self.others.items():
            behind = p.match < self.log.last and now_us >= p.sent_us + self.times.observer_us // 4
            if m in self.log.conf.voters or behind or now_us >= p.sent_us + self.times.observer_us:
                p.probed = False  # what was on its way may be lost
                self._append(m, p, now_us, commit, out, True)

    def send(self, now_us: int, commit: int, out: Out) -> None:
        """What is new, to voters and to those that wait for it; other observers hear with the rounds."""
        due, behind = now_us >= self.news_us, False
        for m, p in self.others.items():
            wanted = self.eager.get(m, 0)
            if m in self.log.conf.voters or wanted:
                news = commit > p.told and (due or 0 < wanted <= commit) and p.mode is Mode.STREAM
                self._append(m, p, now_us, commit, out, news)
                behind |= commit > p.told and p.mode is Mode.STREAM
                if wanted and p.told >= wanted:
                    del self.eager[m]
        if not behind:
            self.news_us = NEVER_US
        elif due or self.news_us == NEVER_US:
            self.news_us = now_us + NEWS_US

    def send_to(self, member: str, now_us: int, commit: int, out: Out) -> None:
        self._append(member, self.others[member], now_us, commit, out, False)

    def _append(self, m: str, p: Progress, now_us: int, commit: int, out: Out, beat: bool) -> None:
        log, limits = self.log, self.limits
        if p.mode is not Mode.SNAPSHOT and log.term(p.next - 1) is None:
            p.needs_snapshot()
        if p.mode is Mode.SNAPSHOT:
            if beat:
                self._message(m, p, now_us, 0, 0, [], commit, out)
            if now_us >= p.parted_us + self.times.observer_us:
                self.part(m, p, now_us, out)
            return
        while True:
            free = not p.probed if p.mode is Mode.PROBE else len(p.flight) < limits.most_flight
            # Its own disk first: a member knows how far its leader's is by what it was sent (`attest.py`).
            entries = log.between(p.next - 1, log.stable, limits.most_append) if free else []
            if not entries and not beat:
                return
            beat = False
            prev = p.next - 1
            if entries:
                p.probed = True
                if p.mode is Mode.STREAM:
                    p.next = entries[-1].index + 1
                    p.flight.append(entries[-1].index)
            self._message(m, p, now_us, prev, log.term(prev) or 0, entries, commit, out)
            if not entries or p.mode is Mode.PROBE:
                return

    def _message(
        self, m: str, p: Progress, now_us: int, prev: int, prev_term: int, entries: list[Entry], commit: int,
        out: Out,
    ) -> None:  # fmt: skip
        p.sent_us, p.told = now_us, commit
        out.append((m, Append(term=self.term, prev=prev, prev_term=prev_term, entries=entries, commit=commit,
                              round=self.round)))  # fmt: skip

    def part(self, m: str, p: Progress, now_us: int, out: Out) -> None:
        """The next part of the snapshot, from where the member has it whole."""
        s = self.log.snapshot
        p.parted_us = p.sent_us = now_us
        p.offset = min(p.offset, len(s.data))
        data = s.data[p.offset : p.offset + self.limits.most_part]
        out.append((m, Part(term=self.term, index=s.index, index_term=s.term, conf=s.conf, offset=p.offset,
                            size=len(s.data), data=data, round=self.round)))  # fmt: skip

    # ---- what comes back

    def reply(self, member: str, r: AppendReply) -> bool:
        """Returns whether more may be committed now."""
        p = self.others[member]
        if r.ok:
            if p.mode is Mode.SNAPSHOT and r.match < self.log.first:
                return False
            return p.confirmed(r.match, r.round)
        if p.mode is Mode.SNAPSHOT:
            return False
        if p.refused(r.match, self._common(r.hint, r.hint_term), r.round):
            self.regressed.add(member)
        return False

    def _common(self, index: int, term: int) -> int:
        """The last entry up to there that the other log may have too (thesis, 3.5, at the end)."""
        index = min(index, self.log.last)
        while index > self.log.first:
            mine = self.log.term(index)
            if mine is not None and mine <= term:
                break
            index -= 1
        return index

    def caught_up(self, member: str, commit: int) -> bool:
        """May it vote? A voter that lags would stand in the way of commits (thesis, 4.2.1)."""
        p = self.others.get(member)
        recent = p is not None and p.acked >= self.quorum_round - 2 * self._observer_rounds
        return p is not None and recent and p.mode is Mode.STREAM and p.match + 64 >= commit

    @property
    def _observer_rounds(self) -> int:
        return 1 + self.times.observer_us // self.times.heartbeat_us

    def due_reads(self) -> list[tuple[int, tuple[str, int]]]:
        due = [(i, whose) for r, i, whose in self.reads if r <= self.quorum_round]
        self.reads = [w for w in self.reads if w[0] > self.quorum_round]
        return due
