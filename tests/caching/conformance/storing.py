"""Cases for RFC 9111, 3: which responses may be stored, and which of their fields."""

from standins.conformance.case import (
    Case,
    RequirementLevel,
    Response,
    Step,
    cache_control,
    forwarded_again,
    reused,
)

UNDERSTOOD_STATUSES = (200, 203, 300, 301, 302, 303, 307, 308, 404, 405, 410, 414, 501)
HEURISTIC_STATUSES = (200, 203, 300, 301, 308, 404, 405, 410, 414, 501)  # RFC 9110, 15.1
NON_HEURISTIC_STATUSES = (302, 303, 307, 400, 401, 403, 406, 409, 411, 412, 413, 415, 422, 429)
OLD_LAST_MODIFIED = (("Last-Modified", "{now-864000}"),)  # 10 days ago
TRUNCATED_BY_LENGTH = Response(fields=(("Cache-Control", "max-age=60"),), body="x" * 100, truncate_at=50)
TRUNCATED_CHUNKED = Response(
    fields=(("Cache-Control", "max-age=60"),), body="x" * 100, chunked=True, truncate_at=50
)

CASES: tuple[Case, ...] = (
    *(
        reused("3", f"a {status} with max-age is stored", cache_control("max-age=60", status=status))
        for status in UNDERSTOOD_STATUSES
    ),
    *(
        forwarded_again(
            "3",
            f"a {status} with no-store is not stored",
            cache_control("no-store", *OLD_LAST_MODIFIED, status=status),
        )
        for status in UNDERSTOOD_STATUSES
    ),
    *(
        forwarded_again(
            "3",
            f"a {status} without caching fields is not stored",
            Response(status=status, fields=OLD_LAST_MODIFIED),
        )
        for status in NON_HEURISTIC_STATUSES
    ),
    *(
        reused(
            "4.2.2",
            f"a {status} with an old Last-Modified",
            Response(status=status, fields=OLD_LAST_MODIFIED),
        )
        for status in HEURISTIC_STATUSES
    ),
    *(
        reused("3", f"a {status} with Expires", Response(status=status, fields=(("Expires", "{now+60}"),)))
        for status in (200, 302, 404)
    ),
    reused("3", "an unknown status with max-age", cache_control("max-age=60", status=499)),
    forwarded_again(
        "5.2.2.3",
        "must-understand and an unknown status",
        cache_control("max-age=60, must-understand", status=499),
    ),
    reused(
        "5.2.2.3",
        "must-understand overrides no-store for a known status",
        cache_control("max-age=60, must-understand, no-store"),
    ),
    Case(
        "3",
        "a response to POST is not reused for GET",
        (
            Step(cache_control("max-age=60"), method="POST", body="q", expect_forwarded=True),
            Step(cache_control("max-age=60"), expect_forwarded=True),
        ),
    ),
    Case(
        "3",
        "a response to PUT is not reused for GET",
        (
            Step(cache_control("max-age=60"), method="PUT", body="q", expect_forwarded=True),
            Step(cache_control("max-age=60"), expect_forwarded=True),
        ),
    ),
    Case(
        "3",
        "a response to HEAD is not reused for GET",
        (
            Step(cache_control("max-age=60"), method="HEAD"),
            Step(cache_control("max-age=60"), expect_forwarded=True, expect_body="one"),
        ),
    ),
    Case(
        "3.3",
        "a response shorter than its Content-Length is not served as complete",
        (
            Step(TRUNCATED_BY_LENGTH, expect_truncated=True),
            Step(cache_control("max-age=60", body="y" * 100), expect_body="y" * 100),
        ),
    ),
    Case(
        "3.3",
        "a chunked response without its last chunk is not served as complete",
        (
            Step(TRUNCATED_CHUNKED, expect_truncated=True),
            Step(cache_control("max-age=60", body="y" * 100), expect_body="y" * 100),
        ),
    ),
    Case(
        "3.3",
        "a long truncated response is not served as complete",
        (
            Step(cache_control("max-age=60", body="x" * 200_000, truncate_at=150_000), expect_truncated=True),
            Step(cache_control("max-age=60", body="y" * 100), expect_body="y" * 100),
        ),
    ),
    Case(
        "3.4",
        "a partial response is not served as the complete one",
        (
            Step(
                Response(206, (("Cache-Control", "max-age=60"), ("Content-Range", "bytes 0-1/3")), "on"),
                (("Range", "bytes=0-1"),),
                expect_status=206,
            ),
            Step(cache_control("max-age=60"), expect_forwarded=True, expect_status=200, expect_body="one"),
        ),
    ),
    Case(
        "3.4",
        "a partial response is not served for another range",
        (
            Step(
                Response(206, (("Cache-Control", "max-age=60"), ("Content-Range", "bytes 0-1/3")), "on"),
                (("Range", "bytes=0-1"),),
                expect_status=206,
            ),
            Step(
                Response(206, (("Content-Range", "bytes 1-2/3"),), "ne"),
                (("Range", "bytes=1-2"),),
                expect_forwarded=True,
                expect_body="ne",
            ),
        ),
    ),
    forwarded_again(
        "3.5",
        "a response with max-age to a request with Authorization",
        cache_control("max-age=60"),
        (("Authorization", "Basic a"),),
    ),
    forwarded_again(
        "3.5",
        "a response to a request with Authorization is not reused for other credentials",
        cache_control("max-age=60"),
        (("Authorization", "Basic a"),),
        (("Authorization", "Basic b"),),
    ),
    forwarded_again(
        "3.5",
        "a response with Expires to a request with Authorization",
        Response(fields=(("Expires", "{now+60}"),)),
        (("Authorization", "Basic a"),),
    ),
    forwarded_again(
        "3.5",
        "a response with heuristic freshness to a request with Authorization",
        Response(fields=OLD_LAST_MODIFIED),
        (("Authorization", "Basic a"),),
    ),
    reused(
        "3.5",
        "a response with public to a request with Authorization",
        cache_control("max-age=60, public"),
        (("Authorization", "Basic a"),),
    ),
    reused(
        "3.5",
        "a response with s-maxage to a request with Authorization",
        cache_control("s-maxage=60"),
        (("Authorization", "Basic a"),),
    ),
    reused(
        "3.5",
        "a response with must-revalidate to a request with Authorization",
        cache_control("max-age=60, must-revalidate"),
        (("Authorization", "Basic a"),),
    ),
    reused(
        "3.5",
        "a stored response is reused for a request with Authorization",
        cache_control("max-age=60"),
        (),
        (("Authorization", "Basic a"),),
    ),
    forwarded_again(
        "7.3",
        "a response with Set-Cookie is not reused",
        cache_control("max-age=60", ("Set-Cookie", "a=1")),
        level=RequirementLevel.OPTIONAL,
    ),
    forwarded_again(
        "7.3",
        "a response to a cookie is not reused for another cookie",
        cache_control("max-age=60"),
        (("Cookie", "id=a"),),
        (("Cookie", "id=b"),),
        level=RequirementLevel.OPTIONAL,
    ),
    Case(
        "3.1",
        "fields are stored in their order and number",
        (
            Step(cache_control("max-age=60", ("X-Note", "a"), ("X-Note", "b"), ("X-Unknown", "u"))),
            Step(expect_forwarded=False, expect_fields={"x-note": "a, b", "x-unknown": "u"}),
        ),
    ),
    *(
        Case(
            "3.1",
            f"{name} is not stored",
            (
                Step(cache_control("max-age=60", (name, value))),
                Step(expect_forwarded=False, expect_fields={name.lower(): None}),
            ),
            RequirementLevel.REQUIRED,
        )
        for name, value in (
            ("Keep-Alive", "timeout=5"),
            ("Proxy-Connection", "x"),
            ("TE", "trailers"),
            ("Proxy-Authenticate", "Basic"),
            ("Proxy-Authentication-Info", "a=b"),
            ("Upgrade", "h9"),
            ("Proxy-Authorization", "x"),
            ("Trailer", "x-sum"),
        )
    ),
    Case(
        "3.1",
        "a field that Connection names is not stored",
        (
            Step(cache_control("max-age=60", ("Connection", "X-Hop"), ("X-Hop", "1"))),
            Step(expect_forwarded=False, expect_fields={"x-hop": None}),
        ),
    ),
    Case(
        "3.1",
        "Connection in mixed case and with several names",
        (
            Step(
                cache_control(
                    "max-age=60", ("cOnNeCtIoN", "x-a , X-B"), ("X-A", "1"), ("x-b", "1"), ("X-C", "1")
                )
            ),
            Step(expect_forwarded=False, expect_fields={"x-a": None, "x-b": None, "x-c": "1"}),
        ),
    ),
    forwarded_again(
        "3",
        "Connection cannot hide Cache-Control",
        cache_control("no-store", ("Connection", "cache-control")),
    ),
)
