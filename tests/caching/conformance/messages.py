"""Cases for RFC 9110 and RFC 9112: which fields, statuses and bodies a proxy passes on, and their framing."""

from standins.conformance.case import Case, RequirementLevel, Response, Step, cache_control

OPTIONAL = RequirementLevel.OPTIONAL


def single_step(
    section: str, name: str, step: Step, level: RequirementLevel = RequirementLevel.REQUIRED
) -> Case:
    """Builds a case of one request, so that no stored response is involved."""
    return Case(section, name, (step,), level)


HOP_BY_HOP_FIELDS = (
    ("TE", "trailers"),
    ("Keep-Alive", "5"),
    ("Proxy-Connection", "x"),
    ("Proxy-Authorization", "x"),
)
CASES: tuple[Case, ...] = (
    *(
        single_step(
            "9110 7.6.1",
            f"{field_name} of a request is not forwarded",
            Step(fields=((field_name, value),), expect_forwarded_fields={field_name: None}),
        )
        for field_name, value in HOP_BY_HOP_FIELDS
    ),
    *(
        single_step(
            "9110 7.6.1",
            f"{field_name} of a response is not passed on",
            Step(Response(fields=((field_name, value),)), expect_fields={field_name.lower(): None}),
        )
        for field_name, value in HOP_BY_HOP_FIELDS
        if field_name != "TE"
    ),
    single_step(
        "9110 7.6.1",
        "a field that a request's Connection names is not forwarded",
        Step(
            fields=(("Connection", "x-hop"), ("X-Hop", "1"), ("X-End", "1")),
            expect_forwarded_fields={"X-Hop": None, "X-End": "1"},
        ),
    ),
    single_step(
        "9110 7.6.1",
        "a field that a response's Connection names is not passed on",
        Step(
            Response(fields=(("Connection", "x-hop"), ("X-Hop", "1"), ("X-End", "1"))),
            expect_fields={"x-hop": None, "x-end": "1"},
        ),
    ),
    single_step(
        "9110 7.6.1",
        "Connection cannot remove a request's credentials",
        Step(
            fields=(("Connection", "authorization"), ("Authorization", "Basic a")),
            expect_forwarded_fields={"Authorization": "Basic a"},
        ),
        OPTIONAL,
    ),
    single_step(
        "9110 7.6.3", "Via is added to requests", Step(expect_forwarded_fields={"Via": "~1.1 "}), OPTIONAL
    ),
    single_step("9110 7.6.3", "Via is added to responses", Step(expect_fields={"via": "~1.1 "}), OPTIONAL),
    single_step(
        "9110 7.6.3",
        "Via is appended to an existing one",
        Step(Response(fields=(("Via", "1.0 old"),)), expect_fields={"via": "~1.0 old, 1.1 "}),
        OPTIONAL,
    ),
    single_step(
        "9110 6.6.1",
        "Date is added if it is absent",
        Step(Response(add_date=False), expect_fields={"date": "~GMT"}),
    ),
    single_step(
        "9110 6.6.1",
        "an existing Date is unchanged",
        Step(
            Response(fields=(("Date", "Fri, 01 Jan 2021 00:00:00 GMT"),)),
            expect_fields={"date": "Fri, 01 Jan 2021 00:00:00 GMT"},
        ),
    ),
    single_step(
        "9110 5.3",
        "field lines keep their order",
        Step(Response(fields=(("X-A", "1"), ("X-B", "2"), ("X-A", "3"))), expect_fields={"x-a": "1, 3"}),
    ),
    single_step(
        "9110 5.1",
        "unknown fields are passed on",
        Step(
            Response(fields=(("X-Unknown", "1"),)),
            (("X-Ask", "1"),),
            expect_forwarded_fields={"X-Ask": "1"},
            expect_fields={"x-unknown": "1"},
        ),
    ),
    *(
        single_step(
            "9110 15",
            f"a {status} is passed on",
            Step(Response(status=status, body="b"), expect_status=status, expect_body="b"),
        )
        for status in (
            201,
            202,
            203,
            301,
            302,
            307,
            308,
            400,
            401,
            403,
            404,
            405,
            406,
            409,
            410,
            412,
            418,
            422,
            429,
            451,
            500,
            501,
            503,
        )
    ),
    single_step(
        "9110 15.3.5",
        "a 204 has no body and no Content-Length",
        Step(Response(status=204), expect_status=204, expect_body="", expect_fields={"content-length": None}),
    ),
    single_step(
        "9110 15.4.5",
        "a 304 to a client's condition has no body",
        Step(
            Response(status=304, fields=(("ETag", '"1"'),)),
            (("If-None-Match", '"1"'), ("Authorization", "x")),
            expect_status=304,
            expect_body="",
        ),
    ),
    single_step(
        "9110 9.3.2",
        "HEAD has the Content-Length and no body",
        Step(method="HEAD", expect_status=200, expect_fields={"content-length": "3"}),
    ),
    single_step(
        "9110 9.3.2",
        "HEAD of a chunked response has no body",
        Step(Response(chunked=True), method="HEAD", expect_status=200),
    ),
    Case(
        "9110 8.6",
        "Content-Length is the length of the sent body",
        (
            Step(cache_control("max-age=60", body="x" * 1000), expect_fields={"content-length": "1000"}),
            Step(expect_forwarded=False, expect_fields={"content-length": "1000"}),
        ),
        RequirementLevel.REQUIRED,
    ),
    Case(
        "9112 7.1",
        "a chunked response is stored completely",
        (
            Step(cache_control("max-age=60", body="chunks", chunked=True), expect_body="chunks"),
            Step(expect_forwarded=False, expect_body="chunks"),
        ),
        OPTIONAL,
    ),
    Case(
        "9112 6.1",
        "Transfer-Encoding is not stored",
        (
            Step(cache_control("max-age=60", body="chunks", chunked=True)),
            Step(expect_forwarded=False, expect_fields={"transfer-encoding": None, "content-length": "6"}),
        ),
        OPTIONAL,
    ),
    Case(
        "9112 6.3",
        "a body longer than Content-Length is stored without the excess",
        (
            Step(cache_control("max-age=60", body="0123456789", declared_length=4)),
            Step(cache_control("max-age=60", body="0123"), expect_body="0123"),
        ),
    ),
    Case(
        "9110 6.5",
        "an empty body is stored",
        (
            Step(cache_control("max-age=60", body="")),
            Step(
                expect_forwarded=False,
                expect_status=200,
                expect_body="",
                expect_fields={"content-length": "0"},
            ),
        ),
        OPTIONAL,
    ),
    Case(
        "9110 6.4",
        "a long response is stored completely",
        (
            Step(cache_control("max-age=60", body="y" * 150_000)),
            Step(expect_forwarded=False, expect_body_of_step=0),
        ),
        OPTIONAL,
    ),
    single_step(
        "9110 9.3.4",
        "PUT is forwarded with its Content-Type",
        Step(
            method="PUT",
            body="level=3",
            fields=(("Content-Type", "text/plain"), ("Content-Language", "mn")),
            expect_forwarded_fields={"Content-Type": "text/plain", "Content-Language": "mn"},
        ),
    ),
    *(
        single_step(
            "9110 9.3",
            f"{method} is forwarded",
            Step(
                Response(body="done"),
                method=method,
                body="r",
                expect_status=200,
                expect_body="done",
                expect_forwarded=True,
            ),
            OPTIONAL,
        )
        for method in ("POST", "PUT", "PATCH", "DELETE")
    ),
    single_step(
        "9110 10.2.3",
        "Retry-After is passed on",
        Step(Response(status=429, fields=(("Retry-After", "7"),)), expect_fields={"retry-after": "7"}),
    ),
    single_step(
        "9110 11.6.1",
        "WWW-Authenticate is passed on",
        Step(
            Response(status=401, fields=(("WWW-Authenticate", "Basic"),)),
            expect_status=401,
            expect_fields={"www-authenticate": "Basic"},
        ),
    ),
    single_step(
        "9110 8.4",
        "Content-Encoding is passed on",
        Step(Response(fields=(("Content-Encoding", "x-a"),)), expect_fields={"content-encoding": "x-a"}),
    ),
    Case(
        "9110 6.4",
        "a slow body is stored completely",
        (
            Step(cache_control("max-age=60", body="slow" * 500, body_pause_s=0.1), expect_body="slow" * 500),
            Step(expect_forwarded=False, expect_body="slow" * 500),
        ),
        OPTIONAL,
    ),
    Case(
        "9110 6.4",
        "a slow chunked body is stored completely",
        (
            Step(
                cache_control("max-age=60", body="slow" * 500, body_pause_s=0.1, chunked=True),
                expect_body="slow" * 500,
            ),
            Step(expect_forwarded=False, expect_body="slow" * 500),
        ),
        OPTIONAL,
    ),
)
