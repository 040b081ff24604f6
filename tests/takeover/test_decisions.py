"""Owners, the order of claims, and how the journal decides who sends a report. No I/O."""

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

from magpiefront.group.registry import Member, MemberState
from magpiefront.group.settings import Times
from magpiefront.interface import Repeat, RequestClass
from magpiefront.record import journal as j
from magpiefront.record.ownership import UngroupedOwnership, OwnerStatus
from magpiefront.record.journal import Change, RecoveryAction, Follow, Get, Insert, Journal, Reply, Send
from magpiefront.record.rows import Id, Moment, Outcome, Result, Row, State
from magpiefront.takeover import claim_order, limits, owners
from tests.record.test_journal import ANSWER, ID, NOW, S, row, replied_statuses

ACTIVE, ENDED, OWN, NO_MEMBER = OwnerStatus.ACTIVE, OwnerStatus.ENDED, OwnerStatus.OWN, OwnerStatus.NO_MEMBER
MEMBERS = {
    "a": Member("a.0", 4), "b": Member("b.0", 3, MemberState.LOST), "c": Member("c.2", 6),
    "d": Member("d.0", 9, MemberState.LEFT), "e.x": Member("e.x.0", 2),
}  # fmt: skip


@pytest.mark.parametrize(
    ("owner", "status"),
    [
        ("a.0@4/p.1", OWN), ("a.0@3/p.1", ENDED),
        ("a.0@5/p.1", ACTIVE),  # an epoch that is not known here yet
        ("b.0@2/p.1", ENDED), ("b.0@3/p.1", ENDED), ("b.0@4/p.1", ACTIVE), ("c.2@6/p.1", ACTIVE),
        ("c.1@5/p.1", ENDED), ("c.3@7/p.1", ACTIVE), ("d.0@8/p.1", ENDED), ("z.0@1/p.1", ACTIVE),
        ("e.x.0@2/p.1", ACTIVE), ("e.x.0@1/p.1", ENDED),
        ("5f3a.12", NO_MEMBER), ("", NO_MEMBER), ("a.0@x/p", NO_MEMBER),
    ],
)  # fmt: skip
def test_status_of_an_owner(owner: str, status: OwnerStatus) -> None:
    assert owners.owner_status(owner, "a.0", MEMBERS) is status


def test_prefixes_of_owners_whose_members_changed() -> None:
    after = {**MEMBERS, "a": Member("a.0", 5, MemberState.LOST), "c": Member("c.3", 7), "n": Member("n.0", 1)}
    assert owners.changed_prefixes(MEMBERS, after) == ["a.0@", "c.2@"]
    assert owners.changed_prefixes(MEMBERS, MEMBERS) == []


def test_a_window_too_short_for_a_takeover_is_reported_and_fails_check(tmp_path: Path) -> None:
    times = Times()
    needed = limits.min_window_us(times, 2_000_000)
    assert needed == times.loss_timeout_us + 800_000 + 2_000_000

    def warnings(
        window_us: int, repeat: Repeat = Repeat.KEYED, stored: frozenset[str] | None = None
    ) -> list[str]:
        cls = RequestClass("report", repeat, 1, 1, window_us=window_us)
        return limits.short_window_warnings([cls], stored, times, 2_000_000)

    assert warnings(needed) == [] and len(warnings(needed - 1)) == 1
    assert warnings(1, Repeat.SAFE) == [] and warnings(1, stored=frozenset({"other"})) == []
    assert len(warnings(1, stored=frozenset({"report"}))) == 1
    members = "\n".join(f'm{n} = "127.0.0.1:{7000 + n}"' for n in range(3))
    operator_file, platform_file = tmp_path / "o.toml", tmp_path / "c.json"
    group = 'member = "m0"\npath = "g"\nvoters = ["m0", "m1", "m2"]\ntls = { plain = true }'
    operator_file.write_text(f'[site]\nname = "west"\n[record.sqlite]\npath = "r"\n[group]\n{group}\n'
                             f"[group.members]\n{members}\n")  # fmt: skip
    for window_us, status in ((1_000_000, 2), (8_000_000, 0)):
        grades = [{"name": "report", "repeat": "idempotency_key", "sloUs": 1, "giveUpUs": 2,
                   "keyTtlUs": window_us}]  # fmt: skip
        platform_file.write_text(json.dumps({
            "name": "m0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1",
            "settings": {"balancers": 1, "grades": grades, "permissions": {"maxAttempts": 1},
                         "rules": {"coldFrom": 1.0, "coldUs": 0}},
        }))  # fmt: skip
        done = subprocess.run([sys.executable, "-m", "magpiefront", "check", str(operator_file)],
                              capture_output=True, text=True,
                              env={**os.environ, "LB_CONFIG": str(platform_file)})  # fmt: skip
        assert done.returncode == status, done.stderr
        assert done.stderr.count("\n") == (status == 2) and ("keyTtlUs" in done.stderr) == (status == 2)


def place_in_order(id: Id, me: str, alive: Iterable[str]) -> int:
    """How many members claim the row before `me`."""
    return len(list(claim_order.members_ahead(id, me, alive)))


IDS = st.builds(Id, st.text(max_size=4), st.just("report"), st.binary(min_size=1, max_size=6))
NAMES = st.sets(st.sampled_from([f"m{n}.0" for n in range(9)]), min_size=2)


@given(IDS, NAMES)
def test_each_row_has_one_order_of_members_that_a_loss_does_not_change(id: Id, alive: set[str]) -> None:
    order = sorted(alive, key=lambda m: place_in_order(id, m, alive))
    assert [place_in_order(id, m, alive) for m in order] == list(range(len(alive)))
    left = alive - {order[0]}
    assert [place_in_order(id, m, left) for m in order[1:]] == list(range(len(left)))
    assert max(claim_order.claim_delay_us(id, m, alive) for m in alive) <= (
        claim_order.MAX_CLAIM_STEPS * claim_order.CLAIM_STEP_US
    )


def test_the_rows_of_one_tenant_are_spread() -> None:
    alive = [f"m{n}.0" for n in range(5)]
    ids = [Id("t", "r", b"%d" % n) for n in range(1_000)]
    first = [next(m for m in alive if not place_in_order(id, m, alive)) for id in ids]
    assert all(150 < first.count(m) < 260 for m in alive)


@dataclass
class FakeOwnership(UngroupedOwnership):
    """`Ownership` with a fixed own prefix and a fixed status of each other owner."""

    own: str | None = "a.0@4/"
    known: dict[str, OwnerStatus] = field(default_factory=dict)

    def owner_prefix(self) -> str | None:
        return self.own

    def may_act(self, owner: str) -> bool:
        return self.own is not None and owner.startswith(self.own)

    def owner_status(self, owner: str) -> OwnerStatus:
        return self.known.get(owner, NO_MEMBER)


MINE = row(owner="a.0@4/p.1")
THEIRS = row(owner="b.0@2/q.1", until_s=3.0)


def contended_journal(ownership: FakeOwnership, stored: Row = THEIRS) -> tuple[Journal, list[j.Action]]:
    """A journal that has got a report which is stored already as the row `stored`, and the actions for it."""
    journal = Journal("boot", ownership=ownership)
    journal.on_request(NOW, "w", MINE, NOW + 2 * S)
    return journal, journal.inserted(NOW, ID, Result(Outcome.CONFLICT, stored))


def test_a_slow_owner_that_is_active_keeps_its_row_and_is_followed() -> None:
    journal, (follow, get) = contended_journal(FakeOwnership(known={THEIRS.owner: ACTIVE}))
    assert isinstance(follow, Follow) and follow.owner == THEIRS.owner
    assert isinstance(get, Get) and get.delay_us == j.POLL_INTERVAL_US
    late = replace(THEIRS, sent=sent_at(THEIRS, NOW / S - 20))  # past the time in the row
    (again,) = journal.row_read(NOW + S, ID, Result(Outcome.DONE, late), get.read_number)
    assert isinstance(again, Get) and again.delay_us == j.FOLLOWED_POLL_INTERVAL_US
    # The result of an earlier read is ignored; a hint causes a read at once.
    assert journal.row_read(NOW + S, ID, Result(Outcome.DONE, late), get.read_number) == []
    (now,) = journal.poll_now(NOW + S, ID)
    assert isinstance(now, Get) and now.delay_us == 0 and now.read_number > again.read_number
    assert replied_statuses(journal.row_read(
        NOW + S, ID, Result(Outcome.DONE, replace(late, state=State.CONFIRMED, answer=ANSWER)),
        now.read_number,
    )) == {"w": 200}  # fmt: skip


def sent_at(r: Row, up_s: float) -> Moment:
    assert r.sent is not None
    return r.sent._replace(up_s=up_s)


@pytest.mark.parametrize(
    ("status", "until_s", "since_s", "expected"),
    [
        (ENDED, 3.0, 0.1, Change), (ENDED, 3.0, 28.0, Change), (ENDED, 3.0, 31.0, "unknown"),
        (ACTIVE, 0.0, 0.1, Change), (ACTIVE, 3.0, 28.0, Get), (OWN, 3.0, 0.1, Change),
        (NO_MEMBER, 3.0, 0.1, Get), (NO_MEMBER, 3.0, 3.1, Change), (NO_MEMBER, 3.0, 31.0, "unknown"),
    ],
)  # fmt: skip
def test_when_a_row_is_claimed(status: OwnerStatus, until_s: float, since_s: float, expected: object) -> None:
    stored = replace(THEIRS, until_s=until_s, sent=sent_at(THEIRS, NOW / S - since_s))
    journal, actions = contended_journal(FakeOwnership(known={stored.owner: status}), stored)
    last = actions[0] if expected == "unknown" else actions[-1]
    if expected is Change or expected == "unknown":
        assert isinstance(last, Change) and last.before == stored and last.after.owner == MINE.owner
        assert (last.after.state is State.UNKNOWN) is (expected == "unknown")
        if expected is Change:
            (send,) = journal.changed(NOW, ID, last.after, Result(Outcome.DONE))
            assert isinstance(send, Send) and send.row.sent == stored.sent  # not the time of the claim
    else:
        assert isinstance(last, Get)
    in_window = RecoveryAction.RESEND if since_s < 29 else RecoveryAction.UNKNOWN
    wanted = {ENDED: in_window, ACTIVE: RecoveryAction.LEAVE if until_s else in_window, OWN: in_window,
              NO_MEMBER: RecoveryAction.LEAVE if since_s < 3 else in_window}  # fmt: skip
    assert j.recovery_action(stored, NOW / S, "boot", 1.0, status) is wanted[status]


@pytest.mark.parametrize("own", [None, "a.0@6/"], ids=["it may not act", "under a later epoch"])
def test_a_member_that_was_lost_meanwhile_sends_writes_and_claims_nothing(own: str | None) -> None:
    ownership = FakeOwnership()
    journal = Journal("boot", ownership=ownership)
    (insert,) = journal.on_request(NOW, "w", MINE, NOW + S)
    assert isinstance(insert, Insert)
    ownership.own = own
    (reply,) = journal.inserted(NOW, ID, Result(Outcome.DONE))
    assert (
        isinstance(reply, Reply) and reply.answer.status == 409 and reply.retry_after_us
        and not journal.entries
    )  # fmt: skip
    # Lost between the first byte and the answer.
    ownership.own = "a.0@4/"
    journal.on_request(NOW, "w", MINE, NOW + S)
    (send,) = journal.inserted(NOW, ID, Result(Outcome.DONE))
    ownership.own = own
    assert isinstance(send, Send) and replied_statuses(journal.answered(NOW, ID, ANSWER, True, ())) == {
        "w": 409
    }
    # Lost before the claim of a row whose owner does not act any more.
    ownership.own = "a.0@4/"
    journal.on_request(NOW, "w", MINE, NOW + S)
    ownership.own, ownership.known = own, {THEIRS.owner: ENDED}
    assert (
        replied_statuses(journal.inserted(NOW, ID, Result(Outcome.CONFLICT, THEIRS))) == {"w": 409}
        and not journal.entries
    )


def test_a_planned_end_releases_the_rows_in_hand_and_answers_each_client() -> None:
    journal = Journal("boot", ownership=FakeOwnership())
    for n, key in enumerate((b"out", b"held")):
        id = Id("t", "r", key)
        journal.on_request(NOW, n, replace(MINE, id=id), NOW + S)
        if key == b"out":
            journal.inserted(NOW, id, Result(Outcome.DONE))
    change, *replies = journal.release_all(NOW)
    assert replied_statuses(replies) == {0: 409, 1: 409}
    assert isinstance(change, Change) and change.after.until_s == 0 and change.before.id.key == b"out"
    assert not journal.entries


def test_without_a_group_only_the_times_of_a_row_decide_when_it_is_claimed() -> None:
    journal = Journal("boot")
    journal.on_request(NOW, "w", row(), NOW + S)
    (get,) = journal.inserted(NOW, ID, Result(Outcome.CONFLICT, replace(THEIRS, owner="x.1")))
    assert isinstance(get, Get) and get.delay_us == j.POLL_INTERVAL_US
    (again,) = journal.poll_now(NOW)
    assert isinstance(again, Get) and again.read_number == get.read_number + 1
