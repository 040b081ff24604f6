"""Cases for RFC 9111, 5.2, 5.4 and 5.5: directives of requests and responses, Pragma and Warning."""

from standins.conformance.case import (
    Case,
    RequirementLevel,
    Response,
    Step,
    cache_control,
    forwarded_again,
    reused,
)

OPTIONAL = RequirementLevel.OPTIONAL
CACHE_CONTROL = "Cache-Control"


def request_directive(
    name: str, value: str, expect_forwarded: bool, response: Response, level: RequirementLevel, section: str
) -> Case:
    """Builds a case whose second request has the Cache-Control `value`; `response` answers the first."""
    return Case(
        section,
        name,
        (
            Step(response),
            Step(cache_control("max-age=60"), ((CACHE_CONTROL, value),), expect_forwarded=expect_forwarded),
        ),
        level,
    )


FRESH = cache_control("max-age=600", ("ETag", '"1"'))
FRESH_WITH_AGE = cache_control("max-age=600", ("ETag", '"1"'), ("Age", "100"))
CASES: tuple[Case, ...] = (
    # Directives of requests.
    request_directive(
        "max-age below the age of the response", "max-age=50", True, FRESH_WITH_AGE, OPTIONAL, "5.2.1.1"
    ),
    request_directive(
        "max-age above the age of the response", "max-age=500", False, FRESH_WITH_AGE, OPTIONAL, "5.2.1.1"
    ),
    request_directive("max-age=0", "max-age=0", True, FRESH, OPTIONAL, "5.2.1.1"),
    request_directive("max-age that is not a number", "max-age=x", True, FRESH, OPTIONAL, "5.2.1.1"),
    request_directive(
        "min-fresh below the remaining freshness lifetime",
        "min-fresh=400",
        False,
        FRESH_WITH_AGE,
        OPTIONAL,
        "5.2.1.3",
    ),
    request_directive(
        "min-fresh above the remaining freshness lifetime",
        "min-fresh=550",
        True,
        FRESH_WITH_AGE,
        OPTIONAL,
        "5.2.1.3",
    ),
    request_directive(
        "min-fresh of a response that is no longer fresh",
        "min-fresh=1",
        True,
        cache_control("max-age=60", ("Age", "60")),
        OPTIONAL,
        "5.2.1.3",
    ),
    request_directive("no-cache", "no-cache", True, FRESH, RequirementLevel.REQUIRED, "5.2.1.4"),
    request_directive(
        "no-cache among others", "foo, No-Cache, bar=1", True, FRESH, RequirementLevel.REQUIRED, "5.2.1.4"
    ),
    request_directive("an unknown directive", "foo=bar", False, FRESH, OPTIONAL, "5.2.3"),
    request_directive("no-transform", "no-transform", False, FRESH, OPTIONAL, "5.2.1.6"),
    Case(
        "5.2.1.5",
        "a response to a request with no-store is not stored",
        (
            Step(cache_control("max-age=60"), ((CACHE_CONTROL, "no-store"),)),
            Step(cache_control("max-age=60"), expect_forwarded=True),
        ),
    ),
    Case(
        "5.2.1.5",
        "a request with no-store may be served a stored response",
        (Step(FRESH), Step(fields=((CACHE_CONTROL, "no-store"),), expect_forwarded=False)),
        OPTIONAL,
    ),
    Case(
        "5.2.1.7",
        "only-if-cached without a stored response",
        (
            Step(
                cache_control("max-age=60"),
                ((CACHE_CONTROL, "only-if-cached"),),
                expect_forwarded=False,
                expect_status=504,
            ),
        ),
        OPTIONAL,
    ),
    Case(
        "5.2.1.7",
        "only-if-cached with a stored response",
        (
            Step(FRESH),
            Step(fields=((CACHE_CONTROL, "only-if-cached"),), expect_forwarded=False, expect_status=200),
        ),
        OPTIONAL,
    ),
    Case(
        "5.2.1.7",
        "only-if-cached with a stale response",
        (
            Step(cache_control("max-age=0", ("ETag", '"1"'))),
            Step(fields=((CACHE_CONTROL, "only-if-cached"),), expect_forwarded=False, expect_status=504),
        ),
        OPTIONAL,
    ),
    Case(
        "5.2.1.7",
        "only-if-cached and max-stale",
        (
            Step(cache_control("max-age=60", ("Age", "70"), ("ETag", '"1"'))),
            Step(
                fields=((CACHE_CONTROL, "only-if-cached, max-stale"),),
                expect_forwarded=False,
                expect_status=200,
            ),
        ),
        OPTIONAL,
    ),
    Case(
        "5.2.1.4",
        "no-cache validates with the stored ETag",
        (
            Step(FRESH),
            Step(
                cache_control("max-age=600", ("ETag", '"1"'), status=304),
                ((CACHE_CONTROL, "no-cache"),),
                expect_forwarded=True,
                expect_forwarded_fields={"If-None-Match": '"1"'},
                expect_status=200,
                expect_body_of_step=0,
            ),
        ),
        OPTIONAL,
    ),
    Case(
        "5.4",
        "Pragma: no-cache",
        (Step(FRESH), Step(FRESH, (("Pragma", "no-cache"),), expect_forwarded=True)),
        OPTIONAL,
    ),
    Case(
        "5.4",
        "Pragma is ignored if there is Cache-Control",
        (
            Step(FRESH),
            Step(fields=(("Pragma", "no-cache"), (CACHE_CONTROL, "max-age=600")), expect_forwarded=False),
        ),
        OPTIONAL,
    ),
    Case(
        "5.4",
        "another Pragma is ignored",
        (Step(FRESH), Step(fields=(("Pragma", "x"),), expect_forwarded=False)),
        OPTIONAL,
    ),
    reused("5.4", "Pragma of a response is ignored", cache_control("max-age=60", ("Pragma", "no-cache"))),
    # Directives of responses.
    forwarded_again("5.2.2.5", "no-store", cache_control("no-store")),
    forwarded_again("5.2.2.5", "no-store with max-age", cache_control("max-age=60, no-store")),
    forwarded_again(
        "5.2.2.5", "no-store with public and s-maxage", cache_control("public, s-maxage=60, no-store")
    ),
    forwarded_again(
        "5.2.2.5",
        "no-store in a second field line",
        cache_control("max-age=60", ("Cache-Control", "no-store")),
    ),
    forwarded_again("5.2.2.5", "no-store with Expires", cache_control("no-store", ("Expires", "{now+60}"))),
    forwarded_again(
        "5.2.2.5", "no-store with an argument", cache_control("no-store=1, max-age=60"), level=OPTIONAL
    ),
    forwarded_again(
        "5.2.2.4", "no-cache with max-age", cache_control("max-age=60, no-cache", ("ETag", '"1"'))
    ),
    forwarded_again(
        "5.2.2.4", "no-cache with s-maxage", cache_control("s-maxage=60, no-cache", ("ETag", '"1"'))
    ),
    forwarded_again(
        "5.2.2.4",
        "no-cache with Expires",
        cache_control("no-cache", ("Expires", "{now+60}"), ("ETag", '"1"')),
    ),
    Case(
        "5.2.2.4",
        'no-cache="x-a" withholds that field',
        (
            Step(
                cache_control('max-age=60, no-cache="x-a"', ("X-A", "1"), ("X-B", "1")),
                expect_fields={"x-a": "1"},
            ),
            Step(expect_forwarded=False, expect_fields={"x-a": None, "x-b": "1"}),
        ),
        OPTIONAL,
    ),
    Case(
        "5.2.2.4",
        "no-cache=x-a as a token",
        (
            Step(cache_control("max-age=60, no-cache=x-a", ("X-A", "1"))),
            Step(cache_control("max-age=60"), expect_fields={"x-a": None}),
        ),
        OPTIONAL,
    ),
    Case(
        "5.2.2.4",
        "a field that no-cache names is not reused without validation",
        (
            Step(cache_control('max-age=60, no-cache="X-A, x-b"', ("X-A", "1"), ("X-B", "1"))),
            Step(cache_control("max-age=60"), expect_fields={"x-a": None, "x-b": None}),
        ),
    ),
    forwarded_again("5.2.2.7", "private", cache_control("private, max-age=60")),
    forwarded_again("5.2.2.7", "private with s-maxage", cache_control("private, s-maxage=60")),
    forwarded_again("5.2.2.7", "private with public", cache_control("private, public, max-age=60")),
    forwarded_again("5.2.2.7", "Private in mixed case", cache_control("PRIVATE, max-age=60")),
    Case(
        "5.2.2.7",
        'private="x-a" withholds that field',
        (
            Step(
                cache_control('max-age=60, private="x-a"', ("X-A", "1"), ("X-B", "1")),
                expect_fields={"x-a": "1"},
            ),
            Step(expect_forwarded=False, expect_fields={"x-a": None, "x-b": "1"}),
        ),
        OPTIONAL,
    ),
    Case(
        "5.2.2.7",
        "a private field is not sent to another client",
        (
            Step(cache_control('max-age=60, private="X-A"', ("X-A", "1"))),
            Step(cache_control("max-age=60"), expect_fields={"x-a": None}),
        ),
    ),
    forwarded_again(
        "5.2.2.7",
        "private with an empty list applies to the whole response",
        cache_control('private="", max-age=60'),
        level=OPTIONAL,
    ),
    forwarded_again(
        "5.2.2.7",
        "private with an unterminated quoted string",
        cache_control('max-age=60, private="x-a'),
        level=OPTIONAL,
    ),
    forwarded_again(
        "5.2",
        "an unterminated quoted string does not hide a directive",
        cache_control('max-age=60, foo="x, no-store'),
        level=OPTIONAL,
    ),
    reused(
        "5.2", "no-store inside a quoted argument is ignored", cache_control('max-age=60, foo="no-store"')
    ),
    reused("5.2", "a comma inside a quoted argument", cache_control('foo="a, no-store, b", max-age=60')),
    reused("5.2", "an escaped quote inside an argument", cache_control('foo="a\\", no-store", max-age=60')),
    reused("5.2.3", "unknown directives are ignored", cache_control("foo, max-age=60, bar=1")),
    reused("5.2", "empty list members", cache_control(", ,max-age=60,,")),
    reused("5.2", "whitespace around directives", cache_control("  max-age=60  ,  foo ")),
    reused("5.2", "max-age in a second field line", cache_control("foo", ("Cache-Control", "max-age=60"))),
    reused("5.2.2.6", "no-transform", cache_control("max-age=60, no-transform")),
    reused("5.2.2.9", "public", cache_control("public, max-age=60")),
    reused("5.2.2.2", "must-revalidate of a fresh response", cache_control("max-age=60, must-revalidate")),
    reused("5.2.2.8", "proxy-revalidate of a fresh response", cache_control("max-age=60, proxy-revalidate")),
    forwarded_again(
        "5.2.2.2",
        "must-revalidate of a stale response",
        cache_control("max-age=60, must-revalidate", ("Age", "61")),
    ),
    forwarded_again(
        "5.2.2.10",
        "s-maxage of a stale response",
        cache_control("s-maxage=60", ("Age", "61"), ("ETag", '"1"')),
    ),
    forwarded_again(
        "5.2.2.10", "s-maxage that is not a number", cache_control("max-age=60, s-maxage=x"), level=OPTIONAL
    ),
    forwarded_again(
        "5.2.2.4",
        "max-stale does not override no-cache",
        cache_control("no-cache, max-age=60", ("ETag", '"1"')),
        (),
        ((CACHE_CONTROL, "max-stale=600"),),
    ),
    Case(
        "5.5",
        "Warning is passed on like any other field",
        (
            Step(cache_control("max-age=60", ("Warning", '199 - "x"'))),
            Step(expect_forwarded=False, expect_fields={"warning": '199 - "x"'}),
        ),
        OPTIONAL,
    ),
)
