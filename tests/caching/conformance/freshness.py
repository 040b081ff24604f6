"""Cases for RFC 9111, 4.2: freshness and age."""

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


def expires(value: str, *more_fields: tuple[str, str]) -> Response:
    """Builds a response with this Expires."""
    return Response(fields=(("Expires", value), *more_fields))


CASES: tuple[Case, ...] = (
    reused("4.2.1", "max-age", cache_control("max-age=60")),
    reused("4.2.1", "s-maxage", cache_control("s-maxage=60")),
    reused("4.2.1", "Expires in the future", expires("{now+60}")),
    reused("4.2.1", "Expires in the future with a Date", expires("{now+3600}", ("Date", "{now}"))),
    forwarded_again("4.2.1", "max-age=0", cache_control("max-age=0")),
    forwarded_again("4.2.1", "s-maxage=0 overrides max-age", cache_control("max-age=60, s-maxage=0")),
    reused("4.2.1", "s-maxage overrides max-age=0", cache_control("max-age=0, s-maxage=60")),
    reused("4.2.1", "s-maxage overrides Expires", cache_control("s-maxage=60", ("Expires", "{now-60}"))),
    reused("4.2.1", "max-age overrides Expires", cache_control("max-age=60", ("Expires", "{now-60}"))),
    forwarded_again(
        "4.2.1", "max-age=0 overrides Expires", cache_control("max-age=0", ("Expires", "{now+60}"))
    ),
    forwarded_again("4.2.1", "Expires equal to Date", expires("{now}", ("Date", "{now}"))),
    forwarded_again("4.2.1", "Expires before Date", expires("{now-60}")),
    forwarded_again(
        "4.2.1", "Expires is relative to Date", expires("{now-10}", ("Date", "{now-3600}"), ("Age", "3600"))
    ),
    *(
        forwarded_again("5.3", f"Expires: {value!r} is invalid or in the past", expires(value))
        for value in (
            "0",
            "-1",
            "soon",
            "Thu, 01 Jan 1970 00:00:00 GMT",
            "Fri, 32 Dec 2100 00:00:00 GMT",
            "Fri, 01 Jan 2100 25:00:00 GMT",
            "2100-01-01T00:00:00Z",
            "",
        )
    ),
    *(
        forwarded_again(
            "4.2",
            f"Expires in the zone {time_zone} is invalid",
            expires(f"Fri, 01 Jan 2100 00:00:00 {time_zone}"),
            level=OPTIONAL,
        )
        for time_zone in ("EST", "+0100", "PST")
    ),
    *(
        reused("4.2", f"Expires as {date_format}", expires(value))
        for date_format, value in (
            ("IMF-fixdate", "Fri, 01 Jan 2100 00:00:00 GMT"),
            ("asctime", "Fri Jan  1 00:00:00 2100"),
            ("IMF-fixdate in unusual case", "fri, 01 jan 2100 00:00:00 gmt"),
        )
    ),
    reused("4.2", "Expires as RFC 850", expires("Tuesday, 01-Jan-30 00:00:00 GMT")),
    forwarded_again(
        "4.2.1",
        "two Expires fields with different dates",
        expires("{now+60}", ("Expires", "{now+90}")),
        level=OPTIONAL,
    ),
    forwarded_again(
        "4.2.1",
        "max-age twice, with a smaller second value",
        cache_control("max-age=60, max-age=0"),
        level=OPTIONAL,
    ),
    forwarded_again(
        "4.2.1",
        "max-age twice, with a larger second value",
        cache_control("max-age=0, max-age=60"),
        level=OPTIONAL,
    ),
    reused("4.2.1", "max-age twice, with the same value", cache_control("max-age=60, max-age=60")),
    *(
        forwarded_again(
            "4.2.1",
            f"max-age={value} is invalid and makes the response stale",
            cache_control(f"max-age={value}"),
            level=OPTIONAL,
        )
        for value in ("abc", "-1", "1.5", "60s", '"', "", "6 0", "0x3c", "+60")
    ),
    reused("5.2", 'max-age="60" in quotes', cache_control('max-age="60"')),
    reused("5.2.2.1", "max-age=0060", cache_control("max-age=0060")),
    *(
        reused("1.2.2", f"max-age={value} counts as a very large number", cache_control(f"max-age={value}"))
        for value in ("2147483648", "4294967296", "9223372036854775808", "99999999999999999999999999999")
    ),
    reused("5.2", "directive names in mixed case", cache_control("MaX-aGe=60")),
    forwarded_again("5.2", "No-Store in mixed case", cache_control("No-StOrE, max-age=60")),
    # Age and Date.
    forwarded_again("4.2.3", "Age equal to max-age", cache_control("max-age=60", ("Age", "60"))),
    forwarded_again("4.2.3", "Age above max-age", cache_control("max-age=60", ("Age", "600"))),
    reused("4.2.3", "Age below max-age", cache_control("max-age=600", ("Age", "60"))),
    forwarded_again("4.2.3", "Age above s-maxage", cache_control("max-age=900, s-maxage=60", ("Age", "61"))),
    forwarded_again("4.2.3", "Age above the lifetime of Expires", expires("{now+60}", ("Age", "61"))),
    forwarded_again(
        "4.2.3",
        "Age that overflows counts as very large",
        cache_control("max-age=60", ("Age", "99999999999999999999")),
    ),
    forwarded_again("1.2.2", "Age of 2147483648", cache_control("max-age=60", ("Age", "2147483648"))),
    reused("5.1", "Age that is not a number is ignored", cache_control("max-age=60", ("Age", "old"))),
    reused("5.1", "negative Age is ignored", cache_control("max-age=60", ("Age", "-5"))),
    reused("5.1", "Age with a fraction is ignored", cache_control("max-age=60", ("Age", "70.5"))),
    forwarded_again(
        "5.1",
        "the first of two Age field lines is used",
        cache_control("max-age=60", ("Age", "600"), ("Age", "0")),
        level=OPTIONAL,
    ),
    forwarded_again("4.2.3", "an old Date counts as age", cache_control("max-age=60", ("Date", "{now-120}"))),
    reused("4.2.3", "a Date less old than the lifetime", cache_control("max-age=600", ("Date", "{now-120}"))),
    reused(
        "4.2.3",
        "a Date in the future does not count as age",
        cache_control("max-age=60", ("Date", "{now+3600}")),
    ),
    forwarded_again(
        "4.2.3",
        "the greater of Age and the age by Date is used, here the latter",
        cache_control("max-age=60", ("Date", "{now-120}"), ("Age", "1")),
    ),
    forwarded_again(
        "4.2.3",
        "the greater of Age and the age by Date is used, here the former",
        cache_control("max-age=60", ("Date", "{now-1}"), ("Age", "120")),
    ),
    reused(
        "4.2.3",
        "an invalid Date counts as the current time",
        cache_control("max-age=60", ("Date", "yesterday")),
        level=OPTIONAL,
    ),
    Case(
        "5.1",
        "a response from the store has Age",
        (Step(cache_control("max-age=60")), Step(expect_forwarded=False, expect_fields={"age": "<=60"})),
        RequirementLevel.REQUIRED,
    ),
    Case(
        "4.2.3",
        "Age includes the received Age",
        (
            Step(cache_control("max-age=6000", ("Age", "100"))),
            Step(expect_forwarded=False, expect_fields={"age": ">=100"}),
        ),
    ),
    Case(
        "4.2.3",
        "Age includes the age by Date",
        (
            Step(cache_control("max-age=6000", ("Date", "{now-100}"))),
            Step(expect_forwarded=False, expect_fields={"age": ">=99"}),
        ),
    ),
    Case(
        "4.2.3",
        "Age grows while the response is stored",
        (
            Step(cache_control("max-age=60", ("Age", "7"))),
            Step(expect_forwarded=False, pause_s=1.05, expect_fields={"age": ">=8"}),
        ),
    ),
    Case(
        "4.2",
        "a fresh response becomes stale",
        (
            Step(cache_control("max-age=1")),
            Step(cache_control("max-age=1"), pause_s=1.05, expect_forwarded=True),
        ),
    ),
    # Heuristic freshness.
    reused(
        "4.2.2",
        "the heuristic lifetime is a tenth of the time since Last-Modified",
        Response(fields=(("Last-Modified", "{now-86400}"),)),
    ),
    forwarded_again(
        "4.2.2",
        "a Last-Modified of now gives no freshness lifetime",
        Response(fields=(("Last-Modified", "{now}"),)),
        level=OPTIONAL,
    ),
    forwarded_again(
        "4.2.2",
        "a Last-Modified in the future gives no freshness lifetime",
        Response(fields=(("Last-Modified", "{now+3600}"),)),
        level=OPTIONAL,
    ),
    forwarded_again(
        "4.2.2", "no heuristics with max-age", cache_control("max-age=0", ("Last-Modified", "{now-86400}"))
    ),
    forwarded_again(
        "4.2.2", "no heuristics with Expires", expires("{now-1}", ("Last-Modified", "{now-86400}"))
    ),
    forwarded_again("4.2.2", "no caching fields at all", Response(), level=OPTIONAL),
    reused(
        "4.2.2",
        "public allows heuristics for any status",
        cache_control("public", ("Last-Modified", "{now-86400}"), status=302),
    ),
)
