"""RFC 9111, 4.3: validation and freshening."""

from standins.conformance.case import Case, Need, Reply, Step, cc

O = Need.OPTIONAL  # noqa: E741
ETAG, WEAK, MODIFIED = (
    ("ETag", '"v1"'),
    ("ETag", 'W/"v1"'),
    ("Last-Modified", "Fri, 01 Jan 2021 00:00:00 GMT"),
)


def then304(
    name: str, first: Reply, second: Reply, need: Need = O, section: str = "4.3.4", **more: object
) -> Case:
    """A stale answer, its validation by a 304, and what the client gets."""
    return Case(section, name, (Step(first), Step(second, reaches=True, **more)), need)  # type: ignore[arg-type]


CASES: tuple[Case, ...] = (
    *(
        Case(
            "4.3.1",
            f"validation sends {validator[1]} as {field}",
            (
                Step(cc("max-age=0", validator)),
                Step(cc("max-age=0"), reaches=True, sends={field: validator[1]}),
            ),
            O,
        )
        for field, validator in (
            ("If-None-Match", ETAG),
            ("If-None-Match", WEAK),
            ("If-Modified-Since", MODIFIED),
        )
    ),
    Case(
        "4.3.1",
        "both validators are sent",
        (
            Step(cc("max-age=0", ETAG, MODIFIED)),
            Step(
                cc("max-age=0"),
                reaches=True,
                sends={"If-None-Match": '"v1"', "If-Modified-Since": MODIFIED[1]},
            ),
        ),
        O,
    ),
    Case(
        "4.3.1",
        "without validators none is sent",
        (
            Step(cc("max-age=0")),
            Step(cc("max-age=0"), reaches=True, sends={"If-None-Match": None, "If-Modified-Since": None}),
        ),
    ),
    then304(
        "a 304 with the same strong ETag",
        cc("max-age=0", ETAG),
        cc("max-age=60", ETAG, status=304),
        status=200,
        same=0,
    ),
    then304(
        "a 304 with the same weak ETag",
        cc("max-age=0", WEAK),
        cc("max-age=60", WEAK, status=304),
        status=200,
        same=0,
    ),
    then304(
        "a 304 with the same Last-Modified",
        cc("max-age=0", MODIFIED),
        cc("max-age=60", MODIFIED, status=304),
        status=200,
        same=0,
    ),
    Case(
        "4.3.4",
        "a 304 makes it fresh again",
        (
            Step(cc("max-age=0", ETAG)),
            Step(cc("max-age=60", ETAG, status=304), reaches=True),
            Step(reaches=False, same=0),
        ),
        O,
    ),
    Case(
        "4.3.4",
        "a 304 with Age makes it as old as that",
        (
            Step(cc("max-age=0", ETAG)),
            Step(cc("max-age=60", ETAG, ("Age", "90"), status=304), reaches=True),
            Step(cc("max-age=60"), reaches=True),
        ),
    ),
    Case(
        "3.2",
        "a 304 replaces fields",
        (
            Step(cc("max-age=0", ETAG, ("X-Note", "old"))),
            Step(cc("max-age=60", ETAG, ("X-Note", "new"), status=304), has={"x-note": "new"}),
            Step(reaches=False, has={"x-note": "new"}),
        ),
        O,
    ),
    Case(
        "3.2",
        "a 304 adds fields",
        (
            Step(cc("max-age=0", ETAG)),
            Step(cc("max-age=60", ETAG, ("X-More", "1"), status=304)),
            Step(reaches=False, has={"x-more": "1"}),
        ),
        O,
    ),
    Case(
        "3.2",
        "a 304 leaves the other fields",
        (
            Step(cc("max-age=0", ETAG, ("X-Note", "old"))),
            Step(cc("max-age=60", ETAG, status=304)),
            Step(reaches=False, has={"x-note": "old"}),
        ),
        O,
    ),
    Case(
        "3.2",
        "a 304 replaces all lines of a field",
        (
            Step(cc("max-age=0", ETAG, ("X-Note", "a"), ("X-Note", "b"))),
            Step(cc("max-age=60", ETAG, ("X-Note", "c"), status=304)),
            Step(reaches=False, has={"x-note": "c"}),
        ),
        O,
    ),
    *(
        Case(
            "3.2",
            f"a 304 does not replace {name}",
            (
                Step(cc("max-age=0", ETAG, (name, old))),
                Step(cc("max-age=60", ETAG, (name, new), status=304)),
                Step(reaches=False, has={name.lower(): old}),
            ),
            Need.REQUIRED,
        )
        for name, old, new in (
            ("Content-Type", "text/plain", "text/html"),
            ("Content-Encoding", "x-a", "x-b"),
        )
    ),
    Case(
        "3.2",
        "a Content-Length on a 304 is not the body's",
        (
            Step(cc("max-age=0", ETAG)),
            Step(cc("max-age=60", ETAG, status=304, length=4000), status=200, same=0),
            Step(reaches=False, same=0, has={"content-length": "3"}),
        ),
        Need.REQUIRED,
    ),
    *(
        Case(
            "3.2",
            f"{name} of a 304 is not kept",
            (
                Step(cc("max-age=0", ETAG)),
                Step(cc("max-age=60", ETAG, (name, "x"), status=304)),
                Step(reaches=False, has={name.lower(): None}),
            ),
            Need.REQUIRED,
        )
        for name in ("Keep-Alive", "Proxy-Authenticate")
    ),
    Case(
        "4.3.4",
        "a 304 with another ETag is not believed",
        (
            Step(cc("max-age=0", ETAG, body="old")),
            Step(cc("max-age=60", ("ETag", '"v2"'), status=304), reaches=True),
            Step(cc("max-age=60", body="new"), expect_body="new"),
        ),
    ),
    Case(
        "4.3.4",
        "a 304 with another Last-Modified is not believed",
        (
            Step(cc("max-age=0", MODIFIED, body="old")),
            Step(
                cc("max-age=60", ("Last-Modified", "Sat, 02 Jan 2021 00:00:00 GMT"), status=304), reaches=True
            ),
            Step(cc("max-age=60", body="new"), expect_body="new"),
        ),
    ),
    Case(
        "4.3.4",
        "a 304 with no-store answers, and is kept no longer",
        (
            Step(cc("max-age=0", ETAG)),
            Step(cc("no-store", ETAG, status=304), reaches=True, status=200, same=0),
            Step(cc("max-age=60"), reaches=True),
        ),
    ),
    Case(
        "4.3.4",
        "a 304 with private is kept no longer",
        (
            Step(cc("max-age=0", ETAG)),
            Step(cc("private, max-age=60", ETAG, status=304), reaches=True, same=0),
            Step(cc("max-age=60"), reaches=True),
        ),
    ),
    Case(
        "4.3.3",
        "a 200 to a validation replaces it",
        (
            Step(cc("max-age=0", ETAG, body="old")),
            Step(cc("max-age=60", ("ETag", '"v2"'), body="new"), reaches=True, expect_body="new"),
            Step(reaches=False, expect_body="new"),
        ),
        O,
    ),
    Case(
        "4.3.3",
        "a 200 with the same ETag and another body replaces it",
        (
            Step(cc("max-age=0", ETAG, body="old")),
            Step(cc("max-age=60", ETAG, body="new"), expect_body="new"),
            Step(reaches=False, expect_body="new"),
        ),
    ),
    Case(
        "4.3.3",
        "a 200 that may not be kept replaces nothing, and is not forgotten",
        (
            Step(cc("max-age=0", ETAG, body="old")),
            Step(cc("no-store", body="new"), expect_body="new"),
            Step(cc("max-age=60", body="newer"), reaches=True, expect_body="newer"),
        ),
    ),
    Case(
        "4.3.3",
        "a 404 to a validation is passed on",
        (
            Step(cc("max-age=0", ETAG)),
            Step(Reply(status=404, body="gone"), status=404, expect_body="gone"),
            Step(cc("max-age=60", body="new"), reaches=True, expect_body="new"),
        ),
    ),
    Case(
        "4.3.3",
        "a 500 to a validation is passed on",
        (Step(cc("max-age=0", ETAG)), Step(Reply(status=500, body="down"), status=500)),
    ),
    Case(
        "4.3",
        "no-cache is validated each time",
        (
            Step(cc("no-cache", ETAG)),
            Step(cc("no-cache", ETAG, status=304), reaches=True, status=200, same=0),
            Step(cc("no-cache", ETAG, status=304), reaches=True, status=200, same=0),
        ),
    ),
    Case(
        "4.3.4",
        "a Vary that a 304 brings counts from then on",
        (
            Step(cc("max-age=0", ETAG), (("Foo", "1"),)),
            Step(cc("max-age=60", ETAG, ("Vary", "Foo"), status=304), (("Foo", "1"),), same=0),
            Step(cc("max-age=60", body="two"), (("Foo", "2"),), reaches=True, expect_body="two"),
        ),
    ),
    Case(
        "4.3.2",
        "a malformed ETag is not sent for validation",
        (
            Step(cc("max-age=0", ("ETag", "v1"))),
            Step(cc("max-age=0"), reaches=True, sends={"If-None-Match": None}),
        ),
        O,
    ),
    Case(
        "4.3.5",
        "an answer to HEAD that differs in length voids",
        (
            Step(cc("max-age=60", ETAG)),
            Step(cc("max-age=60", ETAG, body="longer"), (("Cache-Control", "no-cache"),), method="HEAD"),
            Step(cc("max-age=60", ETAG, body="longer"), expect_body="longer"),
        ),
        O,
    ),
    Case(
        "4.3.5",
        "HEAD is answered from what GET has kept",
        (
            Step(cc("max-age=60", ETAG)),
            Step(method="HEAD", reaches=False, status=200, has={"etag": '"v1"', "content-length": "3"}),
        ),
        O,
    ),
    Case(
        "4.3.1",
        "a validation is no second report",
        (
            Step(cc("max-age=60"), method="PUT", body="r", reaches=True),
            Step(cc("max-age=0", ETAG), reaches=True),
            Step(cc("max-age=60", ETAG, status=304), reaches=True, sends={"Idempotency-Key": None}),
        ),
    ),
)
