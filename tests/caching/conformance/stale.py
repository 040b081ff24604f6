"""Cases for RFC 9111, 4.2.4 and RFC 5861: when a stale response is served."""

from standins.conformance.case import Case, RequirementLevel, Response, Step, cache_control, forwarded_again

OPTIONAL = RequirementLevel.OPTIONAL
STALE_AGE = ("Age", "65")  # with max-age=60: stale for 5 s
UNAVAILABLE = Response(status=503, body="down")


def on_error(
    section: str,
    name: str,
    response_directives: str,
    is_stale_served: bool,
    status: int = 503,
    *request_fields: tuple[str, str],
) -> Case:
    """Builds a case in which the archive answers the validation of a stale response with a server error."""
    last = (
        Step(
            Response(status=status, body="down"),
            request_fields,
            expect_forwarded=True,
            expect_body="one",
            expect_status=200,
        )
        if is_stale_served
        else (
            Step(
                Response(status=status, body="down"),
                request_fields,
                expect_forwarded=True,
                expect_status=status,
            )
        )
    )
    return Case(
        section,
        name,
        (Step(cache_control(response_directives, STALE_AGE, ("ETag", '"1"'))), last),
        OPTIONAL if is_stale_served else RequirementLevel.REQUIRED,
    )


CASES: tuple[Case, ...] = (
    forwarded_again(
        "4.2.4",
        "a stale response is not served unless a directive allows it",
        cache_control("max-age=60", STALE_AGE, ("ETag", '"1"')),
    ),
    Case(
        "5.2.1.2",
        "max-stale allows any staleness",
        (
            Step(cache_control("max-age=60", STALE_AGE, ("ETag", '"1"'))),
            Step(fields=(("Cache-Control", "max-stale"),), expect_forwarded=False, expect_body_of_step=0),
        ),
        OPTIONAL,
    ),
    Case(
        "5.2.1.2",
        "max-stale with enough seconds",
        (
            Step(cache_control("max-age=60", STALE_AGE, ("ETag", '"1"'))),
            Step(fields=(("Cache-Control", "max-stale=100"),), expect_forwarded=False, expect_body_of_step=0),
        ),
        OPTIONAL,
    ),
    Case(
        "5.2.1.2",
        "max-stale with too few seconds",
        (
            Step(cache_control("max-age=60", STALE_AGE, ("ETag", '"1"'))),
            Step(cache_control("max-age=60"), (("Cache-Control", "max-stale=2"),), expect_forwarded=True),
        ),
    ),
    Case(
        "5.2.1.2",
        "max-stale that is not a number",
        (
            Step(cache_control("max-age=60", STALE_AGE, ("ETag", '"1"'))),
            Step(cache_control("max-age=60"), (("Cache-Control", "max-stale=some"),), expect_forwarded=True),
        ),
        OPTIONAL,
    ),
    *(
        Case(
            "4.2.4",
            f"max-stale does not override {response_directives}",
            (
                Step(cache_control(f"max-age=60, {response_directives}", STALE_AGE, ("ETag", '"1"'))),
                Step(
                    cache_control("max-age=60"), (("Cache-Control", "max-stale=100"),), expect_forwarded=True
                ),
            ),
        )
        for response_directives in ("must-revalidate", "proxy-revalidate", "s-maxage=60", "no-cache")
    ),
    Case(
        "5861 3",
        "stale-while-revalidate serves at once and validates in the background",
        (
            Step(cache_control("max-age=60, stale-while-revalidate=60", STALE_AGE, ("ETag", '"1"'))),
            Step(
                cache_control("max-age=60", ("ETag", '"1"'), status=304),
                expect_body_of_step=0,
                wait_for_requests=2,
            ),
        ),
        OPTIONAL,
    ),
    Case(
        "5861 3",
        "a response replaced in the background is fresh",
        (
            Step(cache_control("max-age=60, stale-while-revalidate=60", STALE_AGE, body="old")),
            Step(cache_control("max-age=60", body="new"), expect_body="old", wait_for_requests=2),
            Step(
                cache_control("max-age=60", body="newer"),
                expect_forwarded=False,
                expect_body="new",
                pause_s=0.3,
            ),
        ),
        OPTIONAL,
    ),
    forwarded_again(
        "5861 3",
        "stale-while-revalidate with too few seconds",
        cache_control("max-age=60, stale-while-revalidate=3", STALE_AGE),
    ),
    forwarded_again(
        "5861 3",
        "must-revalidate with stale-while-revalidate",
        cache_control("max-age=60, must-revalidate, stale-while-revalidate=60", STALE_AGE, ("ETag", '"1"')),
    ),
    forwarded_again(
        "5861 3",
        "stale-while-revalidate that is not a number",
        cache_control("max-age=60, stale-while-revalidate=long", STALE_AGE, ("ETag", '"1"')),
    ),
    *(
        on_error("5861 4", f"stale-if-error on {status}", "max-age=60, stale-if-error=600", True, status)
        for status in (500, 502, 503, 504)
    ),
    *(
        on_error("5861 4", f"without stale-if-error a {status} is passed on", "max-age=60", False, status)
        for status in (500, 502, 503, 504)
    ),
    on_error("5861 4", "stale-if-error with too few seconds", "max-age=60, stale-if-error=2", False),
    on_error(
        "5861 4",
        "must-revalidate with stale-if-error",
        "max-age=60, must-revalidate, stale-if-error=600",
        False,
    ),
    on_error(
        "5861 4",
        "proxy-revalidate with stale-if-error",
        "max-age=60, proxy-revalidate, stale-if-error=600",
        False,
    ),
    on_error(
        "5861 4",
        "stale-if-error in the request",
        "max-age=60",
        True,
        503,
        ("Cache-Control", "stale-if-error=600"),
    ),
    on_error(
        "5861 4",
        "stale-if-error in the request, with too few seconds",
        "max-age=60",
        False,
        503,
        ("Cache-Control", "stale-if-error=2"),
    ),
    Case(
        "5861 4",
        "a 404 is not an error for stale-if-error",
        (
            Step(cache_control("max-age=60, stale-if-error=600", STALE_AGE, ("ETag", '"1"'))),
            Step(Response(status=404, body="gone"), expect_forwarded=True, expect_status=404),
        ),
        OPTIONAL,
    ),
    Case(
        "5.2.2.2",
        "must-revalidate while the archive is unavailable is an error",
        (
            Step(cache_control("max-age=60, must-revalidate", STALE_AGE, ("ETag", '"1"'))),
            Step(UNAVAILABLE, expect_forwarded=True, expect_status=503),
        ),
    ),
    Case(
        "4.2.4",
        "a stale response has its Age",
        (
            Step(cache_control("max-age=60", STALE_AGE, ("ETag", '"1"'))),
            Step(
                fields=(("Cache-Control", "max-stale"),),
                expect_forwarded=False,
                expect_fields={"age": ">=65"},
            ),
        ),
        OPTIONAL,
    ),
)
