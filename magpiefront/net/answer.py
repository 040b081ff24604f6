"""What has come of a node's answer, and when that is no answer at all."""

from __future__ import annotations

from magpiefront.interface import Outcome


def read_report(value: bytes) -> dict[str, float] | None:
    """A load report, `inflight=7,queue=2`; what is no figure is left out."""
    report: dict[str, float] = {}
    for part in value.decode("latin-1").split(","):
        name, _, figure = part.partition("=")
        try:
            report[name.strip()] = float(figure)
        except ValueError:
            continue
    return report or None


class Spoilt(Exception):
    """An answer that a parser accepts and no cache node means."""


class Answer:
    """What has come of a node's answer."""

    __slots__ = ("body", "content_type", "declined", "length", "note", "report", "size", "status")

    def __init__(self) -> None:
        self.status = self.note = self.size = 0
        self.declined = False
        self.length: int | None = None
        self.content_type = b""
        self.report: dict[str, float] | None = None
        self.body: list[bytes] = []

    def outcome(self) -> Outcome:
        if self.status == 200:
            return Outcome.OK
        return Outcome.FULL if self.declined and self.status in (503, 504) else Outcome.ERROR
