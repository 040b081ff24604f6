"""Conformance cases: a client's requests, the archive's scripted responses, and what the cache must do."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

DAY = 86_400


class RequirementLevel(Enum):
    """How binding a case is (RFC 2119): only a failed required case makes the command fail."""

    REQUIRED = "required"  # a MUST of the standard
    OPTIONAL = "optional"  # a SHOULD, a MAY, or behaviour that users of a cache would like


@dataclass(frozen=True, slots=True)
class Response:
    """A response that the scripted archive sends.

    In field values `{now}`, `{now+60}` and `{now-60}` (in seconds) are replaced by HTTP dates.
    """

    status: int = 200
    fields: tuple[tuple[str, str], ...] = ()
    body: str = "one"
    add_date: bool = True  # adds a Date field if `fields` has none
    # Number of body bytes after which the connection is closed; of a chunked body only the last chunk (of
    # size 0) is left out, whatever the number. -1: the body is complete.
    truncate_at: int = -1
    declared_length: int = -1  # value of Content-Length; -1: the length of the body
    chunked: bool = False
    body_pause_s: float = 0.0  # between the two halves of the body


@dataclass(frozen=True, slots=True)
class Step:
    """One request of a client, and what is expected of its response. An expectation of None is not checked.

    In `expect_forwarded_fields` (of the request that the archive receives) and `expect_fields` (of the
    response that the client receives) each value is the whole field value, `~x` if it must contain x, `>=5`
    or `<=5` for a number, or None if the field must be absent. `expect_forwarded_fields` is not checked if
    the request does not reach the archive.
    """

    response: Response = field(default_factory=Response)  # of the archive, if the request is forwarded to it
    fields: tuple[tuple[str, str], ...] = ()
    method: str = "GET"
    suffix: str = ""  # appended to the path of the case
    body: str = ""
    expect_forwarded: bool | None = None  # whether the request must reach the archive, or must not
    expect_forwarded_fields: Mapping[str, str | None] = field(default_factory=dict)
    expect_status: int | None = None
    expect_body_of_step: int | None = None  # index of the step whose response body this one must repeat
    expect_body: str | None = None
    expect_fields: Mapping[str, str | None] = field(default_factory=dict)
    pause_s: float = 0.0  # before the request is sent
    # True: the client must be able to tell that the response is truncated, or get a status of 500 or more.
    expect_truncated: bool | None = None
    wait_for_requests: int = 0  # after the response, waits until the archive has received this many in all


@dataclass(frozen=True, slots=True)
class Case:
    """A sequence of requests for one path and its suffixes, which checks a section of the standard.

    `section` is a section of RFC 9111, or the number of another RFC and its section, such as `5861 3`.
    """

    section: str
    name: str
    steps: tuple[Step, ...]
    level: RequirementLevel = RequirementLevel.REQUIRED

    @property
    def title(self) -> str:
        return f"{self.section}: {self.name}"


def reused(
    section: str, name: str, response: Response, first_fields: tuple[tuple[str, str], ...] = (),
    second_fields: tuple[tuple[str, str], ...] = (), level: RequirementLevel = RequirementLevel.OPTIONAL,
) -> Case:  # fmt: skip
    """Builds a case whose second request should be answered with the stored response of the first."""
    return Case(
        section,
        name,
        (
            Step(response, first_fields),
            Step(response, second_fields, expect_forwarded=False, expect_body_of_step=0),
        ),
        level,
    )


def forwarded_again(
    section: str, name: str, response: Response, first_fields: tuple[tuple[str, str], ...] = (),
    second_fields: tuple[tuple[str, str], ...] = (), level: RequirementLevel = RequirementLevel.REQUIRED,
) -> Case:  # fmt: skip
    """Builds a case whose second request must be forwarded to the archive, as a new or a validating one."""
    return Case(
        section,
        name,
        (Step(response, first_fields), Step(response, second_fields, expect_forwarded=True)),
        level,
    )


def cache_control(value: str, *more_fields: tuple[str, str], **response_arguments: object) -> Response:
    """Builds a response with this Cache-Control; `response_arguments` are other arguments of Response."""
    return Response(fields=(("Cache-Control", value), *more_fields), **response_arguments)  # type: ignore[arg-type]
