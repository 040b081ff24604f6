"""Cases for RFC 9111, 4.4: which stored responses an unsafe method invalidates."""

from standins.conformance.case import Case, RequirementLevel, Response, Step, cache_control

OPTIONAL = RequirementLevel.OPTIONAL
STORED = Step(cache_control("max-age=600", body="old"))
REFETCHED = Step(cache_control("max-age=600", body="new"), expect_forwarded=True, expect_body="new")


def invalidates_target(method: str, status: int, level: RequirementLevel, *fields: tuple[str, str]) -> Case:
    """Builds a case in which a method that is answered with this status invalidates its target."""
    response = Response(status=status, fields=fields, body="" if status == 204 else "done")
    return Case(
        "4.4",
        f"{method} answered {status} invalidates its target",
        (
            STORED,
            Step(response, method=method, body="r", expect_forwarded=True, expect_status=status),
            REFETCHED,
        ),
        level,
    )


def invalidates_reference(
    field_name: str, reference: str, method: str = "PUT", level: RequirementLevel = OPTIONAL
) -> Case:
    """Builds a case in which a field of the response invalidates the stored response that it refers to.

    `reference` is relative to the target, which is `/a` below the path of the case; the stored response is at
    `/b` there.
    """
    return Case(
        "4.4",
        f"{field_name}: {reference} of {method} invalidates the response that it refers to",
        (
            Step(cache_control("max-age=600", body="old"), suffix="/b"),
            Step(
                Response(status=201, fields=((field_name, reference),)),
                method=method,
                body="r",
                suffix="/a",
                expect_forwarded=True,
            ),
            Step(cache_control("max-age=600", body="new"), suffix="/b", expect_forwarded=True),
        ),
        level,
    )


def ignores_other_origin(field_name: str, reference: str) -> Case:
    """Builds a case in which the field refers to another origin, and therefore invalidates nothing.

    The stored response is at the last three characters of `reference`, below the path of the case.
    """
    return Case(
        "4.4",
        f"{field_name}: {reference} refers to another origin and invalidates nothing",
        (
            Step(cache_control("max-age=600", body="old"), suffix=f"/{reference[-3:]}"),
            Step(
                Response(status=201, fields=((field_name, reference),)),
                method="PUT",
                body="r",
                suffix="/a",
                expect_forwarded=True,
            ),
            Step(
                cache_control("max-age=600", body="new"), suffix=f"/{reference[-3:]}", expect_forwarded=False
            ),
        ),
        OPTIONAL,
    )


CASES: tuple[Case, ...] = (
    *(
        invalidates_target(method, status, RequirementLevel.REQUIRED)
        for method in ("PUT", "POST", "DELETE", "PATCH")
        for status in (200, 201, 204, 303)
    ),
    # Required by this proxy and not by the standard, which asks for no invalidation after an error status: a
    # report whose outcome is unknown invalidates too.
    *(invalidates_target("PUT", status, OPTIONAL) for status in (400, 404, 409, 500, 502)),
    *(
        invalidates_reference(field_name, "b", method)
        for field_name in ("Location", "Content-Location")
        for method in ("PUT", "POST")
    ),
    invalidates_reference("Location", "./b"),
    ignores_other_origin("Location", "http://other.test/one"),
    ignores_other_origin("Content-Location", "http://other.test/two"),
    ignores_other_origin("Location", "https://conformance.test/six"),
    Case(
        "4.4",
        "a safe method invalidates nothing",
        (
            STORED,
            Step(Response(body=""), method="OPTIONS", expect_forwarded=True),
            Step(expect_forwarded=False, expect_body="old"),
        ),
        OPTIONAL,
    ),
    Case(
        "4.4",
        "HEAD invalidates nothing",
        (STORED, Step(method="HEAD"), Step(expect_forwarded=False, expect_body="old")),
        OPTIONAL,
    ),
    Case(
        "4",
        "an unsafe method is forwarded each time",
        (
            STORED,
            Step(Response(body="done"), method="POST", body="r", expect_forwarded=True, expect_body="done"),
            Step(Response(body="again"), method="POST", body="r", expect_forwarded=True, expect_body="again"),
        ),
    ),
    Case(
        "4",
        "PUT is never answered with a stored response",
        (
            Step(cache_control("max-age=600", body="held"), method="PUT", body="r", expect_forwarded=True),
            Step(cache_control("max-age=600", body="held"), method="PUT", body="r", expect_forwarded=True),
        ),
    ),
    Case(
        "4.4",
        "all variants of a target are invalidated",
        (
            Step(cache_control("max-age=600", ("Vary", "Foo"), body="1"), (("Foo", "1"),)),
            Step(cache_control("max-age=600", ("Vary", "Foo"), body="2"), (("Foo", "2"),)),
            Step(Response(), method="PUT", body="r", expect_forwarded=True),
            Step(
                cache_control("max-age=600", ("Vary", "Foo"), body="3"),
                (("Foo", "1"),),
                expect_forwarded=True,
            ),
            Step(
                cache_control("max-age=600", ("Vary", "Foo"), body="4"),
                (("Foo", "2"),),
                expect_forwarded=True,
            ),
        ),
    ),
    Case(
        "4.4",
        "max-stale does not allow the use of an invalidated response",
        (
            STORED,
            Step(Response(), method="PUT", body="r", expect_forwarded=True),
            Step(
                cache_control("max-age=600", body="new"),
                (("Cache-Control", "max-stale"),),
                expect_forwarded=True,
            ),
        ),
    ),
    Case(
        "4.4",
        "an invalidated response is not served on an error",
        (
            Step(cache_control("max-age=600, stale-if-error=600", body="old")),
            Step(Response(), method="PUT", body="r", expect_forwarded=True),
            Step(Response(status=503, body="down"), expect_forwarded=True, expect_status=503),
        ),
    ),
)
