"""A stand-in for a site's archive, the slow origin of its readings and reports; it counts effects."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass
class Archive:
    """Serves `concurrency` requests at a time, each in `service_time_s`; the rest wait in turn. `effects`
    counts the effects of each report: by its Idempotency-Key, or by its request id if it has none. A report
    with the Idempotency-Key of one that began less than `dedup_window_s` ago has no effect, unless
    `deduplicates` is off."""

    site: str
    service_time_s: float = 0.01
    concurrency: int = 4
    dedup_window_s: float = 30.0
    deduplicates: bool = True
    effects: dict[str, int] = field(default_factory=dict)
    reads: int = 0
    in_flight: int = 0  # requests that are served or wait
    max_in_flight: int = 0
    seen_at: dict[str, float] = field(default_factory=dict)  # time of the last effect (s), by Idempotency-Key
    versions: dict[str, int] = field(default_factory=dict)  # number of reports, by key

    def __post_init__(self) -> None:
        self.semaphore = asyncio.Semaphore(self.concurrency)

    async def _serve(self) -> None:
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        try:
            async with self.semaphore:
                await asyncio.sleep(self.service_time_s)
        finally:
            self.in_flight -= 1

    async def read(self, key: str) -> str:
        """Returns the reading of `key` as "site/key/version"."""
        self.reads += 1
        await self._serve()
        return f"{self.site}/{key}/{self.versions.get(key, 0)}"

    async def write(self, key: str, idempotency_key: str | None, request_id: str) -> str:
        """Runs a report on `key` unless it is a duplicate, and returns the confirmation."""
        now = asyncio.get_running_loop().time()
        effect = idempotency_key or request_id
        if idempotency_key is not None and self.deduplicates:
            if now - self.seen_at.get(idempotency_key, float("-inf")) < self.dedup_window_s:
                return f"{self.site}/{key}/held"
            self.seen_at[idempotency_key] = now
        # Counted at the start: a report that is interrupted later may have had its effect.
        self.effects[effect] = self.effects.get(effect, 0) + 1
        self.versions[key] = self.versions.get(key, 0) + 1
        await self._serve()
        return f"{self.site}/{key}/held"
