"""A case: what a client asks, what the archive answers, and what must come of it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

DAY = 86_400


class Need(Enum):
    """What a failed case means."""

    REQUIRED = "required"  # a MUST of the standard
    OPTIONAL = "optional"  # a SHOULD, a MAY, or what users of a cache would wish


@dataclass(frozen=True, slots=True)
class Reply:
    """`{now}` and `{now-60}` in `fields` become dates; `Date` is added unless `date` is
    false. `cut` breaks the connection after so many bytes of the body; `length` lies about it."""

    status: int = 200
    fields: tuple[tuple[str, str], ...] = ()
    body: str = "one"
    date: bool = True
    cut: int = -1
    length: int = -1
    chunked: bool = False
    slow_s: float = 0.0  # a pause in the middle of the body


@dataclass(frozen=True, slots=True)
class Step:
    """One request, and what must hold of its answer. None: whatever.

    `reaches`: must it come to the archive? `sends`: fields that the archive must see, or with None must not;
    `status`, `expect_body`: of the answer; `has`: fields of the answer, or with None ones that it must not
    have. A value `~x` must contain x; `>=5` is a number. `same`: must the body be that of this step?"""

    reply: Reply = field(default_factory=Reply)
    fields: tuple[tuple[str, str], ...] = ()
    method: str = "GET"
    suffix: str = ""  # to the case's path
    body: str = ""
    reaches: bool | None = None
    sends: Mapping[str, str | None] = field(default_factory=dict)
    status: int | None = None
    same: int | None = None
    expect_body: str | None = None
    has: Mapping[str, str | None] = field(default_factory=dict)
    pause_s: float = 0.0  # before it
    broken: bool | None = None  # must its client be able to tell that it is not whole?
    awaits: int = 0  # then wait until the archive has seen so many requests in all


@dataclass(frozen=True, slots=True)
class Case:
    """`section` is of RFC 9111, or another one's number before it, as `5861 3`."""

    section: str
    name: str
    steps: tuple[Step, ...]
    need: Need = Need.REQUIRED

    @property
    def title(self) -> str:
        return f"{self.section}: {self.name}"


def kept(
    section: str, name: str, reply: Reply, first: tuple[tuple[str, str], ...] = (),
    then: tuple[tuple[str, str], ...] = (), need: Need = Need.OPTIONAL,
) -> Case:  # fmt: skip
    """The second request should be answered without the archive."""
    return Case(section, name, (Step(reply, first), Step(reply, then, reaches=False, same=0)), need)


def asked_again(
    section: str, name: str, reply: Reply, first: tuple[tuple[str, str], ...] = (),
    then: tuple[tuple[str, str], ...] = (), need: Need = Need.REQUIRED,
) -> Case:  # fmt: skip
    """The second request must come to the archive."""
    return Case(section, name, (Step(reply, first), Step(reply, then, reaches=True)), need)


def cc(value: str, *more: tuple[str, str], **other: object) -> Reply:
    return Reply(fields=(("Cache-Control", value), *more), **other)  # type: ignore[arg-type]
