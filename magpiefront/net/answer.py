"""A node's answer, as far as it has been read."""

from __future__ import annotations

from magpiefront.interface import Outcome


def parse_load_report(value: bytes) -> dict[str, float] | None:
    """Parses a load report such as `inflight=7,queue=2`. Parts that are not numbers are skipped.
    Returns None if nothing is left."""
    report: dict[str, float] = {}
    for part in value.decode("latin-1").split(","):
        name, _, number = part.partition("=")
        try:
            report[name.strip()] = float(number)
        except ValueError:
            continue
    return report or None


class InvalidAnswer(Exception):
    """An answer that the parser accepts, but that no working cache node sends, such as one above a limit."""


class Answer:
    """A node's answer, as far as it has been read.

    `status` is 0 until the head has been read; `cache_result` is 1 for a hit, 2 for a miss, 3 for a miss
    while the key was being fetched and 0 if the node does not say; `size` is the number of body bytes
    read and `length` the Content-Length, both in bytes; `declined` is set if the node has refused the request
    without running it; `report` is the node's load report, if it sent one.
    """

    __slots__ = ("body", "cache_result", "content_type", "declined", "length", "report", "size", "status")

    def __init__(self) -> None:
        self.status = self.cache_result = self.size = 0
        self.declined = False
        self.length: int | None = None
        self.content_type = b""
        self.report: dict[str, float] | None = None
        self.body: list[bytes] = []

    def outcome(self) -> Outcome:
        """Returns OK for status 200, FULL for a refusal that proves that the request did not run, else
        ERROR."""
        if self.status == 200:
            return Outcome.OK
        return Outcome.FULL if self.declined and self.status in (503, 504) else Outcome.ERROR
