"""Tests that writes which bypass the cache's stage invalidate its stored responses."""

from __future__ import annotations

import pytest

from magpiefront.repeat_limits import FIRST_SENDING
from magpiefront.caching.link_writes import WriteWatch
from magpiefront.net.request import Request
from tests.caching.harness import FakeUpstream, FakeClient, StageHarness


def write(
    w: StageHarness, watch: WriteWatch, method: bytes = b"PUT", kind: bytes = b"field-report"
) -> tuple[Request, FakeClient]:
    client = FakeClient()
    r = Request(client, FIRST_SENDING)
    r.method, r.target, r.wire_id = method, b"/api/k1", b"w"
    r.headers = {b"host": b"far", b"req-kind": kind}
    watch.submit(r)
    return r, client


@pytest.mark.parametrize("outcome", ["answer", "long", "left", "cut"])
def test_a_write_over_the_link_invalidates_its_gauge(outcome: str) -> None:
    w, following = StageHarness(), FakeUpstream()
    watch = WriteWatch(w.runtime, following)
    watch.cache = w.stage.writes
    w.fill("max-age=60")
    r, client = write(w, watch)
    assert not w.stage.store.peek(b"api /api/k1")
    assert w.fill("max-age=60").cache_status == "lineshift;fwd=uri-miss"  # not stored while the write runs
    if outcome == "answer":
        r.responder.answer(r, 200, [b"held"])
    elif outcome == "long":
        r.responder.begin(r, 4, b"")
        r.responder.write_body(r, b"held")
        r.responder.end(r)
    elif outcome == "left":
        watch.client_left(r)
        assert following.abandoned == [r]
    else:
        r.responder.abort(r)
    assert not watch.writes
    if outcome in ("answer", "long"):
        assert client.received.body == b"held" and client.received.answers == 1
        assert w.fill("max-age=60").cache_status == "lineshift;fwd=uri-miss;stored"
    else:
        assert w.fill("max-age=60").cache_status == "lineshift;fwd=uri-miss"  # it may still take effect


def test_reads_are_not_watched() -> None:
    w, following = StageHarness(), FakeUpstream()
    watch = WriteWatch(w.runtime, following)
    watch.cache = w.stage.writes
    w.fill("max-age=60")
    r, client = write(w, watch, b"GET", b"level-read")
    assert r.responder is client and not watch.writes and w.stage.store.peek(b"api /api/k1")
    watch.pause_response(r)
    watch.resume_response(r)
    assert not following.paused
