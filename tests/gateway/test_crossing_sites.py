"""Tests with two sites on loopback: requests are served by the site of their key."""

from __future__ import annotations

import asyncio

from tests.gateway.sites import run, sites, until


def test_each_key_is_served_by_its_site() -> None:
    async def main() -> None:
        async with sites() as s:
            for at in ("west", "east"):
                for key in ("w-1", "e-1"):
                    for kind in ("level-read", "field-report", "once"):
                        a = await s.get(at, kind, key)
                        home = "west" if key.startswith("w") else "east"
                        assert a.status == 200 and a.answers[0][2].startswith(f"{home}/{key}".encode())
            assert s.west.count("crossed") == s.east.count("crossed") == 3
            assert s.west.gateway.routes.credits.used == s.west.gateway.listener.credits.used == 0
            assert not s.west.gateway.listener.open_requests and not s.west.gateway.stage.forwarded

    run(main())


def test_many_concurrent_requests() -> None:
    async def main() -> None:
        async with sites(delay_s=0.005) as s:

            async def final_status(key: str) -> int:
                """Sends a read, again after each 503, and returns the last status. 503 is the answer while
                the event loop lags on a busy machine (`net/lag.py`)."""
                for _ in range(100):
                    status = (await s.get("west", key=key)).status
                    if status != 503:
                        break
                    await asyncio.sleep(0.05)
                return status

            statuses = await asyncio.gather(*(final_status(f"e-{i % 50}") for i in range(200)))
            assert set(statuses) == {200}
            long = await asyncio.gather(*(s.get("west", key=f"e-{i}~300000") for i in range(3)))
            assert [(a.status, len(a.answers[0][2])) for a in long] == [(200, 300_000)] * 3
            await until(lambda: not s.east.gateway.listener.busy)

    run(main())
