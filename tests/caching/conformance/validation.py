"""Cases for RFC 9111, 4.3 and 3.2: validation, and updating stored responses by a 304."""

from standins.conformance.case import Case, RequirementLevel, Response, Step, cache_control

OPTIONAL = RequirementLevel.OPTIONAL
ETAG, WEAK_ETAG, LAST_MODIFIED = (
    ("ETag", '"v1"'),
    ("ETag", 'W/"v1"'),
    ("Last-Modified", "Fri, 01 Jan 2021 00:00:00 GMT"),
)


def validated_by_304(
    name: str,
    stored: Response,
    validation: Response,
    level: RequirementLevel = OPTIONAL,
    section: str = "4.3.4",
    **expected: object,
) -> Case:
    """Builds a case in which a stale response is validated; `expected` are arguments of the second Step."""
    return Case(section, name, (Step(stored), Step(validation, expect_forwarded=True, **expected)), level)  # type: ignore[arg-type]


CASES: tuple[Case, ...] = (
    *(
        Case(
            "4.3.1",
            f"validation sends {validator[1]} as {field}",
            (
                Step(cache_control("max-age=0", validator)),
                Step(
                    cache_control("max-age=0"),
                    expect_forwarded=True,
                    expect_forwarded_fields={field: validator[1]},
                ),
            ),
            OPTIONAL,
        )
        for field, validator in (
            ("If-None-Match", ETAG),
            ("If-None-Match", WEAK_ETAG),
            ("If-Modified-Since", LAST_MODIFIED),
        )
    ),
    Case(
        "4.3.1",
        "both validators are sent",
        (
            Step(cache_control("max-age=0", ETAG, LAST_MODIFIED)),
            Step(
                cache_control("max-age=0"),
                expect_forwarded=True,
                expect_forwarded_fields={"If-None-Match": '"v1"', "If-Modified-Since": LAST_MODIFIED[1]},
            ),
        ),
        OPTIONAL,
    ),
    Case(
        "4.3.1",
        "a response without validators is requested unconditionally",
        (
            Step(cache_control("max-age=0")),
            Step(
                cache_control("max-age=0"),
                expect_forwarded=True,
                expect_forwarded_fields={"If-None-Match": None, "If-Modified-Since": None},
            ),
        ),
    ),
    validated_by_304(
        "a 304 with the same strong ETag validates the response",
        cache_control("max-age=0", ETAG),
        cache_control("max-age=60", ETAG, status=304),
        expect_status=200,
        expect_body_of_step=0,
    ),
    validated_by_304(
        "a 304 with the same weak ETag validates the response",
        cache_control("max-age=0", WEAK_ETAG),
        cache_control("max-age=60", WEAK_ETAG, status=304),
        expect_status=200,
        expect_body_of_step=0,
    ),
    validated_by_304(
        "a 304 with the same Last-Modified validates the response",
        cache_control("max-age=0", LAST_MODIFIED),
        cache_control("max-age=60", LAST_MODIFIED, status=304),
        expect_status=200,
        expect_body_of_step=0,
    ),
    Case(
        "4.3.4",
        "a 304 makes the response fresh again",
        (
            Step(cache_control("max-age=0", ETAG)),
            Step(cache_control("max-age=60", ETAG, status=304), expect_forwarded=True),
            Step(expect_forwarded=False, expect_body_of_step=0),
        ),
        OPTIONAL,
    ),
    Case(
        "4.3.4",
        "a 304 with Age sets the age of the response",
        (
            Step(cache_control("max-age=0", ETAG)),
            Step(cache_control("max-age=60", ETAG, ("Age", "90"), status=304), expect_forwarded=True),
            Step(cache_control("max-age=60"), expect_forwarded=True),
        ),
    ),
    Case(
        "3.2",
        "a 304 replaces fields",
        (
            Step(cache_control("max-age=0", ETAG, ("X-Note", "old"))),
            Step(
                cache_control("max-age=60", ETAG, ("X-Note", "new"), status=304),
                expect_fields={"x-note": "new"},
            ),
            Step(expect_forwarded=False, expect_fields={"x-note": "new"}),
        ),
        OPTIONAL,
    ),
    Case(
        "3.2",
        "a 304 adds fields",
        (
            Step(cache_control("max-age=0", ETAG)),
            Step(cache_control("max-age=60", ETAG, ("X-More", "1"), status=304)),
            Step(expect_forwarded=False, expect_fields={"x-more": "1"}),
        ),
        OPTIONAL,
    ),
    Case(
        "3.2",
        "a 304 does not change other fields",
        (
            Step(cache_control("max-age=0", ETAG, ("X-Note", "old"))),
            Step(cache_control("max-age=60", ETAG, status=304)),
            Step(expect_forwarded=False, expect_fields={"x-note": "old"}),
        ),
        OPTIONAL,
    ),
    Case(
        "3.2",
        "a 304 replaces all lines of a field",
        (
            Step(cache_control("max-age=0", ETAG, ("X-Note", "a"), ("X-Note", "b"))),
            Step(cache_control("max-age=60", ETAG, ("X-Note", "c"), status=304)),
            Step(expect_forwarded=False, expect_fields={"x-note": "c"}),
        ),
        OPTIONAL,
    ),
    *(
        Case(
            "3.2",
            f"a 304 does not replace {name}",
            (
                Step(cache_control("max-age=0", ETAG, (name, old_value))),
                Step(cache_control("max-age=60", ETAG, (name, new_value), status=304)),
                Step(expect_forwarded=False, expect_fields={name.lower(): old_value}),
            ),
            RequirementLevel.REQUIRED,
        )
        for name, old_value, new_value in (
            ("Content-Type", "text/plain", "text/html"),
            ("Content-Encoding", "x-a", "x-b"),
        )
    ),
    Case(
        "3.2",
        "Content-Length of a 304 is ignored",
        (
            Step(cache_control("max-age=0", ETAG)),
            Step(
                cache_control("max-age=60", ETAG, status=304, declared_length=4000),
                expect_status=200,
                expect_body_of_step=0,
            ),
            Step(expect_forwarded=False, expect_body_of_step=0, expect_fields={"content-length": "3"}),
        ),
        RequirementLevel.REQUIRED,
    ),
    *(
        Case(
            "3.2",
            f"{name} of a 304 is not stored",
            (
                Step(cache_control("max-age=0", ETAG)),
                Step(cache_control("max-age=60", ETAG, (name, "x"), status=304)),
                Step(expect_forwarded=False, expect_fields={name.lower(): None}),
            ),
            RequirementLevel.REQUIRED,
        )
        for name in ("Keep-Alive", "Proxy-Authenticate")
    ),
    Case(
        "4.3.4",
        "a 304 with another ETag does not validate the response",
        (
            Step(cache_control("max-age=0", ETAG, body="old")),
            Step(cache_control("max-age=60", ("ETag", '"v2"'), status=304), expect_forwarded=True),
            Step(cache_control("max-age=60", body="new"), expect_body="new"),
        ),
    ),
    Case(
        "4.3.4",
        "a 304 with another Last-Modified does not validate the response",
        (
            Step(cache_control("max-age=0", LAST_MODIFIED, body="old")),
            Step(
                cache_control("max-age=60", ("Last-Modified", "Sat, 02 Jan 2021 00:00:00 GMT"), status=304),
                expect_forwarded=True,
            ),
            Step(cache_control("max-age=60", body="new"), expect_body="new"),
        ),
    ),
    Case(
        "4.3.4",
        "a 304 with no-store is used for its request, and removes the response",
        (
            Step(cache_control("max-age=0", ETAG)),
            Step(
                cache_control("no-store", ETAG, status=304),
                expect_forwarded=True,
                expect_status=200,
                expect_body_of_step=0,
            ),
            Step(cache_control("max-age=60"), expect_forwarded=True),
        ),
    ),
    Case(
        "4.3.4",
        "a 304 with private removes the response",
        (
            Step(cache_control("max-age=0", ETAG)),
            Step(
                cache_control("private, max-age=60", ETAG, status=304),
                expect_forwarded=True,
                expect_body_of_step=0,
            ),
            Step(cache_control("max-age=60"), expect_forwarded=True),
        ),
    ),
    Case(
        "4.3.3",
        "a 200 to a validation replaces the response",
        (
            Step(cache_control("max-age=0", ETAG, body="old")),
            Step(
                cache_control("max-age=60", ("ETag", '"v2"'), body="new"),
                expect_forwarded=True,
                expect_body="new",
            ),
            Step(expect_forwarded=False, expect_body="new"),
        ),
        OPTIONAL,
    ),
    Case(
        "4.3.3",
        "a 200 with the same ETag and another body replaces the response",
        (
            Step(cache_control("max-age=0", ETAG, body="old")),
            Step(cache_control("max-age=60", ETAG, body="new"), expect_body="new"),
            Step(expect_forwarded=False, expect_body="new"),
        ),
    ),
    Case(
        "4.3.3",
        "a 200 with no-store is passed on, and the stale response is not reused",
        (
            Step(cache_control("max-age=0", ETAG, body="old")),
            Step(cache_control("no-store", body="new"), expect_body="new"),
            Step(cache_control("max-age=60", body="newer"), expect_forwarded=True, expect_body="newer"),
        ),
    ),
    Case(
        "4.3.3",
        "a 404 to a validation is passed on",
        (
            Step(cache_control("max-age=0", ETAG)),
            Step(Response(status=404, body="gone"), expect_status=404, expect_body="gone"),
            Step(cache_control("max-age=60", body="new"), expect_forwarded=True, expect_body="new"),
        ),
    ),
    Case(
        "4.3.3",
        "a 500 to a validation is passed on",
        (Step(cache_control("max-age=0", ETAG)), Step(Response(status=500, body="down"), expect_status=500)),
    ),
    Case(
        "4.3",
        "a response with no-cache is validated each time",
        (
            Step(cache_control("no-cache", ETAG)),
            Step(
                cache_control("no-cache", ETAG, status=304),
                expect_forwarded=True,
                expect_status=200,
                expect_body_of_step=0,
            ),
            Step(
                cache_control("no-cache", ETAG, status=304),
                expect_forwarded=True,
                expect_status=200,
                expect_body_of_step=0,
            ),
        ),
    ),
    Case(
        "4.3.4",
        "a Vary added by a 304 applies to later requests",
        (
            Step(cache_control("max-age=0", ETAG), (("Foo", "1"),)),
            Step(
                cache_control("max-age=60", ETAG, ("Vary", "Foo"), status=304),
                (("Foo", "1"),),
                expect_body_of_step=0,
            ),
            Step(
                cache_control("max-age=60", body="two"),
                (("Foo", "2"),),
                expect_forwarded=True,
                expect_body="two",
            ),
        ),
    ),
    Case(
        "4.3.2",
        "a malformed ETag is not sent for validation",
        (
            Step(cache_control("max-age=0", ("ETag", "v1"))),
            Step(
                cache_control("max-age=0"),
                expect_forwarded=True,
                expect_forwarded_fields={"If-None-Match": None},
            ),
        ),
        OPTIONAL,
    ),
    Case(
        "4.3.5",
        "a response to HEAD with another length invalidates the response to GET",
        (
            Step(cache_control("max-age=60", ETAG)),
            Step(
                cache_control("max-age=60", ETAG, body="longer"),
                (("Cache-Control", "no-cache"),),
                method="HEAD",
            ),
            Step(cache_control("max-age=60", ETAG, body="longer"), expect_body="longer"),
        ),
        OPTIONAL,
    ),
    Case(
        "4.3.5",
        "HEAD is answered from the stored response to GET",
        (
            Step(cache_control("max-age=60", ETAG)),
            Step(
                method="HEAD",
                expect_forwarded=False,
                expect_status=200,
                expect_fields={"etag": '"v1"', "content-length": "3"},
            ),
        ),
        OPTIONAL,
    ),
    Case(
        "4.3.1",
        "a validation has no Idempotency-Key",
        (
            Step(cache_control("max-age=60"), method="PUT", body="r", expect_forwarded=True),
            Step(cache_control("max-age=0", ETAG), expect_forwarded=True),
            Step(
                cache_control("max-age=60", ETAG, status=304),
                expect_forwarded=True,
                expect_forwarded_fields={"Idempotency-Key": None},
            ),
        ),
    ),
)
