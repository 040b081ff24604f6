"""Tests of the cache stage with a fake clock: serving, forwarding, collapsing, storing, invalidation."""

from __future__ import annotations

import pytest

from magpiefront.caching.settings import CachingSettings, Policy
from magpiefront.interface import Repeat, RequestClass
from tests.caching.harness import CLASSES, StageHarness

CC = "Cache-Control"


def test_a_response_is_stored_and_served_with_its_age() -> None:
    w = StageHarness()
    first = w.fill("max-age=60")
    assert first.status == 200 and first.cache_status == "lineshift;fwd=uri-miss;stored"
    w.runtime.advance(10.2)
    second = w.get()
    assert second.status == 200 and second.body == b"level 3.2"
    assert second.headers[b"age"] == b"11"  # rounded up
    assert second.cache_status == "lineshift;hit;ttl=49"
    assert len(w.upstream.all) == 1


def test_only_end_to_end_fields_are_forwarded_in_both_directions() -> None:
    w = StageHarness()
    got = w.get(
        "/api/k1", ("Accept", "text/plain"), ("X-Note", "a"), ("X-Note", "b"),
        ("Connection", "x-secret, cookie"),
        ("X-Secret", "s"), ("TE", "trailers"), ("X-Forwarded-Host", "evil"), ("Req-Owner", "o"),
    )  # fmt: skip
    sent = w.upstream.open[0].extra_fields
    assert sent == b"Accept: text/plain\r\nX-Note: a\r\nX-Note: b\r\nVia: 1.1 lineshift\r\n"
    w.respond(200, b"x", ("Set-Cookie", "a=1"), ("Set-Cookie", "b=2"), ("Via", "1.0 old"))
    lines = got.more.split(b"\r\n")
    assert [x for x in lines if x.startswith(b"Set-Cookie")] == [b"Set-Cookie: a=1", b"Set-Cookie: b=2"]
    assert [x for x in lines if x.startswith(b"Via")] == [b"Via: 1.0 old", b"Via: 1.1 lineshift"]
    assert got.cache_status == "lineshift;fwd=uri-miss"  # not stored, because of the cookies


def test_a_missing_date_is_added() -> None:
    w = StageHarness()
    got = w.get()
    w.respond(200, b"x", date=False)
    assert got.headers[b"date"] == b"Fri, 15 Jan 2027 08:00:00 GMT"


def test_a_stale_response_is_validated_and_freshened_by_a_304() -> None:
    w = StageHarness()
    w.fill("max-age=5", ("ETag", '"v1"'), ("X-Old", "1"), ("X-Both", "old"))
    w.runtime.advance(6)
    got = w.get("/api/k1", ("If-None-Match", '"mine"'))
    assert b'If-None-Match: "v1"\r\n' in w.upstream.open[0].extra_fields
    assert b'"mine"' not in w.upstream.open[0].extra_fields
    w.respond(304, b"", ("ETag", '"v1"'), ("X-Both", "new"), (CC, "max-age=9"), ("Content-Type", "no/thing"))
    assert got.status == 200 and got.body == b"level 3.2"
    assert (
        got.headers[b"x-old"] == b"1"
        and got.headers[b"x-both"] == b"new"
        and b"content-type" not in got.headers
    )
    assert got.cache_status == "lineshift;fwd=stale;fwd-status=304;stored"
    w.runtime.advance(8)
    assert w.get().cache_status == "lineshift;hit;ttl=1"
    assert len(w.upstream.all) == 2


def test_a_304_with_another_etag_is_not_used() -> None:
    w = StageHarness()
    w.fill("max-age=5", ("ETag", '"v1"'))
    w.runtime.advance(6)
    got = w.get()
    w.respond(304, b"", ("ETag", '"v9"'))
    assert got.answers == 0
    assert b"If-None-Match" not in w.upstream.open[0].extra_fields  # a complete response is requested
    w.respond(200, b"level 4", (CC, "max-age=5"))
    assert got.body == b"level 4" and got.cache_status == "lineshift;fwd=stale;stored"


def test_a_200_to_a_validation_replaces_the_stored_response() -> None:
    w = StageHarness()
    w.fill("max-age=5", ("ETag", '"v1"'))
    w.runtime.advance(6)
    got = w.get()
    w.respond(200, b"level 4", ("ETag", '"v2"'), (CC, "max-age=5"))
    assert got.body == b"level 4"
    assert w.get().body == b"level 4" and len(w.upstream.all) == 2


def test_a_client_with_a_current_copy_gets_304() -> None:
    w = StageHarness()
    w.fill("max-age=60", ("ETag", 'W/"v1"'), ("Content-Type", "text/plain"))
    got = w.get("/api/k1", ("If-None-Match", '"v0", "v1"'))
    assert got.status == 304 and got.body == b"" and got.headers[b"etag"] == b'W/"v1"'
    assert b"content-type" not in got.headers and b"age" in got.headers
    assert w.get("/api/k1", ("If-None-Match", '"v0"')).status == 200


def test_a_conditional_request_that_misses_fetches_a_complete_response() -> None:
    w = StageHarness()
    got = w.get("/api/k1", ("If-None-Match", '"v1"'))
    assert b"If-None-Match" not in w.upstream.open[0].extra_fields
    w.respond(200, b"level 3.2", (CC, "max-age=60"), ("ETag", '"v1"'))
    assert got.status == 304 and w.get().body == b"level 3.2"


def test_ranges_are_served_from_complete_stored_responses() -> None:
    w = StageHarness()
    miss = w.get("/api/k1", ("Range", "bytes=0-1"))
    assert b"Range: bytes=0-1" in w.upstream.open[0].extra_fields
    w.respond(206, b"le", ("Content-Range", "bytes 0-1/9"), (CC, "max-age=60"))
    assert miss.status == 206 and miss.cache_status == "lineshift;fwd=uri-miss"
    w.fill("max-age=60", ("ETag", '"v1"'))
    assert len(w.upstream.all) == 2  # the partial response was not stored
    got = w.get("/api/k1", ("Range", "bytes=6-"))
    assert (got.status, got.body, got.headers[b"content-range"]) == (206, b"3.2", b"bytes 6-8/9")
    got = w.get("/api/k1", ("Range", "bytes=50-"))
    assert (got.status, got.headers[b"content-range"]) == (416, b"bytes */9")
    assert w.get("/api/k1", ("Range", "bytes=6-"), ("If-Range", '"v2"')).status == 200
    assert w.get("/api/k1", ("Range", "bytes=6-"), ("If-Range", '"v1"')).status == 206


def test_only_if_cached_is_never_forwarded() -> None:
    w = StageHarness()
    got = w.get("/api/k1", (CC, "only-if-cached"))
    assert got.status == 504 and not w.upstream.all
    w.fill("max-age=60")
    assert w.get("/api/k1", (CC, "only-if-cached")).status == 200


@pytest.mark.parametrize("kind", ["field-report", "gauge-reset"])
def test_unsafe_requests_are_forwarded_and_invalidate_their_gauge(kind: str) -> None:
    w = StageHarness()
    w.fill("max-age=60")
    w.fill("max-age=60", target="/api/v2/k1?unit=m")
    w.fill("max-age=60", target="/api/k2")
    method = "PUT" if kind == "field-report" else "GET"
    got = w.get(method=method, kind=kind)
    assert len(w.upstream.open) == 1 and got.answers == 0
    w.respond(200, b"held")
    assert got.status == 200 and got.body == b"held"
    for target in ("/api/k1", "/api/v2/k1?unit=m"):
        w.get(target)
        assert w.upstream.open.pop().target == target.encode()
    assert w.get("/api/k2").cache_status.startswith("lineshift;hit")


@pytest.mark.parametrize("status", [400, 409, 429, 500, 502, 503, 504])
def test_a_failed_write_invalidates_its_gauge_too(status: int) -> None:
    w = StageHarness()
    w.fill("max-age=60")
    w.get(method="PUT", kind="field-report")
    w.respond(status, b"")
    w.get()
    assert len(w.upstream.open) == 1


def test_a_fetch_that_began_before_a_write_is_not_stored() -> None:
    w = StageHarness()
    before = w.get()
    w.get(method="PUT", kind="field-report")
    w.respond(200, b"held", index=1)
    w.respond(200, b"level old", (CC, "max-age=60"))
    assert before.body == b"level old" and before.cache_status == "lineshift;fwd=uri-miss"
    w.get()
    assert len(w.upstream.open) == 1  # a read after the write fetches again


def test_a_read_after_a_write_does_not_join_an_earlier_fetch() -> None:
    w = StageHarness()
    before, also = w.get(), w.get()
    w.get(method="PUT", kind="field-report")
    w.respond(200, b"held", index=1)
    after = w.get()
    assert len(w.upstream.open) == 2
    w.respond(200, b"level old", (CC, "max-age=60"))
    assert before.body == b"level old" and also.answers == 0 and after.answers == 0
    w.respond(200, b"level new", (CC, "max-age=60"))
    assert after.body == also.body == b"level new"


def test_a_validation_in_flight_during_a_write_freshens_nothing() -> None:
    w = StageHarness()
    w.fill("max-age=5", ("ETag", '"v1"'))
    w.runtime.advance(6)
    reader = w.get()
    w.get(method="PUT", kind="field-report")
    w.respond(200, b"held", index=1)
    w.respond(304, b"", ("ETag", '"v1"'), (CC, "max-age=60"))
    assert reader.status == 200  # it was sent before the write was answered
    assert not w.stage.store.peek(b"api /api/k1")


def test_during_a_write_nothing_is_stored_and_reads_are_not_collapsed() -> None:
    w = StageHarness()
    w.get(method="PUT", kind="field-report")
    one, two = w.get(), w.get()
    assert len(w.upstream.open) == 3
    w.respond(200, b"maybe old", (CC, "max-age=60"), index=1)
    w.respond(200, b"maybe new", (CC, "max-age=60"), index=1)
    assert one.body == b"maybe old" and two.body == b"maybe new"
    w.respond(200, b"held")
    assert not w.stage.store.peek(b"api /api/k1")


@pytest.mark.parametrize("outcome", [502, 504, "left"])
def test_after_an_unknown_outcome_nothing_is_stored_for_a_while(outcome: int | str) -> None:
    w = StageHarness(unknown_outcome_us=2_000_000)
    r, _ = w.send(method="PUT", kind="field-report")
    if outcome == "left":
        w.stage.client_left(r)
        assert w.upstream.abandoned
    else:
        assert isinstance(outcome, int)
        w.respond(outcome, b"")
    assert w.fill("max-age=60").cache_status == "lineshift;fwd=uri-miss"
    w.runtime.advance(1.9)
    assert w.fill("max-age=60").cache_status == "lineshift;fwd=uri-miss"
    w.runtime.advance(0.2)
    assert w.fill("max-age=60").cache_status == "lineshift;fwd=uri-miss;stored"


def test_a_write_invalidates_targets_in_its_answer_of_the_same_origin_only() -> None:
    w = StageHarness()
    for target in ("/api/k7", "/api/k8", "/api/k9"):
        w.fill("max-age=60", target=target)
    w.get("/api/k1", method="PUT", kind="field-report")
    w.respond(201, b"", ("Location", "/api/k7"), ("Content-Location", "http://other/api/k8"))
    w.get("/api/k7")
    assert len(w.upstream.open) == 1
    assert w.get("/api/k8").cache_status.startswith("lineshift;hit")


def test_concurrent_misses_cause_one_fetch() -> None:
    w = StageHarness()
    w.fill("max-age=5")
    w.runtime.advance(6)
    clients = [w.get() for _ in range(500)]
    assert len(w.upstream.open) == 1
    w.respond(200, b"level 4", (CC, "max-age=5"))
    assert all(c.body == b"level 4" for c in clients)
    assert clients[7].cache_status == "lineshift;fwd=stale;stored;collapsed"
    assert clients[7].headers[b"age"] == b"0"


def test_a_stalled_fetch_delays_no_waiter_past_its_deadline() -> None:
    w = StageHarness()
    leader = w.get(time_left_s=3)
    short, long = w.get(time_left_s=0.5), w.get(time_left_s=2)
    w.runtime.advance(0.51)
    assert short.status == 504 and leader.answers == long.answers == 0
    w.runtime.advance(1.6)
    assert long.status == 504 and leader.answers == 0
    assert not w.upstream.abandoned  # the leader still waits
    w.respond(200, b"late", (CC, "max-age=60"))
    assert leader.body == b"late"


def test_after_a_failed_fetch_the_waiters_are_forwarded() -> None:
    w = StageHarness()
    clients = [w.get() for _ in range(5)]
    w.respond(502, b"")
    assert clients[0].status == 502 and len(w.upstream.open) == 1  # the next waiter leads
    w.respond(502, b"")
    assert clients[1].status == 502 and len(w.upstream.open) == 3  # after two failures: each one alone
    for _ in range(3):
        w.respond(200, b"level 3", (CC, "max-age=60"))
    assert [c.status for c in clients[2:]] == [200] * 3


def test_a_refusal_only_answers_the_leader() -> None:
    w = StageHarness()
    clients = [w.get() for _ in range(3)]
    w.upstream.open[0].responder.answer(w.upstream.open.pop(0), 503, (), b"Retry-After: 0.500\r\n")
    assert clients[0].status == 503 and clients[0].headers[b"retry-after"] == b"0.500"
    assert clients[0].cache_status == "lineshift;fwd=uri-miss;detail=refused"
    assert len(w.upstream.open) == 2


@pytest.mark.parametrize("cc", ["private, max-age=60", "no-store", "max-age=0", "no-cache"])
def test_an_unshareable_response_releases_the_waiters_and_is_remembered(cc: str) -> None:
    w = StageHarness(pass_for_us=2_000_000)
    clients = [w.get() for _ in range(4)]
    assert len(w.upstream.open) == 1
    w.respond(200, b"for one", (CC, cc), ("ETag", '"v1"'))
    assert clients[0].body == b"for one" and len(w.upstream.open) == 3
    for n in range(3):
        w.respond(200, b"for %d" % n, (CC, cc))
    assert [c.body for c in clients[1:]] == [b"for 0", b"for 1", b"for 2"]
    for _ in range(2):
        w.get()
    assert len(w.upstream.open) == 2  # these two do not wait for each other
    w.upstream.open.clear()
    w.runtime.advance(2.1)
    for _ in range(2):
        w.get()
    assert len(w.upstream.open) == 1


@pytest.mark.parametrize(
    "field", [("Authorization", "Basic a"), ("Cookie", "a=1"), (CC, "no-cache"), (CC, "no-store")]
)
def test_requests_that_need_their_own_response_are_not_collapsed(field: tuple[str, str]) -> None:
    w = StageHarness()
    w.get("/api/k1", field)
    w.get("/api/k1", field)
    w.get("/api/k1")
    assert len(w.upstream.open) == 3


def test_private_responses_are_not_served_to_other_users() -> None:
    w = StageHarness()
    for field in (("Authorization", "Basic a"), ("Cookie", "id=a")):
        w.get("/api/k1", field)
        w.respond(200, b"for a", (CC, "max-age=60"))
        other = w.get("/api/k1", (field[0], "b"))
        assert other.answers == 0
        w.respond(200, b"for b", (CC, "max-age=60"))
        assert other.body == b"for b"
    w.get("/api/k1", ("Authorization", "Basic a"))
    w.respond(200, b"for all", (CC, "public, max-age=60"))
    assert w.get().body == b"for all"


def test_variants_are_stored_side_by_side() -> None:
    w = StageHarness()
    for language in ("mn", "en"):
        got = w.get("/api/k1", ("Accept-Language", language))
        w.respond(200, language.encode(), (CC, "max-age=60"), ("Vary", "Accept-Language"))
        assert got.body == language.encode()
    assert w.get("/api/k1", ("Accept-Language", "MN")).body == b"mn"
    assert w.get("/api/k1", ("Accept-Language", "en")).body == b"en"
    assert w.get("/api/k1", ("Accept-Language", "de")).answers == 0
    assert len(w.upstream.all) == 3
    w.respond(200, b"de", (CC, "max-age=60"), ("Vary", "Accept-Language"))


def test_waiters_get_their_own_variant() -> None:
    w = StageHarness()
    mn, en, en2 = (w.get("/api/k1", ("Accept-Language", x)) for x in ("mn", "en", "en"))
    assert len(w.upstream.open) == 1
    w.respond(200, b"mn", (CC, "max-age=60"), ("Vary", "Accept-Language"))
    assert mn.body == b"mn" and en.answers == 0 and len(w.upstream.open) == 1
    w.respond(200, b"en", (CC, "max-age=60"), ("Vary", "Accept-Language"))
    assert en.body == en2.body == b"en"


def test_a_changed_vary_and_a_vary_of_asterisk() -> None:
    w = StageHarness()
    w.get("/api/k1", ("Accept-Language", "mn"))
    w.respond(200, b"one", (CC, "max-age=5"), ("Vary", "Accept-Language"))
    w.runtime.advance(6)
    w.get("/api/k1", ("Accept-Language", "mn"), ("X-Unit", "m"))
    w.respond(200, b"two", (CC, "max-age=60"), ("Vary", "X-Unit"))
    assert w.get("/api/k1", ("X-Unit", "m")).body == b"two"
    assert w.get("/api/k1", ("X-Unit", "ft")).answers == 0
    w.respond(200, b"three", (CC, "max-age=60"), ("Vary", "*"))
    assert w.get("/api/k1", ("X-Unit", "ft")).answers == 0


def test_two_variants_with_the_same_etag() -> None:
    """Only the requested variant is freshened; the other one stays stale, with its own body."""
    w = StageHarness()
    for language in ("mn", "en"):
        w.get("/api/k1", ("Accept-Language", language))
        w.respond(200, language.encode(), (CC, "max-age=5"), ("Vary", "Accept-Language"), ("ETag", '"same"'))
    w.runtime.advance(6)
    got = w.get("/api/k1", ("Accept-Language", "mn"))
    w.respond(304, b"", ("ETag", '"same"'), (CC, "max-age=60"), ("Vary", "Accept-Language"))
    assert got.body == b"mn"
    assert w.get("/api/k1", ("Accept-Language", "en")).answers == 0
    assert w.get("/api/k1", ("Accept-Language", "de")).answers == 0
    # A miss does not validate an answer stored for another request.
    assert b"If-None-Match" not in w.upstream.open[-1].extra_fields


def test_stale_while_revalidate() -> None:
    w = StageHarness()
    w.fill("max-age=5, stale-while-revalidate=10", ("ETag", '"v1"'))
    w.runtime.advance(6)
    got = w.get()
    assert got.body == b"level 3.2" and got.cache_status == "lineshift;hit;ttl=-1;detail=stale"
    assert w.get().answers == 1 and len(w.upstream.open) == 1  # one refresh for all
    assert w.upstream.open[0].wire_id != b"id2"  # the refresh has its own request id
    w.respond(304, b"", ("ETag", '"v1"'), (CC, "max-age=5, stale-while-revalidate=10"))
    assert w.get().cache_status == "lineshift;hit;ttl=5"
    w.runtime.advance(16)
    assert w.get().answers == 0  # after the window it waits for the validation


def test_stale_if_error_and_its_window() -> None:
    w = StageHarness()
    w.fill("max-age=5, stale-if-error=10", ("ETag", '"v1"'))
    w.runtime.advance(8)
    got = w.get()
    w.respond(502, b"")
    assert got.status == 200 and got.cache_status == "lineshift;hit;ttl=-3;detail=error"
    w.runtime.advance(8)
    got = w.get()
    w.respond(502, b"")
    assert got.status == 502


@pytest.mark.parametrize(
    ("cc", "status"), [("max-age=5", 200), ("max-age=5, must-revalidate", 503), ("s-maxage=5", 503)]
)
def test_a_refused_request_gets_a_stale_response_if_that_is_allowed(cc: str, status: int) -> None:
    w = StageHarness(CachingSettings(policy=Policy(stale_if_refused_s=30)))
    w.fill(cc, ("ETag", '"v1"'))
    w.runtime.advance(8)
    got = w.get()
    w.upstream.open[0].responder.answer(w.upstream.open.pop(0), 503, (), b"Retry-After: 0.500\r\n")
    assert got.status == status
    if status == 200:
        assert got.cache_status == "lineshift;hit;ttl=-3;detail=refused"


def test_a_refusal_is_passed_on_unless_stale_answers_are_configured() -> None:
    w = StageHarness()
    w.fill("max-age=5", ("ETag", '"v1"'))
    w.runtime.advance(8)
    got = w.get()
    w.upstream.open[0].responder.answer(w.upstream.open.pop(0), 503)
    assert got.status == 503


def test_a_long_response_is_streamed_and_stored() -> None:
    w = StageHarness()
    leader, other = w.get(), w.get()
    r = w.upstream.open.pop()
    r.responder.begin(r, 6, b"Cache-Control: max-age=60\r\n")
    r.responder.write_body(r, b"abc")
    assert leader.body == b"abc" and other.answers == 0
    r.responder.write_body(r, b"def")
    r.responder.end(r)
    assert leader.ended == "end" and other.body == b"abcdef"
    assert w.get().body == b"abcdef"


def test_an_incomplete_response_is_neither_stored_nor_served_as_complete() -> None:
    w = StageHarness()
    leader, other = w.get(), w.get()
    r = w.upstream.open.pop()
    r.responder.begin(r, 6, b"Cache-Control: max-age=60\r\n")
    r.responder.write_body(r, b"abc")
    r.responder.abort(r)
    assert leader.ended == "abort" and other.answers == 0
    assert len(w.upstream.open) == 1  # the waiter is forwarded alone
    w.respond(200, b"whole", (CC, "max-age=60"))
    assert other.body == b"whole" and not w.stage.store.reserved_bytes


def test_a_response_too_long_to_store_releases_the_waiters() -> None:
    w = StageHarness(most_object=1000, most_bytes=1 << 20)
    leader, other = w.get(), w.get()
    r = w.upstream.open.pop()
    r.responder.begin(r, None, b"Cache-Control: max-age=60\r\n")
    r.responder.write_body(r, b"x" * 900)
    assert not w.upstream.open and w.stage.store.reserved_bytes == 900
    r.responder.write_body(r, b"x" * 900)
    assert len(w.upstream.open) == 1 and w.stage.store.reserved_bytes == 0
    r.responder.write_body(r, b"x" * 900)
    r.responder.end(r)
    assert len(leader.body) == 2700 and leader.ended == "end" and not w.stage.store.peek(b"api /api/k1")
    assert other.answers == 0


def test_a_slow_reader_pauses_upstream_only_if_not_buffering() -> None:
    w = StageHarness(most_object=1000, most_bytes=1 << 20)
    r, _ = w.send()
    forwarded = w.upstream.open.pop()
    forwarded.responder.begin(forwarded, None, b"Cache-Control: max-age=60\r\n")
    w.stage.pause_response(r)
    assert not w.upstream.paused  # the buffer is bounded, and others may wait
    forwarded.responder.write_body(forwarded, b"x" * 1100)
    assert w.upstream.paused == [forwarded]
    w.stage.resume_response(r)
    assert not w.upstream.paused


def test_a_fetch_is_cancelled_once_its_last_client_has_left() -> None:
    w = StageHarness()
    one, _ = w.send()
    two, got = w.send()
    w.stage.client_left(one)
    assert not w.upstream.abandoned
    w.stage.client_left(two)
    assert len(w.upstream.abandoned) == 1 and got.answers == 0
    assert (
        not w.stage.fetches_by_request
        and not w.stage.fetches_by_client
        and not w.stage.joinable_fetches
        and not w.stage.fetches_by_gauge
    )


def test_head_is_answered_from_a_stored_get_response() -> None:
    w = StageHarness(plain_servers=True)
    w.fill("max-age=60")
    assert w.get(method="HEAD").body == b"level 3.2"  # the front removes the body
    miss = w.get("/api/k2", method="HEAD")
    assert w.upstream.open[0].method == b"HEAD"
    w.respond(200, b"", ("Content-Length", "9"), (CC, "max-age=60"))
    assert miss.headers[b"content-length"] == b"9" and not w.stage.store.peek(b"api /api/k2")


def test_a_differing_head_response_invalidates_the_stored_one() -> None:
    w = StageHarness(plain_servers=True)
    w.fill("max-age=60", ("ETag", '"v1"'))
    w.get("/api/k1", ("Range", "bytes=0-1"), (CC, "no-cache"), method="HEAD")
    assert w.upstream.open[0].method == b"HEAD"
    w.respond(200, b"", ("Content-Length", "10"), ("ETag", '"v1"'))
    assert not w.stage.store.peek(b"api /api/k1")


@pytest.mark.parametrize("jump_s", [3600.0, -3600.0])
def test_a_wall_clock_jump_does_not_change_freshness(jump_s: float) -> None:
    w = StageHarness()
    w.fill("max-age=60")
    w.runtime.advance(30)
    w.runtime.wall_s += jump_s
    assert w.get().headers[b"age"] == b"30"  # the age does not depend on the wall clock
    w.runtime.advance(31)
    got = w.get()
    assert got.answers == 0  # a backward jump does not make the response fresh again
    right = w.runtime.wall_s - jump_s
    from magpiefront.caching.dates import render

    w.respond(200, b"level 4", (CC, "max-age=60"), ("Date", render(int(right)).decode()))
    assert got.body == b"level 4"
    again = w.get()
    if jump_s > 0:
        assert again.answers == 0  # the response appears one hour old, so it is fetched again
    else:
        assert again.body == b"level 4"


def test_keys_use_the_target_as_spelt_and_the_host() -> None:
    w = StageHarness()
    w.fill("max-age=60", target="/api/k1")
    for target in ("//api/k1", "/api//k1", "/api/%6b1", "/api/k1?"):
        assert w.get(target).answers == 0
    assert w.get("/api/k1", host="other").answers == 0
    assert w.get("/api/k1", host="API").answers == 1


def test_a_stored_response_has_no_hop_by_hop_fields() -> None:
    w = StageHarness()
    fields = {"Connection": "close", "Keep-Alive": "5", "Proxy-Authenticate": "Basic", "TE": "x",
              "tRaNsFeR-eNcOdInG": "chunked", "Upgrade": "h2c"}  # fmt: skip
    w.fill("max-age=60", *fields.items())
    head = w.stage.store.peek(b"api /api/k1")[0].head.lower()
    for name in (b"connection:", b"transfer-encoding:", b"keep-alive:", b"proxy-auth", b"te:", b"upgrade:"):
        assert b"\r\n" + name not in b"\r\n" + head


def test_private_and_no_cache_fields_are_not_stored() -> None:
    w = StageHarness()
    got = w.fill('max-age=60, private="X-Who", no-cache="Set-Cookie"', ("X-Who", "a"), ("Set-Cookie", "a=1"))
    assert got.headers[b"x-who"] == b"a" and got.headers[b"set-cookie"] == b"a=1"
    again = w.get()
    assert again.status == 200 and b"x-who" not in again.headers and b"set-cookie" not in again.headers


def test_a_purge_invalidates_one_gauge_or_everything() -> None:
    w = StageHarness()
    w.fill("max-age=60")
    w.fill("max-age=60", target="/api/k2")
    assert w.get(method="PURGE").body == b"purged 1\n"
    w.get()
    assert len(w.upstream.open) == 1
    w.upstream.open.clear()
    assert w.get("/*", method="PURGE").body == b"purged 1\n"
    assert len(w.stage.store) == 0


def test_classes_that_are_not_configured_bypass_the_cache() -> None:
    w = StageHarness(classes=frozenset({"another"}))
    assert w.fill("max-age=60").cache_status == "lineshift;fwd=bypass"
    assert w.get().answers == 0


def test_a_smaller_store_setting_evicts_at_once() -> None:
    w = StageHarness(most_bytes=1 << 20, most_object=1 << 10)
    for n in range(100):
        w.fill("max-age=60", target=f"/api/k{n}")
    w.stage.configure(CachingSettings(most_bytes=64 << 10))
    assert w.stage.store.size <= 64 << 10


def test_a_bypassing_class_is_not_answered_from_the_store() -> None:
    w = StageHarness(classes=frozenset({"level-read"}))
    w.fill("max-age=60")
    w.runtime.classes = {**CLASSES, b"other-read": RequestClass("other-read", Repeat.SAFE, 1, 1)}
    got = w.get(kind="other-read")
    assert got.answers == 0
    w.respond(200, b"its own", (CC, "max-age=60"))
    assert got.cache_status == "lineshift;fwd=bypass" and w.get().body == b"level 3.2"


@pytest.mark.parametrize("end", ["end", "abort", "left"])
def test_the_outcome_of_a_write_is_known_with_the_head_of_its_response(end: str) -> None:
    w = StageHarness()
    r, got = w.send(method="PUT", kind="field-report")
    forwarded = w.upstream.open.pop()
    forwarded.responder.begin(forwarded, None, b"X-A: 1\r\n", 201)
    assert got.status == 201 and got.headers[b"x-a"] == b"1"
    forwarded.responder.write_body(forwarded, b"held")
    w.stage.pause_response(r)
    w.stage.resume_response(r)
    if end == "left":
        w.stage.client_left(r)
        assert w.upstream.abandoned == [forwarded]
        forwarded.responder.write_body(forwarded, b"more")
    else:
        getattr(forwarded.responder, end)(forwarded)
        assert got.ended == end
    assert got.body == b"held" and not w.stage.fences.open_writes
    assert not (
        w.stage.writes.forwarded_requests
        or w.stage.writes.client_requests
        or w.stage.writes.with_known_outcome
    )
    assert w.fill("max-age=60").cache_status.endswith(";stored")


def test_a_new_response_too_long_to_store_removes_the_old_one() -> None:
    w = StageHarness(most_object=1000, most_bytes=1 << 20)
    w.fill("max-age=5, stale-if-error=600", ("ETag", '"1"'))
    w.runtime.advance(6)
    w.get()
    forwarded = w.upstream.open.pop()
    forwarded.responder.begin(forwarded, 5_000, b"Cache-Control: max-age=60\r\n")
    forwarded.responder.write_body(forwarded, b"x" * 5_000)
    forwarded.responder.end(forwarded)
    got = w.get()
    w.respond(503, b"")
    assert got.status == 503  # the old response was removed


def test_waiters_get_the_response_if_the_leader_leaves_midway() -> None:
    w = StageHarness()
    r, leader = w.send()
    other = w.get()
    forwarded = w.upstream.open.pop()
    forwarded.responder.begin(forwarded, 6, b"Cache-Control: max-age=60\r\n")
    forwarded.responder.write_body(forwarded, b"abc")
    w.stage.pause_response(r)
    w.stage.client_left(r)
    assert not w.upstream.abandoned
    forwarded.responder.write_body(forwarded, b"def")
    forwarded.responder.end(forwarded)
    assert leader.body == b"abc" and leader.ended == "" and other.body == b"abcdef"


def test_a_failed_refresh_affects_no_client_and_may_be_repeated() -> None:
    w = StageHarness()
    w.fill("max-age=5, stale-while-revalidate=60", ("ETag", '"1"'))
    w.runtime.advance(6)
    for _ in range(3):
        assert w.get().status == 200
        w.respond(503, b"")
    assert w.stage.refreshes == 0 and not w.stage.fetches_by_request


def test_concurrent_refreshes_are_bounded() -> None:
    w = StageHarness()
    for n in range(70):
        w.fill("max-age=5, stale-while-revalidate=60", ("ETag", '"1"'), target=f"/api/k{n}")
    w.runtime.advance(6)
    for n in range(70):
        assert w.get(f"/api/k{n}").status == 200
    assert len(w.upstream.open) == 64 == w.stage.refreshes


def test_waiters_of_a_validation_are_forwarded_if_its_result_may_not_be_shared() -> None:
    w = StageHarness()
    w.fill("max-age=5", ("ETag", '"1"'))
    w.runtime.advance(6)
    clients = [w.get() for _ in range(3)]
    assert len(w.upstream.open) == 1
    w.respond(304, b"", ("ETag", '"1"'), (CC, "max-age=0"))
    assert clients[0].body == b"level 3.2" and clients[1].answers == clients[2].answers == 0
    assert len(w.upstream.open) == 2  # each is forwarded alone and validates
    for c in clients[1:]:
        w.respond(304, b"", ("ETag", '"1"'), (CC, "max-age=60"))
        assert c.cache_status == "lineshift;fwd=stale;fwd-status=304;stored"


def test_waiters_of_a_validation_share_its_result() -> None:
    w = StageHarness()
    w.fill("max-age=5", ("ETag", '"1"'))
    w.runtime.advance(6)
    clients = [w.get() for _ in range(3)]
    w.respond(304, b"", ("ETag", '"1"'), (CC, "max-age=60"))
    assert [c.body for c in clients] == [b"level 3.2"] * 3 and len(w.upstream.all) == 2
    assert clients[2].cache_status == "lineshift;fwd=stale;fwd-status=304;stored;collapsed"


def test_a_response_that_a_304_does_not_select_is_removed() -> None:
    w = StageHarness()
    w.fill("max-age=5, stale-if-error=600", ("ETag", '"1"'))
    w.runtime.advance(6)
    w.get()
    w.respond(304, b"", ("ETag", '"2"'))
    w.respond(200, b"new", (CC, "no-store"))
    assert not w.stage.store.peek(b"api /api/k1")


def test_a_slow_reader_pauses_upstream_for_an_unstorable_response() -> None:
    w = StageHarness()
    r, _ = w.send()
    forwarded = w.upstream.open.pop()
    forwarded.responder.begin(forwarded, None, b"Cache-Control: no-store\r\n")
    w.stage.pause_response(r)
    assert w.upstream.paused == [forwarded]
    w.stage.resume_response(r)
    assert not w.upstream.paused


def test_a_429_does_not_replace_the_stored_response() -> None:
    w = StageHarness(plain_servers=True)
    w.fill("max-age=5, stale-if-error=600", ("ETag", '"1"'))
    w.runtime.advance(6)
    got = w.get()
    w.respond(429, b"slow down")
    assert got.status == 429
    got = w.get()
    w.respond(503, b"")
    assert got.status == 200  # the stored response is still the newest one
