"""Steps this process's wall clock. `WALL_CLOCK_STEPS` holds `after:by` pairs in seconds, separated by commas.

Python imports this module before the program if its folder is on the path. Each step is made `after` seconds
after that import. Monotonic clocks are unchanged.
"""

import os
import time

_STARTED_AT = time.monotonic()
_PAIRS = [pair.partition(":") for pair in os.environ.get("WALL_CLOCK_STEPS", "").split(",") if pair]
_STEPS = [(float(after), float(by)) for after, _, by in _PAIRS]
_real_time, _real_time_ns = time.time, time.time_ns


def _offset_s() -> float:
    elapsed_s = time.monotonic() - _STARTED_AT
    return sum(by for after, by in _STEPS if after <= elapsed_s)


if _STEPS:
    time.time = lambda: _real_time() + _offset_s()
    time.time_ns = lambda: _real_time_ns() + int(_offset_s() * 1e9)
