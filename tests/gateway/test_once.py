"""The table of keyed answers."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from magpiefront.gateway.once import Answer, Key, Once, Verdict

W = 1_000
OK = Answer(200, b"held", b"")


def key(name: str = "a") -> Key:
    return "report", "t", name


def table(most: int = 10, most_bytes: int = 1_000) -> Once[str]:
    return Once(most, most_bytes)


def test_one_runs_and_the_others_get_its_answer() -> None:
    o = table()
    assert o.begin(0, key(), b"p", W, 0, "first") is Verdict.RUN
    assert o.begin(10, key(), b"p", W, 5, "second") is Verdict.WAIT
    assert o.begin(10, key(), b"other", W, 0, "third") is Verdict.UNLIKE
    assert o.begin(10, key("b"), b"p", W, 0, "fourth") is Verdict.RUN
    assert o.finish(key(), OK) == ["first", "second"]
    assert o.begin(W - 1, key(), b"p", W, W - 1, "late") is Verdict.KNOWN and o.known(key()) == OK
    assert o.begin(W - 1, key(), b"other", W, 0, "late") is Verdict.UNLIKE


def test_the_window_counts_from_the_start_and_a_repeat_past_it_does_not_run() -> None:
    o = table()
    o.begin(0, key(), b"p", W, 0, "first")
    o.finish(key(), OK)
    assert o.begin(W, key(), b"p", W, W, "repeat") is Verdict.FORGOTTEN
    assert o.begin(W, key(), b"p", W, W + 5, "repeat") is Verdict.FORGOTTEN
    assert o.begin(W, key(), b"p", W, 0, "a new request") is Verdict.RUN


def test_a_repeat_of_what_never_came_runs() -> None:
    assert table().begin(500, key(), b"p", W, 400, "repeat") is Verdict.RUN


def test_what_failed_is_an_ordinary_arrival_again() -> None:
    o = table()
    o.begin(0, key(), b"p", W, 0, "first")
    o.begin(0, key(), b"p", W, 0, "second")
    assert o.abandon(key()) == ["first", "second"] and o.abandon(key()) == []
    assert o.begin(10, key(), b"p", W, 10, "repeat") is Verdict.RUN


def test_those_who_leave_are_not_answered_and_it_runs_on() -> None:
    o = table()
    o.begin(0, key(), b"p", W, 0, "first")
    o.leave(key(), "first")
    o.leave(key(), "first")
    o.leave(key("b"), "first")
    assert o.begin(5, key(), b"p", W, 5, "second") is Verdict.WAIT
    assert o.finish(key(), OK) == ["second"]


def test_a_full_table_drops_the_oldest_answer_and_remembers_that_it_did() -> None:
    o = table(most=2)
    o.begin(100, key("a"), b"p", W, 0, "x")
    o.finish(key("a"), OK)
    o.begin(200, key("b"), b"p", W, 0, "x")
    assert o.begin(300, key("c"), b"p", W, 0, "x") is Verdict.RUN  # a goes, b runs and stays
    assert o.begin(310, key("d"), b"p", W, 0, "x") is Verdict.FULL  # nothing that has ended is left
    assert o.begin(400, key("a"), b"p", W, 300, "x") is Verdict.FORGOTTEN  # sent at 100: it may have run
    o.abandon(key("c"))
    assert o.begin(400, key("e"), b"p", W, 250, "x") is Verdict.RUN  # sent at 150: it would be known


def test_bytes_are_bounded() -> None:
    o = table(most_bytes=100)
    for i in range(20):
        o.begin(i, key(str(i)), b"p", W, 0, "x")
        o.finish(key(str(i)), Answer(200, b"x" * 30, b""))
        assert o.bytes <= 100 and o.bytes == sum(e.size for e in o.entries.values())
    assert len(o.entries) == 3


@given(
    st.lists(
        st.tuples(
            st.integers(0, 200), st.sampled_from("abc"), st.sampled_from(["send", "finish", "abandon"])
        ),
        max_size=60,
    ),
    st.integers(1, 3),
)
def test_nothing_runs_twice_within_its_window(steps: list[tuple[int, str, str]], most: int) -> None:
    """Senders repeat with the true age of their first send; one that ran and was confirmed runs no more."""
    o, now = table(most=most), 0
    first: dict[str, int] = {}
    served: set[str] = set()
    running: set[str] = set()
    for wait, name, what in steps:
        now += wait
        if what == "send":
            age = now - first.setdefault(name, now)
            verdict = o.begin(now, key(name), b"p", W, age, "x")
            if verdict is Verdict.RUN:
                assert name not in served and name not in running
                running.add(name)
            assert (verdict is Verdict.WAIT) == (name in running and verdict is not Verdict.RUN)
        elif name in running:
            running.remove(name)
            if what == "finish":
                o.finish(key(name), OK)
                served.add(name)
            else:
                o.abandon(key(name))
        assert len(o.entries) <= most and set(o.entries) >= {key(n) for n in running}
