"""Cases for RFC 9111, 4.3.2 and RFC 9110, 13 and 14: conditional requests and range requests of clients."""

from standins.conformance.case import Case, RequirementLevel, Response, Step, cache_control

OPTIONAL = RequirementLevel.OPTIONAL
STORED = Step(
    cache_control(
        "max-age=60",
        ("ETag", '"v1"'),
        ("Last-Modified", "Fri, 01 Jan 2021 00:00:00 GMT"),
        ("Content-Type", "text/plain"),
        body="0123456789",
    )
)
STORED_WITH_WEAK_ETAG = Step(cache_control("max-age=60", ("ETag", 'W/"v1"'), body="0123456789"))
STORED_WITHOUT_ETAG = Step(
    cache_control("max-age=60", ("Last-Modified", "Fri, 01 Jan 2021 00:00:00 GMT"), body="0123456789")
)


def conditional_request(
    section: str,
    name: str,
    first_step: Step,
    fields: tuple[tuple[str, str], ...],
    status: int,
    level: RequirementLevel = OPTIONAL,
    body: str | None = None,
    **expected: object,
) -> Case:
    """Builds a case whose second request has these fields, and is answered without the archive.

    `expected` are other arguments of its Step.
    """
    last = Step(fields=fields, expect_forwarded=False, expect_status=status, expect_body=body, **expected)  # type: ignore[arg-type]
    return Case(section, name, (first_step, last), level)


def range_request(
    name: str,
    byte_range: str,
    status: int,
    body: str | None,
    content_range: str | None,
    level: RequirementLevel = OPTIONAL,
) -> Case:
    return conditional_request(
        "9110 14.2",
        name,
        STORED,
        (("Range", byte_range),),
        status,
        level,
        body,
        expect_fields={"content-range": content_range},
    )


CASES: tuple[Case, ...] = (
    conditional_request(
        "4.3.2", "If-None-Match with the stored ETag", STORED, (("If-None-Match", '"v1"'),), 304
    ),
    conditional_request(
        "4.3.2",
        "If-None-Match with the stored ETag among others",
        STORED,
        (("If-None-Match", '"v0", "v1"'),),
        304,
    ),
    conditional_request(
        "4.3.2",
        "If-None-Match in two field lines",
        STORED,
        (("If-None-Match", '"v0"'), ("If-None-Match", '"v1"')),
        304,
    ),
    conditional_request(
        "4.3.2",
        "If-None-Match with another ETag",
        STORED,
        (("If-None-Match", '"v2"'),),
        200,
        RequirementLevel.REQUIRED,
    ),
    conditional_request(
        "4.3.2", "If-None-Match uses weak comparison", STORED, (("If-None-Match", 'W/"v1"'),), 304
    ),
    conditional_request(
        "4.3.2",
        "If-None-Match and a weak stored ETag",
        STORED_WITH_WEAK_ETAG,
        (("If-None-Match", '"v1"'),),
        304,
    ),
    conditional_request("4.3.2", "If-None-Match: *", STORED, (("If-None-Match", "*"),), 304),
    conditional_request(
        "4.3.2", "If-None-Match with a comma in an ETag", STORED, (("If-None-Match", '"a,b", "v1"'),), 304
    ),
    conditional_request(
        "4.3.2",
        "ETags are case-sensitive",
        STORED,
        (("If-None-Match", '"V1"'),),
        200,
        RequirementLevel.REQUIRED,
    ),
    conditional_request(
        "4.3.2", "an ETag without quotes does not match", STORED, (("If-None-Match", "v1"),), 200
    ),
    conditional_request(
        "4.3.2",
        "If-Modified-Since with the stored date",
        STORED,
        (("If-Modified-Since", "Fri, 01 Jan 2021 00:00:00 GMT"),),
        304,
    ),
    conditional_request(
        "4.3.2",
        "If-Modified-Since with a later date",
        STORED,
        (("If-Modified-Since", "Sat, 02 Jan 2021 00:00:00 GMT"),),
        304,
    ),
    conditional_request(
        "4.3.2",
        "If-Modified-Since with an earlier date",
        STORED,
        (("If-Modified-Since", "Thu, 31 Dec 2020 00:00:00 GMT"),),
        200,
        RequirementLevel.REQUIRED,
    ),
    conditional_request(
        "4.3.2",
        "If-Modified-Since with an invalid date",
        STORED,
        (("If-Modified-Since", "lately"),),
        200,
        RequirementLevel.REQUIRED,
    ),
    conditional_request(
        "9110 13.1.3",
        "If-None-Match takes precedence over If-Modified-Since",
        STORED,
        (("If-None-Match", '"v2"'), ("If-Modified-Since", "Sat, 02 Jan 2021 00:00:00 GMT")),
        200,
        RequirementLevel.REQUIRED,
    ),
    conditional_request(
        "9110 15.4.5",
        "a 304 has the ETag and no body",
        STORED,
        (("If-None-Match", '"v1"'),),
        304,
        RequirementLevel.REQUIRED,
        "",
        expect_fields={"etag": '"v1"'},
    ),
    conditional_request(
        "9110 15.4.5",
        "a 304 has no fields that describe the content",
        STORED,
        (("If-None-Match", '"v1"'),),
        304,
        OPTIONAL,
        expect_fields={"content-type": None},
    ),
    conditional_request(
        "9110 15.4.5",
        "a 304 has Cache-Control and Date",
        STORED,
        (("If-None-Match", '"v1"'),),
        304,
        RequirementLevel.REQUIRED,
        expect_fields={"cache-control": "max-age=60", "date": "~GMT"},
    ),
    conditional_request(
        "5.1",
        "a 304 from the store has Age",
        STORED,
        (("If-None-Match", '"v1"'),),
        304,
        OPTIONAL,
        expect_fields={"age": ">=0"},
    ),
    Case(
        "4.3.2",
        "a stale response is validated with its own ETag, then the client's condition is evaluated",
        (
            Step(cache_control("max-age=0", ("ETag", '"v1"'))),
            Step(
                cache_control("max-age=60", ("ETag", '"v1"'), status=304),
                (("If-None-Match", '"v1"'),),
                expect_forwarded=True,
                expect_status=304,
            ),
            Step(expect_forwarded=False, expect_status=200, expect_body_of_step=0),
        ),
        OPTIONAL,
    ),
    Case(
        "4.3.2",
        "a stale response that changed is replaced, and the client's condition does not match",
        (
            Step(cache_control("max-age=0", ("ETag", '"v1"'))),
            Step(
                cache_control("max-age=60", ("ETag", '"v2"'), body="two"),
                (("If-None-Match", '"v1"'),),
                expect_status=200,
                expect_body="two",
            ),
        ),
    ),
    Case(
        "4.3.2",
        "a 304 to a client's condition is not stored as a response",
        (
            Step(
                Response(status=304, fields=(("ETag", '"v1"'), ("Cache-Control", "max-age=60"))),
                (("If-None-Match", '"v1"'), ("Authorization", "x")),
                expect_status=304,
            ),
            Step(cache_control("max-age=60"), expect_forwarded=True, expect_status=200, expect_body="one"),
        ),
    ),
    Case(
        "9110 13.1.1",
        "If-Match is forwarded to the archive",
        (
            STORED,
            Step(
                cache_control("max-age=60"),
                (("If-Match", '"v1"'),),
                expect_forwarded=True,
                expect_forwarded_fields={"If-Match": '"v1"'},
            ),
        ),
        OPTIONAL,
    ),
    Case(
        "9110 13.1.4",
        "If-Unmodified-Since is forwarded to the archive",
        (
            STORED,
            Step(
                cache_control("max-age=60"),
                (("If-Unmodified-Since", "Fri, 01 Jan 2021 00:00:00 GMT"),),
                expect_forwarded=True,
            ),
        ),
        OPTIONAL,
    ),
    range_request("a range at the start", "bytes=0-3", 206, "0123", "bytes 0-3/10"),
    range_request("a range without an end", "bytes=7-", 206, "789", "bytes 7-9/10"),
    range_request("a suffix range", "bytes=-2", 206, "89", "bytes 8-9/10"),
    range_request("a suffix range longer than the content", "bytes=-99", 206, "0123456789", "bytes 0-9/10"),
    range_request("a range that ends after the content", "bytes=5-99", 206, "56789", "bytes 5-9/10"),
    range_request("a range of one byte", "bytes=4-4", 206, "4", "bytes 4-4/10"),
    range_request("a range that starts after the content", "bytes=10-", 416, None, "bytes */10"),
    range_request("a suffix range of zero bytes", "bytes=-0", 416, None, "bytes */10"),
    range_request("a range that ends before it starts is ignored", "bytes=5-2", 200, "0123456789", None),
    range_request("an unknown range unit is ignored", "lines=0-1", 200, "0123456789", None),
    range_request("a range without numbers is ignored", "bytes=a-b", 200, "0123456789", None),
    range_request("an empty range is ignored", "bytes=-", 200, "0123456789", None),
    range_request("a range unit in another case", "Bytes=0-3", 206, "0123", "bytes 0-3/10"),
    range_request(
        "a range end that overflows", "bytes=0-99999999999999999999999", 206, "0123456789", "bytes 0-9/10"
    ),
    conditional_request(
        "9110 13.1.5",
        "If-Range with the stored ETag",
        STORED,
        (("Range", "bytes=0-1"), ("If-Range", '"v1"')),
        206,
        OPTIONAL,
        "01",
    ),
    conditional_request(
        "9110 13.1.5",
        "If-Range with another ETag",
        STORED,
        (("Range", "bytes=0-1"), ("If-Range", '"v2"')),
        200,
        RequirementLevel.REQUIRED,
        "0123456789",
    ),
    conditional_request(
        "9110 13.1.5",
        "If-Range with a weak ETag",
        STORED_WITH_WEAK_ETAG,
        (("Range", "bytes=0-1"), ("If-Range", 'W/"v1"')),
        200,
        RequirementLevel.REQUIRED,
        "0123456789",
    ),
    conditional_request(
        "9110 13.1.5",
        "If-Range with the stored date",
        STORED_WITHOUT_ETAG,
        (("Range", "bytes=0-1"), ("If-Range", "Fri, 01 Jan 2021 00:00:00 GMT")),
        206,
        OPTIONAL,
        "01",
    ),
    conditional_request(
        "9110 13.1.5",
        "If-Range with another date",
        STORED_WITHOUT_ETAG,
        (("Range", "bytes=0-1"), ("If-Range", "Sat, 02 Jan 2021 00:00:00 GMT")),
        200,
        RequirementLevel.REQUIRED,
        "0123456789",
    ),
    conditional_request(
        "9110 13.2.2",
        "a condition takes precedence over a range",
        STORED,
        (("If-None-Match", '"v1"'), ("Range", "bytes=0-1")),
        304,
    ),
    Case(
        "9110 14.2",
        "a range of a response that is not stored is forwarded to the archive",
        (
            Step(
                Response(206, (("Content-Range", "bytes 0-0/3"),), "o"),
                (("Range", "bytes=0-0"),),
                expect_forwarded=True,
                expect_forwarded_fields={"Range": "bytes=0-0"},
                expect_status=206,
                expect_body="o",
            ),
        ),
        RequirementLevel.REQUIRED,
    ),
    Case(
        "9110 14.2",
        "a complete response to a range request is passed on complete",
        (
            Step(
                cache_control("max-age=60"),
                (("Range", "bytes=0-0"),),
                expect_forwarded=True,
                expect_status=200,
                expect_body="one",
            ),
        ),
    ),
)
