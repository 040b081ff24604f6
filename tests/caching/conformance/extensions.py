"""Cases for RFC 8246 (immutable), RFC 9211 (Cache-Status) and RFC 9213 (targeted cache control)."""

from standins.conformance.case import Case, RequirementLevel, Step, cache_control, forwarded_again, reused

OPTIONAL = RequirementLevel.OPTIONAL
TARGETED_FIELD = "CDN-Cache-Control"


def cache_status(name: str, *steps: Step) -> Case:
    """Builds a case for the Cache-Status field, which is optional."""
    return Case("9211 2", name, steps, OPTIONAL)


ETAG = ("ETag", '"1"')
CASES: tuple[Case, ...] = (
    Case(
        "8246 2",
        "a reload of a fresh immutable response",
        (
            Step(cache_control("max-age=600, immutable")),
            Step(fields=(("Cache-Control", "max-age=0"),), expect_forwarded=False),
        ),
        OPTIONAL,
    ),
    Case(
        "8246 2",
        "no-cache of an immutable response",
        (
            Step(cache_control("max-age=600, immutable")),
            Step(cache_control("max-age=60"), (("Cache-Control", "no-cache"),), expect_forwarded=True),
        ),
    ),
    forwarded_again(
        "8246 2",
        "an immutable response that is no longer fresh",
        cache_control("max-age=60, immutable", ("Age", "61"), ETAG),
    ),
    cache_status(
        "a miss", Step(cache_control("max-age=60"), expect_fields={"cache-status": "~fwd=uri-miss"})
    ),
    cache_status(
        "a miss whose response is stored",
        Step(cache_control("max-age=60"), expect_fields={"cache-status": "~;stored"}),
    ),
    cache_status(
        "a hit",
        Step(cache_control("max-age=60")),
        Step(expect_forwarded=False, expect_fields={"cache-status": "~;hit"}),
    ),
    cache_status(
        "a hit reports its ttl",
        Step(cache_control("max-age=600", ("Age", "100"))),
        Step(expect_forwarded=False, expect_fields={"cache-status": "~ttl=499"}),
    ),
    cache_status(
        "a validation",
        Step(cache_control("max-age=0", ETAG)),
        Step(
            cache_control("max-age=60", ETAG, status=304),
            expect_fields={"cache-status": "~fwd=stale;fwd-status=304"},
        ),
    ),
    cache_status(
        "another variant",
        Step(cache_control("max-age=60", ("Vary", "Foo"))),
        Step(
            cache_control("max-age=60", ("Vary", "Foo")),
            (("Foo", "1"),),
            expect_fields={"cache-status": "~fwd=vary-miss"},
        ),
    ),
    cache_status(
        "a request with no-cache",
        Step(cache_control("max-age=60")),
        Step(
            cache_control("max-age=60"),
            (("Cache-Control", "no-cache"),),
            expect_fields={"cache-status": "~fwd=request"},
        ),
    ),
    cache_status(
        "an unsafe method",
        Step(
            cache_control("max-age=60"), method="PUT", body="r", expect_fields={"cache-status": "~fwd=method"}
        ),
    ),
    cache_status(
        "a stale response has a negative ttl",
        Step(cache_control("max-age=60", ("Age", "70"), ETAG)),
        Step(
            fields=(("Cache-Control", "max-stale"),),
            expect_forwarded=False,
            expect_fields={"cache-status": "~ttl=-"},
        ),
    ),
    cache_status(
        "the value of another cache stays first",
        Step(
            cache_control("max-age=60", ("Cache-Status", "Inner; hit")),
            expect_fields={"cache-status": "~Inner; hit, "},
        ),
    ),
    cache_status(
        "a miss whose response is not stored",
        Step(cache_control("no-store"), expect_fields={"cache-status": "~fwd=uri-miss"}),
    ),
    # Targeted fields.
    reused(
        "9213 2",
        "CDN-Cache-Control takes precedence over Cache-Control",
        cache_control("no-store", (TARGETED_FIELD, "max-age=60")),
    ),
    reused(
        "9213 2",
        "CDN-Cache-Control takes precedence over Expires",
        cache_control("max-age=0", (TARGETED_FIELD, "max-age=60"), ("Expires", "{now-60}")),
    ),
    forwarded_again(
        "9213 2", "CDN-Cache-Control: no-store", cache_control("max-age=60", (TARGETED_FIELD, "no-store"))
    ),
    forwarded_again(
        "9213 2", "CDN-Cache-Control: max-age=0", cache_control("max-age=60", (TARGETED_FIELD, "max-age=0"))
    ),
    forwarded_again(
        "9213 2",
        "CDN-Cache-Control: private",
        cache_control("max-age=60", (TARGETED_FIELD, "private, max-age=60")),
    ),
    forwarded_again(
        "9213 2",
        "Expires is ignored if there is CDN-Cache-Control",
        cache_control("max-age=60", (TARGETED_FIELD, "foo"), ("Expires", "{now+60}")),
    ),
    reused(
        "9213 2.1",
        "an invalid targeted field is ignored",
        cache_control("max-age=60", (TARGETED_FIELD, "no-store, !")),
    ),
    reused(
        "9213 2.1", "an empty targeted field is ignored", cache_control("max-age=60", (TARGETED_FIELD, ""))
    ),
    forwarded_again(
        "9213 2.1",
        "a max-age that is not an Integer makes the response stale",
        cache_control("max-age=60", (TARGETED_FIELD, 'max-age="x"')),
        level=OPTIONAL,
    ),
    reused(
        "9213 2.1",
        "parameters of members are ignored",
        cache_control("no-store", (TARGETED_FIELD, "max-age=60;a=b")),
    ),
    reused(
        "9213 2.1",
        "two field lines are one Dictionary",
        cache_control("no-store", (TARGETED_FIELD, "foo"), (TARGETED_FIELD, "max-age=60")),
    ),
    reused(
        "9213 2.1",
        "the last value of a repeated key is used",
        cache_control("no-store", (TARGETED_FIELD, "max-age=0, max-age=60")),
    ),
    forwarded_again(
        "9213 2.1",
        "a directive name in capitals makes the field invalid",
        cache_control("no-store", (TARGETED_FIELD, "MAX-AGE=60")),
    ),
    Case(
        "9213 3.1",
        "CDN-Cache-Control is passed on",
        (
            Step(cache_control("max-age=60", (TARGETED_FIELD, "max-age=90"))),
            Step(expect_forwarded=False, expect_fields={TARGETED_FIELD.lower(): "max-age=90"}),
        ),
        OPTIONAL,
    ),
    reused(
        "9213 2",
        "a field for another target is ignored",
        cache_control("max-age=60", ("Other-Cache-Control", "no-store")),
    ),
)
