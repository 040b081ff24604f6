"""Runs the conformance cases over sockets, and checks that they detect each removed safeguard."""

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
from standins.conformance.__main__ import PLATFORM_FIELDS, run, summary, table
from standins.conformance.archive import ScriptedArchive
from standins.conformance.case import Case, RequirementLevel
from tests.caching.conformance import CASES
from tests.caching.sockets import caching_proxy
from tests.sockets import run as in_time


async def run_cases(cases: tuple[Case, ...]) -> dict[str, Any]:
    archive = ScriptedArchive()
    await archive.start()
    try:
        async with caching_proxy(archive.port) as c:
            found = await run(cases, ("127.0.0.1", c.port), archive, PLATFORM_FIELDS, 8, True)
            # No state remains of finished requests.
            assert (
                not c.stage.fetches_by_client
                and not c.stage.store.reserved_bytes
                and not c.proxy.failed_answers
            )
            return summary(found)
    finally:
        archive.stop()


def test_every_case_passes() -> None:
    async def main() -> None:
        found = await run_cases(CASES)
        assert found["cases"] == len(CASES) >= 250
        assert found["faults"] == [], "\n".join(found["faults"])
        assert "9111 4.2.1" in table(found)

    in_time(main(), 120)


def test_titles_are_unique_and_most_cases_are_required() -> None:
    titles = [c.title for c in CASES]
    assert len(set(titles)) == len(titles)
    assert sum(c.level is RequirementLevel.REQUIRED for c in CASES) > 200


def ignores_directive(name: bytes, value: Any) -> Callable[[pytest.MonkeyPatch], None]:
    """Returns a patch that makes the rules ignore a directive."""

    def patch(m: pytest.MonkeyPatch) -> None:
        def parse_others(field_value: bytes) -> Directives:
            found = parse(field_value)
            return Directives({k: v for k, v in found.arguments.items() if k != name}, found.targeted)

        m.setattr(rules, "parse", parse_others)

    return patch


def replaces(owner: Any, name: str, value: Any) -> Callable[[pytest.MonkeyPatch], None]:
    return lambda m: m.setattr(owner, name, value)


def never_invalidates(m: pytest.MonkeyPatch) -> None:
    m.setattr(Store, "drop_gauge", lambda self, gauge: [])


def no_initial_age(m: pytest.MonkeyPatch) -> None:
    m.setattr(rules.OriginResponse, "initial_age_us", lambda self, delay: 0)


def forwards_all_fields(m: pytest.MonkeyPatch) -> None:
    m.setattr(rules, "HOP_BY_HOP", frozenset())
    m.setattr(fields, "HOP_BY_HOP", frozenset())


def abort_is_end(m: pytest.MonkeyPatch) -> None:
    m.setattr(CachingStage, "abort", CachingStage.end)


def stores_truncated_responses(m: pytest.MonkeyPatch) -> None:
    from magpiefront.net.node_connection import NodeConnection

    m.setattr(NodeConnection, "eof_received", lambda self: (self._completed(), False)[1])


SAFEGUARDS: dict[str, tuple[Callable[[pytest.MonkeyPatch], None], str]] = {
    "no-store": (ignores_directive(b"no-store", None), "5.2.2.5"),
    "private": (ignores_directive(b"private", None), "5.2.2.7"),
    "no-cache": (ignores_directive(b"no-cache", None), "5.2.2.4"),
    "must-revalidate": (ignores_directive(b"must-revalidate", None), "4.2.4"),
    "proxy-revalidate": (ignores_directive(b"proxy-revalidate", None), "4.2.4"),
    "Vary": (replaces(rules, "matches", lambda stored, headers: True), "4.1"),
    "the secondary key": (replaces(vary, "secondary_key", lambda names, headers: ()), "4.1"),
    "Vary: *": (replaces(vary, "parse_names", lambda value: ()), "4.1"),
    "age": (no_initial_age, "4.2.3"),
    "staleness": (replaces(rules.StoredResponse, "is_fresh", lambda self, now: True), "4.2"),
    "invalidation": (never_invalidates, "4.4"),
    "hop-by-hop fields": (forwards_all_fields, "3.1"),
    "the query in the key": (replaces(targets, "key", lambda host, target: target.partition(b"?")[0]), "2"),
    "the response that a 304 selects": (
        replaces(rules, "is_selected_by_304", lambda stored, headers: True),
        "4.3.4",
    ),
    "fields that a 304 must not replace": (replaces(rules, "CONTENT_FIELDS", frozenset()), "3.2"),
    "If-Range": (replaces(conditions, "if_range_matches", lambda stored, given: True), "9110 13.1.5"),
    "conditional requests of the client": (
        replaces(conditions, "is_not_modified", lambda stored, headers: True),
        "4.3.2",
    ),
    "untrusted fields outside the key": (replaces(stage, "UNTRUSTED_FIELDS", frozenset()), "7.1"),
    "Authorization": (
        lambda m: m.setattr(rules.OriginResponse, "reason_not_storable", ignoring_field(b"authorization")),
        "3.5",
    ),
    "206": (
        lambda m: m.setattr(rules.OriginResponse, "reason_not_storable", lambda self, request, policy: None),
        "3.4",
    ),
    "the end of a long response": (abort_is_end, "3.3"),
    "Content-Length of a short response": (stores_truncated_responses, "3.3"),
}  # fmt: skip
REASON_NOT_STORABLE = rules.OriginResponse.reason_not_storable


def ignoring_field(name: bytes) -> Any:
    def reason(
        self: rules.OriginResponse, request: rules.CacheRequest, policy: Any
    ) -> rules.NotStorableReason | None:
        headers = {k: v for k, v in request.headers.items() if k != name}
        return REASON_NOT_STORABLE(self, rules.CacheRequest(request.method, headers), policy)

    return reason


@pytest.mark.parametrize("name", SAFEGUARDS)
def test_a_removed_safeguard_is_detected(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    patch, section = SAFEGUARDS[name]
    cases = tuple(c for c in CASES if c.section == section)

    async def main() -> None:
        patch(monkeypatch)
        found = await run_cases(cases)
        assert found["faults"], "no case failed"

    in_time(main(), 60)
    monkeypatch.undo()


def test_a_missing_proxy_is_reported_in_one_line(capsys: pytest.CaptureFixture[str]) -> None:
    from standins.conformance.__main__ import main

    async def find_closed_port() -> int:
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = int(server.sockets[0].getsockname()[1])
        server.close()
        return port

    port = asyncio.run(find_closed_port())
    import sys

    saved_argv = sys.argv
    sys.argv = ["conformance", "--target", f"127.0.0.1:{port}", "--only", "4.4: HEAD", "--json"]
    try:
        assert main() == 0  # a failed optional case is reported, but does not count as a failure
        assert "ConnectionRefusedError" in capsys.readouterr().out
    finally:
        sys.argv = saved_argv
