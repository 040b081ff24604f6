"""Owners, shares, and what the journal does with them: pure."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from magpiefront.group.facts import Member, State
from magpiefront.group.settings import Times
from magpiefront.interface import Repeat, RequestClass
from magpiefront.record import journal as j
from magpiefront.record.acting import Alone, Standing
from magpiefront.record.journal import Change, Fate, Follow, Get, Insert, Journal, Reply, Send
from magpiefront.record.rows import Id, Moment, Outcome, Result, Row
from magpiefront.record.rows import State as Held
from magpiefront.takeover import limits, owners, shares
from tests.record.test_journal import HELD, ID, NOW, S, row, told

W, V, M, U = Standing.WELL, Standing.OVER, Standing.MINE, Standing.UNTOLD
FACTS = {
    "a": Member("a.0", 4), "b": Member("b.0", 3, State.LOST), "c": Member("c.2", 6),
    "d": Member("d.0", 9, State.LEFT), "e.x": Member("e.x.0", 2),
}  # fmt: skip


@pytest.mark.parametrize(
    ("owner", "standing"),
    [
        ("a.0@4/p.1", M), ("a.0@3/p.1", V), ("a.0@5/p.1", W),  # ahead of what is known here: left alone
        ("b.0@2/p.1", V), ("b.0@3/p.1", V), ("b.0@4/p.1", W), ("c.2@6/p.1", W), ("c.1@5/p.1", V),
        ("c.3@7/p.1", W), ("d.0@8/p.1", V), ("z.0@1/p.1", W), ("e.x.0@2/p.1", W), ("e.x.0@1/p.1", V),
        ("5f3a.12", U), ("", U), ("a.0@x/p", U),
    ],
)  # fmt: skip
def test_what_the_facts_say_of_an_owner(owner: str, standing: Standing) -> None:
    assert owners.standing(owner, "a.0", FACTS) is standing


def test_whose_rows_are_looked_for_after_a_change() -> None:
    after = {**FACTS, "a": Member("a.0", 5, State.LOST), "c": Member("c.3", 7), "n": Member("n.0", 1)}
    assert owners.changed(FACTS, after) == ["a.0@", "c.2@"]
    assert owners.changed(FACTS, FACTS) == []


def test_a_window_that_a_take_over_does_not_fit_into_is_told_and_refused_by_check(tmp_path: Path) -> None:
    times = Times()
    needed = limits.needed_us(times, 2_000_000)
    assert needed == times.free_us + 800_000 + 2_000_000

    def said(window_us: int, repeat: Repeat = Repeat.KEYED, held: frozenset[str] | None = None) -> list[str]:
        cls = RequestClass("report", repeat, 1, 1, window_us=window_us)
        return limits.too_short([cls], held, times, 2_000_000)

    assert said(needed) == [] and len(said(needed - 1)) == 1
    assert said(1, Repeat.SAFE) == [] and said(1, held=frozenset({"other"})) == []
    assert len(said(1, held=frozenset({"report"}))) == 1
    names = "\n".join(f'm{n} = "127.0.0.1:{7000 + n}"' for n in range(3))
    file, platform = tmp_path / "o.toml", tmp_path / "c.json"
    group = 'member = "m0"\npath = "g"\nvoters = ["m0", "m1", "m2"]\ntls = { plain = true }'
    file.write_text(f'[site]\nname = "west"\n[record.sqlite]\npath = "r"\n[group]\n{group}\n'
                    f"[group.members]\n{names}\n")  # fmt: skip
    for window_us, status in ((1_000_000, 2), (8_000_000, 0)):
        grades = [{"name": "report", "repeat": "idempotency_key", "sloUs": 1, "giveUpUs": 2,
                   "keyTtlUs": window_us}]  # fmt: skip
        platform.write_text(json.dumps({
            "name": "m0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1",
            "settings": {"balancers": 1, "grades": grades, "permissions": {"maxAttempts": 1},
                         "rules": {"coldFrom": 1.0, "coldUs": 0}},
        }))  # fmt: skip
        done = subprocess.run([sys.executable, "-m", "magpiefront", "check", str(file)], capture_output=True,
                              text=True, env={**os.environ, "LB_CONFIG": str(platform)})  # fmt: skip
        assert done.returncode == status, done.stderr
        assert done.stderr.count("\n") == (status == 2) and ("keyTtlUs" in done.stderr) == (status == 2)


def place(id: Id, me: str, well: Iterable[str]) -> int:
    return len(list(shares.before(id, me, well)))


IDS = st.builds(Id, st.text(max_size=4), st.just("report"), st.binary(min_size=1, max_size=6))
NAMES = st.sets(st.sampled_from([f"m{n}.0" for n in range(9)]), min_size=2)


@given(IDS, NAMES)
def test_each_row_has_one_order_of_members_and_a_loss_moves_no_other(id: Id, well: set[str]) -> None:
    order = sorted(well, key=lambda m: place(id, m, well))
    assert [place(id, m, well) for m in order] == list(range(len(well)))
    left = well - {order[0]}
    assert [place(id, m, left) for m in order[1:]] == list(range(len(left)))
    assert max(shares.turn_us(id, m, well) for m in well) <= shares.MOST_STEPS * shares.STEP_US


def test_the_rows_of_one_tenant_are_spread() -> None:
    well = [f"m{n}.0" for n in range(5)]
    ids = [Id("t", "r", b"%d" % n) for n in range(1_000)]
    first = [next(m for m in well if not place(id, m, well)) for id in ids]
    assert all(150 < first.count(m) < 260 for m in well)


@dataclass
class Acts(Alone):
    """A member that may act, and what it knows of others, as set."""

    own: str | None = "a.0@4/"
    known: dict[str, Standing] = field(default_factory=dict)

    def prefix(self) -> str | None:
        return self.own

    def may(self, owner: str) -> bool:
        return self.own is not None and owner.startswith(self.own)

    def standing(self, owner: str) -> Standing:
        return self.known.get(owner, U)


MINE = row(owner="a.0@4/p.1")
THEIRS = row(owner="b.0@2/q.1", until_s=3.0)


def asked(acts: Acts, there: Row = THEIRS) -> tuple[Journal, list[j.Action]]:
    """A try whose report another member holds already."""
    g = Journal("boot", acting=acts)
    g.arrive(NOW, "w", MINE, NOW + 2 * S)
    return g, g.inserted(NOW, ID, Result(Outcome.THERE, there))


def test_one_that_is_well_is_left_alone_however_slow_and_asked_to_tell() -> None:
    g, (follow, get) = asked(Acts(known={THEIRS.owner: W}))
    assert isinstance(follow, Follow) and follow.owner == THEIRS.owner
    assert isinstance(get, Get) and get.after_us == j.ASK_AGAIN_US
    late = replace(THEIRS, sent=replace_up(THEIRS, NOW / S - 20))  # past its own time
    (again,) = g.got(NOW + S, ID, Result(Outcome.DONE, late), get.number)
    assert isinstance(again, Get) and again.after_us == j.FOLLOWED_US
    # A look from before does not count, a hint does at once.
    assert g.got(NOW + S, ID, Result(Outcome.DONE, late), get.number) == []
    (now,) = g.look(NOW + S, ID)
    assert isinstance(now, Get) and now.after_us == 0 and now.number > again.number
    assert told(g.got(NOW + S, ID, Result(Outcome.DONE, replace(late, state=Held.CONFIRMED, answer=HELD)),
                      now.number)) == {"w": 200}  # fmt: skip


def replace_up(r: Row, up_s: float) -> Moment:
    assert r.sent is not None
    return r.sent._replace(up_s=up_s)


@pytest.mark.parametrize(
    ("standing", "until_s", "since_s", "then"),
    [
        (V, 3.0, 0.1, Change), (V, 3.0, 28.0, Change), (V, 3.0, 31.0, "unknown"),
        (W, 0.0, 0.1, Change), (W, 3.0, 28.0, Get), (M, 3.0, 0.1, Change),
        (U, 3.0, 0.1, Get), (U, 3.0, 3.1, Change), (U, 3.0, 31.0, "unknown"),
    ],
)  # fmt: skip
def test_when_a_row_is_taken(standing: Standing, until_s: float, since_s: float, then: object) -> None:
    there = replace(THEIRS, until_s=until_s, sent=replace_up(THEIRS, NOW / S - since_s))
    g, actions = asked(Acts(known={there.owner: standing}), there)
    last = actions[0] if then == "unknown" else actions[-1]
    if then is Change or then == "unknown":
        assert isinstance(last, Change) and last.before == there and last.after.owner == MINE.owner
        assert (last.after.state is Held.UNKNOWN) is (then == "unknown")
        if then is Change:
            (send,) = g.changed(NOW, ID, last.after, Result(Outcome.DONE))
            assert isinstance(send, Send) and send.row.sent == there.sent  # the window counts from the first
    else:
        assert isinstance(last, Get)
    in_window = Fate.AGAIN if since_s < 29 else Fate.UNKNOWN
    wanted = {V: in_window, W: Fate.LEAVE if until_s else in_window, M: in_window,
              U: Fate.LEAVE if since_s < 3 else in_window}  # fmt: skip
    assert j.fate(there, NOW / S, "boot", 1.0, standing) is wanted[standing]


@pytest.mark.parametrize("own", [None, "a.0@6/"], ids=["it may not act", "under a later epoch"])
def test_one_that_was_lost_meanwhile_sends_writes_and_claims_nothing(own: str | None) -> None:
    acts = Acts()
    g = Journal("boot", acting=acts)
    (insert,) = g.arrive(NOW, "w", MINE, NOW + S)
    assert isinstance(insert, Insert)
    acts.own = own
    (reply,) = g.inserted(NOW, ID, Result(Outcome.DONE))
    assert isinstance(reply, Reply) and reply.answer.status == 409 and reply.retry_after_us and not g.entries
    # ... between the first byte and the answer
    acts.own = "a.0@4/"
    g.arrive(NOW, "w", MINE, NOW + S)
    (send,) = g.inserted(NOW, ID, Result(Outcome.DONE))
    acts.own = own
    assert isinstance(send, Send) and told(g.answered(NOW, ID, HELD, True, ())) == {"w": 409}
    # ... and with a row that is free
    acts.own = "a.0@4/"
    g.arrive(NOW, "w", MINE, NOW + S)
    acts.own, acts.known = own, {THEIRS.owner: V}
    assert told(g.inserted(NOW, ID, Result(Outcome.THERE, THEIRS))) == {"w": 409} and not g.entries


def test_a_planned_end_lets_go_what_is_out_and_tells_nobody() -> None:
    g = Journal("boot", acting=Acts())
    for n, key in enumerate((b"out", b"held")):
        id = Id("t", "r", key)
        g.arrive(NOW, n, replace(MINE, id=id), NOW + S)
        if key == b"out":
            g.inserted(NOW, id, Result(Outcome.DONE))
    (change,) = g.part(NOW)
    assert isinstance(change, Change) and change.after.until_s == 0 and change.before.id.key == b"out"
    assert not g.entries


def test_without_a_group_a_row_is_taken_by_its_own_times_alone() -> None:
    g = Journal("boot")
    g.arrive(NOW, "w", row(), NOW + S)
    (get,) = g.inserted(NOW, ID, Result(Outcome.THERE, replace(THEIRS, owner="x.1")))
    assert isinstance(get, Get) and get.after_us == j.ASK_AGAIN_US
    (again,) = g.look(NOW)
    assert isinstance(again, Get) and again.number == get.number + 1
