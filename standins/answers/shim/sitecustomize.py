"""Steps this process's wall clock: `WALL_CLOCK_STEPS` holds `after:by` pairs in seconds, comma separated.

Loaded by Python itself where this folder is on the path, before the program. Monotonic clocks are left alone.
"""

import os
import time

_BEGAN = time.monotonic()
_PAIRS = [pair.partition(":") for pair in os.environ.get("WALL_CLOCK_STEPS", "").split(",") if pair]
_STEPS = [(float(after), float(by)) for after, _, by in _PAIRS]
_real_time, _real_time_ns = time.time, time.time_ns


def _stepped() -> float:
    passed = time.monotonic() - _BEGAN
    return sum(by for after, by in _STEPS if after <= passed)


if _STEPS:
    time.time = lambda: _real_time() + _stepped()
    time.time_ns = lambda: _real_time_ns() + int(_stepped() * 1e9)
