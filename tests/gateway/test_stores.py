"""Which stage takes the reports of a peer, by what is known of the stores of record of both ends."""

from __future__ import annotations

from pathlib import Path

import pytest

from magpiefront.gateway.store_identity import NO_STORE, StoreIdentity
from magpiefront.net.request import Request
from magpiefront.operator.compose import unique_group_name
from magpiefront.operator.file import load_operator_config
from tests.gateway.sites import Sites, run, sites, until

UNKNOWN, ONE, ANOTHER = StoreIdentity(True), StoreIdentity(True, "one"), StoreIdentity(True, "another")


class CountingStage:
    """Stands in for the stage that stores reports from other sites: counts them and answers 200."""

    def __init__(self) -> None:
        self.stored = 0

    def submit(self, r: Request) -> None:
        self.submit_from_site(r)

    def submit_from_site(self, r: Request) -> None:
        self.stored += 1
        r.responder.answer(r, 200, [b"stored"])

    def can_tell_if_run(self, r: Request) -> bool:
        return True

    def may_accept(self, r: Request) -> bool:
        return True

    def client_left(self, r: Request) -> None: ...
    def pause_response(self, r: Request) -> None: ...
    def resume_response(self, r: Request) -> None: ...


class Stores:
    """The store of each site, as its gateway knows it. Setting one takes effect at once."""

    def __init__(self, s: Sites, west: StoreIdentity, east: StoreIdentity) -> None:
        self.west, self.east, self.sites = west, east, s
        s.west.gateway.store = s.west.gateway.listener.store = lambda: self.west
        s.east.gateway.store = s.east.gateway.listener.store = lambda: self.east
        for link in s.west.gateway.stage.links.values():
            link.own_store = lambda: self.west
        s.east.gateway.listener.stage = self.stage = CountingStage()

    async def reconnect(self) -> None:
        """Makes both ends say hello again."""
        old = [c for link in self.sites.west.gateway.stage.links.values() for c in link.usable_connections()]
        for relay in self.sites.relays.values():
            relay.break_all()
        await until(lambda: all(c.closed for c in old) and self.sites.west.up, "new connections")

    async def is_stored(self) -> bool:
        """Sends a report from the west to the east. Returns whether the east's stage stored it."""
        before = self.stage.stored
        assert (await self.sites.get("west", "field-report")).status == 200
        return self.stage.stored > before


@pytest.mark.parametrize(
    ("west", "east", "is_stored"),
    [
        (NO_STORE, UNKNOWN, True),
        (UNKNOWN, UNKNOWN, True),
        (ONE, UNKNOWN, True),
        (NO_STORE, ONE, True),
        (UNKNOWN, ONE, True),
        (ANOTHER, ONE, True),
        (ONE, ONE, False),  # the report would wait for itself
    ],
)
def test_a_report_bypasses_the_store_only_if_both_ends_certainly_share_it(
    west: StoreIdentity, east: StoreIdentity, is_stored: bool
) -> None:
    async def main() -> None:
        async with sites() as s:
            stores = Stores(s, west, east)
            await stores.reconnect()
            assert await stores.is_stored() is is_stored

    run(main())


def test_what_was_decided_on_an_unknown_store_is_decided_again_once_it_is_known() -> None:
    async def main() -> None:
        async with sites() as s:
            stores = Stores(s, UNKNOWN, UNKNOWN)
            await stores.reconnect()
            stores.west = stores.east = ONE
            link = s.west.gateway.stage.links["east"]

            def has_told_all() -> bool:
                s.west.gateway.sweep()
                return s.west.up and all(c.told_store == b"one" for c in link.usable_connections())

            await until(has_told_all, "a hello with the store")
            assert not await stores.is_stored()

            # After a fail-over of the east's store the peer must not take it for the one before.
            stores.east, stores.west = ANOTHER, NO_STORE

            def has_heard_all() -> bool:
                s.west.gateway.sweep()
                s.east.gateway.sweep()
                return s.west.up and all(c.store == "another" for c in link.usable_connections())

            await until(has_heard_all, "an answer with the other store")
            assert await stores.is_stored()

    run(main())


def test_groups_of_two_sites_with_one_name_are_two_stores(tmp_path: Path) -> None:
    names = set()
    for site in ("west", "east"):
        file = tmp_path / f"{site}.toml"
        file.write_text(
            f'[site]\nname = "{site}"\n[group]\nname = "main"\nmember = "a"\npath = "g.sqlite"\n'
            'voters = ["a"]\ntls = { plain = true }\n[group.members]\na = "127.0.0.1:7643"\n'
        )
        names.add(unique_group_name(load_operator_config(file)))
    assert len(names) == 2
