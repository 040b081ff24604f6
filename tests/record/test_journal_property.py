"""Any order of events at the journal: each client that waits gets exactly one reply by its deadline."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from magpiefront.record import journal as j
from magpiefront.record.journal import Change, Get, Insert, Journal, Phase, Remove, Reply, Send
from magpiefront.record.node_answer import BrokenAnswer, NodeAnswer, OversizedAnswer
from magpiefront.record.rows import Answer, Outcome, Result, Row, State
from tests.record.test_journal import ID, NOW, S, row

DEADLINE_S = 3.0
ANSWERS: tuple[NodeAnswer, ...] = (
    Answer(200, b"", b"held"), Answer(503, b"", b""), Answer(404, b"", b""), Answer(500, b"", b""),
    Answer(504, b"", b""), BrokenAnswer(200), BrokenAnswer(500), OversizedAnswer(200, 1 << 20),
    OversizedAnswer(500, 1 << 20),
)  # fmt: skip
STORED_ROWS = (
    row(owner="other", until_s=0.0), row(owner="other", until_s=60.0),
    row(owner="other", state=State.UNKNOWN), row(owner="other", state=State.NOT_RUN),
    row(owner="other", state=State.STORED, sent=None), row(digest=b"another", owner="other"),
    row(owner="other", state=State.CONFIRMED, answer=Answer(200, b"", b"held")),
)  # fmt: skip


class JournalMachine(RuleBasedStateMachine):
    """One key, any number of clients, and a store whose results come in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.journal, self.now_us, self.number = Journal("boot"), NOW, 0
        self.deadlines: dict[str, int] = {}  # of the clients that wait
        self.replies: Counter[str] = Counter()
        self.pending: list[Insert | Change | Remove | Get] = []
        self.sends: list[Send] = []

    def do(self, actions: list[j.Action]) -> None:
        for action in actions:
            match action:
                case Reply():
                    client = str(action.waiter)
                    self.replies[client] += 1
                    assert self.deadlines.pop(client, None) is not None, "a second reply"
                case Insert() | Change() | Remove() | Get():
                    self.pending.append(action)
                case Send():
                    self.sends.append(action)

    @rule(digest=st.sampled_from([b"d", b"another"]))
    def a_client_asks(self, digest: bytes) -> None:
        self.number += 1
        client = f"c{self.number}"
        self.deadlines[client] = self.now_us + int(DEADLINE_S * S)
        new = row(digest, owner=f"me.{self.number}", sent=row().sent)
        self.do(self.journal.on_request(self.now_us, client, new, self.deadlines[client]))

    @precondition(lambda self: self.deadlines)
    @rule(data=st.data())
    def a_client_leaves(self, data: st.DataObject) -> None:
        client = data.draw(st.sampled_from(sorted(self.deadlines)))
        del self.deadlines[client]
        self.journal.on_client_left(client, ID)

    @rule(seconds=st.sampled_from([0.01, 1.0, 3.0, 40.0]))
    def time_passes(self, seconds: float) -> None:
        end_us = self.now_us + int(seconds * S)
        for client, deadline_us in sorted(self.deadlines.items(), key=lambda item: item[1]):
            if deadline_us <= end_us and client in self.deadlines:
                self.now_us = max(self.now_us, deadline_us)
                self.do(self.journal.on_deadline(self.now_us, client, ID))
                assert client not in self.deadlines, "no reply at the deadline"
        self.now_us = end_us

    @precondition(lambda self: self.pending)
    @rule(data=st.data(), outcome=st.sampled_from(Outcome), stored=st.sampled_from((None, *STORED_ROWS)))
    def the_store_replies(self, data: st.DataObject, outcome: Outcome, stored: Row | None) -> None:
        call = self.pending.pop(data.draw(st.integers(0, len(self.pending) - 1)))
        result = Result(outcome, stored if outcome in (Outcome.CONFLICT, Outcome.DONE) else None)
        match call:
            case Insert():
                self.do(self.journal.inserted(self.now_us, ID, result))
            case Change():
                self.do(self.journal.changed(self.now_us, ID, call.after, result))
            case Remove():
                self.do(self.journal.removed(self.now_us, ID, result))
            case Get():
                self.do(self.journal.row_read(self.now_us, ID, result, call.read_number))

    @precondition(lambda self: self.sends)
    @rule(answer=st.sampled_from(ANSWERS), may_have_run=st.booleans(), undecided=st.booleans())
    def the_nodes_answer(self, answer: NodeAnswer, may_have_run: bool, undecided: bool) -> None:
        sent = self.sends.pop().row
        if self.journal.is_sending(sent):
            self.do(self.journal.answered(self.now_us, ID, answer, may_have_run, (), 0, undecided))

    @rule(stored=st.sampled_from(STORED_ROWS[:2]))
    def a_poll_finds_a_row_past_its_window(self, stored: Row) -> None:
        self.number += 1
        self.do(self.journal.mark_unknown(self.now_us, stored, f"me.{self.number}"))

    @rule()
    def a_poll_finds_a_row_to_deliver(self) -> None:
        self.number += 1
        stored = STORED_ROWS[0]
        claimed = replace(stored, owner=f"me.{self.number}", until_s=2.0)
        self.do(self.journal.deliver(self.now_us, stored, claimed, self.now_us + 2 * S))

    @rule()
    def the_process_ends(self) -> None:
        self.do(self.journal.release_all(self.now_us))
        assert not self.deadlines and not self.journal.entries

    @invariant()
    def each_waiting_client_is_in_the_entry(self) -> None:
        entry = self.journal.entries.get(ID)
        waiting = set() if entry is None else set(entry.waiters)
        assert waiting == set(self.deadlines)
        assert entry is None or entry.phase in Phase


TestJournal = JournalMachine.TestCase
TestJournal.settings = settings(max_examples=300, stateful_step_count=30, deadline=None, derandomize=True)
