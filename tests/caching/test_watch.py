"""Writes that come by another way than the cache's own stage void what it keeps."""

from __future__ import annotations

import pytest

from magpiefront.caching.watch import WriteWatch
from magpiefront.net.request import Request
from tests.caching.house import Behind, Client, World


def write(
    w: World, watch: WriteWatch, method: bytes = b"PUT", kind: bytes = b"field-report"
) -> tuple[Request, Client]:
    client = Client()
    r = Request(client)
    r.method, r.target, r.wire_id = method, b"/api/k1", b"w"
    r.headers = {b"host": b"far", b"req-kind": kind}
    watch.take(r)
    return r, client


@pytest.mark.parametrize("how", ["answer", "long", "left", "cut"])
def test_a_write_over_the_link_voids_its_gauge(how: str) -> None:
    w, behind = World(), Behind()
    watch = WriteWatch(w.house, behind)
    watch.cache = w.stage.writes
    w.fill("max-age=60")
    r, client = write(w, watch)
    assert not w.stage.store.peek(b"api /api/k1")
    assert w.fill("max-age=60").cache == "lineshift;fwd=uri-miss"  # not kept while it runs
    if how == "answer":
        r.replies.answer(r, 200, [b"held"])
    elif how == "long":
        r.replies.begin(r, 4, b"")
        r.replies.go(r, b"held")
        r.replies.end(r)
    elif how == "left":
        watch.client_left(r)
        assert behind.left == [r]
    else:
        r.replies.cut(r)
    assert not watch.writes
    if how in ("answer", "long"):
        assert client.got.body == b"held" and client.got.answers == 1
        assert w.fill("max-age=60").cache == "lineshift;fwd=uri-miss;stored"
    else:
        assert w.fill("max-age=60").cache == "lineshift;fwd=uri-miss"  # it may yet have its effect


def test_reads_pass_by_it() -> None:
    w, behind = World(), Behind()
    watch = WriteWatch(w.house, behind)
    watch.cache = w.stage.writes
    w.fill("max-age=60")
    r, client = write(w, watch, b"GET", b"level-read")
    assert r.replies is client and not watch.writes and w.stage.store.peek(b"api /api/k1")
    watch.hold_back(r)
    watch.let_go(r)
    assert not behind.held
