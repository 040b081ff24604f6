"""The request counters of a proxy, and the text form of its metrics.

Each request of a class counts as received once it has been read whole, and ends exactly once, as `ok`, `shed`
or `errors`. A request that was received and has not ended is active, so that at every moment
received = ok + shed + errors + active.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

PREFIX = "svc_"


def metric_lines(group: str, values: Mapping[str, int]) -> str:
    """Returns the metrics of one part of the program, one line for each: `svc_<group>_<name> <value>`."""
    return "".join(f"{PREFIX}{group}_{name} {n}\n" for name, n in values.items())


class RequestCounts:
    """The counters of one class of requests since the process started. `tries` counts the attempts whose
    message has been written completely."""

    __slots__ = ("errors", "ok", "received", "shed", "tries")

    def __init__(self) -> None:
        self.received = self.ok = self.shed = self.errors = self.tries = 0

    def end(self, status: int) -> None:
        """Counts a request that ended with a response of this status."""
        if status < 400:
            self.ok += 1
        elif status == 503 or status == 429:
            self.shed += 1
        else:
            self.errors += 1

    @property
    def active(self) -> int:
        """The number of requests that have been received and have not ended."""
        return self.received - self.ok - self.shed - self.errors


# Counts requests that no client of this process sent: those that a stage sends itself, and those of another
# site. They appear in no metric.
UNREPORTED_COUNTS = RequestCounts()


class Metrics:
    """The counters of all classes. A class that a new configuration drops keeps its counters."""

    def __init__(self, classes: Iterable[bytes] = ()) -> None:
        self.by_class: dict[bytes, RequestCounts] = {}
        self.configs_applied = self.configs_rejected = 0
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[bytes]) -> None:
        """Adds counters for those classes that have none."""
        for name in classes:
            self.by_class.setdefault(name, RequestCounts())

    def counts_for(self, name: bytes) -> RequestCounts:
        """Returns the counters of a class, and adds them first if there are none."""
        found = self.by_class.get(name)
        if found is None:
            found = self.by_class[name] = RequestCounts()
        return found

    def loop_text(self, longest_turn_ms: int, list_age_ms: int) -> str:
        """Returns the lines about the longest time for which the event loop was blocked and about the age of
        the latest message of discovery, both in milliseconds."""
        return metric_lines("loop", {"longest_turn_ms": longest_turn_ms}) + metric_lines(
            "list", {"age_ms": list_age_ms}
        )

    def text(self, listed: int, avoided: int) -> str:
        """The counters of each class as `svc_<name>{kind="<class>"} <value>`, then those of the process.
        `listed` and `avoided` are numbers of cache nodes."""
        lines = []
        for counter in ("ok", "shed", "errors", "tries"):
            for name, counts in self.by_class.items():
                kind = name.decode("latin-1").replace("\\", r"\\").replace('"', r"\"")
                lines.append(f'{PREFIX}{counter}{{kind="{kind}"}} {getattr(counts, counter)}')
        totals = {
            "active": sum(c.active for c in self.by_class.values()), "pool_size": listed,
            "pool_ejected": avoided,
            "config_applied": self.configs_applied, "config_rejected": self.configs_rejected,
        }  # fmt: skip
        lines += [f"{PREFIX}{counter} {value}" for counter, value in totals.items()]
        return "".join(line + "\n" for line in lines)
