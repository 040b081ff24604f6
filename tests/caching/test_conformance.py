"""The standard's cases over sockets; and that they notice each safeguard that is taken out."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from magpiefront.caching import conditions, rules, stage, targets, vary
from magpiefront.caching.directives import Directives, parse
from magpiefront.caching.stage import CachingStage
from magpiefront.caching.store import Store
from magpiefront.net import fields
from standins.conformance.__main__ import EXTRA, run, summary, table
from standins.conformance.archive import Archive
from standins.conformance.case import Case, Need
from tests.caching.conformance import CASES
from tests.caching.sockets import cached
from tests.sockets import run as in_time


async def play(cases: tuple[Case, ...]) -> dict[str, Any]:
    archive = Archive()
    await archive.start()
    try:
        async with cached(archive.port) as c:
            found = await run(cases, ("127.0.0.1", c.port), archive, EXTRA, 8, True)
            # Nothing is left behind: whoever was answered is forgotten.
            assert not c.stage.waits and not c.stage.store.held and not c.proxy.failed
            return summary(found)
    finally:
        archive.stop()


def test_every_case_holds() -> None:
    async def main() -> None:
        found = await play(CASES)
        assert found["cases"] == len(CASES) >= 250
        assert found["faults"] == [], "\n".join(found["faults"])
        assert "9111 4.2.1" in table(found)

    in_time(main(), 120)


def test_titles_are_unique_and_name_a_section() -> None:
    titles = [c.title for c in CASES]
    assert len(set(titles)) == len(titles)
    assert sum(c.need is Need.REQUIRED for c in CASES) > 200


def says(name: bytes, value: Any) -> Callable[[pytest.MonkeyPatch], None]:
    """The directive is not looked at."""

    def patch(m: pytest.MonkeyPatch) -> None:
        def blind(given: bytes) -> Directives:
            found = parse(given)
            return Directives({k: v for k, v in found.given.items() if k != name}, found.targeted)

        m.setattr(rules, "parse", blind)

    return patch


def sets(where: Any, name: str, value: Any) -> Callable[[pytest.MonkeyPatch], None]:
    return lambda m: m.setattr(where, name, value)


def never_drops(m: pytest.MonkeyPatch) -> None:
    m.setattr(Store, "drop_gauge", lambda self, gauge: [])


def no_initial_age(m: pytest.MonkeyPatch) -> None:
    m.setattr(rules.Answered, "initial_age_us", lambda self, delay: 0)


def keeps_all_fields(m: pytest.MonkeyPatch) -> None:
    m.setattr(rules, "HOP_BY_HOP", frozenset())
    m.setattr(fields, "HOP_BY_HOP", frozenset())


def cut_is_end(m: pytest.MonkeyPatch) -> None:
    m.setattr(CachingStage, "cut", CachingStage.end)


def keeps_what_is_cut(m: pytest.MonkeyPatch) -> None:
    from magpiefront.net.node_connection import NodeConnection

    m.setattr(NodeConnection, "eof_received", lambda self: (self._completed(), False)[1])


SAFEGUARDS: dict[str, tuple[Callable[[pytest.MonkeyPatch], None], str]] = {
    "no-store": (says(b"no-store", None), "5.2.2.5"),
    "private": (says(b"private", None), "5.2.2.7"),
    "no-cache": (says(b"no-cache", None), "5.2.2.4"),
    "must-revalidate": (says(b"must-revalidate", None), "4.2.4"),
    "proxy-revalidate": (says(b"proxy-revalidate", None), "4.2.4"),
    "Vary": (sets(rules, "matches", lambda stored, headers: True), "4.1"),
    "the secondary key": (sets(vary, "secondary", lambda names, headers: ()), "4.1"),
    "Vary: *": (sets(vary, "names", lambda value: ()), "4.1"),
    "age": (no_initial_age, "4.2.3"),
    "staleness": (sets(rules.Stored, "fresh", lambda self, now: True), "4.2"),
    "invalidation": (never_drops, "4.4"),
    "fields of one connection": (keeps_all_fields, "3.1"),
    "the query in the key": (sets(targets, "key", lambda host, target: target.partition(b"?")[0]), "2"),
    "which answer a 304 means": (sets(rules, "identified", lambda stored, headers: True), "4.3.4"),
    "what a 304 may not replace": (sets(rules, "OF_THE_CONTENT", frozenset()), "3.2"),
    "If-Range": (sets(conditions, "range_holds", lambda stored, given: True), "9110 13.1.5"),
    "the client's condition": (sets(conditions, "not_modified", lambda stored, headers: True), "4.3.2"),
    "unkeyed fields": (sets(stage, "DROPPED", frozenset()), "7.1"),
    "Authorization": (lambda m: m.setattr(rules.Answered, "storable", blind_to(b"authorization")), "3.5"),
    "206": (lambda m: m.setattr(rules.Answered, "storable", lambda self, asked, policy: None), "3.4"),
    "the end of a long answer": (cut_is_end, "3.3"),
    "Content-Length of a short one": (keeps_what_is_cut, "3.3"),
}  # fmt: skip
STORABLE = rules.Answered.storable


def blind_to(name: bytes) -> Any:
    def storable(self: rules.Answered, asked: rules.Asked, policy: Any) -> rules.Why | None:
        bare = {k: v for k, v in asked.headers.items() if k != name}
        return STORABLE(self, rules.Asked(asked.method, bare), policy)

    return storable


@pytest.mark.parametrize("name", SAFEGUARDS)
def test_a_safeguard_taken_out_is_noticed(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    patch, section = SAFEGUARDS[name]
    cases = tuple(c for c in CASES if c.section == section)

    async def main() -> None:
        patch(monkeypatch)
        found = await play(cases)
        assert found["faults"], "no case noticed"

    in_time(main(), 60)
    monkeypatch.undo()


def test_a_proxy_that_is_not_there_is_one_plain_line(capsys: pytest.CaptureFixture[str]) -> None:
    from standins.conformance.__main__ import main

    async def closed() -> int:
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = int(server.sockets[0].getsockname()[1])
        server.close()
        return port

    port = asyncio.run(closed())
    import sys

    before = sys.argv
    sys.argv = ["conformance", "--target", f"127.0.0.1:{port}", "--only", "4.4: HEAD", "--json"]
    try:
        assert main() == 0  # an optional case can't fail a proxy; what is wrong is said of it
        assert "ConnectionRefusedError" in capsys.readouterr().out
    finally:
        sys.argv = before
