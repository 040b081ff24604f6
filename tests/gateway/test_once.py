"""Tests of the table of answers to keyed requests."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from magpiefront.gateway.idempotency import Answer, Key, AnswerTable, Verdict

WINDOW_US = 1_000
OK = Answer(200, b"held", b"")


def key(name: str = "a") -> Key:
    return "report", "t", name


def table(max_entries: int = 10, max_bytes: int = 1_000) -> AnswerTable[str]:
    return AnswerTable(max_entries, max_bytes)


def test_one_runs_and_the_others_get_its_answer() -> None:
    answers = table()
    assert answers.begin(0, key(), b"p", WINDOW_US, 0, "first") is Verdict.RUN
    assert answers.begin(10, key(), b"p", WINDOW_US, 5, "second") is Verdict.WAIT
    assert answers.begin(10, key(), b"other", WINDOW_US, 0, "third") is Verdict.MISMATCH
    assert answers.begin(10, key("b"), b"p", WINDOW_US, 0, "fourth") is Verdict.RUN
    assert answers.finish(key(), OK) == ["first", "second"]
    assert (
        answers.begin(WINDOW_US - 1, key(), b"p", WINDOW_US, WINDOW_US - 1, "late") is Verdict.KNOWN
        and answers.answer_for(key()) == OK
    )
    assert answers.begin(WINDOW_US - 1, key(), b"other", WINDOW_US, 0, "late") is Verdict.MISMATCH


def test_the_window_counts_from_the_start_and_a_repeat_past_it_does_not_run() -> None:
    answers = table()
    answers.begin(0, key(), b"p", WINDOW_US, 0, "first")
    answers.finish(key(), OK)
    assert answers.begin(WINDOW_US, key(), b"p", WINDOW_US, WINDOW_US, "repeat") is Verdict.FORGOTTEN
    assert answers.begin(WINDOW_US, key(), b"p", WINDOW_US, WINDOW_US + 5, "repeat") is Verdict.FORGOTTEN
    assert answers.begin(WINDOW_US, key(), b"p", WINDOW_US, 0, "a new request") is Verdict.RUN


def test_a_repeat_runs_if_the_first_attempt_never_arrived() -> None:
    assert table().begin(500, key(), b"p", WINDOW_US, 400, "repeat") is Verdict.RUN


def test_after_a_failure_the_next_request_runs() -> None:
    answers = table()
    answers.begin(0, key(), b"p", WINDOW_US, 0, "first")
    answers.begin(0, key(), b"p", WINDOW_US, 0, "second")
    assert answers.abandon(key()) == ["first", "second"] and answers.abandon(key()) == []
    assert answers.begin(10, key(), b"p", WINDOW_US, 10, "repeat") is Verdict.RUN


def test_removed_waiters_get_no_answer_and_the_request_continues() -> None:
    answers = table()
    answers.begin(0, key(), b"p", WINDOW_US, 0, "first")
    answers.remove_waiter(key(), "first")
    answers.remove_waiter(key(), "first")
    answers.remove_waiter(key("b"), "first")
    assert answers.begin(5, key(), b"p", WINDOW_US, 5, "second") is Verdict.WAIT
    assert answers.finish(key(), OK) == ["second"]


def test_a_full_table_drops_the_oldest_answer_and_remembers_that_it_did() -> None:
    answers = table(max_entries=2)
    answers.begin(100, key("a"), b"p", WINDOW_US, 0, "x")
    answers.finish(key("a"), OK)
    answers.begin(200, key("b"), b"p", WINDOW_US, 0, "x")
    # Evicts a; b is running and stays.
    assert answers.begin(300, key("c"), b"p", WINDOW_US, 0, "x") is Verdict.RUN
    # No finished entry is left to evict.
    assert answers.begin(310, key("d"), b"p", WINDOW_US, 0, "x") is Verdict.FULL
    # First sent at 100, so it may have run.
    assert answers.begin(400, key("a"), b"p", WINDOW_US, 300, "x") is Verdict.FORGOTTEN
    answers.abandon(key("c"))
    # First sent at 150, after the start of the evicted entry: if it had run, its entry would still exist.
    assert answers.begin(400, key("e"), b"p", WINDOW_US, 250, "x") is Verdict.RUN


def test_bytes_are_bounded() -> None:
    answers = table(max_bytes=100)
    for i in range(20):
        answers.begin(i, key(str(i)), b"p", WINDOW_US, 0, "x")
        answers.finish(key(str(i)), Answer(200, b"x" * 30, b""))
        assert (
            answers.answer_bytes <= 100
            and answers.answer_bytes == sum(e.size for e in answers.entries.values())
        )  # fmt: skip
    assert len(answers.entries) == 3


@given(
    st.lists(
        st.tuples(
            st.integers(0, 200), st.sampled_from("abc"), st.sampled_from(["send", "finish", "abandon"])
        ),
        max_size=60,
    ),
    st.integers(1, 3),
)
def test_nothing_runs_twice_within_its_window(steps: list[tuple[int, str, str]], max_entries: int) -> None:
    """Random steps: a request that runs or was served within its window is not run again.

    Senders give the true age of their first attempt.
    """
    answers, now = table(max_entries=max_entries), 0
    first: dict[str, int] = {}
    served: set[str] = set()
    running: set[str] = set()
    for wait, name, step in steps:
        now += wait
        if step == "send":
            age = now - first.setdefault(name, now)
            verdict = answers.begin(now, key(name), b"p", WINDOW_US, age, "x")
            if verdict is Verdict.RUN:
                assert name not in served and name not in running
                running.add(name)
            assert (verdict is Verdict.WAIT) == (name in running and verdict is not Verdict.RUN)
        elif name in running:
            running.remove(name)
            if step == "finish":
                answers.finish(key(name), OK)
                served.add(name)
            else:
                answers.abandon(key(name))
        assert len(answers.entries) <= max_entries and set(answers.entries) >= {key(n) for n in running}
