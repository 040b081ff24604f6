"""A slow archive: the origin of one site's readings and reports, which counts effects by key."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass
class Archive:
    """Serves `places` at a time, each in `time_s`; the rest wait in turn. `effects` counts what each report
    did: under its Idempotency-Key, else under its request id."""

    site: str
    time_s: float = 0.01
    places: int = 4
    window_s: float = 30.0
    drops_repeats: bool = True
    effects: dict[str, int] = field(default_factory=dict)
    reads: int = 0
    busy: int = 0
    most_waiting: int = 0
    seen: dict[str, float] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.gate = asyncio.Semaphore(self.places)

    async def _serve(self) -> None:
        self.busy += 1
        self.most_waiting = max(self.most_waiting, self.busy)
        try:
            async with self.gate:
                await asyncio.sleep(self.time_s)
        finally:
            self.busy -= 1

    async def read(self, key: str) -> str:
        self.reads += 1
        await self._serve()
        return f"{self.site}/{key}/{self.versions.get(key, 0)}"

    async def write(self, key: str, once: str | None, name: str) -> str:
        """A report on `key`. With `once` (its Idempotency-Key), a repeat within the window does nothing."""
        now = asyncio.get_running_loop().time()
        effect = once or name
        if once is not None and self.drops_repeats:
            if now - self.seen.get(once, float("-inf")) < self.window_s:
                return f"{self.site}/{key}/held"
            self.seen[once] = now
        # Counted as it begins: what breaks off later may have had its effect.
        self.effects[effect] = self.effects.get(effect, 0) + 1
        self.versions[key] = self.versions.get(key, 0) + 1
        await self._serve()
        return f"{self.site}/{key}/held"
