"""RFC 9110, 6.6, 7.6, 8.6, 9.3 and 15: what goes through a proxy, and how it is framed."""

from standins.conformance.case import Case, Need, Reply, Step, cc

O = Need.OPTIONAL  # noqa: E741


def through(section: str, name: str, step: Step, need: Need = Need.REQUIRED) -> Case:
    return Case(section, name, (step,), need)


HOP = (("TE", "trailers"), ("Keep-Alive", "5"), ("Proxy-Connection", "x"), ("Proxy-Authorization", "x"))
CASES: tuple[Case, ...] = (
    *(
        through("9110 7.6.1", f"{n} of a request does not go on", Step(fields=((n, v),), sends={n: None}))
        for n, v in HOP
    ),
    *(
        through(
            "9110 7.6.1",
            f"{n} of an answer does not go on",
            Step(Reply(fields=((n, v),)), has={n.lower(): None}),
        )
        for n, v in HOP
        if n != "TE"
    ),
    through(
        "9110 7.6.1",
        "what a request's Connection names does not go on",
        Step(
            fields=(("Connection", "x-hop"), ("X-Hop", "1"), ("X-End", "1")),
            sends={"X-Hop": None, "X-End": "1"},
        ),
    ),
    through(
        "9110 7.6.1",
        "what an answer's Connection names does not go on",
        Step(
            Reply(fields=(("Connection", "x-hop"), ("X-Hop", "1"), ("X-End", "1"))),
            has={"x-hop": None, "x-end": "1"},
        ),
    ),
    through(
        "9110 7.6.1",
        "Connection can not take a request's credentials away",
        Step(
            fields=(("Connection", "authorization"), ("Authorization", "Basic a")),
            sends={"Authorization": "Basic a"},
        ),
        O,
    ),
    through("9110 7.6.3", "Via is added to requests", Step(sends={"Via": "~1.1 "}), O),
    through("9110 7.6.3", "Via is added to answers", Step(has={"via": "~1.1 "}), O),
    through(
        "9110 7.6.3",
        "Via is added behind others",
        Step(Reply(fields=(("Via", "1.0 old"),)), has={"via": "~1.0 old, 1.1 "}),
        O,
    ),
    through("9110 6.6.1", "Date is added where it lacks", Step(Reply(date=False), has={"date": "~GMT"})),
    through(
        "9110 6.6.1",
        "Date is left as it is",
        Step(
            Reply(fields=(("Date", "Fri, 01 Jan 2021 00:00:00 GMT"),)),
            has={"date": "Fri, 01 Jan 2021 00:00:00 GMT"},
        ),
    ),
    through(
        "9110 5.3",
        "lines keep their order",
        Step(Reply(fields=(("X-A", "1"), ("X-B", "2"), ("X-A", "3"))), has={"x-a": "1, 3"}),
    ),
    through(
        "9110 5.1",
        "fields nobody knows go on",
        Step(
            Reply(fields=(("X-Unknown", "1"),)),
            (("X-Ask", "1"),),
            sends={"X-Ask": "1"},
            has={"x-unknown": "1"},
        ),
    ),
    *(
        through("9110 15", f"a {s} is passed on", Step(Reply(status=s, body="b"), status=s, expect_body="b"))
        for s in (
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
    through(
        "9110 15.3.5",
        "a 204 has no body and no length",
        Step(Reply(status=204), status=204, expect_body="", has={"content-length": None}),
    ),
    through(
        "9110 15.4.5",
        "a 304 to a client's condition has no body",
        Step(
            Reply(status=304, fields=(("ETag", '"1"'),)),
            (("If-None-Match", '"1"'), ("Authorization", "x")),
            status=304,
            expect_body="",
        ),
    ),
    through(
        "9110 9.3.2",
        "HEAD has the length and no body",
        Step(method="HEAD", status=200, has={"content-length": "3"}),
    ),
    through(
        "9110 9.3.2",
        "HEAD of a chunked answer has no body",
        Step(Reply(chunked=True), method="HEAD", status=200),
    ),
    Case(
        "9110 8.6",
        "the length is that of what is sent",
        (
            Step(cc("max-age=60", body="x" * 1000), has={"content-length": "1000"}),
            Step(reaches=False, has={"content-length": "1000"}),
        ),
        Need.REQUIRED,
    ),
    Case(
        "9112 7.1",
        "a chunked answer is kept whole",
        (
            Step(cc("max-age=60", body="chunks", chunked=True), expect_body="chunks"),
            Step(reaches=False, expect_body="chunks"),
        ),
        O,
    ),
    Case(
        "9112 6.1",
        "Transfer-Encoding is not kept",
        (
            Step(cc("max-age=60", body="chunks", chunked=True)),
            Step(reaches=False, has={"transfer-encoding": None, "content-length": "6"}),
        ),
        O,
    ),
    Case(
        "9112 6.3",
        "a body longer than announced is not kept longer",
        (
            Step(cc("max-age=60", body="0123456789", length=4)),
            Step(cc("max-age=60", body="0123"), expect_body="0123"),
        ),
    ),
    Case(
        "9110 6.5",
        "an empty body is kept",
        (
            Step(cc("max-age=60", body="")),
            Step(reaches=False, status=200, expect_body="", has={"content-length": "0"}),
        ),
        O,
    ),
    Case(
        "9110 6.4",
        "a long answer is kept whole",
        (Step(cc("max-age=60", body="y" * 150_000)), Step(reaches=False, same=0)),
        O,
    ),
    through(
        "9110 9.3.4",
        "PUT carries its body and type",
        Step(
            method="PUT",
            body="level=3",
            fields=(("Content-Type", "text/plain"), ("Content-Language", "mn")),
            sends={"Content-Type": "text/plain", "Content-Language": "mn"},
        ),
    ),
    *(
        through(
            "9110 9.3",
            f"{m} goes through",
            Step(Reply(body="done"), method=m, body="r", status=200, expect_body="done", reaches=True),
            O,
        )
        for m in ("POST", "PUT", "PATCH", "DELETE")
    ),
    through(
        "9110 10.2.3",
        "Retry-After goes on",
        Step(Reply(status=429, fields=(("Retry-After", "7"),)), has={"retry-after": "7"}),
    ),
    through(
        "9110 11.6.1",
        "WWW-Authenticate goes on",
        Step(
            Reply(status=401, fields=(("WWW-Authenticate", "Basic"),)),
            status=401,
            has={"www-authenticate": "Basic"},
        ),
    ),
    through(
        "9110 8.4",
        "Content-Encoding goes on",
        Step(Reply(fields=(("Content-Encoding", "x-a"),)), has={"content-encoding": "x-a"}),
    ),
    Case(
        "9110 6.4",
        "a slow body is kept whole",
        (
            Step(cc("max-age=60", body="slow" * 500, slow_s=0.1), expect_body="slow" * 500),
            Step(reaches=False, expect_body="slow" * 500),
        ),
        O,
    ),
    Case(
        "9110 6.4",
        "a slow body in chunks is kept whole",
        (
            Step(cc("max-age=60", body="slow" * 500, slow_s=0.1, chunked=True), expect_body="slow" * 500),
            Step(reaches=False, expect_body="slow" * 500),
        ),
        O,
    ),
)
