"""Routing decisions, credits and retry budget: by tables and by generated cases."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from magpiefront.gateway.routes import (
    Credit, Credits, ForwardToSite, KeyDistribution, LinkState, LinkView, Reason, RefuseRequest, RetryBudget,
    Routes, RoutingRequest, ServeHere, SpillPause,
)  # fmt: skip
from magpiefront.gateway.settings import CreditSettings, GatewaySettings, RetrySettings, Site
from magpiefront.interface import Repeat

SITES = {
    "west": Site("west", 1, ("w-", "x-east")),
    "east": Site("east", 1, ("e-", "x-"), (("127.0.0.1", 1),)),
}
SETTINGS = GatewaySettings("west", ("127.0.0.1", 0), SITES, spill=("read",), min_time_left_us=20_000)
UP = LinkView(LinkState.UP, 40_000)
READ = RoutingRequest("e-1", "read", Repeat.SAFE, "t", 500_000)
REPORT = RoutingRequest("e-1", "report", Repeat.KEYED, "t", 500_000)
ONCE = RoutingRequest("e-1", "once", Repeat.UNSAFE, "t", 500_000)


def view(state: LinkState, round_trip_us: int = 40_000, retry_in_us: int = 0) -> dict[str, LinkView]:
    return {"east": LinkView(state, round_trip_us, retry_in_us)}


@pytest.mark.parametrize(("key", "site"), [
    ("w-1", "west"), ("e-1", "east"), ("x-1", "east"), ("x-east-1", "west"), ("x-eas", "east"),
])  # fmt: skip
def test_the_longest_prefix_wins(key: str, site: str) -> None:
    assert KeyDistribution(SITES.values()).home_site(key) == site


def test_other_keys_are_divided_by_weight_and_move_only_to_the_heavier_site() -> None:
    keys = [f"k{i}" for i in range(4000)]
    even = KeyDistribution([Site("a"), Site("b")])
    weighted = KeyDistribution([Site("a", 3.0), Site("b")])
    before, after = {k: even.home_site(k) for k in keys}, {k: weighted.home_site(k) for k in keys}
    assert 0.46 < sum(s == "a" for s in before.values()) / 4000 < 0.54
    assert 0.72 < sum(s == "a" for s in after.values()) / 4000 < 0.78
    assert {(before[k], after[k]) for k in keys if before[k] != after[k]} == {("b", "a")}
    assert {KeyDistribution([Site("a", 0.0), Site("b")]).home_site(k) for k in keys} == {"b"}
    assert [KeyDistribution([Site("b"), Site("a")]).home_site(k) for k in keys] == list(before.values())


@pytest.mark.parametrize(("state", "asked", "expected"), [
    (LinkState.UP, READ, ForwardToSite),
    (LinkState.UP, REPORT, ForwardToSite),
    (LinkState.UP, ONCE, ForwardToSite),
    (LinkState.SUSPECT, READ, ServeHere),
    (LinkState.SUSPECT, REPORT, ForwardToSite),
    (LinkState.SUSPECT, ONCE, RefuseRequest),
    (LinkState.DRAINING, READ, ServeHere),
    (LinkState.DRAINING, REPORT, RefuseRequest),
    (LinkState.DRAINING, ONCE, RefuseRequest),
    (LinkState.DOWN, READ, ServeHere),
    (LinkState.DOWN, REPORT, RefuseRequest),
    (LinkState.DOWN, ONCE, RefuseRequest),
    (LinkState.DOWN, replace(READ, key="w-1"), ServeHere),
    (LinkState.UP, replace(ONCE, key="w-1"), ServeHere),
    (LinkState.UP, replace(READ, time_left_us=64_000), ServeHere),
    (LinkState.UP, replace(READ, time_left_us=65_000), ForwardToSite),
    (LinkState.UP, replace(REPORT, time_left_us=64_000), RefuseRequest),
    (LinkState.UP, replace(ONCE, time_left_us=0), RefuseRequest),
])  # fmt: skip
def test_where_a_request_is_served(state: LinkState, asked: RoutingRequest, expected: type) -> None:
    assert type(Routes(SETTINGS).route(asked, view(state))) is expected


def test_a_missing_link_counts_as_down_and_the_refusal_has_a_retry_time() -> None:
    assert Routes(SETTINGS).route(REPORT, {}) == RefuseRequest(Reason.LINK_DOWN, 500_000)
    assert Routes(SETTINGS).route(REPORT, view(LinkState.DOWN, 0, 900_000)) == RefuseRequest(
        Reason.LINK_DOWN, 900_000
    )


def test_reads_are_refused_if_they_may_not_be_served_here() -> None:
    routes = Routes(replace(SETTINGS, home_when_down=False))
    assert routes.route(READ, view(LinkState.DOWN)) == RefuseRequest(Reason.LINK_DOWN, 500_000)


@pytest.mark.parametrize("asked", [READ, REPORT, ONCE])
def test_a_forwarded_request_is_served_here_whatever_the_table_says(asked: RoutingRequest) -> None:
    assert Routes(SETTINGS).route(replace(asked, via=("east",)), view(LinkState.UP)) == ServeHere()


@pytest.mark.parametrize(("via", "reason"), [
    (("east",), None), (("west",), Reason.LOOP), (("north", "west"), Reason.LOOP),
    (("north", "east"), Reason.HOPS),
])  # fmt: skip
def test_a_loop_is_refused(via: tuple[str, ...], reason: Reason | None) -> None:
    assert Routes(SETTINGS).admit(via) is reason


# ---- spills

HERE = replace(READ, key="w-1")


@pytest.mark.parametrize(("state", "asked", "reason"), [
    (LinkState.UP, READ, Reason.NOT_SPILLED), (LinkState.UP, replace(REPORT, key="w-1"), Reason.NOT_SPILLED),
    (LinkState.UP, replace(ONCE, key="w-1"), Reason.NOT_SPILLED),
    (LinkState.UP, replace(HERE, class_name="other"), Reason.NOT_SPILLED),
    (LinkState.UP, replace(HERE, via=("east",)), Reason.NOT_SPILLED),
    (LinkState.SUSPECT, HERE, Reason.LINK_DOWN), (LinkState.DOWN, HERE, Reason.LINK_DOWN),
    (LinkState.UP, replace(HERE, time_left_us=50_000), Reason.NO_TIME),
])  # fmt: skip
def test_what_does_not_spill(state: LinkState, asked: RoutingRequest, reason: Reason) -> None:
    assert Routes(SETTINGS).route_refused(0, asked, view(state)) == RefuseRequest(reason, 500_000)


def test_spills_pause_for_longer_while_the_other_site_refuses_them() -> None:
    routes = Routes(SETTINGS)
    assert isinstance(routes.route_refused(0, HERE, view(LinkState.UP)), ForwardToSite)
    spill_pause, now, pauses = routes.spill_pauses["east"], 0, []
    for _ in range(8):
        spill_pause.record_refused(now)
        spill_pause.record_refused(now)  # sent before the pause, so it does not count
        assert routes.route_refused(now, HERE, view(LinkState.UP)) == RefuseRequest(
            Reason.SPILL_PAUSED, 500_000
        )
        pauses.append(spill_pause.not_before_us - now)
        now = spill_pause.not_before_us
        assert isinstance(routes.route_refused(now, HERE, view(LinkState.UP)), ForwardToSite)
    assert pauses == [50_000, 100_000, 200_000, 400_000, 800_000, 1_600_000, 2_000_000, 2_000_000]
    spill_pause.record_served()
    spill_pause.record_refused(now)
    assert spill_pause.not_before_us == now + 50_000


def test_spilled_requests_use_only_a_part_of_the_credits() -> None:
    routes = Routes(replace(SETTINGS, credits=CreditSettings(crossing=20, spill_share=0.2, tenant_share=1.0)))
    given_ = [routes.route_refused(0, HERE, view(LinkState.UP)) for _ in range(6)]
    assert [type(g) for g in given_] == [ForwardToSite] * 4 + [RefuseRequest] * 2
    assert given_[4] == RefuseRequest(Reason.SPILL_CREDIT, 500_000)
    assert isinstance(routes.route(READ, view(LinkState.UP)), ForwardToSite)


# ---- credits and budget

LIMITS = CreditSettings(crossing=20, tenant_share=0.5, spill_share=0.25, reserved={"report": 0.2})


def test_a_reserved_part_is_kept_for_its_class() -> None:
    credits = Credits(replace(LIMITS, tenant_share=1.0))
    reads = [credits.take("read", "t") for _ in range(17)]
    assert [isinstance(c, Credit) for c in reads] == [True] * 16 + [False] and reads[16] is Reason.CREDIT
    reports = [credits.take("report", "t") for _ in range(5)]
    assert [isinstance(c, Credit) for c in reports] == [True] * 4 + [False]
    first = reads[0]
    assert isinstance(first, Credit)
    credits.release(first)
    credits.release(first)  # counts once
    assert isinstance(credits.take("report", "t"), Credit)  # the reserved part first, then the shared one
    assert credits.take("read", "t") is Reason.CREDIT


def test_a_class_uses_no_more_than_its_share() -> None:
    credits = Credits(replace(LIMITS, tenant_share=1.0, most={"read": 0.5, "report": 0.1}))
    took = [credits.take("read", "t") for _ in range(11)]
    assert sum(isinstance(c, Credit) for c in took) == 10 and took[10] is Reason.CLASS_CREDIT
    assert [isinstance(credits.take("report", "t"), Credit) for _ in range(3)] == [True, True, False]
    assert isinstance(credits.take("other", "t"), Credit)
    assert isinstance(took[0], Credit)
    credits.release(took[0])
    assert isinstance(credits.take("read", "t"), Credit)


def test_a_tenant_uses_only_a_part_of_each_pool() -> None:
    credits = Credits(LIMITS)
    took = [credits.take("read", "a") for _ in range(9)]
    assert sum(isinstance(c, Credit) for c in took) == 8 and took[8] is Reason.TENANT_CREDIT
    assert isinstance(credits.take("read", "b"), Credit)
    assert isinstance(credits.take("report", "a"), Credit)


@given(
    st.lists(
        st.tuples(st.sampled_from("ab"), st.sampled_from(["read", "report"]), st.booleans(), st.booleans())
    )
)
def test_credits_in_use_match_those_held_after_any_steps(steps: list[tuple[str, str, bool, bool]]) -> None:
    credits, held = Credits(LIMITS), list[Credit]()
    for tenant, name, spill, back in steps:
        if back and held:
            credits.release(held.pop(len(held) // 2))
        else:
            c = credits.take(name, tenant, spill)
            if isinstance(c, Credit):
                held.append(c)
        assert credits.used == len(held) <= LIMITS.crossing
        assert credits.used_spills == sum(c.spill for c in held) <= credits.max_spills
        for pool in (credits.shared, *credits.reserved.values()):
            assert pool.used <= pool.limit and sum(pool.used_by_tenant.values()) == pool.used
    for c in held:
        credits.release(c)
    assert credits.used == 0 and not credits.shared.used_by_tenant and not credits.used_by_class


def test_retries_are_a_share_of_first_attempts() -> None:
    budget = RetryBudget(RetrySettings(share=0.1, depth=3))
    assert [budget.take() for _ in range(4)] == [True, True, True, False]
    for _ in range(100):
        budget.add_first_attempt()
    assert [budget.take() for _ in range(4)] == [True, True, True, False]
    taken = 0
    for _ in range(1000):
        budget.add_first_attempt()
        taken += budget.take()
    assert taken in (99, 100)


@given(st.lists(st.tuples(st.integers(0, 3_000_000), st.booleans()), max_size=60))
def test_spill_pauses_stay_within_their_bounds(steps: list[tuple[int, bool]]) -> None:
    spill_pause, now = SpillPause(), 0
    for wait, served in steps:
        now += wait
        before = spill_pause.not_before_us
        if served:
            spill_pause.record_served()
        else:
            spill_pause.record_refused(now)
            assert spill_pause.not_before_us >= before and spill_pause.not_before_us - now <= 2_000_000
