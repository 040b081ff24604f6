"""The cache stage over a fake clock: what is served, sent on, shared and kept, and who is answered when."""

from __future__ import annotations

import pytest

from magpiefront.caching.settings import CachingSettings, Policy
from magpiefront.interface import Repeat, RequestClass
from tests.caching.house import CLASSES, World

CC = "Cache-Control"


def test_an_answer_is_kept_and_served_with_its_age() -> None:
    w = World()
    first = w.fill("max-age=60")
    assert first.status == 200 and first.cache == "lineshift;fwd=uri-miss;stored"
    w.house.pass_s(10.2)
    second = w.get()
    assert second.status == 200 and second.body == b"level 3.2"
    assert second.h[b"age"] == b"11"  # rounded up
    assert second.cache == "lineshift;hit;ttl=49"
    assert len(w.behind.all) == 1


def test_fields_go_on_in_both_directions_and_hop_by_hop_ones_do_not() -> None:
    w = World()
    got = w.get(
        "/api/k1", ("Accept", "text/plain"), ("X-Note", "a"), ("X-Note", "b"),
        ("Connection", "x-secret, cookie"),
        ("X-Secret", "s"), ("TE", "trailers"), ("X-Forwarded-Host", "evil"), ("Req-Owner", "o"),
    )  # fmt: skip
    sent = w.behind.open[0].more
    assert sent == b"Accept: text/plain\r\nX-Note: a\r\nX-Note: b\r\nVia: 1.1 lineshift\r\n"
    w.say(200, b"x", ("Set-Cookie", "a=1"), ("Set-Cookie", "b=2"), ("Via", "1.0 old"))
    lines = got.more.split(b"\r\n")
    assert [x for x in lines if x.startswith(b"Set-Cookie")] == [b"Set-Cookie: a=1", b"Set-Cookie: b=2"]
    assert [x for x in lines if x.startswith(b"Via")] == [b"Via: 1.0 old", b"Via: 1.1 lineshift"]
    assert got.cache == "lineshift;fwd=uri-miss"  # cookies: not kept


def test_a_date_is_added_where_it_lacks() -> None:
    w = World()
    got = w.get()
    w.say(200, b"x", date=False)
    assert got.h[b"date"] == b"Fri, 15 Jan 2027 08:00:00 GMT"


def test_what_is_stale_is_validated_and_a_304_freshens_it() -> None:
    w = World()
    w.fill("max-age=5", ("ETag", '"v1"'), ("X-Old", "1"), ("X-Both", "old"))
    w.house.pass_s(6)
    got = w.get("/api/k1", ("If-None-Match", '"mine"'))
    assert b'If-None-Match: "v1"\r\n' in w.behind.open[0].more
    assert b'"mine"' not in w.behind.open[0].more
    w.say(304, b"", ("ETag", '"v1"'), ("X-Both", "new"), (CC, "max-age=9"), ("Content-Type", "no/thing"))
    assert got.status == 200 and got.body == b"level 3.2"
    assert got.h[b"x-old"] == b"1" and got.h[b"x-both"] == b"new" and b"content-type" not in got.h
    assert got.cache == "lineshift;fwd=stale;fwd-status=304;stored"
    w.house.pass_s(8)
    assert w.get().cache == "lineshift;hit;ttl=1"
    assert len(w.behind.all) == 2


def test_a_304_that_names_another_answer_is_not_believed() -> None:
    w = World()
    w.fill("max-age=5", ("ETag", '"v1"'))
    w.house.pass_s(6)
    got = w.get()
    w.say(304, b"", ("ETag", '"v9"'))
    assert got.answers == 0
    assert b"If-None-Match" not in w.behind.open[0].more  # the whole answer is asked for
    w.say(200, b"level 4", (CC, "max-age=5"))
    assert got.body == b"level 4" and got.cache == "lineshift;fwd=stale;stored"


def test_a_new_answer_to_a_validation_replaces_the_old_one() -> None:
    w = World()
    w.fill("max-age=5", ("ETag", '"v1"'))
    w.house.pass_s(6)
    got = w.get()
    w.say(200, b"level 4", ("ETag", '"v2"'), (CC, "max-age=5"))
    assert got.body == b"level 4"
    assert w.get().body == b"level 4" and len(w.behind.all) == 2


def test_a_client_that_has_it_is_told_so() -> None:
    w = World()
    w.fill("max-age=60", ("ETag", 'W/"v1"'), ("Content-Type", "text/plain"))
    got = w.get("/api/k1", ("If-None-Match", '"v0", "v1"'))
    assert got.status == 304 and got.body == b"" and got.h[b"etag"] == b'W/"v1"'
    assert b"content-type" not in got.h and b"age" in got.h
    assert w.get("/api/k1", ("If-None-Match", '"v0"')).status == 200


def test_a_miss_of_a_conditional_request_fetches_the_whole() -> None:
    w = World()
    got = w.get("/api/k1", ("If-None-Match", '"v1"'))
    assert b"If-None-Match" not in w.behind.open[0].more
    w.say(200, b"level 3.2", (CC, "max-age=60"), ("ETag", '"v1"'))
    assert got.status == 304 and w.get().body == b"level 3.2"


def test_ranges_are_cut_from_what_is_whole() -> None:
    w = World()
    miss = w.get("/api/k1", ("Range", "bytes=0-1"))
    assert b"Range: bytes=0-1" in w.behind.open[0].more
    w.say(206, b"le", ("Content-Range", "bytes 0-1/9"), (CC, "max-age=60"))
    assert miss.status == 206 and miss.cache == "lineshift;fwd=uri-miss"
    w.fill("max-age=60", ("ETag", '"v1"'))
    assert len(w.behind.all) == 2  # the part was not kept
    got = w.get("/api/k1", ("Range", "bytes=6-"))
    assert (got.status, got.body, got.h[b"content-range"]) == (206, b"3.2", b"bytes 6-8/9")
    got = w.get("/api/k1", ("Range", "bytes=50-"))
    assert (got.status, got.h[b"content-range"]) == (416, b"bytes */9")
    assert w.get("/api/k1", ("Range", "bytes=6-"), ("If-Range", '"v2"')).status == 200
    assert w.get("/api/k1", ("Range", "bytes=6-"), ("If-Range", '"v1"')).status == 206


def test_only_if_cached_never_goes_on() -> None:
    w = World()
    got = w.get("/api/k1", (CC, "only-if-cached"))
    assert got.status == 504 and not w.behind.all
    w.fill("max-age=60")
    assert w.get("/api/k1", (CC, "only-if-cached")).status == 200


@pytest.mark.parametrize("kind", ["field-report", "gauge-reset"])
def test_what_is_not_safe_to_repeat_is_always_sent_on_and_voids_its_gauge(kind: str) -> None:
    w = World()
    w.fill("max-age=60")
    w.fill("max-age=60", target="/api/v2/k1?unit=m")
    w.fill("max-age=60", target="/api/k2")
    method = "PUT" if kind == "field-report" else "GET"
    got = w.get(method=method, kind=kind)
    assert len(w.behind.open) == 1 and got.answers == 0
    w.say(200, b"held")
    assert got.status == 200 and got.body == b"held"
    for target in ("/api/k1", "/api/v2/k1?unit=m"):
        w.get(target)
        assert w.behind.open.pop().target == target.encode()
    assert w.get("/api/k2").cache.startswith("lineshift;hit")


@pytest.mark.parametrize("status", [400, 409, 429, 500, 502, 503, 504])
def test_a_write_that_failed_voids_its_gauge_too(status: int) -> None:
    w = World()
    w.fill("max-age=60")
    w.get(method="PUT", kind="field-report")
    w.say(status, b"")
    w.get()
    assert len(w.behind.open) == 1


def test_a_fill_that_began_before_a_write_is_not_kept() -> None:
    w = World()
    before = w.get()
    w.get(method="PUT", kind="field-report")
    w.say(200, b"held", at=1)
    w.say(200, b"level old", (CC, "max-age=60"))
    assert before.body == b"level old" and before.cache == "lineshift;fwd=uri-miss"
    w.get()
    assert len(w.behind.open) == 1  # what came after the write is asked for anew


def test_a_read_after_a_write_does_not_join_a_fill_from_before() -> None:
    w = World()
    before, also = w.get(), w.get()
    w.get(method="PUT", kind="field-report")
    w.say(200, b"held", at=1)
    after = w.get()
    assert len(w.behind.open) == 2
    w.say(200, b"level old", (CC, "max-age=60"))
    assert before.body == b"level old" and also.answers == 0 and after.answers == 0
    w.say(200, b"level new", (CC, "max-age=60"))
    assert after.body == also.body == b"level new"


def test_a_validation_in_flight_during_a_write_freshens_nothing() -> None:
    w = World()
    w.fill("max-age=5", ("ETag", '"v1"'))
    w.house.pass_s(6)
    reader = w.get()
    w.get(method="PUT", kind="field-report")
    w.say(200, b"held", at=1)
    w.say(304, b"", ("ETag", '"v1"'), (CC, "max-age=60"))
    assert reader.status == 200  # it was asked before the write was answered
    assert not w.stage.store.peek(b"api /api/k1")


def test_while_a_write_runs_nothing_is_kept_and_reads_go_alone() -> None:
    w = World()
    w.get(method="PUT", kind="field-report")
    one, two = w.get(), w.get()
    assert len(w.behind.open) == 3
    w.say(200, b"maybe old", (CC, "max-age=60"), at=1)
    w.say(200, b"maybe new", (CC, "max-age=60"), at=1)
    assert one.body == b"maybe old" and two.body == b"maybe new"
    w.say(200, b"held")
    assert not w.stage.store.peek(b"api /api/k1")


@pytest.mark.parametrize("how", [502, 504, "left"])
def test_after_an_unknown_outcome_nothing_is_kept_for_a_while(how: int | str) -> None:
    w = World(unsure_for_us=2_000_000)
    r, _ = w.send(method="PUT", kind="field-report")
    if how == "left":
        w.stage.client_left(r)
        assert w.behind.left
    else:
        assert isinstance(how, int)
        w.say(how, b"")
    assert w.fill("max-age=60").cache == "lineshift;fwd=uri-miss"
    w.house.pass_s(1.9)
    assert w.fill("max-age=60").cache == "lineshift;fwd=uri-miss"
    w.house.pass_s(0.2)
    assert w.fill("max-age=60").cache == "lineshift;fwd=uri-miss;stored"


def test_a_write_voids_what_its_answer_names_at_the_same_origin_only() -> None:
    w = World()
    for target in ("/api/k7", "/api/k8", "/api/k9"):
        w.fill("max-age=60", target=target)
    w.get("/api/k1", method="PUT", kind="field-report")
    w.say(201, b"", ("Location", "/api/k7"), ("Content-Location", "http://other/api/k8"))
    w.get("/api/k7")
    assert len(w.behind.open) == 1
    assert w.get("/api/k8").cache.startswith("lineshift;hit")


def test_a_stampede_costs_one_fetch() -> None:
    w = World()
    w.fill("max-age=5")
    w.house.pass_s(6)
    clients = [w.get() for _ in range(500)]
    assert len(w.behind.open) == 1
    w.say(200, b"level 4", (CC, "max-age=5"))
    assert all(c.body == b"level 4" for c in clients)
    assert clients[7].cache == "lineshift;fwd=stale;stored;collapsed"
    assert clients[7].h[b"age"] == b"0"


def test_a_stalled_fill_keeps_nobody_past_its_deadline() -> None:
    w = World()
    leader = w.get(left_s=3)
    short, long = w.get(left_s=0.5), w.get(left_s=2)
    w.house.pass_s(0.51)
    assert short.status == 504 and leader.answers == long.answers == 0
    w.house.pass_s(1.6)
    assert long.status == 504 and leader.answers == 0
    assert not w.behind.left  # the leader still waits
    w.say(200, b"late", (CC, "max-age=60"))
    assert leader.body == b"late"


def test_a_fill_that_fails_lets_the_others_go_on() -> None:
    w = World()
    clients = [w.get() for _ in range(5)]
    w.say(502, b"")
    assert clients[0].status == 502 and len(w.behind.open) == 1  # the next one leads
    w.say(502, b"")
    assert clients[1].status == 502 and len(w.behind.open) == 3  # twice is enough: each by itself
    for _ in range(3):
        w.say(200, b"level 3", (CC, "max-age=60"))
    assert [c.status for c in clients[2:]] == [200] * 3


def test_a_refusal_is_for_the_one_that_was_refused() -> None:
    w = World()
    clients = [w.get() for _ in range(3)]
    w.behind.open[0].replies.answer(w.behind.open.pop(0), 503, (), b"Retry-After: 0.500\r\n")
    assert clients[0].status == 503 and clients[0].h[b"retry-after"] == b"0.500"
    assert clients[0].cache == "lineshift;fwd=uri-miss;detail=refused"
    assert len(w.behind.open) == 2


@pytest.mark.parametrize("cc", ["private, max-age=60", "no-store", "max-age=0", "no-cache"])
def test_what_can_not_be_shared_lets_the_others_go_alone_and_is_remembered(cc: str) -> None:
    w = World(pass_for_us=2_000_000)
    clients = [w.get() for _ in range(4)]
    assert len(w.behind.open) == 1
    w.say(200, b"for one", (CC, cc), ("ETag", '"v1"'))
    assert clients[0].body == b"for one" and len(w.behind.open) == 3
    for n in range(3):
        w.say(200, b"for %d" % n, (CC, cc))
    assert [c.body for c in clients[1:]] == [b"for 0", b"for 1", b"for 2"]
    for _ in range(2):
        w.get()
    assert len(w.behind.open) == 2  # no queue behind each other
    w.behind.open.clear()
    w.house.pass_s(2.1)
    for _ in range(2):
        w.get()
    assert len(w.behind.open) == 1


@pytest.mark.parametrize(
    "field", [("Authorization", "Basic a"), ("Cookie", "a=1"), (CC, "no-cache"), (CC, "no-store")]
)
def test_who_asks_for_himself_waits_for_nobody(field: tuple[str, str]) -> None:
    w = World()
    w.get("/api/k1", field)
    w.get("/api/k1", field)
    w.get("/api/k1")
    assert len(w.behind.open) == 3


def test_nothing_of_one_member_is_served_to_another() -> None:
    w = World()
    for field in (("Authorization", "Basic a"), ("Cookie", "id=a")):
        w.get("/api/k1", field)
        w.say(200, b"for a", (CC, "max-age=60"))
        other = w.get("/api/k1", (field[0], "b"))
        assert other.answers == 0
        w.say(200, b"for b", (CC, "max-age=60"))
        assert other.body == b"for b"
    w.get("/api/k1", ("Authorization", "Basic a"))
    w.say(200, b"for all", (CC, "public, max-age=60"))
    assert w.get().body == b"for all"


def test_variants_are_kept_side_by_side() -> None:
    w = World()
    for language in ("mn", "en"):
        got = w.get("/api/k1", ("Accept-Language", language))
        w.say(200, language.encode(), (CC, "max-age=60"), ("Vary", "Accept-Language"))
        assert got.body == language.encode()
    assert w.get("/api/k1", ("Accept-Language", "MN")).body == b"mn"
    assert w.get("/api/k1", ("Accept-Language", "en")).body == b"en"
    assert w.get("/api/k1", ("Accept-Language", "de")).answers == 0
    assert len(w.behind.all) == 3
    w.say(200, b"de", (CC, "max-age=60"), ("Vary", "Accept-Language"))


def test_those_who_wait_get_their_own_variant() -> None:
    w = World()
    mn, en, en2 = (w.get("/api/k1", ("Accept-Language", x)) for x in ("mn", "en", "en"))
    assert len(w.behind.open) == 1
    w.say(200, b"mn", (CC, "max-age=60"), ("Vary", "Accept-Language"))
    assert mn.body == b"mn" and en.answers == 0 and len(w.behind.open) == 1
    w.say(200, b"en", (CC, "max-age=60"), ("Vary", "Accept-Language"))
    assert en.body == en2.body == b"en"


def test_a_vary_that_changes_and_one_that_nothing_matches() -> None:
    w = World()
    w.get("/api/k1", ("Accept-Language", "mn"))
    w.say(200, b"one", (CC, "max-age=5"), ("Vary", "Accept-Language"))
    w.house.pass_s(6)
    w.get("/api/k1", ("Accept-Language", "mn"), ("X-Unit", "m"))
    w.say(200, b"two", (CC, "max-age=60"), ("Vary", "X-Unit"))
    assert w.get("/api/k1", ("X-Unit", "m")).body == b"two"
    assert w.get("/api/k1", ("X-Unit", "ft")).answers == 0
    w.say(200, b"three", (CC, "max-age=60"), ("Vary", "*"))
    assert w.get("/api/k1", ("X-Unit", "ft")).answers == 0


def test_a_validator_that_the_archive_uses_for_two_bodies() -> None:
    """Only the variant that was asked for is freshened; the other keeps its own body and its staleness."""
    w = World()
    for language in ("mn", "en"):
        w.get("/api/k1", ("Accept-Language", language))
        w.say(200, language.encode(), (CC, "max-age=5"), ("Vary", "Accept-Language"), ("ETag", '"same"'))
    w.house.pass_s(6)
    got = w.get("/api/k1", ("Accept-Language", "mn"))
    w.say(304, b"", ("ETag", '"same"'), (CC, "max-age=60"), ("Vary", "Accept-Language"))
    assert got.body == b"mn"
    assert w.get("/api/k1", ("Accept-Language", "en")).answers == 0
    assert w.get("/api/k1", ("Accept-Language", "de")).answers == 0
    assert b"If-None-Match" not in w.behind.open[-1].more  # a miss is no validation of another's answer


def test_stale_while_revalidate() -> None:
    w = World()
    w.fill("max-age=5, stale-while-revalidate=10", ("ETag", '"v1"'))
    w.house.pass_s(6)
    got = w.get()
    assert got.body == b"level 3.2" and got.cache == "lineshift;hit;ttl=-1;detail=stale"
    assert w.get().answers == 1 and len(w.behind.open) == 1  # one refresh for all
    assert w.behind.open[0].wire_id != b"id2"  # a request of its own
    w.say(304, b"", ("ETag", '"v1"'), (CC, "max-age=5, stale-while-revalidate=10"))
    assert w.get().cache == "lineshift;hit;ttl=5"
    w.house.pass_s(16)
    assert w.get().answers == 0  # past the window it must wait


def test_stale_if_error_and_its_window() -> None:
    w = World()
    w.fill("max-age=5, stale-if-error=10", ("ETag", '"v1"'))
    w.house.pass_s(8)
    got = w.get()
    w.say(502, b"")
    assert got.status == 200 and got.cache == "lineshift;hit;ttl=-3;detail=error"
    w.house.pass_s(8)
    got = w.get()
    w.say(502, b"")
    assert got.status == 502


@pytest.mark.parametrize(
    ("cc", "status"), [("max-age=5", 200), ("max-age=5, must-revalidate", 503), ("s-maxage=5", 503)]
)
def test_a_refused_request_gets_a_stale_answer_where_that_is_allowed(cc: str, status: int) -> None:
    w = World(CachingSettings(policy=Policy(stale_if_refused_s=30)))
    w.fill(cc, ("ETag", '"v1"'))
    w.house.pass_s(8)
    got = w.get()
    w.behind.open[0].replies.answer(w.behind.open.pop(0), 503, (), b"Retry-After: 0.500\r\n")
    assert got.status == status
    if status == 200:
        assert got.cache == "lineshift;hit;ttl=-3;detail=refused"


def test_without_the_operators_word_a_refusal_is_a_refusal() -> None:
    w = World()
    w.fill("max-age=5", ("ETag", '"v1"'))
    w.house.pass_s(8)
    got = w.get()
    w.behind.open[0].replies.answer(w.behind.open.pop(0), 503)
    assert got.status == 503


def test_a_long_answer_reaches_its_client_as_it_comes_and_is_kept() -> None:
    w = World()
    leader, other = w.get(), w.get()
    r = w.behind.open.pop()
    r.replies.begin(r, 6, b"Cache-Control: max-age=60\r\n")
    r.replies.go(r, b"abc")
    assert leader.body == b"abc" and other.answers == 0
    r.replies.go(r, b"def")
    r.replies.end(r)
    assert leader.ended == "end" and other.body == b"abcdef"
    assert w.get().body == b"abcdef"


def test_an_answer_cut_short_is_never_kept_nor_served_as_whole() -> None:
    w = World()
    leader, other = w.get(), w.get()
    r = w.behind.open.pop()
    r.replies.begin(r, 6, b"Cache-Control: max-age=60\r\n")
    r.replies.go(r, b"abc")
    r.replies.cut(r)
    assert leader.ended == "cut" and other.answers == 0
    assert len(w.behind.open) == 1  # the other goes on by itself
    w.say(200, b"whole", (CC, "max-age=60"))
    assert other.body == b"whole" and not w.stage.store.held


def test_an_answer_too_long_to_keep_lets_the_others_go() -> None:
    w = World(most_object=1000, most_bytes=1 << 20)
    leader, other = w.get(), w.get()
    r = w.behind.open.pop()
    r.replies.begin(r, None, b"Cache-Control: max-age=60\r\n")
    r.replies.go(r, b"x" * 900)
    assert not w.behind.open and w.stage.store.held == 900
    r.replies.go(r, b"x" * 900)
    assert len(w.behind.open) == 1 and w.stage.store.held == 0
    r.replies.go(r, b"x" * 900)
    r.replies.end(r)
    assert len(leader.body) == 2700 and leader.ended == "end" and not w.stage.store.peek(b"api /api/k1")
    assert other.answers == 0


def test_a_slow_reader_holds_back_only_what_is_not_kept() -> None:
    w = World(most_object=1000, most_bytes=1 << 20)
    r, _ = w.send()
    twin = w.behind.open.pop()
    twin.replies.begin(twin, None, b"Cache-Control: max-age=60\r\n")
    w.stage.hold_back(r)
    assert not w.behind.held  # bounded, and others may wait for it
    twin.replies.go(twin, b"x" * 1100)
    assert w.behind.held == [twin]
    w.stage.let_go(r)
    assert not w.behind.held


def test_a_client_that_leaves_ends_what_only_he_waits_for() -> None:
    w = World()
    one, _ = w.send()
    two, got = w.send()
    w.stage.client_left(one)
    assert not w.behind.left
    w.stage.client_left(two)
    assert len(w.behind.left) == 1 and got.answers == 0
    assert not w.stage.by_twin and not w.stage.waits and not w.stage.spots and not w.stage.by_gauge


def test_head_is_answered_from_what_get_has_kept() -> None:
    w = World(plain_servers=True)
    w.fill("max-age=60")
    assert w.get(method="HEAD").body == b"level 3.2"  # the front leaves the body out
    miss = w.get("/api/k2", method="HEAD")
    assert w.behind.open[0].method == b"HEAD"
    w.say(200, b"", ("Content-Length", "9"), (CC, "max-age=60"))
    assert miss.h[b"content-length"] == b"9" and not w.stage.store.peek(b"api /api/k2")


def test_an_answer_to_head_that_does_not_fit_voids_what_is_kept() -> None:
    w = World(plain_servers=True)
    w.fill("max-age=60", ("ETag", '"v1"'))
    w.get("/api/k1", ("Range", "bytes=0-1"), (CC, "no-cache"), method="HEAD")
    assert w.behind.open[0].method == b"HEAD"
    w.say(200, b"", ("Content-Length", "10"), ("ETag", '"v1"'))
    assert not w.stage.store.peek(b"api /api/k1")


@pytest.mark.parametrize("leap", [3600.0, -3600.0])
def test_a_clock_that_leaps_serves_nothing_old(leap: float) -> None:
    w = World()
    w.fill("max-age=60")
    w.house.pass_s(30)
    w.house.wall_s += leap
    assert w.get().h[b"age"] == b"30"  # the age of what is kept does not follow it
    w.house.pass_s(31)
    got = w.get()
    assert got.answers == 0  # and no leap back makes it fresh again
    right = w.house.wall_s - leap
    from magpiefront.caching.dates import render

    w.say(200, b"level 4", (CC, "max-age=60"), ("Date", render(int(right)).decode()))
    assert got.body == b"level 4"
    again = w.get()
    if leap > 0:
        assert again.answers == 0  # it looks an hour old: asked for again, never too old
    else:
        assert again.body == b"level 4"


def test_keys_are_as_spelt_and_hosts_apart() -> None:
    w = World()
    w.fill("max-age=60", target="/api/k1")
    for target in ("//api/k1", "/api//k1", "/api/%6b1", "/api/k1?"):
        assert w.get(target).answers == 0
    assert w.get("/api/k1", host="other").answers == 0
    assert w.get("/api/k1", host="API").answers == 1


def test_a_stored_answer_has_no_field_of_one_connection() -> None:
    w = World()
    fields = {"Connection": "close", "Keep-Alive": "5", "Proxy-Authenticate": "Basic", "TE": "x",
              "tRaNsFeR-eNcOdInG": "chunked", "Upgrade": "h2c"}  # fmt: skip
    w.fill("max-age=60", *fields.items())
    head = w.stage.store.peek(b"api /api/k1")[0].head.lower()
    for name in (b"connection:", b"transfer-encoding:", b"keep-alive:", b"proxy-auth", b"te:", b"upgrade:"):
        assert b"\r\n" + name not in b"\r\n" + head


def test_fields_that_are_private_or_need_validation_are_left_out() -> None:
    w = World()
    got = w.fill('max-age=60, private="X-Who", no-cache="Set-Cookie"', ("X-Who", "a"), ("Set-Cookie", "a=1"))
    assert got.h[b"x-who"] == b"a" and got.h[b"set-cookie"] == b"a=1"
    again = w.get()
    assert again.status == 200 and b"x-who" not in again.h and b"set-cookie" not in again.h


def test_a_purge_voids_a_gauge_or_all() -> None:
    w = World()
    w.fill("max-age=60")
    w.fill("max-age=60", target="/api/k2")
    assert w.get(method="PURGE").body == b"purged 1\n"
    w.get()
    assert len(w.behind.open) == 1
    w.behind.open.clear()
    assert w.get("/*", method="PURGE").body == b"purged 1\n"
    assert len(w.stage.store) == 0


def test_classes_that_the_operator_did_not_name_pass_by() -> None:
    w = World(classes=frozenset({"another"}))
    assert w.fill("max-age=60").cache == "lineshift;fwd=bypass"
    assert w.get().answers == 0


def test_settings_that_shrink_the_store_take_hold() -> None:
    w = World(most_bytes=1 << 20, most_object=1 << 10)
    for n in range(100):
        w.fill("max-age=60", target=f"/api/k{n}")
    w.stage.configure(CachingSettings(most_bytes=64 << 10))
    assert w.stage.store.size <= 64 << 10


def test_a_class_that_is_not_named_is_not_answered_from_what_another_left() -> None:
    w = World(classes=frozenset({"level-read"}))
    w.fill("max-age=60")
    w.house.classes = {**CLASSES, b"other-read": RequestClass("other-read", Repeat.SAFE, 1, 1)}
    got = w.get(kind="other-read")
    assert got.answers == 0
    w.say(200, b"its own", (CC, "max-age=60"))
    assert got.cache == "lineshift;fwd=bypass" and w.get().body == b"level 3.2"


@pytest.mark.parametrize("end", ["end", "cut", "left"])
def test_a_write_with_a_long_answer_is_known_by_its_head(end: str) -> None:
    w = World()
    r, got = w.send(method="PUT", kind="field-report")
    twin = w.behind.open.pop()
    twin.replies.begin(twin, None, b"X-A: 1\r\n", 201)
    assert got.status == 201 and got.h[b"x-a"] == b"1"
    twin.replies.go(twin, b"held")
    w.stage.hold_back(r)
    w.stage.let_go(r)
    if end == "left":
        w.stage.client_left(r)
        assert w.behind.left == [twin]
        twin.replies.go(twin, b"more")
    else:
        getattr(twin.replies, end)(twin)
        assert got.ended == end
    assert got.body == b"held" and not w.stage.fences.open
    assert not (w.stage.writes.twins or w.stage.writes.clients or w.stage.writes.known)
    assert w.fill("max-age=60").cache.endswith(";stored")


def test_a_new_answer_that_is_too_long_does_not_leave_the_old_one() -> None:
    w = World(most_object=1000, most_bytes=1 << 20)
    w.fill("max-age=5, stale-if-error=600", ("ETag", '"1"'))
    w.house.pass_s(6)
    w.get()
    twin = w.behind.open.pop()
    twin.replies.begin(twin, 5_000, b"Cache-Control: max-age=60\r\n")
    twin.replies.go(twin, b"x" * 5_000)
    twin.replies.end(twin)
    got = w.get()
    w.say(503, b"")
    assert got.status == 503  # the old one is no answer any more


def test_a_leader_that_leaves_in_the_middle_leaves_the_rest_to_those_who_wait() -> None:
    w = World()
    r, leader = w.send()
    other = w.get()
    twin = w.behind.open.pop()
    twin.replies.begin(twin, 6, b"Cache-Control: max-age=60\r\n")
    twin.replies.go(twin, b"abc")
    w.stage.hold_back(r)
    w.stage.client_left(r)
    assert not w.behind.left
    twin.replies.go(twin, b"def")
    twin.replies.end(twin)
    assert leader.body == b"abc" and leader.ended == "" and other.body == b"abcdef"


def test_a_refresh_that_fails_is_nobodys_loss_and_may_come_again() -> None:
    w = World()
    w.fill("max-age=5, stale-while-revalidate=60", ("ETag", '"1"'))
    w.house.pass_s(6)
    for _ in range(3):
        assert w.get().status == 200
        w.say(503, b"")
    assert w.stage.refreshes == 0 and not w.stage.by_twin


def test_what_is_on_its_way_behind_is_bounded_for_refreshes() -> None:
    w = World()
    for n in range(70):
        w.fill("max-age=5, stale-while-revalidate=60", ("ETag", '"1"'), target=f"/api/k{n}")
    w.house.pass_s(6)
    for n in range(70):
        assert w.get(f"/api/k{n}").status == 200
    assert len(w.behind.open) == 64 == w.stage.refreshes


def test_those_who_wait_for_a_validation_go_on_where_its_answer_may_not_be_shared() -> None:
    w = World()
    w.fill("max-age=5", ("ETag", '"1"'))
    w.house.pass_s(6)
    clients = [w.get() for _ in range(3)]
    assert len(w.behind.open) == 1
    w.say(304, b"", ("ETag", '"1"'), (CC, "max-age=0"))
    assert clients[0].body == b"level 3.2" and clients[1].answers == clients[2].answers == 0
    assert len(w.behind.open) == 2  # each by itself, and each validates
    for c in clients[1:]:
        w.say(304, b"", ("ETag", '"1"'), (CC, "max-age=60"))
        assert c.cache == "lineshift;fwd=stale;fwd-status=304;stored"


def test_those_who_wait_for_a_validation_share_its_answer() -> None:
    w = World()
    w.fill("max-age=5", ("ETag", '"1"'))
    w.house.pass_s(6)
    clients = [w.get() for _ in range(3)]
    w.say(304, b"", ("ETag", '"1"'), (CC, "max-age=60"))
    assert [c.body for c in clients] == [b"level 3.2"] * 3 and len(w.behind.all) == 2
    assert clients[2].cache == "lineshift;fwd=stale;fwd-status=304;stored;collapsed"


def test_an_answer_that_a_304_did_not_mean_is_gone_even_if_nothing_new_is_kept() -> None:
    w = World()
    w.fill("max-age=5, stale-if-error=600", ("ETag", '"1"'))
    w.house.pass_s(6)
    w.get()
    w.say(304, b"", ("ETag", '"2"'))
    w.say(200, b"new", (CC, "no-store"))
    assert not w.stage.store.peek(b"api /api/k1")


def test_a_slow_reader_of_what_is_not_kept_holds_it_back() -> None:
    w = World()
    r, _ = w.send()
    twin = w.behind.open.pop()
    twin.replies.begin(twin, None, b"Cache-Control: no-store\r\n")
    w.stage.hold_back(r)
    assert w.behind.held == [twin]
    w.stage.let_go(r)
    assert not w.behind.held


def test_too_many_requests_is_no_new_answer() -> None:
    w = World(plain_servers=True)
    w.fill("max-age=5, stale-if-error=600", ("ETag", '"1"'))
    w.house.pass_s(6)
    got = w.get()
    w.say(429, b"slow down")
    assert got.status == 429
    got = w.get()
    w.say(503, b"")
    assert got.status == 200  # what was kept is still the last that is known
