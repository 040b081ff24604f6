"""The journal: what it replies, sends and stores after each event."""

from __future__ import annotations

from dataclasses import replace

import pytest

from magpiefront.record import journal as j
from magpiefront.record.journal import (
    Change, Get, Insert, Journal, Phase, Remove, Reply, Send, recovery_action,
)  # fmt: skip
from magpiefront.record.rows import Answer, Attempt, Id, Moment, Outcome, Result, Row, State, site_attempt

S = j.US_PER_S
ID = Id("members", "field-report", b"k1")
ANSWER = Answer(200, b"X: y\r\n", b"held")
NOW = 1_000 * S


def row(digest: bytes = b"d", **fields: object) -> Row:
    """A row that this process has marked as sent at `NOW`, except for the given fields."""
    given: dict[str, object] = {
        "id": ID, "digest": digest, "method": b"PUT", "target": b"/api/k1", "more": b"", "body": b"3.2",
        "state": State.SENT, "received_s": 1.8e9, "sent": Moment(1.8e9, "boot", NOW / S), "owner": "me",
        "window_s": 30.0, "until_s": 2.0, **fields,
    }  # fmt: skip
    return Row(**given)  # type: ignore[arg-type]


def new_journal() -> Journal:
    return Journal("boot")


def journal_at(*waiters: str, phase: Phase = Phase.SENDING) -> Journal:
    """A journal with one report in that phase, INSERTING or SENDING, for these clients."""
    journal = new_journal()
    for w in waiters or ("a",):
        journal.on_request(NOW, w, row(), NOW + S)
    if phase is not Phase.INSERTING:
        (sent,) = journal.inserted(NOW, ID, Result(Outcome.DONE))
        assert isinstance(sent, Send) and sent.row == row()
    return journal


def replied_statuses(actions: list[j.Action]) -> dict[object, int]:
    """The statuses of the replies among the actions, by client."""
    return {a.waiter: a.answer.status for a in actions if isinstance(a, Reply)}


def test_a_report_is_stored_before_it_is_sent_and_its_outcome_before_the_reply() -> None:
    journal = new_journal()
    (insert,) = journal.on_request(NOW, "a", row(), NOW + S)
    assert isinstance(insert, Insert) and insert.row.state is State.SENT and insert.deadline_us < NOW + S
    (send,) = journal.inserted(NOW, ID, Result(Outcome.DONE))
    assert isinstance(send, Send)
    (change,) = journal.answered(NOW, ID, ANSWER, True, (Attempt("s-1", 1.8e9),))
    assert isinstance(change, Change) and change.after.answer == ANSWER
    assert change.before == row() and change.after.state is State.CONFIRMED
    assert change.after.attempts == (Attempt("s-1", 1.8e9),)
    assert replied_statuses(journal.changed(NOW, ID, change.after, Result(Outcome.DONE))) == {"a": 200}
    assert not journal.entries


def test_a_repeat_of_a_report_in_progress_waits_and_gets_the_same_answer() -> None:
    for phase in (Phase.INSERTING, Phase.SENDING):
        journal = journal_at(phase=phase)
        assert journal.on_request(NOW, "b", row(), NOW + 2 * S) == []
        if phase is Phase.INSERTING:
            journal.inserted(NOW, ID, Result(Outcome.DONE))
        (change,) = journal.answered(NOW, ID, ANSWER, True, ())
        assert isinstance(change, Change)
        assert replied_statuses(
            journal.changed(NOW, ID, change.after, Result(Outcome.DONE))
        ) == {"a": 200, "b": 200}  # fmt: skip


def test_another_payload_under_the_same_key_gets_422() -> None:
    journal = journal_at()
    assert replied_statuses(journal.on_request(NOW, "b", row(b"other"), NOW + S)) == {"b": 422}
    for state in State:
        journal = journal_at("a", phase=Phase.INSERTING)
        existing = row(b"other", state=state, owner="x", answer=ANSWER)
        assert replied_statuses(journal.inserted(NOW, ID, Result(Outcome.CONFLICT, existing))) == {"a": 422}
        assert not journal.entries


def test_a_repeat_of_a_confirmed_report_gets_the_stored_answer_and_sends_nothing() -> None:
    journal = journal_at("a", "b", phase=Phase.INSERTING)
    existing = row(state=State.CONFIRMED, owner="x", answer=ANSWER)
    actions = journal.inserted(NOW, ID, Result(Outcome.CONFLICT, existing))
    assert replied_statuses(actions) == {"a": 200, "b": 200} and not any(isinstance(a, Send) for a in actions)


def test_a_repeat_of_an_unknown_report_gets_409_and_sends_nothing() -> None:
    journal = journal_at(phase=Phase.INSERTING)
    actions = journal.inserted(NOW, ID, Result(Outcome.CONFLICT, row(state=State.UNKNOWN, owner="x")))
    assert replied_statuses(actions) == {"a": 409} and len(actions) == 1


def test_a_report_that_another_process_sends_is_polled_until_it_is_confirmed() -> None:
    journal = journal_at(phase=Phase.INSERTING)
    existing = row(owner="x", sent=Moment(0, "boot", NOW / S - 1))
    (get,) = journal.inserted(NOW, ID, Result(Outcome.CONFLICT, existing))
    assert isinstance(get, Get) and get.delay_us == j.POLL_INTERVAL_US
    (get,) = journal.row_read(NOW + S // 2, ID, Result(Outcome.DONE, existing))
    assert isinstance(get, Get)
    done = replace(existing, state=State.CONFIRMED, answer=ANSWER)
    assert replied_statuses(journal.row_read(NOW + S // 2, ID, Result(Outcome.DONE, done))) == {"a": 200}


def test_a_report_that_another_process_sends_past_the_deadline_gets_409_with_retry_after() -> None:
    journal = journal_at(phase=Phase.INSERTING)
    existing = row(owner="x", sent=Moment(0, "boot", NOW / S - 1))
    journal.inserted(NOW, ID, Result(Outcome.CONFLICT, existing))
    (reply,) = journal.row_read(NOW + S - 1_000, ID, Result(Outcome.DONE, existing))
    assert isinstance(reply, Reply) and reply.answer.status == 409 and reply.retry_after_us > 0
    journal = journal_at(phase=Phase.INSERTING)
    journal.inserted(NOW, ID, Result(Outcome.CONFLICT, existing))
    (reply,) = journal.on_deadline(NOW + S, "a", ID)
    assert isinstance(reply, Reply) and reply.answer.status == 409 and reply.retry_after_us > 0


@pytest.mark.parametrize(
    ("since_s", "boot", "expected"),
    [
        (1.0, "boot", "poll"),  # its owner may be working on it
        (2.5, "boot", "claim"),  # its owner's time is up, and the nodes still drop a repeat
        (29.0, "boot", "claim"),
        (30.0, "boot", "unknown"),
        (1.0, "another", "unknown"),  # sent under another boot: its age is not known
    ],
)
def test_a_row_that_another_process_left_open(since_s: float, boot: str, expected: str) -> None:
    journal = journal_at(phase=Phase.INSERTING)
    existing = row(owner="dead", sent=Moment(0, boot, NOW / S - since_s))
    actions = journal.inserted(NOW, ID, Result(Outcome.CONFLICT, existing))
    if expected == "poll":
        assert [type(a) for a in actions] == [Get]
    elif expected == "claim":
        (claim,) = actions
        assert isinstance(claim, Change) and claim.after.owner == "me" and claim.after.state is State.SENT
        assert claim.after.sent == existing.sent  # the window counts from the first send
        (send,) = journal.changed(NOW, ID, claim.after, Result(Outcome.DONE))
        assert isinstance(send, Send)
    else:
        assert replied_statuses(actions) == {"a": 409}
        (mark,) = [a for a in actions if isinstance(a, Change)]
        assert mark.after.state is State.UNKNOWN
        journal.changed(NOW, ID, mark.after, Result(Outcome.DONE))
        assert not journal.entries


def test_the_loser_of_two_concurrent_claims_polls_instead_of_sending() -> None:
    journal = journal_at(phase=Phase.INSERTING)
    existing = row(owner="dead", sent=Moment(0, "boot", NOW / S - 5))
    (claim,) = journal.inserted(NOW, ID, Result(Outcome.CONFLICT, existing))
    assert isinstance(claim, Change)
    other = replace(existing, owner="other", until_s=7.0)
    (get,) = journal.changed(NOW, ID, claim.after, Result(Outcome.CONFLICT, other))
    assert isinstance(get, Get)  # the other process sends it


@pytest.mark.parametrize("state", [State.STORED, State.NOT_RUN])
def test_a_report_that_is_known_not_to_have_run_is_claimed_and_sent(state: State) -> None:
    journal = journal_at(phase=Phase.INSERTING)
    existing = row(state=state, owner="import", sent=None)
    (claim,) = journal.inserted(NOW, ID, Result(Outcome.CONFLICT, existing))
    assert isinstance(claim, Change) and claim.after.sent == row().sent and claim.after.state is State.SENT
    assert [type(a) for a in journal.changed(NOW, ID, claim.after, Result(Outcome.DONE))] == [Send]


def test_an_insert_that_failed_is_refused_with_retry_after() -> None:
    journal = journal_at("a", "b", phase=Phase.INSERTING)
    actions = journal.inserted(NOW, ID, Result(Outcome.NOT_DONE, cause="full"))
    assert replied_statuses(actions) == {"a": 503, "b": 503} and not journal.entries
    assert all(isinstance(a, Reply) and a.retry_after_us for a in actions)


def test_an_insert_whose_result_was_lost_is_resolved_by_a_read() -> None:
    journal = journal_at(phase=Phase.INSERTING)
    (get,) = journal.inserted(NOW, ID, Result(Outcome.UNCERTAIN, cause="lost"))
    assert isinstance(get, Get)
    (send,) = journal.row_read(NOW, ID, Result(Outcome.DONE, row()))  # the row of this insert, not sent yet
    assert isinstance(send, Send)
    journal = journal_at(phase=Phase.INSERTING)
    journal.inserted(NOW, ID, Result(Outcome.UNCERTAIN, cause="lost"))
    (again,) = journal.row_read(NOW, ID, Result(Outcome.DONE, None))  # the insert was not done
    assert isinstance(again, Insert)
    journal = journal_at(phase=Phase.INSERTING)
    journal.inserted(NOW, ID, Result(Outcome.UNCERTAIN, cause="lost"))
    (get,) = journal.row_read(NOW, ID, Result(Outcome.UNCERTAIN, cause="still gone"))
    assert isinstance(get, Get)
    assert replied_statuses(journal.row_read(NOW + S, ID, Result(Outcome.UNCERTAIN))) == {"a": 409}


def test_a_row_removed_between_the_insert_and_the_read_is_inserted_again() -> None:
    """A sweep on the same server removes the row: its repeat counts as a new report."""
    journal = journal_at(phase=Phase.INSERTING)
    (get,) = journal.inserted(NOW, ID, Result(Outcome.CONFLICT, None))
    assert isinstance(get, Get)
    (again,) = journal.row_read(NOW, ID, Result(Outcome.DONE, None))
    assert isinstance(again, Insert)


def test_a_client_is_answered_before_its_deadline_if_nothing_can_be_sent_any_more() -> None:
    journal = journal_at("a", phase=Phase.INSERTING)
    (reply,) = journal.on_deadline(NOW + S - 20_000, "a", ID)
    # The insert is on its way to the store: another process may find the row and send the report.
    assert isinstance(reply, Reply) and reply.answer == j.RETRY_SAME_KEY and reply.retry_after_us > 0
    # Another client waits: the report may still be sent.
    journal = journal_at("a", "b", phase=Phase.INSERTING)
    assert replied_statuses(journal.on_deadline(NOW + S - 20_000, "a", ID)) == {"a": 504}
    journal = journal_at("a")  # sent: the answer may come until the deadline
    assert journal.on_deadline(NOW + S - 20_000, "a", ID) == []
    assert replied_statuses(journal.on_deadline(NOW + S, "a", ID)) == {"a": 504}


def test_a_report_refused_before_it_ran_is_removed_and_then_answered() -> None:
    journal = journal_at("a")
    refused = Answer(503, b"", b"")
    (remove,) = journal.answered(NOW, ID, refused, False, (), 250_000)
    assert isinstance(remove, Remove) and not replied_statuses([remove])
    (reply,) = journal.removed(NOW, ID, Result(Outcome.DONE))
    assert isinstance(reply, Reply) and reply.answer == refused and reply.retry_after_us == 250_000


@pytest.mark.parametrize("status", [429, 503])
def test_a_refusal_after_an_attempt_that_may_have_run_asks_for_a_retry(status: int) -> None:
    journal = journal_at("a")
    (mark,) = journal.answered(NOW, ID, Answer(status, b"", b""), True, (), 250_000)
    assert isinstance(mark, Change) and mark.after.told and mark.after.state is State.SENT
    assert journal.on_request(NOW, "b", row(), NOW + S) == []  # a repeat waits for the same outcome
    actions = journal.changed(NOW, ID, mark.after, Result(Outcome.DONE))
    assert replied_statuses(actions) == {"a": 409, "b": 409} and not journal.entries
    assert {a.retry_after_us for a in actions if isinstance(a, Reply)} == {250_000}
    # No other process sends the report; the retry of its client does.
    assert recovery_action(mark.after, NOW / S + 5, "boot") is j.RecoveryAction.LEAVE
    journal.on_request(NOW + S, "c", row(owner="later"), NOW + 3 * S)
    (claim,) = journal.inserted(NOW + S, ID, Result(Outcome.CONFLICT, mark.after))
    assert isinstance(claim, Change) and not claim.after.told and claim.after.sent == row().sent
    # If the row can't be marked, no client is answered that the report was refused.
    journal = journal_at("a")
    (mark,) = journal.answered(NOW, ID, Answer(status, b"", b""), True, ())
    assert isinstance(mark, Change)
    assert replied_statuses(
        journal.changed(NOW, ID, mark.after, Result(Outcome.NOT_DONE, cause="full"))
    ) == {"a": 504}  # fmt: skip
    # If no client waits, none will retry: the report is released, to be delivered.
    journal = journal_at("a")
    journal.on_client_left("a", ID)
    (release,) = journal.answered(NOW, ID, Answer(status, b"", b""), True, ())
    assert isinstance(release, Change) and not release.after.told and not journal.entries


@pytest.mark.parametrize("status", [500, 502, 504])
def test_a_report_that_may_have_run_stays_sent_and_is_released(status: int) -> None:
    journal = journal_at("a")
    actions = journal.answered(NOW, ID, Answer(status, b"", b""), True, ())
    assert replied_statuses(actions) == {"a": status} and not journal.entries
    # Released, so that no process has to wait for its owner.
    (release,) = [a for a in actions if isinstance(a, Change)]
    assert (
        release.after.state is State.SENT and release.after.until_s == 0
        and release.after.sent == row().sent
    )  # fmt: skip
    assert journal.changed(NOW, ID, release.after, Result(Outcome.DONE)) == []


def test_a_repeat_after_the_window_does_not_send_a_report_that_may_have_run() -> None:
    """The row has the owner of an earlier attempt, here of the same process. It must not be taken for the row
    of this attempt's own insert, and after the window it must not be sent."""
    journal = journal_at("a")
    journal.answered(NOW, ID, Answer(502, b"", b""), True, ())
    later = NOW + 40 * S
    journal.on_request(later, "b", row(owner="me, again", sent=Moment(0, "boot", later / S)), later + S)
    existing = row(until_s=0.0)
    actions = journal.inserted(later, ID, Result(Outcome.CONFLICT, existing))
    assert replied_statuses(actions) == {"b": 409} and not any(isinstance(a, Send) for a in actions)


def test_a_refusal_by_the_archive_is_confirmed_as_the_answer() -> None:
    journal = journal_at("a")
    (change,) = journal.answered(NOW, ID, Answer(409, b"", b"no"), True, ())
    assert isinstance(change, Change) and change.after.state is State.CONFIRMED


def test_an_outcome_that_could_not_be_stored_is_not_confirmed() -> None:
    for outcome in (Outcome.NOT_DONE, Outcome.UNCERTAIN):
        journal = journal_at("a")
        (change,) = journal.answered(NOW, ID, ANSWER, True, ())
        assert isinstance(change, Change)
        actions = journal.changed(NOW, ID, change.after, Result(outcome, cause="gone"))
        assert replied_statuses(actions) == {"a": 504} and not journal.entries
    journal = journal_at("a")
    (change,) = journal.answered(NOW, ID, ANSWER, True, ())
    assert isinstance(change, Change)
    other = row(state=State.CONFIRMED, owner="x", answer=Answer(200, b"", b"theirs"))
    (reply,) = journal.changed(NOW, ID, change.after, Result(Outcome.CONFLICT, other))
    assert isinstance(reply, Reply) and reply.answer.body == b"theirs"


def test_a_report_that_is_stored_too_late_is_not_sent() -> None:
    journal = journal_at(phase=Phase.INSERTING)
    (remove,) = journal.inserted(NOW + S - 1_000, ID, Result(Outcome.DONE))
    assert isinstance(remove, Remove)
    assert replied_statuses(journal.removed(NOW + S, ID, Result(Outcome.DONE))) == {"a": 503}


def test_a_report_goes_on_after_its_client_has_left() -> None:
    journal = journal_at("a")
    journal.on_client_left("a", ID)
    (change,) = journal.answered(NOW, ID, ANSWER, True, ())
    assert isinstance(change, Change) and change.after.state is State.CONFIRMED
    assert journal.changed(NOW, ID, change.after, Result(Outcome.DONE)) == []


def test_a_client_is_answered_at_its_deadline_and_the_report_goes_on() -> None:
    journal = journal_at("a", "b")
    assert replied_statuses(journal.on_deadline(NOW + S, "a", ID)) == {"a": 504}
    assert journal.on_deadline(NOW + S, "a", ID) == []
    (change,) = journal.answered(NOW + S, ID, ANSWER, True, ())
    assert isinstance(change, Change)
    assert replied_statuses(journal.changed(NOW + S, ID, change.after, Result(Outcome.DONE))) == {"b": 200}


@pytest.mark.parametrize(
    ("given", "up_s", "boot", "expected"),
    [
        (row(state=State.STORED), 0.0, "boot", j.RecoveryAction.DELIVER),
        (row(state=State.CONFIRMED), 0.0, "boot", j.RecoveryAction.LEAVE),
        (row(state=State.UNKNOWN), 0.0, "boot", j.RecoveryAction.LEAVE),
        (row(), 1_001.0, "boot", j.RecoveryAction.LEAVE),
        (row(), 1_002.0, "boot", j.RecoveryAction.RESEND),
        (row(told=True, until_s=0.0), 1_002.0, "boot", j.RecoveryAction.LEAVE),
        (row(told=True, until_s=0.0), 1_030.0, "boot", j.RecoveryAction.UNKNOWN),
        (row(told=True), 1_005.0, "another", j.RecoveryAction.UNKNOWN),
        (row(), 1_028.9, "boot", j.RecoveryAction.RESEND),
        (row(), 1_029.0, "boot", j.RecoveryAction.LEAVE),
        (row(), 1_029.99, "boot", j.RecoveryAction.LEAVE),
        (row(), 1_030.0, "boot", j.RecoveryAction.UNKNOWN),
        (row(), 1_500.0, "boot", j.RecoveryAction.UNKNOWN),
        (row(), 900.0, "boot", j.RecoveryAction.UNKNOWN),  # before it was sent: the time can't be trusted
        (row(), 1_005.0, "another", j.RecoveryAction.UNKNOWN),
        (row(sent=None), 1_005.0, "boot", j.RecoveryAction.LEAVE),
    ],
)
def test_recovery_action_by_state_age_and_boot(
    given: Row, up_s: float, boot: str, expected: j.RecoveryAction
) -> None:  # fmt: skip
    assert recovery_action(given, up_s, boot) is expected


def test_a_claimed_report_that_does_not_run_is_set_back_to_its_state_before() -> None:
    """A refusal of the later attempt does not remove a report that may have run before."""
    journal = journal_at(phase=Phase.INSERTING)
    existing = row(owner="dead", sent=Moment(0, "boot", NOW / S - 5))
    (claim,) = journal.inserted(NOW, ID, Result(Outcome.CONFLICT, existing))
    assert isinstance(claim, Change)
    journal.changed(NOW, ID, claim.after, Result(Outcome.DONE))
    (restore,) = journal.answered(NOW, ID, Answer(503, b"", b""), False, (), 250_000)
    assert isinstance(restore, Change) and restore.before == claim.after
    assert (
        restore.after.state is State.SENT and restore.after.sent == existing.sent
        and restore.after.until_s == 0
    )  # fmt: skip
    (reply,) = journal.changed(NOW, ID, restore.after, Result(Outcome.DONE))
    assert isinstance(reply, Reply) and reply.answer.status == 409 and reply.retry_after_us == 250_000
    assert restore.after.told and not journal.entries


@pytest.mark.parametrize("state", [State.STORED, State.SENT])
def test_an_open_report_is_delivered_without_a_client(state: State) -> None:
    journal = new_journal()
    existing = row(state=state, owner="dead", sent=Moment(0, "boot", NOW / S - 5))
    (claim,) = journal.deliver(NOW, existing, row(owner="me 1"), NOW + S)
    assert isinstance(claim, Change) and claim.after.owner == "me 1" and claim.after.state is State.SENT
    assert claim.after.sent == (existing.sent if state is State.SENT else row().sent)
    assert journal.deliver(NOW, existing, row(owner="me 2"), NOW + S) == []
    journal.on_request(NOW, "a", row(owner="me 3"), NOW + S)  # its client retries meanwhile
    (send,) = journal.changed(NOW, ID, claim.after, Result(Outcome.DONE))
    assert isinstance(send, Send) and send.deadline_us == NOW + S
    (change,) = journal.answered(NOW, ID, ANSWER, True, ())
    assert isinstance(change, Change)
    assert replied_statuses(journal.changed(NOW, ID, change.after, Result(Outcome.DONE))) == {"a": 200}


def test_a_refused_delivery_sets_the_row_back_to_stored() -> None:
    journal = new_journal()
    existing = row(state=State.STORED, owner="import", sent=None)
    (claim,) = journal.deliver(NOW, existing, row(owner="me 1"), NOW + S)
    assert isinstance(claim, Change)
    journal.changed(NOW, ID, claim.after, Result(Outcome.DONE))
    (restore,) = journal.answered(NOW, ID, Answer(503, b"", b""), False, ())
    assert isinstance(restore, Change) and restore.after.state is State.STORED and restore.after.sent is None
    assert journal.changed(NOW, ID, restore.after, Result(Outcome.DONE)) == [] and not journal.entries


def test_a_delivery_that_another_process_claimed_first_is_dropped() -> None:
    journal = new_journal()
    existing = row(owner="dead", sent=Moment(0, "boot", NOW / S - 5))
    (claim,) = journal.deliver(NOW, existing, row(owner="me 1"), NOW + S)
    assert isinstance(claim, Change)
    done = replace(existing, state=State.CONFIRMED, answer=ANSWER)
    assert journal.changed(NOW, ID, claim.after, Result(Outcome.CONFLICT, done)) == [] and not journal.entries


def test_a_report_past_its_window_is_marked_unknown_and_logged() -> None:
    journal = new_journal()
    existing = row(owner="dead", sent=Moment(0, "old", 1.0))
    (mark,) = journal.mark_unknown(NOW, existing, "me 1")
    assert isinstance(mark, Change) and mark.after.state is State.UNKNOWN
    (line,) = journal.changed(NOW, ID, mark.after, Result(Outcome.DONE))
    assert isinstance(line, j.LogLine) and "unknown" in line.text and not journal.entries


def test_the_pause_between_deliveries_doubles_with_each_refusal() -> None:
    pace = j.DeliveryPace(max_in_flight=2, min_pause_us=100, max_pause_us=350)
    pace.begin()
    assert pace.can_begin(0)
    pace.begin()
    assert not pace.can_begin(0)
    pauses = []
    for _ in range(4):
        pace.end(1_000, False)
        pauses.append(pace.not_before_us - 1_000)
        pace.begin()
    assert pauses == [100, 200, 350, 350] and not pace.can_begin(1_349)
    pace.end(2_000, True)
    assert pace.can_begin(2_000)


def test_the_result_of_a_release_is_ignored_by_the_next_attempt() -> None:
    """The client is answered and retries while the release of the row is in progress."""
    journal, first_row, second_row = Journal("boot"), row(owner="me.1"), row(owner="me.2")
    journal.on_request(NOW, "a", first_row, NOW + 2 * S)
    journal.inserted(NOW, ID, Result(Outcome.DONE))
    reply, release = journal.answered(NOW, ID, j.plain_answer(500, "x"), True, ())
    assert isinstance(reply, Reply) and isinstance(release, Change) and not journal.entries
    assert isinstance(journal.on_request(NOW, "b", second_row, NOW + 2 * S)[0], Insert)
    assert journal.changed(NOW, ID, release.after, Result(Outcome.DONE)) == []
    assert not journal.is_sending(first_row) and journal.entries[ID].phase is Phase.INSERTING
    (claim,) = journal.inserted(NOW, ID, Result(Outcome.CONFLICT, release.after))
    assert isinstance(claim, Change) and claim.before == release.after and claim.after.owner == "me.2"
    (send,) = journal.changed(NOW, ID, claim.after, Result(Outcome.DONE))
    assert isinstance(send, Send) and journal.is_sending(send.row) and not journal.is_sending(first_row)
    # A result for an entry that is gone, or in another phase by now, is ignored.
    assert (
        journal.inserted(NOW, ID, Result(Outcome.DONE)) == []
        == journal.removed(NOW, ID, Result(Outcome.DONE))
    )  # fmt: skip
    journal.release_all(NOW)
    assert (
        journal.inserted(NOW, ID, Result(Outcome.DONE)) == []
        == journal.removed(NOW, ID, Result(Outcome.DONE))
    )  # fmt: skip


@pytest.mark.parametrize("note", ["", j.RAN_NOTE])
@pytest.mark.parametrize(
    ("result", "status"),
    [
        (Result(Outcome.DONE), 409),
        (Result(Outcome.NOT_DONE), 409),
        (Result(Outcome.UNCERTAIN), 409),
        (Result(Outcome.CONFLICT, row(owner="other")), 409),
        (Result(Outcome.CONFLICT, row(state=State.CONFIRMED, answer=ANSWER)), 200),
    ],
)
def test_a_client_that_comes_while_its_row_is_marked_as_unknown_is_answered(
    result: Result, status: int, note: str
) -> None:
    journal = new_journal()
    open_row = row(owner="other", until_s=0.0, note=note)
    (change,) = journal.mark_unknown(NOW + 60 * S, open_row, "me.1")
    assert isinstance(change, Change)
    journal.on_request(NOW + 60 * S, "a", row(owner="me.2"), NOW + 63 * S)
    actions = journal.changed(NOW + 61 * S, ID, change.after, result)
    assert replied_statuses(actions) == {"a": status} and not journal.entries


def test_a_client_within_the_window_is_not_told_that_it_came_too_late() -> None:
    """At the last moment at which a delivery of 1 s no longer fits, its repeat still does."""
    now_us, open_row = NOW + 29_500_000, row(owner="other", until_s=0.0)
    assert recovery_action(open_row, now_us / S, "boot") is j.RecoveryAction.LEAVE
    journal = new_journal()
    journal.on_request(now_us, "a", row(owner="me.1"), now_us + 3 * S)
    (claim,) = journal.inserted(now_us, ID, Result(Outcome.CONFLICT, open_row))
    assert isinstance(claim, Change) and claim.after.state is State.SENT
    (send,) = journal.changed(now_us, ID, claim.after, Result(Outcome.DONE))
    assert isinstance(send, Send)


@pytest.mark.parametrize(
    ("stored", "sites"),
    [
        (row(owner="other", until_s=0.0, attempts=site_attempt("east", 1.0)), ["site east"]),
        (row(owner="other", until_s=0.0), []),  # written before rows named a site
        (row(state=State.NOT_RUN, owner="other", attempts=site_attempt("east", 1.0)), ["site west"]),
        (row(state=State.STORED, owner="other", sent=None), ["site west"]),
    ],
)
def test_a_claimed_report_goes_to_the_site_where_it_may_have_run(stored: Row, sites: list[str]) -> None:
    journal = new_journal()
    journal.on_request(NOW, "a", row(owner="me.1", attempts=site_attempt("west", 2.0)), NOW + S)
    (claim,) = journal.inserted(NOW, ID, Result(Outcome.CONFLICT, stored))
    assert isinstance(claim, Change) and [a.node for a in claim.after.attempts] == sites
